//! What the decision module remembers. Data only: [`Controller`] owns all of it, and the modules beside this
//! one decide on it.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use super::interface::{CallId, Micros, Number, PoolId, ServerEntry, ServerId, ServerStatus, Settings};
use super::{occupancy, outlier, overload};

/// One gatekeeper's decisions.
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) rng: Pcg32,
    pub(super) now: Micros,
    pub(super) servers: BTreeMap<ServerId, Server>,
    /// Calls without a final answer.
    pub(super) calls: BTreeMap<CallId, Call>,
    /// Those of them with no attempt in flight, in the order in which they are sent.
    pub(super) waiting: BTreeSet<WaitingKey>,
    pub(super) timers: BTreeSet<CallTimer>,
    pub(super) numbers: BTreeMap<Number, CalledNumber>,
    /// By pool of first choice, the server that last took a call for it.
    pub(super) sticky: BTreeMap<PoolId, ServerId>,
    pub(super) next_interval_at: Option<Micros>,
    /// Intervals since the start.
    pub(super) intervals: u64,
    /// When the timer is due that was last asked for.
    pub(super) timer_due_at: Micros,
    /// This gatekeeper's own last stall.
    pub(super) last_stall: Stall,
    /// Own arrivals, calls a second.
    pub(super) arrival_rate: f64,
    pub(super) arrivals_in_interval: u32,
    /// The interval in which lost attempts were last looked for.
    pub(super) lost_checked_in: u64,
}

impl Controller {
    /// A gatekeeper with nothing known yet but its settings.
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
            sticky: BTreeMap::new(),
            next_interval_at: None,
            intervals: 0,
            timer_due_at: Micros::MAX,
            last_stall: Stall::default(),
            arrival_rate: 0.0,
            arrivals_in_interval: 0,
            lost_checked_in: 0,
        }
    }
}

/// One setup server.
pub(super) struct Server {
    /// Its pool.
    pub pool: PoolId,
    /// Its status by the endpoint list.
    pub status: ServerStatus,
    /// When its processor started; 0: long ago.
    pub started_at: Micros,
    /// `u` of the paper: new calls may go here.
    pub is_open: bool,
    /// Intervals since `is_open` changed.
    pub intervals_since_switch: usize,
    /// Occupancy of the last intervals, newest first.
    pub occupancy_samples: [f64; overload::CONTROL_WINDOW],
    /// Maximum occupancy with this interval's jitter.
    pub occupancy_limit: f64,
    /// `r` of the paper: rate of the token-bucket throttle, calls a second.
    pub throttle_rate: f64,
    /// Tokens in that bucket.
    pub throttle_tokens: f64,
    /// Attempts sent in each of the last spans, newest first.
    pub sends_per_span: [u32; overload::RATE_SPANS],
    /// Smallest set-up delay seen: the way there and back and the work itself; `Micros::MAX`: none seen.
    pub min_setup_delay: Micros,
    /// Latest evidence of the wait at its processor, microseconds.
    pub queue_wait: f64,
    /// When that evidence was true.
    pub queue_wait_at: Micros,
    /// The wait in its last load report.
    pub last_reported_wait: f64,
    /// Its reported utilization.
    pub utilization: f64,
    /// Its reported number of lines; 0: unknown.
    pub total_lines: f64,
    /// Free lines as last reported, less the attempts sent since.
    pub free_lines: f64,
    /// When they were reported.
    pub free_lines_at: Micros,
    /// Running share of attempts that were rejected or timed out.
    pub overload_share: f64,
    /// Running share of attempts that failed.
    pub failure_share: f64,
    /// Attempts without an answer, and when they were sent.
    pub unanswered: BTreeMap<CallId, Micros>,
    /// When the latest attempt was sent that was established since.
    pub newest_answered_sent_at: Micros,
    /// When it last answered.
    pub last_heard_at: Micros,
    /// When its load was last reported or measured.
    pub load_updated_at: Micros,
    /// A health check there has no result yet.
    pub health_check_pending: bool,
    /// When the last health check was sent.
    pub health_check_sent_at: Micros,
    /// This gatekeeper's part of the rate that the server allows all, calls a second; infinite: not reported.
    pub allowed_rate: f64,
    /// Sends that the reported rate had earned at its last report.
    pub earned_allowance: f64,
    /// When that was.
    pub allowance_updated_at: Micros,
    /// Sends that the rate allows now, while no new rate is reported.
    pub allowance: f64,
    /// An outlier that gets trial calls only.
    pub is_ejected: bool,
    /// Time between trial calls.
    pub trial_interval: Micros,
    /// When the next trial call may be sent.
    pub next_trial_at: Micros,
    /// Unspent part of the slow-start budget, in attempts.
    pub slow_start_tokens: f64,
    /// When that was last computed.
    pub slow_start_updated_at: Micros,
}

