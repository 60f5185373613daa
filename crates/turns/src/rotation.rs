//! Rotation slots: who may act where only few of many may act at a time. Each participant computes it alone from numbers that
//! all of them have.
//!
//! A slot is neither held nor released: it ends with its time, whatever happens to the participant. Two participants that
//! assume different counts of gateways, or whose clocks differ, may both take a slot for theirs.

use crate::mix;
use std::time::Duration;

/// A gateway among those that take part in a rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Participant {
    pub index: u32,
    pub count: u32,
}

/// For each duration, `concurrent` other participants have the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RotationSlot {
    pub duration: Duration,
    pub concurrent: u64,
}

impl Participant {
    /// Whether this participant has the slot for `key` now, `since` being the time since a moment that all of them know. An
    /// index out of range never has it.
    pub fn has_slot(&self, slot: RotationSlot, key: &str, since: Duration) -> bool {
        let (index, count) = (u64::from(self.index), u64::from(self.count.max(1)));
        let round = (since.as_nanos() / slot.duration.as_nanos().max(1)) as u64;
        index < count && (mix(round, key) % count + index) % count < slot.concurrent
    }
}
