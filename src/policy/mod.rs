//! The decision module: which server gets each call, when a call waits, is retried, rejected or failed.
//!
//! It is a pure state machine, [`Controller`]: events and the time go in, actions come out. It does no I/O
//! and keeps no clock. It follows Kaufman et al., "A Distributed Traffic Overload Control Scheme for a
//! Loosely Coupled Switching Architecture"; `docs/design.md` tells what is kept of the paper ("paper" in
//! comments) and of the operators' design page ("design"), and what is not. Constants and fields that stand
//! for a symbol of the paper name it.
//!
//! | file | concern |
//! | --- | --- |
//! | `controller` | takes events and ties the others together |
//! | `occupancy` | estimates how busy each server's processor is |
//! | `overload` | closes servers to new calls and throttles the rest (`u` and `r`) |
//! | `slow_start` | limits what a server gets that has just started |
//! | `outlier` | ejects servers that do not answer, checks health, cancels lost attempts |
//! | `routing` | which server may get a call, and which does |
//! | `calls` | a call's life, from its arrival to its final answer |
//! | `interface`, `state` | types without decisions: what goes in and out, and what is remembered |

mod calls;
mod controller;
mod interface;
mod occupancy;
mod outlier;
mod overload;
mod routing;
mod slow_start;
mod state;

pub use interface::*;
pub use state::Controller;
