//! Tests of the lease on the list of engines, which limits how long a polled list may be used.

mod common;
use bramblewharf::interface::*;
use bramblewharf::scheduler::{Refusal, Rule};
use common::*;
use std::time::Duration;

/// Two engines, a drain grace of 250 ms, and a first answer of the name service.
fn harness() -> Harness {
    let mut harness = Harness::new(site(vec![workload(Effect::Idempotent)]), 2);
    let now = harness.now;
    harness.event(Event::ListPolled(Some(now)));
    harness
}

/// Time passes while answers are read and none arrives.
fn no_answer(harness: &mut Harness, for_ms: u64) {
    for _ in 0..for_ms / 50 {
        harness.advance(50);
        harness.event(Event::ListPolled(None));
    }
}

#[test]
fn without_a_name_service_the_list_stays_valid() {
    let mut harness = Harness::new(site(vec![workload(Effect::Idempotent)]), 2);
    harness.advance(600_000);
    assert!(harness.submit(0).1.is_some());
    harness.event(Event::ListPolled(None));
    harness.advance(10_000);
    harness.event(Event::ListPollingStopped);
    assert!(harness.submit(0).1.is_some());
}

#[test]
fn nothing_is_sent_once_the_lease_has_expired() {
    let mut harness = harness();
    no_answer(&mut harness, 1600);
    assert!(harness.submit(0).1.is_some());
    no_answer(&mut harness, 50);
    let (id, actions) = harness.statement(0, |_| {});
    assert!(rejected(&actions) && engine_of(&actions).is_none());
    assert_eq!(harness.scheduler.refusals(), [(id, Refusal::Forbidden(Rule::List))]);
    // An answer confirms the list as of the time its request was sent.
    let requested_at = harness.now - ms(1500);
    harness.event(Event::ListPolled(Some(requested_at)));
    assert!(harness.submit(0).1.is_some());
    no_answer(&mut harness, 150);
    assert!(harness.submit(0).1.is_none());
}

#[test]
fn a_decision_made_under_the_lease_is_revoked_after_it_expires() {
    let mut harness = harness();
    no_answer(&mut harness, 1600);
    let (id, engine) = harness.submit(0);
    assert!(engine.is_some() && harness.scheduler.recheck(harness.now, &id, 0).is_none());
    no_answer(&mut harness, 100);
    assert_eq!(harness.scheduler.recheck(harness.now, &id, 0), Some(Rule::List));
}

#[test]
fn after_a_pause_statements_wait_until_answers_are_read() {
    let mut harness = harness();
    harness.pause(400);
    let (first, actions) = harness.statement(0, |_| {});
    assert!(actions.is_empty(), "{actions:?}");
    // A statement that has no time to wait is rejected.
    let (_, short) = harness.statement(0, |new| new.time_left = ms(60));
    assert!(rejected(&short));
    // The unread answer: the first engine is draining.
    let mut draining = engine(0);
    draining.state = EngineState::Draining;
    assert!(harness.event(Event::EngineList(ListKind::Snapshot, vec![draining, engine(1)])).is_empty());
    let now = harness.now;
    let actions = harness.event(Event::ListPolled(Some(now)));
    assert_eq!(engine_of(&actions).as_deref(), Some("e1"));
    assert!(actions.iter().any(|action| matches!(action, Action::Send { id, .. } if *id == first)));
}

#[test]
fn an_engine_has_to_be_up_in_a_conflicting_list_too() {
    let mut harness = harness();
    harness.event(Event::ListConflict(vec!["e1".into()]));
    let sent: Vec<_> = (0..4).map(|_| harness.submit(0).1).collect();
    assert!(sent.iter().all(|engine| engine.as_deref() == Some("e1")), "{sent:?}");
    let now = harness.now;
    harness.event(Event::ListPolled(Some(now)));
    let sent: Vec<_> = (0..4).filter_map(|_| harness.submit(0).1).collect();
    assert!(sent.iter().any(|engine| &**engine == "e0"));
}

/// Model: in any order of answers and pauses, a send needs a confirmation by a request sent at most 1.75 s
/// before, and answers read at most 250 ms before.
#[test]
fn every_send_uses_a_fresh_list() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let mut harness = harness();
        let (mut confirmed, mut last_read) = (harness.now, harness.now);
        for (what, figure) in steps {
            let figure = u64::from(figure);
            let actions = match what % 4 {
                0 => harness.advance(figure % 400),
                1 => {
                    harness.now += ms(figure % 3000);
                    Vec::new()
                }
                2 => {
                    let requested_at = (figure % 2 == 0).then(|| harness.now - ms(figure % 1000));
                    (last_read, confirmed) =
                        (harness.now, confirmed.max(requested_at.unwrap_or(Duration::ZERO)));
                    harness.event(Event::ListPolled(requested_at))
                }
                _ => harness.statement(0, |_| {}).1,
            };
            let fresh = harness.now <= confirmed + ms(1750) && harness.now <= last_read + ms(250);
            if engine_of(&actions).is_some() && !fresh {
                return false;
            }
            for action in &actions {
                if let Action::Send { id, engine, .. } = action {
                    harness.end(id, 0, engine, Outcome::Completed);
                }
            }
        }
        true
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}
