//! Gossip: merges and spreads records about members, and exchanges full tables when two members differ.

use super::duplicate_id::Verdict;
use super::failure_detector;
use super::*;

impl Membership {
    /// Merges a sender's records about itself, this member and others.
    pub(super) fn handle_sender(
        &mut self,
        now: Micros,
        from: MemberRecord,
        own_version: Option<StateVersion>,
        records: Vec<MemberRecord>,
        out: &mut Vec<Action>,
    ) {
        let (id, incarnation, address) = (from.id.clone(), from.state_version.incarnation, from.info.address);
        let was_live = self.table.get(&id).is_some_and(|e| e.state().is_live());
        self.merge_record(now, from, out);
        if let Some(entry) = self.table.entries.get_mut(&id)
            && entry.record.state_version.incarnation == incarnation
        {
            entry.last_heard = Some(now);
        }
        let includes_self =
            records.iter().any(|r| r.id == self.config.id && r.state_version.incarnation != self.incarnation);
        for record in records {
            self.merge_record(now, record, out);
        }
        if let Some(state_version) = own_version.filter(|_| !includes_self) {
            self.handle_claim_about_self(now, state_version, None, out);
        }
        let is_live = self.table.get(&id).is_some_and(|e| e.state().is_live());
        // A member that was unreachable or unknown may know an entire part of the fleet that this one does not.
        let is_first = !std::mem::replace(&mut self.has_joined, true);
        if is_live && (is_first || !was_live) {
            self.request_exchange(now, Destination::Member(id, address), if is_first { 0 } else { 1 }, out);
        }
    }

    /// Merges a record about a member.
    pub(super) fn merge_record(&mut self, now: Micros, record: MemberRecord, out: &mut Vec<Action>) {
        if record.id == self.config.id {
            return self.handle_claim_about_self(now, record.state_version, Some(&record), out);
        }
        let (id, new, reporter) = (record.id.clone(), record.state_version, record.reported_by.clone());
        let Some(known) = self.table.get(&id) else {
            return self.insert_new_record(now, record, out);
        };
        let old = known.record.state_version;
        let is_urgent = known.record.info.urgent_fields() != record.info.urgent_fields();
        if new < old {
            return;
        }
        if new == old {
            if let (MemberState::Suspect, Some(reporter)) = (new.state, &reporter) {
                self.table.confirm_suspicion(&id, reporter);
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

    /// Stores the first record about a member, unless the member has been down or left for longer than the retention
    /// period.
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

    /// Handles another member's claim about this member.
    pub(super) fn handle_claim_about_self(
        &mut self,
        now: Micros,
        claimed: StateVersion,
        record: Option<&MemberRecord>,
        out: &mut Vec<Action>,
    ) {
        // Another start with the same generation also counts as newer, since incarnations must increase with every
        // start.
        if self.state == MemberState::Left
            || self.is_standby
            || claimed.incarnation.generation < self.incarnation.generation
        {
            return;
        }
        if claimed.incarnation == self.incarnation {
            return self.refute(now, claimed, out);
        }
        let uptime = now - self.started;
        let stalled =
            self.stalled_at.is_some_and(|at| now - at < self.config.period * 10) && claimed.state.is_live();
        let other_uptime = record.map(|r| r.info.uptime);
        let verdict = self.superseded.judge(
            self.incarnation.nonce,
            uptime,
            claimed.incarnation.nonce,
            other_uptime,
            stalled,
        );
        if let (Verdict::SupersedeDuplicate | Verdict::Yield, Some(record)) = (verdict, record) {
            self.record_duplicate(claimed, record, out);
            if verdict == Verdict::Yield {
                return self.yield_to_duplicate(now, record, out);
            }
        }
        self.incarnation.generation = claimed.incarnation.generation + 1;
        self.gossip_to_some(now, FrameKind::Gossip, GOSSIP_FAN_OUT, out);
    }

    /// Refutes a claim that this member is not alive.
    fn refute(&mut self, now: Micros, claimed: StateVersion, out: &mut Vec<Action>) {
        if claimed.state == MemberState::Alive || claimed.seq < self.seq {
            return;
        }
        self.seq = claimed.seq + 1;
        self.local_health_score = (self.local_health_score + 1).min(failure_detector::MAX_LOCAL_HEALTH_SCORE);
        out.push(Action::Notify(Event::Refuted));
        self.gossip_to_some(now, FrameKind::Gossip, GOSSIP_FAN_OUT, out);
    }

    /// Records another process under this member's id.
    fn record_duplicate(&mut self, claimed: StateVersion, record: &MemberRecord, out: &mut Vec<Action>) {
        let duplicate = DuplicateProcess {
            nonce: claimed.incarnation.nonce,
            address: record.info.address,
            uptime: record.info.uptime,
        };
        if self.duplicate.is_none_or(|current| current.nonce != duplicate.nonce) {
            out.push(Action::Notify(Event::DuplicateId(duplicate)));
        }
        self.duplicate = Some(duplicate);
    }

    /// Goes into standby for the recorded duplicate.
    fn yield_to_duplicate(&mut self, now: Micros, record: &MemberRecord, out: &mut Vec<Action>) {
        self.is_standby = true;
        self.next_rediscovery = now + self.config.period * STANDBY_QUERY_PERIODS;
        out.extend(self.duplicate.map(|duplicate| Action::Notify(Event::YieldedToDuplicate(duplicate))));
        // The newer process may know no other member than this one.
        out.push(Action::ExchangeTables(Destination::Address(record.info.address)));
    }

    /// The frame sent over a stream in an exchange of tables.
    pub fn table_frame(&mut self, now: Micros) -> Frame {
        let mut frame = self.new_frame(now, FrameKind::FullState, None, 0);
        frame.records = self.table.current_records(now);
        frame
    }

    /// Merges the other member's table.
    pub fn handle_table(&mut self, now: Micros, frame: Frame, out: &mut Vec<Action>) {
        if frame.kind != FrameKind::FullState || !self.is_active() {
            return;
        }
        if frame.from.id == self.config.id {
            // Sent by the older start under this id, as it yields.
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

    /// Exchanges tables if the sender has a different set of live members that no recent change explains.
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

    /// Updates this member's own information. Urgent fields are gossiped at once, other figures only after a large
    /// change and at most every five periods.
    pub fn update_info(&mut self, now: Micros, info: MemberInfo, out: &mut Vec<Action>) {
        let info =
            MemberInfo { zone: self.config.zone.clone(), version: self.config.version.clone(), ..info };
        let is_urgent = info.urgent_fields() != self.info.urgent_fields();
        let is_large_change = info.calls.abs_diff(self.info.calls) > self.info.calls / 4 + 8;
        let is_due = now.saturating_sub(self.info_sent_at) >= self.config.period * 5;
        if is_urgent || is_large_change && is_due {
            self.seq += 1;
            self.info_sent_at = now;
            self.info = info;
            if is_urgent && self.is_active() {
                self.gossip_to_some(now, FrameKind::Gossip, GOSSIP_FAN_OUT, out);
            }
        }
    }

    /// Sends this member's record directly to `count` random live members.
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

/// Returns the event for a member's change from one state to another; `None` if the change is not reported.
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
