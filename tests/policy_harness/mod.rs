//! A test harness that runs one controller with a simulated clock, fires its timers and records its actions.
#![allow(dead_code)]

use cobaltspool::*;

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

pub struct PolicyHarness {
    pub controller: Controller,
    pub now: Micros,
    pub timers: Vec<(Micros, u64)>,
    /// All actions other than timers, each with its time.
    pub log: Vec<(Micros, Action)>,
}

pub fn settings() -> Settings {
    let class = |latency_objective, priority_weight| Class {
        latency_objective,
        priority_weight,
        late_weight_share: 0.25,
        pools: None,
        is_idempotent: true,
    };
    Settings {
        gatekeeper_count: 4,
        classes: vec![class(1_200 * MS, 1.0), class(2_000 * MS, 2.0)],
        retransmit_after: 500 * MS,
        tick: 5 * MS,
        max_attempts: 5,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 2 * SEC,
        rules: Rules {
            answer_slack: 20 * MS,
            drain_grace: 250 * MS,
            release_wait: 300 * MS,
            initial_capacity: 0.3,
            warm_up_duration: 15 * SEC,
            overload_multiple: 2.0,
            overload_window: 1_500 * MS,
        },
        ..Settings::default()
    }
}

pub fn entry_up(server: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        pool: PoolId(server.into()),
        started_at: 0,
        status: ServerStatus::Up,
    }
}

impl PolicyHarness {
    pub fn with(settings: Settings, servers: u32) -> PolicyHarness {
        let controller = Controller::new(settings, 11);
        let mut harness = PolicyHarness { controller, now: 100 * SEC, timers: Vec::new(), log: Vec::new() };
        harness.list(EndpointListScope::Restored, (0..servers).map(entry_up).collect());
        harness
    }

    pub fn new(servers: u32) -> PolicyHarness {
        PolicyHarness::with(settings(), servers)
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::SetTimer { delay, key } = action {
                self.timers.push((self.now + delay, key));
            } else {
                self.log.push((self.now, action));
            }
        }
    }

    pub fn list(&mut self, scope: EndpointListScope, entries: Vec<ServerEntry>) {
        self.event(Event::EndpointList { scope, entries });
    }

    /// Advances the clock by `span` and fires the timers that become due.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(n) = (0..self.timers.len()).min_by_key(|n| self.timers[*n]) {
            if self.timers[n].0 > end {
                break;
            }
            let (at, key) = self.timers.remove(n);
            self.now = self.now.max(at);
            self.event(Event::Timer { key });
        }
        self.now = end;
    }

    pub fn call_with(&mut self, id: u64, class: usize, number: u64, first_choice: i64) {
        let deadline = self.now + 3 * SEC;
        self.event(Event::Call(NewCall {
            call: CallId(id),
            class,
            number: Number(number),
            deadline,
            first_choice: PoolId(first_choice),
            is_redial: false,
            in_transit: false,
            max_attempts: u32::MAX,
        }));
    }

    pub fn call(&mut self, id: u64, first_choice: i64) {
        self.call_with(id, 0, 1_000_000 + id, first_choice);
    }

    /// Returns the servers of all attempts made so far for a call.
    pub fn attempts(&self, id: u64) -> Vec<u32> {
        self.log
            .iter()
            .filter_map(|(_, action)| match action {
                Action::Attempt { call, server, .. } if call.0 == id => Some(server.0),
                _ => None,
            })
            .collect()
    }

    /// Returns the number of final answers given so far to a call.
    pub fn final_answers(&self, id: u64) -> usize {
        let is_final =
            |a: &Action| matches!(a, Action::Reject { call, .. } | Action::Fail { call } if call.0 == id);
        self.log.iter().filter(|(_, action)| is_final(action)).count()
    }

    pub fn cancellations(&self, id: u64) -> usize {
        self.log
            .iter()
            .filter(|(_, action)| matches!(action, Action::Cancel { call, .. } if call.0 == id))
            .count()
    }

    pub fn establish(&mut self, id: u64, elapsed: Micros) {
        let sent = self.attempts(id);
        let (attempt, server) = (sent.len() as u32 - 1, ServerId(sent[sent.len() - 1]));
        self.event(Event::Established { call: CallId(id), attempt, server, elapsed });
    }

    pub fn end_attempt(&mut self, id: u64, outcome: Outcome, cause: Cause, load: LoadReport) {
        let sent = self.attempts(id);
        let (attempt, server) = (sent.len() as u32 - 1, ServerId(sent[sent.len() - 1]));
        self.event(Event::AttemptEnded(AttemptEnd {
            call: CallId(id),
            attempt,
            server,
            outcome,
            cause,
            elapsed: 30 * MS,
            is_call_over: outcome == Outcome::Completed,
            load,
            retry_delay: 0,
            may_retry: true,
        }));
    }

    /// Establishes one call with a set-up delay of `elapsed`, which sets the server's smallest set-up delay.
    pub fn set_min_setup_delay(&mut self, id: u64, server: u32, elapsed: Micros) {
        self.call(id, server.into());
        self.advance(elapsed);
        self.establish(id, elapsed);
    }

    pub fn report_load(&mut self, server: u32, load: LoadReport) {
        self.event(Event::Load { server: ServerId(server), answered: true, load });
    }

    /// Sends a load report that contains only the queueing delay of a server.
    pub fn report_delay(&mut self, server: u32, delay_ms: f64) {
        self.report_load(server, LoadReport { queueing_delay_ms: Some(delay_ms), ..LoadReport::default() });
    }

    pub fn gauge(&self, server: u32) -> Gauge {
        self.controller.gauge(ServerId(server)).expect("known server")
    }
}
