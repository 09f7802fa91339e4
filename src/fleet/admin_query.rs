//! The command line's questions to a gatekeeper's admin endpoint.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use super::status::{self, CommittedChange, Status, members_table};
use crate::cli::{Format, Question};

/// The endpoint answers within a second, or there is nobody to ask.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Exit status: there is nobody to ask.
const EXIT_NO_ANSWER: u8 = 69;
/// The longest answer that is read.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// A gatekeeper's admin endpoint cannot be asked.
#[derive(Debug, thiserror::Error)]
enum AskError {
    #[error("nobody answers at {address}: {source}")]
    NoAnswer { address: SocketAddr, source: std::io::Error },
    #[error("what answers at {0} is no door")]
    NotAnEndpoint(SocketAddr),
}

/// Asks over HTTP and returns the status and the body.
fn get(door: SocketAddr, path: &str) -> Result<(u16, String), AskError> {
    let named = |source| AskError::NoAnswer { address: door, source };
    let mut stream = TcpStream::connect_timeout(&door, TIMEOUT).map_err(named)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(named)?;
    stream.set_write_timeout(Some(TIMEOUT)).map_err(named)?;
    let call = format!("GET {path} HTTP/1.1\r\nHost: {door}\r\nConnection: close\r\n\r\n");
    stream.write_all(call.as_bytes()).map_err(named)?;
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut bytes).map_err(named)?;
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(&bytes) {
        Ok(httparse::Status::Complete(head)) => {
            let body = String::from_utf8_lossy(&bytes[head..]).into_owned();
            Ok((answer.code.unwrap_or_default(), body))
        }
        _ => Err(AskError::NotAnEndpoint(door)),
    }
}

/// Asks, and prints the answer.
pub fn run(question: Question, door: SocketAddr, format: Format) -> ExitCode {
    let path = if question == Question::Log { "/control/fleet/log" } else { "/control/fleet" };
    let (status, body) = match get(door, path) {
        Ok(answer) => answer,
        Err(e) => {
            eprintln!("cobaltspool: {e}");
            return ExitCode::from(EXIT_NO_ANSWER);
        }
    };
    if status != 200 {
        eprintln!("cobaltspool: {}", body.trim());
        return ExitCode::FAILURE;
    }
    if question == Question::Log {
        return match serde_json::from_str::<Vec<CommittedChange>>(&body) {
            Ok(lines) if format == Format::Text => print(&status::changes_table(&lines)),
            Ok(_) => print(&(body + "\n")),
            Err(e) => unreadable(&e),
        };
    }
    let object: Status = match serde_json::from_str(&body) {
        Ok(object) => object,
        Err(e) => return unreadable(&e),
    };
    match (question, format) {
        (Question::Status, Format::Json) => println!("{body}"),
        (Question::Status, Format::Text) => print!("{}", object.render()),
        (Question::Members, Format::Json) => {
            println!("{}", serde_json::to_string(&object.members).unwrap_or_default());
        }
        (Question::Members, Format::Text) => print!("{}", members_table(&object.members)),
        (Question::Owners, Format::Json) => {
            println!("{}", serde_json::to_string(&object.owners).unwrap_or_default());
        }
        (Question::Owners | Question::Log, _) => print!("{}", status::owners_table(&object.owners)),
    }
    ExitCode::SUCCESS
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn unreadable(e: &serde_json::Error) -> ExitCode {
    eprintln!("cobaltspool: the answer does not read ({e}): is the gatekeeper of another version?");
    ExitCode::FAILURE
}
