//! Types only: what the site states, what a gateway is told, what it answers.

pub use bramblewharf_budgets::usage::{Charges, Headroom};
pub use bramblewharf_turns::{GossipMessage, Observation};
use std::sync::Arc;
use std::time::Duration;

/// An id, name or key, as the front gives it.
pub type Id = Arc<str>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated(DedupGroup),
    NonIdempotent,
}

/// Which engines drop a repeat of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct WorkloadTerms {
    pub threads: f64,
    pub importance: f64,
    pub slo_time: Duration,
    /// The SLO time grows by this times a statement's work over its threads.
    pub slo_stretch: f64,
    /// Share of the importance that an answer after the SLO time still has.
    pub late_value: f64,
    pub effect: Effect,
    /// How long the group remembers a deduplicated statement.
    pub dedup_span: Duration,
    pub zones: Option<Vec<Id>>,
    pub kinds: Option<Vec<Id>>,
    pub ordered: bool,
    /// Holds its table group on its engine while it runs.
    pub holds_group: bool,
    /// Stands still while its table group is held.
    pub waits_for_group: bool,
}

#[derive(Clone, Debug)]
pub struct Kind {
    pub name: Id,
    pub cores: Option<f64>,
    pub mem_mb: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub name: Id,
    /// Statements a second, over all gateways, within its share.
    pub allowance_per_s: f64,
}

#[derive(Clone, Debug)]
pub struct Budget {
    pub span: Duration,
    pub free: f64,
    pub share: f64,
}

#[derive(Clone, Debug)]
pub struct ColdStart {
    pub capacity: f64,
    pub warm_after: Duration,
    pub multiple: f64,
    pub window: Duration,
}

/// All that a site states when a gateway starts.
#[derive(Clone, Debug)]
pub struct Site {
    pub gateway: u32,
    pub gateways: u32,
    pub zone: Id,
    pub tick: Duration,
    pub workloads: Vec<WorkloadTerms>,
    pub customers: Vec<Customer>,
    pub kinds: Vec<Kind>,
    pub cold: ColdStart,
    pub budget: Option<Budget>,
    pub order_pause: Duration,
    /// How long sends may go on to an engine after its drain was told.
    pub drain_grace: Duration,
    pub list_is_asked: bool,
    pub list_ask_every: Duration,
    pub execution_limit: usize,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub may_tell: bool,
    pub max_retry_after: Option<Duration>,
    pub crossing_priced: bool,
    pub grants_heeded: bool,
    pub max_grant_share: f64,
    pub priorities_heeded: bool,
    /// Statements beyond a customer's share count this fraction.
    pub over_share_value: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    In,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct EngineEntry {
    pub id: Id,
    pub zone: Id,
    pub kind: Id,
    pub cell: u64,
    pub state: EngineState,
    pub nominal: f64,
    /// Zero: long past.
    pub started: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    All,
    Remembered,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Error,
    Full,
    TimedOut,
    Refused,
    Reset,
    Cancelled,
    Skipped,
}

/// An engine's load report; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub utilisation: Option<f64>,
    pub held: Option<f64>,
    pub mem_waiting: Option<f64>,
    pub mem_granted: Option<f64>,
    pub disks_busy: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct NewStatement {
    pub id: Id,
    pub workload: usize,
    pub customer: Option<usize>,
    pub key: Option<Id>,
    pub time_left: Duration,
    pub est_work: Option<Duration>,
    pub est_mem_mb: Option<f64>,
    pub table_group: Option<u64>,
    /// Its text can be sent again from its start.
    pub kept: bool,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub id: Id,
    pub execution: usize,
    pub engine: Id,
    pub outcome: Outcome,
    /// The statement itself is over.
    pub over: bool,
    pub elapsed: Duration,
    /// Work and memory (MB) it took, where told.
    pub took: Option<(Duration, f64)>,
    pub report: Option<Report>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Progress(f64),
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
}

#[derive(Clone, Debug)]
pub enum Event {
    Engines(ListKind, Vec<EngineEntry>),
    /// Whoever asks the name service has listened to it just now; with when the question of its last usable answer was asked. From
    /// the first one on the list may be acted on for a while only.
    ListAsked(Option<Duration>),
    /// The name service told a list that may be older than the one in force: these engines are up by it. Counts until the list in
    /// force is confirmed or replaced.
    ListDisputed(Vec<Id>),
    /// Nobody asks for the list any longer: it stays as it is.
    ListStays,
    Statement(NewStatement),
    ClientGone(Id),
    /// No call of the statement's client is open, or one is again: nothing new begins for a client that is absent.
    Absent(Id, bool),
    /// The gateway closes: what begins from now on has to be over by then.
    Closing(Duration),
    /// The statement's text was kept, and can't be sent again any more.
    Unkept(Id),
    Ended(Ended),
    Answering {
        id: Id,
        execution: usize,
        engine: Id,
    },
    Noted {
        id: Id,
        execution: usize,
        engine: Id,
        note: Note,
    },
    /// What another gateway says of engines.
    Told {
        from: u32,
        said: GossipMessage,
    },
    /// What is left of this gateway's parts of budgets that are the whole fleet's.
    Room(Headroom),
    /// A message that cannot be read; nothing is owed for it.
    Nothing,
    Timer(u64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: Id,
        engine: Id,
        timeout: Duration,
    },
    Terms {
        id: Id,
        mem_mb: f64,
        priority: u8,
    },
    /// What the send that follows takes of budgets; told only where there are any.
    Takes {
        id: Id,
        took: Charges,
    },
    Cancel {
        id: Id,
        execution: usize,
    },
    Reject {
        id: Id,
        retry_in: Option<Duration>,
    },
    Abort {
        id: Id,
    },
    Timer {
        mark: u64,
        delay: Duration,
    },
    Watch,
    /// To another gateway, or to all: what this one has seen of engines.
    Tell {
        to: Option<u32>,
        said: GossipMessage,
    },
}
