//! A replicated log for 3, 5 or 7 voters, based on Raft (Ongaro 2014) with pre-vote and check-quorum. It performs no
//! I/O. Its inputs are messages, times and completed disk writes; its outputs are messages, write requests and
//! committed entries.
//!
//! Extension to Raft: **every start goes through a rejoin** ([`rejoin`]). A disk may have lost what its voter promised
//! (an empty or outdated folder, an fsync that did not persist the data, an unreadable record), and a voter cannot
//! detect this by itself. Therefore a voter that starts takes a new [`Incarnation`], asks the other voters for their
//! log positions, and does not vote, lead or acknowledge entries until enough of them have answered. After that it
//! votes only for candidates whose log reaches at least the highest position in those answers. Messages carry the
//! incarnations known to their sender. Once a later incarnation of a voter is known, the promises of its earlier
//! incarnations are void.
//!
//! This module also decides which writes must complete before a message is sent: a message that contains a promise is
//! delayed until [`Voter::handle_write_completed`] reports the write on which it depends.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod` | the voter's state, timers and message dispatch |
//! | `election` | roles, votes and terms |
//! | `replicate` | log replication from the leader to the followers, and commitment |
//! | `rejoin` | the protocol by which a restarted voter takes part again |
//! | `log`, `machine` | a voter's log; the state machine and its client sessions |
//! | `types` | messages, log records, configuration |

mod election;
pub mod log;
pub mod machine;
pub mod rejoin;
mod replicate;
mod types;

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Micros;
use crate::member::MemberId;
use log::Log;
use rejoin::RejoinState;
pub use types::{
    Action, Command, Config, Entry, Event, HardState, Incarnation, LogPosition, LogRecord, Message,
    MessageBody, ProposeError, RecoveredState, Role, SafetyChecks, VoterStatus,
};

/// Maximum size of a command body.
pub const MAX_COMMAND_BYTES: usize = 4_096;
/// Maximum number of entries in a message.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// Number of entries after the snapshot at which the voter requests compaction. At `MAX_LOG_OVERRUN` (`replicate`)
/// times this number it accepts no commands.
pub const MAX_LOG_LENGTH: u64 = 1_024;
/// Maximum number of uncommitted commands; further commands are rejected.
const MAX_UNCOMMITTED: u64 = 512;
/// Maximum number of messages delayed until a disk write completes. Further messages are dropped, which the protocol
/// tolerates because the network may drop messages too.
const MAX_DELAYED_MESSAGES: usize = 256;
/// Maximum number of pending leadership confirmations.
const MAX_PENDING_READS: usize = 256;
/// Number of heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;

/// Replication progress of another voter, as known to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Progress {
    next_index: u64,
    match_index: u64,
    /// The last heartbeat round that the voter has answered.
    acked_round: u64,
    last_contact_at: Micros,
}

/// Random numbers for election timeouts. All values compare equal and hash alike, so that a model checker treats states
/// that differ only in them as one.
#[derive(Clone, Debug)]
struct TimeoutRng(Pcg64Mcg);

impl PartialEq for TimeoutRng {
    fn eq(&self, _: &TimeoutRng) -> bool {
        true
    }
}

impl Eq for TimeoutRng {}

impl Hash for TimeoutRng {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// A requested write that is not complete, with the last index of the log after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    number: u64,
    last_index: u64,
}

/// A message to be sent once a write is complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DelayedMessage {
    write: u64,
    message: Message,
}

/// A leadership confirmation that waits until a majority has answered a heartbeat round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRead {
    round: u64,
    ticket: u64,
}

/// Removes and returns the first element of a queue if it satisfies the predicate.
fn pop_front_if<T>(queue: &mut VecDeque<T>, predicate: impl Fn(&T) -> bool) -> Option<T> {
    if queue.front().is_some_and(predicate) { queue.pop_front() } else { None }
}

