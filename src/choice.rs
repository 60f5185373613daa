//! All decisions of one gateway. Build a `Chooser` from the `Site` it is started with, hand it each `Event`
//! with the time since the start, and carry out the `Action`s it adds, in order. It does no I/O and shares
//! nothing. Its interface is in `interface.rs`; why it decides as it does, in `docs/design.md`.

use crate::interface::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Threads a core that an engine is lent for, over all gateways.
const THREADS_PER_CORE: f64 = 3.0;
/// Bounds of the coefficient by which a statement's estimate scales its weight.
const COEFFICIENT: (f64, f64) = (0.5, 4.0);
/// A report counts for this long; above this utilisation it closes its engine.
const REPORT_AGE: Duration = Duration::from_secs(1);
const UTILISATION_LIMIT: f64 = 1.5;
const PRESSED_UTILISATION: f64 = 0.9;
const HELD_PRESSURE: f64 = 1.5;
const SPARE_UTILISATION: f64 = 0.7;
/// Held statements a core, and statements waiting for memory, that close an engine.
const HELD_PER_CORE: f64 = 4.0;
const MEM_WAITING_LIMIT: f64 = 2.0;
/// A pace this many times the best seen, or a refusal as full so lately, is pressure.
const OPEN_SLICES: f64 = 1.5;
const PACE_PRESSURE: f64 = 3.0;
const FULL_AGE: Duration = Duration::from_secs(1);
/// Share of a mean that a new figure makes up.
const LEARN: f64 = 0.05;
const PACE_LEARN: f64 = 0.1;
/// Fault level that sets an engine aside, the one that takes it back, and the first and longest pause.
const FAULT_LEARN: f64 = 0.2;
const FAULTS_ASIDE: f64 = 0.5;
const FAULTS_BACK: f64 = 0.2;
const PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// An engine is silent when nothing is heard for this many times what an execution there usually takes.
const SILENT_TIMES: f64 = 4.0;
/// Executions that may be repeated are given up after this many times what they usually take.
const PATIENCE_TIMES: f64 = 6.0;
/// Our own ration of further executions, where the site states none.
const RATION: Budget = Budget { span: Duration::from_secs(5), free: 10.0, share: 0.3 };
/// Share of what a cold engine may be sent that the gateways use together.
const COLD_CAUTION: f64 = 0.6;
/// Share of its cores that a warm engine is taken to work at, at the least.
const WARM_WORK_PER_CORE: f64 = 0.75;
const CORES_UNTOLD: f64 = 8.0;
/// How long a note that a statement stands still for a load counts.
const NOTED_SPAN: Duration = Duration::from_secs(1);
/// Least share of the densest workload's importance for the work, for priorities 1, 2 and 3.
const LANES: [f64; 3] = [0.07, 0.2, 0.4];
/// What other gateways tell of their loads counts for this long, and our own count.
const TOLD_SPAN: Duration = Duration::from_secs(10);
const OURS_SPAN: Duration = Duration::from_secs(60);
const OURS: u64 = u64::MAX;
const NOTED: u64 = u64::MAX - 1;
/// Loads of one table group that an engine is sent at once.
const LOADS_DEEP: u32 = 2;
const GRANT_MARGIN: f64 = 2.0;
const HALF: f64 = 0.5;
const ABROAD: usize = 1;
const BEAT: Duration = Duration::from_millis(50);
const BEAT_MARK: u64 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Taken,
    Waiting,
    Choosing,
    Running,
    Streaming,
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Arrived,
    Turn,
    Sent,
    NotItsTurn,
    NoRoom,
    Finished,
    OneOfTwo,
    Unfinished,
    Answering,
    ClientGone,
    OutOfTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Rest,
    Choose,
    GiveUp,
    Close,
}

/// A statement's life: state, input, next state, effect. A pair that is not listed changes nothing.
const LIFE: &[(State, Input, State, Step)] = &[
    (State::Taken, Input::Arrived, State::Choosing, Step::Choose),
    (State::Choosing, Input::Sent, State::Running, Step::Rest),
    (State::Choosing, Input::NotItsTurn, State::Waiting, Step::Rest),
    (State::Choosing, Input::NoRoom, State::Over, Step::GiveUp),
    (State::Waiting, Input::Turn, State::Choosing, Step::Choose),
    (State::Waiting, Input::OutOfTime, State::Over, Step::GiveUp),
    (State::Waiting, Input::ClientGone, State::Over, Step::Close),
    (State::Running, Input::Finished, State::Over, Step::Close),
    (State::Running, Input::OneOfTwo, State::Running, Step::Rest),
    (State::Running, Input::Unfinished, State::Choosing, Step::Choose),
    (State::Running, Input::Answering, State::Streaming, Step::Rest),
    (State::Running, Input::OutOfTime, State::Over, Step::GiveUp),
    (State::Running, Input::ClientGone, State::Over, Step::Close),
    (State::Streaming, Input::Finished, State::Over, Step::Close),
    (State::Streaming, Input::Unfinished, State::Over, Step::GiveUp),
    (State::Streaming, Input::ClientGone, State::Over, Step::Close),
];

