//! What has to last, as the bytes of a file: a head, a generation, the length, the content and a digest of all before it. What is
//! torn, cut, flipped or of another form is not read at all; that an old file was put back can't be seen here.

use crate::register::Lasting;
use crate::revision::{digest, Digest, Revision};
use serde::{Deserialize, Serialize};

const HEAD: &[u8; 8] = b"bwpolicy";
const VERSION: u16 = 1;
/// The longest file that is read.
pub const LONGEST: usize = 4 << 20;

/// All that a gateway keeps of policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Of a seat alone.
    pub seat: Option<Lasting>,
    /// What it goes by alone: one of the revisions, or two at once.
    pub alone: Vec<Digest>,
    /// The last revisions, and of a seat all that its entry needs.
    pub revisions: Vec<Revision>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Cut, torn or flipped.
    NotWhole,
    /// Of a build that is not this one.
    Version(u16),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Fault::NotWhole => write!(f, "is not whole: cut, torn or spoilt"),
            Fault::Version(version) => write!(f, "is of form {version}, this build reads {VERSION}"),
        }
    }
}

impl Kept {
    pub fn write(&self, generation: u64) -> Vec<u8> {
        let content = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = HEAD.to_vec();
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&generation.to_le_bytes());
        bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
        bytes.extend(content);
        let check = digest(&bytes);
        bytes.extend_from_slice(&check.0);
        bytes
    }

    /// The generation, and what was kept.
    pub fn read(bytes: &[u8]) -> Result<(u64, Kept), Fault> {
        let (body, check) = bytes.split_at_checked(bytes.len().wrapping_sub(16)).ok_or(Fault::NotWhole)?;
        if digest(body).0 != check || bytes.len() > LONGEST {
            return Err(Fault::NotWhole);
        }
        let mut rest = body;
        let mut take = |many: usize| {
            let (taken, left) = rest.split_at_checked(many)?;
            rest = left;
            Some(taken)
        };
        let mut parts = || Some((take(8)?, take(2)?, take(8)?, take(4)?));
        let (head, version, generation, length) = parts().ok_or(Fault::NotWhole)?;
        let version = u16::from_le_bytes(version.try_into().map_err(|_| Fault::NotWhole)?);
        if head != HEAD {
            return Err(Fault::NotWhole);
        }
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        let generation = u64::from_le_bytes(generation.try_into().map_err(|_| Fault::NotWhole)?);
        let length = u32::from_le_bytes(length.try_into().map_err(|_| Fault::NotWhole)?) as usize;
        if rest.len() != length {
            return Err(Fault::NotWhole);
        }
        postcard::from_bytes(rest).map(|kept| (generation, kept)).map_err(|_| Fault::NotWhole)
    }
}

#[cfg(test)]
mod tests;
