//! Health checks, silence of servers with established calls, and servers that are gone.

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::Input;
use crate::{LoadReport, Micros, ServerId};

use super::super::line::Tag;
use super::super::{ConnectionId, PlatformFrontend};
use super::Servers;
use super::connection::{QueuedMessage, ServerConnection};

/// A health check that takes longer has failed.
const HEALTH_CHECK_TIMEOUT: Micros = 250_000;
/// Having maintained nothing for this long, this process was held up itself: silence meanwhile says nothing.
const STALL_THRESHOLD: Micros = 250_000;
/// A connection of a server with established calls that has been silent for this long gets a health check ...
const SILENCE_BEFORE_CHECK: Micros = 2_000_000;
/// ... and the server counts as out of reach after this. Ends of calls that it could not report must reach their callers within
/// 8 s all the same (found on a day with a zone cut off for 13 s: 12 calls were lost so).
const UNREACHABLE_TIMEOUT: Micros = 7_000_000;
/// From the notification that a server is gone until its calls count as cut: their releases may be on their way.
const REMOVAL_GRACE: Micros = 500_000;

/// A health check without an answer.
pub(super) struct HealthCheck {
    server: ServerId,
    expires_at: Micros,
}

/// A server that was notified as gone.
pub(super) struct RemovedServer {
    notified_at: Micros,
    /// When its calls count as cut.
    lost_at: Micros,
}

impl PlatformFrontend {
    /// Sends a health check to a server. Its end is reported as `Input::Load`.
    pub(in crate::platform) fn check_health(&mut self, server: ServerId) {
        let now = clock::now();
        let tag = self.servers.new_health_check_tag();
        let check = HealthCheck { server, expires_at: now + HEALTH_CHECK_TIMEOUT };
        self.servers.health_checks.insert(tag, check);
        if let Some(id) = self.usable_connection(server, tag, now) {
            self.servers.queue(id, QueuedMessage::HealthCheck(tag));
        }
    }

    /// Maintains the connections: expired health checks, servers that are gone, quiet connections, servers without one.
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

    /// Makes sure that silence of a server with established calls is noticed, and acts on it in time.
    fn detect_unreachable(&mut self, server: ServerId, now: Micros) {
        if !self.servers.has_established_calls(server) {
            return;
        }
        let last_received_at = *self.servers.last_received_at.entry(server).or_insert(now);
        if now > last_received_at + UNREACHABLE_TIMEOUT {
            let name = self.directory.name(server);
            tracing::warn!(server = name, "out of reach: its calls are over");
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
    /// An id that no call has; successive ones are far apart (a Weyl sequence).
    fn new_health_check_tag(&mut self) -> Tag {
        self.health_check_seed = self.health_check_seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        Tag::from_u64(self.health_check_seed)
    }

    /// Notes that the connections are maintained. What came while this process was held up is still to be read.
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

    /// The health check of this id has been answered; false: there is none.
    pub(super) fn finish_health_check(&mut self, tag: Tag) -> bool {
        self.health_checks.remove(&tag).is_some()
    }

    /// Removes the servers whose calls count as cut from now on.
    fn take_lost_servers(&mut self, now: Micros) -> Vec<ServerId> {
        let cut = self.removed.iter().filter(|(_, removed)| now >= removed.lost_at);
        let cut: Vec<ServerId> = cut.map(|(server, _)| *server).collect();
        for server in &cut {
            self.removed.remove(server);
        }
        cut
    }

    /// A server was notified as gone: nothing of it is left but, maybe, releases on their way.
    pub(in crate::platform) fn remove_server(&mut self, server: ServerId, now: Micros) {
        let removed = RemovedServer { notified_at: now, lost_at: now + REMOVAL_GRACE };
        self.removed.insert(server, removed);
        self.pending_releases.remove(&server);
        self.redial_from.remove(&server);
        self.heartbeats.remove(&server);
        self.backoffs.remove(&server);
    }

    /// When a server was notified as gone that is listed again before its calls have counted as cut. Its connections of before
    /// get nothing new.
    pub(in crate::platform) fn take_relisted(&mut self, server: ServerId) -> Option<Micros> {
        let removed = self.removed.remove(&server)?;
        self.retire(server);
        Some(removed.notified_at)
    }
}
