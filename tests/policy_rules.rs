//! Tests of the five rules that every decision must satisfy.

mod policy_harness;
use cobaltspool::*;
use policy_harness::*;

const NO_LOAD: LoadReport = LoadReport {
    utilization: None,
    queued_setups: None,
    messages_in_progress: None,
    queueing_delay_ms: None,
    allowed_rate: None,
    requested_reduction: None,
    free_lines: None,
    total_lines: None,
};

#[test]
fn unanswered_attempt_gets_one_final_answer_by_the_deadline() {
    let mut harness = PolicyHarness::new(1);
    harness.call(1, 0);
    let deadline = harness.now + 3 * SEC;
    harness.advance(10 * SEC);
    assert_eq!((harness.attempts(1).len(), harness.final_answers(1)), (1, 1));
    let at = harness.log.iter().find(|(_, action)| matches!(action, Action::Fail { .. })).expect("failed").0;
    assert!(at <= deadline + 20 * MS);
    let before = harness.log.len();
    harness.end_attempt(1, Outcome::TimedOut, Cause::Unspecified, NO_LOAD);
    harness.advance(5 * SEC);
    assert_eq!(harness.log.len(), before, "no further actions for a call that is over");
}

#[test]
fn gives_no_final_answer_after_the_caller_has_released_the_call_or_it_ended() {
    let mut harness = PolicyHarness::new(1);
    harness.call(1, 0);
    harness.event(Event::CallerGone { call: CallId(1) });
    harness.event(Event::CallerGone { call: CallId(99) });
    harness.end_attempt(1, Outcome::Rejected, Cause::NoFreeLine, NO_LOAD);
    harness.advance(600 * MS);
    harness.call(2, 0);
    harness.advance(10 * MS);
    harness.establish(2, 10 * MS);
    harness.advance(10 * SEC);
    harness.end_attempt(2, Outcome::Reset, Cause::Unspecified, NO_LOAD);
    assert_eq!(
        (
            harness.final_answers(1),
            harness.final_answers(2),
            harness.attempts(1).len(),
            harness.attempts(2).len()
        ),
        (0, 0, 1, 1)
    );
}

#[test]
fn answers_calls_without_servers_or_an_eligible_pool() {
    let mut harness = PolicyHarness::new(0);
    harness.call(1, 0);
    harness.advance(4 * SEC);
    assert_eq!(harness.final_answers(1), 1);
    let mut set = settings();
    set.classes[0].pools = Some(vec![PoolId(7)]);
    let mut harness = PolicyHarness::with(set, 2);
    harness.call(2, 0);
    harness.advance(4 * SEC);
    assert_eq!(
        (harness.attempts(2).len(), harness.final_answers(2)),
        (0, 1),
        "no server in a pool of its class"
    );
    harness.call_with(3, 55, 9, 0);
    harness.advance(4 * SEC);
    assert!(
        harness.attempts(3).len() + harness.final_answers(3) > 0,
        "a call of an unknown class must be handled without a panic"
    );
}

#[test]
fn sends_one_attempt_at_a_time_and_at_most_the_maximum() {
    let mut harness = PolicyHarness::new(6);
    harness.call(1, 0);
    for n in 1..=5 {
        assert_eq!(harness.attempts(1).len(), n, "the next attempt only after the last one has ended");
        harness.advance(20 * MS);
        assert_eq!(harness.attempts(1).len(), n);
        harness.end_attempt(1, Outcome::Rejected, Cause::NoFreeLine, NO_LOAD);
    }
    harness.advance(4 * SEC);
    assert_eq!((harness.attempts(1).len(), harness.final_answers(1)), (5, 1));
}

#[test]
fn attempt_that_was_not_sent_counts_and_the_call_is_retried() {
    let mut harness = PolicyHarness::new(2);
    harness.call(1, 0);
    harness.end_attempt(1, Outcome::NotSent, Cause::Unspecified, NO_LOAD);
    assert_eq!(harness.attempts(1), [0, 1]);
}

#[test]
fn sends_nothing_to_a_draining_removed_or_missing_server() {
    for scope in [EndpointListScope::Changes, EndpointListScope::Complete] {
        for status in [ServerStatus::Draining, ServerStatus::Removed] {
            let mut harness = PolicyHarness::new(2);
            harness.list(scope, vec![entry_up(1), ServerEntry { status, ..entry_up(0) }]);
            harness.call(1, 0);
            assert_eq!(harness.attempts(1), [1], "{scope:?} {status:?}");
        }
    }
    let mut harness = PolicyHarness::new(2);
    harness.list(EndpointListScope::Complete, vec![entry_up(1)]);
    harness.call(1, 0);
    assert_eq!(harness.attempts(1), [1], "a server missing from a complete list is removed");
}

#[test]
fn retry_waits_for_the_release_wait() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = PolicyHarness::new(2);
        harness.call(1, 0);
        harness.advance(50 * MS);
        harness.end_attempt(1, outcome, Cause::Unspecified, NO_LOAD);
        let ended_at = harness.now;
        harness.advance(290 * MS);
        assert_eq!(harness.attempts(1).len(), 1, "{outcome:?}: still within the release wait");
        harness.advance(50 * MS);
        assert_eq!(harness.attempts(1).len(), 2, "{outcome:?}: sent again after it");
        let at = harness.log.iter().rfind(|(_, action)| matches!(action, Action::Attempt { .. })).unwrap().0;
        assert!(at >= ended_at + 300 * MS);
    }
}

