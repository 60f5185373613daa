//! The deterministic core of the gateway: `(state, input, now) -> effects`, without I/O, clock or await. It
//! is the only place where the gateway's state changes. It owns the scheduler, the statements and their
//! executions; the runtime feeds it inputs and carries out its effects.

mod ended;
mod fleet;
mod io;

use crate::invariants::{Invariant, Violations};
use crate::orphans::OrphanTracker;
use crate::policy::Names;
use crate::predecessor_check::PredecessorCheck;
use bramblewharf::engine_contact::EngineListing;
use bramblewharf::interface::*;
use bramblewharf::scheduler::{Refusal, Rule, Scheduler};
use bramblewharf_fleet::node::{Node, Remains};
use bramblewharf_fleet::outstanding::Outstanding;
use bramblewharf_fleet::wire::Message;
use bramblewharf_fleet::Envelope;
use bramblewharf_policy as policy;
use ended::{EndedStatement, Fingerprint, RecentlyEnded};
use fleet::Policy;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub use fleet::FleetMembership;
pub use io::{
    Answer, Cancel, CancelOutcome, Destination, Effect, EngineRequest, ExecutionResult, Input, ListedEngine,
    StatementText, SubmittedStatement,
};

/// How long after its deadline an open statement is aborted if the scheduler has not answered it.
const ANSWER_GUARD: Duration = Duration::from_millis(15);

/// Withheld from the time that the scheduler gets for a statement: covers late timers and the transmission of
/// the answer, so that the answer arrives before the client stops waiting.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);

/// A timer that is later than this shows that the event loop was stalled and that received messages have not
/// been read yet.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// How old the engine list may be, without the drain grace, when the first byte of an execution goes out. The
/// name service reports a change at most this long after it happened; an answer counts from when it was sent,
/// however late it is read.
const LIST_MAX_AGE: Duration = Duration::from_millis(1500);

/// The shortest time for which a cancel is retried while the engine does not answer.
pub const MIN_CANCEL_WINDOW: Duration = Duration::from_millis(2500);

#[derive(Clone, Debug)]
enum Timer {
    /// Set by the scheduler, which tells its timers apart by the mark.
    Mark(u64),
    /// The time-out of an execution.
    Execution(Id, usize),
    /// The statement has not been answered by its deadline.
    Statement(Id),
}

/// When a timer expires; the sequence number orders timers that expire at the same time.
type TimerKey = (Duration, u64);

struct Execution {
    engine: Id,
    destination: Destination,
    /// None once the execution has its outcome.
    timeout_timer: Option<TimerKey>,
    /// The outcome that it gets once its cancel has been delivered.
    stopping: Option<Outcome>,
    /// Its usage of the fleet's budgets.
    charges: Charges,
    /// The engine has shown that it received the execution.
    arrived: bool,
    /// It has ended here, and the engine has not confirmed that it can't run any more.
    unconfirmed: bool,
    /// It is certain that the engine never ran it.
    never_ran: bool,
}

struct HeldStatement {
    caller: u64,
    fingerprint: Fingerprint,
    engine_request: Rc<EngineRequest>,
    mem_mb: f64,
    /// What budgets select it by: workload, customer and memory (MB).
    budget_key: (usize, Option<usize>, f64),
    /// The budget usage of its next execution.
    next_charges: Charges,
    /// None once the statement has been answered.
    answer_timer: Option<TimerKey>,
    executions: Vec<Execution>,
}

/// Counters since the start, for the operators' log. The field names are printed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub left: u64,
    /// Rejected without a decision, as the number of held statements was at its bound.
    pub at_bound: u64,
    pub id_in_use: u64,
    pub executions: u64,
    pub stopped: u64,
    pub timed_out: u64,
    /// Time-outs that were extended because they fired late after a stall of the event loop.
    pub waited_on: u64,
    /// Outcomes of executions, as reported by engines and the network: this one and the next three.
    pub full: u64,
    pub refused: u64,
    pub resets: u64,
    pub errors: u64,
    /// Outcomes that arrived after the execution already had one.
    pub too_late: u64,
}

