//! Attempts: sends, cancels and times out attempts, after a final check of the rules before each one is sent.

use super::call_table::{CallState, InFlightAttempt};
use super::{AttemptId, Command, ForbiddenReason, Gateway, InvariantViolation};
use crate::limits::RetryDecision;
use crate::{AttemptEnd, CallId, Cause, Event, LoadReport, Micros, Outcome, ServerId};

/// How an attempt ended, as reported by its server or inferred without a report.
pub(super) struct EndReport {
    pub outcome: Outcome,
    pub cause: Cause,
    pub load: LoadReport,
}

impl EndReport {
    /// The end of an attempt that no server has reported.
    pub fn unreported(outcome: Outcome) -> EndReport {
        EndReport { outcome, cause: Cause::Unspecified, load: LoadReport::default() }
    }
}

impl Gateway {
    /// Sends an attempt if the rules allow it. A `timeout` of 0 means until the call's deadline.
    pub(super) fn send_attempt(
        &mut self,
        call: CallId,
        server: ServerId,
        timeout: Micros,
        commands: &mut Vec<Command>,
    ) {
        let now = self.now;
        if let Some(reason) = self.forbidden_reason(call, server) {
            // The rules hold even if the decision module has a defect: a forbidden attempt is never sent.
            let violation = InvariantViolation::AttemptForbidden { call, server, reason };
            commands.push(Command::ReportViolation(violation));
            self.notify_not_sent(call, server);
            return;
        }
        let Some((entry, _)) = self.calls.pending_mut(call) else { return };
        let number = entry.attempts;
        let max_timeout =
            entry.limit_permit.as_ref().and_then(|permit| permit.attempt_timeout).unwrap_or(Micros::MAX);
        let timeout = if timeout == 0 { max_timeout } else { timeout.min(max_timeout) };
        let expires_at = entry.deadline.min(now.saturating_add(timeout));
        let description = entry.description.clone();
        self.calls.record_attempt(call, InFlightAttempt::new(number, server, now, expires_at));
        commands.push(Command::SendAttempt {
            attempt: AttemptId { call, number },
            server,
            time_left: expires_at.saturating_sub(now),
            description,
        });
    }

    /// The rule that forbids an attempt now, if any. `None` for a call that has ended: it is not sent either, but
    /// that is no violation.
    fn forbidden_reason(&mut self, call: CallId, server: ServerId) -> Option<ForbiddenReason> {
        let now = self.now;
        let max_attempts = self.settings.max_attempts;
        let drain_grace = self.settings.rules.drain_grace;
        let may_repeat = !self.has_effect_to_protect(call);
        let (entry, in_flight) = self.calls.pending_mut(call)?;
        let limit = entry.limit_permit.as_ref().map(|permit| permit.limits.attempts.value);
        let is_exhausted = max_attempts > 0 && entry.attempts >= max_attempts
            || limit.is_some_and(|limit| entry.attempts >= limit);
        if in_flight.is_some() {
            Some(ForbiddenReason::AttemptInFlight)
        } else if now >= entry.deadline {
            Some(ForbiddenReason::DeadlinePassed)
        } else if now < entry.not_before {
            Some(ForbiddenReason::ReleaseWait)
        } else if !may_repeat {
            Some(ForbiddenReason::MayHaveRun)
        } else if is_exhausted {
            Some(ForbiddenReason::NoAttemptsLeft)
        } else if !self.routing.accepts_attempts(server, now, drain_grace) {
            Some(ForbiddenReason::ServerClosed)
        } else {
            None
        }
    }

    /// Whether an effect of the call must not occur twice and may have occurred: an attempt is in flight, or one has ended
    /// without proof that it never ran, and the class is not idempotent. Such a call is neither sent again nor rejected,
    /// because a rejection tells the caller that trying again is harmless.
    pub(super) fn has_effect_to_protect(&self, call: CallId) -> bool {
        let Some(entry) = self.calls.get(call) else { return false };
        let class = self.settings.classes.get(entry.class);
        let has_attempt = matches!(entry.state, CallState::Pending(Some(_)));
        (has_attempt || entry.may_have_run) && class.is_some_and(|class| !class.is_idempotent)
    }

    /// Notifies the decision module that an attempt was not sent, unless the call has another attempt in flight.
    fn notify_not_sent(&mut self, call: CallId, server: ServerId) {
        let now = self.now;
        let Some((entry, None)) = self.calls.pending_mut(call) else { return };
        let number = entry.attempts;
        let unsent = InFlightAttempt::new(number, server, now, now);
        self.notify_attempt_ended(call, unsent, EndReport::unreported(Outcome::NotSent));
    }

