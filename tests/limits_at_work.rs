//! Stories of limits by route and class: the real program with a file of the operators', on both fronts.

mod peers;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use peers::sip::*;
use peers::*;
use serde_json::{Value, json};

const TAGS: [&str; 3] = ["00000000000000a1", "00000000000000a2", "00000000000000a3"];

/// One route, for the numbers that the stories call on either front.
fn route(limits: Value) -> Value {
    json!({"limits": {"routes": [
        {"name": "platform", "match": {"prefix": "7f3a"}, "limits": limits},
        {"name": "sip", "match": {"prefix": "555"}, "limits": limits},
    ]}})
}

struct Platform {
    program: Program,
    far: Lines,
    caller: Lines,
    _server: TcpListener,
}

fn platform(limits: Value) -> Platform {
    let (server, at) = listen();
    let (program, gate) = Program::platform_by(&Resolver::new(vec![line("s-1", at, 0)]), &route(limits));
    let far = Lines::accept(&server);
    Platform { program, far, caller: Lines::connect(gate), _server: server }
}

impl Platform {
    fn stands(&mut self, tag: &str) {
        self.caller.start(tag, 9000, 0);
        let start = self.far.expect("START");
        assert_eq!(start["tag"], tag);
        self.far.started(&start["tag"]);
        assert_eq!(self.caller.expect("STARTED")["tag"], tag);
    }

    /// Turned away at once, with the time to stay away in milliseconds; the server hears nothing of it.
    fn turned_away(&mut self, tag: &str) -> u64 {
        self.caller.start(tag, 9000, 0);
        let refused = self.caller.expect("FINISH");
        assert_eq!((&refused["tag"], &refused["rc"]), (&json!(tag), &json!(34)));
        refused["opts"]["wait"].as_str().unwrap().parse().unwrap()
    }

    fn ends(&mut self, tag: &str) {
        self.far.finish(&json!(tag), 16, json!({}));
        self.far.expect("FINISHED");
        assert_eq!(self.caller.expect("FINISH")["tag"], tag);
    }
}

#[test]
fn a_routes_time_out_ends_a_try() {
    let mut site = platform(json!({"time_out": "400ms", "attempts": 1}));
    let asked = Instant::now();
    site.caller.start(TAGS[0], 9000, 0);
    let start = site.far.expect("START");
    let left: u64 = start["opts"]["left"].as_str().unwrap().parse().unwrap();
    assert!(left <= 400, "the server is told so: {left}");
    assert_eq!(site.far.expect("FINISH")["rc"], 16, "called off");
    assert_eq!(site.caller.expect("FINISH")["rc"], 41);
    assert!(asked.elapsed() >= Duration::from_millis(400), "{:?}", asked.elapsed());
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
}

#[test]
fn a_routes_attempts_bound_its_tries() {
    let mut site = platform(json!({"attempts": 2}));
    site.caller.start(TAGS[0], 9000, 0);
    for _ in 0..2 {
        let start = site.far.expect("START");
        site.far.finish(&start["tag"], 47, json!({}));
    }
    assert_eq!(site.caller.expect("FINISH")["tag"], TAGS[0]);
    site.stands(TAGS[1]); // the next that the server hears of
}

#[test]
fn a_routes_open_calls_are_bounded_until_one_ends() {
    let mut site = platform(json!({"open_calls": 1}));
    site.stands(TAGS[0]);
    assert_eq!(site.turned_away(TAGS[1]), 1000);
    site.ends(TAGS[0]);
    site.stands(TAGS[2]);
}

#[test]
fn a_routes_rate_tells_when_its_bucket_has_a_token() {
    let mut site = platform(json!({"rate": {"per_second": 0.5, "burst": 1}}));
    site.stands(TAGS[0]);
    let wait = site.turned_away(TAGS[1]);
    assert!((1..=2000).contains(&wait), "{wait}");
}

#[test]
fn a_reload_takes_new_limits_whole_or_not_at_all() {
    let mut site = platform(json!({"open_calls": 1}));
    site.stands(TAGS[0]);
    site.program.replace_ops(&route(json!({"open_calls": 2, "attempts": 9})));
    let said = site.program.logged("all stays as it was");
    assert!(said.contains("9 attempts"), "{said}");
    site.turned_away(TAGS[1]);
    site.program.replace_ops(&route(json!({"open_calls": 2})));
    site.program.logged("reload: limits");
    site.stands(TAGS[1]);
    site.turned_away(TAGS[2]);
    // Lowered under the calls that stand: nothing is cut, and nothing new until under it.
    site.program.replace_ops(&route(json!({"open_calls": 1})));
    site.program.logged("reload: limits");
    site.ends(TAGS[0]);
    site.turned_away(TAGS[2]);
    site.ends(TAGS[1]);
    site.stands(TAGS[2]);
}

