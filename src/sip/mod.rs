//! The SIP frontend: a back-to-back user agent (RFC 3261) whose calls pass the core that the platform's frontend uses.
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
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use crate::clock;
use crate::config::SipConfig;
use crate::driver::{self, Driver, Frontend as _};
use crate::gateway::{AttemptId, Command, Gateway, Input};
use crate::limits::{Limiter, Plan};
use crate::list::{Directory, ListedServer, resolver};
use crate::operate::AdminService;
use crate::operate::serving_state::ClientConnections;
use crate::{CallId, EndpointListScope, Micros, ServerId};

use clients::Caller;
use dialog::Dialog;
use message::{Message, param};
use servers::Leg;
use transaction::{ClientMachine, ServerMachine, TimerAction, Timers};
use transport::{Peer, Transport};

/// What we do for a request, by its method.
const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

type Shared = Rc<RefCell<SipFrontend>>;

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
    machine: ClientMachine,
    purpose: Purpose,
    peer: Peer,
    request: Message,
    bytes: Bytes,
    /// The ACK of its final response, where that was not a 2xx.
    ack: Option<Bytes>,
    /// How often it has moved to another connection because its own ended.
    moves: u32,
}

struct ServerTransaction {
    machine: ServerMachine,
    peer: Peer,
    request: Rc<Message>,
    last: Bytes,
    call: Option<CallId>,
}

/// The frontend's state; one task at a time has it, and none keeps it while it waits.
pub struct SipFrontend {
    driver: Driver,
    directory: Directory,
    transport: Transport,
    timers: Timers,
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
    /// When servers were told to be gone, and when their calls count as cut.
    gone: BTreeMap<ServerId, (Micros, Micros)>,
    next_call: u64,
    names: u64,
    me: Weak<RefCell<SipFrontend>>,
}

/// An address for SIP cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {transport}: {source}")]
pub struct ListenError {
    transport: &'static str,
    source: std::io::Error,
}

/// Serves until it is told to stop and has nothing left to do. `resolver` tells whom to ask for the list.
pub async fn serve(
    config: SipConfig,
    resolver: watch::Receiver<SocketAddr>,
    plan: driver::LimitPlanReceiver,
    admin: Rc<AdminService>,
    stop: impl Future<Output = ()>,
) -> Result<(), ListenError> {
    let named = |transport, source| ListenError { transport, source };
    let udp = UdpSocket::bind(config.udp).await.map_err(|e| named("udp", e))?;
    let tcp = TcpListener::bind(config.tcp).await.map_err(|e| named("tcp", e))?;
    let (udp_address, tcp_address) = (udp.local_addr(), tcp.local_addr());
    let udp_address = udp_address.map_err(|e| named("udp", e))?;
    let tcp_address = tcp_address.map_err(|e| named("tcp", e))?;
    tracing::info!(name = config.name, udp = %udp_address, tcp = %tcp_address, "serves SIP");
    let udp = Rc::new(udp);
    let dial = Duration::from_micros(config.dial_timeout.max(1_000));
    let transport = Transport::new(udp.clone(), udp_address, tcp_address, dial);
    let frontend = SipFrontend::start(&config, plan.borrow().clone(), transport);
    let follow = async {
        let service = resolver::Service::DnsSd(config.service.clone());
        let on_list = |asked, _, list| frontend.borrow_mut().take_list(asked, list);
        let heard = frontend.borrow().driver.last_list_response_at.clone();
        resolver::follow(resolver, service, None, &heard, on_list).await;
    };
    let tasks = async {
        tokio::join!(
            transport::read_datagrams(frontend.clone(), udp),
            transport::accept(frontend.clone(), tcp),
            follow,
            driver::follow_limits(&frontend, plan)
        )
    };
    driver::run(frontend.clone(), admin, tasks, stop).await;
    Ok(())
}

impl SipFrontend {
    fn start(config: &SipConfig, plan: Option<Rc<Plan>>, transport: Transport) -> Shared {
        let limits = Limiter::from_plan_or_settings(plan, &config.settings, &config.classes, config.seed);
        let gateway = Gateway::with_limits(config.settings.clone(), limits, config.seed);
        let driver = Driver::new(gateway, config.classes.clone(), config.wait);
        Rc::new_cyclic(|me| {
            RefCell::new(SipFrontend {
                driver,
                directory: Directory::default(),
                transport,
                timers: Timers { t1: config.t1 },
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
                me: me.clone(),
            })
        })
    }

