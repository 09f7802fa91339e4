//! The operators' file: one section a subsystem, read whole or not at all.
//!
//! This part reads the file and collects what the sections find; what a section may hold, and what is wrong with it,
//! is its subsystem's own. The form is JSON with comments and trailing commas.

mod decode;
pub mod finding;

use std::path::Path as FilePath;

use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;

use crate::limits::{self, Ceilings, Plan};
use crate::log;

pub use decode::{BYTES_MOST, decode};
pub use finding::{Finding, Path, Report, Weight};

/// Everything that the file can hold. Each section may be left out.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// What is logged, and how.
    pub log: Option<LogSection>,
    /// What a route and a class allow.
    pub limits: Option<limits::file::Section>,
}

/// The `log` section.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// A level (`error`, `warn`, `info`, `debug`, `trace`, `off`), or `TARGET=LEVEL`, with commas between.
    pub level: Option<log::Levels>,
    /// `text` or `json`.
    pub format: Option<log::Form>,
}

/// A file that was accepted.
#[derive(Debug)]
pub struct Ops {
    /// What is logged, where the command line does not say.
    pub log: log::Settings,
    /// What routes and classes allow.
    pub plan: Plan,
    /// Warnings, if there are any.
    pub report: Report,
}

/// Reads a file. `ceilings` are the platform's, where its configuration is known.
pub fn read(path: &FilePath, ceilings: &Ceilings) -> Result<Ops, Report> {
    let name = path.display().to_string();
    let fail = |rule, text: String, remedy: &str| {
        let finding = Finding::error(rule, Path::default(), text, remedy);
        Report::new(&name, "", vec![finding], |_| None)
    };
    let size = std::fs::metadata(path)
        .map_err(|e| fail("file", format!("cannot be read: {e}"), "give a readable file"))?
        .len();
    if size > BYTES_MOST as u64 {
        let text = format!("the file has {size} bytes, and {BYTES_MOST} are the most");
        return Err(fail("size", text, "give routes with a common prefix one route"));
    }
    let bytes = std::fs::read(path)
        .map_err(|e| fail("file", format!("cannot be read: {e}"), "give a readable file"))?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        let good = e.as_bytes()[..at].iter().filter(|b| **b == b'\n').count();
        let text = format!("the file is not UTF-8: byte {} on line {} is no text", at + 1, good + 1);
        fail("utf-8", text, "save the file as UTF-8")
    })?;
    read_text(&name, &text, ceilings)
}

/// Reads a text that came under this name.
pub fn read_text(name: &str, text: &str, ceilings: &Ceilings) -> Result<Ops, Report> {
    let tree = decode::parse(text).map_err(|(said, range)| {
        let remedy = "write JSON with comments and trailing commas, as in deploy/cobaltspool.json5";
        let finding = Finding::error("json", Path::default(), said, remedy);
        Report::new(name, text, vec![finding], |_| Some(range))
    })?;
    let mut findings = Vec::new();
    let mut log_section = None;
    let mut section = limits::file::Section::default();
    match tree.value(&mut findings) {
        Value::Object(map) => {
            for (key, value) in map {
                let at = Path::of(&key);
                match key.as_str() {
                    "log" => log_section = decode::<LogSection>(value, &at, &mut findings),
                    "limits" => section = limits::file::Section::read(value, &at, &mut findings),
                    _ => {
                        let text = format!("there is no section '{key}'");
                        findings.push(Finding::error(
                            "form",
                            Path::default().name(&key),
                            text,
                            "write log or limits",
                        ));
                    }
                }
            }
        }
        _ => {
            let text = "the file holds no object";
            findings.push(Finding::error("form", Path::default(), text, "write sections between { and }"));
        }
    }
    // A section that could not be read whole is not checked against the rules: what is missing would be found there.
    let whole = findings.is_empty();
    let plan = Plan::new(section, ceilings);
    if whole {
        findings.extend(plan.check());
    }
    let report = Report::new(name, text, findings, |path| tree.locate(path));
    if report.refused {
        return Err(report);
    }
    let log_section = log_section.unwrap_or_default();
    let log = log::Settings { levels: log_section.level, form: log_section.format };
    Ok(Ops { log, plan, report })
}

/// Looks through another text of ours: `check` gets its value and adds what it finds.
pub fn examine(name: &str, text: &str, check: impl FnOnce(Value, &mut Vec<Finding>)) -> Report {
    match decode::parse(text) {
        Ok(tree) => {
            let mut findings = Vec::new();
            let value = tree.value(&mut findings);
            check(value, &mut findings);
            Report::new(name, text, findings, |path| tree.locate(path))
        }
        Err((said, range)) => {
            let finding = Finding::error("json", Path::default(), said, "write JSON, as in deploy/sip.json");
            Report::new(name, text, vec![finding], |_| Some(range))
        }
    }
}

/// A JSON Schema of the file, for editors.
pub fn schema() -> String {
    let schema = schemars::schema_for!(File);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}
