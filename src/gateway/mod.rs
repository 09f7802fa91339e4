//! The core of the gatekeeper: calls, attempts and rules, without sockets, wires or clocks.
//!
//! A front (the platform's JSON lines, or SIP) feeds [`Input`]s, each with the time at which it is seen, and
//! carries out the [`Command`]s. Between the two a call passes the stages, one a file: `intake` takes it in,
//! `admit` puts it to the decision module and turns a verdict into the final answer, `route` knows the servers,
//! `send` makes the attempts, `relay` passes on what servers and callers say, and `book` keeps the call table.
//!
//! The decisions are the module's ([`Controller`]). The stages enforce the rules once more, as last guards; a
//! guard that fires says so through [`Command::Warn`], because it means that a defect got past the module.

mod admit;
mod book;
mod intake;
mod relay;
mod route;
mod send;
mod tally;

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use bytes::Bytes;

pub use tally::Counts;

use crate::limits::{Live, Plan};
use crate::{Action, CallId, Cause, Controller, Event, LoadReport, Micros, Number, Outcome, PoolId};
use crate::{EndpointListScope, ServerEntry, ServerId, Settings};

/// One attempt to set a call up; the numbers of a call's attempts start from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// Which attempt.
    pub number: u32,
}

/// A set-up as a caller asked for it.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// A number of the front's own, never used twice.
    pub call: CallId,
    /// The call's name on the wire. A caller may use it again once the call is over.
    pub name: Box<str>,
    /// Place of the class in the settings.
    pub class: usize,
    /// The number called.
    pub number: Number,
    /// The same as it was dialled.
    pub dialled: Box<str>,
    /// Pool of first choice.
    pub first_choice: PoolId,
    /// How long the caller waits from now on.
    pub left: Micros,
    /// The caller is known to try again.
    pub again: bool,
    /// The caller's description, passed on unchanged.
    pub description: Bytes,
}

/// What a front has seen.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller asks for a call.
    SetUp(SetUp),
    /// The caller has given the set-up up, or has gone: nothing is owed any more.
    GivenUp(CallId),
    /// The caller releases a call that stands.
    HungUp(CallId),
    /// A server answers: the call stands.
    Stands {
        /// Which attempt.
        attempt: AttemptId,
        /// The server's description, passed on unchanged.
        description: Bytes,
    },
    /// A server ends an attempt, standing or not, or it is known that it cannot answer any more.
    Ended {
        /// Which attempt.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// What was said of it.
        cause: Cause,
        /// The server's load.
        load: LoadReport,
    },
    /// A report outside an attempt, or a probe's answer (`answered` is false when none came).
    Load {
        /// The server.
        server: ServerId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: LoadReport,
    },
    /// News of the server list.
    List {
        /// From when on it may count as told; the drain window begins here.
        told: Micros,
        /// What the list holds.
        scope: EndpointListScope,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A server's process is known to have ended at `at`, or by then: what it held from before is cut.
    Lost {
        /// The server.
        server: ServerId,
        /// When.
        at: Micros,
    },
    /// Nothing has been heard of a server since `since`, for so long that what stood there counts as over:
    /// its end may have been told, and a caller must hear of an end in time.
    Unheard {
        /// The server.
        server: ServerId,
        /// When it was last heard.
        since: Micros,
    },
    /// A call that stands at a server comes from another process of this gatekeeper.
    Adopted {
        /// The attempt by which it stands here.
        attempt: AttemptId,
        /// Its name on the wire.
        name: Box<str>,
        /// Place of its class in the settings.
        class: usize,
        /// Where it stands.
        server: ServerId,
    },
    /// A call that stands is another process's from now on: nothing is released, nobody is told.
    HandedOver(CallId),
    /// Other limits from now on.
    Limits(Rc<Plan>),
    /// Time has passed; the next input is wanted by [`Gateway::next_due`].
    Tick,
    /// The program ends: every call is brought to its end now.
    Close,
}

/// What a front is to do. Commands are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a set-up to a server. The front says `Ended` with `Unreachable` if it could not start to.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
        /// How long the gatekeeper will wait.
        left: Micros,
        /// The caller's description.
        description: Bytes,
    },
    /// Give an attempt up that has no answer yet.
    GiveUp {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
    },
    /// Release at the server what stands there, or a late answer that nobody waits for.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        server: ServerId,
    },
    /// Final answer: the call stands.
    Answer {
        /// The call.
        call: CallId,
        /// The server's description.
        description: Bytes,
    },
    /// Final answer: turned away; the caller may come back after `wait`.
    Refuse {
        /// The call.
        call: CallId,
        /// How long to stay away; 0: no advice.
        wait: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// A call that stood is over: release it towards the caller.
    Over {
        /// The call.
        call: CallId,
        /// `Completed`, `Cut` or `Cancelled`.
        outcome: Outcome,
    },
    /// Ask a server for its load.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// A line for the log.
    Note(String),
    /// A last guard fired: a defect to trace.
    Warn(String),
}

/// One gatekeeper's state. One instance a front.
pub struct Gateway {
    set: Settings,
    module: Controller,
    limits: Live,
    book: book::Book,
    route: route::Route,
    timers: BTreeSet<(Micros, u64)>,
    /// What the module is still to be told.
    news: VecDeque<Event>,
    actions: Vec<Action>,
    /// New calls are turned away, to come again after this.
    away: Option<Micros>,
    now: Micros,
}

