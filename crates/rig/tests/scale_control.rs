//! What a fleet agrees on, small: counts and the fleet's own times alone, which are the same on each machine.

use bramblewharf_rig::scale::control::{self, Away, Case, Change, Event, Size};
use bramblewharf_rig::scale::report::Table;
use serde_json::Value;
use std::time::Duration;

fn figures(columns: &[&str], row: Vec<Value>) -> impl Fn(&str) -> Option<f64> {
    let mut table = Table::new("", columns);
    table.add(row);
    move |column| table.figure(0, column)
}

fn size(gateways: usize, seats: u8) -> Size {
    Size { gateways, seats, seed: 1 }
}

#[test]
fn what_a_gateway_says_does_not_grow_with_the_fleet_and_what_the_keeper_hears_grows_with_it_alone() {
    for seats in [3, 9] {
        let of = |gateways| {
            let (rest, _) = control::at_rest(&size(gateways, seats).agreed(Some(2000)));
            figures(&control::AT_REST, rest)
        };
        let (few, many) = (of(30), of(300));
        let bytes = |of: &dyn Fn(&str) -> Option<f64>| of("bytes_with_headers_a_gateway_s").unwrap();
        assert!(bytes(&many) < 1.05 * bytes(&few), "{} and {}", bytes(&few), bytes(&many));
        // The operators' limit.
        assert!(bytes(&many) < 2000.0, "{}", bytes(&many));
        // Beside what seats say among themselves, which is there in the small fleet too.
        let heard = |of: &dyn Fn(&str) -> Option<f64>| of("keeper_heard_s").unwrap();
        let times = heard(&many) / heard(&few);
        assert!((8.0..10.5).contains(&times), "{seats} seats: ten times as many, {times} times the messages");
    }
}

#[test]
fn a_policy_is_in_force_everywhere_within_4_s_with_all_there_and_with_one_away() {
    for (away, change) in [
        (Away::Nobody, Change::Narrows),
        (Away::One, Change::Widens),
        (Away::One, Change::NarrowsClosed),
        (Away::Region, Change::NarrowsClosed),
    ] {
        for gateways in [30, 200] {
            let case = Case { away, change, ..Case::default() };
            let of = figures(&control::CHANGES, control::change(&size(gateways, 9), &case));
            let took = of("in_force_s").unwrap_or(f64::INFINITY);
            assert!(took < 4.0, "{gateways} gateways, {case:?}: {took} s");
            if away != Away::Nobody {
                let back = of("in_force_once_back_s").unwrap_or(f64::INFINITY);
                assert!(back < 4.0, "{gateways} gateways, {case:?}: {back} s once back");
            }
        }
    }
}

/// What one that is away may yet do alone must not be forbidden elsewhere: the change is withdrawn, and says for whom.
#[test]
fn a_change_that_forbids_what_one_away_may_do_alone_is_withdrawn_and_names_it() {
    let case = Case { away: Away::One, change: Change::Narrows, ..Case::default() };
    let row = control::change(&size(30, 3), &case);
    let outcome = row[control::CHANGES.iter().position(|name| *name == "outcome").unwrap()].clone();
    assert!(outcome.as_str().unwrap().starts_with("withdrawn: places [29] were not heard"), "{outcome}");
}

#[test]
fn twenty_changes_in_a_row_take_hold_with_one_away() {
    let (passed, then) = control::with_one_away(&size(16, 3), Duration::ZERO, 20);
    assert_eq!(passed, 20, "{then}");
}

#[test]
fn another_keeper_gives_to_all_within_6_s_whichever_region_is_away() {
    for event in
        [Event::KeeperEnds, Event::KeepersRegionCut, Event::KeeperEndsRegionAway, Event::AllRestarted]
    {
        let of = figures(&control::EVENTS, control::event(&size(40, 9), event));
        let all = of("all_given_s").unwrap_or(f64::INFINITY);
        assert!(all < 6.0, "{event:?}: {all} s");
        let policy = of("last_without_policy_s").unwrap_or(0.0);
        assert!(policy < 6.0, "{event:?}: without the policy's leave for {policy} s");
    }
}

#[test]
fn sizes_that_make_no_sense_are_refused_by_name() {
    let run = |gateways: &[usize], seats: &[usize]| {
        let args = control::Args { gateways: gateways.to_vec(), seats: seats.to_vec(), seed: 1, json: false };
        control::run(&args).unwrap_err()
    };
    assert_eq!(run(&[3], &[3]), "--gateways: 3 is not from 16 to 4000");
    assert_eq!(run(&[30, 100_000], &[3]), "--gateways: 100000 is not from 16 to 4000");
    assert_eq!(run(&[30], &[0]), "--seats: 0 is not from 1 to 15");
    assert_eq!(run(&[], &[3]), "--gateways, --seats: name one size at the least");
    assert_eq!(run(&[16], &[3, 15, 16]), "--seats: 16 is not from 1 to 15");
}
