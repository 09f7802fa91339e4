//! The log from the leader to the others: orders in, entries out, what is committed, and who leads in truth.

use super::log::Log;
use super::{
    Body, ENTRIES, Entry, LOG_MOST, OPEN_MOST, ORDER_BYTES, Order, Out, Place, READS_MOST, Record, Refused,
    Role, Voter, pop_if,
};
use crate::Micros;
use crate::member::MemberId;

impl Voter {
    pub(super) fn add(&mut self, order: Option<Order>, out: &mut Vec<Out>) {
        let entry = Entry { term: self.hard.term, order };
        let index = self.log.push(entry.clone());
        self.save(vec![Record::Entry(index, entry)], out);
        self.mind_length(out);
    }

    fn mind_length(&mut self, out: &mut Vec<Out>) {
        if self.log.length() >= LOG_MOST && !std::mem::replace(&mut self.asked_to_compact, true) {
            out.push(Out::Compact);
        }
    }

    /// Takes an order, where it leads; the index that it will have, if it is committed in this term.
    pub fn order(&mut self, order: Order, out: &mut Vec<Out>) -> Result<Place, Refused> {
        if self.role != Role::Leader {
            return Err(Refused::NotLeader(self.leader.clone()));
        }
        if order.body.len() > ORDER_BYTES {
            return Err(Refused::TooLong);
        }
        if self.log.last().index - self.commit >= OPEN_MOST || self.log.length() >= LOG_MOST * 4 {
            return Err(Refused::Busy);
        }
        self.add(Some(order), out);
        for to in self.others() {
            self.send_entries(&to, out);
        }
        Ok(self.log.last())
    }

    /// Asks whether this one leads, in truth and not in its belief: the answer comes as [`Out::Confirmed`] by this ticket.
    /// False: it does not, as far as it knows.
    pub fn confirm(&mut self, ticket: u64, out: &mut Vec<Out>) -> bool {
        // Before it has committed something of its own it may not know what is committed.
        let knows = self.log.term_at(self.commit) == Some(self.hard.term);
        if self.role != Role::Leader || !knows || self.reads.len() >= READS_MOST {
            return false;
        }
        self.reads.push_back((self.round + 1, ticket));
        self.beat(out);
        true
    }

    /// A heartbeat to all, with what each lacks.
    pub fn beat(&mut self, out: &mut Vec<Out>) {
        self.round += 1;
        for to in self.others() {
            self.send_entries(&to, out);
        }
    }

    fn send_entries(&mut self, to: &MemberId, out: &mut Vec<Out>) {
        let Some(progress) = self.peers.get(to) else { return };
        let (next, round) = (progress.next, self.round);
        let Some(prev) = self.log.place(next - 1) else {
            let (last, state) = (self.log.base(), self.log.state().to_vec());
            return self.say(to, Body::Snapshot { last, state, round }, out);
        };
        let entries = self.log.from(next, ENTRIES);
        // The next letter goes on behind these; a lost one is found by the answer to that.
        let sent = next + entries.len() as u64;
        if let Some(progress) = self.peers.get_mut(to) {
            progress.next = sent;
        }
        self.say(to, Body::Append { prev, entries, commit: self.commit, round }, out);
    }

    pub(super) fn append(
        &mut self,
        from: &MemberId,
        prev: Place,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
        out: &mut Vec<Out>,
    ) {
        let base = self.log.base().index;
        // What the snapshot holds is committed, and so the same.
        let known = prev.index < base || self.log.term_at(prev.index) == Some(prev.term);
        if !known {
            let index = self.log.last().index.min(prev.index.saturating_sub(1));
            return self.say(from, Body::Appended { matches: false, index, round }, out);
        }
        let end = prev.index + entries.len() as u64;
        let mut records = Vec::new();
        for (index, entry) in (prev.index + 1..).zip(entries) {
            if index <= base || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last().index {
                self.log.cut(index);
                self.durable = self.durable.min(index - 1);
                self.ends.iter_mut().for_each(|(_, end)| *end = (*end).min(index - 1));
            }
            self.log.push(entry.clone());
            records.push(Record::Entry(index, entry));
        }
        if !records.is_empty() {
            self.save(records, out);
        }
        self.apply_to(commit.min(end), out);
        self.mind_length(out);
        self.promise(from, Body::Appended { matches: true, index: end, round }, out);
    }

    pub(super) fn take_snapshot(
        &mut self,
        from: &MemberId,
        last: Place,
        state: Vec<u8>,
        round: u64,
        out: &mut Vec<Out>,
    ) {
        if last.index > self.commit {
            // What it holds behind the place may be acknowledged: a snapshot that comes late voids none of it.
            let whole = self.log.place(last.index) != Some(last);
            if whole {
                self.log = Log::starting(last, state.clone());
            } else {
                self.log.compact(last, state.clone());
            }
            self.commit = last.index;
            self.save(vec![Record::Snapshot { last, state: state.clone(), whole }], out);
            out.push(Out::Restore(last.index, state));
        }
        let index = last.index;
        self.promise(from, Body::Appended { matches: true, index, round }, out);
    }

    pub(super) fn appended(
        &mut self,
        now: Micros,
        from: MemberId,
        matches: bool,
        index: u64,
        round: u64,
        out: &mut Vec<Out>,
    ) {
        let last = self.log.last().index;
        if let Some(place) = self.remembered.get_mut(&from).filter(|_| matches) {
            place.index = place.index.max(index);
        }
        let Some(progress) = self.peers.get_mut(&from) else { return };
        progress.heard = now;
        progress.round = progress.round.max(round);
        if matches {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).clamp(progress.matched + 1, last + 1);
        }
        if progress.next <= last {
            self.send_entries(&from, out);
        }
        self.commit_more(out);
        self.confirm_reads(out);
    }

    pub(super) fn commit_more(&mut self, out: &mut Vec<Out>) {
        let own = if self.set.rules.disk_first { self.durable } else { self.log.last().index };
        let mut matched: Vec<u64> = self.peers.values().map(|p| p.matched).chain([own]).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched[self.majority() - 1];
        // Only entries of its own term are committed by counting (Raft, figure 8).
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.apply_to(index, out);
        }
    }

    fn confirm_reads(&mut self, out: &mut Vec<Out>) {
        let mut rounds: Vec<u64> = self.peers.values().map(|p| p.round).chain([self.round]).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let round = rounds[self.majority() - 1];
        while let Some((_, ticket)) = pop_if(&mut self.reads, |(asked, _)| *asked <= round) {
            out.push(Out::Confirmed(ticket));
        }
    }

    fn apply_to(&mut self, index: u64, out: &mut Vec<Out>) {
        let last = self.log.last().index;
        while self.commit < index.min(last) {
            self.commit += 1;
            if let Some(entry) = self.log.entry(self.commit) {
                out.push(Out::Apply(self.commit, entry.clone()));
            }
        }
    }

    /// The machine's state up to an index that it has applied: what the log holds up to there may go.
    pub fn compact(&mut self, index: u64, state: Vec<u8>, out: &mut Vec<Out>) {
        self.asked_to_compact = false;
        let Some(last) = self.log.place(index).filter(|p| p.index <= self.commit) else { return };
        self.log.compact(last, state.clone());
        self.save(vec![Record::Snapshot { last, state, whole: false }], out);
    }
}
