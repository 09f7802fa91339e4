//! The command line's questions to a gatekeeper's door.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use super::status::{self, Line, Status, table};
use crate::cli::Format;

/// A door answers within a second, or there is nobody to ask.
const PATIENCE: Duration = Duration::from_secs(3);
/// Exit status: there is nobody to ask.
pub const NOBODY: u8 = 69;
/// The longest answer that is read.
const ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// The whole object.
    Status,
    /// The members.
    Members,
    /// Whose each item of work is.
    Owners,
    /// What the fleet's log holds of late.
    Log,
}

/// Asks a door over HTTP: the status and the body.
fn get(door: SocketAddr, path: &str) -> Result<(u16, String), String> {
    let named = |e: std::io::Error| format!("nobody answers at {door}: {e}");
    let mut stream = TcpStream::connect_timeout(&door, PATIENCE).map_err(named)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(named)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(named)?;
    let call = format!("GET {path} HTTP/1.1\r\nHost: {door}\r\nConnection: close\r\n\r\n");
    stream.write_all(call.as_bytes()).map_err(named)?;
    let mut bytes = Vec::new();
    stream.take(ANSWER_BYTES).read_to_end(&mut bytes).map_err(named)?;
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(&bytes) {
        Ok(httparse::Status::Complete(head)) => {
            let body = String::from_utf8_lossy(&bytes[head..]).into_owned();
            Ok((answer.code.unwrap_or_default(), body))
        }
        _ => Err(format!("what answers at {door} is no door")),
    }
}

/// Asks, and prints the answer.
pub fn ask(question: Question, door: SocketAddr, format: Format) -> ExitCode {
    let path = if question == Question::Log { "/control/fleet/log" } else { "/control/fleet" };
    let (status, body) = match get(door, path) {
        Ok(answer) => answer,
        Err(e) => {
            eprintln!("cobaltspool: {e}");
            return ExitCode::from(NOBODY);
        }
    };
    if status != 200 {
        eprintln!("cobaltspool: {}", body.trim());
        return ExitCode::FAILURE;
    }
    if question == Question::Log {
        return match serde_json::from_str::<Vec<Line>>(&body) {
            Ok(lines) if format == Format::Text => print(&status::log(&lines)),
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
        (Question::Members, Format::Text) => print!("{}", table(&object.members)),
        (Question::Owners, Format::Json) => {
            println!("{}", serde_json::to_string(&object.owners).unwrap_or_default());
        }
        (Question::Owners | Question::Log, _) => print!("{}", status::owners(&object.owners)),
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
