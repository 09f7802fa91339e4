//! Who is who: servers keyed by id, numbered for the core.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::{EndpointListScope, Micros, ServerEntry, ServerId, ServerStatus};

use super::Listed;

/// The list as last told, with a number for each id that was ever in it. Numbers are not used again, so a
/// machine that takes over an address is a server of its own.
#[derive(Default)]
pub struct Directory {
    numbers: BTreeMap<Rc<str>, ServerId>,
    listed: BTreeMap<ServerId, Listed>,
}

/// What a whole list changed, beside the entries for the core.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    /// Servers that take nothing new any more: draining, or gone.
    pub closed: Vec<ServerId>,
    /// Servers that are gone.
    pub gone: Vec<ServerId>,
    /// Servers whose process is another one than before, and since when.
    pub restarted: Vec<(ServerId, Micros)>,
}

impl Directory {
    /// Takes a list: whole, or only lines that changed. Returns the core's entries and what changed.
    pub fn learn(&mut self, scope: EndpointListScope, list: Vec<Listed>) -> (Vec<ServerEntry>, Changes) {
        let mut changes = Changes::default();
        let mut entries = Vec::with_capacity(list.len());
        let mut seen = Vec::with_capacity(list.len());
        for line in list {
            let next = ServerId(self.numbers.len() as u32);
            let server = *self.numbers.entry(line.id.clone()).or_insert(next);
            entries.push(ServerEntry {
                server,
                pool: line.pool,
                started_at: line.started_at,
                status: line.status,
            });
            if line.status == ServerStatus::Removed {
                continue;
            }
            seen.push(server);
            let was = self.listed.insert(server, line.clone());
            if line.status != ServerStatus::Up && was.as_ref().is_none_or(|w| w.status == ServerStatus::Up) {
                changes.closed.push(server);
            }
            if was.is_some_and(|w| line.started_at > w.started_at) {
                changes.restarted.push((server, line.started_at));
            }
        }
        let named: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
        let whole = scope != EndpointListScope::Changes;
        let out = |id: &ServerId| !seen.contains(id) && (whole || named.contains(id));
        let gone: Vec<ServerId> = self.listed.keys().copied().filter(out).collect();
        for id in &gone {
            self.listed.remove(id);
        }
        changes.closed.extend(&gone);
        changes.gone = gone;
        (entries, changes)
    }

    /// A server's line, while it is listed.
    pub fn line(&self, server: ServerId) -> Option<&Listed> {
        self.listed.get(&server)
    }

    /// The number of a listed server's id.
    pub fn number(&self, id: &str) -> Option<ServerId> {
        self.numbers.get(id).copied().filter(|server| self.listed.contains_key(server))
    }

    /// Where a listed server listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.listed.get(&server).map(|l| l.address)
    }

    /// Whether a server takes calls.
    pub fn up(&self, server: ServerId) -> bool {
        self.listed.get(&server).is_some_and(|l| l.status == ServerStatus::Up)
    }

    /// A server's id, for the log.
    pub fn name(&self, server: ServerId) -> &str {
        self.numbers.iter().find(|(_, n)| **n == server).map_or("?", |(id, _)| id)
    }

    /// All listed servers.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.listed.keys().copied()
    }
}
