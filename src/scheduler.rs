//! The scheduler: all decisions of one gateway. Create a `Scheduler` from the configuration of its site, pass
//! it each `Event` with the time since the start, and carry out the `Action`s it returns, in order. It does
//! no I/O and shares no state. Its types are in `interface.rs`; the reasons for its decisions are in
//! `docs/design.md`.

pub(crate) mod cold_period;
mod engine_list;
mod execution_end;
mod list_lease;
mod send_guard;

use crate::interface::*;
use crate::state::*;
use bramblewharf_budgets::Demand;
use bramblewharf_turns::{health, mix, subsets, HealthGossip, Participant, RotationSlot, Subset};
use cold_period::DepartedEngines;
use list_lease::{ListLease, Stale};
use nanorand::{Rng, WyRand};
pub use send_guard::Rule;
use std::cell::{Cell, LazyCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Deref;
use std::time::Duration;

// A gateway's slice of an engine is its share of the engine's threads. Slices are fractional where one is
// less than the heaviest statement weighs; load is then taken from the engines' reports instead of from this
// gateway's own sends.

/// Threads a core that all gateways together use of an engine.
const THREADS_PER_CORE: f64 = 3.0;
/// Slices that each gateway may use of an engine that shows no pressure.
const UNPRESSURED_SLICES: f64 = 1.5;
/// Share of the slices that any statement may fill: with whole slices, with fractional ones. The rest is for
/// statements of high value density.
const BASE_FILL: (f64, f64) = (0.8, 0.7);
/// Least share that a statement may fill whose SLO time has passed.
const LATE_FILL: f64 = 0.2;
/// Steps of the capacity by which engines that fit are compared: the least loaded step is preferred.
const LOAD_STEPS: f64 = 2.0;

/// With fractional slices: seconds after which a reported load has decayed to 1/e.
const REPORT_DECAY_SECONDS: f64 = 3.0;
/// With fractional slices: mean slowdown above which capacity shrinks.
const SHRINK_SLOWDOWN: f64 = 1.5;
/// With fractional slices: highest slowdown that is taken into account.
const MAX_SLOWDOWN: f64 = 4.0;

/// Bounds of the coefficient by which a statement's estimate scales its weight.
const COEFFICIENT: (f64, f64) = (0.5, 4.0);

/// An engine is under pressure above this utilisation.
const PRESSURE_UTILISATION: f64 = 0.9;
/// An engine is under pressure with more active statements a core.
const PRESSURE_STATEMENTS_PER_CORE: f64 = 1.5;
/// An engine is under pressure above this slowdown.
const PRESSURE_SLOWDOWN: f64 = 3.0;
/// Below this utilisation an execution shows how long it takes on an engine with free capacity.
const SPARE_UTILISATION: f64 = 0.7;

/// Weight of a new sample in the moving averages of a workload.
const LEARNING_RATE: f64 = 0.05;
/// Weight of a new sample in an engine's slowdown.
const SLOWDOWN_LEARNING_RATE: f64 = 0.1;
/// Weight of a new sample in an engine's fault level.
const FAULT_LEARNING_RATE: f64 = 0.2;

/// Fault level above which an engine is ejected.
const EJECT_FAULT_LEVEL: f64 = 0.5;
/// Fault level below which an ejected engine is readmitted.
const READMIT_FAULT_LEVEL: f64 = 0.2;
/// First and longest pause between two probes of an ejected engine.
const EJECTION_PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));
/// Of the gateways that share reports of an unhealthy engine, one in this many may probe it in each such
/// span.
const PROBE_ROTATION: (Duration, u64) = (Duration::from_millis(500), 64);

/// Multiple of the expected time after which an engine without any answer counts as silent.
const SILENCE_FACTOR: f64 = 4.0;
/// Multiple of the expected time after which an execution times out that may be repeated.
const TIMEOUT_FACTOR: f64 = 10.0;
/// Lower bound of both: shorter times can't be told from late timers and scheduling pauses.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Part of the deduplication window that a repeat may need to arrive: TCP retransmits a lost segment after
/// 200 ms.
const TRANSIT_MARGIN: Duration = Duration::from_millis(250);
/// Built-in budget for further executions, in addition to one that the site states.
const BUILT_IN_RETRY_BUDGET: RetryBudget =
    RetryBudget { window: Duration::from_secs(5), min_retries: 10.0, retry_ratio: 0.3 };

/// Share of a cold engine's limit that is used.
const COLD_SAFETY_SHARE: f64 = 0.9;
/// With fractional slices: share of a cold engine's limit for light statements, as up to one and a half times
/// that may fall into one window.
const COLD_LIGHT_SHARE: f64 = 0.35;
/// Share of its cores that a warm engine surely works at.
const WARM_WORK_PER_CORE: f64 = 0.75;
/// Cores of an engine whose kind does not state them.
const DEFAULT_CORES: f64 = 8.0;

