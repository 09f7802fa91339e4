//! Outlier handling: servers that answer badly are avoided, those that do not answer are ejected and get
//! trial calls only, old evidence is refreshed by health checks, and lost attempts are cancelled.

use super::interface::{Action, LoadReport, Micros, ServerId};
use super::occupancy::WAIT_SHARE;
use super::state::{Controller, Server};

/// Weight of one answer in a server's running shares.
pub(super) const ANSWER_WEIGHT: f64 = 0.3;
/// What is left of those shares after an interval: a closed server gives no answers that would lower them.
pub(super) const SHARE_FADE: f64 = 0.97;
/// Shortest and longest time between trial calls to an ejected server.
pub(super) const MIN_TRIAL_INTERVAL: Micros = 500_000;
const MAX_TRIAL_INTERVAL: Micros = 4_000_000;
/// Own evidence older than this is refreshed by a health check before a call goes there: about the age that
/// reports have anyway. Guards against hundreds of gatekeepers that each hear too rarely to see a jam come.
/// Costs a health check for most calls of a gatekeeper that is one of many; one with much traffic sends none.
const MAX_LOAD_AGE: Micros = 600_000;
/// The same where the server reports a rate, which a bucket keeps to and which moves slower than a wait.
const MAX_RATE_AGE: Micros = 1_500_000;
/// A set-up that a later one has passed at its server is lost once it has waited this share of the shortest
/// latency objective, or this many of the smallest set-up delays there if that is longer, past the wait
/// there: early enough for a retry within the objective. Guards against servers that lose set-ups or answers.
const LOST_SHARE: f64 = 0.2;
const LOST_SETUP_DELAYS: u64 = 3;

impl Controller {
    /// A server has answered: it is no outlier.
    pub(super) fn record_alive(&mut self, id: ServerId) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_heard_at = now;
            server.is_ejected = false;
            server.trial_interval = MIN_TRIAL_INTERVAL;
        }
    }

    /// A server rejected an attempt or did not answer it; `unheard` if it has said nothing since that send.
    pub(super) fn record_fault(&mut self, id: ServerId, unheard: bool) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.overload_share += (1.0 - server.overload_share) * ANSWER_WEIGHT;
            if unheard {
                server.eject(now);
            }
        }
        self.sticky.retain(|_, sticky| *sticky != id);
    }

    /// A health check ended, or a load report came by itself.
    pub(super) fn record_health(&mut self, id: ServerId, answered: bool, report: &LoadReport) {
        if !answered {
            // A health check waits like a set-up: one that fails says that the server is overloaded or gone.
            self.record_wait(id, self.overload_wait(id));
            self.record_fault(id, false);
        } else if self.record_load(id, report) {
            self.record_alive(id);
        }
        if let Some(server) = self.servers.get_mut(&id) {
            // Also where nothing was reported: a call must not wait for a health check that was lost.
            server.health_check_pending = false;
        }
    }

    /// Whether what is known of a server is too old to send by.
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

    /// Sends a health check, unless one was sent of late.
    pub(super) fn check_health(&mut self, id: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        if now > server.health_check_sent_at + server.max_load_age() {
            server.health_check_pending = true;
            server.health_check_sent_at = now;
            actions.push(Action::CheckHealth { server: id });
        }
    }

    /// Once an interval, cancels lost attempts. They say nothing of the server's load: it answers others.
    pub(super) fn cancel_lost_attempts(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel || self.lost_checked_in == self.intervals {
            return;
        }
        self.lost_checked_in = self.intervals;
        let min_wait = (LOST_SHARE / WAIT_SHARE * self.target_wait()) as u64;
        let seen_until = self.seen_until();
        for server in self.servers.values_mut() {
            let delays = LOST_SETUP_DELAYS.saturating_mul(server.min_setup_delay);
            let lost_after = min_wait.max(delays).saturating_add(server.queue_wait as u64);
            let newest_answered = server.newest_answered_sent_at;
            server.unanswered.retain(|id, sent| {
                let is_lost = *sent < newest_answered && seen_until > *sent + lost_after;
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
