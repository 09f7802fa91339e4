//! The directory of servers. Maps the ids in the server list to the numeric ids that the core uses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::{EndpointListScope, Micros, ServerEntry, ServerId, ServerStatus};

use super::ListedServer;

/// The most recent list, with a numeric id for each server that was ever listed. Numeric ids are never reused, so a
/// new server at a known address is not confused with the previous one.
#[derive(Default)]
pub struct Directory {
    server_ids: BTreeMap<Rc<str>, ServerId>,
    listed: BTreeMap<ServerId, ListedServer>,
}

/// The changes made by a list, in addition to the entries for the core.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    /// Servers that must get no new calls: draining or removed.
    pub closed: Vec<ServerId>,
    /// Servers that were removed.
    pub removed: Vec<ServerId>,
    /// Servers whose process was restarted, with the start time.
    pub restarted: Vec<(ServerId, Micros)>,
}

impl Directory {
    /// Applies a list, which is either complete or contains only changed entries. Returns the core's entries and the
    /// changes.
    pub fn apply(
        &mut self,
        scope: EndpointListScope,
        list: Vec<ListedServer>,
    ) -> (Vec<ServerEntry>, Changes) {
        let mut changes = Changes::default();
        let mut entries = Vec::with_capacity(list.len());
        let mut kept = Vec::with_capacity(list.len());
        for listed in list {
            let server = self.assign_id(&listed.id);
            entries.push(ServerEntry {
                server,
                pool: listed.pool,
                started_at: listed.started_at,
                status: listed.status,
            });
            if listed.status != ServerStatus::Removed {
                kept.push(server);
                self.record(server, listed, &mut changes);
            }
        }
        let complete = scope != EndpointListScope::Changes;
        let removed = self.remove_unlisted(&kept, &entries, complete);
        changes.closed.extend(&removed);
        changes.removed = removed;
        (entries, changes)
    }

    /// Returns the numeric id of a server; assigns a new one if the server was never listed.
    fn assign_id(&mut self, id: &Rc<str>) -> ServerId {
        let next = ServerId(self.server_ids.len() as u32);
        *self.server_ids.entry(id.clone()).or_insert(next)
    }

    /// Stores a server's entry and records whether the server was closed or restarted.
    fn record(&mut self, server: ServerId, listed: ListedServer, changes: &mut Changes) {
        let (status, started_at) = (listed.status, listed.started_at);
        let previous = self.listed.insert(server, listed);
        let was_open = previous.as_ref().is_none_or(|p| p.status == ServerStatus::Up);
        if status != ServerStatus::Up && was_open {
            changes.closed.push(server);
        }
        if previous.is_some_and(|p| started_at > p.started_at) {
            changes.restarted.push((server, started_at));
        }
    }

    /// Deletes the servers that the list removed: those named as removed and, if the list is complete, all that it
    /// does not contain.
    fn remove_unlisted(
        &mut self,
        kept: &[ServerId],
        entries: &[ServerEntry],
        complete: bool,
    ) -> Vec<ServerId> {
        let named: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        let is_removed = |id: &ServerId| !kept.contains(id) && (complete || named.contains(id));
        let removed: Vec<ServerId> = self.listed.keys().copied().filter(is_removed).collect();
        for id in &removed {
            self.listed.remove(id);
        }
        removed
    }

    /// The entry of a listed server.
    pub fn get(&self, server: ServerId) -> Option<&ListedServer> {
        self.listed.get(&server)
    }

    /// The numeric id of a server, if the server is listed.
    pub fn server_id(&self, id: &str) -> Option<ServerId> {
        self.server_ids.get(id).copied().filter(|server| self.listed.contains_key(server))
    }

    /// The address of a listed server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.listed.get(&server).map(|l| l.address)
    }

    /// Whether a server accepts new calls.
    pub fn is_up(&self, server: ServerId) -> bool {
        self.listed.get(&server).is_some_and(|l| l.status == ServerStatus::Up)
    }

    /// The id of a server as listed, for log messages; "?" if it was never listed.
    pub fn name(&self, server: ServerId) -> &str {
        self.server_ids.iter().find(|(_, n)| **n == server).map_or("?", |(id, _)| id)
    }

    /// The numeric ids of all listed servers.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.listed.keys().copied()
    }
}
