//! The log: one `tracing` subscriber for the whole program, set up by `main` and never waited for.
//!
//! Lines go to standard error through a bounded queue and a thread of its own (`tracing-appender`), so that a reader
//! that has stopped costs lines and no calls. A call site that repeats itself is limited: a fault that comes with
//! every call must not bury what else is said. `debug` and `trace` are not limited: who asks for them wants all.

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

/// Lines that wait to be written; at the bound further ones are dropped.
const WAITING_LINES: usize = 4_096;
/// Lines of one call site within [`PERIOD`]; further ones are dropped.
const LINES_A_SITE: u32 = 50;
/// See [`LINES_A_SITE`].
const PERIOD: Duration = Duration::from_secs(1);

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
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

/// A text that names no form of the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no form of the log; write text or json")]
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

/// Which lines are written, and how.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Levels, by target where they differ: `info`, or `info,call=debug`. Nothing: `info`.
    pub levels: Option<Levels>,
    /// How they are written; nothing: as text.
    pub form: Option<Form>,
}

impl Settings {
    /// These, or where they say nothing the others.
    #[must_use]
    pub fn or(self, other: Settings) -> Settings {
        Settings { levels: self.levels.or(other.levels), form: self.form.or(other.form) }
    }
}

/// The `log` section of the operators' file.
#[derive(Clone, Debug, Default, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// A level (`error`, `warn`, `info`, `debug`, `trace`, `off`), or `TARGET=LEVEL`, with commas between.
    pub level: Option<Levels>,
    /// `text` or `json`.
    pub format: Option<Form>,
}

/// The section while the file is being read.
#[derive(Debug, Default)]
pub struct Draft(Option<Section>);

impl Draft {
    /// What it says.
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

/// Levels by target.
#[derive(Clone, Debug)]
pub struct Levels(Targets);

/// What a text of levels may be.
const LEVELS_HINT: &str =
    "write a level (error, warn, info, debug, trace, off), or TARGET=LEVEL, with commas between";

/// A text that names no levels of the log.
#[derive(Debug, thiserror::Error)]
pub enum InvalidLevels {
    /// A word is no level.
    #[error("'{0}' is no level of the log; {LEVELS_HINT}")]
    NoLevel(String),
    /// The whole cannot be read.
    #[error("'{text}' names no levels of the log ({source}); {LEVELS_HINT}")]
    Unreadable {
        /// The text.
        text: String,
        /// Why.
        source: tracing_subscriber::filter::ParseError,
    },
}

impl FromStr for Levels {
    type Err = InvalidLevels;

    fn from_str(text: &str) -> Result<Levels, InvalidLevels> {
        // A word alone is a level: as a target it would turn everything on there, which no one means to ask for.
        if let Some(word) = text.split(',').find(|w| !w.contains('=') && w.parse::<LevelFilter>().is_err()) {
            return Err(InvalidLevels::NoLevel(word.to_string()));
        }
        let invalid = |source| InvalidLevels::Unreadable { text: text.to_string(), source };
        text.parse().map(Levels).map_err(invalid)
    }
}

/// Sets the program's log up. What is queued is written when the guard is dropped.
///
/// # Errors
/// Where the log is set up already.
pub fn start(settings: Settings) -> Result<WorkerGuard, TryInitError> {
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_LINES);
    let (writer, guard) = queue.finish(io::stderr());
    let lines =
        tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer).log_internal_errors(false);
    let lines = match settings.form.unwrap_or_default() {
        Form::Text => lines.boxed(),
        Form::Json => lines.json().flatten_event(true).boxed(),
    };
    let levels = settings.levels.map_or_else(|| Targets::new().with_default(Level::INFO), |l| l.0);
    let subscriber = tracing_subscriber::registry().with(lines).with(Limit::default()).with(levels);
    subscriber.try_init()?;
    Ok(guard)
}

/// Lets so many lines of a call site pass a period, and no more.
#[derive(Debug, Default)]
struct Limit {
    sites: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl Limit {
    /// One more line of this site at `now`: whether it passes.
    fn passes(&self, site: Identifier, now: Instant) -> bool {
        let mut sites = self.sites.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, lines) = sites.entry(site).or_insert((now, 0));
        if now.saturating_duration_since(*since) >= PERIOD {
            (*since, *lines) = (now, 0);
        }
        *lines += 1;
        *lines <= LINES_A_SITE
    }
}

/// For the whole stack. As one layer's own filter it leaves that layer's mark set when it turns an event down, and the next
/// event trips over it: the program's end in a build with assertions.
impl<S: Subscriber> Layer<S> for Limit {
    fn event_enabled(&self, event: &tracing::Event<'_>, _: Context<'_, S>) -> bool {
        let about = event.metadata();
        *about.level() > Level::INFO || self.passes(about.callsite(), Instant::now())
    }
}

#[cfg(test)]
mod tests;
