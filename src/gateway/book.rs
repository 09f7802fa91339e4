//! Book: the call table, the deadlines of calls and attempts, and each call's one final answer.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;

use super::tally::{End, Tally};
use crate::limits::Held;
use crate::{CallId, Micros, ServerId};

/// An attempt that is out or whose call stands.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    /// Which attempt.
    pub number: u32,
    /// Where.
    pub server: ServerId,
    /// When it was sent.
    pub sent: Micros,
    /// When it times out.
    pub until: Micros,
}

/// Where a call is in its life. A call that got a refusal or a failure is in the book no more.
#[derive(Clone, Copy, Debug)]
pub enum State {
    /// It is owed its final answer; at most one attempt is out.
    Open(Option<Out>),
    /// It was answered and stands.
    Stands(Out),
}

/// One call.
#[derive(Debug)]
pub struct Entry {
    /// Where it is.
    pub state: State,
    /// Its name on the wire.
    name: Box<str>,
    /// Its class.
    class: usize,
    /// When its caller gives up.
    pub due: Micros,
    /// Attempts so far.
    pub attempts: u32,
    /// No attempt before this: an earlier one may still hold something.
    pub wait_until: Micros,
    /// The caller's description; let go once it is not needed.
    pub description: Bytes,
    /// What holds for it, and what counts it; let go with the call. `None`: it was turned away at once.
    pub held: Option<Held>,
}

/// All calls that are open or stand.
#[derive(Default)]
pub struct Book {
    calls: BTreeMap<CallId, Entry>,
    dues: BTreeSet<(Micros, CallId)>,
    standing: usize,
    /// What became of the calls so far.
    pub tally: Tally,
    /// Names of calls that are over, and until when they may not go out again; the same in the order of their ends.
    resting: HashMap<Box<str>, Micros>,
    rests: VecDeque<(Micros, Box<str>)>,
}

impl Book {
    /// A book for so many classes.
    pub fn of(classes: usize) -> Book {
        Book { tally: Tally::of(classes), ..Book::default() }
    }

    /// Opens a call; false if it is in the book already.
    pub fn open_call(
        &mut self,
        call: CallId,
        name: Box<str>,
        class: usize,
        due: Micros,
        description: Bytes,
    ) -> bool {
        if self.calls.contains_key(&call) {
            return false;
        }
        let entry = Entry {
            state: State::Open(None),
            name,
            class,
            due,
            attempts: 0,
            wait_until: 0,
            description,
            held: None,
        };
        self.calls.insert(call, entry);
        self.dues.insert((due, call));
        self.tally.taken(class);
        true
    }

    /// Takes a call that stands already; false if it is in the book. It was counted where it was answered.
    pub fn adopt(&mut self, call: CallId, name: Box<str>, class: usize, at: Out) -> bool {
        if self.calls.contains_key(&call) {
            return false;
        }
        let entry = Entry {
            state: State::Stands(at),
            name,
            class,
            due: 0,
            attempts: at.number + 1,
            wait_until: 0,
            description: Bytes::new(),
            held: None,
        };
        self.calls.insert(call, entry);
        self.standing += 1;
        true
    }

    /// Until when a call of this name may not go out, if an earlier one's attempt may still hold something.
    pub fn rests_until(&mut self, name: &str, now: Micros) -> Option<Micros> {
        while self.rests.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, over)) = self.rests.pop_front() else { break };
            if self.resting.get(&over).is_some_and(|until| *until <= now) {
                self.resting.remove(&over);
            }
        }
        self.resting.get(name).copied().filter(|until| now < *until)
    }

    /// A call, if it is open or stands.
    pub fn get(&self, call: CallId) -> Option<&Entry> {
        self.calls.get(&call)
    }

    /// A call that is owed its answer.
    pub fn open_mut(&mut self, call: CallId) -> Option<(&mut Entry, Option<Out>)> {
        let entry = self.calls.get_mut(&call)?;
        match entry.state {
            State::Open(out) => Some((entry, out)),
            State::Stands(_) => None,
        }
    }

    /// Notes what holds for a call.
    pub fn hold(&mut self, call: CallId, held: Held) {
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.held = Some(held);
        }
    }

    /// Notes that an attempt is out.
    pub fn sent(&mut self, call: CallId, out: Out) {
        if let Some(entry) = self.calls.get_mut(&call) {
            if let Some(held) = &entry.held {
                held.sent(out.sent, out.number);
            }
            entry.state = State::Open(Some(out));
            entry.attempts = out.number + 1;
            self.dues.insert((out.until, call));
        }
    }

    /// Spends the final answer on 'stands'; false if there is none left to spend.
    pub fn answer(&mut self, call: CallId) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else { return false };
        let State::Open(Some(out)) = entry.state else { return false };
        entry.state = State::Stands(out);
        entry.description = Bytes::new();
        let due = entry.due;
        self.dues.remove(&(due, call));
        self.dues.remove(&(out.until, call));
        self.standing += 1;
        self.tally.served(entry.class);
        true
    }

    /// Takes a call out, whatever its state: the one place where a call's time in the book ends. Its name rests
    /// until `rest`, or until an earlier attempt's release wait is over. `end` says what became of it where it was open.
    pub fn close(&mut self, call: CallId, rest: Micros, end: End) -> Option<State> {
        let entry = self.calls.remove(&call)?;
        let end = if matches!(entry.state, State::Stands(_)) { End::Over } else { end };
        self.tally.ended(entry.class, end);
        let rest = rest.max(entry.wait_until);
        if rest > 0 {
            self.rests.push_back((rest, entry.name.clone()));
            self.resting.insert(entry.name, rest);
        }
        self.dues.remove(&(entry.due, call));
        match entry.state {
            State::Open(Some(out)) => {
                self.dues.remove(&(out.until, call));
            }
            State::Stands(_) => self.standing -= 1,
            State::Open(None) => {}
        }
        Some(entry.state)
    }

    /// The earliest deadline.
    pub fn next_due(&self) -> Option<Micros> {
        self.dues.first().map(|(at, _)| *at)
    }

    /// Takes the next deadline that has come.
    pub fn pop_due(&mut self, now: Micros) -> Option<CallId> {
        let (at, call) = self.dues.first().copied().filter(|(at, _)| *at <= now)?;
        self.dues.remove(&(at, call));
        Some(call)
    }

    /// Looks at a call again at `at`.
    pub fn look_again(&mut self, call: CallId, at: Micros) {
        self.dues.insert((at, call));
    }

    /// Calls with something at a server, open or standing.
    pub fn at_server(&self, server: ServerId) -> Vec<(CallId, Out)> {
        let held = |(call, entry): (&CallId, &Entry)| match entry.state {
            State::Open(Some(out)) | State::Stands(out) if out.server == server => Some((*call, out)),
            _ => None,
        };
        self.calls.iter().filter_map(held).collect()
    }

    /// All calls.
    pub fn all(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }

    /// Calls that stand.
    pub fn standing_ones(&self) -> Vec<CallId> {
        let stands = |(_, entry): &(&CallId, &Entry)| matches!(entry.state, State::Stands(_));
        self.calls.iter().filter(stands).map(|(call, _)| *call).collect()
    }

    /// How many are owed an answer.
    pub fn open(&self) -> usize {
        self.calls.len() - self.standing
    }

    /// How many stand.
    pub fn standing(&self) -> usize {
        self.standing
    }
}
