//! Tests of each step of overload control against values calculated by hand.

mod policy_harness;
use cobaltspool::*;
use policy_harness::*;

/// A queueing delay of 250 ms, half of the retransmission time of 500 ms, corresponds to `P_max` = 0.80. Other delays
/// are proportional.
#[test]
fn occupancy_is_proportional_to_the_reported_delay() {
    let mut harness = PolicyHarness::new(1);
    assert_eq!(harness.gauge(0).occupancy, 0.0, "a server without evidence has occupancy 0");
    harness.report_delay(0, 125.0);
    assert!((harness.gauge(0).occupancy - 0.40).abs() < 1e-9, "{:?}", harness.gauge(0));
    harness.report_delay(0, 500.0);
    assert!((harness.gauge(0).occupancy - 1.60).abs() < 1e-9, "{:?}", harness.gauge(0));
}

/// A delay of 500 ms decays by 0.4 s per second: after 0.2 s it is 420 ms, an occupancy of 0.8 * 420 / 250 = 1.344.
#[test]
fn reported_delay_decays_with_time() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 500.0);
    harness.advance(200 * MS);
    harness.event(Event::Timer { key: 9 });
    assert!((harness.gauge(0).occupancy - 1.344).abs() < 1e-9, "{:?}", harness.gauge(0));
}

/// A repeated value is the same old report and keeps decaying. A different value is a new report, even if it is lower.
#[test]
fn repeated_load_report_does_not_restart_the_decay() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 500.0);
    harness.advance(200 * MS);
    harness.report_delay(0, 500.0);
    assert!((harness.gauge(0).occupancy - 1.344).abs() < 1e-9, "{:?}", harness.gauge(0));
    harness.report_delay(0, 125.0);
    assert!((harness.gauge(0).occupancy - 0.40).abs() < 1e-9, "{:?}", harness.gauge(0));
}

#[test]
fn ignores_absent_and_negative_values() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 500.0);
    let occupancy = harness.gauge(0).occupancy;
    harness.report_load(0, LoadReport::default());
    let invalid = LoadReport {
        queueing_delay_ms: Some(-1.0),
        queued_setups: Some(f64::NAN),
        utilization: Some(-1.0),
        ..Default::default()
    };
    harness.report_load(0, invalid);
    assert_eq!(harness.gauge(0).occupancy, occupancy);
}

/// Ten queued set-ups with a service time of 16 ms each (0.8 of the smallest set-up delay of 20 ms) are a queueing
/// delay of 160 ms, an occupancy of 0.8 * 160 / 250.
#[test]
fn queued_setups_count_by_their_service_time() {
    let mut harness = PolicyHarness::new(1);
    harness.set_min_setup_delay(1, 0, 20 * MS);
    harness.report_load(0, LoadReport { queued_setups: Some(10.0), ..Default::default() });
    assert!((harness.gauge(0).occupancy - 0.512).abs() < 1e-9, "{:?}", harness.gauge(0));
}

#[test]
fn closes_above_max_occupancy_and_reopens_below_it() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 600.0);
    harness.advance(100 * MS);
    assert!(!harness.gauge(0).is_open, "above P_max the server is closed to new calls");
    harness.call(1, 0);
    assert!(
        harness.attempts(1).is_empty() && harness.final_answers(1) == 0,
        "deferred while every server is closed"
    );
    harness.advance(SEC + 100 * MS);
    assert_eq!(harness.attempts(1), [0], "sent when the delay has decayed");
    harness.establish(1, 20 * MS);
    harness.advance(300 * MS);
    assert!(harness.gauge(0).is_open, "open once the mean over W_c is below P_max");
    harness.call(2, 0);
    assert_eq!(harness.attempts(2), [0]);
}

/// While a server is closed, `r` starts to decrease after `N_wait` - `W_m` = 4 intervals, by a factor of 0.6 / `P_t`
/// every `W_t` intervals, down to `r_min`. No attempt was sent here, so `r_max` has its lower bound of 1 per second and
/// `r_min` is a twentieth of it.
#[test]
fn throttle_tightens_after_its_delay_and_loosens_without_overload() {
    let mut harness = PolicyHarness::new(1);
    harness.advance(100 * MS);
    assert_eq!(harness.gauge(0).throttle_rate, 1.0);
    for n in 0..4 {
        harness.report_delay(0, 500.0 + f64::from(n)); // a different value counts as a new report
        harness.advance(100 * MS);
        assert_eq!(harness.gauge(0).throttle_rate, 1.0, "no tightening in interval {n} after closing");
    }
    let mut last = 1.0;
    for n in 0..20 {
        harness.report_delay(0, 520.0 + f64::from(n));
        harness.advance(100 * MS);
        assert!(harness.gauge(0).throttle_rate <= last);
        last = harness.gauge(0).throttle_rate;
    }
    assert!((last - 0.05).abs() < 1e-9, "r ends at r_min: {last}");
    harness.advance(5 * SEC);
    assert!(
        harness.gauge(0).is_open && harness.gauge(0).throttle_rate > 0.95,
        "half of the difference to r_max every W_t without overload: {:?}",
        harness.gauge(0)
    );
}

