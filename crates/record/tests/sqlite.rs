//! The SQLite store by itself, and `Operations` on top of it with seeded random faults.

use bramblewharf_record::breaker::CircuitBreaker;
use bramblewharf_record::operations::{Key, RepeatClass, Reply};
use bramblewharf_record::sqlite::{OpenError, SqliteStore};
use bramblewharf_record::store::{Content, Owner, LEASE};
use bramblewharf_record::{Digest, Effect, ExecutionOutcome, Input, Operations, Store};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// On a file system in memory where there is one: each transaction syncs to disk, and these tests do not cut
/// the power.
fn dir() -> tempfile::TempDir {
    tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).unwrap()
}

fn owner(gateway: &str, incarnation: u64) -> Owner {
    Owner { gateway: gateway.into(), incarnation }
}

fn content(bytes: &[u8], group: u64) -> Content {
    let chunks = bytes.chunks(1000).map(<[u8]>::to_vec).collect();
    Content { customer: "acme".into(), workload: "load".into(), table_group: Some(group), chunks }
}

fn intended(reply: Reply) -> u64 {
    match reply {
        Reply::Intended { fence } => fence,
        other => panic!("{other:?}"),
    }
}

#[test]
fn revision_is_stored_once_with_number_and_digest() {
    let dir = dir();
    let path = dir.path().join("record.db");
    let (writer, bytes) = (owner("n0", 1), vec![b'x'; 5_000]);
    let digest = Digest::of(&bytes);
    {
        let mut store = SqliteStore::open(&path).unwrap();
        store.renew_lease(&writer);
        for (number, key) in ["a", "b", "c"].into_iter().enumerate() {
            let key: Key = key.into();
            let fence = intended(store.intend(&writer, number as u64, &key, &digest, false));
            assert_eq!(store.record(&writer, &key, &digest, fence, &content(&bytes, 17)), Reply::Done);
            // Repeated calls change nothing.
            assert_eq!(store.record(&writer, &key, &digest, fence, &content(&bytes, 17)), Reply::Recorded);
            assert_eq!(store.intend(&writer, 9, &key, &digest, true), Reply::Recorded);
            assert_eq!(store.intend(&writer, 9, &key, &Digest::of(b"else"), true), Reply::Conflict);
        }
    }
    let store = SqliteStore::open(&path).unwrap();
    let found: Vec<(String, u64)> =
        store.revisions().unwrap().into_iter().map(|r| (r.key, r.number)).collect();
    assert_eq!(found, [("a".into(), 1), ("b".into(), 2), ("c".into(), 3)]);
    assert!(store.verify().unwrap().is_empty() && store.in_doubt().unwrap().is_empty());
    drop(store);
    let raw = rusqlite::Connection::open(&path).unwrap();
    raw.execute("UPDATE content SET bytes = x'00' WHERE key = 'b' AND chunk = 2", []).unwrap();
    raw.execute("UPDATE revision SET number = 7 WHERE key = 'c'", []).unwrap();
    assert_eq!(SqliteStore::open(&path).unwrap().verify().unwrap().len(), 2);
}

#[test]
fn intent_of_a_dead_owner_is_taken_over_after_its_lease_and_fenced() {
    let dir = dir();
    let path = dir.path().join("record.db");
    let (mut store, mut other) = (SqliteStore::open(&path).unwrap(), SqliteStore::open(&path).unwrap());
    let (dead, survivor, key, digest) = (owner("n0", 1), owner("n1", 1), Key::from("k"), Digest::of(b"x"));
    store.renew_lease(&dead);
    other.renew_lease(&survivor);
    let fence = intended(store.intend(&dead, 1, &key, &digest, false));
    assert_eq!(other.intend(&survivor, 1, &key, &digest, true), Reply::HeldByOther);
    other.clock_offset = LEASE + Duration::from_secs(1);
    other.renew_lease(&survivor);
    assert_eq!(other.intend(&survivor, 1, &key, &digest, false), Reply::InDoubt);
    assert_eq!(other.in_doubt().unwrap(), ["k"]);
    assert_eq!(store.record(&dead, &key, &digest, fence, &content(b"x", 1)), Reply::Fenced);
    assert_eq!(store.check_recorded(&dead, &key, &digest, fence), Reply::Fenced);
    // A repeatable operation continues under a new fencing token; the withdrawal of the dead owner has no
    // effect on it.
    let fence = intended(other.intend(&survivor, 2, &key, &digest, true));
    assert_eq!(store.withdraw(&dead, 1, &key), Reply::Fenced);
    assert_eq!(other.record(&survivor, &key, &digest, fence, &content(b"x", 1)), Reply::Done);
    assert_eq!(store.revisions().unwrap().len(), 1);
}

