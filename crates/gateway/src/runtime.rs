//! Runs the gateway on one thread: startup, the effects that the reducer asks for, reloads and shutdown.

use crate::client_presence::{ClientPresence, ClientStatus};
use crate::config::{self, Bounds, RestartOnlySettings, Start};
use crate::connection::{CallMemoryBook, Connections};
use crate::discovery::{EngineSnapshot, ListUpdate, NameServiceClient};
use crate::engines::{Dispatch, EngineClient, EngineTarget, ExecutionUpdate, SendGuards};
use crate::fleet::{boottime_now, Link};
use crate::frontend::Frontend;
use crate::invariants::Invariant;
use crate::operators::{self, Bodies};
use crate::peers::PeerSocket;
use crate::policy;
use crate::process_pause::PauseDetector;
use crate::record_file::{self, RecordFile};
use crate::reducer::{Answer, Destination, Effect, FleetMembership, Input, Reducer, StatementText};
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

/// Interval at which idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the counters are logged.
const FIGURES_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest time that a gateway keeps serving after it was told to shut down, as new connections keep coming
/// for a while.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(800);
/// The shutdown ends this long after the time given to statements, so that no answer is lost when the process
/// is killed.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(300);
/// The process ends this long after the time given to statements, including undelivered answers and
/// connections that clients leave open. The platform kills it 0.7 s after that time.
const EXIT_SLACK: Duration = Duration::from_millis(550);
/// Longest time that an execution waits for the cancel of the same statement's earlier one at that engine. An
/// engine that has begun to drain meanwhile must not be sent what was decided before.
const CANCEL_WAIT: Duration = Duration::from_millis(150);
/// Time for the last answers to be written, or fetched by clients that poll.
const ANSWER_DELIVERY_TIME: Duration = Duration::from_millis(250);
/// Interval at which the shutdown checks whether it may continue.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long no new statement may have come once the gateway has stopped accepting.
const QUIET_TIME: Duration = Duration::from_millis(60);
/// How long closed connections are drained, so that a reset does not destroy an answer on its way.
const CONNECTION_DRAIN_TIME: Duration = Duration::from_millis(100);

/// A clock that keeps counting while the machine is suspended; tests also use clocks that are wrong on
/// purpose.
pub type ClockSource = Rc<dyn Fn() -> Duration>;

/// The Unix time at the start, continued by a monotonic clock that no correction moves. In a fleet that clock
/// keeps counting while the machine is suspended, so that no grant is used after its expiry.
struct Clock {
    unix_time_at_start: Duration,
    start: Instant,
    /// The fleet's clock and its reading at the start.
    source: Option<(ClockSource, Duration)>,
}

