//! The replicated state machine: every voter applies the same commands in the same order. Each command takes effect at
//! most once, even if the client resends it because the answer was lost: the answer to the last command of each session
//! is part of the state.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Command, Entry};

/// Maximum number of sessions. When it is reached, a new session evicts the one whose last command is the oldest.
const MAX_SESSIONS: usize = 4_096;

/// A deterministic state machine without I/O and clock: the same commands bring every replica to the same state.
pub trait StateMachine: Clone + Default + Serialize + DeserializeOwned {
    /// The result of a command.
    type Answer: Clone + Serialize + DeserializeOwned;

    /// Applies a command. `index` is its index in the log, which is higher than that of every earlier command.
    fn apply(&mut self, index: u64, body: &[u8]) -> Self::Answer;
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Session<A> {
    seq: u64,
    index: u64,
    answer: A,
}

/// A state machine and the sessions of its clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Replica<M: StateMachine> {
    /// The state machine.
    pub machine: M,
    sessions: BTreeMap<u64, Session<M::Answer>>,
    /// The index of the last applied entry.
    pub applied: u64,
}

impl<M: StateMachine> Default for Replica<M> {
    fn default() -> Self {
        Replica { machine: M::default(), sessions: BTreeMap::new(), applied: 0 }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Applies a committed entry and returns the answer to its command, if any. A repetition of the session's last
    /// command returns the stored answer. A command older than that returns no answer, because its client has already
    /// sent a later one.
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

    /// Serializes the state machine and the sessions for a snapshot.
    pub fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Restores a replica from a snapshot; `None` if it cannot be decoded.
    pub fn from_state(state: &[u8]) -> Option<Self> {
        postcard::from_bytes(state).ok()
    }
}

#[cfg(test)]
mod tests;
