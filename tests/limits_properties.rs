//! Random files of limits against the rules: what is accepted lets no schedule of events break one, and what is refused
//! would break the rule that the finding names.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use cobaltspool::gateway::{AttemptId, Command, Gateway, Input, SetupRequest};
use cobaltspool::limits::file::Section;
use cobaltspool::limits::{Asked, Ceilings, ClassInfo, Limits, Live, Plan};
use cobaltspool::ops::{Path, Weight};
use cobaltspool::sections;
use cobaltspool::*;
use proptest::prelude::*;
use serde_json::{Map, Value, json};

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
const PATIENCE: [Micros; 2] = [9 * SEC, 3 * SEC];
const CLASSES: [&str; 2] = ["voice", "order"];

fn settings() -> Settings {
    let class = |aim| Class {
        latency_objective: aim,
        priority_weight: 1.0,
        late_weight_share: 0.25,
        pools: None,
        is_idempotent: true,
    };
    Settings {
        gatekeeper_count: 1,
        classes: vec![class(2 * SEC), class(SEC)],
        tick: 5 * MS,
        max_attempts: 4,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 2 * SEC,
        rules: Rules {
            answer_slack: 20 * MS,
            drain_grace: 250 * MS,
            release_wait: 500 * MS,
            initial_capacity: 0.3,
            warm_up_duration: 15 * SEC,
            overload_multiple: 2.0,
            overload_window: SEC,
        },
        ..Settings::default()
    }
}

fn ceilings() -> Ceilings {
    let class = |n: usize| ClassInfo {
        name: CLASSES[n].into(),
        patience: PATIENCE[n],
        repeatable: true,
        pools: None,
    };
    Ceilings {
        attempts: 4,
        release_wait: 500 * MS,
        second_copies: Some(false),
        classes: Some(vec![class(0), class(1)]),
        ..Ceilings::default()
    }
}

/// Terms, some of which break a rule alone or together with others.
fn terms() -> impl Strategy<Value = Value> {
    let maybe = |s: BoxedStrategy<Value>| prop::option::weighted(0.35, s);
    let span = |range: std::ops::Range<u64>| range.prop_map(|ms| json!(format!("{ms}ms"))).boxed();
    let time_out = prop_oneof![
        4 => span(50..4_000),
        1 => span(8_000..12_000),
        2 => (5u32..120).prop_map(|share| json!(format!("{share}%"))).boxed(),
    ];
    (
        maybe(time_out.boxed()),
        maybe((1u32..6).prop_map(|n| json!(n)).boxed()),
        maybe(span(450..1_500)),
        maybe(span(450..5_000)),
        maybe(span(0..5_000)),
        maybe((1u64..1_000, 0u64..4_000, 0u32..101).prop_map(|(first, more, jitter)| {
            json!({"first": format!("{first}ms"), "most": format!("{}ms", first + more), "jitter": format!("{jitter}%")})
        }).boxed()),
        maybe((1u32..100).prop_map(|share| json!({"share": format!("{share}%"), "least": 1})).boxed()),
        maybe((1u32..6).prop_map(|n| json!(n)).boxed()),
        maybe((1u32..20).prop_map(|rate| json!({"per_second": rate, "burst": 2})).boxed()),
    )
        .prop_map(|(time_out, attempts, timed_out, reset, full, back_off, budget, open, rate)| {
            let mut map = Map::new();
            let mut set = |key: &str, value: Option<Value>| {
                map.extend(value.map(|value| (key.to_string(), value)));
            };
            set("time_out", time_out);
            set("attempts", attempts);
            let pauses = [("timed_out", timed_out), ("reset", reset), ("full", full)];
            let pauses: Map<String, Value> =
                pauses.into_iter().filter_map(|(key, value)| Some((key.to_string(), value?))).collect();
            set("pause", Some(Value::Object(pauses)));
            set("back_off", back_off);
            set("retry_budget", budget);
            set("open_calls", open);
            set("rate", rate);
            Value::Object(map)
        })
}

fn limits() -> impl Strategy<Value = Value> {
    (terms(), terms(), terms(), terms()).prop_map(|(default, voice, a, b)| {
        json!({
            "default": default,
            "classes": {"voice": voice},
            "routes": [
                {"name": "a", "match": {"prefix": "1"}, "limits": a},
                {"name": "b", "match": {"prefix": "12", "class": "order"}, "limits": b},
            ],
        })
    })
}

/// A file past the checker.
fn forced(limits: &Value) -> Plan {
    let mut findings = Vec::new();
    let section = Section::read(limits.clone(), &Path::of("limits"), &mut findings);
    assert_eq!(findings, [], "it can be read");
    Plan::new(section, &ceilings())
}

#[derive(Clone, Debug)]
enum Do {
    SetUp(usize, usize, u64),
    Answer(usize),
    End(usize, usize),
    GiveUp(usize),
    Pass(u64),
    Drain(u32, bool),
}

