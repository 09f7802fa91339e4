//! Frames: one datagram kind and one stream kind, as bytes and back. Version, seal, body; the body by `postcard`.
//!
//! A frame that is cut, forged, oversized or of another version costs no more than its reading. What a member tells of itself
//! goes as numbered fields: a number that this version does not know is kept as it came and passed on, within a bound, so that
//! old and new versions read each other.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::envelope::{MAX_ENVELOPE_BYTES, PeerMessage};
use crate::member::{Life, MemberId, NAME_BYTES, News, Record, Stamp, State, UNKNOWN_BYTES};

/// The longest datagram.
pub const DATAGRAM_BYTES: usize = 1_400;
/// What records may take of a datagram; the rest is for the frame itself.
pub const PIGGYBACK_BYTES: usize = 900;
/// The longest frame on a stream: the whole table.
pub const STREAM_BYTES: usize = 512 * 1024;
/// Most records of one frame.
pub const RECORDS_MOST: usize = 1_100;
const MAGIC: [u8; 2] = *b"cf";
const ENVELOPE_MAGIC: [u8; 2] = *b"cp";
const VERSION: u8 = 1;
const HEAD: usize = 3 + blake3::OUT_LEN;
const FIELDS_MOST: usize = 32;

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Are you there? The same to whom is not known yet.
    Ping,
    /// Yes; also passed on by a helper.
    Ack,
    /// Ask the target whether it is there.
    Ask,
    /// The target did not answer the helper, which is there itself.
    Nack,
    /// The whole table, over a stream; answered with the other's.
    Table,
    /// News that nobody has to answer.
    Tell,
    /// From one who stands by: how do you see who has my id?
    Query,
}

/// One frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// What it is for.
    pub kind: Kind,
    /// The sender, in its own words.
    pub from: Record,
    /// The nonce of the start that it is meant for; 0: not known.
    pub to: u64,
    /// Counts the sender's frames.
    pub counter: u64,
    /// Which question this asks or answers.
    pub probe: u64,
    /// Whom to ask.
    pub target: Option<(MemberId, SocketAddr)>,
    /// How the sender sees the one that it writes to.
    pub you: Option<Stamp>,
    /// Digest of the sender's live members.
    pub digest: u64,
    /// What it has heard of others.
    pub records: Vec<Record>,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drop {
    /// Too short, or its body does not read.
    Cut,
    /// Longer than may be.
    Oversized,
    /// Its seal is not of this fleet's key.
    Forged,
    /// Not of this protocol's version.
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
    pub fn of(bytes: &[u8]) -> Key {
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
    sealed(MAGIC, &postcard::to_stdvec(&Body::of(frame)).unwrap_or_default(), key)
}

/// Reads a frame of at most so many bytes.
pub fn decode(bytes: &[u8], most: usize, key: &Key) -> Result<Frame, Drop> {
    let body: Body = postcard::from_bytes(opened(MAGIC, bytes, most, key)?).map_err(|_| Drop::Cut)?;
    body.frame().ok_or(Drop::Cut)
}

/// A envelope as it goes out.
pub fn encode_envelope(envelope: &PeerMessage, key: &Key) -> Vec<u8> {
    sealed(ENVELOPE_MAGIC, &postcard::to_stdvec(envelope).unwrap_or_default(), key)
}

/// Reads a envelope.
pub fn decode_envelope(bytes: &[u8], key: &Key) -> Result<PeerMessage, Drop> {
    postcard::from_bytes(opened(ENVELOPE_MAGIC, bytes, MAX_ENVELOPE_BYTES, key)?).map_err(|_| Drop::Cut)
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

fn opened<'a>(magic: [u8; 2], bytes: &'a [u8], most: usize, key: &Key) -> Result<&'a [u8], Drop> {
    if bytes.len() > most {
        return Err(Drop::Oversized);
    }
    if bytes.len() < HEAD {
        return Err(Drop::Cut);
    }
    if bytes[..2] != magic || bytes[2] != VERSION {
        return Err(Drop::Version);
    }
    let (seal, body) = bytes[3..].split_at(blake3::OUT_LEN);
    // Compared in constant time.
    if !blake3::Hash::from_slice(seal).is_ok_and(|seal| seal == key.seal(body)) {
        return Err(Drop::Forged);
    }
    Ok(body)
}

