//! Durations and percentages in the operators' file: strings with a unit, never bare numbers.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer};

use crate::Micros;

/// The longest duration that a setting may have: one hour. Longer ones are mistakes, and their sums could overflow.
pub const MAX_SPAN: Micros = 3_600_000_000;

/// A duration, such as `"800ms"` or `"1m 30s"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

/// A percentage, such as `"20%"`, stored as a fraction: 1 is 100%.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// A timeout: a duration, or a share of the caller's maximum waiting time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimeOut {
    /// A fixed duration.
    Span(Span),
    /// A share of the time that the caller waits.
    Share(Share),
}

/// A string that is not a valid duration, share or timeout. The message states the expected format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// Not a duration.
    #[error("'{0}' is no span of time, expected a number with a unit, as in \"800ms\", \"9s\" or \"1m 30s\"")]
    NotASpan(String),
    /// A duration over the maximum.
    #[error("'{0}' is too long, expected \"1h\" at most")]
    TooLong(String),
    /// Not a share.
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
    /// The timeout of an attempt for a caller that waits at most `max_wait`.
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

/// Deserializes a string with `FromStr`. The second field describes the expected format in type errors.
struct FromStrVisitor<T>(std::marker::PhantomData<T>, &'static str);

impl<T: FromStr<Err = UnitError>> serde::de::Visitor<'_> for FromStrVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.1)
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(E::custom)
    }
}

macro_rules! impl_string_format {
    ($type:ty, $name:literal, $expected:literal, $pattern:literal) => {
        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(FromStrVisitor(std::marker::PhantomData, $expected))
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

impl_string_format!(
    Span,
    "Span",
    "a duration with its unit in quotes, such as \"800ms\" or \"9s\"",
    r"^\s*(\d+\s*[a-zµ]+\s*)+$"
);
impl_string_format!(Share, "Share", "a percentage in quotes, such as \"20%\"", r"^\s*\d+(\.\d+)?\s*%$");
impl_string_format!(
    TimeOut,
    "TimeOut",
    "a duration or a percentage of the caller's waiting time in quotes, such as \"800ms\" or \"30%\"",
    r"^\s*((\d+\s*[a-zµ]+\s*)+|\d+(\.\d+)?\s*%)$"
);

#[cfg(test)]
mod tests;
