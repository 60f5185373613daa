//! Invariants that hold whatever the network does: asserted in debug builds, counted in release builds.

/// A violation is always a bug of the gateway, never of a peer, a client or the network. The names are
/// printed in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A statement gets exactly one final answer.
    OneAnswer,
    /// The scheduler only sends executions of statements that are held.
    KnownStatement,
    /// An execution goes to an engine on the list.
    KnownEngine,
    /// Nothing is sent for a statement that has been answered.
    NothingAfter,
    /// The scheduler answers a statement before its deadline.
    AnsweredInTime,
    /// When a first byte goes out, the engine is up according to the list, and the list is recent enough.
    SendsByList,
    /// When a first byte goes out, the statement's client still waits.
    SendsForClients,
    /// A non-idempotent statement is sent again only if no earlier attempt can have run.
    RepeatsSafely,
    /// When a first byte goes out and concurrent attempts are forbidden, no other attempt is in flight.
    OneAtATime,
    /// The gateway doesn't close a client's connection while a call on it is unanswered.
    ClosesAnswered,
    /// The engine list is known before the first call is accepted.
    StartsWithList,
}

/// All invariants, in the order of their counters.
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

/// How often each invariant was violated.
#[derive(Clone, Debug, Default)]
pub struct Violations([u64; ALL.len()]);

impl Violations {
    /// Asserts in debug builds. In release builds counts a violation and returns `holds`, so that the caller
    /// can carry on.
    pub fn check(&mut self, invariant: Invariant, holds: bool) -> bool {
        debug_assert!(holds, "invariant violated: {invariant:?}");
        if !holds {
            self.0[invariant as usize] += 1;
        }
        holds
    }

    /// Adds violations that were counted elsewhere.
    pub fn add(&mut self, invariant: Invariant, times: u64) {
        self.0[invariant as usize] += times;
    }

    /// The count of each invariant.
    pub fn counts(&self) -> impl Iterator<Item = (Invariant, u64)> + '_ {
        ALL.into_iter().map(|invariant| (invariant, self.0[invariant as usize]))
    }
}
