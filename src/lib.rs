//! cobaltspool is a gatekeeper: it decides how calls are set up at shared setup servers, which server each call is sent
//! to, when an overloaded server gets no new calls, when a call is deferred, and when it is rejected. It implements the
//! sender's side of Kaufman et al., "A Distributed Traffic Overload Control Scheme for a Loosely Coupled Switching
//! Architecture": each gatekeeper bases its decisions on its own traffic alone.
//!
//! [`Controller`] makes the decisions. It does no I/O, reads no clock and starts no threads. The embedding program
//! passes events, each with its time, and carries out the actions:
//!
//! ```
//! use cobaltspool::*;
//!
//! let settings = Settings {
//!     gatekeeper_count: 1,
//!     classes: vec![Class {
//!         latency_objective: 1_200_000,
//!         priority_weight: 1.0,
//!         late_weight_share: 0.25,
//!         pools: None,
//!         is_idempotent: true,
//!     }],
//!     tick: 5_000,
//!     max_attempts: 4,
//!     rules: Rules { answer_slack: 20_000, release_wait: 300_000, ..Rules::default() },
//!     ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//! let entry = ServerEntry { server: ServerId(0), pool: PoolId(0), started_at: 0, status: ServerStatus::Up };
//! let list = Event::EndpointList { scope: EndpointListScope::Complete, entries: vec![entry] };
//! controller.handle(1_000, list, &mut actions);
//! let call = Event::Call(NewCall {
//!     call: CallId(1),
//!     class: 0,
//!     number: Number(5550100),
//!     deadline: 3_001_000,
//!     first_choice: PoolId(0),
//!     is_redial: false,
//!     in_transit: false,
//!     max_attempts: 4,
//! });
//! controller.handle(1_000, call, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Attempt { call: CallId(1), server: ServerId(0), .. })));
//! ```

mod call_trace;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod config_check;
pub mod driver;
pub mod fleet;
pub mod gateway;
pub mod limits;
mod link;
pub mod list;
pub mod log;
pub mod operate;
pub mod ops;
pub mod platform;
mod policy;
pub mod sections;
pub mod sip;

pub use policy::*;
