//! The SIP frontend: a back-to-back user agent (RFC 3261) on the same gateway core as the platform frontend.
//!
//! It is a user agent server towards callers (`clients`) and a user agent client towards servers (`servers`). Each
//! attempt has its own Call-ID, so that a late message of an earlier attempt cannot be attributed to a later one.
//! `cancellation` follows cancelled attempts until they are over. `message`, `transport`, `transaction` and `dialog` implement the layers of the RFC.

mod cancellation;
mod clients;
mod datagram_limiter;
pub mod dialog;
pub mod message;
mod server_transactions;
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

use cancellation::Cancellation;
use clients::Caller;
use datagram_limiter::DatagramLimiter;
use dialog::Dialog;
use message::{Message, param};
use server_transactions::ServerTransactions;
use servers::{Leg, RemovedServer};
use transaction::{ClientMachine, ServerMachine, TimerAction, Timers};
use transport::{Peer, Transport};

/// The supported methods, for the Allow header field.
const ALLOWED_METHODS: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

type Shared = Rc<RefCell<SipFrontend>>;

/// Key of a server transaction (§17.2.3): branch, sent-by and method.
type ServerKey = (String, String, String);
/// Key of a client transaction (§17.1.3): branch and method.
type ClientKey = (String, String);
/// Key of a dialog: Call-ID and local tag.
type DialogKey = (String, String);

/// The party at the other end of a dialog.
#[derive(Clone, Copy, Debug)]
enum DialogOwner {
    Caller(CallId),
    Leg(AttemptId),
}

/// Purpose of a client transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Invite(AttemptId),
    Probe(ServerId),
    /// OPTIONS to a server that was removed from the list: any response shows that it works.
    RemovalCheck(ServerId),
    /// CANCEL of an attempt: a final response shows that the server has it.
    Cancel(AttemptId),
    /// BYE: the response has no effect.
    IgnoreResponse,
}

struct ClientTransaction {
    machine: ClientMachine,
    purpose: Purpose,
    peer: Peer,
    request: Message,
    bytes: Bytes,
    /// The ACK of a final response other than 2xx.
    ack: Option<Bytes>,
    /// How often the request was resent because its connection ended.
    reconnects: u32,
}

struct ServerTransaction {
    machine: ServerMachine,
    peer: Peer,
    request: Rc<Message>,
    last_response: Bytes,
    call: Option<CallId>,
}

/// State of the frontend. One task at a time borrows it, and no task holds the borrow across an await.
pub struct SipFrontend {
    driver: Driver,
    directory: Directory,
    transport: Transport,
    timers: Timers,
    /// Whether servers are reached over TCP; otherwise over UDP.
    servers_use_tcp: bool,
    max_setup_time: Micros,
    drain_grace: Micros,
    classes: Vec<String>,
    server_transactions: ServerTransactions,
    client_transactions: HashMap<ClientKey, ClientTransaction>,
    dialogs: HashMap<DialogKey, DialogOwner>,
    callers: HashMap<CallId, Caller>,
    legs: BTreeMap<AttemptId, Leg>,
    probes: BTreeMap<ServerId, Micros>,
    /// Attempts that are being cancelled and whose calls go on after that.
    cancellations: BTreeMap<AttemptId, Cancellation>,
    /// When each server last responded to a request.
    last_response_at: BTreeMap<ServerId, Micros>,
    /// Servers with calls that were removed from the list and have not answered since.
    removed_servers: BTreeMap<ServerId, RemovedServer>,
    last_call_id: u64,
    token_state: u64,
    weak_self: Weak<RefCell<SipFrontend>>,
}

/// A listening socket for SIP could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {transport}: {source}")]
pub struct ListenError {
    transport: &'static str,
    source: std::io::Error,
}

