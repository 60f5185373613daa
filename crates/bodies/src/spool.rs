//! Files that hold bodies: written and read on a bounded number of threads beside the core, never on it. A file has no
//! name: it is gone with the process, however that ends. Each chunk has a checksum, looked at whenever it is read.

use bytes::Bytes;
use std::fmt;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

/// Bytes of a body that are written, checked and read together.
pub const CHUNK: usize = 64 * 1024;
/// Jobs that wait for a thread; each body has one at a time, so that this bounds nothing but a flood.
const WAITING: usize = 1024;
/// Of zstd: the fastest that still halves a text.
const LEVEL: i32 = 1;

/// A file of a spool; another one than the system's in tests.
pub trait Store: Send + Sync {
    fn write_all_at(&self, bytes: &[u8], at: u64) -> io::Result<()>;
    fn read_exact_at(&self, bytes: &mut [u8], at: u64) -> io::Result<()>;
}

/// Where files are made.
pub trait Disk: Send + Sync {
    fn create(&self) -> io::Result<Box<dyn Store>>;
}

impl Store for File {
    fn write_all_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        std::os::unix::fs::FileExt::write_all_at(self, bytes, at)
    }

    fn read_exact_at(&self, bytes: &mut [u8], at: u64) -> io::Result<()> {
        std::os::unix::fs::FileExt::read_exact_at(self, bytes, at)
    }
}

const PREFIX: &str = "bodies-";
const NEW: &str = "new-bodies-";
const LOCK: &str = "lock";
/// A folder that is older was made long ago.
const MADE: Duration = Duration::from_secs(60);

/// A folder of this process's own below the one that is named, and held by a lock as long as the process lives: what others
/// left behind that have died is removed, and a living neighbour's is not touched.
pub struct Folder {
    path: PathBuf,
    _lock: File,
    /// Folders of dead processes that were removed.
    pub removed: usize,
}

impl Folder {
    pub fn open(dir: &Path) -> io::Result<Folder> {
        let mut removed = 0;
        for entry in fs::read_dir(dir)?.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            // One that is being made is not locked for a moment.
            let new = || {
                entry
                    .metadata()
                    .and_then(|m| m.modified())
                    .is_ok_and(|at| at.elapsed().is_ok_and(|t| t > MADE))
            };
            let named = name.starts_with(PREFIX) || name.starts_with(NEW) && new();
            if named && entry.file_type().is_ok_and(|kind| kind.is_dir()) && is_left(&entry.path()) {
                removed += usize::from(fs::remove_dir_all(entry.path()).is_ok());
            }
        }
        // Made under another name, and renamed once it is locked: no neighbour finds it without its lock.
        let made = tempfile::Builder::new().prefix(NEW).tempdir_in(dir)?;
        let lock = File::create_new(made.path().join(LOCK))?;
        lock.try_lock().map_err(|e| io::Error::other(e.to_string()))?;
        let made = made.keep();
        let own = made.file_name().unwrap_or_default().to_string_lossy().replace(NEW, PREFIX);
        let path = dir.join(own);
        fs::rename(&made, &path)?;
        Ok(Folder { path, _lock: lock, removed })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// At the end, when no file is made any more: the files themselves have no names.
    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Its owner lives no longer. A folder has its lock before it has its name, so one without was removed in part.
fn is_left(folder: &Path) -> bool {
    match File::open(folder.join(LOCK)) {
        Ok(lock) => lock.try_lock().is_ok(),
        Err(error) => error.kind() == io::ErrorKind::NotFound,
    }
}

impl Disk for Folder {
    fn create(&self) -> io::Result<Box<dyn Store>> {
        Ok(Box::new(tempfile::tempfile_in(&self.path)?))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        self.remove();
    }
}

#[derive(Debug)]
pub enum Fault {
    /// The disk is full, or a quota is.
    Full,
    Io(io::Error),
    /// What was read is not what was written.
    Checksum,
    /// More jobs wait than threads can do.
    Busy,
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Fault {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                Fault::Full
            }
            _ => Fault::Io(error),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Full => f.write_str("no room left"),
            Fault::Io(error) => write!(f, "{error}"),
            Fault::Checksum => f.write_str("what was read is not what was written"),
            Fault::Busy => f.write_str("too many jobs wait"),
        }
    }
}

/// Where a chunk stands in its file, and what it must be.
#[derive(Clone, Copy, Debug)]
struct Chunk {
    at: u64,
    stored: u32,
    length: u32,
    checksum: u32,
    packed: bool,
}

/// The file of one body: it is made with its first chunk, and gone with the last handle.
#[derive(Default)]
struct Spooled {
    store: Option<Box<dyn Store>>,
    chunks: Vec<Chunk>,
    end: u64,
}

/// A body's file. Chunks are appended by one at a time; any number of readers may read what is there.
#[derive(Clone, Default)]
pub struct Spool(Arc<Mutex<Spooled>>);

impl fmt::Debug for Spool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Spool")
    }
}

enum Job {
    Write(Spool, Vec<Bytes>, oneshot::Sender<Result<(), Fault>>),
    Read(Spool, usize, oneshot::Sender<Result<Bytes, Fault>>),
    /// What is dropped may close a file, which on a bad disk takes its time.
    Drop(Spool),
}

