//! The pool of connections to each setup server: choice of the connection for a message, dialling and back-off, and
//! the ends of connections.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::clock;
use crate::gateway::AttemptId;
use crate::link::{self, EndedBy, Outbox};
use crate::{Cause, LoadReport, Micros, Outcome, ServerId};

use super::super::heartbeat_monitor::HeartbeatMonitor;
use super::super::line::{Line, Tag, reader};
use super::super::{ConnectionId, PlatformFrontend, SharedFrontend};
use super::connection::{QueuedMessage, ServerConnection};
use super::{CallKey, ServerEndReason};

/// Longest time from the first byte of a server's message to its last. Servers write each message at once, and an
/// incomplete line delays the answers of all calls behind it.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a server has detected the end of a connection whose link works.
pub(super) const CLOSE_PROPAGATION_TIME: Micros = 50_000;
/// Scheduler turns after which a connection that this process closes has ended; its end does not depend on the peer.
const CLOSE_TURNS: usize = 64;
/// First and longest delay between dials to a server that cannot be reached.
const MIN_BACKOFF: Micros = 100_000;
const MAX_BACKOFF: Micros = 1_000_000;
/// Maximum number of connections to one server at a time.
const MAX_CONNECTIONS: usize = 3;
/// A connection other than the newest is used only if its last message is not older than this. Servers send
/// unsolicited reports, so a working connection has recent messages.
pub(super) const RECENT_MESSAGE_AGE: Micros = 500_000;

/// The delay before the next dial to a server that could not be reached.
pub(super) struct Backoff {
    delay: Micros,
    not_before: Micros,
}

async fn run_connection(
    frontend: SharedFrontend,
    id: ConnectionId,
    address: SocketAddr,
    dial_timeout: Duration,
    outbox: Rc<Outbox>,
) {
    let mut stream = match tokio::time::timeout(dial_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return frontend.borrow_mut().handle_dial_failure(id, Some(e.kind())),
        Err(_) => return frontend.borrow_mut().handle_dial_failure(id, None),
    };
    // Reads all pending input first, so that set-ups whose callers have cancelled or disconnected are not sent.
    link::read_pending_input().await;
    frontend.borrow_mut().handle_connection_up(id);
    tracing::debug!(target: "link", id, %address, "connected to server");
    let on_line = |line: Line| {
        frontend.borrow_mut().handle_server_message(id, line);
        true
    };
    let on_drained = || {
        let mut frontend = frontend.borrow_mut();
        frontend.count_written_setups(id);
        if let Some(connection) = frontend.servers.connections.get_mut(&id) {
            connection.flush();
        }
    };
    let ended = link::run(&mut stream, &outbox, MESSAGE_TIMEOUT, reader(on_line), on_drained).await;
    tracing::debug!(target: "link", id, %address, ?ended, "connection to server ended");
    frontend.borrow_mut().handle_connection_end(id, &ended);
}

impl PlatformFrontend {
    /// The connection for a new message to a server: the newest usable connection, or an older one with a recent
    /// message; otherwise one that is being dialled; otherwise a new one. `None` if a new one cannot be dialled, for
    /// example during the back-off after a failed dial.
    pub(super) fn usable_connection(
        &mut self,
        server: ServerId,
        tag: Tag,
        now: Micros,
    ) -> Option<ConnectionId> {
        let active = self.servers.connections.iter().rev();
        let active = active.filter(|(_, connection)| connection.server == server && !connection.is_retired);
        let is_eligible = |position: usize, connection: &ServerConnection| {
            let is_recent = position == 0 || now < connection.last_received_at + RECENT_MESSAGE_AGE;
            connection.is_usable(now) && !connection.has_cancelled(tag, now) && is_recent
        };
        let eligible =
            active.enumerate().filter(|(position, (_, connection))| is_eligible(*position, connection));
        let eligible: Vec<(ConnectionId, bool)> =
            eligible.map(|(_, (id, connection))| (*id, connection.is_up)).collect();
        let best = eligible.iter().find(|(_, is_up)| *is_up).or(eligible.first());
        best.map(|(id, _)| *id).or_else(|| self.dial(server, now))
    }