impl Gateway {
    /// A gatekeeper that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let limits = Live::bare(&set);
        Gateway::with(set, limits, seed)
    }

    /// The same with limits by route and class.
    pub fn with(set: Settings, limits: Live, seed: u64) -> Self {
        Gateway {
            limits,
            module: Controller::new(set.clone(), seed),
            book: book::Book::of(set.classes.len()),
            route: route::Route::default(),
            timers: BTreeSet::new(),
            news: VecDeque::new(),
            actions: Vec::new(),
            away: None,
            now: 0,
            set,
        }
    }

    /// Takes one input and appends what is to be done. A smaller `now` than before counts as that.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        match input {
            Input::SetUp(set_up) => self.take_in(set_up, out),
            Input::GivenUp(call) => self.given_up(call, out),
            Input::HungUp(call) => self.hung_up(call, out),
            Input::Stands { attempt, description } => self.stands(attempt, description, out),
            Input::Ended { attempt, outcome, cause, load } => {
                self.ended(attempt, outcome, cause, load, out);
            }
            Input::Load { server, answered, load } => {
                self.route.heard(self.now, server, &load);
                self.news.push_back(Event::Load { server, answered, load });
            }
            Input::List { told, scope, entries } => {
                self.route.learn(told.min(self.now), scope, &entries);
                self.news.push_back(Event::EndpointList { scope, entries });
            }
            Input::Lost { server, at } => self.lost(server, at, out),
            Input::Unheard { server, since } => self.unheard(server, since, out),
            Input::Adopted { attempt, name, class, server } => {
                let at = book::Out { number: attempt.number, server, sent: self.now, until: self.now };
                if !self.book.adopt(attempt.call, name, class, at) {
                    out.push(Command::Warn(format!("relay: call {} was adopted twice", attempt.call.0)));
                }
            }
            Input::HandedOver(call) => {
                if self.book.get(call).is_some_and(|e| matches!(e.state, book::State::Stands(_))) {
                    self.book.close(call, 0, tally::End::Over);
                }
            }
            Input::Limits(plan) => self.limits.replace(self.now, plan),
            Input::Tick => {}
            Input::Close => return self.close(out),
        }
        self.settle(out);
        while let Some(at) = self.timers.first().map(|(at, _)| *at).filter(|at| *at <= self.now) {
            while let Some((at, key)) = self.timers.first().copied().filter(|(t, _)| *t <= at) {
                self.timers.remove(&(at, key));
                self.news.push_back(Event::Timer { key });
            }
            self.settle(out);
        }
        self.expire(out);
        self.settle(out);
    }

    /// When the next `Tick` is wanted, if nothing else comes first.
    pub fn next_due(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|(at, _)| *at);
        timer.into_iter().chain(self.book.next_due()).min()
    }

    /// Calls that are still owed a final answer.
    pub fn open_calls(&self) -> usize {
        self.book.open()
    }

    /// Calls that stand.
    pub fn standing_calls(&self) -> usize {
        self.book.standing()
    }

    /// From now on new calls are turned away, to come again after a while; or taken, with `None`.
    pub fn turn_away(&mut self, away: Option<Micros>) {
        self.away = away;
    }

    /// What became of the calls so far, by class.
    pub fn counts(&self) -> &[Counts] {
        self.book.tally.counts()
    }

    /// The last byte of a set-up of this class has been given to a server's connection.
    pub fn attempt_written(&mut self, class: usize) {
        self.book.tally.attempt(class);
    }

    /// Listed servers, and those of them that get no fresh calls now: they drain, the module has them shut, or they
    /// did not answer and only trial calls go there.
    pub fn servers(&self) -> (usize, usize) {
        let listed: Vec<(ServerId, bool)> = self.route.listed().collect();
        let shut = |server| self.module.gauge(server).is_some_and(|g| !g.is_open || g.is_ejected);
        let avoided = listed.iter().filter(|(server, up)| !up || shut(*server)).count();
        (listed.len(), avoided)
    }

    /// Calls that stand.
    pub fn standing(&self) -> Vec<CallId> {
        self.book.standing_ones()
    }

    /// What is known of a server for another process of this gatekeeper: whether it is silent, when it last told which
    /// wait in milliseconds, and since when it drains.
    pub fn known_of(&self, server: ServerId) -> (bool, Option<(Micros, f64)>, Option<Micros>) {
        let silent = self.module.gauge(server).is_some_and(|g| g.is_ejected);
        (silent, self.route.report(server), self.route.drains_since(server))
    }

    /// So many gatekeepers share the servers from now on.
    pub fn shared_by(&mut self, gatekeepers: u32) {
        self.module.set_gatekeepers(gatekeepers);
    }

    /// How many gatekeepers share the servers by the configuration.
    pub fn configured(&self) -> u32 {
        self.set.gatekeepers
    }

    /// Another process of this gatekeeper takes calls too, or does no longer.
    pub fn share(&mut self, shared: bool) {
        self.limits.share(self.now, shared);
    }

    /// Tells the module its news and carries its actions out, until neither is left.
    fn settle(&mut self, out: &mut Vec<Command>) {
        while let Some(event) = self.news.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Attempt { call, server, timeout: time_out } => {
                        self.attempt(call, server, time_out, out)
                    }
                    Action::Cancel { call, attempt } => self.cancel(call, attempt, out),
                    Action::Reject { call, retry_after } => self.refuse(call, retry_after, out),
                    Action::Fail { call } => self.fail(call, out),
                    Action::CheckHealth { server } => out.push(Command::Probe(server)),
                    Action::CloseIdle { server } => out.push(Command::CloseIdle(server)),
                    Action::SetTimer { delay, key } => {
                        self.timers.insert((self.now + delay, key));
                    }
                    Action::Log { text } => out.push(Command::Note(text)),
                    // The list comes unasked and there are no messages between gatekeepers here.
                    Action::SendMessage { .. }
                    | Action::WatchEndpointList { .. }
                    | Action::PollEndpointList => {}
                }
            }
            self.actions = actions;
        }
    }
}

#[cfg(test)]
mod tests;
