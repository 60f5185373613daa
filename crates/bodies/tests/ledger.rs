//! The ledger beside a plain model, on generated input, and the table of what a tier may become.

use bramblewharf_bodies::ledger::{At, Effect, Input, Ledger, Refusal, Tier, STEP, WINDOW};
use bramblewharf_bodies::{Bounds, Files};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const KB: u64 = 1024;

fn bounds() -> Bounds {
    let files = Files { each: 1024 * KB, all: 3072 * KB, count: 4, are_memory: false };
    Bounds { largest: 2048 * KB, memory_each: 256 * KB, memory_all: 1024 * KB, files: Some(files) }
}

#[derive(Clone, Debug)]
enum Op {
    Head(Option<u64>, bool),
    Part(usize, u64),
    Whole(usize),
    Spilled(usize, bool),
    Moved(usize, bool),
    Read(usize, bool),
    ReadFailed(usize),
    SpoolFailed(usize),
    Over(usize),
    Shrink(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let which = 0usize..64;
    prop_oneof![
        4 => (prop::option::of(1..2300 * KB), any::<bool>()).prop_map(|(l, s)| Op::Head(l, s)),
        8 => (which.clone(), 1..200 * KB).prop_map(|(w, n)| Op::Part(w, n)),
        3 => which.clone().prop_map(Op::Whole),
        2 => (which.clone(), any::<bool>()).prop_map(|(w, well)| Op::Spilled(w, well)),
        3 => (which.clone(), any::<bool>()).prop_map(|(w, well)| Op::Moved(w, well)),
        3 => (which.clone(), any::<bool>()).prop_map(|(w, begins)| Op::Read(w, begins)),
        1 => which.clone().prop_map(Op::ReadFailed),
        1 => which.clone().prop_map(Op::SpoolFailed),
        3 => which.prop_map(Op::Over),
        1 => (1u64..5).prop_map(Op::Shrink),
    ]
}

/// What is known of a body from the effects alone.
#[derive(Debug)]
struct Known {
    tier: Option<Tier>,
    strict: bool,
    length: Option<u64>,
    got: u64,
    whole: bool,
    readers: u32,
    spilling: bool,
    moving: bool,
}

#[derive(Default)]
struct Model {
    bodies: BTreeMap<u64, Known>,
}

impl Model {
    fn hear(&mut self, effects: &[Effect]) {
        for effect in effects {
            match *effect {
                Effect::Keep(id, tier) => self.bodies.get_mut(&id).unwrap().tier = Some(tier),
                Effect::Spill(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    assert!(
                        body.tier == Some(Tier::Memory) && !body.whole,
                        "only what grows spills: {body:?}"
                    );
                    (body.tier, body.spilling) = (Some(Tier::File), true);
                }
                Effect::Pass(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    assert!(!body.strict && !body.whole, "what must be kept never passes: {body:?}");
                    assert!(matches!(body.tier, Some(Tier::Memory | Tier::File)), "{body:?}");
                    (body.tier, body.spilling) = (Some(Tier::NotKept), false);
                }
                Effect::Move(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    let idle = body.whole && body.readers == 0 && !body.moving;
                    assert!(idle && body.tier == Some(Tier::Memory), "{body:?}");
                    body.moving = true;
                }
                Effect::LetGo(id) => {
                    let body = self.bodies.get_mut(&id).unwrap();
                    assert!(body.moving && body.readers == 0, "what is read is not let go: {body:?}");
                    (body.tier, body.moving) = (Some(Tier::File), false);
                }
                Effect::DropCopy(id) => self.bodies.get_mut(&id).unwrap().moving = false,
                Effect::Refuse(id, _) | Effect::Spoilt(id) => self.bodies.get_mut(&id).unwrap().tier = None,
                Effect::Drop(id) => drop(self.bodies.remove(&id)),
            }
        }
    }
}

fn keeps(ops: Vec<Op>) {
    let mut ledger = Ledger::new(bounds());
    let mut model = Model::default();
    let mut shrunk = false;
    for (number, op) in ops.into_iter().enumerate() {
        let pick = |which: usize| {
            let ids: Vec<u64> = model.bodies.keys().copied().collect();
            ids.get(which % ids.len().max(1)).copied()
        };
        let (id, input) = match op {
            Op::Head(length, strict) => {
                let id = number as u64;
                #[rustfmt::skip]
                model.bodies.insert(id, Known {
                    tier: None, strict, length, got: 0, whole: false, readers: 0, spilling: false, moving: false,
                });
                (Some(id), Input::Head { length, strict })
            }
            Op::Part(which, more) => {
                let id = pick(which).filter(|id| !model.bodies[id].whole && !model.bodies[id].spilling);
                if let Some(body) = id.and_then(|id| model.bodies.get_mut(&id)) {
                    let more = body.length.map_or(more, |length| more.min(length - body.got));
                    body.got += more;
                    (id, Input::Part(more))
                } else {
                    (None, Input::Whole)
                }
            }
            Op::Whole(which) => {
                let id = pick(which).filter(|id| {
                    let body = &model.bodies[id];
                    !body.whole && !body.spilling && body.length.is_none_or(|l| l == body.got)
                });
                id.into_iter().for_each(|id| model.bodies.get_mut(&id).unwrap().whole = true);
                (id, Input::Whole)
            }
            Op::Spilled(which, well) => {
                let id = pick(which).filter(|id| model.bodies[id].spilling);
                id.into_iter().for_each(|id| model.bodies.get_mut(&id).unwrap().spilling = false);
                (id, if well { Input::Spilled } else { Input::SpoolFailed })
            }
            Op::Moved(which, well) => {
                let id = pick(which).filter(|id| model.bodies[id].moving);
                (id, if well { Input::Moved } else { Input::MoveFailed })
            }
            Op::Read(which, begins) => {
                let id = pick(which).filter(|id| {
                    let body = &model.bodies[id];
                    body.whole && body.tier.is_some() && (begins || body.readers > 0)
                });
                if let Some(id) = id {
                    let body = model.bodies.get_mut(&id).unwrap();
                    body.readers = if begins { body.readers + 1 } else { body.readers - 1 };
                }
                (id, if begins { Input::ReadBegan } else { Input::ReadEnded })
            }
            Op::ReadFailed(which) => (pick(which).filter(|id| model.bodies[id].whole), Input::ReadFailed),
            Op::SpoolFailed(which) => {
                let file = |id: &u64| model.bodies[id].tier == Some(Tier::File) && !model.bodies[id].whole;
                (pick(which).filter(file), Input::SpoolFailed)
            }
            Op::Over(which) => (pick(which), Input::Over),
            Op::Shrink(by) => {
                shrunk = true;
                let b = bounds();
                let effects = ledger.set_bounds(Bounds { memory_all: b.memory_all / by, ..b });
                model.hear(&effects);
                continue;
            }
        };
        let Some(id) = id else { continue };
        let before = ledger.counts();
        let would = match input {
            Input::Head { length, strict } => Some(ledger.would_take(length, strict)),
            _ => None,
        };
        let effects = ledger.step(id, input);
        match would {
            Some(Ok(tier)) => assert_eq!(effects[0], Effect::Keep(id, tier)),
            Some(Err(why)) => assert_eq!(effects[0], Effect::Refuse(id, why)),
            None => {}
        }
        model.hear(&effects);
        let (counts, b) = (ledger.counts(), bounds());
        let files = b.files.as_ref().unwrap();
        assert!(counts.in_files <= files.all && counts.files <= files.count, "{counts:?}");
        assert!(counts.in_memory <= b.memory_all, "{counts:?}");
        // What is held beyond smaller bounds only shrinks, but for the one window that a falling body is given.
        let grew = counts.in_memory > before.in_memory && counts.in_memory > ledger.bounds().memory_all;
        assert!(!grew || !shrunk || counts.in_memory - before.in_memory <= WINDOW, "{before:?} {counts:?}");
        // Every byte that came and is kept is counted.
        for (id, body) in &model.bodies {
            let at = ledger.at(*id);
            match body.tier {
                Some(Tier::Memory) => assert!(matches!(at, Some(At::Memory | At::Moving)), "{body:?} {at:?}"),
                Some(Tier::File) => assert_eq!(at, Some(At::File)),
                Some(Tier::NotKept) => assert_eq!(at, Some(At::Passing)),
                None => assert!(matches!(at, None | Some(At::Spoilt)), "{body:?} {at:?}"),
            }
        }
        let kept = |tier| model.bodies.values().filter(move |body| body.tier == Some(tier));
        let file: u64 = kept(Tier::File).map(|body| body.got).sum();
        let memory: u64 = kept(Tier::Memory).map(|body| body.got).sum();
        assert!(file <= counts.in_files && memory <= counts.in_memory, "{file} {memory} {counts:?}");
    }
    let ids: Vec<u64> = model.bodies.keys().copied().collect();
    ids.into_iter().for_each(|id| drop(ledger.step(id, Input::Over)));
    let counts = ledger.counts();
    assert_eq!((counts.bodies, counts.in_memory, counts.in_files, counts.files), (0, 0, 0, 0));
}

#[test]
fn bounds_hold_and_all_is_let_go_whatever_comes() {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..150);
    let run = |ops| {
        keeps(ops);
        Ok(())
    };
    runner.run(&ops, run).unwrap();
}

