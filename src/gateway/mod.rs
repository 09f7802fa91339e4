//! The core of the gatekeeper: calls, attempts and rules, without sockets, codecs or clocks.
//!
//! A frontend (the platform's JSON lines, or SIP) passes in [`Input`]s with the time at which each was observed, and
//! executes the resulting [`Command`]s. Processing is split into one file per stage: `requests` handles set-up
//! requests and their cancellation or release by the caller, `admission` turns the decision module's rejections and
//! failures into final answers, `routing` keeps the state of the servers, `attempts` sends, cancels and times out
//! attempts, and `responses` handles the servers' answers. `call_table` owns the calls.
//!
//! All decisions are made by the decision module ([`Controller`]). The stages check its rules a second time; a check
//! that fails is reported through [`Command::ReportViolation`], because it indicates a defect.

mod admission;
mod attempts;
mod call_counters;
mod call_table;
mod interface;
mod requests;
mod responses;
mod routing;

use std::collections::{BTreeSet, VecDeque};

pub use call_counters::ClassCounters;
pub use interface::*;

use crate::limits::Limiter;
use crate::{Action, CallId, Controller, Event, Micros, ServerId, ServerStatus, Settings};
use attempts::EndReport;
use call_counters::CallEnd;
use call_table::{CallEntry, CallState, CallTable, InFlightAttempt};
use routing::RoutingTable;

/// A timer set by the decision module.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PolicyTimer {
    at: Micros,
    key: u64,
}

/// The core of one gatekeeper. Each frontend has its own instance.
pub struct Gateway {
    settings: Settings,
    policy: Controller,
    limits: Limiter,
    calls: CallTable,
    routing: RoutingTable,
    timers: BTreeSet<PolicyTimer>,
    /// Events not yet passed to the decision module.
    pending_events: VecDeque<Event>,
    /// Reused buffer for the decision module's actions.
    actions: Vec<Action>,
    pending_bounds: PendingBounds,
    /// Whether the frontend reports when the cancellation of an attempt is complete.
    awaits_cancellations: bool,
    /// If set, new calls are rejected with this retry-after.
    new_call_retry_after: Option<Micros>,
    now: Micros,
}

