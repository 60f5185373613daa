//! Discrete-event simulation of a fleet with the real state machines; the same seed gives the same run. The
//! actual state (which processes run, what runs at engines) is kept apart from what the state machines
//! believe, and the invariants are checked on it.

use crate::plan::{Fault, Plan};
use bramblewharf_budgets::usage::{Charges, OrphanId};
use bramblewharf_budgets::{Budget, Demand, Measure, Scope, UNIT};
use bramblewharf_fleet::node::{Effect, Node, Recipient, Remains, Start};
use bramblewharf_fleet::outstanding::{Outstanding, ProcessRun, Record};
use bramblewharf_fleet::predecessor::Predecessor;
use bramblewharf_fleet::wire::Message;
use bramblewharf_fleet::{Envelope, FleetConfig, Incarnation, InjectedBug, Key};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Number of messages recorded for replay.
const RECORDED_MESSAGES: usize = 512;
/// An engine that has answered two calls this far apart has read every call sent before, unless something
/// holds that call up.
const READ_TIME: Duration = Duration::from_millis(500);
/// Time until an engine answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(2);

/// Parameters of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub gateways: usize,
    /// Number of member ids in the settings; there may be fewer gateways.
    pub max_members: u32,
    pub voters: u8,
    pub whole: u64,
    pub floor_percent: u64,
    /// The budget limits engines instead of statements: no statement is charged to it.
    pub on_engines: bool,
    /// Statements per second that each gateway receives at first.
    pub demand: u32,
    /// Longest time that a statement runs.
    pub max_statement_time: Duration,
    pub lease: Duration,
    /// Each clock is fast by 0 or by plus or minus this many thousandths.
    pub drift: u32,
    pub injected_bug: Option<InjectedBug>,
    pub seed: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 5,
            max_members: 5,
            voters: 3,
            whole: 40 * UNIT,
            floor_percent: 25,
            on_engines: false,
            demand: 100,
            max_statement_time: 800 * MS,
            lease: 2000 * MS,
            drift: 10,
            injected_bug: None,
            seed: 1,
        }
    }
}

impl Fleet {
    /// The configuration of the fleet's state machines.
    pub fn config(&self) -> FleetConfig {
        let orphan_retention = 500 * MS;
        FleetConfig {
            fleet: 1,
            max_members: self.max_members,
            voters: self.voters,
            lease: self.lease,
            drift_percent: 1,
            max_execution_time: self.max_statement_time + orphan_retention,
            orphan_retention,
            injected_bug: self.injected_bug,
        }
    }

    fn budget(&self) -> Budget {
        if self.on_engines {
            return Budget { whole: self.whole, ..Budget::engines() };
        }
        Budget {
            name: "whole".into(),
            scope: Scope::default(),
            measure: Measure::StatementsAtOnce,
            whole: self.whole,
            floor_percent: self.floor_percent,
            quantum: UNIT,
            burst: Duration::ZERO,
        }
    }
}

/// What the simulation observed, by simulated time.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The first violation of an invariant and its time.
    pub violation: Option<(Duration, String)>,
    pub sent: u64,
    pub refused: u64,
    pub messages: u64,
    pub bytes: u64,
    /// Samples of what was in use, in thousandths of a unit.
    pub in_use: Vec<(Duration, u64)>,
    /// Samples of the floors and grants of all gateways.
    pub granted: Vec<(Duration, u64)>,
    /// Number of samples at which no gateway was the leader.
    pub samples_without_leader: u64,
    /// Number of statements that each gateway sent.
    pub by_gateway: Vec<u64>,
}

struct Execution {
    id: u64,
    /// When its engine reads it.
    read_at: Duration,
    /// When it ends at its engine.
    ends_at: Duration,
    charges: Charges,
    incarnation: u64,
    /// The gateway does not learn of its end.
    end_unnoticed: bool,
    /// It has ended at its engine, but its gateway is paused and has not been notified.
    ended: bool,
}

