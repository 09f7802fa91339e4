//! The `foca` crate's SWIM on simulated time, for the measurement only: its own timers and frames, with the settings that it
//! proposes for a local network of this size and a probe period of 1 s.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

use foca::{Config, Foca, Identity, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::measure::{Played, SECOND, chance};

/// A member: who it is, and which of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Who {
    n: u16,
    /// As long as an id, an address and a zone are.
    padding: [u8; 16],
    life: u16,
}

impl Who {
    fn new(n: usize) -> Who {
        Who { n: n as u16, padding: [7; 16], life: 0 }
    }
}

impl Identity for Who {
    type Addr = u16;

    fn renew(&self) -> Option<Who> {
        Some(Who { life: self.life.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> u16 {
        self.n
    }

    fn win_addr_conflict(&self, other: &Who) -> bool {
        self.life > other.life
    }
}

enum What {
    Timer(Timer<Who>),
    Datagram(Vec<u8>),
}

/// What one call of a member brought about.
#[derive(Default)]
struct Outcome {
    sends: Vec<(usize, Vec<u8>)>,
    timers: Vec<(u64, Timer<Who>)>,
    downs: Vec<usize>,
}

impl Runtime<Who> for &mut Outcome {
    fn notify(&mut self, notification: Notification<'_, Who>) {
        if let Notification::MemberDown(who) = notification {
            self.downs.push(usize::from(who.n));
        }
    }

    fn send_to(&mut self, to: Who, data: &[u8]) {
        self.sends.push((usize::from(to.n), data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Who>, after: Duration) {
        self.timers.push((after.as_micros() as u64, event));
    }
}

type Member = Foca<Who, PostcardCodec, rand_pcg_10::Pcg64Mcg, NoCustomBroadcast>;

struct World {
    now: u64,
    members: Vec<Member>,
    alive: Vec<bool>,
    stopped: Vec<bool>,
    /// What came due while a member was stopped.
    held: Vec<Vec<What>>,
    /// Members up to this one and those after it do not hear each other.
    cut: Option<usize>,
    loss: f64,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    waiting: HashMap<u64, What>,
    next: u64,
    /// When, at whom, whose death was told.
    downs: Vec<(u64, usize, usize)>,
    bytes: u64,
}

impl World {
    fn new(seed: u64, size: usize) -> World {
        let config = Config::new_lan(NonZeroU32::new(size as u32).unwrap_or(NonZeroU32::MIN));
        let members = (0..size).map(|n| {
            let rng = rand_pcg_10::Pcg64Mcg::new(u128::from(seed) << 32 | n as u128 | 1);
            Foca::new(Who::new(n), config.clone(), rng, PostcardCodec)
        });
        let mut world = World {
            now: 0,
            members: members.collect(),
            alive: vec![true; size],
            stopped: vec![false; size],
            held: (0..size).map(|_| Vec::new()).collect(),
            cut: None,
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            waiting: HashMap::new(),
            next: 0,
            downs: Vec::new(),
            bytes: 0,
        };
        for n in 1..size {
            world.call(n, |member, out| member.announce(Who::new(0), out).is_ok());
        }
        world.run(60);
        world
    }

    fn call(&mut self, n: usize, what: impl FnOnce(&mut Member, &mut Outcome) -> bool) {
        let mut out = Outcome::default();
        what(&mut self.members[n], &mut out);
        for (after, timer) in out.timers {
            self.push(self.now + after, n, What::Timer(timer));
        }
        for (to, data) in out.sends {
            self.bytes += data.len() as u64 + 28;
            let apart = self.cut.is_some_and(|at| (n < at) != (to < at));
            if !apart && self.alive[to] && !chance(&mut self.rng, self.loss) {
                let at = self.now + 200 + self.rng.next_u64() % 1_800;
                self.push(at, to, What::Datagram(data));
            }
        }
        self.downs.extend(out.downs.into_iter().map(|who| (self.now, n, who)));
    }

    fn push(&mut self, at: u64, n: usize, what: What) {
        self.next += 1;
        self.waiting.insert(self.next, what);
        self.queue.push(Reverse((at, self.next, n)));
    }

    fn take(&mut self, n: usize, what: What) {
        match what {
            What::Timer(timer) => self.call(n, |member, out| member.handle_timer(timer, out).is_ok()),
            What::Datagram(data) => self.call(n, |member, out| member.handle_data(&data, out).is_ok()),
        }
    }

    fn run(&mut self, seconds: u64) {
        let until = self.now + seconds * SECOND;
        while let Some(Reverse((at, number, n))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(what) = self.waiting.remove(&number) else { continue };
            if !self.alive[n] {
                continue;
            }
            if self.stopped[n] {
                self.held[n].push(what);
            } else {
                self.take(n, what);
            }
        }
        self.now = until;
    }

    fn stop(&mut self, n: usize, stopped: bool) {
        self.stopped[n] = stopped;
        if !stopped {
            for what in std::mem::take(&mut self.held[n]) {
                self.take(n, what);
            }
        }
    }

    fn whole(&self) -> bool {
        self.members.iter().all(|m| m.num_members() + 1 == self.members.len())
    }
}

fn false_deaths(seed: u64, size: usize, loss: f64, stalls: bool, time: u64) -> f64 {
    let mut world = World::new(seed, size);
    world.loss = loss;
    world.downs.clear();
    if !stalls {
        world.run(time);
    } else {
        for _ in 0..time / 6 {
            let some: Vec<usize> =
                (0..(size / 10).max(1)).map(|_| (world.rng.next_u64() % size as u64) as usize).collect();
            some.iter().for_each(|n| world.stop(*n, true));
            let length = 2 + world.rng.next_u64() % 3;
            world.run(length);
            some.iter().for_each(|n| world.stop(*n, false));
            world.run(6 - length);
        }
    }
    let told: BTreeSet<(usize, u64)> =
        world.downs.iter().map(|(at, _, who)| (*who, at / (30 * SECOND))).collect();
    told.len() as f64 * 3600.0 / time as f64
}

/// Plays it at a size.
pub fn play(size: usize, plays: u64, time: u64) -> Played {
    let mut played = Played::default();
    for seed in 0..plays {
        let mut world = World::new(seed, size);
        let start = world.now;
        world.alive[size / 2] = false;
        world.downs.clear();
        world.run(60);
        let times: Vec<f64> = world
            .downs
            .iter()
            .filter(|(_, _, who)| *who == size / 2)
            .map(|(at, _, _)| (at - start) as f64 / SECOND as f64)
            .collect();
        played.first.push(times.iter().copied().fold(f64::NAN, f64::min));
        played.last.push(times.iter().copied().fold(f64::NAN, f64::max));
        let mut world = World::new(seed, size);
        world.cut = Some(size / 2);
        world.run(60);
        world.cut = None;
        let healed = world.now;
        while !world.whole() && world.now < healed + 600 * SECOND {
            world.run(1);
        }
        let time_to_heal = (world.now - healed) as f64 / SECOND as f64;
        played.heals.push(if world.whole() { time_to_heal } else { f64::INFINITY });
        for (n, (loss, stalls)) in
            [(0.0, false), (0.05, false), (0.2, false), (0.0, true)].into_iter().enumerate()
        {
            played.deaths[n] += false_deaths(seed, size, loss, stalls, time) / plays as f64;
        }
    }
    played.first.sort_by(f64::total_cmp);
    played.last.sort_by(f64::total_cmp);
    played.heals.sort_by(f64::total_cmp);
    let mut world = World::new(1, size);
    world.run(60);
    (world.bytes, world.downs) = (0, Vec::new());
    let start = Instant::now();
    world.run(20);
    played.cpu = start.elapsed().as_secs_f64() * 1e6 / 20.0 / size as f64;
    played.bytes = world.bytes as f64 / 20.0 / size as f64;
    played
}
