//! A change of policy among several processes of the program, with what fails in the middle of it caused. That no two decide by
//! different revisions alone is read from the gateways' facts, what was forbidden from the engines' records.

use bramblewharf_rig::relay::PathState;
use bramblewharf_rig::world::{Clients, FleetSpec, World};
use std::path::Path;
use std::process::Child;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const CUT: PathState =
    PathState { cut: true, loss_percent: 0, duplicate_percent: 0, max_delay: Duration::ZERO };
const FIRST: &str = "workload \"lookup\" {\n  executions = 2\n}\nalone {\n  workload \"lookup\" {}\n}\n";
/// A gateway alone may do no more than this one permits: it needs to wait for nobody.
const WIDER: &str = "workload \"lookup\" {\n  executions = 3\n}\nalone {\n  workload \"lookup\" {}\n}\n";
const FORBIDDEN: &str = "workload \"lookup\" {\n  forbidden = true\n}\n";

fn world(spec: FleetSpec) -> World {
    let spec = FleetSpec { policy: Some(FIRST), ..spec };
    let mut world = World::new(spec, Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"))).unwrap();
    world.start_all().unwrap();
    all_by_one(&world, "the first policy");
    world
}

/// All that are there decide by one and the same, by leave.
fn all_by_one(world: &World, what: &str) {
    world.wait_until(what, |world| {
        let decides: Vec<_> = (0..world.spec.gateways).filter_map(|at| world.policy_state(at)).collect();
        !decides.is_empty() && decides.iter().all(|(how, by)| how == "by it" && *by == decides[0].1)
    });
}

fn by(world: &World, at: usize) -> String {
    world.policy_state(at).map(|(_, by)| by.concat()).unwrap_or_default()
}

fn crowd(world: &World) -> Vec<Clients> {
    (0..world.spec.gateways).map(|at| world.clients(at, 6, 100 * MS)).collect()
}

/// How a proposal ended: its exit code and what it said.
fn ended(child: Child) -> (i32, String) {
    let output = child.wait_with_output().unwrap();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn a_change_takes_hold_everywhere_and_what_it_forbids_ends() {
    let world = world(FleetSpec::default());
    let clients = crowd(&world);
    world.wait_until("statements", |_| clients.iter().all(|c| c.counts.completed() > 0));
    let before = by(&world, 3);
    let (code, said) = ended(world.propose(FORBIDDEN, Duration::from_secs(5)).unwrap());
    assert_eq!(code, 0, "{said}");
    all_by_one(&world, "the second policy");
    assert_ne!(by(&world, 3), before);
    let begun = world.started_executions();
    std::thread::sleep(500 * MS);
    assert_eq!(world.started_executions(), begun, "nothing that is forbidden begins any more");
    let rejected = |c: &Clients| c.counts.rejected.load(std::sync::atomic::Ordering::SeqCst);
    assert!(clients.iter().all(|c| rejected(c) > 0), "whoever comes is told so at once");
    // Back: the earlier text under a new number.
    let (code, said) = ended(world.propose(FIRST, Duration::from_secs(5)).unwrap());
    assert_eq!(code, 0, "{said}");
    world.wait_until("statements again", |world| world.started_executions() > begun);
    world.assert_invariants();
}

#[test]
fn a_text_that_one_gateway_cannot_read_is_withdrawn_and_says_why() {
    let world = world(FleetSpec::default());
    let before = by(&world, 0);
    let (code, said) = ended(world.propose("workload \"nothing\" {}\n", Duration::from_secs(5)).unwrap());
    assert_eq!(code, 3, "{said}");
    assert!(said.contains("workload.nothing: is no workload of this gateway's configuration"), "{said}");
    assert_eq!(by(&world, 0), before);
    // A key of one gateway's own is none of the fleet's: it is not even offered.
    let (code, _) = ended(world.propose("listen = \"127.0.0.1:1\"\n", Duration::from_secs(5)).unwrap());
    assert_eq!(code, 1);
    world.assert_invariants();
}

#[test]
fn one_that_is_down_is_waited_for_where_it_matters_and_catches_up() {
    let mut world = world(FleetSpec::default());
    world.kill(3);
    std::thread::sleep(world.spec.lease * 2);
    // Cut off, it could go on alone with what this forbids.
    let (code, said) = ended(world.propose(FORBIDDEN, Duration::from_secs(3)).unwrap());
    assert_eq!(code, 3, "{said}");
    assert!(said.contains("[3]") && said.contains("lookup is forbidden"), "{said}");
    let (code, said) = ended(world.propose(WIDER, Duration::from_secs(3)).unwrap());
    assert_eq!(code, 0, "{said}");
    world.start(3).unwrap();
    all_by_one(&world, "it has caught up");
    world.assert_invariants();
}

#[test]
fn the_keeper_killed_or_stopped_in_the_middle_leaves_no_half() {
    let mut world = world(FleetSpec { voters: 3, ..FleetSpec::default() });
    let _clients = crowd(&world);
    for (round, text) in [WIDER, FIRST].into_iter().enumerate() {
        let keeper = world.leader().unwrap();
        let before = by(&world, keeper);
        let proposal = world.propose(text, Duration::from_secs(10)).unwrap();
        // As soon as anybody decides by both.
        world.wait_until("both", |world| {
            (0..4).any(|at| world.policy_state(at).is_some_and(|(how, _)| how == "by both"))
                || by(world, keeper) != before
        });
        match round {
            0 => {
                world.kill(keeper);
                std::thread::sleep(300 * MS);
                world.start(keeper).unwrap();
            }
            _ => {
                world.pause(keeper);
                std::thread::sleep(world.spec.lease * 3);
                world.resume(keeper);
            }
        }
        let (code, said) = ended(proposal);
        assert_eq!(code, 0, "{said}");
        all_by_one(&world, "one again");
        assert_ne!(by(&world, 3), before);
    }
    world.assert_invariants();
}

#[test]
fn a_gateway_paused_in_one_phase_does_nothing_by_it_afterwards() {
    let world = world(FleetSpec::default());
    let clients = crowd(&world);
    world.wait_until("statements", |_| clients.iter().all(|c| c.counts.completed() > 0));
    world.pause(3);
    // It may be alone for all that the others know: that waits, and what it must not do alone is not made.
    let (code, said) = ended(world.propose(FORBIDDEN, Duration::from_secs(3)).unwrap());
    assert_eq!(code, 3, "{said}");
    let (code, said) = ended(world.propose(WIDER, Duration::from_secs(3)).unwrap());
    assert_eq!(code, 0, "{said}");
    world.resume(3);
    all_by_one(&world, "all go on by the same");
    world.assert_invariants();
}

#[test]
fn ways_cut_one_way_and_a_lossy_network() {
    let world = world(FleetSpec::default());
    let keeper = world.leader().unwrap();
    let other = (0..world.spec.voters).find(|at| *at != keeper).unwrap();
    // One seat hears the keeper and is not heard, and half of all that is said is lost.
    world.set_path(other, keeper, CUT);
    world.set_path(
        3,
        keeper,
        PathState { loss_percent: 50, duplicate_percent: 30, max_delay: 100 * MS, cut: false },
    );
    world.set_path(
        keeper,
        3,
        PathState { loss_percent: 50, duplicate_percent: 30, max_delay: 100 * MS, cut: false },
    );
    let (code, said) = ended(world.propose(WIDER, Duration::from_secs(20)).unwrap());
    assert_eq!(code, 0, "{said}");
    world.set_all_paths(PathState::default());
    all_by_one(&world, "all by the same");
    world.replay_all();
    let (code, said) = ended(world.propose(FIRST, Duration::from_secs(5)).unwrap());
    assert_eq!(code, 0, "{said}");
    all_by_one(&world, "all by the same, whatever comes again");
    world.assert_invariants();
}

#[test]
fn everybody_killed_and_back_is_on_the_last_one() {
    let mut world = world(FleetSpec::default());
    let (code, said) = ended(world.propose(WIDER, Duration::from_secs(5)).unwrap());
    assert_eq!(code, 0, "{said}");
    all_by_one(&world, "the second");
    let second = by(&world, 0);
    (0..4).for_each(|at| world.kill(at));
    world.start_all().unwrap();
    all_by_one(&world, "one again");
    assert_eq!(by(&world, 2), second);
    world.assert_invariants();
}

#[test]
fn a_step_that_is_left_out_is_found() {
    for _ in 0..6 {
        let world = world(FleetSpec { injected_bug: Some("skips-both"), ..FleetSpec::default() });
        let before = by(&world, 3);
        let (code, said) = ended(world.propose(WIDER, Duration::from_secs(5)).unwrap());
        assert_eq!(code, 0, "{said}");
        world.wait_until("all go over", |world| (0..4).all(|at| by(world, at) != before));
        if world.check_policy().is_err() {
            return;
        }
    }
    panic!("six times from one to the next at once, and nothing was seen");
}
