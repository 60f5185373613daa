//! Carries out what the reducer asks for, on one thread: the gateway as it is started, serves and shuts down.

use crate::config::{self, AtStart, Bounds, Start};
use crate::connection::Connections;
use crate::discovery::{EngineSnapshot, ListUpdate, NameServiceClient};
use crate::engines::{Dispatch, EngineClient, ExecutionUpdate, SendGuards};
use crate::fleet::{machine_time, Link};
use crate::front::Front;
use crate::invariants::Invariant;
use crate::operators::{self, Bodies};
use crate::peers::PeerSocket;
use crate::policy;
use crate::record_file::{self, RecordFile};
use crate::reducer::{Answer, Effect, Input, Part, Reducer, Text};
use crate::standstill::Standstill;
use crate::trace::{Attempt, Trace};
use actix_rt::net::TcpListener;
use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, sleep_until, timeout as timeout_after, Instant as TimerInstant};
use bramblewharf::interface::{Effect as Repeat, EngineState, Id, ListKind, WorkloadConfig};
use bramblewharf_bodies::accounting::Counts as BodyCounts;
use bramblewharf_bodies::spool::{Disk, IoThreads, SpoolDirectory};
use bramblewharf_bodies::BodyStore;
use bramblewharf_fleet::predecessor::Predecessor;
use bramblewharf_fleet::{node, FleetConfig, InjectedBug};
use bramblewharf_site::Names;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify};

/// How often idle connections are looked through, and how often figures are logged.
const SWEEP: Duration = Duration::from_millis(250);
const FIGURES: Duration = Duration::from_secs(10);
/// A gateway told to close serves at least so long, as new connections go on coming for a while.
const LEAVE_AT_LEAST: Duration = Duration::from_millis(800);
/// And it is over so long after the time that statements are given: no one is killed with an answer owed.
const LEAVE_SLACK: Duration = Duration::from_millis(300);
/// And it is gone so long after that time, answers that nobody comes for and connections that nobody closes included: the platform kills it
/// 0.7 s after that time.
const GONE_SLACK: Duration = Duration::from_millis(550);
/// A statement waits for its own cancel at an engine no longer than this before it goes there again: an engine
/// that has begun to drain meanwhile must not be sent what was decided before.
const STOP_WITHIN: Duration = Duration::from_millis(150);
/// Time for the last answers to be written, and asked for where clients come back for them.
const LAST_WORDS: Duration = Duration::from_millis(250);
/// How often a gateway that leaves looks whether it may, and how long it must have been quiet once it accepts no more.
const LOOK: Duration = Duration::from_millis(20);
const QUIET: Duration = Duration::from_millis(60);
/// Connections that were let go are read out for so long, so that no answer on its way is destroyed by a reset.
const READ_OUT: Duration = Duration::from_millis(100);

/// A clock that counts on while the machine sleeps; or, in tests, one that is wrong on purpose.
pub type Ticks = Rc<dyn Fn() -> Duration>;

/// The Unix time as it was at the start, and one clock from then on, which no correction moves. In a fleet that clock counts on
/// while the machine sleeps, so that no leave outlasts its end.
struct Clock {
    at_start: Duration,
    start: Instant,
    ticks: Option<(Ticks, Duration)>,
}

impl Clock {
    fn new(ticks: Option<Ticks>) -> Clock {
        let at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ticks = ticks.map(|ticks| (ticks.clone(), ticks()));
        Clock { at_start, start: Instant::now(), ticks }
    }

    fn now(&self) -> Duration {
        match &self.ticks {
            // One that goes back shows it: whoever keeps leave has to see that.
            Some((ticks, start)) => (self.at_start + ticks()).saturating_sub(*start),
            None => self.at_start + self.start.elapsed(),
        }
    }

    /// The time that an instant of this process was at.
    fn at(&self, instant: TimerInstant) -> Duration {
        self.now().saturating_sub(instant.elapsed())
    }

    fn instant(&self, at: Duration) -> TimerInstant {
        match self.ticks {
            Some(_) => TimerInstant::now() + at.saturating_sub(self.now()),
            None => TimerInstant::from_std(self.start + at.saturating_sub(self.at_start)),
        }
    }
}

