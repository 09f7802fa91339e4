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
use crate::list::ListedServer;
use crate::operate::handover::{
    EstablishedCall, HandoverMessage, HandoverProgress, MAX_LINE_BYTES, ReceivedHandover, Role,
    ServerSnapshot, SnapshotLoad, VERSION,
};
use crate::{CallId, Cause, EndpointListScope, LoadReport, Outcome, ServerStatus};

use super::line::Tag;
use super::servers::CallAtServer;
use super::{PlatformFrontend, Shared};

/// The old process says all it knows within this, or the new one begins without.
const INHERITANCE_TIMEOUT: Duration = Duration::from_millis(300);
/// A word that has begun comes whole within this.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// No more waits to be read by the other process before further calls are handed over: a bound far under that of an
/// outbox, which would close the connection.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// What is held of the other process.
#[derive(Default)]
pub(super) struct PeerProcess {
    pub(super) role: Role,
    outbox: Option<Rc<Outbox>>,
    /// What the old process has told so far; `None` once it was taken or left.
    inheritance: Option<ReceivedHandover>,
    /// Wakes who waits for all of it.
    inheritance_done: Rc<Notify>,
}

/// This process's own socket, not known to others yet.
pub(super) struct UpgradeSocket {
    listener: UnixListener,
    own: PathBuf,
    shared: PathBuf,
}

/// The socket's name, for a clients' address. `None`: no folder of our own is named, or no one can come back to the
/// address.
fn socket_path(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    (address.port() != 0).then(|| PathBuf::from(folder).join(format!("cobaltspool-{address}.upgrade")))
}

/// Looks for an older process at this address and takes what it tells. Never keeps this one from starting.
pub(super) async fn meet(frontend: &Shared, address: SocketAddr) -> Option<UpgradeSocket> {
    let shared = socket_path(address)?;
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
    let place = UpgradeSocket { listener, own, shared };
    let older = timeout(INHERITANCE_TIMEOUT, UnixStream::connect(&place.shared)).await;
    let Ok(Ok(stream)) = older else { return Some(place) };
    if !is_own_user(&stream, &place.own) {
        tracing::warn!(path = %place.shared.display(), "another user's socket: no hand-over");
        return Some(place);
    }
    let told = frontend.borrow().peer_process.inheritance_done.clone();
    frontend.borrow_mut().peer_process.inheritance = Some(ReceivedHandover::default());
    tokio::task::spawn_local(run_connection(frontend.clone(), stream, Role::Newer));
    if timeout(INHERITANCE_TIMEOUT, told.notified()).await.is_err() {
        frontend.borrow_mut().abandon_handover(&"the older process does not say what it knows");
    }
    Some(place)
}

/// Whether who is at the other end is of the user that owns a file of ours.
fn is_own_user(stream: &UnixStream, own: &Path) -> bool {
    let owner = std::fs::metadata(own).map(|m| m.uid());
    stream.peer_cred().is_ok_and(|peer| owner.is_ok_and(|uid| uid == peer.uid()))
}

