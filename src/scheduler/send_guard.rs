//! The send guard: every execution, first or further, has to pass it when it is decided and again right
//! before its first byte is sent. Each rule is a reason against a send.

use super::*;

/// The rules that forbid a send. Operators see the names of the variants in the log.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// The statement is answered, past its deadline, or has had all its executions.
    OneAnswer,
    /// Another execution could take effect a second time.
    NoDoubleEffect,
    /// The engine is draining or gone, or the list may hide that it is.
    Drain,
    /// The lease on the list has expired, or a conflicting list doesn't have the engine up.
    List,
    /// The engine is cold, and this gateway's share of its limit is used up.
    Cold,
    /// Another statement of the same ordering key comes first, or the key is blocked.
    Order,
    /// The workload may not run in the engine's zone or on its kind.
    Placement,
    /// The retry budget is used up.
    Budget,
    /// The body can't be sent again.
    Text,
    /// A budget of the fleet is used up, or the fleet's policy doesn't permit the execution.
    Leave,
    /// The client is not polling for the statement.
    Absent,
    /// The execution could not end before the gateway closes.
    Closing,
}

impl Scheduler {
    /// The rule, if any, that forbids sending this statement to this engine now.
    pub fn forbids(&self, now: Duration, id: &Id, engine: &Id) -> Option<Rule> {
        let (Some(statement), Some(to)) = (self.statements.get(id), self.engines.get(engine)) else {
            return Some(Rule::OneAnswer);
        };
        let stats = &self.workload_stats[statement.request.workload];
        let tries = statement.executions.len();
        let expected_end = now + Duration::from_secs_f64(stats.elapsed.0 * statement.coefficient);
        #[rustfmt::skip]
        let violations = [
            (Rule::OneAnswer, tries >= self.site.max_executions),
            (Rule::Text, statement.is_body_consumed()),
            (Rule::NoDoubleEffect, !self.site.concurrent_executions && statement.is_in_flight()),
            (Rule::Closing, self.closes_at.is_some_and(|by| expected_end > by)),
            (Rule::Order, !self.is_next_in_order(now, statement)),
            (Rule::Placement, misplaced(stats, &to.entry)),
            (Rule::Budget, tries > 0 && !self.retry_budget_allows(now, statement.reached_no_engine())),
            (Rule::Cold, !self.slow_start_allows(now, to, stats)),
            (Rule::Leave, !self.budget_headroom.permits(now, &self.demand(statement, to))),
        ];
        let first = violations.iter().find(|(_, violated)| *violated).map(|(rule, _)| *rule);
        first.or_else(|| self.forbids_at_any_time(now, statement, &statement.executions, to))
    }

    /// Repeats the check right before the first byte of an execution is sent: events that arrived while a
    /// connection was being established or a cancel was pending revoke the decision, and nothing has run.
    pub fn recheck(&self, now: Duration, id: &Id, execution: usize) -> Option<Rule> {
        let statement = self.statements.get(id);
        let x = statement
            .and_then(|s| s.executions.get(execution))
            .filter(|x| x.state == ExecutionState::InFlight);
        let (Some(statement), Some(x)) = (statement, x) else { return Some(Rule::OneAnswer) };
        let Some(to) = self.engines.get(&x.engine) else { return Some(Rule::Drain) };
        self.forbids_at_any_time(now, statement, &statement.executions[..execution], to)
    }

    /// The rules that have to hold both at the decision and at the send, after the executions `before`.
    fn forbids_at_any_time(
        &self,
        now: Duration,
        statement: &Statement,
        before: &[Execution],
        to: &Engine,
    ) -> Option<Rule> {
        #[rustfmt::skip]
        let violations = [
            (Rule::OneAnswer, statement.state == StatementState::Done || now + self.site.tick >= statement.deadline),
            (Rule::NoDoubleEffect, !self.repeat_is_safe(now, statement, before, to)),
            (Rule::Drain, to.entry.state != EngineState::In || !self.list_is_current(now, to)),
            (Rule::List, self.list_lease.stale(now).is_some() || self.is_in_conflict(to)),
            (Rule::Absent, statement.client_away),
        ];
        violations.iter().find(|(_, violated)| *violated).map(|(rule, _)| *rule)
    }

