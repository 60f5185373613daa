//! All decisions of one gateway. Build a `Chooser` from the `Site` it is started with, hand it each `Event`
//! with the time since the start, and carry out the `Action`s it returns, in order. It does no I/O and shares
//! nothing. Its interface is in `interface.rs`; why it decides as it does, in `docs/design.md`.

mod gate;
mod lease;

use crate::interface::*;
use crate::state::*;
use bramblewharf_budgets::Demand;
use bramblewharf_turns::{health, mix, subsets, HealthGossip, Participant, RotationSlot, Subset};
use gate::misplaced;
pub use gate::Rule;
use lease::{ListLease, Stale};
use nanorand::{Rng, WyRand};
use std::cell::{Cell, LazyCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Deref;
use std::time::Duration;

/// Threads a core that all gateways together lend of an engine; slices each may lend while no pressure shows;
/// the share any statement may fill (less where slices are crumbs), the least where late; preferred steps.
const THREADS_PER_CORE: f64 = 3.0;
const OPEN_SLICES: f64 = 1.5;
const DENSE: (f64, f64) = (0.8, 0.7);
const LATE: f64 = 0.2;
const STEPS: f64 = 2.0;
/// Where slices are crumbs: seconds in which an engine's word ages, the pace that shrinks capacity, the most.
const WORD_AGE: f64 = 3.0;
const OPEN_PACE: f64 = 1.5;
const WORST_PACE: f64 = 4.0;
/// Bounds of the coefficient by which a statement's estimate scales its weight.
const COEFFICIENT: (f64, f64) = (0.5, 4.0);
/// Pressure: a busy or crowded report (statements held a core, any that wait for memory), a pace.
const PRESSED_UTILISATION: f64 = 0.9;
const PRESSED_HELD: f64 = 1.5;
const PRESSED_PACE: f64 = 3.0;
/// Below this utilisation an execution shows what is usual on an engine with room.
const SPARE_UTILISATION: f64 = 0.7;
/// Share of a mean that a new figure makes up: for a workload, for an engine's pace and for its faults.
const LEARN: f64 = 0.05;
const LEARN_PACE: f64 = 0.1;
const LEARN_FAULT: f64 = 0.2;
/// Fault level that sets an engine aside, the one that takes it back, and the first and longest pause.
const FAULTS_ASIDE: f64 = 0.5;
const FAULTS_BACK: f64 = 0.2;
const PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Of gateways that tell one another of an ill engine, one of so many may try it in each such span.
const TRIALS: (Duration, u64) = (Duration::from_millis(500), 64);
/// Times what an execution usually takes: unheard for so long an engine is silent; one that may be repeated
/// is given up. Neither is shorter than what late timers and a scheduler's pauses can be told from.
const SILENT_TIMES: f64 = 4.0;
const PATIENCE_TIMES: f64 = 10.0;
const SHORTEST_WAIT: Duration = Duration::from_millis(100);
/// Of a window of repeats, what one may need to come whole: a lost segment is sent again after 200 ms.
const ON_THE_WAY: Duration = Duration::from_millis(250);
/// Our own ration of further executions, beside any that the site states.
const RATION: Budget = Budget { span: Duration::from_secs(5), free: 10.0, share: 0.3 };
/// Share of what a cold engine stands that is used, and of its cores that a warm one surely works at.
const COLD_CAUTION: f64 = 0.9;
/// Where slices are crumbs, its share for light statements: one and a half times that may meet in a window.
const COLD_LIGHT: f64 = 0.35;
const WARM_WORK_PER_CORE: f64 = 0.75;
const CORES_UNTOLD: f64 = 8.0;
/// Loads of a table group that an engine is sent at once, engines for each at home, gateways told of one;
/// how long a sign of them counts, by who gives it.
const LOADS_DEEP: u32 = 2;
const LOAD_HOMES: u64 = 2;
const NOTED: (u64, Duration) = (u64::MAX - 1, Duration::from_secs(1));
const OURS: (u64, Duration) = (u64::MAX, Duration::from_secs(60));
const TELL_MOST: u32 = 64;
const TOLD_SPAN: Duration = Duration::from_secs(10);
/// Least share of the densest workload's importance for the work, for priorities 1, 2 and 3.
const LANES: [f64; 3] = [0.07, 0.2, 0.4];
/// Memory asked for, over the corrected estimate.
const GRANT_MARGIN: f64 = 2.0;
const BEAT: Duration = Duration::from_millis(50);
const BEAT_MARK: u64 = 0;

#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input { Turn, Sent, NotItsTurn, NoRoom, Unfinished, Answering, Finished, OutOfTime }
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step { Rest, Choose, GiveUp, Close }
/// A statement's life: state, input, next state, effect. A pair that is not listed changes nothing.
#[rustfmt::skip]
const LIFE: &[(State, Input, State, Step)] = &[
    (State::Waiting,   Input::Turn,       State::Choosing,  Step::Choose),
    (State::Waiting,   Input::OutOfTime,  State::Over,      Step::GiveUp),
    (State::Waiting,   Input::Finished,   State::Over,      Step::Close),
    (State::Choosing,  Input::Sent,       State::Running,   Step::Rest),
    (State::Choosing,  Input::NotItsTurn, State::Waiting,   Step::Rest),
    (State::Choosing,  Input::NoRoom,     State::Over,      Step::GiveUp),
    (State::Running,   Input::Finished,   State::Over,      Step::Close),
    (State::Running,   Input::Unfinished, State::Choosing,  Step::Choose),
    (State::Running,   Input::Answering,  State::Streaming, Step::Rest),
    (State::Running,   Input::OutOfTime,  State::Over,      Step::GiveUp),
    (State::Streaming, Input::Finished,   State::Over,      Step::Close),
    (State::Streaming, Input::Unfinished, State::Over,      Step::GiveUp),
];
/// Why a statement got no further execution and was given up, for whoever reads the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// No engine is on the list.
    NoEngine,
    /// No engine's residual covers the weight, or those that could take it are set aside.
    NoneFits,
    /// An engine would fit, and this rule forbids it.
    Forbidden(Rule),
    /// It has had all the executions that its workload may have.
    NoExecutionLeft,
    /// Its time is over.
    OutOfTime,
    /// The stream of its answer broke off.
    Broken,
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
    /// Times of statements taken, and of further executions with whether they are on our own ration; emptied
    /// as the budget's span passes.
    taken: VecDeque<Duration>,
    extras: VecDeque<(Duration, bool)>,
    /// When the next beat is due, and whether the last one was too late to judge by.
    beat_due: Duration,
    unjudged: bool,
    last: Option<Id>,
    /// Since when it decides, and until when what it begins has to be over.
    began: Duration,
    closes: Option<Duration>,
    /// Whether a slice is less than the heaviest workload weighs; threads a core that engines tell of late.
    crumbs: bool,
    usual_told: Mean,
    told_at: Duration,
    usual_pace: Mean,
    /// What gateways tell one another of engines, and which ones this gateway goes to.
    signals: HealthGossip,
    reach: Subset,
    /// The list: when to ask next (none: answer due, or subscribed), subscribed, when had, whether it failed.
    list_due: Option<Duration>,
    subscribed: bool,
    list_at: Duration,
    list_failed: bool,
    /// Where a name service is asked: how long the list may be acted on; statements that wait until it was listened to.
    lease: ListLease,
    unread: Vec<Id>,
    /// While a list of an earlier number was heard last: the engines that are up by it.
    disputed: Option<BTreeSet<Id>>,
    room: Headroom,
    actions: Vec<Action>,
    /// Why the statement at hand has no engine, and the statements given up by the event at hand.
    refusal: Refusal,
    refused: Vec<(Id, Refusal)>,
}
impl Chooser {
    pub fn start(site: Site, seed: u64, now: Duration) -> (Chooser, Vec<Action>) {
        let top = site.workloads.iter().map(|w| w.importance).fold(f64::MIN_POSITIVE, f64::max);
        let rows = site.workloads.iter().map(|terms| {
            let executions = executions_by_importance(terms.importance / top, site.execution_limit);
            Row::new(terms.clone(), executions, terms.slo_time.as_secs_f64() / 2.0)
        });
        let draw = Participant { index: site.gateway, count: site.gateways };
        let crumbs = is_crumbs(&site, f64::from(site.gateways));
        let terms = health::Config::new(draw, &site.zone, site.may_tell && crumbs);
        #[rustfmt::skip]
        let mut chooser = Chooser {
            rows: rows.collect(), rng: WyRand::new_seed(seed), last: None, actions: Vec::new(),
            engines: BTreeMap::new(), stmts: BTreeMap::new(), lines: BTreeMap::new(),
            taken: VecDeque::new(), extras: VecDeque::new(), beat_due: now,
            unjudged: false, crumbs, usual_told: Mean(0.0, false), told_at: now, usual_pace: Mean(1.0, false),
            reach: Subset::start(subsets::Config::default(), draw), signals: HealthGossip::start(terms, seed),
            list_due: site.list_is_asked.then_some(now), subscribed: false, list_at: now, list_failed: false,
            lease: ListLease::new(site.drain_grace), unread: Vec::new(), disputed: None,
            room: Headroom::default(), began: now, closes: None, refusal: Refusal::NoEngine, refused: Vec::new(),
            site,
        };
        chooser.beat(now);
        let first = std::mem::take(&mut chooser.actions);
        (chooser, first)
    }
    /// The statements that the last event had given up, and why.
    pub fn refused(&self) -> &[(Id, Refusal)] {
        &self.refused
    }
    pub fn event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.refused.clear();
        match event {
            Event::Engines(kind, entries) => self.list(now, kind, entries),
            Event::ListAsked(confirmed) => self.list_asked(now, confirmed),
            Event::ListDisputed(up) => self.disputed = Some(up.into_iter().collect()),
            Event::ListStays => self.lease.release(),
            Event::Statement(said) => self.take(now, said),
            Event::ClientGone(id) => self.drive(now, &id, Input::Finished),
            Event::Absent(id, absent) => self.stmts.get_mut(&id).into_iter().for_each(|s| s.absent = absent),
            Event::Closing(by) => self.closes = Some(by),
            Event::Unkept(id) => self.stmts.get_mut(&id).into_iter().for_each(|s| s.said.kept = false),
            Event::Ended(ended) => self.ended(now, ended),
            Event::Answering { id, engine, .. } => {
                self.hear(now, &engine);
                self.drive(now, &id, Input::Answering);
            }
            Event::Noted { id, engine, note, .. } => {
                self.hear(now, &engine);
                let group = self.stmts.get(&id).and_then(|s| s.said.table_group);
                let group = group.filter(|_| note == Note::WaitsForLoad);
                if let (Some(group), Some(at)) = (group, self.engines.get_mut(&engine)) {
                    at.hold(now, (group, NOTED.0), (1, now + NOTED.1));
                }
            }
            Event::Told { from, said } => self.told(now, from, &said),
            Event::Room(room) => self.room = room,
            Event::Timer(BEAT_MARK) => self.beat(now),
            Event::Timer(_) | Event::Nothing => {}
        }
        let said = self.signals.take_outgoing().into_iter();
        self.actions.extend(said.map(|(to, said)| Action::Tell { to: Some(to), said }));
        std::mem::take(&mut self.actions)
    }
    /// What another gateway says: of loads that hold a table group here, the rest where it is weighed.
    fn told(&mut self, now: Duration, from: u32, said: &GossipMessage) {
        self.signals.receive(now, from, said);
        for word in &said.observations {
            let Observation::Loads { engine, group, loads } = word else { continue };
            if let Some(at) = self.signals.id(*engine).and_then(|id| self.engines.get_mut(id)) {
                at.hold(now, (*group, from.into()), (u32::from(*loads), now + TOLD_SPAN));
            }
        }
    }
    /// The loop that reads `LIFE`: an effect may give the next input.
    fn drive(&mut self, now: Duration, id: &Id, input: Input) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let Some(stmt) = self.stmts.get_mut(id) else { return };
            let Some(row) = LIFE.iter().find(|r| r.0 == stmt.state && r.1 == input) else { return };
            stmt.state = row.2;
            match input {
                Input::OutOfTime => self.refusal = Refusal::OutOfTime,
                Input::Unfinished => self.refusal = Refusal::Broken,
                _ => {}
            }
            match row.3 {
                Step::Rest => {}
                Step::Choose => next = Some(self.choose(now, id)),
                Step::GiveUp => self.give_up(now, id),
                Step::Close => self.close(now, id),
            }
        }
    }
    fn take(&mut self, now: Duration, said: NewStatement) {
        self.taken.push_back(now);
        let Some(row) = self.rows.get_mut(said.workload) else { return };
        row.taken += 1.0;
        let coefficient = said.est_work.map_or(1.0, |estimate| {
            row.estimate.show(estimate.as_secs_f64(), LEARN);
            (estimate.as_secs_f64() / row.estimate.0).clamp(COEFFICIENT.0, COEFFICIENT.1)
        });
        let left = said.time_left.as_secs_f64();
        let fresh = if row.fresh_left.1 { row.fresh_left.0 } else { left };
        row.fresh_left.show(fresh * if left > fresh { 1.15 } else { 0.95 }, LEARN);
        let age = fresh - left;
        let usual = row.calm.0 * coefficient;
        let slo = row.terms.slo_time.as_secs_f64() + row.terms.slo_stretch * usual;
        let late = left > slo && age + usual > slo;
        let worth = if late { row.terms.late_value } else { 1.0 };
        let id = said.id.clone();
        if let Some(key) = said.key.clone().filter(|_| row.terms.ordered) {
            self.lines.entry(key).or_default().stmts.push_back(id.clone());
        }
        self.stmts.insert(id.clone(), Stmt::new(said, now, coefficient, worth));
        self.drive(now, &id, Input::Turn);
    }
    /// Engines looked at since the start, for whoever measures.
    pub fn looked(&self) -> u64 {
        self.reach.visited.get()
    }
    /// The mechanism: round-robin from one past the last choice, to the first fit with least against it.
    fn choose(&mut self, now: Duration, id: &Id) -> Input {
        let stmt = &self.stmts[id];
        if stmt.out() {
            return Input::Sent;
        }
        if !self.has_turn(now, stmt) {
            return Input::NotItsTurn;
        }
        // One with less time than until the next two beats does not wait for it.
        if self.lease.stale(now) == Some(Stale::Unread) && now + BEAT * 2 + self.site.tick < stmt.until {
            self.unread.push(id.clone());
            return Input::NotItsTurn;
        }
        let reach = &self.reach;
        let first = || reach.engines().nth(self.site.gateway as usize % reach.width().max(1));
        let Some(start) = self.last.as_ref().or_else(first) else {
            self.refusal = Refusal::NoEngine;
            return Input::NoRoom;
        };
        let ran = stmt.executions.iter().filter(|x| x.fate != Fate::NeverRan).count();
        if ran >= self.rows[stmt.said.workload].executions {
            self.refusal = Refusal::NoExecutionLeft;
            return Input::NoRoom;
        }
        let forbidden = Cell::new(None);
        let common = LazyCell::new(|| self.trouble_is_common(now));
        let may = |to: &Id, e: &Engine| {
            let rule = self.fits(now, stmt, e, &common).then(|| self.forbids(now, id, to));
            forbidden.set(rule.flatten().or(forbidden.get()));
            rule == Some(None)
        };
        let walk = reach.engines_after(start).filter_map(|to| self.engines.get_key_value(to));
        let fit = walk.filter(|(to, e)| may(to, e)).min_by_key(|(_, e)| self.objections(now, stmt, e));
        let fit = fit.map(|(to, _)| to.clone());
        self.refusal = forbidden.get().map_or(Refusal::NoneFits, Refusal::Forbidden);
        fit.map_or(Input::NoRoom, |engine| self.send(now, id, engine))
    }
    /// The residual covers the weight; one heavier than a whole capacity goes where nothing of ours runs.
    fn fits(&self, now: Duration, stmt: &Stmt, engine: &Engine, common: &impl Deref<Target = bool>) -> bool {
        let terms = &self.rows[stmt.said.workload].terms;
        let group = stmt.said.table_group.filter(|_| terms.holds_group);
        let crowded = group.is_some_and(|group| engine.loads_of(now, group) >= LOADS_DEEP);
        if crowded || !(self.may_try(now, engine, terms.effect) || **common) {
            return false;
        }
        let dense = if self.crumbs { DENSE.1 } else { DENSE.0 };
        let slices = if engine.pressed(now) || self.crumbs { 1.0 } else { OPEN_SLICES };
        let slices = slices * (dense + (1.0 - dense) * self.density(stmt).min(1.0)) * stmt.worth.max(LATE);
        let capacity = self.capacity(now, engine) * slices;
        let (load, weight) = (self.load(now, engine), self.weight(stmt));
        load + weight <= capacity || (weight > capacity && engine.idle())
    }
    /// What runs there: ours, or where slices are crumbs what the engine told, as that ages, and ours since.
    fn load(&self, now: Duration, engine: &Engine) -> f64 {
        if !self.crumbs || now < engine.warm_at {
            return engine.load;
        }
        let fresh = |at| (-(now - at).as_secs_f64() / WORD_AGE).exp();
        let usual = self.usual_told.0 * fresh(self.told_at);
        let told = engine.told.map_or(usual, |(at, told)| usual + (told - usual) * fresh(at));
        (told * engine.cores + engine.since * engine.part.sharers.sqrt()).max(engine.load)
    }
    /// Guards against engines that fail, refuse, reset or fall silent, whatever the cause: one set aside gets
    /// one execution a pause, of a kind that may be repeated, the next as soon as that is back well. One that
    /// others call ill gets them from a few gateways at a time, until these call it well.
    fn may_try(&self, now: Duration, engine: &Engine, effect: Effect) -> bool {
        let ill = self.signals.is_unhealthy(now, engine.mark);
        if engine.aside.is_none() && !ill {
            return true;
        }
        let draw = engine.part.participant;
        let turn = RotationSlot { duration: TRIALS.0, concurrent: (u64::from(draw.count) / TRIALS.1).max(1) };
        let due = engine.aside.is_none_or(|(at, _)| now >= at);
        let may = due && (!ill || draw.has_slot(turn, &engine.entry.id, now));
        effect != Effect::NonIdempotent && (may || self.signals.is_reported_healthy(now, engine.mark))
    }
    /// What speaks against an engine that fits: least another location where crossing is priced, most a load
    /// that holds the table group, for a reader that would stand still.
    fn objections(&self, now: Duration, stmt: &Stmt, engine: &Engine) -> u32 {
        let used = (self.load(now, engine) + self.weight(stmt)) / self.capacity(now, engine);
        let steps = (used * STEPS).ceil().clamp(0.0, 99.0) as u32;
        let terms = &self.rows[stmt.said.workload].terms;
        let held = stmt.said.table_group.is_some_and(|group| {
            let home = self.crumbs && mix(group, &engine.entry.id).is_multiple_of(LOAD_HOMES);
            terms.waits_for_group && (home || engine.loads_of(now, group) > 0)
                || self.crumbs && terms.holds_group && !home
        });
        let abroad = self.site.crossing_priced && engine.entry.zone != self.site.zone;
        let trial = engine.is_bad(now, &self.signals) && !stmt.executions.is_empty();
        u32::from(trial) * 10000 + u32::from(held) * 1000 + steps * 2 + u32::from(abroad)
    }
    fn weight(&self, stmt: &Stmt) -> f64 {
        self.rows[stmt.said.workload].terms.threads * stmt.coefficient
    }
    /// This gateway's part of an engine: by members, else as configured; among sharers an equal one at most.
    fn share(&self, now: Duration, engine: &Engine) -> f64 {
        let (all, sharers) = (f64::from(self.site.gateways.max(1)), engine.part.sharers);
        let share = self.room.engine_share(now).unwrap_or(1.0 / all) * (all / sharers);
        share.min(if sharers < all { 1.0 / sharers } else { 1.0 })
    }
    fn capacity(&self, now: Duration, engine: &Engine) -> f64 {
        if self.crumbs {
            return engine.cores * THREADS_PER_CORE / (self.usual_pace.0 / OPEN_PACE).max(1.0);
        }
        engine.cores * THREADS_PER_CORE * self.share(now, engine)
    }
    /// When half the engines or more look bad, and most of the others do not answer well either, the cause is
    /// taken as common and none is shunned. A lost zone is no common cause while the rest answers well.
    fn trouble_is_common(&self, now: Duration) -> bool {
        let live = self.reach.engines().filter_map(|id| self.engines.get(id));
        let live = live.filter(|e| e.entry.state == EngineState::In);
        let (all, aside, well) = live.fold((0, 0, 0), |(all, aside, well), e| {
            let bad = e.is_bad(now, &self.signals);
            (all + 1, aside + usize::from(bad), well + usize::from(!bad && e.answers_well()))
        });
        aside * 2 >= all && well * 2 <= all - aside
    }
    /// The only place that sends, and it asks the gate.
    fn send(&mut self, now: Duration, id: &Id, engine: Id) -> Input {
        if self.forbids(now, id, &engine).is_some() {
            return Input::NoRoom;
        }
        let (stmt, weight) = (&self.stmts[id], self.weight(&self.stmts[id]));
        let row = &self.rows[stmt.said.workload];
        let usual = row.elapsed.0 * stmt.coefficient;
        let left = stmt.until - now - self.site.tick;
        let more = stmt.said.kept && stmt.executions.len() + 1 < row.executions;
        let again = more && row.terms.effect != Effect::NonIdempotent;
        let patience = Duration::from_secs_f64(usual * PATIENCE_TIMES).max(SHORTEST_WAIT);
        let timeout = if again && self.budget_has_room(now, false) { left.min(patience) } else { left };
        let (mem_mb, priority) = (self.grant(stmt, &engine), self.priority(stmt));
        let (work, group) = (row.work.0, stmt.said.table_group.filter(|_| row.terms.holds_group));
        if let Some(to) = self.engines.get(&engine).filter(|_| !self.room.is_off()) {
            let demand = self.demand(stmt, to);
            let took = self.room.charge(&demand);
            self.actions.push(Action::Takes { id: id.clone(), took });
        }
        let Some(to) = self.engines.get_mut(&engine) else { return Input::NoRoom };
        to.load += weight;
        to.since += weight;
        to.aside = to.aside.map(|(_, pause)| (now + pause, (pause * 2).min(PAUSE.1)));
        if now < to.warm_at {
            to.cold_sends.retain(|(at, _)| *at + self.site.cold.window >= now);
            to.cold_sends.push_back((now, work));
        }
        let execution = Execution::new(&to.entry, now, weight, usual);
        self.hold(now, &engine, group, 1);
        let Some(stmt) = self.stmts.get_mut(id) else { return Input::NoRoom };
        if !stmt.executions.is_empty() {
            self.extras.push_back((now, !stmt.cost_nothing()));
        }
        stmt.executions.push(execution);
        self.last = Some(engine.clone());
        if self.site.priorities_heeded || mem_mb > 0.0 {
            self.actions.push(Action::Terms { id: id.clone(), mem_mb, priority });
        }
        self.actions.push(Action::Send { id: id.clone(), engine, timeout });
        Input::Sent
    }
    /// The memory to ask for: the estimate by what it has missed by; zero leaves it to the engine.
    fn grant(&self, stmt: &Stmt, engine: &Id) -> f64 {
        let over = &self.rows[stmt.said.workload].mem_over;
        let Some(estimate) = stmt.said.est_mem_mb.filter(|_| self.site.grants_heeded && over.1) else {
            return 0.0;
        };
        let kind = &self.engines[engine].entry.kind;
        let mem = self.site.kinds.iter().find(|k| k.name == *kind).and_then(|k| k.mem_mb);
        (estimate * over.0 * GRANT_MARGIN).min(mem.unwrap_or(f64::MAX) * self.site.max_grant_share)
    }
    /// Scarce cores go by importance for the work.
    fn priority(&self, stmt: &Stmt) -> u8 {
        let share = self.density(stmt);
        LANES.iter().filter(|least| share >= **least).count() as u8
    }
    /// Importance for the work, of that of the densest workload.
    fn density(&self, stmt: &Stmt) -> f64 {
        let density = |row: &Row| row.terms.importance / row.work.0.max(1e-6);
        let top = self.rows.iter().map(density).fold(f64::MIN_POSITIVE, f64::max);
        density(&self.rows[stmt.said.workload]) / stmt.coefficient / top
    }
    fn ended(&mut self, now: Duration, ended: Ended) {
        use Outcome::*;
        if matches!(ended.outcome, Completed | Error | Reset) {
            self.hear(now, &ended.engine);
        }
        if let (Some(report), Some(engine)) = (ended.report, self.engines.get_mut(&ended.engine)) {
            engine.report = Some((now, report));
        }
        let Some(stmt) = self.stmts.get_mut(&ended.id) else { return };
        let x = stmt.executions.get_mut(ended.execution).filter(|x| x.fate == Fate::Out);
        let Some(x) = x else { return };
        let never = matches!(ended.outcome, Full | Refused | Skipped);
        x.fate = if never { Fate::NeverRan } else { Fate::MayHaveRun };
        x.refused = ended.outcome == Refused;
        let (weight, coefficient) = (x.weight, stmt.coefficient);
        let (group, key) = (stmt.said.table_group, stmt.said.key.clone());
        let row = &mut self.rows[stmt.said.workload];
        let group = group.filter(|_| row.terms.holds_group);
        if let Some(line) = key.filter(|_| row.terms.ordered).and_then(|key| self.lines.get_mut(&key)) {
            if matches!(ended.outcome, TimedOut | Reset | Cancelled) {
                line.rest_until = line.rest_until.max(now + self.site.order_pause);
            }
        }
        let elapsed = ended.elapsed.as_secs_f64();
        let mut pace = None;
        if ended.outcome == Completed {
            let told = self.engines.get(&ended.engine).and_then(|e| e.report?.1.utilisation);
            let spare = told.is_some_and(|u| u < SPARE_UTILISATION);
            row.elapsed.show(elapsed / coefficient, LEARN);
            row.calm.show(elapsed / coefficient, if spare { LEARN } else { LEARN / 10.0 });
            let most = elapsed * row.terms.threads * COEFFICIENT.1;
            let took = ended.took.map(|(work, _)| work.as_secs_f64()).filter(|w| (1e-6..most).contains(w));
            row.work.show(took.unwrap_or(row.calm.0 * row.terms.threads), LEARN);
            pace = Some(elapsed / took.map_or(row.calm.0 * coefficient, |work| work / row.terms.threads));
            if let (Some((_, mem)), Some(estimate)) = (ended.took, stmt.said.est_mem_mb) {
                row.mem_over.show((mem / estimate).min(4.0 * COEFFICIENT.1), LEARN);
            }
        }
        let a_thread = self.usual_threads();
        if let Some(pace) = pace.filter(|_| ended.report.is_some_and(|r| r.held.is_some())) {
            self.usual_pace.show(pace.min(2.0 * WORST_PACE), LEARN_PACE);
        }
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.load = (engine.load - weight).max(0.0);
            engine.since = (engine.since - weight).max(0.0);
            if matches!(ended.outcome, Full | TimedOut) {
                (engine.told, engine.since) = (Some((now, WORST_PACE * THREADS_PER_CORE)), 0.0);
            } else if let Some(report) = ended.report {
                let held = report.held.map(|held| held * a_thread / engine.cores);
                let busy = report.utilisation.map(|u| {
                    u / PRESSED_UTILISATION * THREADS_PER_CORE * pace.unwrap_or(1.0).clamp(1.0, WORST_PACE)
                });
                // A meter that lies says no more than full: it must not shift what is usual elsewhere.
                if let Some(told) = held.or(busy).map(|t| t.clamp(0.0, WORST_PACE * THREADS_PER_CORE)) {
                    (engine.told, engine.since) = (Some((now, told)), 0.0);
                    self.usual_told.show(told, LEARN_PACE);
                    self.told_at = now;
                }
            }
            match ended.outcome {
                Completed => self.signals.record_success(now, engine.mark),
                TimedOut | Cancelled if engine.aside.is_none() => {}
                Refused | TimedOut | Cancelled => self.signals.record_failure(now, engine.mark),
                _ => {}
            }
            engine.judge(now, ended.outcome, pace);
        }
        self.hold(now, &ended.engine, group, -1);
        if self.engines.get(&ended.engine).is_some_and(Engine::is_over) {
            self.engines.remove(&ended.engine);
        }
        self.drive(now, &ended.id, if ended.over { Input::Finished } else { Input::Unfinished });
        self.forget(now, &ended.id);
    }
    /// Threads of a statement that runs, on average: those that take long count more.
    fn usual_threads(&self) -> f64 {
        let sum = |of: fn(&Row) -> f64| self.rows.iter().map(of).sum::<f64>();
        sum(|r| r.taken * r.elapsed.0 * r.terms.threads) / sum(|r| r.taken * r.elapsed.0).max(1e-9)
    }
    fn hear(&mut self, now: Duration, engine: &Id) {
        self.engines.get_mut(engine).into_iter().for_each(|engine| engine.heard = now);
    }
    /// Counts our loads of a table group on an engine, and tells the other gateways where that is allowed.
    fn hold(&mut self, now: Duration, id: &Id, group: Option<u64>, change: i32) {
        let (Some(group), Some(engine)) = (group, self.engines.get_mut(id)) else { return };
        let held = engine.held.get(&(group, OURS.0)).map_or(0, |held| held.0).saturating_add_signed(change);
        engine.hold(now, (group, OURS.0), (held, now + OURS.1));
        let (loads, spot, others) =
            (held.min(255) as u8, engine.part.position, self.site.gateways.saturating_sub(1));
        let said = GossipMessage {
            observations: vec![Observation::Loads { engine: engine.mark, group, loads }],
            ..GossipMessage::default()
        };
        let tell = |to| Action::Tell { to, said: said.clone() };
        if self.site.may_tell && others <= TELL_MOST {
            self.actions.push(tell(None));
        } else if self.site.may_tell {
            let told = (0..TELL_MOST).filter_map(|_| spot.random_sharer(others + 1, &mut self.rng));
            self.actions.extend(told.map(|to| tell(Some(to))));
        }
    }
    /// When whoever is turned away should come again, spread over about what a statement takes.
    pub fn retry_in(&mut self, workload: usize) -> Option<Duration> {
        let usual = self.rows.get(workload).map_or(0.0, |row| row.elapsed.0);
        let spread = Duration::from_secs_f64(usual).mul_f32(0.5 + self.rng.generate::<f32>());
        self.site.max_retry_after.map(|most| most.min(spread))
    }
    /// The final answer, at once: a rejection where harmless, with advice when to return, else an abort. What
    /// engines would no longer know for a repeat when its client comes again is not harmless.
    fn give_up(&mut self, now: Duration, id: &Id) {
        let retry_in = self.retry_in(self.stmts[id].said.workload);
        let stmt = &self.stmts[id];
        let terms = &self.rows[stmt.said.workload].terms;
        let again = now + retry_in.unwrap_or_default() + ON_THE_WAY;
        let mut may_have_run = stmt.executions.iter().filter(|x| x.fate != Fate::NeverRan);
        let harmless = may_have_run.all(|x| match terms.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated(DedupGroup::All) => again < x.sent + terms.dedup_span,
            _ => false,
        });
        let own = id.clone();
        let answer = if harmless { Action::Reject { id: own, retry_in } } else { Action::Abort { id: own } };
        self.actions.push(answer);
        self.refused.push((id.clone(), self.refusal));
        self.close(now, id);
    }
    /// The statement is over: what still runs for it is called off.
    fn close(&mut self, now: Duration, id: &Id) {
        let out = self.stmts[id].executions.iter().enumerate().filter(|(_, x)| x.fate == Fate::Out);
        let calls = out.map(|(execution, _)| Action::Cancel { id: id.clone(), execution });
        self.actions.extend(calls.filter(|_| self.site.may_cancel));
        self.forget(now, id);
    }
    fn forget(&mut self, now: Duration, id: &Id) {
        if self.stmts.get(id).is_none_or(|s| s.state != State::Over || s.out()) {
            return;
        }
        let key = self.stmts.remove(id).and_then(|s| s.said.key);
        let Some(line) = key.and_then(|key| self.lines.get_mut(&key)) else { return };
        line.stmts.retain(|s| s != id);
        if let Some(next) = line.stmts.front().cloned() {
            self.drive(now, &next, Input::Turn);
        }
    }
    fn list(&mut self, now: Duration, kind: ListKind, entries: Vec<EngineEntry>) {
        if kind == ListKind::Failed {
            (self.list_failed, self.subscribed) = (true, false);
            let pause = self.site.list_ask_every.div_f64(16.0).max(BEAT);
            self.list_due = Some(now + pause.mul_f32(1.0 + self.rng.generate::<f32>()));
            return;
        }
        if kind != ListKind::Remembered {
            (self.list_failed, self.subscribed) = (false, self.site.list_is_asked && self.list_due.is_none());
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
            let (stratum, part) = (self.stratum(&entry), self.reach.engine_share(&entry.id, 0));
            let new = || Engine::new(entry.clone(), part, now);
            let engine = self.engines.entry(entry.id.clone()).or_insert_with(new);
            (engine.stratum, engine.cores) = (stratum, cores.unwrap_or(CORES_UNTOLD));
            if entry.started > engine.entry.started {
                (engine.aside, engine.faults) = (None, 0.0);
            }
            if entry.started > Duration::ZERO {
                engine.warm_at = engine.warm_at.max(entry.started + self.site.cold.warm_after);
            }
            engine.entry = entry;
        }
        self.engines.retain(|_, e| !e.is_over());
        self.divide();
    }
    /// Guards against acting on a list that may hide a drain: name service silent, its answers lost, this process stood still.
    /// Statements that came before it was listened to have their turn now. Hurts where the service is down and nothing drains.
    fn list_asked(&mut self, now: Duration, confirmed: Option<Duration>) {
        self.lease.listened(now, confirmed);
        if confirmed.is_some() {
            self.disputed = None;
        }
        for id in std::mem::take(&mut self.unread) {
            self.drive(now, &id, Input::Turn);
        }
    }
    fn beat(&mut self, now: Duration) {
        self.actions.push(Action::Timer { mark: BEAT_MARK, delay: BEAT });
        if self.list_due.take_if(|due| now >= *due).is_some() {
            self.actions.push(Action::Watch);
        }
        if !self.stood_still(now) {
            self.call_back_silent(now);
        }
        let due = self.stmts.iter().filter(|(_, s)| match s.state {
            State::Waiting => now + BEAT + self.site.tick >= s.until,
            _ => now >= s.until,
        });
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.drive(now, &id, Input::OutOfTime);
        }
        for id in self.lines.values().filter_map(|l| l.stmts.front().cloned()).collect::<Vec<_>>() {
            self.drive(now, &id, Input::Turn);
        }
        self.lines.retain(|_, l| !l.stmts.is_empty() || now < l.rest_until);
        let kept = self.site.budget.as_ref().map_or(RATION.span, |b| b.span.max(RATION.span));
        self.taken.drain(..self.taken.partition_point(|at| *at + kept < now));
        self.extras.drain(..self.extras.partition_point(|(at, _)| *at + kept < now));
        let Chooser { reach, engines, signals, .. } = self;
        let live = |id: &str| engines.get(id).filter(|e| e.entry.state == EngineState::In);
        if reach.adjust(|id| live(id).is_some_and(|e| !e.is_bad(now, signals))) {
            self.divide();
        }
    }
    /// Which engines this gateway goes to, what it has of each, and whether that is less than a statement.
    fn divide(&mut self) {
        let all = self.engines.iter().map(|(id, e)| (id, e.stratum, e.entry.state == EngineState::In));
        self.reach.rebuild(all);
        self.engines.iter_mut().for_each(|(id, e)| e.part = self.reach.engine_share(id, e.stratum));
        self.signals.set_engines(self.engines.iter().map(|(id, e)| (id, e.part.position)));
        self.crumbs = is_crumbs(&self.site, f64::from(self.reach.max_sharers()));
    }
    /// Whom all workloads allow alike is of one, by zone where crossing is priced: each has some of each.
    fn stratum(&self, entry: &EngineEntry) -> u64 {
        let zone = if self.site.crossing_priced { &*entry.zone } else { "" };
        let misplaced = self.rows.iter().map(|row| if misplaced(row, entry) { "-" } else { "+" });
        misplaced.fold(mix(0, zone), mix)
    }
    /// Guards against a pause of this gateway's own taken for silence: that time does not count, and nobody
    /// is judged before what came meanwhile is heard, unless every beat is late.
    fn stood_still(&mut self, now: Duration) -> bool {
        let late = now.saturating_sub(std::mem::replace(&mut self.beat_due, now + BEAT));
        if late < BEAT / 5 {
            self.unjudged = false;
            return false;
        }
        let all = self.stmts.values_mut().flat_map(|s| &mut s.executions);
        let out: BTreeSet<Id> = all.filter_map(|x| x.passed_over(now, late)).collect();
        for id in out {
            self.engines.get_mut(&id).into_iter().for_each(|e| e.heard = now.min(e.heard + late));
        }
        self.unjudged = !self.unjudged;
        self.unjudged
    }
    /// Guards against engines that take work and answer nothing (hung, vanished, cut off): set aside, and
    /// what may be repeated is called back to go elsewhere. Could hurt where all that runs there is long.
    fn call_back_silent(&mut self, now: Duration) {
        let running = |s: &&Stmt| s.state == State::Running;
        let silent = |x: &Execution| {
            let engine = self.engines.get(&x.engine).filter(|_| x.fate == Fate::Out)?;
            let limit = Duration::from_secs_f64(x.usual * SILENT_TIMES * engine.pace.0.max(1.0));
            (now > x.quiet_since.max(engine.heard) + limit.max(SHORTEST_WAIT)).then(|| x.engine.clone())
        };
        let executions = self.stmts.values().filter(running).flat_map(|s| &s.executions);
        let found: BTreeSet<Id> = executions.filter_map(silent).collect();
        for id in &found {
            if let Some(engine) = self.engines.get_mut(id).filter(|e| e.aside.is_none()) {
                engine.faults = 1.0;
                engine.aside = Some((now + PAUSE.0, PAUSE.0 * 2));
                self.signals.record_failure(now, engine.mark);
            }
        }
        let called = !found.is_empty() && self.site.may_cancel && !self.trouble_is_common(now);
        for stmt in self.stmts.values().filter(running) {
            let row = &self.rows[stmt.said.workload];
            let more = called && stmt.executions.len() < row.executions;
            let again = more && row.terms.effect == Effect::Idempotent && stmt.said.kept;
            let out = stmt.executions.iter().enumerate().filter(|(_, x)| x.fate == Fate::Out);
            for (execution, _) in out.filter(|(_, x)| again && found.contains(&x.engine)) {
                self.actions.push(Action::Cancel { id: stmt.said.id.clone(), execution });
            }
        }
    }
}

