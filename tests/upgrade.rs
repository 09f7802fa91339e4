//! Stories of upgrades: a second process of the real program beside the first, between scripted peers.

mod peers;

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use peers::*;
use rstest::rstest;
use serde_json::{Value, json};

const TAG: &str = "9b1f03aa5c7e2d41";

/// A folder and an address of this story's own, in which and at which processes follow one another.
struct Site {
    folder: PathBuf,
    gate: SocketAddr,
    resolver: Resolver,
}

impl Site {
    fn new(server: SocketAddr) -> Site {
        let gate = listen().1; // free a moment ago; its listener is closed by now
        let folder =
            std::env::temp_dir().join(format!("cobaltspool-upgrade-{}-{}", std::process::id(), gate.port()));
        std::fs::create_dir_all(&folder).unwrap();
        Site { folder, gate, resolver: Resolver::new(vec![line("s-1", server, 0)]) }
    }

    /// One more process here.
    fn start(&self) -> (Program, SocketAddr) {
        Program::beside(&self.resolver, self.gate, &self.folder)
    }

    fn socket(&self) -> PathBuf {
        self.folder.join(format!("cobaltspool-{}.upgrade", self.gate))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ready(door: SocketAddr) -> bool {
    ask(door, "GET", "/control/ready").0 == 200
}

/// The one connection to a server on which a message comes next, of those of either process.
fn far_of(server: &TcpListener) -> Lines {
    Lines::accept(server)
}

/// Sets a call up at whoever takes it; its caller.
fn stands(gate: SocketAddr, far: &mut Lines, tag: &str) -> Lines {
    let mut caller = Lines::connect(gate);
    caller.start(tag, 3000, 0);
    let start = far.expect("START");
    far.started(&start["tag"]);
    caller.expect("STARTED");
    caller
}

/// Two processes side by side, and what passes between the old one and the server, the new one and the server.
struct Pair {
    site: Site,
    server: TcpListener,
    old: Program,
    new: Program,
    old_far: Lines,
    new_far: Lines,
    new_door: SocketAddr,
    caller: Lines,
}

/// A call stands at the old process when the new one comes to serve beside it.
fn side_by_side() -> Pair {
    let (server, at) = listen();
    let site = Site::new(at);
    let (mut old, _) = site.start();
    let mut old_far = far_of(&server);
    let caller = stands(site.gate, &mut old_far, TAG);
    let (new, new_door) = site.start();
    let new_far = far_of(&server);
    eventually("the new process is ready", || ready(new_door).then_some(()));
    old.logged("a newer process serves beside this one");
    Pair { site, server, old, new, old_far, new_far, new_door, caller }
}

/// A call that stands at the old process, which then gives way to the new one and is gone.
fn handed_over() -> (Site, TcpListener, Program, Lines) {
    let Pair { site, server, mut old, new, new_far: far, mut caller, .. } = side_by_side();
    old.terminate();
    assert!(old.ended().success());
    assert_eq!(caller.text(), "", "its connection has ended, and the call was not released");
    (site, server, new, far)
}

#[test]
fn a_call_that_stands_is_released_by_its_caller_at_the_new_process() {
    let (site, _server, _new, mut far) = handed_over();
    let mut caller = Lines::connect(site.gate);
    caller.finish(&json!(TAG), 16, json!({}));
    caller.expect("FINISHED");
    let over = far.expect("FINISH");
    assert_eq!((&over["tag"], &over["rc"]), (&json!(TAG), &json!(16)));
}

#[test]
fn a_call_that_stands_is_ended_by_its_server_at_the_new_process() {
    let (site, _server, _new, mut far) = handed_over();
    far.finish(&json!(TAG), 16, json!({}));
    far.expect("FINISHED");
    let over = Lines::connect(site.gate).expect("FINISH");
    assert_eq!((&over["tag"], &over["rc"]), (&json!(TAG), &json!(16)));
}

/// A set-up, the release of a call that stands, and SIGTERM are all there before the old process may run: the set-up gets its
/// one answer there and its call goes on at the new process, and the release is heard once.
#[rstest]
fn a_set_up_and_a_release_cross_the_hand_over(#[values(true, false)] stop_first: bool) {
    let other = "9b1f03aa5c7e2d42";
    let Pair { site, server: _server, mut old, new: _new, mut old_far, mut new_far, mut caller, .. } =
        side_by_side();
    old.crossed(|| {
        if stop_first {
            old.terminate();
        }
        caller.start(other, 3000, 0);
        caller.finish(&json!(TAG), 16, json!({}));
        if !stop_first {
            old.terminate();
        }
    });
    caller.expect("FINISHED");
    old_far.until("START", other);
    old_far.started(&json!(other));
    assert_eq!(caller.expect("STARTED")["tag"], other);
    assert_eq!(caller.text(), "", "its connection has ended, and the call was not released");
    assert!(old.ended().success());
    let mut caller = Lines::connect(site.gate);
    caller.finish(&json!(other), 16, json!({}));
    caller.expect("FINISHED");
    let mut releases = Vec::new();
    while let Some(message) = old_far.next_message() {
        releases.push(message);
    }
    while releases.last().is_none_or(|message| message["tag"] != other) {
        releases.push(new_far.hear());
    }
    releases.retain(|message| message["verb"] == "FINISH");
    let told = |tag: &str| releases.iter().filter(|message| message["tag"] == tag).count();
    assert_eq!((told(TAG), told(other)), (1, 1), "{releases:?}");
}

/// While both run, words on a call that the other has find their way.
#[rstest]
#[case::the_caller_ends_it(true)]
#[case::the_server_ends_it(false)]
fn a_word_that_reaches_the_other_process_finds_its_call(#[case] caller_ends: bool) {
    let Pair { site, old: _old, new: _new, old_far: mut far, new_far: mut other_far, mut caller, .. } =
        side_by_side();
    if caller_ends {
        // Connections go to either process by chance; all but its own end up saying the same.
        for _ in 0..8 {
            Lines::connect(site.gate).finish(&json!(TAG), 16, json!({}));
        }
        assert_eq!(far.expect("FINISH")["rc"], 16);
    } else {
        other_far.finish(&json!(TAG), 16, json!({}));
        assert_eq!(caller.expect("FINISH")["rc"], 16);
    }
}

/// Whatever is found where the old process should be, the new one starts and serves.
#[rstest]
#[case::nothing_said(b"", true)]
#[case::torn(b"{\"say\":\"hello\",\"version\":1,\"seq\":1}\n{\"say\":\"serv", true)]
#[case::killed_in_the_middle(b"{\"say\":\"hello\",\"version\":1,\"seq\":1}\n{\"say\":\"serv", false)]
#[case::other_version(b"{\"say\":\"hello\",\"version\":99,\"seq\":1}\n", true)]
#[case::noise(b"\xff\x00\xfe\n\n\n", true)]
fn a_broken_hand_over_keeps_nobody_from_starting(#[case] words: &'static [u8], #[case] stays: bool) {
    let (server, at) = listen();
    let site = Site::new(at);
    let old = UnixListener::bind(site.socket()).unwrap();
    let speaks = thread::spawn(move || {
        let (mut stream, _) = old.accept().unwrap();
        stream.write_all(words).unwrap();
        stays.then_some(stream)
    });
    let (_new, door) = site.start();
    let _held = speaks.join().unwrap();
    let mut far = far_of(&server);
    eventually("it is ready", || ready(door).then_some(()));
    stands(site.gate, &mut far, TAG);
}

/// What the old process knows to drain is no fresh server to the new one, whatever its own list still says.
#[test]
fn a_drain_that_the_old_process_knows_of_holds_for_the_new_one() {
    let (_server, at) = listen();
    let site = Site::new(at);
    let old = UnixListener::bind(site.socket()).unwrap();
    let speaks = thread::spawn(move || {
        let (mut stream, _) = old.accept().unwrap();
        stream
            .write_all(
                b"{\"say\":\"hello\",\"version\":1,\"seq\":9}\n{\"say\":\"server\",\"server\":\"s-1\",\"drains_for\":1000000,\
                  \"silent\":false,\"report\":null}\n{\"say\":\"begin\"}\n",
            )
            .unwrap();
        stream
    });
    let (_new, door) = site.start();
    let _held = speaks.join().unwrap();
    let mut caller = Lines::connect(site.gate);
    caller.start(TAG, 3000, 0);
    assert_eq!(caller.expect("FINISH")["rc"], 34, "its only server drains");
    let (_, figures) = ask(door, "GET", "/control/counters");
    assert!(
        figures.contains("edge_lb_attempts_total{class=\"check-setup\"} 0\n"),
        "none went there: {figures}"
    );
}

/// A word on a call that is on its way to the new process comes back once, after the call.
#[test]
fn a_word_that_overtakes_its_call_is_sent_back() {
    let (server, at) = listen();
    let site = Site::new(at);
    let (mut old, _) = site.start();
    let _caller = stands(site.gate, &mut far_of(&server), TAG);
    let mut newer = UnixStream::connect(site.socket()).unwrap();
    newer.set_read_timeout(Some(PATIENCE)).unwrap();
    newer.write_all(b"{\"say\":\"serving\"}\n").unwrap();
    old.logged("a newer process serves beside this one");
    old.terminate();
    let mut words = BufReader::new(newer.try_clone().unwrap()).lines().map(|word| word.unwrap());
    let mut next = |what: &str| words.find(|word| word.contains(what)).unwrap_or_else(|| panic!("no {what}"));
    assert!(next("standing").contains(TAG));
    let word = format!("{{\"say\":\"caller_ends\",\"tag\":\"{TAG}\"}}");
    newer.write_all(format!("{word}\n").as_bytes()).unwrap();
    assert_eq!(next("caller_ends"), word);
}

/// A socket that a killed process has left, and a folder in which there can be none.
#[rstest]
#[case::stale_socket(true)]
#[case::no_folder(false)]
fn a_missing_hand_over_keeps_nobody_from_starting(#[case] stale: bool) {
    let (_server, at) = listen();
    let site = Site::new(at);
    if stale {
        drop(UnixListener::bind(site.socket()).unwrap());
    } else {
        std::fs::remove_dir_all(&site.folder).unwrap();
    }
    let (_new, door) = site.start();
    eventually("it is ready", || ready(door).then_some(()));
}

/// Either process may be killed while both run; the other goes on alone, and a third may follow it.
#[rstest]
#[case::the_old_one(true)]
#[case::the_new_one(false)]
fn the_other_goes_on_when_one_is_killed(#[case] kill_old: bool) {
    let Pair { site, server: _server, mut old, mut new, old_far, new_far, new_door, mut caller } =
        side_by_side();
    caller.finish(&json!(TAG), 16, json!({}));
    caller.expect("FINISHED");
    let (left, mut far) = match kill_old {
        true => {
            old.kill();
            assert!(ready(new_door));
            (&mut new, new_far)
        }
        false => {
            new.kill();
            (&mut old, old_far)
        }
    };
    left.logged("the other process at this address is gone");
    if !kill_old {
        far.expect("FINISH"); // of the call before
    }
    stands(site.gate, &mut far, "9b1f03aa5c7e2d42");
    if kill_old {
        let (_third, third_door) = site.start();
        eventually("a third process is ready", || ready(third_door).then_some(()));
        left.logged("a newer process serves beside this one");
    }
}

/// A server that answers every set-up at once, and what was wrong with what it got.
#[derive(Default)]
struct Server {
    /// Names of set-ups that stand, and by how many attempts they came so far.
    stand: HashSet<String>,
    tries: HashMap<String, u32>,
    second_copies: u64,
    released: u64,
}

fn serve(listener: TcpListener) -> Arc<Mutex<Server>> {
    let state = Arc::new(Mutex::new(Server::default()));
    let shared = state.clone();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let (state, mut out) = (shared.clone(), stream.try_clone().unwrap());
            out.set_nodelay(true).unwrap();
            thread::spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let message: Value = serde_json::from_str(&line).unwrap();
                    let tag = message["tag"].as_str().unwrap_or_default().to_string();
                    let mut state = state.lock().unwrap();
                    let answer = match message["verb"].as_str().unwrap() {
                        "START" => {
                            *state.tries.entry(tag.clone()).or_default() += 1;
                            state.second_copies += u64::from(!state.stand.insert(tag.clone()));
                            json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "answer"})
                        }
                        "FINISH" => {
                            state.released += u64::from(state.stand.remove(&tag));
                            json!({"verb": "FINISHED", "tag": tag, "opts": {}})
                        }
                        "ECHO" => json!({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1}),
                        _ => continue,
                    };
                    if out.write_all(format!("{answer}\n").as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    state
}

/// What callers met.
#[derive(Default)]
struct Met {
    answered: AtomicU64,
    refused: AtomicU64,
    /// Requests on a connection that was refused, or reset, or ended with them unread.
    at_the_door: AtomicU64,
    /// Those that met that twice, or got what was no answer.
    lost: AtomicU64,
    stop: AtomicBool,
}

fn has_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    ended
}

