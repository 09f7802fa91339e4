//! The fleet's status for operators: the object that `GET /control/fleet` returns, and tables of its parts. Other
//! tools read the object, so its serialized names must not change.

use std::net::SocketAddr;

use cobaltspool_fleet::Micros;
use cobaltspool_fleet::membership::{MemberReport, Membership};
use serde::{Deserialize, Serialize};

/// The fleet as one member sees it. Parts that are not configured or not implemented are null or empty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the member that reports.
    pub id: String,
    /// Whether there is no suspect and there was no change for three periods.
    #[serde(rename = "settled")]
    pub is_settled: bool,
    /// Whether a majority of the voters works, as far as this member can tell; null if there are no voters.
    #[serde(rename = "majority")]
    pub has_majority: Option<bool>,
    /// All members, including this one.
    pub members: Vec<Member>,
    /// This member as a voter, if it is one.
    pub voter: Option<Voter>,
    /// The owner of each resource; a member that does not vote lists only its own.
    pub owners: Vec<Owner>,
    /// Reserved for what is out of service; always empty.
    pub out: Vec<serde_json::Value>,
    /// Reserved for a release; always null.
    pub release: Option<serde_json::Value>,
    /// Whether this process is in standby because a newer start uses its id.
    #[serde(rename = "stands_by")]
    pub is_standby: bool,
    /// The other process under its id, if one is known.
    #[serde(rename = "twin")]
    pub duplicate: Option<DuplicateProcess>,
    /// Dropped frames, by cause.
    pub dropped: Dropped,
    /// Settling bound for this number of members, in milliseconds.
    #[serde(rename = "bound_ms")]
    pub settling_bound_ms: u64,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Voter {
    /// `leader`, `candidate` or `follower`.
    pub role: String,
    /// Its current term.
    pub term: u64,
    /// Id of the leader, if known.
    pub leader: Option<String>,
    /// `voting`, `amnesiac` or `read-only`.
    #[serde(rename = "standing")]
    pub status: String,
    /// Index up to which it knows the log to be committed.
    #[serde(rename = "committed")]
    pub commit_index: u64,
    /// Why it does not vote, and the remedy.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
}

/// A resource and its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the resource.
    #[serde(rename = "work")]
    pub resource: String,
    /// Id of the owner; null if there is none.
    pub owner: Option<String>,
    /// Fencing token of the last assignment.
    pub token: u64,
    /// Whether the reporting process owns the resource under a valid lease.
    #[serde(rename = "mine")]
    pub is_own: bool,
}

/// A committed change of ownership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedChange {
    /// Index of its log entry; also the token of the new owner, if there is one.
    pub index: u64,
    /// Term of its log entry.
    pub term: u64,
    /// Name of the resource.
    #[serde(rename = "work")]
    pub resource: String,
    /// Token that the change replaces. If the resource had another token by then, the change had no effect.
    #[serde(rename = "after")]
    pub expected_token: u64,
    /// Id of the new owner; null if the resource was freed.
    pub owner: Option<String>,
}

/// The part of [`Status`] that comes from the consensus.
#[derive(Clone, Debug, PartialEq)]
pub struct Consensus {
    /// See [`Status::has_majority`].
    pub has_majority: bool,
    /// See [`Status::voter`].
    pub voter: Option<Voter>,
    /// See [`Status::owners`].
    pub owners: Vec<Owner>,
}