struct Gateway {
    node: Option<Node>,
    incarnation: u64,
    /// The process is paused until then.
    paused_until: Duration,
    /// Messages received during the pause.
    inbox: VecDeque<(Envelope, SocketAddr)>,
    /// Rate of its clock against simulated time, in thousandths.
    clock_rate: i64,
    /// Offset of its clock in nanoseconds, which jumps change.
    clock_offset: i64,
    wakes_at: Option<Duration>,
    demand: u32,
    /// It reports that it needs everything.
    lies: bool,
    running: Vec<Execution>,
    /// The record of executions in flight that the next process finds.
    record: Option<Record>,
    run: Option<ProcessRun>,
    /// Engines don't answer it before then.
    engines_silent_until: Duration,
    /// Its part of the total use when last counted.
    counted: u64,
}

enum Event {
    Wake(usize, u64),
    Arrives(usize, Box<Envelope>, SocketAddr),
    Statement(usize, u64),
    Ended(usize),
    /// All engines have answered the process with this incarnation.
    EnginesConfirmed(usize, u64),
    /// An engine has answered the process with this incarnation about an execution of an earlier process.
    OrphanSettled(usize, u64, u64, OrphanId),
    PlannedFault(usize),
    FaultEnds(usize),
    Sample,
}

struct Queued {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A network fault in force.
enum ActiveFault {
    Cut(usize, usize),
    Split(usize),
    Lossy(u32, u32, u32),
    Slow(Duration),
    Late(usize, Duration),
}

/// The simulation.
pub struct World {
    fleet: Fleet,
    key: Key,
    rng: WyRand,
    now: Duration,
    queue: BinaryHeap<Reverse<Queued>>,
    next_sequence: u64,
    gateways: Vec<Gateway>,
    active_faults: Vec<Option<ActiveFault>>,
    plan: Plan,
    /// The total use of all gateways.
    total: u64,
    recorded: VecDeque<(usize, Envelope, SocketAddr)>,
    observations: Observations,
}

fn address(of: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + of as u16))
}

/// Simulates a plan for this long.
pub fn simulate(fleet: Fleet, plan: Plan, duration: Duration) -> Observations {
    let mut world = World::new(fleet, plan);
    world.run_until(duration);
    world.observations
}

impl World {
    /// A fleet whose gateways have just started.
    pub fn new(fleet: Fleet, plan: Plan) -> World {
        let mut rng = WyRand::new_seed(fleet.seed);
        let gateways = (0..fleet.gateways).map(|_| {
            let drift = fleet.drift as i64;
            Gateway {
                node: None,
                incarnation: 0,
                paused_until: Duration::ZERO,
                inbox: VecDeque::new(),
                clock_rate: 1000 + [-drift, 0, drift][rng.generate_range(0..3usize)],
                clock_offset: rng.generate_range(0..100_000u64) as i64 * 1_000_000,
                wakes_at: None,
                demand: fleet.demand,
                lies: false,
                running: Vec::new(),
                record: None,
                run: None,
                engines_silent_until: Duration::ZERO,
                counted: 0,
            }
        });
        let gateways: Vec<Gateway> = gateways.collect();
        let mut world = World {
            key: Key::derive(b"a key of sixteen bytes").expect("long enough"),
            rng,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            active_faults: Vec::new(),
            total: 0,
            recorded: VecDeque::new(),
            observations: Observations { by_gateway: vec![0; fleet.gateways], ..Observations::default() },
            gateways,
            plan,
            fleet,
        };
        for at in 0..world.plan.len() {
            world.queue(world.plan[at].0, Event::PlannedFault(at));
        }
        // Each process begins to work after a short random delay.
        for at in 0..world.gateways.len() {
            world.start(at);
        }
        world.queue(50 * MS, Event::Sample);
        world
    }

    /// What was observed so far.
    pub fn observations(&self) -> &Observations {
        &self.observations
    }

