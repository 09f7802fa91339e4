//! Measures detection time, false deaths and cost of the membership protocol, compared with simpler detectors in the
//! same run.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::time::Instant;

use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::membership::{Event, Membership};
use rand_core::RngCore;

use crate::baselines::{self, Detector};
use crate::foca_swim;
use crate::world::{PERIOD, Partition, World};

/// One second of simulated time, in microseconds.
pub const SECOND: u64 = 1_000_000;

/// Results of one detector.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Periods until the first member reported a killed one down, sorted.
    pub first: Vec<f64>,
    /// Periods until the last member reported it down, sorted.
    pub last: Vec<f64>,
    /// Periods until all members are in all views again after a partition of 60 periods, sorted; empty if not measured.
    pub heals: Vec<f64>,
    /// False deaths per hour at 0, 5 and 20% loss, and with a tenth of the members paused at a time.
    pub deaths: [f64; 4],
    /// Bytes per second and member.
    pub bytes: f64,
    /// Microseconds of processor time per second and member.
    pub cpu: f64,
}

/// Returns true with the given probability.
pub fn chance(rng: &mut impl RngCore, probability: f64) -> bool {
    probability > 0.0 && (rng.next_u64() >> 11) as f64 / ((1u64 << 53) as f64) < probability
}

/// Returns the quantile `at` (0 to 1) of sorted values.
pub fn quantile(sorted: &[f64], at: f64) -> f64 {
    match sorted.len() {
        0 => f64::NAN,
        n => sorted[((n - 1) as f64 * at).round() as usize],
    }
}

fn periods(time: u64) -> f64 {
    time as f64 / PERIOD as f64
}

/// Creates a fleet whose views have settled.
fn settled_world(seed: u64, size: usize) -> World {
    let mut world = World::fleet(seed, size);
    // A thousand members that start at the same time with one seed take longer to settle than later joins do.
    for _ in 0..10 {
        if world.settle(Membership::settling_bound(PERIOD, size)).is_ok() {
            break;
        }
    }
    world.events.clear();
    world
}

/// Returns the periods until the first and until the last member reports a killed one down.
fn detection(seed: u64, size: usize) -> (f64, f64) {
    let mut world = settled_world(seed, size);
    let victim = 1 + world.random_below(size as u64 - 1) as usize;
    let id = world.nodes[victim].id.clone();
    world.kill(victim);
    let start = world.now;
    let _ = world.settle(Membership::settling_bound(PERIOD, size));
    let detection_time = |(at, _, event): &(u64, usize, Event)| match event {
        Event::Down(who, _) if *who == id => Some(periods(at - start)),
        _ => None,
    };
    let times: Vec<f64> = world.events.iter().filter_map(detection_time).collect();
    (times.iter().copied().fold(f64::NAN, f64::min), times.iter().copied().fold(f64::NAN, f64::max))
}

/// Returns the periods until all views agree again after a partition of 60 periods.
fn heal_time(seed: u64, size: usize) -> f64 {
    let mut world = settled_world(seed, size);
    let (one, two): (BTreeSet<usize>, BTreeSet<usize>) =
        ((0..size / 2).collect(), (size / 2..size).collect());
    world.partitions.push(Partition { from: one.clone(), to: two.clone() });
    world.partitions.push(Partition { from: two, to: one });
    world.run(60);
    world.partitions.clear();
    world.settle(Membership::settling_bound(PERIOD, size)).map_or(f64::INFINITY, periods)
}

/// Counts false deaths in the whole fleet over `time` periods, scaled to an hour. Reports about the same member in the
/// same 30 periods count once.
fn false_deaths(seed: u64, size: usize, loss: f64, stalled: bool, time: u64) -> f64 {
    let mut world = settled_world(seed, size);
    world.loss = loss;
    if !stalled {
        world.run(time);
    } else {
        // Pause a random tenth of the members for 2 to 4 periods at a time.
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
    let mut deaths: BTreeSet<(MemberId, u64)> = BTreeSet::new();
    for (at, _, event) in &world.events {
        if let Event::Down(id, _) = event {
            deaths.insert((id.clone(), at / (30 * PERIOD)));
        }
    }
    deaths.len() as f64 * 3600.0 / time as f64
}

/// Returns the bytes and the microseconds of processor time per second and member, without faults.
fn cost(seed: u64, size: usize) -> (f64, f64) {
    let mut world = settled_world(seed, size);
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

/// Returns the Markdown table of all detectors at each size; a period is 1 s.
pub fn table(sizes: &[usize], plays: u64) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "| detector | members | first report, s: median, p99 | last report, s: median, p99 | healed, s: median, max | false deaths per hour at 0, 5, 20% loss, a tenth paused | bytes/s per member | µs/s per member |"
    );
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for &size in sizes {
        let few = if size >= 300 { plays.min(2) } else { plays };
        let time = if size >= 1000 { 120 } else { 300 };
        let (first, last): (Vec<f64>, Vec<f64>) = (0..few * 4).map(|seed| detection(seed, size)).unzip();
        let (first, last) = (sorted(first), sorted(last));
        let heals = sorted((0..few).map(|seed| heal_time(seed, size)).collect());
        let deaths = |loss, stalled| {
            (0..few).map(|seed| false_deaths(seed, size, loss, stalled, time)).sum::<f64>() / few as f64
        };
        let deaths_of_view = [deaths(0.0, false), deaths(0.05, false), deaths(0.2, false), deaths(0.0, true)];
        let (bytes, cpu) = cost(1, size);
        let view = Measurement { first, last, heals, deaths: deaths_of_view, bytes, cpu };
        out.push_str(&row("view", size, &view));
        out.push_str(&row("foca 2", size, &foca_swim::measure(size, few, time)));
        for detector in [Detector::Heartbeats, Detector::Accrual] {
            out.push_str(&row(detector.name(), size, &baselines::measure(detector, size, few, time)));
        }
    }
    out
}

fn row(name: &str, size: usize, measured: &Measurement) -> String {
    let pair =
        |figures: &[f64], at: f64| format!("{:.1}, {:.1}", quantile(figures, 0.5), quantile(figures, at));
    let heals = if measured.heals.is_empty() { "-".to_string() } else { pair(&measured.heals, 1.0) };
    let [none, few, many, stalled] = measured.deaths;
    format!(
        "| {name} | {size} | {} | {} | {heals} | {none:.1}, {few:.1}, {many:.1}, {stalled:.1} | {:.0} | {:.0} |\n",
        pair(&measured.first, 0.99),
        pair(&measured.last, 0.99),
        measured.bytes,
        measured.cpu,
    )
}
