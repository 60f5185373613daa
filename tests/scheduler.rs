//! Tests of the scheduler: one for each mechanism and each failure that was found.

mod common;
use bramblewharf::interface::*;
use common::*;
use std::time::Duration;
use Effect::*;

#[test]
fn round_robin_starts_at_the_gateways_index() {
    let mut config = site(vec![workload(Idempotent)]);
    config.gateway = 1;
    let mut harness = Harness::new(config, 4);
    let selected: Vec<_> = (0..5).filter_map(|_| harness.submit(0).1).collect();
    let want: Vec<Id> = ["e2", "e3", "e0", "e1", "e2"].map(Id::from).to_vec();
    assert_eq!(selected, want);
}

#[test]
fn rejects_when_no_residual_covers_the_weight_until_an_execution_ends() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 1);
    let mut in_flight = Vec::new();
    let full = loop {
        let (id, actions) = harness.statement(0, |_| {});
        let Some(engine) = engine_of(&actions) else { break actions };
        in_flight.push((id, engine));
        assert!(in_flight.len() < 100, "the slice never binds");
    };
    assert!(rejected(&full));
    harness.end(&in_flight[0].0, 0, &in_flight[0].1, Outcome::Completed);
    assert!(harness.submit(0).1.is_some());
    assert!(harness.submit(0).1.is_none());
}

#[test]
fn a_report_of_pressure_limits_the_gateway_to_its_slice() {
    let headroom = |report| {
        let mut harness = Harness::new(site(vec![workload(Idempotent)]), 1);
        let (id, engine) = harness.submit(0);
        let end = ended(&id, 0, &engine.unwrap(), Outcome::Completed);
        harness.event(Event::ExecutionEnded(ExecutionEnd { report: Some(report), ..end }));
        std::iter::from_fn(|| harness.submit(0).1).take(100).count()
    };
    let calm = headroom(LoadReport { utilisation: Some(0.3), ..LoadReport::default() });
    assert!(headroom(LoadReport { utilisation: Some(1.0), ..LoadReport::default() }) < calm);
    assert!(headroom(LoadReport { active_statements: Some(1000.0), ..LoadReport::default() }) < calm);
    assert!(headroom(LoadReport { mem_waiting: Some(3.0), ..LoadReport::default() }) < calm);
}

#[test]
fn a_statement_heavier_than_the_capacity_goes_to_an_idle_engine() {
    let mut heavy = workload(Idempotent);
    heavy.threads = 1000.0;
    let mut harness = Harness::new(site(vec![heavy]), 2);
    assert!(harness.submit(0).1.is_some() && harness.submit(0).1.is_some());
    assert!(harness.submit(0).1.is_none());
}

#[test]
fn a_failed_execution_is_retried_elsewhere_unless_a_repeat_is_unsafe() {
    let mut harness = Harness::new(site(vec![workload(Idempotent), workload(NonIdempotent)]), 3);
    let (id, first) = harness.submit(0);
    let first = first.unwrap();
    let second = engine_of(&harness.end(&id, 0, &first, Outcome::Reset));
    assert!(second.is_some_and(|second| second != first));
    let (id, engine) = harness.submit(1);
    let actions = harness.end(&id, 0, &engine.unwrap(), Outcome::TimedOut);
    assert!(actions.iter().any(|a| matches!(a, Action::Abort { .. })) && engine_of(&actions).is_none());
    let (id, engine) = harness.submit(1);
    assert!(engine_of(&harness.end(&id, 0, &engine.unwrap(), Outcome::Refused)).is_some());
}

#[test]
fn failing_engines_are_ejected_and_probed_with_one_statement() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 3);
    let bad = Id::from("e1");
    for _ in 0..40 {
        let (id, engine) = harness.submit(0);
        let engine = engine.unwrap();
        let outcome = if engine == bad { Outcome::Error } else { Outcome::Completed };
        let next = engine_of(&harness.end(&id, 0, &engine, outcome));
        next.map(|next| harness.end(&id, 1, &next, Outcome::Completed));
    }
    assert!((0..20).all(|_| harness.submit(0).1.is_none_or(|engine| engine != bad)));
    harness.now += ms(5000);
    let tries = (0..20).filter_map(|_| harness.submit(0).1).filter(|engine| *engine == bad).count();
    assert_eq!(tries, 1);
}