/// What a gateway may be given beside its configuration.
#[derive(Default)]
pub struct Ports {
    /// Files for bodies go here, instead of the folder that the operators name.
    pub disk: Option<Arc<dyn Disk>>,
    /// The clock of a gateway in a fleet.
    pub ticks: Option<Ticks>,
    /// A known mistake in what it does in a fleet, to see that checkers find it.
    pub wrong: Option<InjectedBug>,
    pub wrong_policy: Option<bramblewharf_policy::InjectedBug>,
}

/// Several reloads may come before the first is taken in: the last word on each counts.
#[derive(Default)]
struct Turn {
    names: Option<Option<SocketAddr>>,
    known: Option<EngineSnapshot>,
}

/// The reducer, and what its effects need.
pub struct Core {
    reducer: RefCell<Reducer>,
    clock: Clock,
    pub bounds: Bounds,
    pub names: Names,
    /// Of each workload: how long clients wait at most, and whether their statements carry a key.
    pub longest: Vec<Option<Duration>>,
    pub keyed: Vec<bool>,
    /// Of each workload, whether a text beyond the ordinary size is kept or else not taken.
    pub strict: Vec<bool>,
    /// Beyond the ordinary time a text may come as slowly as so many bytes a second.
    pub slowest: u64,
    /// How long whom we have no room for should stay away, where the settings allow that to be told.
    pub stay_away: Option<Duration>,
    pub bodies: Rc<BodyStore>,
    pub log: Logger,
    trace: Trace,
    /// When this process stood still last.
    pub standstill: Standstill,
    engines: EngineClient,
    peers: Option<PeerSocket>,
    fleet: Option<Link>,
    policy: Option<policy::Disk>,
    /// Where what is out at engines is kept.
    record: Option<RecordFile>,
    names_passed_over: Rc<Cell<u64>>,
    /// When the list was last confirmed.
    list_heard: Rc<Cell<TimerInstant>>,
    callers: Cell<u64>,
    answers: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    running: RefCell<HashMap<(Id, usize), JoinHandle<()>>>,
    /// Cancels under way: the same statement waits for them before it goes to that engine again.
    stopping: RefCell<HashMap<(Id, Id), JoinHandle<()>>>,
    /// The earliest time that something may be due has changed.
    due: Notify,
    /// What a reload has changed for whoever follows the list.
    turned: RefCell<Turn>,
    turn: Notify,
    /// By kind, of which there are as many as the front has refusals.
    bad_calls: RefCell<BTreeMap<&'static str, u64>>,
    faults: Cell<u64>,
    /// Nothing is taken in or carried out any longer.
    closed: Cell<bool>,
}

impl Core {
    /// The only way in: all that happens goes through the reducer, and its effects follow at once.
    pub fn input(self: &Rc<Self>, input: Input) {
        self.take_in(input);
    }

    /// Whether it was taken in whole: a fault in a decision may have left a part of it out.
    fn take_in(self: &Rc<Self>, input: Input) -> bool {
        if self.closed.get() {
            return true;
        }
        self.standstill.works(Instant::now());
        let faults = self.faults.get();
        self.trace.input(&input);
        let (effects, sooner) = {
            let mut reducer = self.reducer.borrow_mut();
            let before = reducer.due();
            let step = AssertUnwindSafe(|| reducer.step(self.clock.now(), input));
            // A fault in the decisions costs one input, not the gateway: its timers and other statements go on.
            let effects = catch_unwind(step).unwrap_or_else(|fault| {
                self.faults.set(self.faults.get() + 1);
                slog::error!(self.log, "fault in a decision"; "faults" => self.faults.get());
                if cfg!(debug_assertions) {
                    resume_unwind(fault);
                }
                Vec::new()
            });
            self.trace.refused(reducer.refused());
            (effects, reducer.due() != before)
        };
        if sooner {
            self.due.notify_one();
        }
        if let Some(link) = &self.fleet {
            // Before anything is done by what it has now.
            let (now, mut reducer) = (self.clock.now(), self.reducer.borrow_mut());
            let fact = reducer.policy().filter(|_| link.wants_facts()).map(|policy| policy.fact(now));
            reducer.fleet().into_iter().for_each(|node| link.note(now, node, fact.as_ref()));
        }
        effects.into_iter().for_each(|effect| self.carry_out(effect));
        self.faults.get() == faults
    }

