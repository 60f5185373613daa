//! What one gateway's decisions cost by size, in counts alone: they are the same on every machine for one seed.

use bramblewharf_rig::allocations::{count_during, is_counting, CountingAllocator};
use bramblewharf_rig::scale::decide::{count, events, sizes, Args, Counted, Size};
use std::process::Command;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SEED: u64 = 1;
const STATEMENTS: usize = 400;

fn counted(gateways: usize, engines: usize) -> Counted {
    count(Size { gateways, engines }, STATEMENTS, SEED)
}

/// UPPER BOUNDS: gateways, engines, engines looked at a statement, engines looked at a second at rest. A choice looks
/// at its subset once; a beat, twenty of them a second, as often where a subset is not all, to see whether it is enough,
/// and else at nothing. Lower them as that changes; none may rise.
const BOUNDS: [(usize, usize, f64, f64); 5] = [
    (30, 36, 1.05 * 36.0, 0.0),
    (300, 36, 1.05 * 36.0, 0.0),
    (30, 330, 1.05 * 330.0, 20.5 * 330.0),
    (300, 330, 1.05 * 128.0, 20.5 * 128.0),
    (1900, 3300, 1.05 * 128.0, 20.5 * 128.0),
];

/// Guards against a decision that begins to look at engines once more: a walk within a walk, a total counted anew.
#[test]
fn engines_looked_at_stay_within_the_bounds() {
    for (gateways, engines, a_statement, at_rest) in BOUNDS {
        let counted = counted(gateways, engines);
        let size = format!("{gateways} gateways, {engines} engines");
        assert!(counted.looked <= a_statement, "{size}: {} a statement", counted.looked);
        assert!(counted.looked_at_rest <= at_rest, "{size}: {} a second at rest", counted.looked_at_rest);
        // A count that counts nothing would be within any bound.
        assert!(counted.looked >= 1.0, "{size}: {counted:?}");
    }
}

/// Engines that a gateway spreads its statements over at the least, where there are so many.
const LEAST_USED: usize = 64;

/// Guards against figures of a run in which hardly anything ran: rejected statements are cheap.
#[test]
fn all_statements_of_a_well_fleet_complete_and_spread_over_its_engines() {
    for (gateways, engines) in [(30, 36), (300, 330)] {
        let counted = counted(gateways, engines);
        assert_eq!((counted.statements, counted.completed), (STATEMENTS as u64, STATEMENTS as u64));
        assert!(counted.executions >= counted.statements);
        // A gateway may go to some of many engines alone, but to no fewer than these.
        let least = engines.min(LEAST_USED) * 2 / 3;
        assert!(counted.engines_used >= least, "{} of {engines}", counted.engines_used);
        assert!(counted.most_at_once >= 1);
    }
}

/// Guards against a measurement that can't be repeated: what differs between two runs is nobody's figure.
#[test]
fn one_seed_gives_the_same_counts_again() {
    let counts = |seed| {
        let c = count(Size { gateways: 30, engines: 36 }, STATEMENTS, seed);
        (c.executions, c.completed, c.looked.to_bits(), c.messages.to_bits(), c.engines_used, c.most_at_once)
    };
    assert_eq!(counts(5), counts(5));
    assert_ne!(counts(5), counts(6));
}

/// Guards against an allocator that counts what other code does, or nothing.
#[test]
fn only_what_is_asked_for_is_counted() {
    assert!(is_counting());
    let (kept, allocated) = count_during(|| vec![0u8; 1000]);
    assert_eq!((allocated.calls, allocated.bytes, allocated.retained), (1, 1000, 1000));
    let (_, freed) = count_during(|| drop(kept));
    assert_eq!((freed.calls, freed.bytes, freed.retained), (0, 0, -1000));
    let other = || std::thread::spawn(|| vec![0u8; 100_000]).join();
    let (_, allocated) = count_during(other);
    assert!(allocated.bytes < 100_000, "another thread's were counted: {allocated:?}");
}

