//! Limits that the operators' file sets for calls, per route and per class.
//!
//! `file` is the section as written in the file, `trie` finds the routes whose prefix a number starts with, `plan`
//! compiles the settings that apply to a route and class and records the origin of each value, and `check` reports
//! settings that break a rule. `limiter` applies the plan: it admits or rejects calls and decides when a call may be
//! retried. Nothing here does I/O or reads a clock.

mod check;
mod draft;
pub mod file;
mod limiter;
mod plan;
pub mod trie;

pub use crate::ops::units;
pub use check::find_conflicts;
pub use draft::Draft;
pub use limiter::{Admission, AdmissionRequest, Limiter, Refusal, RetryDecision};
pub use plan::{Ceilings, ClassInfo, Limits, MAX_ATTEMPTS, MIN_PAUSE, Origin, Plan, Sourced};
