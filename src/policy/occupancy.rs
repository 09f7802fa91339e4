//! Occupancy estimation: estimates how busy each server's processor is from load reports, measured set-up
//! delays, unanswered set-ups and the share of attempts that were rejected. A server without any evidence has
//! an occupancy of 0 (design).

use super::controller::MICROS_PER_SECOND;
use super::interface::{CallId, LoadReport, Micros, ServerId};
use super::outlier;
use super::overload::THROTTLE_DEPTH_S;
use super::state::{Controller, Server};

/// `P_max`: occupancy above which a server is closed to new calls (paper 0.80).
pub(super) const MAX_OCCUPANCY: f64 = 0.80;
/// Queueing delay at which occupancy equals `MAX_OCCUPANCY`, as a share of the shortest latency objective or
/// of the retransmission time, whichever is shorter. Above half of that time a small further increase causes
/// retransmissions, which increase the delay again.
pub(super) const TARGET_DELAY_SHARE: f64 = 0.5;
/// Share of the smallest set-up delay that is service time at the server rather than round-trip time.
const SERVICE_TIME_SHARE: f64 = 0.8;
/// Number of queued set-ups that an unanswered set-up represents, per gatekeeper, since other gatekeepers
/// send to the same server. This detects overload of any cause before it shows in measured delays.
/// Disadvantage: the estimate is too high for a gatekeeper that is the only one sending.
const UNANSWERED_WEIGHT_PER_GATEKEEPER: f64 = 0.4;
/// Rate at which an estimated queueing delay decays, in seconds per second. It is less than 1 since other
/// gatekeepers keep sending.
const QUEUE_DRAIN_RATE: f64 = 0.4;
/// Occupancy that an overload share of 1 stands for, as a multiple of `MAX_OCCUPANCY`.
const OVERLOAD_SHARE_FACTOR: f64 = 2.0;
/// Determines this gatekeeper's part of the rate that a server allows all gatekeepers together: an even
/// share, multiplied by 1 plus this factor times this gatekeeper's arrival rate per server in calls per
/// second. The factor accounts for gatekeepers with different amounts of traffic.
const ALLOWED_RATE_FACTOR: f64 = 1.0;
/// Latency objective if the settings define no class, or not the class of a call.
pub(super) const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;

impl Controller {
    /// Queueing delay that corresponds to an occupancy of `MAX_OCCUPANCY`, microseconds.
    pub(super) fn target_delay(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let objective = objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let retransmit_after = self.settings.retransmit_after;
        let retransmit = if retransmit_after > 0 { retransmit_after } else { objective };
        TARGET_DELAY_SHARE * objective.min(retransmit).max(1) as f64
    }

    /// Estimates the current occupancy of a server from all available evidence.
    pub(super) fn occupancy(&self, server: &Server) -> f64 {
        let decayed_delay =
            server.queueing_delay - QUEUE_DRAIN_RATE * (self.now - server.queueing_delay_at) as f64;
        let unanswered_work =
            self.unanswered_weight() * server.unanswered.len() as f64 * server.service_time();
        let delay = decayed_delay.max(self.unanswered_delay(server)).max(0.0) + unanswered_work;
        let relative_delay = delay / self.target_delay();
        MAX_OCCUPANCY * relative_delay.max(server.overload_share * OVERLOAD_SHARE_FACTOR)
    }

    /// Time by which the oldest unanswered set-up has exceeded the smallest set-up delay, microseconds. A
    /// set-up is treated as lost rather than waiting once a later one has been answered; only its timeout
    /// then counts. Without this exception a lost answer would close an idle server.
    fn unanswered_delay(&self, server: &Server) -> f64 {
        let waiting = server.unanswered.values().filter(|sent| **sent >= server.newest_answered_sent_at);
        let oldest = waiting.min().map_or(0, |sent| self.observed_until().saturating_sub(*sent));
        let usual = if server.min_setup_delay == Micros::MAX { 0 } else { server.min_setup_delay };
        oldest.saturating_sub(usual) as f64
    }

    /// Number of queued set-ups that one unanswered set-up of this gatekeeper represents.
    fn unanswered_weight(&self) -> f64 {
        (UNANSWERED_WEIGHT_PER_GATEKEEPER * self.settings.gatekeeper_count as f64).max(1.0)
    }

    /// Time up to which this gatekeeper has certainly observed all events. This is the current time, except
    /// for the first event after a stall of this gatekeeper: what is read then may have arrived at any time
    /// since the start of the stall. Without this distinction a stall would be attributed to the servers as
    /// queueing delay. Disadvantage: an overload that begins during the stall is detected later.
    pub(super) fn observed_until(&self) -> Micros {
        if self.now == self.last_stall.ended_at { self.last_stall.started_at } else { self.now }
    }

