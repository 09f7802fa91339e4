//! A small replicated log among 3, 5 or 7 voters, after Raft (Ongaro 2014) with pre-vote and check-quorum. Pure: letters, times and
//! the disk's word in; letters, writes and committed orders out.
//!
//! Beyond Raft: **every start is a re-entry** ([`entry`]). A disk may have forgotten what its voter promised (an empty or an
//! older folder, an fsync that kept nothing, a record that does not read), and no voter can tell by itself. So one that has started
//! gives itself a new [`Life`], asks the others how far they are, and neither votes, leads nor acknowledges before enough of
//! them have answered. From then on it votes for nobody who is behind the furthest of those answers. Letters carry the lives
//! that their sender knows, and what an earlier life of a voter promised counts no more once a later one is known.
//!
//! What must be on disk before a letter leaves is kept here: a letter that states a promise is held until [`Voter::written`]
//! says that the write it rests on is done.

pub mod entry;
pub mod log;
pub mod machine;
mod replicate;
mod types;

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Micros;
use crate::member::MemberId;
use entry::Entering;
use log::Log;
pub use types::{
    Body, Entry, Event, Hard, Held, Letter, Life, Order, Out, Place, Record, Refused, Role, Rules, Setup,
    Standing,
};

/// Most bytes of an order.
pub const ORDER_BYTES: usize = 4_096;
/// Most entries in a letter.
const ENTRIES: usize = 64;
/// Entries kept after a snapshot, at most; at the bound the log asks for a snapshot, and far beyond it takes no orders.
pub const LOG_MOST: u64 = 1_024;
/// Orders that are taken and not committed yet, at most; further ones are refused.
const OPEN_MOST: u64 = 512;
/// Letters that wait for the disk, at most; further ones are dropped, as the network may drop them.
const HELD_MOST: usize = 256;
/// Questions for a confirmation that are out, at most.
const READS_MOST: usize = 256;
/// Heartbeats in an election timeout.
const BEATS: u64 = 5;

/// How far another is, as the leader knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Progress {
    next: u64,
    matched: u64,
    round: u64,
    heard: Micros,
}

/// Random choices; states that differ in them only are the same to a checker.
#[derive(Clone, Debug)]
struct Chance(Pcg64Mcg);

impl PartialEq for Chance {
    fn eq(&self, _: &Chance) -> bool {
        true
    }
}

impl Eq for Chance {}

impl Hash for Chance {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// The first of a queue, where it is one of those.
fn pop_if<T>(queue: &mut VecDeque<T>, is: impl Fn(&T) -> bool) -> Option<T> {
    if queue.front().is_some_and(is) { queue.pop_front() } else { None }
}

/// One voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    set: Setup,
    chance: Chance,
    hard: Hard,
    log: Log,
    /// It votes for nobody whose log ends before this place.
    promise: Place,
    life: Life,
    entering: Option<Entering>,
    /// What each other holds, where nobody leads and this one is behind its promise.
    survey: BTreeMap<MemberId, Place>,
    read_only: bool,
    role: Role,
    leader: Option<MemberId>,
    heard: Micros,
    deadline: Micros,
    commit: u64,
    votes: Vec<MemberId>,
    peers: BTreeMap<MemberId, Progress>,
    /// The furthest that was heard of each other, to remind it of.
    remembered: BTreeMap<MemberId, Place>,
    round: u64,
    reads: VecDeque<(u64, u64)>,
    /// Number of the last write that was asked for, and of the last that is done.
    write: u64,
    done: u64,
    /// Where the log ended with each write that is not done.
    ends: VecDeque<(u64, u64)>,
    durable: u64,
    held: VecDeque<(u64, Letter)>,
    asked_to_compact: bool,
}

