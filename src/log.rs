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
use tracing_subscriber::util::SubscriberInitExt as _;

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

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Form, String> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            other => Err(format!("'{other}' is no form of the log; write text or json")),
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

impl FromStr for Levels {
    type Err = String;

    fn from_str(text: &str) -> Result<Levels, String> {
        let hint =
            "write a level (error, warn, info, debug, trace, off), or TARGET=LEVEL, with commas between";
        // A word alone is a level: as a target it would turn everything on there, which no one means to ask for.
        if let Some(word) = text.split(',').find(|w| !w.contains('=') && w.parse::<LevelFilter>().is_err()) {
            return Err(format!("'{word}' is no level of the log; {hint}"));
        }
        text.parse().map(Levels).map_err(|e| format!("'{text}' names no levels of the log ({e}); {hint}"))
    }
}

/// Sets the program's log up. What is queued is written when the guard is dropped.
pub fn start(settings: Settings) -> Result<WorkerGuard, String> {
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
    subscriber.try_init().map_err(|e| e.to_string())?;
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
mod tests {
    use super::*;

    #[test]
    fn a_site_that_repeats_itself_is_limited_and_another_is_not() {
        let site = || tracing::debug_span!("one").metadata().map(|m| m.callsite());
        let other = || tracing::debug_span!("two").metadata().map(|m| m.callsite());
        tracing::subscriber::with_default(tracing_subscriber::registry(), || {
            let (one, two) = (site().unwrap(), other().unwrap());
            let (limit, now) = (Limit::default(), Instant::now());
            let passed = (0..200).filter(|_| limit.passes(one.clone(), now)).count();
            assert_eq!(passed, LINES_A_SITE as usize);
            assert!(limit.passes(two, now));
            assert!(limit.passes(one, now + PERIOD));
        });
    }

    /// A flood of one line is cut short, and the next line of another place is written all the same.
    #[test]
    fn what_is_said_after_a_flood_is_written() {
        #[derive(Clone, Default)]
        struct Written(std::sync::Arc<Mutex<Vec<u8>>>);
        impl io::Write for Written {
            fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
                self.0.lock().unwrap().extend_from_slice(bytes);
                Ok(bytes.len())
            }

            fn flush(&mut self) -> io::Result<()> {
                Ok(())
            }
        }
        let written = Written::default();
        let writer = written.clone();
        let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(move || writer.clone());
        let stack = tracing_subscriber::registry().with(lines).with(Limit::default());
        tracing::subscriber::with_default(stack, || {
            for n in 0..200 {
                tracing::info!(n, "flood");
            }
            tracing::info!("after it");
        });
        let text = String::from_utf8(written.0.lock().unwrap().clone()).unwrap();
        assert_eq!(text.matches("flood").count(), LINES_A_SITE as usize);
        assert!(text.contains("after it"));
    }

    #[test]
    fn a_level_that_is_none_is_refused_with_what_to_write() {
        assert!("info,call=debug".parse::<Levels>().is_ok());
        for bad in ["loud", "info,call=loud", "inof"] {
            let said = bad.parse::<Levels>().unwrap_err();
            assert!(said.contains("TARGET=LEVEL"), "{said}");
        }
    }
}
