//! What a gateway remembers, without any decision: the decisions are in `choice.rs`.

use crate::interface::*;
use bramblewharf_turns::{EngineHash, EngineShare};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Waiting,
    Choosing,
    Running,
    Streaming,
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

pub(crate) struct Execution {
    pub(crate) engine: Id,
    pub(crate) zone: Id,
    pub(crate) cell: u64,
    pub(crate) sent: Duration,
    /// When it was sent, later by what this gateway has stood still for since.
    pub(crate) quiet_since: Duration,
    pub(crate) weight: f64,
    pub(crate) usual: f64,
    pub(crate) fate: Fate,
    /// Its connection was refused or never established.
    pub(crate) refused: bool,
}

pub(crate) struct Stmt {
    pub(crate) state: State,
    pub(crate) said: NewStatement,
    pub(crate) until: Duration,
    pub(crate) coefficient: f64,
    /// Share of its importance that it can still earn.
    pub(crate) worth: f64,
    pub(crate) executions: Vec<Execution>,
    /// Its client has no call open; it may yet come back.
    pub(crate) absent: bool,
}

impl Execution {
    pub(crate) fn new(to: &EngineEntry, now: Duration, weight: f64, usual: f64) -> Execution {
        Execution {
            engine: to.id.clone(),
            zone: to.zone.clone(),
            cell: to.cell,
            sent: now,
            quiet_since: now,
            weight,
            usual,
            fate: Fate::Out,
            refused: false,
        }
    }

    /// Where it is out, its engine: the time that this gateway stood still is no silence.
    pub(crate) fn passed_over(&mut self, now: Duration, late: Duration) -> Option<Id> {
        self.quiet_since = now.min(self.quiet_since + late);
        (self.fate == Fate::Out).then(|| self.engine.clone())
    }
}

impl Stmt {
    pub(crate) fn new(said: NewStatement, now: Duration, coefficient: f64, worth: f64) -> Stmt {
        Stmt {
            state: State::Waiting,
            until: now + said.time_left,
            said,
            coefficient,
            worth,
            executions: Vec::new(),
            absent: false,
        }
    }

    pub(crate) fn out(&self) -> bool {
        self.executions.iter().any(|x| x.fate == Fate::Out)
    }

    /// A byte of its text may have gone out, and it is not kept.
    pub(crate) fn spent(&self) -> bool {
        !self.said.kept && !self.cost_nothing()
    }

    /// Nothing of it has reached any engine.
    pub(crate) fn cost_nothing(&self) -> bool {
        self.executions.iter().all(|x| x.refused)
    }
}

/// A mean that follows what it is shown; before that, what it was made with.
pub(crate) struct Mean(pub(crate) f64, pub(crate) bool);

impl Mean {
    pub(crate) fn show(&mut self, figure: f64, share: f64) {
        self.0 = if self.1 { self.0 + share * (figure - self.0) } else { figure };
        self.1 = true;
    }
}

/// What differs by workload: a row each, made at the start.
pub(crate) struct Row {
    pub(crate) terms: WorkloadTerms,
    pub(crate) executions: usize,
    pub(crate) taken: f64,
    /// Seconds that a fresh statement may take: the upper quartile of what they come with.
    pub(crate) fresh_left: Mean,
    pub(crate) estimate: Mean,
    /// Seconds that an execution with coefficient 1 takes: of late, and on an engine with room.
    pub(crate) elapsed: Mean,
    pub(crate) calm: Mean,
    /// Seconds that its work makes up on one thread, and memory it takes over the estimate.
    pub(crate) work: Mean,
    pub(crate) mem_over: Mean,
}

impl Row {
    /// `guess`: seconds that an execution takes, until one has shown it.
    pub(crate) fn new(terms: WorkloadTerms, executions: usize, guess: f64) -> Row {
        Row {
            executions,
            taken: 1e-6,
            fresh_left: Mean(0.0, false),
            estimate: Mean(0.0, false),
            elapsed: Mean(guess, false),
            calm: Mean(guess, false),
            work: Mean(guess * terms.threads, false),
            mem_over: Mean(1.0, false),
            terms,
        }
    }
}

pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    /// What this gateway has of it.
    pub(crate) part: EngineShare,
    /// Whom the workloads allow alike is of one.
    pub(crate) stratum: u64,
    pub(crate) cores: f64,
    pub(crate) load: f64,
    /// As gateways speak of it.
    pub(crate) mark: EngineHash,
    /// When the engine last told how full it is, in threads a core; what we have sent there since.
    pub(crate) told: Option<(Duration, f64)>,
    pub(crate) since: f64,
    pub(crate) report: Option<(Duration, Report)>,
    /// How many times the usual its executions take.
    pub(crate) pace: Mean,
    pub(crate) faults: f64,
    /// While set aside: when it may next be tried, and the pause after that.
    pub(crate) aside: Option<(Duration, Duration)>,
    pub(crate) heard: Duration,
    pub(crate) warm_at: Duration,
    /// Loads there by table group and who says so, and until when that counts; emptied of what has passed at each new one.
    pub(crate) held: BTreeMap<(u64, u64), (u32, Duration)>,
    /// Work sent of late while cold; emptied at each send of what has left the rule's window.
    pub(crate) cold_sends: VecDeque<(Duration, f64)>,
}

/// The line of an ordered key: emptied as its statements are over, dropped when its rest has passed too.
#[derive(Default)]
pub(crate) struct Line {
    pub(crate) stmts: VecDeque<Id>,
    pub(crate) rest_until: Duration,
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
            told: None,
            since: 0.0,
            report: None,
            pace: Mean(1.0, false),
            faults: 0.0,
            aside: None,
            heard: now,
            warm_at: Duration::ZERO,
            held: BTreeMap::new(),
            cold_sends: VecDeque::new(),
        }
    }

    /// It has left the list, and nothing of ours runs there.
    pub(crate) fn is_over(&self) -> bool {
        self.entry.state == EngineState::Gone && self.idle()
    }

    pub(crate) fn idle(&self) -> bool {
        self.load < 1e-6
    }

    /// A sign of loads; what no longer counts is dropped.
    pub(crate) fn hold(&mut self, now: Duration, key: (u64, u64), sign: (u32, Duration)) {
        self.held.retain(|_, (_, until)| now < *until);
        self.held.insert(key, sign);
    }

    pub(crate) fn loads_of(&self, now: Duration, group: u64) -> u32 {
        let signs = self.held.range((group, 0)..=(group, u64::MAX)).map(|(_, sign)| sign);
        signs.filter(|(_, until)| now < *until).map(|(loads, _)| loads).sum()
    }
}
