//! Model check of every order of messages, elections and a loss of disk state up to a depth, for three voters of which one
//! is the leader. Writes complete at once and time does not advance here; the simulation covers slow disks and timeouts.

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
    /// Messages in flight, in no order.
    messages: Vec<Message>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, usize>,
    commands: usize,
    campaigns: usize,
    lost_state: Option<usize>,
    violation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(usize),
    Campaign(usize),
    Command(usize),
    LoseState(usize),
}

struct VoterModel {
    checks: SafetyChecks,
}

fn id(n: usize) -> MemberId {
    MemberId::new(&format!("n{n}")).expect("an id")
}

fn start(
    n: usize,
    nonce: u64,
    checks: SafetyChecks,
    recovered: RecoveredState,
    out: &mut Vec<Action>,
) -> Voter {
    let voters = (0..VOTERS).map(id).collect();
    let config = Config { id: id(n), voters, election_timeout: 1_000, nonce, trust_disk: false, checks };
    Voter::new(0, config, recovered, 1, out)
}

impl World {
    /// Executes the actions of a voter; its writes complete at once.
    fn execute(&mut self, n: usize, out: Vec<Action>) {
        let mut out = std::collections::VecDeque::from(out);
        while let Some(next) = out.pop_front() {
            match next {
                Action::Write { number, records: _ } => {
                    let mut more = Vec::new();
                    self.voters[n].handle_write_completed(0, number, &mut more);
                    out.extend(more);
                }
                // A message that is in flight already is not added again: duplicates would only enlarge the state space.
                Action::Send(message) if self.messages.contains(&message) => {}
                Action::Send(message) => self.messages.push(message),
                Action::Apply { index, entry } => {
                    let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                    self.violation |= *first != entry;
                }
                Action::Notify(Event::BecameLeader { term }) => {
                    self.violation |= *self.leaders.entry(term).or_insert(n) != n;
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

    fn with_voter(&mut self, n: usize, call: impl FnOnce(&mut Voter, &mut Vec<Action>)) {
        let mut out = Vec::new();
        call(&mut self.voters[n], &mut out);
        self.execute(n, out);
    }

    fn deliver(&mut self, at: usize) {
        let message = self.messages.remove(at);
        let to = (0..VOTERS).find(|n| id(*n) == message.to).expect("a voter");
        self.with_voter(to, |voter, out| voter.step(0, message, out));
    }
}

impl Model for VoterModel {
    type State = World;
    type Action = Step;

    /// The initial state: all voters are voting, the first one is the leader, and no message is in flight.
    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            voters: Vec::new(),
            messages: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            commands: 0,
            campaigns: 0,
            lost_state: None,
            violation: false,
        };
        let mut outs = Vec::new();
        for n in 0..VOTERS {
            let mut out = Vec::new();
            world.voters.push(start(n, 1, self.checks, RecoveredState::default(), &mut out));
            outs.push(out);
        }
        for (n, out) in outs.into_iter().enumerate() {
            world.execute(n, out);
        }
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        world.with_voter(0, |voter, out| voter.campaign(0, out));
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        assert_eq!(world.voters[0].role(), Role::Leader);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend((0..world.messages.len()).map(Step::Deliver));
        for (n, voter) in world.voters.iter().enumerate() {
            if voter.role() == Role::Leader && world.commands < 1 {
                steps.push(Step::Command(n));
            }
            if voter.role() != Role::Leader && world.campaigns < 1 {
                steps.push(Step::Campaign(n));
            }
            if world.lost_state.is_none() && voter.role() != Role::Leader {
                steps.push(Step::LoseState(n));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Deliver(at) => next.deliver(at),
            Step::Campaign(n) => {
                next.campaigns += 1;
                next.with_voter(n, |voter, out| voter.campaign(0, out));
            }
            Step::Command(n) => {
                next.commands += 1;
                let command = Command { session: n as u64, seq: 1, body: vec![n as u8] };
                next.with_voter(n, |voter, out| {
                    let _ = voter.propose(command, out);
                });
            }
            Step::LoseState(n) => {
                next.lost_state = Some(n);
                let mut out = Vec::new();
                next.voters[n] = start(n, 2, self.checks, RecoveredState::default(), &mut out);
                next.execute(n, out);
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "committed entries never change, and each term has one leader",
            |_, world: &World| !world.violation,
        )]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.messages.len() <= 12
    }
}

/// Returns the number of states visited, and whether one of them violates the invariants.
fn explore(checks: SafetyChecks, depth: usize) -> (usize, bool) {
    let checks = SafetyChecks { pre_vote: false, check_quorum: false, ..checks };
    let explored = VoterModel { checks }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let violation = explored.discoveries().into_values().next();
    if let Some(path) = &violation {
        println!("{:?}", path.clone().into_actions());
    }
    (explored.unique_state_count(), violation.is_some())
}

#[test]
fn no_order_of_events_violates_the_invariants() {
    let (states, violated) = explore(SafetyChecks::default(), depth());
    println!("{states} states to depth {}", depth());
    assert!(!violated && states > 1_000, "{states} states");
}

/// Shows that the check detects violations: a voter that lost its state and votes at once loses a committed entry or
/// makes a second leader possible.
#[test]
fn without_rejoin_check_an_order_of_events_violates_them() {
    assert!(explore(SafetyChecks { rejoin: false, ..SafetyChecks::default() }, 12).1);
}

/// The incarnation check, which only matters in a race: votes of an earlier incarnation must no longer count.
#[test]
#[ignore = "takes minutes"]
fn without_incarnation_check_an_order_of_events_violates_them() {
    let (states, violated) =
        explore(SafetyChecks { incarnations: false, ..SafetyChecks::default() }, depth());
    println!("{states} states, violated: {violated}");
}

fn depth() -> usize {
    std::env::var("DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(9)
}
