//! The callers' side: connections in, set-ups and releases from them, answers and releases to them.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::call_trace::{CallTrace, TraceStep};
use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{Input, SetupRequest};
use crate::link::{self, Outbox, Ticket};
use crate::operate::handover::Word;
use crate::{CallId, Micros, Number, PoolId};

use super::line::{Line, Tag, Verb, cause, encode, figures, reader};
use super::{LinkId, PlatformFrontend, Shared};

/// How long a release is owed: until it is heard, and no longer than this, for later it would not count any more.
const OWED: Micros = 8_000_000;
/// Most releases that are owed; at the bound the oldest is let go.
const OWED_MOST: usize = 10_000;
/// A connection whose peer never says what it heard may have taken releases of this long with it when it ended.
const UNREAD: Micros = 1_000_000;
/// A caller that says what it hears does so within this.
const HEARD_BY: Micros = 200_000;
/// A connection is closed under a caller's next message less often where it was without use for this long: many callers
/// go on as soon as they have their answer.
const PAUSE: Micros = 20_000;
/// A connection on which no set-up was taken for this long from its start is closed: its peer says nothing, or
/// nothing that makes sense, and holds a descriptor.
const NO_USE: Micros = 2_000_000;
/// A caller's message that has begun comes whole within this.
const WHOLE: Duration = Duration::from_secs(2);
/// No caller means to wait longer than its class's limit; one that says so has sent a figure that is none.
const LEFT_SLACK_MS: f64 = 1_000.0;

/// What is remembered of a call for as long as it is open or stands.
pub struct Caller {
    /// Its name on the wire.
    pub tag: Tag,
    /// Its class's place in the settings.
    pub class: usize,
    /// The class and the number called as they came, in JSON.
    pub class_text: Box<str>,
    /// See `class_text`.
    pub key: Box<str>,
    link: LinkId,
    /// Its address.
    pub peer: IpAddr,
}

struct ClientLink {
    outbox: Rc<Outbox>,
    peer: IpAddr,
    /// Calls set up on it and not answered yet: its end gives them up.
    open: BTreeSet<CallId>,
    /// Calls set up on it that stand, and the answers that said so: their releases go out on it first.
    stand: BTreeMap<CallId, Ticket>,
    opened: Micros,
    /// When a set-up was last taken on it, or answered; `None`: never.
    used: Option<Micros>,
    /// Releases written on it that its peer has not said it heard.
    telling: HashMap<Tag, Release>,
    /// Its peer says what it heard.
    confirms: bool,
}

/// A call that stood and is over, as its caller is to hear it.
struct Release {
    call: CallId,
    peer: IpAddr,
    /// When it was last queued at a connection, and as what.
    told: Micros,
    ticket: Option<Ticket>,
    until: Micros,
    completed: bool,
    message: Vec<u8>,
}

impl Release {
    fn of(call: CallId, tag: Tag, peer: IpAddr, completed: bool) -> Release {
        let cause = if completed { cause::NORMAL } else { cause::TEMPORARY_FAILURE };
        let message = encode("FINISH", tag, &[], Some(cause), None);
        let now = clock::now();
        Release { call, peer, told: now, ticket: None, until: now + OWED, completed, message }
    }
}

impl ClientLink {
    /// It may be closed: nothing is open on it, everything was written that its peer is to have, and it is not closing
    /// already.
    fn may_close(&self) -> bool {
        self.open.is_empty() && self.outbox.is_empty() && self.outbox.is_open()
    }
}

/// All callers.
pub struct Clients {
    classes: Vec<String>,
    /// The longest that any class's caller waits, in milliseconds.
    left_most: f64,
    /// Most connections.
    most: usize,
    links: HashMap<LinkId, ClientLink>,
    calls: HashMap<CallId, Caller>,
    tags: HashMap<Tag, CallId>,
    next_call: u64,
    /// Releases that wait for a connection.
    owed: VecDeque<(Tag, Release)>,
    /// Where releases were written that nobody has said were heard.
    telling: HashMap<Tag, LinkId>,
    /// The newer process of an upgrade: what no caller is here to hear is told there.
    pub(super) successor: Option<Rc<Outbox>>,
    /// The descriptors are shared with another process.
    shared: bool,
    /// The same, by when they are let go.
    until: VecDeque<(Micros, Tag)>,
    trace: CallTrace,
}

