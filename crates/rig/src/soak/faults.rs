//! What goes wrong in a run, and when: drawn from a seed, with faults that overlap.

use super::discovery::NameFaults;
use super::engine::Mode;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// One thing that is done to the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// An engine drains, ends after so long, and another takes its place.
    Drain {
        engine: usize,
        ends_after: Duration,
    },
    /// An engine's process ends at once; another takes its place.
    Crash {
        engine: usize,
    },
    Engine {
        engine: usize,
        mode: Mode,
        lasts: Duration,
    },
    /// One gateway's outlet of the name service, or all of them.
    Names {
        gateway: Option<usize>,
        faults: NameFaults,
        lasts: Duration,
    },
    /// The name service moves, so often in a row.
    MoveNames {
        gateway: usize,
        times: u32,
    },
    Kill {
        gateway: usize,
        back_after: Duration,
    },
    Terminate {
        gateway: usize,
    },
    /// SIGHUP, SIGTERM and both again, in series.
    Signals {
        gateway: usize,
    },
    /// The process stands still.
    Stop {
        gateway: usize,
        lasts: Duration,
    },
    /// So many clients connect and say nothing.
    Crowd {
        gateway: usize,
        many: usize,
        lasts: Duration,
    },
}

pub type Plan = Vec<(Duration, Fault)>;

/// What is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    pub seed: u64,
    pub gateways: usize,
    pub engines: usize,
    pub faults: usize,
    pub span: Duration,
    pub crowd: bool,
    /// So many more faults: engines that read statements late, or are stopped.
    pub late_reads: usize,
}

pub fn draw(of: Draw) -> Plan {
    let mut rng = WyRand::new_seed(of.seed);
    let mut plan: Plan = (0..of.faults).map(|_| fault(&mut rng, of)).collect();
    if of.crowd {
        let at = between(&mut rng, 200, 2000);
        let gateway = rng.generate_range(0..of.gateways);
        plan.push((at, Fault::Crowd { gateway, many: 400, lasts: between(&mut rng, 2000, 5000) }));
    }
    plan.extend((0..of.late_reads).map(|_| late_read(&mut rng, of)).collect::<Plan>());
    plan.sort_by_key(|(at, _)| *at);
    plan
}

fn late_read(rng: &mut WyRand, of: Draw) -> (Duration, Fault) {
    let at = between(rng, 700, of.span.as_millis() as u64);
    let engine = rng.generate_range(0..of.engines);
    let mode = match rng.generate_range(0..2u32) {
        0 => Mode::ReadsLate(between(rng, 200, 1500)),
        _ => Mode::Stopped,
    };
    (at, Fault::Engine { engine, mode, lasts: between(rng, 300, 3000) })
}

fn between(rng: &mut WyRand, from: u64, until: u64) -> Duration {
    Duration::from_millis(rng.generate_range(from..until))
}

fn fault(rng: &mut WyRand, of: Draw) -> (Duration, Fault) {
    let at = between(rng, 700, of.span.as_millis() as u64);
    let (gateway, engine) = (rng.generate_range(0..of.gateways), rng.generate_range(0..of.engines));
    let fault = match rng.generate_range(0..24u32) {
        0..=4 => Fault::Drain { engine, ends_after: between(rng, 1000, 5000) },
        5 => Fault::Crash { engine },
        6..=8 => {
            let modes =
                [Mode::Hangs, Mode::Full, Mode::Fails, Mode::Resets, Mode::Slow(between(rng, 50, 600))];
            let mode = modes[rng.generate_range(0..modes.len())];
            Fault::Engine { engine, mode, lasts: between(rng, 300, 4000) }
        }
        9..=11 => {
            let dead_flows = rng.generate_range(0..3u32) == 0;
            let faults = NameFaults { silent: !dead_flows, dead_flows, ..NameFaults::default() };
            let whose = (rng.generate_range(0..2u32) == 0).then_some(gateway);
            Fault::Names { gateway: whose, faults, lasts: between(rng, 500, 4000) }
        }
        12 | 13 => {
            let faults = NameFaults {
                lost: rng.generate_range(0..40u32),
                failed: rng.generate_range(0..30u32),
                cut: rng.generate_range(0..20u32),
                other_id: rng.generate_range(0..20u32),
                older: rng.generate_range(0..30u32),
                late: between(rng, 0, 600),
                ..NameFaults::default()
            };
            Fault::Names { gateway: None, faults, lasts: between(rng, 500, 4000) }
        }
        14 => Fault::MoveNames { gateway, times: rng.generate_range(1..4u32) },
        15 | 16 => Fault::Kill { gateway, back_after: between(rng, 50, 1500) },
        17 | 18 => Fault::Terminate { gateway },
        19 => Fault::Signals { gateway },
        20..=22 => Fault::Stop { gateway, lasts: between(rng, 50, 2500) },
        _ => Fault::Crowd { gateway, many: 150, lasts: between(rng, 500, 3000) },
    };
    (at, fault)
}
