//! `BodyAccounting` compared with a simple model on generated input, and examples of the choice of tiers.

use bramblewharf_bodies::accounting::{
    BodyAccounting, BodyState, Effect, Input, Refusal, Tier, GROWTH_STEP_BYTES, PASS_THROUGH_WINDOW_BYTES,
};
use bramblewharf_bodies::{Bounds, FileBounds};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const KB: u64 = 1024;

fn bounds() -> Bounds {
    let files = FileBounds { per_body: 1024 * KB, total: 3072 * KB, max_files: 4, in_memory_fs: false };
    Bounds { max_body: 2048 * KB, memory_per_body: 256 * KB, memory_total: 1024 * KB, files: Some(files) }
}

#[derive(Clone, Debug)]
enum Op {
    Begin(Option<u64>, bool),
    Received(usize, u64),
    Complete(usize),
    Spilled(usize, bool),
    Moved(usize, bool),
    Read(usize, bool),
    ReadFailed(usize),
    SpoolFailed(usize),
    Released(usize),
    Shrink(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0usize..64;
    prop_oneof![
        4 => (prop::option::of(1..2300 * KB), any::<bool>()).prop_map(|(l, s)| Op::Begin(l, s)),
        8 => (index.clone(), 1..200 * KB).prop_map(|(i, n)| Op::Received(i, n)),
        3 => index.clone().prop_map(Op::Complete),
        2 => (index.clone(), any::<bool>()).prop_map(|(i, succeeds)| Op::Spilled(i, succeeds)),
        3 => (index.clone(), any::<bool>()).prop_map(|(i, succeeds)| Op::Moved(i, succeeds)),
        3 => (index.clone(), any::<bool>()).prop_map(|(i, starts)| Op::Read(i, starts)),
        1 => index.clone().prop_map(Op::ReadFailed),
        1 => index.clone().prop_map(Op::SpoolFailed),
        3 => index.prop_map(Op::Released),
        1 => (1u64..5).prop_map(Op::Shrink),
    ]
}

/// What the effects alone tell about a body.
#[derive(Debug)]
struct ModelBody {
    tier: Option<Tier>,
    strict: bool,
    length: Option<u64>,
    received: u64,
    complete: bool,
    readers: u32,
    spilling: bool,
    moving: bool,
}

#[derive(Default)]
struct Model {
    bodies: BTreeMap<u64, ModelBody>,
}

impl Model {
    fn apply(&mut self, effects: &[Effect]) {
        for effect in effects {
            match *effect {
                Effect::Accept(id, tier) => self.bodies.get_mut(&id).unwrap().tier = Some(tier),
                Effect::Spill(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    assert!(
                        body.tier == Some(Tier::Memory) && !body.complete,
                        "only a growing body in memory spills: {body:?}"
                    );
                    (body.tier, body.spilling) = (Some(Tier::File), true);
                }
                Effect::PassThrough(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    assert!(
                        !body.strict && !body.complete,
                        "a strict or complete body is never passed through: {body:?}"
                    );
                    assert!(matches!(body.tier, Some(Tier::Memory | Tier::File)), "{body:?}");
                    (body.tier, body.spilling) = (Some(Tier::NotKept), false);
                }
                Effect::Move(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    let idle = body.complete && body.readers == 0 && !body.moving;
                    assert!(idle && body.tier == Some(Tier::Memory), "{body:?}");
                    body.moving = true;
                }
                Effect::FreeMemory(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    assert!(
                        body.moving && body.readers == 0,
                        "memory is not freed while it is read: {body:?}"
                    );
                    (body.tier, body.moving) = (Some(Tier::File), false);
                }
                Effect::DropFileCopy(id) => self.bodies.get_mut(&id).unwrap().moving = false,
                Effect::Refuse(id, _) | Effect::Corrupted(id) => {
                    self.bodies.get_mut(&id).unwrap().tier = None
                }
                Effect::Release(id) => drop(self.bodies.remove(&id)),
            }
        }
    }
}

fn check_against_model(ops: Vec<Op>) {
    let mut accounting = BodyAccounting::new(bounds());
    let mut model = Model::default();
    let mut shrunk = false;
    for (number, op) in ops.into_iter().enumerate() {
        let pick = |index: usize| {
            let ids: Vec<u64> = model.bodies.keys().copied().collect();
            ids.get(index % ids.len().max(1)).copied()
        };
        let (id, input) = match op {
            Op::Begin(length, strict) => {
                let id = number as u64;
                #[rustfmt::skip]
                model.bodies.insert(id, ModelBody {
                    tier: None, strict, length, received: 0, complete: false, readers: 0,
                    spilling: false, moving: false,
                });
                (Some(id), Input::Begin { length, strict })
            }
            Op::Received(index, bytes) => {
                let id = pick(index).filter(|id| !model.bodies[id].complete && !model.bodies[id].spilling);
                if let Some(body) = id.and_then(|id| model.bodies.get_mut(&id)) {
                    let bytes = body.length.map_or(bytes, |length| bytes.min(length - body.received));
                    body.received += bytes;
                    (id, Input::Received(bytes))
                } else {
                    (None, Input::Complete)
                }
            }
            Op::Complete(index) => {
                let id = pick(index).filter(|id| {
                    let body = &model.bodies[id];
                    !body.complete && !body.spilling && body.length.is_none_or(|l| l == body.received)
                });
                id.into_iter().for_each(|id| model.bodies.get_mut(&id).unwrap().complete = true);
                (id, Input::Complete)
            }
            Op::Spilled(index, succeeds) => {
                let id = pick(index).filter(|id| model.bodies[id].spilling);
                id.into_iter().for_each(|id| model.bodies.get_mut(&id).unwrap().spilling = false);
                (id, if succeeds { Input::Spilled } else { Input::SpoolFailed })
            }
            Op::Moved(index, succeeds) => {
                let id = pick(index).filter(|id| model.bodies[id].moving);
                (id, if succeeds { Input::Moved } else { Input::MoveFailed })
            }
            Op::Read(index, starts) => {
                let id = pick(index).filter(|id| {
                    let body = &model.bodies[id];
                    body.complete && body.tier.is_some() && (starts || body.readers > 0)
                });
                if let Some(id) = id {
                    let body = model.bodies.get_mut(&id).unwrap();
                    body.readers = if starts { body.readers + 1 } else { body.readers - 1 };
                }
                (id, if starts { Input::ReadStarted } else { Input::ReadEnded })
            }
            Op::ReadFailed(index) => (pick(index).filter(|id| model.bodies[id].complete), Input::ReadFailed),
            Op::SpoolFailed(index) => {
                let file = |id: &u64| model.bodies[id].tier == Some(Tier::File) && !model.bodies[id].complete;
                (pick(index).filter(file), Input::SpoolFailed)
            }
            Op::Released(index) => (pick(index), Input::Released),
            Op::Shrink(by) => {
                shrunk = true;
                let b = bounds();
                let effects = accounting.set_bounds(Bounds { memory_total: b.memory_total / by, ..b });
                model.apply(&effects);
                continue;
            }
        };
        let Some(id) = id else { continue };
        let before = accounting.counts();
        let admission = match input {
            Input::Begin { length, strict } => Some(accounting.check_admission(length, strict)),
            _ => None,
        };
        let effects = accounting.step(id, input);
        match admission {
            Some(Ok(tier)) => assert_eq!(effects[0], Effect::Accept(id, tier)),
            Some(Err(why)) => assert_eq!(effects[0], Effect::Refuse(id, why)),
            None => {}
        }
        model.apply(&effects);
        let (counts, b) = (accounting.counts(), bounds());
        let files = b.files.as_ref().unwrap();
        assert!(counts.in_files <= files.total && counts.files <= files.max_files, "{counts:?}");
        assert!(counts.in_memory <= b.memory_total, "{counts:?}");
        // Use beyond smaller bounds only shrinks, except by the window of a body that stops being kept.
        let grew = counts.in_memory > before.in_memory && counts.in_memory > accounting.bounds().memory_total;
        assert!(
            !grew || !shrunk || counts.in_memory - before.in_memory <= PASS_THROUGH_WINDOW_BYTES,
            "{before:?} {counts:?}"
        );
        // Every byte that has arrived and is kept is counted.
        for (id, body) in &model.bodies {
            let state = accounting.state(*id);
            match body.tier {
                Some(Tier::Memory) => assert!(
                    matches!(state, Some(BodyState::Memory | BodyState::Moving)),
                    "{body:?} {state:?}"
                ),
                Some(Tier::File) => assert_eq!(state, Some(BodyState::File)),
                Some(Tier::NotKept) => assert_eq!(state, Some(BodyState::PassThrough)),
                None => assert!(matches!(state, None | Some(BodyState::Unusable)), "{body:?} {state:?}"),
            }
        }
        let kept = |tier| model.bodies.values().filter(move |body| body.tier == Some(tier));
        let file: u64 = kept(Tier::File).map(|body| body.received).sum();
        let memory: u64 = kept(Tier::Memory).map(|body| body.received).sum();
        assert!(file <= counts.in_files && memory <= counts.in_memory, "{file} {memory} {counts:?}");
    }
    let ids: Vec<u64> = model.bodies.keys().copied().collect();
    ids.into_iter().for_each(|id| drop(accounting.step(id, Input::Released)));
    let counts = accounting.counts();
    assert_eq!((counts.bodies, counts.in_memory, counts.in_files, counts.files), (0, 0, 0, 0));
}

#[test]
fn bounds_hold_and_everything_is_freed_for_any_input() {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..150);
    let run = |ops| {
        check_against_model(ops);
        Ok(())
    };
    runner.run(&ops, run).unwrap();
}

