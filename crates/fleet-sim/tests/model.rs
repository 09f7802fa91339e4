//! Every order of messages, campaigns and a forgetful disk, up to a depth: three voters from the moment that one leads. The disk is
//! quick here, and time stands still: what waits for either is the simulation's.

use std::collections::BTreeMap;

use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::quorum::{
    Action, Command, Config, Entry, Event, Message, RecoveredState, Role, SafetyChecks, Voter,
};
use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    voters: Vec<Voter>,
    /// Letters on their way, in no order.
    messages: Vec<Message>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, usize>,
    orders: usize,
    campaigns: usize,
    forgot: Option<usize>,
    wrong: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(usize),
    Campaign(usize),
    Command(usize),
    Forget(usize),
}

struct Play {
    checks: SafetyChecks,
}

fn id(n: usize) -> MemberId {
    MemberId::new(&format!("n{n}")).expect("an id")
}

fn start(n: usize, nonce: u64, checks: SafetyChecks, held: RecoveredState, out: &mut Vec<Action>) -> Voter {
    let voters = (0..VOTERS).map(id).collect();
    let set = Config { id: id(n), voters, election_timeout: 1_000, nonce, trust_disk: false, checks };
    Voter::new(0, set, held, 1, out)
}

impl World {
    /// Carries out what a voter wants; its writes are done at once.
    fn carry_out(&mut self, n: usize, out: Vec<Action>) {
        let mut out = std::collections::VecDeque::from(out);
        while let Some(next) = out.pop_front() {
            match next {
                Action::Write { number, records: _ } => {
                    let mut more = Vec::new();
                    self.voters[n].handle_write_completed(0, number, &mut more);
                    out.extend(more);
                }
                // One on its way is as good as two of the same.
                Action::Send(message) if self.messages.contains(&message) => {}
                Action::Send(message) => self.messages.push(message),
                Action::Apply { index, entry } => {
                    let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                    self.wrong |= *first != entry;
                }
                Action::Notify(Event::BecameLeader { term }) => {
                    self.wrong |= *self.leaders.entry(term).or_insert(n) != n;
                }
                Action::Restore { .. }
                | Action::LeadershipConfirmed { .. }
                | Action::LeadershipUnconfirmed { .. }
                | Action::Compact
                | Action::Notify(_) => {}
            }
        }
        self.messages.sort_by_cached_key(|message| format!("{message:?}"));
    }

    fn with(&mut self, n: usize, what: impl FnOnce(&mut Voter, &mut Vec<Action>)) {
        let mut out = Vec::new();
        what(&mut self.voters[n], &mut out);
        self.carry_out(n, out);
    }

    fn deliver(&mut self, at: usize) {
        let message = self.messages.remove(at);
        let to = (0..VOTERS).find(|n| id(*n) == message.to).expect("a voter");
        self.with(to, |voter, out| voter.step(0, message, out));
    }
}

impl Model for Play {
    type State = World;
    type Action = Step;

    /// All are in, the first leads, and nothing is under way.
    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            voters: Vec::new(),
            messages: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            orders: 0,
            campaigns: 0,
            forgot: None,
            wrong: false,
        };
        let mut outs = Vec::new();
        for n in 0..VOTERS {
            let mut out = Vec::new();
            world.voters.push(start(n, 1, self.checks, RecoveredState::default(), &mut out));
            outs.push(out);
        }
        for (n, out) in outs.into_iter().enumerate() {
            world.carry_out(n, out);
        }
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        world.with(0, |voter, out| voter.campaign(0, out));
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        assert_eq!(world.voters[0].role(), Role::Leader);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend((0..world.messages.len()).map(Step::Deliver));
        for (n, voter) in world.voters.iter().enumerate() {
            if voter.role() == Role::Leader && world.orders < 1 {
                steps.push(Step::Command(n));
            }
            if voter.role() != Role::Leader && world.campaigns < 1 {
                steps.push(Step::Campaign(n));
            }
            if world.forgot.is_none() && voter.role() != Role::Leader {
                steps.push(Step::Forget(n));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Deliver(at) => next.deliver(at),
            Step::Campaign(n) => {
                next.campaigns += 1;
                next.with(n, |voter, out| voter.campaign(0, out));
            }
            Step::Command(n) => {
                next.orders += 1;
                let order = Command { session: n as u64, seq: 1, body: vec![n as u8] };
                next.with(n, |voter, out| {
                    let _ = voter.propose(order, out);
                });
            }
            Step::Forget(n) => {
                next.forgot = Some(n);
                let mut out = Vec::new();
                next.voters[n] = start(n, 2, self.checks, RecoveredState::default(), &mut out);
                next.carry_out(n, out);
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("what was acknowledged stays, one leader a term", |_, world: &World| {
            !world.wrong
        })]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.messages.len() <= 12
    }
}

/// States that were seen, and whether one was wrong.
fn walk(checks: SafetyChecks, depth: usize) -> (usize, bool) {
    let checks = SafetyChecks { pre_vote: false, check_quorum: false, ..checks };
    let walked = Play { checks }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let wrong = walked.discoveries().into_values().next();
    if let Some(path) = &wrong {
        println!("{:?}", path.clone().into_actions());
    }
    (walked.unique_state_count(), wrong.is_some())
}

#[test]
fn no_order_of_events_breaks_the_log() {
    let (states, wrong) = walk(SafetyChecks::default(), depth());
    println!("{states} states to depth {}", depth());
    assert!(!wrong && states > 1_000, "{states} states");
}

/// The walk is seen to fail: one that forgot and votes at once loses an order, or makes two leaders.
#[test]
fn without_reentry_an_order_of_events_breaks_it() {
    assert!(walk(SafetyChecks { rejoin: false, ..SafetyChecks::default() }, 12).1);
}

/// The guard that only a race needs: what an earlier life promised counts no more.
#[test]
#[ignore = "a walk of minutes"]
fn without_lives_an_order_of_events_breaks_it() {
    let (states, wrong) = walk(SafetyChecks { incarnations: false, ..SafetyChecks::default() }, depth());
    println!("{states} states, {wrong}");
}

fn depth() -> usize {
    std::env::var("DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(9)
}
