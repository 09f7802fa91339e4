//! How a voter that has started is taken in again.
//!
//! It takes a new life and says hello. Each other records the life, on disk, and answers how far it is itself. The voter is in
//! once answers of its present life have come from a majority of voters that are themselves in, not counting itself, or from all
//! others. Why that is enough: whatever an earlier life of it had a part in was held by a majority with it, and each such majority
//! has, besides it, a member among those that answered. Either that member held its part before it answered, and then the answer
//! says so; or it came to hold it afterwards, and then the letter that says so carries the new life, by which the leader
//! or candidate drops what the earlier life had promised. The second way is for a fleet that starts as a whole: with all
//! others, one that did not forget is among them as long as those that did are a minority; for the same reason the furthest log
//! among all is far enough then. A promise that only logs were behind which have gone since is lowered in that way too.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Body, Event, Life, Out, Place, Role, Voter};
use crate::Micros;
use crate::member::MemberId;

/// What has come so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entering {
    /// Who has answered, and whether it is in itself.
    pub welcomes: BTreeMap<MemberId, bool>,
    /// The highest term that was told.
    pub term: u64,
    /// The furthest place that was told, held or promised.
    pub furthest: Place,
    /// The furthest that was told to be held.
    pub held: Place,
}

impl Voter {
    /// Takes a life above every known one, and starts to ask.
    pub(super) fn enter_anew(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.follow(None, out);
        let known = self.hard.lives.get(&self.set.id).map_or(0, |life| life.number);
        self.life = Life { number: known.max(self.life.number - 1) + 1, nonce: self.set.nonce };
        self.hard.lives.insert(self.set.id.clone(), self.life);
        self.save_hard(out);
        self.entering = Some(Entering::default());
        self.deadline = now;
        self.say_hello(now, out);
    }

    pub(super) fn say_hello(&mut self, now: Micros, out: &mut Vec<Out>) {
        if now < self.deadline {
            return;
        }
        self.deadline = now + self.set.election / 4;
        for to in self.others() {
            self.promise(&to, Body::Hello, out);
        }
    }

    /// Takes the lives that a letter carries; false: it is of an earlier life of its writer.
    pub(super) fn take_lives(
        &mut self,
        now: Micros,
        from: &MemberId,
        lives: &BTreeMap<MemberId, Life>,
        out: &mut Vec<Out>,
    ) -> bool {
        if !self.set.rules.lives {
            return true;
        }
        let mut news = false;
        for (id, life) in lives {
            if !self.set.voters.contains(id) {
                continue;
            }
            let known = self.hard.lives.get(id).copied().unwrap_or_default();
            if *life <= known {
                continue;
            }
            news = true;
            self.hard.lives.insert(id.clone(), *life);
            if *id == self.set.id {
                // A later start of this voter was heard of: one that ran beside or after the folder's copy.
                out.push(Out::Event(Event::Twin(*life)));
                self.enter_anew(now, out);
            } else {
                self.forget(id);
            }
        }
        if news {
            self.save_hard(out);
        }
        lives.get(from) == self.hard.lives.get(from)
    }

    /// Nothing that an earlier life of it promised counts any more.
    fn forget(&mut self, id: &MemberId) {
        if self.role != Role::Leader {
            self.votes.retain(|voter| voter != id);
        }
        if let Some(progress) = self.peers.get_mut(id) {
            (progress.matched, progress.round) = (0, 0);
        }
    }

    /// Answers one that has started; its life is recorded by now.
    pub(super) fn welcome(&mut self, to: &MemberId, out: &mut Vec<Out>) {
        let (last, holds) = (self.log.last().max(self.promise), self.log.last());
        let yours = self.remembered.get(to).copied().unwrap_or_default();
        self.promise(to, Body::Welcome { last, holds, entered: self.entering.is_none(), yours }, out);
    }

    /// Nobody leads, and this one may have promised more than it holds: it asks what all others hold.
    pub(super) fn ask_all(&mut self, out: &mut Vec<Out>) {
        for to in self.others() {
            self.promise(&to, Body::Hello, out);
        }
    }

    pub(super) fn welcomed(
        &mut self,
        now: Micros,
        from: MemberId,
        term: u64,
        welcome: &Body,
        out: &mut Vec<Out>,
    ) {
        let Body::Welcome { last, holds, entered, yours } = *welcome else { return };
        let (own, others) = (self.log.last(), self.set.voters.len() - 1);
        let majority = self.majority();
        let Some(entering) = &mut self.entering else {
            if own < self.promise {
                self.survey.insert(from, holds);
                if self.survey.len() == others {
                    let furthest = self.survey.values().copied().fold(own, Place::max);
                    self.promise = self.promise.min(furthest);
                    self.survey.clear();
                }
            }
            return;
        };
        if yours.term > self.hard.term || yours.index > own.index {
            let own = Place { term: self.hard.term, index: own.index };
            out.push(Out::Event(Event::Forgot(from.clone(), yours, own)));
        }
        entering.term = entering.term.max(term);
        entering.furthest = entering.furthest.max(last);
        entering.held = entering.held.max(holds);
        let is_in = entering.welcomes.entry(from).or_default();
        *is_in |= entered;
        let sure = entering.welcomes.values().filter(|is_in| **is_in).count();
        let all = entering.welcomes.len() == others;
        if sure < majority && !all {
            return;
        }
        let (term, furthest) = (entering.term, if all { entering.held } else { entering.furthest });
        self.entering = None;
        self.promise = if all { own.max(furthest) } else { self.promise.max(furthest) };
        // It may have voted in the highest term that any of them knows.
        if term >= self.hard.term {
            (self.hard.term, self.hard.vote) = (term, Some(self.set.id.clone()));
            self.save_hard(out);
        }
        self.heard = now;
        self.wait(now);
        out.push(Out::Event(Event::Entered));
    }
}
