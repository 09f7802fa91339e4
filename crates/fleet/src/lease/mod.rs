//! Leases on resources that only one member of the fleet may use at a time. The replicated log stores the owner of each
//! resource and a monotonically increasing fencing token ([`LeaseTable`], the state machine of the log). Leases limit
//! how long an owner may rely on its ownership ([`lease_manager`] at the leader, [`lease_holder`] at the member). A
//! fencing guard at the receiver rejects the effects of a former owner that has not noticed the loss of its lease, for
//! example after a pause ([`fencing`]).
//!
//! The holder counts a lease from the time at which it sent the request. The leader counts it from the time at which a
//! majority confirmed its leadership for the answer, and adds a margin for clock drift ([`CLOCK_DRIFT_DIVISOR`]).
//! Therefore a resource is not reassigned before its previous holder has stopped using it, as long as no two clocks
//! drift apart by more than the margin. If they do, the tokens still distinguish the two owners.

pub mod fencing;
pub mod lease_holder;
pub mod lease_manager;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::member::{MAX_NAME_BYTES, MemberId};
use crate::quorum::machine::StateMachine;

/// Maximum number of resources; further resources are not assigned.
pub const MAX_RESOURCES: usize = 2_048;
/// Maximum number of resources assigned or freed by one command.
pub const MAX_CHANGES_PER_COMMAND: usize = 16;
/// The rates of two clocks may differ by one part in this number.
pub const CLOCK_DRIFT_DIVISOR: u64 = 20;

/// The duration for which the leader counts a lease: that of the holder plus twice the drift, because both clocks may
/// be off.
pub fn leader_lease(lease: Micros) -> Micros {
    lease + lease * 2 / CLOCK_DRIFT_DIVISOR + 1
}

/// The error for a text that is not a valid resource name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid resource name: expected 1 to {MAX_NAME_BYTES} printable ASCII characters without spaces")]
pub struct InvalidResourceName;

/// The name of a resource, for example `release` or `trial/s-3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct ResourceName(Arc<str>);

impl ResourceName {
    /// Creates a name of 1 to [`MAX_NAME_BYTES`] printable ASCII characters without spaces; `None` if the text is not
    /// valid.
    pub fn new(text: &str) -> Option<ResourceName> {
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        let is_name = is_printable && (1..=MAX_NAME_BYTES).contains(&text.len());
        is_name.then(|| ResourceName(text.into()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for ResourceName {
    type Error = InvalidResourceName;

    fn try_from(text: Arc<str>) -> Result<ResourceName, InvalidResourceName> {
        ResourceName::new(&text).ok_or(InvalidResourceName)
    }
}

impl From<ResourceName> for Arc<str> {
    fn from(name: ResourceName) -> Arc<str> {
        name.0
    }
}

impl fmt::Display for ResourceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies a process of a member by the member's id and the nonce of the start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The member.
    pub member: MemberId,
    /// The nonce that distinguishes the starts of the member.
    pub nonce: u64,
}

/// The owner of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The owner; `None` if the resource has none.
    pub owner: Option<ProcessId>,
    /// The fencing token of the owner or, if there is none, of the last owner. It is the log index of the command that
    /// assigned the resource, and therefore increases with each assignment.
    pub token: u64,
}

/// A change of the owner of one resource, part of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnershipChange {
    /// The resource.
    pub resource: ResourceName,
    /// The token of the resource known to the leader. The change is ignored if the token has changed since.
    pub expected_token: u64,
    /// The new owner; `None` to free the resource.
    pub new_owner: Option<ProcessId>,
}

/// The replicated state: the owner and token of each resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    assignments: BTreeMap<ResourceName, Assignment>,
}

impl LeaseTable {
    /// The assignment of a resource; `None` if it never had an owner.
    pub fn get(&self, resource: &ResourceName) -> Option<&Assignment> {
        self.assignments.get(resource)
    }

    /// The token of a resource; 0 if it never had an owner.
    pub fn token(&self, resource: &ResourceName) -> u64 {
        self.get(resource).map_or(0, |assignment| assignment.token)
    }

    /// Whether this process owns the resource with this token.
    pub fn is_owned(&self, resource: &ResourceName, owner: &ProcessId, token: u64) -> bool {
        self.get(resource)
            .is_some_and(|assignment| assignment.owner.as_ref() == Some(owner) && assignment.token == token)
    }

    /// All resources and their assignments, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceName, &Assignment)> {
        self.assignments.iter()
    }

    /// Applies a change unless it is outdated or the table is full. Returns whether it was applied.
    fn apply_change(&mut self, index: u64, change: OwnershipChange) -> bool {
        let is_new = !self.assignments.contains_key(&change.resource);
        let token = self.token(&change.resource);
        if is_new && self.assignments.len() >= MAX_RESOURCES || token != change.expected_token {
            return false;
        }
        // A freed resource keeps its token, because the token of the next owner must be higher.
        let token = if change.new_owner.is_some() { index } else { token };
        self.assignments.insert(change.resource, Assignment { owner: change.new_owner, token });
        true
    }
}

impl StateMachine for LeaseTable {
    /// The number of changes that were applied.
    type Answer = u16;

    fn apply(&mut self, index: u64, body: &[u8]) -> u16 {
        let mut applied = 0;
        for change in decode_changes(body).into_iter().take(MAX_CHANGES_PER_COMMAND) {
            applied += u16::from(self.apply_change(index, change));
        }
        applied
    }
}

/// Encodes changes as the body of a command.
pub fn encode_changes(changes: &[OwnershipChange]) -> Vec<u8> {
    postcard::to_stdvec(changes).unwrap_or_default()
}

/// Decodes the changes in the body of a command; returns none if the body cannot be decoded.
pub fn decode_changes(body: &[u8]) -> Vec<OwnershipChange> {
    postcard::from_bytes(body).unwrap_or_default()
}

/// A resource and the token with which it is or was owned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnedResource {
    /// The resource.
    pub resource: ResourceName,
    /// The owner's fencing token.
    pub token: u64,
}

/// The request that a member sends to the leader periodically. It also shows that the member is alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting process.
    pub requester: ProcessId,
    /// The number of the request; it increases with each request of the process.
    pub number: u64,
    /// The resources that the process requests to own.
    pub wanted: Vec<ResourceName>,
    /// The resources that the process has released.
    pub released: Vec<OwnedResource>,
}

/// The leader's response. A majority confirmed its leadership after the request arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The number of the request.
    pub number: u64,
    /// All resources that the requester owns.
    pub owned: Vec<OwnedResource>,
}

#[cfg(test)]
mod tests;