fn args(gateways: &[usize], engines: &[usize], statements: usize) -> Args {
    Args { gateways: gateways.to_vec(), engines: engines.to_vec(), statements, seed: SEED, json: false }
}

const ROOM: (u64, u64) = (8_000_000_000, 8_000_000_000);

#[test]
fn sizes_that_make_no_sense_are_refused_by_name() {
    for (args, says) in [
        (args(&[30, 0], &[36], 10), "--gateways: 0 is not from 2 to "),
        (args(&[1_000_000], &[36], 10), "--gateways: 1000000 is not from 2 to "),
        (args(&[30], &[36, 1], 10), "--engines: 1 is not from 2 to "),
        (args(&[30], &[usize::MAX], 10), "is not from 2 to "),
        (args(&[30], &[36], 0), "--statements: 0 is not from 1 to "),
        (args(&[30], &[], 10), "--engines: 0 sizes are not from 1 to "),
        (args(&[30; 17], &[36], 10), "--gateways: 17 sizes are not from 1 to "),
    ] {
        let refused = sizes(&args, ROOM).unwrap_err();
        assert!(refused.contains(says), "{refused}");
    }
    let small = (8_000_000_000, 70_000_000);
    let refused = sizes(&args(&[30], &[20_000], 10), small).unwrap_err();
    assert!(refused.starts_with("memory: needs about "), "{refused}");
    assert_eq!(sizes(&args(&[30, 300], &[36, 330], 10), ROOM).unwrap().len(), 4);
}

/// The program says why, and begins nothing: not even the progress of a first size shows.
#[test]
fn a_refused_size_starts_nothing() {
    let program = env!("CARGO_BIN_EXE_bramblewharf-rig");
    for wrong in [["--engines", "36,1"], ["--gateways", "0"], ["--statements", "999999999"]] {
        let output = Command::new(program).args(["scale", "decide"]).args(wrong).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && output.stdout.is_empty(), "{wrong:?}");
        assert!(said.starts_with(&format!("bramblewharf-rig: {}: ", wrong[0])), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
    }
}

/// Guards against events that hit nothing, and against engines that a gateway never finds again: with one that is silent, a
/// zone that refuses and half of all that refuse, nearly all statements complete, and what is back is used.
#[test]
fn what_refuses_is_left_to_trials_and_used_again() {
    let table = events(Size { gateways: 300, engines: 36 }, SEED);
    let figure = |row, column| table.figure(row, column).unwrap_or_else(|| panic!("{column} of row {row}"));
    for (row, hit, completed) in [(0, 1.0, 0.99), (1, 12.0, 0.99), (2, 18.0, 0.95)] {
        assert_eq!(figure(row, "engines"), hit);
        assert!(figure(row, "completed, share") >= completed, "{table:?}");
        assert!(figure(row, "used again of all") >= 0.8, "{table:?}");
        assert!(figure(row, "lost") + figure(row, "refused") > 0.0, "{table:?}");
    }
    for row in [1, 2] {
        assert!(figure(row, "that are ill") > 0.0, "{table:?}");
        let (first, last) = (figure(row, "in the first 2 s"), figure(row, "in the last 2 s"));
        assert!(last < first, "as many are sent there as before: {table:?}");
    }
}

/// Guards against decisions whose cost a statement grows with the fleet: before ten times as many engines a gateway looks at
/// hardly more of them.
#[test]
fn engines_looked_at_do_not_grow_with_the_fleet() {
    let (few, many) = (counted(1900, 330), counted(1900, 3300));
    assert_eq!((few.completed, many.completed), (STATEMENTS as u64, STATEMENTS as u64));
    assert!(
        many.looked <= 1.5 * few.looked,
        "a statement: {} of 3,300 engines, {} of 330",
        many.looked,
        few.looked
    );
}
