//! Simulated voters, each with a disk that may lose or corrupt acknowledged writes, and checks of two invariants: committed
//! entries are never lost or changed, and each term has at most one leader. The simulated disks store the bytes of the real
//! file format, so that recovery from a damaged file is tested as well.

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

/// Election timeout of every simulated voter.
pub const ELECTION_TIMEOUT: Micros = 1_000_000;
/// After all faults end, a new command must be committed on every voter within this number of election timeouts.
const SETTLING_TIMEOUTS: u64 = 40;
/// Number of entries between snapshots: small, so that every schedule includes snapshots.
const SNAPSHOT_INTERVAL: u64 = 20;

/// A state machine that counts how often each command was applied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ApplyCounts(BTreeMap<Vec<u8>, u64>);

impl StateMachine for ApplyCounts {
    type Answer = u64;

    fn apply(&mut self, _: u64, body: &[u8]) -> u64 {
        let count = self.0.entry(body.to_vec()).or_default();
        *count += 1;
        *count
    }
}

/// A simulated disk: the durable file, and the writes that are not completed yet.
#[derive(Clone, Debug, Default)]
struct Disk {
    file: Vec<u8>,
    contents: WalContents,
    queue: VecDeque<(u64, Vec<u8>, Vec<LogRecord>)>,
    /// File size after each completed write; a disk whose fsync had no effect is truncated to one of these.
    write_ends: Vec<usize>,
    /// An older copy of the file.
    old_copy: Vec<u8>,
}

/// A simulated voter process with its disk.
struct Node {
    id: MemberId,
    voter: Option<Voter>,
    replica: Replica<ApplyCounts>,
    paused: bool,
    inbox: VecDeque<Message>,
    disk: Disk,
    /// Incremented at each start; scheduled occurrences of an earlier run are ignored.
    run_number: u64,
    /// The disk was damaged and the voter has not become a voting member again since.
    lost_state: bool,
}

/// A scheduled occurrence at a voter.
enum Scheduled {
    Tick(u64),
    Message(Message),
    Written(u64, u64),
}

/// The simulation: voters, network, disks and simulated clock.
pub struct World {
    /// Simulated time in microseconds.
    pub now: Micros,
    nodes: Vec<Node>,
    /// Partitions in effect: messages from the first set to the second are dropped.
    partitions: Vec<(BTreeSet<usize>, BTreeSet<usize>)>,
    loss: f64,
    delay: (Micros, Micros),
    /// Minimum and maximum duration of a disk write.
    pub write_delay: (Micros, Micros),
    checks: SafetyChecks,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    scheduled: HashMap<u64, Scheduled>,
    next: u64,
    /// Every entry that a voter has applied, by index.
    committed: BTreeMap<u64, Entry>,
    /// First leader of each term, with its run number.
    leaders: BTreeMap<u64, (MemberId, u64)>,
    /// Sequence number of the latest proposed command.
    commands: u64,
    /// The first violation of an invariant.
    pub violation: Option<String>,
    /// Voter events: time, voter and event.
    pub events: Vec<(Micros, usize, Event)>,
    /// Time from the proposal of each command until the first voter applied it.
    pub commit_latencies: Vec<Micros>,
    /// Proposed commands that no voter has applied yet, by index: time of the proposal and sequence number.
    uncommitted: BTreeMap<u64, (Micros, u64)>,
}

impl World {
    /// Creates `size` voters with empty disks and starts them.
    pub fn new(seed: u64, size: usize, checks: SafetyChecks) -> World {
        let mut world = World {
            now: 1,
            nodes: Vec::new(),
            partitions: Vec::new(),
            loss: 0.0,
            delay: (200, 2_000),
            write_delay: (100, 3_000),
            checks,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            commands: 0,
            violation: None,
            events: Vec::new(),
            commit_latencies: Vec::new(),
            uncommitted: BTreeMap::new(),
        };
        for n in 0..size {
            let id = MemberId::new(&format!("n{n}")).expect("an id");
            world.nodes.push(Node {
                id,
                voter: None,
                replica: Replica::default(),
                paused: false,
                inbox: VecDeque::new(),
                disk: Disk::default(),
                run_number: 0,
                lost_state: false,
            });
        }
        (0..size).for_each(|n| world.start(n));
        world
    }

