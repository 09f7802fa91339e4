//! The decision module: it decides which server each call is sent to, and when a call waits, is retried, is
//! rejected or is failed.
//!
//! [`Controller`] is a deterministic state machine: its input is events with their times, its output is
//! actions. It does no I/O and reads no clock. It implements Kaufman et al., "A Distributed Traffic Overload
//! Control Scheme for a Loosely Coupled Switching Architecture". `docs/design.md` lists what is adopted from
//! the paper ("paper" in comments) and from the operators' design page ("design"), and what differs. The doc
//! comments of constants and fields that correspond to a symbol of the paper give the symbol.
//!
//! | file | responsibility |
//! | --- | --- |
//! | `controller` | dispatches events to the other files and ends measurement intervals |
//! | `occupancy` | estimates the occupancy of each server's processor |
//! | `overload` | closes servers to new calls (`u`) and throttles other calls to them (`r`) |
//! | `slow_start` | limits the attempts sent to a server that has recently started |
//! | `outlier` | ejects servers that do not answer, sends health checks, cancels lost attempts |
//! | `routing` | selects the server for a call among those that may accept it |
//! | `calls` | lifecycle of a call, from its arrival to its final answer |
//! | `interface`, `state` | types without decision logic: input and output, internal state |

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
