//! Starts several real gatekeepers on ports of their own, joins them by directed links (`link`), breaks processes
//! (`process`) and links, and records how each sees the fleet (`history`). Waiting is always for a condition with a bound.

pub mod effect_recorder;
pub mod history;
pub mod link;
pub mod process;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use history::{FleetView, History};
use link::Links;
use process::Process;

/// No step takes longer, on however busy a machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// What a fleet is started with.
pub struct FleetConfig {
    /// The program.
    pub program: PathBuf,
    /// How many members.
    pub member_count: usize,
    /// From one probe to the next.
    pub probe_period: Duration,
    /// For how long the dead are remembered.
    pub down_retention: Duration,
    /// A second process of a member finds the first, as at an upgrade.
    pub shares_upgrade_dir: bool,
    /// The first so many keep the fleet's log.
    pub voter_count: usize,
    /// Further variables of each process.
    pub env: Vec<(String, String)>,
    /// Without a fleet section: what a measurement compares with.
    pub without_fleet_section: bool,
    /// Members reach each other by links that can be broken; else straight, so that one more process may have an id.
    pub linked: bool,
    /// Whom each asks first, by number.
    pub seeds: fn(usize) -> Vec<usize>,
    /// A member's further arguments: each a flag and what its file holds.
    pub files: Box<dyn Fn(usize) -> Vec<(String, String)>>,
    /// For random choices, printed where something fails.
    pub rng_seed: u64,
}

/// A fleet of processes.
pub struct TestFleet {
    config: FleetConfig,
    dir: PathBuf,
    /// The processes, by number; ids are `n0`, `n1`, ...
    pub members: Vec<Process>,
    /// The links between them.
    pub links: Links,
    /// What was seen.
    pub history: History,
    rng: Pcg64Mcg,
}

impl TestFleet {
    /// Starts all members.
    pub fn start(config: FleetConfig) -> TestFleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("cobaltspool-fleet-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let dir = std::env::temp_dir().join(&name);
        std::fs::create_dir_all(&dir).expect("a dir for the fleet");
        // Ports go from one fleet to the next: without a key of its own each, their fleets would meet.
        std::fs::write(dir.join("fleet.key"), format!("{name}, a key of its own")).expect("a key");
        let links = Links::new(if config.linked { config.member_count } else { 0 }, config.rng_seed);
        let rng = Pcg64Mcg::seed_from_u64(config.rng_seed);
        let mut fleet =
            TestFleet { config, dir, members: Vec::new(), links, history: History::default(), rng };
        for n in 0..fleet.config.member_count {
            let process = Process {
                shares_upgrade_dir: fleet.config.shares_upgrade_dir,
                ..Process::new(&format!("n{n}"))
            };
            fleet.members.push(process);
            fleet.start_member(n);
        }
        fleet
    }

    /// The settling bound at this size: the contract's T.
    pub fn settling_bound(&self) -> Duration {
        let size = self.members.len().max(10) as f64;
        self.config.probe_period * (16.0 + 14.0 * size.log10()).ceil() as u32
    }

    /// The probe period.
    pub fn probe_period(&self) -> Duration {
        self.config.probe_period
    }

    /// The fleet's key, for frames that a test writes itself.
    pub fn key(&self) -> Vec<u8> {
        std::fs::read(self.dir.join("fleet.key")).expect("a key")
    }

    /// Starts a member, or starts it anew.
    pub fn start_member(&mut self, n: usize) {
        self.start_process(n, n);
    }

    /// Starts a process with the files of another.
    fn start_process(&mut self, n: usize, of: usize) {
        let mut files = (self.config.files)(of);
        let fleet = self.fleet_section(n);
        if !self.config.without_fleet_section {
            files.push(("--ops".to_string(), json!({ "fleet": fleet }).to_string()));
        }
        let mut args = vec!["serve".to_string(), "--door".to_string(), "127.0.0.1:0".to_string()];
        for (k, (flag, text)) in files.into_iter().enumerate() {
            let path = self.dir.join(format!("{n}-{k}.json"));
            std::fs::write(&path, text).expect("a file is written");
            args.extend([flag, path.display().to_string()]);
        }
        self.history.record_disturbance();
        let process = &mut self.members[n];
        process.env.clone_from(&self.config.env);
        process.start(&self.config.program, &args, &self.dir, !self.config.without_fleet_section);
        if self.config.linked && !self.config.without_fleet_section {
            self.links.set_target(n, process.fleet_address());
        }
    }

    /// One more process of a member, as at an upgrade: with the same files and the same address.
    pub fn start_successor(&mut self, of: usize) -> usize {
        assert!(!self.config.linked, "links lead to one process an id");
        let (id, at, n) = (self.members[of].id.clone(), self.members[of].fleet_address(), self.members.len());
        self.members.push(Process { address: Some(at), shares_upgrade_dir: true, ..Process::new(&id) });
        self.start_process(n, of);
        n
    }

