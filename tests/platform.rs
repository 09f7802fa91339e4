//! Tests of the platform's protocol: the real program between scripted callers, setup servers and a resolver.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;
use serde_json::json;

const TAG: &str = "9b1f03aa5c7e2d41";

/// Starts a gatekeeper with one setup server. Returns the server's listener, the program and the gatekeeper's
/// address.
fn gatekeeper_with_server() -> (TcpListener, Program, SocketAddr) {
    let (listener, server_address) = listen();
    let (program, gatekeeper) =
        Program::platform(&Resolver::new(vec![line("s-1", server_address, 0)]), settings());
    (listener, program, gatekeeper)
}

/// Starts a gatekeeper with one setup server and connects a caller. Returns the server's listener, the program, the
/// gatekeeper's connection to the server, and the caller's connection.
fn gatekeeper_with_caller() -> (TcpListener, Program, Lines, Lines) {
    let (listener, program, gatekeeper) = gatekeeper_with_server();
    let server = Lines::accept(&listener);
    (listener, program, server, Lines::connect(gatekeeper))
}

#[test]
fn call_is_established_and_released_by_its_server() {
    let (listener, server_address) = listen();
    let (_program, gatekeeper) =
        Program::platform(&Resolver::new(vec![line("s-1", server_address, 2)]), settings());
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    let escaped_blob = r#""v=0\r\né \u00e9 \ud83d\ude00\r\n""#;
    caller.raw(
        format!(
            "{{\"verb\":\"START\",\"tag\":\"{TAG}\",\"opts\":{{\"class\":\"check-setup\",\"left\":1500,\
             \"key\":\"7f3a9c21e0b4d655\",\"extras\":\"dest:2;width:1;via:-1\"}},\"blob\":{escaped_blob}}}\n"
        )
        .as_bytes(),
    );
    let text = server.text();
    assert!(text.contains(escaped_blob), "the description is passed on unchanged: {text}");
    let start: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((&start["verb"], &start["tag"]), (&json!("START"), &json!(TAG)));
    assert_eq!(start["opts"]["class"], "check-setup");
    assert_eq!(start["opts"]["key"], "7f3a9c21e0b4d655");
    let left: u64 = start["opts"]["left"].as_str().unwrap().parse().unwrap();
    assert!((1000..=1500).contains(&left), "{left}");
    server.say(json!({"verb": "PENDING", "tag": TAG, "opts": {}}));
    server.started(&start["tag"]);
    assert_eq!(caller.expect("STARTED")["blob"], "answer");
    server.finish(&start["tag"], 16, json!({"load": "x0:12;x1:40;queue:3"}));
    let release = caller.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(16)));
    server.expect("FINISHED");
    caller.nothing_but_an_echo();
}

/// An established call is not bound to a connection: the caller may release it on another one.
#[test]
fn caller_releases_its_call_on_another_connection() {
    let (listener, _program, gatekeeper) = gatekeeper_with_server();
    let mut server = Lines::accept(&listener);
    let (mut first, mut second) = (Lines::connect(gatekeeper), Lines::connect(gatekeeper));
    first.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    first.expect("STARTED");
    drop(first);
    second.finish(&json!(TAG), 16, json!({}));
    second.expect("FINISHED");
    assert_eq!(server.expect("FINISH")["rc"], 16);
}

/// A release is sent to the caller on any of its connections. If there is none, it is sent on the next one.
#[test]
fn release_waits_for_the_callers_next_connection() {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    let (_program, gatekeeper) = Program::platform(&resolver, settings());
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    drop(caller);
    resolver.asked_anew(); // the program has handled the end of the connection by then
    server.finish(&start["tag"], 16, json!({}));
    server.expect("FINISHED");
    let mut next = Lines::connect(gatekeeper);
    let release = next.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(16)));
}

/// Addresses of two callers.
const OFFICE: [u8; 4] = [127, 0, 0, 2];
const OTHER_OFFICE: [u8; 4] = [127, 0, 0, 3];

/// Guards against a release that goes to another caller and never to its own: the caller has no connection when its
/// call ends, while another caller has one, or opens one first.
#[rstest]
#[case::other_is_connected(true)]
#[case::other_connects_first(false)]
fn release_waits_for_its_own_caller(#[case] other_is_connected: bool) {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    let (_program, gatekeeper) = Program::platform(&resolver, settings());
    let mut server = Lines::accept(&listener);
    let mut establish = |source: [u8; 4], tag: &str| {
        let mut caller = Lines::connect_from(source, gatekeeper);
        caller.start(tag, 3000, 0);
        let start = server.expect("START");
        server.started(&start["tag"]);
        caller.expect("STARTED");
        caller
    };
    let caller = establish(OFFICE, TAG);
    let connected = other_is_connected.then(|| establish(OTHER_OFFICE, "00000000000000b2"));
    caller.close();
    resolver.asked_anew(); // the program has handled the end of the connection by then
    server.finish(&json!(TAG), 16, json!({}));
    server.expect("FINISHED");
    let mut other = connected.unwrap_or_else(|| Lines::connect_from(OTHER_OFFICE, gatekeeper));
    other.start("00000000000000c3", 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    assert_eq!(other.expect("STARTED")["tag"], "00000000000000c3", "it is sent no other caller's release");
    other.nothing_but_an_echo();
    let release = Lines::connect_from(OFFICE, gatekeeper).expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(16)));
}

