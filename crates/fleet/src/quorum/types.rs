//! Messages, log records, configuration and actions of a voter. The order of fields and variants determines the format
//! of messages and of the write-ahead log and must not change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::log::Log;
use crate::Micros;
use crate::member::MemberId;

/// A position in the log, ordered by term and then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the entry.
    pub term: u64,
    /// The index of the entry; the first entry has index 1.
    pub index: u64,
}

/// Identifies one start of a voter's process. The number increases with each start; the nonce distinguishes two starts
/// that took the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Higher than the number of every known earlier start.
    pub number: u64,
    /// A random number generated at each start.
    pub nonce: u64,
}

/// A client's command. The session and sequence number ensure that it takes effect at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The client's session; each start of a client has its own.
    pub session: u64,
    /// The sequence number within the session; it increases with each command.
    pub seq: u64,
    /// The operation for the state machine; opaque to the log.
    pub body: Vec<u8>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// `None` in the first entry of a new leader. By committing it the leader learns the commit index.
    pub command: Option<Command>,
}

/// The persistent state of a voter besides its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The highest known term.
    pub term: u64,
    /// The voter that received its vote in that term.
    pub voted_for: Option<MemberId>,
    /// The latest known incarnation of each voter.
    pub incarnations: BTreeMap<MemberId, Incarnation>,
}

/// A record of the write-ahead log. Records are written in order; a write is complete when all of its records are on
/// disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogRecord {
    /// Replaces the previous hard state.
    HardState(HardState),
    /// A log entry. Replaces any entry at its index and removes all later entries.
    Entry {
        /// The index of the entry.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// A snapshot of the state machine. Replaces the log entries up to `last`.
    Snapshot {
        /// The last position included in the snapshot.
        last: LogPosition,
        /// The serialized state.
        state: Vec<u8>,
        /// Whether the entries after `last` are removed too.
        replaces_log: bool,
    },
}

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The sender's term. In a pre-vote request and its grant, the term that the candidate would start.
    pub term: u64,
    /// The latest incarnations known to the sender, including its own.
    pub incarnations: BTreeMap<MemberId, Incarnation>,
    /// The content.
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a vote.
    RequestVote {
        /// Whether this is a pre-vote, which only asks if the vote would be granted and binds nobody.
        is_pre_vote: bool,
        /// The last position in the sender's log.
        last: LogPosition,
    },
    /// Answers `RequestVote`.
    VoteResponse {
        /// Whether a pre-vote request is answered.
        is_pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries of the leader's log. Without entries it is a heartbeat.
    AppendEntries {
        /// The position directly before the entries.
        prev: LogPosition,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The number of the leader's heartbeat round.
        round: u64,
    },
    /// A snapshot, for a voter that lacks entries that the leader's log no longer contains.
    InstallSnapshot {
        /// The last position included in the snapshot.
        last: LogPosition,
        /// The serialized state of the state machine.
        state: Vec<u8>,
        /// The number of the leader's heartbeat round.
        round: u64,
    },
    /// Answers `AppendEntries` and `InstallSnapshot`.
    AppendResponse {
        /// Whether the sender's log matches the leader's up to `index`.
        matches: bool,
        /// The last matching index; if `matches` is false, an index after which the leader should resume.
        index: u64,
        /// The heartbeat round that is answered.
        round: u64,
    },
    /// Requests the log positions of another voter, after a start or while there is no leader.
    RejoinRequest,
    /// Answers `RejoinRequest`.
    RejoinResponse {
        /// The highest position that the sender holds or has promised.
        promised: LogPosition,
        /// The last position in the sender's log.
        last: LogPosition,
        /// Whether the sender has rejoined itself.
        has_rejoined: bool,
        /// The highest term and index that the sender has seen from the requesting voter.
        remembered: LogPosition,
    },
}

/// Parts of the protocol that tests can disable to verify that the checkers then detect violations. All are enabled by
/// default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SafetyChecks {
    /// A voter requests pre-votes before it raises its term, and voters in contact with a leader ignore vote requests.
    pub pre_vote: bool,
    /// A leader without contact with a majority steps down.
    pub check_quorum: bool,
    /// A voter runs the rejoin protocol at each start.
    pub rejoin: bool,
    /// Promises of earlier incarnations are void.
    pub incarnations: bool,
    /// A message that contains a promise is sent only once the promise is on disk.
    pub durable_before_send: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks {
            pre_vote: true,
            check_quorum: true,
            rejoin: true,
            incarnations: true,
            durable_before_send: true,
        }
    }
}