    /// Cancels an attempt for the decision module. The final answer follows separately, so the call stays in the table.
    pub(super) fn cancel_attempt(&mut self, call: CallId, number: u32, commands: &mut Vec<Command>) {
        let Some((_, Some(in_flight))) = self.calls.pending_mut(call) else { return };
        if in_flight.number == number {
            self.abandon_attempt(call, in_flight, Outcome::Cancelled, commands);
        }
    }

    /// Times out an unanswered attempt: it is cancelled at the server and the release wait begins.
    pub(super) fn time_out_attempt(
        &mut self,
        call: CallId,
        in_flight: InFlightAttempt,
        commands: &mut Vec<Command>,
    ) {
        self.abandon_attempt(call, in_flight, Outcome::TimedOut, commands);
    }

    /// Ends a pending attempt that its server has not ended: it is cancelled there, and the release wait begins. If the
    /// frontend reports when a cancellation is complete, the attempt counts as in flight until then: an attempt is not over
    /// because this gatekeeper no longer waits for it.
    pub(super) fn abandon_attempt(
        &mut self,
        call: CallId,
        in_flight: InFlightAttempt,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        if in_flight.cancelled_as.is_some() {
            return; // already being cancelled
        }
        let attempt = AttemptId { call, number: in_flight.number };
        commands.push(Command::CancelAttempt { attempt, server: in_flight.server });
        if self.awaits_cancellations {
            let Some((entry, _)) = self.calls.pending_mut(call) else { return };
            let cancelled = InFlightAttempt { cancelled_as: Some(outcome), ..in_flight };
            entry.state = CallState::Pending(Some(cancelled));
        } else {
            self.complete_cancellation(call, in_flight, outcome);
        }
    }

    /// Handles the frontend's report that the cancellation of an attempt is complete.
    pub(super) fn handle_attempt_cancelled(&mut self, attempt: AttemptId) {
        let Some((_, Some(in_flight))) = self.calls.pending_mut(attempt.call) else { return };
        if let Some(outcome) = in_flight.cancelled_as.filter(|_| in_flight.number == attempt.number) {
            self.complete_cancellation(attempt.call, in_flight, outcome);
        }
    }

    fn complete_cancellation(&mut self, call: CallId, in_flight: InFlightAttempt, outcome: Outcome) {
        let not_before = self.now + self.settings.rules.release_wait;
        let Some((entry, _)) = self.calls.pending_mut(call) else { return };
        entry.state = CallState::Pending(None);
        entry.not_before = not_before;
        entry.may_have_run |= outcome.may_have_run();
        self.notify_attempt_ended(call, in_flight, EndReport::unreported(outcome));
    }

    /// Notifies the decision module that the call of an attempt is over, without a server's report.
    pub(super) fn notify_call_over(&mut self, call: CallId, attempt: InFlightAttempt, outcome: Outcome) {
        self.notify_call_over_with(call, attempt, EndReport::unreported(outcome));
    }

    /// Notifies the decision module that the call of an attempt is over.
    pub(super) fn notify_call_over_with(&mut self, call: CallId, attempt: InFlightAttempt, end: EndReport) {
        let verdict = RetryDecision { retry_delay: 0, may_retry: true };
        self.push_attempt_end(call, attempt, end, verdict, true);
    }

    /// Notifies the decision module how an attempt of a still pending call ended, and whether and when the limits
    /// allow a retry.
    pub(super) fn notify_attempt_ended(&mut self, call: CallId, attempt: InFlightAttempt, end: EndReport) {
        let mut verdict = RetryDecision { retry_delay: 0, may_retry: true };
        let now = self.now;
        if let Some((entry, _)) = self.calls.pending_mut(call) {
            if let Some(permit) = &entry.limit_permit {
                verdict = self.limits.decide_retry(now, permit, end.outcome, entry.attempts);
            }
            entry.not_before = entry.not_before.max(now.saturating_add(verdict.retry_delay));
        }
        self.push_attempt_end(call, attempt, end, verdict, false);
    }

    fn push_attempt_end(
        &mut self,
        call: CallId,
        attempt: InFlightAttempt,
        end: EndReport,
        verdict: RetryDecision,
        is_call_over: bool,
    ) {
        self.pending_events.push_back(Event::AttemptEnded(AttemptEnd {
            call,
            attempt: attempt.number,
            server: attempt.server,
            outcome: end.outcome,
            cause: end.cause,
            elapsed: self.now.saturating_sub(attempt.sent_at),
            is_call_over,
            load: end.load,
            retry_delay: verdict.retry_delay,
            may_retry: verdict.may_retry,
        }));
    }
}
