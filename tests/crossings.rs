//! Crossings on the platform's front: two things meet in the program between two of its lines. Each is forced: the program is
//! stopped while its peers act, so both are in the kernel before any of it may run.

mod peers;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;
use serde_json::{Value, json};

const TAG: &str = "9b1f03aa5c7e2d41";
const OTHER: &str = "00000000000000b2";
const THIRD: &str = "00000000000000c3";

/// A gatekeeper with one server, its connection there, and its address.
fn gatekeeper() -> (TcpListener, Resolver, Program, Lines, SocketAddr) {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let (program, gate) = Program::platform(&resolver, settings());
    let far = Lines::accept(&server);
    (server, resolver, program, far, gate)
}

fn says(line: Value) -> String {
    format!("{line}\n")
}

fn set_up(tag: &str, left: u64, blob: &str) -> String {
    says(json!({"verb": "START", "tag": tag, "blob": blob,
        "opts": {"class": "check-setup", "left": left.to_string(), "key": "7f3a9c21e0b4d655", "extras": "dest:0"}}))
}

/// How a caller leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    GivesUp,
    Closes,
    Resets,
}

impl Leaves {
    /// Leaves, and gives what is left of its connection: it stays until the end of the story.
    fn leave(self, mut caller: Lines, tag: &str) -> Option<Lines> {
        match self {
            Leaves::GivesUp => {
                caller.finish(&json!(tag), 16, json!({}));
                Some(caller)
            }
            Leaves::Closes => {
                caller.close();
                None
            }
            Leaves::Resets => {
                caller.reset();
                None
            }
        }
    }
}

// ---- Stop ----

/// SIGTERM finds set-ups unread, in the accept queue, half read, and out at the server; then come a second SIGTERM and
/// a SIGHUP. Each call gets its one answer, and the end is a good one.
#[test]
fn a_stop_loses_no_set_up_wherever_it_is() {
    let (_server, _resolver, mut program, mut far, gate) = gatekeeper();
    let (mut out, mut unread, mut half) = (Lines::connect(gate), Lines::connect(gate), Lines::connect(gate));
    out.start(TAG, 5000, 0);
    far.expect("START");
    let text = set_up(THIRD, 5000, "v=0");
    half.raw(&text.as_bytes()[..40]);
    half_is_read(&mut out);
    let mut queued = program.crossed(|| {
        unread.start(OTHER, 5000, 0);
        let mut queued = Lines::connect(gate);
        queued.start("00000000000000d4", 5000, 0);
        far.started(&json!(TAG));
        program.terminate();
        queued
    });
    half.raw(&text.as_bytes()[40..]);
    program.terminate();
    program.hang_up();
    let mut tags: Vec<Value> = (0..3).map(|_| far.expect("START")["tag"].clone()).collect();
    for tag in &tags {
        far.started(tag);
    }
    tags.sort_by_key(Value::to_string);
    assert_eq!(tags, [OTHER, THIRD, "00000000000000d4"]);
    let mut callers =
        [(&mut out, TAG), (&mut unread, OTHER), (&mut half, THIRD), (&mut queued, "00000000000000d4")];
    for (caller, tag) in &mut callers {
        assert_eq!(caller.expect("STARTED")["tag"], *tag);
        caller.finish(&json!(tag), 16, json!({}));
        caller.expect("FINISHED");
    }
    for (caller, _) in &mut callers {
        assert_eq!(caller.until_closed(), "", "nothing more, and no reset");
    }
    assert!(program.ended().success());
    assert!(!program.rest_of_log().contains("invariant"));
}

/// What was said before on one connection is read before what is asked now on another.
fn half_is_read(caller: &mut Lines) {
    for _ in 0..2 {
        caller.nothing_but_an_echo();
    }
}

