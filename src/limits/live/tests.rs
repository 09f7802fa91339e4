//! Limits at work, on simulated time: random schedules of events against plain counts that stand beside them.

use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::limits::{Ceilings, ClassInfo};
use crate::sections;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;

fn plan(limits: &str) -> Rc<Plan> {
    let class = ClassInfo { name: "voice".into(), patience: 9 * SEC, repeatable: true, pools: None };
    let ceilings = Ceilings {
        attempts: 4,
        release_wait: 500 * MS,
        second_copies: Some(false),
        classes: Some(vec![class]),
        ..Ceilings::default()
    };
    let read = sections::read_text("test", &format!("{{limits: {limits}}}"), &ceilings, None);
    Rc::new(read.unwrap_or_else(|report| panic!("{}", report.render())).plan)
}

fn live(limits: &str) -> Live {
    Live::new(plan(limits), vec!["voice".into()], 7)
}

fn call(number: &str) -> Asked<'_> {
    Asked { class: 0, pool: 0, number, left: 9 * SEC }
}

#[test]
fn open_calls_are_bounded_and_come_free_with_their_ends() {
    let mut live = live("{routes: [{name: 'a', match: {prefix: '38'}, limits: {open_calls: 2}}]}");
    let first = live.take(1, call("385")).unwrap();
    let _second = live.take(1, call("386")).unwrap();
    let refused = live.take(1, call("387")).unwrap_err();
    assert_eq!((refused.cap, refused.level.as_str(), refused.wait), ("open_calls", "route a", SEC));
    let _elsewhere = live.take(1, call("49")).unwrap();
    drop(first);
    assert_eq!(live.open("route a"), 1);
    live.take(2, call("385")).unwrap();
}

/// Each caller that is turned away is told of a token of its own: those that heed it are taken in.
#[test]
fn a_bucket_promises_each_token_once() {
    let mut live = live("{default: {rate: {per_second: 10, burst: 3}}}");
    let start = 5 * SEC;
    let held: Vec<Held> = (0..3).map(|_| live.take(start, call("1")).unwrap()).collect();
    let waits: Vec<Micros> = (0..5).map(|_| live.take(start, call("1")).unwrap_err().wait).collect();
    assert!(waits.windows(2).all(|w| w[1] >= w[0] + 99 * MS), "{waits:?}");
    for wait in waits {
        live.take(start + wait, call("1")).unwrap();
    }
    drop(held);
}

/// A burst at 1.8 times the usual in which every call fails: repeats stay within their share of the fresh calls.
#[test]
fn a_retry_budget_bounds_repeats_in_a_burst() {
    let mut live = live("{default: {retry_budget: {share: '20%', window: '10s', least: 2}}}");
    let (mut fresh, mut repeats, mut refused) = (0u32, 0u32, 0u32);
    for n in 0..900u64 {
        let now = 10 * SEC + n * 10 * SEC / 900;
        let held = live.take(now, call("1")).unwrap();
        fresh += 1;
        held.sent(now, 0);
        if live.after(now, &held, Outcome::Rejected, 1).again {
            held.sent(now, 1);
            repeats += 1;
        } else {
            refused += 1;
        }
        assert!(f64::from(repeats) <= 2.0 + 0.2 * f64::from(fresh), "{repeats} of {fresh}");
    }
    assert!(repeats >= 180, "{repeats} repeats and {refused} refused: the budget is used");
}

#[test]
fn a_repeat_that_never_goes_out_gives_its_place_back() {
    let mut live = live("{default: {retry_budget: {share: '0.1%', window: '10s', least: 1}}}");
    let first = live.take(SEC, call("1")).unwrap();
    assert!(live.after(SEC, &first, Outcome::Rejected, 1).again);
    let second = live.take(SEC, call("1")).unwrap();
    assert!(!live.after(SEC, &second, Outcome::Rejected, 1).again, "the only place is taken");
    drop(first);
    assert!(live.after(SEC, &second, Outcome::Rejected, 1).again);
}

#[rstest]
#[case::timed_out(Outcome::TimedOut, 700 * MS)]
#[case::reset(Outcome::Reset, 500 * MS)]
#[case::cancelled(Outcome::Cancelled, 500 * MS)]
#[case::full(Outcome::Rejected, 50 * MS)]
#[case::unreachable(Outcome::Unreachable, 0)]
#[case::never_sent(Outcome::NotSent, 0)]
fn pauses_go_by_how_the_attempt_ended(#[case] outcome: Outcome, #[case] pause: Micros) {
    let mut live = live("{default: {pause: {timed_out: '700ms', full: '50ms'}}}");
    let held = live.take(0, call("1")).unwrap();
    assert_eq!(live.after(0, &held, outcome, 1), Verdict { rest: pause, again: true });
}

