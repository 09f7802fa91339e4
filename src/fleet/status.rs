//! What staff read of the fleet: the object of `GET /control/fleet`, and its tables. Its names are read by other tools.

use std::net::SocketAddr;

use cobaltspool_fleet::Micros;
use cobaltspool_fleet::membership::{MemberReport, Membership};
use serde::{Deserialize, Serialize};

/// The object. A part that is not configured or not built is null or empty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Who tells it.
    pub id: String,
    /// No suspect, and no change for three periods.
    pub settled: bool,
    /// A majority of the voters is at work, as far as this one can tell; null: there are no voters.
    pub majority: Option<bool>,
    /// All members, this one among them.
    pub members: Vec<Member>,
    /// This one as a voter, if it is one.
    pub voter: Option<Voter>,
    /// Whose each item of work is; one that does not vote knows its own only.
    pub owners: Vec<Owner>,
    /// Who is out; nothing counts them yet.
    pub out: Vec<serde_json::Value>,
    /// A release; there is none yet.
    pub release: Option<serde_json::Value>,
    /// This process has yielded to a newer start under its id, and is silent in the fleet.
    #[serde(rename = "stands_by")]
    pub is_standby: bool,
    /// The other process under its id, where one is known.
    #[serde(rename = "twin")]
    pub duplicate: Option<DuplicateProcess>,
    /// Frames that were dropped, by cause.
    pub dropped: Dropped,
    /// The settling bound at this size, in milliseconds.
    pub bound_ms: u64,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Voter {
    /// leader, candidate or follower.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// Who leads, where it knows.
    pub leader: Option<String>,
    /// voting, amnesiac or read-only.
    pub standing: String,
    /// Up to where the log is committed, as far as it knows.
    pub committed: u64,
    /// Why it does not vote, and what to do.
    pub trouble: Option<String>,
}

/// An item of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// The item.
    pub work: String,
    /// Whose it is; null: nobody's now.
    pub owner: Option<String>,
    /// The fencing token.
    pub token: u64,
    /// The one that tells owns it, and its lease runs.
    pub mine: bool,
}

/// A change that the log holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedChange {
    /// Its index; the token, where it grants.
    pub index: u64,
    /// The leader's term.
    pub term: u64,
    /// The item.
    pub work: String,
    /// The token that it replaces; where another held by then, nothing was done.
    pub after: u64,
    /// To whom; null: freed.
    pub owner: Option<String>,
}

/// What the consensus adds to the object.
#[derive(Clone, Debug, PartialEq)]
pub struct Consensus {
    /// A majority is at work.
    pub majority: bool,
    /// This one as a voter.
    pub voter: Option<Voter>,
    /// Whose each item is.
    pub owners: Vec<Owner>,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub id: String,
    /// alive, suspect, down or left.
    pub state: String,
    /// Its zone.
    pub zone: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Above that of each earlier start.
    pub incarnation: u64,
    /// Its program's version.
    pub version: String,
    /// How long ago it was heard itself; null: never, or it is the one that tells.
    pub heard_ms: Option<u64>,
    /// Who said first that it is suspect or down.
    pub by: Option<String>,
    /// It takes clients.
    pub ready: bool,
    /// Staff have sent its clients away.
    pub draining: bool,
    /// It is on its way out.
    pub leaving: bool,
    /// Calls open and standing, of late.
    pub calls: u32,
    /// The age of its list of servers when it last told; null: it has none.
    pub list_age_ms: Option<u64>,
    /// Digest of its operators' file, in hex.
    pub ops: String,
}

/// The other process under one id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DuplicateProcess {
    /// Where it is reached.
    pub address: SocketAddr,
    /// How long it had run when it was last heard of.
    pub age_ms: u64,
}

/// Frames that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dropped {
    /// Too short, or not to be read.
    pub cut: u64,
    /// Longer than may be.
    pub oversized: u64,
    /// Not sealed with this fleet's key.
    pub forged: u64,
    /// Of another version of the protocol.
    pub version: u64,
    /// Played again, or meant for an earlier start.
    pub replayed: u64,
    /// More came in a second than is read.
    pub flood: u64,
    /// More streams at a time than are held.
    pub streams: u64,
    /// The system did not take it at once.
    pub unsent: u64,
}

