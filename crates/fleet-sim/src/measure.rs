//! Scheduled the view costs and how quick and how wrong it is, against plainer detectors in the same run.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::time::Instant;

use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::membership::{Event, Membership};
use rand_core::RngCore;

use crate::crate_swim;
use crate::others::{self, Detector};
use crate::world::{PERIOD, Partition, World};

/// A second of simulated time.
pub const SECOND: u64 = 1_000_000;

/// Scheduled a detector showed.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Periods until the first member held a killed one down, sorted.
    pub first: Vec<f64>,
    /// ... and until the last did.
    pub last: Vec<f64>,
    /// Periods until both halves of a fleet that was cut for 60 hold all again, sorted; empty: not measured.
    pub heals: Vec<f64>,
    /// False deaths an hour at 0, 5 and 20% loss, and with a tenth stalled.
    pub deaths: [f64; 4],
    /// Bytes a second a member.
    pub bytes: f64,
    /// Microseconds of processor time a second a member.
    pub cpu: f64,
}

/// A draw that comes out true so often.
pub fn chance(rng: &mut impl RngCore, share: f64) -> bool {
    share > 0.0 && (rng.next_u64() >> 11) as f64 / ((1u64 << 53) as f64) < share
}

/// The value at a rank from 0 to 1 of sorted figures.
pub fn rank(sorted: &[f64], at: f64) -> f64 {
    match sorted.len() {
        0 => f64::NAN,
        n => sorted[((n - 1) as f64 * at).round() as usize],
    }
}

fn periods(time: u64) -> f64 {
    time as f64 / PERIOD as f64
}

fn ready(seed: u64, size: usize) -> World {
    let mut world = World::fleet(seed, size);
    // A thousand that start in the same moment with one seed take longer than later joins.
    for _ in 0..10 {
        if world.settle(Membership::settling_bound(PERIOD, size)).is_ok() {
            break;
        }
    }
    world.events.clear();
    world
}

/// Periods until the first and until the last member holds a killed one down.
fn detection(seed: u64, size: usize) -> (f64, f64) {
    let mut world = ready(seed, size);
    let victim = 1 + world.random_below(size as u64 - 1) as usize;
    let id = world.nodes[victim].id.clone();
    world.kill(victim);
    let start = world.now;
    let _ = world.settle(Membership::settling_bound(PERIOD, size));
    let told = |(at, _, event): &(u64, usize, Event)| match event {
        Event::Down(who, _) if *who == id => Some(periods(at - start)),
        _ => None,
    };
    let times: Vec<f64> = world.events.iter().filter_map(told).collect();
    (times.iter().copied().fold(f64::NAN, f64::min), times.iter().copied().fold(f64::NAN, f64::max))
}

/// Periods until both halves of a fleet that was cut for 60 periods hold all again.
fn heal(seed: u64, size: usize) -> f64 {
    let mut world = ready(seed, size);
    let (one, two): (BTreeSet<usize>, BTreeSet<usize>) =
        ((0..size / 2).collect(), (size / 2..size).collect());
    world.partitions.push(Partition { from: one.clone(), to: two.clone() });
    world.partitions.push(Partition { from: two, to: one });
    world.run(60);
    world.partitions.clear();
    world.settle(Membership::settling_bound(PERIOD, size)).map_or(f64::INFINITY, periods)
}

/// Deaths told of living members, by the word that said so first: for an hour of the whole fleet, scaled from so many periods.
fn false_deaths(seed: u64, size: usize, loss: f64, stalled: bool, time: u64) -> f64 {
    let mut world = ready(seed, size);
    world.loss = loss;
    if !stalled {
        world.run(time);
    } else {
        // A tenth of the members, always others, stops for 2 to 4 periods at a time.
        for _ in 0..time / 6 {
            let some: Vec<usize> =
                (0..(size / 10).max(1)).map(|_| world.random_below(size as u64) as usize).collect();
            for n in &some {
                world.set_paused(*n, true);
            }
            let length = 2 + world.random_below(3);
            world.run(length);
            for n in &some {
                world.set_paused(*n, false);
            }
            world.run(6 - length);
        }
    }
    let mut told: BTreeSet<(MemberId, u64)> = BTreeSet::new();
    for (at, _, event) in &world.events {
        if let Event::Down(id, _) = event {
            told.insert((id.clone(), at / (30 * PERIOD)));
        }
    }
    told.len() as f64 * 3600.0 / time as f64
}

/// Bytes a second a member, and processor time a second a member in microseconds, with nothing amiss.
fn cost(seed: u64, size: usize) -> (f64, f64) {
    let mut world = ready(seed, size);
    world.run(120);
    world.traffic = Some((0, 0));
    world.run(20);
    let bytes = world.traffic.map_or(0, |(_, bytes)| bytes) as f64 / 20.0 / size as f64;
    world.traffic = None;
    let start = Instant::now();
    world.run(20);
    (bytes, start.elapsed().as_secs_f64() * 1e6 / 20.0 / size as f64)
}

fn sorted(mut figures: Vec<f64>) -> Vec<f64> {
    figures.retain(|f| !f.is_nan());
    figures.sort_by(f64::total_cmp);
    figures
}

/// The table, for each size; a period is 1 s.
pub fn table(sizes: &[usize], plays: u64) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "| detector | members | first told down, s: median, p99 | known to all, s: median, p99 | healed, s: median, most | false deaths an hour at 0, 5, 20% loss, a tenth stalled | bytes/s a member | µs/s a member |"
    );
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for &size in sizes {
        let few = if size >= 300 { plays.min(2) } else { plays };
        let time = if size >= 1000 { 120 } else { 300 };
        let (first, last): (Vec<f64>, Vec<f64>) = (0..few * 4).map(|seed| detection(seed, size)).unzip();
        let (first, last) = (sorted(first), sorted(last));
        let heals = sorted((0..few).map(|seed| heal(seed, size)).collect());
        let deaths = |loss, stalled| {
            (0..few).map(|seed| false_deaths(seed, size, loss, stalled, time)).sum::<f64>() / few as f64
        };
        let deaths_of_view = [deaths(0.0, false), deaths(0.05, false), deaths(0.2, false), deaths(0.0, true)];
        let (bytes, cpu) = cost(1, size);
        let view = Played { first, last, heals, deaths: deaths_of_view, bytes, cpu };
        out.push_str(&row("view", size, &view));
        out.push_str(&row("foca 2", size, &crate_swim::play(size, few, time)));
        for detector in [Detector::Heartbeats, Detector::Accrual] {
            out.push_str(&row(detector.name(), size, &others::play(detector, size, few, time)));
        }
    }
    out
}

fn row(name: &str, size: usize, played: &Played) -> String {
    let pair = |figures: &[f64], at: f64| format!("{:.1}, {:.1}", rank(figures, 0.5), rank(figures, at));
    let heals = if played.heals.is_empty() { "-".to_string() } else { pair(&played.heals, 1.0) };
    let [none, few, many, stalled] = played.deaths;
    format!(
        "| {name} | {size} | {} | {} | {heals} | {none:.1}, {few:.1}, {many:.1}, {stalled:.1} | {:.0} | {:.0} |\n",
        pair(&played.first, 0.99),
        pair(&played.last, 0.99),
        played.bytes,
        played.cpu,
    )
}
