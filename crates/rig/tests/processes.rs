//! Several processes of the program, a relay on each way between them, and what fails is caused: what must hold is read from
//! the gateways' facts and the engines' records.

use bramblewharf_rig::campaign::{for_processes, play};
use bramblewharf_rig::plan::draw;
use bramblewharf_rig::relay::{Streams, Way};
use bramblewharf_rig::world::{Clients, Plan, World};
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const CUT: Way = Way { cut: true, lost: 0, doubled: 0, late: Duration::ZERO };

/// All started, and one of them keeping the leave.
fn world(plan: Plan) -> World {
    let mut world = World::new(plan, Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"))).unwrap();
    world.start_all().unwrap();
    world.wait("a keeper", |world| world.keeper().is_some());
    world
}

/// More than the whole can take, everywhere.
fn crowd(world: &World) -> Vec<Clients> {
    (0..world.plan.gateways).map(|at| world.clients(at, 16, 100 * MS)).collect()
}

/// All that can be given is given.
fn wait_full(world: &World) {
    let whole = world.plan.whole;
    world.wait("the whole given", |world| {
        (0..world.plan.gateways).map(|at| world.has(at)).sum::<u64>() >= whole - whole / 12
    });
}

#[test]
fn the_whole_is_used_and_never_more() {
    let world = world(Plan::default());
    let clients = crowd(&world);
    wait_full(&world);
    let used = world.used_during(Duration::from_secs(2));
    world.check();
    assert!(used > 0.8, "{used} of the whole in use");
    assert!(clients.iter().all(|c| c.tally.completed() > 0));
    // Who had to be turned away was told so, at once.
    assert!(clients.iter().all(|c| c.tally.late.load(std::sync::atomic::Ordering::SeqCst) == 0));
}

#[test]
fn a_surge_that_walks_finds_what_the_others_do_not_need() {
    let world = world(Plan::default());
    let floor = 3;
    for at in 0..world.plan.gateways {
        let clients = world.clients(at, 32, 100 * MS);
        // The pool of twelve and the own floor, less what is spread among the others.
        world.wait("the pool", |world| world.has(at) >= floor + 9);
        drop(clients);
    }
    world.check();
}

#[test]
fn a_keeper_killed_paused_or_deaf_gives_no_leave_twice() {
    let mut world = world(Plan::default());
    let _clients = crowd(&world);
    wait_full(&world);
    // Killed, and back under its name with nothing.
    let keeper = world.keeper().unwrap();
    world.kill(keeper);
    world.wait("another keeper", |world| world.keeper().is_some_and(|other| other != keeper));
    world.start(keeper).unwrap();
    wait_full(&world);
    // Stopped for longer than its right, and let go on with what lay in its buffers.
    let keeper = world.keeper().unwrap();
    world.pause(keeper);
    let plan = world.plan.clone();
    let others: Vec<usize> = (0..plan.seats).filter(|at| *at != keeper).collect();
    let other = |world: &World| {
        others
            .iter()
            .any(|at| world.status(*at)["seat"]["keeper"].as_u64().is_some_and(|k| k != keeper as u64))
    };
    world.wait("a keeper beside the one that is paused", other);
    world.go_on(keeper);
    wait_full(&world);
    // It says, and nobody hears it; then the reverse.
    for (heard, said) in [(Way::default(), CUT), (CUT, Way::default())] {
        let keeper = world.keeper().unwrap();
        world.set_around(keeper, heard, said);
        world.wait("a keeper that is heard", |world| world.keeper().is_some_and(|other| other != keeper));
        world.set_around(keeper, Way::default(), Way::default());
        wait_full(&world);
    }
    world.check();
}

#[test]
fn a_gateway_paused_with_leave_in_hand_sends_nothing_by_it_afterwards() {
    let world = world(Plan::default());
    let _clients = crowd(&world);
    wait_full(&world);
    // The last has no seat. Its clients go on asking, and find it with a queue when it wakes up.
    let paused = world.plan.gateways - 1;
    let had = world.has(paused);
    world.pause(paused);
    let whole = world.plan.whole;
    world.wait("its part with the others", |world| {
        (0..paused).map(|at| world.has(at)).sum::<u64>() >= whole - 3 && world.has(paused) < had
    });
    world.go_on(paused);
    wait_full(&world);
    world.check();
}

#[test]
fn kills_in_a_row_and_a_roll_of_all() {
    let mut world = world(Plan::default());
    let _clients = crowd(&world);
    wait_full(&world);
    let last = world.plan.gateways - 1;
    for _ in 0..6 {
        world.kill(last);
        world.start(last).unwrap();
    }
    world.check();
    for at in 0..world.plan.gateways {
        world.leave(at);
        world.start(at).unwrap();
        world.wait("a keeper", |world| world.keeper().is_some());
    }
    wait_full(&world);
    // All at once: whoever starts knows nothing, and gives nothing before it can know.
    (0..world.plan.gateways).for_each(|at| world.kill(at));
    world.start_all().unwrap();
    wait_full(&world);
    world.check();
}

#[test]
fn without_seats_all_go_on_by_their_floors() {
    let mut world = world(Plan::default());
    let clients = crowd(&world);
    wait_full(&world);
    (0..world.plan.seats).for_each(|at| world.kill(at));
    let last = world.plan.gateways - 1;
    world.wait("its floor alone", |world| world.has(last) == 3);
    let before = clients[last].tally.completed();
    world.wait("statements completed on the floor", |_| clients[last].tally.completed() > before + 20);
    (0..world.plan.seats).for_each(|at| world.start(at).unwrap());
    wait_full(&world);
    world.check();
}

#[test]
fn a_lossy_slow_and_repeating_network_breaks_nothing() {
    let world = world(Plan::default());
    let clients = crowd(&world);
    wait_full(&world);
    for lost in [10, 30, 50] {
        world.set_all(Way { lost, doubled: 30, late: 300 * MS, cut: false });
        world.replay_all();
        let before: u64 = clients.iter().map(|c| c.tally.completed()).sum();
        world.wait("statements completed", |_| {
            clients.iter().map(|c| c.tally.completed()).sum::<u64>() > before + 200
        });
    }
    world.set_all(Way::default());
    wait_full(&world);
    world.check();
}

#[test]
fn two_halves_with_the_keeper_in_the_smaller() {
    let world = world(Plan { gateways: 5, whole: 30, ..Plan::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    let keeper = world.keeper().unwrap();
    let others: Vec<usize> = (0..5).filter(|at| *at != keeper && *at != 4).collect();
    for other in &others {
        for one in [keeper, 4] {
            world.set_way(one, *other, CUT);
            world.set_way(*other, one, CUT);
        }
    }
    world.wait("a keeper in the larger", |world| others.contains(&world.keeper().unwrap_or(9)));
    world.set_all(Way::default());
    wait_full(&world);
    world.check();
}

/// Three statements at once among six gateways: nobody has any for good, and everybody has some in turn.
#[test]
fn a_budget_smaller_than_the_fleet_goes_round() {
    let world = world(Plan { gateways: 6, whole: 3, floor_percent: 0, ..Plan::default() });
    let clients = crowd(&world);
    world.wait("something completed everywhere", |_| clients.iter().all(|c| c.tally.completed() >= 5));
    world.check();
}

#[test]
fn more_gateways_at_once_take_their_part_and_leave_it_again() {
    let mut world = World::new(
        Plan { gateways: 9, whole: 54, ..Plan::default() },
        Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig")),
    )
    .unwrap();
    (0..3).for_each(|at| world.start(at).unwrap());
    world.wait("a keeper", |world| world.keeper().is_some());
    let _clients = crowd(&world);
    // Their floors and the pool; the floors of the six others are theirs.
    world.wait("all there is for three", |world| (0..3).map(|at| world.has(at)).sum::<u64>() >= 54 - 18 - 3);
    (3..9).for_each(|at| world.start(at).unwrap());
    wait_full(&world);
    (3..9).for_each(|at| world.leave(at));
    world.wait("all there is for three", |world| (0..3).map(|at| world.has(at)).sum::<u64>() >= 54 - 18 - 3);
    world.check();
}

#[test]
fn clocks_one_in_a_hundred_fast_and_slow() {
    let clocks = [(0, 10), (1, -10), (2, 10), (3, -10)].into();
    let mut world = world(Plan { clocks, ..Plan::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    let last = world.plan.gateways - 1;
    for at in [last, 0] {
        world.set_around(at, CUT, CUT);
        world.wait("its floor alone", |world| world.has(at) == 3);
        world.set_around(at, Way::default(), Way::default());
        world.kill(at);
        world.start(at).unwrap();
        wait_full(&world);
    }
    world.check();
}

#[test]
fn engines_that_fall_silent_for_one_gateway_hold_its_part_no_longer_than_they_can_run() {
    let world = world(Plan::default());
    let clients = crowd(&world);
    wait_full(&world);
    let last = world.plan.gateways - 1;
    world.set_engines(last, Streams::Silent);
    let before = clients[0].tally.completed();
    world.wait("the others served", |_| clients[0].tally.completed() > before + 50);
    world.set_engines(last, Streams::Gone);
    world.wait("the others served", |_| clients[0].tally.completed() > before + 100);
    world.set_engines(last, Streams::Well);
    let before = clients[last].tally.completed();
    world.wait("the one served again", |_| clients[last].tally.completed() > before + 20);
    world.check();
}

/// Guards against a part that is free before its engine has read the statement (`docs/incidents/more-in-use-than-the-whole.md`).
#[test]
fn what_an_engine_reads_late_counts_until_it_can_not_begin_any_more() {
    let world = world(Plan { lasts: 500 * MS, ..Plan::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    for _ in 0..6 {
        world.set_engine(0, Streams::Silent);
        std::thread::sleep(1800 * MS);
        world.set_engine(0, Streams::Well);
        std::thread::sleep(700 * MS);
        world.check();
    }
}

/// Guards against a part that is free because an engine answers new calls, while one of its older connections holds the statement.
#[test]
fn what_old_connections_hold_while_new_ones_answer_counts() {
    let world = world(Plan { lasts: 500 * MS, ..Plan::default() });
    let last = world.plan.gateways - 1;
    let _busy: Vec<Clients> = (0..last).map(|at| world.clients(at, 16, 100 * MS)).collect();
    wait_full(&world);
    // All that it sends now is not read within a lease, a quarter of it and the longest statement.
    world.set_engines(last, Streams::Silent);
    let _clients = world.clients(last, 16, 100 * MS);
    std::thread::sleep(200 * MS);
    world.set_engines(last, Streams::Held);
    std::thread::sleep(1700 * MS);
    world.set_engines(last, Streams::Well);
    std::thread::sleep(700 * MS);
    world.check();
}

/// Guards against a killed gateway's part that is free before engines have read what it sent (`docs/incidents/killed-with-statements-out.md`).
#[test]
fn what_a_killed_gateway_sent_counts_until_engines_can_not_begin_it_any_more() {
    let mut world = world(Plan { lasts: 500 * MS, ..Plan::default() });
    let _clients = crowd(&world);
    let last = world.plan.gateways - 1;
    for _ in 0..3 {
        wait_full(&world);
        world.set_engines(last, Streams::Silent);
        std::thread::sleep(450 * MS);
        world.kill(last);
        world.set_engines(last, Streams::Held);
        world.start(last).unwrap();
        std::thread::sleep(1600 * MS);
        world.set_engines(last, Streams::Well);
        std::thread::sleep(700 * MS);
        world.check();
    }
}

#[test]
fn plans_of_fixed_seeds_break_nothing() {
    for seed in [11, 12] {
        let plan = for_processes(draw(seed, 5, 3, Duration::from_secs(6), 8));
        let fleet = Plan { gateways: 5, whole: 30, seed, ..Plan::default() };
        let outcome = play(fleet, &plan, Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"))).unwrap();
        assert_eq!(outcome.broken, None, "seed {seed}: {plan:?}");
        assert!(outcome.completed > 0);
    }
}

/// The checkers are checked: processes that make a known mistake are found out.
#[test]
fn a_part_given_anew_at_once_is_found() {
    let world = world(Plan { wrong: Some("gives-anew-at-once"), ..Plan::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    let last = world.plan.gateways - 1;
    for _ in 0..8 {
        world.pause(last);
        // The others have its part while its leave lasts.
        let found = world.becomes(Duration::from_secs(2), |world| world.verdict().is_err());
        world.go_on(last);
        if found {
            return;
        }
        world.becomes(Duration::from_secs(10), |world| world.has(last) >= 5);
    }
    panic!("eight times a part was given while it was held, and nothing was seen");
}

#[test]
fn a_keeper_that_does_not_wait_out_the_last_is_found() {
    // A gateway takes its time to leave; what the one that is cut off has must outlast that.
    let lease = Duration::from_secs(3);
    let mut world = world(Plan { wrong: Some("no-waiting-out"), lease, ..Plan::default() });
    let _clients = crowd(&world);
    for _ in 0..8 {
        wait_full(&world);
        let keeper = world.keeper().unwrap();
        // The gateway that has no seat is cut off with its leave in hand, so that the next keeper hears nothing of it.
        world.set_around(world.plan.gateways - 1, CUT, CUT);
        world.leave(keeper);
        let found = world.becomes(Duration::from_secs(4), |world| world.verdict().is_err());
        if found {
            return;
        }
        world.set_all(Way::default());
        world.start(keeper).unwrap();
    }
    panic!("eight times a new keeper gave what others had, and nothing was seen");
}
