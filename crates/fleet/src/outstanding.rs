//! What a gateway has out at engines, kept in a file that outlives a killed process, for the process after it.
//!
//! The file has a fixed size: a header that says whose it is, and one slot for each execution. Each part has a checksum of its own,
//! and one bad part makes the whole file unknown. Nothing here does I/O.

use crate::Incarnation;
use bramblewharf_budgets::usage::Charges;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Bytes of the header and of a slot; a page holds whole slots, so that a kill never leaves half of one.
const HEADER: usize = 256;
const SLOT: usize = 256;
const SLOTS: u32 = 2048;
/// Size of the whole file.
pub const FILE_SIZE: u64 = (HEADER + SLOT * SLOTS as usize) as u64;
const LENGTH: usize = 2;
const CHECKSUM: usize = 8;
const FORMAT: u32 = 1;

/// An execution that was sent and that nothing shows to be over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    pub id: String,
    pub execution: usize,
    pub engine: SocketAddr,
    /// What it takes of the fleet's budgets.
    pub took: Charges,
}

/// Whose file it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    pub incarnation: Incarnation,
    /// The process before it, by the file that it found.
    pub after: Option<Incarnation>,
    /// Nothing is out of earlier processes but what the slots hold.
    pub complete: bool,
    /// Of the table of budgets.
    pub table: u64,
    /// The machine's start: connections don't outlive it.
    pub boot: u64,
}

impl Life {
    /// Of a process that follows another, whose file it found or did not.
    pub fn start(incarnation: Incarnation, table: u64, boot: u64, before: Option<&Record>) -> Life {
        let after = before.and_then(|record| match record.life.complete {
            true => Some(record.life.incarnation),
            // What the one before the last left is among the slots, as it is for the last.
            false => record.life.after,
        });
        Life { incarnation, after, complete: false, table, boot }
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    format: u32,
    slots: u32,
    life: Life,
}

/// What the file of the process before shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub life: Life,
    pub outstanding: Vec<Outstanding>,
}

/// Why a file shows nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Size,
    Header,
    /// Another format, another table of budgets, or written before the machine last started.
    Foreign,
    Slot,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Fault::Size => "has another size",
            Fault::Header => "has a header that can't be read",
            Fault::Foreign => {
                "is of another table of budgets, another format or an earlier start of the machine"
            }
            Fault::Slot => "has a slot that can't be read",
        })
    }
}

impl Record {
    /// Reads a whole file, for a process with that table on a machine started then.
    pub fn read(bytes: &[u8], table: u64, boot: u64) -> Result<Record, Fault> {
        if bytes.len() as u64 != FILE_SIZE {
            return Err(Fault::Size);
        }
        let (header, slots) = bytes.split_at(HEADER);
        let header: Header = unseal(header, 0).ok_or(Fault::Header)?;
        let Header { format, slots: count, life } = header;
        if (format, count, life.table, life.boot) != (FORMAT, SLOTS, table, boot) {
            return Err(Fault::Foreign);
        }
        let used = slots.chunks_exact(SLOT).filter(|slot| slot.iter().any(|byte| *byte != 0));
        let outstanding: Option<Vec<Outstanding>> =
            used.map(|slot| unseal(slot, life.incarnation.0)).collect();
        Ok(Record { life, outstanding: outstanding.ok_or(Fault::Slot)? })
    }

    /// Whether this is the file of the last process at its place, by the keeper's word of those that were there, the latest last. A
    /// process that the keeper never heard of may have come after the one that it names.
    pub fn is_of_last(&self, former: &[Incarnation]) -> bool {
        let Life { incarnation, after, complete, .. } = self.life;
        let Some(last) = former.last() else { return false };
        if complete {
            return *last == incarnation || after == Some(*last);
        }
        let before = former.len().checked_sub(2).map(|at| former[at]);
        after.is_some() && (after == Some(*last) || (*last == incarnation && before == after))
    }
}

/// Bytes of the file from a place on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub at: u64,
    pub bytes: Vec<u8>,
}

/// The slots of this process's file.
pub struct Slots {
    life: Life,
    used: HashMap<(String, usize), u32>,
    free: Vec<u32>,
    next: u32,
}

impl Slots {
    /// For a process that follows another, whose file it found or did not.
    pub fn start(incarnation: Incarnation, table: u64, boot: u64, before: Option<&Record>) -> Slots {
        let life = Life::start(incarnation, table, boot, before);
        Slots { life, used: HashMap::new(), free: Vec::new(), next: 0 }
    }

    /// The header as it stands.
    pub fn header(&self) -> Write {
        let header = Header { format: FORMAT, slots: SLOTS, life: self.life.clone() };
        Write { at: 0, bytes: seal(&header, 0, HEADER).unwrap_or_else(|| vec![0; HEADER]) }
    }

    /// From now on the slots hold all that is out of this place; the header says so. None where it did before.
    pub fn completed(&mut self) -> Option<Write> {
        let before = std::mem::replace(&mut self.life.complete, true);
        (!before).then(|| self.header())
    }

    /// One more is out. Where it does not fit the file says no more of this place.
    pub fn add(&mut self, outstanding: &Outstanding) -> Write {
        let name = (outstanding.id.clone(), outstanding.execution);
        let slot = self.used.get(&name).copied().or_else(|| self.free.pop());
        let slot = slot.or_else(|| (self.next < SLOTS).then_some(self.next));
        let sealed = seal(outstanding, self.life.incarnation.0, SLOT);
        let (Some(slot), Some(bytes)) = (slot, sealed) else { return self.unknown() };
        self.next = self.next.max(slot + 1);
        self.used.insert(name, slot);
        Write { at: offset(slot), bytes }
    }

    /// It is over.
    pub fn remove(&mut self, id: &str, execution: usize) -> Option<Write> {
        let slot = self.used.remove(&(id.to_string(), execution))?;
        self.free.push(slot);
        Some(Write { at: offset(slot), bytes: vec![0; SLOT] })
    }

    /// Something is out that has no slot: the file is of no use until the next process.
    fn unknown(&mut self) -> Write {
        (self.life.complete, self.life.after) = (true, None);
        Write { at: 0, bytes: vec![0; HEADER] }
    }
}

fn offset(slot: u32) -> u64 {
    HEADER as u64 + u64::from(slot) * SLOT as u64
}

/// Length, checksum and content, filled up with zeros; None where it is too long.
fn seal<T: Serialize>(content: &T, salt: u64, size: usize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(content).ok()?;
    let mut bytes = u16::try_from(body.len()).ok()?.to_le_bytes().to_vec();
    bytes.extend(checksum(&body, salt));
    bytes.extend(body);
    (bytes.len() <= size).then(|| {
        bytes.resize(size, 0);
        bytes
    })
}

fn unseal<T: DeserializeOwned>(bytes: &[u8], salt: u64) -> Option<T> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH>()?;
    let (sum, rest) = rest.split_first_chunk::<CHECKSUM>()?;
    let body = rest.get(..usize::from(u16::from_le_bytes(*length)))?;
    let is_whole = *sum == checksum(body, salt);
    is_whole.then(|| postcard::from_bytes(body).ok()).flatten()
}

/// A slot of an earlier process never passes for one of this.
fn checksum(body: &[u8], salt: u64) -> [u8; CHECKSUM] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(body);
    let mut sum = [0; CHECKSUM];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM]);
    sum
}

#[cfg(test)]
mod tests;