impl Engine {
    /// The slice binds while this holds; without it, `OPEN_SLICES` do.
    fn pressed(&self, now: Duration) -> bool {
        let reported = self.report.is_some_and(|(_, report)| {
            report.utilisation.is_some_and(|u| u > PRESSED_UTILISATION)
                || report.held.is_some_and(|h| h > PRESSED_HELD * self.cores)
                || report.mem_waiting.is_some_and(|w| w > 0.0)
        });
        reported || self.pace.0 > PRESSED_PACE || now < self.warm_at
    }
    fn is_bad(&self, now: Duration, signals: &HealthGossip) -> bool {
        self.aside.is_some() || signals.is_unhealthy(now, self.mark)
    }
    /// Nothing speaks against it: neither faults nor a pace that shows pressure.
    fn answers_well(&self) -> bool {
        self.aside.is_none() && self.faults < FAULTS_BACK && self.pace.0 < PRESSED_PACE
    }
    fn judge(&mut self, now: Duration, outcome: Outcome, pace: Option<f64>) {
        let fault = match outcome {
            Outcome::Completed => 0.0,
            // A hung engine whose sessions are all held turns away at once and so looks empty to us.
            Outcome::Error | Outcome::Reset | Outcome::Full => 1.0,
            Outcome::Refused => 2.0,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Skipped => return,
        };
        self.faults = (self.faults + LEARN_FAULT * (fault - self.faults)).min(1.0);
        if let Some(pace) = pace {
            self.pace.show(pace, LEARN_PACE);
        }
        match self.aside {
            None if self.faults > FAULTS_ASIDE => self.aside = Some((now + PAUSE.0, PAUSE.0 * 2)),
            Some((_, pause)) if outcome != Outcome::Completed => self.aside = Some((now + pause, pause)),
            Some(_) if self.faults < FAULTS_BACK => self.aside = None,
            Some(_) => self.aside = Some((now, PAUSE.0)),
            _ => {}
        }
    }
}

/// Whether what each of so many may lend of an engine is less than the heaviest workload weighs.
fn is_crumbs(site: &Site, sharers: f64) -> bool {
    let cores = site.kinds.iter().filter_map(|k| k.cores).reduce(f64::max).unwrap_or(CORES_UNTOLD);
    let slice = cores * THREADS_PER_CORE / sharers.max(1.0);
    site.workloads.iter().any(|w| w.threads > slice)
}
/// How many executions a statement may have: two for the least important, the site's limit for the most.
fn executions_by_importance(share: f64, limit: usize) -> usize {
    let most = limit.max(1) as f64;
    (2.0 + (most - 2.0) * share).floor().clamp(1.0, most) as usize
}
