//! The command line.

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
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients until it is told to end; SIGHUP has it read the configuration again.
    Serve {
        /// The configuration; else the file that EDGE_CONFIG names.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' own settings, in HCL; without it, all of them have their defaults.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Reads and checks the configuration and the operators' settings, and starts nothing. With the settings alone, checks
    /// those.
    CheckConfig {
        #[arg(long)]
        config: Option<PathBuf>,
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// What a gateway knows of its fleet, from the status that it writes.
    Fleet(view::Fleet),
    /// The fleet's policy: checks a text, proposes it, shows how things stand.
    #[command(subcommand)]
    Policy(policy_cli::Policy),
    /// Prints the version.
    Version,
}

/// Runs the program: 0 where it did what it was told, 1 where it could not, 2 for a bad command line.
pub fn run() -> ExitCode {
    let done = match Line::parse().command {
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
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bramblewharf: {message}");
            ExitCode::FAILURE
        }
    }
}

/// The level from which on lines are logged, as slog names it; `debug` follows each statement through the gateway.
const LOG_LEVEL: &str = "BRAMBLEWHARF_LOG";
/// Lines that wait to be written: ordinary ones are few, those of single statements are not.
const LOG_QUEUE: usize = 1024;
const LOG_QUEUE_DEBUG: usize = 64 * 1024;

/// Messages go through a bounded queue to a thread of their own; what does not fit is dropped and counted.
fn logger() -> Result<Logger, String> {
    let level = match std::env::var(LOG_LEVEL).ok().filter(|level| !level.is_empty()) {
        None => Level::Info,
        Some(level) => {
            level.parse().map_err(|()| format!("{LOG_LEVEL}: {level} is not a level of the log"))?
        }
    };
    let queue = if level.is_at_least(Level::Debug) { LOG_QUEUE_DEBUG } else { LOG_QUEUE };
    let lines = slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(std::io::stderr()));
    let drain = slog_async::Async::new(lines.build().fuse()).chan_size(queue).build();
    Ok(Logger::root(LevelFilter::new(drain, level).fuse(), slog::o!()))
}

/// Serves until it is told to end.
pub fn serve(path: Option<PathBuf>, settings: Option<PathBuf>, overrides: Overrides) -> Result<(), String> {
    // Before all else: a SIGHUP that comes before the gateway serves must not end it, nor get lost.
    let hung_up = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGHUP, hung_up.clone()).map_err(|e| format!("signals: {e}"))?;
    let start = config::load(path.clone(), settings.as_deref())?;
    let log = logger()?;
    actix_rt::System::new().block_on(async {
        use tokio::signal::unix::{signal, SignalKind};
        let heard = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        let (mut term, mut interrupt) = (heard(SignalKind::terminate())?, heard(SignalKind::interrupt())?);
        let mut hangup = heard(SignalKind::hangup())?;
        let gateway =
            Gateway::start_with_overrides(start, log.clone(), overrides).await.map_err(|e| e.to_string())?;
        let reload = || match config::load(path.clone(), settings.as_deref()) {
            Ok(start) => gateway.reload(start),
            Err(message) => slog::error!(log, "configuration not reloaded: {}", message),
        };
        if hung_up.load(Ordering::Relaxed) {
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
