//! What both fronts do alike with the core: feed it, carry its commands out, keep its time, and stop.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use cobaltspool_fleet::fronts::{Fronts, Seen};

use crate::Micros;
use crate::clock;
use crate::gateway::{Command, Gateway, Input};
use crate::limits::Plan;
use crate::link;
use crate::list::resolver::Heard;
use crate::operate::figures::Figures;
use crate::operate::service::Service;
use crate::operate::{Desk, View};
use crate::record::Record;

/// What is queued at the end may take this long to be written.
const LAST_WORDS: Duration = Duration::from_millis(120);
/// What was queued at a listener when it closed is read and answered within this.
const LAST_CALLERS: Duration = Duration::from_millis(50);
/// A connection that is closed has ended after so many turns of the loop; it waits for nobody.
const ENDS_WITHIN: usize = 64;

/// A front's core, with what surrounds it.
pub struct Host {
    /// The core.
    pub gateway: Gateway,
    /// What happened to calls of late.
    pub record: Record,
    /// What the core is still to be told.
    pub inputs: VecDeque<Input>,
    commands: Vec<Command>,
    wake: Rc<Notify>,
    /// Names of the classes, by their place in the settings.
    classes: Vec<String>,
    /// Whether clients are welcome.
    pub service: Service,
    /// When the last list of servers came: before the first no call could go anywhere.
    pub listed: Option<Micros>,
    /// When the resolver last told a list, new or not.
    pub list_heard: Rc<Heard>,
}

impl Host {
    /// A host for a new core, with callers of whom none waits longer than `patience`.
    pub fn new(gateway: Gateway, classes: Vec<String>, patience: Micros) -> Self {
        Host {
            gateway,
            record: Record::default(),
            inputs: VecDeque::new(),
            commands: Vec::new(),
            wake: Rc::new(Notify::new()),
            classes,
            service: Service::of(patience),
            listed: None,
            list_heard: Rc::new(Heard::new(clock::now())),
        }
    }

    /// Whether this process takes clients: they are welcome, and there is a list.
    pub fn ready(&self) -> bool {
        self.listed.is_some() && self.service.takes_clients()
    }

    /// The core's figures now.
    pub fn figures(&self) -> Figures {
        let counts = self.gateway.counts().iter().copied();
        let (servers_known, servers_excluded) = self.gateway.servers();
        Figures {
            classes: self.classes.iter().cloned().zip(counts).collect(),
            in_flight: self.gateway.open_calls() + self.gateway.standing_calls(),
            servers_known,
            servers_excluded,
            list_silent_s: (clock::now().saturating_sub(self.list_heard.get()) / 1_000_000) as usize,
        }
    }

    /// Whether the program has been told to stop and has nothing left to do.
    fn stopped(&self, now: Micros, callers: usize) -> bool {
        self.service.ended(now, self.gateway.open_calls(), self.gateway.standing_calls(), callers)
    }
}

/// A front.
pub trait Front {
    /// How often it wants to look after its connections, at least.
    const CARE: Micros;

    /// Its core and what surrounds that.
    fn host(&mut self) -> &mut Host;

    /// How many connections of callers there are that ought to go to another process.
    fn callers(&self) -> usize {
        0
    }

    /// The listener closes; what is queued there is still taken.
    fn stop_listening(&mut self) {}

    /// Every connection of a caller ends, once what is queued on it has been written. What crosses that end finds a
    /// connection that was closed in good order.
    fn close_callers(&mut self) {}

    /// Carries one of the core's commands out. What comes of it for the core goes to [`Host::inputs`].
    fn carry_out(&mut self, command: Command);

    /// Looks after connections and timers of its own.
    fn care(&mut self, now: Micros);

    /// Gives the core one input and carries out all that comes of it.
    fn feed(&mut self, input: Input) {
        let before = self.host().gateway.next_due();
        self.host().inputs.push_back(input);
        while let Some(input) = self.host().inputs.pop_front() {
            let mut commands = std::mem::take(&mut self.host().commands);
            let now = clock::now();
            self.host().record.input(now, &input);
            self.host().gateway.handle(now, input, &mut commands);
            for command in commands.drain(..) {
                self.host().record.command(now, &command);
                match command {
                    Command::Note(text) => tracing::info!(target: "module", text),
                    Command::Warn(text) => tracing::error!(target: "guard", text),
                    other => self.carry_out(other),
                }
            }
            self.host().commands = commands;
        }
        let due = self.host().gateway.next_due();
        if due.is_some_and(|due| before.is_none_or(|before| due < before)) {
            self.host().wake.notify_one();
        }
    }
}

