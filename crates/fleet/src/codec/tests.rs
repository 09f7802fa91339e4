//! Round trips of frames, and the rejection of foreign and damaged ones.

use proptest::prelude::*;

use super::*;

fn frame() -> Frame {
    let mut from = example_record("n1", 3, 4, MemberState::Alive);
    from.info =
        MemberInfo { calls: 70_000, list_age: Some(0), ops_digest: u64::MAX, uptime: 5_000_000, ..from.info };
    let mut down = example_record("n2", 1, 9, MemberState::Down);
    (down.reported_by, down.state_age) = (MemberId::new("n3"), 7_000_000);
    Frame {
        kind: FrameKind::PingRequest,
        from,
        receiver_nonce: 9,
        counter: 12,
        probe_id: 13,
        target: MemberId::new("n4").map(|id| (id, SocketAddr::from(([127, 0, 0, 1], 9)))),
        receiver_version: Some(example_record("n2", 1, 1, MemberState::Suspect).state_version),
        digest: 14,
        records: vec![down],
    }
}

#[test]
fn encoded_frame_decodes_to_the_same_frame() {
    for key in [Key::none(), Key::from_bytes(b"secret")] {
        assert_eq!(decode(&encode(&frame(), &key), MAX_DATAGRAM_BYTES, &key), Ok(frame()));
    }
}

/// Fields of a newer version are forwarded unchanged, up to the size limit.
#[test]
fn unknown_fields_are_kept_up_to_the_limit() {
    let mut sent = frame();
    sent.from.info.unknown_fields = vec![(200, vec![1, 2, 3]), (201, vec![0; MAX_UNKNOWN_BYTES])];
    let read = decode(&encode(&sent, &Key::none()), MAX_DATAGRAM_BYTES, &Key::none()).unwrap();
    assert_eq!(read.from.info.unknown_fields, vec![(200, vec![1, 2, 3])]);
    let again = decode(&encode(&read, &Key::none()), MAX_DATAGRAM_BYTES, &Key::none()).unwrap();
    assert_eq!(again.from.info.unknown_fields, read.from.info.unknown_fields);
}

#[test]
fn frames_of_other_fleets_and_versions_are_rejected_with_the_cause() {
    let key = Key::from_bytes(b"secret");
    let good = encode(&frame(), &key);
    let read = |bytes: &[u8]| decode(bytes, MAX_DATAGRAM_BYTES, &key).map(|_| ());
    assert_eq!(read(&encode(&frame(), &Key::from_bytes(b"another fleet's"))), Err(DecodeError::Forged));
    assert_eq!(read(&encode(&frame(), &Key::none())), Err(DecodeError::Forged));
    assert_eq!(read(&good[..good.len() - 1]), Err(DecodeError::Forged));
    assert_eq!(read(&good[..HEADER_BYTES - 1]), Err(DecodeError::Truncated));
    assert_eq!(read(&[0; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::Oversized));
    assert_eq!(read(&[&good[..2], &[9], &good[3..]].concat()), Err(DecodeError::Version));
    let flipped = good.iter().enumerate().map(|(n, b)| if n == HEADER_BYTES + 4 { b ^ 1 } else { *b });
    assert_eq!(read(&flipped.collect::<Vec<u8>>()), Err(DecodeError::Forged));
}

#[test]
fn estimated_record_size_is_one_to_three_times_the_encoded_size() {
    let mut frame_with_records = frame();
    frame_with_records.records = vec![frame().records[0].clone(); 8];
    let size_with_records = encode(&frame_with_records, &Key::none()).len();
    frame_with_records.records.clear();
    let per_record = (size_with_records - encode(&frame_with_records, &Key::none()).len()) / 8;
    let estimated = estimated_record_size(&frame().records[0]);
    assert!(
        per_record <= estimated && estimated <= per_record * 3,
        "{per_record} bytes, estimated as {estimated}"
    );
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_panic(random_bytes in proptest::collection::vec(any::<u8>(), 0..600),
                                                cut in 0usize..300) {
        prop_assert!(decode(&random_bytes, MAX_DATAGRAM_BYTES, &Key::none()).is_err());
        // Random bytes with a valid MAC must not panic either: a peer with the key may still send a malformed body.
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend_from_slice(Key::none().mac(&random_bytes).as_bytes());
        bytes.extend_from_slice(&random_bytes);
        let _ = decode(&bytes, MAX_DATAGRAM_BYTES, &Key::none());
        let good = encode(&frame(), &Key::none());
        prop_assert!(decode(&good[..good.len().saturating_sub(cut + 1)], MAX_DATAGRAM_BYTES, &Key::none()).is_err());
    }
}
