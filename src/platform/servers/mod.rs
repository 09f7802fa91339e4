//! The setup servers' side: connections out, attempts on them, and what comes back.
//!
//! [`Servers`] owns the connections and what is known of each server's reachability; [`PlatformFrontend`](super::PlatformFrontend)
//! owns it, and its methods here join it to the core. Each connection is a task of its own (`pool`), which ends with it.
//!
//! | file | concern |
//! | --- | --- |
//! | `pool` | which connection a message takes; dialling, back-off, ends of connections |
//! | `connection` | the state of one connection |
//! | `attempts` | attempts and releases on connections |
//! | `health` | health checks, silence, servers that are gone |
//! | `messages` | what servers say |

mod attempts;
mod connection;
mod health;
mod messages;
mod pool;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::gateway::AttemptId;
use crate::{CallId, Micros, ServerId};

use super::ConnectionId;
use super::heartbeat_monitor::HeartbeatMonitor;
use super::line::Tag;
use connection::{QueuedMessage, ServerConnection};
use health::{HealthCheck, RemovedServer};
use pool::Backoff;

/// Maximum number of releases for one server that wait for a connection or for being confirmed; at the bound the oldest is
/// dropped: the server ends that call by itself.
const MAX_RELEASES: usize = 10_000;
/// How long an answer to a cancelled attempt may still come in on its connection.
const CANCELLED_RETENTION: Micros = 10_000_000;

/// What a call has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallKey {
    /// The server.
    pub server: ServerId,
    /// The call's id on the wire.
    pub tag: Tag,
}

/// An attempt in flight, or established.
struct AttemptEntry {
    attempt: AttemptId,
    connection: ConnectionId,
    is_established: bool,
}

/// All setup servers.
pub struct Servers {
    dial_timeout: Duration,
    connections: BTreeMap<ConnectionId, ServerConnection>,
    attempts: HashMap<CallKey, AttemptEntry>,
    by_call: HashMap<CallId, CallKey>,
    health_checks: HashMap<Tag, HealthCheck>,
    /// Seed of the next health check's id.
    health_check_seed: u64,
    backoffs: BTreeMap<ServerId, Backoff>,
    heartbeats: BTreeMap<ServerId, HeartbeatMonitor>,
    /// When the connections were last maintained.
    last_maintained_at: Micros,
    /// When a server was last heard on any connection.
    last_received_at: BTreeMap<ServerId, Micros>,
    /// Releases for servers that cannot be reached now.
    pending_releases: BTreeMap<ServerId, VecDeque<Tag>>,
    /// Servers on whose ended connections ends of calls may have been lost. A connection that is dialled at this time or later
    /// hears them again.
    redial_from: BTreeMap<ServerId, Micros>,
    removed: BTreeMap<ServerId, RemovedServer>,
}

impl Servers {
    pub(super) fn new(dial_timeout: Micros, seed: u64) -> Self {
        Servers {
            dial_timeout: Duration::from_micros(dial_timeout.max(1_000)),
            connections: BTreeMap::new(),
            attempts: HashMap::new(),
            by_call: HashMap::new(),
            health_checks: HashMap::new(),
            health_check_seed: seed,
            backoffs: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            last_maintained_at: 0,
            last_received_at: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            redial_from: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// What a call has at a server.
    pub(super) fn call_key(&self, call: CallId) -> Option<CallKey> {
        self.by_call.get(&call).copied()
    }

    /// The attempt by which a call is established at a server.
    pub(super) fn established_attempt(&self, key: CallKey) -> Option<AttemptId> {
        self.attempts.get(&key).filter(|entry| entry.is_established).map(|entry| entry.attempt)
    }

    /// Records that a call's attempt is established.
    pub(super) fn mark_established(&mut self, call: CallId) {
        let entry = self.by_call.get(&call).and_then(|key| self.attempts.get_mut(key));
        if let Some(entry) = entry {
            entry.is_established = true;
        }
    }

    /// Records a call that is established by another process's attempt; no connection of ours has to do with that.
    pub(super) fn adopt_call(&mut self, key: CallKey, call: CallId) -> AttemptId {
        let attempt = AttemptId { call, number: 0 };
        let entry = AttemptEntry { attempt, connection: super::NO_CONNECTION, is_established: true };
        self.attempts.insert(key, entry);
        self.by_call.insert(call, key);
        attempt
    }

    /// Removes what a call has at a server.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<CallKey> {
        let key = self.by_call.remove(&call)?;
        self.attempts.remove(&key);
        Some(key)
    }

    fn has_established_calls(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|(key, entry)| key.server == server && entry.is_established)
    }

    fn has_calls(&self, server: ServerId) -> bool {
        self.attempts.keys().any(|key| key.server == server)
    }

    fn connections_of(&self, server: ServerId) -> impl Iterator<Item = (ConnectionId, &ServerConnection)> {
        let all = self.connections.iter().map(|(id, connection)| (*id, connection));
        all.filter(move |(_, connection)| connection.server == server)
    }

    fn queue(&mut self, id: ConnectionId, message: QueuedMessage) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued.push(message);
            connection.flush();
        }
    }

    fn write(&mut self, id: ConnectionId, message: &[u8]) {
        if let Some(connection) = self.connections.get(&id) {
            connection.outbox.push(message);
        }
    }
}
