//! The one place where the gateway's state changes: `(state, input, now) -> effects`, without I/O, clock or
//! await. It owns the decisions, the statements and their executions; the runtime carries out what it asks for.

mod ended;
mod fleet;
mod io;

use crate::invariants::{Broken, Invariant};
use crate::policy::Names;
use crate::predecessor_check::PredecessorCheck;
use crate::unsettled::Unsettled;
use bramblewharf::interface::*;
use bramblewharf::scheduler::{Refusal, Rule, Scheduler};
use bramblewharf_fleet::node::{Node, Remains};
use bramblewharf_fleet::outstanding::Outstanding;
use bramblewharf_fleet::wire::Message;
use bramblewharf_fleet::Envelope;
use bramblewharf_policy as policy;
use ended::{Fingerprint, RecentlyEnded};
use fleet::Policy;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub use fleet::Part;
pub use io::{AfterCancel, Answer, Cancel, Effect, Ending, Input, Listed, Parcel, Taken, Text};

/// How long after a statement's time is over the gateway answers by itself, should the decisions not have.
const GUARD: Duration = Duration::from_millis(15);

/// Of a statement's time, what a timer may be late by and what the answer takes on its way: the decisions get the
/// rest, so that a client is told before it stops waiting.
const ON_ITS_WAY: Duration = Duration::from_millis(4);

/// A timer that is later than this shows that the loop stood still: what came meanwhile has not been read yet.
const STOOD_STILL: Duration = Duration::from_millis(10);

/// What the name service has to tell counts as told so long after it happened, and an answer that waits unread when it was sent: with the
/// grace on top no first byte may go out by a list older than that.
const LIST_HOLDS: Duration = Duration::from_millis(1500);

/// How long an engine is told at the least to end an execution, where it does not answer.
pub const CANCEL_WITHIN: Duration = Duration::from_millis(2500);

#[derive(Clone, Debug)]
enum Due {
    Mark(u64),
    /// The time-out of an execution.
    Execution(Id, usize),
    /// A statement's time is over.
    Statement(Id),
}

type DueAt = (Duration, u64);

struct Execution {
    engine: Id,
    address: SocketAddr,
    sent: Duration,
    /// None once it has its outcome.
    out: Option<DueAt>,
    /// The outcome it will have once its engine has been told.
    stopping: Option<Outcome>,
    /// What it takes of the fleet's budgets.
    took: Charges,
    /// Its engine has shown that it has it.
    arrived: bool,
    /// It has ended here, and nothing shows that it has at its engine.
    unheard: bool,
    /// It surely never ran.
    never_ran: bool,
}

struct Stmt {
    caller: u64,
    fingerprint: Fingerprint,
    parcel: Rc<Parcel>,
    mem_mb: f64,
    /// As budgets see it: workload, customer and memory (MB).
    counts_as: (usize, Option<usize>, f64),
    /// What its next execution takes of them.
    takes: Charges,
    /// None once it has its answer.
    open: Option<DueAt>,
    executions: Vec<Execution>,
}

/// What has happened since the start, for whoever is on call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub left: u64,
    /// Rejected at the bound of statements held, before any decision.
    pub at_bound: u64,
    pub id_in_use: u64,
    pub executions: u64,
    pub stopped: u64,
    pub timed_out: u64,
    /// Time-outs that came late, as the gateway's loop had stood still, and were put off by as much.
    pub waited_on: u64,
    /// By what engines and the network told of executions.
    pub full: u64,
    pub refused: u64,
    pub resets: u64,
    pub errors: u64,
    /// Outcomes of executions that no one waited for any longer.
    pub too_late: u64,
}

