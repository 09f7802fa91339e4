//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, pure};

use crate::log;

/// Which fronts the program has.
#[derive(Clone, Debug)]
pub struct Fronts {
    /// The platform's configuration.
    pub config: Option<PathBuf>,
    /// The SIP front's configuration.
    pub sip: Option<PathBuf>,
}

/// What the program is asked to do.
#[derive(Clone, Debug)]
pub enum Task {
    /// Run a gatekeeper.
    Serve(Fronts, log::Settings),
    /// Say which version this is.
    Version,
    /// Read the configuration and say what is in it.
    CheckConfig(Fronts),
}

fn fronts() -> impl Parser<Fronts> {
    let config = long("config")
        .env("LB_CONFIG")
        .help("the platform front's configuration, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let sip = long("sip")
        .help("the SIP front's configuration, as JSON; without it there is no SIP front")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Fronts { config, sip })
        .guard(|f| f.config.is_some() || f.sip.is_some(), "give --config (or LB_CONFIG), --sip, or both")
}

fn logging() -> impl Parser<log::Settings> {
    let levels = long("log")
        .env("COBALTSPOOL_LOG")
        .help("what is logged: a level, or TARGET=LEVEL with commas between, as in info,call=debug")
        .argument::<log::Levels>("LEVELS")
        .optional();
    let form = long("log-format")
        .help("text, or json for one object a line")
        .argument::<log::Form>("FORM")
        .fallback(log::Form::Text);
    construct!(log::Settings { levels, form })
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Task> {
    let (of_serve, log) = (fronts(), logging());
    let serve = construct!(Task::Serve(of_serve, log))
        .to_options()
        .descr("Runs a gatekeeper until it is told to stop")
        .command("serve");
    let version = pure(Task::Version).to_options().descr("Prints the version").command("version");
    let check = fronts()
        .map(Task::CheckConfig)
        .to_options()
        .descr("Reads a configuration and says what is in it")
        .command("check-config");
    construct!([serve, version, check])
        .to_options()
        .descr("A gatekeeper that sets calls up at shared servers and keeps them from being overrun")
}
