//! Simpler failure detectors, used for comparison only: all-to-all heartbeats with a fixed timeout, and versions gossiped
//! as in Scuttlebutt with an accrual detector over their arrivals. Simulated in steps of one period, for each pair of
//! members separately.

use std::collections::BTreeSet;
use std::time::Instant;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::measure::{Measurement, chance};

/// Kind of detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detector {
    /// Each member sends a datagram to every other one each period; a member is down after five periods of silence.
    Heartbeats,
    /// Each member makes three exchanges per period; a member is down once the probability of its silence is below 10^-8.
    Accrual,
}

impl Detector {
    /// Name of the detector in the table.
    pub fn name(self) -> &'static str {
        match self {
            Detector::Heartbeats => "all to all",
            Detector::Accrual => "Scuttlebutt, accrual",
        }
    }
}

/// Bytes of an empty datagram: UDP and IP headers, authentication seal, sender and counter.
const FRAME_BYTES: f64 = 28.0 + 35.0 + 24.0;
/// Bytes of one member's version in a digest: a short id and a counter.
const VERSION_BYTES: f64 = 12.0;
/// Heartbeat timeout in periods.
const SILENCE_LIMIT: f64 = 5.0;
/// Threshold of the accrual detector.
const PHI_THRESHOLD: f64 = 8.0;
/// Exchanges per member and period.
const EXCHANGES: usize = 3;

struct Members {
    size: usize,
    detector: Detector,
    /// For each pair of observer and target: the highest version, its arrival time, the mean interval between arrivals,
    /// and whether the observer considers the target down.
    version: Vec<u32>,
    heard: Vec<f32>,
    mean: Vec<f32>,
    down: Vec<bool>,
    own: Vec<u32>,
    alive: Vec<bool>,
    stalled: Vec<u32>,
    rng: Pcg64Mcg,
    reports: Vec<(u64, usize)>,
    sent: f64,
}

impl Members {
    fn new(detector: Detector, size: usize, seed: u64) -> Members {
        let all = size * size;
        Members {
            size,
            detector,
            version: vec![0; all],
            heard: vec![0.0; all],
            mean: vec![1.0; all],
            down: vec![false; all],
            own: vec![0; size],
            alive: vec![true; size],
            stalled: vec![0; size],
            rng: Pcg64Mcg::seed_from_u64(seed),
            reports: Vec::new(),
            sent: 0.0,
        }
    }

    fn lost(&mut self, loss: f64) -> bool {
        chance(&mut self.rng, loss)
    }

    fn record_version(&mut self, now: u64, observer: usize, target: usize, version: u32) {
        let at = observer * self.size + target;
        if version <= self.version[at] {
            return;
        }
        let gap = (now as f32 - self.heard[at]).max(0.1);
        self.mean[at] += (gap - self.mean[at]) * 0.05;
        (self.version[at], self.heard[at], self.down[at]) = (version, now as f32, false);
    }

    fn period(&mut self, now: u64, loss: f64) {
        let runs: Vec<bool> = (0..self.size).map(|n| self.alive[n] && self.stalled[n] == 0).collect();
        self.stalled.iter_mut().for_each(|left| *left = left.saturating_sub(1));
        for (own, runs) in self.own.iter_mut().zip(&runs) {
            *own += u32::from(*runs);
        }
        for n in (0..self.size).filter(|n| runs[*n]) {
            match self.detector {
                Detector::Heartbeats => {
                    for other in 0..self.size {
                        self.sent += FRAME_BYTES;
                        if other != n && !self.lost(loss) && self.alive[other] {
                            let version = self.own[n];
                            self.record_version(now, other, n, version);
                        }
                    }
                }
                Detector::Accrual => {
                    for _ in 0..EXCHANGES {
                        let peer = (self.rng.next_u64() % self.size as u64) as usize;
                        // A digest to the peer, and a digest with updates back.
                        self.sent += 2.0 * (FRAME_BYTES + VERSION_BYTES * self.size as f64);
                        if peer == n || !runs[peer] || self.lost(loss) || self.lost(loss) {
                            continue;
                        }
                        for target in 0..self.size {
                            let held = |m: &Members, at: usize| {
                                if at == target { m.own[target] } else { m.version[at * m.size + target] }
                            };
                            let (mine, its) = (held(self, n), held(self, peer));
                            if target != n {
                                self.record_version(now, n, target, its);
                            }
                            if target != peer {
                                self.record_version(now, peer, target, mine);
                            }
                        }
                    }
                }
            }
        }
        for n in (0..self.size).filter(|n| runs[*n]) {
            for target in 0..self.size {
                let at = n * self.size + target;
                let silent = f64::from(now as f32 - self.heard[at]);
                let over = match self.detector {
                    Detector::Heartbeats => silent >= SILENCE_LIMIT,
                    Detector::Accrual => {
                        silent / f64::from(self.mean[at].max(0.1)) * std::f64::consts::LOG10_E > PHI_THRESHOLD
                    }
                };
                if target != n && over && !self.down[at] {
                    self.down[at] = true;
                    self.reports.push((now, target));
                }
            }
        }
    }
}

fn false_deaths(detector: Detector, size: usize, seed: u64, loss: f64, stalls: bool, time: u64) -> f64 {
    let mut members = Members::new(detector, size, seed);
    for now in 1..=30 + time {
        if now == 30 {
            members.reports.clear();
        }
        if stalls && now % 6 == 0 {
            for _ in 0..(size / 10).max(1) {
                let n = (members.rng.next_u64() % size as u64) as usize;
                members.stalled[n] = 2 + (members.rng.next_u64() % 3) as u32;
            }
        }
        members.period(now, loss);
    }
    let reports: BTreeSet<(usize, u64)> = members.reports.iter().map(|(at, who)| (*who, at / 30)).collect();
    reports.len() as f64 * 3600.0 / time as f64
}

/// Measures one detector at a fleet size.
pub fn measure(detector: Detector, size: usize, plays: u64, time: u64) -> Measurement {
    let mut measured = Measurement::default();
    for seed in 0..plays {
        let mut members = Members::new(detector, size, seed);
        let mut now = 0;
        let mut run = |members: &mut Members, periods: u64| {
            for _ in 0..periods {
                now += 1;
                members.period(now, 0.0);
            }
            now
        };
        let killed = run(&mut members, 30);
        members.reports.clear();
        members.alive[size / 2] = false;
        run(&mut members, 40);
        let times: Vec<f64> = members
            .reports
            .iter()
            .filter(|(_, who)| *who == size / 2)
            .map(|(at, _)| (at - killed) as f64)
            .collect();
        measured.first.push(times.iter().copied().fold(f64::NAN, f64::min));
        measured.last.push(times.iter().copied().fold(f64::NAN, f64::max));
        for (n, (loss, stalls)) in
            [(0.0, false), (0.05, false), (0.2, false), (0.0, true)].into_iter().enumerate()
        {
            measured.deaths[n] += false_deaths(detector, size, seed, loss, stalls, time) / plays as f64;
        }
    }
    measured.first.sort_by(f64::total_cmp);
    measured.last.sort_by(f64::total_cmp);
    let mut members = Members::new(detector, size, 1);
    let start = Instant::now();
    for now in 1..=20 {
        members.period(now, 0.0);
    }
    measured.cpu = start.elapsed().as_secs_f64() * 1e6 / 20.0 / size as f64;
    measured.bytes = members.sent / 20.0 / size as f64;
    measured
}
