//! One gateway's decisions, in virtual time: the real reducer with its module, told that it is one of N gateways
//! before E engines.
//!
//! The other gateways are not there: what they send shows in what engines report of themselves, and nothing is heard
//! of them. So what an engine can do is not modelled either; each execution takes a drawn time. Counts are the same
//! on every machine for one seed, those of allocations but for the few that hash maps make as they grow; processor
//! time is this thread's, and is to be read as a ratio within one run.

use super::report::Table;
use super::room;
use crate::allocations::{self, Allocated};
use bramblewharf::interface::{
    Customer, Effect as Repeats, EngineEntry, EngineState, Event, GossipMessage, Id, Kind, ListKind,
    LoadReport, NewStatement, Observation, Outcome, ProcessStart, Site, SlowStart, WorkloadConfig,
};
use bramblewharf_gateway::reducer::{
    Answer, CancelOutcome, Destination, Effect, EngineRequest, ExecutionResult, Input, ListedEngine, Reducer,
    StatementText, SubmittedStatement,
};
use bramblewharf_turns::EngineHash;
use bytes::Bytes;
use nanorand::{Rng, WyRand};
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Statements a second that reach an engine at the operators' size, by all gateways.
const A_SECOND_AN_ENGINE: f64 = 667.0;
/// No gateway is offered more than this: few gateways before many engines would need hours of virtual load.
const MOST_A_SECOND: f64 = 5_000.0;
/// Engines of a zone at the operators' size, zones there, and the least.
const ENGINES_A_ZONE: usize = 174;
const ZONES: (usize, usize) = (3, 19);
const MOST_SIZES: usize = 16;
const MOST_GATEWAYS: usize = 10_000;
const MOST_ENGINES: usize = 20_000;
const MOST_STATEMENTS: usize = 200_000;
/// What an engine and a statement held take at most, several times what was measured; and the program itself.
const ENGINE_BYTES: u64 = 8_000;
const STATEMENT_BYTES: u64 = 8_000;
const OWN_BYTES: u64 = 64_000_000;

const MS: Duration = Duration::from_millis(1);
const START: Duration = Duration::from_secs(1_000);
/// How long it rests, and how many statements go before those that are counted.
const REST: Duration = Duration::from_secs(5);
const WARM_UP: usize = 300;
/// Statements offered at once to see what one that is held takes.
const HELD: usize = 1_000;
/// Words of loads heard of.
const WORDS: u32 = 400;
/// Times that a list is told, the median counts.
const TELLINGS: usize = 5;
/// Until an engine's refusal is here, and until it knows of a stop.
const ON_THE_WAY: Duration = Duration::from_millis(1);
/// Of an event: its time before, how long it lasts, how long it is watched after, and the first of its messages.
const BEFORE: Duration = Duration::from_secs(2);
const LASTS: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(8);
const FIRST: Duration = Duration::from_secs(2);

#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Gateways of the fleet, one size after another.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 100, 300, 1000, 1900])]
    pub gateways: Vec<usize>,
    /// Engines in the list, one size after another, each with each number of gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [36, 330, 3300])]
    pub engines: Vec<usize>,
    /// Statements counted at each size.
    #[arg(long, default_value_t = 4000)]
    pub statements: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// As JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub gateways: usize,
    pub engines: usize,
}

impl Size {
    fn zones(self) -> usize {
        ((self.engines + ENGINES_A_ZONE / 2) / ENGINES_A_ZONE).clamp(ZONES.0, ZONES.1).min(self.engines)
    }

    /// Statements a second at one gateway, so that each engine gets what it gets at the operators' size; and what is
    /// offered.
    fn rates(self) -> (f64, f64) {
        let wanted = A_SECOND_AN_ENGINE * self.engines as f64 / self.gateways as f64;
        (wanted, wanted.min(MOST_A_SECOND))
    }
}

