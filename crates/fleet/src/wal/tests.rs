//! Tests of the recovery of intact, torn and damaged files.

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
fn recovered_state_is_the_same_after_a_rewrite() {
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
    let (compacted, _) = recover(&contents.encode()).unwrap();
    let log = &compacted.log;
    assert_eq!((log.base().index, log.last().index, log.state()), (2, 4, &[9][..]));
}

#[test]
fn entry_at_an_existing_index_removes_all_later_entries() {
    let mut all = records();
    all.push(LogRecord::Entry { index: 2, entry: entry(4, 1) });
    assert_eq!(recover(&file(&all)).unwrap().0.log.last(), LogPosition { term: 4, index: 2 });
}

/// A flipped bit at any place is detected and never extends the log. The promised position is lowered only if the bit
/// is in the header of the last record: that damage cannot be distinguished from a torn write.
#[test]
fn flipped_bit_outside_the_last_header_does_not_lower_the_promised_position() {
    let intact = file(&records());
    let (recovered, _) = recover(&intact).unwrap();
    for at in FILE_HEADER_BYTES..intact.len() {
        let mut bytes = intact.clone();
        bytes[at] ^= 0x10;
        let (found, damage) = recover(&bytes).unwrap();
        assert!(damage.unreadable_records + damage.torn_bytes > 0, "at {at}");
        assert!(found.log.last() <= recovered.log.last(), "at {at}");
        let last_record_bytes = encode(&records()[4]).len();
        let last_record_at = intact.len() - last_record_bytes;
        if at < last_record_at || at >= last_record_at + RECORD_HEADER_BYTES {
            assert_eq!(found.promised, recovered.promised, "at {at}");
        }
    }
}

#[test]
fn unrecognized_files_and_newer_formats_are_rejected() {
    assert_eq!(recover(b"something else"), Err(WalError::UnrecognizedFile));
    assert_eq!(recover(&[&MAGIC[..], &[9, 0]].concat()), Err(WalError::NewerFormat(9)));
    assert_eq!(recover(b"").unwrap().0, RecoveredState::default());
    assert!(!recover(b"").unwrap().0.is_intact);
}

proptest! {
    /// From a file truncated at any place, exactly the complete records are recovered.
    #[test]
    fn exactly_the_complete_records_of_a_truncated_file_are_recovered(length in 0usize..400) {
        let intact = file(&records());
        let length = length.min(intact.len());
        let (recovered, damage) = recover(&intact[..length]).unwrap();
        prop_assert_eq!(damage.unreadable_records, 0);
        prop_assert!(recovered.promised <= recover(&intact).unwrap().0.promised);
        let recovered_entries = recovered.log.last().index as usize;
        let complete_entries = (0..=4).rev().find(|n| file(&records()[..=*n]).len() <= length);
        prop_assert_eq!(recovered_entries, complete_entries.unwrap_or(0));
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(records in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = header();
        bytes.extend(records);
        let _ = recover(&bytes);
    }
}