#[test]
fn a_bad_file_keeps_the_program_from_starting() {
    let file = Scratch::new(&route(json!({"attempts": 40})).to_string());
    let config = Scratch::new("{}");
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
        .args(["check-config", "--format", "json", "--ops"])
        .arg(&file.0)
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(1));
    let said: Value = serde_json::from_slice(&run.stdout).unwrap();
    assert_eq!(said["accepted"], false);
    let finding = &said["reports"][0]["findings"][0];
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
fn explain_says_what_holds_and_from_where() {
    let file = Scratch::new(&route(json!({"attempts": 2})).to_string());
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
        .args(["explain", "--class", "check-setup", "--number", "5550100", "--format", "json", "--ops"])
        .arg(&file.0)
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    let said: Value = serde_json::from_slice(&run.stdout).unwrap();
    assert_eq!(said["route"], "sip");
    let of =
        |setting: &str| said["limits"].as_array().unwrap().iter().find(|l| l["setting"] == setting).unwrap();
    assert_eq!(
        (&of("attempts")["value"], &of("attempts")["path"]),
        (&json!("2"), &json!("limits.routes[1].limits.attempts"))
    );
    assert_eq!(of("pause.timed_out")["from"], "the program's default");
}

// ---- The same on SIP ----

struct Sip {
    program: Program,
    server: Agent,
    caller: Agent,
}

fn sip(limits: Value) -> Sip {
    let server = Agent::udp(SocketAddr::from(([127, 0, 0, 1], 9)));
    let resolver = Resolver::new(vec![line("s-1", server.own, 0)]);
    let (program, gate) = Program::sip_by(&resolver, &route(limits));
    resolver.asked_anew(); // by then the program knows its server
    Sip { program, server, caller: Agent::udp(gate) }
}

impl Sip {
    /// A call that stands: the server's INVITE.
    fn stands(&mut self, call: &str) -> Got {
        self.caller.invite(call);
        let invite = self.server.expect("INVITE");
        self.server.answer(&invite, "200 OK", "far", "v=0\r\n");
        let ok = self.caller.expect("SIP/2.0 200");
        assert_eq!(ok.get("Call-ID"), call);
        self.caller.in_dialog(&ok, "ACK", 1);
        self.server.expect("ACK");
        invite
    }

    /// Turned away, with the time to stay away in seconds.
    fn turned_away(&mut self, call: &str) -> u64 {
        self.caller.invite(call);
        let refused = self.caller.expect("SIP/2.0 503");
        assert_eq!(refused.get("Call-ID"), call);
        refused.get("Retry-After").parse().unwrap()
    }

    fn ends(&mut self, invite: &Got) {
        self.server.bye_from_server(invite, "far");
        self.server.expect("SIP/2.0 200");
        let bye = self.caller.expect("BYE");
        self.caller.answer(&bye, "200 OK", "", "");
    }
}

#[test]
fn sip_time_out_and_attempts() {
    let mut site = sip(json!({"time_out": "400ms", "attempts": 1}));
    let asked = Instant::now();
    site.caller.invite("t1");
    site.server.expect("INVITE");
    let failed = site.caller.expect("SIP/2.0 5");
    assert_eq!(failed.get("Call-ID"), "t1");
    assert!(asked.elapsed() >= Duration::from_millis(400), "{:?}", asked.elapsed());
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
}

#[test]
fn sip_attempts_bound_a_calls_tries() {
    let mut site = sip(json!({"attempts": 1}));
    site.caller.invite("t2");
    let invite = site.server.expect("INVITE");
    site.server.answer(&invite, "486 Busy Here", "far", "");
    assert_eq!(site.caller.expect("SIP/2.0 486").get("Call-ID"), "t2");
}

#[test]
fn sip_open_calls_and_a_reload() {
    let mut site = sip(json!({"open_calls": 1}));
    let first = site.stands("t3");
    assert_eq!(site.turned_away("t4"), 1);
    site.program.replace_ops(&route(json!({"open_calls": 2})));
    site.program.logged("reload: limits");
    site.stands("t5");
    site.turned_away("t6");
    site.ends(&first);
    site.stands("t7");
}

#[test]
fn sip_rate_tells_when_to_come_back() {
    let mut site = sip(json!({"rate": {"per_second": 0.5, "burst": 1}}));
    site.stands("t8");
    assert!((1..=2).contains(&site.turned_away("t9")));
}
