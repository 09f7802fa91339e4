//! The gatekeeper: reads its configuration and serves.

use std::path::Path;
use std::process::ExitCode;

use cobaltspool::clock::log;
use cobaltspool::config::{self, Config};
use cobaltspool::{cli, platform};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let done = match cli::parser().run() {
        cli::Task::Serve { config } => read(&config).and_then(serve),
        cli::Task::Version => {
            println!("cobaltspool {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        cli::Task::CheckConfig { config } => read(&config).map(|c| {
            let classes = c.classes.join(", ");
            println!("{}: listens on {}, resolver {}, classes: {classes}", c.name, c.listen, c.dns);
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

fn read(path: &Path) -> Result<Config, String> {
    let named = |e: String| format!("{}: {}", path.display(), e.replace('\n', " "));
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    config::decode(&text).map_err(named)
}

fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let stop = async move {
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        };
        log(&format!("{} serves on {}", config.name, config.listen));
        platform::serve(config, stop).await
    })
}
