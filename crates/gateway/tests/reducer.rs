//! Tests of the reducer alone: inputs and times go in, effects come out.

use bramblewharf::engine_contact::EngineListing;
use bramblewharf::interface::{
    EngineEntry, EngineState, Id, ListKind, NewStatement, Note, Outcome, ProcessStart,
};
use bramblewharf_budgets::{Budget, Measure, Scope, UNIT};
use bramblewharf_fleet::outstanding::{Outstanding, ProcessRun, Record, Slots};
use bramblewharf_fleet::predecessor::Predecessor;
use bramblewharf_fleet::{node, FleetConfig, Incarnation};
use bramblewharf_gateway::invariants::{Invariant, Violations};
use bramblewharf_gateway::reducer::*;
use bytes::Bytes;
use quickcheck::{Gen, QuickCheck, TestResult};
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

const START: Duration = Duration::from_secs(1_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Two engines, `a` and `b`; workload 0 is idempotent, workload 1 is not.
fn reducer(second_copies: bool, most: usize) -> Reducer {
    reducer_in(None, second_copies, most)
}

fn settings(second_copies: bool) -> serde_json::Value {
    json!({
        "balancers": 1, "tickUs": 5000, "kinds": ["k"],
        "domain": {"sizeCores": [8]},
        "profiles": [
            {"name": "read", "promiseUs": 400_000, "effect": "read_like"},
            {"name": "once", "promiseUs": 400_000, "effect": "non_idempotent"}],
        "allowed": {"tryLimit": 3, "secondCopies": second_copies, "mayCancel": true, "peers": true},
        "rules": {"coldUs": 1000, "tipAfterUs": 1000}})
}

fn reducer_in(fleet: Option<node::Start>, second_copies: bool, most: usize) -> Reducer {
    let (site, _) = bramblewharf_site::read(&settings(second_copies)).unwrap();
    let (mut reducer, first) = Reducer::start_in_fleet(fleet, None, site, 7, most, START);
    assert!(first.is_empty());
    let list = vec![listed("a"), listed("b")];
    assert_eq!(start_count(&reducer.step(START, Input::EngineList(ListKind::Cached, list))), 0);
    reducer
}

fn listed(id: &str) -> ListedEngine {
    let entry = EngineEntry {
        id: id.into(),
        zone: "z".into(),
        kind: "k".into(),
        cell: 0,
        state: EngineState::In,
        nominal: 1.0,
        started: bramblewharf::interface::ProcessStart::LongAgo,
    };
    ListedEngine { entry, address: "127.0.0.1:9".parse().unwrap() }
}

fn statement(id: &str, caller: u64, workload: usize, time_left: u64) -> Input {
    let statement = NewStatement {
        id: id.into(),
        workload,
        customer: None,
        key: None,
        time_left: ms(time_left),
        est_work: None,
        est_mem_mb: None,
        table_group: None,
        replayable: true,
    };
    let engine_request = EngineRequest {
        id: Bytes::copy_from_slice(id.as_bytes()),
        workload: Bytes::from_static(b"w"),
        key: None,
        text: StatementText::Inline(Bytes::from_static(b"SELECT 1")),
    };
    Input::Statement(SubmittedStatement { caller, statement, engine_request })
}

fn ended(id: &str, execution: usize, outcome: Outcome) -> Input {
    Input::ExecutionEnded { id: id.into(), execution, result: outcome.into() }
}

fn engine_of(effects: &[Effect]) -> String {
    match effects {
        [Effect::Start { destination, .. }] => destination.name(),
        other => panic!("not one start: {other:?}"),
    }
}

fn answers(effects: Vec<Effect>) -> Vec<(u64, Answer)> {
    let answer = |effect| match effect {
        Effect::Answer { caller, answer } => Some((caller, answer)),
        _ => None,
    };
    effects.into_iter().filter_map(answer).collect()
}

#[test]
fn a_statement_gets_one_answer_and_later_inputs_are_dropped() {
    let mut r = reducer(true, 9);
    let at = START + ms(10);
    engine_of(&r.step(at, statement("s", 4, 0, 1000)));
    let page = Bytes::from_static(b"1\n");
    let result = ExecutionResult { pages: vec![page.clone()], ..Outcome::Completed.into() };
    let done = r.step(at + ms(30), Input::ExecutionEnded { id: "s".into(), execution: 0, result });
    assert_eq!(answers(done), vec![(4, Answer::Completed(vec![page]))]);
    assert!(r.step(at + ms(31), ended("s", 0, Outcome::Error)).is_empty());
    assert!(r.step(at + ms(32), Input::ClientDisconnected("s".into())).is_empty());
    assert!(r.step(at + ms(5000), Input::Wake).is_empty());
    assert_eq!((r.held(), r.open(), r.counts.too_late, r.counts.left), (0, 0, 1, 0));
}

#[test]
fn an_execution_that_never_ran_is_retried_elsewhere_and_one_that_may_have_run_is_not() {
    for (outcome, workload, again) in [
        (Outcome::Refused, 1, true),
        (Outcome::Full, 1, true),
        (Outcome::Error, 0, true),
        (Outcome::Reset, 1, false),
        (Outcome::Error, 1, false),
    ] {
        let mut r = reducer(true, 9);
        let first = engine_of(&r.step(START, statement("s", 1, workload, 1000)));
        let then = r.step(START + ms(1), ended("s", 0, outcome));
        if again {
            assert_ne!(engine_of(&then), first, "{outcome:?}");
        } else {
            assert_eq!(answers(then), vec![(1, Answer::Aborted)], "{outcome:?}");
        }
    }
}

#[test]
fn a_disconnected_client_cancels_its_execution() {
    let mut r = reducer(true, 9);
    engine_of(&r.step(START, statement("s", 1, 0, 1000)));
    let effects = r.step(START + ms(5), Input::ClientDisconnected("s".into()));
    assert!(effects.iter().any(|e| matches!(e, Effect::Stop { execution: 0, .. })), "{effects:?}");
    assert_eq!(answers(effects), vec![(1, Answer::Aborted)]);
    assert_eq!((r.held(), r.counts.left), (0, 1));
}

#[test]
fn an_id_in_use_and_the_statement_bound_are_rejected_before_any_decision() {
    let mut r = reducer(true, 1);
    engine_of(&r.step(START, statement("s", 1, 0, 1000)));
    assert_eq!(answers(r.step(START, statement("s", 2, 0, 1000))), vec![(2, Answer::InUse)]);
    assert_eq!(answers(r.step(START, statement("t", 3, 0, 1000))), vec![(3, Answer::Rejected(None))]);
    assert_eq!((r.counts.taken, r.counts.id_in_use, r.counts.at_bound), (1, 1, 1));
}

/// Even if the event loop was stalled for seconds, the scheduler answers each statement, once.
#[test]
fn a_stalled_loop_leaves_the_answer_to_the_scheduler() {
    let mut r = reducer(true, 9);
    engine_of(&r.step(START, statement("s", 1, 0, 300)));
    engine_of(&r.step(START, statement("t", 2, 1, 300)));
    let mut late = answers(r.step(START + ms(4000), Input::Wake));
    late.sort_by_key(|(caller, _)| *caller);
    assert!(matches!(late[..], [(1, Answer::Rejected(_)), (2, Answer::Aborted)]), "{late:?}");
    assert!(r.violations.counts().all(|(_, n)| n == 0));
    assert_eq!(r.held(), 0);
}

/// The last possible answer is sent while the client still waits, with some time left for its transmission.
#[test]
fn a_client_is_answered_before_it_stops_waiting() {
    for workload in [0, 1] {
        let mut r = reducer(true, 9);
        engine_of(&r.step(START, statement("s", 1, workload, 300)));
        let (mut at, mut answered) = (START, Vec::new());
        while answered.is_empty() {
            at = r.next_wake().expect("something is due");
            answered = answers(r.step(at, Input::Wake));
        }
        assert!(at <= START + ms(300) - ms(4), "{:?}", at - START);
    }
}

/// If only one execution may be in flight, the next waits until the engine has received the cancel.
#[test]
fn the_next_execution_waits_for_the_cancel() {
    for second_copies in [true, false] {
        let mut r = reducer(second_copies, 9);
        let effects = r.step(START, statement("s", 1, 0, 60_000));
        let Effect::Start { timeout, .. } = &effects[0] else { panic!("{effects:?}") };
        let again =
            |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Start { execution: 1, .. }));
        let mut timed_out = Vec::new();
        while timed_out.is_empty() {
            let at = r.next_wake().expect("a time-out is due");
            assert!(at <= START + *timeout);
            timed_out = r.step(at, Input::Wake);
        }
        assert!(timed_out.iter().any(|e| matches!(e, Effect::Stop { execution: 0, .. })), "{timed_out:?}");
        assert_eq!(again(&timed_out), second_copies, "{timed_out:?}");
        let notified = r.step(
            START + *timeout + ms(1),
            Input::CancelFinished { id: "s".into(), execution: 0, outcome: CancelOutcome::Over },
        );
        assert_eq!(again(&notified), !second_copies, "{notified:?}");
    }
    // An engine that does not receive the cancel does not hold up the statement beyond its deadline.
    let mut r = reducer(false, 9);
    engine_of(&r.step(START, statement("s", 1, 1, 1000)));
    let effects = r.step(START + ms(995), Input::Wake);
    assert_eq!(answers(effects), vec![(1, Answer::Aborted)]);
}