/// The sizes asked for, or why this machine or this program is not for them. Nothing has been started by then.
pub fn sizes(args: &Args, memory: (u64, u64)) -> Result<Vec<Size>, String> {
    for (name, sizes) in [("gateways", &args.gateways), ("engines", &args.engines)] {
        if !(1..=MOST_SIZES).contains(&sizes.len()) {
            return Err(format!("--{name}: {} sizes are not from 1 to {MOST_SIZES}", sizes.len()));
        }
    }
    args.gateways.iter().try_for_each(|size| room::sized("gateways", *size, 2, MOST_GATEWAYS))?;
    args.engines.iter().try_for_each(|size| room::sized("engines", *size, 2, MOST_ENGINES))?;
    room::sized("statements", args.statements, 1, MOST_STATEMENTS)?;
    let engines = args.engines.iter().max().copied().unwrap_or(0) as u64;
    // Two gateways at a time at the most, one of them with as many statements held as there may be.
    let held = HELD.max(args.statements) as u64;
    room::check(memory, OWN_BYTES + 2 * engines * ENGINE_BYTES + held * STATEMENT_BYTES, 0)?;
    let with =
        |engines: usize| args.gateways.iter().map(move |gateways| Size { gateways: *gateways, engines });
    Ok(args.engines.iter().flat_map(|engines| with(*engines)).collect())
}

pub fn run(args: &Args) -> Result<Vec<Table>, String> {
    let sizes = sizes(args, room::memory()?)?;
    let mut counted = Vec::new();
    for size in &sizes {
        eprintln!("decide: {} gateways, {} engines", size.gateways, size.engines);
        counted.push(measure(*size, args.statements, args.seed));
    }
    let by_size = |size: &&Size| (size.engines, size.gateways);
    let events = sizes.iter().max_by_key(by_size).map(|size| events(*size, args.seed));
    Ok([by_sizes(args, &counted)].into_iter().chain(events).collect())
}

/// What one size gave.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    pub size: Option<Size>,
    pub statements: u64,
    pub completed: u64,
    pub executions: u64,
    /// Engines looked at: a statement, and a second at rest.
    pub looked: f64,
    pub looked_at_rest: f64,
    /// Messages to other gateways a statement, and those of them that tell of loads.
    pub messages: f64,
    pub of_loads: f64,
    /// Engines that executions went to, and the most executions out at once at one of them.
    pub engines_used: usize,
    pub most_at_once: usize,
    /// Beyond what the beats cost at rest.
    allocations: Option<(f64, f64)>,
    took: Duration,
    took_at_rest: Duration,
    /// What another gateway's word of a load costs.
    heard: Duration,
    changed: Telling,
    again: Telling,
    kept_an_engine: Option<f64>,
    held: usize,
    kept_a_statement: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Telling {
    took: Duration,
    allocations: Option<u64>,
}

fn by_sizes(args: &Args, counted: &[Counted]) -> Table {
    let title = format!(
        "One gateway's decisions in virtual time, seed {}: {A_SECOND_AN_ENGINE} statements a second an engine by all \
         gateways, at most {MOST_A_SECOND} offered to this one; times are this thread's processor time, and as ratios to \
         the first row's",
        args.seed
    );
    let columns = [
        "gateways",
        "engines",
        "zones",
        "wanted/s",
        "offered/s",
        "statements",
        "completed",
        "looked a statement",
        "looked/s at rest",
        "allocations a statement",
        "bytes a statement",
        "messages a statement",
        "of loads",
        "engines used",
        "most at once",
        "times the first",
        "us a statement",
        "at rest, times",
        "at rest, % of a core",
        "a load heard of, times",
        "a load heard of, us",
        "list changed, us",
        "list changed, allocations",
        "list again, us",
        "list again, allocations",
        "bytes kept an engine",
        "held",
        "bytes kept a statement",
    ];
    let mut table = Table::new(&title, &columns);
    let micros = |took: Duration| took.as_secs_f64() * 1e6;
    let times = |took: Duration, first: Duration| took.as_secs_f64() / first.as_secs_f64().max(1e-9);
    let Some(first) = counted.first() else { return table };
    for row in counted {
        let Some(size) = row.size else { continue };
        let (wanted, offered) = size.rates();
        table.add(vec![
            json!(size.gateways),
            json!(size.engines),
            json!(size.zones()),
            json!(wanted),
            json!(offered),
            json!(row.statements),
            json!(row.completed),
            json!(row.looked),
            json!(row.looked_at_rest),
            json!(row.allocations.map(|(calls, _)| calls)),
            json!(row.allocations.map(|(_, bytes)| bytes)),
            json!(row.messages),
            json!(row.of_loads),
            json!(row.engines_used),
            json!(row.most_at_once),
            json!(times(row.took, first.took)),
            json!(micros(row.took)),
            json!(times(row.took_at_rest, first.took_at_rest)),
            json!(100.0 * row.took_at_rest.as_secs_f64()),
            json!(times(row.heard, first.heard)),
            json!(micros(row.heard)),
            json!(micros(row.changed.took)),
            json!(row.changed.allocations),
            json!(micros(row.again.took)),
            json!(row.again.allocations),
            json!(row.kept_an_engine),
            json!(row.held),
            json!(row.kept_a_statement),
        ]);
    }
    table
}

