//! Member ids and the order of state versions.

use super::*;

#[test]
fn member_ids_are_limited_in_length_and_characters() {
    for bad in ["", "a b", "ž", "a/b", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(MemberId::new(bad), None, "{bad}");
    }
    assert!(MemberId::new("osijek-2.b_1").is_some());
}

#[test]
fn newer_incarnation_or_sequence_number_wins_then_the_more_severe_state() {
    let version = |generation, seq, state| StateVersion {
        incarnation: Incarnation { generation, nonce: 9 },
        seq,
        state,
    };
    assert!(version(2, 0, MemberState::Alive) > version(1, 9, MemberState::Left));
    assert!(version(1, 3, MemberState::Alive) > version(1, 2, MemberState::Down));
    assert!(version(1, 2, MemberState::Down) > version(1, 2, MemberState::Suspect));
}
