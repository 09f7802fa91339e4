//! Two starts under one id. A start that hears of another incarnation above its own goes above it once: that other may be the
//! memory of a dead one. One that comes back above it lives. Then the two compare how long each has run, by their own
//! monotonic clocks, and the older start yields: it falls silent in the fleet, serves calls as before, and comes back when
//! nobody has the id any more.

use std::net::SocketAddr;

use crate::Micros;

/// Maximum number of other incarnations that are remembered.
const MAX_SUPERSEDED: usize = 16;
/// So often the other may come back before its age is compared: the record of a dead one may arrive in pieces.
const RETURNS_BEFORE_COMPARISON: u32 = 2;
/// From here on the nonce decides, where the ages are too close to tell.
const RETURNS_BEFORE_TIE_BREAK: u32 = 5;

/// Another start under our id that is known to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateProcess {
    /// Its nonce.
    pub nonce: u64,
    /// Where it says that it is reached.
    pub address: SocketAddr,
    /// How long it had run when that was last told.
    pub uptime: Micros,
}

/// What to do about a incarnation above our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Take a generation above it.
    Supersede,
    /// It is alive: take a generation above it, and report it.
    SupersedeDuplicate,
    /// It is alive and the newer start: fall silent.
    Yield,
}

/// A incarnation that we went above.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    nonce: u64,
    /// Our age then.
    age: Micros,
    returns: u32,
}

/// The incarnations that we have superseded.
#[derive(Clone, Debug, Default)]
pub(super) struct SupersededIncarnations(Vec<Superseded>);

impl SupersededIncarnations {
    /// A incarnation above ours was told, with the age that it told; `stalled`: we missed time a moment ago, so that a successor may
    /// have come meanwhile.
    pub fn judge(
        &mut self,
        own: u64,
        age: Micros,
        other: u64,
        its_age: Option<Micros>,
        stalled: bool,
    ) -> Verdict {
        if stalled && its_age.is_some_and(|its| its < age) {
            return Verdict::Yield;
        }
        let Some(superseded) = self.0.iter_mut().find(|p| p.nonce == other) else {
            if self.0.len() >= MAX_SUPERSEDED {
                self.0.remove(0);
            }
            self.0.push(Superseded { nonce: other, age, returns: 0 });
            return Verdict::Supersede;
        };
        // Without its age nothing can be judged, nor counted.
        let Some(its_age) = its_age else { return Verdict::Supersede };
        superseded.returns += 1;
        let before = std::mem::replace(&mut superseded.age, age);
        if superseded.returns < RETURNS_BEFORE_COMPARISON {
            Verdict::SupersedeDuplicate
        } else if its_age < before
            || superseded.returns >= RETURNS_BEFORE_TIE_BREAK && its_age <= age && own < other
        {
            // It told its age after we went above it, and had run for less than we had then.
            Verdict::Yield
        } else {
            Verdict::SupersedeDuplicate
        }
    }

    /// Nobody has the id any more.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
