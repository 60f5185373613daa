//! Plans of faults against processes: each is played in real time, the fleet is healed, and the records are checked.

use crate::plan::{Fault, Plan as Faults};
use crate::relay::{Streams, Way};
use crate::world::{Clients, Plan, World};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Clients of a gateway, each with a statement every so often, whatever becomes of it.
const CLIENTS: usize = 12;
const EVERY: Duration = Duration::from_millis(100);
/// A fleet that is whole again uses its whole again within this, or something is stuck.
const WELL_WITHIN: Duration = Duration::from_secs(25);

/// What a plan came to.
#[derive(Debug)]
pub struct Outcome {
    /// What did not hold.
    pub broken: Option<String>,
    /// How long after the last fault was healed all that can be given was given.
    pub well_after: Option<Duration>,
    pub completed: u64,
}

/// Ways as the troubles in force leave them.
#[derive(Default)]
struct Troubles {
    cuts: BTreeMap<(usize, usize), Duration>,
    splits: Vec<(usize, Duration)>,
    all: Option<(Way, Duration)>,
    late: BTreeMap<usize, (Duration, Duration)>,
}

impl Troubles {
    fn way(&self, now: Duration, from: usize, to: usize) -> Way {
        let mut way = self.all.filter(|(_, until)| now < *until).map_or(Way::default(), |(way, _)| way);
        let cut = self.cuts.get(&(from, to)).is_some_and(|until| now < *until);
        let split = self.splits.iter().any(|(at, until)| now < *until && (from < *at) != (to < *at));
        way.cut |= cut || split;
        for who in [from, to] {
            let late = self.late.get(&who).filter(|(_, until)| now < *until);
            way.late = way.late.max(late.map_or(Duration::ZERO, |(by, _)| *by));
        }
        way
    }

    /// When something heals next.
    fn due(&self, now: Duration) -> Option<Duration> {
        let cuts = self.cuts.values().copied();
        let splits = self.splits.iter().map(|(_, until)| *until);
        let all = self.all.iter().map(|(_, until)| *until);
        let late = self.late.values().map(|(_, until)| *until);
        cuts.chain(splits).chain(all).chain(late).filter(|until| *until > now).min()
    }
}

/// Faults that processes can be put to: their clocks are what they are.
pub fn for_processes(plan: Faults) -> Faults {
    let clocks = |fault: &Fault| matches!(fault, Fault::JumpOn(..) | Fault::JumpBack(..) | Fault::Lies(_));
    plan.into_iter().filter(|(_, fault)| !clocks(fault)).collect()
}

pub fn play(fleet: Plan, faults: &Faults, program: &Path) -> io::Result<Outcome> {
    let mut world = World::new(fleet, program)?;
    world.start_all()?;
    world.becomes(WELL_WITHIN, |world| world.keeper().is_some());
    let gateways = world.plan.gateways;
    let mut clients: Vec<Clients> = (0..gateways).map(|at| world.clients(at, CLIENTS, EVERY)).collect();
    let mut completed = 0;
    let mut troubles = Troubles::default();
    // What is planned, and what follows from it: processes that go on, or start again.
    let mut steps: Vec<(Duration, Step)> =
        faults.iter().map(|(at, fault)| (*at, Step::Fault(fault.clone()))).collect();
    let began = Instant::now();
    loop {
        steps.sort_by_key(|(at, _)| *at);
        let now = began.elapsed();
        let next = steps.first().map(|(at, _)| *at);
        let wake = next.into_iter().chain(troubles.due(now)).min();
        let Some(wake) = wake else { break };
        std::thread::sleep(wake.saturating_sub(now));
        let now = began.elapsed();
        while steps.first().is_some_and(|(at, _)| *at <= now) {
            match steps.remove(0).1 {
                Step::EnginesRead(at) => world.set_engines(at, Streams::Well),
                Step::GoOn(at) => world.go_on(at),
                Step::Start(at) => world.start(at)?,
                Step::Fault(Fault::Demand(at, per_second)) => {
                    completed += clients[at].tally.completed();
                    let many = (per_second as usize / 10).clamp(1, 40);
                    clients[at] = world.clients(at, many, EVERY);
                }
                Step::Fault(fault) => {
                    let more = cause(&mut world, &mut troubles, now, fault)?;
                    steps.extend(more.into_iter().map(|(wait, step)| (now + wait, step)));
                }
            }
        }
        for (from, to) in
            (0..gateways).flat_map(|a| (0..gateways).map(move |b| (a, b))).filter(|(a, b)| a != b)
        {
            world.set_way(from, to, troubles.way(now, from, to));
        }
    }
    (0..gateways).for_each(|at| world.go_on(at));
    world.start_all()?;
    let healed = Instant::now();
    // Every gateway wants more than its part now.
    clients.extend((0..gateways).map(|at| world.clients(at, CLIENTS, EVERY)));
    let whole = world.plan.whole;
    let well = world.becomes(WELL_WITHIN, |world| {
        (0..gateways).map(|at| world.has(at)).sum::<u64>() >= whole - whole / 8
    });
    let well_after = well.then(|| healed.elapsed());
    completed += clients.iter().map(|of| of.tally.completed()).sum::<u64>();
    let mut broken = world.verdict().err();
    if !well && broken.is_none() {
        broken = Some(format!("not well again: {}", world.shown()));
    }
    Ok(Outcome { broken, well_after, completed })
}

enum Step {
    Fault(Fault),
    GoOn(usize),
    Start(usize),
    EnginesRead(usize),
}

/// Causes it, and says what is to be done so much later.
fn cause(
    world: &mut World,
    troubles: &mut Troubles,
    now: Duration,
    fault: Fault,
) -> io::Result<Vec<(Duration, Step)>> {
    let gateways = world.plan.gateways;
    let mut later = Vec::new();
    match fault {
        Fault::Kill(at) => world.kill(at),
        Fault::KillUnread(at, lasts) => {
            world.set_engines(at, Streams::Silent);
            world.kill(at);
            world.set_engines(at, Streams::Held);
            later.push((lasts, Step::EnginesRead(at)));
        }
        Fault::LoseRecord(at) => world.lose_record(at),
        Fault::Start(at) => world.start(at)?,
        Fault::Leave(at) => world.leave(at),
        Fault::Pause(at, lasts) => {
            world.pause(at);
            later.push((lasts, Step::GoOn(at)));
        }
        Fault::Cut { from, to, lasts } => drop(troubles.cuts.insert((from, to), now + lasts)),
        Fault::Split { at, lasts } => troubles.splits.push((at, now + lasts)),
        Fault::Lossy { lost, doubled, late, lasts } => {
            let late = if late > 0 { 500 * MS } else { Duration::ZERO };
            troubles.all =
                Some((Way { cut: false, lost: lost as u8, doubled: doubled as u8, late }, now + lasts));
        }
        Fault::Slow { by, lasts } => troubles.all = Some((Way { late: by, ..Way::default() }, now + lasts)),
        Fault::Late { who, by, lasts } => drop(troubles.late.insert(who, (by, now + lasts))),
        Fault::Replay(_) => world.replay_all(),
        Fault::KillAll { back } | Fault::KillMost { back } => {
            let most = matches!(fault, Fault::KillMost { .. });
            for at in (0..gateways).filter(|at| !most || at % 10 < 7) {
                world.kill(at);
                later.push((back, Step::Start(at)));
            }
        }
        Fault::Demand(..) | Fault::JumpOn(..) | Fault::JumpBack(..) | Fault::Lies(_) => {}
    }
    Ok(later)
}
