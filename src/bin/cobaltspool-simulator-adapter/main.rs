//! Runs gatekeepers inside the simulator: converts its JSON lines into events of the core, and the core's actions back
//! into JSON. It makes no decisions itself.
#![forbid(unsafe_code)]

mod error;
mod from_wire;
mod gatekeeper;
mod to_wire;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use cobaltspool::Micros;

use error::AdapterError;
use gatekeeper::{ServerLists, SimulatedGatekeeper};
use wire::{Batch, BatchReply, InputMessage, OutputMessage};

/// All gatekeepers of a simulation.
#[derive(Default)]
struct Adapter {
    gatekeepers: BTreeMap<u64, SimulatedGatekeeper>,
    lists: ServerLists,
}

impl Adapter {
    /// Processes one line of input and returns the reply.
    fn process_line(&mut self, line: &str) -> Result<BatchReply, AdapterError> {
        let Batch { clock, frame, msgs } = serde_json::from_str(line)?;
        let mut actions = Vec::new();
        for (index, message) in msgs.into_iter().enumerate() {
            let handled = self.handle(clock, message, &mut actions);
            handled.map_err(|source| AdapterError::BadMessage { frame, index, source: source.into() })?;
        }
        Ok(BatchReply { frame, actions })
    }

    fn handle(
        &mut self,
        now: Micros,
        message: InputMessage,
        output: &mut Vec<OutputMessage>,
    ) -> Result<(), AdapterError> {
        match message {
            InputMessage::Directory(list) => {
                self.lists.insert(list.r#ref, list.elements);
            }
            InputMessage::Begin(begin) => {
                self.gatekeepers
                    .insert(begin.front, SimulatedGatekeeper::new(&begin.profile_data, begin.random_seed));
            }
            InputMessage::Killed(killed) => {
                self.gatekeepers
                    .remove(&killed.front)
                    .ok_or(AdapterError::UnknownGatekeeper(killed.front))?;
            }
            event => {
                let front = event.front().unwrap_or_default();
                let gatekeeper =
                    self.gatekeepers.get_mut(&front).ok_or(AdapterError::UnknownGatekeeper(front))?;
                gatekeeper.handle(now, event, &self.lists, output)?;
            }
        }
        Ok(())
    }
}

/// Processes lines until the end of the input.
fn run() -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut line = String::new();
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    while input.read_line(&mut line).map_err(AdapterError::Read)? > 0 {
        let reply = adapter.process_line(&line)?;
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