#[test]
fn closing_aborts_open_statements() {
    let mut r = reducer(true, 9);
    engine_of(&r.step(START, statement("s", 1, 0, 30_000)));
    let effects = r.step(START + ms(10), Input::Close);
    assert!(effects.iter().any(|e| matches!(e, Effect::Stop { .. })));
    assert_eq!(answers(effects), vec![(1, Answer::Aborted)]);
    assert_eq!(r.held(), 0);
}

/// While the list is silent, an engine that looks gone may have been removed, which the list would report too
/// late.
#[test]
fn an_engine_that_looks_gone_is_not_retried_while_the_list_is_silent() {
    for silent in [false, true] {
        let mut r = reducer(true, 9);
        let list = || Input::EngineList(ListKind::Snapshot, vec![listed("a"), listed("b"), listed("c")]);
        r.step(START, list());
        if silent {
            r.step(START, Input::EngineList(ListKind::Failed, Vec::new()));
        }
        // Engine `a` refuses, the others complete; a statement each 50 ms for 10 s.
        let (mut last, mut now) = (START, START);
        for n in 0..200u64 {
            now = START + ms(50 * n);
            let id = format!("s{n}");
            let mut effects = r.step(now, statement(&id, n, 0, 1000));
            let mut execution = 0;
            while let [Effect::Start { destination, .. }] = &effects[..] {
                let refuses = destination.name() == "a";
                last = if refuses { now } else { last };
                let outcome = if refuses { Outcome::Refused } else { Outcome::Completed };
                effects = r.step(now, ended(&id, execution, outcome));
                execution += 1;
            }
        }
        assert_eq!(last < START + ms(3000), silent, "last tried after {:?}", last - START);
        // Once the list answers again, the engine is tried again.
        r.step(now, list());
        let tried = (0..200u64).any(|n| {
            let (at, id) = (now + ms(50 * n), format!("t{n}"));
            let engine = engine_of(&r.step(at, statement(&id, n, 0, 1000)));
            r.step(at, ended(&id, 0, Outcome::Completed));
            engine == "a"
        });
        assert!(tried);
    }
}

