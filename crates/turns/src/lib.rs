//! Choices of many gateways that add up, without I/O, clock or list of its own: `signals` is what gateways tell one another of
//! engines and what may be believed of it, `words` its bytes, `draw` whose turn it is where few may act at a time.
//!
//! Nothing here decides on a statement. The module asks what is known and whose turn it is, and decides as ever; whoever hears
//! nobody goes by what it has seen itself. Why it is so: `docs/design/turns.md`.

pub mod draw;
pub mod signals;
pub mod subsets;
pub mod words;

pub use draw::{Draw, Turn};
pub use signals::{Signals, Terms};
pub use subsets::{Part, Reach};
pub use words::{Said, Word};

/// An engine as gateways speak of it: 24 bits of its id's hash. Two engines of one list with the same are told apart by nobody,
/// so what is said of them counts for neither (`Signals::list`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mark(pub u32);

impl Mark {
    pub const MOST: u32 = 0xff_ffff;

    pub fn of(id: &str) -> Mark {
        let hash = hash(id.bytes());
        Mark((hash ^ hash >> 24 ^ hash >> 48) as u32 & Mark::MOST)
    }
}

/// FNV-1a: the same for all gateways of all builds.
pub(crate) fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash =
        bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    hash ^ hash >> 32
}

/// A number that all gateways get from the same two.
pub fn mix(number: u64, id: &str) -> u64 {
    hash(number.to_le_bytes().into_iter().chain(id.bytes()))
}