#[test]
fn resets_spread_over_all_engines_eject_none() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 4);
    for n in 0..200 {
        let (id, engine) = harness.submit(0);
        let engine = engine.expect("a healthy fleet takes all");
        let outcome = if n % 10 == 0 { Outcome::Reset } else { Outcome::Completed };
        let next = engine_of(&harness.end(&id, 0, &engine, outcome));
        next.map(|next| harness.end(&id, 1, &next, Outcome::Completed));
        harness.now += ms(10);
    }
    let selected: std::collections::BTreeSet<_> = (0..4).filter_map(|_| harness.submit(0).1).collect();
    assert_eq!(selected.len(), 4);
}

#[test]
fn when_most_engines_look_unhealthy_none_is_avoided() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 2);
    for _ in 0..30 {
        let (id, mut next) = harness.submit(0);
        for tries in 0.. {
            let Some(engine) = next else { break };
            next = engine_of(&harness.end(&id, tries, &engine, Outcome::Error));
        }
    }
    assert!(harness.submit(0).1.is_some());
}

#[test]
fn a_silent_engine_is_detected_and_its_executions_are_cancelled() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 3);
    let in_flight: Vec<_> = (0..3).map(|_| harness.submit(0)).collect();
    let cancels = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    for (id, engine) in in_flight.iter().filter(|(_, e)| e.as_deref() != Some("e1")) {
        harness.end(id, 0, engine.as_ref().unwrap(), Outcome::Completed);
    }
    assert!(!cancels(&harness.advance(100)));
    assert!((0..30).any(|_| cancels(&harness.advance(50))));
    let (id, engine) = in_flight.iter().find(|(_, e)| e.as_deref() == Some("e1")).unwrap();
    let again = engine_of(&harness.end(id, 0, engine.as_ref().unwrap(), Outcome::Cancelled));
    assert!(again.is_some_and(|again| &*again != "e1"));
}

#[test]
fn readers_avoid_held_table_groups_and_an_engine_gets_two_loads_of_one() {
    let mut load = workload(NonIdempotent);
    load.holds_group = true;
    let mut reader = workload(Idempotent);
    reader.waits_for_group = true;
    let mut harness = Harness::new(site(vec![load, reader]), 3);
    let mut to = |w| engine_of(&harness.statement(w, |s| s.table_group = Some(9)).1);
    let held = to(0).unwrap();
    assert!((0..6).all(|_| to(1).is_some_and(|engine| engine != held)));
    assert!((0..5).all(|_| to(0).is_some()));
    assert!(to(0).is_none(), "two loads of the group on each of three engines");
    assert!(to(1).is_some(), "a reader goes where it must wait rather than nowhere");
}

#[test]
fn the_last_of_a_slice_is_for_statements_of_high_value_density() {
    let mut slight = workload(Idempotent);
    slight.importance = 0.01;
    let mut harness = Harness::new(site(vec![workload(Idempotent), slight]), 1);
    while harness.submit(1).1.is_some() {}
    assert!(harness.submit(0).1.is_some());
}

#[test]
fn loads_that_other_gateways_report_count() {
    let mut load = workload(NonIdempotent);
    load.holds_group = true;
    let mut config = site(vec![load]);
    config.can_gossip = true;
    let (mut one, mut two) = (Harness::new(config.clone(), 4), Harness::new(config, 4));
    let send = |harness: &mut Harness| harness.statement(0, |s| s.table_group = Some(9)).1;
    for _ in 0..8 {
        for action in send(&mut one) {
            if let Action::Gossip { message, .. } = action {
                two.event(Event::PeerMessage { from: 0, message });
            }
        }
    }
    assert!(rejected(&send(&mut one)));
    assert!(engine_of(&send(&mut two)).is_none(), "both know that every engine has its two loads");
}

/// Without gossip, each of 300 gateways would detect by itself that an engine is silent, and probe it again
/// and again.
#[test]
fn an_engine_reported_unhealthy_is_probed_by_few_gateways() {
    let mut config = site(vec![workload(Idempotent)]);
    (config.gateways, config.can_gossip) = (300, true);
    let words = vec![Observation::Unhealthy { engine: bramblewharf_turns::EngineHash::of("e1"), age: ms(0) }];
    let zones = [1, 2, 3].map(|zone| GossipMessage { zone, observations: words.clone() });
    let tried = |witnesses: usize| {
        let mut tried = 0;
        for gateway in 0..300 {
            let mut harness = Harness::new(Site { gateway, ..config.clone() }, 3);
            for (from, message) in zones.iter().take(witnesses).enumerate() {
                harness.event(Event::PeerMessage { from: 301 + from as u32, message: message.clone() });
            }
            let sent: Vec<Id> = (0..3).filter_map(|_| harness.submit(0).1).collect();
            assert_eq!(sent.len(), 3, "the others carry on");
            tried += usize::from(sent.iter().any(|engine| **engine == *"e1"));
        }
        tried
    };
    assert_eq!(tried(1), 300, "one witness alone takes no engine from the others");
    assert!((1..=5).contains(&tried(2)), "{}", tried(2));
}