/// Takes connections until this process gives way to another. What is queued then is still taken: a listener that closes
/// resets it, and new connections come to the other process from then on.
pub async fn accept(frontend: Shared, listener: TcpListener) {
    let mut listens = frontend.borrow().listens.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = listens.wait_for(|listens| !listens) => break,
        };
        match accepted {
            Ok((stream, from)) => {
                if frontend.borrow_mut().clients.make_room() {
                    tokio::task::spawn_local(serve(frontend.clone(), stream, from.ip()));
                }
                // What made way is closed before the next comes: else a burst would take all descriptors.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "accept");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    last_of(&frontend, listener);
    std::future::pending().await
}

/// Takes what is queued at a listener that is to close, without waiting in between.
fn last_of(frontend: &Shared, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, from)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream
            && frontend.borrow_mut().clients.make_room()
        {
            tokio::task::spawn_local(serve(frontend.clone(), stream, from.ip()));
        }
    }
}

async fn serve(frontend: Shared, mut stream: TcpStream, peer: IpAddr) {
    let outbox = Rc::new(Outbox::default());
    let id = frontend.borrow_mut().new_link();
    let opened = clock::now();
    let link = ClientLink {
        outbox: outbox.clone(),
        peer,
        open: BTreeSet::new(),
        stand: BTreeMap::new(),
        opened,
        used: None,
        telling: HashMap::new(),
        confirms: false,
    };
    frontend.borrow_mut().clients.add(id, link);
    let on_line = |line: Line| frontend.borrow_mut().client_says(id, line);
    let _ = link::run(&mut stream, &outbox, WHOLE, reader(on_line), || {}).await;
    frontend.borrow_mut().client_left(id);
    outbox.last_words(&stream);
}

impl PlatformFrontend {
    /// Takes a caller's message; false to end the connection.
    fn client_says(&mut self, id: LinkId, line: Line) -> bool {
        match (line.verb, line.tag) {
            (Verb::Start, Some(tag)) => self.set_up(id, tag, line),
            // A set-up without a readable id can be answered by no message.
            (Verb::Start, None) => return false,
            (Verb::Finish, Some(tag)) => {
                if let Some(call) = self.clients.call_of(tag) {
                    self.driver.trace.record(clock::now(), call, TraceStep::CallerMessageOn(id));
                    self.clients.was_used(id);
                    self.clients.write(id, &encode("FINISHED", tag, &[], None, None));
                    self.caller_ends(call);
                } else if self.sibling.role.shares() {
                    self.clients.write(id, &encode("FINISHED", tag, &[], None, None));
                    self.tell_sibling(&Word::CallerEnds { tag: tag.to_string() });
                }
            }
            (Verb::Finished, Some(tag)) => self.clients.heard(id, tag),
            (Verb::Echo, Some(tag)) => {
                let passed = i64::from(self.driver.is_ready());
                self.clients.write(id, &encode("ECHOED", tag, &[], Some(passed), None));
            }
            _ => {}
        }
        true
    }

    /// A caller gives a call up, or ends one that stands.
    pub(super) fn caller_ends(&mut self, call: CallId) {
        self.clients.forget(call);
        self.feed(Input::SetupCancelled(call));
        self.servers.forget(call);
    }

    fn set_up(&mut self, id: LinkId, tag: Tag, line: Line) {
        if !self.clients.links.get(&id).is_some_and(|l| l.outbox.stay_open()) {
            // It crosses our close: its caller sends it again on another connection, so here nothing may be sent on
            // (found in the story of ten upgrades: one set-up in some 50,000 went out by both processes).
            return;
        }
        if let Some(call) = self.clients.tags.get(&tag) {
            // The same set-up again: the call is open or stands, and has or gets its one answer where it came in.
            // Another connection has no part in that call and is told so.
            if self.clients.calls.get(call).is_some_and(|c| c.link != id) {
                self.clients.write(id, &encode("FINISH", tag, &[], Some(cause::BAD_FIELD), None));
            }
            return;
        }
        let Some(set_up) = self.clients.read(id, tag, line) else {
            self.clients.write(id, &encode("FINISH", tag, &[], Some(cause::BAD_FIELD), None));
            return;
        };
        self.feed(Input::SetupRequested(set_up));
    }

    fn client_left(&mut self, id: LinkId) {
        let Some(link) = self.clients.links.remove(&id) else { return };
        tracing::debug!(target: "link", id, "a caller's connection has ended");
        for call in link.open {
            self.clients.forget(call);
            self.feed(Input::SetupCancelled(call));
        }
        let mut torn = false;
        for (call, answer) in link.stand {
            // Guards against a caller's leaving that crosses the answer in our outbox: nobody will ever read it, so what
            // stands is released now.
            if !link.outbox.has_written(answer) {
                torn |= !link.outbox.take_back(answer);
                self.caller_ends(call);
            }
        }
        self.clients.tell_again(id, link.telling, link.confirms, &link.outbox);
        if torn {
            link.outbox.clear(); // only now: what was let go of would count as written
        }
    }
}