impl Status {
    /// As it is now.
    pub fn of(
        membership: &Membership,
        now: Micros,
        period: Micros,
        dropped: Dropped,
        consensus: Option<Consensus>,
    ) -> Status {
        let members = membership.members(now);
        let me = members.iter().find(|m| membership.is_own_id(&m.id));
        let duplicate =
            membership.duplicate().map(|t| DuplicateProcess { address: t.address, age_ms: t.uptime / 1000 });
        Status {
            id: me.map(|m| m.id.to_string()).unwrap_or_default(),
            settled: membership.is_settled(now),
            majority: consensus.as_ref().map(|c| c.majority),
            voter: consensus.as_ref().and_then(|c| c.voter.clone()),
            owners: consensus.map(|c| c.owners).unwrap_or_default(),
            out: Vec::new(),
            release: None,
            is_standby: membership.is_standby(),
            duplicate,
            dropped: Dropped { replayed: dropped.replayed + membership.drop_counters().replayed, ..dropped },
            bound_ms: Membership::settling_bound(period, members.len()) / 1000,
            members: members.into_iter().map(Member::of).collect(),
        }
    }

    /// The status as text.
    pub fn render(&self) -> String {
        let live = self.members.iter().filter(|m| m.state == "alive" || m.state == "suspect").count();
        let settled = if self.settled { "settled" } else { "not settled" };
        let mut text = format!("{}: {live} of {} members live, {settled}\n", self.id, self.members.len());
        if let Some(duplicate) = &self.duplicate {
            text += &self.render_duplicate(duplicate);
        }
        text += &self.render_dropped();
        text += match self.majority {
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
        let role = if self.is_standby { "stands by for it" } else { "is the newer start" };
        format!("another process runs as {} at {}; this one {role}\n", self.id, duplicate.address)
    }

    /// The causes for which frames were dropped; empty if none was.
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
    let leader = voter.leader.as_deref().unwrap_or("nobody known");
    let trouble = voter.trouble.as_ref().map(|text| format!(": {text}")).unwrap_or_default();
    format!("voter: {}, {}, term {}, led by {leader}{trouble}\n", voter.standing, voter.role, voter.term)
}

/// Owners as a table for people.
pub fn owners_table(owners: &[Owner]) -> String {
    let mut rows = vec![["WORK", "OWNER", "TOKEN", "MINE"].map(str::to_string).to_vec()];
    rows.extend(owners.iter().map(|o| {
        let owner = o.owner.clone().unwrap_or_else(|| "-".into());
        vec![o.work.clone(), owner, o.token.to_string(), if o.mine { "yes" } else { "no" }.to_string()]
    }));
    aligned(rows)
}

/// Lines of the log as a table for people.
pub fn changes_table(lines: &[CommittedChange]) -> String {
    let mut rows = vec![["INDEX", "TERM", "WORK", "AFTER", "OWNER"].map(str::to_string).to_vec()];
    rows.extend(lines.iter().map(|l| {
        let owner = l.owner.clone().unwrap_or_else(|| "freed".into());
        vec![l.index.to_string(), l.term.to_string(), l.work.clone(), l.after.to_string(), owner]
    }));
    aligned(rows)
}

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

/// The members as a table for people.
pub fn members_table(members: &[Member]) -> String {
    let head = ["ID", "STATE", "ZONE", "ADDRESS", "INCARNATION", "VERSION", "HEARD", "CALLS", "DOES"];
    let mut rows: Vec<Vec<String>> = vec![head.map(str::to_string).to_vec()];
    for m in members {
        let does = [(m.leaving, "leaves"), (m.draining, "drains"), (m.ready, "serves")];
        let does = does.into_iter().find(|(is, _)| *is).map_or("waits", |(_, word)| word);
        let by = m.by.as_ref().map(|by| format!(" ({by})")).unwrap_or_default();
        rows.push(vec![
            m.id.clone(),
            format!("{}{by}", m.state),
            m.zone.clone(),
            m.address.to_string(),
            m.incarnation.to_string(),
            m.version.clone(),
            m.heard_ms.map_or("-".to_string(), |ms| format!("{ms} ms")),
            m.calls.to_string(),
            if m.state == "alive" { does.to_string() } else { "-".to_string() },
        ]);
    }
    aligned(rows)
}

impl Member {
    fn of(shown: MemberReport) -> Member {
        let news = shown.info;
        Member {
            id: shown.id.to_string(),
            state: shown.state.name().to_string(),
            zone: news.zone.to_string(),
            address: news.address,
            incarnation: shown.generation,
            version: news.version.to_string(),
            heard_ms: shown.last_heard_age.map(|t| t / 1000),
            by: shown.reported_by.map(|by| by.to_string()),
            ready: news.ready,
            draining: news.draining,
            leaving: news.leaving,
            calls: news.calls,
            list_age_ms: news.list_age,
            ops: format!("{:016x}", news.ops_digest),
        }
    }
}
