//! A member: its id, its incarnations, its information about itself, and which of two records about it is the newer.
//!
//! Wall time decides nothing here. A start draws a nonce, and takes a generation above every other that it hears of under
//! its id; that is what makes a newer start win without a disk.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The longest id, zone and version, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Fields of a newer version that are passed on unread: so many bytes of one member; further ones are left out.
pub const MAX_UNKNOWN_BYTES: usize = 64;

/// A text that is no member's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no member's id: give 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores")]
pub struct InvalidMemberId;

/// A member's id: the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct MemberId(Arc<str>);

impl MemberId {
    /// An id: 1 to 48 letters, digits, dots, dashes or underscores.
    pub fn new(text: &str) -> Option<MemberId> {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        ((1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(fits)).then(|| MemberId(text.into()))
    }

    /// As text.
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

/// One start of a process under an id. The greater one is the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Above that of every other start known when it was taken: the member's incarnation.
    pub generation: u64,
    /// Drawn at the start; tells two starts of one generation apart.
    pub nonce: u64,
}

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It has not answered somebody, and may still refute that.
    Suspect,
    /// It has not refuted it in time.
    Down,
    /// It said that it goes.
    Left,
}

impl MemberState {
    /// Counted as there.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Its name in status and log.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
            MemberState::Left => "left",
        }
    }
}

/// What orders the records about one member: incarnation, then its own count, then the graver state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateVersion {
    /// Of which start.
    pub incarnation: Incarnation,
    /// Counted by the member itself: each refutation and each change of its information is one more.
    pub seq: u32,
    /// Its state.
    pub state: MemberState,
}

/// A member's information about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its program's version.
    pub version: Arc<str>,
    /// How long it had run when it sent this.
    pub uptime: Micros,
    /// It takes clients.
    pub ready: bool,
    /// Operators have taken it out of service.
    pub draining: bool,
    /// It shuts down, and will say when it has left.
    pub leaving: bool,
    /// Pending and established calls, of late.
    pub calls: u32,
    /// The age of its list of servers, in milliseconds; `None`: it has none.
    pub list_age: Option<u64>,
    /// Digest of its operators' file; 0: it has none.
    pub ops_digest: u64,
    /// Fields of a newer version, as they came.
    pub unknown_fields: Vec<(u8, Vec<u8>)>,
}

impl MemberInfo {
    /// MemberInfo of a process that has just started.
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

    /// What others have to hear of soon: all but figures that change with every call.
    pub(crate) fn urgent_fields(&self) -> (bool, bool, bool, SocketAddr, u64, &str) {
        (self.ready, self.draining, self.leaving, self.address, self.ops_digest, &self.zone)
    }
}

/// What somebody says of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// Whom it is about.
    pub id: MemberId,
    /// How new it is, and the member's state.
    pub state_version: StateVersion,
    /// Who said suspect or down first; `None`: the member itself.
    pub reported_by: Option<MemberId>,
    /// For how long it has been so, where it is down or left.
    pub state_age: Micros,
    /// The member's last information about itself.
    pub info: MemberInfo,
}

#[cfg(test)]
mod tests;
