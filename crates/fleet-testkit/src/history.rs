//! Records the membership views that processes report, and checks them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::process::Process;

/// Membership of the fleet as one process reports it in `/control/fleet`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// The view has not changed recently and no member is suspect.
    pub settled: bool,
    /// The process is on standby because a newer process runs under its id.
    pub is_standby: bool,
    /// Id and state of each member.
    pub members: Vec<(String, String)>,
    /// The complete JSON answer.
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

    /// Ids of the members in state `alive` or `suspect`.
    pub fn live_ids(&self) -> BTreeSet<&str> {
        let live = |(_, state): &&(String, String)| state == "alive" || state == "suspect";
        self.members.iter().filter(live).map(|(id, _)| id.as_str()).collect()
    }

    /// State of a member in this view; `unknown` if the member is not listed.
    pub fn state_of(&self, id: &str) -> &str {
        self.members.iter().find(|(m, _)| m == id).map_or("unknown", |(_, state)| state)
    }

    /// JSON entry of a member; null if the member is not listed.
    pub fn member_json(&self, id: &str) -> &Value {
        let members = self.json["members"].as_array();
        members.and_then(|all| all.iter().find(|m| m["id"] == id)).unwrap_or(&Value::Null)
    }
}

/// Checks that every running process that is not on standby lists exactly the running members as live and reports
/// itself settled, and that exactly one process per running id is not on standby.
pub fn check_agreement(members: &[Process], views: &[Option<FleetView>]) -> Result<(), String> {
    let running: BTreeSet<&str> = members.iter().filter(|m| m.is_running()).map(|m| m.id.as_str()).collect();
    for (member, view) in members.iter().zip(views) {
        if !member.is_running() {
            continue;
        }
        let Some(view) = view else {
            return Err(format!("{} does not answer the status request", member.id));
        };
        if view.is_standby {
            continue;
        }
        if view.live_ids() != running {
            return Err(format!("{} reports {:?}, running are {running:?}", member.id, view.members));
        }
        if !view.settled {
            return Err(format!("{} is not settled", member.id));
        }
    }
    for id in running {
        let active = members.iter().zip(views).filter(|(m, _)| m.is_running() && m.id == id);
        let active = active.filter(|(_, s)| s.as_ref().is_some_and(|s| !s.is_standby)).count();
        if active != 1 {
            return Err(format!("{active} processes are active under id {id}, expected one"));
        }
    }
    Ok(())
}

/// Reported views over time, each with the time of the last injected or repaired fault before it.
#[derive(Default)]
pub struct History {
    samples: Vec<(Instant, Option<Instant>, Vec<Option<FleetView>>)>,
    last_disturbance: Option<Instant>,
}

impl History {
    /// Notes that a fault is injected or repaired now.
    pub fn record_disturbance(&mut self) {
        self.last_disturbance = Some(Instant::now());
    }

    pub(crate) fn record(&mut self, views: &[Option<FleetView>]) {
        self.samples.push((Instant::now(), self.last_disturbance, views.to_vec()));
    }

    /// Number of recorded views in which the member is `down`.
    pub fn down_reports(&self, id: &str) -> usize {
        self.samples
            .iter()
            .flat_map(|(_, _, views)| views.iter().flatten())
            .filter(|s| s.state_of(id) == "down")
            .count()
    }

    /// Checks that a running member is never reported `down` for longer than the bound: returns the ids out of `ids`
    /// that a view reports as `down` more than `bound` after the last disturbance, once per view.
    pub fn ids_down_past_bound(&self, ids: &[String], bound: Duration) -> Vec<String> {
        let late = |(at, last_disturbance, _): &&(Instant, Option<Instant>, Vec<Option<FleetView>>)| {
            last_disturbance.is_none_or(|d| at.duration_since(d) > bound)
        };
        let samples = self.samples.iter().filter(late).flat_map(|(_, _, views)| views.iter().flatten());
        samples.flat_map(|s| ids.iter().filter(|id| s.state_of(id) == "down").cloned()).collect()
    }

    /// Number of times the views were polled.
    pub fn poll_count(&self) -> usize {
        self.samples.len()
    }
}

#[cfg(test)]
mod tests;
