//! Admission: the decision module's rejections and failures become final answers, at once and once. Also the deadlines, and
//! the end of the program.

use super::call_counters::CallEnd;
use super::call_table::{CallState, InFlightAttempt};
use super::{AttemptId, Command, Gateway, InvariantViolation};
use crate::{CallId, Event, Micros, Outcome};

/// How long past a call's deadline the decision module may be late before the core answers in its place.
const DECISION_SLACK: Micros = 10_000;

impl Gateway {
    pub(super) fn reject(&mut self, call: CallId, retry_after: Micros, commands: &mut Vec<Command>) {
        if self.end_pending_call(call, CallEnd::Rejected, commands) {
            commands.push(Command::Reject { call, retry_after });
        }
    }

    pub(super) fn fail(&mut self, call: CallId, commands: &mut Vec<Command>) {
        if self.end_pending_call(call, CallEnd::Failed, commands) {
            commands.push(Command::Fail { call });
        }
    }

    /// Removes a pending call, and cancels its attempt in flight. False for a call that is over already: no error, for
    /// what ended it and the decision may have crossed.
    fn end_pending_call(&mut self, call: CallId, end: CallEnd, commands: &mut Vec<Command>) -> bool {
        let Some(in_flight) = self.remove_pending(call, end) else { return false };
        if let Some(in_flight) = in_flight {
            let attempt = AttemptId { call, number: in_flight.number };
            commands.push(Command::CancelAttempt { attempt, server: in_flight.server });
            self.notify_call_over(call, in_flight, Outcome::Cancelled);
        }
        true
    }

    /// Removes a pending call and returns its attempt in flight; `None` if the call is not pending. The caller of this
    /// gives the final answer. The attempt is cancelled with it, so the release wait begins now.
    pub(super) fn remove_pending(&mut self, call: CallId, end: CallEnd) -> Option<Option<InFlightAttempt>> {
        let (_, in_flight) = self.calls.pending_mut(call)?;
        let has_attempt = in_flight.is_some();
        let quarantine_until = if has_attempt { self.now + self.settings.rules.release_wait } else { 0 };
        self.calls.remove(call, quarantine_until, end).map(|_| in_flight)
    }

    /// Ends attempts whose time is up, and answers what the decision module has left unanswered past its deadline.
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
                // Guards against a call left without an answer whatever the decision module did.
                commands.push(Command::ReportViolation(InvariantViolation::NoFinalAnswer(call)));
                self.pending_events.push_back(Event::CallerGone { call });
                self.fail(call, commands);
            } else if now >= deadline {
                self.calls.schedule_check(call, deadline + DECISION_SLACK);
            }
        }
    }

    /// The program ends: pending calls get their answer, established ones are released on both sides.
    pub(super) fn shut_down(&mut self, commands: &mut Vec<Command>) {
        for call in self.calls.call_ids() {
            // Rejected where nothing may have run, so that the caller may try elsewhere at once.
            let state = self.calls.get(call).map(|entry| entry.state);
            let has_attempt = matches!(state, Some(CallState::Pending(Some(_))));
            let end = if has_attempt { CallEnd::Failed } else { CallEnd::Rejected };
            match self.calls.remove(call, 0, end) {
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
