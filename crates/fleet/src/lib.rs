//! How gatekeepers act together. Each layer is a pure half: state in, events and time in, effects out. No sockets, no clock, no
//! threads; the program's shell moves the bytes (`src/fleet/` there).
//!
//! - [`member`]: who a member is, what it tells of itself, and which of two words about it is the newer;
//! - [`wire`]: frames, as bytes and back, with their bounds and their seal;
//! - [`view`]: who is there, by whose word, how sure; settles again after joins, crashes and cuts;
//! - [`quorum`]: a small replicated log among 3, 5 or 7 voters; [`disk`]: what a voter keeps, as bytes;
//! - [`owner`]: work items, one owner each, leases and fencing tokens, on the log; [`parcel`]: what goes over streams for both;
//! - [`live_instances`]: how many gatekeepers a cold server's budget is divided by, so that a cut never lets two halves press it.

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
