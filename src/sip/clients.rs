//! The client side of SIP: incoming INVITEs, their responses and the dialogs that they open.

use std::rc::Rc;

use bytes::Bytes;

use crate::clock;
use crate::driver::Frontend as _;
use crate::gateway::{Input, SetupRequest};
use crate::{CallId, Cause, LoadReport, Micros, Number, Outcome, PoolId};

use super::dialog::Dialog;
use super::message::{Message, param, sent_by, uri_parts};
use super::transaction::{AnswerRetransmitter, ServerMachine, TimerAction};
use super::transport::Peer;
use super::{ALLOW, Owner, ServerKey, ServerTransaction, SipFrontend, note_source};

/// The client of a call, kept while the call is open or established.
pub(super) struct Caller {
    key: ServerKey,
    pub(super) request: Rc<Message>,
    /// Index of its class in the settings.
    pub(super) class: usize,
    peer: Peer,
    tag: String,
    due: Micros,
    /// Status code of the last server that rejected the call.
    pub(super) last_code: Option<u16>,
    /// Content-Type of the server's description.
    pub(super) answer_type: Option<String>,
    dialog: Option<Dialog>,
    answer: Option<AnswerRetransmitter>,
    bytes: Bytes,
    /// The call is over; the BYE waits for the ACK (§15).
    over: bool,
}

const STATUS_OK: u16 = 200;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_METHOD_NOT_ALLOWED: u16 = 405;
const STATUS_BAD_EXTENSION: u16 = 420;
const STATUS_NO_SUCH_CALL: u16 = 481;
const STATUS_LOOP_DETECTED: u16 = 482;
const STATUS_TOO_MANY_HOPS: u16 = 483;
const STATUS_NOT_ACCEPTABLE: u16 = 488;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
/// The pool of a call that names none.
const ANY_POOL: i64 = -1;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Whom a call is for.
struct CallTarget {
    class: usize,
    number: Number,
    dialled: Box<str>,
    pool: PoolId,
}

/// How often a request may still be forwarded; `None` if it does not say.
fn hops_left(request: &Message) -> Option<u32> {
    request.get("Max-Forwards").and_then(|hops| hops.trim().parse().ok())
}

/// What identifies a call across repeated requests: the first part of Session-ID (RFC 7989), which the client keeps when it
/// calls again, or the Call-ID.
fn session_name(request: &Message) -> &str {
    let session = request.get("Session-ID").and_then(|s| s.split(';').next());
    session.or(request.get("Call-ID")).unwrap_or_default().trim()
}

impl SipFrontend {
    /// Handles a well-formed request.
    pub(super) fn request(&mut self, from: Peer, mut message: Message) {
        let peer = note_source(&mut message, from);
        let method = message.method().unwrap_or_default().to_string();
        let Some((host, port)) = message.top_via().and_then(sent_by) else { return };
        let branch = message.branch().unwrap_or_default().to_string();
        let of = |method: &str| (branch.clone(), format!("{host}:{port}"), method.to_string());
        let (key, invite) = (of(&method), of("INVITE"));
        if method == "ACK" {
            match self.server_txns.get_mut(&invite) {
                Some(transaction) => transaction.machine.on_ack(clock::now()),
                None => self.acked(&message),
            }
            return;
        }
        if let Some(transaction) = self.server_txns.get_mut(&key) {
            // A repeated request never gets past its transaction: a repeated INVITE is no second call.
            if transaction.machine.retransmits_response() {
                transaction.peer = self.transport.send(transaction.peer, "", transaction.last.clone());
            }
            return;
        }
        let reliable = peer.reliable();
        let request = Rc::new(message);
        let machine = ServerMachine::new(method == "INVITE", reliable, self.timers);
        let merged = request.tag("To").is_none() && method == "INVITE" && self.is_merged(&request);
        let transaction =
            ServerTransaction { machine, peer, request: request.clone(), last: Bytes::new(), call: None };
        self.server_txns.insert(key.clone(), transaction);
        if merged {
            return self.respond_with(&key, &request, STATUS_LOOP_DETECTED);
        }
        self.handle_new_request(key, &invite, request);
    }

