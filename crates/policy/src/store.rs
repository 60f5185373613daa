//! The stored file: magic bytes, a format version, a generation, the length, the content and a digest of all
//! before it. A file that is torn, truncated, changed or of another version is not read at all; a restored
//! old file can't be detected here.

use crate::register::DurableState;
use crate::revision::{digest, Digest, Revision};
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 8] = b"bwpolicy";
const VERSION: u16 = 1;
/// The longest file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// The policy state that a gateway stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// The register, if this gateway is a voter.
    pub voter: Option<DurableState>,
    /// What it enforces while isolated: one of the revisions, or two during a change.
    pub fallback: Vec<Digest>,
    /// The last revisions enforced, and all that the register's entry refers to.
    pub revisions: Vec<Revision>,
}

/// Why a stored file is not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Truncated, torn or changed.
    Corrupted,
    /// Written in a format version that this build doesn't read.
    Version(u16),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ReadError::Corrupted => write!(f, "is truncated or corrupted"),
            ReadError::Version(version) => {
                write!(f, "has format version {version}, this build reads {VERSION}")
            }
        }
    }
}

impl StoredState {
    /// The bytes of the file.
    pub fn write(&self, generation: u64) -> Vec<u8> {
        let content = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&generation.to_le_bytes());
        bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
        bytes.extend(content);
        let checksum = digest(&bytes);
        bytes.extend_from_slice(&checksum.0);
        bytes
    }

    /// The generation and the state.
    pub fn read(bytes: &[u8]) -> Result<(u64, StoredState), ReadError> {
        let (body, checksum) =
            bytes.split_at_checked(bytes.len().wrapping_sub(16)).ok_or(ReadError::Corrupted)?;
        if digest(body).0 != checksum || bytes.len() > MAX_FILE_BYTES {
            return Err(ReadError::Corrupted);
        }
        let mut rest = body;
        let mut take = |count: usize| {
            let (taken, remaining) = rest.split_at_checked(count)?;
            rest = remaining;
            Some(taken)
        };
        let mut take_header = || Some((take(8)?, take(2)?, take(8)?, take(4)?));
        let (magic, version, generation, length) = take_header().ok_or(ReadError::Corrupted)?;
        let version = u16::from_le_bytes(version.try_into().map_err(|_| ReadError::Corrupted)?);
        if magic != MAGIC {
            return Err(ReadError::Corrupted);
        }
        if version != VERSION {
            return Err(ReadError::Version(version));
        }
        let generation = u64::from_le_bytes(generation.try_into().map_err(|_| ReadError::Corrupted)?);
        let length = u32::from_le_bytes(length.try_into().map_err(|_| ReadError::Corrupted)?) as usize;
        if rest.len() != length {
            return Err(ReadError::Corrupted);
        }
        postcard::from_bytes(rest)
            .map(|stored_state| (generation, stored_state))
            .map_err(|_| ReadError::Corrupted)
    }
}

#[cfg(test)]
mod tests;
