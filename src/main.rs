//! The gatekeeper: reads its configuration and serves.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use cobaltspool::cli::{self, Fronts, Task};
use cobaltspool::commands::{self, Configs, read};
use cobaltspool::limits::Ceilings;
use cobaltspool::ops::{self, Ops};
use cobaltspool::{log, platform, sip};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

fn main() -> ExitCode {
    let print = |(text, well): (String, bool)| {
        print!("{text}");
        if well { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    };
    let done = match cli::parser().run() {
        Task::Serve(fronts, ops, log) => start(&fronts, ops.as_deref(), log),
        Task::Version => {
            println!("cobaltspool {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Task::CheckConfig(fronts, ops, format) => {
            return print(commands::check(&fronts, ops.as_ref(), format));
        }
        Task::Explain(fronts, ops, asked, format) => {
            return print(commands::explain(&fronts, &ops, &asked, format));
        }
        Task::Schema => {
            println!("{}", cobaltspool::ops::schema());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cobaltspool: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the operators' file, if there is one, against what each front's installation permits.
fn read_ops(path: Option<&Path>, configs: &Configs) -> Result<Vec<Ops>, String> {
    let Some(path) = path else { return Ok(Vec::new()) };
    let read = |ceilings: &Ceilings| {
        ops::read(path, ceilings)
            .map_err(|report| format!("{} is refused\n{}", path.display(), report.render()))
    };
    commands::ceilings(configs).iter().map(read).collect()
}

fn start(fronts: &Fronts, ops: Option<&Path>, log: log::Settings) -> Result<(), String> {
    let configs = read(fronts)?;
    let ops = read_ops(ops, &configs)?;
    let written = ops.first().map(|o| o.log.clone()).unwrap_or_default();
    let _guard = log::start(log.or(written))?;
    for finding in ops.iter().flat_map(|o| &o.report.findings) {
        tracing::warn!(rule = finding.rule, at = %finding.places.first().map_or("", |p| &p.path), "{}", finding.text);
    }
    serve(fronts)
}

fn serve(fronts: &Fronts) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Signals are heard before anything else is done: one that nobody hears ends the program.
        let signal = |kind| signal(kind).map_err(|e| e.to_string());
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hup = signal(SignalKind::hangup())?;
        let (config, sip) = read(fronts)?;
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
        let platform = async {
            let Some(config) = config else { return Ok(()) };
            platform::serve(config, dns.subscribe(), told(stopped.clone())).await
        };
        let sip = async {
            let Some(config) = sip else { return Ok(()) };
            sip::serve(config, sip_dns.subscribe(), told(stopped.clone())).await
        };
        tokio::select! {
            done = async { tokio::try_join!(platform, sip) } => done.map(|_| ()),
            () = reload(fronts, hup, &dns, &sip_dns) => Ok(()),
        }
    })
}

/// Reads the configuration again at each SIGHUP, for ever. The resolvers' addresses count from then on; the rest
/// holds until the next start. A file that cannot be read changes nothing.
async fn reload(
    fronts: &Fronts,
    mut hup: Signal,
    dns: &watch::Sender<SocketAddr>,
    sip_dns: &watch::Sender<SocketAddr>,
) {
    while hup.recv().await.is_some() {
        let (config, sip) = match read(fronts) {
            Ok(read) => read,
            Err(e) => {
                tracing::error!(error = e, "reload: all stays as it was");
                continue;
            }
        };
        let resolvers = [(dns, config.map(|c| c.dns)), (sip_dns, sip.map(|c| c.dns))];
        for (resolver, told) in resolvers {
            if let Some(address) = told {
                tracing::info!(resolver = %address, "reload");
                resolver.send_if_modified(|held| std::mem::replace(held, address) != address);
            }
        }
    }
    std::future::pending().await
}
