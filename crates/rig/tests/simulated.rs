//! Fleets in virtual time: what must hold whatever fails, how well the whole is used, and that the checkers see known mistakes.

use bramblewharf_budgets::scope::ENGINES_WHOLE_PPM;
use bramblewharf_budgets::UNIT;
use bramblewharf_fleet::InjectedBug;
use bramblewharf_rig::plan::{generate, minimize, Fault, Plan};
use bramblewharf_rig::simulated::{simulate, Fleet, Observations, World};
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn whole(fleet: &Fleet, plan: Plan, lasts: Duration) -> Observations {
    let observed = simulate(fleet.clone(), plan, lasts);
    assert_eq!(observed.violation, None);
    observed
}

/// The mean share of the whole in use between two times.
fn used(observed: &Observations, fleet: &Fleet, from: Duration, to: Duration) -> f64 {
    let within: Vec<u64> =
        observed.in_use.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, n)| *n).collect();
    within.iter().sum::<u64>() as f64 / within.len() as f64 / fleet.whole as f64
}

fn campaign(seeds: std::ops::Range<u64>, wrong: Option<InjectedBug>) -> Option<u64> {
    let mut seeds = seeds;
    seeds.find(|seed| {
        // Short executions: else the time for those hides a leave that lasts too long.
        let longest = if seed % 2 == 0 { 60 * MS } else { 800 * MS };
        let fleet =
            Fleet { injected_bug: wrong, max_statement_time: longest, seed: *seed, ..Fleet::default() };
        simulate(fleet, generate(*seed, 5, 3, 20 * S, 10), 25 * S).violation.is_some()
    })
}

#[test]
fn nothing_breaks_the_whole() {
    assert_eq!(campaign(1..60, None), None);
}

#[test]
fn every_known_mistake_is_caught_by_some_plan() {
    for wrong in [
        InjectedBug::ReassignsSuspectGrants,
        InjectedBug::TwoLeaders,
        InjectedBug::NoRecoveryPeriod,
        InjectedBug::AcceptsStaleReplies,
    ] {
        assert!(campaign(1..400, Some(wrong)).is_some(), "{wrong:?} was not caught");
    }
}

/// Answers late by seconds, and then a cut before the next question: what is drawn hardly ever puts these in this order.
#[test]
fn leave_counted_from_its_answer_is_caught() {
    let broken = |wrong, seed: u64| {
        let fleet = Fleet {
            injected_bug: wrong,
            max_statement_time: 60 * MS,
            demand: 1000,
            seed,
            ..Fleet::default()
        };
        let late = Fault::Late { who: 4, by: 1400 * MS, lasts: 10 * S };
        let split = Fault::Split { at: 4, lasts: 6 * S };
        simulate(fleet, vec![(6 * S, late), (10 * S + seed as u32 * 10 * MS, split)], 20 * S)
            .violation
            .is_some()
    };
    assert!((1..200).any(|seed| broken(Some(InjectedBug::CountsGrantFromReply), seed)));
    assert!(!(1..40).any(|seed| broken(None, seed)));
}

/// Killed with executions running and back at once, while all others want more.
#[test]
fn a_part_that_is_free_at_the_kill_is_caught() {
    let broken = |wrong, seed: u64| {
        let fleet =
            Fleet { injected_bug: wrong, demand: 600, max_statement_time: 2 * S, seed, ..Fleet::default() };
        let kill = |at: u32| {
            [(15 * S + at * 700 * MS, Fault::Kill(4)), (15 * S + at * 700 * MS + 20 * MS, Fault::Start(4))]
        };
        simulate(fleet, (0..8).flat_map(kill).collect(), 25 * S).violation.is_some()
    };
    assert!((1..60).any(|seed| broken(Some(InjectedBug::FreesKilledProcessGrant), seed)));
    assert!(!(1..20).any(|seed| broken(None, seed)));
}

