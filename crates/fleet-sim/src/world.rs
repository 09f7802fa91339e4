//! Members, the network between them, and what happens to both.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use cobaltspool_fleet::Micros;
use cobaltspool_fleet::codec::{self, Frame, Key};
use cobaltspool_fleet::member::{MemberId, MemberInfo};
use cobaltspool_fleet::membership::{Action, Destination, Event, Membership, MembershipConfig};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// From one probe to the next, in every world.
pub const PERIOD: Micros = 1_000_000;
/// Datagrams that wait for a stopped process; the system drops further ones.
const INBOX: usize = 200;

/// One process.
pub struct Node {
    /// Its member's id.
    pub id: MemberId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whom it asks first at its next start.
    pub seeds: Vec<SocketAddr>,
    known: Vec<(MemberId, SocketAddr)>,
    /// Its view, while it runs.
    pub view: Option<Membership>,
    /// It was stopped, and does nothing till it is continued.
    pub stopped: bool,
    /// It said that it goes.
    pub left: bool,
    inbox: VecDeque<(Frame, SocketAddr)>,
    /// Counts starts and continuations: ticks of an earlier one are nobody's.
    runs: u64,
}

/// Frames from the first go no further than here.
#[derive(Clone, Debug)]
pub struct Cut {
    /// Who is not heard ...
    pub from: BTreeSet<usize>,
    /// ... by whom.
    pub to: BTreeSet<usize>,
}

enum What {
    Tick(u64),
    Datagram(Box<Frame>, SocketAddr),
    /// A table, and whether an answer is wanted at the address.
    Table(Box<Frame>, Option<usize>),
}

/// See the module.
pub struct World {
    /// Simulated time.
    pub now: Micros,
    /// All processes, also those that are gone.
    pub nodes: Vec<Node>,
    /// What is cut.
    pub cuts: Vec<Cut>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share that comes twice.
    pub doubled: f64,
    /// The least and the most that a datagram takes.
    pub delay: (Micros, Micros),
    /// For how long the dead are remembered.
    pub memory: Micros,
    /// What happened: when, at whom, what.
    pub events: Vec<(Micros, usize, Event)>,
    /// What is sent to this one, where it is listened to.
    pub tapped: Option<(usize, Vec<Frame>)>,
    /// Datagrams and bytes sent, where they are counted.
    pub sent: Option<(u64, u64)>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    waiting: HashMap<u64, What>,
    by_address: HashMap<SocketAddr, usize>,
    next: u64,
}

impl World {
    /// An empty world.
    pub fn new(seed: u64) -> World {
        World {
            now: 1,
            nodes: Vec::new(),
            cuts: Vec::new(),
            loss: 0.0,
            doubled: 0.0,
            delay: (200, 2_000),
            memory: 3_600 * PERIOD,
            events: Vec::new(),
            tapped: None,
            sent: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            waiting: HashMap::new(),
            by_address: HashMap::new(),
            next: 0,
        }
    }

    /// So many members, each with the first as its seed, started at once.
    pub fn fleet(seed: u64, size: usize) -> World {
        let mut world = World::new(seed);
        for n in 0..size {
            let seed = world.address(0);
            world.add(&format!("n{n}"), vec![seed], Vec::new());
        }
        world
    }

