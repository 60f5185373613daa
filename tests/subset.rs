//! The walk over a subset: what a gateway of a large fleet looks at, and what it goes on reaching whatever is lost.

mod common;
use bramblewharf::interface::*;
use common::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn fleet(gateway: u32, gateways: u32) -> Site {
    let mut terms = site(vec![workload(Effect::Idempotent), workload(Effect::Idempotent)]);
    (terms.gateway, terms.gateways) = (gateway, gateways);
    terms.kinds = vec![
        Kind { name: "k4".into(), cores: Some(16.0), mem_mb: None },
        Kind { name: "k8".into(), cores: Some(16.0), mem_mb: None },
        Kind { name: "rare".into(), cores: Some(16.0), mem_mb: None },
    ];
    terms
}

fn list(engines: usize) -> Vec<EngineEntry> {
    (0..engines).map(|n| EngineEntry { kind: "k4".into(), ..engine(n) }).collect()
}

fn hand(site: Site, list: Vec<EngineEntry>) -> Hand {
    let mut hand = Hand::new(site, 0);
    hand.event(Event::Engines(ListKind::Remembered, list));
    hand
}

/// Sends so many in a row, each ended well at once, and gives where they went; what is rejected goes nowhere.
fn went(hand: &mut Hand, workload: usize, many: usize, outcome: impl Fn(&Id) -> Outcome) -> Vec<Option<Id>> {
    let mut went = Vec::new();
    for number in 0..many {
        let (id, mut at) = hand.sent(workload);
        let mut last = None;
        for execution in 0..4 {
            let Some(engine) = at.take() else { break };
            let outcome = outcome(&engine);
            let mut end = ended(&id, execution, &engine, outcome);
            end.elapsed = ms(5);
            let next = hand.event(Event::Ended(end));
            last = (outcome == Outcome::Completed).then(|| engine.clone());
            at = engine_of(&next);
        }
        went.push(last);
        if number % 20 == 0 {
            hand.beat(50);
        }
    }
    went
}

fn distinct(went: &[Option<Id>]) -> BTreeSet<Id> {
    went.iter().flatten().cloned().collect()
}

/// Guards against a statement's cost that grows with the fleet: the walk and what is counted for it stay within a subset.
#[test]
fn engines_looked_at_do_not_grow_with_the_fleet() {
    let looked = |gateways: u32, engines: usize| {
        let mut hand = hand(fleet(3, gateways), list(engines));
        went(&mut hand, 0, 50, |_| Outcome::Completed);
        let before = hand.chooser.looked();
        went(&mut hand, 0, 200, |_| Outcome::Completed);
        (hand.chooser.looked() - before) as f64 / 200.0
    };
    for gateways in [300, 1900] {
        let (few, many) = (looked(gateways, 330), looked(gateways, 3300));
        assert!(many < 1.5 * few && many < 200.0, "{gateways} gateways: {few} of 330, {many} of 3,300");
    }
}

/// And at rest nothing of it is walked but the subset.
#[test]
fn a_beat_looks_at_a_subset_at_the_most() {
    let mut hand = hand(fleet(3, 1900), list(3300));
    hand.beat(50);
    let before = hand.chooser.looked();
    hand.beat(1000);
    assert!(hand.chooser.looked() - before <= 20 * 200, "{}", hand.chooser.looked() - before);
    // Where a subset is all, no look is owed to it.
    let mut small = Hand::new(fleet(3, 300), 36);
    small.beat(50);
    let before = small.chooser.looked();
    small.beat(1000);
    assert_eq!(small.chooser.looked(), before);
}

/// Up to so many engines, and whatever the number of gateways, the walk is the plain one over all.
#[test]
fn where_a_subset_is_all_nothing_changes() {
    for gateways in [1, 30, 300, 1900] {
        let mut hand = hand(fleet(17, gateways), list(127));
        let went = went(&mut hand, 0, 127, |_| Outcome::Completed);
        let mut ids: Vec<Id> = list(127).into_iter().map(|e| e.id).collect();
        ids.sort();
        ids.rotate_left(18);
        assert_eq!(went.into_iter().flatten().collect::<Vec<_>>(), ids, "{gateways}");
    }
}

