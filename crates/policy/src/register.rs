//! What one seat keeps: which revision is in force, by the word of a keeper whose term it knows to be the latest.
//!
//! A seat answers nothing before it is on its disk. One whose disk has less than it once had must not answer as if that were all:
//! without a file it says that it doesn't know, and with an old one the others' later stamps count (`steward`).

use crate::revision::Digest;
use crate::say::Say;
use crate::{Phase, Terms, Wrong};
use bramblewharf_fleet::voter::Ballot;
use serde::{Deserialize, Serialize};

/// Which write of which keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    pub term: Ballot,
    pub number: u64,
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub phase: PhaseOf,
    pub now: Digest,
    pub next: Option<Digest>,
    /// Earlier revisions that a gateway may be acting by alone.
    pub loose: Vec<Digest>,
}

/// A phase, the first one by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseOf(pub Phase);

impl Default for PhaseOf {
    fn default() -> PhaseOf {
        PhaseOf(Phase::FIRST)
    }
}

impl Entry {
    /// Texts that whoever has this needs.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.next.into_iter().chain([self.now]).chain(self.loose.iter().copied())
    }
}

/// The part that has to last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lasting {
    pub promised: Option<Ballot>,
    pub stored: Option<(Stamp, Entry)>,
}

#[derive(Clone, Debug)]
pub struct Register {
    lasting: Lasting,
    /// Its file was there and whole, or it was written to since.
    knows: bool,
    forgets: bool,
}

impl Register {
    /// `file`: what was on the disk, none where that was nothing or no longer whole.
    pub fn start(terms: &Terms, file: Option<Lasting>) -> Register {
        let forgets = terms.is_wrong(Wrong::ForgetsAndAnswers);
        Register { knows: file.is_some() || forgets, lasting: file.unwrap_or_default(), forgets }
    }

    pub fn lasting(&self) -> &Lasting {
        &self.lasting
    }

    pub fn stored(&self) -> Option<&(Stamp, Entry)> {
        self.lasting.stored.as_ref()
    }

    /// A keeper asks. What comes back is to be said once `lasting` is on the disk.
    pub fn read(&mut self, term: Ballot) -> Say {
        if let Some(later) = self.lasting.promised.filter(|promised| *promised > term) {
            return Say::Old { later };
        }
        self.lasting.promised = Some(term);
        let stored = self.lasting.stored.clone();
        Say::Has { term, knows: self.knows || (self.forgets && stored.is_none()), stored }
    }

    /// A keeper writes; the caller has made sure that all texts of the entry are here. To be said once it is on the disk.
    pub fn write(&mut self, stamp: Stamp, entry: Entry) -> Say {
        if let Some(later) = self.lasting.promised.filter(|promised| *promised > stamp.term) {
            return Say::Old { later };
        }
        self.lasting.promised = Some(stamp.term);
        if self.lasting.stored.as_ref().is_none_or(|(stored, _)| *stored < stamp) {
            self.lasting.stored = Some((stamp, entry));
        }
        self.knows = true;
        Say::Written(stamp)
    }
}
