//! Limits: what a route and a class allow a call, as the operators' file says.
//!
//! `file` is the section as it stands in the file, `units` its spans and shares, `trie` finds a number's routes,
//! `plan` compiles what holds for a route and class and tells where each value comes from, and `check` refuses what
//! would break a rule. Nothing here does I/O or keeps a clock.

mod check;
pub mod file;
mod plan;
pub mod trie;
pub mod units;

pub use check::faults;
pub use plan::{ATTEMPTS_MOST, Ceilings, ClassInfo, Limits, Origin, PAUSE_LEAST, Plan, Sourced};
