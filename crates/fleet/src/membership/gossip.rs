//! Gossip: records of members are merged and spread, and whole tables exchanged where two members differ.

use super::duplicate_id::Verdict;
use super::failure_detector;
use super::*;

impl Membership {
    /// Merges what a sender says: of itself, of the receiver, and of others.
    pub(super) fn handle_sender(
        &mut self,
        now: Micros,
        from: MemberRecord,
        you: Option<StateVersion>,
        records: Vec<MemberRecord>,
        out: &mut Vec<Action>,
    ) {
        let (id, incarnation, address) = (from.id.clone(), from.state_version.incarnation, from.info.address);
        let was_there = self.table.get(&id).is_some_and(|e| e.state().is_live());
        self.merge_record(now, from, out);
        if let Some(entry) = self.table.entries.get_mut(&id)
            && entry.record.state_version.incarnation == incarnation
        {
            entry.last_heard = Some(now);
        }
        let mentions_self =
            records.iter().any(|r| r.id == self.config.id && r.state_version.incarnation != self.incarnation);
        for record in records {
            self.merge_record(now, record, out);
        }
        if let Some(state_version) = you.filter(|_| !mentions_self) {
            self.handle_own_record(now, state_version, None, out);
        }
        let is_there = self.table.get(&id).is_some_and(|e| e.state().is_live());
        // Who was unseen or unknown may bring a whole half of the fleet along.
        let first = !std::mem::replace(&mut self.has_joined, true);
        if is_there && (first || !was_there) {
            self.request_exchange(now, Destination::Member(id, address), if first { 0 } else { 1 }, out);
        }
    }

    /// Merges a record about a member.
    pub(super) fn merge_record(&mut self, now: Micros, record: MemberRecord, out: &mut Vec<Action>) {
        if record.id == self.config.id {
            return self.handle_own_record(now, record.state_version, Some(&record), out);
        }
        let (id, new, reporter) = (record.id.clone(), record.state_version, record.reported_by.clone());
        let Some(held) = self.table.get(&id) else {
            return self.insert_new_record(now, record, out);
        };
        let old = held.record.state_version;
        let is_urgent = held.record.info.urgent_fields() != record.info.urgent_fields();
        if new < old {
            return;
        }
        if new == old {
            if let (MemberState::Suspect, Some(reporter)) = (new.state, &reporter) {
                self.table.confirm(&id, reporter);
            }
            return;
        }
        self.table.insert(now, record);
        if old.state != new.state || old.incarnation != new.incarnation || is_urgent {
            self.record_change(now);
        }
        let event = transition_event(id, old, new, reporter);
        out.extend(event.map(Action::Notify));
    }

    /// Stores the first record about a member, unless the member failed or left too long ago to be listed.
    fn insert_new_record(&mut self, now: Micros, record: MemberRecord, out: &mut Vec<Action>) {
        let id = record.id.clone();
        let is_live = record.state_version.state.is_live();
        if !is_live && record.state_age >= self.config.retention {
            return;
        }
        if !self.table.insert(now, record) {
            return out.push(Action::Notify(Event::TableFull(id)));
        }
        self.record_change(now);
        if is_live {
            out.push(Action::Notify(Event::Joined(id)));
        }
    }

    /// Handles another member's statement about this member.
    pub(super) fn handle_own_record(
        &mut self,
        now: Micros,
        told: StateVersion,
        record: Option<&MemberRecord>,
        out: &mut Vec<Action>,
    ) {
        // Another start of the same generation counts as above: the incarnation is to grow from start to start.
        if self.state == MemberState::Left
            || self.is_standby
            || told.incarnation.generation < self.incarnation.generation
        {
            return;
        }
        if told.incarnation == self.incarnation {
            return self.refute(now, told, out);
        }
        let age = now - self.started;
        let stalled =
            self.stalled_at.is_some_and(|at| now - at < self.config.period * 10) && told.state.is_live();
        let its_age = record.map(|r| r.info.uptime);
        let verdict =
            self.superseded.judge(self.incarnation.nonce, age, told.incarnation.nonce, its_age, stalled);
        if let (Verdict::SupersedeDuplicate | Verdict::Yield, Some(record)) = (verdict, record) {
            self.record_duplicate(told, record, out);
            if verdict == Verdict::Yield {
                return self.yield_to_duplicate(now, record, out);
            }
        }
        self.incarnation.generation = told.incarnation.generation + 1;
        self.gossip_to_some(now, FrameKind::Gossip, GOSSIP_FAN_OUT, out);
    }

