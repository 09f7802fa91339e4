//! The codec: frames of datagrams and streams to bytes and back. Version, seal, body; the body by `postcard`. The order of fields and
//! variants is the wire format; it never changes.
//!
//! A frame that is cut, forged, oversized or of another version costs no more than its reading. A member's
//! information goes as numbered fields: a number that this version does not know is kept as it came and passed on, within a
//! bound, so that old and new versions read each other.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::envelope::{MAX_ENVELOPE_BYTES, PeerMessage};
use crate::member::{
    Incarnation, MAX_NAME_BYTES, MAX_UNKNOWN_BYTES, MemberId, MemberInfo, MemberRecord, MemberState,
    StateVersion,
};

/// The longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// What records may take of a datagram; the rest is for the frame itself.
pub const MAX_PIGGYBACK_BYTES: usize = 900;
/// The longest frame on a stream: the whole table.
pub const MAX_STREAM_BYTES: usize = 512 * 1024;
/// Most records of one frame.
pub const MAX_RECORDS: usize = 1_100;
const MAGIC: [u8; 2] = *b"cf";
const ENVELOPE_MAGIC: [u8; 2] = *b"cp";
const VERSION: u8 = 1;
const HEAD: usize = 3 + blake3::OUT_LEN;
const MAX_FIELDS: usize = 32;

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// Are you there? The same to whom is not known yet.
    Ping,
    /// Yes; also passed on by a helper.
    Ack,
    /// Ping the target for the sender (an indirect ping).
    PingRequest,
    /// The target did not answer the helper, which is there itself.
    Nack,
    /// The whole table, over a stream; answered with the other's.
    FullState,
    /// Gossip that nobody has to answer.
    Gossip,
    /// From a process in standby: who has my id?
    IdQuery,
}

/// One frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// What it is for.
    pub kind: FrameKind,
    /// The sender, in its own words.
    pub from: MemberRecord,
    /// The nonce of the start that it is meant for; 0: not known.
    pub receiver_nonce: u64,
    /// Counts the sender's frames.
    pub counter: u64,
    /// Which question this asks or answers.
    pub probe_id: u64,
    /// Whom to ask.
    pub target: Option<(MemberId, SocketAddr)>,
    /// How the sender sees the one that it writes to.
    pub receiver_version: Option<StateVersion>,
    /// Digest of the sender's live members.
    pub digest: u64,
    /// What it has heard of others.
    pub records: Vec<MemberRecord>,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short, or its body is unreadable.
    #[error("the frame is truncated or unreadable")]
    Truncated,
    /// Longer than the bound.
    #[error("the frame is too long")]
    Oversized,
    /// Its seal is not of this fleet's key.
    #[error("the frame is sealed with another key")]
    Forged,
    /// Not of this protocol's version.
    #[error("the frame is of another version")]
    Version,
}

/// A fleet's key.
#[derive(Clone)]
pub struct Key(Option<[u8; blake3::KEY_LEN]>);

impl fmt::Debug for Key {
    /// A key is never written anywhere.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() { "a key" } else { "no key" })
    }
}

impl Key {
    /// No key: the seal is a checksum.
    pub fn none() -> Key {
        Key(None)
    }

    /// The key that a file's bytes stand for.
    pub fn from_bytes(bytes: &[u8]) -> Key {
        Key(Some(blake3::derive_key("cobaltspool fleet frames 1", bytes)))
    }

    fn seal(&self, body: &[u8]) -> blake3::Hash {
        match &self.0 {
            Some(key) => blake3::keyed_hash(key, body),
            None => blake3::hash(body),
        }
    }
}

/// A frame as it goes out.
pub fn encode(frame: &Frame, key: &Key) -> Vec<u8> {
    // Nothing of a frame can fail to be written; an empty one would be dropped by whoever reads it.
    sealed(MAGIC, &postcard::to_stdvec(&WireFrame::from_frame(frame)).unwrap_or_default(), key)
}

/// Reads a frame of at most so many bytes.
pub fn decode(bytes: &[u8], max: usize, key: &Key) -> Result<Frame, DecodeError> {
    let body: WireFrame =
        postcard::from_bytes(open_sealed(MAGIC, bytes, max, key)?).map_err(|_| DecodeError::Truncated)?;
    body.into_frame().ok_or(DecodeError::Truncated)
}

/// A envelope as it goes out.
pub fn encode_envelope(envelope: &PeerMessage, key: &Key) -> Vec<u8> {
    sealed(ENVELOPE_MAGIC, &postcard::to_stdvec(envelope).unwrap_or_default(), key)
}

