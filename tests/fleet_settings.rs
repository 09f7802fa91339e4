//! The fleet section of the operators' file: errors with their path and rule, and the settings that result.

use cobaltspool::fleet::settings::FleetRole;
use cobaltspool::limits::Ceilings;
use cobaltspool::ops::Severity;
use cobaltspool::sections;
use rstest::rstest;

fn read_section(section: &str, node: Option<&str>) -> Result<sections::OpsConfig, cobaltspool::ops::Report> {
    sections::read_text("test", &format!("{{fleet: {section}}}"), &Ceilings::default(), node)
}

#[rstest]
#[case::not_an_object("[]", "form", "fleet")]
#[case::unknown_setting("{id: 'n1', address: '127.0.0.1:1', seed: []}", "form", "fleet.seed")]
#[case::no_id("{address: '127.0.0.1:1'}", "id", "fleet.id")]
#[case::bad_id("{id: 'a b', address: '127.0.0.1:1'}", "id", "fleet.id")]
#[case::long_id(
    "{id: 'nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn', address: '127.0.0.1:1'}",
    "id",
    "fleet.id"
)]
#[case::no_address("{id: 'n1'}", "address", "fleet.address")]
#[case::no_port("{id: 'n1', address: '127.0.0.1'}", "form", "fleet.address")]
#[case::bad_seed("{id: 'n1', address: '127.0.0.1:1', seeds: ['n2']}", "form", "fleet.seeds[0]")]
#[case::bad_member(
    "{id: 'n1', address: '127.0.0.1:1', members: {'n 2': {address: '127.0.0.1:2'}}}",
    "id",
    "fleet.members.n 2"
)]
#[case::bad_via("{id: 'n1', address: '127.0.0.1:1', via: {'': '127.0.0.1:2'}}", "id", "fleet.via.")]
#[case::even_number_of_voters(
    "{id: 'n1', address: '127.0.0.1:1', voters: ['n1', 'n2']}",
    "voters",
    "fleet.voters"
)]
#[case::duplicate_voter(
    "{id: 'n1', address: '127.0.0.1:1', voters: ['n1', 'n2', 'n1']}",
    "voters",
    "fleet.voters[2]"
)]
#[case::short_lease("{id: 'n1', address: '127.0.0.1:1', lease: '1s'}", "lease", "fleet.lease")]
#[case::short_period("{id: 'n1', address: '127.0.0.1:1', period: '10ms'}", "period", "fleet.period")]
#[case::period_without_unit("{id: 'n1', address: '127.0.0.1:1', period: 1}", "form", "fleet.period")]
#[case::public_address_without_key("{id: 'n1', address: '192.0.2.1:7401'}", "key", "fleet.address")]
#[case::key_file_missing(
    "{id: 'n1', address: '127.0.0.1:1', key_file: '/nowhere/fleet.key'}",
    "key",
    "fleet.key_file"
)]
#[case::key_file_too_short(
    "{id: 'n1', address: '127.0.0.1:1', key_file: '/dev/null'}",
    "key",
    "fleet.key_file"
)]
#[case::long_zone(
    "{id: 'n1', address: '127.0.0.1:1', zone: 'zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz'}",
    "zone",
    "fleet.zone"
)]
fn invalid_section_is_rejected_with_rule_and_path(
    #[case] section: &str,
    #[case] rule: &str,
    #[case] path: &str,
) {
    let report = read_section(section, None).map(|_| ()).expect_err("the section is rejected");
    let matches = |f: &&cobaltspool::ops::finding::LocatedFinding| {
        f.rule == rule && f.severity == Severity::Error && f.locations[0].path == path && !f.remedy.is_empty()
    };
    assert!(report.findings.iter().any(|f| matches(&f)), "{}", report.render());
}

#[test]
fn all_errors_are_reported_together() {
    let report = read_section("{id: 'a b', voters: ['x'], period: '1h'}", None)
        .map(|_| ())
        .expect_err("the section is rejected");
    let rules: Vec<&str> = report.findings.iter().map(|f| f.rule).collect();
    assert_eq!(rules.len(), 3, "{}", report.render());
}

/// The address and zone come from the node's entry under `members`. Without a node the file is valid but yields no
/// member.
#[test]
fn shared_file_yields_the_settings_of_the_given_node() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/fleet.json5")).unwrap();
    let role = |node| sections::read_text("fleet.json5", &text, &Ceilings::default(), node).unwrap().fleet;
    assert!(matches!(role(None), FleetRole::Unidentified));
    let FleetRole::Member(fleet) = role(Some("n2")) else { panic!("n2 is not a member") };
    assert_eq!((fleet.id.as_str(), fleet.address.port(), fleet.zone.as_str()), ("n2", 7402, "split"));
    assert_eq!((fleet.configured_members.len(), fleet.seeds.len(), fleet.period), (3, 2, 1_000_000));
}

#[test]
fn node_option_overrides_the_id_and_a_voter_needs_a_folder() {
    let text = "{id: 'n1', address: '127.0.0.1:1', voters: ['n1', 'n2', 'n3'], period: '500ms'}";
    let ops = read_section(text, Some("n9")).unwrap();
    assert!(ops.report.findings.is_empty(), "a member that does not vote needs no folder");
    let FleetRole::Member(fleet) = ops.fleet else { panic!("n9 is not a member") };
    assert_eq!((fleet.id.as_str(), fleet.voters.len(), fleet.lease), ("n9", 3, 2_000_000));
    let report = read_section(text, None).map(|_| ()).expect_err("n1 is a voter without a folder");
    assert_eq!((report.findings[0].rule, &*report.findings[0].locations[0].path), ("state", "fleet.state"));
    assert!(matches!(
        sections::read_text("none", "{}", &Ceilings::default(), None).unwrap().fleet,
        FleetRole::None
    ));
}
