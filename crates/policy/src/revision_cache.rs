//! Revisions by digest: cached while they are needed, and fetched from peers in chunks.

use crate::message::{PolicyMessage, CHUNK_BYTES};
use crate::revision::{digest, Digest, Revision};
use crate::rules::Rules;
use crate::{revision, Check};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The most fetches under way: further ones wait for a later request.
const MAX_FETCHES: usize = 8;

/// A revision with its encoded form and its rules.
#[derive(Clone, Debug)]
pub struct CachedRevision {
    pub revision: Arc<Revision>,
    pub bytes: Arc<Vec<u8>>,
    /// As parsed by this build and configuration, or why it is rejected.
    pub rules: Result<Arc<Rules>, String>,
}

struct Fetch<P> {
    from: P,
    bytes: Vec<u8>,
    last_sent: Option<Duration>,
}

/// The revisions at hand and the fetches under way; `P` identifies a peer.
pub struct RevisionCache<P> {
    check: Check,
    /// This gateway itself, which nothing is fetched from.
    own_peer: Option<P>,
    cached: BTreeMap<Digest, CachedRevision>,
    /// Each fetch ends when its revision is complete or no longer needed (`retain_needed`).
    fetches: BTreeMap<Digest, Fetch<P>>,
}

impl<P: Copy + PartialEq> RevisionCache<P> {
    /// An empty cache; `check` parses each revision.
    pub fn new(check: Check, own_peer: Option<P>) -> RevisionCache<P> {
        RevisionCache { check, own_peer, cached: BTreeMap::new(), fetches: BTreeMap::new() }
    }

    /// Adds a revision and returns its digest.
    pub fn add(&mut self, revision: Revision) -> Digest {
        let bytes = revision.write();
        let digest = digest(&bytes);
        let rules = (self.check)(&revision).map(Arc::new);
        let cached = CachedRevision { revision: Arc::new(revision), bytes: Arc::new(bytes), rules };
        self.cached.entry(digest).or_insert(cached);
        self.fetches.remove(&digest);
        digest
    }

    /// A revision, if it is cached.
    pub fn get(&self, digest: &Digest) -> Option<&CachedRevision> {
        self.cached.get(digest)
    }

    /// The rules of a revision, if it is cached and valid.
    pub fn rules(&self, digest: &Digest) -> Option<Arc<Rules>> {
        self.cached.get(digest)?.rules.as_ref().ok().cloned()
    }

    /// Whether a revision is cached; if not, starts to fetch it from that peer.
    pub fn ensure_cached(&mut self, digest: Digest, from: P) -> bool {
        if self.cached.contains_key(&digest) {
            return true;
        }
        if self.own_peer == Some(from) {
            return false;
        }
        if let Some(fetch) = self.fetches.get_mut(&digest) {
            // The first peer may have stopped: continues with the one named last.
            fetch.from = from;
        } else if self.fetches.len() < MAX_FETCHES {
            self.fetches.insert(digest, Fetch { from, bytes: Vec::new(), last_sent: None });
        }
        false
    }

    /// Drops all other revisions and fetches.
    pub fn retain_needed(&mut self, needed: impl Fn(&Digest) -> bool) {
        self.cached.retain(|digest, _| needed(digest));
        self.fetches.retain(|digest, _| needed(digest));
    }

    /// The chunk requests due now; each is retried until its chunk arrives.
    pub fn due_requests(&mut self, now: Duration, retry_interval: Duration) -> Vec<(P, PolicyMessage)> {
        let due = self
            .fetches
            .iter_mut()
            .filter(|(_, fetch)| fetch.last_sent.is_none_or(|at| now >= at + retry_interval));
        let requests = due.map(|(digest, fetch)| {
            fetch.last_sent = Some(now);
            (fetch.from, PolicyMessage::GetChunk { digest: *digest, offset: fetch.bytes.len() as u32 })
        });
        requests.collect()
    }

    /// The chunk that a peer requested.
    pub fn chunk(&self, digest: Digest, offset: u32) -> Option<PolicyMessage> {
        let bytes = &self.cached.get(&digest)?.bytes;
        let at = (offset as usize).min(bytes.len());
        let chunk = bytes[at..(at + CHUNK_BYTES).min(bytes.len())].to_vec();
        Some(PolicyMessage::Chunk { digest, offset, total_bytes: bytes.len() as u32, bytes: chunk })
    }

    /// Takes a received chunk: true if its revision is complete now.
    pub fn receive_chunk(&mut self, digest: Digest, offset: u32, total_bytes: u32, bytes: &[u8]) -> bool {
        let Some(fetch) = self.fetches.get_mut(&digest) else { return false };
        let max_bytes = revision::MAX_TEXT_BYTES + 1024;
        if offset as usize != fetch.bytes.len() || total_bytes as usize > max_bytes || bytes.is_empty() {
            return false;
        }
        fetch.bytes.extend_from_slice(bytes);
        fetch.last_sent = None;
        if fetch.bytes.len() < total_bytes as usize {
            return false;
        }
        let bytes = std::mem::take(&mut fetch.bytes);
        // If the digest doesn't match, the fetch starts again from the first byte.
        match Revision::read(&bytes).filter(|_| revision::digest(&bytes) == digest) {
            Some(revision) => self.add(revision) == digest,
            None => false,
        }
    }
}
