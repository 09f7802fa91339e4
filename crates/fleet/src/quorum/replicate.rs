//! Log replication from the leader to the followers, commitment, and confirmation of leadership.

use super::log::Log;
use super::{
    Action, Command, Entry, LogPosition, LogRecord, MAX_COMMAND_BYTES, MAX_ENTRIES_PER_MESSAGE,
    MAX_LOG_LENGTH, MAX_PENDING_READS, MAX_UNCOMMITTED, MessageBody, PendingRead, ProposeError, Role, Voter,
    pop_front_if,
};
use crate::Micros;
use crate::member::MemberId;

/// When the log reaches this multiple of `MAX_LOG_LENGTH`, commands are rejected until the log is compacted.
const MAX_LOG_OVERRUN: u64 = 4;

impl Voter {
    pub(super) fn append_command(&mut self, command: Option<Command>, actions: &mut Vec<Action>) {
        let entry = Entry { term: self.hard_state.term, command };
        let index = self.log.push(entry.clone());
        self.write(vec![LogRecord::Entry { index, entry }], actions);
        self.request_compaction_if_long(actions);
    }

    fn request_compaction_if_long(&mut self, actions: &mut Vec<Action>) {
        let is_long = self.log.length() >= MAX_LOG_LENGTH;
        if is_long && !std::mem::replace(&mut self.compaction_requested, true) {
            actions.push(Action::Compact);
        }
    }

