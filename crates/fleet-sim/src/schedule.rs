//! Random schedules of faults for the membership protocol, and the check that all views agree afterwards.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cobaltspool_fleet::membership::Membership;

use crate::world::{PERIOD, Partition, World};

/// Result of one schedule.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed of the schedule.
    pub seed: u64,
    /// Running members at the end.
    pub size: usize,
    /// Description of each step, with its time in periods.
    pub steps: Vec<String>,
    /// Periods from the last fault until all views agreed, or why they do not agree.
    pub settled: Result<f64, String>,
}

/// Picks a random group of processes, neither empty nor all of them.
fn random_group(world: &mut World) -> BTreeSet<usize> {
    let size = world.nodes.len();
    let (count, first) = (1 + world.random_below(size as u64 - 1), world.random_below(size as u64) as usize);
    (0..count as usize).map(|n| (first + n) % size).collect()
}

/// Returns the processes that are not in `group`.
fn complement(world: &World, group: &BTreeSet<usize>) -> BTreeSet<usize> {
    (0..world.nodes.len()).filter(|n| !group.contains(n)).collect()
}

/// Runs one schedule: `least` to `most` members, random faults that may overlap, then no fault until the settling bound
/// has passed.
pub fn run_schedule(seed: u64, least: usize, most: usize) -> Outcome {
    let mut world = World::new(seed);
    let size = least + world.random_below((most.max(least) - least) as u64 + 1) as usize;
    // Some schedules have a short retention of dead members, so that partitions outlast it.
    let short_retention = world.random_below(4) == 0;
    if short_retention {
        world.retention = 20 * PERIOD;
    }
    let mut steps = vec![format!("{size} members, {} periods of retention", world.retention / PERIOD)];
    for n in 0..size {
        // Each member has three seeds, of which the last may be unused. Every fourth member has all others in its
        // configuration, and all members do with a short retention.
        let all: Vec<usize> = (0..size).collect();
        let (one, two) =
            (all[world.random_below(size as u64) as usize], world.random_below(size as u64) as usize);
        let unused_address = world.address(50_000 + n);
        let mut seeds = vec![world.address(0), world.address(one)];
        seeds.push(if world.random_below(3) == 0 { unused_address } else { world.address(two) });
        let configured = if n % 4 == 0 || short_retention { &all[..] } else { &[] };
        let configured = configured.iter().filter_map(|m| Some((id(*m)?, world.address(*m)))).collect();
        world.add(&format!("n{n}"), seeds, configured);
    }
    let first = 5 + world.random_below(20);
    world.run(first);
    for _ in 0..2 + world.random_below(6) {
        let step = apply_fault(&mut world);
        steps.push(format!("{}: {step}", world.now / PERIOD));
        let wait = world.random_below(25);
        world.run(wait);
        if world.random_below(3) == 0 {
            world.partitions.clear();
            steps.push(format!("{}: partitions heal", world.now / PERIOD));
        }
    }
    world.partitions.clear();
    (world.loss, world.duplication, world.delay) = (0.0, 0.0, (200, 2_000));
    for n in 0..world.nodes.len() {
        if world.nodes[n].paused {
            world.set_paused(n, false);
        }
    }
    steps.push(format!("{}: all faults end", world.now / PERIOD));
    let bound = Membership::settling_bound(PERIOD, world.nodes.len());
    let settled = world.settle(bound).map(|t| t as f64 / PERIOD as f64);
    Outcome { seed, size: world.running_ids().len(), steps, settled }
}

fn id(n: usize) -> Option<cobaltspool_fleet::member::MemberId> {
    cobaltspool_fleet::member::MemberId::new(&format!("n{n}"))
}

/// Picks the seeds of a process that starts later: a running member, and the first address, which may not answer.
fn pick_seeds(world: &mut World, without: &str) -> Vec<SocketAddr> {
    let running = world.nodes.iter().filter(|n| n.view.is_some() && n.id.as_str() != without);
    let running: Vec<SocketAddr> = running.map(|n| n.address).collect();
    let one = world.random_below(running.len() as u64) as usize;
    running.get(one).copied().into_iter().chain([world.address(0)]).collect()
}