fn begin(accounting: &mut BodyAccounting, id: u64, length: u64, strict: bool) -> Effect {
    accounting.step(id, Input::Begin { length: Some(length), strict })[0]
}

#[test]
fn each_body_gets_the_best_tier_with_capacity() {
    let mut accounting = BodyAccounting::new(bounds());
    // By size: memory, then a file, then passing through; a body above the limit is refused.
    for (length, strict, expected) in [
        (200 * KB, false, Effect::Accept(0, Tier::Memory)),
        (300 * KB, false, Effect::Accept(0, Tier::File)),
        (1100 * KB, false, Effect::Accept(0, Tier::NotKept)),
        (1100 * KB, true, Effect::Refuse(0, Refusal::NoCapacity)),
        (2049 * KB, false, Effect::Refuse(0, Refusal::TooLarge)),
        (2049 * KB, true, Effect::Refuse(0, Refusal::TooLarge)),
    ] {
        assert_eq!(begin(&mut accounting, 0, length, strict), expected, "{length}");
        accounting.step(0, Input::Released);
    }
    // The pools hold four bodies in memory and four in files. More can only pass through, which needs memory.
    let accepted: Vec<Effect> = (1..=8).map(|id| begin(&mut accounting, id, 250 * KB, false)).collect();
    let tiers = [
        Tier::Memory,
        Tier::Memory,
        Tier::Memory,
        Tier::Memory,
        Tier::File,
        Tier::File,
        Tier::File,
        Tier::File,
    ];
    assert_eq!(accepted, (1..=8).zip(tiers).map(|(id, tier)| Effect::Accept(id, tier)).collect::<Vec<_>>());
    assert_eq!(begin(&mut accounting, 9, 250 * KB, false), Effect::Refuse(9, Refusal::NoCapacity));
    accounting.step(1, Input::Released);
    assert_eq!(begin(&mut accounting, 10, 900 * KB, false), Effect::Accept(10, Tier::NotKept));
}

