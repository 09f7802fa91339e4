//! A voter's write-ahead log as bytes: an append-only file of records, each with a checksum over its head and one over its body. No
//! I/O: the adapter moves the bytes and syncs them.
//!
//! A file that ends in the middle of a record was torn before anybody was told that it is kept: the end is dropped. A record that is
//! unreadable where more follows, or whose head is readable and whose body is not, was kept once: its position stays as the
//! voter's promise ([`RecoveredState::promised`]), so that it votes for nobody who lacks it, and the leader sends it again.

use crate::quorum::log::Log;
use crate::quorum::{Entry, HardState, LogPosition, LogRecord, RecoveredState};

/// The format that this version writes.
pub const FORMAT: u16 = 1;
/// Maximum size of a record's body: a snapshot of a full state machine.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

const MAGIC: &[u8; 6] = b"CSPLOG";
/// Magic and format.
const HEADER_BYTES: usize = MAGIC.len() + 2;
const CHECKSUM_BYTES: usize = 8;

// A record's head: kind, body length, term, index, checksum of the body, checksum of all that.
const LENGTH_AT: usize = 1;
const TERM_AT: usize = LENGTH_AT + 4;
const INDEX_AT: usize = TERM_AT + 8;
const BODY_CHECKSUM_AT: usize = INDEX_AT + 8;
const HEAD_CHECKSUM_AT: usize = BODY_CHECKSUM_AT + CHECKSUM_BYTES;
const RECORD_HEAD_BYTES: usize = HEAD_CHECKSUM_AT + CHECKSUM_BYTES;

const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_SNAPSHOT: u8 = 3;

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// What a new file begins with.
pub fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes
}

/// A record as bytes.
pub fn encode(record: &LogRecord) -> Vec<u8> {
    let (kind, position, body) = match record {
        LogRecord::HardState(hard_state) => {
            let position = LogPosition { term: hard_state.term, index: 0 };
            (KIND_HARD_STATE, position, postcard::to_stdvec(hard_state))
        }
        LogRecord::Entry { index, entry } => {
            let position = LogPosition { term: entry.term, index: *index };
            (KIND_ENTRY, position, postcard::to_stdvec(entry))
        }
        LogRecord::Snapshot { last, state, replaces_log } => {
            (KIND_SNAPSHOT, *last, postcard::to_stdvec(&(state, replaces_log)))
        }
    };
    let body = body.unwrap_or_default();
    let mut bytes = Vec::with_capacity(RECORD_HEAD_BYTES + body.len());
    bytes.push(kind);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&position.term.to_le_bytes());
    bytes.extend_from_slice(&position.index.to_le_bytes());
    bytes.extend_from_slice(&checksum(&body));
    let head_checksum = checksum(&bytes);
    bytes.extend_from_slice(&head_checksum);
    bytes.extend_from_slice(&body);
    bytes
}

/// What the file's records amount to; kept up beside the file, so that it can be rewritten shorter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WalContents {
    /// Term, vote and incarnations.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
}

impl WalContents {
    /// Takes a record; false: it does not join the log.
    pub fn apply(&mut self, record: LogRecord) -> bool {
        match record {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state,
            LogRecord::Entry { index, entry } => {
                if index <= self.log.base().index || index > self.log.last().index + 1 {
                    return false;
                }
                self.log.truncate(index);
                self.log.push(entry);
            }
            LogRecord::Snapshot { last, state, replaces_log } => {
                if replaces_log || self.log.position(last.index) != Some(last) {
                    self.log = Log::from_snapshot(last, state);
                } else {
                    self.log.compact(last, state);
                }
            }
        }
        true
    }

    /// A whole file with just this.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = header();
        bytes.extend(encode(&LogRecord::HardState(self.hard_state.clone())));
        if self.log.base().index > 0 {
            let (last, state) = (self.log.base(), self.log.state().to_vec());
            bytes.extend(encode(&LogRecord::Snapshot { last, state, replaces_log: true }));
        }
        let first = self.log.base().index + 1;
        let entries = self.log.entries_from(first, usize::MAX);
        for (index, entry) in (first..).zip(entries) {
            bytes.extend(encode(&LogRecord::Entry { index, entry }));
        }
        bytes
    }
}

/// What was found damaged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Bytes of a last record that was not written to its end.
    pub torn_bytes: usize,
    /// Records that were kept and are unreadable.
    pub unreadable_records: usize,
}

/// Why a file cannot be used at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WalError {
    /// It is no such file.
    #[error("its log is no log of a fleet; move it away")]
    UnrecognizedFile,
    /// A newer version wrote it.
    #[error("its log has format {0}, of a newer version; start that one")]
    NewerFormat(u16),
}

struct RecordHead {
    kind: u8,
    body_length: usize,
    position: LogPosition,
    body_checksum: [u8; CHECKSUM_BYTES],
}

