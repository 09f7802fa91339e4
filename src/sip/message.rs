//! SIP messages (RFC 3261 §7, §20, §25): parsing, serialization, and access to the header fields used here.

use bytes::{Buf, Bytes, BytesMut};

/// Upper limit for the size of a message's head, that is, the start line and the header fields.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Upper limit for the size of a message's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Memory of an allocation beside its contents.
const ALLOCATION_BYTES: usize = 16;

/// The start line of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum StartLine {
    /// A request: method and Request-URI.
    Request(String, String),
    /// A response: status code and reason phrase.
    Status(u16, String),
}

/// A SIP message. Header names are in their long form, and header fields keep their order.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The start line.
    pub start: StartLine,
    /// Names and values of the header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// Result of reading the front of a stream's buffer.
#[derive(Debug)]
pub enum Framed {
    /// A complete message; only its framing has been checked.
    Message(Message),
    /// The message is not complete yet.
    Incomplete,
    /// Invalid data: no further message can be read from the stream.
    Invalid,
}

impl Message {
    /// A request without header fields.
    pub fn request(method: &str, uri: &str) -> Message {
        let start = StartLine::Request(method.to_string(), uri.to_string());
        Message { start, headers: Vec::new(), body: Bytes::new() }
    }

    /// A response to a request (§8.2.6). Via, From, To, Call-ID and CSeq are copied from the request; `to_tag` is
    /// added to To if the request had no tag there.
    pub fn response(request: &Message, code: u16, to_tag: Option<&str>) -> Message {
        let start = StartLine::Status(code, reason_phrase(code).to_string());
        let mut message = Message { start, headers: Vec::new(), body: Bytes::new() };
        for (name, value) in &request.headers {
            match name.as_str() {
                "Via" | "From" | "Call-ID" | "CSeq" => message.add(name, value),
                "Record-Route" if (101..300).contains(&code) => message.add(name, value),
                "To" => match to_tag.filter(|_| param(value, "tag").is_none()) {
                    Some(tag) => message.add(name, &format!("{value};tag={tag}")),
                    None => message.add(name, value),
                },
                _ => {}
            }
        }
        message
    }

    /// Appends a header field.
    pub fn add(&mut self, name: &str, value: &str) {
        self.headers.push((name.to_string(), value.to_string()));
    }

    /// The first header field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// All header fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> Option<&str> {
        if let StartLine::Request(method, _) = &self.start { Some(method) } else { None }
    }

    /// The Request-URI of a request.
    pub fn uri(&self) -> Option<&str> {
        if let StartLine::Request(_, uri) = &self.start { Some(uri) } else { None }
    }

    /// The status code of a response.
    pub fn code(&self) -> Option<u16> {
        if let StartLine::Status(code, _) = &self.start { Some(*code) } else { None }
    }

    /// Sequence number and method of the CSeq header field.
    pub fn cseq(&self) -> Option<(u32, &str)> {
        let (number, method) = self.get("CSeq")?.split_once(char::is_whitespace)?;
        Some((number.parse().ok()?, method.trim()))
    }

    /// The value of the topmost Via.
    pub fn top_via(&self) -> Option<&str> {
        self.get("Via").and_then(|v| split_list(v).next())
    }

    /// The branch parameter of the topmost Via.
    pub fn branch(&self) -> Option<&str> {
        self.top_via().and_then(|v| param(v, "branch"))
    }

    /// The tag parameter of From or To.
    pub fn tag(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|v| param(v, "tag"))
    }

    /// Replaces the value of the topmost Via.
    pub fn set_top_via(&mut self, value: &str) {
        if let Some((_, via)) = self.headers.iter_mut().find(|(n, _)| n == "Via") {
            let rest: Vec<&str> = split_list(via).skip(1).collect();
            *via = [value].into_iter().chain(rest).collect::<Vec<_>>().join(", ");
        }
    }

    /// Serializes the message.
    pub fn to_bytes(&self) -> Bytes {
        let mut out = match &self.start {
            StartLine::Request(method, uri) => format!("{method} {uri} SIP/2.0\r\n"),
            StartLine::Status(code, reason) => format!("SIP/2.0 {code} {reason}\r\n"),
        };
        for (name, value) in self.headers.iter().filter(|(n, _)| n != "Content-Length") {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes.into()
    }

    /// Drops the header fields that neither responses nor calls use, so that a stored message does not hold their memory.
    pub fn drop_unused_headers(&mut self) {
        const USED: [&str; 13] = [
            "Via",
            "From",
            "To",
            "Call-ID",
            "CSeq",
            "Contact",
            "Record-Route",
            "Max-Forwards",
            "Session-ID",
            "Content-Type",
            "Expires",
            "Require",
            "Retry-After",
        ];
        self.headers.retain(|(name, _)| USED.contains(&name.as_str()));
        self.headers.shrink_to_fit();
    }

    /// Approximate memory that the message occupies, in bytes.
    pub fn memory_size(&self) -> usize {
        const FIELD_BYTES: usize = size_of::<(String, String)>() + 2 * ALLOCATION_BYTES;
        let fields = self.headers.iter().map(|(name, value)| FIELD_BYTES + name.len() + value.len());
        fields.sum::<usize>() + self.body.len()
    }

    /// Describes the first violation of §8.1.1 or §8.2 in a correctly framed message; `None` for a valid message.
    pub fn validation_error(&self) -> Option<&'static str> {
        for name in ["Via", "From", "To", "Call-ID", "CSeq"] {
            if self.get(name).is_none_or(str::is_empty) {
                return Some("a mandatory header field is missing");
            }
            if name != "Via" && self.all(name).count() > 1 {
                return Some("a header field occurs more than once");
            }
        }
        let Some((number, method)) = self.cseq() else { return Some("CSeq is invalid") };
        if number > i32::MAX as u32 {
            return Some("the CSeq number is too large");
        }
        if self.top_via().and_then(sent_by).is_none() {
            return Some("Via is invalid");
        }
        if self.tag("From").is_none() {
            return Some("From has no tag");
        }
        if let StartLine::Request(own, uri) = &self.start {
            if own != method {
                return Some("the CSeq method differs from the request method");
            }
            if self.branch().is_none_or(|b| !b.starts_with("z9hG4bK")) {
                return Some("the Via branch does not start with z9hG4bK");
            }
            if !uri.contains(':') {
                return Some("the Request-URI is invalid");
            }
        }
        None
    }
}