    /// Handles a request that has just got its server transaction.
    fn handle_new_request(&mut self, key: ServerKey, invite: &ServerKey, request: Rc<Message>) {
        if request.tag("To").is_some() {
            return self.in_dialog(&key, &request);
        }
        let status = match request.method().unwrap_or_default() {
            "CANCEL" => return self.cancelled(&key, invite),
            "INVITE" if request.get("Require").is_some() => return self.reject_extensions(&key, &request),
            "INVITE" if hops_left(&request) == Some(0) => STATUS_TOO_MANY_HOPS,
            "INVITE" => return self.invited(key, request),
            "OPTIONS" if !self.driver.is_ready() => STATUS_SERVICE_UNAVAILABLE,
            "OPTIONS" => STATUS_OK,
            "BYE" => STATUS_NO_SUCH_CALL,
            _ => STATUS_METHOD_NOT_ALLOWED,
        };
        self.respond_with(&key, &request, status);
    }

    fn respond_with(&mut self, key: &ServerKey, request: &Message, status: u16) {
        let response = self.reply(request, status);
        self.respond(key, response);
    }

    /// Rejects a request that requires extensions; none is supported.
    fn reject_extensions(&mut self, key: &ServerKey, request: &Message) {
        let mut response = self.reply(request, STATUS_BAD_EXTENSION);
        response.add("Unsupported", request.get("Require").unwrap_or_default());
        self.respond(key, response);
    }

    /// Whether the same request has arrived by another path (§8.2.2.2).
    fn is_merged(&self, request: &Message) -> bool {
        let same = |other: &Message| {
            other.get("Call-ID") == request.get("Call-ID")
                && other.tag("From") == request.tag("From")
                && other.cseq() == request.cseq()
        };
        self.server_txns.values().any(|t| same(&t.request))
    }

    fn reply(&mut self, request: &Message, code: u16) -> Message {
        let tag = self.new_name();
        let mut response = Message::response(request, code, Some(&tag));
        if matches!(code, STATUS_OK | STATUS_METHOD_NOT_ALLOWED) {
            response.add("Allow", ALLOW);
        }
        if code == STATUS_SERVICE_UNAVAILABLE {
            response.add("Retry-After", "1"); // seconds, the least that can be said
        }
        response
    }

    /// Starts a new call, or rejects an INVITE that does not describe one.
    fn invited(&mut self, key: ServerKey, request: Rc<Message>) {
        let now = clock::now();
        let trying = Message::response(&request, 100, None);
        self.respond(&key, trying);
        let target = match self.call_target(&request) {
            Ok(target) => target,
            Err(status) => return self.respond_with(&key, &request, status),
        };
        let time_left = self.time_left(&request);
        self.next_call += 1;
        let call = CallId(self.next_call);
        let setup = SetupRequest {
            call,
            wire_id: session_name(&request).into(),
            class: target.class,
            number: target.number,
            dialled_number: target.dialled,
            first_choice: target.pool,
            time_left,
            is_redial: false,
            description: request.body.clone(),
        };
        let tag = self.new_name();
        let Some(transaction) = self.server_txns.get_mut(&key) else { return };
        transaction.call = Some(call);
        let caller = Caller {
            peer: transaction.peer,
            key,
            request,
            class: target.class,
            tag,
            due: now + time_left,
            last_code: None,
            answer_type: None,
            dialog: None,
            answer: None,
            bytes: Bytes::new(),
            over: false,
        };
        self.callers.insert(call, caller);
        self.feed(Input::SetupRequested(setup));
    }

