//! Connections of callers: accepting, limiting and closing them, and the effects of a connection's end on its calls.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::Input;
use crate::link::{self, Outbox, Ticket};
use crate::{CallId, Micros};

use super::super::line::{Line, Tag, reader};
use super::super::{ConnectionId, PlatformFrontend, SharedFrontend};
use super::Clients;
use super::releases::Release;

/// How long a connection is kept open for the confirmation of a release.
const CONFIRM_TIMEOUT: Micros = 200_000;
/// A connection is idle only if it was unused for this long: many callers send their next request as soon as they
/// have an answer, and it would cross the close.
const MIN_IDLE_TIME: Micros = 20_000;
/// A connection on which no valid request came within this time of its start is closed, because it occupies a file
/// descriptor.
const UNUSED_TIMEOUT: Micros = 2_000_000;
/// Longest time from the first byte of a caller's message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection of a caller.
pub(super) struct ClientConnection {
    pub outbox: Rc<Outbox>,
    pub peer: IpAddr,
    /// Calls requested on it and not answered yet; they are cancelled when it ends.
    pub pending: BTreeSet<CallId>,
    /// Established calls that were requested on it, with the ticket of each answer. Their releases are preferably
    /// sent on it.
    pub established: BTreeMap<CallId, Ticket>,
    opened_at: Micros,
    /// When a request on it was last received or answered; `None` if no request was received.
    pub last_used_at: Option<Micros>,
    /// Releases queued on it that its peer has not confirmed.
    pub unconfirmed_releases: HashMap<Tag, Release>,
    /// Whether its peer has ever confirmed a release.
    pub confirms_releases: bool,
}

impl ClientConnection {
    fn new(peer: IpAddr, now: Micros) -> Self {
        ClientConnection {
            outbox: Rc::new(Outbox::default()),
            peer,
            pending: BTreeSet::new(),
            established: BTreeMap::new(),
            opened_at: now,
            last_used_at: None,
            unconfirmed_releases: HashMap::new(),
            confirms_releases: false,
        }
    }

    /// Whether it may be closed: no call is pending on it, everything queued has been written, and it is not closing
    /// already.
    fn may_close(&self) -> bool {
        self.pending.is_empty() && self.outbox.is_empty() && self.outbox.is_open()
    }

    /// Whether it has no pending or established calls, was not used recently, and waits for no confirmation of a
    /// release.
    fn is_idle(&self, now: Micros) -> bool {
        let is_past_idle_time = now >= self.last_used_at.unwrap_or(self.opened_at) + MIN_IDLE_TIME;
        let awaits_confirmation =
            self.unconfirmed_releases.values().any(|release| now < release.sent_at + CONFIRM_TIMEOUT);
        self.may_close() && self.established.is_empty() && is_past_idle_time && !awaits_confirmation
    }

    /// Whether it may be closed because no valid request has come on it in time.
    fn is_unused(&self, now: Micros) -> bool {
        self.last_used_at.is_none() && self.may_close() && now > self.opened_at + UNUSED_TIMEOUT
    }
}

/// Accepts connections until this process hands over to another. Connections in the listener's queue are still
/// accepted then, because closing the listener would reset them; later connections go to the other process.
pub async fn accept(frontend: SharedFrontend, listener: TcpListener) {
    let mut is_listening = frontend.borrow().is_listening.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = is_listening.wait_for(|is_listening| !is_listening) => break,
        };
        match accepted {
            Ok((stream, from)) => {
                if frontend.borrow_mut().clients.ensure_capacity() {
                    tokio::task::spawn_local(serve(frontend.clone(), stream, from.ip()));
                }
                // Lets a connection that was closed to make room end before the next is accepted. Otherwise a burst
                // of connections would use up the file descriptors.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    accept_queued(&frontend, listener);
    std::future::pending().await
}

/// Accepts the connections in the listener's queue without waiting, then closes the listener.
fn accept_queued(frontend: &SharedFrontend, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, from)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream
            && frontend.borrow_mut().clients.ensure_capacity()
        {
            tokio::task::spawn_local(serve(frontend.clone(), stream, from.ip()));
        }
    }
}

