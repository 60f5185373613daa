//! Selection within a subset: which engines a gateway of a large fleet examines, and which it can still use
//! whatever is lost.

mod common;
use bramblewharf::interface::*;
use common::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn fleet(gateway: u32, gateways: u32) -> Site {
    let mut config = site(vec![workload(Effect::Idempotent), workload(Effect::Idempotent)]);
    (config.gateway, config.gateways) = (gateway, gateways);
    config.kinds = vec![
        Kind { name: "k4".into(), cores: Some(16.0), mem_mb: None },
        Kind { name: "k8".into(), cores: Some(16.0), mem_mb: None },
        Kind { name: "rare".into(), cores: Some(16.0), mem_mb: None },
    ];
    config
}

fn list(engines: usize) -> Vec<EngineEntry> {
    (0..engines).map(|n| EngineEntry { kind: "k4".into(), ..engine(n) }).collect()
}

fn harness(site: Site, list: Vec<EngineEntry>) -> Harness {
    let mut harness = Harness::new(site, 0);
    harness.event(Event::EngineList(ListKind::Cached, list));
    harness
}

/// Submits statements one after the other, each execution ending at once with `outcome`; returns the engine
/// that completed each.
fn completed_by(
    harness: &mut Harness,
    workload: usize,
    many: usize,
    outcome: impl Fn(&Id) -> Outcome,
) -> Vec<Option<Id>> {
    let mut completed_by = Vec::new();
    for number in 0..many {
        let (id, mut at) = harness.submit(workload);
        let mut last = None;
        for execution in 0..4 {
            let Some(engine) = at.take() else { break };
            let outcome = outcome(&engine);
            let mut end = ended(&id, execution, &engine, outcome);
            end.elapsed = ms(5);
            let next = harness.event(Event::ExecutionEnded(end));
            last = (outcome == Outcome::Completed).then(|| engine.clone());
            at = engine_of(&next);
        }
        completed_by.push(last);
        if number % 20 == 0 {
            harness.advance(50);
        }
    }
    completed_by
}

fn distinct(completed_by: &[Option<Id>]) -> BTreeSet<Id> {
    completed_by.iter().flatten().cloned().collect()
}

/// Guards against a cost of selection that grows with the fleet: the engines examined stay within a subset.
#[test]
fn engines_examined_do_not_grow_with_the_fleet() {
    let examined = |gateways: u32, engines: usize| {
        let mut harness = harness(fleet(3, gateways), list(engines));
        completed_by(&mut harness, 0, 50, |_| Outcome::Completed);
        let before = harness.scheduler.engines_examined();
        completed_by(&mut harness, 0, 200, |_| Outcome::Completed);
        (harness.scheduler.engines_examined() - before) as f64 / 200.0
    };
    for gateways in [300, 1900] {
        let (few, many) = (examined(gateways, 330), examined(gateways, 3300));
        assert!(many < 1.5 * few && many < 200.0, "{gateways} gateways: {few} of 330, {many} of 3,300");
    }
}

/// Nor does the periodic work of an idle gateway grow with the fleet.
#[test]
fn a_tick_examines_at_most_a_subset() {
    let mut harness = harness(fleet(3, 1900), list(3300));
    harness.advance(50);
    let before = harness.scheduler.engines_examined();
    harness.advance(1000);
    assert!(
        harness.scheduler.engines_examined() - before <= 20 * 200,
        "{}",
        harness.scheduler.engines_examined() - before
    );
    // Where the subset is the whole list, a tick examines nothing.
    let mut small = Harness::new(fleet(3, 300), 36);
    small.advance(50);
    let before = small.scheduler.engines_examined();
    small.advance(1000);
    assert_eq!(small.scheduler.engines_examined(), before);
}

/// A short list is not divided, whatever the number of gateways: selection is round robin over all engines.
#[test]
fn a_short_list_is_used_by_all_gateways() {
    for gateways in [1, 30, 300, 1900] {
        let mut harness = harness(fleet(17, gateways), list(127));
        let completed_by = completed_by(&mut harness, 0, 127, |_| Outcome::Completed);
        let mut ids: Vec<Id> = list(127).into_iter().map(|e| e.id).collect();
        ids.sort();
        ids.rotate_left(18);
        assert_eq!(completed_by.into_iter().flatten().collect::<Vec<_>>(), ids, "{gateways}");
    }
}

