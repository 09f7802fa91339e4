//! Runs gatekeepers inside the simulator: translates its JSON lines to the core's events and back, and decides nothing.
#![forbid(unsafe_code)]

mod error;
mod from_wire;
mod host;
mod to_wire;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use cobaltspool::Micros;

use error::AdapterError;
use host::{Host, ServerLists};
use wire::{Act, Batch, BatchReply, Msg};

/// All gatekeepers of a simulation.
#[derive(Default)]
struct Adapter {
    hosts: BTreeMap<u64, Host>,
    lists: ServerLists,
}

impl Adapter {
    /// Answers one line of input.
    fn answer(&mut self, line: &str) -> Result<BatchReply, AdapterError> {
        let Batch { clock, frame, msgs } = serde_json::from_str(line)?;
        let mut actions = Vec::new();
        for (index, message) in msgs.into_iter().enumerate() {
            let handled = self.handle(clock, message, &mut actions);
            handled.map_err(|source| AdapterError::BadMessage { frame, index, source: source.into() })?;
        }
        Ok(BatchReply { frame, actions })
    }

    fn handle(&mut self, now: Micros, message: Msg, acts: &mut Vec<Act>) -> Result<(), AdapterError> {
        match message {
            Msg::Directory(list) => {
                self.lists.insert(list.r#ref, list.elements);
            }
            Msg::Begin(begin) => {
                self.hosts.insert(begin.front, Host::new(&begin.profile_data, begin.random_seed));
            }
            Msg::Killed(killed) => {
                self.hosts.remove(&killed.front).ok_or(AdapterError::UnknownGatekeeper(killed.front))?;
            }
            event => {
                let front = event.front().unwrap_or_default();
                let host = self.hosts.get_mut(&front).ok_or(AdapterError::UnknownGatekeeper(front))?;
                host.handle(now, event, &self.lists, acts)?;
            }
        }
        Ok(())
    }
}

/// Answers lines until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut line = String::new();
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    while input.read_line(&mut line).map_err(AdapterError::Read)? > 0 {
        let reply = adapter.answer(&line)?;
        write_reply(&mut output, &reply).map_err(AdapterError::Write)?;
        line.clear();
    }
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &BatchReply) -> io::Result<()> {
    serde_json::to_writer(&mut *output, reply)?;
    output.write_all(b"\n")?;
    output.flush()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cobaltspool-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
