//! The gate: the one guard that every execution has to pass, first or repeated, when it is decided and again right before its first byte
//! goes out. Each rule is a reason against a send.

use super::*;

/// The seven rules, as reasons against a send; that a text not kept goes out once; the fleet's budgets; that
/// nothing begins for an absent client, or that can't end before this gateway closes.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    OneAnswer, NoDoubleEffect, Drain, List, Cold, Order, Placement, Budget, Text, Leave, Absent, Closing,
}

impl Chooser {
    /// The gate: the rule, if any, that forbids sending this statement to this engine now.
    pub fn forbids(&self, now: Duration, id: &Id, engine: &Id) -> Option<Rule> {
        let (Some(stmt), Some(to)) = (self.stmts.get(id), self.engines.get(engine)) else {
            return Some(Rule::OneAnswer);
        };
        let row = &self.rows[stmt.said.workload];
        let tries = stmt.executions.len();
        let over = now + Duration::from_secs_f64(row.elapsed.0 * stmt.coefficient);
        #[rustfmt::skip]
        let broken = [
            (Rule::OneAnswer, tries >= self.site.execution_limit),
            (Rule::Text, stmt.spent()),
            (Rule::NoDoubleEffect, !self.site.second_copies && stmt.out()),
            (Rule::Closing, self.closes.is_some_and(|by| over > by)),
            (Rule::Order, !self.has_turn(now, stmt)),
            (Rule::Placement, misplaced(row, &to.entry)),
            (Rule::Budget, tries > 0 && !self.budget_has_room(now, stmt.cost_nothing())),
            (Rule::Cold, !self.cold_has_room(now, to, row)),
            (Rule::Leave, !self.room.permits(now, &self.demand(stmt, to))),
        ];
        let first = broken.iter().find(|(_, broken)| *broken).map(|(rule, _)| *rule);
        first.or_else(|| self.passes(now, stmt, &stmt.executions, to))
    }

    /// The gate once more, right before the first byte of an execution goes out: what has come since, while a
    /// connection was made or a cancel was under way, takes the decision back, and nothing has run.
    pub fn lapsed(&self, now: Duration, id: &Id, execution: usize) -> Option<Rule> {
        let stmt = self.stmts.get(id);
        let x = stmt.and_then(|s| s.executions.get(execution)).filter(|x| x.fate == Fate::Out);
        let (Some(stmt), Some(x)) = (stmt, x) else { return Some(Rule::OneAnswer) };
        let Some(to) = self.engines.get(&x.engine) else { return Some(Rule::Drain) };
        self.passes(now, stmt, &stmt.executions[..execution], to)
    }

    /// What has to hold both when it is decided and when it goes out, after the executions `before`.
    fn passes(&self, now: Duration, stmt: &Stmt, before: &[Execution], to: &Engine) -> Option<Rule> {
        #[rustfmt::skip]
        let broken = [
            (Rule::OneAnswer, stmt.state == State::Over || now + self.site.tick >= stmt.until),
            (Rule::NoDoubleEffect, !self.repeat_is_harmless(now, stmt, before, to)),
            (Rule::Drain, to.entry.state != EngineState::In || !self.list_is_known(now, to)),
            (Rule::List, self.lease.stale(now).is_some() || self.is_disputed(to)),
            (Rule::Absent, stmt.absent),
        ];
        broken.iter().find(|(_, broken)| *broken).map(|(rule, _)| *rule)
    }

