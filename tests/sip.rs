//! Stories on SIP: the real program between stand-in user agents, servers found by DNS-SD.

mod peers;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use peers::sip::*;
use peers::*;
use rstest::rstest;

/// The drain window, and the most that loopback and a busy machine may add to a datagram's way.
const WINDOW: Duration = Duration::from_millis(250);

/// A gatekeeper, one server behind it and one caller before it, all on one transport.
struct Site {
    program: Program,
    resolver: Resolver,
    caller: Agent,
    server: Agent,
    /// Further servers' connections come in here.
    listener: Option<TcpListener>,
    gate: SocketAddr,
}

#[derive(Clone, Copy, PartialEq)]
enum On {
    Udp,
    Tcp,
}

/// For TCP the server's connection is only there once the first call goes out, so a story's first INVITE is sent
/// here.
fn site(on: On, wait_ms: u64, call: &str) -> (Site, Got) {
    let datagrams = Agent::udp(SocketAddr::from(([127, 0, 0, 1], 9)));
    let (listener, at) = listen();
    let (address, service) = match on {
        On::Udp => (datagrams.own, "_sip._udp.pool.lan"),
        On::Tcp => (at, "_sip._tcp.pool.lan"),
    };
    let resolver = Resolver::new(vec![line("s-1", address, 0)]);
    let (program, udp, tcp) = Program::sip(&resolver, service, wait_ms);
    resolver.asked_anew(); // by then the program knows its server
    let gate = if on == On::Udp { udp } else { tcp };
    let mut caller = if on == On::Udp { Agent::udp(gate) } else { Agent::tcp(gate) };
    caller.invite(call);
    let mut server = if on == On::Udp { datagrams } else { Agent::accept(&listener) };
    let invite = server.expect("INVITE");
    (Site { program, resolver, caller, server, listener: Some(listener), gate }, invite)
}

/// A call that stands: the server's INVITE and the caller's 200, ACKed on both sides.
fn standing(on: On, call: &str) -> (Site, Got, Got) {
    let (mut site, invite) = site(on, 9000, call);
    site.server.answer(&invite, "200 OK", "far", "v=0\r\no=answer\r\n");
    site.server.expect("ACK");
    let ok = site.caller.expect("SIP/2.0 200");
    site.caller.in_dialog(&ok, "ACK", 1);
    (site, invite, ok)
}

#[rstest]
#[case::udp(On::Udp)]
#[case::tcp(On::Tcp)]
fn a_call_from_invite_to_bye(#[case] on: On) {
    let (mut site, invite) = site(on, 9000, "c1");
    assert_eq!(site.caller.expect("SIP/2.0 100").tag("To"), "", "100 has no tag");
    assert!(invite.first().contains("sip:5550100@"), "{}", invite.first());
    assert_eq!((invite.body(), invite.get("Max-Forwards")), ("v=0\r\no=offer\r\n", "69"));
    assert_ne!(invite.get("Call-ID"), "c1", "each attempt has a dialog of its own");
    site.server.answer(&invite, "100 Trying", "", "");
    site.server.answer(&invite, "180 Ringing", "far", "");
    let ringing = site.caller.expect("SIP/2.0 180");
    site.server.answer(&invite, "200 OK", "far", "v=0\r\no=answer\r\n");
    let ack = site.server.expect("ACK");
    assert_eq!((ack.get("CSeq"), ack.tag("To")), ("1 ACK", "far"));
    let ok = site.caller.expect("SIP/2.0 200");
    assert_eq!((ok.body(), ok.get("Content-Type")), ("v=0\r\no=answer\r\n", "application/sdp"));
    assert_eq!(ok.tag("To"), ringing.tag("To"), "one dialog");
    site.caller.in_dialog(&ok, "ACK", 1);
    site.caller.in_dialog(&ok, "BYE", 2);
    assert_eq!(site.caller.expect("SIP/2.0 200").get("CSeq"), "2 BYE");
    let bye = site.server.expect("BYE");
    assert_eq!((bye.tag("To"), bye.get("CSeq")), ("far", "2 BYE"));
    site.server.answer(&bye, "200 OK", "", "");
    site.caller.in_dialog(&ok, "BYE", 3);
    assert!(site.caller.expect("SIP/2.0 481").get("CSeq").contains("BYE"), "the dialog is over");
}

