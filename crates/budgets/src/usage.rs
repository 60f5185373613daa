//! What one gateway has in use of its parts, what is left of them, and what it needs.
//!
//! A part is a floor, had for ever from a stated time on, and leave, which ends by itself. Leave is given (`lease`) by whoever
//! keeps the fleet's budgets; without it a gateway goes on by its floors. What has ended at an engine is free at once; what may
//! yet run there unheard, or begin there, counts until it is known that it doesn't or can't any more.

use crate::scope::ENGINES;
use crate::{Budget, Claim, Measure, Patience, GRAIN};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Kept of a need that is no longer there, at each telling: parts that are let go at once swing.
const NEED_KEPT: u64 = 60;
/// Asked for beyond what was in use at most, in percent: room for the next statements before the next telling.
const HEADROOM: u64 = 25;

/// What is left of one budget's part, as at a moment. It has its end in it, and whoever wants to send must show it the time.
#[derive(Clone, Debug, PartialEq)]
pub struct Left {
    budget: Arc<Budget>,
    at: Duration,
    until: Duration,
    /// Grains of the floor and of the leave, less what is in use; below zero where more is in use than the part is.
    floor: i64,
    leave: i64,
    /// Grains a second that come back by themselves, and the most that are saved up.
    rate: (u64, u64),
    most: (u64, u64),
}

impl Left {
    /// Grains that may be taken now.
    pub fn now(&self, now: Duration) -> i64 {
        let grown = |left: i64, rate: u64, most: u64| {
            let came = u128::from(rate) * now.saturating_sub(self.at).as_micros() / 1_000_000;
            if self.budget.measure.is_at_once() {
                left
            } else {
                (left + came as i64).min(most as i64)
            }
        };
        let floor = grown(self.floor, self.rate.0, self.most.0);
        match now < self.until {
            true => floor + grown(self.leave, self.rate.1, self.most.1),
            false => floor,
        }
    }
}

/// What else of the fleet's may speak against a send; whoever asks shows the time.
pub trait Permits: std::fmt::Debug + Send + Sync {
    fn permits(&self, now: Duration, claim: &Claim) -> bool;
}

/// What is left of all parts; an empty one permits everything.
#[derive(Clone, Debug, Default)]
pub struct Room {
    left: Vec<Left>,
    also: Option<Arc<dyn Permits>>,
}

/// What a send took, by budget: handed back with its end.
pub type Took = Vec<(usize, u64)>;

impl Room {
    pub fn is_off(&self) -> bool {
        self.left.is_empty()
    }

    /// Whether every budget that counts such a send has room for it.
    pub fn permits(&self, now: Duration, claim: &Claim) -> bool {
        let has_room =
            |left: &Left| left.budget.takes(claim).is_none_or(|takes| left.now(now) >= takes as i64);
        self.left.iter().all(has_room) && self.also.as_ref().is_none_or(|also| also.permits(now, claim))
    }

    /// The same, where something else has to permit a send too.
    pub fn where_also(self, also: Option<Arc<dyn Permits>>) -> Room {
        Room { also, ..self }
    }

    /// The part of every engine that this gateway may lend now, where the fleet says so.
    pub fn share(&self, now: Duration) -> Option<f64> {
        let left = self.left.iter().find(|left| left.budget.measure == Measure::Engines)?;
        Some(left.now(now).max(0) as f64 / ENGINES as f64)
    }

    /// Takes it. What has been permitted is taken, whatever is left.
    pub fn take(&mut self, claim: &Claim) -> Took {
        let rows = self.left.iter_mut().enumerate();
        let took = rows.filter_map(|(at, left)| {
            let takes = left.budget.takes(claim)?;
            left.floor -= takes as i64;
            Some((at, takes))
        });
        took.collect()
    }
}

/// Names what is counted of an execution that may run on unheard: until when by the patient clock, and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lingering {
    until: Duration,
    number: u64,
}

struct Row {
    budget: Arc<Budget>,
    floor: u64,
    leave: u64,
    until: Duration,
    /// At once: in use, the most since last told.
    in_use: u64,
    peak: u64,
    /// By the second: saved up of the floor's rate and the leave's, as at a moment.
    saved: (u64, u64),
    saved_at: Duration,
    /// Taken, and refused for want of it, since last told.
    taken: u64,
    missed: u64,
    need: u64,
}

