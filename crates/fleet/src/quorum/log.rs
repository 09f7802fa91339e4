//! A voter's log: a snapshot and the entries after it.

use super::{Entry, LogPosition};

/// A snapshot and entries with consecutive indices; the first entry directly follows the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    base: LogPosition,
    state: Vec<u8>,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log that contains only a snapshot.
    pub fn from_snapshot(base: LogPosition, state: Vec<u8>) -> Log {
        Log { base, state, entries: Vec::new() }
    }

    /// The last position included in the snapshot; zero if there is no snapshot.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The state machine's state in the snapshot; empty if there is no snapshot.
    pub fn state(&self) -> &[u8] {
        &self.state
    }

    /// The number of entries after the snapshot.
    pub fn length(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The position of the last entry, or of the snapshot if there are no entries.
    pub fn last(&self) -> LogPosition {
        let term = self.entries.last().map_or(self.base.term, |entry| entry.term);
        LogPosition { term, index: self.base.index + self.length() }
    }

    /// The offset in `entries` of the entry at an index; `None` if the snapshot includes that index.
    fn offset(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.base.index + 1).map(|offset| offset as usize)
    }

    /// The entry at an index.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// The term of the entry at an index, or of the snapshot if `index` is its last index.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index { Some(self.base.term) } else { self.entry(index).map(|e| e.term) }
    }

    /// The position at an index, if its term is known.
    pub fn position(&self, index: u64) -> Option<LogPosition> {
        self.term_at(index).map(|term| LogPosition { term, index })
    }

    /// The entries from an index on, at most `limit`.
    pub fn entries_from(&self, index: u64, limit: usize) -> Vec<Entry> {
        let offset = self.offset(index).unwrap_or(0).min(self.entries.len());
        self.entries[offset..].iter().take(limit).cloned().collect()
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last().index
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, index: u64) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Replaces the entries up to `last`, which must be a position in this log, by a snapshot.
    pub fn compact(&mut self, last: LogPosition, state: Vec<u8>) {
        if let Some(offset) = self.offset(last.index) {
            self.entries.drain(..(offset + 1).min(self.entries.len()));
            self.base = last;
            self.state = state;
        }
    }
}
