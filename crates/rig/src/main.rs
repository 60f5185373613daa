//! Command line of the test rig: runs fault plans, soak tests, simulations and measurements against fleets of
//! gateways.

use bramblewharf_fleet::InjectedBug;
use bramblewharf_gateway::{boottime_now, cli, policy_cli, Overrides};
use bramblewharf_rig::allocations::CountingAllocator;
use bramblewharf_rig::campaign;
use bramblewharf_rig::plan::{count_by_kind, generate, minimize, Plan};
use bramblewharf_rig::scale::{self, Scale};
use bramblewharf_rig::simulated::{simulate, Fleet};
use bramblewharf_rig::soak;
use bramblewharf_rig::world;
use clap::{Parser, Subcommand, ValueEnum};
use rayon::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Counts allocations where `scale decide` asks for it.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[derive(Parser)]
#[command(name = "bramblewharf-rig", about = "Tests and measures fleets of gateways under faults")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the gateway itself, with test hooks that the product doesn't have.
    Serve {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        settings: Option<PathBuf>,
        /// How many parts in a thousand its clock is fast.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        clock_fast: i64,
        /// A bug to inject, to test that the checks find it.
        #[arg(long)]
        wrong: Option<Mistake>,
        /// The process is killed when its parent ends, so that a measurement leaves no process behind.
        #[arg(long, hide = true)]
        ends_with_its_parent: bool,
    },
    /// Manages the fleet's policy, as the gateway's own command does.
    #[command(subcommand)]
    Policy(policy_cli::Policy),
    /// Runs fault plans against gateway processes in real time, one plan per seed.
    Campaign {
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 20)]
        plans: u64,
        #[arg(long, default_value_t = 5)]
        gateways: usize,
        #[arg(long, default_value_t = 3)]
        seats: usize,
        /// Faults per plan; `--seconds` sets its length.
        #[arg(long, default_value_t = 10)]
        faults: usize,
        #[arg(long, default_value_t = 12)]
        seconds: u64,
    },
    /// Runs gateway processes under overlapping random faults, one run per seed, and prints broken
    /// invariants.
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
        /// Faults per run; `--seconds` sets its length.
        #[arg(long, default_value_t = 24)]
        faults: usize,
        /// Additional faults: engines that read statements late or are stopped.
        #[arg(long, default_value_t = 0)]
        late_reads: usize,
        #[arg(long, default_value_t = 8)]
        seconds: u64,
    },
    /// Measures fleets of production size.
    #[command(subcommand)]
    Scale(Scale),
    /// Simulates fault plans in virtual time, one per seed; prints the count of each kind of fault, and
    /// minimized plans that break an invariant.
    Simulate {
        /// The first seed; `--plans` sets how many are run.
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 500)]
        plans: u64,
        #[arg(long, default_value_t = 7)]
        gateways: usize,
        #[arg(long, default_value_t = 3)]
        seats: u8,
        /// Faults per plan; `--seconds` sets its length in virtual time.
        #[arg(long, default_value_t = 12)]
        faults: usize,
        #[arg(long, default_value_t = 40)]
        seconds: u64,
    },
}

/// The bugs that can be injected into processes; the variants' names are values of `--wrong`.
#[derive(Clone, Copy, ValueEnum)]
enum Mistake {
    GivesAnewAtOnce,
    NoWaitingOut,
    FreeAtTheKill,
    SettledUnheard,
    /// In the policy: a gateway changes from one revision to the next without the phase in which both apply.
    SkipsBoth,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
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
            run_campaign(from, plans, gateways, seats, faults, Duration::from_secs(seconds))
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
        Command::Scale(command) => match scale::run(&command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => {
                eprintln!("bramblewharf-rig: {message}");
                ExitCode::FAILURE
            }
        },
        Command::Simulate { from, plans, gateways, seats, faults, seconds } => {
            simulate_plans(from, plans, gateways, seats, faults, Duration::from_secs(seconds))
        }
    }
}

fn soak_seeds(from: u64, seeds: u64, size: soak::Size) -> ExitCode {
    let program = std::env::current_exe().expect("the path of this program");
    let mut failed_seeds = 0;
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
                    failed_seeds += 1;
                    report.plan.iter().for_each(|(at, fault)| println!("    {at:?} {fault:?}"));
                }
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed_seeds += 1;
            }
        }
    }
    println!("{seeds} seeds, {failed_seeds} with a violation or not run");
    if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn serve(config: PathBuf, settings: Option<PathBuf>, fast: i64, wrong: Option<Mistake>) -> ExitCode {
    let start = boottime_now();
    let drifting_clock = move || {
        let elapsed = boottime_now() - start;
        start + elapsed.mul_f64((1000 + fast) as f64 / 1000.0)
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
    let ticks = (fast != 0).then(|| Rc::new(drifting_clock) as _);
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

fn simulate_plans(
    from: u64,
    plans: u64,
    gateways: usize,
    voters: u8,
    faults: usize,
    duration: Duration,
) -> ExitCode {
    let plan = |seed| generate(seed, gateways, usize::from(voters), duration.mul_f64(0.8), faults);
    let fleet = |seed| Fleet { gateways, max_members: gateways as u32, voters, seed, ..Fleet::default() };
    let violation = |seed: u64, plan: &Plan| simulate(fleet(seed), plan.clone(), duration).violation;
    let broken: Vec<u64> = (from..from + plans)
        .into_par_iter()
        .filter(|seed| violation(*seed, &plan(*seed)).is_some())
        .collect();
    let all: Vec<Plan> = (from..from + plans).map(plan).collect();
    println!("{plans} plans, {gateways} gateways, {voters} voters: {} broke an invariant", broken.len());
    count_by_kind(all.iter()).iter().for_each(|(kind, count)| println!("  {kind:12} {count}"));
    for seed in broken.iter().take(3) {
        let small = minimize(plan(*seed), |plan| violation(*seed, plan).is_some());
        println!("seed {seed}: {:?}\n  by {small:#?}", violation(*seed, &small));
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_campaign(
    from: u64,
    plans: u64,
    gateways: usize,
    voters: usize,
    faults: usize,
    duration: Duration,
) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("bramblewharf-rig: {error}");
            return ExitCode::FAILURE;
        }
    };
    let plan = |seed| campaign::for_processes(generate(seed, gateways, voters, duration, faults));
    let fleet = |seed| world::FleetSpec {
        gateways,
        voters,
        whole: 6 * gateways as u64,
        seed,
        ..world::FleetSpec::default()
    };
    let (mut failed_plans, mut slowest_recovery, mut completed) = (0, Duration::ZERO, 0);
    for seed in from..from + plans {
        match campaign::run(fleet(seed), &plan(seed), &program) {
            Ok(outcome) => {
                completed += outcome.completed;
                slowest_recovery = slowest_recovery.max(outcome.recovered_after.unwrap_or_default());
                if let Some(violation) = outcome.violation {
                    failed_plans += 1;
                    println!("seed {seed}: {violation}\n  by {:?}", plan(seed));
                }
            }
            Err(error) => {
                failed_plans += 1;
                println!("seed {seed}: {error}");
            }
        }
    }
    let all: Vec<Plan> = (from..from + plans).map(plan).collect();
    println!(
        "{plans} plans, {gateways} processes, {voters} voters: {failed_plans} broke an invariant; {completed} statements \
         completed; slowest recovery {slowest_recovery:.1?} after the last fault"
    );
    count_by_kind(all.iter()).iter().for_each(|(kind, count)| println!("  {kind:12} {count}"));
    if failed_plans == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
