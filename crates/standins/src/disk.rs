//! A disk that fails on purpose, at a byte that the test names, in memory or below a real folder.

use bramblewharf_bodies::spool::{Disk, SpoolFile};
use std::io;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// What goes wrong, and how often.
#[derive(Default)]
pub struct Faults {
    /// Bytes that may yet be written on this disk before it is full; below zero: any number.
    pub free_bytes: AtomicI64,
    /// Reads and writes that fail with EIO from now on.
    pub io_errors: AtomicUsize,
    /// Of what is read, the byte at this place (from 1) is wrong; 0: none.
    pub corrupted_byte: AtomicU64,
    /// Files end here, whatever was written; 0: nowhere.
    pub truncated_at: AtomicU64,
    /// Files that can be made yet; below zero: any number.
    pub files_allowed: AtomicI64,
    pub created: AtomicUsize,
    pub open: AtomicUsize,
    /// While held, no write ends.
    writes_blocked: (Mutex<bool>, Condvar),
}

/// A disk of these faults; none at first.
#[derive(Clone)]
pub struct FaultyDisk(pub Arc<Faults>);

impl Default for FaultyDisk {
    fn default() -> FaultyDisk {
        let faults =
            Faults { free_bytes: AtomicI64::new(-1), files_allowed: AtomicI64::new(-1), ..Faults::default() };
        FaultyDisk(Arc::new(faults))
    }
}

impl FaultyDisk {
    /// Writes wait until they are let go.
    pub fn block_writes(&self, writes_blocked: bool) {
        *self.0.writes_blocked.0.lock().unwrap() = writes_blocked;
        self.0.writes_blocked.1.notify_all();
    }
}

impl Disk for FaultyDisk {
    fn create(&self) -> io::Result<Box<dyn SpoolFile>> {
        let files_allowed = self.0.files_allowed.load(Ordering::SeqCst);
        if files_allowed == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if files_allowed > 0 {
            self.0.files_allowed.fetch_sub(1, Ordering::SeqCst);
        }
        self.0.created.fetch_add(1, Ordering::SeqCst);
        self.0.open.fetch_add(1, Ordering::SeqCst);
        Ok(Box::new(FaultyFile { faults: self.0.clone(), bytes: Mutex::default() }))
    }
}

struct FaultyFile {
    faults: Arc<Faults>,
    bytes: Mutex<Vec<u8>>,
}

impl FaultyFile {
    fn inject_error(&self) -> io::Result<()> {
        let io_errors = &self.faults.io_errors;
        let left = io_errors.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        left.map_or(Ok(()), |_| Err(io::Error::from_raw_os_error(5)))
    }
}

impl SpoolFile for FaultyFile {
    fn write_all_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let writes_blocked = self.faults.writes_blocked.0.lock().unwrap();
        drop(
            self.faults
                .writes_blocked
                .1
                .wait_while(writes_blocked, |writes_blocked| *writes_blocked)
                .unwrap(),
        );
        self.inject_error()?;
        let free_bytes = self.faults.free_bytes.load(Ordering::SeqCst);
        // A disk that fills up takes what it has room for, and then says so.
        let taken = if free_bytes < 0 { bytes.len() } else { bytes.len().min(free_bytes as usize) };
        if free_bytes >= 0 {
            self.faults.free_bytes.fetch_sub(taken as i64, Ordering::SeqCst);
        }
        let mut file = self.bytes.lock().unwrap();
        let end = at as usize + taken;
        if file.len() < end {
            file.resize(end, 0);
        }
        file[at as usize..end].copy_from_slice(&bytes[..taken]);
        if taken < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn read_exact_at(&self, bytes: &mut [u8], at: u64) -> io::Result<()> {
        self.inject_error()?;
        let file = self.bytes.lock().unwrap();
        let cut = self.faults.truncated_at.load(Ordering::SeqCst);
        let length = if cut > 0 { file.len().min(cut as usize) } else { file.len() };
        let end = at as usize + bytes.len();
        if end > length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.copy_from_slice(&file[at as usize..end]);
        let wrong = self.faults.corrupted_byte.load(Ordering::SeqCst);
        if wrong > at && wrong <= end as u64 {
            bytes[(wrong - 1 - at) as usize] ^= 1;
        }
        Ok(())
    }
}

impl Drop for FaultyFile {
    fn drop(&mut self) {
        self.faults.open.fetch_sub(1, Ordering::SeqCst);
    }
}
