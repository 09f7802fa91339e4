//! The types of the core's interface: the inputs that a frontend reports and the commands that it executes.

use std::rc::Rc;

use bytes::Bytes;

use crate::limits::Plan;
use crate::{CallId, Cause, EndpointListScope, LoadReport, Micros, Number, Outcome, PoolId};
use crate::{ServerEntry, ServerId};

/// Identifies one attempt to set up a call. The attempts of a call are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// The attempt's number within the call.
    pub number: u32,
}

/// Bounds on the calls without a final answer, over all callers. A set-up beyond them is rejected at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingBounds {
    /// Maximum number of these calls.
    pub max_calls: usize,
    /// Maximum total size of their descriptions, in bytes.
    pub max_description_bytes: usize,
}

/// The part of the bound on pending calls that one connection may use: a caller that floods leaves room for others.
const CONNECTION_SHARE: usize = 20;
/// A connection may have this many pending calls where the bound itself permits it: one connection carries many calls.
const MIN_CALLS_OF_CONNECTION: usize = 1_000;

impl PendingBounds {
    /// Maximum number of pending calls of one connection.
    pub fn max_calls_of_connection(self) -> usize {
        (self.max_calls / CONNECTION_SHARE).max(MIN_CALLS_OF_CONNECTION).min(self.max_calls)
    }
}

impl Default for PendingBounds {
    fn default() -> Self {
        PendingBounds { max_calls: 20_000, max_description_bytes: 48 * 1024 * 1024 }
    }
}

/// A caller's request to set up a call.
#[derive(Clone, Debug)]
pub struct SetupRequest {
    /// Assigned by the frontend, which never reuses an id.
    pub call: CallId,
    /// The call's id on the wire. A caller may reuse it after the call has ended.
    pub wire_id: Box<str>,
    /// Position of the class in the settings.
    pub class: usize,
    /// The number called.
    pub number: Number,
    /// The number called, as dialled.
    pub dialled_number: Box<str>,
    /// Pool to try first.
    pub first_choice: PoolId,
    /// How much longer the caller waits.
    pub time_left: Micros,
    /// Whether the request is known to be a redial.
    pub is_redial: bool,
    /// The caller's session description, passed on unchanged.
    pub description: Bytes,
}

/// A call established by another process of this gatekeeper and handed over to this one.
#[derive(Clone, Debug)]
pub struct AdoptedCall {
    /// The attempt that represents the call in this process.
    pub attempt: AttemptId,
    /// The call's id on the wire.
    pub wire_id: Box<str>,
    /// Position of the class in the settings.
    pub class: usize,
    /// The server on which the call runs.
    pub server: ServerId,
}

/// An event reported by a frontend.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller requests a call.
    SetupRequested(SetupRequest),
    /// The caller has cancelled the request or disconnected, and gets no final answer.
    SetupCancelled(CallId),
    /// The caller has released an established call.
    CallReleased(CallId),
    /// A server has accepted the attempt: the call is established.
    Established {
        /// The attempt.
        attempt: AttemptId,
        /// The server's session description, passed on unchanged.
        description: Bytes,
    },
    /// A server has ended an attempt, established or not, or can no longer answer it.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Why it ended.
        cause: Cause,
        /// The load that the server reported with it.
        load: LoadReport,
    },
    /// A load report outside an attempt, or the result of a health check.
    Load {
        /// The server.
        server: ServerId,
        /// False for a health check that got no answer.
        answered: bool,
        /// The load it reported.
        load: LoadReport,
    },
    /// The endpoint list has changed.
    EndpointList {
        /// Time from which the change counts as notified. Drain windows begin here.
        notified_at: Micros,
        /// Which part of the endpoint list `entries` contains.
        scope: EndpointListScope,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// The cancellation of an attempt is complete: its server has confirmed it, or is not expected to work on the attempt
    /// any more. Reported only to a core that awaits it.
    AttemptCancelled(AttemptId),
    /// Contact with the server of an attempt is lost. The server may still work on the attempt, or have the call
    /// established by it, so the attempt is ended on both sides.
    AttemptLost(AttemptId),
    /// A server's process ended no later than `at`: its attempts and calls from before that time are reset.
    ServerTerminated {
        /// The server.
        server: ServerId,
        /// Latest time at which the process can have ended.
        at: Micros,
    },
    /// A server has been silent for so long that its established calls count as ended: it may have ended them, and
    /// callers must be notified of the end of a call in time.
    ServerUnreachable {
        /// The server.
        server: ServerId,
        /// When the server was last heard from.
        last_heard_at: Micros,
    },
    /// Another process of this gatekeeper has handed over an established call.
    CallAdopted(AdoptedCall),
    /// An established call has been handed over to another process. It is not released, and neither its caller nor its
    /// server is notified.
    CallHandedOver(CallId),
    /// The operators' limits have changed.
    LimitsChanged(Rc<Plan>),
    /// Time has passed. The next input is due by [`next_deadline`](super::Gateway::next_deadline).
    Tick,
    /// The program shuts down: every call is ended now.
    Shutdown,
}

