//! The servers' side: an INVITE for each attempt, what becomes of it, and the dialogs that stand.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{AttemptId, Input};
use crate::{Cause, LoadReport, Micros, Outcome, ServerId};

use super::dialog::Dialog;
use super::message::{Message, address, uri_parts};
use super::transaction::{ResponseAction, State, TimerAction};
use super::transport::{ConnId, Peer};
use super::{ALLOW, ClientKey, ClientTransaction, Owner, Purpose, SipFrontend};

/// A probe that takes longer has failed.
const PROBE_TIME: Micros = 250_000;
/// A request moves to another connection this often at most: a peer that closes each one does not want it.
const MAX_MOVES: u32 = 3;
/// Repeats end this long before the drain window does: what is sent must also have arrived, and a busy machine
/// may hold either side up.
const WINDOW_MARGIN: Micros = 100_000;
/// From the news that a server is gone until its calls count as cut: their BYEs may be on their way.
pub(super) const LAST_RELEASES: Micros = 500_000;

/// One attempt's call leg. It is kept a while after its end, for what may still come of its INVITE.
pub(super) struct Leg {
    server: ServerId,
    peer: Peer,
    branch: String,
    tag: String,
    call_id: String,
    sent: Micros,
    /// Nobody waits for it any more.
    over: bool,
    cancelled: bool,
    /// Its INVITE is not to be repeated after this.
    stop_at: Option<Micros>,
    forget_at: Option<Micros>,
    pub(super) dialog: Option<Dialog>,
    /// The ACKs sent, by the To tag of the 2xx: each branch of a fork has its own.
    acks: Vec<(String, Bytes)>,
}

impl SipFrontend {
    pub(super) fn invite(&mut self, attempt: AttemptId, server: ServerId, left: Micros, body: Bytes) {
        let Some(caller) = self.callers.get(&attempt.call) else { return };
        let (request, class) = (caller.request.clone(), caller.class);
        let Some(to) = self.directory.address(server) else {
            return self.driver.inputs.push_back(ended(attempt, Outcome::Unreachable, Cause::Unspecified));
        };
        let peer = if self.over_tcp { Peer::Tcp(to, None) } else { Peer::Udp(to) };
        let (tag, branch) = (self.new_name(), self.new_branch());
        let call_id = format!("{}@{}", self.new_name(), self.transport.udp_address.ip());
        let (user, _, _) = uri_parts(request.uri().unwrap_or_default());
        let transport = if self.over_tcp { ";transport=tcp" } else { "" };
        let mut invite =
            Message::request("INVITE", &format!("sip:{}@{to}{transport}", user.unwrap_or_default()));
        let hops = request.get("Max-Forwards").and_then(|m| m.trim().parse::<u32>().ok()).unwrap_or(70);
        invite.add("Max-Forwards", &hops.saturating_sub(1).to_string());
        let from = address(request.get("From").unwrap_or_default());
        invite.add("From", &format!("<{from}>;tag={tag}"));
        invite.add("To", &format!("<{}>", address(request.get("To").unwrap_or_default())));
        invite.add("Call-ID", &call_id);
        invite.add("CSeq", "1 INVITE");
        invite.add("Contact", &self.contact(peer));
        invite.add("Allow", ALLOW);
        invite.add("Expires", &left.div_ceil(1_000_000).to_string());
        // The same for all attempts of a call, so that both sites can tell what belongs together (RFC 7989).
        let session = request.get("Session-ID").map_or_else(
            || format!("{:032x};remote={:032x}", fold(request.get("Call-ID").unwrap_or_default()), 0),
            str::to_string,
        );
        invite.add("Session-ID", &session);
        if let Some(kind) = request.get("Content-Type").filter(|_| !body.is_empty()) {
            invite.add("Content-Type", kind);
        }
        invite.body = body;
        let leg = Leg {
            server,
            peer,
            branch: branch.clone(),
            tag: tag.clone(),
            call_id: call_id.clone(),
            sent: clock::now(),
            over: false,
            cancelled: false,
            stop_at: None,
            forget_at: None,
            dialog: None,
            acks: Vec::new(),
        };
        self.legs.insert(attempt, leg);
        self.dialogs.insert((call_id, tag), Owner::Leg(attempt));
        self.start_client(peer, invite, Purpose::Invite(attempt), branch);
        self.driver.gateway.record_attempt_written(class);
    }

