//! The setup servers' side: connections out, set-ups on them, and what comes back.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;

use crate::clock;
use crate::gateway::{AttemptId, Input};
use crate::host::Front as _;
use crate::link::{self, Outbox};
use crate::{CallId, Cause, LoadReport, Micros, Outcome, ServerId};

use super::line::{Line, Tag, Verb, cause, encode, reader};
use super::{Front, LinkId, Shared};

/// A connection from which an answer is awaited and nothing at all was heard for this long may be cut: cut
/// links are silent. A new one is dialled beside it, which settles the matter.
const QUIET: Micros = 1_500_000;
/// A server's message that has begun comes whole within this: servers write messages at once, and calls whose
/// answers are stuck behind half a line are lost time.
const WHOLE: Duration = Duration::from_millis(200);
/// A probe that takes longer has failed.
const PROBE_TIME: Micros = 250_000;
/// Gaps between dials to a server that cannot be reached.
const REDIAL_FIRST: Micros = 100_000;
const REDIAL_MOST: Micros = 1_000_000;
/// Most connections to one server at a time.
const LINKS_MOST: usize = 3;
/// A server with calls that stand and that has said nothing for this long is asked for a sign of life ...
const SIGN_OF_LIFE: Micros = 2_000_000;
/// ... and counts as out of reach after this. Ends of calls that it could not tell must reach their callers within
/// 8 s all the same (found on a day with a zone cut off for 13 s: 12 calls were lost so).
const OUT_OF_REACH: Micros = 7_000_000;
/// How long an answer to a set-up that was given up may still come in on its connection.
const ECHO_OF_OLD: Micros = 10_000_000;
/// From the news that a server is gone until its calls count as cut: their releases may be on their way.
const LAST_RELEASES: Micros = 500_000;

/// A set-up or a probe that waits for its connection: it is being dialled, or its peer is slow to read.
enum Held {
    SetUp { attempt: AttemptId, until: Micros, tag: Tag, class: Box<str>, key: Box<str>, blob: Bytes },
    Probe(Tag),
    Release(Tag),
}

struct ServerLink {
    server: ServerId,
    address: SocketAddr,
    outbox: Rc<Outbox>,
    up: bool,
    held: Vec<Held>,
    /// Set-ups sent on it and not answered yet.
    open: HashSet<Tag>,
    /// Since when something has been awaited and nothing heard.
    silent_since: Option<Micros>,
    /// Set-ups given up on it, whose answers may still come.
    given_up: VecDeque<(Micros, Tag)>,
    /// It gets nothing new and closes once nothing is open on it.
    retired: bool,
}

/// An attempt that is out, or whose call stands.
struct Slot {
    attempt: AttemptId,
    link: LinkId,
    stands: bool,
}

struct Redial {
    gap: Micros,
    not_before: Micros,
}

/// All setup servers.
pub struct Servers {
    dial_timeout: Duration,
    links: BTreeMap<LinkId, ServerLink>,
    slots: HashMap<(ServerId, Tag), Slot>,
    by_call: HashMap<CallId, (ServerId, Tag)>,
    probes: HashMap<Tag, (ServerId, Micros)>,
    next_probe: u64,
    redials: BTreeMap<ServerId, Redial>,
    /// When a server was last heard, and when it was last asked for a sign of life.
    heard: BTreeMap<ServerId, (Micros, Micros)>,
    /// Releases for servers that are out of reach.
    owed: BTreeMap<ServerId, Vec<Tag>>,
    gone: BTreeMap<ServerId, Micros>,
}

impl ServerLink {
    fn quiet(&self, now: Micros) -> bool {
        self.silent_since.is_some_and(|since| now > since + QUIET)
    }

    fn awaits(&mut self, now: Micros) {
        self.silent_since.get_or_insert(now);
    }

    fn gave_up(&self, tag: Tag, now: Micros) -> bool {
        self.given_up.iter().any(|(at, t)| *t == tag && now < at + ECHO_OF_OLD)
    }
}