    /// Whom an INVITE calls, from its request URI; the status to reject it with if it is not a valid call.
    fn call_target(&self, request: &Message) -> Result<CallTarget, u16> {
        let (user, _, params) = uri_parts(request.uri().unwrap_or_default());
        let value = |name: &str| param(&format!(";{params}"), name).map(str::to_string);
        if request.get("Contact").is_none() {
            return Err(STATUS_BAD_REQUEST);
        }
        let user = user.filter(|user| !user.is_empty()).ok_or(STATUS_NOT_FOUND)?;
        let class = match value("class") {
            Some(name) => self.classes.iter().position(|c| *c == name).ok_or(STATUS_NOT_ACCEPTABLE)?,
            None => 0,
        };
        let pool = value("pool").and_then(|pool| pool.parse().ok()).unwrap_or(ANY_POOL);
        Ok(CallTarget { class, number: fold(user), dialled: user.into(), pool: PoolId(pool) })
    }

    /// The time in which an INVITE wants its answer: its Expires, within the configured limit.
    fn time_left(&self, request: &Message) -> Micros {
        let expires = request.get("Expires").and_then(|e| e.trim().parse::<u64>().ok());
        expires.map_or(self.wait, |seconds| seconds.saturating_mul(MICROS_PER_SECOND).min(self.wait))
    }

    /// CANCEL (§9.2): it ends an INVITE that has no final answer, and changes nothing else.
    fn cancelled(&mut self, key: &ServerKey, invite: &ServerKey) {
        let call = self.server_txns.get(invite).map(|t| (t.call, t.request.clone()));
        let cancel = self.server_txns[key].request.clone();
        let response = self.reply(&cancel, if call.is_some() { 200 } else { 481 });
        self.respond(key, response);
        let Some((Some(call), request)) = call else { return };
        let Some(caller) = self.callers.get(&call) else { return };
        let terminated = Message::response(&request, 487, Some(&caller.tag));
        // If the final answer has crossed the CANCEL, that answer stays; the caller ACKs it and says BYE.
        if self.respond(invite, terminated) {
            self.callers.remove(&call);
            self.feed(Input::SetupCancelled(call));
        }
    }

    /// Progress at the server, on to the caller.
    pub(super) fn progress(&mut self, call: CallId, code: u16) {
        let Some(caller) = self.callers.get(&call) else { return };
        let (key, peer) = (caller.key.clone(), caller.peer);
        let mut response = Message::response(&caller.request, code, Some(&caller.tag));
        response.add("Contact", &self.contact(peer));
        self.respond(&key, response);
    }

    pub(super) fn answer(&mut self, call: CallId, description: Bytes) {
        let now = clock::now();
        let Some(caller) = self.callers.get(&call) else { return };
        let (key, request, peer) = (caller.key.clone(), caller.request.clone(), caller.peer);
        let mut response = Message::response(&request, 200, Some(&caller.tag));
        response.add("Contact", &self.contact(peer));
        response.add("Allow", ALLOW);
        if let Some(kind) = caller.answer_type.as_deref().filter(|_| !description.is_empty()) {
            response.add("Content-Type", kind);
        }
        response.body = description;
        let dialog = Dialog::as_server(&request, &response);
        let dialog_key = (request.get("Call-ID").unwrap_or_default().to_string(), caller.tag.clone());
        let bytes = response.to_bytes();
        self.respond(&key, response);
        self.dialogs.insert(dialog_key, Owner::Caller(call));
        if let Some(caller) = self.callers.get_mut(&call) {
            (caller.dialog, caller.bytes) = (dialog, bytes);
            caller.answer = Some(AnswerRetransmitter::new(now, self.timers));
        }
    }

    /// 503 with Retry-After in whole seconds, never less than the wait.
    pub(super) fn refuse(&mut self, call: CallId, wait: Micros) {
        let Some(caller) = self.callers.remove(&call) else { return };
        let mut response = Message::response(&caller.request, 503, Some(&caller.tag));
        if wait > 0 {
            response.add("Retry-After", &wait.div_ceil(1_000_000).to_string());
        }
        self.respond(&caller.key, response);
    }

    /// 408 once the caller's time is up; before, what the last server said, or 500.
    pub(super) fn fail(&mut self, call: CallId) {
        let Some(caller) = self.callers.remove(&call) else { return };
        let late = clock::now() >= caller.due;
        let code = if late { 408 } else { caller.last_code.unwrap_or(500) };
        let response = Message::response(&caller.request, code, Some(&caller.tag));
        self.respond(&caller.key, response);
    }

