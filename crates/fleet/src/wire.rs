//! What the parts say to one another, as datagrams: a keyed hash of 16 bytes, then the fleet, who speaks, its incarnation and
//! number, and the message (postcard). What can't be read, has another key or another fleet's name says nothing.

use crate::seat::Ballot;
use crate::Incarnation;
use serde::{Deserialize, Serialize};

/// The longest datagram; longer ones are passed over unread.
pub const LONGEST: usize = 1200;
const HASH: usize = 16;

/// What every gateway of a fleet has, and nobody else.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Of any text that is long enough not to be guessed; the file's last line end does not count.
    pub fn read(text: &[u8]) -> Option<Key> {
        let text = text.trim_ascii_end();
        (text.len() >= 16).then(|| Key(blake3::derive_key("bramblewharf fleet 1", text)))
    }

    fn hash(&self, bytes: &[u8]) -> [u8; HASH] {
        let mut short = [0; HASH];
        short.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..HASH]);
        short
    }
}

/// Of a name, so that two fleets of one key don't take each other's word.
pub fn fleet_of(name: &str) -> u64 {
    u64::from_le_bytes(blake3::hash(name.as_bytes()).as_bytes()[..8].try_into().unwrap_or_default())
}

/// Of anything that must be alike at all gateways, such as the table of budgets.
pub fn digest(text: &str) -> u64 {
    fleet_of(text)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Party {
    Seat(u8),
    Place(u32),
    /// An operator's tool, which has the key and no place.
    Tool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub fleet: u64,
    pub from: Party,
    pub incarnation: Incarnation,
    pub number: u64,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Between seats: who may keep the leave.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        /// Whose right this seat has agreed to and that has not ended.
        accepted: Option<Ballot>,
    },
    Propose(Ballot),
    Accept(Ballot),
    /// A later one was promised.
    Refuse {
        ballot: Ballot,
        promised: Ballot,
    },
    /// A keeper that gives its right up.
    Release(Ballot),
    /// A gateway asks for its leave.
    Ask(Ask),
    /// It leaves for good, and has so much in use yet.
    Leaving {
        session: u64,
        holds: Vec<u64>,
    },
    Give(Give),
    /// This seat does not keep; perhaps that one does.
    Elsewhere {
        number: u64,
        keeper: Option<u8>,
    },
    /// Ask again with this, so that I know that you are there now.
    Session {
        number: u64,
        session: u64,
    },
    /// Your table of budgets is not mine: no leave.
    Differs {
        number: u64,
    },
    /// Of the fleet's policy, as its own part writes and reads it.
    Policy(Vec<u8>),
    /// A gateway asks who was at its place before, and says what is in use yet of their leave; none: it can't tell.
    Succeeds {
        session: u64,
        rest: Option<Vec<u64>>,
    },
    /// Processes that were at that place, the latest last, by this keeper's book.
    Former {
        number: u64,
        /// Whom this answers.
        of: Incarnation,
        former: Vec<Incarnation>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Of the keeper's giving; zero: none yet.
    pub session: u64,
    /// Of the table of budgets.
    pub table: u64,
    /// Since this process started, in ms: one that is older than all leave has no forerunner that has any.
    pub up_ms: u64,
    /// By budget, in milliunits: what is held, and what is needed, beyond the floor.
    pub holds: Vec<u64>,
    pub needs: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Give {
    /// Of the question that this answers: leave counts from when that was asked.
    pub number: u64,
    pub amounts: Vec<u64>,
    /// Members that are in, and this one's rank among them.
    pub members: u32,
    pub rank: u32,
}

impl Envelope {
    /// None where it would be too long.
    pub fn write(&self, key: &Key) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(self).ok()?;
        let mut bytes = key.hash(&body).to_vec();
        bytes.extend(body);
        (bytes.len() <= LONGEST).then_some(bytes)
    }

    pub fn read(bytes: &[u8], key: &Key, fleet: u64) -> Option<Envelope> {
        let (hash, body) = bytes.split_at_checked(HASH).filter(|_| bytes.len() <= LONGEST)?;
        // Equal hashes take as long to compare as others; which bytes differ is told to nobody.
        let same = key.hash(body).iter().zip(hash).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0;
        let envelope: Envelope = postcard::from_bytes(body).ok().filter(|_| same)?;
        (envelope.fleet == fleet).then_some(envelope)
    }
}

#[cfg(test)]
mod tests;
