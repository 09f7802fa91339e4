//! What members say to voters and voters to each other, over streams: one parcel a frame, sealed like the view's.

use serde::{Deserialize, Serialize};

use crate::member::MemberId;
use crate::owner::{Claim, Claimed};
use crate::quorum::Letter;

/// The longest parcel: a snapshot of a full machine.
pub const PARCEL_BYTES: usize = 2 * 1024 * 1024;

/// One parcel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// Who sends it.
    pub from: MemberId,
    /// For whom it is.
    pub to: MemberId,
    /// What it holds.
    pub note: Note,
}

/// What a parcel holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// From voter to voter.
    Letter(Box<Letter>),
    /// From a member to the leader.
    Claim(Claim),
    /// The leader's answer.
    Claimed(Claimed),
    /// The one that was asked does not lead.
    Elsewhere {
        /// The asker's number.
        number: u64,
        /// Who does, where that is known.
        leader: Option<MemberId>,
    },
}
