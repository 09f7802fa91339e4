//! One test for each failure found: taken out, the defence's test fails.

mod policy_harness;
use cobaltspool::*;
use policy_harness::*;

fn load(free: f64, lines: f64) -> LoadReport {
    LoadReport { free_lines: Some(free), total_lines: Some(lines), ..LoadReport::default() }
}

/// Overloaded days: callers who dialled again took half of the capacity for a quarter of the weight.
#[test]
fn redial_waits_for_spare_capacity() {
    let mut harness = PolicyHarness::new(1);
    harness.report_wait(0, 1_000.0);
    harness.call_with(1, 0, 42, 0);
    harness.advance(3 * SEC);
    assert_eq!(harness.final_answers(1), 1);
    harness.report_wait(0, 120.0);
    harness.call_with(2, 0, 42, 0);
    harness.call_with(3, 0, 43, 0);
    assert_eq!(
        (harness.attempts(2).len(), harness.attempts(3).len()),
        (0, 1),
        "the fresh call goes, the redial waits"
    );
    harness.establish(3, 20 * MS);
    harness.advance(500 * MS);
    harness.call_with(4, 0, 42, 0);
    assert_eq!(harness.attempts(4), [0], "with room it goes");
}

#[test]
fn redial_leaves_the_last_free_lines() {
    let mut harness = PolicyHarness::new(1);
    harness.report_wait(0, 1_000.0);
    harness.call_with(1, 0, 42, 0);
    harness.advance(4 * SEC);
    assert_eq!(harness.final_answers(1), 1);
    harness.report_load(0, load(5.0, 100.0));
    harness.call_with(2, 0, 42, 0);
    harness.call_with(3, 0, 43, 0);
    assert_eq!((harness.attempts(2).len(), harness.attempts(3).len()), (0, 1));
}

/// Corridor big-2: a server without a free line answered at once, and gatekeepers rushed for each line.
#[test]
fn server_without_a_free_line_gets_no_call() {
    let mut harness = PolicyHarness::new(2);
    harness.report_load(0, load(0.0, 80.0));
    harness.call(1, 0);
    assert_eq!(harness.attempts(1), [1]);
    harness.advance(600 * MS);
    harness.call(2, 0);
    assert_eq!(harness.attempts(2), [0], "but not on old news");
}

/// Tana-freight big-2: overflow spread evenly drowned the small servers.
#[test]
fn overflow_is_spread_by_server_size() {
    let mut large = 0;
    for seed in 0..200 {
        let mut harness =
            PolicyHarness { controller: Controller::new(settings(), seed), ..PolicyHarness::new(0) };
        harness.list(EndpointListScope::Complete, vec![entry_up(0), entry_up(1), entry_up(2)]);
        harness.report_load(0, load(0.0, 100.0));
        harness.report_load(1, load(10.0, 10.0));
        harness.report_load(2, load(90.0, 90.0));
        harness.call(1, 0);
        large += usize::from(harness.attempts(1) == [2]);
    }
    assert!((160..=196).contains(&large), "{large} of 200 went to the server with nine tenths of the lines");
}

/// A small server's own work is its wait: at a least delay of 300 ms one unanswered set-up is already too much.
#[test]
fn own_attempts_count_at_once_by_their_work() {
    let mut harness = PolicyHarness::new(2);
    harness.teach_setup_delay(1, 0, 300 * MS);
    harness.teach_setup_delay(2, 1, 20 * MS);
    harness.advance(SEC);
    harness.call(3, 0);
    harness.call(4, 0);
    assert_eq!((harness.attempts(3), harness.attempts(4)), (vec![0], vec![1]));
}

/// All later deployments: taking calls back from slow servers repeated their work elsewhere and fed the jam.
#[test]
fn slow_server_keeps_its_calls_and_ejected_one_gets_one_trial_at_a_time() {
    let mut harness = PolicyHarness::new(2);
    harness.call(1, 0);
    harness.advance(2_900 * MS);
    assert_eq!(
        (harness.attempts(1), harness.cancellations(1)),
        (vec![0], 0),
        "not called off before its caller gives up"
    );
    harness.end_attempt(1, Outcome::TimedOut, Cause::Unspecified, LoadReport::default());
    assert!(harness.gauge(0).is_ejected);
    harness.report_wait(1, 9_000.0);
    harness.advance(500 * MS);
    harness.call(2, 0);
    harness.call(3, 0);
    harness.advance(600 * MS);
    let trials = [2, 3].iter().filter(|id| harness.attempts(**id).contains(&0)).count();
    assert_eq!(trials, 1, "one trial at a time");
}

