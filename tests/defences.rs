//! One test for each failure found: taken out, the defence's test fails.

mod common;
use cobaltspool::*;
use common::*;

fn load(free: f64, lines: f64) -> LoadReport {
    LoadReport { free_lines: Some(free), lines: Some(lines), ..LoadReport::default() }
}

/// Overloaded days: callers who dialled again took half of the capacity for a quarter of the worth.
#[test]
fn redials_wait_for_spare_capacity() {
    let mut bed = Bed::new(1);
    bed.press(0, 1_000.0);
    bed.call_as(1, 0, 42, 0);
    bed.pass(3 * SEC);
    assert_eq!(bed.finals(1), 1);
    bed.press(0, 120.0);
    bed.call_as(2, 0, 42, 0);
    bed.call_as(3, 0, 43, 0);
    assert_eq!((bed.sent(2).len(), bed.sent(3).len()), (0, 1), "the fresh call goes, the redial waits");
    bed.stands(3, 20 * MS);
    bed.pass(500 * MS);
    bed.call_as(4, 0, 42, 0);
    assert_eq!(bed.sent(4), [0], "with room it goes");
}

#[test]
fn redials_leave_the_last_lines() {
    let mut bed = Bed::new(1);
    bed.press(0, 1_000.0);
    bed.call_as(1, 0, 42, 0);
    bed.pass(4 * SEC);
    assert_eq!(bed.finals(1), 1);
    bed.report(0, load(5.0, 100.0));
    bed.call_as(2, 0, 42, 0);
    bed.call_as(3, 0, 43, 0);
    assert_eq!((bed.sent(2).len(), bed.sent(3).len()), (0, 1));
}

/// Corridor big-2: a server without a free line answered at once, and fronts rushed for each line.
#[test]
fn a_server_without_a_free_line_is_passed_over() {
    let mut bed = Bed::new(2);
    bed.report(0, load(0.0, 80.0));
    bed.call(1, 0);
    assert_eq!(bed.sent(1), [1]);
    bed.pass(600 * MS);
    bed.call(2, 0);
    assert_eq!(bed.sent(2), [0], "but not on old news");
}

/// Tana-freight big-2: overflow spread evenly drowned the small servers.
#[test]
fn overflow_follows_size() {
    let mut large = 0;
    for seed in 0..200 {
        let mut bed = Bed { front: Controller::new(settings(), seed), ..Bed::new(0) };
        bed.list(ListScope::Whole, vec![up(0), up(1), up(2)]);
        bed.report(0, load(0.0, 100.0));
        bed.report(1, load(10.0, 10.0));
        bed.report(2, load(90.0, 90.0));
        bed.call(1, 0);
        large += usize::from(bed.sent(1) == [2]);
    }
    assert!((160..=196).contains(&large), "{large} of 200 went to the server with nine tenths of the lines");
}

/// A small server's own work is its wait: at a least delay of 300 ms one unanswered set-up is already too much.
#[test]
fn own_sends_count_at_once_by_their_work() {
    let mut bed = Bed::new(2);
    bed.learn(1, 0, 300 * MS);
    bed.learn(2, 1, 20 * MS);
    bed.pass(SEC);
    bed.call(3, 0);
    bed.call(4, 0);
    assert_eq!((bed.sent(3), bed.sent(4)), (vec![0], vec![1]));
}

/// All later deployments: taking calls back from slow servers repeated their work elsewhere and fed the jam.
#[test]
fn a_slow_server_keeps_its_calls_and_a_silent_one_gets_one_trial_at_a_time() {
    let mut bed = Bed::new(2);
    bed.call(1, 0);
    bed.pass(2_900 * MS);
    assert_eq!((bed.sent(1), bed.cancels(1)), (vec![0], 0), "not called off before its caller gives up");
    bed.ends(1, Outcome::TimedOut, Cause::Untold, LoadReport::default());
    assert!(bed.gauge(0).silent);
    bed.press(1, 9_000.0);
    bed.pass(500 * MS);
    bed.call(2, 0);
    bed.call(3, 0);
    bed.pass(600 * MS);
    let trials = [2, 3].iter().filter(|id| bed.sent(**id).contains(&0)).count();
    assert_eq!(trials, 1, "one trial at a time");
}