    /// Returns a random number below `below`.
    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn push(&mut self, at: Micros, n: usize, item: Scheduled) {
        self.next += 1;
        self.scheduled.insert(self.next, item);
        self.queue.push(Reverse((at, self.next, n)));
    }

    /// Starts a voter with the state that is recovered from its disk.
    pub fn start(&mut self, n: usize) {
        let (nonce, seed, now) = (self.rng.next_u64() | 1, self.rng.next_u64(), self.now);
        let voters: Vec<MemberId> = self.nodes.iter().map(|n| n.id.clone()).collect();
        let voters = if voters.len() <= n { (0..=n).map(id).collect() } else { voters };
        let checks = self.checks;
        let node = &mut self.nodes[n];
        let recovered = wal::recover(&node.disk.file).map_or(RecoveredState::default(), |(state, _)| state);
        node.disk.contents =
            WalContents { hard_state: recovered.hard_state.clone(), log: recovered.log.clone() };
        node.disk.file = node.disk.contents.encode();
        node.disk.queue.clear();
        node.replica = Replica::default();
        node.inbox.clear();
        node.paused = false;
        node.run_number += 1;
        let run_number = node.run_number;
        let config = Config {
            id: node.id.clone(),
            voters,
            election_timeout: ELECTION_TIMEOUT,
            nonce,
            trust_disk: false,
            checks,
        };
        let mut out = Vec::new();
        node.voter = Some(Voter::new(now, config, recovered, seed, &mut out));
        self.execute(n, out);
        self.push(now, n, Scheduled::Tick(run_number));
    }

    /// Ends a voter abruptly; its pending writes are lost, and the first of them may be torn.
    pub fn kill(&mut self, n: usize) {
        let is_torn = self.random_below(3) == 0;
        let torn_length = self.rng.next_u64();
        let node = &mut self.nodes[n];
        node.voter = None;
        if let Some((_, bytes, _)) = node.disk.queue.pop_front().filter(|_| is_torn) {
            let torn_length = torn_length as usize % bytes.len().max(1);
            node.disk.file.extend_from_slice(&bytes[..torn_length]);
        }
        node.disk.queue.clear();
    }

