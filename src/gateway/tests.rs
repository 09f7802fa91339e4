//! The last guards, each made to fire by asking for what the module never asks for.

use rstest::{fixture, rstest};

use super::book::Out;
use super::*;
use crate::{Class, Rules, Status};

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

    fn list(&mut self, scope: ListScope, lines: &[(u32, Status)]) -> Vec<Command> {
        let line = |(server, status): &(u32, Status)| ServerEntry {
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
        let (cause, load) = (Cause::Untold, LoadReport::default());
        self.see(Input::Ended { attempt: ATTEMPT, outcome, cause, load })
    }
}

/// Two servers, and a call that is out at the first.
#[fixture]
fn bench() -> Bench {
    let class = Class { aim: 2_000 * MS, worth: 1.0, late_worth: 0.25, pools: None, repeatable: true };
    let rules = Rules { drain_grace: 250 * MS, release_wait: 500 * MS, ..Rules::default() };
    let classes = vec![class];
    let set = Settings { fronts: 1, classes, tick: 5 * MS, max_attempts: 4, rules, ..Settings::default() };
    let mut bench = Bench { gateway: Gateway::new(set, 7), now: 1_000_000 * MS, out: Vec::new() };
    bench.list(ListScope::Whole, &[(0, Status::Up), (1, Status::Up)]);
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
    bench.end(Outcome::Full);
    bench.list(ListScope::Changes, &[(1, Status::Draining)]);
    bench.now += 100 * MS;
    bench.list(ListScope::Changes, &[(1, Status::Removed)]);
    bench.now += 150 * MS;
    assert!(only_a_warning(&bench.force(1)), "the removal did not start the window again");
    assert!(only_a_warning(&bench.force(7)), "nothing to a server that was never listed");
}

#[rstest]
#[case::cut(Outcome::Cut)]
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
    let cut = [Command::Over { call: CALL, outcome: Outcome::Cut }];
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
