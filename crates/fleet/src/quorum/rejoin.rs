//! Rejoin: how a voter that has started takes part again.
//!
//! It takes a new incarnation and sends a rejoin request. Each other voter records the incarnation, on disk, and answers how far
//! it is itself. The voter has rejoined once answers to its present incarnation have come from a majority of voters that have
//! rejoined themselves, not counting itself, or from all others.
//!
//! Why that is enough: whatever an earlier incarnation of it had a part in was held by a majority with it, and each such majority
//! has, besides it, a member among those that answered. Either that member held its part before it answered, and then the answer
//! says so; or it came to hold it afterwards, and then the message that says so carries the new incarnation, by which the leader
//! or candidate drops what the earlier one had promised. The second way is for a fleet that starts as a whole: with all
//! others, one that did not forget is among them as long as those that did are a minority; for the same reason the furthest log
//! among all is far enough then. A promise that only logs were behind which have gone since is lowered in that way too.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Action, Event, Incarnation, LogPosition, MessageBody, Role, Voter};
use crate::Micros;
use crate::member::MemberId;

/// Rejoin requests in an election timeout.
const REQUESTS_PER_ELECTION_TIMEOUT: u64 = 4;

/// The answers to rejoin requests so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RejoinState {
    /// Who has answered, and whether it has rejoined itself.
    pub responses: BTreeMap<MemberId, bool>,
    /// The highest term of an answer.
    pub term: u64,
    /// The furthest position of an answer, held or promised.
    pub promised: LogPosition,
    /// The furthest position that is held.
    pub held: LogPosition,
}

impl Voter {
    /// Takes an incarnation above every known one, and starts to ask.
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

    /// Asks all others what they hold: at a rejoin, or where nobody leads and this voter may have promised more than it holds.
    pub(super) fn request_log_positions(&mut self, actions: &mut Vec<Action>) {
        for to in self.others() {
            self.send_when_durable(&to, MessageBody::RejoinRequest, actions);
        }
    }

    /// Takes the incarnations that a message carries; false: it is of an earlier incarnation of its sender.
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
                // A later start of this voter was heard of: one that ran beside or after the folder's copy.
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

    /// Nothing that an earlier incarnation of a voter promised counts any more.
    fn discard_promises_of(&mut self, id: &MemberId) {
        if self.role != Role::Leader {
            self.votes.retain(|voter| voter != id);
        }
        if let Some(progress) = self.progress.get_mut(id) {
            progress.match_index = 0;
            progress.acked_round = 0;
        }
    }

    /// Answers a voter that has started; its incarnation is recorded by now.
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

    /// Where nobody leads: once all others have said what they hold, a promise that none of them holds is lowered.
    fn handle_log_position(&mut self, from: MemberId, last: LogPosition) {
        let own = self.log.last();
        if own >= self.promised {
            return;
        }
        self.peer_log_positions.insert(from, last);
        if self.peer_log_positions.len() == self.config.voters.len() - 1 {
            let furthest = self.peer_log_positions.values().copied().fold(own, LogPosition::max);
            self.promised = self.promised.min(furthest);
            self.peer_log_positions.clear();
        }
    }

    /// Takes part again, if enough others have answered.
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
        // It may have voted in the highest term that any of them knows.
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
