//! The operators' file: one section a subsystem, read whole or not at all.
//!
//! This part reads the file and collects what the sections find; what a section may hold, and what is wrong with it,
//! is its subsystem's own. The form is JSON with comments and trailing commas.

mod decode;
pub mod finding;
pub mod units;

use std::path::Path as FilePath;

use serde_json::Value;

pub use decode::{MAX_BYTES, decode};
pub use finding::{Finding, Path, Report, Severity};

/// One section of the file, as its subsystem reads and checks it.
pub trait Section {
    /// Its key in the file.
    fn key(&self) -> &'static str;

    /// Takes the value that stands under its key, and adds what is wrong with its form.
    fn read(&mut self, value: Value, at: &Path, findings: &mut Vec<Finding>);

    /// What breaks its rules. Asked only where the whole file could be read: what is missing would be found here.
    fn check(&mut self) -> Vec<Finding> {
        Vec::new()
    }
}

/// A file's text.
pub fn load(path: &FilePath) -> Result<String, Report> {
    let name = path.display().to_string();
    let fail = |rule, text: String, remedy: &str| {
        let finding = Finding::error(rule, Path::default(), text, remedy);
        Report::new(&name, "", vec![finding], |_| None)
    };
    let size = std::fs::metadata(path)
        .map_err(|e| fail("file", format!("cannot be read: {e}"), "give a readable file"))?
        .len();
    if size > MAX_BYTES as u64 {
        let text = format!("the file has {size} bytes, and {MAX_BYTES} are the most");
        return Err(fail("size", text, "give routes with a common prefix one route"));
    }
    let bytes = std::fs::read(path)
        .map_err(|e| fail("file", format!("cannot be read: {e}"), "give a readable file"))?;
    String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        let good = e.as_bytes()[..at].iter().filter(|b| **b == b'\n').count();
        let text = format!("the file is not UTF-8: byte {} on line {} is no text", at + 1, good + 1);
        fail("utf-8", text, "save the file as UTF-8")
    })
}

/// Reads a text that came under this name into its sections; what they find is in the report.
pub fn read(name: &str, text: &str, sections: &mut [&mut dyn Section]) -> Report {
    let tree = match decode::parse(text) {
        Ok(tree) => tree,
        Err((said, range)) => {
            let remedy = "write JSON with comments and trailing commas, as in deploy/cobaltspool.json5";
            let finding = Finding::error("json", Path::default(), said, remedy);
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

/// Looks through another text of ours: `check` gets its value and adds what it finds.
pub fn check_text(name: &str, text: &str, check: impl FnOnce(Value, &mut Vec<Finding>)) -> Report {
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
