//! What was seen, and the checkers over it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::process::Process;

/// How one process sees the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Nothing has changed of late, and nobody is suspect.
    pub settled: bool,
    /// It is silent, for a newer start under its id.
    pub is_standby: bool,
    /// Members by state.
    pub members: Vec<(String, String)>,
    /// The whole object.
    pub json: Value,
}

impl FleetView {
    pub(crate) fn of(json: Value) -> FleetView {
        let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let members = json["members"].as_array().into_iter().flatten();
        FleetView {
            settled: json["settled"] == true,
            is_standby: json["stands_by"] == true,
            members: members.map(|m| (text(&m["id"]), text(&m["state"]))).collect(),
            json,
        }
    }

    /// Ids of those that it holds live.
    pub fn live_ids(&self) -> BTreeSet<&str> {
        let live = |(_, state): &&(String, String)| state == "alive" || state == "suspect";
        self.members.iter().filter(live).map(|(id, _)| id.as_str()).collect()
    }

    /// How it holds a member.
    pub fn state_of(&self, id: &str) -> &str {
        self.members.iter().find(|(m, _)| m == id).map_or("unknown", |(_, state)| state)
    }

    /// What it has of a member.
    pub fn member_json(&self, id: &str) -> &Value {
        let members = self.json["members"].as_array();
        members.and_then(|all| all.iter().find(|m| m["id"] == id)).unwrap_or(&Value::Null)
    }
}

/// Whether all that run and speak hold those that run, and no other, and call themselves settled.
pub fn check_agreement(members: &[Process], seen: &[Option<FleetView>]) -> Result<(), String> {
    let truth: BTreeSet<&str> = members.iter().filter(|m| m.is_running()).map(|m| m.id.as_str()).collect();
    for (member, seen) in members.iter().zip(seen) {
        if !member.is_running() {
            continue;
        }
        let Some(seen) = seen else { return Err(format!("{} does not answer", member.id)) };
        if seen.is_standby {
            continue;
        }
        if seen.live_ids() != truth {
            return Err(format!("{} holds {:?}, and {truth:?} run", member.id, seen.members));
        }
        if !seen.settled {
            return Err(format!("{} is not settled", member.id));
        }
    }
    for id in truth {
        let speak = members.iter().zip(seen).filter(|(m, _)| m.is_running() && m.id == id);
        let speak = speak.filter(|(_, s)| s.as_ref().is_some_and(|s| !s.is_standby)).count();
        if speak != 1 {
            return Err(format!("{speak} processes speak as {id}"));
        }
    }
    Ok(())
}

/// What was seen, when, and when something was broken or mended last.
#[derive(Default)]
pub struct History {
    samples: Vec<(Instant, Option<Instant>, Vec<Option<FleetView>>)>,
    last_disturbance: Option<Instant>,
}

impl History {
    /// Something is broken or mended now.
    pub fn record_disturbance(&mut self) {
        self.last_disturbance = Some(Instant::now());
    }

    pub(crate) fn record(&mut self, seen: &[Option<FleetView>]) {
        self.samples.push((Instant::now(), self.last_disturbance, seen.to_vec()));
    }

    /// Deaths that were seen of a member that ran, by its id, within all that was recorded.
    pub fn down_reports(&self, id: &str) -> usize {
        self.samples
            .iter()
            .flat_map(|(_, _, seen)| seen.iter().flatten())
            .filter(|s| s.state_of(id) == "down")
            .count()
    }

    /// The checker of "never held down for longer than T": rows more than the bound after the last change, in which somebody
    /// holds one of these down.
    pub fn ids_down_past_bound(&self, ids: &[String], bound: Duration) -> Vec<String> {
        let late = |(at, last_disturbance, _): &&(Instant, Option<Instant>, Vec<Option<FleetView>>)| {
            last_disturbance.is_none_or(|d| at.duration_since(d) > bound)
        };
        let samples = self.samples.iter().filter(late).flat_map(|(_, _, seen)| seen.iter().flatten());
        samples.flat_map(|s| ids.iter().filter(|id| s.state_of(id) == "down").cloned()).collect()
    }

    /// How many times was looked.
    pub fn poll_count(&self) -> usize {
        self.samples.len()
    }
}

#[cfg(test)]
mod tests;
