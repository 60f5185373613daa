//! The lease on the list of engines: how long it may be acted on where a name service is asked.

mod common;
use bramblewharf::interface::*;
use bramblewharf::scheduler::{Refusal, Rule};
use common::*;
use std::time::Duration;

/// Two engines, a grace of 250 ms, and a first word of the name service.
fn hand() -> Hand {
    let mut hand = Hand::new(site(vec![workload(Effect::Idempotent)]), 2);
    let now = hand.now;
    hand.event(Event::ListAsked(Some(now)));
    hand
}

/// Time passes with the name service listened to, and silent.
fn silence(hand: &mut Hand, for_ms: u64) {
    for _ in 0..for_ms / 50 {
        hand.beat(50);
        hand.event(Event::ListAsked(None));
    }
}

#[test]
fn without_a_name_service_the_list_stays_in_force() {
    let mut hand = Hand::new(site(vec![workload(Effect::Idempotent)]), 2);
    hand.beat(600_000);
    assert!(hand.sent(0).1.is_some());
    hand.event(Event::ListAsked(None));
    hand.beat(10_000);
    hand.event(Event::ListStays);
    assert!(hand.sent(0).1.is_some());
}

#[test]
fn nothing_goes_out_by_a_list_that_no_answer_has_confirmed_for_too_long() {
    let mut hand = hand();
    silence(&mut hand, 1600);
    assert!(hand.sent(0).1.is_some());
    silence(&mut hand, 50);
    let (id, actions) = hand.statement(0, |_| {});
    assert!(rejected(&actions) && engine_of(&actions).is_none());
    assert_eq!(hand.chooser.refused(), [(id, Refusal::Forbidden(Rule::List))]);
    // An answer says what held when its question was asked, and no more.
    let asked = hand.now - ms(1500);
    hand.event(Event::ListAsked(Some(asked)));
    assert!(hand.sent(0).1.is_some());
    silence(&mut hand, 150);
    assert!(hand.sent(0).1.is_none());
}

#[test]
fn what_was_decided_before_the_lease_ended_does_not_go_out_after_it() {
    let mut hand = hand();
    silence(&mut hand, 1600);
    let (id, engine) = hand.sent(0);
    assert!(engine.is_some() && hand.chooser.lapsed(hand.now, &id, 0).is_none());
    silence(&mut hand, 100);
    assert_eq!(hand.chooser.lapsed(hand.now, &id, 0), Some(Rule::List));
}

#[test]
fn after_a_pause_statements_wait_until_the_name_service_was_listened_to() {
    let mut hand = hand();
    hand.stall(400);
    let (first, actions) = hand.statement(0, |_| {});
    assert!(actions.is_empty(), "{actions:?}");
    // One that has no time to wait is turned away.
    let (_, short) = hand.statement(0, |new| new.time_left = ms(60));
    assert!(rejected(&short));
    // What was waiting to be read: the first engine drains.
    let mut draining = engine(0);
    draining.state = EngineState::Draining;
    assert!(hand.event(Event::Engines(ListKind::All, vec![draining, engine(1)])).is_empty());
    let now = hand.now;
    let actions = hand.event(Event::ListAsked(Some(now)));
    assert_eq!(engine_of(&actions).as_deref(), Some("e1"));
    assert!(actions.iter().any(|action| matches!(action, Action::Send { id, .. } if *id == first)));
}

#[test]
fn an_engine_has_to_be_up_by_a_list_of_an_earlier_number_too() {
    let mut hand = hand();
    hand.event(Event::ListDisputed(vec!["e1".into()]));
    let sent: Vec<_> = (0..4).map(|_| hand.sent(0).1).collect();
    assert!(sent.iter().all(|engine| engine.as_deref() == Some("e1")), "{sent:?}");
    let now = hand.now;
    hand.event(Event::ListAsked(Some(now)));
    let sent: Vec<_> = (0..4).filter_map(|_| hand.sent(0).1).collect();
    assert!(sent.iter().any(|engine| &**engine == "e0"));
}

/// The model: whatever order words and pauses come in, a send needs a confirmation by a question asked at most 1.75 s before, and a look
/// at the name service at most 250 ms before.
#[test]
fn every_send_has_a_fresh_list_behind_it() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let mut hand = hand();
        let (mut confirmed, mut listened) = (hand.now, hand.now);
        for (what, figure) in steps {
            let figure = u64::from(figure);
            let actions = match what % 4 {
                0 => hand.beat(figure % 400),
                1 => {
                    hand.now += ms(figure % 3000);
                    Vec::new()
                }
                2 => {
                    let asked = (figure % 2 == 0).then(|| hand.now - ms(figure % 1000));
                    (listened, confirmed) = (hand.now, confirmed.max(asked.unwrap_or(Duration::ZERO)));
                    hand.event(Event::ListAsked(asked))
                }
                _ => hand.statement(0, |_| {}).1,
            };
            let fresh = hand.now <= confirmed + ms(1750) && hand.now <= listened + ms(250);
            if engine_of(&actions).is_some() && !fresh {
                return false;
            }
            for action in &actions {
                if let Action::Send { id, engine, .. } = action {
                    hand.end(id, 0, engine, Outcome::Completed);
                }
            }
        }
        true
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}