/// With fractional slices loads come from the engines' reports: an engine that stops reporting, or reports
/// impossible values, must not take the others out of use.
#[test]
fn missing_or_wrong_reports_close_no_engine() {
    let mut config = site(vec![workload(Idempotent)]);
    config.gateways = 300;
    let run = |report: &dyn Fn(&Id) -> Option<LoadReport>, consumed: Option<(Duration, f64)>| {
        let mut harness = Harness::new(config.clone(), 3);
        let mut rejections = 0;
        for _ in 0..400 {
            let (id, actions) = harness.statement(0, |s| s.est_mem_mb = Some(10.0));
            let Some(engine) = engine_of(&actions) else {
                rejections += 1;
                harness.advance(50);
                continue;
            };
            harness.advance(50);
            let end = ended(&id, 0, &engine, Outcome::Completed);
            harness.event(Event::ExecutionEnded(ExecutionEnd { report: report(&engine), consumed, ..end }));
        }
        (rejections, harness)
    };
    assert_eq!(run(&|_| None, None).0, 0, "no engine reports anything: all stay open");
    let healthy = LoadReport { utilisation: Some(0.3), ..LoadReport::default() };
    for lie in [1e9, -1e9, 61.0] {
        let lies = LoadReport { utilisation: Some(lie), ..LoadReport::default() };
        let (away, _) = run(&|engine| Some(if **engine == *"e0" { lies } else { healthy }), None);
        assert!(away < 10, "one engine of three reports {lie}: {away} of 400 rejected");
    }
    // Impossible work and memory: no statement is taken for heavier, and no more memory is asked for than
    // allowed.
    let (away, _) = run(&|_| Some(healthy), Some((Duration::from_secs(1_000_000), 1e300)));
    assert_eq!(away, 0);
}

#[test]
fn priorities_follow_value_density_and_memory_grants_follow_reported_use() {
    let mut long = workload(Idempotent);
    long.slo_time = ms(40_000);
    let mut config = site(vec![workload(Idempotent), long]);
    (config.honors_priorities, config.honors_memory_grants) = (true, true);
    let mut harness = Harness::new(config, 1);
    let resources_of = |actions: &[Action]| match actions.first() {
        Some(Action::Resources { mem_mb, priority, .. }) => (*mem_mb, *priority),
        _ => panic!("the first action is not `Resources`"),
    };
    let (id, actions) = harness.statement(0, |s| s.est_mem_mb = Some(100.0));
    assert_eq!(resources_of(&actions), (0.0, 3));
    assert_eq!(resources_of(&harness.statement(1, |_| {}).1).1, 0);
    let end = ended(&id, 0, &engine_of(&actions).unwrap(), Outcome::Completed);
    harness.event(Event::ExecutionEnded(ExecutionEnd { consumed: Some((ms(100), 300.0)), ..end }));
    let (granted, _) = resources_of(&harness.statement(0, |s| s.est_mem_mb = Some(100.0)).1);
    assert!((300.0..=2048.0).contains(&granted), "granted {granted}");
}

#[test]
fn a_polled_list_is_requested_again_after_a_failure() {
    let mut config = site(vec![workload(Idempotent)]);
    (config.list_is_polled, config.list_poll_interval) = (true, ms(2000));
    let mut harness = Harness::new(config, 2);
    assert!(harness.submit(0).1.is_some());
    harness.event(Event::EngineList(ListKind::Failed, Vec::new()));
    let asked = (0..10).any(|_| harness.advance(50).contains(&Action::RequestList));
    assert!(asked);
    harness.now += ms(9000);
    assert!(harness.submit(0).1.is_none(), "a list this old may hide a drain");
    harness.event(Event::EngineList(ListKind::Snapshot, vec![engine(0)]));
    assert_eq!(harness.submit(0).1.as_deref(), Some("e0"));
}