#[rstest]
#[case::udp(On::Udp)]
#[case::tcp(On::Tcp)]
fn a_server_ends_the_call(#[case] on: On) {
    let (mut site, invite, ok) = standing(on, "c2");
    site.server.bye_from_server(&invite, "far");
    assert_eq!(site.server.expect("SIP/2.0 200").get("CSeq"), "1 BYE");
    let bye = site.caller.expect("BYE");
    assert_eq!((bye.tag("From"), bye.tag("To")), (ok.tag("To"), ok.tag("From")));
}

/// The server's word reaches the caller by standard codes.
#[rstest]
#[case::not_found("404 Not Found", "SIP/2.0 404")]
#[case::busy("486 Busy Here", "SIP/2.0 486")]
#[case::declined("603 Decline", "SIP/2.0 603")]
fn a_servers_failure_reaches_the_caller(#[case] says: &str, #[case] hears: &str) {
    let (mut site, invite) = site(On::Udp, 9000, "c3");
    let (got, attempts) = turn_all_down(&mut site, invite, says);
    assert!(got.is(hears), "{}", got.first());
    let ack = ack_of(&site.caller, &got, "c3");
    site.caller.send(&ack);
    assert!(attempts <= 4, "{attempts} attempts");
}

/// Turns every attempt down until the caller has its final answer; returns that and how many there were.
fn turn_all_down(site: &mut Site, first: Got, status: &str) -> (Got, usize) {
    let mut invite = Some(first);
    let mut attempts = BTreeSet::new();
    let last = eventually("the caller's final answer", || {
        if let Some(invite) = invite.take() {
            site.server.answer(&invite, status, "far", "");
            attempts.insert(invite.get("Call-ID").to_string());
        }
        invite = site.server.next(Duration::from_millis(5)).filter(|g| g.is("INVITE"));
        site.caller.next(Duration::from_millis(5)).filter(|g| !g.is("SIP/2.0 1"))
    });
    (last, attempts.len())
}

fn ack_of(caller: &Agent, refusal: &Got, call: &str) -> String {
    let request = caller.request("ACK", call, "", "");
    request.replace("To: <sip:5550100@central>", &format!("To: {}", refusal.get("To")))
}

/// Refused: 503 with Retry-After, at once.
#[test]
fn a_full_server_means_503_and_retry_after() {
    let (mut site, invite) = site(On::Udp, 60_000, "c4");
    let asked = Instant::now();
    let (refused, _) = turn_all_down(&mut site, invite, "503 Service Unavailable");
    assert!(refused.is("SIP/2.0 503"), "{}", refused.first());
    assert_eq!(refused.get("Retry-After"), "2");
    assert!(asked.elapsed() < Duration::from_secs(20), "not held to the deadline");
}

/// The caller's time is up: 408 to the caller; the server, which has rung, gets a CANCEL.
#[rstest]
#[case::udp(On::Udp)]
#[case::tcp(On::Tcp)]
fn the_callers_time_runs_out(#[case] on: On) {
    let (mut site, invite) = site(on, 1500, "c5");
    site.server.answer(&invite, "180 Ringing", "far", "");
    site.caller.expect("SIP/2.0 408");
    let cancel = site.server.expect("CANCEL");
    assert_eq!((cancel.get("Via"), cancel.get("CSeq")), (invite.get("Via"), "1 CANCEL"));
    site.server.answer(&cancel, "200 OK", "far", "");
    site.server.answer(&invite, "487 Request Terminated", "far", "");
    site.server.expect("ACK");
}

/// A repeated INVITE is absorbed by its server transaction: it is answered again, and is no second call.
#[test]
fn a_repeated_invite_is_no_second_call() {
    let (mut site, invite) = site(On::Udp, 9000, "c6");
    site.server.answer(&invite, "180 Ringing", "far", "");
    site.caller.expect("SIP/2.0 180");
    for _ in 0..3 {
        site.caller.invite("c6");
        site.caller.expect("SIP/2.0 180");
    }
    site.server.answer(&invite, "200 OK", "far", "");
    let ok = site.caller.expect("SIP/2.0 200");
    site.caller.invite("c6");
    site.caller.in_dialog(&ok, "ACK", 1);
    site.caller.in_dialog(&ok, "BYE", 2);
    site.server.expect("BYE");
    assert_eq!(site.server.count("INVITE"), 1);
}

