//! Limits: what a route and a class allow a call, as the operators' file says.
//!
//! `file` is the section as it stands in the file, `trie` finds a number's routes,
//! `plan` compiles what holds for a route and class and tells where each value comes from, and `check` refuses what
//! would break a rule. `live` is the plan at work: who is taken in, and when a call may be tried again. Nothing here does I/O or keeps a clock.

mod check;
mod draft;
pub mod file;
mod live;
mod plan;
pub mod trie;

pub use crate::ops::units;
pub use check::faults;
pub use draft::Draft;
pub use live::{Asked, Held, Live, Refusal, Verdict};
pub use plan::{Ceilings, ClassInfo, Limits, MAX_ATTEMPTS, MIN_PAUSE, Origin, Plan, Sourced};
