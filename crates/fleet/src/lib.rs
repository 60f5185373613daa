//! Coordination among the gateways of a fleet, without I/O or a clock: `(state, input, now) -> effects`.
//!
//! - `voter`: elects the leader by majority leases, with nothing on disk.
//! - `leader`: tracks the members and grants each a part of every budget until a given time.
//! - `grant_holder`: requests and renews a gateway's grant.
//! - `outstanding`: the record of executions in flight, for the next process of the same member.
//! - `predecessor`: what a process knows of the processes before it.
//! - `node`: combines these parts in one gateway.
//! - `wire`: encodes and decodes their messages.
//!
//! The design is explained in `docs/design/fleet.md`.

pub mod grant_holder;
pub mod leader;
pub mod node;
pub mod outstanding;
pub mod predecessor;
pub mod voter;
pub mod wire;

pub use grant_holder::{Grant, GrantHolder};
pub use leader::{Leader, Member, MemberStatus};
pub use node::{Effect, Node, Status};
pub use wire::{Envelope, Key, Message};

use bramblewharf_budgets::MAX_GAP;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings that must be the same at all gateways of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Hash of the fleet's name; messages of other fleets are ignored.
    pub fleet: u64,
    /// Member ids run from 0 to this bound. Each has a floor of every budget and belongs to one process at a
    /// time.
    pub max_members: u32,
    /// Number of voters, numbered from 0.
    pub voters: u8,
    /// Duration of a grant, and of the leader's own lease.
    pub lease: Duration,
    /// Bound on clock drift: a clock may run this many percent fast or slow.
    pub drift_percent: u32,
    /// The longest an execution may run after its grant has expired, including `orphan_retention`.
    pub max_execution_time: Duration,
    /// How long an engine keeps running an execution that no gateway polls any more.
    pub orphan_retention: Duration,
    /// A bug injected to verify that the checkers detect it. No setting reaches this.
    pub injected_bug: Option<InjectedBug>,
}

/// A protocol bug that tests inject to verify that the checkers detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The leader reassigns a grant as soon as its holder is suspect.
    ReassignsSuspectGrants,
    /// A holder counts its grant from the reply instead of the request.
    CountsGrantFromReply,
    /// A voter accepts a second leader while the first one's lease is valid.
    TwoLeaders,
    /// A new leader grants at once, without waiting for earlier grants to expire.
    NoRecoveryPeriod,
    /// The grant of a killed process is free as soon as its member id is in use again.
    FreesKilledProcessGrant,
    /// A process assumes its predecessor's executions have ended without a record or an answer from the
    /// engines.
    AssumesPredecessorEnded,
    /// A voter that has just started votes at once.
    VotesAtStart,
    /// A holder accepts the reply to an earlier request.
    AcceptsStaleReplies,
    /// Time during which the leader was suspended counts towards the expiry of others' grants.
    CountsSuspendedTime,
}

impl FleetConfig {
    /// Whether this bug is injected.
    pub fn has_bug(&self, injected_bug: InjectedBug) -> bool {
        self.injected_bug == Some(injected_bug)
    }

    /// A span that is at least `span` on every clock of the fleet, allowing for drift and one undetected
    /// clock jump.
    pub fn with_clock_drift(&self, span: Duration) -> Duration {
        let drift = self.drift_percent.min(50);
        span * (100 + drift) / (100 - drift) + MAX_GAP
    }

    /// How long a send decided under a valid grant may take to reach its engine.
    pub fn max_send_delay(&self) -> Duration {
        self.lease / 4
    }

    /// How long after a holder's last message its grant may still be in use.
    pub fn reclaim_delay(&self) -> Duration {
        self.with_clock_drift(self.lease + self.max_send_delay() + self.max_execution_time)
    }

    /// How long an execution without any confirmation from its engine may still start and run there. An
    /// engine may read a call late, so this is as long as for the grant of a gateway that stopped answering.
    pub fn max_unconfirmed_time(&self) -> Duration {
        self.reclaim_delay()
    }

    /// How long executions of a killed process may keep running.
    pub fn max_orphan_time(&self) -> Duration {
        self.with_clock_drift(self.orphan_retention)
    }

    /// Number of voters that form a quorum.
    pub fn majority(&self) -> usize {
        usize::from(self.voters) / 2 + 1
    }
}

/// Identifies one run of a gateway process; new with every start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