/// Our own repeats to a server that drains end with the window; the attempt has timed out, and the call goes out
/// again only after the release wait.
#[test]
fn repeats_to_a_draining_server_end_with_the_window() {
    let (mut site, first) = site(On::Udp, 20_000, "c7");
    let mut other = Agent::udp(site.gate);
    let at = other.own;
    site.server.expect("INVITE"); // it repeats, since nothing is said
    let serial = site.resolver.change(0, |list| {
        list[0].draining = true;
        list.push(line("s-2", at, 1));
    });
    let told = site.resolver.told(serial);
    let again = other.expect("INVITE");
    assert_eq!(again.get("Session-ID"), first.get("Session-ID"), "the same call");
    while site.server.next(Duration::from_millis(600)).is_some() {}
    let last = site.server.got.iter().rfind(|g| g.is("INVITE")).unwrap().at;
    assert!(last <= told + WINDOW, "an INVITE {:?} after the news", last - told);
    assert!(again.at >= last + Duration::from_millis(500), "the release wait was not kept");
    assert_eq!(site.server.count("CANCEL"), 0, "nothing to cancel: no provisional response came");
    // A late 2xx of the given-up attempt is ACKed, then ended; the caller never hears of it.
    site.server.answer(&first, "200 OK", "late", "");
    site.server.expect("ACK");
    assert_eq!(site.server.expect("BYE").tag("To"), "late");
    other.answer(&again, "200 OK", "far", "");
    let ok = site.caller.expect("SIP/2.0 200");
    site.caller.in_dialog(&ok, "ACK", 1);
    assert_eq!(site.caller.got.iter().filter(|g| g.is("SIP/2.0 200")).count(), 1);
}

/// The caller's CANCEL before any provisional response of the server: the server gets none until it has said
/// something.
#[test]
fn a_cancel_waits_for_a_provisional_response() {
    let (mut site, invite) = site(On::Udp, 9000, "c8");
    site.caller.cancel("c8");
    assert_eq!(site.caller.expect("SIP/2.0 200").get("CSeq"), "1 CANCEL");
    assert_eq!(site.caller.expect("SIP/2.0 487").get("CSeq"), "1 INVITE");
    while site.server.next(Duration::from_millis(300)).is_some() {}
    assert_eq!(site.server.count("CANCEL"), 0);
    site.server.answer(&invite, "100 Trying", "", "");
    let cancel = site.server.expect("CANCEL");
    site.server.answer(&cancel, "200 OK", "far", "");
    site.server.answer(&invite, "487 Request Terminated", "far", "");
    site.server.expect("ACK");
}

/// The caller's CANCEL crosses our 200: it changes nothing, the call stands and takes a BYE.
#[rstest]
#[case::udp(On::Udp)]
#[case::tcp(On::Tcp)]
fn a_cancel_that_crosses_the_answer_changes_nothing(#[case] on: On) {
    let (mut site, invite) = site(on, 9000, "c9");
    site.server.answer(&invite, "200 OK", "far", "");
    site.server.expect("ACK");
    let ok = site.caller.expect("SIP/2.0 200");
    site.caller.cancel("c9");
    let heard = eventually("the CANCEL's answer", || {
        site.caller.next(PATIENCE).filter(|g| g.is("SIP/2.0 200") && g.get("CSeq") == "1 CANCEL")
    });
    assert_eq!(heard.get("Call-ID"), "c9");
    site.caller.in_dialog(&ok, "ACK", 1);
    site.caller.in_dialog(&ok, "BYE", 2);
    site.server.expect("BYE");
    assert_eq!(site.caller.count("SIP/2.0 487"), 0);
    assert_eq!(site.server.count("CANCEL"), 0);
}

/// Our CANCEL crosses the server's 200: the late 2xx gets its ACK, then a BYE.
#[rstest]
#[case::udp(On::Udp)]
#[case::tcp(On::Tcp)]
fn an_answer_that_crosses_our_cancel_is_ended(#[case] on: On) {
    let (mut site, invite) = site(on, 9000, "c10");
    site.server.answer(&invite, "180 Ringing", "far", "");
    site.caller.expect("SIP/2.0 180");
    site.caller.cancel("c10");
    site.caller.expect("SIP/2.0 487");
    let cancel = site.server.expect("CANCEL");
    site.server.answer(&invite, "200 OK", "far", "");
    site.server.answer(&cancel, "481 Call/Transaction Does Not Exist", "far", "");
    site.server.expect("ACK");
    site.server.expect("BYE");
    assert_eq!(
        site.caller.got.iter().filter(|g| g.is("SIP/2.0 200") && g.get("CSeq") == "1 INVITE").count(),
        0
    );
}

