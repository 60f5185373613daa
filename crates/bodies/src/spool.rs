//! Spool files for statement bodies, written and read on a bounded number of I/O threads so that the event
//! loop never blocks on a disk. The files are unlinked, so the system frees them however the process ends.
//! Each chunk has a checksum that is verified on every read.

use bytes::Bytes;
use std::fmt;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Unit in which a body is written, checksummed and read, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Limit on jobs queued for the I/O threads. Each body has one job at a time, so only a flood of bodies
/// reaches it.
const MAX_QUEUED_JOBS: usize = 1024;
/// The fastest level that still halves a typical statement.
const ZSTD_LEVEL: i32 = 1;

/// A file that holds one body. Tests replace it with one that fails on demand.
pub trait SpoolFile: Send + Sync {
    /// Writes all of `bytes` at this offset.
    fn write_all_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;
    /// Fills `bytes` from this offset; fails if the file ends before that.
    fn read_exact_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()>;
}

/// Creates spool files.
pub trait Disk: Send + Sync {
    /// Creates an empty file.
    fn create(&self) -> io::Result<Box<dyn SpoolFile>>;
}

impl SpoolFile for File {
    fn write_all_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        std::os::unix::fs::FileExt::write_all_at(self, bytes, offset)
    }

    fn read_exact_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        std::os::unix::fs::FileExt::read_exact_at(self, bytes, offset)
    }
}

const DIRECTORY_PREFIX: &str = "bodies-";
const TEMPORARY_PREFIX: &str = "new-bodies-";
const LOCK_FILE: &str = "lock";
/// How long a process waits for another one that is creating its directory or removing others, and how often
/// it tries meanwhile.
const MAX_GATE_WAIT: Duration = Duration::from_secs(1);
const GATE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// This process's own directory below the configured one. A file lock marks it as in use while the process
/// lives: opening removes the directories of processes that have died and leaves those of running neighbours
/// alone.
pub struct SpoolDirectory {
    path: PathBuf,
    _lock: File,
    /// How many directories of dead processes were removed.
    pub removed: usize,
}

impl SpoolDirectory {
    /// Removes the directories of dead processes below `dir` and creates one for this process.
    pub fn open(dir: &Path) -> io::Result<SpoolDirectory> {
        let gate = lock_gate(dir);
        let mut removed = 0;
        for entry in fs::read_dir(dir)?.flatten() {
            let name = entry.file_name().to_string_lossy().into_owned();
            // A directory that another process is creating has no lock for a moment; with the gate, none is
            // being created.
            let is_unfinished = name.starts_with(TEMPORARY_PREFIX) && gate.is_some();
            if (name.starts_with(DIRECTORY_PREFIX) || is_unfinished)
                && entry.file_type().is_ok_and(|kind| kind.is_dir())
                && is_abandoned(&entry.path())
            {
                removed += usize::from(fs::remove_dir_all(entry.path()).is_ok());
            }
        }
        // Created under a temporary name and renamed once locked, so that no neighbour finds it unlocked.
        let temporary = tempfile::Builder::new().prefix(TEMPORARY_PREFIX).tempdir_in(dir)?;
        let lock = File::create_new(temporary.path().join(LOCK_FILE))?;
        lock.try_lock().map_err(|e| io::Error::other(e.to_string()))?;
        let temporary = temporary.keep();
        let final_name = temporary
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .replace(TEMPORARY_PREFIX, DIRECTORY_PREFIX);
        let path = dir.join(final_name);
        fs::rename(&temporary, &path)?;
        Ok(SpoolDirectory { path, _lock: lock, removed })
    }

