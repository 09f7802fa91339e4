//! The connection to the other process of an upgrade: a Unix socket whose name contains the clients' address, and the
//! handling of the messages that arrive on it. `operate::handover` defines the messages and their order. If there is
//! no other process, or its messages cannot be read, this process works without it.

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
    EstablishedCall, HandoverMessage, HandoverProgress, MAX_LINE_BYTES, REVISION, ReceivedHandover, Role,
    ServerSnapshot, SnapshotLoad, Successor, VERSION,
};
use crate::{CallId, Cause, EndpointListScope, LoadReport, Outcome, ServerStatus};

use super::clients::OtherProcess;
use super::line::Tag;
use super::servers::CallKey;
use super::{PlatformFrontend, SharedFrontend};

/// How long the new process waits for the old one's state before it starts without it.
const INHERITANCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time from the first byte of a message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// No further calls are handed over while more than this is queued for the other process. The bound is far below that
/// of an outbox, at which the connection would be closed.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// The state of the connection to the other process.
#[derive(Default)]
pub(super) struct PeerProcess {
    pub(super) role: Role,
    outbox: Option<Rc<Outbox>>,
    /// The part of the old process's state received so far; `None` once it was applied or abandoned.
    inheritance: Option<ReceivedHandover>,
    /// Notified when `inheritance` was applied or abandoned.
    inheritance_done: Rc<Notify>,
}

/// This process's upgrade socket, bound under a private name.
pub(super) struct UpgradeSocket {
    listener: UnixListener,
    /// The private name: it contains the process id.
    own_path: PathBuf,
    /// The name to which the next process connects.
    shared_path: PathBuf,
}

/// The path of the upgrade socket for a clients' address. `None` if `TMPDIR` is not set, or if the port is chosen by
/// the system, because then the next process does not listen on the same address.
fn socket_path(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    (address.port() != 0).then(|| PathBuf::from(folder).join(format!("cobaltspool-{address}.upgrade")))
}

/// Binds the upgrade socket and, if an older process serves this address, receives its state. No failure here
/// prevents this process from starting.
pub(super) async fn receive_from_older(
    frontend: &SharedFrontend,
    address: SocketAddr,
) -> Option<UpgradeSocket> {
    let shared_path = socket_path(address)?;
    let own_path = shared_path.with_extension(format!("upgrade.{}", std::process::id()));
    let _ = std::fs::remove_file(&own_path); // left behind by a process with the same id
    let bound = UnixListener::bind(&own_path);
    let restrict_to_owner =
        |path: &Path| std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600));
    let listener = match bound.and_then(|listener| restrict_to_owner(&own_path).map(|()| listener)) {
        Ok(listener) => listener,
        Err(e) => {
            tracing::info!(error = %e, path = %shared_path.display(), "no hand-over: cannot create socket");
            return None;
        }
    };
    let upgrade_socket = UpgradeSocket { listener, own_path, shared_path };
    let older = timeout(INHERITANCE_TIMEOUT, UnixStream::connect(&upgrade_socket.shared_path)).await;
    let Ok(Ok(stream)) = older else { return Some(upgrade_socket) };
    if !is_same_user(&stream, &upgrade_socket.own_path) {
        let path = upgrade_socket.shared_path.display();
        tracing::warn!(%path, "no hand-over: the upgrade socket belongs to another user");
        return Some(upgrade_socket);
    }
    let inheritance_done = frontend.borrow().peer_process.inheritance_done.clone();
    frontend.borrow_mut().peer_process.inheritance = Some(ReceivedHandover::default());
    tokio::task::spawn_local(run_connection(frontend.clone(), stream, Role::Newer));
    if timeout(INHERITANCE_TIMEOUT, inheritance_done.notified()).await.is_err() {
        frontend.borrow_mut().abandon_inheritance(&"the older process did not send its state in time");
    }
    Some(upgrade_socket)
}