    /// Dials a server, except during the back-off after a failed dial. At the maximum number of connections, the idle
    /// one with the oldest last message is closed, and dialling begins when it has ended.
    pub(super) fn dial(&mut self, server: ServerId, now: Micros) -> Option<ConnectionId> {
        let address = self.directory.address(server)?;
        if self.servers.backoffs.get(&server).is_some_and(|backoff| now < backoff.not_before) {
            return None;
        }
        let listed = self.servers.connections_of(server).filter(|(_, c)| c.removed_at.is_none());
        let is_full = listed.count() >= MAX_CONNECTIONS;
        let replaced = if is_full { Some(self.replace_idle_connection(server)?) } else { None };
        let max_silence = self.servers.heartbeats.get(&server).and_then(HeartbeatMonitor::max_silence);
        let connection = ServerConnection::new(server, address, now, max_silence);
        let (id, outbox) = (self.new_connection_id(), connection.outbox.clone());
        self.servers.connections.insert(id, connection);
        let (frontend, dial_timeout) = (self.shared(), self.servers.dial_timeout);
        tokio::task::spawn_local(async move {
            if let Some(replaced) = replaced {
                wait_for_end(&frontend, replaced).await;
            }
            if let Some(connection) = frontend.borrow_mut().servers.connections.get_mut(&id) {
                connection.dialled_at = Some(clock::now());
            }
            run_connection(frontend, id, address, dial_timeout, outbox).await;
        });
        Some(id)
    }

    /// Closes the idle connection with the oldest last message and returns its id; `None` if no connection is idle.
    fn replace_idle_connection(&mut self, server: ServerId) -> Option<ConnectionId> {
        let listed = self.servers.connections_of(server).filter(|(_, c)| c.removed_at.is_none());
        let idle = listed.filter(|(_, connection)| connection.is_idle());
        let (id, _) = idle.min_by_key(|(_, connection)| connection.last_received_at)?;
        let connection = self.servers.connections.get_mut(&id)?;
        connection.outbox.close();
        connection.is_replaced = true;
        Some(id)
    }

    fn handle_connection_up(&mut self, id: ConnectionId) {
        let now = clock::now();
        let Some(connection) = self.servers.connections.get_mut(&id) else { return };
        connection.is_up = true;
        connection.last_received_at = now;
        connection.silent_since = now;
        let server = connection.server;
        self.servers.backoffs.remove(&server);
        let pending = self.servers.pending_releases.remove(&server).unwrap_or_default();
        connection.queued.extend(pending.into_iter().map(QueuedMessage::Release));
        connection.flush();
        self.servers.complete_redial(id, now);
    }

    fn handle_dial_failure(&mut self, id: ConnectionId, error: Option<io::ErrorKind>) {
        let now = clock::now();
        let Some(connection) = self.servers.connections.remove(&id) else { return };
        let server = connection.server;
        let first = Backoff { delay: MIN_BACKOFF, not_before: now };
        let backoff = self.servers.backoffs.entry(server).or_insert(first);
        backoff.not_before = now + backoff.delay;
        backoff.delay = (backoff.delay * 2).min(MAX_BACKOFF);
        let name = self.directory.name(server);
        let reason = error.map_or("timed out".into(), |e| e.to_string());
        tracing::info!(server = name, address = %connection.address, error = reason, "dial failed");
        self.return_queued(server, connection.queued);
        let is_open = |(_, other): (ConnectionId, &ServerConnection)| other.is_up && other.outbox.is_open();
        let has_open = self.servers.connections_of(server).any(is_open);
        if error == Some(io::ErrorKind::ConnectionRefused) && !has_open {
            // The dial was refused and no other connection is open: the server's process has ended, and its calls
            // with it. A draining server does not listen either, but keeps its connections until its calls have ended
            // (on a recorded day, one refused dial ended 81 calls 2 s before their server did).
            self.end_calls_at_server(server, now, ServerEndReason::Refused);
        }
    }

    /// Counts the set-ups that have been written in full to the socket.
    fn count_written_setups(&mut self, id: ConnectionId) {
        let Some(connection) = self.servers.connections.get_mut(&id) else { return };
        let outbox = connection.outbox.clone();
        while let Some(setup) = connection.unwritten.front().filter(|setup| outbox.has_written(setup.ticket))
        {
            self.driver.gateway.record_attempt_written(setup.class);
            connection.unwritten.pop_front();
        }
    }