/// Starts a gatekeeper and establishes a call. Returns the server's listener, the program, the gatekeeper's address,
/// its connection to the server, and the caller's connection.
fn established_call() -> (TcpListener, Program, SocketAddr, Lines, Lines) {
    let (listener, program, gatekeeper) = gatekeeper_with_server();
    let (mut server, mut caller) = (Lines::accept(&listener), Lines::connect(gatekeeper));
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    (listener, program, gatekeeper, server, caller)
}

/// A release that the caller has not confirmed before its connection closed is sent again on another connection. A
/// confirmed release is not.
#[rstest]
#[case::unconfirmed(false)]
#[case::confirmed(true)]
fn release_is_repeated_until_its_caller_confirms_it(#[case] confirmed: bool) {
    let (_listener, _program, gatekeeper, mut server, mut caller) = established_call();
    server.finish(&json!(TAG), 16, json!({}));
    server.expect("FINISHED"); // the release is on its way to the caller by now
    if confirmed {
        caller.expect("FINISH");
        caller.say(json!({"verb": "FINISHED", "tag": TAG, "opts": {}}));
        caller.nothing_but_an_echo();
    }
    drop(caller);
    let mut next = Lines::connect(gatekeeper);
    if !confirmed {
        let release = next.expect("FINISH");
        assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(16)));
    }
    next.nothing_but_an_echo();
}

/// A release that no caller confirms is logged with the steps of its call.
#[test]
fn unconfirmed_release_is_logged_with_its_steps() {
    let (_listener, mut program, _gatekeeper, mut server, caller) = established_call();
    drop(caller);
    server.finish(&json!(TAG), 16, json!({}));
    let logged = program.logged("no caller came to hear its end");
    for step in [
        TAG,
        "RequestedOn(",
        "AttemptSent(0",
        "Established(0)",
        "Accepted",
        "ReleasedToCaller(Completed)",
        "ReleaseExpired",
    ] {
        assert!(logged.contains(step), "{step} is not in {logged}");
    }
}

/// A release that the server has not confirmed before its connection ended is sent again on the next connection.
#[rstest]
#[case::unconfirmed(false)]
#[case::confirmed(true)]
fn release_is_repeated_until_its_server_confirms_it(#[case] confirmed: bool) {
    let (listener, _program, _gatekeeper, mut server, mut caller) = established_call();
    caller.finish(&json!(TAG), 16, json!({}));
    caller.expect("FINISHED");
    assert_eq!(server.expect("FINISH")["rc"], 16);
    if confirmed {
        server.say(json!({"verb": "FINISHED", "tag": TAG, "opts": {}}));
    }
    drop(server);
    let mut next = Lines::accept(&listener);
    if !confirmed {
        let retry = next.expect("FINISH");
        assert_eq!((&retry["tag"], &retry["rc"]), (&json!(TAG), &json!(16)));
    }
    caller.start("00000000000000a1", 3000, 0);
    assert_eq!(next.expect("START")["tag"], "00000000000000a1");
}

/// Makes the gatekeeper open a second connection: the server leaves one set-up unanswered and answers the next. The
/// first one is cancelled and sent again on a new connection, because on the old one a late answer to the first
/// attempt could not be distinguished from an answer to the second.
fn open_second_connection(listener: &TcpListener, server: &mut Lines, caller: &mut Lines) -> Lines {
    caller.start("00000000000000b2", 9000, 0);
    assert_eq!(server.expect("START")["tag"], "00000000000000b2");
    caller.start("00000000000000c3", 9000, 0);
    let answered_start = server.expect("START");
    server.started(&answered_start["tag"]);
    assert_eq!(caller.expect("STARTED")["tag"], answered_start["tag"]);
    listener.set_nonblocking(true).unwrap();
    let mut second = eventually("a second connection", || {
        server.raw(b"{\"verb\":\"LOAD\",\"opts\":{\"load\":\"x0:9;x1:40;latency_ms:3\"}}\n");
        Lines::accept_now(listener)
    });
    assert_eq!(server.expect("FINISH")["tag"], "00000000000000b2", "the unanswered set-up is cancelled");
    let retry = second.expect("START");
    assert_eq!(retry["tag"], "00000000000000b2");
    second.started(&retry["tag"]);
    caller.expect("STARTED");
    second
}

/// A server releases a call on the connection on which it was set up, so the gatekeeper keeps reading that connection
/// while a newer one is open.
#[test]
fn newer_connection_does_not_close_the_previous_one() {
    let (listener, _program, _gatekeeper, mut server, mut caller) = established_call();
    let _second = open_second_connection(&listener, &mut server, &mut caller);
    server.finish(&json!(TAG), 16, json!({}));
    assert_eq!(caller.expect("FINISH")["tag"], TAG);
    server.expect("FINISHED");
}

