//! The servers' last notified status, and until when each of them may be sent attempts. The decision module chooses the
//! servers; its choices are checked against this table.

use std::collections::BTreeMap;

use super::interface::ReportedWait;
use crate::{EndpointListScope, LoadReport, Micros, ServerEntry, ServerId, ServerStatus};

/// A server's status, and since when it has been up or has been closed (draining or removed).
#[derive(Clone, Copy)]
struct ServerState {
    status: ServerStatus,
    /// For a closed server, when it was first notified as draining or removed; otherwise, when it was last notified
    /// as up.
    notified_at: Micros,
}

impl ServerState {
    /// Sets the status. Neither a repeated notification nor a change from draining to removed restarts the drain
    /// window.
    fn update(&mut self, status: ServerStatus, now: Micros) {
        let stays_closed = self.status != ServerStatus::Up && status != ServerStatus::Up;
        let notified_at = if stays_closed { self.notified_at } else { now };
        *self = ServerState { status, notified_at };
    }
}

/// All servers that have ever been listed.
#[derive(Default)]
pub struct RoutingTable {
    servers: BTreeMap<ServerId, ServerState>,
    reported_waits: BTreeMap<ServerId, ReportedWait>,
}

impl RoutingTable {
    /// Applies a change of the endpoint list.
    pub fn update(&mut self, now: Micros, scope: EndpointListScope, entries: &[ServerEntry]) {
        if scope != EndpointListScope::Changes {
            for (id, state) in &mut self.servers {
                if !entries.iter().any(|entry| entry.server == *id) {
                    state.update(ServerStatus::Removed, now);
                }
            }
        }
        for entry in entries {
            let new = ServerState { status: ServerStatus::Up, notified_at: now };
            self.servers.entry(entry.server).or_insert(new).update(entry.status, now);
        }
        let servers = &self.servers;
        let is_listed =
            |id: &ServerId| servers.get(id).is_some_and(|state| state.status != ServerStatus::Removed);
        self.reported_waits.retain(|id, _| is_listed(id));
    }

    /// The listed servers with their status.
    pub fn listed(&self) -> impl Iterator<Item = (ServerId, ServerStatus)> + '_ {
        let all = self.servers.iter().map(|(id, state)| (*id, state.status));
        all.filter(|(_, status)| *status != ServerStatus::Removed)
    }

    /// Stores the queue wait from a load report if the server is listed.
    pub fn record_load(&mut self, now: Micros, server: ServerId, load: &LoadReport) {
        let is_listed = self.servers.get(&server).is_some_and(|state| state.status != ServerStatus::Removed);
        if let Some(wait_ms) = load.queueing_delay_ms.filter(|_| is_listed) {
            self.reported_waits.insert(server, ReportedWait { at: now, wait_ms });
        }
    }

    /// The queue wait that a server reported last.
    pub fn reported_wait(&self, server: ServerId) -> Option<ReportedWait> {
        self.reported_waits.get(&server).copied()
    }

    /// Since when a server has been draining or removed; `None` if it is up or has never been listed.
    pub fn draining_since(&self, server: ServerId) -> Option<Micros> {
        let state = self.servers.get(&server).filter(|state| state.status != ServerStatus::Up);
        state.map(|state| state.notified_at)
    }

    /// Whether attempts may be sent to a server: it is up, or the drain window `grace` has not passed. Always false
    /// for a server that has never been listed.
    pub fn accepts_attempts(&self, server: ServerId, now: Micros, grace: Micros) -> bool {
        let Some(state) = self.servers.get(&server) else { return false };
        state.status == ServerStatus::Up || now < state.notified_at.saturating_add(grace)
    }
}