impl Clock {
    fn new(source: Option<ClockSource>, unix_time: Option<Duration>) -> Clock {
        let unix_time_at_start =
            unix_time.unwrap_or_else(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
        let source = source.map(|source| (source.clone(), source()));
        Clock { unix_time_at_start, start: Instant::now(), source }
    }

    fn now(&self) -> Duration {
        match &self.source {
            // A clock that goes backwards is passed on as it is: the grant holder has to detect that.
            Some((source, start)) => (self.unix_time_at_start + source()).saturating_sub(*start),
            None => self.unix_time_at_start + self.start.elapsed(),
        }
    }

    /// The time of a past instant of this process.
    fn time_of(&self, instant: TimerInstant) -> Duration {
        self.now().saturating_sub(instant.elapsed())
    }

    /// The instant at which a timer for this time fires.
    fn instant(&self, at: Duration) -> TimerInstant {
        match self.source {
            Some(_) => TimerInstant::now() + at.saturating_sub(self.now()),
            None => TimerInstant::from_std(self.start + at.saturating_sub(self.unix_time_at_start)),
        }
    }
}

/// Replacements for parts of a gateway that its configuration does not cover.
#[derive(Default)]
pub struct Overrides {
    /// Stores body files, in place of the directory in the operators' settings.
    pub disk: Option<Arc<dyn Disk>>,
    /// The clock of a gateway in a fleet.
    pub clock: Option<ClockSource>,
    /// The Unix time at the start, by a wall clock that may be wrong.
    pub unix_time: Option<Duration>,
    /// A bug injected into the fleet protocol, to test that checkers find it.
    pub injected_bug: Option<InjectedBug>,
    /// A bug injected into the policy protocol.
    pub injected_policy_bug: Option<bramblewharf_policy::InjectedBug>,
}

/// Changes of a reload that are not yet in force. If several reloads come first, the last value of each field
/// counts.
#[derive(Default)]
struct PendingReload {
    names: Option<Option<SocketAddr>>,
    known: Option<EngineSnapshot>,
}

/// A call that waits for an answer.
struct PendingAnswer {
    sender: oneshot::Sender<Answer>,
    client: Rc<ClientPresence>,
}

/// The reducer, and the state that its effects need.
pub struct Core {
    reducer: RefCell<Reducer>,
    clock: Clock,
    /// Limits on connections and statements.
    pub bounds: Bounds,
    /// Names of the workloads and customers.
    pub names: Names,
    /// The longest time clients wait, by workload.
    pub max_client_waits: Vec<Option<Duration>>,
    /// Whether statements must carry an operation key, by workload.
    pub requires_key: Vec<bool>,
    /// Whether a body beyond the ordinary size is rejected if it cannot be kept, by workload.
    pub strict: Vec<bool>,
    /// Slowest rate at which a body may come once the ordinary time is over.
    pub min_bytes_per_second: u64,
    /// Retry delay for clients that are rejected for lack of capacity, where the settings allow one.
    pub retry_after: Option<Duration>,
    /// Bodies beyond the ordinary size.
    pub bodies: Rc<BodyStore>,
    /// The log of the process.
    pub log: Logger,
    trace: Trace,
    /// Detects pauses of this process.
    pub pause_detector: PauseDetector,
    engines: EngineClient,
    peers: Option<PeerSocket>,
    fleet: Option<Link>,
    policy: Option<policy::PolicyFileWriter>,
    /// File that records which executions are in flight at engines.
    record: Option<RecordFile>,
    ignored_name_answers: Rc<Cell<u64>>,
    /// When the engine list was last confirmed.
    list_confirmed: Rc<Cell<TimerInstant>>,
    next_caller: Cell<u64>,
    /// Calls that wait for an answer, by caller.
    pending_answers: RefCell<HashMap<u64, PendingAnswer>>,
    /// Tasks of executions, by statement and execution.
    running: RefCell<HashMap<(Id, usize), JoinHandle<()>>>,
    /// Cancels in progress, by statement and address: the statement waits for them before it is sent there
    /// again.
    cancelling: RefCell<HashMap<(Id, SocketAddr), JoinHandle<()>>>,
    /// The time of the earliest timer has changed.
    due_changed: Notify,
    /// Changes of a reload for the task that follows the engine list.
    pending_reload: RefCell<PendingReload>,
    reloaded: Notify,
    /// Bad calls by kind; the frontend has a fixed set of kinds.
    bad_calls: RefCell<BTreeMap<&'static str, u64>>,
    faults: Cell<u64>,
    /// No input is applied and no effect carried out any longer.
    closed: Cell<bool>,
}

impl Core {
    /// Passes an input to the reducer and carries out its effects at once. Every event enters the gateway
    /// this way.
    pub fn input(self: &Rc<Self>, input: Input) {
        self.apply_input(input);
    }

    /// Applies an input. False if a panic in the reducer may have left a part of it out.
    fn apply_input(self: &Rc<Self>, input: Input) -> bool {
        if self.closed.get() {
            return true;
        }
        self.pause_detector.record_activity(Instant::now());
        let (faults, decided_at) = (self.faults.get(), self.clock.now());
        self.trace.input(&input);
        let (effects, due_changed) = {
            let mut reducer = self.reducer.borrow_mut();
            let before = reducer.next_wake();
            let step = AssertUnwindSafe(|| reducer.step(decided_at, input));
            // A panic in the reducer costs one input, not the gateway: timers and other statements continue.
            let effects = catch_unwind(step).unwrap_or_else(|panic| {
                self.faults.set(self.faults.get() + 1);
                slog::error!(self.log, "panic in the reducer; the input may be partly applied"; "faults" => self.faults.get());
                if cfg!(debug_assertions) {
                    resume_unwind(panic);
                }
                Vec::new()
            });
            self.trace.refused(reducer.last_refusals());
            (effects, reducer.next_wake() != before)
        };
        if due_changed {
            self.due_changed.notify_one();
        }
        if let Some(link) = &self.fleet {
            // Facts are written before any effect that rests on the current state.
            let (now, mut reducer) = (self.clock.now(), self.reducer.borrow_mut());
            let fact = reducer.policy().filter(|_| link.has_facts_file()).map(|policy| policy.fact(now));
            reducer.fleet().into_iter().for_each(|node| link.record_facts(now, node, fact.as_ref()));
        }
        effects.into_iter().for_each(|effect| self.run_effect(decided_at, effect));
        self.faults.get() == faults
    }

    /// Returns once everything that arrived during a pause of this process has been read; at once if there
    /// was no recent pause.
    pub async fn wait_for_backlog(&self) {
        let now = Instant::now();
        self.pause_detector.record_activity(now);
        if let Some(remaining) = self.pause_detector.catch_up_left(now) {
            sleep(remaining).await;
        }
    }

    /// Whether a statement would be rejected because the limit of statements is reached; checked before a
    /// large body is received.
    pub fn rejects_new_statements(&self) -> bool {
        self.reducer.borrow_mut().reject_at_bound()
    }

