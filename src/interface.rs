//! Types that the scheduler and its caller exchange: the site's configuration, incoming events and outgoing
//! actions.

pub use bramblewharf_budgets::usage::{Charges, Headroom};
pub use bramblewharf_turns::{GossipMessage, Observation};
use std::sync::Arc;
use std::time::Duration;

/// An id, name or key as the caller passes it.
pub type Id = Arc<str>;

/// Whether a statement may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May always be repeated.
    Idempotent,
    /// May be repeated within the deduplication window, on engines that drop the duplicate.
    Deduplicated(DedupScope),
    /// Must not be repeated once it may have run.
    NonIdempotent,
}

/// Which engines drop a repeat of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines of the site.
    All,
    /// Engines of the zone in which it first ran.
    Zone,
    /// Engines of the cell in which it first ran.
    Cell,
}

/// Configuration of one workload.
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    /// Threads that a statement uses on an engine.
    pub threads: f64,
    /// Value of a statement that is answered within its SLO.
    pub importance: f64,
    /// Time within which a statement should be answered.
    pub slo_time: Duration,
    /// The SLO time grows by this times a statement's work over its threads.
    pub slo_stretch: f64,
    /// Share of the importance that an answer after the SLO time still has.
    pub late_value: f64,
    /// Whether its statements may be repeated.
    pub effect: Effect,
    /// How long engines remember a deduplicated statement.
    pub dedup_window: Duration,
    /// Zones that its statements may run in; `None` allows all.
    pub zones: Option<Vec<Id>>,
    /// Kinds of engines that its statements may run on; `None` allows all.
    pub kinds: Option<Vec<Id>>,
    /// Statements with the same key run one at a time, in the order of their arrival.
    pub ordered: bool,
    /// Holds its table group on its engine while it runs.
    pub holds_group: bool,
    /// Makes no progress while its table group is held.
    pub waits_for_group: bool,
}

/// A kind of engine.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name of the kind, as list entries have it.
    pub name: Id,
    /// Cores of an engine of this kind, where known.
    pub cores: Option<f64>,
    /// Memory of an engine of this kind, where known.
    pub mem_mb: Option<f64>,
}

/// A customer and its share.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer.
    pub name: Id,
    /// Statements a second, over all gateways, within its share.
    pub allowance_per_s: f64,
}

/// Limit on further executions, relative to the statements accepted in the same window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Length of the sliding window.
    pub window: Duration,
    /// Further executions that are allowed in a window whatever the traffic.
    pub min_retries: f64,
    /// Further executions that are allowed for each accepted statement.
    pub retry_ratio: f64,
}

/// Limit on the work that is sent to an engine that has just started.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its warm capacity that a cold engine has.
    pub capacity: f64,
    /// How long after its start an engine counts as warm.
    pub warm_after: Duration,
    /// Multiple of its capacity that a cold engine withstands within a window.
    pub multiple: f64,
    /// Length of the sliding window over which the work is counted.
    pub window: Duration,
}

