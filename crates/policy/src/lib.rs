//! Changes the policy of a fleet on all gateways or on none, without I/O or a clock.
//!
//! The policy is one numbered revision (`revision`, `rules`). The voters store which one is in force
//! (`register`); the leader's `coordinator` writes to them, and every gateway enforces the revision while it
//! holds a grant (`follower`). A change goes through adjacent phases: r alone, both r and r+1, r+1 alone. A
//! grant for a phase is given only once no grant for the phase two before can still be valid, so that no
//! gateway enforces r alone while another enforces r+1 alone. The reasons are in `docs/design/policy.md`.

pub mod coordinator;
pub mod follower;
pub mod message;
pub mod node;
pub mod register;
pub mod revision;
pub mod revision_cache;
pub mod rules;
pub mod store;

pub use coordinator::{Coordinator, Verdict};
pub use follower::{Follower, Mode, Permit};
pub use message::PolicyMessage;
pub use node::{Effect, Node, Start, Status};
pub use register::{Entry, Register, Stamp};
pub use revision::{Digest, Revision};
pub use rules::{ExecutionRequest, Limits, Rules};
pub use store::StoredState;

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A step of the fleet's policy: even phases enforce one revision, odd ones that revision and the next. Each
/// is entered once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Phase(pub u64);

impl Phase {
    /// The first phase of a fleet.
    pub const FIRST: Phase = Phase(2);

    /// Whether two revisions are enforced at once.
    pub fn is_transition(self) -> bool {
        self.0 % 2 == 1
    }

    /// The phase after this one.
    pub fn next(self) -> Phase {
        Phase(self.0 + 1)
    }
}

/// Parses a revision against this build and this gateway's configuration, or says why it is rejected: also
/// for an unknown key.
pub type Check = Arc<dyn Fn(&Revision) -> Result<Rules, String> + Send + Sync>;

/// Parameters that must be the same on all gateways of the fleet.
#[derive(Clone, Debug)]
pub struct Terms {
    pub fleet: bramblewharf_fleet::FleetConfig,
    pub injected_bug: Option<InjectedBug>,
}

impl Terms {
    /// For how long a grant is valid.
    pub fn lease(&self) -> Duration {
        self.fleet.lease
    }

    /// How long after it was given a grant may still take effect, including a send decided just before the
    /// expiry.
    pub fn max_grant_lifetime(&self) -> Duration {
        self.fleet.with_clock_drift(self.fleet.lease + self.fleet.max_send_delay())
    }

    /// Whether this bug is enabled.
    pub fn has_bug(&self, injected_bug: InjectedBug) -> bool {
        self.injected_bug == Some(injected_bug)
    }
}

/// A deliberate bug that tests enable to see that their checks detect it; no setting reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Goes from r alone to r+1 alone, without the phase of both.
    SkipsTransition,
    /// Begins the next phase while grants for the phase two before may still be valid.
    GrantsTooEarly,
    /// Counts a missing verdict as acceptance.
    SilenceCountsAsAcceptance,
    /// A new leader starts from its own voter's state, without a majority.
    ReadsOwnVoterOnly,
    /// A voter that lost its file answers as if it had never stored anything.
    AnswersAfterLoss,
    /// Ignores what isolated gateways may still enforce.
    IgnoresIsolatedGateways,
}