fn step() -> impl Strategy<Value = Do> {
    prop_oneof![
        5 => (0usize..2, 0usize..4, 200u64..9_000).prop_map(|(c, n, left)| Do::SetUp(c, n, left)),
        2 => any::<usize>().prop_map(Do::Answer),
        5 => (any::<usize>(), 0usize..5).prop_map(|(n, how)| Do::End(n, how)),
        1 => any::<usize>().prop_map(Do::GiveUp),
        4 => (0u64..1_500).prop_map(Do::Pass),
        1 => (0u32..2, any::<bool>()).prop_map(|(s, up)| Do::Drain(s, up)),
    ]
}

/// What is known of a call beside the core.
#[derive(Debug)]
struct Known {
    due: Micros,
    limits: Limits,
    max_attempts: u32,
    tries: u32,
    out: Option<AttemptId>,
    not_before: Micros,
    answered: bool,
    stands: bool,
}

struct World {
    gateway: Gateway,
    now: Micros,
    calls: BTreeMap<CallId, Known>,
    drained: BTreeMap<ServerId, Micros>,
    plan: Plan,
}

impl World {
    /// Feeds one input and holds each command against the rules.
    fn feed(&mut self, input: Input) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, input, &mut out);
        for command in out {
            match command {
                Command::SendAttempt { attempt, server, time_left: left, .. } => {
                    let call = self.calls.get_mut(&attempt.call).unwrap();
                    prop_assert!(!call.answered && call.out.is_none(), "two attempts out: {call:?}");
                    prop_assert!(
                        self.now >= call.not_before,
                        "before its rest was over: {call:?} at {}",
                        self.now
                    );
                    call.tries += 1;
                    prop_assert!(call.tries <= call.max_attempts, "one try too many: {call:?}");
                    prop_assert!(self.now + left <= call.due, "longer than its caller waits");
                    if let Some(told) = self.drained.get(&server) {
                        prop_assert!(self.now <= told + 250 * MS, "to a server that drains");
                    }
                    call.out = Some(attempt);
                }
                Command::CancelAttempt { attempt, .. } => {
                    let call = self.calls.get_mut(&attempt.call).unwrap();
                    call.out = None;
                    call.not_before = call.not_before.max(self.now + 500 * MS);
                }
                Command::Accept { call, .. } => self.finally(call, true)?,
                Command::Reject { call, .. } | Command::Fail { call } => self.finally(call, false)?,
                Command::ReportViolation(violation) => {
                    prop_assert!(false, "an invariant does not hold: {violation}")
                }
                Command::ReleaseAtServer { .. }
                | Command::ReleaseToCaller { .. }
                | Command::CheckHealth(_)
                | Command::CloseIdle(_)
                | Command::Log(_) => {}
            }
        }
        Ok(())
    }

    fn finally(&mut self, call: CallId, stands: bool) -> Result<(), TestCaseError> {
        let now = self.now;
        let call = self.calls.get_mut(&call).unwrap();
        prop_assert!(!call.answered, "two final answers: {call:?}");
        prop_assert!(now <= call.due + 20 * MS, "too late: {call:?} at {now}");
        (call.answered, call.stands) = (true, stands);
        Ok(())
    }

    fn pass(&mut self, time: Micros) -> Result<(), TestCaseError> {
        let end = self.now + time;
        while let Some(due) = self.gateway.next_deadline().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.feed(Input::Tick)?;
        }
        self.now = end;
        Ok(())
    }

    fn nth_out(&self, n: usize) -> Option<AttemptId> {
        let out: Vec<AttemptId> = self.calls.values().filter(|c| !c.answered).filter_map(|c| c.out).collect();
        (!out.is_empty()).then(|| out[n % out.len()])
    }

    fn list(&mut self) -> Input {
        let entry = |server| ServerEntry {
            server: ServerId(server),
            pool: PoolId(server.into()),
            started_at: 0,
            status: if self.drained.contains_key(&ServerId(server)) {
                ServerStatus::Draining
            } else {
                ServerStatus::Up
            },
        };
        Input::EndpointList {
            notified_at: self.now,
            scope: EndpointListScope::Complete,
            entries: vec![entry(0), entry(1)],
        }
    }

    fn take(&mut self, n: u64, class: usize, number: usize, left: u64) -> Result<(), TestCaseError> {
        let (call, number) = (CallId(n), ["1", "12", "123", "3"][number]);
        let left = (left * MS).min(PATIENCE[class]);
        let route = self.plan.route(CLASSES[class], 0, number);
        let limits = self.plan.compile(route, Some(CLASSES[class]));
        let max_attempts = limits.attempts.value.min(4);
        let known = Known {
            due: self.now + left,
            limits,
            max_attempts,
            tries: 0,
            out: None,
            not_before: 0,
            answered: false,
            stands: false,
        };
        self.calls.insert(call, known);
        self.feed(Input::SetupRequested(SetupRequest {
            call,
            wire_id: n.to_string().into(),
            class,
            number: Number(n),
            dialled_number: number.into(),
            first_choice: PoolId(0),
            time_left: left,
            is_redial: false,
            description: Bytes::from_static(b"offer"),
        }))
    }

    fn end(&mut self, attempt: AttemptId, how: usize) -> Result<(), TestCaseError> {
        let outcome =
            [Outcome::Rejected, Outcome::Reset, Outcome::Failed, Outcome::Unreachable, Outcome::TimedOut]
                [how];
        let call = self.calls.get_mut(&attempt.call).unwrap();
        call.out = None;
        call.not_before = self.now + call.limits.pause(outcome);
        if matches!(outcome, Outcome::Reset | Outcome::TimedOut) {
            call.not_before = call.not_before.max(self.now + 500 * MS);
        }
        let (cause, load) = (Cause::Unspecified, LoadReport::default());
        self.feed(Input::AttemptEnded { attempt, outcome, cause, load })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    #[test]
    fn what_is_accepted_breaks_no_rule_and_what_is_refused_would(
        limits in limits(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let text = json!({"limits": limits}).to_string();
        let plan = match sections::read_text("drawn", &text, &ceilings(), None) {
            Ok(ops) => ops.plan,
            Err(report) => {
                for finding in report.findings.iter().filter(|f| f.weight == Weight::Error) {
                    prop_assert!(would_break(finding.rule, &limits), "{finding:#?} breaks nothing in {limits}");
                }
                return Ok(());
            }
        };
        let names: Vec<String> = CLASSES.iter().map(ToString::to_string).collect();
        let live = Live::of(Some(Rc::new(plan)), &settings(), &names, 7);
        let mut world = World {
            gateway: Gateway::with_limits(settings(), live, 7),
            now: 1_000 * SEC,
            calls: BTreeMap::new(),
            drained: BTreeMap::new(),
            plan: forced(&limits),
        };
        let list = world.list();
        world.feed(list)?;
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Do::SetUp(class, number, left) => world.take(n as u64, class, number, left)?,
                Do::Answer(n) => {
                    if let Some(attempt) = world.nth_out(n) {
                        world.calls.get_mut(&attempt.call).unwrap().out = None;
                        world.feed(Input::Established { attempt, description: Bytes::from_static(b"answer") })?;
                    }
                }
                Do::End(n, how) => {
                    if let Some(attempt) = world.nth_out(n) {
                        world.end(attempt, how)?;
                    }
                }
                Do::GiveUp(n) => {
                    if let Some(attempt) = world.nth_out(n) {
                        world.calls.get_mut(&attempt.call).unwrap().answered = true; // nothing is owed
                        world.feed(Input::SetupCancelled(attempt.call))?;
                    }
                }
                Do::Pass(ms) => world.pass(ms * MS)?,
                Do::Drain(server, up) => {
                    if up {
                        world.drained.remove(&ServerId(server));
                    } else {
                        let now = world.now;
                        world.drained.entry(ServerId(server)).or_insert(now);
                    }
                    let list = world.list();
                    world.feed(list)?;
                }
            }
        }
        world.pass(10 * SEC)?;
        for call in world.calls.values() {
            prop_assert!(call.answered, "no final answer: {call:?}");
        }
        prop_assert_eq!(world.gateway.pending_calls(), 0);
    }
}