    /// Appends a command to the log if this voter leads, and returns the position at which it will be committed if this
    /// voter remains the leader.
    ///
    /// # Errors
    /// Fails if this voter does not lead, the command is too long, or too many commands are uncommitted.
    pub fn propose(
        &mut self,
        command: Command,
        actions: &mut Vec<Action>,
    ) -> Result<LogPosition, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader.clone()));
        }
        if command.body.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLong);
        }
        let uncommitted = self.log.last().index - self.commit_index;
        if uncommitted >= MAX_UNCOMMITTED || self.log.length() >= MAX_LOG_LENGTH * MAX_LOG_OVERRUN {
            return Err(ProposeError::Busy);
        }
        self.append_command(Some(command), actions);
        for to in self.other_voters() {
            self.send_entries(&to, actions);
        }
        Ok(self.log.last())
    }

    /// Starts a confirmation by a majority that this voter still leads. The result is [`Action::LeadershipConfirmed`]
    /// or [`Action::LeadershipUnconfirmed`] with this ticket. Returns false if this voter is not the leader as far as
    /// it knows, has not committed an entry in its term, or has too many pending confirmations.
    pub fn confirm_leadership(&mut self, ticket: u64, actions: &mut Vec<Action>) -> bool {
        // Until a leader has committed an entry of its own term, its commit index may be outdated.
        let has_committed = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if self.role != Role::Leader || !has_committed || self.pending_reads.len() >= MAX_PENDING_READS {
            return false;
        }
        self.pending_reads.push_back(PendingRead { round: self.heartbeat_round + 1, ticket });
        self.send_heartbeats(actions);
        true
    }

    /// Sends a heartbeat to each other voter, with the entries that it lacks.
    pub fn send_heartbeats(&mut self, actions: &mut Vec<Action>) {
        self.heartbeat_round += 1;
        for to in self.other_voters() {
            self.send_entries(&to, actions);
        }
    }

    fn send_entries(&mut self, to: &MemberId, actions: &mut Vec<Action>) {
        let Some(progress) = self.progress.get(to) else { return };
        let (next, round) = (progress.next_index, self.heartbeat_round);
        let Some(prev) = self.log.position(next - 1) else {
            let (last, state) = (self.log.base(), self.log.state().to_vec());
            return self.send(to, MessageBody::InstallSnapshot { last, state, round }, actions);
        };
        let entries = self.log.entries_from(next, MAX_ENTRIES_PER_MESSAGE);
        // The next message continues after these entries. If this one is lost, the rejection of the next one reveals
        // it.
        let sent_up_to = next + entries.len() as u64;
        if let Some(progress) = self.progress.get_mut(to) {
            progress.next_index = sent_up_to;
        }
        let commit = self.commit_index;
        self.send(to, MessageBody::AppendEntries { prev, entries, commit, round }, actions);
    }

    pub(super) fn handle_append_entries(
        &mut self,
        from: &MemberId,
        prev: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        let base = self.log.base().index;
        // Entries included in the snapshot are committed and therefore match those of the leader.
        let is_known = prev.index < base || self.log.term_at(prev.index) == Some(prev.term);
        if !is_known {
            let index = self.log.last().index.min(prev.index.saturating_sub(1));
            let response = MessageBody::AppendResponse { matches: false, index, round };
            return self.send(from, response, actions);
        }
        let end = prev.index + entries.len() as u64;
        let records = self.merge_entries(prev.index + 1, entries);
        if !records.is_empty() {
            self.write(records, actions);
        }
        self.apply_up_to(commit.min(end), actions);
        self.request_compaction_if_long(actions);
        let response = MessageBody::AppendResponse { matches: true, index: end, round };
        self.send_when_durable(from, response, actions);
    }

    /// Merges the leader's entries into the log, starting at index `first`, and returns the records to write.
    fn merge_entries(&mut self, first: u64, entries: Vec<Entry>) -> Vec<LogRecord> {
        let base = self.log.base().index;
        let mut records = Vec::new();
        for (index, entry) in (first..).zip(entries) {
            if index <= base || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last().index {
                self.truncate_log(index);
            }
            self.log.push(entry.clone());
            records.push(LogRecord::Entry { index, entry });
        }
        records
    }

    /// Removes all log entries from an index on.
    fn truncate_log(&mut self, index: u64) {
        self.log.truncate(index);
        self.durable_index = self.durable_index.min(index - 1);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    pub(super) fn handle_snapshot(
        &mut self,
        from: &MemberId,
        last: LogPosition,
        state: Vec<u8>,
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        if last.index > self.commit_index {
            // Entries after the snapshot may have been acknowledged, so a late snapshot must not remove them if the log
            // contains its position.
            let replaces_log = self.log.position(last.index) != Some(last);
            if replaces_log {
                self.log = Log::from_snapshot(last, state.clone());
            } else {
                self.log.compact(last, state.clone());
            }
            self.commit_index = last.index;
            self.write(vec![LogRecord::Snapshot { last, state: state.clone(), replaces_log }], actions);
            actions.push(Action::Restore { index: last.index, state });
        }
        let response = MessageBody::AppendResponse { matches: true, index: last.index, round };
        self.send_when_durable(from, response, actions);
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Micros,
        from: MemberId,
        matches: bool,
        index: u64,
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        let last = self.log.last().index;
        if let Some(remembered) = self.remembered.get_mut(&from).filter(|_| matches) {
            remembered.index = remembered.index.max(index);
        }
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.last_contact_at = now;
        progress.acked_round = progress.acked_round.max(round);
        if matches {
            progress.match_index = progress.match_index.max(index.min(last));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            progress.next_index = (index + 1).clamp(progress.match_index + 1, last + 1);
        }
        if progress.next_index <= last {
            self.send_entries(&from, actions);
        }
        self.advance_commit(actions);
        self.confirm_pending_reads(actions);
    }

    /// Commits the entries that a majority holds.
    pub(super) fn advance_commit(&mut self, actions: &mut Vec<Action>) {
        let waits_for_disk = self.config.checks.durable_before_send;
        let own = if waits_for_disk { self.durable_index } else { self.log.last().index };
        let matched = self.progress.values().map(|progress| progress.match_index);
        let index = self.reached_by_majority(matched.chain([own]).collect());
        // Only entries of the current term are committed by counting replicas (Raft, figure 8).
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.apply_up_to(index, actions);
        }
    }

    fn confirm_pending_reads(&mut self, actions: &mut Vec<Action>) {
        let acked = self.progress.values().map(|progress| progress.acked_round);
        let round = self.reached_by_majority(acked.chain([self.heartbeat_round]).collect());
        while let Some(read) = pop_front_if(&mut self.pending_reads, |read| read.round <= round) {
            actions.push(Action::LeadershipConfirmed { ticket: read.ticket });
        }
    }

    /// The highest number that a majority of the voters has reached, given one number per voter.
    fn reached_by_majority(&self, mut numbers: Vec<u64>) -> u64 {
        numbers.sort_unstable_by(|a, b| b.cmp(a));
        numbers[self.majority() - 1]
    }

    fn apply_up_to(&mut self, index: u64, actions: &mut Vec<Action>) {
        let last = self.log.last().index;
        while self.commit_index < index.min(last) {
            self.commit_index += 1;
            if let Some(entry) = self.log.entry(self.commit_index) {
                actions.push(Action::Apply { index: self.commit_index, entry: entry.clone() });
            }
        }
    }

    /// Replaces the log entries up to `index` by a snapshot of the state machine, which must have applied exactly the
    /// entries up to that index. Does nothing if the index is not committed or no longer in the log.
    pub fn compact(&mut self, index: u64, state: Vec<u8>, actions: &mut Vec<Action>) {
        self.compaction_requested = false;
        let committed = self.log.position(index).filter(|position| position.index <= self.commit_index);
        let Some(last) = committed else { return };
        self.log.compact(last, state.clone());
        self.write(vec![LogRecord::Snapshot { last, state, replaces_log: false }], actions);
    }
}
