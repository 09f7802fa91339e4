//! Coordination between gatekeepers. Each layer is a state machine without I/O: it takes events and the current time
//! and returns actions. It uses no sockets, clocks or threads; the adapters in the program's `src/fleet/` send and
//! receive the bytes.
//!
//! - [`member`]: a member's id, incarnations and information, and the order of records about one member;
//! - [`codec`]: encodes and decodes frames, with size limits and a MAC;
//! - [`membership`]: gossip membership and failure detection, which converge after joins, crashes and partitions;
//! - [`quorum`]: a small replicated log among 3, 5 or 7 voters; [`wal`]: the byte format of a voter's persistent state;
//! - [`lease`]: resources with one owner each, by leases and fencing tokens, on the log; [`envelope`]: the messages of
//!   `quorum` and `lease`;
//! - [`live_instances`]: the number of gatekeepers that a slow-start budget is divided by, so that the two sides of a
//!   partition never exceed it together.

pub mod codec;
pub mod envelope;
pub mod lease;
pub mod live_instances;
pub mod member;
pub mod membership;
pub mod quorum;
pub mod wal;

/// Monotonic time in microseconds, from an origin that is fixed for the life of the process.
pub type Micros = u64;
