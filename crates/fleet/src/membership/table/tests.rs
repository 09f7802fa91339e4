//! Replay window, table limits, gossip queue and digest.

use super::*;
use crate::codec::example_record;

#[test]
fn replayed_frames_are_detected() {
    let mut window = Window::default();
    assert!(window.record_if_new(5) && window.record_if_new(9) && window.record_if_new(7));
    assert!(!window.record_if_new(7) && !window.record_if_new(9) && !window.record_if_new(5));
    assert!(window.record_if_new(100) && !window.record_if_new(9), "older than the window");
    assert!(window.record_if_new(40) && !window.record_if_new(40));
}

#[test]
fn full_table_evicts_the_longest_down_member_and_keeps_live_ones() {
    let mut table = Table::default();
    for n in 0..MAX_MEMBERS {
        assert!(table.insert(n as u64, example_record(&format!("m{n}"), 1, 0, MemberState::Alive)));
    }
    assert!(!table.insert(5000, example_record("one-more", 1, 0, MemberState::Alive)));
    assert_eq!(table.live, MAX_MEMBERS);
    assert!(table.insert(6000, example_record("m7", 1, 0, MemberState::Down)));
    assert!(table.insert(7000, example_record("one-more", 1, 0, MemberState::Alive)));
    assert!(table.get(&MemberId::new("m7").unwrap()).is_none());
    assert_eq!(table.removed_addresses.len(), 1, "the evicted member's address is kept");
}

#[test]
fn each_change_is_sent_a_fixed_number_of_times_in_frames_of_limited_size() {
    let mut table = Table::default();
    for n in 0..100 {
        table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    let mut sent = 0;
    for _ in 0..1000 {
        let records = table.take_gossip(0);
        assert!(records.iter().map(codec::estimated_record_size).sum::<usize>() <= MAX_PIGGYBACK_BYTES);
        sent += records.len();
    }
    assert_eq!(sent, 100 * 3 * 7, "each record is sent three times the binary logarithm of 102");
}

/// A new record is sent before the queued records of several hundred members that started at once.
#[test]
fn newest_record_is_sent_first() {
    let mut table = Table::default();
    for n in 0..500 {
        table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    table.insert(1, example_record("m7", 1, 1, MemberState::Suspect));
    let first = table.take_gossip(1);
    assert_eq!((first[0].id.as_str(), first[0].state_version.state), ("m7", MemberState::Suspect));
}

#[test]
fn digest_depends_on_the_live_members_and_not_on_their_figures() {
    let (mut one, mut two) = (Table::default(), Table::default());
    let me = example_record("me", 1, 0, MemberState::Alive);
    for n in [1, 2, 3] {
        one.insert(0, example_record(&format!("m{n}"), 1, n, MemberState::Alive));
        let mut other = example_record(&format!("m{}", 4 - n), 1, 9, MemberState::Suspect);
        other.info.calls = 8;
        two.insert(0, other);
    }
    assert_eq!(one.digest(&me), two.digest(&me));
    two.insert(0, example_record("m2", 1, 9, MemberState::Down));
    assert_ne!(one.digest(&me), two.digest(&me));
}
