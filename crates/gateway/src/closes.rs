//! Why connections were closed, counted by reason.

use std::cell::Cell;

/// Why this side closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other end had closed, or whoever held the connection was done with it.
    Done,
    /// No call came on it for too long.
    Idle,
    /// The head of a call did not come in time.
    SlowHead,
    /// A call on it had been refused for what it was.
    Refused,
    /// It made room at the bound of connections.
    AtBound,
    /// An engine's answer on it was late, cut or irregular.
    Irregular,
    /// The gateway shuts down.
    ShutDown,
}

const ALL: [CloseReason; 7] = [
    CloseReason::Done,
    CloseReason::Idle,
    CloseReason::SlowHead,
    CloseReason::Refused,
    CloseReason::AtBound,
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
    pub fn count(&self, reason: CloseReason) {
        let count = &self.by_reason[reason as usize];
        count.set(count.get() + 1);
    }

    /// A client's connection was closed with a call open on it that has no answer: a fault of this gateway.
    pub fn count_unanswered(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
    }

    pub fn unanswered(&self) -> u64 {
        self.unanswered.get()
    }

    /// The reasons that occurred, each with its count.
    pub fn counts(&self) -> Vec<(CloseReason, u64)> {
        let all = ALL.into_iter().map(|reason| (reason, self.by_reason[reason as usize].get()));
        all.filter(|(_, count)| *count > 0).collect()
    }
}