/// One size, from a gateway that has just started to one that is full.
pub fn measure(size: Size, statements: usize, seed: u64) -> Counted {
    let counts = allocations::is_counting();
    let (mut world, mut row) = serve(size, statements, seed);
    row.heard = world.hear_of_loads();
    (row.changed, row.again) = world.tell_lists(counts);
    (row.kept_an_engine, row.held, row.kept_a_statement) = kept(size, seed, counts);
    row
}

/// Of one size just what a gateway does at rest and under load.
pub fn count(size: Size, statements: usize, seed: u64) -> Counted {
    serve(size, statements, seed).1
}

fn serve(size: Size, statements: usize, seed: u64) -> (World, Counted) {
    let counts = allocations::is_counting();
    let mut world = World::new(size, seed);
    let (looked, spent) = (world.reducer.engines_examined(), world.spent);
    world.run_for(REST, false);
    let at_rest = world.spent.since(spent).a_second(REST);
    let looked_at_rest = (world.reducer.engines_examined() - looked) as f64 / REST.as_secs_f64();
    world.run_until(|world| world.taken >= WARM_UP as u64);
    world.begin();
    let (looked, spent, from) = (world.reducer.engines_examined(), world.spent, world.now);
    world.run_until(|world| world.taken >= statements as u64);
    let (lasted, beyond) = ((world.now - from).as_secs_f64(), world.spent.since(spent));
    let each = |all: f64, at_rest: f64| ((all - at_rest * lasted) / world.taken as f64).max(0.0);
    let looked = each((world.reducer.engines_examined() - looked) as f64, looked_at_rest);
    let allocations = counts.then(|| {
        let calls = each(beyond.allocated.calls as f64, at_rest.calls);
        (calls, each(beyond.allocated.bytes as f64, at_rest.bytes))
    });
    let took = each(beyond.took.as_secs_f64(), at_rest.took.as_secs_f64());
    let a_statement = |count: u64| count as f64 / world.taken as f64;
    let told = world.told;
    let mut row = Counted {
        size: Some(size),
        statements: world.taken,
        executions: world.executions,
        looked,
        looked_at_rest,
        messages: a_statement(told.of_loads + told.ill + told.well),
        of_loads: a_statement(told.of_loads),
        engines_used: world.engines.iter().filter(|engine| engine.used).count(),
        most_at_once: world.engines.iter().map(|engine| engine.most).max().unwrap_or(0),
        allocations,
        took: Duration::from_secs_f64(took),
        took_at_rest: at_rest.took,
        ..Counted::default()
    };
    // Those that are out yet come back.
    world.run_for(Duration::from_secs(1), false);
    row.completed = world.completed;
    (world, row)
}

/// Bytes that stay allocated for an engine of the list, and for each of the statements that a gateway then holds.
fn kept(size: Size, seed: u64, counts: bool) -> (Option<f64>, usize, Option<f64>) {
    let mut rng = WyRand::new_seed(seed);
    let mut reducer = Reducer::start(site(size), seed, HELD, START).0;
    let (_, list) = allocations::count_during(|| {
        let (_, list) = engines(size, &mut rng);
        reducer.step(START, Input::EngineList(ListKind::Cached, list));
    });
    let (_, statements) = allocations::count_during(|| {
        (0..HELD as u64).for_each(|number| drop(reducer.step(START + MS, statement(number, &mut rng).0)));
    });
    let of = |allocated: Allocated, many: usize| {
        counts.then(|| allocated.retained.max(0) as f64 / many.max(1) as f64)
    };
    (of(list, size.engines), reducer.held(), of(statements, reducer.held()))
}

/// What the reducer's own steps have cost.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    took: Duration,
    allocated: Allocated,
}

struct ASecond {
    took: Duration,
    calls: f64,
    bytes: f64,
}

