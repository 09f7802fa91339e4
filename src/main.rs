//! The gatekeeper: reads its configuration and serves.

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

/// Any error that ends the program: printed as one line.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Gives a frontend other limits.
type Plans = watch::Sender<Option<Rc<Plan>>>;

fn main() -> ExitCode {
    // Fail points of test builds; the macro and this are nothing elsewhere.
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

/// Carries out what the command line asks for.
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
            return Ok(fleet::admin_query::run(query, address_of(&address)?, format));
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a command's report; the exit code says whether it found faults.
fn print_report((text, is_ok): (String, bool)) -> ExitCode {
    print!("{text}");
    if is_ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Reads the operators' file, if there is one, against what each front's installation permits, in the fronts' order.
fn read_ops(path: Option<&Path>, ceilings: &[Ceilings], node: Option<&str>) -> Result<Vec<OpsConfig>> {
    let Some(path) = path else { return Ok(Vec::new()) };
    let read = |ceilings: &Ceilings| {
        sections::read(path, ceilings, node)
            .map_err(|report| format!("{} is refused\n{}", path.display(), report.render()).into())
    };
    ceilings.iter().map(read).collect()
}

fn start(
    fronts: &Frontends,
    file: Option<&Path>,
    node: Option<&str>,
    log: log::Settings,
    door: Option<AdminAddress>,
) -> Result<()> {
    let configs = read_configs(fronts)?;
    let door = door_of(door, &configs)?;
    let ceilings = commands::ceilings(&configs);
    let ops = read_ops(file, &ceilings, node)?;
    let written = ops.first().map(|o| o.log.clone()).unwrap_or_default();
    let _guard = log::start(log.or(written))?;
    warn_of(&ops);
    serve(fronts, configs, &Operators { file, ceilings, node }, ops, door)
}

/// Where operators connect: what the command line or LB_OPS says goes before the configuration.
fn door_of(given: Option<AdminAddress>, (config, sip): &Configs) -> Result<Option<SocketAddr>> {
    match given.filter(|AdminAddress(text)| !text.is_empty()) {
        Some(door) => address_of(&door).map(Some),
        None => {
            Ok(config.as_ref().and_then(|c| c.admin_address).or(sip.as_ref().and_then(|c| c.admin_address)))
        }
    }
}

fn address_of(AdminAddress(text): &AdminAddress) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| format!("--door or LB_OPS: '{text}' is no address; write HOST:PORT with numbers").into())
}

/// The operators' file and what it is checked against.
struct Operators<'a> {
    file: Option<&'a Path>,
    ceilings: Vec<Ceilings>,
    node: Option<&'a str>,
}

fn warn_of(ops: &[OpsConfig]) {
    for finding in ops.iter().flat_map(|o| &o.report.findings) {
        let at = finding.locations.first().map_or("", |p| &p.path);
        tracing::warn!(rule = finding.rule, at, "{}", finding.text);
    }
}

fn serve(
    fronts: &Frontends,
    (config, sip): Configs,
    operators: &Operators,
    ops: Vec<OpsConfig>,
    door: Option<SocketAddr>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Signals are heard before anything else is done: one that nobody hears ends the program.
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hup = signal(SignalKind::hangup())?;
        let (stop, stopped) = watch::channel(false);
        tokio::task::spawn_local(async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
            let _ = stop.send(true);
        });
        let told = |mut stopped: watch::Receiver<bool>| async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
        let dns = watch::Sender::new(config.as_ref().map_or(nobody, |c| c.dns));
        let sip_dns = watch::Sender::new(sip.as_ref().map_or(nobody, |c| c.dns));
        let part = ops.first().map(|o| (o.fleet.clone(), o.digest)).unwrap_or_default();
        // One plan a front, in the fronts' order.
        let mut plans = ops.into_iter().map(|o| Rc::new(o.plan));
        let plan = watch::Sender::new(config.as_ref().and_then(|_| plans.next()));
        let sip_plan = watch::Sender::new(sip.as_ref().and_then(|_| plans.next()));
        let limits: Vec<&Plans> = config.iter().map(|_| &plan).chain(sip.iter().map(|_| &sip_plan)).collect();
        let admin = AdminService::new(usize::from(config.is_some()) + usize::from(sip.is_some()));
        let listener = match door {
            Some(address) => Some(admin_endpoint::listen(address).await?),
            None => None,
        };
        let door = async {
            match listener {
                Some(listener) => admin_endpoint::serve(admin.clone(), listener).await,
                None => std::future::pending().await,
            }
        };
        // The fleet hears of the end once the fronts have come to theirs.
        let (ends, ended) = watch::channel(false);
        let member = match part {
            (FleetRole::Member(set), digest) => {
                let part = fleet::join(*set, digest, &admin).await?;
                Some(tokio::task::spawn_local(part.serve(told(ended))))
            }
            (FleetRole::Unidentified, _) => {
                return Err(
                    "the operators' file serves several members of a fleet; start with --node ID".into()
                );
            }
            (FleetRole::None, _) => None,
        };
        let platform = async {
            let Some(config) = config else { return Result::Ok(()) };
            let stop = told(stopped.clone());
            let served = platform::serve(config, dns.subscribe(), plan.subscribe(), admin.clone(), stop);
            Ok(served.await?)
        };
        let sip = async {
            let Some(config) = sip else { return Result::Ok(()) };
            let stop = told(stopped.clone());
            let served = sip::serve(config, sip_dns.subscribe(), sip_plan.subscribe(), admin.clone(), stop);
            Ok(served.await?)
        };
        let done = tokio::select! {
            done = async { tokio::try_join!(platform, sip) } => done.map(|_| ()),
            () = door => Ok(()),
            () = reload(fronts, operators, hup, [&dns, &sip_dns], &limits) => Ok(()),
        };
        let _ = ends.send(true);
        if let Some(member) = member {
            let _ = tokio::time::timeout(Duration::from_millis(200), member).await;
        }
        done
    })
}

/// Reads all files.
fn read_all(fronts: &Frontends, operators: &Operators<'_>) -> Result<(Configs, Vec<OpsConfig>)> {
    let configs = read_configs(fronts)?;
    let ops = read_ops(operators.file, &operators.ceilings, operators.node)?;
    Ok((configs, ops))
}

/// Reads the files again at each SIGHUP, for ever. The resolvers' addresses and the operators' limits count from then
/// on; the rest holds until the next start. It is all or nothing: a file that cannot be read, or has a finding that
/// refuses it, changes nothing.
async fn reload(
    fronts: &Frontends,
    operators: &Operators<'_>,
    mut hup: Signal,
    dns: [&watch::Sender<SocketAddr>; 2],
    limits: &[&Plans],
) {
    while hup.recv().await.is_some() {
        let ((config, sip), ops) = match read_all(fronts, operators) {
            Ok(read) => read,
            Err(e) => {
                // As a text, which the log escapes: a report has several lines.
                tracing::error!(error = e.to_string(), "reload: all stays as it was");
                continue;
            }
        };
        for (resolver, told) in dns.into_iter().zip([config.map(|c| c.dns), sip.map(|c| c.dns)]) {
            if let Some(address) = told {
                tracing::info!(resolver = %address, "reload");
                resolver.send_if_modified(|held| std::mem::replace(held, address) != address);
            }
        }
        warn_of(&ops);
        for (front, ops) in limits.iter().zip(ops) {
            tracing::info!(routes = ops.plan.section.routes.len(), "reload: limits");
            front.send_replace(Some(Rc::new(ops.plan)));
        }
    }
    std::future::pending().await
}
