//! What is said of policy: between seats, between a gateway and the seat that keeps, and by whoever proposes a change.

use crate::register::{Entry, Stamp};
use crate::revision::Digest;
use crate::Phase;
use bramblewharf_fleet::voter::Ballot;
use serde::{Deserialize, Serialize};

/// Bytes of a text in one message.
pub const PIECE: usize = 900;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Say {
    /// A new keeper asks seats what is in force, and from then on they take nothing of an earlier one.
    Read(Ballot),
    /// `knows`: this seat has what it once had, or never had anything to forget.
    Has {
        term: Ballot,
        knows: bool,
        stored: Option<(Stamp, Entry)>,
    },
    Write(Stamp, Entry),
    Written(Stamp),
    /// A later keeper was promised.
    Old {
        later: Ballot,
    },
    /// A text, by pieces, each asked for.
    Get {
        digest: Digest,
        from: u32,
    },
    Piece {
        digest: Digest,
        from: u32,
        whole: u32,
        bytes: Vec<u8>,
    },
    Ask(Ask),
    Leave(Leave),
    /// This seat keeps nothing, or does not know yet what is in force.
    NotNow {
        number: u64,
        keeper: Option<u8>,
    },
    /// A change is proposed: the text is had from whoever says so.
    Offer {
        digest: Digest,
        wait_ms: u64,
    },
    Withdraw(Digest),
    /// How things stand.
    Asks,
    Stands(Stands),
}

impl Say {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Say> {
        postcard::from_bytes(bytes).ok()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    pub number: u64,
    /// The phase it decides by now, if any: it never goes back to an earlier one.
    pub phase: Option<Phase>,
    /// What it would do alone, were it started again now, as its disk has it: by one revision, or by two at once.
    pub falls_back: Vec<Digest>,
    /// What this gateway says of a proposal.
    pub verdict: Option<(Digest, Option<String>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    pub number: u64,
    pub phase: Phase,
    pub now: Digest,
    pub next: Option<Digest>,
    /// A proposal that wants this gateway's word.
    pub check: Option<Digest>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stands {
    pub keeper: Option<u8>,
    pub phase: Phase,
    /// The number of the one in force.
    pub number: u64,
    pub now: Digest,
    pub next: Option<Digest>,
    pub proposal: Option<Digest>,
    /// Places that a proposal waits for.
    pub waits_for: Vec<u32>,
    /// How the last proposal ended: its digest, and why it was withdrawn.
    pub last: Option<(Digest, Option<String>)>,
}