async fn run_link(front: Shared, id: LinkId, address: SocketAddr, dial: Duration, outbox: Rc<Outbox>) {
    let stream = match tokio::time::timeout(dial, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return front.borrow_mut().dial_failed(id, Some(e.kind())),
        Err(_) => return front.borrow_mut().dial_failed(id, None),
    };
    front.borrow_mut().link_up(id);
    let on_line = |line: Line| {
        front.borrow_mut().server_says(id, line);
        true
    };
    let on_drained = || front.borrow_mut().servers.flush(id);
    let _ = link::run(stream, outbox, WHOLE, reader(on_line), on_drained).await;
    front.borrow_mut().link_ended(id);
}

impl Front {
    /// Sends a set-up, now or as soon as a connection takes it.
    pub(super) fn send(&mut self, attempt: AttemptId, server: ServerId, left: Micros, blob: Bytes) {
        let now = clock::now();
        let Some(caller) = self.clients.caller(attempt.call) else { return };
        let (tag, class, key) = (caller.tag, caller.class.clone(), caller.key.clone());
        let Some(id) = self.usable_link(server, tag, now) else {
            let (outcome, cause) = (Outcome::Unreachable, Cause::Untold);
            return self.host.inputs.push_back(Input::Ended {
                attempt,
                outcome,
                cause,
                load: LoadReport::default(),
            });
        };
        self.servers.slots.insert((server, tag), Slot { attempt, link: id, stands: false });
        self.servers.by_call.insert(attempt.call, (server, tag));
        self.servers.hold(id, Held::SetUp { attempt, until: now + left, tag, class, key, blob });
    }

    pub(super) fn probe(&mut self, server: ServerId) {
        let now = clock::now();
        let tag = self.servers.new_probe();
        self.servers.probes.insert(tag, (server, now + PROBE_TIME));
        if let Some(id) = self.usable_link(server, tag, now) {
            self.servers.hold(id, Held::Probe(tag));
        }
    }

    /// Releases at the server what stands there, on any connection.
    pub(super) fn release(&mut self, attempt: AttemptId, server: ServerId) {
        let Some((_, tag)) = self.servers.forget(attempt.call) else { return };
        self.send_release(server, tag);
    }

    fn send_release(&mut self, server: ServerId, tag: Tag) {
        match self.usable_link(server, tag, clock::now()) {
            Some(id) => self.servers.hold(id, Held::Release(tag)),
            None => self.servers.owed.entry(server).or_default().push(tag),
        }
    }

    /// The connection for a new message to a server: the newest that is not quiet; else one that is being
    /// dialled, now if need be. `None` if the server was not to be reached a moment ago.
    fn usable_link(&mut self, server: ServerId, tag: Tag, now: Micros) -> Option<LinkId> {
        let of_server = self.servers.links.iter().rev().filter(|(_, l)| l.server == server && !l.retired);
        let fit = |l: &ServerLink| l.outbox.is_open() && !l.quiet(now) && !l.gave_up(tag, now);
        let live: Vec<(LinkId, bool)> =
            of_server.filter(|(_, l)| fit(l)).map(|(id, l)| (*id, l.up)).collect();
        let up = live.iter().find(|(_, up)| *up).or(live.first());
        up.map(|(id, _)| *id).or_else(|| self.dial(server, now))
    }

    /// Dials a server, unless that failed a moment ago or it has enough connections.
    fn dial(&mut self, server: ServerId, now: Micros) -> Option<LinkId> {
        let address = self.directory.address(server)?;
        if self.servers.redials.get(&server).is_some_and(|r| now < r.not_before) {
            return None;
        }
        if self.servers.links.values().filter(|l| l.server == server).count() >= LINKS_MOST {
            return None;
        }
        let (id, outbox) = (self.new_link(), Rc::new(Outbox::default()));
        let link = ServerLink {
            server,
            address,
            outbox: outbox.clone(),
            up: false,
            held: Vec::new(),
            open: HashSet::new(),
            silent_since: None,
            given_up: VecDeque::new(),
            retired: false,
        };
        self.servers.links.insert(id, link);
        let dial = self.servers.dial_timeout;
        tokio::task::spawn_local(run_link(self.shared(), id, address, dial, outbox));
        Some(id)
    }

