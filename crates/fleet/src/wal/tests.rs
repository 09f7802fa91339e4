//! Recovery of whole, torn and damaged files.

use proptest::prelude::*;

use super::*;
use crate::quorum::Command;

fn entry(term: u64, size: usize) -> Entry {
    Entry { term, command: Some(Command { session: 1, seq: 2, body: vec![7; size] }) }
}

fn file(records: &[LogRecord]) -> Vec<u8> {
    header().into_iter().chain(records.iter().flat_map(encode)).collect()
}

fn records() -> Vec<LogRecord> {
    let hard_state = HardState { term: 3, ..HardState::default() };
    let entries = (1..=4).map(|n| LogRecord::Entry { index: n, entry: entry(n.div_ceil(2), n as usize) });
    [LogRecord::HardState(hard_state)].into_iter().chain(entries).collect()
}

#[test]
fn file_is_recovered_and_the_same_when_rewritten() {
    let (recovered, damage) = recover(&file(&records())).unwrap();
    assert_eq!(
        (recovered.hard_state.term, recovered.log.last(), recovered.is_intact),
        (3, LogPosition { term: 2, index: 4 }, true)
    );
    assert_eq!(damage, Damage::default());
    let mut contents = WalContents { hard_state: recovered.hard_state.clone(), log: recovered.log.clone() };
    assert_eq!(recover(&contents.encode()).unwrap().0, recovered);
    assert!(contents.apply(LogRecord::Snapshot {
        last: LogPosition { term: 1, index: 2 },
        state: vec![9],
        replaces_log: false
    }));
    let (short, _) = recover(&contents.encode()).unwrap();
    assert_eq!((short.log.base().index, short.log.last().index, short.log.state()), (2, 4, &[9][..]));
}

#[test]
fn entry_in_place_of_another_voids_those_behind_it() {
    let mut all = records();
    all.push(LogRecord::Entry { index: 2, entry: entry(4, 1) });
    assert_eq!(recover(&file(&all)).unwrap().0.log.last(), LogPosition { term: 4, index: 2 });
}

/// Wherever a bit flips, what reads is a beginning of what was kept; and where the flip is in the body of an entry, the entry's
/// place is still promised.
#[test]
fn flipped_bit_takes_no_promise_away() {
    let whole = file(&records());
    let (recovered, _) = recover(&whole).unwrap();
    for at in HEADER_BYTES..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        let (found, damage) = recover(&bytes).unwrap();
        assert!(damage.unreadable_records + damage.torn_bytes > 0, "at {at}");
        assert!(found.log.last() <= recovered.log.last(), "at {at}");
        let last = encode(&records()[4]).len();
        if at < whole.len() - last || at >= whole.len() - last + RECORD_HEAD_BYTES {
            assert_eq!(found.promised, recovered.promised, "at {at}");
        }
    }
}

#[test]
fn foreign_and_newer_files_are_refused() {
    assert_eq!(recover(b"something else"), Err(WalError::UnrecognizedFile));
    assert_eq!(recover(&[&MAGIC[..], &[9, 0]].concat()), Err(WalError::NewerFormat(9)));
    assert_eq!(recover(b"").unwrap().0, RecoveredState::default());
    assert!(!recover(b"").unwrap().0.is_intact);
}

proptest! {
    /// A file cut anywhere holds the records that were whole, and never more.
    #[test]
    fn torn_file_holds_its_complete_records(cut in 0usize..400) {
        let whole = file(&records());
        let cut = cut.min(whole.len());
        let (recovered, damage) = recover(&whole[..cut]).unwrap();
        prop_assert_eq!(damage.unreadable_records, 0);
        prop_assert!(recovered.promised <= recover(&whole).unwrap().0.promised);
        let kept = recovered.log.last().index as usize;
        let fits = (0..=4).rev().find(|n| file(&records()[..=*n]).len() <= cut);
        prop_assert_eq!(kept, fits.unwrap_or(0));
    }

    #[test]
    fn noise_causes_no_panic(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = header();
        bytes.extend(noise);
        let _ = recover(&bytes);
    }
}