/// Loads of one table group that an engine gets at a time.
const MAX_LOADS_PER_GROUP: u32 = 2;
/// With fractional slices: one engine in this many is preferred for the loads of a table group.
const GROUP_HOME_RATIO: u64 = 2;
/// Source of a load that an execution's note reported, and how long it counts.
const NOTE_SOURCE: (LoadSource, Duration) = (LoadSource(u64::MAX - 1), Duration::from_secs(1));
/// Source of this gateway's own loads, and how long they count.
const OWN_SOURCE: (LoadSource, Duration) = (LoadSource(u64::MAX), Duration::from_secs(60));
/// Most entries of loads that are kept of an engine; more loads than an engine runs at a time.
const MAX_GROUP_LOAD_ENTRIES: usize = 64;
/// Most gateways that are notified of a change of the loads on an engine.
const MAX_LOAD_RECIPIENTS: u32 = 64;
/// How long a load counts that another gateway reported.
const PEER_LOAD_TTL: Duration = Duration::from_secs(10);

/// Least value density, relative to the densest workload, for priorities 1, 2 and 3.
const PRIORITY_THRESHOLDS: [f64; 3] = [0.07, 0.2, 0.4];
/// Memory that is asked for, over the corrected estimate.
const MEMORY_MARGIN: f64 = 2.0;

/// Interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Mark of the timer that drives the ticks.
const TICK_MARK: u64 = 0;

/// Input of the statement state machine.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input { Ready, Sent, Blocked, NoEngine, ExecutionFailed, AnswerStarted, Finished, DeadlinePassed }
/// What a transition of the statement state machine has the scheduler do.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step { Nothing, SelectEngine, GiveUp, Close }
/// Transitions of a statement: state, input, next state, step. A pair that is not listed changes nothing.
#[rustfmt::skip]
const TRANSITIONS: &[(StatementState, Input, StatementState, Step)] = &[
    (StatementState::Waiting,   Input::Ready,           StatementState::Selecting, Step::SelectEngine),
    (StatementState::Waiting,   Input::DeadlinePassed,  StatementState::Done,      Step::GiveUp),
    (StatementState::Waiting,   Input::Finished,        StatementState::Done,      Step::Close),
    (StatementState::Selecting, Input::Sent,            StatementState::Running,   Step::Nothing),
    (StatementState::Selecting, Input::Blocked,         StatementState::Waiting,   Step::Nothing),
    (StatementState::Selecting, Input::NoEngine,        StatementState::Done,      Step::GiveUp),
    (StatementState::Running,   Input::Finished,        StatementState::Done,      Step::Close),
    (StatementState::Running,   Input::ExecutionFailed, StatementState::Selecting, Step::SelectEngine),
    (StatementState::Running,   Input::AnswerStarted,   StatementState::Streaming, Step::Nothing),
    (StatementState::Running,   Input::DeadlinePassed,  StatementState::Done,      Step::GiveUp),
    (StatementState::Streaming, Input::Finished,        StatementState::Done,      Step::Close),
    (StatementState::Streaming, Input::ExecutionFailed, StatementState::Done,      Step::GiveUp),
];

/// Why a statement got no further execution and was given up, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// No engine is on the list.
    NoEngine,
    /// No engine's residual covers the weight, or those whose residual does are ejected.
    NoneFits,
    /// An engine would fit, and this rule forbids it.
    Forbidden(Rule),
    /// It has had all the executions that its workload may have.
    NoExecutionLeft,
    /// Its deadline has passed.
    OutOfTime,
    /// The stream of its answer broke off.
    Broken,
}

/// Decides where and when the statements of one gateway are executed.
pub struct Scheduler {
    site: Site,
    rng: WyRand,
    /// Statistics of each workload, by its index.
    workload_stats: Vec<WorkloadStats>,
    /// An engine is removed once it is off the list and nothing of this gateway runs there.
    engines: BTreeMap<Id, Engine>,
    /// What is remembered of removed engines.
    departed: DepartedEngines,
    /// A statement is removed once it is over and its last execution has its outcome.
    statements: BTreeMap<Id, Statement>,
    /// Statements of ordered workloads, by key.
    ordering_queues: BTreeMap<Id, OrderingQueue>,
    /// When statements were accepted; entries expire with the window of the retry budget.
    accepted: VecDeque<Duration>,
    /// When further executions were sent, and whether they count against the built-in budget; entries expire
    /// likewise.
    retries: VecDeque<(Duration, bool)>,
    /// When the next tick is due.
    tick_due: Duration,
    /// The last tick was late, so that engines were not judged for silence.
    skipped_judging: bool,
    /// Engine of the last send, where the next selection starts.
    last_engine: Option<Id>,
    /// When this scheduler was created.
    started_at: Duration,
    /// During the shutdown: when executions have to be over.
    closes_at: Option<Duration>,
    /// A slice is less than the heaviest workload weighs.
    fractional_slices: bool,
    /// Mean of the loads that engines report, in threads a core, and when it was updated.
    mean_reported_load: Mean,
    reported_at: Duration,
    /// Mean slowdown over all engines.
    mean_slowdown: Mean,
    /// What gateways report to one another of engines.
    signals: HealthGossip,
    /// Which engines this gateway uses.
    subset: Subset,
    /// When to request the list next; `None` while an answer is due or the list is subscribed.
    list_due: Option<Duration>,
    list_subscribed: bool,
    list_updated_at: Duration,
    list_failed: bool,
    /// Where the list is polled: how long it may be used.
    list_lease: ListLease,
    /// Statements that wait until the answers of the name service have been read.
    awaiting_list: Vec<Id>,
    /// While the last list received may be older than the one in force: the engines that it has up.
    conflicting_list: Option<BTreeSet<Id>>,
    /// What is left of this gateway's parts of the fleet's budgets.
    budget_headroom: Headroom,
    /// Actions of the event at hand.
    actions: Vec<Action>,
    /// Why the statement at hand has no engine.
    refusal: Refusal,
    /// Statements that were given up by the event at hand.
    refusals: Vec<(Id, Refusal)>,
}

