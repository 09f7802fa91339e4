//! The SIP front's configuration as a form: what may stand in it, and which of its figures would break a rule. Findings
//! are those of the operators' file: all in one go, each with its place and what to write.
//!
//! The platform's own configuration is not ours to refuse: unknown keys there are skipped.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::limits::{MAX_ATTEMPTS, MIN_PAUSE};
use crate::ops::{self, Finding, Path, Report};

/// The window in which sends to a server that drains must have ended, at most.
const MAX_DRAIN_GRACE: u64 = 250_000;
/// The longest time that a setting may name, in microseconds: an hour.
const MAX_TIME: u64 = 3_600_000_000;

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
    settings: Settings,
}

/// The settings' object, as on the platform; what the front has no use for may stand in it too.
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
    /// Only that it is one of the three.
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

/// What is wrong with the text of a SIP configuration that came under this name.
pub fn sip(name: &str, text: &str) -> Report {
    ops::examine(name, text, |value, findings| {
        let faults = findings.len();
        let file = ops::decode::<File>(value, &Path::default(), findings);
        if let (Some(file), true) = (file, faults == findings.len()) {
            check(&file, findings);
        }
    })
}

fn check(file: &File, findings: &mut Vec<Finding>) {
    let mut say = |at: Path, rule: &'static str, text: String, remedy: &str| {
        findings.push(Finding::error(rule, at, text, remedy));
    };
    let top = |key: &str| Path::of(key);
    if u64::from_str_radix(&file.seed, 16).is_err() {
        say(top("seed"), "seed", "the seed is no hexadecimal number".into(), "write up to 16 hex digits");
    }
    if !file.service.split('.').any(|label| label == "_udp" || label == "_tcp") {
        let text = "the service names neither _udp nor _tcp, so the way to its servers is not known";
        say(top("service"), "service", text.into(), "write it as in _sip._udp.pool.lan");
    }
    if file.t1_ms.is_some_and(|t| !(1..=60_000).contains(&t)) {
        say(top("t1_ms"), "range", "T1 of RFC 3261 is 1 to 60000 ms".into(), "write 500, or leave it out");
    }
    if file.wait_ms.is_some_and(|w| !(1..=3_600_000).contains(&w)) {
        say(
            top("wait_ms"),
            "range",
            "callers wait 1 to 3600000 ms".into(),
            "write how long they wait at most",
        );
    }
    let settings = top("settings");
    let (limits, rules, domain) = (&file.settings.ceilings, &file.settings.rules, &file.settings.domain);
    let ceilings = settings.key("ceilings");
    if !(1..=MAX_ATTEMPTS).contains(&limits.max_attempts) {
        let text = format!("{} attempts, and a call may have {MAX_ATTEMPTS} at most", limits.max_attempts);
        say(ceilings.key("max-attempts"), "attempts", text, "write 1 to 4");
    }
    if domain.clear_wait_us < MIN_PAUSE {
        let text =
            format!("a release wait of {} us, and the rule asks for {MIN_PAUSE}", domain.clear_wait_us);
        say(settings.key("domain").key("clear-wait-us"), "pause", text, "write 500000 or more");
    }
    let at = settings.key("rules");
    if rules.drain_grace_us > MAX_DRAIN_GRACE {
        let text = format!("sends to a draining server must end within {MAX_DRAIN_GRACE} us");
        say(at.key("drain-grace-us"), "drain", text, "write 250000 or less");
    }
    if !(rules.start_capacity > 0.0 && rules.start_capacity <= 1.0) {
        say(
            at.key("start-capacity"),
            "range",
            "a share of capacity is over 0 and up to 1".into(),
            "write as in 0.29",
        );
    }
    if !(rules.tip_multiple > 0.0 && rules.tip_multiple.is_finite()) {
        say(at.key("tip-multiple"), "range", "the multiple is over 0".into(), "write as in 2.0");
    }
    if rules.fall_us == 0 {
        say(
            at.key("fall-us"),
            "zero",
            "a server that falls at once could be sent nothing".into(),
            "write as in 1000000",
        );
    }
    let times = [
        (ceilings.key("dial-timeout-us"), limits.dial_timeout_us),
        (ceilings.key("max-retry-after-us"), limits.max_retry_after_us),
        (settings.key("domain").key("clear-wait-us"), domain.clear_wait_us),
        (settings.key("domain").key("resend-us"), domain.resend_us),
        (at.key("warm-up-us"), rules.warm_up_us),
        (at.key("fall-us"), rules.fall_us),
        (settings.key("tick-us"), file.settings.tick_us),
    ];
    for (at, time) in times.into_iter().filter(|(_, time)| *time > MAX_TIME) {
        say(
            at,
            "range",
            format!("{time} us is more than an hour"),
            "write it in microseconds, at most 3600000000",
        );
    }
    if limits.dial_timeout_us == 0 {
        say(
            ceilings.key("dial-timeout-us"),
            "zero",
            "no connection comes up in no time".into(),
            "write as in 500000",
        );
    }
    let at = settings.key("services");
    if file.settings.services.is_empty() {
        say(at.clone(), "zero", "without a class there are no calls".into(), "write one class or more");
    }
    let mut first: HashMap<&str, usize> = HashMap::new();
    for (n, class) in file.settings.services.iter().enumerate() {
        let at = at.index(n);
        if first.insert(&class.name, n).is_some() {
            say(
                at.key("name"),
                "name",
                format!("two classes have the name '{}'", class.name),
                "give each its own",
            );
        }
        if class.hard_limit_us == 0 || class.hard_limit_us > MAX_TIME {
            let text = "callers of a class wait more than nothing and up to an hour";
            say(at.key("hard-limit-us"), "range", text.into(), "write microseconds, as in 9000000");
        } else if class.aim_us > class.hard_limit_us {
            let text = "the aim is later than the caller waits, so no call could miss it";
            say(at.key("aim-us"), "order", text.into(), "write hard-limit-us or less");
        }
        if !(class.worth >= 0.0 && class.worth.is_finite()) {
            say(at.key("worth"), "range", "a call is worth 0 or more".into(), "write as in 1.0");
        }
        if !(0.0..=1.0).contains(&class.late_worth) {
            say(
                at.key("late-worth"),
                "range",
                "a late call is worth a share, 0 to 1".into(),
                "write as in 0.25",
            );
        }
    }
    if domain.allowed_pools.len() > file.settings.services.len() {
        let text = "there are more lists of pools than classes";
        say(settings.key("domain").key("allowed-pools"), "order", text.into(), "write one list a class");
    }
}
