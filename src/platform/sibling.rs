//! The other process of an upgrade: a Unix socket beside the clients' address, and what its words do here. What is said
//! and when is `operate::handover`'s; a process that is not there, or cannot be understood, changes nothing.

use std::net::SocketAddr;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{AdoptedCall, Input};
use crate::link::{self, Outbox};
use crate::list::Listed;
use crate::operate::handover::{Inheritance, Known, LINE_BYTES, Role, Standing, Taken, VERSION, Word};
use crate::{CallId, Cause, EndpointListScope, LoadReport, Outcome, ServerStatus};

use super::line::Tag;
use super::{PlatformFrontend, Shared};

/// The old process says all it knows within this, or the new one begins without.
const HELLO: Duration = Duration::from_millis(300);
/// A word that has begun comes whole within this.
const WHOLE: Duration = Duration::from_secs(1);
/// No more waits to be read by the other process before further calls are handed over: a bound far under that of an
/// outbox, which would close the connection.
const HANDED_BYTES: usize = 64 * 1024;

/// What is held of the other process.
#[derive(Default)]
pub(super) struct Sibling {
    pub(super) role: Role,
    outbox: Option<Rc<Outbox>>,
    /// What the old process has told so far; `None` once it was taken or left.
    inheritance: Option<Inheritance>,
    /// Wakes who waits for all of it.
    told: Rc<Notify>,
}

/// This process's own socket, not known to others yet.
pub(super) struct Place {
    listener: UnixListener,
    own: PathBuf,
    shared: PathBuf,
}

/// The socket's name, for a clients' address. `None`: no folder of our own is named, or no one can come back to the
/// address.
fn place_of(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    (address.port() != 0).then(|| PathBuf::from(folder).join(format!("cobaltspool-{address}.upgrade")))
}

/// Looks for an older process at this address and takes what it tells. Never keeps this one from starting.
pub(super) async fn meet(frontend: &Shared, address: SocketAddr) -> Option<Place> {
    let shared = place_of(address)?;
    let own = shared.with_extension(format!("upgrade.{}", std::process::id()));
    let _ = std::fs::remove_file(&own); // of an earlier process of the same number
    let bound = UnixListener::bind(&own);
    let private = |path: &Path| std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600));
    let listener = match bound.and_then(|listener| private(&own).map(|()| listener)) {
        Ok(listener) => listener,
        Err(e) => {
            tracing::info!(error = %e, path = %shared.display(), "no hand-over at upgrades");
            return None;
        }
    };
    let place = Place { listener, own, shared };
    let older = timeout(HELLO, UnixStream::connect(&place.shared)).await;
    let Ok(Ok(stream)) = older else { return Some(place) };
    if !of_our_user(&stream, &place.own) {
        tracing::warn!(path = %place.shared.display(), "another user's socket: no hand-over");
        return Some(place);
    }
    let told = frontend.borrow().sibling.told.clone();
    frontend.borrow_mut().sibling.inheritance = Some(Inheritance::default());
    tokio::task::spawn_local(speak(frontend.clone(), stream, Role::Newer));
    if timeout(HELLO, told.notified()).await.is_err() {
        frontend.borrow_mut().leave_sibling("the older process does not say what it knows");
    }
    Some(place)
}

/// Whether who is at the other end is of the user that owns a file of ours.
fn of_our_user(stream: &UnixStream, own: &Path) -> bool {
    let owner = std::fs::metadata(own).map(|m| m.uid());
    stream.peer_cred().is_ok_and(|peer| owner.is_ok_and(|uid| uid == peer.uid()))
}

