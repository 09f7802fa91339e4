//! The call table: all pending and established calls with their deadlines. It ensures that each call gets exactly one
//! final answer.
//!
//! The table owns the entries of the calls. It also counts calls, and stores the wire ids of ended calls until their
//! release wait is over.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;

use super::call_counters::{CallCounters, CallEnd};
use crate::limits::Admission;
use crate::{CallId, Micros, Outcome, ServerId};

/// An attempt that has not ended: it is unanswered, or its call is established.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// The attempt's number within its call.
    pub number: u32,
    /// Server to which it was sent.
    pub server: ServerId,
    /// Time at which it was sent.
    pub sent_at: Micros,
    /// Time at which it times out.
    pub expires_at: Micros,
    /// The outcome with which it ends once its cancellation is complete; `None` if it is not being cancelled.
    pub cancelled_as: Option<Outcome>,
}

impl InFlightAttempt {
    /// An attempt that is not being cancelled.
    pub fn new(number: u32, server: ServerId, sent_at: Micros, expires_at: Micros) -> InFlightAttempt {
        InFlightAttempt { number, server, sent_at, expires_at, cancelled_as: None }
    }
}

/// State of a call in the table. Rejected and failed calls are removed from it.
#[derive(Clone, Copy, Debug)]
pub enum CallState {
    /// No final answer yet; at most one attempt is in flight.
    Pending(Option<InFlightAttempt>),
    /// The final answer was "established".
    Established(InFlightAttempt),
}

/// One call in the table.
#[derive(Debug)]
pub struct CallEntry {
    /// Pending or established.
    pub state: CallState,
    /// The call's id on the wire.
    wire_id: Box<str>,
    /// Position of the class in the settings.
    pub class: usize,
    /// Time at which the caller gives up.
    pub deadline: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Earliest time of the next attempt: until then an earlier one may still occupy resources at a server.
    pub not_before: Micros,
    /// Whether an attempt that has ended may have had an effect at its server.
    pub may_have_run: bool,
    /// The caller's description; cleared when the call is established.
    pub description: Bytes,
    /// The limits that apply to the call and count it until it is dropped. `None` if the call was rejected before the
    /// limits were checked or by them, or was adopted from another process.
    pub limit_permit: Option<Admission>,
}

impl CallEntry {
    /// Creates the entry of a newly requested call.
    pub fn pending(wire_id: Box<str>, class: usize, deadline: Micros, description: Bytes) -> CallEntry {
        CallEntry {
            state: CallState::Pending(None),
            wire_id,
            class,
            deadline,
            attempts: 0,
            not_before: 0,
            may_have_run: false,
            description,
            limit_permit: None,
        }
    }

    /// Creates the entry of a call established by another process.
    pub fn established(wire_id: Box<str>, class: usize, attempt: InFlightAttempt) -> CallEntry {
        CallEntry {
            state: CallState::Established(attempt),
            wire_id,
            class,
            deadline: 0,
            attempts: attempt.number + 1,
            not_before: 0,
            may_have_run: true,
            description: Bytes::new(),
            limit_permit: None,
        }
    }

    /// The attempt that has not ended, in either state.
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

/// Time at which a call's deadlines must be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    call: CallId,
}

/// All pending and established calls.
#[derive(Default)]
pub struct CallTable {
    calls: BTreeMap<CallId, CallEntry>,
    deadlines: BTreeSet<Deadline>,
    established: usize,
    /// Total size of the descriptions that pending calls keep, in bytes.
    description_bytes: usize,
    /// Counters by class.
    pub counters: CallCounters,
    quarantine: Quarantine,
}

/// Wire ids of ended calls whose release wait is not over, so that no attempt may be sent for them.
#[derive(Default)]
struct Quarantine {
    /// End of the release wait by wire id.
    until_by_id: HashMap<Box<str>, Micros>,
    /// The same pairs in the order in which the calls ended.
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
    /// Creates an empty table with counters for this number of classes.
    pub fn new(classes: usize) -> CallTable {
        CallTable { counters: CallCounters::new(classes), ..CallTable::default() }
    }

