//! Datagrams between the gateways of a fleet: a message authentication code of 16 bytes, then the
//! postcard-encoded envelope with the fleet, the sender, its incarnation, a sequence number and the message.
//! Datagrams that cannot be decoded, or are of another key or fleet, are ignored.

use crate::voter::Ballot;
use crate::Incarnation;
use serde::{Deserialize, Serialize};

/// The longest datagram in bytes; longer ones are ignored.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const MAC_BYTES: usize = 16;

/// Secret key shared by the gateways of a fleet.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from a text of at least 16 bytes, without trailing white space.
    pub fn derive(text: &[u8]) -> Option<Key> {
        let text = text.trim_ascii_end();
        (text.len() >= 16).then(|| Key(blake3::derive_key("bramblewharf fleet 1", text)))
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut truncated = [0; MAC_BYTES];
        truncated.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..MAC_BYTES]);
        truncated
    }
}

/// Hash of a fleet's name, which keeps apart two fleets that share a key.
pub fn fleet_id(name: &str) -> u64 {
    u64::from_le_bytes(blake3::hash(name.as_bytes()).as_bytes()[..8].try_into().unwrap_or_default())
}

/// Digest of anything that must be the same at all gateways, such as the table of budgets.
pub fn digest(text: &str) -> u64 {
    fleet_id(text)
}

/// The sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Party {
    Voter(u8),
    Member(u32),
    /// An operator's tool, which has the key and is no member.
    Tool,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub fleet: u64,
    pub from: Party,
    pub incarnation: Incarnation,
    pub number: u64,
    pub message: Message,
}

/// Messages between voters, between members and the leader, and of the fleet's policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Phase 1 of an election between voters: asks for a promise to this ballot.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        /// The ballot whose leader lease this voter has accepted and that has not expired.
        accepted: Option<Ballot>,
    },
    /// Phase 2 of an election: asks voters to accept this ballot.
    Propose(Ballot),
    Accept(Ballot),
    /// Rejects a ballot because a later one was promised.
    Reject {
        ballot: Ballot,
        promised: Ballot,
    },
    /// A leader resigns.
    Release(Ballot),
    /// A member requests or renews its grant.
    GrantRequest(GrantRequest),
    /// A member leaves the fleet for good and reports what it still has in use.
    Leaving {
        session: u64,
        holds: Vec<u64>,
    },
    /// The leader grants a member its part of the budgets.
    GrantReply(GrantReply),
    /// This voter is not the leader; another one may be.
    NotLeader {
        number: u64,
        leader: Option<u8>,
    },
    /// The member must repeat its request with this session, which proves that it is running now.
    Session {
        number: u64,
        session: u64,
    },
    /// The member's table of budgets differs from the leader's: no grant.
    TableMismatch {
        number: u64,
    },
    /// A message of the policy protocol, encoded by the policy crate.
    Policy(Vec<u8>),
    /// A member asks which processes ran under its id before, and reports how much of their grants is still
    /// in use; `None` if it doesn't know.
    TakeOver {
        session: u64,
        remaining: Option<Vec<u64>>,
    },
    /// The earlier processes of that member id that this leader knows, the latest last.
    Predecessors {
        number: u64,
        /// The process that this replies to.
        reply_to: Incarnation,
        predecessors: Vec<Incarnation>,
    },
}

/// A member's request for its grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Issued by the leader; zero if none yet.
    pub session: u64,
    /// Digest of the table of budgets.
    pub table_digest: u64,
    /// Uptime of this process in ms. Once it exceeds the life of any grant, no predecessor can hold one.
    pub uptime_ms: u64,
    /// By budget, in milliunits: what is held and what is needed beyond the floor.
    pub holds: Vec<u64>,
    pub needs: Vec<u64>,
}

/// The leader's reply to a request: the member's grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Number of the request that this answers; the grant counts from when that was sent.
    pub number: u64,
    pub amounts: Vec<u64>,
    /// Number of active members, and this one's rank among them.
    pub members: u32,
    pub rank: u32,
}

impl Envelope {
    /// Encodes and authenticates the envelope; `None` if it would exceed the datagram size.
    pub fn encode(&self, key: &Key) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(self).ok()?;
        let mut bytes = key.mac(&body).to_vec();
        bytes.extend(body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram; `None` if it is malformed, or of another key or fleet.
    pub fn decode(bytes: &[u8], key: &Key, fleet: u64) -> Option<Envelope> {
        let (mac, body) = bytes.split_at_checked(MAC_BYTES).filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES)?;
        // Constant-time comparison, so that timing does not reveal which bytes differ.
        let same = key.mac(body).iter().zip(mac).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0;
        let envelope: Envelope = postcard::from_bytes(body).ok().filter(|_| same)?;
        (envelope.fleet == fleet).then_some(envelope)
    }
}

#[cfg(test)]
mod tests;
