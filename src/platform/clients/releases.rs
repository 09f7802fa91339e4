//! Releases of established calls towards their callers. A release is sent on a suitable connection, kept until it is
//! confirmed, sent again if the connection ends before that, and dropped when it expires.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::call_trace::TraceStep;
use crate::clock;
use crate::link::Ticket;
use crate::{CallId, Micros};

use super::super::ConnectionId;
use super::super::line::{Tag, cause, encode};
use super::Clients;
use super::connections::ClientConnection;

/// Longest time for which an unconfirmed release is kept. A later release would have no effect.
const RELEASE_LIFETIME: Micros = 8_000_000;
/// Maximum number of releases that are kept; beyond it the oldest is dropped.
const MAX_RELEASES: usize = 10_000;
/// If a connection ends less than this after a release was sent on it, the peer may not have read the release, even
/// if it never confirms releases.
const UNREAD_WINDOW: Micros = 1_000_000;

/// The release of an established call that has ended.
pub(super) struct Release {
    pub call: CallId,
    pub peer: IpAddr,
    /// When it was last queued on a connection.
    pub sent_at: Micros,
    /// Its ticket in that connection's outbox.
    ticket: Option<Ticket>,
    pub expires_at: Micros,
    /// Whether the call ended normally; otherwise it was lost.
    pub completed: bool,
    /// Whether the other process of an upgrade had no connection for it either.
    pub is_returned: bool,
    message: Vec<u8>,
}

/// When a release expires.
pub(super) struct ReleaseExpiry {
    at: Micros,
    tag: Tag,
}

impl Release {
    pub fn new(call: CallId, tag: Tag, peer: IpAddr, completed: bool) -> Release {
        let cause = if completed { cause::NORMAL } else { cause::TEMPORARY_FAILURE };
        let message = encode("FINISH", tag, &[], Some(cause), None);
        let now = clock::now();
        let expires_at = now + RELEASE_LIFETIME;
        Release { call, peer, sent_at: now, ticket: None, expires_at, completed, is_returned: false, message }
    }

    /// Shortens its lifetime to what is left of it according to the other process of an upgrade.
    pub fn limit_lifetime(&mut self, expires_in: Option<Micros>) {
        let left = expires_in.unwrap_or(RELEASE_LIFETIME).min(RELEASE_LIFETIME);
        self.expires_at = clock::now() + left;
    }
}

impl Clients {
    /// Releases an established call to its caller.
    pub(in crate::platform) fn release_call(&mut self, call: CallId, completed: bool) {
        let Some(caller) = self.remove_call(call) else { return };
        let release = Release::new(call, caller.tag, caller.peer, completed);
        self.add_release(caller.connection, caller.tag, release);
    }

    pub(super) fn add_release(&mut self, connection: ConnectionId, tag: Tag, release: Release) {
        let expiry = ReleaseExpiry { at: release.expires_at, tag };
        let position = self.release_expiries.partition_point(|earlier| earlier.at <= expiry.at);
        self.release_expiries.insert(position, expiry);
        self.send_or_queue(connection, tag, release);
        while self.release_expiries.len() > MAX_RELEASES {
            self.drop_oldest_release();
        }
    }

    /// Sends a release on the best connection. Without one it is passed to the other process of an upgrade, or else
    /// queued until there is a connection.
    fn send_or_queue(&mut self, preferred: ConnectionId, tag: Tag, release: Release) {
        let unsent = match self.best_connection(preferred, release.peer) {
            Some(id) => self.send_release(id, tag, release),
            None => Some(release),
        };
        let Some(release) = unsent else { return };
        if self.pass_to_other_process(tag, &release) {
            return;
        }
        self.trace.record(clock::now(), release.call, TraceStep::ReleasePending);
        self.pending_releases.push_back((tag, release));
    }

    /// The connection for a release: the preferred one, else another of the same peer. Any other peer would read the
    /// release without effect, and the call's own caller would never get it.
    fn best_connection(&self, preferred: ConnectionId, peer: IpAddr) -> Option<ConnectionId> {
        let is_eligible =
            |connection: &ClientConnection| connection.outbox.is_open() && connection.peer == peer;
        if self.connections.get(&preferred).is_some_and(is_eligible) {
            return Some(preferred);
        }
        let eligible = self.connections.iter().filter(|(_, connection)| is_eligible(connection));
        let rank =
            |(id, connection): &(&ConnectionId, &ClientConnection)| (connection.last_used_at.is_none(), **id);
        eligible.min_by_key(rank).map(|(id, _)| *id)
    }

