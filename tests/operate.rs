//! Stories at the operators' door: the real program between scripted peers, and staff who ask and order.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;
use serde_json::json;

const CLASS: &str = "check-setup";

/// A figure's value.
fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("edge_lb_{name} ")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("{name} is not in\n{text}"))
}

/// Served, refused, failed and attempts of the class, and what is in flight.
fn figures(door: SocketAddr) -> [u64; 5] {
    let (status, text) = ask(door, "GET", "/control/counters");
    assert_eq!(status, 200);
    let of = |name: &str| figure(&text, &format!("{name}_total{{class=\"{CLASS}\"}}"));
    [of("served"), of("refused"), of("failed"), of("attempts"), figure(&text, "in_flight")]
}

fn tag(n: u32) -> String {
    format!("{n:016x}")
}

/// The figures are what the scripted peers counted, by outcome.
#[test]
fn figures_are_what_the_peers_counted() {
    let (server, at) = listen();
    let (_program, gate, door) = Program::with_door(&Resolver::new(vec![line("s-1", at, 0)]));
    assert_eq!(figures(door), [0; 5], "every class is there from the start");
    let (mut far, mut caller) = (Lines::accept(&server), Lines::connect(gate));
    let mut sent = 0;
    for n in 0..10 {
        caller.start(&tag(n), 3000, 0);
        let start = far.expect("START");
        sent += 1;
        if n == 9 {
            // The server says that it failed, for good.
            far.finish(&start["tag"], 17, json!({"note": "line_taken"}));
            let over = caller.expect("FINISH");
            assert_eq!(over["rc"], 41, "{over}");
        } else if n % 2 == 0 {
            far.started(&start["tag"]);
            caller.expect("STARTED");
            if n < 6 {
                far.finish(&start["tag"], 16, json!({}));
                far.expect("FINISHED");
                caller.expect("FINISH");
            }
        } else {
            caller.finish(&json!(tag(n)), 16, json!({}));
            caller.expect("FINISHED");
            far.expect("FINISH");
        }
    }
    caller.start("no name", 3000, 0); // unreadable: its connection ends, and it was no call
    assert_eq!(caller.text(), "");
    eventually("the figures", || (figures(door) == [5, 0, 1, sent, 2]).then_some(()));
    let (_, text) = ask(door, "GET", "/control/counters");
    assert_eq!((figure(&text, "setup_servers_known"), figure(&text, "setup_servers_excluded")), (1, 0));
}

/// Refused calls and servers that drain are in the figures too.
#[test]
fn a_server_that_drains_is_known_and_excluded() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let (_program, gate, door) = Program::with_door(&resolver);
    let (_far, mut caller) = (Lines::accept(&server), Lines::connect(gate));
    resolver.change(0, |list| list[0].draining = true);
    resolver.asked_anew();
    caller.start(&tag(1), 300, 0);
    assert_eq!(caller.expect("FINISH")["rc"], 34);
    let (_, text) = ask(door, "GET", "/control/counters");
    assert_eq!((figure(&text, "setup_servers_known"), figure(&text, "setup_servers_excluded")), (1, 1));
    assert_eq!(figures(door), [0, 1, 0, 0, 0]);
}

#[rstest]
#[case::no_such_call(b"GET /metrics HTTP/1.1\r\n\r\n", 404, "")]
#[case::wrong_method(b"DELETE /control/ready HTTP/1.1\r\n\r\n", 405, "Allow: GET, HEAD")]
#[case::no_http(b"{\"verb\":\"ECHO\"}\r\n\r\n", 400, "")]
#[case::long_body(b"PUT /control/in-service HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413, "")]
fn a_bad_call_is_told_so_and_ends_nothing_else(
    #[case] bytes: &[u8],
    #[case] status: u16,
    #[case] words: &str,
) {
    let (server, at) = listen();
    let (_program, gate, door) = Program::with_door(&Resolver::new(vec![line("s-1", at, 0)]));
    let _far = Lines::accept(&server);
    let mut caller = Lines::connect(gate);
    let (said, text) = spoken(door, bytes);
    assert_eq!(said, status, "{text}");
    assert!(text.contains(words), "{text}");
    caller.nothing_but_an_echo();
    assert_eq!(ask(door, "GET", "/control/ready").0, 200);
}

/// More callers than the door has places say nothing or half a call, and clients come by the hundreds: staff get
/// their answers all the same, and the clients' places are not touched.
#[test]
fn a_flood_keeps_nobody_waiting() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    let (_program, gate, door) = Program::with_door(&resolver);
    let _far = Lines::accept(&server);
    let mut caller = Lines::connect(gate);
    caller.nothing_but_an_echo();
    let crowd: Vec<TcpStream> = (0..600).map(|_| TcpStream::connect(gate).unwrap()).collect();
    let mut silent: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(door).unwrap()).collect();
    for half in silent.iter_mut().step_by(2) {
        let _ = half.write_all(b"GET /control/re");
    }
    let mut longest = Duration::ZERO;
    for _ in 0..50 {
        let from = Instant::now();
        assert_eq!(ask(door, "GET", "/control/ready").0, 200);
        longest = longest.max(from.elapsed());
    }
    eprintln!(
        "longest answer {longest:?} beside {} clients and {} silent callers",
        crowd.len(),
        silent.len()
    );
    assert!(longest < PATIENCE / 2, "{longest:?}");
    // Those who never send a whole call are ended.
    let ended = silent
        .iter_mut()
        .filter_map(|s| s.set_read_timeout(Some(PATIENCE)).ok().map(|()| s.read_to_end(&mut Vec::new())));
    assert_eq!(ended.count(), 40);
    assert_eq!(ask(door, "GET", "/control/ready").0, 200);
}

/// A process without a list cannot serve, and says so until the resolver has told it one.
#[test]
fn it_is_not_ready_before_it_has_a_list() {
    let (server, at) = listen();
    let resolver = Resolver::new(vec![line("s-1", at, 0)]);
    resolver.slip(Some(Slip::Failure));
    let (_program, gate, door) = Program::without_a_list(&resolver);
    let echo = json!({"verb": "ECHO", "tag": "00000000000000ee", "opts": {}, "rc": 0});
    let mut front = Lines::connect(gate);
    front.say(echo.clone());
    assert_eq!(front.expect("ECHOED")["rc"], 0);
    assert_eq!(ask(door, "GET", "/control/ready").0, 503);
    resolver.slip(None);
    let _far = Lines::accept(&server);
    eventually("it is ready", || (ask(door, "GET", "/control/ready").0 == 200).then_some(()));
    front.say(echo);
    assert_eq!(front.expect("ECHOED")["rc"], 1);
}