#[test]
fn an_ejected_engine_is_probed_while_an_execution_still_hangs_there() {
    let mut harness = Harness::new(site(vec![workload(Idempotent), workload(NonIdempotent)]), 3);
    let hung = harness.submit(1).1.unwrap();
    harness.advance(850);
    assert!((0..6).all(|_| harness.submit(0).1.is_some_and(|engine| engine != hung)));
    harness.now += ms(1000);
    let tries = (0..9).filter_map(|_| harness.submit(0).1).filter(|engine| *engine == hung).count();
    assert_eq!(tries, 1);
}

#[test]
fn an_engine_that_rejects_all_as_full_is_ejected_though_it_looks_idle() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 4);
    let mut tries = 0;
    for _ in 0..60 {
        let (id, engine) = harness.submit(0);
        let full = engine.as_deref() == Some("e1");
        tries += u32::from(full);
        let outcome = if full { Outcome::Full } else { Outcome::Completed };
        let next = engine_of(&harness.end(&id, 0, &engine.unwrap(), outcome));
        next.map(|next| harness.end(&id, 1, &next, Outcome::Completed));
    }
    assert!(tries < 6, "{tries} executions went to an engine that accepts none");
}

fn large_fleet(gateways: u32, effect: Effect) -> Site {
    Site { gateways, ..site(vec![workload(effect)]) }
}

fn end_with_report(harness: &mut Harness, id: &Id, engine: &Id, report: LoadReport) {
    let end = ended(id, 0, engine, Outcome::Completed);
    harness.event(Event::ExecutionEnded(ExecutionEnd { report: Some(report), ..end }));
}

#[test]
fn with_fractional_slices_load_is_what_engines_report_and_decays() {
    let mut harness = Harness::new(large_fleet(100, Idempotent), 1);
    let headroom = |harness: &mut Harness, held: f64| {
        let (id, engine) = harness.submit(0);
        end_with_report(
            harness,
            &id,
            &engine.expect("an engine without a report is open"),
            LoadReport { active_statements: Some(held), ..LoadReport::default() },
        );
    };
    headroom(&mut harness, 1.0);
    assert!(harness.submit(0).1.is_some(), "an engine that reports free capacity is used");
    headroom(&mut harness, 100.0);
    assert!(rejected(&harness.statement(0, |_| {}).1), "an engine that reports to be full is full");
    harness.now += ms(20_000);
    let (id, engine) = harness.submit(0);
    harness.end(&id, 0, &engine.expect("a report this old no longer counts"), Outcome::Full);
    assert!(harness.submit(0).1.is_none(), "a rejection as full shows a full engine");
}

#[test]
fn gateways_do_not_all_fill_the_capacity_that_one_report_shows() {
    let sends = |gateways| {
        let mut harness = Harness::new(large_fleet(gateways, Idempotent), 1);
        let (id, engine) = harness.submit(0);
        end_with_report(
            &mut harness,
            &id,
            &engine.unwrap(),
            LoadReport { active_statements: Some(2.0), ..LoadReport::default() },
        );
        std::iter::from_fn(|| harness.submit(0).1).take(50).count()
    };
    assert!(sends(400) < sends(30));
}

#[test]
fn all_gateways_together_use_a_cold_engine_within_its_limit() {
    let config = large_fleet(40, Idempotent);
    let cold = config.slow_start.clone();
    let mut harnesses: Vec<_> =
        (0..40).map(|gateway| Harness::new(Site { gateway, ..config.clone() }, 1)).collect();
    let started = ProcessStart::Local(harnesses[0].now);
    let mut sends = Vec::new();
    for harness in &mut harnesses {
        let entry = EngineEntry { started, ..engine(0) };
        harness.event(Event::EngineList(ListKind::Delta, vec![entry]));
    }
    for _ in 0..90 {
        for harness in &mut harnesses {
            harness.now += ms(100);
            if let (id, Some(engine)) = harness.submit(0) {
                sends.push(harness.now);
                harness.end(&id, 0, &engine, Outcome::Completed);
            }
        }
    }
    let limit = 4.0 * 0.85 * cold.capacity * cold.multiple * cold.window.as_secs_f64();
    let most = sends.iter().map(|at| sends.iter().filter(|s| **s <= *at && **s + cold.window >= *at).count());
    let most = most.max().unwrap_or(0) as f64 * 0.1;
    assert!(most <= limit, "{most} of {limit}");
    assert!(sends.len() > 9, "only {} sends in nine seconds", sends.len());
}