/// A number whose lines are all busy is left alone for a while; other numbers are served.
#[test]
fn a_busy_number_rests() {
    let mut bed = Bed::new(1);
    bed.call_as(1, 0, 7, 0);
    bed.ends(1, Outcome::Failed, Cause::NumberBusy, LoadReport::default());
    assert_eq!(bed.finals(1), 1, "no second attempt for a busy number");
    bed.call_as(2, 0, 7, 0);
    bed.call_as(3, 0, 8, 0);
    assert_eq!((bed.sent(2).len(), bed.finals(2), bed.sent(3).len()), (0, 1, 1));
    bed.stands(3, 20 * MS);
    bed.pass(2_500 * MS);
    bed.call_as(4, 0, 7, 0);
    bed.pass(500 * MS);
    assert_eq!(bed.sent(4).len(), 1, "tried again after its rest");
}

/// Incident i6595da: a server that fails set-ups fast looks idle; it comes last in the route, but it does come.
#[test]
fn a_server_that_fails_set_ups_comes_last() {
    let mut bed = Bed::new(2);
    for id in 1..5 {
        bed.call(id, 0);
        bed.ends(id, Outcome::Failed, Cause::Untold, LoadReport::default());
        bed.stands(id, 20 * MS);
    }
    bed.call(5, 0);
    assert_eq!(bed.sent(5), [1], "elsewhere first, though it is the first choice");
    bed.stands(5, 20 * MS);
    bed.press(1, 9_000.0);
    bed.call(6, 0);
    assert_eq!(bed.sent(6), [0], "there when no other is open");
    bed.ends(6, Outcome::Failed, Cause::Untold, LoadReport::default());
    assert_eq!(bed.sent(6), [0, 0], "and again, since the next may stand");
}

/// Road-haul rough-1: a stalled processor says full and names seconds, and is back within half a second.
#[test]
fn one_full_answer_does_not_shut_for_seconds() {
    let full = Cause::ProcessorFull { wait: Some(5 * SEC) };
    let shut_for = |times: u64, calls: u64| {
        let mut bed = Bed::new(1);
        for id in 1_000..1_000 + calls {
            bed.call(id, 0);
            bed.pass(20 * MS);
            bed.stands(id, 20 * MS);
            bed.pass(80 * MS);
        }
        for id in 1..=times {
            bed.call(id, 0);
            bed.ends(id, Outcome::Full, full, LoadReport::default());
            bed.event(Event::CallerGone { call: CallId(id) });
            bed.pass(4 * SEC);
        }
        bed.call(99, 0);
        bed.ends(99, Outcome::Full, full, LoadReport::default());
        bed.event(Event::CallerGone { call: CallId(99) });
        let start = bed.now;
        while bed.gauge(0).p > 0.8 {
            bed.pass(50 * MS);
            bed.event(Event::Timer { key: 0 });
        }
        bed.now - start
    };
    let (busy, seldom) = (shut_for(0, 100), shut_for(0, 0));
    assert!(busy < SEC, "{busy}: a front with ten calls a second looks again soon");
    assert!(seldom > 4 * SEC, "{seldom}: one with hardly any goes by what it was told");
    assert!(shut_for(2, 100) > busy, "recurring ones count for more");
}

/// Every front sees the same server: an unanswered set-up of one stands for those of the others. At 10 fronts it
/// counts for 0.4 * 10 = 4 set-ups, here of 0.8 * 20 ms: p = 0.8 * 64 / 250; a lone front counts its own only.
#[test]
fn an_unanswered_set_up_counts_by_the_number_of_fronts() {
    for (fronts, p) in [(10, 0.2048), (1, 0.0512)] {
        let mut bed = Bed::with(Settings { fronts, ..settings() }, 1);
        bed.learn(1, 0, 20 * MS);
        bed.pass(SEC);
        bed.call(2, 0);
        assert!((bed.gauge(0).p - p).abs() < 1e-9, "{fronts} fronts: {:?}", bed.gauge(0));
    }
}

fn one_of_many(servers: u32) -> Bed {
    Bed::with(Settings { fronts: 200, may_probe: true, ..settings() }, servers)
}

fn probes(bed: &Bed, server: u32) -> usize {
    bed.log.iter().filter(|(_, a)| *a == Action::Probe { server: ServerId(server) }).count()
}

