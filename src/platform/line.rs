//! The line codec: one JSON object a line, 16 KiB at most.
//!
//! Lines are read with serde_json, not tinyjson: the input is not trusted, tinyjson's parser recurses without
//! a bound, and descriptions must be passed on byte for byte, which serde_json's raw values do.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::LoadReport;

/// The longest line, without its end.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// A call's name on the wire: 16 hex digits, kept as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag([u8; 16]);

impl Tag {
    /// Reads a tag.
    pub fn parse(text: &str) -> Option<Tag> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Tag(digits))
    }

    /// A tag of our own making.
    pub fn from_u64(number: u64) -> Tag {
        Tag::parse(&format!("{number:016x}")).expect("sixteen digits")
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

impl fmt::Debug for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The types of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Set-up.
    Start,
    /// Progress; means nothing.
    Pending,
    /// The call stands.
    Started,
    /// Refusal, failure, release, or the set-up is given up.
    Finish,
    /// A release was heard.
    Finished,
    /// Test.
    Echo,
    /// A test's answer.
    Echoed,
    /// A group's state.
    Load,
    /// Anything else: ignored.
    Unknown,
}

/// Causes, by their ITU-T Q.850 numbers.
pub mod cause {
    /// The call has come to its end, or the set-up is given up.
    pub const NORMAL: i64 = 16;
    /// Refused: trying again is harmless.
    pub const NO_CIRCUIT: i64 = 34;
    /// Refused for congestion: trying again is harmless.
    pub const CONGESTION: i64 = 42;
    /// Failed, or cut.
    pub const TEMPORARY_FAILURE: i64 = 41;
    /// A field of the message cannot be read.
    pub const INVALID_FIELD: i64 = 100;
    /// Moot: it never left.
    pub const NOT_SENT: i64 = 102;
}

/// One message, decoded as far as it could be.
#[derive(Debug)]
pub struct Line {
    /// Its type.
    pub verb: Verb,
    /// Its call, or the test's own name.
    pub tag: Option<Tag>,
    /// Its fields, as JSON; `None` if they are no object.
    fields: Option<BTreeMap<String, Box<RawValue>>>,
    /// Its cause; `None` if it has none or it is no number.
    pub cause: Option<i64>,
    /// Its description, as JSON.
    pub description: Option<Bytes>,
}

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    verb: Cow<'a, str>,
    #[serde(borrow, default)]
    tag: Option<&'a RawValue>,
    #[serde(borrow, default)]
    opts: Option<&'a RawValue>,
    #[serde(borrow, default)]
    rc: Option<&'a RawValue>,
    #[serde(borrow, default)]
    blob: Option<&'a RawValue>,
}

/// Decodes a line; `None` if it is not a message at all.
pub fn decode(line: &[u8]) -> Option<Line> {
    let raw: Raw = serde_json::from_slice(line).ok()?;
    let text = |raw: &RawValue| serde_json::from_str::<String>(raw.get()).ok();
    let verb = match &*raw.verb {
        "START" => Verb::Start,
        "PENDING" => Verb::Pending,
        "STARTED" => Verb::Started,
        "FINISH" => Verb::Finish,
        "FINISHED" => Verb::Finished,
        "ECHO" => Verb::Echo,
        "ECHOED" => Verb::Echoed,
        "LOAD" => Verb::Load,
        _ => Verb::Unknown,
    };
    Some(Line {
        verb,
        tag: raw.tag.and_then(text).and_then(|t| Tag::parse(&t)),
        fields: match raw.opts {
            Some(fields) => serde_json::from_str(fields.get()).ok(),
            None => Some(BTreeMap::new()),
        },
        cause: raw.rc.and_then(|rc| parse_number(rc.get())).map(|rc| rc as i64),
        description: raw.blob.map(|b| Bytes::copy_from_slice(b.get().as_bytes())),
    })
}

/// A number that may stand in a string.
fn parse_number(json: &str) -> Option<f64> {
    let inner = json.strip_prefix('"').and_then(|j| j.strip_suffix('"')).unwrap_or(json);
    inner.trim().parse::<f64>().ok().filter(|n| n.is_finite())
}

impl Line {
    /// Whether the fields are readable at all.
    pub fn has_valid_fields(&self) -> bool {
        self.fields.is_some()
    }

