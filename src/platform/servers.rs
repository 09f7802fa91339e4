//! The setup servers' side: connections out, set-ups on them, and what comes back.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;

use crate::call_trace::TraceStep;
use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{AttemptId, Input};
use crate::link::{self, Outbox, Ticket};
use crate::operate::handover::Word;
use crate::{CallId, Cause, LoadReport, Micros, Outcome, ServerId};

use super::line::{Line, Tag, Verb, cause, encode, reader};
use super::rhythm::Rhythm;
use super::{LinkId, PlatformFrontend, Shared};

/// A connection from which an answer is awaited and nothing at all was heard for this long may be cut: cut
/// links are silent. A new one is dialled beside it, which settles the matter.
const QUIET: Micros = 1_500_000;
/// Having looked after nothing for this long, this process was held up itself: silence meanwhile says nothing.
const HELD_UP: Micros = 250_000;
/// A server's message that has begun comes whole within this: servers write messages at once, and calls whose
/// answers are stuck behind half a line are lost time.
const WHOLE: Duration = Duration::from_millis(200);
/// A probe that takes longer has failed.
const PROBE_TIME: Micros = 250_000;
/// A server has seen the end of a connection by then.
const SEEN_BY_THEN: Micros = 50_000;
/// A connection that we close has ended after so many turns of the loop; it waits for nobody.
const ENDS_WITHIN: usize = 64;
/// Gaps between dials to a server that cannot be reached.
const REDIAL_FIRST: Micros = 100_000;
const REDIAL_MOST: Micros = 1_000_000;
/// Most connections to one server at a time.
const LINKS_MOST: usize = 3;
/// An older connection than the newest is as good if something was heard on it this lately: servers say their state
/// unasked.
const LATELY: Micros = 500_000;
/// Releases for one server that wait for a connection or for being heard; at the bound the oldest is let go: the
/// server ends that call by itself.
const RELEASES_MOST: usize = 10_000;
/// A release that the server has not said it heard counts as heard after this, if its connection still stands.
const RELEASE_HEARD: Micros = 8_000_000;
/// A connection by which calls stand and that has said nothing for this long is asked for a sign of life ...
const SIGN_OF_LIFE: Micros = 2_000_000;
/// ... and its server counts as out of reach after this. Ends of calls that it could not tell must reach their callers within
/// 8 s all the same (found on a day with a zone cut off for 13 s: 12 calls were lost so).
const OUT_OF_REACH: Micros = 7_000_000;
/// How long an answer to a set-up that was given up may still come in on its connection.
const ECHO_OF_OLD: Micros = 10_000_000;
/// From the news that a server is gone until its calls count as cut: their releases may be on their way.
const LAST_RELEASES: Micros = 500_000;

/// A set-up or a probe that waits for its connection: it is being dialled, or its peer is slow to read.
enum Held {
    SetupRequest {
        attempt: AttemptId,
        until: Micros,
        tag: Tag,
        /// Its place in the settings, and as it goes out.
        class: (usize, Box<str>),
        key: Box<str>,
        blob: Bytes,
    },
    Probe(Tag),
    Release(Tag),
}