fn head(ledger: &mut Ledger, id: u64, length: u64, strict: bool) -> Effect {
    ledger.step(id, Input::Head { length: Some(length), strict })[0]
}

#[test]
fn each_body_gets_the_best_tier_with_room() {
    let mut ledger = Ledger::new(bounds());
    // Memory up to its size, then files up to theirs, then passing; beyond the largest nothing.
    for (length, strict, want) in [
        (200 * KB, false, Effect::Keep(0, Tier::Memory)),
        (300 * KB, false, Effect::Keep(0, Tier::File)),
        (1100 * KB, false, Effect::Keep(0, Tier::NotKept)),
        (1100 * KB, true, Effect::Refuse(0, Refusal::NoRoom)),
        (2049 * KB, false, Effect::Refuse(0, Refusal::TooLarge)),
        (2049 * KB, true, Effect::Refuse(0, Refusal::TooLarge)),
    ] {
        assert_eq!(head(&mut ledger, 0, length, strict), want, "{length}");
        ledger.step(0, Input::Over);
    }
    // The pools: four in memory, four in files, then only in passing, and that is bounded by memory too.
    let got: Vec<Effect> = (1..=8).map(|id| head(&mut ledger, id, 250 * KB, false)).collect();
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
    assert_eq!(got, (1..=8).zip(tiers).map(|(id, tier)| Effect::Keep(id, tier)).collect::<Vec<_>>());
    assert_eq!(head(&mut ledger, 9, 250 * KB, false), Effect::Refuse(9, Refusal::NoRoom));
    ledger.step(1, Input::Over);
    assert_eq!(head(&mut ledger, 10, 900 * KB, false), Effect::Keep(10, Tier::NotKept));
}