#[test]
fn largest_idle_bodies_move_to_files_before_new_ones_are_refused() {
    let mut accounting = BodyAccounting::new(bounds());
    for (id, size) in [(1, 200), (2, 250), (3, 150)] {
        begin(&mut accounting, id, size * KB, false);
        accounting.step(id, Input::Received(size * KB));
        accounting.step(id, Input::Complete);
    }
    accounting.step(2, Input::ReadStarted);
    // This body exceeds three quarters of the pool. The largest is being read, so the second largest moves.
    let effects = accounting.step(4, Input::Begin { length: Some(256 * KB), strict: false });
    assert_eq!(effects, vec![Effect::Accept(4, Tier::Memory), Effect::Move(1)]);
    assert_eq!(accounting.step(1, Input::Moved), vec![Effect::FreeMemory(1)]);
    assert_eq!(accounting.state(1), Some(BodyState::File));
    // A body that is read while it moves stays in memory, and its copy is dropped.
    accounting.step(2, Input::ReadEnded);
    let effects = accounting.step(5, Input::Begin { length: Some(256 * KB), strict: false });
    assert_eq!(effects, vec![Effect::Accept(5, Tier::Memory), Effect::Move(2)]);
    accounting.step(2, Input::ReadStarted);
    assert_eq!(accounting.step(2, Input::Moved), vec![Effect::DropFileCopy(2), Effect::Move(3)]);
    assert_eq!(accounting.state(2), Some(BodyState::Memory));
    // A failed move is not retried; a move given up because of a reader is, once that has ended.
    assert_eq!(accounting.step(3, Input::MoveFailed), vec![Effect::DropFileCopy(3)]);
    assert_eq!(accounting.step(2, Input::ReadEnded), vec![Effect::Move(2)]);
    assert_eq!(accounting.step(2, Input::MoveFailed), vec![Effect::DropFileCopy(2)]);
    assert!(accounting.step(6, Input::Begin { length: Some(KB), strict: false }).len() == 1);
}