    /// A call that stood is over: BYE, as soon as the caller's ACK lets us.
    pub(super) fn over(&mut self, call: CallId) {
        let Some(caller) = self.callers.get_mut(&call) else { return };
        caller.over = true;
        if caller.answer.as_ref().is_none_or(AnswerRetransmitter::is_acked) {
            self.bye_caller(call);
        }
    }

    fn bye_caller(&mut self, call: CallId) {
        let Some(mut caller) = self.callers.remove(&call) else { return };
        if let Some(dialog) = &mut caller.dialog {
            self.dialogs.remove(&(dialog.call_id.clone(), caller.tag));
            self.bye(caller.peer, dialog);
        }
    }

    /// The ACK of a 2xx: it has a branch of its own and is known by its dialog.
    fn acked(&mut self, ack: &Message) {
        let (Some(id), Some(tag)) = (ack.get("Call-ID"), ack.tag("To")) else { return };
        let Some(Owner::Caller(call)) = self.dialogs.get(&(id.to_string(), tag.to_string())).copied() else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&call) else { return };
        if let Some(answer) = &mut caller.answer {
            answer.on_ack();
        }
        if caller.over {
            self.bye_caller(call);
        }
    }

    /// A request in a dialog, of a caller or of a server.
    fn in_dialog(&mut self, key: &ServerKey, request: &Message) {
        let id = (
            request.get("Call-ID").unwrap_or_default().to_string(),
            request.tag("To").unwrap_or_default().to_string(),
        );
        let owner = self.dialogs.get(&id).copied();
        let seq = request.cseq().map_or(0, |(n, _)| n);
        let dialog = match owner {
            Some(Owner::Caller(call)) => self.callers.get_mut(&call).and_then(|c| c.dialog.as_mut()),
            Some(Owner::Leg(attempt)) => self.legs.get_mut(&attempt).and_then(|l| l.dialog.as_mut()),
            None => None,
        };
        let known = dialog.filter(|d| param(&d.remote, "tag") == request.tag("From"));
        let code = match (known.map(|d| d.accept_sequence_number(seq)), request.method()) {
            (None, _) => 481,
            (Some(false), _) => 500,
            (Some(true), Some("BYE" | "OPTIONS")) => 200,
            // A call's description does not change while it stands.
            (Some(true), Some("INVITE")) => 488,
            (Some(true), _) => 405,
        };
        let mut response = Message::response(request, code, None);
        if matches!(code, STATUS_OK | STATUS_METHOD_NOT_ALLOWED) {
            response.add("Allow", ALLOW);
        }
        self.respond(key, response);
        if (code, request.method()) != (200, Some("BYE")) {
            return;
        }
        self.dialogs.remove(&id);
        match owner {
            Some(Owner::Caller(call)) => {
                self.callers.remove(&call);
                self.feed(Input::CallReleased(call));
            }
            Some(Owner::Leg(attempt)) => {
                self.leg_over(attempt);
                let (outcome, cause, load) = (Outcome::Completed, Cause::Unspecified, LoadReport::default());
                self.feed(Input::AttemptEnded { attempt, outcome, cause, load });
            }
            None => {}
        }
    }

    /// Repeats answers whose ACK has not come, and ends calls whose ACK never came (§13.3.1.4).
    pub(super) fn care_for_callers(&mut self, now: Micros) {
        let mut unheard = Vec::new();
        for (call, caller) in &mut self.callers {
            let Some(answer) = &mut caller.answer else { continue };
            match answer.tick(now) {
                TimerAction::Retransmit => {
                    caller.peer = self.transport.send(caller.peer, "", caller.bytes.clone());
                }
                TimerAction::TimedOut => unheard.push(*call),
                TimerAction::Nothing => {}
            }
        }
        for call in unheard {
            self.bye_caller(call);
            self.feed(Input::CallReleased(call));
        }
    }
}

/// The number called, as the module knows numbers (FNV-1a).
fn fold(user: &str) -> Number {
    Number(user.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ b as u64).wrapping_mul(0x0100_0000_01b3)))
}
