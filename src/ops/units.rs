//! Spans of time and shares, as the operators' file has them: texts with a unit, never bare numbers.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer};

use crate::Micros;

/// The longest span that a setting may have: an hour. Longer ones are slips, and sums of them could overflow.
pub const SPAN_MOST: Micros = 3_600_000_000;

/// A span of time, as in `"800ms"` or `"1m 30s"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

/// A share, as in `"20%"`; 1 is all.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// A span, or a share of the caller's patience.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimeOut {
    /// So long.
    Span(Span),
    /// This share of the time that the caller waits.
    Share(Share),
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Span, String> {
        let span = humantime::parse_duration(text.trim());
        let span = span.map_err(|_| format!("'{text}' is no span of time, expected a number with a unit, as in \"800ms\", \"9s\" or \"1m 30s\""))?;
        let micros = Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX);
        if micros > SPAN_MOST {
            return Err(format!("'{text}' is too long, expected \"1h\" at most"));
        }
        Ok(Span(micros))
    }
}

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Share, String> {
        let number = text.trim().strip_suffix('%').and_then(|n| n.trim().parse::<f64>().ok());
        match number.filter(|n| n.is_finite() && (0.0..=1000.0).contains(n)) {
            Some(number) => Ok(Share(number / 100.0)),
            None => {
                Err(format!("'{text}' is no share, expected a number from 0 to 1000 with %, as in \"20%\""))
            }
        }
    }
}

impl FromStr for TimeOut {
    type Err = String;

    fn from_str(text: &str) -> Result<TimeOut, String> {
        if text.trim().ends_with('%') {
            text.parse().map(TimeOut::Share)
        } else {
            text.parse().map(TimeOut::Span)
        }
    }
}

impl TimeOut {
    /// The time that a try has where the caller waits so long.
    pub fn of(&self, patience: Micros) -> Micros {
        match self {
            TimeOut::Span(span) => span.0,
            TimeOut::Share(share) => (share.0 * patience as f64) as Micros,
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(std::time::Duration::from_micros(self.0)))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", (self.0 * 1e6).round() / 1e4)
    }
}

impl fmt::Display for TimeOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TimeOut::Span(span) => span.fmt(f),
            TimeOut::Share(share) => write!(f, "{share} of the caller's time"),
        }
    }
}

/// Reads a text by its `FromStr`; anything else is told what to write.
struct Text<T>(std::marker::PhantomData<T>, &'static str);

impl<T: FromStr<Err = String>> serde::de::Visitor<'_> for Text<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.1)
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(E::custom)
    }
}

macro_rules! text {
    ($type:ty, $name:literal, $expected:literal, $pattern:literal) => {
        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(Text(std::marker::PhantomData, $expected))
            }
        }

        impl JsonSchema for $type {
            fn schema_name() -> Cow<'static, str> {
                $name.into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "pattern": $pattern, "description": $expected})
            }
        }
    };
}

text!(
    Span,
    "Span",
    "a span of time with its unit in quotes, as in \"800ms\" or \"9s\"",
    r"^\s*(\d+\s*[a-zµ]+\s*)+$"
);
text!(Share, "Share", "a share in quotes, as in \"20%\"", r"^\s*\d+(\.\d+)?\s*%$");
text!(
    TimeOut,
    "TimeOut",
    "a span of time or a share of the caller's time in quotes, as in \"800ms\" or \"30%\"",
    r"^\s*((\d+\s*[a-zµ]+\s*)+|\d+(\.\d+)?\s*%)$"
);

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("800ms", Some(800_000))]
    #[case("9s", Some(9_000_000))]
    #[case("1m 30s", Some(90_000_000))]
    #[case("1h", Some(SPAN_MOST))]
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
}
