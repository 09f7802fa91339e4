//! Tests random limits against the rules: with accepted limits no sequence of events breaks a rule, and refused limits
//! would break the rule that the finding names.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use cobaltspool::gateway::{AttemptId, Command, Gateway, Input, SetupRequest};
use cobaltspool::limits::file::Section;
use cobaltspool::limits::{AdmissionRequest, Ceilings, ClassInfo, Limiter, Limits, Plan};
use cobaltspool::ops::{Path, Severity};
use cobaltspool::sections;
use cobaltspool::*;
use proptest::prelude::*;
use serde_json::{Map, Value, json};

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
const MAX_WAITS: [Micros; 2] = [9 * SEC, 3 * SEC];
const CLASSES: [&str; 2] = ["voice", "order"];

fn settings() -> Settings {
    let class = |latency_objective| Class {
        latency_objective,
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
        max_wait: MAX_WAITS[n],
        is_idempotent: true,
        allowed_pools: None,
    };
    Ceilings {
        attempts: 4,
        release_wait: 500 * MS,
        second_copies: Some(false),
        classes: Some(vec![class(0), class(1)]),
        ..Ceilings::default()
    }
}

/// Settings of one level, some of which break a rule alone or in combination.
fn level_settings() -> impl Strategy<Value = Value> {
    let optional = |s: BoxedStrategy<Value>| prop::option::weighted(0.35, s);
    let span = |range: std::ops::Range<u64>| range.prop_map(|ms| json!(format!("{ms}ms"))).boxed();
    let time_out = prop_oneof![
        4 => span(50..4_000),
        1 => span(8_000..12_000),
        2 => (5u32..120).prop_map(|share| json!(format!("{share}%"))).boxed(),
    ];
    (
        optional(time_out.boxed()),
        optional((1u32..6).prop_map(|n| json!(n)).boxed()),
        optional(span(450..1_500)),
        optional(span(450..5_000)),
        optional(span(0..5_000)),
        optional((1u64..1_000, 0u64..4_000, 0u32..101).prop_map(|(first, more, jitter)| {
            json!({"first": format!("{first}ms"), "most": format!("{}ms", first + more), "jitter": format!("{jitter}%")})
        }).boxed()),
        optional((1u32..100).prop_map(|share| json!({"share": format!("{share}%"), "least": 1})).boxed()),
        optional((1u32..6).prop_map(|n| json!(n)).boxed()),
        optional((1u32..20).prop_map(|rate| json!({"per_second": rate, "burst": 2})).boxed()),
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
    (level_settings(), level_settings(), level_settings(), level_settings()).prop_map(
        |(default, voice, a, b)| {
            json!({
                "default": default,
                "classes": {"voice": voice},
                "routes": [
                    {"name": "a", "match": {"prefix": "1"}, "limits": a},
                    {"name": "b", "match": {"prefix": "12", "class": "order"}, "limits": b},
                ],
            })
        },
    )
}

/// Compiles limits without checking them.
fn unchecked_plan(limits: &Value) -> Plan {
    let mut findings = Vec::new();
    let section = Section::read(limits.clone(), &Path::of("limits"), &mut findings);
    assert_eq!(findings, [], "the section can be read");
    Plan::new(section, &ceilings())
}

#[derive(Clone, Debug)]
enum Step {
    SetUp(usize, usize, u64),
    Answer(usize),
    EndAttempt(usize, usize),
    CancelSetup(usize),
    AdvanceClock(u64),
    SetServerStatus(u32, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0usize..2, 0usize..4, 200u64..9_000).prop_map(|(c, n, time_left)| Step::SetUp(c, n, time_left)),
        2 => any::<usize>().prop_map(Step::Answer),
        5 => (any::<usize>(), 0usize..5).prop_map(|(n, outcome)| Step::EndAttempt(n, outcome)),
        1 => any::<usize>().prop_map(Step::CancelSetup),
        4 => (0u64..1_500).prop_map(Step::AdvanceClock),
        1 => (0u32..2, any::<bool>()).prop_map(|(s, is_up)| Step::SetServerStatus(s, is_up)),
    ]
}

/// Expected state of a call.
#[derive(Debug)]
struct ModelCall {
    deadline: Micros,
    limits: Limits,
    max_attempts: u32,
    attempts: u32,
    in_flight: Option<AttemptId>,
    not_before: Micros,
    is_answered: bool,
    is_established: bool,
}

/// The core, and the model that its commands are compared with.
struct Model {
    gateway: Gateway,
    now: Micros,
    calls: BTreeMap<CallId, ModelCall>,
    draining_since: BTreeMap<ServerId, Micros>,
    plan: Plan,
}

