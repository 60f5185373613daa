//! Record of the executions that a gateway has in flight, in a file that survives a kill, for the next
//! process.
//!
//! The file has a fixed size: a header that identifies the process, and one slot per execution. Header and
//! slots have checksums, and a single corrupted one invalidates the whole file. Nothing here does I/O.

use crate::Incarnation;
use bramblewharf_budgets::usage::Charges;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Sizes in bytes; a page holds whole slots, so that a kill never leaves half of one.
const HEADER_BYTES: usize = 256;
const SLOT_BYTES: usize = 256;
const SLOT_COUNT: u32 = 2048;
/// Size of the whole file in bytes.
pub const FILE_SIZE: u64 = (HEADER_BYTES + SLOT_BYTES * SLOT_COUNT as usize) as u64;
const LENGTH_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 8;
const FORMAT_VERSION: u32 = 1;

/// An execution that was sent and is not known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    pub id: String,
    pub execution: usize,
    pub engine: SocketAddr,
    /// Its demand on the fleet's budgets.
    pub demand: Charges,
}

/// The process that a file belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRun {
    pub incarnation: Incarnation,
    /// The process before it, according to the file that it found.
    pub predecessor: Option<Incarnation>,
    /// The slots hold everything that earlier processes still have in flight.
    pub complete: bool,
    /// Digest of the table of budgets.
    pub table_digest: u64,
    /// Identifies the machine's boot, which no connection outlives.
    pub boot_id: u64,
}

impl ProcessRun {
    /// A process that starts after the one of the record `previous`, if that was found.
    pub fn start(
        incarnation: Incarnation,
        table_digest: u64,
        boot_id: u64,
        previous: Option<&Record>,
    ) -> ProcessRun {
        let predecessor = previous.and_then(|record| match record.run.complete {
            true => Some(record.run.incarnation),
            // The last process's slots include what the one before it left.
            false => record.run.predecessor,
        });
        ProcessRun { incarnation, predecessor, complete: false, table_digest, boot_id }
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    format: u32,
    slots: u32,
    run: ProcessRun,
}

/// Contents of the previous process's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub run: ProcessRun,
    pub outstanding: Vec<Outstanding>,
}

/// Why a file can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    Size,
    Header,
    /// Another format, another table of budgets, or written before the last boot.
    Foreign,
    Slot,
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            RecordError::Size => "has an unexpected size",
            RecordError::Header => "has a corrupted header",
            RecordError::Foreign => "has another table of budgets, another format or is from an earlier boot",
            RecordError::Slot => "has a corrupted slot",
        })
    }
}

impl Record {
    /// Decodes a whole file, for a process with that table of budgets in that boot of the machine.
    pub fn decode(bytes: &[u8], table_digest: u64, boot_id: u64) -> Result<Record, RecordError> {
        if bytes.len() as u64 != FILE_SIZE {
            return Err(RecordError::Size);
        }
        let (header, slots) = bytes.split_at(HEADER_BYTES);
        let header: Header = unseal(header, 0).ok_or(RecordError::Header)?;
        let Header { format, slots: count, run } = header;
        if (format, count, run.table_digest, run.boot_id)
            != (FORMAT_VERSION, SLOT_COUNT, table_digest, boot_id)
        {
            return Err(RecordError::Foreign);
        }
        let used = slots.chunks_exact(SLOT_BYTES).filter(|slot| slot.iter().any(|byte| *byte != 0));
        let outstanding: Option<Vec<Outstanding>> =
            used.map(|slot| unseal(slot, run.incarnation.0)).collect();
        Ok(Record { run, outstanding: outstanding.ok_or(RecordError::Slot)? })
    }

    /// Whether this is the file of the last process of its member id, given the processes that the leader
    /// knows, the latest last. Processes that the leader never heard from may have followed those.
    pub fn is_of_latest(&self, predecessors: &[Incarnation]) -> bool {
        let ProcessRun { incarnation, predecessor, complete, .. } = self.run;
        let Some(last) = predecessors.last() else { return false };
        if complete {
            return *last == incarnation || predecessor == Some(*last);
        }
        let previous = predecessors.len().checked_sub(2).map(|at| predecessors[at]);
        predecessor.is_some()
            && (predecessor == Some(*last) || (*last == incarnation && previous == predecessor))
    }
}

/// A write to the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// Allocation of the slots in this process's file.
pub struct Slots {
    run: ProcessRun,
    used: HashMap<(String, usize), u32>,
    free: Vec<u32>,
    next: u32,
}

impl Slots {
    /// The empty slots of a process that starts after the one of the record `previous`, if that was found.
    pub fn start(
        incarnation: Incarnation,
        table_digest: u64,
        boot_id: u64,
        previous: Option<&Record>,
    ) -> Slots {
        let run = ProcessRun::start(incarnation, table_digest, boot_id, previous);
        Slots { run, used: HashMap::new(), free: Vec::new(), next: 0 }
    }

    /// The write of the current header.
    pub fn header(&self) -> Write {
        let header = Header { format: FORMAT_VERSION, slots: SLOT_COUNT, run: self.run.clone() };
        Write { offset: 0, bytes: seal(&header, 0, HEADER_BYTES).unwrap_or_else(|| vec![0; HEADER_BYTES]) }
    }

    /// Marks the file as complete: from now on the slots hold everything in flight under this member id.
    /// `None` if it was complete already.
    pub fn mark_complete(&mut self) -> Option<Write> {
        let previous = std::mem::replace(&mut self.run.complete, true);
        (!previous).then(|| self.header())
    }

    /// Adds an execution. If it doesn't fit, the write invalidates the file.
    pub fn add(&mut self, outstanding: &Outstanding) -> Write {
        let name = (outstanding.id.clone(), outstanding.execution);
        let slot = self.used.get(&name).copied().or_else(|| self.free.pop());
        let slot = slot.or_else(|| (self.next < SLOT_COUNT).then_some(self.next));
        let sealed = seal(outstanding, self.run.incarnation.0, SLOT_BYTES);
        let (Some(slot), Some(bytes)) = (slot, sealed) else { return self.invalidate() };
        self.next = self.next.max(slot + 1);
        self.used.insert(name, slot);
        Write { offset: slot_offset(slot), bytes }
    }

    /// Removes an execution that has ended.
    pub fn remove(&mut self, id: &str, execution: usize) -> Option<Write> {
        let slot = self.used.remove(&(id.to_string(), execution))?;
        self.free.push(slot);
        Some(Write { offset: slot_offset(slot), bytes: vec![0; SLOT_BYTES] })
    }

    /// Invalidates the file for the rest of this process, since an execution in flight has no slot.
    fn invalidate(&mut self) -> Write {
        (self.run.complete, self.run.predecessor) = (true, None);
        Write { offset: 0, bytes: vec![0; HEADER_BYTES] }
    }
}

fn slot_offset(slot: u32) -> u64 {
    HEADER_BYTES as u64 + u64::from(slot) * SLOT_BYTES as u64
}

/// Length, checksum and content, padded with zeros; `None` if it is too long.
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
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let (sum, rest) = rest.split_first_chunk::<CHECKSUM_BYTES>()?;
    let body = rest.get(..usize::from(u16::from_le_bytes(*length)))?;
    let is_intact = *sum == checksum(body, salt);
    is_intact.then(|| postcard::from_bytes(body).ok()).flatten()
}

/// Checksum salted with the incarnation, so that a slot of another process is not accepted.
fn checksum(body: &[u8], salt: u64) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(body);
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    sum
}

#[cfg(test)]
mod tests;
