//! Tests of limits per route on the real program with an operators' file, on the platform and on SIP.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use peers::sip::*;
use peers::*;
use serde_json::{Value, json};

const TAGS: [&str; 3] = ["00000000000000a1", "00000000000000a2", "00000000000000a3"];

/// An operators' file with one route for the numbers called on the platform and one for those called on SIP.
fn ops_file(limits: Value) -> Value {
    json!({"limits": {"routes": [
        {"name": "platform", "match": {"prefix": "7f3a"}, "limits": limits},
        {"name": "sip", "match": {"prefix": "555"}, "limits": limits},
    ]}})
}

struct Platform {
    program: Program,
    server: Lines,
    caller: Lines,
    _listener: TcpListener,
}

fn platform(limits: Value) -> Platform {
    let (listener, address) = listen();
    let (program, gate) =
        Program::platform_by(&Resolver::new(vec![line("s-1", address, 0)]), &ops_file(limits));
    let server = Lines::accept(&listener);
    Platform { program, server, caller: Lines::connect(gate), _listener: listener }
}

impl Platform {
    fn establish(&mut self, tag: &str) {
        self.caller.start(tag, 9000, 0);
        let start = self.server.expect("START");
        assert_eq!(start["tag"], tag);
        self.server.started(&start["tag"]);
        assert_eq!(self.caller.expect("STARTED")["tag"], tag);
    }

    /// Sets up a call that is rejected at once, without an attempt. Returns the retry-after in milliseconds.
    fn expect_rejection(&mut self, tag: &str) -> u64 {
        self.caller.start(tag, 9000, 0);
        let refused = self.caller.expect("FINISH");
        assert_eq!((&refused["tag"], &refused["rc"]), (&json!(tag), &json!(34)));
        refused["opts"]["wait"].as_str().unwrap().parse().unwrap()
    }

    fn end_call(&mut self, tag: &str) {
        self.server.finish(&json!(tag), 16, json!({}));
        self.server.expect("FINISHED");
        assert_eq!(self.caller.expect("FINISH")["tag"], tag);
    }
}

#[test]
fn a_routes_time_out_ends_an_attempt() {
    let mut fixture = platform(json!({"time_out": "400ms", "attempts": 1}));
    let started = Instant::now();
    fixture.caller.start(TAGS[0], 9000, 0);
    let start = fixture.server.expect("START");
    let time_left: u64 = start["opts"]["left"].as_str().unwrap().parse().unwrap();
    assert!(time_left <= 400, "the timeout is passed to the server: {time_left}");
    assert_eq!(fixture.server.expect("FINISH")["rc"], 16, "cancelled");
    assert_eq!(fixture.caller.expect("FINISH")["rc"], 41);
    assert!(started.elapsed() >= Duration::from_millis(400), "{:?}", started.elapsed());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[test]
fn a_route_limits_the_attempts_of_a_call() {
    let mut fixture = platform(json!({"attempts": 2}));
    fixture.caller.start(TAGS[0], 9000, 0);
    for _ in 0..2 {
        let start = fixture.server.expect("START");
        fixture.server.finish(&start["tag"], 47, json!({}));
    }
    assert_eq!(fixture.caller.expect("FINISH")["tag"], TAGS[0]);
    fixture.establish(TAGS[1]); // the server got no third START for the first call
}

#[test]
fn a_route_rejects_calls_over_its_open_calls_until_one_ends() {
    let mut fixture = platform(json!({"open_calls": 1}));
    fixture.establish(TAGS[0]);
    assert_eq!(fixture.expect_rejection(TAGS[1]), 1000);
    fixture.end_call(TAGS[0]);
    fixture.establish(TAGS[2]);
}

#[test]
fn a_routes_rate_sets_the_retry_after_of_rejected_calls() {
    let mut fixture = platform(json!({"rate": {"per_second": 0.5, "burst": 1}}));
    fixture.establish(TAGS[0]);
    let wait = fixture.expect_rejection(TAGS[1]);
    assert!((1..=2000).contains(&wait), "{wait}");
}

#[test]
fn a_reload_applies_all_new_limits_or_none() {
    let mut fixture = platform(json!({"open_calls": 1}));
    fixture.establish(TAGS[0]);
    fixture.program.replace_ops(&ops_file(json!({"open_calls": 2, "attempts": 9})));
    let message = fixture.program.logged("all stays as it was");
    assert!(message.contains("9 attempts"), "{message}");
    fixture.expect_rejection(TAGS[1]);
    fixture.program.replace_ops(&ops_file(json!({"open_calls": 2})));
    fixture.program.logged("reload: limits");
    fixture.establish(TAGS[1]);
    fixture.expect_rejection(TAGS[2]);
    // A cap below the number of established calls ends none of them, and new calls are rejected until the number is
    // below the cap.
    fixture.program.replace_ops(&ops_file(json!({"open_calls": 1})));
    fixture.program.logged("reload: limits");
    fixture.end_call(TAGS[0]);
    fixture.expect_rejection(TAGS[2]);
    fixture.end_call(TAGS[1]);
    fixture.establish(TAGS[2]);
}

#[test]
fn the_program_does_not_start_with_an_invalid_file() {
    let file = Scratch::new(&ops_file(json!({"attempts": 40})).to_string());
    let config = Scratch::new("{}");
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
        .args(["check-config", "--format", "json", "--ops"])
        .arg(&file.0)
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(1));
    let output: Value = serde_json::from_slice(&run.stdout).unwrap();
    assert_eq!(output["accepted"], false);
    let finding = &output["reports"][0]["findings"][0];
    assert_eq!((&finding["rule"], &finding["places"][0]["line"]), (&json!("attempts"), &json!(1)));
    assert_eq!(finding["places"][0]["found"], "40");
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
        .args(["serve", "--config"])
        .arg(&config.0)
        .arg("--ops")
        .arg(&file.0)
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(1));
}