/// The gateway's state.
pub struct Reducer {
    scheduler: Scheduler,
    /// A statement is removed once it has been answered and none of its executions is in flight.
    statements: HashMap<Id, HeldStatement>,
    recently_ended: RecentlyEnded,
    /// The time of the current step.
    now: Duration,
    open_statements: usize,
    max_statements: usize,
    one_at_a_time: bool,
    tick: Duration,
    /// The current engine list, and whether the name service has stopped answering.
    engines: HashMap<Id, ListedEngine>,
    list_silent: bool,
    /// Whether there ever was a list.
    listed: bool,
    /// When the list was last confirmed and last polled, if a name service is configured.
    list_times: Option<(Duration, Duration)>,
    drain_grace: Duration,
    workload_effects: Vec<bramblewharf::interface::Effect>,
    timers: BTreeMap<TimerKey, Timer>,
    timers_set: u64,
    /// This gateway's membership in a fleet, if it has one.
    fleet: Option<Box<Node>>,
    policy: Option<Box<Policy>>,
    /// The scheduler has not been notified yet of the current headroom of the budgets.
    headroom_changed: bool,
    next_headroom_update: Option<Duration>,
    next_fleet_tick: Option<Duration>,
    workload_threads: Vec<f64>,
    /// Events that the scheduler has not handled yet.
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Executions that have ended here but may still run at their engines; budgets keep counting them.
    orphans: OrphanTracker,
    /// Engines that have not confirmed yet that they have read everything a previous process sent.
    predecessor_check: Option<PredecessorCheck>,
    /// Failed executions by engine, since they were last logged.
    engine_failures: BTreeMap<Id, u64>,
    pub counts: Counts,
    /// Statements that the scheduler gave up, by reason.
    pub refusals: BTreeMap<Refusal, u64>,
    /// The refusals of the last step.
    last_refusals: Vec<(Id, Refusal)>,
    pub violations: Violations,
}

impl Reducer {
    /// Starts a gateway that is in no fleet. `max_statements` bounds the statements that are held at once.
    pub fn start(site: Site, seed: u64, max_statements: usize, now: Duration) -> (Reducer, Vec<Effect>) {
        Reducer::start_in_fleet(None::<FleetMembership>, None, site, seed, max_statements, now)
    }

    /// Starts a gateway that shares the budgets, and where given the policy, of a fleet.
    pub fn start_in_fleet(
        fleet: Option<impl Into<FleetMembership>>,
        policy: Option<(policy::Start, Arc<Names>)>,
        site: Site,
        seed: u64,
        max_statements: usize,
        now: Duration,
    ) -> (Reducer, Vec<Effect>) {
        let workload_threads = site.workloads.iter().map(|config| config.threads).collect();
        let (one_at_a_time, tick, drain_grace) = (!site.concurrent_executions, site.tick, site.drain_grace);
        let workload_effects = site.workloads.iter().map(|config| config.effect).collect();
        let (scheduler, actions) = Scheduler::start(site, seed, now);
        // The gateway's own policy text was checked before; without a readable one it starts with the policy
        // undecided.
        let policy = policy.and_then(|(start, names)| {
            let node = policy::Node::start(start, now).ok()?;
            let permit = node.permit(now);
            Some(Box::new(Policy { node, names, permit }))
        });
        let mut reducer = Reducer {
            scheduler,
            policy,
            one_at_a_time,
            tick,
            statements: HashMap::new(),
            recently_ended: RecentlyEnded::new(max_statements),
            now,
            open_statements: 0,
            max_statements,
            engines: HashMap::new(),
            list_silent: false,
            listed: false,
            list_times: None,
            drain_grace,
            workload_effects,
            timers: BTreeMap::new(),
            timers_set: 0,
            headroom_changed: false,
            next_headroom_update: None,
            next_fleet_tick: None,
            fleet: None,
            workload_threads,
            events: VecDeque::new(),
            effects: Vec::new(),
            orphans: OrphanTracker::default(),
            predecessor_check: None,
            engine_failures: BTreeMap::new(),
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            last_refusals: Vec::new(),
            violations: Violations::default(),
        };
        fleet.into_iter().for_each(|membership| reducer.join_fleet(now, membership.into()));
        actions.into_iter().for_each(|action| reducer.apply_action(now, action));
        reducer.process_events(now);
        let effects = std::mem::take(&mut reducer.effects);
        (reducer, effects)
    }