/// A second branch of a fork is ACKed and ended, a repeated 2xx is ACKed again; the caller has one answer.
#[test]
fn forked_and_repeated_answers() {
    let (mut site, invite) = site(On::Udp, 9000, "c11");
    site.server.answer(&invite, "200 OK", "one", "");
    assert_eq!(site.server.expect("ACK").tag("To"), "one");
    site.server.answer(&invite, "200 OK", "two", "");
    assert_eq!(site.server.expect("ACK").tag("To"), "two");
    assert_eq!(site.server.expect("BYE").tag("To"), "two");
    site.server.answer(&invite, "200 OK", "one", "");
    assert_eq!(site.server.expect("ACK").tag("To"), "one");
    let ok = site.caller.expect("SIP/2.0 200");
    site.caller.in_dialog(&ok, "ACK", 1);
    site.caller.in_dialog(&ok, "BYE", 2);
    assert_eq!(site.server.expect("BYE").tag("To"), "one");
    assert_eq!(
        site.caller.got.iter().filter(|g| g.tag("To") != ok.tag("To") && g.is("SIP/2.0 2")).count(),
        0
    );
}

/// The caller's ACK is lost: the 200 is repeated until one comes.
#[rstest]
#[case::udp(On::Udp)]
#[case::tcp(On::Tcp)]
fn a_lost_ack_is_asked_for_again(#[case] on: On) {
    let (mut site, invite) = site(on, 9000, "c12");
    site.server.answer(&invite, "200 OK", "far", "");
    let first = site.caller.expect("SIP/2.0 200");
    let again = site.caller.expect("SIP/2.0 200");
    assert_eq!(first.text, again.text);
    site.caller.in_dialog(&again, "ACK", 1);
    site.server.bye_from_server(&invite, "far");
    site.caller.expect("BYE");
}

/// No ACK ever comes: after 64 T1 the call is ended on both sides.
#[test]
fn a_call_without_an_ack_is_ended_on_both_sides() {
    let (mut site, invite) = site(On::Udp, 9000, "c13");
    site.server.answer(&invite, "200 OK", "far", "");
    site.server.expect("ACK");
    site.caller.expect("BYE");
    site.server.expect("BYE");
}

/// TCP has no message borders: one message in pieces, two in one piece, a keep-alive between.
#[test]
fn split_and_joined_messages_over_tcp() {
    let (mut site, invite) = site(On::Tcp, 9000, "c14");
    let (one, two) =
        (site.caller.request("OPTIONS", "o1", "", ""), site.caller.request("OPTIONS", "o2", "", ""));
    let (head, tail) = one.split_at(40);
    site.caller.send(head);
    site.caller.send(&format!("{tail}\r\n\r\n{two}"));
    let ids: BTreeSet<String> =
        (0..2).map(|_| site.caller.expect("SIP/2.0 200").get("Call-ID").to_string()).collect();
    assert_eq!(ids, BTreeSet::from(["o1".into(), "o2".into()]));
    let ringing = invite.response("180 Ringing", "far", "", "");
    let ok = invite.response("200 OK", "far", &format!("Contact: <sip:{}>\r\n", site.server.own), "v=0\r\n");
    site.server.send(&format!("{ringing}{ok}"));
    site.caller.expect("SIP/2.0 180");
    assert_eq!(site.caller.expect("SIP/2.0 200").body(), "v=0\r\n");
}

/// A server's connection breaks under a set-up: it may have run, so the call goes out again only after the
/// release wait, on a new connection.
#[test]
fn a_lost_connection_to_a_server_cuts_its_set_ups() {
    let (mut site, _) = site(On::Tcp, 20_000, "c15");
    let lost = Instant::now();
    drop(std::mem::replace(&mut site.server, Agent::udp(site.gate)));
    let mut next = Agent::accept(site.listener.as_ref().unwrap());
    let again = next.expect("INVITE");
    assert!(again.at >= lost + Duration::from_millis(500), "{:?}", again.at - lost);
    next.answer(&again, "200 OK", "far", "");
    site.caller.expect("SIP/2.0 200");
}

/// A caller's connection breaks: its answer goes to where it listens (§18.2.2).
#[test]
fn a_lost_connection_to_a_caller_is_replaced() {
    let (listener, at) = listen();
    let (mut site, _) = site(On::Tcp, 9000, "c16");
    let mut second = Agent::tcp(site.gate);
    second.own = at;
    second.invite("c17");
    let invite = site.server.expect("INVITE");
    drop(second);
    site.resolver.asked_anew();
    site.server.answer(&invite, "200 OK", "far", "");
    let mut back = Agent::accept(&listener);
    assert_eq!(back.expect("SIP/2.0 200").get("Call-ID"), "c17");
}

