//! A small site and a test harness for the scheduler, shared by the tests.
#![allow(dead_code)]

use bramblewharf::interface::*;
use bramblewharf::scheduler::Scheduler;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[rustfmt::skip]
pub fn workload(effect: Effect) -> WorkloadConfig {
    WorkloadConfig {
        threads: 1.0, importance: 1.0, slo_time: ms(400), slo_stretch: 0.0, late_value: 0.0, effect,
        dedup_window: ms(2000), zones: None, kinds: None, ordered: false, holds_group: false,
        waits_for_group: false,
    }
}

#[rustfmt::skip]
pub fn site(workloads: Vec<WorkloadConfig>) -> Site {
    Site {
        gateway: 0, gateways: 1, zone: "a".into(), tick: ms(5), workloads, customers: Vec::new(),
        kinds: vec![Kind { name: "k4".into(), cores: Some(4.0), mem_mb: Some(4096.0) }],
        slow_start: SlowStart { capacity: 0.5, warm_after: ms(10_000), multiple: 2.0, window: ms(1000) },
        retry_budget: None, order_pause: ms(300), drain_grace: ms(250), list_is_polled: false, list_poll_interval: Duration::ZERO,
        max_executions: 4, concurrent_executions: false, can_cancel: true, can_gossip: false,
        max_retry_after: Some(ms(2000)), cross_zone_priced: false, honors_memory_grants: false,
        max_grant_share: 0.5, honors_priorities: false, over_share_value: 1.0,
    }
}

#[rustfmt::skip]
pub fn engine(n: usize) -> EngineEntry {
    EngineEntry {
        id: format!("e{n}").into(), zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        kind: if n % 3 == 2 { "k8" } else { "k4" }.into(), cell: n as u64 / 2, state: EngineState::In,
        nominal: 1.0, started: ProcessStart::LongAgo,
    }
}

/// The scheduler with a simulated clock; each call returns the actions.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Duration,
    next: usize,
}

impl Harness {
    pub fn new(site: Site, engines: usize) -> Harness {
        let now = ms(100_000);
        let (scheduler, _) = Scheduler::start(site, 7, now);
        let mut harness = Harness { scheduler, now, next: 0 };
        harness.event(Event::EngineList(ListKind::Cached, (0..engines).map(engine).collect()));
        harness
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        self.scheduler.handle_event(self.now, event)
    }

    /// Advances the clock, with a tick whenever one is due and one at the end.
    pub fn advance(&mut self, after_ms: u64) -> Vec<Action> {
        let until = self.now + ms(after_ms);
        let mut actions = Vec::new();
        loop {
            self.now = until.min(self.now + ms(50));
            actions.extend(self.event(Event::Timer(0)));
            if self.now >= until {
                return actions;
            }
        }
    }

    /// Pauses the gateway: the clock advances without ticks, followed by one late tick.
    pub fn pause(&mut self, for_ms: u64) -> Vec<Action> {
        self.now += ms(for_ms);
        self.event(Event::Timer(0))
    }

    pub fn statement(&mut self, workload: usize, change: impl Fn(&mut NewStatement)) -> (Id, Vec<Action>) {
        self.next += 1;
        #[rustfmt::skip]
        let mut new = NewStatement {
            id: format!("s{}", self.next).into(), workload, customer: None, key: None,
            time_left: ms(4000), est_work: None, est_mem_mb: None, table_group: None,
            replayable: true,
        };
        change(&mut new);
        (new.id.clone(), self.event(Event::Statement(new)))
    }

    /// Submits a plain statement; returns the engine it was sent to, if any.
    pub fn submit(&mut self, workload: usize) -> (Id, Option<Id>) {
        let (id, actions) = self.statement(workload, |_| {});
        (id, engine_of(&actions))
    }

    pub fn end(&mut self, id: &Id, execution: usize, engine: &Id, outcome: Outcome) -> Vec<Action> {
        self.event(Event::ExecutionEnded(ended(id, execution, engine, outcome)))
    }
}

pub fn ended(id: &Id, execution: usize, engine: &Id, outcome: Outcome) -> ExecutionEnd {
    let (id, engine, is_final) = (id.clone(), engine.clone(), outcome == Outcome::Completed);
    ExecutionEnd { id, execution, engine, outcome, is_final, elapsed: ms(100), consumed: None, report: None }
}

pub fn engine_of(actions: &[Action]) -> Option<Id> {
    actions.iter().find_map(|a| match a {
        Action::Send { engine, .. } => Some(engine.clone()),
        _ => None,
    })
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}
