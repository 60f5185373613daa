//! Adapter for the file that records the executions in flight at engines, so that the next process can recover them.

use bramblewharf_fleet::node;
use bramblewharf_fleet::outstanding::{Record, Slots, Write, FILE_SIZE};
use bramblewharf_fleet::predecessor::Predecessor;
use slog::Logger;
use std::cell::RefCell;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Changes with each boot of the machine.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the record of the previous process and prepares the slots of this one.
pub fn read(path: &Path, start: &node::Start, log: &Logger) -> (Predecessor, Slots) {
    let boot = boot_digest();
    let record = fs::read(path).map_err(|error| error.to_string()).and_then(|bytes| {
        Record::decode(&bytes, start.table_digest, boot)
            .map_err(|fault| format!("{}: {fault}", path.display()))
    });
    let record = record.map_err(|fault| {
        slog::info!(log, "no record of the previous process's executions in flight"; "why" => fault);
    });
    let record = record.ok();
    let slots = Slots::start(start.incarnation, start.table_digest, boot, record.as_ref());
    (record.map_or(Predecessor::Unknown, Predecessor::Recorded), slots)
}

/// Digest of the boot id; 0 if it can't be read.
fn boot_digest() -> u64 {
    fs::read_to_string(BOOT_ID).map(|id| bramblewharf_fleet::wire::digest(id.trim())).unwrap_or_default()
}

/// The record of this process, which has replaced that of the previous process.
pub struct RecordFile {
    path: PathBuf,
    /// None after a failed write, as the record would be incomplete.
    file: RefCell<Option<File>>,
}

impl RecordFile {
    /// Replaces the file atomically; if the process is killed meanwhile, the previous record remains.
    pub fn replace(path: &Path, writes: &[Write]) -> io::Result<RecordFile> {
        let directory =
            path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let file = tempfile::NamedTempFile::new_in(directory)?;
        file.as_file().set_len(FILE_SIZE)?;
        for write in writes {
            file.as_file().write_all_at(&write.bytes, write.offset)?;
        }
        let file = file.persist(path)?;
        Ok(RecordFile { path: path.into(), file: RefCell::new(Some(file)) })
    }

    /// Writes a slot. After a failure the file is removed, so that the next process does not trust an incomplete record.
    pub fn write(&self, write: &Write, log: &Logger) {
        let mut file = self.file.borrow_mut();
        let Some(Err(error)) = file.as_ref().map(|file| file.write_all_at(&write.bytes, write.offset)) else {
            return;
        };
        *file = None;
        let removed = fs::remove_file(&self.path);
        slog::error!(log, "the record of what is out is given up"; "file" => %self.path.display(),
            "error" => %error, "removed" => removed.is_ok());
    }
}

#[cfg(test)]
mod tests;
