//! Validates the SIP frontend's configuration: its keys, and values that would violate a rule. Findings are reported as for
//! the operators' file: all in one run, each with its location and a remedy.
//!
//! The platform's own configuration is not validated here: unknown keys in it are ignored.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::limits::{MAX_ATTEMPTS, MIN_PAUSE};
use crate::ops::{self, Finding, Path, Report};

/// Longest time in which sends to a draining server must end, in microseconds.
const MAX_DRAIN_GRACE: u64 = 250_000;
/// Upper bound of every time in the settings, in microseconds: one hour.
const MAX_TIME: u64 = 3_600_000_000;
/// Permitted values of SIP's timer T1.
const T1_RANGE_MS: RangeInclusive<u64> = 1..=60_000;
/// Permitted values of the maximum time that callers wait.
const WAIT_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(rename = "name")]
    _name: String,
    #[serde(rename = "udp")]
    _udp: SocketAddr,
    #[serde(rename = "tcp")]
    _tcp: SocketAddr,
    #[serde(rename = "dns")]
    _dns: SocketAddr,
    #[serde(default, rename = "ops")]
    _ops: Option<SocketAddr>,
    service: String,
    seed: String,
    t1_ms: Option<u64>,
    wait_ms: Option<u64>,
    max_transactions: Option<u64>,
    max_transaction_bytes: Option<u64>,
    max_datagrams_per_s: Option<u64>,
    settings: Settings,
}

