//! Lifecycle of a call: it arrives, waits for a server, is sent, may be retried, and gets one final answer.

use std::ops::Bound::{Excluded, Unbounded};

use super::interface::{Action, AttemptEnd, CallId, Cause, Class, Micros, NewCall, Outcome, ServerId};
use super::occupancy::DEFAULT_LATENCY_OBJECTIVE;
use super::outlier::ANSWER_WEIGHT;
use super::state::{Call, CallTimer, CalledNumber, Controller, InFlight};

/// Number of waiting calls without an available server after which the remaining ones wait for the next
/// event. It bounds the work of one event.
const MAX_UNROUTED_CALLS: usize = 64;
/// Time for which a number gets no attempts after all its lines were busy.
const BUSY_NUMBER_BACKOFF: Micros = 2_000_000;
/// Number of calls to one number within `HIGH_VOLUME_WINDOW` from which it counts as a high-volume number.
const HIGH_VOLUME_CALLS: f64 = 4.0;
/// Time in which the count of recent calls to a number decays linearly to 0 if no further call arrives.
const HIGH_VOLUME_WINDOW: Micros = 4_000_000;
/// Share of its weight that a call to a high-volume number keeps.
const HIGH_VOLUME_WEIGHT_SHARE: f64 = 0.1;
/// Time after a rejected or failed call in which a further call to its number counts as a redial. A redial
/// counts with its late weight only.
const REDIAL_WINDOW: Micros = 9_000_000;
/// Number of ranks per unit of weight: ranks are whole numbers.
const RANKS_PER_WEIGHT: f64 = 1000.0;
/// Lower bound of the arrival rate where it is a divisor, calls per second.
const MIN_ARRIVAL_RATE: f64 = 0.1;

impl Controller {
    pub(super) fn handle_new_call(&mut self, new: &NewCall, actions: &mut Vec<Action>) {
        self.arrivals_in_interval += 1;
        let number = self.numbers.entry(new.number).or_default();
        let is_high_volume = number.record_call(self.now);
        let is_redial = new.is_redial || number.has_failed_recently(self.now);
        let is_busy = number.is_busy(is_high_volume, self.now);
        let class = self.settings.classes.get(new.class);
        let objective = class.map_or(DEFAULT_LATENCY_OBJECTIVE, |class| class.latency_objective);
        let full_weight = class.map_or(1.0, |class| class.weight(is_redial));
        let weight = if is_high_volume { full_weight * HIGH_VOLUME_WEIGHT_SHARE } else { full_weight };
        let useful_until = (self.now + objective).min(new.deadline);
        let call = Call {
            class: new.class,
            number: new.number,
            first_choice: new.first_choice,
            in_transit: new.in_transit,
            deadline: new.deadline,
            latest_send_at: useful_until.saturating_sub(self.target_delay() as u64),
            rank: -(weight * RANKS_PER_WEIGHT) as i64,
            is_low_priority: is_redial || is_high_volume,
            attempts: 0,
            max_attempts: new.max_attempts.min(self.settings.max_attempts),
            may_have_run: false,
            in_flight: None,
            not_before: 0,
            last_server: None,
            is_deferred: false,
        };
        self.timers.insert(CallTimer { at: call.deadline, call: new.call });
        self.timers.insert(CallTimer { at: call.latest_send_at, call: new.call });
        self.waiting.insert(call.waiting_key(new.call));
        self.calls.insert(new.call, call);
        if is_busy {
            self.reject_or_fail(new.call, actions);
        }
    }

    pub(super) fn handle_established(&mut self, id: CallId, server: ServerId, elapsed: Micros) {
        self.record_answer(id, server, Some(elapsed));
        if let Some(call) = self.calls.get(&id) {
            self.sticky_servers.insert(call.first_choice, server);
            self.remove_call(id);
        }
    }