/// What a gateway killed in a crowd sent is read up to a lease, a quarter and the longest statement later.
fn killed_unread(records: bool, wrong: Option<InjectedBug>, seed: u64) -> Observations {
    let fleet =
        Fleet { injected_bug: wrong, demand: 600, max_statement_time: 2 * S, seed, ..Fleet::default() };
    let mut plan = Plan::new();
    for round in 0..3 {
        let at = 15 * S + round * 7 * S;
        plan.push((at, Fault::KillUnread(4, 2500 * MS + seed as u32 * 40 * MS)));
        if !records {
            plan.push((at + MS, Fault::LoseRecord(4)));
        }
        plan.push((at + 20 * MS, Fault::Start(4)));
    }
    simulate(fleet, plan, 40 * S)
}

/// Guards against a killed gateway's part that is given anew before engines have read what it sent.
#[test]
fn what_was_sent_before_a_kill_counts_until_engines_have_read_it() {
    for records in [true, false] {
        for seed in 1..20 {
            assert_eq!(killed_unread(records, None, seed).violation, None, "records {records}, seed {seed}");
        }
        let caught =
            |wrong| (1..60).any(|seed| killed_unread(records, Some(wrong), seed).violation.is_some());
        assert!(caught(InjectedBug::AssumesPredecessorEnded), "records {records}");
        assert!(caught(InjectedBug::FreesKilledProcessGrant), "records {records}");
    }
}

/// Guards against a record that is taken for the last process's where another came after it.
#[test]
fn kills_in_a_row_with_and_without_their_records_break_nothing() {
    for seed in 1..40u64 {
        let fleet = Fleet { demand: 600, max_statement_time: 2 * S, seed, ..Fleet::default() };
        let mut plan = Plan::new();
        let (first, pause) = (12 * S, 20 * MS + seed as u32 * 10 * MS);
        for round in 0..6 {
            let at = first + round * pause * 2;
            let unread = Fault::KillUnread(4, 2900 * MS);
            plan.push((at, if round == 0 { unread } else { Fault::Kill(4) }));
            if seed % 3 == u64::from(round) {
                plan.push((at + MS, Fault::LoseRecord(4)));
            }
            plan.push((at + pause, Fault::Start(4)));
        }
        assert_eq!(simulate(fleet, plan, 30 * S).violation, None, "seed {seed}");
    }
}

/// Guards against a floor that stays away after a restart: with its record a gateway has it as soon as a keeper has answered, whatever
/// engines do; without, half a second and engines' time after they have answered.
#[test]
fn a_killed_gateway_has_its_floor_again_soon() {
    let floor = 2 * UNIT;
    let back = |records: bool, seats: bool, lasts: Duration| {
        let fleet = Fleet { gateways: 5, demand: 5, ..Fleet::default() };
        let mut plan: Plan = vec![(15 * S, Fault::KillUnread(4, lasts))];
        if !records {
            plan.push((15 * S + MS, Fault::LoseRecord(4)));
        }
        if !seats {
            plan.extend((0..3).map(|at| (15 * S + MS, Fault::Kill(at))));
        }
        plan.push((15 * S + 20 * MS, Fault::Start(4)));
        let mut world = World::new(fleet, plan);
        let mut at = 15 * S + 20 * MS;
        loop {
            world.run_until(at);
            assert_eq!(world.observations().violation, None);
            if world.floor(4) == floor {
                return at - 15 * S;
            }
            at += 20 * MS;
            assert!(at < 30 * S, "no floor");
        }
    };
    let zero = Duration::ZERO;
    let engines_time = Fleet::default().config().max_orphan_time() + 600 * MS;
    assert!(back(true, true, zero) <= 100 * MS);
    assert!(back(true, true, 3 * S) <= 100 * MS);
    assert!(back(true, false, zero) <= engines_time);
    assert!(back(false, true, zero) <= engines_time);
    assert!(back(false, true, 2 * S) <= 2 * S + engines_time);
}

