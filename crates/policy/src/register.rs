//! The register that one voter stores: which revision is in force, as written by the leader of the latest
//! term it knows.
//!
//! A voter replies only once its state is on disk. A voter that lost stored state must not answer as if it
//! had never had any: without a file it says so, and an old file loses to the later stamps of the other
//! voters (`coordinator`).

use crate::message::PolicyMessage;
use crate::revision::Digest;
use crate::{InjectedBug, Phase, Terms};
use bramblewharf_fleet::voter::Ballot;
use serde::{Deserialize, Serialize};

/// Identifies a write: the leader's term, and its number in that term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    pub term: Ballot,
    pub number: u64,
}

/// The revision or revisions in force, as the voters store it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub phase: EntryPhase,
    pub current: Digest,
    pub next: Option<Digest>,
    /// Earlier revisions that an isolated gateway may still enforce.
    pub possibly_active: Vec<Digest>,
}

/// A phase that defaults to the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPhase(pub Phase);

impl Default for EntryPhase {
    fn default() -> EntryPhase {
        EntryPhase(Phase::FIRST)
    }
}

impl Entry {
    /// All revisions that the entry refers to.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.next.into_iter().chain([self.current]).chain(self.possibly_active.iter().copied())
    }
}

/// The part of a register that must survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    pub promised: Option<Ballot>,
    pub stored: Option<(Stamp, Entry)>,
}

/// One voter's copy of the replicated register.
#[derive(Clone, Debug)]
pub struct Register {
    durable: DurableState,
    /// The stored file was valid, or there has been a write since.
    state_intact: bool,
    answers_after_loss: bool,
}

impl Register {
    /// `saved`: the state from disk; none if there was no file or a corrupted one.
    pub fn start(terms: &Terms, saved: Option<DurableState>) -> Register {
        let answers_after_loss = terms.has_bug(InjectedBug::AnswersAfterLoss);
        Register {
            state_intact: saved.is_some() || answers_after_loss,
            durable: saved.unwrap_or_default(),
            answers_after_loss,
        }
    }

    /// The state to be stored.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The entry written last, with its stamp.
    pub fn stored(&self) -> Option<&(Stamp, Entry)> {
        self.durable.stored.as_ref()
    }

    /// Handles a leader's read. Send the reply only once `durable` is on disk.
    pub fn read(&mut self, term: Ballot) -> PolicyMessage {
        if let Some(later) = self.durable.promised.filter(|promised| *promised > term) {
            return PolicyMessage::StaleTerm { later };
        }
        self.durable.promised = Some(term);
        let stored = self.durable.stored.clone();
        PolicyMessage::ReadReply {
            term,
            state_intact: self.state_intact || (self.answers_after_loss && stored.is_none()),
            stored,
        }
    }

    /// Handles a leader's write, once all revisions of the entry are cached. Send the reply only once it is
    /// on disk.
    pub fn write(&mut self, stamp: Stamp, entry: Entry) -> PolicyMessage {
        if let Some(later) = self.durable.promised.filter(|promised| *promised > stamp.term) {
            return PolicyMessage::StaleTerm { later };
        }
        self.durable.promised = Some(stamp.term);
        if self.durable.stored.as_ref().is_none_or(|(stored, _)| *stored < stamp) {
            self.durable.stored = Some((stamp, entry));
        }
        self.state_intact = true;
        PolicyMessage::Written(stamp)
    }
}
