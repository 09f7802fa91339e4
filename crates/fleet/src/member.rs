//! A member: its id, its incarnations, its information about itself, and the order of records about it.
//!
//! Wall-clock time is not used. Each process start draws a nonce and takes a generation above every other generation
//! reported under its id, so that a newer start wins without persistent storage.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Maximum length of an id, a zone and a version, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Maximum total size per member of fields that this version does not recognize. They are forwarded unchanged; fields
/// beyond the limit are dropped.
pub const MAX_UNKNOWN_BYTES: usize = 64;

/// The text is not a valid member id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid member id: expected 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores")]
pub struct InvalidMemberId;

/// A member's id. It stays the same across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct MemberId(Arc<str>);

impl MemberId {
    /// Creates an id; `None` unless the text is 1 to 48 letters, digits, dots, dashes or underscores.
    pub fn new(text: &str) -> Option<MemberId> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        ((1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed))
            .then(|| MemberId(text.into()))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for MemberId {
    type Error = InvalidMemberId;

    fn try_from(text: Arc<str>) -> Result<MemberId, InvalidMemberId> {
        MemberId::new(&text).ok_or(InvalidMemberId)
    }
}

impl From<MemberId> for Arc<str> {
    fn from(id: MemberId) -> Arc<str> {
        id.0
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies one start of a process under an id. The greater value is the newer start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Greater than that of every other start known when it was chosen.
    pub generation: u64,
    /// Random number drawn at the start. It distinguishes two starts of the same generation.
    pub nonce: u64,
}

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Responding.
    Alive,
    /// Did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Down,
    /// Announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member counts as live.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Name of the state in status output and logs.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
            MemberState::Left => "left",
        }
    }
}

/// Orders the records about one member: by incarnation, then by sequence number, then by the more severe state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateVersion {
    /// The process start that the record is about.
    pub incarnation: Incarnation,
    /// Incremented only by the member itself, at each refutation and each change of its information.
    pub seq: u32,
    /// The member's state.
    pub state: MemberState,
}

/// A member's information about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// The zone that it runs in.
    pub zone: Arc<str>,
    /// Address at which it accepts frames.
    pub address: SocketAddr,
    /// Version of its program.
    pub version: Arc<str>,
    /// How long it had been running when it sent this.
    pub uptime: Micros,
    /// Whether it accepts clients.
    pub ready: bool,
    /// Whether operators have taken it out of service.
    pub draining: bool,
    /// Whether it is shutting down. It announces `Left` when it is done.
    pub leaving: bool,
    /// Recent number of pending and established calls.
    pub calls: u32,
    /// Age of its list of servers in milliseconds; `None` if it has no list.
    pub list_age: Option<u64>,
    /// Digest of its operators' file; 0 if it has none.
    pub ops_digest: u64,
    /// Fields that this version does not recognize, as received: number and bytes.
    pub unknown_fields: Vec<(u8, Vec<u8>)>,
}

impl MemberInfo {
    /// Information of a process that has just started.
    pub fn at(address: SocketAddr) -> MemberInfo {
        MemberInfo {
            zone: "".into(),
            address,
            version: "".into(),
            uptime: 0,
            ready: false,
            draining: false,
            leaving: false,
            calls: 0,
            list_age: None,
            ops_digest: 0,
            unknown_fields: Vec::new(),
        }
    }

    /// The fields whose changes are gossiped at once: all except figures that change with every call.
    pub(crate) fn urgent_fields(&self) -> (bool, bool, bool, SocketAddr, u64, &str) {
        (self.ready, self.draining, self.leaving, self.address, self.ops_digest, &self.zone)
    }
}

/// What one member reports about a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// The member that the record is about.
    pub id: MemberId,
    /// Version of the record, with the member's state.
    pub state_version: StateVersion,
    /// The member that reported suspect or down; `None` if the record comes from the member itself.
    pub reported_by: Option<MemberId>,
    /// How long the member has been down or left; 0 for a live member.
    pub state_age: Micros,
    /// The member's latest information about itself.
    pub info: MemberInfo,
}

#[cfg(test)]
mod tests;
