//! A member's side of leases: which resources it may act for now, and until when. A lease is counted from before it was requested.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{LeaseRequest, LeaseResponse, OwnedResource, ProcessId, ResourceName};
use crate::Micros;

/// Maximum number of requests that are remembered; an answer to an older one is of no use.
const MAX_PENDING_REQUESTS: usize = 16;
/// Requests in a lease.
const REQUESTS_PER_LEASE: u64 = 6;
/// Where another voter leads, the next request goes out after this part of the usual time.
const RETRY_DIVISOR: u64 = 8;

/// What changed for a resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This member owns it, by this token.
    Acquired(OwnedResource),
    /// This member owns it no more: whatever was under way for it ends here.
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

/// The leases of a member's process, from its start on.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    process: ProcessId,
    lease: Micros,
    wanted: BTreeSet<ResourceName>,
    last_number: u64,
    pending: VecDeque<PendingRequest>,
    leases: BTreeMap<ResourceName, Lease>,
    /// Released, with their tokens; repeated until the leader knows.
    released: BTreeMap<ResourceName, u64>,
    next_request_at: Micros,
}

impl LeaseHolder {
    /// A member's process that has just started.
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

    /// Asks for a resource from now on.
    pub fn add_wanted(&mut self, resource: ResourceName) {
        self.wanted.insert(resource);
    }

    /// Wants nothing any more, and releases all: what was under way has ended.
    pub fn release_all(&mut self, now: Micros) -> Vec<LeaseEvent> {
        self.wanted.clear();
        self.next_request_at = now;
        let leases = std::mem::take(&mut self.leases);
        self.released.extend(leases.iter().map(|(resource, lease)| (resource.clone(), lease.token)));
        leases.into_iter().map(|(resource, lease)| lost(resource, lease)).collect()
    }

    /// The request that is due now, if one is.
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

    /// Another voter leads: the next request goes out soon.
    pub fn retry_soon(&mut self, now: Micros) {
        self.next_request_at = now + self.lease / REQUESTS_PER_LEASE / RETRY_DIVISOR;
    }

    /// Takes an answer.
    pub fn handle_response(&mut self, now: Micros, response: LeaseResponse) -> Vec<LeaseEvent> {
        let Some(sent_at) = self.take_pending(response.number) else { return Vec::new() };
        let expires_at = sent_at + self.lease;
        let is_still_owned = |resource: &ResourceName, token: u64| {
            response.owned.iter().any(|owned| owned.resource == *resource && owned.token == token)
        };
        self.released.retain(|resource, token| is_still_owned(resource, *token));
        if expires_at <= now {
            return self.tick(now); // an answer that comes after its lease is over
        }
        let mut events = Vec::new();
        let mut leases = BTreeMap::new();
        for OwnedResource { resource, token } in response.owned {
            // What was released is not taken up again by the same token.
            if !self.wanted.contains(&resource) || self.released.contains_key(&resource) {
                continue;
            }
            let before = self.leases.remove(&resource);
            if before.is_none_or(|before| before.token != token) {
                events.extend(before.map(|before| lost(resource.clone(), before)));
                events.push(LeaseEvent::Acquired(owned(resource.clone(), token)));
            }
            let expires_at = expires_at.max(before.map_or(0, |before| before.expires_at));
            leases.insert(resource, Lease { token, expires_at });
        }
        let gone = std::mem::replace(&mut self.leases, leases);
        events.extend(gone.into_iter().map(|(resource, lease)| lost(resource, lease)));
        events
    }

    /// Forgets a request, and all before it, and returns when it was sent; `None`: it is not pending.
    fn take_pending(&mut self, number: u64) -> Option<Micros> {
        let position = self.pending.iter().position(|request| request.number == number)?;
        self.pending.drain(..=position).next_back().map(|request| request.sent_at)
    }

    /// The token by which it may act for a resource now.
    pub fn token(&self, now: Micros, resource: &ResourceName) -> Option<u64> {
        let lease = self.leases.get(resource).filter(|lease| now < lease.expires_at)?;
        Some(lease.token)
    }

    /// What it owns now.
    pub fn owned(&self, now: Micros) -> impl Iterator<Item = (&ResourceName, u64)> {
        let valid = self.leases.iter().filter(move |(_, lease)| now < lease.expires_at);
        valid.map(|(resource, lease)| (resource, lease.token))
    }

    /// Gives up resources whose lease has expired.
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

    /// When it wants the next tick: the next request, or the end of a lease.
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