/// The keeper is cut off with one gateway; the other seats start anew and agree on another while its right lasts.
#[test]
fn seats_that_vote_unknowing_are_caught() {
    let broken = |wrong, seed: u64| {
        let fleet =
            Fleet { injected_bug: wrong, max_statement_time: 60 * MS, demand: 0, seed, ..Fleet::default() };
        let mut plan = vec![(10 * S, Fault::Split { at: 1, lasts: 8 * S })];
        for at in [1, 2] {
            plan.push((10 * S + MS, Fault::Kill(at)));
            plan.push((10 * S + 50 * MS, Fault::Start(at)));
        }
        plan.push((11200 * MS, Fault::Demand(0, 2000)));
        plan.extend([3, 4].map(|at| (12500 * MS, Fault::Demand(at, 2000))));
        simulate(fleet, plan, 20 * S).violation.is_some()
    };
    assert!((1..60).any(|seed| broken(Some(InjectedBug::VotesAtStart), seed)));
    assert!(!(1..20).any(|seed| broken(None, seed)));
}

/// A gateway is cut off with leave in hand, and the keeper's clock jumps by less than its own right would bear.
#[test]
fn a_keeper_that_ends_leave_by_a_jump_is_caught() {
    let broken = |wrong, seed: u64| {
        let fleet = Fleet {
            injected_bug: wrong,
            max_statement_time: 60 * MS,
            demand: 1000,
            seed,
            ..Fleet::default()
        };
        let mut plan = vec![(10 * S, Fault::Split { at: 4, lasts: 6 * S })];
        plan.extend((0..3).map(|at| (10 * S + 700 * MS, Fault::JumpOn(at, 1200 * MS))));
        simulate(fleet, plan, 20 * S).violation.is_some()
    };
    assert!((1..60).any(|seed| broken(Some(InjectedBug::CountsSuspendedTime), seed)));
    assert!(!(1..20).any(|seed| broken(None, seed)));
}

#[test]
fn a_plan_that_breaks_is_made_smaller() {
    let fleet = Fleet { injected_bug: Some(InjectedBug::ReassignsSuspectGrants), ..Fleet::default() };
    let fails = |plan: &Plan| simulate(fleet.clone(), plan.clone(), 25 * S).violation.is_some();
    let seed = (1..100).find(|seed| fails(&generate(*seed, 5, 3, 20 * S, 10))).unwrap();
    let plan = generate(seed, 5, 3, 20 * S, 10);
    let small = minimize(plan.clone(), fails);
    assert!(fails(&small) && small.len() < plan.len(), "{} of {}", small.len(), plan.len());
    assert!((0..small.len()).all(|at| {
        let mut less = small.clone();
        less.remove(at);
        !fails(&less)
    }));
}

#[test]
fn the_same_seed_is_the_same_run() {
    let run = || simulate(Fleet::default(), generate(7, 5, 3, 10 * S, 8), 12 * S);
    let (one, other) = (run(), run());
    assert_eq!(
        (one.sent, one.refused, one.bytes, one.in_use),
        (other.sent, other.refused, other.bytes, other.in_use)
    );
}

#[test]
fn the_whole_is_in_use_two_leases_after_need_has_walked() {
    let fleet = Fleet { demand: 0, ..Fleet::default() };
    let walk = |at: u32| {
        let from = (at as usize + 4) % 5;
        [((10 + 8 * at) * S, Fault::Demand(from, 0)), ((10 + 8 * at) * S, Fault::Demand(at as usize, 2000))]
    };
    let observed = whole(&fleet, (0..5).flat_map(walk).collect(), 50 * S);
    // One gateway alone can't have the floors of the others: the pool and its own floor are all there is.
    let most = 1.0 - 0.25 * 4.0 / 5.0;
    for at in 0..5 {
        let from = (10 + 8 * at) * S + 2 * fleet.lease;
        let used = used(&observed, &fleet, from, from + 3 * S) / most;
        assert!(used >= 0.95, "{used} after the {at}th step");
    }
}

