//! Queries of the command line to the admin endpoint of a gatekeeper.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use super::status::{self, CommittedChange, Status, members_table};
use crate::cli::{FleetQuery, Format};

/// Timeout for connecting and for each read and write. A working endpoint answers within a second.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Exit status if no admin endpoint answers.
const EXIT_NO_ANSWER: u8 = 69;
/// Maximum size of an answer; longer ones are truncated.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// A query to an admin endpoint failed.
#[derive(Debug, thiserror::Error)]
enum QueryError {
    #[error("no answer from {address}: {source}")]
    NoAnswer { address: SocketAddr, source: std::io::Error },
    #[error("the server at {0} is not an admin endpoint")]
    NotAnEndpoint(SocketAddr),
}

/// Sends a GET request and returns the HTTP status and the body.
fn get(address: SocketAddr, path: &str) -> Result<(u16, String), QueryError> {
    let no_answer = |source| QueryError::NoAnswer { address, source };
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(no_answer)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(no_answer)?;
    stream.set_write_timeout(Some(TIMEOUT)).map_err(no_answer)?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(no_answer)?;
    let mut bytes = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut bytes).map_err(no_answer)?;
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(&bytes) {
        Ok(httparse::Status::Complete(head)) => {
            let body = String::from_utf8_lossy(&bytes[head..]).into_owned();
            Ok((response.code.unwrap_or_default(), body))
        }
        _ => Err(QueryError::NotAnEndpoint(address)),
    }
}

/// Sends a query and prints the answer.
pub fn run(query: FleetQuery, address: SocketAddr, format: Format) -> ExitCode {
    let path = if query == FleetQuery::Log { "/control/fleet/log" } else { "/control/fleet" };
    let (status, body) = match get(address, path) {
        Ok(response) => response,
        Err(e) => {
            eprintln!("cobaltspool: {e}");
            return ExitCode::from(EXIT_NO_ANSWER);
        }
    };
    if status != 200 {
        eprintln!("cobaltspool: {}", body.trim());
        return ExitCode::FAILURE;
    }
    if query == FleetQuery::Log {
        return match serde_json::from_str::<Vec<CommittedChange>>(&body) {
            Ok(changes) if format == Format::Text => print(&status::changes_table(&changes)),
            Ok(_) => print(&(body + "\n")),
            Err(e) => report_unreadable(&e),
        };
    }
    let fleet: Status = match serde_json::from_str(&body) {
        Ok(fleet) => fleet,
        Err(e) => return report_unreadable(&e),
    };
    match (query, format) {
        (FleetQuery::Status, Format::Json) => println!("{body}"),
        (FleetQuery::Status, Format::Text) => print!("{}", fleet.render()),
        (FleetQuery::Members, Format::Json) => {
            println!("{}", serde_json::to_string(&fleet.members).unwrap_or_default());
        }
        (FleetQuery::Members, Format::Text) => print!("{}", members_table(&fleet.members)),
        (FleetQuery::Owners, Format::Json) => {
            println!("{}", serde_json::to_string(&fleet.owners).unwrap_or_default());
        }
        (FleetQuery::Owners | FleetQuery::Log, _) => print!("{}", status::owners_table(&fleet.owners)),
    }
    ExitCode::SUCCESS
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn report_unreadable(e: &serde_json::Error) -> ExitCode {
    eprintln!("cobaltspool: cannot parse the answer ({e}): the gatekeeper may run another version");
    ExitCode::FAILURE
}
