//! The protocol between the old and the new process of an upgrade: its messages, their encoding, and the roles of the
//! processes. No I/O; `platform::handover` does that.
//!
//! The old process sends its state, starting with the protocol version and ending with [`HandoverMessage::Begin`]; the
//! new process applies all of it or none. After that both processes send messages about individual calls. Each message
//! is one JSON object on a line. Older and newer processes read the names in it, so they must not change with the
//! identifiers in this module.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::{LoadReport, Micros};

/// Version of the protocol. A hand-over of any other version is refused.
pub const VERSION: u32 = 1;
/// The additions to this version that this process understands, as told in [`HandoverMessage::Serving`]. A message that
/// the other process does not know would end the hand-over, and after a rollback the newer process is an older build.
pub const REVISION: u32 = 1;
/// The first revision that understands [`HandoverMessage::CallerConnected`].
const CALLER_CONNECTED_REVISION: u32 = 1;
/// Maximum length of a line. The line of a server or a call takes a few hundred bytes; a call's includes the class
/// name.
pub const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum number of servers in a hand-over; a deployment has a few dozen.
const MAX_SERVERS: usize = 10_000;
/// Load reports older than this are ignored.
const MAX_REPORT_AGE: Micros = 2_000_000;

/// An established call that is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EstablishedCall {
    /// The call's id on the wire.
    pub tag: String,
    /// The server's id.
    pub server: String,
    /// The name of the call's class.
    pub class: String,
    /// The caller's address.
    pub peer: IpAddr,
}

/// The old process's view of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSnapshot {
    /// The server's id.
    pub server: String,
    /// How long the server has been draining; `None` if it accepts calls.
    #[serde(rename = "drains_for")]
    pub draining_for: Option<Micros>,
    /// Whether the server is ejected because it does not answer.
    #[serde(rename = "silent")]
    pub is_ejected: bool,
    /// The age of the last load report, and the queueing delay that it reported, in milliseconds.
    #[serde(rename = "report")]
    pub last_report: Option<(Micros, f64)>,
}

/// The load of a server as derived from its snapshot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SnapshotLoad {
    /// The server does not answer.
    NoAnswer,
    /// The server's last load report, which is recent enough.
    Reported(LoadReport),
}

impl ServerSnapshot {
    /// The load to pass to the controller; `None` if there is no valid recent report.
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
    /// The first message of the old process: the protocol version and the sequence number of its endpoint list.
    #[serde(rename = "hello")]
    Hello {
        /// See [`VERSION`].
        version: u32,
        /// The sequence number of the last event in the list.
        seq: u32,
    },
    /// The old process's view of a server.
    #[serde(rename = "server")]
    Server(ServerSnapshot),
    /// The old process has sent all of its state; the new process may begin.
    #[serde(rename = "begin")]
    Begin,
    /// The new process listens and accepts clients.
    #[serde(rename = "serving")]
    Serving {
        /// See [`REVISION`]; 0 if the sender is a build without it.
        #[serde(default, skip_serializing_if = "is_zero")]
        revision: u32,
    },
    /// Transfers an established call to the receiver.
    #[serde(rename = "standing")]
    Established(EstablishedCall),
    /// A caller released a call that the receiver may have.
    #[serde(rename = "caller_ends")]
    ReleasedByCaller {
        /// The call's id on the wire.
        tag: String,
    },
    /// A server ended a call that the receiver may have.
    #[serde(rename = "server_ends")]
    EndedByServer {
        /// The server's id.
        server: String,
        /// The call's id on the wire.
        tag: String,
        /// Whether the call ended regularly; otherwise it was cut off.
        completed: bool,
    },
    /// Transfers a release to the receiver: its caller has no connection to the sender of this message. The older process
    /// returns a release that it cannot send either; the newer process keeps it for the caller's next connection.
    #[serde(rename = "owed")]
    PendingRelease {
        /// The call's id on the wire.
        tag: String,
        /// The caller's address.
        peer: IpAddr,
        /// Whether the call ended regularly; otherwise it was cut off.
        completed: bool,
        /// How much longer the release is kept; `None` if the sender is a build without this field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expires_in: Option<Micros>,
    },
    /// A caller has connected to the older process, which can now send the releases that the newer one keeps for it.
    #[serde(rename = "caller_connected")]
    CallerConnected {
        /// The caller's address.
        peer: IpAddr,
    },
}