    fn link_up(&mut self, id: LinkId) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        link.up = true;
        let server = link.server;
        self.servers.redials.remove(&server);
        let owed = self.servers.owed.remove(&server).unwrap_or_default();
        link.held.extend(owed.into_iter().map(Held::Release));
        // What was dialled before has a successor now.
        for (other, link) in &mut self.servers.links {
            link.retired |= link.server == server && *other != id && link.up;
        }
        self.servers.flush(id);
    }

    fn dial_failed(&mut self, id: LinkId, error: Option<io::ErrorKind>) {
        let now = clock::now();
        let Some(link) = self.servers.links.remove(&id) else { return };
        let redial =
            self.servers.redials.entry(link.server).or_insert(Redial { gap: REDIAL_FIRST, not_before: now });
        redial.not_before = now + redial.gap;
        redial.gap = (redial.gap * 2).min(REDIAL_MOST);
        let name = self.directory.name(link.server);
        clock::log(&format!(
            "dial {name} at {}: {}",
            link.address,
            error.map_or("timed out".into(), |e| e.to_string())
        ));
        self.return_held(link.server, link.held);
        if error == Some(io::ErrorKind::ConnectionRefused) {
            // Nothing listens there: the process has ended, and what it held with it.
            self.feed(Input::Lost { server: link.server, at: now });
        }
    }

    fn link_ended(&mut self, id: LinkId) {
        let Some(link) = self.servers.links.remove(&id) else { return };
        for tag in link.open {
            let slot = self.servers.slots.get(&(link.server, tag));
            if let Some(slot) = slot.filter(|s| s.link == id && !s.stands) {
                self.end_attempt(slot.attempt, Outcome::Cut, Cause::Untold, LoadReport::default());
            }
        }
        self.return_held(link.server, link.held);
        self.care_for_servers(clock::now());
    }

    /// What was never written has never run.
    fn return_held(&mut self, server: ServerId, held: Vec<Held>) {
        for item in held {
            match item {
                Held::SetUp { attempt, .. } => {
                    self.end_attempt(attempt, Outcome::Unreachable, Cause::Untold, LoadReport::default());
                }
                Held::Release(tag) => self.send_release(server, tag),
                Held::Probe(_) => {} // times out by itself
            }
        }
    }

    /// A server takes nothing new: set-ups that still wait for a connection to it must not reach it.
    pub(super) fn withdraw_held(&mut self, server: ServerId) {
        let mut attempts = Vec::new();
        for link in self.servers.links.values_mut().filter(|l| l.server == server) {
            link.held.retain(|item| match item {
                Held::SetUp { attempt, .. } => {
                    attempts.push(*attempt);
                    false
                }
                _ => true,
            });
        }
        for attempt in attempts {
            self.end_attempt(attempt, Outcome::Unreachable, Cause::Untold, LoadReport::default());
        }
    }

    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome, cause: Cause, load: LoadReport) {
        self.servers.forget(attempt.call);
        self.feed(Input::Ended { attempt, outcome, cause, load });
    }

    fn server_says(&mut self, id: LinkId, line: Line) {
        let now = clock::now();
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        let server = link.server;
        if let (Verb::Started | Verb::Finish, Some(tag)) = (line.verb, line.tag) {
            link.open.remove(&tag);
        }
        // Only what is still open is awaited now: else a connection would seem quiet that owes nothing.
        link.silent_since = (!link.open.is_empty()).then_some(now);
        self.servers.heard.insert(server, (now, 0));
        let Some(tag) = line.tag else {
            if line.verb == Verb::Load {
                self.feed(Input::Load { server, answered: true, load: line.load() });
            }
            return;
        };
        match line.verb {
            Verb::Started => self.server_answers(id, server, tag, line),
            Verb::Finish => self.server_finishes(id, server, tag, &line),
            Verb::Load => self.feed(Input::Load { server, answered: true, load: line.load() }),
            Verb::Echoed if self.servers.probes.remove(&tag).is_some() => {
                let answered = line.cause == Some(1);
                self.feed(Input::Load { server, answered, load: line.load() });
            }
            _ => {}
        }
    }

    fn server_answers(&mut self, id: LinkId, server: ServerId, tag: Tag, line: Line) {
        let slot = self.servers.slots.get_mut(&(server, tag)).filter(|s| s.stands || s.link == id);
        match slot {
            Some(slot) if slot.stands => {} // it says so twice
            Some(slot) => {
                slot.stands = true;
                let attempt = slot.attempt;
                let description = line.blob.unwrap_or_else(|| Bytes::from_static(b"\"\""));
                self.feed(Input::Stands { attempt, description });
            }
            None => {
                // An attempt that was given up stands after all: nobody waits for it any more.
                self.servers.write(id, &encode("FINISH", tag, &[], Some(cause::NORMAL), None));
            }
        }
    }

    fn server_finishes(&mut self, id: LinkId, server: ServerId, tag: Tag, line: &Line) {
        if let Some(link) = self.servers.links.get_mut(&id) {
            link.given_up.retain(|(_, t)| *t != tag);
        }
        let Some(slot) = self.servers.slots.get(&(server, tag)) else { return };
        if !slot.stands && slot.link != id {
            return; // of an old attempt
        }
        let (attempt, stands) = (slot.attempt, slot.stands);
        let outcome = match (stands, line.cause) {
            (true, Some(cause::NORMAL)) => Outcome::Completed,
            (true, _) => Outcome::Cut,
            (false, Some(cause::NO_CIRCUIT | 42)) => Outcome::Full,
            (false, Some(cause::MOOT)) => Outcome::Void,
            (false, Some(cause::TEMPORARY_FAILURE)) => Outcome::Cut,
            (false, Some(cause::NORMAL)) => Outcome::Cancelled,
            (false, _) => Outcome::Failed,
        };
        let note = match line.text("note").as_deref() {
            Some("no_path") => Cause::NoLine,
            Some("queue_long") => Cause::ProcessorFull { wait: None },
            Some("line_taken") => Cause::NumberBusy,
            _ => Cause::Untold,
        };
        if stands {
            self.servers.write(id, &encode("FINISHED", tag, &[], None, None));
        }
        self.end_attempt(attempt, outcome, note, line.load());
    }

    /// Looks after the connections: probes that failed, links that went quiet, servers without a link, and
    /// servers that are gone.
    pub(super) fn care_for_servers(&mut self, now: Micros) {
        let late: Vec<(Tag, ServerId)> = self
            .servers
            .probes
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(tag, (server, _))| (*tag, *server))
            .collect();
        for (tag, server) in late {
            self.servers.probes.remove(&tag);
            self.feed(Input::Load { server, answered: false, load: LoadReport::default() });
        }
        let gone: Vec<ServerId> =
            self.servers.gone.iter().filter(|(_, at)| now >= **at).map(|(s, _)| *s).collect();
        for server in gone {
            self.servers.gone.remove(&server);
            self.feed(Input::Lost { server, at: now });
            self.servers.retire(server);
        }
        for server in self.directory.servers().collect::<Vec<_>>() {
            self.care_for(server, now);
            self.listen_for(server, now);
        }
        self.servers.close_retired(now);
    }

    /// Makes sure that silence of a server with standing calls is noticed, and acts on it in time.
    fn listen_for(&mut self, server: ServerId, now: Micros) {
        if !self.servers.slots.iter().any(|((s, _), slot)| *s == server && slot.stands) {
            return;
        }
        let (heard, asked) = *self.servers.heard.entry(server).or_insert((now, 0));
        if now > heard + OUT_OF_REACH {
            clock::log(&format!(
                "server {} is out of reach: its calls are over",
                self.directory.name(server)
            ));
            self.servers.heard.remove(&server);
            self.feed(Input::Unheard { server, since: heard });
        } else if now > heard.max(asked) + SIGN_OF_LIFE {
            let up = self.servers.links.iter().rev().find(|(_, l)| l.server == server && l.up && !l.retired);
            if let Some(id) = up.map(|(id, _)| *id) {
                self.servers.heard.insert(server, (heard, now));
                let tag = self.servers.new_probe();
                self.servers.hold(id, Held::Probe(tag));
            }
        }
    }

    fn care_for(&mut self, server: ServerId, now: Micros) {
        let address = self.directory.address(server);
        let (mut fit, mut any) = (false, false);
        for link in self.servers.links.values_mut().filter(|l| l.server == server) {
            link.retired |= Some(link.address) != address; // it moved
            any |= !link.retired;
            fit |= !link.retired && link.outbox.is_open() && !link.quiet(now);
        }
        let wanted = self.directory.up(server) || self.servers.holds_calls(server);
        if wanted && (!any || !fit) {
            self.dial(server, now);
        }
    }
}