/// Round robin over the subset: each as often as any other.
#[test]
fn the_walk_over_a_subset_is_round_robin() {
    let mut hand = hand(fleet(11, 1900), list(3300));
    let first = distinct(&went(&mut hand, 0, 300, |_| Outcome::Completed));
    assert!((60..200).contains(&first.len()), "{}", first.len());
    let went = went(&mut hand, 0, 3 * first.len(), |_| Outcome::Completed);
    for id in &first {
        assert_eq!(went.iter().flatten().filter(|at| *at == id).count(), 3, "{id}");
    }
}

/// Different gateways have different ones: what one of them loses is not what its neighbours lose.
#[test]
fn neighbours_differ() {
    let of = |gateway| {
        distinct(&went(&mut hand(fleet(gateway, 1900), list(3300)), 0, 300, |_| Outcome::Completed))
    };
    let (one, next, far) = (of(11), of(12), of(11 + 64));
    for other in [&next, &far] {
        assert!(one.intersection(other).count() * 4 < one.len(), "{}", one.intersection(other).count());
    }
}

/// A workload that only a few engines may run reaches them from every gateway, also once all but one of these are lost.
#[test]
fn a_kind_that_few_engines_have_is_never_out_of_reach() {
    for gateway in [0, 5, 700, 1899] {
        let mut site = fleet(gateway, 1900);
        site.workloads[1].kinds = Some(vec!["rare".into()]);
        let mut entries = list(3300);
        entries.iter_mut().step_by(700).for_each(|entry| entry.kind = "rare".into());
        let rare: BTreeSet<Id> = entries.iter().step_by(700).map(|e| e.id.clone()).collect();
        let mut hand = hand(site, entries);
        assert_eq!(distinct(&went(&mut hand, 1, 50, |_| Outcome::Completed)), rare);
        let last = rare.iter().next().unwrap().clone();
        let left =
            went(&mut hand, 1, 400, |id| if *id == last { Outcome::Completed } else { Outcome::Refused });
        let well = left[200..].iter().filter(|at| at.as_ref() == Some(&last)).count();
        assert!(well > 190, "gateway {gateway}: {well} of 200 were served by the last one");
    }
}

/// Of a zone that a workload is bound to, too; and all gateways have some of it.
#[test]
fn a_zone_is_never_out_of_reach() {
    for gateway in (0..1900).step_by(190) {
        let mut site = fleet(gateway, 1900);
        site.workloads[1].zones = Some(vec!["z18".into()]);
        let mut entries = list(3300);
        for (n, entry) in entries.iter_mut().enumerate() {
            entry.zone = format!("z{}", n % 19).into();
        }
        let mut hand = hand(site, entries);
        let went = went(&mut hand, 1, 100, |_| Outcome::Completed);
        assert!(went.iter().all(|at| at.is_some()));
        assert!(distinct(&went).len() >= 8, "gateway {gateway}: {}", distinct(&went).len());
    }
}

/// Half of all engines refuse, or are silent to the list's end: the gateway reaches beyond its own at once, serves from what is left, and
/// comes back to its own.
#[test]
fn a_lost_half_is_made_up_for_and_given_back() {
    let mut hand = hand(fleet(42, 1900), list(3300));
    let own = distinct(&went(&mut hand, 0, 400, |_| Outcome::Completed));
    // Those of its own that are lost are more than half, as chance has it for some gateway.
    let lost: BTreeSet<Id> = own.iter().take(own.len() * 7 / 10).cloned().collect();
    let bad = |id: &Id| if lost.contains(id) { Outcome::Refused } else { Outcome::Completed };
    went(&mut hand, 0, 400, bad);
    let after = went(&mut hand, 0, 400, bad);
    assert!(after.iter().filter(|at| at.is_some()).count() > 395);
    let reached = distinct(&after);
    assert!(reached.len() > own.len() / 2 && !reached.is_subset(&own), "{} of {}", reached.len(), own.len());
    // All are well again: pauses of up to 4 s end, and what it had borrowed is let go.
    for _ in 0..12 {
        went(&mut hand, 0, 200, |_| Outcome::Completed);
        hand.beat(2000);
    }
    let back = distinct(&went(&mut hand, 0, 400, |_| Outcome::Completed));
    assert_eq!(back, own);
}

