//! One regression test for each failure found. A test fails if the protection against its failure is removed.

mod policy_harness;
use cobaltspool::*;
use policy_harness::*;

fn load(free: f64, lines: f64) -> LoadReport {
    LoadReport { free_lines: Some(free), total_lines: Some(lines), ..LoadReport::default() }
}

/// Under sustained overload, redials used half of the capacity for a quarter of the weight.
#[test]
fn redial_waits_for_spare_capacity() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 1_000.0);
    harness.call_with(1, 0, 42, 0);
    harness.advance(3 * SEC);
    assert_eq!(harness.final_answers(1), 1);
    harness.report_delay(0, 120.0);
    harness.call_with(2, 0, 42, 0);
    harness.call_with(3, 0, 43, 0);
    assert_eq!(
        (harness.attempts(2).len(), harness.attempts(3).len()),
        (0, 1),
        "the new call is sent, the redial waits"
    );
    harness.establish(3, 20 * MS);
    harness.advance(500 * MS);
    harness.call_with(4, 0, 42, 0);
    assert_eq!(harness.attempts(4), [0], "sent when capacity is available");
}

#[test]
fn redial_does_not_get_the_last_free_lines() {
    let mut harness = PolicyHarness::new(1);
    harness.report_delay(0, 1_000.0);
    harness.call_with(1, 0, 42, 0);
    harness.advance(4 * SEC);
    assert_eq!(harness.final_answers(1), 1);
    harness.report_load(0, load(5.0, 100.0));
    harness.call_with(2, 0, 42, 0);
    harness.call_with(3, 0, 43, 0);
    assert_eq!((harness.attempts(2).len(), harness.attempts(3).len()), (0, 1));
}

/// Scenario "Corridor big-2": a server without a free line rejected attempts at once, so that gatekeepers competed for
/// every line that became free.
#[test]
fn server_without_a_free_line_gets_no_call() {
    let mut harness = PolicyHarness::new(2);
    harness.report_load(0, load(0.0, 80.0));
    harness.call(1, 0);
    assert_eq!(harness.attempts(1), [1]);
    harness.advance(600 * MS);
    harness.call(2, 0);
    assert_eq!(harness.attempts(2), [0], "a server is not excluded by an outdated count of free lines");
}

/// Scenario "Tana-freight big-2": overflow that was spread evenly overloaded the small servers.
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

/// A small server has a long service time: with a smallest set-up delay of 300 ms one unanswered set-up already
/// raises its estimated occupancy above the limit.
#[test]
fn unanswered_attempts_count_at_once_by_their_service_time() {
    let mut harness = PolicyHarness::new(2);
    harness.set_min_setup_delay(1, 0, 300 * MS);
    harness.set_min_setup_delay(2, 1, 20 * MS);
    harness.advance(SEC);
    harness.call(3, 0);
    harness.call(4, 0);
    assert_eq!((harness.attempts(3), harness.attempts(4)), (vec![0], vec![1]));
}

/// In all later deployments, cancelling attempts at slow servers repeated their work at other servers and increased the
/// overload.
#[test]
fn attempts_at_slow_servers_are_not_cancelled_and_ejected_servers_get_one_trial_at_a_time() {
    let mut harness = PolicyHarness::new(2);
    harness.call(1, 0);
    harness.advance(2_900 * MS);
    assert_eq!(
        (harness.attempts(1), harness.cancellations(1)),
        (vec![0], 0),
        "not cancelled before the caller gives up"
    );
    harness.end_attempt(1, Outcome::TimedOut, Cause::Unspecified, LoadReport::default());
    assert!(harness.gauge(0).is_ejected);
    harness.report_delay(1, 9_000.0);
    harness.advance(500 * MS);
    harness.call(2, 0);
    harness.call(3, 0);
    harness.advance(600 * MS);
    let trials = [2, 3].iter().filter(|id| harness.attempts(**id).contains(&0)).count();
    assert_eq!(trials, 1, "one trial call at a time");
}

/// A number whose lines are all busy gets no attempts for a while. Calls to other numbers are sent.
#[test]
fn busy_number_gets_no_attempts_during_its_backoff() {
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
    assert_eq!(harness.attempts(4).len(), 1, "tried again after the backoff");
}

/// Incident i6595da: a server that fails set-ups fast appears idle. It is chosen last, but is still chosen.
#[test]
fn server_that_fails_attempts_is_chosen_last() {
    let mut harness = PolicyHarness::new(2);
    for id in 1..5 {
        harness.call(id, 0);
        harness.end_attempt(id, Outcome::Failed, Cause::Unspecified, LoadReport::default());
        harness.establish(id, 20 * MS);
    }
    harness.call(5, 0);
    assert_eq!(harness.attempts(5), [1], "another server first, although 0 is the first choice");
    harness.establish(5, 20 * MS);
    harness.report_delay(1, 9_000.0);
    harness.call(6, 0);
    assert_eq!(harness.attempts(6), [0], "the failing server if no other is open");
    harness.end_attempt(6, Outcome::Failed, Cause::Unspecified, LoadReport::default());
    assert_eq!(harness.attempts(6), [0, 0], "and again, since the next attempt may succeed");
}