/// An action for the frontend. Commands are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to a server. The frontend reports `AttemptEnded` with `Unreachable` if it could not begin to
    /// send it.
    SendAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its server.
        server: ServerId,
        /// How long the gatekeeper waits for the answer.
        time_left: Micros,
        /// The caller's session description.
        description: Bytes,
    },
    /// Cancel an unanswered attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its server.
        server: ServerId,
    },
    /// Release an established call at its server.
    ReleaseAtServer {
        /// The attempt.
        attempt: AttemptId,
        /// Its server.
        server: ServerId,
    },
    /// Release an established call at its server if the connection on which it was set up is still open. The server's
    /// process has ended, so no other connection leads to it; an open one shows that it has not.
    ReleaseIfConnected {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Final answer: the call is established.
    Accept {
        /// The call.
        call: CallId,
        /// The server's session description.
        description: Bytes,
    },
    /// Final answer: rejected.
    Reject {
        /// The call.
        call: CallId,
        /// How long the caller should wait before it tries again; 0 if there is no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Notify the caller that its established call has ended.
    ReleaseToCaller {
        /// The call.
        call: CallId,
        /// How the call ended: `Completed`, `Reset` or `Cancelled`.
        outcome: Outcome,
    },
    /// Send a health check to a server.
    CheckHealth(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Write a line to the log.
    Log(String),
    /// Report a violated invariant, which indicates a defect.
    ReportViolation(InvariantViolation),
}

/// A defect found by the core's own checks. The requested operation was not carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvariantViolation {
    /// The decision module requested an attempt that a rule forbids.
    #[error("call {} not sent to server {}: {reason}", call.0, server.0)]
    AttemptForbidden {
        /// The call.
        call: CallId,
        /// Its intended server.
        server: ServerId,
        /// The rule that forbids it.
        reason: ForbiddenReason,
    },
    /// The decision module rejected a call whose effect must not occur twice and may have occurred; it failed instead.
    #[error("call {} may have run and was to be rejected", .0.0)]
    RejectionForbidden(CallId),
    /// A frontend reported two requests with the same call id.
    #[error("call {} was requested twice", .0.0)]
    DuplicateCall(CallId),
    /// A call was handed over twice.
    #[error("call {} was adopted twice", .0.0)]
    DuplicateAdoption(CallId),
    /// The decision module gave no final answer in time.
    #[error("call {} had no final answer by its deadline", .0.0)]
    NoFinalAnswer(CallId),
}

/// The reason for which an attempt is forbidden.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForbiddenReason {
    /// A call has at most one attempt in flight.
    #[error("another attempt is in flight")]
    AttemptInFlight,
    /// No attempt is sent after the call's deadline.
    #[error("the call's deadline has passed")]
    DeadlinePassed,
    /// An earlier attempt may still occupy resources at its server.
    #[error("the release wait is not over")]
    ReleaseWait,
    /// An earlier attempt may have run, and the class is not idempotent.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// The call has reached the maximum number of attempts set by the settings or the limits.
    #[error("the maximum number of attempts is reached")]
    NoAttemptsLeft,
    /// The server's drain window has passed, or it has never been listed.
    #[error("the server's drain window has passed, or it was never listed")]
    ServerClosed,
}

/// State of a server, for the hand-over to another process of this gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The server did not answer and is sent trial calls only.
    pub is_ejected: bool,
    /// The last queue wait that it reported.
    pub last_reported_wait: Option<ReportedWait>,
    /// Since when it has been draining or removed; `None` if it is up.
    pub draining_since: Option<Micros>,
}

/// A queue wait from a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedWait {
    /// When the report was received.
    pub at: Micros,
    /// Queue wait at the server's processor, in milliseconds.
    pub wait_ms: f64,
}

/// Numbers of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers listed in the endpoint list.
    pub listed: usize,
    /// Listed servers that are currently sent no new calls.
    pub excluded: usize,
}