/// Each gateway of a large fleet has little traffic; a cold engine's limit is used all the same.
#[test]
fn three_hundred_gateways_use_the_limit_of_a_cold_engine() {
    let config = large_fleet(300, Idempotent);
    let cold = config.slow_start.clone();
    let mut harnesses: Vec<_> =
        (0..300).map(|gateway| Harness::new(Site { gateway, ..config.clone() }, 1)).collect();
    let started = ProcessStart::Local(harnesses[0].now);
    for harness in &mut harnesses {
        let entry = EngineEntry { started, ..engine(0) };
        harness.event(Event::EngineList(ListKind::Delta, vec![entry]));
    }
    let mut sends = Vec::new();
    // One statement every 700 ms each, and none for half of the time.
    for at in 0..90 {
        for (number, harness) in harnesses.iter_mut().enumerate() {
            harness.now += ms(100);
            if (at + number) % 7 != 0 || (30..60).contains(&at) {
                continue;
            }
            if let (id, Some(engine)) = harness.submit(0) {
                sends.push(harness.now);
                harness.end(&id, 0, &engine, Outcome::Completed);
            }
        }
    }
    let limit = 4.0 * 0.85 * cold.capacity * cold.multiple * cold.window.as_secs_f64();
    let within = |at: &std::time::Duration| {
        sends.iter().filter(|s| **s <= *at && **s + cold.window >= *at).count() as f64
    };
    let most = sends.iter().map(within).fold(0.0, f64::max) * 0.1;
    assert!(most <= limit, "{most} of {limit}");
    let windows = 60.0 * 0.1 / cold.window.as_secs_f64();
    let used = sends.len() as f64 * 0.1 / (limit * windows);
    assert!(used > 0.06, "{used} of its limit, {} sends", sends.len());
}

#[test]
fn a_late_statement_gives_way() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 1);
    let takes = |harness: &mut Harness, left| {
        engine_of(&harness.statement(0, |s| s.time_left = ms(left)).1).is_some()
    };
    assert!((0..6).all(|_| takes(&mut harness, 4000)));
    assert!(!takes(&mut harness, 2000), "its SLO time has passed");
    assert!(takes(&mut harness, 300), "a client that set a short limit itself is not late");
    assert!(takes(&mut harness, 4000));
}

/// Result of a run in which some engines are lost: statements completed and rejected, sends to lost engines
/// in the second half of the outage, and whether the lost engines are used again after they return.
struct Loss {
    completed: usize,
    rejected: usize,
    wasted: usize,
    back: bool,
}

/// One client sends `rounds` statements one after the other while engines below `lost` end them with `how`
/// (`None`: never answer).
fn lose(engines: usize, lost: usize, how: Option<Outcome>, rounds: usize) -> Loss {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), engines);
    let is_lost = |engine: &Id| engine[1..].parse::<usize>().unwrap() < lost;
    let mut found = Loss { completed: 0, rejected: 0, wasted: 0, back: false };
    for round in 0..2 * rounds {
        let failing = round < rounds;
        let (id, actions) = harness.statement(0, |_| {});
        let (mut execution, mut next) = (0, engine_of(&actions));
        while let Some(engine) = next.take() {
            if !failing || !is_lost(&engine) {
                harness.now += ms(if engines > 8 { 5 } else { 20 });
                harness.end(&id, execution, &engine, Outcome::Completed);
                found.completed += usize::from(failing);
                found.back |= !failing && is_lost(&engine);
                break;
            }
            found.wasted += usize::from(round > rounds / 2);
            let actions = match how {
                Some(outcome) => harness.end(&id, execution, &engine, outcome),
                None => loop {
                    let actions = harness.advance(50);
                    if rejected(&actions) {
                        break actions;
                    }
                    if actions.contains(&Action::Cancel { id: id.clone(), execution }) {
                        break harness.end(&id, execution, &engine, Outcome::Cancelled);
                    }
                },
            };
            execution += 1;
            next = engine_of(&actions);
            found.rejected += usize::from(failing && rejected(&actions));
        }
        harness.advance(1);
    }
    found
}

