//! When the leader frees what a killed process had been granted.

use bramblewharf_budgets::{Budget, Measure, Scope, UNIT};
use bramblewharf_fleet::voter::Ballot;
use bramblewharf_fleet::wire::{GrantRequest, Message};
use bramblewharf_fleet::{FleetConfig, Incarnation, Leader};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TABLE_DIGEST: u64 = 1;
const POOL: u64 = 8 * UNIT;

fn config() -> FleetConfig {
    FleetConfig {
        fleet: 1,
        max_members: 2,
        voters: 1,
        lease: 1000 * MS,
        drift_percent: 1,
        max_execution_time: 1500 * MS,
        orphan_retention: 500 * MS,
        injected_bug: None,
    }
}

/// A leader after its recovery period, with the current time and the number of the last request.
struct LeaderFixture {
    leader: Leader,
    now: Duration,
    number: u64,
}

impl LeaderFixture {
    fn start() -> LeaderFixture {
        let budget = Budget {
            name: "b".into(),
            scope: Scope::default(),
            measure: Measure::StatementsAtOnce,
            whole: POOL,
            floor_percent: 0,
            quantum: UNIT,
            burst: Duration::ZERO,
        };
        let ballot = Ballot { round: 1, voter: 0, incarnation: Incarnation(9) };
        let leader = Leader::start(ballot, config(), vec![budget], TABLE_DIGEST, 1, Duration::ZERO);
        let mut fixture = LeaderFixture { leader, now: Duration::ZERO, number: 0 };
        fixture.advance(config().reclaim_delay());
        fixture
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += 100 * MS;
            assert!(self.leader.tick(self.now));
        }
    }

    fn request(&mut self, from: u64, session: u64, holds: u64) -> Message {
        self.number += 1;
        let request = GrantRequest {
            session,
            table_digest: TABLE_DIGEST,
            uptime_ms: 0,
            holds: vec![holds],
            needs: vec![POOL],
        };
        self.leader.handle_request(0, Incarnation(from), self.number, request).expect("a reply")
    }

    /// Admits a process as member 0 and returns its session.
    fn admit(&mut self, from: u64) -> u64 {
        let Message::Session { session, .. } = self.request(from, 0, 0) else { panic!("no session") };
        let Message::GrantReply(_) = self.request(from, session, 0) else { panic!("not admitted") };
        session
    }

    /// Sends a request and returns the granted amount.
    fn grant(&mut self, from: u64, session: u64, holds: u64) -> u64 {
        match self.request(from, session, holds) {
            Message::GrantReply(reply) => reply.amounts[0],
            other => panic!("{other:?}"),
        }
    }

    fn take_over(&mut self, from: u64, session: u64, remaining: Option<u64>) -> Option<Message> {
        self.number += 1;
        let remaining = remaining.map(|remaining| vec![remaining]);
        self.leader.handle_take_over(0, Incarnation(from), self.number, session, remaining)
    }

    fn held_by_orphans(&self) -> u64 {
        self.leader.totals()[0].1
    }
}

/// Guards against reassigning a killed process's grant before its successor has reported how much is still in
/// use. Without a report, as from an earlier release, the grant is held as long as a silent member's.
#[test]
fn the_grant_of_a_killed_process_is_held_until_its_successor_reports() {
    let mut fixture = LeaderFixture::start();
    let first = fixture.admit(1);
    let granted = fixture.grant(1, first, 0);
    assert!(granted > 0);
    fixture.grant(1, first, granted);
    let second = fixture.admit(2);
    assert_eq!(fixture.held_by_orphans(), granted);
    fixture.advance(config().max_orphan_time() * 2);
    assert_eq!(fixture.held_by_orphans(), granted, "orphan retention alone frees nothing");
    let predecessors = fixture.take_over(2, second, None);
    assert!(
        matches!(predecessors, Some(Message::Predecessors { predecessors, .. }) if predecessors == [Incarnation(1)])
    );
    assert_eq!(fixture.held_by_orphans(), granted, "the successor doesn't know yet");
    fixture.take_over(2, second, Some(2 * UNIT));
    assert_eq!(fixture.held_by_orphans(), 2 * UNIT);
    fixture.take_over(2, second, Some(granted));
    assert_eq!(fixture.held_by_orphans(), 2 * UNIT, "a later report must not raise it");
    fixture.take_over(2, second, Some(0));
    assert_eq!(fixture.held_by_orphans(), 0);
}

#[test]
fn an_unreported_grant_is_held_as_long_as_a_silent_members() {
    let mut fixture = LeaderFixture::start();
    let first = fixture.admit(1);
    let granted = fixture.grant(1, first, 0);
    fixture.grant(1, first, granted);
    let second = fixture.admit(2);
    fixture.grant(2, second, 0);
    fixture.advance(config().reclaim_delay() - 200 * MS);
    assert_eq!(fixture.held_by_orphans(), granted);
    fixture.advance(300 * MS);
    assert_eq!(fixture.held_by_orphans(), 0);
}

/// Guards against a report of an earlier or unknown process that frees what another has in flight.
#[test]
fn only_the_current_process_can_report() {
    let mut fixture = LeaderFixture::start();
    let first = fixture.admit(1);
    let granted = fixture.grant(1, first, 0);
    fixture.grant(1, first, granted);
    let second = fixture.admit(2);
    for (from, session) in [(1, first), (2, first), (1, second), (3, second), (2, second + 1)] {
        assert_eq!(fixture.take_over(from, session, Some(0)), None);
    }
    assert_eq!(fixture.held_by_orphans(), granted);
}