impl Clients {
    /// Callers of these classes, of whom none waits longer than `longest_wait`, on at most `most` connections.
    pub(super) fn new(classes: Vec<String>, longest_wait: Micros, most: usize, trace: CallTrace) -> Self {
        Clients {
            classes,
            left_most: longest_wait as f64 / 1000.0 + LEFT_SLACK_MS,
            most: most.max(1),
            links: HashMap::new(),
            calls: HashMap::new(),
            tags: HashMap::new(),
            next_call: 0,
            owed: VecDeque::new(),
            telling: HashMap::new(),
            successor: None,
            shared: false,
            until: VecDeque::new(),
            trace,
        }
    }

    /// A call's caller, while the call is open or stands.
    pub fn caller(&self, call: CallId) -> Option<&Caller> {
        self.calls.get(&call)
    }

    fn add(&mut self, id: LinkId, link: ClientLink) {
        let peer = link.peer;
        self.links.insert(id, link);
        self.pay_owed(id, |caller| caller == peer);
    }

    /// Sends the releases that wait for a connection on this one, those that it fits. A connection that has said
    /// nothing yet fits only its own peer's callers: a stranger would hear them and keep them to itself.
    fn pay_owed(&mut self, id: LinkId, fits: impl Fn(IpAddr) -> bool) {
        for (tag, release) in std::mem::take(&mut self.owed) {
            let left = if fits(release.peer) { self.tell(id, tag, release) } else { Some(release) };
            self.owed.extend(left.map(|release| (tag, release)));
        }
    }

    /// Makes room for one more connection; false if there is none, for more would take the descriptors that the
    /// servers' side needs. Connections on which nothing is open make way, first those that were never of any use,
    /// then those that have been without use for longest: some callers ask once and never close, and strangers
    /// connect by the hundreds and say nothing (found on days with both: all places were taken for good, and
    /// further callers were turned away unheard).
    fn make_room(&mut self) -> bool {
        let most = if self.shared { (self.most / 2).max(1) } else { self.most };
        if self.links.values().filter(|l| l.outbox.is_open()).count() < most {
            return true;
        }
        let idle = self.links.values().filter(|l| l.may_close());
        let Some(link) = idle.min_by_key(|l| (l.used.is_some(), l.used.unwrap_or(l.opened))) else {
            return false;
        };
        link.outbox.close_unused();
        true
    }

    /// Closes every connection on which nothing is open or stands, nothing was said a moment ago, and no release is
    /// still to be heard.
    pub(super) fn close_idle(&mut self, now: Micros) {
        let telling = |l: &ClientLink| l.telling.values().any(|r| now < r.told + HEARD_BY);
        let paused = |l: &ClientLink| now >= l.used.unwrap_or(l.opened) + PAUSE;
        let idle = |l: &&ClientLink| l.may_close() && l.stand.is_empty() && paused(l) && !telling(l);
        for link in self.links.values().filter(idle) {
            link.outbox.close_unused();
        }
    }

    /// Closes every connection; what comes before its end is still turned away in words.
    pub(super) fn close_all(&mut self) {
        for link in self.links.values() {
            link.outbox.close_unused();
        }
    }

    /// How many connections there are.
    pub(super) fn count(&self) -> usize {
        self.links.len()
    }

    /// Closes connections of no use, and lets go of what is owed no more.
    pub(super) fn care(&mut self, now: Micros) {
        self.let_go(now);
        let useless = |l: &&ClientLink| l.used.is_none() && l.may_close() && now > l.opened + NO_USE;
        for link in self.links.values().filter(useless) {
            link.outbox.close_unused();
        }
    }