impl Scheduler {
    /// Creates a scheduler; the actions start its ticks and, where the list is polled, request it.
    pub fn start(site: Site, seed: u64, now: Duration) -> (Scheduler, Vec<Action>) {
        let top = site.workloads.iter().map(|w| w.importance).fold(f64::MIN_POSITIVE, f64::max);
        let workload_stats = site.workloads.iter().map(|config| {
            let max_executions = executions_by_importance(config.importance / top, site.max_executions);
            WorkloadStats::new(config.clone(), max_executions, config.slo_time.as_secs_f64() / 2.0)
        });
        let draw = Participant { index: site.gateway, count: site.gateways };
        let fractional_slices = slices_are_fractional(&site, f64::from(site.gateways));
        let terms = health::Config::new(draw, &site.zone, site.can_gossip && fractional_slices);
        #[rustfmt::skip]
        let mut scheduler = Scheduler {
            workload_stats: workload_stats.collect(), rng: WyRand::new_seed(seed), last_engine: None, actions: Vec::new(),
            engines: BTreeMap::new(), departed: DepartedEngines::default(), statements: BTreeMap::new(), ordering_queues: BTreeMap::new(),
            accepted: VecDeque::new(), retries: VecDeque::new(), tick_due: now,
            skipped_judging: false, fractional_slices, mean_reported_load: Mean(0.0, false), reported_at: now, mean_slowdown: Mean(1.0, false),
            subset: Subset::start(subsets::Config::default(), draw), signals: HealthGossip::start(terms, seed),
            list_due: site.list_is_polled.then_some(now), list_subscribed: false, list_updated_at: now, list_failed: false,
            list_lease: ListLease::new(site.drain_grace), awaiting_list: Vec::new(), conflicting_list: None,
            budget_headroom: Headroom::default(), started_at: now, closes_at: None, refusal: Refusal::NoEngine, refusals: Vec::new(),
            site,
        };
        scheduler.tick(now);
        let first = std::mem::take(&mut scheduler.actions);
        (scheduler, first)
    }

    /// The statements that were given up by the last event, and why.
    pub fn refusals(&self) -> &[(Id, Refusal)] {
        &self.refusals
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn handle_event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.refusals.clear();
        match event {
            Event::EngineList(kind, entries) => self.update_list(now, kind, entries),
            Event::ListPolled(confirmed) => self.list_polled(now, confirmed),
            Event::ListConflict(up) => self.conflicting_list = Some(up.into_iter().collect()),
            Event::ListPollingStopped => self.list_lease.release(),
            Event::Statement(request) => self.accept(now, request),
            Event::ClientDisconnected(id) => self.advance(now, &id, Input::Finished),
            Event::ClientAway(id, away) => {
                self.statements.get_mut(&id).into_iter().for_each(|s| s.client_away = away)
            }
            Event::Closing(by) => self.closes_at = Some(by),
            Event::BodyLost(id) => {
                self.statements.get_mut(&id).into_iter().for_each(|s| s.request.replayable = false)
            }
            Event::ExecutionEnded(end) => self.execution_ended(now, end),
            Event::AnswerStarted { id, engine, .. } => {
                self.record_sign_of_life(now, &engine);
                self.advance(now, &id, Input::AnswerStarted);
            }
            Event::ExecutionNoted { id, engine, note, .. } => {
                self.record_sign_of_life(now, &engine);
                let group = self.statements.get(&id).and_then(|s| s.request.table_group);
                let group = group.filter(|_| note == Note::WaitsForLoad);
                if let (Some(group), Some(at)) = (group, self.engines.get_mut(&engine)) {
                    let expires = now + NOTE_SOURCE.1;
                    at.group_loads.record((group, NOTE_SOURCE.0), 1, expires, MAX_GROUP_LOAD_ENTRIES);
                }
            }
            Event::PeerMessage { from, message } => self.peer_message(now, from, &message),
            Event::BudgetHeadroom(headroom) => self.budget_headroom = headroom,
            Event::Timer(TICK_MARK) => self.tick(now),
            Event::Timer(_) | Event::Unreadable => {}
        }
        let messages = self.signals.take_outgoing().into_iter();
        self.actions.extend(messages.map(|(to, message)| Action::Gossip { to: Some(to), message }));
        std::mem::take(&mut self.actions)
    }

    /// Records the loads that another gateway reports; its other reports are weighed by `signals`.
    fn peer_message(&mut self, now: Duration, from: u32, message: &GossipMessage) {
        self.signals.receive(now, from, message);
        for word in &message.observations {
            let Observation::Loads { engine, group, loads } = word else { continue };
            if let Some(at) = self.signals.id(*engine).and_then(|id| self.engines.get_mut(id)) {
                let (key, expires) = ((*group, LoadSource(from.into())), now + PEER_LOAD_TTL);
                at.group_loads.record(key, (*loads).into(), expires, MAX_GROUP_LOAD_ENTRIES);
            }
        }
    }

