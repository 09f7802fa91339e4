//! Voters on simulated time, each with a disk that may lie, and the checkers of the log: what was acknowledged stays, one leader a
//! term. The disks hold the real file's bytes, so that reading them back after a fault is part of the play.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use cobaltspool_fleet::Micros;
use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::quorum::machine::{Replica, StateMachine};
use cobaltspool_fleet::quorum::{
    Action, Command, Config, Entry, Event, LogRecord, Message, RecoveredState, Role, SafetyChecks, Voter,
    VoterStatus,
};
use cobaltspool_fleet::wal::{self, WalContents};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::measure::chance;

/// The election timeout in every world.
pub const ELECTION_TIMEOUT: Micros = 1_000_000;
/// Once nothing is amiss, a new order is committed everywhere within so many election timeouts.
const SETTLED: u64 = 40;
/// After so many entries a voter takes a snapshot in these worlds: often, so that snapshots are part of every schedule.
const SNAPSHOT_AFTER: u64 = 20;

/// A machine that remembers how often each order was carried out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts(BTreeMap<Vec<u8>, u64>);

impl StateMachine for Counts {
    type Answer = u64;

    fn apply(&mut self, _: u64, body: &[u8]) -> u64 {
        let count = self.0.entry(body.to_vec()).or_default();
        *count += 1;
        *count
    }
}

/// A disk: what is kept, and what was asked for and is not done.
#[derive(Clone, Debug, Default)]
struct Disk {
    file: Vec<u8>,
    contents: WalContents,
    queue: VecDeque<(u64, Vec<u8>, Vec<LogRecord>)>,
    /// Where each write that was said to be kept ended: a lying one goes back to one of these.
    ends: Vec<usize>,
    /// An older copy of the file.
    copy: Vec<u8>,
}

struct Node {
    id: MemberId,
    voter: Option<Voter>,
    replica: Replica<Counts>,
    stopped: bool,
    inbox: VecDeque<Message>,
    disk: Disk,
    runs: u64,
    /// What its disk forgot may still count: it was damaged, and its voter was not in again since.
    forgetful: bool,
}

enum What {
    Tick(u64),
    Message(Message),
    Written(u64, u64),
}

/// See the module.
pub struct World {
    /// Simulated time.
    pub now: Micros,
    nodes: Vec<Node>,
    cuts: Vec<(BTreeSet<usize>, BTreeSet<usize>)>,
    loss: f64,
    delay: (Micros, Micros),
    /// The least and the most that a write takes.
    pub write: (Micros, Micros),
    checks: SafetyChecks,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    waiting: HashMap<u64, What>,
    next: u64,
    /// Every entry that any voter held for committed.
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, (MemberId, u64)>,
    orders: u64,
    /// What was broken.
    pub wrong: Option<String>,
    /// What happened: when, at whom, what.
    pub events: Vec<(Micros, usize, Event)>,
    /// When each order was taken, and how long until its leader held it for committed.
    pub took: Vec<Micros>,
    open: BTreeMap<u64, (Micros, u64)>,
}

impl World {
    /// So many voters with empty disks.
    pub fn new(seed: u64, size: usize, checks: SafetyChecks) -> World {
        let mut world = World {
            now: 1,
            nodes: Vec::new(),
            cuts: Vec::new(),
            loss: 0.0,
            delay: (200, 2_000),
            write: (100, 3_000),
            checks,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            waiting: HashMap::new(),
            next: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            orders: 0,
            wrong: None,
            events: Vec::new(),
            took: Vec::new(),
            open: BTreeMap::new(),
        };
        for n in 0..size {
            let id = MemberId::new(&format!("n{n}")).expect("an id");
            world.nodes.push(Node {
                id,
                voter: None,
                replica: Replica::default(),
                stopped: false,
                inbox: VecDeque::new(),
                disk: Disk::default(),
                runs: 0,
                forgetful: false,
            });
        }
        (0..size).for_each(|n| world.start(n));
        world
    }