impl Gateway {
    /// Creates a gatekeeper without limits by route and class and with an empty server list.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let limits = Limiter::from_settings(&settings);
        Gateway::with_limits(settings, limits, seed)
    }

    /// Creates a gatekeeper with limits by route and class and with an empty server list.
    pub fn with_limits(settings: Settings, limits: Limiter, seed: u64) -> Self {
        Gateway {
            limits,
            policy: Controller::new(settings.clone(), seed),
            calls: CallTable::new(settings.classes.len()),
            routing: RoutingTable::default(),
            timers: BTreeSet::new(),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            pending_bounds: PendingBounds::default(),
            awaits_cancellations: false,
            new_call_retry_after: None,
            now: 0,
            settings,
        }
    }

    /// Handles one input and appends the commands to execute. The core's time never goes back: a `now` smaller than an
    /// earlier one is replaced by that one.
    pub fn handle(&mut self, now: Micros, input: Input, commands: &mut Vec<Command>) {
        self.now = self.now.max(now);
        if matches!(input, Input::Shutdown) {
            return self.shut_down(commands);
        }
        self.handle_input(input, commands);
        self.run_policy(commands);
        self.fire_timers(commands);
        self.expire_deadlines(commands);
        self.run_policy(commands);
    }

    fn handle_input(&mut self, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::SetupRequested(request) => self.handle_setup_request(request, commands),
            Input::SetupCancelled(call) => self.handle_cancellation(call, commands),
            Input::CallReleased(call) => self.handle_release(call, commands),
            Input::Established { attempt, description } => {
                self.handle_established(attempt, description, commands);
            }
            Input::AttemptEnded { attempt, outcome, cause, load } => {
                self.handle_attempt_ended(attempt, EndReport { outcome, cause, load }, commands);
            }
            Input::AttemptCancelled(attempt) => self.handle_attempt_cancelled(attempt),
            Input::AttemptLost(attempt) => self.handle_attempt_lost(attempt, commands),
            Input::Load { server, answered, load } => {
                self.routing.record_load(self.now, server, &load);
                self.pending_events.push_back(Event::Load { server, answered, load });
            }
            Input::EndpointList { notified_at, scope, entries } => {
                self.routing.update(notified_at.min(self.now), scope, &entries);
                self.pending_events.push_back(Event::EndpointList { scope, entries });
            }
            Input::ServerTerminated { server, at } => self.handle_server_terminated(server, at, commands),
            Input::ServerUnreachable { server, last_heard_at } => {
                self.handle_server_unreachable(server, last_heard_at, commands);
            }
            Input::CallAdopted(call) => self.adopt(call, commands),
            Input::CallHandedOver(call) => {
                if self.calls.is_established(call) {
                    self.calls.remove(call, 0, CallEnd::Released);
                }
            }
            Input::LimitsChanged(plan) => self.limits.replace_plan(self.now, plan),
            Input::Tick | Input::Shutdown => {}
        }
    }

    fn adopt(&mut self, adopted: AdoptedCall, commands: &mut Vec<Command>) {
        let AdoptedCall { attempt, wire_id, class, server } = adopted;
        let established = InFlightAttempt::new(attempt.number, server, self.now, self.now);
        let entry = CallEntry::established(wire_id, class, established);
        if !self.calls.insert_established(attempt.call, entry) {
            let violation = InvariantViolation::DuplicateAdoption(attempt.call);
            commands.push(Command::ReportViolation(violation));
        }
    }

    /// Time by which the next `Tick` is due if no other input arrives before.
    pub fn next_deadline(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|timer| timer.at);
        timer.into_iter().chain(self.calls.next_deadline()).min()
    }

    /// Number of calls without a final answer.
    pub fn pending_calls(&self) -> usize {
        self.calls.pending_count()
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        self.calls.established_count()
    }

    /// Ids of the established calls.
    pub fn established_call_ids(&self) -> Vec<CallId> {
        self.calls.established_call_ids()
    }

    /// Sets whether new calls are rejected: with `Some`, they are rejected with this retry-after; with `None`,
    /// accepted.
    pub fn reject_new_calls(&mut self, retry_after: Option<Micros>) {
        self.new_call_retry_after = retry_after;
    }

    /// Call counters by class.
    pub fn counters(&self) -> &[ClassCounters] {
        self.calls.counters.by_class()
    }

    /// Records that the last byte of an attempt of this class has been written to a server's connection.
    pub fn record_attempt_written(&mut self, class: usize) {
        self.calls.counters.record_attempt(class);
    }

    /// Counts the listed servers, and those among them that are sent no new calls now because they are draining,
    /// closed by overload control, or ejected.
    pub fn server_counts(&self) -> ServerCounts {
        let listed: Vec<(ServerId, ServerStatus)> = self.routing.listed().collect();
        let is_closed =
            |server| self.policy.gauge(server).is_some_and(|gauge| !gauge.is_open || gauge.is_ejected);
        let is_excluded =
            |(server, status): &&(ServerId, ServerStatus)| *status != ServerStatus::Up || is_closed(*server);
        ServerCounts { listed: listed.len(), excluded: listed.iter().filter(is_excluded).count() }
    }

    /// The state of a server, for the hand-over to another process of this gatekeeper.
    pub fn server_snapshot(&self, server: ServerId) -> ServerSnapshot {
        ServerSnapshot {
            is_ejected: self.policy.gauge(server).is_some_and(|gauge| gauge.is_ejected),
            last_reported_wait: self.routing.reported_wait(server),
            draining_since: self.routing.draining_since(server),
        }
    }

    /// Sets the number of gatekeepers that share the servers.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        self.policy.set_gatekeeper_count(gatekeepers);
    }

    /// Number of gatekeepers that share the servers according to the configuration.
    pub fn configured_gatekeepers(&self) -> u32 {
        self.settings.gatekeeper_count
    }

    /// Sets whether another process of this gatekeeper accepts calls as well, so that the limits are shared with it.
    pub fn set_limits_shared(&mut self, is_shared: bool) {
        self.limits.set_shared(self.now, is_shared);
    }

    /// Sets the bounds on calls without a final answer.
    pub fn set_pending_bounds(&mut self, bounds: PendingBounds) {
        self.pending_bounds = bounds;
    }

    /// Lets a cancelled attempt count as in flight until the frontend reports [`Input::AttemptCancelled`]. Otherwise it
    /// ends as soon as it is cancelled.
    pub fn await_cancellations(&mut self) {
        self.awaits_cancellations = true;
    }

    /// Whether the attempt is being cancelled and its call goes on once that is complete.
    pub fn awaits_cancellation(&self, attempt: AttemptId) -> bool {
        let state = self.calls.get(attempt.call).map(|entry| entry.state);
        let Some(CallState::Pending(Some(in_flight))) = state else { return false };
        in_flight.number == attempt.number && in_flight.cancelled_as.is_some()
    }

    fn fire_timers(&mut self, commands: &mut Vec<Command>) {
        while let Some(at) = self.timers.first().map(|timer| timer.at).filter(|at| *at <= self.now) {
            while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= at) {
                self.timers.remove(&timer);
                self.pending_events.push_back(Event::Timer { key: timer.key });
            }
            self.run_policy(commands);
        }
    }

    /// Passes the pending events to the decision module and executes its actions, until no event is left.
    fn run_policy(&mut self, commands: &mut Vec<Command>) {
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action, commands);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Attempt { call, server, timeout } => self.send_attempt(call, server, timeout, commands),
            Action::Cancel { call, attempt } => self.cancel_attempt(call, attempt, commands),
            Action::Reject { call, retry_after } => self.reject(call, retry_after, commands),
            Action::Fail { call } => self.fail(call, commands),
            Action::CheckHealth { server } => commands.push(Command::CheckHealth(server)),
            Action::CloseIdle { server } => commands.push(Command::CloseIdle(server)),
            Action::SetTimer { delay, key } => {
                self.timers.insert(PolicyTimer { at: self.now + delay, key });
            }
            Action::Log { text } => commands.push(Command::Log(text)),
            // Frontends push the endpoint list without a request, and gatekeepers exchange no messages in this program.
            Action::SendMessage { .. } | Action::WatchEndpointList { .. } | Action::PollEndpointList => {}
        }
    }
}

#[cfg(test)]
mod tests;