    /// The directory of this process.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Removes the directory, for use once no more files are created. Open files are unlinked already and
    /// stay usable.
    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Takes the lock on the configured directory, under which processes create their own directories and remove
/// abandoned ones. None where a process that is stopped holds it, or the file system has no such locks.
fn lock_gate(dir: &Path) -> Option<File> {
    let gate = File::open(dir).ok()?;
    let began = Instant::now();
    loop {
        match gate.try_lock() {
            Ok(()) => return Some(gate),
            Err(TryLockError::WouldBlock) if began.elapsed() < MAX_GATE_WAIT => sleep(GATE_RETRY_INTERVAL),
            Err(_) => return None,
        }
    }
}

/// Whether the owner has died. A directory gets its final name only after its lock, so one without a lock
/// file was partly removed.
fn is_abandoned(directory: &Path) -> bool {
    match File::open(directory.join(LOCK_FILE)) {
        Ok(lock) => lock.try_lock().is_ok(),
        Err(error) => error.kind() == io::ErrorKind::NotFound,
    }
}

impl Disk for SpoolDirectory {
    fn create(&self) -> io::Result<Box<dyn SpoolFile>> {
        Ok(Box::new(tempfile::tempfile_in(&self.path)?))
    }
}

impl Drop for SpoolDirectory {
    fn drop(&mut self) {
        self.remove();
    }
}

/// Why a spool file could not be written or read.
#[derive(Debug)]
pub enum SpoolError {
    /// The disk or a quota is full.
    Full,
    /// Any other error of the system.
    Io(io::Error),
    /// The data read differs from the data written.
    Checksum,
    /// The job queue of the I/O threads is full.
    Busy,
}

impl From<io::Error> for SpoolError {
    fn from(error: io::Error) -> SpoolError {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                SpoolError::Full
            }
            _ => SpoolError::Io(error),
        }
    }
}

impl fmt::Display for SpoolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SpoolError::Full => f.write_str("no space left"),
            SpoolError::Io(error) => write!(f, "{error}"),
            SpoolError::Checksum => f.write_str("checksum mismatch: the data read is not the data written"),
            SpoolError::Busy => f.write_str("the job queue is full"),
        }
    }
}

/// Position of a chunk in its file, and what its data must match.
#[derive(Clone, Copy, Debug)]
struct Chunk {
    offset: u64,
    stored: u32,
    length: u32,
    checksum: u32,
    compressed: bool,
}

/// The file of one body, created with its first chunk and closed with its last handle.
#[derive(Default)]
struct SpoolState {
    file: Option<Box<dyn SpoolFile>>,
    chunks: Vec<Chunk>,
    end: u64,
}

/// Shared handle to the spool file of a body. One writer at a time appends chunks; any number of readers may
/// read.
#[derive(Clone, Default)]
pub struct Spool(Arc<Mutex<SpoolState>>);

impl fmt::Debug for Spool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Spool")
    }
}

enum Job {
    Write(Spool, Vec<Bytes>, oneshot::Sender<Result<(), SpoolError>>),
    Read(Spool, usize, oneshot::Sender<Result<Bytes, SpoolError>>),
    /// Closes the file if this is its last handle, which can take long on a bad disk.
    Close(Spool),
}

/// Pool of I/O threads. When it is dropped, the threads end after the queued jobs.
pub struct IoThreads {
    jobs: SyncSender<Job>,
    compress: bool,
    /// Bytes handed over for writing.
    pub bytes_received: Arc<AtomicU64>,
    /// Bytes written to files, after compression.
    pub bytes_written: Arc<AtomicU64>,
}

impl IoThreads {
    /// Starts the threads. With `compress`, chunks are stored compressed where that makes them smaller.
    pub fn start(disk: Arc<dyn Disk>, threads: usize, compress: bool) -> io::Result<IoThreads> {
        // A write beyond RLIMIT_FSIZE must fail like a full disk; without a handler, SIGXFSZ would end the
        // process.
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, Arc::default())?;
        let (jobs, queue) = sync_channel(MAX_QUEUED_JOBS);
        let queue = Arc::new(Mutex::new(queue));
        let (bytes_received, bytes_written) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        for number in 0..threads.max(1) {
            let (queue, disk) = (queue.clone(), disk.clone());
            let (bytes_received, bytes_written) = (bytes_received.clone(), bytes_written.clone());
            std::thread::Builder::new()
                .name(format!("spool-{number}"))
                .spawn(move || run_jobs(&queue, &*disk, compress, &bytes_received, &bytes_written))?;
        }
        Ok(IoThreads { jobs, compress, bytes_received, bytes_written })
    }

    /// Whether chunks are compressed.
    pub fn compress(&self) -> bool {
        self.compress
    }

    fn submit(&self, job: Job) -> Result<(), SpoolError> {
        self.jobs.try_send(job).map_err(|full| match full {
            TrySendError::Full(_) => SpoolError::Busy,
            TrySendError::Disconnected(_) => SpoolError::Io(io::ErrorKind::BrokenPipe.into()),
        })
    }

    /// Appends these pieces as chunks.
    pub async fn write(&self, spool: &Spool, pieces: Vec<Bytes>) -> Result<(), SpoolError> {
        let (reply, result) = oneshot::channel();
        self.submit(Job::Write(spool.clone(), pieces, reply))?;
        result.await.unwrap_or_else(|_| Err(SpoolError::Io(io::ErrorKind::BrokenPipe.into())))
    }

    /// Reads the chunk with this number.
    pub async fn read(&self, spool: &Spool, chunk: usize) -> Result<Bytes, SpoolError> {
        let (reply, result) = oneshot::channel();
        self.submit(Job::Read(spool.clone(), chunk, reply))?;
        result.await.unwrap_or_else(|_| Err(SpoolError::Io(io::ErrorKind::BrokenPipe.into())))
    }

    /// Closes the file on an I/O thread.
    pub fn close(&self, spool: Spool) {
        let _ = self.submit(Job::Close(spool));
    }
}