    /// A draw below so many.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn push(&mut self, at: Micros, n: usize, what: What) {
        self.next += 1;
        self.waiting.insert(self.next, what);
        self.queue.push(Reverse((at, self.next, n)));
    }

    /// Starts a voter with what its disk holds.
    pub fn start(&mut self, n: usize) {
        let (nonce, seed, now) = (self.rng.next_u64() | 1, self.rng.next_u64(), self.now);
        let voters: Vec<MemberId> = self.nodes.iter().map(|n| n.id.clone()).collect();
        let voters = if voters.len() <= n { (0..=n).map(id).collect() } else { voters };
        let checks = self.checks;
        let node = &mut self.nodes[n];
        let held = wal::recover(&node.disk.file).map_or(RecoveredState::default(), |(held, _)| held);
        node.disk.contents = WalContents { hard_state: held.hard_state.clone(), log: held.log.clone() };
        node.disk.file = node.disk.contents.encode();
        node.disk.queue.clear();
        node.replica = Replica::default();
        node.inbox.clear();
        node.stopped = false;
        node.runs += 1;
        let runs = node.runs;
        let set = Config {
            id: node.id.clone(),
            voters,
            election_timeout: ELECTION_TIMEOUT,
            nonce,
            trust_disk: false,
            checks,
        };
        let mut out = Vec::new();
        node.voter = Some(Voter::new(now, set, held, seed, &mut out));
        self.carry_out(n, out);
        self.push(now, n, What::Tick(runs));
    }

    /// Ends a voter without a word; what its disk was asked for and did not do is lost, or torn.
    pub fn kill(&mut self, n: usize) {
        let torn = self.draw(3) == 0;
        let part = self.rng.next_u64();
        let node = &mut self.nodes[n];
        node.voter = None;
        if let Some((_, bytes, _)) = node.disk.queue.pop_front().filter(|_| torn) {
            let part = part as usize % bytes.len().max(1);
            node.disk.file.extend_from_slice(&bytes[..part]);
        }
        node.disk.queue.clear();
    }

    fn carry_out(&mut self, n: usize, out: Vec<Action>) {
        for out in out {
            match out {
                Action::Write { number, records } => {
                    let bytes = records.iter().flat_map(wal::encode).collect();
                    let (least, most) = self.write;
                    let wait = least + self.draw(most.saturating_sub(least) + 1);
                    let node = &mut self.nodes[n];
                    node.disk.queue.push_back((number, bytes, records));
                    let runs = node.runs;
                    self.push(self.now + wait, n, What::Written(runs, number));
                }
                Action::Send(message) => self.send(n, message),
                Action::Apply { index, entry } => self.apply(n, index, entry),
                Action::Restore { index, state } => match Replica::from_state(&state) {
                    Some(replica) if replica.applied == index => self.nodes[n].replica = replica,
                    _ => self.break_off(format!("a snapshot of {index} does not read")),
                },
                Action::Notify(event) => self.happened(n, event),
                Action::Compact
                | Action::LeadershipConfirmed { .. }
                | Action::LeadershipUnconfirmed { .. } => {}
            }
        }
    }

    fn break_off(&mut self, text: String) {
        self.wrong.get_or_insert(format!("{text}, at {:.1} s", self.now as f64 / 1e6));
    }

    fn happened(&mut self, n: usize, event: Event) {
        match &event {
            Event::BecameLeader { term } => {
                let (id, runs) = (self.nodes[n].id.clone(), self.nodes[n].runs);
                let first = self.leaders.entry(*term).or_insert((id.clone(), runs)).clone();
                if first != (id.clone(), runs) {
                    self.break_off(format!("{id} and {} both led in term {term}", first.0));
                }
            }
            Event::Rejoined
            | Event::FollowsLeader { .. }
            | Event::SteppedDown
            | Event::StateLost { .. }
            | Event::DuplicateId(_) => {}
        }
        self.events.push((self.now, n, event));
    }

    fn apply(&mut self, n: usize, index: u64, entry: Entry) {
        let id = self.nodes[n].id.clone();
        let first = self.committed.entry(index).or_insert_with(|| entry.clone()).clone();
        if first != entry {
            self.break_off(format!(
                "{id} holds another entry for committed at {index}: {entry:?}, not {first:?}"
            ));
        }
        if let Some((at, _)) = self.open.remove(&index) {
            self.took.push(self.now - at);
        }
        let node = &mut self.nodes[n];
        let again = node.replica.apply(index, &entry);
        if again.is_some_and(|count| count > 1) {
            self.break_off(format!("{id} carried an order out twice, at {index}"));
        }
        let node = &mut self.nodes[n];
        let due = index.is_multiple_of(SNAPSHOT_AFTER);
        if let Some(voter) = node.voter.as_mut().filter(|_| due) {
            let mut out = Vec::new();
            voter.compact(index, node.replica.state(), &mut out);
            self.carry_out(n, out);
        }
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|(one, other)| one.contains(&from) && other.contains(&to))
    }

    fn send(&mut self, from: usize, message: Message) {
        let to = self.nodes.iter().position(|n| n.id == message.to);
        let Some(to) = to.filter(|to| !self.cut(from, *to)) else { return };
        let (least, most) = self.delay;
        let copies = if chance(&mut self.rng, self.loss / 4.0) { 2 } else { 1 };
        for _ in 0..copies {
            if !chance(&mut self.rng, self.loss) {
                let at = self.now + least + self.draw(most - least + 1);
                self.push(at, to, What::Message(message.clone()));
            }
        }
    }

    fn with(&mut self, n: usize, what: impl FnOnce(&mut Voter, Micros, &mut Vec<Action>)) {
        let (mut out, now) = (Vec::new(), self.now);
        if let Some(voter) = self.nodes[n].voter.as_mut() {
            what(voter, now, &mut out);
        }
        self.carry_out(n, out);
    }

    fn step(&mut self, n: usize, what: What) {
        let node = &mut self.nodes[n];
        if node.voter.is_none() {
            return;
        }
        match what {
            What::Tick(runs) if node.stopped || runs != node.runs => {}
            What::Tick(runs) => {
                self.with(n, cobaltspool_fleet::quorum::Voter::tick);
                let due = self.nodes[n].voter.as_ref().map_or(self.now, |v| v.next_deadline(self.now));
                self.push(due.max(self.now + 10_000), n, What::Tick(runs));
            }
            What::Message(message) if node.stopped => {
                if node.inbox.len() < 100 {
                    node.inbox.push_back(message);
                }
            }
            What::Message(message) => self.with(n, |voter, now, out| voter.step(now, message, out)),
            What::Written(runs, _) if runs != node.runs => {}
            What::Written(_, number) => {
                while let Some((done, bytes, records)) = node.disk.queue.pop_front_if_done(number) {
                    let shorter = records.iter().any(|r| matches!(r, LogRecord::Snapshot { .. }));
                    records.into_iter().for_each(|r| {
                        node.disk.contents.apply(r);
                    });
                    // A snapshot is written with all that stays into a new file that takes the old one's place.
                    if shorter {
                        (node.disk.file, node.disk.ends) = (node.disk.contents.encode(), Vec::new());
                    } else {
                        node.disk.file.extend(bytes);
                    }
                    node.disk.ends.push(node.disk.file.len());
                    if done >= number {
                        break;
                    }
                }
                if !node.stopped {
                    self.with(n, |voter, now, out| voter.handle_write_completed(now, number, out));
                } else {
                    // It hears of it when it goes on.
                    let runs = node.runs;
                    self.push(self.now + 50_000, n, What::Written(runs, number));
                }
            }
        }
    }

    /// Goes on for so long.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(Reverse((at, number, n))) = self.queue.peek().copied() {
            if at > until || self.wrong.is_some() {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(what) = self.waiting.remove(&number) {
                self.step(n, what);
            }
        }
        self.now = until;
    }

    /// Stops a voter's process, or continues it.
    pub fn stop(&mut self, n: usize, stopped: bool) {
        self.nodes[n].stopped = stopped;
        if !stopped && self.nodes[n].voter.is_some() {
            for message in std::mem::take(&mut self.nodes[n].inbox) {
                self.with(n, |voter, now, out| voter.step(now, message, out));
            }
            let runs = self.nodes[n].runs;
            self.push(self.now, n, What::Tick(runs));
        }
    }

    /// Who leads and hears a majority, if anyone.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| {
            !n.stopped
                && n.voter
                    .as_ref()
                    .is_some_and(|v| v.role() == Role::Leader && v.has_active_majority(self.now))
        };
        self.nodes.iter().position(leads)
    }

    /// Gives whoever leads an order; some come twice, as if the answer had been lost.
    pub fn order(&mut self) {
        let Some(n) = self.leader() else { return };
        self.orders += 1;
        let seq = self.orders - u64::from(self.orders > 1 && chance(&mut self.rng, 0.1));
        let order = Command { session: 7, seq, body: seq.to_le_bytes().to_vec() };
        let mut place = None;
        self.with(n, |voter, _, out| place = voter.propose(order, out).ok());
        if let Some(place) = place {
            self.open.insert(place.index, (self.now, seq));
        }
    }

    /// Orders all along, for so long.
    pub fn serve(&mut self, time: Micros, every: Micros) {
        let until = self.now + time;
        while self.now < until && self.wrong.is_none() {
            self.order();
            self.run(every);
        }
    }

    fn most_forgetful(&self) -> usize {
        (self.nodes.len() - 1) / 2
    }

    /// Restarts a voter whose disk did something to what it held. A minority at most is so at a time.
    fn damage(&mut self, n: usize) -> Option<String> {
        for node in &mut self.nodes {
            // It is whole again once it has caught up; before that one more would make too many.
            node.forgetful &= node.voter.as_ref().is_none_or(|v| v.status() != VoterStatus::Voting);
        }
        let forgetful = self.nodes.iter().filter(|n| n.forgetful).count();
        if !self.nodes[n].forgetful && forgetful >= self.most_forgetful() {
            return None;
        }
        self.kill(n);
        let (kind, at) = (self.draw(5), self.rng.next_u64() as usize);
        let node = &mut self.nodes[n];
        let size = node.disk.file.len();
        let what = match kind {
            0 => {
                node.disk.file.clear();
                "empty"
            }
            1 => {
                node.disk.file = node.disk.copy.clone();
                "an older copy"
            }
            2 => {
                let end = node.disk.ends.iter().rev().nth(at % 6).copied().unwrap_or(0);
                node.disk.file.truncate(end);
                "fsync kept nothing of the last writes"
            }
            3 => {
                if size > 8 {
                    node.disk.file[8 + at % (size - 8)] ^= 4;
                }
                "a flipped bit"
            }
            _ => {
                if size > 0 {
                    node.disk.file[size - 1] ^= 4;
                }
                "a flipped bit in the last record"
            }
        };
        node.forgetful = true;
        self.start(n);
        Some(format!("n{n} starts with {what}"))
    }

    fn fault(&mut self) -> String {
        let size = self.nodes.len();
        let n = self.draw(size as u64) as usize;
        match self.draw(12) {
            0..=2 => match self.damage(n) {
                Some(text) => text,
                None => "nothing".to_string(),
            },
            3 => {
                self.kill(n);
                format!("kill n{n}")
            }
            4 | 5 => {
                self.kill(n);
                self.start(n);
                format!("n{n} starts anew")
            }
            6 => {
                self.stop(n, true);
                let time = self.draw(6 * ELECTION_TIMEOUT);
                self.serve(time, 60_000);
                self.stop(n, false);
                format!("n{n} stopped for {:.1} s", time as f64 / 1e6)
            }
            7 => {
                let way = self.draw(3);
                if way != 0 {
                    self.cut_off(n, false);
                }
                if way != 1 {
                    self.cut_off(n, true);
                }
                format!("n{n} is cut off, way {way}")
            }
            8 => {
                for a in 0..size {
                    let near = [a, (a + 1) % size, (a + size - 1) % size];
                    let skip = if size == 3 { (a + 2) % 3 } else { a };
                    let far = (0..size).filter(|b| !near.contains(b) || (size == 3 && *b == skip && a != 1));
                    self.cuts.push((BTreeSet::from([a]), far.collect()));
                }
                "a ring".to_string()
            }
            9 => {
                (self.loss, self.delay) = (0.2, (0, 300_000));
                "loss, delay, disorder, some twice".to_string()
            }
            10 => {
                self.write = (0, 2_000_000);
                "writes of up to 2 s".to_string()
            }
            _ => {
                let files: Vec<Vec<u8>> = self.nodes.iter().map(|n| n.disk.file.clone()).collect();
                self.nodes.iter_mut().zip(files).for_each(|(n, file)| n.disk.copy = file);
                "copies are kept".to_string()
            }
        }
    }

    /// A voter is not heard by the others, or does not hear them.
    pub fn cut_off(&mut self, n: usize, deaf: bool) {
        let one = BTreeSet::from([n]);
        let rest: BTreeSet<usize> = (0..self.nodes.len()).filter(|m| *m != n).collect();
        self.cuts.push(if deaf { (rest, one) } else { (one, rest) });
    }

    /// Nothing is amiss any more.
    pub fn heal(&mut self) {
        self.cuts.clear();
        (self.loss, self.delay, self.write) = (0.0, (200, 2_000), (100, 3_000));
        for n in 0..self.nodes.len() {
            if self.nodes[n].stopped {
                self.stop(n, false);
            }
            if self.nodes[n].voter.is_none() {
                self.start(n);
            }
        }
    }

    /// Once nothing is amiss: all are in, one leads, and a new order is committed everywhere.
    pub fn settles(&mut self) -> Result<f64, String> {
        let start = self.now;
        let before = self.committed.keys().next_back().copied().unwrap_or(0);
        while self.now - start < SETTLED * ELECTION_TIMEOUT {
            self.order();
            self.run(ELECTION_TIMEOUT / 4);
            if let Some(wrong) = &self.wrong {
                return Err(wrong.clone());
            }
            let all = |n: &Node| {
                n.voter
                    .as_ref()
                    .is_some_and(|v| v.status() == VoterStatus::Voting && v.commit_index() > before)
            };
            if self.nodes.iter().all(all) {
                return Ok((self.now - start) as f64 / ELECTION_TIMEOUT as f64);
            }
        }
        let all: Vec<String> = self.nodes.iter().map(|n| format!("{:?}", n.voter)).collect();
        Err(format!("no new order is committed everywhere: {all:#?}"))
    }
}

