//! The leader's side of leases: which members request which resources, until when a resource may be in use, and which
//! resources to assign or free next. This state is not persisted: a new leader assumes that every owned resource was
//! leased at the moment of its election.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    LeaseRequest, LeaseResponse, LeaseTable, MAX_CHANGES_PER_COMMAND, OwnedResource, OwnershipChange,
    ProcessId, ResourceName, leader_lease,
};
use crate::Micros;

/// Maximum number of tracked requesters. Resources wanted by others are not assigned to them until a tracked requester
/// wants nothing any more or has sent no request for the duration of a lease.
const MAX_REQUESTERS: usize = 1_024;

#[derive(Clone, Debug)]
struct Requester {
    wanted: BTreeSet<ResourceName>,
    last_contact_at: Micros,
}

/// A change that is proposed to the log but not applied yet.
#[derive(Clone, Copy, Debug)]
struct ProposedChange {
    /// The token of the resource before the change.
    expected_token: u64,
    /// Whether the change frees the resource.
    is_release: bool,
}

/// The leases granted by a leader since its election.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    lease: Micros,
    /// Until this time no owned resource is reassigned, because an earlier leader may have leased it.
    takeover_at: Micros,
    /// The time until which each resource is leased.
    leased_until: BTreeMap<ResourceName, Micros>,
    requesters: BTreeMap<ProcessId, Requester>,
    /// Resources released by their owners, with their tokens; still to be freed in the log.
    released: BTreeMap<ResourceName, u64>,
    proposed: BTreeMap<ResourceName, ProposedChange>,
}

