//! The fleet's pure halves on simulated time: seeded, no sockets, thousands of schedules a minute. `world` moves frames
//! between views and breaks what it is told to, `schedule` draws what to break, `others` are the plainer detectors, and `crate_swim` the crate's,
//! that `measure` sets beside the view.

pub mod crate_swim;
pub mod measure;
pub mod others;
pub mod quorum;
pub mod schedule;
pub mod world;
