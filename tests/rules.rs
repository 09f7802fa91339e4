//! The five rules, each by its own guard.

mod common;
use cobaltspool::*;
use common::*;

const NO_LOAD: LoadReport = LoadReport {
    busy: None,
    waiting: None,
    in_work: None,
    wait_ms: None,
    allowed: None,
    cut: None,
    free_lines: None,
    lines: None,
};

#[test]
fn one_final_answer_by_due_for_an_unanswered_attempt() {
    let mut bed = Bed::new(1);
    bed.call(1, 0);
    let due = bed.now + 3 * SEC;
    bed.pass(10 * SEC);
    assert_eq!((bed.sent(1).len(), bed.finals(1)), (1, 1));
    let at = bed.log.iter().find(|(_, a)| matches!(a, Action::Fail { .. })).expect("failed").0;
    assert!(at <= due + 20 * MS);
    let before = bed.log.len();
    bed.ends(1, Outcome::TimedOut, Cause::Untold, NO_LOAD);
    bed.pass(5 * SEC);
    assert_eq!(bed.log.len(), before, "nothing more for a call that is over");
}

#[test]
fn no_answer_after_the_caller_has_gone_or_the_call_ended() {
    let mut bed = Bed::new(1);
    bed.call(1, 0);
    bed.event(Event::CallerGone { call: CallId(1) });
    bed.event(Event::CallerGone { call: CallId(99) });
    bed.ends(1, Outcome::Full, Cause::NoLine, NO_LOAD);
    bed.pass(600 * MS);
    bed.call(2, 0);
    bed.pass(10 * MS);
    bed.stands(2, 10 * MS);
    bed.pass(10 * SEC);
    bed.ends(2, Outcome::Cut, Cause::Untold, NO_LOAD);
    assert_eq!((bed.finals(1), bed.finals(2), bed.sent(1).len(), bed.sent(2).len()), (0, 0, 1, 1));
}

#[test]
fn answers_without_servers_or_open_pool() {
    let mut bed = Bed::new(0);
    bed.call(1, 0);
    bed.pass(4 * SEC);
    assert_eq!(bed.finals(1), 1);
    let mut set = settings();
    set.classes[0].pools = Some(vec![PoolId(7)]);
    let mut bed = Bed::with(set, 2);
    bed.call(2, 0);
    bed.pass(4 * SEC);
    assert_eq!((bed.sent(2).len(), bed.finals(2)), (0, 1), "no pool of its class");
    bed.call_as(3, 55, 9, 0);
    bed.pass(4 * SEC);
    assert!(bed.sent(3).len() + bed.finals(3) > 0, "an unknown class is odd input, not a panic");
}

#[test]
fn one_attempt_at_a_time_and_no_more_than_allowed() {
    let mut bed = Bed::new(6);
    bed.call(1, 0);
    for n in 1..=5 {
        assert_eq!(bed.sent(1).len(), n, "the next only after the last has ended");
        bed.pass(20 * MS);
        assert_eq!(bed.sent(1).len(), n);
        bed.ends(1, Outcome::Full, Cause::NoLine, NO_LOAD);
    }
    bed.pass(4 * SEC);
    assert_eq!((bed.sent(1).len(), bed.finals(1)), (5, 1));
}

#[test]
fn void_attempt_counts_and_the_call_goes_on() {
    let mut bed = Bed::new(2);
    bed.call(1, 0);
    bed.ends(1, Outcome::Void, Cause::Untold, NO_LOAD);
    assert_eq!(bed.sent(1), [0, 1]);
}

#[test]
fn nothing_new_to_a_draining_gone_or_missing_server() {
    for scope in [ListScope::Changes, ListScope::Whole] {
        for status in [Status::Draining, Status::Removed] {
            let mut bed = Bed::new(2);
            bed.list(scope, vec![up(1), ServerEntry { status, ..up(0) }]);
            bed.call(1, 0);
            assert_eq!(bed.sent(1), [1], "{scope:?} {status:?}");
        }
    }
    let mut bed = Bed::new(2);
    bed.list(ListScope::Whole, vec![up(1)]);
    bed.call(1, 0);
    assert_eq!(bed.sent(1), [1], "missing from a whole list is gone");
}

#[test]
fn release_is_awaited() {
    for outcome in [Outcome::TimedOut, Outcome::Cut, Outcome::Cancelled] {
        let mut bed = Bed::new(2);
        bed.call(1, 0);
        bed.pass(50 * MS);
        bed.ends(1, outcome, Cause::Untold, NO_LOAD);
        let told = bed.now;
        bed.pass(290 * MS);
        assert_eq!(bed.sent(1).len(), 1, "{outcome:?}: still within the release wait");
        bed.pass(50 * MS);
        assert_eq!(bed.sent(1).len(), 2, "{outcome:?}: sent again after it");
        let at = bed.log.iter().rfind(|(_, a)| matches!(a, Action::Attempt { .. })).unwrap().0;
        assert!(at >= told + 300 * MS);
    }
}

#[test]
fn an_effect_that_may_have_run_is_not_repeated() {
    let mut set = settings();
    set.classes[0].repeatable = false;
    let mut bed = Bed::with(set, 2);
    bed.call(1, 0);
    bed.pass(50 * MS);
    bed.ends(1, Outcome::TimedOut, Cause::Untold, NO_LOAD);
    bed.pass(4 * SEC);
    assert_eq!(bed.sent(1).len(), 1);
    assert!(bed.log.iter().any(|(_, a)| *a == Action::Fail { call: CallId(1) }), "failed, not refused");
}