    /// Asks a server whether it is there.
    pub(super) fn probe(&mut self, server: ServerId) {
        let Some(to) = self.directory.address(server) else { return };
        let peer = if self.over_tcp { Peer::Tcp(to, None) } else { Peer::Udp(to) };
        let mut options = Message::request("OPTIONS", &format!("sip:{to}"));
        let own = self.transport.udp_address;
        options.add("Max-Forwards", "70");
        options.add("From", &format!("<sip:{own}>;tag={}", self.new_name()));
        options.add("To", &format!("<sip:{to}>"));
        options.add("Call-ID", &format!("{}@{}", self.new_name(), own.ip()));
        options.add("CSeq", "1 OPTIONS");
        let branch = self.new_branch();
        self.probes.insert(server, clock::now() + PROBE_TIME);
        self.start_client(peer, options, Purpose::Probe(server), branch);
    }

    /// Takes a response; what belongs to no transaction of ours is dropped.
    pub(super) fn response(&mut self, message: Message) {
        let now = clock::now();
        let (Some(branch), Some((_, method))) = (message.branch(), message.cseq()) else { return };
        let key: ClientKey = (branch.to_string(), method.to_string());
        let code = message.code().unwrap_or(0);
        let Some(transaction) = self.client_txns.get_mut(&key) else { return };
        let (purpose, heard) = (transaction.purpose, transaction.machine.on_response(now, code));
        match (heard, purpose) {
            (ResponseAction::ResendAck, _) => {
                if let Some(ack) = transaction.ack.clone() {
                    self.transport.send(transaction.peer, "", ack);
                }
            }
            (ResponseAction::PassUp, Purpose::Invite(attempt)) => match code {
                100..200 => self.provisional(attempt, code),
                200..300 => self.accepted(attempt, &key, message),
                _ => self.turned_down(attempt, &key, message),
            },
            (ResponseAction::PassUp, Purpose::Probe(server))
                if code >= 200 && self.probes.remove(&server).is_some() =>
            {
                let (answered, load) = (code != 503, LoadReport::default());
                self.feed(Input::Load { server, answered, load });
            }
            _ => {}
        }
    }

    fn provisional(&mut self, attempt: AttemptId, code: u16) {
        let Some(leg) = self.legs.get(&attempt) else { return };
        if leg.over {
            // A CANCEL had to wait for a provisional response (§9.1).
            return self.cancel(attempt);
        }
        if code > 100 {
            self.progress(attempt.call, code);
        }
    }

    /// A 2xx: every one is ACKed, and all that nobody waits for gets a BYE after that.
    fn accepted(&mut self, attempt: AttemptId, key: &ClientKey, message: Message) {
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        let Some(transaction) = self.client_txns.get(key) else { return };
        let tag = message.tag("To").unwrap_or_default().to_string();
        let peer = leg.peer;
        if let Some((_, ack)) = leg.acks.iter().find(|(t, _)| *t == tag) {
            let ack = ack.clone();
            self.transport.send(peer, "", ack);
            return;
        }
        let Some(mut dialog) = Dialog::as_client(&transaction.request, &message) else { return };
        let mut ack = dialog.request("ACK");
        let branch = self.new_branch();
        ack.headers.insert(0, ("Via".to_string(), self.via(peer, &branch)));
        let ack = ack.to_bytes();
        self.transport.send(peer, "", ack.clone());
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        leg.acks.push((tag, ack));
        if leg.over || leg.dialog.is_some() {
            // A late answer, or another branch of a fork: the call has its one answer.
            return self.bye(peer, &mut dialog);
        }
        leg.dialog = Some(dialog);
        if let Some(caller) = self.callers.get_mut(&attempt.call) {
            caller.answer_type = message.get("Content-Type").map(str::to_string);
        }
        self.feed(Input::Established { attempt, description: message.body });
    }

