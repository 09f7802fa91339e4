//! One real process: started with its files, killed, stopped, asked.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::STEP_TIMEOUT;

/// Lines that are kept of a log.
const MAX_LOG_LINES: usize = 400;

/// One process of the fleet, running or not.
pub struct Process {
    /// Its member's id.
    pub id: String,
    /// Whom it asks first, where that is not the plan's.
    pub seeds: Option<Vec<SocketAddr>>,
    /// Where it is to be reached, where that is not a free port.
    pub address: Option<SocketAddr>,
    /// Processes of one dir find each other at an upgrade.
    pub shares_upgrade_dir: bool,
    /// Fail points from its start on, as in `wall=return(3600)`; several with semicolons between.
    pub fail_points: String,
    pub(crate) env: Vec<(String, String)>,
    pub(crate) child: Option<Child>,
    pub(crate) paused: bool,
    pub(crate) log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub(crate) fn new(id: &str) -> Process {
        Process {
            id: id.to_string(),
            seeds: None,
            address: None,
            shares_upgrade_dir: false,
            fail_points: String::new(),
            env: Vec::new(),
            child: None,
            paused: false,
            log: Arc::default(),
        }
    }

    pub(crate) fn start(&mut self, program: &Path, args: &[String], dir: &Path, has_fleet_section: bool) {
        self.kill();
        self.log.lock().expect("the log").clear();
        let mut child = Command::new(program)
            .args(args)
            .env_remove("LB_CONFIG")
            .env_remove("LB_OPS")
            .env("FAILPOINTS", &self.fail_points)
            .envs(self.env.iter().cloned())
            // No handover between a process and the next under its id, unless the scenario is an upgrade.
            .env("TMPDIR", if self.shares_upgrade_dir { dir.to_path_buf() } else { dir.join("none") })
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let err = BufReader::new(child.stderr.take().expect("its log"));
        let log = self.log.clone();
        std::thread::spawn(move || {
            for line in err.lines().map_while(Result::ok) {
                let mut log = log.lock().expect("the log");
                // The first lines tell the addresses.
                if log.len() >= MAX_LOG_LINES {
                    log.remove(MAX_LOG_LINES / 2);
                }
                log.push(line);
            }
        });
        (self.child, self.paused) = (Some(child), false);
        if has_fleet_section {
            self.wait_for_log("takes part in the fleet");
        }
        self.wait_for_log("operators connect here");
    }

    /// Waits for a line with these words.
    pub fn wait_for_log(&mut self, words: &str) -> String {
        let start = Instant::now();
        loop {
            let found = self.log_lines().into_iter().find(|l| l.contains(words));
            if let Some(line) = found {
                return line;
            }
            let ended = self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)));
            assert!(
                !ended && start.elapsed() < STEP_TIMEOUT,
                "{}: no '{words}' in {:#?}",
                self.id,
                self.log_lines()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// What it has logged.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().expect("the log").clone()
    }

    /// The last lines, for a failure's report.
    pub fn log_tail(&self) -> String {
        let lines = self.log_lines();
        let from = lines.len().saturating_sub(25);
        format!("--- {}\n{}", self.id, lines[from..].join("\n"))
    }

    fn addresses_in_log(&self, words: &str) -> Vec<SocketAddr> {
        let line = self.log_lines().into_iter().find(|l| l.contains(words));
        let line = line.unwrap_or_else(|| panic!("{} has not said '{words}'", self.id));
        line.split([' ', '=']).filter_map(|word| word.parse().ok()).collect()
    }

    /// Where it takes part in the fleet.
    pub fn fleet_address(&self) -> SocketAddr {
        self.addresses_in_log("takes part in the fleet")[0]
    }

    /// Its operators' door.
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses_in_log("operators connect here")[0]
    }

    /// Where its front of this line listens: " serves " or "serves SIP".
    pub fn front_address(&self, words: &str) -> SocketAddr {
        self.addresses_in_log(words)[0]
    }

    /// It runs, and is not stopped.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.paused
    }

    /// Its memory in kB: what is resident now.
    pub fn resident_kb(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Says that it is to end, and does not wait for it.
    pub fn request_termination(&self) {
        self.signal("-TERM");
    }

    pub(crate) fn terminate(&mut self) {
        self.signal("-TERM");
        if let Some(mut child) = self.child.take() {
            let start = Instant::now();
            while matches!(child.try_wait(), Ok(None)) {
                assert!(start.elapsed() < STEP_TIMEOUT, "{} does not end", self.id);
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Stops it, or continues it.
    pub(crate) fn set_paused(&mut self, paused: bool) {
        self.signal(if paused { "-STOP" } else { "-CONT" });
        self.paused = paused;
    }

    pub(crate) fn signal(&self, which: &str) {
        if let Some(child) = &self.child {
            let done = Command::new("kill").args([which, &child.id().to_string()]).status();
            assert!(done.is_ok_and(|d| d.success()), "kill {which}");
        }
    }

    /// One call at its door: status and body.
    pub fn admin_request(&self, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&self.admin_address(), Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let status = text.split(' ').nth(1)?.parse().ok()?;
        Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
    }

    /// Sets a fail point in it: the program has them in test builds only.
    pub fn set_fail_point(&self, name: &str, action: &str) {
        let set = self.admin_request("PUT", &format!("/faults/{name}={action}"));
        assert_eq!(
            set.as_ref().map(|(status, _)| *status),
            Some(200),
            "{}: {name}={action}: {set:?}",
            self.id
        );
    }

    /// How it sees the fleet.
    pub fn fleet_status(&self) -> Option<Value> {
        if !self.is_running() {
            return None;
        }
        let (status, body) = self.admin_request("GET", "/control/fleet")?;
        (status == 200).then(|| serde_json::from_str(&body).ok())?
    }
}
