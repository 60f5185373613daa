//! Incident 39: no statement may be sent to a draining engine by an engine list that may be stale. Runs
//! gateway processes with their own name service and engines on loopback.

use bramblewharf_rig::soak::discovery::NameFaults;
use bramblewharf_rig::soak::gateways::Gateway;
use bramblewharf_rig::soak::judge::{Invariant, Violation};
use bramblewharf_rig::soak::Fleet;
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const GATEWAYS: usize = 3;

/// Runs clients during `fault` and for a while after it, and returns the violations.
fn violations_under(fault: impl FnOnce(&mut Fleet)) -> Vec<Violation> {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(GATEWAYS, 4, 2, program).unwrap();
    let clients = (0..GATEWAYS).map(|number| fleet.clients(number, 8, 25 * MS)).collect();
    fleet.run(1000 * MS).unwrap();
    fault(&mut fleet);
    fleet.run(1000 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    assert!(records.requests.len() > 500, "clients send requests all the time: {}", records.requests.len());
    records.judge()
}

fn drain_violations(found: &[Violation]) -> Vec<String> {
    let drains = found.iter().filter(|violation| violation.invariant == Invariant::DrainKept);
    drains.map(ToString::to_string).collect()
}

fn silent() -> NameFaults {
    NameFaults { silent: true, ..NameFaults::default() }
}

#[test]
fn a_drain_during_an_outage_of_the_name_service_is_kept() {
    let found = violations_under(|fleet| {
        fleet.set_name_faults(None, &silent());
        fleet.drain_engine(0);
        fleet.run(3200 * MS).unwrap();
        fleet.set_name_faults(None, &NameFaults::default());
    });
    assert!(found.is_empty(), "{} of drains: {found:#?}", drain_violations(&found).len());
}

#[test]
fn a_drain_during_a_pause_of_the_process_is_kept() {
    let found = violations_under(|fleet| {
        // Answers are late, so that statements arrive before the first answer after the pause.
        fleet.set_name_faults(None, &NameFaults { late: 100 * MS, ..NameFaults::default() });
        fleet.run(500 * MS).unwrap();
        // One pause is shorter and one longer than the time after which a drain counts as known.
        for (slot, pause) in [(0, 700 * MS), (1, 2100 * MS)] {
            fleet.gateways.iter_mut().for_each(Gateway::pause);
            fleet.drain_engine(slot);
            fleet.run(pause).unwrap();
            fleet.gateways.iter_mut().for_each(Gateway::resume);
            fleet.run(600 * MS).unwrap();
        }
    });
    assert!(drain_violations(&found).is_empty(), "{:#?}", drain_violations(&found));
}

#[test]
fn a_drain_announced_on_a_dead_path_is_kept() {
    let found = violations_under(|fleet| {
        fleet.set_name_faults(None, &NameFaults { dead_flows: true, ..NameFaults::default() });
        fleet.drain_engine(0);
        fleet.run(2000 * MS).unwrap();
    });
    assert!(drain_violations(&found).is_empty(), "{:#?}", drain_violations(&found));
}

#[test]
fn a_drain_announced_with_a_lower_serial_is_kept() {
    let found = violations_under(|fleet| {
        // The name service was restarted and its serials begin anew.
        fleet.set_name_faults(None, &NameFaults { numbers_back: 3, ..NameFaults::default() });
        fleet.run(300 * MS).unwrap();
        fleet.drain_engine(0);
        fleet.run(3000 * MS).unwrap();
    });
    assert!(drain_violations(&found).is_empty(), "{:#?}", drain_violations(&found));
}
