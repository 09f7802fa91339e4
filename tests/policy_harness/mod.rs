//! A scripted clock around one controller: fires its timers, keeps its actions.
#![allow(dead_code)]

use cobaltspool::*;

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

pub struct PolicyHarness {
    pub controller: Controller,
    pub now: Micros,
    pub timers: Vec<(Micros, u64)>,
    /// Every action with its time.
    pub log: Vec<(Micros, Action)>,
}

pub fn settings() -> Settings {
    let class = |aim, worth| Class {
        latency_objective: aim,
        priority_weight: worth,
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
    pub fn with(set: Settings, servers: u32) -> PolicyHarness {
        let controller = Controller::new(set, 11);
        let mut harness = PolicyHarness { controller, now: 100 * SEC, timers: Vec::new(), log: Vec::new() };
        harness.list(EndpointListScope::Restored, (0..servers).map(entry_up).collect());
        harness
    }

    pub fn new(servers: u32) -> PolicyHarness {
        PolicyHarness::with(settings(), servers)
    }

    pub fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        for action in out {
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

    /// Runs the clock on by `span`, firing timers.
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

    pub fn call_with(&mut self, id: u64, class: usize, number: u64, first: i64) {
        let deadline = self.now + 3 * SEC;
        self.event(Event::Call(NewCall {
            call: CallId(id),
            class,
            number: Number(number),
            deadline,
            first_choice: PoolId(first),
            is_redial: false,
            in_transit: false,
            max_attempts: u32::MAX,
        }));
    }

    pub fn call(&mut self, id: u64, first: i64) {
        self.call_with(id, 0, 1_000_000 + id, first);
    }

    /// Servers of all attempts for a call so far.
    pub fn attempts(&self, id: u64) -> Vec<u32> {
        self.log
            .iter()
            .filter_map(|(_, a)| match a {
                Action::Attempt { call, server, .. } if call.0 == id => Some(server.0),
                _ => None,
            })
            .collect()
    }

    /// Final answers for a call so far.
    pub fn final_answers(&self, id: u64) -> usize {
        let is =
            |a: &Action| matches!(a, Action::Reject { call, .. } | Action::Fail { call } if call.0 == id);
        self.log.iter().filter(|(_, a)| is(a)).count()
    }

    pub fn cancellations(&self, id: u64) -> usize {
        self.log.iter().filter(|(_, a)| matches!(a, Action::Cancel { call, .. } if call.0 == id)).count()
    }

    pub fn establish(&mut self, id: u64, took: Micros) {
        let sent = self.attempts(id);
        let (attempt, server) = (sent.len() as u32 - 1, ServerId(sent[sent.len() - 1]));
        self.event(Event::Established { call: CallId(id), attempt, server, elapsed: took });
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

    /// Teaches the gatekeeper a server's smallest set-up delay with one quick call.
    pub fn teach_setup_delay(&mut self, id: u64, server: u32, took: Micros) {
        self.call(id, server.into());
        self.advance(took);
        self.establish(id, took);
    }

    pub fn report_load(&mut self, server: u32, load: LoadReport) {
        self.event(Event::Load { server: ServerId(server), answered: true, load });
    }

    /// Tells of a wait of so many milliseconds at a server.
    pub fn report_wait(&mut self, server: u32, wait_ms: f64) {
        self.report_load(server, LoadReport { queueing_delay_ms: Some(wait_ms), ..LoadReport::default() });
    }

    pub fn gauge(&self, server: u32) -> Gauge {
        self.controller.gauge(ServerId(server)).expect("known server")
    }
}
