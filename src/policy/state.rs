//! The state of the decision module. This file defines data only: [`Controller`] owns all of it, and the
//! sibling modules implement the decisions.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use super::interface::{CallId, Micros, Number, PoolId, ServerEntry, ServerId, ServerStatus, Settings};
use super::{occupancy, outlier, overload};

/// The decision module of one gatekeeper: a deterministic state machine.
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) rng: Pcg32,
    pub(super) now: Micros,
    pub(super) servers: BTreeMap<ServerId, Server>,
    /// Calls that have no final answer yet.
    pub(super) calls: BTreeMap<CallId, Call>,
    /// Calls with no attempt in flight, in the order in which they are sent.
    pub(super) waiting: BTreeSet<WaitingKey>,
    pub(super) timers: BTreeSet<CallTimer>,
    pub(super) numbers: BTreeMap<Number, CalledNumber>,
    /// For each pool of first choice, the server that last established a call of that choice.
    pub(super) sticky_servers: BTreeMap<PoolId, ServerId>,
    pub(super) next_interval_at: Option<Micros>,
    /// Number of measurement intervals since the start.
    pub(super) intervals: u64,
    /// Due time of the timer that was last set.
    pub(super) timer_due_at: Micros,
    /// The last stall of this gatekeeper.
    pub(super) last_stall: Stall,
    /// Average arrival rate of calls at this gatekeeper, calls per second.
    pub(super) arrival_rate: f64,
    pub(super) arrivals_in_interval: u32,
    /// Number of the interval in which lost attempts were last searched for.
    pub(super) lost_attempts_checked_in: u64,
}

impl Controller {
    /// Creates a controller without servers or calls.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            timers: BTreeSet::new(),
            numbers: BTreeMap::new(),
            sticky_servers: BTreeMap::new(),
            next_interval_at: None,
            intervals: 0,
            timer_due_at: Micros::MAX,
            last_stall: Stall::default(),
            arrival_rate: 0.0,
            arrivals_in_interval: 0,
            lost_attempts_checked_in: 0,
        }
    }
}

/// State kept for one setup server.
pub(super) struct Server {
    /// Its pool.
    pub pool: PoolId,
    /// Its status according to the endpoint list.
    pub status: ServerStatus,
    /// Time of the last start of its processor; 0 if it started long ago.
    pub started_at: Micros,
    /// `u` of the paper: whether the server is open to new calls.
    pub is_open: bool,
    /// Number of intervals since `is_open` last changed.
    pub intervals_since_switch: usize,
    /// Occupancy samples of the last intervals, newest first.
    pub occupancy_samples: [f64; overload::CONTROL_WINDOW],
    /// `MAX_OCCUPANCY` with the jitter of this interval applied.
    pub occupancy_limit: f64,
    /// `r` of the paper: rate of the token-bucket throttle, calls per second.
    pub throttle_rate: f64,
    /// Tokens in the bucket of the throttle.
    pub throttle_tokens: f64,
    /// Number of attempts sent in each of the last `RATE_SPANS` spans, newest first.
    pub sends_per_span: [u32; overload::RATE_SPANS],
    /// Smallest set-up delay measured, which is the round-trip time and the service time; `Micros::MAX` if
    /// none has been measured.
    pub min_setup_delay: Micros,
    /// Latest estimate of the queueing delay at its processor, microseconds.
    pub queueing_delay: f64,
    /// Time to which that estimate applies.
    pub queueing_delay_at: Micros,
    /// Queueing delay in its last load report.
    pub last_reported_delay: f64,
    /// Last reported utilization.
    pub utilization: f64,
    /// Last reported number of lines; 0 if unknown.
    pub total_lines: f64,
    /// Last reported number of free lines minus the attempts sent since then.
    pub free_lines: f64,
    /// Time of that report.
    pub free_lines_at: Micros,
    /// Exponentially weighted share of attempts that were rejected or timed out.
    pub overload_share: f64,
    /// Exponentially weighted share of attempts that failed.
    pub failure_share: f64,
    /// Calls whose attempt at this server is unanswered, with the send time of the attempt.
    pub unanswered: BTreeMap<CallId, Micros>,
    /// Latest send time among the attempts that have been established.
    pub newest_answered_sent_at: Micros,
    /// Time of its last answer.
    pub last_response_at: Micros,
    /// Time of the last report or measurement of its load.
    pub load_updated_at: Micros,
    /// Whether a health check of the server is outstanding.
    pub health_check_pending: bool,
    /// Send time of the last health check.
    pub health_check_sent_at: Micros,
    /// This gatekeeper's part of the rate that the server allows all gatekeepers together, calls per second;
    /// infinite if the server has reported none.
    pub allowed_rate: f64,
    /// Number of sends accumulated at the reported rate up to the last report of a rate, minus the attempts
    /// sent.
    pub earned_allowance: f64,
    /// Time of that report.
    pub allowance_updated_at: Micros,
    /// Number of sends that the rate allows now, refilled between reports.
    pub allowance: f64,
    /// Whether the server is ejected as an outlier and gets trial calls only.
    pub is_ejected: bool,
    /// Current interval between trial calls.
    pub trial_interval: Micros,
    /// Earliest time of the next trial call.
    pub next_trial_at: Micros,
    /// Unused tokens of the slow-start budget; an attempt costs one.
    pub slow_start_tokens: f64,
    /// Time at which the slow-start budget was last refilled.
    pub slow_start_updated_at: Micros,
}