impl Spent {
    fn since(self, before: Spent) -> Spent {
        let allocated = Allocated {
            calls: self.allocated.calls - before.allocated.calls,
            bytes: self.allocated.bytes - before.allocated.bytes,
            retained: self.allocated.retained - before.allocated.retained,
        };
        Spent { took: self.took - before.took, allocated }
    }

    fn a_second(self, lasted: Duration) -> ASecond {
        let seconds = lasted.as_secs_f64();
        ASecond {
            took: self.took.div_f64(seconds),
            calls: self.allocated.calls as f64 / seconds,
            bytes: self.allocated.bytes as f64 / seconds,
        }
    }
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// What a reading of the clock adds to whatever is between two of them.
fn clock_cost() -> Duration {
    let mut costs: Vec<Duration> =
        (0..201).map(|_| (thread_time(), thread_time())).map(|(a, b)| b - a).collect();
    costs.sort_unstable();
    costs[costs.len() / 2]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Well,
    /// Takes executions and answers none.
    Silent,
    /// Refuses connections.
    Refuses,
}

struct Engine {
    id: Id,
    zone: usize,
    cores: f64,
    behaviour: Behaviour,
    out: usize,
    most: usize,
    used: bool,
    /// When an execution first completed there since the count began.
    completed_first: Option<Duration>,
}

/// Messages to other gateways: one to all counts as one to each.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    ill: u64,
    well: u64,
    of_loads: u64,
}

enum Coming {
    Ends(Id, usize, Outcome, Duration),
    Stopped(Id, usize),
}

/// An execution that is out, and the engine where.
type Outs = BTreeMap<(Id, usize), usize>;

struct World {
    size: Size,
    reducer: Reducer,
    now: Duration,
    rng: WyRand,
    engines: Vec<Engine>,
    list: Vec<ListedEngine>,
    by_id: HashMap<Id, usize>,
    /// What is on its way to the gateway.
    coming: BTreeMap<(Duration, u64), Coming>,
    comings: u64,
    next: Duration,
    numbers: u64,
    /// Of statements, those that are counted: from the one after this number, until the count stands still.
    counted_after: u64,
    is_counting: bool,
    works: HashMap<Id, Duration>,
    out: Outs,
    clock_cost: Duration,
    spent: Spent,
    taken: u64,
    executions: u64,
    completed: u64,
    /// When and to which engine.
    sends: Vec<(Duration, usize)>,
    /// Executions that ended without an answer or a refusal of their engine.
    lost: u64,
    refused: u64,
    told: Told,
}

impl World {
    fn new(size: Size, seed: u64) -> World {
        let mut rng = WyRand::new_seed(seed);
        let (engines, list) = engines(size, &mut rng);
        let (reducer, _) = Reducer::start(site(size), seed, MOST_STATEMENTS, START);
        let by_id = engines.iter().enumerate().map(|(at, engine)| (engine.id.clone(), at)).collect();
        let mut world = World {
            size,
            reducer,
            now: START,
            rng,
            engines,
            list,
            by_id,
            coming: BTreeMap::new(),
            comings: 0,
            next: START,
            numbers: 0,
            counted_after: 0,
            is_counting: true,
            works: HashMap::new(),
            out: Outs::new(),
            clock_cost: clock_cost(),
            spent: Spent::default(),
            taken: 0,
            executions: 0,
            completed: 0,
            sends: Vec::new(),
            lost: 0,
            refused: 0,
            told: Told::default(),
        };
        let list = world.list.clone();
        world.step(Input::EngineList(ListKind::Cached, list));
        world
    }

    /// Forgets what was counted; what is out stays out.
    fn begin(&mut self) {
        (self.counted_after, self.is_counting) = (self.numbers, true);
        self.sends.clear();
        (self.taken, self.executions, self.completed) = (0, 0, 0);
        (self.lost, self.refused, self.told) = (0, 0, Told::default());
        for engine in &mut self.engines {
            (engine.used, engine.most, engine.completed_first) = (false, engine.out, None);
        }
    }

    fn step(&mut self, input: Input) {
        let before = thread_time();
        let reducer = &mut self.reducer;
        let (effects, allocated) = allocations::count_during(|| reducer.step(self.now, input));
        self.spent.took += (thread_time() - before).saturating_sub(self.clock_cost);
        self.spent.allocated.calls += allocated.calls;
        self.spent.allocated.bytes += allocated.bytes;
        self.spent.allocated.retained += allocated.retained;
        effects.into_iter().for_each(|effect| self.carry_out(effect));
    }

