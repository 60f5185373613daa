//! What one gateway has in use of its shares, its headroom, and its need.
//!
//! A share consists of a floor, which a gateway has for good from a known time on, and a grant, which expires. Grants come
//! from the fleet's leader (`set_grant`); without one a gateway works with its floors. What has ended at an engine is released
//! at once; an execution that may still run there unobserved, or start there, counts until it is known not to be possible.

use crate::scope::ENGINES_WHOLE_PPM;
use crate::{ActiveClock, Budget, Demand, Measure, UNIT};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How much of an earlier need is kept at each report: shares that are given up at once oscillate.
const NEED_DECAY_PERCENT: u64 = 60;
/// Asked for beyond the peak usage: headroom for the statements before the next report.
const NEED_MARGIN_PERCENT: u64 = 25;

/// The headroom of one budget at a moment. It carries the expiry of the grant, so a check has to pass the time.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetHeadroom {
    budget: Arc<Budget>,
    at: Duration,
    until: Duration,
    /// Milliunits of the floor and of the grant, less what is in use; below zero where usage exceeds the share.
    floor: i64,
    grant: i64,
    /// Of the floor and of the grant: milliunits a second that are refilled, and the burst limit.
    rate: (u64, u64),
    burst_limit: (u64, u64),
}

impl BudgetHeadroom {
    /// Milliunits that are free now.
    pub fn now(&self, now: Duration) -> i64 {
        let refilled = |free: i64, rate: u64, burst_limit: u64| {
            let refill = u128::from(rate) * now.saturating_sub(self.at).as_micros() / 1_000_000;
            if self.budget.measure.is_at_once() {
                free
            } else {
                (free + refill as i64).min(burst_limit as i64)
            }
        };
        let floor = refilled(self.floor, self.rate.0, self.burst_limit.0);
        match now < self.until {
            true => floor + refilled(self.grant, self.rate.1, self.burst_limit.1),
            false => floor,
        }
    }
}

/// A further check of the fleet that a send has to pass, such as its policy.
pub trait AdmissionCheck: std::fmt::Debug + Send + Sync {
    fn permits(&self, now: Duration, demand: &Demand) -> bool;
}

/// The headroom of all budgets; without budgets it permits everything.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    budgets: Vec<BudgetHeadroom>,
    check: Option<Arc<dyn AdmissionCheck>>,
}

/// What a send was charged: index of the budget and milliunits. It is passed back when the execution ends.
pub type Charges = Vec<(usize, u64)>;

impl Headroom {
    /// Whether there are no budgets.
    pub fn is_off(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Whether every budget that counts such a send has headroom for it.
    pub fn permits(&self, now: Duration, demand: &Demand) -> bool {
        let fits = |headroom: &BudgetHeadroom| {
            headroom.budget.amount_for(demand).is_none_or(|amount| headroom.now(now) >= amount as i64)
        };
        self.budgets.iter().all(fits) && self.check.as_ref().is_none_or(|check| check.permits(now, demand))
    }

    /// The same headroom with a further check.
    pub fn with_check(self, check: Option<Arc<dyn AdmissionCheck>>) -> Headroom {
        Headroom { check, ..self }
    }

    /// The share of every engine that this gateway may use now, if the fleet has a budget on engines.
    pub fn engine_share(&self, now: Duration) -> Option<f64> {
        let headroom = self.budgets.iter().find(|headroom| headroom.budget.measure == Measure::Engines)?;
        Some(headroom.now(now).max(0) as f64 / ENGINES_WHOLE_PPM as f64)
    }

    /// Charges a send that has been permitted, whatever the headroom.
    pub fn charge(&mut self, demand: &Demand) -> Charges {
        let budgets = self.budgets.iter_mut().enumerate();
        let charges = budgets.filter_map(|(at, headroom)| {
            let amount = headroom.budget.amount_for(demand)?;
            headroom.floor -= amount as i64;
            Some((at, amount))
        });
        charges.collect()
    }
}

/// Identifies an orphaned execution, which may still run unobserved: until when by the active clock, and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrphanId {
    until: Duration,
    number: u64,
}

struct BudgetUsage {
    budget: Arc<Budget>,
    floor: u64,
    grant: u64,
    until: Duration,
    /// Concurrent measures: in use now, and the peak since the last report.
    in_use: u64,
    peak: u64,
    /// Rates: tokens accumulated from the floor's rate and from the grant's, as of a moment.
    tokens: (u64, u64),
    refilled_at: Duration,
    /// Charged, and refused for lack of headroom, since the last report.
    charged: u64,
    refused: u64,
    need: u64,
}

