//! The call table: all calls that are pending or established, their deadlines, and each call's one final answer.
//!
//! The table owns every call's entry. It also counts calls and remembers, for the release wait, the wire ids of calls that
//! have ended.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;

use super::call_counters::{CallCounters, CallEnd};
use crate::limits::Admission;
use crate::{CallId, Micros, ServerId};

/// An attempt that has no end yet: it has no answer, or its call is established.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Which attempt.
    pub number: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// When it was sent.
    pub sent_at: Micros,
    /// When it times out.
    pub expires_at: Micros,
}

/// Where a call is in its life. A call that was rejected or failed is in the table no more.
#[derive(Clone, Copy, Debug)]
pub enum CallState {
    /// It has no final answer; at most one attempt is in flight.
    Pending(Option<InFlightAttempt>),
    /// Its final answer was that it is established.
    Established(InFlightAttempt),
}

/// One call.
#[derive(Debug)]
pub struct CallEntry {
    /// Where it is in its life.
    pub state: CallState,
    /// Its id on the wire.
    wire_id: Box<str>,
    /// Its class.
    class: usize,
    /// When its caller gives up.
    pub deadline: Micros,
    /// Attempts so far.
    pub attempts: u32,
    /// No attempt before this: an earlier one may still hold something.
    pub not_before: Micros,
    /// The caller's description; dropped once it is not needed.
    pub description: Bytes,
    /// The limits that apply to it and count it; dropped with the call. `None`: it was rejected at once.
    pub limit_permit: Option<Admission>,
}

impl CallEntry {
    /// A call that a caller has just requested.
    pub fn pending(wire_id: Box<str>, class: usize, deadline: Micros, description: Bytes) -> CallEntry {
        CallEntry {
            state: CallState::Pending(None),
            wire_id,
            class,
            deadline,
            attempts: 0,
            not_before: 0,
            description,
            limit_permit: None,
        }
    }

    /// A call that another process established.
    pub fn established(wire_id: Box<str>, class: usize, attempt: InFlightAttempt) -> CallEntry {
        CallEntry {
            state: CallState::Established(attempt),
            wire_id,
            class,
            deadline: 0,
            attempts: attempt.number + 1,
            not_before: 0,
            description: Bytes::new(),
            limit_permit: None,
        }
    }

    /// The attempt without an end, whatever the call's state.
    fn attempt(&self) -> Option<InFlightAttempt> {
        match self.state {
            CallState::Pending(attempt) => attempt,
            CallState::Established(attempt) => Some(attempt),
        }
    }

    fn is_established(&self) -> bool {
        matches!(self.state, CallState::Established(_))
    }
}

/// A time at which a call must be looked at again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    call: CallId,
}

/// All calls that are pending or established.
#[derive(Default)]
pub struct CallTable {
    calls: BTreeMap<CallId, CallEntry>,
    deadlines: BTreeSet<Deadline>,
    established: usize,
    /// What became of the calls so far.
    pub counters: CallCounters,
    quarantine: Quarantine,
}

/// Wire ids of calls that have ended and may not be sent again yet.
#[derive(Default)]
struct Quarantine {
    /// Until when.
    until_by_id: HashMap<Box<str>, Micros>,
    /// The same in the order in which the calls ended.
    by_end: VecDeque<(Micros, Box<str>)>,
}

impl Quarantine {
    fn add(&mut self, wire_id: Box<str>, until: Micros) {
        self.by_end.push_back((until, wire_id.clone()));
        self.until_by_id.insert(wire_id, until);
    }

    fn blocked_until(&mut self, wire_id: &str, now: Micros) -> Option<Micros> {
        while self.by_end.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, ended)) = self.by_end.pop_front() else { break };
            if self.until_by_id.get(&ended).is_some_and(|until| *until <= now) {
                self.until_by_id.remove(&ended);
            }
        }
        self.until_by_id.get(wire_id).copied().filter(|until| now < *until)
    }
}

impl CallTable {
    /// An empty table that counts by so many classes.
    pub fn new(classes: usize) -> CallTable {
        CallTable { counters: CallCounters::new(classes), ..CallTable::default() }
    }

    /// Adds a pending call; false if its id is in the table already.
    pub fn insert_pending(&mut self, call: CallId, entry: CallEntry) -> bool {
        if self.calls.contains_key(&call) {
            return false;
        }
        self.deadlines.insert(Deadline { at: entry.deadline, call });
        self.counters.record_requested(entry.class);
        self.calls.insert(call, entry);
        true
    }

    /// Adds an established call; false if its id is in the table already. It was counted by the process that answered it.
    pub fn insert_established(&mut self, call: CallId, entry: CallEntry) -> bool {
        if self.calls.contains_key(&call) {
            return false;
        }
        self.calls.insert(call, entry);
        self.established += 1;
        true
    }

