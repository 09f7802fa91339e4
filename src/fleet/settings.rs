//! The `fleet` section of the operators' file, its checks, and the resulting settings of this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use cobaltspool_fleet::codec::Key;
use cobaltspool_fleet::member::{MAX_NAME_BYTES, MemberId};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;

use crate::Micros;
use crate::ops::units::Span;
use crate::ops::{self, Finding, Path, decode};

/// The default probe interval.
const DEFAULT_PERIOD: Micros = 1_000_000;
/// The lease is this many periods unless the section says otherwise.
const DEFAULT_LEASE_PERIODS: u64 = 4;
/// The shortest lease in periods.
const MIN_LEASE_PERIODS: u64 = 2;
/// The shortest probe interval.
const MIN_PERIOD: Micros = 100_000;
/// The longest probe interval.
const MAX_PERIOD: Micros = 60_000_000;
/// How long failed members are listed by default.
const DEFAULT_RETENTION: Micros = 3_600_000_000;
/// Minimum size of a key in bytes.
const MIN_KEY_BYTES: u64 = 16;

/// The section. One file may serve all members: `serve --node ID` says which one a process is, and its address and zone are
/// then taken from `members`.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// This member's id: the same after a restart. `serve --node ID` goes first.
    pub id: Option<String>,
    /// Where others reach it, over UDP and TCP.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Whom to ask first; being one's own seed is fine.
    pub seeds: Vec<SocketAddr>,
    /// Members that are looked for by name.
    pub members: BTreeMap<String, Member>,
    /// Who keeps the fleet's log: 3, 5 or 7 ids, or none.
    pub voters: Vec<String>,
    /// Ways to members other than the addresses that they tell.
    pub via: BTreeMap<String, SocketAddr>,
    /// A voter's folder.
    pub state: Option<PathBuf>,
    /// A file with the fleet's key, of 16 bytes or more; needed where the address is not loopback.
    pub key_file: Option<PathBuf>,
    /// From one probe to the next; 100 ms to 1 min, 1 s by default. The same for all members.
    pub period: Option<Span>,
    /// For how long members that are down or left are listed; 1 h by default.
    pub memory: Option<Span>,
    /// For how long an owner of work goes on without a majority's word; 4 periods by default, at least 2 and at most 1 min. The same
    /// for all members.
    pub lease: Option<Span>,
    /// A voter's folder that is whole is believed at a start, so that it votes at once; one that was put back is not noticed then.
    pub trust_disk: bool,
}

/// A member that is looked for by name.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// What holds for this process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its id.
    pub id: MemberId,
    /// Where it listens and is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whom to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Members that are looked for by name.
    pub configured_members: Vec<(MemberId, SocketAddr)>,
    /// Ways to members other than the addresses that they tell.
    pub address_overrides: BTreeMap<MemberId, SocketAddr>,
    /// The fleet's key.
    pub key: Key,
    /// From one probe to the next.
    pub period: Micros,
    /// For how long the dead are listed.
    pub retention: Micros,
    /// Who keeps the fleet's log; empty: nobody.
    pub voters: Vec<MemberId>,
    /// A voter's folder.
    pub state_dir: Option<PathBuf>,
    /// For how long an owner of work goes on without a majority's word.
    pub lease: Micros,
    /// A folder that is whole is believed.
    pub trust_disk: bool,
}

/// The role of this process in a fleet.
#[derive(Clone, Debug, Default)]
pub enum FleetRole {
    /// The file has no `fleet` section.
    #[default]
    None,
    /// The section lists several members, and neither it nor the command line names this one.
    Unidentified,
    /// This member.
    Member(Box<FleetSettings>),
}

/// The section while the file is read.
pub struct Draft<'a> {
    node: Option<&'a str>,
    section: Option<Section>,
    role: FleetRole,
}