    /// Returns once what came while this process stood still has been read: at once, unless it just did.
    pub async fn settled(&self) {
        let now = Instant::now();
        self.standstill.works(now);
        if let Some(left) = self.standstill.settles(now) {
            sleep(left).await;
        }
    }

    /// Whether a statement whose large text begins to come would be rejected for want of room for statements.
    pub fn turns_away(&self) -> bool {
        self.reducer.borrow_mut().turns_away()
    }

    /// A number for a new caller, and where its answer will be.
    pub fn expect(&self) -> (u64, oneshot::Receiver<Answer>) {
        let caller = self.callers.get();
        self.callers.set(caller + 1);
        let (sender, receiver) = oneshot::channel();
        self.answers.borrow_mut().insert(caller, sender);
        (caller, receiver)
    }

    pub fn forget(&self, caller: u64) {
        self.answers.borrow_mut().remove(&caller);
    }

    /// One more call that was refused for what it was, by kind.
    pub fn bad_call(&self, kind: &'static str) {
        *self.bad_calls.borrow_mut().entry(kind).or_default() += 1;
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Answer { caller, answer } => {
                let waits = self.answers.borrow_mut().remove(&caller);
                self.trace.answered(caller, &answer, waits.is_some());
                if let Some(waits) = waits {
                    let _ = waits.send(answer);
                }
            }
            Effect::Start { id, execution, engine, address, parcel, mem_mb, timeout, not_after } => {
                let core = self.clone();
                let list_age = self.list_heard.get().elapsed();
                let (of, to) = (&id, &engine);
                self.trace.decided(&Attempt { id: of, execution, engine: to, address, timeout, list_age });
                let until = Instant::now() + timeout;
                let stopping = self.stopping.borrow_mut().remove(&(id.clone(), engine));
                let key = (id.clone(), execution);
                let task = actix_rt::spawn(async move {
                    if let Some(mut stopping) = stopping {
                        // A cancel that came after the next execution would end that one.
                        if timeout_after(STOP_WITHIN, &mut stopping).await.is_err() {
                            stopping.abort();
                        }
                    }
                    let may_begin = || {
                        let now = core.clock.now();
                        let due = not_after.is_none_or(|end| now <= end);
                        let lapsed = core.reducer.borrow().lapsed(now, &id, execution);
                        core.trace.goes_out(&id, execution, lapsed, core.list_heard.get().elapsed());
                        let goes = due && lapsed.is_none();
                        if goes {
                            core.reducer.borrow_mut().goes_out(now, &id, execution);
                        }
                        goes
                    };
                    let may_complete = || core.reducer.borrow().may_arrive(core.clock.now(), &id, execution);
                    let guards = SendGuards { may_begin: &may_begin, may_complete: &may_complete };
                    let dispatch = Dispatch { address, parcel: &parcel, mem_mb, deadline: until, guards };
                    let on_update = |update| {
                        let id = id.clone();
                        core.input(match update {
                            ExecutionUpdate::Arrived => Input::Arrived { id, execution },
                            ExecutionUpdate::Note(note) => Input::Noted { id, execution, note },
                        });
                    };
                    let ending = core.engines.run(dispatch, on_update).await;
                    core.running.borrow_mut().remove(&(id.clone(), execution));
                    if matches!(&parcel.text, Text::Body(body) if !body.is_kept()) {
                        core.input(Input::Unkept(id.clone()));
                    }
                    core.input(Input::Ended { id, execution, ending });
                });
                self.running.borrow_mut().insert(key, task);
            }
            Effect::Stop { id, execution, engine, address, cancel } => {
                self.trace.stops(&id, execution, &engine);
                if let Some(task) = self.running.borrow_mut().remove(&(id.clone(), execution)) {
                    task.abort();
                }
                let core = self.clone();
                let key = (id.clone(), engine);
                let own = key.clone();
                let task = actix_rt::spawn(async move {
                    let after = core.engines.stop(address, &id, cancel).await;
                    core.stopping.borrow_mut().remove(&own);
                    core.input(Input::Stopped { id, execution, after });
                });
                self.stopping.borrow_mut().insert(key, task);
            }
            Effect::Record(write) => {
                self.record.iter().for_each(|record| record.write(&write, &self.log));
            }
            Effect::Hear { address, name, within } => {
                let core = self.clone();
                actix_rt::spawn(async move {
                    let has_read = core.engines.confirm_reads(address, &name, within).await;
                    core.input(Input::EngineHeard { has_read });
                });
            }
            Effect::Keep { generation, bytes } => {
                let known = self.policy.as_ref().map_or(Some(true), |disk| disk.keep(generation, bytes));
                if let Some(well) = known {
                    // Not within what asked for it: its own effects come first.
                    let core = self.clone();
                    actix_rt::spawn(async move { core.input(Input::Kept { generation, well }) });
                }
            }
            Effect::Say { to, envelope } => {
                if let Some(link) = &self.fleet {
                    link.say(&to, &envelope);
                }
            }
            Effect::Tell { to, message } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &message);
                }
            }
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let due = self.reducer.borrow().due();
            let due = due.map(|at| self.clock.instant(at));
            tokio::select! {
                _ = self.due.notified() => {}
                _ = async { sleep_until(due.unwrap_or_else(TimerInstant::now)).await }, if due.is_some() => {
                    self.input(Input::Wake);
                }
            }
        }
    }

    async fn hear_peers(self: Rc<Self>) {
        while let Some(peers) = &self.peers {
            let event = peers.receive().await;
            self.input(Input::Told(event));
        }
    }

    async fn hear_fleet(self: Rc<Self>) {
        while let Some(link) = &self.fleet {
            let (envelope, from) = link.hear().await;
            self.input(Input::Fleet(envelope, from));
        }
    }

    fn write_status(&self) {
        let Some(link) = self.fleet.as_ref().filter(|link| link.wants_status()) else { return };
        let now = self.clock.now();
        let mut reducer = self.reducer.borrow_mut();
        let policy = reducer.policy().map(|policy| policy.status(now));
        if let Some(node) = reducer.fleet() {
            link.write_status(now, &node.status(now), policy.as_ref());
        }
    }

    async fn follow_list(self: Rc<Self>, mut name_service: NameServiceClient) {
        let mut before: BTreeMap<Id, EngineState> = BTreeMap::new();
        loop {
            let news = tokio::select! {
                biased;
                () = self.turn.notified() => {
                    let Turn { names, known } = self.turned.take();
                    if let Some(names) = names {
                        name_service.set_server(names);
                        self.input(names.map_or(Input::ListStays, |_| Input::ListAsked(None)));
                    }
                    match known.filter(|known| name_service.advance_to(known.serial)) {
                        // A file may be older than what it holds: it confirms nothing.
                        Some(known) => (known, None),
                        None => continue,
                    }
                }
                update = name_service.next_update() => match update {
                    ListUpdate::List(known, asked) => (known, Some(asked)),
                    ListUpdate::Unchanged(asked) => {
                        self.input(Input::ListAsked(Some(self.clock.at(asked))));
                        continue;
                    }
                    ListUpdate::Disputed(known) => {
                        self.input(Input::ListDisputed(known.engines));
                        continue;
                    }
                    ListUpdate::NoAnswer => {
                        self.input(Input::ListAsked(None));
                        continue;
                    }
                    ListUpdate::Silent => {
                        self.input(Input::ListAsked(None));
                        self.input(Input::Engines(ListKind::Failed, Vec::new()));
                        continue;
                    }
                },
            };
            let (known, asked) = news;
            let entries = known.engines.iter().map(|listed| (listed.entry.id.clone(), listed.entry.state));
            let now: BTreeMap<Id, EngineState> = entries.collect();
            let draining = now.values().filter(|state| **state == EngineState::Draining).count();
            let removed = before.keys().filter(|id| !now.contains_key(*id)).count();
            slog::info!(self.log, "list of engines"; "no" => known.serial, "engines" => now.len(),
                "draining" => draining, "removed" => removed);
            for listed in known.engines.iter().filter(|l| before.get(&l.entry.id) != Some(&l.entry.state)) {
                self.trace.listed(
                    &listed.entry.id,
                    &format!("{:?}", listed.entry.state),
                    Some(listed.address),
                );
            }
            before
                .keys()
                .filter(|id| !now.contains_key(*id))
                .for_each(|id| self.trace.listed(id, "Gone", None));
            before = now;
            // Confirmed is what was taken in, and nothing else.
            match (self.take_in(Input::Engines(ListKind::Snapshot, known.engines)), asked) {
                (true, Some(asked)) => self.input(Input::ListAsked(Some(self.clock.at(asked)))),
                (true, None) => {}
                (false, _) => name_service.forget_serial(),
            }
        }
    }

    fn log_figures(&self, clients: &Connections) {
        let mut reducer = self.reducer.borrow_mut();
        let ill = reducer.take_ill();
        let mut broken = reducer.broken.clone();
        broken.add(Invariant::ClosesAnswered, clients.close_counts.unanswered());
        slog::info!(self.log, "figures"; "counts" => ?reducer.counts, "held" => reducer.held(),
            "open" => reducer.open(), "ill" => ?ill, "bad_calls" => ?self.bad_calls.borrow(),
            "refusals" => ?reducer.refusals, "closed" => ?clients.close_counts.counts(), "closed_to_engines" => ?self.engines.close_counts().counts(),
            "asked_again" => self.engines.retried_calls(), "names_passed_over" => self.names_passed_over.get(),
            "list_age_ms" => self.list_heard.get().elapsed().as_millis() as u64,
            "peers_passed_over" => self.peers.as_ref().map_or(0, PeerSocket::ignored_datagrams),
            "bodies" => ?self.bodies.counts(), "written" => ?self.bodies.spooled_bytes(),
            "bodies_fault" => self.bodies.take_last_error(),
            "connections" => self.engines.connections(), "faults" => self.faults.get(),
            "broken" => ?broken.counts().filter(|(_, n)| *n > 0).collect::<Vec<_>>());
    }
}

