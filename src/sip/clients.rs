//! The caller side of SIP: incoming INVITEs, their responses and the dialogs that they establish.

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
use super::{ALLOWED_METHODS, DialogOwner, ServerKey, ServerTransaction, SipFrontend, record_source};

/// The caller of a call, kept while the call is being set up or is established.
pub(super) struct Caller {
    key: ServerKey,
    pub(super) request: Rc<Message>,
    /// Index of the call's class in the settings.
    pub(super) class: usize,
    peer: Peer,
    tag: String,
    deadline: Micros,
    /// Status code of the last server that rejected the call.
    pub(super) last_failure_status: Option<u16>,
    /// Content-Type of the answer from the server.
    pub(super) answer_content_type: Option<String>,
    dialog: Option<Dialog>,
    answer_retransmitter: Option<AnswerRetransmitter>,
    answer_bytes: Bytes,
    /// The call has ended; the BYE is sent after the ACK (§15).
    ended: bool,
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
/// The pool of a call that does not name one.
const ANY_POOL: i64 = -1;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Destination of a call, from its Request-URI.
struct CallTarget {
    class: usize,
    number: Number,
    dialled: Box<str>,
    pool: PoolId,
}

/// Number of hops that a request may still take; `None` if it has no valid limit.
fn max_forwards(request: &Message) -> Option<u32> {
    request.get("Max-Forwards").and_then(|hops| hops.trim().parse().ok())
}

/// Identifies a call across repeated requests: the first part of Session-ID (RFC 7989), which a caller keeps when
/// it calls again, or else the Call-ID.
fn session_id(request: &Message) -> &str {
    let session = request.get("Session-ID").and_then(|s| s.split(';').next());
    session.or(request.get("Call-ID")).unwrap_or_default().trim()
}

impl SipFrontend {
    /// Handles a well-formed request.
    pub(super) fn handle_request(&mut self, from: Peer, mut message: Message) {
        let peer = record_source(&mut message, from);
        let method = message.method().unwrap_or_default().to_string();
        let Some((host, port)) = message.top_via().and_then(sent_by) else { return };
        let branch = message.branch().unwrap_or_default().to_string();
        let transaction_key = |method: &str| (branch.clone(), format!("{host}:{port}"), method.to_string());
        let (key, invite_key) = (transaction_key(&method), transaction_key("INVITE"));
        if method == "ACK" {
            match self.server_transactions.get_mut(&invite_key) {
                Some(transaction) => transaction.machine.on_ack(clock::now()),
                None => self.handle_answer_ack(&message),
            }
            return;
        }
        if let Some(transaction) = self.server_transactions.get_mut(&key) {
            // A retransmitted request is handled by its transaction, so a retransmitted INVITE starts no second call.
            if transaction.machine.retransmits_response() {
                transaction.peer =
                    self.transport.send(transaction.peer, "", transaction.last_response.clone());
            }
            return;
        }
        message.drop_unused_headers();
        if let Some(status) = self.stateless_status(&message, peer, &invite_key) {
            return self.respond_without_transaction(peer, &message, status);
        }
        let reliable = peer.reliable();
        let request = Rc::new(message);
        let machine = ServerMachine::new(method == "INVITE", reliable, self.timers);
        let merged = self.server_transactions.is_merged(&request);
        let transaction = ServerTransaction {
            machine,
            peer,
            request: request.clone(),
            last_response: Bytes::new(),
            call: None,
        };
        self.server_transactions.insert(key.clone(), transaction);
        if merged {
            return self.respond_with(&key, &request, STATUS_LOOP_DETECTED);
        }
        self.handle_new_request(key, &invite_key, request);
    }

    /// Handles the first request of a new server transaction.
    fn handle_new_request(&mut self, key: ServerKey, invite_key: &ServerKey, request: Rc<Message>) {
        if request.tag("To").is_some() {
            return self.handle_in_dialog_request(&key, &request);
        }
        if request.method() == Some("CANCEL") {
            self.handle_cancel(&key, invite_key);
        } else {
            self.start_call(key, request);
        }
    }

