//! The codec: encodes and decodes the frames of datagrams and streams. A frame is a magic number, the protocol version,
//! a MAC and the body, which is serialized by `postcard`. The order of fields and variants is the wire format and must
//! not change.
//!
//! A truncated, forged or oversized frame, or one of another version, is dropped when it is decoded and has no other
//! effect. A member's information is encoded as numbered fields. A field whose number this version does not recognize
//! is kept unchanged and forwarded, up to a size limit, so that old and new versions can run together.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::envelope::{MAX_ENVELOPE_BYTES, PeerMessage};
use crate::member::{
    Incarnation, MAX_NAME_BYTES, MAX_UNKNOWN_BYTES, MemberId, MemberInfo, MemberRecord, MemberState,
    StateVersion,
};

/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of the records in a datagram. The rest is reserved for the frame itself.
pub const MAX_PIGGYBACK_BYTES: usize = 900;
/// Maximum size of a frame on a stream. The largest one carries the full membership table.
pub const MAX_STREAM_BYTES: usize = 512 * 1024;
/// Maximum number of records in a frame.
pub const MAX_RECORDS: usize = 1_100;
const MAGIC: [u8; 2] = *b"cf";
const ENVELOPE_MAGIC: [u8; 2] = *b"cp";
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 3 + blake3::OUT_LEN;
const MAX_FIELDS: usize = 32;

/// Purpose of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// Asks the receiver for an ack. Also sent to addresses whose member is not known yet.
    Ping,
    /// Answers a ping, directly or forwarded by a helper.
    Ack,
    /// Asks the receiver, a helper, to ping the target on the sender's behalf (an indirect ping).
    PingRequest,
    /// Sent by a helper that did not receive an answer from the target.
    Nack,
    /// The full membership table, sent over a stream and answered with the receiver's table.
    FullState,
    /// Gossip that needs no answer.
    Gossip,
    /// Sent by a process in standby: asks which process uses its id.
    IdQuery,
}

/// One frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Purpose of the frame.
    pub kind: FrameKind,
    /// The sender's record about itself.
    pub from: MemberRecord,
    /// Nonce of the process start that the frame is addressed to; 0 if the sender does not know it.
    pub receiver_nonce: u64,
    /// The sender's frame counter, for replay detection.
    pub counter: u64,
    /// Id of the probe or query that this frame sends or answers.
    pub probe_id: u64,
    /// The member to ping, in a ping request. A ping that a process in standby forwards carries the newer start here.
    pub target: Option<(MemberId, SocketAddr)>,
    /// The receiver's state version as the sender knows it.
    pub receiver_version: Option<StateVersion>,
    /// Digest of the members that the sender considers live.
    pub digest: u64,
    /// Records about other members.
    pub records: Vec<MemberRecord>,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short, or the body cannot be decoded.
    #[error("the frame is truncated or unreadable")]
    Truncated,
    /// Longer than the size limit.
    #[error("the frame exceeds the size limit")]
    Oversized,
    /// The MAC does not match this fleet's key.
    #[error("the frame's MAC does not match the fleet's key")]
    Forged,
    /// Another protocol version.
    #[error("the frame has another protocol version")]
    Version,
}

/// The key that authenticates a fleet's frames.
#[derive(Clone)]
pub struct Key(Option<[u8; blake3::KEY_LEN]>);

impl fmt::Debug for Key {
    /// Never prints the key itself.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() { "a key" } else { "no key" })
    }
}

impl Key {
    /// No key: an unkeyed hash replaces the MAC, which detects corruption only.
    pub fn none() -> Key {
        Key(None)
    }

    /// Derives the key from the bytes of a key file.
    pub fn from_bytes(bytes: &[u8]) -> Key {
        Key(Some(blake3::derive_key("cobaltspool fleet frames 1", bytes)))
    }

    fn mac(&self, body: &[u8]) -> blake3::Hash {
        match &self.0 {
            Some(key) => blake3::keyed_hash(key, body),
            None => blake3::hash(body),
        }
    }
}

/// Encodes a frame.
pub fn encode(frame: &Frame, key: &Key) -> Vec<u8> {
    // Serializing a frame cannot fail; if it did, the receiver would drop the empty body.
    with_mac(MAGIC, &postcard::to_stdvec(&WireFrame::from_frame(frame)).unwrap_or_default(), key)
}