/// Digest of a file that is to be the same for all members.
pub fn digest(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    hash.as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// About how many bytes a record takes in a frame.
pub fn size(record: &Record) -> usize {
    let news = &record.news;
    let unknown: usize = news.unknown.iter().map(|(_, bytes)| bytes.len() + 2).sum();
    let by = record.by.as_ref().map_or(0, |by| by.as_str().len());
    92 + record.id.as_str().len() + by + news.zone.len() + news.version.len() + unknown
}

#[derive(Serialize, Deserialize)]
struct Body {
    kind: Kind,
    from: Line,
    to: u64,
    counter: u64,
    probe: u64,
    target: Option<(MemberId, SocketAddr)>,
    you: Option<Stamp>,
    digest: u64,
    records: Vec<Line>,
}

#[derive(Serialize, Deserialize)]
struct Line {
    id: MemberId,
    stamp: Stamp,
    by: Option<MemberId>,
    since_ms: u64,
    fields: Vec<(u8, Vec<u8>)>,
}

impl Body {
    fn of(frame: &Frame) -> Body {
        Body {
            kind: frame.kind,
            from: Line::of(&frame.from),
            to: frame.to,
            counter: frame.counter,
            probe: frame.probe,
            target: frame.target.clone(),
            you: frame.you,
            digest: frame.digest,
            records: frame.records.iter().map(Line::of).collect(),
        }
    }

    fn frame(self) -> Option<Frame> {
        if self.records.len() > RECORDS_MOST {
            return None;
        }
        Some(Frame {
            kind: self.kind,
            from: self.from.record()?,
            to: self.to,
            counter: self.counter,
            probe: self.probe,
            target: self.target,
            you: self.you,
            digest: self.digest,
            records: self.records.into_iter().map(Line::record).collect::<Option<_>>()?,
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

impl Line {
    fn of(record: &Record) -> Line {
        let news = &record.news;
        let number = |n: u64| {
            let used = 8 - (n.leading_zeros() / 8) as usize;
            n.to_le_bytes()[..used].to_vec()
        };
        let flag = |is: bool, bit: u8| if is { bit } else { 0 };
        let flags = flag(news.ready, READY) | flag(news.draining, DRAINING) | flag(news.leaving, LEAVING);
        let mut address = match news.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        address.extend_from_slice(&news.address.port().to_le_bytes());
        let mut fields = vec![(ADDRESS, address), (AGE_MS, number(news.age / 1000)), (FLAGS, vec![flags])];
        let mut add = |tag, bytes: Vec<u8>| {
            if !bytes.is_empty() {
                fields.push((tag, bytes));
            }
        };
        add(ZONE, news.zone.as_bytes().to_vec());
        add(PROGRAM, news.version.as_bytes().to_vec());
        add(CALLS, number(u64::from(news.calls)));
        add(OPS, number(news.ops));
        if let Some(age) = news.list_age {
            fields.push((LIST_AGE_MS, number(age)));
        }
        fields.extend(news.unknown.iter().cloned());
        Line {
            id: record.id.clone(),
            stamp: record.stamp,
            by: record.by.clone(),
            since_ms: record.since / 1000,
            fields,
        }
    }

    /// `None`: a field does not read, or the address is missing.
    fn record(self) -> Option<Record> {
        if self.fields.len() > FIELDS_MOST {
            return None;
        }
        let number = |bytes: &[u8]| {
            let mut whole = [0; 8];
            whole.get_mut(..bytes.len())?.copy_from_slice(bytes);
            Some(u64::from_le_bytes(whole))
        };
        let text = |bytes: Vec<u8>| -> Option<Arc<str>> {
            let text = String::from_utf8(bytes).ok().filter(|t| t.len() <= NAME_BYTES)?;
            (!text.chars().any(char::is_control)).then(|| text.into())
        };
        let mut news = News::at(SocketAddr::from(([0, 0, 0, 0], 0)));
        let (mut address, mut kept) = (None, 0);
        for (tag, bytes) in self.fields {
            match tag {
                ADDRESS => address = Some(read_address(&bytes)?),
                ZONE => news.zone = text(bytes)?,
                PROGRAM => news.version = text(bytes)?,
                AGE_MS => news.age = number(&bytes)?.saturating_mul(1000),
                FLAGS => {
                    let flags = *bytes.first()?;
                    news.ready = flags & READY != 0;
                    news.draining = flags & DRAINING != 0;
                    news.leaving = flags & LEAVING != 0;
                }
                CALLS => news.calls = u32::try_from(number(&bytes)?).ok()?,
                LIST_AGE_MS => news.list_age = Some(number(&bytes)?),
                OPS => news.ops = number(&bytes)?,
                _ if kept + bytes.len() <= UNKNOWN_BYTES => {
                    kept += bytes.len();
                    news.unknown.push((tag, bytes));
                }
                _ => {}
            }
        }
        news.address = address?;
        let since = self.since_ms.saturating_mul(1000);
        Some(Record { id: self.id, stamp: self.stamp, by: self.by, since, news })
    }
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
pub fn example(id: &str, generation: u64, seq: u32, state: State) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 7401));
    let news = News { zone: "zagreb".into(), version: "0.2.0".into(), ready: true, ..News::at(address) };
    let stamp = Stamp { life: Life { generation, nonce: 77 }, seq, state };
    Record { id: MemberId::new(id).expect("an id"), stamp, by: None, since: 0, news }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn frame() -> Frame {
        let mut from = example("n1", 3, 4, State::Alive);
        from.news = News { calls: 70_000, list_age: Some(0), ops: u64::MAX, age: 5_000_000, ..from.news };
        let mut down = example("n2", 1, 9, State::Down);
        (down.by, down.since) = (MemberId::new("n3"), 7_000_000);
        Frame {
            kind: Kind::Ask,
            from,
            to: 9,
            counter: 12,
            probe: 13,
            target: MemberId::new("n4").map(|id| (id, SocketAddr::from(([127, 0, 0, 1], 9)))),
            you: Some(example("n2", 1, 1, State::Suspect).stamp),
            digest: 14,
            records: vec![down],
        }
    }

    #[test]
    fn a_frame_comes_back_as_it_was() {
        for key in [Key::none(), Key::of(b"secret")] {
            assert_eq!(decode(&encode(&frame(), &key), DATAGRAM_BYTES, &key), Ok(frame()));
        }
    }

    /// A field of a newer version is passed on as it came, and no more of them than the bound.
    #[test]
    fn what_a_newer_version_tells_is_kept_and_bounded() {
        let mut told = frame();
        told.from.news.unknown = vec![(200, vec![1, 2, 3]), (201, vec![0; UNKNOWN_BYTES])];
        let read = decode(&encode(&told, &Key::none()), DATAGRAM_BYTES, &Key::none()).unwrap();
        assert_eq!(read.from.news.unknown, vec![(200, vec![1, 2, 3])]);
        let again = decode(&encode(&read, &Key::none()), DATAGRAM_BYTES, &Key::none()).unwrap();
        assert_eq!(again.from.news.unknown, read.from.news.unknown);
    }

    #[test]
    fn what_is_not_of_this_fleet_is_dropped_by_name() {
        let key = Key::of(b"secret");
        let good = encode(&frame(), &key);
        let read = |bytes: &[u8]| decode(bytes, DATAGRAM_BYTES, &key).map(|_| ());
        assert_eq!(read(&encode(&frame(), &Key::of(b"another fleet's"))), Err(Drop::Forged));
        assert_eq!(read(&encode(&frame(), &Key::none())), Err(Drop::Forged));
        assert_eq!(read(&good[..good.len() - 1]), Err(Drop::Forged));
        assert_eq!(read(&good[..HEAD - 1]), Err(Drop::Cut));
        assert_eq!(read(&[0; DATAGRAM_BYTES + 1]), Err(Drop::Oversized));
        assert_eq!(read(&[&good[..2], &[9], &good[3..]].concat()), Err(Drop::Version));
        let flipped = good.iter().enumerate().map(|(n, b)| if n == HEAD + 4 { b ^ 1 } else { *b });
        assert_eq!(read(&flipped.collect::<Vec<u8>>()), Err(Drop::Forged));
    }

    #[test]
    fn a_record_takes_about_as_much_as_is_reckoned() {
        let mut whole = frame();
        whole.records = vec![frame().records[0].clone(); 8];
        let with = encode(&whole, &Key::none()).len();
        whole.records.clear();
        let one = (with - encode(&whole, &Key::none()).len()) / 8;
        let reckoned = size(&frame().records[0]);
        assert!(one <= reckoned && reckoned <= one * 3, "{one} bytes, reckoned as {reckoned}");
    }

    proptest! {
        #[test]
        fn noise_is_dropped_and_brings_nothing_down(noise in proptest::collection::vec(any::<u8>(), 0..600),
                                                    cut in 0usize..300) {
            prop_assert!(decode(&noise, DATAGRAM_BYTES, &Key::none()).is_err());
            // Behind a good seal too: whoever has the key may still write nonsense.
            let mut sealed = MAGIC.to_vec();
            sealed.push(VERSION);
            sealed.extend_from_slice(Key::none().seal(&noise).as_bytes());
            sealed.extend_from_slice(&noise);
            let _ = decode(&sealed, DATAGRAM_BYTES, &Key::none());
            let good = encode(&frame(), &Key::none());
            prop_assert!(decode(&good[..good.len().saturating_sub(cut + 1)], DATAGRAM_BYTES, &Key::none()).is_err());
        }
    }
}
