//! A statement that was sent and not heard of may be read later. Its engine holds it in a connection while the gateway waits, gives up
//! and asks; it then begins what nobody waits for any more.
//!
//! What happened: where second copies are forbidden, an attempt went out beside one that its engine read late (soak seeds 27 and 7105,
//! both beside load). Why: an engine that did not know a statement twice, any answer to a cancel, and 2.5 s without one were taken as its end, though
//! none shows what waits unread in another connection. What showed it: of eight statements in the records, attempt 1 began 550 ms after attempt 0
//! was sent, and attempt 0 at its own engine 900 ms after. Here the engine holds statements back, so that the order comes without load.
//! `docs/incidents/attempt-beside-unread.md`.

use bramblewharf_rig::soak::engine::Mode;
use bramblewharf_rig::soak::faults::Fault;
use bramblewharf_rig::soak::judge::{Invariant, Violation};
use bramblewharf_rig::soak::Fleet;
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Odd seeds forbid second copies.
const FORBIDS_COPIES: u64 = 1;

/// Clients of one gateway ask while its first engine reads statements by `mode` for `lasts`; the other takes so long that whatever
/// is sent there instead is out for as long as the first may read late.
fn found_under(mode: Mode, lasts: Duration) -> Vec<Violation> {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 2, FORBIDS_COPIES, program).unwrap();
    let clients = vec![fleet.clients(0, 12, 30 * MS)];
    fleet.run(500 * MS).unwrap();
    fleet.inject(Fault::Engine { engine: 1, mode: Mode::Slow(900 * MS), lasts: 60_000 * MS }).unwrap();
    fleet.inject(Fault::Engine { engine: 0, mode, lasts }).unwrap();
    fleet.run(lasts + 1500 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    assert!(records.arrivals.len() > 50, "statements reach engines: {}", records.arrivals.len());
    records.judge()
}

fn beside_another(found: &[Violation]) -> Vec<String> {
    let double = found.iter().filter(|violation| violation.invariant == Invariant::NoDoubleEffect);
    double.map(ToString::to_string).collect()
}

#[test]
fn no_attempt_goes_out_beside_one_that_waits_unread_while_its_engine_answers_other_calls() {
    let double = beside_another(&found_under(Mode::ReadsLate(900 * MS), 4000 * MS));
    assert!(double.is_empty(), "{}: {double:#?}", double.len());
}

#[test]
fn no_attempt_goes_out_beside_one_that_a_stopped_engine_reads_when_it_goes_on() {
    let double = beside_another(&found_under(Mode::Stopped, 1200 * MS));
    assert!(double.is_empty(), "{}: {double:#?}", double.len());
}
