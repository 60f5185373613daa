//! A small site and a hand on the module, shared by the tests.
#![allow(dead_code)]

use bramblewharf::interface::*;
use bramblewharf::scheduler::Chooser;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[rustfmt::skip]
pub fn workload(effect: Effect) -> WorkloadTerms {
    WorkloadTerms {
        threads: 1.0, importance: 1.0, slo_time: ms(400), slo_stretch: 0.0, late_value: 0.0, effect,
        dedup_span: ms(2000), zones: None, kinds: None, ordered: false, holds_group: false,
        waits_for_group: false,
    }
}

#[rustfmt::skip]
pub fn site(workloads: Vec<WorkloadTerms>) -> Site {
    Site {
        gateway: 0, gateways: 1, zone: "a".into(), tick: ms(5), workloads, customers: Vec::new(),
        kinds: vec![Kind { name: "k4".into(), cores: Some(4.0), mem_mb: Some(4096.0) }],
        cold: ColdStart { capacity: 0.5, warm_after: ms(10_000), multiple: 2.0, window: ms(1000) },
        budget: None, order_pause: ms(300), drain_grace: ms(250), list_is_asked: false, list_ask_every: Duration::ZERO,
        execution_limit: 4, second_copies: false, may_cancel: true, may_tell: false,
        max_retry_after: Some(ms(2000)), crossing_priced: false, grants_heeded: false,
        max_grant_share: 0.5, priorities_heeded: false, over_share_value: 1.0,
    }
}

#[rustfmt::skip]
pub fn engine(n: usize) -> EngineEntry {
    EngineEntry {
        id: format!("e{n}").into(), zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        kind: if n % 3 == 2 { "k8" } else { "k4" }.into(), cell: n as u64 / 2, state: EngineState::In,
        nominal: 1.0, started: Duration::ZERO,
    }
}

/// The module with a clock; each call returns the actions.
pub struct Hand {
    pub chooser: Chooser,
    pub now: Duration,
    next: usize,
}

impl Hand {
    pub fn new(site: Site, engines: usize) -> Hand {
        let now = ms(100_000);
        let (chooser, _) = Chooser::start(site, 7, now);
        let mut hand = Hand { chooser, now, next: 0 };
        hand.event(Event::Engines(ListKind::Remembered, (0..engines).map(engine).collect()));
        hand
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        self.chooser.event(self.now, event)
    }

    /// Lets so much time pass, with a beat whenever one is due and one at the end.
    pub fn beat(&mut self, after: u64) -> Vec<Action> {
        let until = self.now + ms(after);
        let mut actions = Vec::new();
        loop {
            self.now = until.min(self.now + ms(50));
            actions.extend(self.event(Event::Timer(0)));
            if self.now >= until {
                return actions;
            }
        }
    }

    /// The gateway stands still for so long, and then beats.
    pub fn stall(&mut self, for_ms: u64) -> Vec<Action> {
        self.now += ms(for_ms);
        self.event(Event::Timer(0))
    }

    pub fn statement(&mut self, workload: usize, change: impl Fn(&mut NewStatement)) -> (Id, Vec<Action>) {
        self.next += 1;
        #[rustfmt::skip]
        let mut new = NewStatement {
            id: format!("s{}", self.next).into(), workload, customer: None, key: None,
            time_left: ms(4000), est_work: None, est_mem_mb: None, table_group: None,
            kept: true,
        };
        change(&mut new);
        (new.id.clone(), self.event(Event::Statement(new)))
    }

    /// A plain statement, and the engine it was sent to.
    pub fn sent(&mut self, workload: usize) -> (Id, Option<Id>) {
        let (id, actions) = self.statement(workload, |_| {});
        (id, engine_of(&actions))
    }

    pub fn end(&mut self, id: &Id, execution: usize, engine: &Id, outcome: Outcome) -> Vec<Action> {
        self.event(Event::Ended(ended(id, execution, engine, outcome)))
    }
}

pub fn ended(id: &Id, execution: usize, engine: &Id, outcome: Outcome) -> Ended {
    let (id, engine, over) = (id.clone(), engine.clone(), outcome == Outcome::Completed);
    Ended { id, execution, engine, outcome, over, elapsed: ms(100), took: None, report: None }
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