    /// What an execution would take of the fleet's budgets.
    pub(super) fn demand<'a>(&self, statement: &Statement, to: &'a Engine) -> Demand<'a> {
        let (previous_executions, mem_mb) =
            (statement.executions.len() as u32, statement.request.est_mem_mb.unwrap_or(0.0));
        let (workload, customer) = (statement.request.workload, statement.request.customer);
        Demand {
            workload,
            customer,
            kind: &to.entry.kind,
            weight: self.weight(statement),
            mem_mb,
            previous_executions,
        }
    }

    /// Whether none of the executions `before` could take effect a second time on this engine.
    fn repeat_is_safe(
        &self,
        now: Duration,
        statement: &Statement,
        before: &[Execution],
        to: &Engine,
    ) -> bool {
        let config = &self.workload_stats[statement.request.workload].config;
        let in_scope = |x: &Execution, scope| match scope {
            DedupScope::All => true,
            DedupScope::Zone => x.zone == to.entry.zone,
            DedupScope::Cell => x.cell == to.entry.cell,
        };
        let mut may_have_run = before.iter().filter(|x| x.state != ExecutionState::NeverRan);
        may_have_run.all(|x| match config.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated(scope) => {
                now + TRANSIT_MARGIN < x.sent_at + config.dedup_window && in_scope(x, scope)
            }
        })
    }

    /// Where the list is polled, one that is too old may hide a drain. While polling fails, an engine that
    /// looks unhealthy may be draining or gone, however many do. Costs availability if engines recover and
    /// the list doesn't.
    fn list_is_current(&self, now: Duration, to: &Engine) -> bool {
        let max_age = self.site.list_poll_interval * if self.list_failed { 4 } else { 1 };
        let may_be_gone = self.list_failed && to.is_unhealthy(now, &self.signals);
        !may_be_gone
            && (!self.site.list_is_polled || self.list_subscribed || now < self.list_updated_at + max_age)
    }

    /// Protects against a name service that restarts its numbering, or whose replicas differ: an engine has
    /// to be up by both lists. Delays traffic to an engine that has just joined if an old list arrives late.
    fn is_in_conflict(&self, to: &Engine) -> bool {
        self.conflicting_list.as_ref().is_some_and(|up| !up.contains(&to.entry.id))
    }

    /// Limits the work sent to a cold engine in the last window to this gateway's share of what the engine
    /// withstands.
    ///
    /// With fractional slices, a rotation that each gateway computes alone decides who may send. Light
    /// statements: in each half window, one statement each (more where fewer gateways share the engine) for
    /// as many gateways as the engine withstands. Others: half of the limit as a whole to one gateway, in the
    /// first half of a slot of two windows, so that no window overlaps two slots.
    /// Where the list states starts by a foreign clock the slots of a gateway count from when it was told of
    /// the process: gateways that were told at different times draw their slots independently, as many at a
    /// time on average.
    fn slow_start_allows(&self, now: Duration, to: &Engine, stats: &WorkloadStats) -> bool {
        let (slow_start, work) = (&self.site.slow_start, stats.work.0);
        let warm = to.cores * WARM_WORK_PER_CORE * slow_start.window.as_secs_f64();
        let limit = warm * slow_start.capacity * slow_start.multiple * COLD_SAFETY_SHARE;
        let since = to.cold.age(now);
        let sent = |span| to.cold_sends.iter().filter(|s| s.0 + span >= now).map(|s| s.1).sum::<f64>();
        let has_slot = |duration, concurrent| {
            to.part.participant.has_slot(RotationSlot { duration, concurrent }, &to.entry.id, since)
        };
        let (half, many) = (slow_start.window / 2, (limit * COLD_LIGHT_SHARE / 2.0 / work) as u64);
        let each = to.part.owners().map_or(1, |owners| (many / owners).max(1)) as f64;
        let has_headroom = match (self.fractional_slices, many > 1) {
            (false, _) => sent(slow_start.window) + work <= limit * self.share(now, to),
            (true, true) => has_slot(half, many) && sent(half) + work <= work * each,
            (true, false) => {
                let early = since.as_nanos() % (slow_start.window * 2).as_nanos().max(1)
                    < slow_start.window.as_nanos();
                early && has_slot(slow_start.window * 2, 1) && sent(slow_start.window) + work <= limit / 2.0
            }
        };
        !to.cold.is_cold(now) || (to.part.own && self.knows_cold_sends(now, to) && has_headroom)
    }

    /// Whether all that was sent to a cold engine in the last window was sent by this process. What a previous
    /// process of this gateway sent is not known: until those sends have left the window, only an engine that
    /// surely started after this process has got none of them.
    fn knows_cold_sends(&self, now: Duration, to: &Engine) -> bool {
        let started_after = matches!(to.entry.started, ProcessStart::Local(at) if at >= self.started_at);
        started_after || now >= self.started_at + self.site.slow_start.window
    }

    /// At the very edge of its window a further execution still counts, an accepted statement no longer does.
    /// The built-in budget protects engines from repeated work: a further execution after refused connections
    /// only (`free`) doesn't count against it.
    pub(super) fn retry_budget_allows(&self, now: Duration, free: bool) -> bool {
        let within = |budget: &RetryBudget, built_in: bool| {
            let recent = self.retries.iter().filter(|(at, _)| *at + budget.window >= now);
            let made = recent.filter(|(_, counts)| *counts || !built_in).count() as f64;
            let accepted =
                self.accepted.len() - self.accepted.partition_point(|at| *at + budget.window <= now);
            made + 1.0 <= budget.min_retries + budget.retry_ratio * accepted as f64
        };
        (free || within(&BUILT_IN_RETRY_BUDGET, true))
            && self.site.retry_budget.as_ref().is_none_or(|b| within(b, false))
    }

    /// Whether the statement is first in its ordering queue, and the queue is not blocked.
    pub(super) fn is_next_in_order(&self, now: Duration, statement: &Statement) -> bool {
        let ordered = self.workload_stats[statement.request.workload].config.ordered;
        let key = statement.request.key.as_ref().filter(|_| ordered);
        let Some(queue) = key.and_then(|key| self.ordering_queues.get(key)) else { return true };
        queue.statements.front() == Some(&statement.request.id)
            && (now >= queue.blocked_until || !statement.executions.is_empty())
    }
}

/// Whether a workload's statements may not run on this engine.
pub(super) fn misplaced(stats: &WorkloadStats, to: &EngineEntry) -> bool {
    let excludes = |names: &Option<Vec<Id>>, own| names.as_ref().is_some_and(|names| !names.contains(own));
    excludes(&stats.config.zones, &to.zone) || excludes(&stats.config.kinds, &to.kind)
}
