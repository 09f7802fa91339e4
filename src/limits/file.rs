//! The `limits` section as written in the file: the settings for all calls, for classes and for routes.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;

use super::units::{Share, Span, TimeOut};
use crate::ops::{Finding, Path, decode};

/// Maximum number of routes; a file with more is refused.
pub const MAX_ROUTES: usize = 200_000;

/// Limits for calls. A setting of a route overrides that of the class, which overrides the default. The caps `open_calls`,
/// `rate` and `retry_budget` are not overridden: a call must pass those of its route, of its class and of the default.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// Settings for calls whose route and class do not override them.
    pub default: LimitSettings,
    /// Settings per class; the keys are the class names of the platform's settings.
    pub classes: BTreeMap<String, LimitSettings>,
    /// Routes with their settings. A call takes the most specific route that matches it.
    pub routes: Vec<Route>,
}

/// A route: a set of calls and the settings for them.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route. Buckets and budgets are kept under it across a reload.
    pub name: String,
    /// The calls that take the route.
    #[serde(rename = "match")]
    pub matches: Match,
    /// Settings for these calls.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// The calls that take a route: those that meet all the conditions given. A condition left out is met by any call.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Match {
    /// Class of the call.
    pub class: Option<String>,
    /// Number of the pool of first choice.
    pub pool: Option<i64>,
    /// Prefix of the number called, which is 16 hex digits on the platform and the user part of the URI in SIP.
    pub prefix: String,
}

/// Settings of a route, a class or the default. One that is left out is taken from the next more general level.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "Terms", deny_unknown_fields, default)] // schema and error texts keep the name
pub struct LimitSettings {
    /// Timeout of one attempt: a duration, or a percentage of the time that the caller waits.
    pub time_out: Option<TimeOut>,
    /// Maximum number of attempts for one call, the first included; 1 to 4.
    pub attempts: Option<u32>,
    /// Pause between a failed attempt and the next one.
    pub pause: Pause,
    /// Time added to the pause, growing with each attempt.
    pub back_off: Option<BackOff>,
    /// Maximum number of retries in proportion to new calls.
    pub retry_budget: Option<RetryBudget>,
    /// Maximum number of calls that are being set up or established at a time.
    pub open_calls: Option<u32>,
    /// Maximum rate of set-ups accepted.
    pub rate: Option<Rate>,
    /// Bounds of the retry-after given to a caller that is rejected at a limit.
    #[serde(rename = "come_back")]
    pub retry_after: Option<RetryAfterBounds>,
    /// A second attempt in parallel to the first, if the class and the installation allow it.
    pub second_copies: Option<SecondCopies>,
}

/// Pauses before the next attempt, by how the last one ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pause {
    /// After a timeout; at least 500 ms.
    pub timed_out: Option<Span>,
    /// After the attempt was reset; at least 500 ms.
    pub reset: Option<Span>,
    /// After the attempt was cancelled; at least 500 ms.
    pub cancelled: Option<Span>,
    /// After the server rejected the call as full; none by default.
    pub full: Option<Span>,
}

/// Exponential back-off: starts at `first`, is multiplied by `factor` for each attempt up to `most`, and each value is
/// shortened at random by up to `jitter`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackOff {
    /// Back-off before the second attempt.
    pub first: Span,
    /// The longest back-off.
    pub most: Span,
    /// Growth from one attempt to the next; 1 to 16.
    #[serde(default = "twice")]
    pub factor: f64,
    /// Largest part of the back-off by which it is shortened at random, 0% to 100%.
    #[serde(default = "half")]
    pub jitter: Share,
}

fn twice() -> f64 {
    2.0
}

fn half() -> Share {
    Share(0.5)
}

/// Retry budget: maximum number of retries within a sliding window, as a percentage of the new calls within it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries as a percentage of new calls; over 0%.
    pub share: Share,
    /// Length of the sliding window; 1 s or more.
    #[serde(default = "ten_seconds")]
    pub window: Span,
    /// Retries allowed in each window in addition to the percentage, for routes with few calls.
    #[serde(default = "three")]
    pub least: u32,
}

fn ten_seconds() -> Span {
    Span(10_000_000)
}

fn three() -> u32 {
    3
}

/// Rate limit for set-ups, enforced by a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Set-ups per second; over 0.
    pub per_second: f64,
    /// Burst size: set-ups accepted at once; 1 or more. The default is the number accepted in one second.
    pub burst: Option<u32>,
}

/// Bounds of the retry-after given to rejected callers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "ComeBack")] // the schema keeps the name
pub struct RetryAfterBounds {
    /// The shortest retry-after.
    pub least: Span,
    /// The longest retry-after.
    pub most: Span,
}

/// A second attempt in parallel to the first.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SecondCopies {
    /// How long the first attempt goes unanswered before the second one is sent.
    pub after: Span,
}

impl Rate {
    /// The burst size, or its default: the set-ups accepted in one second.
    pub fn max_burst(&self) -> u32 {
        self.burst.unwrap_or_else(|| self.per_second.ceil().clamp(1.0, 1e9) as u32)
    }
}

impl Section {
    /// Reads the section entry by entry, so that the errors of all entries are reported at once.
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
                        let settings = decode(value, &at.key(&class), findings).unwrap_or_default();
                        section.classes.insert(class, settings);
                    }
                }
                ("classes", _) => {
                    let remedy = "write the classes by name between { and }";
                    findings.push(Finding::error("form", at, "'classes' is no object", remedy));
                }
                ("routes", Value::Array(routes)) if routes.len() > MAX_ROUTES => {
                    let text = format!("there are {} routes, and the maximum is {MAX_ROUTES}", routes.len());
                    findings.push(Finding::error(
                        "size",
                        at,
                        text,
                        "use one route for numbers with a common prefix",
                    ));
                }
                ("routes", Value::Array(routes)) => {
                    for (n, value) in routes.into_iter().enumerate() {
                        // A route that cannot be read stays in the list as a default, since findings refer to routes by index.
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