/// This process serves: it says so to the older one, and takes newer ones in for ever.
pub(super) async fn follow(frontend: Shared, place: Option<Place>) {
    frontend.borrow_mut().tell_sibling(&Word::Serving);
    let Some(Place { listener, own, shared }) = place else { return std::future::pending().await };
    // From here on the next process finds this one.
    if let Err(e) = std::fs::rename(&own, &shared) {
        tracing::info!(error = %e, "no hand-over at upgrades");
        return std::future::pending().await;
    }
    loop {
        match listener.accept().await {
            // One upgrade at a time: whoever comes beside it hears nothing and begins without a hand-over.
            Ok((stream, _))
                if of_our_user(&stream, &shared) && frontend.borrow().sibling.outbox.is_none() =>
            {
                frontend.borrow_mut().sibling.role = Role::Older { serving: false };
                tokio::task::spawn_local(speak(frontend.clone(), stream, Role::Older { serving: false }));
                tokio::task::yield_now().await;
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn speak(frontend: Shared, mut stream: UnixStream, role: Role) {
    let outbox = Rc::new(Outbox::default());
    frontend.borrow_mut().met(outbox.clone(), role);
    let on_bytes = |buffer: &mut BytesMut| {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let word = Word::read(&buffer[..end]);
            buffer.advance(end + 1);
            if !word.is_some_and(|word| frontend.borrow_mut().sibling_says(word)) {
                return false;
            }
        }
        buffer.len() < LINE_BYTES
    };
    let on_drained = || frontend.borrow_mut().hand_over();
    let _ = link::run(&mut stream, &outbox, WHOLE, on_bytes, on_drained).await;
    outbox.last_words(&stream);
    frontend.borrow_mut().sibling_left(&outbox);
}

impl PlatformFrontend {
    fn met(&mut self, outbox: Rc<Outbox>, role: Role) {
        self.sibling.outbox = Some(outbox);
        self.turn_to(role);
        if matches!(role, Role::Older { .. }) {
            self.say_what_is_known();
        }
    }

    /// Takes on a role, with what is shared by it.
    fn turn_to(&mut self, role: Role) {
        self.sibling.role = role;
        self.driver.serving_state.succeeded(role.succeeded());
        self.driver.gateway.set_limits_shared(role.shares());
        self.clients.share(role.shares());
        self.clients.successor = self.sibling.outbox.clone().filter(|_| role.succeeded());
    }

    pub(super) fn tell_sibling(&mut self, word: &Word) {
        if let Some(outbox) = &self.sibling.outbox {
            outbox.push(&word.line());
        }
    }

    fn say_what_is_known(&mut self) {
        let now = clock::now();
        self.tell_sibling(&Word::Hello { version: VERSION, seq: self.seq });
        for server in self.directory.servers().collect::<Vec<_>>() {
            let known = self.driver.gateway.knowledge_of(server);
            let report = known.last_reported_wait;
            let word = Word::Server(Known {
                server: self.directory.name(server).to_string(),
                drains_for: known.draining_since.map(|since| now.saturating_sub(since)),
                silent: known.is_ejected,
                report: report.map(|report| (now.saturating_sub(report.at), report.wait_ms)),
            });
            self.tell_sibling(&word);
        }
        self.tell_sibling(&Word::Begin);
    }

    /// Takes a word of the other process; false to end the connection.
    fn sibling_says(&mut self, word: Word) -> bool {
        if let Some(mut held) = self.sibling.inheritance.take() {
            match held.take(word) {
                Taken::More => self.sibling.inheritance = Some(held),
                Taken::Whole => {
                    self.inherit(held);
                    self.sibling.told.notify_one();
                }
                Taken::Refused(why) => {
                    self.leave_sibling(why);
                    return false;
                }
            }
            return true;
        }
        match word {
            Word::Serving if matches!(self.sibling.role, Role::Older { .. }) => {
                tracing::info!("a newer process serves beside this one");
                self.turn_to(Role::Older { serving: true });
                self.maintain(clock::now());
            }
            Word::Standing(call) => self.adopt(call),
            Word::CallerEnds { tag } => match Tag::new(&tag).and_then(|tag| self.clients.call_of(tag)) {
                Some(call) => self.caller_ends(call),
                None => self.bounce(&Word::CallerEnds { tag }),
            },
            Word::ServerEnds { server, tag, completed } => {
                let attempt = self
                    .directory
                    .number(&server)
                    .zip(Tag::new(&tag))
                    .and_then(|(server, tag)| self.servers.standing_at(server, tag));
                match attempt {
                    Some(attempt) => {
                        let outcome = if completed { Outcome::Completed } else { Outcome::Reset };
                        self.end_attempt(attempt, outcome, Cause::Unspecified, LoadReport::default());
                    }
                    None => self.bounce(&Word::ServerEnds { server, tag, completed }),
                }
            }
            Word::Owed { tag, peer, completed } => {
                if let Some(tag) = Tag::new(&tag) {
                    self.clients.owe_for_other(tag, peer, completed);
                }
            }
            // Said out of order, or by a version that says more: nothing depends on it.
            Word::Hello { .. } | Word::Server(_) | Word::Begin | Word::Serving => {}
        }
        true
    }

    /// Takes over what the older process knows of servers: drains that this one's list does not have yet, servers that do
    /// not answer, and waits told a moment ago.
    fn inherit(&mut self, told: Inheritance) {
        let now = clock::now();
        // A list older than ours says nothing of drains: a server may have come back since.
        let as_new = told.seq.is_some_and(|seq| seq >= self.seq);
        for known in told.servers {
            let Some(server) = self.directory.number(&known.server) else { continue };
            if let (Some(since), true) = (known.drains_for, as_new && self.directory.up(server))
                && let Some(line) = self.directory.line(server)
            {
                let draining = Listed { status: ServerStatus::Draining, ..line.clone() };
                self.take_list(now.saturating_sub(since), EndpointListScope::Changes, vec![draining]);
            }
            if let Some((answered, load)) = known.news() {
                self.feed(Input::Load { server, answered, load });
            }
        }
        tracing::info!("an older process runs beside this one, and has told what it knows");
    }

    /// Does without the other process.
    fn leave_sibling(&mut self, why: &str) {
        tracing::warn!(why, "the upgrade's hand-over is left out");
        self.sibling.inheritance = None;
        self.sibling.told.notify_one();
        if let Some(outbox) = self.sibling.outbox.take() {
            outbox.close();
        }
        self.turn_to(Role::Alone);
    }

    fn sibling_left(&mut self, outbox: &Rc<Outbox>) {
        if !self.sibling.outbox.as_ref().is_some_and(|held| Rc::ptr_eq(held, outbox)) {
            return;
        }
        tracing::info!("the other process at this address is gone");
        self.sibling.outbox = None;
        self.sibling.inheritance = None;
        self.sibling.told.notify_one();
        self.turn_to(Role::Alone);
    }

    /// A call that stands at the older process is ours from now on.
    fn adopt(&mut self, standing: Standing) {
        let Some(tag) = Tag::new(&standing.tag).filter(|tag| self.clients.call_of(*tag).is_none()) else {
            return;
        };
        let class = self.clients.class(&standing.class).unwrap_or(usize::MAX);
        let Some(server) = self.directory.number(&standing.server) else {
            // Its server is not in our list: gone, and the call with it.
            return self.clients.owe_for_other(tag, standing.peer, false);
        };
        let call = self.clients.adopt(tag, class, standing.peer);
        let attempt = self.servers.adopt(server, tag, call);
        let wire_id = tag.to_string().into();
        self.feed(Input::CallAdopted(AdoptedCall { attempt, wire_id, class, server }));
    }

    /// Hands calls that stand over to the newer process, as many as it reads at once. A call at a server that drains
    /// stays: such a server listens no more, so the newer process gets no connection on which it could hear of the
    /// call's end, and takes the refused dial for the server's end.
    pub(super) fn hand_over(&mut self) {
        if !self.driver.serving_state.gives_way() {
            return;
        }
        let Some(outbox) = self.sibling.outbox.clone() else { return };
        for call in self.driver.gateway.established_call_ids() {
            if outbox.waiting() > HANDED_BYTES {
                return; // the rest follows when this is written
            }
            self.hand_over_one(call, &outbox);
        }
    }

    fn hand_over_one(&mut self, call: CallId, outbox: &Outbox) {
        let (Some(caller), Some((server, tag))) = (self.clients.caller(call), self.servers.place(call))
        else {
            return;
        };
        if !self.directory.up(server) {
            return;
        }
        let word = Word::Standing(Standing {
            tag: tag.to_string(),
            server: self.directory.name(server).to_string(),
            class: self.clients.class_name(caller.class).to_string(),
            peer: caller.peer,
        });
        if outbox.push(&word.line()).is_some() {
            self.servers.forget(call);
            self.clients.forget(call);
            self.feed(Input::CallHandedOver(call));
        }
    }

    /// A word on a call that is not here. It may have been said to the newer process while the call was on its way there:
    /// the older one sends it back once, and by then the call has arrived before it.
    fn bounce(&mut self, word: &Word) {
        if self.driver.serving_state.gives_way() {
            self.tell_sibling(word);
        }
    }
}