/// A message and the first line that names its call in answer; `None`: the connection is of no use.
fn exchange(stream: &mut Option<BufReader<TcpStream>>, gate: SocketAddr, message: &Value) -> Option<Value> {
    // A caller sees that its connection has been closed while it had nothing to say.
    *stream = stream.take().filter(|held| !has_ended(held.get_ref()));
    if stream.is_none() {
        let new = TcpStream::connect(gate).ok()?;
        new.set_nodelay(true).ok()?;
        new.set_read_timeout(Some(PATIENCE)).ok()?;
        *stream = Some(BufReader::new(new));
    }
    let held = stream.as_mut()?;
    held.get_mut().write_all(format!("{message}\n").as_bytes()).ok()?;
    loop {
        let mut line = String::new();
        if held.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let answer: Value = serde_json::from_str(&line).ok()?;
        if answer["tag"] == message["tag"] {
            return Some(answer);
        }
    }
}

/// Sets calls up and releases them, one after the other, on a connection that it keeps while it can.
fn call_on(gate: SocketAddr, met: &Met, first: u64) {
    let mut stream = None;
    for n in (first..).take_while(|_| !met.stop.load(SeqCst)) {
        let tag = format!("{n:016x}");
        let start = json!({"verb": "START", "tag": tag, "blob": "v=0\r\n", "opts": {"class": "check-setup",
            "left": "5000", "key": tag, "extras": "dest:0;width:1;via:-1"}});
        let finish = json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16});
        for message in [start, finish] {
            let mut answer = None;
            for _ in 0..2 {
                answer = exchange(&mut stream, gate, &message);
                if answer.is_some() {
                    break;
                }
                stream = None;
                met.at_the_door.fetch_add(1, SeqCst);
            }
            match answer.as_ref().map(|a| a["verb"].as_str().unwrap_or_default()) {
                Some("STARTED" | "FINISHED") => drop(met.answered.fetch_add(1, SeqCst)),
                // Turned away, to come again elsewhere: a caller stays away for as long as it is told.
                Some("FINISH") if answer.as_ref().is_some_and(|a| a["rc"] == 34) => {
                    let wait =
                        answer.as_ref().and_then(|a| a["opts"]["wait"].as_str()?.parse().ok()).unwrap_or(0);
                    met.refused.fetch_add(1, SeqCst);
                    thread::sleep(Duration::from_millis(wait));
                    break;
                }
                _ => {
                    eprintln!("lost: {message} got {answer:?}");
                    met.lost.fetch_add(1, SeqCst);
                }
            }
        }
    }
}