/// The parts of one gateway, and what it does with them.
pub struct Usage {
    rows: Vec<Row>,
    /// What others may have running ends by this clock, never too early.
    clock: Patience,
    /// Before this, by that clock, the floors are not ours yet: a process before us under the same place may have some running.
    floor_from: Duration,
    /// What may run on unheard, the first to end first; emptied as that clock passes.
    lingering: BTreeMap<Lingering, Took>,
    numbered: u64,
    /// Of what lingers, what processes before this one sent.
    inherited: BTreeSet<Lingering>,
    told_at: Duration,
}

impl Usage {
    /// `floor_after`: how long what a process before us had running may go on.
    pub fn new(budgets: Vec<Budget>, places: u32, floor_after: Duration, now: Duration) -> Usage {
        let row = |budget: Budget| Row {
            floor: budget.floor(places),
            budget: Arc::new(budget),
            leave: 0,
            until: Duration::ZERO,
            in_use: 0,
            peak: 0,
            saved: (0, 0),
            saved_at: now,
            taken: 0,
            missed: 0,
            need: 0,
        };
        let rows = budgets.into_iter().map(row).collect();
        let mut clock = Patience::default();
        let _ = clock.look(now, false);
        Usage {
            rows,
            clock,
            floor_from: floor_after,
            lingering: BTreeMap::new(),
            numbered: 0,
            inherited: BTreeSet::new(),
            told_at: now,
        }
    }

    /// More is known of what processes before us may have out: the floors are ours so much later, if not before.
    pub fn floors_after(&mut self, now: Duration, span: Duration) {
        self.pass(now);
        self.floor_from = self.floor_from.min(self.clock.now() + span);
    }

    /// A process before us sent what may yet run, or begin, for so long: it is in use as what we sent ourselves.
    pub fn inherit(&mut self, now: Duration, took: Took, span: Duration) -> Option<Lingering> {
        self.took(now, &took);
        let name = self.ended(now, took, Some(span));
        self.inherited.extend(name);
        name
    }

    /// By budget, what is in use beyond the floors of what processes before us sent.
    pub fn inherited_beyond_floors(&mut self, now: Duration) -> Vec<u64> {
        self.pass(now);
        let mut sums = vec![0u64; self.rows.len()];
        for (at, takes) in self.inherited.iter().filter_map(|name| self.lingering.get(name)).flatten() {
            if let Some(row) = self.rows.get(*at).filter(|row| row.budget.measure.is_at_once()) {
                sums[*at] += takes.min(&row.budget.whole);
            }
        }
        sums.iter().zip(&self.rows).map(|(sum, row)| sum.saturating_sub(row.floor)).collect()
    }

    /// Leave as it was given: grains by budget, and when all of it ends. Less than before takes hold at once, what runs runs on.
    pub fn lease(&mut self, now: Duration, amounts: &[u64], until: Duration) {
        self.pass(now);
        for (row, amount) in self.rows.iter_mut().zip(amounts) {
            row.leave = *amount;
            row.until = until;
            let most = row.most(row.leave);
            row.saved.1 = row.saved.1.min(most);
        }
    }

    /// No leave any more, of any budget.
    pub fn drop_leave(&mut self, now: Duration) {
        self.pass(now);
        self.rows.iter_mut().for_each(|row| (row.leave, row.until, row.saved.1) = (0, Duration::ZERO, 0));
    }

    pub fn took(&mut self, now: Duration, took: &Took) {
        self.pass(now);
        for (at, takes) in took {
            let Some(row) = self.rows.get_mut(*at) else { continue };
            row.taken += takes;
            if row.budget.measure.is_at_once() {
                row.in_use += takes;
                row.peak = row.peak.max(row.in_use);
            } else {
                let from_leave = takes.saturating_sub(row.saved.0);
                row.saved = (row.saved.0.saturating_sub(*takes), row.saved.1.saturating_sub(from_leave));
            }
        }
    }

