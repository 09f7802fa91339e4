//! A site of gatekeepers of one fleet, each with both fronts, in front of setup servers that answer by themselves; and calls to it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cobaltspool_fleet_testkit::{FleetConfig, TestFleet};
use serde_json::json;

use super::sip::Agent;
use super::*;

/// Quick, and still with room for a busy machine: a suspect has four periods at least.
pub const PERIOD: Duration = Duration::from_millis(250);

/// A fleet of gatekeepers with both fronts, and a setup server on each that answers by itself.
pub struct Site {
    pub fleet: TestFleet,
    pub _resolvers: [Resolver; 2],
}

pub fn plan(members: usize, linked: bool, [platform, sip]: &[Resolver; 2]) -> FleetConfig {
    let config = Program::platform_config(platform, settings()).to_string();
    let mut on_sip = Program::sip_config(sip, "_sip._udp.pool.lan", 9000);
    on_sip.as_object_mut().unwrap().remove("ops"); // the one door is the command line's
    let on_sip = on_sip.to_string();
    FleetConfig {
        program: env!("CARGO_BIN_EXE_cobaltspool").into(),
        member_count: members,
        probe_period: PERIOD,
        down_retention: Duration::from_secs(3600),
        linked,
        shares_upgrade_dir: false,
        without_fleet_section: false,
        voter_count: 0,
        env: Vec::new(),
        seeds: |n| vec![0, n.saturating_sub(1)],
        files: Box::new(move |_| {
            vec![("--config".to_string(), config.clone()), ("--sip".to_string(), on_sip.clone())]
        }),
        rng_seed: 11,
    }
}

/// A setup server that takes every connection and answers every set-up.
pub fn server() -> SocketAddr {
    let (listener, at) = listen();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            Lines::on(stream).answers_by_itself();
        }
    });
    at
}

/// The same on SIP.
pub fn sip_server() -> SocketAddr {
    let mut agent = Agent::udp(SocketAddr::from(([127, 0, 0, 1], 9)));
    let at = agent.own;
    thread::spawn(move || {
        // The story's end ends it: nothing comes any more.
        while let Some(got) = agent.next(PATIENCE * 3) {
            if ["INVITE", "BYE", "OPTIONS", "CANCEL"].iter().any(|method| got.is(method)) {
                agent.answer(&got, "200 OK", "far", "");
            }
            agent.got.clear();
        }
    });
    at
}

pub fn site(members: usize, linked: bool) -> Site {
    site_by(members, linked, |_| {})
}

pub fn site_by(members: usize, linked: bool, change: impl FnOnce(&mut FleetConfig)) -> Site {
    let resolvers =
        [Resolver::new(vec![line("s-1", server(), 0)]), Resolver::new(vec![line("t-1", sip_server(), 0)])];
    let mut plan = plan(members, linked, &resolvers);
    change(&mut plan);
    let alone = plan.without_fleet_section;
    let mut fleet = TestFleet::start(plan);
    if !alone {
        fleet.wait_until_settled("all start");
    }
    Site { fleet, _resolvers: resolvers }
}

impl Site {
    /// Invariant 1 over all that was seen.
    pub fn checked(self) {
        let running: Vec<String> =
            self.fleet.members.iter().filter(|m| m.is_running()).map(|m| m.id.clone()).collect();
        assert!(self.fleet.history.poll_count() > 0);
        let late = self.fleet.history.ids_down_past_bound(&running, self.fleet.settling_bound());
        assert!(late.is_empty(), "held down for longer than the bound: {late:?}");
    }
}

pub fn set(members: impl IntoIterator<Item = usize>) -> BTreeSet<usize> {
    members.into_iter().collect()
}

/// Calls at 50 a second over the given gatekeepers, in turn on both fronts, each released at once; what came of them.
pub struct Calls {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    took: Arc<Mutex<Vec<Duration>>>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl Calls {
    pub fn at(gates: &[[SocketAddr; 2]]) -> Calls {
        Calls::every(Duration::from_millis(20) * gates.len() as u32 * 2, gates)
    }

    pub fn every(every: Duration, gates: &[[SocketAddr; 2]]) -> Calls {
        let mut calls =
            Calls { stop: Arc::default(), sent: Arc::default(), took: Arc::default(), callers: vec![] };
        for (n, [platform, sip]) in gates.iter().enumerate() {
            let mut lines = Lines::connect(*platform);
            // One final answer a call, in time: anything else ends the story.
            calls.caller(every, move |call| {
                let tag = format!("{:016x}", (n as u64 + 1) << 32 | call);
                lines.start(&tag, 9000, 0);
                assert_eq!(lines.expect("STARTED")["tag"], tag);
                let took = Instant::now();
                lines.finish(&json!(tag), 16, json!({}));
                lines.expect("FINISHED");
                took
            });
            let mut agent = Agent::udp(*sip);
            calls.caller(every, move |call| {
                let name = format!("call-{n}-{call}");
                agent.invite(&name);
                let ok = agent.expect("SIP/2.0 200");
                assert_eq!(ok.get("Call-ID"), name);
                let took = Instant::now();
                agent.in_dialog(&ok, "ACK", 1);
                agent.in_dialog(&ok, "BYE", 2);
                let mut answer = agent.expect("SIP/2.0 200");
                while answer.get("CSeq") == "1 INVITE" {
                    // The ACK was late, and the answer was repeated meanwhile: it is acknowledged again (RFC 3261, 13.2.2.4).
                    assert_eq!(answer.text, ok.text, "the same answer");
                    agent.in_dialog(&ok, "ACK", 1);
                    answer = agent.expect("SIP/2.0 200");
                }
                assert_eq!(answer.get("CSeq"), "2 BYE");
                agent.got.clear();
                took
            });
        }
        calls
    }

    /// Makes a call every so often; `call` says when its answer came.
    fn caller(&mut self, every: Duration, mut call: impl FnMut(u64) -> Instant + Send + 'static) {
        let (stop, sent, took) = (self.stop.clone(), self.sent.clone(), self.took.clone());
        self.callers.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let start = Instant::now();
                let answered = call(sent.fetch_add(1, Ordering::Relaxed));
                took.lock().unwrap().push(answered - start);
                thread::sleep(every.saturating_sub(start.elapsed()));
            }
        }));
    }

    /// No more calls; how long each took.
    pub fn ended(self) -> Vec<Duration> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("a caller's call was not answered as it ought to be");
        }
        let took = std::mem::take(&mut *self.took.lock().unwrap());
        assert!(
            took.len() as u64 == self.sent.load(Ordering::Relaxed) && took.len() > 20,
            "{} calls",
            took.len()
        );
        took
    }

    /// Every call was answered, once and in time.
    pub fn all_answered(self) {
        let mut took = self.ended();
        took.sort();
        assert!(took[took.len() - 1] < Duration::from_secs(9), "{:?}", took[took.len() - 1]);
    }
}

/// Where these take calls, on each front.
pub fn gates(fleet: &TestFleet, members: impl IntoIterator<Item = usize>) -> Vec<[SocketAddr; 2]> {
    let of = |n: usize| [" serves name=", " serves SIP"].map(|words| fleet.members[n].front_address(words));
    members.into_iter().map(of).collect()
}
