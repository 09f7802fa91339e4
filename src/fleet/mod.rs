//! The fleet: how gatekeepers see each other. The decisions are `cobaltspool-fleet`'s, a crate without I/O; here are the
//! section of the operators' file (`settings`), what staff read (`status`, pure), the sockets (`shell`, `stream`, `courier`), a voter's
//! folder (`store`), what joins them to the log and to owned work (`council`), and the
//! command line's question to a door (`ask`). Off unless the file has a `fleet` section: then no socket, task or table is
//! there. The core knows none of it; it hears a number of gatekeepers.

pub mod ask;
mod council;
mod courier;
#[cfg(feature = "faults")]
mod for_tests;
pub mod settings;
mod shell;
pub mod status;
mod store;
mod stream;

pub use shell::{Joined, join};
