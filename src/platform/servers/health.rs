//! Health checks, silent servers with established calls, and removed servers.

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::Input;
use crate::{LoadReport, Micros, ServerId};

use super::super::line::Tag;
use super::super::{ConnectionId, PlatformFrontend};
use super::Servers;
use super::connection::{QueuedMessage, ServerConnection};

/// A health check without an answer after this time has failed.
const HEALTH_CHECK_TIMEOUT: Micros = 250_000;
/// If the connections were not maintained for this long, this process itself was stalled, and silence in that time is
/// no evidence against a connection.
const STALL_THRESHOLD: Micros = 250_000;
/// A connection to a server with established calls gets a health check after this much silence ...
const SILENCE_BEFORE_CHECK: Micros = 2_000_000;
/// ... and the server counts as unreachable after this much silence on all its connections. Callers must be notified
/// of a call's end within 8 s even if the server cannot report it (on a recorded day with a zone cut off for 13 s, 12
/// calls were lost because of this).
const UNREACHABLE_TIMEOUT: Micros = 7_000_000;
/// Time between a server's removal from the list and the end of its calls as lost: their releases may still be in
/// transit.
const REMOVAL_GRACE: Micros = 500_000;

/// A health check that has not been answered.
pub(super) struct HealthCheck {
    server: ServerId,
    expires_at: Micros,
}

/// A server that was removed from the list.
pub(super) struct RemovedServer {
    notified_at: Micros,
    /// When its calls count as lost.
    lost_at: Micros,
}

impl PlatformFrontend {
    /// Sends a health check to a server. Its result is reported to the core as `Input::Load`.
    pub(in crate::platform) fn check_health(&mut self, server: ServerId) {
        let now = clock::now();
        let tag = self.servers.new_health_check_tag();
        let check = HealthCheck { server, expires_at: now + HEALTH_CHECK_TIMEOUT };
        self.servers.health_checks.insert(tag, check);
        if let Some(id) = self.usable_connection(server, tag, now) {
            self.servers.queue(id, QueuedMessage::HealthCheck(tag));
        }
    }

    /// Periodic work: fails expired health checks, ends the calls of removed servers, replaces suspect connections
    /// and dials servers without a usable connection.
    pub(in crate::platform) fn maintain_servers(&mut self, now: Micros) {
        self.servers.record_maintenance(now);
        for server in self.servers.take_expired_health_checks(now) {
            self.feed(Input::Load { server, answered: false, load: LoadReport::default() });
        }
        for server in self.servers.take_lost_servers(now) {
            self.feed(Input::ServerTerminated { server, at: now });
            self.servers.retire(server);
        }
        for server in self.directory.servers().collect::<Vec<_>>() {
            self.maintain_connections(server, now);
            self.detect_unreachable(server, now);
        }
        self.servers.close_retired(now);
    }

    /// Detects whether a server with established calls is unreachable: sends health checks on silent connections, and
    /// reports the server as unreachable if no message comes in time.
    fn detect_unreachable(&mut self, server: ServerId, now: Micros) {
        if !self.servers.has_established_calls(server) {
            return;
        }
        let last_received_at = *self.servers.last_received_at.entry(server).or_insert(now);
        if now > last_received_at + UNREACHABLE_TIMEOUT {
            let name = self.directory.name(server);
            tracing::warn!(server = name, "server unreachable: ending its calls");
            self.servers.last_received_at.remove(&server);
            self.feed(Input::ServerUnreachable { server, last_heard_at: last_received_at });
            return;
        }
        let is_silent = |connection: &ServerConnection| {
            let checked_at = connection.last_received_at.max(connection.last_checked_at);
            connection.is_up && now > checked_at + SILENCE_BEFORE_CHECK
        };
        let silent = self.servers.connections_of(server).filter(|(_, connection)| is_silent(connection));
        for id in silent.map(|(id, _)| id).collect::<Vec<ConnectionId>>() {
            if let Some(connection) = self.servers.connections.get_mut(&id) {
                connection.last_checked_at = now;
            }
            let tag = self.servers.new_health_check_tag();
            self.servers.queue(id, QueuedMessage::HealthCheck(tag));
        }
    }
}

impl Servers {
    /// An id for a health check. Successive ids are far apart (a Weyl sequence), so that none is the id of a call.
    fn new_health_check_tag(&mut self) -> Tag {
        self.health_check_seed = self.health_check_seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        Tag::from_u64(self.health_check_seed)
    }

    /// Records that the connections are being maintained. After a stall of this process, the silence of all
    /// connections is measured anew, because messages that came meanwhile may still be unread.
    fn record_maintenance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last_maintained_at, now));
        if elapsed > STALL_THRESHOLD {
            for connection in self.connections.values_mut() {
                connection.silent_since = now;
            }
        }
    }

    fn take_expired_health_checks(&mut self, now: Micros) -> Vec<ServerId> {
        let mut expired = Vec::new();
        self.health_checks.retain(|_, check| {
            let is_expired = now >= check.expires_at;
            if is_expired {
                expired.push(check.server);
            }
            !is_expired
        });
        expired
    }

    /// Removes the health check with this id, which was answered; false if there is none.
    pub(super) fn finish_health_check(&mut self, tag: Tag) -> bool {
        self.health_checks.remove(&tag).is_some()
    }

    /// Takes out the removed servers whose calls count as lost from now on.
    fn take_lost_servers(&mut self, now: Micros) -> Vec<ServerId> {
        let lost = self.removed.iter().filter(|(_, removed)| now >= removed.lost_at);
        let lost: Vec<ServerId> = lost.map(|(server, _)| *server).collect();
        for server in &lost {
            self.removed.remove(server);
        }
        lost
    }

    /// Records that a server was removed from the list. Only the last releases of its calls may still arrive.
    pub(in crate::platform) fn remove_server(&mut self, server: ServerId, now: Micros) {
        let removed = RemovedServer { notified_at: now, lost_at: now + REMOVAL_GRACE };
        self.removed.insert(server, removed);
        self.pending_releases.remove(&server);
        self.redial_from.remove(&server);
        self.heartbeats.remove(&server);
        self.backoffs.remove(&server);
    }

    /// If a server is listed again before its calls counted as lost, takes it out of the removed servers, retires its
    /// old connections and returns when it was removed.
    pub(in crate::platform) fn take_relisted(&mut self, server: ServerId) -> Option<Micros> {
        let removed = self.removed.remove(&server)?;
        self.retire(server);
        Some(removed.notified_at)
    }
}