    fn comes(&mut self, after: Duration, coming: Coming) {
        self.comings += 1;
        self.coming.insert((self.now + after, self.comings), coming);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Start { id, execution, destination, .. } => self.start(id, execution, &destination),
            Effect::Stop { id, execution, .. } => {
                if let Some(at) = self.out.remove(&(id.clone(), execution)) {
                    self.engines[at].out -= 1;
                    self.lost += 1;
                }
                self.comes(ON_THE_WAY, Coming::Stopped(id, execution));
            }
            Effect::Answer { answer, caller } => {
                let is_counted = (self.counted_after + 1..=self.counted_after + self.taken).contains(&caller);
                self.completed += u64::from(is_counted && matches!(answer, Answer::Completed(_)));
                self.works.remove(&name(caller));
            }
            Effect::Gossip { to, message } => self.tell(to, &message),
            Effect::StorePolicy { .. }
            | Effect::SendToFleet { .. }
            | Effect::RecordOutstanding(_)
            | Effect::ProbeEngine { .. } => {}
        }
    }

    fn start(&mut self, id: Id, execution: usize, destination: &Destination) {
        let engine = destination.engine.as_ref();
        let Some(at) = engine.and_then(|engine| self.by_id.get(engine).copied()) else { return };
        let usual = self.works.get(&id).copied().unwrap_or(MS);
        // Widely spread, but never so short as to be no execution.
        let elapsed = usual.mul_f64(0.3 + exponential(&mut self.rng) * 0.7);
        let to = &mut self.engines[at];
        (to.used, to.out) = (true, to.out + 1);
        to.most = to.most.max(to.out);
        self.executions += 1;
        self.sends.push((self.now, at));
        let behaviour = to.behaviour;
        self.out.insert((id.clone(), execution), at);
        match behaviour {
            Behaviour::Well => self.comes(elapsed, Coming::Ends(id, execution, Outcome::Completed, elapsed)),
            Behaviour::Refuses => {
                self.comes(ON_THE_WAY, Coming::Ends(id, execution, Outcome::Refused, Duration::ZERO))
            }
            Behaviour::Silent => {}
        }
    }

    fn tell(&mut self, to: Option<u32>, said: &GossipMessage) {
        let many = if to.is_some() { 1 } else { self.size.gateways as u64 - 1 };
        for word in &said.observations {
            match word {
                Observation::Unhealthy { .. } => self.told.ill += many,
                Observation::Healthy { .. } => self.told.well += many,
                Observation::Loads { .. } => self.told.of_loads += many,
            }
        }
    }

    fn ends(&mut self, id: Id, execution: usize, outcome: Outcome, took: Duration) {
        let Some(at) = self.out.remove(&(id.clone(), execution)) else { return };
        let engine = &mut self.engines[at];
        engine.out -= 1;
        let mut result = ExecutionResult::from(outcome);
        if outcome == Outcome::Completed {
            engine.completed_first = engine.completed_first.or(Some(self.now));
            // As busy as the operators' engines, by all gateways.
            let part = |rng: &mut WyRand| rng.generate::<f64>();
            let utilisation = Some(0.5 + 0.25 * part(&mut self.rng));
            let active_statements = Some((engine.cores * (0.5 + 0.4 * part(&mut self.rng))).round());
            result.report = Some(LoadReport { utilisation, active_statements, ..LoadReport::default() });
            result.consumed = Some((took, 8.0));
            result.pages = vec![Bytes::from_static(b"1\n")];
        } else if outcome == Outcome::Refused {
            self.refused += 1;
        } else {
            self.lost += 1;
        }
        self.step(Input::ExecutionEnded { id, execution, result });
    }

    /// One thing happens, the earliest; not beyond `until`.
    fn go_on(&mut self, until: Duration, offered: bool) -> bool {
        let first = self.coming.first_key_value().map(|(at, _)| at.0);
        let next = offered.then_some(self.next);
        let due = self.reducer.next_wake();
        let at = first.into_iter().chain(next).chain(due).min();
        let Some(at) = at.filter(|at| *at <= until) else {
            self.now = until;
            return false;
        };
        self.now = self.now.max(at);
        if due == Some(at) {
            self.step(Input::Wake);
        } else if let Some(entry) = self.coming.first_entry().filter(|entry| entry.key().0 == at) {
            match entry.remove() {
                Coming::Ends(id, execution, outcome, took) => self.ends(id, execution, outcome, took),
                Coming::Stopped(id, execution) => {
                    self.step(Input::CancelFinished { id, execution, outcome: CancelOutcome::Over })
                }
            }
        } else {
            let pause = exponential(&mut self.rng) / self.size.rates().1;
            self.next = self.now + Duration::from_secs_f64(pause);
            self.numbers += 1;
            self.taken += u64::from(self.is_counting);
            let (input, work) = statement(self.numbers, &mut self.rng);
            self.works.insert(name(self.numbers), work);
            self.step(input);
        }
        true
    }

    fn run_for(&mut self, lasts: Duration, offered: bool) {
        let until = self.now + lasts;
        self.next = self.next.max(self.now);
        while self.go_on(until, offered) {}
    }

    fn run_until(&mut self, is_done: impl Fn(&World) -> bool) {
        self.next = self.next.max(self.now);
        while !is_done(self) && self.go_on(Duration::MAX, true) {}
    }

    /// Words of loads from other gateways, as many come to each as it says; none of them is an engine looked at by count.
    fn hear_of_loads(&mut self) -> Duration {
        let before = self.spent;
        for _ in 0..WORDS {
            let engine = EngineHash::of(&self.engines[self.rng.generate_range(0..self.size.engines)].id);
            let word = Observation::Loads { engine, group: self.rng.generate_range(0..200), loads: 1 };
            let message = GossipMessage { observations: vec![word], ..GossipMessage::default() };
            // Not from itself: that would be no other's.
            let from = (self.size.gateways / 2 + 1) as u32 % self.size.gateways as u32;
            self.step(Input::PeerEvent(Event::PeerMessage { from, message }));
        }
        self.spent.since(before).took / WORDS
    }

    /// A list in which one engine is another, and then the same list again; the medians of some of each.
    fn tell_lists(&mut self, counts: bool) -> (Telling, Telling) {
        let (mut changed, mut again) = (Vec::new(), Vec::new());
        for round in 0..TELLINGS {
            let place = self.rng.generate_range(0..self.list.len());
            self.list[place].entry.id = format!("new-{round}").into();
            self.list[place].entry.started = ProcessStart::Foreign(self.now);
            for told in [&mut changed, &mut again] {
                let (list, before) = (self.list.clone(), self.spent);
                self.step(Input::EngineList(ListKind::Snapshot, list));
                let spent = self.spent.since(before);
                told.push((spent.took, spent.allocated.calls));
            }
            self.run_for(Duration::from_millis(200), false);
        }
        let median = |mut all: Vec<(Duration, u64)>| {
            all.sort_unstable();
            let (took, allocations) = all[all.len() / 2];
            Telling { took, allocations: counts.then_some(allocations) }
        };
        (median(changed), median(again))
    }
}