/// The shares of one gateway and its usage of them.
pub struct Usage {
    budgets: Vec<BudgetUsage>,
    /// Executions of others are taken to have ended by this clock, never too early.
    clock: ActiveClock,
    /// The time by that clock from which the floors may be used: before it, a predecessor under the same member id may have
    /// executions running.
    floors_from: Duration,
    /// Orphaned executions, the first to end first; dropped as that clock passes.
    orphans: BTreeMap<OrphanId, Charges>,
    last_number: u64,
    /// The orphans that predecessors sent.
    inherited: BTreeSet<OrphanId>,
    reported_at: Duration,
}

impl Usage {
    /// `floor_after`: for how long executions of a predecessor may still run.
    pub fn new(budgets: Vec<Budget>, max_members: u32, floor_after: Duration, now: Duration) -> Usage {
        let usage = |budget: Budget| BudgetUsage {
            floor: budget.floor(max_members),
            budget: Arc::new(budget),
            grant: 0,
            until: Duration::ZERO,
            in_use: 0,
            peak: 0,
            tokens: (0, 0),
            refilled_at: now,
            charged: 0,
            refused: 0,
            need: 0,
        };
        let budgets = budgets.into_iter().map(usage).collect();
        let mut clock = ActiveClock::default();
        let _ = clock.advance(now, false);
        Usage {
            budgets,
            clock,
            floors_from: floor_after,
            orphans: BTreeMap::new(),
            last_number: 0,
            inherited: BTreeSet::new(),
            reported_at: now,
        }
    }

    /// More is known of what predecessors may have in flight: the floors may be used after `span`, or earlier if they could be.
    pub fn allow_floors_after(&mut self, now: Duration, span: Duration) {
        self.advance(now);
        self.floors_from = self.floors_from.min(self.clock.now() + span);
    }

    /// Counts an execution of a predecessor that may still run, or start, for `span`, as if this process had sent it.
    pub fn inherit(&mut self, now: Duration, charges: Charges, span: Duration) -> Option<OrphanId> {
        self.record_charges(now, &charges);
        let id = self.end(now, charges, Some(span));
        self.inherited.extend(id);
        id
    }

    /// By budget, what the predecessors' executions have in use beyond the floors.
    pub fn inherited_beyond_floors(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let mut sums = vec![0u64; self.budgets.len()];
        for (at, amount) in self.inherited.iter().filter_map(|id| self.orphans.get(id)).flatten() {
            if let Some(usage) = self.budgets.get(*at).filter(|usage| usage.budget.measure.is_at_once()) {
                sums[*at] += amount.min(&usage.budget.whole);
            }
        }
        sums.iter().zip(&self.budgets).map(|(sum, usage)| sum.saturating_sub(usage.floor)).collect()
    }

    /// Sets the grants: milliunits by budget and the expiry of all of them. A smaller grant takes effect at once, but running
    /// executions go on.
    pub fn set_grants(&mut self, now: Duration, amounts: &[u64], until: Duration) {
        self.advance(now);
        for (usage, amount) in self.budgets.iter_mut().zip(amounts) {
            usage.grant = *amount;
            usage.until = until;
            let burst_limit = usage.burst_limit(usage.grant);
            usage.tokens.1 = usage.tokens.1.min(burst_limit);
        }
    }

    /// Drops the grants of all budgets.
    pub fn drop_grants(&mut self, now: Duration) {
        self.advance(now);
        self.budgets
            .iter_mut()
            .for_each(|usage| (usage.grant, usage.until, usage.tokens.1) = (0, Duration::ZERO, 0));
    }

    /// Records what a send was charged.
    pub fn record_charges(&mut self, now: Duration, charges: &Charges) {
        self.advance(now);
        for (at, amount) in charges {
            let Some(usage) = self.budgets.get_mut(*at) else { continue };
            usage.charged += amount;
            if usage.budget.measure.is_at_once() {
                usage.in_use += amount;
                usage.peak = usage.peak.max(usage.in_use);
            } else {
                let from_grant = amount.saturating_sub(usage.tokens.0);
                usage.tokens =
                    (usage.tokens.0.saturating_sub(*amount), usage.tokens.1.saturating_sub(from_grant));
            }
        }
    }

