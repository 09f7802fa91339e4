//! Runs the simulation: `schedules` and `quorum` search for invariant violations, `detect` compares failure detectors.

use std::process::ExitCode;
use std::time::Instant;

use bpaf::Parser;
use cobaltspool_fleet::quorum::SafetyChecks;
use cobaltspool_fleet_sim::{measure, quorum, schedule};

enum Task {
    Schedules { from: u64, count: u64, least: usize, most: usize },
    Quorum { from: u64, count: u64 },
    Detect { sizes: Vec<usize>, plays: u64 },
}

fn parser() -> bpaf::OptionParser<Task> {
    let from = bpaf::long("from").help("the first seed").argument("SEED").fallback(0);
    let count = bpaf::long("count").help("how many schedules").argument("N").fallback(10_000);
    let least = bpaf::long("least")
        .help("the smallest fleet, 3 or more")
        .argument("N")
        .guard(|n| *n >= 3, "3 or more")
        .fallback(3);
    let most = bpaf::long("most").help("the largest fleet").argument("N").fallback(30);
    let schedules = bpaf::construct!(Task::Schedules { from, count, least, most })
        .to_options()
        .descr("Runs random schedules of faults; exits with status 1 if one does not settle within the bound")
        .command("schedules");
    let from = bpaf::long("from").help("the first seed").argument("SEED").fallback(0);
    let count = bpaf::long("count").help("how many schedules").argument("N").fallback(10_000);
    let quorum = bpaf::construct!(Task::Quorum { from, count })
        .to_options()
        .descr("Runs random schedules of faults, including disk faults, on 3, 5 and 7 voters; exits with status 1 if one fails")
        .command("quorum");
    let sizes = bpaf::long("size")
        .help("a fleet's size; may be given several times")
        .argument("N")
        .some("give --size");
    let plays = bpaf::long("plays").help("number of runs for each figure").argument("N").fallback(5);
    let detect = bpaf::construct!(Task::Detect { sizes, plays })
        .to_options()
        .descr("Measures detection, settling, false deaths and traffic, compared with simpler detectors")
        .command("detect");
    bpaf::construct!([schedules, quorum, detect])
        .to_options()
        .descr("Simulation of the membership protocol and of the quorum")
}

fn main() -> ExitCode {
    match parser().run() {
        Task::Schedules { from, count, least, most } => schedules(from, count, least, most),
        Task::Quorum { from, count } => quorum(from, count),
        Task::Detect { sizes, plays } => {
            print!("{}", measure::table(&sizes, plays));
            ExitCode::SUCCESS
        }
    }
}

/// Distributes the seeds over one thread per core; each schedule runs on a single thread. Returns the outcomes in the
/// order of the seeds.
fn run_parallel<T: Send>(from: u64, count: u64, run: impl Fn(u64) -> T + Sync) -> Vec<(u64, T)> {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
    let run = &run;
    let mut outcomes: Vec<(u64, T)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..cores)
            .map(|core| {
                let seeds = (from..from + count).filter(move |seed| seed % cores == core);
                scope.spawn(move || seeds.map(|seed| (seed, run(seed))).collect::<Vec<_>>())
            })
            .collect();
        workers.into_iter().flat_map(|w| w.join().expect("a schedule panicked")).collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes
}

fn schedules(from: u64, count: u64, least: usize, most: usize) -> ExitCode {
    let start = Instant::now();
    let outcomes = run_parallel(from, count, |seed| schedule::run_schedule(seed, least, most));
    let failed: Vec<_> = outcomes.iter().filter(|(_, p)| p.settled.is_err()).collect();
    for (_, outcome) in failed.iter().take(5) {
        println!("{outcome:#?}");
    }
    let mut times: Vec<f64> = outcomes.iter().filter_map(|(_, p)| p.settled.clone().ok()).collect();
    times.sort_by(f64::total_cmp);
    println!(
        "{} schedules of {least} to {most} members in {:.0} s: {} failed; settled after the last fault in {:.1} periods (median), {:.1} (p99), {:.1} (max)",
        outcomes.len(),
        start.elapsed().as_secs_f64(),
        failed.len(),
        measure::quantile(&times, 0.5),
        measure::quantile(&times, 0.99),
        measure::quantile(&times, 1.0),
    );
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn quorum(from: u64, count: u64) -> ExitCode {
    let start = Instant::now();
    let outcomes = run_parallel(from, count, |seed| quorum::run_schedule(seed, SafetyChecks::default()));
    let failed: Vec<_> = outcomes.iter().filter(|(_, p)| p.settled.is_err()).collect();
    for (_, outcome) in failed.iter().take(3) {
        println!("{outcome:#?}");
    }
    let mut times: Vec<f64> = outcomes.iter().filter_map(|(_, p)| p.settled.clone().ok()).collect();
    times.sort_by(f64::total_cmp);
    println!(
        "{} schedules of 3, 5 and 7 voters in {:.0} s: {} failed; {} commands committed; settled after the last fault in {:.1} election timeouts (median), {:.1} (p99), {:.1} (max)",
        outcomes.len(),
        start.elapsed().as_secs_f64(),
        failed.len(),
        outcomes.iter().map(|(_, p)| p.committed).sum::<u64>(),
        measure::quantile(&times, 0.5),
        measure::quantile(&times, 0.99),
        measure::quantile(&times, 1.0),
    );
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