fn exponential(rng: &mut WyRand) -> f64 {
    -(1.0 - rng.generate::<f64>()).max(1e-9).ln()
}

fn name(number: u64) -> Id {
    format!("{number:016x}").into()
}

/// The engines, their ids in no order that tells of zone or kind, and the list of them.
fn engines(size: Size, rng: &mut WyRand) -> (Vec<Engine>, Vec<ListedEngine>) {
    let one = |at: usize| {
        let id: Id = format!("{:08x}-{at}", rng.generate::<u32>()).into();
        let (zone, is_large) = (at % size.zones(), (at / size.zones()).is_multiple_of(3));
        let (kind, cores) = if is_large { ("std-12", 12.0) } else { ("std-8", 8.0) };
        let entry = EngineEntry {
            id: id.clone(),
            zone: format!("zone-{zone}").into(),
            kind: kind.into(),
            cell: (at / 4) as u64,
            state: EngineState::In,
            nominal: cores,
            started: ProcessStart::LongAgo,
        };
        let address = ([127, 0, (at >> 8) as u8, at as u8], 9000).into();
        let engine = Engine {
            id,
            zone,
            cores,
            behaviour: Behaviour::Well,
            out: 0,
            most: 0,
            used: false,
            completed_first: None,
        };
        (engine, ListedEngine { entry, address })
    };
    (0..size.engines).map(one).unzip()
}

