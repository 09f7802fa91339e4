//! By how many gatekeepers a cold server's budget is divided, from what the view says. Rises at once; falls only after the
//! settling bound; never under the floor while a part of the fleet is unseen.
//!
//! Each gatekeeper sends at most its part, the budget over this number. With a floor of the fleet's true size, two halves of a
//! cut fleet each go on dividing by the whole, so all parts together never exceed the budget; with a floor that is too small
//! by a factor, they exceed it by that factor at most.

use crate::Micros;

/// What the view says at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Members that are alive or suspect, this one included.
    pub live: u32,
    /// Members that are down, and neither left nor came back.
    pub unseen: u32,
    /// No suspect and no change of late.
    pub settled: bool,
    /// Another member has been heard since the start.
    pub joined: bool,
}

/// The number, as it is from moment to moment.
#[derive(Clone, Copy, Debug)]
pub struct Fronts {
    floor: u32,
    held: u32,
    /// Since when fewer would do.
    fewer: Option<Micros>,
}

impl Fronts {
    /// The floor is what the configuration says.
    pub fn new(floor: u32) -> Fronts {
        let floor = floor.max(1);
        Fronts { floor, held: floor, fewer: None }
    }

    /// The number to divide by from now on. The bound is the view's settling bound at its size now.
    pub fn at(&mut self, now: Micros, bound: Micros, seen: Seen) -> u32 {
        // Down ones may be at work behind a cut. A process that has heard nobody yet cannot tell a small fleet from a cut.
        let whole = seen.unseen == 0 && seen.joined;
        let wanted = if whole { seen.live.max(1) } else { (seen.live + seen.unseen).max(self.floor) };
        if wanted >= self.held {
            (self.held, self.fewer) = (wanted, None);
        } else if !seen.settled {
            self.fewer = None;
        } else if now.saturating_sub(*self.fewer.get_or_insert(now)) >= bound {
            (self.held, self.fewer) = (wanted, None);
        }
        self.held
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const BOUND: Micros = 10;

    fn seen(live: u32, unseen: u32) -> Seen {
        Seen { live, unseen, settled: true, joined: true }
    }

    #[test]
    fn it_rises_at_once_and_falls_only_after_the_bound() {
        let mut fronts = Fronts::new(4);
        assert_eq!(fronts.at(0, BOUND, Seen { live: 1, joined: false, ..seen(1, 0) }), 4, "nobody heard yet");
        assert_eq!(fronts.at(1, BOUND, seen(6, 0)), 6);
        assert_eq!(fronts.at(2, BOUND, seen(3, 0)), 6);
        assert_eq!(fronts.at(2 + BOUND - 1, BOUND, seen(3, 0)), 6);
        assert_eq!(fronts.at(2 + BOUND, BOUND, seen(3, 0)), 3, "the others left");
        assert_eq!(fronts.at(99, BOUND, seen(2, 1)), 4, "one is unseen: the floor");
        assert_eq!(fronts.at(200, BOUND, Seen { settled: false, ..seen(2, 0) }), 4);
        assert_eq!(fronts.at(300, BOUND, seen(2, 0)), 4, "it counts from when the view has settled");
        assert_eq!(fronts.at(300 + BOUND, BOUND, seen(2, 0)), 2);
    }

    proptest! {
        /// Over drawn cuts, each with a view that each member comes to at a time of its own within the bound: what all
        /// could send together stays within the budget, where the floor is the fleet's size; the plain division by the
        /// live ones would send as many budgets as there are parts.
        #[test]
        fn parts_of_a_cut_fleet_never_press_a_server_past_its_budget(
            size in 2u32..12,
            cuts in proptest::collection::vec((0u32..4096, 1u64..80), 1..12),
            lags in proptest::collection::vec(0u64..BOUND, 12),
        ) {
            let mut all: Vec<Fronts> = (0..size).map(|_| Fronts::new(size)).collect();
            let mut plain_worst = 0.0f64;
            let (mut start, mut before) = (0, 0);
            for (cut, length) in cuts {
                for now in start..start + length {
                    let mut sum = 0.0;
                    let mut plain = 0.0;
                    for (n, fronts) in all.iter_mut().enumerate() {
                        let side = |cut: u32| (0..size).filter(|m| cut >> m & 1 == cut >> n & 1).count() as u32;
                        let settled = now >= start + lags[n];
                        let live = side(if settled { cut } else { before });
                        sum += 1.0 / f64::from(fronts.at(now, BOUND, Seen { settled, ..seen(live, size - live) }));
                        plain += 1.0 / f64::from(live);
                    }
                    prop_assert!(sum <= 1.0 + 1e-9, "{sum} budgets at {now}");
                    plain_worst = plain_worst.max(plain);
                }
                start += length;
                before = cut;
            }
            prop_assert!(plain_worst >= 1.0 - 1e-9);
        }
    }
}