    /// Applies one input, then all timers that have expired, and returns the effects to carry out in this
    /// order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        self.last_refusals.clear();
        self.now = now;
        // First of all, so that the input is decided by the grants in force now.
        self.tick_fleet(now);
        match input {
            Input::Statement(submitted) => self.accept_statement(now, submitted),
            Input::ClientDisconnected(id) => self.client_disconnected(&id),
            Input::ClientAway(id, away) => self.events.push_back(Event::ClientAway(id, away)),
            Input::BodyLost(id) => self.events.push_back(Event::BodyLost(id)),
            Input::ExecutionNoted { id, execution, note } => {
                if let Some(engine) = self.in_flight(&id, execution).map(|attempt| attempt.engine.clone()) {
                    self.events.push_back(Event::ExecutionNoted { id, execution, engine, note });
                }
            }
            Input::ExecutionEnded { id, execution, result } => {
                self.execution_ended(now, &id, execution, result)
            }
            Input::ExecutionArrived { id, execution } => {
                let attempt =
                    self.statements.get_mut(&id).and_then(|stmt| stmt.executions.get_mut(execution));
                attempt.into_iter().for_each(|attempt| attempt.arrived = true);
            }
            Input::CancelFinished { id, execution, outcome } => {
                self.cancel_finished(now, &id, execution, outcome)
            }
            Input::EngineProbed { has_read } => self.engine_probed(now, has_read),
            Input::EngineList(kind, list) => self.update_engine_list(kind, list),
            Input::ListPolled(confirmed) => {
                let before = self.list_times.map_or(now, |(before, _)| before);
                self.list_times = Some((confirmed.map_or(before, |at| at.max(before)), now));
                self.events.push_back(Event::ListPolled(confirmed));
            }
            Input::ListConflict(list) => {
                let up = list.into_iter().filter(|listed| listed.entry.state == EngineState::In);
                self.events.push_back(Event::ListConflict(up.map(|listed| listed.entry.id).collect()));
                self.events.push_back(Event::ListPolled(None));
            }
            Input::ListPollingStopped => {
                self.list_times = None;
                self.events.push_back(Event::ListPollingStopped);
            }
            Input::PeerEvent(event) => self.events.push_back(event),
            Input::FleetMessage(Envelope { from: party, message: Message::Policy(bytes), .. }, from) => {
                self.handle_policy_message(now, party, &bytes, from);
            }
            Input::PolicyStored { generation, succeeded } => {
                let effects =
                    self.policy.as_mut().map(|policy| policy.node.write_finished(generation, succeeded));
                self.apply_policy_effects(now, effects.unwrap_or_default());
            }
            Input::FleetMessage(envelope, from) => {
                let effects = self.fleet.as_mut().map(|node| node.handle_message(now, envelope, from));
                self.apply_fleet_effects(now, effects.unwrap_or_default());
            }
            Input::LeaveFleet => {
                let effects = self.fleet.as_mut().map(|node| node.leave(now));
                self.apply_fleet_effects(now, effects.unwrap_or_default());
            }
            Input::Wake => {}
            Input::Closing(by) => self.events.push_back(Event::Closing(by)),
            Input::Close => self.close(now),
        }
        self.process_events(now);
        // One at a time, each with its events: after a stall a statement's deadline must not overtake the
        // timers before it.
        while let Some(entry) = self.timers.first_entry().filter(|first| first.key().0 <= now) {
            let (at, timer) = (entry.key().0, entry.get().clone());
            entry.remove();
            self.timer_expired(now, now - at, timer);
            self.process_events(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// The statements that the scheduler gave up in the last step, and the reasons.
    pub fn last_refusals(&self) -> &[(Id, Refusal)] {
        &self.last_refusals
    }

    /// How many engines the scheduler has examined since the start, for measurements.
    pub fn engines_examined(&self) -> u64 {
        self.scheduler.engines_examined()
    }

    /// When the runtime has to send the next `Input::Wake`.
    pub fn next_wake(&self) -> Option<Duration> {
        let own = self.timers.first_key_value().map(|(at, _)| at.0);
        self.next_fleet_tick.into_iter().chain(own).min()
    }

    /// Checks an execution again before its first byte goes out, and returns the rule that forbids it, if
    /// any: since the decision the client may have disconnected, the engine begun to drain or the time for a
    /// repeat run out.
    pub fn recheck(&self, now: Duration, id: &Id, execution: usize) -> Option<Rule> {
        self.scheduler.recheck(now, id, execution)
    }

    /// What the current list says of the process that an execution was sent to.
    pub fn engine_listing(&self, destination: &Destination) -> EngineListing {
        let is_present = |listed: &&ListedEngine| listed.entry.state != EngineState::Gone;
        let at_address = |listed: &ListedEngine| listed.address == destination.address;
        let has_address = || self.engines.values().filter(is_present).any(at_address);
        let states_other_start = |listed: &ListedEngine| {
            listed.entry.started != destination.started && listed.entry.started != ProcessStart::LongAgo
        };
        let engine = destination.engine.as_ref();
        match engine.and_then(|id| self.engines.get(id)).filter(is_present) {
            Some(listed) if at_address(listed) && states_other_start(listed) => EngineListing::OtherStart,
            Some(listed) if at_address(listed) => EngineListing::Listed,
            _ if !self.listed => EngineListing::Listed,
            _ if !has_address() => EngineListing::Dropped,
            None if engine.is_none() => EngineListing::Listed,
            _ => EngineListing::Replaced,
        }
    }

    /// The caller that waits for the answer to a statement.
    pub fn caller(&self, id: &Id) -> Option<u64> {
        self.statements.get(id).filter(|stmt| stmt.answer_timer.is_some()).map(|stmt| stmt.caller)
    }

    /// Verifies, as the first byte of an execution goes out, the invariants of sending against the reducer's
    /// own state.
    pub fn check_send(&mut self, now: Duration, id: &Id, execution: usize) {
        let stmt = self.statements.get(id);
        let found = stmt.and_then(|stmt| Some((stmt, stmt.executions.get(execution)?)));
        let (for_client, by_list, safe, alone) = match found {
            None => (false, true, true, true),
            Some((stmt, attempt)) => {
                let listed = self.engines.get(&attempt.engine);
                let up = listed.is_some_and(|listed| listed.entry.state == EngineState::In);
                let oldest = now.saturating_sub(LIST_MAX_AGE + self.drain_grace);
                let fresh = self.list_times.is_none_or(|(confirmed, _)| confirmed >= oldest);
                let once = self.workload_effects.get(stmt.budget_key.0)
                    == Some(&bramblewharf::interface::Effect::NonIdempotent);
                let before = || stmt.executions[..execution].iter();
                let safe = !once || before().all(|attempt| attempt.never_ran);
                let alone = !self.one_at_a_time
                    || before().all(|attempt| attempt.timeout_timer.is_none() && !attempt.unconfirmed);
                (stmt.answer_timer.is_some(), up && fresh, safe, alone)
            }
        };
        self.violations.check(Invariant::SendsForClients, for_client);
        self.violations.check(Invariant::SendsByList, by_list);
        self.violations.check(Invariant::RepeatsSafely, safe);
        self.violations.check(Invariant::OneAtATime, alone);
    }

    /// Verifies that an engine list is known before the gateway serves.
    pub fn check_serving(&mut self) {
        self.violations.check(Invariant::StartsWithList, self.listed);
    }

    /// Whether the rest of an execution may still be sent: engines recognize a repeat as such only for a
    /// limited time.
    pub fn may_complete_send(&self, now: Duration, id: &Id, execution: usize) -> bool {
        self.scheduler.recheck(now, id, execution) != Some(Rule::NoDoubleEffect)
    }

    /// The state of the fleet's policy, if the gateway follows one.
    pub fn policy(&self) -> Option<&policy::Node> {
        self.policy.as_ref().map(|policy| &policy.node)
    }

    /// This gateway's membership in its fleet.
    pub fn fleet(&mut self) -> Option<&mut Node> {
        self.fleet.as_deref_mut()
    }

    /// Whether the bound of held statements rejects one more, so that its body need not be read; counts it if
    /// so.
    pub fn reject_at_bound(&mut self) -> bool {
        let full = self.statements.len() >= self.max_statements;
        self.counts.at_bound += u64::from(full);
        full
    }

    /// The number of statements that wait for their answer.
    pub fn open(&self) -> usize {
        self.open_statements
    }

    /// The number of statements held, including answered ones with executions in flight.
    pub fn held(&self) -> usize {
        self.statements.len()
    }

    /// Lets the scheduler handle all pending events, including those that its own actions cause.
    fn process_events(&mut self, now: Duration) {
        while let Some(event) = self.events.pop_front() {
            let actions = self.scheduler.handle_event(now, event);
            for (id, refusal) in self.scheduler.refusals() {
                *self.refusals.entry(*refusal).or_default() += 1;
                self.last_refusals.push((id.clone(), *refusal));
            }
            actions.into_iter().for_each(|action| self.apply_action(now, action));
        }
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) -> TimerKey {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
        (at, self.timers_set)
    }

    fn in_flight(&self, id: &Id, execution: usize) -> Option<&Execution> {
        self.statements.get(id)?.executions.get(execution).filter(|attempt| attempt.timeout_timer.is_some())
    }

    fn accept_statement(&mut self, now: Duration, submitted: SubmittedStatement) {
        let SubmittedStatement { caller, mut statement, engine_request } = submitted;
        let fingerprint = Fingerprint::of(&engine_request);
        if self.statements.contains_key(&statement.id)
            || self.recently_ended.conflicts(now, &statement.id, fingerprint)
        {
            self.counts.id_in_use += 1;
            return self.effects.push(Effect::Answer { caller, answer: Answer::InUse });
        }
        if self.statements.len() >= self.max_statements {
            self.counts.at_bound += 1;
            let answer = Answer::Rejected(self.scheduler.retry_in(statement.workload));
            return self.effects.push(Effect::Answer { caller, answer });
        }
        self.counts.taken += 1;
        self.open_statements += 1;
        let answer_timer =
            self.set_timer(now + statement.time_left + ANSWER_GUARD, Timer::Statement(statement.id.clone()));
        statement.time_left = statement.time_left.saturating_sub(ANSWER_MARGIN);
        let stmt = HeldStatement {
            caller,
            fingerprint,
            engine_request: Rc::new(engine_request),
            mem_mb: 0.0,
            budget_key: (statement.workload, statement.customer, statement.est_mem_mb.unwrap_or(0.0)),
            next_charges: Charges::new(),
            answer_timer: Some(answer_timer),
            executions: Vec::new(),
        };
        self.statements.insert(statement.id.clone(), stmt);
        self.events.push_back(Event::Statement(statement));
    }

    /// The answer only reaches a client that cancelled and keeps its connection.
    fn client_disconnected(&mut self, id: &Id) {
        if self.statements.get(id).is_some_and(|s| s.answer_timer.is_some()) {
            self.counts.left += 1;
            self.answer(id, Answer::Aborted);
            self.events.push_back(Event::ClientDisconnected(id.clone()));
        }
    }

    fn close(&mut self, now: Duration) {
        self.events.push_back(Event::Closing(now));
        let open = self.statements.iter().filter(|(_, s)| s.answer_timer.is_some()).map(|(id, _)| id.clone());
        for id in open.collect::<Vec<_>>() {
            self.counts.aborted += 1;
            self.answer(&id, Answer::Aborted);
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    /// The only place that answers statements which were accepted.
    fn answer(&mut self, id: &Id, answer: Answer) {
        let held = self.statements.get_mut(id);
        let open = held.and_then(|s| s.answer_timer.take().map(|at| (s.caller, at)));
        if !self.violations.check(Invariant::OneAnswer, open.is_some()) {
            return;
        }
        let Some((caller, at)) = open else { return };
        self.timers.remove(&at);
        self.open_statements -= 1;
        self.effects.push(Effect::Answer { caller, answer });
        self.remove_if_over(id);
    }

    fn remove_if_over(&mut self, id: &Id) {
        let is_over = |s: &HeldStatement| {
            s.answer_timer.is_none() && s.executions.iter().all(|attempt| attempt.timeout_timer.is_none())
        };
        if self.statements.get(id).is_some_and(is_over) {
            if let Some(stmt) = self.statements.remove(id) {
                let ended =
                    EndedStatement { fingerprint: stmt.fingerprint, may_repeat: self.may_repeat(&stmt) };
                self.recently_ended.add(self.now, id.clone(), ended);
            }
        }
    }

    /// Whether a statement that has ended may be executed again when it comes under the same id: not after an
    /// execution that may have run, where it must run once, nor beside one that may still start.
    fn may_repeat(&self, ended: &HeldStatement) -> bool {
        let runs_once = self.workload_effects.get(ended.budget_key.0)
            == Some(&bramblewharf::interface::Effect::NonIdempotent);
        let is_over = |execution: &Execution| match runs_once {
            true => execution.never_ran,
            false => !self.one_at_a_time || !execution.unconfirmed,
        };
        ended.executions.iter().all(is_over)
    }

    /// The engine's response to an execution has come, or its connection has failed.
    fn execution_ended(&mut self, now: Duration, id: &Id, execution: usize, result: ExecutionResult) {
        let remains = match result.outcome {
            _ if result.unread => Remains::Unconfirmed,
            Outcome::Completed | Outcome::Full | Outcome::Skipped | Outcome::Refused => Remains::Nothing,
            // Neither an error response nor a closed connection shows that the execution no longer runs.
            _ => Remains::Orphaned,
        };
        let destination = self.in_flight(id, execution).map(|attempt| attempt.destination.clone());
        self.finish_execution(now, id, execution, result, remains);
        // Without a cancel the budgets would count the execution until it can't start any more; the engine's
        // answer frees it sooner.
        if let Some(destination) = destination.filter(|_| remains == Remains::Unconfirmed) {
            if let Some(cancel) = self.cancel_unconfirmed(id, execution) {
                self.effects.push(Effect::Stop { id: id.clone(), execution, destination, cancel });
            }
        }
    }

    /// The cancel of a stopped execution has been delivered, or given up.
    fn cancel_finished(&mut self, now: Duration, id: &Id, execution: usize, cancel_outcome: CancelOutcome) {
        let remains = match cancel_outcome {
            CancelOutcome::Over => Remains::Nothing,
            CancelOutcome::Gone | CancelOutcome::CutOff => Remains::Orphaned,
            CancelOutcome::Unread | CancelOutcome::Unknown => Remains::Unconfirmed,
        };
        let remains = match cancel_outcome {
            // The killed process did not reset its connection: data buffered by the operating system may
            // still arrive.
            CancelOutcome::CutOff if self.orphans.is_inherited(id, execution) => Remains::Unconfirmed,
            _ => remains,
        };
        let stopping = self.in_flight(id, execution).and_then(|attempt| attempt.stopping);
        // An execution that may be unread is not over: the engine could read and run it at any later time,
        // concurrently with the next attempt. If only one attempt may be in flight, only the statement's
        // deadline ends the wait.
        let over =
            matches!(cancel_outcome, CancelOutcome::Over | CancelOutcome::Gone | CancelOutcome::CutOff);
        match stopping {
            Some(outcome) if over => self.finish_execution(now, id, execution, outcome.into(), remains),
            Some(_) => {}
            None => self.settle_orphan(now, id, execution, remains),
        }
    }

    /// Gives an execution its single outcome; later ones are dropped. Budgets keep counting what may remain
    /// of it at its engine.
    fn finish_execution(
        &mut self,
        now: Duration,
        id: &Id,
        execution: usize,
        result: ExecutionResult,
        remains: Remains,
    ) {
        let Some(stmt) = self.statements.get_mut(id) else {
            self.counts.too_late += 1;
            return;
        };
        let attempt = stmt.executions.get_mut(execution);
        let Some((attempt, at)) =
            attempt.and_then(|attempt| attempt.timeout_timer.take().map(|at| (attempt, at)))
        else {
            self.counts.too_late += 1;
            return;
        };
        self.timers.remove(&at);
        let (engine, elapsed) = (attempt.engine.clone(), now.saturating_sub(attempt.destination.sent_at));
        let charges = std::mem::take(&mut attempt.charges);
        let ExecutionResult { outcome, pages, consumed, report, .. } = result;
        attempt.unconfirmed = remains == Remains::Unconfirmed;
        attempt.never_ran = matches!(outcome, Outcome::Full | Outcome::Refused | Outcome::Skipped);
        let open = stmt.answer_timer.is_some();
        if let Some(node) = self.fleet.as_mut().filter(|_| !charges.is_empty()) {
            let orphan_id = node.execution_ended(now, charges, remains);
            let write = self.orphans.execution_ended(id, execution, orphan_id);
            self.effects.extend(write.map(Effect::RecordOutstanding));
            self.headroom_changed = true;
            self.publish_headroom(now);
        }
        if outcome == Outcome::Completed && open {
            self.counts.completed += 1;
            self.answer(id, Answer::Completed(pages));
        }
        self.count_outcome(outcome, &engine);
        let is_final = self.statements.get(id).is_none_or(|s| s.answer_timer.is_none());
        let ended =
            ExecutionEnd { id: id.clone(), execution, engine, outcome, is_final, elapsed, consumed, report };
        self.events.push_back(Event::ExecutionEnded(ended));
        self.remove_if_over(id);
    }

    fn count_outcome(&mut self, outcome: Outcome, engine: &Id) {
        let counts = &mut self.counts;
        let count = match outcome {
            Outcome::Full => &mut counts.full,
            Outcome::Refused => &mut counts.refused,
            Outcome::Reset => &mut counts.resets,
            Outcome::Error => &mut counts.errors,
            Outcome::TimedOut => &mut counts.timed_out,
            Outcome::Completed | Outcome::Cancelled | Outcome::Skipped => return,
        };
        *count += 1;
        self.engine_failures.entry(engine.clone()).and_modify(|n| *n += 1).or_insert(1);
    }

    /// Failed executions by engine since the last call.
    pub fn take_engine_failures(&mut self) -> BTreeMap<Id, u64> {
        std::mem::take(&mut self.engine_failures)
    }

    /// Cancels an execution. If a statement may have only one in flight, the execution ends once its cancel
    /// has been delivered or the statement's time is over: the next execution must not overtake the cancel.
    fn stop_execution(&mut self, now: Duration, id: &Id, execution: usize, outcome: Outcome) {
        let Some(attempt) = self.in_flight(id, execution) else { return };
        let (destination, stopping) = (attempt.destination.clone(), attempt.stopping);
        let last = self.latest_end(now, id);
        if stopping.is_none() {
            let cancel = self.cancel_for(attempt, last.saturating_sub(now));
            self.effects.push(Effect::Stop { id: id.clone(), execution, destination, cancel });
        }
        if !self.one_at_a_time || now >= last {
            let outcome = stopping.unwrap_or(outcome);
            return self.finish_execution(now, id, execution, outcome.into(), Remains::Unconfirmed);
        }
        let at = self.set_timer(last, Timer::Execution(id.clone(), execution));
        let attempt = self.statements.get_mut(id).and_then(|s| s.executions.get_mut(execution));
        let previous = attempt.and_then(|attempt| {
            attempt.stopping = attempt.stopping.or(Some(outcome));
            attempt.timeout_timer.replace(at)
        });
        previous.into_iter().for_each(|previous| drop(self.timers.remove(&previous)));
    }

    /// How to cancel an execution of a statement that has `time_left`.
    fn cancel_for(&self, attempt: &Execution, time_left: Duration) -> Cancel {
        let budget_wait = self
            .fleet
            .as_ref()
            .filter(|_| !attempt.charges.is_empty())
            .map(|node| node.max_unconfirmed_time());
        let attempt_wait = if self.one_at_a_time { time_left } else { Duration::ZERO };
        let within = MIN_CANCEL_WINDOW.max(attempt_wait).max(budget_wait.unwrap_or_default());
        Cancel { arrived: attempt.arrived, within, awaited: !attempt_wait.is_zero() || budget_wait.is_some() }
    }

    /// Extends a time-out that fired `late` by as much, within the statement's own time: an execution must
    /// not time out because the gateway was stalled and did not read its response. Returns whether it did.
    fn extend_timeout(&mut self, now: Duration, late: Duration, id: &Id, execution: usize) -> bool {
        let last = self.latest_end(now, id);
        if now >= last || self.in_flight(id, execution).is_none_or(|attempt| attempt.stopping.is_some()) {
            return false;
        }
        let at = self.set_timer(last.min(now + late), Timer::Execution(id.clone(), execution));
        let attempt = self.statements.get_mut(id).and_then(|s| s.executions.get_mut(execution));
        attempt.into_iter().for_each(|attempt| attempt.timeout_timer = Some(at));
        self.counts.waited_on += 1;
        true
    }

    /// Until when an execution of a statement may be in flight.
    fn latest_end(&self, now: Duration, id: &Id) -> Duration {
        let answer_timer = self.statements.get(id).and_then(|s| s.answer_timer);
        answer_timer
            .map_or(now, |(expires, _)| expires.saturating_sub(ANSWER_GUARD + ANSWER_MARGIN + self.tick))
    }

    fn update_engine_list(&mut self, kind: ListKind, list: Vec<ListedEngine>) {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            self.engines.clear();
        }
        self.list_silent = kind == ListKind::Failed;
        self.listed |= kind != ListKind::Failed;
        let entries = list.iter().map(|listed| listed.entry.clone()).collect();
        self.predecessor_check.iter_mut().for_each(|check| check.add_engines(list.iter()));
        for listed in list {
            self.engines.insert(listed.entry.id.clone(), listed);
        }
        self.events.push_back(Event::EngineList(kind, entries));
    }

    fn timer_expired(&mut self, now: Duration, late: Duration, timer: Timer) {
        match timer {
            Timer::Mark(mark) => self.events.push_back(Event::Timer(mark)),
            Timer::Execution(id, execution) => {
                if late < STALL_THRESHOLD || !self.extend_timeout(now, late, &id, execution) {
                    self.stop_execution(now, &id, execution, Outcome::TimedOut);
                }
            }
            Timer::Statement(id) => {
                self.violations.check(Invariant::AnsweredInTime, false);
                self.counts.aborted += 1;
                self.answer(&id, Answer::Aborted);
                self.events.push_back(Event::ClientDisconnected(id));
            }
        }
    }

    fn apply_action(&mut self, now: Duration, action: Action) {
        match action {
            Action::Send { id, engine, timeout } => self.start_execution(now, id, engine, timeout),
            Action::Resources { id, mem_mb, .. } => {
                if let Some(stmt) = self.statements.get_mut(&id) {
                    stmt.mem_mb = mem_mb;
                }
            }
            Action::BudgetUsage { id, usage } => {
                if let (Some(stmt), Some(node)) = (self.statements.get_mut(&id), &mut self.fleet) {
                    node.execution_started(now, &usage);
                    stmt.next_charges = usage;
                }
            }
            Action::Cancel { id, execution } => {
                self.counts.stopped += u64::from(self.in_flight(&id, execution).is_some());
                self.stop_execution(now, &id, execution, Outcome::Cancelled);
            }
            Action::Reject { id, retry_in } => {
                self.counts.rejected += 1;
                self.report_refusal(now, &id);
                self.answer(&id, Answer::Rejected(retry_in));
            }
            Action::Abort { id } => {
                self.counts.aborted += 1;
                self.answer(&id, Answer::Aborted);
            }
            Action::Timer { mark, delay } => {
                self.set_timer(now + delay, Timer::Mark(mark));
            }
            // The list is polled all the time: it is here already, or comes once the name service answers
            // again.
            Action::RequestList if self.list_silent => {}
            Action::RequestList => {
                let entries = self.engines.values().map(|listed| listed.entry.clone()).collect();
                self.events.push_back(Event::EngineList(ListKind::Snapshot, entries));
            }
            Action::Gossip { to, message } => self.effects.push(Effect::Gossip { to, message }),
        }
    }

    /// Where an execution that is sent to a listed engine now goes.
    fn destination(&self, now: Duration, engine: &Id) -> Option<Destination> {
        let listed = self.engines.get(engine)?;
        Some(Destination {
            engine: Some(engine.clone()),
            address: listed.address,
            started: listed.entry.started,
            sent_at: now,
        })
    }

    fn start_execution(&mut self, now: Duration, id: Id, engine: Id, timeout: Duration) {
        let destination = self.destination(now, &engine);
        self.violations.check(Invariant::KnownEngine, destination.is_some());
        let open = self.statements.get(&id).map(|stmt| stmt.answer_timer.is_some());
        self.violations.check(Invariant::KnownStatement, open.is_some());
        self.violations.check(Invariant::NothingAfter, open != Some(false));
        let execution = self.statements.get(&id).map_or(0, |stmt| stmt.executions.len());
        let (Some(destination), Some(true)) = (destination, open) else {
            let skipped = ExecutionEnd {
                id: id.clone(),
                execution,
                engine,
                outcome: Outcome::Skipped,
                is_final: open != Some(true),
                elapsed: Duration::ZERO,
                consumed: None,
                report: None,
            };
            return self.events.push_back(Event::ExecutionEnded(skipped));
        };
        let at = self.set_timer(now + timeout, Timer::Execution(id.clone(), execution));
        let Some(stmt) = self.statements.get_mut(&id) else { return };
        if !stmt.next_charges.is_empty() {
            let demand = stmt.next_charges.clone();
            let outstanding =
                || Outstanding { id: id.to_string(), execution, engine: destination.address, demand };
            self.effects.extend(self.orphans.execution_sent(outstanding).map(Effect::RecordOutstanding));
        }
        stmt.executions.push(Execution {
            engine,
            destination: destination.clone(),
            timeout_timer: Some(at),
            stopping: None,
            charges: std::mem::take(&mut stmt.next_charges),
            arrived: false,
            unconfirmed: false,
            never_ran: false,
        });
        self.counts.executions += 1;
        let (engine_request, mem_mb) = (stmt.engine_request.clone(), stmt.mem_mb);
        let not_after = self.fleet.as_ref().and_then(|node| node.send_deadline(now));
        self.effects.push(Effect::Start {
            id,
            execution,
            destination,
            engine_request,
            mem_mb,
            timeout,
            not_after,
        });
    }
}
