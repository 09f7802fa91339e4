//! Two starts under one id. A start that hears of another life above its own goes above it once: that other may be the
//! memory of a dead one. One that comes back above it lives. Then the two compare how long each has run, by their own
//! monotonic clocks, and the older start yields: it falls silent in the fleet, serves calls as before, and comes back when
//! nobody has the id any more.

use std::net::SocketAddr;

use crate::Micros;

/// Most other lives that are remembered.
const MOST: usize = 16;
/// So often the other may come back before its age is looked at: a memory may be told in pieces.
const FIGHTS: u32 = 2;
/// From here on the nonce decides, where the ages are too close to tell.
const FIGHTS_EVEN: u32 = 5;

/// Another start under our id that is known to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Twin {
    /// Its nonce.
    pub nonce: u64,
    /// Where it says that it is reached.
    pub address: SocketAddr,
    /// How long it had run when that was last told.
    pub age: Micros,
}

/// What to do about a life above our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Go above it.
    Over,
    /// It lives: go above it, and say so.
    OverTwin,
    /// It lives and is the newer start: fall silent.
    Yield,
}

/// A life that we went above.
#[derive(Clone, Copy, Debug)]
struct Passed {
    nonce: u64,
    /// Our age then.
    age: Micros,
    fights: u32,
}

/// The lives that we went above.
#[derive(Clone, Debug, Default)]
pub(super) struct Lives(Vec<Passed>);

impl Lives {
    /// A life above ours was told, with the age that it told; `stalled`: we missed time a moment ago, so that a successor may
    /// have come meanwhile.
    pub fn above(
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
        let Some(passed) = self.0.iter_mut().find(|p| p.nonce == other) else {
            if self.0.len() >= MOST {
                self.0.remove(0);
            }
            self.0.push(Passed { nonce: other, age, fights: 0 });
            return Verdict::Over;
        };
        // Without its age nothing can be judged, nor counted.
        let Some(its_age) = its_age else { return Verdict::Over };
        passed.fights += 1;
        let before = std::mem::replace(&mut passed.age, age);
        if passed.fights < FIGHTS {
            Verdict::OverTwin
        } else if its_age < before || passed.fights >= FIGHTS_EVEN && its_age <= age && own < other {
            // It told its age after we went above it, and had run for less than we had then.
            Verdict::Yield
        } else {
            Verdict::OverTwin
        }
    }

    /// Nobody has the id any more.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_memory_of_a_dead_one_is_passed_and_a_living_younger_one_is_yielded_to() {
        let mut older = Lives::default();
        assert_eq!(older.above(1, 1000, 9, Some(2), false), Verdict::Over);
        assert_eq!(older.above(1, 1100, 9, Some(120), false), Verdict::OverTwin);
        assert_eq!(older.above(1, 1200, 9, Some(220), false), Verdict::Yield);
        let mut newer = Lives::default();
        assert_eq!(newer.above(9, 1, 1, Some(1000), false), Verdict::Over);
        for age in [100, 200, 300, 400, 500, 600] {
            assert_eq!(newer.above(9, age, 1, Some(age + 999), false), Verdict::OverTwin);
        }
    }

    /// Two that started in the same moment: the nonce decides, on one side only.
    #[test]
    fn of_two_of_one_age_just_one_yields() {
        let (mut low, mut high) = (Lives::default(), Lives::default());
        let mut yielded = Vec::new();
        for round in 0..10 {
            let age = 100 * round;
            if low.above(1, age + 50, 2, Some(age + 50), false) == Verdict::Yield {
                yielded.push(1);
                break;
            }
            if high.above(2, age + 100, 1, Some(age + 100), false) == Verdict::Yield {
                yielded.push(2);
                break;
            }
        }
        assert_eq!(yielded, [1]);
    }

    #[test]
    fn one_that_wakes_up_late_yields_to_its_successor_at_once() {
        let mut late = Lives::default();
        assert_eq!(late.above(1, 60_000, 9, Some(10), true), Verdict::Yield);
        assert_eq!(late.above(1, 60_000, 9, Some(70_000), true), Verdict::Over);
    }
}
