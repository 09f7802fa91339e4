//! Slow start: the budget of attempts for a server that is warming up, so that all gatekeepers together do
//! not push it over.

use super::controller::MICROS_PER_SECOND;
use super::interface::{Micros, Rules, ServerStatus};
use super::state::{Controller, Server};

/// Share of the budget that is used: retransmissions and other gatekeepers' estimates may be off.
const BUDGET_MARGIN: f64 = 0.3;
/// How long an unused token of the budget holds, as a share of the time in which a server falls over.
const TOKEN_LIFETIME_SHARE: f64 = 0.3;

impl Controller {
    /// Whether a server has started so recently that it is still warming up.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        let warm_up = self.settings.rules.warm_up_duration;
        server.started_at > 0 && self.now < server.started_at.saturating_add(warm_up)
    }

    /// Brings every server's budget up to date. Its rate is the share of capacity that the server has by now
    /// (straight from start to warm-up) times what this gatekeeper usually sends to a server of that many
    /// lines, an unknown one counting as the smallest; all gatekeepers' sum to a server's load. A token that
    /// is not used soon is gone, so that hundreds of gatekeepers cannot save up one each and spend all at
    /// once. Could harm: one with few calls seldom meets a token.
    pub(super) fn refill_slow_start(&mut self) {
        let up = |server: &&Server| server.status == ServerStatus::Up;
        let lines = self.servers.values().filter(up).map(|server| server.total_lines);
        let known: Vec<f64> = lines.filter(|lines| *lines > 0.0).collect();
        let all_lines: f64 = known.iter().sum();
        let min_lines = known.iter().copied().fold(f64::INFINITY, f64::min);
        let servers_up = self.servers.values().filter(up).count().max(1) as f64;
        for server in self.servers.values_mut() {
            let known_part = server.total_lines.max(min_lines) / all_lines;
            let part = if all_lines > 0.0 { known_part } else { 1.0 / servers_up };
            let usual_rate = part.min(1.0);
            let capacity = self.settings.rules.capacity_share(server.started_at, self.now);
            let multiple = self.settings.rules.overload_multiple;
            let rate = multiple * capacity * usual_rate * self.arrival_rate * BUDGET_MARGIN;
            let in_window = rate * self.settings.rules.overload_window as f64 / MICROS_PER_SECOND;
            let in_tick = rate * self.settings.tick as f64 / MICROS_PER_SECOND;
            let max_unused = (in_window * TOKEN_LIFETIME_SHARE).max(in_tick);
            server.refill_slow_start(rate, max_unused, self.now);
        }
    }
}

impl Rules {
    /// Share of its capacity that a server which started then has by now.
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
