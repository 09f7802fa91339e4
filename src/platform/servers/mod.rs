//! The setup servers' side: outgoing connections, attempts and releases on them, and the servers' messages.
//!
//! [`Servers`] owns the connections and the reachability state of each server.
//! [`PlatformFrontend`](super::PlatformFrontend) owns [`Servers`], and its methods in these files connect it to the
//! core. Each connection is served by a task of its own (in `pool`).
//!
//! | file | concern |
//! | --- | --- |
//! | `pool` | choice of the connection for a message; dialling, back-off, ends of connections |
//! | `redial` | dials after the end of a connection, for reports that may have been lost with it |
//! | `connection` | the state of one connection |
//! | `attempts` | attempts and releases on connections |
//! | `health` | health checks, silent servers, removed servers |
//! | `messages` | messages from servers |

mod attempts;
mod connection;
mod health;
mod messages;
mod pool;
mod redial;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::gateway::AttemptId;
use crate::{CallId, Micros, ServerId};

use super::ConnectionId;
use super::heartbeat_monitor::HeartbeatMonitor;
use super::line::Tag;
use connection::{QueuedMessage, ServerConnection};
use health::HealthCheck;
pub(super) use health::ServerEndReason;
use pool::Backoff;
use redial::Redial;

/// Maximum number of releases for one server without a connection, and of unconfirmed releases on one connection.
/// Beyond it the oldest is dropped: the server ends that call by itself.
const MAX_RELEASES: usize = 10_000;
/// How long an answer to a cancelled attempt may still arrive on its connection.
const CANCELLED_RETENTION: Micros = 10_000_000;

/// Identifies a call at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallKey {
    /// The server.
    pub server: ServerId,
    /// The call's id on the wire.
    pub tag: Tag,
}

/// An attempt that is pending or established at its server.
struct AttemptEntry {
    attempt: AttemptId,
    /// The connection on which it was sent.
    connection: ConnectionId,
    is_established: bool,
}

/// All setup servers and the connections to them.
pub struct Servers {
    dial_timeout: Duration,
    connections: BTreeMap<ConnectionId, ServerConnection>,
    attempts: HashMap<CallKey, AttemptEntry>,
    by_call: HashMap<CallId, CallKey>,
    /// Calls that belong to the other process of an upgrade, because they were handed over to it.
    pub(super) handed_over: HashSet<CallKey>,
    health_checks: HashMap<Tag, HealthCheck>,
    /// The number from which the next health check's id is derived.
    health_check_seed: u64,
    backoffs: BTreeMap<ServerId, Backoff>,
    heartbeats: BTreeMap<ServerId, HeartbeatMonitor>,
    /// When the connections were last maintained.
    last_maintained_at: Micros,
    /// When a server's last message came, on any connection.
    last_received_at: BTreeMap<ServerId, Micros>,
    /// Releases for servers without a usable connection.
    pending_releases: BTreeMap<ServerId, VecDeque<Tag>>,
    /// Servers to be dialled again because their reports of ended calls may have been lost with an ended connection.
    redials: BTreeMap<ServerId, Redial>,
    /// Servers that may not have detected the end of a connection, and when they have at the latest.
    undetected_ends: BTreeMap<ServerId, Micros>,
    /// Servers that were removed from the list, and when their calls without an open connection count as lost.
    removed: BTreeMap<ServerId, Micros>,
}

impl Servers {
    pub(super) fn new(dial_timeout: Micros, seed: u64) -> Self {
        Servers {
            dial_timeout: Duration::from_micros(dial_timeout.max(1_000)),
            connections: BTreeMap::new(),
            attempts: HashMap::new(),
            by_call: HashMap::new(),
            handed_over: HashSet::new(),
            health_checks: HashMap::new(),
            health_check_seed: seed,
            backoffs: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            last_maintained_at: 0,
            last_received_at: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            redials: BTreeMap::new(),
            undetected_ends: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// The server of a call and its id there, while it has an attempt.
    pub(super) fn call_key(&self, call: CallId) -> Option<CallKey> {
        self.by_call.get(&call).copied()
    }

    /// The attempt by which a call at a server was established; `None` if the call is not established.
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

    /// Adds an established call that another process handed over. It has no connection of this process.
    pub(super) fn adopt_call(&mut self, key: CallKey, call: CallId) -> AttemptId {
        let attempt = AttemptId { call, number: 0 };
        let entry = AttemptEntry { attempt, connection: super::NO_CONNECTION, is_established: true };
        self.attempts.insert(key, entry);
        self.by_call.insert(call, key);
        attempt
    }

    /// Removes a call's attempt.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<CallKey> {
        let key = self.by_call.remove(&call)?;
        self.attempts.remove(&key);
        Some(key)
    }

    /// Connections on which calls are pending or established.
    fn connections_with_calls(&self) -> BTreeSet<ConnectionId> {
        self.attempts.values().map(|entry| entry.connection).collect()
    }

    fn has_established_calls(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|(key, entry)| key.server == server && entry.is_established)
    }

    /// Number of calls with an attempt at a server, pending or established.
    fn call_count(&self, server: ServerId) -> usize {
        self.attempts.keys().filter(|key| key.server == server).count()
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
