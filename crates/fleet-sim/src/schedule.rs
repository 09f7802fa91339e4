//! Drawn schedules of faults, and the checker over them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cobaltspool_fleet::membership::Membership;

use crate::world::{Cut, PERIOD, World};

/// What one schedule showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Members at the end.
    pub size: usize,
    /// What was done, in words, with its time in periods.
    pub steps: Vec<String>,
    /// Periods until all agreed after the last fault, or what was wrong.
    pub settled: Result<f64, String>,
}

/// A drawn group of processes: never none, never all.
fn group(world: &mut World) -> BTreeSet<usize> {
    let size = world.nodes.len();
    let (most, first) = (1 + world.draw(size as u64 - 1), world.draw(size as u64) as usize);
    (0..most as usize).map(|n| (first + n) % size).collect()
}

fn others(world: &World, group: &BTreeSet<usize>) -> BTreeSet<usize> {
    (0..world.nodes.len()).filter(|n| !group.contains(n)).collect()
}

/// Plays one schedule: a fleet of `least` to `most`, some faults at a time over some minutes, then none for T.
pub fn play(seed: u64, least: usize, most: usize) -> Outcome {
    let mut world = World::new(seed);
    let size = least + world.draw((most.max(least) - least) as u64 + 1) as usize;
    // Some schedules have a short memory, so that cuts outlast it.
    let short = world.draw(4) == 0;
    if short {
        world.memory = 20 * PERIOD;
    }
    let mut steps = vec![format!("{size} members, {} periods of memory", world.memory / PERIOD)];
    for n in 0..size {
        // Two seeds each, of which some are wrong; every fourth member knows all others by name.
        let all: Vec<usize> = (0..size).collect();
        let (one, two) = (all[world.draw(size as u64) as usize], world.draw(size as u64) as usize);
        let nobody = world.address(50_000 + n);
        let mut seeds = vec![world.address(0), world.address(one)];
        seeds.push(if world.draw(3) == 0 { nobody } else { world.address(two) });
        let named = if n % 4 == 0 || short { &all[..] } else { &[] };
        let known = named.iter().filter_map(|m| Some((id(*m)?, world.address(*m)))).collect();
        world.add(&format!("n{n}"), seeds, known);
    }
    let first = 5 + world.draw(20);
    world.run(first);
    for _ in 0..2 + world.draw(6) {
        let step = fault(&mut world);
        steps.push(format!("{}: {step}", world.now / PERIOD));
        let wait = world.draw(25);
        world.run(wait);
        if world.draw(3) == 0 {
            world.cuts.clear();
            steps.push(format!("{}: cuts heal", world.now / PERIOD));
        }
    }
    world.cuts.clear();
    (world.loss, world.doubled, world.delay) = (0.0, 0.0, (200, 2_000));
    for n in 0..world.nodes.len() {
        if world.nodes[n].stopped {
            world.stop(n, false);
        }
    }
    steps.push(format!("{}: all is well again", world.now / PERIOD));
    let bound = Membership::settling_bound(PERIOD, world.nodes.len());
    let settled = world.settle(bound).map(|t| t as f64 / PERIOD as f64);
    Outcome { seed, size: world.truth().len(), steps, settled }
}

fn id(n: usize) -> Option<cobaltspool_fleet::member::MemberId> {
    cobaltspool_fleet::member::MemberId::new(&format!("n{n}"))
}

/// Whom a process that is started late asks first: one member that is there, and one that may not be.
fn seeds(world: &mut World, without: &str) -> Vec<SocketAddr> {
    let there = world.nodes.iter().filter(|n| n.view.is_some() && n.id.as_str() != without);
    let there: Vec<SocketAddr> = there.map(|n| n.address).collect();
    let one = world.draw(there.len() as u64) as usize;
    there.get(one).copied().into_iter().chain([world.address(0)]).collect()
}

fn start(world: &mut World, n: usize) {
    let name = world.nodes[n].id.to_string();
    world.nodes[n].seeds = seeds(world, &name);
    world.start(n);
}

fn fault(world: &mut World) -> String {
    let size = world.nodes.len();
    let n = world.draw(size as u64) as usize;
    let up = |world: &World, n: usize| world.nodes[n].view.is_some();
    match world.draw(13) {
        0 | 1 => {
            let one = group(world);
            let two = others(world, &one);
            world.cuts.push(Cut { from: one.clone(), to: two.clone() });
            world.cuts.push(Cut { from: two.clone(), to: one.clone() });
            format!("cut both ways {one:?} | {two:?}")
        }
        2 => {
            let one = group(world);
            let two = others(world, &one);
            world.cuts.push(Cut { from: one.clone(), to: two.clone() });
            format!("cut one way {one:?} > {two:?}")
        }
        3 => {
            // In a ring: each hears its neighbours only.
            for a in 0..size {
                let near = [a, (a + 1) % size, (a + size - 1) % size];
                let to = (0..size).filter(|b| !near.contains(b)).collect();
                world.cuts.push(Cut { from: BTreeSet::from([a]), to });
            }
            "cut to a ring".to_string()
        }
        4 => {
            world.kill(n);
            format!("kill {n}")
        }
        5 => {
            start(world, n);
            format!("start {n} anew")
        }
        6 => {
            for _ in 0..10 {
                world.kill(n);
                world.run_to(world.now + PERIOD / 2);
                start(world, n);
                world.run_to(world.now + PERIOD * 3 / 2);
            }
            format!("start {n} anew ten times in twenty periods")
        }
        7 => {
            let some = group(world);
            for m in &some {
                world.stop(*m, true);
            }
            let time = 1 + world.draw(60);
            world.run(time);
            for m in &some {
                world.stop(*m, false);
            }
            format!("stop {some:?} for {time} periods")
        }
        8 => {
            (world.loss, world.delay) = (0.05 + world.draw(20) as f64 / 100.0, (0, 200_000));
            world.doubled = 0.1;
            format!("{:.0}% loss, up to 200 ms, some twice", world.loss * 100.0)
        }
        9 if up(world, n) && world.truth().len() > 2 => {
            world.leave(n);
            format!("{n} leaves")
        }
        10 if up(world, n) && world.truth().len() > 1 => {
            let name = world.nodes[n].id.to_string();
            let seeds = seeds(world, &name);
            let duplicate = world.add(&name, seeds, Vec::new());
            format!("start {name} twice, as {duplicate}")
        }
        11 => {
            let most = world.draw(size as u64) as usize;
            let killed: Vec<usize> = (0..most).map(|k| (n + k) % size).collect();
            for m in &killed {
                world.kill(*m);
            }
            let time = 1 + world.draw(20);
            world.run(time);
            for m in &killed {
                start(world, *m);
            }
            format!("kill {killed:?} at once and start them again")
        }
        12 if up(world, n) && world.truth().len() > 1 => {
            // Stopped, replaced, and continued after its successor has joined.
            world.stop(n, true);
            let name = world.nodes[n].id.to_string();
            let seeds = seeds(world, &name);
            let next = world.add(&name, seeds, Vec::new());
            let time = 2 + world.draw(40);
            world.run(time);
            world.stop(n, false);
            format!("{name} stopped, started as {next}, and continued after {time} periods")
        }
        _ => "nothing".to_string(),
    }
}