    /// Returns until when a call of this wire id may not be sent, if an earlier one's attempt may still hold something.
    pub fn quarantined_until(&mut self, wire_id: &str, now: Micros) -> Option<Micros> {
        self.quarantine.blocked_until(wire_id, now)
    }

    /// A pending or established call.
    pub fn get(&self, call: CallId) -> Option<&CallEntry> {
        self.calls.get(&call)
    }

    /// Whether the call is established.
    pub fn is_established(&self, call: CallId) -> bool {
        self.get(call).is_some_and(CallEntry::is_established)
    }

    /// A pending call and its attempt in flight.
    pub fn pending_mut(&mut self, call: CallId) -> Option<(&mut CallEntry, Option<InFlightAttempt>)> {
        let entry = self.calls.get_mut(&call)?;
        match entry.state {
            CallState::Pending(attempt) => Some((entry, attempt)),
            CallState::Established(_) => None,
        }
    }

    /// Records the limits that apply to a call.
    pub fn set_limits(&mut self, call: CallId, limit_permit: Admission) {
        if let Some(entry) = self.calls.get_mut(&call) {
            entry.limit_permit = Some(limit_permit);
        }
    }

    /// Records that an attempt is in flight.
    pub fn record_attempt(&mut self, call: CallId, attempt: InFlightAttempt) {
        if let Some(entry) = self.calls.get_mut(&call) {
            if let Some(permit) = &entry.limit_permit {
                permit.attempt_sent(attempt.sent_at, attempt.number);
            }
            entry.state = CallState::Pending(Some(attempt));
            entry.attempts = attempt.number + 1;
            self.deadlines.insert(Deadline { at: attempt.expires_at, call });
        }
    }

    /// Spends the final answer on "established"; false if there is none left to spend.
    pub fn establish(&mut self, call: CallId) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else { return false };
        let CallState::Pending(Some(attempt)) = entry.state else { return false };
        entry.state = CallState::Established(attempt);
        entry.description = Bytes::new();
        self.deadlines.remove(&Deadline { at: entry.deadline, call });
        self.deadlines.remove(&Deadline { at: attempt.expires_at, call });
        self.established += 1;
        self.counters.record_served(entry.class);
        true
    }

    /// Removes a call, whatever its state: the one place where an entry's life ends. Its wire id is quarantined until
    /// `quarantine_until`, or until an earlier attempt's release wait is over. `end` says what became of it where it was
    /// pending.
    pub fn remove(&mut self, call: CallId, quarantine_until: Micros, end: CallEnd) -> Option<CallState> {
        let entry = self.calls.remove(&call)?;
        let end = if entry.is_established() { CallEnd::Released } else { end };
        self.counters.record_end(entry.class, end);
        self.deadlines.remove(&Deadline { at: entry.deadline, call });
        match entry.state {
            CallState::Pending(Some(attempt)) => {
                self.deadlines.remove(&Deadline { at: attempt.expires_at, call });
            }
            CallState::Pending(None) => {}
            CallState::Established(_) => self.established -= 1,
        }
        let quarantine_until = quarantine_until.max(entry.not_before);
        if quarantine_until > 0 {
            self.quarantine.add(entry.wire_id, quarantine_until);
        }
        Some(entry.state)
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Takes the next deadline that has passed.
    pub fn pop_expired(&mut self, now: Micros) -> Option<CallId> {
        let deadline = self.deadlines.first().copied().filter(|deadline| deadline.at <= now)?;
        self.deadlines.remove(&deadline);
        Some(deadline.call)
    }

    /// Has a call looked at again at `at`.
    pub fn schedule_check(&mut self, call: CallId, at: Micros) {
        self.deadlines.insert(Deadline { at, call });
    }

    /// Calls with an attempt at a server, pending or established.
    pub fn calls_at_server(&self, server: ServerId) -> Vec<(CallId, InFlightAttempt)> {
        let attempts = self.calls.iter().filter_map(|(call, entry)| Some((*call, entry.attempt()?)));
        attempts.filter(|(_, attempt)| attempt.server == server).collect()
    }

    /// All calls.
    pub fn call_ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }

    /// Established calls.
    pub fn established_call_ids(&self) -> Vec<CallId> {
        let established = self.calls.iter().filter(|(_, entry)| entry.is_established());
        established.map(|(call, _)| *call).collect()
    }

    /// How many calls have no final answer.
    pub fn pending_count(&self) -> usize {
        self.calls.len() - self.established
    }

    /// How many calls are established.
    pub fn established_count(&self) -> usize {
        self.established
    }
}
