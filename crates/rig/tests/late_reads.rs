//! An engine may read a statement long after it was sent: the statement waits in a connection while the
//! gateway times out, cancels and polls, and starts when nobody waits for it any more.
//!
//! Guards against a second attempt that is sent while an unread one can still start, where second copies are
//! forbidden (soak seeds 27 and 7105, both under load). The gateway took as the end of an attempt that its
//! engine twice did not know the statement, any answer to a cancel, or 2.5 s without an answer; none of these
//! shows what waits unread in another connection. In the records of eight statements, attempt 1 started 550
//! ms after attempt 0 was sent, and attempt 0 started at its own engine 900 ms after. Here the engine delays
//! its reads, so that the order occurs without load. See `docs/incidents/attempt-beside-unread.md`.

use bramblewharf_rig::soak::engine::Mode;
use bramblewharf_rig::soak::faults::Fault;
use bramblewharf_rig::soak::judge::{Invariant, Violation};
use bramblewharf_rig::soak::Fleet;
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Odd seeds forbid second copies.
const FORBIDS_COPIES: u64 = 1;

/// Runs clients of one gateway while its first engine reads statements by `mode` for this long; the other
/// engine is so slow that an attempt sent there stays in flight for as long as the first may read late.
fn violations_under(mode: Mode, duration: Duration) -> Vec<Violation> {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 2, FORBIDS_COPIES, program).unwrap();
    let clients = vec![fleet.clients(0, 12, 30 * MS)];
    fleet.run(500 * MS).unwrap();
    fleet.inject(Fault::Engine { engine: 1, mode: Mode::Slow(900 * MS), lasts: 60_000 * MS }).unwrap();
    fleet.inject(Fault::Engine { engine: 0, mode, lasts: duration }).unwrap();
    fleet.run(duration + 1500 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    assert!(records.arrivals.len() > 50, "statements reach engines: {}", records.arrivals.len());
    records.judge()
}

fn double_effects(found: &[Violation]) -> Vec<String> {
    let double = found.iter().filter(|violation| violation.invariant == Invariant::NoDoubleEffect);
    double.map(ToString::to_string).collect()
}

#[test]
fn no_attempt_goes_out_beside_one_that_waits_unread_while_its_engine_answers_other_calls() {
    let double = double_effects(&violations_under(Mode::ReadsLate(900 * MS), 4000 * MS));
    assert!(double.is_empty(), "{}: {double:#?}", double.len());
}

#[test]
fn no_attempt_goes_out_beside_one_that_a_stopped_engine_reads_when_it_goes_on() {
    let double = double_effects(&violations_under(Mode::Stopped, 1200 * MS));
    assert!(double.is_empty(), "{}: {double:#?}", double.len());
}
