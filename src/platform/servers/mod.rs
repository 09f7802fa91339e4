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
const CANCELLED_MEMORY: Micros = 10_000_000;

/// What a call has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallAtServer {
    /// The server.
    pub server: ServerId,
    /// The call's id on the wire.
    pub tag: Tag,
}

/// An attempt in flight, or established.
struct AttemptSlot {
    attempt: AttemptId,
    connection: ConnectionId,
    is_established: bool,
}

/// All setup servers.
pub struct Servers {
    dial_timeout: Duration,
    connections: BTreeMap<ConnectionId, ServerConnection>,
    attempts: HashMap<CallAtServer, AttemptSlot>,
    by_call: HashMap<CallId, CallAtServer>,
    health_checks: HashMap<Tag, HealthCheck>,
    /// Seed of the next health check's id.
    next_health_check: u64,
    backoffs: BTreeMap<ServerId, Backoff>,
    heartbeats: BTreeMap<ServerId, HeartbeatMonitor>,
    /// When the connections were last maintained.
    last_maintained_at: Micros,
    /// When a server was last heard on any connection.
    last_heard_at: BTreeMap<ServerId, Micros>,
    /// Releases for servers that cannot be reached now.
    pending_releases: BTreeMap<ServerId, VecDeque<Tag>>,
    /// Servers on whose ended connections ends of calls may have been lost. A connection that is dialled at this time or later
    /// hears them again.
    redial_to_hear_from: BTreeMap<ServerId, Micros>,
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
            next_health_check: seed,
            backoffs: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            last_maintained_at: 0,
            last_heard_at: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            redial_to_hear_from: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// What a call has at a server.
    pub(super) fn call_at_server(&self, call: CallId) -> Option<CallAtServer> {
        self.by_call.get(&call).copied()
    }

    /// The attempt by which a call is established at a server.
    pub(super) fn established_at(&self, at: CallAtServer) -> Option<AttemptId> {
        self.attempts.get(&at).filter(|slot| slot.is_established).map(|slot| slot.attempt)
    }

    /// Records that a call's attempt is established.
    pub(super) fn establish(&mut self, call: CallId) {
        let slot = self.by_call.get(&call).and_then(|at| self.attempts.get_mut(at));
        if let Some(slot) = slot {
            slot.is_established = true;
        }
    }

    /// Records a call that is established by another process's attempt; no connection of ours has to do with that.
    pub(super) fn adopt(&mut self, at: CallAtServer, call: CallId) -> AttemptId {
        let attempt = AttemptId { call, number: 0 };
        let slot = AttemptSlot { attempt, connection: super::NO_CONNECTION, is_established: true };
        self.attempts.insert(at, slot);
        self.by_call.insert(call, at);
        attempt
    }

    /// Removes what a call has at a server.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<CallAtServer> {
        let at = self.by_call.remove(&call)?;
        self.attempts.remove(&at);
        Some(at)
    }

    fn has_established_calls(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|(at, slot)| at.server == server && slot.is_established)
    }

    fn has_calls(&self, server: ServerId) -> bool {
        self.attempts.keys().any(|at| at.server == server)
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
