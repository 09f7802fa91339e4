//! The platform's front: JSON lines over TCP, towards callers and towards setup servers.
//!
//! `line` is the codec, `clients` and `servers` keep the two sides, and
//! [`Front`] joins them to the core.

pub mod clients;
pub mod line;
pub mod servers;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::clock::{self, log};
use crate::config::Config;
use crate::gateway::{Command, Gateway, Input};
use crate::list::{Directory, Listed, resolver};
use crate::{ListScope, Micros, Outcome};

use clients::Clients;
use servers::Servers;

/// The front looks after its connections at least this often.
const CARE: Micros = 50_000;
/// After SIGTERM, set-ups keep coming for a while: new connections for 0.4 s, requests on open ones 0.2 s more.
const STOP_LEAST: Micros = 850_000;
/// Standing calls may go on this long after SIGTERM where no class waits longer; SIGKILL comes later.
const STOP_MOST: Micros = 3_000_000;
/// What is queued at the end may take this long to be written.
const LAST_WORDS: Duration = Duration::from_millis(150);

/// A number of our own for a connection; never used twice.
pub type LinkId = u64;

/// The front's state; one task at a time has it, and none keeps it while it waits.
pub struct Front {
    gateway: Gateway,
    clients: Clients,
    servers: Servers,
    directory: Directory,
    inputs: VecDeque<Input>,
    commands: Vec<Command>,
    me: Weak<RefCell<Front>>,
    wake: Rc<Notify>,
    next_link: LinkId,
    stopping: Option<Micros>,
}

type Shared = Rc<RefCell<Front>>;

/// Serves until it is told to stop and has nothing left to do.
pub async fn serve(config: Config, stop: impl Future<Output = ()>) -> Result<(), String> {
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log(&format!("{} serves on {address}", config.name));
    let front = Front::start(&config);
    let wake = front.borrow().wake.clone();
    for (scope, list) in config.known.clone() {
        front.borrow_mut().take_list(scope, list);
    }
    let longest = config.longest_wait.max(STOP_MOST);
    tokio::select! {
        () = clients::accept(front.clone(), listener, config.sockets / 2) => {}
        () = follow_list(front.clone(), &config) => {}
        () = keep_time(front.clone(), wake.clone(), longest) => {}
        () = async { stop.await; front.borrow_mut().stop(); std::future::pending().await } => {}
    }
    tokio::time::sleep(LAST_WORDS).await;
    Ok(())
}

async fn follow_list(front: Shared, config: &Config) {
    let service = resolver::Service::Srv("_back._tcp.pool.lan.".to_string());
    resolver::follow(config.dns, service, Some(config.seq), |_, list| {
        front.borrow_mut().take_list(ListScope::Whole, list);
    })
    .await;
}

/// Gives the core its ticks; returns once the front has stopped.
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
    fn start(config: &Config) -> Shared {
        Rc::new_cyclic(|me| {
            RefCell::new(Front {
                gateway: Gateway::new(config.settings.clone(), config.seed),
                clients: Clients::new(config.classes.clone()),
                servers: Servers::new(config.dial_timeout, config.seed),
                directory: Directory::default(),
                inputs: VecDeque::new(),
                commands: Vec::new(),
                me: me.clone(),
                wake: Rc::new(Notify::new()),
                next_link: 1,
                stopping: None,
            })
        })
    }

    fn shared(&self) -> Shared {
        self.me.upgrade().expect("the front is only reached through its shared handle")
    }

    fn new_link(&mut self) -> LinkId {
        self.next_link += 1;
        self.next_link
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
        let due = self.gateway.next_due();
        if due.is_some_and(|due| before.is_none_or(|before| due < before)) {
            self.wake.notify_one();
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send { attempt, server, left, description } => {
                self.send(attempt, server, left, description);
            }
            Command::GiveUp { attempt, .. } => self.servers.give_up(attempt),
            Command::Release { attempt, server } => self.release(attempt, server),
            Command::Answer { call, description } => self.clients.answer(call, &description),
            Command::Refuse { call, wait } => self.clients.refuse(call, wait),
            Command::Fail { call } => self.clients.fail(call),
            Command::Over { call, outcome } => {
                self.servers.forget(call);
                self.clients.over(call, outcome == Outcome::Completed);
            }
            Command::Probe(server) => self.probe(server),
            Command::CloseIdle(server) => self.servers.close_idle(server),
            Command::Note(text) => log(&text),
            Command::Warn(text) => log(&format!("guard: {text}")),
        }
    }

    fn take_list(&mut self, scope: ListScope, list: Vec<Listed>) {
        let now = clock::now();
        let (entries, changes) = self.directory.learn(scope, list);
        self.feed(Input::List { scope, entries });
        for server in &changes.closed {
            log(&format!("server {} takes nothing new", self.directory.name(*server)));
            self.withdraw_held(*server);
        }
        for (server, at) in &changes.restarted {
            self.feed(Input::Lost { server: *server, at: *at });
        }
        for server in &changes.gone {
            self.servers.gone(*server, now);
        }
        self.care(now);
    }

    fn stop(&mut self) {
        log("stopping");
        self.stopping = Some(clock::now());
    }

    /// After SIGTERM: what comes in is still answered, standing calls may come to their end, then it is over.
    fn stopped(&self, now: Micros, longest: Micros) -> bool {
        let Some(since) = self.stopping else { return false };
        let idle = self.gateway.open_calls() == 0;
        let all_over = self.gateway.standing_calls() == 0;
        let gone = now.saturating_sub(since);
        gone >= STOP_LEAST && idle && (all_over || gone >= longest) || gone >= longest + STOP_LEAST / 2
    }
}
