//! The SIP front: a back-to-back user agent (RFC 3261) whose calls pass the core that the platform's front uses.
//!
//! Towards callers it is a user agent server (`clients`), towards servers a user agent client (`servers`); each
//! attempt has a Call-ID of its own, so that a late message of an old attempt is never taken for a new one's.
//! `message`, `transport`, `transaction` and `dialog` are the layers of the RFC.

mod clients;
pub mod dialog;
pub mod message;
mod servers;
pub mod transaction;
mod transport;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

use crate::clock::{self, log};
use crate::config::SipConfig;
use crate::gateway::{AttemptId, Command, Gateway, Input};
use crate::list::{Directory, Listed, resolver};
use crate::{CallId, ListScope, Micros, ServerId};

use clients::Caller;
use dialog::Dialog;
use message::{Message, param};
use servers::Leg;
use transaction::{Client, Due, Server, Times};
use transport::{Peer, Transport};

/// The front looks after its transactions at least this often.
const CARE: Micros = 20_000;
/// What is queued at the end may take this long to be written.
const LAST_WORDS: Duration = Duration::from_millis(150);
/// Standing calls may go on this long after SIGTERM.
const STOP_MOST: Micros = 3_000_000;

/// What we do for a request, by its method.
const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

type Shared = Rc<RefCell<Front>>;

/// A server transaction's key (§17.2.3): branch, sent-by, and method.
type ServerKey = (String, String, String);
/// A client transaction's key (§17.1.3): branch and method.
type ClientKey = (String, String);
/// A dialog's key: Call-ID and our own tag.
type DialogKey = (String, String);

/// Whose dialog it is.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Caller(CallId),
    Leg(AttemptId),
}

/// What a client transaction is for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Invite(AttemptId),
    Probe(ServerId),
    /// CANCEL and BYE: whatever the answer, there is nothing more to do.
    Plain,
}

struct ClientTransaction {
    machine: Client,
    purpose: Purpose,
    peer: Peer,
    request: Message,
    bytes: Bytes,
    /// The ACK of its final response, where that was not a 2xx.
    ack: Option<Bytes>,
}

struct ServerTransaction {
    machine: Server,
    peer: Peer,
    request: Rc<Message>,
    last: Bytes,
    call: Option<CallId>,
}

/// The front's state; one task at a time has it, and none keeps it while it waits.
pub struct Front {
    gateway: Gateway,
    directory: Directory,
    transport: Transport,
    times: Times,
    /// Servers are spoken to over TCP.
    over_tcp: bool,
    wait: Micros,
    drain_grace: Micros,
    classes: Vec<String>,
    server_txns: HashMap<ServerKey, ServerTransaction>,
    client_txns: HashMap<ClientKey, ClientTransaction>,
    dialogs: HashMap<DialogKey, Owner>,
    callers: HashMap<CallId, Caller>,
    legs: BTreeMap<AttemptId, Leg>,
    probes: BTreeMap<ServerId, Micros>,
    gone: BTreeMap<ServerId, Micros>,
    next_call: u64,
    names: u64,
    inputs: VecDeque<Input>,
    commands: Vec<Command>,
    me: Weak<RefCell<Front>>,
    wake: Rc<Notify>,
    stopping: Option<Micros>,
}

/// Serves until it is told to stop and has nothing left to do.
pub async fn serve(config: SipConfig, stop: impl Future<Output = ()>) -> Result<(), String> {
    let named = |what: &str, e: std::io::Error| format!("cannot listen on {what}: {e}");
    let udp = UdpSocket::bind(config.udp).await.map_err(|e| named("udp", e))?;
    let tcp = TcpListener::bind(config.tcp).await.map_err(|e| named("tcp", e))?;
    let (udp_address, tcp_address) = (udp.local_addr(), tcp.local_addr());
    let udp_address = udp_address.map_err(|e| named("udp", e))?;
    let tcp_address = tcp_address.map_err(|e| named("tcp", e))?;
    log(&format!("{} serves SIP on udp {udp_address} and tcp {tcp_address}", config.name));
    let udp = Rc::new(udp);
    let dial = Duration::from_micros(config.dial_timeout.max(1_000));
    let transport = Transport::new(udp.clone(), udp_address, tcp_address, dial);
    let front = Front::start(&config, transport);
    let wake = front.borrow().wake.clone();
    let follow = async {
        let service = resolver::Service::DnsSd(config.service.clone());
        let on_list = |_, list| front.borrow_mut().take_list(list);
        resolver::follow(config.dns, service, None, on_list).await;
    };
    let longest = config.wait.max(STOP_MOST);
    tokio::select! {
        () = transport::read_datagrams(front.clone(), udp) => {}
        () = transport::accept(front.clone(), tcp) => {}
        () = follow => {}
        () = keep_time(front.clone(), wake, longest) => {}
        () = async { stop.await; front.borrow_mut().stop(); std::future::pending().await } => {}
    }
    tokio::time::sleep(LAST_WORDS).await;
    Ok(())
}

