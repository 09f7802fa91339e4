//! The consensus report for operators.

use std::collections::HashMap;

use cobaltspool_fleet::lease::ResourceName;
use cobaltspool_fleet::quorum::{Role, Voter, VoterStatus};

use super::{ConsensusNode, State};
use crate::Micros;
use crate::fleet::status;

impl ConsensusNode {
    /// Returns the current report.
    pub fn report(&self, now: Micros) -> status::Consensus {
        let state = self.state.borrow();
        let is_lease_answered =
            state.last_answer_at.is_some_and(|at| now.saturating_sub(at) < self.config.lease);
        let owners =
            if state.voter.is_some() { state.all_owners(now) } else { self.own_resources(&state, now) };
        status::Consensus {
            has_majority: state
                .voter
                .as_ref()
                .map_or(is_lease_answered, |voter| voter.is_connected_to_majority(now)),
            voter: state.report_voter(),
            owners,
        }
    }

    /// Returns the resources of this process. A member that does not vote knows no others.
    fn own_resources(&self, state: &State, now: Micros) -> Vec<status::Owner> {
        let own = state.lease_holder.owned(now).map(|(resource, token)| status::Owner {
            resource: resource.to_string(),
            owner: Some(self.config.process.member.to_string()),
            token,
            is_own: true,
        });
        own.collect()
    }
}

impl State {
    /// Returns the owner of each resource according to the replicated state.
    fn all_owners(&self, now: Micros) -> Vec<status::Owner> {
        let own: HashMap<&ResourceName, u64> = self.lease_holder.owned(now).collect();
        let owner =
            |(resource, assignment): (&ResourceName, &cobaltspool_fleet::lease::Assignment)| status::Owner {
                is_own: own.get(resource) == Some(&assignment.token),
                resource: resource.to_string(),
                owner: assignment.owner.as_ref().map(|owner| owner.member.to_string()),
                token: assignment.token,
            };
        self.replica.machine.iter().map(owner).collect()
    }

    /// Reports this process as a voter. A voter that cannot vote is reported as read-only.
    fn report_voter(&self) -> Option<status::Voter> {
        let voter = self.voter.as_ref().map(|voter| self.report_running_voter(voter));
        voter.or_else(|| {
            Some(status::Voter {
                role: role_name(Role::Follower).to_string(),
                term: 0,
                leader: None,
                status: VoterStatus::ReadOnly.name().to_string(),
                commit_index: 0,
                fault: Some(self.fault.clone()?),
            })
        })
    }

    fn report_running_voter(&self, voter: &Voter) -> status::Voter {
        status::Voter {
            role: role_name(voter.role()).to_string(),
            term: voter.term(),
            leader: voter.leader().map(ToString::to_string),
            status: voter.status().name().to_string(),
            commit_index: voter.commit_index(),
            fault: self.fault.clone(),
        }
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Leader => "leader",
        Role::Candidate | Role::PreCandidate => "candidate",
        Role::Follower => "follower",
    }
}
