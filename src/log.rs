//! The log: one `tracing` subscriber for the whole program, set up by `main`. Logging never blocks.
//!
//! Lines go to standard error through a bounded queue and a separate thread (`tracing-appender`). If the reader of standard
//! error stops, lines are dropped and calls are not affected. Lines at `info` and above are rate-limited per call site, so
//! that an error that occurs with every call does not hide other lines. `debug` and `trace` lines are not limited, since
//! they are enabled to see every event.

use std::collections::HashMap;
use std::io;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Level, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt as _};
use tracing_subscriber::util::{SubscriberInitExt as _, TryInitError};

use crate::ops;

/// Maximum number of queued lines; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of lines per call site within [`RATE_PERIOD`]; further ones are dropped.
const MAX_LINES_PER_SITE: u32 = 50;
/// The period of the rate limit; see [`MAX_LINES_PER_SITE`].
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Format of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl<'de> serde::Deserialize<'de> for Levels {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Levels, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}

impl schemars::JsonSchema for Levels {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Levels".into()
    }

    fn json_schema(generator: &mut schemars::SchemaGenerator) -> schemars::Schema {
        String::json_schema(generator)
    }
}

/// Not the name of a log format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a log format; write text or json")]
pub struct InvalidForm(String);

impl FromStr for Form {
    type Err = InvalidForm;

    fn from_str(text: &str) -> Result<Form, InvalidForm> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            other => Err(InvalidForm(other.to_string())),
        }
    }
}

/// Settings of the log.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Levels, optionally per target: `info`, or `info,call=debug`. The default is `info`.
    pub levels: Option<Levels>,
    /// Format of the lines. The default is text.
    pub form: Option<Form>,
}

impl Settings {
    /// Fills settings that are not set from `fallback`.
    #[must_use]
    pub fn or(self, fallback: Settings) -> Settings {
        Settings { levels: self.levels.or(fallback.levels), form: self.form.or(fallback.form) }
    }
}

/// The `log` section of the operators' file.
#[derive(Clone, Debug, Default, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// A level (`error`, `warn`, `info`, `debug`, `trace`, `off`), or `TARGET=LEVEL`, separated by commas.
    pub level: Option<Levels>,
    /// `text` or `json`.
    pub format: Option<Form>,
}

/// The section as decoded so far.
#[derive(Debug, Default)]
pub struct Draft(Option<Section>);

impl Draft {
    /// The settings of the section.
    pub fn settings(self) -> Settings {
        let section = self.0.unwrap_or_default();
        Settings { levels: section.level, form: section.format }
    }
}

impl ops::Section for Draft {
    fn key(&self) -> &'static str {
        "log"
    }

    fn read(&mut self, value: serde_json::Value, at: &ops::Path, findings: &mut Vec<ops::Finding>) {
        self.0 = ops::decode(value, at, findings);
    }
}

/// Log levels per target.
#[derive(Clone, Debug)]
pub struct Levels(Targets);

/// Describes the format of [`Levels`]; part of error messages.
const LEVELS_HINT: &str =
    "write a level (error, warn, info, debug, trace, off), or TARGET=LEVEL, separated by commas";

/// Why a text is not a list of log levels.
#[derive(Debug, thiserror::Error)]
pub enum InvalidLevels {
    /// A word is not a level.
    #[error("'{0}' is no level of the log; {LEVELS_HINT}")]
    NoLevel(String),
    /// The text cannot be parsed.
    #[error("'{text}' is not a list of log levels ({source}); {LEVELS_HINT}")]
    Unreadable {
        /// The text.
        text: String,
        /// The cause.
        source: tracing_subscriber::filter::ParseError,
    },
}

impl FromStr for Levels {
    type Err = InvalidLevels;

    fn from_str(text: &str) -> Result<Levels, InvalidLevels> {
        // A word without `=` must be a level. `Targets` would take it as a target and enable all levels for it, so a
        // misspelt level would go unnoticed.
        if let Some(word) = text.split(',').find(|w| !w.contains('=') && w.parse::<LevelFilter>().is_err()) {
            return Err(InvalidLevels::NoLevel(word.to_string()));
        }
        let invalid = |source| InvalidLevels::Unreadable { text: text.to_string(), source };
        text.parse().map(Levels).map_err(invalid)
    }
}

/// Installs the global subscriber. Queued lines are written when the guard is dropped.
///
/// # Errors
/// If a global subscriber is already installed.
pub fn start(settings: Settings) -> Result<WorkerGuard, TryInitError> {
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = queue.finish(io::stderr());
    let lines =
        tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer).log_internal_errors(false);
    let lines = match settings.form.unwrap_or_default() {
        Form::Text => lines.boxed(),
        Form::Json => lines.json().flatten_event(true).boxed(),
    };
    let levels = settings.levels.map_or_else(|| Targets::new().with_default(Level::INFO), |l| l.0);
    let subscriber = tracing_subscriber::registry().with(lines).with(RateLimit::default()).with(levels);
    subscriber.try_init()?;
    Ok(guard)
}

/// Limits the lines per call site to [`MAX_LINES_PER_SITE`] within [`RATE_PERIOD`].
#[derive(Debug, Default)]
struct RateLimit {
    /// Start of the period and number of lines within it, by call site.
    sites: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl RateLimit {
    /// Counts a line of this call site at `now` and returns whether it is written.
    fn allows(&self, site: Identifier, now: Instant) -> bool {
        let mut sites = self.sites.lock().unwrap_or_else(PoisonError::into_inner);
        let (period_start, lines) = sites.entry(site).or_insert((now, 0));
        if now.saturating_duration_since(*period_start) >= RATE_PERIOD {
            (*period_start, *lines) = (now, 0);
        }
        *lines += 1;
        *lines <= MAX_LINES_PER_SITE
    }
}

/// Applied as a layer, so that it filters for the whole subscriber. As the filter of a single layer it would leave that
/// layer's per-event filter state set when it rejects an event, and the next event would then fail an assertion in builds
/// with debug assertions.
impl<S: Subscriber> Layer<S> for RateLimit {
    fn event_enabled(&self, event: &tracing::Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        *metadata.level() > Level::INFO || self.allows(metadata.callsite(), Instant::now())
    }
}

#[cfg(test)]
mod tests;
