//! What was seen, and the checkers over it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::process::Process;

/// How one process sees the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Nothing has changed of late, and nobody is suspect.
    pub settled: bool,
    /// It is silent, for a newer start under its id.
    pub stands_by: bool,
    /// Members by state.
    pub members: Vec<(String, String)>,
    /// The whole object.
    pub object: Value,
}

impl Seen {
    pub(crate) fn of(object: Value) -> Seen {
        let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let members = object["members"].as_array().into_iter().flatten();
        Seen {
            settled: object["settled"] == true,
            stands_by: object["stands_by"] == true,
            members: members.map(|m| (text(&m["id"]), text(&m["state"]))).collect(),
            object,
        }
    }

    /// Ids of those that it holds live.
    pub fn live(&self) -> BTreeSet<&str> {
        let live = |(_, state): &&(String, String)| state == "alive" || state == "suspect";
        self.members.iter().filter(live).map(|(id, _)| id.as_str()).collect()
    }

    /// How it holds a member.
    pub fn state(&self, id: &str) -> &str {
        self.members.iter().find(|(m, _)| m == id).map_or("unknown", |(_, state)| state)
    }

    /// What it has of a member.
    pub fn member(&self, id: &str) -> &Value {
        let members = self.object["members"].as_array();
        members.and_then(|all| all.iter().find(|m| m["id"] == id)).unwrap_or(&Value::Null)
    }
}

/// Whether all that run and speak hold those that run, and no other, and call themselves settled.
pub fn agree(members: &[Process], seen: &[Option<Seen>]) -> Result<(), String> {
    let truth: BTreeSet<&str> = members.iter().filter(|m| m.runs()).map(|m| m.id.as_str()).collect();
    for (member, seen) in members.iter().zip(seen) {
        if !member.runs() {
            continue;
        }
        let Some(seen) = seen else { return Err(format!("{} does not answer", member.id)) };
        if seen.stands_by {
            continue;
        }
        if seen.live() != truth {
            return Err(format!("{} holds {:?}, and {truth:?} run", member.id, seen.members));
        }
        if !seen.settled {
            return Err(format!("{} is not settled", member.id));
        }
    }
    for id in truth {
        let speak = members.iter().zip(seen).filter(|(m, _)| m.runs() && m.id == id);
        let speak = speak.filter(|(_, s)| s.as_ref().is_some_and(|s| !s.stands_by)).count();
        if speak != 1 {
            return Err(format!("{speak} processes speak as {id}"));
        }
    }
    Ok(())
}

/// What was seen, when, and when something was broken or mended last.
#[derive(Default)]
pub struct History {
    rows: Vec<(Instant, Option<Instant>, Vec<Option<Seen>>)>,
    disturbed: Option<Instant>,
}

impl History {
    /// Something is broken or mended now.
    pub fn disturb(&mut self) {
        self.disturbed = Some(Instant::now());
    }

    pub(crate) fn record(&mut self, seen: &[Option<Seen>]) {
        self.rows.push((Instant::now(), self.disturbed, seen.to_vec()));
    }

    /// Deaths that were seen of a member that ran, by its id, within all that was recorded.
    pub fn deaths(&self, id: &str) -> usize {
        self.rows
            .iter()
            .flat_map(|(_, _, seen)| seen.iter().flatten())
            .filter(|s| s.state(id) == "down")
            .count()
    }

    /// The checker of "never held down for longer than T": rows more than the bound after the last change, in which somebody
    /// holds one of these down.
    pub fn held_down(&self, ids: &[String], bound: Duration) -> Vec<String> {
        let late = |(at, disturbed, _): &&(Instant, Option<Instant>, Vec<Option<Seen>>)| {
            disturbed.is_none_or(|d| at.duration_since(d) > bound)
        };
        let rows = self.rows.iter().filter(late).flat_map(|(_, _, seen)| seen.iter().flatten());
        rows.flat_map(|s| ids.iter().filter(|id| s.state(id) == "down").cloned()).collect()
    }

    /// How many times was looked.
    pub fn looks(&self) -> usize {
        self.rows.len()
    }
}

#[cfg(test)]
mod tests;