/// The `settings` object, in the same format as the platform's. Keys that the SIP frontend does not use are accepted.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Settings {
    services: Vec<Service>,
    ceilings: Ceilings,
    rules: Rules,
    domain: Domain,
    #[serde(default, rename = "peers-total")]
    _peers_total: u32,
    #[serde(default, rename = "me")]
    _me: u32,
    #[serde(default)]
    tick_us: u64,
    #[serde(default, rename = "discovery")]
    _discovery: String,
    #[serde(default, rename = "client-habits")]
    _client_habits: IgnoredAny,
    #[serde(default, rename = "counted-by")]
    _counted_by: IgnoredAny,
    #[serde(default, rename = "failure-domains")]
    _failure_domains: IgnoredAny,
    #[serde(default, rename = "family")]
    _family: IgnoredAny,
    #[serde(default, rename = "layer")]
    _layer: IgnoredAny,
    #[serde(default, rename = "layers")]
    _layers: IgnoredAny,
    #[serde(default, rename = "over-share-worth")]
    _over_share_worth: IgnoredAny,
    #[serde(default, rename = "prices")]
    _prices: IgnoredAny,
    #[serde(default, rename = "report")]
    _report: IgnoredAny,
    #[serde(default, rename = "score-parts")]
    _score_parts: IgnoredAny,
    #[serde(default, rename = "skus")]
    _skus: IgnoredAny,
    #[serde(default, rename = "tenants")]
    _tenants: IgnoredAny,
    #[serde(default, rename = "weight-source")]
    _weight_source: IgnoredAny,
    #[serde(default, rename = "zone")]
    _zone: IgnoredAny,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Service {
    name: String,
    #[serde(default)]
    aim_us: u64,
    hard_limit_us: u64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    /// Not used; decoded only to check that it is one of the known values.
    #[serde(default, rename = "effect")]
    _effect: Option<Effect>,
    #[serde(default, rename = "aim-stretch")]
    _aim_stretch: IgnoredAny,
    #[serde(default, rename = "dedup-scope")]
    _dedup_scope: IgnoredAny,
    #[serde(default, rename = "stream")]
    _stream: IgnoredAny,
    #[serde(default, rename = "window-us")]
    _window_us: IgnoredAny,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Ceilings {
    max_attempts: u32,
    dial_timeout_us: u64,
    #[serde(default)]
    max_retry_after_us: u64,
    #[serde(default, rename = "cancel")]
    _cancel: bool,
    #[serde(default, rename = "probes")]
    _probes: bool,
    #[serde(default, rename = "peers")]
    _peers: bool,
    #[serde(default, rename = "retry-after")]
    _retry_after: bool,
    #[serde(default, rename = "second-copies")]
    _second_copies: bool,
    #[serde(default, rename = "conn-idle-us")]
    _conn_idle_us: IgnoredAny,
    #[serde(default, rename = "cpu-us-per-request")]
    _cpu_us_per_request: IgnoredAny,
    #[serde(default, rename = "cpu-us-per-s")]
    _cpu_us_per_s: IgnoredAny,
    #[serde(default, rename = "max-open")]
    _max_open: IgnoredAny,
    #[serde(default, rename = "streams-per-conn")]
    _streams_per_conn: IgnoredAny,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Rules {
    drain_grace_us: u64,
    start_capacity: f64,
    tip_multiple: f64,
    fall_us: u64,
    #[serde(default, rename = "answer-slack-us")]
    _answer_slack_us: u64,
    #[serde(default)]
    warm_up_us: u64,
    #[serde(default, rename = "ask-within-us")]
    _ask_within_us: IgnoredAny,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Domain {
    clear_wait_us: u64,
    #[serde(default)]
    resend_us: u64,
    #[serde(default)]
    allowed_pools: Vec<Vec<i64>>,
    #[serde(default, rename = "advice")]
    _advice: IgnoredAny,
    #[serde(default, rename = "call-length-us")]
    _call_length_us: IgnoredAny,
    #[serde(default, rename = "class-width")]
    _class_width: IgnoredAny,
    #[serde(default, rename = "far-reports")]
    _far_reports: IgnoredAny,
    #[serde(default, rename = "layout")]
    _layout: IgnoredAny,
    #[serde(default, rename = "says-wait")]
    _says_wait: IgnoredAny,
    #[serde(default, rename = "this-node")]
    _this_node: IgnoredAny,
}

/// Checks the text of a SIP configuration. `name` is the file name used in the report.
pub fn check_sip(name: &str, text: &str) -> Report {
    ops::check_text(name, text, |value, findings| {
        let parse_findings = findings.len();
        let file = ops::decode::<File>(value, &Path::default(), findings);
        if let (Some(file), true) = (file, parse_findings == findings.len()) {
            check(&file, findings);
        }
    })
}

/// Checks all values for violated rules.
fn check(file: &File, findings: &mut Vec<Finding>) {
    let mut check = Check { findings };
    let settings = Path::of("settings");
    check.top_level(file);
    check.bounds(&file.settings, &settings);
    check.rules(&file.settings.rules, &settings.key("rules"));
    check.times(&file.settings, &settings);
    check.classes(&file.settings.services, &settings.key("services"));
    if file.settings.domain.allowed_pools.len() > file.settings.services.len() {
        let at = settings.key("domain").key("allowed-pools");
        check.report(
            at,
            "order",
            "there are more lists of pools than classes",
            "write at most one list per class",
        );
    }
}

struct Check<'a> {
    findings: &'a mut Vec<Finding>,
}

impl Check<'_> {
    fn report(&mut self, at: Path, rule: &'static str, text: impl Into<String>, remedy: &str) {
        self.findings.push(Finding::error(rule, at, text, remedy));
    }

    fn top_level(&mut self, file: &File) {
        if u64::from_str_radix(&file.seed, 16).is_err() {
            let text = "the seed is not a hexadecimal number";
            self.report(Path::of("seed"), "seed", text, "write up to 16 hex digits");
        }
        if !file.service.split('.').any(|label| label == "_udp" || label == "_tcp") {
            let text = "the service names neither _udp nor _tcp, so the transport to its servers is unknown";
            self.report(Path::of("service"), "service", text, "write it as in _sip._udp.pool.lan");
        }
        let bounds = [
            ("max_transactions", file.max_transactions),
            ("max_transaction_bytes", file.max_transaction_bytes),
            ("max_datagrams_per_s", file.max_datagrams_per_s),
        ];
        for (name, _) in bounds.iter().filter(|(_, bound)| *bound == Some(0)) {
            self.report(
                Path::of(name),
                "range",
                "a bound of 0".to_string(),
                "write 1 or more, or leave it out",
            );
        }
        if file.t1_ms.is_some_and(|t1| !T1_RANGE_MS.contains(&t1)) {
            let text = "T1 of RFC 3261 must be 1 to 60000 ms";
            self.report(Path::of("t1_ms"), "range", text, "write 500, or leave it out");
        }
        if file.wait_ms.is_some_and(|wait| !WAIT_RANGE_MS.contains(&wait)) {
            let text = "the time that callers wait must be 1 to 3600000 ms";
            self.report(Path::of("wait_ms"), "range", text, "write the longest time that they wait");
        }
    }

    /// Checks the number of attempts and the release wait.
    fn bounds(&mut self, settings: &Settings, at: &Path) {
        let attempts = settings.ceilings.max_attempts;
        if !(1..=MAX_ATTEMPTS).contains(&attempts) {
            let text = format!("{attempts} attempts; a call may have at most {MAX_ATTEMPTS}");
            self.report(at.key("ceilings").key("max-attempts"), "attempts", text, "write 1 to 4");
        }
        let release_wait = settings.domain.clear_wait_us;
        if release_wait < MIN_PAUSE {
            let text = format!("a release wait of {release_wait} us; the minimum is {MIN_PAUSE}");
            self.report(at.key("domain").key("clear-wait-us"), "pause", text, "write 500000 or more");
        }
    }

    fn rules(&mut self, rules: &Rules, at: &Path) {
        if rules.drain_grace_us > MAX_DRAIN_GRACE {
            let text = format!("sends to a draining server must end within {MAX_DRAIN_GRACE} us");
            self.report(at.key("drain-grace-us"), "drain", text, "write 250000 or less");
        }
        if !(rules.start_capacity > 0.0 && rules.start_capacity <= 1.0) {
            let text = "the initial share of capacity must be greater than 0 and at most 1";
            self.report(at.key("start-capacity"), "range", text, "write as in 0.29");
        }
        if !(rules.tip_multiple > 0.0 && rules.tip_multiple.is_finite()) {
            self.report(
                at.key("tip-multiple"),
                "range",
                "the multiple must be greater than 0",
                "write as in 2.0",
            );
        }
        if rules.fall_us == 0 {
            let text = "with an overload window of 0, a server could be sent no attempts";
            self.report(at.key("fall-us"), "zero", text, "write as in 1000000");
        }
    }

    fn times(&mut self, settings: &Settings, at: &Path) {
        let (ceilings, domain, rules) = (at.key("ceilings"), at.key("domain"), at.key("rules"));
        let dial_timeout = settings.ceilings.dial_timeout_us;
        let times = [
            (ceilings.key("dial-timeout-us"), dial_timeout),
            (ceilings.key("max-retry-after-us"), settings.ceilings.max_retry_after_us),
            (domain.key("clear-wait-us"), settings.domain.clear_wait_us),
            (domain.key("resend-us"), settings.domain.resend_us),
            (rules.key("warm-up-us"), settings.rules.warm_up_us),
            (rules.key("fall-us"), settings.rules.fall_us),
            (at.key("tick-us"), settings.tick_us),
        ];
        for (at, time) in times.into_iter().filter(|(_, time)| *time > MAX_TIME) {
            let text = format!("{time} us is more than an hour");
            self.report(at, "range", text, "write it in microseconds, at most 3600000000");
        }
        if dial_timeout == 0 {
            let text = "a connection cannot be established with a timeout of 0";
            self.report(ceilings.key("dial-timeout-us"), "zero", text, "write as in 500000");
        }
    }

    fn classes(&mut self, classes: &[Service], at: &Path) {
        if classes.is_empty() {
            let text = "at least one class is required";
            self.report(at.clone(), "zero", text, "write one class or more");
        }
        let mut names = HashSet::new();
        for (n, class) in classes.iter().enumerate() {
            let at = at.index(n);
            if !names.insert(class.name.as_str()) {
                let text = format!("two classes have the name '{}'", class.name);
                self.report(at.key("name"), "name", text, "give each class its own name");
            }
            self.class(class, &at);
        }
    }

    fn class(&mut self, class: &Service, at: &Path) {
        if class.hard_limit_us == 0 || class.hard_limit_us > MAX_TIME {
            let text = "the time that callers of a class wait must be greater than 0 and at most one hour";
            self.report(at.key("hard-limit-us"), "range", text, "write microseconds, as in 9000000");
        } else if class.aim_us > class.hard_limit_us {
            let text = "the latency objective exceeds the time that callers wait, so no call could miss it";
            self.report(at.key("aim-us"), "order", text, "write hard-limit-us or less");
        }
        if !(class.worth >= 0.0 && class.worth.is_finite()) {
            self.report(at.key("worth"), "range", "the worth of a call must be 0 or more", "write as in 1.0");
        }
        if !(0.0..=1.0).contains(&class.late_worth) {
            let text = "the worth of a late call must be a share from 0 to 1";
            self.report(at.key("late-worth"), "range", text, "write as in 0.25");
        }
    }
}
