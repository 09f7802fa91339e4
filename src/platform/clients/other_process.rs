//! Releases while the two processes of an upgrade run. A caller's connection stays with the process that accepted it, even
//! when its calls are handed over, so a release has to go to whichever process has a connection of its caller.
//!
//! Exactly one process has a release at a time, and [`HandoverMessage::PendingRelease`] transfers it. The older process
//! passes on whatever it cannot send. The newer process offers a release once, keeps it when the older one returns it, and
//! offers it again when the older one reports a new connection of the caller.

use std::net::IpAddr;
use std::rc::Rc;

use crate::Micros;
use crate::call_trace::TraceStep;
use crate::clock;
use crate::link::Outbox;
use crate::operate::handover::{HandoverMessage, Role};

use super::super::NO_CONNECTION;
use super::super::line::Tag;
use super::Clients;
use super::releases::Release;

/// New connections are not reported while more than this is queued for the other process.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// The other process of an upgrade, as far as releases are concerned.
pub(in crate::platform) struct OtherProcess {
    outbox: Rc<Outbox>,
    relation: Relation,
}

enum Relation {
    /// It is the older one: it sends the releases for which it has a connection, and returns the others.
    Predecessor,
    /// It is the newer one, and keeps the releases for which neither process has a connection.
    Successor { understands_caller_connected: bool },
}

impl OtherProcess {
    /// The other process of one with this role; `None` if no releases may be passed to it.
    pub(in crate::platform) fn for_role(role: Role, outbox: Rc<Outbox>) -> Option<OtherProcess> {
        let relation = match role {
            Role::Newer => Relation::Predecessor,
            Role::Older { successor } => Relation::Successor {
                understands_caller_connected: successor?.understands_caller_connected(),
            },
            Role::Alone => return None,
        };
        Some(OtherProcess { outbox, relation })
    }

    /// Whether the other process may have a connection for the release, or keeps it for the caller's next one.
    fn accepts(&self, release: &Release) -> bool {
        match self.relation {
            Relation::Predecessor => !release.is_returned,
            Relation::Successor { .. } => true,
        }
    }
}

impl Clients {
    /// Sets the other process, and passes it the pending releases that it accepts.
    pub(in crate::platform) fn set_other_process(&mut self, other_process: Option<OtherProcess>) {
        self.other_process = other_process;
        for (tag, release) in std::mem::take(&mut self.pending_releases) {
            if !self.pass_to_other_process(tag, &release) {
                self.pending_releases.push_back((tag, release));
            }
        }
    }

    /// Takes over a release from the other process, which has no connection of the caller.
    pub(in crate::platform) fn take_over_release(
        &mut self,
        tag: Tag,
        peer: IpAddr,
        completed: bool,
        expires_in: Option<Micros>,
    ) {
        let call = self.new_call_id();
        let mut release = Release::new(call, tag, peer, completed);
        release.is_returned = true;
        release.limit_lifetime(expires_in);
        self.add_release(NO_CONNECTION, tag, release);
    }

    /// Releases a call that was handed over but cannot be adopted.
    pub(in crate::platform) fn release_unknown_call(&mut self, tag: Tag, peer: IpAddr) {
        let call = self.new_call_id();
        self.add_release(NO_CONNECTION, tag, Release::new(call, tag, peer, false));
    }

    /// Passes the pending releases of a caller that has connected to the other process.
    pub(in crate::platform) fn pass_pending_releases_of(&mut self, peer: IpAddr) {
        for (tag, mut release) in std::mem::take(&mut self.pending_releases) {
            release.is_returned &= release.peer != peer;
            if release.peer != peer || !self.pass_to_other_process(tag, &release) {
                self.pending_releases.push_back((tag, release));
            }
        }
    }

    /// Passes a release to the other process; false if there is none that accepts it.
    pub(super) fn pass_to_other_process(&self, tag: Tag, release: &Release) -> bool {
        let Some(other) = self.other_process.as_ref().filter(|other| other.accepts(release)) else {
            return false;
        };
        let now = clock::now();
        let message = HandoverMessage::PendingRelease {
            tag: tag.to_string(),
            peer: release.peer,
            completed: release.completed,
            expires_in: Some(release.expires_at.saturating_sub(now)),
        };
        let is_passed = other.outbox.push(&message.to_line()).is_some();
        if is_passed {
            self.trace.record(now, release.call, TraceStep::ReleasePassed);
            tracing::debug!(target: "call", call = release.call.0, %tag, "passes a release to the other process");
        }
        is_passed
    }

    /// Reports a caller's new connection to the newer process, which may keep releases for that caller.
    pub(super) fn report_connection(&self, peer: IpAddr) {
        let Some(OtherProcess { outbox, relation }) = &self.other_process else { return };
        if matches!(relation, Relation::Successor { understands_caller_connected: true })
            && outbox.queued_bytes() <= MAX_UNREAD_BYTES
        {
            outbox.push(&HandoverMessage::CallerConnected { peer }.to_line());
        }
    }
}
