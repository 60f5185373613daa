//! Decentralized choices of many gateways that add up to a consistent whole, without I/O, a clock or an engine list of its own:
//! `health` is the gossip about engines and what a gateway concludes from it, `message` its encoding, `rotation` who may act
//! where only few may act at a time, `subsets` which engines a gateway uses.
//!
//! Nothing here decides on a statement. The module asks for the state of engines and for rotation slots, and decides itself; a
//! gateway that receives no gossip relies on its own observations. The reasons are in `docs/design/turns.md`.

pub mod health;
pub mod message;
pub mod rotation;
pub mod subsets;

pub use health::HealthGossip;
pub use message::{GossipMessage, Observation};
pub use rotation::{Participant, RotationSlot};
pub use subsets::{EngineShare, Subset};

/// An engine in gossip messages: 24 bits of the hash of its id. Engines of one list with the same hash can't be told apart, so
/// observations of them are ignored (`HealthGossip::set_engines`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineHash(pub u32);

impl EngineHash {
    /// The largest value.
    pub const MAX: u32 = 0xff_ffff;

    /// The hash of an engine id or a zone name.
    pub fn of(id: &str) -> EngineHash {
        let hash = hash(id.bytes());
        EngineHash((hash ^ hash >> 24 ^ hash >> 48) as u32 & EngineHash::MAX)
    }
}

/// FNV-1a: the same in all gateways of all builds.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash =
        bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    hash ^ hash >> 32
}

/// A hash of a number and an id that is the same in all gateways.
pub fn mix(number: u64, id: &str) -> u64 {
    hash(number.to_le_bytes().into_iter().chain(id.bytes()))
}
