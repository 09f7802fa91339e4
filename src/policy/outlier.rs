//! Outlier detection: a server that does not answer is ejected and gets trial calls only, outdated load
//! evidence is refreshed by health checks, and lost attempts are cancelled.

use super::interface::{Action, LoadReport, Micros, ServerId};
use super::occupancy::TARGET_DELAY_SHARE;
use super::state::{Controller, Server};

/// Weight of one answer in the exponentially weighted shares of a server.
pub(super) const ANSWER_WEIGHT: f64 = 0.3;
/// Factor by which those shares decay in each interval. A closed server gives no answers that would lower
/// them.
pub(super) const SHARE_DECAY: f64 = 0.97;
/// Shortest and longest interval between trial calls to an ejected server.
pub(super) const MIN_TRIAL_INTERVAL: Micros = 500_000;
const MAX_TRIAL_INTERVAL: Micros = 4_000_000;
/// Load evidence older than this is refreshed by a health check before a call is sent to the server. Load
/// reports have about this age anyway. Without the refresh, each of hundreds of gatekeepers gets answers too
/// rarely to detect an overload. Cost: a gatekeeper that is one of many sends a health check for most of its
/// calls; one with much traffic sends none.
const MAX_LOAD_AGE: Micros = 600_000;
/// The same limit for a server that reports an allowed rate. A token bucket enforces that rate, and it
/// changes more slowly than a queueing delay.
const MAX_RATE_AGE: Micros = 1_500_000;
/// A set-up is considered lost when a later one to the same server has been answered and it has itself been
/// unanswered for more than the queueing delay there plus the longer of two times: this share of the shortest
/// latency objective (or of the retransmission time if that is shorter), and this multiple of the smallest
/// set-up delay there. That is early enough for a retry within the objective. The rule covers servers that
/// lose set-ups or answers.
const LOST_SHARE: f64 = 0.2;
const LOST_SETUP_DELAYS: u64 = 3;

impl Controller {
    /// Records that a server has answered, which ends its ejection.
    pub(super) fn mark_responsive(&mut self, id: ServerId) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_response_at = now;
            server.is_ejected = false;
            server.trial_interval = MIN_TRIAL_INTERVAL;
        }
    }

    /// Records that a server rejected an attempt or did not answer it. If `has_no_response`, the server has
    /// answered nothing since that attempt was sent and is ejected.
    pub(super) fn record_overload_signal(&mut self, id: ServerId, has_no_response: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.overload_share += (1.0 - server.overload_share) * ANSWER_WEIGHT;
            if has_no_response {
                server.eject(now);
            }
        }
        self.sticky_servers.retain(|_, sticky| *sticky != id);
    }

    /// Processes the result of a health check, or a load report that came outside an attempt.
    pub(super) fn handle_load(&mut self, id: ServerId, answered: bool, report: &LoadReport) {
        if !answered {
            // A health check is queued like a set-up. If it fails, the server is overloaded or unreachable.
            self.record_delay(id, self.overload_delay(id));
            self.record_overload_signal(id, false);
        } else if self.record_load(id, report) {
            self.mark_responsive(id);
        }
        if let Some(server) = self.servers.get_mut(&id) {
            // Cleared even if nothing was reported, so that no call waits for a health check that has ended.
            server.health_check_pending = false;
        }
    }

    /// Whether a health check must be answered before a call is sent to the server, because its load evidence
    /// is too old. False if a health check was sent recently and has ended without evidence.
    pub(super) fn needs_health_check(&self, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id).filter(|_| self.settings.may_check_health) else {
            return false;
        };
        let is_pending = server.health_check_pending || self.is_stale(server.health_check_sent_at, server);
        self.is_stale(server.load_updated_at, server) && is_pending
    }

    fn is_stale(&self, updated_at: Micros, server: &Server) -> bool {
        self.now > updated_at + server.max_load_age()
    }

    /// Sends a health check unless one was sent recently.
    pub(super) fn check_health(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        if now > server.health_check_sent_at + server.max_load_age() {
            server.health_check_pending = true;
            server.health_check_sent_at = now;
            actions.push(Action::CheckHealth { server: id });
        }
    }

    /// Cancels lost attempts, once per interval. A lost attempt is no evidence of load, since the server
    /// answers other attempts.
    pub(super) fn cancel_lost_attempts(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel || self.lost_attempts_checked_in == self.intervals {
            return;
        }
        self.lost_attempts_checked_in = self.intervals;
        let min_lost_after = (LOST_SHARE / TARGET_DELAY_SHARE * self.target_delay()) as u64;
        let observed_until = self.observed_until();
        for server in self.servers.values_mut() {
            let delays = LOST_SETUP_DELAYS.saturating_mul(server.min_setup_delay);
            let lost_after = min_lost_after.max(delays).saturating_add(server.queueing_delay as u64);
            let newest_answered = server.newest_answered_sent_at;
            server.unanswered.retain(|id, sent| {
                let is_lost = *sent < newest_answered && observed_until > *sent + lost_after;
                let in_flight = self.calls.get(id).and_then(|call| call.in_flight);
                if let (true, Some(in_flight)) = (is_lost, in_flight) {
                    actions.push(Action::Cancel { call: *id, attempt: in_flight.attempt });
                }
                !is_lost
            });
        }
    }
}

impl Server {
    fn eject(&mut self, now: Micros) {
        let doubled = (self.trial_interval * 2).min(MAX_TRIAL_INTERVAL);
        self.trial_interval = if self.is_ejected { doubled } else { MIN_TRIAL_INTERVAL };
        self.is_ejected = true;
        self.next_trial_at = now + self.trial_interval;
    }

    fn max_load_age(&self) -> Micros {
        if self.allowed_rate.is_finite() { MAX_RATE_AGE } else { MAX_LOAD_AGE }
    }
}