    fn execute(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write { number, records } => {
                    let bytes = records.iter().flat_map(wal::encode).collect();
                    let (min, max) = self.write_delay;
                    let wait = min + self.random_below(max.saturating_sub(min) + 1);
                    let node = &mut self.nodes[n];
                    node.disk.queue.push_back((number, bytes, records));
                    let run_number = node.run_number;
                    self.push(self.now + wait, n, Scheduled::Written(run_number, number));
                }
                Action::Send(message) => self.send(n, message),
                Action::Apply { index, entry } => self.apply(n, index, entry),
                Action::Restore { index, state } => match Replica::from_state(&state) {
                    Some(replica) if replica.applied == index => self.nodes[n].replica = replica,
                    _ => self.record_violation(format!("the snapshot at index {index} cannot be read")),
                },
                Action::Notify(event) => self.record_event(n, event),
                Action::Compact
                | Action::LeadershipConfirmed { .. }
                | Action::LeadershipUnconfirmed { .. } => {}
            }
        }
    }

    fn record_violation(&mut self, text: String) {
        self.violation.get_or_insert(format!("{text}, at {:.1} s", self.now as f64 / 1e6));
    }

    fn record_event(&mut self, n: usize, event: Event) {
        match &event {
            Event::BecameLeader { term } => {
                let (id, run_number) = (self.nodes[n].id.clone(), self.nodes[n].run_number);
                let first = self.leaders.entry(*term).or_insert((id.clone(), run_number)).clone();
                if first != (id.clone(), run_number) {
                    self.record_violation(format!("{id} and {} were both leader in term {term}", first.0));
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
            self.record_violation(format!(
                "{id} applied another entry at index {index}: {entry:?} instead of {first:?}"
            ));
        }
        if let Some((at, _)) = self.uncommitted.remove(&index) {
            self.commit_latencies.push(self.now - at);
        }
        let node = &mut self.nodes[n];
        let applied = node.replica.apply(index, &entry);
        if applied.is_some_and(|count| count > 1) {
            self.record_violation(format!("{id} applied a command twice, at index {index}"));
        }
        let node = &mut self.nodes[n];
        let snapshot_due = index.is_multiple_of(SNAPSHOT_INTERVAL);
        if let Some(voter) = node.voter.as_mut().filter(|_| snapshot_due) {
            let mut out = Vec::new();
            voter.compact(index, node.replica.state(), &mut out);
            self.execute(n, out);
        }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.iter().any(|(senders, receivers)| senders.contains(&from) && receivers.contains(&to))
    }

    fn send(&mut self, from: usize, message: Message) {
        let to = self.nodes.iter().position(|n| n.id == message.to);
        let Some(to) = to.filter(|to| !self.is_partitioned(from, *to)) else { return };
        let (min, max) = self.delay;
        let copies = if chance(&mut self.rng, self.loss / 4.0) { 2 } else { 1 };
        for _ in 0..copies {
            if !chance(&mut self.rng, self.loss) {
                let at = self.now + min + self.random_below(max - min + 1);
                self.push(at, to, Scheduled::Message(message.clone()));
            }
        }
    }

    fn with_voter(&mut self, n: usize, call: impl FnOnce(&mut Voter, Micros, &mut Vec<Action>)) {
        let (mut out, now) = (Vec::new(), self.now);
        if let Some(voter) = self.nodes[n].voter.as_mut() {
            call(voter, now, &mut out);
        }
        self.execute(n, out);
    }

    fn step(&mut self, n: usize, item: Scheduled) {
        let node = &mut self.nodes[n];
        if node.voter.is_none() {
            return;
        }
        match item {
            Scheduled::Tick(run_number) if node.paused || run_number != node.run_number => {}
            Scheduled::Tick(run_number) => {
                self.with_voter(n, cobaltspool_fleet::quorum::Voter::tick);
                let due = self.nodes[n].voter.as_ref().map_or(self.now, |v| v.next_deadline(self.now));
                self.push(due.max(self.now + 10_000), n, Scheduled::Tick(run_number));
            }
            Scheduled::Message(message) if node.paused => {
                if node.inbox.len() < 100 {
                    node.inbox.push_back(message);
                }
            }
            Scheduled::Message(message) => {
                self.with_voter(n, |voter, now, out| voter.step(now, message, out))
            }
            Scheduled::Written(run_number, _) if run_number != node.run_number => {}
            Scheduled::Written(_, number) => {
                while let Some((done, bytes, records)) = node.disk.queue.pop_front_if_done(number) {
                    let has_snapshot = records.iter().any(|r| matches!(r, LogRecord::Snapshot { .. }));
                    records.into_iter().for_each(|r| {
                        node.disk.contents.apply(r);
                    });
                    // A snapshot and the entries after it are written to a new file that replaces the old one.
                    if has_snapshot {
                        (node.disk.file, node.disk.write_ends) = (node.disk.contents.encode(), Vec::new());
                    } else {
                        node.disk.file.extend(bytes);
                    }
                    node.disk.write_ends.push(node.disk.file.len());
                    if done >= number {
                        break;
                    }
                }
                if !node.paused {
                    self.with_voter(n, |voter, now, out| voter.handle_write_completed(now, number, out));
                } else {
                    // Deliver the completion once the process is resumed.
                    let run_number = node.run_number;
                    self.push(self.now + 50_000, n, Scheduled::Written(run_number, number));
                }
            }
        }
    }

    /// Runs the simulation for the duration `time`.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(Reverse((at, number, n))) = self.queue.peek().copied() {
            if at > until || self.violation.is_some() {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(item) = self.scheduled.remove(&number) {
                self.step(n, item);
            }
        }
        self.now = until;
    }

    /// Suspends or resumes a voter's process; a resumed one handles the queued messages first.
    pub fn set_paused(&mut self, n: usize, paused: bool) {
        self.nodes[n].paused = paused;
        if !paused && self.nodes[n].voter.is_some() {
            for message in std::mem::take(&mut self.nodes[n].inbox) {
                self.with_voter(n, |voter, now, out| voter.step(now, message, out));
            }
            let run_number = self.nodes[n].run_number;
            self.push(self.now, n, Scheduled::Tick(run_number));
        }
    }

    /// Returns the leader that is in contact with a majority, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |n: &Node| {
            !n.paused
                && n.voter
                    .as_ref()
                    .is_some_and(|v| v.role() == Role::Leader && v.has_active_majority(self.now))
        };
        self.nodes.iter().position(is_leader)
    }

    /// Proposes a command to the leader; 10% repeat the previous command, as a client does that received no answer.
    pub fn propose_command(&mut self) {
        let Some(n) = self.leader() else { return };
        self.commands += 1;
        let seq = self.commands - u64::from(self.commands > 1 && chance(&mut self.rng, 0.1));
        let command = Command { session: 7, seq, body: seq.to_le_bytes().to_vec() };
        let mut position = None;
        self.with_voter(n, |voter, _, out| position = voter.propose(command, out).ok());
        if let Some(position) = position {
            self.uncommitted.insert(position.index, (self.now, seq));
        }
    }

    /// Runs for the duration `time` and proposes a command every `every` microseconds.
    pub fn run_with_load(&mut self, time: Micros, every: Micros) {
        let until = self.now + time;
        while self.now < until && self.violation.is_none() {
            self.propose_command();
            self.run(every);
        }
    }

    /// Maximum number of voters that may have lost state at the same time: a minority.
    fn max_lost_states(&self) -> usize {
        (self.nodes.len() - 1) / 2
    }

    /// Restarts a voter after its disk lost or corrupted data; does nothing if a minority has lost state already.
    fn damage_disk(&mut self, n: usize) -> Option<String> {
        for node in &mut self.nodes {
            // A voter counts as recovered once it votes again; until then it counts towards the limit.
            node.lost_state &= node.voter.as_ref().is_none_or(|v| v.status() != VoterStatus::Voting);
        }
        let lost_states = self.nodes.iter().filter(|n| n.lost_state).count();
        if !self.nodes[n].lost_state && lost_states >= self.max_lost_states() {
            return None;
        }
        self.kill(n);
        let (kind, at) = (self.random_below(5), self.rng.next_u64() as usize);
        let node = &mut self.nodes[n];
        let size = node.disk.file.len();
        let damage = match kind {
            0 => {
                node.disk.file.clear();
                "an empty file"
            }
            1 => {
                node.disk.file = node.disk.old_copy.clone();
                "an older copy of the file"
            }
            2 => {
                let end = node.disk.write_ends.iter().rev().nth(at % 6).copied().unwrap_or(0);
                node.disk.file.truncate(end);
                "the last writes lost despite fsync"
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
        node.lost_state = true;
        self.start(n);
        Some(format!("n{n} restarts with {damage}"))
    }

    /// Applies one random fault and describes it.
    fn apply_fault(&mut self) -> String {
        let size = self.nodes.len();
        let n = self.random_below(size as u64) as usize;
        match self.random_below(12) {
            0..=2 => match self.damage_disk(n) {
                Some(text) => text,
                None => "no fault".to_string(),
            },
            3 => {
                self.kill(n);
                format!("kill n{n}")
            }
            4 | 5 => {
                self.kill(n);
                self.start(n);
                format!("restart n{n}")
            }
            6 => {
                self.set_paused(n, true);
                let time = self.random_below(6 * ELECTION_TIMEOUT);
                self.run_with_load(time, 60_000);
                self.set_paused(n, false);
                format!("pause n{n} for {:.1} s", time as f64 / 1e6)
            }
            7 => {
                let direction = self.random_below(3);
                if direction != 0 {
                    self.isolate(n, false);
                }
                if direction != 1 {
                    self.isolate(n, true);
                }
                format!("isolate n{n}, direction {direction}")
            }
            8 => {
                for a in 0..size {
                    let near = [a, (a + 1) % size, (a + size - 1) % size];
                    let skip = if size == 3 { (a + 2) % 3 } else { a };
                    let far = (0..size).filter(|b| !near.contains(b) || (size == 3 && *b == skip && a != 1));
                    self.partitions.push((BTreeSet::from([a]), far.collect()));
                }
                "partition into a ring".to_string()
            }
            9 => {
                (self.loss, self.delay) = (0.2, (0, 300_000));
                "loss, delay, reordering, duplicates".to_string()
            }
            10 => {
                self.write_delay = (0, 2_000_000);
                "writes of up to 2 s".to_string()
            }
            _ => {
                let files: Vec<Vec<u8>> = self.nodes.iter().map(|n| n.disk.file.clone()).collect();
                self.nodes.iter_mut().zip(files).for_each(|(n, file)| n.disk.old_copy = file);
                "save a copy of each file".to_string()
            }
        }
    }

    /// Drops the messages from the other voters to voter `n` if `inbound`, else those from it to the others.
    pub fn isolate(&mut self, n: usize, inbound: bool) {
        let one = BTreeSet::from([n]);
        let rest: BTreeSet<usize> = (0..self.nodes.len()).filter(|m| *m != n).collect();
        self.partitions.push(if inbound { (rest, one) } else { (one, rest) });
    }

    /// Ends all faults: heals partitions, resumes paused voters and starts ended ones.
    pub fn heal(&mut self) {
        self.partitions.clear();
        (self.loss, self.delay, self.write_delay) = (0.0, (200, 2_000), (100, 3_000));
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused {
                self.set_paused(n, false);
            }
            if self.nodes[n].voter.is_none() {
                self.start(n);
            }
        }
    }

    /// Runs without faults until every voter is voting and has committed a new command; returns the number of election
    /// timeouts that it took.
    pub fn settle(&mut self) -> Result<f64, String> {
        let start = self.now;
        let before = self.committed.keys().next_back().copied().unwrap_or(0);
        while self.now - start < SETTLING_TIMEOUTS * ELECTION_TIMEOUT {
            self.propose_command();
            self.run(ELECTION_TIMEOUT / 4);
            if let Some(violation) = &self.violation {
                return Err(violation.clone());
            }
            let has_settled = |n: &Node| {
                n.voter
                    .as_ref()
                    .is_some_and(|v| v.status() == VoterStatus::Voting && v.commit_index() > before)
            };
            if self.nodes.iter().all(has_settled) {
                return Ok((self.now - start) as f64 / ELECTION_TIMEOUT as f64);
            }
        }
        let voters: Vec<String> = self.nodes.iter().map(|n| format!("{:?}", n.voter)).collect();
        Err(format!("no new command was committed on every voter: {voters:#?}"))
    }
}

