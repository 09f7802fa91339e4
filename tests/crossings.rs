//! Crossings on the platform's front: two things meet in the program between two of its lines. Each is forced: the program is
//! stopped while its peers act, so both are in the kernel before any of it may run.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use peers::*;
use rstest::rstest;
use serde_json::{Value, json};

const TAG: &str = "9b1f03aa5c7e2d41";

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
    program.logged("tells the list again");
    assert!(ask(door, "GET", "/control/counters").1.contains("edge_lb_list_silent_seconds 0"));
}

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