/// The state of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    config: Config,
    rng: TimeoutRng,
    hard_state: HardState,
    log: Log,
    /// The voter grants no vote to a candidate whose log ends before this position.
    promised: LogPosition,
    incarnation: Incarnation,
    /// `Some` until the voter has rejoined.
    rejoin: Option<RejoinState>,
    /// The last log position of each other voter, collected while there is no leader and this voter's log ends before
    /// `promised`.
    peer_log_positions: BTreeMap<MemberId, LogPosition>,
    is_read_only: bool,
    role: Role,
    leader: Option<MemberId>,
    leader_contact_at: Micros,
    election_deadline: Micros,
    commit_index: u64,
    /// The voters that have granted a vote or pre-vote, while this voter is a candidate or pre-candidate.
    votes: Vec<MemberId>,
    /// Replication progress of the other voters, while this voter leads.
    progress: BTreeMap<MemberId, Progress>,
    /// The highest term and index seen from each other voter. Reported to a voter that rejoins, so that it can detect
    /// lost state.
    remembered: BTreeMap<MemberId, LogPosition>,
    heartbeat_round: u64,
    pending_reads: VecDeque<PendingRead>,
    /// Number of the last write that was requested.
    last_write: u64,
    /// Number of the last write that is complete.
    last_completed_write: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// The last index up to which the log is on disk.
    durable_index: u64,
    delayed_messages: VecDeque<DelayedMessage>,
    compaction_requested: bool,
}

impl Voter {
    /// Creates a voter from the state recovered from its disk. `seed` seeds the randomization of its election timeouts.
    pub fn new(
        now: Micros,
        config: Config,
        recovered: RecoveredState,
        seed: u64,
        actions: &mut Vec<Action>,
    ) -> Voter {
        let RecoveredState { hard_state, log, promised, is_intact } = recovered;
        let earlier = hard_state.incarnations.get(&config.id).map_or(0, |incarnation| incarnation.number);
        let last = log.last();
        let mut voter = Voter {
            rng: TimeoutRng(Pcg64Mcg::seed_from_u64(seed)),
            promised: promised.max(last),
            incarnation: Incarnation { number: earlier + 1, nonce: config.nonce },
            rejoin: None,
            peer_log_positions: BTreeMap::new(),
            is_read_only: false,
            role: Role::Follower,
            leader: None,
            leader_contact_at: now,
            election_deadline: now,
            commit_index: log.base().index,
            votes: Vec::new(),
            progress: BTreeMap::new(),
            remembered: BTreeMap::new(),
            heartbeat_round: 0,
            pending_reads: VecDeque::new(),
            last_write: 0,
            last_completed_write: 0,
            pending_writes: VecDeque::new(),
            durable_index: last.index,
            delayed_messages: VecDeque::new(),
            compaction_requested: false,
            hard_state,
            log,
            config,
        };
        voter.restore_state(actions);
        voter.reset_election_deadline(now);
        if voter.config.checks.rejoin && !(voter.config.trust_disk && is_intact) {
            voter.start_rejoin(now, actions);
        } else {
            voter.hard_state.incarnations.insert(voter.config.id.clone(), voter.incarnation);
            voter.write_hard_state(actions);
        }
        voter
    }

    /// Requests that the state machine be restored from the snapshot on disk, if there is one.
    fn restore_state(&self, actions: &mut Vec<Action>) {
        if self.log.state().is_empty() {
            return;
        }
        let state = self.log.state().to_vec();
        actions.push(Action::Restore { index: self.commit_index, state });
    }

    /// The smallest number of voters that is more than half of them.
    pub fn majority(&self) -> usize {
        self.config.voters.len() / 2 + 1
    }