/// Serves until `stop` completes and no call is left. `resolver` holds the address of the DNS server for the server
/// list.
pub async fn serve(
    config: SipConfig,
    resolver: watch::Receiver<SocketAddr>,
    plan: driver::LimitPlanReceiver,
    admin: Rc<AdminService>,
    stop: impl Future<Output = ()>,
) -> Result<(), ListenError> {
    let listen_error = |transport, source| ListenError { transport, source };
    let udp = UdpSocket::bind(config.udp).await.map_err(|e| listen_error("udp", e))?;
    let tcp = TcpListener::bind(config.tcp).await.map_err(|e| listen_error("tcp", e))?;
    let (udp_address, tcp_address) = (udp.local_addr(), tcp.local_addr());
    let udp_address = udp_address.map_err(|e| listen_error("udp", e))?;
    let tcp_address = tcp_address.map_err(|e| listen_error("tcp", e))?;
    tracing::info!(name = config.name, udp = %udp_address, tcp = %tcp_address, "serves SIP");
    let udp = Rc::new(udp);
    let dial_timeout = Duration::from_micros(config.dial_timeout.max(1_000));
    let transport = Transport::new(udp.clone(), udp_address, tcp_address, dial_timeout);
    let frontend = SipFrontend::start(&config, plan.borrow().clone(), transport);
    let follow_list = async {
        let service = resolver::Service::DnsSd(config.service.clone());
        let on_list = |notified_at, _, list| frontend.borrow_mut().apply_list(notified_at, list);
        let last_response_at = frontend.borrow().driver.last_list_response_at.clone();
        resolver::poll_list(resolver, service, None, &last_response_at, on_list).await;
    };
    let tasks = async {
        tokio::join!(
            transport::read_datagrams(
                frontend.clone(),
                udp,
                DatagramLimiter::new(config.bounds.max_datagrams_per_s)
            ),
            transport::accept_connections(frontend.clone(), tcp),
            follow_list,
            driver::follow_limits(&frontend, plan)
        )
    };
    driver::run(frontend.clone(), admin, tasks, stop).await;
    Ok(())
}

impl SipFrontend {
    fn start(config: &SipConfig, plan: Option<Rc<Plan>>, transport: Transport) -> Shared {
        let limits = Limiter::from_plan_or_settings(plan, &config.settings, &config.classes, config.seed);
        let mut gateway = Gateway::with_limits(config.settings.clone(), limits, config.seed);
        gateway.await_cancellations();
        gateway.set_pending_bounds(config.pending_bounds);
        let driver = Driver::new(gateway, config.classes.clone(), config.max_wait);
        Rc::new_cyclic(|me| {
            RefCell::new(SipFrontend {
                driver,
                directory: Directory::default(),
                transport,
                timers: Timers { t1: config.t1 },
                servers_use_tcp: config.service.split('.').any(|label| label == "_tcp"),
                max_setup_time: config.max_wait,
                drain_grace: config.settings.rules.drain_grace,
                classes: config.classes.clone(),
                server_transactions: ServerTransactions::new(config.bounds),
                client_transactions: HashMap::new(),
                dialogs: HashMap::new(),
                callers: HashMap::new(),
                legs: BTreeMap::new(),
                probes: BTreeMap::new(),
                cancellations: BTreeMap::new(),
                last_response_at: BTreeMap::new(),
                removed_servers: BTreeMap::new(),
                last_call_id: 0,
                token_state: config.seed ^ clock::now(),
                weak_self: me.clone(),
            })
        })
    }

    fn shared(&self) -> Shared {
        self.weak_self.upgrade().expect("the frontend is only reached through its shared handle")
    }

    /// A unique token for tags, branches and Call-IDs (splitmix64).
    fn new_token(&mut self) -> String {
        self.token_state = self.token_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.token_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", z ^ (z >> 31))
    }

    fn apply_list(&mut self, notified_at: Micros, list: Vec<ListedServer>) {
        let now = clock::now();
        let scope = EndpointListScope::Complete;
        self.driver.list_received_at = Some(now);
        let (entries, changes) = self.directory.apply(scope, list);
        self.feed(Input::EndpointList { notified_at, scope, entries });
        for server in &changes.closed {
            tracing::info!(
                server = self.directory.name(*server),
                "server is draining; no new calls are sent to it"
            );
            self.limit_retransmissions(*server, notified_at);
        }
        for (server, at) in &changes.restarted {
            self.server_terminated(*server, *at);
        }
        for server in &changes.removed {
            self.check_removed_server(*server, now);
        }
        self.end_calls_at_reassigned_addresses();
    }

    /// Handles the end of a server's process: its legs are removed without further requests to it.
    fn server_terminated(&mut self, server: ServerId, at: Micros) {
        self.remove_legs_sent_before(server, at);
        self.feed(Input::ServerTerminated { server, at });
    }

    // ---- Transactions ----

    /// Handles a correctly framed message.
    fn handle_message(&mut self, from: Peer, message: Message) {
        match (message.validation_error(), message.method().is_some()) {
            (Some(_), true) => self.reject_malformed(from, message),
            (None, true) => self.handle_request(from, message),
            (None, false) => self.handle_response(message),
            (Some(_), false) => {} // a response cannot be answered
        }
        self.start_dials();
    }

    /// Responds 400 to an invalid request, or drops it if no response can be addressed. An ACK is never answered.
    fn reject_malformed(&mut self, from: Peer, mut message: Message) {
        let answerable = message.method().is_some_and(|m| m != "ACK") && message.get("CSeq").is_some();
        if !answerable || message.top_via().and_then(message::sent_by).is_none() {
            return;
        }
        let to = record_source(&mut message, from);
        let tag = self.new_token();
        let response = Message::response(&message, 400, Some(&tag));
        self.transport.send(to, "", response.to_bytes());
    }

