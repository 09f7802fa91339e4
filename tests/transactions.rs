//! The transaction machines against RFC 3261 §17, on a clock of the test's own.

use cobaltspool::Micros;
use cobaltspool::sip::transaction::{Answer, Client, Due, Heard, Server, State, Times};
use rstest::rstest;

const T1: Micros = 500_000;
const TIMES: Times = Times { t1: T1 };

/// Ticks a machine whenever it wants to be until it has nothing more to say, and returns when it did what, in T1.
fn play(mut due: impl FnMut() -> Option<Micros>, mut tick: impl FnMut(Micros) -> Due) -> Vec<(u64, Due)> {
    let mut log = Vec::new();
    while let Some(at) = due() {
        log.push((at / T1, tick(at)));
        assert!(log.len() < 100, "it never ends");
    }
    log
}

fn run(client: Client) -> Vec<(u64, Due)> {
    let client = std::cell::RefCell::new(client);
    play(|| client.borrow().due(), |at| client.borrow_mut().tick(at))
}

fn resends(log: &[(u64, Due)]) -> Vec<u64> {
    log.iter().filter(|(_, due)| *due == Due::Resend).map(|(at, _)| *at).collect()
}

#[test]
fn an_unheard_invite_is_repeated_at_doubling_gaps_and_times_out() {
    let log = run(Client::new(0, true, false, TIMES));
    assert_eq!(resends(&log), [1, 3, 7, 15, 31, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
}

#[test]
fn another_request_is_repeated_at_most_every_t2() {
    let log = run(Client::new(0, false, false, TIMES));
    assert_eq!(resends(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
}

#[rstest]
#[case::invite(true)]
#[case::other(false)]
fn a_reliable_transport_needs_no_repeats(#[case] invite: bool) {
    assert_eq!(run(Client::new(0, invite, true, TIMES)), [(64, Due::TimedOut)]);
}

#[test]
fn a_provisional_response_ends_the_repeats_of_an_invite() {
    let mut client = Client::new(0, true, false, TIMES);
    assert_eq!(client.response(10, 180), Heard::Pass);
    assert_eq!((client.state, client.repeats()), (State::Proceeding, false));
    assert_eq!(client.tick(200 * T1), Due::Nothing, "it waits as long as its user does");
}

#[test]
fn a_muted_invite_is_repeated_no_more_but_still_heard() {
    let mut client = Client::new(0, true, false, TIMES);
    client.mute();
    assert_eq!(client.tick(10 * T1), Due::Nothing);
    assert_eq!(client.response(10 * T1, 200), Heard::Pass);
}

#[test]
fn a_final_response_is_passed_once_and_its_repeats_are_acked() {
    let mut client = Client::new(0, true, false, TIMES);
    let heard = [486, 486, 200, 180].map(|code| client.response(5, code));
    assert_eq!(heard, [Heard::Pass, Heard::Again, Heard::Drop, Heard::Drop]);
    assert_eq!(run(client), [(64, Due::Nothing)], "timer D");
}

#[test]
fn every_2xx_is_passed_up() {
    let mut client = Client::new(0, true, false, TIMES);
    assert_eq!([200, 200, 486].map(|code| client.response(5, code)), [Heard::Pass, Heard::Pass, Heard::Drop]);
    assert_eq!(client.state, State::Accepted);
}

#[test]
fn a_refusal_is_repeated_until_its_ack() {
    let mut server = Server::new(true, false, TIMES);
    assert!(server.respond(0, 100) && server.request_again());
    assert!(server.respond(0, 503) && !server.respond(0, 200), "one final response");
    assert_eq!((server.due(), server.tick(T1)), (Some(T1), Due::Resend));
    server.ack(2 * T1);
    assert_eq!(server.state, State::Confirmed);
    assert_eq!((server.tick(4 * T1), server.request_again()), (Due::Nothing, false));
    assert_eq!((server.tick(12 * T1), server.state), (Due::Nothing, State::Terminated));
}

#[test]
fn a_refusal_whose_ack_never_comes_times_out() {
    let mut server = Server::new(true, false, TIMES);
    server.respond(0, 503);
    let server = std::cell::RefCell::new(server);
    let log = play(|| server.borrow().due(), |at| server.borrow_mut().tick(at));
    assert_eq!(resends(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
}

/// RFC 6026: after a 2xx the transaction stays, to absorb the INVITE's repeats.
#[test]
fn an_accepted_invite_absorbs_repeats() {
    let mut server = Server::new(true, false, TIMES);
    server.respond(0, 200);
    assert_eq!((server.state, server.request_again(), server.due()), (State::Accepted, false, Some(64 * T1)));
}

#[test]
fn an_answer_is_repeated_until_its_ack() {
    let answer = std::cell::RefCell::new(Answer::new(0, TIMES));
    let log = play(|| answer.borrow().due(), |at| answer.borrow_mut().tick(at));
    assert_eq!(resends(&log), [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]);
    assert_eq!(log.last(), Some(&(64, Due::TimedOut)));
    let mut answer = Answer::new(0, TIMES);
    answer.ack();
    assert_eq!((answer.due(), answer.tick(100 * T1)), (None, Due::Nothing));
}