/// Parses a datagram; `None` if it is not a SIP message. Bytes after Content-Length are ignored (§18.3).
pub fn read_datagram(bytes: &[u8]) -> Option<Result<Message, Message>> {
    let start = bytes.iter().position(|b| !b.is_ascii_whitespace())?;
    let bytes = &bytes[start..];
    let head = find_head(bytes)?;
    let mut message = read_head(&bytes[..head])?;
    let body = &bytes[head + 4..];
    let length = match message.get("Content-Length") {
        Some(length) => length.trim().parse::<usize>().ok(),
        None => Some(body.len()),
    };
    match length.filter(|n| *n <= body.len()) {
        Some(length) => {
            message.body = Bytes::copy_from_slice(&body[..length]);
            Some(Ok(message))
        }
        None => Some(Err(message)),
    }
}

/// Removes the next message from a stream's buffer; Content-Length delimits it (§18.3).
pub fn take_message(buffer: &mut BytesMut) -> Framed {
    while buffer.first().is_some_and(u8::is_ascii_whitespace) {
        buffer.advance(1); // keep-alive between messages
    }
    let Some(head) = find_head(buffer) else {
        return if buffer.len() > MAX_HEAD_BYTES { Framed::Invalid } else { Framed::Incomplete };
    };
    let Some(mut message) = read_head(&buffer[..head]) else { return Framed::Invalid };
    let length = message.get("Content-Length").and_then(|l| l.trim().parse::<usize>().ok());
    let Some(length) = length.filter(|n| *n <= MAX_BODY_BYTES && head <= MAX_HEAD_BYTES) else {
        return Framed::Invalid;
    };
    if buffer.len() < head + 4 + length {
        return Framed::Incomplete;
    }
    buffer.advance(head + 4);
    message.body = buffer.split_to(length).freeze();
    Framed::Message(message)
}

fn find_head(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|w| w == b"\r\n\r\n")
}

fn read_head(head: &[u8]) -> Option<Message> {
    let text = std::str::from_utf8(head).ok()?;
    let mut lines = text.split("\r\n");
    let first = lines.next()?;
    let start = match first.strip_prefix("SIP/2.0 ") {
        Some(rest) => {
            let (code, reason) = rest.split_once(' ').unwrap_or((rest, ""));
            let code = code.parse().ok().filter(|c| (100..700).contains(c))?;
            StartLine::Status(code, reason.to_string())
        }
        None => {
            let mut words = first.split(' ');
            let (method, uri) = (words.next()?, words.next()?);
            let token = |b: u8| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b);
            if words.next() != Some("SIP/2.0") || words.next().is_some() || !method.bytes().all(token) {
                return None;
            }
            StartLine::Request(method.to_string(), uri.to_string())
        }
    };
    let mut headers: Vec<(String, String)> = Vec::new();
    for line in lines {
        if line.starts_with([' ', '\t']) {
            let (_, value) = headers.last_mut()?;
            if !value.is_empty() {
                value.push(' ');
            }
            value.push_str(line.trim());
            continue;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((long_header_name(name.trim()), value.trim().to_string()));
    }
    Some(Message { start, headers, body: Bytes::new() })
}

