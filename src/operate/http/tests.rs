//! Parsing of complete, incomplete and invalid requests.

use proptest::prelude::*;
use rstest::rstest;

use super::*;

fn request(method: &str, path: &str) -> ParseResult {
    ParseResult::Request(method.to_string(), path.to_string())
}

#[rstest]
#[case::plain("GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", request("GET", "/control/ready"))]
#[case::query("GET /control/ready?x=1 HTTP/1.1\r\n\r\n", request("GET", "/control/ready"))]
#[case::body("PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", request("PUT", "/a"))]
#[case::same_length_twice(
    "PUT /a HTTP/1.1\r\nContent-Length: 0\r\ncontent-length: 0\r\n\r\n",
    request("PUT", "/a")
)]
#[case::incomplete_head("GET /control/ready HT", ParseResult::Incomplete)]
#[case::incomplete_body("PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\n{}", ParseResult::Incomplete)]
#[case::not_http("{\"verb\":\"ECHO\"}\n\n", ParseResult::Invalid(400))]
#[case::other_version("GET / HTTP/3.0\r\n\r\n", ParseResult::Invalid(505))]
#[case::long_body("PUT /a HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", ParseResult::Invalid(413))]
#[case::huge_body(
    "PUT /a HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    ParseResult::Invalid(413)
)]
#[case::negative_body("PUT /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", ParseResult::Invalid(400))]
#[case::two_lengths(
    "PUT /a HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 9\r\n\r\n",
    ParseResult::Invalid(400)
)]
#[case::chunked("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", ParseResult::Invalid(411))]
#[case::expect_header("PUT /a HTTP/1.1\r\nExpect: 100-continue\r\n\r\n", ParseResult::Invalid(417))]
fn requests_are_parsed(#[case] text: &str, #[case] expected: ParseResult) {
    assert_eq!(parse_request(text.as_bytes()), expected);
}

#[rstest]
#[case::endless_line("GET /", "a", 1)]
#[case::endless_headers("GET / HTTP/1.1\r\n", "X: y\r\n", 1)]
fn endless_head_is_refused(#[case] start: &str, #[case] chunk: &str, #[case] min_length: usize) {
    let mut text = start.to_string();
    while parse_request(text.as_bytes()) == ParseResult::Incomplete {
        text.push_str(chunk);
        assert!(text.len() <= MAX_HEAD_BYTES + chunk.len(), "the parser never refuses the head");
    }
    assert_eq!(parse_request(text.as_bytes()), ParseResult::Invalid(431));
    assert!(text.len() > min_length);
}

proptest! {
    /// A request that arrives byte by byte is parsed like one that arrives at once, and arbitrary bytes cause no panic.
    #[test]
    fn fragmentation_does_not_change_the_result(text in "(GET|PUT) /[a-z]{0,9} HTTP/1.[01]\r\n([A-Za-z-]{1,9}: [ -~]{0,9}\r\n){0,3}\r\n",
                                 noise in proptest::collection::vec(any::<u8>(), 0..40)) {
        let expected = parse_request(text.as_bytes());
        let first = (1..=text.len()).map(|n| parse_request(&text.as_bytes()[..n])).find(|r| *r != ParseResult::Incomplete);
        prop_assert_eq!(first.unwrap_or(ParseResult::Incomplete), expected);
        let _ = parse_request(&noise);
    }
}