impl Voter {
    /// A voter that has just started, with what its disk held. `seed` is for its random choices.
    pub fn new(now: Micros, set: Setup, held: Held, seed: u64, out: &mut Vec<Out>) -> Voter {
        let Held { hard, log, promise, whole } = held;
        let number = hard.lives.get(&set.id).map_or(0, |life| life.number) + 1;
        let last = log.last();
        let mut voter = Voter {
            chance: Chance(Pcg64Mcg::seed_from_u64(seed)),
            promise: promise.max(last),
            life: Life { number, nonce: set.nonce },
            entering: None,
            survey: BTreeMap::new(),
            read_only: false,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            commit: log.base().index,
            votes: Vec::new(),
            peers: BTreeMap::new(),
            remembered: BTreeMap::new(),
            round: 0,
            reads: VecDeque::new(),
            write: 0,
            done: 0,
            ends: VecDeque::new(),
            durable: last.index,
            held: VecDeque::new(),
            asked_to_compact: false,
            hard,
            log,
            set,
        };
        if !voter.log.state().is_empty() {
            out.push(Out::Restore(voter.commit, voter.log.state().to_vec()));
        }
        voter.wait(now);
        if voter.set.rules.reentry && !(voter.set.trust_disk && whole) {
            voter.enter_anew(now, out);
        } else {
            voter.hard.lives.insert(voter.set.id.clone(), voter.life);
            voter.save_hard(out);
        }
        voter
    }

    /// More than half of them.
    pub fn majority(&self) -> usize {
        self.set.voters.len() / 2 + 1
    }

