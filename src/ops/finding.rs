//! Findings: the errors and warnings about an operator's file, with their locations and remedies.

use std::fmt;

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use serde::Serialize;

/// Maximum number of findings in a report; further ones are only counted.
pub const MAX_REPORTED: usize = 100;

/// A step of a path into the file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// The value of a key.
    Key(String),
    /// An index into a list, from 0.
    Index(usize),
    /// A key itself, if the key and not its value is wrong. Only permitted as the last step.
    Name(String),
}

/// A path to a value in the file, such as `limits.routes[3].limits.time_out`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Path(pub Vec<Step>);

impl Path {
    /// The path of a top-level key.
    pub fn of(key: &str) -> Path {
        Path::default().key(key)
    }

    /// Appends a key.
    #[must_use]
    pub fn key(&self, key: &str) -> Path {
        let mut steps = self.0.clone();
        steps.push(Step::Key(key.to_string()));
        Path(steps)
    }

    /// Appends a step that refers to the key itself.
    #[must_use]
    pub fn name(&self, key: &str) -> Path {
        let mut steps = self.0.clone();
        steps.push(Step::Name(key.to_string()));
        Path(steps)
    }

    /// Appends a list index.
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

/// The severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The file is refused.
    Error,
    /// The file is accepted, but an operator should review it.
    Warning,
}

/// An error or warning, with the paths of all values that cause it.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its severity.
    pub severity: Severity,
    /// The name of the violated rule, a single word.
    pub rule: &'static str,
    /// Description of the problem.
    pub text: String,
    /// How to correct it.
    pub remedy: String,
    /// The paths involved, each with its role in the finding; the primary one first.
    pub locations: Vec<(Path, String)>,
}

impl Finding {
    /// An error at one path.
    pub fn error(
        rule: &'static str,
        at: Path,
        text: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Finding {
        let locations = vec![(at, String::new())];
        Finding { severity: Severity::Error, rule, text: text.into(), remedy: remedy.into(), locations }
    }

    /// Lowers the severity to a warning.
    #[must_use]
    pub fn warning(mut self) -> Finding {
        self.severity = Severity::Warning;
        self
    }

    /// Adds a path that is involved in the finding.
    #[must_use]
    pub fn with(mut self, at: Path, what: impl Into<String>) -> Finding {
        self.locations.push((at, what.into()));
        self
    }
}

/// A location of a finding in the text.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SourceLocation {
    /// Path of the value.
    pub path: String,
    /// Line number, from 1.
    pub line: usize,
    /// Column number, from 1, in characters.
    pub column: usize,
    /// The text at this location.
    pub found: String,
    /// The role of this location in the finding.
    pub what: String,
    #[serde(skip)]
    range: (usize, usize),
}

/// A finding with its locations in the text.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LocatedFinding {
    /// Its severity.
    #[serde(rename = "weight")]
    pub severity: Severity,
    /// The name of the violated rule.
    pub rule: &'static str,
    /// Description of the problem.
    pub text: String,
    /// How to correct it.
    pub remedy: String,
    /// The locations, the primary one first.
    #[serde(rename = "places")]
    pub locations: Vec<SourceLocation>,
}

/// The findings about one file.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the file.
    pub file: String,
    /// The findings, ordered by location; at most [`MAX_REPORTED`].
    pub findings: Vec<LocatedFinding>,
    /// Number of findings that are not listed.
    pub more: usize,
    /// Whether any finding is an error, including those that are not listed.
    pub refused: bool,
    #[serde(skip)]
    text: String,
}

impl Report {
    /// Sorts findings and determines their locations in the text. `locate` returns the byte range of a path.
    pub fn new(
        file: &str,
        text: &str,
        mut findings: Vec<Finding>,
        locate: impl Fn(&Path) -> Option<(usize, usize)>,
    ) -> Report {
        let refused = findings.iter().any(|f| f.severity == Severity::Error);
        // Errors first, so that warnings are the ones dropped when the list is truncated.
        findings.sort_by_key(|f| f.severity != Severity::Error);
        let more = findings.len().saturating_sub(MAX_REPORTED);
        findings.truncate(MAX_REPORTED);
        let lines: Vec<usize> =
            std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let locate_in_text = |(path, what): (Path, String)| {
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
                locations: f.locations.into_iter().map(locate_in_text).collect(),
            })
            .collect();
        findings.sort_by_key(|f| f.locations.first().map_or(0, |p| p.range.0));
        Report { file: file.to_string(), findings, more, refused, text: text.to_string() }
    }

    /// Renders the report as text: each finding with its source lines, the offending text underlined, and the remedy.
    pub fn render(&self) -> String {
        let renderer = Renderer::plain();
        let mut out = String::new();
        for f in &self.findings {
            let level = if f.severity == Severity::Error { Level::ERROR } else { Level::WARNING };
            let mut snippet = Snippet::source(self.text.as_str()).path(self.file.as_str()).fold(true);
            for (n, location) in f.locations.iter().enumerate() {
                let kind = if n == 0 { AnnotationKind::Primary } else { AnnotationKind::Context };
                let end = self.text[location.range.0..location.range.1]
                    .find('\n')
                    .map_or(location.range.1, |at| location.range.0 + at);
                let label = (!location.what.is_empty()).then_some(location.what.as_str());
                snippet = snippet.annotation(kind.span(location.range.0..end).label(label));
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
