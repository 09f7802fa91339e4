//! What both frontends do alike with the core: feed it, carry its commands out, run its timers, and shut down.
//!
//! A [`Driver`] owns one frontend's core. The frontend owns its driver, sockets and connections; [`run`] owns the tasks and
//! ends them when the frontend has stopped.

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
use crate::list::resolver::Heard;
use crate::operate::metrics::Metrics;
use crate::operate::serving_state::{OpenWork, ServingState};
use crate::operate::{AdminService, FrontendStatus};

/// At the end, what is queued on connections may take this long to be written.
const FLUSH_DELAY: Duration = Duration::from_millis(120);
/// What was queued at a listener when it closed is read and answered within this.
const LISTENER_DRAIN_DELAY: Duration = Duration::from_millis(50);
/// A connection that is closed has ended after so many turns of the loop; it waits for nobody.
const MAX_CLOSE_YIELDS: usize = 64;

/// A frontend's core, with what surrounds it.
pub struct Driver {
    /// The core.
    pub gateway: Gateway,
    /// The last steps of calls.
    pub trace: CallTrace,
    /// Inputs that the core has not handled yet.
    pub inputs: VecDeque<Input>,
    /// A buffer for the core's commands.
    commands: Vec<Command>,
    /// Wakes the timer task when an earlier deadline has come up.
    wake: Rc<Notify>,
    /// Names of the classes, by their place in the settings.
    class_names: Vec<String>,
    /// Whether clients are served.
    pub serving_state: ServingState,
    /// When the last endpoint list came: before the first no call could go anywhere.
    pub list_received_at: Option<Micros>,
    /// When the resolver last answered with a list, new or not.
    pub last_list_response_at: Rc<Heard>,
}

impl Driver {
    /// A driver for a new core, whose callers wait no longer than `max_wait`.
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
            last_list_response_at: Rc::new(Heard::new(clock::now())),
        }
    }

    /// Whether this process takes clients: it is in service, and there is an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.list_received_at.is_some() && self.serving_state.takes_clients()
    }

    /// The core's metrics now.
    pub fn metrics(&self) -> Metrics {
        let counters = self.gateway.counters().iter().copied();
        let servers = self.gateway.server_counts();
        let list_age = clock::now().saturating_sub(self.last_list_response_at.get());
        Metrics {
            classes: self.class_names.iter().cloned().zip(counters).collect(),
            in_flight: self.gateway.pending_calls() + self.gateway.established_calls(),
            servers_known: servers.listed,
            servers_excluded: servers.excluded,
            list_silent_s: Duration::from_micros(list_age).as_secs() as usize,
        }
    }

    /// Whether the program has been told to stop and has nothing left to do.
    fn may_exit(&self, now: Micros, client_connections: usize) -> bool {
        let open = OpenWork {
            pending_calls: self.gateway.pending_calls(),
            established_calls: self.gateway.established_calls(),
            client_connections,
        };
        self.serving_state.may_end(now, open)
    }
}

/// A protocol adapter: bytes in and out on one side, the core's inputs and commands on the other.
pub trait Frontend {
    /// How often [`maintain`](Frontend::maintain) is called, at least.
    const MAINTENANCE_INTERVAL: Micros;

    /// Its core and what surrounds that.
    fn driver(&mut self) -> &mut Driver;

    /// How many client connections there are that ought to go to another process.
    fn client_connections(&self) -> usize {
        0
    }

    /// Closes the listener; what is queued there is still taken.
    fn stop_listening(&mut self) {}

    /// Ends every client connection, once what is queued on it has been written. What crosses that end finds a connection
    /// that was closed in good order.
    fn close_clients(&mut self) {}

    /// Carries one of the core's commands out. What comes of it for the core goes to [`Driver::inputs`].
    fn carry_out(&mut self, command: Command);

    /// Maintains connections and timers of its own.
    fn maintain(&mut self, now: Micros);

    /// Gives the core one input and carries out all that comes of it.
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

/// The operators' limits, as they are from now on; `None`: there is no file.
pub type LimitPlanReceiver = watch::Receiver<Option<Rc<Plan>>>;

/// Gives the core other limits when they change, for ever.
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

/// What the fleet's membership says from moment to moment; `None`: there is no fleet.
pub type MembershipReceiver = Option<watch::Receiver<(Micros, MembershipSummary)>>;

/// Tells the core how many gatekeepers share the servers, for ever. With what is seen comes how long a fall has to be
/// settled: it grows with the fleet.
async fn follow_live_instances<F: Frontend>(frontend: &RefCell<F>, membership: MembershipReceiver) {
    let Some(mut updates) = membership else { return std::future::pending().await };
    let configured = frontend.borrow_mut().driver().gateway.configured_gatekeepers();
    let mut live_instances = LiveInstances::new(configured);
    let mut in_use = configured;
    while updates.changed().await.is_ok() {
        let (detection_bound, summary) = *updates.borrow_and_update();
        let count = live_instances.update(clock::now(), detection_bound, summary);
        if count != in_use {
            tracing::info!(target: "fleet", from = in_use, to = count, "gatekeepers that share the servers");
            frontend.borrow_mut().driver().gateway.set_gatekeepers(count);
            in_use = count;
        }
    }
    std::future::pending().await
}

/// Runs a frontend's tasks until it is told to stop and has nothing left to do. `tasks` go on for ever.
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

/// All calls have ended; what is queued is written, and what still comes is rejected, until the last connection is closed.
/// Guards against an exit over what is unread: it resets connections and queues, and nobody is notified.
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
        // Whoever has left by now is heard first: what waited for this moment goes out for those who are still there.
        link::read_pending_input().await;
    }
}

/// Runs what is due and returns when the next timer is; `None` once the frontend has stopped and the core is shut down.
fn run_due_timers<F: Frontend>(frontend: &mut F) -> Option<Micros> {
    let now = clock::now();
    frontend.feed(Input::Tick);
    frontend.maintain(now);
    let client_connections = frontend.client_connections();
    if frontend.driver().may_exit(now, client_connections) {
        // Whatever still comes while connections are flushed is rejected: nobody would see it through.
        frontend.driver().gateway.reject_new_calls(Some(0));
        frontend.feed(Input::Shutdown);
        return None;
    }
    let core_deadline = frontend.driver().gateway.next_deadline().unwrap_or(Micros::MAX);
    Some(core_deadline.min(now + F::MAINTENANCE_INTERVAL))
}