    /// Queues a release on a connection, which keeps it until it is confirmed; returns it if the connection is
    /// closed.
    fn send_release(&mut self, id: ConnectionId, tag: Tag, mut release: Release) -> Option<Release> {
        let Some(connection) = self.connections.get_mut(&id) else { return Some(release) };
        release.ticket = connection.outbox.push(&release.message);
        if release.ticket.is_none() {
            return Some(release);
        }
        release.sent_at = clock::now();
        release.is_returned = false;
        self.trace.record(release.sent_at, release.call, TraceStep::ReleaseQueuedOn(id));
        connection.unconfirmed_releases.insert(tag, release);
        self.unconfirmed_releases.insert(tag, id);
        None
    }

    /// Sends the pending releases of this connection's peer on it.
    pub(super) fn send_pending_releases(&mut self, id: ConnectionId) {
        let Some(peer) = self.connections.get(&id).map(|connection| connection.peer) else { return };
        for (tag, release) in std::mem::take(&mut self.pending_releases) {
            let unsent =
                if release.peer == peer { self.send_release(id, tag, release) } else { Some(release) };
            self.pending_releases.extend(unsent.map(|release| (tag, release)));
        }
    }

    /// Records that a caller has confirmed a release. The confirmation may come on another connection than the
    /// release.
    pub(super) fn confirm_release(&mut self, id: ConnectionId, tag: Tag) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.confirms_releases = true;
        }
        let Some(sent_on) = self.unconfirmed_releases.remove(&tag) else { return };
        let connection = self.connections.get_mut(&sent_on);
        if let Some(release) = connection.and_then(|connection| connection.unconfirmed_releases.remove(&tag))
        {
            self.trace.record(clock::now(), release.call, TraceStep::ReleaseConfirmedOn(id));
        }
    }

    /// Sends the unconfirmed releases of an ended connection again. The caller may have closed the connection while a
    /// release was still in the outbox or in transit.
    pub(super) fn resend_unconfirmed(&mut self, id: ConnectionId, connection: ClientConnection) {
        let now = clock::now();
        let unconfirmed: HashMap<Tag, Release> = connection.unconfirmed_releases;
        for (tag, release) in unconfirmed {
            self.unconfirmed_releases.remove(&tag);
            // A peer that never confirms is not sent a release twice if it had time to read it.
            let is_written = release.ticket.is_some_and(|ticket| connection.outbox.has_written(ticket));
            let may_be_unread = !is_written || now < release.sent_at + UNREAD_WINDOW;
            if connection.confirms_releases || may_be_unread {
                self.trace.record(now, release.call, TraceStep::ReleaseUnconfirmedOn(id));
                self.send_or_queue(id, tag, release);
            }
        }
    }

    /// Drops expired releases.
    pub(super) fn expire_releases(&mut self, now: Micros) {
        while self.release_expiries.front().is_some_and(|expiry| expiry.at <= now) {
            self.drop_oldest_release();
        }
    }

    /// Drops the oldest release. If it was sent on a connection that is still open, it counts as confirmed.
    fn drop_oldest_release(&mut self) {
        let Some(ReleaseExpiry { at, tag }) = self.release_expiries.pop_front() else { return };
        let sent_on = self.unconfirmed_releases.get(&tag);
        if let Some(connection) = sent_on.and_then(|id| self.connections.get_mut(id))
            && connection.unconfirmed_releases.get(&tag).is_some_and(|release| release.expires_at == at)
        {
            connection.unconfirmed_releases.remove(&tag);
            self.unconfirmed_releases.remove(&tag);
        }
        let mut pending = self.pending_releases.iter();
        let unsent = pending.position(|(other, release)| *other == tag && release.expires_at == at);
        if let Some((tag, release)) = unsent.and_then(|position| self.pending_releases.remove(position)) {
            self.trace.record(clock::now(), release.call, TraceStep::ReleaseExpired);
            let steps = self.trace.steps_of(release.call);
            tracing::warn!(target: "call", call = release.call.0, %tag, %steps, "no caller came to hear its end");
        }
    }
}
