//! Intake: a caller's set-up becomes a call in the book and an event for the module; what callers take back.

use super::book::State;
use super::tally::End;
use super::{AttemptId, Command, Gateway, SetUp};
use crate::limits::Asked;
use crate::{CallId, Event, NewCall, Outcome};

impl Gateway {
    pub(super) fn take_in(&mut self, set_up: SetUp, out: &mut Vec<Command>) {
        let SetUp { call, name, class, number, dialled, first_choice, left, again, description } = set_up;
        let due = self.now.saturating_add(left);
        let rests_until = self.book.rests_until(&name, self.now);
        if !self.book.open_call(call, name, class, due, description) {
            return out.push(Command::Warn(format!("intake: call {} came twice", call.0)));
        }
        if let Some(until) = rests_until {
            // The same call again before the release wait is over: what it held may still stay taken. Guards
            // against a caller that sends a call again, unchanged, the moment it is turned away (found on a day
            // with rude callers: ten calls went out again 122 ms after an attempt that had timed out).
            return self.refuse(call, until - self.now, out);
        }
        if class >= self.set.classes.len() {
            return self.fail(call, out);
        }
        if let Some(wait) = self.away {
            return self.refuse(call, wait, out);
        }
        let asked = Asked { class, pool: first_choice.0, number: &dialled, left };
        let held = match self.limits.take(self.now, asked) {
            Ok(held) => held,
            Err(refusal) => {
                // A limit of the operators' is met: the module need not be asked, and nothing has run.
                let (level, cap) = (refusal.level, refusal.cap);
                out.push(Command::Note(format!("intake: call {} turned away: {cap} of {level}", call.0)));
                return self.refuse(call, if self.set.may_send_retry_after { refusal.wait } else { 0 }, out);
            }
        };
        let attempts = held.limits.attempts.value;
        self.book.hold(call, held);
        self.news.push_back(Event::Call(NewCall {
            call,
            class,
            number,
            deadline: due,
            first_choice,
            is_redial: again,
            in_transit: false,
            max_attempts: attempts,
        }));
    }

    /// The caller waits no longer: no answer is owed, and what is out is called off.
    pub(super) fn given_up(&mut self, call: CallId, out: &mut Vec<Command>) {
        // Its 'give up' may have crossed our answer: then it is a release.
        if self.book.get(call).is_some_and(|e| matches!(e.state, State::Stands(_))) {
            return self.hung_up(call, out);
        }
        let Some(attempt) = self.close_open(call, End::Withdrawn) else { return };
        self.news.push_back(Event::CallerGone { call });
        if let Some(at) = attempt {
            let attempt = AttemptId { call, number: at.number };
            out.push(Command::GiveUp { attempt, server: at.server });
            self.tell_end(call, at, Outcome::Cancelled, true);
        }
    }

    /// The caller ends a call that stands.
    pub(super) fn hung_up(&mut self, call: CallId, out: &mut Vec<Command>) {
        let standing = self.book.get(call).is_some_and(|e| matches!(e.state, State::Stands(_)));
        if !standing {
            return self.given_up(call, out);
        }
        let rest = self.now + self.set.rules.release_wait;
        if let Some(State::Stands(at)) = self.book.close(call, rest, End::Over) {
            let attempt = AttemptId { call, number: at.number };
            out.push(Command::Release { attempt, server: at.server });
            self.tell_end(call, at, Outcome::Cancelled, true);
        }
    }
}