/// A release may be lost when a connection ends. The server repeats it only on the next connection that is opened, so
/// the gatekeeper opens one even though another is open.
#[test]
fn release_lost_with_its_connection_arrives_on_a_new_one() {
    let (listener, _program, _gatekeeper, mut server, mut caller) = established_call();
    let _second = open_second_connection(&listener, &mut server, &mut caller);
    server.raw(b"{\"verb\":\"FINISH\",\"tag\":\""); // the connection ends in the middle of the release
    drop(server);
    let ended_at = Instant::now();
    let mut third = Lines::accept(&listener);
    third.finish(&json!(TAG), 16, json!({}));
    assert_eq!(caller.expect("FINISH")["tag"], TAG);
    assert!(ended_at.elapsed() < Duration::from_secs(1), "{:?}", ended_at.elapsed());
}

/// A refused connection proves that the set-up was not processed: it is sent to another server.
#[test]
fn set_up_is_rerouted_when_a_server_refuses_connections() {
    let (listener, server_address) = listen();
    let (closed, nowhere) = listen();
    drop(closed);
    let list = vec![line("s-1", nowhere, 0), line("s-2", server_address, 1)];
    let (_program, gatekeeper) = Program::platform(&Resolver::new(list), settings());
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
}

/// Without a recent load report a server gets no set-up. It is probed, and its answer allows the set-up to be sent.
#[test]
fn server_without_a_recent_report_is_probed_first() {
    let (listener, server_address) = listen();
    let mut settings = settings();
    settings["ceilings"]["probes"] = json!(true);
    let (_program, gatekeeper) =
        Program::platform(&Resolver::new(vec![line("s-1", server_address, 0)]), settings);
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 9000, 0);
    let probe = server.expect("ECHO");
    assert_eq!(probe["rc"], 0);
    server.say(
        json!({"verb": "ECHOED", "tag": probe["tag"], "opts": {"load": "x0:9;x1:40;latency_ms:3"}, "rc": 1}),
    );
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
}

/// A set-up for which no attempt is left is refused at once with a retry-after time, not at its deadline.
#[test]
fn refusal_is_immediate_and_has_a_retry_after_time() {
    let (listener, server_address) = listen();
    let mut settings = settings();
    settings["ceilings"]["max-attempts"] = json!(1);
    let (_program, gatekeeper) =
        Program::platform(&Resolver::new(vec![line("s-1", server_address, 0)]), settings);
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    let sent_at = Instant::now();
    caller.start(TAG, 9000, 0);
    let start = server.expect("START");
    server.finish(&start["tag"], 34, json!({"note": "queue_long", "load": "latency_ms:2100"}));
    let refused = caller.expect("FINISH");
    assert_eq!((&refused["rc"], &refused["opts"]["wait"]), (&json!(34), &json!("2000")));
    assert!(sent_at.elapsed() < Duration::from_secs(8));
    caller.nothing_but_an_echo();
}

