//! The replicated state machine: every voter feeds it with the same commands. Each command is carried out at most once, also when it
//! was sent again because its answer was lost: the answer to each session's last command is kept with the state.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Command, Entry};

/// Maximum number of sessions that are remembered; at the bound the one whose last command is the oldest is forgotten.
const MAX_SESSIONS: usize = 4_096;

/// A state machine without I/O and without a clock. The same commands bring every copy to the same state.
pub trait StateMachine: Clone + Default + Serialize + DeserializeOwned {
    /// What a command returns.
    type Answer: Clone + Serialize + DeserializeOwned;

    /// Carries a command out; `index` is its index in the log, above that of all commands before.
    fn apply(&mut self, index: u64, body: &[u8]) -> Self::Answer;
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Session<A> {
    seq: u64,
    index: u64,
    answer: A,
}

/// A state machine with its clients' sessions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Replica<M: StateMachine> {
    /// The state machine.
    pub machine: M,
    sessions: BTreeMap<u64, Session<M::Answer>>,
    /// The last index that was applied.
    pub applied: u64,
}

impl<M: StateMachine> Default for Replica<M> {
    fn default() -> Self {
        Replica { machine: M::default(), sessions: BTreeMap::new(), applied: 0 }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Applies a committed entry and returns the answer to its command, if it has one. A command that was applied before is
    /// answered as it was then; one that is older than the session's last gets no answer: its client has gone on.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Option<M::Answer> {
        if index <= self.applied {
            return None;
        }
        self.applied = index;
        let Command { session, seq, body } = entry.command.as_ref()?;
        if let Some(last) = self.sessions.get(session).filter(|last| *seq <= last.seq) {
            return (last.seq == *seq).then(|| last.answer.clone());
        }
        let answer = self.machine.apply(index, body);
        self.evict_oldest_session_for(*session);
        self.sessions.insert(*session, Session { seq: *seq, index, answer: answer.clone() });
        Some(answer)
    }

    fn evict_oldest_session_for(&mut self, session: u64) {
        if self.sessions.len() < MAX_SESSIONS || self.sessions.contains_key(&session) {
            return;
        }
        let oldest = self.sessions.iter().min_by_key(|(_, session)| session.index);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.sessions.remove(&id);
        }
    }

    /// The whole state, for a snapshot.
    pub fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a snapshot; `None`: it is unreadable.
    pub fn from_state(state: &[u8]) -> Option<Self> {
        postcard::from_bytes(state).ok()
    }
}

#[cfg(test)]
mod tests;
