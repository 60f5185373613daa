//! A disk that fails on purpose, at a byte that the test names, in memory or below a real folder.

use bramblewharf_bodies::spool::{Disk, SpoolFile};
use std::io;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// What goes wrong, and how often.
#[derive(Default)]
pub struct Faults {
    /// Bytes that may yet be written on this disk before it is full; below zero: any number.
    pub room: AtomicI64,
    /// Reads and writes that fail with EIO from now on.
    pub failing: AtomicUsize,
    /// Of what is read, the byte at this place (from 1) is wrong; 0: none.
    pub wrong_byte: AtomicU64,
    /// Files end here, whatever was written; 0: nowhere.
    pub cut_at: AtomicU64,
    /// Files that can be made yet; below zero: any number.
    pub files: AtomicI64,
    pub made: AtomicUsize,
    pub open: AtomicUsize,
    /// While held, no write ends.
    held: (Mutex<bool>, Condvar),
}

/// A disk of these faults; none at first.
#[derive(Clone)]
pub struct FaultyDisk(pub Arc<Faults>);

impl Default for FaultyDisk {
    fn default() -> FaultyDisk {
        let faults = Faults { room: AtomicI64::new(-1), files: AtomicI64::new(-1), ..Faults::default() };
        FaultyDisk(Arc::new(faults))
    }
}

impl FaultyDisk {
    /// Writes wait until they are let go.
    pub fn hold(&self, held: bool) {
        *self.0.held.0.lock().unwrap() = held;
        self.0.held.1.notify_all();
    }
}

impl Disk for FaultyDisk {
    fn create(&self) -> io::Result<Box<dyn SpoolFile>> {
        let files = self.0.files.load(Ordering::SeqCst);
        if files == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if files > 0 {
            self.0.files.fetch_sub(1, Ordering::SeqCst);
        }
        self.0.made.fetch_add(1, Ordering::SeqCst);
        self.0.open.fetch_add(1, Ordering::SeqCst);
        Ok(Box::new(FaultyFile { faults: self.0.clone(), bytes: Mutex::default() }))
    }
}

struct FaultyFile {
    faults: Arc<Faults>,
    bytes: Mutex<Vec<u8>>,
}

impl FaultyFile {
    fn fails(&self) -> io::Result<()> {
        let failing = &self.faults.failing;
        let left = failing.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        left.map_or(Ok(()), |_| Err(io::Error::from_raw_os_error(5)))
    }
}

impl SpoolFile for FaultyFile {
    fn write_all_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let held = self.faults.held.0.lock().unwrap();
        drop(self.faults.held.1.wait_while(held, |held| *held).unwrap());
        self.fails()?;
        let room = self.faults.room.load(Ordering::SeqCst);
        // A disk that fills up takes what it has room for, and then says so.
        let taken = if room < 0 { bytes.len() } else { bytes.len().min(room as usize) };
        if room >= 0 {
            self.faults.room.fetch_sub(taken as i64, Ordering::SeqCst);
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
        self.fails()?;
        let file = self.bytes.lock().unwrap();
        let cut = self.faults.cut_at.load(Ordering::SeqCst);
        let length = if cut > 0 { file.len().min(cut as usize) } else { file.len() };
        let end = at as usize + bytes.len();
        if end > length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.copy_from_slice(&file[at as usize..end]);
        let wrong = self.faults.wrong_byte.load(Ordering::SeqCst);
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