/// The configuration of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The id of this voter.
    pub id: MemberId,
    /// The ids of all voters, including this one.
    pub voters: Vec<MemberId>,
    /// A voter without contact with a leader requests votes after a random time of one to two election timeouts.
    pub election_timeout: Micros,
    /// A random number generated at each start.
    pub nonce: u64,
    /// Whether the voter skips the rejoin if its folder is present and intact. An older copy of the folder that was put
    /// back is then not detected.
    pub trust_disk: bool,
    /// The enabled parts of the protocol.
    pub checks: SafetyChecks,
}

/// The state recovered from the disk at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveredState {
    /// Term, vote and incarnations.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
    /// The highest position known to have been on disk, even if its record is no longer readable.
    pub promised: LogPosition,
    /// Whether the disk held data and all of it was readable.
    pub is_intact: bool,
}

/// A voter's role in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the followers.
    Leader,
}

/// Whether a voter takes part in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VoterStatus {
    /// The voter takes part.
    Voting,
    /// The voter may have lost promises: it has not rejoined since its start, or its log ends before the highest
    /// position reported during the rejoin. Until its log reaches that position it cannot lead, and votes only for
    /// candidates whose log does.
    CatchingUp,
    /// The disk has failed. The voter does not take part until it is restarted.
    ReadOnly,
}

impl VoterStatus {
    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            VoterStatus::Voting => "voting",
            VoterStatus::CatchingUp => "amnesiac",
            VoterStatus::ReadOnly => "read-only",
        }
    }
}

/// An action requested by the voter. The caller executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write these records, then call [`handle_write_completed`](super::Voter::handle_write_completed) with this
    /// number.
    Write {
        /// The number of the write; it increases with each write.
        number: u64,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply a committed entry to the state machine.
    Apply {
        /// The index of the entry.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// Replace the state of the state machine.
    Restore {
        /// The last index included in the state.
        index: u64,
        /// The serialized state.
        state: Vec<u8>,
    },
    /// A majority confirmed that this voter still led after the confirmation was requested.
    LeadershipConfirmed {
        /// The ticket of [`confirm_leadership`](super::Voter::confirm_leadership).
        ticket: u64,
    },
    /// The voter stepped down before leadership was confirmed. Retry, possibly at another voter.
    LeadershipUnconfirmed {
        /// The ticket of [`confirm_leadership`](super::Voter::confirm_leadership).
        ticket: u64,
    },
    /// The log has reached its maximum length. Take a snapshot and call [`compact`](super::Voter::compact).
    Compact,
    /// Report an event to operators.
    Notify(Event),
}

/// A change in the state of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The voter became the leader.
    BecameLeader {
        /// The term.
        term: u64,
    },
    /// The voter started to follow this leader.
    FollowsLeader {
        /// The leader.
        leader: MemberId,
        /// The term.
        term: u64,
    },
    /// The voter is no longer the leader.
    SteppedDown,
    /// The voter has rejoined after its start.
    Rejoined,
    /// Another voter has seen a higher term or index of this voter than the disk held at the start.
    StateLost {
        /// The other voter.
        reported_by: MemberId,
        /// The highest term and index that the other voter has seen of this one.
        reported: LogPosition,
        /// The term and index recovered from the disk.
        recovered: LogPosition,
    },
    /// Another process uses the id of this voter, or did so recently.
    DuplicateId(Incarnation),
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This voter is not the leader. Contains the leader, if known.
    #[error("this voter is not the leader")]
    NotLeader(Option<MemberId>),
    /// Too many commands are uncommitted, or the log has to be compacted first.
    #[error("too many uncommitted commands")]
    Busy,
    /// The command is longer than [`super::MAX_COMMAND_BYTES`].
    #[error("command is longer than {} bytes", super::MAX_COMMAND_BYTES)]
    TooLong,
}