impl Model {
    /// Passes one input to the core and checks each command that it returns against the rules.
    fn feed(&mut self, input: Input) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, input, &mut out);
        for command in out {
            match command {
                Command::SendAttempt { attempt, server, time_left, .. } => {
                    let call = self.calls.get_mut(&attempt.call).unwrap();
                    prop_assert!(!call.is_answered && call.in_flight.is_none(), "two attempts out: {call:?}");
                    prop_assert!(
                        self.now >= call.not_before,
                        "before its retry delay was over: {call:?} at {}",
                        self.now
                    );
                    call.attempts += 1;
                    prop_assert!(call.attempts <= call.max_attempts, "one attempt too many: {call:?}");
                    prop_assert!(
                        self.now + time_left <= call.deadline,
                        "the attempt lasts longer than its caller waits"
                    );
                    if let Some(since) = self.draining_since.get(&server) {
                        prop_assert!(self.now <= since + 250 * MS, "attempt sent to a draining server");
                    }
                    call.in_flight = Some(attempt);
                }
                Command::CancelAttempt { attempt, .. } => {
                    let call = self.calls.get_mut(&attempt.call).unwrap();
                    call.in_flight = None;
                    call.not_before = call.not_before.max(self.now + 500 * MS);
                }
                Command::Accept { call, .. } => self.check_final_answer(call, true)?,
                Command::Reject { call, .. } | Command::Fail { call } => {
                    self.check_final_answer(call, false)?
                }
                Command::ReportViolation(violation) => {
                    prop_assert!(false, "an invariant does not hold: {violation}")
                }
                Command::ReleaseAtServer { .. }
                | Command::ReleaseIfConnected { .. }
                | Command::ReleaseToCaller { .. }
                | Command::CheckHealth(_)
                | Command::CloseIdle(_)
                | Command::Log(_) => {}
            }
        }
        Ok(())
    }

    fn check_final_answer(&mut self, call: CallId, is_established: bool) -> Result<(), TestCaseError> {
        let now = self.now;
        let call = self.calls.get_mut(&call).unwrap();
        prop_assert!(!call.is_answered, "two final answers: {call:?}");
        prop_assert!(now <= call.deadline + 20 * MS, "too late: {call:?} at {now}");
        (call.is_answered, call.is_established) = (true, is_established);
        Ok(())
    }

    fn advance_clock(&mut self, time: Micros) -> Result<(), TestCaseError> {
        let end = self.now + time;
        while let Some(deadline) = self.gateway.next_deadline().filter(|deadline| *deadline <= end) {
            self.now = self.now.max(deadline);
            self.feed(Input::Tick)?;
        }
        self.now = end;
        Ok(())
    }

    fn nth_in_flight(&self, n: usize) -> Option<AttemptId> {
        let in_flight: Vec<AttemptId> =
            self.calls.values().filter(|c| !c.is_answered).filter_map(|c| c.in_flight).collect();
        (!in_flight.is_empty()).then(|| in_flight[n % in_flight.len()])
    }

    fn server_list(&mut self) -> Input {
        let entry = |server| ServerEntry {
            server: ServerId(server),
            pool: PoolId(server.into()),
            started_at: 0,
            status: if self.draining_since.contains_key(&ServerId(server)) {
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

    fn set_up(&mut self, n: u64, class: usize, number: usize, time_left: u64) -> Result<(), TestCaseError> {
        let (call, number) = (CallId(n), ["1", "12", "123", "3"][number]);
        let time_left = (time_left * MS).min(MAX_WAITS[class]);
        let route = self.plan.route(CLASSES[class], 0, number);
        let limits = self.plan.compile(route, Some(CLASSES[class]));
        let max_attempts = limits.attempts.value.min(4);
        let model_call = ModelCall {
            deadline: self.now + time_left,
            limits,
            max_attempts,
            attempts: 0,
            in_flight: None,
            not_before: 0,
            is_answered: false,
            is_established: false,
        };
        self.calls.insert(call, model_call);
        self.feed(Input::SetupRequested(SetupRequest {
            call,
            wire_id: n.to_string().into(),
            class,
            number: Number(n),
            dialled_number: number.into(),
            first_choice: PoolId(0),
            time_left,
            is_redial: false,
            description: Bytes::from_static(b"offer"),
        }))
    }

    fn end_attempt(&mut self, attempt: AttemptId, outcome: usize) -> Result<(), TestCaseError> {
        let outcome =
            [Outcome::Rejected, Outcome::Reset, Outcome::Failed, Outcome::Unreachable, Outcome::TimedOut]
                [outcome];
        let call = self.calls.get_mut(&attempt.call).unwrap();
        call.in_flight = None;
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
    fn accepted_limits_break_no_rule_and_refused_limits_would(
        limits in limits(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let text = json!({"limits": limits}).to_string();
        let plan = match sections::read_text("random", &text, &ceilings(), None) {
            Ok(ops) => ops.plan,
            Err(report) => {
                for finding in report.findings.iter().filter(|f| f.severity == Severity::Error) {
                    prop_assert!(would_break(finding.rule, &limits), "{finding:#?} names a rule that {limits} does not break");
                }
                return Ok(());
            }
        };
        let names: Vec<String> = CLASSES.iter().map(ToString::to_string).collect();
        let limiter = Limiter::from_plan_or_settings(Some(Rc::new(plan)), &settings(), &names, 7);
        let mut model = Model {
            gateway: Gateway::with_limits(settings(), limiter, 7),
            now: 1_000 * SEC,
            calls: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            plan: unchecked_plan(&limits),
        };
        let list = model.server_list();
        model.feed(list)?;
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::SetUp(class, number, time_left) => model.set_up(n as u64, class, number, time_left)?,
                Step::Answer(n) => {
                    if let Some(attempt) = model.nth_in_flight(n) {
                        model.calls.get_mut(&attempt.call).unwrap().in_flight = None;
                        model.feed(Input::Established { attempt, description: Bytes::from_static(b"answer") })?;
                    }
                }
                Step::EndAttempt(n, outcome) => {
                    if let Some(attempt) = model.nth_in_flight(n) {
                        model.end_attempt(attempt, outcome)?;
                    }
                }
                Step::CancelSetup(n) => {
                    if let Some(attempt) = model.nth_in_flight(n) {
                        model.calls.get_mut(&attempt.call).unwrap().is_answered = true; // a cancelled set-up gets no answer
                        model.feed(Input::SetupCancelled(attempt.call))?;
                    }
                }
                Step::AdvanceClock(ms) => model.advance_clock(ms * MS)?,
                Step::SetServerStatus(server, is_up) => {
                    if is_up {
                        model.draining_since.remove(&ServerId(server));
                    } else {
                        let now = model.now;
                        model.draining_since.entry(ServerId(server)).or_insert(now);
                    }
                    let list = model.server_list();
                    model.feed(list)?;
                }
            }
        }
        model.advance_clock(10 * SEC)?;
        for call in model.calls.values() {
            prop_assert!(call.is_answered, "no final answer: {call:?}");
        }
        prop_assert_eq!(model.gateway.pending_calls(), 0);
    }
}

/// Whether a call of some route and class breaks this rule if the limits are applied without being checked.
fn would_break(rule: &str, limits: &Value) -> bool {
    let names: Vec<String> = CLASSES.iter().map(ToString::to_string).collect();
    let calls = (0..2).flat_map(|class| ["1", "12", "3"].map(|number| (class, number)));
    calls.into_iter().any(|(class, number)| {
        let mut limiter = Limiter::new(Rc::new(unchecked_plan(limits)), names.clone(), 1);
        let request = AdmissionRequest { class, pool: 0, number, time_left: MAX_WAITS[class] };
        let admission = limiter.admit(SEC, request).expect("the first call is admitted");
        let attempts = admission.limits.attempts.value;
        let mut retry_delay =
            |outcome, attempts| limiter.decide_retry(SEC, &admission, outcome, attempts).retry_delay;
        match rule {
            "attempts" => attempts > 4,
            "pause" => {
                [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled]
                    .into_iter()
                    .any(|o| retry_delay(o, 9) < 500 * MS)
                    || admission.limits.timed_out.value.min(admission.limits.reset.value) < 500 * MS
            }
            "outlasts" => admission.attempt_timeout.is_some_and(|t| t > MAX_WAITS[class]),
            // Whatever the outcomes of the attempts, the last one starts after the caller has stopped waiting.
            "never-tried" => {
                let shortest_delay = |attempts| {
                    let outcomes = [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled, Outcome::Rejected];
                    outcomes.into_iter().map(|o| admission.limits.pause(o)).min().unwrap_or(0)
                        + (admission.limits.max_back_off(attempts) as f64 * (1.0 - admission.limits.jitter()))
                            as Micros
                };
                (1..attempts).map(shortest_delay).sum::<Micros>() >= MAX_WAITS[class]
            }
            _ => false,
        }
    })
}