#[test]
fn a_lost_part_of_a_fleet_costs_little_while_the_rest_is_responsive() {
    for engines in [2usize, 3, 4, 6, 12, 40] {
        let parts = [engines / 2, (2 * engines).div_ceil(3), (5 * engines / 6).max(1)];
        for lost in parts.into_iter().filter(|lost| *lost < engines) {
            for how in [Some(Outcome::Refused), Some(Outcome::Error), Some(Outcome::Reset), None] {
                let rounds = 400;
                let Loss { completed, rejected, wasted, back } = lose(engines, lost, how, rounds);
                let case = format!("{lost} of {engines}, {how:?}: {completed} {rejected} {wasted}");
                // A statement has four executions at most; failures may have run and count against the
                // built-in retry budget.
                let learning = match how {
                    Some(Outcome::Refused) => lost / 2,
                    Some(_) => 4 * lost,
                    None => 1 + lost / 5,
                };
                assert!(completed + rejected == rounds && rejected <= learning, "{case}");
                // Probing may cost one execution a pause and engine; with a silent engine it takes long.
                assert!(wasted <= if how.is_none() { rounds } else { rounds / 8 }, "{case}");
                assert!(back, "{case}");
            }
        }
    }
}

#[test]
fn all_engines_lost_for_a_while_are_used_at_once_when_they_return() {
    for engines in [2, 3, 6, 40] {
        for how in [Outcome::Refused, Outcome::Error] {
            let mut harness = Harness::new(site(vec![workload(Idempotent)]), engines);
            for _ in 0..200 {
                let (id, mut next) = harness.submit(0);
                for execution in 0.. {
                    let Some(engine) = next else { break };
                    next = engine_of(&harness.end(&id, execution, &engine, how));
                }
                harness.advance(50);
            }
            let mut served = 0;
            for _ in 0..100 {
                if let (id, Some(engine)) = harness.submit(0) {
                    harness.now += ms(10);
                    served += 1;
                    harness.end(&id, 0, &engine, Outcome::Completed);
                }
            }
            assert_eq!(served, 100, "{engines} engines, {how:?}");
        }
    }
}

#[test]
fn refused_connections_do_not_count_against_the_built_in_retry_budget() {
    let again = |outcome| {
        let mut harness = Harness::new(site(vec![workload(Idempotent)]), 400);
        let again = (0..60).filter(|_| {
            let (id, engine) = harness.submit(0);
            engine_of(&harness.end(&id, 0, &engine.unwrap(), outcome)).is_some()
        });
        again.count()
    };
    assert_eq!(again(Outcome::Refused), 60);
    // The budget allows 10 and another 3 for each 10 statements.
    assert!((20..40).contains(&again(Outcome::Error)), "{}", again(Outcome::Error));
    // A retry budget that the site states counts all of them.
    let mut config = site(vec![workload(Idempotent)]);
    config.retry_budget = Some(RetryBudget { window: ms(1000), min_retries: 2.0, retry_ratio: 0.0 });
    let mut harness = Harness::new(config, 400);
    let again = (0..9).filter(|_| {
        let (id, engine) = harness.submit(0);
        engine_of(&harness.end(&id, 0, &engine.unwrap(), Outcome::Refused)).is_some()
    });
    assert_eq!(again.count(), 2);
}

#[test]
fn a_few_milliseconds_or_a_pause_of_the_gateway_are_no_silence() {
    let cancels = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    let fast = |harness: &mut Harness| {
        for _ in 0..400 {
            let (id, engine) = harness.submit(0);
            let end = ended(&id, 0, &engine.unwrap(), Outcome::Completed);
            harness.event(Event::ExecutionEnded(ExecutionEnd {
                elapsed: std::time::Duration::from_micros(500),
                ..end
            }));
        }
    };
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 3);
    fast(&mut harness);
    let (_, actions) = harness.statement(0, |_| {});
    let short = actions.iter().any(|a| matches!(a, Action::Send { timeout, .. } if *timeout < ms(100)));
    assert!(!short, "{actions:?}");
    assert!(!cancels(&harness.advance(50)) && !cancels(&harness.advance(49)));
    // The event loop is paused for a second and a half.
    assert!(!cancels(&harness.pause(1550)));
    assert!(cancels(&harness.advance(50)), "an engine that stays silent is detected all the same");
}