    /// The current floor of a gateway.
    pub fn floor(&mut self, at: usize) -> u64 {
        let local = self.local_time(at);
        self.gateways[at].node.as_mut().map_or(0, |node| node.figures(local).iter().map(|f| f.floor).sum())
    }

    fn queue(&mut self, at: Duration, event: Event) {
        self.next_sequence += 1;
        self.queue.push(Reverse(Queued { at: at.max(self.now), sequence: self.next_sequence, event }));
    }

    /// The time of a gateway's clock.
    fn local_time(&self, at: usize) -> Duration {
        let gateway = &self.gateways[at];
        let nanos = self.now.as_nanos() as i128 * i128::from(gateway.clock_rate) / 1000
            + i128::from(gateway.clock_offset);
        Duration::from_nanos(nanos.max(0) as u64 + 1_000_000_000_000)
    }

    /// Processes all events until this time, or until the first violation.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > until || self.observations.violation.is_some() {
                self.now = until;
                self.queue.push(Reverse(next));
                return;
            }
            self.now = next.at;
            self.handle(next.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(at, incarnation) => {
                let gateway = &mut self.gateways[at];
                if gateway.incarnation != incarnation || gateway.node.is_none() {
                    return;
                }
                gateway.wakes_at = None;
                if gateway.paused_until > self.now {
                    let wakes = gateway.paused_until;
                    gateway.wakes_at = Some(wakes);
                    return self.queue(wakes, Event::Wake(at, incarnation));
                }
                // The messages of a pause are handled before or after the timers, at random.
                let first = self.rng.generate_range(0..2) == 0;
                if first {
                    self.step(at, Node::tick);
                }
                while let Some((envelope, from)) = self.gateways[at].inbox.pop_front() {
                    self.step(at, |node, now| node.handle_message(now, envelope, from));
                }
                if !first {
                    self.step(at, Node::tick);
                }
            }
            Event::Arrives(at, envelope, from) => {
                let gateway = &mut self.gateways[at];
                if gateway.node.is_none() {
                    return;
                }
                if gateway.paused_until > self.now {
                    gateway.inbox.push_back((*envelope, from));
                    return;
                }
                self.step(at, |node, now| node.handle_message(now, *envelope, from));
            }
            Event::Statement(at, incarnation) => self.statement(at, incarnation),
            Event::Ended(at) => self.end_executions(at),
            Event::EnginesConfirmed(at, incarnation) => {
                if self.gateways[at].incarnation == incarnation {
                    self.step(at, |node, now| {
                        node.engines_confirmed(now);
                        Vec::new()
                    });
                }
            }
            Event::OrphanSettled(at, incarnation, id, orphan) => {
                self.settle_orphan(at, incarnation, id, orphan)
            }
            Event::PlannedFault(at) => self.inject(self.plan[at].1.clone()),
            Event::FaultEnds(at) => self.active_faults[at] = None,
            Event::Sample => self.sample(),
        }
    }

    fn start(&mut self, at: usize) {
        if self.gateways[at].node.is_some() {
            return;
        }
        let seed: u64 = self.rng.generate();
        let gateway = &mut self.gateways[at];
        gateway.incarnation += 1;
        (gateway.paused_until, gateway.wakes_at, gateway.lies) = (Duration::ZERO, None, false);
        gateway.inbox.clear();
        let incarnation = Incarnation(((at as u64) << 32) + gateway.incarnation);
        let start = Start {
            member_id: at as u32,
            voter: u8::try_from(at).ok().filter(|voter| *voter < self.fleet.voters),
            incarnation,
            config: self.fleet.config(),
            budgets: vec![self.fleet.budget()],
            table_digest: 1,
            seed,
        };
        let now = self.local_time(at);
        let record = self.gateways[at].record.take();
        self.gateways[at].run = Some(ProcessRun::start(start.incarnation, 1, 0, record.as_ref()));
        let predecessor = record.map_or(Predecessor::Unknown, Predecessor::Recorded);
        let (node, inherited) = Node::start_after(start, predecessor, now);
        self.gateways[at].node = Some(node);
        let incarnation = self.gateways[at].incarnation;
        self.query_engines(at, inherited);
        let soon = self.now + Duration::from_micros(self.rng.generate_range(0..20_000));
        self.gateways[at].wakes_at = Some(soon);
        self.queue(soon, Event::Wake(at, incarnation));
        self.queue(soon, Event::Statement(at, incarnation));
        self.count(at);
    }

    /// A new process asks engines about each execution in its record, and whether they have read every
    /// earlier call.
    fn query_engines(&mut self, at: usize, inherited: Vec<(Outstanding, OrphanId)>) {
        let (now, incarnation) = (self.now, self.gateways[at].incarnation);
        for (outstanding, orphan) in inherited {
            let id: u64 = outstanding.id.parse().expect("a number");
            let read_at = self.gateways[at].running.iter().find(|x| x.id == id).map_or(now, |x| x.read_at);
            self.queue(read_at.max(now) + ANSWER_TIME, Event::OrphanSettled(at, incarnation, id, orphan));
        }
        let confirmed = self.gateways[at].engines_silent_until.max(now) + READ_TIME;
        self.queue(confirmed, Event::EnginesConfirmed(at, incarnation));
    }

    /// The engine has ended an execution of an earlier process on request.
    fn settle_orphan(&mut self, at: usize, incarnation: u64, id: u64, orphan: OrphanId) {
        if self.gateways[at].incarnation != incarnation || self.gateways[at].node.is_none() {
            return;
        }
        if self.gateways[at].paused_until > self.now {
            let paused = self.gateways[at].paused_until;
            return self.queue(paused, Event::OrphanSettled(at, incarnation, id, orphan));
        }
        self.gateways[at].running.retain(|x| x.id != id);
        self.step(at, |node, now| {
            node.settle(now, orphan, Remains::Nothing);
            Vec::new()
        });
    }

    fn kill(&mut self, at: usize) {
        let retention = self.fleet.config().orphan_retention;
        let now = self.now;
        let gateway = &mut self.gateways[at];
        if let Some(node) = gateway.node.take() {
            let run = gateway.run.take().map(|run| ProcessRun { complete: node.counts_everything(), ..run });
            let outstanding = |x: &Execution| Outstanding {
                id: x.id.to_string(),
                execution: 0,
                engine: address(at),
                demand: x.charges.clone(),
            };
            let outstanding = gateway.running.iter().map(outstanding).collect();
            gateway.record = run.map(|run| Record { run, outstanding });
            // Nobody polls the executions any more: engines end them after the orphan retention.
            gateway
                .running
                .iter_mut()
                .for_each(|x| x.ends_at = x.ends_at.min(x.read_at.max(now) + retention));
            gateway.inbox.clear();
        }
        self.count(at);
    }

    /// Kills a gateway whose executions are read only after a delay: they may start until then.
    fn kill_unread(&mut self, at: usize, delay: Duration) {
        let (read_at, retention) = (self.now + delay, self.fleet.config().orphan_retention);
        if self.gateways[at].node.is_some() {
            self.gateways[at].engines_silent_until = read_at;
            for x in &mut self.gateways[at].running {
                (x.read_at, x.ends_at) = (read_at, read_at + retention);
            }
        }
        self.kill(at);
    }

    /// Runs one step of a gateway's state machine at its local time and sends what follows.
    fn step(&mut self, at: usize, step: impl FnOnce(&mut Node, Duration) -> Vec<Effect>) {
        let now = self.local_time(at);
        let Some(node) = &mut self.gateways[at].node else { return };
        let effects = step(node, now);
        let due = node.due(now);
        for effect in effects {
            if let Effect::Send { to, envelope } = effect {
                self.send(at, to, envelope);
            }
        }
        self.count(at);
        self.schedule_wake(at, due);
    }

    /// Schedules a wake-up when the gateway's clock shows this time.
    fn schedule_wake(&mut self, at: usize, due: Duration) {
        let local = self.local_time(at);
        let wait = due.saturating_sub(local).min(Duration::from_secs(3600));
        let wakes = self.now + wait * 1000 / self.gateways[at].clock_rate as u32 + Duration::from_micros(1);
        if self.gateways[at].wakes_at.is_none_or(|other| wakes < other || other <= self.now) {
            self.gateways[at].wakes_at = Some(wakes);
            let incarnation = self.gateways[at].incarnation;
            self.queue(wakes, Event::Wake(at, incarnation));
        }
    }

    fn send(&mut self, from: usize, to: Recipient, mut envelope: Envelope) {
        if let (Message::GrantRequest(request), true) = (&mut envelope.message, self.gateways[from].lies) {
            request.needs.iter_mut().for_each(|need| *need = u64::MAX);
        }
        self.observations.messages += 1;
        let Some(bytes) = envelope.encode(&self.key) else { return };
        self.observations.bytes += bytes.len() as u64;
        let to = match to {
            Recipient::Voter(voter) => usize::from(voter),
            Recipient::Address(address) => usize::from(address.port()) - 1,
        };
        if self.recorded.len() < RECORDED_MESSAGES {
            self.recorded.push_back((to, envelope.clone(), address(from)));
        } else if self.rng.generate_range(0..8) == 0 {
            let at = self.rng.generate_range(0..RECORDED_MESSAGES);
            self.recorded[at] = (to, envelope.clone(), address(from));
        }
        self.deliver(from, to, envelope);
    }

    /// Delivers a message as the active network faults permit.
    fn deliver(&mut self, from: usize, to: usize, envelope: Envelope) {
        let mut delay = Duration::from_micros(self.rng.generate_range(50..1500));
        let mut copies = 1;
        for fault in self.active_faults.iter().flatten() {
            match fault {
                ActiveFault::Cut(a, b) if (*a, *b) == (from, to) => return,
                ActiveFault::Split(at) if (from < *at) != (to < *at) => return,
                ActiveFault::Lossy(lost, doubled, late) => {
                    if self.rng.generate_range(0..100) < *lost {
                        return;
                    }
                    copies += usize::from(self.rng.generate_range(0..100) < *doubled);
                    if self.rng.generate_range(0..100) < *late {
                        delay += Duration::from_millis(self.rng.generate_range(0..5000));
                    }
                }
                ActiveFault::Late(who, _) if *who != from && *who != to => {}
                ActiveFault::Slow(by) | ActiveFault::Late(_, by) => {
                    delay += Duration::from_micros(self.rng.generate_range(0..by.as_micros().max(1) as u64));
                }
                _ => {}
            }
        }
        if to >= self.gateways.len() {
            return;
        }
        for copy in 0..copies {
            let at = self.now + delay * (1 + copy as u32);
            self.queue(at, Event::Arrives(to, Box::new(envelope.clone()), address(from)));
        }
    }

    fn statement(&mut self, at: usize, incarnation: u64) {
        if self.gateways[at].incarnation != incarnation || self.gateways[at].node.is_none() {
            return;
        }
        let demand = self.gateways[at].demand;
        let pause = match demand {
            0 => 100 * MS,
            _ => Duration::from_secs_f64(-(1.0 - self.rng.generate::<f64>()).ln() / f64::from(demand)),
        };
        self.queue(self.now + pause, Event::Statement(at, incarnation));
        if demand == 0 || self.gateways[at].paused_until > self.now {
            return;
        }
        let demand = Demand {
            workload: 0,
            customer: None,
            kind: "",
            weight: 1.0,
            mem_mb: 0.0,
            previous_executions: 0,
        };
        let now = self.local_time(at);
        let Some(node) = &mut self.gateways[at].node else { return };
        let mut headroom = node.headroom(now);
        if !headroom.permits(now, &demand) {
            self.observations.refused += 1;
            node.statement_refused(now, &demand);
            let due = node.due(now);
            return self.schedule_wake(at, due);
        }
        let charges = headroom.charge(&demand);
        node.execution_started(now, &charges);
        self.observations.sent += 1;
        self.observations.by_gateway[at] += 1;
        let longest = self.fleet.max_statement_time.as_micros() as u64;
        let duration = Duration::from_micros(self.rng.generate_range(longest / 10..longest));
        // Sometimes the gateway misses the end, and the engine keeps the execution for the retention time.
        let end_unnoticed = self.rng.generate_range(0..50) == 0;
        let ends_at = self.now + duration;
        let (id, read_at) = (self.observations.sent, self.now);
        self.gateways[at].running.push(Execution {
            id,
            read_at,
            ends_at,
            charges,
            incarnation,
            end_unnoticed,
            ended: false,
        });
        self.queue(ends_at, Event::Ended(at));
        self.count(at);
    }

    /// Ends the executions of a gateway whose time has come.
    fn end_executions(&mut self, at: usize) {
        let (now, local) = (self.now, self.local_time(at));
        let retention = self.fleet.config().orphan_retention;
        let gateway = &mut self.gateways[at];
        let paused_until = gateway.paused_until;
        let mut awaiting_resume = Vec::new();
        let mut unnoticed = Vec::new();
        let mut remaining = Vec::new();
        for x in std::mem::take(&mut gateway.running) {
            let own = gateway.node.is_some() && x.incarnation == gateway.incarnation;
            if x.ends_at > now {
                remaining.push(x);
            } else if own && paused_until > now {
                // It has ended at its engine; the paused gateway learns of it when it resumes.
                awaiting_resume.push(Execution { ends_at: paused_until, ended: true, ..x });
            } else if own && x.end_unnoticed {
                if let Some(node) = &mut gateway.node {
                    node.execution_ended(local, x.charges.clone(), Remains::Orphaned);
                }
                unnoticed.push(Execution {
                    ends_at: now + retention,
                    incarnation: 0,
                    end_unnoticed: false,
                    ..x
                });
            } else if own {
                if let Some(node) = &mut gateway.node {
                    node.execution_ended(local, x.charges, Remains::Nothing);
                }
            }
        }
        let ends: Vec<Duration> = awaiting_resume.iter().chain(&unnoticed).map(|x| x.ends_at).collect();
        remaining.extend(awaiting_resume);
        remaining.extend(unnoticed);
        gateway.running = remaining;
        ends.into_iter().for_each(|ends| self.queue(ends, Event::Ended(at)));
        self.count(at);
    }

    fn inject(&mut self, fault: Fault) {
        let activate = |world: &mut World, fault, lasts| {
            world.active_faults.push(Some(fault));
            let at = world.active_faults.len() - 1;
            world.queue(world.now + lasts, Event::FaultEnds(at));
        };
        match fault {
            Fault::Kill(at) => self.kill(at),
            Fault::KillUnread(at, lasts) => self.kill_unread(at, lasts),
            Fault::LoseRecord(at) => self.gateways[at].record = None,
            Fault::Start(at) => self.start(at),
            Fault::Pause(at, lasts) => {
                let gateway = &mut self.gateways[at];
                gateway.paused_until = gateway.paused_until.max(self.now + lasts);
            }
            Fault::Leave(at) => {
                if self.gateways[at].node.is_some() && self.gateways[at].paused_until <= self.now {
                    self.step(at, Node::leave);
                    self.kill(at);
                }
            }
            Fault::Cut { from, to, lasts } => activate(self, ActiveFault::Cut(from, to), lasts),
            Fault::Split { at, lasts } => activate(self, ActiveFault::Split(at), lasts),
            Fault::Lossy { lost, doubled, late, lasts } => {
                activate(self, ActiveFault::Lossy(lost, doubled, late), lasts);
            }
            Fault::Slow { by, lasts } => activate(self, ActiveFault::Slow(by), lasts),
            Fault::Late { who, by, lasts } => activate(self, ActiveFault::Late(who, by), lasts),
            Fault::Replay(count) => {
                for (to, envelope, from) in self.recorded.iter().take(count).cloned().collect::<Vec<_>>() {
                    let from = usize::from(from.port()) - 1;
                    self.deliver(from, to, envelope);
                }
            }
            Fault::JumpOn(at, by) => self.gateways[at].clock_offset += by.as_nanos() as i64,
            // During a pause, a clock that jumps back by less than the pause can't be told from a slow clock.
            Fault::JumpBack(at, by) if self.gateways[at].paused_until <= self.now => {
                self.gateways[at].clock_offset -= by.as_nanos() as i64;
            }
            Fault::JumpBack(..) => {}
            Fault::Demand(at, demand) => self.gateways[at].demand = demand,
            Fault::Lies(at) => self.gateways[at].lies = true,
            Fault::KillAll { back } => (0..self.gateways.len()).for_each(|at| self.restart_after(at, back)),
            Fault::KillMost { back } => {
                (0..self.gateways.len()).filter(|at| at % 10 < 7).for_each(|at| self.restart_after(at, back));
            }
        }
    }

    fn restart_after(&mut self, at: usize, delay: Duration) {
        self.kill(at);
        self.plan.push((self.now + delay, Fault::Start(at)));
        self.queue(self.now + delay, Event::PlannedFault(self.plan.len() - 1));
    }

    /// A gateway's part of the total: what it may use, or what actually runs for its process where that is
    /// more, plus what runs for its earlier processes.
    fn usage(&mut self, at: usize) -> u64 {
        let (now, local) = (self.now, self.local_time(at));
        let gateway = &mut self.gateways[at];
        let incarnation = gateway.incarnation;
        let count_running = |own: bool| {
            let running = gateway.running.iter().filter(|x| x.ends_at > now && !x.ended);
            running.filter(|x| (x.incarnation == incarnation) == own).count() as u64 * UNIT
        };
        let (own, others) = (count_running(true), count_running(false));
        match &mut gateway.node {
            Some(node) => {
                let figures = &node.figures(local)[0];
                // Own executions whose end it missed are part of what it counts as in use; the others are of
                // earlier processes.
                let unnoticed = figures.in_use.saturating_sub(own).min(others);
                (figures.floor + figures.grant).max(own + unnoticed) + (others - unnoticed)
            }
            None => own + others,
        }
    }

    /// Checks B1 and B2 together after an event at a gateway.
    fn count(&mut self, at: usize) {
        let usage = self.usage(at);
        self.total = self.total + usage - std::mem::replace(&mut self.gateways[at].counted, usage);
        if self.total <= self.fleet.whole || self.observations.violation.is_some() {
            return;
        }
        // Grants of other gateways may have expired since they were counted.
        for other in 0..self.gateways.len() {
            let usage = self.usage(other);
            self.total = self.total + usage - std::mem::replace(&mut self.gateways[other].counted, usage);
        }
        if self.total > self.fleet.whole {
            let each: Vec<u64> = self.gateways.iter().map(|gateway| gateway.counted).collect();
            let description =
                format!("{} of {}: {each:?}, seen at gateway {at}", self.total, self.fleet.whole);
            self.observations.violation = Some((self.now, description));
        }
    }

    fn sample(&mut self) {
        let now = self.now;
        let running = self.gateways.iter().flat_map(|g| &g.running);
        let in_use = running.filter(|x| x.ends_at > now && !x.ended).count() as u64 * UNIT;
        self.observations.in_use.push((now, in_use));
        let (mut granted, mut has_leader) = (0, false);
        for at in 0..self.gateways.len() {
            let local = self.local_time(at);
            if let Some(node) = &mut self.gateways[at].node {
                granted += node.figures(local).iter().map(|f| f.floor + f.grant).sum::<u64>();
                has_leader |= node.is_leader(local);
            }
        }
        self.observations.granted.push((now, granted));
        self.observations.samples_without_leader += u64::from(!has_leader);
        self.queue(now + 50 * MS, Event::Sample);
    }
}