    /// The status of the response to a request that needs no transaction, because it neither starts nor concerns a call;
    /// `None` if it needs one.
    fn stateless_status(&self, request: &Message, peer: Peer, invite_key: &ServerKey) -> Option<u16> {
        let method = request.method().unwrap_or_default();
        let concerns_call = match (request.tag("To"), method) {
            (Some(tag), _) => {
                let call_id = request.get("Call-ID").unwrap_or_default();
                self.dialogs.contains_key(&(call_id.to_string(), tag.to_string()))
            }
            (None, "CANCEL") => self.server_transactions.get(invite_key).is_some(),
            (None, _) => false,
        };
        if concerns_call {
            let has_room = self.server_transactions.has_room_within_call(request);
            return (!has_room).then_some(STATUS_SERVICE_UNAVAILABLE);
        }
        if request.tag("To").is_some() {
            return Some(STATUS_NO_SUCH_CALL);
        }
        match method {
            "INVITE" if request.get("Require").is_some() => Some(STATUS_BAD_EXTENSION),
            "INVITE" if max_forwards(request) == Some(0) => Some(STATUS_TOO_MANY_HOPS),
            "INVITE" => match self.call_target(request) {
                Err(status) => Some(status),
                Ok(_) if !self.server_transactions.has_room(request, peer) => {
                    Some(STATUS_SERVICE_UNAVAILABLE)
                }
                Ok(_) => None,
            },
            "OPTIONS" if !self.driver.is_ready() => Some(STATUS_SERVICE_UNAVAILABLE),
            "OPTIONS" => Some(STATUS_OK),
            "BYE" | "CANCEL" => Some(STATUS_NO_SUCH_CALL),
            _ => Some(STATUS_METHOD_NOT_ALLOWED),
        }
    }

    /// Responds as a stateless user agent server (§8.2.7): a retransmission of the request gets the same response again.
    fn respond_without_transaction(&mut self, peer: Peer, request: &Message, status: u16) {
        let tag = format!("{:016x}", hash_text(request.branch().unwrap_or_default()));
        let mut response = self.build_response(request, status, &tag);
        if status == STATUS_BAD_EXTENSION {
            response.add("Unsupported", request.get("Require").unwrap_or_default());
        }
        self.transport.send(peer, "", response.to_bytes());
    }

    fn respond_with(&mut self, key: &ServerKey, request: &Message, status: u16) {
        let tag = self.new_token();
        let response = self.build_response(request, status, &tag);
        self.respond(key, response);
    }

    fn build_response(&self, request: &Message, code: u16, tag: &str) -> Message {
        let mut response = Message::response(request, code, Some(tag));
        if matches!(code, STATUS_OK | STATUS_METHOD_NOT_ALLOWED) {
            response.add("Allow", ALLOWED_METHODS);
        }
        if code == STATUS_SERVICE_UNAVAILABLE {
            response.add("Retry-After", "1"); // seconds; the smallest value other than 0
        }
        response
    }

    /// Starts a call for an INVITE, or rejects the INVITE if it is invalid.
    fn start_call(&mut self, key: ServerKey, request: Rc<Message>) {
        let now = clock::now();
        let trying = Message::response(&request, 100, None);
        self.respond(&key, trying);
        let target = match self.call_target(&request) {
            Ok(target) => target,
            Err(status) => return self.respond_with(&key, &request, status),
        };
        let time_left = self.time_left(&request);
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        let setup = SetupRequest {
            call,
            wire_id: session_id(&request).into(),
            class: target.class,
            number: target.number,
            dialled_number: target.dialled,
            first_choice: target.pool,
            time_left,
            is_redial: false,
            description: request.body.clone(),
        };
        let tag = self.new_token();
        let Some(transaction) = self.server_transactions.get_mut(&key) else { return };
        transaction.call = Some(call);
        let caller = Caller {
            peer: transaction.peer,
            key,
            request,
            class: target.class,
            tag,
            deadline: now + time_left,
            last_failure_status: None,
            answer_content_type: None,
            dialog: None,
            answer_retransmitter: None,
            answer_bytes: Bytes::new(),
            ended: false,
        };
        self.callers.insert(call, caller);
        self.feed(Input::SetupRequested(setup));
    }