    fn handle_connection_end(&mut self, id: ConnectionId, ended: &io::Result<EndedBy>) {
        let now = clock::now();
        self.count_written_setups(id);
        let Some(mut connection) = self.servers.connections.remove(&id) else { return };
        let server = connection.server;
        let is_listed = connection.removed_at.is_none();
        if is_listed {
            self.servers.schedule_redial_after_end(&connection, ended, now);
        }
        for release in std::mem::take(&mut connection.unconfirmed_releases) {
            // Not sent if another call with that id is at the server by now.
            if !self.servers.attempts.contains_key(&CallKey { server, tag: release.tag }) {
                self.send_release(server, release.tag);
            }
        }
        for (tag, ticket) in std::mem::take(&mut connection.unanswered) {
            // A set-up of which nothing was written had no effect and may be retried at once.
            let is_unwritten = connection.outbox.withdraw(ticket);
            let outcome = if is_unwritten { Outcome::Unreachable } else { Outcome::Reset };
            let entry = self.servers.attempts.get(&CallKey { server, tag });
            if let Some(entry) = entry.filter(|entry| entry.connection == id && !entry.is_established) {
                self.end_attempt(entry.attempt, outcome, Cause::Unspecified, LoadReport::default());
            }
        }
        self.return_queued(server, connection.queued);
        if !is_listed {
            let attempts = self.servers.attempts_on(id);
            self.end_attempts_at_removed_server(server, attempts);
        }
        self.maintain_servers(clock::now());
    }

    /// Dials a server that is in use and has no usable connection, and retires connections that others have replaced.
    pub(super) fn maintain_connections(&mut self, server: ServerId, now: Micros) {
        let address = self.directory.address(server);
        let (mut has_usable, mut has_usable_up, mut has_any) = (false, false, false);
        for connection in self.servers.connections.values_mut().filter(|c| c.server == server) {
            connection.is_retired |= Some(connection.address) != address; // the server's address has changed
            let is_usable = connection.is_usable(now);
            has_any |= !connection.is_retired;
            has_usable |= is_usable;
            has_usable_up |= is_usable && connection.is_up;
        }
        let has_calls = self.servers.has_calls(server);
        if has_usable_up {
            self.servers.retire_replaceable(server, has_calls, now);
        }
        let is_wanted = self.directory.is_up(server) || has_calls;
        if is_wanted && (!has_any || !has_usable) {
            self.dial(server, now);
        }
        self.redial_if_due(server, now);
    }
}

impl super::Servers {
    /// Retires suspect connections of a server, and all but the newest usable one if the server has no calls. Called
    /// only when there is a usable connection.
    fn retire_replaceable(&mut self, server: ServerId, has_calls: bool, now: Micros) {
        let mut is_newest = true;
        let newest_first = self.connections.values_mut().rev();
        for connection in newest_first.filter(|connection| connection.server == server && connection.is_up) {
            connection.is_retired |= connection.is_suspect(now) || !is_newest && !has_calls;
            is_newest &= connection.is_retired;
        }
    }

    /// The attempts on a connection, pending or established.
    fn attempts_on(&self, id: ConnectionId) -> BTreeSet<AttemptId> {
        let entries = self.attempts.values().filter(|entry| entry.connection == id);
        entries.map(|entry| entry.attempt).collect()
    }

    /// Retires all connections of a server.
    pub(super) fn retire(&mut self, server: ServerId) {
        for connection in self.connections.values_mut().filter(|connection| connection.server == server) {
            connection.is_retired = true;
        }
    }

    /// Retires the connections of a server that has no calls.
    pub(in crate::platform) fn close_idle(&mut self, server: ServerId) {
        if !self.has_calls(server) {
            self.retire(server);
        }
    }

    /// Closes retired connections on which nothing is unanswered or queued, or whose heartbeat has stopped. Those to a
    /// removed server are kept while it has calls.
    pub(super) fn close_retired(&mut self, now: Micros) {
        let any_removed = self.connections.values().any(|connection| connection.removed_at.is_some());
        let with_calls = if any_removed { self.connections_with_calls() } else { BTreeSet::new() };
        for (id, connection) in &mut self.connections {
            connection.expire_confirmed(now);
            // No answer comes in time on a broken connection, and another is up. Closing it ends its set-ups now, so
            // that retries can still succeed in time. (On recorded days with silent connections, set-ups were awaited
            // until they timed out, and their server was excluded as overloaded although it was not.)
            let is_done = connection.unanswered.is_empty() && connection.queued.is_empty();
            let is_kept = connection.removed_at.is_some() && with_calls.contains(id);
            if connection.is_retired && !is_kept && (is_done || connection.has_lost_heartbeat(now)) {
                let silent_ms = now.saturating_sub(connection.last_received_at) / 1000;
                tracing::debug!(target: "link", id, silent_ms, "closes a connection to a server");
                connection.outbox.close();
            }
        }
    }
}

/// Waits until a replaced connection has ended and its server has detected that. The server then repeats the report
/// of a call's end that crossed the close on the next connection.
async fn wait_for_end(frontend: &SharedFrontend, replaced: ConnectionId) {
    for _ in 0..CLOSE_TURNS {
        if !frontend.borrow().servers.connections.contains_key(&replaced) {
            break;
        }
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_micros(CLOSE_PROPAGATION_TIME)).await;
}
