//! The platform's frontend: JSON lines over TCP, towards callers and towards setup servers.
//!
//! `line` is the codec, `clients` and `servers` manage the connections to callers and to setup servers, `handover`
//! exchanges messages with the other process of an upgrade, `heartbeat_monitor` measures the servers' heartbeats, and
//! [`PlatformFrontend`] connects them to the core.

pub mod clients;
mod handover;
mod heartbeat_monitor;
pub mod line;
pub mod servers;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use tokio::sync::watch;

use crate::clock;
use crate::config::Config;
use crate::driver::{self, Driver, Frontend as _};
use crate::gateway::{Command, Gateway, Input};
use crate::limits::{Limiter, Plan};
use crate::link;
use crate::list::{Directory, ListedServer, resolver};
use crate::operate::AdminService;
use crate::operate::serving_state::ClientConnections;
use crate::{EndpointListScope, Micros, Outcome};

use clients::Clients;
use servers::{ServerEndReason, Servers};

/// Identifies a connection within this process; never reused.
pub type ConnectionId = u64;
/// Stands for no connection, for calls handed over by another process.
const NO_CONNECTION: ConnectionId = 0;

/// The frontend's state, shared by all its tasks. No task may keep it borrowed across an `await`.
pub struct PlatformFrontend {
    driver: Driver,
    clients: Clients,
    servers: Servers,
    directory: Directory,
    peer_process: handover::PeerProcess,
    /// The serial number of the endpoint list.
    list_seq: u32,
    /// False once no more client connections are to be accepted.
    is_listening: watch::Sender<bool>,
    weak_self: Weak<RefCell<PlatformFrontend>>,
    last_connection: ConnectionId,
}

type SharedFrontend = Rc<RefCell<PlatformFrontend>>;

/// Listening on the clients' address failed.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Serves until `stop` completes and no work is left. `resolver` holds the address of the server that is queried for
/// the endpoint list.
pub async fn serve(
    config: Config,
    resolver: watch::Receiver<SocketAddr>,
    plan: driver::LimitPlanReceiver,
    admin: Rc<AdminService>,
    stop: impl Future<Output = ()>,
) -> Result<(), ListenError> {
    let frontend = PlatformFrontend::start(&config, plan.borrow().clone());
    for (scope, list) in config.list_events.clone() {
        frontend.borrow_mut().handle_endpoint_list(clock::now(), scope, list);
    }
    let upgrade_socket = handover::receive_from_older(&frontend, config.listen).await;
    let listener = link::listen(config.listen);
    let listen_error = |source| ListenError { address: config.listen, source };
    let listener = listener.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    tracing::info!(name = config.name, listen = %address, "serves");
    let tasks = async {
        tokio::join!(
            clients::accept(frontend.clone(), listener),
            handover::accept_newer(frontend.clone(), upgrade_socket),
            follow_endpoint_list(frontend.clone(), resolver, config.list_seq),
            driver::follow_limits(&frontend, plan)
        )
    };
    driver::run(frontend.clone(), admin, tasks, stop).await;
    Ok(())
}

async fn follow_endpoint_list(frontend: SharedFrontend, server: watch::Receiver<SocketAddr>, seq: u32) {
    let service = resolver::Service::Srv("_back._tcp.pool.lan.".to_string());
    let last_list_response_at = frontend.borrow().driver.last_list_response_at.clone();
    resolver::poll_list(server, service, Some(seq), &last_list_response_at, |queried_at, serial, list| {
        let mut frontend = frontend.borrow_mut();
        frontend.list_seq = serial.unwrap_or(frontend.list_seq);
        frontend.handle_endpoint_list(queried_at, EndpointListScope::Complete, list);
    })
    .await;
}