/// What was observed during the generated inputs below, and what must hold for each effect.
#[derive(Default)]
struct Observed {
    callers: u64,
    until: HashMap<u64, Duration>,
    owner: HashMap<Id, u64>,
    started: HashSet<(u64, usize)>,
}

impl Observed {
    fn allows(&mut self, now: Duration, effect: Effect) -> bool {
        match effect {
            Effect::Answer { caller, .. } => {
                self.until.remove(&caller).is_some_and(|until| now <= until + ms(20))
            }
            Effect::Start { id, execution, .. } => {
                let caller = self.owner[&id];
                self.until.contains_key(&caller) && self.started.insert((caller, execution))
            }
            _ => true,
        }
    }
}

/// For any inputs in any order: each statement gets one answer in time, nothing is started after it, nothing
/// is kept.
#[test]
fn any_inputs_give_each_statement_one_answer_in_time() {
    fn holds(steps: Vec<(u8, u8, u16)>, second_copies: bool) -> TestResult {
        let mut r = reducer(second_copies, 6);
        let (mut now, mut observed) = (START, Observed::default());
        for (what, which, wait) in steps.into_iter().chain((0..4000).map(|_| (9, 0, 1000))) {
            let next = now + ms(u64::from(wait % 1001));
            now = r.next_wake().map_or(next, |due| due.min(next)).max(now);
            let id: Id = format!("s{}", which % 4).into();
            let execution = usize::from(which / 4 % 3);
            let input = match what % 10 {
                workload @ (0 | 1) => {
                    observed.callers += 1;
                    observed.until.insert(observed.callers, now + ms(u64::from(wait)));
                    statement(&id, observed.callers, usize::from(workload), u64::from(wait))
                }
                2 => Input::ClientDisconnected(id.clone()),
                3 => Input::ExecutionNoted { id: id.clone(), execution, note: Note::Progress(0.5) },
                4 => Input::CancelFinished { id: id.clone(), execution, outcome: CancelOutcome::Over },
                5..=8 => {
                    let all =
                        [Outcome::Completed, Outcome::Error, Outcome::Full, Outcome::Refused, Outcome::Reset];
                    ended(&id, execution, all[usize::from(which / 16 % 5)])
                }
                _ => Input::Wake,
            };
            let taken = matches!(input, Input::Statement(_)).then_some(observed.callers);
            let effects = r.step(now, input);
            let in_use = |e: &Effect| matches!(e, Effect::Answer { answer: Answer::InUse, .. });
            if let Some(caller) = taken.filter(|_| !effects.iter().any(in_use)) {
                observed.owner.insert(id, caller);
            }
            if !effects.into_iter().all(|effect| observed.allows(now, effect)) {
                return TestResult::error(format!("at {:?}", now - START));
            }
        }
        let kept = r.held() + r.open() + observed.until.len();
        let violated = r.violations.counts().any(|(_, n)| n > 0);
        TestResult::from_bool(kept == 0 && !violated && r.counts.executions == observed.started.len() as u64)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(120, 11)).tests(200);
    check.quickcheck(holds as fn(Vec<(u8, u8, u16)>, bool) -> TestResult);
}

