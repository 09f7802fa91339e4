//! A member's side of leases: what it may do now, and until when. Counted from before it asked.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Claim, Claimed, Who, Work};
use crate::Micros;

/// Claims that are remembered; an answer to an older one is of no use.
const ASKED_MOST: usize = 16;
/// Claims in a lease.
const CLAIMS: u64 = 6;

/// What changed for an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is this member's, by this token.
    Mine(Work, u64),
    /// It is not any more: whatever was under way for it ends here.
    Lost(Work, u64),
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Holder {
    who: Who,
    lease: Micros,
    wants: BTreeSet<Work>,
    number: u64,
    asked: VecDeque<(u64, Micros)>,
    held: BTreeMap<Work, (u64, Micros)>,
    drops: BTreeMap<Work, u64>,
    next: Micros,
}

impl Holder {
    /// A member's process that has just started.
    pub fn new(now: Micros, who: Who, lease: Micros) -> Holder {
        Holder {
            who,
            lease,
            wants: BTreeSet::new(),
            number: 0,
            asked: VecDeque::new(),
            held: BTreeMap::new(),
            drops: BTreeMap::new(),
            next: now,
        }
    }

    /// It would own this item.
    pub fn wants(&mut self, work: Work) {
        self.wants.insert(work);
    }

    /// It would own nothing any more, and puts all down: what was under way has ended.
    pub fn puts_all_down(&mut self, now: Micros) -> Vec<Turn> {
        self.wants.clear();
        self.next = now;
        let held = std::mem::take(&mut self.held);
        self.drops.extend(held.iter().map(|(work, (token, _))| (work.clone(), *token)));
        held.into_iter().map(|(work, (token, _))| Turn::Lost(work, token)).collect()
    }

    /// The claim that is due now, if one is.
    pub fn claim(&mut self, now: Micros) -> Option<Claim> {
        if now < self.next || self.wants.is_empty() && self.drops.is_empty() {
            return None;
        }
        self.next = now + self.lease / CLAIMS;
        self.number += 1;
        if self.asked.len() >= ASKED_MOST {
            self.asked.pop_front();
        }
        self.asked.push_back((self.number, now));
        Some(Claim {
            who: self.who.clone(),
            number: self.number,
            wants: self.wants.iter().cloned().collect(),
            drops: self.drops.iter().map(|(work, token)| (work.clone(), *token)).collect(),
        })
    }

    /// The leader was another one: the next claim goes out at once.
    pub fn asks_again(&mut self, now: Micros) {
        self.next = now + self.lease / CLAIMS / 8;
    }

    /// Takes an answer.
    pub fn claimed(&mut self, now: Micros, answer: Claimed) -> Vec<Turn> {
        let Some(at) = self.asked.iter().position(|(number, _)| *number == answer.number) else {
            return Vec::new();
        };
        let asked = self.asked.drain(..=at).next_back().map_or(now, |(_, asked)| asked);
        let until = asked + self.lease;
        self.drops.retain(|work, token| answer.yours.iter().any(|(w, t)| w == work && t == token));
        if until <= now {
            return self.tick(now); // a grant that comes after its lease is over
        }
        let mut turns = Vec::new();
        let mut held = BTreeMap::new();
        for (work, token) in answer.yours {
            // What was put down is not taken up by the same token.
            if !self.wants.contains(&work) || self.drops.contains_key(&work) {
                continue;
            }
            let before = self.held.remove(&work);
            if before.is_none_or(|(old, _)| old != token) {
                turns.extend(before.map(|(old, _)| Turn::Lost(work.clone(), old)));
                turns.push(Turn::Mine(work.clone(), token));
            }
            held.insert(work, (token, until.max(before.map_or(0, |(_, until)| until))));
        }
        let lost = std::mem::replace(&mut self.held, held);
        turns.extend(lost.into_iter().map(|(work, (token, _))| Turn::Lost(work, token)));
        turns
    }

    /// The token by which it may act for an item now.
    pub fn holds(&self, now: Micros, work: &Work) -> Option<u64> {
        self.held.get(work).filter(|(_, until)| now < *until).map(|(token, _)| *token)
    }

    /// What it holds.
    pub fn all(&self, now: Micros) -> impl Iterator<Item = (&Work, u64)> {
        self.held.iter().filter(move |(_, (_, until))| now < *until).map(|(work, (token, _))| (work, *token))
    }

    /// Puts down what it has no lease for any more.
    pub fn tick(&mut self, now: Micros) -> Vec<Turn> {
        let over: Vec<(Work, u64)> = self
            .held
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(work, (token, _))| (work.clone(), *token))
            .collect();
        over.into_iter()
            .map(|(work, token)| {
                self.held.remove(&work);
                Turn::Lost(work, token)
            })
            .collect()
    }

    /// When it wants the next tick: the next claim, or the end of a lease.
    pub fn next_due(&self) -> Micros {
        self.held.values().map(|(_, until)| *until).min().unwrap_or(Micros::MAX).min(self.next)
    }
}
