//! The soak test with a few seeds: gateway processes under overlapping random faults. `bramblewharf-rig soak`
//! runs more seeds.

use bramblewharf_rig::soak::{run, Size};
use std::path::Path;
use std::time::Duration;

const SIZE: Size = Size {
    gateways: 10,
    engines: 5,
    clients_each: 3,
    request_interval: Duration::from_millis(120),
    faults: 16,
    late_reads: 0,
    duration: Duration::from_secs(6),
};

/// Seeds that are multiples of three include a crowd of idle connections; odd seeds forbid second copies.
#[test]
fn no_invariant_breaks_under_faults_that_overlap() {
    assert_no_violations(&[201, 202, 203, 204], SIZE);
}

#[test]
fn no_invariant_breaks_under_engines_that_read_late() {
    assert_no_violations(&[301, 303], Size { late_reads: 6, ..SIZE });
}

fn assert_no_violations(seeds: &[u64], size: Size) {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    for seed in seeds.iter().copied() {
        let report = run(seed, size, program).unwrap();
        assert!(report.served > 500, "seed {seed}: {report:?}");
        let found: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
        assert!(found.is_empty(), "seed {seed}, machine late by {:?}: {found:#?}", report.worst_lateness);
    }
}
