//! Occupancy estimation: how busy each server's processor is, from load reports, own set-up delays,
//! unanswered set-ups and the share of attempts that were rejected. An unheard server counts as 0 (design).

use super::controller::MICROS_PER_SECOND;
use super::interface::{CallId, LoadReport, Micros, ServerId};
use super::outlier;
use super::overload::THROTTLE_DEPTH_S;
use super::state::{Controller, Server};

/// `P_max`: occupancy past which new calls are kept from a server (paper 0.80).
pub(super) const MAX_OCCUPANCY: f64 = 0.80;
/// Wait at which occupancy equals `MAX_OCCUPANCY`, as a share of the shorter of the shortest latency
/// objective and the retransmission time: past half of that time a small further rise makes retransmissions,
/// which feed the wait.
pub(super) const WAIT_SHARE: f64 = 0.5;
/// Share of the smallest set-up delay that is work at the server and not the way there.
const WORK_SHARE: f64 = 0.8;
/// Set-ups that an unanswered one stands for, for each gatekeeper: others send to the same server. Guards
/// against jams of any cause before delays show them. Could harm a gatekeeper that sends alone.
const UNANSWERED_PER_GATEKEEPER: f64 = 0.4;
/// How fast evidence of a wait fades, seconds a second: less than 1, since other gatekeepers go on sending.
const QUEUE_DRAIN_RATE: f64 = 0.4;
/// What one unit of a server's overload share adds to its occupancy, relative to `MAX_OCCUPANCY`.
const OVERLOAD_SHARE_FACTOR: f64 = 2.0;
/// This gatekeeper's part of the rate that a server allows all: an even share, times 1 and this for each call
/// a second that it has for a server. Gatekeepers differ in size.
const ALLOWED_RATE_FACTOR: f64 = 1.0;
/// Latency objective where the settings name no class, microseconds.
pub(super) const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;

impl Controller {
    /// The wait that counts as `MAX_OCCUPANCY`, microseconds.
    pub(super) fn target_wait(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let objective = objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let retransmit_after = self.settings.retransmit_after;
        let retransmit = if retransmit_after > 0 { retransmit_after } else { objective };
        WAIT_SHARE * objective.min(retransmit).max(1) as f64
    }

    /// Occupancy of a server now, from all that is known of it.
    pub(super) fn occupancy(&self, server: &Server) -> f64 {
        let faded = server.queue_wait - QUEUE_DRAIN_RATE * (self.now - server.queue_wait_at) as f64;
        let queued = self.unanswered_weight() * server.unanswered.len() as f64 * server.work();
        let wait = faded.max(self.unanswered_wait(server)).max(0.0) + queued;
        let relative_wait = wait / self.target_wait();
        MAX_OCCUPANCY * relative_wait.max(server.overload_share * OVERLOAD_SHARE_FACTOR)
    }

    /// How much longer than usual the oldest unanswered set-up has waited, microseconds. One that later ones
    /// have passed is lost, not waiting: its time-out will tell. Guards against closing an idle server.
    fn unanswered_wait(&self, server: &Server) -> f64 {
        let waiting = server.unanswered.values().filter(|sent| **sent >= server.newest_answered_sent_at);
        let oldest = waiting.min().map_or(0, |sent| self.seen_until().saturating_sub(*sent));
        let usual = if server.min_setup_delay == Micros::MAX { 0 } else { server.min_setup_delay };
        oldest.saturating_sub(usual) as f64
    }

    /// Set-ups that one own unanswered set-up stands for.
    fn unanswered_weight(&self) -> f64 {
        (UNANSWERED_PER_GATEKEEPER * self.settings.gatekeeper_count as f64).max(1.0)
    }

    /// Until when this gatekeeper has surely seen what came: now, but what it finds after a stall of its own
    /// may have come at the start of it. Guards against taking that for the servers' wait. Could harm: a jam
    /// that begins with it.
    pub(super) fn seen_until(&self) -> Micros {
        if self.now == self.last_stall.ended_at { self.last_stall.started_at } else { self.now }
    }

