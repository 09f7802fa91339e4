//! Tests of the SIP transaction state machines against RFC 3261 §17, with simulated time.

use cobaltspool::Micros;
use cobaltspool::sip::transaction::{
    AnswerRetransmitter, ClientMachine, ResponseAction, ServerMachine, State, TimerAction, Timers,
};
use rstest::rstest;

const T1: Micros = 500_000;
const TIMES: Timers = Timers { t1: T1 };

/// Ticks a state machine at each time it requests until it requests none, and returns the time in units of T1 and the
/// result of each tick.
fn run_until_done(
    mut due: impl FnMut() -> Option<Micros>,
    mut tick: impl FnMut(Micros) -> TimerAction,
) -> Vec<(u64, TimerAction)> {
    let mut log = Vec::new();
    while let Some(at) = due() {
        log.push((at / T1, tick(at)));
        assert!(log.len() < 100, "the state machine does not end");
    }
    log
}

fn run_client(client: ClientMachine) -> Vec<(u64, TimerAction)> {
    let client = std::cell::RefCell::new(client);
    run_until_done(|| client.borrow().next_timer_at(), |at| client.borrow_mut().tick(at))
}

fn retransmission_times(log: &[(u64, TimerAction)]) -> Vec<u64> {
    log.iter().filter(|(_, due)| *due == TimerAction::Retransmit).map(|(at, _)| *at).collect()
}

#[test]
fn unanswered_invite_is_retransmitted_at_doubling_intervals_and_times_out() {
    let log = run_client(ClientMachine::new(0, true, false, TIMES));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 31, 63]);
    assert_eq!(log.last(), Some(&(64, TimerAction::TimedOut)));
}

#[test]
fn non_invite_request_is_retransmitted_at_intervals_of_at_most_t2() {
    let log = run_client(ClientMachine::new(0, false, false, TIMES));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, TimerAction::TimedOut)));
}

#[rstest]
#[case::invite(true)]
#[case::other(false)]
fn nothing_is_retransmitted_over_a_reliable_transport(#[case] invite: bool) {
    assert_eq!(run_client(ClientMachine::new(0, invite, true, TIMES)), [(64, TimerAction::TimedOut)]);
}

#[test]
fn provisional_response_stops_retransmission_of_an_invite() {
    let mut client = ClientMachine::new(0, true, false, TIMES);
    assert_eq!(client.on_response(10, 180), ResponseAction::PassUp);
    assert_eq!((client.state, client.may_retransmit()), (State::Proceeding, false));
    assert_eq!(
        client.tick(200 * T1),
        TimerAction::Nothing,
        "timer B does not apply after a provisional response"
    );
}

#[test]
fn muted_invite_is_not_retransmitted_but_receives_responses() {
    let mut client = ClientMachine::new(0, true, false, TIMES);
    client.stop_retransmissions();
    assert_eq!(client.tick(10 * T1), TimerAction::Nothing);
    assert_eq!(client.on_response(10 * T1, 200), ResponseAction::PassUp);
}

#[test]
fn final_response_is_passed_up_once_and_its_retransmissions_are_acknowledged() {
    let mut client = ClientMachine::new(0, true, false, TIMES);
    let results = [486, 486, 200, 180].map(|code| client.on_response(5, code));
    assert_eq!(
        results,
        [ResponseAction::PassUp, ResponseAction::ResendAck, ResponseAction::Drop, ResponseAction::Drop]
    );
    assert_eq!(run_client(client), [(64, TimerAction::Nothing)], "timer D");
}

#[test]
fn every_2xx_response_is_passed_up() {
    let mut client = ClientMachine::new(0, true, false, TIMES);
    assert_eq!(
        [200, 200, 486].map(|code| client.on_response(5, code)),
        [ResponseAction::PassUp, ResponseAction::PassUp, ResponseAction::Drop]
    );
    assert_eq!(client.state, State::Accepted);
}

#[test]
fn error_response_is_retransmitted_until_its_ack() {
    let mut server = ServerMachine::new(true, false, TIMES);
    assert!(server.respond(0, 100) && server.retransmits_response());
    assert!(server.respond(0, 503) && !server.respond(0, 200), "only one final response is sent");
    assert_eq!((server.next_timer_at(), server.tick(T1)), (Some(T1), TimerAction::Retransmit));
    server.on_ack(2 * T1);
    assert_eq!(server.state, State::Confirmed);
    assert_eq!((server.tick(4 * T1), server.retransmits_response()), (TimerAction::Nothing, false));
    assert_eq!((server.tick(12 * T1), server.state), (TimerAction::Nothing, State::Terminated));
}

#[test]
fn error_response_without_ack_times_out() {
    let mut server = ServerMachine::new(true, false, TIMES);
    server.respond(0, 503);
    let server = std::cell::RefCell::new(server);
    let log = run_until_done(|| server.borrow().next_timer_at(), |at| server.borrow_mut().tick(at));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, TimerAction::TimedOut)));
}

/// RFC 6026: the transaction remains after a 2xx response to absorb retransmissions of the INVITE.
#[test]
fn accepted_invite_absorbs_retransmissions() {
    let mut server = ServerMachine::new(true, false, TIMES);
    server.respond(0, 200);
    assert_eq!(
        (server.state, server.retransmits_response(), server.next_timer_at()),
        (State::Accepted, false, Some(64 * T1))
    );
}

#[test]
fn answer_is_retransmitted_until_its_ack() {
    let answer = std::cell::RefCell::new(AnswerRetransmitter::new(0, TIMES));
    let log = run_until_done(|| answer.borrow().next_timer_at(), |at| answer.borrow_mut().tick(at));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, TimerAction::TimedOut)));
    let mut answer = AnswerRetransmitter::new(0, TIMES);
    answer.on_ack();
    assert_eq!((answer.next_timer_at(), answer.tick(100 * T1)), (None, TimerAction::Nothing));
}
