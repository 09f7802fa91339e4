//! This process in the fleet's consensus: as a voter, as the leader, and as a member that requests resources. It
//! passes events to the state machines without I/O (`cobaltspool_fleet::{quorum, lease}`) and executes their actions;
//! it makes no protocol decisions.
//!
//! [`ConsensusNode`] owns the voter, the writer of its write-ahead log, the replicated state and the leases;
//! `runtime` owns the timer and the connections. [`report`] builds the report for operators.

mod report;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;

use cobaltspool_fleet::envelope::{Payload, PeerMessage};
use cobaltspool_fleet::lease::lease_holder::{LeaseEvent, LeaseHolder};
use cobaltspool_fleet::lease::lease_manager::LeaseManager;
use cobaltspool_fleet::lease::{
    LeaseRequest, LeaseTable, ProcessId, ResourceName, decode_changes, encode_changes,
};
use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::quorum::machine::Replica;
use cobaltspool_fleet::quorum::{Action, Command, Config, Entry, Event, LogRecord, SafetyChecks, Voter};
use tokio::sync::mpsc;

use super::status;
use super::wal_writer::{self, StoreEvent, WalWriter};
use crate::Micros;

/// Maximum number of lease requests that wait for the confirmation of leadership; further ones are answered with
/// `NotLeader`.
const MAX_PENDING_REQUESTS: usize = 1_024;
/// Maximum number of committed changes in the report for operators.
const MAX_RECENT_CHANGES: usize = 256;
/// A member without an answer for the lease divided by this number asks the voters in turn.
const ANSWER_TIMEOUT_DIVISOR: u64 = 2;

/// Configuration of this process as a member of the consensus.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// Id and nonce of this process.
    pub process: ProcessId,
    /// All voters.
    pub voters: Vec<MemberId>,
    /// Folder in which a voter stores its log.
    pub state_dir: Option<PathBuf>,
    /// The election timeout.
    pub election_timeout: Micros,
    /// How long an owner may continue without an answer of the leader.
    pub lease: Micros,
    /// Whether an intact folder is trusted at start.
    pub trust_disk: bool,
}

impl ConsensusConfig {
    fn is_voter(&self) -> bool {
        self.voters.contains(&self.process.member)
    }
}

struct State {
    voter: Option<Voter>,
    wal_writer: Option<WalWriter>,
    /// Why this voter cannot vote, or has stopped voting.
    fault: Option<String>,
    replica: Replica<LeaseTable>,
    /// Present while this voter leads.
    lease_manager: Option<LeaseManager>,
    /// Requests that wait for the confirmation of leadership, by ticket.
    pending_requests: BTreeMap<u64, LeaseRequest>,
    last_ticket: u64,
    last_seq: u64,
    lease_holder: LeaseHolder,
    /// Counter that selects the next voter to ask while the leader is unknown.
    next_voter: usize,
    leader: Option<MemberId>,
    last_answer_at: Option<Micros>,
    recent_changes: VecDeque<status::CommittedChange>,
}

impl State {
    /// Requests a write; if it is rejected, the voter no longer takes part.
    fn write(&mut self, number: u64, records: Vec<LogRecord>, actions: &mut Vec<Action>) {
        let is_accepted = self.wal_writer.as_ref().is_some_and(|wal| wal.write(number, records));
        if !is_accepted && let Some(voter) = &mut self.voter {
            let fault = "too many writes are pending, or the disk has failed; start anew";
            self.fault.get_or_insert(fault.to_string());
            voter.handle_disk_failure(actions);
        }
    }
}

/// This process in the consensus; see the [module](self).
pub struct ConsensusNode {
    config: ConsensusConfig,
    state: RefCell<State>,
}

impl ConsensusNode {
    /// Creates a node that does not vote yet; see [`start_voting`](Self::start_voting).
    pub fn new(now: Micros, config: ConsensusConfig) -> ConsensusNode {
        let state = State {
            voter: None,
            wal_writer: None,
            fault: None,
            replica: Replica::default(),
            lease_manager: None,
            pending_requests: BTreeMap::new(),
            last_ticket: 0,
            last_seq: 0,
            lease_holder: LeaseHolder::new(now, config.process.clone(), config.lease),
            next_voter: 0,
            leader: None,
            last_answer_at: None,
            recent_changes: VecDeque::new(),
        };
        ConsensusNode { config, state: RefCell::new(state) }
    }