    /// An execution has ended; `unheard`: it may run on at its engine for so long. It is counted until then, or until it is
    /// settled by the name that comes back.
    pub fn ended(&mut self, now: Duration, took: Took, unheard: Option<Duration>) -> Option<Lingering> {
        self.pass(now);
        let Some(span) = unheard else {
            self.free(&took);
            return None;
        };
        self.numbered += 1;
        let name = Lingering { until: self.clock.now() + span, number: self.numbered };
        self.lingering.insert(name, took);
        Some(name)
    }

    /// More is known of what may run on unheard: for how long it still may, if at all. It never counts for longer than before,
    /// and has another name then.
    pub fn settle(&mut self, now: Duration, name: Lingering, unheard: Option<Duration>) -> Option<Lingering> {
        self.pass(now);
        let took = self.lingering.remove(&name)?;
        match unheard {
            Some(span) => {
                let until = name.until.min(self.clock.now() + span);
                let shorter = Lingering { until, ..name };
                if self.inherited.remove(&name) {
                    self.inherited.insert(shorter);
                }
                self.lingering.insert(shorter, took);
                Some(shorter)
            }
            None => {
                self.inherited.remove(&name);
                self.free(&took);
                None
            }
        }
    }

    /// Whether it is counted still.
    pub fn lingers(&self, name: Lingering) -> bool {
        self.lingering.contains_key(&name)
    }

    /// How many executions are counted that may run on unheard.
    pub fn lingering(&self) -> usize {
        self.lingering.len()
    }

    fn free(&mut self, took: &Took) {
        for (at, takes) in took {
            if let Some(row) = self.rows.get_mut(*at).filter(|row| row.budget.measure.is_at_once()) {
                row.in_use = row.in_use.saturating_sub(*takes);
            }
        }
    }

    /// A statement was rejected while a budget that counts it had no room: that much more is needed. Its engine is not known.
    pub fn refused(&mut self, now: Duration, claim: &Claim) -> bool {
        self.pass(now);
        let (floors, mut any) = (self.has_floors(), false);
        for row in &mut self.rows {
            let kind = row.budget.scope.kind.clone().unwrap_or_default();
            let Some(takes) = row.budget.takes(&Claim { kind: &kind, ..*claim }) else { continue };
            if row.left(now, floors).now(now) < takes as i64 {
                (row.missed, any) = (row.missed.saturating_add(takes), true);
            }
        }
        any
    }

    /// What is needed beyond the floors, by budget; to be asked once a telling.
    pub fn needs(&mut self, now: Duration) -> Vec<u64> {
        self.pass(now);
        let since = now.saturating_sub(self.told_at).max(Duration::from_millis(50));
        self.told_at = now;
        let needs = self.rows.iter_mut().map(|row| {
            if row.budget.measure == Measure::Engines {
                row.need = row.budget.whole;
                return row.need;
            }
            let wanted = match row.budget.measure.is_at_once() {
                true => row.peak.saturating_add(row.missed),
                false => by_second(row.taken.saturating_add(row.missed), since),
            };
            let headroom = if wanted == 0 { 0 } else { (wanted / 100 * HEADROOM).max(row.budget.quantum) };
            // No more than there is: what was refused in a surge would else be remembered for long.
            row.need = wanted.saturating_add(headroom).max(row.need / 100 * NEED_KEPT).min(row.budget.whole);
            (row.peak, row.taken, row.missed) = (row.in_use, 0, 0);
            row.need.saturating_sub(row.floor)
        });
        needs.collect()
    }

    /// What we have beyond the floors, by budget: the leave, or what is in use beyond it.
    pub fn holds(&mut self, now: Duration) -> Vec<u64> {
        self.pass(now);
        let held = self.rows.iter().map(|row| {
            let leave = if now < row.until { row.leave } else { 0 };
            leave.max(row.in_use.saturating_sub(row.floor))
        });
        held.collect()
    }

    /// Floors, leave and use by budget, for whoever looks on.
    pub fn figures(&mut self, now: Duration) -> Vec<Figures> {
        self.pass(now);
        let floors = self.has_floors();
        let floor = |row: &Row| if floors { row.floor } else { 0 };
        let figures = self.rows.iter().map(|row| Figures {
            budget: row.budget.name.clone(),
            whole: row.budget.whole,
            floor: floor(row),
            leave: if now < row.until { row.leave } else { 0 },
            until: row.until,
            in_use: row.in_use,
            need: row.need,
        });
        figures.collect()
    }

