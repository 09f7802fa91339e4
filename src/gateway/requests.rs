//! Requests: set-up requests, and their cancellation or release by the caller. A set-up request becomes a call in the
//! table and, unless it is answered at once, an event for the decision module.

use bytes::Bytes;

use super::call_counters::CallEnd;
use super::call_table::{CallEntry, CallState};
use super::{AttemptId, Command, Gateway, InvariantViolation, PendingBounds, SetupRequest};
use crate::limits::{AdmissionRequest, Refusal};
use crate::{CallId, Event, NewCall, Outcome};

impl Gateway {
    pub(super) fn handle_setup_request(&mut self, request: SetupRequest, commands: &mut Vec<Command>) {
        let SetupRequest { call, class, first_choice, time_left, .. } = request;
        let deadline = self.now.saturating_add(time_left);
        let quarantined_until = self.calls.quarantined_until(&request.wire_id, self.now);
        let is_beyond_bounds = self.is_beyond_pending_bounds(request.description.len());
        let description = if is_beyond_bounds { Bytes::new() } else { request.description };
        let entry = CallEntry::pending(request.wire_id, class, deadline, description);
        if !self.calls.insert_pending(call, entry) {
            return commands.push(Command::ReportViolation(InvariantViolation::DuplicateCall(call)));
        }
        if let Some(until) = quarantined_until {
            // The same call was requested again before the release wait was over: an earlier attempt may still occupy
            // resources at its server. Some callers repeat a rejected call unchanged and at once; without this check,
            // ten such calls were sent to servers again 122 ms after an attempt that had timed out.
            return self.reject(call, until - self.now, commands);
        }
        if class >= self.settings.classes.len() {
            return self.fail(call, commands);
        }
        if is_beyond_bounds {
            let may_advise = self.settings.may_send_retry_after;
            return self.reject(call, if may_advise { self.settings.max_retry_after } else { 0 }, commands);
        }
        if let Some(retry_after) = self.new_call_retry_after {
            return self.reject(call, retry_after, commands);
        }
        let asked =
            AdmissionRequest { class, pool: first_choice.0, number: &request.dialled_number, time_left };
        let permit = match self.limits.admit(self.now, asked) {
            Ok(permit) => permit,
            Err(refusal) => return self.reject_at_limit(call, &refusal, commands),
        };
        let max_attempts = permit.limits.attempts.value;
        self.calls.set_limits(call, permit);
        self.pending_events.push_back(Event::Call(NewCall {
            call,
            class,
            number: request.number,
            deadline,
            first_choice,
            is_redial: request.is_redial,
            in_transit: false,
            max_attempts,
        }));
    }

    /// Whether one more call, with a description of this size, exceeds the bounds on pending calls.
    fn is_beyond_pending_bounds(&self, description_bytes: usize) -> bool {
        let PendingBounds { max_calls, max_description_bytes } = self.pending_bounds;
        self.calls.pending_count() >= max_calls
            || self.calls.description_bytes() + description_bytes > max_description_bytes
    }

    /// Rejects a call that exceeds a limit set by the operators. The decision module is not involved, and no attempt
    /// has been made.
    fn reject_at_limit(&mut self, call: CallId, refusal: &Refusal, commands: &mut Vec<Command>) {
        let (level, cap) = (&refusal.level, refusal.cap);
        commands.push(Command::Log(format!("call {} rejected: limit {cap} of {level} is reached", call.0)));
        let retry_after = if self.settings.may_send_retry_after { refusal.retry_after } else { 0 };
        self.reject(call, retry_after, commands);
    }

    /// Handles a caller's cancellation: there is no final answer, and the attempt in flight is cancelled.
    pub(super) fn handle_cancellation(&mut self, call: CallId, commands: &mut Vec<Command>) {
        // If the cancellation has crossed the final answer, the call is established and is released instead.
        if self.calls.is_established(call) {
            return self.handle_release(call, commands);
        }
        let Some(in_flight) = self.remove_pending(call, CallEnd::Cancelled) else { return };
        self.pending_events.push_back(Event::CallerGone { call });
        if let Some(in_flight) = in_flight {
            let attempt = AttemptId { call, number: in_flight.number };
            commands.push(Command::CancelAttempt { attempt, server: in_flight.server });
            self.notify_call_over(call, in_flight, Outcome::Cancelled);
        }
    }

    /// Handles a caller's release of an established call.
    pub(super) fn handle_release(&mut self, call: CallId, commands: &mut Vec<Command>) {
        if !self.calls.is_established(call) {
            return self.handle_cancellation(call, commands);
        }
        let quarantine_until = self.now + self.settings.rules.release_wait;
        let state = self.calls.remove(call, quarantine_until, CallEnd::Released);
        if let Some(CallState::Established(established)) = state {
            let attempt = AttemptId { call, number: established.number };
            commands.push(Command::ReleaseAtServer { attempt, server: established.server });
            self.notify_call_over(call, established, Outcome::Cancelled);
        }
    }
}
