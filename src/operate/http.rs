//! HTTP/1.1, as far as the operators' door needs it: one call is read out of a buffer, one answer is written. No I/O.

use std::fmt::Write as _;

/// The longest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// The longest body, in bytes. No call needs one; what comes is read and left aside.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// More header lines than this are too many.
const MAX_HEADERS: usize = 32;

/// What stands in a connection's buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseResult {
    /// Not a whole call yet.
    Incomplete,
    /// A call: its method, and its path without the query.
    Request(String, String),
    /// No call, and the status that says why.
    Invalid(u16),
}

/// Reads a call; its body, if it has one, must have come whole.
pub fn parse_request(buffer: &[u8]) -> ParseResult {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buffer) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return ParseResult::Incomplete,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return ParseResult::Invalid(431),
        Err(httparse::Error::Version) => return ParseResult::Invalid(505),
        Err(_) => return ParseResult::Invalid(400),
    };
    let size = match body_length(request.headers) {
        Ok(size) => size,
        Err(status) => return ParseResult::Invalid(status),
    };
    if buffer.len() < head + size {
        return ParseResult::Incomplete;
    }
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    let path = target.split(['?', '#']).next().unwrap_or_default();
    ParseResult::Request(method.to_string(), path.to_string())
}

/// The size of a call's body; or the status that says why it cannot be read.
fn body_length(headers: &[httparse::Header]) -> Result<usize, u16> {
    let mut body = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(411);
        }
        if header.name.eq_ignore_ascii_case("expect") {
            return Err(417);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = header.value.trim_ascii();
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return Err(400);
            }
            let size = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse::<usize>().ok());
            // Two lengths that differ would leave open where the call ends.
            if body.is_some_and(|earlier| earlier != size) {
                return Err(400);
            }
            body = Some(size);
        }
    }
    match body {
        None => Ok(0),
        Some(Some(size)) if size <= MAX_BODY_BYTES => Ok(size),
        Some(_) => Err(413),
    }
}

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Methods that would do, where the call's does not.
    pub allow: Option<&'static str>,
    /// Its text.
    pub body: String,
    /// It is a JSON object.
    pub is_json: bool,
}

impl Response {
    /// An answer with a line of text.
    pub fn new(status: u16, text: impl Into<String>) -> Response {
        Response { status, allow: None, body: text.into(), is_json: false }
    }

    /// An answer with a JSON object.
    pub fn json(object: String) -> Response {
        Response { is_json: true, ..Response::new(200, object) }
    }

    /// An answer that says no more than its status does.
    pub fn from_status(status: u16) -> Response {
        Response::new(status, format!("{}\n", reason_phrase(status)))
    }

    /// As it goes out; the body is left out where the call was HEAD.
    pub fn to_bytes(&self, head_only: bool) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if let Some(allow) = self.allow {
            let _ = write!(text, "Allow: {allow}\r\n");
        }
        let _ = write!(
            text,
            "Content-Type: {}\r\nContent-Length: {}\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n",
            if self.is_json { "application/json" } else { "text/plain; version=0.0.4; charset=utf-8" },
            self.body.len()
        );
        if !head_only {
            text.push_str(&self.body);
        }
        text.into_bytes()
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests;
