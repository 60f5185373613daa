//! Several processes of the program, a relay on each way between them, and what fails is caused: what must hold is read from
//! the gateways' facts and the engines' records.

use bramblewharf_rig::campaign::{for_processes, run};
use bramblewharf_rig::plan::generate;
use bramblewharf_rig::relay::{PathState, StreamState};
use bramblewharf_rig::world::{Clients, FleetSpec, World};
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const CUT: PathState =
    PathState { cut: true, loss_percent: 0, duplicate_percent: 0, max_delay: Duration::ZERO };

/// All started, and one of them keeping the leave.
fn world(plan: FleetSpec) -> World {
    let mut world = World::new(plan, Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"))).unwrap();
    world.start_all().unwrap();
    world.wait_until("a keeper", |world| world.leader().is_some());
    world
}

/// More than the whole can take, everywhere.
fn crowd(world: &World) -> Vec<Clients> {
    (0..world.spec.gateways).map(|at| world.clients(at, 16, 100 * MS)).collect()
}

/// All that can be given is given.
fn wait_full(world: &World) {
    let whole = world.spec.whole;
    world.wait_until("the whole given", |world| {
        (0..world.spec.gateways).map(|at| world.granted(at)).sum::<u64>() >= whole - whole / 12
    });
}

#[test]
fn the_whole_is_used_and_never_more() {
    let world = world(FleetSpec::default());
    let clients = crowd(&world);
    wait_full(&world);
    let used = world.utilization(Duration::from_secs(2));
    world.assert_invariants();
    assert!(used > 0.8, "{used} of the whole in use");
    assert!(clients.iter().all(|c| c.counts.completed() > 0));
    // Who had to be turned away was told so, at once.
    assert!(clients.iter().all(|c| c.counts.late.load(std::sync::atomic::Ordering::SeqCst) == 0));
}

#[test]
fn a_surge_that_walks_finds_what_the_others_do_not_need() {
    let world = world(FleetSpec::default());
    let floor = 3;
    for at in 0..world.spec.gateways {
        let clients = world.clients(at, 32, 100 * MS);
        // The pool of twelve and the own floor, less what is spread among the others.
        world.wait_until("the pool", |world| world.granted(at) >= floor + 9);
        drop(clients);
    }
    world.assert_invariants();
}

#[test]
fn a_keeper_killed_paused_or_deaf_gives_no_leave_twice() {
    let mut world = world(FleetSpec::default());
    let _clients = crowd(&world);
    wait_full(&world);
    // Killed, and back under its name with nothing.
    let keeper = world.leader().unwrap();
    world.kill(keeper);
    world.wait_until("another keeper", |world| world.leader().is_some_and(|other| other != keeper));
    world.start(keeper).unwrap();
    wait_full(&world);
    // Stopped for longer than its right, and let go on with what lay in its buffers.
    let keeper = world.leader().unwrap();
    world.pause(keeper);
    let spec = world.spec.clone();
    let others: Vec<usize> = (0..spec.voters).filter(|at| *at != keeper).collect();
    let other = |world: &World| {
        others
            .iter()
            .any(|at| world.status(*at)["seat"]["keeper"].as_u64().is_some_and(|k| k != keeper as u64))
    };
    world.wait_until("a keeper beside the one that is paused", other);
    world.resume(keeper);
    wait_full(&world);
    // It says, and nobody hears it; then the reverse.
    for (heard, said) in [(PathState::default(), CUT), (CUT, PathState::default())] {
        let keeper = world.leader().unwrap();
        world.set_paths_of(keeper, heard, said);
        world.wait_until("a keeper that is heard", |world| {
            world.leader().is_some_and(|other| other != keeper)
        });
        world.set_paths_of(keeper, PathState::default(), PathState::default());
        wait_full(&world);
    }
    world.assert_invariants();
}

#[test]
fn a_gateway_paused_with_leave_in_hand_sends_nothing_by_it_afterwards() {
    let world = world(FleetSpec::default());
    let _clients = crowd(&world);
    wait_full(&world);
    // The last has no seat. Its clients go on asking, and find it with a queue when it wakes up.
    let paused = world.spec.gateways - 1;
    let had = world.granted(paused);
    world.pause(paused);
    let whole = world.spec.whole;
    world.wait_until("its part with the others", |world| {
        (0..paused).map(|at| world.granted(at)).sum::<u64>() >= whole - 3 && world.granted(paused) < had
    });
    world.resume(paused);
    wait_full(&world);
    world.assert_invariants();
}

#[test]
fn kills_in_a_row_and_a_roll_of_all() {
    let mut world = world(FleetSpec::default());
    let _clients = crowd(&world);
    wait_full(&world);
    let last = world.spec.gateways - 1;
    for _ in 0..6 {
        world.kill(last);
        world.start(last).unwrap();
    }
    world.assert_invariants();
    for at in 0..world.spec.gateways {
        world.terminate(at);
        world.start(at).unwrap();
        world.wait_until("a keeper", |world| world.leader().is_some());
    }
    wait_full(&world);
    // All at once: whoever starts knows nothing, and gives nothing before it can know.
    (0..world.spec.gateways).for_each(|at| world.kill(at));
    world.start_all().unwrap();
    wait_full(&world);
    world.assert_invariants();
}

#[test]
fn without_seats_all_go_on_by_their_floors() {
    let mut world = world(FleetSpec::default());
    let clients = crowd(&world);
    wait_full(&world);
    (0..world.spec.voters).for_each(|at| world.kill(at));
    let last = world.spec.gateways - 1;
    world.wait_until("its floor alone", |world| world.granted(last) == 3);
    let before = clients[last].counts.completed();
    world.wait_until("statements completed on the floor", |_| clients[last].counts.completed() > before + 20);
    (0..world.spec.voters).for_each(|at| world.start(at).unwrap());
    wait_full(&world);
    world.assert_invariants();
}

#[test]
fn a_lossy_slow_and_repeating_network_breaks_nothing() {
    let world = world(FleetSpec::default());
    let clients = crowd(&world);
    wait_full(&world);
    for lost in [10, 30, 50] {
        world.set_all_paths(PathState {
            loss_percent: lost,
            duplicate_percent: 30,
            max_delay: 300 * MS,
            cut: false,
        });
        world.replay_all();
        let before: u64 = clients.iter().map(|c| c.counts.completed()).sum();
        world.wait_until("statements completed", |_| {
            clients.iter().map(|c| c.counts.completed()).sum::<u64>() > before + 200
        });
    }
    world.set_all_paths(PathState::default());
    wait_full(&world);
    world.assert_invariants();
}

#[test]
fn two_halves_with_the_keeper_in_the_smaller() {
    let world = world(FleetSpec { gateways: 5, whole: 30, ..FleetSpec::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    let keeper = world.leader().unwrap();
    let others: Vec<usize> = (0..5).filter(|at| *at != keeper && *at != 4).collect();
    for other in &others {
        for one in [keeper, 4] {
            world.set_path(one, *other, CUT);
            world.set_path(*other, one, CUT);
        }
    }
    world.wait_until("a keeper in the larger", |world| others.contains(&world.leader().unwrap_or(9)));
    world.set_all_paths(PathState::default());
    wait_full(&world);
    world.assert_invariants();
}

/// Three statements at once among six gateways: nobody has any for good, and everybody has some in turn.
#[test]
fn a_budget_smaller_than_the_fleet_goes_round() {
    let world = world(FleetSpec { gateways: 6, whole: 3, floor_percent: 0, ..FleetSpec::default() });
    let clients = crowd(&world);
    world.wait_until("something completed everywhere", |_| clients.iter().all(|c| c.counts.completed() >= 5));
    world.assert_invariants();
}

#[test]
fn more_gateways_at_once_take_their_part_and_leave_it_again() {
    let mut world = World::new(
        FleetSpec { gateways: 9, whole: 54, ..FleetSpec::default() },
        Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig")),
    )
    .unwrap();
    (0..3).for_each(|at| world.start(at).unwrap());
    world.wait_until("a keeper", |world| world.leader().is_some());
    let _clients = crowd(&world);
    // Their floors and the pool; the floors of the six others are theirs.
    world.wait_until("all there is for three", |world| {
        (0..3).map(|at| world.granted(at)).sum::<u64>() >= 54 - 18 - 3
    });
    (3..9).for_each(|at| world.start(at).unwrap());
    wait_full(&world);
    (3..9).for_each(|at| world.terminate(at));
    world.wait_until("all there is for three", |world| {
        (0..3).map(|at| world.granted(at)).sum::<u64>() >= 54 - 18 - 3
    });
    world.assert_invariants();
}

#[test]
fn clocks_one_in_a_hundred_fast_and_slow() {
    let clocks = [(0, 10), (1, -10), (2, 10), (3, -10)].into();
    let mut world = world(FleetSpec { clock_drift: clocks, ..FleetSpec::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    let last = world.spec.gateways - 1;
    for at in [last, 0] {
        world.set_paths_of(at, CUT, CUT);
        world.wait_until("its floor alone", |world| world.granted(at) == 3);
        world.set_paths_of(at, PathState::default(), PathState::default());
        world.kill(at);
        world.start(at).unwrap();
        wait_full(&world);
    }
    world.assert_invariants();
}

#[test]
fn engines_that_fall_silent_for_one_gateway_hold_its_part_no_longer_than_they_can_run() {
    let world = world(FleetSpec::default());
    let clients = crowd(&world);
    wait_full(&world);
    let last = world.spec.gateways - 1;
    world.set_streams_of_gateway(last, StreamState::Stalled);
    let before = clients[0].counts.completed();
    world.wait_until("the others served", |_| clients[0].counts.completed() > before + 50);
    world.set_streams_of_gateway(last, StreamState::Refused);
    world.wait_until("the others served", |_| clients[0].counts.completed() > before + 100);
    world.set_streams_of_gateway(last, StreamState::Open);
    let before = clients[last].counts.completed();
    world.wait_until("the one served again", |_| clients[last].counts.completed() > before + 20);
    world.assert_invariants();
}

/// Guards against a part that is free before its engine has read the statement (`docs/incidents/more-in-use-than-the-whole.md`).
#[test]
fn what_an_engine_reads_late_counts_until_it_can_not_begin_any_more() {
    let world = world(FleetSpec { statement_time: 500 * MS, ..FleetSpec::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    for _ in 0..6 {
        world.set_streams_to_engine(0, StreamState::Stalled);
        std::thread::sleep(1800 * MS);
        world.set_streams_to_engine(0, StreamState::Open);
        std::thread::sleep(700 * MS);
        world.assert_invariants();
    }
}

/// Guards against a part that is free because an engine answers new calls, while one of its older connections holds the statement.
#[test]
fn what_old_connections_hold_while_new_ones_answer_counts() {
    let world = world(FleetSpec { statement_time: 500 * MS, ..FleetSpec::default() });
    let last = world.spec.gateways - 1;
    let _busy: Vec<Clients> = (0..last).map(|at| world.clients(at, 16, 100 * MS)).collect();
    wait_full(&world);
    // All that it sends now is not read within a lease, a quarter of it and the longest statement.
    world.set_streams_of_gateway(last, StreamState::Stalled);
    let _clients = world.clients(last, 16, 100 * MS);
    std::thread::sleep(200 * MS);
    world.set_streams_of_gateway(last, StreamState::ExistingStalled);
    std::thread::sleep(1700 * MS);
    world.set_streams_of_gateway(last, StreamState::Open);
    std::thread::sleep(700 * MS);
    world.assert_invariants();
}

/// Guards against a killed gateway's part that is free before engines have read what it sent (`docs/incidents/killed-with-statements-out.md`).
#[test]
fn what_a_killed_gateway_sent_counts_until_engines_can_not_begin_it_any_more() {
    let mut world = world(FleetSpec { statement_time: 500 * MS, ..FleetSpec::default() });
    let _clients = crowd(&world);
    let last = world.spec.gateways - 1;
    for _ in 0..3 {
        wait_full(&world);
        world.set_streams_of_gateway(last, StreamState::Stalled);
        std::thread::sleep(450 * MS);
        world.kill(last);
        world.set_streams_of_gateway(last, StreamState::ExistingStalled);
        world.start(last).unwrap();
        std::thread::sleep(1600 * MS);
        world.set_streams_of_gateway(last, StreamState::Open);
        std::thread::sleep(700 * MS);
        world.assert_invariants();
    }
}

#[test]
fn plans_of_fixed_seeds_break_nothing() {
    for seed in [11, 12] {
        let plan = for_processes(generate(seed, 5, 3, Duration::from_secs(6), 8));
        let fleet = FleetSpec { gateways: 5, whole: 30, seed, ..FleetSpec::default() };
        let outcome = run(fleet, &plan, Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"))).unwrap();
        assert_eq!(outcome.violation, None, "seed {seed}: {plan:?}");
        assert!(outcome.completed > 0);
    }
}

/// The checkers are checked: processes that make a known mistake are found out.
#[test]
fn a_part_given_anew_at_once_is_found() {
    let world = world(FleetSpec { injected_bug: Some("gives-anew-at-once"), ..FleetSpec::default() });
    let _clients = crowd(&world);
    wait_full(&world);
    let last = world.spec.gateways - 1;
    for _ in 0..8 {
        world.pause(last);
        // The others have its part while its leave lasts.
        let found = world.holds_within(Duration::from_secs(2), |world| world.check_invariants().is_err());
        world.resume(last);
        if found {
            return;
        }
        world.holds_within(Duration::from_secs(10), |world| world.granted(last) >= 5);
    }
    panic!("eight times a part was given while it was held, and nothing was seen");
}

#[test]
fn a_keeper_that_does_not_wait_out_the_last_is_found() {
    // A gateway takes its time to leave; what the one that is cut off has must outlast that.
    let lease = Duration::from_secs(3);
    let mut world = world(FleetSpec { injected_bug: Some("no-waiting-out"), lease, ..FleetSpec::default() });
    let _clients = crowd(&world);
    for _ in 0..8 {
        wait_full(&world);
        let keeper = world.leader().unwrap();
        // The gateway that has no seat is cut off with its leave in hand, so that the next keeper hears nothing of it.
        world.set_paths_of(world.spec.gateways - 1, CUT, CUT);
        world.terminate(keeper);
        let found = world.holds_within(Duration::from_secs(4), |world| world.check_invariants().is_err());
        if found {
            return;
        }
        world.set_all_paths(PathState::default());
        world.start(keeper).unwrap();
    }
    panic!("eight times a new keeper gave what others had, and nothing was seen");
}
