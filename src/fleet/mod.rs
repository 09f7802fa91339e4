//! The fleet: how gatekeepers see each other and own resources. The decisions are `cobaltspool-fleet`'s, a crate without I/O; here
//! are the section of the operators' file (`settings`), what operators read (`status`), the sockets (`runtime`, `stream`,
//! `peer_connections`), a voter's folder (`wal_writer`), what joins them to the consensus and the leases
//! (`consensus_node`), and the command line's questions to the admin endpoint (`ask`). Off unless the file has a `fleet`
//! section: then there is no socket, task or table. The core knows none of it; it is told a number of gatekeepers.

pub mod admin_query;
mod consensus_node;
mod framing;
mod peer_connections;
mod runtime;
pub mod settings;
pub mod status;
#[cfg(feature = "faults")]
mod test_effects;
mod wal_writer;

pub use runtime::{FleetNode, join};