/// Tana-freight-later: 243 fronts with a call each three seconds filled servers before any of them saw it.
#[test]
fn old_news_is_renewed_before_a_call_goes() {
    let mut bed = one_of_many(1);
    bed.call(1, 0);
    assert_eq!((bed.sent(1).len(), probes(&bed, 0)), (0, 1));
    bed.press(0, 10.0);
    assert_eq!(bed.sent(1), [0], "goes once the news is there");
    bed.stands(1, 20 * MS);
    bed.call(2, 0);
    assert_eq!((bed.sent(2).len(), probes(&bed, 0)), (1, 1), "no second probe while the news is fresh");
    let mut without = Bed::new(1);
    without.call(1, 0);
    assert_eq!((without.sent(1).len(), probes(&without, 0)), (1, 0), "nor where probes are not allowed");
}

/// Corridor-voice-later: a told rate moves slower than a told wait; asking as often only cost.
#[test]
fn a_told_rate_holds_longer_than_a_told_wait() {
    let asked_again_after = |load: LoadReport, span: Micros| {
        let mut bed = one_of_many(1);
        bed.report(0, load);
        bed.pass(span);
        bed.call(1, 0);
        probes(&bed, 0) == 1
    };
    let wait = LoadReport { wait_ms: Some(5.0), ..LoadReport::default() };
    let rate = LoadReport { allowed: Some(4_000.0), ..LoadReport::default() };
    assert!(!asked_again_after(wait, 500 * MS) && asked_again_after(wait, SEC));
    assert!(!asked_again_after(rate, SEC) && asked_again_after(rate, 2 * SEC));
}

/// Tana-freight-later big-1: a probe answered without figures kept a server's calls for ever.
#[test]
fn a_probe_that_tells_nothing_holds_no_call() {
    let mut bed = one_of_many(1);
    bed.call(1, 0);
    bed.report(0, LoadReport::default());
    assert_eq!(bed.sent(1), [0]);
}

/// Tana-freight-later rough-2: probes at a full processor timed out, and the calls were sent all the same.
#[test]
fn a_failed_probe_shuts_its_server() {
    let mut bed = one_of_many(2);
    bed.call(1, 0);
    bed.event(Event::Load { server: ServerId(0), answered: false, load: LoadReport::default() });
    assert!(bed.gauge(0).p > 0.8, "{:?}", bed.gauge(0));
    assert_eq!(probes(&bed, 1), 1, "the second choice is asked instead");
    bed.press(1, 10.0);
    assert_eq!(bed.sent(1), [1]);
}

/// Corridor-voice-later overload: a pressed server allows a tenth, and fronts that never heard another figure
/// took it for the usual.
#[test]
fn a_front_keeps_to_its_share_of_what_a_server_allows() {
    let sent_in_10_s = |fronts: u32, allowed: f64| {
        let mut bed = Bed::with(Settings { fronts, ..settings() }, 1);
        let mut sent = 0;
        for id in 0..100 {
            bed.report(0, LoadReport { allowed: Some(allowed), ..LoadReport::default() });
            bed.call(id, 0);
            if !bed.sent(id).is_empty() {
                sent += 1;
                bed.stands(id, 20 * MS);
            }
            bed.event(Event::CallerGone { call: CallId(id) });
            bed.pass(100 * MS);
        }
        sent
    };
    let pressed = sent_in_10_s(400, 4.0);
    assert!(pressed <= 3, "{pressed} sent where its share is 0.01 to 0.11 a second");
    let healthy = sent_in_10_s(4, 100.0);
    assert!(healthy > 90, "{healthy} of 100 where its share is more than it has");
}

/// Corridor-voice-later big-1: fronts that stood still took their own absence for every server's wait.
#[test]
fn an_own_stall_is_no_servers_wait() {
    let p_after = |stalls: bool| {
        let mut bed = Bed::new(1);
        bed.learn(1, 0, 20 * MS);
        bed.pass(SEC);
        bed.call(2, 0);
        if stalls {
            bed.now += 1_500 * MS;
        } else {
            bed.pass(1_500 * MS);
        }
        bed.stands(2, 1_500 * MS);
        bed.gauge(0).p
    };
    assert!(p_after(true) < 0.5, "{}", p_after(true));
    assert!(p_after(false) > 0.8, "{}", p_after(false));
}
