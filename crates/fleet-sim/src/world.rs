//! Simulated processes that run a `Membership` each, the network between them, and the faults of both.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use cobaltspool_fleet::Micros;
use cobaltspool_fleet::codec::{self, Frame, Key};
use cobaltspool_fleet::member::{MemberId, MemberInfo};
use cobaltspool_fleet::membership::{Action, Destination, Event, Membership, MembershipConfig};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The probe period of every simulated member.
pub const PERIOD: Micros = 1_000_000;
/// Datagrams queued for a paused process; later ones are dropped, as by a full socket buffer.
const INBOX_CAPACITY: usize = 200;

/// A simulated process.
pub struct Node {
    /// Member id.
    pub id: MemberId,
    /// Address of its datagrams and streams.
    pub address: SocketAddr,
    /// Seed addresses used at its next start.
    pub seeds: Vec<SocketAddr>,
    /// Members named in its configuration.
    configured: Vec<(MemberId, SocketAddr)>,
    /// Its membership state; `None` while the process is not running.
    pub view: Option<Membership>,
    /// The process is suspended and executes nothing until it is resumed.
    pub paused: bool,
    /// The member has announced that it leaves.
    pub left: bool,
    inbox: VecDeque<(Frame, SocketAddr)>,
    /// Incremented at each start and resume; a scheduled tick with an older number is ignored.
    run_number: u64,
}

/// A one-way partition: frames from one set of processes to another are dropped.
#[derive(Clone, Debug)]
pub struct Partition {
    /// Senders, as indexes of `World::nodes`.
    pub from: BTreeSet<usize>,
    /// Receivers, as indexes of `World::nodes`.
    pub to: BTreeSet<usize>,
}

/// A scheduled occurrence at a process.
enum Scheduled {
    Tick(u64),
    Datagram(Box<Frame>, SocketAddr),
    /// A full membership table, and the process that expects a table in reply, if any.
    Table(Box<Frame>, Option<usize>),
}

/// The simulation: processes, network and simulated clock.
pub struct World {
    /// Simulated time in microseconds.
    pub now: Micros,
    /// All processes, including those that have ended.
    pub nodes: Vec<Node>,
    /// Partitions in effect.
    pub partitions: Vec<Partition>,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub duplication: f64,
    /// Minimum and maximum network delay of a datagram.
    pub delay: (Micros, Micros),
    /// How long members keep the records of dead members.
    pub retention: Micros,
    /// Membership events: time, observing process and event.
    pub events: Vec<(Micros, usize, Event)>,
    /// Captures the frames delivered to this process, if set.
    pub captured: Option<(usize, Vec<Frame>)>,
    /// Number of datagrams and of bytes sent; counted only if set.
    pub traffic: Option<(u64, u64)>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    scheduled: HashMap<u64, Scheduled>,
    by_address: HashMap<SocketAddr, usize>,
    next: u64,
}

impl World {
    /// Creates a simulation without processes.
    pub fn new(seed: u64) -> World {
        World {
            now: 1,
            nodes: Vec::new(),
            partitions: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: (200, 2_000),
            retention: 3_600 * PERIOD,
            events: Vec::new(),
            captured: None,
            traffic: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            by_address: HashMap::new(),
            next: 0,
        }
    }

    /// Creates `size` members that start at the same time, each with the first one as its seed.
    pub fn fleet(seed: u64, size: usize) -> World {
        let mut world = World::new(seed);
        for n in 0..size {
            let seed = world.address(0);
            world.add(&format!("n{n}"), vec![seed], Vec::new());
        }
        world
    }