    /// What is left now, for the module.
    pub fn room(&mut self, now: Duration) -> Room {
        self.pass(now);
        let floors = self.has_floors();
        let left = self.rows.iter().map(|row| row.left(now, floors)).collect();
        Room { left, also: None }
    }

    /// Whether the floors are ours.
    pub fn has_floors(&self) -> bool {
        self.clock.now() >= self.floor_from
    }

    /// When what is left changes by itself: leave ends, floors begin, what lingered can't run any more.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        let patient = self.clock.now();
        let first = self.lingering.first_key_value().map(|(name, _)| name.until);
        let later = first.into_iter().chain([self.floor_from]);
        let later = later.filter(|at| *at > patient).map(|at| now + (at - patient));
        self.rows.iter().map(|row| row.until).filter(|at| *at > now).chain(later).min()
    }

    /// To be called often: what others may have running is passed over for as long as nobody looks.
    pub fn look(&mut self, now: Duration) {
        self.pass(now);
    }

    fn pass(&mut self, now: Duration) {
        let had_floors = self.has_floors();
        if self.clock.look(now, false).is_err() {
            self.rows
                .iter_mut()
                .for_each(|row| (row.leave, row.until, row.saved) = (0, Duration::ZERO, (0, 0)));
        }
        let patient = self.clock.now();
        while let Some(entry) = self.lingering.first_entry().filter(|entry| entry.key().until <= patient) {
            let (name, took) = entry.remove_entry();
            self.inherited.remove(&name);
            self.free(&took);
        }
        for row in &mut self.rows {
            if now >= row.until {
                (row.leave, row.saved.1) = (0, 0);
            }
            row.save(now, had_floors);
        }
    }
}

/// One budget as a gateway has it, in grains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Figures {
    pub budget: String,
    pub whole: u64,
    pub floor: u64,
    pub leave: u64,
    pub until: Duration,
    pub in_use: u64,
    pub need: u64,
}

impl Row {
    /// The most that is saved up at this rate.
    fn most(&self, rate: u64) -> u64 {
        (u128::from(rate) * self.budget.burst.as_millis() / 1000).min(u128::from(u64::MAX / 4)) as u64
    }

    fn save(&mut self, now: Duration, floors: bool) {
        let span = now.saturating_sub(self.saved_at);
        if span.is_zero() || self.budget.measure.is_at_once() {
            return;
        }
        // What is under a grain is not lost: the time for it stays to be counted.
        let came = |rate: u64, span: Duration| (u128::from(rate) * span.as_micros() / 1_000_000) as u64;
        let (floor, leave) = (came(if floors { self.floor } else { 0 }, span), came(self.leave, span));
        if floor + leave == 0 && span < Duration::from_secs(1) {
            return;
        }
        self.saved.0 = (self.saved.0 + floor).min(self.most(self.floor));
        self.saved.1 = (self.saved.1 + leave).min(self.most(self.leave));
        self.saved_at = now;
    }

    fn left(&self, now: Duration, floors: bool) -> Left {
        let floor = if floors { self.floor } else { 0 };
        let leave = if now < self.until { self.leave } else { 0 };
        let (left, rate, most) = match self.budget.measure.is_at_once() {
            true => ((floor as i64 - self.in_use as i64, leave as i64), (0, 0), (0, 0)),
            false => (
                (self.saved.0 as i64, self.saved.1 as i64),
                (floor, leave),
                (self.most(floor), self.most(leave)),
            ),
        };
        let budget = self.budget.clone();
        Left { budget, at: now, until: self.until, floor: left.0, leave: left.1, rate, most }
    }
}

fn by_second(grains: u64, since: Duration) -> u64 {
    (u128::from(grains) * 1_000_000 / since.as_micros().max(1)).min(u128::from(u64::MAX / 4)) as u64
}

/// A figure in whole units, for tables.
pub fn units(grains: u64) -> f64 {
    grains as f64 / GRAIN as f64
}

#[cfg(test)]
mod tests;
