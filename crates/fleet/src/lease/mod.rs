//! Leases on resources that one member of the fleet at a time works on. The log says whose a resource is, by a fencing token that only
//! grows ([`LeaseTable`], the log's state machine); leases say for how long that may be relied upon ([`lease_manager`], at the
//! leader, and [`lease_holder`], at the member); a fencing guard keeps an owner that wakes up late from doing harm where its
//! effects arrive ([`fencing`]).
//!
//! A lease is counted by the holder from before it asked, and by the leader from after its answer was confirmed by a majority,
//! and longer by the clocks' drift ([`CLOCK_DRIFT_DIVISOR`]). So as long as no clock runs faster or slower than another by more
//! than that, nobody is assigned a resource before its last holder has released it. Where a clock does worse, tokens still
//! distinguish the two.

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

/// Maximum number of resources; further ones are not assigned.
pub const MAX_RESOURCES: usize = 2_048;
/// Maximum number of resources that one command assigns or frees.
pub const MAX_CHANGES_PER_COMMAND: usize = 16;
/// Clocks may differ by one part in so many over a lease.
pub const CLOCK_DRIFT_DIVISOR: u64 = 20;

/// For how long the leader counts a lease: longer than the holder does, by twice the drift, for both clocks may be off.
pub fn leader_lease(lease: Micros) -> Micros {
    lease + lease * 2 / CLOCK_DRIFT_DIVISOR + 1
}

/// A text that is no resource's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no resource's name: give 1 to {MAX_NAME_BYTES} printable characters without spaces")]
pub struct InvalidResourceName;

/// The name of a resource, as in `release` or `trial/s-3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct ResourceName(Arc<str>);

impl ResourceName {
    /// A name of 1 to 48 printable characters without spaces; `None`: the text is none.
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

/// A member's process: its id and the nonce of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The member.
    pub member: MemberId,
    /// Which of its starts.
    pub nonce: u64,
}

/// Whose a resource is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// `None`: nobody's.
    pub owner: Option<ProcessId>,
    /// The fencing token of this or, where it is nobody's, of the last owner. It is the log's index of the command, and so only
    /// grows.
    pub token: u64,
}

/// One change that a command makes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnershipChange {
    /// The resource.
    pub resource: ResourceName,
    /// Its token as the leader knew it; where another holds by now, nothing is done.
    pub expected_token: u64,
    /// Whose it is from now on; `None`: nobody's.
    pub new_owner: Option<ProcessId>,
}

/// The replicated state: whose each resource is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    assignments: BTreeMap<ResourceName, Assignment>,
}

impl LeaseTable {
    /// Whose a resource is; `None`: it was never anybody's.
    pub fn get(&self, resource: &ResourceName) -> Option<&Assignment> {
        self.assignments.get(resource)
    }

    /// Its token; 0: it was never anybody's.
    pub fn token(&self, resource: &ResourceName) -> u64 {
        self.get(resource).map_or(0, |assignment| assignment.token)
    }

    /// Whether this process owns the resource, by this token.
    pub fn is_owned(&self, resource: &ResourceName, owner: &ProcessId, token: u64) -> bool {
        self.get(resource)
            .is_some_and(|assignment| assignment.owner.as_ref() == Some(owner) && assignment.token == token)
    }

    /// All resources, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceName, &Assignment)> {
        self.assignments.iter()
    }

    /// Makes a change, unless it was overtaken or the table is full.
    fn apply_change(&mut self, index: u64, change: OwnershipChange) -> bool {
        let is_new = !self.assignments.contains_key(&change.resource);
        let token = self.token(&change.resource);
        if is_new && self.assignments.len() >= MAX_RESOURCES || token != change.expected_token {
            return false;
        }
        // A freed resource keeps its token: the next owner's has to be above it.
        let token = if change.new_owner.is_some() { index } else { token };
        self.assignments.insert(change.resource, Assignment { owner: change.new_owner, token });
        true
    }
}

impl StateMachine for LeaseTable {
    /// How many of the changes were made.
    type Answer = u16;

    fn apply(&mut self, index: u64, body: &[u8]) -> u16 {
        let mut made = 0;
        for change in decode_changes(body).into_iter().take(MAX_CHANGES_PER_COMMAND) {
            made += u16::from(self.apply_change(index, change));
        }
        made
    }
}

/// The body of a command that makes these changes.
pub fn encode_changes(changes: &[OwnershipChange]) -> Vec<u8> {
    postcard::to_stdvec(changes).unwrap_or_default()
}

/// The changes of a command's body; none where it is unreadable.
pub fn decode_changes(body: &[u8]) -> Vec<OwnershipChange> {
    postcard::from_bytes(body).unwrap_or_default()
}

/// A resource with the token by which it is or was owned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnedResource {
    /// The resource.
    pub resource: ResourceName,
    /// The token.
    pub token: u64,
}

/// What a member asks the leader, again and again: that it is there, what it would own, and what it has released.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub requester: ProcessId,
    /// Counts its requests.
    pub number: u64,
    /// Resources that it would own.
    pub wanted: Vec<ResourceName>,
    /// Resources that it has released.
    pub released: Vec<OwnedResource>,
}

/// The leader's answer, confirmed by a majority after the request came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The request.
    pub number: u64,
    /// What the requester owns; nothing else is its own.
    pub owned: Vec<OwnedResource>,
}

#[cfg(test)]
mod tests;
