//! What the log is for: a machine that every voter feeds with the same orders. Each order is carried out at most once, also when it
//! was sent again because its answer was lost: the answers of each session's last order are kept with the state.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Entry, Order};

/// Most sessions that are remembered; at the bound the one that ordered longest ago is forgotten.
const SESSIONS_MOST: usize = 4_096;

/// A machine without I/O and without a clock. The same orders bring every copy to the same state.
pub trait Machine: Clone + Default + Serialize + DeserializeOwned {
    /// What comes of an order.
    type Answer: Clone + Serialize + DeserializeOwned;

    /// Carries an order out; `index` is its place in the log, above that of all orders before.
    fn apply(&mut self, index: u64, body: &[u8]) -> Self::Answer;
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Session<A> {
    seq: u64,
    index: u64,
    answer: A,
}

/// A machine with the sessions of those who order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Replica<M: Machine> {
    /// The machine.
    pub machine: M,
    sessions: BTreeMap<u64, Session<M::Answer>>,
    /// Up to where the log was applied.
    pub applied: u64,
}

impl<M: Machine> Default for Replica<M> {
    fn default() -> Self {
        Replica { machine: M::default(), sessions: BTreeMap::new(), applied: 0 }
    }
}

impl<M: Machine> Replica<M> {
    /// Applies a committed entry; the answer to its order, if it has one. An order that was applied before is answered as it
    /// was then, one that is older than the session's last is answered with nothing: its client has gone on.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Option<M::Answer> {
        if index <= self.applied {
            return None;
        }
        self.applied = index;
        let Order { session, seq, body } = entry.order.as_ref()?;
        if let Some(last) = self.sessions.get(session).filter(|last| *seq <= last.seq) {
            return (last.seq == *seq).then(|| last.answer.clone());
        }
        let answer = self.machine.apply(index, body);
        if self.sessions.len() >= SESSIONS_MOST && !self.sessions.contains_key(session) {
            let oldest = self.sessions.iter().min_by_key(|(_, s)| s.index).map(|(id, _)| *id);
            oldest.and_then(|id| self.sessions.remove(&id));
        }
        self.sessions.insert(*session, Session { seq: *seq, index, answer: answer.clone() });
        Some(answer)
    }

    /// The whole state, for a snapshot.
    pub fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From a snapshot; `None`: it does not read.
    pub fn restored(state: &[u8]) -> Option<Self> {
        postcard::from_bytes(state).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
    struct Sum(u64);

    impl Machine for Sum {
        type Answer = u64;

        fn apply(&mut self, _: u64, body: &[u8]) -> u64 {
            self.0 += body.len() as u64;
            self.0
        }
    }

    fn order(session: u64, seq: u64, size: usize) -> Entry {
        Entry { term: 1, order: Some(Order { session, seq, body: vec![0; size] }) }
    }

    #[test]
    fn an_order_that_comes_again_is_answered_as_before_and_not_carried_out() {
        let mut replica = Replica::<Sum>::default();
        assert_eq!(replica.apply(1, &order(7, 1, 5)), Some(5));
        assert_eq!(replica.apply(2, &order(7, 1, 5)), Some(5));
        assert_eq!(replica.apply(3, &order(7, 2, 1)), Some(6));
        assert_eq!(replica.apply(4, &order(7, 1, 5)), None, "its client has gone on");
        assert_eq!(replica.apply(3, &order(9, 1, 5)), None, "applied already");
        let again = Replica::<Sum>::restored(&replica.state()).unwrap();
        assert_eq!((again.machine.clone(), again.applied), (Sum(6), 4));
        let mut again = again;
        assert_eq!(again.apply(5, &order(7, 2, 1)), Some(6), "also after a snapshot");
    }

    #[test]
    fn sessions_are_bounded_and_the_oldest_goes() {
        let mut replica = Replica::<Sum>::default();
        for n in 0..SESSIONS_MOST as u64 + 1 {
            replica.apply(n + 1, &order(n, 1, 1));
        }
        assert_eq!(replica.sessions.len(), SESSIONS_MOST);
        assert!(!replica.sessions.contains_key(&0));
    }
}