impl RecordHead {
    /// Reads the head at the beginning of these bytes; `None`: there is none, or its checksum is wrong.
    fn read(bytes: &[u8]) -> Option<RecordHead> {
        let bytes = bytes.get(..RECORD_HEAD_BYTES)?;
        let field = |at: usize| -> [u8; 8] { std::array::from_fn(|n| bytes[at + n]) };
        if checksum(&bytes[..HEAD_CHECKSUM_AT]) != field(HEAD_CHECKSUM_AT) {
            return None;
        }
        let length: [u8; 4] = std::array::from_fn(|n| bytes[LENGTH_AT + n]);
        let term = u64::from_le_bytes(field(TERM_AT));
        let index = u64::from_le_bytes(field(INDEX_AT));
        let head = RecordHead {
            kind: bytes[0],
            body_length: u32::from_le_bytes(length) as usize,
            position: LogPosition { term, index },
            body_checksum: field(BODY_CHECKSUM_AT),
        };
        (head.body_length <= MAX_BODY_BYTES).then_some(head)
    }

    /// Reads the body of this head; `None`: it is unreadable.
    fn read_body(&self, body: &[u8]) -> Option<LogRecord> {
        if checksum(body) != self.body_checksum {
            return None;
        }
        match self.kind {
            KIND_HARD_STATE => postcard::from_bytes(body).ok().map(LogRecord::HardState),
            KIND_ENTRY => {
                let entry: Entry = postcard::from_bytes(body).ok()?;
                Some(LogRecord::Entry { index: self.position.index, entry })
            }
            KIND_SNAPSHOT => {
                let (state, replaces_log) = postcard::from_bytes(body).ok()?;
                Some(LogRecord::Snapshot { last: self.position, state, replaces_log })
            }
            _ => None,
        }
    }
}

/// A recovery under way.
#[derive(Default)]
struct Recovery {
    contents: WalContents,
    promised: LogPosition,
    damage: Damage,
}

impl Recovery {
    /// Takes a record whose head is readable.
    fn recover_record(&mut self, head: &RecordHead, body: &[u8]) {
        match head.read_body(body) {
            Some(record) => {
                let joins_log = self.contents.apply(record);
                let end = if joins_log { self.contents.log.last() } else { head.position };
                self.promised = self.promised.max(end);
            }
            None => {
                self.damage.unreadable_records += 1;
                if head.kind != KIND_HARD_STATE {
                    self.promised = self.promised.max(head.position);
                }
            }
        }
    }

    /// Takes the records of a file, behind its header.
    fn recover_records(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while at < bytes.len() {
            let Some(head) = RecordHead::read(&bytes[at..]) else {
                // The next readable record tells that this one was kept; with none, it is the torn end.
                let next = (at + 1..bytes.len()).find(|n| RecordHead::read(&bytes[*n..]).is_some());
                let Some(next) = next else { break };
                self.damage.unreadable_records += 1;
                at = next;
                continue;
            };
            let body_at = at + RECORD_HEAD_BYTES;
            let Some(body) = bytes.get(body_at..body_at + head.body_length) else { break };
            self.recover_record(&head, body);
            at = body_at + head.body_length;
        }
        self.damage.torn_bytes = bytes.len() - at;
    }
}

/// Reads a file. Nothing of it is believed that is unreadable; what can be told of the rest is in the promise.
///
/// # Errors
/// Where the file is no write-ahead log, or has a newer format.
pub fn recover(bytes: &[u8]) -> Result<(RecoveredState, Damage), WalError> {
    if bytes.is_empty() {
        return Ok((RecoveredState::default(), Damage::default()));
    }
    let after_magic = bytes.strip_prefix(MAGIC.as_slice());
    let Some((format, records)) = after_magic.and_then(|rest| rest.split_first_chunk::<2>()) else {
        // A header that was not written to its end holds nothing yet.
        let is_torn = bytes.len() < HEADER_BYTES && header().starts_with(bytes);
        let damage = Damage { torn_bytes: bytes.len(), ..Damage::default() };
        return if is_torn {
            Ok((RecoveredState::default(), damage))
        } else {
            Err(WalError::UnrecognizedFile)
        };
    };
    match u16::from_le_bytes(*format) {
        FORMAT => {}
        newer => return Err(WalError::NewerFormat(newer)),
    }
    let mut recovery = Recovery::default();
    recovery.recover_records(records);
    let Recovery { contents: WalContents { hard_state, log }, promised, damage } = recovery;
    let promised = promised.max(log.last());
    let is_intact = damage.unreadable_records == 0 && !records.is_empty();
    Ok((RecoveredState { hard_state, log, promised, is_intact }, damage))
}

#[cfg(test)]
mod tests;
