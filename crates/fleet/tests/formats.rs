//! Stored logs and frames written before the rename of the formats' identifiers must still be readable, and must be
//! encoded to the same bytes. The fixtures were written by that earlier version: a voter's log, with and without a
//! snapshot, and one frame of each kind.

use cobaltspool_fleet::codec::{self, Key, MAX_DATAGRAM_BYTES};
use cobaltspool_fleet::envelope::{Payload, PeerMessage};
use cobaltspool_fleet::lease::{LeaseTable, ResourceName, decode_changes};
use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::quorum::machine::Replica;
use cobaltspool_fleet::quorum::{Incarnation, LogPosition, LogRecord, MessageBody};
use cobaltspool_fleet::wal::{self, Damage, WalContents};
use rstest::rstest;

const KEY: &[u8] = b"a key of at least sixteen bytes";
const VOTER_LOG: &[u8] = include_bytes!("fixtures/v0_1/voter.log");
const VOTER_LOG_WITH_SNAPSHOT: &[u8] = include_bytes!("fixtures/v0_1/voter-with-snapshot.log");

fn member(id: &str) -> MemberId {
    MemberId::new(id).expect("a valid member id")
}

fn contents_of(bytes: &[u8]) -> WalContents {
    let (recovered, damage) = wal::recover(bytes).expect("a log of this format");
    assert_eq!(damage, Damage::default());
    assert!(recovered.is_intact);
    assert_eq!(recovered.promised, recovered.log.last());
    WalContents { hard_state: recovered.hard_state, log: recovered.log }
}

#[test]
fn voters_log_of_the_earlier_version_is_recovered_and_rewritten_byte_for_byte() {
    let contents = contents_of(VOTER_LOG);
    let hard_state = &contents.hard_state;
    assert_eq!((hard_state.term, &hard_state.voted_for), (7, &Some(member("n2"))));
    let own = hard_state.incarnations.get(&member("n1"));
    assert_eq!(own, Some(&Incarnation { number: 3, nonce: 77 }));
    assert_eq!(contents.log.last(), LogPosition { term: 7, index: 3 });
    let command = contents.log.entry(1).and_then(|entry| entry.command.clone()).expect("a command");
    assert_eq!((command.session, command.seq), (4, 1));
    let changes = decode_changes(&command.body);
    let first = &changes[0];
    assert_eq!((changes.len(), first.resource.as_str(), first.expected_token), (2, "release", 0));
    assert_eq!(first.new_owner.as_ref().map(|owner| (&owner.member, owner.nonce)), Some((&member("n1"), 9)));
    assert_eq!(contents.encode(), VOTER_LOG);
}

#[test]
fn voters_snapshot_of_the_earlier_version_is_recovered_and_rewritten_byte_for_byte() {
    let contents = contents_of(VOTER_LOG_WITH_SNAPSHOT);
    assert_eq!(contents.log.base(), LogPosition { term: 7, index: 3 });
    assert_eq!(contents.log.last(), LogPosition { term: 8, index: 4 });
    let replica = Replica::<LeaseTable>::from_state(contents.log.state()).expect("a snapshot");
    assert_eq!(replica.applied, 3);
    let trial = ResourceName::new("trial/s-3").expect("a name");
    assert_eq!(replica.machine.token(&trial), 1);
    assert_eq!(replica.state(), contents.log.state());
    assert_eq!(contents.encode(), VOTER_LOG_WITH_SNAPSHOT);
}

