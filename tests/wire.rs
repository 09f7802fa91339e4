//! The two codecs (JSON lines and SIP) on valid, truncated and corrupted input.

use bytes::BytesMut;
use cobaltspool::platform::line::{self, Verb, decode, encode, key_value_pairs};
use cobaltspool::sip::message::{
    self, Framed, Message, host_port, param, read_datagram, sent_by, split_list, uri_parts,
};
use rstest::rstest;

const LINE: &str = r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{"note":"queue_long","wait":"250","n":3,
"load":"x0:12;x1:40;latency_ms:7.5;queue:-1;odd;util:x"},"rc":"34"}"#;

const INVITE: &str = "INVITE sip:5550100@central;pool=2 SIP/2.0\r\nv: SIP/2.0/UDP 10.0.0.1;branch=z9hG4bK1\r\n\
    Via: SIP/2.0/TCP [::1]:5070;branch=z9hG4bK0\r\nf: \"A, B\" <sip:a@b;x=1>;tag=t1\r\nTO:\r\n <sip:c@d>\r\n\
    call-id: 77\r\nCSeq: 4 INVITE\r\nl: 3\r\n\r\nv=0";

#[test]
fn decodes_each_field_of_a_line() {
    let read = decode(LINE.replace('\n', "").as_bytes()).unwrap();
    assert_eq!((read.verb, read.cause), (Verb::Finish, Some(34)));
    assert_eq!(read.text("note").as_deref(), Some("queue_long"));
    assert_eq!((read.number("wait"), read.number("n"), read.number("note")), (Some(250.0), Some(3.0), None));
    let load = read.load_report();
    assert_eq!(
        (load.free_lines, load.total_lines, load.queueing_delay_ms),
        (Some(12.0), Some(40.0), Some(7.5))
    );
    assert_eq!(
        (load.queued_setups, load.utilization),
        (None, None),
        "negative and invalid values are ignored"
    );
    assert_eq!(key_value_pairs("a:1; b : 2 ;c").collect::<Vec<_>>(), [("a", "1"), ("b", "2")]);
}

#[test]
fn encoded_line_decodes_to_the_same_fields() {
    let tag = line::Tag::parse("9B1f03aa5c7e2d41").unwrap();
    let bytes = encode("START", tag, &[("left", "\"5\"")], Some(7), Some(b"\"a\\n\""));
    let read = decode(&bytes).unwrap();
    assert_eq!((read.verb, read.tag, read.cause), (Verb::Start, Some(tag), Some(7)));
    assert_eq!(read.description.as_deref(), Some(&b"\"a\\n\""[..]));
    assert!(line::Tag::parse("9b1f03aa5c7e2d4").is_none() && line::Tag::parse("9b1f03aa5c7e2d4g").is_none());
}

#[test]
fn parses_compact_folded_and_mixed_case_header_names() {
    let read = read_datagram(INVITE.as_bytes()).unwrap().unwrap();
    assert_eq!((read.method(), read.uri()), (Some("INVITE"), Some("sip:5550100@central;pool=2")));
    assert_eq!(read.top_via().and_then(sent_by), Some(("10.0.0.1", 5060)));
    assert_eq!((read.branch(), read.tag("From"), read.tag("To")), (Some("z9hG4bK1"), Some("t1"), None));
    assert_eq!(
        (read.get("To"), read.get("Call-ID")),
        (Some("<sip:c@d>"), Some("77")),
        "a folded header field"
    );
    assert_eq!(
        (read.cseq(), read.validation_error(), &read.body[..]),
        (Some((4, "INVITE")), None, &b"v=0"[..])
    );
    let again = read_datagram(&read.to_bytes()).unwrap().unwrap();
    assert_eq!(again.body, read.body);
    let ok = Message::response(&read, 200, Some("x"));
    assert_eq!((ok.all("Via").count(), ok.tag("To"), ok.code()), (2, Some("x"), Some(200)));
}

/// A stream may be interrupted at any byte: every truncated message is incomplete, and none makes the parser panic.
#[test]
fn truncated_message_is_incomplete() {
    for cut in 0..INVITE.len() {
        let mut buffer = BytesMut::from(&INVITE[..cut]);
        assert!(matches!(message::take_message(&mut buffer), Framed::Incomplete), "cut at {cut}");
        let _ = read_datagram(&INVITE.as_bytes()[..cut]);
    }
    let mut two = BytesMut::from(format!("\r\n\r\n{INVITE}{INVITE}").as_str());
    for _ in 0..2 {
        assert!(matches!(message::take_message(&mut two), Framed::Message(_)));
    }
    assert!(two.is_empty());
}

/// Neither codec panics on a message in which any one byte is replaced.
#[test]
fn corrupted_byte_does_not_panic() {
    for at in 0..INVITE.len() {
        for byte in [0, b' ', b'"', b'<', b'\r', 0xff] {
            let mut bytes = INVITE.as_bytes().to_vec();
            bytes[at] = byte;
            if let Some(Ok(read)) = read_datagram(&bytes) {
                let _ = (read.validation_error(), Message::response(&read, 400, Some("t")).to_bytes());
            }
            let _ = message::take_message(&mut BytesMut::from(&bytes[..]));
        }
    }
    let text = LINE.replace('\n', "");
    for at in 0..text.len() {
        for byte in [0, b'"', b'{', b'\\', 0xff] {
            let mut bytes = text.clone().into_bytes();
            bytes[at] = byte;
            if let Some(read) = decode(&bytes) {
                let _ = (read.load_report(), read.number("wait"));
            }
        }
    }
}

#[rstest]
#[case::no_length("INVITE sip:a@b SIP/2.0\r\nTo: x\r\n\r\n")]
#[case::invalid_length("INVITE sip:a@b SIP/2.0\r\nContent-Length: -3\r\n\r\n")]
#[case::huge_body("INVITE sip:a@b SIP/2.0\r\nContent-Length: 99999999\r\n\r\n")]
#[case::no_start_line("hello\r\n\r\n")]
#[case::no_colon("INVITE sip:a@b SIP/2.0\r\nnonsense\r\n\r\n")]
fn stream_without_valid_framing_is_broken(#[case] text: &str) {
    assert!(matches!(message::take_message(&mut BytesMut::from(text)), Framed::Invalid));
}

#[test]
fn splits_header_field_values() {
    let list: Vec<&str> = split_list("\"a, b\" <sip:x,y>;q=1 , <sip:z>").collect();
    assert_eq!(list, ["\"a, b\" <sip:x,y>;q=1", "<sip:z>"]);
    assert_eq!(param("<sip:a;tag=no>;Tag = yes ;lr", "tag"), Some("yes"));
    assert_eq!((param("<sip:a>;lr", "lr"), param("<sip:a>", "lr")), (Some(""), None));
    assert_eq!(host_port("[::1]:5070"), Some(("[::1]", 5070)));
    assert_eq!((host_port("[::1]"), host_port("a:x"), host_port(":5")), (Some(("[::1]", 5060)), None, None));
    assert_eq!(uri_parts("sip:u@h:5;a=1?x=y"), (Some("u"), "h:5", "a=1"));
    assert_eq!(uri_parts("sip:h"), (None, "h", ""));
}
