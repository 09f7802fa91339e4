//! What passes between the old and the new process of an upgrade: the messages, how they are read, and the processes' roles. Pure;
//! `platform::handover` moves the bytes.
//!
//! The old process sends what it knows, first its version and at last [`HandoverMessage::Begin`]; the new one takes all of it or
//! nothing. From then on both send messages about single calls. One JSON object a line; its names are the wire format, read
//! by older and newer processes, and never change with the identifiers here.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::{LoadReport, Micros};

/// Version of these messages. Another version's hand-over is not read.
pub const VERSION: u32 = 1;
/// The longest line; a server's or a call's takes a few hundred bytes, and a class's name is in each.
pub const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum number of servers that are taken over; there are a few dozen.
const MAX_SERVERS: usize = 10_000;
/// A load report older than this says nothing of now.
const MAX_REPORT_AGE: Micros = 2_000_000;

/// An established call, as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EstablishedCall {
    /// Its id on the wire.
    pub tag: String,
    /// The server's id.
    pub server: String,
    /// Its class's name.
    pub class: String,
    /// Its caller's address.
    pub peer: IpAddr,
}

/// What the old process knows of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// Its id.
    pub server: String,
    /// For how long it has been known to drain; `None`: it takes calls.
    #[serde(rename = "drains_for")]
    pub draining_for: Option<Micros>,
    /// It is ejected.
    #[serde(rename = "silent")]
    pub is_ejected: bool,
    /// Its last load report's age, and the wait in it, in milliseconds.
    #[serde(rename = "report")]
    pub last_report: Option<(Micros, f64)>,
}

/// What a known server's state amounts to for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SnapshotLoad {
    /// It does not answer.
    NoAnswer,
    /// Its last report, which is recent enough.
    Reported(LoadReport),
}

impl ServerSnapshot {
    /// What the decision module is to be told; `None`: nothing that still holds.
    pub fn load(&self) -> Option<SnapshotLoad> {
        if self.is_ejected {
            return Some(SnapshotLoad::NoAnswer);
        }
        let (age, wait_ms) = self.last_report?;
        let is_valid = age <= MAX_REPORT_AGE && wait_ms.is_finite() && wait_ms >= 0.0;
        let report = LoadReport { queueing_delay_ms: Some(wait_ms), ..LoadReport::default() };
        is_valid.then_some(SnapshotLoad::Reported(report))
    }
}

/// One message between the processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say")]
pub enum HandoverMessage {
    /// The first message of the old process: its version, and the number of its endpoint list.
    #[serde(rename = "hello")]
    Hello {
        /// See [`VERSION`].
        version: u32,
        /// The number of the last event that its list holds.
        seq: u32,
    },
    /// What it knows of a server.
    #[serde(rename = "server")]
    Server(ServerSnapshot),
    /// That was all; the new process may begin.
    #[serde(rename = "begin")]
    Begin,
    /// The new process listens and takes clients.
    #[serde(rename = "serving")]
    Serving,
    /// An established call is the other's from now on.
    #[serde(rename = "standing")]
    Established(EstablishedCall),
    /// A caller released a call that the other may have.
    #[serde(rename = "caller_ends")]
    ReleasedByCaller {
        /// Its id on the wire.
        tag: String,
    },
    /// A server ended a call that the other may have.
    #[serde(rename = "server_ends")]
    EndedByServer {
        /// The server's id.
        server: String,
        /// The call's id on the wire.
        tag: String,
        /// It came to its end in order; else it was cut.
        completed: bool,
    },
    /// A caller is to be sent a release, and no connection of it is here.
    #[serde(rename = "owed")]
    PendingRelease {
        /// The call's id on the wire.
        tag: String,
        /// Its caller's address.
        peer: IpAddr,
        /// It came to its end in order; else it was cut.
        completed: bool,
    },
}

impl HandoverMessage {
    /// The message as a line, with its line end.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Reads a line; `None`: it is no message of this version.
    pub fn from_line(line: &[u8]) -> Option<HandoverMessage> {
        serde_json::from_slice(line).ok()
    }
}

/// What the new process has received before it begins.
#[derive(Debug, Default, PartialEq)]
pub struct ReceivedHandover {
    /// The number of the old process's list; `None`: it has not sent its version yet.
    pub seq: Option<u32>,
    /// What it knows of servers.
    pub servers: Vec<ServerSnapshot>,
}

/// What a message meant for an inheritance.
#[derive(Debug, PartialEq)]
pub enum HandoverProgress {
    /// There is more to come.
    Incomplete,
    /// That was all.
    Complete,
    /// It cannot be used.
    Refused(HandoverError),
}

/// Why an inheritance cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// The old process sends another version of the messages.
    #[error("it is of another version")]
    OtherVersion,
    /// A message came where it may not.
    #[error("its messages come out of order")]
    OutOfOrder,
}

impl ReceivedHandover {
    /// Takes the next message.
    pub fn handle_message(&mut self, message: HandoverMessage) -> HandoverProgress {
        match message {
            HandoverMessage::Hello { version, .. } if version != VERSION => {
                HandoverProgress::Refused(HandoverError::OtherVersion)
            }
            HandoverMessage::Hello { seq, .. } if self.seq.is_none() => {
                self.seq = Some(seq);
                HandoverProgress::Incomplete
            }
            HandoverMessage::Server(known) if self.seq.is_some() && self.servers.len() < MAX_SERVERS => {
                self.servers.push(known);
                HandoverProgress::Incomplete
            }
            HandoverMessage::Begin if self.seq.is_some() => HandoverProgress::Complete,
            _ => HandoverProgress::Refused(HandoverError::OutOfOrder),
        }
    }
}

/// This process's role towards another at the same address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// There is no other.
    #[default]
    Alone,
    /// This is the new one: the old one still runs.
    Newer,
    /// This is the old one: the new one has started.
    Older {
        /// The new one takes clients.
        successor_is_serving: bool,
    },
}

impl Role {
    /// Whether another process takes clients at this address, so that this one may end.
    pub fn has_successor(self) -> bool {
        self == Role::Older { successor_is_serving: true }
    }

    /// Whether two processes share what is one gatekeeper's.
    pub fn is_shared(self) -> bool {
        self != Role::Alone
    }
}

#[cfg(test)]
mod tests;