/// Scenario "Road-haul rough-1": a stalled processor rejects attempts with a retry-after time of seconds, but recovers
/// within half a second.
#[test]
fn one_rejection_does_not_close_a_server_for_seconds() {
    let overloaded = Cause::ProcessorOverloaded { retry_after: Some(5 * SEC) };
    let closed_for = |rejections: u64, calls: u64| {
        let mut harness = PolicyHarness::new(1);
        for id in 1_000..1_000 + calls {
            harness.call(id, 0);
            harness.advance(20 * MS);
            harness.establish(id, 20 * MS);
            harness.advance(80 * MS);
        }
        for id in 1..=rejections {
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
    let (frequent, rare) = (closed_for(0, 100), closed_for(0, 0));
    assert!(frequent < SEC, "{frequent}: a gatekeeper with ten calls per second retries soon");
    assert!(rare > 4 * SEC, "{rare}: a gatekeeper with hardly any calls uses the reported time");
    assert!(closed_for(2, 100) > frequent, "recurring rejections count for more");
}

/// All gatekeepers share the servers, so an unanswered set-up of one also represents those of the others. With 10
/// gatekeepers it counts as 0.4 * 10 = 4 set-ups, here of 0.8 * 20 ms each: an occupancy of 0.8 * 64 / 250. A single
/// gatekeeper counts only its own set-up.
#[test]
fn unanswered_setup_counts_by_the_number_of_gatekeepers() {
    for (gatekeeper_count, expected) in [(10, 0.2048), (1, 0.0512)] {
        let mut harness = PolicyHarness::with(Settings { gatekeeper_count, ..settings() }, 1);
        harness.set_min_setup_delay(1, 0, 20 * MS);
        harness.advance(SEC);
        harness.call(2, 0);
        assert!(
            (harness.gauge(0).occupancy - expected).abs() < 1e-9,
            "{gatekeeper_count} gatekeepers: {:?}",
            harness.gauge(0)
        );
    }
}

fn one_of_200_gatekeepers(servers: u32) -> PolicyHarness {
    PolicyHarness::with(Settings { gatekeeper_count: 200, may_check_health: true, ..settings() }, servers)
}

fn health_checks(harness: &PolicyHarness, server: u32) -> usize {
    harness
        .log
        .iter()
        .filter(|(_, action)| *action == Action::CheckHealth { server: ServerId(server) })
        .count()
}

/// Scenario "Tana-freight-later": 243 gatekeepers with one call every three seconds each overloaded servers before any
/// of them detected it.
#[test]
fn stale_load_is_refreshed_by_a_health_check_before_a_send() {
    let mut harness = one_of_200_gatekeepers(1);
    harness.call(1, 0);
    assert_eq!((harness.attempts(1).len(), health_checks(&harness, 0)), (0, 1));
    harness.report_delay(0, 10.0);
    assert_eq!(harness.attempts(1), [0], "sent once the load is reported");
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
        "no health check if the settings do not permit it"
    );
}

/// Scenario "Corridor-voice-later": a reported rate changes more slowly than a reported delay, so equally frequent
/// health checks were a cost without a benefit.
#[test]
fn reported_rate_becomes_stale_later_than_reported_delay() {
    let is_checked_after = |load: LoadReport, span: Micros| {
        let mut harness = one_of_200_gatekeepers(1);
        harness.report_load(0, load);
        harness.advance(span);
        harness.call(1, 0);
        health_checks(&harness, 0) == 1
    };
    let delay = LoadReport { queueing_delay_ms: Some(5.0), ..LoadReport::default() };
    let rate = LoadReport { allowed_rate: Some(4_000.0), ..LoadReport::default() };
    assert!(!is_checked_after(delay, 500 * MS) && is_checked_after(delay, SEC));
    assert!(!is_checked_after(rate, SEC) && is_checked_after(rate, 2 * SEC));
}

/// Scenario "Tana-freight-later big-1": a health check that was answered without load values blocked the calls for its
/// server permanently.
#[test]
fn health_check_without_values_does_not_block_calls() {
    let mut harness = one_of_200_gatekeepers(1);
    harness.call(1, 0);
    harness.report_load(0, LoadReport::default());
    assert_eq!(harness.attempts(1), [0]);
}

/// Scenario "Tana-freight-later rough-2": health checks at an overloaded processor timed out, and the calls were sent
/// anyway.
#[test]
fn failed_health_check_closes_its_server() {
    let mut harness = one_of_200_gatekeepers(2);
    harness.call(1, 0);
    harness.event(Event::Load { server: ServerId(0), answered: false, load: LoadReport::default() });
    assert!(harness.gauge(0).occupancy > 0.8, "{:?}", harness.gauge(0));
    assert_eq!(health_checks(&harness, 1), 1, "the other server gets a health check instead");
    harness.report_delay(1, 10.0);
    assert_eq!(harness.attempts(1), [1]);
}

/// Scenario "Corridor-voice-later overload": an overloaded server allows a tenth of its usual rate, and gatekeepers
/// that had received no other value took this rate for the usual one.
#[test]
fn gatekeeper_sends_at_most_its_share_of_the_allowed_rate() {
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
    let overloaded = sent_in_10_s(400, 4.0);
    assert!(overloaded <= 3, "{overloaded} sent with a share of 0.01 to 0.11 per second");
    let healthy = sent_in_10_s(4, 100.0);
    assert!(healthy > 90, "{healthy} of 100 sent with a share above the arrival rate");
}

/// Scenario "Corridor-voice-later big-1": gatekeepers that stalled attributed the duration of the stall to every server
/// as queueing delay.
#[test]
fn stall_of_the_gatekeeper_is_not_attributed_to_a_server() {
    let occupancy_after = |stalls: bool| {
        let mut harness = PolicyHarness::new(1);
        harness.set_min_setup_delay(1, 0, 20 * MS);
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
    assert!(occupancy_after(true) < 0.5, "{}", occupancy_after(true));
    assert!(occupancy_after(false) > 0.8, "{}", occupancy_after(false));
}