    /// Reads a set-up's fields and opens its record; `None` if a field is missing or cannot be read.
    fn read(&mut self, id: LinkId, tag: Tag, line: Line) -> Option<SetupRequest> {
        let link = self.links.get_mut(&id)?;
        let name = line.text("class")?;
        let class = self.classes.iter().position(|c| *c == name)?;
        let left = line.number("left").filter(|ms| (0.0..=self.left_most).contains(ms))?;
        let key = line.text("key")?;
        let extras = line.text("extras").unwrap_or_default();
        let mut first_choice = PoolId(-1);
        let mut again = false;
        // Not passed on, so no server would find what is wrong with them.
        for pair in extras.split(';').filter(|pair| !pair.trim().is_empty()) {
            let (name, value) = figures(pair).next()?;
            let figure: i64 = value.parse().ok()?;
            match name {
                "dest" => first_choice = PoolId(figure),
                "width" if figure < 1 => return None,
                "again" => again = figure == 1,
                _ => {}
            }
        }
        let description = line.blob.clone()?;
        if !description.starts_with(b"\"") {
            return None;
        }
        self.next_call += 1;
        let call = CallId(self.next_call);
        let raw = |key| line.raw(key).unwrap_or_default().into();
        let (class_text, key_text) = (raw("class"), raw("key"));
        let caller = Caller { tag, class, class_text, key: key_text, link: id, peer: link.peer };
        link.open.insert(call);
        link.used = Some(clock::now());
        self.trace.record(clock::now(), call, TraceStep::RequestedOn(id));
        tracing::debug!(target: "call", call = call.0, %tag);
        self.calls.insert(call, caller);
        self.tags.insert(tag, call);
        let left = (left * 1000.0) as Micros;
        let name = tag.to_string().into();
        let (number, dialled) = (number(&key), key.into());
        Some(SetupRequest {
            call,
            wire_id: name,
            class,
            number,
            dialled_number: dialled,
            first_choice,
            time_left: left,
            is_redial: again,
            description,
        })
    }

    pub(super) fn answer(&mut self, call: CallId, description: &[u8]) {
        let Some(caller) = self.calls.get(&call) else { return };
        let (id, message) = (caller.link, encode("STARTED", caller.tag, &[], None, Some(description)));
        let ticket = self.write(id, &message);
        if let Some(link) = self.links.get_mut(&id) {
            // Where the connection takes nothing more, its end gives the call up with all that is still open on it.
            if let Some(ticket) = ticket {
                link.open.remove(&call);
                link.stand.insert(call, ticket);
            }
        }
        self.was_used(id);
    }

    fn was_used(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.used = Some(clock::now());
        self.pay_owed(id, |_| true);
    }

    pub(super) fn refuse(&mut self, call: CallId, wait: Micros) {
        let wait = format!("\"{}\"", wait.div_ceil(1000));
        self.finish(call, &[("wait", &wait)], cause::NO_CIRCUIT);
    }

    pub(super) fn fail(&mut self, call: CallId) {
        self.finish(call, &[], cause::TEMPORARY_FAILURE);
    }

    fn finish(&mut self, call: CallId, opts: &[(&str, &str)], cause: i64) {
        if let Some(caller) = self.forget(call) {
            self.write(caller.link, &encode("FINISH", caller.tag, opts, Some(cause), None));
        }
    }

    /// Releases a call that stood.
    pub(super) fn over(&mut self, call: CallId, completed: bool) {
        let Some(caller) = self.forget(call) else { return };
        let release = Release::of(call, caller.tag, caller.peer, completed);
        self.owe_first(caller.link, caller.tag, release);
    }

    /// The other process of an upgrade has no connection on which to tell this.
    pub(super) fn owe_for_other(&mut self, tag: Tag, peer: IpAddr, completed: bool) {
        self.next_call += 1;
        self.owe_first(0, tag, Release::of(CallId(self.next_call), tag, peer, completed));
    }

    fn owe_first(&mut self, link: LinkId, tag: Tag, release: Release) {
        self.until.push_back((release.until, tag));
        self.owe(link, tag, release);
        while self.until.len() > OWED_MOST {
            self.let_go_first();
        }
    }

    /// Tells a caller that its call is over: on the connection of its set-up, else on another of the same peer, else on
    /// any on which a set-up was taken, else on the next of these that comes.
    fn owe(&mut self, link: LinkId, tag: Tag, release: Release) {
        let open = |id: &LinkId| {
            let link = self.links.get(id).filter(|l| l.outbox.is_open());
            link.is_some_and(|l| l.used.is_some() || l.peer == release.peer)
        };
        let rank = |id: &LinkId| {
            let l = &self.links[id];
            (*id != link, l.peer != release.peer, l.used.is_none(), *id)
        };
        let best =
            if open(&link) { Some(link) } else { self.links.keys().copied().filter(open).min_by_key(rank) };
        let left = match best {
            Some(id) => self.tell(id, tag, release),
            None => Some(release),
        };
        if let Some(release) = left {
            if let Some(successor) = &self.successor {
                let (peer, completed) = (release.peer, release.completed);
                if successor.push(&Word::Owed { tag: tag.to_string(), peer, completed }.line()).is_some() {
                    return;
                }
            }
            self.trace.record(clock::now(), release.call, TraceStep::ReleasePending);
            self.owed.push_back((tag, release));
        }
    }

