//! The command line.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{OptionParser, Parser, construct, long, pure};

use crate::log;

/// The configuration files of the frontends; a frontend without a file is not started.
#[derive(Clone, Debug)]
pub struct Frontends {
    /// Configuration of the platform frontend.
    pub config: Option<PathBuf>,
    /// Configuration of the SIP frontend.
    pub sip: Option<PathBuf>,
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Not the name of an output format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not an output format; write text or json")]
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

/// A query to a gatekeeper about its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetQuery {
    /// The complete status.
    Status,
    /// The fleet's members.
    Members,
    /// The owner of each resource.
    Owners,
    /// Recent entries of the fleet's log.
    Log,
}

/// The call for which `explain` prints the limits.
#[derive(Clone, Debug)]
pub struct ExplainRequest {
    /// Its class.
    pub class: String,
    /// The number called.
    pub number: String,
    /// Its preferred pool; -1 if it has none.
    pub pool: i64,
}

/// A command of the program, with its arguments.
#[derive(Clone, Debug)]
pub enum Task {
    /// Run a gatekeeper.
    Serve(Frontends, Option<PathBuf>, Option<String>, log::Settings, Option<AdminAddress>),
    /// Print the version.
    Version,
    /// Read the files, and print a summary and all findings.
    CheckConfig(Frontends, Option<PathBuf>, Option<String>, Format),
    /// Print the limits that apply to a call and the origin of each value.
    Explain(Frontends, PathBuf, ExplainRequest, Format),
    /// Print the JSON Schema of the operators' file.
    Schema,
    /// Query a gatekeeper about its fleet.
    Fleet(FleetQuery, AdminAddress, Format),
}

fn frontends() -> impl Parser<Frontends> {
    let config = long("config")
        .env("LB_CONFIG")
        .help("configuration of the platform frontend, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let sip = long("sip")
        .help("configuration of the SIP frontend, as JSON; without it the SIP frontend is not started")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Frontends { config, sip })
}

/// Address of an admin listener, not yet parsed.
#[derive(Clone, Debug)]
pub struct AdminAddress(pub String);

fn admin_address() -> impl Parser<Option<AdminAddress>> {
    long("door")
        .env("LB_OPS")
        .help("address of the admin listener, such as 127.0.0.1:9800; overrides 'ops' in the configuration")
        .argument::<String>("HOST:PORT")
        .map(AdminAddress)
        .optional()
}

fn ops_file() -> impl Parser<PathBuf> {
    long("ops")
        .help("the operators' file: JSON with comments, such as deploy/cobaltspool.json5")
        .argument::<PathBuf>("FILE")
}

fn format() -> impl Parser<Format> {
    long("format").help("output format: text or json").argument::<Format>("FORM").fallback(Format::Text)
}

fn logging() -> impl Parser<log::Settings> {
    let levels = long("log")
        .env("COBALTSPOOL_LOG")
        .help("log levels: a level or TARGET=LEVEL, separated by commas, such as info,call=debug")
        .argument::<log::Levels>("LEVELS")
        .optional();
    let form = long("log-format")
        .help("log format: text, or json for one object per line")
        .argument::<log::Form>("FORM")
        .optional();
    construct!(log::Settings { levels, form })
}

/// The fleet member that this process runs as, if one operators' file is used for all members.
fn node() -> impl Parser<Option<String>> {
    long("node")
        .help("id of this fleet member; overrides 'id' in the operators' file")
        .argument::<String>("ID")
        .optional()
}

/// The `fleet` command with its sub-commands.
fn fleet() -> impl Parser<Task> {
    let subcommand = |query, name, descr| {
        let address = long("door")
            .env("LB_OPS")
            .help("address of the gatekeeper's admin listener")
            .argument::<String>("HOST:PORT")
            .map(AdminAddress);
        let (query, format) = (pure(query), format());
        construct!(Task::Fleet(query, address, format))
            .to_options()
            .descr(descr)
            .footer("Exit status: 0 success, 1 refused (the reason is printed), 69 the gatekeeper does not answer")
            .command(name)
    };
    let status =
        subcommand(FleetQuery::Status, "status", "Prints the state of the fleet as seen by a gatekeeper");
    let members = subcommand(FleetQuery::Members, "members", "Prints the fleet's members as a table");
    let owners =
        subcommand(FleetQuery::Owners, "owners", "Prints the owner of each resource, with its token");
    let log = subcommand(FleetQuery::Log, "log", "Prints the recent entries of the fleet's log");
    construct!([status, members, owners, log])
        .to_options()
        .descr("Queries a gatekeeper about its fleet")
        .footer("Example: cobaltspool fleet status --door 127.0.0.1:9800 --format json")
        .command("fleet")
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Task> {
    let any_frontend = |f: &Frontends| f.config.is_some() || f.sip.is_some();
    let frontends_of_serve =
        frontends().guard(any_frontend, "--config (or LB_CONFIG), --sip or both are required");
    let (ops_of_serve, node_of_serve, log, address) =
        (ops_file().optional(), node(), logging(), admin_address());
    let serve = construct!(Task::Serve(frontends_of_serve, ops_of_serve, node_of_serve, log, address))
        .to_options()
        .descr("Runs a gatekeeper until SIGTERM or SIGINT")
        .footer("Example: cobaltspool serve --sip deploy/sip.json --ops deploy/cobaltspool.json5")
        .command("serve");
    let version = pure(Task::Version).to_options().descr("Prints the version").command("version");
    let (frontends_of_check, ops_of_check, node_of_check, format_of_check) =
        (frontends(), ops_file().optional(), node(), format());
    let check = construct!(Task::CheckConfig(frontends_of_check, ops_of_check, node_of_check, format_of_check))
        .guard(
            move |t| matches!(t, Task::CheckConfig(f, ops, _, _) if any_frontend(f) || ops.is_some()),
            "at least one of --config, --sip and --ops is required",
        )
        .to_options()
        .descr("Checks configuration files and prints a summary and all findings")
        .footer(
            "Example: cobaltspool check-config --ops deploy/cobaltspool.json5. Exit status: 0 accepted, 1 refused",
        )
        .command("check-config");
    let class = long("class").help("the call's class").argument::<String>("NAME");
    let number = long("number").help("the number called").argument::<String>("NUMBER");
    let pool = long("pool").help("the call's preferred pool").argument::<i64>("N").fallback(-1);
    let request = construct!(ExplainRequest { class, number, pool });
    let (frontends_of_explain, ops_of_explain, format_of_explain) = (frontends(), ops_file(), format());
    let explain = construct!(Task::Explain(frontends_of_explain, ops_of_explain, request, format_of_explain))
        .to_options()
        .descr("Prints the limits that apply to a call of a class and number, and the origin of each value")
        .footer(
            "Example: cobaltspool explain --ops deploy/cobaltspool.json5 --class check-setup --number 385",
        )
        .command("explain");
    let schema = pure(Task::Schema)
        .to_options()
        .descr("Prints the JSON Schema of the operators' file, for editors")
        .command("schema");
    construct!([serve, version, check, explain, schema, fleet()])
        .to_options()
        .descr("A gatekeeper that routes call set-up requests to shared servers and sheds overload")
}
