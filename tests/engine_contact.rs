//! What attempts to reach an engine prove of an execution that was sent to it before.

use bramblewharf::engine_contact::{Contact, ContactHistory, EngineListing};
use std::time::{Duration, Instant};

#[test]
fn a_refusal_ends_an_execution_only_once_it_has_lasted_or_the_engine_is_dropped() {
    use Contact::*;
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut history = ContactHistory::default();
    assert!(!history.proves_end(at(0), Refused, EngineListing::Listed));
    assert!(!history.proves_end(at(2499), Refused, EngineListing::Listed));
    // A connection in between may have brought a request for the execution.
    assert!(!history.proves_end(at(2500), Established, EngineListing::Listed));
    assert!(!history.proves_end(at(2600), Refused, EngineListing::Listed));
    assert!(!history.proves_end(at(5099), Refused, EngineListing::Listed));
    assert!(history.proves_end(at(5100), Refused, EngineListing::Listed));
    assert!(!history.proves_end(at(60_000), Unreachable, EngineListing::Listed));
    for (contact, is_over) in [(Refused, true), (Unreachable, true), (Established, false)] {
        assert_eq!(ContactHistory::default().proves_end(at(0), contact, EngineListing::Dropped), is_over);
        assert!(ContactHistory::default().proves_end(at(0), contact, EngineListing::Replaced));
    }
}

/// Guards against two executions out at once, and against a statement that waits until its time is over: the
/// start that a list states shows neither that a process is another one nor that it is the same.
#[test]
fn another_start_ends_an_execution_only_with_answers_that_it_is_unknown() {
    use Contact::*;
    use EngineListing::*;
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for contact in [Established, Unreachable] {
        assert!(!ContactHistory::default().proves_end(at(60_000), contact, OtherStart));
    }
    let mut refused = ContactHistory::default();
    assert!(
        !refused.proves_end(at(0), Refused, OtherStart) && refused.proves_end(at(2500), Refused, OtherStart)
    );
    let mut history = ContactHistory::default();
    assert!(!history.answer_proves_end(at(0), false, OtherStart));
    assert!(!history.answer_proves_end(at(499), false, OtherStart));
    // It runs there.
    assert!(!history.answer_proves_end(at(600), true, OtherStart));
    assert!(!history.answer_proves_end(at(700), false, OtherStart));
    // The list states the former start again.
    assert!(!history.answer_proves_end(at(1300), false, Listed));
    assert!(!history.answer_proves_end(at(1400), false, OtherStart));
    assert!(history.answer_proves_end(at(1900), false, OtherStart));
    assert!(!OtherStart.may_begin() && Listed.may_begin());
}