/// Configuration of one gateway within its site, fixed when the gateway starts.
#[derive(Clone, Debug)]
pub struct Site {
    /// Index of this gateway in the fleet.
    pub gateway: u32,
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Zone of this gateway.
    pub zone: Id,
    /// Resolution of the caller's clock: a deadline counts as reached this much earlier.
    pub tick: Duration,
    /// Workloads, by index.
    pub workloads: Vec<WorkloadConfig>,
    /// Customers, by index.
    pub customers: Vec<Customer>,
    /// Kinds of engines.
    pub kinds: Vec<Kind>,
    /// Limits for cold engines.
    pub slow_start: SlowStart,
    /// Limit on further executions, where the site states one.
    pub retry_budget: Option<RetryBudget>,
    /// How long an ordered key is blocked after an execution whose end is not known.
    pub order_pause: Duration,
    /// How long sends to an engine may continue after the gateway was notified of its drain.
    pub drain_grace: Duration,
    /// The list of engines has to be requested; otherwise it is pushed.
    pub list_is_polled: bool,
    /// How old a polled list may grow.
    pub list_poll_interval: Duration,
    /// Most executions of one statement.
    pub max_executions: usize,
    /// A statement may have more than one execution in flight.
    pub concurrent_executions: bool,
    /// Executions in flight can be cancelled.
    pub can_cancel: bool,
    /// Gateways may exchange messages about engines.
    pub can_gossip: bool,
    /// Longest delay that a rejection may advise; `None` where it gives no advice.
    pub max_retry_after: Option<Duration>,
    /// Traffic between zones has a price.
    pub cross_zone_priced: bool,
    /// Engines honor the memory that a statement asks for.
    pub honors_memory_grants: bool,
    /// Largest share of an engine's memory that one statement may ask for.
    pub max_grant_share: f64,
    /// Engines honor the priority of a statement.
    pub honors_priorities: bool,
    /// Statements beyond a customer's share count this fraction.
    pub over_share_value: f64,
}

/// State of an engine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// Accepts statements.
    In,
    /// Finishes what it runs and must get nothing new.
    Draining,
    /// No longer on the list.
    Gone,
}

/// When the process of an engine started, as a list states it, and by whose clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// So long ago that the engine is warm.
    LongAgo,
    /// By the clock that the scheduler's own times are by.
    Local(Duration),
    /// By the wall clock of another machine. Both clocks may have been stepped, so that it only tells
    /// processes apart: compared with a time of the scheduler it says nothing about how long ago it was.
    Foreign(Duration),
}

impl ProcessStart {
    /// The start that another machine states in milliseconds of its wall clock; zero is long ago.
    pub fn by_foreign_clock(milliseconds: u64) -> ProcessStart {
        match milliseconds {
            0 => ProcessStart::LongAgo,
            _ => ProcessStart::Foreign(Duration::from_millis(milliseconds)),
        }
    }

    /// The start at this time of the scheduler's own clock; zero is long ago.
    pub fn by_local_clock(at: Duration) -> ProcessStart {
        if at.is_zero() {
            ProcessStart::LongAgo
        } else {
            ProcessStart::Local(at)
        }
    }
}

/// One engine of the list.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Id of the engine.
    pub id: Id,
    /// Zone that it runs in.
    pub zone: Id,
    /// Its kind, by name.
    pub kind: Id,
    /// Cell that it belongs to.
    pub cell: u64,
    /// State that the list gives.
    pub state: EngineState,
    /// Nominal size, as the list gives it.
    pub nominal: f64,
    /// When its process started.
    pub started: ProcessStart,
}

/// How a list of engines relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Entries that changed; the others stay.
    Delta,
    /// The whole list: engines that are missing are gone.
    Snapshot,
    /// The whole list as stored by a previous process; not confirmed yet.
    Cached,
    /// The request for the list failed.
    Failed,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered completely.
    Completed,
    /// The engine answered with an error.
    Error,
    /// The engine rejected it as overloaded; it never ran.
    Full,
    /// The timeout passed without an answer.
    TimedOut,
    /// The connection was refused or never established; it never ran.
    Refused,
    /// The connection broke.
    Reset,
    /// It was cancelled.
    Cancelled,
    /// The gateway did not send it after all; it never ran.
    Skipped,
}

/// Load report of an engine; `None` for what it does not report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of its cores that is busy.
    pub utilisation: Option<f64>,
    /// Statements that it has accepted and not finished.
    pub active_statements: Option<f64>,
    /// Statements that wait for memory.
    pub mem_waiting: Option<f64>,
    /// Memory that is granted to statements.
    pub mem_granted: Option<f64>,
    /// Share of its disks' time that is busy.
    pub disks_busy: Option<f64>,
}