fn id(n: usize) -> MemberId {
    MemberId::new(&format!("n{n}")).expect("an id")
}

trait PopCompleted {
    fn pop_front_if_done(&mut self, number: u64) -> Option<(u64, Vec<u8>, Vec<LogRecord>)>;
}

impl PopCompleted for VecDeque<(u64, Vec<u8>, Vec<LogRecord>)> {
    fn pop_front_if_done(&mut self, number: u64) -> Option<(u64, Vec<u8>, Vec<LogRecord>)> {
        if self.front().is_some_and(|(n, ..)| *n <= number) { self.pop_front() } else { None }
    }
}

/// Result of one schedule.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed of the schedule.
    pub seed: u64,
    /// Description of each step, with its time in seconds.
    pub steps: Vec<String>,
    /// Election timeouts from the last fault until every voter had committed a new command, or what failed.
    pub settled: Result<f64, String>,
    /// Number of committed entries.
    pub committed: u64,
}

/// Runs one schedule with 3, 5 or 7 voters.
pub fn run_schedule(seed: u64, checks: SafetyChecks) -> Outcome {
    let size = [3, 3, 5, 5, 7][(seed % 5) as usize];
    let mut world = World::new(seed, size, checks);
    let mut steps = vec![format!("{size} voters")];
    world.run_with_load(3 * ELECTION_TIMEOUT, 60_000);
    for _ in 0..3 + world.random_below(7) {
        let at = world.now as f64 / 1e6;
        let step = world.apply_fault();
        steps.push(format!("{at:.1}: {step}"));
        let wait = world.random_below(5 * ELECTION_TIMEOUT);
        world.run_with_load(wait, 60_000);
        if world.random_below(3) == 0 {
            world.heal();
            steps.push("all faults end".to_string());
        }
        if world.violation.is_some() {
            break;
        }
    }
    world.heal();
    let settled = match world.violation.clone() {
        Some(violation) => Err(violation),
        None => world.settle(),
    };
    let committed = world.committed.len() as u64;
    Outcome { seed, steps, settled, committed }
}
