//! The end of an execution: what it shows of the workload and the engine, and where its statement goes next.

use super::*;

impl Scheduler {
    /// Learns from the end of an execution and moves its statement on.
    pub(super) fn execution_ended(&mut self, now: Duration, end: ExecutionEnd) {
        use Outcome::*;
        if matches!(end.outcome, Completed | Error | Reset) {
            self.record_sign_of_life(now, &end.engine);
        }
        if let (Some(report), Some(engine)) = (end.report, self.engines.get_mut(&end.engine)) {
            engine.report = Some((now, report));
        }
        let Some(weight) = self.close_execution(&end) else { return };
        self.block_ordering_key(now, &end);
        let slowdown = self.learn_from_completion(&end);
        if let Some(slowdown) = slowdown.filter(|_| end.report.is_some_and(|r| r.active_statements.is_some()))
        {
            self.mean_slowdown.update(slowdown.min(2.0 * MAX_SLOWDOWN), SLOWDOWN_LEARNING_RATE);
        }
        self.update_engine(now, &end, weight, slowdown);
        let group = self.held_group(&end.id);
        self.adjust_own_loads(now, &end.engine, group, -1);
        if let Some(engine) = self.engines.get(&end.engine).filter(|engine| engine.is_removable()) {
            self.departed.insert(&end.engine, engine.cold);
            self.engines.remove(&end.engine);
        }
        self.advance(now, &end.id, if end.is_final { Input::Finished } else { Input::ExecutionFailed });
        self.remove_if_done(now, &end.id);
    }

    /// Records that an execution is no longer in flight, and returns its weight; none if it was not in flight.
    fn close_execution(&mut self, end: &ExecutionEnd) -> Option<f64> {
        let execution = self.statements.get_mut(&end.id)?.executions.get_mut(end.execution);
        let execution = execution.filter(|execution| execution.state == ExecutionState::InFlight)?;
        let never_ran = matches!(end.outcome, Outcome::Full | Outcome::Refused | Outcome::Skipped);
        execution.state = if never_ran { ExecutionState::NeverRan } else { ExecutionState::MayHaveRun };
        execution.refused = end.outcome == Outcome::Refused;
        Some(execution.weight)
    }

    /// Table group of a statement, if it holds it while it runs.
    fn held_group(&self, id: &Id) -> Option<u64> {
        let request = &self.statements.get(id)?.request;
        request.table_group.filter(|_| self.workload_stats[request.workload].config.holds_group)
    }

    /// Blocks the ordering key of a statement whose execution may run on.
    fn block_ordering_key(&mut self, now: Duration, end: &ExecutionEnd) {
        if !matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            return;
        }
        let Some(request) = self.statements.get(&end.id).map(|statement| &statement.request) else { return };
        let is_ordered = self.workload_stats[request.workload].config.ordered;
        let key = request.key.as_ref().filter(|_| is_ordered);
        if let Some(queue) = key.and_then(|key| self.ordering_queues.get_mut(key)) {
            queue.blocked_until = queue.blocked_until.max(now + self.site.order_pause);
        }
    }

    /// Updates the averages of the workload from an execution that completed. Returns how much slower it was
    /// than its work would take alone.
    fn learn_from_completion(&mut self, end: &ExecutionEnd) -> Option<f64> {
        let statement = self.statements.get(&end.id).filter(|_| end.outcome == Outcome::Completed)?;
        let (coefficient, estimate) = (statement.coefficient, statement.request.est_mem_mb);
        let utilisation = self.engines.get(&end.engine).and_then(|engine| engine.report?.1.utilisation);
        let has_spare = utilisation.is_some_and(|utilisation| utilisation < SPARE_UTILISATION);
        let elapsed = end.elapsed.as_secs_f64();
        let stats = &mut self.workload_stats[statement.request.workload];
        let threads = stats.config.threads;
        stats.elapsed.update(elapsed / coefficient, LEARNING_RATE);
        let unloaded_rate = if has_spare { LEARNING_RATE } else { LEARNING_RATE / 10.0 };
        stats.unloaded_elapsed.update(elapsed / coefficient, unloaded_rate);
        let most = elapsed * threads * COEFFICIENT.1;
        let consumed = end.consumed.map(|(work, _)| work.as_secs_f64());
        let consumed = consumed.filter(|work| (1e-6..most).contains(work));
        stats.work.update(consumed.unwrap_or(stats.unloaded_elapsed.0 * threads), LEARNING_RATE);
        if let (Some((_, mem)), Some(estimate)) = (end.consumed, estimate) {
            stats.memory_ratio.update((mem / estimate).min(4.0 * COEFFICIENT.1), LEARNING_RATE);
        }
        let alone = consumed.map_or(stats.unloaded_elapsed.0 * coefficient, |work| work / threads);
        Some(elapsed / alone)
    }

    /// Updates the load, the faults and the slowdown of the engine.
    fn update_engine(&mut self, now: Duration, end: &ExecutionEnd, weight: f64, slowdown: Option<f64>) {
        use Outcome::*;
        let threads_per_statement = self.mean_threads();
        let Some(engine) = self.engines.get_mut(&end.engine) else { return };
        engine.load = (engine.load - weight).max(0.0);
        engine.sent_since_report = (engine.sent_since_report - weight).max(0.0);
        if matches!(end.outcome, Full | TimedOut) {
            (engine.reported_load, engine.sent_since_report) =
                (Some((now, MAX_SLOWDOWN * THREADS_PER_CORE)), 0.0);
        } else if let Some(reported) = end
            .report
            .and_then(|report| threads_per_core(&report, engine.cores, threads_per_statement, slowdown))
        {
            (engine.reported_load, engine.sent_since_report) = (Some((now, reported)), 0.0);
            self.mean_reported_load.update(reported, SLOWDOWN_LEARNING_RATE);
            self.reported_at = now;
        }
        match end.outcome {
            Completed => self.signals.record_success(now, engine.mark),
            TimedOut | Cancelled if engine.ejected.is_none() => {}
            Refused | TimedOut | Cancelled => self.signals.record_failure(now, engine.mark),
            _ => {}
        }
        engine.record_outcome(now, end.outcome, slowdown);
    }

    /// Mean threads of a running statement: workloads whose statements run longer count more.
    fn mean_threads(&self) -> f64 {
        let sum = |of: fn(&WorkloadStats) -> f64| self.workload_stats.iter().map(of).sum::<f64>();
        sum(|s| s.accepted * s.elapsed.0 * s.config.threads) / sum(|s| s.accepted * s.elapsed.0).max(1e-9)
    }
}

/// Load that an engine reports, in threads a core: by its statements, or else by its utilisation and the
/// slowdown of the execution. Clamped: a wrong report must not shift the mean that is assumed for other
/// engines.
fn threads_per_core(
    report: &LoadReport,
    cores: f64,
    threads_per_statement: f64,
    slowdown: Option<f64>,
) -> Option<f64> {
    let by_statements = report.active_statements.map(|count| count * threads_per_statement / cores);
    let by_utilisation = report.utilisation.map(|utilisation| {
        let slowdown = slowdown.unwrap_or(1.0).clamp(1.0, MAX_SLOWDOWN);
        utilisation / PRESSURE_UTILISATION * THREADS_PER_CORE * slowdown
    });
    let reported = by_statements.or(by_utilisation)?;
    Some(reported.clamp(0.0, MAX_SLOWDOWN * THREADS_PER_CORE))
}
