//! Compares the scheduler with a slow, simple model of the seven rules, on generated input with a fixed seed.

mod common;
use bramblewharf::interface::*;
use bramblewharf::scheduler::Rule;
use common::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use Effect::*;

#[derive(Clone, Debug)]
struct Ops(Vec<(u8, u8, u8)>);

impl Arbitrary for Ops {
    fn arbitrary(g: &mut Gen) -> Ops {
        Ops((0..400).map(|_| (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g))).collect())
    }
}

#[rustfmt::skip]
struct Attempt { engine: usize, at: Duration, times_out_at: Duration, outcome: Option<(Outcome, Duration)> }

#[rustfmt::skip]
struct ModelStatement { id: Id, workload: usize, key: Option<Id>, accepted: Duration, deadline: Duration, done: bool, replayable: bool, attempts: Vec<Attempt> }

#[rustfmt::skip]
struct Model { site: Site, engines: Vec<EngineEntry>, statements: Vec<ModelStatement> }

impl Model {
    /// Rules that forbid sending statement `s` to engine `e` now, without the rule on cold engines.
    fn violated_rules(&self, now: Duration, s: usize, e: usize) -> Vec<Rule> {
        let (statement, to) = (&self.statements[s], &self.engines[e]);
        let config = &self.site.workloads[statement.workload];
        let may_have_run = |x: &&Attempt| {
            !matches!(x.outcome, Some((Outcome::Full | Outcome::Refused | Outcome::Skipped, _)))
        };
        let mut violated = Vec::new();
        if statement.done
            || now + self.site.tick >= statement.deadline
            || statement.attempts.len() >= self.site.max_executions
        {
            violated.push(Rule::OneAnswer);
        }
        let allowed = |x: &Attempt| match config.effect {
            Idempotent => true,
            NonIdempotent => false,
            Deduplicated(scope) => {
                let from = &self.engines[x.engine];
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => from.zone == to.zone,
                    DedupScope::Cell => from.cell == to.cell,
                };
                in_scope && now < x.at + config.dedup_window
            }
        };
        let body_sent = |x: &Attempt| !matches!(x.outcome, Some((Outcome::Refused, _)));
        if !statement.replayable && statement.attempts.iter().any(body_sent) {
            violated.push(Rule::Text);
        }
        let in_flight = statement.attempts.iter().any(|x| x.outcome.is_none());
        if in_flight || !statement.attempts.iter().filter(may_have_run).all(allowed) {
            violated.push(Rule::NoDoubleEffect);
        }
        if to.state != EngineState::In {
            violated.push(Rule::Drain);
        }
        if config.ordered && statement.key.is_some() {
            let ordered =
                |o: &&ModelStatement| o.key == statement.key && self.site.workloads[o.workload].ordered;
            let earlier = self.statements[..s].iter().filter(ordered);
            let blocks = |x: &Attempt| {
                let unclear = |o| matches!(o, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
                x.outcome.is_some_and(|(o, at)| unclear(o) && now < at + self.site.order_pause)
            };
            let open =
                |o: &ModelStatement| !o.done || o.attempts.iter().any(|x| x.outcome.is_none() || blocks(x));
            if earlier.into_iter().any(open) {
                violated.push(Rule::Order);
            }
        }
        if config.kinds.as_ref().is_some_and(|kinds| !kinds.contains(&to.kind)) {
            violated.push(Rule::Placement);
        }
        let budget = self.site.retry_budget.as_ref().unwrap();
        let accepted = self.statements.iter().filter(|o| o.accepted + budget.window > now).count() as f64;
        let all_retries = self.statements.iter().flat_map(|o| o.attempts.iter().skip(1));
        let retries = all_retries.filter(|x| x.at + budget.window >= now).count() as f64;
        if !statement.attempts.is_empty()
            && retries + 1.0 > budget.min_retries + budget.retry_ratio * accepted
        {
            violated.push(Rule::Budget);
        }
        violated
    }

