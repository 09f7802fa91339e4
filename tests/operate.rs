//! The admin endpoint of the real program, which runs between scripted peers.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;
use serde_json::json;

const CLASS: &str = "check-setup";

/// The value of a metric.
fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("edge_lb_{name} ")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("{name} is missing in\n{text}"))
}

/// The served, refused, failed and attempt counters of the class, and the number of calls in flight.
fn class_counters(admin: SocketAddr) -> [u64; 5] {
    let (status, text) = ask(admin, "GET", "/control/counters");
    assert_eq!(status, 200);
    let class_counter = |name: &str| metric(&text, &format!("{name}_total{{class=\"{CLASS}\"}}"));
    [
        class_counter("served"),
        class_counter("refused"),
        class_counter("failed"),
        class_counter("attempts"),
        metric(&text, "in_flight"),
    ]
}

fn tag(n: u32) -> String {
    format!("{n:016x}")
}

/// The counters match the outcomes that the scripted peers counted.
#[test]
fn metrics_match_what_the_peers_counted() {
    let (listener, server_address) = listen();
    let (_program, address, admin) = Program::with_door(&Resolver::new(vec![line("s-1", server_address, 0)]));
    assert_eq!(class_counters(admin), [0; 5], "every class is present before the first call");
    let (mut server_connection, mut caller) = (Lines::accept(&listener), Lines::connect(address));
    let mut attempts = 0;
    for n in 0..10 {
        caller.start(&tag(n), 3000, 0);
        let start = server_connection.expect("START");
        attempts += 1;
        if n == 9 {
            // The server reports a permanent failure.
            server_connection.finish(&start["tag"], 17, json!({"note": "line_taken"}));
            let finish = caller.expect("FINISH");
            assert_eq!(finish["rc"], 41, "{finish}");
        } else if n % 2 == 0 {
            server_connection.started(&start["tag"]);
            caller.expect("STARTED");
            if n < 6 {
                server_connection.finish(&start["tag"], 16, json!({}));
                server_connection.expect("FINISHED");
                caller.expect("FINISH");
            }
        } else {
            caller.finish(&json!(tag(n)), 16, json!({}));
            caller.expect("FINISHED");
            server_connection.expect("FINISH");
        }
    }
    caller.start("no name", 3000, 0); // unreadable: the connection is closed, and nothing is counted
    assert_eq!(caller.text(), "");
    eventually("the expected counters", || (class_counters(admin) == [5, 0, 1, attempts, 2]).then_some(()));
    let (_, text) = ask(admin, "GET", "/control/counters");
    assert_eq!((metric(&text, "setup_servers_known"), metric(&text, "setup_servers_excluded")), (1, 0));
}

/// Refused calls and draining servers are counted too.
#[test]
fn draining_server_is_counted_as_known_and_excluded() {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    let (_program, address, admin) = Program::with_door(&resolver);
    let (_server_connection, mut caller) = (Lines::accept(&listener), Lines::connect(address));
    resolver.change(0, |list| list[0].draining = true);
    resolver.asked_anew();
    caller.start(&tag(1), 300, 0);
    assert_eq!(caller.expect("FINISH")["rc"], 34);
    let (_, text) = ask(admin, "GET", "/control/counters");
    assert_eq!((metric(&text, "setup_servers_known"), metric(&text, "setup_servers_excluded")), (1, 1));
    assert_eq!(class_counters(admin), [0, 1, 0, 0, 0]);
}

#[rstest]
#[case::unknown_path(b"GET /metrics HTTP/1.1\r\n\r\n", 404, "")]
#[case::wrong_method(b"DELETE /control/ready HTTP/1.1\r\n\r\n", 405, "Allow: GET, HEAD")]
#[case::not_http(b"{\"verb\":\"ECHO\"}\r\n\r\n", 400, "")]
#[case::long_body(b"PUT /control/in-service HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413, "")]
fn bad_request_is_refused_without_side_effects(
    #[case] bytes: &[u8],
    #[case] status: u16,
    #[case] expected_text: &str,
) {
    let (listener, server_address) = listen();
    let (_program, address, admin) = Program::with_door(&Resolver::new(vec![line("s-1", server_address, 0)]));
    let _server_connection = Lines::accept(&listener);
    let mut caller = Lines::connect(address);
    let (received_status, text) = spoken(admin, bytes);
    assert_eq!(received_status, status, "{text}");
    assert!(text.contains(expected_text), "{text}");
    caller.nothing_but_an_echo();
    assert_eq!(ask(admin, "GET", "/control/ready").0, 200);
}

/// More connections than the admin endpoint allows stay silent or send an incomplete request, while hundreds of clients
/// connect. Operators must still get their answers, independent of the connections that clients hold.
#[test]
fn admin_endpoint_answers_during_a_connection_flood() {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    let (_program, address, admin) = Program::with_door(&resolver);
    let _server_connection = Lines::accept(&listener);
    let mut caller = Lines::connect(address);
    caller.nothing_but_an_echo();
    let clients: Vec<TcpStream> = (0..600).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut stalled: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(admin).unwrap()).collect();
    for incomplete in stalled.iter_mut().step_by(2) {
        let _ = incomplete.write_all(b"GET /control/re");
    }
    let mut longest = Duration::ZERO;
    for _ in 0..50 {
        let started = Instant::now();
        assert_eq!(ask(admin, "GET", "/control/ready").0, 200);
        longest = longest.max(started.elapsed());
    }
    eprintln!(
        "longest response time {longest:?} with {} clients and {} incomplete requests",
        clients.len(),
        stalled.len()
    );
    assert!(longest < PATIENCE / 2, "{longest:?}");
    // Connections that never send a complete request are closed.
    let closed = stalled
        .iter_mut()
        .filter_map(|s| s.set_read_timeout(Some(PATIENCE)).ok().map(|()| s.read_to_end(&mut Vec::new())));
    assert_eq!(closed.count(), 40);
    assert_eq!(ask(admin, "GET", "/control/ready").0, 200);
}

/// A process without an endpoint list cannot serve. It reports that it is not ready until the resolver returns a list.
#[test]
fn process_is_not_ready_before_it_has_an_endpoint_list() {
    let (listener, server_address) = listen();
    let resolver = Resolver::new(vec![line("s-1", server_address, 0)]);
    resolver.slip(Some(Slip::Failure));
    let (_program, address, admin) = Program::without_a_list(&resolver);
    let echo = json!({"verb": "ECHO", "tag": "00000000000000ee", "opts": {}, "rc": 0});
    let mut load_balancer = Lines::connect(address);
    load_balancer.say(echo.clone());
    assert_eq!(load_balancer.expect("ECHOED")["rc"], 0);
    assert_eq!(ask(admin, "GET", "/control/ready").0, 503);
    resolver.slip(None);
    let _server_connection = Lines::accept(&listener);
    eventually("it is ready", || (ask(admin, "GET", "/control/ready").0 == 200).then_some(()));
    load_balancer.say(echo);
    assert_eq!(load_balancer.expect("ECHOED")["rc"], 1);
}