    /// What it does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        match (self.read_only, &self.entering) {
            (true, _) => Standing::ReadOnly,
            (false, Some(_)) => Standing::Amnesiac,
            (false, None) if self.log.last() < self.promise => Standing::Amnesiac,
            (false, None) => Standing::Voting,
        }
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&MemberId> {
        if self.role == Role::Leader { Some(&self.set.id) } else { self.leader.as_ref() }
    }

    /// The last index that is known to be committed, and the log's last.
    pub fn indices(&self) -> (u64, u64) {
        (self.commit, self.log.last().index)
    }

    /// When it leads: the others that were heard within an election timeout are a majority with it.
    pub fn hears_majority(&self, now: Micros) -> bool {
        let near = |p: &&Progress| now.saturating_sub(p.heard) < self.set.election;
        self.role == Role::Leader && self.peers.values().filter(near).count() + 1 >= self.majority()
    }

    /// A leader was heard of late, or it is one that hears a majority.
    pub fn sees_majority(&self, now: Micros) -> bool {
        let follows = self.leader.is_some() && now.saturating_sub(self.heard) < self.set.election * 2;
        self.standing() == Standing::Voting && (self.hears_majority(now) || follows)
    }

    /// When it wants the next tick.
    pub fn next_due(&self, now: Micros) -> Micros {
        let beat = now + self.set.election / BEATS;
        if self.role == Role::Leader { beat } else { self.deadline.min(beat).max(now) }
    }

    fn others(&self) -> Vec<MemberId> {
        self.set.voters.iter().filter(|v| **v != self.set.id).cloned().collect()
    }

    /// The next election is due after a drawn time.
    fn wait(&mut self, now: Micros) {
        let most = self.set.election.max(1);
        self.deadline = now + self.set.election + self.chance.0.next_u64() % most;
    }

    /// Asks the disk for a write; later promises rest on it.
    fn save(&mut self, records: Vec<Record>, out: &mut Vec<Out>) {
        self.write += 1;
        self.ends.push_back((self.write, self.log.last().index));
        out.push(Out::Write(self.write, records));
    }

    fn save_hard(&mut self, out: &mut Vec<Out>) {
        let hard = self.hard.clone();
        self.save(vec![Record::Hard(hard)], out);
    }

    fn letter(&self, to: &MemberId, term: u64, body: Body) -> Letter {
        Letter { from: self.set.id.clone(), to: to.clone(), term, lives: self.hard.lives.clone(), body }
    }

    /// Sends what promises nothing.
    fn say(&self, to: &MemberId, body: Body, out: &mut Vec<Out>) {
        out.push(Out::Send(self.letter(to, self.hard.term, body)));
    }

    /// Sends a promise, once all that was asked of the disk before is done.
    fn promise(&mut self, to: &MemberId, body: Body, out: &mut Vec<Out>) {
        let letter = self.letter(to, self.hard.term, body);
        if self.done >= self.write || !self.set.rules.disk_first {
            out.push(Out::Send(letter));
        } else if self.held.len() < HELD_MOST {
            self.held.push_back((self.write, letter));
        }
    }

    /// The disk has done all writes up to this number.
    pub fn written(&mut self, now: Micros, number: u64, out: &mut Vec<Out>) {
        if self.read_only {
            return;
        }
        self.done = self.done.max(number);
        while let Some((_, end)) = pop_if(&mut self.ends, |(n, _)| *n <= number) {
            self.durable = end;
        }
        while let Some((_, letter)) = pop_if(&mut self.held, |(n, _)| *n <= number) {
            out.push(Out::Send(letter));
        }
        match self.role {
            Role::Candidate => self.count(now, out),
            Role::Leader => self.commit_more(out),
            Role::Follower | Role::Asking => {}
        }
    }

    /// The disk fails: nothing that it was asked to keep is known to be kept, and it is not asked again.
    pub fn disk_failed(&mut self, out: &mut Vec<Out>) {
        if !self.read_only {
            self.follow(None, out);
            self.read_only = true;
            self.held.clear();
        }
    }

    /// Takes a letter.
    pub fn take(&mut self, now: Micros, letter: Letter, out: &mut Vec<Out>) {
        let known = self.set.voters.contains(&letter.from) && letter.from != self.set.id;
        if !known || letter.to != self.set.id || self.read_only {
            return;
        }
        let Letter { from, term, lives, body, .. } = letter;
        if !self.take_lives(now, &from, &lives, out) {
            return; // of an earlier life of its writer
        }
        let remembered = self.remembered.entry(from.clone()).or_default();
        if !matches!(body, Body::Ask { pre: true, .. }) {
            remembered.term = remembered.term.max(term);
        }
        match body {
            Body::Hello => return self.welcome(&from, out),
            Body::Welcome { .. } => return self.welcomed(now, from, term, &body, out),
            _ => {}
        }
        if self.entering.is_some() {
            return;
        }
        // Who hears a leader helps nobody to unseat it: one that comes back from a cut or a stop knows less than the others.
        if matches!(body, Body::Ask { .. }) && self.set.rules.pre_vote && self.led(now) {
            return;
        }
        let question = matches!(body, Body::Ask { pre: true, .. } | Body::Vote { pre: true, granted: true });
        if term > self.hard.term && !question {
            (self.hard.term, self.hard.vote) = (term, None);
            self.save_hard(out);
            self.follow(None, out);
        }
        match body {
            Body::Ask { pre, last } => self.asked(now, from, pre, term, last, out),
            Body::Vote { pre, granted } => {
                let role = if pre { Role::Asking } else { Role::Candidate };
                let of_now = if pre { term == self.hard.term + 1 } else { term == self.hard.term };
                if granted && of_now && self.role == role && !self.votes.contains(&from) {
                    self.votes.push(from);
                    self.count(now, out);
                }
            }
            Body::Append { .. } | Body::Snapshot { .. } if term < self.hard.term => {
                // So that it hears of the later term.
                self.say(&from, Body::Appended { matches: false, index: 0, round: 0 }, out);
            }
            Body::Append { prev, entries, commit, round } => {
                self.hears_leader(now, &from, out);
                self.append(&from, prev, entries, commit, round, out);
            }
            Body::Snapshot { last, state, round } => {
                self.hears_leader(now, &from, out);
                self.take_snapshot(&from, last, state, round, out);
            }
            Body::Appended { matches, index, round } if term == self.hard.term => {
                self.appended(now, from, matches, index, round, out);
            }
            Body::Appended { .. } | Body::Hello | Body::Welcome { .. } => {}
        }
    }

    /// A leader was heard within an election timeout, or this one is one that hears a majority.
    fn led(&self, now: Micros) -> bool {
        let near = now.saturating_sub(self.heard) < self.set.election;
        self.role == Role::Leader || self.leader.is_some() && near
    }

    /// Leads or asks no more; follows this one, where one is known.
    fn follow(&mut self, leader: Option<MemberId>, out: &mut Vec<Out>) {
        if self.role == Role::Leader {
            out.push(Out::Event(Event::StepsDown));
            out.extend(self.reads.drain(..).map(|(_, ticket)| Out::Unconfirmed(ticket)));
        }
        if let Some(leader) = leader.as_ref().filter(|l| self.leader.as_ref() != Some(l)) {
            out.push(Out::Event(Event::Follows(leader.clone(), self.hard.term)));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.peers.clear();
    }

    fn hears_leader(&mut self, now: Micros, from: &MemberId, out: &mut Vec<Out>) {
        self.follow(Some(from.clone()), out);
        self.heard = now;
        self.wait(now);
    }

    fn asked(&mut self, now: Micros, from: MemberId, pre: bool, term: u64, last: Place, out: &mut Vec<Out>) {
        let far_enough = last >= self.log.last().max(self.promise);
        let free = if pre {
            term > self.hard.term
        } else {
            term == self.hard.term && self.hard.vote.as_ref().is_none_or(|v| *v == from)
        };
        let granted = far_enough && free;
        if pre {
            // A yes names the term that it is for, a no the one that is held here.
            let term = if granted { term } else { self.hard.term };
            return out.push(Out::Send(self.letter(&from, term, Body::Vote { pre, granted })));
        }
        if granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from.clone());
                self.save_hard(out);
            }
            self.wait(now);
        }
        self.promise(&from, Body::Vote { pre, granted }, out);
    }

    /// Asks for votes, or first whether there would be any.
    pub fn campaign(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.wait(now);
        // One that is behind what it may have promised would be elected by nobody who remembers.
        if self.entering.is_some() || self.read_only {
            return;
        }
        if self.log.last() < self.promise {
            return self.ask_all(out);
        }
        self.follow(None, out);
        self.votes = vec![self.set.id.clone()];
        let pre = self.set.rules.pre_vote;
        self.role = if pre { Role::Asking } else { Role::Candidate };
        if !pre {
            self.stand(out);
        }
        self.ask(pre, out);
    }

    fn stand(&mut self, out: &mut Vec<Out>) {
        (self.hard.term, self.hard.vote) = (self.hard.term + 1, Some(self.set.id.clone()));
        self.save_hard(out);
    }

    fn ask(&mut self, pre: bool, out: &mut Vec<Out>) {
        let term = self.hard.term + u64::from(pre);
        for to in self.others() {
            let body = Body::Ask { pre, last: self.log.last() };
            out.push(Out::Send(self.letter(&to, term, body)));
        }
    }

    fn count(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.votes.len() < self.majority() {
            return;
        }
        match self.role {
            Role::Asking => {
                self.role = Role::Candidate;
                self.votes = vec![self.set.id.clone()];
                self.stand(out);
                self.ask(false, out);
            }
            // Its own vote counts once it is on disk.
            Role::Candidate if self.done >= self.write || !self.set.rules.disk_first => self.lead(now, out),
            Role::Candidate | Role::Follower | Role::Leader => {}
        }
    }

    fn lead(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.role = Role::Leader;
        self.leader = None;
        let next = self.log.last().index + 1;
        let progress = Progress { next, heard: now, ..Progress::default() };
        self.peers = self.others().into_iter().map(|id| (id, progress)).collect();
        out.push(Out::Event(Event::Leads(self.hard.term)));
        self.add(None, out);
        self.beat(out);
    }

    /// Keeps time.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.read_only {
            return;
        }
        if self.entering.is_some() {
            return self.say_hello(now, out);
        }
        if self.role == Role::Leader {
            if self.set.rules.check_quorum && !self.hears_majority(now) {
                self.wait(now);
                return self.follow(None, out);
            }
            return self.beat(out);
        }
        if now >= self.deadline {
            self.campaign(now, out);
        }
    }
}
