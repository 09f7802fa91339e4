//! What members send to voters and voters to each other, over streams: one envelope a frame, sealed like the membership protocol's
//! frames. The order of fields and variants is the wire format; it never changes.

use serde::{Deserialize, Serialize};

use crate::lease::{LeaseRequest, LeaseResponse};
use crate::member::MemberId;
use crate::quorum::Message;

/// Maximum size of an encoded envelope: a snapshot of a full state machine.
pub const MAX_ENVELOPE_BYTES: usize = 2 * 1024 * 1024;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// What it holds.
    pub payload: Payload,
}

/// What a peer message holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// From voter to voter.
    Consensus(Box<Message>),
    /// From a member to the leader.
    LeaseRequest(LeaseRequest),
    /// The leader's answer.
    LeaseResponse(LeaseResponse),
    /// The voter that was asked does not lead.
    NotLeader {
        /// The request's number.
        number: u64,
        /// Who does, where that is known.
        leader: Option<MemberId>,
    },
}
