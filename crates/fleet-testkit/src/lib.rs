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

use history::{History, Seen};
use link::Links;
use process::Process;

/// No step takes longer, on however busy a machine.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// What a fleet is started with.
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// How many members.
    pub members: usize,
    /// From one probe to the next.
    pub period: Duration,
    /// For how long the dead are remembered.
    pub memory: Duration,
    /// A second process of a member finds the first, as at an upgrade.
    pub upgrades: bool,
    /// The first so many keep the fleet's log.
    pub voters: usize,
    /// Further variables of each process.
    pub env: Vec<(String, String)>,
    /// Without a fleet section: what a measurement compares with.
    pub without: bool,
    /// Members reach each other by links that can be broken; else straight, so that one more process may have an id.
    pub linked: bool,
    /// Whom each asks first, by number.
    pub seeds: fn(usize) -> Vec<usize>,
    /// A member's further arguments: each a flag and what its file holds.
    pub files: Box<dyn Fn(usize) -> Vec<(String, String)>>,
    /// For random choices, printed where something fails.
    pub seed: u64,
}

/// A fleet of processes.
pub struct TestFleet {
    plan: Plan,
    folder: PathBuf,
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
    pub fn start(plan: Plan) -> TestFleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("cobaltspool-fleet-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(&name);
        std::fs::create_dir_all(&folder).expect("a folder for the fleet");
        // Ports go from one fleet to the next: without a key of its own each, their fleets would meet.
        std::fs::write(folder.join("fleet.key"), format!("{name}, a key of its own")).expect("a key");
        let links = Links::new(if plan.linked { plan.members } else { 0 }, plan.seed);
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut fleet =
            TestFleet { plan, folder, members: Vec::new(), links, history: History::default(), rng };
        for n in 0..fleet.plan.members {
            let process = Process { meets: fleet.plan.upgrades, ..Process::new(&format!("n{n}")) };
            fleet.members.push(process);
            fleet.run(n);
        }
        fleet
    }

    /// The settling bound at this size: the contract's T.
    pub fn bound(&self) -> Duration {
        let size = self.members.len().max(10) as f64;
        self.plan.period * (16.0 + 14.0 * size.log10()).ceil() as u32
    }

    /// The probe period.
    pub fn period(&self) -> Duration {
        self.plan.period
    }

    /// The fleet's key, for frames that a test writes itself.
    pub fn key(&self) -> Vec<u8> {
        std::fs::read(self.folder.join("fleet.key")).expect("a key")
    }

    /// Starts a member, or starts it anew.
    pub fn run(&mut self, n: usize) {
        self.run_as(n, n);
    }

    /// Starts a process with the files of another.
    fn run_as(&mut self, n: usize, of: usize) {
        let mut files = (self.plan.files)(of);
        let fleet = self.section(n);
        if !self.plan.without {
            files.push(("--ops".to_string(), json!({ "fleet": fleet }).to_string()));
        }
        let mut args = vec!["serve".to_string(), "--door".to_string(), "127.0.0.1:0".to_string()];
        for (k, (flag, text)) in files.into_iter().enumerate() {
            let path = self.folder.join(format!("{n}-{k}.json"));
            std::fs::write(&path, text).expect("a file is written");
            args.extend([flag, path.display().to_string()]);
        }
        self.history.disturb();
        let process = &mut self.members[n];
        process.env.clone_from(&self.plan.env);
        process.start(&self.plan.program, &args, &self.folder, !self.plan.without);
        if self.plan.linked && !self.plan.without {
            self.links.leads_to(n, process.address());
        }
    }

    /// One more process of a member, as at an upgrade: with the same files and the same address.
    pub fn beside(&mut self, of: usize) -> usize {
        assert!(!self.plan.linked, "links lead to one process an id");
        let (id, at, n) = (self.members[of].id.clone(), self.members[of].address(), self.members.len());
        self.members.push(Process { at: Some(at), meets: true, ..Process::new(&id) });
        self.run_as(n, of);
        n
    }

    /// Starts a member that no other knows, with these seeds.
    pub fn newcomer(&mut self, id: &str, seeds: Vec<SocketAddr>) -> usize {
        assert!(!self.plan.linked, "there is no link to it");
        let n = self.members.len();
        self.members.push(Process { seeds: Some(seeds), ..Process::new(id) });
        self.run(n);
        n
    }

