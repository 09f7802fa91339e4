//! Timing of drains, shutdowns and hand-overs.

use super::*;

fn open(pending_calls: usize, established_calls: usize, client_connections: usize) -> OpenWork {
    OpenWork { pending_calls, established_calls, client_connections }
}

#[test]
fn drain_starts_at_the_first_request_and_lasts_until_revoked() {
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

/// Without a successor the shutdown waits for established calls and then releases them; with one they continue there.
#[test]
fn successor_changes_when_the_shutdown_may_end() {
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
        "without the successor the time limits of a plain shutdown apply again"
    );
}

#[test]
fn shutdown_cannot_be_revoked() {
    let mut state = ServingState::default();
    state.set_out_of_service(1, true);
    state.shut_down(2);
    state.shut_down(3);
    state.set_out_of_service(4, false);
    assert_eq!((state.shutting_down_since, state.is_in_service()), (Some(2), false));
}

/// SIGKILL may come 0.7 s after the longest time that a caller waits, of which at most 3 s count.
#[test]
fn shutdown_ends_before_sigkill_for_every_longest_wait() {
    const FLUSH_TIME: Micros = 170_000;
    for max_wait in [50_000, 400_000, 1_400_000, 2_999_000, 3_000_000, 9_000_000] {
        let mut state = ServingState::new(max_wait);
        state.shut_down(0);
        let sigkill_at = max_wait.min(MAX_SHUTDOWN_TIME) + 700_000;
        assert!(state.may_exit(sigkill_at - FLUSH_TIME, open(1, 1, 1)), "{max_wait}");
        assert!(
            !state.may_exit(max_wait.min(MAX_SHUTDOWN_TIME) - 1, open(0, 1, 0)),
            "{max_wait}: an established call may continue"
        );
        assert!(
            !state.may_exit(max_wait.min(MAX_SHUTDOWN_TIME), open(1, 0, 0)),
            "{max_wait}: a pending call may continue a little longer"
        );
    }
}