    /// Whether this gateway has sent a cold engine more in the last window than its share of what all
    /// gateways may send.
    fn exceeds_cold_share(&self, now: Duration, e: usize) -> bool {
        let cold = &self.site.slow_start;
        let ProcessStart::Local(started) = self.engines[e].started else { return false };
        let sends = self.statements.iter().flat_map(|o| &o.attempts).filter(|x| x.engine == e);
        let recent = sends.filter(|x| x.at > started && x.at + cold.window >= now).count() as f64;
        let cores = if &*self.engines[e].kind == "k4" { 4.0 } else { 8.0 };
        let limit = cores * 0.85 * cold.capacity * cold.multiple * cold.window.as_secs_f64();
        let is_cold = now < started + cold.warm_after;
        is_cold && recent * 0.1 > limit / f64::from(self.site.gateways)
    }
}

struct Run {
    harness: Harness,
    model: Model,
    next_tick: Duration,
}

impl Run {
    fn new() -> Run {
        let groups = [DedupScope::All, DedupScope::Zone, DedupScope::Cell].map(Deduplicated);
        let effects = [Idempotent, groups[0], groups[1], groups[2], NonIdempotent, Idempotent];
        let mut workloads = effects.map(workload).to_vec();
        workloads[5].kinds = Some(vec!["k8".into()]);
        workloads[0].ordered = true;
        workloads[4].ordered = true;
        workloads[1].holds_group = true;
        let mut config = site(workloads);
        config.gateways = 2;
        config.retry_budget = Some(RetryBudget { window: ms(1000), min_retries: 2.0, retry_ratio: 0.2 });
        let engines: Vec<_> = (0..5).map(engine).collect();
        let harness = Harness::new(config.clone(), 5);
        let next_tick = harness.now + ms(50);
        Run { harness, model: Model { site: config, engines, statements: Vec::new() }, next_tick }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        let now = self.harness.now;
        for action in actions {
            match action {
                Action::Send { id, engine, timeout } => {
                    let s = self.find(&id);
                    let e = self.model.engines.iter().position(|x| x.id == engine).expect("a known engine");
                    let violated = self.model.violated_rules(now, s, e);
                    assert!(violated.is_empty(), "{id} to {engine} breaks {violated:?}");
                    let statement = &mut self.model.statements[s];
                    let times_out_at = (now + timeout).min(statement.deadline);
                    statement.attempts.push(Attempt { engine: e, at: now, times_out_at, outcome: None });
                    assert!(
                        !self.model.exceeds_cold_share(now, e),
                        "{engine} gets more than its share as a cold engine"
                    );
                }
                Action::Reject { id, .. } => {
                    let s = self.find(&id);
                    let statement = &mut self.model.statements[s];
                    let effect = self.model.site.workloads[statement.workload].effect;
                    let may_have_run =
                        |x: &Attempt| !matches!(x.outcome, Some((Outcome::Full | Outcome::Refused, _)));
                    let harmless = matches!(effect, Idempotent | Deduplicated(DedupScope::All));
                    assert!(
                        harmless || !statement.attempts.iter().any(may_have_run),
                        "{id} is rejected but may have run"
                    );
                    assert!(!std::mem::replace(&mut statement.done, true), "{id} is answered twice");
                }
                Action::Abort { id } => {
                    let s = self.find(&id);
                    assert!(
                        !std::mem::replace(&mut self.model.statements[s].done, true),
                        "{id} is answered twice"
                    );
                }
                Action::Timer { delay, .. } => self.next_tick = now + delay,
                _ => {}
            }
        }
        for s in 0..self.model.statements.len() {
            let statement = &self.model.statements[s];
            assert!(
                statement.done || now <= statement.deadline + ms(20),
                "{} has no answer in time",
                statement.id
            );
            for e in (0..self.model.engines.len()).filter(|_| !statement.done) {
                let actual = self.harness.scheduler.forbids(now, &statement.id, &self.model.engines[e].id);
                let allowed = self.model.violated_rules(now, s, e).is_empty();
                let agrees = matches!(actual, None | Some(Rule::Cold)) == allowed;
                assert!(
                    agrees,
                    "{} to engine {e}: scheduler {actual:?}, model allows: {allowed}",
                    statement.id
                );
            }
        }
    }

    fn find(&self, id: &Id) -> usize {
        self.model.statements.iter().position(|s| s.id == *id).expect("a known statement")
    }

    fn end(&mut self, s: usize, x: usize, outcome: Outcome) {
        let now = self.harness.now;
        let statement = &mut self.model.statements[s];
        statement.attempts[x].outcome = Some((outcome, now));
        statement.done |= outcome == Outcome::Completed;
        let (id, is_final, engine) = (statement.id.clone(), statement.done, statement.attempts[x].engine);
        let engine = self.model.engines[engine].id.clone();
        let actions = self
            .harness
            .event(Event::ExecutionEnded(ExecutionEnd { is_final, ..ended(&id, x, &engine, outcome) }));
        self.apply(actions);
    }