/// After its last look the program still answers what comes until its connections are closed, and closes them in good
/// order: an exit over what is unread resets connections, and a set-up ends with no answer.
#[test]
fn an_exit_answers_what_came_since_the_last_look() {
    let (_server, _resolver, mut program, mut far, gate) = gatekeeper();
    let (mut caller, mut half) = (Lines::connect(gate), Lines::connect(gate));
    caller.start(TAG, 5000, 0);
    far.expect("START");
    far.started(&json!(TAG));
    caller.expect("STARTED");
    half.nothing_but_an_echo();
    program.terminate();
    assert_eq!(caller.expect("FINISH")["rc"], 41, "the last look: what still stood is over");
    let mut queued = program.crossed(|| {
        caller.start(OTHER, 5000, 0);
        let mut queued = Lines::connect(gate);
        queued.start(THIRD, 5000, 0);
        half.raw(b"{\"verb\":\"ST");
        std::thread::sleep(Duration::from_millis(400)); // all of its last waits are over when it goes on
        queued
    });
    let refused = |text: String, tag: &str| {
        let told: Value = serde_json::from_str(&text).unwrap_or_else(|_| panic!("an answer, not {text:?}"));
        assert_eq!((&told["verb"], &told["tag"], &told["rc"]), (&json!("FINISH"), &json!(tag), &json!(34)));
    };
    refused(caller.until_closed(), OTHER);
    refused(queued.until_closed(), THIRD);
    assert_eq!(half.until_closed(), "");
    assert!(program.ended().success());
}

/// SIGKILL comes 0.7 s after the longest that a caller waits, where that is under 3 s: what stands is released before.
#[test]
fn a_stop_keeps_to_short_deadlines() {
    let (server, at) = listen();
    let mut short = settings();
    short["services"][0]["hard-limit-us"] = json!(800_000);
    short["services"][0]["aim-us"] = json!(200_000);
    let (mut program, gate) = Program::platform(&Resolver::new(vec![line("s-1", at, 0)]), short);
    let (mut far, mut caller) = (Lines::accept(&server), Lines::connect(gate));
    caller.start(TAG, 800, 0);
    far.expect("START");
    far.started(&json!(TAG));
    caller.expect("STARTED");
    let told = Instant::now();
    program.terminate();
    assert_eq!(caller.expect("FINISH")["rc"], 41);
    assert_eq!(far.expect("FINISH")["rc"], 16);
    assert!(program.ended().success());
    assert!(told.elapsed() < Duration::from_millis(2_500), "{:?}", told.elapsed());
}

// ---- Close ----

/// A connection's time without use is over, and a set-up is there before the program sees that: it is taken and answered.
#[test]
fn a_set_up_that_comes_before_our_close_is_taken() {
    let (_server, _resolver, program, mut far, gate) = gatekeeper();
    let mut idle = Lines::connect(gate);
    idle.nothing_but_an_echo();
    program.crossed(|| {
        idle.start(TAG, 9000, 0);
        std::thread::sleep(Duration::from_millis(2_100)); // its time without use is over
    });
    assert_eq!(far.expect("START")["tag"], TAG);
    far.started(&json!(TAG));
    assert_eq!(idle.expect("STARTED")["tag"], TAG);
}

/// At the bound of connections one without use is to make way as a set-up is there on it: it is taken and answered.
#[test]
fn a_set_up_on_a_connection_that_makes_way_is_taken() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let mut few = Program::platform_config(&resolver, settings());
    few["limits"]["sockets"] = json!(4); // of which callers have two
    let (program, gate) = Program::by(few);
    let mut far = Lines::accept(&server);
    let (mut one, mut two) = (Lines::connect(gate), Lines::connect(gate));
    for (caller, tag) in [(&mut one, OTHER), (&mut two, THIRD)] {
        caller.start(tag, 9000, 0);
        far.expect("START");
        far.started(&json!(tag));
        caller.expect("STARTED");
    }
    let _three = program.crossed(|| {
        let three = Lines::connect(gate); // first: the one that was used least lately makes way
        one.start(TAG, 9000, 0);
        three
    });
    far.until("START", TAG);
    far.started(&json!(TAG));
    assert_eq!(one.expect("STARTED")["tag"], TAG);
}