#[test]
fn explain_shows_each_limit_and_its_origin() {
    let file = Scratch::new(&ops_file(json!({"attempts": 2})).to_string());
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
        .args(["explain", "--class", "check-setup", "--number", "5550100", "--format", "json", "--ops"])
        .arg(&file.0)
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    let output: Value = serde_json::from_slice(&run.stdout).unwrap();
    assert_eq!(output["route"], "sip");
    let limit = |setting: &str| {
        output["limits"].as_array().unwrap().iter().find(|l| l["setting"] == setting).unwrap()
    };
    assert_eq!(
        (&limit("attempts")["value"], &limit("attempts")["path"]),
        (&json!("2"), &json!("limits.routes[1].limits.attempts"))
    );
    assert_eq!(limit("pause.timed_out")["from"], "the program's default");
}

// ---- SIP ----

struct Sip {
    program: Program,
    server: Agent,
    caller: Agent,
}

fn sip(limits: Value) -> Sip {
    let server = Agent::udp(SocketAddr::from(([127, 0, 0, 1], 9)));
    let resolver = Resolver::new(vec![line("s-1", server.own, 0)]);
    let (program, gate) = Program::sip_by(&resolver, &ops_file(limits));
    resolver.asked_anew(); // the program has its server list once it asks again
    Sip { program, server, caller: Agent::udp(gate) }
}

impl Sip {
    /// Establishes a call. Returns the INVITE that the server got.
    fn establish(&mut self, call: &str) -> Got {
        self.caller.invite(call);
        let invite = self.server.expect("INVITE");
        self.server.answer(&invite, "200 OK", "far", "v=0\r\n");
        let ok = self.caller.expect("SIP/2.0 200");
        assert_eq!(ok.get("Call-ID"), call);
        self.caller.in_dialog(&ok, "ACK", 1);
        self.server.expect("ACK");
        invite
    }

    /// Sets up a call that is rejected. Returns the retry-after in seconds.
    fn expect_rejection(&mut self, call: &str) -> u64 {
        self.caller.invite(call);
        let refused = self.caller.expect("SIP/2.0 503");
        assert_eq!(refused.get("Call-ID"), call);
        refused.get("Retry-After").parse().unwrap()
    }

    fn end_call(&mut self, invite: &Got) {
        self.server.bye_from_server(invite, "far");
        self.server.expect("SIP/2.0 200");
        let bye = self.caller.expect("BYE");
        self.caller.answer(&bye, "200 OK", "", "");
    }
}

#[test]
fn sip_time_out_ends_an_attempt() {
    let mut fixture = sip(json!({"time_out": "400ms", "attempts": 1}));
    let started = Instant::now();
    fixture.caller.invite("t1");
    fixture.server.expect("INVITE");
    let failed = fixture.caller.expect("SIP/2.0 5");
    assert_eq!(failed.get("Call-ID"), "t1");
    assert!(started.elapsed() >= Duration::from_millis(400), "{:?}", started.elapsed());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[test]
fn sip_route_limits_the_attempts_of_a_call() {
    let mut fixture = sip(json!({"attempts": 1}));
    fixture.caller.invite("t2");
    let invite = fixture.server.expect("INVITE");
    fixture.server.answer(&invite, "486 Busy Here", "far", "");
    assert_eq!(fixture.caller.expect("SIP/2.0 486").get("Call-ID"), "t2");
}

#[test]
fn sip_open_calls_across_a_reload() {
    let mut fixture = sip(json!({"open_calls": 1}));
    let first = fixture.establish("t3");
    assert_eq!(fixture.expect_rejection("t4"), 1);
    fixture.program.replace_ops(&ops_file(json!({"open_calls": 2})));
    fixture.program.logged("reload: limits");
    fixture.establish("t5");
    fixture.expect_rejection("t6");
    fixture.end_call(&first);
    fixture.establish("t7");
}

#[test]
fn sip_rate_sets_the_retry_after_of_rejected_calls() {
    let mut fixture = sip(json!({"rate": {"per_second": 0.5, "burst": 1}}));
    fixture.establish("t8");
    assert!((1..=2).contains(&fixture.expect_rejection("t9")));
}
