//! The server side of SIP: one INVITE per attempt, its responses, and the dialogs that they establish.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{AttemptId, Input};
use crate::{Cause, LoadReport, Micros, Outcome, ServerId};

use super::cancellation::Cancellation;
use super::dialog::Dialog;
use super::message::{Message, address, uri_parts};
use super::transaction::{ResponseAction, State, TimerAction};
use super::transport::{ConnId, Peer};
use super::{ALLOWED_METHODS, ClientKey, ClientTransaction, DialogOwner, Purpose, SipFrontend};

/// A probe without an answer within this time has failed.
const PROBE_TIMEOUT: Micros = 250_000;
/// Limit on resending a request over new connections: a peer that closes each of them does not accept the request.
const MAX_RECONNECTS: u32 = 3;
/// Retransmissions stop this long before the drain window ends: the message must also arrive within the window, and
/// either side may be delayed on a busy machine.
const DRAIN_WINDOW_MARGIN: Micros = 100_000;
/// Time after its removal from the list in which a server must answer, or its calls count as lost. It covers several
/// retransmissions, and BYEs that the server sent before its end.
const REMOVAL_GRACE: Micros = 2_000_000;

/// A server that was removed from the list and has not answered since.
pub(super) struct RemovedServer {
    notified_at: Micros,
    /// When its calls count as lost.
    lost_at: Micros,
}

/// The call leg of one attempt. It is kept for some time after its end, to handle late responses to its INVITE.
pub(super) struct Leg {
    pub(super) server: ServerId,
    peer: Peer,
    branch: String,
    tag: String,
    call_id: String,
    sent_at: Micros,
    /// The core has given up the attempt or has its result.
    ended: bool,
    cancel_sent: bool,
    /// The INVITE must not be retransmitted after this time.
    retransmit_until: Option<Micros>,
    remove_at: Option<Micros>,
    pub(super) dialog: Option<Dialog>,
    /// The ACKs sent, by the To tag of the 2xx: each branch of a fork has its own ACK.
    sent_acks: Vec<(String, Bytes)>,
}

impl SipFrontend {
    pub(super) fn send_invite(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        time_left: Micros,
        body: Bytes,
    ) {
        let Some(caller) = self.callers.get(&attempt.call) else { return };
        let (request, class) = (caller.request.clone(), caller.class);
        let Some(to) = self.directory.address(server) else {
            return self.driver.inputs.push_back(attempt_ended(
                attempt,
                Outcome::Unreachable,
                Cause::Unspecified,
            ));
        };
        let peer = if self.servers_use_tcp { Peer::Tcp(to, None) } else { Peer::Udp(to) };
        let (tag, branch) = (self.new_token(), self.new_branch());
        let call_id = format!("{}@{}", self.new_token(), self.transport.udp_address.ip());
        let (user, _, _) = uri_parts(request.uri().unwrap_or_default());
        let transport = if self.servers_use_tcp { ";transport=tcp" } else { "" };
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
        invite.add("Allow", ALLOWED_METHODS);
        invite.add("Expires", &time_left.div_ceil(1_000_000).to_string());
        // All attempts of a call have the same Session-ID, so that both sides can correlate them (RFC 7989).
        let session = request.get("Session-ID").map_or_else(
            || format!("{:032x};remote={:032x}", hash_call_id(request.get("Call-ID").unwrap_or_default()), 0),
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
            sent_at: clock::now(),
            ended: false,
            cancel_sent: false,
            retransmit_until: None,
            remove_at: None,
            dialog: None,
            sent_acks: Vec::new(),
        };
        self.legs.insert(attempt, leg);
        self.dialogs.insert((call_id, tag), DialogOwner::Leg(attempt));
        self.start_client_transaction(peer, invite, Purpose::Invite(attempt), branch);
        self.driver.gateway.record_attempt_written(class);
    }