    /// Sends a request in a new client transaction and adds its Via.
    fn start_client_transaction(
        &mut self,
        peer: Peer,
        mut request: Message,
        purpose: Purpose,
        branch: String,
    ) {
        let now = clock::now();
        let method = request.method().unwrap_or_default().to_string();
        request.headers.insert(0, ("Via".to_string(), self.via(peer, &branch)));
        let bytes = request.to_bytes();
        let peer = self.transport.send(peer, &branch, bytes.clone());
        let machine = ClientMachine::new(now, method == "INVITE", peer.reliable(), self.timers);
        let transaction =
            ClientTransaction { machine, purpose, peer, request, bytes, ack: None, reconnects: 0 };
        self.client_transactions.insert((branch, method), transaction);
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
        format!("z9hG4bK{}", self.new_token())
    }

    /// Sends a BYE. The core does not track its outcome.
    fn send_bye(&mut self, peer: Peer, dialog: &mut Dialog) {
        let branch = self.new_branch();
        let request = dialog.request("BYE");
        self.start_client_transaction(peer, request, Purpose::IgnoreResponse, branch);
    }

    /// Sends a response in its server transaction; false if a final response has already been sent.
    fn respond(&mut self, key: &ServerKey, response: Message) -> bool {
        let now = clock::now();
        let Some(transaction) = self.server_transactions.get_mut(key) else { return false };
        if !transaction.machine.respond(now, response.code().unwrap_or(500)) {
            return false;
        }
        transaction.last_response = response.to_bytes();
        transaction.peer = self.transport.send(transaction.peer, "", transaction.last_response.clone());
        true
    }

    /// Runs the expired timers of all transactions.
    fn run_transaction_timers(&mut self, now: Micros) {
        let due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let clients: Vec<ClientKey> = self
            .client_transactions
            .iter()
            .filter(|(_, t)| due(t.machine.next_timer_at()))
            .map(|(key, _)| key.clone())
            .collect();
        for key in clients {
            self.run_client_timer(&key, now);
        }
        for key in self.server_transactions.due(now) {
            let Some(transaction) = self.server_transactions.get_mut(&key) else { continue };
            if transaction.machine.tick(now) == TimerAction::Retransmit {
                self.transport.send(transaction.peer, "", transaction.last_response.clone());
            }
            self.server_transactions.remove_if_terminated(&key);
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
            Command::SendAttempt { attempt, server, time_left, description } => {
                self.send_invite(attempt, server, time_left, description);
            }
            Command::CancelAttempt { attempt, .. } => self.abandon_attempt(attempt),
            Command::ReleaseAtServer { attempt, .. } => self.release_leg(attempt),
            Command::ReleaseIfConnected { .. } => {} // a leg of an ended process has been removed
            Command::Accept { call, description } => self.send_answer(call, description),
            Command::Reject { call, retry_after } => self.reject_call(call, retry_after),
            Command::Fail { call } => self.fail_call(call),
            Command::ReleaseToCaller { call, .. } => self.end_call(call),
            Command::CheckHealth(server) => self.send_probe(server),
            // Connections to an address are shared, so none is closed for a single call; the driver handles the
            // other two.
            Command::CloseIdle(_) | Command::Log(_) | Command::ReportViolation(_) => {}
        }
        self.start_dials();
    }

    fn maintain(&mut self, now: Micros) {
        self.driver.gateway.reject_new_calls(
            self.driver.serving_state.rejection_retry_after(now, ClientConnections::Shared),
        );
        self.run_transaction_timers(now);
        self.run_caller_timers(now);
        self.run_leg_timers(now);
        self.start_dials();
    }
}

/// Adds the source address to the topmost Via of a request (§18.2.1, RFC 3581); returns the destination of its
/// responses.
fn record_source(request: &mut Message, from: Peer) -> Peer {
    let Some(via) = request.top_via().map(str::to_string) else { return from };
    let port = message::sent_by(&via).map_or(5060, |(_, port)| port);
    match from {
        Peer::Udp(source) => {
            let wants_port = param(&via, "rport").is_some();
            let parts = via
                .split(';')
                .filter(|p| !p.trim().starts_with("rport") && !p.trim().starts_with("received"));
            let mut updated_via = parts.collect::<Vec<_>>().join(";");
            updated_via.push_str(&format!(";received={}", source.ip()));
            if wants_port {
                updated_via.push_str(&format!(";rport={}", source.port()));
            }
            request.set_top_via(&updated_via);
            Peer::Udp((source.ip(), if wants_port { source.port() } else { port }).into())
        }
        // The connection is used while it is open; after that, sent-by is dialled (§18.2.2).
        Peer::Tcp(source, conn) => Peer::Tcp((source.ip(), port).into(), conn),
    }
}
