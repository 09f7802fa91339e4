//! The `limits` section as it stands in the file: what holds by default, by class and by route.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;

use super::units::{Share, Span, TimeOut};
use crate::ops::{Finding, Path, decode};

/// Most routes; at the bound the file is refused.
pub const MAX_ROUTES: usize = 200_000;

/// The section. A setting of a route goes before its class's, and that before the default. `open_calls`, `rate` and
/// `retry_budget` count where they are written: a call passes all those of its route, its class and the default.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// What holds where neither route nor class says otherwise.
    pub default: Terms,
    /// By class, named as in the settings.
    pub classes: BTreeMap<String, Terms>,
    /// By route. The narrowest that a call fits is its route.
    pub routes: Vec<Route>,
}

/// One route.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name; no other has it. Buckets and budgets go by it over a reload.
    pub name: String,
    /// Which calls take it.
    #[serde(rename = "match")]
    pub matches: Match,
    /// What holds on it.
    #[serde(default)]
    pub limits: Terms,
}

/// Which calls take a route: those that fit all that is said. What is left out fits any call.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Match {
    /// The call's class.
    pub class: Option<String>,
    /// The number of its pool of first choice.
    pub pool: Option<i64>,
    /// How the number called begins: on the platform 16 hex digits, in SIP the user part.
    pub prefix: String,
}

/// What may be set. What is left out is up to the level below.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// How long one try may take: a span, or a share of the time that the caller waits.
    pub time_out: Option<TimeOut>,
    /// Most tries for one call, the first included; from 1 to 4.
    pub attempts: Option<u32>,
    /// How long a call rests after a try that failed.
    pub pause: Pause,
    /// What is added to that pause, growing from try to try.
    pub back_off: Option<BackOff>,
    /// How many tries may be repeats.
    pub retry_budget: Option<RetryBudget>,
    /// Most calls that are open or stand at a time.
    pub open_calls: Option<u32>,
    /// Most set-ups taken a second.
    pub rate: Option<Rate>,
    /// When a caller that is turned away at a limit may come back.
    #[serde(rename = "come_back")]
    pub retry_after: Option<RetryAfterBounds>,
    /// A second try beside the first, where class and installation allow it.
    pub second_copies: Option<SecondCopies>,
}

/// Pauses, by how the try ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pause {
    /// No answer came in its time; 500 ms at least.
    pub timed_out: Option<Span>,
    /// It was cut; 500 ms at least.
    pub reset: Option<Span>,
    /// It was called off; 500 ms at least.
    pub cancelled: Option<Span>,
    /// The server was full; none by default.
    pub full: Option<Span>,
}

/// Back-off: `first`, then `factor` times as much each time, up to `most`; each drawn anew up to `jitter` less.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackOff {
    /// Before the second try.
    pub first: Span,
    /// The longest.
    pub most: Span,
    /// From one try to the next; 1 or more.
    #[serde(default = "twice")]
    pub factor: f64,
    /// How much of it is drawn at random, 0% to 100%.
    #[serde(default = "half")]
    pub jitter: Share,
}

fn twice() -> f64 {
    2.0
}

fn half() -> Share {
    Share(0.5)
}

/// Retry budget: repeated tries within the window, as a share of the fresh calls within it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// The share; over 0%.
    pub share: Share,
    /// The sliding window; 1 s or more.
    #[serde(default = "ten_seconds")]
    pub window: Span,
    /// Repeats that are free in each window, for routes with few calls.
    #[serde(default = "three")]
    pub least: u32,
}

fn ten_seconds() -> Span {
    Span(10_000_000)
}

fn three() -> u32 {
    3
}

/// A token bucket for set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Set-ups a second; over 0.
    pub per_second: f64,
    /// How many may come at once; 1 or more. By default a second's worth.
    pub burst: Option<u32>,
}

/// Bounds of the advice when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ComeBack")] // the published schema keeps its names
pub struct RetryAfterBounds {
    /// Never sooner.
    pub least: Span,
    /// Never later.
    pub most: Span,
}

/// A second try beside the first.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SecondCopies {
    /// It goes out once the first has had no answer for so long.
    pub after: Span,
}

impl Rate {
    /// How many set-ups may come at once.
    pub fn max_burst(&self) -> u32 {
        self.burst.unwrap_or_else(|| self.per_second.ceil().clamp(1.0, 1e9) as u32)
    }
}

impl Section {
    /// Reads the section piece by piece, so that every fault of every piece is found.
    pub fn read(value: Value, at: &Path, findings: &mut Vec<Finding>) -> Section {
        let mut section = Section::default();
        let Value::Object(map) = value else {
            findings.push(Finding::error(
                "form",
                at.clone(),
                "'limits' is no object",
                "write settings between { and }",
            ));
            return section;
        };
        for (key, value) in map {
            let (section_at, at) = (at, at.key(&key));
            match (key.as_str(), value) {
                ("default", value) => section.default = decode(value, &at, findings).unwrap_or_default(),
                ("classes", Value::Object(classes)) => {
                    for (class, value) in classes {
                        let terms = decode(value, &at.key(&class), findings).unwrap_or_default();
                        section.classes.insert(class, terms);
                    }
                }
                ("classes", _) => {
                    let remedy = "write the classes by name between { and }";
                    findings.push(Finding::error("form", at, "'classes' is no object", remedy));
                }
                ("routes", Value::Array(routes)) if routes.len() > MAX_ROUTES => {
                    let text = format!("there are {} routes, and {MAX_ROUTES} are the most", routes.len());
                    findings.push(Finding::error(
                        "size",
                        at,
                        text,
                        "give numbers with a common prefix one route",
                    ));
                }
                ("routes", Value::Array(routes)) => {
                    for (n, value) in routes.into_iter().enumerate() {
                        // A route that cannot be read keeps its place: findings go by it.
                        section.routes.push(decode(value, &at.index(n), findings).unwrap_or_default());
                    }
                }
                ("routes", _) => {
                    findings.push(Finding::error(
                        "form",
                        at,
                        "'routes' is no list",
                        "write the routes between [ and ]",
                    ));
                }
                _ => {
                    let text = format!("there is no setting '{key}'");
                    let at = section_at.name(&key);
                    findings.push(Finding::error("form", at, text, "write default, classes or routes"));
                }
            }
        }
        section
    }
}