/// Whether the process at the other end runs as the owner of `own_path`, which is this process's user.
fn is_same_user(stream: &UnixStream, own_path: &Path) -> bool {
    let owner = std::fs::metadata(own_path).map(|m| m.uid());
    stream.peer_cred().is_ok_and(|peer| owner.is_ok_and(|uid| uid == peer.uid()))
}

/// Notifies the older process that this one serves, then accepts connections of newer processes. Never returns.
pub(super) async fn accept_newer(frontend: SharedFrontend, upgrade_socket: Option<UpgradeSocket>) {
    frontend.borrow_mut().send_to_peer_process(&HandoverMessage::Serving { revision: REVISION });
    let Some(UpgradeSocket { listener, own_path, shared_path }) = upgrade_socket else {
        return std::future::pending().await;
    };
    // From here on the next process can connect to this one.
    if let Err(e) = std::fs::rename(&own_path, &shared_path) {
        tracing::info!(error = %e, "no hand-over: cannot rename the upgrade socket");
        return std::future::pending().await;
    }
    loop {
        match listener.accept().await {
            // One upgrade at a time: a further process is disconnected and starts without a hand-over.
            Ok((stream, _))
                if is_same_user(&stream, &shared_path) && frontend.borrow().peer_process.outbox.is_none() =>
            {
                let role = Role::Older { successor: None };
                frontend.borrow_mut().peer_process.role = role;
                tokio::task::spawn_local(run_connection(frontend.clone(), stream, role));
                tokio::task::yield_now().await;
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn run_connection(frontend: SharedFrontend, mut stream: UnixStream, role: Role) {
    let outbox = Rc::new(Outbox::default());
    frontend.borrow_mut().attach_peer_process(outbox.clone(), role);
    let on_bytes = |buffer: &mut BytesMut| {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let message = HandoverMessage::from_line(&buffer[..end]);
            buffer.advance(end + 1);
            if !message.is_some_and(|message| frontend.borrow_mut().handle_peer_message(message)) {
                return false;
            }
        }
        buffer.len() < MAX_LINE_BYTES
    };
    let on_drained = || frontend.borrow_mut().hand_over_calls();
    let _ = link::run(&mut stream, &outbox, MESSAGE_TIMEOUT, on_bytes, on_drained).await;
    outbox.flush_without_blocking(&stream);
    frontend.borrow_mut().handle_peer_process_end(&outbox);
}

impl PlatformFrontend {
    fn attach_peer_process(&mut self, outbox: Rc<Outbox>, role: Role) {
        self.peer_process.outbox = Some(outbox);
        self.set_role(role);
        if matches!(role, Role::Older { .. }) {
            self.send_inheritance();
        }
    }

    /// Sets this process's role and everything that depends on it: which resources are shared, and the successor.
    fn set_role(&mut self, role: Role) {
        self.peer_process.role = role;
        self.driver.serving_state.set_successor(role.has_successor());
        self.driver.gateway.set_limits_shared(role.is_shared());
        self.clients.set_shared(role.is_shared());
        let outbox = self.peer_process.outbox.clone();
        if !role.is_shared() {
            self.servers.handed_over.clear();
        }
        self.clients.set_other_process(outbox.and_then(|outbox| OtherProcess::for_role(role, outbox)));
    }

    pub(super) fn send_to_peer_process(&mut self, message: &HandoverMessage) {
        if let Some(outbox) = &self.peer_process.outbox {
            outbox.push(&message.to_line());
        }
    }

    fn send_inheritance(&mut self) {
        let now = clock::now();
        self.send_to_peer_process(&HandoverMessage::Hello { version: VERSION, seq: self.list_seq });
        for server in self.directory.servers().collect::<Vec<_>>() {
            let snapshot = self.driver.gateway.server_snapshot(server);
            let report = snapshot.last_reported_wait;
            let message = HandoverMessage::Server(ServerSnapshot {
                server: self.directory.name(server).to_string(),
                draining_for: snapshot.draining_since.map(|since| now.saturating_sub(since)),
                is_ejected: snapshot.is_ejected,
                last_report: report.map(|report| (now.saturating_sub(report.at), report.wait_ms)),
            });
            self.send_to_peer_process(&message);
        }
        self.send_to_peer_process(&HandoverMessage::Begin);
    }

    /// Handles a message of the other process; false to end the connection.
    fn handle_peer_message(&mut self, message: HandoverMessage) -> bool {
        if let Some(inheritance) = self.peer_process.inheritance.take() {
            return self.continue_inheritance(inheritance, message);
        }
        match message {
            HandoverMessage::Serving { revision } if matches!(self.peer_process.role, Role::Older { .. }) => {
                tracing::info!("a newer process serves beside this one");
                self.set_role(Role::Older { successor: Some(Successor { revision }) });
                self.maintain(clock::now());
            }
            HandoverMessage::Established(call) => self.adopt_call(call),
            HandoverMessage::ReleasedByCaller { tag } => {
                match Tag::parse(&tag).and_then(|tag| self.clients.call_by_tag(tag)) {
                    Some(call) => self.end_call_by_caller(call),
                    None => self.return_message(&HandoverMessage::ReleasedByCaller { tag }),
                }
            }
            HandoverMessage::EndedByServer { server, tag, completed } => {
                self.handle_ended_by_server(server, tag, completed);
            }
            HandoverMessage::PendingRelease { tag, peer, completed, expires_in } => {
                if let Some(tag) = Tag::parse(&tag) {
                    self.clients.take_over_release(tag, peer, completed, expires_in);
                }
            }
            HandoverMessage::CallerConnected { peer } => self.clients.pass_pending_releases_of(peer),
            // Out of order, or sent by another version: ignored.
            HandoverMessage::Hello { .. }
            | HandoverMessage::Server(_)
            | HandoverMessage::Begin
            | HandoverMessage::Serving { .. } => {}
        }
        true
    }

    /// Handles the next message of the old process's state; false to end the connection.
    fn continue_inheritance(&mut self, mut inheritance: ReceivedHandover, message: HandoverMessage) -> bool {
        match inheritance.handle_message(message) {
            HandoverProgress::Incomplete => self.peer_process.inheritance = Some(inheritance),
            HandoverProgress::Complete => {
                self.apply_inheritance(inheritance);
                self.peer_process.inheritance_done.notify_one();
            }
            HandoverProgress::Refused(error) => {
                self.abandon_inheritance(&error);
                return false;
            }
        }
        true
    }

    /// Handles the end of a call whose message from the server arrived at the other process.
    fn handle_ended_by_server(&mut self, server: String, tag: String, completed: bool) {
        let key = self.directory.server_id(&server).zip(Tag::parse(&tag));
        let attempt = key.and_then(|(server, tag)| self.servers.established_attempt(CallKey { server, tag }));
        match attempt {
            Some(attempt) => {
                let outcome = if completed { Outcome::Completed } else { Outcome::Reset };
                self.end_attempt(attempt, outcome, Cause::Unspecified, LoadReport::default());
            }
            None => self.return_message(&HandoverMessage::EndedByServer { server, tag, completed }),
        }
    }

    /// Applies the older process's state of the servers: drains that are not in this process's list yet, servers that
    /// do not answer, and recently reported waits.
    fn apply_inheritance(&mut self, inheritance: ReceivedHandover) {
        let now = clock::now();
        // Drains from an older list than this process's are ignored: the server may have returned since.
        let list_is_current = inheritance.seq.is_some_and(|seq| seq >= self.list_seq);
        for known in inheritance.servers {
            let Some(server) = self.directory.server_id(&known.server) else { continue };
            if let (Some(since), true) = (known.draining_for, list_is_current && self.directory.is_up(server))
                && let Some(line) = self.directory.get(server)
            {
                let draining = ListedServer { status: ServerStatus::Draining, ..line.clone() };
                self.handle_endpoint_list(
                    now.saturating_sub(since),
                    EndpointListScope::Changes,
                    vec![draining],
                );
            }
            match known.load() {
                Some(SnapshotLoad::NoAnswer) => {
                    self.feed(Input::Load { server, answered: false, load: LoadReport::default() });
                }
                Some(SnapshotLoad::Reported(load)) => self.feed(Input::Load { server, answered: true, load }),
                None => {}
            }
        }
        tracing::info!("took over the server state of the older process at this address");
    }

    /// Gives up the hand-over and continues without the other process.
    fn abandon_inheritance(&mut self, reason: &dyn std::fmt::Display) {
        tracing::warn!(why = reason.to_string(), "no hand-over: the older process's state is not used");
        self.peer_process.inheritance = None;
        self.peer_process.inheritance_done.notify_one();
        if let Some(outbox) = self.peer_process.outbox.take() {
            outbox.close();
        }
        self.set_role(Role::Alone);
    }

    fn handle_peer_process_end(&mut self, outbox: &Rc<Outbox>) {
        if !self.peer_process.outbox.as_ref().is_some_and(|current| Rc::ptr_eq(current, outbox)) {
            return;
        }
        tracing::info!("the other process at this address is gone");
        self.peer_process.outbox = None;
        self.peer_process.inheritance = None;
        self.peer_process.inheritance_done.notify_one();
        self.set_role(Role::Alone);
        self.schedule_redials_after_handover();
    }

    /// Takes over an established call from the older process.
    fn adopt_call(&mut self, established: EstablishedCall) {
        let Some(tag) = Tag::parse(&established.tag).filter(|tag| self.clients.call_by_tag(*tag).is_none())
        else {
            return;
        };
        let class = self.clients.class_index(&established.class).unwrap_or(usize::MAX);
        let Some(server) = self.directory.server_id(&established.server) else {
            // Its server is not in this process's list: it was removed, and the call was lost with it.
            return self.clients.release_unknown_call(tag, established.peer);
        };
        let call = self.clients.adopt_call(tag, class, established.peer);
        let attempt = self.servers.adopt_call(CallKey { server, tag }, call);
        let wire_id = tag.to_string().into();
        self.feed(Input::CallAdopted(AdoptedCall { attempt, wire_id, class, server }));
    }

    /// Hands established calls over to the newer process, as fast as it reads them. Calls at draining servers are not
    /// handed over: a draining server no longer listens, so the newer process could not connect to it and receive the
    /// calls' ends, and would take the refused connection for the end of the server.
    pub(super) fn hand_over_calls(&mut self) {
        if !self.driver.serving_state.is_handing_over() {
            return;
        }
        let Some(outbox) = self.peer_process.outbox.clone() else { return };
        for call in self.driver.gateway.established_call_ids() {
            if outbox.queued_bytes() > MAX_UNREAD_BYTES {
                return; // the rest follows when the outbox has drained
            }
            self.hand_over_call(call, &outbox);
        }
    }

    fn hand_over_call(&mut self, call: CallId, outbox: &Outbox) {
        let (Some(caller), Some(CallKey { server, tag })) =
            (self.clients.caller(call), self.servers.call_key(call))
        else {
            return;
        };
        if !self.directory.is_up(server) {
            return;
        }
        let message = HandoverMessage::Established(EstablishedCall {
            tag: tag.to_string(),
            server: self.directory.name(server).to_string(),
            class: self.clients.class_name(caller.class).to_string(),
            peer: caller.peer,
        });
        if outbox.push(&message.to_line()).is_some() {
            self.servers.remove_call(call);
            self.servers.handed_over.insert(CallKey { server, tag });
            self.clients.remove_call(call);
            self.feed(Input::CallHandedOver(call));
        }
    }

    /// Returns a message about a call that is unknown here to the newer process, if this process is handing over. The
    /// newer process may have received it while the call was being handed over. The call was sent first, so the
    /// returned message arrives after it. Only the older process returns messages, so none is returned twice.
    fn return_message(&mut self, message: &HandoverMessage) {
        if self.driver.serving_state.is_handing_over() {
            self.send_to_peer_process(message);
        }
    }
}