/// A TCP connection closes under a BYE: nothing repeats it there, so it goes out again on another connection, and once
/// it is answered no more.
#[rstest]
#[case::towards_the_caller(true)]
#[case::towards_the_server(false)]
fn a_bye_moves_on_when_its_connection_closes(#[case] to_caller: bool) {
    let (listener, at) = listen();
    let (mut site, _, _) = standing(On::Tcp, "c18");
    let mut caller = Agent::tcp(site.gate);
    caller.own = at;
    caller.invite("c19");
    let invite = site.server.expect("INVITE");
    site.server.answer(&invite, "200 OK", "far", "v=0\r\n");
    let ok = caller.expect("SIP/2.0 200");
    caller.in_dialog(&ok, "ACK", 1);
    let (bye, back) = if to_caller {
        site.server.bye_from_server(&invite, "far");
        let bye = caller.expect("BYE");
        drop(caller); // and has not answered it
        (bye, listener)
    } else {
        caller.in_dialog(&ok, "BYE", 2);
        let bye = site.server.expect("BYE");
        drop(std::mem::replace(&mut site.server, Agent::udp(site.gate)));
        (bye, site.listener.take().unwrap())
    };
    let mut again = Agent::accept(&back);
    let moved = again.expect("BYE");
    assert_eq!((moved.get("Via"), moved.get("CSeq")), (bye.get("Via"), bye.get("CSeq")), "the same request");
    again.answer(&moved, "200 OK", "", "");
    site.resolver.asked_anew();
    drop(again);
    site.resolver.asked_anew();
    back.set_nonblocking(true).unwrap();
    assert!(back.accept().is_err(), "it was answered");
}

/// One program may have both fronts; each has its own callers, servers and calls.
#[test]
fn both_fronts_in_one_program() {
    let (listener, at) = listen();
    let mut server = Agent::udp(SocketAddr::from(([127, 0, 0, 1], 9)));
    let platform = Resolver::new(vec![line("s-1", at, 0)]);
    let sip = Resolver::new(vec![line("s-1", server.own, 0)]);
    let (mut program, gate, sip_gate) = Program::both(&platform, &sip, "_sip._udp.pool.lan");
    let mut far = Lines::accept(&listener);
    let mut lines = Lines::connect(gate);
    lines.start("9b1f03aa5c7e2d41", 9000, 0);
    let start = far.expect("START");
    sip.asked_anew();
    let mut caller = Agent::udp(sip_gate);
    caller.invite("c22");
    let invite = server.expect("INVITE");
    server.answer(&invite, "200 OK", "far", "");
    let ok = caller.expect("SIP/2.0 200");
    caller.in_dialog(&ok, "ACK", 1);
    far.started(&start["tag"]);
    lines.expect("STARTED");
    program.terminate();
    far.finish(&start["tag"], 16, serde_json::json!({}));
    assert_eq!(lines.expect("FINISH")["rc"], 16);
    server.expect("BYE");
    caller.expect("BYE");
    assert!(program.ended().success(), "it ends once both fronts have");
}

/// SIGTERM: what stands may go on for 3 s, then it is ended on both sides, and the program ends well.
#[test]
fn a_planned_stop_ends_what_still_stands() {
    let (mut site, _, _) = standing(On::Udp, "c19");
    site.program.terminate();
    site.server.expect("BYE");
    site.caller.expect("BYE");
    assert!(site.program.ended().success());
    assert!(!site.program.rest_of_log().contains("invariant"));
}

/// Repeats of an INVITE, its answer, and SIGTERM are all there before the program may run: one INVITE went out, the call gets its
/// one answer, and both sides hear its end.
#[test]
fn a_repeated_invite_in_a_planned_stop_is_no_second_call() {
    let (mut site, invite) = site(On::Udp, 9000, "c30");
    site.program.pause();
    site.program.terminate();
    for _ in 0..3 {
        site.caller.invite("c30");
    }
    site.server.answer(&invite, "200 OK", "far", "v=0\r\n");
    site.program.proceed();
    site.server.expect("ACK");
    let ok = site.caller.expect("SIP/2.0 200");
    site.caller.invite("c30");
    site.caller.in_dialog(&ok, "ACK", 1);
    site.caller.expect("BYE");
    site.server.expect("BYE");
    assert!(site.program.ended().success());
    assert_eq!(site.server.count("INVITE"), 1);
    assert!(!site.program.rest_of_log().contains("invariant"));
}

