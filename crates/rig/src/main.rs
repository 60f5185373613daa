//! Campaigns against fleets: many plans of faults, and the smallest that breaks something.

use bramblewharf_fleet::InjectedBug;
use bramblewharf_gateway::{boottime_now, cli, policy_cli, Overrides};
use bramblewharf_rig::allocations::CountingAllocator;
use bramblewharf_rig::campaign;
use bramblewharf_rig::plan::{count_by_kind, generate, minimize, Plan};
use bramblewharf_rig::scale::{self, Scale};
use bramblewharf_rig::simulated::{play, Fleet};
use bramblewharf_rig::soak;
use bramblewharf_rig::world;
use clap::{Parser, Subcommand, ValueEnum};
use rayon::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Counts where `scale decide` asks for it.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[derive(Parser)]
#[command(name = "bramblewharf-rig", about = "Fleets of gateways under fire")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The program itself, as it serves, with ports that it doesn't have.
    Serve {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Parts in a thousand that its clock is fast.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        clock_fast: i64,
        /// A known mistake, to see that it is found.
        #[arg(long)]
        wrong: Option<Mistake>,
        /// Killed with whoever started it: nothing that a measurement began is left behind.
        #[arg(long, hide = true)]
        ends_with_its_parent: bool,
    },
    /// The fleet's policy, as the program has it.
    #[command(subcommand)]
    Policy(policy_cli::Policy),
    /// Plans against processes of the program, one a seed, in real time.
    Campaign {
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 20)]
        plans: u64,
        #[arg(long, default_value_t = 5)]
        gateways: usize,
        #[arg(long, default_value_t = 3)]
        seats: usize,
        /// Faults a plan, within so many seconds.
        #[arg(long, default_value_t = 10)]
        faults: usize,
        #[arg(long, default_value_t = 12)]
        seconds: u64,
    },
    /// Processes of the program under random faults that overlap, a run a seed; prints what did not hold.
    Soak {
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        #[arg(long, default_value_t = 24)]
        gateways: usize,
        #[arg(long, default_value_t = 6)]
        engines: usize,
        /// Clients of each gateway.
        #[arg(long, default_value_t = 4)]
        clients: usize,
        /// Faults a run, within so many seconds.
        #[arg(long, default_value_t = 24)]
        faults: usize,
        /// Faults beyond those: engines that read statements late, or are stopped.
        #[arg(long, default_value_t = 0)]
        late_reads: usize,
        #[arg(long, default_value_t = 8)]
        seconds: u64,
    },
    /// Fleets at the operators' size.
    #[command(subcommand)]
    Scale(Scale),
    /// Plans in virtual time, one a seed; prints how often each kind of fault was caused, and what broke, made smaller.
    Simulate {
        /// The first seed, and how many.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 500)]
        plans: u64,
        #[arg(long, default_value_t = 7)]
        gateways: usize,
        #[arg(long, default_value_t = 3)]
        seats: u8,
        /// Faults a plan, and its seconds of the fleet's own time.
        #[arg(long, default_value_t = 12)]
        faults: usize,
        #[arg(long, default_value_t = 40)]
        seconds: u64,
    },
}

/// Of the known mistakes, those that processes can show.
#[derive(Clone, Copy, ValueEnum)]
enum Mistake {
    GivesAnewAtOnce,
    NoWaitingOut,
    FreeAtTheKill,
    SettledUnheard,
    /// Of policy: from one revision to the next at once.
    SkipsBoth,
}

fn main() -> ExitCode {
    match Line::parse().command {
        Command::Serve { config, settings, clock_fast, wrong, ends_with_its_parent } => {
            if ends_with_its_parent {
                let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
            }
            serve(config, settings, clock_fast, wrong)
        }
        Command::Policy(command) => policy_cli::run(&command).unwrap_or_else(|message| {
            eprintln!("bramblewharf-rig: {message}");
            ExitCode::FAILURE
        }),
        Command::Campaign { from, plans, gateways, seats, faults, seconds } => {
            against_processes(from, plans, gateways, seats, faults, Duration::from_secs(seconds))
        }
        Command::Soak { from, seeds, gateways, engines, clients, faults, late_reads, seconds } => {
            let (request_interval, duration) = (Duration::from_millis(120), Duration::from_secs(seconds));
            let size = soak::Size {
                gateways,
                engines,
                clients_each: clients,
                request_interval,
                faults,
                late_reads,
                duration,
            };
            soak_seeds(from, seeds, size)
        }
        Command::Scale(what) => match scale::run(&what) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => {
                eprintln!("bramblewharf-rig: {message}");
                ExitCode::FAILURE
            }
        },
        Command::Simulate { from, plans, gateways, seats, faults, seconds } => {
            simulate(from, plans, gateways, seats, faults, Duration::from_secs(seconds))
        }
    }
}

