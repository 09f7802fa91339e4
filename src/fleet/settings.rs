//! The `fleet` section of the operators' file: its schema, its checks, and the settings of this process that result
//! from it.

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

/// Default probe interval.
const DEFAULT_PERIOD: Micros = 1_000_000;
/// Default lease, in periods.
const DEFAULT_LEASE_PERIODS: u64 = 4;
/// Minimum lease, in periods.
const MIN_LEASE_PERIODS: u64 = 2;
/// Minimum probe interval.
const MIN_PERIOD: Micros = 100_000;
/// Maximum probe interval, and maximum lease.
const MAX_PERIOD: Micros = 60_000_000;
/// Default time for which failed and departed members are listed.
const DEFAULT_RETENTION: Micros = 3_600_000_000;
/// Minimum size of a key file, in bytes.
const MIN_KEY_BYTES: u64 = 16;
/// Maximum size of a key file, in bytes.
const MAX_KEY_BYTES: u64 = 4_096;

/// The `fleet` section. All members may share one file: `serve --node ID` then selects the member that the process
/// is, and its address and zone are taken from `members`.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// Id of this member; it must stay the same across restarts. `serve --node ID` takes precedence.
    pub id: Option<String>,
    /// Address at which the other members reach this one, over UDP and TCP.
    pub address: Option<SocketAddr>,
    /// Zone of this member.
    pub zone: Option<String>,
    /// Addresses to contact first; the member's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Configured members, by id. They are contacted even when no other member has announced them.
    pub members: BTreeMap<String, Member>,
    /// Ids of the members that vote on the fleet's log: 3, 5 or 7 of them, or none.
    pub voters: Vec<String>,
    /// Addresses, by member id, that replace the addresses that the members announce.
    pub via: BTreeMap<String, SocketAddr>,
    /// Folder in which a voter stores its log.
    pub state: Option<PathBuf>,
    /// File with the fleet's key, of 16 to 4096 bytes; required if the address is not a loopback address.
    pub key_file: Option<PathBuf>,
    /// Interval between probes: 100 ms to 1 min, 1 s by default. Must be the same for all members.
    pub period: Option<Span>,
    /// How long members that are down or have left stay listed; 1 h by default.
    pub memory: Option<Span>,
    /// How long the owner of a resource continues without confirmation by a majority: 2 periods to 1 min, 4 periods by
    /// default. Must be the same for all members.
    pub lease: Option<Span>,
    /// Trust a voter's folder at start if it is intact, so that the voter votes at once. A folder that was restored
    /// from an older copy is then not detected.
    pub trust_disk: bool,
}

/// A configured member.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// The fleet settings of this process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Id of this member.
    pub id: MemberId,
    /// Address at which it listens and is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Addresses to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Members that are contacted even when no other member has announced them.
    pub configured_members: Vec<(MemberId, SocketAddr)>,
    /// Addresses that replace the addresses that the members announce.
    pub address_overrides: BTreeMap<MemberId, SocketAddr>,
    /// The fleet's key.
    pub key: Key,
    /// Interval between probes.
    pub period: Micros,
    /// How long members that are down or have left stay listed.
    pub retention: Micros,
    /// Members that vote on the fleet's log; empty if there is no log.
    pub voters: Vec<MemberId>,
    /// Folder in which a voter stores its log.
    pub state_dir: Option<PathBuf>,
    /// How long the owner of a resource continues without confirmation by a majority.
    pub lease: Micros,
    /// Whether an intact folder is trusted at start.
    pub trust_disk: bool,
}

/// The role of this process in a fleet.
#[derive(Clone, Debug, Default)]
pub enum FleetRole {
    /// The file has no `fleet` section.
    #[default]
    None,
    /// The section lists members, but neither it nor the command line gives the id of this one.
    Unidentified,
    /// This process is a member.
    Member(Box<FleetSettings>),
}

