//! What the attempts to reach an engine prove of an execution that was sent to it. A refused connection proves
//! that nothing ran of what would have been sent on it, but nothing of what was sent before: an engine that
//! holds as many connections as it accepts refuses further ones and runs on.

use std::time::{Duration, Instant};

/// Engines end an execution that nobody has asked for during this time.
const UNASKED_LIMIT: Duration = Duration::from_secs(2);
/// An engine that runs has read after this time whatever had reached it before.
pub const READ_BOUND: Duration = Duration::from_millis(500);
/// An engine that refuses all connections for this long runs none of the executions that were sent to it
/// before: each had been read by then, and nobody has asked for it since.
const REFUSAL_BOUND: Duration = UNASKED_LIMIT.saturating_add(READ_BOUND);

/// What the current engine list says of an engine that an execution was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineListing {
    /// The engine is on the list at this address, or no list is known.
    Listed,
    /// The engine is no longer on the list, and neither is its address.
    Dropped,
    /// Another engine has the address: the former process is gone, and calls would reach the wrong one.
    Replaced,
    /// The list states another start than when the execution was sent: the engine has started anew, or the
    /// same process is stated differently, as by another replica or a clock that was corrected. Starts are
    /// times of another machine's clock, which show neither.
    OtherStart,
}

impl EngineListing {
    /// Whether an execution may begin that was decided on for the process which the list had then.
    pub fn may_begin(self) -> bool {
        self != EngineListing::OtherStart
    }
}

/// The result of an attempt to reach an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// A connection was established, whatever became of the call on it.
    Established,
    Refused,
    /// No connection was established in time.
    Unreachable,
}

/// Whether an execution may still run, by the attempts to reach its engine.
#[derive(Debug, Default)]
pub struct ContactHistory {
    refused_since: Option<Instant>,
    /// Since when every answer was that the engine does not know the execution, while the list stated another
    /// start.
    unknown_since: Option<Instant>,
}

impl ContactHistory {
    /// Records an attempt that began at `now`. Returns whether the execution can't run any more although its
    /// engine did not say so.
    pub fn proves_end(&mut self, now: Instant, contact: Contact, listing: EngineListing) -> bool {
        if contact != Contact::Refused {
            self.refused_since = None;
        }
        match (contact, listing) {
            (_, EngineListing::Replaced) => true,
            (Contact::Established, _) => false,
            (_, EngineListing::Dropped) => true,
            (Contact::Unreachable, EngineListing::Listed | EngineListing::OtherStart) => false,
            (Contact::Refused, EngineListing::Listed | EngineListing::OtherStart) => {
                let since = *self.refused_since.get_or_insert(now);
                now.saturating_duration_since(since) >= REFUSAL_BOUND
            }
        }
    }

    /// Records that the engine answered a call made at `now`, and whether it knows the execution. Returns
    /// whether the execution can't run any more, as another process answers, or the same one has read by then
    /// whatever had reached it and knows nothing of it.
    pub fn answer_proves_end(&mut self, now: Instant, is_known: bool, listing: EngineListing) -> bool {
        if is_known || listing != EngineListing::OtherStart {
            self.unknown_since = None;
            return false;
        }
        let since = *self.unknown_since.get_or_insert(now);
        now.saturating_duration_since(since) >= READ_BOUND
    }
}
