//! Files with a fleet section: refused ones with the place and the rule, accepted ones with what holds.

use cobaltspool::fleet::settings::FleetRole;
use cobaltspool::limits::Ceilings;
use cobaltspool::ops::Weight;
use cobaltspool::sections;
use rstest::rstest;

fn read(section: &str, node: Option<&str>) -> Result<sections::Ops, cobaltspool::ops::Report> {
    sections::read_text("test", &format!("{{fleet: {section}}}"), &Ceilings::default(), node)
}

#[rstest]
#[case::no_object("[]", "form", "fleet")]
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
#[case::two_voters("{id: 'n1', address: '127.0.0.1:1', voters: ['n1', 'n2']}", "voters", "fleet.voters")]
#[case::voter_twice(
    "{id: 'n1', address: '127.0.0.1:1', voters: ['n1', 'n2', 'n1']}",
    "voters",
    "fleet.voters[2]"
)]
#[case::short_lease("{id: 'n1', address: '127.0.0.1:1', lease: '1s'}", "lease", "fleet.lease")]
#[case::quick("{id: 'n1', address: '127.0.0.1:1', period: '10ms'}", "period", "fleet.period")]
#[case::bare_period("{id: 'n1', address: '127.0.0.1:1', period: 1}", "form", "fleet.period")]
#[case::open_without_key("{id: 'n1', address: '192.0.2.1:7401'}", "key", "fleet.address")]
#[case::key_is_not_there(
    "{id: 'n1', address: '127.0.0.1:1', key_file: '/nowhere/fleet.key'}",
    "key",
    "fleet.key_file"
)]
#[case::key_too_short("{id: 'n1', address: '127.0.0.1:1', key_file: '/dev/null'}", "key", "fleet.key_file")]
#[case::long_zone(
    "{id: 'n1', address: '127.0.0.1:1', zone: 'zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz'}",
    "zone",
    "fleet.zone"
)]
fn bad_files_are_refused_with_their_place(#[case] section: &str, #[case] rule: &str, #[case] at: &str) {
    let report = read(section, None).map(|_| ()).expect_err("it is refused");
    let fits = |f: &&cobaltspool::ops::finding::Located| {
        f.rule == rule && f.weight == Weight::Error && f.places[0].path == at && !f.remedy.is_empty()
    };
    assert!(report.findings.iter().any(|f| fits(&f)), "{}", report.render());
}

#[test]
fn several_faults_are_told_at_once() {
    let report =
        read("{id: 'a b', voters: ['x'], period: '1h'}", None).map(|_| ()).expect_err("it is refused");
    let rules: Vec<&str> = report.findings.iter().map(|f| f.rule).collect();
    assert_eq!(rules.len(), 3, "{}", report.render());
}

/// One file serves all: the node's line has its address and zone. Without a node it can be checked, and no member comes of it.
#[test]
fn one_file_serves_all_members() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/fleet.json5")).unwrap();
    let part = |node| sections::read_text("fleet.json5", &text, &Ceilings::default(), node).unwrap().fleet;
    assert!(matches!(part(None), FleetRole::Unidentified));
    let FleetRole::Member(fleet) = part(Some("n2")) else { panic!("n2 is a member") };
    assert_eq!((fleet.id.as_str(), fleet.address.port(), fleet.zone.as_str()), ("n2", 7402, "split"));
    assert_eq!((fleet.configured_members.len(), fleet.seeds.len(), fleet.period), (3, 2, 1_000_000));
}

#[test]
fn the_command_lines_node_goes_before_the_id_and_a_voter_has_a_folder() {
    let text = "{id: 'n1', address: '127.0.0.1:1', voters: ['n1', 'n2', 'n3'], period: '500ms'}";
    let ops = read(text, Some("n9")).unwrap();
    assert!(ops.report.findings.is_empty(), "one that does not vote needs none");
    let FleetRole::Member(fleet) = ops.fleet else { panic!("it is a member") };
    assert_eq!((fleet.id.as_str(), fleet.voters.len(), fleet.lease), ("n9", 3, 2_000_000));
    let report = read(text, None).map(|_| ()).expect_err("it votes");
    assert_eq!((report.findings[0].rule, &*report.findings[0].places[0].path), ("state", "fleet.state"));
    assert!(matches!(
        sections::read_text("none", "{}", &Ceilings::default(), None).unwrap().fleet,
        FleetRole::None
    ));
}
