//! The gatekeeper: reads its configuration and serves.

use std::path::Path;
use std::process::ExitCode;

use cobaltspool::cli::{self, Fronts, Task};
use cobaltspool::config::{self, Config, SipConfig};
use cobaltspool::{platform, sip};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

fn main() -> ExitCode {
    let done = match cli::parser().run() {
        Task::Serve(fronts) => read(&fronts).and_then(|(config, sip)| serve(config, sip)),
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

fn serve(config: Option<Config>, sip: Option<SipConfig>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let (stop, stopped) = watch::channel(false);
        tokio::task::spawn_local(async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
            let _ = stop.send(true);
        });
        let told = |mut stopped: watch::Receiver<bool>| async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        let platform = async {
            let Some(config) = config else { return Ok(()) };
            platform::serve(config, told(stopped.clone())).await
        };
        let sip = async {
            let Some(config) = sip else { return Ok(()) };
            sip::serve(config, told(stopped.clone())).await
        };
        tokio::try_join!(platform, sip).map(|_| ())
    })
}