/// A list that loses engines and gains others moves what is theirs alone.
#[test]
fn a_changed_list_moves_little() {
    let mut entries = list(3300);
    let mut hand = hand(fleet(42, 1900), entries.clone());
    let own = distinct(&went(&mut hand, 0, 400, |_| Outcome::Completed));
    let gone: BTreeSet<Id> = entries.drain(..33).map(|e| e.id).collect();
    hand.event(Event::Engines(ListKind::All, entries));
    let after = distinct(&went(&mut hand, 0, 400, |_| Outcome::Completed));
    assert!(after.is_disjoint(&gone));
    assert_eq!(after, own.difference(&gone).cloned().collect());
}

/// Words of an ill engine reach those who share it, and nobody else; a zone's loss is told by those alone too.
#[test]
fn words_of_an_ill_engine_go_to_its_sharers() {
    let mut site = fleet(42, 1900);
    site.may_tell = true;
    let mut hand = hand(site, list(3300));
    let (id, engine) = hand.sent(0);
    let actions = hand.end(&id, 0, engine.as_ref().unwrap(), Outcome::Refused);
    let told: Vec<u32> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Tell { to, .. } => *to,
            _ => None,
        })
        .collect();
    assert_eq!(told.len(), 8);
    for to in told {
        let mut other = self::hand(fleet(to, 1900), list(3300));
        let has = distinct(&went(&mut other, 0, 400, |_| Outcome::Completed));
        assert!(has.contains(engine.as_ref().unwrap()), "{to} was told of an engine that it doesn't go to");
    }
}

/// A cold engine beyond a gateway's own gets nothing from it, however far it reaches: what it stands is its sharers' alone.
#[test]
fn a_cold_engine_beyond_ones_own_gets_nothing() {
    let mut site = fleet(42, 1900);
    site.cold.warm_after = Duration::from_secs(600);
    let mut hand = hand(site.clone(), list(3300));
    let own = distinct(&went(&mut hand, 0, 400, |_| Outcome::Completed));
    let now = hand.now;
    let cold = |n: usize| {
        let entry = EngineEntry { kind: "k4".into(), ..engine(n) };
        if own.contains(&entry.id) {
            entry
        } else {
            EngineEntry { started: now, ..entry }
        }
    };
    let mut hand = self::hand(site, (0..3300).map(cold).collect());
    hand.now = now + Duration::from_secs(20);
    let went = went(&mut hand, 0, 2000, |_| Outcome::Refused);
    assert!(went.iter().all(|at| at.is_none()));
    let (_, at) = hand.sent(0);
    assert!(at.is_none_or(|at| own.contains(&at)));
}

/// A site that tells of no gateways, or of fewer than this one's number, is a fleet of odd members, not a fault.
#[test]
fn numbers_that_make_no_sense_decide_all_the_same() {
    for (gateway, gateways) in [(0, 0), (7, 0), (5000, 1900), (u32::MAX, 1900), (0, u32::MAX)] {
        for engines in [1, 36, 3300] {
            let mut site = fleet(gateway, gateways);
            site.may_tell = true;
            let entry = |n: usize| EngineEntry { started: ms(99_000), kind: "k4".into(), ..engine(n) };
            let mut cold = hand(site.clone(), (0..engines).map(entry).collect());
            went(&mut cold, 0, 50, |_| Outcome::Refused);
            let mut warm = hand(site, list(engines));
            went(&mut warm, 0, 50, |_| Outcome::TimedOut);
            warm.beat(5000);
        }
    }
}
