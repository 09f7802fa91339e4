//! HTTP/1.1, as far as the operators' door needs it: one call is read out of a buffer, one answer is written. No I/O.

use std::fmt::Write as _;

/// The longest head, in bytes.
pub const HEAD_BYTES: usize = 4 * 1024;
/// The longest body, in bytes. No call needs one; what comes is read and left aside.
pub const BODY_BYTES: usize = 4 * 1024;
/// More header lines than this are too many.
const MAX_HEADERS: usize = 32;

/// What stands in a connection's buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Not a whole call yet.
    More,
    /// A call: its method, and its path without the query.
    Call(String, String),
    /// No call, and the status that says why.
    Bad(u16),
}

/// Reads a call; its body, if it has one, must have come whole.
pub fn read(buffer: &[u8]) -> Read {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buffer) {
        Ok(httparse::Status::Complete(size)) if size <= HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if buffer.len() < HEAD_BYTES => return Read::More,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Read::Bad(431),
        Err(httparse::Error::Version) => return Read::Bad(505),
        Err(_) => return Read::Bad(400),
    };
    let size = match body_size(request.headers) {
        Ok(size) => size,
        Err(status) => return Read::Bad(status),
    };
    if buffer.len() < head + size {
        return Read::More;
    }
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    let path = target.split(['?', '#']).next().unwrap_or_default();
    Read::Call(method.to_string(), path.to_string())
}

/// The size of a call's body; or the status that says why it cannot be read.
fn body_size(headers: &[httparse::Header]) -> Result<usize, u16> {
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
        Some(Some(size)) if size <= BODY_BYTES => Ok(size),
        Some(_) => Err(413),
    }
}

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Methods that would do, where the call's does not.
    pub allow: Option<&'static str>,
    /// Its text.
    pub body: String,
    /// It is a JSON object.
    pub json: bool,
}

impl Answer {
    /// An answer with a line of text.
    pub fn new(status: u16, text: impl Into<String>) -> Answer {
        Answer { status, allow: None, body: text.into(), json: false }
    }

    /// An answer with a JSON object.
    pub fn json(object: String) -> Answer {
        Answer { json: true, ..Answer::new(200, object) }
    }

    /// An answer that says no more than its status does.
    pub fn plain(status: u16) -> Answer {
        Answer::new(status, format!("{}\n", reason(status)))
    }

    /// As it goes out; the body is left out where the call was HEAD.
    pub fn to_bytes(&self, head_only: bool) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if let Some(allow) = self.allow {
            let _ = write!(text, "Allow: {allow}\r\n");
        }
        let _ = write!(
            text,
            "Content-Type: {}\r\nContent-Length: {}\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n",
            if self.json { "application/json" } else { "text/plain; version=0.0.4; charset=utf-8" },
            self.body.len()
        );
        if !head_only {
            text.push_str(&self.body);
        }
        text.into_bytes()
    }
}

fn reason(status: u16) -> &'static str {
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