/// A server's last answer stands before its reset, and the program is about to write there: the answer counts.
#[rstest]
fn an_answer_just_before_a_reset_is_heard(#[values(1, 2, 3, 4)] _round: u32) {
    let (_server, _resolver, program, mut far, gate) = gatekeeper();
    let (mut caller, mut next) = (Lines::connect(gate), Lines::connect(gate));
    next.nothing_but_an_echo();
    caller.start(TAG, 9000, 0);
    far.expect("START");
    program.crossed(|| {
        next.start(OTHER, 9000, 0); // first: it is written to the server's connection in the same turn
        far.started(&json!(TAG));
        far.reset();
    });
    assert_eq!(caller.expect("STARTED")["tag"], TAG);
}

// ---- Client gone ----

/// A set-up is there, and so is its caller's leaving, before the program may run: nothing of it is written to a server.
#[rstest]
fn a_set_up_that_has_left_when_it_is_read_is_not_sent(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let (_server, _resolver, program, mut far, gate) = gatekeeper();
    let mut caller = Lines::connect(gate);
    caller.nothing_but_an_echo();
    let mut other = Lines::connect(gate);
    other.nothing_but_an_echo();
    let _caller = program.crossed(|| {
        caller.start(TAG, 9000, 0);
        how.leave(caller, TAG)
    });
    other.nothing_but_an_echo();
    other.start(OTHER, 9000, 0);
    assert_eq!(far.expect("START")["tag"], OTHER, "and nothing of who has left");
}

/// A caller leaves while its set-up waits in the module, for lines that are all busy: it is not sent on.
#[rstest]
fn a_set_up_that_waits_in_the_module_leaves_with_its_caller(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let (_server, _resolver, program, mut far, gate) = gatekeeper();
    let report =
        |free: u32| json!({"verb": "LOAD", "tag": TAG, "opts": {"load": format!("x0:{free};x1:40")}});
    let (mut one, mut two) = (Lines::connect(gate), Lines::connect(gate));
    for caller in [&mut one, &mut two] {
        caller.nothing_but_an_echo();
    }
    program.crossed(|| far.say(report(0)));
    far.nothing_but_an_echo_of_its_own();
    one.start(TAG, 9000, 0);
    one.nothing_but_an_echo();
    two.start(OTHER, 9000, 0);
    two.nothing_but_an_echo();
    let _one = program.crossed(|| {
        let left = how.leave(one, TAG);
        far.say(report(9));
        left
    });
    assert_eq!(far.expect("START")["tag"], OTHER);
    far.started(&json!(OTHER));
    two.expect("STARTED");
    two.start(THIRD, 9000, 0);
    assert_eq!(far.expect("START")["tag"], THIRD, "and nothing of who has left");
}

/// A caller leaves in the release wait between two attempts: there is no second one.
#[rstest]
fn a_set_up_in_its_release_wait_leaves_with_its_caller(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let (server, at) = listen();
    let mut slow = settings();
    slow["domain"]["clear-wait-us"] = json!(2_500_000); // it is not over before the program is stopped
    let (program, gate) = Program::platform(&Resolver::new(vec![line("s-1", at, 0)]), slow);
    let mut far = Lines::accept(&server);
    let (mut one, mut two) = (Lines::connect(gate), Lines::connect(gate));
    one.start(TAG, 9000, 0);
    two.start(OTHER, 9000, 0);
    let mut tags = [far.expect("START")["tag"].clone(), far.expect("START")["tag"].clone()];
    tags.sort_by_key(|tag| tag != TAG);
    for tag in &tags {
        far.finish(tag, 41, json!({})); // the one that leaves is cut first
    }
    far.nothing_but_an_echo_of_its_own();
    let _one = program.crossed(|| {
        std::thread::sleep(Duration::from_millis(2_600)); // the wait ends in the same turn
        how.leave(one, TAG)
    });
    assert_eq!(far.expect("START")["tag"], OTHER, "the other one goes out again after the same wait");
    far.started(&json!(OTHER));
    two.expect("STARTED");
    two.start(THIRD, 9000, 0);
    assert_eq!(far.expect("START")["tag"], THIRD, "and nothing of who has left");
}

/// A gatekeeper whose one server takes its connection late: not before the one that is given here is taken.
fn late_to_connect() -> (TcpListener, Lines, Resolver, Program, SocketAddr) {
    let (server, at) = listen_narrow(0);
    let first = Lines::connect(at);
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let mut patient = settings();
    patient["ceilings"]["dial-timeout-us"] = json!(15_000_000);
    let (program, gate) = Program::platform(&resolver, patient);
    (server, first, resolver, program, gate)
}

