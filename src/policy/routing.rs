//! Routing: determines the servers to which the rules and overload control admit a call, and selects one.

use rand_core::RngCore;

use super::interface::{Micros, ServerId, ServerStatus};
use super::state::{Call, Controller, Server};

/// Share of failed attempts from which a server is selected only as a last resort.
const MAX_FAILURE_SHARE: f64 = 0.4;
/// Share of the occupancy limit up to which a server gets low-priority calls. The rest is reserved for
/// other calls.
const LOW_PRIORITY_OCCUPANCY_SHARE: f64 = 0.4;
/// Share of a server's lines that must be free for a low-priority call. Such a call would occupy a line for
/// as long as a new call.
const LOW_PRIORITY_FREE_SHARE: f64 = 0.1;
/// Time for which a count of free lines is valid. It is limited so that a server that reported no free line
/// is not excluded until its next report.
const MAX_FREE_LINES_AGE: Micros = 500_000;

impl Controller {
    /// Whether rules 2 to 5 and the limits on attempts permit sending the call to the server. Consumes no
    /// tokens.
    fn is_allowed(&self, call: &Call, server: &Server) -> bool {
        let class = self.settings.classes.get(call.class);
        call.in_flight.is_none()
            && self.now >= call.not_before
            && self.now + self.settings.tick < call.deadline
            && call.attempts < call.max_attempts
            && (!call.may_have_run || class.is_none_or(|class| class.is_idempotent))
            && server.status == ServerStatus::Up
            && (!self.is_warming_up(server) || server.slow_start_tokens >= 1.0)
    }

    /// Whether the call may be sent to the server's pool, according to its class and its first choice.
    fn is_eligible(&self, call: &Call, server: &Server) -> bool {
        let pools = self.settings.classes.get(call.class).and_then(|class| class.pools.as_ref());
        (!call.in_transit || server.pool == call.first_choice)
            && pools.is_none_or(|pools| pools.contains(&server.pool))
    }

    /// Whether the call may be sent to the server now.
    fn can_accept(&self, call: &Call, id: ServerId) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        if !self.is_allowed(call, server) || !self.is_eligible(call, server) {
            return false;
        }
        if server.is_ejected {
            return server.unanswered.is_empty() && self.now >= server.next_trial_at;
        }
        if server.free_lines < 1.0 && self.now < server.free_lines_at + MAX_FREE_LINES_AGE {
            return false;
        }
        self.has_capacity(call, server) && server.allowance >= 1.0 && server.passes_throttle(call)
    }

    /// Whether the server's occupancy permits the call, and for a low-priority call also its free lines.
    fn has_capacity(&self, call: &Call, server: &Server) -> bool {
        let occupancy = self.occupancy(server);
        let has_spare_capacity = || {
            occupancy <= LOW_PRIORITY_OCCUPANCY_SHARE * server.occupancy_limit
                && server.free_lines >= LOW_PRIORITY_FREE_SHARE * server.total_lines
        };
        occupancy <= server.occupancy_limit && (!call.is_low_priority || has_spare_capacity())
    }

    /// Chooses a server for the call. A server that fails many attempts answers fast and appears idle, so it
    /// is chosen last, as is the server of the call's last attempt. They are still chosen if no other server
    /// is available, because a failed attempt is cheap and the next one may succeed. This covers every
    /// server that fails attempts quickly, whatever the cause. Disadvantage: a call may use all its attempts
    /// on one faulty server.
    pub(super) fn choose_server(&mut self, call: &Call) -> Option<ServerId> {
        let is_healthy = |id: &ServerId, server: &Server| {
            call.last_server != Some(*id) && server.failure_share < MAX_FAILURE_SHARE
        };
        self.pick_server(call, is_healthy).or_else(|| self.pick_server(call, |_, _| true))
    }

    /// Picks a server among the candidates that can accept the call: first one in the pool of first choice,
    /// then the server that last established a call of that choice, then a random one weighted by number of
    /// lines.
    fn pick_server(
        &mut self,
        call: &Call,
        is_candidate: impl Fn(&ServerId, &Server) -> bool,
    ) -> Option<ServerId> {
        let is_usable = |id: &ServerId| is_candidate(id, &self.servers[id]) && self.can_accept(call, *id);
        let in_first_choice = |(_, server): &(&ServerId, &Server)| server.pool == call.first_choice;
        let mut first_choice = self.servers.iter().filter(in_first_choice).map(|(id, _)| *id);
        if let Some(id) = first_choice.find(|id| is_usable(id)) {
            return Some(id);
        }
        if let Some(id) = self.sticky_servers.get(&call.first_choice).copied().filter(|id| is_usable(id)) {
            return Some(id);
        }
        let others: Vec<ServerId> = self.servers.keys().copied().filter(|id| is_usable(id)).collect();
        let size = |id: &ServerId| self.servers[id].total_lines.max(1.0);
        let total_size = others.iter().map(size).sum::<f64>();
        let mut draw = total_size * self.rng.next_u32() as f64 / u32::MAX as f64;
        others.iter().copied().find(|id| {
            draw -= size(id);
            draw <= 0.0
        })
    }
}

impl Server {
    /// Whether `u` and `r` admit the call. A new call needs an open server, a deferred one a token. A retry
    /// needs a token only while the server is closed and its throttle applies to retries.
    fn passes_throttle(&self, call: &Call) -> bool {
        let is_retry = call.last_server.is_some();
        let is_new = !is_retry && !call.is_deferred;
        let has_token = self.throttle_tokens >= 1.0;
        match (self.is_open, is_new) {
            (true, true) => true,
            (true, false) => is_retry || has_token,
            (false, false) => (is_retry && !self.is_throttled()) || has_token,
            (false, true) => false,
        }
    }
}
