//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{OptionParser, Parser, construct, long, pure};

use crate::log;

/// Which fronts the program has.
#[derive(Clone, Debug)]
pub struct Frontends {
    /// The platform's configuration.
    pub config: Option<PathBuf>,
    /// The SIP front's configuration.
    pub sip: Option<PathBuf>,
}

/// How a command's output is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// A text that names no format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no format; write text or json")]
pub struct InvalidFormat(String);

impl FromStr for Format {
    type Err = InvalidFormat;

    fn from_str(text: &str) -> Result<Format, InvalidFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(InvalidFormat(other.to_string())),
        }
    }
}

/// What a gatekeeper is asked about its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetQuery {
    /// The whole object.
    Status,
    /// The members.
    Members,
    /// Whose each resource is.
    Owners,
    /// What the fleet's log holds of late.
    Log,
}

/// The call that `explain` is asked about.
#[derive(Clone, Debug)]
pub struct ExplainRequest {
    /// Its class.
    pub class: String,
    /// The number called.
    pub number: String,
    /// Its pool of first choice; -1: none.
    pub pool: i64,
}

/// What the program is asked to do.
#[derive(Clone, Debug)]
pub enum Task {
    /// Run a gatekeeper.
    Serve(Frontends, Option<PathBuf>, Option<String>, log::Settings, Option<AdminAddress>),
    /// Say which version this is.
    Version,
    /// Read the files and say what is in them and what is wrong with them.
    CheckConfig(Frontends, Option<PathBuf>, Option<String>, Format),
    /// Say what holds for a call, and where each value comes from.
    Explain(Frontends, PathBuf, ExplainRequest, Format),
    /// Print the operators' file's JSON Schema.
    Schema,
    /// Ask a gatekeeper about its fleet.
    Fleet(FleetQuery, AdminAddress, Format),
}

fn fronts() -> impl Parser<Frontends> {
    let config = long("config")
        .env("LB_CONFIG")
        .help("the platform front's configuration, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let sip = long("sip")
        .help("the SIP front's configuration, as JSON; without it there is no SIP front")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Frontends { config, sip })
}

/// Where operators connect, as it was given.
#[derive(Clone, Debug)]
pub struct AdminAddress(pub String);

fn door() -> impl Parser<Option<AdminAddress>> {
    long("door")
        .env("LB_OPS")
        .help("where operators connect, as in 127.0.0.1:9800; goes before 'ops' in the configuration")
        .argument::<String>("HOST:PORT")
        .map(AdminAddress)
        .optional()
}

fn ops() -> impl Parser<PathBuf> {
    long("ops")
        .help("the operators' file: JSON with comments, as deploy/cobaltspool.json5")
        .argument::<PathBuf>("FILE")
}

fn format() -> impl Parser<Format> {
    long("format").help("text, or json for programs").argument::<Format>("FORM").fallback(Format::Text)
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
        .optional();
    construct!(log::Settings { levels, form })
}

/// The member that a process is, where one file serves all.
fn node() -> impl Parser<Option<String>> {
    long("node")
        .help("which member of the fleet this is; goes before 'id' in the operators' file")
        .argument::<String>("ID")
        .optional()
}

/// The questions about a fleet.
fn fleet() -> impl Parser<Task> {
    let question = |question, name, descr| {
        let door = long("door")
            .env("LB_OPS")
            .help("the door of the gatekeeper that is asked")
            .argument::<String>("HOST:PORT")
            .map(AdminAddress);
        let (question, format) = (pure(question), format());
        construct!(Task::Fleet(question, door, format))
            .to_options()
            .descr(descr)
            .footer("Status: 0 done, 1 refused, with its reason, 69 nobody to ask")
            .command(name)
    };
    let status = question(FleetQuery::Status, "status", "Says how a gatekeeper sees its fleet");
    let members = question(FleetQuery::Members, "members", "Prints the fleet's members as a table");
    let owners = question(FleetQuery::Owners, "owners", "Prints whose each item of work is, with its token");
    let log = question(FleetQuery::Log, "log", "Prints what the fleet's log has decided of late");
    construct!([status, members, owners, log])
        .to_options()
        .descr("Asks a gatekeeper about the fleet that it is part of")
        .footer("Example: cobaltspool fleet status --door 127.0.0.1:9800 --format json")
        .command("fleet")
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Task> {
    let some = |f: &Frontends| f.config.is_some() || f.sip.is_some();
    let of_serve = fronts().guard(some, "give --config (or LB_CONFIG), --sip, or both");
    let (ops_of_serve, node_of_serve, log, door) = (ops().optional(), node(), logging(), door());
    let serve = construct!(Task::Serve(of_serve, ops_of_serve, node_of_serve, log, door))
        .to_options()
        .descr("Runs a gatekeeper until it is told to stop")
        .footer("Example: cobaltspool serve --sip deploy/sip.json --ops deploy/cobaltspool.json5")
        .command("serve");
    let version = pure(Task::Version).to_options().descr("Prints the version").command("version");
    let (of_check, ops_of_check, node_of_check, format_of_check) =
        (fronts(), ops().optional(), node(), format());
    let check = construct!(Task::CheckConfig(of_check, ops_of_check, node_of_check, format_of_check))
        .guard(
            move |t| matches!(t, Task::CheckConfig(f, ops, _, _) if some(f) || ops.is_some()),
            "give --config, --sip, --ops, or several",
        )
        .to_options()
        .descr("Reads configurations and says what is in them and what is wrong with them")
        .footer(
            "Example: cobaltspool check-config --ops deploy/cobaltspool.json5. Status: 0 accepted, 1 refused",
        )
        .command("check-config");
    let class = long("class").help("the call's class").argument::<String>("NAME");
    let number = long("number").help("the number called").argument::<String>("NUMBER");
    let pool = long("pool").help("its pool of first choice").argument::<i64>("N").fallback(-1);
    let asked = construct!(ExplainRequest { class, number, pool });
    let (of_explain, ops_of_explain, format_of_explain) = (fronts(), ops(), format());
    let explain = construct!(Task::Explain(of_explain, ops_of_explain, asked, format_of_explain))
        .to_options()
        .descr("Says what holds for a call of such a class and number, and where each value comes from")
        .footer(
            "Example: cobaltspool explain --ops deploy/cobaltspool.json5 --class check-setup --number 385",
        )
        .command("explain");
    let schema = pure(Task::Schema)
        .to_options()
        .descr("Prints a JSON Schema of the operators' file, for editors")
        .command("schema");
    construct!([serve, version, check, explain, schema, fleet()])
        .to_options()
        .descr("A gatekeeper that sets calls up at shared servers and keeps them from being overrun")
}