/// The caller's time ends and the server's 200 is there in the same turn: one final answer, and what stands at the server is ended.
#[test]
fn an_answer_in_the_turn_of_its_time_out_is_ended() {
    let (mut site, invite) = site(On::Udp, 1_500, "c31");
    site.program.crossed(|| {
        site.server.answer(&invite, "200 OK", "far", "v=0\r\n");
        std::thread::sleep(Duration::from_millis(1_600)); // its time is over
    });
    let last = site.caller.expect("SIP/2.0 4");
    assert!(last.is("SIP/2.0 408"), "{}", last.first());
    site.server.expect("ACK");
    site.server.expect("BYE");
    assert_eq!(site.caller.count("SIP/2.0 200"), 0);
}

/// A server goes and is back at its address before the calls of the one before have counted as cut: new ones are its own.
#[test]
fn a_server_that_goes_and_returns_keeps_its_new_calls() {
    let (mut site, _, _) = standing(On::Udp, "c32");
    let at = site.server.own;
    let gone = site.resolver.change(0, Vec::clear);
    site.resolver.told(gone);
    let back = site.resolver.change(0, |list| list.push(line("s-1", at, 0)));
    site.resolver.told(back);
    site.resolver.asked_often(1); // the list has been taken
    let mut other = Agent::udp(site.gate);
    other.invite("c33");
    let invite = site.server.expect("INVITE");
    site.server.answer(&invite, "200 OK", "far", "v=0\r\n");
    let ok = other.expect("SIP/2.0 200");
    other.in_dialog(&ok, "ACK", 1);
    site.caller.expect("BYE"); // the first process's call is cut with it
    site.resolver.asked_often(5); // over a second
    other.in_dialog(&ok, "BYE", 2);
    other.expect("SIP/2.0 200");
    site.server.expect("BYE");
    assert_eq!(other.count("BYE"), 0, "it was not cut");
}

/// Nothing listens where a server did: its process has ended, and its calls with it.
#[test]
fn calls_of_a_dead_server_are_ended_towards_their_callers() {
    let (mut site, _, _) = standing(On::Tcp, "c20");
    site.listener = None;
    drop(std::mem::replace(&mut site.server, Agent::udp(site.gate)));
    site.resolver.asked_anew(); // by then the program has seen the connection's end
    site.caller.invite("c21");
    let bye = site.caller.expect("BYE");
    assert_eq!(bye.get("Call-ID"), "c20");
    site.caller.cancel("c21");
    site.caller.expect("SIP/2.0 487");
}

#[rstest]
#[case::no_call_id("Call-ID: bad\r\n", "", Some("SIP/2.0 400"))]
#[case::no_from_tag(";tag=f-bad", "", Some("SIP/2.0 400"))]
#[case::wrong_cseq_method("CSeq: 1 INVITE", "CSeq: 1 BYE", Some("SIP/2.0 400"))]
#[case::cseq_too_large("CSeq: 1 INVITE", "CSeq: 4294967295 INVITE", Some("SIP/2.0 400"))]
#[case::body_cut_short("Content-Length: 0", "Content-Length: 9", Some("SIP/2.0 400"))]
#[case::no_contact("Contact:", "X-Contact:", Some("SIP/2.0 400"))]
#[case::no_number("sip:5550100@", "sip:", Some("SIP/2.0 404"))]
#[case::extension_required("Max-Forwards: 70", "Require: 100rel\r\nMax-Forwards: 70", Some("SIP/2.0 420"))]
#[case::too_many_hops("Max-Forwards: 70", "Max-Forwards: 0", Some("SIP/2.0 483"))]
#[case::unknown_method("INVITE", "PUBLISH", Some("SIP/2.0 405"))]
#[case::no_via("Via: ", "X-Via: ", None)]
#[case::old_version("SIP/2.0\r\n", "SIP/1.0\r\n", None)]
#[case::no_sip("INVITE", "IN\0VITE", None)]
fn malformed_requests_get_400_or_nothing(#[case] from: &str, #[case] to: &str, #[case] hears: Option<&str>) {
    let (mut site, _) = site(On::Udp, 9000, "c18");
    let mut odd = Agent::udp(site.gate);
    let text = odd.request("INVITE", "bad", "", "").replace(from, to);
    odd.send(&text);
    match hears {
        Some(status) => drop(odd.expect(status)),
        None => {
            let options = odd.request("OPTIONS", "o3", "", "");
            odd.send(&options);
            assert_eq!(odd.expect("SIP/2.0 200").get("Call-ID"), "o3");
            assert_eq!(odd.got.len(), 1, "nothing for what was dropped");
        }
    }
    assert!(site.program.runs());
    site.caller.cancel("c18");
    site.caller.expect("SIP/2.0 487");
}

