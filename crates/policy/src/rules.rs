//! What a revision permits, as it was read from its text.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Of a workload or a customer. What is not named is not limited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    pub forbidden: bool,
    /// Executions of one statement, the first among them.
    pub executions: Option<u32>,
    /// Kinds of engines it may go to.
    pub kinds: Option<BTreeSet<String>>,
}

/// One execution that would be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked<'a> {
    pub workload: &'a str,
    pub customer: Option<&'a str>,
    pub kind: &'a str,
    /// Executions that the statement has had before.
    pub before: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    pub workloads: BTreeMap<String, Limits>,
    pub customers: BTreeMap<String, Limits>,
    /// What a gateway may that hears nobody: only these workloads, within these limits too; without it, all as ever.
    pub alone: Option<BTreeMap<String, Limits>>,
}

impl Limits {
    pub fn permits(&self, asked: &Asked) -> bool {
        !self.forbidden
            && self.executions.is_none_or(|most| asked.before < most)
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(asked.kind))
    }

    /// What both permit.
    fn within(&self, other: &Limits) -> Limits {
        let least = |a: Option<u32>, b: Option<u32>| a.into_iter().chain(b).min();
        let kinds = match (&self.kinds, &other.kinds) {
            (Some(a), Some(b)) => Some(a.intersection(b).cloned().collect()),
            (a, b) => a.clone().or(b.clone()),
        };
        Limits {
            forbidden: self.forbidden || other.forbidden,
            executions: least(self.executions, other.executions),
            kinds,
        }
    }

    /// Whether nothing at all passes.
    fn permits_nothing(&self) -> bool {
        self.forbidden || self.executions == Some(0) || self.kinds.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether all that the other permits is permitted, or what is not.
    fn covers(&self, other: &Limits) -> Result<(), &'static str> {
        if other.permits_nothing() {
            return Ok(());
        }
        let fewer = |own: Option<u32>, other: Option<u32>| match (own, other) {
            (Some(own), Some(other)) => own < other,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let kinds = match (&self.kinds, &other.kinds) {
            (Some(own), Some(other)) => !other.is_subset(own),
            (Some(_), None) => true,
            (None, _) => false,
        };
        match () {
            _ if self.forbidden => Err("is forbidden"),
            _ if fewer(self.executions, other.executions) => Err("has fewer executions"),
            _ if kinds => Err("goes to fewer kinds of engines"),
            _ => Ok(()),
        }
    }
}

impl Rules {
    pub fn permits(&self, asked: &Asked) -> bool {
        let customer = asked.customer.and_then(|name| self.customers.get(name));
        self.workloads.get(asked.workload).is_none_or(|limits| limits.permits(asked))
            && customer.is_none_or(|limits| limits.permits(asked))
    }

    /// Of a gateway that hears nobody.
    pub fn permits_alone(&self, asked: &Asked) -> bool {
        let named =
            |alone: &BTreeMap<String, Limits>| alone.get(asked.workload).is_some_and(|l| l.permits(asked));
        self.permits(asked) && self.alone.as_ref().is_none_or(named)
    }

    /// Whether all that a gateway may do alone by an earlier revision is permitted by this one; or what is not. Without this, one
    /// that can't be reached would go on doing what is forbidden elsewhere.
    pub fn covers_alone(&self, earlier: &Rules) -> Result<(), String> {
        let all = Limits::default();
        let names = earlier.workloads.keys().chain(self.workloads.keys());
        let names: BTreeSet<&String> = names.chain(earlier.alone.iter().flat_map(|a| a.keys())).collect();
        for name in names {
            let alone = match &earlier.alone {
                Some(named) => match named.get(name) {
                    Some(limits) => limits,
                    None => continue,
                },
                None => &all,
            };
            let may = earlier.workloads.get(name).unwrap_or(&all).within(alone);
            let own = self.workloads.get(name).unwrap_or(&all);
            own.covers(&may).map_err(|why| format!("workload {name} {why}: a gateway alone may do more"))?;
        }
        // A gateway alone that may do nothing does nothing for any customer either.
        if earlier.alone.as_ref().is_some_and(|alone| alone.values().all(Limits::permits_nothing)) {
            return Ok(());
        }
        for (name, own) in &self.customers {
            let may = earlier.customers.get(name).unwrap_or(&all);
            own.covers(may).map_err(|why| format!("customer {name} {why}: a gateway alone may do more"))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
