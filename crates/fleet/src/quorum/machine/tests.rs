//! Sessions: each command once.

use super::*;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Sum(u64);

impl StateMachine for Sum {
    type Answer = u64;

    fn apply(&mut self, _: u64, body: &[u8]) -> u64 {
        self.0 += body.len() as u64;
        self.0
    }
}

fn command(session: u64, seq: u64, size: usize) -> Entry {
    Entry { term: 1, command: Some(Command { session, seq, body: vec![0; size] }) }
}

#[test]
fn repeated_command_is_answered_as_before_and_not_carried_out() {
    let mut replica = Replica::<Sum>::default();
    assert_eq!(replica.apply(1, &command(7, 1, 5)), Some(5));
    assert_eq!(replica.apply(2, &command(7, 1, 5)), Some(5));
    assert_eq!(replica.apply(3, &command(7, 2, 1)), Some(6));
    assert_eq!(replica.apply(4, &command(7, 1, 5)), None, "its client has gone on");
    assert_eq!(replica.apply(3, &command(9, 1, 5)), None, "applied already");
    let again = Replica::<Sum>::from_state(&replica.state()).unwrap();
    assert_eq!((again.machine.clone(), again.applied), (Sum(6), 4));
    let mut again = again;
    assert_eq!(again.apply(5, &command(7, 2, 1)), Some(6), "also after a snapshot");
}

#[test]
fn sessions_are_bounded_and_the_oldest_is_forgotten() {
    let mut replica = Replica::<Sum>::default();
    for n in 0..MAX_SESSIONS as u64 + 1 {
        replica.apply(n + 1, &command(n, 1, 1));
    }
    assert_eq!(replica.sessions.len(), MAX_SESSIONS);
    assert!(!replica.sessions.contains_key(&0));
}