/// The connection for a set-up comes up in the turn in which its caller leaves: nothing of it is written there.
#[rstest]
fn what_waits_for_a_dial_leaves_with_its_caller(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let (server, _first, _resolver, program, gate) = late_to_connect();
    let (mut one, mut two) = (Lines::connect(gate), Lines::connect(gate));
    for (caller, tag) in [(&mut one, TAG), (&mut two, OTHER)] {
        caller.start(tag, 9000, 0);
        caller.nothing_but_an_echo();
    }
    let (mut far, _one) = program.crossed(|| {
        drop(Lines::accept(&server)); // there is room from here on
        (Lines::accept(&server), how.leave(one, TAG))
    });
    assert_eq!(far.expect("START")["tag"], OTHER, "and nothing of who has left");
}

/// The connection for a set-up comes up in the turn in which its caller's time ends: nothing of it is written there.
#[test]
fn what_waits_for_a_dial_is_not_sent_after_its_time() {
    let (server, _first, _resolver, program, gate) = late_to_connect();
    let (mut one, mut two) = (Lines::connect(gate), Lines::connect(gate));
    for (caller, tag, left) in [(&mut one, TAG, 3_000), (&mut two, OTHER, 9_000)] {
        caller.start(tag, left, 0);
        caller.nothing_but_an_echo();
    }
    let mut far = program.crossed(|| {
        drop(Lines::accept(&server)); // there is room from here on
        let far = Lines::accept(&server);
        std::thread::sleep(Duration::from_millis(3_000));
        far
    });
    assert_eq!(far.expect("START")["tag"], OTHER, "and nothing of whose time is over");
    assert_eq!(one.expect("FINISH")["tag"], TAG);
}

/// The connection for a set-up comes up after its server was told to drain: the set-up has gone elsewhere, and the server
/// hears nothing until it is gone.
#[test]
fn what_waits_for_a_dial_leaves_a_server_that_drains() {
    let (other, other_at) = listen();
    let (server, _first, resolver, _program, gate) = late_to_connect();
    let mut one = Lines::connect(gate);
    one.start(TAG, 9000, 0);
    one.nothing_but_an_echo();
    resolver.change(0, |list| {
        list[0].draining = true;
        list.push(line("s-2", other_at, 0));
    });
    let mut elsewhere = Lines::accept(&other);
    assert_eq!(elsewhere.expect("START")["tag"], TAG);
    elsewhere.started(&json!(TAG));
    one.expect("STARTED");
    drop(Lines::accept(&server)); // there is room from here on
    let mut late = Lines::accept(&server);
    let gone = resolver.change(0, |list| {
        list.remove(0);
    });
    resolver.told(gone);
    assert_eq!(late.until_closed(), "", "nothing for a server that drains");
}