async fn serve(frontend: SharedFrontend, mut stream: TcpStream, peer: IpAddr) {
    let connection = ClientConnection::new(peer, clock::now());
    let outbox = connection.outbox.clone();
    let id = frontend.borrow_mut().new_connection_id();
    tracing::debug!(target: "link", id, %peer, "a caller has connected");
    frontend.borrow_mut().clients.add_connection(id, connection);
    let on_line = |line: Line| frontend.borrow_mut().handle_client_message(id, line);
    let _ = link::run(&mut stream, &outbox, MESSAGE_TIMEOUT, reader(on_line), || {}).await;
    frontend.borrow_mut().handle_client_end(id);
    outbox.flush_without_blocking(&stream);
}

impl PlatformFrontend {
    /// Handles the end of a caller's connection: cancels its pending calls, and resends its unconfirmed releases.
    fn handle_client_end(&mut self, id: ConnectionId) {
        let Some(connection) = self.clients.connections.remove(&id) else { return };
        tracing::debug!(target: "link", id, "a caller's connection has ended");
        for call in &connection.pending {
            self.clients.remove_call(*call);
            self.feed(Input::SetupCancelled(*call));
        }
        let mut has_partial_answer = false;
        for (call, answer) in &connection.established {
            // The caller disconnected before its answer was written, so it never learns that the call is established.
            // The call is released now.
            if !connection.outbox.has_written(*answer) {
                has_partial_answer |= !connection.outbox.withdraw(*answer);
                self.end_call_by_caller(*call);
            }
        }
        let outbox = connection.outbox.clone();
        self.clients.resend_unconfirmed(id, connection);
        if has_partial_answer {
            // Drops the partly written answer. This must come after the lines above, because dropped messages count
            // as written.
            outbox.clear();
        }
    }
}

impl Clients {
    fn add_connection(&mut self, id: ConnectionId, connection: ClientConnection) {
        self.report_connection(connection.peer);
        self.connections.insert(id, connection);
        self.send_pending_releases(id);
    }

    /// Ensures that one more connection may be accepted; false if not. The limit keeps file descriptors free for
    /// connections to servers. At the limit, a connection without pending calls is closed: first one on which no
    /// request ever came, then the one that was unused for longest. Some callers send one request and never close
    /// their connection, and hundreds of other clients connect and send nothing. On recorded days with both, they
    /// held all connections permanently, and further callers were refused.
    fn ensure_capacity(&mut self) -> bool {
        let half = (self.max_connections / 2).max(1);
        let max = if self.is_shared { half } else { self.max_connections };
        let connections = self.connections.values();
        if connections.filter(|connection| connection.outbox.is_open()).count() < max {
            return true;
        }
        let closable = self.connections.values().filter(|connection| connection.may_close());
        let rank = |connection: &&ClientConnection| {
            let used_at = connection.last_used_at;
            (used_at.is_some(), used_at.unwrap_or(connection.opened_at))
        };
        let Some(connection) = closable.min_by_key(rank) else { return false };
        connection.outbox.close_if_idle();
        true
    }

    /// Closes every idle connection.
    pub(in crate::platform) fn close_idle(&mut self, now: Micros) {
        for connection in self.connections.values().filter(|connection| connection.is_idle(now)) {
            connection.outbox.close_if_idle();
        }
    }

    /// Closes every connection as idle: requests that arrive before a connection's end are still answered with a
    /// rejection.
    pub(in crate::platform) fn close_all(&mut self) {
        for connection in self.connections.values() {
            connection.outbox.close_if_idle();
        }
    }

    /// Number of connections.
    pub(in crate::platform) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Closes connections without any valid request, and drops expired releases.
    pub(in crate::platform) fn maintain(&mut self, now: Micros) {
        self.expire_releases(now);
        for connection in self.connections.values().filter(|connection| connection.is_unused(now)) {
            connection.outbox.close_if_idle();
        }
    }

    /// Records that a connection is in use, and sends the pending releases on it.
    pub(super) fn record_use(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_used_at = Some(clock::now());
        self.send_pending_releases(id);
    }
}
