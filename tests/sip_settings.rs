//! The SIP front's configuration: each setting that would break a rule is refused, with its place.

use std::process::Command;

use cobaltspool::config_check;
use rstest::rstest;
use serde_json::{Value, json};

fn shipped() -> Value {
    serde_json::from_str(&std::fs::read_to_string("deploy/sip.json").unwrap()).unwrap()
}

#[test]
fn the_shipped_configuration_has_no_findings() {
    let text = std::fs::read_to_string("deploy/sip.json").unwrap();
    assert_eq!(config_check::sip("deploy/sip.json", &text).findings, []);
}

#[rstest]
#[case::misspelt("/settings/ceilings", "max-atempts", json!(4), "form")]
#[case::misspelt_at_the_top("", "t1ms", json!(500), "form")]
#[case::forty_attempts("/settings/ceilings", "max-attempts", json!(40), "attempts")]
#[case::no_attempts("/settings/ceilings", "max-attempts", json!(0), "attempts")]
#[case::no_dial_time("/settings/ceilings", "dial-timeout-us", json!(0), "zero")]
#[case::endless_dial("/settings/ceilings", "dial-timeout-us", json!(u64::MAX), "range")]
#[case::release_wait("/settings/domain", "clear-wait-us", json!(1), "pause")]
#[case::drain_window("/settings/rules", "drain-grace-us", json!(300_000), "drain")]
#[case::negative("/settings/rules", "drain-grace-us", json!(-1), "form")]
#[case::no_capacity("/settings/rules", "start-capacity", json!(0.0), "range")]
#[case::too_much_capacity("/settings/rules", "start-capacity", json!(1.5), "range")]
#[case::no_multiple("/settings/rules", "tip-multiple", json!(0.0), "range")]
#[case::no_fall_time("/settings/rules", "fall-us", json!(0), "zero")]
#[case::no_patience("/settings/services/0", "hard-limit-us", json!(0), "range")]
#[case::aim_after_patience("/settings/services/0", "aim-us", json!(9_000_001), "order")]
#[case::late_worth("/settings/services/0", "late-worth", json!(2.0), "range")]
#[case::effect("/settings/services/0", "effect", json!("odd"), "form")]
#[case::no_classes("/settings", "services", json!([]), "zero")]
#[case::more_pools_than_classes("/settings/domain", "allowed-pools", json!([[1], [2]]), "order")]
#[case::seed("", "seed", json!("xyz"), "seed")]
#[case::service("", "service", json!("sip.pool.lan"), "service")]
#[case::t1("", "t1_ms", json!(0), "range")]
#[case::wait("", "wait_ms", json!(0), "range")]
#[case::address("", "udp", json!("nowhere"), "form")]
fn a_bad_setting_is_refused_where_it_stands(
    #[case] at: &str,
    #[case] key: &str,
    #[case] value: Value,
    #[case] rule: &str,
) {
    let mut config = shipped();
    config.pointer_mut(at).unwrap()[key] = value;
    let text = serde_json::to_string_pretty(&config).unwrap();
    let report = config_check::sip("sip.json", &text);
    assert!(report.refused);
    let found =
        report.findings.iter().find(|f| f.rule == rule).unwrap_or_else(|| panic!("{:#?}", report.findings));
    let line = text.lines().position(|l| l.contains(&format!("\"{key}\""))).unwrap() + 1;
    assert_eq!(found.places[0].line, line, "{found:#?}");
}

/// The example of the need: a misspelt key, 40 attempts and a release wait of 1 us, all found in one go by the program.
#[test]
fn the_program_refuses_them_in_one_go() {
    let mut config = shipped();
    config["settings"]["ceilings"]["max-attempts"] = json!(40);
    config["settings"]["domain"]["clear-wait-us"] = json!(1);
    let path = std::env::temp_dir().join(format!("cobaltspool-sip-settings-{}.json", std::process::id()));
    let run = |config: &Value| {
        std::fs::write(&path, serde_json::to_string_pretty(config).unwrap()).unwrap();
        let run = Command::new(env!("CARGO_BIN_EXE_cobaltspool"))
            .args(["check-config", "--sip"])
            .arg(&path)
            .env_remove("LB_CONFIG")
            .output()
            .unwrap();
        (run.status.code(), String::from_utf8_lossy(&run.stdout).into_owned())
    };
    let (status, said) = run(&config);
    assert_eq!(status, Some(1));
    assert!(said.contains("40 attempts") && said.contains("release wait of 1 us"), "{said}");
    config["settings"]["ceilings"]["canccel"] = json!(true);
    let (status, said) = run(&config);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(status, Some(1));
    assert!(said.contains("no setting `canccel`"), "{said}");
}