fn soak_seeds(from: u64, seeds: u64, size: soak::Size) -> ExitCode {
    let program = std::env::current_exe().expect("the path of this program");
    let mut broken = 0;
    for seed in from..from + seeds {
        match soak::run(seed, size, &program) {
            Ok(report) => {
                println!(
                    "seed {seed}: {} requests, {} served, {} refused, {} attempts ({} from other runs), machine late by {:?} at most, broken: {:?}",
                    report.requests, report.served, report.refused, report.attempts, report.foreign_attempts, report.worst_lateness, report.violations_by_invariant()
                );
                report.violations.iter().take(12).for_each(|violation| println!("  {violation}"));
                report.traces.iter().for_each(|line| println!("      {line}"));
                if !report.violations.is_empty() {
                    broken += 1;
                    report.plan.iter().for_each(|(at, fault)| println!("    {at:?} {fault:?}"));
                }
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                broken += 1;
            }
        }
    }
    println!("{seeds} seeds, {broken} with a violation or not run");
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn serve(config: PathBuf, settings: Option<PathBuf>, fast: i64, wrong: Option<Mistake>) -> ExitCode {
    let start = boottime_now();
    let ticks = move || {
        let passed = boottime_now() - start;
        start + passed.mul_f64((1000 + fast) as f64 / 1000.0)
    };
    let wrong_policy = matches!(wrong, Some(Mistake::SkipsBoth))
        .then_some(bramblewharf_policy::InjectedBug::SkipsTransition);
    let wrong = wrong.and_then(|wrong| match wrong {
        Mistake::GivesAnewAtOnce => Some(InjectedBug::ReassignsSuspectGrants),
        Mistake::NoWaitingOut => Some(InjectedBug::NoRecoveryPeriod),
        Mistake::FreeAtTheKill => Some(InjectedBug::FreesKilledProcessGrant),
        Mistake::SettledUnheard => Some(InjectedBug::AssumesPredecessorEnded),
        Mistake::SkipsBoth => None,
    });
    let ticks = (fast != 0).then(|| Rc::new(ticks) as _);
    let overrides = Overrides {
        clock: ticks,
        injected_bug: wrong,
        injected_policy_bug: wrong_policy,
        ..Overrides::default()
    };
    match cli::serve(Some(config), settings, overrides) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("bramblewharf-rig: {message}");
            ExitCode::FAILURE
        }
    }
}

fn simulate(from: u64, plans: u64, gateways: usize, seats: u8, faults: usize, lasts: Duration) -> ExitCode {
    let plan = |seed| generate(seed, gateways, usize::from(seats), lasts.mul_f64(0.8), faults);
    let fleet = |seed| Fleet { gateways, places: gateways as u32, seats, seed, ..Fleet::default() };
    let fails = |seed: u64, plan: &Plan| play(fleet(seed), plan.clone(), lasts).broken;
    let broken: Vec<u64> =
        (from..from + plans).into_par_iter().filter(|seed| fails(*seed, &plan(*seed)).is_some()).collect();
    let all: Vec<Plan> = (from..from + plans).map(plan).collect();
    println!("{plans} plans, {gateways} gateways, {seats} seats: {} broke", broken.len());
    count_by_kind(all.iter()).iter().for_each(|(kind, count)| println!("  {kind:12} {count}"));
    for seed in broken.iter().take(3) {
        let small = minimize(plan(*seed), |plan| fails(*seed, plan).is_some());
        println!("seed {seed}: {:?}\n  by {small:#?}", fails(*seed, &small));
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn against_processes(
    from: u64,
    plans: u64,
    gateways: usize,
    seats: usize,
    faults: usize,
    lasts: Duration,
) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("bramblewharf-rig: {error}");
            return ExitCode::FAILURE;
        }
    };
    let plan = |seed| campaign::for_processes(generate(seed, gateways, seats, lasts, faults));
    let fleet = |seed| world::FleetSpec {
        gateways,
        voters: seats,
        whole: 6 * gateways as u64,
        seed,
        ..world::FleetSpec::default()
    };
    let (mut broke, mut slowest, mut completed) = (0, Duration::ZERO, 0);
    for seed in from..from + plans {
        match campaign::run(fleet(seed), &plan(seed), &program) {
            Ok(outcome) => {
                completed += outcome.completed;
                slowest = slowest.max(outcome.recovered_after.unwrap_or_default());
                if let Some(broken) = outcome.violation {
                    broke += 1;
                    println!("seed {seed}: {broken}\n  by {:?}", plan(seed));
                }
            }
            Err(error) => {
                broke += 1;
                println!("seed {seed}: {error}");
            }
        }
    }
    let all: Vec<Plan> = (from..from + plans).map(plan).collect();
    println!(
        "{plans} plans, {gateways} processes, {seats} seats: {broke} broke; {completed} statements completed; \
         well again at the latest {slowest:.1?} after the last fault"
    );
    count_by_kind(all.iter()).iter().for_each(|(kind, count)| println!("  {kind:12} {count}"));
    if broke == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
