//! Route: which servers there are and until when each may still be sent a set-up.

use std::collections::BTreeMap;

use crate::{EndpointListScope, LoadReport, Micros, ServerEntry, ServerId, ServerStatus};

/// The servers as last told. The module chooses among them; this is what its choice is checked against.
#[derive(Default)]
pub struct Route {
    /// ServerStatus, and when it was first told that the server drains or is gone.
    servers: BTreeMap<ServerId, (ServerStatus, Micros)>,
    /// The wait that a listed server told last, in milliseconds, and when.
    waits: BTreeMap<ServerId, (Micros, f64)>,
}

impl Route {
    /// Takes the list's news.
    pub fn learn(&mut self, now: Micros, scope: EndpointListScope, entries: &[ServerEntry]) {
        if scope != EndpointListScope::Changes {
            for (id, held) in &mut self.servers {
                if !entries.iter().any(|e| e.server == *id) {
                    *held = turned(*held, ServerStatus::Removed, now);
                }
            }
        }
        for e in entries {
            let held = self.servers.entry(e.server).or_insert((ServerStatus::Up, now));
            *held = turned(*held, e.status, now);
        }
        let servers = &self.servers;
        self.waits
            .retain(|id, _| servers.get(id).is_some_and(|(status, _)| *status != ServerStatus::Removed));
    }

    /// The servers that are in the list, and whether they take calls by its word.
    pub fn listed(&self) -> impl Iterator<Item = (ServerId, bool)> + '_ {
        let listed = self.servers.iter().filter(|(_, (status, _))| *status != ServerStatus::Removed);
        listed.map(|(id, (status, _))| (*id, *status == ServerStatus::Up))
    }

    /// A server tells its load.
    pub fn heard(&mut self, now: Micros, server: ServerId, load: &LoadReport) {
        if let (Some(wait), Some((ServerStatus::Up | ServerStatus::Draining, _))) =
            (load.queue_wait_ms, self.servers.get(&server))
        {
            self.waits.insert(server, (now, wait));
        }
    }

    /// The wait that a server told last, in milliseconds, and when.
    pub fn report(&self, server: ServerId) -> Option<(Micros, f64)> {
        self.waits.get(&server).copied()
    }

    /// Since when a server is known to drain or to be gone.
    pub fn drains_since(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).filter(|(status, _)| *status != ServerStatus::Up).map(|(_, told)| *told)
    }

    /// May a set-up still go there? From the news that a server drains or is gone, `grace` remains at most;
    /// an unlisted server gets nothing.
    pub fn open(&self, server: ServerId, now: Micros, grace: Micros) -> bool {
        match self.servers.get(&server) {
            Some((ServerStatus::Up, _)) => true,
            Some((_, told)) => now < told.saturating_add(grace),
            None => false,
        }
    }
}

/// A repeat of the same news does not start the window again, nor does a drain that becomes a removal.
fn turned((was, told): (ServerStatus, Micros), is: ServerStatus, now: Micros) -> (ServerStatus, Micros) {
    if was != ServerStatus::Up && is != ServerStatus::Up { (is, told) } else { (is, now) }
}
