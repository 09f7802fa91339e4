//! The types of the core's interface: what a frontend has seen, and what it is to do.

use std::rc::Rc;

use bytes::Bytes;

use crate::limits::Plan;
use crate::{CallId, Cause, EndpointListScope, LoadReport, Micros, Number, Outcome, PoolId};
use crate::{ServerEntry, ServerId};

/// One attempt to set a call up; the numbers of a call's attempts start from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// Which attempt.
    pub number: u32,
}

/// A request to set a call up, as its caller sent it.
#[derive(Clone, Debug)]
pub struct SetupRequest {
    /// A number of the frontend's own, never used twice.
    pub call: CallId,
    /// The call's id on the wire. A caller may use it again once the call is over.
    pub wire_id: Box<str>,
    /// Place of the class in the settings.
    pub class: usize,
    /// The number called.
    pub number: Number,
    /// The same as it was dialled.
    pub dialled_number: Box<str>,
    /// Pool of first choice.
    pub first_choice: PoolId,
    /// How long the caller waits from now on.
    pub time_left: Micros,
    /// The caller is known to dial again.
    pub is_redial: bool,
    /// The caller's description, passed on unchanged.
    pub description: Bytes,
}

/// A call established by another process of this gatekeeper, which hands it over.
#[derive(Clone, Debug)]
pub struct AdoptedCall {
    /// The attempt by which it is established here.
    pub attempt: AttemptId,
    /// Its id on the wire.
    pub wire_id: Box<str>,
    /// Place of its class in the settings.
    pub class: usize,
    /// Its server.
    pub server: ServerId,
}

/// What a frontend has seen.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller asks for a call.
    SetupRequested(SetupRequest),
    /// The caller has cancelled the request, or has gone: it gets no final answer any more.
    SetupCancelled(CallId),
    /// The caller releases an established call.
    CallReleased(CallId),
    /// A server answers: the call is established.
    Established {
        /// Which attempt.
        attempt: AttemptId,
        /// The server's description, passed on unchanged.
        description: Bytes,
    },
    /// A server ends an attempt, established or not, or it is known that it cannot answer any more.
    AttemptEnded {
        /// Which attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Why.
        cause: Cause,
        /// The server's load.
        load: LoadReport,
    },
    /// A load report outside an attempt, or the end of a health check (`answered` is false when no answer came).
    Load {
        /// The server.
        server: ServerId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: LoadReport,
    },
    /// The endpoint list has changed.
    EndpointList {
        /// From when on it may count as notified; the drain window begins here.
        notified_at: Micros,
        /// What the list holds.
        scope: EndpointListScope,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// A server's process is known to have ended at `at`, or by then: what it held from before is cut.
    ServerTerminated {
        /// The server.
        server: ServerId,
        /// When.
        at: Micros,
    },
    /// Nothing has been heard of a server for so long that its established calls count as over: it may have ended
    /// them, and a caller must hear of an end in time.
    ServerUnreachable {
        /// The server.
        server: ServerId,
        /// When it was last heard.
        last_heard_at: Micros,
    },
    /// Another process of this gatekeeper hands over an established call.
    CallAdopted(AdoptedCall),
    /// An established call is another process's from now on: nothing is released, nobody is notified.
    CallHandedOver(CallId),
    /// Other limits apply from now on.
    LimitsChanged(Rc<Plan>),
    /// Time has passed; the next input is wanted by [`next_deadline`](super::Gateway::next_deadline).
    Tick,
    /// The program ends: every call is brought to its end now.
    Shutdown,
}

/// What a frontend is to do. Commands are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to a server. The frontend reports `AttemptEnded` with `Unreachable` if it could not start to.
    SendAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
        /// How long the gatekeeper will wait.
        time_left: Micros,
        /// The caller's description.
        description: Bytes,
    },
    /// Cancel an attempt that has no answer yet.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
    },
    /// Release at the server an established call, or a late answer that nobody waits for.
    ReleaseAtServer {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
    },
    /// Final answer: the call is established.
    Accept {
        /// The call.
        call: CallId,
        /// The server's description.
        description: Bytes,
    },
    /// Final answer: rejected.
    Reject {
        /// The call.
        call: CallId,
        /// How long the caller is to stay away; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// An established call is over: release it towards the caller.
    ReleaseToCaller {
        /// The call.
        call: CallId,
        /// `Completed`, `Reset` or `Cancelled`.
        outcome: Outcome,
    },
    /// Send a health check to a server.
    CheckHealth(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// A line for the log.
    Log(String),
    /// An invariant does not hold: a defect to trace.
    ReportViolation(InvariantViolation),
}

/// A defect that the core's own checks have found. Whatever was asked for has not been done.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvariantViolation {
    /// The decision module asked for an attempt that a rule forbids.
    #[error("call {} not sent to server {}: {reason}", call.0, server.0)]
    AttemptForbidden {
        /// The call.
        call: CallId,
        /// Where it was to go.
        server: ServerId,
        /// The rule.
        reason: ForbiddenReason,
    },
    /// A frontend requested a call twice under one id.
    #[error("call {} was requested twice", .0.0)]
    DuplicateCall(CallId),
    /// A call was handed over twice.
    #[error("call {} was adopted twice", .0.0)]
    DuplicateAdoption(CallId),
    /// The decision module gave no final answer in time.
    #[error("call {} had no final answer by its deadline", .0.0)]
    NoFinalAnswer(CallId),
}

/// The rule that forbids an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForbiddenReason {
    /// A call has one attempt in flight at most.
    #[error("another attempt is in flight")]
    AttemptInFlight,
    /// Nothing is sent past the deadline.
    #[error("its deadline has passed")]
    DeadlinePassed,
    /// An earlier attempt may still hold something.
    #[error("the release wait is not over")]
    ReleaseWait,
    /// The settings' or the limits' maximum is reached.
    #[error("no attempts are left")]
    NoAttemptsLeft,
    /// The drain window has passed, or the server was never listed.
    #[error("the server is draining or gone")]
    ServerClosed,
}

/// What the core knows of a server, for another process of this gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// It did not answer and gets trial calls only.
    pub is_ejected: bool,
    /// The last wait that it reported.
    pub last_reported_wait: Option<ReportedWait>,
    /// Since when it has been notified as draining or gone.
    pub draining_since: Option<Micros>,
}

/// A wait from a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedWait {
    /// When the report came.
    pub at: Micros,
    /// The wait at the server's processor, in milliseconds.
    pub wait_ms: f64,
}

/// How many servers there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers in the endpoint list.
    pub listed: usize,
    /// Listed servers that get no new calls now.
    pub excluded: usize,
}