/// A member as the reporting member sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub id: String,
    /// `alive`, `suspect`, `down` or `left`.
    pub state: String,
    /// Its zone.
    pub zone: String,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Number of its start; above that of each earlier start.
    #[serde(rename = "incarnation")]
    pub generation: u64,
    /// Version of its program.
    pub version: String,
    /// Time since the last frame from the member itself; null if there was none, or for the reporting member.
    #[serde(rename = "heard_ms")]
    pub last_heard_age_ms: Option<u64>,
    /// Id of the member that first reported it as suspect or down.
    #[serde(rename = "by")]
    pub reported_by: Option<String>,
    /// Whether it accepts clients.
    pub ready: bool,
    /// Whether operators have taken it out of service.
    pub draining: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Number of its calls in set-up or established, as last announced.
    pub calls: u32,
    /// Age of its list of servers when it last announced it; null if it has none.
    pub list_age_ms: Option<u64>,
    /// Digest of its operators' file, in hexadecimal.
    #[serde(rename = "ops")]
    pub ops_digest: String,
}

/// Another process under the id of this member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DuplicateProcess {
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Its uptime in milliseconds, as last announced.
    pub age_ms: u64,
}

/// Counters of dropped frames, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dropped {
    /// Truncated or malformed.
    #[serde(rename = "cut")]
    pub truncated: u64,
    /// Larger than the maximum size.
    pub oversized: u64,
    /// Not sealed with this fleet's key.
    pub forged: u64,
    /// Of another protocol version.
    pub version: u64,
    /// Replayed, or addressed to an earlier start; also messages received in standby.
    pub replayed: u64,
    /// Datagrams above the maximum rate.
    #[serde(rename = "flood")]
    pub rate_limited: u64,
    /// Streams above the maximum number at a time.
    #[serde(rename = "streams")]
    pub excess_streams: u64,
    /// Not sent: the operating system or the peer's queue did not accept it at once.
    pub unsent: u64,
}

impl Status {
    /// Builds the status at time `now`.
    pub fn new(
        membership: &Membership,
        now: Micros,
        period: Micros,
        dropped: Dropped,
        consensus: Option<Consensus>,
    ) -> Status {
        let members = membership.members(now);
        let own = members.iter().find(|m| membership.is_own_id(&m.id));
        let duplicate = membership
            .duplicate()
            .map(|other| DuplicateProcess { address: other.address, age_ms: other.uptime / 1000 });
        Status {
            id: own.map(|m| m.id.to_string()).unwrap_or_default(),
            is_settled: membership.is_settled(now),
            has_majority: consensus.as_ref().map(|c| c.has_majority),
            voter: consensus.as_ref().and_then(|c| c.voter.clone()),
            owners: consensus.map(|c| c.owners).unwrap_or_default(),
            out: Vec::new(),
            release: None,
            is_standby: membership.is_standby(),
            duplicate,
            dropped: Dropped { replayed: dropped.replayed + membership.drop_counters().replayed, ..dropped },
            settling_bound_ms: Membership::settling_bound(period, members.len()) / 1000,
            members: members.into_iter().map(Member::from_report).collect(),
        }
    }

    /// Renders the status as text.
    pub fn render(&self) -> String {
        let live = self.members.iter().filter(|m| m.state == "alive" || m.state == "suspect").count();
        let settled = if self.is_settled { "settled" } else { "not settled" };
        let mut text = format!("{}: {live} of {} members live, {settled}\n", self.id, self.members.len());
        if let Some(duplicate) = &self.duplicate {
            text += &self.render_duplicate(duplicate);
        }
        text += &self.render_dropped();
        text += match self.has_majority {
            Some(true) => "a majority of the voters is at work\n",
            Some(false) => "no majority of the voters\n",
            None => "",
        };
        if let Some(voter) = &self.voter {
            text += &render_voter(voter);
        }
        text + &members_table(&self.members)
    }

    fn render_duplicate(&self, duplicate: &DuplicateProcess) -> String {
        let role = if self.is_standby { "is in standby" } else { "is the newer start" };
        format!("another process runs as {} at {}; this one {role}\n", self.id, duplicate.address)
    }

