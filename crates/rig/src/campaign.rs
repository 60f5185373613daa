//! Runs fault plans against real gateway processes: each plan in real time, then recovery of the fleet and a
//! check of its records.

use crate::plan::{Fault, Plan};
use crate::relay::{PathState, StreamState};
use crate::world::{Clients, FleetSpec, World};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Clients of each gateway.
const CLIENTS_PER_GATEWAY: usize = 12;
/// Interval at which a client sends statements, whatever their outcome.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a fleet whose faults are undone must have granted its whole budget again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);

/// The result of a plan.
#[derive(Debug)]
pub struct Outcome {
    /// The first broken invariant.
    pub violation: Option<String>,
    /// Time after the last fault was undone until the budget was granted again.
    pub recovered_after: Option<Duration>,
    /// Statements completed.
    pub completed: u64,
}

/// The network faults in force, each with its end.
#[derive(Default)]
struct ActiveFaults {
    cuts: BTreeMap<(usize, usize), Duration>,
    splits: Vec<(usize, Duration)>,
    everywhere: Option<(PathState, Duration)>,
    late: BTreeMap<usize, (Duration, Duration)>,
}

impl ActiveFaults {
    /// The state of the path from one gateway to another.
    fn path(&self, now: Duration, from: usize, to: usize) -> PathState {
        let mut path =
            self.everywhere.filter(|(_, until)| now < *until).map_or(PathState::default(), |(path, _)| path);
        let cut = self.cuts.get(&(from, to)).is_some_and(|until| now < *until);
        let split = self.splits.iter().any(|(at, until)| now < *until && (from < *at) != (to < *at));
        path.cut |= cut || split;
        for who in [from, to] {
            let late = self.late.get(&who).filter(|(_, until)| now < *until);
            path.max_delay = path.max_delay.max(late.map_or(Duration::ZERO, |(by, _)| *by));
        }
        path
    }

    /// When the next fault ends.
    fn next_end(&self, now: Duration) -> Option<Duration> {
        let cuts = self.cuts.values().copied();
        let splits = self.splits.iter().map(|(_, until)| *until);
        let everywhere = self.everywhere.iter().map(|(_, until)| *until);
        let late = self.late.values().map(|(_, until)| *until);
        cuts.chain(splits).chain(everywhere).chain(late).filter(|until| *until > now).min()
    }
}

/// The faults of a plan that can be injected into processes: all but clock jumps and false reports of need.
pub fn for_processes(plan: Plan) -> Plan {
    let unsupported =
        |fault: &Fault| matches!(fault, Fault::JumpOn(..) | Fault::JumpBack(..) | Fault::Lies(_));
    plan.into_iter().filter(|(_, fault)| !unsupported(fault)).collect()
}

