//! Tests of the SIP transaction state machines against RFC 3261 §17, with simulated time.

use cobaltspool::Micros;
use cobaltspool::sip::transaction::{Answer, Client, Due, Heard, Server, State, Times};
use rstest::rstest;

const T1: Micros = 500_000;
const TIMES: Times = Times { t1: T1 };

/// Ticks a state machine at each time it requests until it requests none, and returns the time in units of T1 and the
/// result of each tick.
fn run_until_done(
    mut due: impl FnMut() -> Option<Micros>,
    mut tick: impl FnMut(Micros) -> Due,
) -> Vec<(u64, Due)> {
    let mut log = Vec::new();
    while let Some(at) = due() {
        log.push((at / T1, tick(at)));
        assert!(log.len() < 100, "the state machine does not end");
    }
    log
}

fn run_client(client: Client) -> Vec<(u64, Due)> {
    let client = std::cell::RefCell::new(client);
    run_until_done(|| client.borrow().due(), |at| client.borrow_mut().tick(at))
}

fn retransmission_times(log: &[(u64, Due)]) -> Vec<u64> {
    log.iter().filter(|(_, due)| *due == Due::Resend).map(|(at, _)| *at).collect()
}

#[test]
fn unanswered_invite_is_retransmitted_at_doubling_intervals_and_times_out() {
    let log = run_client(Client::new(0, true, false, TIMES));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 31, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
}

#[test]
fn non_invite_request_is_retransmitted_at_intervals_of_at_most_t2() {
    let log = run_client(Client::new(0, false, false, TIMES));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
}

#[rstest]
#[case::invite(true)]
#[case::other(false)]
fn nothing_is_retransmitted_over_a_reliable_transport(#[case] invite: bool) {
    assert_eq!(run_client(Client::new(0, invite, true, TIMES)), [(64, Due::TimedOut)]);
}

#[test]
fn provisional_response_stops_retransmission_of_an_invite() {
    let mut client = Client::new(0, true, false, TIMES);
    assert_eq!(client.response(10, 180), Heard::Pass);
    assert_eq!((client.state, client.repeats()), (State::Proceeding, false));
    assert_eq!(client.tick(200 * T1), Due::Nothing, "timer B does not apply after a provisional response");
}

#[test]
fn muted_invite_is_not_retransmitted_but_receives_responses() {
    let mut client = Client::new(0, true, false, TIMES);
    client.mute();
    assert_eq!(client.tick(10 * T1), Due::Nothing);
    assert_eq!(client.response(10 * T1, 200), Heard::Pass);
}

#[test]
fn final_response_is_passed_up_once_and_its_retransmissions_are_acknowledged() {
    let mut client = Client::new(0, true, false, TIMES);
    let results = [486, 486, 200, 180].map(|code| client.response(5, code));
    assert_eq!(results, [Heard::Pass, Heard::Again, Heard::Drop, Heard::Drop]);
    assert_eq!(run_client(client), [(64, Due::Nothing)], "timer D");
}

#[test]
fn every_2xx_response_is_passed_up() {
    let mut client = Client::new(0, true, false, TIMES);
    assert_eq!([200, 200, 486].map(|code| client.response(5, code)), [Heard::Pass, Heard::Pass, Heard::Drop]);
    assert_eq!(client.state, State::Accepted);
}

#[test]
fn error_response_is_retransmitted_until_its_ack() {
    let mut server = Server::new(true, false, TIMES);
    assert!(server.respond(0, 100) && server.request_again());
    assert!(server.respond(0, 503) && !server.respond(0, 200), "only one final response is sent");
    assert_eq!((server.due(), server.tick(T1)), (Some(T1), Due::Resend));
    server.ack(2 * T1);
    assert_eq!(server.state, State::Confirmed);
    assert_eq!((server.tick(4 * T1), server.request_again()), (Due::Nothing, false));
    assert_eq!((server.tick(12 * T1), server.state), (Due::Nothing, State::Terminated));
}

#[test]
fn error_response_without_ack_times_out() {
    let mut server = Server::new(true, false, TIMES);
    server.respond(0, 503);
    let server = std::cell::RefCell::new(server);
    let log = run_until_done(|| server.borrow().due(), |at| server.borrow_mut().tick(at));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
}

/// RFC 6026: the transaction remains after a 2xx response to absorb retransmissions of the INVITE.
#[test]
fn accepted_invite_absorbs_retransmissions() {
    let mut server = Server::new(true, false, TIMES);
    server.respond(0, 200);
    assert_eq!((server.state, server.request_again(), server.due()), (State::Accepted, false, Some(64 * T1)));
}

#[test]
fn answer_is_retransmitted_until_its_ack() {
    let answer = std::cell::RefCell::new(Answer::new(0, TIMES));
    let log = run_until_done(|| answer.borrow().due(), |at| answer.borrow_mut().tick(at));
    assert_eq!(retransmission_times(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
    let mut answer = Answer::new(0, TIMES);
    answer.ack();
    assert_eq!((answer.due(), answer.tick(100 * T1)), (None, Due::Nothing));
}