struct ServerLink {
    server: ServerId,
    address: SocketAddr,
    outbox: Rc<Outbox>,
    up: bool,
    held: Vec<Held>,
    /// Set-ups queued or written on it and not answered yet. What was not begun to be written may be taken back.
    open: HashMap<Tag, Ticket>,
    /// Since when something has been awaited and nothing heard.
    silent_since: Option<Micros>,
    /// Set-ups that are not written whole yet, and their classes.
    writing: VecDeque<(Ticket, usize)>,
    /// Set-ups given up on it, whose answers may still come.
    given_up: VecDeque<(Micros, Tag)>,
    /// Releases written on it that the server has not said it heard.
    releasing: VecDeque<(Micros, Tag)>,
    /// When the server last said its state on it unasked.
    told: Option<Micros>,
    /// Since when nothing was heard on it, for as long as it was listened to, and how long that may be; `None`: nothing
    /// tells.
    mute_since: Micros,
    mute_most: Option<Micros>,
    /// When anything was last heard on it, and when it was last asked for a sign of life.
    heard: Micros,
    asked: Micros,
    /// It was closed to make way for another, which is dialled once it has ended.
    makes_way: bool,
    /// When it was dialled; `Micros::MAX`: it is still to be.
    dialled: Micros,
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
    /// How regularly servers say their state.
    rhythms: BTreeMap<ServerId, Rhythm>,
    /// When the connections were last looked after.
    cared: Micros,
    /// When a server was last heard on any connection.
    heard: BTreeMap<ServerId, Micros>,
    /// Releases for servers that are out of reach.
    owed: BTreeMap<ServerId, VecDeque<Tag>>,
    /// Servers on whose ended connections ends of calls may have been lost. A connection that is dialled at this time or
    /// later hears them again.
    unheard: BTreeMap<ServerId, Micros>,
    /// When servers were told to be gone, and when their calls count as cut.
    gone: BTreeMap<ServerId, (Micros, Micros)>,
}

impl ServerLink {
    fn quiet(&self, now: Micros) -> bool {
        self.silent_since.is_some_and(|since| now > since + QUIET) || self.mute(now)
    }

    /// The server says its state unasked on every connection, and has missed to do so on this one: it is cut, whatever
    /// the server's processor has to do.
    fn mute(&self, now: Micros) -> bool {
        self.up && self.mute_most.is_some_and(|most| now > self.mute_since + most)
    }

    fn awaits(&mut self, now: Micros) {
        self.silent_since.get_or_insert(now);
    }

    /// Takes a set-up back that its server has nothing of; false if it may have some.
    fn take_back(&mut self, tag: Tag) -> bool {
        let Some(ticket) = self.open.get(&tag).copied().filter(|ticket| self.outbox.take_back(*ticket))
        else {
            return false;
        };
        self.open.remove(&tag);
        self.writing.retain(|(t, _)| *t != ticket);
        if self.open.is_empty() {
            self.silent_since = None; // nothing was sent that is to be answered
        }
        true
    }

    fn gave_up(&self, tag: Tag, now: Micros) -> bool {
        self.given_up.iter().any(|(at, t)| *t == tag && now < at + ECHO_OF_OLD)
    }
}

async fn run_link(frontend: Shared, id: LinkId, address: SocketAddr, dial: Duration, outbox: Rc<Outbox>) {
    let mut stream = match tokio::time::timeout(dial, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return frontend.borrow_mut().dial_failed(id, Some(e.kind())),
        Err(_) => return frontend.borrow_mut().dial_failed(id, None),
    };
    // Whoever has left by now is heard before what waited for this connection goes out.
    link::hear_first().await;
    frontend.borrow_mut().link_up(id);
    tracing::debug!(target: "link", id, %address, "a server's connection is up");
    let on_line = |line: Line| {
        frontend.borrow_mut().server_says(id, line);
        true
    };
    let on_drained = || {
        let mut frontend = frontend.borrow_mut();
        frontend.count_written(id);
        frontend.servers.flush(id);
    };
    let ended = link::run(&mut stream, &outbox, WHOLE, reader(on_line), on_drained).await;
    tracing::debug!(target: "link", id, %address, ?ended, "a server's connection has ended");
    frontend.borrow_mut().link_ended(id);
}

