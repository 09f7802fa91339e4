//! A scripted clock around one front: fires its timers, keeps its actions.
#![allow(dead_code)]

use cobaltspool::*;

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

pub struct Bed {
    pub front: Controller,
    pub now: Micros,
    pub timers: Vec<(Micros, u64)>,
    /// Every action with its time.
    pub log: Vec<(Micros, Action)>,
}

pub fn settings() -> Settings {
    let class = |aim, worth| Class { aim, worth, late_worth: 0.25, pools: None, repeatable: true };
    Settings {
        fronts: 4,
        classes: vec![class(1_200 * MS, 1.0), class(2_000 * MS, 2.0)],
        resend_after: 500 * MS,
        tick: 5 * MS,
        max_attempts: 5,
        may_cancel: true,
        may_advise_retry: true,
        max_retry_after: 2 * SEC,
        rules: Rules {
            answer_slack: 20 * MS,
            drain_grace: 250 * MS,
            release_wait: 300 * MS,
            start_capacity: 0.3,
            warm_up: 15 * SEC,
            tip_multiple: 2.0,
            fall_time: 1_500 * MS,
        },
        ..Settings::default()
    }
}

pub fn up(server: u32) -> ServerEntry {
    ServerEntry { server: ServerId(server), pool: PoolId(server.into()), started_at: 0, status: Status::Up }
}

impl Bed {
    pub fn with(set: Settings, servers: u32) -> Bed {
        let front = Controller::new(set, 11);
        let mut bed = Bed { front, now: 100 * SEC, timers: Vec::new(), log: Vec::new() };
        bed.list(ListScope::Restored, (0..servers).map(up).collect());
        bed
    }

    pub fn new(servers: u32) -> Bed {
        Bed::with(settings(), servers)
    }

    pub fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.front.handle(self.now, event, &mut out);
        for action in out {
            if let Action::SetTimer { delay, key } = action {
                self.timers.push((self.now + delay, key));
            } else {
                self.log.push((self.now, action));
            }
        }
    }

    pub fn list(&mut self, scope: ListScope, entries: Vec<ServerEntry>) {
        self.event(Event::List { scope, entries });
    }

    /// Runs the clock on by `span`, firing timers.
    pub fn pass(&mut self, span: Micros) {
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

    pub fn call_as(&mut self, id: u64, class: usize, number: u64, first: i64) {
        let due = self.now + 3 * SEC;
        self.event(Event::Call {
            call: CallId(id),
            class,
            number: Number(number),
            due,
            first_choice: PoolId(first),
            repeat: false,
            in_transit: false,
            attempts: u32::MAX,
        });
    }

    pub fn call(&mut self, id: u64, first: i64) {
        self.call_as(id, 0, 1_000_000 + id, first);
    }

    /// Servers of all attempts for a call so far.
    pub fn sent(&self, id: u64) -> Vec<u32> {
        self.log
            .iter()
            .filter_map(|(_, a)| match a {
                Action::Attempt { call, server, .. } if call.0 == id => Some(server.0),
                _ => None,
            })
            .collect()
    }

    /// Final answers for a call so far.
    pub fn finals(&self, id: u64) -> usize {
        let is =
            |a: &Action| matches!(a, Action::Refuse { call, .. } | Action::Fail { call } if call.0 == id);
        self.log.iter().filter(|(_, a)| is(a)).count()
    }

    pub fn cancels(&self, id: u64) -> usize {
        self.log.iter().filter(|(_, a)| matches!(a, Action::Cancel { call, .. } if call.0 == id)).count()
    }

    pub fn stands(&mut self, id: u64, took: Micros) {
        let sent = self.sent(id);
        let (attempt, server) = (sent.len() as u32 - 1, ServerId(sent[sent.len() - 1]));
        self.event(Event::Stands { call: CallId(id), attempt, server, took });
    }

    pub fn ends(&mut self, id: u64, outcome: Outcome, cause: Cause, load: LoadReport) {
        let sent = self.sent(id);
        let (attempt, server) = (sent.len() as u32 - 1, ServerId(sent[sent.len() - 1]));
        let (call, took, over) = (CallId(id), 30 * MS, outcome == Outcome::Completed);
        let (rest, again) = (0, true);
        self.event(Event::AttemptEnded {
            call,
            attempt,
            server,
            outcome,
            cause,
            took,
            over,
            load,
            rest,
            again,
        });
    }

    /// Teaches the front a server's least set-up delay with one quick call.
    pub fn learn(&mut self, id: u64, server: u32, took: Micros) {
        self.call(id, server.into());
        self.pass(took);
        self.stands(id, took);
    }

    pub fn report(&mut self, server: u32, load: LoadReport) {
        self.event(Event::Load { server: ServerId(server), answered: true, load });
    }

    /// Tells of a wait of so many milliseconds at a server.
    pub fn press(&mut self, server: u32, wait_ms: f64) {
        self.report(server, LoadReport { wait_ms: Some(wait_ms), ..LoadReport::default() });
    }

    pub fn gauge(&self, server: u32) -> Gauge {
        self.front.gauge(ServerId(server)).expect("known server")
    }
}