    /// Renders the counters of dropped frames that are not 0; empty if all are.
    fn render_dropped(&self) -> String {
        let dropped = serde_json::to_value(self.dropped).unwrap_or_default();
        let counts = dropped.as_object().into_iter().flatten();
        let counts = counts.filter(|(_, count)| count.as_u64() != Some(0));
        let causes: Vec<String> = counts.map(|(cause, count)| format!("{count} {cause}")).collect();
        if causes.is_empty() {
            return String::new();
        }
        format!("frames dropped: {}\n", causes.join(", "))
    }
}

fn render_voter(voter: &Voter) -> String {
    let leader = voter.leader.as_deref().unwrap_or("an unknown member");
    let fault = voter.fault.as_ref().map(|text| format!(": {text}")).unwrap_or_default();
    format!("voter: {}, {}, term {}, led by {leader}{fault}\n", voter.status, voter.role, voter.term)
}

/// Renders resources and owners as a text table.
pub fn owners_table(owners: &[Owner]) -> String {
    let mut rows = vec![["WORK", "OWNER", "TOKEN", "MINE"].map(str::to_string).to_vec()];
    rows.extend(owners.iter().map(|o| {
        let owner = o.owner.clone().unwrap_or_else(|| "-".into());
        vec![o.resource.clone(), owner, o.token.to_string(), if o.is_own { "yes" } else { "no" }.to_string()]
    }));
    aligned(rows)
}

/// Renders committed changes as a text table.
pub fn changes_table(changes: &[CommittedChange]) -> String {
    let mut rows = vec![["INDEX", "TERM", "WORK", "AFTER", "OWNER"].map(str::to_string).to_vec()];
    rows.extend(changes.iter().map(|c| {
        let owner = c.owner.clone().unwrap_or_else(|| "freed".into());
        vec![c.index.to_string(), c.term.to_string(), c.resource.clone(), c.expected_token.to_string(), owner]
    }));
    aligned(rows)
}

/// Pads the cells of each column to the same width.
fn aligned(rows: Vec<Vec<String>>) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let widths: Vec<usize> =
        (0..columns).map(|n| rows.iter().map(|r| r[n].chars().count()).max().unwrap_or(0)).collect();
    let line = |row: Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string() + "\n"
    };
    rows.into_iter().map(line).collect()
}

/// Renders members as a text table.
pub fn members_table(members: &[Member]) -> String {
    let header = ["ID", "STATE", "ZONE", "ADDRESS", "INCARNATION", "VERSION", "HEARD", "CALLS", "DOES"];
    let mut rows: Vec<Vec<String>> = vec![header.map(str::to_string).to_vec()];
    for m in members {
        let activities = [(m.leaving, "leaves"), (m.draining, "drains"), (m.ready, "serves")];
        let activity = activities.into_iter().find(|(is_set, _)| *is_set).map_or("waits", |(_, name)| name);
        let reporter = m.reported_by.as_ref().map(|id| format!(" ({id})")).unwrap_or_default();
        rows.push(vec![
            m.id.clone(),
            format!("{}{reporter}", m.state),
            m.zone.clone(),
            m.address.to_string(),
            m.generation.to_string(),
            m.version.clone(),
            m.last_heard_age_ms.map_or("-".to_string(), |ms| format!("{ms} ms")),
            m.calls.to_string(),
            if m.state == "alive" { activity.to_string() } else { "-".to_string() },
        ]);
    }
    aligned(rows)
}

impl Member {
    fn from_report(report: MemberReport) -> Member {
        let info = report.info;
        Member {
            id: report.id.to_string(),
            state: report.state.name().to_string(),
            zone: info.zone.to_string(),
            address: info.address,
            generation: report.generation,
            version: info.version.to_string(),
            last_heard_age_ms: report.last_heard_age.map(|age| age / 1000),
            reported_by: report.reported_by.map(|by| by.to_string()),
            ready: info.ready,
            draining: info.draining,
            leaving: info.leaving,
            calls: info.calls,
            list_age_ms: info.list_age,
            ops_digest: format!("{:016x}", info.ops_digest),
        }
    }
}
