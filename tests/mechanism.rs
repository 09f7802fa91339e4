//! The design's mechanism, step by step, against figures worked out by hand.

mod common;
use cobaltspool::*;
use common::*;

/// A wait of 250 ms is half of the resend time of 500 ms and so stands for P_MAX = 0.80; others in proportion.
#[test]
fn occupancy_follows_the_wait() {
    let mut bed = Bed::new(1);
    assert_eq!(bed.gauge(0).p, 0.0, "an unheard server counts as 0");
    bed.press(0, 125.0);
    assert!((bed.gauge(0).p - 0.40).abs() < 1e-9, "{:?}", bed.gauge(0));
    bed.press(0, 500.0);
    assert!((bed.gauge(0).p - 1.60).abs() < 1e-9, "{:?}", bed.gauge(0));
}

/// A wait of 500 ms fades by 0.4 s a second: 420 ms are left after 0.2 s, which is 0.8 * 420 / 250 = 1.344.
#[test]
fn old_evidence_fades() {
    let mut bed = Bed::new(1);
    bed.press(0, 500.0);
    bed.pass(200 * MS);
    bed.event(Event::Timer { key: 9 });
    assert!((bed.gauge(0).p - 1.344).abs() < 1e-9, "{:?}", bed.gauge(0));
}

/// The same figure told again is the old report; one that differs is a new one, also where it is lower.
#[test]
fn a_report_told_again_is_no_news() {
    let mut bed = Bed::new(1);
    bed.press(0, 500.0);
    bed.pass(200 * MS);
    bed.press(0, 500.0);
    assert!((bed.gauge(0).p - 1.344).abs() < 1e-9, "{:?}", bed.gauge(0));
    bed.press(0, 125.0);
    assert!((bed.gauge(0).p - 0.40).abs() < 1e-9, "{:?}", bed.gauge(0));
}

#[test]
fn absent_and_negative_figures_say_nothing() {
    let mut bed = Bed::new(1);
    bed.press(0, 500.0);
    let p = bed.gauge(0).p;
    bed.report(0, LoadReport::default());
    let odd =
        LoadReport { wait_ms: Some(-1.0), waiting: Some(f64::NAN), busy: Some(-1.0), ..Default::default() };
    bed.report(0, odd);
    assert_eq!(bed.gauge(0).p, p);
}

/// Ten waiting set-ups of 16 ms each (0.8 of a least delay of 20 ms) are a wait of 160 ms: p = 0.8 * 160 / 250.
#[test]
fn waiting_set_ups_count_by_their_work() {
    let mut bed = Bed::new(1);
    bed.learn(1, 0, 20 * MS);
    bed.report(0, LoadReport { waiting: Some(10.0), ..Default::default() });
    assert!((bed.gauge(0).p - 0.512).abs() < 1e-9, "{:?}", bed.gauge(0));
}

#[test]
fn shut_above_p_max_and_open_again_under_it() {
    let mut bed = Bed::new(1);
    bed.press(0, 600.0);
    bed.pass(100 * MS);
    assert!(!bed.gauge(0).u, "past P_MAX fresh calls are shut off");
    bed.call(1, 0);
    assert!(bed.sent(1).is_empty() && bed.finals(1) == 0, "held while every server is shut");
    bed.pass(SEC + 100 * MS);
    assert_eq!(bed.sent(1), [0], "and sent when it has faded");
    bed.stands(1, 20 * MS);
    bed.pass(300 * MS);
    assert!(bed.gauge(0).u, "open once the W_c estimate is under P_MAX");
    bed.call(2, 0);
    assert_eq!(bed.sent(2), [0]);
}

/// In the shut, r starts to fall after N_wait - W_m = 4 intervals, by 0.6 / P_t each W_t intervals, to r_min.
/// Nothing was ever sent here, so r_max is its least value of 1 a second and r_min a twentieth of it.
#[test]
fn gate_tightens_after_n_wait_and_loosens_after_calm() {
    let mut bed = Bed::new(1);
    bed.pass(100 * MS);
    assert_eq!(bed.gauge(0).r, 1.0);
    for n in 0..4 {
        bed.press(0, 500.0 + f64::from(n)); // told anew each time
        bed.pass(100 * MS);
        assert_eq!(bed.gauge(0).r, 1.0, "no tightening in interval {n} of the shut");
    }
    let mut last = 1.0;
    for n in 0..20 {
        bed.press(0, 520.0 + f64::from(n));
        bed.pass(100 * MS);
        assert!(bed.gauge(0).r <= last);
        last = bed.gauge(0).r;
    }
    assert!((last - 0.05).abs() < 1e-9, "r ends at r_min: {last}");
    bed.pass(5 * SEC);
    assert!(bed.gauge(0).u && bed.gauge(0).r > 0.95, "halfway to r_max each calm W_t: {:?}", bed.gauge(0));
}