fn id(n: usize) -> MemberId {
    MemberId::new(&format!("n{n}")).expect("an id")
}

trait Done {
    fn pop_front_if_done(&mut self, number: u64) -> Option<(u64, Vec<u8>, Vec<LogRecord>)>;
}

impl Done for VecDeque<(u64, Vec<u8>, Vec<LogRecord>)> {
    fn pop_front_if_done(&mut self, number: u64) -> Option<(u64, Vec<u8>, Vec<LogRecord>)> {
        if self.front().is_some_and(|(n, ..)| *n <= number) { self.pop_front() } else { None }
    }
}

/// What one schedule showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// What was done.
    pub steps: Vec<String>,
    /// Election timeouts until all was well after the last fault, or what was wrong.
    pub settled: Result<f64, String>,
    /// Orders that were committed.
    pub committed: u64,
}

/// Plays one schedule with 3, 5 or 7 voters.
pub fn play(seed: u64, checks: SafetyChecks) -> Outcome {
    let size = [3, 3, 5, 5, 7][(seed % 5) as usize];
    let mut world = World::new(seed, size, checks);
    let mut steps = vec![format!("{size} voters")];
    world.serve(3 * ELECTION_TIMEOUT, 60_000);
    for _ in 0..3 + world.draw(7) {
        let at = world.now as f64 / 1e6;
        let step = world.fault();
        steps.push(format!("{at:.1}: {step}"));
        let wait = world.draw(5 * ELECTION_TIMEOUT);
        world.serve(wait, 60_000);
        if world.draw(3) == 0 {
            world.heal();
            steps.push("all is well for now".to_string());
        }
        if world.wrong.is_some() {
            break;
        }
    }
    world.heal();
    let settled = match world.wrong.clone() {
        Some(wrong) => Err(wrong),
        None => world.settles(),
    };
    let committed = world.committed.len() as u64;
    Outcome { seed, steps, settled, committed }
}
