//! State that the scheduler keeps about statements, workloads and engines. Decisions are made in
//! `scheduler.rs`.

mod group_loads;

use crate::interface::*;
use crate::scheduler::cold_period::ColdPeriod;
use bramblewharf_turns::{EngineHash, EngineShare};
use std::collections::VecDeque;
use std::time::Duration;

pub(crate) use group_loads::{GroupLoads, LoadSource};

/// Where a statement is in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementState {
    /// Waits for its place in the ordering queue or for the list of engines.
    Waiting,
    /// An engine is being selected.
    Selecting,
    /// An execution is in flight and has not answered.
    Running,
    /// An execution's answer has started.
    Streaming,
    /// The client has its final answer or has disconnected.
    Done,
}

/// Whether an execution is in flight and, afterwards, whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// One attempt to run a statement on an engine.
pub(crate) struct Execution {
    pub(crate) engine: Id,
    pub(crate) zone: Id,
    pub(crate) cell: u64,
    pub(crate) sent_at: Duration,
    /// When it was sent, later by the time for which this gateway was paused since.
    pub(crate) silent_since: Duration,
    pub(crate) weight: f64,
    /// Seconds that it should take.
    pub(crate) expected_time: f64,
    pub(crate) state: ExecutionState,
    /// Its connection was refused or never established.
    pub(crate) refused: bool,
}

/// A statement that the gateway has accepted, with its executions.
pub(crate) struct Statement {
    pub(crate) state: StatementState,
    pub(crate) request: NewStatement,
    pub(crate) deadline: Duration,
    /// Its estimated work relative to the mean of its workload.
    pub(crate) coefficient: f64,
    /// Share of its importance that it can still earn.
    pub(crate) value_share: f64,
    pub(crate) executions: Vec<Execution>,
    /// Its client has no call open, and may yet poll again.
    pub(crate) client_away: bool,
}

impl Execution {
    pub(crate) fn new(to: &EngineEntry, now: Duration, weight: f64, expected_time: f64) -> Execution {
        Execution {
            engine: to.id.clone(),
            zone: to.zone.clone(),
            cell: to.cell,
            sent_at: now,
            silent_since: now,
            weight,
            expected_time,
            state: ExecutionState::InFlight,
            refused: false,
        }
    }

    /// Excludes a pause of this gateway from the engine's silence; returns the engine if the execution is in
    /// flight.
    pub(crate) fn exclude_pause(&mut self, now: Duration, pause: Duration) -> Option<Id> {
        self.silent_since = now.min(self.silent_since + pause);
        (self.state == ExecutionState::InFlight).then(|| self.engine.clone())
    }
}

impl Statement {
    pub(crate) fn new(request: NewStatement, now: Duration, coefficient: f64, value_share: f64) -> Statement {
        Statement {
            state: StatementState::Waiting,
            deadline: now + request.time_left,
            request,
            coefficient,
            value_share,
            executions: Vec::new(),
            client_away: false,
        }
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.executions.iter().any(|x| x.state == ExecutionState::InFlight)
    }

    /// A byte of its body may have been sent, and the body cannot be sent again.
    pub(crate) fn is_body_consumed(&self) -> bool {
        !self.request.replayable && !self.reached_no_engine()
    }

    /// Nothing of it has reached any engine.
    pub(crate) fn reached_no_engine(&self) -> bool {
        self.executions.iter().all(|x| x.refused)
    }
}

/// Exponential moving average, and whether it has a sample yet; until then, the initial value.
pub(crate) struct Mean(pub(crate) f64, pub(crate) bool);

impl Mean {
    pub(crate) fn update(&mut self, sample: f64, rate: f64) {
        self.0 = if self.1 { self.0 + rate * (sample - self.0) } else { sample };
        self.1 = true;
    }
}

/// Configuration and learned statistics of a workload.
pub(crate) struct WorkloadStats {
    pub(crate) config: WorkloadConfig,
    pub(crate) max_executions: usize,
    pub(crate) accepted: f64,
    /// Seconds that a new statement may take: the upper quartile of the time left on arrival.
    pub(crate) usual_time_left: Mean,
    pub(crate) estimate: Mean,
    /// Seconds that an execution with coefficient 1 takes: lately, and on an engine with free capacity.
    pub(crate) elapsed: Mean,
    pub(crate) unloaded_elapsed: Mean,
    /// Seconds of work on one thread, and memory taken relative to the estimate.
    pub(crate) work: Mean,
    pub(crate) memory_ratio: Mean,
}

impl WorkloadStats {
    /// `guess`: seconds that an execution takes, until one has been measured.
    pub(crate) fn new(config: WorkloadConfig, max_executions: usize, guess: f64) -> WorkloadStats {
        WorkloadStats {
            max_executions,
            accepted: 1e-6,
            usual_time_left: Mean(0.0, false),
            estimate: Mean(0.0, false),
            elapsed: Mean(guess, false),
            unloaded_elapsed: Mean(guess, false),
            work: Mean(guess * config.threads, false),
            memory_ratio: Mean(1.0, false),
            config,
        }
    }
}

/// An engine as this gateway sees it.
pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    /// This gateway's part of the engine.
    pub(crate) part: EngineShare,
    /// Engines that the same workloads may use have the same stratum.
    pub(crate) stratum: u64,
    pub(crate) cores: f64,
    /// Weight of this gateway's executions in flight.
    pub(crate) load: f64,
    /// Its short id in messages between gateways.
    pub(crate) mark: EngineHash,
    /// Load that the engine last reported, in threads a core, and when.
    pub(crate) reported_load: Option<(Duration, f64)>,
    /// Weight that this gateway has sent since that report.
    pub(crate) sent_since_report: f64,
    pub(crate) report: Option<(Duration, LoadReport)>,
    /// Elapsed time of its executions relative to the expected time.
    pub(crate) slowdown: Mean,
    pub(crate) fault_level: f64,
    /// While it is ejected: when it may next be probed, and the pause after that probe.
    pub(crate) ejected: Option<(Duration, Duration)>,
    pub(crate) last_heard: Duration,
    /// How long it counts as cold.
    pub(crate) cold: ColdPeriod,
    pub(crate) group_loads: GroupLoads,
    /// Work sent while the engine was cold; entries older than the rule's window are dropped at each send.
    pub(crate) cold_sends: VecDeque<(Duration, f64)>,
}

/// Statements of one ordering key, by arrival. Dropped when it is empty and no longer blocked.
#[derive(Default)]
pub(crate) struct OrderingQueue {
    pub(crate) statements: VecDeque<Id>,
    pub(crate) blocked_until: Duration,
}

impl Engine {
    pub(crate) fn new(entry: EngineEntry, part: EngineShare, now: Duration) -> Engine {
        let mark = EngineHash::of(&entry.id);
        Engine {
            entry,
            part,
            stratum: 0,
            cores: 0.0,
            load: 0.0,
            mark,
            reported_load: None,
            sent_since_report: 0.0,
            report: None,
            slowdown: Mean(1.0, false),
            fault_level: 0.0,
            ejected: None,
            last_heard: now,
            cold: ColdPeriod::default(),
            group_loads: GroupLoads::default(),
            cold_sends: VecDeque::new(),
        }
    }

    /// It is no longer on the list, and nothing of this gateway runs there.
    pub(crate) fn is_removable(&self) -> bool {
        self.entry.state == EngineState::Gone && self.is_idle()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.load < 1e-6
    }
}