/// Decodes a frame of at most `max` bytes.
pub fn decode(bytes: &[u8], max: usize, key: &Key) -> Result<Frame, DecodeError> {
    let body: WireFrame =
        postcard::from_bytes(verify_mac(MAGIC, bytes, max, key)?).map_err(|_| DecodeError::Truncated)?;
    body.into_frame().ok_or(DecodeError::Truncated)
}

/// Encodes an envelope.
pub fn encode_envelope(envelope: &PeerMessage, key: &Key) -> Vec<u8> {
    with_mac(ENVELOPE_MAGIC, &postcard::to_stdvec(envelope).unwrap_or_default(), key)
}

/// Decodes an envelope.
pub fn decode_envelope(bytes: &[u8], key: &Key) -> Result<PeerMessage, DecodeError> {
    postcard::from_bytes(verify_mac(ENVELOPE_MAGIC, bytes, MAX_ENVELOPE_BYTES, key)?)
        .map_err(|_| DecodeError::Truncated)
}

/// Whether these bytes start like an envelope rather than a membership frame.
pub fn is_envelope(bytes: &[u8]) -> bool {
    bytes.starts_with(&ENVELOPE_MAGIC)
}

fn with_mac(magic: [u8; 2], body: &[u8], key: &Key) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&magic);
    bytes.push(VERSION);
    bytes.extend_from_slice(key.mac(body).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn verify_mac<'a>(magic: [u8; 2], bytes: &'a [u8], max: usize, key: &Key) -> Result<&'a [u8], DecodeError> {
    if bytes.len() > max {
        return Err(DecodeError::Oversized);
    }
    if bytes.len() < HEADER_BYTES {
        return Err(DecodeError::Truncated);
    }
    if bytes[..2] != magic || bytes[2] != VERSION {
        return Err(DecodeError::Version);
    }
    let (mac, body) = bytes[3..].split_at(blake3::OUT_LEN);
    // `blake3::Hash` compares in constant time.
    if !blake3::Hash::from_slice(mac).is_ok_and(|mac| mac == key.mac(body)) {
        return Err(DecodeError::Forged);
    }
    Ok(body)
}

/// Digest of a file that should be identical on all members.
pub fn file_digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    hash.as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Estimated size of a record in a frame, in bytes.
pub fn estimated_record_size(record: &MemberRecord) -> usize {
    let info = &record.info;
    let unknown: usize = info.unknown_fields.iter().map(|(_, bytes)| bytes.len() + 2).sum();
    let reporter = record.reported_by.as_ref().map_or(0, |by| by.as_str().len());
    92 + record.id.as_str().len() + reporter + info.zone.len() + info.version.len() + unknown
}

#[derive(Serialize, Deserialize)]
struct WireFrame {
    kind: FrameKind,
    from: WireRecord,
    to: u64,
    counter: u64,
    probe: u64,
    target: Option<(MemberId, SocketAddr)>,
    you: Option<StateVersion>,
    digest: u64,
    records: Vec<WireRecord>,
}

#[derive(Serialize, Deserialize)]
struct WireRecord {
    id: MemberId,
    state_version: StateVersion,
    reported_by: Option<MemberId>,
    since_ms: u64,
    fields: Vec<(u8, Vec<u8>)>,
}

impl WireFrame {
    fn from_frame(frame: &Frame) -> WireFrame {
        WireFrame {
            kind: frame.kind,
            from: WireRecord::from_record(&frame.from),
            to: frame.receiver_nonce,
            counter: frame.counter,
            probe: frame.probe_id,
            target: frame.target.clone(),
            you: frame.receiver_version,
            digest: frame.digest,
            records: frame.records.iter().map(WireRecord::from_record).collect(),
        }
    }

    fn into_frame(self) -> Option<Frame> {
        if self.records.len() > MAX_RECORDS {
            return None;
        }
        Some(Frame {
            kind: self.kind,
            from: self.from.into_record()?,
            receiver_nonce: self.to,
            counter: self.counter,
            probe_id: self.probe,
            target: self.target,
            receiver_version: self.you,
            digest: self.digest,
            records: self.records.into_iter().map(WireRecord::into_record).collect::<Option<_>>()?,
        })
    }
}

// Field numbers. A number must never be reused with another meaning.
const ZONE: u8 = 1;
const ADDRESS: u8 = 2;
const PROGRAM_VERSION: u8 = 3;
const AGE_MS: u8 = 4;
const FLAGS: u8 = 5;
const CALLS: u8 = 6;
const LIST_AGE_MS: u8 = 7;
const OPS: u8 = 8;
const READY: u8 = 1;
const DRAINING: u8 = 2;
const LEAVING: u8 = 4;