/// A set-up times out: its caller gets one failure, and the set-up is cancelled at the server. A late answer of the
/// server is released there and not relayed.
#[test]
fn late_answer_is_released_and_not_relayed() {
    let (_listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    caller.start(TAG, 1500, 0);
    let start = server.expect("START");
    assert_eq!(server.expect("FINISH")["rc"], 16);
    assert_eq!(caller.expect("FINISH")["rc"], 41);
    server.started(&start["tag"]);
    assert_eq!(server.expect("FINISH")["rc"], 16);
    caller.nothing_but_an_echo();
}

/// A set-up that its caller cancels, or whose caller disconnects, is cancelled at the server. The caller gets at most
/// a confirmation.
#[rstest]
#[case::cancels(true)]
#[case::disconnects(false)]
fn set_up_cancelled_by_its_caller_is_cancelled_at_the_server(#[case] cancels: bool) {
    let (_listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    caller.start(TAG, 9000, 0);
    server.expect("START");
    if cancels {
        caller.finish(&json!(TAG), 16, json!({}));
        caller.expect("FINISHED");
        caller.nothing_but_an_echo();
    } else {
        drop(caller);
    }
    assert_eq!(server.expect("FINISH")["rc"], 16);
}

/// A set-up that was cut is not sent again before the release wait has elapsed.
#[test]
fn cut_set_up_is_retried_after_the_release_wait() {
    let (listener, server_address) = listen();
    let (other_listener, other_address) = listen();
    let list = vec![line("s-1", server_address, 0), line("s-2", other_address, 1)];
    let (_program, gatekeeper) = Program::platform(&Resolver::new(list), settings());
    let mut server = Lines::accept(&listener);
    let mut next = Lines::accept(&other_listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 9000, 0);
    let start = server.expect("START");
    let ended_at = Instant::now();
    server.finish(&start["tag"], 41, json!({}));
    let retry = next.expect("START");
    assert!(ended_at.elapsed() >= Duration::from_millis(500), "{:?}", ended_at.elapsed());
    assert_eq!(retry["tag"], start["tag"]);
    next.started(&retry["tag"]);
    caller.expect("STARTED");
}

/// After a truncated answer no later message on the connection can be read: the connection is closed, and the set-up
/// is sent to another server early enough to meet its aim.
#[test]
fn truncated_answer_closes_its_connection() {
    let (listener, server_address) = listen();
    let (other_listener, other_address) = listen();
    let list = vec![line("s-1", server_address, 0), line("s-2", other_address, 1)];
    let (_program, gatekeeper) = Program::platform(&Resolver::new(list), settings());
    let mut server = Lines::accept(&listener);
    let mut next = Lines::accept(&other_listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 9000, 0);
    let start = server.expect("START");
    let ended_at = Instant::now();
    server.raw(b"{\"verb\":\"STARTED\",\"tag\":\"");
    assert_eq!(server.text(), "", "the connection is closed");
    let retry = next.expect("START");
    assert!(ended_at.elapsed() < Duration::from_secs(6), "{:?}", ended_at.elapsed());
    assert_eq!(retry["tag"], start["tag"]);
    next.started(&retry["tag"]);
    caller.expect("STARTED");
}

/// A server process that has ended has cut its calls: its connections are closed, and new ones are refused.
#[test]
fn calls_of_a_dead_server_are_released_to_their_callers() {
    let (listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    drop(listener);
    drop(server);
    assert_eq!(caller.expect("FINISH")["rc"], 41);
}

/// A draining server may refuse connections while its calls continue: they end only when the server releases them.
#[test]
fn refused_connection_ends_no_call_while_another_is_open() {
    let (listener, mut program, _gatekeeper, mut server, mut caller) = established_call();
    drop(listener);
    // An unanswered set-up is cancelled and sent again on a new connection, which is refused.
    caller.start("00000000000000b2", 9000, 0);
    server.expect("START");
    caller.start("00000000000000c3", 9000, 0);
    let answered_start = server.expect("START");
    server.started(&answered_start["tag"]);
    program.logged("dial failed");
    server.finish(&json!(TAG), 16, json!({}));
    let release =
        eventually("the end of the call", || Some(caller.hear()).filter(|message| message["tag"] == TAG));
    assert_eq!(
        (&release["verb"], &release["rc"]),
        (&json!("FINISH"), &json!(16)),
        "the call was released by its server"
    );
}

/// An unreachable server may have ended any of its calls: their callers get a release within 8 s, and the server gets
/// one as soon as it is reachable.
#[test]
fn calls_at_an_unreachable_server_are_released_in_time() {
    let (listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    let last_message_at = Instant::now();
    server.started(&start["tag"]);
    caller.expect("STARTED");
    server.expect("ECHO"); // a health check, which stays unanswered
    assert_eq!(caller.expect("FINISH")["rc"], 41);
    assert!(last_message_at.elapsed() < Duration::from_secs(8), "{:?}", last_message_at.elapsed());
    assert!(last_message_at.elapsed() > Duration::from_secs(5), "{:?}", last_message_at.elapsed());
    // Quiet connections are replaced; the release arrives on the one that is in use by then.
    eventually("the release at the server", || {
        let mut connection = Lines::accept(&listener);
        std::iter::from_fn(|| serde_json::from_str::<serde_json::Value>(&connection.text()).ok())
            .find(|message| message["verb"] == "FINISH" && message["tag"] == TAG)
    });
}

/// Once a drain is published and the grace period has passed, new calls are sent to other servers, even if some of
/// the resolver's answers are lost.
#[test]
fn draining_server_gets_no_new_calls() {
    let (listener, server_address) = listen();
    let (other_listener, other_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0), line("s-2", other_address, 1)]);
    let (_program, gatekeeper) = Program::platform(&resolver, settings());
    let mut server = Lines::accept(&listener);
    let mut next = Lines::accept(&other_listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 9000, 0);
    let start = server.expect("START");
    let serial = resolver.change(2, |list| list[0].draining = true);
    let published_at = resolver.told(serial);
    eventually("the grace period ends", || {
        (published_at.elapsed() > Duration::from_millis(250)).then_some(())
    });
    caller.start("00000000000000a1", 9000, 0);
    let rerouted = next.expect("START");
    assert_eq!(rerouted["tag"], "00000000000000a1");
    next.started(&rerouted["tag"]);
    caller.expect("STARTED");
    server.started(&start["tag"]);
    assert_eq!(caller.expect("STARTED")["tag"], TAG, "a set-up sent before the drain may be established");
    server.finish(&start["tag"], 16, json!({}));
    assert_eq!(server.expect("FINISHED")["tag"], TAG, "the draining server got no other set-up in between");
}

/// A new server may take the address of a removed one: it is a different server and gets a new connection.
#[test]
fn reused_address_is_a_different_server() {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    let (_program, gatekeeper) = Program::platform(&resolver, settings());
    let mut old = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 9000, 0);
    let start = old.expect("START");
    old.started(&start["tag"]);
    caller.expect("STARTED");
    resolver.change(0, |list| *list = vec![line("s-9", server_address, 0)]);
    assert_eq!(caller.expect("FINISH")["rc"], 41, "the call at the removed server is cut");
    let mut new = Lines::accept(&listener);
    caller.start("00000000000000a2", 9000, 0);
    assert_eq!(new.expect("START")["tag"], "00000000000000a2");
}

/// A server that the list has dropped, with a call and an unanswered set-up. Returns what the tests below need of it.
struct RemovedServer {
    _listener: TcpListener,
    _program: Program,
    resolver: Resolver,
    server: Lines,
    other: Lines,
    caller: Lines,
}

const PENDING_TAG: &str = "00000000000000b2";
/// The resolver's questions in somewhat more time than a server that was removed has to show that it works, and the
/// release wait of its set-ups.
const QUESTIONS_IN_REMOVAL: u32 = 8;

impl RemovedServer {
    /// Establishes a call at the server and begins a set-up there, then removes the server from the list.
    fn new(before: impl FnOnce(&mut Lines)) -> RemovedServer {
        let (listener, address) = listen();
        let (other_listener, other_address) = listen();
        let resolver = Resolver::new(vec![line("s-1", address, 0), line("s-2", other_address, 1)]);
        let (program, gatekeeper) = Program::platform(&resolver, settings());
        let mut server = Lines::accept(&listener);
        let other = Lines::accept(&other_listener);
        let mut caller = Lines::connect(gatekeeper);
        caller.start(TAG, 9000, 0);
        let start = server.expect("START");
        server.started(&start["tag"]);
        caller.expect("STARTED");
        caller.start(PENDING_TAG, 9000, 0);
        server.expect("START");
        before(&mut server);
        let serial = resolver.change(0, |list| list.retain(|entry| entry.id != "s-1"));
        resolver.told(serial);
        RemovedServer { _listener: listener, _program: program, resolver, server, other, caller }
    }
}

/// Guards against two attempts of a call at once: the list, which is seconds late, drops a server that works. Its set-up
/// is not sent to another server, and its call is not cut.
#[rstest]
#[case::it_reports_its_load(true)]
#[case::it_answers_a_health_check(false)]
fn removed_server_that_works_keeps_its_set_up_and_its_call(#[case] reports: bool) {
    let mut site = RemovedServer::new(|server| {
        if reports {
            let state = json!({"verb": "LOAD", "tag": "00000000000000aa", "opts": {"load": "x0:12;x1:40"}});
            server.keeps_saying(state, Duration::from_millis(20));
        }
    });
    let RemovedServer { resolver, server, other, caller, .. } = &mut site;
    if !reports {
        let check = server.expect("ECHO");
        server.say(json!({"verb": "ECHOED", "tag": check["tag"], "opts": {}, "rc": 1}));
    }
    resolver.asked_often(QUESTIONS_IN_REMOVAL);
    other.nothing_but_an_echo_of_its_own();
    caller.nothing_but_an_echo();
    server.started(&json!(PENDING_TAG));
    assert_eq!(caller.expect("STARTED")["tag"], PENDING_TAG);
    server.finish(&json!(TAG), 16, json!({}));
    let release = caller.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(16)));
    server.until("FINISHED", TAG);
    caller.finish(&json!(PENDING_TAG), 16, json!({}));
    caller.expect("FINISHED");
    server.until("FINISH", PENDING_TAG);
}