    /// Refutes a statement that this member is not alive.
    fn refute(&mut self, now: Micros, told: StateVersion, out: &mut Vec<Action>) {
        if told.state == MemberState::Alive || told.seq < self.seq {
            return;
        }
        self.seq = told.seq + 1;
        self.distrust = (self.distrust + 1).min(failure_detector::MAX_DISTRUST);
        out.push(Action::Notify(Event::Refuted));
        self.gossip_to_some(now, FrameKind::Gossip, GOSSIP_FAN_OUT, out);
    }

    /// Records another process under this member's id.
    fn record_duplicate(&mut self, told: StateVersion, record: &MemberRecord, out: &mut Vec<Action>) {
        let duplicate = DuplicateProcess {
            nonce: told.incarnation.nonce,
            address: record.info.address,
            uptime: record.info.uptime,
        };
        if self.duplicate.is_none_or(|known| known.nonce != duplicate.nonce) {
            out.push(Action::Notify(Event::DuplicateId(duplicate)));
        }
        self.duplicate = Some(duplicate);
    }

    /// Goes into standby for the recorded duplicate.
    fn yield_to_duplicate(&mut self, now: Micros, record: &MemberRecord, out: &mut Vec<Action>) {
        self.is_standby = true;
        self.next_reach = now + self.config.period * STANDBY_QUERY_PERIODS;
        out.extend(self.duplicate.map(|duplicate| Action::Notify(Event::YieldedToDuplicate(duplicate))));
        // The newer process may know no other member than this one.
        out.push(Action::ExchangeTables(Destination::Address(record.info.address)));
    }

    /// The frame that goes over a stream in an exchange of tables.
    pub fn table_frame(&mut self, now: Micros) -> Frame {
        let mut frame = self.new_frame(now, FrameKind::FullState, None, 0);
        frame.records = self.table.current_records(now);
        frame
    }

    /// Merges the other's table.
    pub fn handle_table(&mut self, now: Micros, frame: Frame, out: &mut Vec<Action>) {
        if frame.kind != FrameKind::FullState || !self.is_active() {
            return;
        }
        if frame.from.id == self.config.id {
            // From the older start, as it yields.
            for record in frame.records {
                self.merge_record(now, record, out);
            }
        } else {
            self.handle_sender(now, frame.from, None, frame.records, out);
        }
    }

    pub(super) fn request_exchange(
        &mut self,
        now: Micros,
        to: Destination,
        min_periods: u64,
        out: &mut Vec<Action>,
    ) {
        let since = self.last_exchange.map_or(Micros::MAX, |at| now.saturating_sub(at));
        if since >= self.config.period * min_periods {
            self.last_exchange = Some(now);
            out.push(Action::ExchangeTables(to));
        }
    }

    /// Exchanges tables where another holds other members live, and no recent change would explain it.
    pub(super) fn compare_digest(
        &mut self,
        now: Micros,
        sender: &MemberRecord,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        if now.saturating_sub(self.changed_at) >= self.config.period * SETTLED_PERIODS
            && digest != self.digest(now)
        {
            self.request_exchange(now, to(sender), MIN_EXCHANGE_PERIODS, out);
        }
    }

    /// Takes this member's own info. What matters goes out at once, other figures now and then.
    pub fn update_info(&mut self, now: Micros, info: MemberInfo, out: &mut Vec<Action>) {
        let info =
            MemberInfo { zone: self.config.zone.clone(), version: self.config.version.clone(), ..info };
        let matters = info.urgent_fields() != self.info.urgent_fields();
        let far = info.calls.abs_diff(self.info.calls) > self.info.calls / 4 + 8;
        let due = now.saturating_sub(self.info_sent_at) >= self.config.period * 5;
        if matters || far && due {
            self.seq += 1;
            self.info_sent_at = now;
            self.info = info;
            if matters && self.is_active() {
                self.gossip_to_some(now, FrameKind::Gossip, GOSSIP_FAN_OUT, out);
            }
        }
    }

    /// MemberInfo of this member, straight to some.
    pub(super) fn gossip_to_some(
        &mut self,
        now: Micros,
        kind: FrameKind,
        count: usize,
        out: &mut Vec<Action>,
    ) {
        for to in self.random_live(count, None) {
            self.send_frame(now, kind, to, None, 0, None, out);
        }
    }
}

/// The event of a change from one state of a member to another; `None` if the change is not reported.
fn transition_event(
    id: MemberId,
    old: StateVersion,
    new: StateVersion,
    reporter: Option<MemberId>,
) -> Option<Event> {
    if new.state == MemberState::Alive && old.incarnation != new.incarnation {
        return Some(Event::Joined(id));
    }
    if new.state == old.state {
        return None;
    }
    let reporter = reporter.unwrap_or_else(|| id.clone());
    Some(match new.state {
        MemberState::Alive => Event::Recovered(id),
        MemberState::Suspect => Event::Suspected(id, reporter),
        MemberState::Down => Event::Down(id, reporter),
        MemberState::Left => Event::Left(id),
    })
}
