//! What a store must do, in one transaction each. Times are the store's own: a gateway's clock may jump.

use crate::ledger::{Id, Key, Reply};
use std::time::Duration;

/// BLAKE3 of the content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    pub fn of(content: &[u8]) -> Digest {
        Digest(*blake3::hash(content).as_bytes())
    }

    pub fn hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.hex()[..8])
    }
}

/// Who writes: a gateway's name and which start of it this is. A lease is the incarnation's own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    pub gateway: String,
    pub incarnation: u64,
}

/// One revision of a table group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    pub key: String,
    pub customer: String,
    pub workload: String,
    pub table_group: Option<u64>,
    pub digest: Digest,
    /// From 1, without gaps, in its group.
    pub number: u64,
    pub owner: Owner,
    /// Unix milliseconds, by the store's clock.
    pub at_ms: u64,
}

/// What a revision holds beside its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    pub customer: String,
    pub workload: String,
    pub table_group: Option<u64>,
    /// In order, as pieces.
    pub chunks: Vec<Vec<u8>>,
}

/// How long an owner that says nothing still holds its keys.
pub const LEASE: Duration = Duration::from_secs(10);

pub trait Store {
    /// The lease of an owner goes on from now.
    fn renew(&mut self, owner: &Owner) -> Reply;
    /// `id`: the operation's number with its owner, by which its intent is known.
    fn intend(&mut self, owner: &Owner, id: Id, key: &Key, digest: &Digest, again: bool) -> Reply;
    /// The revision and its content, and the intent goes.
    fn record(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64, content: &Content) -> Reply;
    fn look(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64) -> Reply;
    /// Only the intent of that very operation: another one may have the key by now.
    fn withdraw(&mut self, owner: &Owner, id: Id, key: &Key) -> Reply;
    fn mark_unclear(&mut self, owner: &Owner, key: &Key, fence: u64) -> Reply;
}
