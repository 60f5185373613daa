//! Rotation slots of participants whose clocks differ: as many have the slot at a time on average as with one
//! clock, and nobody has it for good or never.

use bramblewharf_turns::{Participant, RotationSlot};
use nanorand::{Rng, WyRand};
use std::time::Duration;

const PARTICIPANTS: u32 = 300;
const SLOT: RotationSlot = RotationSlot { duration: Duration::from_millis(500), concurrent: 4 };
const ROUNDS: u32 = 4_000;

#[test]
fn participants_whose_clocks_differ_have_slots_as_often_as_with_one_clock() {
    let mut rng = WyRand::new_seed(7);
    let hour = Duration::from_secs(3600);
    let ahead: Vec<Duration> = (0..PARTICIPANTS).map(|_| hour.mul_f64(rng.generate::<f64>())).collect();
    let mut slots_of = vec![0u32; PARTICIPANTS as usize];
    let (mut all, mut most) = (0, 0);
    for round in 0..ROUNDS {
        let now = hour + SLOT.duration * round;
        let has_slot = |index: &u32| {
            let participant = Participant { index: *index, count: PARTICIPANTS };
            participant.has_slot(SLOT, "engine", now + ahead[*index as usize])
        };
        let having: Vec<u32> = (0..PARTICIPANTS).filter(has_slot).collect();
        having.iter().for_each(|index| slots_of[*index as usize] += 1);
        all += having.len();
        most = most.max(having.len());
    }
    let mean = all as f64 / f64::from(ROUNDS);
    println!("{mean:.2} at a time, {most} at most");
    assert!((mean - SLOT.concurrent as f64).abs() < 0.2, "{mean} at a time");
    // Independent draws: a mean and six times its root.
    assert!(most <= 16, "{most} at once");
    let usual = ROUNDS * SLOT.concurrent as u32 / PARTICIPANTS;
    let extremes = (slots_of.iter().min(), slots_of.iter().max());
    assert!(slots_of.iter().all(|slots| (usual / 3..usual * 3).contains(slots)), "{extremes:?} of {usual}");
}