impl PlatformFrontend {
    fn start(config: &Config, plan: Option<Rc<Plan>>) -> SharedFrontend {
        let limits = Limiter::from_plan_or_settings(plan, &config.settings, &config.classes, config.seed);
        let longest_wait = config.max_waits.iter().copied().max().unwrap_or(0);
        let mut gateway = Gateway::with_limits(config.settings.clone(), limits, config.seed);
        gateway.set_pending_bounds(config.pending_bounds);
        let driver = Driver::new(gateway, config.classes.clone(), longest_wait);
        let trace = driver.trace.clone();
        let classes = config.classes.clone();
        Rc::new_cyclic(|weak_self| {
            RefCell::new(PlatformFrontend {
                driver,
                clients: Clients::new(
                    classes,
                    longest_wait,
                    config.max_sockets / 2,
                    config.pending_bounds.max_calls_of_connection(),
                    trace,
                ),
                servers: Servers::new(config.dial_timeout, config.seed),
                directory: Directory::default(),
                peer_process: handover::PeerProcess::default(),
                list_seq: config.list_seq,
                is_listening: watch::Sender::new(true),
                weak_self: weak_self.clone(),
                last_connection: 1,
            })
        })
    }

    fn shared(&self) -> SharedFrontend {
        self.weak_self.upgrade().expect("the frontend is only reached through its shared handle")
    }

    fn new_connection_id(&mut self) -> ConnectionId {
        self.last_connection += 1;
        self.last_connection
    }

    /// Closes idle client connections while clients are to reconnect to another process.
    fn close_idle_clients(&mut self, now: Micros) {
        if self.driver.serving_state.closes_idle_clients(now) {
            self.clients.close_idle(now);
        }
    }

    fn handle_endpoint_list(
        &mut self,
        notified_at: Micros,
        scope: EndpointListScope,
        list: Vec<ListedServer>,
    ) {
        let now = clock::now();
        self.driver.list_received_at = Some(now);
        let (entries, changes) = self.directory.apply(scope, list);
        self.feed(Input::EndpointList { notified_at, scope, entries });
        for server in &changes.closed {
            tracing::info!(server = self.directory.name(*server), "server takes no new calls");
            self.withdraw_unsent(*server);
        }
        for (server, at) in &changes.restarted {
            self.end_calls_at_server(*server, *at, ServerEndReason::Restarted);
        }
        for server in &changes.removed {
            self.handle_server_removed(*server, now);
        }
        self.maintain_servers(now);
    }
}

impl driver::Frontend for PlatformFrontend {
    const MAINTENANCE_INTERVAL: Micros = 50_000;

    fn driver(&mut self) -> &mut Driver {
        &mut self.driver
    }

    fn client_connections(&self) -> usize {
        self.clients.connection_count()
    }

    fn stop_listening(&mut self) {
        self.is_listening.send_replace(false);
    }

    fn close_clients(&mut self) {
        self.clients.close_all();
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::SendAttempt { attempt, server, time_left, description } => {
                self.send_attempt(attempt, server, time_left, description);
            }
            Command::CancelAttempt { attempt, .. } => self.servers.cancel_attempt(attempt),
            Command::ReleaseAtServer { attempt, server } => self.release_at_server(attempt, server),
            Command::ReleaseIfConnected { attempt } => self.servers.release_if_connected(attempt),
            Command::Accept { call, description } => {
                self.servers.mark_established(call);
                self.clients.accept_call(call, &description);
                self.hand_over_calls();
            }
            Command::Reject { call, retry_after } => self.clients.reject_call(call, retry_after),
            Command::Fail { call } => self.clients.fail_call(call),
            Command::ReleaseToCaller { call, outcome } => {
                self.servers.remove_call(call);
                self.clients.release_call(call, outcome == Outcome::Completed);
            }
            Command::CheckHealth(server) => self.check_health(server),
            Command::CloseIdle(server) => self.servers.close_idle(server),
            Command::Log(_) | Command::ReportViolation(_) => {} // carried out by the driver
        }
    }

    fn maintain(&mut self, now: Micros) {
        self.driver.gateway.reject_new_calls(
            self.driver.serving_state.rejection_retry_after(now, ClientConnections::Dedicated),
        );
        self.clients.maintain(now);
        self.maintain_servers(now);
        if self.driver.serving_state.is_handing_over() {
            self.is_listening.send_replace(false);
            self.hand_over_calls();
        }
        self.close_idle_clients(now);
    }
}