#[test]
fn attempt_that_may_have_run_is_not_retried_unless_idempotent() {
    let mut set = settings();
    set.classes[0].is_idempotent = false;
    let mut harness = PolicyHarness::with(set, 2);
    harness.call(1, 0);
    harness.advance(50 * MS);
    harness.end_attempt(1, Outcome::TimedOut, Cause::Unspecified, NO_LOAD);
    harness.advance(4 * SEC);
    assert_eq!(harness.attempts(1).len(), 1);
    assert!(
        harness.log.iter().any(|(_, action)| *action == Action::Fail { call: CallId(1) }),
        "failed, not rejected"
    );
}

/// Four gatekeepers together send 40 calls per second to two servers, one of which has just started. Each server has a
/// capacity of at least 20 per second, so the one that is warming up may get 2 x 0.3 x 20 x 1.5 s = 18 attempts in its
/// first 1.5 s, which is 4.5 from each gatekeeper.
#[test]
fn slow_start_budget_is_kept_in_every_window() {
    let mut harness = PolicyHarness::new(2);
    let mut id = 0;
    let mut sends: Vec<Micros> = Vec::new();
    for step in 0..2_500 {
        if step == 1_000 {
            let started_at = harness.now - 500 * MS;
            harness.list(EndpointListScope::Changes, vec![ServerEntry { started_at, ..entry_up(0) }]);
        }
        if step % 10 == 0 {
            id += 1;
            harness.call(id, 0);
            if harness.attempts(id) == [0] && step >= 1_000 {
                sends.push(harness.now);
            }
            if !harness.attempts(id).is_empty() {
                harness.establish(id, 20 * MS);
            }
        }
        harness.advance(10 * MS);
    }
    assert!(!sends.is_empty(), "a server that is warming up still gets some calls");
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
fn server_that_restarts_under_the_same_id_warms_up_again() {
    let mut harness = PolicyHarness::new(1);
    for id in 1..20 {
        harness.set_min_setup_delay(id, 0, 20 * MS);
        harness.advance(200 * MS);
    }
    let started_at = harness.now;
    harness.list(EndpointListScope::Changes, vec![ServerEntry { started_at, ..entry_up(0) }]);
    for id in 20..40 {
        harness.call(id, 0);
    }
    let sent = (20..40).filter(|id| !harness.attempts(*id).is_empty()).count();
    assert!(sent <= 1, "{sent} sent at once to a server that has just restarted");
}

#[test]
fn restored_list_is_used_at_once() {
    let mut harness = PolicyHarness::new(2);
    harness.call(1, 1);
    assert_eq!(harness.attempts(1), [1]);
}

#[test]
fn tolerates_unknown_timers_and_clock_jumps() {
    let mut harness = PolicyHarness::new(1);
    harness.event(Event::Timer { key: 77 });
    harness.call(1, 0);
    harness.now += 3_600 * SEC;
    harness.event(Event::Timer { key: 0 });
    assert_eq!(harness.final_answers(1), 1, "answered at the first event after the deadline");
    harness.end_attempt(1, Outcome::TimedOut, Cause::Unspecified, NO_LOAD);
    harness.now = 5;
    harness.event(Event::Timer { key: 0 });
    harness.event(Event::EndpointListUnavailable);
    harness.event(Event::Message { from: 3, bytes: vec![1] });
    harness.report_load(9, NO_LOAD);
    harness.now += 3_800 * SEC;
    harness.call(2, 0);
    assert_eq!(harness.attempts(2), [0]);
}

/// Scenario "Tana-freight-later rules-2": 81 gatekeepers each saved a token for a server that was warming up and used
/// them all at the same time.
#[test]
fn gatekeepers_do_not_accumulate_slow_start_tokens() {
    let mut gatekeepers: Vec<PolicyHarness> = (0..60)
        .map(|seed| PolicyHarness { controller: Controller::new(settings(), seed), ..PolicyHarness::new(0) })
        .collect();
    let mut sent = 0;
    for harness in &mut gatekeepers {
        harness.list(EndpointListScope::Complete, vec![entry_up(0), entry_up(1)]);
        let one_call_a_second = |harness: &mut PolicyHarness, from: u64, to: u64| {
            for id in from..to {
                harness.call(id, 1);
                harness.advance(20 * MS);
                harness.establish(id, 20 * MS);
                harness.advance(980 * MS);
            }
        };
        one_call_a_second(harness, 1, 20);
        let started_at = harness.now;
        harness.list(EndpointListScope::Changes, vec![ServerEntry { started_at, ..entry_up(0) }]);
        one_call_a_second(harness, 20, 27);
        harness.call(100, 0);
        sent += usize::from(harness.attempts(100) == [0]);
    }
    assert!((1..=20).contains(&sent), "{sent} of 60 gatekeepers had a token at the same time");
}

/// A gatekeeper that sends 40 calls per second to servers of 10 and 90 lines gives the small one, while it is warming
/// up, a budget in proportion to its size.
#[test]
fn small_server_gets_a_small_slow_start_budget() {
    let sent_while_warming_up = |lines: f64| {
        let mut harness = PolicyHarness::new(2);
        for (server, lines) in [(0, lines), (1, 90.0)] {
            let load =
                LoadReport { total_lines: Some(lines), free_lines: Some(lines), ..LoadReport::default() };
            harness.report_load(server, load);
        }
        let mut sent = 0;
        for id in 0..800 {
            if id == 400 {
                let started_at = harness.now;
                harness.list(EndpointListScope::Changes, vec![ServerEntry { started_at, ..entry_up(0) }]);
            }
            harness.call(id, 0);
            sent += usize::from(id >= 400 && harness.attempts(id) == [0]);
            if !harness.attempts(id).is_empty() {
                harness.establish(id, 5 * MS);
            }
            harness.advance(25 * MS);
        }
        sent
    };
    let (small, even) = (sent_while_warming_up(10.0), sent_while_warming_up(90.0));
    assert!(small > 0 && 3 * small < even, "{small} sent with a tenth of the lines, {even} with half");
}