fn start(world: &mut World, n: usize) {
    let name = world.nodes[n].id.to_string();
    world.nodes[n].seeds = pick_seeds(world, &name);
    world.start(n);
}

/// Applies one random fault and describes it.
fn apply_fault(world: &mut World) -> String {
    let size = world.nodes.len();
    let n = world.random_below(size as u64) as usize;
    let is_running = |world: &World, n: usize| world.nodes[n].view.is_some();
    match world.random_below(13) {
        0 | 1 => {
            let one = random_group(world);
            let two = complement(world, &one);
            world.partitions.push(Partition { from: one.clone(), to: two.clone() });
            world.partitions.push(Partition { from: two.clone(), to: one.clone() });
            format!("partition in both directions {one:?} | {two:?}")
        }
        2 => {
            let one = random_group(world);
            let two = complement(world, &one);
            world.partitions.push(Partition { from: one.clone(), to: two.clone() });
            format!("partition in one direction {one:?} > {two:?}")
        }
        3 => {
            // Ring: each member reaches only its two neighbours.
            for a in 0..size {
                let near = [a, (a + 1) % size, (a + size - 1) % size];
                let to = (0..size).filter(|b| !near.contains(b)).collect();
                world.partitions.push(Partition { from: BTreeSet::from([a]), to });
            }
            "partition into a ring".to_string()
        }
        4 => {
            world.kill(n);
            format!("kill {n}")
        }
        5 => {
            start(world, n);
            format!("restart {n}")
        }
        6 => {
            for _ in 0..10 {
                world.kill(n);
                world.run_to(world.now + PERIOD / 2);
                start(world, n);
                world.run_to(world.now + PERIOD * 3 / 2);
            }
            format!("restart {n} ten times in twenty periods")
        }
        7 => {
            let some = random_group(world);
            for m in &some {
                world.set_paused(*m, true);
            }
            let time = 1 + world.random_below(60);
            world.run(time);
            for m in &some {
                world.set_paused(*m, false);
            }
            format!("pause {some:?} for {time} periods")
        }
        8 => {
            (world.loss, world.delay) = (0.05 + world.random_below(20) as f64 / 100.0, (0, 200_000));
            world.duplication = 0.1;
            format!("{:.0}% loss, up to 200 ms of delay, 10% duplicated", world.loss * 100.0)
        }
        9 if is_running(world, n) && world.running_ids().len() > 2 => {
            world.leave(n);
            format!("{n} leaves")
        }
        10 if is_running(world, n) && world.running_ids().len() > 1 => {
            let name = world.nodes[n].id.to_string();
            let seeds = pick_seeds(world, &name);
            let duplicate = world.add(&name, seeds, Vec::new());
            format!("start a second process under {name}, as {duplicate}")
        }
        11 => {
            let count = world.random_below(size as u64) as usize;
            let killed: Vec<usize> = (0..count).map(|k| (n + k) % size).collect();
            for m in &killed {
                world.kill(*m);
            }
            let time = 1 + world.random_below(20);
            world.run(time);
            for m in &killed {
                start(world, *m);
            }
            format!("kill {killed:?} at once and start them again")
        }
        12 if is_running(world, n) && world.running_ids().len() > 1 => {
            // Pause a process, start another one under its id, and resume the first one after the other has joined.
            world.set_paused(n, true);
            let name = world.nodes[n].id.to_string();
            let seeds = pick_seeds(world, &name);
            let next = world.add(&name, seeds, Vec::new());
            let time = 2 + world.random_below(40);
            world.run(time);
            world.set_paused(n, false);
            format!("pause {name}, start {next} under its id, and resume the first after {time} periods")
        }
        _ => "no fault".to_string(),
    }
}