/// Callers at work on a gatekeeper, and the server behind it.
struct Load {
    far: Arc<Mutex<Server>>,
    met: Arc<Met>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn on(gate: SocketAddr, far: Arc<Mutex<Server>>) -> Load {
        let met = Arc::new(Met::default());
        let caller = |n: u64| {
            let met = met.clone();
            thread::spawn(move || call_on(gate, &met, n << 32))
        };
        Load { far, callers: (0..6).map(caller).collect(), met }
    }

    /// Waits until calls have gone on for a while.
    fn goes_on(&self) {
        let before = self.met.answered.load(SeqCst);
        eventually("calls go on", || (self.met.answered.load(SeqCst) > before + 100).then_some(()));
    }

    /// Ends it and says how many met a connection that ended; fails if anything was lost, sent twice or stays taken.
    fn ends(self) -> u64 {
        self.met.stop.store(true, SeqCst);
        for caller in self.callers {
            caller.join().unwrap();
        }
        // The last release is heard by its caller before it has reached the server.
        eventually("nothing stays taken", || self.far.lock().unwrap().stand.is_empty().then_some(()));
        let (far, met) = (self.far.lock().unwrap(), &self.met);
        let [answered, refused, door, lost] =
            [&met.answered, &met.refused, &met.at_the_door, &met.lost].map(|c| c.load(SeqCst));
        eprintln!(
            "{answered} requests answered, {refused} turned away, {door} met a refused, reset or unread connection, \
             {lost} lost; {} released",
            far.released
        );
        assert_eq!((lost, far.second_copies), (0, 0));
        assert_eq!(far.tries.values().filter(|tries| **tries > 1).count(), 0, "none was sent twice");
        door
    }
}

