//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, pure};

/// What the program is asked to do.
#[derive(Clone, Debug)]
pub enum Task {
    /// Run a gatekeeper.
    Serve {
        /// The platform's configuration.
        config: PathBuf,
    },
    /// Say which version this is.
    Version,
    /// Read a configuration and say what is in it.
    CheckConfig {
        /// The platform's configuration.
        config: PathBuf,
    },
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Task> {
    let config = || {
        long("config")
            .env("LB_CONFIG")
            .help("the gatekeeper's configuration, as JSON")
            .argument::<PathBuf>("FILE")
    };
    let serve = construct!(Task::Serve { config(config()) })
        .to_options()
        .descr("Runs a gatekeeper until it is told to stop")
        .command("serve");
    let version = pure(Task::Version).to_options().descr("Prints the version").command("version");
    let check = construct!(Task::CheckConfig { config(config()) })
        .to_options()
        .descr("Reads a configuration and says what is in it")
        .command("check-config");
    construct!([serve, version, check])
        .to_options()
        .descr("A gatekeeper that sets calls up at shared servers and keeps them from being overrun")
}
