//! The log of one voter: entries behind a snapshot.

use super::{Entry, Place};

/// Entries with consecutive indices; the first follows the base.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    base: Place,
    state: Vec<u8>,
    entries: Vec<Entry>,
}

impl Log {
    /// Nothing but a snapshot.
    pub fn starting(base: Place, state: Vec<u8>) -> Log {
        Log { base, state, entries: Vec::new() }
    }

    /// The snapshot's place; 0 where there is none.
    pub fn base(&self) -> Place {
        self.base
    }

    /// The snapshot's content.
    pub fn state(&self) -> &[u8] {
        &self.state
    }

    /// Entries behind the snapshot.
    pub fn length(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The end.
    pub fn last(&self) -> Place {
        let term = self.entries.last().map_or(self.base.term, |e| e.term);
        Place { term, index: self.base.index + self.length() }
    }

    fn at(&self, index: u64) -> Option<usize> {
        index.checked_sub(self.base.index + 1).map(|n| n as usize)
    }

    /// The entry of an index.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.at(index)?)
    }

    /// The term of an index, also of the snapshot's own.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index { Some(self.base.term) } else { self.entry(index).map(|e| e.term) }
    }

    /// The place of an index, where it is known.
    pub fn place(&self, index: u64) -> Option<Place> {
        self.term_at(index).map(|term| Place { term, index })
    }

    /// So many entries from an index on, at most.
    pub fn from(&self, index: u64, most: usize) -> Vec<Entry> {
        let from = self.at(index).unwrap_or(0).min(self.entries.len());
        self.entries[from..].iter().take(most).cloned().collect()
    }

    /// One more entry; its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last().index
    }

    /// Drops all from an index on.
    pub fn cut(&mut self, index: u64) {
        if let Some(from) = self.at(index) {
            self.entries.truncate(from);
        }
    }

    /// All up to a place that it holds is the snapshot's from now on.
    pub fn compact(&mut self, last: Place, state: Vec<u8>) {
        if let Some(n) = self.at(last.index) {
            self.entries.drain(..(n + 1).min(self.entries.len()));
            (self.base, self.state) = (last, state);
        }
    }
}