/// Gives the core and the transactions their ticks; returns once the front has stopped.
async fn keep_time(front: Shared, wake: Rc<Notify>, longest: Micros) {
    loop {
        let now = clock::now();
        let due = {
            let mut front = front.borrow_mut();
            front.feed(Input::Tick);
            front.care(now);
            if front.stopped(now, longest) {
                front.feed(Input::Close);
                return;
            }
            front.gateway.next_due().unwrap_or(Micros::MAX).min(now + CARE)
        };
        let wait = Duration::from_micros(due.saturating_sub(clock::now()));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = wake.notified() => {}
        }
    }
}

impl Front {
    fn start(config: &SipConfig, transport: Transport) -> Shared {
        Rc::new_cyclic(|me| {
            RefCell::new(Front {
                gateway: Gateway::new(config.settings.clone(), config.seed),
                directory: Directory::default(),
                transport,
                times: Times { t1: config.t1 },
                over_tcp: config.service.split('.').any(|label| label == "_tcp"),
                wait: config.wait,
                drain_grace: config.settings.rules.drain_grace,
                classes: config.classes.clone(),
                server_txns: HashMap::new(),
                client_txns: HashMap::new(),
                dialogs: HashMap::new(),
                callers: HashMap::new(),
                legs: BTreeMap::new(),
                probes: BTreeMap::new(),
                gone: BTreeMap::new(),
                next_call: 0,
                names: config.seed ^ clock::now(),
                inputs: VecDeque::new(),
                commands: Vec::new(),
                me: me.clone(),
                wake: Rc::new(Notify::new()),
                stopping: None,
            })
        })
    }

    fn shared(&self) -> Shared {
        self.me.upgrade().expect("the front is only reached through its shared handle")
    }

    /// A name that was not used before, for tags, branches and Call-IDs (splitmix64).
    fn new_name(&mut self) -> String {
        self.names = self.names.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.names;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", z ^ (z >> 31))
    }

    /// Gives the core one input and carries out all that comes of it.
    fn feed(&mut self, input: Input) {
        let before = self.gateway.next_due();
        self.inputs.push_back(input);
        while let Some(input) = self.inputs.pop_front() {
            let mut commands = std::mem::take(&mut self.commands);
            self.gateway.handle(clock::now(), input, &mut commands);
            for command in commands.drain(..) {
                self.carry_out(command);
            }
            self.commands = commands;
        }
        self.start_dials();
        let due = self.gateway.next_due();
        if due.is_some_and(|due| before.is_none_or(|before| due < before)) {
            self.wake.notify_one();
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send { attempt, server, left, description } => {
                self.invite(attempt, server, left, description);
            }
            Command::GiveUp { attempt, .. } => self.give_up(attempt),
            Command::Release { attempt, .. } => self.release(attempt),
            Command::Answer { call, description } => self.answer(call, description),
            Command::Refuse { call, wait } => self.refuse(call, wait),
            Command::Fail { call } => self.fail(call),
            Command::Over { call, .. } => self.over(call),
            Command::Probe(server) => self.probe(server),
            Command::CloseIdle(_) => {}
            Command::Note(text) => log(&text),
            Command::Warn(text) => log(&format!("guard: {text}")),
        }
    }

    fn take_list(&mut self, list: Vec<Listed>) {
        let now = clock::now();
        let scope = ListScope::Whole;
        let (entries, changes) = self.directory.learn(scope, list);
        self.feed(Input::List { scope, entries });
        for server in &changes.closed {
            log(&format!("server {} takes nothing new", self.directory.name(*server)));
            self.stop_repeats(*server, now);
        }
        for (server, at) in &changes.restarted {
            self.lost(*server, *at);
        }
        for server in &changes.gone {
            self.gone.insert(*server, now + servers::LAST_RELEASES);
        }
    }

    /// A server's process has ended: nothing more is to be sent to what it held.
    fn lost(&mut self, server: ServerId, at: Micros) {
        self.forget_legs(server, at);
        self.feed(Input::Lost { server, at });
    }

    fn stop(&mut self) {
        log("stopping");
        self.stopping = Some(clock::now());
    }

    fn stopped(&self, now: Micros, longest: Micros) -> bool {
        let Some(since) = self.stopping else { return false };
        let nothing_left = self.gateway.open_calls() == 0 && self.gateway.standing_calls() == 0;
        nothing_left || now >= since + longest
    }

    // ---- Transactions ----

    /// Takes a message that could be framed.
    fn received(&mut self, from: Peer, message: Message) {
        match (message.fault(), message.method().is_some()) {
            (Some(_), true) => self.malformed(from, message),
            (None, true) => self.request(from, message),
            (None, false) => self.response(message),
            (Some(_), false) => {} // nobody can be told
        }
        self.start_dials();
    }