/// The section while the file is being read.
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

    /// The role of this process, once the file has been accepted.
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
            return findings.push(Finding::error("form", at.clone(), "'fleet' is not an object", remedy));
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

    fn parse_id(&mut self, at: Path, text: &str) -> Option<MemberId> {
        let id = MemberId::new(text);
        if id.is_none() {
            let error = format!("'{text}' is not a valid member id");
            self.report_error(
                "id",
                at,
                error,
                &format!("write 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores"),
            );
        }
        id
    }

    fn parse_ids<T: Copy>(
        &mut self,
        key: &str,
        map: impl IntoIterator<Item = (String, T)>,
    ) -> Vec<(MemberId, T)> {
        let at = self.at.key(key);
        map.into_iter()
            .filter_map(|(text, value)| Some((self.parse_id(at.name(&text), &text)?, value)))
            .collect()
    }

    fn check_zone(&mut self, at: Path, zone: &str) {
        if zone.len() > MAX_NAME_BYTES || zone.chars().any(char::is_control) {
            let text = format!("a zone name has at most {MAX_NAME_BYTES} bytes and no control characters");
            self.report_error("zone", at, text, "write a shorter name, as in \"zagreb\"");
        }
    }

    fn role(&mut self, section: Section, node: Option<&str>) -> FleetRole {
        // A file that all members share can be checked without selecting one of them.
        let is_identified = node.is_some() || section.id.is_some() || section.members.is_empty();
        match self.settings(section, node) {
            Some(fleet) => FleetRole::Member(Box::new(fleet)),
            None if is_identified => FleetRole::None,
            None => FleetRole::Unidentified,
        }
    }

    /// Returns the settings of this member; `None` if its id, its address or its key is missing or invalid.
    fn settings(&mut self, section: Section, node: Option<&str>) -> Option<FleetSettings> {
        let entry = node.and_then(|node| section.members.get(node)).cloned();
        let id = self.own_id(&section, node);
        let address = entry.as_ref().map(|member| member.address).or(section.address);
        if address.is_none() && id.is_some() {
            self.report_missing_address();
        }
        let zone = entry.and_then(|member| member.zone).or(section.zone.clone()).unwrap_or_default();
        self.check_zones(&zone, &section);
        let period = self.checked_period(&section);
        let lease = self.checked_lease(&section, period);
        let voters = self.checked_voters(&section);
        if id.as_ref().is_some_and(|id| voters.contains(id)) && section.state.is_none() {
            self.report_missing_state();
        }
        let key = self.load_key(&section, address);
        let members: Vec<_> =
            section.members.iter().map(|(id, member)| (id.clone(), member.address)).collect();
        let configured_members = self.parse_ids("members", members);
        let address_overrides = self.parse_ids("via", section.via.clone()).into_iter().collect();
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

    /// Returns the id of this member, from the command line or else from the section.
    fn own_id(&mut self, section: &Section, node: Option<&str>) -> Option<MemberId> {
        let at = self.at.key("id");
        if let Some(text) = node.or(section.id.as_deref()) {
            return self.parse_id(at, text);
        }
        if section.members.is_empty() {
            let remedy = "add id, or start with `serve --node ID`";
            self.report_error("id", at, "the id of this member is missing", remedy);
        }
        None
    }

    fn report_missing_address(&mut self) {
        let remedy = "add address, or this member under members, as in \"127.0.0.1:7401\"";
        self.report_error("address", self.at.key("address"), "the address of this member is missing", remedy);
    }

    fn report_missing_state(&mut self) {
        let remedy = "add state, a folder of its own that survives restarts, as in \"state/fleet\"";
        self.report_error(
            "state",
            self.at.key("state"),
            "this member is a voter and has no folder for its log",
            remedy,
        );
    }

    fn check_zones(&mut self, own_zone: &str, section: &Section) {
        self.check_zone(self.at.key("zone"), own_zone);
        for (name, member) in &section.members {
            let at = self.at.key("members").key(name).key("zone");
            self.check_zone(at, member.zone.as_deref().unwrap_or_default());
        }
    }

    fn checked_period(&mut self, section: &Section) -> Micros {
        let period = section.period.map_or(DEFAULT_PERIOD, |period| period.0);
        if !(MIN_PERIOD..=MAX_PERIOD).contains(&period) {
            let at = self.at.key("period");
            self.report_error(
                "period",
                at,
                "a period is at least 100 ms and at most 1 min",
                "write a duration in this range, as in \"1s\"",
            );
        }
        period
    }

    fn checked_lease(&mut self, section: &Section, period: Micros) -> Micros {
        let lease = section.lease.map_or(period * DEFAULT_LEASE_PERIODS, |lease| lease.0);
        if section.lease.is_some() && !(period * MIN_LEASE_PERIODS..=MAX_PERIOD).contains(&lease) {
            let at = self.at.key("lease");
            self.report_error(
                "lease",
                at,
                "a lease is at least 2 periods and at most 1 min",
                "write a duration in this range, as in \"4s\"",
            );
        }
        lease
    }

    fn checked_voters(&mut self, section: &Section) -> Vec<MemberId> {
        let at = self.at.key("voters");
        let mut voters = Vec::new();
        for (n, voter) in section.voters.iter().enumerate() {
            voters.extend(self.parse_id(at.index(n), voter));
            if section.voters[..n].contains(voter) {
                self.report_error(
                    "voters",
                    at.index(n),
                    format!("'{voter}' is listed twice"),
                    "remove one of them",
                );
            }
        }
        match section.voters.len() {
            0 | 3 | 5 | 7 => {}
            n => self.report_error("voters", at, format!("there are {n} voters"), "name 3, 5 or 7, or none"),
        }
        voters
    }

    /// Reads the key; `None` if there is no key that may be used.
    fn load_key(&mut self, section: &Section, address: Option<SocketAddr>) -> Option<Key> {
        let at = self.at.key("key_file");
        let Some(path) = &section.key_file else {
            if address.is_some_and(|a| !a.ip().is_loopback()) {
                let text = "the address is not a loopback address, and frames would not be authenticated";
                self.findings.push(
                    Finding::error(
                        "key",
                        self.at.key("address"),
                        text,
                        "add key_file, with the same content for all members",
                    )
                    .with(at, "key_file is not set"),
                );
                return None;
            }
            return Some(Key::none());
        };
        let remedy = "set key_file to a readable file of 16 to 4096 bytes, the same for all members";
        match std::fs::metadata(path).and_then(|m| Ok((m.len(), std::fs::read(path)?))) {
            Ok((size, _)) if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&size) => {
                self.report_error(
                    "key",
                    at,
                    format!("the key has {size} bytes instead of 16 to 4096"),
                    remedy,
                );
                None
            }
            Ok((_, bytes)) => Some(Key::from_bytes(&bytes)),
            Err(e) => {
                self.report_error("key", at, format!("the key cannot be read: {e}"), remedy);
                None
            }
        }
    }
}
