//! The byte format of a voter's write-ahead log: an append-only file of records, each with one checksum over its header
//! and one over its body. This module performs no I/O; the caller reads, writes and syncs the file.
//!
//! An incomplete record at the end of the file is a torn write. It was never reported as durable, so it is discarded. A
//! record that is unreadable although readable records follow, or that has a readable header and an unreadable body,
//! was durable before. If the header is readable, its position is kept as the voter's promise
//! ([`RecoveredState::promised`]): the voter grants no vote to a candidate that lacks the entry, and the leader sends
//! the entry again.

use crate::quorum::log::Log;
use crate::quorum::{Entry, HardState, LogPosition, LogRecord, RecoveredState};

/// The format version that this program writes.
pub const FORMAT: u16 = 1;
/// Maximum size of a record body. The largest records are snapshots; the bound fits a state machine of the maximum
/// size.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

const MAGIC: &[u8; 6] = b"CSPLOG";
/// Size of the file header: the magic bytes and the format version.
const FILE_HEADER_BYTES: usize = MAGIC.len() + 2;
const CHECKSUM_BYTES: usize = 8;

// Layout of a record header: kind, body length, term, index, checksum of the body, checksum of all preceding header
// fields.
const LENGTH_AT: usize = 1;
const TERM_AT: usize = LENGTH_AT + 4;
const INDEX_AT: usize = TERM_AT + 8;
const BODY_CHECKSUM_AT: usize = INDEX_AT + 8;
const HEADER_CHECKSUM_AT: usize = BODY_CHECKSUM_AT + CHECKSUM_BYTES;
const RECORD_HEADER_BYTES: usize = HEADER_CHECKSUM_AT + CHECKSUM_BYTES;

const KIND_HARD_STATE: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_SNAPSHOT: u8 = 3;

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// The header of a log file.
pub fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes
}

/// Encodes a record.
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
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + body.len());
    bytes.push(kind);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&position.term.to_le_bytes());
    bytes.extend_from_slice(&position.index.to_le_bytes());
    bytes.extend_from_slice(&checksum(&body));
    let header_checksum = checksum(&bytes);
    bytes.extend_from_slice(&header_checksum);
    bytes.extend_from_slice(&body);
    bytes
}

/// The state described by the records of a file. The caller updates it with each record that it writes, so that it can
/// replace the file by a compacted one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WalContents {
    /// Term, vote and incarnations.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
}

impl WalContents {
    /// Applies a record. Returns false if it is an entry whose index does not continue the log.
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

    /// Encodes a complete file with only this state.
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

/// The damage found in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Number of bytes of an incomplete record at the end of the file.
    pub torn_bytes: usize,
    /// Number of records that were durable and are unreadable.
    pub unreadable_records: usize,
}

/// Why a file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WalError {
    /// The file does not start with the magic bytes of a write-ahead log.
    #[error("the file 'log' is not a write-ahead log of this program; move it out of the folder")]
    UnrecognizedFile,
    /// The file has a format version that this program does not support.
    #[error("the write-ahead log has format {0}, written by a newer version; start that version instead")]
    NewerFormat(u16),
}

struct RecordHeader {
    kind: u8,
    body_length: usize,
    position: LogPosition,
    body_checksum: [u8; CHECKSUM_BYTES],
}

impl RecordHeader {
    /// Reads the header at the start of these bytes; `None` if they are too short, the checksum does not match, or the
    /// body would be too long.
    fn read(bytes: &[u8]) -> Option<RecordHeader> {
        let bytes = bytes.get(..RECORD_HEADER_BYTES)?;
        let field = |at: usize| -> [u8; 8] { std::array::from_fn(|n| bytes[at + n]) };
        if checksum(&bytes[..HEADER_CHECKSUM_AT]) != field(HEADER_CHECKSUM_AT) {
            return None;
        }
        let length: [u8; 4] = std::array::from_fn(|n| bytes[LENGTH_AT + n]);
        let term = u64::from_le_bytes(field(TERM_AT));
        let index = u64::from_le_bytes(field(INDEX_AT));
        let header = RecordHeader {
            kind: bytes[0],
            body_length: u32::from_le_bytes(length) as usize,
            position: LogPosition { term, index },
            body_checksum: field(BODY_CHECKSUM_AT),
        };
        (header.body_length <= MAX_BODY_BYTES).then_some(header)
    }

    /// Decodes the body that belongs to this header; `None` if the checksum does not match or the body cannot be
    /// decoded.
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

/// The state of a recovery in progress.
#[derive(Default)]
struct Recovery {
    contents: WalContents,
    promised: LogPosition,
    damage: Damage,
}

impl Recovery {
    /// Recovers a record with a readable header.
    fn recover_record(&mut self, header: &RecordHeader, body: &[u8]) {
        match header.read_body(body) {
            Some(record) => {
                let continues_log = self.contents.apply(record);
                let end = if continues_log { self.contents.log.last() } else { header.position };
                self.promised = self.promised.max(end);
            }
            None => {
                self.damage.unreadable_records += 1;
                if header.kind != KIND_HARD_STATE {
                    self.promised = self.promised.max(header.position);
                }
            }
        }
    }

    /// Recovers the records of a file; `bytes` excludes the file header.
    fn recover_records(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while at < bytes.len() {
            let Some(header) = RecordHeader::read(&bytes[at..]) else {
                // If a readable record follows, the unreadable bytes were durable. If none follows, they are a torn
                // write.
                let next = (at + 1..bytes.len()).find(|n| RecordHeader::read(&bytes[*n..]).is_some());
                let Some(next) = next else { break };
                self.damage.unreadable_records += 1;
                at = next;
                continue;
            };
            let body_at = at + RECORD_HEADER_BYTES;
            let Some(body) = bytes.get(body_at..body_at + header.body_length) else { break };
            self.recover_record(&header, body);
            at = body_at + header.body_length;
        }
        self.damage.torn_bytes = bytes.len() - at;
    }
}

/// Recovers the state from the bytes of a file. Unreadable records are skipped; the highest position known from their
/// headers is included in [`RecoveredState::promised`].
///
/// # Errors
/// Fails if the file is not a write-ahead log or has a newer format.
pub fn recover(bytes: &[u8]) -> Result<(RecoveredState, Damage), WalError> {
    if bytes.is_empty() {
        return Ok((RecoveredState::default(), Damage::default()));
    }
    let after_magic = bytes.strip_prefix(MAGIC.as_slice());
    let Some((format, records)) = after_magic.and_then(|rest| rest.split_first_chunk::<2>()) else {
        // The write of the file header was torn, so the file has no records yet.
        let is_torn = bytes.len() < FILE_HEADER_BYTES && header().starts_with(bytes);
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