    /// Adds a pending call; false if its id is already in the table.
    pub fn insert_pending(&mut self, call: CallId, entry: CallEntry) -> bool {
        if self.calls.contains_key(&call) {
            return false;
        }
        self.deadlines.insert(Deadline { at: entry.deadline, call });
        self.counters.record_requested(entry.class);
        self.description_bytes += entry.description.len();
        self.calls.insert(call, entry);
        true
    }

    /// Adds an established call; false if its id is already in the table. The process that answered the call has
    /// counted it.
    pub fn insert_established(&mut self, call: CallId, entry: CallEntry) -> bool {
        if self.calls.contains_key(&call) {
            return false;
        }
        self.calls.insert(call, entry);
        self.established += 1;
        true
    }

    /// End of the release wait of an ended call with this wire id, whose attempt may still occupy resources at a
    /// server; `None` if there is no such call.
    pub fn quarantined_until(&mut self, wire_id: &str, now: Micros) -> Option<Micros> {
        self.quarantine.blocked_until(wire_id, now)
    }

    /// Returns a pending or established call.
    pub fn get(&self, call: CallId) -> Option<&CallEntry> {
        self.calls.get(&call)
    }

    /// Whether the call is established.
    pub fn is_established(&self, call: CallId) -> bool {
        self.get(call).is_some_and(CallEntry::is_established)
    }

    /// Returns a pending call and its attempt in flight.
    pub fn pending_mut(&mut self, call: CallId) -> Option<(&mut CallEntry, Option<InFlightAttempt>)> {
        let entry = self.calls.get_mut(&call)?;
        match entry.state {
            CallState::Pending(attempt) => Some((entry, attempt)),
            CallState::Established(_) => None,
        }
    }

    /// Stores the limits that apply to a call.
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

    /// Marks a pending call as established, which is its final answer; false if the call has already been answered or
    /// has no attempt in flight.
    pub fn establish(&mut self, call: CallId) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else { return false };
        let CallState::Pending(Some(attempt)) = entry.state else { return false };
        entry.state = CallState::Established(attempt);
        self.description_bytes -= std::mem::take(&mut entry.description).len();
        self.deadlines.remove(&Deadline { at: entry.deadline, call });
        self.deadlines.remove(&Deadline { at: attempt.expires_at, call });
        self.established += 1;
        self.counters.record_served(entry.class);
        true
    }

    /// Removes a call in any state. No other function removes entries. The wire id is quarantined until
    /// `quarantine_until` or until the release wait of an earlier attempt is over, whichever is later. `end` applies
    /// to pending calls only.
    pub fn remove(&mut self, call: CallId, quarantine_until: Micros, end: CallEnd) -> Option<CallState> {
        let entry = self.calls.remove(&call)?;
        self.description_bytes -= entry.description.len();
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

    /// Removes the earliest deadline that has passed and returns its call.
    pub fn pop_expired(&mut self, now: Micros) -> Option<CallId> {
        let deadline = self.deadlines.first().copied().filter(|deadline| deadline.at <= now)?;
        self.deadlines.remove(&deadline);
        Some(deadline.call)
    }

    /// Schedules another check of a call's deadlines at `at`.
    pub fn schedule_check(&mut self, call: CallId, at: Micros) {
        self.deadlines.insert(Deadline { at, call });
    }

    /// Calls with an attempt at a server, pending or established.
    pub fn calls_at_server(&self, server: ServerId) -> Vec<(CallId, InFlightAttempt)> {
        let attempts = self.calls.iter().filter_map(|(call, entry)| Some((*call, entry.attempt()?)));
        attempts.filter(|(_, attempt)| attempt.server == server).collect()
    }

    /// Ids of all calls.
    pub fn call_ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }

    /// Ids of the established calls.
    pub fn established_call_ids(&self) -> Vec<CallId> {
        let established = self.calls.iter().filter(|(_, entry)| entry.is_established());
        established.map(|(call, _)| *call).collect()
    }

    /// Number of calls without a final answer.
    pub fn pending_count(&self) -> usize {
        self.calls.len() - self.established
    }

    /// Total size of the descriptions that pending calls keep, in bytes.
    pub fn description_bytes(&self) -> usize {
        self.description_bytes
    }

    /// Number of established calls.
    pub fn established_count(&self) -> usize {
        self.established
    }
}
