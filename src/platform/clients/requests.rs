//! Messages from callers, and the answers to them.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::call_trace::TraceStep;
use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{Input, SetupRequest};
use crate::operate::handover::HandoverMessage;
use crate::{CallId, Micros, Number, PoolId};

use super::super::line::{Line, Tag, Verb, cause, encode, key_value_pairs};
use super::super::{ConnectionId, PlatformFrontend};
use super::{Caller, Clients};

/// The retry-after of a request of a connection with too many pending calls.
const BEYOND_BOUNDS_RETRY_AFTER: Micros = 1_000_000;
/// The pool of first choice of a request that names none.
const NO_POOL: PoolId = PoolId(-1);

/// The values of a request's `extras` field that affect routing.
struct Extras {
    first_choice: PoolId,
    is_redial: bool,
}

impl Extras {
    /// Parses the field; `None` if any value is invalid. `extras` is not forwarded, so no server would detect the
    /// error.
    fn parse(text: &str) -> Option<Extras> {
        let mut extras = Extras { first_choice: NO_POOL, is_redial: false };
        for pair in text.split(';').filter(|pair| !pair.trim().is_empty()) {
            let (name, value) = key_value_pairs(pair).next()?;
            let value: i64 = value.parse().ok()?;
            match name {
                "dest" => extras.first_choice = PoolId(value),
                "width" if value < 1 => return None,
                "again" => extras.is_redial = value == 1,
                _ => {}
            }
        }
        Some(extras)
    }
}

impl PlatformFrontend {
    /// Handles a caller's message; false to end the connection.
    pub(super) fn handle_client_message(&mut self, id: ConnectionId, line: Line) -> bool {
        match (line.verb, line.tag) {
            (Verb::Start, Some(tag)) => self.handle_request(id, tag, line),
            // A request without a valid id cannot be answered.
            (Verb::Start, None) => return false,
            (Verb::Finish, Some(tag)) => self.handle_client_finish(id, tag),
            (Verb::Finished, Some(tag)) => self.clients.confirm_release(id, tag),
            (Verb::Echo, Some(tag)) => {
                let passed = i64::from(self.driver.is_ready());
                self.clients.write(id, &encode("ECHOED", tag, &[], Some(passed), None));
            }
            _ => {}
        }
        true
    }

    /// Handles a caller's cancellation of a request or release of an established call. If the call is unknown here,
    /// it may be at the other process of an upgrade.
    fn handle_client_finish(&mut self, id: ConnectionId, tag: Tag) {
        let confirmation = encode("FINISHED", tag, &[], None, None);
        if let Some(call) = self.clients.call_by_tag(tag) {
            self.driver.trace.record(clock::now(), call, TraceStep::CallerMessageOn(id));
            self.clients.record_use(id);
            self.clients.write(id, &confirmation);
            self.end_call_by_caller(call);
        } else if self.peer_process.role.is_shared() {
            self.clients.write(id, &confirmation);
            self.send_to_peer_process(&HandoverMessage::ReleasedByCaller { tag: tag.to_string() });
        }
    }

    /// Ends a call that its caller has cancelled while pending, or has released once established.
    pub(in crate::platform) fn end_call_by_caller(&mut self, call: CallId) {
        self.clients.remove_call(call);
        self.feed(Input::SetupCancelled(call));
        self.servers.remove_call(call);
    }

    fn handle_request(&mut self, id: ConnectionId, tag: Tag, line: Line) {
        let connection = self.clients.connections.get(&id);
        if connection.is_some_and(|connection| connection.outbox.has_peer_closed()) {
            return; // the caller has left since, so an attempt would only be cancelled again
        }
        if !connection.is_some_and(|connection| connection.outbox.cancel_idle_close()) {
            // The request crossed the close of its connection. The caller repeats it on another connection, so it
            // must not be forwarded here (in the test of ten upgrades, one request in some 50,000 was forwarded by
            // both processes).
            return;
        }
        if let Some(call) = self.clients.by_tag.get(&tag) {
            // A repeated request: its call is pending or established and is answered once, on the connection of the
            // first request. On another connection the repetition is rejected.
            if self.clients.calls.get(call).is_some_and(|caller| caller.connection != id) {
                self.clients.reject_message(id, tag);
            }
            return;
        }
        if self.clients.has_too_many_pending(id) {
            self.clients.reject_beyond_bounds(id, tag);
            return;
        }
        let Some(request) = self.clients.read_request(id, tag, line) else {
            self.clients.reject_message(id, tag);
            return;
        };
        self.feed(Input::SetupRequested(request));
    }
}

