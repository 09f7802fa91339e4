//! What a voter keeps, as bytes: an append-only file of records, each with a checksum over its head and one over its body. Pure: the
//! shell moves the bytes and calls for their sync.
//!
//! A file that ends in the middle of a record was torn before anybody was told that it is kept: the end is dropped. A record that does not
//! read where more follows, or whose head reads and whose body does not, was kept once: its place stays as the voter's promise
//! ([`Held::promise`]), so that it votes for nobody who lacks it, and the leader sends it again.

use crate::quorum::log::Log;
use crate::quorum::{Entry, Hard, Held, Place, Record};

/// The format that this version writes.
pub const FORMAT: u16 = 1;
/// Longest body of a record: a snapshot of a full machine.
pub const BODY_BYTES: usize = 8 * 1024 * 1024;

const MAGIC: &[u8; 6] = b"CSPLOG";
const START: usize = MAGIC.len() + 2;
/// Kind, length, term, index, sum of the body, sum of all that.
const HEAD: usize = 1 + 4 + 8 + 8 + 8 + 8;
const SUMMED: usize = HEAD - 8;

const HARD: u8 = 1;
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 3;

fn sum(bytes: &[u8]) -> [u8; 8] {
    let mut sum = [0; 8];
    sum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    sum
}

/// What a new file begins with.
pub fn beginning() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes
}

/// A record as bytes.
pub fn encode(record: &Record) -> Vec<u8> {
    let (kind, place, body) = match record {
        Record::Hard(hard) => (HARD, Place { term: hard.term, index: 0 }, postcard::to_stdvec(hard)),
        Record::Entry(index, entry) => {
            (ENTRY, Place { term: entry.term, index: *index }, postcard::to_stdvec(entry))
        }
        Record::Snapshot { last, state, whole } => (SNAPSHOT, *last, postcard::to_stdvec(&(state, whole))),
    };
    let body = body.unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.push(kind);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&place.term.to_le_bytes());
    bytes.extend_from_slice(&place.index.to_le_bytes());
    bytes.extend_from_slice(&sum(&body));
    let head = sum(&bytes);
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&body);
    bytes
}

/// What the file's records come to; kept up beside the file, so that it can be written anew shorter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// Term, vote and lives.
    pub hard: Hard,
    /// The log.
    pub log: Log,
}

impl Image {
    /// Takes a record; false: it does not join the log.
    pub fn take(&mut self, record: Record) -> bool {
        match record {
            Record::Hard(hard) => self.hard = hard,
            Record::Entry(index, entry) => {
                if index <= self.log.base().index || index > self.log.last().index + 1 {
                    return false;
                }
                self.log.cut(index);
                self.log.push(entry);
            }
            Record::Snapshot { last, state, whole } => {
                if whole || self.log.place(last.index) != Some(last) {
                    self.log = Log::starting(last, state);
                } else {
                    self.log.compact(last, state);
                }
            }
        }
        true
    }

    /// A whole file with just this.
    pub fn file(&self) -> Vec<u8> {
        let mut bytes = beginning();
        bytes.extend(encode(&Record::Hard(self.hard.clone())));
        if self.log.base().index > 0 {
            let (last, state) = (self.log.base(), self.log.state().to_vec());
            bytes.extend(encode(&Record::Snapshot { last, state, whole: true }));
        }
        let first = self.log.base().index + 1;
        let entries = self.log.from(first, usize::MAX);
        bytes.extend((first..).zip(entries).flat_map(|(index, entry)| encode(&Record::Entry(index, entry))));
        bytes
    }
}

/// What was found amiss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Bytes of a last record that was not written to its end.
    pub torn: usize,
    /// Records that were kept and do not read.
    pub bad: usize,
}

/// Why a file cannot be used at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It is no such file.
    Foreign,
    /// A newer version wrote it.
    Newer(u16),
}

struct Head {
    kind: u8,
    length: usize,
    place: Place,
    body: [u8; 8],
}

fn head(bytes: &[u8]) -> Option<Head> {
    let bytes = bytes.get(..HEAD)?;
    let array = |at: usize| -> [u8; 8] { std::array::from_fn(|n| bytes[at + n]) };
    if sum(&bytes[..SUMMED]) != array(SUMMED) {
        return None;
    }
    let length = u32::from_le_bytes(std::array::from_fn(|n| bytes[1 + n])) as usize;
    let place = Place { term: u64::from_le_bytes(array(5)), index: u64::from_le_bytes(array(13)) };
    (length <= BODY_BYTES).then_some(Head { kind: bytes[0], length, place, body: array(21) })
}

fn body(head: &Head, bytes: &[u8]) -> Option<Record> {
    if sum(bytes) != head.body {
        return None;
    }
    match head.kind {
        HARD => postcard::from_bytes::<Hard>(bytes).ok().map(Record::Hard),
        ENTRY => postcard::from_bytes::<Entry>(bytes).ok().map(|e| Record::Entry(head.place.index, e)),
        SNAPSHOT => postcard::from_bytes::<(Vec<u8>, bool)>(bytes)
            .ok()
            .map(|(state, whole)| Record::Snapshot { last: head.place, state, whole }),
        _ => None,
    }
}

