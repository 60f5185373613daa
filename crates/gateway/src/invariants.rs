//! What must hold whatever the network does: asserted in debug builds, counted in release builds.

/// Each is a fault of the gateway itself, never of a peer, a client or the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A statement has one final answer.
    OneAnswer,
    /// An action speaks of a statement that is held.
    KnownStatement,
    /// A send goes to an engine on the list.
    KnownEngine,
    /// Nothing is sent for a statement that has its answer.
    NothingAfter,
    /// The decisions answer a statement before its time is over.
    AnsweredInTime,
    /// Sending: the engine is up by the list, and that is fresh enough, as a first byte goes out.
    SendsByList,
    /// Sending: the statement's client still waits as a first byte goes out.
    SendsForClients,
    /// Repeating: what may not be repeated goes out again only where no attempt before may have run.
    RepeatsSafely,
    /// Repeating: where second copies are forbidden, no other attempt is out as a first byte goes out.
    OneAtATime,
    /// Closing: no client's connection is closed by this side while a call on it has no answer.
    ClosesAnswered,
    /// Starting: the list of engines is there before the first call is.
    StartsWithList,
}

pub const ALL: [Invariant; 11] = [
    Invariant::OneAnswer,
    Invariant::KnownStatement,
    Invariant::KnownEngine,
    Invariant::NothingAfter,
    Invariant::AnsweredInTime,
    Invariant::SendsByList,
    Invariant::SendsForClients,
    Invariant::RepeatsSafely,
    Invariant::OneAtATime,
    Invariant::ClosesAnswered,
    Invariant::StartsWithList,
];

/// How often each was found broken.
#[derive(Clone, Debug, Default)]
pub struct Violations([u64; ALL.len()]);

impl Violations {
    /// Asserts in debug builds; in release builds counts, and the caller goes on as best it can.
    pub fn check(&mut self, invariant: Invariant, holds: bool) -> bool {
        debug_assert!(holds, "invariant broken: {invariant:?}");
        if !holds {
            self.0[invariant as usize] += 1;
        }
        holds
    }

    /// So many more were found elsewhere.
    pub fn add(&mut self, invariant: Invariant, times: u64) {
        self.0[invariant as usize] += times;
    }

    pub fn counts(&self) -> impl Iterator<Item = (Invariant, u64)> + '_ {
        ALL.into_iter().map(|invariant| (invariant, self.0[invariant as usize]))
    }
}