/// Ten upgrades in a row under load: no request is lost, none has a second attempt out, no call stays taken.
#[test]
fn ten_upgrades_in_a_row_lose_nothing() {
    let (listener, at) = listen();
    let site = Site::new(at);
    let (mut now, _) = site.start();
    let load = Load::on(site.gate, serve(listener));
    for _ in 0..10 {
        load.goes_on();
        let (new, door) = site.start();
        eventually("the new process is ready", || ready(door).then_some(()));
        now.logged("a newer process serves beside this one");
        now.terminate();
        assert!(now.ended().success());
        now = new;
    }
    let door = load.ends();
    assert!(door <= 20, "more than two an upgrade met a connection that ended: {door}");
}

/// A drain under load: callers are turned away and nothing is left in flight; back in service all goes on; and SIGTERM in
/// the middle of a drain ends the program as ever.
#[test]
fn a_drain_under_load_loses_nothing() {
    let (listener, at) = listen();
    let site = Site::new(at);
    let (mut program, door) = site.start();
    let load = Load::on(site.gate, serve(listener));
    load.goes_on();
    let order = |order: &str| assert_eq!(ask(door, "PUT", &format!("/control/{order}")).0, 200);
    order("out-of-service");
    assert!(!ready(door));
    eventually("all are turned away", || {
        let (_, text) = ask(door, "GET", "/control/counters");
        let idle = text.lines().any(|line| line == "edge_lb_in_flight 0");
        (load.met.refused.load(SeqCst) >= 12 && idle).then_some(())
    });
    order("in-service");
    assert!(ready(door));
    load.goes_on();
    load.ends();
    order("out-of-service");
    program.terminate();
    assert!(program.ended().success());
}