/// What a stand-in server saw of a call: when its INVITEs came, and when it ended them.
struct Seen {
    invites: Vec<(String, Instant, String)>,
    finals: BTreeMap<String, Instant>,
}

/// A stand-in that answers by itself: rings, then answers, and turns every thirtieth call away; it records all.
fn busy_server(socket: UdpSocket, until: Instant) -> thread::JoinHandle<Seen> {
    socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    thread::spawn(move || {
        let own = socket.local_addr().unwrap();
        let mut seen = Seen { invites: Vec::new(), finals: BTreeMap::new() };
        let mut buffer = [0; 65_535];
        let mut pending: Vec<(Instant, Got)> = Vec::new();
        while Instant::now() < until {
            if let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                let got = Got { text, at: Instant::now(), from };
                if got.is("INVITE") {
                    let known = seen.invites.iter().any(|(id, _, _)| id == got.get("Call-ID"));
                    let (id, session) = (got.get("Call-ID").to_string(), got.get("Session-ID").to_string());
                    seen.invites.push((id, got.at, session));
                    if !known {
                        let _ = socket.send_to(got.response("180 Ringing", "far", "", "").as_bytes(), from);
                        pending.push((got.at + Duration::from_millis(60), got));
                    }
                } else if got.is("BYE") || got.is("CANCEL") {
                    let _ = socket.send_to(got.response("200 OK", "far", "", "").as_bytes(), from);
                }
            }
            let now = Instant::now();
            for (n, (_, invite)) in pending.extract_if(.., |(at, _)| *at <= now).enumerate() {
                let contact = format!("Contact: <sip:{own}>\r\n");
                let full = (seen.finals.len() + n) % 30 == 29;
                let status = if full { "503 Service Unavailable" } else { "200 OK" };
                let text = invite.response(status, "far", &contact, "");
                seen.finals.insert(invite.get("Call-ID").to_string(), Instant::now());
                let _ = socket.send_to(text.as_bytes(), invite.from);
            }
        }
        seen
    })
}

/// The brief's test. Many calls at two servers, one of which drains on the way: every call gets exactly one final
/// answer, none has two attempts out, and no set-up reaches the draining server once the window has passed.
#[test]
fn many_calls_and_a_drain_keep_the_rules() {
    const CALLS: usize = 300;
    let sockets = [UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap()];
    let at: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    let resolver = Resolver::new(vec![line("s-1", at[0], 0), line("s-2", at[1], 1)]);
    let (_program, gate, _) = Program::sip(&resolver, "_sip._udp.pool.lan", 6000);
    resolver.asked_anew();
    let until = Instant::now() + Duration::from_secs(11);
    let servers = sockets.map(|socket| busy_server(socket, until));
    let mut caller = Agent::udp(gate);
    let mut finals: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut told = None;
    for n in 0..CALLS {
        let call = format!("many-{n}");
        let pool = n % 2;
        let text = caller.request("INVITE", &call, "", "");
        caller.send(&text.replacen(&format!("@{gate}"), &format!("@{gate};pool={pool}"), 1));
        if n == CALLS / 2 {
            let serial = resolver.change(1, |list| list[0].draining = true);
            told = Some(serial);
        }
        take_answers(&mut caller, &mut finals, Duration::from_millis(8));
    }
    while Instant::now() < until {
        take_answers(&mut caller, &mut finals, Duration::from_millis(50));
    }
    let told = resolver.told(told.unwrap());
    let seen = servers.map(|server| server.join().unwrap());

    assert_eq!(finals.len(), CALLS, "every call has a final answer");
    for (call, answers) in &finals {
        assert_eq!(answers.len(), 1, "{call} got {answers:?}");
    }
    let stood = finals.values().flatten().filter(|a| a.starts_with("SIP/2.0 200")).count();
    assert!(stood > CALLS / 2, "only {stood} calls stood");
    let late: Vec<Duration> = seen[0]
        .invites
        .iter()
        .filter(|(_, at, _)| *at > told + WINDOW)
        .map(|(_, at, _)| *at - told)
        .collect();
    assert!(late.is_empty(), "set-ups at the draining server {late:?} after the news");
    assert!(seen[0].invites.iter().any(|(_, at, _)| *at < told), "it had calls before");
    assert!(seen[1].invites.iter().any(|(_, at, _)| *at > told + WINDOW), "the other went on");
    // By call: each attempt begins only after the one before it has had its end.
    let mut attempts: BTreeMap<&str, BTreeMap<&str, (Instant, Option<Instant>)>> = BTreeMap::new();
    for server in &seen {
        for (id, at, session) in &server.invites {
            let end = server.finals.get(id).copied();
            attempts.entry(session).or_default().entry(id).or_insert((*at, end));
        }
    }
    assert!(attempts.values().any(|tries| tries.len() > 1), "some calls were tried again");
    for (session, tries) in attempts {
        let mut spans: Vec<_> = tries.into_values().collect();
        spans.sort();
        for pair in spans.windows(2) {
            let ended = pair[0].1.expect("an attempt followed by another had its end");
            assert!(pair[1].0 >= ended, "{session}: two attempts out");
        }
    }
}

