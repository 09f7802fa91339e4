//! The `check-config` and `explain` commands. Each returns the text to print and whether it succeeded.

use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use crate::cli::{ExplainRequest, Format, Frontends};
use crate::config::{self, Config, ConfigError, SipConfig};
use crate::config_check;
use crate::limits::units::Span;
use crate::limits::{Ceilings, Limits, Origin, Plan, Sourced};
use crate::ops::Report;
use crate::sections;

/// Why a frontend's configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file cannot be decoded.
    #[error("{}: {}", file.display(), source.to_string().replace('\n', " "))]
    Config {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: ConfigError,
    },
    /// A file violates a rule.
    #[error("{file} is refused\n{report}")]
    Refused {
        /// The file.
        file: String,
        /// The findings, as text.
        report: String,
    },
}

/// The configurations of the frontends that are enabled: platform and SIP.
pub type Configs = (Option<Config>, Option<SipConfig>);

/// Reads the frontends' configurations. The SIP frontend's format is defined by this program, so a configuration that
/// violates a rule is refused; the platform's is only decoded.
///
/// # Errors
/// If a file cannot be read or decoded, or is refused.
pub fn read_configs(frontends: &Frontends) -> Result<Configs, ReadError> {
    if let Some(report) = sip_report(frontends).filter(|r| r.refused) {
        return Err(ReadError::Refused { file: report.file.clone(), report: report.render() });
    }
    let config = frontends.config.as_deref().map(|p| read_file(p, config::decode)).transpose()?;
    let sip = frontends.sip.as_deref().map(|p| read_file(p, config::decode_sip)).transpose()?;
    Ok((config, sip))
}

/// Checks the SIP frontend's configuration. Returns `None` if it is not enabled or the file cannot be read as UTF-8.
fn sip_report(frontends: &Frontends) -> Option<Report> {
    let path = frontends.sip.as_deref()?;
    let text = std::fs::read_to_string(path).ok()?;
    Some(config_check::check_sip(&path.display().to_string(), &text))
}

/// Reads and decodes one file. The error is a single line.
fn read_file<T>(path: &Path, decode: fn(&str) -> Result<T, ConfigError>) -> Result<T, ReadError> {
    let file = || path.to_path_buf();
    let text = std::fs::read_to_string(path).map_err(|source| ReadError::File { file: file(), source })?;
    decode(&text).map_err(|source| ReadError::Config { file: file(), source })
}

/// Returns the limits that the installation sets for each frontend. Without a frontend this is one set of defaults, for an
/// unknown installation.
pub fn ceilings((config, sip): &Configs) -> Vec<Ceilings> {
    let platform = config.as_ref().map(Config::ceilings);
    let mut ceilings: Vec<Ceilings> =
        platform.into_iter().chain(sip.as_ref().map(SipConfig::ceilings)).collect();
    if ceilings.is_empty() {
        ceilings.push(Ceilings::default());
    }
    ceilings
}

/// Checks the files. Returns the text to print and whether they are accepted.
pub fn check(
    frontends: &Frontends,
    ops_file: Option<&PathBuf>,
    node: Option<&str>,
    format: Format,
) -> (String, bool) {
    let configs = match read_configs(frontends) {
        Ok(configs) => configs,
        Err(error) => return (config_error(frontends, &error.to_string(), format), false),
    };
    let reports = ops_reports(&configs, ops_file, node);
    let accepted = !reports.iter().any(|report| report.refused);
    if format == Format::Json {
        return (json!({"accepted": accepted, "reports": reports}).to_string() + "\n", accepted);
    }
    let mut text = summary(&configs);
    for report in &reports {
        text.push_str(&report.render());
    }
    if let Some(file) = ops_file {
        let verdict = if accepted { "accepted" } else { "refused" };
        text.push_str(&format!("{}: {verdict}\n", file.display()));
    }
    (text, accepted)
}

/// Returns the output for a configuration that cannot be used. If the SIP configuration was refused, the JSON contains the
/// report on it.
fn config_error(frontends: &Frontends, error: &str, format: Format) -> String {
    if format == Format::Text {
        return format!("error: {error}\n");
    }
    let object = match sip_report(frontends).filter(|report| report.refused) {
        Some(report) => json!({"accepted": false, "reports": [report]}),
        None => json!({"accepted": false, "error": error}),
    };
    object.to_string() + "\n"
}

/// Checks the operators' file against the limits of each configuration. Identical reports are returned once.
fn ops_reports(configs: &Configs, ops_file: Option<&PathBuf>, node: Option<&str>) -> Vec<Report> {
    let mut reports: Vec<Report> = Vec::new();
    let Some(file) = ops_file else { return reports };
    for ceilings in ceilings(configs) {
        let report = match sections::read(file, &ceilings, node) {
            Ok(ops) => ops.report,
            Err(report) => report,
        };
        if !reports.contains(&report) {
            reports.push(report);
        }
    }
    reports
}