/// A statement that a client has sent.
#[derive(Clone, Debug)]
pub struct NewStatement {
    /// Id of the statement.
    pub id: Id,
    /// Index of its workload.
    pub workload: usize,
    /// Index of its customer, where it has one.
    pub customer: Option<usize>,
    /// Ordering key, where it has one.
    pub key: Option<Id>,
    /// Time until its deadline.
    pub time_left: Duration,
    /// The client's estimate of the work.
    pub est_work: Option<Duration>,
    /// The client's estimate of the memory.
    pub est_mem_mb: Option<f64>,
    /// Table group that it reads or loads.
    pub table_group: Option<u64>,
    /// Its body can be sent again from the start.
    pub replayable: bool,
}

/// The end of an execution.
#[derive(Clone, Debug)]
pub struct ExecutionEnd {
    /// Id of the statement.
    pub id: Id,
    /// Index of the execution among the statement's executions.
    pub execution: usize,
    /// Engine that it was sent to.
    pub engine: Id,
    /// How it ended.
    pub outcome: Outcome,
    /// The statement itself is over.
    pub is_final: bool,
    /// Time from the send to the end.
    pub elapsed: Duration,
    /// Work and memory (MB) it took, where the engine reports them.
    pub consumed: Option<(Duration, f64)>,
    /// Load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// What an engine reports of an execution while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the work that is done.
    Progress(f64),
    /// Memory (MB) that it lacks, so that it spills to disk.
    Spills(f64),
    /// It waits for a memory grant.
    WaitsForMemory,
    /// It waits for a load that holds its table group.
    WaitsForLoad,
}

/// What the scheduler is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of engines, or changes to it.
    EngineList(ListKind, Vec<EngineEntry>),
    /// The client of the name service has just processed all answers; with the time at which the request of
    /// its last usable answer was sent. From the first such event on the list is valid for a limited time
    /// only.
    ListPolled(Option<Duration>),
    /// The name service returned a list that may be older than the one in force, with these engines up.
    /// Counts until the list in force is confirmed or replaced.
    ListConflict(Vec<Id>),
    /// The list is no longer polled: it stays valid as it is.
    ListPollingStopped,
    /// A client has sent a statement.
    Statement(NewStatement),
    /// The client has disconnected for good.
    ClientDisconnected(Id),
    /// The client stopped (`true`) or resumed (`false`) polling for its statement: meanwhile nothing new is
    /// sent for it.
    ClientAway(Id, bool),
    /// The gateway shuts down: executions that start from now on have to be over by then.
    Closing(Duration),
    /// The body of a statement was stored and can no longer be sent again.
    BodyLost(Id),
    /// An execution ended.
    ExecutionEnded(ExecutionEnd),
    /// The first part of an execution's answer arrived.
    AnswerStarted { id: Id, execution: usize, engine: Id },
    /// An engine reported on an execution that still runs.
    ExecutionNoted { id: Id, execution: usize, engine: Id, note: Note },
    /// Message of another gateway about engines.
    PeerMessage { from: u32, message: GossipMessage },
    /// What is left of this gateway's parts of the fleet's budgets.
    BudgetHeadroom(Headroom),
    /// A message that cannot be parsed; it is ignored.
    Unreadable,
    /// A timer that an action started has expired.
    Timer(u64),
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a statement to an engine.
    Send { id: Id, engine: Id, timeout: Duration },
    /// Memory and priority to ask for with the send that follows.
    Resources { id: Id, mem_mb: f64, priority: u8 },
    /// What the send that follows takes of the fleet's budgets; only where there are any.
    BudgetUsage { id: Id, usage: Charges },
    /// Cancel an execution in flight.
    Cancel { id: Id, execution: usize },
    /// Answer the client that its statement may safely be sent again.
    Reject { id: Id, retry_in: Option<Duration> },
    /// Answer the client that its statement failed and may have run.
    Abort { id: Id },
    /// Report `Event::Timer` with this mark after the delay.
    Timer { mark: u64, delay: Duration },
    /// Request the list of engines.
    RequestList,
    /// Send a message about engines to one gateway, or to all.
    Gossip { to: Option<u32>, message: GossipMessage },
}
