//! Responses: passes servers' answers on to callers, cancels attempts whose answer comes too late, and ends the calls
//! of servers that have terminated or are unreachable.

use bytes::Bytes;

use super::attempts::EndReport;
use super::call_counters::CallEnd;
use super::call_table::{CallState, InFlightAttempt};
use super::{AttemptId, Command, Gateway};
use crate::{CallId, Event, Micros, Outcome, ServerId};

impl Gateway {
    /// The state of the attempt's call and the attempt itself; `None` once the attempt has ended.
    fn active_attempt(&self, attempt: AttemptId) -> Option<(CallState, InFlightAttempt)> {
        let state = self.calls.get(attempt.call)?.state;
        let (CallState::Pending(Some(current)) | CallState::Established(current)) = state else {
            return None;
        };
        (current.number == attempt.number).then_some((state, current))
    }

    pub(super) fn handle_established(
        &mut self,
        attempt: AttemptId,
        description: Bytes,
        commands: &mut Vec<Command>,
    ) {
        // A second answer to an established call is ignored, because the final answer has been given. Frontends do not
        // report answers to cancelled attempts; they release them on arrival.
        let Some((CallState::Pending(_), in_flight)) = self.active_attempt(attempt) else { return };
        let call = attempt.call;
        if self.calls.get(call).is_some_and(|entry| self.now >= entry.deadline) {
            // The answer and the deadline came in the same turn. The caller has stopped waiting, whichever was handled
            // first, so the attempt is cancelled.
            return self.time_out_attempt(call, in_flight, commands);
        }
        if self.calls.establish(call) {
            commands.push(Command::Accept { call, description });
            let elapsed = self.now.saturating_sub(in_flight.sent_at);
            let (number, server) = (in_flight.number, in_flight.server);
            self.pending_events.push_back(Event::Established { call, attempt: number, server, elapsed });
        }
    }

    pub(super) fn handle_attempt_ended(
        &mut self,
        attempt: AttemptId,
        end: EndReport,
        commands: &mut Vec<Command>,
    ) {
        let Some((state, current)) = self.active_attempt(attempt) else { return };
        self.routing.record_load(self.now, current.server, &end.load);
        match state {
            CallState::Established(_) => self.end_established(attempt, current, end, commands),
            CallState::Pending(_) => self.end_pending_attempt(attempt, current, end),
        }
    }

    fn end_established(
        &mut self,
        attempt: AttemptId,
        established: InFlightAttempt,
        end: EndReport,
        commands: &mut Vec<Command>,
    ) {
        let call = attempt.call;
        let is_normal_end = end.outcome == Outcome::Completed;
        let quarantine_until = if is_normal_end { 0 } else { self.now + self.settings.rules.release_wait };
        self.calls.remove(call, quarantine_until, CallEnd::Released);
        commands.push(Command::ReleaseToCaller { call, outcome: end.outcome });
        self.notify_call_over_with(call, established, end);
    }

    fn end_pending_attempt(&mut self, attempt: AttemptId, in_flight: InFlightAttempt, mut end: EndReport) {
        if end.outcome == Outcome::Completed {
            // A server must not report "completed" for an attempt that was never established. The call may have run
            // there, so the release wait applies.
            end.outcome = Outcome::Reset;
        }
        let not_before = self.now + self.settings.rules.release_wait;
        if let Some((entry, _)) = self.calls.pending_mut(attempt.call) {
            entry.state = CallState::Pending(None);
            entry.may_have_run |= end.outcome.may_have_run();
            if end.outcome.needs_release_wait() {
                entry.not_before = not_before;
            }
        }
        self.notify_attempt_ended(attempt.call, in_flight, end);
    }

    /// Handles the loss of contact with an attempt's server, which may still have the attempt or its call.
    pub(super) fn handle_attempt_lost(&mut self, attempt: AttemptId, commands: &mut Vec<Command>) {
        match self.active_attempt(attempt) {
            Some((CallState::Pending(_), lost)) => {
                self.abandon_attempt(attempt.call, lost, Outcome::Reset, commands);
            }
            Some((CallState::Established(_), lost)) => {
                commands.push(Command::ReleaseAtServer { attempt, server: lost.server });
                self.reset_established(attempt.call, lost, commands);
            }
            None => {}
        }
    }

    /// Handles the end of a server's process: its attempts and calls from before `ended_at` are reset. No attempt is
    /// over for certain before its server has said so or its connection has ended, so those with an open connection are
    /// ended at the server as well.
    pub(super) fn handle_server_terminated(
        &mut self,
        server: ServerId,
        ended_at: Micros,
        commands: &mut Vec<Command>,
    ) {
        for (call, server_attempt) in self.calls.calls_at_server(server) {
            if server_attempt.sent_at > ended_at {
                continue;
            }
            if self.calls.is_established(call) {
                let attempt = AttemptId { call, number: server_attempt.number };
                commands.push(Command::ReleaseIfConnected { attempt });
                self.reset_established(call, server_attempt, commands);
            } else {
                self.abandon_attempt(call, server_attempt, Outcome::Reset, commands);
            }
        }
    }

    /// Ends an established call as reset and releases it to its caller.
    fn reset_established(&mut self, call: CallId, lost: InFlightAttempt, commands: &mut Vec<Command>) {
        let quarantine_until = self.now + self.settings.rules.release_wait;
        self.calls.remove(call, quarantine_until, CallEnd::Released);
        commands.push(Command::ReleaseToCaller { call, outcome: Outcome::Reset });
        self.notify_call_over(call, lost, Outcome::Reset);
    }

    /// Handles an unreachable server, which may have ended any of its calls: each call established there before
    /// `last_heard_at` is released to its caller, and at the server once it can be reached again.
    pub(super) fn handle_server_unreachable(
        &mut self,
        server: ServerId,
        last_heard_at: Micros,
        commands: &mut Vec<Command>,
    ) {
        for (call, server_attempt) in self.calls.calls_at_server(server) {
            // Pending attempts are left to their own timeout.
            if server_attempt.sent_at > last_heard_at || !self.calls.is_established(call) {
                continue;
            }
            let attempt = AttemptId { call, number: server_attempt.number };
            commands.push(Command::ReleaseAtServer { attempt, server });
            self.reset_established(call, server_attempt, commands);
        }
    }
}
