//! The parts that both frontends share: passing inputs to the core, executing its commands, running its timers, and
//! shutting down.
//!
//! A [`Driver`] owns the core of one frontend. The frontend owns its driver, sockets and connections; [`run`] owns the
//! frontend's tasks and ends them when the frontend has stopped.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use cobaltspool_fleet::live_instances::{LiveInstances, MembershipSummary};

use crate::Micros;
use crate::call_trace::CallTrace;
use crate::clock;
use crate::gateway::{Command, Gateway, Input};
use crate::limits::Plan;
use crate::link;
use crate::list::resolver::LastListTime;
use crate::operate::metrics::Metrics;
use crate::operate::serving_state::{OpenWork, ServingState};
use crate::operate::{AdminService, FrontendStatus};

/// Time at shutdown for writing what is queued on connections.
const FLUSH_DELAY: Duration = Duration::from_millis(120);
/// Time after closing the listener for reading and answering the requests queued there.
const LISTENER_DRAIN_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of scheduler turns to wait for closed connections to end. Closing never waits for the peer, so this
/// is enough.
const MAX_CLOSE_YIELDS: usize = 64;

/// A frontend's core with its trace, input queue, timers and serving state.
pub struct Driver {
    /// The core.
    pub gateway: Gateway,
    /// Trace of the most recent steps of calls.
    pub trace: CallTrace,
    /// Inputs not yet passed to the core.
    pub inputs: VecDeque<Input>,
    /// Reused buffer for the core's commands.
    commands: Vec<Command>,
    /// Wakes the timer task when the next deadline has become earlier.
    wake: Rc<Notify>,
    /// Names of the classes, in the order of the settings.
    class_names: Vec<String>,
    /// Whether clients are accepted, and whether the process may exit.
    pub serving_state: ServingState,
    /// When the last endpoint list was received. Until the first one, no call can be sent to a server.
    pub list_received_at: Option<Micros>,
    /// When the resolver last answered with a list, changed or unchanged.
    pub last_list_response_at: Rc<LastListTime>,
}

impl Driver {
    /// Creates a driver for a core whose callers wait at most `max_wait`.
    pub fn new(gateway: Gateway, class_names: Vec<String>, max_wait: Micros) -> Self {
        Driver {
            gateway,
            trace: CallTrace::default(),
            inputs: VecDeque::new(),
            commands: Vec::new(),
            wake: Rc::new(Notify::new()),
            class_names,
            serving_state: ServingState::new(max_wait),
            list_received_at: None,
            last_list_response_at: Rc::new(LastListTime::new(clock::now())),
        }
    }

    /// Whether this process accepts clients: it is in service and has received an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.list_received_at.is_some() && self.serving_state.is_in_service()
    }

    /// Current metrics of the core.
    pub fn metrics(&self) -> Metrics {
        let counters = self.gateway.counters().iter().copied();
        let servers = self.gateway.server_counts();
        let list_age = clock::now().saturating_sub(self.last_list_response_at.get());
        Metrics {
            classes: self.class_names.iter().cloned().zip(counters).collect(),
            in_flight: self.gateway.pending_calls() + self.gateway.established_calls(),
            servers_known: servers.listed,
            servers_excluded: servers.excluded,
            list_age_s: Duration::from_micros(list_age).as_secs() as usize,
        }
    }

    /// Whether a stop has been requested and the open work allows the process to exit.
    fn may_exit(&self, now: Micros, client_connections: usize) -> bool {
        let open = OpenWork {
            pending_calls: self.gateway.pending_calls(),
            established_calls: self.gateway.established_calls(),
            client_connections,
        };
        self.serving_state.may_exit(now, open)
    }
}

/// A protocol adapter: translates between the bytes of client and server connections and the core's inputs and
/// commands.
pub trait Frontend {
    /// Maximum interval between calls of [`maintain`](Frontend::maintain).
    const MAINTENANCE_INTERVAL: Micros;

    /// The driver of this frontend's core.
    fn driver(&mut self) -> &mut Driver;

    /// Number of client connections that must end, so that their clients move to another process, before this process
    /// may exit.
    fn client_connections(&self) -> usize {
        0
    }

    /// Closes the listener; connections queued there are still accepted.
    fn stop_listening(&mut self) {}

    /// Closes every client connection after writing what is queued on it, in such a way that input that crosses the
    /// close does not reset the connection.
    fn close_clients(&mut self) {}

    /// Executes one of the core's commands. Resulting inputs for the core are added to [`Driver::inputs`].
    fn carry_out(&mut self, command: Command);

    /// Maintains the frontend's own connections and timers.
    fn maintain(&mut self, now: Micros);

    /// Passes one input to the core and executes all resulting commands.
    fn feed(&mut self, input: Input) {
        let before = self.driver().gateway.next_deadline();
        self.driver().inputs.push_back(input);
        while let Some(input) = self.driver().inputs.pop_front() {
            let mut commands = std::mem::take(&mut self.driver().commands);
            let now = clock::now();
            self.driver().trace.record_input(now, &input);
            self.driver().gateway.handle(now, input, &mut commands);
            for command in commands.drain(..) {
                self.driver().trace.record_command(now, &command);
                match command {
                    Command::Log(text) => tracing::info!(target: "policy", text),
                    Command::ReportViolation(violation) => {
                        tracing::error!(target: "invariant", %violation, "an invariant does not hold");
                    }
                    other => self.carry_out(other),
                }
            }
            self.driver().commands = commands;
        }
        let deadline = self.driver().gateway.next_deadline();
        if deadline.is_some_and(|deadline| before.is_none_or(|before| deadline < before)) {
            self.driver().wake.notify_one();
        }
    }
}