/// The seven rules, as reasons against a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    OneAnswer,
    NoDoubleEffect,
    Drain,
    Cold,
    Order,
    Placement,
    Budget,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug)]
struct Execution {
    engine: Id,
    zone: Id,
    cell: u64,
    sent: Duration,
    weight: f64,
    usual: f64,
    fate: Fate,
}

#[derive(Debug)]
struct Stmt {
    state: State,
    workload: usize,
    key: Option<Id>,
    until: Duration,
    coefficient: f64,
    table_group: Option<u64>,
    est_mem_mb: Option<f64>,
    executions: Vec<Execution>,
}

/// A mean that follows what it is shown; before that, what it was made with.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    seen: bool,
}

impl Mean {
    fn show(&mut self, figure: f64, share: f64) {
        self.value = if self.seen { self.value + share * (figure - self.value) } else { figure };
        self.seen = true;
    }
}

/// What differs by workload: a row each, made at the start.
#[derive(Debug)]
struct Row {
    terms: WorkloadTerms,
    executions: usize,
    estimate: Mean,
    /// Seconds that an execution with coefficient 1 takes: of late, and on an engine with room.
    elapsed: Mean,
    calm: Mean,
    /// Seconds that its work makes up on one thread.
    work: Mean,
    /// Memory taken over the estimate.
    mem_over: Mean,
}

#[derive(Debug)]
struct Engine {
    entry: EngineEntry,
    cores: f64,
    load: f64,
    report: Option<(Duration, Report)>,
    full_at: Option<Duration>,
    /// How many times the usual its executions take, and the least that has been.
    pace: Mean,
    best: f64,
    faults: f64,
    /// While set aside: when it may next be tried, and the pause after that.
    aside: Option<(Duration, Duration)>,
    heard: Duration,
    broke: bool,
    warm_at: Duration,
    /// Loads there by table group and who says so, and until when we believe it; emptied as that passes.
    held: BTreeMap<(u64, u64), (u32, Duration)>,
    /// Work sent of late while cold; emptied as the rule's window passes.
    cold_sends: VecDeque<(Duration, f64)>,
}

/// The line of an ordered key: emptied as its statements are over, dropped when its rest has passed too.
#[derive(Debug, Default)]
struct Line {
    stmts: VecDeque<Id>,
    rest_until: Duration,
}

pub struct Chooser {
    site: Site,
    rng: WyRand,
    rows: Vec<Row>,
    /// Emptied of an engine when the list drops it and nothing of ours runs there.
    engines: BTreeMap<Id, Engine>,
    /// Emptied of a statement when it is over and its last execution has its outcome.
    stmts: BTreeMap<Id, Stmt>,
    lines: BTreeMap<Id, Line>,
    /// Times of statements taken and of further executions; emptied as the budget's span passes.
    taken: VecDeque<Duration>,
    extras: VecDeque<Duration>,
    last: Option<Id>,
    list_at: Duration,
    list_failed: bool,
    list_asked: Option<Duration>,
    subscribed: bool,
    actions: Vec<Action>,
}

