//! Call trace: the most recent steps of all calls, in a ring buffer of fixed size.
//!
//! A frontend records each step of a call: when it was requested, to which server it was sent, who ended it, on which
//! connection its release was written, and whether the release was confirmed. When a call ends badly, its steps are
//! written to the log, so that it can be traced without logging every call. With target `call` at level `debug`, each
//! step is logged when it is recorded.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::gateway::{Command, Input};
use crate::{CallId, Micros, Outcome, ServerId};

/// Maximum number of steps. A call has about 10 steps, so this covers about 1,600 calls, or 30 s at 50 calls per
/// second.
const CAPACITY: usize = 16 * 1024;

/// Number of a connection, assigned by the frontend.
type ConnectionId = u64;

/// One step of a call. Attempts are identified by their number, from 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TraceStep {
    /// The core received the caller's request.
    Requested,
    /// The caller cancelled the call or disconnected.
    CancelledByCaller,
    /// The caller released the established call.
    ReleasedByCaller,
    /// The core was notified that the server accepted this attempt.
    Established(u32),
    /// The core was notified of the end of this attempt or of the call established by it.
    AttemptEnded(u32, Outcome),
    /// The core was notified that contact with this attempt's server is lost.
    AttemptLost(u32),
    /// The core was notified that the cancellation of this attempt is complete.
    CancellationComplete(u32),
    /// The core sent this attempt to a server.
    AttemptSent(u32, ServerId),
    /// The core cancelled this attempt.
    AttemptCancelled(u32),
    /// The core released the call established by this attempt at its server.
    ReleasedAtServer(u32),
    /// The core's final answer: established.
    Accepted,
    /// The core's final answer: rejected, with this retry-after.
    Rejected(Micros),
    /// The core's final answer: failed.
    Failed,
    /// The established call has ended, with this outcome; its caller is to be notified.
    ReleasedToCaller(Outcome),
    /// The call, established by another process of this gatekeeper, was handed over to this one.
    Adopted,
    /// The established call was handed over to another process.
    HandedOver,
    /// The caller's request was received on this connection.
    RequestedOn(ConnectionId),
    /// An attempt is sent to its server on this connection.
    AttemptOn(ConnectionId),
    /// A server's message about the call was received on this connection.
    ServerMessageOn(ConnectionId),
    /// A caller's message about the call was received on this connection.
    CallerMessageOn(ConnectionId),
    /// The release to the caller was queued in the outbox of this connection.
    ReleaseQueuedOn(ConnectionId),
    /// The release to the caller waits for a connection.
    ReleasePending,
    /// The release was passed to the other process of an upgrade, because this one has no connection of the caller.
    ReleasePassed,
    /// This connection ended before the caller confirmed the release sent on it.
    ReleaseUnconfirmedOn(ConnectionId),
    /// The caller confirmed the release on this connection.
    ReleaseConfirmedOn(ConnectionId),
    /// The release was abandoned because the caller did not connect again.
    ReleaseExpired,
}

/// One entry of the ring buffer.
#[derive(Clone, Copy)]
struct TraceEntry {
    at: Micros,
    call: CallId,
    step: TraceStep,
}

struct Ring {
    entries: Vec<TraceEntry>,
    /// Index of the oldest entry, which is replaced next, once the buffer is full; 0 before.
    next: usize,
}

/// The most recent steps of calls. Shared by the parts of a frontend, which must not keep it borrowed across an
/// `await`.
#[derive(Clone)]
pub struct CallTrace(Rc<RefCell<Ring>>);

impl Default for CallTrace {
    fn default() -> Self {
        CallTrace(Rc::new(RefCell::new(Ring { entries: Vec::with_capacity(CAPACITY), next: 0 })))
    }
}

