//! The faults of a run and their times, generated from a seed; faults may overlap.

use super::discovery::NameFaults;
use super::engine::Mode;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An engine drains, ends after `ends_after` and is replaced.
    Drain { engine: usize, ends_after: Duration },
    /// An engine's process ends at once and is replaced.
    Crash { engine: usize },
    /// An engine misbehaves as `mode` says.
    Engine { engine: usize, mode: Mode, lasts: Duration },
    /// The name server of one gateway, or of all of them, misbehaves.
    Names { gateway: Option<usize>, faults: NameFaults, lasts: Duration },
    /// The name server moves to another address, `times` times in a row.
    MoveNames { gateway: usize, times: u32 },
    /// SIGKILL; the gateway starts again after `back_after`.
    Kill { gateway: usize, back_after: Duration },
    /// SIGTERM; the gateway starts again once it has ended.
    Terminate { gateway: usize },
    /// SIGHUP twice, SIGTERM, SIGHUP and SIGTERM, one right after the other.
    Signals { gateway: usize },
    /// SIGSTOP; the process is paused until SIGCONT.
    Stop { gateway: usize, lasts: Duration },
    /// Clients that connect and send nothing.
    Crowd { gateway: usize, many: usize, lasts: Duration },
}

/// Faults with the times at which they begin.
pub type Plan = Vec<(Duration, Fault)>;

/// Parameters of the generated plan.
#[derive(Clone, Copy, Debug)]
pub struct FaultParameters {
    pub seed: u64,
    pub gateways: usize,
    pub engines: usize,
    pub faults: usize,
    pub duration: Duration,
    pub crowd: bool,
    /// Number of additional faults: engines that read statements late or are stopped.
    pub late_reads: usize,
}

/// Generates a plan; the same parameters give the same plan.
pub fn generate(parameters: FaultParameters) -> Plan {
    let mut rng = WyRand::new_seed(parameters.seed);
    let mut plan: Plan = (0..parameters.faults).map(|_| random_fault(&mut rng, parameters)).collect();
    if parameters.crowd {
        let at = random_duration(&mut rng, 200, 2000);
        let gateway = rng.generate_range(0..parameters.gateways);
        plan.push((at, Fault::Crowd { gateway, many: 400, lasts: random_duration(&mut rng, 2000, 5000) }));
    }
    plan.extend((0..parameters.late_reads).map(|_| random_late_read(&mut rng, parameters)).collect::<Plan>());
    plan.sort_by_key(|(at, _)| *at);
    plan
}

fn random_late_read(rng: &mut WyRand, parameters: FaultParameters) -> (Duration, Fault) {
    let at = random_duration(rng, 700, parameters.duration.as_millis() as u64);
    let engine = rng.generate_range(0..parameters.engines);
    let mode = match rng.generate_range(0..2u32) {
        0 => Mode::ReadsLate(random_duration(rng, 200, 1500)),
        _ => Mode::Stopped,
    };
    (at, Fault::Engine { engine, mode, lasts: random_duration(rng, 300, 3000) })
}

fn random_duration(rng: &mut WyRand, from: u64, until: u64) -> Duration {
    Duration::from_millis(rng.generate_range(from..until))
}

fn random_fault(rng: &mut WyRand, parameters: FaultParameters) -> (Duration, Fault) {
    let at = random_duration(rng, 700, parameters.duration.as_millis() as u64);
    let (gateway, engine) =
        (rng.generate_range(0..parameters.gateways), rng.generate_range(0..parameters.engines));
    let fault = match rng.generate_range(0..24u32) {
        0..=4 => Fault::Drain { engine, ends_after: random_duration(rng, 1000, 5000) },
        5 => Fault::Crash { engine },
        6..=8 => {
            let modes = [
                Mode::Hangs,
                Mode::Full,
                Mode::Fails,
                Mode::Resets,
                Mode::Slow(random_duration(rng, 50, 600)),
            ];
            let mode = modes[rng.generate_range(0..modes.len())];
            Fault::Engine { engine, mode, lasts: random_duration(rng, 300, 4000) }
        }
        9..=11 => {
            let dead_flows = rng.generate_range(0..3u32) == 0;
            let faults = NameFaults { silent: !dead_flows, dead_flows, ..NameFaults::default() };
            let target = (rng.generate_range(0..2u32) == 0).then_some(gateway);
            Fault::Names { gateway: target, faults, lasts: random_duration(rng, 500, 4000) }
        }
        12 | 13 => {
            let faults = NameFaults {
                lost: rng.generate_range(0..40u32),
                failed: rng.generate_range(0..30u32),
                cut: rng.generate_range(0..20u32),
                other_id: rng.generate_range(0..20u32),
                older: rng.generate_range(0..30u32),
                late: random_duration(rng, 0, 600),
                ..NameFaults::default()
            };
            Fault::Names { gateway: None, faults, lasts: random_duration(rng, 500, 4000) }
        }
        14 => Fault::MoveNames { gateway, times: rng.generate_range(1..4u32) },
        15 | 16 => Fault::Kill { gateway, back_after: random_duration(rng, 50, 1500) },
        17 | 18 => Fault::Terminate { gateway },
        19 => Fault::Signals { gateway },
        20..=22 => Fault::Stop { gateway, lasts: random_duration(rng, 50, 2500) },
        _ => Fault::Crowd { gateway, many: 150, lasts: random_duration(rng, 500, 3000) },
    };
    (at, fault)
}