/// A set-up stands in the outbox towards a server that does not read, when its caller leaves or the server is told to
/// drain: the server gets nothing of it when it reads again.
#[rstest]
#[case::its_caller_gives_it_up(Some(Leaves::GivesUp))]
#[case::its_caller_closes(Some(Leaves::Closes))]
#[case::its_server_drains(None)]
fn what_waits_in_an_outbox_is_taken_back(#[case] how: Option<Leaves>) {
    let (other, other_at) = listen();
    let (server, at) = listen_narrow(16);
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let mut slow = settings(); // with aims so long that silence does not shut the server
    slow["services"][0]["aim-us"] = json!(60_000_000);
    slow["services"][0]["hard-limit-us"] = json!(120_000_000);
    let (program, gate, door) = Program::with_door_by(Program::platform_config(&resolver, slow));
    let mut far = Lines::accept(&server);
    // It says its state all along, so that nobody takes its connection for cut.
    far.keeps_saying(json!({"verb": "LOAD", "opts": {"load": "x0:9000;x1:9000"}}), Duration::from_millis(50));
    let mut many = Lines::connect(gate);
    let written = || {
        let text = ask(door, "GET", "/control/counters").1;
        let at = |l: &&str| l.starts_with("edge_lb_attempts_total{");
        text.lines().find(at).and_then(|l| l.rsplit(' ').next()?.parse::<usize>().ok()).unwrap()
    };
    // Until the system takes no more, a few at a time: an outbox holds far more than these.
    let blob = "v".repeat(15_000);
    let mut sent = 0;
    while written() == sent {
        assert!(sent < 2_000, "the system takes all of it");
        for _ in 0..4 {
            sent += 1;
            many.raw(set_up(&format!("{sent:016x}"), 100_000, &blob).as_bytes());
        }
        many.nothing_but_an_echo();
        many.nothing_but_an_echo();
    }
    let mut caller = Lines::connect(gate);
    caller.raw(set_up(TAG, 100_000, "v=0").as_bytes());
    caller.nothing_but_an_echo();
    let last = written() + 1; // the one that is begun may be finished
    let _caller = match how {
        Some(how) => program.crossed(|| how.leave(caller, TAG)),
        None => {
            resolver.change(0, |list| {
                list[0].draining = true;
                list.push(line("s-2", other_at, 0));
            });
            let mut elsewhere = Lines::accept(&other);
            loop {
                let tag = elsewhere.expect("START")["tag"].clone();
                elsewhere.started(&tag);
                if tag == TAG {
                    break;
                }
            }
            caller.expect("STARTED");
            Some(caller)
        }
    };
    if how.is_some() {
        many.nothing_but_an_echo(); // by then the program has seen it
        many.nothing_but_an_echo();
    }
    let mut tags = Vec::new();
    while how.is_some() && tags.len() < sent {
        let message = far.hear();
        if message["verb"] == "START" {
            tags.push(message["tag"].clone());
        }
    }
    // What is said to the server now comes after all that was queued.
    let first = format!("{:016x}", 1);
    many.finish(&json!(first), 16, json!({}));
    loop {
        let message = far.hear();
        match message["verb"].as_str() {
            Some("START") => tags.push(message["tag"].clone()),
            Some("FINISH") if message["tag"] == first => break,
            Some("FINISH") => panic!("nobody else has left: {message}"),
            _ => {}
        }
    }
    assert!(tags.len() <= if how.is_some() { sent } else { last }, "{} of {sent}", tags.len());
    assert!(!tags.iter().any(|tag| tag == TAG), "its caller has left");
}

/// A caller leaves and the server answers in the same turn, in either order: what stands there is released.
#[rstest]
fn a_caller_that_leaves_as_the_answer_comes_leaves_nothing_standing(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
    #[values(true, false)] answer_first: bool,
) {
    let (_server, _resolver, program, mut far, gate) = gatekeeper();
    let (mut caller, mut other) = (Lines::connect(gate), Lines::connect(gate));
    other.nothing_but_an_echo();
    caller.start(TAG, 9000, 0);
    far.expect("START");
    let _caller = program.crossed(|| {
        if answer_first {
            far.started(&json!(TAG));
        }
        let left = how.leave(caller, TAG);
        if !answer_first {
            far.started(&json!(TAG));
        }
        left
    });
    let released = far.expect("FINISH");
    assert_eq!((&released["tag"], &released["rc"]), (&json!(TAG), &json!(16)));
    other.start(OTHER, 9000, 0);
    far.until("START", OTHER);
}

// ---- Attempts ----

/// The caller's time ends and the server answers in the same turn: one final answer, and nothing stands.
#[test]
fn an_answer_in_the_turn_of_its_time_out_is_released() {
    let (server, at) = listen();
    let mut short = settings();
    short["services"][0]["aim-us"] = json!(100_000);
    let (program, gate) = Program::platform(&Resolver::new(vec![line("s-1", at, 0)]), short);
    let (mut far, mut caller) = (Lines::accept(&server), Lines::connect(gate));
    caller.start(TAG, 300, 0);
    far.expect("START");
    program.crossed(|| {
        far.started(&json!(TAG));
        std::thread::sleep(Duration::from_millis(320)); // its time is over
    });
    let last = caller.expect("FINISH");
    assert_eq!((&last["tag"], &last["rc"]), (&json!(TAG), &json!(41)));
    assert_eq!(far.expect("FINISH")["rc"], 16);
    caller.nothing_but_an_echo();
}

