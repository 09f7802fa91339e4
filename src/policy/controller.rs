//! The entry point of the decision module: it dispatches events and ends measurement intervals.

use rand_core::RngCore;

use super::interface::*;
use super::overload::RATE_SPANS;
use super::state::{Controller, Server, Stall};

/// `T`: measurement interval (paper 2 s, design 0.5 s). It is short so that an overload is detected while its
/// calls can still be sent to other servers.
pub(super) const INTERVAL: Micros = 100_000;
/// Converts microseconds to seconds for rates per second.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;
/// Smallest weight of an interval in the average arrival rate, so that it covers about 50 intervals.
const MIN_ARRIVAL_WEIGHT: f64 = 0.02;
/// Delay of a timer, in ticks, above which this gatekeeper is considered to have stalled.
const STALL_TICKS: u64 = 2;
/// Key of the only timer.
const TIMER_KEY: u64 = 0;

impl Controller {
    /// Processes one event and appends the resulting actions in order. Time never goes back: if `now` is
    /// smaller than in an earlier event, the earlier time is used.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::EndpointList { scope, entries } => self.handle_endpoint_list(scope, &entries),
            Event::Call(call) => self.handle_new_call(&call, actions),
            Event::Established { call, server, elapsed, .. } => {
                self.handle_established(call, server, elapsed)
            }
            Event::AttemptEnded(end) => self.handle_attempt_ended(&end, actions),
            Event::CallerGone { call } => self.remove_call(call),
            Event::Load { server, answered, load } => self.handle_load(server, answered, &load),
            Event::Timer { .. } => {
                if self.now >= self.timer_due_at {
                    self.timer_due_at = Micros::MAX;
                }
            }
            Event::Message { .. } | Event::EndpointListUnavailable => {}
        }
        self.answer_due_calls(actions);
        self.cancel_lost_attempts(actions);
        self.send_waiting(actions);
        self.set_timer(actions);
    }

    /// Returns the current state of a server, for metrics and tests.
    pub fn gauge(&self, id: ServerId) -> Option<Gauge> {
        let server = self.servers.get(&id)?;
        Some(Gauge {
            occupancy: self.occupancy(server),
            is_open: server.is_open,
            throttle_rate: server.throttle_rate,
            throttle_tokens: server.throttle_tokens,
            is_ejected: server.is_ejected,
        })
    }

    /// Sets the number of gatekeepers that share the servers.
    pub fn set_gatekeeper_count(&mut self, count: u32) {
        self.settings.gatekeeper_count = count.max(1);
    }

    /// Advances the time to `now` and ends the intervals that have passed.
    fn advance(&mut self, now: Micros) {
        let latest_expected = self.timer_due_at.saturating_add(STALL_TICKS * self.settings.tick);
        if now > latest_expected && now > self.now {
            self.last_stall = Stall { started_at: self.timer_due_at, ended_at: now };
        }
        self.now = self.now.max(now);
        let mut next = *self.next_interval_at.get_or_insert(self.now + INTERVAL);
        if self.now > next + INTERVAL * 2 * RATE_SPANS as u64 {
            next = self.now; // the clock has jumped: one interval replaces all the missed ones
        }
        while next <= self.now {
            self.end_interval();
            next += INTERVAL;
        }
        self.next_interval_at = Some(next);
    }

    fn end_interval(&mut self) {
        self.intervals += 1;
        let weight = (1.0 / self.intervals as f64).max(MIN_ARRIVAL_WEIGHT);
        let rate = self.arrivals_in_interval as f64 * MICROS_PER_SECOND / INTERVAL as f64;
        self.arrival_rate += (rate - self.arrival_rate) * weight;
        self.arrivals_in_interval = 0;
        self.update_overload_control();
        self.remove_expired_numbers();
    }

    /// Sets a timer if something is due before the timer that is already set.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let call_due_at = self.timers.first().map_or(Micros::MAX, |timer| timer.at);
        let interval_due_at = self.next_interval_at.unwrap_or(Micros::MAX);
        let next = call_due_at.min(interval_due_at).max(self.now + 1);
        if next < self.timer_due_at {
            self.timer_due_at = next;
            actions.push(Action::SetTimer { delay: next - self.now, key: TIMER_KEY });
        }
    }

    fn handle_endpoint_list(&mut self, scope: EndpointListScope, entries: &[ServerEntry]) {
        if scope != EndpointListScope::Changes {
            for (id, server) in &mut self.servers {
                if !entries.iter().any(|entry| entry.server == *id) {
                    server.status = ServerStatus::Removed;
                }
            }
        }
        for entry in entries {
            self.handle_endpoint_list_entry(entry);
        }
        let calls = &self.calls;
        let has_attempt =
            |id: ServerId| calls.values().any(|call| call.in_flight.is_some_and(|sent| sent.server == id));
        self.servers.retain(|id, server| server.status != ServerStatus::Removed || has_attempt(*id));
        let servers = &self.servers;
        let is_up = |id: &ServerId| servers.get(id).is_some_and(|server| server.status == ServerStatus::Up);
        self.sticky_servers.retain(|_, id| is_up(id));
    }

    fn handle_endpoint_list_entry(&mut self, entry: &ServerEntry) {
        let phase = self.rng.next_u32() as f64 / u32::MAX as f64;
        let initial = Server::new(entry, phase, self.now);
        let Some(server) = self.servers.get_mut(&entry.server) else {
            self.servers.insert(entry.server, initial);
            return;
        };
        if entry.started_at > server.started_at {
            // The server has restarted: only values that depend on its hardware or the network path are kept.
            let unanswered = std::mem::take(&mut server.unanswered);
            let (min_setup_delay, total_lines) = (server.min_setup_delay, server.total_lines);
            *server = Server { unanswered, min_setup_delay, total_lines, ..initial };
        }
        server.status = entry.status;
        server.pool = entry.pool;
    }
}