impl Servers {
    pub(super) fn new(dial_timeout: Micros, seed: u64) -> Self {
        Servers {
            dial_timeout: Duration::from_micros(dial_timeout.max(1_000)),
            links: BTreeMap::new(),
            slots: HashMap::new(),
            by_call: HashMap::new(),
            probes: HashMap::new(),
            next_probe: seed,
            redials: BTreeMap::new(),
            heard: BTreeMap::new(),
            owed: BTreeMap::new(),
            gone: BTreeMap::new(),
        }
    }

    fn new_probe(&mut self) -> Tag {
        self.next_probe = self.next_probe.wrapping_add(0x9e37_79b9_7f4a_7c15);
        Tag::of(self.next_probe)
    }

    fn hold(&mut self, id: LinkId, item: Held) {
        if let Some(link) = self.links.get_mut(&id) {
            link.held.push(item);
            self.flush(id);
        }
    }

    /// Writes what is held for a connection, as long as its peer reads.
    fn flush(&mut self, id: LinkId) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id).filter(|l| l.up && l.outbox.is_empty()) else { return };
        for item in std::mem::take(&mut link.held) {
            let message = match item {
                Held::SetUp { until, tag, class, key, blob, .. } => {
                    link.open.insert(tag);
                    link.awaits(now);
                    let left = format!("\"{}\"", until.saturating_sub(now) / 1000);
                    let opts = [("class", &*class), ("left", &*left), ("key", &*key)];
                    encode("START", tag, &opts, None, Some(&blob))
                }
                Held::Probe(tag) => {
                    link.awaits(now);
                    encode("ECHO", tag, &[], Some(0), None)
                }
                Held::Release(tag) => encode("FINISH", tag, &[], Some(cause::NORMAL), None),
            };
            link.outbox.push(&message);
        }
    }

    fn write(&mut self, id: LinkId, message: &[u8]) {
        if let Some(link) = self.links.get(&id) {
            link.outbox.push(message);
        }
    }

    /// Gives an attempt up: it is taken back if it was not written yet, and called off if it was.
    pub(super) fn give_up(&mut self, attempt: AttemptId) {
        let Some(key) = self.by_call.get(&attempt.call).copied() else { return };
        let Some(slot) = self.slots.get(&key).filter(|s| s.attempt == attempt && !s.stands) else { return };
        let (id, tag) = (slot.link, key.1);
        self.forget(attempt.call);
        let Some(link) = self.links.get_mut(&id) else { return };
        let before = link.held.len();
        link.held.retain(|item| !matches!(item, Held::SetUp { attempt: a, .. } if *a == attempt));
        if link.held.len() == before {
            let now = clock::now();
            link.open.remove(&tag);
            link.given_up.retain(|(at, _)| now < at + ECHO_OF_OLD);
            link.given_up.push_back((now, tag));
            link.outbox.push(&encode("FINISH", tag, &[], Some(cause::NORMAL), None));
        }
    }

    /// Lets go of what a call has at a server.
    pub(super) fn forget(&mut self, call: CallId) -> Option<(ServerId, Tag)> {
        let key = self.by_call.remove(&call)?;
        self.slots.remove(&key);
        Some(key)
    }

    /// Nothing of a server is left but, maybe, releases on their way.
    pub(super) fn gone(&mut self, server: ServerId, now: Micros) {
        self.gone.insert(server, now + LAST_RELEASES);
        self.owed.remove(&server);
        self.redials.remove(&server);
    }

    fn holds_calls(&self, server: ServerId) -> bool {
        self.slots.keys().any(|(s, _)| *s == server)
    }

    fn retire(&mut self, server: ServerId) {
        for link in self.links.values_mut().filter(|l| l.server == server) {
            link.retired = true;
        }
    }

    pub(super) fn close_idle(&mut self, server: ServerId) {
        if !self.holds_calls(server) {
            self.retire(server);
        }
    }

    fn close_retired(&mut self, now: Micros) {
        for link in self.links.values_mut() {
            link.given_up.retain(|(at, _)| now < at + ECHO_OF_OLD);
            if link.retired && link.open.is_empty() && link.held.is_empty() {
                link.outbox.close();
            }
        }
    }
}
