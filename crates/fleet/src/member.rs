//! A member: its name, its lives, what it tells of itself, and which of two words about it is the newer.
//!
//! Wall time decides nothing here. A start draws a nonce, and takes a generation above every other that it hears of under
//! its id; that is what makes a newer start win without a disk.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The longest id, zone and version, in bytes.
pub const NAME_BYTES: usize = 48;
/// Fields of a newer version that are passed on unread: so many bytes of one member; further ones are left out.
pub const UNKNOWN_BYTES: usize = 64;

/// A member's id: the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct MemberId(Arc<str>);

impl MemberId {
    /// An id: 1 to 48 letters, digits, dots, dashes or underscores.
    pub fn new(text: &str) -> Option<MemberId> {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        ((1..=NAME_BYTES).contains(&text.len()) && text.bytes().all(fits)).then(|| MemberId(text.into()))
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for MemberId {
    type Error = &'static str;

    fn try_from(text: Arc<str>) -> Result<MemberId, &'static str> {
        MemberId::new(&text).ok_or("no member's id")
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
pub struct Life {
    /// Above that of every other start known when it was taken: the member's incarnation.
    pub generation: u64,
    /// Drawn at the start; tells two starts of one generation apart.
    pub nonce: u64,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It is there.
    Alive,
    /// It has not answered somebody, and may still refute that.
    Suspect,
    /// It has not refuted it in time.
    Down,
    /// It said that it goes.
    Left,
}

impl State {
    /// Counted as there.
    pub fn live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Its name in status and log.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "down",
            State::Left => "left",
        }
    }
}

/// What orders the words about one member: life, then its own count, then the graver state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Of which start.
    pub life: Life,
    /// Counted by the member itself: each refutation and each piece of news is one more.
    pub seq: u32,
    /// How it stands.
    pub state: State,
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its program's version.
    pub version: Arc<str>,
    /// How long it had run when it told this.
    pub age: Micros,
    /// It takes clients.
    pub ready: bool,
    /// It sends clients away by an order of staff.
    pub draining: bool,
    /// It is on its way out, and will say when it has left.
    pub leaving: bool,
    /// Calls open and standing, of late.
    pub calls: u32,
    /// The age of its list of servers, in milliseconds; `None`: it has none.
    pub list_age: Option<u64>,
    /// Digest of its operators' file; 0: it has none.
    pub ops: u64,
    /// What a newer version told besides, as it came.
    pub unknown: Vec<(u8, Vec<u8>)>,
}

impl News {
    /// News of a process that has just started.
    pub fn at(address: SocketAddr) -> News {
        News {
            zone: "".into(),
            address,
            version: "".into(),
            age: 0,
            ready: false,
            draining: false,
            leaving: false,
            calls: 0,
            list_age: None,
            ops: 0,
            unknown: Vec::new(),
        }
    }

    /// What others have to hear of soon: all but figures that change with every call.
    pub(crate) fn matters(&self) -> (bool, bool, bool, SocketAddr, u64, &str) {
        (self.ready, self.draining, self.leaving, self.address, self.ops, &self.zone)
    }
}

/// A word about a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Whom it is about.
    pub id: MemberId,
    /// How new it is, and how the member stands.
    pub stamp: Stamp,
    /// Who said suspect or down first on the way to here; `None`: the member itself.
    pub by: Option<MemberId>,
    /// For how long it has stood so, where it is down or left.
    pub since: Micros,
    /// What the member told of itself last.
    pub news: News,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_has_letters_and_an_end() {
        for bad in ["", "a b", "ž", "a/b", &"x".repeat(NAME_BYTES + 1)] {
            assert_eq!(MemberId::new(bad), None, "{bad}");
        }
        assert!(MemberId::new("osijek-2.b_1").is_some());
    }

    #[test]
    fn a_newer_start_goes_before_an_older_ones_word_and_a_graver_state_before_a_lighter() {
        let stamp = |generation, seq, state| Stamp { life: Life { generation, nonce: 9 }, seq, state };
        assert!(stamp(2, 0, State::Alive) > stamp(1, 9, State::Left));
        assert!(stamp(1, 3, State::Alive) > stamp(1, 2, State::Down));
        assert!(stamp(1, 2, State::Down) > stamp(1, 2, State::Suspect));
    }
}