#[test]
fn invariants_are_asserted_in_debug_builds() {
    let mut violations = Violations::default();
    assert!(violations.check(Invariant::OneAnswer, true));
    let found = std::panic::catch_unwind(move || violations.check(Invariant::OneAnswer, false));
    assert_eq!(found.is_err(), cfg!(debug_assertions));
}

/// Time in which the gateway was stalled doesn't count against an engine: what arrived meanwhile is read
/// first.
#[test]
fn a_late_time_out_is_extended_and_waiting_answers_are_read() {
    let mut r = reducer(true, 9);
    // Fast engines, so that a statement's time-outs are short.
    let mut at = START;
    for n in 0..200 {
        at += ms(1);
        let id = format!("f{n}");
        engine_of(&r.step(at, statement(&id, n, 0, 20_000)));
        r.step(at + Duration::from_micros(400), ended(&id, 0, Outcome::Completed));
    }
    at += ms(40);
    let timeout = match &r.step(at, statement("s", 900, 0, 20_000))[..] {
        [Effect::Start { timeout, .. }] => *timeout,
        other => panic!("{other:?}"),
    };
    assert!((ms(100)..ms(1000)).contains(&timeout), "{timeout:?}");
    // The loop is stalled for three seconds; the answer arrived meanwhile and is read next.
    let late = at + timeout + ms(3000);
    assert!(r.step(late, Input::Wake).is_empty());
    assert_eq!(r.counts.waited_on, 1);
    let done = r.step(late + ms(1), ended("s", 0, Outcome::Completed));
    assert!(matches!(answers(done)[..], [(900, Answer::Completed(_))]));
    // Without an answer the execution ends later by as much, once and in time.
    at = late + ms(100);
    r.step(at, statement("t", 901, 0, 20_000));
    assert!(r.step(at + ms(10_000), Input::Wake).is_empty());
    let mut answered = Vec::new();
    let mut stopped = 0;
    while let Some(due) = r.next_wake().filter(|due| *due < at + ms(21_000)) {
        let effects = r.step(due, Input::Wake);
        stopped += effects.iter().filter(|e| matches!(e, Effect::Stop { .. })).count();
        answered.extend(answers(effects));
    }
    assert!(stopped >= 1 && answered.len() == 1, "{stopped} {answered:?}");
    assert!(r.violations.counts().all(|(_, n)| n == 0));
}

/// On engines that answer within a millisecond, neither some tens of milliseconds nor the gateway's own pause
/// count as silence.
#[test]
fn a_pause_of_the_gateway_cancels_no_execution() {
    let mut r = reducer(true, 9);
    let mut at = START;
    let run_timers = |r: &mut Reducer, until: Duration| {
        let mut effects = Vec::new();
        while let Some(due) = r.next_wake().filter(|due| *due <= until) {
            effects.extend(r.step(due, Input::Wake));
        }
        effects
    };
    for n in 0..200 {
        at += ms(1);
        let id = format!("f{n}");
        engine_of(&r.step(at, statement(&id, n, 0, 20_000)));
        r.step(at + Duration::from_micros(400), ended(&id, 0, Outcome::Completed));
    }
    run_timers(&mut r, at);
    let engine = engine_of(&r.step(at, statement("s", 900, 0, 20_000)));
    assert!(run_timers(&mut r, at + ms(90)).is_empty());
    // The gateway is stalled for two seconds; what the engine sent meanwhile is read after that.
    assert!(r.step(at + ms(2090), Input::Wake).is_empty());
    let other = engine_of(&r.step(at + ms(2091), statement("t", 901, 0, 20_000)));
    assert_ne!(engine, other);
    assert!(matches!(answers(r.step(at + ms(2092), ended("s", 0, Outcome::Completed)))[..], [(900, _)]));
    assert!(matches!(answers(r.step(at + ms(2092), ended("t", 0, Outcome::Completed)))[..], [(901, _)]));
    assert_eq!((r.counts.stopped, r.counts.timed_out), (0, 0));
}

const ORPHAN_RETENTION: Duration = Duration::from_millis(300);

/// A fleet with one member, whose floor is the whole budget.
fn fleet_of_one(scope: Scope, measure: Measure, whole: u64) -> node::Start {
    let config = FleetConfig {
        fleet: 1,
        max_members: 1,
        voters: 3,
        lease: ms(1000),
        drift_percent: 1,
        max_execution_time: ms(2000),
        orphan_retention: ORPHAN_RETENTION,
        injected_bug: None,
    };
    let (burst, name) = (ms(1000), "b".to_string());
    let budget =
        Budget { name, scope, measure, whole: whole * UNIT, floor_percent: 100, quantum: UNIT, burst };
    node::Start {
        member_id: 0,
        voter: None,
        incarnation: Incarnation(1),
        config,
        budgets: vec![budget],
        table_digest: 1,
        seed: 1,
    }
}

