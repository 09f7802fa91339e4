//! Messages from members to voters and between voters, sent over streams: one envelope per frame, authenticated like
//! the membership protocol's frames. The order of fields and variants is the wire format and must not change.

use serde::{Deserialize, Serialize};

use crate::lease::{LeaseRequest, LeaseResponse};
use crate::member::MemberId;
use crate::quorum::Message;

/// Maximum size of an encoded envelope. The largest one carries a snapshot of a full state machine.
pub const MAX_ENVELOPE_BYTES: usize = 2 * 1024 * 1024;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sending member.
    pub from: MemberId,
    /// The receiving member.
    pub to: MemberId,
    /// The message itself.
    pub payload: Payload,
}

/// Content of a peer message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A consensus message between voters.
    Consensus(Box<Message>),
    /// A member's lease request to the leader.
    LeaseRequest(LeaseRequest),
    /// The leader's answer to a lease request.
    LeaseResponse(LeaseResponse),
    /// The voter that received a lease request is not the leader.
    NotLeader {
        /// Number of the request that this answers.
        number: u64,
        /// The current leader, if the voter knows it.
        leader: Option<MemberId>,
    },
}