#[test]
fn a_body_that_is_not_replayable_is_sent_once() {
    let mut harness = Harness::new(site(vec![workload(Idempotent), workload(NonIdempotent)]), 4);
    let send = |harness: &mut Harness, workload| {
        let (id, actions) = harness.statement(workload, |s| s.replayable = false);
        let engine = engine_of(&actions).unwrap();
        let late_timeout =
            actions.iter().any(|a| matches!(a, Action::Send { timeout, .. } if *timeout > ms(3900)));
        assert!(late_timeout, "it has no early timeout, as it can't be retried elsewhere");
        (id, engine)
    };
    use Outcome::*;
    for (at, again, aborts) in [(Refused, true, [false, false]), (Full, false, [false, false])]
        .into_iter()
        .chain([Error, Reset, TimedOut, Cancelled].map(|outcome| (outcome, false, [false, true])))
    {
        for (w, aborts) in aborts.into_iter().enumerate() {
            let (id, engine) = send(&mut harness, w);
            let then = harness.end(&id, 0, &engine, at);
            assert_eq!(engine_of(&then).is_some(), again, "{at:?}");
            let aborted = then.iter().any(|a| matches!(a, Action::Abort { .. }));
            assert!(aborted == aborts && rejected(&then) != (again || aborted), "{at:?} {w}: {then:?}");
        }
    }
    // The body is lost while the statement runs: proof that it never ran no longer allows a retry.
    let (id, engine) = harness.submit(1);
    harness.event(Event::BodyLost(id.clone()));
    assert!(rejected(&harness.end(&id, 0, &engine.unwrap(), Full)));
    // The execution on a silent engine is not cancelled, as it can't be retried elsewhere.
    let (id, _) = send(&mut harness, 0);
    let cancel = Action::Cancel { id, execution: 0 };
    assert!((0..60).all(|_| !harness.advance(50).contains(&cancel)));
}

/// The send guard is checked again right before the first byte is sent: events since the decision can revoke
/// it.
#[test]
fn events_since_a_decision_can_revoke_it() {
    use bramblewharf::scheduler::Rule;
    let start = || {
        let mut harness = Harness::new(site(vec![workload(Deduplicated(DedupScope::All))]), 3);
        let (id, engine) = harness.submit(0);
        (harness, id, engine.unwrap())
    };
    let (harness, id, _) = start();
    assert_eq!(harness.scheduler.recheck(harness.now, &id, 0), None);
    assert_eq!(harness.scheduler.recheck(harness.now + ms(4000), &id, 0), Some(Rule::OneAnswer));
    let (mut harness, id, _) = start();
    harness.event(Event::ClientAway(id.clone(), true));
    assert_eq!(harness.scheduler.recheck(harness.now, &id, 0), Some(Rule::Absent));
    harness.event(Event::ClientAway(id.clone(), false));
    assert_eq!(harness.scheduler.recheck(harness.now, &id, 0), None);
    let (mut harness, id, engine) = start();
    let mut drained: Vec<EngineEntry> = (0..3).map(common::engine).collect();
    drained.iter_mut().filter(|e| e.id == engine).for_each(|e| e.state = EngineState::Draining);
    harness.event(Event::EngineList(ListKind::Snapshot, drained));
    assert_eq!(harness.scheduler.recheck(harness.now, &id, 0), Some(Rule::Drain));
    // The deduplication window, 2 s here, starts with the first execution that may have run and includes
    // transit.
    let (mut harness, id, engine) = start();
    assert!(engine_of(&harness.end(&id, 0, &engine, Outcome::Error)).is_some());
    assert_eq!(harness.scheduler.recheck(harness.now + ms(1700), &id, 1), None);
    assert_eq!(harness.scheduler.recheck(harness.now + ms(1800), &id, 1), Some(Rule::NoDoubleEffect));
    let (mut harness, id, _) = start();
    harness.event(Event::ClientDisconnected(id.clone()));
    assert_eq!(harness.scheduler.recheck(harness.now, &id, 0), Some(Rule::OneAnswer));
}

#[test]
fn nothing_starts_for_a_client_that_is_away_or_beyond_the_shutdown() {
    let mut harness = Harness::new(site(vec![workload(Idempotent)]), 3);
    let (id, engine) = harness.submit(0);
    harness.event(Event::ClientAway(id.clone(), true));
    let failed = harness.end(&id, 0, &engine.unwrap(), Outcome::Error);
    assert!(rejected(&failed) && engine_of(&failed).is_none());
    // A statement is expected to take 200 ms here.
    harness.event(Event::Closing(harness.now + ms(300)));
    let (id, engine) = harness.submit(0);
    harness.now += ms(150);
    let failed = harness.end(&id, 0, &engine.unwrap(), Outcome::Error);
    assert!(rejected(&failed) && engine_of(&failed).is_none());
    assert!(rejected(&harness.statement(0, |_| {}).1));
}

