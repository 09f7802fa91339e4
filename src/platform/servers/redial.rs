//! Redials: dials that make a server repeat the ends of calls that it has reported on a connection that has ended.
//!
//! A server reports a call's end on the connection of the set-up or on any open connection, and repeats it on the next
//! connection that is opened. A report that crosses the end of a connection is received only by that repetition, so
//! another connection is dialled after the end. The server must have detected the end by then, or it does not repeat the
//! report. If the link is broken, nobody knows when it detects the end, so dials are repeated while there are calls
//! whose ends it may report there.

use std::io;

use crate::clock;
use crate::link::EndedBy;
use crate::{Micros, ServerId};

use super::super::{NO_CONNECTION, PlatformFrontend};
use super::Servers;
use super::connection::ServerConnection;
use super::pool::CLOSE_PROPAGATION_TIME;

/// Interval between dials to a server that may not have detected the end of a connection: a call's end must reach its
/// caller within 8 s, and a dial may fail.
const REDIAL_INTERVAL: Micros = 2_500_000;
/// Time after which a server has detected the end of a connection even if its link is broken: it sends reports, and its
/// system gives up a connection on which nothing is acknowledged for so long.
const MAX_DETECTION_TIME: Micros = 16 * 60 * 1_000_000;

/// A dial to be made.
#[derive(Clone, Copy)]
pub(super) struct Redial {
    /// A connection that is dialled at this time or later serves.
    from: Micros,
    /// It follows an earlier one, because the server may not have detected the end of the connection by then.
    is_repeat: bool,
}

impl PlatformFrontend {
    /// Makes a server's redial if it is due.
    pub(super) fn redial_if_due(&mut self, server: ServerId, now: Micros) {
        let Some(redial) = self.servers.redials.get(&server).copied() else { return };
        let mut connections = self.servers.connections_of(server);
        let is_dialled = connections.any(|(_, connection)| connection.was_dialled_since(redial.from));
        drop(connections);
        if !self.servers.needs_redial(server, redial, now) {
            self.servers.redials.remove(&server);
        } else if !is_dialled && now >= redial.from {
            self.dial(server, now);
        }
    }

    /// Schedules redials to the servers of calls that were handed over, when the other process of this gatekeeper has
    /// ended. Its connections have ended with it, and a server may report the end of such a call on one of them.
    pub(in crate::platform) fn schedule_redials_after_handover(&mut self) {
        let now = clock::now();
        for server in self.directory.servers().collect::<Vec<_>>() {
            if self.servers.has_adopted_calls(server) {
                self.servers.schedule_redial(server, now);
                self.servers.record_undetected_end(server, now);
            }
        }
    }
}

impl Servers {
    /// Schedules a redial after the end of a connection to a listed server.
    pub(super) fn schedule_redial_after_end(
        &mut self,
        connection: &ServerConnection,
        ended: &io::Result<EndedBy>,
        now: Micros,
    ) {
        let server = connection.server;
        let may_be_undetected = connection.may_end_undetected(ended, now);
        if may_be_undetected {
            self.record_undetected_end(server, now);
        }
        // A replaced connection needs no redial if the server detects its end: its replacement is dialled after the
        // same delay.
        if self.has_established_calls(server) && (may_be_undetected || !connection.is_replaced) {
            self.schedule_redial(server, now);
        }
    }

    fn schedule_redial(&mut self, server: ServerId, now: Micros) {
        self.redials.insert(server, Redial { from: now + CLOSE_PROPAGATION_TIME, is_repeat: false });
    }

    /// Completes a server's redial if a connection that has come up serves, and schedules the next one if the server may
    /// still report on an ended connection.
    pub(super) fn complete_redial(&mut self, id: super::ConnectionId, now: Micros) {
        let Some(connection) = self.connections.get(&id) else { return };
        let server = connection.server;
        let redial = self.redials.get(&server);
        if !redial.is_some_and(|redial| connection.was_dialled_since(redial.from)) {
            return;
        }
        self.redials.remove(&server);
        let next = Redial { from: now + REDIAL_INTERVAL, is_repeat: true };
        if self.needs_redial(server, next, now) {
            self.redials.insert(server, next);
        }
    }

    fn needs_redial(&self, server: ServerId, redial: Redial, now: Micros) -> bool {
        if redial.is_repeat { self.may_report_on_ended(server, now) } else { self.has_calls(server) }
    }

    /// Records that a server may not have detected the end of a connection.
    fn record_undetected_end(&mut self, server: ServerId, now: Micros) {
        self.undetected_ends.insert(server, now + MAX_DETECTION_TIME);
    }

    /// Whether a server may report the end of a call on an ended connection: it may not have detected that end, and it has
    /// a call without an open connection of its own, whose end it reports on any that it takes for open.
    fn may_report_on_ended(&self, server: ServerId, now: Micros) -> bool {
        if self.undetected_ends.get(&server).is_none_or(|until| now >= *until) {
            return false;
        }
        let mut established =
            self.attempts.iter().filter(|(key, entry)| key.server == server && entry.is_established);
        established.any(|(_, entry)| !self.connections.contains_key(&entry.connection))
    }

    fn has_adopted_calls(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|(key, entry)| key.server == server && entry.connection == NO_CONNECTION)
    }
}
