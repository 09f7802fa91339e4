//! The state of one connection to a setup server.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;

use crate::clock;
use crate::gateway::AttemptId;
use crate::link::{EndedBy, Outbox, Ticket};
use crate::{Micros, ServerId};

use super::super::line::{Tag, cause, encode};
use super::health::{REMOVAL_GRACE, UNREACHABLE_TIMEOUT};
use super::pool::RECENT_MESSAGE_AGE;
use super::{CANCELLED_RETENTION, MAX_RELEASES};

/// A connection on which an answer is awaited and no message came for this long is suspect: a broken link gives no
/// other sign. A new connection is then dialled beside it and replaces it.
const SUSPECT_AFTER: Micros = 1_500_000;
/// No further messages are moved to an outbox that holds this much.
const MAX_FLUSH_BYTES: usize = 64 * 1024;
/// An unconfirmed release counts as confirmed after this time if its connection is still open.
const RELEASE_RETENTION: Micros = 8_000_000;

/// A set-up message that is queued until its connection can write it.
pub(super) struct QueuedSetup {
    pub attempt: AttemptId,
    pub expires_at: Micros,
    pub tag: Tag,
    /// Index of the call's class in the settings.
    pub class: usize,
    /// The class as sent, in JSON.
    pub class_json: Box<str>,
    /// The dialled number as sent, in JSON.
    pub number_json: Box<str>,
    pub description: Bytes,
}

/// A message that is queued until its connection can write it: the connection is being dialled, or its peer reads
/// slowly.
pub(super) enum QueuedMessage {
    Setup(QueuedSetup),
    HealthCheck(Tag),
    Release(Tag),
}

/// A call's id on the wire, and the time of the event for which it is recorded.
pub(super) struct TimedTag {
    pub at: Micros,
    pub tag: Tag,
}

/// A set-up in the outbox that has not been written in full.
pub(super) struct UnwrittenSetup {
    pub ticket: Ticket,
    pub class: usize,
}

/// A connection to a server, from the decision to dial it to its end.
pub(super) struct ServerConnection {
    pub server: ServerId,
    pub address: SocketAddr,
    pub outbox: Rc<Outbox>,
    /// Whether dialling has succeeded.
    pub is_up: bool,
    /// Messages not yet moved to the outbox.
    pub queued: Vec<QueuedMessage>,
    /// Set-ups in the outbox or written, and not answered yet. Those of which nothing was written can be withdrawn.
    pub unanswered: HashMap<Tag, Ticket>,
    /// Since when an answer has been awaited without any message; `None` if no answer is awaited.
    pub awaiting_since: Option<Micros>,
    /// Set-ups not yet written in full, in the order of writing. Each is counted once it has been.
    pub unwritten: VecDeque<UnwrittenSetup>,
    /// Attempts that were cancelled on it and whose answers may still arrive.
    pub cancelled: VecDeque<TimedTag>,
    /// Releases written on it that the server has not confirmed.
    pub unconfirmed_releases: VecDeque<TimedTag>,
    /// When the server's last unsolicited load report came on it.
    pub last_report_at: Option<Micros>,
    /// Since when no message has come on it. Restarted after a stall of this process, when input may be unread.
    pub silent_since: Micros,
    /// Longest silence of a working connection; `None` if the server has no usable heartbeat.
    pub max_silence: Option<Micros>,
    /// When the last message came on it.
    pub last_received_at: Micros,
    /// When a health check was last sent because of its silence; 0 if not since its last message.
    pub last_checked_at: Micros,
    /// It was closed to make room for another connection, which is dialled once this one has ended.
    pub is_replaced: bool,
    /// When it was dialled; `None` if that is still to come.
    pub dialled_at: Option<Micros>,
    /// It gets no new messages and is closed once nothing is unanswered or queued on it.
    pub is_retired: bool,
    /// When its server was removed from the list. It is then kept until the calls set up on it have ended: no other
    /// connection is known to lead to the same process.
    pub removed_at: Option<Micros>,
}

impl ServerConnection {
    /// Creates a connection that is still to be dialled.
    pub fn new(server: ServerId, address: SocketAddr, now: Micros, max_silence: Option<Micros>) -> Self {
        ServerConnection {
            server,
            address,
            outbox: Rc::new(Outbox::default()),
            is_up: false,
            queued: Vec::new(),
            unanswered: HashMap::new(),
            awaiting_since: None,
            unwritten: VecDeque::new(),
            cancelled: VecDeque::new(),
            unconfirmed_releases: VecDeque::new(),
            last_report_at: None,
            silent_since: now,
            max_silence,
            last_received_at: now,
            last_checked_at: 0,
            is_replaced: false,
            dialled_at: None,
            is_retired: false,
            removed_at: None,
        }
    }

    /// Whether its link may be broken: an answer has been awaited for too long, or its heartbeat has stopped.
    pub fn is_suspect(&self, now: Micros) -> bool {
        self.awaiting_since.is_some_and(|since| now > since + SUSPECT_AFTER) || self.has_lost_heartbeat(now)
    }

    /// Whether its heartbeat has stopped. The server reports its state on every connection at regular intervals, even
    /// when its processor is busy, so a missing report means that the link is broken.
    pub fn has_lost_heartbeat(&self, now: Micros) -> bool {
        self.is_up && self.max_silence.is_some_and(|max| now > self.silent_since + max)
    }

    /// Whether the server may not know that this connection has ended: this side ended it while it was silent. If its
    /// link is broken, the server detects the end only when the link works again or its own writes fail; what it says
    /// on the connection until then is lost.
    pub fn may_end_undetected(&self, ended: &io::Result<EndedBy>, now: Micros) -> bool {
        let is_silent = self.is_suspect(now) || now >= self.last_received_at + RECENT_MESSAGE_AGE;
        match ended {
            Ok(EndedBy::Peer) => false,
            Ok(EndedBy::ThisSide) => is_silent,
            Err(error) => error.kind() == io::ErrorKind::TimedOut,
        }
    }

