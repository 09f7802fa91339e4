//! Messages from setup servers: answers, ends of calls, load reports, answers to health checks.

use bytes::Bytes;

use crate::call_trace::TraceStep;
use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::Input;
use crate::operate::handover::HandoverMessage;
use crate::{Cause, Micros, Outcome, ServerId};

use super::super::line::{Line, Verb, cause, encode};
use super::super::{ConnectionId, PlatformFrontend};
use super::{CallKey, Servers};

/// The cause of an `ECHOED` whose health check passed.
const HEALTH_CHECK_PASSED: i64 = 1;

impl PlatformFrontend {
    /// Handles a server's message.
    pub(super) fn handle_server_message(&mut self, id: ConnectionId, line: Line) {
        let now = clock::now();
        let Some(server) = self.servers.record_received(id, &line, now) else { return };
        match (line.verb, line.tag) {
            (Verb::Load, _) => self.feed(Input::Load { server, answered: true, load: line.load_report() }),
            (Verb::Started, Some(tag)) => self.handle_server_answer(id, CallKey { server, tag }, line),
            (Verb::Finish, Some(tag)) => self.handle_server_finish(id, CallKey { server, tag }, &line),
            (Verb::Echoed, Some(tag)) if self.servers.finish_health_check(tag) => {
                let answered = line.cause == Some(HEALTH_CHECK_PASSED);
                self.feed(Input::Load { server, answered, load: line.load_report() });
            }
            _ => {}
        }
    }

    fn handle_server_answer(&mut self, id: ConnectionId, key: CallKey, line: Line) {
        let entry = self.servers.attempts.get(&key);
        match entry.filter(|entry| entry.is_established || entry.connection == id) {
            Some(entry) if entry.is_established => {} // repeated answer
            Some(entry) => {
                let attempt = entry.attempt;
                let description = line.description.unwrap_or_else(|| Bytes::from_static(b"\"\""));
                // If the core finds that the attempt's time has expired, it cancels the attempt within this call.
                self.feed(Input::Established { attempt, description });
            }
            None if self.may_belong_to_other_process(id, key) => {
                tracing::debug!(target: "call", tag = %key.tag, "leaves an answer to the other process");
            }
            None => {
                // The answer to a cancelled attempt: the call that it establishes is released.
                tracing::debug!(target: "call", tag = %key.tag, "releases the call of an answer not awaited");
                self.servers.write(id, &encode("FINISH", key.tag, &[], Some(cause::NORMAL), None));
            }
        }
    }

    /// Whether an answer without an attempt here may be for a call of the other process of an upgrade, as a further
    /// copy is. While both run, this process knows only of what it has cancelled that nobody else has it.
    fn may_belong_to_other_process(&self, id: ConnectionId, key: CallKey) -> bool {
        let connection = self.servers.connections.get(&id);
        let is_cancelled_here =
            connection.is_some_and(|connection| connection.has_cancelled(key.tag, clock::now()));
        let is_handed_over = self.servers.handed_over.contains(&key);
        self.peer_process.role.is_shared() && (is_handed_over || !is_cancelled_here)
    }

    fn handle_server_finish(&mut self, id: ConnectionId, key: CallKey, line: &Line) {
        if let Some(connection) = self.servers.connections.get_mut(&id) {
            connection.cancelled.retain(|cancelled| cancelled.tag != key.tag);
        }
        let Some(entry) = self.servers.attempts.get(&key) else {
            // A cancelled attempt, or a call that is established at the other process of an upgrade.
            let completed = line.cause == Some(cause::NORMAL);
            let server = self.directory.name(key.server).to_string();
            let ended = HandoverMessage::EndedByServer { server, tag: key.tag.to_string(), completed };
            return self.send_to_peer_process(&ended);
        };
        if !entry.is_established && entry.connection != id {
            return; // an earlier attempt of the same call
        }
        let (attempt, is_established) = (entry.attempt, entry.is_established);
        self.driver.trace.record(clock::now(), attempt.call, TraceStep::ServerMessageOn(id));
        if is_established {
            self.servers.write(id, &encode("FINISHED", key.tag, &[], None, None));
        }
        let outcome = if is_established { call_outcome(line) } else { attempt_outcome(line) };
        self.end_attempt(attempt, outcome, cause_of_note(line), line.load_report());
    }
}

/// How an established call ended.
fn call_outcome(line: &Line) -> Outcome {
    if line.cause == Some(cause::NORMAL) { Outcome::Completed } else { Outcome::Reset }
}

/// How an attempt ended that had not established the call.
fn attempt_outcome(line: &Line) -> Outcome {
    match line.cause {
        Some(cause::NO_CIRCUIT | cause::CONGESTION) => Outcome::Rejected,
        Some(cause::NOT_SENT) => Outcome::NotSent,
        Some(cause::TEMPORARY_FAILURE) => Outcome::Reset,
        Some(cause::NORMAL) => Outcome::Cancelled,
        _ => Outcome::Failed,
    }
}

fn cause_of_note(line: &Line) -> Cause {
    match line.text("note").as_deref() {
        Some("no_path") => Cause::NoFreeLine,
        Some("queue_long") => Cause::ProcessorOverloaded { retry_after: None },
        Some("line_taken") => Cause::NumberBusy,
        _ => Cause::Unspecified,
    }
}

impl Servers {
    /// Records that a message came on a connection, and returns its server.
    fn record_received(&mut self, id: ConnectionId, line: &Line, now: Micros) -> Option<ServerId> {
        let connection = self.connections.get_mut(&id)?;
        let server = connection.server;
        match (line.verb, line.tag) {
            (Verb::Started | Verb::Finish, Some(tag)) => {
                connection.unanswered.remove(&tag);
            }
            (Verb::Finished, Some(tag)) => connection.unconfirmed_releases.retain(|r| r.tag != tag),
            _ => {}
        }
        // Restarted only if other set-ups are unanswered. Otherwise a connection on which no answer is awaited would
        // become suspect.
        connection.awaiting_since = (!connection.unanswered.is_empty()).then_some(now);
        connection.last_received_at = now;
        connection.last_checked_at = 0;
        connection.silent_since = now;
        if line.verb == Verb::Load {
            let heartbeat = self.heartbeats.entry(server).or_default();
            if let Some(before) = connection.last_report_at.replace(now) {
                heartbeat.record_gap(now.saturating_sub(before));
            }
            connection.max_silence = heartbeat.max_silence();
        }
        self.last_received_at.insert(server, now);
        Some(server)
    }
}
