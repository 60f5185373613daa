//! What a keeper gives away of a killed process's part, and when.

use bramblewharf_budgets::{Budget, Measure, Scope, UNIT};
use bramblewharf_fleet::seat::Ballot;
use bramblewharf_fleet::wire::{Ask, Message};
use bramblewharf_fleet::{Incarnation, Keeper, Terms};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TABLE: u64 = 1;
const POOL: u64 = 8 * UNIT;

fn terms() -> Terms {
    Terms {
        fleet: 1,
        places: 2,
        seats: 1,
        lease: 1000 * MS,
        drift_percent: 1,
        run_out: 1500 * MS,
        engines_keep: 500 * MS,
        wrong: None,
    }
}

/// A keeper that has waited out whatever was given before it.
struct Book {
    keeper: Keeper,
    now: Duration,
    number: u64,
}

impl Book {
    fn start() -> Book {
        let budget = Budget {
            name: "b".into(),
            scope: Scope::default(),
            measure: Measure::StatementsAtOnce,
            whole: POOL,
            floor_percent: 0,
            quantum: UNIT,
            burst: Duration::ZERO,
        };
        let ballot = Ballot { round: 1, seat: 0, incarnation: Incarnation(9) };
        let keeper = Keeper::start(ballot, terms(), vec![budget], TABLE, 1, Duration::ZERO);
        let mut book = Book { keeper, now: Duration::ZERO, number: 0 };
        book.pass(terms().until_free());
        book
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += 100 * MS;
            assert!(self.keeper.tick(self.now));
        }
    }

    fn ask(&mut self, from: u64, session: u64, holds: u64) -> Message {
        self.number += 1;
        let ask = Ask { session, table: TABLE, up_ms: 0, holds: vec![holds], needs: vec![POOL] };
        self.keeper.ask(0, Incarnation(from), self.number, ask).expect("an answer")
    }

    /// A process comes in at place 0; its session.
    fn comes_in(&mut self, from: u64) -> u64 {
        let Message::Session { session, .. } = self.ask(from, 0, 0) else { panic!("no session") };
        let Message::Give(_) = self.ask(from, session, 0) else { panic!("not in") };
        session
    }

    /// What it is given, which it then holds.
    fn given(&mut self, from: u64, session: u64, holds: u64) -> u64 {
        match self.ask(from, session, holds) {
            Message::Give(give) => give.amounts[0],
            other => panic!("{other:?}"),
        }
    }

    fn succeeds(&mut self, from: u64, session: u64, rest: Option<u64>) -> Option<Message> {
        self.number += 1;
        let rest = rest.map(|rest| vec![rest]);
        self.keeper.succeeds(0, Incarnation(from), self.number, session, rest)
    }

    fn of_gone(&self) -> u64 {
        self.keeper.totals()[0].1
    }
}

/// Guards against a killed process's part that is given anew before the one after it has said what is left of it. One that never says,
/// as of an earlier edition, leaves it held for as long as a silent gateway's.
#[test]
fn what_a_killed_process_had_is_held_until_the_next_says_what_is_left() {
    let mut book = Book::start();
    let first = book.comes_in(1);
    let had = book.given(1, first, 0);
    assert!(had > 0);
    book.given(1, first, had);
    let second = book.comes_in(2);
    assert_eq!(book.of_gone(), had);
    book.pass(terms().ghost() * 2);
    assert_eq!(book.of_gone(), had, "engines' time alone frees nothing");
    let former = book.succeeds(2, second, None);
    assert!(matches!(former, Some(Message::Former { former, .. }) if former == [Incarnation(1)]));
    assert_eq!(book.of_gone(), had, "it can't tell yet");
    book.succeeds(2, second, Some(2 * UNIT));
    assert_eq!(book.of_gone(), 2 * UNIT);
    book.succeeds(2, second, Some(had));
    assert_eq!(book.of_gone(), 2 * UNIT, "it grows no more");
    book.succeeds(2, second, Some(0));
    assert_eq!(book.of_gone(), 0);
}

#[test]
fn a_part_of_which_nothing_is_said_is_held_as_a_silent_gateways() {
    let mut book = Book::start();
    let first = book.comes_in(1);
    let had = book.given(1, first, 0);
    book.given(1, first, had);
    let second = book.comes_in(2);
    book.given(2, second, 0);
    book.pass(terms().until_free() - 200 * MS);
    assert_eq!(book.of_gone(), had);
    book.pass(300 * MS);
    assert_eq!(book.of_gone(), 0);
}

/// Guards against a word of an earlier process, or of nobody, that frees what another has out.
#[test]
fn only_the_process_that_is_there_says_what_is_left() {
    let mut book = Book::start();
    let first = book.comes_in(1);
    let had = book.given(1, first, 0);
    book.given(1, first, had);
    let second = book.comes_in(2);
    for (from, session) in [(1, first), (2, first), (1, second), (3, second), (2, second + 1)] {
        assert_eq!(book.succeeds(from, session, Some(0)), None);
    }
    assert_eq!(book.of_gone(), had);
}
