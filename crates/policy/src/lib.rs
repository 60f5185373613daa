//! A change of policy that takes hold at all gateways of a fleet or at none, without I/O or a clock.
//!
//! What is the fleet's policy is one numbered revision (`revision`, `rules`). Seats keep which one is in force (`register`, written
//! by whoever keeps the leave, `steward`); every other gateway decides by it for as long as it has leave to (`follower`). A change
//! goes through adjacent phases: by r, by both r and r+1, by r+1; leave for a phase is given only once none for the phase two
//! before can be alive, so that no two ever decide by one alone and by a later one alone. Why it is so: `docs/design/policy.md`.

pub mod follower;
pub mod node;
pub mod register;
pub mod revision;
pub mod rules;
pub mod say;
pub mod steward;
pub mod store;
pub mod texts;

pub use follower::{Follower, Permit, Standing};
pub use node::{Effect, Node, Start, Status};
pub use register::{Entry, Register, Stamp};
pub use revision::{Digest, Revision};
pub use rules::{Asked, Limits, Rules};
pub use say::Say;
pub use steward::{Steward, Verdict};
pub use store::Kept;

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A step of the fleet's: even ones are by one revision alone, odd ones by it and the next. Each is entered once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Phase(pub u64);

impl Phase {
    /// A fleet's first.
    pub const FIRST: Phase = Phase(2);

    pub fn is_both(self) -> bool {
        self.0 % 2 == 1
    }

    pub fn next(self) -> Phase {
        Phase(self.0 + 1)
    }
}

/// Reads a revision as this build and this gateway's configuration do, or says why not: a key that is not known is a refusal.
pub type Check = Arc<dyn Fn(&Revision) -> Result<Rules, String> + Send + Sync>;

/// What all gateways of the fleet must be told alike.
#[derive(Clone, Debug)]
pub struct Terms {
    pub fleet: bramblewharf_fleet::FleetConfig,
    pub wrong: Option<Wrong>,
}

impl Terms {
    pub fn lease(&self) -> Duration {
        self.fleet.lease
    }

    /// How long after it was given leave to decide may yet be used, a send that was decided in time being on its way.
    pub fn until_over(&self) -> Duration {
        self.fleet.with_clock_drift(self.fleet.lease + self.fleet.max_send_delay())
    }

    pub fn is_wrong(&self, wrong: Wrong) -> bool {
        self.wrong == Some(wrong)
    }
}

/// A known mistake, put in on purpose to see that the checkers find it. No settings lead here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// From r to r+1 at once.
    SkipsBoth,
    /// The next phase begins while leave for the one two before may be alive.
    GivesAtOnce,
    /// Who says nothing has agreed.
    SilenceAgrees,
    /// A keeper begins with what its own seat has, without asking the others.
    OwnWordOnly,
    /// A seat that has lost its file answers as if there had been nothing.
    ForgetsAndAnswers,
    /// What a gateway does that hears nobody is not looked at.
    LonersUncounted,
}
