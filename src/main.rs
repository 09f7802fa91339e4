//! The gatekeeper: reads its configuration and serves.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use cobaltspool::cli::{self, Fronts, Task};
use cobaltspool::config::{self, Config, SipConfig};
use cobaltspool::{log, platform, sip};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

fn main() -> ExitCode {
    let done = match cli::parser().run() {
        Task::Serve(fronts, log) => log::start(log).and_then(|_guard| serve(&fronts)),
        Task::Version => {
            println!("cobaltspool {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Task::CheckConfig(fronts) => read(&fronts).map(|(config, sip)| {
            if let Some(c) = config {
                let (classes, lists) = (c.classes.join(", "), c.known.len());
                println!(
                    "{}: listens on {}, resolver {}, {lists} list events, classes: {classes}",
                    c.name, c.listen, c.dns
                );
            }
            if let Some(c) = sip {
                println!(
                    "{}: SIP on udp {} and tcp {}, servers of {} at {}",
                    c.name, c.udp, c.tcp, c.service, c.dns
                );
            }
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cobaltspool: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read(fronts: &Fronts) -> Result<(Option<Config>, Option<SipConfig>), String> {
    let config = fronts.config.as_deref().map(|p| decoded(p, config::decode)).transpose()?;
    let sip = fronts.sip.as_deref().map(|p| decoded(p, config::decode_sip)).transpose()?;
    Ok((config, sip))
}

/// Reads one file; what is wrong with it is said in one line.
fn decoded<T>(path: &Path, decode: fn(&str) -> Result<T, String>) -> Result<T, String> {
    let named = |e: String| format!("{}: {}", path.display(), e.replace('\n', " "));
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    decode(&text).map_err(named)
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
