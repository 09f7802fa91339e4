//! cobaltspool decides, inside an edge controller (a *front*), how calls are set up at shared signalling servers:
//! which server gets each call, when a pressed server gets no fresh calls, when a call is held, and when it is
//! refused. It follows Kaufman et al., "A Distributed Traffic Overload Control Scheme for a Loosely Coupled
//! Switching Architecture", from the sender's side: each front goes by its own traffic alone.
//!
//! The library does no I/O, keeps no clock and starts no threads. The embedding program feeds events, each with
//! its time, and carries out the actions:
//!
//! ```
//! use cobaltspool::*;
//!
//! let settings = Settings {
//!     fronts: 1,
//!     classes: vec![Class { aim: 1_200_000, worth: 1.0, late_worth: 0.25, pools: None, repeatable: true }],
//!     tick: 5_000,
//!     max_attempts: 4,
//!     rules: Rules { answer_slack: 20_000, release_wait: 300_000, ..Rules::default() },
//!     ..Settings::default()
//! };
//! let mut front = Controller::new(settings, 7);
//! let mut out = Vec::new();
//! let entry = ServerEntry { server: ServerId(0), pool: PoolId(0), started_at: 0, status: Status::Up };
//! front.handle(1_000, Event::List { scope: ListScope::Whole, entries: vec![entry] }, &mut out);
//! let call = Event::Call {
//!     call: CallId(1),
//!     class: 0,
//!     number: Number(5550100),
//!     due: 3_001_000,
//!     first_choice: PoolId(0),
//!     repeat: false,
//!     in_transit: false,
//!     attempts: 4,
//! };
//! front.handle(1_000, call, &mut out);
//! assert!(out.iter().any(|a| matches!(a, Action::Attempt { call: CallId(1), server: ServerId(0), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod config_check;
mod decide;
pub mod fleet;
pub mod gateway;
pub mod host;
mod interface;
pub mod limits;
mod link;
pub mod list;
pub mod log;
pub mod operate;
pub mod ops;
pub mod platform;
mod record;
pub mod sections;
pub mod sip;

pub use decide::Controller;
pub use interface::*;
