//! The command line of the gateway.

use crate::{config, operators, policy_cli, view, Gateway, Overrides};
use clap::{Parser, Subcommand};
use signal_hook::consts::SIGHUP;
use slog::{Drain as _, Level, LevelFilter, Logger};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Parser)]
#[command(name = "bramblewharf", version, about = "A workload manager before analytic engines")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients until SIGTERM or SIGINT; SIGHUP reloads the configuration.
    Serve {
        /// The configuration; by default the file in EDGE_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' settings, in HCL; without them, all settings have their defaults.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Checks the configuration and the operators' settings without starting anything. With --settings only, checks just the
    /// settings.
    CheckConfig {
        #[arg(long)]
        config: Option<PathBuf>,
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Shows a gateway's view of its fleet, from its status file.
    Fleet(view::Fleet),
    /// Manages the fleet's policy: checks, proposes, shows and withdraws revisions.
    #[command(subcommand)]
    Policy(policy_cli::Policy),
    /// Prints the version.
    Version,
}

/// Runs the program. Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line; `policy` has more.
pub fn run() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Serve { config, settings } => serve(config, settings, Overrides::default()),
        Command::Policy(command) => match policy_cli::run(&command) {
            Ok(code) => return code,
            Err(message) => Err(message),
        },
        Command::Fleet(args) => view::show(&args).map(|text| println!("{text}")),
        Command::CheckConfig { config: None, settings: Some(settings) }
            if std::env::var_os("EDGE_CONFIG").is_none() =>
        {
            operators::check_file(&settings).map(|()| println!("{}: well", settings.display()))
        }
        Command::CheckConfig { config, settings } => config::load(config, settings.as_deref()).map(|start| {
            println!(
                "{}: {} workloads, {} engines known",
                start.name,
                start.site.workloads.len(),
                start.cached_engines.engines.len()
            );
        }),
        Command::Version => {
            println!("bramblewharf {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bramblewharf: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Environment variable with the minimum log level, as slog names it; `debug` traces each statement.
const LOG_LEVEL_VARIABLE: &str = "BRAMBLEWHARF_LOG";
/// Capacity of the log queue in lines. All of it is allocated at the start. At `debug`, several lines per statement
/// are written, so the queue is larger.
const LOG_QUEUE: usize = 1024;
const LOG_QUEUE_DEBUG: usize = 64 * 1024;

/// A logger that writes on its own thread through a bounded queue; lines that don't fit are dropped and counted.
fn logger() -> Result<Logger, String> {
    let level = match std::env::var(LOG_LEVEL_VARIABLE).ok().filter(|level| !level.is_empty()) {
        None => Level::Info,
        Some(level) => {
            level.parse().map_err(|()| format!("{LOG_LEVEL_VARIABLE}: {level} is not a log level"))?
        }
    };
    let queue = if Level::Debug.is_at_least(level) { LOG_QUEUE_DEBUG } else { LOG_QUEUE };
    let format = slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(std::io::stderr()));
    let drain = slog_async::Async::new(format.build().fuse()).chan_size(queue).build();
    Ok(Logger::root(LevelFilter::new(drain, level).fuse(), slog::o!()))
}

/// Serves until SIGTERM or SIGINT.
pub fn serve(path: Option<PathBuf>, settings: Option<PathBuf>, overrides: Overrides) -> Result<(), String> {
    // Registered first, so that a SIGHUP during the start neither ends the process nor is lost.
    let reload_requested = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, reload_requested.clone()).map_err(|e| format!("signals: {e}"))?;
    let start = config::load(path.clone(), settings.as_deref())?;
    let log = logger()?;
    actix_rt::System::new().block_on(async {
        use tokio::signal::unix::{signal, SignalKind};
        let listen = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        let (mut term, mut interrupt) = (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
        let mut hangup = listen(SignalKind::hangup())?;
        let gateway =
            Gateway::start_with_overrides(start, log.clone(), overrides).await.map_err(|e| e.to_string())?;
        let reload = || match config::load(path.clone(), settings.as_deref()) {
            Ok(start) => gateway.reload(start),
            Err(message) => slog::error!(log, "configuration not reloaded: {}", message),
        };
        if reload_requested.load(Ordering::Relaxed) {
            reload();
        }
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => reload(),
            }
        }
        gateway.shut_down().await;
        Ok(())
    })
}