/// This process serves: it says so to the older one, and takes newer ones in for ever.
pub(super) async fn follow(frontend: Shared, place: Option<UpgradeSocket>) {
    frontend.borrow_mut().send_to_peer_process(&HandoverMessage::Serving);
    let Some(UpgradeSocket { listener, own, shared }) = place else { return std::future::pending().await };
    // From here on the next process finds this one.
    if let Err(e) = std::fs::rename(&own, &shared) {
        tracing::info!(error = %e, "no hand-over at upgrades");
        return std::future::pending().await;
    }
    loop {
        match listener.accept().await {
            // One upgrade at a time: whoever comes beside it hears nothing and begins without a hand-over.
            Ok((stream, _))
                if is_own_user(&stream, &shared) && frontend.borrow().peer_process.outbox.is_none() =>
            {
                frontend.borrow_mut().peer_process.role = Role::Older { successor_is_serving: false };
                tokio::task::spawn_local(run_connection(
                    frontend.clone(),
                    stream,
                    Role::Older { successor_is_serving: false },
                ));
                tokio::task::yield_now().await;
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn run_connection(frontend: Shared, mut stream: UnixStream, role: Role) {
    let outbox = Rc::new(Outbox::default());
    frontend.borrow_mut().handle_peer_process(outbox.clone(), role);
    let on_bytes = |buffer: &mut BytesMut| {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let word = HandoverMessage::from_line(&buffer[..end]);
            buffer.advance(end + 1);
            if !word.is_some_and(|word| frontend.borrow_mut().handle_peer_message(word)) {
                return false;
            }
        }
        buffer.len() < MAX_LINE_BYTES
    };
    let on_drained = || frontend.borrow_mut().hand_over();
    let _ = link::run(&mut stream, &outbox, MESSAGE_TIMEOUT, on_bytes, on_drained).await;
    outbox.flush_without_blocking(&stream);
    frontend.borrow_mut().handle_peer_process_gone(&outbox);
}

impl PlatformFrontend {
    fn handle_peer_process(&mut self, outbox: Rc<Outbox>, role: Role) {
        self.peer_process.outbox = Some(outbox);
        self.set_role(role);
        if matches!(role, Role::Older { .. }) {
            self.send_inheritance();
        }
    }

    /// Takes on a role, with what is shared by it.
    fn set_role(&mut self, role: Role) {
        self.peer_process.role = role;
        self.driver.serving_state.set_successor(role.has_successor());
        self.driver.gateway.set_limits_shared(role.is_shared());
        self.clients.set_shared(role.is_shared());
        self.clients.successor = self.peer_process.outbox.clone().filter(|_| role.has_successor());
    }

    pub(super) fn send_to_peer_process(&mut self, word: &HandoverMessage) {
        if let Some(outbox) = &self.peer_process.outbox {
            outbox.push(&word.to_line());
        }
    }

    fn send_inheritance(&mut self) {
        let now = clock::now();
        self.send_to_peer_process(&HandoverMessage::Hello { version: VERSION, seq: self.seq });
        for server in self.directory.servers().collect::<Vec<_>>() {
            let known = self.driver.gateway.server_snapshot(server);
            let report = known.last_reported_wait;
            let message = HandoverMessage::Server(ServerSnapshot {
                server: self.directory.name(server).to_string(),
                draining_for: known.draining_since.map(|since| now.saturating_sub(since)),
                is_ejected: known.is_ejected,
                last_report: report.map(|report| (now.saturating_sub(report.at), report.wait_ms)),
            });
            self.send_to_peer_process(&message);
        }
        self.send_to_peer_process(&HandoverMessage::Begin);
    }

    /// Takes a message of the other process; false to end the connection.
    fn handle_peer_message(&mut self, message: HandoverMessage) -> bool {
        if let Some(inheritance) = self.peer_process.inheritance.take() {
            return self.continue_inheritance(inheritance, message);
        }
        match message {
            HandoverMessage::Serving if matches!(self.peer_process.role, Role::Older { .. }) => {
                tracing::info!("a newer process serves beside this one");
                self.set_role(Role::Older { successor_is_serving: true });
                self.maintain(clock::now());
            }
            HandoverMessage::Established(call) => self.adopt(call),
            HandoverMessage::ReleasedByCaller { tag } => {
                match Tag::new(&tag).and_then(|tag| self.clients.call_of(tag)) {
                    Some(call) => self.end_call_by_caller(call),
                    None => self.return_message(&HandoverMessage::ReleasedByCaller { tag }),
                }
            }
            HandoverMessage::EndedByServer { server, tag, completed } => {
                self.handle_ended_by_server(server, tag, completed);
            }
            HandoverMessage::PendingRelease { tag, peer, completed } => {
                if let Some(tag) = Tag::new(&tag) {
                    self.clients.release_for_peer_process(tag, peer, completed);
                }
            }
            // Out of order, or of a version that says more: nothing depends on it.
            HandoverMessage::Hello { .. }
            | HandoverMessage::Server(_)
            | HandoverMessage::Begin
            | HandoverMessage::Serving => {}
        }
        true
    }

    /// Takes the next message of an inheritance; false to end the connection.
    fn continue_inheritance(&mut self, mut inheritance: ReceivedHandover, message: HandoverMessage) -> bool {
        match inheritance.handle_message(message) {
            HandoverProgress::Incomplete => self.peer_process.inheritance = Some(inheritance),
            HandoverProgress::Complete => {
                self.inherit(inheritance);
                self.peer_process.inheritance_done.notify_one();
            }
            HandoverProgress::Refused(error) => {
                self.abandon_handover(&error);
                return false;
            }
        }
        true
    }

    /// A server ended a call whose end reached the other process.
    fn handle_ended_by_server(&mut self, server: String, tag: String, completed: bool) {
        let at = self.directory.number(&server).zip(Tag::new(&tag));
        let attempt = at.and_then(|(server, tag)| self.servers.established_at(CallAtServer { server, tag }));
        match attempt {
            Some(attempt) => {
                let outcome = if completed { Outcome::Completed } else { Outcome::Reset };
                self.end_attempt(attempt, outcome, Cause::Unspecified, LoadReport::default());
            }
            None => self.return_message(&HandoverMessage::EndedByServer { server, tag, completed }),
        }
    }

    /// Takes over what the older process knows of servers: drains that this one's list does not have yet, servers that do
    /// not answer, and waits told a moment ago.
    fn inherit(&mut self, told: ReceivedHandover) {
        let now = clock::now();
        // A list older than ours says nothing of drains: a server may have come back since.
        let as_new = told.seq.is_some_and(|seq| seq >= self.seq);
        for known in told.servers {
            let Some(server) = self.directory.number(&known.server) else { continue };
            if let (Some(since), true) = (known.draining_for, as_new && self.directory.up(server))
                && let Some(line) = self.directory.line(server)
            {
                let draining = ListedServer { status: ServerStatus::Draining, ..line.clone() };
                self.handle_list(now.saturating_sub(since), EndpointListScope::Changes, vec![draining]);
            }
            match known.load() {
                Some(SnapshotLoad::NoAnswer) => {
                    self.feed(Input::Load { server, answered: false, load: LoadReport::default() });
                }
                Some(SnapshotLoad::Reported(load)) => self.feed(Input::Load { server, answered: true, load }),
                None => {}
            }
        }
        tracing::info!("an older process runs beside this one, and has told what it knows");
    }

    /// Does without the other process.
    fn abandon_handover(&mut self, why: &dyn std::fmt::Display) {
        tracing::warn!(why = why.to_string(), "the upgrade's hand-over is left out");
        self.peer_process.inheritance = None;
        self.peer_process.inheritance_done.notify_one();
        if let Some(outbox) = self.peer_process.outbox.take() {
            outbox.close();
        }
        self.set_role(Role::Alone);
    }

    fn handle_peer_process_gone(&mut self, outbox: &Rc<Outbox>) {
        if !self.peer_process.outbox.as_ref().is_some_and(|held| Rc::ptr_eq(held, outbox)) {
            return;
        }
        tracing::info!("the other process at this address is gone");
        self.peer_process.outbox = None;
        self.peer_process.inheritance = None;
        self.peer_process.inheritance_done.notify_one();
        self.set_role(Role::Alone);
    }

    /// A call that stands at the older process is ours from now on.
    fn adopt(&mut self, standing: EstablishedCall) {
        let Some(tag) = Tag::new(&standing.tag).filter(|tag| self.clients.call_of(*tag).is_none()) else {
            return;
        };
        let class = self.clients.class_index(&standing.class).unwrap_or(usize::MAX);
        let Some(server) = self.directory.number(&standing.server) else {
            // Its server is not in our list: gone, and the call with it.
            return self.clients.release_for_peer_process(tag, standing.peer, false);
        };
        let call = self.clients.adopt(tag, class, standing.peer);
        let attempt = self.servers.adopt(CallAtServer { server, tag }, call);
        let wire_id = tag.to_string().into();
        self.feed(Input::CallAdopted(AdoptedCall { attempt, wire_id, class, server }));
    }

    /// Hands calls that stand over to the newer process, as many as it reads at once. A call at a server that drains
    /// stays: such a server listens no more, so the newer process gets no connection on which it could hear of the
    /// call's end, and takes the refused dial for the server's end.
    pub(super) fn hand_over(&mut self) {
        if !self.driver.serving_state.is_handing_over() {
            return;
        }
        let Some(outbox) = self.peer_process.outbox.clone() else { return };
        for call in self.driver.gateway.established_call_ids() {
            if outbox.queued_bytes() > MAX_UNREAD_BYTES {
                return; // the rest follows when this is written
            }
            self.hand_over_one(call, &outbox);
        }
    }

    fn hand_over_one(&mut self, call: CallId, outbox: &Outbox) {
        let (Some(caller), Some(CallAtServer { server, tag })) =
            (self.clients.caller(call), self.servers.call_at_server(call))
        else {
            return;
        };
        if !self.directory.up(server) {
            return;
        }
        let word = HandoverMessage::Established(EstablishedCall {
            tag: tag.to_string(),
            server: self.directory.name(server).to_string(),
            class: self.clients.class_name(caller.class).to_string(),
            peer: caller.peer,
        });
        if outbox.push(&word.to_line()).is_some() {
            self.servers.remove_call(call);
            self.clients.remove_call(call);
            self.feed(Input::CallHandedOver(call));
        }
    }

    /// A message on a call that is not here. It may have been sent to the newer process while the call was on its way there: the
    /// older one returns it once, and by then the call has arrived before it.
    fn return_message(&mut self, message: &HandoverMessage) {
        if self.driver.serving_state.is_handing_over() {
            self.send_to_peer_process(message);
        }
    }
}