    /// Whether its server was removed from the list and counts as lost: nothing was heard of it in time after the
    /// removal, or nothing for long since then. Messages from before the removal show nothing, and the list may be
    /// seconds late: a server that was heard after it has returned, or was never gone.
    pub fn is_lost(&self, now: Micros) -> bool {
        let Some(removed_at) = self.removed_at else { return false };
        if self.last_received_at > removed_at {
            return now > self.last_received_at + UNREACHABLE_TIMEOUT;
        }
        now >= removed_at + self.max_silence.unwrap_or(0).max(REMOVAL_GRACE)
    }

    /// Whether new messages may be sent on it.
    pub fn is_usable(&self, now: Micros) -> bool {
        !self.is_retired && self.outbox.is_open() && !self.is_suspect(now)
    }

    /// Whether it is up and nothing is unanswered or queued on it.
    pub fn is_idle(&self) -> bool {
        self.is_up && self.unanswered.is_empty() && self.queued.is_empty()
    }

    /// Whether it was dialled at this time or later, or is still to be dialled.
    pub fn was_dialled_since(&self, from: Micros) -> bool {
        self.dialled_at.is_none_or(|at| at >= from)
    }

    /// Withdraws a set-up of which nothing was written; false if the server may have received part of it.
    pub fn withdraw(&mut self, tag: Tag) -> bool {
        let Some(ticket) = self.unanswered.get(&tag).copied() else { return false };
        if !self.outbox.withdraw(ticket) {
            return false;
        }
        self.unanswered.remove(&tag);
        self.unwritten.retain(|setup| setup.ticket != ticket);
        if self.unanswered.is_empty() {
            self.awaiting_since = None; // no answer is awaited any more
        }
        true
    }

    /// Whether an attempt with this id was cancelled on it and its answer may still arrive.
    pub fn has_cancelled(&self, tag: Tag, now: Micros) -> bool {
        self.cancelled
            .iter()
            .any(|cancelled| cancelled.tag == tag && now < cancelled.at + CANCELLED_RETENTION)
    }

    /// Cancels an attempt: withdraws it if nothing of it was written, else sends the cancellation to the server.
    pub fn cancel(&mut self, attempt: AttemptId, tag: Tag) {
        let before = self.queued.len();
        self.queued.retain(|message| !matches!(message, QueuedMessage::Setup(s) if s.attempt == attempt));
        if self.queued.len() < before || self.withdraw(tag) {
            return;
        }
        let now = clock::now();
        self.unanswered.remove(&tag);
        self.expire_cancelled(now);
        self.cancelled.push_back(TimedTag { at: now, tag });
        self.outbox.push(&encode("FINISH", tag, &[], Some(cause::NORMAL), None));
    }

    /// Drops cancelled attempts whose answers can no longer arrive.
    fn expire_cancelled(&mut self, now: Micros) {
        self.cancelled.retain(|cancelled| now < cancelled.at + CANCELLED_RETENTION);
    }

    /// Drops cancelled attempts whose answers can no longer arrive, and releases that count as confirmed.
    pub fn expire_confirmed(&mut self, now: Micros) {
        self.expire_cancelled(now);
        self.unconfirmed_releases.retain(|release| now < release.at + RELEASE_RETENTION);
    }

    /// Moves queued messages to the outbox if the outbox is empty. The rest follows when it has drained: an outbox that is
    /// too full closes its connection, and all set-ups on it would be lost.
    pub fn flush(&mut self) {
        let now = clock::now();
        if !self.is_up || !self.outbox.is_empty() || !self.outbox.is_open() {
            return;
        }
        for message in std::mem::take(&mut self.queued) {
            if self.outbox.queued_bytes() >= MAX_FLUSH_BYTES {
                self.queued.push(message);
                continue;
            }
            match message {
                // Expired: not sent, but kept in the queue until the core cancels the attempt.
                QueuedMessage::Setup(setup) if setup.expires_at <= now => {
                    self.queued.push(QueuedMessage::Setup(setup));
                }
                QueuedMessage::Setup(setup) => self.push_setup(now, &setup),
                QueuedMessage::HealthCheck(tag) => {
                    self.awaiting_since.get_or_insert(now);
                    self.outbox.push(&encode("ECHO", tag, &[], Some(0), None));
                }
                QueuedMessage::Release(tag) => self.push_release(now, tag),
            }
        }
    }

    fn push_setup(&mut self, now: Micros, setup: &QueuedSetup) {
        self.awaiting_since.get_or_insert(now);
        let time_left_ms = format!("\"{}\"", setup.expires_at.saturating_sub(now) / 1000);
        let fields = [("class", &*setup.class_json), ("left", &*time_left_ms), ("key", &*setup.number_json)];
        let message = encode("START", setup.tag, &fields, None, Some(&setup.description));
        if let Some(ticket) = self.outbox.push(&message) {
            self.unanswered.insert(setup.tag, ticket);
            self.unwritten.push_back(UnwrittenSetup { ticket, class: setup.class });
        }
    }

    fn push_release(&mut self, now: Micros, tag: Tag) {
        if self.unconfirmed_releases.len() >= MAX_RELEASES {
            self.unconfirmed_releases.pop_front();
        }
        self.unconfirmed_releases.push_back(TimedTag { at: now, tag });
        self.outbox.push(&encode("FINISH", tag, &[], Some(cause::NORMAL), None));
    }
}
