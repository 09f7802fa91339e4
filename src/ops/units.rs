//! Spans of time and shares, as the operators' file has them: texts with a unit, never bare numbers.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer};

use crate::Micros;

/// The longest span that a setting may have: an hour. Longer ones are slips, and sums of them could overflow.
pub const MAX_SPAN: Micros = 3_600_000_000;

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

/// A text that names no span, share or time-out. The message says what is expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// No span.
    #[error("'{0}' is no span of time, expected a number with a unit, as in \"800ms\", \"9s\" or \"1m 30s\"")]
    NotASpan(String),
    /// A span over the maximum.
    #[error("'{0}' is too long, expected \"1h\" at most")]
    TooLong(String),
    /// No share.
    #[error("'{0}' is no share, expected a number from 0 to 1000 with %, as in \"20%\"")]
    NotAShare(String),
}

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Span, UnitError> {
        let span = humantime::parse_duration(text.trim());
        let span = span.map_err(|_| UnitError::NotASpan(text.to_string()))?;
        let micros = Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX);
        if micros > MAX_SPAN {
            return Err(UnitError::TooLong(text.to_string()));
        }
        Ok(Span(micros))
    }
}

impl FromStr for Share {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Share, UnitError> {
        let number = text.trim().strip_suffix('%').and_then(|n| n.trim().parse::<f64>().ok());
        match number.filter(|n| n.is_finite() && (0.0..=1000.0).contains(n)) {
            Some(number) => Ok(Share(number / 100.0)),
            None => Err(UnitError::NotAShare(text.to_string())),
        }
    }
}

impl FromStr for TimeOut {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<TimeOut, UnitError> {
        if text.trim().ends_with('%') {
            text.parse().map(TimeOut::Share)
        } else {
            text.parse().map(TimeOut::Span)
        }
    }
}

impl TimeOut {
    /// The time that a try has where the caller waits so long.
    pub fn resolve(&self, max_wait: Micros) -> Micros {
        match self {
            TimeOut::Span(span) => span.0,
            TimeOut::Share(share) => (share.0 * max_wait as f64) as Micros,
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

impl<T: FromStr<Err = UnitError>> serde::de::Visitor<'_> for Text<T> {
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
mod tests;