/// Runs the timers up to a time. Messages to the fleet are left out of the effects.
fn run_until(r: &mut Reducer, from: Duration, to: Duration) -> Vec<Effect> {
    let mut effects = Vec::new();
    let mut now = from;
    while now < to {
        now = r.next_wake().map_or(to, |due| due.max(now + ms(1))).min(to);
        effects.extend(r.step(now, Input::Wake));
    }
    effects.retain(|effect| !matches!(effect, Effect::SendToFleet { .. }));
    effects
}

fn start_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Start { .. })).count()
}

#[test]
fn beyond_the_grant_a_statement_is_rejected_at_once_and_no_engine_is_blamed() {
    let mut r = reducer_in(Some(fleet_of_one(Scope::default(), Measure::StatementsAtOnce, 2)), true, 99);
    // A previous process may have executions running: nothing is sent yet.
    let early = r.step(START + ms(1), statement("early", 0, 0, 900));
    assert!(matches!(&answers(early)[..], [(0, Answer::Rejected(_))]));
    let from = START + ms(1000);
    run_until(&mut r, START + ms(1), from);
    for (number, wanted) in [(1, 1), (2, 1), (3, 0)] {
        let effects = r.step(from, statement(&format!("s{number}"), number, 0, 900));
        assert_eq!(start_count(&effects), wanted, "statement {number}");
        assert_eq!(answers(effects).len(), 1 - wanted);
    }
    // The budget of one that has ended is free for the next, in the same step.
    assert_eq!(answers(r.step(from + ms(10), completed("s1"))).len(), 1);
    assert_eq!(start_count(&r.step(from + ms(10), statement("s4", 4, 0, 900))), 1);
    // Had the rejections counted against engines, none would be tried now.
    r.step(from + ms(20), completed("s2"));
    assert_eq!(start_count(&r.step(from + ms(20), statement("s5", 5, 1, 900))), 1);
    assert_eq!((r.counts.errors, r.counts.full, r.counts.refused), (0, 0, 0));
}

fn completed(id: &str) -> Input {
    ended(id, 0, Outcome::Completed)
}

#[test]
fn an_unconfirmed_execution_counts_until_it_cannot_run() {
    let mut r = reducer_in(Some(fleet_of_one(Scope::default(), Measure::StatementsAtOnce, 1)), true, 99);
    let from = START + ms(1000);
    run_until(&mut r, START, from);
    assert_eq!(start_count(&r.step(from, statement("s", 1, 1, 400))), 1);
    // Its time is over, the cancel is under way, and it is unknown whether the engine received it.
    let over = run_until(&mut r, from, from + ms(420));
    assert_eq!(answers(over), vec![(1, Answer::Aborted)]);
    let next = |r: &mut Reducer, at: Duration, id: &str| start_count(&r.step(at, statement(id, 2, 0, 900)));
    assert_eq!(next(&mut r, from + ms(421), "t"), 0);
    // Engines end orphaned executions after `ORPHAN_RETENTION`; but one that has not read it yet may start it
    // after that.
    run_until(&mut r, from + ms(421), from + ms(1100));
    assert_eq!(next(&mut r, from + ms(1100), "u"), 0, "it may not have been read");
    // As long as for a gateway that fell silent: a lease, a quarter of it and the longest execution.
    let unconfirmed = ms(1000 + 250 + 2000);
    run_until(&mut r, from + ms(1100), from + ms(420) + unconfirmed);
    assert_eq!(next(&mut r, from + ms(420) + unconfirmed, "v"), 0, "clocks may differ");
    let later = from + ms(420) + unconfirmed + ms(400);
    run_until(&mut r, from + ms(421) + unconfirmed, later);
    assert_eq!(next(&mut r, later, "w"), 1);
}

/// The engine's answer to the cancel decides for how long the execution still counts.
#[test]
fn a_cancelled_execution_counts_until_its_engine_answers() {
    for (outcome, free_after) in [
        (CancelOutcome::Over, Some(ms(0))),
        // Its process is gone, or something refuses in its place: a started execution ends by itself.
        (CancelOutcome::Gone, Some(ORPHAN_RETENTION + ms(220))),
        (CancelOutcome::CutOff, Some(ORPHAN_RETENTION + ms(220))),
        (CancelOutcome::Unread, None),
        (CancelOutcome::Unknown, None),
    ] {
        let mut r = reducer_in(Some(fleet_of_one(Scope::default(), Measure::StatementsAtOnce, 1)), true, 99);
        let from = START + ms(1000);
        run_until(&mut r, START, from);
        assert_eq!(start_count(&r.step(from, statement("s", 1, 1, 400))), 1);
        run_until(&mut r, from, from + ms(420));
        let notified = from + ms(450);
        run_until(&mut r, from + ms(420), notified);
        r.step(notified, Input::CancelFinished { id: "s".into(), execution: 0, outcome });
        let next =
            |r: &mut Reducer, at: Duration, id: &str| start_count(&r.step(at, statement(id, 2, 0, 900)));
        match free_after {
            Some(span) => {
                if !span.is_zero() {
                    assert_eq!(next(&mut r, notified + ms(1), "t"), 0, "{outcome:?}");
                    run_until(&mut r, notified + ms(1), notified + span);
                }
                assert_eq!(next(&mut r, notified + span, "u"), 1, "{outcome:?}");
            }
            None => {
                run_until(&mut r, notified, notified + ms(2000));
                assert_eq!(next(&mut r, notified + ms(2000), "u"), 0, "{outcome:?}");
            }
        }
    }
}