    /// Returns the address of process `n`.
    pub fn address(&self, n: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, (n / 60_000) as u8, 1], 1 + (n % 60_000) as u16))
    }

    /// Adds a process and starts it.
    pub fn add(&mut self, id: &str, seeds: Vec<SocketAddr>, known: Vec<(MemberId, SocketAddr)>) -> usize {
        let (n, id) = (self.nodes.len(), MemberId::new(id).expect("an id"));
        let address = self.address(n);
        self.by_address.insert(address, n);
        let node = Node {
            id,
            address,
            seeds,
            configured: known,
            view: None,
            paused: false,
            left: false,
            inbox: VecDeque::new(),
            run_number: 0,
        };
        self.nodes.push(node);
        self.start(n);
        n
    }

    /// Starts or restarts a process.
    pub fn start(&mut self, n: usize) {
        let (nonce, seed) = (self.rng.next_u64() | 1, self.rng.next_u64());
        let (now, retention) = (self.now, self.retention);
        let node = &mut self.nodes[n];
        let config = MembershipConfig {
            id: node.id.clone(),
            zone: "zagreb".into(),
            version: "0.2.0".into(),
            address: node.address,
            seeds: node.seeds.clone(),
            configured: node.configured.clone(),
            period: PERIOD,
            retention,
            nonce,
        };
        node.view = Some(Membership::new(now, config, seed));
        node.inbox.clear();
        (node.paused, node.left) = (false, false);
        let info = MemberInfo { ready: true, ..MemberInfo::at(node.address) };
        let mut out = Vec::new();
        if let Some(view) = &mut node.view {
            view.update_info(now, info, &mut out);
        }
        self.execute(n, out, None);
        self.tick_from(n);
    }

    fn tick_from(&mut self, n: usize) {
        self.nodes[n].run_number += 1;
        let run_number = self.nodes[n].run_number;
        self.push(self.now, n, Scheduled::Tick(run_number));
    }

    /// Ends a process abruptly, without a leave message.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].view = None;
        self.nodes[n].inbox.clear();
    }

    /// Suspends or resumes a process; a resumed one handles the queued datagrams first.
    pub fn set_paused(&mut self, n: usize, paused: bool) {
        self.nodes[n].paused = paused;
        if !paused && self.nodes[n].view.is_some() {
            for (frame, from) in std::mem::take(&mut self.nodes[n].inbox) {
                self.deliver(n, frame, from);
            }
            self.tick_from(n);
        }
    }

    /// Announces that the member leaves, then ends its process.
    pub fn leave(&mut self, n: usize) {
        let (mut out, now) = (Vec::new(), self.now);
        if let Some(view) = &mut self.nodes[n].view {
            view.leave(now, &mut out);
        }
        self.execute(n, out, None);
        self.nodes[n].left = true;
        self.kill(n);
    }

    /// Returns a random number below `below`.
    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn chance(&mut self, probability: f64) -> bool {
        crate::measure::chance(&mut self.rng, probability)
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.iter().any(|p| p.from.contains(&from) && p.to.contains(&to))
    }

    fn push(&mut self, at: Micros, n: usize, item: Scheduled) {
        self.next += 1;
        self.scheduled.insert(self.next, item);
        self.queue.push(Reverse((at, self.next, n)));
    }

    fn execute(&mut self, n: usize, actions: Vec<Action>, reply_to: Option<SocketAddr>) {
        for action in actions {
            match action {
                Action::Notify(event) => self.events.push((self.now, n, event)),
                Action::Datagram(to, frame) => self.send(n, &to, frame, reply_to),
                Action::ExchangeTables(to) => {
                    let Some(other) = self.resolve(&to, reply_to) else { continue };
                    // A stream needs both directions.
                    if self.is_partitioned(n, other) || self.is_partitioned(other, n) {
                        continue;
                    }
                    let now = self.now;
                    if let Some(view) = &mut self.nodes[n].view {
                        let frame = Box::new(view.table_frame(now));
                        self.push(now + self.delay.1 * 2, other, Scheduled::Table(frame, Some(n)));
                    }
                }
            }
        }
    }

    fn resolve(&self, to: &Destination, reply_to: Option<SocketAddr>) -> Option<usize> {
        let address = match to {
            Destination::Member(_, address) | Destination::Address(address) => *address,
            Destination::Sender => reply_to?,
        };
        self.by_address.get(&address).copied()
    }

    fn send(&mut self, n: usize, to: &Destination, frame: Box<Frame>, reply_to: Option<SocketAddr>) {
        if let Some((frames, bytes)) = &mut self.traffic {
            *frames += 1;
            *bytes += codec::encode(&frame, &Key::none()).len() as u64 + 28;
        }
        let Some(other) = self.resolve(to, reply_to) else { return };
        let copies = if self.chance(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_partitioned(n, other) || self.chance(self.loss) {
                continue;
            }
            let at = self.now + self.delay.0 + self.random_below(self.delay.1 - self.delay.0 + 1);
            let from = self.nodes[n].address;
            self.push(at, other, Scheduled::Datagram(frame.clone(), from));
        }
    }

    fn deliver(&mut self, n: usize, frame: Frame, from: SocketAddr) {
        if let Some((_, frames)) = self.captured.as_mut().filter(|(receiver, _)| *receiver == n) {
            frames.push(frame.clone());
        }
        let (mut out, now) = (Vec::new(), self.now);
        if let Some(view) = &mut self.nodes[n].view {
            view.handle_frame(now, frame, &mut out);
        }
        self.execute(n, out, Some(from));
    }

    fn step(&mut self, n: usize, item: Scheduled) {
        let node = &mut self.nodes[n];
        if node.view.is_none() {
            return;
        }
        match item {
            Scheduled::Tick(run_number) if node.paused || run_number != node.run_number => {}
            Scheduled::Tick(run_number) => {
                let (mut out, now) = (Vec::new(), self.now);
                let Some(view) = &mut node.view else { return };
                view.tick(now, &mut out);
                let due = view.next_deadline();
                self.execute(n, out, None);
                self.push(due, n, Scheduled::Tick(run_number));
            }
            Scheduled::Datagram(frame, from) if node.paused => {
                if node.inbox.len() < INBOX_CAPACITY {
                    node.inbox.push_back((*frame, from));
                }
            }
            Scheduled::Datagram(frame, from) => self.deliver(n, *frame, from),
            Scheduled::Table(..) if node.paused => {}
            Scheduled::Table(frame, requester) => {
                let (mut out, now) = (Vec::new(), self.now);
                let Some(view) = &mut node.view else { return };
                let answer =
                    (requester.is_some() && view.is_active()).then(|| Box::new(view.table_frame(now)));
                view.handle_table(now, *frame, &mut out);
                self.execute(n, out, None);
                if let (Some(answer), Some(requester)) = (answer, requester)
                    && !self.is_partitioned(n, requester)
                    && !self.is_partitioned(requester, n)
                {
                    self.push(now + self.delay.1 * 2, requester, Scheduled::Table(answer, None));
                }
            }
        }
    }

    /// Runs the simulation up to the time `until`.
    pub fn run_to(&mut self, until: Micros) {
        while let Some(Reverse((at, number, n))) = self.queue.peek().copied() {
            if at > until {
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

    /// Runs the simulation for a number of probe periods.
    pub fn run(&mut self, periods: u64) {
        self.run_to(self.now + periods * PERIOD);
    }

    /// Returns the sorted ids of the members whose processes are running and not paused.
    pub fn running_ids(&self) -> Vec<MemberId> {
        let is_running = |n: &&Node| n.view.is_some() && !n.paused;
        let ids: BTreeSet<MemberId> = self.nodes.iter().filter(is_running).map(|n| n.id.clone()).collect();
        ids.into_iter().collect()
    }

    /// Invariant 1: the live members in the view of every running, active member are exactly the running ones, and exactly
    /// one process is active per id. A process on standby needs another active process under its id.
    pub fn check_agreement(&self) -> Result<(), String> {
        let running = self.running_ids();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(view) = node.view.as_ref().filter(|_| !node.paused) else { continue };
            if view.is_standby() {
                let other = |m: &Node| {
                    m.id == node.id && m.view.as_ref().is_some_and(Membership::is_active) && !m.paused
                };
                if !self.nodes.iter().any(other) {
                    return Err(format!("{} is on standby, and no process is active under its id", node.id));
                }
                continue;
            }
            // Compare the counts first, which is cheaper: most differing views differ in size.
            let live = if view.member_counts().0 == running.len() { view.live_members() } else { Vec::new() };
            if live != running {
                let live = view.live_members();
                return Err(format!(
                    "{} ({n}) has {live:?} as live members, but {running:?} are running",
                    node.id
                ));
            }
        }
        for id in &running {
            let active = self
                .nodes
                .iter()
                .filter(|m| m.id == *id && m.view.as_ref().is_some_and(Membership::is_active));
            let active = active.filter(|m| !m.paused).count();
            if active != 1 {
                return Err(format!("{active} processes are active as {id}"));
            }
        }
        Ok(())
    }

    /// Runs for at least `bound`; returns the time after which all views agreed and stayed so, or why they do not agree.
    pub fn settle(&mut self, bound: Micros) -> Result<Micros, String> {
        let (start, step) = (self.now, PERIOD / 4);
        let mut since = None;
        while self.now - start <= bound {
            match (self.check_agreement(), since) {
                (Ok(()), None) => since = Some(self.now),
                (Ok(()), Some(_)) => {}
                (Err(_), _) => since = None,
            }
            // Once all views agree, check less often whether they still do.
            self.run_to(self.now + if since.is_some() { PERIOD * 4 } else { step });
        }
        match since {
            Some(at) => Ok(at - start),
            None => Err(self
                .check_agreement()
                .err()
                .unwrap_or_else(|| "the views agreed only at the end of the bound".to_string())),
        }
    }
}
