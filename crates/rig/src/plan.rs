//! What breaks, and when: drawn from a seed, or given; and made smaller where it shows a fault of ours.

use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// One thing that goes wrong, or right again.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The process is gone at once; what it had running goes on at the engines for a while.
    Kill(usize),
    /// The process is gone at once, and engines read what it sent so much later, whatever they answer meanwhile.
    KillUnread(usize, Duration),
    /// The file of what a gateway has out is gone.
    LoseRecord(usize),
    /// A new process under the same place, if there is none.
    Start(usize),
    /// It stands still for so long, and then goes on with what it had.
    Pause(usize, Duration),
    /// It leaves on purpose.
    Leave(usize),
    /// One way between two is cut.
    Cut {
        from: usize,
        to: usize,
        lasts: Duration,
    },
    /// These and the rest don't hear each other.
    Split {
        at: usize,
        lasts: Duration,
    },
    /// Messages are lost, doubled or late, in percent, anywhere.
    Lossy {
        lost: u32,
        doubled: u32,
        late: u32,
        lasts: Duration,
    },
    /// Late messages are late by up to so much.
    Slow {
        by: Duration,
        lasts: Duration,
    },
    /// What one says and hears is late by up to so much.
    Late {
        who: usize,
        by: Duration,
        lasts: Duration,
    },
    /// So many messages of before come again.
    Replay(usize),
    /// A clock goes on so much later, or earlier.
    JumpOn(usize, Duration),
    JumpBack(usize, Duration),
    /// How many statements a second come there.
    Demand(usize, u32),
    /// Its answers to what it needs are lies: all of everything.
    Lies(usize),
    /// All are killed, and started again so much later.
    KillAll {
        back: Duration,
    },
    /// Of ten, seven are killed, and started again.
    KillMost {
        back: Duration,
    },
}

impl Fault {
    /// Of what kind it is, for counting what was caused.
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

pub type Plan = Vec<(Duration, Fault)>;

/// A plan of `faults` faults within `span` for so many gateways, the seats first among them.
pub fn draw(seed: u64, gateways: usize, seats: usize, span: Duration, faults: usize) -> Plan {
    let mut rng = WyRand::new_seed(seed);
    let ms = |rng: &mut WyRand, from: u64, to: u64| Duration::from_millis(rng.generate_range(from..to));
    let mut plan = Plan::new();
    for _ in 0..faults {
        let at = ms(&mut rng, 500, span.as_millis() as u64);
        // Seats are hit as often as all others together: where the agreement is made, most can go wrong.
        let most = if rng.generate_range(0..2) == 0 { seats } else { gateways };
        let who = rng.generate_range(0..most);
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

/// The smallest plan found, by leaving faults out, that `fails` still.
pub fn smaller(plan: Plan, fails: impl Fn(&Plan) -> bool) -> Plan {
    let mut plan = plan;
    let mut step = plan.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        let before = plan.len();
        while at < plan.len() {
            let mut less = plan.clone();
            less.drain(at..(at + step).min(plan.len()));
            if fails(&less) {
                plan = less;
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

/// How often each kind of fault is in these plans.
pub fn kinds<'a>(plans: impl Iterator<Item = &'a Plan>) -> BTreeMap<&'static str, usize> {
    let mut kinds = BTreeMap::new();
    plans.flatten().for_each(|(_, fault)| *kinds.entry(fault.kind()).or_default() += 1);
    kinds
}