    /// Starts a second process under the id of another, with a third member as its seed. Not for linked fleets, whose links
    /// lead to one process per id.
    pub fn start_duplicate(&mut self, of: usize, seed: usize) -> usize {
        assert!(!self.plan.linked, "links lead to one process an id");
        let id = self.members[of].id.clone();
        self.newcomer(&id, vec![self.members[seed].address()])
    }

    fn section(&self, n: usize) -> Value {
        let process = &self.members[n];
        let there = |m: &usize| *m < self.members.len() && *m != n;
        let seeds: Vec<SocketAddr> = match &process.seeds {
            Some(seeds) => seeds.clone(),
            None if self.plan.linked => {
                (self.plan.seeds)(n).iter().filter(|m| **m != n).map(|m| self.links.way(n, *m)).collect()
            }
            None => {
                (self.plan.seeds)(n).iter().filter(|m| there(m)).map(|m| self.members[*m].address()).collect()
            }
        };
        let via: serde_json::Map<String, Value> = (0..if self.plan.linked { self.plan.members } else { 0 })
            .filter(|m| *m != n)
            .map(|m| (format!("n{m}"), json!(self.links.way(n, m).to_string())))
            .collect();
        let voters: Vec<String> = (0..self.plan.voters).map(|m| format!("n{m}")).collect();
        json!({
            "voters": voters, "state": self.state(&process.id),
            "id": process.id, "address": process.at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))).to_string(), "zone": if n.is_multiple_of(2) { "zagreb" } else { "split" },
            "seeds": seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(), "via": via,
            "key_file": self.folder.join("fleet.key"),
            "period": format!("{}ms", self.plan.period.as_millis()),
            "memory": format!("{}ms", self.plan.memory.as_millis()),
        })
    }

    /// A voter's folder.
    pub fn state(&self, id: &str) -> PathBuf {
        self.folder.join(format!("state-{id}"))
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, n: usize) {
        self.history.disturb();
        self.members[n].kill();
    }

    /// Stops a member while nothing looks.
    pub fn pause_quietly(&self, n: usize) {
        self.members[n].signal("-STOP");
    }

    /// Tells a member to end, and waits until it has.
    pub fn terminate(&mut self, n: usize) {
        self.history.disturb();
        self.members[n].terminate();
    }

    /// Stops a member, or continues it.
    pub fn pause(&mut self, n: usize, paused: bool) {
        self.history.disturb();
        self.members[n].pause(paused);
    }

    /// A draw below so many.
    pub fn draw(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below.max(1) as u64) as usize
    }

    /// How every running process sees the fleet now; `None` for one that does not run.
    pub fn look(&mut self) -> Vec<Option<Seen>> {
        let seen: Vec<Option<Seen>> = self.members.iter().map(|m| m.status().map(Seen::of)).collect();
        self.history.record(&seen);
        seen
    }

    /// Goes on for a while, looking all the time: the history needs what happens meanwhile.
    pub fn go_on(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.look();
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Looks until this holds, and gives how long that took.
    pub fn until(
        &mut self,
        what: &str,
        within: Duration,
        holds: impl Fn(&TestFleet, &[Option<Seen>]) -> Result<(), String>,
    ) -> Duration {
        let start = Instant::now();
        loop {
            let seen = self.look();
            let wrong = match holds(self, &seen) {
                Ok(()) => return start.elapsed(),
                Err(wrong) => wrong,
            };
            if start.elapsed() > within {
                let logs: Vec<String> = self.members.iter().map(Process::last_words).collect();
                panic!("{what}: {wrong} (seed {}, after {within:?})\n{}", self.plan.seed, logs.join("\n"));
            }
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Invariant 1: within the bound every running member that speaks holds those that run and no other, and says that it
    /// has settled. The bound has room for the machine's own delays.
    pub fn settles(&mut self, what: &str) -> Duration {
        let bound = self.bound();
        self.until(what, bound + Duration::from_secs(10), |fleet, seen| history::agree(&fleet.members, seen))
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        for member in &mut self.members {
            member.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
