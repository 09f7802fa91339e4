//! The subset of HTTP/1.1 that the admin endpoint needs: parses one request from a buffer and encodes one response. No
//! I/O.

use std::fmt::Write as _;

/// Maximum length of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Maximum length of a request's body, in bytes. No request needs a body; it is read and ignored.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// Maximum number of header lines.
const MAX_HEADERS: usize = 32;

/// The result of parsing a connection's buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseResult {
    /// The request is not complete yet.
    Incomplete,
    /// A request: the method, and the path without the query.
    Request(String, String),
    /// The request is invalid; the status of the response to it.
    Invalid(u16),
}

/// Parses a request. A request with a body is incomplete until all of the body is in the buffer.
pub fn parse_request(buffer: &[u8]) -> ParseResult {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return ParseResult::Incomplete,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return ParseResult::Invalid(431),
        Err(httparse::Error::Version) => return ParseResult::Invalid(505),
        Err(_) => return ParseResult::Invalid(400),
    };
    let body_length = match body_length(request.headers) {
        Ok(length) => length,
        Err(status) => return ParseResult::Invalid(status),
    };
    if buffer.len() < head_length + body_length {
        return ParseResult::Incomplete;
    }
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    let path = target.split(['?', '#']).next().unwrap_or_default();
    ParseResult::Request(method.to_string(), path.to_string())
}

/// The length of the request's body; an error is the status of the response to the invalid request.
fn body_length(headers: &[httparse::Header]) -> Result<usize, u16> {
    let mut body_length = None;
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
            let length = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse::<usize>().ok());
            // Two different lengths would leave the end of the request ambiguous.
            if body_length.is_some_and(|earlier| earlier != length) {
                return Err(400);
            }
            body_length = Some(length);
        }
    }
    match body_length {
        None => Ok(0),
        Some(Some(length)) if length <= MAX_BODY_BYTES => Ok(length),
        Some(_) => Err(413),
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The value of the `Allow` header: the methods that the path supports, if the request's is not one of them.
    pub allow: Option<&'static str>,
    /// The body.
    pub body: String,
    /// Whether the body is JSON; otherwise it is plain text.
    pub is_json: bool,
}

impl Response {
    /// A response with a plain-text body.
    pub fn new(status: u16, text: impl Into<String>) -> Response {
        Response { status, allow: None, body: text.into(), is_json: false }
    }

    /// A response with status 200 and a JSON body.
    pub fn json(body: String) -> Response {
        Response { is_json: true, ..Response::new(200, body) }
    }

    /// A response whose body is the reason phrase of the status.
    pub fn from_status(status: u16) -> Response {
        Response::new(status, format!("{}\n", reason_phrase(status)))
    }

    /// Encodes the response; `head_only` omits the body, as for a HEAD request.
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
