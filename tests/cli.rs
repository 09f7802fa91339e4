//! Tests the command line and the configuration with the built program.

mod peers;

use std::process::{Command, Output};

use peers::*;
use rstest::rstest;
use serde_json::{Value, json};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cobaltspool"));
    command.args(arguments).env_remove("LB_CONFIG").output().unwrap()
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn platform_config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "dns": "127.0.0.1:5353",
           "known": {"seq": 3, "results": [
               {"seq": 3, "fleet": {"generation": 1, "reset": false, "instances": [
                   {"instanceId": "s-1", "hostPort": "10.1.0.9:5070", "zone": "east", "machineType": "std",
                    "cell": 2, "lifecycle": "in_service", "weight": 4, "startedAtMs": 0},
                   {"instanceId": "s-2", "lifecycle": "terminated"}]}}]},
           "settings": settings()})
}

#[test]
fn version_is_printed() {
    let out = run(&["version"]);
    assert!(out.status.success());
    assert_eq!(to_text(&out.stdout), format!("cobaltspool {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn check_config_prints_a_summary() {
    let file = Scratch::new(&platform_config().to_string());
    let out = run(&["check-config", "--config", file.0.to_str().unwrap(), "--sip", "deploy/sip.json"]);
    assert!(out.status.success(), "{}", to_text(&out.stderr));
    let text = to_text(&out.stdout);
    assert!(text.contains("n3: listens on 127.0.0.1:0") && text.contains("classes: check-setup"), "{text}");
    assert!(text.contains("_sip._udp.pool.lan"), "{text}");
}

#[rstest]
#[case::not_json("{", "not JSON")]
#[case::not_an_object("[]", "not an object")]
#[case::empty("{}", "'seed' is missing")]
fn a_file_without_a_configuration_is_refused(#[case] text: &str, #[case] expected: &str) {
    assert_refused(text, expected);
}

#[rstest]
#[case::listen("/listen", json!("nowhere"), "'listen' is not an address")]
#[case::seed("/seed", json!("xyz"), "'seed' is not hexadecimal")]
#[case::known("/known/results", json!({}), "'results' is not a list")]
#[case::state("/known/results/0/fleet/instances/0/lifecycle", json!("odd"), "'lifecycle' is 'odd'")]
#[case::address("/known/results/0/fleet/instances/0/hostPort", json!(7), "'hostPort' is not a text")]
#[case::no_classes("/settings/services", json!([]), "'services' is missing or empty")]
#[case::rule_setting("/settings/rules/drain-grace-us", json!("soon"), "'drain-grace-us' is not a number")]
#[case::negative("/settings/rules/drain-grace-us", json!(-1), "'drain-grace-us' is negative")]
#[case::pools("/settings/domain/allowed-pools", json!([["a"]]), "a pool is not a number")]
fn an_invalid_value_is_reported_in_one_line(#[case] at: &str, #[case] value: Value, #[case] expected: &str) {
    let mut config = platform_config();
    config["settings"]["domain"]["allowed-pools"] = json!([[2]]);
    *config.pointer_mut(at).unwrap() = value;
    assert_refused(&config.to_string(), expected);
}

fn assert_refused(text: &str, expected: &str) {
    let file = Scratch::new(text);
    let out = run(&["serve", "--config", file.0.to_str().unwrap()]);
    let message = to_text(&out.stderr);
    assert!(!out.status.success());
    assert_eq!(message.lines().count(), 1, "{message}");
    assert!(message.contains(expected) && !message.contains("panicked"), "{message}");
}

#[rstest]
#[case::no_frontend(&["serve"], "--sip")]
#[case::no_such_file(&["serve", "--config", "/nonexistent/config.json"], "/nonexistent/config.json")]
#[case::no_such_command(&["dance"], "dance")]
fn an_invalid_command_line_fails(#[case] arguments: &[&str], #[case] expected: &str) {
    let out = run(arguments);
    assert!(!out.status.success());
    assert!(to_text(&out.stderr).contains(expected), "{}", to_text(&out.stderr));
}