#[test]
fn full_locked_newer_or_corrupted_file_is_reported_and_not_written() {
    let dir = dir();
    let path = dir.path().join("record.db");
    let (writer, key, bytes) = (owner("n0", 1), Key::from("k"), vec![7; 2_000_000]);
    let digest = Digest::of(&bytes);
    let mut store = SqliteStore::open(&path).unwrap();
    store.renew_lease(&writer);
    let fence = intended(store.intend(&writer, 1, &key, &digest, false));
    store.limit_pages(100).unwrap();
    assert_eq!(store.record(&writer, &key, &digest, fence, &content(&bytes, 1)), Reply::Failed);
    assert!(store.revisions().unwrap().is_empty());
    store.limit_pages(1_000_000).unwrap();
    let raw = rusqlite::Connection::open(&path).unwrap();
    raw.execute_batch("BEGIN IMMEDIATE").unwrap();
    assert_eq!(store.record(&writer, &key, &digest, fence, &content(&bytes, 1)), Reply::Failed);
    raw.execute_batch("ROLLBACK").unwrap();
    assert_eq!(store.record(&writer, &key, &digest, fence, &content(&bytes, 1)), Reply::Done);
    drop(store);
    raw.pragma_update(None, "user_version", 99).unwrap();
    drop(raw);
    assert!(matches!(SqliteStore::open(&path), Err(OpenError::NewerSchema)));
    let corrupted = dir.path().join("corrupted.db");
    std::fs::write(&corrupted, vec![b'?'; 8192]).unwrap();
    assert!(SqliteStore::open(&corrupted).is_err());
}

#[test]
fn breaker_opens_sends_one_probe_and_closes() {
    let ms = Duration::from_millis;
    let mut breaker = CircuitBreaker::default();
    for id in 0..3 {
        assert!(breaker.try_acquire(ms(0), id).is_ok());
        breaker.record_result(ms(0), id, false);
    }
    assert_eq!(breaker.try_acquire(ms(50), 3), Err(ms(200)));
    assert!(breaker.try_acquire(ms(250), 4).is_ok() && breaker.try_acquire(ms(250), 5).is_err());
    // The result of a request sent before the breaker opened does not count for the probe.
    breaker.record_result(ms(251), 2, true);
    assert!(breaker.is_open());
    breaker.record_result(ms(260), 4, false);
    assert_eq!(breaker.try_acquire(ms(260), 6), Err(ms(500)));
    assert!(breaker.try_acquire(ms(760), 7).is_ok());
    breaker.record_result(ms(770), 7, true);
    assert!(!breaker.is_open() && breaker.try_acquire(ms(771), 8).is_ok());
}