/// A rejection states that a retry is safe: not once engines may have forgotten the statement.
#[test]
fn a_statement_beyond_the_deduplication_window_is_aborted() {
    for (after, harmless) in [(100, true), (1900, false)] {
        let mut harness = Harness::new(site(vec![workload(Deduplicated(DedupScope::All))]), 1);
        let (id, engine) = harness.submit(0);
        harness.event(Event::Closing(harness.now));
        harness.now += ms(after);
        assert_eq!(rejected(&harness.end(&id, 0, &engine.unwrap(), Outcome::Error)), harmless, "{after}");
    }
}

/// While polling fails, an engine that looks unhealthy may be draining, even if most do.
#[test]
fn while_polling_fails_no_unhealthy_engine_is_used_however_many_there_are() {
    for fails in [true, false] {
        let mut harness = Harness::new(site(vec![workload(Idempotent)]), 3);
        let (mut sends, mut left) = (0, 0);
        for n in 0..200 {
            if n == 60 && fails {
                harness.event(Event::EngineList(ListKind::Failed, Vec::new()));
            }
            if let (id, Some(engine)) = harness.submit(0) {
                // Two of three fail; the third is slow and so not responsive either.
                let bad = &*engine != "e0";
                sends += usize::from(bad && n >= 60);
                left += usize::from(!bad && n >= 60);
                let mut end = ended(&id, 0, &engine, if bad { Outcome::Reset } else { Outcome::Completed });
                end.elapsed = if bad { ms(1) } else { ms(2000) };
                let next = engine_of(&harness.event(Event::ExecutionEnded(end)));
                next.map(|next| harness.end(&id, 1, &next, Outcome::Completed));
            }
            harness.now += ms(50);
        }
        assert_eq!(sends == 0, fails, "{sends} sends to bad engines, {left} to the other");
    }
}

/// A site whose one workload loads table groups, with other gateways that report theirs.
fn loading_site() -> Site {
    let mut load = workload(Idempotent);
    load.holds_group = true;
    let mut site = site(vec![load]);
    (site.gateways, site.can_gossip) = (3, true);
    site
}

/// Guards against state that is kept for each table group that a client names: each load left an entry behind
/// for a minute, and each further one looked at all of them.
#[test]
fn loads_of_ever_new_table_groups_leave_nothing_behind() {
    let mut harness = Harness::new(loading_site(), 2);
    for group in 0..2000 {
        let (id, actions) = harness.statement(0, |statement| statement.table_group = Some(group));
        let engine = engine_of(&actions).expect("nothing else runs");
        if group % 3 == 0 {
            harness.event(Event::ClientDisconnected(id.clone()));
        }
        let outcome = if group % 3 == 0 { Outcome::Cancelled } else { Outcome::Completed };
        harness.end(&id, 0, &engine, outcome);
        harness.now += ms(1);
    }
    assert!(harness.scheduler.group_load_entries() <= 2, "{}", harness.scheduler.group_load_entries());
}

/// Guards against the same by what other gateways report: forged or not, it must not displace what this gateway
/// itself has in flight.
#[test]
fn reported_loads_of_ever_new_table_groups_are_bounded() {
    let mut harness = Harness::new(loading_site(), 2);
    let in_group = |harness: &mut Harness, group| {
        let (_, actions) = harness.statement(0, |statement| statement.table_group = Some(group));
        engine_of(&actions)
    };
    // Two loads of a group on each engine are as many as are allowed.
    let own: Vec<_> = (0..4).map(|_| in_group(&mut harness, 9_999)).collect();
    assert!(own.iter().all(Option::is_some));
    for group in 0..5000 {
        let loads = |engine: &str| Observation::Loads {
            engine: bramblewharf_turns::EngineHash::of(engine),
            group,
            loads: 1,
        };
        let message = GossipMessage { observations: vec![loads("e0"), loads("e1")], ..Default::default() };
        harness.event(Event::PeerMessage { from: 1 + (group % 2) as u32, message });
        harness.now += ms(1);
    }
    assert!(harness.scheduler.group_load_entries() <= 2 * 64, "{}", harness.scheduler.group_load_entries());
    assert_eq!(in_group(&mut harness, 9_999), None);
}
