use super::*;
use proptest::prelude::*;

const TABLE: u64 = 9;
const BOOT: u64 = 4;

fn outstanding(number: usize) -> Outstanding {
    let engine = SocketAddr::from(([10, 0, 0, 7], 7000 + number as u16));
    Outstanding {
        id: format!("{number:016x}"),
        execution: number % 3,
        engine,
        took: vec![(0, 1000), (14, u64::MAX)],
    }
}

fn put(file: &mut [u8], writes: impl IntoIterator<Item = Write>) {
    for Write { at, bytes } in writes {
        file[at as usize..at as usize + bytes.len()].copy_from_slice(&bytes);
    }
}

/// A file of a process that has so many out, and its slots.
fn file(incarnation: u64, before: Option<&Record>, many: usize) -> (Vec<u8>, Slots) {
    let mut bytes = vec![0; FILE_SIZE as usize];
    let mut slots = Slots::start(Incarnation(incarnation), TABLE, BOOT, before);
    put(&mut bytes, [slots.header()]);
    (0..many).for_each(|number| put(&mut bytes, [slots.add(&outstanding(number))]));
    (bytes, slots)
}

fn read(bytes: &[u8]) -> Record {
    Record::read(bytes, TABLE, BOOT).unwrap()
}

#[test]
fn what_is_out_at_the_kill_is_read_and_nothing_else() {
    let (mut bytes, mut slots) = file(1, None, 5);
    put(&mut bytes, slots.remove(&outstanding(1).id, 1));
    put(&mut bytes, slots.remove(&outstanding(3).id, 0));
    assert_eq!(slots.remove("nobody", 0), None);
    put(&mut bytes, [slots.add(&outstanding(7))]);
    let mut left = read(&bytes).outstanding;
    left.sort_by(|one, other| one.id.cmp(&other.id));
    assert_eq!(left, [0, 2, 4, 7].map(outstanding));
}

/// Guards against a file that says too little: one that is cut, longer, spoilt or foreign says nothing at all.
#[test]
fn a_file_that_is_not_whole_is_unknown() {
    let (bytes, _) = file(1, None, 5);
    let fault = |bytes: &[u8]| Record::read(bytes, TABLE, BOOT).unwrap_err();
    assert_eq!(fault(&bytes[..bytes.len() - 1]), Fault::Size);
    assert_eq!(fault(&[]), Fault::Size);
    assert_eq!(fault(&[&bytes[..], &[0]].concat()), Fault::Size);
    assert_eq!(fault(&vec![0; bytes.len()]), Fault::Header);
    assert_eq!(Record::read(&bytes, TABLE + 1, BOOT), Err(Fault::Foreign));
    assert_eq!(Record::read(&bytes, TABLE, BOOT + 1), Err(Fault::Foreign));
    // A slot of an earlier process in a file of this one.
    let (mut mixed, _) = file(2, None, 0);
    mixed[HEADER..HEADER + SLOT].copy_from_slice(&bytes[HEADER..HEADER + SLOT]);
    assert_eq!(fault(&mixed), Fault::Slot);
}

/// Guards against an execution that is left out for want of a slot, or because it is too long for one.
#[test]
fn what_does_not_fit_makes_the_file_unknown() {
    let long = Outstanding { id: "x".repeat(SLOT), ..outstanding(0) };
    let (mut bytes, mut slots) = file(1, None, 0);
    put(&mut bytes, [slots.add(&long)]);
    assert_eq!(Record::read(&bytes, TABLE, BOOT), Err(Fault::Header));
    assert_eq!(slots.completed(), None, "it stays so");
    let (mut bytes, mut slots) = file(1, None, SLOTS as usize);
    assert_eq!(read(&bytes).outstanding.len(), SLOTS as usize);
    put(&mut bytes, [slots.add(&outstanding(SLOTS as usize))]);
    assert_eq!(Record::read(&bytes, TABLE, BOOT), Err(Fault::Header));
}

/// Guards against a record of an earlier process that is taken for the last one's.
#[test]
fn a_record_counts_where_the_keeper_knows_nobody_later() {
    let [a, b, c, d] = [1, 2, 3, 4].map(Incarnation);
    let complete = |incarnation, before: Option<&Record>| {
        let (mut bytes, mut slots) = file(incarnation, before, 1);
        put(&mut bytes, slots.completed());
        read(&bytes)
    };
    let of_a = complete(1, None);
    assert!(of_a.is_of_last(&[a]) && of_a.is_of_last(&[d, a]));
    assert!(!of_a.is_of_last(&[]), "a keeper that knows nobody shows nothing");
    assert!(!of_a.is_of_last(&[a, b]), "another came after it and left no record");
    // The keeper never heard of the last one, whose file follows the one that it knows.
    let of_b = complete(2, Some(&of_a));
    assert!(of_b.is_of_last(&[a]) && of_b.is_of_last(&[a, b]) && !of_b.is_of_last(&[a, c]));
    // Killed before it knew: its file holds what the one before left, if that was the last.
    let (bytes, _) = file(3, Some(&of_a), 1);
    let of_c = read(&bytes);
    assert!(of_c.is_of_last(&[a]) && of_c.is_of_last(&[a, c]));
    assert!(!of_c.is_of_last(&[b, c]) && !of_c.is_of_last(&[c]) && !of_c.is_of_last(&[a, b]));
    let (bytes, _) = file(4, Some(&of_c), 1);
    assert!(read(&bytes).is_of_last(&[a]), "what it inherits goes back to that one");
    let (bytes, _) = file(4, None, 1);
    assert!(!read(&bytes).is_of_last(&[d]), "it knew nothing itself");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// One byte that is another is seen, wherever it stands in what is used.
    #[test]
    fn a_spoilt_byte_is_seen(at in 0usize..HEADER + 3 * SLOT, flip in 1u8..=255) {
        let (mut bytes, _) = file(1, None, 3);
        let whole = read(&bytes);
        let filler = bytes[at] == 0;
        bytes[at] ^= flip;
        let shown = Record::read(&bytes, TABLE, BOOT);
        prop_assert!(shown.is_err() || (filler && shown == Ok(whole)), "{shown:?}");
    }
}
