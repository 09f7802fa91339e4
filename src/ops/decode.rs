//! From text to values: JSON with comments and trailing commas, read once, with every fault found in one go.

use jsonc_parser::ast::{self, ObjectPropName};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};
use serde_path_to_error::Segment;

use super::finding::{Finding, Path, Step};

/// The largest file.
pub const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Most faults of one value that are looked for.
const MAX_FAULTS: usize = 32;

/// JSON with comments and trailing commas; what else JSON5 has, but no missing commas.
const FORM: ParseOptions = ParseOptions {
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

/// A text that could be read as JSON.
pub struct Tree<'a> {
    root: ast::Value<'a>,
}

/// Reads a text. An error is a message and the range that it is about.
pub fn parse(text: &str) -> Result<Tree<'_>, (String, (usize, usize))> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &FORM);
    let parsed = parsed.map_err(|e| (e.kind().to_string(), (e.range().start, e.range().end)))?;
    match parsed.value {
        Some(root) => Ok(Tree { root }),
        None => Err(("the file is empty".to_string(), (0, 0))),
    }
}

impl<'a> Tree<'a> {
    /// Where a path's value stands; a key that is missing or unknown counts as its object's start or its own name.
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

    /// The value as serde has it. Keys that stand twice are findings.
    pub fn value(&self, findings: &mut Vec<Finding>) -> Value {
        convert(&self.root, &Path::default(), findings)
    }
}

fn convert(node: &ast::Value, at: &Path, findings: &mut Vec<Finding>) -> Value {
    match node {
        ast::Value::StringLit(text) => Value::String(text.value.to_string()),
        ast::Value::NumberLit(number) => number_of(number.value).map_or_else(
            || {
                let text = format!("{} is no number that can be kept", number.value);
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

fn number_of(text: &str) -> Option<Number> {
    let plain = text.trim_start_matches('+');
    let (sign, digits) = plain.strip_prefix('-').map_or((1, plain), |rest| (-1, rest));
    if let Some(hex) = digits.strip_prefix("0x").or_else(|| digits.strip_prefix("0X")) {
        return i64::from_str_radix(hex, 16).ok().map(|n| Number::from(sign * n));
    }
    let whole = plain.parse::<i64>().map(Number::from).or_else(|_| plain.parse::<u64>().map(Number::from));
    whole.ok().or_else(|| plain.parse::<f64>().ok().and_then(Number::from_f64))
}

/// Decodes one value. What cannot be decoded is noted, taken out, and the rest is looked at again, so that every
/// fault is found. `None` if nothing is left that could be decoded.
pub fn decode<T: DeserializeOwned>(mut value: Value, at: &Path, findings: &mut Vec<Finding>) -> Option<T> {
    let mut taken: Vec<Vec<Step>> = Vec::new();
    for _ in 0..MAX_FAULTS {
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
        let said = error.inner().to_string();
        let missing = said.strip_prefix("missing field `").and_then(|m| m.strip_suffix('`'));
        let needed = |t: &Vec<Step>| {
            let name = missing.map(|key| Step::Key(key.to_string()));
            t.split_last().is_some_and(|(last, before)| Some(last) == name.as_ref() && before == steps)
        };
        if taken.iter().any(needed) {
            return None; // it was there, wrong, and has been told
        }
        if let (true, Some(Step::Key(key))) = (said.starts_with("unknown field"), full.0.last().cloned()) {
            full.0.pop();
            full = full.name(&key);
        }
        findings.push(Finding::error("form", full, plain(&said), remedy(&said)));
        if !take_out(&mut value, &steps) {
            return None;
        }
        taken.push(steps);
    }
    None
}

/// What serde says, in the file's own words.
fn plain(said: &str) -> String {
    match said.split_once(", expected ") {
        Some((what, _)) if said.starts_with("unknown field") => {
            format!("there is no setting {}", what.trim_start_matches("unknown field "))
        }
        _ => said.to_string(),
    }
}

fn remedy(said: &str) -> String {
    if let Some((_, known)) = said.split_once(", expected ") {
        let known = known.trim_start_matches("one of ").replace('`', "");
        return format!("write {known}");
    }
    if said.starts_with("missing field") {
        return "add it".to_string();
    }
    "see `cobaltspool schema` for what may stand here".to_string()
}

fn take_out(value: &mut Value, steps: &[Step]) -> bool {
    let Some((last, before)) = steps.split_last() else { return false };
    let mut at = value;
    for step in before {
        let next = match (step, at) {
            (Step::Key(key), Value::Object(map)) => map.get_mut(key),
            (Step::Index(n), Value::Array(list)) => list.get_mut(*n),
            _ => None, // a name is no place for a value
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