pub struct Reducer {
    scheduler: Scheduler,
    /// Emptied of a statement when it has its answer and none of its executions is out.
    stmts: HashMap<Id, Stmt>,
    recently_ended: RecentlyEnded,
    /// The time of the step that is under way.
    now: Duration,
    open: usize,
    most: usize,
    one_at_a_time: bool,
    tick: Duration,
    /// The list as last heard, and whether nothing has been heard of it for a while.
    engines: HashMap<Id, Listed>,
    silent: bool,
    /// Whether there ever was a list; where a name service is asked, when it was last confirmed and listened to.
    listed: bool,
    list_times: Option<(Duration, Duration)>,
    drain_grace: Duration,
    effects_of: Vec<bramblewharf::interface::Effect>,
    due: BTreeMap<DueAt, Due>,
    dues: u64,
    /// This gateway's part in its fleet, where it has one; whether what is left of its budgets is not yet told.
    fleet: Option<Box<Node>>,
    policy: Option<Box<Policy>>,
    room_changed: bool,
    room_due: Option<Duration>,
    fleet_due: Option<Duration>,
    threads: Vec<f64>,
    /// What the decisions have yet to hear of.
    news: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Executions that have ended here and may yet run unheard, while the budgets count them.
    unsettled: Unsettled,
    /// Engines that have yet to show that they have read what a process before this one sent.
    predecessor_check: Option<PredecessorCheck>,
    /// Emptied whenever it is logged.
    ill: BTreeMap<Id, u64>,
    pub counts: Counts,
    /// Statements given up by the decisions, by why.
    pub refusals: BTreeMap<Refusal, u64>,
    /// Those of the last step.
    refused: Vec<(Id, Refusal)>,
    pub broken: Broken,
}

impl Reducer {
    /// `most`: the statements that may be held at once.
    pub fn start(site: Site, seed: u64, most: usize, now: Duration) -> (Reducer, Vec<Effect>) {
        Reducer::start_in(None::<Part>, None, site, seed, most, now)
    }