#[rstest]
#[case::request_vote(include_bytes!("fixtures/v0_1/peer-ask.frame"), "RequestVote { is_pre_vote: true, last: LogPosition { term: 7, index: 3 } }")]
#[case::vote_response(include_bytes!("fixtures/v0_1/peer-vote.frame"), "VoteResponse { is_pre_vote: false, granted: true }")]
#[case::append_entries(include_bytes!("fixtures/v0_1/peer-append.frame"), "AppendEntries { prev: LogPosition { term: 7, index: 3 }, entries: [Entry { term: 6, ")]
#[case::install_snapshot(include_bytes!("fixtures/v0_1/peer-snapshot.frame"), "InstallSnapshot { last: LogPosition { term: 7, index: 3 }, ")]
#[case::append_response(include_bytes!("fixtures/v0_1/peer-appended.frame"), "AppendResponse { matches: true, index: 3, round: 11 }")]
#[case::rejoin_request(include_bytes!("fixtures/v0_1/peer-hello.frame"), "RejoinRequest")]
#[case::rejoin_response(
    include_bytes!("fixtures/v0_1/peer-welcome.frame"),
    "RejoinResponse { promised: LogPosition { term: 7, index: 3 }, last: LogPosition { term: 6, index: 1 }, has_rejoined: true, remembered: LogPosition { term: 7, index: 2 } }"
)]
fn voters_message_of_the_earlier_version_is_read_and_written(#[case] frame: &[u8], #[case] body: &str) {
    let key = Key::from_bytes(KEY);
    let envelope = codec::decode_envelope(frame, &key).expect("a frame of this version");
    let Payload::Consensus(message) = &envelope.payload else { panic!("{envelope:?}") };
    assert_eq!((&envelope.from, &envelope.to), (&member("n1"), &member("n2")));
    assert_eq!((message.term, message.incarnations.len()), (7, 2));
    let found: &MessageBody = &message.body;
    assert!(format!("{found:?}").starts_with(body), "{found:?}");
    assert_eq!(codec::encode_envelope(&envelope, &key), frame);
}

#[rstest]
#[case::lease_request(include_bytes!("fixtures/v0_1/peer-claim.frame"))]
#[case::lease_response(include_bytes!("fixtures/v0_1/peer-claimed.frame"))]
#[case::not_leader(include_bytes!("fixtures/v0_1/peer-elsewhere.frame"))]
fn lease_message_of_the_earlier_version_is_read_and_written(#[case] frame: &[u8]) {
    let key = Key::from_bytes(KEY);
    let envelope: PeerMessage = codec::decode_envelope(frame, &key).expect("a frame of this version");
    match &envelope.payload {
        Payload::LeaseRequest(request) => {
            assert_eq!((&request.requester.member, request.requester.nonce), (&member("n3"), 9));
            assert_eq!((request.number, request.wanted[0].as_str()), (21, "release"));
            assert_eq!((request.released[0].resource.as_str(), request.released[0].token), ("trial/s-3", 1));
        }
        Payload::LeaseResponse(response) => {
            assert_eq!((response.number, response.owned[0].resource.as_str()), (21, "release"));
            assert_eq!(response.owned[0].token, 4);
        }
        Payload::NotLeader { number, leader } => {
            assert_eq!((*number, leader), (21, &Some(member("n2"))));
        }
        Payload::Consensus(message) => panic!("{message:?}"),
    }
    assert_eq!(codec::encode_envelope(&envelope, &key), frame);
}

#[rstest]
#[case::ping(include_bytes!("fixtures/v0_1/view-ping.frame"))]
#[case::ack(include_bytes!("fixtures/v0_1/view-ack.frame"))]
#[case::ping_request(include_bytes!("fixtures/v0_1/view-ask.frame"))]
#[case::nack(include_bytes!("fixtures/v0_1/view-nack.frame"))]
#[case::full_state(include_bytes!("fixtures/v0_1/view-table.frame"))]
#[case::gossip(include_bytes!("fixtures/v0_1/view-tell.frame"))]
#[case::id_query(include_bytes!("fixtures/v0_1/view-query.frame"))]
fn membership_frame_of_the_earlier_version_is_read_and_written(#[case] bytes: &[u8]) {
    let key = Key::from_bytes(KEY);
    let frame = codec::decode(bytes, MAX_DATAGRAM_BYTES, &key).expect("a frame of this version");
    assert_eq!(
        (frame.receiver_nonce, frame.counter, frame.probe_id, frame.digest, frame.records.len()),
        (9, 12, 13, 14, 2)
    );
    assert_eq!(codec::encode(&frame, &key), bytes);
}

/// A log file is the header followed by the encoded records. The encoding of a record does not depend on variant names.
#[test]
fn log_file_is_the_header_followed_by_its_records_in_order() {
    let contents = contents_of(VOTER_LOG);
    let mut bytes = wal::header();
    bytes.extend(wal::encode(&LogRecord::HardState(contents.hard_state.clone())));
    for index in 1..=3 {
        let entry = contents.log.entry(index).expect("an entry").clone();
        bytes.extend(wal::encode(&LogRecord::Entry { index, entry }));
    }
    assert_eq!(bytes, VOTER_LOG);
}
