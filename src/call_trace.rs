//! Call trace: the last steps of calls, in a ring buffer that never grows.
//!
//! A frontend records each step of a call's life: when it was requested, where it was sent, by whom it was ended, on which
//! connection its release was written and whether it was confirmed. When a call comes to a bad end, its steps are in the
//! log, though nobody had asked for a log of every call. With target `call` at level `debug`, each step is logged as it
//! happens.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::gateway::{Command, Input};
use crate::{CallId, Micros, Outcome, ServerId};

/// Steps kept: some 10 a call, so about 1,600 calls; at 50 calls a second half a minute.
const CAPACITY: usize = 16 * 1024;

/// The frontend's own number of a connection.
type ConnectionId = u64;

/// One step of a call's life. An attempt is given by its number, from 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TraceStep {
    /// A caller's request reached the core.
    Requested,
    /// The caller cancelled it, or left.
    CancelledByCaller,
    /// The caller released it while it was established.
    ReleasedByCaller,
    /// The server's answer to this attempt reached the core.
    Established(u32),
    /// The end of this attempt, or of the call established by it, reached the core.
    AttemptEnded(u32, Outcome),
    /// The core sends this attempt to a server.
    AttemptSent(u32, ServerId),
    /// The core cancels this attempt.
    AttemptCancelled(u32),
    /// The core releases at the server the call established by this attempt.
    ReleasedAtServer(u32),
    /// The core's final answer: it is established.
    Accepted,
    /// The core's final answer: rejected, with this retry-after.
    Rejected(Micros),
    /// The core's final answer: failed.
    Failed,
    /// It was established and is over; its caller is to be notified.
    ReleasedToCaller(Outcome),
    /// It was established by another process of this gatekeeper, and is this one's now.
    Adopted,
    /// It is established, and is another process's now.
    HandedOver,
    /// Its request came on this connection.
    RequestedOn(ConnectionId),
    /// Its attempt goes to the server on this connection.
    AttemptOn(ConnectionId),
    /// A server's message about it came on this connection.
    ServerMessageOn(ConnectionId),
    /// A caller's message about it came on this connection.
    CallerMessageOn(ConnectionId),
    /// Its release is in the outbox of this connection.
    ReleaseQueuedOn(ConnectionId),
    /// Its release waits for a connection.
    ReleasePending,
    /// The connection ended with its release on it, unconfirmed.
    ReleaseUnconfirmedOn(ConnectionId),
    /// The caller has confirmed its release, on this connection.
    ReleaseConfirmedOn(ConnectionId),
    /// Its release was given up: no connection of its caller came.
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
    /// Where the next entry goes once the buffer is full.
    next: usize,
}

/// The last steps of calls. A frontend's parts share it; none keeps it borrowed while it waits.
#[derive(Clone)]
pub struct CallTrace(Rc<RefCell<Ring>>);

impl Default for CallTrace {
    fn default() -> Self {
        CallTrace(Rc::new(RefCell::new(Ring { entries: Vec::with_capacity(CAPACITY), next: 0 })))
    }
}

impl CallTrace {
    /// Records a step. In a full buffer it replaces the oldest one.
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

    /// Records what the core is told.
    pub fn record_input(&self, now: Micros, input: &Input) {
        let (call, step) = match input {
            Input::SetupRequested(request) => (request.call, TraceStep::Requested),
            Input::SetupCancelled(call) => (*call, TraceStep::CancelledByCaller),
            Input::CallReleased(call) => (*call, TraceStep::ReleasedByCaller),
            Input::Established { attempt, .. } => (attempt.call, TraceStep::Established(attempt.number)),
            Input::AttemptEnded { attempt, outcome, .. } => {
                (attempt.call, TraceStep::AttemptEnded(attempt.number, *outcome))
            }
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

    /// Records what the core has done.
    pub fn record_command(&self, now: Micros, command: &Command) {
        let (call, step) = match command {
            Command::SendAttempt { attempt, server, .. } => {
                (attempt.call, TraceStep::AttemptSent(attempt.number, *server))
            }
            Command::CancelAttempt { attempt, .. } => {
                (attempt.call, TraceStep::AttemptCancelled(attempt.number))
            }
            Command::ReleaseAtServer { attempt, .. } => {
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

    /// A call's steps, as far back as they are kept.
    pub fn steps_of(&self, call: CallId) -> CallSteps {
        let ring = self.0.borrow();
        let (newer, older) = ring.entries.split_at(ring.next);
        let of_call = older.iter().chain(newer).filter(|entry| entry.call == call);
        CallSteps(of_call.map(|entry| (entry.at, entry.step)).collect())
    }
}

/// The steps of one call, in the order in which they happened.
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