    /// Registers a new caller: its number, and the channel on which its answer comes.
    pub fn register_caller(&self, client: Rc<ClientPresence>) -> (u64, oneshot::Receiver<Answer>) {
        let caller = self.next_caller.get();
        self.next_caller.set(caller + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_answers.borrow_mut().insert(caller, PendingAnswer { sender, client });
        (caller, receiver)
    }

    /// When data that is read now may have arrived at the earliest.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        self.pause_detector.record_activity(now);
        now.checked_sub(self.pause_detector.queueing_delay(now)).unwrap_or(now)
    }

    /// Looks at the connections of a statement's client, and reports a client that has left or is away, or is
    /// there again.
    pub fn check_client(self: &Rc<Self>, id: &Id, client: &ClientPresence) -> ClientStatus {
        let status = self.client_status(client);
        match status {
            ClientStatus::Disconnected => self.input(Input::ClientDisconnected(id.clone())),
            ClientStatus::Present | ClientStatus::Away => {
                let away = status == ClientStatus::Away;
                if client.report_away(away) {
                    self.input(Input::ClientAway(id.clone(), away));
                }
            }
        }
        status
    }

    fn client_status(&self, client: &ClientPresence) -> ClientStatus {
        let now = Instant::now();
        client.status(now, now - self.earliest_arrival(now))
    }

    /// Waits for the next call of a client that polls, if it may have arrived during a pause of this process
    /// and not have been read yet.
    async fn wait_for_next_poll(&self, client: &ClientPresence) {
        let has_backlog = self.pause_detector.catch_up_left(Instant::now()).is_some();
        if has_backlog && self.client_status(client) == ClientStatus::Away {
            self.wait_for_backlog().await;
        }
    }

    /// The client that waits for the answer to a statement.
    fn client_of(&self, id: &Id) -> Option<Rc<ClientPresence>> {
        let caller = self.reducer.borrow().caller(id)?;
        Some(self.pending_answers.borrow().get(&caller)?.client.clone())
    }

    /// Drops the answer channel of a caller that no longer waits.
    pub fn forget_caller(&self, caller: u64) {
        self.pending_answers.borrow_mut().remove(&caller);
    }