/// A server that was removed and is silent may still work on what it has: before its set-up goes to another server it
/// is cancelled, and its call is released on both sides.
#[test]
fn removed_server_that_is_silent_is_sent_the_ends_of_its_calls() {
    let mut site = RemovedServer::new(|_| ());
    let RemovedServer { server, other, caller, .. } = &mut site;
    let retry = other.expect("START");
    assert_eq!(retry["tag"], PENDING_TAG);
    let release = caller.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(41)));
    let text = server.until_closed();
    let messages = text.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    let mut finished: Vec<String> = messages
        .filter(|message| message["verb"] == "FINISH")
        .map(|message| message["tag"].as_str().unwrap().to_string())
        .collect();
    finished.sort();
    assert_eq!(finished, [PENDING_TAG, TAG]);
}

#[rstest]
#[case::no_left(r#""opts":{"class":"check-setup","key":"01"},"blob":"d""#)]
#[case::left_is_not_a_number(r#""opts":{"class":"check-setup","key":"01","left":"soon"},"blob":"d""#)]
#[case::left_is_negative(r#""opts":{"class":"check-setup","key":"01","left":"-5"},"blob":"d""#)]
#[case::left_is_out_of_range(r#""opts":{"class":"check-setup","key":"01","left":1e300},"blob":"d""#)]
#[case::left_is_huge(r#""opts":{"class":"check-setup","key":"01","left":"18446744073709551615"},"blob":"d""#)]
#[case::unknown_class(r#""opts":{"class":"fax","key":"01","left":"900"},"blob":"d""#)]
#[case::no_description(r#""opts":{"class":"check-setup","key":"01","left":"900"}"#)]
#[case::description_is_not_text(r#""opts":{"class":"check-setup","key":"01","left":"900"},"blob":7"#)]
#[case::fields_are_not_an_object(r#""opts":[],"blob":"d""#)]
#[case::invalid_dest(r#""opts":{"class":"check-setup","key":"01","left":"9","extras":"dest:x"},"blob":"d""#)]
#[case::extras_are_not_pairs(
    r#""opts":{"class":"check-setup","key":"01","left":"9","extras":"x"},"blob":"d""#
)]
#[case::zero_width(r#""opts":{"class":"check-setup","key":"01","left":"9","extras":"width:0"},"blob":"d""#)]
fn invalid_field_gets_one_failing_finish(#[case] fields: &str) {
    let (listener, _program, gatekeeper) = gatekeeper_with_server();
    let _server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.raw(format!("{{\"verb\":\"START\",\"tag\":\"{TAG}\",{fields}}}\n").as_bytes());
    let failed = caller.expect("FINISH");
    assert_eq!((&failed["tag"], &failed["rc"]), (&json!(TAG), &json!(100)));
    caller.nothing_but_an_echo();
}

