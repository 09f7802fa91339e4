//! Admit: the module's verdicts become final answers, at once and once.

use super::book::{Out, State};
use super::tally::End;
use super::{AttemptId, Command, Gateway};
use crate::{CallId, Event, Micros, Outcome};

/// How long past a call's deadline the module may be late before the last guard answers in its place.
const VERDICT_SLACK: Micros = 10_000;

impl Gateway {
    pub(super) fn refuse(&mut self, call: CallId, wait: Micros, out: &mut Vec<Command>) {
        if self.finish(call, End::Refused, out) {
            out.push(Command::Refuse { call, wait });
        }
    }

    pub(super) fn fail(&mut self, call: CallId, out: &mut Vec<Command>) {
        if self.finish(call, End::Failed, out) {
            out.push(Command::Fail { call });
        }
    }

    /// Takes an open call out of the book, with whatever it still has out. A verdict on a call that is over
    /// already is no error: what ended it and the verdict may have crossed.
    fn finish(&mut self, call: CallId, end: End, out: &mut Vec<Command>) -> bool {
        let Some(attempt) = self.close_open(call, end) else { return false };
        if let Some(at) = attempt {
            let attempt = AttemptId { call, number: at.number };
            out.push(Command::GiveUp { attempt, server: at.server });
            self.tell_end(call, at, Outcome::Cancelled, true);
        }
        true
    }

    /// Takes a call out of the book that is still owed its final answer; the caller of this gives that answer.
    /// What is out is called off with it, so the release wait begins now.
    pub(super) fn close_open(&mut self, call: CallId, end: End) -> Option<Option<Out>> {
        let (_, attempt) = self.book.open_mut(call)?;
        let rest = if attempt.is_some() { self.now + self.set.rules.release_wait } else { 0 };
        self.book.close(call, rest, end).map(|_| attempt)
    }

    /// Ends attempts whose time is up, and answers what the module has left unanswered past its deadline.
    pub(super) fn expire(&mut self, out: &mut Vec<Command>) {
        while let Some(call) = self.book.pop_due(self.now) {
            let now = self.now;
            let Some((entry, attempt)) = self.book.open_mut(call) else { continue };
            let due = entry.due;
            if let Some(at) = attempt.filter(|at| at.until <= now) {
                self.time_out(call, at, out);
                self.settle(out);
            }
            if self.book.open_mut(call).is_none() {
                continue;
            }
            if now >= due + VERDICT_SLACK {
                // Guards against a call left without an answer whatever the module did.
                out.push(Command::Warn(format!("admit: call {} had no verdict by its deadline", call.0)));
                self.news.push_back(Event::CallerGone { call });
                self.fail(call, out);
            } else if now >= due {
                self.book.look_again(call, due + VERDICT_SLACK);
            }
        }
    }

    /// The program ends: open calls get their answer, standing ones are released on both sides.
    pub(super) fn close(&mut self, out: &mut Vec<Command>) {
        for call in self.book.all() {
            // Refused where nothing may have run, so that the caller may try elsewhere at once.
            let out_now = self.book.get(call).is_some_and(|e| matches!(e.state, State::Open(Some(_))));
            match self.book.close(call, 0, if out_now { End::Failed } else { End::Refused }) {
                Some(State::Open(attempt)) => {
                    let Some(at) = attempt else {
                        out.push(Command::Refuse { call, wait: 0 });
                        continue;
                    };
                    let attempt = AttemptId { call, number: at.number };
                    out.push(Command::GiveUp { attempt, server: at.server });
                    out.push(Command::Fail { call });
                }
                Some(State::Stands(at)) => {
                    let attempt = AttemptId { call, number: at.number };
                    out.push(Command::Release { attempt, server: at.server });
                    out.push(Command::Over { call, outcome: Outcome::Reset });
                }
                None => {}
            }
        }
    }
}
