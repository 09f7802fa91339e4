//! One gatekeeper process: start, kill, suspend, terminate, and requests to its admin listener.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::STEP_TIMEOUT;

/// Maximum number of log lines kept per process.
const MAX_LOG_LINES: usize = 400;

/// One process of the fleet, which may or may not be running.
pub struct Process {
    /// Id of the member that the process runs as.
    pub id: String,
    /// Seed addresses; `None` takes those of the fleet configuration.
    pub seeds: Option<Vec<SocketAddr>>,
    /// Fleet address to bind; `None` takes a free port.
    pub address: Option<SocketAddr>,
    /// `TMPDIR` is the directory of the fleet, in which the two processes of an upgrade find each other.
    pub shares_upgrade_dir: bool,
    /// Fail points set at process start, such as `wall=return(3600)`; several are separated by semicolons.
    pub fail_points: String,
    pub(crate) env: Vec<(String, String)>,
    pub(crate) child: Option<Child>,
    pub(crate) suspended: bool,
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
            suspended: false,
            log: Arc::default(),
        }
    }

    pub(crate) fn start(&mut self, program: &Path, args: &[String], dir: &Path, has_fleet_section: bool) {
        self.kill();
        self.log.lock().expect("lock the log").clear();
        let mut child = Command::new(program)
            .args(args)
            .env_remove("LB_CONFIG")
            .env_remove("LB_OPS")
            .env("FAILPOINTS", &self.fail_points)
            .envs(self.env.iter().cloned())
            // Without the shared directory a restarted process does not take over from its predecessor.
            .env("TMPDIR", if self.shares_upgrade_dir { dir.to_path_buf() } else { dir.join("none") })
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the program");
        let err = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let log = self.log.clone();
        std::thread::spawn(move || {
            for line in err.lines().map_while(Result::ok) {
                let mut log = log.lock().expect("lock the log");
                // Drops lines from the middle: the first lines contain the addresses, which are read later.
                if log.len() >= MAX_LOG_LINES {
                    log.remove(MAX_LOG_LINES / 2);
                }
                log.push(line);
            }
        });
        (self.child, self.suspended) = (Some(child), false);
        if has_fleet_section {
            self.wait_for_log("takes part in the fleet");
        }
        self.wait_for_log("operators connect here");
    }

    /// Waits for a log line that contains `text` and returns it. Panics if the process ends or `STEP_TIMEOUT` expires.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let start = Instant::now();
        loop {
            let found = self.log_lines().into_iter().find(|l| l.contains(text));
            if let Some(line) = found {
                return line;
            }
            let ended = self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)));
            assert!(
                !ended && start.elapsed() < STEP_TIMEOUT,
                "{}: no '{text}' in {:#?}",
                self.id,
                self.log_lines()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Log lines of the current run, at most `MAX_LOG_LINES`.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().expect("lock the log").clone()
    }

    /// The last 25 log lines, for the report of a failed wait.
    pub fn log_tail(&self) -> String {
        let lines = self.log_lines();
        let from = lines.len().saturating_sub(25);
        format!("--- {}\n{}", self.id, lines[from..].join("\n"))
    }

    /// Addresses in the first log line that contains `text`.
    fn addresses_in_log(&self, text: &str) -> Vec<SocketAddr> {
        let line = self.log_lines().into_iter().find(|l| l.contains(text));
        let line = line.unwrap_or_else(|| panic!("{} has not logged '{text}'", self.id));
        line.split([' ', '=']).filter_map(|word| word.parse().ok()).collect()
    }

    /// Address of the process for messages between members.
    pub fn fleet_address(&self) -> SocketAddr {
        self.addresses_in_log("takes part in the fleet")[0]
    }

    /// Address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses_in_log("operators connect here")[0]
    }

    /// Listen address of a front, by a text in its start-up log line: " serves name=" or " serves SIP".
    pub fn front_address(&self, text: &str) -> SocketAddr {
        self.addresses_in_log(text)[0]
    }

    /// The process has been started and is not suspended by `SIGSTOP`.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.suspended
    }

    /// Resident memory in kB; 0 if the process does not run.
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

    /// Sends `SIGTERM` without waiting for the process to end.
    pub fn request_termination(&self) {
        self.signal("-TERM");
    }

    /// Sends `SIGTERM` and waits until the process has ended.
    pub(crate) fn terminate(&mut self) {
        self.signal("-TERM");
        if let Some(mut child) = self.child.take() {
            let start = Instant::now();
            while matches!(child.try_wait(), Ok(None)) {
                assert!(start.elapsed() < STEP_TIMEOUT, "{} does not end after SIGTERM", self.id);
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Suspends the process with `SIGSTOP`, or resumes it with `SIGCONT`.
    pub(crate) fn set_suspended(&mut self, suspended: bool) {
        self.signal(if suspended { "-STOP" } else { "-CONT" });
        self.suspended = suspended;
    }

    pub(crate) fn signal(&self, which: &str) {
        if let Some(child) = &self.child {
            let done = Command::new("kill").args([which, &child.id().to_string()]).status();
            assert!(done.is_ok_and(|d| d.success()), "kill {which} failed");
        }
    }

    /// Sends one HTTP request to the admin listener and returns status and body.
    pub fn admin_request(&self, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&self.admin_address(), Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let status = text.split(' ').nth(1)?.parse().ok()?;
        Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
    }

    /// Sets a fail point in the running process. Only test builds of the program contain fail points.
    pub fn set_fail_point(&self, name: &str, action: &str) {
        let set = self.admin_request("PUT", &format!("/faults/{name}={action}"));
        assert_eq!(
            set.as_ref().map(|(status, _)| *status),
            Some(200),
            "{}: {name}={action}: {set:?}",
            self.id
        );
    }

    /// Answer to `GET /control/fleet`; `None` if the process does not run or does not answer.
    pub fn fleet_status(&self) -> Option<Value> {
        if !self.is_running() {
            return None;
        }
        let (status, body) = self.admin_request("GET", "/control/fleet")?;
        (status == 200).then(|| serde_json::from_str(&body).ok())?
    }
}
