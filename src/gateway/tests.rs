//! The last guards, each made to fire by asking for what the module never asks for.

use proptest::prelude::*;
use rstest::{fixture, rstest};

use super::book::Out;
use super::*;
use crate::{Class, Rules, ServerStatus};

const MS: Micros = 1_000;
const CALL: CallId = CallId(1);
const ATTEMPT: AttemptId = AttemptId { call: CALL, number: 0 };

struct Bench {
    gateway: Gateway,
    now: Micros,
    out: Vec<Command>,
}

impl Bench {
    fn see(&mut self, input: Input) -> Vec<Command> {
        self.gateway.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Asks for an attempt behind the module's back.
    fn force(&mut self, server: u32) -> Vec<Command> {
        self.gateway.now = self.now;
        self.gateway.attempt(CALL, ServerId(server), 0, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn list(&mut self, scope: EndpointListScope, lines: &[(u32, ServerStatus)]) -> Vec<Command> {
        let line = |(server, status): &(u32, ServerStatus)| ServerEntry {
            server: ServerId(*server),
            pool: PoolId((*server).into()),
            started_at: 0,
            status: *status,
        };
        let told = self.now;
        self.see(Input::List { told, scope, entries: lines.iter().map(line).collect() })
    }

    fn set_up(&mut self, call: CallId, name: &str) -> Vec<Command> {
        self.see(Input::SetUp(SetUp {
            call,
            name: name.into(),
            class: 0,
            number: Number(5),
            dialled: "5".into(),
            first_choice: PoolId(0),
            left: 9_000 * MS,
            again: false,
            description: Bytes::from_static(b"offer"),
        }))
    }

    fn end(&mut self, outcome: Outcome) -> Vec<Command> {
        let (cause, load) = (Cause::Unspecified, LoadReport::default());
        self.see(Input::Ended { attempt: ATTEMPT, outcome, cause, load })
    }
}

/// Two servers, and a call that is out at the first.
#[fixture]
fn bench() -> Bench {
    let class = Class {
        latency_objective: 2_000 * MS,
        priority_weight: 1.0,
        late_weight_share: 0.25,
        pools: None,
        is_idempotent: true,
    };
    let rules = Rules { drain_grace: 250 * MS, release_wait: 500 * MS, ..Rules::default() };
    let classes = vec![class];
    let set =
        Settings { gatekeepers: 1, classes, tick: 5 * MS, max_attempts: 4, rules, ..Settings::default() };
    let mut bench = Bench { gateway: Gateway::new(set, 7), now: 1_000_000 * MS, out: Vec::new() };
    bench.list(EndpointListScope::Complete, &[(0, ServerStatus::Up), (1, ServerStatus::Up)]);
    let sent = bench.set_up(CALL, "one");
    assert!(matches!(sent[..], [Command::Send { attempt: ATTEMPT, server: ServerId(0), .. }]), "{sent:?}");
    bench
}

fn only_a_warning(commands: &[Command]) -> bool {
    matches!(commands, [Command::Warn(_)])
}

#[rstest]
fn no_second_attempt_while_one_is_out(mut bench: Bench) {
    assert!(only_a_warning(&bench.force(1)));
}

#[rstest]
fn nothing_to_a_draining_server_once_the_window_has_passed(mut bench: Bench) {
    bench.end(Outcome::Rejected);
    bench.list(EndpointListScope::Changes, &[(1, ServerStatus::Draining)]);
    bench.now += 100 * MS;
    bench.list(EndpointListScope::Changes, &[(1, ServerStatus::Removed)]);
    bench.now += 150 * MS;
    assert!(only_a_warning(&bench.force(1)), "the removal did not start the window again");
    assert!(only_a_warning(&bench.force(7)), "nothing to a server that was never listed");
}

#[rstest]
#[case::cut(Outcome::Reset)]
#[case::timed_out(Outcome::TimedOut)]
#[case::cancelled(Outcome::Cancelled)]
fn nothing_before_the_release_wait_is_over(mut bench: Bench, #[case] outcome: Outcome) {
    let sent = |c: &[Command]| c.iter().any(|c| matches!(c, Command::Send { .. }));
    assert!(!sent(&bench.end(outcome)));
    bench.now += 499 * MS;
    assert!(only_a_warning(&bench.force(1)));
    bench.now += MS;
    assert!(sent(&bench.see(Input::Tick)), "the module's own second attempt passes");
}

/// A caller may send a call again, unchanged, the moment it has its answer; the release wait holds for it too.
#[rstest]
#[case::given_up(Input::GivenUp(CALL), false)]
#[case::hung_up(Input::HungUp(CALL), true)]
#[case::cut(Input::Lost { server: ServerId(0), at: Micros::MAX }, true)]
fn the_same_call_again_waits_for_the_release(mut bench: Bench, #[case] end: Input, #[case] stands: bool) {
    if stands {
        bench.see(Input::Stands { attempt: ATTEMPT, description: Bytes::new() });
    }
    bench.see(end);
    bench.now += 400 * MS;
    let wait = 100 * MS;
    assert_eq!(bench.set_up(CallId(2), "one"), [Command::Refuse { call: CallId(2), wait }]);
    assert!(matches!(bench.set_up(CallId(3), "other")[..], [Command::Send { .. }]));
    bench.now += wait;
    assert!(matches!(bench.set_up(CallId(4), "one")[..], [Command::Send { .. }]));
}

#[rstest]
fn one_final_answer_only(mut bench: Bench) {
    let description = Bytes::from_static(b"answer");
    let stands = Input::Stands { attempt: ATTEMPT, description: description.clone() };
    assert_eq!(bench.see(stands.clone()), [Command::Answer { call: CALL, description }]);
    assert_eq!(bench.see(stands), []);
    let mut out = Vec::new();
    bench.gateway.fail(CALL, &mut out);
    bench.gateway.refuse(CALL, 5, &mut out);
    assert_eq!(out, []);
    assert_eq!(bench.end(Outcome::Completed), [Command::Over { call: CALL, outcome: Outcome::Completed }]);
    assert_eq!(bench.end(Outcome::Completed), []);
}

/// A call that the module knows nothing of is still answered by its deadline.
#[rstest]
fn a_call_without_a_verdict_fails_at_its_deadline(mut bench: Bench) {
    let due = bench.now + 100 * MS;
    bench.gateway.book.open_call(CallId(2), "two".into(), 0, due, Bytes::new());
    bench.gateway.book.sent(CallId(2), Out { number: 0, server: ServerId(0), sent: bench.now, until: due });
    bench.now = due;
    let given_up = AttemptId { call: CallId(2), number: 0 };
    assert_eq!(bench.see(Input::Tick), [Command::GiveUp { attempt: given_up, server: ServerId(0) }]);
    bench.now = bench.gateway.next_due().unwrap();
    let last = bench.see(Input::Tick);
    assert!(matches!(last[..], [Command::Warn(_), Command::Fail { call: CallId(2) }]), "{last:?}");
    assert!(bench.now <= due + 20 * MS);
}

/// What a server held from before its restart is cut, what it took since stands.
#[rstest]
fn a_restart_cuts_what_stood_before_it(mut bench: Bench) {
    bench.see(Input::Stands { attempt: ATTEMPT, description: Bytes::new() });
    let at = bench.now;
    assert_eq!(bench.see(Input::Lost { server: ServerId(0), at: at - 1 }), []);
    let cut = [Command::Over { call: CALL, outcome: Outcome::Reset }];
    assert_eq!(bench.see(Input::Lost { server: ServerId(0), at }), cut);
    assert_eq!(bench.gateway.standing_calls(), 0);
}

/// At the end an open call is refused where nothing of it may have run, and fails where something may.
#[rstest]
fn the_end_answers_what_is_open(mut bench: Bench) {
    bench.gateway.book.open_call(CallId(2), "two".into(), 0, bench.now + 100 * MS, Bytes::new());
    let out = bench.see(Input::Close);
    let given_up = Command::GiveUp { attempt: ATTEMPT, server: ServerId(0) };
    assert_eq!(out, [given_up, Command::Fail { call: CALL }, Command::Refuse { call: CallId(2), wait: 0 }]);
    assert_eq!((bench.gateway.open_calls(), bench.gateway.next_due().is_some()), (0, true));
}

/// What may happen to a random call at a random time.
#[derive(Clone, Debug)]
enum Happens {
    SetUp { left: Micros, class: usize },
    Stands(u64),
    Ended(u64, Outcome),
    GivenUp(u64),
    HungUp(u64),
    Lost(u32),
    Unheard(u32),
    Passes(Micros),
}

fn happens() -> impl Strategy<Value = Happens> {
    let call = 0..40u64;
    let outcome = prop_oneof![
        Just(Outcome::Completed),
        Just(Outcome::Failed),
        Just(Outcome::Rejected),
        Just(Outcome::Reset),
        Just(Outcome::Unreachable),
        Just(Outcome::NotSent),
    ];
    prop_oneof![
        4 => (1..3_000u64, 0..3usize).prop_map(|(ms, class)| Happens::SetUp { left: ms * MS, class }),
        3 => call.clone().prop_map(Happens::Stands),
        3 => (call.clone(), outcome).prop_map(|(call, outcome)| Happens::Ended(call, outcome)),
        1 => call.clone().prop_map(Happens::GivenUp),
        1 => call.prop_map(Happens::HungUp),
        1 => (0..2u32).prop_map(Happens::Lost),
        1 => (0..2u32).prop_map(Happens::Unheard),
        3 => (1..900u64).prop_map(|ms| Happens::Passes(ms * MS)),
    ]
}

proptest! {
    /// Over any schedule each call that was taken is in one count or in flight, each final answer is counted as what it
    /// said, and nothing falls.
    #[test]
    fn each_call_is_counted_once(schedule in proptest::collection::vec(happens(), 1..120)) {
        let class = Class { latency_objective: 2_000 * MS, priority_weight: 1.0, late_weight_share: 0.25, pools: None, is_idempotent: true };
        let rules = Rules { drain_grace: 250 * MS, release_wait: 500 * MS, ..Rules::default() };
        let classes = vec![class.clone(), class];
        let set = Settings { gatekeepers: 1, classes, tick: 5 * MS, max_attempts: 4, rules, ..Settings::default() };
        let mut bench = Bench { gateway: Gateway::new(set, 7), now: 1_000_000 * MS, out: Vec::new() };
        bench.list(EndpointListScope::Complete, &[(0, ServerStatus::Up), (1, ServerStatus::Up)]);
        let (mut last, mut taken, mut unknown) = (vec![Counts::default(); 2], 0u64, 0u64);
        // What went out: the latest attempt of each call, and the answers.
        let mut attempts = std::collections::HashMap::new();
        let (mut answers, mut refusals, mut failures) = (0u64, 0u64, 0u64);
        for step in schedule.into_iter().map(Some).chain([None]) {
            let (cause, load) = (Cause::Unspecified, LoadReport::default());
            let attempt = |call: u64| attempts.get(&CallId(call)).copied();
            let since = bench.now;
            let input = match step {
                Some(Happens::SetUp { left, class }) => {
                    taken += 1;
                    unknown += u64::from(class > 1);
                    let call = CallId(taken);
                    let (name, dialled) = (taken.to_string().into(), "5".into());
                    let (number, first_choice, description) = (Number(taken), PoolId(0), Bytes::new());
                    Input::SetUp(SetUp { call, name, class, number, dialled, first_choice, left, again: false, description })
                }
                Some(Happens::Stands(call)) => match attempt(call) {
                    Some(attempt) => Input::Stands { attempt, description: Bytes::new() },
                    None => continue,
                },
                Some(Happens::Ended(call, outcome)) => match attempt(call) {
                    Some(attempt) => Input::Ended { attempt, outcome, cause, load },
                    None => continue,
                },
                Some(Happens::GivenUp(call)) => Input::GivenUp(CallId(call)),
                Some(Happens::HungUp(call)) => Input::HungUp(CallId(call)),
                Some(Happens::Lost(server)) => Input::Lost { server: ServerId(server), at: since },
                Some(Happens::Unheard(server)) => Input::Unheard { server: ServerId(server), since },
                Some(Happens::Passes(by)) => {
                    bench.now += by;
                    Input::Tick
                }
                None => Input::Close,
            };
            for command in bench.see(input) {
                match command {
                    Command::Send { attempt, .. } => drop(attempts.insert(attempt.call, attempt)),
                    Command::Answer { .. } => answers += 1,
                    Command::Refuse { .. } => refusals += 1,
                    Command::Fail { .. } => failures += 1,
                    _ => {}
                }
            }
            let counts = bench.gateway.counts().to_vec();
            let mut sum = Counts::default();
            for (now, was) in counts.iter().zip(&last) {
                let of = |c: &Counts| [c.taken, c.served, c.refused, c.failed, c.withdrawn];
                prop_assert!(of(now).iter().zip(of(was)).all(|(now, was)| *now >= was), "{was:?} > {now:?}");
                sum.add(now);
            }
            let open = bench.gateway.open_calls() as u64;
            prop_assert_eq!(sum.taken, taken - unknown);
            prop_assert_eq!(sum.taken, sum.served + sum.refused + sum.failed + sum.withdrawn + open);
            // A call of a class that does not exist fails at once, and is in no count.
            prop_assert_eq!([sum.served, sum.refused, sum.failed], [answers, refusals, failures - unknown]);
            last = counts;
        }
        prop_assert_eq!(bench.gateway.open_calls() + bench.gateway.standing_calls(), 0);
    }
}
