//! Admission: turns the decision module's rejections and failures into final answers, immediately and only once per
//! call. Also handles deadlines and shutdown.

use super::call_counters::CallEnd;
use super::call_table::{CallState, InFlightAttempt};
use super::{AttemptId, Command, Gateway, InvariantViolation};
use crate::{CallId, Event, Micros, Outcome};

/// Time after a call's deadline at which the core fails the call itself if the decision module has not answered it.
const DECISION_SLACK: Micros = 10_000;

impl Gateway {
    pub(super) fn reject(&mut self, call: CallId, retry_after: Micros, commands: &mut Vec<Command>) {
        if self.has_effect_to_protect(call) {
            commands.push(Command::ReportViolation(InvariantViolation::RejectionForbidden(call)));
            return self.fail(call, commands);
        }
        if self.end_pending_call(call, CallEnd::Rejected, commands) {
            commands.push(Command::Reject { call, retry_after });
        }
    }

    pub(super) fn fail(&mut self, call: CallId, commands: &mut Vec<Command>) {
        if self.end_pending_call(call, CallEnd::Failed, commands) {
            commands.push(Command::Fail { call });
        }
    }

    /// Removes a pending call and cancels its attempt in flight. Returns false if the call has already ended; this is
    /// no error, because the event that ended it may have crossed the decision.
    fn end_pending_call(&mut self, call: CallId, end: CallEnd, commands: &mut Vec<Command>) -> bool {
        let Some(in_flight) = self.remove_pending(call, end) else { return false };
        if let Some(in_flight) = in_flight {
            let attempt = AttemptId { call, number: in_flight.number };
            commands.push(Command::CancelAttempt { attempt, server: in_flight.server });
            self.notify_call_over(call, in_flight, Outcome::Cancelled);
        }
        true
    }

    /// Removes a pending call and returns its attempt in flight; `None` if the call is not pending. The calling
    /// function must give the final answer and cancel the attempt; the release wait therefore begins now.
    pub(super) fn remove_pending(&mut self, call: CallId, end: CallEnd) -> Option<Option<InFlightAttempt>> {
        let (_, in_flight) = self.calls.pending_mut(call)?;
        let has_attempt = in_flight.is_some();
        let quarantine_until = if has_attempt { self.now + self.settings.rules.release_wait } else { 0 };
        self.calls.remove(call, quarantine_until, end).map(|_| in_flight)
    }

    /// Times out expired attempts, and fails calls that the decision module has not answered [`DECISION_SLACK`] after
    /// their deadline.
    pub(super) fn expire_deadlines(&mut self, commands: &mut Vec<Command>) {
        while let Some(call) = self.calls.pop_expired(self.now) {
            let now = self.now;
            let Some((entry, in_flight)) = self.calls.pending_mut(call) else { continue };
            let deadline = entry.deadline;
            if let Some(in_flight) = in_flight.filter(|attempt| attempt.expires_at <= now) {
                self.time_out_attempt(call, in_flight, commands);
                self.run_policy(commands);
            }
            if self.calls.pending_mut(call).is_none() {
                continue;
            }
            if now >= deadline + DECISION_SLACK {
                // Guarantees every call a final answer, even if the decision module has a defect.
                commands.push(Command::ReportViolation(InvariantViolation::NoFinalAnswer(call)));
                self.pending_events.push_back(Event::CallerGone { call });
                self.fail(call, commands);
            } else if now >= deadline {
                self.calls.schedule_check(call, deadline + DECISION_SLACK);
            }
        }
    }

    /// Ends every call at shutdown: pending calls get a final answer, established calls are released on both sides.
    pub(super) fn shut_down(&mut self, commands: &mut Vec<Command>) {
        for call in self.calls.call_ids() {
            // A call without an attempt in flight is rejected rather than failed, so that its caller tries elsewhere at
            // once, unless an earlier attempt may have had an effect that must not occur twice.
            let state = self.calls.get(call).map(|entry| entry.state);
            let has_attempt = matches!(state, Some(CallState::Pending(Some(_))));
            let must_fail = has_attempt || self.has_effect_to_protect(call);
            let end = if must_fail { CallEnd::Failed } else { CallEnd::Rejected };
            match self.calls.remove(call, 0, end) {
                Some(CallState::Pending(None)) if must_fail => commands.push(Command::Fail { call }),
                Some(CallState::Pending(None)) => commands.push(Command::Reject { call, retry_after: 0 }),
                Some(CallState::Pending(Some(in_flight))) => {
                    let attempt = AttemptId { call, number: in_flight.number };
                    commands.push(Command::CancelAttempt { attempt, server: in_flight.server });
                    commands.push(Command::Fail { call });
                }
                Some(CallState::Established(established)) => {
                    let attempt = AttemptId { call, number: established.number };
                    commands.push(Command::ReleaseAtServer { attempt, server: established.server });
                    commands.push(Command::ReleaseToCaller { call, outcome: Outcome::Reset });
                }
                None => {}
            }
        }
    }
}
