//! A fleet in virtual time: the real machines, one event after the other, the same seed the same run. What is true of the world
//! (who is there, what runs at engines) is kept apart from what the machines believe, and the invariants are checked on it.

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
/// Messages kept to come again.
const KEPT: usize = 512;
/// An engine that answers two calls so far apart has read what had come before, where nothing holds that up; and an engine's answer.
const READS_WITHIN: Duration = Duration::from_millis(500);
const ANSWERS: Duration = Duration::from_millis(2);

/// A fleet, before anything happens to it.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub gateways: usize,
    /// Places in the operators' file: gateways may be fewer.
    pub places: u32,
    pub seats: u8,
    pub whole: u64,
    pub floor_percent: u64,
    /// The budget is on the engines themselves: no statement takes from it.
    pub on_engines: bool,
    /// Statements a second at each gateway at first, and how long one takes at the most.
    pub demand: u32,
    pub longest: Duration,
    pub lease: Duration,
    /// By how many thousandths each clock is fast, from minus to plus this.
    pub drift: u32,
    pub wrong: Option<InjectedBug>,
    pub seed: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 5,
            places: 5,
            seats: 3,
            whole: 40 * UNIT,
            floor_percent: 25,
            on_engines: false,
            demand: 100,
            longest: 800 * MS,
            lease: 2000 * MS,
            drift: 10,
            wrong: None,
            seed: 1,
        }
    }
}

impl Fleet {
    pub fn terms(&self) -> FleetConfig {
        let orphan_retention = 500 * MS;
        FleetConfig {
            fleet: 1,
            max_members: self.places,
            voters: self.seats,
            lease: self.lease,
            drift_percent: 1,
            max_execution_time: self.longest + orphan_retention,
            orphan_retention,
            injected_bug: self.wrong,
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

/// What was seen, by the world's own time.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The first moment at which an invariant did not hold, and how.
    pub broken: Option<(Duration, String)>,
    pub sent: u64,
    pub refused: u64,
    pub messages: u64,
    pub bytes: u64,
    /// Of the whole, what was in use, sampled: time and milliunits; and what gateways had leave for.
    pub in_use: Vec<(Duration, u64)>,
    pub leave: Vec<(Duration, u64)>,
    /// Times at which no gateway kept the leave.
    pub unkept: u64,
    /// What each gateway sent, in statements.
    pub by_gateway: Vec<u64>,
}

struct Execution {
    id: u64,
    /// Its engine has not read it before then.
    read: Duration,
    /// When it ends at its engine, and whether the gateway hears of that.
    ends: Duration,
    took: Charges,
    incarnation: u64,
    unheard: bool,
    /// Over at its engine, and its gateway, which stands still, has yet to hear of it.
    over: bool,
}

struct Gateway {
    node: Option<Node>,
    incarnation: u64,
    /// Stands still until then; what came meanwhile.
    paused: Duration,
    inbox: VecDeque<(Envelope, SocketAddr)>,
    /// Local time is the world's by a rate in thousandths, moved by jumps.
    rate: i64,
    moved: i64,
    wakes: Option<Duration>,
    demand: u32,
    lies: bool,
    running: Vec<Execution>,
    /// What its file holds of what is out, as the next process finds it; and what this one began with.
    record: Option<Record>,
    run: Option<ProcessRun>,
    /// Engines don't answer it before then.
    unheard: Duration,
    /// What it counted for in the sum when last looked at.
    counted: u64,
}

enum Event {
    Wake(usize, u64),
    Arrives(usize, Box<Envelope>, SocketAddr),
    Statement(usize, u64),
    Ended(usize),
    /// Of a process, all engines have answered that it asked.
    Heard(usize, u64),
    /// Of a process, an engine has answered of an execution that a process before it sent.
    Settled(usize, u64, u64, OrphanId),
    Planned(usize),
    Heal(usize),
    Sample,
}

struct Queued {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

enum Trouble {
    Cut(usize, usize),
    Split(usize),
    Lossy(u32, u32, u32),
    Slow(Duration),
    Late(usize, Duration),
}

pub struct World {
    fleet: Fleet,
    key: Key,
    rng: WyRand,
    now: Duration,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    gateways: Vec<Gateway>,
    troubles: Vec<Option<Trouble>>,
    plan: Plan,
    sum: u64,
    kept: VecDeque<(usize, Envelope, SocketAddr)>,
    seen: Seen,
}

fn address(of: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + of as u16))
}

/// Plays a plan for so long.
pub fn play(fleet: Fleet, plan: Plan, lasts: Duration) -> Seen {
    let mut world = World::new(fleet, plan);
    world.run(lasts);
    world.seen
}

impl World {
    pub fn new(fleet: Fleet, plan: Plan) -> World {
        let mut rng = WyRand::new_seed(fleet.seed);
        let gateways = (0..fleet.gateways).map(|_| {
            let drift = fleet.drift as i64;
            Gateway {
                node: None,
                incarnation: 0,
                paused: Duration::ZERO,
                inbox: VecDeque::new(),
                rate: 1000 + [-drift, 0, drift][rng.generate_range(0..3usize)],
                moved: rng.generate_range(0..100_000u64) as i64 * 1_000_000,
                wakes: None,
                demand: fleet.demand,
                lies: false,
                running: Vec::new(),
                record: None,
                run: None,
                unheard: Duration::ZERO,
                counted: 0,
            }
        });
        let gateways: Vec<Gateway> = gateways.collect();
        let mut world = World {
            key: Key::derive(b"a key of sixteen bytes").expect("long enough"),
            rng,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            troubles: Vec::new(),
            sum: 0,
            kept: VecDeque::new(),
            seen: Seen { by_gateway: vec![0; fleet.gateways], ..Seen::default() },
            gateways,
            plan,
            fleet,
        };
        for at in 0..world.plan.len() {
            world.queue(world.plan[at].0, Event::Planned(at));
        }
        // A fleet is not started in one moment.
        for at in 0..world.gateways.len() {
            world.start(at);
        }
        world.queue(50 * MS, Event::Sample);
        world
    }