/// Runs a plan against a new fleet.
pub fn run(spec: FleetSpec, plan: &Plan, program: &Path) -> io::Result<Outcome> {
    let mut world = World::new(spec, program)?;
    world.start_all()?;
    world.holds_within(RECOVERY_TIMEOUT, |world| world.leader().is_some());
    let gateways = world.spec.gateways;
    let mut clients: Vec<Clients> =
        (0..gateways).map(|at| world.clients(at, CLIENTS_PER_GATEWAY, REQUEST_INTERVAL)).collect();
    let mut completed = 0;
    let mut active = ActiveFaults::default();
    // The planned faults and the actions that follow from them, such as resuming or restarting a process.
    let mut actions: Vec<(Duration, Action)> =
        plan.iter().map(|(at, fault)| (*at, Action::Fault(fault.clone()))).collect();
    let started = Instant::now();
    loop {
        actions.sort_by_key(|(at, _)| *at);
        let now = started.elapsed();
        let next = actions.first().map(|(at, _)| *at);
        let wake = next.into_iter().chain(active.next_end(now)).min();
        let Some(wake) = wake else { break };
        std::thread::sleep(wake.saturating_sub(now));
        let now = started.elapsed();
        while actions.first().is_some_and(|(at, _)| *at <= now) {
            match actions.remove(0).1 {
                Action::OpenStreams(at) => world.set_streams_of_gateway(at, StreamState::Open),
                Action::Resume(at) => world.resume(at),
                Action::Start(at) => world.start(at)?,
                Action::Fault(Fault::Demand(at, per_second)) => {
                    completed += clients[at].counts.completed();
                    let count = (per_second as usize / 10).clamp(1, 40);
                    clients[at] = world.clients(at, count, REQUEST_INTERVAL);
                }
                Action::Fault(fault) => {
                    let follow_ups = inject(&mut world, &mut active, now, fault)?;
                    actions.extend(follow_ups.into_iter().map(|(delay, action)| (now + delay, action)));
                }
            }
        }
        for (from, to) in
            (0..gateways).flat_map(|a| (0..gateways).map(move |b| (a, b))).filter(|(a, b)| a != b)
        {
            world.set_path(from, to, active.path(now, from, to));
        }
    }
    (0..gateways).for_each(|at| world.resume(at));
    world.start_all()?;
    let recovery_started = Instant::now();
    // The demand of every gateway now exceeds its share.
    clients.extend((0..gateways).map(|at| world.clients(at, CLIENTS_PER_GATEWAY, REQUEST_INTERVAL)));
    let whole = world.spec.whole;
    let recovered = world.holds_within(RECOVERY_TIMEOUT, |world| {
        (0..gateways).map(|at| world.granted(at)).sum::<u64>() >= whole - whole / 8
    });
    let recovered_after = recovered.then(|| recovery_started.elapsed());
    completed += clients.iter().map(|of| of.counts.completed()).sum::<u64>();
    let mut violation = world.check_invariants().err();
    if !recovered && violation.is_none() {
        violation = Some(format!("the fleet did not recover: {}", world.describe()));
    }
    Ok(Outcome { violation, recovered_after, completed })
}

/// Something that is due at a time of the run.
enum Action {
    Fault(Fault),
    Resume(usize),
    Start(usize),
    /// Opens a gateway's connections to all engines again.
    OpenStreams(usize),
}

/// Injects a fault and returns the actions that follow from it, each with its delay.
fn inject(
    world: &mut World,
    active: &mut ActiveFaults,
    now: Duration,
    fault: Fault,
) -> io::Result<Vec<(Duration, Action)>> {
    let gateways = world.spec.gateways;
    let mut follow_ups = Vec::new();
    match fault {
        Fault::Kill(at) => world.kill(at),
        Fault::KillUnread(at, lasts) => {
            world.set_streams_of_gateway(at, StreamState::Stalled);
            world.kill(at);
            world.set_streams_of_gateway(at, StreamState::ExistingStalled);
            follow_ups.push((lasts, Action::OpenStreams(at)));
        }
        Fault::LoseRecord(at) => world.delete_record(at),
        Fault::Start(at) => world.start(at)?,
        Fault::Leave(at) => world.terminate(at),
        Fault::Pause(at, lasts) => {
            world.pause(at);
            follow_ups.push((lasts, Action::Resume(at)));
        }
        Fault::Cut { from, to, lasts } => drop(active.cuts.insert((from, to), now + lasts)),
        Fault::Split { at, lasts } => active.splits.push((at, now + lasts)),
        Fault::Lossy { lost, doubled, late, lasts } => {
            let max_delay = if late > 0 { 500 * MS } else { Duration::ZERO };
            active.everywhere = Some((
                PathState {
                    cut: false,
                    loss_percent: lost as u8,
                    duplicate_percent: doubled as u8,
                    max_delay,
                },
                now + lasts,
            ));
        }
        Fault::Slow { by, lasts } => {
            active.everywhere = Some((PathState { max_delay: by, ..PathState::default() }, now + lasts))
        }
        Fault::Late { who, by, lasts } => drop(active.late.insert(who, (by, now + lasts))),
        Fault::Replay(_) => world.replay_all(),
        Fault::KillAll { back } | Fault::KillMost { back } => {
            let most = matches!(fault, Fault::KillMost { .. });
            for at in (0..gateways).filter(|at| !most || at % 10 < 7) {
                world.kill(at);
                follow_ups.push((back, Action::Start(at)));
            }
        }
        Fault::Demand(..) | Fault::JumpOn(..) | Fault::JumpBack(..) | Fault::Lies(_) => {}
    }
    Ok(follow_ups)
}
