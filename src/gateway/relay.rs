//! Relay: what servers say of attempts and standing calls reaches the caller or, too late for it, is released.

use bytes::Bytes;

use super::book::{Out, State};
use super::tally::End;
use super::{AttemptId, Command, Gateway};
use crate::{Cause, Event, LoadReport, Micros, Outcome, ServerId};

impl Gateway {
    /// What the book holds for an attempt; `None` once the attempt is over.
    fn held(&self, attempt: AttemptId) -> Option<(State, Out)> {
        let state = self.book.get(attempt.call)?.state;
        let (State::Open(Some(at)) | State::Stands(at)) = state else { return None };
        (at.number == attempt.number).then_some((state, at))
    }

    pub(super) fn stands(&mut self, attempt: AttemptId, description: Bytes, out: &mut Vec<Command>) {
        // A second answer to a call that stands changes nothing: its one final answer is given. The front
        // never reports answers of attempts that were given up; it releases them where they come in.
        let Some((State::Open(_), at)) = self.held(attempt) else { return };
        let call = attempt.call;
        if self.book.get(call).is_some_and(|entry| self.now >= entry.due) {
            // Its caller's time ended in the same turn: whichever is seen first, nobody waits for it any more.
            return self.time_out(call, at, out);
        }
        if self.book.answer(call) {
            out.push(Command::Answer { call, description });
            let took = self.now.saturating_sub(at.sent);
            self.news.push_back(Event::Established {
                call,
                attempt: at.number,
                server: at.server,
                elapsed: took,
            });
        }
    }

    pub(super) fn ended(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        cause: Cause,
        load: LoadReport,
        out: &mut Vec<Command>,
    ) {
        let call = attempt.call;
        let Some((state, at)) = self.held(attempt) else { return };
        self.route.heard(self.now, at.server, &load);
        if let State::Stands(_) = state {
            let rest = if outcome == Outcome::Completed { 0 } else { self.now + self.set.rules.release_wait };
            self.book.close(call, rest, End::Over);
            out.push(Command::Over { call, outcome });
            return self.tell_end_with(call, at, outcome, true, cause, load);
        }
        // An 'ended well' for what never stood is a server's slip; it may have run, so the wait applies.
        let outcome = if outcome == Outcome::Completed { Outcome::Reset } else { outcome };
        let wait = self.now + self.set.rules.release_wait;
        if let Some((entry, _)) = self.book.open_mut(call) {
            entry.state = State::Open(None);
            if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                entry.wait_until = wait;
            }
        }
        self.tell_end_with(call, at, outcome, false, cause, load);
    }

    /// A server's process has ended: what it held is cut, and nothing can be released there any more.
    pub(super) fn lost(&mut self, server: ServerId, ended_at: Micros, out: &mut Vec<Command>) {
        for (call, at) in self.book.at_server(server).into_iter().filter(|(_, at)| at.sent <= ended_at) {
            let attempt = AttemptId { call, number: at.number };
            self.ended(attempt, Outcome::Reset, Cause::Unspecified, LoadReport::default(), out);
        }
    }

    /// A server is out of reach and may have ended any call there: callers are told that theirs are over, and so
    /// will the server be once it can be reached.
    pub(super) fn unheard(&mut self, server: ServerId, since: Micros, out: &mut Vec<Command>) {
        for (call, at) in self.book.at_server(server).into_iter().filter(|(_, at)| at.sent <= since) {
            if !self.book.get(call).is_some_and(|e| matches!(e.state, State::Stands(_))) {
                continue; // an attempt that is out has a time-out of its own
            }
            self.book.close(call, self.now + self.set.rules.release_wait, End::Over);
            out.push(Command::Release { attempt: AttemptId { call, number: at.number }, server });
            out.push(Command::Over { call, outcome: Outcome::Reset });
            self.tell_end(call, at, Outcome::Reset, true);
        }
    }
}
