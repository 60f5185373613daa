//! What a budget applies to, and how much of it a statement needs.

use crate::{milliunits, UNIT};
use std::time::Duration;

/// The sends that a budget counts. A field that is not set matches any send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    pub workload: Option<usize>,
    pub customer: Option<usize>,
    /// The kind of the engine.
    pub kind: Option<String>,
    /// Only executions after a statement's first.
    pub further: bool,
}

/// What is counted of a send: a quantity that is in use while it runs, or a rate per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Concurrent statements, weight or memory (MB).
    StatementsAtOnce,
    WeightAtOnce,
    MemoryAtOnce,
    /// The share of every engine, in parts per million, that a gateway may use. No send is charged to it, and all gateways
    /// that are in need it alike.
    Engines,
    /// Statements or weight per second, with a burst.
    StatementsPerSecond,
    WeightPerSecond,
}

impl Measure {
    /// Whether it is released once the execution has ended or can no longer be running.
    pub fn is_at_once(self) -> bool {
        !matches!(self, Measure::StatementsPerSecond | Measure::WeightPerSecond)
    }
}

/// One budget of the whole fleet. Amounts are in milliunits (`UNIT` per unit).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    pub name: String,
    pub scope: Scope,
    pub measure: Measure,
    pub whole: u64,
    /// Percent of the whole that is divided evenly among all member ids for good: what a gateway without contact to others has.
    pub floor_percent: u64,
    /// The smallest useful share: a whole statement, or the lightest weight.
    pub quantum: u64,
    /// For rates: for how long an unused rate accumulates.
    pub burst: Duration,
}

/// The whole of every engine, in parts per million.
pub const ENGINES_WHOLE_PPM: u64 = 1_000_000;

impl Budget {
    /// The budget on the engines: a tenth is divided evenly by member id for good, the rest evenly among the current members.
    pub fn engines() -> Budget {
        let (measure, burst) = (Measure::Engines, Duration::ZERO);
        let scope = Scope::default();
        Budget {
            name: "engines".into(),
            scope,
            measure,
            whole: ENGINES_WHOLE_PPM,
            floor_percent: 10,
            quantum: 1,
            burst,
        }
    }

    /// The floor of each member id, rounded down to whole quanta, so that all floors together are within the whole.
    pub fn floor(&self, max_members: u32) -> u64 {
        let even = (self.whole / 100 * self.floor_percent + self.whole % 100 * self.floor_percent / 100)
            / u64::from(max_members.max(1));
        even - even % self.quantum.max(1)
    }

    /// The amount beyond all floors, which is granted by need.
    pub fn pool(&self, max_members: u32) -> u64 {
        self.whole.saturating_sub(self.floor(max_members) * u64::from(max_members.max(1)))
    }

    /// How much of this budget a send needs; none if the budget doesn't count it.
    pub fn amount_for(&self, demand: &Demand) -> Option<u64> {
        if self.measure == Measure::Engines {
            return None;
        }
        let matches =
            |scope: &Option<usize>, own: Option<usize>| scope.is_none_or(|scope| own == Some(scope));
        let counts = matches(&self.scope.workload, Some(demand.workload))
            && matches(&self.scope.customer, demand.customer)
            && self.scope.kind.as_deref().is_none_or(|kind| demand.kind == kind)
            && (!self.scope.further || demand.previous_executions > 0);
        counts.then(|| match self.measure {
            Measure::StatementsAtOnce | Measure::StatementsPerSecond => UNIT,
            Measure::WeightAtOnce | Measure::WeightPerSecond => milliunits(demand.weight),
            Measure::MemoryAtOnce => milliunits(demand.mem_mb),
            Measure::Engines => 0,
        })
    }
}

/// The properties of a send by which budgets count it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand<'a> {
    pub workload: usize,
    pub customer: Option<usize>,
    pub kind: &'a str,
    pub weight: f64,
    pub mem_mb: f64,
    /// Executions that the statement has had before this one.
    pub previous_executions: u32,
}
