//! Policy messages: between voters, between a gateway and the leader, and from the tool that proposes a
//! change.

use crate::register::{Entry, Stamp};
use crate::revision::Digest;
use crate::Phase;
use bramblewharf_fleet::voter::Ballot;
use serde::{Deserialize, Serialize};

/// The most bytes of a revision in one message.
pub const CHUNK_BYTES: usize = 900;

/// A message of the policy protocol. The encoding goes by the order of the variants and fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PolicyMessage {
    /// A new leader reads the register; from then on voters refuse earlier leaders.
    Read(Ballot),
    /// `state_intact`: this voter's stored state is there, so what it returns is all that it ever accepted.
    ReadReply { term: Ballot, state_intact: bool, stored: Option<(Stamp, Entry)> },
    /// The leader writes the register.
    Write(Stamp, Entry),
    /// The write is on this voter's disk.
    Written(Stamp),
    /// The request is refused: a leader of a later term was promised.
    StaleTerm { later: Ballot },
    /// Requests the chunk of a revision at an offset.
    GetChunk { digest: Digest, offset: u32 },
    /// A chunk of a revision.
    Chunk { digest: Digest, offset: u32, total_bytes: u32, bytes: Vec<u8> },
    /// A gateway requests a grant from the leader.
    GrantRequest(GrantRequest),
    /// The leader gives the grant.
    Grant(Grant),
    /// This voter doesn't lead, or doesn't know yet what is in force.
    NotReady { number: u64, leader: Option<u8> },
    /// Proposes a change: the revision is fetched from the sender.
    Offer { digest: Digest, wait_ms: u64 },
    /// Withdraws a proposal that has not begun to take effect.
    Withdraw(Digest),
    /// Requests the coordinator's status.
    StatusQuery,
    /// The coordinator's status.
    CoordinatorStatus(CoordinatorStatus),
}

impl PolicyMessage {
    /// The encoded form.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; none if it is malformed.
    pub fn read(bytes: &[u8]) -> Option<PolicyMessage> {
        postcard::from_bytes(bytes).ok()
    }
}

/// A gateway's request for a grant, with what it enforces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub number: u64,
    /// The phase of its current grant, if any: it never goes back to an earlier one.
    pub phase: Option<Phase>,
    /// What it would enforce without a grant after a restart, as stored on its disk: one revision, or two
    /// during a change.
    pub durable_fallback: Vec<Digest>,
    /// This gateway's verdict on a proposal: a reason if it rejects it.
    pub verdict: Option<(Digest, Option<String>)>,
}

/// Permission to enforce the revision or revisions of a phase for the length of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub number: u64,
    pub phase: Phase,
    pub current: Digest,
    pub next: Option<Digest>,
    /// A proposal that this gateway must give its verdict on.
    pub check: Option<Digest>,
}

/// The policy in force and the proposal under way, as the coordinator has them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    pub leader: Option<u8>,
    pub phase: Phase,
    /// The number of the revision in force.
    pub number: u64,
    pub current: Digest,
    pub next: Option<Digest>,
    pub proposal: Option<Digest>,
    /// Members whose verdict or return a proposal waits for.
    pub awaited_members: Vec<u32>,
    /// How the last proposal ended: its digest, and the reason if it was withdrawn.
    pub last_outcome: Option<(Digest, Option<String>)>,
}
