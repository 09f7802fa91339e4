//! The order of state versions, and ids.

use super::*;

#[test]
fn ids_are_bounded_and_of_plain_characters() {
    for bad in ["", "a b", "ž", "a/b", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(MemberId::new(bad), None, "{bad}");
    }
    assert!(MemberId::new("osijek-2.b_1").is_some());
}

#[test]
fn newer_incarnation_wins_over_older_and_graver_state_over_lighter() {
    let version = |generation, seq, state| StateVersion {
        incarnation: Incarnation { generation, nonce: 9 },
        seq,
        state,
    };
    assert!(version(2, 0, MemberState::Alive) > version(1, 9, MemberState::Left));
    assert!(version(1, 3, MemberState::Alive) > version(1, 2, MemberState::Down));
    assert!(version(1, 2, MemberState::Down) > version(1, 2, MemberState::Suspect));
}
