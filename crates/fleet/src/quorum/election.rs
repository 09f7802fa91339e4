//! Leader election: roles, votes and terms.

use super::{Action, Event, LogPosition, MessageBody, Progress, Role, Voter};
use crate::Micros;
use crate::member::MemberId;

impl Voter {
    /// Whether this voter leads or had contact with a leader within an election timeout.
    pub(super) fn has_leader(&self, now: Micros) -> bool {
        let is_recent = now.saturating_sub(self.leader_contact_at) < self.config.election_timeout;
        self.role == Role::Leader || self.leader.is_some() && is_recent
    }

    /// Becomes a follower of this leader, or of none if the leader is unknown. Ends leadership and candidacy.
    pub(super) fn become_follower(&mut self, leader: Option<MemberId>, actions: &mut Vec<Action>) {
        if self.role == Role::Leader {
            actions.push(Action::Notify(Event::SteppedDown));
            let unconfirmed = self.pending_reads.drain(..);
            actions.extend(unconfirmed.map(|read| Action::LeadershipUnconfirmed { ticket: read.ticket }));
        }
        if let Some(leader) = leader.as_ref().filter(|leader| self.leader.as_ref() != Some(leader)) {
            let event = Event::FollowsLeader { leader: leader.clone(), term: self.hard_state.term };
            actions.push(Action::Notify(event));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
    }

    pub(super) fn record_leader_contact(&mut self, now: Micros, from: &MemberId, actions: &mut Vec<Action>) {
        self.become_follower(Some(from.clone()), actions);
        self.leader_contact_at = now;
        self.reset_election_deadline(now);
    }

    /// Starts a campaign: requests pre-votes, or votes directly if pre-vote is disabled.
    pub fn campaign(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.reset_election_deadline(now);
        if self.rejoin.is_some() || self.is_read_only {
            return;
        }
        // Voters that hold the promised position would not elect a voter whose log ends before it.
        if self.log.last() < self.promised {
            return self.request_log_positions(actions);
        }
        self.become_follower(None, actions);
        self.votes = vec![self.config.id.clone()];
        if self.config.checks.pre_vote {
            self.role = Role::PreCandidate;
            self.request_votes(true, actions);
        } else {
            self.role = Role::Candidate;
            self.start_term(actions);
            self.request_votes(false, actions);
        }
    }

    /// Starts the next term and votes for itself.
    fn start_term(&mut self, actions: &mut Vec<Action>) {
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.config.id.clone());
        self.write_hard_state(actions);
    }

    fn request_votes(&mut self, is_pre_vote: bool, actions: &mut Vec<Action>) {
        let term = self.hard_state.term + u64::from(is_pre_vote);
        for to in self.other_voters() {
            let body = MessageBody::RequestVote { is_pre_vote, last: self.log.last() };
            actions.push(Action::Send(self.build_message(&to, term, body)));
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Micros,
        from: MemberId,
        term: u64,
        is_pre_vote: bool,
        last: LogPosition,
        actions: &mut Vec<Action>,
    ) {
        let is_up_to_date = last >= self.log.last().max(self.promised);
        if is_pre_vote {
            let granted = is_up_to_date && term > self.hard_state.term;
            // A granted pre-vote carries the requested term, a rejected one the current term of this voter.
            let term = if granted { term } else { self.hard_state.term };
            let body = MessageBody::VoteResponse { is_pre_vote, granted };
            return actions.push(Action::Send(self.build_message(&from, term, body)));
        }
        let may_vote_for_candidate =
            self.hard_state.voted_for.as_ref().is_none_or(|voted_for| *voted_for == from);
        let granted = is_up_to_date && may_vote_for_candidate && term == self.hard_state.term;
        if granted {
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(from.clone());
                self.write_hard_state(actions);
            }
            self.reset_election_deadline(now);
        }
        self.send_when_durable(&from, MessageBody::VoteResponse { is_pre_vote, granted }, actions);
    }

    /// Handles a granted vote or pre-vote.
    pub(super) fn handle_vote(
        &mut self,
        now: Micros,
        from: MemberId,
        term: u64,
        is_pre_vote: bool,
        actions: &mut Vec<Action>,
    ) {
        let role = if is_pre_vote { Role::PreCandidate } else { Role::Candidate };
        let is_current = term == self.hard_state.term + u64::from(is_pre_vote);
        if is_current && self.role == role && !self.votes.contains(&from) {
            self.votes.push(from);
            self.count_votes(now, actions);
        }
    }

    pub(super) fn count_votes(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.votes.len() < self.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => {
                self.role = Role::Candidate;
                self.votes = vec![self.config.id.clone()];
                self.start_term(actions);
                self.request_votes(false, actions);
            }
            // The candidate's own vote counts once it is on disk.
            Role::Candidate if self.is_durable() => self.become_leader(now, actions),
            Role::Candidate | Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = None;
        let next_index = self.log.last().index + 1;
        let progress = Progress { next_index, last_contact_at: now, ..Progress::default() };
        self.progress = self.other_voters().into_iter().map(|id| (id, progress)).collect();
        actions.push(Action::Notify(Event::BecameLeader { term: self.hard_state.term }));
        self.append_command(None, actions);
        self.send_heartbeats(actions);
    }
}