#[test]
fn what_the_dead_had_is_in_use_again_after_lease_and_engines_time() {
    let fleet = Fleet { gateways: 10, max_members: 10, demand: 300, floor_percent: 10, ..Fleet::default() };
    let plan = (5..8).map(|at| (20 * S, Fault::Kill(at))).collect();
    let observed = whole(&fleet, plan, 40 * S);
    let before = used(&observed, &fleet, 15 * S, 20 * S);
    // Their floors are theirs, whether they are there or not.
    let most = 1.0 - 0.1 * 3.0 / 10.0;
    let free = 20 * S + fleet.config().reclaim_delay() + fleet.lease / 2;
    let after = used(&observed, &fleet, free, free + 5 * S);
    assert!(before > 0.93 && after / most > 0.95, "{before} {after}");
}

#[test]
fn equal_needs_get_equal_parts() {
    let fleet = Fleet { gateways: 12, max_members: 12, demand: 200, ..Fleet::default() };
    let observed = whole(&fleet, vec![], 60 * S);
    let of: Vec<f64> = observed.by_gateway.iter().map(|n| *n as f64).collect();
    let jain = of.iter().sum::<f64>().powi(2) / (of.len() as f64 * of.iter().map(|x| x * x).sum::<f64>());
    assert!(jain > 0.98, "{jain} {of:?}");
}

/// Nobody falls below its floor, and nothing is refused that the floors cover.
#[test]
fn without_any_seat_all_go_on_by_their_floors() {
    let fleet = Fleet { gateways: 8, max_members: 8, demand: 2, floor_percent: 50, ..Fleet::default() };
    let plan = (0..3).map(|at| (10 * S, Fault::Kill(at))).collect();
    let observed = whole(&fleet, plan, 40 * S);
    let floors = observed.granted.iter().filter(|(at, _)| *at > 20 * S).map(|(_, leave)| *leave);
    assert!(floors.clone().all(|leave| leave == 5 * 2 * UNIT), "{:?}", floors.collect::<Vec<_>>());
    let busy = Fleet { demand: 1000, ..fleet };
    let observed = whole(&busy, (0..3).map(|at| (10 * S, Fault::Kill(at))).collect(), 40 * S);
    let used = used(&observed, &busy, 20 * S, 40 * S);
    assert!(used > 0.9 * 5.0 * 2.0 / 40.0, "{used}");
}

#[test]
fn a_keeper_that_is_lost_costs_no_leave_in_hand() {
    let fleet = Fleet { gateways: 9, max_members: 9, demand: 300, ..Fleet::default() };
    let observed = whole(&fleet, vec![], 12 * S);
    let before = used(&observed, &fleet, 8 * S, 12 * S);
    // Whoever keeps: all three seats, one after the other, with time to agree anew.
    for at in 0..3 {
        for fault in [Fault::Kill(at), Fault::Pause(at, 8 * S), Fault::Leave(at)] {
            let observed = whole(&fleet, vec![(12 * S, fault)], 20 * S);
            let after = used(&observed, &fleet, 12 * S, 20 * S);
            assert!(after > before * 7.5 / 9.0, "{before} {after}");
        }
    }
}

#[test]
fn ten_kills_in_a_row_leave_no_more_than_one_ghost() {
    let fleet = Fleet { gateways: 6, max_members: 6, demand: 300, ..Fleet::default() };
    let mut plan = Plan::new();
    for at in 0..10 {
        plan.push((12 * S + at * 800 * MS, Fault::Kill(4)));
        plan.push((12 * S + at * 800 * MS + 300 * MS, Fault::Start(4)));
    }
    let observed = whole(&fleet, plan, 40 * S);
    let (meanwhile, after) =
        (used(&observed, &fleet, 14 * S, 20 * S), used(&observed, &fleet, 26 * S, 40 * S));
    assert!(meanwhile > 0.7 && after > 0.95, "{meanwhile} {after}");
}

