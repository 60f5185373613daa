//! Fault plans: what fails and when, generated from a seed or given, and reduced to a minimal plan where one
//! breaks an invariant.

use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// One fault, or its end; the names are printed in reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL; the process's executions keep running at the engines for a while.
    Kill(usize),
    /// SIGKILL; engines read what the process has sent only after this time, though they answer new
    /// connections.
    KillUnread(usize, Duration),
    /// The file in which a gateway records its executions in flight is lost.
    LoseRecord(usize),
    /// A new process under the same member id, if none runs.
    Start(usize),
    /// The process is paused for this time and then continues with its state.
    Pause(usize, Duration),
    /// An orderly shutdown.
    Leave(usize),
    /// The path from one gateway to another is cut.
    Cut { from: usize, to: usize, lasts: Duration },
    /// A partition between the gateways below `at` and the rest.
    Split { at: usize, lasts: Duration },
    /// Messages anywhere are lost, duplicated or late, in percent.
    Lossy { lost: u32, doubled: u32, late: u32, lasts: Duration },
    /// Messages anywhere are delayed by up to this.
    Slow { by: Duration, lasts: Duration },
    /// Messages from and to one gateway are delayed by up to this.
    Late { who: usize, by: Duration, lasts: Duration },
    /// This many earlier messages are delivered again.
    Replay(usize),
    /// A gateway's clock jumps forward.
    JumpOn(usize, Duration),
    /// A gateway's clock jumps back.
    JumpBack(usize, Duration),
    /// The number of statements that a gateway receives per second changes.
    Demand(usize, u32),
    /// A gateway reports that it needs everything of every budget.
    Lies(usize),
    /// All processes are killed, and started again after `back`.
    KillAll { back: Duration },
    /// Seven of every ten processes are killed, and started again after `back`.
    KillMost { back: Duration },
}

impl Fault {
    /// The kind of the fault, for counts in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Kill(_) => "kill",
            Fault::KillUnread(..) => "kill, read late",
            Fault::LoseRecord(_) => "lost record",
            Fault::Start(_) => "start",
            Fault::Pause(..) => "pause",
            Fault::Leave(_) => "leave",
            Fault::Cut { .. } => "cut one way",
            Fault::Split { .. } => "split",
            Fault::Lossy { .. } => "lossy",
            Fault::Slow { .. } => "slow",
            Fault::Late { .. } => "late",
            Fault::Replay(_) => "replay",
            Fault::JumpOn(..) => "jump on",
            Fault::JumpBack(..) => "jump back",
            Fault::Demand(..) => "demand",
            Fault::Lies(_) => "lies",
            Fault::KillAll { .. } => "kill all",
            Fault::KillMost { .. } => "kill most",
        }
    }
}

/// Faults with the times at which they begin.
pub type Plan = Vec<(Duration, Fault)>;

/// Generates a plan of `faults` faults within `span`; the first `voters` gateways are voters.
pub fn generate(seed: u64, gateways: usize, voters: usize, span: Duration, faults: usize) -> Plan {
    let mut rng = WyRand::new_seed(seed);
    let ms = |rng: &mut WyRand, from: u64, to: u64| Duration::from_millis(rng.generate_range(from..to));
    let mut plan = Plan::new();
    for _ in 0..faults {
        let at = ms(&mut rng, 500, span.as_millis() as u64);
        // Half of the faults hit voters only, as failures there can break the agreement.
        let candidates = if rng.generate_range(0..2) == 0 { voters } else { gateways };
        let who = rng.generate_range(0..candidates);
        let lasts = ms(&mut rng, 100, 6000);
        let fault = match rng.generate_range(0..20u32) {
            0..=2 => {
                plan.push((at + ms(&mut rng, 20, 3000), Fault::Start(who)));
                Fault::Kill(who)
            }
            3 | 4 => Fault::Pause(who, lasts),
            5 => {
                plan.push((at + ms(&mut rng, 300, 3000), Fault::Start(who)));
                Fault::Leave(who)
            }
            6 | 7 => Fault::Cut { from: who, to: rng.generate_range(0..gateways), lasts },
            8 | 9 => Fault::Split { at: rng.generate_range(1..gateways.max(2)), lasts },
            10 => Fault::Lossy {
                lost: rng.generate_range(0..60),
                doubled: rng.generate_range(0..40),
                late: rng.generate_range(0..60),
                lasts,
            },
            11 => Fault::Slow { by: ms(&mut rng, 50, 4000), lasts },
            12 => Fault::Replay(rng.generate_range(1..200)),
            13 => Fault::JumpOn(who, ms(&mut rng, 50, 10_000)),
            14 => Fault::JumpBack(who, ms(&mut rng, 1, 3000)),
            15 => Fault::Demand(who, rng.generate_range(0..400)),
            16 => Fault::Lies(who),
            17 => Fault::Late { who, by: ms(&mut rng, 100, 2000), lasts },
            18 => Fault::KillMost { back: ms(&mut rng, 100, 2000) },
            _ => Fault::KillAll { back: ms(&mut rng, 100, 3000) },
        };
        plan.push((at, fault));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Reduces a failing plan: removes faults as long as `fails` still holds for the rest.
pub fn minimize(plan: Plan, fails: impl Fn(&Plan) -> bool) -> Plan {
    let mut plan = plan;
    let mut step = plan.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        let before = plan.len();
        while at < plan.len() {
            let mut reduced = plan.clone();
            reduced.drain(at..(at + step).min(plan.len()));
            if fails(&reduced) {
                plan = reduced;
            } else {
                at += step;
            }
        }
        if step == 1 && plan.len() == before {
            return plan;
        }
        step = (step / 2).max(1);
    }
}

/// How often each kind of fault occurs in the plans.
pub fn count_by_kind<'a>(plans: impl Iterator<Item = &'a Plan>) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    plans.flatten().for_each(|(_, fault)| *counts.entry(fault.kind()).or_default() += 1);
    counts
}
