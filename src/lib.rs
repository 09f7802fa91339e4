//! cobaltspool is a gatekeeper: it decides how calls are set up at shared setup servers, which server gets each call,
//! when an overloaded server gets no new calls, when a call is held, and when it is rejected. It follows Kaufman et
//! al., "A Distributed Traffic Overload Control Scheme for a Loosely Coupled Switching Architecture", from the sender's
//! side: each gatekeeper goes by its own traffic alone.
//!
//! The decisions are [`Controller`]'s: it does no I/O, keeps no clock and starts no threads. The embedding program feeds
//! events, each with its time, and carries out the actions:
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
//! let mut out = Vec::new();
//! let entry = ServerEntry { server: ServerId(0), pool: PoolId(0), started_at: 0, status: ServerStatus::Up };
//! controller.handle(1_000, Event::EndpointList { scope: EndpointListScope::Complete, entries: vec![entry] }, &mut out);
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
//! controller.handle(1_000, call, &mut out);
//! assert!(out.iter().any(|a| matches!(a, Action::Attempt { call: CallId(1), server: ServerId(0), .. })));
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