impl LeaseManager {
    /// Creates the state of a newly elected leader.
    pub fn new(now: Micros, lease: Micros) -> LeaseManager {
        LeaseManager {
            lease,
            takeover_at: now + leader_lease(lease),
            leased_until: BTreeMap::new(),
            requesters: BTreeMap::new(),
            released: BTreeMap::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// Records a request. The caller may answer it only after a majority has confirmed, since its arrival, that this
    /// voter leads.
    pub fn handle_request(&mut self, now: Micros, request: &LeaseRequest, table: &LeaseTable) {
        let is_known = self.requesters.contains_key(&request.requester);
        if request.wanted.is_empty() {
            self.requesters.remove(&request.requester);
        } else if is_known || self.requesters.len() < MAX_REQUESTERS {
            let wanted = request.wanted.iter().cloned().collect();
            let requester = Requester { wanted, last_contact_at: now };
            self.requesters.insert(request.requester.clone(), requester);
        }
        for OwnedResource { resource, token } in &request.released {
            if table.is_owned(resource, &request.requester, *token) {
                self.released.insert(resource.clone(), *token);
            }
        }
    }

    /// Answers a request after leadership was confirmed. The resources in the answer are leased from now on.
    pub fn answer(&mut self, now: Micros, request: &LeaseRequest, table: &LeaseTable) -> LeaseResponse {
        let mut owned = Vec::new();
        for (resource, assignment) in table.iter() {
            // A pending change can be committed at any time and then ends the ownership, so no lease may be granted
            // beyond it.
            if assignment.owner.as_ref() != Some(&request.requester) || self.has_pending_change(resource) {
                continue;
            }
            self.leased_until.insert(resource.clone(), now + leader_lease(self.lease));
            owned.push(OwnedResource { resource: resource.clone(), token: assignment.token });
        }
        LeaseResponse { number: request.number, owned }
    }

    /// Whether a change of the resource is proposed or about to be.
    fn has_pending_change(&self, resource: &ResourceName) -> bool {
        self.proposed.contains_key(resource) || self.released.contains_key(resource)
    }

    /// Returns the changes to propose next, at most `MAX_CHANGES_PER_COMMAND`. Released resources are freed first; then
    /// resources without an owner or with an expired lease are assigned.
    pub fn next_changes(&mut self, now: Micros, table: &LeaseTable) -> Vec<OwnershipChange> {
        self.remove_outdated(now, table);
        let mut changes = self.release_changes();
        self.add_assignments(now, table, &mut changes);
        for change in &changes {
            let proposed = ProposedChange {
                expected_token: change.expected_token,
                is_release: change.new_owner.is_none(),
            };
            self.proposed.insert(change.resource.clone(), proposed);
        }
        changes
    }

    /// Removes requesters that have sent no request for the duration of a lease, and changes that were applied or
    /// superseded.
    fn remove_outdated(&mut self, now: Micros, table: &LeaseTable) {
        let lease = self.lease;
        self.requesters.retain(|_, requester| now.saturating_sub(requester.last_contact_at) < lease);
        let has_owner = |resource: &ResourceName| {
            table.get(resource).is_some_and(|assignment| assignment.owner.is_some())
        };
        self.proposed.retain(|resource, proposed| {
            let is_unapplied = table.token(resource) == proposed.expected_token;
            is_unapplied && (!proposed.is_release || has_owner(resource))
        });
        self.released.retain(|resource, token| has_owner(resource) && table.token(resource) == *token);
    }

    fn release_changes(&self) -> Vec<OwnershipChange> {
        let unproposed = self.released.iter().filter(|(resource, _)| !self.proposed.contains_key(*resource));
        let change = |(resource, token): (&ResourceName, &u64)| OwnershipChange {
            resource: resource.clone(),
            expected_token: *token,
            new_owner: None,
        };
        unproposed.take(MAX_CHANGES_PER_COMMAND).map(change).collect()
    }

    fn add_assignments(&mut self, now: Micros, table: &LeaseTable, changes: &mut Vec<OwnershipChange>) {
        let mut load = self.load_by_requester(table);
        let requesters = self.requesters.values();
        let wanted: BTreeSet<ResourceName> =
            requesters.flat_map(|requester| requester.wanted.iter().cloned()).collect();
        for resource in wanted {
            if changes.len() >= MAX_CHANGES_PER_COMMAND {
                break;
            }
            if self.has_pending_change(&resource) || self.is_leased(now, table, &resource) {
                continue;
            }
            let Some(owner) = self.choose_owner(&resource, &load) else { continue };
            load.entry(owner.clone()).and_modify(|count| *count += 1);
            // The new owner needs time to request its lease before the resource may be assigned to another member.
            self.leased_until.insert(resource.clone(), now + leader_lease(self.lease));
            let expected_token = table.token(&resource);
            changes.push(OwnershipChange { resource, expected_token, new_owner: Some(owner) });
        }
    }

    /// The number of resources that each requester owns.
    fn load_by_requester(&self, table: &LeaseTable) -> BTreeMap<ProcessId, usize> {
        let mut load: BTreeMap<ProcessId, usize> =
            self.requesters.keys().map(|requester| (requester.clone(), 0)).collect();
        for owner in table.iter().filter_map(|(_, assignment)| assignment.owner.as_ref()) {
            load.entry(owner.clone()).and_modify(|count| *count += 1);
        }
        load
    }

    /// Whether the resource has an owner and may still be in use.
    fn is_leased(&self, now: Micros, table: &LeaseTable, resource: &ResourceName) -> bool {
        let leased_until = self.leased_until.get(resource).copied().unwrap_or(0).max(self.takeover_at);
        let has_owner = table.get(resource).is_some_and(|assignment| assignment.owner.is_some());
        has_owner && now < leased_until
    }

    /// Chooses the requester of this resource that owns the fewest resources, so that resources are distributed evenly.
    /// Ties are broken by rendezvous hashing of the resource's name.
    fn choose_owner(&self, resource: &ResourceName, load: &BTreeMap<ProcessId, usize>) -> Option<ProcessId> {
        let candidates = self.requesters.iter().filter(|(_, requester)| requester.wanted.contains(resource));
        let rank = |process: &ProcessId| {
            let owned = load.get(process).copied().unwrap_or(0);
            (owned, rendezvous_hash(resource, process), process.clone())
        };
        candidates.map(|(process, _)| rank(process)).min().map(|(_, _, process)| process)
    }

    /// Removes proposed changes that the log rejected. Must not be called for changes that may still be committed.
    pub fn cancel_changes(&mut self, changes: &[OwnershipChange]) {
        for change in changes {
            self.proposed.remove(&change.resource);
        }
    }
}

/// Rendezvous hashing: the hash ranks the members in a different order for each resource.
fn rendezvous_hash(resource: &ResourceName, process: &ProcessId) -> u64 {
    crate::codec::file_digest(format!("{resource} {}", process.member).as_bytes())
}

#[cfg(test)]
mod tests;
