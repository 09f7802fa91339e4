//! Findings: what is wrong with a file of the operators', where, and what to write in its place.

use std::fmt;

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use serde::Serialize;

/// Findings that are told one by one; further ones are only counted.
pub const MAX_REPORTED: usize = 100;

/// A step of a path into the file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// The value of a key.
    Key(String),
    /// A place in a list, from 0.
    Index(usize),
    /// A key itself, where it is the key that is wrong; the last step.
    Name(String),
}

/// A place in the file, as in `limits.routes[3].limits.time_out`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Path(pub Vec<Step>);

impl Path {
    /// The path of one key.
    pub fn of(key: &str) -> Path {
        Path::default().key(key)
    }

    /// One key further down.
    #[must_use]
    pub fn key(&self, key: &str) -> Path {
        let mut steps = self.0.clone();
        steps.push(Step::Key(key.to_string()));
        Path(steps)
    }

    /// One key further down, where the key itself is meant.
    #[must_use]
    pub fn name(&self, key: &str) -> Path {
        let mut steps = self.0.clone();
        steps.push(Step::Name(key.to_string()));
        Path(steps)
    }

    /// One place of a list further down.
    #[must_use]
    pub fn index(&self, n: usize) -> Path {
        let mut steps = self.0.clone();
        steps.push(Step::Index(n));
        Path(steps)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(key) | Step::Name(key) => write!(f, "{}{key}", if n > 0 { "." } else { "" })?,
                Step::Index(n) => write!(f, "[{n}]")?,
            }
        }
        Ok(())
    }
}

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The file is refused.
    Error,
    /// The file is taken; the operators should look.
    Warning,
}

/// Something that is wrong, by the paths of all the locations that make it up.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// The rule that it breaks, one word a rule.
    pub rule: &'static str,
    /// What is wrong.
    pub text: String,
    /// What to write in its place.
    pub remedy: String,
    /// Where, and what that place has to do with it; the main one first.
    pub locations: Vec<(Path, String)>,
}

impl Finding {
    /// An error at one place.
    pub fn error(
        rule: &'static str,
        at: Path,
        text: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Finding {
        let locations = vec![(at, String::new())];
        Finding { severity: Severity::Error, rule, text: text.into(), remedy: remedy.into(), locations }
    }

    /// The same as a warning.
    #[must_use]
    pub fn warning(mut self) -> Finding {
        self.severity = Severity::Warning;
        self
    }

    /// Made up by this place too.
    #[must_use]
    pub fn with(mut self, at: Path, what: impl Into<String>) -> Finding {
        self.locations.push((at, what.into()));
        self
    }
}

/// One place of a finding, found in the text.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SourceLocation {
    /// Its path.
    pub path: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What it has to do with the finding.
    pub what: String,
    #[serde(skip)]
    range: (usize, usize),
}

/// A finding with its locations in the text.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LocatedFinding {
    /// How much it matters.
    #[serde(rename = "weight")]
    pub severity: Severity,
    /// The rule that it breaks.
    pub rule: &'static str,
    /// What is wrong.
    pub text: String,
    /// What to write in its place.
    pub remedy: String,
    /// Where.
    #[serde(rename = "places")]
    pub locations: Vec<SourceLocation>,
}

/// All that was found in one file.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The file.
    pub file: String,
    /// What was found, in the order of the locations; at most [`MAX_REPORTED`].
    pub findings: Vec<LocatedFinding>,
    /// How many more there are.
    pub more: usize,
    /// Some finding is an error, among those not told too.
    pub refused: bool,
    #[serde(skip)]
    text: String,
}

impl Report {
    /// Puts findings in order and finds their locations in the text. `locate` gives a path's range there.
    pub fn new(
        file: &str,
        text: &str,
        mut findings: Vec<Finding>,
        locate: impl Fn(&Path) -> Option<(usize, usize)>,
    ) -> Report {
        let refused = findings.iter().any(|f| f.severity == Severity::Error);
        // Errors first where not all can be told.
        findings.sort_by_key(|f| f.severity != Severity::Error);
        let more = findings.len().saturating_sub(MAX_REPORTED);
        findings.truncate(MAX_REPORTED);
        let lines: Vec<usize> =
            std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let place = |(path, what): (Path, String)| {
            let range = locate(&path).unwrap_or((0, 0));
            let range = (range.0.min(text.len()), range.1.min(text.len()));
            let line = lines.partition_point(|start| *start <= range.0).max(1);
            let column = text.get(lines[line - 1]..range.0).map_or(1, |t| t.chars().count() + 1);
            let found: String = text.get(range.0..range.1).unwrap_or_default().chars().take(60).collect();
            SourceLocation { path: path.to_string(), line, column, found, what, range }
        };
        let mut findings: Vec<LocatedFinding> = findings
            .into_iter()
            .map(|f| LocatedFinding {
                severity: f.severity,
                rule: f.rule,
                text: f.text,
                remedy: f.remedy,
                locations: f.locations.into_iter().map(place).collect(),
            })
            .collect();
        findings.sort_by_key(|f| f.locations.first().map_or(0, |p| p.range.0));
        Report { file: file.to_string(), findings, more, refused, text: text.to_string() }
    }

    /// The report for people: each finding with its lines, the offending text underlined, and what to write.
    pub fn render(&self) -> String {
        let renderer = Renderer::plain();
        let mut out = String::new();
        for f in &self.findings {
            let level = if f.severity == Severity::Error { Level::ERROR } else { Level::WARNING };
            let mut snippet = Snippet::source(self.text.as_str()).path(self.file.as_str()).fold(true);
            for (n, place) in f.locations.iter().enumerate() {
                let kind = if n == 0 { AnnotationKind::Primary } else { AnnotationKind::Context };
                let end = self.text[place.range.0..place.range.1]
                    .find('\n')
                    .map_or(place.range.1, |at| place.range.0 + at);
                let label = (!place.what.is_empty()).then_some(place.what.as_str());
                snippet = snippet.annotation(kind.span(place.range.0..end).label(label));
            }
            let title = level.primary_title(f.text.as_str()).id(f.rule);
            let help = Level::HELP.message(f.remedy.as_str());
            let group = title.element(snippet).element(help);
            out.push_str(&renderer.render(&[group]));
            out.push_str("\n\n");
        }
        if self.more > 0 {
            out.push_str(&format!("{} more findings are not shown\n", self.more));
        }
        out
    }
}