/// A number whose lines are all busy is left alone for a while; other numbers are served.
#[test]
fn busy_number_is_left_alone_for_a_while() {
    let mut harness = PolicyHarness::new(1);
    harness.call_with(1, 0, 7, 0);
    harness.end_attempt(1, Outcome::Failed, Cause::NumberBusy, LoadReport::default());
    assert_eq!(harness.final_answers(1), 1, "no second attempt for a busy number");
    harness.call_with(2, 0, 7, 0);
    harness.call_with(3, 0, 8, 0);
    assert_eq!((harness.attempts(2).len(), harness.final_answers(2), harness.attempts(3).len()), (0, 1, 1));
    harness.establish(3, 20 * MS);
    harness.advance(2_500 * MS);
    harness.call_with(4, 0, 7, 0);
    harness.advance(500 * MS);
    assert_eq!(harness.attempts(4).len(), 1, "tried again after its rest");
}

/// Incident i6595da: a server that fails set-ups fast looks idle; it comes last in the route, but it does come.
#[test]
fn server_that_fails_attempts_is_chosen_last() {
    let mut harness = PolicyHarness::new(2);
    for id in 1..5 {
        harness.call(id, 0);
        harness.end_attempt(id, Outcome::Failed, Cause::Unspecified, LoadReport::default());
        harness.establish(id, 20 * MS);
    }
    harness.call(5, 0);
    assert_eq!(harness.attempts(5), [1], "elsewhere first, though it is the first choice");
    harness.establish(5, 20 * MS);
    harness.report_wait(1, 9_000.0);
    harness.call(6, 0);
    assert_eq!(harness.attempts(6), [0], "there when no other is open");
    harness.end_attempt(6, Outcome::Failed, Cause::Unspecified, LoadReport::default());
    assert_eq!(harness.attempts(6), [0, 0], "and again, since the next may stand");
}

/// Road-haul rough-1: a stalled processor rejects and names seconds, and is back within half a second.
#[test]
fn one_rejection_does_not_close_a_server_for_seconds() {
    let overloaded = Cause::ProcessorOverloaded { retry_after: Some(5 * SEC) };
    let shut_for = |times: u64, calls: u64| {
        let mut harness = PolicyHarness::new(1);
        for id in 1_000..1_000 + calls {
            harness.call(id, 0);
            harness.advance(20 * MS);
            harness.establish(id, 20 * MS);
            harness.advance(80 * MS);
        }
        for id in 1..=times {
            harness.call(id, 0);
            harness.end_attempt(id, Outcome::Rejected, overloaded, LoadReport::default());
            harness.event(Event::CallerGone { call: CallId(id) });
            harness.advance(4 * SEC);
        }
        harness.call(99, 0);
        harness.end_attempt(99, Outcome::Rejected, overloaded, LoadReport::default());
        harness.event(Event::CallerGone { call: CallId(99) });
        let start = harness.now;
        while harness.gauge(0).occupancy > 0.8 {
            harness.advance(50 * MS);
            harness.event(Event::Timer { key: 0 });
        }
        harness.now - start
    };
    let (busy, seldom) = (shut_for(0, 100), shut_for(0, 0));
    assert!(busy < SEC, "{busy}: a gatekeeper with ten calls a second looks again soon");
    assert!(seldom > 4 * SEC, "{seldom}: one with hardly any goes by what was reported");
    assert!(shut_for(2, 100) > busy, "recurring ones count for more");
}

/// Every gatekeeper sees the same server: an unanswered set-up of one stands for those of the others. At 10 gatekeepers it
/// counts for 0.4 * 10 = 4 set-ups, here of 0.8 * 20 ms: p = 0.8 * 64 / 250; a lone gatekeeper counts its own only.
#[test]
fn unanswered_setup_counts_by_the_number_of_gatekeepers() {
    for (gatekeeper_count, p) in [(10, 0.2048), (1, 0.0512)] {
        let mut harness = PolicyHarness::with(Settings { gatekeeper_count, ..settings() }, 1);
        harness.teach_setup_delay(1, 0, 20 * MS);
        harness.advance(SEC);
        harness.call(2, 0);
        assert!(
            (harness.gauge(0).occupancy - p).abs() < 1e-9,
            "{gatekeeper_count} gatekeepers: {:?}",
            harness.gauge(0)
        );
    }
}

fn one_of_many(servers: u32) -> PolicyHarness {
    PolicyHarness::with(Settings { gatekeeper_count: 200, may_check_health: true, ..settings() }, servers)
}

fn health_checks(harness: &PolicyHarness, server: u32) -> usize {
    harness.log.iter().filter(|(_, a)| *a == Action::CheckHealth { server: ServerId(server) }).count()
}