    fn in_flight(&self, due: impl Fn(&Attempt) -> bool) -> Vec<(usize, usize)> {
        let statements = self.model.statements.iter().enumerate();
        let all = statements.flat_map(|(s, statement)| {
            statement.attempts.iter().enumerate().map(move |(x, attempt)| (s, x, attempt))
        });
        all.filter(|(_, _, attempt)| attempt.outcome.is_none() && due(attempt))
            .map(|(s, x, _)| (s, x))
            .collect()
    }

    fn advance(&mut self, time: u64) {
        for _ in 0..time / 5 {
            self.harness.now += ms(5);
            let now = self.harness.now;
            for (s, x) in self.in_flight(|attempt| now >= attempt.times_out_at) {
                self.end(s, x, Outcome::TimedOut);
            }
            if now >= self.next_tick {
                let actions = self.harness.advance(0);
                self.apply(actions);
            }
        }
    }

    fn step(&mut self, (op, a, b): (u8, u8, u8)) {
        use Outcome::*;
        match op % 16 {
            0..=4 => {
                let (workload, key) = (a as usize % 6, (b % 4 > 0).then(|| format!("k{}", b % 3).into()));
                let (id, time_left) =
                    (format!("s{}", self.model.statements.len() + 1).into(), ms(200 + 10 * b as u64));
                let accepted = self.harness.now;
                let deadline = accepted + time_left;
                let replayable = a % 3 > 0;
                let statement = ModelStatement {
                    id,
                    workload,
                    key: key.clone(),
                    accepted,
                    deadline,
                    done: false,
                    replayable,
                    attempts: Vec::new(),
                };
                self.model.statements.push(statement);
                let (_, actions) = self.harness.statement(workload, |s| {
                    (s.key, s.time_left, s.table_group) = (key.clone(), time_left, Some(u64::from(b % 2)));
                    s.replayable = replayable;
                });
                self.apply(actions);
            }
            5..=10 => {
                let in_flight = self.in_flight(|_| true);
                if let Some(&(s, x)) = in_flight.get(a as usize % in_flight.len().max(1)) {
                    let outcomes = [Completed, Completed, Completed, Error, Full, Refused, Reset, Cancelled];
                    self.end(s, x, outcomes[b as usize % 8]);
                }
            }
            11 => {
                let open: Vec<_> =
                    (0..self.model.statements.len()).filter(|s| !self.model.statements[*s].done).collect();
                if let Some(&s) = open.get(a as usize % open.len().max(1)) {
                    self.model.statements[s].done = true;
                    let actions =
                        self.harness.event(Event::ClientDisconnected(self.model.statements[s].id.clone()));
                    self.apply(actions);
                }
            }
            13 => {
                let open: Vec<_> =
                    (0..self.model.statements.len()).filter(|s| !self.model.statements[*s].done).collect();
                if let Some(&s) = open.get(a as usize % open.len().max(1)) {
                    self.model.statements[s].replayable = false;
                    let actions = self.harness.event(Event::BodyLost(self.model.statements[s].id.clone()));
                    self.apply(actions);
                }
            }
            12 => {
                let entry = &mut self.model.engines[a as usize % 5];
                entry.state = [EngineState::In, EngineState::In, EngineState::Draining][b as usize % 3];
                if b % 5 == 0 {
                    entry.started = ProcessStart::Local(self.harness.now);
                }
                let entry = entry.clone();
                let actions = self.harness.event(Event::EngineList(ListKind::Delta, vec![entry]));
                self.apply(actions);
            }
            _ => self.advance(u64::from(a)),
        }
    }
}

#[test]
fn the_scheduler_forbids_exactly_what_the_rules_forbid() {
    fn agrees_with_the_model(ops: Ops) -> bool {
        let mut run = Run::new();
        ops.0.into_iter().for_each(|op| run.step(op));
        run.advance(4000);
        run.model.statements.iter().all(|statement| statement.done)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20_261))
        .tests(150)
        .quickcheck(agrees_with_the_model as fn(Ops) -> bool);
}