/// Late and second answers of an attempt change nothing for the call that stands elsewhere.
#[test]
fn a_late_answer_of_another_attempt_is_released() {
    let (one, one_at) = listen();
    let (two, two_at) = listen();
    let resolver = Resolver::new(vec![line("s-1", one_at, 0), line("s-2", two_at, 1)]);
    let (program, gate) = Program::platform(&resolver, settings());
    let (mut first, mut second) = (Lines::accept(&one), Lines::accept(&two));
    let mut caller = Lines::connect(gate);
    caller.start(TAG, 9000, 0);
    first.expect("START");
    first.finish(&json!(TAG), 41, json!({})); // cut there
    second.expect("START");
    program.crossed(|| {
        first.started(&json!(TAG));
        second.started(&json!(TAG));
        second.started(&json!(TAG));
    });
    assert_eq!(caller.expect("STARTED")["tag"], TAG);
    assert_eq!(first.expect("FINISH")["rc"], 16, "nobody waits for it");
    caller.nothing_but_an_echo();
    caller.finish(&json!(TAG), 16, json!({}));
    caller.expect("FINISHED");
    assert_eq!(second.expect("FINISH")["rc"], 16, "the one that stood");
}

// ---- The list ----

/// A server goes and another process comes back under its id and address before the calls of the first have counted as
/// cut: the calls of the second are its own.
#[test]
fn a_server_that_goes_and_returns_keeps_its_new_calls() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let (_program, gate) = Program::platform(&resolver, settings());
    let (mut far, mut caller) = (Lines::accept(&server), Lines::connect(gate));
    caller.start(TAG, 9000, 0);
    far.expect("START");
    far.started(&json!(TAG));
    caller.expect("STARTED");
    let gone = resolver.change(0, std::vec::Vec::clear);
    resolver.told(gone);
    let back = resolver.change(0, |list| list.push(line("s-1", at, 0)));
    resolver.told(back);
    resolver.asked_often(1); // the list has been taken
    let mut other = Lines::connect(gate);
    other.start(OTHER, 9000, 0);
    let mut next = on_which_comes(&server, far, OTHER);
    next.started(&json!(OTHER));
    other.expect("STARTED");
    assert_eq!(caller.expect("FINISH")["tag"], TAG, "the first process's call is cut with it");
    resolver.asked_often(5); // over a second
    other.nothing_but_an_echo();
    next.finish(&json!(OTHER), 16, json!({}));
    assert_eq!(other.expect("FINISH")["rc"], 16);
}

/// The connection of a server on which this set-up comes: this one, or one that is opened after its end.
fn on_which_comes(server: &TcpListener, mut far: Lines, tag: &str) -> Lines {
    loop {
        while let Some(message) = far.next_message() {
            if message["verb"] == "START" && message["tag"] == *tag {
                return far;
            }
        }
        far = Lines::accept(server);
    }
}

/// SIGHUP names another resolver while a question to the old one is out: the old one's answer, which is there first, and the new
/// one's count by their numbers, whichever is read first.
#[rstest]
fn a_resolver_moves_while_a_question_is_out(#[values(true, false)] old_is_newer: bool) {
    let (one, one_at) = listen();
    let (two, two_at) = listen();
    let old = Resolver::new(vec![line("s-1", one_at, 0)]).numbered(5);
    let (program, gate) = Program::platform(&old, settings());
    let _far = Lines::accept(&one);
    let numbered = if old_is_newer { 6 } else { 8 };
    let new = Resolver::new(vec![line(
        if old_is_newer { "s-1" } else { "s-2" },
        if old_is_newer { one_at } else { two_at },
        0,
    )])
    .numbered(numbered);
    old.slip(Some(Slip::Late)); // a question is out from here on
    old.asked_often(1);
    program.crossed(|| {
        old.change(0, |list| *list = vec![line("s-2", two_at, 0)]);
        old.change(0, |_| {});
        program.reload(new.address);
    });
    if old_is_newer {
        new.asked_often(3);
        new.change(0, |list| *list = vec![line("s-2", two_at, 0)]);
        new.change(0, |_| {});
    }
    let mut far = Lines::accept(&two);
    let mut caller = Lines::connect(gate);
    caller.start(TAG, 9000, 0);
    assert_eq!(far.expect("START")["tag"], TAG);
}