    /// Counts a call that was refused as bad, by kind.
    pub fn count_bad_call(&self, kind: &'static str) {
        *self.bad_calls.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Carries out an effect. `decided_at`: the time that its spans count from; this process may have been
    /// paused since.
    fn run_effect(self: &Rc<Self>, decided_at: Duration, effect: Effect) {
        match effect {
            Effect::Answer { caller, answer } => {
                let pending = self.pending_answers.borrow_mut().remove(&caller);
                self.trace.answered(caller, &answer, pending.is_some());
                if let Some(pending) = pending {
                    let _ = pending.sender.send(answer);
                }
            }
            Effect::Start { id, execution, destination, engine_request, mem_mb, timeout, not_after } => {
                let core = self.clone();
                let list_age = self.list_confirmed.get().elapsed();
                let attempt = Attempt { id: &id, execution, destination: &destination, timeout, list_age };
                self.trace.decided(&attempt);
                let until = self.clock.instant(decided_at + timeout).into_std();
                let cancel_task = self.cancelling.borrow_mut().remove(&(id.clone(), destination.address));
                let key = (id.clone(), execution);
                let task = actix_rt::spawn(async move {
                    if let Some(mut cancel_task) = cancel_task {
                        // A cancel that arrived after the next execution would end that one.
                        if timeout_after(CANCEL_WAIT, &mut cancel_task).await.is_err() {
                            cancel_task.abort();
                        }
                    }
                    let client = core.client_of(&id);
                    if let Some(client) = &client {
                        core.wait_for_next_poll(client).await;
                    }
                    let may_begin = || {
                        client.iter().for_each(|client| {
                            core.check_client(&id, client);
                        });
                        let now = core.clock.now();
                        let in_time = not_after.is_none_or(|end| now <= end);
                        let held_back_by = core.reducer.borrow().recheck(now, &id, execution);
                        core.trace.send_guard(
                            &id,
                            execution,
                            held_back_by,
                            core.list_confirmed.get().elapsed(),
                        );
                        let is_same_process = core.reducer.borrow().engine_listing(&destination).may_begin();
                        let may_send = in_time && held_back_by.is_none() && is_same_process;
                        if may_send {
                            core.reducer.borrow_mut().check_send(now, &id, execution);
                        }
                        may_send
                    };
                    let may_complete =
                        || core.reducer.borrow().may_complete_send(core.clock.now(), &id, execution);
                    let guards = SendGuards { may_begin: &may_begin, may_complete: &may_complete };
                    let listing = || core.reducer.borrow().engine_listing(&destination);
                    let dispatch = Dispatch {
                        target: EngineTarget { destination: &destination, listing: &listing },
                        engine_request: &engine_request,
                        mem_mb,
                        deadline: until,
                        guards,
                    };
                    let on_update = |update| {
                        let id = id.clone();
                        core.input(match update {
                            ExecutionUpdate::Arrived => Input::ExecutionArrived { id, execution },
                            ExecutionUpdate::Note(note) => Input::ExecutionNoted { id, execution, note },
                        });
                    };
                    let result = core.engines.run(dispatch, on_update).await;
                    core.running.borrow_mut().remove(&(id.clone(), execution));
                    if matches!(&engine_request.text, StatementText::Stored(body) if !body.is_kept()) {
                        core.input(Input::BodyLost(id.clone()));
                    }
                    core.input(Input::ExecutionEnded { id, execution, result });
                });
                self.running.borrow_mut().insert(key, task);
            }
            Effect::Stop { id, execution, destination, cancel } => {
                self.trace.stopped(&id, execution, &destination);
                if let Some(task) = self.running.borrow_mut().remove(&(id.clone(), execution)) {
                    task.abort();
                }
                let core = self.clone();
                let key = (id.clone(), destination.address);
                let task_key = key.clone();
                let task = actix_rt::spawn(async move {
                    let listing = || core.reducer.borrow().engine_listing(&destination);
                    let target = EngineTarget { destination: &destination, listing: &listing };
                    let outcome = core.engines.stop(target, &id, cancel).await;
                    core.cancelling.borrow_mut().remove(&task_key);
                    core.input(Input::CancelFinished { id, execution, outcome });
                });
                self.cancelling.borrow_mut().insert(key, task);
            }
            Effect::RecordOutstanding(write) => {
                self.record.iter().for_each(|record| record.write(&write, &self.log));
            }
            Effect::ProbeEngine { address, probe_id, within } => {
                let core = self.clone();
                actix_rt::spawn(async move {
                    let destination = Destination::at(address);
                    let listing = || core.reducer.borrow().engine_listing(&destination);
                    let target = EngineTarget { destination: &destination, listing: &listing };
                    let has_read = core.engines.confirm_reads(target, &probe_id, within).await;
                    core.input(Input::EngineProbed { has_read });
                });
            }
            Effect::StorePolicy { generation, bytes } => {
                let outcome =
                    self.policy.as_ref().map_or(Some(true), |disk| disk.write_state(generation, bytes));
                if let Some(succeeded) = outcome {
                    // In a task of its own, so that the remaining effects of this input come first.
                    let core = self.clone();
                    actix_rt::spawn(async move { core.input(Input::PolicyStored { generation, succeeded }) });
                }
            }
            Effect::SendToFleet { to, envelope } => {
                if let Some(link) = &self.fleet {
                    link.send(&to, &envelope);
                }
            }
            Effect::Gossip { to, message } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &message);
                }
            }
        }
    }

    /// Wakes the reducer whenever a timer is due.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.reducer.borrow().next_wake();
            let due = due.map(|at| self.clock.instant(at));
            tokio::select! {
                _ = self.due_changed.notified() => {}
                _ = async { sleep_until(due.unwrap_or_else(TimerInstant::now)).await }, if due.is_some() => {
                    self.input(Input::Wake);
                }
            }
        }
    }

    /// Passes on the messages of other gateways.
    async fn receive_from_peers(self: Rc<Self>) {
        while let Some(peers) = &self.peers {
            let event = peers.receive().await;
            self.input(Input::PeerEvent(event));
        }
    }

    /// Passes on the messages of the fleet.
    async fn receive_from_fleet(self: Rc<Self>) {
        while let Some(link) = &self.fleet {
            let (envelope, from) = link.receive().await;
            self.input(Input::FleetMessage(envelope, from));
        }
    }

    /// Writes the status file for operators, where one is configured.
    fn write_status(&self) {
        let Some(link) = self.fleet.as_ref().filter(|link| link.has_status_file()) else { return };
        let now = self.clock.now();
        let mut reducer = self.reducer.borrow_mut();
        let policy = reducer.policy().map(|policy| policy.status(now));
        if let Some(node) = reducer.fleet() {
            link.write_status(now, &node.status(now), policy.as_ref());
        }
    }

    /// Follows the engine list: from the name service, and from reloads of the configuration.
    async fn follow_engine_list(self: Rc<Self>, mut name_service: NameServiceClient) {
        let mut previous: BTreeMap<Id, EngineState> = BTreeMap::new();
        loop {
            let update = tokio::select! {
                biased;
                () = self.reloaded.notified() => {
                    let PendingReload { names, known } = self.pending_reload.take();
                    if let Some(names) = names {
                        name_service.set_server(names);
                        self.input(names.map_or(Input::ListPollingStopped, |_| Input::ListPolled(None)));
                    }
                    match known.filter(|known| name_service.advance_to(known.serial)) {
                        // The list in a file may be out of date, so it does not count as a confirmation.
                        Some(known) => (known, None),
                        None => continue,
                    }
                }
                update = name_service.next_update() => match update {
                    ListUpdate::List(known, asked) => (known, Some(asked)),
                    ListUpdate::Unchanged(asked) => {
                        self.input(Input::ListPolled(Some(self.clock.time_of(asked))));
                        continue;
                    }
                    ListUpdate::Disputed(known) => {
                        self.input(Input::ListConflict(known.engines));
                        continue;
                    }
                    ListUpdate::NoAnswer => {
                        self.input(Input::ListPolled(None));
                        continue;
                    }
                    ListUpdate::Silent => {
                        self.input(Input::ListPolled(None));
                        self.input(Input::EngineList(ListKind::Failed, Vec::new()));
                        continue;
                    }
                },
            };
            let (known, asked) = update;
            let entries = known.engines.iter().map(|listed| (listed.entry.id.clone(), listed.entry.state));
            let current: BTreeMap<Id, EngineState> = entries.collect();
            let draining = current.values().filter(|state| **state == EngineState::Draining).count();
            let removed = previous.keys().filter(|id| !current.contains_key(*id)).count();
            slog::info!(self.log, "list of engines"; "no" => known.serial, "engines" => current.len(),
                "draining" => draining, "removed" => removed);
            for listed in known.engines.iter().filter(|l| previous.get(&l.entry.id) != Some(&l.entry.state)) {
                self.trace.listed(
                    &listed.entry.id,
                    &format!("{:?}", listed.entry.state),
                    Some(listed.address),
                );
            }
            previous
                .keys()
                .filter(|id| !current.contains_key(*id))
                .for_each(|id| self.trace.listed(id, "Gone", None));
            previous = current;
            // Only a list that was applied completely counts as confirmed.
            match (self.apply_input(Input::EngineList(ListKind::Snapshot, known.engines)), asked) {
                (true, Some(asked)) => self.input(Input::ListPolled(Some(self.clock.time_of(asked)))),
                (true, None) => {}
                (false, _) => name_service.forget_serial(),
            }
        }
    }

    /// Logs the counters of this gateway.
    fn log_figures(&self, clients: &Connections) {
        let mut reducer = self.reducer.borrow_mut();
        let engine_failures = reducer.take_engine_failures();
        let mut violations = reducer.violations.clone();
        violations.add(Invariant::ClosesAnswered, clients.close_counts.unanswered());
        slog::info!(self.log, "figures"; "counts" => ?reducer.counts, "held" => reducer.held(),
            "open" => reducer.open(), "ill" => ?engine_failures, "bad_calls" => ?self.bad_calls.borrow(),
            "refusals" => ?reducer.refusals, "closed" => ?clients.close_counts.counts(), "closed_to_engines" => ?self.engines.close_counts().counts(),
            "asked_again" => self.engines.retried_calls(), "names_passed_over" => self.ignored_name_answers.get(),
            "list_age_ms" => self.list_confirmed.get().elapsed().as_millis() as u64,
            "peers_passed_over" => self.peers.as_ref().map_or(0, PeerSocket::ignored_datagrams),
            "call_memory" => clients.call_memory().map(CallMemoryBook::granted), "calls_waiting" => clients.call_memory().map(CallMemoryBook::waiting),
            "calls_without_memory" => clients.call_memory().map(CallMemoryBook::rejected),
            "bodies" => ?self.bodies.counts(), "written" => ?self.bodies.spooled_bytes(),
            "bodies_fault" => self.bodies.take_last_error(),
            "connections" => self.engines.connections(), "faults" => self.faults.get(),
            "broken" => ?violations.counts().filter(|(_, n)| *n > 0).collect::<Vec<_>>());
    }
}