impl Server {
    /// A server of which nothing is known but its entry in the list. `phase`, from 0 to 1, is its first share
    /// of a token, drawn so that gatekeepers do not earn their tokens in step.
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
            queue_wait: 0.0,
            queue_wait_at: now,
            last_reported_wait: 0.0,
            utilization: 0.0,
            total_lines: 0.0,
            free_lines: f64::INFINITY,
            free_lines_at: now,
            overload_share: 0.0,
            failure_share: 0.0,
            unanswered: BTreeMap::new(),
            newest_answered_sent_at: 0,
            last_heard_at: now,
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

/// The attempt of a call that has no answer yet.
#[derive(Clone, Copy)]
pub(super) struct InFlight {
    /// Where it was sent.
    pub server: ServerId,
    /// Which of the call's attempts it is, from 0.
    pub attempt: u32,
}

/// Place of a call among those that wait for a server: the smaller is sent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingKey {
    /// Rank by what the call earns.
    pub rank: i64,
    /// Latest useful time for an attempt.
    pub latest_send_at: Micros,
    /// The call.
    pub call: CallId,
}

/// A time at which a call must be looked at again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallTimer {
    /// When.
    pub at: Micros,
    /// The call.
    pub call: CallId,
}

/// A time in which this gatekeeper did not run.
#[derive(Clone, Copy, Default)]
pub(super) struct Stall {
    /// A timer was due then.
    pub started_at: Micros,
    /// The first event after it was seen then.
    pub ended_at: Micros,
}

/// A call that has no final answer yet.
pub(super) struct Call {
    /// Its class, by its place in the settings.
    pub class: usize,
    /// The number called.
    pub number: Number,
    /// Its pool of first choice.
    pub first_choice: PoolId,
    /// Only its first choice may take it.
    pub in_transit: bool,
    /// When its caller gives up.
    pub deadline: Micros,
    /// Latest useful time for an attempt.
    pub latest_send_at: Micros,
    /// Rank among waiting calls: the smaller goes first.
    pub rank: i64,
    /// It earns less than its class does: it is a redial, or its number is crowded.
    pub is_low_priority: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// An attempt may have run at its server.
    pub may_have_run: bool,
    /// The attempt without an answer, if there is one.
    pub in_flight: Option<InFlight>,
    /// No attempt before this.
    pub not_before: Micros,
    /// The server of its last attempt.
    pub last_server: Option<ServerId>,
    /// It found no server since its last attempt.
    pub is_held: bool,
}

impl Call {
    /// Its place among the waiting calls.
    pub fn waiting_key(&self, id: CallId) -> WaitingKey {
        WaitingKey { rank: self.rank, latest_send_at: self.latest_send_at, call: id }
    }
}

/// What is known of a called number.
#[derive(Default)]
pub(super) struct CalledNumber {
    /// Calls to it of late, older ones counting less.
    pub recent_calls: f64,
    /// When the last one came.
    pub last_call_at: Micros,
    /// All its lines are taken to be busy until then.
    pub busy_until: Micros,
    /// When a call to it was last rejected or failed.
    pub failed_at: Option<Micros>,
    /// Attempts in flight.
    pub in_flight: u32,
}
