//! Tests that each command is applied once per session and that the number of sessions is bounded.

use super::*;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ByteCounter(u64);

impl StateMachine for ByteCounter {
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
fn repeated_command_returns_the_stored_answer_and_is_not_applied() {
    let mut replica = Replica::<ByteCounter>::default();
    assert_eq!(replica.apply(1, &command(7, 1, 5)), Some(5));
    assert_eq!(replica.apply(2, &command(7, 1, 5)), Some(5));
    assert_eq!(replica.apply(3, &command(7, 2, 1)), Some(6));
    assert_eq!(replica.apply(4, &command(7, 1, 5)), None, "the client has sent a later command");
    assert_eq!(replica.apply(3, &command(9, 1, 5)), None, "the index is already applied");
    let restored = Replica::<ByteCounter>::from_state(&replica.state()).unwrap();
    assert_eq!((restored.machine.clone(), restored.applied), (ByteCounter(6), 4));
    let mut restored = restored;
    assert_eq!(restored.apply(5, &command(7, 2, 1)), Some(6), "sessions are part of the snapshot");
}

#[test]
fn sessions_are_bounded_and_the_oldest_is_evicted() {
    let mut replica = Replica::<ByteCounter>::default();
    for n in 0..MAX_SESSIONS as u64 + 1 {
        replica.apply(n + 1, &command(n, 1, 1));
    }
    assert_eq!(replica.sessions.len(), MAX_SESSIONS);
    assert!(!replica.sessions.contains_key(&0));
}