/// A list that empties leaves no server: a set-up gets its one answer in its time, and the next list is served.
#[test]
fn a_list_that_empties_and_fills_again() {
    let (other, other_at) = listen();
    let (_server, resolver, _program, _far, gate) = gatekeeper();
    let gone = resolver.change(0, std::vec::Vec::clear);
    resolver.told(gone);
    resolver.asked_often(1); // the list has been taken
    let mut caller = Lines::connect(gate);
    caller.start(TAG, 1_000, 0);
    let last = caller.expect("FINISH");
    assert_eq!(last["tag"], TAG);
    resolver.change(0, |list| list.push(line("s-2", other_at, 0)));
    let mut far = Lines::accept(&other);
    caller.start(OTHER, 9_000, 0);
    assert_eq!(far.expect("START")["tag"], OTHER);
}

/// A resolver that falls silent is in the log and in the figures, once.
#[test]
fn a_silent_resolver_is_told_of() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let (mut program, _gate, door) = Program::with_door_by(Program::platform_config(&resolver, settings()));
    let _far = Lines::accept(&server);
    resolver.slip(Some(Slip::Failure));
    program.logged("the resolver is silent");
    let text = ask(door, "GET", "/control/counters").1;
    let silent = text.lines().find_map(|l| l.strip_prefix("edge_lb_list_silent_seconds ")).unwrap();
    assert!(silent.parse::<u32>().unwrap() >= 5, "{silent}");
    resolver.slip(None);
    program.logged("answers with a list again");
    assert!(ask(door, "GET", "/control/counters").1.contains("edge_lb_list_silent_seconds 0"));
}

// ---- Floods and bad input ----

/// Messages at the bound of 16 KiB, from either side: what is within it is taken, what is over it ends its connection.
#[rstest]
#[case::within(16 * 1024 - 1, true)]
#[case::at_the_bound(16 * 1024, true)]
#[case::over(16 * 1024 + 1, false)]
fn messages_at_the_bound(#[case] size: usize, #[case] taken: bool) {
    let (_server, _resolver, _program, mut far, gate) = gatekeeper();
    let mut caller = Lines::connect(gate);
    let bare = set_up(TAG, 9000, "").trim_end().len();
    caller.raw(set_up(TAG, 9000, &"v".repeat(size - bare)).as_bytes());
    if !taken {
        assert_eq!(caller.text(), "");
        return Lines::connect(gate).nothing_but_an_echo();
    }
    far.expect("START");
    let bare = says(json!({"verb": "STARTED", "tag": TAG, "opts": {}, "blob": ""})).trim_end().len();
    far.say(json!({"verb": "STARTED", "tag": TAG, "opts": {}, "blob": "v".repeat(size - bare)}));
    assert_eq!(caller.expect("STARTED")["blob"].as_str().unwrap().len(), size - bare);
}

/// A server that talks nonsense loses its connection, and its calls go out again on the next one; another's go on.
#[rstest]
#[case::no_line_end(vec![b'x'; 40_000])]
#[case::no_json(b"{\"verb\":\"STARTED\",\"tag\":\n".to_vec())]
#[case::an_overlong_answer([b"{\"verb\":\"STARTED\",\"blob\":\"".to_vec(), vec![b'x'; 40_000]].concat())]
fn a_server_that_talks_nonsense_is_left(#[case] nonsense: Vec<u8>) {
    let (server, _resolver, _program, mut far, gate) = gatekeeper();
    let mut caller = Lines::connect(gate);
    caller.start(TAG, 9000, 0);
    far.expect("START");
    far.raw(&nonsense);
    let mut next = Lines::accept(&server);
    assert_eq!(next.expect("START")["tag"], TAG);
    next.started(&json!(TAG));
    caller.expect("STARTED");
}

