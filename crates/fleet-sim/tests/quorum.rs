//! The log under drawn faults, of disks too, and with each guard taken out.

use cobaltspool_fleet::quorum::{Event, SafetyChecks};
use cobaltspool_fleet_sim::quorum::{ELECTION_TIMEOUT, World, play};
use rstest::rstest;

/// Schedules drawn by seed; a wrong one is told with its seed and steps. More of them: `cargo run --release -p
/// cobaltspool-fleet-sim -- quorum`.
#[test]
fn drawn_schedules_keep_what_was_acknowledged() {
    for seed in 0..400 {
        let played = play(seed, SafetyChecks::default());
        assert!(played.settled.is_ok(), "{played:#?}");
        assert!(played.committed > 10, "{played:#?}");
    }
}

/// The checker is seen to fail: where a start votes at once, one of these schedules breaks.
#[test]
fn without_reentry_a_schedule_breaks() {
    let checks = SafetyChecks { rejoin: false, ..SafetyChecks::default() };
    let broken = (0..400).map(|seed| play(seed, checks)).find(|p| p.settled.is_err());
    let broken = broken.expect("no schedule breaks without the guard");
    println!("{broken:#?}");
    assert!(play(broken.seed, SafetyChecks::default()).settled.is_ok());
}

/// The power fails everywhere at once while writes take their time: what was acknowledged was on a majority's disks by then.
#[rstest]
#[case::a_promise_waits_for_the_disk(true)]
#[case::it_does_not(false)]
fn all_are_killed_at_once(#[case] disk_first: bool) {
    let lost = (0..10).filter(|seed| {
        let mut world =
            World::new(*seed, 3, SafetyChecks { durable_before_send: disk_first, ..SafetyChecks::default() });
        world.serve(5 * ELECTION_TIMEOUT, 50_000);
        world.write = (200_000, 400_000);
        world.serve(5 * ELECTION_TIMEOUT, 50_000);
        (0..3).for_each(|n| world.kill(n));
        world.heal();
        world.settles().is_err()
    });
    assert_eq!(lost.count() == 0, disk_first);
}

/// Who comes back from a cut or a stop unseats nobody in good health: with the question first, and deaf ears for it, one leader stays.
#[rstest]
#[case::with_the_question(true)]
#[case::without(false)]
fn one_that_comes_back_unseats_nobody(#[case] pre_vote: bool) {
    let mut unseated = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 5, SafetyChecks { pre_vote, ..SafetyChecks::default() });
        world.serve(5 * ELECTION_TIMEOUT, 50_000);
        let leader = world.leader().expect("a leader");
        let other = (leader + 1) % 5;
        world.cut_off(other, true);
        world.serve(6 * ELECTION_TIMEOUT, 50_000);
        world.heal();
        world.serve(4 * ELECTION_TIMEOUT, 50_000);
        assert_eq!(world.wrong, None);
        unseated += world.events.iter().filter(|(_, _, e)| *e == Event::SteppedDown).count();
    }
    assert_eq!(unseated == 0, pre_vote, "{unseated} times");
}

#[test]
fn a_schedule_plays_the_same_each_time() {
    let (one, two) = (play(41, SafetyChecks::default()), play(41, SafetyChecks::default()));
    assert_eq!((one.steps, one.settled, one.committed), (two.steps, two.settled, two.committed));
}