fn run_jobs(
    queue: &Mutex<Receiver<Job>>,
    disk: &dyn Disk,
    compress: bool,
    bytes_received: &AtomicU64,
    bytes_written: &AtomicU64,
) {
    loop {
        let job = queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).recv();
        match job {
            Ok(Job::Write(spool, pieces, reply)) => {
                let result = spool.write(disk, &pieces, compress, bytes_received, bytes_written);
                let _ = reply.send(result);
            }
            Ok(Job::Read(spool, chunk, reply)) => {
                let _ = reply.send(spool.read(chunk));
            }
            Ok(Job::Close(spool)) => drop(spool),
            Err(_) => return,
        }
    }
}

impl Spool {
    fn lock(&self) -> std::sync::MutexGuard<'_, SpoolState> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// How many chunks the file holds.
    pub fn chunks(&self) -> usize {
        self.lock().chunks.len()
    }

    /// Appends all of the pieces or none. Bytes of a failed write have no chunk entry, so they are never
    /// read.
    fn write(
        &self,
        disk: &dyn Disk,
        pieces: &[Bytes],
        compress: bool,
        bytes_received: &AtomicU64,
        bytes_written: &AtomicU64,
    ) -> Result<(), SpoolError> {
        let mut state = self.lock();
        let state = &mut *state;
        let file = match &mut state.file {
            Some(file) => file,
            slot => slot.insert(disk.create()?),
        };
        let (before, mut end) = (state.chunks.len(), state.end);
        let chunks = pieces.iter().flat_map(|piece| piece.chunks(CHUNK_BYTES));
        for bytes in chunks {
            let compressed = if compress { zstd::bulk::compress(bytes, ZSTD_LEVEL).ok() } else { None };
            let compressed = compressed.filter(|compressed| compressed.len() < bytes.len());
            let stored = compressed.as_deref().unwrap_or(bytes);
            if let Err(error) = file.write_all_at(stored, end) {
                state.chunks.truncate(before);
                return Err(error.into());
            }
            state.chunks.push(Chunk {
                offset: end,
                stored: stored.len() as u32,
                length: bytes.len() as u32,
                checksum: crc32fast::hash(bytes),
                compressed: compressed.is_some(),
            });
            end += stored.len() as u64;
            bytes_received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            bytes_written.fetch_add(stored.len() as u64, Ordering::Relaxed);
        }
        state.end = end;
        Ok(())
    }

    fn read(&self, number: usize) -> Result<Bytes, SpoolError> {
        let state = self.lock();
        let chunk = state.chunks.get(number).copied();
        let (Some(chunk), Some(file)) = (chunk, &state.file) else { return Err(SpoolError::Checksum) };
        let mut bytes = vec![0; chunk.stored as usize];
        // A truncated file counts as corrupted, just like one whose bytes have changed.
        file.read_exact_at(&mut bytes, chunk.offset).map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof => SpoolError::Checksum,
            _ => SpoolError::Io(error),
        })?;
        if chunk.compressed {
            bytes =
                zstd::bulk::decompress(&bytes, chunk.length as usize).map_err(|_| SpoolError::Checksum)?;
        }
        let valid = bytes.len() == chunk.length as usize && crc32fast::hash(&bytes) == chunk.checksum;
        valid.then(|| bytes.into()).ok_or(SpoolError::Checksum)
    }
}