    /// The destination of an INVITE, from its Request-URI; the status to reject it with if it is not a valid call.
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
        Ok(CallTarget { class, number: hash_number(user), dialled: user.into(), pool: PoolId(pool) })
    }

    /// The time limit for the set-up: the INVITE's Expires, up to the configured limit.
    fn time_left(&self, request: &Message) -> Micros {
        let expires = request.get("Expires").and_then(|e| e.trim().parse::<u64>().ok());
        expires.map_or(self.max_setup_time, |seconds| {
            seconds.saturating_mul(MICROS_PER_SECOND).min(self.max_setup_time)
        })
    }

    /// Handles a CANCEL (§9.2): it ends an INVITE without a final response and has no other effect.
    fn handle_cancel(&mut self, key: &ServerKey, invite_key: &ServerKey) {
        let call = self.server_transactions.get(invite_key).map(|t| (t.call, t.request.clone()));
        let Some(cancel) = self.server_transactions.get(key).map(|t| t.request.clone()) else { return };
        self.respond_with(key, &cancel, if call.is_some() { STATUS_OK } else { STATUS_NO_SUCH_CALL });
        let Some((Some(call), request)) = call else { return };
        let Some(caller) = self.callers.get(&call) else { return };
        let terminated = Message::response(&request, 487, Some(&caller.tag));
        // If the final response crossed the CANCEL, that response remains valid; the caller sends its ACK and a BYE.
        if self.respond(invite_key, terminated) {
            self.callers.remove(&call);
            self.feed(Input::SetupCancelled(call));
        }
    }

    /// Forwards a provisional response of the server to the caller.
    pub(super) fn forward_progress(&mut self, call: CallId, code: u16) {
        let Some(caller) = self.callers.get(&call) else { return };
        let (key, peer) = (caller.key.clone(), caller.peer);
        let mut response = Message::response(&caller.request, code, Some(&caller.tag));
        response.add("Contact", &self.contact(peer));
        self.respond(&key, response);
    }

    pub(super) fn send_answer(&mut self, call: CallId, description: Bytes) {
        let now = clock::now();
        let Some(caller) = self.callers.get(&call) else { return };
        let (key, request, peer) = (caller.key.clone(), caller.request.clone(), caller.peer);
        let mut response = Message::response(&request, 200, Some(&caller.tag));
        response.add("Contact", &self.contact(peer));
        response.add("Allow", ALLOWED_METHODS);
        if let Some(kind) = caller.answer_content_type.as_deref().filter(|_| !description.is_empty()) {
            response.add("Content-Type", kind);
        }
        response.body = description;
        let dialog = Dialog::as_server(&request, &response);
        let dialog_key = (request.get("Call-ID").unwrap_or_default().to_string(), caller.tag.clone());
        let bytes = response.to_bytes();
        self.respond(&key, response);
        self.dialogs.insert(dialog_key, DialogOwner::Caller(call));
        if let Some(caller) = self.callers.get_mut(&call) {
            (caller.dialog, caller.answer_bytes) = (dialog, bytes);
            caller.answer_retransmitter = Some(AnswerRetransmitter::new(now, self.timers));
        }
    }

    /// Rejects a call: 503 with Retry-After in seconds, rounded up.
    pub(super) fn reject_call(&mut self, call: CallId, retry_after: Micros) {
        let Some(caller) = self.callers.remove(&call) else { return };
        let mut response = Message::response(&caller.request, 503, Some(&caller.tag));
        if retry_after > 0 {
            response.add("Retry-After", &retry_after.div_ceil(1_000_000).to_string());
        }
        self.respond(&caller.key, response);
    }

    /// Fails a call: 408 after its deadline; before that, the status of the last server, or 500.
    pub(super) fn fail_call(&mut self, call: CallId) {
        let Some(caller) = self.callers.remove(&call) else { return };
        let late = clock::now() >= caller.deadline;
        let code = if late { 408 } else { caller.last_failure_status.unwrap_or(500) };
        let response = Message::response(&caller.request, code, Some(&caller.tag));
        self.respond(&caller.key, response);
    }

