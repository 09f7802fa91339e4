//! The fleet: membership of gatekeepers, and ownership of resources among them. The protocol logic is in the crate
//! `cobaltspool-fleet`, which does no I/O. This module contains the section of the operators' file (`settings`), the
//! status shown to operators (`status`), the sockets (`runtime`, `framing`, `peer_connections`), the folder of a
//! voter (`wal_writer`), the link between these and the consensus and leases (`consensus_node`), and the queries of
//! the command line to the admin endpoint (`admin_query`).
//!
//! Without a `fleet` section in the file there is no socket, task or table. The core does not depend on this module; it
//! receives only the number of gatekeepers.

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
