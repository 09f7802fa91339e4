//! The line codec: one JSON object per line, at most 16 KiB.
//!
//! Lines are parsed with serde_json rather than tinyjson: the input is untrusted, tinyjson's parser recurses without
//! a bound, and descriptions must be forwarded byte for byte, which serde_json's raw values allow.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::LoadReport;

/// The longest line, without its line end.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// A call's id on the wire: 16 hex digits, in the case in which they were received.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag([u8; 16]);

impl Tag {
    /// Parses a tag; `None` if it is not 16 hex digits.
    pub fn parse(text: &str) -> Option<Tag> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Tag(digits))
    }

    /// The tag with this value.
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

/// Message types.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Set-up request.
    Start,
    /// Progress of a set-up; ignored.
    Pending,
    /// The call is established.
    Started,
    /// Rejection, failure, release, or cancellation of a set-up.
    Finish,
    /// Confirmation of a [`Finish`](Verb::Finish).
    Finished,
    /// Health check.
    Echo,
    /// Answer to a health check.
    Echoed,
    /// Load report of a server.
    Load,
    /// Any other type; ignored.
    Unknown,
}

/// Causes, with their ITU-T Q.850 numbers.
pub mod cause {
    /// The call has ended normally, or the set-up is cancelled.
    pub const NORMAL: i64 = 16;
    /// Rejected because no line is free; a retry has no side effect.
    pub const NO_CIRCUIT: i64 = 34;
    /// Rejected because of congestion; a retry has no side effect.
    pub const CONGESTION: i64 = 42;
    /// The set-up failed, or the call was lost.
    pub const TEMPORARY_FAILURE: i64 = 41;
    /// A field of the message is missing or invalid.
    pub const INVALID_FIELD: i64 = 100;
    /// The attempt was never sent.
    pub const NOT_SENT: i64 = 102;
}

/// A decoded message. Parts that cannot be decoded are `None`.
#[derive(Debug)]
pub struct Line {
    /// Message type.
    pub verb: Verb,
    /// Id of the call or of the health check.
    pub tag: Option<Tag>,
    /// Fields (`opts`), as JSON; `None` if they are not an object.
    fields: Option<BTreeMap<String, Box<RawValue>>>,
    /// Cause (`rc`); `None` if it is absent or not a number.
    pub cause: Option<i64>,
    /// Description (`blob`), as JSON.
    pub description: Option<Bytes>,
}

#[derive(Deserialize)]
struct RawLine<'a> {
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

/// Decodes a line; `None` if it is not a JSON object with a `verb`.
pub fn decode(line: &[u8]) -> Option<Line> {
    let raw: RawLine = serde_json::from_slice(line).ok()?;
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

/// Parses a JSON number, or a JSON string that contains a number.
fn parse_number(json: &str) -> Option<f64> {
    let inner = json.strip_prefix('"').and_then(|j| j.strip_suffix('"')).unwrap_or(json);
    inner.trim().parse::<f64>().ok().filter(|n| n.is_finite())
}

impl Line {
    /// Whether the fields are a JSON object.
    pub fn has_valid_fields(&self) -> bool {
        self.fields.is_some()
    }

    /// A field's JSON, as received.
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

    /// The load report, for example `x0:12;x1:40;queue:3`. Negative and invalid values are ignored.
    pub fn load_report(&self) -> LoadReport {
        let mut load = LoadReport::default();
        for (key, value) in key_value_pairs(&self.text("load").unwrap_or_default()) {
            let parsed = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
            let field = match key {
                "x0" | "spare" => &mut load.free_lines,
                "x1" | "total" => &mut load.total_lines,
                "latency_ms" | "avg_ms" => &mut load.queueing_delay_ms,
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

/// Splits a text such as `a:1;b:2` into pairs of a key and a value.
pub fn key_value_pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(';').filter_map(|pair| pair.split_once(':')).map(|(k, v)| (k.trim(), v.trim()))
}

/// Encodes a message as a line. `fields` are pairs of a name and a JSON value; `description` is JSON.
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

/// What a connection's buffer begins with.
#[derive(Debug)]
pub enum Next {
    /// A message.
    Line(Line),
    /// An incomplete line.
    More,
    /// A line that is malformed or too long: the connection is to be closed.
    Broken,
}

/// Takes the next line out of a buffer. `scanned` is the length of the part already searched for a line end.
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

/// A connection's reader, for `link::run`: passes each complete message to `on_line`. Returns
/// false when a line is malformed or `on_line` has returned false.
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