impl PlatformFrontend {
    /// Sends a set-up, now or as soon as a connection takes it.
    pub(super) fn send(&mut self, attempt: AttemptId, server: ServerId, left: Micros, blob: Bytes) {
        let now = clock::now();
        let Some(caller) = self.clients.caller(attempt.call) else { return };
        let (tag, class, key) = (caller.tag, (caller.class, caller.class_text.clone()), caller.key.clone());
        let Some(id) = self.usable_link(server, tag, now) else {
            let (outcome, cause) = (Outcome::Unreachable, Cause::Unspecified);
            return self.driver.inputs.push_back(Input::AttemptEnded {
                attempt,
                outcome,
                cause,
                load: LoadReport::default(),
            });
        };
        self.servers.slots.insert((server, tag), Slot { attempt, link: id, stands: false });
        self.servers.by_call.insert(attempt.call, (server, tag));
        self.driver.trace.record(now, attempt.call, TraceStep::AttemptOn(id));
        self.servers.hold(id, Held::SetupRequest { attempt, until: now + left, tag, class, key, blob });
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
            None => {
                let owed = self.servers.owed.entry(server).or_default();
                if owed.len() >= RELEASES_MOST {
                    owed.pop_front();
                }
                owed.push_back(tag);
            }
        }
    }

    /// The connection for a new message to a server: the newest that is not quiet, or an older one that was heard a
    /// moment ago; else one that is being dialled, now if need be. `None` if the server was not to be reached a moment
    /// ago.
    fn usable_link(&mut self, server: ServerId, tag: Tag, now: Micros) -> Option<LinkId> {
        let of_server = self.servers.links.iter().rev().filter(|(_, l)| l.server == server && !l.retired);
        let fit = |l: &ServerLink| l.outbox.is_open() && !l.quiet(now) && !l.gave_up(tag, now);
        let live = of_server.enumerate().filter(|(n, (_, l))| fit(l) && (*n == 0 || now < l.heard + LATELY));
        let live: Vec<(LinkId, bool)> = live.map(|(_, (id, l))| (*id, l.up)).collect();
        let up = live.iter().find(|(_, up)| *up).or(live.first());
        up.map(|(id, _)| *id).or_else(|| self.dial(server, now))
    }

    /// Dials a server, unless that failed a moment ago. With all its connections taken, the one that was heard least
    /// lately of those on which nothing is open makes way, and the dial begins when it has ended.
    fn dial(&mut self, server: ServerId, now: Micros) -> Option<LinkId> {
        let address = self.directory.address(server)?;
        if self.servers.redials.get(&server).is_some_and(|r| now < r.not_before) {
            return None;
        }
        let mut after = None;
        if self.servers.links.values().filter(|l| l.server == server).count() >= LINKS_MOST {
            let free = |l: &ServerLink| l.up && l.open.is_empty() && l.held.is_empty();
            let of_server = self.servers.links.iter().filter(|(_, l)| l.server == server && free(l));
            let (id, _) = of_server.min_by_key(|(_, l)| l.heard)?;
            let id = *id;
            if let Some(link) = self.servers.links.get_mut(&id) {
                link.outbox.close();
                link.makes_way = true;
            }
            after = Some(id);
        }
        let (id, outbox) = (self.new_link(), Rc::new(Outbox::default()));
        let link = ServerLink {
            server,
            address,
            outbox: outbox.clone(),
            up: false,
            held: Vec::new(),
            open: HashMap::new(),
            silent_since: None,
            writing: VecDeque::new(),
            given_up: VecDeque::new(),
            releasing: VecDeque::new(),
            told: None,
            mute_since: now,
            mute_most: self.servers.rhythms.get(&server).and_then(Rhythm::silence_most),
            heard: now,
            asked: 0,
            makes_way: false,
            dialled: Micros::MAX,
            retired: false,
        };
        self.servers.links.insert(id, link);
        let (frontend, dial) = (self.shared(), self.servers.dial_timeout);
        tokio::task::spawn_local(async move {
            // An end of a call that crosses the close is said again on the connection that is opened next.
            for _ in 0..ENDS_WITHIN {
                if !after.is_some_and(|after| frontend.borrow().servers.links.contains_key(&after)) {
                    break;
                }
                tokio::task::yield_now().await;
            }
            if after.is_some() {
                tokio::time::sleep(Duration::from_micros(SEEN_BY_THEN)).await;
            }
            frontend.borrow_mut().dials(id);
            run_link(frontend, id, address, dial, outbox).await;
        });
        Some(id)
    }

    fn dials(&mut self, id: LinkId) {
        if let Some(link) = self.servers.links.get_mut(&id) {
            link.dialled = clock::now();
        }
    }

    fn link_up(&mut self, id: LinkId) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        link.up = true;
        link.heard = clock::now();
        link.mute_since = link.heard;
        let server = link.server;
        self.servers.redials.remove(&server);
        if self.servers.unheard.get(&server).is_some_and(|from| link.dialled >= *from) {
            self.servers.unheard.remove(&server);
        }
        let owed = self.servers.owed.remove(&server).unwrap_or_default();
        link.held.extend(owed.into_iter().map(Held::Release));
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
        let why = error.map_or("timed out".into(), |e| e.to_string());
        tracing::info!(server = name, address = %link.address, error = why, "dial failed");
        self.return_held(link.server, link.held);
        let of_server = |l: &ServerLink| l.server == link.server && l.up && l.outbox.is_open();
        if error == Some(io::ErrorKind::ConnectionRefused) && !self.servers.links.values().any(of_server) {
            // Nothing listens there, and no connection is left: the process has ended, and what it held with it. One
            // that drains listens no more either, but its connections stay until its calls are over (found on a
            // recorded day: one refused dial ended 81 calls 2 s before their server did).
            self.feed(Input::ServerTerminated { server: link.server, at: now });
        }
    }

    /// Counts the set-ups whose last byte the system has taken.
    fn count_written(&mut self, id: LinkId) {
        let Some(link) = self.servers.links.get_mut(&id) else { return };
        while let Some((_, class)) =
            link.writing.front().filter(|(ticket, _)| link.outbox.has_written(*ticket))
        {
            self.driver.gateway.record_attempt_written(*class);
            link.writing.pop_front();
        }
    }

    fn link_ended(&mut self, id: LinkId) {
        self.count_written(id);
        let Some(mut link) = self.servers.links.remove(&id) else { return };
        if self.servers.has_standing(link.server) {
            // A server says the end of a call where the call was set up, or on any open connection, and again on the
            // next one that is opened. What crossed the end of this one is heard only there. Guards against calls
            // whose end is never heard (found on days with many departing callers: one call in some 6,700 ended in the
            // millisecond in which a connection was closed because a newer one had come up).
            // The server has to see the end before it takes the next one in, or it says nothing again (found on days with
            // silent connections: one call in some 2,000, its server's word cut off by an end 2 ms before the next dial).
            // A connection that makes way has its successor, which waits for as long.
            if !link.makes_way {
                self.servers.unheard.insert(link.server, clock::now() + SEEN_BY_THEN);
            }
        }
        for (_, tag) in std::mem::take(&mut link.releasing) {
            // Unless another call of that name is there by now.
            if !self.servers.slots.contains_key(&(link.server, tag)) {
                self.send_release(link.server, tag);
            }
        }
        for (tag, ticket) in std::mem::take(&mut link.open) {
            // What was not begun to be written has never run, and need not wait to go out again.
            let outcome = if link.outbox.take_back(ticket) { Outcome::Unreachable } else { Outcome::Reset };
            let slot = self.servers.slots.get(&(link.server, tag));
            if let Some(slot) = slot.filter(|s| s.link == id && !s.stands) {
                self.end_attempt(slot.attempt, outcome, Cause::Unspecified, LoadReport::default());
            }
        }
        self.return_held(link.server, link.held);
        self.care_for_servers(clock::now());
    }

    /// What was never written has never run.
    fn return_held(&mut self, server: ServerId, held: Vec<Held>) {
        for item in held {
            match item {
                Held::SetupRequest { attempt, .. } => {
                    self.end_attempt(
                        attempt,
                        Outcome::Unreachable,
                        Cause::Unspecified,
                        LoadReport::default(),
                    );
                }
                Held::Release(tag) => self.send_release(server, tag),
                Held::Probe(_) => {} // times out by itself
            }
        }
    }

    /// A server takes nothing new: set-ups that still wait for a connection to it, or in an outbox that it does not read,
    /// must not reach it.
    pub(super) fn withdraw_held(&mut self, server: ServerId) {
        let mut attempts = Vec::new();
        let slots = &self.servers.slots;
        for link in self.servers.links.values_mut().filter(|l| l.server == server) {
            link.held.retain(|item| match item {
                Held::SetupRequest { attempt, .. } => {
                    attempts.push(*attempt);
                    false
                }
                _ => true,
            });
            for tag in link.open.keys().copied().collect::<Vec<_>>() {
                let slot = slots.get(&(server, tag)).filter(|_| link.take_back(tag));
                attempts.extend(slot.map(|slot| slot.attempt));
            }
        }
        for attempt in attempts {
            self.end_attempt(attempt, Outcome::Unreachable, Cause::Unspecified, LoadReport::default());
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        cause: Cause,
        load: LoadReport,
    ) {
        self.servers.forget(attempt.call);
        self.feed(Input::AttemptEnded { attempt, outcome, cause, load });
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
        (link.heard, link.asked, link.mute_since) = (now, 0, now);
        if line.verb == Verb::Load {
            let rhythm = self.servers.rhythms.entry(server).or_default();
            if let Some(before) = link.told.replace(now) {
                rhythm.beat(now.saturating_sub(before));
            }
            link.mute_most = rhythm.silence_most();
        }
        if let (Verb::Finished, Some(tag)) = (line.verb, line.tag) {
            link.releasing.retain(|(_, t)| *t != tag);
        }
        self.servers.heard.insert(server, now);
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
        let slot = self.servers.slots.get(&(server, tag)).filter(|s| s.stands || s.link == id);
        match slot {
            Some(slot) if slot.stands => {} // it says so twice
            Some(slot) => {
                let attempt = slot.attempt;
                let description = line.blob.unwrap_or_else(|| Bytes::from_static(b"\"\""));
                // The core may find that its time is over: then it is given up in here.
                self.feed(Input::Established { attempt, description });
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
        let Some(slot) = self.servers.slots.get(&(server, tag)) else {
            // Of an attempt that was given up, or of a call that stands at the other process of an upgrade.
            let completed = line.cause == Some(cause::NORMAL);
            let server = self.directory.name(server).to_string();
            return self.tell_sibling(&Word::ServerEnds { server, tag: tag.to_string(), completed });
        };
        if !slot.stands && slot.link != id {
            return; // of an old attempt
        }
        let (attempt, stands) = (slot.attempt, slot.stands);
        self.driver.trace.record(clock::now(), attempt.call, TraceStep::ServerMessageOn(id));
        let outcome = match (stands, line.cause) {
            (true, Some(cause::NORMAL)) => Outcome::Completed,
            (true, _) => Outcome::Reset,
            (false, Some(cause::NO_CIRCUIT | 42)) => Outcome::Rejected,
            (false, Some(cause::MOOT)) => Outcome::NotSent,
            (false, Some(cause::TEMPORARY_FAILURE)) => Outcome::Reset,
            (false, Some(cause::NORMAL)) => Outcome::Cancelled,
            (false, _) => Outcome::Failed,
        };
        let note = match line.text("note").as_deref() {
            Some("no_path") => Cause::NoFreeLine,
            Some("queue_long") => Cause::ProcessorOverloaded { retry_after: None },
            Some("line_taken") => Cause::NumberBusy,
            _ => Cause::Unspecified,
        };
        if stands {
            self.servers.write(id, &encode("FINISHED", tag, &[], None, None));
        }
        self.end_attempt(attempt, outcome, note, line.load());
    }

    /// Looks after the connections: probes that failed, links that went quiet, servers without a link, and
    /// servers that are gone.
    pub(super) fn care_for_servers(&mut self, now: Micros) {
        self.servers.looked_after(now);
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
            self.servers.gone.iter().filter(|(_, (_, at))| now >= *at).map(|(s, _)| *s).collect();
        for server in gone {
            self.servers.gone.remove(&server);
            self.feed(Input::ServerTerminated { server, at: now });
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
        if !self.servers.has_standing(server) {
            return;
        }
        let heard = *self.servers.heard.entry(server).or_insert(now);
        if now > heard + OUT_OF_REACH {
            let name = self.directory.name(server);
            tracing::warn!(server = name, "out of reach: its calls are over");
            self.servers.heard.remove(&server);
            self.feed(Input::ServerUnreachable { server, last_heard_at: heard });
            return;
        }
        let silent = |l: &ServerLink| l.server == server && l.up && now > l.heard.max(l.asked) + SIGN_OF_LIFE;
        let silent: Vec<LinkId> =
            self.servers.links.iter().filter(|(_, l)| silent(l)).map(|(id, _)| *id).collect();
        for id in silent {
            if let Some(link) = self.servers.links.get_mut(&id) {
                link.asked = now;
            }
            let tag = self.servers.new_probe();
            self.servers.hold(id, Held::Probe(tag));
        }
    }

    fn care_for(&mut self, server: ServerId, now: Micros) {
        let address = self.directory.address(server);
        let (mut fit, mut fit_and_up, mut any) = (false, false, false);
        for link in self.servers.links.values_mut().filter(|l| l.server == server) {
            link.retired |= Some(link.address) != address; // it moved
            any |= !link.retired;
            let is_fit = !link.retired && link.outbox.is_open() && !link.quiet(now);
            fit |= is_fit;
            fit_and_up |= is_fit && link.up;
        }
        let holds_calls = self.servers.holds_calls(server);
        if fit_and_up {
            // What has gone quiet has a successor; what nothing can be said on any more is not kept.
            let mut newest = true;
            for link in self.servers.links.values_mut().rev().filter(|l| l.server == server && l.up) {
                link.retired |= link.quiet(now) || !newest && !holds_calls;
                newest &= link.retired;
            }
        }
        let wanted = self.directory.up(server) || holds_calls;
        if wanted && (!any || !fit) {
            self.dial(server, now);
        }
        if let Some(from) = self.servers.unheard.get(&server).copied() {
            let later = self.servers.links.values().any(|l| l.server == server && l.dialled >= from);
            if !self.servers.holds_calls(server) {
                self.servers.unheard.remove(&server);
            } else if !later && now >= from {
                self.dial(server, now);
            }
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
            rhythms: BTreeMap::new(),
            cared: 0,
            heard: BTreeMap::new(),
            owed: BTreeMap::new(),
            unheard: BTreeMap::new(),
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

    /// Queues what is held for a connection, as long as its peer reads.
    fn flush(&mut self, id: LinkId) {
        let now = clock::now();
        let ready = |l: &&mut ServerLink| l.up && l.outbox.is_empty() && l.outbox.is_open();
        let Some(link) = self.links.get_mut(&id).filter(ready) else { return };
        for item in std::mem::take(&mut link.held) {
            let message = match item {
                // Its time is over, and the core is about to find out: it is not sent on any more.
                Held::SetupRequest { until, .. } if until <= now => {
                    link.held.push(item);
                    continue;
                }
                Held::SetupRequest { until, tag, class: (class, text), key, blob, .. } => {
                    link.awaits(now);
                    let left = format!("\"{}\"", until.saturating_sub(now) / 1000);
                    let opts = [("class", &*text), ("left", &*left), ("key", &*key)];
                    let message = encode("START", tag, &opts, None, Some(&blob));
                    if let Some(ticket) = link.outbox.push(&message) {
                        link.open.insert(tag, ticket);
                        link.writing.push_back((ticket, class));
                    }
                    continue;
                }
                Held::Probe(tag) => {
                    link.awaits(now);
                    encode("ECHO", tag, &[], Some(0), None)
                }
                Held::Release(tag) => {
                    if link.releasing.len() >= RELEASES_MOST {
                        link.releasing.pop_front();
                    }
                    link.releasing.push_back((now, tag));
                    encode("FINISH", tag, &[], Some(cause::NORMAL), None)
                }
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
        link.held.retain(|item| !matches!(item, Held::SetupRequest { attempt: a, .. } if *a == attempt));
        if link.held.len() == before && !link.take_back(tag) {
            let now = clock::now();
            link.open.remove(&tag);
            link.given_up.retain(|(at, _)| now < at + ECHO_OF_OLD);
            link.given_up.push_back((now, tag));
            link.outbox.push(&encode("FINISH", tag, &[], Some(cause::NORMAL), None));
        }
    }

    /// A call's attempt stands.
    pub(super) fn stands(&mut self, call: CallId) {
        let slot = self.by_call.get(&call).and_then(|key| self.slots.get_mut(key));
        if let Some(slot) = slot {
            slot.stands = true;
        }
    }

    /// Where a call has something, and under which name.
    pub(super) fn place(&self, call: CallId) -> Option<(ServerId, Tag)> {
        self.by_call.get(&call).copied()
    }

    /// The attempt by which a call of this name stands at a server.
    pub(super) fn standing_at(&self, server: ServerId, tag: Tag) -> Option<AttemptId> {
        self.slots.get(&(server, tag)).filter(|slot| slot.stands).map(|slot| slot.attempt)
    }

    /// A call stands at a server by another process's attempt; no connection of ours has to do with that.
    pub(super) fn adopt(&mut self, server: ServerId, tag: Tag, call: CallId) -> AttemptId {
        let attempt = AttemptId { call, number: 0 };
        self.slots.insert((server, tag), Slot { attempt, link: 0, stands: true });
        self.by_call.insert(call, (server, tag));
        attempt
    }

    /// Lets go of what a call has at a server.
    pub(super) fn forget(&mut self, call: CallId) -> Option<(ServerId, Tag)> {
        let key = self.by_call.remove(&call)?;
        self.slots.remove(&key);
        Some(key)
    }

    /// Notes that the connections are looked after. What came while this process was held up is still to be read.
    fn looked_after(&mut self, now: Micros) {
        let gap = now.saturating_sub(std::mem::replace(&mut self.cared, now));
        if gap > HELD_UP {
            for link in self.links.values_mut() {
                link.mute_since = now;
            }
        }
    }

    /// Nothing of a server is left but, maybe, releases on their way.
    pub(super) fn gone(&mut self, server: ServerId, now: Micros) {
        self.gone.insert(server, (now, now + LAST_RELEASES));
        self.owed.remove(&server);
        self.unheard.remove(&server);
        self.rhythms.remove(&server);
        self.redials.remove(&server);
    }

    /// When a server was told to be gone that is listed again before its calls have counted as cut. Its connections of
    /// before get nothing new.
    pub(super) fn returned(&mut self, server: ServerId) -> Option<Micros> {
        let (told, _) = self.gone.remove(&server)?;
        self.retire(server);
        Some(told)
    }

    fn has_standing(&self, server: ServerId) -> bool {
        self.slots.iter().any(|((s, _), slot)| *s == server && slot.stands)
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
            link.releasing.retain(|(at, _)| now < at + RELEASE_HEARD);
        }
        for link in self.links.values() {
            // On a cut connection no answer comes in time any more, and another is up: what is open there is given up now,
            // and may come to stand in time at its next attempt (found on days with silent connections: set-ups were
            // awaited until their time-outs, and their server was shut for a jam that was none).
            let done = link.open.is_empty() && link.held.is_empty();
            if link.retired && (done || link.mute(now)) {
                link.outbox.close();
            }
        }
    }
}
