//! Send: attempts go out, are called off and time out. Here stand the last guards before a set-up leaves.

use super::book::Out;
use super::{AttemptId, Command, Gateway};
use crate::limits::Verdict;
use crate::{AttemptEnd, CallId, Cause, Event, LoadReport, Micros, Outcome, ServerId};

impl Gateway {
    pub(super) fn attempt(
        &mut self,
        call: CallId,
        server: ServerId,
        time_out: Micros,
        out: &mut Vec<Command>,
    ) {
        let now = self.now;
        let grace = self.set.rules.drain_grace;
        let Some((entry, held)) = self.book.open_mut(call) else { return };
        let number = entry.attempts;
        let fault = if held.is_some() {
            Some("another attempt is out")
        } else if now >= entry.due {
            Some("its caller waits no longer")
        } else if now < entry.wait_until {
            Some("the release wait is not over")
        } else if self.set.max_attempts > 0 && number >= self.set.max_attempts
            || entry.held.as_ref().is_some_and(|held| number >= held.limits.attempts.value)
        {
            Some("no attempts are left")
        } else if !self.route.open(server, now, grace) {
            Some("the server drains or is gone")
        } else {
            None
        };
        if let Some(fault) = fault {
            // Guards the rules against whatever the module asks for: the attempt never leaves.
            let text = format!("send: call {} not sent to server {}: {fault}", call.0, server.0);
            out.push(Command::Warn(text));
            if held.is_none() {
                let at = Out { number, server, sent: now, until: now };
                self.tell_end(call, at, Outcome::NotSent, false);
            }
            return;
        }
        let try_for = entry.held.as_ref().and_then(|held| held.try_for).unwrap_or(Micros::MAX);
        let time_out = if time_out == 0 { try_for } else { time_out.min(try_for) };
        let until = entry.due.min(now.saturating_add(time_out));
        let (left, description) = (until.saturating_sub(now), entry.description.clone());
        self.book.sent(call, Out { number, server, sent: now, until });
        out.push(Command::Send { attempt: AttemptId { call, number }, server, left, description });
    }

    /// The module calls an attempt off. It says so just before its verdict, so the call stays in the book.
    pub(super) fn cancel(&mut self, call: CallId, number: u32, out: &mut Vec<Command>) {
        let wait = self.now + self.set.rules.release_wait;
        let Some((entry, Some(at))) = self.book.open_mut(call) else { return };
        if at.number == number {
            entry.state = super::book::State::Open(None);
            entry.wait_until = wait;
            out.push(Command::GiveUp { attempt: AttemptId { call, number }, server: at.server });
            self.tell_end(call, at, Outcome::Cancelled, false);
        }
    }

    /// An attempt got no answer in its time: it is given up at the server and the release wait begins.
    pub(super) fn time_out(&mut self, call: CallId, at: Out, out: &mut Vec<Command>) {
        let wait = self.now + self.set.rules.release_wait;
        let Some((entry, _)) = self.book.open_mut(call) else { return };
        entry.state = super::book::State::Open(None);
        entry.wait_until = wait;
        out.push(Command::GiveUp { attempt: AttemptId { call, number: at.number }, server: at.server });
        self.tell_end(call, at, Outcome::TimedOut, false);
    }

    /// Tells the module how an attempt ended that no server has spoken of.
    pub(super) fn tell_end(&mut self, call: CallId, at: Out, outcome: Outcome, over: bool) {
        self.tell_end_with(call, at, outcome, over, Cause::Unspecified, LoadReport::default());
    }

    pub(super) fn tell_end_with(
        &mut self,
        call: CallId,
        at: Out,
        outcome: Outcome,
        over: bool,
        cause: Cause,
        load: LoadReport,
    ) {
        let mut verdict = Verdict { rest: 0, again: true };
        let now = self.now;
        if let Some((entry, _)) = self.book.open_mut(call).filter(|_| !over) {
            if let Some(held) = &entry.held {
                verdict = self.limits.after(now, held, outcome, entry.attempts);
            }
            entry.wait_until = entry.wait_until.max(now.saturating_add(verdict.rest));
        }
        self.news.push_back(Event::AttemptEnded(AttemptEnd {
            call,
            attempt: at.number,
            server: at.server,
            outcome,
            cause,
            elapsed: self.now.saturating_sub(at.sent),
            is_call_over: over,
            load,
            retry_delay: verdict.rest,
            may_retry: verdict.again,
        }));
    }
}
