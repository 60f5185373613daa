//! Counters of closed connections by reason.

use std::cell::Cell;

/// The reason why this side closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer had closed, or the owner was done with the connection.
    Done,
    /// No call arrived before the idle timeout.
    Idle,
    /// The head of a call did not arrive in time.
    SlowHead,
    /// A call on it was refused as invalid.
    Refused,
    /// It was closed to make room at the connection limit.
    AtBound,
    /// There was no memory for the call that was arriving on it.
    NoMemory,
    /// The answer of an engine was late, cut off or malformed.
    Irregular,
    /// The gateway is shutting down.
    ShutDown,
}

const ALL: [CloseReason; 8] = [
    CloseReason::Done,
    CloseReason::Idle,
    CloseReason::SlowHead,
    CloseReason::Refused,
    CloseReason::AtBound,
    CloseReason::NoMemory,
    CloseReason::Irregular,
    CloseReason::ShutDown,
];

/// Connections closed since the start, by reason.
#[derive(Debug, Default)]
pub struct CloseCounts {
    by_reason: [Cell<u64>; ALL.len()],
    unanswered: Cell<u64>,
}

impl CloseCounts {
    /// Counts a close.
    pub fn count(&self, reason: CloseReason) {
        let count = &self.by_reason[reason as usize];
        count.set(count.get() + 1);
    }

    /// A client connection was closed with an unanswered call open on it: a fault of this gateway.
    pub fn count_unanswered(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
    }

    /// Closes with an unanswered call, since the start.
    pub fn unanswered(&self) -> u64 {
        self.unanswered.get()
    }

    /// The reasons that occurred, with their counts.
    pub fn counts(&self) -> Vec<(CloseReason, u64)> {
        let all = ALL.into_iter().map(|reason| (reason, self.by_reason[reason as usize].get()));
        all.filter(|(_, count)| *count > 0).collect()
    }
}