#[test]
fn the_largest_that_rest_make_room_before_anything_is_turned_away() {
    let mut ledger = Ledger::new(bounds());
    for (id, size) in [(1, 200), (2, 250), (3, 150)] {
        head(&mut ledger, id, size * KB, false);
        ledger.step(id, Input::Part(size * KB));
        ledger.step(id, Input::Whole);
    }
    ledger.step(2, Input::ReadBegan);
    // Three quarters of the pool are passed by this one; the largest is being read, the next goes.
    let effects = ledger.step(4, Input::Head { length: Some(256 * KB), strict: false });
    assert_eq!(effects, vec![Effect::Keep(4, Tier::Memory), Effect::Move(1)]);
    assert_eq!(ledger.step(1, Input::Moved), vec![Effect::LetGo(1)]);
    assert_eq!(ledger.at(1), Some(At::File));
    // Read again while it was on its way: the copy goes, and memory has it still.
    ledger.step(2, Input::ReadEnded);
    let effects = ledger.step(5, Input::Head { length: Some(256 * KB), strict: false });
    assert_eq!(effects, vec![Effect::Keep(5, Tier::Memory), Effect::Move(2)]);
    ledger.step(2, Input::ReadBegan);
    assert_eq!(ledger.step(2, Input::Moved), vec![Effect::DropCopy(2), Effect::Move(3)]);
    assert_eq!(ledger.at(2), Some(At::Memory));
    // One that could not be written is not tried again; the other is, once nobody reads it.
    assert_eq!(ledger.step(3, Input::MoveFailed), vec![Effect::DropCopy(3)]);
    assert_eq!(ledger.step(2, Input::ReadEnded), vec![Effect::Move(2)]);
    assert_eq!(ledger.step(2, Input::MoveFailed), vec![Effect::DropCopy(2)]);
    assert!(ledger.step(6, Input::Head { length: Some(KB), strict: false }).len() == 1);
}

#[test]
fn one_of_unknown_length_goes_down_tier_by_tier_as_it_grows() {
    let mut ledger = Ledger::new(bounds());
    assert_eq!(
        ledger.step(1, Input::Head { length: None, strict: false }),
        vec![Effect::Keep(1, Tier::Memory)]
    );
    let mut seen = Vec::new();
    let grown = (0..64).find(|&part| {
        let effects = ledger.step(1, Input::Part(STEP));
        seen.extend(effects.iter().map(|effect| (part, *effect)));
        if effects.contains(&Effect::Spill(1)) {
            ledger.step(1, Input::Spilled);
        }
        effects.iter().any(|effect| matches!(effect, Effect::Refuse(..)))
    });
    // 256 KB in memory, 1 MB in a file, 2 MB at all.
    let refused = (32, Effect::Refuse(1, Refusal::TooLarge));
    assert_eq!(seen, vec![(4, Effect::Spill(1)), (16, Effect::Pass(1)), refused]);
    assert_eq!(grown, Some(32));
    assert_eq!((ledger.counts().in_memory, ledger.counts().in_files), (0, 0));
}

#[test]
fn files_that_are_memory_count_there() {
    let mut b = bounds();
    b.files.as_mut().unwrap().are_memory = true;
    let mut ledger = Ledger::new(b);
    assert_eq!(head(&mut ledger, 1, 900 * KB, true), Effect::Keep(1, Tier::File));
    assert_eq!(ledger.counts().in_memory, 900 * KB);
    assert_eq!(head(&mut ledger, 2, 200 * KB, true), Effect::Refuse(2, Refusal::NoRoom));
    ledger.step(1, Input::Over);
    assert_eq!(ledger.counts().in_memory, 0);
}