impl CallTrace {
    /// Records a step. If the buffer is full, the step replaces the oldest one.
    pub fn record(&self, now: Micros, call: CallId, step: TraceStep) {
        tracing::debug!(target: "call", call = call.0, ?step);
        let entry = TraceEntry { at: now, call, step };
        let mut ring = self.0.borrow_mut();
        let next = ring.next;
        if ring.entries.len() < CAPACITY {
            ring.entries.push(entry);
        } else {
            ring.entries[next] = entry;
            ring.next = (next + 1) % CAPACITY;
        }
    }

    /// Records an input of the core, if it concerns a single call.
    pub fn record_input(&self, now: Micros, input: &Input) {
        let (call, step) = match input {
            Input::SetupRequested(request) => (request.call, TraceStep::Requested),
            Input::SetupCancelled(call) => (*call, TraceStep::CancelledByCaller),
            Input::CallReleased(call) => (*call, TraceStep::ReleasedByCaller),
            Input::Established { attempt, .. } => (attempt.call, TraceStep::Established(attempt.number)),
            Input::AttemptEnded { attempt, outcome, .. } => {
                (attempt.call, TraceStep::AttemptEnded(attempt.number, *outcome))
            }
            Input::AttemptCancelled(attempt) => {
                (attempt.call, TraceStep::CancellationComplete(attempt.number))
            }
            Input::AttemptLost(attempt) => (attempt.call, TraceStep::AttemptLost(attempt.number)),
            Input::CallAdopted(adopted) => (adopted.attempt.call, TraceStep::Adopted),
            Input::CallHandedOver(call) => (*call, TraceStep::HandedOver),
            Input::Load { .. }
            | Input::EndpointList { .. }
            | Input::ServerTerminated { .. }
            | Input::ServerUnreachable { .. }
            | Input::LimitsChanged(_)
            | Input::Tick
            | Input::Shutdown => return,
        };
        self.record(now, call, step);
    }

    /// Records a command of the core, if it concerns a single call.
    pub fn record_command(&self, now: Micros, command: &Command) {
        let (call, step) = match command {
            Command::SendAttempt { attempt, server, .. } => {
                (attempt.call, TraceStep::AttemptSent(attempt.number, *server))
            }
            Command::CancelAttempt { attempt, .. } => {
                (attempt.call, TraceStep::AttemptCancelled(attempt.number))
            }
            Command::ReleaseAtServer { attempt, .. } | Command::ReleaseIfConnected { attempt } => {
                (attempt.call, TraceStep::ReleasedAtServer(attempt.number))
            }
            Command::Accept { call, .. } => (*call, TraceStep::Accepted),
            Command::Reject { call, retry_after } => (*call, TraceStep::Rejected(*retry_after)),
            Command::Fail { call } => (*call, TraceStep::Failed),
            Command::ReleaseToCaller { call, outcome } => (*call, TraceStep::ReleasedToCaller(*outcome)),
            Command::CheckHealth(_)
            | Command::CloseIdle(_)
            | Command::Log(_)
            | Command::ReportViolation(_) => return,
        };
        self.record(now, call, step);
    }

    /// The steps of a call that are still in the buffer.
    pub fn steps_of(&self, call: CallId) -> CallSteps {
        let ring = self.0.borrow();
        let (newer, older) = ring.entries.split_at(ring.next);
        let of_call = older.iter().chain(newer).filter(|entry| entry.call == call);
        CallSteps(of_call.map(|entry| (entry.at, entry.step)).collect())
    }
}

/// The steps of one call in chronological order. Displayed with the time since the previous step.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSteps(pub Vec<(Micros, TraceStep)>);

impl fmt::Display for CallSteps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut before = self.0.first().map_or(0, |(at, _)| *at);
        for (n, (at, step)) in self.0.iter().enumerate() {
            let gap_ms = at.saturating_sub(before) as f64 / 1000.0;
            let separator = if n > 0 { ", " } else { "" };
            write!(f, "{separator}{step:?} +{gap_ms:.1}ms")?;
            before = *at;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
