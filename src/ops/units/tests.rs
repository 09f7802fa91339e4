//! Spans, shares and time-outs as text.

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
fn spans_have_units_and_an_end(#[case] text: &str, #[case] span: Option<Micros>) {
    assert_eq!(text.parse().ok(), span.map(Span));
}

#[rstest]
#[case("20%", Some(0.2))]
#[case(" 0.5 %", Some(0.005))]
#[case("20", None)]
#[case("NaN%", None)]
#[case("-1%", None)]
fn shares_are_in_percent(#[case] text: &str, #[case] share: Option<f64>) {
    assert_eq!(text.parse().ok(), share.map(Share));
}