#[test]
fn body_of_unknown_length_changes_tier_as_it_grows() {
    let mut accounting = BodyAccounting::new(bounds());
    assert_eq!(
        accounting.step(1, Input::Begin { length: None, strict: false }),
        vec![Effect::Accept(1, Tier::Memory)]
    );
    let mut seen = Vec::new();
    let refused_at = (0..64).find(|&round| {
        let effects = accounting.step(1, Input::Received(GROWTH_STEP_BYTES));
        seen.extend(effects.iter().map(|effect| (round, *effect)));
        if effects.contains(&Effect::Spill(1)) {
            accounting.step(1, Input::Spilled);
        }
        effects.iter().any(|effect| matches!(effect, Effect::Refuse(..)))
    });
    // Limits: 256 KB in memory, 1 MB in a file, 2 MB in all.
    let refused = (32, Effect::Refuse(1, Refusal::TooLarge));
    assert_eq!(seen, vec![(4, Effect::Spill(1)), (16, Effect::PassThrough(1)), refused]);
    assert_eq!(refused_at, Some(32));
    assert_eq!((accounting.counts().in_memory, accounting.counts().in_files), (0, 0));
}

#[test]
fn files_in_memory_count_against_the_memory_pool() {
    let mut b = bounds();
    b.files.as_mut().unwrap().in_memory_fs = true;
    let mut accounting = BodyAccounting::new(b);
    assert_eq!(begin(&mut accounting, 1, 900 * KB, true), Effect::Accept(1, Tier::File));
    assert_eq!(accounting.counts().in_memory, 900 * KB);
    assert_eq!(begin(&mut accounting, 2, 200 * KB, true), Effect::Refuse(2, Refusal::NoCapacity));
    accounting.step(1, Input::Released);
    assert_eq!(accounting.counts().in_memory, 0);
}