#[rstest]
#[case::not_json(b"nonsense\n".to_vec())]
#[case::not_an_object(b"[1,2]\n".to_vec())]
#[case::not_utf8(b"{\"verb\":\"\xff\"}\n".to_vec())]
#[case::deeply_nested([vec![b'['; 16_000], b"\n".to_vec()].concat())]
#[case::set_up_without_id(b"{\"verb\":\"START\",\"opts\":{}}\n".to_vec())]
#[case::overlong([vec![b' '; 17_000], b"\n".to_vec()].concat())]
#[case::overlong_without_end(vec![b'x'; 17_000])]
fn unreadable_line_closes_only_its_connection(#[case] line_sent: Vec<u8>) {
    let (listener, server_address) = listen();
    let (mut program, gatekeeper) =
        Program::platform(&Resolver::new(vec![line("s-1", server_address, 0)]), settings());
    let _server = Lines::accept(&listener);
    let (mut invalid, mut valid) = (Lines::connect(gatekeeper), Lines::connect(gatekeeper));
    invalid.raw(&line_sent);
    assert_eq!(invalid.text(), "");
    valid.nothing_but_an_echo();
    assert!(program.runs());
}

#[test]
fn unknown_message_types_and_ids_are_ignored() {
    let (_listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    caller.say(json!({"verb": "NOTICE", "tag": 5, "more": {"a": []}}));
    caller.finish(&json!("00000000000000ff"), 16, json!({}));
    server.say(json!({"verb": "RATE"}));
    server.finish(&json!("00000000000000ff"), 16, json!({}));
    caller.nothing_but_an_echo();
    caller.start(TAG, 3000, 0);
    assert_eq!(server.expect("START")["tag"], TAG);
}

/// A line may arrive in several reads, and one read may contain several lines.
#[test]
fn lines_are_reassembled_and_split() {
    let (listener, _program, gatekeeper) = gatekeeper_with_server();
    let _server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    let echo = |tag: &str| format!("{{\"verb\":\"ECHO\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":0}}\r\n");
    let (first, second) = (echo("0000000000000001"), echo("0000000000000002"));
    caller.raw(&first.as_bytes()[..20]);
    caller.raw(format!("{}\n{second}", &first[20..]).as_bytes());
    let answers = [caller.expect("ECHOED"), caller.expect("ECHOED")];
    assert_eq!(
        answers.map(|a| (a["tag"].clone(), a["rc"].clone())).map(|(t, r)| format!("{t}{r}")),
        ["\"0000000000000001\"1", "\"0000000000000002\"1"]
    );
}

/// A caller that does not read must not delay other callers; its connection is closed eventually.
#[test]
fn caller_that_does_not_read_does_not_delay_others() {
    let (listener, _program, gatekeeper) = gatekeeper_with_server();
    let _server = Lines::accept(&listener);
    let (unread, mut other) = (std::net::TcpStream::connect(gatekeeper).unwrap(), Lines::connect(gatekeeper));
    unread.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let echo = b"{\"verb\":\"ECHO\",\"tag\":\"0000000000000001\",\"opts\":{},\"rc\":0}\n".repeat(1000);
    eventually("the connection of the caller that does not read is closed", || {
        std::io::Write::write_all(&mut &unread, &echo).is_err().then_some(())
    });
    other.nothing_but_an_echo();
}

/// Calls that are still established when the grace period after SIGTERM ends are released on both sides, before
/// SIGKILL may follow.
#[test]
fn shutdown_releases_established_calls() {
    let (_listener, mut program, mut server, mut caller) = gatekeeper_with_caller();
    caller.start(TAG, 5000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    let terminated_at = Instant::now();
    program.terminate();
    server.expect("ECHO"); // the server's health is still checked
    assert_eq!(server.expect("FINISH")["rc"], 16);
    assert_eq!(caller.expect("FINISH")["rc"], 41);
    assert!(program.ended().success());
    assert!(terminated_at.elapsed() > Duration::from_millis(2_900), "{:?}", terminated_at.elapsed());
}

/// After SIGTERM new set-ups are still answered and established calls may end; then the program exits successfully.
#[test]
fn shutdown_answers_all_set_ups_first() {
    let (listener, server_address) = listen();
    let (mut program, gatekeeper) =
        Program::platform(&Resolver::new(vec![line("s-1", server_address, 0)]), settings());
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 5000, 0);
    let before = server.expect("START");
    program.terminate();
    let mut late = Lines::connect(gatekeeper);
    late.start("00000000000000a3", 5000, 0);
    let after = server.expect("START");
    server.started(&before["tag"]);
    server.finish(&after["tag"], 17, json!({}));
    let retry = server.expect("START");
    server.started(&retry["tag"]);
    assert_eq!(caller.expect("STARTED")["tag"], TAG);
    assert_eq!(late.expect("STARTED")["tag"], "00000000000000a3");
    server.finish(&before["tag"], 16, json!({}));
    assert_eq!(caller.expect("FINISH")["rc"], 16);
    late.finish(&json!("00000000000000a3"), 16, json!({}));
    late.expect("FINISHED");
    assert!(program.ended().success());
    assert!(!program.rest_of_log().contains("invariant"));
}