    /// Checks with an OPTIONS request whether a server answers.
    pub(super) fn send_probe(&mut self, server: ServerId) {
        let Some(to) = self.directory.address(server) else { return };
        let peer = if self.servers_use_tcp { Peer::Tcp(to, None) } else { Peer::Udp(to) };
        self.probes.insert(server, clock::now() + PROBE_TIMEOUT);
        self.send_options(peer, Purpose::Probe(server));
    }

    /// Handles a server whose records have vanished. It gets no new calls, as in a drain. Records may be late or flap, so
    /// an OPTIONS request shows whether the server still works and has its calls.
    pub(super) fn check_removed_server(&mut self, server: ServerId, now: Micros) {
        let mut legs = self.legs.values().filter(|leg| leg.server == server && !leg.ended);
        let Some(peer) = legs.next().map(|leg| leg.peer) else {
            self.last_response_at.remove(&server);
            return;
        };
        let removed = RemovedServer { notified_at: now, lost_at: now + REMOVAL_GRACE };
        self.removed_servers.insert(server, removed);
        self.send_options(peer, Purpose::RemovalCheck(server));
    }

    /// Ends the calls of servers that are not listed any more and whose address another server has: whatever answers there
    /// is another process.
    pub(super) fn end_calls_at_reassigned_addresses(&mut self) {
        let in_use: BTreeSet<SocketAddr> =
            self.directory.servers().filter_map(|server| self.directory.address(server)).collect();
        let is_lost = |leg: &Leg| {
            let (Peer::Udp(address) | Peer::Tcp(address, _)) = leg.peer;
            !leg.ended && self.directory.get(leg.server).is_none() && in_use.contains(&address)
        };
        let lost = self.legs.iter().filter(|(_, leg)| is_lost(leg));
        let lost: Vec<(AttemptId, ServerId)> = lost.map(|(attempt, leg)| (*attempt, leg.server)).collect();
        for (attempt, server) in lost {
            self.removed_servers.remove(&server);
            tracing::info!(
                server = self.directory.name(server),
                "ends a call: another server has its server's address"
            );
            self.feed(Input::AttemptLost(attempt));
        }
    }

    fn send_options(&mut self, peer: Peer, purpose: Purpose) {
        let (Peer::Udp(to) | Peer::Tcp(to, _)) = peer;
        let mut options = Message::request("OPTIONS", &format!("sip:{to}"));
        let own = self.transport.udp_address;
        options.add("Max-Forwards", "70");
        options.add("From", &format!("<sip:{own}>;tag={}", self.new_token()));
        options.add("To", &format!("<sip:{to}>"));
        options.add("Call-ID", &format!("{}@{}", self.new_token(), own.ip()));
        options.add("CSeq", "1 OPTIONS");
        let branch = self.new_branch();
        self.start_client_transaction(peer, options, purpose, branch);
    }

    /// Handles a response; one that matches no transaction is dropped.
    pub(super) fn handle_response(&mut self, message: Message) {
        let now = clock::now();
        let (Some(branch), Some((_, method))) = (message.branch(), message.cseq()) else { return };
        let key: ClientKey = (branch.to_string(), method.to_string());
        let code = message.code().unwrap_or(0);
        let Some(transaction) = self.client_transactions.get_mut(&key) else { return };
        let (purpose, action) = (transaction.purpose, transaction.machine.on_response(now, code));
        self.record_response(purpose, now);
        let Some(transaction) = self.client_transactions.get_mut(&key) else { return };
        match (action, purpose) {
            (ResponseAction::ResendAck, _) => {
                if let Some(ack) = transaction.ack.clone() {
                    self.transport.send(transaction.peer, "", ack);
                }
            }
            (ResponseAction::PassUp, Purpose::Invite(attempt)) => match code {
                100..200 => self.handle_provisional(attempt, code),
                200..300 => self.handle_success(attempt, &key, message),
                _ => self.handle_failure(attempt, &key, message),
            },
            (ResponseAction::PassUp, Purpose::Cancel(attempt)) if code >= 200 => {
                self.complete_cancellation(attempt);
            }
            (ResponseAction::PassUp, Purpose::Probe(server))
                if code >= 200 && self.probes.remove(&server).is_some() =>
            {
                let (answered, load) = (code != 503, LoadReport::default());
                self.feed(Input::Load { server, answered, load });
            }
            (ResponseAction::PassUp, Purpose::RemovalCheck(server))
                if code >= 200 && self.removed_servers.remove(&server).is_some() =>
            {
                let name = self.directory.name(server);
                tracing::info!(server = name, "a server removed from the list works: its calls go on");
            }
            _ => {}
        }
    }

