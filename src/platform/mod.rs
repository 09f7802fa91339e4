//! The platform's frontend: JSON lines over TCP, towards callers and towards setup servers.
//!
//! `line` is the codec, `clients` and `servers` keep the two sides, `sibling` speaks with the other process of an upgrade, and
//! [`PlatformFrontend`] joins them to the core.

pub mod clients;
pub mod line;
mod rhythm;
pub mod servers;
mod sibling;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use tokio::sync::watch;

use crate::clock;
use crate::config::Config;
use crate::driver::{self, Driver, Frontend as _};
use crate::gateway::{Command, Gateway, Input};
use crate::limits::{Live, Plan};
use crate::link;
use crate::list::{Directory, Listed, resolver};
use crate::operate::Desk;
use crate::{EndpointListScope, Micros, Outcome};

use clients::Clients;
use servers::Servers;

/// A number of our own for a connection; never used twice.
pub type LinkId = u64;

/// The frontend's state; one task at a time has it, and none keeps it while it waits.
pub struct PlatformFrontend {
    driver: Driver,
    clients: Clients,
    servers: Servers,
    directory: Directory,
    sibling: sibling::Sibling,
    /// The number of the list's last event.
    seq: u32,
    /// False once no more callers are to be taken in.
    listens: watch::Sender<bool>,
    me: Weak<RefCell<PlatformFrontend>>,
    next_link: LinkId,
}

type Shared = Rc<RefCell<PlatformFrontend>>;

/// Serves until it is told to stop and has nothing left to do. `resolver` tells whom to ask for the list.
pub async fn serve(
    config: Config,
    resolver: watch::Receiver<SocketAddr>,
    plan: driver::LimitPlans,
    desk: Rc<Desk>,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let frontend = PlatformFrontend::start(&config, plan.borrow().clone());
    for (scope, list) in config.known.clone() {
        frontend.borrow_mut().take_list(clock::now(), scope, list);
    }
    let place = sibling::meet(&frontend, config.listen).await;
    let listener = link::listen(config.listen);
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!(name = config.name, listen = %address, "serves");
    let tasks = async {
        tokio::join!(
            clients::accept(frontend.clone(), listener),
            sibling::follow(frontend.clone(), place),
            follow_list(frontend.clone(), resolver, config.seq),
            driver::follow_limits(&frontend, plan)
        )
    };
    driver::run(frontend.clone(), desk, tasks, stop).await;
    Ok(())
}

async fn follow_list(frontend: Shared, server: watch::Receiver<SocketAddr>, seq: u32) {
    let service = resolver::Service::Srv("_back._tcp.pool.lan.".to_string());
    let heard = frontend.borrow().driver.list_heard_at.clone();
    resolver::follow(server, service, Some(seq), &heard, |asked, serial, list| {
        let mut frontend = frontend.borrow_mut();
        frontend.seq = serial.unwrap_or(frontend.seq);
        frontend.take_list(asked, EndpointListScope::Complete, list);
    })
    .await;
}

impl PlatformFrontend {
    fn start(config: &Config, plan: Option<Rc<Plan>>) -> Shared {
        let limits = Live::of(plan, &config.settings, &config.classes, config.seed);
        let longest_wait = config.patience.iter().copied().max().unwrap_or(0);
        let gateway = Gateway::with_limits(config.settings.clone(), limits, config.seed);
        let driver = Driver::new(gateway, config.classes.clone(), longest_wait);
        let trace = driver.trace.clone();
        let classes = config.classes.clone();
        Rc::new_cyclic(|me| {
            RefCell::new(PlatformFrontend {
                driver,
                clients: Clients::new(classes, longest_wait, config.sockets / 2, trace),
                servers: Servers::new(config.dial_timeout, config.seed),
                directory: Directory::default(),
                sibling: sibling::Sibling::default(),
                seq: config.seq,
                listens: watch::Sender::new(true),
                me: me.clone(),
                next_link: 1,
            })
        })
    }

    fn shared(&self) -> Shared {
        self.me.upgrade().expect("the frontend is only reached through its shared handle")
    }

    fn new_link(&mut self) -> LinkId {
        self.next_link += 1;
        self.next_link
    }

    /// Clients' connections end once nothing is open on them, where clients are to go elsewhere.
    fn send_away(&mut self, now: Micros) {
        if self.driver.serving_state.sheds(now) {
            self.clients.close_idle(now);
        }
    }

    fn take_list(&mut self, told: Micros, scope: EndpointListScope, list: Vec<Listed>) {
        let now = clock::now();
        self.driver.list_received_at = Some(now);
        let (entries, changes) = self.directory.learn(scope, list);
        for server in self.directory.servers().collect::<Vec<_>>() {
            // It is another process: what the one before held is cut, and nothing of what comes now. Guards against the end
            // of the old one's last releases taking the new one's calls with it.
            if let Some(at) = self.servers.returned(server) {
                self.feed(Input::ServerTerminated { server, at });
            }
        }
        self.feed(Input::EndpointList { notified_at: told, scope, entries });
        for server in &changes.closed {
            tracing::info!(server = self.directory.name(*server), "takes nothing new");
            self.withdraw_held(*server);
        }
        for (server, at) in &changes.restarted {
            self.feed(Input::ServerTerminated { server: *server, at: *at });
        }
        for server in &changes.gone {
            self.servers.gone(*server, now);
        }
        self.care_for_servers(now);
    }
}

impl driver::Frontend for PlatformFrontend {
    const MAINTENANCE_INTERVAL: Micros = 50_000;

    fn driver(&mut self) -> &mut Driver {
        &mut self.driver
    }

    fn client_connections(&self) -> usize {
        self.clients.count()
    }

    fn stop_listening(&mut self) {
        self.listens.send_replace(false);
    }

    fn close_clients(&mut self) {
        self.clients.close_all();
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::SendAttempt { attempt, server, time_left: left, description } => {
                self.send(attempt, server, left, description);
            }
            Command::CancelAttempt { attempt, .. } => self.servers.give_up(attempt),
            Command::ReleaseAtServer { attempt, server } => self.release(attempt, server),
            Command::Accept { call, description } => {
                self.servers.stands(call);
                self.clients.answer(call, &description);
                self.hand_over();
            }
            Command::Reject { call, retry_after: wait } => self.clients.refuse(call, wait),
            Command::Fail { call } => self.clients.fail(call),
            Command::ReleaseToCaller { call, outcome } => {
                self.servers.forget(call);
                self.clients.over(call, outcome == Outcome::Completed);
            }
            Command::CheckHealth(server) => self.probe(server),
            Command::CloseIdle(server) => self.servers.close_idle(server),
            Command::Log(_) | Command::ReportViolation(_) => {} // the host's
        }
    }

    fn maintain(&mut self, now: Micros) {
        self.driver.gateway.reject_new_calls(self.driver.serving_state.turns_away(now, false));
        self.clients.care(now);
        self.care_for_servers(now);
        if self.driver.serving_state.gives_way() {
            self.listens.send_replace(false);
            self.hand_over();
        }
        self.send_away(now);
    }
}
