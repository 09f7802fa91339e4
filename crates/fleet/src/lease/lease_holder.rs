//! The member's side of leases: the resources that it may use, and until when. The member counts a lease from the time
//! at which it sent the request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{LeaseRequest, LeaseResponse, OwnedResource, ProcessId, ResourceName};
use crate::Micros;

/// Maximum number of unanswered requests that are tracked; responses to older requests are ignored. At the regular
/// request interval, the lease of a request that is no longer tracked would have expired.
const MAX_PENDING_REQUESTS: usize = 16;
/// Number of requests per lease duration.
const REQUESTS_PER_LEASE: u64 = 6;
/// After a response that another voter leads, the request interval is divided by this number once.
const RETRY_DIVISOR: u64 = 8;

/// A change in the ownership of a resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This member became the owner, with this token.
    Acquired(OwnedResource),
    /// This member is no longer the owner and must stop all work on the resource.
    Lost(OwnedResource),
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    token: u64,
    expires_at: Micros,
}

/// The leases of one process of a member.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    process: ProcessId,
    lease: Micros,
    wanted: BTreeSet<ResourceName>,
    last_number: u64,
    pending: VecDeque<PendingRequest>,
    leases: BTreeMap<ResourceName, Lease>,
    /// Released resources with their tokens; repeated in each request until the leader confirms the release.
    released: BTreeMap<ResourceName, u64>,
    next_request_at: Micros,
}

impl LeaseHolder {
    /// Creates the state of a process that has just started.
    pub fn new(now: Micros, process: ProcessId, lease: Micros) -> LeaseHolder {
        LeaseHolder {
            process,
            lease,
            wanted: BTreeSet::new(),
            last_number: 0,
            pending: VecDeque::new(),
            leases: BTreeMap::new(),
            released: BTreeMap::new(),
            next_request_at: now,
        }
    }

    /// Adds a resource to those that the member requests.
    pub fn add_wanted(&mut self, resource: ResourceName) {
        self.wanted.insert(resource);
    }

    /// Stops requesting resources and releases all leases. Call it after the work on the resources has ended.
    pub fn release_all(&mut self, now: Micros) -> Vec<LeaseEvent> {
        self.wanted.clear();
        self.next_request_at = now;
        let leases = std::mem::take(&mut self.leases);
        self.released.extend(leases.iter().map(|(resource, lease)| (resource.clone(), lease.token)));
        leases.into_iter().map(|(resource, lease)| lost(resource, lease)).collect()
    }

    /// Returns the request that is due now, if any.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.next_request_at || self.wanted.is_empty() && self.released.is_empty() {
            return None;
        }
        self.next_request_at = now + self.lease / REQUESTS_PER_LEASE;
        self.last_number += 1;
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingRequest { number: self.last_number, sent_at: now });
        let released = self.released.iter();
        Some(LeaseRequest {
            requester: self.process.clone(),
            number: self.last_number,
            wanted: self.wanted.iter().cloned().collect(),
            released: released.map(|(name, token)| owned(name.clone(), *token)).collect(),
        })
    }

    /// Schedules the next request early, because the voter that was asked is not the leader.
    pub fn retry_soon(&mut self, now: Micros) {
        self.next_request_at = now + self.lease / REQUESTS_PER_LEASE / RETRY_DIVISOR;
    }

    /// Handles a response of the leader.
    pub fn handle_response(&mut self, now: Micros, response: LeaseResponse) -> Vec<LeaseEvent> {
        let Some(sent_at) = self.take_pending(response.number) else { return Vec::new() };
        let expires_at = sent_at + self.lease;
        let is_still_owned = |resource: &ResourceName, token: u64| {
            response.owned.iter().any(|owned| owned.resource == *resource && owned.token == token)
        };
        self.released.retain(|resource, token| is_still_owned(resource, *token));
        if expires_at <= now {
            return self.tick(now); // the lease granted by this response has already expired
        }
        let mut events = Vec::new();
        let mut leases = BTreeMap::new();
        for OwnedResource { resource, token } in response.owned {
            // A released resource is not acquired again with the same token.
            if !self.wanted.contains(&resource) || self.released.contains_key(&resource) {
                continue;
            }
            let previous = self.leases.remove(&resource);
            if previous.is_none_or(|previous| previous.token != token) {
                events.extend(previous.map(|previous| lost(resource.clone(), previous)));
                events.push(LeaseEvent::Acquired(owned(resource.clone(), token)));
            }
            let expires_at = expires_at.max(previous.map_or(0, |previous| previous.expires_at));
            leases.insert(resource, Lease { token, expires_at });
        }
        let no_longer_owned = std::mem::replace(&mut self.leases, leases);
        events.extend(no_longer_owned.into_iter().map(|(resource, lease)| lost(resource, lease)));
        events
    }

    /// Removes a pending request and all earlier ones, and returns the time at which it was sent; `None` if it is not
    /// pending.
    fn take_pending(&mut self, number: u64) -> Option<Micros> {
        let position = self.pending.iter().position(|request| request.number == number)?;
        self.pending.drain(..=position).next_back().map(|request| request.sent_at)
    }

    /// The token with which the member may use a resource now; `None` if it has no valid lease.
    pub fn token(&self, now: Micros, resource: &ResourceName) -> Option<u64> {
        let lease = self.leases.get(resource).filter(|lease| now < lease.expires_at)?;
        Some(lease.token)
    }

    /// The resources with a valid lease, and their tokens.
    pub fn owned(&self, now: Micros) -> impl Iterator<Item = (&ResourceName, u64)> {
        let valid = self.leases.iter().filter(move |(_, lease)| now < lease.expires_at);
        valid.map(|(resource, lease)| (resource, lease.token))
    }

    /// Removes expired leases.
    pub fn tick(&mut self, now: Micros) -> Vec<LeaseEvent> {
        let mut events = Vec::new();
        self.leases.retain(|resource, lease| {
            let is_valid = now < lease.expires_at;
            if !is_valid {
                events.push(lost(resource.clone(), *lease));
            }
            is_valid
        });
        events
    }

    /// The time of the next request or of the next lease expiry, whichever is earlier.
    pub fn next_deadline(&self) -> Micros {
        let expiry = self.leases.values().map(|lease| lease.expires_at).min();
        expiry.unwrap_or(Micros::MAX).min(self.next_request_at)
    }
}

fn owned(resource: ResourceName, token: u64) -> OwnedResource {
    OwnedResource { resource, token }
}

fn lost(resource: ResourceName, lease: Lease) -> LeaseEvent {
    LeaseEvent::Lost(owned(resource, lease.token))
}