    /// Opens the voter's folder and starts to vote. If the folder cannot be used, temporarily or permanently, this
    /// process takes part without a vote and reports the fault; the caller may try again. `nonce` must be new for
    /// each attempt.
    pub fn start_voting(
        &self,
        now: Micros,
        nonce: u64,
        store_events: mpsc::UnboundedSender<StoreEvent>,
        outgoing: &mut Vec<PeerMessage>,
    ) {
        let state = &mut *self.state.borrow_mut();
        let folder = self.config.state_dir.as_ref().filter(|_| self.config.is_voter());
        let Some(folder) = folder.filter(|_| state.voter.is_none()) else { return };
        let opened = wal_writer::open(folder).and_then(|opened| opened.start(store_events));
        let (wal_writer, recovered) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                let fault = error.to_string();
                if state.fault.as_ref() != Some(&fault) {
                    tracing::error!(target: "fleet", fault, "this voter does not vote; retrying");
                }
                state.fault = Some(fault);
                return;
            }
        };
        let config = Config {
            id: self.config.process.member.clone(),
            voters: self.config.voters.clone(),
            election_timeout: self.config.election_timeout,
            nonce,
            trust_disk: self.config.trust_disk,
            checks: SafetyChecks::default(),
        };
        let mut actions = Vec::new();
        state.wal_writer = Some(wal_writer);
        state.fault = None;
        state.voter = Some(Voter::new(now, config, recovered, nonce, &mut actions));
        self.execute_actions(state, now, actions, outgoing);
    }

    /// Whether this process is a voter that has not started.
    pub fn needs_voter_start(&self) -> bool {
        self.config.is_voter() && self.state.borrow().voter.is_none()
    }

    /// Stops voting and releases all owned resources, because another process of this member takes over. Returns the
    /// messages to send.
    pub fn hand_over(&self, now: Micros) -> Vec<PeerMessage> {
        let outgoing = self.release_all(now);
        let state = &mut *self.state.borrow_mut();
        state.voter = None;
        state.wal_writer = None;
        state.lease_manager = None;
        state.pending_requests.clear();
        state.replica = Replica::default();
        outgoing
    }

    /// Adds a resource to those that this process requests.
    pub fn request_resource(&self, resource: ResourceName) {
        self.state.borrow_mut().lease_holder.add_wanted(resource);
    }

    /// Releases all owned resources. Returns the messages to send.
    pub fn release_all(&self, now: Micros) -> Vec<PeerMessage> {
        let mut state = self.state.borrow_mut();
        log_lease_events(state.lease_holder.release_all(now));
        let mut outgoing = Vec::new();
        self.request_leases(&mut state, now, &mut outgoing);
        outgoing
    }

    /// Returns the fencing token under which this process owns a resource now.
    #[cfg(feature = "faults")]
    pub fn token(&self, now: Micros, resource: &ResourceName) -> Option<u64> {
        self.state.borrow().lease_holder.token(now, resource)
    }

    /// Runs the timers that are due and returns the next deadline.
    pub fn tick(&self, now: Micros, outgoing: &mut Vec<PeerMessage>) -> Micros {
        let state = &mut *self.state.borrow_mut();
        let mut actions = Vec::new();
        let mut deadline = state.lease_holder.next_deadline();
        if let Some(voter) = &mut state.voter {
            voter.tick(now, &mut actions);
            deadline = deadline.min(voter.next_deadline(now));
        }
        self.execute_actions(state, now, actions, outgoing);
        self.propose_changes(state, now, outgoing);
        log_lease_events(state.lease_holder.tick(now));
        self.request_leases(state, now, outgoing);
        deadline
    }

    /// Handles a report of the log writer.
    pub fn handle_store_event(&self, now: Micros, event: StoreEvent, outgoing: &mut Vec<PeerMessage>) {
        let state = &mut *self.state.borrow_mut();
        let Some(voter) = &mut state.voter else { return };
        let mut actions = Vec::new();
        match event {
            StoreEvent::Written { number } => voter.handle_write_completed(now, number, &mut actions),
            StoreEvent::Failed(error) => {
                let fault = error.to_string();
                tracing::error!(target: "fleet", fault, "this voter is read-only");
                state.fault = Some(fault);
                voter.handle_disk_failure(&mut actions);
            }
        }
        self.execute_actions(state, now, actions, outgoing);
    }

    /// Handles a message from another member.
    pub fn handle_message(&self, now: Micros, message: PeerMessage, outgoing: &mut Vec<PeerMessage>) {
        if message.to != self.config.process.member {
            return;
        }
        let state = &mut *self.state.borrow_mut();
        match message.payload {
            Payload::Consensus(consensus) if consensus.from == message.from => {
                let Some(voter) = &mut state.voter else { return };
                let mut actions = Vec::new();
                voter.step(now, *consensus, &mut actions);
                self.execute_actions(state, now, actions, outgoing);
            }
            Payload::LeaseRequest(request) if request.requester.member == message.from => {
                self.handle_lease_request(state, now, request, outgoing);
            }
            Payload::LeaseResponse(response) => {
                state.leader = Some(message.from);
                state.last_answer_at = Some(now);
                log_lease_events(state.lease_holder.handle_response(now, response));
            }
            Payload::NotLeader { leader, .. } => {
                state.leader = leader;
                state.lease_holder.retry_soon(now);
            }
            // The sender does not match the member named in the payload.
            Payload::Consensus(_) | Payload::LeaseRequest(_) => {}
        }
    }

    fn message(&self, to: MemberId, payload: Payload) -> PeerMessage {
        PeerMessage { from: self.config.process.member.clone(), to, payload }
    }

    /// Sends the lease request if one is due, to the leader or, if that is unknown, to the voters in turn.
    fn request_leases(&self, state: &mut State, now: Micros, outgoing: &mut Vec<PeerMessage>) {
        let Some(request) = state.lease_holder.next_request(now) else { return };
        let timeout = self.config.lease / ANSWER_TIMEOUT_DIVISOR;
        let is_silent = state.last_answer_at.is_none_or(|at| now.saturating_sub(at) > timeout);
        let leader = state.voter.as_ref().and_then(|voter| voter.leader().cloned());
        let known_leader = leader.or(state.leader.clone().filter(|_| !is_silent));
        state.next_voter += 1;
        let voters = &self.config.voters;
        let to = known_leader.unwrap_or_else(|| voters[state.next_voter % voters.len()].clone());
        if to == self.config.process.member {
            self.handle_lease_request(state, now, request, outgoing);
        } else {
            outgoing.push(self.message(to, Payload::LeaseRequest(request)));
        }
    }

    /// Proposes the pending changes of the lease manager if this voter leads, a bounded number at a time.
    fn propose_changes(&self, state: &mut State, now: Micros, outgoing: &mut Vec<PeerMessage>) {
        let (Some(voter), Some(manager)) = (&mut state.voter, &mut state.lease_manager) else { return };
        let changes = manager.next_changes(now, &state.replica.machine);
        if changes.is_empty() {
            return;
        }
        state.last_seq += 1;
        let session = self.config.process.nonce;
        let command = Command { session, seq: state.last_seq, body: encode_changes(&changes) };
        let mut actions = Vec::new();
        if voter.propose(command, &mut actions).is_err() {
            manager.cancel_changes(&changes);
        }
        self.execute_actions(state, now, actions, outgoing);
    }

    fn handle_lease_request(
        &self,
        state: &mut State,
        now: Micros,
        request: LeaseRequest,
        outgoing: &mut Vec<PeerMessage>,
    ) {
        let mut actions = Vec::new();
        let is_leader = match (&mut state.voter, &mut state.lease_manager) {
            (Some(voter), Some(manager)) if state.pending_requests.len() < MAX_PENDING_REQUESTS => {
                manager.handle_request(now, &request, &state.replica.machine);
                state.last_ticket += 1;
                voter.confirm_leadership(state.last_ticket, &mut actions)
            }
            _ => false,
        };
        if is_leader {
            state.pending_requests.insert(state.last_ticket, request);
        } else {
            self.decline_request(state, now, request, outgoing);
        }
        self.execute_actions(state, now, actions, outgoing);
    }

    /// Answers a request with `NotLeader`.
    fn decline_request(
        &self,
        state: &mut State,
        now: Micros,
        request: LeaseRequest,
        outgoing: &mut Vec<PeerMessage>,
    ) {
        if request.requester.member == self.config.process.member {
            return state.lease_holder.retry_soon(now);
        }
        let leader = state.voter.as_ref().and_then(|voter| voter.leader().cloned());
        // A leader that cannot serve the request yet must not redirect the member to itself.
        let leader = leader.filter(|leader| *leader != self.config.process.member);
        let payload = Payload::NotLeader { number: request.number, leader };
        outgoing.push(self.message(request.requester.member, payload));
    }

    /// Answers a request after the confirmation of leadership.
    fn answer_request(&self, state: &mut State, now: Micros, ticket: u64, outgoing: &mut Vec<PeerMessage>) {
        let Some(request) = state.pending_requests.remove(&ticket) else { return };
        let Some(manager) = &mut state.lease_manager else { return };
        let response = manager.answer(now, &request, &state.replica.machine);
        if request.requester.member == self.config.process.member {
            state.last_answer_at = Some(now);
            log_lease_events(state.lease_holder.handle_response(now, response));
        } else {
            let payload = Payload::LeaseResponse(response);
            outgoing.push(self.message(request.requester.member, payload));
        }
    }

    /// Executes the voter's actions in order. Actions that result from one are executed before the next.
    fn execute_actions(
        &self,
        state: &mut State,
        now: Micros,
        actions: Vec<Action>,
        outgoing: &mut Vec<PeerMessage>,
    ) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let follow_up = self.execute_action(state, now, action, outgoing);
            for action in follow_up.into_iter().rev() {
                actions.push_front(action);
            }
        }
    }

    fn execute_action(
        &self,
        state: &mut State,
        now: Micros,
        action: Action,
        outgoing: &mut Vec<PeerMessage>,
    ) -> Vec<Action> {
        let mut follow_up = Vec::new();
        match action {
            Action::Write { number, records } => state.write(number, records, &mut follow_up),
            Action::Send(message) => {
                let to = message.to.clone();
                outgoing.push(self.message(to, Payload::Consensus(Box::new(message))));
            }
            Action::Apply { index, entry } => {
                state.replica.apply(index, &entry);
                record_changes(&mut state.recent_changes, index, &entry);
            }
            Action::Restore { index, state: snapshot } => match Replica::from_state(&snapshot) {
                Some(replica) => state.replica = replica,
                None => {
                    tracing::error!(target: "invariant", index, "a snapshot of the fleet's log is unreadable")
                }
            },
            Action::LeadershipConfirmed { ticket } => self.answer_request(state, now, ticket, outgoing),
            Action::LeadershipUnconfirmed { ticket } => {
                if let Some(request) = state.pending_requests.remove(&ticket) {
                    self.decline_request(state, now, request, outgoing);
                }
            }
            Action::Compact => {
                if let Some(voter) = &mut state.voter {
                    voter.compact(state.replica.applied, state.replica.state(), &mut follow_up);
                }
            }
            Action::Notify(event) => self.handle_event(state, now, event),
        }
        follow_up
    }

    fn handle_event(&self, state: &mut State, now: Micros, event: Event) {
        match event {
            Event::BecameLeader { term } => {
                state.lease_manager = Some(LeaseManager::new(now, self.config.lease));
                tracing::info!(target: "fleet", term, "leads the fleet's log");
            }
            Event::SteppedDown => {
                state.lease_manager = None;
                tracing::info!(target: "fleet", "no longer leads the fleet's log");
            }
            Event::FollowsLeader { leader, term } => {
                tracing::info!(target: "fleet", %leader, term, "follows");
            }
            Event::Rejoined => tracing::info!(target: "fleet", "has rejoined the voters"),
            Event::StateLost { reported_by, reported, recovered } => tracing::error!(
                target: "fleet", by = %reported_by, term = reported.term, index = reported.index, own_term = recovered.term,
                own_index = recovered.index,
                "this voter's disk has lost state that the voter had acknowledged: amnesiac until it has caught up"
            ),
            Event::DuplicateId(incarnation) => {
                tracing::error!(
                    target: "fleet", start = incarnation.number,
                    "another process votes under this id, or did so recently"
                );
            }
        }
    }

    /// Returns the most recently committed changes, the oldest first.
    pub fn recent_changes(&self) -> Vec<status::CommittedChange> {
        self.state.borrow().recent_changes.iter().cloned().collect()
    }
}

/// Logs changes in what this member owns.
fn log_lease_events(events: Vec<LeaseEvent>) {
    for event in events {
        match event {
            LeaseEvent::Acquired(owned) => {
                tracing::info!(target: "fleet", work = %owned.resource, token = owned.token, "owns");
            }
            LeaseEvent::Lost(owned) => {
                tracing::info!(target: "fleet", work = %owned.resource, token = owned.token, "no longer owns");
            }
        }
    }
}

fn record_changes(recent: &mut VecDeque<status::CommittedChange>, index: u64, entry: &Entry) {
    let Some(command) = &entry.command else { return };
    for change in decode_changes(&command.body) {
        if recent.len() >= MAX_RECENT_CHANGES {
            recent.pop_front();
        }
        recent.push_back(status::CommittedChange {
            index,
            term: entry.term,
            resource: change.resource.to_string(),
            expected_token: change.expected_token,
            owner: change.new_owner.map(|owner| owner.member.to_string()),
        });
    }
}