#[test]
fn back_off_grows_to_its_bound_and_is_drawn_below_it() {
    let mut live = live("{default: {back_off: {first: '100ms', most: '300ms', factor: 2, jitter: '50%'}}}");
    let held = live.take(0, call("1")).unwrap();
    for (tries, most) in [(1, 100 * MS), (2, 200 * MS), (3, 300 * MS)] {
        let rests: Vec<Micros> =
            (0..50).map(|_| live.after(0, &held, Outcome::Rejected, tries).rest).collect();
        assert!(rests.iter().all(|r| (most / 2..=most).contains(r)), "{rests:?}");
        assert!(rests.iter().min() < rests.iter().max(), "drawn anew");
    }
    assert!(!live.after(0, &held, Outcome::Rejected, 4).again, "four tries are the most");
}

#[test]
fn a_share_is_of_the_callers_own_time() {
    let mut live = live("{default: {time_out: '30%'}}");
    let held = live.take(0, Asked { left: 2 * SEC, ..call("1") }).unwrap();
    assert_eq!(held.try_for, Some(600 * MS));
}

/// A limit lowered under the count: nothing is cut, and nothing new until under it. Calls keep what they came in with.
#[test]
fn a_reload_keeps_counts_and_lets_calls_keep_their_limits() {
    let mut live = live("{routes: [{name: 'a', match: {}, limits: {open_calls: 5, attempts: 4}}]}");
    let mut held: Vec<Held> = (0..4).map(|_| live.take(0, call("1")).unwrap()).collect();
    live.replace(SEC, plan("{routes: [{name: 'a', match: {}, limits: {open_calls: 2, attempts: 1}}]}"));
    assert!(live.after(SEC, &held[0], Outcome::Rejected, 1).again, "it came in with four attempts");
    for left in [3, 2] {
        assert!(live.take(SEC, call("1")).is_err());
        held.pop();
        assert_eq!(live.open("route a"), left);
    }
    assert!(live.take(SEC, call("1")).is_err());
    held.pop();
    let late = live.take(SEC, call("1")).unwrap();
    assert!(!live.after(SEC, &late, Outcome::Rejected, 1).again, "it came in with one");
}

#[test]
fn a_bucket_goes_on_over_a_reload() {
    let mut live = live("{routes: [{name: 'a', match: {}, limits: {rate: {per_second: 1, burst: 10}}}]}");
    let held: Vec<Held> = (0..10).map(|_| live.take(0, call("1")).unwrap()).collect();
    live.replace(0, plan("{routes: [{name: 'a', match: {}, limits: {rate: {per_second: 1, burst: 20}}}]}"));
    assert!(live.take(0, call("1")).is_err(), "a reload is no refill");
    drop(held);
}

/// The clock steps back, then far ahead: a bucket is full and no fuller, a budget empty.
#[test]
fn clock_steps_fill_nothing_beyond_its_bound() {
    let mut live =
        live("{default: {rate: {per_second: 1, burst: 2}, retry_budget: {share: '1%', least: 1}}}");
    let now = 1_000 * SEC;
    let held = live.take(now, call("1")).unwrap();
    held.sent(now, 0);
    assert!(live.after(now, &held, Outcome::Rejected, 1).again);
    held.sent(now, 1);
    assert!(live.take(now - 900 * SEC, call("1")).is_ok());
    assert!(live.take(now - 800 * SEC, call("1")).is_err(), "time that went back gives no tokens");
    let ahead = now + 1_000_000 * SEC;
    let taken = (0..5).filter_map(|_| live.take(ahead, call("1")).ok()).count();
    assert_eq!(taken, 2);
    assert!(live.after(ahead, &held, Outcome::Rejected, 2).again, "what was repeated is long ago");
}

#[derive(Clone, Debug)]
enum Do {
    Take(usize),
    Fail(usize, u8),
    End(usize),
    Pass(u64),
    Reload(u8),
}

fn step() -> impl Strategy<Value = Do> {
    prop_oneof![
        4 => (0usize..3).prop_map(Do::Take),
        3 => (0usize..64, 0u8..5).prop_map(|(n, how)| Do::Fail(n, how)),
        2 => (0usize..64).prop_map(Do::End),
        2 => (0u64..2_000).prop_map(|ms| Do::Pass(ms * MS)),
        1 => (0u8..3).prop_map(Do::Reload),
    ]
}