impl Server {
    /// Creates the state for a server of which only the entry in the endpoint list is known. `phase`, from 0
    /// to 1, is the initial share of a token. It is drawn at random so that gatekeepers do not all obtain
    /// their tokens at the same time.
    pub fn new(entry: &ServerEntry, phase: f64, now: Micros) -> Self {
        Server {
            pool: entry.pool,
            status: entry.status,
            started_at: entry.started_at,
            is_open: true,
            intervals_since_switch: 0,
            occupancy_samples: [0.0; overload::CONTROL_WINDOW],
            occupancy_limit: occupancy::MAX_OCCUPANCY,
            throttle_rate: f64::MAX,
            throttle_tokens: 1.0,
            sends_per_span: [0; overload::RATE_SPANS],
            min_setup_delay: Micros::MAX,
            queueing_delay: 0.0,
            queueing_delay_at: now,
            last_reported_delay: 0.0,
            utilization: 0.0,
            total_lines: 0.0,
            free_lines: f64::INFINITY,
            free_lines_at: now,
            overload_share: 0.0,
            failure_share: 0.0,
            unanswered: BTreeMap::new(),
            newest_answered_sent_at: 0,
            last_response_at: now,
            load_updated_at: 0,
            health_check_pending: false,
            health_check_sent_at: 0,
            allowed_rate: f64::INFINITY,
            earned_allowance: phase,
            allowance_updated_at: now,
            allowance: f64::INFINITY,
            is_ejected: false,
            trial_interval: outlier::MIN_TRIAL_INTERVAL,
            next_trial_at: 0,
            slow_start_tokens: phase,
            slow_start_updated_at: now,
        }
    }
}

/// The attempt of a call that is in flight.
#[derive(Clone, Copy)]
pub(super) struct InFlight {
    /// The server that it was sent to.
    pub server: ServerId,
    /// Index of the attempt within the call, from 0.
    pub attempt: u32,
}

/// Sort key of a call among those that wait for a server. Smaller keys are sent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingKey {
    /// Negated weight of the call, as a whole number.
    pub rank: i64,
    /// Latest time at which sending an attempt is still useful.
    pub latest_send_at: Micros,
    /// The call.
    pub call: CallId,
}

/// A time at which a call must be processed again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallTimer {
    /// The time.
    pub at: Micros,
    /// The call.
    pub call: CallId,
}

/// A period in which this gatekeeper processed no events.
#[derive(Clone, Copy, Default)]
pub(super) struct Stall {
    /// Due time of the timer that was missed.
    pub started_at: Micros,
    /// Time of the first event after the stall.
    pub ended_at: Micros,
}

/// State kept for a call that has no final answer yet.
pub(super) struct Call {
    /// Index of its class in the settings.
    pub class: usize,
    /// The number called.
    pub number: Number,
    /// Its pool of first choice.
    pub first_choice: PoolId,
    /// Whether the call was forwarded by another gatekeeper and may only go to its first choice.
    pub in_transit: bool,
    /// Time at which its caller gives up.
    pub deadline: Micros,
    /// Latest time at which sending an attempt is still useful.
    pub latest_send_at: Micros,
    /// Rank among waiting calls; the smallest rank is sent first.
    pub rank: i64,
    /// Whether the call has less weight than its class: it is a redial, or its number gets a high volume of
    /// calls.
    pub is_low_priority: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Whether an attempt may have run at its server.
    pub may_have_run: bool,
    /// The attempt in flight, if any.
    pub in_flight: Option<InFlight>,
    /// Earliest time of the next attempt.
    pub not_before: Micros,
    /// The server of its last attempt.
    pub last_server: Option<ServerId>,
    /// Whether a search for a server has failed since the last attempt of the call.
    pub is_deferred: bool,
}

impl Call {
    /// Sort key of the call among the waiting calls.
    pub fn waiting_key(&self, id: CallId) -> WaitingKey {
        WaitingKey { rank: self.rank, latest_send_at: self.latest_send_at, call: id }
    }
}

/// State kept for a called number.
#[derive(Default)]
pub(super) struct CalledNumber {
    /// Number of recent calls to it, in which older calls count less.
    pub recent_calls: f64,
    /// Arrival time of the last call to it.
    pub last_call_at: Micros,
    /// Time until which all its lines are assumed to be busy.
    pub busy_until: Micros,
    /// Time at which a call to it was last rejected or failed.
    pub failed_at: Option<Micros>,
    /// Number of attempts to it that are in flight.
    pub in_flight: u32,
}