/// Receives the operators' limits when they change; `None` if there is no limits file.
pub type LimitPlanReceiver = watch::Receiver<Option<Rc<Plan>>>;

/// Passes changed limits to the core. Never returns.
pub async fn follow_limits<F: Frontend>(frontend: &RefCell<F>, mut plans: LimitPlanReceiver) {
    while plans.changed().await.is_ok() {
        let plan = plans.borrow_and_update().clone();
        if let Some(plan) = plan {
            frontend.borrow_mut().feed(Input::LimitsChanged(plan));
        }
    }
    std::future::pending().await
}

impl<F: Frontend> FrontendStatus for RefCell<F> {
    fn is_ready(&self) -> bool {
        self.borrow_mut().driver().is_ready()
    }

    fn metrics(&self) -> Metrics {
        self.borrow_mut().driver().metrics()
    }

    fn has_successor(&self) -> bool {
        self.borrow_mut().driver().serving_state.has_successor()
    }

    fn list_received_at(&self) -> Option<Micros> {
        self.borrow_mut().driver().list_received_at
    }
}

/// Receives the fleet's membership with its settling bound when either changes; `None` if there is no fleet.
pub type MembershipReceiver = Option<watch::Receiver<(Micros, MembershipSummary)>>;

/// Passes the number of gatekeepers that share the servers to the core when it changes. Never returns. Each update
/// carries the settling bound, the time for which a lower count must last before it is used; it grows with the fleet.
async fn follow_live_instances<F: Frontend>(frontend: &RefCell<F>, membership: MembershipReceiver) {
    let Some(mut updates) = membership else { return std::future::pending().await };
    let configured = frontend.borrow_mut().driver().gateway.configured_gatekeepers();
    let mut live_instances = LiveInstances::new(configured);
    let mut in_use = configured;
    while updates.changed().await.is_ok() {
        let (settling_bound, summary) = *updates.borrow_and_update();
        let count = live_instances.update(clock::now(), settling_bound, summary);
        if count != in_use {
            tracing::info!(target: "fleet", from = in_use, to = count, "gatekeepers that share the servers");
            frontend.borrow_mut().driver().gateway.set_gatekeepers(count);
            in_use = count;
        }
    }
    std::future::pending().await
}

/// Runs a frontend's tasks until `stop` completes and the frontend has no work left. `tasks` is expected never to
/// complete.
pub async fn run<F: Frontend + 'static>(
    frontend: Rc<RefCell<F>>,
    admin: Rc<AdminService>,
    tasks: impl Future,
    stop: impl Future<Output = ()>,
) {
    let status: Rc<dyn FrontendStatus> = frontend.clone();
    admin.register_frontend(Rc::downgrade(&status));
    let shutdown = async {
        stop.await;
        tracing::info!("stopping");
        admin.shut_down();
        frontend.borrow_mut().driver().serving_state.shut_down(clock::now());
        std::future::pending::<()>().await;
    };
    let mut out_of_service_changes = admin.watch_out_of_service();
    let follow_service_orders = async {
        while out_of_service_changes.changed().await.is_ok() {
            let is_out = *out_of_service_changes.borrow_and_update();
            let mut frontend = frontend.borrow_mut();
            frontend.driver().serving_state.set_out_of_service(clock::now(), is_out);
            frontend.maintain(clock::now());
        }
        std::future::pending::<()>().await;
    };
    let timers_then_end = async {
        run_timers(&frontend).await;
        close_connections(&frontend).await;
    };
    tokio::select! {
        _ = tasks => {}
        () = shutdown => {}
        () = follow_service_orders => {}
        () = timers_then_end => {}
        () = follow_live_instances(&frontend, admin.membership()) => {}
    }
}

/// Closes all connections after all calls have ended: writes what is queued, and rejects requests that still arrive
/// until the last connection is closed. If the process exited with unread input, the connections and the listener's
/// queue would be reset and those callers would get no answer.
async fn close_connections<F: Frontend>(frontend: &RefCell<F>) {
    tokio::time::sleep(FLUSH_DELAY).await;
    frontend.borrow_mut().stop_listening();
    tokio::time::sleep(LISTENER_DRAIN_DELAY).await;
    frontend.borrow_mut().close_clients();
    for _ in 0..MAX_CLOSE_YIELDS {
        if frontend.borrow().client_connections() == 0 {
            break;
        }
        tokio::task::yield_now().await;
    }
}

/// Runs the core's timers and the frontend's maintenance; returns once the frontend has stopped.
async fn run_timers<F: Frontend>(frontend: &RefCell<F>) {
    let wake = frontend.borrow_mut().driver().wake.clone();
    loop {
        let next = run_due_timers(&mut *frontend.borrow_mut());
        let Some(next) = next else { return };
        let wait = Duration::from_micros(next.saturating_sub(clock::now()));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = wake.notified() => {}
        }
        // Read pending input before the timers run, so that a disconnected caller is noticed before anything is sent on
        // its behalf.
        link::read_pending_input().await;
    }
}

/// Runs all due timers and returns the time of the next one; `None` once the frontend has stopped and the core is shut
/// down.
fn run_due_timers<F: Frontend>(frontend: &mut F) -> Option<Micros> {
    let now = clock::now();
    frontend.feed(Input::Tick);
    frontend.maintain(now);
    let client_connections = frontend.client_connections();
    if frontend.driver().may_exit(now, client_connections) {
        // Calls that arrive while connections are flushed are rejected, because they could not be completed.
        frontend.driver().gateway.reject_new_calls(Some(0));
        frontend.feed(Input::Shutdown);
        return None;
    }
    let core_deadline = frontend.driver().gateway.next_deadline().unwrap_or(Micros::MAX);
    Some(core_deadline.min(now + F::MAINTENANCE_INTERVAL))
}