/// The long form of a header name; names are case-insensitive and may be abbreviated (§7.3.3).
fn long_header_name(name: &str) -> String {
    const HEADER_NAMES: [(Option<&str>, &str); 17] = [
        (Some("v"), "Via"),
        (Some("f"), "From"),
        (Some("t"), "To"),
        (Some("i"), "Call-ID"),
        (Some("m"), "Contact"),
        (Some("l"), "Content-Length"),
        (Some("c"), "Content-Type"),
        (Some("s"), "Subject"),
        (Some("k"), "Supported"),
        (Some("e"), "Content-Encoding"),
        (None, "CSeq"),
        (None, "Record-Route"),
        (None, "Retry-After"),
        (None, "Require"),
        (None, "Expires"),
        (None, "Session-ID"),
        (None, "Max-Forwards"),
    ];
    let same = |known: &str| name.eq_ignore_ascii_case(known);
    let known = HEADER_NAMES.iter().find(|(short, long)| same(long) || short.is_some_and(same));
    known.map_or_else(|| name.to_string(), |(_, long)| long.to_string())
}

/// The elements of a comma-separated header field; commas in quotes or angle brackets do not separate.
pub fn split_list(value: &str) -> impl Iterator<Item = &str> {
    let (mut quoted, mut angle) = (false, false);
    let parts = value.split(move |c| {
        match c {
            '"' => quoted = !quoted,
            '<' if !quoted => angle = true,
            '>' if !quoted => angle = false,
            _ => {}
        }
        c == ',' && !quoted && !angle
    });
    parts.map(str::trim).filter(|p| !p.is_empty())
}

/// A parameter of a header field's value; parameters of the URI in angle brackets are not searched.
pub fn param<'a>(value: &'a str, name: &str) -> Option<&'a str> {
    let outside = value.rsplit_once('>').map_or(value, |(_, rest)| rest);
    outside.split(';').skip(1).find_map(|part| {
        let (key, value) = part.split_once('=').unwrap_or((part, ""));
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// The URI in a From, To or Contact value.
pub fn address(value: &str) -> &str {
    match value.split_once('<').and_then(|(_, rest)| rest.split_once('>')) {
        Some((address, _)) => address.trim(),
        None => value.split(';').next().unwrap_or(value).trim(),
    }
}

/// Host and port of a Via value; the port is 5060 if none is given.
pub fn sent_by(via: &str) -> Option<(&str, u16)> {
    let (protocol, rest) = via.split_once(char::is_whitespace)?;
    if !protocol.starts_with("SIP/2.0/") {
        return None;
    }
    host_port(rest.split(';').next()?.trim())
}

/// Splits host and port; the port is 5060 if none is given.
pub fn host_port(text: &str) -> Option<(&str, u16)> {
    let (host, port) = match text.rsplit_once(':').filter(|(h, _)| !h.contains(':') || h.ends_with(']')) {
        Some((host, port)) => (host, port.trim().parse().ok()?),
        None => (text, 5060),
    };
    (!host.trim().is_empty()).then(|| (host.trim(), port))
}

/// User, host part and parameters of a SIP URI.
pub fn uri_parts(uri: &str) -> (Option<&str>, &str, &str) {
    let rest = uri.split_once(':').map_or(uri, |(_, rest)| rest);
    let rest = rest.split('?').next().unwrap_or(rest);
    let (user, host) = rest.rsplit_once('@').map_or((None, rest), |(user, host)| (Some(user), host));
    let (host, params) = host.split_once(';').unwrap_or((host, ""));
    (user, host, params)
}

/// The reason phrase of a status code (§21).
pub fn reason_phrase(code: u16) -> &'static str {
    match code {
        100 => "Trying",
        180 => "Ringing",
        183 => "Session Progress",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        480 => "Temporarily Unavailable",
        481 => "Call/Transaction Does Not Exist",
        482 => "Loop Detected",
        483 => "Too Many Hops",
        486 => "Busy Here",
        487 => "Request Terminated",
        488 => "Not Acceptable Here",
        500 => "Server Internal Error",
        503 => "Service Unavailable",
        _ if code >= 600 => "Global Failure",
        _ if code >= 500 => "Server Failure",
        _ => "Request Failure",
    }
}
