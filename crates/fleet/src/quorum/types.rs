//! What voters say, keep and are started with.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::log::Log;
use crate::Micros;
use crate::member::MemberId;

/// A place in the log: the later term is further, and in one term the higher index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The entry's term.
    pub term: u64,
    /// Its index; the first entry has 1.
    pub index: u64,
}

/// A voter's start: the number grows from one to the next, the nonce parts two that took the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Above that of every earlier start that was heard of.
    pub number: u64,
    /// Drawn anew at each start.
    pub nonce: u64,
}

/// An order of a client: carried out at most once, by session and sequence.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The client's start.
    pub session: u64,
    /// Its number there, growing.
    pub seq: u64,
    /// What is ordered; the log does not read it.
    pub body: Vec<u8>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that took it.
    pub term: u64,
    /// `None`: a leader's first, with which it learns what is committed.
    pub order: Option<Order>,
}

/// What a voter has to remember besides its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hard {
    /// The highest term that it took part in.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<MemberId>,
    /// The latest start of each voter that it knows.
    pub lives: BTreeMap<MemberId, Life>,
}

/// What is to be written, in order; the write is done when all of it is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// In place of the one before.
    Hard(Hard),
    /// An entry, at its index. Whatever was there or behind is void.
    Entry(u64, Entry),
    /// All up to this place, as the machine's state. Whatever the log held is void, up to the place or, where `whole`, at all.
    Snapshot {
        /// The last place that it holds.
        last: Place,
        /// The machine's state.
        state: Vec<u8>,
        /// Entries behind it are void too.
        whole: bool,
    },
}

/// What one voter writes to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    /// Who writes.
    pub from: MemberId,
    /// To whom.
    pub to: MemberId,
    /// The writer's term; with `Ask { pre: true }` the term that it would begin.
    pub term: u64,
    /// The latest lives that the writer knows, its own among them.
    pub lives: BTreeMap<MemberId, Life>,
    /// What it says.
    pub body: Body,
}

/// What a letter says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Give me your vote; `pre`: would you.
    Ask {
        /// A question only: nothing is promised.
        pre: bool,
        /// The end of the writer's log.
        last: Place,
    },
    /// The answer.
    Vote {
        /// To which of the two questions.
        pre: bool,
        /// Whether.
        granted: bool,
    },
    /// Entries of the leader's, or none: a heartbeat.
    Append {
        /// The place before them.
        prev: Place,
        /// The entries.
        entries: Vec<Entry>,
        /// What is committed.
        commit: u64,
        /// ClassCounters the leader's heartbeats.
        round: u64,
    },
    /// All up to a place, for one that is further behind than the log reaches.
    Snapshot {
        /// The place.
        last: Place,
        /// The machine's state.
        state: Vec<u8>,
        /// As above.
        round: u64,
    },
    /// The answer to both: the log is the leader's up to this index (`matches`), or reaches only so far.
    Appended {
        /// Whether it matches.
        matches: bool,
        /// The index.
        index: u64,
        /// The heartbeat that is answered.
        round: u64,
    },
    /// A voter has started: how far are you?
    Hello,
    /// The answer.
    Welcome {
        /// The furthest place that the writer holds or has to respect.
        last: Place,
        /// The end of its log.
        holds: Place,
        /// It has re-entered itself.
        entered: bool,
        /// What it remembers of the asker: the highest term and index that it heard of it.
        yours: Place,
    },
}

/// Rules that can be taken out, so that the checkers are seen to need them. All are in force but in tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// A voter asks before it raises its term, and nobody answers who hears a leader.
    pub pre_vote: bool,
    /// A leader that does not hear a majority steps down.
    pub check_quorum: bool,
    /// Each start is a re-entry.
    pub reentry: bool,
    /// What an earlier life promised counts no more.
    pub lives: bool,
    /// A promise leaves only once it is on disk.
    pub disk_first: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { pre_vote: true, check_quorum: true, reentry: true, lives: true, disk_first: true }
    }
}

/// What a voter is started with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Setup {
    /// Its id.
    pub id: MemberId,
    /// All voters, itself among them.
    pub voters: Vec<MemberId>,
    /// A voter that hears no leader for so long, and up to twice as long, asks for votes.
    pub election: Micros,
    /// Drawn anew at each start.
    pub nonce: u64,
    /// A folder that is there and whole is believed: the voter takes part at once, and a folder that was put back is not noticed.
    pub trust_disk: bool,
    /// What is in force.
    pub rules: Rules,
}

/// What the disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Held {
    /// Term, vote and lives.
    pub hard: Hard,
    /// The log.
    pub log: Log,
    /// The furthest place that is known to have been there, also where it does not read any more.
    pub promise: Place,
    /// Something was there, and all of it reads.
    pub whole: bool,
}

/// What a voter does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks who would vote for it.
    Asking,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// How a voter stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It takes part.
    Voting,
    /// It may have forgotten what it promised: it has not been taken in since its start, or has not caught up with the furthest
    /// place that it was told then. Until it has caught up it leads nobody, and votes only for who has.
    Amnesiac,
    /// Its disk fails: it takes part no more until it is started anew.
    ReadOnly,
}

impl Standing {
    /// As it is told.
    pub fn name(self) -> &'static str {
        match self {
            Standing::Voting => "voting",
            Standing::Amnesiac => "amnesiac",
            Standing::ReadOnly => "read-only",
        }
    }
}

/// What the voter wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Out {
    /// Write these, in order, and say so by this number.
    Write(u64, Vec<Record>),
    /// A letter; it may be lost.
    Send(Letter),
    /// The entry of this index is committed.
    Apply(u64, Entry),
    /// The machine's state is this one, up to the index.
    Restore(u64, Vec<u8>),
    /// At the moment this was asked, and after it, this one led.
    Confirmed(u64),
    /// It cannot be told any more: ask again, maybe elsewhere.
    Unconfirmed(u64),
    /// The log is at its bound: take a snapshot.
    Compact,
    /// Something that staff may want to know.
    Event(Event),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It leads from now on.
    Leads(u64),
    /// It follows this one.
    Follows(MemberId, u64),
    /// It led, and does not any more.
    StepsDown,
    /// It has been taken in.
    Entered,
    /// Another remembers more of this voter than its disk does: the place there, and here.
    Forgot(MemberId, Place, Place),
    /// Another process lives under this id, or did a moment ago.
    Twin(Life),
}

/// Why an order was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// This one does not lead; the one that does, where it is known.
    NotLeader(Option<MemberId>),
    /// Too many are open.
    Busy,
    /// It is longer than [`super::ORDER_BYTES`].
    TooLong,
}
