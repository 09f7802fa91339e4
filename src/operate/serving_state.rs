//! Whether a frontend serves clients: in service, out of service, or shutting down. Pure: the time comes with each question.

use crate::Micros;

/// From the drain on, load balancers may still send new connections for this long: they ask ten times a second, and stop 0.2 s
/// after a no. What is closed earlier only comes again.
const DRAIN_SETTLE_TIME: Micros = 400_000;
/// From here on new calls are rejected, so that a connection that is never idle falls idle: 4 s after the drain began it must
/// have been without a request for 2 s.
const REJECT_AFTER: Micros = 1_200_000;
/// After SIGTERM, set-ups keep coming for a while: new connections for 0.4 s, requests on open ones 0.2 s more.
const MIN_SHUTDOWN_TIME: Micros = 850_000;
/// Established calls may go on this long after SIGTERM, or as long as the most patient caller waits where that is less, and
/// pending ones a little longer: SIGKILL may come 0.7 s after that.
const MAX_SHUTDOWN_TIME: Micros = 3_000_000;
/// How much longer pending calls may go on; what is left of the 0.7 s is for flushing connections.
const PENDING_CALLS_EXTRA_TIME: Micros = 425_000;
/// With a successor there is nothing to release and nothing to hurry for: pending calls have their own deadlines, what is
/// handed over has to be read, and callers have to leave, who are rejected at last.
const MIN_HANDOVER_TIME: Micros = 1_000_000;
/// How long client connections are waited for at a hand-over.
const HANDOVER_CLIENTS_TIME: Micros = 3_000_000;
/// How long calls are waited for at a hand-over.
const MAX_HANDOVER_TIME: Micros = 10_000_000;
/// Retry-after of a call that is rejected while draining; it will find another gatekeeper.
const DRAIN_RETRY_AFTER: Micros = 100_000;

/// What is still open when a shutdown asks whether it may end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Calls without a final answer.
    pub pending_calls: usize,
    /// Established calls.
    pub established_calls: usize,
    /// Client connections.
    pub client_connections: usize,
}

impl OpenWork {
    fn is_without_calls(self) -> bool {
        self.pending_calls + self.established_calls == 0
    }
}

/// What a frontend does for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingState {
    /// Since when the operators have it out of service.
    out_of_service_since: Option<Micros>,
    /// Since when the program shuts down.
    shutting_down_since: Option<Micros>,
    /// Another process takes clients at the same address.
    has_successor: bool,
    /// How long the most patient caller waits; `None`: unbounded.
    max_wait: Option<Micros>,
}

impl ServingState {
    /// For callers of whom none waits longer than this; 0: unbounded.
    pub fn new(max_wait: Micros) -> ServingState {
        ServingState { max_wait: Some(max_wait).filter(|wait| *wait > 0), ..ServingState::default() }
    }

    /// Takes the operators' order. The same again changes nothing.
    pub fn set_out_of_service(&mut self, now: Micros, is_out: bool) {
        self.out_of_service_since = is_out.then(|| self.out_of_service_since.unwrap_or(now));
    }

    /// Begins the shutdown.
    pub fn shut_down(&mut self, now: Micros) {
        self.shutting_down_since.get_or_insert(now);
    }

    /// Sets whether another process takes clients at the same address.
    pub fn set_successor(&mut self, has_successor: bool) {
        self.has_successor = has_successor;
    }

    /// Whether another process takes clients at the same address.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Whether this process hands over to another: it listens no more, and gives established calls away.
    pub fn is_handing_over(&self) -> bool {
        self.has_successor && self.shutting_down_since.is_some()
    }

    /// Whether the shutdown may end: what comes in is still answered, established calls may come to their end, then it is
    /// over.
    pub fn may_exit(&self, now: Micros, open: OpenWork) -> bool {
        let Some(since) = self.shutting_down_since else { return false };
        let elapsed = now.saturating_sub(since);
        if self.has_successor {
            handover_may_exit(elapsed, open)
        } else {
            self.shutdown_may_exit(elapsed, open)
        }
    }

    fn shutdown_may_exit(&self, elapsed: Micros, open: OpenWork) -> bool {
        let max = self.max_wait.unwrap_or(MAX_SHUTDOWN_TIME).min(MAX_SHUTDOWN_TIME);
        let min = MIN_SHUTDOWN_TIME.min(max + PENDING_CALLS_EXTRA_TIME);
        let is_past_min = elapsed >= min;
        let is_past_max = elapsed >= max;
        is_past_min && open.is_without_calls()
            || is_past_max && is_past_min && open.pending_calls == 0
            || elapsed >= max + PENDING_CALLS_EXTRA_TIME
    }

    /// Whether the frontend is in service.
    pub fn is_in_service(&self) -> bool {
        self.out_of_service_since.is_none() && self.shutting_down_since.is_none()
    }

    /// Whether client connections are to be closed where nothing is open on them.
    pub fn closes_idle_clients(&self, now: Micros) -> bool {
        let is_past_settle_time = |since| now >= since + DRAIN_SETTLE_TIME;
        self.is_handing_over() || self.out_of_service_since.is_some_and(is_past_settle_time)
    }

    /// The retry-after with which new calls are rejected; `None`: they are taken. Where clients keep connections to this
    /// gatekeeper, these may be closed first.
    pub fn rejection_retry_after(&self, now: Micros, clients: ClientConnections) -> Option<Micros> {
        let delay = match clients {
            ClientConnections::Dedicated => REJECT_AFTER,
            ClientConnections::Shared => 0,
        };
        let handing_over_since = self.shutting_down_since.filter(|_| self.is_handing_over());
        let since = handing_over_since.or(self.out_of_service_since)?;
        (now >= since + delay).then_some(DRAIN_RETRY_AFTER)
    }
}

fn handover_may_exit(elapsed: Micros, open: OpenWork) -> bool {
    let clients_have_left = open.client_connections == 0 || elapsed >= HANDOVER_CLIENTS_TIME;
    let has_finished = elapsed >= MIN_HANDOVER_TIME && open.is_without_calls() && clients_have_left;
    has_finished || elapsed >= MAX_HANDOVER_TIME
}

/// Whether clients keep connections to this gatekeeper, which are closed to send them elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientConnections {
    /// They do: the platform's callers.
    Dedicated,
    /// They do not: SIP over UDP, and TCP connections that carry many callers.
    Shared,
}

#[cfg(test)]
mod tests;
