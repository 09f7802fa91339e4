//! How gatekeepers act together. Each layer is a state machine without I/O: state in, events and time in, actions out. No sockets, no
//! clock, no threads; the program's adapters move the bytes (`src/fleet/` there).
//!
//! - [`member`]: a member's id, incarnations and information, and which of two records about it is the newer;
//! - [`codec`]: frames to bytes and back, with their bounds and their seal;
//! - [`membership`]: who is there, who says so, how sure that is; settles again after joins, crashes and partitions;
//! - [`quorum`]: a small replicated log among 3, 5 or 7 voters; [`wal`]: what a voter keeps, as bytes;
//! - [`lease`]: resources with one owner each, by leases and fencing tokens, on the log; [`envelope`]: the messages of both;
//! - [`live_instances`]: by how many gatekeepers a slow-start budget is divided, so that a partition never lets two halves
//!   exceed it.

pub mod codec;
pub mod envelope;
pub mod lease;
pub mod live_instances;
pub mod member;
pub mod membership;
pub mod quorum;
pub mod wal;

/// Monotonic time in microseconds, from any start that a process keeps.
pub type Micros = u64;