/// Look-ups, reports that only large engines serve, and loads that hold a group of tables.
fn site(size: Size) -> Site {
    let config = |threads: f64, importance: f64, slo: u32, effect: Repeats| WorkloadConfig {
        threads,
        importance,
        slo_time: MS * slo,
        slo_stretch: 2.0,
        late_value: 0.3,
        effect,
        dedup_window: MS * 15_000,
        zones: None,
        kinds: None,
        ordered: false,
        holds_group: false,
        waits_for_group: true,
    };
    let lookup = config(1.0, 1.0, 100, Repeats::Idempotent);
    let report =
        WorkloadConfig { kinds: Some(vec!["std-12".into()]), ..config(2.0, 15.0, 300, Repeats::Idempotent) };
    let load = WorkloadConfig {
        holds_group: true,
        waits_for_group: false,
        ..config(1.0, 15.0, 300, Repeats::NonIdempotent)
    };
    let kind =
        |name: &str, cores| Kind { name: name.into(), cores: Some(cores), mem_mb: Some(cores * 2048.0) };
    Site {
        gateway: (size.gateways / 2) as u32,
        gateways: size.gateways as u32,
        zone: "zone-0".into(),
        tick: MS * 5,
        workloads: vec![lookup, report, load],
        customers: vec![Customer { name: "one".into(), allowance_per_s: 1e9 }],
        kinds: vec![kind("std-8", 8.0), kind("std-12", 12.0)],
        slow_start: SlowStart { capacity: 0.32, warm_after: MS * 15_000, multiple: 2.0, window: MS * 2_000 },
        retry_budget: None,
        order_pause: MS * 300,
        drain_grace: Duration::ZERO,
        list_is_polled: false,
        list_poll_interval: Duration::ZERO,
        max_executions: 5,
        concurrent_executions: true,
        can_cancel: true,
        can_gossip: true,
        max_retry_after: Some(MS * 2_000),
        cross_zone_priced: false,
        honors_memory_grants: false,
        max_grant_share: 0.5,
        honors_priorities: false,
        over_share_value: 0.2,
    }
}

/// One statement, and what an execution of it usually takes: together they keep each engine at somewhat over half its
/// cores.
fn statement(number: u64, rng: &mut WyRand) -> (Input, Duration) {
    let (workload, work, left) = match rng.generate_range(0..100u32) {
        0..85 => (0, MS * 6, MS * 2_000),
        85..95 => (1, MS * 10, MS * 10_000),
        _ => (2, MS * 10, MS * 10_000),
    };
    let estimate = work.mul_f64(0.5 + rng.generate::<f64>());
    let id = name(number);
    let engine_request = EngineRequest {
        id: Bytes::copy_from_slice(id.as_bytes()),
        workload: Bytes::from_static(b"w"),
        key: None,
        text: StatementText::Inline(Bytes::from_static(b"SELECT note FROM sales_17.orders")),
    };
    let statement = NewStatement {
        id,
        workload,
        customer: Some(0),
        key: None,
        time_left: left,
        est_work: Some(estimate),
        est_mem_mb: None,
        table_group: Some(rng.generate_range(0..200)),
        replayable: true,
    };
    (Input::Statement(SubmittedStatement { caller: number, statement, engine_request }), work)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// One engine takes statements and answers none.
    OneSilent,
    /// A zone's engines refuse, and later don't.
    ZoneRefuses,
    HalfRefuse,
}

/// What went wrong, as this one gateway saw it: no other told it anything.
pub fn events(size: Size, seed: u64) -> Table {
    let title = format!(
        "Events of {} s, {} gateways, {} engines, by what one gateway sees alone: {} s before, {} s after",
        LASTS.as_secs(),
        size.gateways,
        size.engines,
        BEFORE.as_secs(),
        AFTER.as_secs()
    );
    let columns = [
        "event",
        "engines",
        "statements",
        "completed, share",
        "sent there",
        "in the first 2 s",
        "in the last 2 s",
        "9 of 10 by, s",
        "the last, s",
        "lost",
        "refused",
        "messages in 2 s",
        "that are ill",
        "that are well",
        "of loads",
        "first used again, s",
        "half used again, s",
        "used again of all",
        "looked a statement, beats too",
        "us a statement, beats too",
    ];
    let mut table = Table::new(&title, &columns);
    for event in [Trouble::OneSilent, Trouble::ZoneRefuses, Trouble::HalfRefuse] {
        eprintln!("decide: {event:?} at {} gateways, {} engines", size.gateways, size.engines);
        table.add(play(size, seed, event));
    }
    table
}