/// A running gateway. Start it inside a single-threaded runtime with a local task set, such as
/// `actix_rt::System`; dropping it ends its tasks.
pub struct Gateway {
    core: Rc<Core>,
    frontend: Rc<Frontend>,
    tasks: Vec<JoinHandle<()>>,
    address: SocketAddr,
    statement_time: Duration,
    /// Settings that only change with a restart.
    at_start: RestartOnlySettings,
    bodies: Bodies,
    spool_directory: Option<Arc<SpoolDirectory>>,
    fleet: (Option<operators::Fleet>, BTreeMap<String, operators::Budget>),
    /// Addresses of the name service and of other gateways, as last read.
    in_force: RefCell<(Option<SocketAddr>, Option<config::Peers>)>,
}

impl Gateway {
    /// Starts a gateway. All addresses are bound first; if one is not available, nothing is left behind.
    pub async fn start(start: Start, log: Logger) -> io::Result<Gateway> {
        Gateway::start_with_disk(start, log, None).await
    }

    /// Starts a gateway that stores body files on `disk`, if given, in place of the directory in the
    /// operators' settings.
    pub async fn start_with_disk(
        start: Start,
        log: Logger,
        disk: Option<Arc<dyn Disk>>,
    ) -> io::Result<Gateway> {
        Gateway::start_with_overrides(start, log, Overrides { disk, ..Overrides::default() }).await
    }

