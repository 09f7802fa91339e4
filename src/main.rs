//! The gatekeeper program: reads the configuration and runs the frontends.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use cobaltspool::cli::{self, AdminAddress, Frontends, Task};
use cobaltspool::commands::{self, Configs, read_configs};
use cobaltspool::fleet::settings::FleetRole;
use cobaltspool::limits::{Ceilings, Plan};
use cobaltspool::operate::{AdminService, admin as admin_endpoint};
use cobaltspool::sections::{self, OpsConfig};
use cobaltspool::{fleet, log, platform, sip};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// The result of a step of the program. An error ends the program and is printed.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Sends new limits to a frontend.
type PlanSender = watch::Sender<Option<Rc<Plan>>>;

fn main() -> ExitCode {
    // Sets up the fail points of test builds. In other builds this line and the fail point macros are compiled out.
    #[cfg(feature = "faults")]
    let _faults = fail::FailScenario::setup();
    match run(cli::parser().run()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cobaltspool: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the command given on the command line.
fn run(task: Task) -> Result<ExitCode> {
    match task {
        Task::Serve(frontends, ops, node, log, address) => {
            start(&frontends, ops.as_deref(), node.as_deref(), log, address)?;
        }
        Task::Version => println!("cobaltspool {}", env!("CARGO_PKG_VERSION")),
        Task::Schema => println!("{}", sections::schema()),
        Task::CheckConfig(frontends, ops, node, format) => {
            return Ok(print_report(commands::check(&frontends, ops.as_ref(), node.as_deref(), format)));
        }
        Task::Explain(frontends, ops, call, format) => {
            return Ok(print_report(commands::explain(&frontends, &ops, &call, format)));
        }
        Task::Fleet(query, address, format) => {
            return Ok(fleet::admin_query::run(query, parse_address(&address)?, format));
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the output of a command and converts its outcome to an exit code.
fn print_report((text, is_ok): (String, bool)) -> ExitCode {
    print!("{text}");
    if is_ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Reads the operators' file, if one is given, and checks it against the limits of each frontend. The results are in the
/// order of the frontends.
fn read_ops(path: Option<&Path>, ceilings: &[Ceilings], node: Option<&str>) -> Result<Vec<OpsConfig>> {
    let Some(path) = path else { return Ok(Vec::new()) };
    let read = |ceilings: &Ceilings| {
        sections::read(path, ceilings, node)
            .map_err(|report| format!("{} is refused\n{}", path.display(), report.render()).into())
    };
    ceilings.iter().map(read).collect()
}

fn start(
    frontends: &Frontends,
    ops_file: Option<&Path>,
    node: Option<&str>,
    log: log::Settings,
    address: Option<AdminAddress>,
) -> Result<()> {
    let configs = read_configs(frontends)?;
    let admin_address = admin_address(address, &configs)?;
    let ceilings = commands::ceilings(&configs);
    let ops = read_ops(ops_file, &ceilings, node)?;
    let file_settings = ops.first().map(|o| o.log.clone()).unwrap_or_default();
    let _guard = log::start(log.or(file_settings))?;
    log_warnings(&ops);
    serve(frontends, configs, &OpsSource { file: ops_file, ceilings, node }, ops, admin_address)
}

/// Returns the address of the admin listener. The command line and LB_OPS override the configuration.
fn admin_address(given: Option<AdminAddress>, (config, sip): &Configs) -> Result<Option<SocketAddr>> {
    match given.filter(|AdminAddress(text)| !text.is_empty()) {
        Some(address) => parse_address(&address).map(Some),
        None => {
            Ok(config.as_ref().and_then(|c| c.admin_address).or(sip.as_ref().and_then(|c| c.admin_address)))
        }
    }
}

fn parse_address(AdminAddress(text): &AdminAddress) -> Result<SocketAddr> {
    text.parse().map_err(|_| {
        format!("--door or LB_OPS: '{text}' is not an address; write HOST:PORT with a numeric IP address")
            .into()
    })
}

/// The path of the operators' file and the parameters with which it is read.
struct OpsSource<'a> {
    file: Option<&'a Path>,
    ceilings: Vec<Ceilings>,
    node: Option<&'a str>,
}

/// Logs the findings of accepted operators' files, which are all warnings.
fn log_warnings(ops: &[OpsConfig]) {
    for finding in ops.iter().flat_map(|o| &o.report.findings) {
        let path = finding.locations.first().map_or("", |p| &p.path);
        tracing::warn!(rule = finding.rule, at = path, "{}", finding.text);
    }
}

fn serve(
    frontends: &Frontends,
    (config, sip): Configs,
    ops_source: &OpsSource,
    ops: Vec<OpsConfig>,
    admin_address: Option<SocketAddr>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Install the signal handlers first: until then, these signals terminate the process.
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hup = signal(SignalKind::hangup())?;
        let (stop, stopped) = watch::channel(false);
        tokio::task::spawn_local(async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
            let _ = stop.send(true);
        });
        let wait_until_true = |mut stopped: watch::Receiver<bool>| async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let dns = watch::Sender::new(config.as_ref().map_or(unspecified, |c| c.dns));
        let sip_dns = watch::Sender::new(sip.as_ref().map_or(unspecified, |c| c.dns));
        let fleet_role = ops.first().map(|o| (o.fleet.clone(), o.digest)).unwrap_or_default();
        // One plan per frontend, in the order of the frontends.
        let mut plans = ops.into_iter().map(|o| Rc::new(o.plan));
        let plan = watch::Sender::new(config.as_ref().and_then(|_| plans.next()));
        let sip_plan = watch::Sender::new(sip.as_ref().and_then(|_| plans.next()));
        let limits: Vec<&PlanSender> =
            config.iter().map(|_| &plan).chain(sip.iter().map(|_| &sip_plan)).collect();
        let admin = AdminService::new(usize::from(config.is_some()) + usize::from(sip.is_some()));
        let listener = match admin_address {
            Some(address) => Some(admin_endpoint::listen(address).await?),
            None => None,
        };
        let admin_listener = async {
            match listener {
                Some(listener) => admin_endpoint::serve(admin.clone(), listener).await,
                None => std::future::pending().await,
            }
        };
        // The fleet member is stopped after the frontends have ended.
        let (stop_member, ended) = watch::channel(false);
        let member = match fleet_role {
            (FleetRole::Member(set), digest) => {
                let fleet_member = fleet::join(*set, digest, &admin).await?;
                Some(tokio::task::spawn_local(fleet_member.serve(wait_until_true(ended))))
            }
            (FleetRole::Unidentified, _) => {
                return Err(
                    "the operators' file is used by several fleet members; start with --node ID".into()
                );
            }
            (FleetRole::None, _) => None,
        };
        let platform = async {
            let Some(config) = config else { return Result::Ok(()) };
            let stop = wait_until_true(stopped.clone());
            let served = platform::serve(config, dns.subscribe(), plan.subscribe(), admin.clone(), stop);
            Ok(served.await?)
        };
        let sip = async {
            let Some(config) = sip else { return Result::Ok(()) };
            let stop = wait_until_true(stopped.clone());
            let served = sip::serve(config, sip_dns.subscribe(), sip_plan.subscribe(), admin.clone(), stop);
            Ok(served.await?)
        };
        let done = tokio::select! {
            done = async { tokio::try_join!(platform, sip) } => done.map(|_| ()),
            () = admin_listener => Ok(()),
            () = reload(frontends, ops_source, hup, [&dns, &sip_dns], &limits) => Ok(()),
        };
        let _ = stop_member.send(true);
        if let Some(member) = member {
            let _ = tokio::time::timeout(Duration::from_millis(200), member).await;
        }
        done
    })
}

/// Reads the frontends' configurations and the operators' file.
fn read_all(frontends: &Frontends, ops_source: &OpsSource<'_>) -> Result<(Configs, Vec<OpsConfig>)> {
    let configs = read_configs(frontends)?;
    let ops = read_ops(ops_source.file, &ops_source.ceilings, ops_source.node)?;
    Ok((configs, ops))
}

/// Reads all files again at each SIGHUP; never returns. New resolver addresses and limits apply immediately, all other
/// settings at the next start. If any file cannot be read or is refused, nothing is changed.
async fn reload(
    frontends: &Frontends,
    ops_source: &OpsSource<'_>,
    mut hup: Signal,
    dns: [&watch::Sender<SocketAddr>; 2],
    limits: &[&PlanSender],
) {
    while hup.recv().await.is_some() {
        let ((config, sip), ops) = match read_all(frontends, ops_source) {
            Ok(read) => read,
            Err(e) => {
                // Logged as a string, whose line breaks the log escapes: a report has several lines.
                tracing::error!(error = e.to_string(), "reload: all stays as it was");
                continue;
            }
        };
        for (resolver, new_address) in dns.into_iter().zip([config.map(|c| c.dns), sip.map(|c| c.dns)]) {
            if let Some(address) = new_address {
                tracing::info!(resolver = %address, "reload");
                resolver.send_if_modified(|current| std::mem::replace(current, address) != address);
            }
        }
        log_warnings(&ops);
        for (sender, ops) in limits.iter().zip(ops) {
            tracing::info!(routes = ops.plan.section.routes.len(), "reload: limits");
            sender.send_replace(Some(Rc::new(ops.plan)));
        }
    }
    std::future::pending().await
}
