//! Rejoin: the protocol by which a voter takes part again after a start.
//!
//! The voter takes a new incarnation and sends a rejoin request. Each other voter records the incarnation on disk and
//! answers with its own log positions. The voter has rejoined once its current incarnation has answers either from as
//! many voters as a majority, not counting itself, that have rejoined themselves, or from all other voters.
//!
//! Why this is safe: every vote and every acknowledgement of an earlier incarnation that took effect was part of a
//! majority, and each such majority contains, besides this voter, at least one of the voters that answered. If that
//! voter had given its own vote or acknowledgement before it answered, the answer reports it. If it gave it later, its
//! message carries the new incarnation, and the leader or candidate that receives it discards the promises of the
//! earlier one.
//!
//! Answers from all other voters suffice so that a fleet in which all voters start at once can resume. As long as only
//! a minority has lost state, at least one of the others has not; for the same reason the highest log end among all
//! voters is then a sufficient promise. This also lowers a promised position for which no voter holds the entries any
//! more.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Action, Event, Incarnation, LogPosition, MessageBody, Role, Voter};
use crate::Micros;
use crate::member::MemberId;

/// Number of rejoin requests per election timeout.
const REQUESTS_PER_ELECTION_TIMEOUT: u64 = 4;

/// The answers received to rejoin requests so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejoinState {
    /// The voters that have answered, and whether each has rejoined itself.
    pub responses: BTreeMap<MemberId, bool>,
    /// The highest term in an answer.
    pub term: u64,
    /// The highest position in an answer, held or promised.
    pub promised: LogPosition,
    /// The highest log end in an answer.
    pub held: LogPosition,
}

impl Voter {
    /// Takes an incarnation number above every known one of this voter and starts to send rejoin requests.
    pub(super) fn start_rejoin(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.become_follower(None, actions);
        let known = self.hard_state.incarnations.get(&self.config.id).map_or(0, |known| known.number);
        let number = known.max(self.incarnation.number - 1) + 1;
        self.incarnation = Incarnation { number, nonce: self.config.nonce };
        self.hard_state.incarnations.insert(self.config.id.clone(), self.incarnation);
        self.write_hard_state(actions);
        self.rejoin = Some(RejoinState::default());
        self.election_deadline = now;
        self.send_rejoin_requests(now, actions);
    }

    pub(super) fn send_rejoin_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.election_deadline {
            return;
        }
        self.election_deadline = now + self.config.election_timeout / REQUESTS_PER_ELECTION_TIMEOUT;
        self.request_log_positions(actions);
    }

    /// Requests the log positions of all other voters: during a rejoin, or while there is no leader and the log of this
    /// voter ends before `promised`.
    pub(super) fn request_log_positions(&mut self, actions: &mut Vec<Action>) {
        for to in self.other_voters() {
            self.send_when_durable(&to, MessageBody::RejoinRequest, actions);
        }
    }

    /// Records the incarnations in a message. Returns false if an outdated incarnation of the sender sent it.
    pub(super) fn handle_incarnations(
        &mut self,
        now: Micros,
        from: &MemberId,
        incarnations: &BTreeMap<MemberId, Incarnation>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.config.checks.incarnations {
            return true;
        }
        let mut has_changed = false;
        for (id, incarnation) in incarnations {
            let known = self.hard_state.incarnations.get(id).copied().unwrap_or_default();
            if !self.config.voters.contains(id) || *incarnation <= known {
                continue;
            }
            has_changed = true;
            self.hard_state.incarnations.insert(id.clone(), *incarnation);
            if *id == self.config.id {
                // The message contains a later incarnation of this voter: another process runs or ran under the same
                // id, or the folder is a copy from before that start.
                actions.push(Action::Notify(Event::DuplicateId(*incarnation)));
                self.start_rejoin(now, actions);
            } else {
                self.discard_promises_of(id);
            }
        }
        if has_changed {
            self.write_hard_state(actions);
        }
        incarnations.get(from) == self.hard_state.incarnations.get(from)
    }

    /// Discards the votes and acknowledgements of earlier incarnations of a voter.
    fn discard_promises_of(&mut self, id: &MemberId) {
        if self.role != Role::Leader {
            self.votes.retain(|voter| voter != id);
        }
        if let Some(progress) = self.progress.get_mut(id) {
            progress.match_index = 0;
            progress.acked_round = 0;
        }
    }

    /// Answers a rejoin request. The incarnation of the sender is already recorded.
    pub(super) fn handle_rejoin_request(&mut self, to: &MemberId, actions: &mut Vec<Action>) {
        let response = MessageBody::RejoinResponse {
            promised: self.log.last().max(self.promised),
            last: self.log.last(),
            has_rejoined: self.rejoin.is_none(),
            remembered: self.remembered.get(to).copied().unwrap_or_default(),
        };
        self.send_when_durable(to, response, actions);
    }

    pub(super) fn handle_rejoin_response(
        &mut self,
        now: Micros,
        from: MemberId,
        term: u64,
        response: &MessageBody,
        actions: &mut Vec<Action>,
    ) {
        let MessageBody::RejoinResponse { promised, last, has_rejoined, remembered } = *response else {
            return;
        };
        let own = self.log.last();
        let Some(rejoin) = &mut self.rejoin else { return self.handle_log_position(from, last) };
        if remembered.term > self.hard_state.term || remembered.index > own.index {
            let recovered = LogPosition { term: self.hard_state.term, index: own.index };
            let event = Event::StateLost { reported_by: from.clone(), reported: remembered, recovered };
            actions.push(Action::Notify(event));
        }
        rejoin.term = rejoin.term.max(term);
        rejoin.promised = rejoin.promised.max(promised);
        rejoin.held = rejoin.held.max(last);
        *rejoin.responses.entry(from).or_default() |= has_rejoined;
        self.finish_rejoin(now, actions);
    }

    /// Records the log end of another voter while there is no leader. Once all others have answered, lowers the
    /// promised position to the highest log end, because no voter holds the entries beyond it.
    fn handle_log_position(&mut self, from: MemberId, last: LogPosition) {
        let own = self.log.last();
        if own >= self.promised {
            return;
        }
        self.peer_log_positions.insert(from, last);
        if self.peer_log_positions.len() == self.config.voters.len() - 1 {
            let highest = self.peer_log_positions.values().copied().fold(own, LogPosition::max);
            self.promised = self.promised.min(highest);
            self.peer_log_positions.clear();
        }
    }

    /// Completes the rejoin if enough other voters have answered.
    fn finish_rejoin(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(rejoin) = &self.rejoin else { return };
        let rejoined = rejoin.responses.values().filter(|has_rejoined| **has_rejoined).count();
        let is_complete = rejoin.responses.len() == self.config.voters.len() - 1;
        if rejoined < self.majority() && !is_complete {
            return;
        }
        let (term, promised, held) = (rejoin.term, rejoin.promised, rejoin.held);
        self.rejoin = None;
        self.promised = if is_complete { self.log.last().max(held) } else { self.promised.max(promised) };
        // An earlier incarnation may have voted in the highest term that any of them knows. Recording a vote for itself
        // prevents a second vote for another candidate in that term.
        if term >= self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = Some(self.config.id.clone());
            self.write_hard_state(actions);
        }
        self.leader_contact_at = now;
        self.reset_election_deadline(now);
        actions.push(Action::Notify(Event::Rejoined));
    }
}