    fn shared(&self) -> Shared {
        self.me.upgrade().expect("the frontend is only reached through its shared handle")
    }

    /// A name that was not used before, for tags, branches and Call-IDs (splitmix64).
    fn new_name(&mut self) -> String {
        self.names = self.names.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.names;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", z ^ (z >> 31))
    }

    fn take_list(&mut self, told: Micros, list: Vec<ListedServer>) {
        let now = clock::now();
        let scope = EndpointListScope::Complete;
        self.driver.list_received_at = Some(now);
        let (entries, changes) = self.directory.apply(scope, list);
        for server in self.directory.servers().collect::<Vec<_>>() {
            // It is another process: what the one before held is cut, and nothing of what comes now.
            if let Some((at, _)) = self.gone.remove(&server) {
                self.lost(server, at);
            }
        }
        self.feed(Input::EndpointList { notified_at: told, scope, entries });
        for server in &changes.closed {
            tracing::info!(server = self.directory.name(*server), "takes nothing new");
            self.stop_repeats(*server, told);
        }
        for (server, at) in &changes.restarted {
            self.lost(*server, *at);
        }
        for server in &changes.removed {
            self.gone.insert(*server, (now, now + servers::LAST_RELEASES));
        }
    }

    /// A server's process has ended: nothing more is to be sent to what it held.
    fn lost(&mut self, server: ServerId, at: Micros) {
        self.forget_legs(server, at);
        self.feed(Input::ServerTerminated { server, at });
    }

    // ---- Transactions ----

    /// Takes a message that could be framed.
    fn received(&mut self, from: Peer, message: Message) {
        match (message.validation_error(), message.method().is_some()) {
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
        let machine = ClientMachine::new(now, method == "INVITE", peer.reliable(), self.timers);
        let transaction = ClientTransaction { machine, purpose, peer, request, bytes, ack: None, moves: 0 };
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

    /// Sends a request of a dialog, that the core does not track: a BYE.
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

    /// Runs the transactions' timers that are due.
    fn care_for_transactions(&mut self, now: Micros) {
        let due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let clients: Vec<ClientKey> = self
            .client_txns
            .iter()
            .filter(|(_, t)| due(t.machine.next_timer_at()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in clients {
            self.client_tick(&key, now);
        }
        let servers: Vec<ServerKey> = self
            .server_txns
            .iter()
            .filter(|(_, t)| due(t.machine.next_timer_at()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in servers {
            let Some(transaction) = self.server_txns.get_mut(&key) else { continue };
            if transaction.machine.tick(now) == TimerAction::Retransmit {
                self.transport.send(transaction.peer, "", transaction.last.clone());
            }
            if transaction.machine.state == transaction::State::Terminated {
                self.server_txns.remove(&key);
            }
        }
    }
}

impl driver::Frontend for SipFrontend {
    const MAINTENANCE_INTERVAL: Micros = 20_000;

    fn driver(&mut self) -> &mut Driver {
        &mut self.driver
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::SendAttempt { attempt, server, time_left: left, description } => {
                self.invite(attempt, server, left, description);
            }
            Command::CancelAttempt { attempt, .. } => self.give_up(attempt),
            Command::ReleaseAtServer { attempt, .. } => self.release(attempt),
            Command::Accept { call, description } => self.answer(call, description),
            Command::Reject { call, retry_after: wait } => self.refuse(call, wait),
            Command::Fail { call } => self.fail(call),
            Command::ReleaseToCaller { call, .. } => self.over(call),
            Command::CheckHealth(server) => self.probe(server),
            // Connections are shared by all that goes to an address; the host logs the rest.
            Command::CloseIdle(_) | Command::Log(_) | Command::ReportViolation(_) => {}
        }
        self.start_dials();
    }

    fn maintain(&mut self, now: Micros) {
        self.driver.gateway.reject_new_calls(
            self.driver.serving_state.rejection_retry_after(now, ClientConnections::Shared),
        );
        self.care_for_transactions(now);
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
