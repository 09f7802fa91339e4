//! Health checks, silent servers with established calls, and removed servers.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{AttemptId, Input};
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
pub(super) const UNREACHABLE_TIMEOUT: Micros = 7_000_000;
/// Time after its removal from the list in which a server must be heard, or its calls count as lost. Releases that it
/// sent before its end may still be in transit for as long.
pub(super) const REMOVAL_GRACE: Micros = 500_000;

/// Why the attempts and calls at a server are ended although the server has not ended them.
#[derive(Clone, Copy, Debug)]
pub(in crate::platform) enum ServerEndReason {
    /// The list no longer contains the server, and the connections on which the calls were set up are silent or have
    /// ended.
    Removed,
    /// The list has a later start time for the server than before.
    Restarted,
    /// The server refused a connection, and no other is open.
    Refused,
}

/// A health check that has not been answered.
pub(super) struct HealthCheck {
    server: ServerId,
    expires_at: Micros,
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
        self.end_lost_attempts(now);
        for server in self.servers.removed_with_connections() {
            self.check_silent_connections(server, now);
        }
        for server in self.directory.servers().collect::<Vec<_>>() {
            self.maintain_connections(server, now);
            self.detect_unreachable(server, now);
        }
        self.servers.close_retired(now);
    }

    /// Ends a server's attempts and calls from before `at`.
    pub(in crate::platform) fn end_calls_at_server(
        &mut self,
        server: ServerId,
        at: Micros,
        reason: ServerEndReason,
    ) {
        let calls = self.servers.call_count(server);
        if calls > 0 {
            let name = self.directory.name(server);
            tracing::info!(server = name, ?reason, calls, "ends the calls at a server");
        }
        self.feed(Input::ServerTerminated { server, at });
    }

    /// Handles a server's removal from the list. The list is seconds late, so the server may work: it may have returned
    /// already. Its connections get no new calls, and a health check on each of them shows whether it has its calls.
    pub(in crate::platform) fn handle_server_removed(&mut self, server: ServerId, now: Micros) {
        self.servers.remove_server(server, now);
        let with_calls = self.servers.connections_with_calls();
        let connections = self.servers.connections_of(server).map(|(id, _)| id);
        for id in connections.filter(|id| with_calls.contains(id)).collect::<Vec<_>>() {
            let tag = self.servers.new_health_check_tag();
            self.servers.queue(id, QueuedMessage::HealthCheck(tag));
        }
    }

    /// Ends attempts and calls at a removed server, on both sides.
    pub(super) fn end_attempts_at_removed_server(&mut self, server: ServerId, attempts: BTreeSet<AttemptId>) {
        if attempts.is_empty() {
            return;
        }
        let (name, calls) = (self.directory.name(server), attempts.len());
        let reason = ServerEndReason::Removed;
        tracing::info!(server = name, ?reason, calls, "ends the calls at a server");
        for attempt in attempts {
            self.feed(Input::AttemptLost(attempt));
        }
    }

    /// Ends the attempts and calls at removed servers that are not heard any more.
    fn end_lost_attempts(&mut self, now: Micros) {
        for (server, attempts) in self.servers.lost_attempts(now) {
            self.end_attempts_at_removed_server(server, attempts);
        }
        for server in self.servers.take_checked_servers(now) {
            let (name, calls) = (self.directory.name(server), self.servers.heard_call_count(server));
            if calls > 0 {
                tracing::info!(server = name, calls, "a server removed from the list works: its calls go on");
            }
        }
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
        self.check_silent_connections(server, now);
    }

    /// Sends a health check on each connection to a server that has been silent for some time.
    fn check_silent_connections(&mut self, server: ServerId, now: Micros) {
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

    /// The attempts at removed servers that count as lost: those on a connection on which the server is silent, and after
    /// the grace period those without an open connection.
    fn lost_attempts(&self, now: Micros) -> BTreeMap<ServerId, BTreeSet<AttemptId>> {
        let mut lost: BTreeMap<ServerId, BTreeSet<AttemptId>> = BTreeMap::new();
        if self.removed.is_empty() && self.removed_with_connections().is_empty() {
            return lost;
        }
        let is_past_grace = |server| self.removed.get(&server).is_some_and(|lost_at| now >= *lost_at);
        for (key, entry) in &self.attempts {
            let connection = self.connections.get(&entry.connection);
            if connection.map_or_else(|| is_past_grace(key.server), |connection| connection.is_lost(now)) {
                lost.entry(key.server).or_default().insert(entry.attempt);
            }
        }
        lost
    }

    /// Takes out the removed servers whose grace period is over.
    fn take_checked_servers(&mut self, now: Micros) -> Vec<ServerId> {
        let (checked, rest) = std::mem::take(&mut self.removed).into_iter().partition(|(_, at)| now >= *at);
        self.removed = rest;
        let checked: BTreeMap<ServerId, Micros> = checked;
        checked.into_keys().collect()
    }

    /// Number of calls at a server on connections on which it was heard after its removal.
    fn heard_call_count(&self, server: ServerId) -> usize {
        let is_heard = |connection: &ServerConnection| {
            connection.removed_at.is_some_and(|removed_at| connection.last_received_at > removed_at)
        };
        let entries = self.attempts.iter().filter(|(key, _)| key.server == server);
        entries.filter(|(_, entry)| self.connections.get(&entry.connection).is_some_and(is_heard)).count()
    }

    /// Servers with a connection from before their removal.
    fn removed_with_connections(&self) -> BTreeSet<ServerId> {
        let from_before = self.connections.values().filter(|connection| connection.removed_at.is_some());
        from_before.map(|connection| connection.server).collect()
    }

    /// Records that a server was removed from the list.
    fn remove_server(&mut self, server: ServerId, now: Micros) {
        self.removed.insert(server, now + REMOVAL_GRACE);
        self.retire(server);
        for connection in self.connections.values_mut().filter(|connection| connection.server == server) {
            connection.removed_at.get_or_insert(now);
        }
        self.pending_releases.remove(&server);
        self.redials.remove(&server);
        self.undetected_ends.remove(&server);
        self.heartbeats.remove(&server);
        self.backoffs.remove(&server);
    }
}