/// An execution that its engine may not have read has ended here, and is cancelled until the engine answers.
#[test]
fn an_execution_that_may_be_unread_counts_and_is_cancelled() {
    let mut r = reducer_in(Some(fleet_of_one(Scope::default(), Measure::StatementsAtOnce, 1)), true, 99);
    let from = START + ms(1000);
    run_until(&mut r, START, from);
    assert_eq!(start_count(&r.step(from, statement("s", 1, 1, 900))), 1);
    let result = ExecutionResult { unread: true, ..Outcome::Reset.into() };
    let effects = r.step(from + ms(310), Input::ExecutionEnded { id: "s".into(), execution: 0, result });
    let cancels = effects.iter().filter(|e| matches!(e, Effect::Stop { cancel, .. } if !cancel.arrived));
    assert_eq!(cancels.count(), 1, "{effects:?}");
    run_until(&mut r, from + ms(310), from + ms(1500));
    assert_eq!(start_count(&r.step(from + ms(1500), statement("t", 2, 0, 900))), 0);
    r.step(
        from + ms(1501),
        Input::CancelFinished { id: "s".into(), execution: 0, outcome: CancelOutcome::Over },
    );
    assert_eq!(start_count(&r.step(from + ms(1502), statement("u", 3, 0, 900))), 1);
}

/// If only one attempt may be in flight, the next waits until the engine shows that the previous one is over.
#[test]
fn the_next_attempt_waits_for_one_that_may_be_unread() {
    for (outcome, again) in [
        (CancelOutcome::Over, true),
        (CancelOutcome::Gone, true),
        (CancelOutcome::CutOff, true),
        (CancelOutcome::Unread, false),
        (CancelOutcome::Unknown, false),
    ] {
        let mut r = reducer(false, 9);
        let first = r.step(START, statement("s", 1, 0, 60_000));
        let Some(Effect::Start { timeout, .. }) = first.first() else { panic!("{first:?}") };
        let over = START + *timeout + ms(1);
        r.step(over, Input::Wake);
        let notified = r.step(over + ms(9), Input::CancelFinished { id: "s".into(), execution: 0, outcome });
        assert_eq!(start_count(&notified) == 1, again, "{outcome:?}: {notified:?}");
    }
}

#[test]
fn further_executions_have_their_own_budget() {
    let further = Scope { further: true, ..Scope::default() };
    for (whole, again) in [(0, false), (1, true)] {
        let mut r =
            reducer_in(Some(fleet_of_one(further.clone(), Measure::StatementsPerSecond, whole)), true, 99);
        let from = START + ms(3000);
        run_until(&mut r, START, from);
        assert_eq!(start_count(&r.step(from, statement("s", 1, 0, 900))), 1);
        let then = r.step(from + ms(5), ended("s", 0, Outcome::Error));
        assert_eq!(start_count(&then), usize::from(again), "a whole of {whole}");
    }
}

/// Guards against an execution that is decided in time but sent after a pause, when its grant has expired.
#[test]
fn a_start_carries_the_end_of_its_grant() {
    let mut r = reducer_in(Some(fleet_of_one(Scope::default(), Measure::StatementsAtOnce, 9)), true, 99);
    let from = START + ms(1000);
    run_until(&mut r, START, from);
    let effects = r.step(from, statement("s", 1, 0, 900));
    assert!(matches!(&effects[..], [Effect::Start { not_after: Some(end), .. }] if *end == from + ms(250)));
    let mut r = reducer(true, 99);
    let effects = r.step(from, statement("s", 1, 0, 900));
    assert!(matches!(&effects[..], [Effect::Start { not_after: None, .. }]), "no fleet, no end");
}

fn with_other_text(id: &str, caller: u64) -> Input {
    let Input::Statement(mut taken) = statement(id, caller, 0, 900) else { panic!("a statement") };
    taken.engine_request.text = StatementText::Inline("SELECT another".into());
    Input::Statement(taken)
}