    pub(super) fn handle_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        self.record_attempt_end(end);
        if end.is_call_over {
            return self.remove_call(end.call);
        }
        let (now, target_delay) = (self.now, self.target_delay() as u64);
        let Some(call) = self.calls.get_mut(&end.call) else { return };
        call.record_attempt_end(end, now, self.settings.rules.release_wait, target_delay);
        if call.not_before > now {
            self.timers.insert(CallTimer { at: call.not_before, call: end.call });
        }
        self.timers.insert(CallTimer { at: call.latest_send_at, call: end.call });
        self.waiting.insert(call.waiting_key(end.call));
        let is_exhausted = now + self.settings.tick >= call.deadline
            || call.attempts >= call.max_attempts
            || call.latest_send_at <= now
            || !end.may_retry;
        let number = self.numbers.get_mut(&call.number);
        let is_busy = number.is_some_and(|number| number.record_attempt_end(end.cause, now));
        if is_busy || is_exhausted {
            self.reject_or_fail(end.call, actions);
        }
    }

    /// Updates the state of a server from the end of an attempt there.
    fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let was_unanswered =
            self.servers.get(&end.server).is_some_and(|server| server.unanswered.contains_key(&end.call));
        self.record_load(end.server, &end.load);
        match end.outcome {
            Outcome::Completed => self.record_answer(end.call, end.server, None),
            Outcome::Failed => {
                self.record_answer(end.call, end.server, None);
                let server = self.servers.get_mut(&end.server);
                if let Some(server) = server.filter(|_| was_unanswered && end.cause != Cause::NumberBusy) {
                    server.failure_share += (1.0 - server.failure_share) * ANSWER_WEIGHT;
                }
            }
            Outcome::Rejected => self.record_rejection(end),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Cancelled | Outcome::Reset => {
                if was_unanswered {
                    self.record_no_answer(end);
                }
            }
            Outcome::NotSent => {}
        }
    }

    fn record_rejection(&mut self, end: &AttemptEnd) {
        self.record_answer(end.call, end.server, None);
        if let Cause::ProcessorOverloaded { retry_after } = end.cause {
            // A stalled processor reports a retry-after time of seconds but recovers within half a second.
            // The reported time is therefore limited: for a gatekeeper that sends often the limit is low at
            // first and rises as rejections recur, for one that sends seldom it lasts until about its next
            // call. Disadvantage: in the first second of an overload too much may be sent.
            let reported = retry_after.map_or(f64::MAX, |delay| delay as f64);
            let send_interval = 1e6 * self.servers.len() as f64 / self.arrival_rate.max(MIN_ARRIVAL_RATE);
            let longest = self.overload_delay(end.server).max(2.0 * send_interval);
            self.record_delay(end.server, reported.clamp(self.target_delay(), longest));
        }
        self.record_overload_signal(end.server, false);
        if let (Cause::NoFreeLine, Some(server)) = (end.cause, self.servers.get_mut(&end.server)) {
            (server.free_lines, server.free_lines_at) = (0.0, self.now);
        }
    }

    /// Processes the end of an attempt that got no answer from the server. A reset connection is no evidence
    /// about the processor behind it, nor is a caller that releases the call early: the design defines
    /// occupancy as the share of attempts that were rejected or timed out. Without these exceptions, a broken
    /// connection that carries several calls would close an idle server.
    fn record_no_answer(&mut self, end: &AttemptEnd) {
        let sent_at = self.now - end.elapsed.min(self.now);
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        server.unanswered.remove(&end.call);
        let has_no_response = server.last_response_at <= sent_at;
        let released_early = end.outcome == Outcome::Cancelled && (end.elapsed as f64) < self.target_delay();
        if end.outcome != Outcome::Reset && !released_early {
            self.record_overload_signal(end.server, has_no_response);
        }
    }

    /// Gives the final answer to a call that was not established: rejected if no attempt can have run,
    /// otherwise failed.
    fn reject_or_fail(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        if let Some(number) = self.numbers.get_mut(&call.number) {
            number.failed_at = Some(self.now);
        }
        if call.may_have_run || call.in_flight.is_some() {
            actions.push(Action::Fail { call: id });
        } else {
            let may_advise = self.settings.may_send_retry_after;
            let retry_after = if may_advise { self.settings.max_retry_after } else { 0 };
            actions.push(Action::Reject { call: id, retry_after });
        }
        self.remove_call(id);
    }

    pub(super) fn remove_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.waiting.remove(&call.waiting_key(id));
        if let (Some(_), Some(number)) = (call.in_flight, self.numbers.get_mut(&call.number)) {
            number.in_flight = number.in_flight.saturating_sub(1);
        }
    }

    /// Implements rule 1: each call is answered by its deadline, or earlier if it can no longer be
    /// established in time.
    pub(super) fn answer_due_calls(&mut self, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= self.now) {
            self.timers.remove(&timer);
            let Some(call) = self.calls.get(&timer.call) else { continue };
            match call.in_flight {
                Some(in_flight) if self.now >= call.deadline => {
                    if self.settings.may_cancel {
                        actions.push(Action::Cancel { call: timer.call, attempt: in_flight.attempt });
                    }
                    self.reject_or_fail(timer.call, actions);
                }
                None if self.now >= call.latest_send_at => self.reject_or_fail(timer.call, actions),
                Some(_) | None => {}
            }
        }
    }

    /// Sends the waiting calls for which a server is available.
    pub(super) fn send_waiting(&mut self, actions: &mut Vec<Action>) {
        self.refill_slow_start();
        let mut unrouted = 0;
        let mut next = self.waiting.first().copied();
        // Keys are looked up one by one: copying all of them would cost each event as much as calls wait.
        while let Some(key) = next.filter(|_| unrouted < MAX_UNROUTED_CALLS) {
            next = self.waiting.range((Excluded(key), Unbounded)).next().copied();
            let id = key.call;
            let Some(mut call) = self.calls.remove(&id) else { continue };
            let target = self.choose_server(&call);
            if target.is_none() {
                unrouted += 1;
                call.is_deferred = true;
            }
            self.calls.insert(id, call);
            match target {
                Some(server) if self.needs_health_check(server) => self.check_health(server, actions),
                Some(server) => self.send(id, server, actions),
                None => {}
            }
        }
    }

    fn send(&mut self, id: CallId, server_id: ServerId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        self.waiting.remove(&call.waiting_key(id));
        call.in_flight = Some(InFlight { server: server_id, attempt: call.attempts });
        call.attempts += 1;
        server.unanswered.insert(id, self.now);
        server.sends_per_span[0] += 1;
        server.free_lines -= 1.0;
        server.throttle_tokens = (server.throttle_tokens - 1.0).max(0.0);
        server.earned_allowance = (server.earned_allowance - 1.0).max(0.0);
        server.allowance = (server.allowance - 1.0).max(0.0);
        server.slow_start_tokens -= 1.0;
        if server.is_ejected {
            server.next_trial_at = self.now + server.trial_interval;
        }
        if let Some(number) = self.numbers.get_mut(&call.number) {
            number.in_flight += 1;
        }
        actions.push(Action::Attempt { call: id, server: server_id, timeout: call.deadline - self.now });
    }

    /// Removes the state of numbers that no longer affects decisions.
    pub(super) fn remove_expired_numbers(&mut self) {
        let now = self.now;
        self.numbers.retain(|_, number| {
            let expires_at = (number.last_call_at + REDIAL_WINDOW).max(number.busy_until);
            number.in_flight > 0 || now < expires_at
        });
    }
}

