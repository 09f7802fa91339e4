//! The state of one connection to a setup server.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;

use crate::clock;
use crate::gateway::AttemptId;
use crate::link::{Outbox, Ticket};
use crate::{Micros, ServerId};

use super::super::line::{Tag, cause, encode};
use super::{CANCELLED_RETENTION, MAX_RELEASES};

/// A connection from which an answer is awaited and nothing at all was heard for this long may be cut: cut links are silent. A
/// new one is dialled beside it, which settles the matter.
const SUSPECT_AFTER: Micros = 1_500_000;
/// A release that the server has not confirmed counts as confirmed after this, if its connection is still open.
const RELEASE_RETENTION: Micros = 8_000_000;

/// An attempt that waits for its connection.
pub(super) struct QueuedSetup {
    pub attempt: AttemptId,
    pub expires_at: Micros,
    pub tag: Tag,
    /// Its class's place in the settings.
    pub class: usize,
    /// The class as it goes out, in JSON.
    pub class_json: Box<str>,
    /// The number called as it goes out, in JSON.
    pub number_json: Box<str>,
    pub description: Bytes,
}

/// A message that waits for its connection: it is being dialled, or its peer is slow to read.
pub(super) enum QueuedMessage {
    Setup(QueuedSetup),
    HealthCheck(Tag),
    Release(Tag),
}

/// A call's id on the wire, and when something happened to it.
pub(super) struct TimedTag {
    pub at: Micros,
    pub tag: Tag,
}

/// A set-up in the outbox that is not written whole yet.
pub(super) struct UnwrittenSetup {
    pub ticket: Ticket,
    pub class: usize,
}

/// One connection, from the decision to dial it to its end.
pub(super) struct ServerConnection {
    pub server: ServerId,
    pub address: SocketAddr,
    pub outbox: Rc<Outbox>,
    /// It is established.
    pub is_up: bool,
    pub queued: Vec<QueuedMessage>,
    /// Set-ups queued or written on it and not answered yet. What was not begun to be written may be taken back.
    pub unanswered: HashMap<Tag, Ticket>,
    /// Since when something has been awaited and nothing heard.
    pub awaiting_since: Option<Micros>,
    pub unwritten: VecDeque<UnwrittenSetup>,
    /// Attempts cancelled on it, whose answers may still come.
    pub cancelled: VecDeque<TimedTag>,
    /// Releases written on it that the server has not confirmed.
    pub unconfirmed_releases: VecDeque<TimedTag>,
    /// When the server last reported its state on it unasked.
    pub last_report_at: Option<Micros>,
    /// Since when nothing was heard on it, for as long as this process listened.
    pub silent_since: Micros,
    /// How long that may be; `None`: the server has no heartbeat.
    pub max_silence: Option<Micros>,
    /// When anything was last heard on it.
    pub last_received_at: Micros,
    /// When a health check was last sent for want of any sign of life; 0: not since it was heard.
    pub last_checked_at: Micros,
    /// It was closed to make way for another, which is dialled once it has ended.
    pub is_replaced: bool,
    /// When it was dialled; `None`: it is still to be.
    pub dialled_at: Option<Micros>,
    /// It gets nothing new and closes once nothing is open on it.
    pub is_retired: bool,
}

impl ServerConnection {
    /// A connection that is to be dialled.
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
        }
    }

    /// Whether it may be cut: an answer is long awaited, or its heartbeat has stopped.
    pub fn is_suspect(&self, now: Micros) -> bool {
        self.awaiting_since.is_some_and(|since| now > since + SUSPECT_AFTER) || self.has_lost_heartbeat(now)
    }

    /// The server reports its state unasked on every connection, and has missed to do so on this one: it is cut, whatever the
    /// server's processor has to do.
    pub fn has_lost_heartbeat(&self, now: Micros) -> bool {
        self.is_up && self.max_silence.is_some_and(|max| now > self.silent_since + max)
    }

    /// Whether new messages may go out on it.
    pub fn is_usable(&self, now: Micros) -> bool {
        !self.is_retired && self.outbox.is_open() && !self.is_suspect(now)
    }

    /// Whether it is up and nothing is open or queued on it.
    pub fn is_idle(&self) -> bool {
        self.is_up && self.unanswered.is_empty() && self.queued.is_empty()
    }

    /// Whether it was dialled at this time or later, or still is to be.
    pub fn was_dialled_since(&self, from: Micros) -> bool {
        self.dialled_at.is_none_or(|at| at >= from)
    }

    /// Takes a set-up back that its server has nothing of; false if it may have some.
    pub fn withdraw(&mut self, tag: Tag) -> bool {
        let Some(ticket) = self.unanswered.get(&tag).copied() else { return false };
        if !self.outbox.withdraw(ticket) {
            return false;
        }
        self.unanswered.remove(&tag);
        self.unwritten.retain(|setup| setup.ticket != ticket);
        if self.unanswered.is_empty() {
            self.awaiting_since = None; // nothing was sent that is to be answered
        }
        true
    }

    /// Whether an attempt of this id was cancelled on it of late.
    pub fn has_cancelled(&self, tag: Tag, now: Micros) -> bool {
        self.cancelled
            .iter()
            .any(|cancelled| cancelled.tag == tag && now < cancelled.at + CANCELLED_RETENTION)
    }

    /// Cancels an attempt: it is taken back if it was not written yet, else the server is told.
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

    /// Forgets cancelled attempts whose answer will not come any more.
    fn expire_cancelled(&mut self, now: Micros) {
        self.cancelled.retain(|cancelled| now < cancelled.at + CANCELLED_RETENTION);
    }

    /// Forgets what counts as answered or confirmed by now.
    pub fn expire_confirmed(&mut self, now: Micros) {
        self.expire_cancelled(now);
        self.unconfirmed_releases.retain(|release| now < release.at + RELEASE_RETENTION);
    }

    /// Moves queued messages to the outbox, as long as its peer reads.
    pub fn flush(&mut self) {
        let now = clock::now();
        if !self.is_up || !self.outbox.is_empty() || !self.outbox.is_open() {
            return;
        }
        for message in std::mem::take(&mut self.queued) {
            match message {
                // Its time is over, and the core is about to find out: it is not sent on any more.
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
