use super::*;
use crate::{Measure, Scope};

const MS: Duration = Duration::from_millis(1);

fn budget(measure: Measure, whole: u64) -> Budget {
    let scope = Scope { customer: Some(1), ..Scope::default() };
    let burst = Duration::from_secs(1);
    Budget { name: "b".into(), scope, measure, whole, floor_percent: 20, quantum: UNIT, burst }
}

fn demand(customer: usize) -> Demand<'static> {
    Demand {
        workload: 0,
        customer: Some(customer),
        kind: "std",
        weight: 2.0,
        mem_mb: 0.0,
        previous_executions: 0,
    }
}

fn usage(measure: Measure) -> Usage {
    Usage::new(vec![budget(measure, 100 * UNIT)], 10, 100 * MS, Duration::ZERO)
}

/// Ticks often enough that the active clock counts all the time.
fn tick_through(usage: &mut Usage, from: u32, to: u32) {
    (from..=to).step_by(50).chain([to]).for_each(|at| usage.tick(at * MS));
}

#[test]
fn a_grant_expires_and_the_floor_remains() {
    let mut usage = usage(Measure::StatementsAtOnce);
    usage.set_grants(10 * MS, &[UNIT], 1000 * MS);
    let headroom = usage.headroom(10 * MS);
    assert!(headroom.permits(20 * MS, &demand(1)) && headroom.permits(20 * MS, &demand(7)));
    // The same headroom checked after the expiry: a gateway that was paused sends nothing under an expired grant.
    assert!(
        !headroom.permits(1000 * MS, &demand(1)),
        "the floor was not usable yet when this headroom was computed"
    );
    tick_through(&mut usage, 10, 1000);
    let mut headroom = usage.headroom(1000 * MS);
    for _ in 0..2 {
        assert!(headroom.permits(1000 * MS, &demand(1)));
        let charges = headroom.charge(&demand(1));
        usage.record_charges(1000 * MS, &charges);
    }
    assert!(!headroom.permits(1000 * MS, &demand(1)));
    assert!(!usage.headroom(1000 * MS).permits(1000 * MS, &demand(1)));
}

#[test]
fn an_orphan_counts_until_it_can_no_longer_run() {
    let mut usage = usage(Measure::WeightAtOnce);
    tick_through(&mut usage, 0, 200);
    let charges = usage.headroom(200 * MS).charge(&demand(1));
    assert_eq!(charges, [(0, 2 * UNIT)]);
    usage.record_charges(200 * MS, &charges);
    usage.end(300 * MS, charges, Some(2000 * MS));
    assert_eq!(usage.due(300 * MS), Some(2300 * MS));
    tick_through(&mut usage, 300, 2299);
    assert!(!usage.headroom(2299 * MS).permits(2299 * MS, &demand(1)));
    assert!(usage.headroom(2300 * MS).permits(2300 * MS, &demand(1)));
}

#[test]
fn settling_an_orphan_only_shortens_its_time() {
    let mut usage = usage(Measure::WeightAtOnce);
    tick_through(&mut usage, 0, 200);
    let mut headroom = usage.headroom(200 * MS);
    let ids: Vec<OrphanId> = (0..3)
        .map(|_| {
            let charges = headroom.charge(&demand(1));
            usage.record_charges(200 * MS, &charges);
            usage.end(300 * MS, charges, Some(2000 * MS)).unwrap()
        })
        .collect();
    let in_use = |usage: &mut Usage, at: u32| usage.status(at * MS)[0].in_use / UNIT;
    usage.settle(310 * MS, ids[0], None);
    assert_eq!((in_use(&mut usage, 310), usage.counts_orphan(ids[0])), (4, false));
    usage.settle(310 * MS, ids[1], Some(100 * MS));
    usage.settle(310 * MS, ids[2], Some(9000 * MS));
    assert_eq!(usage.orphans(), 2);
    tick_through(&mut usage, 310, 409);
    assert_eq!(in_use(&mut usage, 409), 4);
    assert_eq!(in_use(&mut usage, 410), 2);
    tick_through(&mut usage, 410, 2299);
    assert_eq!(in_use(&mut usage, 2299), 2);
    assert_eq!(in_use(&mut usage, 2300), 0);
    // Settling an orphan that has expired does nothing.
    usage.settle(2300 * MS, ids[2], None);
    assert_eq!(in_use(&mut usage, 2300), 0);
}