/// Runs statements with a few keys through two gateways that share a database. Replies are lost, gateways
/// crash, and executions end in any way.
fn run(steps: Vec<(u8, u8, u8)>) {
    let dir = dir();
    let path = dir.path().join("record.db");
    let mut stores = [SqliteStore::open(&path).unwrap(), SqliteStore::open(&path).unwrap()];
    let mut owners = [owner("n0", 1), owner("n1", 1)];
    let mut operations = [Operations::default(), Operations::default()];
    let mut clock_offset = Duration::ZERO;
    let mut effects_of: BTreeMap<Key, u32> = BTreeMap::new();
    let mut acknowledged: BTreeSet<Key> = BTreeSet::new();
    let mut answers: BTreeMap<u64, u32> = BTreeMap::new();
    let bytes = |key: &Key| format!("plan of {key}").into_bytes();
    for (number, (restart, selector, seed)) in steps.into_iter().enumerate() {
        let (id, gateway) = (number as u64, usize::from(selector) % 2);
        let key = Key::from(format!("k{}", selector / 2 % 4));
        // Even keys are non-idempotent.
        let class = if selector / 2 % 2 == 0 { RepeatClass::NonIdempotent } else { RepeatClass::Repeatable };
        if restart % 8 == 0 {
            clock_offset += LEASE + Duration::from_secs(1);
            (owners[gateway].incarnation, operations[gateway]) =
                (owners[gateway].incarnation + 1, Operations::default());
        }
        for store in &mut stores {
            store.clock_offset = clock_offset;
        }
        (0..2).for_each(|index| assert_eq!(stores[index].renew_lease(&owners[index]), Reply::Done));
        let digest = Digest::of(&bytes(&key));
        let mut queue = operations[gateway].step(id, Input::Begin { key: key.clone(), digest, class });
        let mut random = u32::from(seed);
        let mut crashed = false;
        while let Some(effect) = queue.pop() {
            random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let (store, writer) = (&mut stores[gateway], &owners[gateway]);
            let lost = random >> 24 < 40;
            let done = !lost || random >> 16 & 1 == 0;
            let mut call_store = |reply: &mut dyn FnMut(&mut SqliteStore) -> Reply| {
                let reply = if done { reply(store) } else { Reply::Unknown };
                Input::StoreReplied(if lost { Reply::Unknown } else { reply })
            };
            let input = match &effect {
                Effect::Intend { id, key, digest, replace_in_doubt } => {
                    call_store(&mut |s| s.intend(writer, *id, key, digest, *replace_in_doubt))
                }
                Effect::Record { key, digest, fence, .. } => {
                    call_store(&mut |s| s.record(writer, key, digest, *fence, &content(&bytes(key), 1)))
                }
                Effect::CheckRecorded { key, digest, fence, .. } => {
                    call_store(&mut |s| s.check_recorded(writer, key, digest, *fence))
                }
                Effect::Withdraw { id, key } => call_store(&mut |s| s.withdraw(writer, *id, key)),
                Effect::MarkInDoubt { key, fence, .. } => {
                    call_store(&mut |s| s.mark_in_doubt(writer, key, *fence))
                }
                Effect::Execute { .. } => {
                    let (outcome, effect) = match random >> 20 & 7 {
                        0 => (ExecutionOutcome::NotRun, false),
                        1 => (ExecutionOutcome::MaybeRan, true),
                        2 => (ExecutionOutcome::MaybeRan, false),
                        _ => (ExecutionOutcome::Completed, true),
                    };
                    *effects_of.entry(key.clone()).or_default() += u32::from(effect);
                    // The gateway is killed during the statement.
                    if random >> 28 == 3 {
                        crashed = true;
                        break;
                    }
                    Input::ExecutionEnded(outcome)
                }
                Effect::Answer { id, answer } => {
                    *answers.entry(*id).or_default() += 1;
                    if *answer == bramblewharf_record::Answer::Completed {
                        acknowledged.insert(key.clone());
                    }
                    continue;
                }
            };
            queue.extend(operations[gateway].step(id, input));
        }
        if crashed {
            clock_offset += LEASE + Duration::from_secs(1);
            (owners[gateway].incarnation, operations[gateway]) =
                (owners[gateway].incarnation + 1, Operations::default());
        } else {
            assert_eq!((answers.get(&id), operations[gateway].unfinished()), (Some(&1), 0));
        }
    }
    // The checks below read the store directly.
    let store = SqliteStore::open(&path).unwrap();
    let revisions = store.revisions().unwrap();
    let keys: BTreeSet<Key> = revisions.iter().map(|r| r.key.as_str().into()).collect();
    assert_eq!(keys.len(), revisions.len());
    assert!(acknowledged.is_subset(&keys), "{acknowledged:?} {keys:?}");
    assert!(store.verify().unwrap().is_empty());
    for (key, effects) in effects_of {
        let non_idempotent = key.as_bytes()[1] % 2 == 0;
        assert!(!non_idempotent || effects <= 1, "{key}: {effects} effects");
    }
}

#[test]
fn acknowledged_revisions_are_stored_once_after_any_faults() {
    let config = Config { cases: 16, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let steps = prop::collection::vec(any::<(u8, u8, u8)>(), 1..60);
    let run = |steps| {
        run(steps);
        Ok(())
    };
    runner.run(&steps, run).unwrap();
}
