//! The memory of arriving calls: what is granted, who waits, and who gives way.

use bramblewharf::call_memory::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn an_ordinary_call_needs_no_grant_and_others_need_what_they_hold() {
    let ordinary = Arriving {
        head_bytes: ORDINARY_HEAD_BYTES,
        head_lines: ORDINARY_LINES,
        text_bytes: ORDINARY_TEXT_BYTES,
        ..Arriving::default()
    };
    assert_eq!(ordinary.extra_memory(), 0);
    let text = Arriving { text_bytes: 64 * 1024, ..ordinary };
    assert_eq!(text.extra_memory(), 60 * 1024);
    let head = Arriving { head_bytes: 128 * 1024, ..ordinary };
    assert!(head.extra_memory() >= 2 * 124 * 1024);
    let lines = Arriving { head_lines: 96, ..ordinary };
    assert!(lines.extra_memory() >= 72 * 500);
}

#[test]
fn who_waits_goes_on_in_order_as_memory_is_released() {
    let mut memory = CallMemory::new(100);
    assert!(memory.hold(ms(0), 1, 80));
    assert!(!memory.hold(ms(1), 2, 60));
    assert!(!memory.hold(ms(2), 3, 30));
    // One that came later does not overtake, even if it would fit.
    assert!(!memory.hold(ms(3), 4, 20));
    memory.release(1, 40);
    assert_eq!(memory.review(ms(4)), [Effect::Resume(2)]);
    memory.release(2, 0);
    assert_eq!(memory.review(ms(5)), [Effect::Resume(3), Effect::Resume(4)]);
    assert_eq!((memory.granted(), memory.waiting()), (90, 0));
}

/// Guards against calls that stall with much memory while others wait for it: the one with the most memory over
/// time gives way, but not before an ordinary call would have arrived, and never once it is complete.
#[test]
fn a_stalled_call_gives_way_to_one_that_waits() {
    let mut memory = CallMemory::new(100);
    assert!(memory.hold(ms(0), 1, 20));
    assert!(memory.hold(ms(0), 2, 30));
    assert!(memory.hold(ms(0), 3, 50));
    memory.set_complete(3, true);
    assert!(!memory.hold(ms(10), 4, 25));
    assert_eq!(memory.review(ms(100)), []);
    assert_eq!(memory.review(ms(250)), [Effect::Reject(2)]);
    // One is enough, and it is rejected once.
    assert_eq!(memory.review(ms(300)), []);
    memory.release(2, 0);
    assert_eq!(memory.review(ms(301)), [Effect::Resume(4)]);
    assert_eq!(memory.rejected(), 1);
    // Once its call is over, what the connection still holds may be taken back.
    memory.mark_idle(ms(301), 3);
    assert!(!memory.hold(ms(302), 5, 60));
    // The time that 4 waited does not count against it.
    assert_eq!(memory.review(ms(600)), [Effect::Reject(3), Effect::Reject(1)]);
}

/// Guards against rejecting a call for the time that it waits for memory: of two that have begun at the same
/// time, the one that stalls gives way, even if it holds less.
#[test]
fn a_call_that_only_waits_for_memory_comes_after_one_that_stalls() {
    let mut memory = CallMemory::new(100);
    assert!(memory.hold(ms(0), 1, 40));
    assert!(memory.hold(ms(0), 2, 60));
    assert!(!memory.hold(ms(10), 2, 90));
    assert_eq!(memory.review(ms(150)), []);
    assert_eq!(memory.review(ms(250)), [Effect::Reject(1)]);
    // Where all only wait, one of them has to.
    let mut memory = CallMemory::new(100);
    assert!(memory.hold(ms(0), 1, 40));
    assert!(memory.hold(ms(0), 2, 60));
    assert!(!memory.hold(ms(10), 1, 90) && !memory.hold(ms(10), 2, 90));
    assert_eq!(memory.review(ms(250)), [Effect::Reject(2)]);
}

#[derive(Clone, Debug)]
enum Step {
    Hold(u64, u64),
    Release(u64, u64),
    Complete(u64),
    Review(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let connection = u64::arbitrary(g) % 8;
        let bytes = u64::arbitrary(g) % 120;
        match u8::arbitrary(g) % 4 {
            0 => Step::Hold(connection, bytes),
            1 => Step::Release(connection, bytes),
            2 => Step::Complete(connection),
            _ => Step::Review(bytes),
        }
    }
}

/// Whatever happens, what is granted never exceeds the capacity, is what the connections were told, and a call
/// that is complete is not rejected.
fn grants_stay_within_the_capacity(steps: Vec<Step>) -> bool {
    const CAPACITY: u64 = 100;
    let mut memory = CallMemory::new(CAPACITY);
    let (mut granted, mut wanted) = (BTreeMap::<u64, u64>::new(), BTreeMap::<u64, u64>::new());
    let (mut complete, mut now) = (BTreeSet::new(), 0);
    for step in steps {
        match step {
            Step::Hold(connection, bytes) => {
                wanted.insert(connection, bytes);
                if memory.hold(ms(now), connection, bytes) {
                    granted.insert(connection, bytes);
                }
            }
            Step::Release(connection, bytes) => {
                let kept = bytes.min(granted.get(&connection).copied().unwrap_or(0));
                granted.insert(connection, kept);
                if kept == 0 {
                    granted.remove(&connection);
                    complete.remove(&connection);
                }
                memory.release(connection, bytes);
            }
            Step::Complete(connection) => {
                if granted.get(&connection).is_some_and(|bytes| *bytes > 0) {
                    memory.set_complete(connection, true);
                    complete.insert(connection);
                }
            }
            Step::Review(passed) => {
                now += passed;
                for effect in memory.review(ms(now)) {
                    match effect {
                        Effect::Resume(connection) => {
                            granted.insert(connection, wanted[&connection]);
                        }
                        Effect::Reject(connection) if complete.contains(&connection) => return false,
                        Effect::Reject(_) => {}
                    }
                }
            }
        }
        if memory.granted() > CAPACITY || memory.granted() != granted.values().sum::<u64>() {
            return false;
        }
    }
    true
}

#[test]
fn what_is_granted_never_exceeds_the_capacity() {
    let property: fn(Vec<Step>) -> bool = grants_stay_within_the_capacity;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(2_000).quickcheck(property);
}