impl Clients {
    /// Answers a message with an invalid or missing field.
    fn reject_message(&mut self, id: ConnectionId, tag: Tag) {
        self.write(id, &encode("FINISH", tag, &[], Some(cause::INVALID_FIELD), None));
    }

    /// Whether a connection has as many pending calls as one connection may have.
    fn has_too_many_pending(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| connection.pending.len() >= self.max_pending_of_connection)
    }

    /// Rejects a request of a connection with too many pending calls.
    fn reject_beyond_bounds(&mut self, id: ConnectionId, tag: Tag) {
        let wait_ms = format!("\"{}\"", BEYOND_BOUNDS_RETRY_AFTER / 1000);
        self.write(id, &encode("FINISH", tag, &[("wait", &wait_ms)], Some(cause::NO_CIRCUIT), None));
    }

    /// Reads a request's fields and records its caller; `None` if a field is missing or invalid.
    fn read_request(&mut self, id: ConnectionId, tag: Tag, line: Line) -> Option<SetupRequest> {
        let peer = self.connections.get(&id)?.peer;
        let class = self.class_index(&line.text("class")?)?;
        let time_left_ms = line.number("left").filter(|ms| (0.0..=self.max_wait_ms).contains(ms))?;
        let dialled_number = line.text("key")?;
        let extras = Extras::parse(&line.text("extras").unwrap_or_default())?;
        let description = line.description.clone()?;
        if !description.starts_with(b"\"") {
            return None;
        }
        let call = self.new_call_id();
        let raw = |field| line.raw(field).unwrap_or_default().into();
        let (class_json, number_json) = (raw("class"), raw("key"));
        let caller = Caller { tag, class, class_json, number_json, connection: id, peer };
        self.add_call(call, caller);
        Some(SetupRequest {
            call,
            wire_id: tag.to_string().into(),
            class,
            number: number_from_text(&dialled_number),
            dialled_number: dialled_number.into(),
            first_choice: extras.first_choice,
            time_left: (time_left_ms * 1000.0) as Micros,
            is_redial: extras.is_redial,
            description,
        })
    }

    fn add_call(&mut self, call: CallId, caller: Caller) {
        let (id, tag, now) = (caller.connection, caller.tag, clock::now());
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.pending.insert(call);
            connection.last_used_at = Some(now);
        }
        self.trace.record(now, call, TraceStep::RequestedOn(id));
        tracing::debug!(target: "call", call = call.0, %tag);
        self.calls.insert(call, caller);
        self.by_tag.insert(tag, call);
    }

    /// Sends the final answer: the call is established.
    pub(in crate::platform) fn accept_call(&mut self, call: CallId, description: &[u8]) {
        let Some(caller) = self.calls.get(&call) else { return };
        let (id, message) = (caller.connection, encode("STARTED", caller.tag, &[], None, Some(description)));
        let ticket = self.write(id, &message);
        // If the connection is closed, the call remains pending on it and is cancelled when the connection ends.
        if let (Some(ticket), Some(connection)) = (ticket, self.connections.get_mut(&id)) {
            connection.pending.remove(&call);
            connection.established.insert(call, ticket);
        }
        self.record_use(id);
    }

    /// Sends the final answer: rejected, with the time after which the caller may try again.
    pub(in crate::platform) fn reject_call(&mut self, call: CallId, retry_after: Micros) {
        let wait_ms = format!("\"{}\"", retry_after.div_ceil(1000));
        self.finish_call(call, &[("wait", &wait_ms)], cause::NO_CIRCUIT);
    }

    /// Sends the final answer: failed.
    pub(in crate::platform) fn fail_call(&mut self, call: CallId) {
        self.finish_call(call, &[], cause::TEMPORARY_FAILURE);
    }

    fn finish_call(&mut self, call: CallId, fields: &[(&str, &str)], cause: i64) {
        if let Some(caller) = self.remove_call(call) {
            self.write(caller.connection, &encode("FINISH", caller.tag, fields, Some(cause), None));
        }
    }
}

/// The dialled number: 16 hex digits, or the hash of any other text.
fn number_from_text(text: &str) -> Number {
    Number(u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    }))
}