    /// Records the end of an execution. With `may_run_for` it may still run unobserved at its engine for so long and is counted
    /// until then, or until it is settled by the id that is returned.
    pub fn end(
        &mut self,
        now: Duration,
        charges: Charges,
        may_run_for: Option<Duration>,
    ) -> Option<OrphanId> {
        self.advance(now);
        let Some(span) = may_run_for else {
            self.release(&charges);
            return None;
        };
        self.last_number += 1;
        let id = OrphanId { until: self.clock.now() + span, number: self.last_number };
        self.orphans.insert(id, charges);
        Some(id)
    }

    /// Shortens or ends the time for which an orphaned execution counts, as more is known of it; it is never extended. Returns
    /// the new id if it still counts.
    pub fn settle(&mut self, now: Duration, id: OrphanId, may_run_for: Option<Duration>) -> Option<OrphanId> {
        self.advance(now);
        let charges = self.orphans.remove(&id)?;
        match may_run_for {
            Some(span) => {
                let until = id.until.min(self.clock.now() + span);
                let shorter = OrphanId { until, ..id };
                if self.inherited.remove(&id) {
                    self.inherited.insert(shorter);
                }
                self.orphans.insert(shorter, charges);
                Some(shorter)
            }
            None => {
                self.inherited.remove(&id);
                self.release(&charges);
                None
            }
        }
    }

    /// Whether an orphaned execution still counts.
    pub fn counts_orphan(&self, id: OrphanId) -> bool {
        self.orphans.contains_key(&id)
    }

    /// The number of orphaned executions that still count.
    pub fn orphans(&self) -> usize {
        self.orphans.len()
    }

    fn release(&mut self, charges: &Charges) {
        for (at, amount) in charges {
            if let Some(usage) = self.budgets.get_mut(*at).filter(|usage| usage.budget.measure.is_at_once()) {
                usage.in_use = usage.in_use.saturating_sub(*amount);
            }
        }
    }

    /// Records a rejected statement as need in each budget that had no headroom for it; whether any had none. The engine of
    /// the statement is not known.
    pub fn record_refusal(&mut self, now: Duration, demand: &Demand) -> bool {
        self.advance(now);
        let (floors, mut any) = (self.has_floors(), false);
        for usage in &mut self.budgets {
            let kind = usage.budget.scope.kind.clone().unwrap_or_default();
            let Some(amount) = usage.budget.amount_for(&Demand { kind: &kind, ..*demand }) else { continue };
            if usage.headroom(now, floors).now(now) < amount as i64 {
                (usage.refused, any) = (usage.refused.saturating_add(amount), true);
            }
        }
        any
    }

    /// The need beyond the floors, by budget. Call once per report: it starts a new reporting period.
    pub fn needs(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let since = now.saturating_sub(self.reported_at).max(Duration::from_millis(50));
        self.reported_at = now;
        let needs = self.budgets.iter_mut().map(|usage| {
            if usage.budget.measure == Measure::Engines {
                usage.need = usage.budget.whole;
                return usage.need;
            }
            let wanted = match usage.budget.measure.is_at_once() {
                true => usage.peak.saturating_add(usage.refused),
                false => per_second(usage.charged.saturating_add(usage.refused), since),
            };
            let margin =
                if wanted == 0 { 0 } else { (wanted / 100 * NEED_MARGIN_PERCENT).max(usage.budget.quantum) };
            // Capped at the whole: otherwise the refusals of a surge would take long to decay.
            usage.need = wanted
                .saturating_add(margin)
                .max(usage.need / 100 * NEED_DECAY_PERCENT)
                .min(usage.budget.whole);
            (usage.peak, usage.charged, usage.refused) = (usage.in_use, 0, 0);
            usage.need.saturating_sub(usage.floor)
        });
        needs.collect()
    }

    /// What is held beyond the floors, by budget: the grant, or usage beyond it.
    pub fn held(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let held = self.budgets.iter().map(|usage| {
            let grant = if now < usage.until { usage.grant } else { 0 };
            grant.max(usage.in_use.saturating_sub(usage.floor))
        });
        held.collect()
    }

    /// Floors, grants and usage by budget, for status reports.
    pub fn status(&mut self, now: Duration) -> Vec<BudgetStatus> {
        self.advance(now);
        let floors = self.has_floors();
        let floor = |usage: &BudgetUsage| if floors { usage.floor } else { 0 };
        let status = self.budgets.iter().map(|usage| BudgetStatus {
            budget: usage.budget.name.clone(),
            whole: usage.budget.whole,
            floor: floor(usage),
            grant: if now < usage.until { usage.grant } else { 0 },
            until: usage.until,
            in_use: usage.in_use,
            need: usage.need,
        });
        status.collect()
    }

