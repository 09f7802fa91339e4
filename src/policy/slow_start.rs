//! Slow start: limits the attempts to a server that is warming up, so that all gatekeepers together do not
//! overload it.

use super::controller::MICROS_PER_SECOND;
use super::interface::{Micros, Rules, ServerStatus};
use super::state::{Controller, Server};

/// Share of the budget that is used. The margin covers retransmissions and errors in the estimates of other
/// gatekeepers.
const BUDGET_MARGIN: f64 = 0.3;
/// Lifetime of an unused token of the budget, as a share of `overload_window`.
const TOKEN_LIFETIME_SHARE: f64 = 0.3;

impl Controller {
    /// Whether a server is still warming up after a recent start.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        let warm_up = self.settings.rules.warm_up_duration;
        server.started_at > 0 && self.now < server.started_at.saturating_add(warm_up)
    }

    /// Refills the slow-start budget of every server. The rate of the budget is proportional to the share of
    /// its capacity that the server has now, which rises linearly during the warm-up, and to the rate that
    /// this gatekeeper would usually send to a server with that many lines. A server with an unknown number
    /// of lines counts as the smallest one. The budgets of all gatekeepers together add up to the load of a
    /// server. An unused token expires soon, since otherwise hundreds of gatekeepers could save one token
    /// each and use them all at once. Disadvantage: a gatekeeper with few calls seldom has a token when a
    /// call arrives.
    pub(super) fn refill_slow_start(&mut self) {
        let is_up = |server: &&Server| server.status == ServerStatus::Up;
        let lines = self.servers.values().filter(is_up).map(|server| server.total_lines);
        let known: Vec<f64> = lines.filter(|lines| *lines > 0.0).collect();
        let all_lines: f64 = known.iter().sum();
        let min_lines = known.iter().copied().fold(f64::INFINITY, f64::min);
        let servers_up = self.servers.values().filter(is_up).count().max(1) as f64;
        for server in self.servers.values_mut() {
            let known_share = server.total_lines.max(min_lines) / all_lines;
            let line_share = if all_lines > 0.0 { known_share } else { 1.0 / servers_up };
            let traffic_share = line_share.min(1.0);
            let capacity = self.settings.rules.capacity_share(server.started_at, self.now);
            let multiple = self.settings.rules.overload_multiple;
            let rate = multiple * capacity * traffic_share * self.arrival_rate * BUDGET_MARGIN;
            let tokens_per_window = rate * self.settings.rules.overload_window as f64 / MICROS_PER_SECOND;
            let tokens_per_tick = rate * self.settings.tick as f64 / MICROS_PER_SECOND;
            let max_unused = (tokens_per_window * TOKEN_LIFETIME_SHARE).max(tokens_per_tick);
            server.refill_slow_start(rate, max_unused, self.now);
        }
    }
}

impl Rules {
    /// Share of its capacity that a server has at `now` if it started at `started_at`.
    fn capacity_share(&self, started_at: Micros, now: Micros) -> f64 {
        let age = now.saturating_sub(started_at) as f64 / self.warm_up_duration.max(1) as f64;
        self.initial_capacity + (1.0 - self.initial_capacity) * age.min(1.0)
    }
}

impl Server {
    fn refill_slow_start(&mut self, rate: f64, max_unused: f64, now: Micros) {
        let elapsed = (now - self.slow_start_updated_at) as f64;
        self.slow_start_tokens += rate * elapsed / MICROS_PER_SECOND;
        if self.slow_start_tokens > 1.0 + max_unused {
            self.slow_start_tokens -= self.slow_start_tokens.floor();
        }
        self.slow_start_updated_at = now;
    }
}
