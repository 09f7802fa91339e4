//! What setup servers say: answers, ends of calls, load reports, answers to health checks.

use bytes::Bytes;

use crate::call_trace::TraceStep;
use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::Input;
use crate::operate::handover::HandoverMessage;
use crate::{Cause, Micros, Outcome, ServerId};

use super::super::line::{Line, Verb, cause, encode};
use super::super::{ConnectionId, PlatformFrontend};
use super::{CallAtServer, Servers};

/// The cause of an `ECHOED` whose health check passed.
const HEALTH_CHECK_PASSED: i64 = 1;

impl PlatformFrontend {
    /// Takes a server's message.
    pub(super) fn handle_server_line(&mut self, id: ConnectionId, line: Line) {
        let now = clock::now();
        let Some(server) = self.servers.record_heard(id, &line, now) else { return };
        match (line.verb, line.tag) {
            (Verb::Load, _) => self.feed(Input::Load { server, answered: true, load: line.load() }),
            (Verb::Started, Some(tag)) => self.handle_server_answer(id, CallAtServer { server, tag }, line),
            (Verb::Finish, Some(tag)) => self.handle_server_finish(id, CallAtServer { server, tag }, &line),
            (Verb::Echoed, Some(tag)) if self.servers.finish_health_check(tag) => {
                let answered = line.cause == Some(HEALTH_CHECK_PASSED);
                self.feed(Input::Load { server, answered, load: line.load() });
            }
            _ => {}
        }
    }

    fn handle_server_answer(&mut self, id: ConnectionId, at: CallAtServer, line: Line) {
        let slot = self.servers.attempts.get(&at);
        match slot.filter(|slot| slot.is_established || slot.connection == id) {
            Some(slot) if slot.is_established => {} // it says so twice
            Some(slot) => {
                let attempt = slot.attempt;
                let description = line.blob.unwrap_or_else(|| Bytes::from_static(b"\"\""));
                // The core may find that its time is over: then it is cancelled in here.
                self.feed(Input::Established { attempt, description });
            }
            None => {
                // A cancelled attempt is established after all: nobody waits for it any more.
                self.servers.write(id, &encode("FINISH", at.tag, &[], Some(cause::NORMAL), None));
            }
        }
    }

    fn handle_server_finish(&mut self, id: ConnectionId, at: CallAtServer, line: &Line) {
        if let Some(connection) = self.servers.connections.get_mut(&id) {
            connection.cancelled.retain(|cancelled| cancelled.tag != at.tag);
        }
        let Some(slot) = self.servers.attempts.get(&at) else {
            // Of a cancelled attempt, or of a call that is established at the other process of an upgrade.
            let completed = line.cause == Some(cause::NORMAL);
            let server = self.directory.name(at.server).to_string();
            let ended = HandoverMessage::EndedByServer { server, tag: at.tag.to_string(), completed };
            return self.send_to_peer_process(&ended);
        };
        if !slot.is_established && slot.connection != id {
            return; // of an old attempt
        }
        let (attempt, is_established) = (slot.attempt, slot.is_established);
        self.driver.trace.record(clock::now(), attempt.call, TraceStep::ServerMessageOn(id));
        if is_established {
            self.servers.write(id, &encode("FINISHED", at.tag, &[], None, None));
        }
        let outcome = if is_established { established_outcome(line) } else { unanswered_outcome(line) };
        self.end_attempt(attempt, outcome, note_cause(line), line.load());
    }
}

/// How an established call ended.
fn established_outcome(line: &Line) -> Outcome {
    if line.cause == Some(cause::NORMAL) { Outcome::Completed } else { Outcome::Reset }
}

/// How an attempt ended that was not established.
fn unanswered_outcome(line: &Line) -> Outcome {
    match line.cause {
        Some(cause::NO_CIRCUIT | cause::CONGESTION) => Outcome::Rejected,
        Some(cause::MOOT) => Outcome::NotSent,
        Some(cause::TEMPORARY_FAILURE) => Outcome::Reset,
        Some(cause::NORMAL) => Outcome::Cancelled,
        _ => Outcome::Failed,
    }
}

fn note_cause(line: &Line) -> Cause {
    match line.text("note").as_deref() {
        Some("no_path") => Cause::NoFreeLine,
        Some("queue_long") => Cause::ProcessorOverloaded { retry_after: None },
        Some("line_taken") => Cause::NumberBusy,
        _ => Cause::Unspecified,
    }
}

impl Servers {
    /// Records that a message came on a connection, and returns its server.
    fn record_heard(&mut self, id: ConnectionId, line: &Line, now: Micros) -> Option<ServerId> {
        let connection = self.connections.get_mut(&id)?;
        let server = connection.server;
        match (line.verb, line.tag) {
            (Verb::Started | Verb::Finish, Some(tag)) => {
                connection.unanswered.remove(&tag);
            }
            (Verb::Finished, Some(tag)) => connection.unconfirmed_releases.retain(|r| r.tag != tag),
            _ => {}
        }
        // Only what is still open is awaited now: else a connection would seem quiet on which nothing is.
        connection.awaiting_since = (!connection.unanswered.is_empty()).then_some(now);
        connection.last_heard_at = now;
        connection.last_checked_at = 0;
        connection.silent_since = now;
        if line.verb == Verb::Load {
            let heartbeat = self.heartbeats.entry(server).or_default();
            if let Some(before) = connection.last_report_at.replace(now) {
                heartbeat.record_gap(now.saturating_sub(before));
            }
            connection.max_silence = heartbeat.max_silence();
        }
        self.last_heard_at.insert(server, now);
        Some(server)
    }
}