    pub fn seen(&self) -> &Seen {
        &self.seen
    }

    /// What a gateway has as its floor now.
    pub fn floor(&mut self, at: usize) -> u64 {
        let local = self.local(at);
        self.gateways[at].node.as_mut().map_or(0, |node| node.figures(local).iter().map(|f| f.floor).sum())
    }

    fn queue(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Queued { at: at.max(self.now), order: self.order, event }));
    }

    /// The time that a gateway's clock shows.
    fn local(&self, at: usize) -> Duration {
        let gateway = &self.gateways[at];
        let nanos = self.now.as_nanos() as i128 * i128::from(gateway.rate) / 1000 + i128::from(gateway.moved);
        Duration::from_nanos(nanos.max(0) as u64 + 1_000_000_000_000)
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > until || self.seen.broken.is_some() {
                self.now = until;
                self.queue.push(Reverse(next));
                return;
            }
            self.now = next.at;
            self.happen(next.event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake(at, incarnation) => {
                let gateway = &mut self.gateways[at];
                if gateway.incarnation != incarnation || gateway.node.is_none() {
                    return;
                }
                gateway.wakes = None;
                if gateway.paused > self.now {
                    let wakes = gateway.paused;
                    gateway.wakes = Some(wakes);
                    return self.queue(wakes, Event::Wake(at, incarnation));
                }
                // What lay in its buffers comes first or last, as it happens.
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
                if gateway.paused > self.now {
                    gateway.inbox.push_back((*envelope, from));
                    return;
                }
                self.step(at, |node, now| node.handle_message(now, *envelope, from));
            }
            Event::Statement(at, incarnation) => self.statement(at, incarnation),
            Event::Ended(at) => self.end(at),
            Event::Heard(at, incarnation) => {
                if self.gateways[at].incarnation == incarnation {
                    self.step(at, |node, now| {
                        node.engines_confirmed(now);
                        Vec::new()
                    });
                }
            }
            Event::Settled(at, incarnation, id, name) => self.settled(at, incarnation, id, name),
            Event::Planned(at) => self.planned(self.plan[at].1.clone()),
            Event::Heal(at) => self.troubles[at] = None,
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
        (gateway.paused, gateway.wakes, gateway.lies) = (Duration::ZERO, None, false);
        gateway.inbox.clear();
        let incarnation = Incarnation(((at as u64) << 32) + gateway.incarnation);
        let start = Start {
            member_id: at as u32,
            voter: u8::try_from(at).ok().filter(|seat| *seat < self.fleet.seats),
            incarnation,
            config: self.fleet.terms(),
            budgets: vec![self.fleet.budget()],
            table_digest: 1,
            seed,
        };
        let now = self.local(at);
        let record = self.gateways[at].record.take();
        self.gateways[at].run = Some(ProcessRun::start(start.incarnation, 1, 0, record.as_ref()));
        let predecessor = record.map_or(Predecessor::Unknown, Predecessor::Recorded);
        let (node, inherited) = Node::start_after(start, predecessor, now);
        self.gateways[at].node = Some(node);
        let incarnation = self.gateways[at].incarnation;
        self.ask_engines(at, inherited);
        let soon = self.now + Duration::from_micros(self.rng.generate_range(0..20_000));
        self.gateways[at].wakes = Some(soon);
        self.queue(soon, Event::Wake(at, incarnation));
        self.queue(soon, Event::Statement(at, incarnation));
        self.count(at);
    }

    /// A process that starts asks engines for each execution that it knows of, and whether they have read what it does not know of.
    fn ask_engines(&mut self, at: usize, inherited: Vec<(Outstanding, OrphanId)>) {
        let (now, incarnation) = (self.now, self.gateways[at].incarnation);
        for (outstanding, name) in inherited {
            let id: u64 = outstanding.id.parse().expect("a number");
            let read = self.gateways[at].running.iter().find(|x| x.id == id).map_or(now, |x| x.read);
            self.queue(read.max(now) + ANSWERS, Event::Settled(at, incarnation, id, name));
        }
        let heard = self.gateways[at].unheard.max(now) + READS_WITHIN;
        self.queue(heard, Event::Heard(at, incarnation));
    }

    /// The engine has it, and ends it as it is told to.
    fn settled(&mut self, at: usize, incarnation: u64, id: u64, name: OrphanId) {
        if self.gateways[at].incarnation != incarnation || self.gateways[at].node.is_none() {
            return;
        }
        if self.gateways[at].paused > self.now {
            let paused = self.gateways[at].paused;
            return self.queue(paused, Event::Settled(at, incarnation, id, name));
        }
        self.gateways[at].running.retain(|x| x.id != id);
        self.step(at, |node, now| {
            node.settle(now, name, Remains::Nothing);
            Vec::new()
        });
    }

    fn kill(&mut self, at: usize) {
        let keep = self.fleet.terms().orphan_retention;
        let now = self.now;
        let gateway = &mut self.gateways[at];
        if let Some(node) = gateway.node.take() {
            let run = gateway.run.take().map(|run| ProcessRun { complete: node.counts_everything(), ..run });
            let left = |x: &Execution| Outstanding {
                id: x.id.to_string(),
                execution: 0,
                engine: address(at),
                demand: x.took.clone(),
            };
            let outstanding = gateway.running.iter().map(left).collect();
            gateway.record = run.map(|run| Record { run, outstanding });
            // Nobody asks any more: engines go on for as long as they do.
            gateway.running.iter_mut().for_each(|x| x.ends = x.ends.min(x.read.max(now) + keep));
            gateway.inbox.clear();
        }
        self.count(at);
    }

    /// Killed, and what it has out is read so much later: it may be in use all that time.
    fn kill_unread(&mut self, at: usize, lasts: Duration) {
        let (read, keep) = (self.now + lasts, self.fleet.terms().orphan_retention);
        if self.gateways[at].node.is_some() {
            self.gateways[at].unheard = read;
            for x in &mut self.gateways[at].running {
                (x.read, x.ends) = (read, read + keep);
            }
        }
        self.kill(at);
    }

    fn step(&mut self, at: usize, step: impl FnOnce(&mut Node, Duration) -> Vec<Effect>) {
        let now = self.local(at);
        let Some(node) = &mut self.gateways[at].node else { return };
        let effects = step(node, now);
        let due = node.due(now);
        for effect in effects {
            if let Effect::Send { to, envelope } = effect {
                self.say(at, to, envelope);
            }
        }
        self.count(at);
        self.wake_by(at, due);
    }

    /// Asks to be called once its own clock shows that time.
    fn wake_by(&mut self, at: usize, due: Duration) {
        let local = self.local(at);
        let wait = due.saturating_sub(local).min(Duration::from_secs(3600));
        let wakes = self.now + wait * 1000 / self.gateways[at].rate as u32 + Duration::from_micros(1);
        if self.gateways[at].wakes.is_none_or(|other| wakes < other || other <= self.now) {
            self.gateways[at].wakes = Some(wakes);
            let incarnation = self.gateways[at].incarnation;
            self.queue(wakes, Event::Wake(at, incarnation));
        }
    }

    fn say(&mut self, from: usize, to: Recipient, mut envelope: Envelope) {
        if let (Message::GrantRequest(ask), true) = (&mut envelope.message, self.gateways[from].lies) {
            ask.needs.iter_mut().for_each(|need| *need = u64::MAX);
        }
        self.seen.messages += 1;
        let Some(bytes) = envelope.encode(&self.key) else { return };
        self.seen.bytes += bytes.len() as u64;
        let to = match to {
            Recipient::Voter(seat) => usize::from(seat),
            Recipient::Address(address) => usize::from(address.port()) - 1,
        };
        if self.kept.len() < KEPT {
            self.kept.push_back((to, envelope.clone(), address(from)));
        } else if self.rng.generate_range(0..8) == 0 {
            let at = self.rng.generate_range(0..KEPT);
            self.kept[at] = (to, envelope.clone(), address(from));
        }
        self.carry(from, to, envelope);
    }

    fn carry(&mut self, from: usize, to: usize, envelope: Envelope) {
        let mut delay = Duration::from_micros(self.rng.generate_range(50..1500));
        let mut copies = 1;
        for trouble in self.troubles.iter().flatten() {
            match trouble {
                Trouble::Cut(a, b) if (*a, *b) == (from, to) => return,
                Trouble::Split(at) if (from < *at) != (to < *at) => return,
                Trouble::Lossy(lost, doubled, late) => {
                    if self.rng.generate_range(0..100) < *lost {
                        return;
                    }
                    copies += usize::from(self.rng.generate_range(0..100) < *doubled);
                    if self.rng.generate_range(0..100) < *late {
                        delay += Duration::from_millis(self.rng.generate_range(0..5000));
                    }
                }
                Trouble::Late(who, _) if *who != from && *who != to => {}
                Trouble::Slow(by) | Trouble::Late(_, by) => {
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
        if demand == 0 || self.gateways[at].paused > self.now {
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
        let now = self.local(at);
        let Some(node) = &mut self.gateways[at].node else { return };
        let mut room = node.headroom(now);
        if !room.permits(now, &demand) {
            self.seen.refused += 1;
            node.statement_refused(now, &demand);
            let due = node.due(now);
            return self.wake_by(at, due);
        }
        let took = room.charge(&demand);
        node.execution_started(now, &took);
        self.seen.sent += 1;
        self.seen.by_gateway[at] += 1;
        let most = self.fleet.longest.as_micros() as u64;
        let lasts = Duration::from_micros(self.rng.generate_range(most / 10..most));
        // Now and then an ending is not heard of, and the engine goes on for a while.
        let unheard = self.rng.generate_range(0..50) == 0;
        let ends = self.now + lasts;
        let (id, read) = (self.seen.sent, self.now);
        self.gateways[at].running.push(Execution { id, read, ends, took, incarnation, unheard, over: false });
        self.queue(ends, Event::Ended(at));
        self.count(at);
    }

    fn end(&mut self, at: usize) {
        let (now, local) = (self.now, self.local(at));
        let keep = self.fleet.terms().orphan_retention;
        let gateway = &mut self.gateways[at];
        let paused = gateway.paused;
        let mut later = Vec::new();
        let mut unheard = Vec::new();
        let mut kept = Vec::new();
        for x in std::mem::take(&mut gateway.running) {
            let ours = gateway.node.is_some() && x.incarnation == gateway.incarnation;
            if x.ends > now {
                kept.push(x);
            } else if ours && paused > now {
                // Nobody hears of it yet; at its engine it is over.
                later.push(Execution { ends: paused, over: true, ..x });
            } else if ours && x.unheard {
                if let Some(node) = &mut gateway.node {
                    node.execution_ended(local, x.took.clone(), Remains::Orphaned);
                }
                unheard.push(Execution { ends: now + keep, incarnation: 0, unheard: false, ..x });
            } else if ours {
                if let Some(node) = &mut gateway.node {
                    node.execution_ended(local, x.took, Remains::Nothing);
                }
            }
        }
        let ends: Vec<Duration> = later.iter().chain(&unheard).map(|x| x.ends).collect();
        kept.extend(later);
        kept.extend(unheard);
        gateway.running = kept;
        ends.into_iter().for_each(|ends| self.queue(ends, Event::Ended(at)));
        self.count(at);
    }

    fn planned(&mut self, fault: Fault) {
        let trouble = |world: &mut World, trouble, lasts| {
            world.troubles.push(Some(trouble));
            let at = world.troubles.len() - 1;
            world.queue(world.now + lasts, Event::Heal(at));
        };
        match fault {
            Fault::Kill(at) => self.kill(at),
            Fault::KillUnread(at, lasts) => self.kill_unread(at, lasts),
            Fault::LoseRecord(at) => self.gateways[at].record = None,
            Fault::Start(at) => self.start(at),
            Fault::Pause(at, lasts) => {
                let gateway = &mut self.gateways[at];
                gateway.paused = gateway.paused.max(self.now + lasts);
            }
            Fault::Leave(at) => {
                if self.gateways[at].node.is_some() && self.gateways[at].paused <= self.now {
                    self.step(at, Node::leave);
                    self.kill(at);
                }
            }
            Fault::Cut { from, to, lasts } => trouble(self, Trouble::Cut(from, to), lasts),
            Fault::Split { at, lasts } => trouble(self, Trouble::Split(at), lasts),
            Fault::Lossy { lost, doubled, late, lasts } => {
                trouble(self, Trouble::Lossy(lost, doubled, late), lasts);
            }
            Fault::Slow { by, lasts } => trouble(self, Trouble::Slow(by), lasts),
            Fault::Late { who, by, lasts } => trouble(self, Trouble::Late(who, by), lasts),
            Fault::Replay(count) => {
                for (to, envelope, from) in self.kept.iter().take(count).cloned().collect::<Vec<_>>() {
                    let from = usize::from(from.port()) - 1;
                    self.carry(from, to, envelope);
                }
            }
            Fault::JumpOn(at, by) => self.gateways[at].moved += by.as_nanos() as i64,
            // While it stands still a clock that goes back by less than that can't be told from one that is slow.
            Fault::JumpBack(at, by) if self.gateways[at].paused <= self.now => {
                self.gateways[at].moved -= by.as_nanos() as i64;
            }
            Fault::JumpBack(..) => {}
            Fault::Demand(at, demand) => self.gateways[at].demand = demand,
            Fault::Lies(at) => self.gateways[at].lies = true,
            Fault::KillAll { back } => (0..self.gateways.len()).for_each(|at| self.back(at, back)),
            Fault::KillMost { back } => {
                (0..self.gateways.len()).filter(|at| at % 10 < 7).for_each(|at| self.back(at, back));
            }
        }
    }

    fn back(&mut self, at: usize, back: Duration) {
        self.kill(at);
        self.plan.push((self.now + back, Fault::Start(at)));
        self.queue(self.now + back, Event::Planned(self.plan.len() - 1));
    }

    /// What a gateway counts for: what it may use, or what truly runs for it where that is more; and what truly runs for those
    /// that had its place before.
    fn counts(&mut self, at: usize) -> u64 {
        let (now, local) = (self.now, self.local(at));
        let gateway = &mut self.gateways[at];
        let ours = gateway.incarnation;
        let runs = |own: bool| {
            let running = gateway.running.iter().filter(|x| x.ends > now && !x.over);
            running.filter(|x| (x.incarnation == ours) == own).count() as u64 * UNIT
        };
        let (own, others) = (runs(true), runs(false));
        match &mut gateway.node {
            Some(node) => {
                let figures = &node.figures(local)[0];
                // What runs on unheard of its own is among what it counts as in use itself; the rest ran before it.
                let unheard = figures.in_use.saturating_sub(own).min(others);
                (figures.floor + figures.grant).max(own + unheard) + (others - unheard)
            }
            None => own + others,
        }
    }

    /// B1 and B2 in one: after whatever happened at a gateway.
    fn count(&mut self, at: usize) {
        let counts = self.counts(at);
        self.sum = self.sum + counts - std::mem::replace(&mut self.gateways[at].counted, counts);
        if self.sum <= self.fleet.whole || self.seen.broken.is_some() {
            return;
        }
        // Others' leave may have ended since they were looked at.
        for other in 0..self.gateways.len() {
            let counts = self.counts(other);
            self.sum = self.sum + counts - std::mem::replace(&mut self.gateways[other].counted, counts);
        }
        if self.sum > self.fleet.whole {
            let each: Vec<u64> = self.gateways.iter().map(|gateway| gateway.counted).collect();
            let what = format!("{} of {}: {each:?}, seen at gateway {at}", self.sum, self.fleet.whole);
            self.seen.broken = Some((self.now, what));
        }
    }

    fn sample(&mut self) {
        let now = self.now;
        let running = self.gateways.iter().flat_map(|g| &g.running);
        let in_use = running.filter(|x| x.ends > now && !x.over).count() as u64 * UNIT;
        self.seen.in_use.push((now, in_use));
        let (mut leave, mut kept) = (0, false);
        for at in 0..self.gateways.len() {
            let local = self.local(at);
            if let Some(node) = &mut self.gateways[at].node {
                leave += node.figures(local).iter().map(|f| f.floor + f.grant).sum::<u64>();
                kept |= node.is_leader(local);
            }
        }
        self.seen.leave.push((now, leave));
        self.seen.unkept += u64::from(!kept);
        self.queue(now + 50 * MS, Event::Sample);
    }
}
