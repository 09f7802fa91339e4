//! Cancelled attempts whose calls go on. An attempt is not over because the gatekeeper no longer waits for it: until its
//! server has confirmed a CANCEL or has ended the attempt, the server may work on it, and the call must not go out again.
//!
//! | state of the attempt | what ends the cancellation |
//! | --- | --- |
//! | no provisional response yet: no CANCEL is allowed (§9.1), the INVITE is retransmitted | a provisional response, then as below; a final response; silence of the server since the INVITE |
//! | the CANCEL is sent, over a new connection if the old one has ended | its final response; a final response to the INVITE; silence of the server since the CANCEL |
//! | a 2xx comes before a CANCEL was possible | the call is established |
//! | a 2xx comes after the CANCEL | it is acknowledged and released by a BYE, which ends the cancellation |
//! | the server's process has ended | at once |

use crate::Micros;
use crate::ServerId;
use crate::driver::Frontend as _;
use crate::gateway::{AttemptId, Input};

use super::{Purpose, SipFrontend};

/// Time without any response of a server after which its cancelled attempts count as over. It covers several
/// retransmissions.
const SILENT_SERVER_GRACE: Micros = 2_000_000;

/// The cancellation of an attempt whose call goes on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cancellation {
    /// When the last request was sent whose response the cancellation awaits: the INVITE, then the CANCEL.
    requested_at: Micros,
}

impl Cancellation {
    /// A cancellation that awaits a response to the INVITE, sent at this time.
    pub fn awaiting_response(invite_sent_at: Micros) -> Cancellation {
        Cancellation { requested_at: invite_sent_at }
    }

    /// Records that the CANCEL is sent.
    pub fn record_cancel(&mut self, now: Micros) {
        self.requested_at = now;
    }

    /// Whether the server, which last responded at this time, has been silent for so long that nothing more is awaited.
    fn is_unanswered(&self, last_response_at: Option<Micros>, now: Micros) -> bool {
        let is_silent = last_response_at.is_none_or(|at| at < self.requested_at);
        is_silent && now >= self.requested_at + SILENT_SERVER_GRACE
    }
}

impl SipFrontend {
    /// Records a response of the server to which a request of this purpose was sent.
    pub(super) fn record_response(&mut self, purpose: Purpose, now: Micros) {
        if let Some(server) = self.server_of(purpose) {
            self.last_response_at.insert(server, now);
        }
    }

    fn server_of(&self, purpose: Purpose) -> Option<ServerId> {
        match purpose {
            Purpose::Invite(attempt) | Purpose::Cancel(attempt) => {
                self.legs.get(&attempt).map(|leg| leg.server)
            }
            Purpose::Probe(server) | Purpose::RemovalCheck(server) => Some(server),
            Purpose::IgnoreResponse => None,
        }
    }

    /// Reports that an attempt is over, if its call waits for that.
    pub(super) fn complete_cancellation(&mut self, attempt: AttemptId) {
        self.cancellations.remove(&attempt);
        if self.driver.gateway.awaits_cancellation(attempt) {
            self.feed(Input::AttemptCancelled(attempt));
        }
    }

    /// The same while a command of the core is carried out: the report follows the other commands.
    pub(super) fn complete_cancellation_later(&mut self, attempt: AttemptId) {
        self.cancellations.remove(&attempt);
        if self.driver.gateway.awaits_cancellation(attempt) {
            self.driver.inputs.push_back(Input::AttemptCancelled(attempt));
        }
    }

    /// Completes the cancellations at servers that are silent, or whose processes have ended.
    pub(super) fn complete_silent_cancellations(&mut self, now: Micros) {
        let is_over = |(attempt, cancellation): &(&AttemptId, &Cancellation)| {
            let Some(leg) = self.legs.get(attempt) else { return true };
            cancellation.is_unanswered(self.last_response_at.get(&leg.server).copied(), now)
        };
        let over = self.cancellations.iter().filter(is_over).map(|(attempt, _)| *attempt);
        for attempt in over.collect::<Vec<_>>() {
            tracing::debug!(target: "call", call = attempt.call.0, "a cancelled attempt counts as over: its server is silent");
            self.end_leg(attempt);
            self.complete_cancellation(attempt);
        }
    }
}
