//! The simulator adapter, run as a process with its input and output on pipes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cobaltspool-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter exits at an invalid line without reading the rest, so a failed write is ignored.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter exits")
}

fn profile() -> Value {
    json!({
        "me": 0, "peers-total": 2, "tick-us": 5000, "discovery": "pushed", "not-yet-known": [1],
        "services": [{"aim-us": 1200000, "worth": 1.0, "late-worth": 0.25, "effect": "read_like"}],
        "ceilings": {"cancel": true, "max-attempts": 5, "retry-after": true, "max-retry-after-us": 2000000},
        "rules": {"answer-slack-us": 20000, "drain-grace-us": 250000, "fall-us": 1500000,
                  "start-capacity": 0.29, "tip-multiple": 2.0, "warm-up-us": 15000000},
        "domain": {"allowed-pools": [[0]], "clear-wait-us": 300000, "resend-us": 500000, "layout": "groups"}
    })
}

fn batch(frame: u64, clock: u64, msgs: Value) -> String {
    json!({"clock-us": clock, "frame": frame, "msgs": msgs}).to_string() + "\n"
}

fn begin(front: u64) -> Vec<Value> {
    vec![
        json!({"begin": {"front": front, "random-seed": 7, "profile-data": profile()}}),
        json!({"directory": {"ref": 0, "elements": [
            {"place-no": 0, "server": "server.a", "weight": 1, "shape": 0, "availability": "up"}]}}),
        json!({"peers-known": {"front": front, "scope": "restored", "gen": 1, "ref": 0}}),
    ]
}

fn query(front: u64, id: u64) -> Value {
    json!({"query": {"front": front, "request-id": id, "service": 0, "item": 9, "due-us": 4000000,
                     "dest": 0, "circuits": 1, "through": -1}})
}

fn replies(out: &Output) -> Vec<Value> {
    let text = String::from_utf8(out.stdout.clone()).unwrap();
    text.lines().map(|l| serde_json::from_str(l).expect("each line is a JSON reply")).collect()
}

fn dispatches(reply: &Value, front: u64) -> Vec<Value> {
    let actions = reply["actions"].as_array().unwrap();
    actions.iter().filter(|a| a["dispatch"]["front"] == front).cloned().collect()
}

#[test]
fn call_is_dispatched_and_established() {
    let mut msgs = begin(3);
    msgs.push(query(3, 17));
    let input = batch(1, 1_000_000, json!([]))
        + &batch(2, 1_000_000, json!(msgs))
        + &batch(
            3,
            1_020_000,
            json!([{"ack-first": {"front": 3, "request-id": 17, "copy": 0,
            "server": "server.a", "took-us": 20000}}]),
        )
        + &batch(
            4,
            9_000_000,
            json!([{"reply": {"front": 3, "request-id": 17, "copy": 0, "server": "server.a",
            "ending": "success", "took-us": 8000000, "ended": true,
            "telemetry": {"spare": 3, "total": 9, "cut_by": 0.1, "new-figure": 2}}}]),
        );
    let out = run(&input);
    assert!(out.status.success() && out.stderr.is_empty(), "{}", String::from_utf8_lossy(&out.stderr));
    let parsed = replies(&out);
    assert_eq!(parsed.iter().map(|r| r["frame"].as_u64().unwrap()).collect::<Vec<_>>(), [1, 2, 3, 4]);
    let dispatched = dispatches(&parsed[1], 3);
    assert_eq!(dispatched.len(), 1);
    assert_eq!(dispatched[0]["dispatch"]["request-id"], 17);
    assert_eq!(dispatched[0]["dispatch"]["server"], "server.a");
    assert_eq!(dispatched[0]["dispatch"]["allow-for-us"], 3_000_000);
}

#[test]
fn every_kind_of_message_is_accepted() {
    let mut msgs = begin(1);
    msgs.push(query(1, 5));
    msgs.push(json!({"peers-known": {"front": 1, "scope": "unavailable", "gen": 1, "ref": 9}}));
    msgs.push(json!({"inbox": {"front": 1, "origin-peer": 2, "msg": "aGkgNw=="}}));
    msgs.push(json!({"ping-result": {"front": 1, "server": "server.a", "ending": "success", "took-us": 0,
        "telemetry": {"spare": 4, "total": 9, "cut_by": -1, "avg_ms": -1}}}));
    for ending in ["failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"] {
        msgs.push(json!({"reply": {"front": 1, "request-id": 5, "copy": 0, "server": "server.a",
            "ending": ending, "took-us": 5, "note": 4803}}));
    }
    msgs.push(json!({"aborted": {"front": 1, "request-id": 5}}));
    msgs.push(json!({"reminder": {"front": 1, "key-back": "0"}}));
    msgs.push(json!({"killed": {"front": 1}}));
    let out = run(&batch(1, 1_000_000, json!(msgs)));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}

#[test]
fn actions_do_not_depend_on_other_gatekeepers() {
    let mut alone = begin(2);
    alone.push(query(2, 8));
    let mut together = begin(1);
    together.extend([query(1, 7)]);
    together.extend(alone.clone());
    let (a, b) = (run(&batch(1, 5_000, json!(alone))), run(&batch(1, 5_000, json!(together))));
    assert_eq!(dispatches(&replies(&a)[0], 2), dispatches(&replies(&b)[0], 2));
    assert_eq!(dispatches(&replies(&a)[0], 2).len(), 1);
}

#[test]
fn adapter_exits_successfully_at_the_end_of_input() {
    let out = run("");
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty());
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    let single = |m: Value| batch(4, 5, json!([m]));
    let after_begin = |m: Value| {
        let mut msgs = begin(1);
        msgs.push(m);
        batch(4, 5, json!(msgs))
    };
    let inbox = json!({"inbox": {"front": 1, "origin-peer": 2, "msg": "??"}});
    let list = json!({"peers-known": {"front": 1, "scope": "update", "gen": 2, "ref": 12}});
    for (input, expected) in [
        ("nonsense\n".to_string(), "not a batch"),
        ("{\"clock-us\":5}\n".to_string(), "missing field"),
        (single(json!({"surprise": {"front": 1}})), "surprise"),
        (single(json!({"aborted": {"front": 1}})), "request-id"),
        (single(json!({"killed": {"front": 4}})), "unknown front 4"),
        (after_begin(list), "unknown server list 12"),
        (after_begin(inbox), "bad base64"),
    ] {
        let out = run(&input);
        let message = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{input}");
        assert!(out.stdout.is_empty(), "standard output must contain replies only: {input}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(expected) && !message.contains("panicked"), "{expected}: {message}");
    }
}