#[test]
fn first_choice_then_sticky_until_it_is_full() {
    let mut bed = Bed::new(4);
    bed.call(1, 0);
    assert_eq!(bed.sent(1), [0], "first choice while it is open");
    bed.stands(1, 20 * MS);
    bed.press(0, 5_000.0);
    bed.call(2, 0);
    let second = bed.sent(2)[0];
    assert_ne!(second, 0);
    bed.stands(2, 20 * MS);
    for id in 3..9 {
        bed.call(id, 0);
        assert_eq!(bed.sent(id), [second], "the server that last took a call");
        bed.stands(id, 20 * MS);
    }
    bed.call(9, 0);
    bed.ends(9, Outcome::Full, Cause::ProcessorFull { wait: Some(3 * SEC) }, LoadReport::default());
    let tried = bed.sent(9);
    assert!(
        tried.len() == 2 && tried[1] != 0 && tried[1] != second,
        "redrawn after a full answer: {tried:?}"
    );
}

#[test]
fn refused_only_when_every_server_is_shut_and_before_the_aim() {
    let mut bed = Bed::new(2);
    bed.press(0, 9_000.0);
    bed.call(1, 0);
    assert_eq!(bed.sent(1), [1]);
    bed.press(1, 9_000.0);
    let start = bed.now;
    bed.call(2, 0);
    bed.pass(1_200 * MS);
    assert!(bed.sent(2).is_empty());
    let (at, action) = bed.log.last().unwrap();
    assert!(matches!(action, Action::Refuse { call: CallId(2), retry_after } if *retry_after == 2 * SEC));
    assert!(*at < start + 1_200 * MS, "before the aim has passed");
}

/// Held calls leave through the token gate one by one, not all at the moment of reopening.
#[test]
fn held_calls_do_not_leave_in_a_burst() {
    let mut bed = Bed::new(1);
    bed.press(0, 450.0);
    for id in 1..=12 {
        bed.call(id, 0);
    }
    bed.pass(750 * MS);
    let sent = (1..=12).filter(|id| !bed.sent(*id).is_empty()).count();
    assert!((1..=3).contains(&sent), "{sent} of 12 sent within 0.75 s");
}

#[test]
fn worthier_held_calls_go_first() {
    let mut bed = Bed::new(1);
    bed.press(0, 600.0);
    bed.call_as(1, 0, 71, 0);
    bed.call_as(2, 1, 72, 0);
    while bed.sent(1).is_empty() && bed.sent(2).is_empty() && bed.now < 102 * SEC {
        bed.pass(5 * MS);
    }
    assert_eq!((bed.sent(1).len(), bed.sent(2).len()), (0, 1));
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut bed = Bed::new(5);
        for id in 1..60 {
            bed.call(id, (id % 5) as i64);
            bed.pass(7 * MS);
            if id % 3 == 0 && !bed.sent(id).is_empty() {
                bed.ends(id, Outcome::Full, Cause::NoLine, LoadReport::default());
            }
        }
        bed.log
    };
    assert_eq!(run(), run());
}

/// A connection that breaks under several calls says nothing of the processor behind it.
#[test]
fn a_broken_connection_does_not_shut_its_server() {
    let mut bed = Bed::new(2);
    for id in 1..=6 {
        bed.call(id, 0);
    }
    for id in 1..=6 {
        bed.ends(id, Outcome::Cut, Cause::Untold, LoadReport::default());
    }
    bed.pass(100 * MS);
    assert!(bed.gauge(0).u && bed.gauge(0).p < 0.1, "{:?}", bed.gauge(0));
    bed.call(7, 0);
    assert_eq!(bed.sent(7), [0], "its first choice is still open to a fresh call");
}

/// One set-up that is never answered does not shut a server that answers what was sent after it.
#[test]
fn a_lost_answer_does_not_shut_its_server() {
    let mut bed = Bed::new(1);
    bed.call(1, 0);
    bed.pass(10 * MS);
    bed.learn(2, 0, 20 * MS);
    bed.pass(600 * MS);
    assert!(bed.gauge(0).u && bed.gauge(0).p < 0.2, "{:?}", bed.gauge(0));
    bed.call(3, 0);
    bed.pass(600 * MS);
    assert!(!bed.gauge(0).u, "a wait that nothing has passed still counts: {:?}", bed.gauge(0));
}

/// It is called off in time for the call to stand elsewhere within its aim, after the release wait.
#[test]
fn a_lost_attempt_is_called_off_and_made_again() {
    let mut bed = Bed::new(2);
    bed.call(1, 0);
    bed.pass(10 * MS);
    bed.learn(2, 0, 20 * MS);
    bed.call(3, 0);
    bed.pass(400 * MS);
    assert_eq!((bed.cancels(1), bed.cancels(3)), (1, 0), "nothing has passed the last one");
    bed.ends(1, Outcome::Cancelled, Cause::Untold, LoadReport::default());
    bed.pass(300 * MS);
    assert_eq!(bed.sent(1), [0, 1]);
    assert_eq!(bed.finals(1), 0);
}