    /// A field as it stands on the wire.
    pub fn raw(&self, key: &str) -> Option<&str> {
        self.fields.as_ref()?.get(key).map(|v| v.get())
    }

    /// A field as text.
    pub fn text(&self, key: &str) -> Option<String> {
        let raw = self.raw(key)?;
        if raw.starts_with('"') { serde_json::from_str(raw).ok() } else { Some(raw.to_string()) }
    }

    /// A field as a number.
    pub fn number(&self, key: &str) -> Option<f64> {
        parse_number(self.raw(key)?)
    }

    /// The load report, as in `x0:12;x1:40;queue:3`. Figures below 0 say nothing.
    pub fn load_report(&self) -> LoadReport {
        let mut load = LoadReport::default();
        for (key, value) in key_value_pairs(&self.text("load").unwrap_or_default()) {
            let parsed = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
            let field = match key {
                "x0" | "spare" => &mut load.free_lines,
                "x1" | "total" => &mut load.total_lines,
                "latency_ms" | "avg_ms" => &mut load.queue_wait_ms,
                "queue" | "waiting" => &mut load.queued_setups,
                "inflight" | "active" => &mut load.messages_in_progress,
                "util" | "cpu" => &mut load.utilization,
                "qps" | "allowed" => &mut load.allowed_rate,
                "eps" | "cut_by" => &mut load.requested_reduction,
                _ => continue,
            };
            *field = parsed;
        }
        load
    }
}

/// The pairs of `a:1;b:2`.
pub fn key_value_pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(';').filter_map(|pair| pair.split_once(':')).map(|(k, v)| (k.trim(), v.trim()))
}

/// Appends one message. `opts` are pairs of a name and a JSON value; `blob` is JSON.
pub fn encode(
    verb: &str,
    tag: Tag,
    fields: &[(&str, &str)],
    cause: Option<i64>,
    description: Option<&[u8]>,
) -> Vec<u8> {
    let mut line = String::with_capacity(128);
    let _ = write!(line, "{{\"verb\":\"{verb}\",\"tag\":\"{tag}\",\"opts\":{{");
    for (n, (key, value)) in fields.iter().enumerate() {
        let _ = write!(line, "{}\"{key}\":{value}", if n > 0 { "," } else { "" });
    }
    line.push('}');
    if let Some(cause) = cause {
        let _ = write!(line, ",\"rc\":{cause}");
    }
    let mut bytes = line.into_bytes();
    if let Some(description) = description {
        bytes.extend_from_slice(b",\"blob\":");
        bytes.extend_from_slice(description);
    }
    bytes.extend_from_slice(b"}\n");
    bytes
}

/// What stands at the front of a connection's buffer.
#[derive(Debug)]
pub enum Next {
    /// A message.
    Line(Line),
    /// No whole line yet.
    More,
    /// A line that cannot be read, or is too long: the connection is of no use any more.
    Broken,
}

/// Takes the next line out of a buffer; `scanned` remembers how much of it holds no line end.
pub fn next(buffer: &mut BytesMut, scanned: &mut usize) -> Next {
    loop {
        let end = buffer[*scanned..].iter().position(|b| *b == b'\n').map(|n| n + *scanned);
        if end.unwrap_or(buffer.len()) > MAX_LINE_BYTES {
            return Next::Broken;
        }
        let Some(end) = end else {
            *scanned = buffer.len();
            return Next::More;
        };
        let decoded = (!buffer[..end].trim_ascii().is_empty()).then(|| decode(&buffer[..end]));
        buffer.advance(end + 1);
        *scanned = 0;
        match decoded {
            None => continue, // a blank line
            Some(Some(line)) => return Next::Line(line),
            Some(None) => return Next::Broken,
        }
    }
}

/// A connection's reader: gives `on_line` each message that has come whole, until one cannot be read or
/// `on_line` returns false.
pub fn reader(mut on_line: impl FnMut(Line) -> bool) -> impl FnMut(&mut BytesMut) -> bool {
    let mut scanned = 0;
    move |buffer| loop {
        match next(buffer, &mut scanned) {
            Next::More => return true,
            Next::Broken => return false,
            Next::Line(line) => {
                if !on_line(line) {
                    return false;
                }
            }
        }
    }
}