/// Four fronts send 40 calls a second in all to a pair of servers, one just started: capacity is at least 20 a
/// second each, so the cold one may get 2 x 0.3 x 20 x 1.5 s = 18 in its first 1.5 s, 4.5 from each front.
#[test]
fn cold_budget_holds_over_every_window() {
    let mut bed = Bed::new(2);
    let mut id = 0;
    let mut sends: Vec<Micros> = Vec::new();
    for step in 0..2_500 {
        if step == 1_000 {
            let started_at = bed.now - 500 * MS;
            bed.list(ListScope::Changes, vec![ServerEntry { started_at, ..up(0) }]);
        }
        if step % 10 == 0 {
            id += 1;
            bed.call(id, 0);
            if bed.sent(id) == [0] && step >= 1_000 {
                sends.push(bed.now);
            }
            if !bed.sent(id).is_empty() {
                bed.stands(id, 20 * MS);
            }
        }
        bed.pass(10 * MS);
    }
    assert!(!sends.is_empty(), "a cold server still gets some calls");
    for (n, from) in sends.iter().enumerate() {
        let within = sends[n..].iter().filter(|t| **t < from + 1_500 * MS).count();
        let age = (from - sends[0]) as f64 / (15.0 * SEC as f64) + 0.1;
        let share = (0.3 + 0.7 * age).min(1.0);
        assert!(
            within as f64 <= 2.0 * share * 5.0 * 1.5 + 1.0,
            "{within} sends in a window, share {share:.2}"
        );
    }
}

#[test]
fn a_server_that_restarts_under_its_id_is_cold_again() {
    let mut bed = Bed::new(1);
    for id in 1..20 {
        bed.learn(id, 0, 20 * MS);
        bed.pass(200 * MS);
    }
    let started_at = bed.now;
    bed.list(ListScope::Changes, vec![ServerEntry { started_at, ..up(0) }]);
    for id in 20..40 {
        bed.call(id, 0);
    }
    let sent = (20..40).filter(|id| !bed.sent(*id).is_empty()).count();
    assert!(sent <= 1, "{sent} sent at once to a server that has just restarted");
}

#[test]
fn restart_with_an_old_list_serves_at_once() {
    let mut bed = Bed::new(2);
    bed.call(1, 1);
    assert_eq!(bed.sent(1), [1]);
}

#[test]
fn odd_timers_and_clocks_do_no_harm() {
    let mut bed = Bed::new(1);
    bed.event(Event::Timer { key: 77 });
    bed.call(1, 0);
    bed.now += 3_600 * SEC;
    bed.event(Event::Timer { key: 0 });
    assert_eq!(bed.finals(1), 1, "answered as soon as the clock is seen to be past due");
    bed.ends(1, Outcome::TimedOut, Cause::Untold, NO_LOAD);
    bed.now = 5;
    bed.event(Event::Timer { key: 0 });
    bed.event(Event::ListUnavailable);
    bed.event(Event::Message { from: 3, bytes: vec![1] });
    bed.report(9, NO_LOAD);
    bed.now += 3_800 * SEC;
    bed.call(2, 0);
    assert_eq!(bed.sent(2), [0]);
}

/// Tana-freight-later rules-2: 81 fronts each saved up a token for a cold server and spent all at once.
#[test]
fn many_fronts_do_not_save_up_a_cold_budget() {
    let mut fronts: Vec<Bed> =
        (0..60).map(|seed| Bed { front: Controller::new(settings(), seed), ..Bed::new(0) }).collect();
    let mut sent = 0;
    for bed in &mut fronts {
        bed.list(ListScope::Whole, vec![up(0), up(1)]);
        let one_call_a_second = |bed: &mut Bed, from: u64, to: u64| {
            for id in from..to {
                bed.call(id, 1);
                bed.pass(20 * MS);
                bed.stands(id, 20 * MS);
                bed.pass(980 * MS);
            }
        };
        one_call_a_second(bed, 1, 20);
        let started_at = bed.now;
        bed.list(ListScope::Changes, vec![ServerEntry { started_at, ..up(0) }]);
        one_call_a_second(bed, 20, 27);
        bed.call(100, 0);
        sent += usize::from(bed.sent(100) == [0]);
    }
    assert!((1..=20).contains(&sent), "{sent} of 60 fronts had a token in hand at one moment");
}

/// A front that sends 40 calls a second to servers of 10 and of 90 lines gives a cold small one its size's share.
#[test]
fn a_small_cold_server_gets_a_small_share() {
    let sent_to_cold = |lines: f64| {
        let mut bed = Bed::new(2);
        for (server, lines) in [(0, lines), (1, 90.0)] {
            let load = LoadReport { lines: Some(lines), free_lines: Some(lines), ..LoadReport::default() };
            bed.report(server, load);
        }
        let mut sent = 0;
        for id in 0..800 {
            if id == 400 {
                let started_at = bed.now;
                bed.list(ListScope::Changes, vec![ServerEntry { started_at, ..up(0) }]);
            }
            bed.call(id, 0);
            sent += usize::from(id >= 400 && bed.sent(id) == [0]);
            if !bed.sent(id).is_empty() {
                bed.stands(id, 5 * MS);
            }
            bed.pass(25 * MS);
        }
        sent
    };
    let (small, even) = (sent_to_cold(10.0), sent_to_cold(90.0));
    assert!(small > 0 && 3 * small < even, "{small} with a tenth of the lines, {even} with half");
}
