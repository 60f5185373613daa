//! The command line.

use crate::{config, Gateway};
use clap::{Parser, Subcommand};
use slog::{Drain as _, Logger};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "bramblewharf", version, about = "A workload manager before analytic engines")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients until it is told to end.
    Serve {
        /// The configuration; else the file that EDGE_CONFIG names.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Reads and checks the configuration, and starts nothing.
    CheckConfig {
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Prints the version.
    Version,
}

/// Runs the program: 0 where it did what it was told, 1 where it could not, 2 for a bad command line.
pub fn run() -> ExitCode {
    let done = match Line::parse().command {
        Command::Serve { config } => config::load(config).and_then(serve),
        Command::CheckConfig { config } => config::load(config).map(|start| {
            println!(
                "{}: {} workloads, {} engines known",
                start.name,
                start.site.workloads.len(),
                start.known.list.len()
            );
        }),
        Command::Version => {
            println!("bramblewharf {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bramblewharf: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Messages go through a bounded queue to a thread of their own; what does not fit is dropped and counted.
fn logger() -> Logger {
    let lines = slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(std::io::stderr()));
    let drain = slog_async::Async::new(lines.build().fuse()).chan_size(1024).build().fuse();
    Logger::root(drain, slog::o!())
}

fn serve(start: config::Start) -> Result<(), String> {
    let log = logger();
    actix_rt::System::new().block_on(async {
        use tokio::signal::unix::{signal, SignalKind};
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
        let gateway = Gateway::start(start, log).await.map_err(|e| e.to_string())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        gateway.shut_down().await;
        Ok(())
    })
}