    /// Queueing delay that one overload signal represents, microseconds. It increases as such signals recur.
    pub(super) fn overload_delay(&self, server: ServerId) -> f64 {
        let share = self.servers.get(&server).map_or(0.0, |server| server.overload_share);
        (share * 10.0 + 2.0) * self.target_delay()
    }

    /// Records the current queueing delay of a server, microseconds.
    pub(super) fn record_delay(&mut self, server: ServerId, delay: f64) {
        if let Some(server) = self.servers.get_mut(&server) {
            (server.queueing_delay, server.queueing_delay_at) = (delay, self.now);
            server.load_updated_at = self.now;
        }
    }

    /// Updates the state of a server from a load report. Absent, negative and non-finite values are ignored.
    /// Returns whether the report contained a utilization, a queueing delay or an allowed rate.
    pub(super) fn record_load(&mut self, id: ServerId, report: &LoadReport) -> bool {
        let valid = |value: Option<f64>| value.filter(|value| value.is_finite() && *value >= 0.0);
        let calls_per_server = self.arrival_rate / self.servers.len().max(1) as f64;
        let gatekeepers = self.settings.gatekeeper_count.max(1) as f64;
        let gatekeeper_share = (1.0 + ALLOWED_RATE_FACTOR * calls_per_server) / gatekeepers;
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let utilization = valid(report.utilization);
        server.utilization = utilization.unwrap_or(server.utilization);
        if let Some(free_lines) = valid(report.free_lines) {
            (server.free_lines, server.free_lines_at) = (free_lines, now);
        }
        server.total_lines = valid(report.total_lines).unwrap_or(server.total_lines);
        let queue = valid(report.queued_setups).map(|queued| queued * server.service_time());
        let allowed_rate = valid(report.allowed_rate);
        if let Some(allowed_rate) = allowed_rate {
            server.set_allowed_rate(gatekeeper_share * allowed_rate, now);
        }
        let delay = valid(report.queueing_delay_ms).map(|ms| ms * 1000.0).or(queue);
        if let Some(delay) = delay {
            server.set_reported_delay(delay, now);
        }
        utilization.is_some() || delay.is_some() || allowed_rate.is_some()
    }

    /// Processes the first answer to an attempt. `elapsed` is the time since the attempt was sent if the call
    /// was established, otherwise `None`.
    pub(super) fn record_answer(&mut self, call: CallId, id: ServerId, elapsed: Option<Micros>) {
        self.mark_responsive(id);
        let stalled_for = self.now - self.observed_until();
        let Some(server) = self.servers.get_mut(&id) else { return };
        let sent = server.unanswered.remove(&call);
        let Some(elapsed) = elapsed else { return };
        server.newest_answered_sent_at = server.newest_answered_sent_at.max(sent.unwrap_or(0));
        server.min_setup_delay = server.min_setup_delay.min(elapsed);
        server.overload_share *= 1.0 - outlier::ANSWER_WEIGHT;
        server.failure_share *= 1.0 - outlier::ANSWER_WEIGHT;
        let delay = elapsed.saturating_sub(server.min_setup_delay.max(stalled_for)) as f64;
        self.record_delay(id, delay);
    }
}

impl Server {
    /// Estimated service time of one set-up at this server, microseconds; 0 if unknown.
    fn service_time(&self) -> f64 {
        if self.min_setup_delay == Micros::MAX {
            0.0
        } else {
            SERVICE_TIME_SHARE * self.min_setup_delay as f64
        }
    }

    /// Sets the rate at which this gatekeeper may send to the server, calls per second.
    fn set_allowed_rate(&mut self, rate: f64, now: Micros) {
        self.allowed_rate = rate;
        let earned = rate * (now - self.allowance_updated_at) as f64 / MICROS_PER_SECOND;
        let capacity = (THROTTLE_DEPTH_S * rate).max(1.0);
        self.earned_allowance = (self.earned_allowance + earned).min(capacity);
        self.allowance = self.allowance.min(self.earned_allowance);
        self.load_updated_at = now;
        self.allowance_updated_at = now;
    }

    /// Records the queueing delay of a load report. Every answer carries a load report, but servers update
    /// its values only from time to time. A repeated value is therefore an old one, which keeps decaying; a
    /// changed value is a current measurement. Without this distinction the last value of an overload would
    /// keep a server closed long after it has become idle.
    fn set_reported_delay(&mut self, delay: f64, now: Micros) {
        if delay != self.last_reported_delay {
            (self.queueing_delay, self.queueing_delay_at) = (delay, now);
            self.last_reported_delay = delay;
        }
        self.load_updated_at = now;
    }
}