/// Guards against a call with the id of a statement that has just ended but another text being taken for a
/// repeat of it.
#[test]
fn another_statement_under_an_id_that_has_just_ended_is_refused() {
    let mut r = reducer(true, 99);
    assert_eq!(start_count(&r.step(START, statement("s", 1, 0, 900))), 1);
    assert_eq!(answers(r.step(START + ms(5), completed("s"))).len(), 1);
    // The same statement may be sent again.
    assert_eq!(answers(r.step(START + ms(10), with_other_text("s", 2))), vec![(2, Answer::InUse)]);
    assert_eq!(start_count(&r.step(START + ms(11), statement("s", 3, 0, 900))), 1);
    r.step(START + ms(15), completed("s"));
    assert_eq!(answers(r.step(START + ms(2000), with_other_text("s", 4))), vec![(4, Answer::InUse)]);
    assert_eq!(start_count(&r.step(START + ms(3100), with_other_text("s", 5))), 1, "not for ever");
    assert_eq!(r.counts.id_in_use, 2);
}

/// Guards against a statement that runs twice as its id comes again after its client has left.
#[test]
fn an_id_that_comes_again_does_not_repeat_what_may_have_run_or_may_still_start() {
    let cases = [(0, true, true), (1, true, false), (0, false, false), (1, false, false)];
    for (workload, second_copies, may_repeat) in cases {
        let mut r = reducer(second_copies, 9);
        assert_eq!(start_count(&r.step(START, statement("s", 1, workload, 900))), 1);
        r.step(START + ms(5), Input::ClientDisconnected("s".into()));
        // The cancel is never confirmed; the statement is held until its time is over at the latest.
        run_until(&mut r, START + ms(5), START + ms(950));
        let again = r.step(START + ms(951), statement("s", 2, workload, 900));
        assert_eq!(start_count(&again) == 1, may_repeat, "{workload} {second_copies}: {again:?}");
    }
}

/// The memory of ended ids is bounded.
#[test]
fn only_the_most_recently_ended_ids_are_remembered() {
    let mut r = reducer(true, 4);
    for number in 0..9 {
        let id = format!("s{number}");
        assert_eq!(start_count(&r.step(START, statement(&id, number, 0, 900))), 1);
        r.step(START + ms(1), completed(&id));
    }
    let later = |r: &mut Reducer, id: &str| answers(r.step(START + ms(2), with_other_text(id, 99)));
    assert_eq!(later(&mut r, "s8"), vec![(99, Answer::InUse)]);
    assert_eq!(later(&mut r, "s0"), vec![]);
}

/// Guards against calls to another process than the one that has the execution.
#[test]
fn the_list_tells_whether_a_destination_is_still_the_same_process() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let entry = |id: &str, port: u16, started: ProcessStart| {
        let mut engine = listed(id);
        (engine.address, engine.entry.started) = (address(port), started);
        engine
    };
    let sent_at = START + ms(50);
    let sent = Destination {
        engine: Some("a".into()),
        address: address(9),
        started: ProcessStart::LongAgo,
        sent_at,
    };
    let unnamed = Destination::at(address(9));
    use EngineListing::*;
    use ProcessStart::*;
    for (list, named, by_address) in [
        (vec![entry("a", 9, LongAgo)], Listed, Listed),
        // The same process, stated differently, or another one; its clock may be behind or ahead.
        (vec![entry("a", 9, Foreign(START))], OtherStart, Listed),
        (vec![entry("a", 9, Foreign(START + ms(3_600_000)))], OtherStart, Listed),
        (vec![entry("a", 8, Foreign(START))], Dropped, Dropped),
        (vec![entry("b", 9, LongAgo)], Replaced, Listed),
        (vec![entry("a", 8, LongAgo), entry("b", 9, LongAgo)], Replaced, Listed),
        (vec![entry("a", 8, LongAgo)], Dropped, Dropped),
        (vec![entry("b", 8, LongAgo)], Dropped, Dropped),
        (vec![], Dropped, Dropped),
    ] {
        let mut r = reducer(false, 9);
        r.step(START + ms(60), Input::EngineList(ListKind::Snapshot, list.clone()));
        assert_eq!((r.engine_listing(&sent), r.engine_listing(&unnamed)), (named, by_address), "{list:?}");
    }
}

/// A reducer that starts after a process was killed, keeps a record, and knows this of its predecessor.
fn restarted(predecessor: Predecessor, whole: u64) -> (Reducer, Vec<Effect>) {
    let start = fleet_of_one(Scope::default(), Measure::StatementsAtOnce, whole);
    let slots = Some(Slots::start(start.incarnation, start.table_digest, 0, None));
    let part = FleetMembership { start, predecessor, slots };
    let (site, _) = bramblewharf_site::read(&settings(true)).unwrap();
    let (mut reducer, mut effects) = Reducer::start_in_fleet(Some(part), None, site, 7, 99, START);
    let mut list = vec![listed("a"), listed("b")];
    let port = list[0].address.port() + 1;
    list[1].address.set_port(port);
    effects.extend(reducer.step(START, Input::EngineList(ListKind::Cached, list)));
    (reducer, effects)
}

