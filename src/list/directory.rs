//! The directory of servers: keyed by id, numbered for the core.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::{EndpointListScope, Micros, ServerEntry, ServerId, ServerStatus};

use super::ListedServer;

/// The most recent list, with a number for each id that was ever in it. Numbers are never reused, so a new server
/// at a known address is not taken for the old one.
#[derive(Default)]
pub struct Directory {
    server_ids: BTreeMap<Rc<str>, ServerId>,
    listed: BTreeMap<ServerId, ListedServer>,
}

/// What a complete list changed, in addition to the entries for the core.
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
    /// Applies a list, either complete or only the changed lines. Returns the core's entries and what changed.
    pub fn apply(
        &mut self,
        scope: EndpointListScope,
        list: Vec<ListedServer>,
    ) -> (Vec<ServerEntry>, Changes) {
        let mut changes = Changes::default();
        let mut entries = Vec::with_capacity(list.len());
        let mut kept = Vec::with_capacity(list.len());
        for line in list {
            let server = self.assign_id(&line.id);
            entries.push(ServerEntry {
                server,
                pool: line.pool,
                started_at: line.started_at,
                status: line.status,
            });
            if line.status != ServerStatus::Removed {
                kept.push(server);
                self.record(server, line, &mut changes);
            }
        }
        let complete = scope != EndpointListScope::Changes;
        let removed = self.remove_unlisted(&kept, &entries, complete);
        changes.closed.extend(&removed);
        changes.removed = removed;
        (entries, changes)
    }

    /// The number of an id; a new one if the id was never listed.
    fn assign_id(&mut self, id: &Rc<str>) -> ServerId {
        let next = ServerId(self.server_ids.len() as u32);
        *self.server_ids.entry(id.clone()).or_insert(next)
    }

    /// Stores a server's line and notes whether it was closed or restarted.
    fn record(&mut self, server: ServerId, line: ListedServer, changes: &mut Changes) {
        let (status, started_at) = (line.status, line.started_at);
        let previous = self.listed.insert(server, line);
        let was_open = previous.as_ref().is_none_or(|p| p.status == ServerStatus::Up);
        if status != ServerStatus::Up && was_open {
            changes.closed.push(server);
        }
        if previous.is_some_and(|p| started_at > p.started_at) {
            changes.restarted.push((server, started_at));
        }
    }

    /// Removes the servers that the list removed: the named ones, or all that a complete list did not keep.
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

    /// A server's line, while it is listed.
    pub fn get(&self, server: ServerId) -> Option<&ListedServer> {
        self.listed.get(&server)
    }

    /// The number of a listed server's id.
    pub fn server_id(&self, id: &str) -> Option<ServerId> {
        self.server_ids.get(id).copied().filter(|server| self.listed.contains_key(server))
    }

    /// The address of a listed server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.listed.get(&server).map(|l| l.address)
    }

    /// Whether a server takes calls.
    pub fn is_up(&self, server: ServerId) -> bool {
        self.listed.get(&server).is_some_and(|l| l.status == ServerStatus::Up)
    }

    /// A server's id, for the log.
    pub fn name(&self, server: ServerId) -> &str {
        self.server_ids.iter().find(|(_, n)| **n == server).map_or("?", |(id, _)| id)
    }

    /// All listed servers.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.listed.keys().copied()
    }
}