    pub(super) fn demand<'a>(&self, stmt: &Stmt, to: &'a Engine) -> Demand<'a> {
        let (previous_executions, mem_mb) =
            (stmt.executions.len() as u32, stmt.said.est_mem_mb.unwrap_or(0.0));
        let (workload, customer) = (stmt.said.workload, stmt.said.customer);
        Demand {
            workload,
            customer,
            kind: &to.entry.kind,
            weight: self.weight(stmt),
            mem_mb,
            previous_executions,
        }
    }

    fn repeat_is_harmless(&self, now: Duration, stmt: &Stmt, before: &[Execution], to: &Engine) -> bool {
        let terms = &self.rows[stmt.said.workload].terms;
        let near = |x: &Execution, group| match group {
            DedupGroup::All => true,
            DedupGroup::Zone => x.zone == to.entry.zone,
            DedupGroup::Cell => x.cell == to.entry.cell,
        };
        let mut may_have_run = before.iter().filter(|x| x.fate != Fate::NeverRan);
        may_have_run.all(|x| match terms.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated(group) => now + ON_THE_WAY < x.sent + terms.dedup_span && near(x, group),
        })
    }

    /// Where the list must be asked for, one that is too old may hide a drain. While it fails, an engine that
    /// looks bad may drain or be gone, however many do; can hurt where engines recover and the list doesn't.
    fn list_is_known(&self, now: Duration, to: &Engine) -> bool {
        let span = self.site.list_ask_every * if self.list_failed { 4 } else { 1 };
        let gone = self.list_failed && to.is_bad(now, &self.signals);
        !gone && (!self.site.list_is_asked || self.subscribed || now < self.list_at + span)
    }

    /// Guards against a name service that counts anew, or whose replicas differ: an engine has to be up by both lists. Costs an engine
    /// that has just joined a moment where an old list comes late.
    fn is_disputed(&self, to: &Engine) -> bool {
        self.disputed.as_ref().is_some_and(|up| !up.contains(&to.entry.id))
    }

    /// This gateway's share of what a cold engine of its own stands, in the last window. Where slices are
    /// crumbs it goes by turns that each works out alone: one light statement each to as many gateways as it
    /// stands (more where fewer share it), anew every half window; half of it whole to one, in the first half
    /// of a turn of two windows, so that no window meets two. A forerunner's sends are not known here: an
    /// engine that was there before gets nothing until they have left the window.
    fn cold_has_room(&self, now: Duration, to: &Engine, row: &Row) -> bool {
        let (cold, work) = (&self.site.cold, row.work.0);
        let warm = to.cores * WARM_WORK_PER_CORE * cold.window.as_secs_f64();
        let stands = warm * cold.capacity * cold.multiple * COLD_CAUTION;
        let since = now.saturating_sub(to.entry.started);
        let sent = |span| to.cold_sends.iter().filter(|s| s.0 + span >= now).map(|s| s.1).sum::<f64>();
        let turn = |duration, concurrent| {
            to.part.participant.has_slot(RotationSlot { duration, concurrent }, &to.entry.id, since)
        };
        let (half, many) = (cold.window / 2, (stands * COLD_LIGHT / 2.0 / work) as u64);
        let each = to.part.owners().map_or(1, |owners| (many / owners).max(1)) as f64;
        let room = match (self.crumbs, many > 1) {
            (false, _) => sent(cold.window) + work <= stands * self.share(now, to),
            (true, true) => turn(half, many) && sent(half) + work <= work * each,
            (true, false) => {
                let early = since.as_nanos() % (cold.window * 2).as_nanos().max(1) < cold.window.as_nanos();
                early && turn(cold.window * 2, 1) && sent(cold.window) + work <= stands / 2.0
            }
        };
        let ours = to.entry.started >= self.began || now >= self.began + cold.window;
        now >= to.warm_at || (to.part.own && ours && room)
    }

    /// On the very edge of its span a further execution still counts, a statement taken no longer does. Our
    /// own ration guards engines from work done again: one after refused connections alone is not on it.
    pub(super) fn budget_has_room(&self, now: Duration, free: bool) -> bool {
        let within = |budget: &Budget, rationed: bool| {
            let recent = self.extras.iter().filter(|(at, _)| *at + budget.span >= now);
            let made = recent.filter(|(_, on_ration)| *on_ration || !rationed).count() as f64;
            let taken = self.taken.len() - self.taken.partition_point(|at| *at + budget.span <= now);
            made + 1.0 <= budget.free + budget.share * taken as f64
        };
        (free || within(&RATION, true)) && self.site.budget.as_ref().is_none_or(|b| within(b, false))
    }

    pub(super) fn has_turn(&self, now: Duration, stmt: &Stmt) -> bool {
        let ordered = self.rows[stmt.said.workload].terms.ordered;
        let key = stmt.said.key.as_ref().filter(|_| ordered);
        let Some(line) = key.and_then(|key| self.lines.get(key)) else { return true };
        line.stmts.front() == Some(&stmt.said.id) && (now >= line.rest_until || !stmt.executions.is_empty())
    }
}

/// Whether a workload's statements may not run there.
pub(super) fn misplaced(row: &Row, to: &EngineEntry) -> bool {
    let other = |names: &Option<Vec<Id>>, own| names.as_ref().is_some_and(|names| !names.contains(own));
    other(&row.terms.zones, &to.zone) || other(&row.terms.kinds, &to.kind)
}
