//! How long an engine counts as cold by starts that another machine's clock states: it counts from when this
//! gateway was told of the process, and neither replicas that state one process differently nor a list that
//! misses an engine once make it cold for good.

mod common;
use bramblewharf::interface::*;
use common::*;
use std::time::Duration;

/// The cold time and the window of `site`.
const COLD_MS: u64 = 10_000;
const WINDOW_MS: u64 = 1_000;
/// More statements than a cold engine of four cores may get in a window.
const MORE_THAN_COLD: usize = 60;
/// Interval between two answers of the name service.
const ANSWER_MS: u64 = 150;

/// A time of another machine's clock.
fn stated(seconds: u64) -> ProcessStart {
    ProcessStart::Foreign(Duration::from_secs(1_700_000_000 + seconds))
}

fn tell(harness: &mut Harness, starts: &[ProcessStart]) {
    let entry = |(n, started): (usize, &ProcessStart)| EngineEntry { started: *started, ..engine(n) };
    let list = starts.iter().enumerate().map(entry).collect();
    harness.event(Event::EngineList(ListKind::Snapshot, list));
}

/// A gateway that has been up for longer than a window, with one engine on its list.
fn harness() -> Harness {
    let mut harness = Harness::new(site(vec![workload(Effect::Idempotent)]), 1);
    harness.advance(2 * WINDOW_MS);
    harness
}

/// Whether the engine gets no more than a cold one may, in a window that no earlier statement is in.
fn is_cold(harness: &mut Harness) -> bool {
    harness.advance(WINDOW_MS + 1);
    let sends = (0..MORE_THAN_COLD).filter(|_| {
        let (id, engine) = harness.submit(0);
        engine.map(|engine| harness.end(&id, 0, &engine, Outcome::Completed)).is_some()
    });
    sends.count() < MORE_THAN_COLD
}

#[test]
fn an_engine_is_cold_for_the_stated_time_after_it_was_told_of() {
    for start in
        [stated(0), ProcessStart::Foreign(ms(1)), ProcessStart::Foreign(Duration::from_secs(1 << 40))]
    {
        let mut harness = harness();
        assert!(!is_cold(&mut harness), "it started long ago");
        tell(&mut harness, &[start]);
        harness.advance(COLD_MS - 2 * WINDOW_MS);
        assert!(is_cold(&mut harness));
        assert!(!is_cold(&mut harness));
    }
}

/// Guards against a restarted gateway that takes the start on its first list for a time of its own clock: it
/// can't know how long the engine has been up, nor what a previous process sent to it.
#[test]
fn an_engine_on_the_first_list_counts_as_cold_from_the_start_of_the_gateway() {
    for start in
        [stated(0), ProcessStart::Foreign(ms(1)), ProcessStart::Foreign(Duration::from_secs(1 << 40))]
    {
        let mut harness = Harness::new(site(vec![workload(Effect::Idempotent)]), 0);
        tell(&mut harness, &[start]);
        assert_eq!(harness.submit(0).1, None, "what a previous process sent is unknown");
        harness.advance(COLD_MS - 2 * WINDOW_MS);
        assert!(is_cold(&mut harness));
        assert!(!is_cold(&mut harness));
    }
}

#[test]
fn an_engine_that_started_long_ago_is_warm_at_once() {
    let mut harness = Harness::new(site(vec![workload(Effect::Idempotent)]), 0);
    tell(&mut harness, &[ProcessStart::LongAgo]);
    assert!(!is_cold(&mut harness));
}

