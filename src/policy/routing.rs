//! Routing: which servers a call may go to by the rules and by overload control, and which one it goes to.

use rand_core::RngCore;

use super::interface::{Micros, ServerId, ServerStatus};
use super::state::{Call, Controller, Server};

/// Share of failed attempts past which a server comes last in the choice.
const MAX_FAILURE_SHARE: f64 = 0.4;
/// Share of the limit up to which a server takes low-priority calls: new calls need the rest.
const LOW_PRIORITY_OCCUPANCY_SHARE: f64 = 0.4;
/// Share of a server's lines that such a call must leave free: it would hold one for as long as a new call.
const LOW_PRIORITY_FREE_SHARE: f64 = 0.1;
/// How long the count of free lines holds: a server that reports none must not stay closed.
const MAX_FREE_LINES_AGE: Micros = 500_000;

impl Controller {
    /// The last check before a send: rules 2 to 5 and the limits on attempts. Spends nothing.
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

    /// Whether the call's class may go to the server's pool.
    fn is_eligible(&self, call: &Call, server: &Server) -> bool {
        let pools = self.settings.classes.get(call.class).and_then(|class| class.pools.as_ref());
        (!call.in_transit || server.pool == call.first_choice)
            && pools.is_none_or(|pools| pools.contains(&server.pool))
    }

    /// Whether the call may be sent to the server now.
    fn admits(&self, call: &Call, id: ServerId) -> bool {
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

    /// Whether the server's occupancy leaves room for the call.
    fn has_capacity(&self, call: &Call, server: &Server) -> bool {
        let occupancy = self.occupancy(server);
        let has_spare = || {
            occupancy <= LOW_PRIORITY_OCCUPANCY_SHARE * server.occupancy_limit
                && server.free_lines >= LOW_PRIORITY_FREE_SHARE * server.total_lines
        };
        occupancy <= server.occupancy_limit && (!call.is_low_priority || has_spare())
    }

    /// Chooses a server. One that fails many attempts answers fast and looks idle; it and the one of the
    /// call's last attempt come last. They do come: a failed attempt is cheap, the next may succeed. Guards
    /// also against any server quick to err. Could harm: a call may use up its attempts on one bad server.
    pub(super) fn route(&mut self, call: &Call) -> Option<ServerId> {
        let is_sound = |id: &ServerId, server: &Server| {
            call.last_server != Some(*id) && server.failure_share < MAX_FAILURE_SHARE
        };
        self.pick(call, is_sound).or_else(|| self.pick(call, |_, _| true))
    }

    /// The first choice while it is open, else the server that last took a call, else a random one by size.
    fn pick(&mut self, call: &Call, is_candidate: impl Fn(&ServerId, &Server) -> bool) -> Option<ServerId> {
        let fits = |id: &ServerId| is_candidate(id, &self.servers[id]) && self.admits(call, *id);
        let in_first_choice = |(_, server): &(&ServerId, &Server)| server.pool == call.first_choice;
        let mut first_choice = self.servers.iter().filter(in_first_choice).map(|(id, _)| *id);
        if let Some(id) = first_choice.find(|id| fits(id)) {
            return Some(id);
        }
        if let Some(id) = self.sticky.get(&call.first_choice).copied().filter(|id| fits(id)) {
            return Some(id);
        }
        let others: Vec<ServerId> = self.servers.keys().copied().filter(|id| fits(id)).collect();
        let size = |id: &ServerId| self.servers[id].total_lines.max(1.0);
        let all = others.iter().map(size).sum::<f64>();
        let mut draw = all * self.rng.next_u32() as f64 / u32::MAX as f64;
        others.iter().copied().find(|id| {
            draw -= size(id);
            draw <= 0.0
        })
    }
}

impl Server {
    /// Whether `u` and `r` let the call pass: new calls while the server is open, the others by tokens.
    fn passes_throttle(&self, call: &Call) -> bool {
        let is_retry = call.last_server.is_some();
        let is_new = !is_retry && !call.is_held;
        let has_token = self.throttle_tokens >= 1.0;
        match (self.is_open, is_new) {
            (true, true) => true,
            (true, false) => is_retry || has_token,
            (false, false) => (is_retry && !self.is_throttled()) || has_token,
            (false, true) => false,
        }
    }
}