#[test]
fn a_forward_clock_jump_releases_no_running_execution() {
    let mut usage = usage(Measure::WeightAtOnce);
    tick_through(&mut usage, 0, 200);
    let charges = usage.headroom(200 * MS).charge(&demand(1));
    usage.record_charges(200 * MS, &charges);
    usage.end(200 * MS, charges, Some(2000 * MS));
    assert!(!usage.headroom(10_000 * MS).permits(10_000 * MS, &demand(1)));
    // The clock goes backwards: grants are dropped, and running executions still count.
    usage.set_grants(10_000 * MS, &[UNIT], 12_000 * MS);
    assert_eq!(usage.status(9000 * MS)[0].grant, 0);
    assert!(!usage.headroom(9000 * MS).permits(9000 * MS, &demand(1)));
}

#[test]
fn held_is_the_grant_or_usage_beyond_it() {
    let mut usage = usage(Measure::StatementsAtOnce);
    tick_through(&mut usage, 0, 200);
    usage.set_grants(200 * MS, &[5 * UNIT], 900 * MS);
    let charges: Vec<Charges> = (0..7).map(|_| usage.headroom(210 * MS).charge(&demand(1))).collect();
    charges.iter().for_each(|charges| usage.record_charges(210 * MS, charges));
    usage.set_grants(300 * MS, &[UNIT], 1300 * MS);
    assert_eq!(usage.held(300 * MS), [5 * UNIT], "seven run, two of them on the floor");
    usage.end(310 * MS, charges[0].clone(), None);
    assert_eq!(usage.held(310 * MS), [4 * UNIT]);
    assert!(!usage.headroom(310 * MS).permits(310 * MS, &demand(1)));
}

#[test]
fn an_unused_rate_accumulates_no_more_than_its_burst() {
    let mut usage = usage(Measure::StatementsPerSecond);
    tick_through(&mut usage, 0, 200);
    usage.set_grants(200 * MS, &[8 * UNIT], 60_000 * MS);
    let mut sent = 0;
    for at in 200..30_200 {
        // A pause of ten seconds accumulates no more than the burst.
        let now = if at < 10_200 { at } else { at + 10_000 } * MS;
        while usage.headroom(now).permits(now, &demand(1)) {
            let charges = usage.headroom(now).charge(&demand(1));
            usage.record_charges(now, &charges);
            sent += 1;
        }
    }
    // Ten a second for 30 s, two of them from the floor, and one burst after the pause.
    assert!((305..=312).contains(&sent), "{sent}");
}

#[test]
fn a_refusal_adds_to_the_need_and_the_need_decays() {
    let mut usage = usage(Measure::StatementsAtOnce);
    tick_through(&mut usage, 0, 200);
    usage.set_grants(200 * MS, &[0], 5000 * MS);
    usage.needs(200 * MS);
    for _ in 0..2 {
        let charges = usage.headroom(210 * MS).charge(&demand(1));
        usage.record_charges(210 * MS, &charges);
        usage.end(220 * MS, charges, None);
    }
    assert!(!usage.record_refusal(230 * MS, &demand(1)), "there was headroom");
    let charges: Vec<Charges> = (0..2).map(|_| usage.headroom(240 * MS).charge(&demand(1))).collect();
    charges.iter().for_each(|charges| usage.record_charges(240 * MS, charges));
    (0..10).for_each(|_| assert!(usage.record_refusal(250 * MS, &demand(1))));
    let need = usage.needs(700 * MS)[0];
    assert!((12..=14).contains(&(need / UNIT)), "{need}");
    for charges in charges {
        usage.end(710 * MS, charges, None);
    }
    let later: Vec<u64> = (2..12).map(|at| usage.needs(at * 700 * MS)[0]).collect();
    assert!(later.windows(2).all(|w| w[1] <= w[0]) && later[9] == 0, "{later:?}");
}
