//! Work on behalf of the fleet, each item with one owner at a time. The log says whose an item is, by a token that only grows
//! ([`Grants`], the log's machine); leases say for how long that may be relied upon ([`keeper`], at the leader, and [`holder`], at the
//! member); fences keep an owner that wakes up late from doing harm where its effects arrive ([`fence`]).
//!
//! A lease is counted by the holder from before it asked, and by the leader from after its answer was confirmed by a majority,
//! and longer by [`DRIFT`]. So as long as no clock runs faster or slower than another by more than that, nobody is granted
//! an item before its last holder has put it down. Where a clock does worse, tokens still part the two.

pub mod fence;
pub mod holder;
pub mod keeper;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::member::{MemberId, NAME_BYTES};
use crate::quorum::machine::Machine;

/// Most items; further ones are not granted.
pub const WORKS_MOST: usize = 2_048;
/// Most items that one order grants or frees.
pub const CHANGES_MOST: usize = 16;
/// Clocks may differ by one part in so many over a lease.
pub const DRIFT: u64 = 20;

/// For how long the leader counts a lease: longer than the holder does, by twice the drift, for both clocks may be off.
pub fn counted(lease: Micros) -> Micros {
    lease + lease * 2 / DRIFT + 1
}

/// The name of an item of work, as in `release` or `trial/s-3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Work(Arc<str>);

impl Work {
    /// A name: 1 to 48 printable characters without spaces.
    pub fn new(text: &str) -> Option<Work> {
        let fits = (1..=NAME_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        fits.then(|| Work(text.into()))
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for Work {
    type Error = &'static str;

    fn try_from(text: Arc<str>) -> Result<Work, &'static str> {
        Work::new(&text).ok_or("no item's name")
    }
}

impl From<Work> for Arc<str> {
    fn from(work: Work) -> Arc<str> {
        work.0
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A member's process: its id and the nonce of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    /// Its id.
    pub id: MemberId,
    /// Which of its starts.
    pub start: u64,
}

/// Whose an item is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// `None`: nobody's.
    pub owner: Option<Who>,
    /// The token of this or, where it is nobody's, of the last grant. It is the log's index of the order, and so only grows.
    pub token: u64,
}

/// One change that an order makes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The item.
    pub work: Work,
    /// Its token as the one who orders knows it; where another holds by now, nothing is done.
    pub after: u64,
    /// Whose it is from now on; `None`: nobody's.
    pub to: Option<Who>,
}

/// The machine that the log is for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    works: BTreeMap<Work, Grant>,
}

impl Grants {
    /// Whose an item is; `None`: it was never anybody's.
    pub fn of(&self, work: &Work) -> Option<&Grant> {
        self.works.get(work)
    }

    /// All items, by name.
    pub fn all(&self) -> impl Iterator<Item = (&Work, &Grant)> {
        self.works.iter()
    }
}

impl Machine for Grants {
    /// How many of the changes were made.
    type Answer = u16;

    fn apply(&mut self, index: u64, body: &[u8]) -> u16 {
        let Ok(changes) = postcard::from_bytes::<Vec<Change>>(body) else { return 0 };
        let mut made = 0;
        for change in changes.into_iter().take(CHANGES_MOST) {
            let full = self.works.len() >= WORKS_MOST && !self.works.contains_key(&change.work);
            let held = self.works.get(&change.work).map_or(0, |grant| grant.token);
            if full || held != change.after {
                continue;
            }
            // A freed item keeps its token: the next grant has to be above it.
            let token = if change.to.is_some() { index } else { held };
            self.works.insert(change.work, Grant { owner: change.to, token });
            made += 1;
        }
        made
    }
}

/// An order's body.
pub fn body(changes: &[Change]) -> Vec<u8> {
    postcard::to_stdvec(changes).unwrap_or_default()
}

/// What a member asks the leader, again and again: that it is there, what it would do, and what it puts down.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Who asks.
    pub who: Who,
    /// ClassCounters its claims.
    pub number: u64,
    /// Items that it would own.
    pub wants: Vec<Work>,
    /// Items that it has put down, with the tokens that it held.
    pub drops: Vec<(Work, u64)>,
}

/// The leader's answer, confirmed by a majority after the claim came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimed {
    /// The claim.
    pub number: u64,
    /// What is the asker's, with tokens; anything else is not.
    pub yours: Vec<(Work, u64)>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn who(id: &str) -> Option<Who> {
        MemberId::new(id).map(|id| Who { id, start: 1 })
    }

    fn change(work: &str, after: u64, to: Option<Who>) -> Vec<u8> {
        body(&[Change { work: Work::new(work).unwrap(), after, to }])
    }

    #[test]
    fn tokens_grow_and_an_order_that_was_overtaken_does_nothing() {
        let (mut grants, work) = (Grants::default(), Work::new("release").unwrap());
        assert_eq!(grants.apply(3, &change("release", 0, who("n1"))), 1);
        assert_eq!(grants.apply(4, &change("release", 0, who("n2"))), 0, "ordered before that was known");
        assert_eq!(grants.of(&work), Some(&Grant { owner: who("n1"), token: 3 }));
        assert_eq!(grants.apply(5, &change("release", 3, None)), 1);
        assert_eq!(grants.of(&work), Some(&Grant { owner: None, token: 3 }));
        assert_eq!(grants.apply(9, &change("release", 3, who("n2"))), 1);
        assert_eq!(grants.of(&work).unwrap().token, 9);
        assert_eq!(grants.apply(10, b"nonsense"), 0);
    }

    #[test]
    fn items_are_bounded() {
        let mut grants = Grants::default();
        for n in 0..WORKS_MOST as u64 + 5 {
            grants.apply(n + 1, &change(&format!("w{n}"), 0, who("n1")));
        }
        assert_eq!(grants.all().count(), WORKS_MOST);
    }
}
