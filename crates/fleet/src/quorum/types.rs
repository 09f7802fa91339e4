//! What voters send, keep and are started with. The order of fields and variants is the format of messages and of the
//! write-ahead log; it never changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::log::Log;
use crate::Micros;
use crate::member::MemberId;

/// A position in the log: the later term is further, and in one term the higher index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The entry's term.
    pub term: u64,
    /// Its index; the first entry has 1.
    pub index: u64,
}

/// One start of a voter's process: the number grows from one to the next, the nonce distinguishes two that took the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Above that of every earlier start that was heard of.
    pub number: u64,
    /// Drawn anew at each start.
    pub nonce: u64,
}

/// A client's command: carried out at most once, by session and sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The client's session, one a start.
    pub session: u64,
    /// Its number there, growing.
    pub seq: u64,
    /// What is to be done; the log does not read it.
    pub body: Vec<u8>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that took it.
    pub term: u64,
    /// `None`: a leader's first entry, by which it learns what is committed.
    pub command: Option<Command>,
}

/// What a voter has to remember besides its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term that it took part in.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<MemberId>,
    /// The latest incarnation of each voter that it knows.
    pub incarnations: BTreeMap<MemberId, Incarnation>,
}

/// A record of the write-ahead log. Records are written in order; a write is done when all of its records are on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogRecord {
    /// Replaces the hard state before.
    HardState(HardState),
    /// An entry. Whatever was at its index or behind is void.
    Entry {
        /// Its index.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// The state machine's state. What the log held up to `last` is void.
    Snapshot {
        /// The last position that the state includes.
        last: LogPosition,
        /// The state.
        state: Vec<u8>,
        /// Entries behind `last` are void too.
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
    /// The sender's term; in a pre-vote request the term that it would begin.
    pub term: u64,
    /// The latest incarnations that the sender knows, its own among them.
    pub incarnations: BTreeMap<MemberId, Incarnation>,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for a vote.
    RequestVote {
        /// A pre-vote: asks only whether the vote would be given, and nothing is promised.
        is_pre_vote: bool,
        /// The end of the sender's log.
        last: LogPosition,
    },
    /// Answers `RequestVote`.
    VoteResponse {
        /// Which of the two questions is answered.
        is_pre_vote: bool,
        /// The vote is given.
        granted: bool,
    },
    /// The leader's entries, or none: a heartbeat.
    AppendEntries {
        /// The position before them.
        prev: LogPosition,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Counts the leader's heartbeats.
        round: u64,
    },
    /// The state up to a position, for a voter that is further behind than the leader's log reaches.
    InstallSnapshot {
        /// The position.
        last: LogPosition,
        /// The state machine's state.
        state: Vec<u8>,
        /// Counts the leader's heartbeats.
        round: u64,
    },
    /// Answers `AppendEntries` and `InstallSnapshot`.
    AppendResponse {
        /// The sender's log is the leader's up to `index`; else it reaches only so far.
        matches: bool,
        /// The index.
        index: u64,
        /// The heartbeat that is answered.
        round: u64,
    },
    /// A voter has started and asks how far the others are.
    RejoinRequest,
    /// Answers `RejoinRequest`.
    RejoinResponse {
        /// The furthest position that the sender holds or has promised.
        promised: LogPosition,
        /// The end of its log.
        last: LogPosition,
        /// It has rejoined itself.
        has_rejoined: bool,
        /// The highest term and index that it has heard of the asker.
        remembered: LogPosition,
    },
}

/// Parts of the protocol that tests take out, so that the checkers are seen to need them. All are in force otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SafetyChecks {
    /// A voter asks before it raises its term, and nobody answers who hears a leader.
    pub pre_vote: bool,
    /// A leader that does not hear a majority steps down.
    pub check_quorum: bool,
    /// Each start goes through the rejoin protocol.
    pub rejoin: bool,
    /// What an earlier incarnation promised counts no more.
    pub incarnations: bool,
    /// A promise is sent only once it is on disk.
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

/// What a voter is started with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Its id.
    pub id: MemberId,
    /// All voters, itself among them.
    pub voters: Vec<MemberId>,
    /// A voter that hears no leader for so long, and up to twice as long, asks for votes.
    pub election_timeout: Micros,
    /// Drawn anew at each start.
    pub nonce: u64,
    /// A folder that is there and intact is believed: the voter takes part at once, and an older copy put back is not noticed.
    pub trust_disk: bool,
    /// What is in force.
    pub checks: SafetyChecks,
}

/// What the disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveredState {
    /// Term, vote and incarnations.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
    /// The furthest position that is known to have been there, also where it cannot be read any more.
    pub promised: LogPosition,
    /// Something was there, and all of it was readable.
    pub is_intact: bool,
}

/// A voter's role in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks who would vote for it.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Whether a voter takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VoterStatus {
    /// It takes part.
    Voting,
    /// It may have forgotten what it promised: it has not rejoined since its start, or has not caught up with the furthest
    /// position that it was told then. Until it has caught up it leads nobody, and votes only for who has.
    CatchingUp,
    /// Its disk fails: it takes part no more until it is started anew.
    ReadOnly,
}

impl VoterStatus {
    /// The name that operators read.
    pub fn name(self) -> &'static str {
        match self {
            VoterStatus::Voting => "voting",
            VoterStatus::CatchingUp => "amnesiac",
            VoterStatus::ReadOnly => "read-only",
        }
    }
}

/// What the voter wants done. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write these records, and report it by [`handle_write_completed`](super::Voter::handle_write_completed) with this number.
    Write {
        /// The write's number; numbers grow.
        number: u64,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply a committed entry to the state machine.
    Apply {
        /// Its index.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// Replace the state machine's state.
    Restore {
        /// The last index that it includes.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// At the moment leadership was to be confirmed, and after it, this voter led.
    LeadershipConfirmed {
        /// The ticket of [`confirm_leadership`](super::Voter::confirm_leadership).
        ticket: u64,
    },
    /// It cannot be confirmed any more: ask again, maybe another voter.
    LeadershipUnconfirmed {
        /// The ticket.
        ticket: u64,
    },
    /// The log is at its bound: take a snapshot and call [`compact`](super::Voter::compact).
    Compact,
    /// Something that operators may want to know.
    Notify(Event),
}

/// What happened to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It leads from now on.
    BecameLeader {
        /// The term.
        term: u64,
    },
    /// It follows this leader.
    FollowsLeader {
        /// The leader.
        leader: MemberId,
        /// The term.
        term: u64,
    },
    /// It led, and does not any more.
    SteppedDown,
    /// It has rejoined the voters after its start.
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
    /// Another process votes under this id, or did a moment ago.
    DuplicateId(Incarnation),
}

/// Why a command was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This voter does not lead; the one that does, where it is known.
    #[error("this voter does not lead")]
    NotLeader(Option<MemberId>),
    /// Too many commands are uncommitted.
    #[error("too many commands are uncommitted")]
    Busy,
    /// It is longer than [`super::MAX_COMMAND_BYTES`].
    #[error("the command is longer than {} bytes", super::MAX_COMMAND_BYTES)]
    TooLong,
}