/// On SIGHUP the resolver named in the configuration file is polled, and list versions continue; an invalid file
/// changes nothing. A program that does not handle SIGHUP is terminated by it.
#[test]
fn reload_switches_to_another_resolver() {
    let (listener, server_address) = listen();
    let (_other_listener, other_address) = listen();
    let first = Resolver::new(vec![line("s-0", other_address, 0)]).numbered(3);
    let (mut program, gatekeeper) = Program::platform(&first, settings());
    first.asked_often(1);
    program.replace("{");
    program.logged("all stays as it was");
    first.asked_often(2);
    let second = Resolver::new(vec![line("s-1", server_address, 1)]).numbered(4);
    program.reload(second.address);
    let mut server = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 3000, 1);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    assert!(program.runs());
}

/// A hundred clients connect and send nothing. They must not keep a new caller out, and their connections are closed.
#[test]
fn idle_connections_are_closed_for_new_callers() {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    let (mut program, gatekeeper) = Program::platform_within(&resolver, 64);
    let mut server = Lines::accept(&listener);
    program.pause();
    let silent: Vec<_> = (0..100).map(|_| Lines::connect(gatekeeper)).collect();
    program.proceed(); // the program finds all connections at once
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    for mut client in silent {
        assert_eq!(client.text(), "");
    }
    program.terminate();
    assert!(program.ended().success());
    let log = program.rest_of_log();
    assert!(!log.contains("accept"), "file descriptors ran out: {log}");
}

/// A set-up with the id of another connection's call fails and does not affect that call.
#[test]
fn set_up_with_the_id_of_another_callers_call_fails() {
    let (_listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    let mut other_caller = Lines::connect(caller.peer());
    other_caller.start(TAG, 2000, 0);
    assert_eq!(other_caller.expect("FINISH")["rc"], 100);
    server.started(&start["tag"]);
    caller.expect("STARTED");
    other_caller.nothing_but_an_echo();
}

/// A connection on which a server has stopped sending its load reports is considered broken: it is closed, and its
/// open set-ups are sent again on another connection at once, not after their time-out.
#[test]
fn connection_with_missing_reports_is_closed_and_its_set_ups_are_retried() {
    let (listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    for _ in 0..6 {
        server.say(json!({"verb": "LOAD", "tag": "00000000000000aa", "opts": {"load": "x0:12;x1:40"}}));
        std::thread::sleep(Duration::from_millis(60)); // the report interval
    }
    caller.start(TAG, 8000, 0);
    server.expect("START");
    let mut next = Lines::accept(&listener);
    let state = json!({"verb": "LOAD", "tag": "00000000000000aa", "opts": {"load": "x0:12;x1:40"}});
    next.keeps_saying(state, Duration::from_millis(20));
    assert_eq!(server.text(), "", "the connection is closed without a further message");
    let retry = next.expect("START");
    assert_eq!(retry["tag"], TAG);
    next.started(&retry["tag"]);
    caller.expect("STARTED");
}

/// A server has restarted when the list drops it: that its new process is heard says nothing of the calls of the old
/// one, whose connection was reset.
#[test]
fn call_of_a_restarted_server_ends_when_the_server_is_removed() {
    let (listener, address) = listen();
    let resolver = Resolver::new(vec![line("s-1", address, 0)]);
    let (_program, gatekeeper) = Program::platform(&resolver, settings());
    let mut old = Lines::accept(&listener);
    let mut caller = Lines::connect(gatekeeper);
    caller.start(TAG, 9000, 0);
    let start = old.expect("START");
    old.started(&start["tag"]);
    caller.expect("STARTED");
    old.reset();
    let mut new = Lines::accept(&listener);
    let state = json!({"verb": "LOAD", "tag": "00000000000000aa", "opts": {"load": "x0:12;x1:40"}});
    new.keeps_saying(state, Duration::from_millis(20));
    caller.start(PENDING_TAG, 9000, 0);
    assert_eq!(new.expect("START")["tag"], PENDING_TAG);
    let serial = resolver.change(0, Vec::clear);
    resolver.told(serial);
    let release = caller.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(41)), "the old process's call");
    new.started(&json!(PENDING_TAG));
    assert_eq!(caller.expect("STARTED")["tag"], PENDING_TAG, "the new process's set-up goes on");
}

/// A removed server works on and then ends its connection: its call is over, and its set-up goes to another server.
#[test]
fn removed_server_that_ends_its_connection_has_ended_its_calls() {
    let mut site = RemovedServer::new(|_| ());
    let RemovedServer { server, other, caller, .. } = &mut site;
    let check = server.expect("ECHO");
    server.say(json!({"verb": "ECHOED", "tag": check["tag"], "opts": {}, "rc": 1}));
    server.nothing_but_an_echo_of_its_own(); // the answer was read
    server.writer().shutdown(std::net::Shutdown::Both).unwrap();
    let release = caller.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(41)));
    assert_eq!(other.expect("START")["tag"], PENDING_TAG);
}