impl Chooser {
    pub fn start(site: Site, seed: u64, now: Duration) -> (Chooser, Vec<Action>) {
        let top = site.workloads.iter().map(|w| w.importance).fold(f64::MIN_POSITIVE, f64::max);
        let rows = site.workloads.iter().map(|terms| Row {
            terms: terms.clone(),
            executions: further_by_importance(terms.importance / top, site.execution_limit),
            estimate: Mean { value: 0.0, seen: false },
            elapsed: Mean { value: terms.slo_time.as_secs_f64() / 2.0, seen: false },
            calm: Mean { value: terms.slo_time.as_secs_f64() / 2.0, seen: false },
            mem_over: Mean { value: 1.0, seen: false },
            work: Mean { value: terms.slo_time.as_secs_f64() * terms.threads / 2.0, seen: false },
        });
        let mut chooser = Chooser {
            rows: rows.collect(),
            rng: WyRand::new_seed(seed),
            engines: BTreeMap::new(),
            stmts: BTreeMap::new(),
            lines: BTreeMap::new(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            last: None,
            list_at: now,
            list_failed: false,
            list_asked: None,
            subscribed: false,
            actions: vec![Action::Timer { mark: BEAT_MARK, delay: BEAT }],
            site,
        };
        chooser.keep_list(now);
        let first = std::mem::take(&mut chooser.actions);
        (chooser, first)
    }

    pub fn event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Engines(kind, entries) => self.list(now, kind, entries),
            Event::Statement(new) => self.take(now, new),
            Event::ClientGone(id) => self.drive(now, &id, Input::ClientGone),
            Event::Ended(ended) => self.ended(now, ended),
            Event::Answering { id, engine, .. } => {
                self.hear(now, &engine);
                self.drive(now, &id, Input::Answering)
            }
            Event::Noted { id, engine, note, .. } => {
                self.hear(now, &engine);
                let group = self.stmts.get(&id).and_then(|s| s.table_group);
                if let (Note::WaitsForLoad, Some(group), Some(at)) =
                    (note, group, self.engines.get_mut(&engine))
                {
                    at.held.insert((group, NOTED), (1, now + NOTED_SPAN));
                }
            }
            Event::Told { from, message } => self.told(now, from, &message),
            Event::Timer(BEAT_MARK) => self.beat(now),
            Event::Timer(_) => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// The loop that reads `LIFE`: an effect may give the next input.
    fn drive(&mut self, now: Duration, id: &Id, input: Input) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let Some(stmt) = self.stmts.get_mut(id) else { return };
            let Some(row) = LIFE.iter().find(|r| r.0 == stmt.state && r.1 == input) else { return };
            stmt.state = row.2;
            next = match row.3 {
                Step::Rest => None,
                Step::Choose => Some(self.choose(now, id)),
                Step::GiveUp => {
                    self.give_up(id);
                    self.close(now, id)
                }
                Step::Close => self.close(now, id),
            };
        }
    }

    fn take(&mut self, now: Duration, new: NewStatement) {
        self.taken.push_back(now);
        let Some(row) = self.rows.get_mut(new.workload) else { return };
        let coefficient = match new.est_work.map(|w| w.as_secs_f64()).filter(|w| *w > 0.0) {
            Some(work) => {
                row.estimate.show(work, LEARN);
                (work / row.estimate.value).clamp(COEFFICIENT.0, COEFFICIENT.1)
            }
            None => 1.0,
        };
        let key = new.key.filter(|_| row.terms.ordered);
        if let Some(key) = &key {
            self.lines.entry(key.clone()).or_default().stmts.push_back(new.id.clone());
        }
        let stmt = Stmt {
            state: State::Taken,
            workload: new.workload,
            key,
            until: now + new.time_left,
            coefficient,
            table_group: new.table_group,
            est_mem_mb: new.est_mem_mb,
            executions: Vec::new(),
        };
        self.stmts.insert(new.id.clone(), stmt);
        self.drive(now, &new.id, Input::Arrived);
    }

    /// The mechanism: round-robin from one past the last choice, to the first engine that fits.
    fn choose(&mut self, now: Duration, id: &Id) -> Input {
        let stmt = &self.stmts[id];
        let row = &self.rows[stmt.workload];
        if !self.has_turn(now, id, stmt) {
            return Input::NotItsTurn;
        }
        if stmt.executions.len() >= row.executions {
            return Input::NoRoom;
        }
        let common = self.trouble_is_common();
        let start = match &self.last {
            Some(last) => last.clone(),
            None => match self.engines.keys().nth(self.site.gateway as usize % self.engines.len().max(1)) {
                Some(first) => first.clone(),
                None => return Input::NoRoom,
            },
        };
        let after = self.engines.range::<Id, _>((Excluded(&start), Unbounded));
        let walk = after.chain(self.engines.range::<Id, _>(..=&start)).map(|(id, _)| id);
        let rank = |engine: &Id| stmt.table_group.map_or(0, |group| home_rank(group, engine));
        let live = self.engines.values().filter(|e| e.entry.state == EngineState::In);
        let mut ranks: Vec<u64> = live.map(|e| rank(&e.entry.id)).collect();
        ranks.sort_unstable_by_key(|rank| std::cmp::Reverse(*rank));
        let fit = walk
            .filter(|e| self.fits(now, stmt, e, common) && self.forbids(now, id, e).is_none())
            .min_by_key(|e| {
                let place = ranks.iter().position(|r| *r == rank(e)).unwrap_or(0);
                self.objections(now, stmt, &self.engines[*e], place, ranks.len())
            });
        match fit.cloned() {
            Some(engine) => self.send(now, id, engine),
            None => Input::NoRoom,
        }
    }

    fn fits(&self, now: Duration, stmt: &Stmt, id: &Id, common: bool) -> bool {
        let engine = &self.engines[id];
        let weight = self.weight(stmt);
        if !common && !self.may_try(now, engine, stmt) {
            return false;
        }
        if self.closed(now, engine) {
            return false;
        }
        if let Some(group) = stmt.table_group.filter(|_| self.rows[stmt.workload].terms.holds_group) {
            if engine.loads_of(now, group) >= LOADS_DEEP {
                return false;
            }
        }
        let pressed = self.pressed(now, engine);
        let capacity = self.capacity(engine) * if pressed { 1.0 } else { OPEN_SLICES };
        if weight > capacity {
            engine.load <= 0.0
        } else {
            capacity - engine.load >= weight
        }
    }

    /// Of the engines that fit, the walk takes the first with the least against it: a reader stays away from
    /// where its table group is held, then from where loads of that group go first, then from a full slice.
    fn objections(&self, now: Duration, stmt: &Stmt, engine: &Engine, place: usize, of: usize) -> usize {
        let terms = &self.rows[stmt.workload].terms;
        let over = engine.load + self.weight(stmt) > self.capacity(engine);
        let half = engine.load + self.weight(stmt) > self.capacity(engine) * HALF;
        if terms.holds_group && stmt.table_group.is_some() {
            return usize::from(over) * of + place;
        }
        let held = terms.waits_for_group && stmt.table_group.is_some_and(|g| engine.loads_of(now, g) > 0);
        let home = terms.waits_for_group && place == 0;
        let abroad = self.site.crossing_priced && engine.entry.zone != self.site.zone;
        usize::from(held) * 16
            + usize::from(home) * 8
            + usize::from(over) * 4
            + usize::from(half) * 2
            + usize::from(abroad) * ABROAD
    }

    fn weight(&self, stmt: &Stmt) -> f64 {
        self.rows[stmt.workload].terms.threads * stmt.coefficient
    }

    fn capacity(&self, engine: &Engine) -> f64 {
        engine.cores * THREADS_PER_CORE / f64::from(self.site.gateways.max(1))
    }

    /// A fresh report of an engine at its limit closes it; an engine not heard of is open.
    fn closed(&self, now: Duration, engine: &Engine) -> bool {
        engine.report.is_some_and(|(at, report)| {
            now < at + REPORT_AGE
                && (report.utilisation.is_some_and(|u| u > UTILISATION_LIMIT)
                    || report.held.is_some_and(|h| h > HELD_PER_CORE * engine.cores)
                    || report.mem_waiting.is_some_and(|w| w > MEM_WAITING_LIMIT))
        })
    }

    /// The slice binds only while this holds.
    fn pressed(&self, now: Duration, engine: &Engine) -> bool {
        now < engine.warm_at
            || engine.report.is_some_and(|(_, r)| {
                r.utilisation.is_some_and(|u| u > PRESSED_UTILISATION)
                    || r.held.is_some_and(|h| h > HELD_PRESSURE * engine.cores)
            })
            || engine.pace.value > PACE_PRESSURE * engine.best.max(1.0)
            || engine.full_at.is_some_and(|at| now < at + FULL_AGE)
    }

    /// Guards against engines that fail, refuse, reset or fall silent, whatever the cause: one set aside gets
    /// a single execution at a time, of a kind that may be repeated, once its pause is over.
    fn may_try(&self, now: Duration, engine: &Engine, stmt: &Stmt) -> bool {
        let Some((until, _)) = engine.aside else { return true };
        now >= until && engine.load <= 0.0 && self.rows[stmt.workload].terms.effect != Effect::NonIdempotent
    }

    /// When half the engines or more look bad, the cause is taken as common and none is shunned.
    fn trouble_is_common(&self) -> bool {
        let live = self.engines.values().filter(|e| e.entry.state == EngineState::In);
        let (all, aside) = live.fold((0, 0), |(n, a), e| (n + 1, a + usize::from(e.aside.is_some())));
        aside * 2 >= all
    }

    fn has_turn(&self, now: Duration, id: &Id, stmt: &Stmt) -> bool {
        let Some(line) = stmt.key.as_ref().and_then(|key| self.lines.get(key)) else { return true };
        line.stmts.front() == Some(id) && (now >= line.rest_until || !stmt.executions.is_empty())
    }

    /// The gate: the rule, if any, that forbids sending this statement to this engine now.
    pub fn forbids(&self, now: Duration, id: &Id, engine: &Id) -> Option<Rule> {
        let (Some(stmt), Some(to)) = (self.stmts.get(id), self.engines.get(engine)) else {
            return Some(Rule::OneAnswer);
        };
        let row = &self.rows[stmt.workload];
        let limit = stmt.executions.len() >= self.site.execution_limit;
        if stmt.state == State::Over || limit || now + self.site.tick >= stmt.until {
            return Some(Rule::OneAnswer);
        }
        if !self.repeat_is_harmless(now, stmt, row, to) {
            return Some(Rule::NoDoubleEffect);
        }
        if to.entry.state != EngineState::In || !self.list_is_known(now) {
            return Some(Rule::Drain);
        }
        if !self.cold_has_room(now, to, row) {
            return Some(Rule::Cold);
        }
        if !self.has_turn(now, id, stmt) {
            return Some(Rule::Order);
        }
        let named = |names: &Option<Vec<Id>>, own: &Id| names.as_ref().is_none_or(|n| n.contains(own));
        if !named(&row.terms.zones, &to.entry.zone) || !named(&row.terms.kinds, &to.entry.kind) {
            return Some(Rule::Placement);
        }
        if !stmt.executions.is_empty() && !self.budget_has_room(now) {
            return Some(Rule::Budget);
        }
        None
    }

    fn repeat_is_harmless(&self, now: Duration, stmt: &Stmt, row: &Row, to: &Engine) -> bool {
        let out = stmt.executions.iter().any(|x| x.fate == Fate::Out);
        if out && !self.site.second_copies {
            return false;
        }
        stmt.executions.iter().filter(|x| x.fate != Fate::NeverRan).all(|x| match row.terms.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated(group) => {
                now < x.sent + row.terms.dedup_span
                    && match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => x.zone == to.entry.zone,
                        DedupGroup::Cell => x.cell == to.entry.cell,
                    }
            }
        })
    }

    /// Where the list must be asked for, one that is too old may hide a drain.
    fn list_is_known(&self, now: Duration) -> bool {
        let span = if self.list_failed { 4 } else { 1 } * self.site.list_ask_every;
        !self.site.list_is_asked || self.subscribed || now < self.list_at + span
    }

    /// This gateway's share of what a cold engine stands, in the window before now.
    fn cold_has_room(&self, now: Duration, to: &Engine, row: &Row) -> bool {
        let cold = &self.site.cold;
        let sent = to.cold_sends.iter().filter(|s| s.0 + cold.window > now).map(|s| s.1).sum::<f64>();
        let stands =
            to.cores * WARM_WORK_PER_CORE * cold.capacity * cold.multiple * cold.window.as_secs_f64();
        let share = stands * COLD_CAUTION / f64::from(self.site.gateways.max(1));
        now >= to.warm_at || sent + row.work.value <= share
    }

    fn budget_has_room(&self, now: Duration) -> bool {
        let within = |budget: &Budget| {
            let count =
                |times: &VecDeque<Duration>| times.iter().filter(|t| **t + budget.span > now).count() as f64;
            // A further execution on the span's very edge counts; a statement taken there doesn't.
            let made = self.extras.iter().filter(|t| **t + budget.span >= now).count() as f64;
            made + 1.0 <= budget.free + budget.share * count(&self.taken)
        };
        within(&RATION) && self.site.budget.as_ref().is_none_or(within)
    }

    /// The only place that sends, and it asks the gate.
    fn send(&mut self, now: Duration, id: &Id, engine: Id) -> Input {
        if self.forbids(now, id, &engine).is_some() {
            return Input::NoRoom;
        }
        let stmt = &self.stmts[id];
        let weight = self.weight(stmt);
        let row = &self.rows[stmt.workload];
        let usual = row.elapsed.value * stmt.coefficient;
        let left = stmt.until - now - self.site.tick;
        let last = stmt.executions.len() + 1 >= row.executions;
        let timeout = match row.terms.effect {
            Effect::NonIdempotent => left,
            _ if last || !self.budget_has_room(now) => left,
            _ => left.min(Duration::from_secs_f64(usual * PATIENCE_TIMES).max(self.site.tick)),
        };
        let work = row.work.value;
        let to = self.engines.get_mut(&engine).expect("the gate knows it");
        to.load += weight;
        if let Some(group) = stmt.table_group.filter(|_| row.terms.holds_group) {
            let loads = to.held.get(&(group, OURS)).map_or(0, |h| h.0) + 1;
            hold(&mut to.held, group, loads, now, self.site.may_tell, &engine, &mut self.actions);
        }
        if now < to.warm_at {
            to.cold_sends.push_back((now, work));
        }
        let (zone, cell) = (to.entry.zone.clone(), to.entry.cell);
        let stmt = self.stmts.get_mut(id).expect("the gate knows it");
        if !stmt.executions.is_empty() {
            self.extras.push_back(now);
        }
        stmt.executions.push(Execution {
            engine: engine.clone(),
            zone,
            cell,
            sent: now,
            weight,
            usual,
            fate: Fate::Out,
        });
        self.last = Some(engine.clone());
        let mem_mb = self.grant(id, &engine);
        if self.site.priorities_heeded || mem_mb > 0.0 {
            self.actions.push(Action::Terms { id: id.clone(), mem_mb, priority: self.priority(id) });
        }
        self.actions.push(Action::Send { id: id.clone(), engine, timeout });
        Input::Sent
    }

    /// The memory to ask for: the estimate, by what it has missed by for this workload; zero is the engine's choice.
    fn grant(&self, id: &Id, engine: &Id) -> f64 {
        let stmt = &self.stmts[id];
        let row = &self.rows[stmt.workload];
        let (Some(estimate), true) = (stmt.est_mem_mb, self.site.grants_heeded && row.mem_over.seen) else {
            return 0.0;
        };
        let kind = &self.engines[engine].entry.kind;
        let mem = self.site.kinds.iter().find(|k| k.name == *kind).and_then(|k| k.mem_mb);
        (estimate * row.mem_over.value * GRANT_MARGIN)
            .min(mem.map_or(f64::MAX, |m| m * self.site.max_grant_share))
    }

    /// Scarce cores go by importance for the work: each lane below the densest is a step down.
    fn priority(&self, id: &Id) -> u8 {
        let density = |row: &Row| row.terms.importance / row.work.value.max(1e-6);
        let top = self.rows.iter().map(density).fold(f64::MIN_POSITIVE, f64::max);
        let stmt = &self.stmts[id];
        let share = density(&self.rows[stmt.workload]) / stmt.coefficient / top;
        LANES.iter().filter(|least| share >= **least).count() as u8
    }

    fn ended(&mut self, now: Duration, ended: Ended) {
        let unheard = matches!(
            ended.outcome,
            Outcome::TimedOut | Outcome::Refused | Outcome::Cancelled | Outcome::Skipped
        );
        if !unheard {
            self.hear(now, &ended.engine);
        }
        if let (Some(report), Some(engine)) = (ended.report, self.engines.get_mut(&ended.engine)) {
            engine.report = Some((now, report));
        }
        let Some(stmt) = self.stmts.get_mut(&ended.id) else { return };
        let Some(execution) = stmt.executions.get_mut(ended.execution).filter(|x| x.fate == Fate::Out) else {
            return;
        };
        let never = matches!(ended.outcome, Outcome::Full | Outcome::Refused | Outcome::Skipped);
        execution.fate = if never { Fate::NeverRan } else { Fate::MayHaveRun };
        let weight = execution.weight;
        let coefficient = stmt.coefficient;
        let row = &mut self.rows[stmt.workload];
        let elapsed = ended.elapsed.as_secs_f64();
        let mut pace = 1.0;
        if ended.outcome == Outcome::Completed {
            row.elapsed.show(elapsed / coefficient, LEARN);
            let work = ended.took.map_or(elapsed * row.terms.threads, |t| t.0.as_secs_f64());
            row.work.show(work, LEARN);
            if let (Some((_, mem)), Some(estimate)) = (ended.took, stmt.est_mem_mb) {
                row.mem_over.show(mem / estimate, LEARN);
            }
            let spare = self.engines.get(&ended.engine).is_some_and(|e| e.spare());
            row.calm.show(elapsed / coefficient, if spare { LEARN } else { LEARN / 10.0 });
            pace = match ended.took {
                Some((work, _)) if !work.is_zero() => elapsed * row.terms.threads / work.as_secs_f64(),
                _ => elapsed / (row.calm.value * coefficient),
            };
        }
        if matches!(ended.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            if let Some(line) = stmt.key.as_ref().and_then(|key| self.lines.get_mut(key)) {
                line.rest_until = line.rest_until.max(now + self.site.order_pause);
            }
        }
        let out = stmt.executions.iter().any(|x| x.fate == Fate::Out);
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.load = (engine.load - weight).max(0.0);
            if let Some(group) = stmt.table_group.filter(|_| row.terms.holds_group) {
                let loads = engine.held.get(&(group, OURS)).map_or(0, |h| h.0.saturating_sub(1));
                hold(
                    &mut engine.held,
                    group,
                    loads,
                    now,
                    self.site.may_tell,
                    &ended.engine,
                    &mut self.actions,
                );
            }
            engine.judge(now, ended.outcome, pace, self.site.cold.warm_after);
        }
        let input = match ended.over {
            true => Input::Finished,
            false if out => Input::OneOfTwo,
            false => Input::Unfinished,
        };
        self.drive(now, &ended.id, input);
        self.forget(now, &ended.id);
    }

    /// Another gateway's count of its loads of a table group on an engine: count, group, engine.
    fn told(&mut self, now: Duration, from: u64, message: &[u8]) {
        let text = String::from_utf8_lossy(message);
        let mut parts = text.splitn(3, ' ');
        let (count, group) = (parts.next().map(str::parse), parts.next().map(str::parse));
        let at = parts.next().and_then(|engine| self.engines.get_mut(engine));
        if let (Some(Ok(count)), Some(Ok(group)), Some(engine)) = (count, group, at) {
            engine.held.insert((group, from), (count, now + TOLD_SPAN));
        }
    }

    fn hear(&mut self, now: Duration, engine: &Id) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.heard = now;
        }
    }

    /// The final answer, at once: a rejection where it is harmless, else an abort.
    fn give_up(&mut self, id: &Id) {
        let stmt = &self.stmts[id];
        let row = &self.rows[stmt.workload];
        let harmless = match row.terms.effect {
            Effect::Idempotent | Effect::Deduplicated(DedupGroup::All) => true,
            _ => stmt.executions.iter().all(|x| x.fate == Fate::NeverRan),
        };
        let usual = row.elapsed.value * (0.5 + self.rng.generate::<f32>() as f64);
        let retry_in = self.site.max_retry_after.map(|most| most.min(Duration::from_secs_f64(usual)));
        self.actions.push(match harmless {
            true => Action::Reject { id: id.clone(), retry_in },
            false => Action::Abort { id: id.clone() },
        });
    }

    /// The statement is over: what still runs for it is called off.
    fn close(&mut self, now: Duration, id: &Id) -> Option<Input> {
        let out = self.stmts[id].executions.iter().enumerate().filter(|(_, x)| x.fate == Fate::Out);
        if self.site.may_cancel {
            let calls = out.map(|(execution, _)| Action::Cancel { id: id.clone(), execution });
            self.actions.extend(calls);
        }
        self.forget(now, id);
        None
    }

    fn forget(&mut self, now: Duration, id: &Id) {
        let Some(stmt) = self.stmts.get(id) else { return };
        if stmt.state != State::Over || stmt.executions.iter().any(|x| x.fate == Fate::Out) {
            return;
        }
        let key = self.stmts.remove(id).and_then(|s| s.key);
        let Some(line) = key.and_then(|key| self.lines.get_mut(&key)) else { return };
        line.stmts.retain(|s| s != id);
        if now >= line.rest_until {
            if let Some(next) = line.stmts.front().cloned() {
                self.drive(now, &next, Input::Turn);
            }
        }
    }

    fn list(&mut self, now: Duration, kind: ListKind, entries: Vec<EngineEntry>) {
        let asked = self.list_asked.is_some() && kind != ListKind::Remembered;
        self.list_failed = kind == ListKind::Failed;
        self.subscribed = asked && !self.list_failed;
        if self.list_failed {
            return;
        }
        self.list_at = now;
        if kind != ListKind::Changes {
            let named: BTreeSet<&Id> = entries.iter().map(|e| &e.id).collect();
            for (_, gone) in self.engines.iter_mut().filter(|(id, _)| !named.contains(id)) {
                gone.entry.state = EngineState::Gone;
            }
        }
        for entry in entries {
            let cores = self.site.kinds.iter().find(|k| k.name == entry.kind).and_then(|k| k.cores);
            let cold = entry.started > Duration::ZERO;
            let warm_at = if cold { entry.started + self.site.cold.warm_after } else { Duration::ZERO };
            let engine =
                self.engines.entry(entry.id.clone()).or_insert_with(|| Engine::new(entry.clone(), now));
            engine.cores = cores.unwrap_or(CORES_UNTOLD);
            if entry.started > engine.entry.started {
                engine.aside = None;
                engine.faults = 0.0;
            }
            engine.warm_at = engine.warm_at.max(warm_at);
            engine.entry = entry;
        }
    }

    /// Where the list must be asked for: subscribe, and again after a failure.
    fn keep_list(&mut self, now: Duration) {
        let pause = self.site.list_ask_every.div_f64(8.0).max(BEAT);
        if self.site.list_is_asked && !self.subscribed && self.list_asked.is_none_or(|at| now >= at + pause) {
            self.list_asked = Some(now);
            self.actions.push(Action::Watch);
        }
    }

    fn beat(&mut self, now: Duration) {
        self.actions.push(Action::Timer { mark: BEAT_MARK, delay: BEAT });
        self.keep_list(now);
        self.call_back_silent(now);
        let late = now + BEAT + self.site.tick;
        let due = self.stmts.iter().filter(|(_, s)| match s.state {
            State::Waiting => late >= s.until,
            State::Running => now >= s.until,
            _ => false,
        });
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.drive(now, &id, Input::OutOfTime);
        }
        let rested = self.lines.values().filter(|l| now >= l.rest_until);
        for id in rested.filter_map(|l| l.stmts.front().cloned()).collect::<Vec<_>>() {
            self.drive(now, &id, Input::Turn);
        }
        self.lines.retain(|_, l| !l.stmts.is_empty() || now < l.rest_until);
        let kept = RATION.span.max(self.site.budget.as_ref().map_or(Duration::ZERO, |b| b.span));
        for times in [&mut self.taken, &mut self.extras] {
            while times.front().is_some_and(|t| *t + kept < now) {
                times.pop_front();
            }
        }
        let window = self.site.cold.window;
        for engine in self.engines.values_mut() {
            while engine.cold_sends.front().is_some_and(|s| s.0 + window <= now) {
                engine.cold_sends.pop_front();
            }
            engine.held.retain(|_, (_, until)| now < *until);
        }
        self.engines.retain(|_, e| e.entry.state != EngineState::Gone || e.load > 0.0);
    }

    /// Guards against engines that take work and answer nothing (hung, vanished, cut off): set aside, and what
    /// may be repeated is called back to be sent elsewhere. Could hurt where all executions there are long at once.
    fn call_back_silent(&mut self, now: Duration) {
        let mut silent: BTreeSet<Id> = BTreeSet::new();
        let out = |s: &Stmt| s.state == State::Running;
        for x in self.stmts.values().filter(|s| out(s)).flat_map(|s| &s.executions) {
            let Some(engine) = self.engines.get(&x.engine).filter(|_| x.fate == Fate::Out) else { continue };
            let since = x.sent.max(engine.heard);
            if now > since + Duration::from_secs_f64(x.usual * SILENT_TIMES * engine.pace.value.max(1.0)) {
                silent.insert(x.engine.clone());
            }
        }
        for id in &silent {
            let engine = self.engines.get_mut(id).expect("found above");
            if engine.aside.is_none() {
                engine.faults = 1.0;
                engine.set_aside(now);
            }
        }
        if !self.site.may_cancel || self.trouble_is_common() {
            return;
        }
        for (id, stmt) in self.stmts.iter().filter(|(_, s)| out(s)) {
            let row = &self.rows[stmt.workload];
            let again = row.terms.effect == Effect::Idempotent && stmt.executions.len() < row.executions;
            for (execution, x) in stmt.executions.iter().enumerate() {
                if again && x.fate == Fate::Out && silent.contains(&x.engine) {
                    self.actions.push(Action::Cancel { id: id.clone(), execution });
                }
            }
        }
    }
}