    /// The current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the voter takes part in the protocol.
    pub fn status(&self) -> VoterStatus {
        if self.is_read_only {
            VoterStatus::ReadOnly
        } else if self.rejoin.is_some() || self.log.last() < self.promised {
            VoterStatus::CatchingUp
        } else {
            VoterStatus::Voting
        }
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<&MemberId> {
        if self.role == Role::Leader { Some(&self.config.id) } else { self.leader.as_ref() }
    }

    /// The highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The last index in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// Whether this voter leads and has received responses from a majority (counting itself) within an election
    /// timeout.
    pub fn has_active_majority(&self, now: Micros) -> bool {
        let timeout = self.config.election_timeout;
        let is_active = |progress: &&Progress| now.saturating_sub(progress.last_contact_at) < timeout;
        self.role == Role::Leader && self.progress.values().filter(is_active).count() + 1 >= self.majority()
    }

    /// Whether the voter is voting and either leads with an active majority or had contact with a leader within two
    /// election timeouts.
    pub fn is_connected_to_majority(&self, now: Micros) -> bool {
        let is_recent = now.saturating_sub(self.leader_contact_at) < self.config.election_timeout * 2;
        let follows = self.leader.is_some() && is_recent;
        self.status() == VoterStatus::Voting && (self.has_active_majority(now) || follows)
    }

    /// The time at which the next call of [`Voter::tick`] is due.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let heartbeat = now + self.config.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT;
        match self.role {
            Role::Leader => heartbeat,
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                self.election_deadline.min(heartbeat).max(now)
            }
        }
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.is_read_only {
            return;
        }
        if self.rejoin.is_some() {
            return self.send_rejoin_requests(now, actions);
        }
        if self.role == Role::Leader {
            if self.config.checks.check_quorum && !self.has_active_majority(now) {
                self.reset_election_deadline(now);
                return self.become_follower(None, actions);
            }
            return self.send_heartbeats(actions);
        }
        if now >= self.election_deadline {
            self.campaign(now, actions);
        }
    }

    /// Handles a message from another voter.
    pub fn step(&mut self, now: Micros, message: Message, actions: &mut Vec<Action>) {
        let is_peer = self.config.voters.contains(&message.from) && message.from != self.config.id;
        if !is_peer || message.to != self.config.id || self.is_read_only {
            return;
        }
        let Message { from, term, incarnations, body, .. } = message;
        if !self.handle_incarnations(now, &from, &incarnations, actions) {
            return; // sent by an outdated incarnation
        }
        let is_pre_vote_request = matches!(body, MessageBody::RequestVote { is_pre_vote: true, .. });
        let remembered = self.remembered.entry(from.clone()).or_default();
        if !is_pre_vote_request {
            remembered.term = remembered.term.max(term);
        }
        match body {
            MessageBody::RejoinRequest => return self.handle_rejoin_request(&from, actions),
            MessageBody::RejoinResponse { .. } => {
                return self.handle_rejoin_response(now, from, term, &body, actions);
            }
            _ => {}
        }
        if self.rejoin.is_some() {
            return;
        }
        // A voter in contact with a leader ignores vote requests: a voter that returns from a partition or a pause
        // lacks newer information and must not depose a working leader.
        let is_vote_request = matches!(body, MessageBody::RequestVote { .. });
        if is_vote_request && self.config.checks.pre_vote && self.has_leader(now) {
            return;
        }
        let is_pre_vote_granted =
            matches!(body, MessageBody::VoteResponse { is_pre_vote: true, granted: true });
        if term > self.hard_state.term && !is_pre_vote_request && !is_pre_vote_granted {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.write_hard_state(actions);
            self.become_follower(None, actions);
        }
        self.handle_body(now, from, term, body, actions);
    }

    fn handle_body(
        &mut self,
        now: Micros,
        from: MemberId,
        term: u64,
        body: MessageBody,
        actions: &mut Vec<Action>,
    ) {
        let is_stale = term < self.hard_state.term;
        match body {
            MessageBody::RequestVote { is_pre_vote, last } => {
                self.handle_vote_request(now, from, term, is_pre_vote, last, actions);
            }
            MessageBody::VoteResponse { is_pre_vote, granted } => {
                if granted {
                    self.handle_vote(now, from, term, is_pre_vote, actions);
                }
            }
            MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. } if is_stale => {
                // The response tells the outdated leader the later term.
                let response = MessageBody::AppendResponse { matches: false, index: 0, round: 0 };
                self.send(&from, response, actions);
            }
            MessageBody::AppendEntries { prev, entries, commit, round } => {
                self.record_leader_contact(now, &from, actions);
                self.handle_append_entries(&from, prev, entries, commit, round, actions);
            }
            MessageBody::InstallSnapshot { last, state, round } => {
                self.record_leader_contact(now, &from, actions);
                self.handle_snapshot(&from, last, state, round, actions);
            }
            MessageBody::AppendResponse { matches, index, round } => {
                if term == self.hard_state.term {
                    self.handle_append_response(now, from, matches, index, round, actions);
                }
            }
            MessageBody::RejoinRequest | MessageBody::RejoinResponse { .. } => {}
        }
    }

    /// Handles the report that all writes up to this number are on disk.
    pub fn handle_write_completed(&mut self, now: Micros, number: u64, actions: &mut Vec<Action>) {
        if self.is_read_only {
            return;
        }
        self.last_completed_write = self.last_completed_write.max(number);
        while let Some(write) = pop_front_if(&mut self.pending_writes, |write| write.number <= number) {
            self.durable_index = write.last_index;
        }
        while let Some(delayed) = pop_front_if(&mut self.delayed_messages, |delayed| delayed.write <= number)
        {
            actions.push(Action::Send(delayed.message));
        }
        match self.role {
            Role::Candidate => self.count_votes(now, actions),
            Role::Leader => self.advance_commit(actions),
            Role::Follower | Role::PreCandidate => {}
        }
    }

    /// Handles a disk failure: it is unknown whether any pending write was persisted, so the voter becomes read-only
    /// and requests no further writes.
    pub fn handle_disk_failure(&mut self, actions: &mut Vec<Action>) {
        if !self.is_read_only {
            self.become_follower(None, actions);
            self.is_read_only = true;
            self.delayed_messages.clear();
        }
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.config.voters.iter().filter(|voter| **voter != self.config.id).cloned().collect()
    }

    /// Sets the election deadline to a random time of one to two election timeouts from now.
    fn reset_election_deadline(&mut self, now: Micros) {
        let timeout = self.config.election_timeout;
        self.election_deadline = now + timeout + self.rng.0.next_u64() % timeout.max(1);
    }

    /// Requests a write. Messages passed to `send_when_durable` from now on are delayed until it is complete.
    fn write(&mut self, records: Vec<LogRecord>, actions: &mut Vec<Action>) {
        self.last_write += 1;
        let last_index = self.log.last().index;
        self.pending_writes.push_back(PendingWrite { number: self.last_write, last_index });
        actions.push(Action::Write { number: self.last_write, records });
    }

    fn write_hard_state(&mut self, actions: &mut Vec<Action>) {
        let hard_state = self.hard_state.clone();
        self.write(vec![LogRecord::HardState(hard_state)], actions);
    }

    /// Whether all requested writes are on disk, or messages do not wait for the disk
    /// ([`SafetyChecks::durable_before_send`]).
    fn is_durable(&self) -> bool {
        self.last_completed_write >= self.last_write || !self.config.checks.durable_before_send
    }

    fn build_message(&self, to: &MemberId, term: u64, body: MessageBody) -> Message {
        let incarnations = self.hard_state.incarnations.clone();
        Message { from: self.config.id.clone(), to: to.clone(), term, incarnations, body }
    }

    /// Sends a message that contains no promise, without waiting for the disk.
    fn send(&self, to: &MemberId, body: MessageBody, actions: &mut Vec<Action>) {
        actions.push(Action::Send(self.build_message(to, self.hard_state.term, body)));
    }

    /// Sends a message that contains a promise once all writes requested so far are complete.
    fn send_when_durable(&mut self, to: &MemberId, body: MessageBody, actions: &mut Vec<Action>) {
        let message = self.build_message(to, self.hard_state.term, body);
        if self.is_durable() {
            actions.push(Action::Send(message));
        } else if self.delayed_messages.len() < MAX_DELAYED_MESSAGES {
            self.delayed_messages.push_back(DelayedMessage { write: self.last_write, message });
        }
    }
}
