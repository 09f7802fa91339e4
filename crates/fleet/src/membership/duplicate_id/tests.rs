//! Which of two starts under one id yields.

use super::*;

#[test]
fn record_of_a_dead_one_is_superseded_and_a_younger_live_one_is_yielded_to() {
    let mut older = SupersededIncarnations::default();
    assert_eq!(older.judge(1, 1000, 9, Some(2), false), Verdict::Supersede);
    assert_eq!(older.judge(1, 1100, 9, Some(120), false), Verdict::SupersedeDuplicate);
    assert_eq!(older.judge(1, 1200, 9, Some(220), false), Verdict::Yield);
    let mut newer = SupersededIncarnations::default();
    assert_eq!(newer.judge(9, 1, 1, Some(1000), false), Verdict::Supersede);
    for age in [100, 200, 300, 400, 500, 600] {
        assert_eq!(newer.judge(9, age, 1, Some(age + 999), false), Verdict::SupersedeDuplicate);
    }
}

/// Two that started in the same moment: the nonce decides, on one side only.
#[test]
fn of_two_of_equal_age_just_one_yields() {
    let (mut low, mut high) = (SupersededIncarnations::default(), SupersededIncarnations::default());
    let mut yielded = Vec::new();
    for round in 0..10 {
        let age = 100 * round;
        if low.judge(1, age + 50, 2, Some(age + 50), false) == Verdict::Yield {
            yielded.push(1);
            break;
        }
        if high.judge(2, age + 100, 1, Some(age + 100), false) == Verdict::Yield {
            yielded.push(2);
            break;
        }
    }
    assert_eq!(yielded, [1]);
}

#[test]
fn stalled_process_yields_to_its_successor_at_once() {
    let mut late = SupersededIncarnations::default();
    assert_eq!(late.judge(1, 60_000, 9, Some(10), true), Verdict::Yield);
    assert_eq!(late.judge(1, 60_000, 9, Some(70_000), true), Verdict::Supersede);
}
