use super::*;
use crate::{Measure, Scope};

const MS: Duration = Duration::from_millis(1);

fn budget(measure: Measure, whole: u64) -> Budget {
    let scope = Scope { customer: Some(1), ..Scope::default() };
    let burst = Duration::from_secs(1);
    Budget { name: "b".into(), scope, measure, whole, floor_percent: 20, quantum: GRAIN, burst }
}

fn claim(customer: usize) -> Claim<'static> {
    Claim { workload: 0, customer: Some(customer), kind: "std", weight: 2.0, mem_mb: 0.0, before: 0 }
}

fn usage(measure: Measure) -> Usage {
    Usage::new(vec![budget(measure, 100 * GRAIN)], 10, 100 * MS, Duration::ZERO)
}

/// As a gateway does that looks at its clock often enough.
fn goes_on(usage: &mut Usage, from: u32, to: u32) {
    (from..=to).step_by(50).chain([to]).for_each(|at| usage.look(at * MS));
}

#[test]
fn leave_ends_by_itself_and_floors_stay() {
    let mut usage = usage(Measure::StatementsAtOnce);
    usage.lease(10 * MS, &[GRAIN], 1000 * MS);
    let room = usage.room(10 * MS);
    assert!(room.permits(20 * MS, &claim(1)) && room.permits(20 * MS, &claim(7)));
    // The same value, shown after its end: a gateway that was paused sends nothing by it.
    assert!(!room.permits(1000 * MS, &claim(1)), "the floor was not ours yet when this was worked out");
    goes_on(&mut usage, 10, 1000);
    let mut room = usage.room(1000 * MS);
    for _ in 0..2 {
        assert!(room.permits(1000 * MS, &claim(1)));
        let took = room.take(&claim(1));
        usage.took(1000 * MS, &took);
    }
    assert!(!room.permits(1000 * MS, &claim(1)));
    assert!(!usage.room(1000 * MS).permits(1000 * MS, &claim(1)));
}

#[test]
fn what_may_run_unheard_counts_until_it_cannot() {
    let mut usage = usage(Measure::WeightAtOnce);
    goes_on(&mut usage, 0, 200);
    let took = usage.room(200 * MS).take(&claim(1));
    assert_eq!(took, [(0, 2 * GRAIN)]);
    usage.took(200 * MS, &took);
    usage.ended(300 * MS, took, Some(2000 * MS));
    assert_eq!(usage.due(300 * MS), Some(2300 * MS));
    goes_on(&mut usage, 300, 2299);
    assert!(!usage.room(2299 * MS).permits(2299 * MS, &claim(1)));
    assert!(usage.room(2300 * MS).permits(2300 * MS, &claim(1)));
}

#[test]
fn what_is_known_later_of_what_may_run_unheard_only_shortens_its_time() {
    let mut usage = usage(Measure::WeightAtOnce);
    goes_on(&mut usage, 0, 200);
    let mut room = usage.room(200 * MS);
    let names: Vec<Lingering> = (0..3)
        .map(|_| {
            let took = room.take(&claim(1));
            usage.took(200 * MS, &took);
            usage.ended(300 * MS, took, Some(2000 * MS)).unwrap()
        })
        .collect();
    let in_use = |usage: &mut Usage, at: u32| usage.figures(at * MS)[0].in_use / GRAIN;
    usage.settle(310 * MS, names[0], None);
    assert_eq!((in_use(&mut usage, 310), usage.lingers(names[0])), (4, false));
    usage.settle(310 * MS, names[1], Some(100 * MS));
    usage.settle(310 * MS, names[2], Some(9000 * MS));
    assert_eq!(usage.lingering(), 2);
    goes_on(&mut usage, 310, 409);
    assert_eq!(in_use(&mut usage, 409), 4);
    assert_eq!(in_use(&mut usage, 410), 2);
    goes_on(&mut usage, 410, 2299);
    assert_eq!(in_use(&mut usage, 2299), 2);
    assert_eq!(in_use(&mut usage, 2300), 0);
    // What is over can't be settled once more.
    usage.settle(2300 * MS, names[2], None);
    assert_eq!(in_use(&mut usage, 2300), 0);
}

