//! Draining, shutdown and hand-over by the clock.

use super::*;

fn open(pending_calls: usize, established_calls: usize, client_connections: usize) -> OpenWork {
    OpenWork { pending_calls, established_calls, client_connections }
}

#[test]
fn drain_holds_until_taken_back_and_counts_from_the_first_order() {
    let mut state = ServingState::default();
    assert!(state.is_in_service());
    state.set_out_of_service(5, true);
    state.set_out_of_service(9, true);
    assert!(!state.is_in_service());
    assert_eq!(
        (state.closes_idle_clients(4 + DRAIN_SETTLE_TIME), state.closes_idle_clients(5 + DRAIN_SETTLE_TIME)),
        (false, true)
    );
    assert_eq!(state.rejection_retry_after(4 + REJECT_AFTER, ClientConnections::Dedicated), None);
    assert_eq!(
        state.rejection_retry_after(5 + REJECT_AFTER, ClientConnections::Dedicated),
        Some(DRAIN_RETRY_AFTER)
    );
    assert_eq!(state.rejection_retry_after(5, ClientConnections::Shared), Some(DRAIN_RETRY_AFTER));
    state.set_out_of_service(11, false);
    assert!(state.is_in_service());
    state.set_out_of_service(12, false);
    assert!(state.is_in_service());
    assert!(
        !state.closes_idle_clients(Micros::MAX)
            && state.rejection_retry_after(Micros::MAX, ClientConnections::Shared).is_none()
    );
}

/// Without a successor what stands is waited for and then released; with one it goes on there.
#[test]
fn successor_changes_the_end_of_a_shutdown() {
    let mut state = ServingState::default();
    state.shut_down(0);
    assert!(
        !state.may_exit(MIN_SHUTDOWN_TIME - 1, open(0, 0, 5))
            && state.may_exit(MIN_SHUTDOWN_TIME, open(0, 0, 5))
    );
    assert!(
        !state.may_exit(MAX_SHUTDOWN_TIME - 1, open(0, 1, 0))
            && state.may_exit(MAX_SHUTDOWN_TIME, open(0, 1, 0))
    );
    assert!(!state.is_handing_over() && !state.closes_idle_clients(MAX_SHUTDOWN_TIME));
    state.set_successor(true);
    assert!(state.is_handing_over() && state.closes_idle_clients(0));
    assert_eq!(state.rejection_retry_after(REJECT_AFTER - 1, ClientConnections::Dedicated), None);
    assert_eq!(
        state.rejection_retry_after(REJECT_AFTER, ClientConnections::Dedicated),
        Some(DRAIN_RETRY_AFTER)
    );
    assert!(
        !state.may_exit(MIN_SHUTDOWN_TIME, open(0, 0, 0)) && state.may_exit(MIN_HANDOVER_TIME, open(0, 0, 0))
    );
    assert!(
        !state.may_exit(MIN_HANDOVER_TIME, open(0, 0, 1))
            && state.may_exit(HANDOVER_CLIENTS_TIME, open(0, 0, 1))
    );
    assert!(
        !state.may_exit(MAX_SHUTDOWN_TIME, open(1, 0, 0)) && state.may_exit(MAX_HANDOVER_TIME, open(1, 1, 0))
    );
    state.set_successor(false);
    assert!(
        !state.is_handing_over() && state.may_exit(MAX_SHUTDOWN_TIME, open(0, 1, 0)),
        "it is gone, and the end is as without it"
    );
}

#[test]
fn the_end_is_the_end() {
    let mut state = ServingState::default();
    state.set_out_of_service(1, true);
    state.shut_down(2);
    state.shut_down(3);
    state.set_out_of_service(4, false);
    assert_eq!((state.shutting_down_since, state.is_in_service()), (Some(2), false));
}

/// SIGKILL may come 0.7 s after the longest that anyone waits, 3 s being the most that counts.
#[test]
fn the_end_comes_in_time_for_those_who_wait() {
    const LAST_WORDS: Micros = 170_000;
    for patience in [50_000, 400_000, 1_400_000, 2_999_000, 3_000_000, 9_000_000] {
        let mut state = ServingState::new(patience);
        state.shut_down(0);
        let killed = patience.min(MAX_SHUTDOWN_TIME) + 700_000;
        assert!(state.may_exit(killed - LAST_WORDS, open(1, 1, 1)), "{patience}");
        assert!(
            !state.may_exit(patience.min(MAX_SHUTDOWN_TIME) - 1, open(0, 1, 0)),
            "{patience}: what stands may go on"
        );
        assert!(
            !state.may_exit(patience.min(MAX_SHUTDOWN_TIME), open(1, 0, 0)),
            "{patience}: what is open a little longer"
        );
    }
}