/// Guards against a process that is never taken for a new one, as its machine's clock was stepped back: it
/// would get the full load while it is cold, and stay ejected for what the process before it did.
#[test]
fn a_process_with_an_earlier_start_than_the_one_before_is_a_new_one() {
    let mut harness = harness();
    tell(&mut harness, &[stated(3600), ProcessStart::LongAgo]);
    harness.advance(COLD_MS);
    // Engines that fail get nothing more; the other one completes what they failed.
    let reaches_first = |harness: &mut Harness| {
        (0..4).any(|_| {
            let (id, engine) = harness.submit(0);
            let is_first = engine.as_deref() == Some("e0");
            let actions = match engine {
                Some(engine) if is_first => harness.end(&id, 0, &engine, Outcome::Error),
                Some(engine) => harness.end(&id, 0, &engine, Outcome::Completed),
                None => Vec::new(),
            };
            engine_of(&actions)
                .into_iter()
                .for_each(|other| drop(harness.end(&id, 1, &other, Outcome::Completed)));
            is_first
        })
    };
    assert!((0..20).any(|_| !reaches_first(&mut harness)), "it is ejected");
    tell(&mut harness, &[stated(0), ProcessStart::LongAgo]);
    assert!(reaches_first(&mut harness), "the new process is not");
    tell(&mut harness, &[stated(0)]);
    assert!(is_cold(&mut harness));
}

#[test]
fn replicas_that_state_one_process_differently_make_it_cold_once() {
    let mut harness = harness();
    for answer in 0..(COLD_MS + WINDOW_MS) / ANSWER_MS {
        tell(&mut harness, &[[stated(0), stated(2), ProcessStart::LongAgo][answer as usize % 3]]);
        harness.advance(ANSWER_MS);
    }
    for answer in 0..30 {
        tell(&mut harness, &[stated(2 * (answer % 2))]);
        assert!(!is_cold(&mut harness), "{answer}");
    }
}

/// Guards against an engine that is never warm, as each answer of the name service states another start: a
/// clock is being corrected there.
#[test]
fn an_engine_with_ever_new_starts_is_warm_after_twice_the_cold_time() {
    let mut harness = harness();
    let mut answers = 0;
    let mut tell_new = |harness: &mut Harness| {
        answers += 1;
        tell(harness, &[ProcessStart::Foreign(Duration::from_secs(1_700_000_000) + ms(answers))]);
    };
    let began = harness.now;
    tell_new(&mut harness);
    assert!(is_cold(&mut harness));
    while harness.now < began + ms(2 * COLD_MS) {
        tell_new(&mut harness);
        harness.advance(ANSWER_MS);
    }
    for _ in 0..30 {
        tell_new(&mut harness);
        assert!(!is_cold(&mut harness));
    }
    // Once the starts have stayed the same for a cold time, another one is a new process.
    harness.advance(COLD_MS);
    tell_new(&mut harness);
    assert!(is_cold(&mut harness));
}

#[test]
fn an_engine_that_a_list_misses_once_is_not_cold_again() {
    let mut harness = harness();
    tell(&mut harness, &[ProcessStart::LongAgo, stated(0)]);
    harness.advance(COLD_MS);
    tell(&mut harness, &[ProcessStart::LongAgo]);
    harness.advance(ANSWER_MS);
    tell(&mut harness, &[]);
    tell(&mut harness, &[stated(7), stated(0)]);
    let engines: Vec<_> = (0..MORE_THAN_COLD)
        .filter_map(|_| {
            let (id, engine) = harness.submit(0);
            engine.inspect(|engine| drop(harness.end(&id, 0, engine, Outcome::Completed)))
        })
        .collect();
    let of = |name: &str| engines.iter().filter(|id| &***id == name).count();
    assert_eq!(engines.len(), MORE_THAN_COLD);
    // The first one is a new process, the second one the same as before.
    assert!(of("e0") > 0 && of("e0") < of("e1"), "{} and {}", of("e0"), of("e1"));
}

#[test]
fn the_memory_of_engines_that_have_left_is_bounded() {
    let mut harness = Harness::new(site(vec![workload(Effect::Idempotent)]), 0);
    for number in 0..6 {
        let entry = |n: usize| EngineEntry { started: stated(1), ..engine(n) };
        let list = (number * 1_000..(number + 1) * 1_000).map(entry).collect();
        harness.event(Event::EngineList(ListKind::Snapshot, list));
    }
    assert_eq!(harness.scheduler.departed_engines(), 4_096);
    harness.event(Event::EngineList(ListKind::Snapshot, (4_000..5_000).map(engine).collect()));
    assert!(harness.scheduler.departed_engines() <= 4_096);
}