    /// The headroom now, for the module.
    pub fn headroom(&mut self, now: Duration) -> Headroom {
        self.advance(now);
        let floors = self.has_floors();
        let budgets = self.budgets.iter().map(|usage| usage.headroom(now, floors)).collect();
        Headroom { budgets, check: None }
    }

    /// Whether the floors may be used.
    pub fn has_floors(&self) -> bool {
        self.clock.now() >= self.floors_from
    }

    /// When the headroom next changes by itself: a grant expires, the floors become usable, or an orphan can no longer run.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        let active = self.clock.now();
        let first = self.orphans.first_key_value().map(|(id, _)| id.until);
        let later = first.into_iter().chain([self.floors_from]);
        let later = later.filter(|at| *at > active).map(|at| now + (at - active));
        self.budgets.iter().map(|usage| usage.until).filter(|at| *at > now).chain(later).min()
    }

    /// To be called often: orphans expire only by time during which it is.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
    }

    fn advance(&mut self, now: Duration) {
        let had_floors = self.has_floors();
        if self.clock.advance(now, false).is_err() {
            self.budgets
                .iter_mut()
                .for_each(|usage| (usage.grant, usage.until, usage.tokens) = (0, Duration::ZERO, (0, 0)));
        }
        let active = self.clock.now();
        while let Some(entry) = self.orphans.first_entry().filter(|entry| entry.key().until <= active) {
            let (id, charges) = entry.remove_entry();
            self.inherited.remove(&id);
            self.release(&charges);
        }
        for usage in &mut self.budgets {
            if now >= usage.until {
                (usage.grant, usage.tokens.1) = (0, 0);
            }
            usage.refill(now, had_floors);
        }
    }
}

/// The state of one budget at a gateway, in milliunits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    pub budget: String,
    pub whole: u64,
    pub floor: u64,
    pub grant: u64,
    pub until: Duration,
    pub in_use: u64,
    pub need: u64,
}

impl BudgetUsage {
    /// The most tokens that accumulate at this rate.
    fn burst_limit(&self, rate: u64) -> u64 {
        (u128::from(rate) * self.budget.burst.as_millis() / 1000).min(u128::from(u64::MAX / 4)) as u64
    }

    fn refill(&mut self, now: Duration, floors: bool) {
        let span = now.saturating_sub(self.refilled_at);
        if span.is_zero() || self.budget.measure.is_at_once() {
            return;
        }
        // Less than a milliunit is not lost: `refilled_at` stays, so that its time is counted later.
        let refill = |rate: u64, span: Duration| (u128::from(rate) * span.as_micros() / 1_000_000) as u64;
        let (floor, grant) = (refill(if floors { self.floor } else { 0 }, span), refill(self.grant, span));
        if floor + grant == 0 && span < Duration::from_secs(1) {
            return;
        }
        self.tokens.0 = (self.tokens.0 + floor).min(self.burst_limit(self.floor));
        self.tokens.1 = (self.tokens.1 + grant).min(self.burst_limit(self.grant));
        self.refilled_at = now;
    }

    fn headroom(&self, now: Duration, floors: bool) -> BudgetHeadroom {
        let floor = if floors { self.floor } else { 0 };
        let grant = if now < self.until { self.grant } else { 0 };
        let (free, rate, burst_limit) = match self.budget.measure.is_at_once() {
            true => ((floor as i64 - self.in_use as i64, grant as i64), (0, 0), (0, 0)),
            false => (
                (self.tokens.0 as i64, self.tokens.1 as i64),
                (floor, grant),
                (self.burst_limit(floor), self.burst_limit(grant)),
            ),
        };
        let budget = self.budget.clone();
        BudgetHeadroom { budget, at: now, until: self.until, floor: free.0, grant: free.1, rate, burst_limit }
    }
}

fn per_second(milliunits: u64, since: Duration) -> u64 {
    (u128::from(milliunits) * 1_000_000 / since.as_micros().max(1)).min(u128::from(u64::MAX / 4)) as u64
}

/// An amount in whole units, for tables.
pub fn units(milliunits: u64) -> f64 {
    milliunits as f64 / UNIT as f64
}

#[cfg(test)]
mod tests;