/// A server answers for calls that nobody made, by the thousands, while a call is out: that call is answered in time.
#[test]
fn answers_for_unknown_calls_hold_nobody_up() {
    let (_server, _resolver, _program, mut far, gate) = gatekeeper();
    let mut caller = Lines::connect(gate);
    caller.start(TAG, 9000, 0);
    far.expect("START");
    let flood: String = (0..2_000)
        .map(|n| says(json!({"verb": "STARTED", "tag": format!("{n:016x}"), "opts": {}, "blob": "v"})))
        .collect();
    far.raw(flood.as_bytes());
    far.started(&json!(TAG));
    assert_eq!(caller.expect("STARTED")["tag"], TAG);
    for _ in 0..2_000 {
        assert_eq!(far.expect("FINISH")["rc"], 16, "each is released");
    }
}

/// A caller that sends its set-up a byte at a time is not waited for beyond 2 s; others are answered meanwhile.
#[test]
fn a_byte_at_a_time_holds_nobody_up() {
    let (_server, _resolver, _program, mut far, gate) = gatekeeper();
    let (mut slow, mut other) = (Lines::connect(gate), Lines::connect(gate));
    let mut drip = slow.writer();
    let dripping = std::thread::spawn(move || {
        for byte in set_up(TAG, 9000, "v=0").bytes().cycle().take_while(|byte| *byte != b'\n') {
            if drip.write_all(&[byte]).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(40));
        }
    });
    for n in 0..20 {
        let tag = format!("{n:016x}");
        other.start(&tag, 9000, 0);
        assert_eq!(far.expect("START")["tag"], *tag, "and nothing of the slow one");
        far.started(&json!(tag));
        other.expect("STARTED");
    }
    assert_eq!(slow.text(), "", "it is closed");
    drop(slow);
    dripping.join().unwrap();
}

/// A caller sends set-ups without end and reads nothing: each gets one answer or the connection ends, and another caller is
/// answered at once.
#[test]
fn a_flood_of_set_ups_ends_with_its_connection() {
    let (_server, _resolver, program, mut far, gate) = gatekeeper();
    let mut flood = Lines::connect(gate).reads_little();
    let mut other = Lines::connect(gate);
    let text: String =
        (0..200).map(|n| set_up(&format!("{n:016x}"), 1, "v").replace("check-setup", "none")).collect();
    let flooding = std::thread::spawn(move || (0..1_000).any(|_| flood.write_all(text.as_bytes()).is_err()));
    let asked = Instant::now();
    other.start(OTHER, 9000, 0);
    assert_eq!(far.expect("START")["tag"], OTHER);
    far.started(&json!(OTHER));
    other.expect("STARTED");
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
    assert!(flooding.join().unwrap(), "200,000 answers that nobody reads are not kept");
    assert!(program.most_memory_kb() < 64 * 1024, "{} KB", program.most_memory_kb());
}

// ---- Other settings ----

/// Settings that share no name with any known deployment's: classes, pools and figures come from them alone.
#[test]
fn a_deployment_of_other_names_is_served() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("q-77", at, 5)]);
    let mut other = settings();
    other["services"] = json!([
        {"name": "tide", "aim-us": 400_000, "hard-limit-us": 1_100_000, "worth": 40.0, "late-worth": 0.0, "effect": "read_like"},
        {"name": "ebb", "aim-us": 9_000_000, "hard-limit-us": 30_000_000, "worth": 0.5, "late-worth": 0.9, "effect": "read_like"}
    ]);
    other["ceilings"]["max-attempts"] = json!(2);
    other["domain"]["clear-wait-us"] = json!(70_000);
    let (_program, gate) = Program::platform(&resolver, other);
    let (mut far, mut caller) = (Lines::accept(&server), Lines::connect(gate));
    for (tag, class, left) in [(TAG, "tide", 1_000), (OTHER, "ebb", 29_000)] {
        caller.say(json!({"verb": "START", "tag": tag, "blob": "d",
            "opts": {"class": class, "left": left.to_string(), "key": "1", "extras": "dest:5"}}));
        assert_eq!(far.expect("START")["opts"]["class"], class);
        far.started(&json!(tag));
        caller.expect("STARTED");
    }
    caller.start(THIRD, 900, 5);
    assert_eq!(caller.expect("FINISH")["rc"], 100, "a class of another deployment");
}