/// Whether a field has the value of a build without it, and is left out.
#[allow(clippy::trivially_copy_pass_by_ref)] // the signature that serde asks for
fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl HandoverMessage {
    /// Encodes the message as a line, including the newline.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Decodes a line; `None` if it is not a message of this version.
    pub fn from_line(line: &[u8]) -> Option<HandoverMessage> {
        serde_json::from_slice(line).ok()
    }
}

/// The state that the new process has received before [`HandoverMessage::Begin`].
#[derive(Debug, Default, PartialEq)]
pub struct ReceivedHandover {
    /// The sequence number of the old process's endpoint list; `None` before [`HandoverMessage::Hello`] has arrived.
    pub seq: Option<u32>,
    /// The old process's view of the servers.
    pub servers: Vec<ServerSnapshot>,
}

/// The state of the hand-over after a message.
#[derive(Debug, PartialEq)]
pub enum HandoverProgress {
    /// More messages have to follow.
    Incomplete,
    /// All state has arrived.
    Complete,
    /// The hand-over cannot be used.
    Refused(HandoverError),
}

/// Why a hand-over cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// The old process uses another version of the protocol.
    #[error("the other process uses another version of the hand-over protocol")]
    OtherVersion,
    /// A message arrived that is not allowed at this point.
    #[error("a hand-over message arrived out of order")]
    OutOfOrder,
}

impl ReceivedHandover {
    /// Handles the next message.
    pub fn handle_message(&mut self, message: HandoverMessage) -> HandoverProgress {
        match message {
            HandoverMessage::Hello { version, .. } if version != VERSION => {
                HandoverProgress::Refused(HandoverError::OtherVersion)
            }
            HandoverMessage::Hello { seq, .. } if self.seq.is_none() => {
                self.seq = Some(seq);
                HandoverProgress::Incomplete
            }
            HandoverMessage::Server(snapshot) if self.seq.is_some() && self.servers.len() < MAX_SERVERS => {
                self.servers.push(snapshot);
                HandoverProgress::Incomplete
            }
            HandoverMessage::Begin if self.seq.is_some() => HandoverProgress::Complete,
            _ => HandoverProgress::Refused(HandoverError::OutOfOrder),
        }
    }
}

/// The role of this process relative to another process at the same address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// There is no other process.
    #[default]
    Alone,
    /// This process is the newer one, and the older one still runs.
    Newer,
    /// This process is the older one, and the newer one has started.
    Older {
        /// The newer process, once it accepts clients.
        successor: Option<Successor>,
    },
}

/// A newer process that accepts clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor {
    /// Its [`REVISION`].
    pub revision: u32,
}

impl Successor {
    /// Whether it understands [`HandoverMessage::CallerConnected`].
    pub fn understands_caller_connected(self) -> bool {
        self.revision >= CALLER_CONNECTED_REVISION
    }
}

impl Role {
    /// Whether a newer process accepts clients at this address, so that this one may exit.
    pub fn has_successor(self) -> bool {
        self.successor().is_some()
    }

    /// The newer process, if it accepts clients at this address.
    pub fn successor(self) -> Option<Successor> {
        match self {
            Role::Older { successor } => successor,
            Role::Alone | Role::Newer => None,
        }
    }

    /// Whether two processes currently run as the same gatekeeper.
    pub fn is_shared(self) -> bool {
        self != Role::Alone
    }
}

#[cfg(test)]
mod tests;