    /// Starts a gateway with parts of it replaced.
    pub async fn start_with_overrides(
        start: Start,
        log: Logger,
        overrides: Overrides,
    ) -> io::Result<Gateway> {
        let Overrides { disk, clock, unix_time, injected_bug, injected_policy_bug } = overrides;
        let with_address = |what: &str, address: &dyn std::fmt::Display, e: io::Error| {
            io::Error::new(e.kind(), format!("{what}: {address}: {e}"))
        };
        let listener = listen(start.listen).map_err(|e| with_address("listen", &start.listen, e))?;
        let address = listener.local_addr()?;
        let peers = match start.peers.clone() {
            None => None,
            Some(peers) => {
                let at = peers.listen;
                let bound = PeerSocket::bind(peers, start.site.gateway as usize).await;
                Some(bound.map_err(|e| with_address("peer_listen", &at, e))?)
            }
        };
        let fleet = match &start.fleet {
            None => None,
            Some(terms) => {
                let link = Link::bind(terms).await;
                Some(link.map_err(|e| with_address("fleet", &terms.listen, e))?)
            }
        };
        let name_service = NameServiceClient::start(
            start.name_service,
            start.cached_engines.serial,
            start.seed,
            log.clone(),
        )?;
        let in_force = RefCell::new((start.name_service, start.peers.clone()));
        let source = start.fleet.is_some().then(|| clock.unwrap_or_else(|| Rc::new(boottime_now)));
        let clock = Clock::new(source, unix_time);
        let (one_at_a_time, idle) = (!start.site.concurrent_executions, start.engine_idle);
        let (bounds, names) = (start.bounds.clone(), start.site_names.clone());
        let call_memory = CallMemoryBook::new(bounds.call_memory);
        let engines =
            EngineClient::new(bounds, call_memory.clone(), names, start.dial_timeout, idle, one_at_a_time);
        let deduplicated = |w: &WorkloadConfig| matches!(w.effect, Repeat::Deduplicated(_));
        let requires_key = start.site.workloads.iter().map(deduplicated).collect();
        let (bodies, spool_directory) = open_body_store(&start.operators.bodies, disk, &log)?;
        let strict =
            start.site_names.workloads.iter().map(|w| start.operators.bodies.rejects_not_kept(w)).collect();
        let (min_bytes_per_second, retry_after) =
            (start.operators.bodies.slowest.as_u64(), start.site.max_retry_after);
        let policy_terms = start.fleet.as_ref().and_then(|terms| terms.policy.clone());
        let (policy, policy_writes) = match &policy_terms {
            Some(terms) => {
                if let Some(fault) = &terms.fault {
                    slog::error!(log, "what was kept of the policy is not read"; "fault" => fault);
                }
                let (disk, writes) = policy::PolicyFileWriter::start(terms.file.clone())?;
                (Some(disk), Some(writes))
            }
            None => (None, None),
        };
        let policy_start = policy_terms.map(|mut terms| {
            terms.start.terms.injected_bug = injected_policy_bug;
            (terms.start, terms.names)
        });
        let record_path = start.fleet.as_ref().and_then(|terms| terms.outstanding_file.clone());
        let part = start.fleet.map(|terms| {
            let start =
                node::Start { config: FleetConfig { injected_bug, ..terms.start.config }, ..terms.start };
            let recorded = record_path.as_deref().map(|path| record_file::read(path, &start, &log));
            let (predecessor, slots) =
                recorded.map_or((Predecessor::Unknown, None), |(p, slots)| (p, Some(slots)));
            FleetMembership { start, predecessor, slots }
        });
        let (reducer, first_effects) = Reducer::start_in_fleet(
            part,
            policy_start,
            start.site,
            start.seed,
            start.bounds.stmts,
            clock.now(),
        );
        let record = record_path.and_then(|path| {
            let writes = first_effects.iter().filter_map(|effect| match effect {
                Effect::RecordOutstanding(write) => Some(write.clone()),
                _ => None,
            });
            let writes: Vec<_> = writes.collect();
            let replaced = RecordFile::replace(&path, &writes);
            let replaced = replaced.map_err(|error| {
                // The next process must not mistake the file of the previous process for this one's.
                let removed = std::fs::remove_file(&path);
                slog::error!(log, "executions in flight are not recorded"; "file" => %path.display(),
                    "error" => %error, "removed" => removed.is_ok());
            });
            replaced.ok()
        });
        let core = Rc::new(Core {
            reducer: RefCell::new(reducer),
            clock,
            bounds: start.bounds,
            names: start.site_names,
            max_client_waits: start.deadlines,
            requires_key,
            strict,
            min_bytes_per_second,
            retry_after,
            bodies,
            trace: Trace::new(&log),
            pause_detector: PauseDetector::new(Instant::now()),
            log,
            engines,
            peers,
            fleet,
            policy,
            record,
            ignored_name_answers: name_service.ignored_answers.clone(),
            list_confirmed: name_service.last_confirmed(),
            next_caller: Cell::new(0),
            pending_answers: RefCell::default(),
            running: RefCell::default(),
            cancelling: RefCell::default(),
            due_changed: Notify::new(),
            pending_reload: RefCell::default(),
            reloaded: Notify::new(),
            bad_calls: RefCell::default(),
            faults: Cell::new(0),
            closed: Cell::new(false),
        });
        let started_at = core.clock.now();
        first_effects.into_iter().for_each(|effect| core.run_effect(started_at, effect));
        core.input(Input::EngineList(ListKind::Cached, start.cached_engines.engines));
        if start.name_service.is_some() {
            // The list in the configuration counts as confirmed at the start.
            core.input(Input::ListPolled(Some(core.clock.now())));
        }
        let frontend = Frontend::new(&core.bounds, call_memory);
        slog::info!(core.log, "serving"; "name" => start.name, "listen" => %address,
            "bounds" => ?core.bounds);
        let mut tasks = vec![
            actix_rt::spawn(core.clone().run_timers()),
            actix_rt::spawn(core.clone().receive_from_peers()),
        ];
        tasks.push(actix_rt::spawn(core.clone().follow_engine_list(name_service)));
        if core.fleet.is_some() {
            tasks.push(actix_rt::spawn(core.clone().receive_from_fleet()));
        }
        if let Some(mut policy_writes) = policy_writes {
            let core = core.clone();
            tasks.push(actix_rt::spawn(async move {
                while let Some((generation, succeeded)) = policy_writes.recv().await {
                    core.input(Input::PolicyStored { generation, succeeded });
                }
            }));
        }
        core.reducer.borrow_mut().check_serving();
        let (accepting, log) = (frontend.clone().accept(listener, core.clone()), core.log.clone());
        tasks.push(actix_rt::spawn(async move {
            if let Err(error) = accepting.await {
                slog::error!(log, "no longer accepting"; "error" => %error);
            }
        }));
        let linger = frontend.connections.linger.clone();
        tasks.push(actix_rt::spawn(async move { linger.run().await }));
        let connections = frontend.connections.clone();
        tasks.push(actix_rt::spawn(async move { connections.run_call_memory().await }));
        let (swept_frontend, swept_core) = (frontend.clone(), core.clone());
        tasks.push(actix_rt::spawn(async move {
            let mut logged = Instant::now();
            loop {
                sleep(SWEEP_INTERVAL).await;
                // No connection is closed as idle while data that came during a pause is unread.
                swept_core.wait_for_backlog().await;
                swept_frontend.connections.close_idle();
                swept_core.engines.close_idle();
                swept_core.write_status();
                if logged.elapsed() >= FIGURES_INTERVAL {
                    logged = Instant::now();
                    swept_core.log_figures(&swept_frontend.connections);
                }
            }
        }));
        let (statement_time, at_start) = (start.shutdown_timeout, start.restart_only);
        let (bodies, fleet) = (start.operators.bodies, (start.operators.fleet, start.operators.budget));
        Ok(Gateway {
            core,
            frontend,
            tasks,
            address,
            statement_time,
            at_start,
            bodies,
            spool_directory,
            fleet,
            in_force,
        })
    }