    /// Starts a member that no other knows, with these seeds.
    pub fn start_newcomer(&mut self, id: &str, seeds: Vec<SocketAddr>) -> usize {
        assert!(!self.config.linked, "there is no link to it");
        let n = self.members.len();
        self.members.push(Process { seeds: Some(seeds), ..Process::new(id) });
        self.start_member(n);
        n
    }

    /// Starts a second process under the id of another, with a third member as its seed. Not for linked fleets, whose links
    /// lead to one process per id.
    pub fn start_duplicate(&mut self, of: usize, seed: usize) -> usize {
        assert!(!self.config.linked, "links lead to one process an id");
        let id = self.members[of].id.clone();
        self.start_newcomer(&id, vec![self.members[seed].fleet_address()])
    }

    fn fleet_section(&self, n: usize) -> Value {
        let process = &self.members[n];
        let there = |m: &usize| *m < self.members.len() && *m != n;
        let seeds: Vec<SocketAddr> = match &process.seeds {
            Some(seeds) => seeds.clone(),
            None if self.config.linked => (self.config.seeds)(n)
                .iter()
                .filter(|m| **m != n)
                .map(|m| self.links.address(n, *m))
                .collect(),
            None => (self.config.seeds)(n)
                .iter()
                .filter(|m| there(m))
                .map(|m| self.members[*m].fleet_address())
                .collect(),
        };
        let via: serde_json::Map<String, Value> =
            (0..if self.config.linked { self.config.member_count } else { 0 })
                .filter(|m| *m != n)
                .map(|m| (format!("n{m}"), json!(self.links.address(n, m).to_string())))
                .collect();
        let voters: Vec<String> = (0..self.config.voter_count).map(|m| format!("n{m}")).collect();
        json!({
            "voters": voters, "state": self.voter_dir(&process.id),
            "id": process.id, "address": process.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))).to_string(), "zone": if n.is_multiple_of(2) { "zagreb" } else { "split" },
            "seeds": seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(), "via": via,
            "key_file": self.dir.join("fleet.key"),
            "period": format!("{}ms", self.config.probe_period.as_millis()),
            "memory": format!("{}ms", self.config.down_retention.as_millis()),
        })
    }

    /// The state directory of a voter.
    pub fn voter_dir(&self, id: &str) -> PathBuf {
        self.dir.join(format!("state-{id}"))
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, n: usize) {
        self.history.record_disturbance();
        self.members[n].kill();
    }

    /// Stops a member while nothing looks.
    pub fn suspend_unrecorded(&self, n: usize) {
        self.members[n].signal("-STOP");
    }

    /// Tells a member to end, and waits until it has.
    pub fn terminate(&mut self, n: usize) {
        self.history.record_disturbance();
        self.members[n].terminate();
    }

    /// Stops a member, or continues it.
    pub fn set_paused(&mut self, n: usize, paused: bool) {
        self.history.record_disturbance();
        self.members[n].set_paused(paused);
    }

    /// A draw below so many.
    pub fn random_below(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below.max(1) as u64) as usize
    }

    /// How every running process sees the fleet now; `None` for one that does not run.
    pub fn poll_views(&mut self) -> Vec<Option<FleetView>> {
        let seen: Vec<Option<FleetView>> =
            self.members.iter().map(|m| m.fleet_status().map(FleetView::of)).collect();
        self.history.record(&seen);
        seen
    }

    /// Goes on for a while, looking all the time: the history needs what happens meanwhile.
    pub fn poll_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.poll_views();
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Looks until this holds, and gives how long that took.
    pub fn wait_until(
        &mut self,
        what: &str,
        within: Duration,
        holds: impl Fn(&TestFleet, &[Option<FleetView>]) -> Result<(), String>,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let seen = self.poll_views();
            let wrong = match holds(self, &seen) {
                Ok(()) => return start.elapsed(),
                Err(wrong) => wrong,
            };
            if start.elapsed() > within {
                let logs: Vec<String> = self.members.iter().map(Process::log_tail).collect();
                panic!(
                    "{what}: {wrong} (seed {}, after {within:?})\n{}",
                    self.config.rng_seed,
                    logs.join("\n")
                );
            }
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Invariant 1: within the bound every running member that speaks holds those that run and no other, and says that it
    /// has settled. The bound has room for the machine's own delays.
    pub fn wait_until_settled(&mut self, what: &str) -> Duration {
        let bound = self.settling_bound();
        self.wait_until(what, bound + Duration::from_secs(10), |fleet, seen| {
            history::check_agreement(&fleet.members, seen)
        })
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        for member in &mut self.members {
            member.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