    fn handle_provisional(&mut self, attempt: AttemptId, code: u16) {
        let Some(leg) = self.legs.get(&attempt) else { return };
        if leg.ended {
            // A CANCEL may be sent only after a provisional response (§9.1).
            return self.send_cancel(attempt);
        }
        if self.cancellations.contains_key(&attempt) {
            self.end_leg(attempt);
            return self.send_cancel(attempt);
        }
        if code > 100 {
            self.forward_progress(attempt.call, code);
        }
    }

    /// Handles a 2xx: each one is ACKed, and any dialog that is not needed is ended with a BYE.
    fn handle_success(&mut self, attempt: AttemptId, key: &ClientKey, message: Message) {
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        let Some(transaction) = self.client_transactions.get(key) else { return };
        let tag = message.tag("To").unwrap_or_default().to_string();
        let peer = leg.peer;
        if let Some((_, ack)) = leg.sent_acks.iter().find(|(t, _)| *t == tag) {
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
        leg.sent_acks.push((tag, ack));
        if leg.ended || leg.dialog.is_some() {
            // A late answer, or another branch of a fork: the call needs no further dialog.
            self.send_bye(peer, &mut dialog);
            return self.complete_cancellation(attempt);
        }
        leg.dialog = Some(dialog);
        self.cancellations.remove(&attempt); // the answer came before a CANCEL was possible: the call stands
        if let Some(caller) = self.callers.get_mut(&attempt.call) {
            caller.answer_content_type = message.get("Content-Type").map(str::to_string);
        }
        self.feed(Input::Established { attempt, description: message.body });
    }

    /// Handles another final response; its ACK belongs to the transaction (§17.1.1.3).
    fn handle_failure(&mut self, attempt: AttemptId, key: &ClientKey, message: Message) {
        let Some(transaction) = self.client_transactions.get_mut(key) else { return };
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
        let was_active = !leg.ended;
        self.end_leg(attempt);
        if !was_active {
            return self.complete_cancellation(attempt);
        }
        self.cancellations.remove(&attempt);
        let code = message.code().unwrap_or(500);
        let (outcome, cause) = classify_failure(code, &message);
        if let Some(caller) = self.callers.get_mut(&attempt.call) {
            caller.last_failure_status = (outcome == Outcome::Failed && code >= 400).then_some(code);
        }
        self.feed(attempt_ended(attempt, outcome, cause));
    }

    /// Gives up an attempt. A CANCEL follows as soon as §9.1 allows it. If the call goes on, its INVITE is retransmitted
    /// until then, because only a provisional response makes the CANCEL possible; if the call is over, the INVITE must
    /// not reach the server any more.
    pub(super) fn abandon_attempt(&mut self, attempt: AttemptId) {
        let call_goes_on = self.driver.gateway.awaits_cancellation(attempt);
        let Some(leg) = self.legs.get(&attempt).filter(|l| !l.ended) else {
            return self.complete_cancellation_later(attempt);
        };
        if leg.dialog.is_some() {
            // The answer and the time-out were handled in the same turn: the established dialog is ended.
            self.release_leg(attempt);
            return self.complete_cancellation_later(attempt);
        }
        let key = (leg.branch.clone(), "INVITE".to_string());
        if self.transport.remove_queued(&key.0) {
            self.client_transactions.remove(&key);
            self.remove_leg(attempt);
            return self.complete_cancellation_later(attempt);
        }
        let Some(transaction) = self.client_transactions.get_mut(&key) else {
            self.end_leg(attempt);
            return self.complete_cancellation_later(attempt);
        };
        let may_cancel = transaction.machine.state == State::Proceeding;
        if call_goes_on {
            self.cancellations.insert(attempt, Cancellation::awaiting_response(leg.sent_at));
        } else {
            self.cancellations.remove(&attempt);
            transaction.machine.stop_retransmissions();
        }
        if may_cancel || !call_goes_on {
            self.end_leg(attempt);
        }
        if may_cancel {
            self.send_cancel(attempt);
        }
    }

    fn send_cancel(&mut self, attempt: AttemptId) {
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        if std::mem::replace(&mut leg.cancel_sent, true) {
            return;
        }
        let (peer, branch) = (leg.peer, leg.branch.clone());
        let Some(transaction) = self.client_transactions.get(&(branch.clone(), "INVITE".to_string())) else {
            return;
        };
        let invite = &transaction.request;
        let mut cancel = Message::request("CANCEL", invite.uri().unwrap_or_default());
        for name in ["Max-Forwards", "From", "To", "Call-ID"] {
            cancel.add(name, invite.get(name).unwrap_or_default());
        }
        cancel.add("CSeq", "1 CANCEL");
        if let Some(cancellation) = self.cancellations.get_mut(&attempt) {
            cancellation.record_cancel(clock::now());
        }
        self.start_client_transaction(peer, cancel, Purpose::Cancel(attempt), branch);
    }

    /// Ends the established dialog of a leg with a BYE.
    pub(super) fn release_leg(&mut self, attempt: AttemptId) {
        let Some(leg) = self.legs.get_mut(&attempt) else { return };
        let (peer, dialog) = (leg.peer, leg.dialog.take());
        self.end_leg(attempt);
        if let Some(mut dialog) = dialog {
            self.send_bye(peer, &mut dialog);
        }
    }

    /// Marks a leg as ended; it is removed when late responses can no longer arrive.
    pub(super) fn end_leg(&mut self, attempt: AttemptId) {
        let remove_at = clock::now() + self.timers.timeout();
        if let Some(leg) = self.legs.get_mut(&attempt) {
            leg.ended = true;
            leg.remove_at.get_or_insert(remove_at);
            self.dialogs.remove(&(leg.call_id.clone(), leg.tag.clone()));
        }
    }

    fn remove_leg(&mut self, attempt: AttemptId) {
        if let Some(leg) = self.legs.remove(&attempt) {
            self.dialogs.remove(&(leg.call_id, leg.tag));
            self.client_transactions.remove(&(leg.branch, "INVITE".to_string()));
        }
    }

    /// Prepares for the end of a draining server's drain window: INVITEs still queued for a connection are
    /// withdrawn, and retransmissions of unanswered INVITEs stop before the window ends.
    pub(super) fn limit_retransmissions(&mut self, server: ServerId, notified_at: Micros) {
        let stop = notified_at + self.drain_grace.saturating_sub(DRAIN_WINDOW_MARGIN);
        let mut unsent = Vec::new();
        for (attempt, leg) in self.legs.iter_mut().filter(|(_, l)| l.server == server && !l.ended) {
            leg.retransmit_until = Some(stop);
            if self.transport.remove_queued(&leg.branch) {
                unsent.push(*attempt);
            }
        }
        for attempt in unsent {
            self.remove_leg(attempt);
            self.feed(attempt_ended(attempt, Outcome::Unreachable, Cause::Unspecified));
        }
    }

    /// Removes the legs whose INVITE was sent to the server up to `at`.
    pub(super) fn remove_legs_sent_before(&mut self, server: ServerId, at: Micros) {
        let sent_before: Vec<AttemptId> = self
            .legs
            .iter()
            .filter(|(_, l)| l.server == server && l.sent_at <= at)
            .map(|(a, _)| *a)
            .collect();
        for attempt in sent_before {
            self.remove_leg(attempt);
        }
    }

    /// Handles the end of a connection: INVITEs that were never written count as unreachable, others as reset.
    pub(super) fn handle_connection_end(&mut self, id: ConnId, was_connected: bool, unsent: Vec<String>) {
        let on_connection = |peer: Peer| matches!(peer, Peer::Tcp(_, Some(conn)) if conn == id);
        let awaits_response = |s: State| matches!(s, State::Trying | State::Proceeding);
        if was_connected {
            self.resend_on_new_connection(|t| on_connection(t.peer) && awaits_response(t.machine.state));
        }
        let lost: Vec<(AttemptId, String)> = self
            .client_transactions
            .iter()
            .filter(|(_, t)| on_connection(t.peer) && awaits_response(t.machine.state))
            .filter_map(|((branch, _), t)| match t.purpose {
                Purpose::Invite(attempt) => Some((attempt, branch.clone())),
                _ => None,
            })
            .collect();
        for (attempt, branch) in lost {
            let never_sent = !was_connected || unsent.contains(&branch);
            let was_active = self.legs.get(&attempt).is_some_and(|l| !l.ended);
            let key = (branch, "INVITE".to_string());
            let is_proceeding =
                self.client_transactions.get(&key).is_some_and(|t| t.machine.state == State::Proceeding);
            if was_active && is_proceeding {
                // The server's transaction outlives its connection (§17.2): it works on, and a CANCEL can reach it over
                // a new connection.
                self.feed(Input::AttemptLost(attempt));
                continue;
            }
            if never_sent {
                self.remove_leg(attempt);
            } else {
                self.end_leg(attempt);
            }
            if was_active {
                let outcome = if never_sent { Outcome::Unreachable } else { Outcome::Reset };
                self.feed(attempt_ended(attempt, outcome, Cause::Unspecified));
            }
        }
    }

    /// Resends each unanswered BYE or CANCEL of a closed connection over another one, because a transaction does
    /// not retransmit over TCP (§17.1.2.2). Without this, a BYE that crosses the peer's close would be lost, and
    /// the peer would keep the call open forever.
    fn resend_on_new_connection(&mut self, is_lost: impl Fn(&ClientTransaction) -> bool) {
        for transaction in self.client_transactions.values_mut() {
            let may_reconnect = matches!(transaction.purpose, Purpose::IgnoreResponse | Purpose::Cancel(_))
                && transaction.reconnects < MAX_RECONNECTS;
            if let Peer::Tcp(address, _) = transaction.peer
                && may_reconnect
                && is_lost(transaction)
            {
                transaction.reconnects += 1;
                let bytes = transaction.bytes.clone();
                transaction.peer = self.transport.send(Peer::Tcp(address, None), "", bytes);
            }
        }
    }

    /// Handles a refused connection: nothing listens at the address, so the server's process and its calls have
    /// ended.
    pub(super) fn handle_connection_refused(&mut self, address: SocketAddr) {
        if self.transport.is_connected(address) {
            return; // the server is draining; its established connections stay in use
        }
        let server = self.directory.servers().find(|s| self.directory.address(*s) == Some(address));
        if let Some(server) = server.filter(|_| self.servers_use_tcp) {
            self.server_terminated(server, clock::now());
        }
    }

    /// Runs the timers of a client transaction.
    pub(super) fn run_client_timer(&mut self, key: &ClientKey, now: Micros) {
        let Some(transaction) = self.client_transactions.get_mut(key) else { return };
        let due = transaction.machine.tick(now);
        let (purpose, peer) = (transaction.purpose, transaction.peer);
        if due == TimerAction::Retransmit {
            // A delayed timer must not cause a retransmission after the drain window.
            let past_limit =
                |a: AttemptId| self.legs.get(&a).and_then(|l| l.retransmit_until).is_some_and(|at| now >= at);
            if !matches!(purpose, Purpose::Invite(attempt) if past_limit(attempt)) {
                let bytes = transaction.bytes.clone();
                self.transport.send(peer, "", bytes);
            }
        }
        if is_terminated(self, key) {
            self.client_transactions.remove(key);
        }
        if let (TimerAction::TimedOut, Purpose::Invite(attempt)) = (due, purpose) {
            let was_active = self.legs.get(&attempt).is_some_and(|l| !l.ended);
            self.end_leg(attempt);
            if was_active {
                self.feed(attempt_ended(attempt, Outcome::TimedOut, Cause::Unspecified));
            }
        }
    }

    /// Stops the retransmissions of an attempt's INVITE.
    fn stop_retransmissions(&mut self, attempt: AttemptId) {
        let Some(leg) = self.legs.get(&attempt) else { return };
        if let Some(t) = self.client_transactions.get_mut(&(leg.branch.clone(), "INVITE".to_string())) {
            t.machine.stop_retransmissions();
        }
    }

    /// Cancels attempts that have reached their retransmission limit, fails probes without an answer, removes expired
    /// legs, and ends the calls of removed servers.
    pub(super) fn run_leg_timers(&mut self, now: Micros) {
        let mut stopped = Vec::new();
        for (attempt, leg) in &self.legs {
            let unanswered = self
                .client_transactions
                .get(&(leg.branch.clone(), "INVITE".to_string()))
                .is_some_and(|t| t.machine.state == State::Trying && t.machine.may_retransmit());
            if !leg.ended && unanswered && leg.retransmit_until.is_some_and(|at| now >= at) {
                stopped.push(*attempt);
            }
        }
        for attempt in stopped {
            self.stop_retransmissions(attempt);
            self.feed(Input::AttemptLost(attempt));
        }
        self.complete_silent_cancellations(now);
        let due = |at: &Micros| now >= *at;
        let probes: Vec<ServerId> = self.probes.iter().filter(|(_, at)| due(at)).map(|(s, _)| *s).collect();
        for server in probes {
            self.probes.remove(&server);
            self.feed(Input::Load { server, answered: false, load: LoadReport::default() });
        }
        let expired = |l: &Leg| l.remove_at.as_ref().is_some_and(due);
        let expired: Vec<AttemptId> = self.legs.iter().filter(|(_, l)| expired(l)).map(|(a, _)| *a).collect();
        for attempt in expired {
            self.remove_leg(attempt);
        }
        let is_lost = |(_, removed): &(&ServerId, &RemovedServer)| due(&removed.lost_at);
        let lost: Vec<ServerId> =
            self.removed_servers.iter().filter(is_lost).map(|(server, _)| *server).collect();
        for server in lost {
            self.end_calls_at_removed_server(server);
        }
    }

    /// Ends the calls at a removed server that has not answered, on both sides: it may still have them.
    fn end_calls_at_removed_server(&mut self, server: ServerId) {
        let Some(removed) = self.removed_servers.remove(&server) else { return };
        let is_lost = |leg: &Leg| leg.server == server && !leg.ended && leg.sent_at <= removed.notified_at;
        let lost = self.legs.iter().filter(|(_, leg)| is_lost(leg)).map(|(attempt, _)| *attempt);
        let lost: Vec<AttemptId> = lost.collect();
        let (name, calls) = (self.directory.name(server), lost.len());
        tracing::info!(server = name, calls, "ends the calls at a removed server that does not answer");
        for attempt in lost {
            self.feed(Input::AttemptLost(attempt));
        }
    }
}

fn is_terminated(frontend: &SipFrontend, key: &ClientKey) -> bool {
    frontend.client_transactions.get(key).is_some_and(|t| t.machine.state == State::Terminated)
}

fn attempt_ended(attempt: AttemptId, outcome: Outcome, cause: Cause) -> Input {
    Input::AttemptEnded { attempt, outcome, cause, load: LoadReport::default() }
}

/// Result and cause of an attempt, from a final response other than 2xx (§21).
fn classify_failure(code: u16, message: &Message) -> (Outcome, Cause) {
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

/// FNV-1a hash of 128 bits, for the Session-ID of a call that came without one.
fn hash_call_id(text: &str) -> u128 {
    text.bytes().fold(0x6c62_272e_07bb_0142_62b8_2175_6295_c58d, |h, b| {
        (h ^ b as u128).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b)
    })
}