/// Guards against a call whose end its caller never hears: the server says it on a connection that has fallen silent
/// and that the gatekeeper has closed, which the server does not detect. The server repeats it on the next connection
/// that is opened, however late its first word was.
#[test]
fn end_of_a_call_said_on_a_silent_connection_is_heard_on_a_later_one() {
    let (listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    let state = json!({"verb": "LOAD", "tag": "00000000000000aa", "opts": {"load": "x0:12;x1:40"}});
    caller.start(TAG, 8000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    for _ in 0..6 {
        server.say(state.clone());
        std::thread::sleep(Duration::from_millis(60)); // the report interval
    }
    let report_on = |connection: &Lines| connection.keeps_saying(state.clone(), Duration::from_millis(20));
    let second = Lines::accept(&listener); // replaces the silent one
    report_on(&second);
    assert_eq!(server.until_closed(), "", "the silent connection is closed");
    let third = Lines::accept(&listener); // repeats what crossed the close
    report_on(&third);
    let ended_at = Instant::now(); // the server says so on the first connection, which to it is still open
    let mut fourth = Lines::accept(&listener);
    fourth.finish(&json!(TAG), 16, json!({}));
    assert_eq!(caller.expect("FINISH")["tag"], TAG);
    assert!(ended_at.elapsed() < Duration::from_secs(8), "{:?}", ended_at.elapsed());
}

/// Guards against the same where the call was set up later: its own connection ends, and the server, which still takes
/// the silent one for open, says the call's end there.
#[test]
fn end_of_a_later_call_said_on_a_silent_connection_is_heard() {
    let (listener, _program, mut server, mut caller) = gatekeeper_with_caller();
    let state = json!({"verb": "LOAD", "tag": "00000000000000aa", "opts": {"load": "x0:12;x1:40"}});
    for _ in 0..6 {
        server.say(state.clone());
        std::thread::sleep(Duration::from_millis(60)); // the report interval
    }
    let report_on = |connection: &Lines| connection.keeps_saying(state.clone(), Duration::from_millis(20));
    let mut second = Lines::accept(&listener); // replaces the silent one
    report_on(&second);
    assert_eq!(server.until_closed(), "", "the silent connection is closed");
    caller.start(TAG, 8000, 0);
    let start = second.expect("START");
    second.started(&start["tag"]);
    caller.expect("STARTED");
    second.writer().shutdown(std::net::Shutdown::Both).unwrap();
    let closed_at = Instant::now();
    let mut replacements = Vec::new(); // one for the next call, one for what crossed the end
    while closed_at.elapsed() < Duration::from_secs(1) {
        replacements.extend(Lines::accept_now(&listener).inspect(report_on));
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(!replacements.is_empty());
    let ended_at = Instant::now(); // the server says so on the first connection
    let mut next = Lines::accept(&listener);
    next.finish(&json!(TAG), 16, json!({}));
    assert_eq!(caller.expect("FINISH")["tag"], TAG);
    assert!(ended_at.elapsed() < Duration::from_secs(8), "{:?}", ended_at.elapsed());
}

/// While the gatekeeper is out of service, callers' health checks fail, and a connection is closed once it has no
/// open set-up and no established call. Back in service, connections are accepted and health checks pass again.
#[test]
fn out_of_service_refuses_new_calls_and_loses_no_release() {
    let (listener, server_address) = listen();
    let (_program, gatekeeper, admin) =
        Program::with_door(&Resolver::new(vec![line("s-1", server_address, 0)]));
    let mut server = Lines::accept(&listener);
    let (mut caller, mut idle) = (Lines::connect(gatekeeper), Lines::connect(gatekeeper));
    idle.nothing_but_an_echo();
    caller.start(TAG, 3000, 0);
    let start = server.expect("START");
    server.started(&start["tag"]);
    caller.expect("STARTED");
    for _ in 0..2 {
        assert_eq!(ask(admin, "PUT", "/control/out-of-service").0, 200);
    }
    let echo = json!({"verb": "ECHO", "tag": "00000000000000ee", "opts": {}, "rc": 0});
    let mut health_check = Lines::connect(gatekeeper);
    health_check.say(echo.clone());
    assert_eq!(health_check.expect("ECHOED")["rc"], 0);
    assert_eq!(idle.text(), "", "an idle connection is closed");
    // The caller's connection is kept for its established call: new calls on it are refused eventually, and the release
    // still arrives.
    let mut server = server.answers_by_itself();
    let mut next = 0;
    let refused = eventually("a new call is refused", || {
        next += 1;
        let tag = format!("{next:016x}");
        caller.start(&tag, 3000, 0);
        let answer = caller.hear();
        if answer["verb"] == "STARTED" {
            caller.finish(&json!(tag), 16, json!({}));
            caller.expect("FINISHED");
        }
        (answer["verb"] == "FINISH").then_some(answer)
    });
    assert_eq!((&refused["rc"], &refused["opts"]["wait"]), (&json!(34), &json!("100")));
    server.finish(&start["tag"], 16, json!({}));
    let release = caller.expect("FINISH");
    assert_eq!((&release["tag"], &release["rc"]), (&json!(TAG), &json!(16)));
    caller.say(json!({"verb": "FINISHED", "tag": TAG, "opts": {}}));
    assert_eq!(caller.text(), "", "the connection has no established call left");
    assert_eq!(ask(admin, "PUT", "/control/in-service").0, 200);
    Lines::connect(gatekeeper).nothing_but_an_echo();
    let mut health_check = Lines::connect(gatekeeper);
    health_check.say(echo);
    assert_eq!(health_check.expect("ECHOED")["rc"], 1);
}