/// Reads a file. Nothing of it is believed that does not read; what can be told of the rest is in the promise.
pub fn read(bytes: &[u8]) -> Result<(Held, Damage), Unusable> {
    if bytes.is_empty() {
        return Ok((Held::default(), Damage::default()));
    }
    let (mut image, mut promise, mut damage) = (Image::default(), Place::default(), Damage::default());
    let Some(version) = bytes.strip_prefix(MAGIC.as_slice()).and_then(|rest| rest.first_chunk::<2>()) else {
        // A beginning that was not written to its end holds nothing yet.
        let torn = bytes.len() < START && beginning().starts_with(bytes);
        damage.torn = bytes.len();
        return if torn { Ok((Held::default(), damage)) } else { Err(Unusable::Foreign) };
    };
    match u16::from_le_bytes(*version) {
        FORMAT => {}
        version => return Err(Unusable::Newer(version)),
    }
    let mut at = START;
    while at < bytes.len() {
        let Some(head) = head(&bytes[at..]) else {
            // The next record that reads tells that this one was kept; with none, it is the torn end.
            let next = (at + 1..bytes.len()).find(|n| self::head(&bytes[*n..]).is_some());
            match next {
                Some(next) => {
                    damage.bad += 1;
                    at = next;
                    continue;
                }
                None => {
                    damage.torn = bytes.len() - at;
                    break;
                }
            }
        };
        let end = at + HEAD + head.length;
        let Some(found) = bytes.get(at + HEAD..end) else {
            damage.torn = bytes.len() - at;
            break;
        };
        at = end;
        match body(&head, found) {
            Some(record) => {
                let joins = image.take(record);
                promise = promise.max(if joins { image.log.last() } else { head.place });
            }
            None => {
                damage.bad += 1;
                if head.kind != HARD {
                    promise = promise.max(head.place);
                }
            }
        }
    }
    let Image { hard, log } = image;
    let promise = promise.max(log.last());
    Ok((Held { hard, log, promise, whole: damage.bad == 0 && bytes.len() > START }, damage))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::quorum::Order;

    fn entry(term: u64, size: usize) -> Entry {
        Entry { term, order: Some(Order { session: 1, seq: 2, body: vec![7; size] }) }
    }

    fn file(records: &[Record]) -> Vec<u8> {
        beginning().into_iter().chain(records.iter().flat_map(encode)).collect()
    }

    fn records() -> Vec<Record> {
        let hard = Hard { term: 3, ..Hard::default() };
        let entries = (1..=4).map(|n| Record::Entry(n, entry(n.div_ceil(2), n as usize)));
        [Record::Hard(hard)].into_iter().chain(entries).collect()
    }

    #[test]
    fn a_file_comes_back_and_is_the_same_written_anew() {
        let (held, damage) = read(&file(&records())).unwrap();
        assert_eq!((held.hard.term, held.log.last(), held.whole), (3, Place { term: 2, index: 4 }, true));
        assert_eq!(damage, Damage::default());
        let mut image = Image { hard: held.hard.clone(), log: held.log.clone() };
        assert_eq!(read(&image.file()).unwrap().0, held);
        assert!(image.take(Record::Snapshot {
            last: Place { term: 1, index: 2 },
            state: vec![9],
            whole: false
        }));
        let (short, _) = read(&image.file()).unwrap();
        assert_eq!((short.log.base().index, short.log.last().index, short.log.state()), (2, 4, &[9][..]));
    }

    #[test]
    fn an_entry_in_place_of_another_voids_what_was_behind_it() {
        let mut all = records();
        all.push(Record::Entry(2, entry(4, 1)));
        assert_eq!(read(&file(&all)).unwrap().0.log.last(), Place { term: 4, index: 2 });
    }

    /// Wherever a bit flips, what reads is a beginning of what was kept; and where the flip is in the body of an entry, the entry's
    /// place is still promised.
    #[test]
    fn a_flipped_bit_takes_no_promise_away() {
        let whole = file(&records());
        let (held, _) = read(&whole).unwrap();
        for at in START..whole.len() {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            let (found, damage) = read(&bytes).unwrap();
            assert!(damage.bad + damage.torn > 0, "at {at}");
            assert!(found.log.last() <= held.log.last(), "at {at}");
            let last = encode(&records()[4]).len();
            if at < whole.len() - last || at >= whole.len() - last + HEAD {
                assert_eq!(found.promise, held.promise, "at {at}");
            }
        }
    }

    #[test]
    fn what_another_wrote_is_left_alone() {
        assert_eq!(read(b"something else"), Err(Unusable::Foreign));
        assert_eq!(read(&[&MAGIC[..], &[9, 0]].concat()), Err(Unusable::Newer(9)));
        assert_eq!(read(b"").unwrap().0, Held::default());
        assert!(!read(b"").unwrap().0.whole);
    }

    proptest! {
        /// A file cut anywhere holds the records that were whole, and never more.
        #[test]
        fn a_torn_file_holds_its_whole_records(cut in 0usize..400) {
            let whole = file(&records());
            let cut = cut.min(whole.len());
            let (held, damage) = read(&whole[..cut]).unwrap();
            prop_assert_eq!(damage.bad, 0);
            prop_assert!(held.promise <= read(&whole).unwrap().0.promise);
            let kept = held.log.last().index as usize;
            let fits = (0..=4).rev().find(|n| file(&records()[..=*n]).len() <= cut);
            prop_assert_eq!(kept, fits.unwrap_or(0));
        }

        #[test]
        fn noise_brings_nothing_down(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut bytes = beginning();
            bytes.extend(noise);
            let _ = read(&bytes);
        }
    }
}
