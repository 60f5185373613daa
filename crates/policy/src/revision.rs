//! A numbered revision of the policy: its text, its author and reason, and the revision it replaces.

use serde::{Deserialize, Serialize};

/// The longest policy text, in bytes.
pub const MAX_TEXT_BYTES: usize = 32 * 1024;
/// The longest author or reason, in bytes.
pub const MAX_LABEL_BYTES: usize = 200;

/// Identifies a revision: the first 16 bytes of the BLAKE3 hash of its encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One revision, as it is proposed, stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    pub number: u64,
    /// The revision it replaces: a proposal based on any other is rejected.
    pub parent: Digest,
    pub author: String,
    pub reason: String,
    /// The policy text, unchanged.
    pub text: String,
}

impl Revision {
    /// The encoded form.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a revision; none if it is malformed, too long or followed by more bytes.
    pub fn read(bytes: &[u8]) -> Option<Revision> {
        let (revision, rest): (Revision, _) = postcard::take_from_bytes(bytes).ok()?;
        (rest.is_empty() && revision.is_bounded()).then_some(revision)
    }

    /// Whether text, author and reason are within their limits.
    pub fn is_bounded(&self) -> bool {
        self.text.len() <= MAX_TEXT_BYTES
            && self.author.len() <= MAX_LABEL_BYTES
            && self.reason.len() <= MAX_LABEL_BYTES
    }

    /// The digest covers all fields, so revisions that differ only in their author are distinct.
    pub fn digest(&self) -> Digest {
        digest(&self.write())
    }
}

/// The digest of encoded bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    Digest(prefix)
}