/// A gateway that serves. To be started inside a single-threaded runtime with a local task set, such as
/// `actix_rt::System`; dropping it ends its tasks.
pub struct Gateway {
    core: Rc<Core>,
    front: Rc<Front>,
    tasks: Vec<JoinHandle<()>>,
    address: SocketAddr,
    leave_within: Duration,
    at_start: AtStart,
    bodies: Bodies,
    folder: Option<Arc<SpoolDirectory>>,
    fleet: (Option<operators::Fleet>, BTreeMap<String, operators::Budget>),
    /// The name service and other gateways, as last read.
    in_force: RefCell<(Option<SocketAddr>, Option<config::Peers>)>,
}

impl Gateway {
    /// Binds all its addresses before anything else; where one cannot be had, nothing is left behind.
    pub async fn start(start: Start, log: Logger) -> io::Result<Gateway> {
        Gateway::start_on(start, log, None).await
    }

    /// With files for bodies on that disk, where it is given, instead of the folder that the operators name.
    pub async fn start_on(start: Start, log: Logger, disk: Option<Arc<dyn Disk>>) -> io::Result<Gateway> {
        Gateway::start_with(start, log, Ports { disk, ..Ports::default() }).await
    }

    pub async fn start_with(start: Start, log: Logger, ports: Ports) -> io::Result<Gateway> {
        let Ports { disk, ticks, wrong, wrong_policy } = ports;
        let named = |what: &str, address: &dyn std::fmt::Display, e: io::Error| {
            io::Error::new(e.kind(), format!("{what}: {address}: {e}"))
        };
        let listener = listen(start.listen).map_err(|e| named("listen", &start.listen, e))?;
        let address = listener.local_addr()?;
        let peers = match start.peers.clone() {
            None => None,
            Some(peers) => {
                let at = peers.listen;
                let bound = PeerSocket::bind(peers, start.site.gateway as usize).await;
                Some(bound.map_err(|e| named("peer_listen", &at, e))?)
            }
        };
        let fleet = match &start.fleet {
            None => None,
            Some(terms) => {
                let link = Link::bind(terms).await;
                Some(link.map_err(|e| named("fleet", &terms.listen, e))?)
            }
        };
        let name_service =
            NameServiceClient::start(start.names, start.known.serial, start.seed, log.clone())?;
        let in_force = RefCell::new((start.names, start.peers.clone()));
        let ticks = start.fleet.is_some().then(|| ticks.unwrap_or_else(|| Rc::new(machine_time)));
        let clock = Clock::new(ticks);
        let (one_at_a_time, idle) = (!start.site.concurrent_executions, start.engine_idle);
        let (bounds, words) = (start.bounds.clone(), start.words.clone());
        let engines = EngineClient::new(bounds, words, start.dial_timeout, idle, one_at_a_time);
        let deduplicated = |w: &WorkloadConfig| matches!(w.effect, Repeat::Deduplicated(_));
        let keyed = start.site.workloads.iter().map(deduplicated).collect();
        let (bodies, folder) = keeper(&start.operators.bodies, disk, &log)?;
        let strict = start.words.workloads.iter().map(|w| start.operators.bodies.is_strict(w)).collect();
        let (slowest, stay_away) = (start.operators.bodies.slowest.as_u64(), start.site.max_retry_after);
        let of_policy = start.fleet.as_ref().and_then(|terms| terms.policy.clone());
        let (policy, kept) = match &of_policy {
            Some(terms) => {
                if let Some(fault) = &terms.fault {
                    slog::error!(log, "what was kept of the policy is not read"; "fault" => fault);
                }
                let (disk, kept) = policy::Disk::start(terms.file.clone())?;
                (Some(disk), Some(kept))
            }
            None => (None, None),
        };
        let of_policy = of_policy.map(|mut terms| {
            terms.start.terms.injected_bug = wrong_policy;
            (terms.start, terms.names)
        });
        let record_path = start.fleet.as_ref().and_then(|terms| terms.outstanding_file.clone());
        let part = start.fleet.map(|terms| {
            let start = node::Start {
                config: FleetConfig { injected_bug: wrong, ..terms.start.config },
                ..terms.start
            };
            let kept = record_path.as_deref().map(|path| record_file::read(path, &start, &log));
            let (predecessor, slots) =
                kept.map_or((Predecessor::Unknown, None), |(p, slots)| (p, Some(slots)));
            Part { start, predecessor, slots }
        });
        let (reducer, first) =
            Reducer::start_in(part, of_policy, start.site, start.seed, start.bounds.stmts, clock.now());
        let record = record_path.and_then(|path| {
            let writes = first.iter().filter_map(|effect| match effect {
                Effect::Record(write) => Some(write.clone()),
                _ => None,
            });
            let writes: Vec<_> = writes.collect();
            let replaced = RecordFile::replace(&path, &writes);
            let replaced = replaced.map_err(|error| {
                // The process after this one must not take the file of the one before for ours.
                let removed = std::fs::remove_file(&path);
                slog::error!(log, "no record of what is out is kept"; "file" => %path.display(),
                    "error" => %error, "removed" => removed.is_ok());
            });
            replaced.ok()
        });
        let core = Rc::new(Core {
            reducer: RefCell::new(reducer),
            clock,
            bounds: start.bounds,
            names: start.words,
            longest: start.longest,
            keyed,
            strict,
            slowest,
            stay_away,
            bodies,
            trace: Trace::new(&log),
            standstill: Standstill::new(Instant::now()),
            log,
            engines,
            peers,
            fleet,
            policy,
            record,
            names_passed_over: name_service.ignored_answers.clone(),
            list_heard: name_service.last_confirmed(),
            callers: Cell::new(0),
            answers: RefCell::default(),
            running: RefCell::default(),
            stopping: RefCell::default(),
            due: Notify::new(),
            turned: RefCell::default(),
            turn: Notify::new(),
            bad_calls: RefCell::default(),
            faults: Cell::new(0),
            closed: Cell::new(false),
        });
        first.into_iter().for_each(|effect| core.carry_out(effect));
        core.input(Input::Engines(ListKind::Cached, start.known.engines));
        if start.names.is_some() {
            // What the configuration holds was told with it.
            core.input(Input::ListAsked(Some(core.clock.now())));
        }
        let front = Front::new(&core.bounds);
        slog::info!(core.log, "serving"; "name" => start.name, "listen" => %address,
            "bounds" => ?core.bounds);
        let mut tasks =
            vec![actix_rt::spawn(core.clone().keep_time()), actix_rt::spawn(core.clone().hear_peers())];
        tasks.push(actix_rt::spawn(core.clone().follow_list(name_service)));
        if core.fleet.is_some() {
            tasks.push(actix_rt::spawn(core.clone().hear_fleet()));
        }
        if let Some(mut kept) = kept {
            let core = core.clone();
            tasks.push(actix_rt::spawn(async move {
                while let Some((generation, well)) = kept.recv().await {
                    core.input(Input::Kept { generation, well });
                }
            }));
        }
        core.reducer.borrow_mut().serves();
        let (accepting, log) = (front.clone().accept(listener, core.clone()), core.log.clone());
        tasks.push(actix_rt::spawn(async move {
            if let Err(error) = accepting.await {
                slog::error!(log, "no longer accepting"; "error" => %error);
            }
        }));
        let linger = front.connections.linger.clone();
        tasks.push(actix_rt::spawn(async move { linger.run().await }));
        let (swept, engines) = (front.clone(), core.clone());
        tasks.push(actix_rt::spawn(async move {
            let mut logged = Instant::now();
            loop {
                sleep(SWEEP).await;
                // Nothing is closed for its age while what came during a pause waits to be read.
                engines.settled().await;
                swept.connections.close_idle();
                engines.engines.close_idle();
                engines.write_status();
                if logged.elapsed() >= FIGURES {
                    logged = Instant::now();
                    engines.log_figures(&swept.connections);
                }
            }
        }));
        let (leave_within, at_start) = (start.leave_within, start.at_start);
        let (bodies, fleet) = (start.operators.bodies, (start.operators.fleet, start.operators.budget));
        Ok(Gateway { core, front, tasks, address, leave_within, at_start, bodies, folder, fleet, in_force })
    }

