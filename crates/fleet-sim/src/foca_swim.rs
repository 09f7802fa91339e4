//! Simulation of the `foca` crate's SWIM, used for comparison only: it uses the crate's own timers and frames, with its
//! recommended settings for a local network of this size and a probe period of 1 s.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

use foca::{Config, Foca, Identity, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::measure::{Measurement, SECOND, chance};

/// Identity of a member: its number and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct MemberIdentity {
    n: u16,
    /// Makes the identity as long as one with an id, an address and a zone.
    padding: [u8; 16],
    incarnation: u16,
}

impl MemberIdentity {
    fn new(n: usize) -> MemberIdentity {
        MemberIdentity { n: n as u16, padding: [7; 16], incarnation: 0 }
    }
}

impl Identity for MemberIdentity {
    type Addr = u16;

    fn renew(&self) -> Option<MemberIdentity> {
        Some(MemberIdentity { incarnation: self.incarnation.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> u16 {
        self.n
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        self.incarnation > other.incarnation
    }
}

enum Scheduled {
    Timer(Timer<MemberIdentity>),
    Datagram(Vec<u8>),
}

/// Effects of one call of a member.
#[derive(Default)]
struct Effects {
    sends: Vec<(usize, Vec<u8>)>,
    timers: Vec<(u64, Timer<MemberIdentity>)>,
    downs: Vec<usize>,
}

impl Runtime<MemberIdentity> for &mut Effects {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        if let Notification::MemberDown(who) = notification {
            self.downs.push(usize::from(who.n));
        }
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.sends.push((usize::from(to.n), data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberIdentity>, after: Duration) {
        self.timers.push((after.as_micros() as u64, event));
    }
}

type Member = Foca<MemberIdentity, PostcardCodec, rand_pcg_10::Pcg64Mcg, NoCustomBroadcast>;

struct World {
    now: u64,
    members: Vec<Member>,
    alive: Vec<bool>,
    paused: Vec<bool>,
    /// Timers and datagrams that came due while a member was paused.
    deferred: Vec<Vec<Scheduled>>,
    /// Members below this number are partitioned from the others.
    partition: Option<usize>,
    loss: f64,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    scheduled: HashMap<u64, Scheduled>,
    next: u64,
    /// Reports of down members: time, observer and target.
    downs: Vec<(u64, usize, usize)>,
    bytes: u64,
}

impl World {
    fn new(seed: u64, size: usize) -> World {
        let config = Config::new_lan(NonZeroU32::new(size as u32).unwrap_or(NonZeroU32::MIN));
        let members = (0..size).map(|n| {
            let rng = rand_pcg_10::Pcg64Mcg::new(u128::from(seed) << 32 | n as u128 | 1);
            Foca::new(MemberIdentity::new(n), config.clone(), rng, PostcardCodec)
        });
        let mut world = World {
            now: 0,
            members: members.collect(),
            alive: vec![true; size],
            paused: vec![false; size],
            deferred: (0..size).map(|_| Vec::new()).collect(),
            partition: None,
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next: 0,
            downs: Vec::new(),
            bytes: 0,
        };
        for n in 1..size {
            world.call(n, |member, out| member.announce(MemberIdentity::new(0), out).is_ok());
        }
        world.run(60);
        world
    }

    fn call(&mut self, n: usize, what: impl FnOnce(&mut Member, &mut Effects) -> bool) {
        let mut out = Effects::default();
        what(&mut self.members[n], &mut out);
        for (after, timer) in out.timers {
            self.push(self.now + after, n, Scheduled::Timer(timer));
        }
        for (to, data) in out.sends {
            self.bytes += data.len() as u64 + 28;
            let apart = self.partition.is_some_and(|at| (n < at) != (to < at));
            if !apart && self.alive[to] && !chance(&mut self.rng, self.loss) {
                let at = self.now + 200 + self.rng.next_u64() % 1_800;
                self.push(at, to, Scheduled::Datagram(data));
            }
        }
        self.downs.extend(out.downs.into_iter().map(|who| (self.now, n, who)));
    }

    fn push(&mut self, at: u64, n: usize, what: Scheduled) {
        self.next += 1;
        self.scheduled.insert(self.next, what);
        self.queue.push(Reverse((at, self.next, n)));
    }

    fn handle(&mut self, n: usize, what: Scheduled) {
        match what {
            Scheduled::Timer(timer) => self.call(n, |member, out| member.handle_timer(timer, out).is_ok()),
            Scheduled::Datagram(data) => self.call(n, |member, out| member.handle_data(&data, out).is_ok()),
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
            let Some(what) = self.scheduled.remove(&number) else { continue };
            if !self.alive[n] {
                continue;
            }
            if self.paused[n] {
                self.deferred[n].push(what);
            } else {
                self.handle(n, what);
            }
        }
        self.now = until;
    }

    fn set_paused(&mut self, n: usize, paused: bool) {
        self.paused[n] = paused;
        if !paused {
            for what in std::mem::take(&mut self.deferred[n]) {
                self.handle(n, what);
            }
        }
    }

    fn views_complete(&self) -> bool {
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
            some.iter().for_each(|n| world.set_paused(*n, true));
            let length = 2 + world.rng.next_u64() % 3;
            world.run(length);
            some.iter().for_each(|n| world.set_paused(*n, false));
            world.run(6 - length);
        }
    }
    let deaths: BTreeSet<(usize, u64)> =
        world.downs.iter().map(|(at, _, who)| (*who, at / (30 * SECOND))).collect();
    deaths.len() as f64 * 3600.0 / time as f64
}

/// Measures the detector at a fleet size.
pub fn measure(size: usize, plays: u64, time: u64) -> Measurement {
    let mut measured = Measurement::default();
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
        measured.first.push(times.iter().copied().fold(f64::NAN, f64::min));
        measured.last.push(times.iter().copied().fold(f64::NAN, f64::max));
        let mut world = World::new(seed, size);
        world.partition = Some(size / 2);
        world.run(60);
        world.partition = None;
        let healed = world.now;
        while !world.views_complete() && world.now < healed + 600 * SECOND {
            world.run(1);
        }
        let time_to_heal = (world.now - healed) as f64 / SECOND as f64;
        measured.heals.push(if world.views_complete() { time_to_heal } else { f64::INFINITY });
        for (n, (loss, stalls)) in
            [(0.0, false), (0.05, false), (0.2, false), (0.0, true)].into_iter().enumerate()
        {
            measured.deaths[n] += false_deaths(seed, size, loss, stalls, time) / plays as f64;
        }
    }
    measured.first.sort_by(f64::total_cmp);
    measured.last.sort_by(f64::total_cmp);
    measured.heals.sort_by(f64::total_cmp);
    let mut world = World::new(1, size);
    world.run(60);
    (world.bytes, world.downs) = (0, Vec::new());
    let start = Instant::now();
    world.run(20);
    measured.cpu = start.elapsed().as_secs_f64() * 1e6 / 20.0 / size as f64;
    measured.bytes = world.bytes as f64 / 20.0 / size as f64;
    measured
}
