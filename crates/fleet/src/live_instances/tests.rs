//! When the number rises and falls, and that the sides of a partitioned fleet together stay within the budget.

use proptest::prelude::*;

use super::*;

const BOUND: Micros = 10;

fn summary(live: u32, unseen: u32) -> MembershipSummary {
    MembershipSummary { live, down: unseen, is_settled: true, has_joined: true }
}

#[test]
fn rises_at_once_and_falls_only_after_the_bound() {
    let mut instances = LiveInstances::new(4);
    let no_member = MembershipSummary { has_joined: false, ..summary(1, 0) };
    assert_eq!(instances.update(0, BOUND, no_member), 4, "no other member heard from yet");
    assert_eq!(instances.update(1, BOUND, summary(6, 0)), 6);
    assert_eq!(instances.update(2, BOUND, summary(3, 0)), 6);
    assert_eq!(instances.update(2 + BOUND - 1, BOUND, summary(3, 0)), 6);
    assert_eq!(instances.update(2 + BOUND, BOUND, summary(3, 0)), 3, "the others left");
    assert_eq!(instances.update(99, BOUND, summary(2, 1)), 4, "one member is down: the floor applies");
    let unsettled = MembershipSummary { is_settled: false, ..summary(2, 0) };
    assert_eq!(instances.update(200, BOUND, unsettled), 4);
    assert_eq!(
        instances.update(300, BOUND, summary(2, 0)),
        4,
        "the bound runs from when the membership has settled"
    );
    assert_eq!(instances.update(300 + BOUND, BOUND, summary(2, 0)), 2);
}

proptest! {
    /// Simulates random partitions that each member detects after its own delay within the bound. With the floor at the
    /// fleet's size, the shares of all members add up to at most one budget. Dividing by the live members only would
    /// allow one budget per side of the partition.
    #[test]
    fn sides_of_a_partitioned_fleet_never_exceed_a_servers_budget(
        size in 2u32..12,
        cuts in proptest::collection::vec((0u32..4096, 1u64..80), 1..12),
        delays in proptest::collection::vec(0u64..BOUND, 12),
    ) {
        let mut all: Vec<LiveInstances> = (0..size).map(|_| LiveInstances::new(size)).collect();
        let mut max_by_live = 0.0f64;
        let (mut start, mut previous_cut) = (0, 0);
        for (cut, length) in cuts {
            for now in start..start + length {
                let mut sum = 0.0;
                let mut by_live = 0.0;
                for (n, instances) in all.iter_mut().enumerate() {
                    let side = |cut: u32| (0..size).filter(|m| cut >> m & 1 == cut >> n & 1).count() as u32;
                    let is_settled = now >= start + delays[n];
                    let live = side(if is_settled { cut } else { previous_cut });
                    let observed = MembershipSummary { is_settled, ..summary(live, size - live) };
                    sum += 1.0 / f64::from(instances.update(now, BOUND, observed));
                    by_live += 1.0 / f64::from(live);
                }
                prop_assert!(sum <= 1.0 + 1e-9, "{sum} budgets at {now}");
                max_by_live = max_by_live.max(by_live);
            }
            start += length;
            previous_cut = cut;
        }
        prop_assert!(max_by_live >= 1.0 - 1e-9);
    }
}
