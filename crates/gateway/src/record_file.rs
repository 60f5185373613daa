//! The file in which a gateway keeps what it has out at engines, for the process after it: an adapter, which decides nothing.

use bramblewharf_fleet::node;
use bramblewharf_fleet::outstanding::{Record, Slots, Write, FILE_SIZE};
use bramblewharf_fleet::predecessor::Predecessor;
use slog::Logger;
use std::cell::RefCell;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Changes with each start of the machine.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// What the process before left in the file, and the slots that this one fills.
pub fn read(path: &Path, start: &node::Start, log: &Logger) -> (Predecessor, Slots) {
    let boot = boot();
    let record = fs::read(path).map_err(|error| error.to_string()).and_then(|bytes| {
        Record::decode(&bytes, start.table_digest, boot)
            .map_err(|fault| format!("{}: {fault}", path.display()))
    });
    let record = record.map_err(|fault| {
        slog::info!(log, "no record of what the process before had out"; "why" => fault);
    });
    let record = record.ok();
    let slots = Slots::start(start.incarnation, start.table_digest, boot, record.as_ref());
    (record.map_or(Predecessor::Unknown, Predecessor::Recorded), slots)
}

/// Zero where the system does not tell.
fn boot() -> u64 {
    fs::read_to_string(BOOT_ID).map(|id| bramblewharf_fleet::wire::digest(id.trim())).unwrap_or_default()
}

/// This process's own file, which has taken the place of the one before.
pub struct RecordFile {
    path: PathBuf,
    /// None once a write has failed: what it holds would say too little.
    file: RefCell<Option<File>>,
}

impl RecordFile {
    /// Whole under its name, or not at all: a kill meanwhile leaves the file of the process before.
    pub fn replace(path: &Path, writes: &[Write]) -> io::Result<RecordFile> {
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let file = tempfile::NamedTempFile::new_in(folder)?;
        file.as_file().set_len(FILE_SIZE)?;
        for write in writes {
            file.as_file().write_all_at(&write.bytes, write.offset)?;
        }
        let file = file.persist(path)?;
        Ok(RecordFile { path: path.into(), file: RefCell::new(Some(file)) })
    }

    /// Where it fails the file is removed: the process after this one knows nothing then, which is true.
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