    /// Wait that a sign of overload stands for, microseconds: more as such signs recur.
    pub(super) fn overload_wait(&self, server: ServerId) -> f64 {
        let share = self.servers.get(&server).map_or(0.0, |server| server.overload_share);
        (share * 10.0 + 2.0) * self.target_wait()
    }

    /// Notes a wait that is true now.
    pub(super) fn record_wait(&mut self, server: ServerId, wait: f64) {
        if let Some(server) = self.servers.get_mut(&server) {
            (server.queue_wait, server.queue_wait_at) = (wait, self.now);
            server.load_updated_at = self.now;
        }
    }

    /// Turns a load report into evidence; true if it held any. Absent and negative figures say nothing.
    pub(super) fn record_load(&mut self, id: ServerId, report: &LoadReport) -> bool {
        let valid = |figure: Option<f64>| figure.filter(|figure| figure.is_finite() && *figure >= 0.0);
        let calls_per_server = self.arrival_rate / self.servers.len().max(1) as f64;
        let gatekeepers = self.settings.gatekeeper_count.max(1) as f64;
        let part = (1.0 + ALLOWED_RATE_FACTOR * calls_per_server) / gatekeepers;
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let utilization = valid(report.utilization);
        server.utilization = utilization.unwrap_or(server.utilization);
        if let Some(free_lines) = valid(report.free_lines) {
            (server.free_lines, server.free_lines_at) = (free_lines, now);
        }
        server.total_lines = valid(report.total_lines).unwrap_or(server.total_lines);
        let queue = valid(report.queued_setups).map(|queued| queued * server.work());
        let allowed_rate = valid(report.allowed_rate);
        if let Some(allowed_rate) = allowed_rate {
            server.set_allowed_rate(part * allowed_rate, now);
        }
        let wait = valid(report.queue_wait_ms).map(|ms| ms * 1000.0).or(queue);
        if let Some(wait) = wait {
            server.set_reported_wait(wait, now);
        }
        utilization.is_some() || wait.is_some() || allowed_rate.is_some()
    }

    /// An attempt got its first answer; `elapsed` since it was sent where the call is established.
    pub(super) fn record_answer(&mut self, call: CallId, id: ServerId, elapsed: Option<Micros>) {
        self.record_alive(id);
        let stalled_for = self.now - self.seen_until();
        let Some(server) = self.servers.get_mut(&id) else { return };
        let sent = server.unanswered.remove(&call);
        let Some(elapsed) = elapsed else { return };
        server.newest_answered_sent_at = server.newest_answered_sent_at.max(sent.unwrap_or(0));
        server.min_setup_delay = server.min_setup_delay.min(elapsed);
        server.overload_share *= 1.0 - outlier::ANSWER_WEIGHT;
        server.failure_share *= 1.0 - outlier::ANSWER_WEIGHT;
        let wait = elapsed.saturating_sub(server.min_setup_delay.max(stalled_for)) as f64;
        self.record_wait(id, wait);
    }
}

impl Server {
    /// Work of one set-up here, microseconds: most of the smallest set-up delay seen.
    fn work(&self) -> f64 {
        if self.min_setup_delay == Micros::MAX { 0.0 } else { WORK_SHARE * self.min_setup_delay as f64 }
    }

    /// Takes the rate that this gatekeeper may send, calls a second.
    fn set_allowed_rate(&mut self, rate: f64, now: Micros) {
        self.allowed_rate = rate;
        let earned = rate * (now - self.allowance_updated_at) as f64 / MICROS_PER_SECOND;
        let capacity = (THROTTLE_DEPTH_S * rate).max(1.0);
        self.earned_allowance = (self.earned_allowance + earned).min(capacity);
        self.allowance = self.allowance.min(self.earned_allowance);
        self.load_updated_at = now;
        self.allowance_updated_at = now;
    }

    /// Takes a wait from a load report. A report comes with every answer but is drawn up now and then: the
    /// same figure again is the old one and has faded since; one that differs is new and true now. Guards
    /// against a jam's last figure keeping a server closed that has long been idle.
    fn set_reported_wait(&mut self, wait: f64, now: Micros) {
        if wait != self.last_reported_wait {
            (self.queue_wait, self.queue_wait_at) = (wait, now);
            self.last_reported_wait = wait;
        }
        self.load_updated_at = now;
    }
}