    /// Takes over what can change while it serves, with no statement touched: the name service, other gateways'
    /// addresses, and `known` where it is later than the list in force. What waits for a restart is named in the log.
    pub fn reload(&self, start: Start) {
        let log = &self.core.log;
        let mut in_force = self.in_force.borrow_mut();
        let (names, peers) = &*in_force;
        let mut turned = self.core.turned.borrow_mut();
        if start.names != *names {
            turned.names = Some(start.names);
        }
        let mut waits = self.at_start.changed(&start.at_start);
        // Whether messages are exchanged at all is settled at the start.
        if peers.is_some() != start.peers.is_some() && !waits.contains(&"peer_listen") {
            waits.push("peers");
        }
        // How much is kept takes effect at once, where and by how many threads with a restart.
        let bodies = &start.operators.bodies;
        self.core.bodies.set_bounds(bodies.bounds());
        if self.bodies != *bodies && !self.bodies.is_alike(bodies) {
            waits.push("bodies");
        }
        if self.fleet != (start.operators.fleet, start.operators.budget) {
            waits.push("fleet");
        }
        if let (Some(ours), Some(peers)) = (&self.core.peers, &start.peers) {
            ours.set_addresses(peers.clone());
        }
        slog::info!(log, "configuration reloaded"; "names" => ?start.names, "known" => start.known.serial,
            "waits_for_restart" => ?waits);
        *in_force = (start.names, start.peers);
        turned.known = Some(start.known);
        self.core.turn.notify_one();
    }

