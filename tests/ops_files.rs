//! Tests valid and invalid operators' files. The comments at the start of each file list the expected findings.
//!
//! Expectations: `// rule:` the finding's rule, `// says:` a part of its text, `// line:` the line of its primary location,
//! `// places:` the minimum number of locations, `// warns:` the rule of a warning. `// attempts:`, `// second-copies:` and
//! `// numbers:` set the limits of the installation.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cobaltspool::limits::{Ceilings, ClassInfo};
use cobaltspool::ops::{self, Severity};
use cobaltspool::sections;
use rstest::rstest;

/// Parses the `// key: value` comments at the start of a file.
fn expectations(text: &str) -> BTreeMap<&str, &str> {
    text.lines().map_while(|l| l.strip_prefix("// ")).filter_map(|l| l.split_once(": ")).collect()
}

fn ceilings(expected: &BTreeMap<&str, &str>) -> Ceilings {
    let class = |name: &str, max_wait, is_idempotent, pools| ClassInfo {
        name: name.to_string(),
        max_wait,
        is_idempotent,
        allowed_pools: Some(pools),
    };
    Ceilings {
        attempts: expected.get("attempts").map_or(4, |n| n.parse().unwrap()),
        release_wait: 500_000,
        second_copies: Some(expected.get("second-copies") == Some(&"allowed")),
        max_retry_after: 6_000_000,
        classes: Some(vec![
            class("voice", 9_000_000, true, vec![1, 2]),
            class("order", 3_000_000, false, vec![2, 3]),
        ]),
        hex_numbers: expected.get("numbers") == Some(&"hex"),
    }
}

#[rstest]
fn an_invalid_file_is_refused_with_line_and_cause(#[files("tests/limits/bad/*.json5")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let expected = expectations(&text);
    let report = sections::read(&path, &ceilings(&expected), None).expect_err("it is refused");
    let rule = expected["rule"];
    let matches = |f: &&ops::finding::LocatedFinding| {
        f.severity == Severity::Error
            && f.rule == rule
            && f.text.contains(expected.get("says").unwrap_or(&""))
    };
    let found = report.findings.iter().find(matches);
    let found = found.unwrap_or_else(|| panic!("{rule} is not among {:#?}", report.findings));
    assert!(!found.remedy.is_empty());
    if let Some(line) = expected.get("line") {
        assert_eq!(found.locations[0].line, line.parse::<usize>().unwrap(), "{found:#?}");
    }
    let min_locations = expected.get("places").map_or(1, |n| n.parse().unwrap());
    assert!(found.locations.len() >= min_locations, "{found:#?}");
    let rendered = report.render();
    assert!(rendered.contains(&found.text) && rendered.contains(&found.remedy), "{rendered}");
    assert!(
        rendered.contains(&format!(":{}:{}", found.locations[0].line, found.locations[0].column)),
        "{rendered}"
    );
}

#[rstest]
fn a_valid_file_is_accepted(#[files("tests/limits/good/*.json5")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let expected = expectations(&text);
    let ops = sections::read(&path, &ceilings(&expected), None)
        .unwrap_or_else(|report| panic!("{}", report.render()));
    let warnings: Vec<&str> = ops.report.findings.iter().map(|f| f.rule).collect();
    let expected_warnings: Vec<&str> = expected.get("warns").copied().into_iter().collect();
    assert_eq!(warnings, expected_warnings, "{:#?}", ops.report.findings);
}

#[test]
fn all_findings_are_reported_in_one_run() {
    let text = "{log: {level: \"loud\"},\n limits: {default: {attempts: 9, time_out: 5},\n classes: {voice: {nope: 1}}, x: 1},\n y: 2}";
    let report = sections::read_text("many", text, &Ceilings::default(), None).unwrap_err();
    let lines: Vec<usize> = report.findings.iter().map(|f| f.locations[0].line).collect();
    assert_eq!(lines, [1, 2, 3, 3, 4], "{:#?}", report.findings);
}

#[rstest]
#[case::empty(b"".to_vec(), "json")]
#[case::blank(b" \n\t".to_vec(), "json")]
#[case::not_utf8(b"{limits: {}}\n\n// \xff".to_vec(), "utf-8")]
#[case::deep([vec![b'['; 10_000], vec![b']'; 10_000]].concat(), "json")]
#[case::deep_objects("{a:".repeat(10_000).into_bytes(), "json")]
#[case::huge(vec![b' '; 64 * 1024 * 1024], "size")]
fn an_unreadable_file_gets_exactly_one_error(#[case] bytes: Vec<u8>, #[case] rule: &str) {
    let path =
        std::env::temp_dir().join(format!("cobaltspool-ops-{}-{rule}-{}", std::process::id(), bytes.len()));
    std::fs::write(&path, bytes).unwrap();
    let report = sections::read(&path, &Ceilings::default(), None).map(|_| ()).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(report.findings.len(), 1, "{:#?}", report.findings);
    assert_eq!(report.findings[0].rule, rule);
    assert!(report.render().contains(&report.findings[0].remedy));
}

#[test]
fn a_missing_file_is_reported() {
    let report = sections::read(&PathBuf::from("/nowhere/ops.json5"), &Ceilings::default(), None)
        .map(|_| ())
        .unwrap_err();
    assert!(report.render().contains("cannot be read"), "{}", report.render());
}

#[test]
fn the_example_is_accepted_and_the_schema_contains_its_sections() {
    let path = PathBuf::from("deploy/cobaltspool.json5");
    let ops = sections::read(&path, &Ceilings::default(), None)
        .unwrap_or_else(|report| panic!("{}", report.render()));
    assert_eq!(ops.report.findings.len(), 0);
    let schema: serde_json::Value = serde_json::from_str(&sections::schema()).unwrap();
    assert!(schema["properties"]["limits"].is_object() && schema["properties"]["log"].is_object());
}
