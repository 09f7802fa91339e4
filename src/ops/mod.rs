//! The operators' file: one section per subsystem. A file with an error in any section is refused as a whole.
//!
//! This module parses the file and collects the findings of its sections. The content and validation of a section are
//! defined by its subsystem. The format is JSON with comments and trailing commas.

mod decode;
pub mod finding;
pub mod units;

use std::path::Path as FilePath;

use serde_json::Value;

pub use decode::{MAX_BYTES, decode};
pub use finding::{Finding, Path, Report, Severity};

/// A section of the file, read and checked by its subsystem.
pub trait Section {
    /// Its key in the file.
    fn key(&self) -> &'static str;

    /// Decodes the value of the section's key and adds format errors to `findings`.
    fn read(&mut self, value: Value, at: &Path, findings: &mut Vec<Finding>);

    /// Returns violations of the section's rules. Called only if the whole file was decoded without findings, since values
    /// that could not be decoded would cause further findings here.
    fn check(&mut self) -> Vec<Finding> {
        Vec::new()
    }
}

/// Reads a file's text, subject to the size limit.
pub fn load(path: &FilePath) -> Result<String, Report> {
    let name = path.display().to_string();
    let fail = |rule, text: String, remedy: &str| {
        let finding = Finding::error(rule, Path::default(), text, remedy);
        Report::new(&name, "", vec![finding], |_| None)
    };
    let size = std::fs::metadata(path)
        .map_err(|e| fail("file", format!("cannot be read: {e}"), "name a readable file"))?
        .len();
    if size > MAX_BYTES as u64 {
        let text = format!("the file has {size} bytes; the maximum is {MAX_BYTES}");
        return Err(fail("size", text, "merge routes with a common prefix into one"));
    }
    let bytes = std::fs::read(path)
        .map_err(|e| fail("file", format!("cannot be read: {e}"), "name a readable file"))?;
    String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        let preceding_lines = e.as_bytes()[..at].iter().filter(|b| **b == b'\n').count();
        let text =
            format!("the file is not UTF-8: byte {} on line {} is invalid", at + 1, preceding_lines + 1);
        fail("utf-8", text, "save the file as UTF-8")
    })
}

/// Reads the sections from a text. `name` is the file name used in the report.
pub fn read(name: &str, text: &str, sections: &mut [&mut dyn Section]) -> Report {
    let tree = match decode::parse(text) {
        Ok(tree) => tree,
        Err((message, range)) => {
            let remedy = "write JSON with comments and trailing commas, as in deploy/cobaltspool.json5";
            let finding = Finding::error("json", Path::default(), message, remedy);
            return Report::new(name, text, vec![finding], |_| Some(range));
        }
    };
    let mut findings = Vec::new();
    match tree.value(&mut findings) {
        Value::Object(map) => {
            for (key, value) in map {
                match sections.iter_mut().find(|s| s.key() == key) {
                    Some(section) => section.read(value, &Path::of(&key), &mut findings),
                    None => {
                        let known: Vec<&str> = sections.iter().map(|s| s.key()).collect();
                        let (at, text) = (Path::default().name(&key), format!("there is no section '{key}'"));
                        let remedy = format!("write {}", known.join(" or "));
                        findings.push(Finding::error("form", at, text, remedy));
                    }
                }
            }
        }
        _ => {
            let text = "the file holds no object";
            findings.push(Finding::error("form", Path::default(), text, "write sections between { and }"));
        }
    }
    if findings.is_empty() {
        findings.extend(sections.iter_mut().flat_map(|s| s.check()));
    }
    Report::new(name, text, findings, |path| tree.locate(path))
}

/// Checks a text in the same format that has no sections. `check` receives its value and adds findings.
pub fn check_text(name: &str, text: &str, check: impl FnOnce(Value, &mut Vec<Finding>)) -> Report {
    match decode::parse(text) {
        Ok(tree) => {
            let mut findings = Vec::new();
            let value = tree.value(&mut findings);
            check(value, &mut findings);
            Report::new(name, text, findings, |path| tree.locate(path))
        }
        Err((message, range)) => {
            let finding =
                Finding::error("json", Path::default(), message, "write JSON, as in deploy/sip.json");
            Report::new(name, text, vec![finding], |_| Some(range))
        }
    }
}