    /// Writes a release to a connection, where it is owed until it is heard; gives it back if that cannot be.
    fn tell(&mut self, id: LinkId, tag: Tag, mut release: Release) -> Option<Release> {
        let Some(link) = self.links.get_mut(&id) else { return Some(release) };
        release.ticket = link.outbox.push(&release.message);
        if release.ticket.is_none() {
            return Some(release);
        }
        release.told = clock::now();
        self.trace.record(release.told, release.call, TraceStep::ReleaseQueuedOn(id));
        link.telling.insert(tag, release);
        self.telling.insert(tag, id);
        None
    }

    /// A caller says that it heard a release.
    fn heard(&mut self, id: LinkId, tag: Tag) {
        if let Some(link) = self.links.get_mut(&id) {
            link.confirms = true;
        }
        let Some(told_on) = self.telling.remove(&tag) else { return };
        let release = self.links.get_mut(&told_on).and_then(|l| l.telling.remove(&tag));
        if let Some(release) = release {
            self.trace.record(clock::now(), release.call, TraceStep::ReleaseConfirmedOn(id));
        }
    }

    /// A connection has ended with these releases on it, unheard. Guards against a release that crosses the caller's
    /// close: it was in our outbox, or on its way, and counted as told.
    fn tell_again(&mut self, id: LinkId, telling: HashMap<Tag, Release>, confirms: bool, outbox: &Outbox) {
        let now = clock::now();
        for (tag, release) in telling {
            self.telling.remove(&tag);
            // A peer that never confirms is not told twice what it had the time to read.
            let written = release.ticket.is_some_and(|ticket| outbox.has_written(ticket));
            if confirms || !written || now < release.told + UNREAD {
                self.trace.record(now, release.call, TraceStep::ReleaseUnconfirmedOn(id));
                self.owe(id, tag, release);
            }
        }
    }

    /// Lets go of releases that are owed no more.
    fn let_go(&mut self, now: Micros) {
        while self.until.front().is_some_and(|(until, _)| *until <= now) {
            self.let_go_first();
        }
    }

    /// The oldest release is owed no more. Written to a connection that still stands, it counts as told.
    fn let_go_first(&mut self) {
        let Some((until, tag)) = self.until.pop_front() else { return };
        if let Some(link) = self.telling.get(&tag).and_then(|id| self.links.get_mut(id))
            && link.telling.get(&tag).is_some_and(|r| r.until == until)
        {
            link.telling.remove(&tag);
            self.telling.remove(&tag);
        }
        let untold = self.owed.iter().position(|(t, r)| *t == tag && r.until == until);
        if let Some((tag, release)) = untold.and_then(|n| self.owed.remove(n)) {
            self.trace.record(clock::now(), release.call, TraceStep::ReleaseExpired);
            let steps = self.trace.steps_of(release.call);
            tracing::warn!(target: "call", call = release.call.0, %tag, %steps, "no caller came to hear its end");
        }
    }

    /// The call of a name, while it is open or stands.
    pub(super) fn call_of(&self, tag: Tag) -> Option<CallId> {
        self.tags.get(&tag).copied()
    }

    /// A class's place, by its name.
    pub(super) fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c == name)
    }

    /// A class's name, by its place.
    pub(super) fn class_name(&self, class: usize) -> &str {
        self.classes.get(class).map_or("", String::as_str)
    }

    /// The descriptors are shared with another process, or are not any more.
    pub(super) fn share(&mut self, shared: bool) {
        self.shared = shared;
    }

    /// Takes a call that stands from another process; no connection of ours brought it.
    pub(super) fn adopt(&mut self, tag: Tag, class: usize, peer: IpAddr) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let caller = Caller { tag, class, class_text: "".into(), key: "".into(), link: 0, peer };
        self.calls.insert(call, caller);
        self.tags.insert(tag, call);
        call
    }

    /// Lets go of a call.
    pub(super) fn forget(&mut self, call: CallId) -> Option<Caller> {
        let caller = self.calls.remove(&call)?;
        self.tags.remove(&caller.tag);
        if let Some(link) = self.links.get_mut(&caller.link) {
            link.open.remove(&call);
            link.stand.remove(&call);
        }
        Some(caller)
    }

    fn write(&mut self, id: LinkId, message: &[u8]) -> Option<Ticket> {
        self.links.get(&id)?.outbox.push(message)
    }
}

/// The number called: 16 hex digits, or whatever else it is, folded.
fn number(key: &str) -> Number {
    Number(u64::from_str_radix(key, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        hasher.finish()
    }))
}