    /// Applies the settings that can change while the gateway serves, without affecting any statement: the
    /// name service, other gateways' addresses, and the list in `known` if it is newer than the one in force.
    /// Settings that need a restart are logged.
    pub fn reload(&self, start: Start) {
        let log = &self.core.log;
        let mut in_force = self.in_force.borrow_mut();
        let (names, peers) = &*in_force;
        let mut pending_reload = self.core.pending_reload.borrow_mut();
        if start.name_service != *names {
            pending_reload.names = Some(start.name_service);
        }
        let mut waits_for_restart = self.at_start.changed(&start.restart_only);
        // Whether gossip is exchanged at all is fixed at the start.
        if peers.is_some() != start.peers.is_some() && !waits_for_restart.contains(&"peer_listen") {
            waits_for_restart.push("peers");
        }
        // The limits of the body store change at once; its directory and threads change with a restart.
        let bodies = &start.operators.bodies;
        self.core.bodies.set_bounds(bodies.bounds());
        if self.bodies != *bodies && !self.bodies.is_unchanged_until_restart(bodies) {
            waits_for_restart.push("bodies");
        }
        if self.fleet != (start.operators.fleet, start.operators.budget) {
            waits_for_restart.push("fleet");
        }
        if let (Some(running), Some(peers)) = (&self.core.peers, &start.peers) {
            running.set_addresses(peers.clone());
        }
        slog::info!(log, "configuration reloaded"; "names" => ?start.name_service, "known" => start.cached_engines.serial,
            "waits_for_restart" => ?waits_for_restart);
        *in_force = (start.name_service, start.peers);
        pending_reload.known = Some(start.cached_engines);
        self.core.reloaded.notify_one();
    }

    /// Counters of bodies beyond the ordinary size: those held now, and totals since the start.
    pub fn body_counts(&self) -> BodyCounts {
        self.core.bodies.counts()
    }

