//! Whether a frontend serves clients: in service, out of service, or shutting down. No I/O and no clock: the caller
//! passes the current time.

use crate::Micros;

/// How long after the start of a drain load balancers may still send new connections: they probe ten times a second
/// and stop 0.2 s after a negative answer. Clients whose connections are closed earlier would only reconnect here.
const DRAIN_SETTLE_TIME: Micros = 400_000;
/// Time from the start of a drain until new calls are rejected. Rejecting them makes busy connections idle: 4 s after
/// the start of the drain a connection must have had no request for 2 s.
const REJECT_AFTER: Micros = 1_200_000;
/// Minimum duration of a shutdown. After SIGTERM, new connections still arrive for 0.4 s, and requests on open
/// connections for another 0.2 s.
const MIN_SHUTDOWN_TIME: Micros = 850_000;
/// How long established calls may continue after SIGTERM, unless the longest time that a caller waits is shorter.
/// SIGKILL may follow 0.7 s after that limit, so pending calls may continue a little longer.
const MAX_SHUTDOWN_TIME: Micros = 3_000_000;
/// How long pending calls may continue after that limit; the rest of the 0.7 s is reserved for flushing connections.
const PENDING_CALLS_EXTRA_TIME: Micros = 425_000;
/// Minimum duration of a shutdown with a successor. It needs no early end, because no calls have to be released:
/// pending calls have their own deadlines, the successor has to read what is handed over, and callers have to
/// disconnect, for which their new calls are finally rejected.
const MIN_HANDOVER_TIME: Micros = 1_000_000;
/// Maximum time that a hand-over waits for client connections to close.
const HANDOVER_CLIENTS_TIME: Micros = 3_000_000;
/// Maximum time that a hand-over waits for calls to end.
const MAX_HANDOVER_TIME: Micros = 10_000_000;
/// Retry-after of a call that is rejected during a drain. It is short because the retry will reach another gatekeeper.
const DRAIN_RETRY_AFTER: Micros = 100_000;

/// The calls and connections that are still open during a shutdown.
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

/// Whether and how a frontend serves clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingState {
    /// When an operator took the frontend out of service; `None` if in service.
    out_of_service_since: Option<Micros>,
    /// When the shutdown began; `None` if there is none.
    shutting_down_since: Option<Micros>,
    /// Whether a newer process accepts clients at the same address.
    has_successor: bool,
    /// The longest time that a caller waits; `None` if unbounded.
    max_wait: Option<Micros>,
}

impl ServingState {
    /// Creates the state for a frontend whose callers wait at most `max_wait`; 0 means unbounded.
    pub fn new(max_wait: Micros) -> ServingState {
        ServingState { max_wait: Some(max_wait).filter(|wait| *wait > 0), ..ServingState::default() }
    }

    /// Takes the frontend out of service or back into it. Repeating the same request has no effect.
    pub fn set_out_of_service(&mut self, now: Micros, is_out: bool) {
        self.out_of_service_since = is_out.then(|| self.out_of_service_since.unwrap_or(now));
    }

    /// Begins the shutdown; a repeated call has no effect.
    pub fn shut_down(&mut self, now: Micros) {
        self.shutting_down_since.get_or_insert(now);
    }

    /// Sets whether a newer process accepts clients at the same address.
    pub fn set_successor(&mut self, has_successor: bool) {
        self.has_successor = has_successor;
    }

    /// Whether a newer process accepts clients at the same address.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Whether this process hands over to a newer one: it no longer listens and transfers its established calls.
    pub fn is_handing_over(&self) -> bool {
        self.has_successor && self.shutting_down_since.is_some()
    }

    /// Whether the process may exit. Until then incoming requests are still answered, and established calls may end by
    /// themselves within the time limits.
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

    /// Whether the frontend is neither out of service nor shutting down.
    pub fn is_in_service(&self) -> bool {
        self.out_of_service_since.is_none() && self.shutting_down_since.is_none()
    }

    /// Whether client connections without open calls are to be closed.
    pub fn closes_idle_clients(&self, now: Micros) -> bool {
        let is_past_settle_time = |since| now >= since + DRAIN_SETTLE_TIME;
        self.is_handing_over() || self.out_of_service_since.is_some_and(is_past_settle_time)
    }

    /// The retry-after with which new calls are rejected; `None` if they are accepted. Dedicated client connections are
    /// closed first, so their calls are rejected only after a delay.
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

/// Whether each client keeps its own connections to this gatekeeper, so that closing them makes it connect elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientConnections {
    /// Each caller has its own connections, as on the platform protocol.
    Dedicated,
    /// Callers have no connections of their own: SIP over UDP, and TCP connections that carry many callers.
    Shared,
}

#[cfg(test)]
mod tests;