    /// Answers 400 to a request whose sender can be told, and drops the rest. An ACK has no answer.
    fn malformed(&mut self, from: Peer, mut message: Message) {
        let told = message.method().is_some_and(|m| m != "ACK") && message.get("CSeq").is_some();
        if !told || message.top_via().and_then(message::sent_by).is_none() {
            return;
        }
        let to = note_source(&mut message, from);
        let tag = self.new_name();
        let response = Message::response(&message, 400, Some(&tag));
        self.transport.send(to, "", response.to_bytes());
    }

    /// Sends a request in a client transaction of its own; the Via is put on top here.
    fn start_client(&mut self, peer: Peer, mut request: Message, purpose: Purpose, branch: String) {
        let now = clock::now();
        let method = request.method().unwrap_or_default().to_string();
        request.headers.insert(0, ("Via".to_string(), self.via(peer, &branch)));
        let bytes = request.to_bytes();
        let peer = self.transport.send(peer, &branch, bytes.clone());
        let machine = Client::new(now, method == "INVITE", peer.reliable(), self.times);
        let transaction = ClientTransaction { machine, purpose, peer, request, bytes, ack: None };
        self.client_txns.insert((branch, method), transaction);
    }

    fn via(&self, peer: Peer, branch: &str) -> String {
        match peer {
            Peer::Udp(_) => format!("SIP/2.0/UDP {};branch={branch};rport", self.transport.udp_address),
            Peer::Tcp(..) => format!("SIP/2.0/TCP {};branch={branch}", self.transport.tcp_address),
        }
    }

    fn contact(&self, peer: Peer) -> String {
        match peer {
            Peer::Udp(_) => format!("<sip:{}>", self.transport.udp_address),
            Peer::Tcp(..) => format!("<sip:{};transport=tcp>", self.transport.tcp_address),
        }
    }

    fn new_branch(&mut self) -> String {
        format!("z9hG4bK{}", self.new_name())
    }

    /// Sends a request of a dialog, outside the core's book: a BYE.
    fn bye(&mut self, peer: Peer, dialog: &mut Dialog) {
        let branch = self.new_branch();
        let request = dialog.request("BYE");
        self.start_client(peer, request, Purpose::Plain, branch);
    }

    /// Sends a response in its server transaction, unless that has had its final one.
    fn respond(&mut self, key: &ServerKey, response: Message) -> bool {
        let now = clock::now();
        let Some(transaction) = self.server_txns.get_mut(key) else { return false };
        if !transaction.machine.respond(now, response.code().unwrap_or(500)) {
            return false;
        }
        transaction.last = response.to_bytes();
        transaction.peer = self.transport.send(transaction.peer, "", transaction.last.clone());
        true
    }

    /// Runs everything that is due.
    fn care(&mut self, now: Micros) {
        let due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let clients: Vec<ClientKey> = self
            .client_txns
            .iter()
            .filter(|(_, t)| due(t.machine.due()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in clients {
            self.client_tick(&key, now);
        }
        let servers: Vec<ServerKey> = self
            .server_txns
            .iter()
            .filter(|(_, t)| due(t.machine.due()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in servers {
            let Some(transaction) = self.server_txns.get_mut(&key) else { continue };
            if transaction.machine.tick(now) == Due::Resend {
                self.transport.send(transaction.peer, "", transaction.last.clone());
            }
            if transaction.machine.state == transaction::State::Terminated {
                self.server_txns.remove(&key);
            }
        }
        self.care_for_callers(now);
        self.care_for_legs(now);
        self.start_dials();
    }
}

/// Notes on a request's topmost Via where it came from (§18.2.1, RFC 3581) and says where its responses go.
fn note_source(request: &mut Message, from: Peer) -> Peer {
    let Some(via) = request.top_via().map(str::to_string) else { return from };
    let port = message::sent_by(&via).map_or(5060, |(_, port)| port);
    match from {
        Peer::Udp(source) => {
            let wants_port = param(&via, "rport").is_some();
            let parts = via
                .split(';')
                .filter(|p| !p.trim().starts_with("rport") && !p.trim().starts_with("received"));
            let mut noted = parts.collect::<Vec<_>>().join(";");
            noted.push_str(&format!(";received={}", source.ip()));
            if wants_port {
                noted.push_str(&format!(";rport={}", source.port()));
            }
            request.set_top_via(&noted);
            Peer::Udp((source.ip(), if wants_port { source.port() } else { port }).into())
        }
        // The connection is used while it is open; then sent-by is dialled (§18.2.2).
        Peer::Tcp(source, conn) => Peer::Tcp((source.ip(), port).into(), conn),
    }
}