impl Engine {
    fn new(entry: EngineEntry, now: Duration) -> Engine {
        Engine {
            entry,
            cores: CORES_UNTOLD,
            load: 0.0,
            report: None,
            full_at: None,
            pace: Mean { value: 1.0, seen: false },
            best: 1.0,
            faults: 0.0,
            aside: None,
            heard: now,
            broke: false,
            warm_at: Duration::ZERO,
            held: BTreeMap::new(),
            cold_sends: VecDeque::new(),
        }
    }

    fn loads_of(&self, now: Duration, group: u64) -> u32 {
        let told = self.held.range((group, 0)..=(group, u64::MAX)).map(|(_, said)| said);
        told.filter(|(_, until)| now < *until).map(|(loads, _)| loads).sum()
    }

    fn spare(&self) -> bool {
        self.report.is_some_and(|(_, r)| r.utilisation.is_some_and(|u| u < SPARE_UTILISATION))
    }

    fn judge(&mut self, now: Duration, outcome: Outcome, pace: f64, warm_after: Duration) {
        let fault = match outcome {
            Outcome::Completed => 0.0,
            Outcome::Error | Outcome::Reset => 1.0,
            Outcome::Refused => 2.0,
            Outcome::Full => {
                self.full_at = Some(now);
                if let Some((_, pause)) = self.aside {
                    self.aside = Some((now + pause, (pause * 2).min(PAUSE.1)));
                }
                return;
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Skipped => return,
        };
        self.faults = (self.faults + FAULT_LEARN * (fault - self.faults)).min(1.0);
        // A refused connection: it may come back restarted before the list says so.
        self.broke |= outcome == Outcome::Refused;
        if outcome == Outcome::Completed {
            self.pace.show(pace, PACE_LEARN);
            self.best = self.best.min(self.pace.value);
        }
        match self.aside {
            None if self.faults > FAULTS_ASIDE => self.set_aside(now),
            Some((_, pause)) if fault > 0.0 => {
                self.aside = Some((now + pause, (pause * 2).min(PAUSE.1)));
            }
            Some(_) if self.faults < FAULTS_BACK => {
                self.aside = None;
                self.warm_at = self.warm_at.max(if self.broke { now + warm_after / 4 } else { now });
                self.broke = false;
            }
            _ => {}
        }
    }

    fn set_aside(&mut self, now: Duration) {
        self.aside = Some((now + PAUSE.0, PAUSE.0 * 2));
    }
}

/// How many executions a statement may have: two for the least important, the site's limit for the most.
fn further_by_importance(share: f64, limit: usize) -> usize {
    let most = limit.max(1) as f64;
    (2.0 + (most - 2.0) * share).floor().clamp(1.0, most) as usize
}

/// Loads of a table group go to the engine that ranks highest for it, the same at every gateway.
fn home_rank(group: u64, engine: &Id) -> u64 {
    let seed = group.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0xcbf2_9ce4_8422_2325;
    let mixed = engine.bytes().fold(seed, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Notes our own loads of a table group on an engine, and tells the other gateways where that is allowed.
fn hold(
    held: &mut BTreeMap<(u64, u64), (u32, Duration)>,
    group: u64,
    loads: u32,
    now: Duration,
    tell: bool,
    engine: &Id,
    actions: &mut Vec<Action>,
) {
    held.insert((group, OURS), (loads, now + OURS_SPAN));
    if tell {
        actions.push(Action::TellAll(format!("{loads} {group} {engine}").into_bytes()));
    }
}