/// Reads a envelope.
pub fn decode_envelope(bytes: &[u8], key: &Key) -> Result<PeerMessage, DecodeError> {
    postcard::from_bytes(open_sealed(ENVELOPE_MAGIC, bytes, MAX_ENVELOPE_BYTES, key)?)
        .map_err(|_| DecodeError::Truncated)
}

/// Whether these bytes begin as a envelope does, and not as a frame of the view.
pub fn is_envelope(bytes: &[u8]) -> bool {
    bytes.starts_with(&ENVELOPE_MAGIC)
}

fn sealed(magic: [u8; 2], body: &[u8], key: &Key) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&magic);
    bytes.push(VERSION);
    bytes.extend_from_slice(key.seal(body).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn open_sealed<'a>(magic: [u8; 2], bytes: &'a [u8], max: usize, key: &Key) -> Result<&'a [u8], DecodeError> {
    if bytes.len() > max {
        return Err(DecodeError::Oversized);
    }
    if bytes.len() < HEAD {
        return Err(DecodeError::Truncated);
    }
    if bytes[..2] != magic || bytes[2] != VERSION {
        return Err(DecodeError::Version);
    }
    let (seal, body) = bytes[3..].split_at(blake3::OUT_LEN);
    // Compared in constant time.
    if !blake3::Hash::from_slice(seal).is_ok_and(|seal| seal == key.seal(body)) {
        return Err(DecodeError::Forged);
    }
    Ok(body)
}

/// Digest of a file that is to be the same for all members.
pub fn file_digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    hash.as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// About how many bytes a record takes in a frame.
pub fn estimated_record_size(record: &MemberRecord) -> usize {
    let info = &record.info;
    let unknown: usize = info.unknown_fields.iter().map(|(_, bytes)| bytes.len() + 2).sum();
    let by = record.reported_by.as_ref().map_or(0, |by| by.as_str().len());
    92 + record.id.as_str().len() + by + info.zone.len() + info.version.len() + unknown
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

// The fields' numbers; none is ever given another meaning.
const ZONE: u8 = 1;
const ADDRESS: u8 = 2;
const PROGRAM: u8 = 3;
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
        let number = |n: u64| {
            let used = 8 - (n.leading_zeros() / 8) as usize;
            n.to_le_bytes()[..used].to_vec()
        };
        let flag = |is: bool, bit: u8| if is { bit } else { 0 };
        let flags = flag(info.ready, READY) | flag(info.draining, DRAINING) | flag(info.leaving, LEAVING);
        let mut address = match info.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        address.extend_from_slice(&info.address.port().to_le_bytes());
        let mut fields = vec![(ADDRESS, address), (AGE_MS, number(info.uptime / 1000)), (FLAGS, vec![flags])];
        let mut add = |tag, bytes: Vec<u8>| {
            if !bytes.is_empty() {
                fields.push((tag, bytes));
            }
        };
        add(ZONE, info.zone.as_bytes().to_vec());
        add(PROGRAM, info.version.as_bytes().to_vec());
        add(CALLS, number(u64::from(info.calls)));
        add(OPS, number(info.ops_digest));
        if let Some(age) = info.list_age {
            fields.push((LIST_AGE_MS, number(age)));
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

    /// `None`: a field is unreadable, or the address is missing.
    fn into_record(self) -> Option<MemberRecord> {
        if self.fields.len() > MAX_FIELDS {
            return None;
        }
        let mut info = MemberInfo::at(SocketAddr::from(([0, 0, 0, 0], 0)));
        let (mut address, mut kept) = (None, 0);
        for (tag, bytes) in self.fields {
            match tag {
                ADDRESS => address = Some(read_address(&bytes)?),
                ZONE => info.zone = read_text(bytes)?,
                PROGRAM => info.version = read_text(bytes)?,
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
                _ if kept + bytes.len() <= MAX_UNKNOWN_BYTES => {
                    kept += bytes.len();
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

/// A number of up to 8 bytes, the lowest first.
fn read_number(bytes: &[u8]) -> Option<u64> {
    let mut whole = [0; 8];
    whole.get_mut(..bytes.len())?.copy_from_slice(bytes);
    Some(u64::from_le_bytes(whole))
}

/// A short text without control characters.
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

/// A record as a test writes it.
#[doc(hidden)]
pub fn example_record(id: &str, generation: u64, seq: u32, state: MemberState) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 7401));
    let info =
        MemberInfo { zone: "zagreb".into(), version: "0.2.0".into(), ready: true, ..MemberInfo::at(address) };
    let state_version = StateVersion { incarnation: Incarnation { generation, nonce: 77 }, seq, state };
    MemberRecord {
        id: MemberId::new(id).expect("an id"),
        state_version,
        reported_by: None,
        state_age: 0,
        info,
    }
}

#[cfg(test)]
mod tests;