    /// The address on which it listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down. Keeps serving until every statement taken is answered and no new ones come; statements
    /// that cannot end in time are rejected instead of being started, and those still open at the end are
    /// aborted. Then it stops accepting, answers the calls on accepted connections, shuts its connections for
    /// writing, drains and closes them.
    pub async fn shut_down(self) {
        // If this process was stalled, the request may have come as early as the start of the stall.
        let now = Instant::now();
        self.core.pause_detector.record_activity(now);
        let waited = self.core.pause_detector.queueing_delay(now);
        let began = now.checked_sub(waited).unwrap_or(now);
        slog::info!(self.core.log, "closing"; "waited_ms" => waited.as_millis() as u64);
        let within = MIN_SHUTDOWN_TIME.max(self.statement_time + SHUTDOWN_SLACK);
        self.core.input(Input::Closing((self.core.clock.now() + within).saturating_sub(waited)));
        let time_left = || within.saturating_sub(began.elapsed());
        let exit_within = (MIN_SHUTDOWN_TIME + CONNECTION_DRAIN_TIME).max(self.statement_time + EXIT_SLACK);
        let time_to_exit = || exit_within.saturating_sub(began.elapsed());
        self.wait_until_quiet(MIN_SHUTDOWN_TIME / 3, |_| began.elapsed() >= MIN_SHUTDOWN_TIME, time_left)
            .await;
        self.frontend.stop_accepting();
        self.wait_until_quiet(QUIET_TIME, |frontend| frontend.connections.open_calls() == 0, time_left).await;
        self.core.input(Input::Close);
        let closed = Instant::now();
        let has_undelivered =
            || self.frontend.sessions.undelivered_answers() + self.frontend.connections.open_calls() > 0;
        sleep(ANSWER_DELIVERY_TIME / 4).await;
        while has_undelivered()
            && closed.elapsed() < ANSWER_DELIVERY_TIME
            && time_to_exit() > CONNECTION_DRAIN_TIME
        {
            sleep(ANSWER_DELIVERY_TIME / 20).await;
        }
        // Sent more than once, as the message may be lost; the budgets of this gateway would then stay taken
        // until its grants expire.
        for _ in 0..3 {
            self.core.input(Input::LeaveFleet);
        }
        self.frontend.connections.close_all_at_shutdown();
        let drain_began = Instant::now();
        while self.frontend.connections.linger.count() > 0
            && drain_began.elapsed() < CONNECTION_DRAIN_TIME
            && !time_to_exit().is_zero()
        {
            sleep(SHUTDOWN_CHECK_INTERVAL / 4).await;
        }
        self.core.log_figures(&self.frontend.connections);
        slog::info!(self.core.log, "closed");
    }

    /// Returns once no statement has begun to arrive for `quiet_for`, none is open, no answer is undelivered
    /// and `condition` holds, or no time is left.
    async fn wait_until_quiet(
        &self,
        quiet_for: Duration,
        condition: impl Fn(&Frontend) -> bool,
        time_left: impl Fn() -> Duration,
    ) {
        let mut last = (self.frontend.statements_begun.get(), Instant::now());
        while !time_left().is_zero() {
            sleep(SHUTDOWN_CHECK_INTERVAL).await;
            if self.frontend.statements_begun.get() != last.0 {
                last = (self.frontend.statements_begun.get(), Instant::now());
            }
            let is_idle =
                self.core.reducer.borrow().open() == 0 && self.frontend.sessions.undelivered_answers() == 0;
            if is_idle && last.1.elapsed() >= quiet_for && condition(&self.frontend) {
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
        self.core.cancelling.borrow().values().for_each(JoinHandle::abort);
        self.frontend.connections.close_all();
        self.core.engines.close_all();
        self.spool_directory.iter().for_each(|directory| directory.remove());
    }
}

/// Opens the store for bodies beyond the ordinary size: its directory, cleared of files that ended processes
/// left, and its threads.
fn open_body_store(
    bodies: &Bodies,
    disk: Option<Arc<dyn Disk>>,
    log: &Logger,
) -> io::Result<(Rc<BodyStore>, Option<Arc<SpoolDirectory>>)> {
    let files = bodies.files.as_ref().filter(|_| bodies.is_enabled());
    let threads = files.map(|files| -> io::Result<_> {
        if let Some(disk) = disk {
            return Ok((None, IoThreads::start(disk, files.threads, files.zstd)?));
        }
        let with_path = |e: io::Error| io::Error::new(e.kind(), format!("bodies.files.dir: {}: {e}", files.dir.display()));
        let directory = SpoolDirectory::open(&files.dir).map_err(with_path)?;
        slog::info!(log, "files for bodies"; "folder" => %directory.path().display(), "removed" => directory.removed);
        let directory = Arc::new(directory);
        Ok((Some(directory.clone()), IoThreads::start(directory, files.threads, files.zstd)?))
    });
    let (directory, threads) = threads.transpose()?.unzip();
    Ok((BodyStore::new(bodies.bounds(), threads), directory.flatten()))
}

/// Binds a listener. An address that a previous gateway had is available at once, and bursts of new
/// connections queue up.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => actix_rt::net::TcpSocket::new_v4(),
        SocketAddr::V6(_) => actix_rt::net::TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
