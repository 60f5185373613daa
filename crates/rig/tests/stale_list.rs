//! Incident 39: no statement goes to an engine that drains by a list that may no longer be true. Processes of the program, their
//! own name service and engines, on loopback.

use bramblewharf_rig::soak::discovery::NameFaults;
use bramblewharf_rig::soak::gateways::Gateway;
use bramblewharf_rig::soak::judge::{Invariant, Violation};
use bramblewharf_rig::soak::Fleet;
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const GATEWAYS: usize = 3;

/// Clients ask while `trouble` is done to the fleet and for a while after it; what did not hold.
fn under(trouble: impl FnOnce(&mut Fleet)) -> Vec<Violation> {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(GATEWAYS, 4, 2, program).unwrap();
    let clients = (0..GATEWAYS).map(|number| fleet.clients(number, 8, 25 * MS)).collect();
    fleet.run(1000 * MS).unwrap();
    trouble(&mut fleet);
    fleet.run(1000 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    assert!(records.requests.len() > 500, "clients ask all the time: {}", records.requests.len());
    records.judge()
}

fn of_drains(found: &[Violation]) -> Vec<String> {
    let drains = found.iter().filter(|violation| violation.invariant == Invariant::DrainKept);
    drains.map(ToString::to_string).collect()
}

fn silent() -> NameFaults {
    NameFaults { silent: true, ..NameFaults::default() }
}

#[test]
fn a_drain_that_falls_into_a_silence_of_the_name_service_is_kept() {
    let found = under(|fleet| {
        fleet.set_name_faults(None, &silent());
        fleet.drain_engine(0);
        fleet.run(3200 * MS).unwrap();
        fleet.set_name_faults(None, &NameFaults::default());
    });
    assert!(found.is_empty(), "{} of drains: {found:#?}", of_drains(&found).len());
}

#[test]
fn a_drain_that_falls_into_a_pause_of_the_process_is_kept() {
    let found = under(|fleet| {
        // An answer takes its time: the first one after the pause is not there before statements are.
        fleet.set_name_faults(None, &NameFaults { late: 100 * MS, ..NameFaults::default() });
        fleet.run(500 * MS).unwrap();
        // Shorter than the time by which a drain counts as told, and longer.
        for (place, pause) in [(0, 700 * MS), (1, 2100 * MS)] {
            fleet.gateways.iter_mut().for_each(Gateway::pause);
            fleet.drain_engine(place);
            fleet.run(pause).unwrap();
            fleet.gateways.iter_mut().for_each(Gateway::resume);
            fleet.run(600 * MS).unwrap();
        }
    });
    assert!(of_drains(&found).is_empty(), "{:#?}", of_drains(&found));
}

#[test]
fn a_drain_told_on_a_path_that_has_died_is_kept() {
    let found = under(|fleet| {
        fleet.set_name_faults(None, &NameFaults { dead_flows: true, ..NameFaults::default() });
        fleet.drain_engine(0);
        fleet.run(2000 * MS).unwrap();
    });
    assert!(of_drains(&found).is_empty(), "{:#?}", of_drains(&found));
}

#[test]
fn a_drain_told_under_an_earlier_number_is_kept() {
    let found = under(|fleet| {
        // The service was restarted and counts anew.
        fleet.set_name_faults(None, &NameFaults { numbers_back: 3, ..NameFaults::default() });
        fleet.run(300 * MS).unwrap();
        fleet.drain_engine(0);
        fleet.run(3000 * MS).unwrap();
    });
    assert!(of_drains(&found).is_empty(), "{:#?}", of_drains(&found));
}