impl Class {
    fn weight(&self, is_redial: bool) -> f64 {
        if is_redial { self.priority_weight * self.late_weight_share } else { self.priority_weight }
    }
}

impl Call {
    /// Returns the call to the waiting state after an attempt has ended.
    fn record_attempt_end(
        &mut self,
        end: &AttemptEnd,
        now: Micros,
        release_wait: Micros,
        target_delay: Micros,
    ) {
        self.in_flight = None;
        self.last_server = Some(end.server);
        self.is_deferred = false;
        self.may_have_run |= end.outcome.may_have_run();
        if end.outcome.needs_release_wait() {
            self.not_before = now + release_wait;
        }
        self.not_before = self.not_before.max(now + end.retry_delay);
        let latest = self.latest_send_at.max(self.not_before + target_delay);
        self.latest_send_at = latest.min(self.deadline.saturating_sub(target_delay));
    }
}

impl CalledNumber {
    /// Counts a call and returns whether the number has a high volume of calls.
    fn record_call(&mut self, now: Micros) -> bool {
        let decayed_share = now.saturating_sub(self.last_call_at) as f64 / HIGH_VOLUME_WINDOW as f64;
        self.recent_calls = self.recent_calls * (1.0 - decayed_share).max(0.0) + 1.0;
        self.last_call_at = now;
        self.recent_calls >= HIGH_VOLUME_CALLS
    }

    fn has_failed_recently(&self, now: Micros) -> bool {
        self.failed_at.is_some_and(|failed_at| now < failed_at + REDIAL_WINDOW)
    }

    /// Whether all its lines are assumed to be busy.
    fn is_busy(&self, is_high_volume: bool, now: Micros) -> bool {
        let was_busy = self.busy_until > 0;
        now < self.busy_until || (was_busy && is_high_volume && self.in_flight > 0)
    }

    /// Counts the end of an attempt and returns whether the attempt ended because the number is busy.
    fn record_attempt_end(&mut self, cause: Cause, now: Micros) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_busy = cause == Cause::NumberBusy;
        if is_busy {
            self.busy_until = now + BUSY_NUMBER_BACKOFF;
        }
        is_busy
    }
}