    /// Ends an established call with a BYE, which has to wait for the caller's ACK.
    pub(super) fn end_call(&mut self, call: CallId) {
        let Some(caller) = self.callers.get_mut(&call) else { return };
        caller.ended = true;
        if caller.answer_retransmitter.as_ref().is_none_or(AnswerRetransmitter::is_acked) {
            self.end_caller_dialog(call);
        }
    }

    fn end_caller_dialog(&mut self, call: CallId) {
        let Some(mut caller) = self.callers.remove(&call) else { return };
        if let Some(dialog) = &mut caller.dialog {
            self.dialogs.remove(&(dialog.call_id.clone(), caller.tag));
            self.send_bye(caller.peer, dialog);
        }
    }

    /// Handles the ACK of a 2xx. It has its own branch, so the dialog identifies it.
    fn handle_answer_ack(&mut self, ack: &Message) {
        let (Some(id), Some(tag)) = (ack.get("Call-ID"), ack.tag("To")) else { return };
        let Some(DialogOwner::Caller(call)) = self.dialogs.get(&(id.to_string(), tag.to_string())).copied()
        else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&call) else { return };
        if let Some(answer) = &mut caller.answer_retransmitter {
            answer.on_ack();
        }
        if caller.ended {
            self.end_caller_dialog(call);
        }
    }

    /// Handles a request in a dialog with a caller or a server.
    fn handle_in_dialog_request(&mut self, key: &ServerKey, request: &Message) {
        let id = (
            request.get("Call-ID").unwrap_or_default().to_string(),
            request.tag("To").unwrap_or_default().to_string(),
        );
        let owner = self.dialogs.get(&id).copied();
        let seq = request.cseq().map_or(0, |(n, _)| n);
        let dialog = match owner {
            Some(DialogOwner::Caller(call)) => self.callers.get_mut(&call).and_then(|c| c.dialog.as_mut()),
            Some(DialogOwner::Leg(attempt)) => self.legs.get_mut(&attempt).and_then(|l| l.dialog.as_mut()),
            None => None,
        };
        let matching = dialog.filter(|d| param(&d.remote, "tag") == request.tag("From"));
        let code = match (matching.map(|d| d.accept_sequence_number(seq)), request.method()) {
            (None, _) => 481,
            (Some(false), _) => 500,
            (Some(true), Some("BYE" | "OPTIONS")) => 200,
            // The session description of an established call cannot be changed.
            (Some(true), Some("INVITE")) => 488,
            (Some(true), _) => 405,
        };
        let mut response = Message::response(request, code, None);
        if matches!(code, STATUS_OK | STATUS_METHOD_NOT_ALLOWED) {
            response.add("Allow", ALLOWED_METHODS);
        }
        self.respond(key, response);
        if (code, request.method()) != (200, Some("BYE")) {
            return;
        }
        self.dialogs.remove(&id);
        match owner {
            Some(DialogOwner::Caller(call)) => {
                self.callers.remove(&call);
                self.feed(Input::CallReleased(call));
            }
            Some(DialogOwner::Leg(attempt)) => {
                self.end_leg(attempt);
                let (outcome, cause, load) = (Outcome::Completed, Cause::Unspecified, LoadReport::default());
                self.feed(Input::AttemptEnded { attempt, outcome, cause, load });
            }
            None => {}
        }
    }

    /// Retransmits answers without an ACK, and ends calls whose ACK never arrives (§13.3.1.4).
    pub(super) fn run_caller_timers(&mut self, now: Micros) {
        let mut unacknowledged = Vec::new();
        for (call, caller) in &mut self.callers {
            let Some(answer) = &mut caller.answer_retransmitter else { continue };
            match answer.tick(now) {
                TimerAction::Retransmit => {
                    caller.peer = self.transport.send(caller.peer, "", caller.answer_bytes.clone());
                }
                TimerAction::TimedOut => unacknowledged.push(*call),
                TimerAction::Nothing => {}
            }
        }
        for call in unacknowledged {
            self.end_caller_dialog(call);
            self.feed(Input::CallReleased(call));
        }
    }
}

/// Hash of the dialled number (FNV-1a), by which the core identifies a number.
fn hash_number(user: &str) -> Number {
    Number(hash_text(user))
}

/// FNV-1a hash.
fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ b as u64).wrapping_mul(0x0100_0000_01b3))
}
