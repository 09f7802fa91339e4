//! A voter's log: a snapshot, and the entries behind it.

use super::{Entry, LogPosition};

/// Entries with consecutive indices; the first follows the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    base: LogPosition,
    state: Vec<u8>,
    entries: Vec<Entry>,
}

impl Log {
    /// A log that holds nothing but a snapshot.
    pub fn from_snapshot(base: LogPosition, state: Vec<u8>) -> Log {
        Log { base, state, entries: Vec::new() }
    }

    /// The snapshot's position; 0 where there is none.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The snapshot's content.
    pub fn state(&self) -> &[u8] {
        &self.state
    }

    /// How many entries are behind the snapshot.
    pub fn length(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The position of the last entry.
    pub fn last(&self) -> LogPosition {
        let term = self.entries.last().map_or(self.base.term, |entry| entry.term);
        LogPosition { term, index: self.base.index + self.length() }
    }

    /// Where the entry of an index is in `entries`; `None`: the snapshot includes it.
    fn offset(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.base.index + 1).map(|offset| offset as usize)
    }

    /// The entry of an index.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// The term of an index, also of the snapshot's own.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index { Some(self.base.term) } else { self.entry(index).map(|e| e.term) }
    }

    /// The position of an index, where it is known.
    pub fn position(&self, index: u64) -> Option<LogPosition> {
        self.term_at(index).map(|term| LogPosition { term, index })
    }

    /// Entries from an index on, `limit` at most.
    pub fn entries_from(&self, index: u64, limit: usize) -> Vec<Entry> {
        let offset = self.offset(index).unwrap_or(0).min(self.entries.len());
        self.entries[offset..].iter().take(limit).cloned().collect()
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last().index
    }

    /// Drops all entries from an index on.
    pub fn truncate(&mut self, index: u64) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Replaces the entries up to a position that the log holds by a snapshot.
    pub fn compact(&mut self, last: LogPosition, state: Vec<u8>) {
        if let Some(offset) = self.offset(last.index) {
            self.entries.drain(..(offset + 1).min(self.entries.len()));
            self.base = last;
            self.state = state;
        }
    }
}