/// Takes what has come for a caller: final answers of INVITEs are noted and ACKed, BYEs answered.
fn take_answers(caller: &mut Agent, finals: &mut BTreeMap<String, BTreeSet<String>>, patience: Duration) {
    while let Some(got) = caller.next(patience) {
        if got.get("CSeq") == "1 INVITE" && got.is("SIP/2.0") && !got.is("SIP/2.0 1") {
            let call = got.get("Call-ID").to_string();
            let answer = format!("{} {}", got.first(), got.tag("To"));
            finals.entry(call.clone()).or_default().insert(answer);
            if got.is("SIP/2.0 200") {
                caller.in_dialog(&got, "ACK", 1);
            } else {
                let ack = ack_of(caller, &got, &call);
                caller.send(&ack);
            }
        }
    }
}

/// A reload names another resolver for this front too.
#[test]
fn a_new_configuration_names_another_resolver() {
    let (mut site, invite) = site(On::Udp, 9000, "one");
    site.server.answer(&invite, "503 Service Unavailable", "far", "");
    site.server.expect("ACK");
    let other = Agent::udp(SocketAddr::from(([127, 0, 0, 1], 9)));
    let second = Resolver::new(vec![line("s-2", other.own, 0)]).numbered(9);
    site.program.reload(second.address);
    second.asked_often(2); // the first answer has been taken by then
    let mut caller = Agent::udp(site.gate);
    caller.invite("two");
    let mut other = other;
    other.expect("INVITE");
    assert!(site.program.runs());
}

/// Peers that connect and say nothing do not keep others out: the longest unused connection makes way.
#[test]
fn silent_connections_make_way_for_new_callers() {
    let (mut site, _, _) = standing(On::Tcp, "one");
    let silent: Vec<_> = (0..300).map(|_| std::net::TcpStream::connect(site.gate).unwrap()).collect();
    let mut caller = Agent::tcp(site.gate);
    caller.invite("two");
    caller.expect("SIP/2.0 100");
    let invite = site.server.expect("INVITE");
    site.server.answer(&invite, "200 OK", "far", "v=0\r\n");
    caller.expect("SIP/2.0 200");
    drop(silent);
}

/// Out of service: OPTIONS and new INVITEs get 503 with Retry-After, a dialog goes on to its end; and back again.
#[test]
fn a_drain_turns_new_calls_away_and_lets_dialogs_end() {
    let (mut site, invite, _) = standing(On::Udp, "d1");
    let door = site.program.door.expect("its door was asked for");
    assert_eq!(ask(door, "PUT", "/control/out-of-service").0, 200);
    assert_eq!(ask(door, "GET", "/control/ready").0, 503);
    let options = site.caller.request("OPTIONS", "o7", "", "");
    site.caller.send(&options);
    assert_eq!(site.caller.expect("SIP/2.0 503").get("Retry-After"), "1");
    eventually("a new INVITE is turned away", || {
        site.caller.invite("d2");
        let refused = site.caller.expect("SIP/2.0 503");
        let ack = ack_of(&site.caller, &refused, "d2");
        site.caller.send(&ack);
        (refused.get("Retry-After") == "1").then_some(())
    });
    site.server.bye_from_server(&invite, "far");
    site.caller.expect("BYE");
    assert_eq!(ask(door, "PUT", "/control/in-service").0, 200);
    let options = site.caller.request("OPTIONS", "o8", "", "");
    site.caller.send(&options);
    site.caller.expect("SIP/2.0 200");
}