    /// Any other final response: the ACK is the transaction's (§17.1.1.3).
    fn turned_down(&mut self, attempt: AttemptId, key: &ClientKey, message: Message) {
        let Some(transaction) = self.client_txns.get_mut(key) else { return };
        let mut ack = Message::request("ACK", transaction.request.uri().unwrap_or_default());
        for name in ["Via", "Max-Forwards", "From", "Call-ID"] {
            ack.add(name, transaction.request.get(name).unwrap_or_default());
        }
        ack.add("To", message.get("To").unwrap_or_default());
        ack.add("CSeq", "1 ACK");
        let ack = ack.to_bytes();
        transaction.ack = Some(ack.clone());
        self.transport.send(transaction.peer, "", ack);
        let Some(leg) = self.legs.get(&attempt) else { return };
        let told = !leg.over;
        self.leg_over(attempt);
        if !told {
            return;
        }
        let code = message.code().unwrap_or(500);
        let (outcome, cause) = meaning(code, &message);
        if let Some(caller) = self.callers.get_mut(&attempt.call) {
            caller.last_code = (outcome == Outcome::Failed && code >= 400).then_some(code);
        }
        self.feed(ended(attempt, outcome, cause));
    }

    /// Gives an attempt up. Its INVITE is repeated no more; CANCEL follows once there is something to cancel.
    pub(super) fn give_up(&mut self, attempt: AttemptId) {
        let Some(leg) = self.legs.get(&attempt).filter(|l| !l.over) else { return };
        if leg.dialog.is_some() {
            // Its answer and its time-out came in the same turn: what stands is ended.
            return self.release(attempt);
        }
        let key = (leg.branch.clone(), "INVITE".to_string());
        if self.transport.withdraw(&key.0) {
            self.client_txns.remove(&key);
            return self.drop_leg(attempt);
        }
        self.leg_over(attempt);
        let Some(transaction) = self.client_txns.get_mut(&key) else { return };
        transaction.machine.stop_retransmissions();
        if transaction.machine.state == State::Proceeding {
            self.cancel(attempt);
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        if std::mem::replace(&mut leg.cancelled, true) {
            return;
        }
        let (peer, branch) = (leg.peer, leg.branch.clone());
        let Some(transaction) = self.client_txns.get(&(branch.clone(), "INVITE".to_string())) else { return };
        let invite = &transaction.request;
        let mut cancel = Message::request("CANCEL", invite.uri().unwrap_or_default());
        for name in ["Max-Forwards", "From", "To", "Call-ID"] {
            cancel.add(name, invite.get(name).unwrap_or_default());
        }
        cancel.add("CSeq", "1 CANCEL");
        self.start_client(peer, cancel, Purpose::Plain, branch);
    }

    /// Ends the standing call of a leg with a BYE.
    pub(super) fn release(&mut self, attempt: AttemptId) {
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        let (peer, dialog) = (leg.peer, leg.dialog.take());
        self.leg_over(attempt);
        if let Some(mut dialog) = dialog {
            self.bye(peer, &mut dialog);
        }
    }

    /// Nobody waits for a leg any more; it is forgotten once nothing can come of it.
    pub(super) fn leg_over(&mut self, attempt: AttemptId) {
        let linger = clock::now() + self.timers.timeout();
        if let Some(leg) = self.legs.get_mut(&attempt) {
            leg.over = true;
            leg.forget_at.get_or_insert(linger);
            self.dialogs.remove(&(leg.call_id.clone(), leg.tag.clone()));
        }
    }

    fn drop_leg(&mut self, attempt: AttemptId) {
        if let Some(leg) = self.legs.remove(&attempt) {
            self.dialogs.remove(&(leg.call_id, leg.tag));
            self.client_txns.remove(&(leg.branch, "INVITE".to_string()));
        }
    }

    /// A server takes nothing new: INVITEs that wait for a connection are taken back, and those without any
    /// answer are repeated no longer than the drain window lasts.
    pub(super) fn stop_repeats(&mut self, server: ServerId, told: Micros) {
        let stop = told + self.drain_grace.saturating_sub(WINDOW_MARGIN);
        let mut unsent = Vec::new();
        for (attempt, leg) in self.legs.iter_mut().filter(|(_, l)| l.server == server && !l.over) {
            leg.stop_at = Some(stop);
            if self.transport.withdraw(&leg.branch) {
                unsent.push(*attempt);
            }
        }
        for attempt in unsent {
            self.drop_leg(attempt);
            self.feed(ended(attempt, Outcome::Unreachable, Cause::Unspecified));
        }
    }

    /// What a server held from before `at` is gone.
    pub(super) fn forget_legs(&mut self, server: ServerId, at: Micros) {
        let held: Vec<AttemptId> =
            self.legs.iter().filter(|(_, l)| l.server == server && l.sent <= at).map(|(a, _)| *a).collect();
        for attempt in held {
            self.drop_leg(attempt);
        }
    }

    /// A connection is over: INVITEs that were never written never ran, others were cut.
    pub(super) fn conn_lost(&mut self, id: ConnId, came_up: bool, unsent: Vec<String>) {
        let of_conn = |peer: Peer| matches!(peer, Peer::Tcp(_, Some(conn)) if conn == id);
        let waiting = |s: State| matches!(s, State::Trying | State::Proceeding);
        if came_up {
            self.move_plain(|t| of_conn(t.peer) && waiting(t.machine.state));
        }
        let lost: Vec<(AttemptId, String)> = self
            .client_txns
            .iter()
            .filter(|(_, t)| of_conn(t.peer) && waiting(t.machine.state))
            .filter_map(|((branch, _), t)| match t.purpose {
                Purpose::Invite(attempt) => Some((attempt, branch.clone())),
                _ => None,
            })
            .collect();
        for (attempt, branch) in lost {
            let never_ran = !came_up || unsent.contains(&branch);
            let told = self.legs.get(&attempt).is_some_and(|l| !l.over);
            if never_ran {
                self.drop_leg(attempt);
            } else {
                self.leg_over(attempt);
            }
            if told {
                let outcome = if never_ran { Outcome::Unreachable } else { Outcome::Reset };
                self.feed(ended(attempt, outcome, Cause::Unspecified));
            }
        }
    }

    /// A connection ended under a BYE or CANCEL that has no answer: TCP repeats nothing by itself (§17.1.2.2), so it
    /// goes out again on another connection. Guards against a release that crosses its peer's close: the peer would
    /// take the call to stand for ever.
    fn move_plain(&mut self, lost: impl Fn(&ClientTransaction) -> bool) {
        for transaction in self.client_txns.values_mut() {
            let moves = transaction.purpose == Purpose::Plain && transaction.moves < MAX_MOVES;
            if let Peer::Tcp(address, _) = transaction.peer
                && moves
                && lost(transaction)
            {
                transaction.moves += 1;
                let bytes = transaction.bytes.clone();
                transaction.peer = self.transport.send(Peer::Tcp(address, None), "", bytes);
            }
        }
    }

    /// Nothing listens at an address: the process of the server there has ended, and what it held with it.
    pub(super) fn refused(&mut self, address: SocketAddr) {
        if self.transport.is_up(address) {
            return; // it drains: what it holds goes on
        }
        let server = self.directory.servers().find(|s| self.directory.address(*s) == Some(address));
        if let Some(server) = server.filter(|_| self.over_tcp) {
            self.lost(server, clock::now());
        }
    }

    /// A client transaction's timer has come.
    pub(super) fn client_tick(&mut self, key: &ClientKey, now: Micros) {
        let Some(transaction) = self.client_txns.get_mut(key) else { return };
        let due = transaction.machine.tick(now);
        let (purpose, peer) = (transaction.purpose, transaction.peer);
        if due == TimerAction::Retransmit {
            // Guards the drain window to the last: a repeat that is late finds it closed.
            let closed = |a: AttemptId| self.legs.get(&a).and_then(|l| l.stop_at).is_some_and(|at| now >= at);
            if !matches!(purpose, Purpose::Invite(attempt) if closed(attempt)) {
                let bytes = transaction.bytes.clone();
                self.transport.send(peer, "", bytes);
            }
        }
        if transaction_over(self, key) {
            self.client_txns.remove(key);
        }
        if let (TimerAction::TimedOut, Purpose::Invite(attempt)) = (due, purpose) {
            let told = self.legs.get(&attempt).is_some_and(|l| !l.over);
            self.leg_over(attempt);
            if told {
                self.feed(ended(attempt, Outcome::TimedOut, Cause::Unspecified));
            }
        }
    }

    /// Ends attempts whose repeats had to stop, probes without an answer, legs that nothing can come of any
    /// more, and what servers held that are gone.
    pub(super) fn care_for_legs(&mut self, now: Micros) {
        let mut stopped = Vec::new();
        for (attempt, leg) in &self.legs {
            let unheard = self
                .client_txns
                .get(&(leg.branch.clone(), "INVITE".to_string()))
                .is_some_and(|t| t.machine.state == State::Trying && t.machine.may_retransmit());
            if !leg.over && unheard && leg.stop_at.is_some_and(|at| now >= at) {
                stopped.push(*attempt);
            }
        }
        for attempt in stopped {
            self.give_up(attempt);
            self.feed(ended(attempt, Outcome::TimedOut, Cause::Unspecified));
        }
        let due = |at: &Micros| now >= *at;
        let probes: Vec<ServerId> = self.probes.iter().filter(|(_, at)| due(at)).map(|(s, _)| *s).collect();
        for server in probes {
            self.probes.remove(&server);
            self.feed(Input::Load { server, answered: false, load: LoadReport::default() });
        }
        let old = |l: &Leg| l.forget_at.as_ref().is_some_and(due);
        let old: Vec<AttemptId> = self.legs.iter().filter(|(_, l)| old(l)).map(|(a, _)| *a).collect();
        for attempt in old {
            self.drop_leg(attempt);
        }
        let gone: Vec<ServerId> = self.gone.iter().filter(|(_, (_, at))| due(at)).map(|(s, _)| *s).collect();
        for server in gone {
            self.gone.remove(&server);
            self.lost(server, now);
        }
    }
}

fn transaction_over(frontend: &SipFrontend, key: &ClientKey) -> bool {
    frontend.client_txns.get(key).is_some_and(|t| t.machine.state == State::Terminated)
}

fn ended(attempt: AttemptId, outcome: Outcome, cause: Cause) -> Input {
    Input::AttemptEnded { attempt, outcome, cause, load: LoadReport::default() }
}

/// What a final response other than 2xx says of the attempt (§21).
fn meaning(code: u16, message: &Message) -> (Outcome, Cause) {
    match code {
        503 => {
            let wait = message.get("Retry-After").and_then(|r| {
                let digits = r.trim().split(|c: char| !c.is_ascii_digit()).next()?;
                digits.parse::<u64>().ok().map(|s| s.saturating_mul(1_000_000))
            });
            (Outcome::Rejected, Cause::ProcessorOverloaded { retry_after: wait })
        }
        486 | 600 => (Outcome::Failed, Cause::NumberBusy),
        408 | 504 => (Outcome::TimedOut, Cause::Unspecified),
        487 => (Outcome::Cancelled, Cause::Unspecified),
        _ => (Outcome::Failed, Cause::Unspecified),
    }
}

fn fold(text: &str) -> u128 {
    text.bytes().fold(0x6c62_272e_07bb_0142_62b8_2175_6295_c58d, |h, b| {
        (h ^ b as u128).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b)
    })
}