fn predecessor_with_record(id: &str) -> Predecessor {
    let run = ProcessRun {
        incarnation: Incarnation(7),
        predecessor: None,
        complete: true,
        table_digest: 1,
        boot_id: 0,
    };
    let demand = vec![(0, UNIT)];
    let outstanding = Outstanding { id: id.into(), execution: 0, engine: listed("a").address, demand };
    Predecessor::Recorded(Record { run, outstanding: vec![outstanding] })
}

/// Guards against executions of a killed process being taken for over before their engine has shown it.
#[test]
fn executions_of_a_previous_process_count_until_their_engine_answers() {
    for (outcome, is_free) in [
        (CancelOutcome::Over, true),
        (CancelOutcome::Unread, false),
        (CancelOutcome::Unknown, false),
        // The connection was not reset: data in transit may still arrive.
        (CancelOutcome::CutOff, false),
    ] {
        let (mut r, effects) = restarted(predecessor_with_record("old"), 2);
        let asked = |effect: &&Effect| matches!(effect, Effect::Stop { id, cancel, .. } if &**id == "old" && cancel.awaited);
        assert_eq!(effects.iter().filter(asked).count(), 1);
        // The probes say nothing about that execution: the floor is usable, less what the execution uses.
        let effects = run_until(&mut r, START, START + ms(500));
        let probes = effects.iter().filter(|effect| matches!(effect, Effect::ProbeEngine { .. })).count();
        assert_eq!(probes, 2, "{effects:?}");
        run_until(&mut r, START + ms(500), START + ms(900));
        (0..probes).for_each(|_| drop(r.step(START + ms(900), Input::EngineProbed { has_read: true })));
        run_until(&mut r, START + ms(900), START + ms(1500));
        let from = START + ms(1500);
        assert_eq!(start_count(&r.step(from, statement("s", 1, 0, 900))), 1);
        assert_eq!(start_count(&r.step(from, statement("t", 2, 0, 900))), 0);
        r.step(from + ms(1), Input::CancelFinished { id: "old".into(), execution: 0, outcome });
        assert_eq!(
            start_count(&r.step(from + ms(2), statement("u", 3, 0, 900))) == 1,
            is_free,
            "{outcome:?}"
        );
        if !is_free {
            // No longer than an engine can take to start and run it.
            r.step(from + ms(10), completed("s"));
            run_until(&mut r, from + ms(10), START + ms(4000));
            assert_eq!(r.fleet().unwrap().figures(START + ms(4000))[0].in_use, 0, "{outcome:?}");
        }
    }
}

/// Guards against using the floor before every engine has shown that it has read what an unknown process
/// sent.
#[test]
fn without_a_record_every_engine_is_probed_first() {
    let next = |r: &mut Reducer, at: Duration, id: &str| start_count(&r.step(at, statement(id, 2, 0, 900)));
    for silent in [false, true] {
        let (mut r, _) = restarted(Predecessor::Unknown, 2);
        let effects = run_until(&mut r, START, START + ms(100));
        assert_eq!(effects.iter().filter(|effect| matches!(effect, Effect::ProbeEngine { .. })).count(), 2);
        run_until(&mut r, START + ms(100), START + ms(600));
        r.step(START + ms(600), Input::EngineProbed { has_read: true });
        run_until(&mut r, START + ms(600), START + ms(1800));
        assert_eq!(next(&mut r, START + ms(1800), "s"), 0, "one has yet to answer");
        r.step(START + ms(1800), Input::EngineProbed { has_read: !silent });
        run_until(&mut r, START + ms(1800), START + ms(1900));
        assert_eq!(next(&mut r, START + ms(1900), "t"), 0, "engines keep orphans for a while");
        run_until(&mut r, START + ms(1900), START + ms(2400));
        assert_eq!(next(&mut r, START + ms(2400), "u"), usize::from(!silent));
        run_until(&mut r, START + ms(2400), START + ms(4000));
        if silent {
            assert_eq!(next(&mut r, START + ms(4000), "v"), 1, "no longer than it may run");
        }
    }
}

/// Guards against a first byte that is sent before the record holds its execution.
#[test]
fn an_execution_is_recorded_before_it_is_sent_until_it_is_over() {
    let (mut r, _) = restarted(Predecessor::Ended, 2);
    let from = START + ms(1000);
    let early = run_until(&mut r, START, from);
    assert!(
        early.iter().any(|effect| matches!(effect, Effect::RecordOutstanding(write) if write.offset == 0)),
        "complete"
    );
    let effects = r.step(from, statement("s", 1, 0, 900));
    let [Effect::RecordOutstanding(added), Effect::Start { .. }] = &effects[..] else {
        panic!("{effects:?}")
    };
    assert!(added.bytes.iter().any(|byte| *byte != 0));
    let effects = r.step(from + ms(5), completed("s"));
    let removed = effects.iter().find_map(|effect| match effect {
        Effect::RecordOutstanding(write) => Some(write),
        _ => None,
    });
    let removed = removed.expect("it is over");
    assert_eq!((removed.offset, removed.bytes.iter().all(|byte| *byte == 0)), (added.offset, true));
}