    /// Runs the state machine of a statement: a step may produce the next input.
    fn advance(&mut self, now: Duration, id: &Id, input: Input) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let Some(statement) = self.statements.get_mut(id) else { return };
            let Some(transition) = TRANSITIONS.iter().find(|r| r.0 == statement.state && r.1 == input) else {
                return;
            };
            statement.state = transition.2;
            match input {
                Input::DeadlinePassed => self.refusal = Refusal::OutOfTime,
                Input::ExecutionFailed => self.refusal = Refusal::Broken,
                _ => {}
            }
            match transition.3 {
                Step::Nothing => {}
                Step::SelectEngine => next = Some(self.select_engine(now, id)),
                Step::GiveUp => self.give_up(now, id),
                Step::Close => self.close(now, id),
            }
        }
    }

    /// Accepts a new statement and tries to send it at once.
    fn accept(&mut self, now: Duration, request: NewStatement) {
        self.accepted.push_back(now);
        let Some(stats) = self.workload_stats.get_mut(request.workload) else { return };
        stats.accepted += 1.0;
        let coefficient = request.est_work.map_or(1.0, |estimate| {
            stats.estimate.update(estimate.as_secs_f64(), LEARNING_RATE);
            (estimate.as_secs_f64() / stats.estimate.0).clamp(COEFFICIENT.0, COEFFICIENT.1)
        });
        let time_left = request.time_left.as_secs_f64();
        let usual = if stats.usual_time_left.1 { stats.usual_time_left.0 } else { time_left };
        stats.usual_time_left.update(usual * if time_left > usual { 1.15 } else { 0.95 }, LEARNING_RATE);
        let age = usual - time_left;
        let expected_time = stats.unloaded_elapsed.0 * coefficient;
        let slo = stats.config.slo_time.as_secs_f64() + stats.config.slo_stretch * expected_time;
        let late = time_left > slo && age + expected_time > slo;
        let value_share = if late { stats.config.late_value } else { 1.0 };
        let id = request.id.clone();
        if let Some(key) = request.key.clone().filter(|_| stats.config.ordered) {
            self.ordering_queues.entry(key).or_default().statements.push_back(id.clone());
        }
        self.statements.insert(id.clone(), Statement::new(request, now, coefficient, value_share));
        self.advance(now, &id, Input::Ready);
    }

    /// Number of engines that were examined since the start.
    pub fn engines_examined(&self) -> u64 {
        self.subset.visited.get()
    }

    /// Number of engines that are remembered after they have left the list.
    pub fn departed_engines(&self) -> usize {
        self.departed.len()
    }

    /// Number of entries that are kept of loads of table groups, over all engines.
    pub fn group_load_entries(&self) -> usize {
        self.engines.values().map(|engine| engine.group_loads.len()).sum()
    }

    /// Selects an engine by round robin, starting after the last one used: of the engines that fit, the first
    /// with the lowest penalty.
    fn select_engine(&mut self, now: Duration, id: &Id) -> Input {
        let statement = &self.statements[id];
        if statement.is_in_flight() {
            return Input::Sent;
        }
        if !self.is_next_in_order(now, statement) {
            return Input::Blocked;
        }
        // A statement whose deadline comes before the next two ticks doesn't wait for the list.
        if self.list_lease.stale(now) == Some(Stale::Unread)
            && now + TICK_INTERVAL * 2 + self.site.tick < statement.deadline
        {
            self.awaiting_list.push(id.clone());
            return Input::Blocked;
        }
        let subset = &self.subset;
        let first = || subset.engines().nth(self.site.gateway as usize % subset.width().max(1));
        let Some(start) = self.last_engine.as_ref().or_else(first) else {
            self.refusal = Refusal::NoEngine;
            return Input::NoEngine;
        };
        let ran = statement.executions.iter().filter(|x| x.state != ExecutionState::NeverRan).count();
        if ran >= self.workload_stats[statement.request.workload].max_executions {
            self.refusal = Refusal::NoExecutionLeft;
            return Input::NoEngine;
        }
        let forbidden = Cell::new(None);
        let widespread = LazyCell::new(|| self.failure_is_widespread(now));
        let may = |to: &Id, e: &Engine| {
            let rule = self.fits(now, statement, e, &widespread).then(|| self.forbids(now, id, to));
            forbidden.set(rule.flatten().or(forbidden.get()));
            rule == Some(None)
        };
        let candidates = subset.engines_after(start).filter_map(|to| self.engines.get_key_value(to));
        let fit =
            candidates.filter(|(to, e)| may(to, e)).min_by_key(|(_, e)| self.penalty(now, statement, e));
        let fit = fit.map(|(to, _)| to.clone());
        self.refusal = forbidden.get().map_or(Refusal::NoneFits, Refusal::Forbidden);
        fit.map_or(Input::NoEngine, |engine| self.send(now, id, engine))
    }

    /// Whether the engine accepts traffic and its residual covers the weight. A statement heavier than the
    /// whole capacity fits where nothing of this gateway runs.
    fn fits(
        &self,
        now: Duration,
        statement: &Statement,
        engine: &Engine,
        widespread: &impl Deref<Target = bool>,
    ) -> bool {
        let config = &self.workload_stats[statement.request.workload].config;
        let group = statement.request.table_group.filter(|_| config.holds_group);
        let crowded = group.is_some_and(|group| engine.group_loads.total(now, group) >= MAX_LOADS_PER_GROUP);
        if crowded || !(self.may_use(now, engine, config.effect) || **widespread) {
            return false;
        }
        let base_fill = if self.fractional_slices { BASE_FILL.1 } else { BASE_FILL.0 };
        let slices =
            if engine.is_under_pressure(now) || self.fractional_slices { 1.0 } else { UNPRESSURED_SLICES };
        let slices = slices
            * (base_fill + (1.0 - base_fill) * self.value_density(statement).min(1.0))
            * statement.value_share.max(LATE_FILL);
        let capacity = self.capacity(now, engine) * slices;
        let (load, weight) = (self.load(now, engine), self.weight(statement));
        load + weight <= capacity || (weight > capacity && engine.is_idle())
    }

    /// Load of an engine: this gateway's executions in flight; with fractional slices, the reported load,
    /// decayed by its age, and what this gateway has sent since.
    fn load(&self, now: Duration, engine: &Engine) -> f64 {
        if !self.fractional_slices || engine.cold.is_cold(now) {
            return engine.load;
        }
        let decay = |at| (-(now - at).as_secs_f64() / REPORT_DECAY_SECONDS).exp();
        let mean = self.mean_reported_load.0 * decay(self.reported_at);
        let reported =
            engine.reported_load.map_or(mean, |(at, reported)| mean + (reported - mean) * decay(at));
        (reported * engine.cores + engine.sent_since_report * engine.part.sharers.sqrt()).max(engine.load)
    }

    /// Limits traffic to engines that fail, refuse, reset or fall silent, whatever the cause. An ejected
    /// engine is probed with one statement that may be repeated in each pause; a probe that completes allows
    /// the next at once. An engine that other gateways report as unhealthy is probed by a few gateways at a
    /// time, until these report it healthy.
    fn may_use(&self, now: Duration, engine: &Engine, effect: Effect) -> bool {
        let unhealthy = self.signals.is_unhealthy(now, engine.mark);
        if engine.ejected.is_none() && !unhealthy {
            return true;
        }
        let draw = engine.part.participant;
        let slot = RotationSlot {
            duration: PROBE_ROTATION.0,
            concurrent: (u64::from(draw.count) / PROBE_ROTATION.1).max(1),
        };
        let due = engine.ejected.is_none_or(|(at, _)| now >= at);
        let may = due && (!unhealthy || draw.has_slot(slot, &engine.entry.id, now));
        effect != Effect::NonIdempotent && (may || self.signals.is_reported_healthy(now, engine.mark))
    }

    /// Penalty of an engine that fits. From the lowest weight to the highest: another zone where crossing is
    /// priced, load, a load that holds the table group for a statement that would wait for it, an unhealthy
    /// engine for a further execution. With fractional slices, loads prefer the home engines of their table
    /// group, and statements that would wait avoid them.
    fn penalty(&self, now: Duration, statement: &Statement, engine: &Engine) -> u32 {
        let used = (self.load(now, engine) + self.weight(statement)) / self.capacity(now, engine);
        let steps = (used * LOAD_STEPS).ceil().clamp(0.0, 99.0) as u32;
        let config = &self.workload_stats[statement.request.workload].config;
        let held = statement.request.table_group.is_some_and(|group| {
            let home =
                self.fractional_slices && mix(group, &engine.entry.id).is_multiple_of(GROUP_HOME_RATIO);
            config.waits_for_group && (home || engine.group_loads.total(now, group) > 0)
                || self.fractional_slices && config.holds_group && !home
        });
        let other_zone = self.site.cross_zone_priced && engine.entry.zone != self.site.zone;
        let probe = engine.is_unhealthy(now, &self.signals) && !statement.executions.is_empty();
        u32::from(probe) * 10000 + u32::from(held) * 1000 + steps * 2 + u32::from(other_zone)
    }

    /// Threads that a statement is expected to use.
    fn weight(&self, statement: &Statement) -> f64 {
        self.workload_stats[statement.request.workload].config.threads * statement.coefficient
    }

    /// This gateway's share of an engine: from the fleet's membership, else from the configuration; among the
    /// gateways that share the engine at most an equal one.
    fn share(&self, now: Duration, engine: &Engine) -> f64 {
        let (all, sharers) = (f64::from(self.site.gateways.max(1)), engine.part.sharers);
        let share = self.budget_headroom.engine_share(now).unwrap_or(1.0 / all) * (all / sharers);
        share.min(if sharers < all { 1.0 / sharers } else { 1.0 })
    }

    /// Threads that this gateway may use of an engine.
    fn capacity(&self, now: Duration, engine: &Engine) -> f64 {
        if self.fractional_slices {
            return engine.cores * THREADS_PER_CORE / (self.mean_slowdown.0 / SHRINK_SLOWDOWN).max(1.0);
        }
        engine.cores * THREADS_PER_CORE * self.share(now, engine)
    }

    /// When at least half of the engines look unhealthy, and most of the others are not responsive either,
    /// the cause is assumed to be common and no engine is avoided. A lost zone is no common cause while the
    /// other engines are responsive.
    fn failure_is_widespread(&self, now: Duration) -> bool {
        let live = self.subset.engines().filter_map(|id| self.engines.get(id));
        let live = live.filter(|e| e.entry.state == EngineState::In);
        let (all, unhealthy, responsive) = live.fold((0, 0, 0), |(all, unhealthy, responsive), e| {
            let bad = e.is_unhealthy(now, &self.signals);
            (all + 1, unhealthy + usize::from(bad), responsive + usize::from(!bad && e.is_responsive()))
        });
        unhealthy * 2 >= all && responsive * 2 <= all - unhealthy
    }

    /// Sends a statement to an engine. The only place that sends; it checks the send guard first.
    fn send(&mut self, now: Duration, id: &Id, engine: Id) -> Input {
        if self.forbids(now, id, &engine).is_some() {
            return Input::NoEngine;
        }
        let (statement, weight) = (&self.statements[id], self.weight(&self.statements[id]));
        let stats = &self.workload_stats[statement.request.workload];
        let expected_time = stats.elapsed.0 * statement.coefficient;
        let time_left = statement.deadline - now - self.site.tick;
        let more = statement.request.replayable && statement.executions.len() + 1 < stats.max_executions;
        let may_repeat = more && stats.config.effect != Effect::NonIdempotent;
        let retry_timeout = Duration::from_secs_f64(expected_time * TIMEOUT_FACTOR).max(MIN_WAIT);
        let timeout = if may_repeat && self.retry_budget_allows(now, false) {
            time_left.min(retry_timeout)
        } else {
            time_left
        };
        let (mem_mb, priority) = (self.memory_grant(statement, &engine), self.priority(statement));
        let (work, group) =
            (stats.work.0, statement.request.table_group.filter(|_| stats.config.holds_group));
        if let Some(to) = self.engines.get(&engine).filter(|_| !self.budget_headroom.is_off()) {
            let demand = self.demand(statement, to);
            let usage = self.budget_headroom.charge(&demand);
            self.actions.push(Action::BudgetUsage { id: id.clone(), usage });
        }
        let Some(to) = self.engines.get_mut(&engine) else { return Input::NoEngine };
        to.load += weight;
        to.sent_since_report += weight;
        to.ejected = to.ejected.map(|(_, pause)| (now + pause, (pause * 2).min(EJECTION_PAUSE.1)));
        if to.cold.is_cold(now) {
            to.cold_sends.retain(|(at, _)| *at + self.site.slow_start.window >= now);
            to.cold_sends.push_back((now, work));
        }
        let execution = Execution::new(&to.entry, now, weight, expected_time);
        self.adjust_own_loads(now, &engine, group, 1);
        let Some(statement) = self.statements.get_mut(id) else { return Input::NoEngine };
        if !statement.executions.is_empty() {
            self.retries.push_back((now, !statement.reached_no_engine()));
        }
        statement.executions.push(execution);
        self.last_engine = Some(engine.clone());
        if self.site.honors_priorities || mem_mb > 0.0 {
            self.actions.push(Action::Resources { id: id.clone(), mem_mb, priority });
        }
        self.actions.push(Action::Send { id: id.clone(), engine, timeout });
        Input::Sent
    }

    /// Memory to ask for: the estimate, corrected by the ratio observed so far; zero leaves it to the engine.
    fn memory_grant(&self, statement: &Statement, engine: &Id) -> f64 {
        let ratio = &self.workload_stats[statement.request.workload].memory_ratio;
        let Some(estimate) =
            statement.request.est_mem_mb.filter(|_| self.site.honors_memory_grants && ratio.1)
        else {
            return 0.0;
        };
        let kind = &self.engines[engine].entry.kind;
        let mem = self.site.kinds.iter().find(|k| k.name == *kind).and_then(|k| k.mem_mb);
        (estimate * ratio.0 * MEMORY_MARGIN).min(mem.unwrap_or(f64::MAX) * self.site.max_grant_share)
    }

    /// Priority on the engine, by value density.
    fn priority(&self, statement: &Statement) -> u8 {
        let share = self.value_density(statement);
        PRIORITY_THRESHOLDS.iter().filter(|least| share >= **least).count() as u8
    }

    /// Importance of a statement for its work, relative to the densest workload.
    fn value_density(&self, statement: &Statement) -> f64 {
        let density = |stats: &WorkloadStats| stats.config.importance / stats.work.0.max(1e-6);
        let top = self.workload_stats.iter().map(density).fold(f64::MIN_POSITIVE, f64::max);
        density(&self.workload_stats[statement.request.workload]) / statement.coefficient / top
    }

    /// Records that an engine has answered something, so that it doesn't count as silent.
    fn record_sign_of_life(&mut self, now: Duration, engine: &Id) {
        self.engines.get_mut(engine).into_iter().for_each(|engine| engine.last_heard = now);
    }

    /// Changes the number of this gateway's loads of a table group on an engine, and notifies other gateways
    /// where that is allowed.
    fn adjust_own_loads(&mut self, now: Duration, id: &Id, group: Option<u64>, change: i32) {
        let (Some(group), Some(engine)) = (group, self.engines.get_mut(id)) else { return };
        let count = engine.group_loads.of_source(group, OWN_SOURCE.0).saturating_add_signed(change);
        let (key, expires) = ((group, OWN_SOURCE.0), now + OWN_SOURCE.1);
        engine.group_loads.record(key, count, expires, MAX_GROUP_LOAD_ENTRIES);
        let (loads, spot, others) =
            (count.min(255) as u8, engine.part.position, self.site.gateways.saturating_sub(1));
        let message = GossipMessage {
            observations: vec![Observation::Loads { engine: engine.mark, group, loads }],
            ..GossipMessage::default()
        };
        let gossip = |to| Action::Gossip { to, message: message.clone() };
        if self.site.can_gossip && others <= MAX_LOAD_RECIPIENTS {
            self.actions.push(gossip(None));
        } else if self.site.can_gossip {
            let recipients =
                (0..MAX_LOAD_RECIPIENTS).filter_map(|_| spot.random_sharer(others + 1, &mut self.rng));
            self.actions.extend(recipients.map(|to| gossip(Some(to))));
        }
    }

    /// Delay that a rejection advises, spread at random around the time that a statement of the workload
    /// takes.
    pub fn retry_in(&mut self, workload: usize) -> Option<Duration> {
        let usual = self.workload_stats.get(workload).map_or(0.0, |stats| stats.elapsed.0);
        let spread = Duration::from_secs_f64(usual).mul_f32(0.5 + self.rng.generate::<f32>());
        self.site.max_retry_after.map(|most| most.min(spread))
    }

    /// Gives the final answer at once: a rejection with advice on when to retry if a retry is safe, else an
    /// abort. A retry is not safe if engines may no longer remember the statement when it arrives.
    fn give_up(&mut self, now: Duration, id: &Id) {
        let retry_in = self.retry_in(self.statements[id].request.workload);
        let statement = &self.statements[id];
        let config = &self.workload_stats[statement.request.workload].config;
        let retry_arrives = now + retry_in.unwrap_or_default() + TRANSIT_MARGIN;
        let mut may_have_run = statement.executions.iter().filter(|x| x.state != ExecutionState::NeverRan);
        let safe = may_have_run.all(|x| match config.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated(DedupScope::All) => retry_arrives < x.sent_at + config.dedup_window,
            _ => false,
        });
        let own = id.clone();
        let answer = if safe { Action::Reject { id: own, retry_in } } else { Action::Abort { id: own } };
        self.actions.push(answer);
        self.refusals.push((id.clone(), self.refusal));
        self.close(now, id);
    }

    /// Ends a statement: its executions in flight are cancelled.
    fn close(&mut self, now: Duration, id: &Id) {
        let in_flight = self.statements[id]
            .executions
            .iter()
            .enumerate()
            .filter(|(_, x)| x.state == ExecutionState::InFlight);
        let cancels = in_flight.map(|(execution, _)| Action::Cancel { id: id.clone(), execution });
        self.actions.extend(cancels.filter(|_| self.site.can_cancel));
        self.remove_if_done(now, id);
    }

    /// Removes a statement that is over and has nothing in flight; the next of its ordering queue becomes
    /// ready.
    fn remove_if_done(&mut self, now: Duration, id: &Id) {
        if self.statements.get(id).is_none_or(|s| s.state != StatementState::Done || s.is_in_flight()) {
            return;
        }
        let key = self.statements.remove(id).and_then(|s| s.request.key);
        let Some(queue) = key.and_then(|key| self.ordering_queues.get_mut(&key)) else { return };
        queue.statements.retain(|s| s != id);
        if let Some(next) = queue.statements.front().cloned() {
            self.advance(now, &next, Input::Ready);
        }
    }

    /// Periodic work: requests the list, finds silent engines, enforces deadlines, unblocks queues and drops
    /// what has expired.
    fn tick(&mut self, now: Duration) {
        self.actions.push(Action::Timer { mark: TICK_MARK, delay: TICK_INTERVAL });
        if self.list_due.take_if(|due| now >= *due).is_some() {
            self.actions.push(Action::RequestList);
        }
        if !self.was_paused(now) {
            self.eject_silent_engines(now);
        }
        let due = self.statements.iter().filter(|(_, s)| match s.state {
            StatementState::Waiting => now + TICK_INTERVAL + self.site.tick >= s.deadline,
            _ => now >= s.deadline,
        });
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.advance(now, &id, Input::DeadlinePassed);
        }
        for id in
            self.ordering_queues.values().filter_map(|q| q.statements.front().cloned()).collect::<Vec<_>>()
        {
            self.advance(now, &id, Input::Ready);
        }
        self.ordering_queues.retain(|_, q| !q.statements.is_empty() || now < q.blocked_until);
        let retention = self
            .site
            .retry_budget
            .as_ref()
            .map_or(BUILT_IN_RETRY_BUDGET.window, |b| b.window.max(BUILT_IN_RETRY_BUDGET.window));
        self.accepted.drain(..self.accepted.partition_point(|at| *at + retention < now));
        self.retries.drain(..self.retries.partition_point(|(at, _)| *at + retention < now));
        let Scheduler { subset, engines, signals, .. } = self;
        let live = |id: &str| engines.get(id).filter(|e| e.entry.state == EngineState::In);
        if subset.adjust(|id| live(id).is_some_and(|e| !e.is_unhealthy(now, signals))) {
            self.update_subset();
        }
    }

    /// Detects a pause of this gateway, which must not be taken for silence of engines: the time doesn't
    /// count, and no engine is judged before what arrived meanwhile is processed, unless every tick is late.
    fn was_paused(&mut self, now: Duration) -> bool {
        let pause = now.saturating_sub(std::mem::replace(&mut self.tick_due, now + TICK_INTERVAL));
        if pause < TICK_INTERVAL / 5 {
            self.skipped_judging = false;
            return false;
        }
        let all = self.statements.values_mut().flat_map(|s| &mut s.executions);
        let in_flight: BTreeSet<Id> = all.filter_map(|x| x.exclude_pause(now, pause)).collect();
        for id in in_flight {
            self.engines.get_mut(&id).into_iter().for_each(|e| e.last_heard = now.min(e.last_heard + pause));
        }
        self.skipped_judging = !self.skipped_judging;
        self.skipped_judging
    }

    /// Ejects engines that accept work and answer nothing (hung, vanished, cut off), and cancels what may be
    /// repeated elsewhere. May eject a healthy engine that runs long statements only.
    fn eject_silent_engines(&mut self, now: Duration) {
        let running = |s: &&Statement| s.state == StatementState::Running;
        let silent = |x: &Execution| {
            let engine = self.engines.get(&x.engine).filter(|_| x.state == ExecutionState::InFlight)?;
            let limit =
                Duration::from_secs_f64(x.expected_time * SILENCE_FACTOR * engine.slowdown.0.max(1.0));
            (now > x.silent_since.max(engine.last_heard) + limit.max(MIN_WAIT)).then(|| x.engine.clone())
        };
        let executions = self.statements.values().filter(running).flat_map(|s| &s.executions);
        let found: BTreeSet<Id> = executions.filter_map(silent).collect();
        for id in &found {
            if let Some(engine) = self.engines.get_mut(id).filter(|e| e.ejected.is_none()) {
                engine.fault_level = 1.0;
                engine.ejected = Some((now + EJECTION_PAUSE.0, EJECTION_PAUSE.0 * 2));
                self.signals.record_failure(now, engine.mark);
            }
        }
        let may_cancel = !found.is_empty() && self.site.can_cancel && !self.failure_is_widespread(now);
        for statement in self.statements.values().filter(running) {
            let stats = &self.workload_stats[statement.request.workload];
            let more = may_cancel && statement.executions.len() < stats.max_executions;
            let may_repeat =
                more && stats.config.effect == Effect::Idempotent && statement.request.replayable;
            let in_flight =
                statement.executions.iter().enumerate().filter(|(_, x)| x.state == ExecutionState::InFlight);
            for (execution, _) in in_flight.filter(|(_, x)| may_repeat && found.contains(&x.engine)) {
                self.actions.push(Action::Cancel { id: statement.request.id.clone(), execution });
            }
        }
    }
}