impl<'a> Draft<'a> {
    /// An empty draft; `node` is the id from the command line.
    pub fn new(node: Option<&'a str>) -> Draft<'a> {
        Draft { node, section: None, role: FleetRole::None }
    }

    /// The settings, once the file is accepted.
    pub fn role(self) -> FleetRole {
        self.role
    }
}

impl ops::Section for Draft<'_> {
    fn key(&self) -> &'static str {
        "fleet"
    }

    fn read(&mut self, value: Value, at: &Path, findings: &mut Vec<Finding>) {
        if !value.is_object() {
            let remedy = "write settings between { and }";
            return findings.push(Finding::error("form", at.clone(), "'fleet' is no object", remedy));
        }
        self.section = decode(value, at, findings);
    }

    fn check(&mut self) -> Vec<Finding> {
        let Some(section) = self.section.take() else { return Vec::new() };
        let mut check = Check { at: Path::of("fleet"), findings: Vec::new() };
        self.role = check.role(section, self.node);
        check.findings
    }
}

struct Check {
    at: Path,
    findings: Vec<Finding>,
}

impl Check {
    fn report_error(&mut self, rule: &'static str, at: Path, text: impl Into<String>, remedy: &str) {
        self.findings.push(Finding::error(rule, at, text, remedy));
    }

    fn id(&mut self, at: Path, text: &str) -> Option<MemberId> {
        let id = MemberId::new(text);
        if id.is_none() {
            let said = format!("'{text}' is no member's id");
            self.report_error(
                "id",
                at,
                said,
                &format!("write 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores"),
            );
        }
        id
    }

    fn ids<T: Copy>(&mut self, key: &str, map: impl IntoIterator<Item = (String, T)>) -> Vec<(MemberId, T)> {
        let at = self.at.key(key);
        map.into_iter().filter_map(|(text, value)| Some((self.id(at.name(&text), &text)?, value))).collect()
    }

    fn zone(&mut self, at: Path, zone: &str) {
        if zone.len() > MAX_NAME_BYTES || zone.chars().any(char::is_control) {
            let text = format!("a zone's name has {MAX_NAME_BYTES} bytes at most, and no control characters");
            self.report_error("zone", at, text, "write a shorter name, as in \"zagreb\"");
        }
    }

    fn role(&mut self, section: Section, node: Option<&str>) -> FleetRole {
        // A file for all members can be checked without being one of them.
        let is_identified = node.is_some() || section.id.is_some() || section.members.is_empty();
        match self.settings(section, node) {
            Some(fleet) => FleetRole::Member(Box::new(fleet)),
            None if is_identified => FleetRole::None,
            None => FleetRole::Unidentified,
        }
    }

    /// The settings of this member; `None` if its id, its address or its key is missing or invalid.
    fn settings(&mut self, section: Section, node: Option<&str>) -> Option<FleetSettings> {
        let named = node.and_then(|node| section.members.get(node)).cloned();
        let id = self.own_id(&section, node);
        let address = named.as_ref().map(|member| member.address).or(section.address);
        if address.is_none() && id.is_some() {
            self.report_missing_address();
        }
        let zone = named.and_then(|member| member.zone).or(section.zone.clone()).unwrap_or_default();
        self.check_zones(&zone, &section);
        let period = self.period(&section);
        let lease = self.lease(&section, period);
        let voters = self.voters(&section);
        if id.as_ref().is_some_and(|id| voters.contains(id)) && section.state.is_none() {
            self.report_missing_state();
        }
        let key = self.key(&section, address);
        let members: Vec<_> =
            section.members.iter().map(|(id, member)| (id.clone(), member.address)).collect();
        let configured_members = self.ids("members", members);
        let address_overrides = self.ids("via", section.via.clone()).into_iter().collect();
        Some(FleetSettings {
            id: id?,
            address: address?,
            zone,
            seeds: section.seeds,
            configured_members,
            address_overrides,
            key: key?,
            period,
            retention: section.memory.map_or(DEFAULT_RETENTION, |memory| memory.0),
            voters,
            state_dir: section.state,
            lease,
            trust_disk: section.trust_disk,
        })
    }