impl WireRecord {
    fn from_record(record: &MemberRecord) -> WireRecord {
        let info = &record.info;
        let encode_number = |n: u64| {
            let used = 8 - (n.leading_zeros() / 8) as usize;
            n.to_le_bytes()[..used].to_vec()
        };
        let flag = |is_set: bool, bit: u8| if is_set { bit } else { 0 };
        let flags = flag(info.ready, READY) | flag(info.draining, DRAINING) | flag(info.leaving, LEAVING);
        let mut address = match info.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        address.extend_from_slice(&info.address.port().to_le_bytes());
        let mut fields =
            vec![(ADDRESS, address), (AGE_MS, encode_number(info.uptime / 1000)), (FLAGS, vec![flags])];
        let mut add = |tag, bytes: Vec<u8>| {
            if !bytes.is_empty() {
                fields.push((tag, bytes));
            }
        };
        add(ZONE, info.zone.as_bytes().to_vec());
        add(PROGRAM_VERSION, info.version.as_bytes().to_vec());
        add(CALLS, encode_number(u64::from(info.calls)));
        add(OPS, encode_number(info.ops_digest));
        if let Some(age) = info.list_age {
            fields.push((LIST_AGE_MS, encode_number(age)));
        }
        fields.extend(info.unknown_fields.iter().cloned());
        WireRecord {
            id: record.id.clone(),
            state_version: record.state_version,
            reported_by: record.reported_by.clone(),
            since_ms: record.state_age / 1000,
            fields,
        }
    }

    /// Returns `None` if a field cannot be decoded or the address is missing.
    fn into_record(self) -> Option<MemberRecord> {
        if self.fields.len() > MAX_FIELDS {
            return None;
        }
        let mut info = MemberInfo::at(SocketAddr::from(([0, 0, 0, 0], 0)));
        let (mut address, mut kept_bytes) = (None, 0);
        for (tag, bytes) in self.fields {
            match tag {
                ADDRESS => address = Some(read_address(&bytes)?),
                ZONE => info.zone = read_text(bytes)?,
                PROGRAM_VERSION => info.version = read_text(bytes)?,
                AGE_MS => info.uptime = read_number(&bytes)?.saturating_mul(1000),
                FLAGS => {
                    let flags = *bytes.first()?;
                    info.ready = flags & READY != 0;
                    info.draining = flags & DRAINING != 0;
                    info.leaving = flags & LEAVING != 0;
                }
                CALLS => info.calls = u32::try_from(read_number(&bytes)?).ok()?,
                LIST_AGE_MS => info.list_age = Some(read_number(&bytes)?),
                OPS => info.ops_digest = read_number(&bytes)?,
                _ if kept_bytes + bytes.len() <= MAX_UNKNOWN_BYTES => {
                    kept_bytes += bytes.len();
                    info.unknown_fields.push((tag, bytes));
                }
                _ => {}
            }
        }
        info.address = address?;
        let since = self.since_ms.saturating_mul(1000);
        Some(MemberRecord {
            id: self.id,
            state_version: self.state_version,
            reported_by: self.reported_by,
            state_age: since,
            info,
        })
    }
}

/// Reads a little-endian number of up to 8 bytes.
fn read_number(bytes: &[u8]) -> Option<u64> {
    let mut padded = [0; 8];
    padded.get_mut(..bytes.len())?.copy_from_slice(bytes);
    Some(u64::from_le_bytes(padded))
}

/// Reads a text of at most [`MAX_NAME_BYTES`] bytes without control characters.
fn read_text(bytes: Vec<u8>) -> Option<Arc<str>> {
    let text = String::from_utf8(bytes).ok().filter(|text| text.len() <= MAX_NAME_BYTES)?;
    (!text.chars().any(char::is_control)).then(|| text.into())
}

fn read_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_le_bytes(*port)))
}

/// A record with fixed information, for tests.
#[doc(hidden)]
pub fn example_record(id: &str, generation: u64, seq: u32, state: MemberState) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 7401));
    let info =
        MemberInfo { zone: "zagreb".into(), version: "0.2.0".into(), ready: true, ..MemberInfo::at(address) };
    let state_version = StateVersion { incarnation: Incarnation { generation, nonce: 77 }, seq, state };
    MemberRecord {
        id: MemberId::new(id).expect("a valid member id"),
        state_version,
        reported_by: None,
        state_age: 0,
        info,
    }
}

#[cfg(test)]
mod tests;