impl Engine {
    /// Under pressure each gateway is limited to its slice; otherwise to `UNPRESSURED_SLICES`.
    fn is_under_pressure(&self, now: Duration) -> bool {
        let reported = self.report.is_some_and(|(_, report)| {
            report.utilisation.is_some_and(|u| u > PRESSURE_UTILISATION)
                || report.active_statements.is_some_and(|a| a > PRESSURE_STATEMENTS_PER_CORE * self.cores)
                || report.mem_waiting.is_some_and(|w| w > 0.0)
        });
        reported || self.slowdown.0 > PRESSURE_SLOWDOWN || self.cold.is_cold(now)
    }

    /// It is ejected, or other gateways report it as unhealthy.
    fn is_unhealthy(&self, now: Duration, signals: &HealthGossip) -> bool {
        self.ejected.is_some() || signals.is_unhealthy(now, self.mark)
    }

    /// Neither faults nor a slowdown that shows pressure.
    fn is_responsive(&self) -> bool {
        self.ejected.is_none()
            && self.fault_level < READMIT_FAULT_LEVEL
            && self.slowdown.0 < PRESSURE_SLOWDOWN
    }

    /// Updates the fault level and the slowdown, and ejects or readmits the engine.
    fn record_outcome(&mut self, now: Duration, outcome: Outcome, slowdown: Option<f64>) {
        let fault = match outcome {
            Outcome::Completed => 0.0,
            // A hung engine with all its sessions in use rejects at once and so looks idle to this gateway.
            Outcome::Error | Outcome::Reset | Outcome::Full => 1.0,
            Outcome::Refused => 2.0,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Skipped => return,
        };
        self.fault_level = (self.fault_level + FAULT_LEARNING_RATE * (fault - self.fault_level)).min(1.0);
        if let Some(slowdown) = slowdown {
            self.slowdown.update(slowdown, SLOWDOWN_LEARNING_RATE);
        }
        match self.ejected {
            None if self.fault_level > EJECT_FAULT_LEVEL => {
                self.ejected = Some((now + EJECTION_PAUSE.0, EJECTION_PAUSE.0 * 2))
            }
            Some((_, pause)) if outcome != Outcome::Completed => self.ejected = Some((now + pause, pause)),
            Some(_) if self.fault_level < READMIT_FAULT_LEVEL => self.ejected = None,
            Some(_) => self.ejected = Some((now, EJECTION_PAUSE.0)),
            _ => {}
        }
    }
}

/// Whether a slice of an engine that this many gateways share is less than the heaviest workload weighs.
fn slices_are_fractional(site: &Site, sharers: f64) -> bool {
    let cores = site.kinds.iter().filter_map(|k| k.cores).reduce(f64::max).unwrap_or(DEFAULT_CORES);
    let slice = cores * THREADS_PER_CORE / sharers.max(1.0);
    site.workloads.iter().any(|w| w.threads > slice)
}

/// Executions that a statement may have: two for the least important workload, the site's limit for the most
/// important.
fn executions_by_importance(share: f64, limit: usize) -> usize {
    let most = limit.max(1) as f64;
    (2.0 + (most - 2.0) * share).floor().clamp(1.0, most) as usize
}