#[test]
fn a_liar_gets_its_fair_part_and_no_more() {
    let fleet = Fleet { demand: 400, ..Fleet::default() };
    let observed = whole(&fleet, vec![(5 * S, Fault::Lies(4)), (5 * S, Fault::Demand(4, 0))], 40 * S);
    // A fifth is the liar's, unused; the others have the rest.
    let used = used(&observed, &fleet, 20 * S, 40 * S);
    assert!((0.75..0.82).contains(&used), "{used}");
}

#[test]
fn one_way_only_and_two_halves() {
    let fleet = Fleet { gateways: 6, max_members: 6, demand: 300, ..Fleet::default() };
    for at in 0..3 {
        let deaf =
            (0..6).filter(|other| *other != at).map(|other| Fault::Cut { from: other, to: at, lasts: 9 * S });
        let mute =
            (0..6).filter(|other| *other != at).map(|other| Fault::Cut { from: at, to: other, lasts: 9 * S });
        for cuts in [deaf.collect::<Vec<_>>(), mute.collect()] {
            let observed = whole(&fleet, cuts.into_iter().map(|cut| (12 * S, cut)).collect(), 40 * S);
            assert!(used(&observed, &fleet, 30 * S, 40 * S) > 0.95);
            // The others agree on another, and give out what the one can't have.
            assert!(used(&observed, &fleet, 18 * S, 21 * S) > 0.7);
        }
    }
    for at in 1..6 {
        let observed = whole(&fleet, vec![(12 * S, Fault::Split { at, lasts: 9 * S })], 40 * S);
        assert!(used(&observed, &fleet, 30 * S, 40 * S) > 0.95, "split at {at}");
    }
}

#[test]
fn from_three_to_many_gateways_and_as_many_bytes_each() {
    let mut each = Vec::new();
    for gateways in [3, 30, 300] {
        let fleet = Fleet {
            gateways,
            max_members: gateways as u32,
            whole: 20 * gateways as u64 * UNIT,
            demand: 0,
            ..Fleet::default()
        };
        let observed = whole(&fleet, vec![(6 * S, Fault::KillMost { back: S })], 12 * S);
        each.push(observed.bytes as f64 / gateways as f64);
    }
    assert!(each.iter().all(|bytes| *bytes < each[0] * 1.5), "{each:?}");
}

/// Three hundred places of which ninety are there lend the whole; ninety to which others come, never more.
#[test]
fn engines_are_lent_by_who_is_there() {
    let fleet = Fleet {
        gateways: 100,
        max_members: 100,
        whole: ENGINES_WHOLE_PPM,
        on_engines: true,
        demand: 0,
        ..Fleet::default()
    };
    // The upper seventy are killed, and come back later.
    let plan = (30..100).flat_map(|at| [(10 * S, Fault::Kill(at)), (24 * S, Fault::Start(at))]).collect();
    let observed = whole(&fleet, plan, 40 * S);
    let lent = |at: Duration| {
        observed.granted.iter().rfind(|(when, _)| *when <= at).unwrap().1 as f64 / ENGINES_WHOLE_PPM as f64
    };
    let (all, thirty, back) = (lent(9800 * MS), lent(23_900 * MS), lent(39_900 * MS));
    assert!(all > 0.97 && back > 0.97, "{all} {back}");
    // All but the floors of those that are not there.
    assert!(thirty > 0.9, "{thirty}");
}

#[test]
fn a_budget_smaller_than_the_fleet_goes_round() {
    let fleet = Fleet {
        gateways: 6,
        max_members: 6,
        whole: 3 * UNIT,
        floor_percent: 0,
        demand: 100,
        ..Fleet::default()
    };
    let observed = whole(&fleet, vec![], 60 * S);
    let (least, most) =
        (observed.by_gateway.iter().min().unwrap(), observed.by_gateway.iter().max().unwrap());
    assert!(least * 2 > *most, "{:?}", observed.by_gateway);
}
