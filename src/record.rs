//! Record: what happened to calls of late, in a ring that never grows.
//!
//! A front notes each step of a call's life: taken, sent where, stood, over, by whom, on which connection its release
//! was written and whether it was heard. When a call comes to a bad end, its steps are in the log, though nobody
//! had asked for a log of every call. With target `call` at level `debug`, each step is logged as it happens.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::gateway::{Command, Input};
use crate::{CallId, Micros, Outcome, ServerId};

/// Steps kept: some 10 a call, so about 1,600 calls; at 50 calls a second half a minute.
const STEPS: usize = 16 * 1024;

/// One step of a call's life. `u64`s are the front's own numbers of its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A caller's set-up reached the core.
    Taken,
    /// The caller gave it up, or left.
    GivenUp,
    /// The caller ended it while it stood.
    HungUp,
    /// The server's answer to this attempt reached the core.
    Stands(u32),
    /// The end of this attempt, or of the call that stood by it, reached the core.
    Ended(u32, Outcome),
    /// The core sends this attempt to a server.
    Sent(u32, ServerId),
    /// The core calls this attempt off.
    CalledOff(u32),
    /// The core releases at the server what stands by this attempt.
    Released(u32),
    /// The core's final answer: it stands.
    Answered,
    /// The core's final answer: refused, with this wait.
    Refused(Micros),
    /// The core's final answer: failed.
    Failed,
    /// It stood and is over; its caller is to be told.
    Over(Outcome),
    /// It stood at another process of this gatekeeper, and is this one's now.
    Adopted,
    /// It stands, and is another process's now.
    HandedOver,
    /// Its set-up came on this connection.
    CameOn(u64),
    /// Its attempt goes to the server on this connection.
    WentOn(u64),
    /// A server's word about it came on this connection.
    ServerSpokeOn(u64),
    /// A caller's word about it came on this connection.
    CallerSpokeOn(u64),
    /// Its release is in the outbox of this connection.
    TellOn(u64),
    /// Its release waits for a connection.
    Owed,
    /// The connection ended with its release on it, unheard.
    Unheard(u64),
    /// The caller has heard its release, on this connection.
    Heard(u64),
    /// Its release was given up: nobody came to hear it.
    Untold,
}

struct Ring {
    steps: Vec<(Micros, CallId, Step)>,
    next: usize,
}

/// What happened of late. Its parts share it; none keeps it while it waits.
#[derive(Clone)]
pub struct Record(Rc<RefCell<Ring>>);

impl Default for Record {
    fn default() -> Self {
        Record(Rc::new(RefCell::new(Ring { steps: Vec::with_capacity(STEPS), next: 0 })))
    }
}

impl Record {
    /// Notes a step. At the bound the oldest step makes way.
    pub fn note(&self, now: Micros, call: CallId, step: Step) {
        tracing::debug!(target: "call", call = call.0, ?step);
        let mut ring = self.0.borrow_mut();
        let next = ring.next;
        if ring.steps.len() < STEPS {
            ring.steps.push((now, call, step));
        } else {
            ring.steps[next] = (now, call, step);
            ring.next = (next + 1) % STEPS;
        }
    }

    /// Notes what the core is told.
    pub fn input(&self, now: Micros, input: &Input) {
        let (call, step) = match input {
            Input::SetUp(set_up) => (set_up.call, Step::Taken),
            Input::GivenUp(call) => (*call, Step::GivenUp),
            Input::HungUp(call) => (*call, Step::HungUp),
            Input::Stands { attempt, .. } => (attempt.call, Step::Stands(attempt.number)),
            Input::Ended { attempt, outcome, .. } => (attempt.call, Step::Ended(attempt.number, *outcome)),
            Input::Adopted { attempt, .. } => (attempt.call, Step::Adopted),
            Input::HandedOver(call) => (*call, Step::HandedOver),
            Input::Load { .. }
            | Input::List { .. }
            | Input::Lost { .. }
            | Input::Unheard { .. }
            | Input::Limits(_)
            | Input::Tick
            | Input::Close => return,
        };
        self.note(now, call, step);
    }

    /// Notes what the core has done.
    pub fn command(&self, now: Micros, command: &Command) {
        let (call, step) = match command {
            Command::Send { attempt, server, .. } => (attempt.call, Step::Sent(attempt.number, *server)),
            Command::GiveUp { attempt, .. } => (attempt.call, Step::CalledOff(attempt.number)),
            Command::Release { attempt, .. } => (attempt.call, Step::Released(attempt.number)),
            Command::Answer { call, .. } => (*call, Step::Answered),
            Command::Refuse { call, wait } => (*call, Step::Refused(*wait)),
            Command::Fail { call } => (*call, Step::Failed),
            Command::Over { call, outcome } => (*call, Step::Over(*outcome)),
            Command::Probe(_) | Command::CloseIdle(_) | Command::Note(_) | Command::Warn(_) => return,
        };
        self.note(now, call, step);
    }

    /// A call's steps, as far back as they are kept.
    pub fn of(&self, call: CallId) -> Story {
        let ring = self.0.borrow();
        let (newer, older) = ring.steps.split_at(ring.next);
        let steps = older.iter().chain(newer).filter(|(_, c, _)| *c == call);
        Story(steps.map(|(at, _, step)| (*at, *step)).collect())
    }
}

/// The steps of one call, in the order in which they happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Story(pub Vec<(Micros, Step)>);

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut before = self.0.first().map_or(0, |(at, _)| *at);
        for (n, (at, step)) in self.0.iter().enumerate() {
            let gap = at.saturating_sub(before) as f64 / 1000.0;
            write!(f, "{}{step:?} +{gap:.1}ms", if n > 0 { ", " } else { "" })?;
            before = *at;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::*;

    #[test]
    fn a_calls_steps_come_back_in_order_and_the_oldest_make_way() {
        let record = Record::default();
        record.note(1, CallId(1), Step::CameOn(7));
        for n in 0..STEPS as u64 - 1 {
            record.note(2 + n, CallId(2), Step::Owed);
        }
        assert_eq!(record.of(CallId(1)).0, [(1, Step::CameOn(7))]);
        record.note(20_000, CallId(3), Step::CameOn(8));
        record.note(21_500, CallId(3), Step::Failed);
        assert_eq!(record.of(CallId(1)).0, [], "the oldest made way");
        assert_eq!(record.of(CallId(3)).to_string(), "CameOn(8) +0.0ms, Failed +1.5ms");
        assert_eq!(record.0.borrow().steps.capacity(), STEPS, "it never grows");
    }

    /// A set-up costs the program some 50 microseconds and makes some 10 steps; the bound leaves room for a build
    /// without optimisation on a busy machine.
    #[test]
    fn a_step_costs_next_to_nothing() {
        let record = Record::default();
        let steps = 400_000;
        let begun = Instant::now();
        for n in 0..steps {
            record.note(n, CallId(n), Step::CameOn(n));
        }
        let each = begun.elapsed().as_nanos() as u64 / steps;
        assert!(each < 2_000, "{each} ns a step");
    }
}
