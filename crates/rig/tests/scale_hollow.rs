//! A small edition of `scale hollow`: what it counts and which states it comes to, with no times but the bounds of waiting.

use bramblewharf_rig::scale::hollow::fleet::{seats_taken, Fleet, Plan};
use bramblewharf_rig::scale::hollow::gateway::{KINDS, TO_TOOL};
use bramblewharf_rig::scale::hollow::{plans, Args};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bramblewharf-rig");
/// Nothing is waited for longer unless something is broken.
const LONG: Duration = Duration::from_secs(40);
const LEASE: Duration = Duration::from_secs(1);
/// A holder asks for leave and for the policy some four times a lease, and is answered; three seats agree on a keeper besides.
const MOST_A_LEASE: f64 = 40.0;
/// Between a gigabyte and a machine that has all that could be wanted.
const ROOM: (u64, u64) = (64_000_000_000, 64_000_000_000);

fn args() -> Args {
    Args {
        gateways: Some(12),
        engines: Some(8),
        // So few that gateways speak of engines.
        cores: 2,
        processes: 1,
        seats: 3,
        lease: 1000,
        statements_a_second: 5,
        seconds: 1,
        seed: 1,
        json: false,
        ends_with_its_parent: false,
    }
}

fn start() -> Fleet {
    let plan: Plan = plans(&args(), ROOM, Path::new(PROGRAM)).unwrap().remove(0);
    let fleet = Fleet::start(plan).unwrap();
    becomes(&fleet, "leave everywhere", Fleet::all_have_leave);
    becomes(&fleet, "the first policy everywhere", |fleet| fleet.all_decide_by(1));
    fleet
}

fn becomes(fleet: &Fleet, what: &str, holds: impl Fn(&Fleet) -> bool) {
    assert!(
        fleet.wait(LONG, holds).is_some(),
        "never: {what}: keeper {:?}, {:?}",
        fleet.keeper(),
        fleet.shown()
    );
}

#[test]
fn a_policy_proposed_is_in_force_at_each_and_another_gives_leave_after_the_keeper() {
    let mut fleet = start();
    // The real one has to see what the hollow ones do.
    becomes(&fleet, "all members seen by the real one", |fleet| fleet.shown()[0].members == 12);
    let sent = |fleet: &Fleet| -> u64 {
        fleet.shared.seen.iter().flat_map(|seen| &seen.sent).map(|sent| sent.load(Relaxed)).sum()
    };
    let (given, before, began) = (fleet.given(), sent(&fleet), Instant::now());
    becomes(&fleet, "eight answers at each", |fleet| fleet.given_since(&given, 8) == 12);
    let leases = began.elapsed().as_secs_f64() / LEASE.as_secs_f64();
    let each = (sent(&fleet) - before) as f64 / fleet.hollow() as f64 / leases;
    println!("{each:.1} datagrams a hollow gateway a lease");
    assert!((1.0..MOST_A_LEASE).contains(&each), "{each} datagrams a gateway a lease");

    let told = |fleet: &Fleet| -> u64 {
        fleet.shared.seen.iter().map(|seen| seen.sent[TO_TOOL].load(Relaxed)).sum()
    };
    let (before, began) = (told(&fleet), Instant::now());
    let wider = fleet.wider();
    let proposal = fleet.propose(&wider, Duration::from_secs(10)).unwrap();
    becomes(&fleet, "the second policy everywhere", |fleet| fleet.all_decide_by(2));
    let proposal = proposal.join().unwrap();
    assert_eq!(proposal.code, 0, "{}", proposal.said);
    // Whoever proposes asks five times a second how it stands: answers to it, that come by thousands, keep leave from the others.
    let (told, most) = (told(&fleet) - before, 60.0 + 40.0 * began.elapsed().as_secs_f64());
    assert!((told as f64) < most, "{told} datagrams to the tool, {most} at the most");

    let old = fleet.keeper().unwrap();
    fleet.shared.seen[old].ended.store(true, Relaxed);
    becomes(&fleet, "the end of the keeper", |fleet| !fleet.shared.seen[old].keeps.load(Relaxed));
    let given = fleet.given();
    // Of the old one's answers no more than one can be on its way to each.
    becomes(&fleet, "leave of another", |fleet| fleet.given_since(&given, 2) == 11);
    assert!(fleet.keeper().is_some_and(|new| new != old));
    becomes(&fleet, "the policy as before", |fleet| fleet.all_decide_by(2));
}

#[test]
fn one_that_is_cut_off_does_not_keep_a_policy_from_the_others_and_catches_up() {
    let mut fleet = start();
    assert_eq!(fleet.cut(5, true), 1);
    let wider = fleet.wider();
    let proposal = fleet.propose(&wider, Duration::from_secs(10)).unwrap();
    becomes(&fleet, "the second policy at all that are there", |fleet| fleet.all_decide_by(2));
    assert_eq!(proposal.join().unwrap().code, 0);
    assert_eq!(fleet.decide_by(2), (10, 1));
    fleet.cut(5, false);
    becomes(&fleet, "the second policy at the one that is back", |fleet| fleet.decide_by(2) == (11, 1));
}

#[test]
fn an_ill_engine_is_told_of_and_used_again() {
    let fleet = start();
    let shared = &fleet.shared;
    let words = KINDS.iter().position(|kind| *kind == "words").unwrap();
    let count = |of: usize| shared.seen.iter().map(|seen| seen.sent[of].load(Relaxed)).sum::<u64>();
    let used = || shared.seen.iter().map(|seen| seen.watched.load(Relaxed)).sum::<u64>();
    let completed = || shared.seen.iter().map(|seen| seen.completed.load(Relaxed)).sum::<u64>();
    shared.watched[1].store(true, Relaxed);
    shared.rate.store(20, Relaxed);
    becomes(&fleet, "statements at the engine", |_| used() > 20);
    let executions = shared.seen.iter().map(|seen| seen.executions.load(Relaxed)).sum::<u64>();
    // On a machine that stands still for a moment one or two may take an engine for silent.
    assert!(count(words) * 10 < executions, "{} words of {executions} executions, all well", count(words));
    shared.ill[1].store(true, Relaxed);
    becomes(&fleet, "words of it", |_| count(words) > 20);
    let before = completed();
    becomes(&fleet, "statements completed elsewhere", |_| completed() > before + 200);
    shared.ill[1].store(false, Relaxed);
    let before = used();
    becomes(&fleet, "it is used again", |_| used() > before + 20);
}

#[test]
fn sizes_without_sense_or_room_are_refused_before_anything_starts() {
    let refused = |args: Args, memory| plans(&args, memory, Path::new(PROGRAM)).unwrap_err();
    let big = Args { gateways: Some(1900), engines: Some(3300), ..args() };
    let said = refused(big, (8_000_000_000, 8_000_000_000));
    assert!(said.starts_with("memory: needs about"), "{said}");
    let none = Args { engines: Some(0), ..args() };
    assert_eq!(refused(none, ROOM), "--engines: 0 is not from 2 to 3300");
    let seats = Args { seats: 11, ..args() };
    assert_eq!(refused(seats, ROOM), "--seats: 11 is not from 1 to 9");
    // The program's own words where it takes none of these.
    assert!(seats_taken(0).is_err());
    let output = Command::new(PROGRAM).args(["scale", "hollow", "--gateways", "4"]).output().unwrap();
    assert!(!output.status.success() && output.stdout.is_empty());
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("--gateways: 4 is not from"), "{said}");
}
