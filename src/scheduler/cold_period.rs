//! How long an engine counts as cold, by what this gateway can know.
//!
//! A start that a list states by the scheduler's own clock is counted from as it is. One by the wall clock of
//! another machine only tells processes apart, as either clock may have been stepped: the cold time then
//! counts from when this gateway was first told of the process, on its own monotonic clock. That is never
//! earlier than the start, and later by as much as the list was late. An engine on the first list that a
//! gateway gets counts as cold from then on, however long it has been up, since nothing shows how long that
//! is.

use crate::interface::{Id, ProcessStart};
use std::collections::BTreeMap;
use std::time::Duration;

/// Starts that are remembered of one engine, so that replicas of the name service which state one process
/// differently don't make it cold again and again.
const REMEMBERED_STARTS: usize = 4;
/// An engine that is listed with ever new starts counts as cold for this many times the cold time; then it is
/// used until no new start has been stated for a cold time.
const MAX_COLD_RUN: u32 = 2;
/// Engines that are remembered after they have left the list: more than a fleet has.
const MAX_DEPARTED: usize = 4_096;

/// The cold time of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdPeriod {
    /// Starts by a foreign clock that were stated, the newest first; zero where there are fewer.
    starts: [Duration; REMEMBERED_STARTS],
    /// When the newest of them was first stated.
    told_at: Duration,
    /// When the first of a run of new starts was stated that came within a cold time of one another; the
    /// start itself where it is by the scheduler's clock.
    began_at: Duration,
    ends_at: Duration,
}

impl ColdPeriod {
    /// A list that has arrived states this start. Returns whether it is the start of another process than
    /// before, and the first such one for a cold time.
    pub(crate) fn observe(&mut self, now: Duration, start: ProcessStart, cold_time: Duration) -> bool {
        match start {
            ProcessStart::LongAgo => false,
            ProcessStart::Local(at) => self.observe_local(at, cold_time),
            ProcessStart::Foreign(at) => self.observe_foreign(now, at, cold_time),
        }
    }

    fn observe_local(&mut self, at: Duration, cold_time: Duration) -> bool {
        let is_later = at > self.began_at;
        self.began_at = at;
        self.ends_at = self.ends_at.max(at + cold_time);
        is_later
    }

    fn observe_foreign(&mut self, now: Duration, at: Duration, cold_time: Duration) -> bool {
        if self.starts.contains(&at) {
            return false;
        }
        let is_first = self.starts[0].is_zero();
        let begins_run = is_first || now >= self.told_at + cold_time;
        if begins_run {
            self.began_at = now;
        }
        self.starts.rotate_right(1);
        self.starts[0] = at;
        self.told_at = now;
        self.ends_at = (now + cold_time).min(self.began_at + cold_time * MAX_COLD_RUN);
        begins_run
    }

    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.ends_at
    }

    /// How long the engine has been up as far as this gateway can know, for the phase of the slow-start
    /// rotation.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began_at)
    }
}

/// The cold times of engines that have left the list: an engine that a list leaves out once and then names
/// with the same start is the same process.
#[derive(Debug, Default)]
pub(crate) struct DepartedEngines {
    /// With the number of the departure.
    periods: BTreeMap<Id, (u64, ColdPeriod)>,
    /// The engines by departure.
    order: BTreeMap<u64, Id>,
    departures: u64,
}

impl DepartedEngines {
    /// Remembers an engine whose start was stated by a foreign clock; the one that left first is forgotten
    /// where there are too many.
    pub(crate) fn insert(&mut self, id: &Id, period: ColdPeriod) {
        self.take(id);
        if period.starts[0].is_zero() {
            return;
        }
        self.departures += 1;
        self.periods.insert(id.clone(), (self.departures, period));
        self.order.insert(self.departures, id.clone());
        if self.order.len() > MAX_DEPARTED {
            if let Some((_, first)) = self.order.pop_first() {
                self.periods.remove(&first);
            }
        }
    }

    /// What is remembered of an engine that is on the list again.
    pub(crate) fn take(&mut self, id: &Id) -> Option<ColdPeriod> {
        let (departure, period) = self.periods.remove(id)?;
        self.order.remove(&departure);
        Some(period)
    }

    pub(crate) fn len(&self) -> usize {
        self.periods.len()
    }
}
