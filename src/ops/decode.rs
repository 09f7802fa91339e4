//! Parses JSON with comments and trailing commas, and decodes it into values. All errors are reported in one run.

use jsonc_parser::ast::{self, ObjectPropName};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};
use serde_path_to_error::Segment;

use super::finding::{Finding, Path, Step};

/// Maximum size of a file, in bytes.
pub const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of errors that are reported for one value.
const MAX_ERRORS: usize = 32;

/// JSON5 syntax, with comments and trailing commas. Missing commas are errors.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: true,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: true,
    allow_hexadecimal_numbers: true,
    allow_unary_plus_numbers: true,
    allow_bare_decimal_point_numbers: true,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: true,
};

/// The syntax tree of a text that is valid JSON.
pub struct SyntaxTree<'a> {
    root: ast::Value<'a>,
}

/// Parses a text. An error consists of a message and the byte range that it refers to.
pub fn parse(text: &str) -> Result<SyntaxTree<'_>, (String, (usize, usize))> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
    let parsed = parsed.map_err(|e| (e.kind().to_string(), (e.range().start, e.range().end)))?;
    match parsed.value {
        Some(root) => Ok(SyntaxTree { root }),
        None => Err(("the file is empty".to_string(), (0, 0))),
    }
}

impl<'a> SyntaxTree<'a> {
    /// Returns the byte range of the value at a path. For a missing key this is the start of its object, and for an
    /// unknown key the key itself.
    pub fn locate(&self, path: &Path) -> Option<(usize, usize)> {
        let mut at = &self.root;
        for step in &path.0 {
            at = match (step, at) {
                (Step::Key(key), ast::Value::Object(object)) => {
                    match object.properties.iter().rev().find(|p| p.name.as_str() == key) {
                        Some(property) => &property.value,
                        None => {
                            let range = object.range;
                            return Some((range.start, range.start + 1));
                        }
                    }
                }
                (Step::Index(n), ast::Value::Array(list)) => list.elements.get(*n)?,
                (Step::Name(key), ast::Value::Object(object)) => {
                    let property = object.properties.iter().rev().find(|p| p.name.as_str() == key)?;
                    let range = property.name.range();
                    return Some((range.start, range.end));
                }
                _ => break,
            };
        }
        let range = at.range();
        Some((range.start, range.end))
    }

    /// Converts the tree into a serde value. Duplicate keys and numbers that cannot be represented are reported.
    pub fn value(&self, findings: &mut Vec<Finding>) -> Value {
        convert(&self.root, &Path::default(), findings)
    }
}

fn convert(node: &ast::Value, at: &Path, findings: &mut Vec<Finding>) -> Value {
    match node {
        ast::Value::StringLit(text) => Value::String(text.value.to_string()),
        ast::Value::NumberLit(number) => parse_number(number.value).map_or_else(
            || {
                let text = format!("{} is a number that cannot be represented", number.value);
                findings.push(Finding::error("number", at.clone(), text, "write a plain decimal number"));
                Value::Null
            },
            Value::Number,
        ),
        ast::Value::BooleanLit(b) => Value::Bool(b.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(list) => Value::Array(
            list.elements.iter().enumerate().map(|(n, v)| convert(v, &at.index(n), findings)).collect(),
        ),
        ast::Value::Object(object) => {
            let mut map = Map::new();
            for property in &object.properties {
                let key = match &property.name {
                    ObjectPropName::String(text) => text.value.to_string(),
                    ObjectPropName::Word(word) => word.value.to_string(),
                };
                let here = at.key(&key);
                let value = convert(&property.value, &here, findings);
                if map.insert(key.clone(), value).is_some() {
                    let text = format!("'{key}' stands twice");
                    findings.push(Finding::error("twice", here, text, "leave one of them out"));
                }
            }
            Value::Object(map)
        }
    }
}

fn parse_number(text: &str) -> Option<Number> {
    let plain = text.trim_start_matches('+');
    let (sign, digits) = plain.strip_prefix('-').map_or((1, plain), |rest| (-1, rest));
    if let Some(hex) = digits.strip_prefix("0x").or_else(|| digits.strip_prefix("0X")) {
        return i64::from_str_radix(hex, 16).ok().map(|n| Number::from(sign * n));
    }
    let integer = plain.parse::<i64>().map(Number::from).or_else(|_| plain.parse::<u64>().map(Number::from));
    integer.ok().or_else(|| plain.parse::<f64>().ok().and_then(Number::from_f64))
}

/// Decodes one value. An element that cannot be decoded is reported and removed, and decoding starts again, so that all
/// errors are found. Returns `None` if the rest cannot be decoded either.
pub fn decode<T: DeserializeOwned>(mut value: Value, at: &Path, findings: &mut Vec<Finding>) -> Option<T> {
    let mut removed: Vec<Vec<Step>> = Vec::new();
    for _ in 0..MAX_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(decoded) => return Some(decoded),
            Err(error) => error,
        };
        let mut steps = Vec::new();
        for segment in error.path() {
            match segment {
                Segment::Map { key } => steps.push(Step::Key(key.clone())),
                Segment::Seq { index } => steps.push(Step::Index(*index)),
                Segment::Enum { .. } | Segment::Unknown => {}
            }
        }
        let mut full = Path(at.0.iter().chain(&steps).cloned().collect());
        let message = error.inner().to_string();
        let missing = message.strip_prefix("missing field `").and_then(|m| m.strip_suffix('`'));
        let is_missing_field = |path: &Vec<Step>| {
            let name = missing.map(|key| Step::Key(key.to_string()));
            path.split_last().is_some_and(|(last, before)| Some(last) == name.as_ref() && before == steps)
        };
        if removed.iter().any(is_missing_field) {
            return None; // The field is missing because its invalid value was reported and removed.
        }
        if let (true, Some(Step::Key(key))) = (message.starts_with("unknown field"), full.0.last().cloned()) {
            full.0.pop();
            full = full.name(&key);
        }
        findings.push(Finding::error("form", full, describe(&message), remedy(&message)));
        if !remove_at(&mut value, &steps) {
            return None;
        }
        removed.push(steps);
    }
    None
}

/// Rewords serde's error message in terms of the file.
fn describe(message: &str) -> String {
    match message.split_once(", expected ") {
        Some((what, _)) if message.starts_with("unknown field") => {
            format!("there is no setting {}", what.trim_start_matches("unknown field "))
        }
        _ => message.to_string(),
    }
}

fn remedy(message: &str) -> String {
    if let Some((_, known)) = message.split_once(", expected ") {
        let known = known.trim_start_matches("one of ").replace('`', "");
        return format!("write {known}");
    }
    if message.starts_with("missing field") {
        return "add it".to_string();
    }
    "see `cobaltspool schema` for the values permitted here".to_string()
}

fn remove_at(value: &mut Value, steps: &[Step]) -> bool {
    let Some((last, before)) = steps.split_last() else { return false };
    let mut at = value;
    for step in before {
        let next = match (step, at) {
            (Step::Key(key), Value::Object(map)) => map.get_mut(key),
            (Step::Index(n), Value::Array(list)) => list.get_mut(*n),
            _ => None, // `Step::Name` refers to a key, which has no value to descend into.
        };
        match next {
            Some(next) => at = next,
            None => return false,
        }
    }
    match (last, at) {
        (Step::Key(key), Value::Object(map)) => map.remove(key).is_some(),
        (Step::Index(n), Value::Array(list)) if *n < list.len() => {
            list.remove(*n);
            true
        }
        _ => false,
    }
}