/// The operators' limits, as they are from now on; `None`: there is no file.
pub type Plans = watch::Receiver<Option<Rc<Plan>>>;

/// Gives the core other limits when they change, for ever.
pub async fn follow_plan<F: Front>(front: &RefCell<F>, mut plans: Plans) {
    while plans.changed().await.is_ok() {
        let plan = plans.borrow_and_update().clone();
        if let Some(plan) = plan {
            front.borrow_mut().feed(Input::Limits(plan));
        }
    }
    std::future::pending().await
}

impl<F: Front> View for RefCell<F> {
    fn ready(&self) -> bool {
        self.borrow_mut().host().ready()
    }

    fn figures(&self) -> Figures {
        self.borrow_mut().host().figures()
    }

    fn succeeded(&self) -> bool {
        self.borrow_mut().host().service.succeeded_by()
    }

    fn listed(&self) -> Option<Micros> {
        self.borrow_mut().host().listed
    }
}

/// What the fleet's view says from moment to moment; `None`: there is no fleet.
pub type Fleet = Option<watch::Receiver<(Micros, Seen)>>;

/// Tells the core how many gatekeepers share the servers, for ever. With what is seen comes how long a fall has to be settled:
/// it grows with the fleet.
async fn follow_fleet<F: Front>(front: &RefCell<F>, fleet: Fleet) {
    let Some(mut fleet) = fleet else { return std::future::pending().await };
    let configured = front.borrow_mut().host().gateway.configured();
    let (mut fronts, mut held) = (Fronts::new(configured), configured);
    while fleet.changed().await.is_ok() {
        let (bound, seen) = *fleet.borrow_and_update();
        let now = fronts.at(clock::now(), bound, seen);
        if now != held {
            tracing::info!(target: "fleet", from = held, to = now, "gatekeepers that share the servers");
            front.borrow_mut().host().gateway.shared_by(now);
            held = now;
        }
    }
    std::future::pending().await
}

/// Runs a front's tasks until it is told to stop and has nothing left to do. `tasks` go on for ever.
pub async fn run<F: Front + 'static>(
    front: Rc<RefCell<F>>,
    desk: Rc<Desk>,
    tasks: impl Future,
    stop: impl Future<Output = ()>,
) {
    let view: Rc<dyn View> = front.clone();
    desk.attend(Rc::downgrade(&view));
    let told = async {
        stop.await;
        tracing::info!("stopping");
        desk.stops();
        front.borrow_mut().host().service.stop(clock::now());
        std::future::pending::<()>().await;
    };
    let mut orders = desk.orders();
    let ordered = async {
        while orders.changed().await.is_ok() {
            let out = *orders.borrow_and_update();
            let mut front = front.borrow_mut();
            front.host().service.order(clock::now(), out);
            front.care(clock::now());
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        _ = tasks => {}
        () = told => {}
        () = ordered => {}
        () = async { keep_time(&front).await; say_last_words(&front).await } => {}
        () = follow_fleet(&front, desk.fleet_seen()) => {}
    }
}

/// All calls have ended; what is queued is written, and what still comes is turned away, until the last connection is
/// closed. Guards against an exit over what is unread: it resets connections and queues, and nobody is told.
async fn say_last_words<F: Front>(front: &RefCell<F>) {
    tokio::time::sleep(LAST_WORDS).await;
    front.borrow_mut().stop_listening();
    tokio::time::sleep(LAST_CALLERS).await;
    front.borrow_mut().close_callers();
    for _ in 0..ENDS_WITHIN {
        if front.borrow().callers() == 0 {
            break;
        }
        tokio::task::yield_now().await;
    }
}

/// Gives the core its ticks; returns once the front has stopped.
async fn keep_time<F: Front>(front: &RefCell<F>) {
    let wake = front.borrow_mut().host().wake.clone();
    loop {
        let now = clock::now();
        let due = {
            let mut front = front.borrow_mut();
            front.feed(Input::Tick);
            front.care(now);
            let callers = front.callers();
            if front.host().stopped(now, callers) {
                // Whatever still comes while the last words are written is turned away: nobody would see it through.
                front.host().gateway.turn_away(Some(0));
                return front.feed(Input::Close);
            }
            front.host().gateway.next_due().unwrap_or(Micros::MAX).min(now + F::CARE)
        };
        let wait = Duration::from_micros(due.saturating_sub(clock::now()));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = wake.notified() => {}
        }
        // Whoever has left by now is heard first: what waited for this moment goes out for those who are still there.
        link::hear_first().await;
    }
}
