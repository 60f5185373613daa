//! A slow, plain model of the seven rules beside the module, on generated input with a fixed seed.

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
struct Sent { engine: usize, at: Duration, ends: Duration, outcome: Option<(Outcome, Duration)> }

#[rustfmt::skip]
struct Stmt { id: Id, workload: usize, key: Option<Id>, taken: Duration, until: Duration, over: bool, kept: bool, sent: Vec<Sent> }

#[rustfmt::skip]
struct Model { site: Site, engines: Vec<EngineEntry>, stmts: Vec<Stmt> }

impl Model {
    /// What the rules say of sending statement `s` to engine `e` now; cold engines are judged by `cold`.
    fn breaks(&self, now: Duration, s: usize, e: usize) -> Vec<Rule> {
        let (stmt, to) = (&self.stmts[s], &self.engines[e]);
        let terms = &self.site.workloads[stmt.workload];
        let ran =
            |x: &&Sent| !matches!(x.outcome, Some((Outcome::Full | Outcome::Refused | Outcome::Skipped, _)));
        let mut broken = Vec::new();
        if stmt.over || now + self.site.tick >= stmt.until || stmt.sent.len() >= self.site.execution_limit {
            broken.push(Rule::OneAnswer);
        }
        let allowed = |x: &Sent| match terms.effect {
            Idempotent => true,
            NonIdempotent => false,
            Deduplicated(group) => {
                let from = &self.engines[x.engine];
                let near = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => from.zone == to.zone,
                    DedupGroup::Cell => from.cell == to.cell,
                };
                near && now < x.at + terms.dedup_span
            }
        };
        let touched = |x: &Sent| !matches!(x.outcome, Some((Outcome::Refused, _)));
        if !stmt.kept && stmt.sent.iter().any(touched) {
            broken.push(Rule::Text);
        }
        let out = stmt.sent.iter().any(|x| x.outcome.is_none());
        if out || !stmt.sent.iter().filter(ran).all(allowed) {
            broken.push(Rule::NoDoubleEffect);
        }
        if to.state != EngineState::In {
            broken.push(Rule::Drain);
        }
        if terms.ordered && stmt.key.is_some() {
            let ordered = |o: &&Stmt| o.key == stmt.key && self.site.workloads[o.workload].ordered;
            let earlier = self.stmts[..s].iter().filter(ordered);
            let rests = |x: &Sent| {
                let unclear = |o| matches!(o, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
                x.outcome.is_some_and(|(o, at)| unclear(o) && now < at + self.site.order_pause)
            };
            let open = |o: &Stmt| !o.over || o.sent.iter().any(|x| x.outcome.is_none() || rests(x));
            if earlier.into_iter().any(open) {
                broken.push(Rule::Order);
            }
        }
        if terms.kinds.as_ref().is_some_and(|kinds| !kinds.contains(&to.kind)) {
            broken.push(Rule::Placement);
        }
        let budget = self.site.budget.as_ref().unwrap();
        let taken = self.stmts.iter().filter(|o| o.taken + budget.span > now).count() as f64;
        let further = self.stmts.iter().flat_map(|o| o.sent.iter().skip(1));
        let made = further.filter(|x| x.at + budget.span >= now).count() as f64;
        if !stmt.sent.is_empty() && made + 1.0 > budget.free + budget.share * taken {
            broken.push(Rule::Budget);
        }
        broken
    }

    /// Work sent to a cold engine in the window before now, against what all gateways may send together.
    fn cold_is_pushed(&self, now: Duration, e: usize) -> bool {
        let (cold, started) = (&self.site.cold, self.engines[e].started);
        let sends = self.stmts.iter().flat_map(|o| &o.sent).filter(|x| x.engine == e);
        let lately = sends.filter(|x| x.at > started && x.at + cold.window >= now).count() as f64;
        let cores = if &*self.engines[e].kind == "k4" { 4.0 } else { 8.0 };
        let stands = cores * 0.85 * cold.capacity * cold.multiple * cold.window.as_secs_f64();
        let is_cold = !started.is_zero() && now < started + cold.warm_after;
        is_cold && lately * 0.1 > stands / f64::from(self.site.gateways)
    }
}

struct Run {
    hand: Hand,
    model: Model,
    next_beat: Duration,
}