    /// The id of this member: the command line's, or else the section's.
    fn own_id(&mut self, section: &Section, node: Option<&str>) -> Option<MemberId> {
        let at = self.at.key("id");
        if let Some(text) = node.or(section.id.as_deref()) {
            return self.id(at, text);
        }
        if section.members.is_empty() {
            let remedy = "add id, or start with `serve --node ID`";
            self.report_error("id", at, "nothing says which member this is", remedy);
        }
        None
    }

    fn report_missing_address(&mut self) {
        let remedy = "add address, or this member's line under members, as in \"127.0.0.1:7401\"";
        self.report_error(
            "address",
            self.at.key("address"),
            "nothing says where this member is reached",
            remedy,
        );
    }

    fn report_missing_state(&mut self) {
        let remedy = "add state, a folder of its own that survives restarts, as in \"state/fleet\"";
        self.report_error(
            "state",
            self.at.key("state"),
            "this member votes and has no folder for its log",
            remedy,
        );
    }

    fn check_zones(&mut self, own: &str, section: &Section) {
        self.zone(self.at.key("zone"), own);
        for (name, member) in &section.members {
            let at = self.at.key("members").key(name).key("zone");
            self.zone(at, member.zone.as_deref().unwrap_or_default());
        }
    }

    fn period(&mut self, section: &Section) -> Micros {
        let period = section.period.map_or(DEFAULT_PERIOD, |period| period.0);
        if !(MIN_PERIOD..=MAX_PERIOD).contains(&period) {
            let at = self.at.key("period");
            self.report_error("period", at, "a period is 100 ms to 1 min", "write one between, as in \"1s\"");
        }
        period
    }

    fn lease(&mut self, section: &Section, period: Micros) -> Micros {
        let lease = section.lease.map_or(period * DEFAULT_LEASE_PERIODS, |lease| lease.0);
        if section.lease.is_some() && !(period * MIN_LEASE_PERIODS..=MAX_PERIOD).contains(&lease) {
            let at = self.at.key("lease");
            self.report_error(
                "lease",
                at,
                "a lease is 2 periods to 1 min",
                "write one between, as in \"4s\"",
            );
        }
        lease
    }

    fn voters(&mut self, section: &Section) -> Vec<MemberId> {
        let at = self.at.key("voters");
        let mut voters = Vec::new();
        for (n, voter) in section.voters.iter().enumerate() {
            voters.extend(self.id(at.index(n), voter));
            if section.voters[..n].contains(voter) {
                self.report_error(
                    "voters",
                    at.index(n),
                    format!("'{voter}' stands twice"),
                    "leave one of them out",
                );
            }
        }
        match section.voters.len() {
            0 | 3 | 5 | 7 => {}
            n => self.report_error("voters", at, format!("there are {n} voters"), "name 3, 5 or 7, or none"),
        }
        voters
    }

    /// `None`: there is none that may be used.
    fn key(&mut self, section: &Section, address: Option<SocketAddr>) -> Option<Key> {
        let at = self.at.key("key_file");
        let Some(path) = &section.key_file else {
            if address.is_some_and(|a| !a.ip().is_loopback()) {
                let text = "the address is not loopback, and frames would carry no key";
                self.findings.push(
                    Finding::error(
                        "key",
                        self.at.key("address"),
                        text,
                        "add key_file, the same file for all members",
                    )
                    .with(at, "no key here"),
                );
                return None;
            }
            return Some(Key::none());
        };
        let wanted = "give a readable file of 16 bytes or more, the same for all members";
        match std::fs::metadata(path).and_then(|m| Ok((m.len(), std::fs::read(path)?))) {
            Ok((size, _)) if !(MIN_KEY_BYTES..=4096).contains(&size) => {
                self.report_error(
                    "key",
                    at,
                    format!("the key has {size} bytes, 16 to 4096 are wanted"),
                    wanted,
                );
                None
            }
            Ok((_, bytes)) => Some(Key::from_bytes(&bytes)),
            Err(e) => {
                self.report_error("key", at, format!("the key cannot be read: {e}"), wanted);
                None
            }
        }
    }
}
