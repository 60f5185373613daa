//! The loads that hold table groups on an engine. Clients name the groups, and other gateways report them, so
//! that entries are bounded in number and age.

use std::collections::BTreeMap;
use std::time::Duration;

/// Who counts loads: a gateway, or one of this gateway's own sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LoadSource(pub(crate) u64);

/// How many loads a source counts of a table group, and until when that holds.
#[derive(Clone, Copy, Debug)]
struct LoadCount {
    loads: u32,
    expires: Duration,
}

/// The loads on one engine by table group and source.
#[derive(Debug, Default)]
pub(crate) struct GroupLoads {
    counts: BTreeMap<(u64, LoadSource), LoadCount>,
}

impl GroupLoads {
    /// Records how many loads of a group a source counts. Beyond `capacity` entries the one that expires
    /// first, or has expired, gives way.
    pub(crate) fn record(
        &mut self,
        (group, source): (u64, LoadSource),
        loads: u32,
        expires: Duration,
        capacity: usize,
    ) {
        self.counts.remove(&(group, source));
        if loads == 0 {
            return;
        }
        if self.counts.len() >= capacity {
            let first = self.counts.iter().min_by_key(|(_, count)| count.expires);
            let first = first.map(|(key, _)| *key);
            first.and_then(|key| self.counts.remove(&key));
        }
        self.counts.insert((group, source), LoadCount { loads, expires });
    }

    /// What one source counts of a group.
    pub(crate) fn of_source(&self, group: u64, source: LoadSource) -> u32 {
        self.counts.get(&(group, source)).map_or(0, |count| count.loads)
    }

    /// Loads that hold this group, over all sources.
    pub(crate) fn total(&self, now: Duration, group: u64) -> u32 {
        let sources = (group, LoadSource(0))..=(group, LoadSource(u64::MAX));
        let counts = self.counts.range(sources).map(|(_, count)| count);
        counts.filter(|count| now < count.expires).map(|count| count.loads).sum()
    }

    /// The number of entries that are kept.
    pub(crate) fn len(&self) -> usize {
        self.counts.len()
    }
}