const PLANS: [&str; 3] = [
    "{default: {open_calls: 20, retry_budget: {share: '50%', window: '10s', least: 2}}, routes: [
      {name: 'a', match: {prefix: '1'}, limits: {open_calls: 3, rate: {per_second: 5, burst: 4}, attempts: 2}},
      {name: 'b', match: {prefix: '2'}, limits: {back_off: {first: '20ms', most: '90ms'}}}]}",
    "{default: {open_calls: 8}, routes: [
      {name: 'a', match: {prefix: '1'}, limits: {open_calls: 1, rate: {per_second: 50, burst: 2}}}]}",
    "{classes: {voice: {open_calls: 6, attempts: 3}}}",
];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Whatever comes in whatever order: no cap is passed by a call that is taken in, no pause is shorter than the
    /// rule's, no call is tried more often than it may be, and in the end nothing is held.
    #[test]
    fn no_schedule_breaks_a_limit(steps in prop::collection::vec(step(), 1..60)) {
        let numbers = ["11", "22", "33"];
        let mut live = live(PLANS[0]);
        let mut at = 0usize;
        let mut now = SEC;
        // Beside it: the calls that are held, where they are, how often they were tried.
        let mut held: Vec<(usize, Held, u32)> = Vec::new();
        for step in steps {
            match step {
                Do::Take(n) => {
                    let in_a = held.iter().filter(|(m, _, _)| *m == 0).count();
                    match live.take(now, call(numbers[n])) {
                        Ok(taken) => {
                            let most = [[3, 20, 20], [1, 8, 8], [6, 6, 6]][at][n];
                            let there = if n == 0 && at < 2 { in_a } else { held.len() };
                            prop_assert!(there < most, "{there} of {most} at plan {at}");
                            prop_assert!(held.len() < [20, 8, 6][at]);
                            taken.sent(now, 0);
                            held.push((n, taken, 1));
                        }
                        Err(refusal) => prop_assert!(refusal.wait > 0 && refusal.wait <= MAX_WAIT),
                    }
                }
                Do::Fail(n, how) if !held.is_empty() => {
                    let n = n % held.len();
                    let outcomes =
                        [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled, Outcome::Rejected, Outcome::Failed];
                    let outcome = outcomes[how as usize];
                    let (_, call, tries) = &mut held[n];
                    let verdict = live.after(now, call, outcome, *tries);
                    if how < 3 {
                        prop_assert!(verdict.rest >= 500 * MS);
                    }
                    if verdict.again {
                        prop_assert!(*tries < call.limits.attempts.value && *tries < 4);
                        call.sent(now, *tries);
                        *tries += 1;
                    } else {
                        held.remove(n);
                    }
                }
                Do::End(n) if !held.is_empty() => drop(held.remove(n % held.len())),
                Do::Pass(time) => now += time,
                Do::Reload(plan_number) => {
                    at = plan_number as usize;
                    live.replace(now, plan(PLANS[at]));
                    // Levels that the new plan does not name start anew; what was taken in before counts where its
                    // level still is. Only calls of levels that stay are compared.
                    held.clear();
                }
                Do::Fail(..) | Do::End(_) => {}
            }
        }
        held.clear();
        for level in ["default", "class voice", "route a", "route b"] {
            prop_assert_eq!(live.open(level), 0);
        }
    }
}

/// Two processes of one gatekeeper keep a cap together: each has half of the rate, of the burst and of the open calls, and
/// the one that comes later nothing to spend at once.
#[test]
fn a_shared_cap_is_halved_until_the_other_is_gone() {
    let rate = |shared: bool| {
        let mut live =
            live("{routes: [{name: 'a', match: {}, limits: {rate: {per_second: 10, burst: 10}}}]}");
        live.share(0, shared);
        let mut taken = |from: Micros, until: Micros| {
            (from..until).step_by(10_000).filter(|now| live.take(*now, call("38")).is_ok()).count()
        };
        (taken(0, 10_000), taken(10_000, 10 * SEC))
    };
    assert_eq!(rate(false).0, 1);
    let (at_once, later) = rate(true);
    assert_eq!(at_once, 0, "what there was to spend is the other's");
    assert!((48..=50).contains(&later), "half of 10 a second for 10 s, not {later}");
    let mut live = live("{routes: [{name: 'a', match: {}, limits: {open_calls: 4}}]}");
    live.share(0, true);
    let held: Vec<_> = (0..4).map_while(|_| live.take(SEC, call("38")).ok()).collect();
    assert_eq!(held.len(), 2);
    live.share(SEC, false);
    let more: Vec<_> = (0..4).map_while(|_| live.take(SEC, call("38")).ok()).collect();
    assert_eq!(more.len(), 2, "alone again, all four");
}