#[test]
fn routes_to_first_choice_then_sticky_until_it_rejects() {
    let mut harness = PolicyHarness::new(4);
    harness.call(1, 0);
    assert_eq!(harness.attempts(1), [0], "the first choice while it is open");
    harness.establish(1, 20 * MS);
    harness.report_delay(0, 5_000.0);
    harness.call(2, 0);
    let second = harness.attempts(2)[0];
    assert_ne!(second, 0);
    harness.establish(2, 20 * MS);
    for id in 3..9 {
        harness.call(id, 0);
        assert_eq!(harness.attempts(id), [second], "the server that last established a call");
        harness.establish(id, 20 * MS);
    }
    harness.call(9, 0);
    harness.end_attempt(
        9,
        Outcome::Rejected,
        Cause::ProcessorOverloaded { retry_after: Some(3 * SEC) },
        LoadReport::default(),
    );
    let tried = harness.attempts(9);
    assert!(
        tried.len() == 2 && tried[1] != 0 && tried[1] != second,
        "another server after a rejection: {tried:?}"
    );
}

#[test]
fn rejects_only_when_every_server_is_closed_and_within_the_objective() {
    let mut harness = PolicyHarness::new(2);
    harness.report_delay(0, 9_000.0);
    harness.call(1, 0);
    assert_eq!(harness.attempts(1), [1]);
    harness.report_delay(1, 9_000.0);
    let start = harness.now;
    harness.call(2, 0);
    harness.advance(1_200 * MS);
    assert!(harness.attempts(2).is_empty());
    let (at, action) = harness.log.last().unwrap();
    assert!(matches!(action, Action::Reject { call: CallId(2), retry_after } if *retry_after == 2 * SEC));
    assert!(*at < start + 1_200 * MS, "before the latency objective has passed");
}

/// The token bucket releases deferred calls one by one instead of all at once when the server reopens.
#[test]
fn deferred_calls_are_sent_through_the_throttle_and_not_in_a_burst() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 450.0);
    for id in 1..=12 {
        harness.call(id, 0);
    }
    harness.advance(750 * MS);
    let sent = (1..=12).filter(|id| !harness.attempts(*id).is_empty()).count();
    assert!((1..=3).contains(&sent), "{sent} of 12 sent within 0.75 s");
}

#[test]
fn deferred_calls_of_higher_weight_are_sent_first() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 600.0);
    harness.call_with(1, 0, 71, 0);
    harness.call_with(2, 1, 72, 0);
    while harness.attempts(1).is_empty() && harness.attempts(2).is_empty() && harness.now < 102 * SEC {
        harness.advance(5 * MS);
    }
    assert_eq!((harness.attempts(1).len(), harness.attempts(2).len()), (0, 1));
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut harness = PolicyHarness::new(5);
        for id in 1..60 {
            harness.call(id, (id % 5) as i64);
            harness.advance(7 * MS);
            if id % 3 == 0 && !harness.attempts(id).is_empty() {
                harness.end_attempt(id, Outcome::Rejected, Cause::NoFreeLine, LoadReport::default());
            }
        }
        harness.log
    };
    assert_eq!(run(), run());
}

/// A reset of a connection that carries several calls is no evidence about the processor behind it.
#[test]
fn reset_connection_does_not_close_its_server() {
    let mut harness = PolicyHarness::new(2);
    for id in 1..=6 {
        harness.call(id, 0);
    }
    for id in 1..=6 {
        harness.end_attempt(id, Outcome::Reset, Cause::Unspecified, LoadReport::default());
    }
    harness.advance(100 * MS);
    assert!(harness.gauge(0).is_open && harness.gauge(0).occupancy < 0.1, "{:?}", harness.gauge(0));
    harness.call(7, 0);
    assert_eq!(harness.attempts(7), [0], "the first choice is still open to a new call");
}

/// A set-up that is never answered does not close a server that answers later set-ups.
#[test]
fn lost_answer_does_not_close_its_server() {
    let mut harness = PolicyHarness::new(1);
    harness.call(1, 0);
    harness.advance(10 * MS);
    harness.set_min_setup_delay(2, 0, 20 * MS);
    harness.advance(600 * MS);
    assert!(harness.gauge(0).is_open && harness.gauge(0).occupancy < 0.2, "{:?}", harness.gauge(0));
    harness.call(3, 0);
    harness.advance(600 * MS);
    assert!(
        !harness.gauge(0).is_open,
        "an unanswered set-up counts if no later one was answered: {:?}",
        harness.gauge(0)
    );
}

/// A lost attempt is cancelled early enough for the call to be established at another server, after the release wait,
/// within its latency objective.
#[test]
fn lost_attempt_is_cancelled_and_retried() {
    let mut harness = PolicyHarness::new(2);
    harness.call(1, 0);
    harness.advance(10 * MS);
    harness.set_min_setup_delay(2, 0, 20 * MS);
    harness.call(3, 0);
    harness.advance(400 * MS);
    assert_eq!(
        (harness.cancellations(1), harness.cancellations(3)),
        (1, 0),
        "no later set-up was answered after the last one"
    );
    harness.end_attempt(1, Outcome::Cancelled, Cause::Unspecified, LoadReport::default());
    harness.advance(300 * MS);
    assert_eq!(harness.attempts(1), [0, 1]);
    assert_eq!(harness.final_answers(1), 0);
}