/// Each engine of the subset gets the same number of statements.
#[test]
fn selection_within_a_subset_is_round_robin() {
    let mut harness = harness(fleet(11, 1900), list(3300));
    let first = distinct(&completed_by(&mut harness, 0, 300, |_| Outcome::Completed));
    assert!((60..200).contains(&first.len()), "{}", first.len());
    let completed_by = completed_by(&mut harness, 0, 3 * first.len(), |_| Outcome::Completed);
    for id in &first {
        assert_eq!(completed_by.iter().flatten().filter(|at| *at == id).count(), 3, "{id}");
    }
}

/// Different gateways have different subsets, so that a loss of engines does not hit neighbouring gateways
/// alike.
#[test]
fn subsets_of_neighbouring_gateways_differ() {
    let of = |gateway| {
        distinct(&completed_by(&mut harness(fleet(gateway, 1900), list(3300)), 0, 300, |_| {
            Outcome::Completed
        }))
    };
    let (one, next, far) = (of(11), of(12), of(11 + 64));
    for other in [&next, &far] {
        assert!(one.intersection(other).count() * 4 < one.len(), "{}", one.intersection(other).count());
    }
}

/// A workload that only a few engines may run can use them from every gateway, also once all but one of them
/// are lost.
#[test]
fn a_rare_kind_of_engine_is_in_every_subset() {
    for gateway in [0, 5, 700, 1899] {
        let mut site = fleet(gateway, 1900);
        site.workloads[1].kinds = Some(vec!["rare".into()]);
        let mut entries = list(3300);
        entries.iter_mut().step_by(700).for_each(|entry| entry.kind = "rare".into());
        let rare: BTreeSet<Id> = entries.iter().step_by(700).map(|e| e.id.clone()).collect();
        let mut harness = harness(site, entries);
        assert_eq!(distinct(&completed_by(&mut harness, 1, 50, |_| Outcome::Completed)), rare);
        let last = rare.iter().next().unwrap().clone();
        let after_loss = completed_by(&mut harness, 1, 400, |id| {
            if *id == last {
                Outcome::Completed
            } else {
                Outcome::Refused
            }
        });
        let by_last = after_loss[200..].iter().filter(|at| at.as_ref() == Some(&last)).count();
        assert!(by_last > 190, "gateway {gateway}: {by_last} of 200 were completed by the last one");
    }
}

/// Likewise for a workload that is bound to one zone: each subset has several engines of it.
#[test]
fn a_zone_is_in_every_subset() {
    for gateway in (0..1900).step_by(190) {
        let mut site = fleet(gateway, 1900);
        site.workloads[1].zones = Some(vec!["z18".into()]);
        let mut entries = list(3300);
        for (n, entry) in entries.iter_mut().enumerate() {
            entry.zone = format!("z{}", n % 19).into();
        }
        let mut harness = harness(site, entries);
        let completed_by = completed_by(&mut harness, 1, 100, |_| Outcome::Completed);
        assert!(completed_by.iter().all(|at| at.is_some()));
        assert!(distinct(&completed_by).len() >= 8, "gateway {gateway}: {}", distinct(&completed_by).len());
    }
}

/// Most engines of a subset refuse: the gateway expands its subset at once, uses other engines, and returns
/// to the original subset after they recover.
#[test]
fn a_subset_expands_after_a_loss_and_shrinks_after_recovery() {
    let mut harness = harness(fleet(42, 1900), list(3300));
    let own = distinct(&completed_by(&mut harness, 0, 400, |_| Outcome::Completed));
    // More than half of this subset is lost, as can happen by chance where half of all engines are.
    let lost: BTreeSet<Id> = own.iter().take(own.len() * 7 / 10).cloned().collect();
    let bad = |id: &Id| if lost.contains(id) { Outcome::Refused } else { Outcome::Completed };
    completed_by(&mut harness, 0, 400, bad);
    let after = completed_by(&mut harness, 0, 400, bad);
    assert!(after.iter().filter(|at| at.is_some()).count() > 395);
    let used = distinct(&after);
    assert!(used.len() > own.len() / 2 && !used.is_subset(&own), "{} of {}", used.len(), own.len());
    // All engines are healthy again: ejection pauses of up to 4 s end, and the subset shrinks.
    for _ in 0..12 {
        completed_by(&mut harness, 0, 200, |_| Outcome::Completed);
        harness.advance(2000);
    }
    let back = distinct(&completed_by(&mut harness, 0, 400, |_| Outcome::Completed));
    assert_eq!(back, own);
}

