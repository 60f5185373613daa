//! The interface of a store; each call is one transaction. Times are taken from the store's clock, because
//! the clock of a gateway may jump.

use crate::operations::{Key, OperationId, Reply};
use std::time::Duration;

/// BLAKE3 of the content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of this content.
    pub fn of(content: &[u8]) -> Digest {
        Digest(*blake3::hash(content).as_bytes())
    }

    /// In lower-case hexadecimal.
    pub fn hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.hex()[..8])
    }
}

/// The writer: one incarnation of a gateway. Each incarnation has its own lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Name of the gateway.
    pub gateway: String,
    /// Increases with each start of the gateway.
    pub incarnation: u64,
}

/// One revision of a table group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Key of the operation that wrote it.
    pub key: String,
    /// Customer of the statement.
    pub customer: String,
    /// Workload of the statement.
    pub workload: String,
    /// None if the statement named no table group.
    pub table_group: Option<u64>,
    /// Digest of its content.
    pub digest: Digest,
    /// From 1, without gaps within its table group.
    pub number: u64,
    /// Who wrote it.
    pub owner: Owner,
    /// When it was written: Unix milliseconds by the store's clock.
    pub at_ms: u64,
}

/// What a revision is written from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// Customer of the statement.
    pub customer: String,
    /// Workload of the statement.
    pub workload: String,
    /// None if the statement names no table group.
    pub table_group: Option<u64>,
    /// The content itself, in order.
    pub chunks: Vec<Vec<u8>>,
}

/// How long an owner holds its keys without renewing its lease.
pub const LEASE: Duration = Duration::from_secs(10);

/// Transactions of the store of record.
pub trait Store {
    /// Extends the lease of an owner from now.
    fn renew_lease(&mut self, owner: &Owner) -> Reply;
    /// Writes the intent of an operation, identified by its owner and `id`, and takes the key for it.
    fn intend(
        &mut self,
        owner: &Owner,
        id: OperationId,
        key: &Key,
        digest: &Digest,
        replace_in_doubt: bool,
    ) -> Reply;
    /// Writes the revision with its content and deletes the intent.
    fn record(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64, content: &Content) -> Reply;
    /// Whether the revision exists; if not, issues a new fencing token, so that earlier writes can't succeed
    /// any more.
    fn check_recorded(&mut self, owner: &Owner, key: &Key, digest: &Digest, fence: u64) -> Reply;
    /// Deletes the intent of this operation only: another one may hold the key by now.
    fn withdraw(&mut self, owner: &Owner, id: OperationId, key: &Key) -> Reply;
    /// Marks the intent as in doubt, because its execution may have run.
    fn mark_in_doubt(&mut self, owner: &Owner, key: &Key, fence: u64) -> Reply;
}
