//! The replicated log under random faults, including disk faults, and with single safety checks disabled.

use cobaltspool_fleet::quorum::{Event, SafetyChecks};
use cobaltspool_fleet_sim::quorum::{ELECTION_TIMEOUT, World, run_schedule};
use rstest::rstest;

/// A failing schedule is printed with its seed and steps. To run more of them: `cargo run --release -p
/// cobaltspool-fleet-sim -- quorum`.
#[test]
fn random_schedules_preserve_committed_entries() {
    for seed in 0..400 {
        let played = run_schedule(seed, SafetyChecks::default());
        assert!(played.settled.is_ok(), "{played:#?}");
        assert!(played.committed > 10, "{played:#?}");
    }
}

/// Shows that the checker detects violations: if a restarted voter may vote at once, one of these schedules fails.
#[test]
fn without_rejoin_check_a_schedule_fails() {
    let checks = SafetyChecks { rejoin: false, ..SafetyChecks::default() };
    let broken = (0..400).map(|seed| run_schedule(seed, checks)).find(|p| p.settled.is_err());
    let broken = broken.expect("no schedule fails without the rejoin check");
    println!("{broken:#?}");
    assert!(run_schedule(broken.seed, SafetyChecks::default()).settled.is_ok());
}

/// All voters lose power at once while writes are slow: acknowledged entries must already be on a majority of the disks.
#[rstest]
#[case::messages_wait_for_the_disk(true)]
#[case::messages_do_not_wait(false)]
fn all_voters_are_killed_at_once(#[case] durable_before_send: bool) {
    let lost = (0..10).filter(|seed| {
        let mut world = World::new(*seed, 3, SafetyChecks { durable_before_send, ..SafetyChecks::default() });
        world.run_with_load(5 * ELECTION_TIMEOUT, 50_000);
        world.write_delay = (200_000, 400_000);
        world.run_with_load(5 * ELECTION_TIMEOUT, 50_000);
        (0..3).for_each(|n| world.kill(n));
        world.heal();
        world.settle().is_err()
    });
    assert_eq!(lost.count() == 0, durable_before_send);
}

/// A voter that returns after a partition must not depose a healthy leader: with the pre-vote, which voters in contact with
/// a leader reject, the leader stays.
#[rstest]
#[case::with_pre_vote(true)]
#[case::without_pre_vote(false)]
fn a_returning_voter_deposes_no_leader(#[case] pre_vote: bool) {
    let mut depositions = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 5, SafetyChecks { pre_vote, ..SafetyChecks::default() });
        world.run_with_load(5 * ELECTION_TIMEOUT, 50_000);
        let leader = world.leader().expect("a leader");
        let other = (leader + 1) % 5;
        world.isolate(other, true);
        world.run_with_load(6 * ELECTION_TIMEOUT, 50_000);
        world.heal();
        world.run_with_load(4 * ELECTION_TIMEOUT, 50_000);
        assert_eq!(world.violation, None);
        depositions += world.events.iter().filter(|(_, _, e)| *e == Event::SteppedDown).count();
    }
    assert_eq!(depositions == 0, pre_vote, "{depositions} depositions");
}

#[test]
fn a_schedule_is_deterministic() {
    let (one, two) = (run_schedule(41, SafetyChecks::default()), run_schedule(41, SafetyChecks::default()));
    assert_eq!((one.steps, one.settled, one.committed), (two.steps, two.settled, two.committed));
}
