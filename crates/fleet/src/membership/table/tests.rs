//! Gossip, bounds and the digest.

use super::*;
use crate::codec::example_record;

#[test]
fn a_frame_played_again_is_known() {
    let mut window = Window::default();
    assert!(window.is_new_frame(5) && window.is_new_frame(9) && window.is_new_frame(7));
    assert!(!window.is_new_frame(7) && !window.is_new_frame(9) && !window.is_new_frame(5));
    assert!(window.is_new_frame(100) && !window.is_new_frame(9), "older than the window");
    assert!(window.is_new_frame(40) && !window.is_new_frame(40));
}

#[test]
fn at_the_bound_the_longest_gone_makes_way_and_the_living_stay() {
    let mut table = Table::default();
    for n in 0..MAX_MEMBERS {
        assert!(table.insert(n as u64, example_record(&format!("m{n}"), 1, 0, MemberState::Alive)));
    }
    assert!(!table.insert(5000, example_record("one-more", 1, 0, MemberState::Alive)));
    assert_eq!(table.live, MAX_MEMBERS);
    assert!(table.insert(6000, example_record("m7", 1, 0, MemberState::Down)));
    assert!(table.insert(7000, example_record("one-more", 1, 0, MemberState::Alive)));
    assert!(table.get(&MemberId::new("m7").unwrap()).is_none());
    assert_eq!(table.forgotten.len(), 1, "its address is kept");
}

#[test]
fn a_change_is_told_so_often_and_no_more_and_one_frame_is_bounded() {
    let mut table = Table::default();
    for n in 0..100 {
        table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    let mut told = 0;
    for _ in 0..1000 {
        let records = table.take_gossip(0);
        assert!(records.iter().map(codec::estimated_record_size).sum::<usize>() <= MAX_PIGGYBACK_BYTES);
        told += records.len();
    }
    assert_eq!(told, 100 * 3 * 7, "three times the logarithm of 102, each");
}

/// Behind the news of some hundreds who start at once, a newer word does not wait.
#[test]
fn the_newest_word_goes_first() {
    let mut table = Table::default();
    for n in 0..500 {
        table.insert(0, example_record(&format!("m{n}"), 1, 0, MemberState::Alive));
    }
    table.insert(1, example_record("m7", 1, 1, MemberState::Suspect));
    let first = table.take_gossip(1);
    assert_eq!((first[0].id.as_str(), first[0].state_version.state), ("m7", MemberState::Suspect));
}

#[test]
fn the_digest_is_of_who_lives_and_not_of_their_figures() {
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