/// Whether some call of some route and class, its limits forced past the checker, breaks this rule.
fn would_break(rule: &str, limits: &Value) -> bool {
    let names: Vec<String> = CLASSES.iter().map(ToString::to_string).collect();
    let calls = (0..2).flat_map(|class| ["1", "12", "3"].map(|number| (class, number)));
    calls.into_iter().any(|(class, number)| {
        let mut live = Live::new(Rc::new(forced(limits)), names.clone(), 1);
        let asked = Asked { class, pool: 0, number, left: PATIENCE[class] };
        let held = live.take(SEC, asked).expect("the first is taken in");
        let attempts = held.limits.attempts.value;
        let mut rest = |outcome, tries| live.after(SEC, &held, outcome, tries).rest;
        match rule {
            "attempts" => attempts > 4,
            "pause" => {
                [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled]
                    .into_iter()
                    .any(|o| rest(o, 9) < 500 * MS)
                    || held.limits.timed_out.value.min(held.limits.reset.value) < 500 * MS
            }
            "outlasts" => held.try_for.is_some_and(|t| t > PATIENCE[class]),
            // However the tries end, the last begins after the caller has gone.
            "never-tried" => {
                let fastest = |tries| {
                    let ways = [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled, Outcome::Rejected];
                    ways.into_iter().map(|o| held.limits.pause(o)).min().unwrap_or(0)
                        + (held.limits.max_back_off(tries) as f64 * (1.0 - held.limits.jitter())) as Micros
                };
                (1..attempts).map(fastest).sum::<Micros>() >= PATIENCE[class]
            }
            _ => false,
        }
    })
}