/// The threads. Dropped, they end once what waits is done.
pub struct Threads {
    jobs: SyncSender<Job>,
    packs: bool,
    /// Bytes that came, and what of them was written.
    pub came: Arc<AtomicU64>,
    pub written: Arc<AtomicU64>,
}

impl Threads {
    /// `packs`: chunks are compressed where that makes them smaller.
    pub fn start(disk: Arc<dyn Disk>, threads: usize, packs: bool) -> io::Result<Threads> {
        // A limit of the system's on the size of files is a full disk, and its signal ends nothing.
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())?;
        let (jobs, waiting) = sync_channel(WAITING);
        let waiting = Arc::new(Mutex::new(waiting));
        let (came, written) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        for number in 0..threads.max(1) {
            let (waiting, disk) = (waiting.clone(), disk.clone());
            let (came, written) = (came.clone(), written.clone());
            std::thread::Builder::new()
                .name(format!("spool-{number}"))
                .spawn(move || work(&waiting, &*disk, packs, &came, &written))?;
        }
        Ok(Threads { jobs, packs, came, written })
    }

    pub fn packs(&self) -> bool {
        self.packs
    }

    fn give(&self, job: Job) -> Result<(), Fault> {
        self.jobs.try_send(job).map_err(|full| match full {
            TrySendError::Full(_) => Fault::Busy,
            TrySendError::Disconnected(_) => Fault::Io(io::ErrorKind::BrokenPipe.into()),
        })
    }

    /// Appends these pieces, as chunks.
    pub async fn write(&self, spool: &Spool, pieces: Vec<Bytes>) -> Result<(), Fault> {
        let (told, done) = oneshot::channel();
        self.give(Job::Write(spool.clone(), pieces, told))?;
        done.await.unwrap_or_else(|_| Err(Fault::Io(io::ErrorKind::BrokenPipe.into())))
    }

    /// The chunk of this number.
    pub async fn read(&self, spool: &Spool, chunk: usize) -> Result<Bytes, Fault> {
        let (told, done) = oneshot::channel();
        self.give(Job::Read(spool.clone(), chunk, told))?;
        done.await.unwrap_or_else(|_| Err(Fault::Io(io::ErrorKind::BrokenPipe.into())))
    }

    /// Has a thread close the file.
    pub fn drop_spool(&self, spool: Spool) {
        let _ = self.give(Job::Drop(spool));
    }
}

fn work(waiting: &Mutex<Receiver<Job>>, disk: &dyn Disk, packs: bool, came: &AtomicU64, written: &AtomicU64) {
    loop {
        let job = waiting.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).recv();
        match job {
            Ok(Job::Write(spool, pieces, told)) => {
                let done = spool.write(disk, &pieces, packs, came, written);
                let _ = told.send(done);
            }
            Ok(Job::Read(spool, chunk, told)) => {
                let _ = told.send(spool.read(chunk));
            }
            Ok(Job::Drop(spool)) => drop(spool),
            Err(_) => return,
        }
    }
}

impl Spool {
    fn lock(&self) -> std::sync::MutexGuard<'_, Spooled> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn chunks(&self) -> usize {
        self.lock().chunks.len()
    }

    /// All of the pieces or none: what a failed write left behind is written over by nobody and never read.
    fn write(
        &self,
        disk: &dyn Disk,
        pieces: &[Bytes],
        packs: bool,
        came: &AtomicU64,
        written: &AtomicU64,
    ) -> Result<(), Fault> {
        let mut spooled = self.lock();
        let spooled = &mut *spooled;
        let store = match &mut spooled.store {
            Some(store) => store,
            none => none.insert(disk.create()?),
        };
        let (before, mut end) = (spooled.chunks.len(), spooled.end);
        let chunks = pieces.iter().flat_map(|piece| piece.chunks(CHUNK));
        for bytes in chunks {
            let packed = if packs { zstd::bulk::compress(bytes, LEVEL).ok() } else { None };
            let packed = packed.filter(|packed| packed.len() < bytes.len());
            let stored = packed.as_deref().unwrap_or(bytes);
            if let Err(error) = store.write_all_at(stored, end) {
                spooled.chunks.truncate(before);
                return Err(error.into());
            }
            spooled.chunks.push(Chunk {
                at: end,
                stored: stored.len() as u32,
                length: bytes.len() as u32,
                checksum: crc32fast::hash(bytes),
                packed: packed.is_some(),
            });
            end += stored.len() as u64;
            came.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            written.fetch_add(stored.len() as u64, Ordering::Relaxed);
        }
        spooled.end = end;
        Ok(())
    }

    fn read(&self, number: usize) -> Result<Bytes, Fault> {
        let spooled = self.lock();
        let chunk = spooled.chunks.get(number).copied();
        let (Some(chunk), Some(store)) = (chunk, &spooled.store) else { return Err(Fault::Checksum) };
        let mut bytes = vec![0; chunk.stored as usize];
        // A file that was cut short is as wrong as one whose bytes have changed.
        store.read_exact_at(&mut bytes, chunk.at).map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof => Fault::Checksum,
            _ => Fault::Io(error),
        })?;
        if chunk.packed {
            bytes = zstd::bulk::decompress(&bytes, chunk.length as usize).map_err(|_| Fault::Checksum)?;
        }
        let good = bytes.len() == chunk.length as usize && crc32fast::hash(&bytes) == chunk.checksum;
        good.then(|| bytes.into()).ok_or(Fault::Checksum)
    }
}