    /// In a fleet whose budgets it has a part of.
    pub fn start_in(
        fleet: Option<impl Into<Part>>,
        policy: Option<(policy::Start, Arc<Names>)>,
        site: Site,
        seed: u64,
        most: usize,
        now: Duration,
    ) -> (Reducer, Vec<Effect>) {
        let threads = site.workloads.iter().map(|config| config.threads).collect();
        let (one_at_a_time, tick, drain_grace) = (!site.concurrent_executions, site.tick, site.drain_grace);
        let effects_of = site.workloads.iter().map(|config| config.effect).collect();
        let (scheduler, actions) = Scheduler::start(site, seed, now);
        // Its own text was read before: one that can't be is none to begin with, and it goes on undecided.
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
            stmts: HashMap::new(),
            recently_ended: RecentlyEnded::new(most),
            now,
            open: 0,
            most,
            engines: HashMap::new(),
            silent: false,
            listed: false,
            list_times: None,
            drain_grace,
            effects_of,
            due: BTreeMap::new(),
            dues: 0,
            room_changed: false,
            room_due: None,
            fleet_due: None,
            fleet: None,
            threads,
            news: VecDeque::new(),
            effects: Vec::new(),
            unsettled: Unsettled::default(),
            predecessor_check: None,
            ill: BTreeMap::new(),
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            refused: Vec::new(),
            broken: Broken::default(),
        };
        fleet.into_iter().for_each(|part| reducer.join(now, part.into()));
        actions.into_iter().for_each(|action| reducer.act(now, action));
        reducer.settle(now);
        let effects = std::mem::take(&mut reducer.effects);
        (reducer, effects)
    }

    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        self.refused.clear();
        self.now = now;
        // First of all: whatever comes is decided by the leave as it is now.
        self.look_at_fleet(now);
        match input {
            Input::Statement(taken) => self.take(now, taken),
            Input::Left(id) => self.left(&id),
            Input::Absent(id, absent) => self.news.push_back(Event::ClientAway(id, absent)),
            Input::Unkept(id) => self.news.push_back(Event::BodyLost(id)),
            Input::Noted { id, execution, note } => {
                if let Some(engine) = self.out(&id, execution).map(|x| x.engine.clone()) {
                    self.news.push_back(Event::ExecutionNoted { id, execution, engine, note });
                }
            }
            Input::Ended { id, execution, ending } => self.ended(now, &id, execution, ending),
            Input::Arrived { id, execution } => {
                let x = self.stmts.get_mut(&id).and_then(|stmt| stmt.executions.get_mut(execution));
                x.into_iter().for_each(|x| x.arrived = true);
            }
            Input::Stopped { id, execution, after } => self.stopped(now, &id, execution, after),
            Input::EngineHeard { has_read } => self.engine_heard(now, has_read),
            Input::Engines(kind, list) => self.list(kind, list),
            Input::ListAsked(confirmed) => {
                let before = self.list_times.map_or(now, |(before, _)| before);
                self.list_times = Some((confirmed.map_or(before, |at| at.max(before)), now));
                self.news.push_back(Event::ListPolled(confirmed));
            }
            Input::ListDisputed(list) => {
                let up = list.into_iter().filter(|listed| listed.entry.state == EngineState::In);
                self.news.push_back(Event::ListConflict(up.map(|listed| listed.entry.id).collect()));
                self.news.push_back(Event::ListPolled(None));
            }
            Input::ListStays => {
                self.list_times = None;
                self.news.push_back(Event::ListPollingStopped);
            }
            Input::Told(event) => self.news.push_back(event),
            Input::Fleet(Envelope { from: party, message: Message::Policy(bytes), .. }, from) => {
                self.heard_of_policy(now, party, &bytes, from);
            }
            Input::Kept { generation, well } => {
                let said = self.policy.as_mut().map(|policy| policy.node.write_finished(generation, well));
                self.carry_policy(now, said.unwrap_or_default());
            }
            Input::Fleet(envelope, from) => {
                let said = self.fleet.as_mut().map(|node| node.handle_message(now, envelope, from));
                self.carry_on(now, said.unwrap_or_default());
            }
            Input::Depart => {
                let said = self.fleet.as_mut().map(|node| node.leave(now));
                self.carry_on(now, said.unwrap_or_default());
            }
            Input::Wake => {}
            Input::Closing(by) => self.news.push_back(Event::Closing(by)),
            Input::Close => self.close(now),
        }
        self.settle(now);
        // One at a time: a loop that was late must not take a statement's end before what leads to it.
        while let Some(entry) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let (at, due) = (entry.key().0, entry.get().clone());
            entry.remove();
            self.fall_due(now, now - at, due);
            self.settle(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// The statements that the last step had given up, and why.
    pub fn refused(&self) -> &[(Id, Refusal)] {
        &self.refused
    }

    /// Engines that the decisions have looked at since the start.
    pub fn looked(&self) -> u64 {
        self.scheduler.engines_examined()
    }

    /// When the next `Wake` is wanted.
    pub fn due(&self) -> Option<Duration> {
        let own = self.due.first_key_value().map(|(at, _)| at.0);
        self.fleet_due.into_iter().chain(own).min()
    }

    /// The rule, if any, by which an execution may no longer go out, as its first byte is about to: a client may have left since
    /// it was decided, its engine begun to drain, the time for a repeat run out.
    pub fn lapsed(&self, now: Duration, id: &Id, execution: usize) -> Option<Rule> {
        self.scheduler.recheck(now, id, execution)
    }

    /// The first byte of an execution goes out: checked once more, by this machine's own records, that it may.
    pub fn goes_out(&mut self, now: Duration, id: &Id, execution: usize) {
        let stmt = self.stmts.get(id);
        let found = stmt.and_then(|stmt| Some((stmt, stmt.executions.get(execution)?)));
        let (for_client, by_list, safe, alone) = match found {
            None => (false, true, true, true),
            Some((stmt, x)) => {
                let listed = self.engines.get(&x.engine);
                let up = listed.is_some_and(|listed| listed.entry.state == EngineState::In);
                let oldest = now.saturating_sub(LIST_HOLDS + self.drain_grace);
                let fresh = self.list_times.is_none_or(|(confirmed, _)| confirmed >= oldest);
                let once = self.effects_of.get(stmt.counts_as.0)
                    == Some(&bramblewharf::interface::Effect::NonIdempotent);
                let before = || stmt.executions[..execution].iter();
                let safe = !once || before().all(|x| x.never_ran);
                let alone = !self.one_at_a_time || before().all(|x| x.out.is_none() && !x.unheard);
                (stmt.open.is_some(), up && fresh, safe, alone)
            }
        };
        self.broken.check(Invariant::SendsForClients, for_client);
        self.broken.check(Invariant::SendsByList, by_list);
        self.broken.check(Invariant::RepeatsSafely, safe);
        self.broken.check(Invariant::OneAtATime, alone);
    }

    /// The gateway is about to serve.
    pub fn serves(&mut self) {
        self.broken.check(Invariant::StartsWithList, self.listed);
    }

    /// Whether a repeat that is on its way would still be known for one when it is whole.
    pub fn may_arrive(&self, now: Duration, id: &Id, execution: usize) -> bool {
        self.scheduler.recheck(now, id, execution) != Some(Rule::NoDoubleEffect)
    }

    /// What it decides by of the fleet's policy.
    pub fn policy(&self) -> Option<&policy::Node> {
        self.policy.as_ref().map(|policy| &policy.node)
    }

    /// This gateway's part in its fleet.
    pub fn fleet(&mut self) -> Option<&mut Node> {
        self.fleet.as_deref_mut()
    }

    /// Whether one more statement would be rejected at the bound: then its text need not come at all.
    pub fn turns_away(&mut self) -> bool {
        let full = self.stmts.len() >= self.most;
        self.counts.at_bound += u64::from(full);
        full
    }

    /// Statements that wait for their answer.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Statements held, those that only wait for an execution's outcome among them.
    pub fn held(&self) -> usize {
        self.stmts.len()
    }

    /// Hands the decisions all news, and what follows from what they do with it.
    fn settle(&mut self, now: Duration) {
        while let Some(event) = self.news.pop_front() {
            let actions = self.scheduler.handle_event(now, event);
            for (id, refusal) in self.scheduler.refusals() {
                *self.refusals.entry(*refusal).or_default() += 1;
                self.refused.push((id.clone(), *refusal));
            }
            actions.into_iter().for_each(|action| self.act(now, action));
        }
    }

    fn set(&mut self, at: Duration, due: Due) -> DueAt {
        self.dues += 1;
        self.due.insert((at, self.dues), due);
        (at, self.dues)
    }

    fn out(&self, id: &Id, execution: usize) -> Option<&Execution> {
        self.stmts.get(id)?.executions.get(execution).filter(|x| x.out.is_some())
    }

    fn take(&mut self, now: Duration, taken: Taken) {
        let Taken { caller, mut said, parcel } = taken;
        let fingerprint = Fingerprint::of(&parcel);
        if self.stmts.contains_key(&said.id) || self.recently_ended.was_of_another(now, &said.id, fingerprint)
        {
            self.counts.id_in_use += 1;
            return self.effects.push(Effect::Answer { caller, answer: Answer::InUse });
        }
        if self.stmts.len() >= self.most {
            self.counts.at_bound += 1;
            let answer = Answer::Rejected(self.scheduler.retry_in(said.workload));
            return self.effects.push(Effect::Answer { caller, answer });
        }
        self.counts.taken += 1;
        self.open += 1;
        let open = self.set(now + said.time_left + GUARD, Due::Statement(said.id.clone()));
        said.time_left = said.time_left.saturating_sub(ON_ITS_WAY);
        let stmt = Stmt {
            caller,
            fingerprint,
            parcel: Rc::new(parcel),
            mem_mb: 0.0,
            counts_as: (said.workload, said.customer, said.est_mem_mb.unwrap_or(0.0)),
            takes: Charges::new(),
            open: Some(open),
            executions: Vec::new(),
        };
        self.stmts.insert(said.id.clone(), stmt);
        self.news.push_back(Event::Statement(said));
    }

    /// No answer is owed any longer; where the connection can still carry one, it says so.
    fn left(&mut self, id: &Id) {
        if self.stmts.get(id).is_some_and(|s| s.open.is_some()) {
            self.counts.left += 1;
            self.answer(id, Answer::Aborted);
            self.news.push_back(Event::ClientDisconnected(id.clone()));
        }
    }

    fn close(&mut self, now: Duration) {
        self.news.push_back(Event::Closing(now));
        let open = self.stmts.iter().filter(|(_, s)| s.open.is_some()).map(|(id, _)| id.clone());
        for id in open.collect::<Vec<_>>() {
            self.counts.aborted += 1;
            self.answer(&id, Answer::Aborted);
            self.news.push_back(Event::ClientDisconnected(id));
        }
    }

    /// The only place that answers.
    fn answer(&mut self, id: &Id, answer: Answer) {
        let held = self.stmts.get_mut(id);
        let open = held.and_then(|s| s.open.take().map(|at| (s.caller, at)));
        if !self.broken.check(Invariant::OneAnswer, open.is_some()) {
            return;
        }
        let Some((caller, at)) = open else { return };
        self.due.remove(&at);
        self.open -= 1;
        self.effects.push(Effect::Answer { caller, answer });
        self.forget(id);
    }

    fn forget(&mut self, id: &Id) {
        let is_over = |s: &Stmt| s.open.is_none() && s.executions.iter().all(|x| x.out.is_none());
        if self.stmts.get(id).is_some_and(is_over) {
            if let Some(stmt) = self.stmts.remove(id) {
                self.recently_ended.add(self.now, id.clone(), stmt.fingerprint);
            }
        }
    }

    /// An execution has ended as its engine or the network told.
    fn ended(&mut self, now: Duration, id: &Id, execution: usize, ending: Ending) {
        let remains = match ending.outcome {
            _ if ending.unread => Remains::Unconfirmed,
            Outcome::Completed | Outcome::Full | Outcome::Skipped | Outcome::Refused => Remains::Nothing,
            // Neither a word that is no ending nor a connection that ended shows that nothing runs any more.
            _ => Remains::Orphaned,
        };
        let to = self.out(id, execution).map(|x| (x.engine.clone(), x.address));
        self.end(now, id, execution, ending, remains);
        // What the budgets count of it is free as soon as its engine answers, not only when it can't begin any more.
        if let Some((engine, address)) = to.filter(|_| remains == Remains::Unconfirmed) {
            if let Some(cancel) = self.cancel_unheard(id, execution) {
                self.effects.push(Effect::Stop { id: id.clone(), execution, engine, address, cancel });
            }
        }
    }

    /// The engine of an execution that was given up was told so, or could not be.
    fn stopped(&mut self, now: Duration, id: &Id, execution: usize, after: AfterCancel) {
        let remains = match after {
            AfterCancel::Over => Remains::Nothing,
            AfterCancel::Gone | AfterCancel::CutOff => Remains::Orphaned,
            AfterCancel::Unread | AfterCancel::Unknown => Remains::Unconfirmed,
        };
        let remains = match after {
            // The connection of a process that was killed was not reset: what the system held of it may yet arrive.
            AfterCancel::CutOff if self.unsettled.is_inherited(id, execution) => Remains::Unconfirmed,
            _ => remains,
        };
        let stopping = self.out(id, execution).and_then(|x| x.stopping);
        // A statement that may wait unread at its engine is not over: where one attempt may be out at a time, the next would go out
        // beside it as soon as that engine reads on, however long it took. Only its own time ends the wait.
        let over = matches!(after, AfterCancel::Over | AfterCancel::Gone | AfterCancel::CutOff);
        match stopping {
            Some(outcome) if over => self.end(now, id, execution, outcome.into(), remains),
            Some(_) => {}
            None => self.settle_unheard(now, id, execution, remains),
        }
    }

    /// Gives an execution its one outcome; whatever else comes for it is dropped. What may remain of it at its engine counts on.
    fn end(&mut self, now: Duration, id: &Id, execution: usize, ending: Ending, remains: Remains) {
        let Some(stmt) = self.stmts.get_mut(id) else {
            self.counts.too_late += 1;
            return;
        };
        let x = stmt.executions.get_mut(execution);
        let Some((x, at)) = x.and_then(|x| x.out.take().map(|at| (x, at))) else {
            self.counts.too_late += 1;
            return;
        };
        self.due.remove(&at);
        let (engine, elapsed) = (x.engine.clone(), now.saturating_sub(x.sent));
        let parts = std::mem::take(&mut x.took);
        let Ending { outcome, pages, consumed, report, .. } = ending;
        x.unheard = remains == Remains::Unconfirmed;
        x.never_ran = matches!(outcome, Outcome::Full | Outcome::Refused | Outcome::Skipped);
        let open = stmt.open.is_some();
        if let Some(node) = self.fleet.as_mut().filter(|_| !parts.is_empty()) {
            let name = node.execution_ended(now, parts, remains);
            let write = self.unsettled.ended(id, execution, name);
            self.effects.extend(write.map(Effect::Record));
            self.room_changed = true;
            self.tell_room(now);
        }
        if outcome == Outcome::Completed && open {
            self.counts.completed += 1;
            self.answer(id, Answer::Completed(pages));
        }
        self.count(outcome, &engine);
        let is_final = self.stmts.get(id).is_none_or(|s| s.open.is_none());
        let ended =
            ExecutionEnd { id: id.clone(), execution, engine, outcome, is_final, elapsed, consumed, report };
        self.news.push_back(Event::ExecutionEnded(ended));
        self.forget(id);
    }

    fn count(&mut self, outcome: Outcome, engine: &Id) {
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
        self.ill.entry(engine.clone()).and_modify(|n| *n += 1).or_insert(1);
    }

    /// Executions that went wrong since this was last asked, by engine.
    pub fn take_ill(&mut self) -> BTreeMap<Id, u64> {
        std::mem::take(&mut self.ill)
    }

    /// Where a statement may have one execution out at a time, the outcome waits until the engine knows, or the
    /// statement's time is over: the next execution must not overtake the cancel.
    fn stop(&mut self, now: Duration, id: &Id, execution: usize, outcome: Outcome) {
        let Some(x) = self.out(id, execution) else { return };
        let (engine, address, stopping) = (x.engine.clone(), x.address, x.stopping);
        let last = self.last_moment(now, id);
        if stopping.is_none() {
            let cancel = self.cancel(x, last.saturating_sub(now));
            self.effects.push(Effect::Stop { id: id.clone(), execution, engine, address, cancel });
        }
        if !self.one_at_a_time || now >= last {
            let outcome = stopping.unwrap_or(outcome);
            return self.end(now, id, execution, outcome.into(), Remains::Unconfirmed);
        }
        let at = self.set(last, Due::Execution(id.clone(), execution));
        let x = self.stmts.get_mut(id).and_then(|s| s.executions.get_mut(execution));
        let before = x.and_then(|x| {
            x.stopping = x.stopping.or(Some(outcome));
            x.out.replace(at)
        });
        before.into_iter().for_each(|before| drop(self.due.remove(&before)));
    }

    /// How the engine of an execution is told to end it, of a statement that has so much time left.
    fn cancel(&self, x: &Execution, left: Duration) -> Cancel {
        let counted =
            self.fleet.as_ref().filter(|_| !x.took.is_empty()).map(|node| node.max_unconfirmed_time());
        let waits = if self.one_at_a_time { left } else { Duration::ZERO };
        let within = CANCEL_WITHIN.max(waits).max(counted.unwrap_or_default());
        Cancel { arrived: x.arrived, within, awaited: !waits.is_zero() || counted.is_some() }
    }

    /// Time in which this gateway stood still is no time that an execution was given: it gets as much again, within the
    /// statement's own time.
    fn wait_on(&mut self, now: Duration, late: Duration, id: &Id, execution: usize) -> bool {
        let last = self.last_moment(now, id);
        if now >= last || self.out(id, execution).is_none_or(|x| x.stopping.is_some()) {
            return false;
        }
        let at = self.set(last.min(now + late), Due::Execution(id.clone(), execution));
        let x = self.stmts.get_mut(id).and_then(|s| s.executions.get_mut(execution));
        x.into_iter().for_each(|x| x.out = Some(at));
        self.counts.waited_on += 1;
        true
    }

    /// Until when an execution of a statement may be out.
    fn last_moment(&self, now: Duration, id: &Id) -> Duration {
        let open = self.stmts.get(id).and_then(|s| s.open);
        open.map_or(now, |(guard, _)| guard.saturating_sub(GUARD + ON_ITS_WAY + self.tick))
    }

    fn list(&mut self, kind: ListKind, list: Vec<Listed>) {
        if matches!(kind, ListKind::Snapshot | ListKind::Cached) {
            self.engines.clear();
        }
        self.silent = kind == ListKind::Failed;
        self.listed |= kind != ListKind::Failed;
        let entries = list.iter().map(|listed| listed.entry.clone()).collect();
        self.predecessor_check.iter_mut().for_each(|check| check.add_engines(list.iter()));
        for listed in list {
            self.engines.insert(listed.entry.id.clone(), listed);
        }
        self.news.push_back(Event::EngineList(kind, entries));
    }

    fn fall_due(&mut self, now: Duration, late: Duration, due: Due) {
        match due {
            Due::Mark(mark) => self.news.push_back(Event::Timer(mark)),
            Due::Execution(id, execution) => {
                if late < STOOD_STILL || !self.wait_on(now, late, &id, execution) {
                    self.stop(now, &id, execution, Outcome::TimedOut);
                }
            }
            Due::Statement(id) => {
                self.broken.check(Invariant::AnsweredInTime, false);
                self.counts.aborted += 1;
                self.answer(&id, Answer::Aborted);
                self.news.push_back(Event::ClientDisconnected(id));
            }
        }
    }

    fn act(&mut self, now: Duration, action: Action) {
        match action {
            Action::Send { id, engine, timeout } => self.send(now, id, engine, timeout),
            Action::Resources { id, mem_mb, .. } => {
                if let Some(stmt) = self.stmts.get_mut(&id) {
                    stmt.mem_mb = mem_mb;
                }
            }
            Action::BudgetUsage { id, usage } => {
                if let (Some(stmt), Some(node)) = (self.stmts.get_mut(&id), &mut self.fleet) {
                    node.execution_started(now, &usage);
                    stmt.takes = usage;
                }
            }
            Action::Cancel { id, execution } => {
                self.counts.stopped += u64::from(self.out(&id, execution).is_some());
                self.stop(now, &id, execution, Outcome::Cancelled);
            }
            Action::Reject { id, retry_in } => {
                self.counts.rejected += 1;
                self.was_refused(now, &id);
                self.answer(&id, Answer::Rejected(retry_in));
            }
            Action::Abort { id } => {
                self.counts.aborted += 1;
                self.answer(&id, Answer::Aborted);
            }
            Action::Timer { mark, delay } => {
                self.set(now + delay, Due::Mark(mark));
            }
            // The list is always followed: what is asked for is here already, or comes once there is word again.
            Action::RequestList if self.silent => {}
            Action::RequestList => {
                let entries = self.engines.values().map(|listed| listed.entry.clone()).collect();
                self.news.push_back(Event::EngineList(ListKind::Snapshot, entries));
            }
            Action::Gossip { to, message } => self.effects.push(Effect::Tell { to, message }),
        }
    }

    fn send(&mut self, now: Duration, id: Id, engine: Id, timeout: Duration) {
        let address = self.engines.get(&engine).map(|listed| listed.address);
        self.broken.check(Invariant::KnownEngine, address.is_some());
        let open = self.stmts.get(&id).map(|stmt| stmt.open.is_some());
        self.broken.check(Invariant::KnownStatement, open.is_some());
        self.broken.check(Invariant::NothingAfter, open != Some(false));
        let execution = self.stmts.get(&id).map_or(0, |stmt| stmt.executions.len());
        let (Some(address), Some(true)) = (address, open) else {
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
            return self.news.push_back(Event::ExecutionEnded(skipped));
        };
        let at = self.set(now + timeout, Due::Execution(id.clone(), execution));
        let Some(stmt) = self.stmts.get_mut(&id) else { return };
        if !stmt.takes.is_empty() {
            let demand = stmt.takes.clone();
            let outstanding = || Outstanding { id: id.to_string(), execution, engine: address, demand };
            self.effects.extend(self.unsettled.sent(outstanding).map(Effect::Record));
        }
        stmt.executions.push(Execution {
            engine: engine.clone(),
            address,
            sent: now,
            out: Some(at),
            stopping: None,
            took: std::mem::take(&mut stmt.takes),
            arrived: false,
            unheard: false,
            never_ran: false,
        });
        self.counts.executions += 1;
        let (parcel, mem_mb) = (stmt.parcel.clone(), stmt.mem_mb);
        let not_after = self.fleet.as_ref().and_then(|node| node.send_deadline(now));
        self.effects.push(Effect::Start {
            id,
            execution,
            engine,
            address,
            parcel,
            mem_mb,
            timeout,
            not_after,
        });
    }
}
