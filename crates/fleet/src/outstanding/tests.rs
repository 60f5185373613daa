use super::*;
use proptest::prelude::*;

const TABLE_DIGEST: u64 = 9;
const BOOT_ID: u64 = 4;

fn outstanding(number: usize) -> Outstanding {
    let engine = SocketAddr::from(([10, 0, 0, 7], 7000 + number as u16));
    Outstanding {
        id: format!("{number:016x}"),
        execution: number % 3,
        engine,
        demand: vec![(0, 1000), (14, u64::MAX)],
    }
}

fn apply(file: &mut [u8], writes: impl IntoIterator<Item = Write>) {
    for Write { offset, bytes } in writes {
        file[offset as usize..offset as usize + bytes.len()].copy_from_slice(&bytes);
    }
}

/// The file of a process with that many executions in flight, and its slots.
fn file(incarnation: u64, previous: Option<&Record>, count: usize) -> (Vec<u8>, Slots) {
    let mut bytes = vec![0; FILE_SIZE as usize];
    let mut slots = Slots::start(Incarnation(incarnation), TABLE_DIGEST, BOOT_ID, previous);
    apply(&mut bytes, [slots.header()]);
    (0..count).for_each(|number| apply(&mut bytes, [slots.add(&outstanding(number))]));
    (bytes, slots)
}

fn read(bytes: &[u8]) -> Record {
    Record::decode(bytes, TABLE_DIGEST, BOOT_ID).unwrap()
}

#[test]
fn reads_exactly_the_executions_in_flight_at_a_kill() {
    let (mut bytes, mut slots) = file(1, None, 5);
    apply(&mut bytes, slots.remove(&outstanding(1).id, 1));
    apply(&mut bytes, slots.remove(&outstanding(3).id, 0));
    assert_eq!(slots.remove("nobody", 0), None);
    apply(&mut bytes, [slots.add(&outstanding(7))]);
    let mut remaining = read(&bytes).outstanding;
    remaining.sort_by(|one, other| one.id.cmp(&other.id));
    assert_eq!(remaining, [0, 2, 4, 7].map(outstanding));
}

/// Guards against missing executions: a file that is truncated, too long, corrupted or foreign must be
/// rejected as a whole.
#[test]
fn rejects_truncated_extended_and_foreign_files() {
    let (bytes, _) = file(1, None, 5);
    let error = |bytes: &[u8]| Record::decode(bytes, TABLE_DIGEST, BOOT_ID).unwrap_err();
    assert_eq!(error(&bytes[..bytes.len() - 1]), RecordError::Size);
    assert_eq!(error(&[]), RecordError::Size);
    assert_eq!(error(&[&bytes[..], &[0]].concat()), RecordError::Size);
    assert_eq!(error(&vec![0; bytes.len()]), RecordError::Header);
    assert_eq!(Record::decode(&bytes, TABLE_DIGEST + 1, BOOT_ID), Err(RecordError::Foreign));
    assert_eq!(Record::decode(&bytes, TABLE_DIGEST, BOOT_ID + 1), Err(RecordError::Foreign));
    // A slot of an earlier process in the file of this one.
    let (mut mixed, _) = file(2, None, 0);
    mixed[HEADER_BYTES..HEADER_BYTES + SLOT_BYTES]
        .copy_from_slice(&bytes[HEADER_BYTES..HEADER_BYTES + SLOT_BYTES]);
    assert_eq!(error(&mixed), RecordError::Slot);
}

/// Guards against a file that lacks an execution because no slot was free or the execution is too long for
/// one.
#[test]
fn an_execution_that_does_not_fit_invalidates_the_file() {
    let long = Outstanding { id: "x".repeat(SLOT_BYTES), ..outstanding(0) };
    let (mut bytes, mut slots) = file(1, None, 0);
    apply(&mut bytes, [slots.add(&long)]);
    assert_eq!(Record::decode(&bytes, TABLE_DIGEST, BOOT_ID), Err(RecordError::Header));
    assert_eq!(slots.mark_complete(), None, "it stays invalid");
    let (mut bytes, mut slots) = file(1, None, SLOT_COUNT as usize);
    assert_eq!(read(&bytes).outstanding.len(), SLOT_COUNT as usize);
    apply(&mut bytes, [slots.add(&outstanding(SLOT_COUNT as usize))]);
    assert_eq!(Record::decode(&bytes, TABLE_DIGEST, BOOT_ID), Err(RecordError::Header));
}

/// Guards against accepting the record of an earlier process as the last one's.
#[test]
fn a_record_is_latest_unless_the_leader_knows_a_later_process() {
    let [a, b, c, d] = [1, 2, 3, 4].map(Incarnation);
    let complete = |incarnation, previous: Option<&Record>| {
        let (mut bytes, mut slots) = file(incarnation, previous, 1);
        apply(&mut bytes, slots.mark_complete());
        read(&bytes)
    };
    let of_a = complete(1, None);
    assert!(of_a.is_of_latest(&[a]) && of_a.is_of_latest(&[d, a]));
    assert!(!of_a.is_of_latest(&[]), "a leader that knows no process confirms nothing");
    assert!(!of_a.is_of_latest(&[a, b]), "a later process left no record");
    // The leader never heard from the last process, whose file names the one that the leader knows.
    let of_b = complete(2, Some(&of_a));
    assert!(of_b.is_of_latest(&[a]) && of_b.is_of_latest(&[a, b]) && !of_b.is_of_latest(&[a, c]));
    // Killed before its file was complete: the file includes what its predecessor left, if that was the last
    // process.
    let (bytes, _) = file(3, Some(&of_a), 1);
    let of_c = read(&bytes);
    assert!(of_c.is_of_latest(&[a]) && of_c.is_of_latest(&[a, c]));
    assert!(!of_c.is_of_latest(&[b, c]) && !of_c.is_of_latest(&[c]) && !of_c.is_of_latest(&[a, b]));
    let (bytes, _) = file(4, Some(&of_c), 1);
    assert!(read(&bytes).is_of_latest(&[a]), "it inherits the executions since that one");
    let (bytes, _) = file(4, None, 1);
    assert!(!read(&bytes).is_of_latest(&[d]), "it had no record itself");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Guards against accepting a file in which any one used byte has changed.
    #[test]
    fn detects_a_corrupted_byte(offset in 0usize..HEADER_BYTES + 3 * SLOT_BYTES, flip in 1u8..=255) {
        let (mut bytes, _) = file(1, None, 3);
        let intact = read(&bytes);
        let is_padding = bytes[offset] == 0;
        bytes[offset] ^= flip;
        let decoded = Record::decode(&bytes, TABLE_DIGEST, BOOT_ID);
        prop_assert!(decoded.is_err() || (is_padding && decoded == Ok(intact)), "{decoded:?}");
    }
}
