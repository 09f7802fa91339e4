//! Attempts and releases on the connections to setup servers.

use bytes::Bytes;

use crate::call_trace::TraceStep;
use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{AttemptId, Input};
use crate::{CallId, Cause, LoadReport, Micros, Outcome, ServerId};

use super::super::line::Tag;
use super::super::{ConnectionId, PlatformFrontend};
use super::connection::{QueuedMessage, QueuedSetup};
use super::{AttemptEntry, CallKey, MAX_RELEASES, Servers};

impl PlatformFrontend {
    /// Sends an attempt on a connection to the server, at once or as soon as the connection can write it.
    pub(in crate::platform) fn send_attempt(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        time_left: Micros,
        description: Bytes,
    ) {
        let now = clock::now();
        let Some(caller) = self.clients.caller(attempt.call) else { return };
        let setup = QueuedSetup {
            attempt,
            expires_at: now + time_left,
            tag: caller.tag,
            class: caller.class,
            class_json: caller.class_json.clone(),
            number_json: caller.number_json.clone(),
            description,
        };
        let key = CallKey { server, tag: setup.tag };
        let Some(id) = self.usable_connection(server, key.tag, now) else {
            let (outcome, cause, load) = (Outcome::Unreachable, Cause::Unspecified, LoadReport::default());
            return self.driver.inputs.push_back(Input::AttemptEnded { attempt, outcome, cause, load });
        };
        let entry = AttemptEntry { attempt, connection: id, is_established: false };
        self.servers.attempts.insert(key, entry);
        self.servers.by_call.insert(attempt.call, key);
        self.driver.trace.record(now, attempt.call, TraceStep::AttemptOn(id));
        self.servers.queue(id, QueuedMessage::Setup(setup));
    }

    /// Releases an established call at its server, on any usable connection. If the server was removed from the list
    /// since the call was set up, only the call's own connection is known to lead to it.
    pub(in crate::platform) fn release_at_server(&mut self, attempt: AttemptId, server: ServerId) {
        let own_connection = self.servers.open_connection_of(attempt.call);
        let Some(key) = self.servers.remove_call(attempt.call) else { return };
        match own_connection.filter(|id| self.servers.connections[id].removed_at.is_some()) {
            Some(id) => self.servers.queue(id, QueuedMessage::Release(key.tag)),
            None => self.send_release(server, key.tag),
        }
    }

    pub(super) fn send_release(&mut self, server: ServerId, tag: Tag) {
        match self.usable_connection(server, tag, clock::now()) {
            Some(id) => self.servers.queue(id, QueuedMessage::Release(tag)),
            None if self.directory.address(server).is_some() => self.servers.add_pending_release(server, tag),
            None => {} // the server is not listed: there is no way to it
        }
    }

    /// Handles messages that were still queued on a connection that failed or has ended. The set-ups were never
    /// written, so they end as unreachable; the releases are sent on another connection.
    pub(super) fn return_queued(&mut self, server: ServerId, queued: Vec<QueuedMessage>) {
        for message in queued {
            match message {
                QueuedMessage::Setup(setup) => self.end_unsent(setup.attempt),
                QueuedMessage::Release(tag) => self.send_release(server, tag),
                QueuedMessage::HealthCheck(_) => {} // expires and counts as failed
            }
        }
    }

    /// Withdraws the unsent set-ups for a server that must get no new calls: those still queued for a connection, and
    /// those in an outbox of which nothing was written.
    pub(in crate::platform) fn withdraw_unsent(&mut self, server: ServerId) {
        for attempt in self.servers.take_unsent(server) {
            self.end_unsent(attempt);
        }
    }

    fn end_unsent(&mut self, attempt: AttemptId) {
        self.end_attempt(attempt, Outcome::Unreachable, Cause::Unspecified, LoadReport::default());
    }

    /// Reports the end of an attempt, or of the call established by it, to the core.
    pub(in crate::platform) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        cause: Cause,
        load: LoadReport,
    ) {
        self.servers.remove_call(attempt.call);
        self.feed(Input::AttemptEnded { attempt, outcome, cause, load });
    }
}

impl Servers {
    /// Cancels an attempt that is not answered yet.
    pub(in crate::platform) fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(key) = self.call_key(attempt.call) else { return };
        let entry = self.attempts.get(&key);
        let Some(entry) = entry.filter(|entry| entry.attempt == attempt && !entry.is_established) else {
            return;
        };
        let id = entry.connection;
        self.remove_call(attempt.call);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.cancel(attempt, key.tag);
        }
    }

    /// The connection on which a call was set up, if it is open.
    fn open_connection_of(&self, call: CallId) -> Option<ConnectionId> {
        let id = self.attempts.get(&self.call_key(call)?)?.connection;
        self.connections.get(&id).filter(|connection| connection.outbox.is_open()).map(|_| id)
    }

    /// Releases an established call on the connection on which it was set up, if that is open.
    pub(in crate::platform) fn release_if_connected(&mut self, attempt: AttemptId) {
        let own_connection = self.open_connection_of(attempt.call);
        if let (Some(key), Some(id)) = (self.remove_call(attempt.call), own_connection) {
            self.queue(id, QueuedMessage::Release(key.tag));
        }
    }

    fn add_pending_release(&mut self, server: ServerId, tag: Tag) {
        let pending = self.pending_releases.entry(server).or_default();
        if pending.len() >= MAX_RELEASES {
            pending.pop_front();
        }
        pending.push_back(tag);
    }

    /// Withdraws all set-ups for a server of which no byte was written, and returns their attempts.
    fn take_unsent(&mut self, server: ServerId) -> Vec<AttemptId> {
        let mut unsent = Vec::new();
        let attempts = &self.attempts;
        for connection in self.connections.values_mut().filter(|connection| connection.server == server) {
            connection.queued.retain(|message| match message {
                QueuedMessage::Setup(setup) => {
                    unsent.push(setup.attempt);
                    false
                }
                QueuedMessage::HealthCheck(_) | QueuedMessage::Release(_) => true,
            });
            for tag in connection.unanswered.keys().copied().collect::<Vec<_>>() {
                let entry = attempts.get(&CallKey { server, tag });
                unsent.extend(entry.filter(|_| connection.withdraw(tag)).map(|entry| entry.attempt));
            }
        }
        unsent
    }
}
