//! Which of two processes under one id yields.

use super::*;

#[test]
fn stale_record_is_superseded_and_the_older_process_yields_to_a_live_newer_one() {
    let mut older = SupersededIncarnations::default();
    assert_eq!(older.judge(1, 1000, 9, Some(2), false), Verdict::Supersede);
    assert_eq!(older.judge(1, 1100, 9, Some(120), false), Verdict::SupersedeDuplicate);
    assert_eq!(older.judge(1, 1200, 9, Some(220), false), Verdict::Yield);
    let mut newer = SupersededIncarnations::default();
    assert_eq!(newer.judge(9, 1, 1, Some(1000), false), Verdict::Supersede);
    for uptime in [100, 200, 300, 400, 500, 600] {
        assert_eq!(newer.judge(9, uptime, 1, Some(uptime + 999), false), Verdict::SupersedeDuplicate);
    }
}

/// For two processes started at the same moment the nonce decides, so that exactly one yields.
#[test]
fn exactly_one_of_two_processes_of_equal_uptime_yields() {
    let (mut low, mut high) = (SupersededIncarnations::default(), SupersededIncarnations::default());
    let mut yielded = Vec::new();
    for round in 0..10 {
        let uptime = 100 * round;
        if low.judge(1, uptime + 50, 2, Some(uptime + 50), false) == Verdict::Yield {
            yielded.push(1);
            break;
        }
        if high.judge(2, uptime + 100, 1, Some(uptime + 100), false) == Verdict::Yield {
            yielded.push(2);
            break;
        }
    }
    assert_eq!(yielded, [1]);
}

#[test]
fn stalled_process_yields_to_its_successor_immediately() {
    let mut stalled = SupersededIncarnations::default();
    assert_eq!(stalled.judge(1, 60_000, 9, Some(10), true), Verdict::Yield);
    assert_eq!(stalled.judge(1, 60_000, 9, Some(70_000), true), Verdict::Supersede);
}