fn play(size: Size, seed: u64, event: Trouble) -> Vec<Value> {
    let mut world = World::new(size, seed);
    world.run_for(BEFORE, true);
    // Where executions are out if there is such an engine: nothing would show of one that nobody uses.
    let used = world.engines.iter().position(|engine| engine.out > 0).unwrap_or(0);
    let zone = world.engines[used].zone;
    let is_hit = |at: usize, engine: &Engine| match event {
        Trouble::OneSilent => at == used,
        Trouble::ZoneRefuses => engine.zone == zone,
        Trouble::HalfRefuse => at.is_multiple_of(2),
    };
    let ill = if event == Trouble::OneSilent { Behaviour::Silent } else { Behaviour::Refuses };
    let hit: Vec<usize> = (0..size.engines).filter(|at| is_hit(*at, &world.engines[*at])).collect();
    // A zone that is lost loses what it runs; an engine that is silent answers nothing of that either.
    let gone: HashSet<usize> = hit.iter().copied().collect();
    let there = world.out.iter().filter(|(_, engine)| gone.contains(engine));
    let out: Vec<(Id, usize)> = there.map(|(execution, _)| execution.clone()).collect();
    world.begin();
    hit.iter().for_each(|at| world.engines[*at].behaviour = ill);
    world.lose(out, event != Trouble::OneSilent);
    let (from, spent, looked) = (world.now, world.spent, world.reducer.engines_examined());
    world.run_for(FIRST, true);
    let told = world.told;
    world.run_for(LASTS - FIRST, true);
    let seconds = |at: Duration, from: Duration| (at - from).as_secs_f64();
    let (statements, sends) = (world.taken, world.sends_to(&gone));
    let each = |all: f64| all / statements.max(1) as f64;
    let looked = each((world.reducer.engines_examined() - looked) as f64);
    let took = each(world.spent.since(spent).took.as_secs_f64() * 1e6);
    world.is_counting = false;
    let (lost, refused) = (world.lost, world.refused);
    hit.iter().for_each(|at| world.engines[*at].behaviour = Behaviour::Well);
    let back = world.now;
    world.run_for(AFTER, true);
    let completed_there = hit.iter().filter_map(|at| world.engines[*at].completed_first);
    let mut again: Vec<Duration> = completed_there.filter(|at| *at >= back).collect();
    again.sort_unstable();
    let after = |place: usize| json!(again.get(place).map(|at| seconds(*at, back)));
    vec![
        json!(format!("{event:?}")),
        json!(hit.len()),
        json!(statements),
        json!(each(world.completed as f64)),
        json!(sends.len()),
        json!(sends.iter().filter(|at| **at < from + FIRST).count()),
        json!(sends.iter().filter(|at| **at >= back - FIRST).count()),
        json!(sends.get((sends.len() * 9 / 10).saturating_sub(1)).map(|at| seconds(*at, from))),
        json!(sends.last().map(|at| seconds(*at, from))),
        json!(lost),
        json!(refused),
        json!(told.ill + told.well + told.of_loads),
        json!(told.ill),
        json!(told.well),
        json!(told.of_loads),
        after(0),
        after(hit.len() / 2),
        json!(again.len() as f64 / hit.len() as f64),
        json!(looked),
        json!(took),
    ]
}

impl World {
    /// What is out is answered no more; where the engine's end shows, as a reset connection.
    fn lose(&mut self, out: Vec<(Id, usize)>, shows: bool) {
        let ours = |coming: &Coming| match coming {
            Coming::Ends(id, execution, ..) => out.iter().any(|x| x.0 == *id && x.1 == *execution),
            Coming::Stopped(..) => false,
        };
        self.coming.retain(|_, coming| !ours(coming));
        for (id, execution) in out.iter().filter(|_| shows) {
            let coming = Coming::Ends(id.clone(), *execution, Outcome::Reset, Duration::ZERO);
            self.comes(ON_THE_WAY, coming);
        }
    }

    /// When executions were sent to any of these.
    fn sends_to(&self, engines: &HashSet<usize>) -> Vec<Duration> {
        self.sends.iter().filter(|(_, at)| engines.contains(at)).map(|(sent, _)| *sent).collect()
    }
}