impl Run {
    fn new() -> Run {
        let groups = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell].map(Deduplicated);
        let effects = [Idempotent, groups[0], groups[1], groups[2], NonIdempotent, Idempotent];
        let mut workloads = effects.map(workload).to_vec();
        workloads[5].kinds = Some(vec!["k8".into()]);
        workloads[0].ordered = true;
        workloads[4].ordered = true;
        workloads[1].holds_group = true;
        let mut terms = site(workloads);
        terms.gateways = 2;
        terms.budget = Some(Budget { span: ms(1000), free: 2.0, share: 0.2 });
        let engines: Vec<_> = (0..5).map(engine).collect();
        let hand = Hand::new(terms.clone(), 5);
        let next_beat = hand.now + ms(50);
        Run { hand, model: Model { site: terms, engines, stmts: Vec::new() }, next_beat }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        let now = self.hand.now;
        for action in actions {
            match action {
                Action::Send { id, engine, timeout } => {
                    let s = self.find(&id);
                    let e = self.model.engines.iter().position(|x| x.id == engine).expect("a known engine");
                    let broken = self.model.breaks(now, s, e);
                    assert!(broken.is_empty(), "{id} to {engine} breaks {broken:?}");
                    let stmt = &mut self.model.stmts[s];
                    let ends = (now + timeout).min(stmt.until);
                    stmt.sent.push(Sent { engine: e, at: now, ends, outcome: None });
                    assert!(!self.model.cold_is_pushed(now, e), "{engine} is pushed over");
                }
                Action::Reject { id, .. } => {
                    let s = self.find(&id);
                    let stmt = &mut self.model.stmts[s];
                    let effect = self.model.site.workloads[stmt.workload].effect;
                    let ran = |x: &Sent| !matches!(x.outcome, Some((Outcome::Full | Outcome::Refused, _)));
                    let harmless = matches!(effect, Idempotent | Deduplicated(DedupGroup::All));
                    assert!(harmless || !stmt.sent.iter().any(ran), "{id} is rejected but may have run");
                    assert!(!std::mem::replace(&mut stmt.over, true), "{id} is answered twice");
                }
                Action::Abort { id } => {
                    let s = self.find(&id);
                    assert!(
                        !std::mem::replace(&mut self.model.stmts[s].over, true),
                        "{id} is answered twice"
                    );
                }
                Action::Timer { delay, .. } => self.next_beat = now + delay,
                _ => {}
            }
        }
        for s in 0..self.model.stmts.len() {
            let stmt = &self.model.stmts[s];
            assert!(stmt.over || now <= stmt.until + ms(20), "{} has no answer in time", stmt.id);
            for e in (0..self.model.engines.len()).filter(|_| !stmt.over) {
                let module = self.hand.chooser.forbids(now, &stmt.id, &self.model.engines[e].id);
                let allowed = self.model.breaks(now, s, e).is_empty();
                let agrees = matches!(module, None | Some(Rule::Cold)) == allowed;
                assert!(agrees, "{} to engine {e}: module {module:?}, model allows: {allowed}", stmt.id);
            }
        }
    }

    fn find(&self, id: &Id) -> usize {
        self.model.stmts.iter().position(|s| s.id == *id).expect("a known statement")
    }

    fn end(&mut self, s: usize, x: usize, outcome: Outcome) {
        let now = self.hand.now;
        let stmt = &mut self.model.stmts[s];
        stmt.sent[x].outcome = Some((outcome, now));
        stmt.over |= outcome == Outcome::Completed;
        let (id, over, engine) = (stmt.id.clone(), stmt.over, stmt.sent[x].engine);
        let engine = self.model.engines[engine].id.clone();
        let actions = self.hand.event(Event::Ended(Ended { over, ..ended(&id, x, &engine, outcome) }));
        self.apply(actions);
    }

    fn out(&self, due: impl Fn(&Sent) -> bool) -> Vec<(usize, usize)> {
        let stmts = self.model.stmts.iter().enumerate();
        let all = stmts.flat_map(|(s, stmt)| stmt.sent.iter().enumerate().map(move |(x, sent)| (s, x, sent)));
        all.filter(|(_, _, sent)| sent.outcome.is_none() && due(sent)).map(|(s, x, _)| (s, x)).collect()
    }

    fn pass(&mut self, time: u64) {
        for _ in 0..time / 5 {
            self.hand.now += ms(5);
            let now = self.hand.now;
            for (s, x) in self.out(|sent| now >= sent.ends) {
                self.end(s, x, Outcome::TimedOut);
            }
            if now >= self.next_beat {
                let actions = self.hand.beat(0);
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
                    (format!("s{}", self.model.stmts.len() + 1).into(), ms(200 + 10 * b as u64));
                let taken = self.hand.now;
                let until = taken + time_left;
                let kept = a % 3 > 0;
                let stmt = Stmt {
                    id,
                    workload,
                    key: key.clone(),
                    taken,
                    until,
                    over: false,
                    kept,
                    sent: Vec::new(),
                };
                self.model.stmts.push(stmt);
                let (_, actions) = self.hand.statement(workload, |s| {
                    (s.key, s.time_left, s.table_group) = (key.clone(), time_left, Some(u64::from(b % 2)));
                    s.kept = kept;
                });
                self.apply(actions);
            }
            5..=10 => {
                let out = self.out(|_| true);
                if let Some(&(s, x)) = out.get(a as usize % out.len().max(1)) {
                    let outcomes = [Completed, Completed, Completed, Error, Full, Refused, Reset, Cancelled];
                    self.end(s, x, outcomes[b as usize % 8]);
                }
            }
            11 => {
                let open: Vec<_> =
                    (0..self.model.stmts.len()).filter(|s| !self.model.stmts[*s].over).collect();
                if let Some(&s) = open.get(a as usize % open.len().max(1)) {
                    self.model.stmts[s].over = true;
                    let actions = self.hand.event(Event::ClientGone(self.model.stmts[s].id.clone()));
                    self.apply(actions);
                }
            }
            13 => {
                let open: Vec<_> =
                    (0..self.model.stmts.len()).filter(|s| !self.model.stmts[*s].over).collect();
                if let Some(&s) = open.get(a as usize % open.len().max(1)) {
                    self.model.stmts[s].kept = false;
                    let actions = self.hand.event(Event::Unkept(self.model.stmts[s].id.clone()));
                    self.apply(actions);
                }
            }
            12 => {
                let entry = &mut self.model.engines[a as usize % 5];
                entry.state = [EngineState::In, EngineState::In, EngineState::Draining][b as usize % 3];
                if b % 5 == 0 {
                    entry.started = self.hand.now;
                }
                let entry = entry.clone();
                let actions = self.hand.event(Event::Engines(ListKind::Changes, vec![entry]));
                self.apply(actions);
            }
            _ => self.pass(u64::from(a)),
        }
    }
}

#[test]
fn the_module_keeps_the_rules_and_allows_what_they_allow() {
    fn keeps(ops: Ops) -> bool {
        let mut run = Run::new();
        ops.0.into_iter().for_each(|op| run.step(op));
        run.pass(4000);
        run.model.stmts.iter().all(|stmt| stmt.over)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20_261))
        .tests(150)
        .quickcheck(keeps as fn(Ops) -> bool);
}