fn summary((config, sip): &Configs) -> String {
    let mut out = String::new();
    if let Some(c) = config {
        let (classes, lists) = (c.classes.join(", "), c.list_events.len());
        out.push_str(&format!(
            "{}: listens on {}, resolver {}, {lists} list events, classes: {classes}\n",
            c.name, c.listen, c.dns
        ));
    }
    if let Some(c) = sip {
        out.push_str(&format!(
            "{}: SIP on udp {} and tcp {}, servers of {} at {}\n",
            c.name, c.udp, c.tcp, c.service, c.dns
        ));
    }
    out
}

/// Prints the limits that apply to a call.
pub fn explain(
    frontends: &Frontends,
    file: &Path,
    request: &ExplainRequest,
    format: Format,
) -> (String, bool) {
    let configs = match read_configs(frontends) {
        Ok(configs) => configs,
        Err(e) => return (format!("error: {e}\n"), false),
    };
    let mut out = String::new();
    for ceilings in ceilings(&configs) {
        let ops = match sections::read(file, &ceilings, None) {
            Ok(ops) => ops,
            Err(report) if format == Format::Json => {
                return (json!({"accepted": false, "reports": [report]}).to_string() + "\n", false);
            }
            Err(report) => return (report.render(), false),
        };
        if let Some(known) = &ceilings.classes
            && !known.iter().any(|c| c.name == request.class)
        {
            let names: Vec<&str> = known.iter().map(|c| c.name.as_str()).collect();
            return (
                format!("error: there is no class '{}'; write one of {}\n", request.class, names.join(", ")),
                false,
            );
        }
        out.push_str(&explain_call(&ops.plan, request, format));
    }
    (out, true)
}

fn explain_call(plan: &Plan, request: &ExplainRequest, format: Format) -> String {
    let route = plan.route(&request.class, request.pool, &request.number);
    let limits = plan.compile(route, Some(&request.class));
    let mut rows = per_call_rows(&limits);
    for (origin, terms) in plan.levels(route, Some(&request.class)) {
        let mut add_row = |name: &str, value: Option<String>| {
            rows.extend(value.map(|value| (name.to_string(), value, origin.clone())));
        };
        add_row("open_calls", terms.open_calls.map(|n| n.to_string()));
        add_row("rate", terms.rate.map(|r| format!("{} a second, {} at once", r.per_second, r.max_burst())));
        add_row(
            "retry_budget",
            terms
                .retry_budget
                .map(|b| format!("{} of the fresh calls in {}, {} free", b.share, b.window, b.least)),
        );
    }
    let name = route.map_or("none", |n| plan.section.routes[n].name.as_str());
    if format == Format::Json {
        let limits: Vec<Value> = rows
            .iter()
            .map(|(setting, value, from)| {
                let path = from.path(setting).map(|p| p.to_string());
                json!({"setting": setting, "value": value, "from": from.to_string(), "path": path})
            })
            .collect();
        return json!({"route": name, "limits": limits}).to_string() + "\n";
    }
    let mut out = format!("route: {name}\n");
    for (setting, value, from) in rows {
        out.push_str(&format!("{setting:<16} {value:<58} {from}\n"));
    }
    out
}

/// A line of the output: the setting, its value and its origin.
type Row = (String, String, Origin);

fn per_call_rows(limits: &Limits) -> Vec<Row> {
    fn row<T>(name: &str, sourced: &Sourced<T>, write: impl Fn(&T) -> String) -> Row {
        (name.to_string(), write(&sourced.value), sourced.from.clone())
    }
    let span = |micros: &u64| Span(*micros).to_string();
    vec![
        row("time_out", &limits.time_out, |t| {
            t.map_or("as long as the caller waits".into(), |t| t.to_string())
        }),
        row("attempts", &limits.attempts, u32::to_string),
        row("pause.timed_out", &limits.timed_out, span),
        row("pause.reset", &limits.reset, span),
        row("pause.cancelled", &limits.cancelled, span),
        row("pause.full", &limits.full, span),
        row("back_off", &limits.back_off, |b| {
            b.map_or("none".into(), |b| {
                format!("{} times {} each time up to {}, {} of it drawn", b.first, b.factor, b.most, b.jitter)
            })
        }),
        row("come_back", &limits.retry_after, |c| {
            c.map_or("as the limit that is met says".into(), |c| format!("{} to {}", c.least, c.most))
        }),
        row("second_copies", &limits.second_copies, |s| {
            s.map_or("none".into(), |s| format!("after {}", Span(s)))
        }),
    ]
}