/// Tana-freight-later: 243 gatekeepers with a call each three seconds filled servers before any of them saw it.
#[test]
fn stale_load_is_refreshed_by_a_health_check_before_a_send() {
    let mut harness = one_of_many(1);
    harness.call(1, 0);
    assert_eq!((harness.attempts(1).len(), health_checks(&harness, 0)), (0, 1));
    harness.report_wait(0, 10.0);
    assert_eq!(harness.attempts(1), [0], "goes once the news is there");
    harness.establish(1, 20 * MS);
    harness.call(2, 0);
    assert_eq!(
        (harness.attempts(2).len(), health_checks(&harness, 0)),
        (1, 1),
        "no second health check while the evidence is recent"
    );
    let mut without = PolicyHarness::new(1);
    without.call(1, 0);
    assert_eq!(
        (without.attempts(1).len(), health_checks(&without, 0)),
        (1, 0),
        "nor where probes are not allowed"
    );
}

/// Corridor-voice-later: a reported rate moves slower than a reported wait; asking as often only cost.
#[test]
fn reported_rate_goes_stale_later_than_reported_wait() {
    let asked_again_after = |load: LoadReport, span: Micros| {
        let mut harness = one_of_many(1);
        harness.report_load(0, load);
        harness.advance(span);
        harness.call(1, 0);
        health_checks(&harness, 0) == 1
    };
    let wait = LoadReport { queueing_delay_ms: Some(5.0), ..LoadReport::default() };
    let rate = LoadReport { allowed_rate: Some(4_000.0), ..LoadReport::default() };
    assert!(!asked_again_after(wait, 500 * MS) && asked_again_after(wait, SEC));
    assert!(!asked_again_after(rate, SEC) && asked_again_after(rate, 2 * SEC));
}

/// Tana-freight-later big-1: a health check answered without figures kept a server's calls for ever.
#[test]
fn health_check_without_figures_holds_no_call() {
    let mut harness = one_of_many(1);
    harness.call(1, 0);
    harness.report_load(0, LoadReport::default());
    assert_eq!(harness.attempts(1), [0]);
}

/// Tana-freight-later rough-2: health checks at an overloaded processor timed out, and the calls were sent all the same.
#[test]
fn failed_health_check_closes_its_server() {
    let mut harness = one_of_many(2);
    harness.call(1, 0);
    harness.event(Event::Load { server: ServerId(0), answered: false, load: LoadReport::default() });
    assert!(harness.gauge(0).occupancy > 0.8, "{:?}", harness.gauge(0));
    assert_eq!(health_checks(&harness, 1), 1, "the second choice is asked instead");
    harness.report_wait(1, 10.0);
    assert_eq!(harness.attempts(1), [1]);
}

/// Corridor-voice-later overload: an overloaded server allows a tenth, and gatekeepers that never heard another figure
/// took it for the usual.
#[test]
fn gatekeeper_keeps_to_its_part_of_the_allowed_rate() {
    let sent_in_10_s = |gatekeeper_count: u32, allowed: f64| {
        let mut harness = PolicyHarness::with(Settings { gatekeeper_count, ..settings() }, 1);
        let mut sent = 0;
        for id in 0..100 {
            harness.report_load(0, LoadReport { allowed_rate: Some(allowed), ..LoadReport::default() });
            harness.call(id, 0);
            if !harness.attempts(id).is_empty() {
                sent += 1;
                harness.establish(id, 20 * MS);
            }
            harness.event(Event::CallerGone { call: CallId(id) });
            harness.advance(100 * MS);
        }
        sent
    };
    let pressed = sent_in_10_s(400, 4.0);
    assert!(pressed <= 3, "{pressed} sent where its share is 0.01 to 0.11 a second");
    let healthy = sent_in_10_s(4, 100.0);
    assert!(healthy > 90, "{healthy} of 100 where its share is more than it has");
}

/// Corridor-voice-later big-1: gatekeepers that stood still took their own absence for every server's wait.
#[test]
fn own_stall_is_not_taken_for_a_servers_wait() {
    let p_after = |stalls: bool| {
        let mut harness = PolicyHarness::new(1);
        harness.teach_setup_delay(1, 0, 20 * MS);
        harness.advance(SEC);
        harness.call(2, 0);
        if stalls {
            harness.now += 1_500 * MS;
        } else {
            harness.advance(1_500 * MS);
        }
        harness.establish(2, 1_500 * MS);
        harness.gauge(0).occupancy
    };
    assert!(p_after(true) < 0.5, "{}", p_after(true));
    assert!(p_after(false) > 0.8, "{}", p_after(false));
}