/// A change to the list changes the subset by the engines concerned only.
#[test]
fn a_changed_list_keeps_the_rest_of_the_subset() {
    let mut entries = list(3300);
    let mut harness = harness(fleet(42, 1900), entries.clone());
    let own = distinct(&completed_by(&mut harness, 0, 400, |_| Outcome::Completed));
    let gone: BTreeSet<Id> = entries.drain(..33).map(|e| e.id).collect();
    harness.event(Event::EngineList(ListKind::Snapshot, entries));
    let after = distinct(&completed_by(&mut harness, 0, 400, |_| Outcome::Completed));
    assert!(after.is_disjoint(&gone));
    assert_eq!(after, own.difference(&gone).cloned().collect());
}

/// A message about an unhealthy engine is sent only to gateways that have the engine in their subset.
#[test]
fn messages_about_an_engine_go_to_gateways_that_share_it() {
    let mut site = fleet(42, 1900);
    site.can_gossip = true;
    let mut harness = harness(site, list(3300));
    let (id, engine) = harness.submit(0);
    let actions = harness.end(&id, 0, engine.as_ref().unwrap(), Outcome::Refused);
    let recipients: Vec<u32> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Gossip { to, .. } => *to,
            _ => None,
        })
        .collect();
    assert_eq!(recipients.len(), 8);
    for to in recipients {
        let mut other = self::harness(fleet(to, 1900), list(3300));
        let has = distinct(&completed_by(&mut other, 0, 400, |_| Outcome::Completed));
        assert!(has.contains(engine.as_ref().unwrap()), "{to} was notified of an engine that it doesn't use");
    }
}

/// A cold engine outside of a gateway's own subset gets nothing from it, however far the subset expands: its
/// limit is divided among the gateways that share it.
#[test]
fn a_cold_engine_outside_of_the_own_subset_gets_nothing() {
    let mut site = fleet(42, 1900);
    site.slow_start.warm_after = Duration::from_secs(600);
    let mut harness = harness(site.clone(), list(3300));
    let own = distinct(&completed_by(&mut harness, 0, 400, |_| Outcome::Completed));
    let now = harness.now;
    let cold = |n: usize| {
        let entry = EngineEntry { kind: "k4".into(), ..engine(n) };
        if own.contains(&entry.id) {
            entry
        } else {
            EngineEntry { started: ProcessStart::Local(now), ..entry }
        }
    };
    let mut harness = self::harness(site, (0..3300).map(cold).collect());
    harness.now = now + Duration::from_secs(20);
    let completed_by = completed_by(&mut harness, 0, 2000, |_| Outcome::Refused);
    assert!(completed_by.iter().all(|at| at.is_none()));
    let (_, at) = harness.submit(0);
    assert!(at.is_none_or(|at| own.contains(&at)));
}

/// A configuration with no gateways, or with fewer than this gateway's index, must not make the scheduler
/// panic.
#[test]
fn inconsistent_gateway_numbers_do_not_panic() {
    for (gateway, gateways) in [(0, 0), (7, 0), (5000, 1900), (u32::MAX, 1900), (0, u32::MAX)] {
        for engines in [1, 36, 3300] {
            let mut site = fleet(gateway, gateways);
            site.can_gossip = true;
            let entry = |n: usize| EngineEntry {
                started: ProcessStart::Local(ms(99_000)),
                kind: "k4".into(),
                ..engine(n)
            };
            let mut cold = harness(site.clone(), (0..engines).map(entry).collect());
            completed_by(&mut cold, 0, 50, |_| Outcome::Refused);
            let mut warm = harness(site, list(engines));
            completed_by(&mut warm, 0, 50, |_| Outcome::TimedOut);
            warm.advance(5000);
        }
    }
}