    /// What is held of texts beyond the ordinary size, and what has been since the start.
    pub fn bodies(&self) -> BodyCounts {
        self.core.bodies.counts()
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on serving until all that was taken is answered and no new statements come; what is still open when its time is over is
    /// aborted, and what could not end by then is turned away instead of being begun. Then it accepts no more, answers what had
    /// been accepted, shuts its connections for writing, reads them out and closes.
    pub async fn shut_down(self) {
        // Told while this process stood still, it may have been told when that began.
        let now = Instant::now();
        self.core.standstill.works(now);
        let waited = self.core.standstill.waited(now);
        let began = now.checked_sub(waited).unwrap_or(now);
        slog::info!(self.core.log, "closing"; "waited_ms" => waited.as_millis() as u64);
        let within = LEAVE_AT_LEAST.max(self.leave_within + LEAVE_SLACK);
        self.core.input(Input::Closing((self.core.clock.now() + within).saturating_sub(waited)));
        let left = || within.saturating_sub(began.elapsed());
        let gone_within = (LEAVE_AT_LEAST + READ_OUT).max(self.leave_within + GONE_SLACK);
        let gone_in = || gone_within.saturating_sub(began.elapsed());
        self.quiet(LEAVE_AT_LEAST / 3, |_| began.elapsed() >= LEAVE_AT_LEAST, left).await;
        self.front.stop_accepting();
        self.quiet(QUIET, |front| front.connections.open_calls() == 0, left).await;
        self.core.input(Input::Close);
        let closed = Instant::now();
        let owed = || self.front.sessions.owed() + self.front.connections.open_calls() > 0;
        sleep(LAST_WORDS / 4).await;
        while owed() && closed.elapsed() < LAST_WORDS && gone_in() > READ_OUT {
            sleep(LAST_WORDS / 20).await;
        }
        // Said more than once, as it may be lost: else what this gateway had is free only once its leave has ended.
        for _ in 0..3 {
            self.core.input(Input::Depart);
        }
        self.front.connections.close_all_at_shutdown();
        let parted = Instant::now();
        while self.front.connections.linger.count() > 0 && parted.elapsed() < READ_OUT && !gone_in().is_zero()
        {
            sleep(LOOK / 4).await;
        }
        self.core.log_figures(&self.front.connections);
        slog::info!(self.core.log, "closed");
    }

    /// Returns once no statement has begun to come for so long, none is open, no answer is owed and `more` holds, or no time is left.
    async fn quiet(&self, for_: Duration, more: impl Fn(&Front) -> bool, left: impl Fn() -> Duration) {
        let mut last = (self.front.begun.get(), Instant::now());
        while !left().is_zero() {
            sleep(LOOK).await;
            if self.front.begun.get() != last.0 {
                last = (self.front.begun.get(), Instant::now());
            }
            let none = self.core.reducer.borrow().open() == 0 && self.front.sessions.owed() == 0;
            if none && last.1.elapsed() >= for_ && more(&self.front) {
                return;
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.core.closed.set(true);
        self.tasks.iter().for_each(JoinHandle::abort);
        self.core.running.borrow().values().for_each(JoinHandle::abort);
        self.core.stopping.borrow().values().for_each(JoinHandle::abort);
        self.front.connections.close_all();
        self.core.engines.close_all();
        self.folder.iter().for_each(|folder| folder.remove());
    }
}

/// The texts beyond the ordinary ones: the folder for them, what others left there, and the threads.
fn keeper(
    bodies: &Bodies,
    disk: Option<Arc<dyn Disk>>,
    log: &Logger,
) -> io::Result<(Rc<BodyStore>, Option<Arc<SpoolDirectory>>)> {
    let files = bodies.files.as_ref().filter(|_| bodies.is_on());
    let threads = files.map(|files| -> io::Result<_> {
        if let Some(disk) = disk {
            return Ok((None, IoThreads::start(disk, files.threads, files.zstd)?));
        }
        let named = |e: io::Error| io::Error::new(e.kind(), format!("bodies.files.dir: {}: {e}", files.dir.display()));
        let folder = SpoolDirectory::open(&files.dir).map_err(named)?;
        slog::info!(log, "files for bodies"; "folder" => %folder.path().display(), "removed" => folder.removed);
        let folder = Arc::new(folder);
        Ok((Some(folder.clone()), IoThreads::start(folder, files.threads, files.zstd)?))
    });
    let (folder, threads) = threads.transpose()?.unzip();
    Ok((BodyStore::new(bodies.bounds(), threads), folder.flatten()))
}

/// An address that a gateway before us had is free at once; a burst of new connections is kept waiting.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => actix_rt::net::TcpSocket::new_v4(),
        SocketAddr::V6(_) => actix_rt::net::TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