#[test]
fn a_clock_that_jumps_on_ends_nothing_that_runs() {
    let mut usage = usage(Measure::WeightAtOnce);
    goes_on(&mut usage, 0, 200);
    let took = usage.room(200 * MS).take(&claim(1));
    usage.took(200 * MS, &took);
    usage.ended(200 * MS, took, Some(2000 * MS));
    assert!(!usage.room(10_000 * MS).permits(10_000 * MS, &claim(1)));
    // Back again: no leave is trusted, and what runs still counts.
    usage.lease(10_000 * MS, &[GRAIN], 12_000 * MS);
    assert_eq!(usage.figures(9000 * MS)[0].leave, 0);
    assert!(!usage.room(9000 * MS).permits(9000 * MS, &claim(1)));
}

#[test]
fn holds_are_leave_or_what_runs_beyond_it() {
    let mut usage = usage(Measure::StatementsAtOnce);
    goes_on(&mut usage, 0, 200);
    usage.lease(200 * MS, &[5 * GRAIN], 900 * MS);
    let took: Vec<Took> = (0..7).map(|_| usage.room(210 * MS).take(&claim(1))).collect();
    took.iter().for_each(|took| usage.took(210 * MS, took));
    usage.lease(300 * MS, &[GRAIN], 1300 * MS);
    assert_eq!(usage.holds(300 * MS), [5 * GRAIN], "seven run, two of them on the floor");
    usage.ended(310 * MS, took[0].clone(), None);
    assert_eq!(usage.holds(310 * MS), [4 * GRAIN]);
    assert!(!usage.room(310 * MS).permits(310 * MS, &claim(1)));
}

#[test]
fn leave_by_the_second_is_never_saved_beyond_its_burst() {
    let mut usage = usage(Measure::StatementsPerSecond);
    goes_on(&mut usage, 0, 200);
    usage.lease(200 * MS, &[8 * GRAIN], 60_000 * MS);
    let mut sent = 0;
    for at in 200..30_200 {
        // A pause of ten seconds saves up no more than the burst.
        let now = if at < 10_200 { at } else { at + 10_000 } * MS;
        while usage.room(now).permits(now, &claim(1)) {
            let took = usage.room(now).take(&claim(1));
            usage.took(now, &took);
            sent += 1;
        }
    }
    // Ten a second for 30 s, of which two are the floor's, and a burst after the pause.
    assert!((305..=312).contains(&sent), "{sent}");
}

#[test]
fn a_refusal_is_a_need_and_a_need_fades() {
    let mut usage = usage(Measure::StatementsAtOnce);
    goes_on(&mut usage, 0, 200);
    usage.lease(200 * MS, &[0], 5000 * MS);
    usage.needs(200 * MS);
    for _ in 0..2 {
        let took = usage.room(210 * MS).take(&claim(1));
        usage.took(210 * MS, &took);
        usage.ended(220 * MS, took, None);
    }
    assert!(!usage.refused(230 * MS, &claim(1)), "there was room");
    let took: Vec<Took> = (0..2).map(|_| usage.room(240 * MS).take(&claim(1))).collect();
    took.iter().for_each(|took| usage.took(240 * MS, took));
    (0..10).for_each(|_| assert!(usage.refused(250 * MS, &claim(1))));
    let need = usage.needs(700 * MS)[0];
    assert!((12..=14).contains(&(need / GRAIN)), "{need}");
    for took in took {
        usage.ended(710 * MS, took, None);
    }
    let later: Vec<u64> = (2..12).map(|at| usage.needs(at * 700 * MS)[0]).collect();
    assert!(later.windows(2).all(|w| w[1] <= w[0]) && later[9] == 0, "{later:?}");
}
