//! Test harness that runs several gatekeeper processes on free ports, connects them through directed links (`link`),
//! injects faults into processes (`process`) and links, and records the membership each process reports (`history`).
//! Every wait is for a condition with a time limit.

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

/// Time limit of a single step, generous enough for a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Configuration of a test fleet.
pub struct FleetConfig {
    /// Path of the gatekeeper executable.
    pub program: PathBuf,
    /// Number of configured members.
    pub member_count: usize,
    /// Interval between two probes of a member.
    pub probe_period: Duration,
    /// How long members keep the records of members that are down (setting `memory`).
    pub down_retention: Duration,
    /// The processes share a `TMPDIR`, so that a second process of a member takes over from the first (an upgrade).
    pub shares_upgrade_dir: bool,
    /// Number of voters: the members with the lowest numbers keep the replicated log.
    pub voter_count: usize,
    /// Additional environment variables of each process.
    pub env: Vec<(String, String)>,
    /// The processes run without a fleet section, as the baseline of a measurement.
    pub without_fleet_section: bool,
    /// Members reach each other through links with injectable faults. Without links they connect directly, which
    /// permits a second process under one id.
    pub linked: bool,
    /// Numbers of the seed members of a member.
    pub seeds: fn(usize) -> Vec<usize>,
    /// Additional arguments of a member, each a flag with the content of the file that it names.
    pub files: Box<dyn Fn(usize) -> Vec<(String, String)>>,
    /// Seed of the random choices; printed when a wait fails.
    pub rng_seed: u64,
}

/// A fleet of gatekeeper processes, killed on drop.
pub struct TestFleet {
    config: FleetConfig,
    dir: PathBuf,
    /// The processes by number. The configured members have the ids `n0`, `n1`, ...
    pub members: Vec<Process>,
    /// Links between the members; empty unless `linked`.
    pub links: Links,
    /// Views recorded so far.
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
        std::fs::create_dir_all(&dir).expect("create the directory of the fleet");
        // Ports are reused between fleets. A separate key per fleet keeps their members from joining each other.
        std::fs::write(dir.join("fleet.key"), format!("{name}, a key of its own"))
            .expect("write the key file");
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

    /// Time within which a fleet of this size must settle after a change: the contract's T.
    pub fn settling_bound(&self) -> Duration {
        let size = self.members.len().max(10) as f64;
        self.config.probe_period * (16.0 + 14.0 * size.log10()).ceil() as u32
    }

    /// Interval between two probes of a member.
    pub fn probe_period(&self) -> Duration {
        self.config.probe_period
    }

    /// Key of the fleet, for frames that a test encodes itself.
    pub fn key(&self) -> Vec<u8> {
        std::fs::read(self.dir.join("fleet.key")).expect("read the key file")
    }

    /// Starts or restarts a member.
    pub fn start_member(&mut self, n: usize) {
        self.start_process(n, n);
    }

    /// Starts process `n` with the configuration files of member `of`.
    fn start_process(&mut self, n: usize, of: usize) {
        let mut files = (self.config.files)(of);
        let fleet = self.fleet_section(n);
        if !self.config.without_fleet_section {
            files.push(("--ops".to_string(), json!({ "fleet": fleet }).to_string()));
        }
        let mut args = vec!["serve".to_string(), "--door".to_string(), "127.0.0.1:0".to_string()];
        for (k, (flag, text)) in files.into_iter().enumerate() {
            let path = self.dir.join(format!("{n}-{k}.json"));
            std::fs::write(&path, text).expect("write a configuration file");
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

    /// Starts a second process of a member as in an upgrade: same files, same fleet address. Returns its number.
    pub fn start_successor(&mut self, of: usize) -> usize {
        assert!(!self.config.linked, "a link leads to one process per id");
        let (id, at, n) = (self.members[of].id.clone(), self.members[of].fleet_address(), self.members.len());
        self.members.push(Process { address: Some(at), shares_upgrade_dir: true, ..Process::new(&id) });
        self.start_process(n, of);
        n
    }

    /// Starts a member that is not in any other member's configuration, with the given seeds. Returns its number.
    pub fn start_newcomer(&mut self, id: &str, seeds: Vec<SocketAddr>) -> usize {
        assert!(!self.config.linked, "links exist between the configured members only");
        let n = self.members.len();
        self.members.push(Process { seeds: Some(seeds), ..Process::new(id) });
        self.start_member(n);
        n
    }

    /// Starts a second process under the id of another, with a third member as its seed. Not available in linked
    /// fleets, in which a link leads to one process per id. Returns its number.
    pub fn start_duplicate(&mut self, of: usize, seed: usize) -> usize {
        assert!(!self.config.linked, "a link leads to one process per id");
        let id = self.members[of].id.clone();
        self.start_newcomer(&id, vec![self.members[seed].fleet_address()])
    }

    /// The fleet section of the operations file of process `n`.
    fn fleet_section(&self, n: usize) -> Value {
        let process = &self.members[n];
        let exists = |m: &usize| *m < self.members.len() && *m != n;
        let seeds: Vec<SocketAddr> = match &process.seeds {
            Some(seeds) => seeds.clone(),
            None if self.config.linked => (self.config.seeds)(n)
                .iter()
                .filter(|m| **m != n)
                .map(|m| self.links.address(n, *m))
                .collect(),
            None => (self.config.seeds)(n)
                .iter()
                .filter(|m| exists(m))
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

    /// Kills a member with `SIGKILL`.
    pub fn kill(&mut self, n: usize) {
        self.history.record_disturbance();
        self.members[n].kill();
    }

    /// Suspends a member without recording a disturbance, for measurements that do not poll.
    pub fn suspend_unrecorded(&self, n: usize) {
        self.members[n].signal("-STOP");
    }

    /// Sends `SIGTERM` to a member and waits until it has ended.
    pub fn terminate(&mut self, n: usize) {
        self.history.record_disturbance();
        self.members[n].terminate();
    }

    /// Suspends or resumes a member.
    pub fn set_suspended(&mut self, n: usize, suspended: bool) {
        self.history.record_disturbance();
        self.members[n].set_suspended(suspended);
    }

    /// Random number below `below`, from the seeded generator.
    pub fn random_below(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below.max(1) as u64) as usize
    }

    /// Requests the current view of every process and records it; `None` for a process that does not run or answer.
    pub fn poll_views(&mut self) -> Vec<Option<FleetView>> {
        let views: Vec<Option<FleetView>> =
            self.members.iter().map(|m| m.fleet_status().map(FleetView::of)).collect();
        self.history.record(&views);
        views
    }

    /// Polls the views for the given time, so that the history contains what happens in it.
    pub fn poll_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.poll_views();
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Polls the views until `holds` returns `Ok`, and returns the time taken. After `within` it panics with the last
    /// error and the log tails.
    pub fn wait_until(
        &mut self,
        what: &str,
        within: Duration,
        holds: impl Fn(&TestFleet, &[Option<FleetView>]) -> Result<(), String>,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let views = self.poll_views();
            let wrong = match holds(self, &views) {
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

    /// Waits for invariant 1: within the settling bound every running member that is not on standby lists exactly the
    /// running members and reports itself settled. 10 s are added for delays of the test machine.
    pub fn wait_until_settled(&mut self, what: &str) -> Duration {
        let bound = self.settling_bound();
        self.wait_until(what, bound + Duration::from_secs(10), |fleet, views| {
            history::check_agreement(&fleet.members, views)
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
