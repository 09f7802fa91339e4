use super::*;

#[test]
fn an_order_holds_until_it_is_taken_back_and_counts_from_its_first_word() {
    let mut service = Service::default();
    assert!(service.takes_clients());
    service.order(5, true);
    service.order(9, true);
    assert!(!service.takes_clients());
    assert_eq!((service.sheds(4 + SETTLE), service.sheds(5 + SETTLE)), (false, true));
    assert_eq!(service.turns_away(4 + TURN_AWAY, false), None);
    assert_eq!(service.turns_away(5 + TURN_AWAY, false), Some(COME_BACK));
    assert_eq!(service.turns_away(5, true), Some(COME_BACK));
    service.order(11, false);
    assert!(service.takes_clients());
    service.order(12, false);
    assert!(service.takes_clients());
    assert!(!service.sheds(Micros::MAX) && service.turns_away(Micros::MAX, true).is_none());
}

/// Without a successor what stands is waited for and then released; with one it goes on there.
#[test]
fn a_successor_changes_the_end() {
    let mut service = Service::default();
    service.stop(0);
    assert!(!service.ended(STOP_LEAST - 1, 0, 0, 5) && service.ended(STOP_LEAST, 0, 0, 5));
    assert!(!service.ended(STOP_MOST - 1, 0, 1, 0) && service.ended(STOP_MOST, 0, 1, 0));
    assert!(!service.gives_way() && !service.sheds(STOP_MOST));
    service.succeeded(true);
    assert!(service.gives_way() && service.sheds(0));
    assert_eq!(service.turns_away(TURN_AWAY - 1, false), None);
    assert_eq!(service.turns_away(TURN_AWAY, false), Some(COME_BACK));
    assert!(!service.ended(STOP_LEAST, 0, 0, 0) && service.ended(SUCCEEDED_LEAST, 0, 0, 0));
    assert!(!service.ended(SUCCEEDED_LEAST, 0, 0, 1) && service.ended(SUCCEEDED_CALLERS, 0, 0, 1));
    assert!(!service.ended(STOP_MOST, 1, 0, 0) && service.ended(SUCCEEDED_MOST, 1, 1, 0));
    service.succeeded(false);
    assert!(
        !service.gives_way() && service.ended(STOP_MOST, 0, 1, 0),
        "it is gone, and the end is as without it"
    );
}

#[test]
fn the_end_is_the_end() {
    let mut service = Service::default();
    service.order(1, true);
    service.stop(2);
    service.stop(3);
    service.order(4, false);
    assert_eq!((service.stopping(), service.takes_clients()), (Some(2), false));
}

/// SIGKILL may come 0.7 s after the longest that anyone waits, 3 s being the most that counts.
#[test]
fn the_end_comes_in_time_for_those_who_wait() {
    const LAST_WORDS: Micros = 170_000;
    for patience in [50_000, 400_000, 1_400_000, 2_999_000, 3_000_000, 9_000_000] {
        let mut service = Service::of(patience);
        service.stop(0);
        let killed = patience.min(STOP_MOST) + 700_000;
        assert!(service.ended(killed - LAST_WORDS, 1, 1, 1), "{patience}");
        assert!(!service.ended(patience.min(STOP_MOST) - 1, 0, 1, 0), "{patience}: what stands may go on");
        assert!(!service.ended(patience.min(STOP_MOST), 1, 0, 0), "{patience}: what is open a little longer");
    }
}
