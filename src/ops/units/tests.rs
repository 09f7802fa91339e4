//! Parsing of durations and shares.

use rstest::rstest;

use super::*;

#[rstest]
#[case("800ms", Some(800_000))]
#[case("9s", Some(9_000_000))]
#[case("1m 30s", Some(90_000_000))]
#[case("1h", Some(MAX_SPAN))]
#[case("1h 1us", None)]
#[case("99999999999999999999d", None)]
#[case("9", None)]
#[case("", None)]
#[case("-1s", None)]
fn spans_need_a_unit_and_have_a_maximum(#[case] text: &str, #[case] span: Option<Micros>) {
    assert_eq!(text.parse().ok(), span.map(Span));
}

#[rstest]
#[case("20%", Some(0.2))]
#[case(" 0.5 %", Some(0.005))]
#[case("20", None)]
#[case("NaN%", None)]
#[case("-1%", None)]
fn shares_need_a_percent_sign(#[case] text: &str, #[case] share: Option<f64>) {
    assert_eq!(text.parse().ok(), share.map(Share));
}
