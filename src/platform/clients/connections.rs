//! Connections of callers: accepting, making room, closing, and what an end of a connection means for its calls.

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

/// A caller that confirms releases does so within this.
const CONFIRM_TIMEOUT: Micros = 200_000;
/// A connection is closed under a caller's next message less often where it was without use for this long: many callers go on as
/// soon as they have their answer.
const MIN_IDLE_TIME: Micros = 20_000;
/// A connection on which no request was taken for this long from its start is closed: its peer says nothing, or nothing that
/// makes sense, and holds a descriptor.
const UNUSED_TIMEOUT: Micros = 2_000_000;
/// A caller's message that has begun comes whole within this.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// One connection of a caller.
pub(super) struct ClientConnection {
    pub outbox: Rc<Outbox>,
    pub peer: IpAddr,
    /// Calls requested on it and not answered yet: its end cancels them.
    pub pending: BTreeSet<CallId>,
    /// Calls requested on it that are established, and the answers that said so: their releases go out on it first.
    pub established: BTreeMap<CallId, Ticket>,
    opened_at: Micros,
    /// When a request was last taken on it, or answered; `None`: never.
    pub last_used_at: Option<Micros>,
    /// Releases written on it that its peer has not confirmed.
    pub unconfirmed_releases: HashMap<Tag, Release>,
    /// Its peer confirms releases.
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

    /// Whether it may be closed: nothing is pending on it, everything was written that its peer is to have, and it is not closing
    /// already.
    fn may_close(&self) -> bool {
        self.pending.is_empty() && self.outbox.is_empty() && self.outbox.is_open()
    }

    /// Whether nothing is pending or established on it, nothing was said a moment ago, and no release is to be confirmed.
    fn is_idle(&self, now: Micros) -> bool {
        let is_past_idle_time = now >= self.last_used_at.unwrap_or(self.opened_at) + MIN_IDLE_TIME;
        let awaits_confirmation =
            self.unconfirmed_releases.values().any(|release| now < release.sent_at + CONFIRM_TIMEOUT);
        self.may_close() && self.established.is_empty() && is_past_idle_time && !awaits_confirmation
    }

    /// Whether it never was of any use.
    fn is_unused(&self, now: Micros) -> bool {
        self.last_used_at.is_none() && self.may_close() && now > self.opened_at + UNUSED_TIMEOUT
    }
}

/// Accepts connections until this process hands over to another. What is queued then is still taken: a listener that closes
/// resets it, and new connections come to the other process from then on.
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
                // What made way is closed before the next comes: else a burst would take all descriptors.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "accept");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    accept_queued(&frontend, listener);
    std::future::pending().await
}

/// Takes what is queued at a listener that is to close, without waiting in between.
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
    frontend.borrow_mut().clients.add_connection(id, connection);
    let on_line = |line: Line| frontend.borrow_mut().handle_client_message(id, line);
    let _ = link::run(&mut stream, &outbox, MESSAGE_TIMEOUT, reader(on_line), || {}).await;
    frontend.borrow_mut().handle_client_end(id);
    outbox.flush_without_blocking(&stream);
}

impl PlatformFrontend {
    /// A caller's connection has ended.
    fn handle_client_end(&mut self, id: ConnectionId) {
        let Some(connection) = self.clients.connections.remove(&id) else { return };
        tracing::debug!(target: "link", id, "a caller's connection has ended");
        for call in &connection.pending {
            self.clients.remove_call(*call);
            self.feed(Input::SetupCancelled(*call));
        }
        let mut has_partial_answer = false;
        for (call, answer) in &connection.established {
            // Guards against a caller's leaving that crosses the answer in our outbox: nobody will ever read it, so the call is
            // released now.
            if !connection.outbox.has_written(*answer) {
                has_partial_answer |= !connection.outbox.withdraw(*answer);
                self.end_call_by_caller(*call);
            }
        }
        let outbox = connection.outbox.clone();
        self.clients.resend_unconfirmed(id, connection);
        if has_partial_answer {
            outbox.clear(); // only now: what was dropped would count as written
        }
    }
}

impl Clients {
    fn add_connection(&mut self, id: ConnectionId, connection: ClientConnection) {
        let peer = connection.peer;
        self.connections.insert(id, connection);
        self.send_pending_releases(id, |caller| caller == peer);
    }

    /// Makes room for one more connection; false if there is none, for more would take the descriptors that the servers' side
    /// needs. Connections on which nothing is pending make way, first those that were never of any use, then those that have
    /// been without use for longest: some callers ask once and never close, and strangers connect by the hundreds and say
    /// nothing (found on days with both: all places were taken for good, and further callers were turned away unheard).
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

    /// Closes every connection; what comes before its end is still rejected in words.
    pub(in crate::platform) fn close_all(&mut self) {
        for connection in self.connections.values() {
            connection.outbox.close_if_idle();
        }
    }

    /// How many connections there are.
    pub(in crate::platform) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Closes connections of no use, and drops releases that have expired.
    pub(in crate::platform) fn maintain(&mut self, now: Micros) {
        self.expire_releases(now);
        for connection in self.connections.values().filter(|connection| connection.is_unused(now)) {
            connection.outbox.close_if_idle();
        }
    }

    /// Records that a connection is in use.
    pub(super) fn record_use(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_used_at = Some(clock::now());
        self.send_pending_releases(id, |_| true);
    }
}
