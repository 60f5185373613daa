//! The rules of a revision, parsed from its text.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Limits of a workload or a customer; what is not set is unlimited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    pub forbidden: bool,
    /// The most executions of one statement, including the first.
    pub executions: Option<u32>,
    /// The allowed kinds of engines.
    pub kinds: Option<BTreeSet<String>>,
}

/// An execution to be checked against the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExecutionRequest<'a> {
    pub workload: &'a str,
    pub customer: Option<&'a str>,
    pub kind: &'a str,
    /// Earlier executions of the same statement.
    pub prior_executions: u32,
}

/// All rules of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    pub workloads: BTreeMap<String, Limits>,
    pub customers: BTreeMap<String, Limits>,
    /// Extra limits for an isolated gateway, which may then serve only these workloads; none: no extra
    /// limits.
    pub alone: Option<BTreeMap<String, Limits>>,
}

impl Limits {
    /// Whether the execution may be sent.
    pub fn permits(&self, request: &ExecutionRequest) -> bool {
        !self.forbidden
            && self.executions.is_none_or(|limit| request.prior_executions < limit)
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(request.kind))
    }

    /// The limits that permit what both permit.
    fn combined_with(&self, other: &Limits) -> Limits {
        let stricter = |a: Option<u32>, b: Option<u32>| a.into_iter().chain(b).min();
        let kinds = match (&self.kinds, &other.kinds) {
            (Some(a), Some(b)) => Some(a.intersection(b).cloned().collect()),
            (a, b) => a.clone().or(b.clone()),
        };
        Limits {
            forbidden: self.forbidden || other.forbidden,
            executions: stricter(self.executions, other.executions),
            kinds,
        }
    }

    /// Whether no execution passes.
    fn permits_nothing(&self) -> bool {
        self.forbidden || self.executions == Some(0) || self.kinds.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Checks that everything the other permits is permitted; the error says what is not.
    fn covers(&self, other: &Limits) -> Result<(), &'static str> {
        if other.permits_nothing() {
            return Ok(());
        }
        let is_fewer = |own: Option<u32>, other: Option<u32>| match (own, other) {
            (Some(own), Some(other)) => own < other,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let fewer_kinds = match (&self.kinds, &other.kinds) {
            (Some(own), Some(other)) => !other.is_subset(own),
            (Some(_), None) => true,
            (None, _) => false,
        };
        match () {
            _ if self.forbidden => Err("is forbidden"),
            _ if is_fewer(self.executions, other.executions) => Err("has fewer executions"),
            _ if fewer_kinds => Err("goes to fewer kinds of engines"),
            _ => Ok(()),
        }
    }
}

impl Rules {
    /// Whether the execution may be sent.
    pub fn permits(&self, request: &ExecutionRequest) -> bool {
        let customer = request.customer.and_then(|name| self.customers.get(name));
        self.workloads.get(request.workload).is_none_or(|limits| limits.permits(request))
            && customer.is_none_or(|limits| limits.permits(request))
    }

    /// Whether an isolated gateway may send the execution.
    pub fn permits_alone(&self, request: &ExecutionRequest) -> bool {
        let permits_named = |alone: &BTreeMap<String, Limits>| {
            alone.get(request.workload).is_some_and(|limits| limits.permits(request))
        };
        self.permits(request) && self.alone.as_ref().is_none_or(permits_named)
    }

    /// Checks that this revision permits everything that an isolated gateway may do under an earlier one; the
    /// error says what it doesn't. Otherwise an unreachable gateway would go on doing what is forbidden
    /// elsewhere.
    pub fn covers_alone(&self, earlier: &Rules) -> Result<(), String> {
        let unlimited = Limits::default();
        let names = earlier.workloads.keys().chain(self.workloads.keys());
        let names: BTreeSet<&String> =
            names.chain(earlier.alone.iter().flat_map(|alone| alone.keys())).collect();
        for name in names {
            let alone = match &earlier.alone {
                Some(named) => match named.get(name) {
                    Some(limits) => limits,
                    None => continue,
                },
                None => &unlimited,
            };
            let earlier_limits = earlier.workloads.get(name).unwrap_or(&unlimited).combined_with(alone);
            let own = self.workloads.get(name).unwrap_or(&unlimited);
            own.covers(&earlier_limits)
                .map_err(|why| format!("workload {name} {why}: a gateway alone may do more"))?;
        }
        // An isolated gateway that may serve no workload serves no customer either.
        if earlier.alone.as_ref().is_some_and(|alone| alone.values().all(Limits::permits_nothing)) {
            return Ok(());
        }
        for (name, own) in &self.customers {
            let earlier_limits = earlier.customers.get(name).unwrap_or(&unlimited);
            own.covers(earlier_limits)
                .map_err(|why| format!("customer {name} {why}: a gateway alone may do more"))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