    /// The address that the process of this number has.
    pub fn address(&self, n: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, (n / 60_000) as u8, 1], 1 + (n % 60_000) as u16))
    }

    /// Starts one more process.
    pub fn add(&mut self, id: &str, seeds: Vec<SocketAddr>, known: Vec<(MemberId, SocketAddr)>) -> usize {
        let (n, id) = (self.nodes.len(), MemberId::new(id).expect("an id"));
        let address = self.address(n);
        self.by_address.insert(address, n);
        let node = Node {
            id,
            address,
            seeds,
            known,
            view: None,
            stopped: false,
            left: false,
            inbox: VecDeque::new(),
            runs: 0,
        };
        self.nodes.push(node);
        self.start(n);
        n
    }

    /// Starts a process, or starts it anew.
    pub fn start(&mut self, n: usize) {
        let (nonce, seed) = (self.rng.next_u64() | 1, self.rng.next_u64());
        let (now, memory) = (self.now, self.memory);
        let node = &mut self.nodes[n];
        let set = MembershipConfig {
            id: node.id.clone(),
            zone: "zagreb".into(),
            version: "0.2.0".into(),
            address: node.address,
            seeds: node.seeds.clone(),
            configured: node.known.clone(),
            period: PERIOD,
            retention: memory,
            nonce,
        };
        node.view = Some(Membership::new(now, set, seed));
        node.inbox.clear();
        (node.stopped, node.left) = (false, false);
        let news = MemberInfo { ready: true, ..MemberInfo::at(node.address) };
        let mut out = Vec::new();
        if let Some(view) = &mut node.view {
            view.update_info(now, news, &mut out);
        }
        self.carry_out(n, out, None);
        self.tick_from(n);
    }

    fn tick_from(&mut self, n: usize) {
        self.nodes[n].runs += 1;
        let runs = self.nodes[n].runs;
        self.push(self.now, n, What::Tick(runs));
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].view = None;
        self.nodes[n].inbox.clear();
    }

    /// Stops a process, or continues it.
    pub fn stop(&mut self, n: usize, stopped: bool) {
        self.nodes[n].stopped = stopped;
        if !stopped && self.nodes[n].view.is_some() {
            for (frame, from) in std::mem::take(&mut self.nodes[n].inbox) {
                self.deliver(n, frame, from);
            }
            self.tick_from(n);
        }
    }

    /// A member says that it goes, and ends.
    pub fn leave(&mut self, n: usize) {
        let (mut out, now) = (Vec::new(), self.now);
        if let Some(view) = &mut self.nodes[n].view {
            view.leave(now, &mut out);
        }
        self.carry_out(n, out, None);
        self.nodes[n].left = true;
        self.kill(n);
    }

    /// A draw below so many.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn chance(&mut self, share: f64) -> bool {
        crate::measure::chance(&mut self.rng, share)
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|cut| cut.from.contains(&from) && cut.to.contains(&to))
    }

    fn push(&mut self, at: Micros, n: usize, what: What) {
        self.next += 1;
        self.waiting.insert(self.next, what);
        self.queue.push(Reverse((at, self.next, n)));
    }

    fn carry_out(&mut self, n: usize, out: Vec<Action>, back: Option<SocketAddr>) {
        for out in out {
            match out {
                Action::Notify(event) => self.events.push((self.now, n, event)),
                Action::Datagram(to, frame) => self.send(n, &to, frame, back),
                Action::ExchangeTables(to) => {
                    let Some(other) = self.whom(&to, back) else { continue };
                    // A stream needs both ways.
                    if self.cut(n, other) || self.cut(other, n) {
                        continue;
                    }
                    let now = self.now;
                    if let Some(view) = &mut self.nodes[n].view {
                        let frame = Box::new(view.table_frame(now));
                        self.push(now + self.delay.1 * 2, other, What::Table(frame, Some(n)));
                    }
                }
            }
        }
    }

    fn whom(&self, to: &Destination, back: Option<SocketAddr>) -> Option<usize> {
        let address = match to {
            Destination::Member(_, address) | Destination::Address(address) => *address,
            Destination::Sender => back?,
        };
        self.by_address.get(&address).copied()
    }

    fn send(&mut self, n: usize, to: &Destination, frame: Box<Frame>, back: Option<SocketAddr>) {
        if let Some((frames, bytes)) = &mut self.sent {
            *frames += 1;
            *bytes += codec::encode(&frame, &Key::none()).len() as u64 + 28;
        }
        let Some(other) = self.whom(to, back) else { return };
        let times = if self.chance(self.doubled) { 2 } else { 1 };
        for _ in 0..times {
            if self.cut(n, other) || self.chance(self.loss) {
                continue;
            }
            let at = self.now + self.delay.0 + self.draw(self.delay.1 - self.delay.0 + 1);
            let from = self.nodes[n].address;
            self.push(at, other, What::Datagram(frame.clone(), from));
        }
    }

    fn deliver(&mut self, n: usize, frame: Frame, from: SocketAddr) {
        if let Some((_, frames)) = self.tapped.as_mut().filter(|(tapped, _)| *tapped == n) {
            frames.push(frame.clone());
        }
        let (mut out, now) = (Vec::new(), self.now);
        if let Some(view) = &mut self.nodes[n].view {
            view.handle_frame(now, frame, &mut out);
        }
        self.carry_out(n, out, Some(from));
    }

    fn step(&mut self, n: usize, what: What) {
        let node = &mut self.nodes[n];
        if node.view.is_none() {
            return;
        }
        match what {
            What::Tick(runs) if node.stopped || runs != node.runs => {}
            What::Tick(runs) => {
                let (mut out, now) = (Vec::new(), self.now);
                let Some(view) = &mut node.view else { return };
                view.tick(now, &mut out);
                let due = view.next_deadline();
                self.carry_out(n, out, None);
                self.push(due, n, What::Tick(runs));
            }
            What::Datagram(frame, from) if node.stopped => {
                if node.inbox.len() < INBOX {
                    node.inbox.push_back((*frame, from));
                }
            }
            What::Datagram(frame, from) => self.deliver(n, *frame, from),
            What::Table(..) if node.stopped => {}
            What::Table(frame, asker) => {
                let (mut out, now) = (Vec::new(), self.now);
                let Some(view) = &mut node.view else { return };
                let answer = (asker.is_some() && view.is_active()).then(|| Box::new(view.table_frame(now)));
                view.handle_table(now, *frame, &mut out);
                self.carry_out(n, out, None);
                if let (Some(answer), Some(asker)) = (answer, asker)
                    && !self.cut(n, asker)
                    && !self.cut(asker, n)
                {
                    self.push(now + self.delay.1 * 2, asker, What::Table(answer, None));
                }
            }
        }
    }

    /// Goes on until this time.
    pub fn run_to(&mut self, until: Micros) {
        while let Some(Reverse((at, number, n))) = self.queue.peek().copied() {
            if at > until {
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

    /// Goes on for so many periods.
    pub fn run(&mut self, periods: u64) {
        self.run_to(self.now + periods * PERIOD);
    }

    /// The ids of those that run.
    pub fn truth(&self) -> Vec<MemberId> {
        let runs = |n: &&Node| n.view.is_some() && !n.stopped;
        let ids: BTreeSet<MemberId> = self.nodes.iter().filter(runs).map(|n| n.id.clone()).collect();
        ids.into_iter().collect()
    }

    /// Invariant 1: every running member that speaks holds those that run, and no other, and calls itself settled; one process
    /// an id speaks.
    pub fn agree(&self) -> Result<(), String> {
        let truth = self.truth();
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(view) = node.view.as_ref().filter(|_| !node.stopped) else { continue };
            if view.is_standby() {
                let other = |m: &Node| {
                    m.id == node.id && m.view.as_ref().is_some_and(Membership::is_active) && !m.stopped
                };
                if !self.nodes.iter().any(other) {
                    return Err(format!("{} stands by for nobody", node.id));
                }
                continue;
            }
            // Counted first: most that do not agree differ in number.
            let held = if view.member_counts().0 == truth.len() { view.live_members() } else { Vec::new() };
            if held != truth {
                let held = view.live_members();
                return Err(format!("{} ({n}) holds {held:?}, and {truth:?} run", node.id));
            }
        }
        for id in &truth {
            let speaks = self
                .nodes
                .iter()
                .filter(|m| m.id == *id && m.view.as_ref().is_some_and(Membership::is_active));
            let speaks = speaks.filter(|m| !m.stopped).count();
            if speaks != 1 {
                return Err(format!("{speaks} processes speak as {id}"));
            }
        }
        Ok(())
    }

    /// Runs until all agree; how long that took, or why they do not within the bound.
    pub fn settle(&mut self, bound: Micros) -> Result<Micros, String> {
        let (start, step) = (self.now, PERIOD / 4);
        let mut since = None;
        while self.now - start <= bound {
            match (self.agree(), since) {
                (Ok(()), None) => since = Some(self.now),
                (Ok(()), Some(_)) => {}
                (Err(_), _) => since = None,
            }
            // Once all agree it is looked at now and then whether they still do.
            self.run_to(self.now + if since.is_some() { PERIOD * 4 } else { step });
        }
        match since {
            Some(at) => Ok(at - start),
            None => Err(self.agree().err().unwrap_or_else(|| "it agreed only in the end".to_string())),
        }
    }
}
