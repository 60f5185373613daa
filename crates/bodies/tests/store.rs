//! `BodyStore` on disks with injected faults: kept bodies stay valid, a body that can't be kept is passed
//! through, and corrupted bytes are never read.

use bramblewharf_bodies::accounting::Counts;
use bramblewharf_bodies::spool::{Disk, IoThreads, SpoolDirectory, CHUNK_BYTES};
use bramblewharf_bodies::{Body, BodyStore, Bounds, FileBounds, Refusal, Tier};
use bramblewharf_standins::disk::FaultyDisk;
use bytes::Bytes;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;

const KB: u64 = 1024;

fn bounds() -> Bounds {
    let files = FileBounds { per_body: 4096 * KB, total: 64 * 1024 * KB, max_files: 64, in_memory_fs: false };
    Bounds { max_body: 8192 * KB, memory_per_body: 256 * KB, memory_total: 2048 * KB, files: Some(files) }
}

fn store(disk: &FaultyDisk) -> Rc<BodyStore> {
    BodyStore::new(bounds(), Some(IoThreads::start(Arc::new(disk.clone()), 2, false).unwrap()))
}

/// A body without repeating parts.
fn make_body(length: usize, seed: u32) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761).wrapping_add(seed) >> 13) as u8).collect()
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Stores a whole body, in pieces that do not fit the chunk size.
async fn store_body(store: &Rc<BodyStore>, content: &[u8], strict: bool) -> Result<Rc<Body>, Refusal> {
    let body = store.begin(Some(content.len() as u64), strict)?;
    for piece in content.chunks(10_001) {
        body.push(Bytes::copy_from_slice(piece)).await?;
    }
    body.finish().await?;
    Ok(body)
}

/// Pushes `content` to a body that stops being kept on the way, and reads it from that moment on.
async fn push_and_read_falling_body(body: &Rc<Body>, content: &[u8]) -> Vec<u8> {
    let send = async {
        for piece in content.chunks(10_001) {
            body.push(Bytes::copy_from_slice(piece)).await.unwrap();
        }
        body.finish().await.unwrap();
    };
    let read = async {
        while body.tier() != Tier::NotKept {
            tokio::task::yield_now().await;
        }
        read_body(body).await.unwrap()
    };
    tokio::join!(read, send).0
}

async fn read_body(body: &Rc<Body>) -> io::Result<Vec<u8>> {
    let mut outgoing = body.start_sending().ok_or(io::ErrorKind::NotFound)?;
    let mut content = Vec::new();
    while let Some(piece) = poll_fn(|cx| {
        let outgoing = Pin::new(&mut outgoing);
        futures_core::Stream::poll_next(outgoing, cx)
    })
    .await
    {
        content.extend_from_slice(&piece?);
    }
    Ok(content)
}

fn is_empty(counts: Counts) -> bool {
    (counts.bodies, counts.in_memory, counts.in_files, counts.files) == (0, 0, 0, 0)
}

#[test]
fn kept_bodies_can_be_read_repeatedly() {
    run(async {
        let disk = FaultyDisk::default();
        let store = store(&disk);
        for (length, tier) in [(100_000, Tier::Memory), (1_000_003, Tier::File)] {
            let content = make_body(length, 3);
            let body = store_body(&store, &content, false).await.unwrap();
            assert_eq!((body.tier(), body.is_kept()), (tier, true));
            for _ in 0..3 {
                assert!(read_body(&body).await.unwrap() == content);
            }
            // Two readers of the same body at once.
            let (one, two) = tokio::join!(read_body(&body), read_body(&body));
            assert!(one.unwrap() == content && two.unwrap() == content);
            assert_eq!(disk.0.created.load(SeqCst), usize::from(tier == Tier::File));
        }
        assert!(is_empty(store.counts()));
        // The file is closed by an I/O thread.
        while disk.0.open.load(SeqCst) > 0 {
            tokio::task::yield_now().await;
        }
    });
}

/// Even to a reader that never waits, sending yields to other tasks of the thread every 64 KiB.
#[test]
fn sending_a_large_body_yields_to_other_tasks() {
    run(async {
        let store = BodyStore::new(Bounds { memory_per_body: 2048 * KB, ..bounds() }, None);
        let body = store_body(&store, &make_body(1_000_000, 1), true).await.unwrap();
        let turns = std::cell::Cell::new(0);
        let others = async {
            loop {
                turns.set(turns.get() + 1);
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            biased;
            received = read_body(&body) => assert_eq!(received.unwrap().len(), 1_000_000),
            () = others => {}
        }
        assert!(turns.get() >= 1_000_000 / (75 * 1024), "{} turns", turns.get());
    });
}

#[test]
fn passed_through_body_streams_to_one_reader_with_backpressure() {
    run(async {
        let store = BodyStore::new(bounds(), None);
        let content = make_body(3_000_000, 5);
        let body = store.begin(Some(content.len() as u64), false).unwrap();
        assert!(body.tier() == Tier::NotKept && !body.is_kept() && body.can_send());
        let peak = std::cell::Cell::new(0);
        let send = async {
            for piece in content.chunks(10_001) {
                body.push(Bytes::copy_from_slice(piece)).await.unwrap();
                peak.set(peak.get().max(store.counts().in_memory));
            }
            body.finish().await.unwrap();
        };
        let (received, ()) = tokio::join!(read_body(&body), send);
        assert!(received.unwrap() == content && peak.get() <= 128 * KB, "{peak:?}");
        assert!(
            !body.can_send() && body.start_sending().is_none(),
            "a body that is passed through is sent only once"
        );
        drop(body);
        // A body of which nothing was written is available to another execution.
        let body = store.begin(Some(1_000_000), false).unwrap();
        body.push(Bytes::from_static(b"first")).await.unwrap();
        let mut outgoing = body.start_sending().unwrap();
        let mut next =
            async || poll_fn(|cx| futures_core::Stream::poll_next(Pin::new(&mut outgoing), cx)).await;
        assert_eq!(next().await.unwrap().unwrap(), "first");
        drop(outgoing);
        body.return_unsent();
        let mut outgoing = body.start_sending().unwrap();
        let next = poll_fn(|cx| futures_core::Stream::poll_next(Pin::new(&mut outgoing), cx)).await;
        assert_eq!(next.unwrap().unwrap(), "first");
        // Once the reader has gone, the sender must not block for ever.
        drop(outgoing);
        body.abandon();
        for _ in 0..100 {
            body.push(Bytes::from_static(&[7; 10_000])).await.unwrap();
        }
        assert_eq!(store.counts().in_memory, 128 * KB);
        drop(body);
        assert!(is_empty(store.counts()));
    });
}

/// The disk becomes full at each of these bytes while other bodies are in files: at the first byte, within a
/// chunk and between two chunks.
#[test]
fn full_disk_affects_only_the_body_being_written() {
    run(async {
        for room in [0, 1, 1000, CHUNK_BYTES - 1, CHUNK_BYTES, CHUNK_BYTES + 1, 5 * CHUNK_BYTES, 999_999] {
            let disk = FaultyDisk::default();
            let store = store(&disk);
            let others: Vec<Vec<u8>> = (0..50).map(|n| make_body(400_000, n)).collect();
            let mut kept = Vec::new();
            for other in &others {
                kept.push(store_body(&store, other, false).await.unwrap());
            }
            disk.0.free_bytes.store(room as i64, SeqCst);
            let content = make_body(1_000_000, 99);
            let body = store.begin(Some(content.len() as u64), false).unwrap();
            let received = push_and_read_falling_body(&body, &content).await;
            assert!(received == content, "room {room}");
            assert!(!body.is_kept() && body.start_sending().is_none() && body.not_kept().get());
            assert!(store.take_last_error().is_some());
            // A strict body is refused and leaves nothing behind.
            disk.0.free_bytes.store(room as i64, SeqCst);
            assert_eq!(
                store_body(&store, &content, true).await.err(),
                Some(Refusal::NoCapacity),
                "room {room}"
            );
            drop(body);
            assert_eq!((store.counts().bodies, store.counts().files), (50, 50));
            // Once there is space again, bodies are kept as before.
            disk.0.free_bytes.store(-1, SeqCst);
            let again = store_body(&store, &content, true).await.unwrap();
            assert!(read_body(&again).await.unwrap() == content);
            for (body, other) in kept.iter().zip(&others) {
                assert!(read_body(body).await.unwrap() == *other);
            }
        }
    });
}

#[test]
fn failed_create_or_write_is_handled_like_a_full_disk() {
    run(async {
        type InjectFault = fn(&FaultyDisk);
        let faults: [InjectFault; 2] =
            [|disk| disk.0.files_allowed.store(0, SeqCst), |disk| disk.0.io_errors.store(1, SeqCst)];
        for inject_fault in faults {
            let disk = FaultyDisk::default();
            let store = store(&disk);
            inject_fault(&disk);
            let content = make_body(300_000, 1);
            let body = store.begin(Some(content.len() as u64), false).unwrap();
            assert!(push_and_read_falling_body(&body, &content).await == content);
        }
    });
}

/// With a changed byte, a truncated file or a read error, no reader gets a byte of the chunk, and the body
/// counts as not kept.
#[test]
fn corrupted_data_is_never_returned() {
    run(async {
        for compress in [false, true] {
            for (wrong_byte, cut_at, failing) in
                [(1, 0, 0), (9_000, 0, 0), (0, 8_999, 0), (0, 1, 0), (0, 0, 1)]
            {
                let disk = FaultyDisk::default();
                let threads = IoThreads::start(Arc::new(disk.clone()), 1, compress).unwrap();
                let store = BodyStore::new(bounds(), Some(threads));
                let content = make_body(700_000, 4);
                let (body, other) = (
                    store_body(&store, &content, true).await.unwrap(),
                    store_body(&store, &content[1..], true).await.unwrap(),
                );
                disk.0.corrupted_byte.store(wrong_byte, SeqCst);
                disk.0.truncated_at.store(cut_at, SeqCst);
                disk.0.io_errors.store(failing, SeqCst);
                let not_kept = body.not_kept();
                assert!(!not_kept.get());
                assert!(read_body(&body).await.is_err());
                assert!(not_kept.get() && !body.is_kept() && body.start_sending().is_none());
                for fault in [&disk.0.corrupted_byte, &disk.0.truncated_at] {
                    fault.store(0, SeqCst);
                }
                assert!(read_body(&other).await.unwrap() == content[1..], "other bodies are not affected");
                assert_eq!((store.counts().read_failed, store.counts().files), (1, 1));
            }
        }
    });
}

#[test]
fn idle_bodies_move_to_files_under_memory_pressure() {
    run(async {
        let disk = FaultyDisk::default();
        let store = store(&disk);
        let contents: Vec<Vec<u8>> = (0..30).map(|n| make_body(200_000, n)).collect();
        let mut bodies = Vec::new();
        for content in &contents {
            bodies.push(store_body(&store, content, true).await.unwrap());
            tokio::task::yield_now().await;
        }
        while store.counts().moved < 10 {
            tokio::task::yield_now().await;
        }
        let tiers = |tier| bodies.iter().filter(|body| body.tier() == tier).count();
        assert!(tiers(Tier::Memory) > 0 && tiers(Tier::File) >= 10);
        for (body, content) in bodies.iter().zip(&contents) {
            assert!(read_body(body).await.unwrap() == *content);
        }
        // Bodies that are dropped while they move to a file leave nothing behind.
        disk.block_writes(true);
        let more: Vec<_> =
            [store_body(&store, &contents[0], true).await, store_body(&store, &contents[1], true).await]
                .into();
        drop((more, bodies));
        disk.block_writes(false);
        while disk.0.open.load(SeqCst) > 0 {
            tokio::task::yield_now().await;
        }
        assert!(is_empty(store.counts()));
    });
}

#[test]
fn smaller_bounds_apply_only_to_new_bodies() {
    run(async {
        let store = store(&FaultyDisk::default());
        let content = make_body(250_000, 1);
        let mut held = Vec::new();
        for _ in 0..5 {
            held.push(store_body(&store, &content, true).await.unwrap());
        }
        store.set_bounds(Bounds {
            max_body: 256 * KB,
            memory_per_body: 128 * KB,
            memory_total: 256 * KB,
            files: None,
        });
        assert_eq!(store_body(&store, &content, true).await.err(), Some(Refusal::NoCapacity));
        for body in &held {
            assert!(read_body(body).await.unwrap() == content);
        }
        held.clear();
        assert!(store_body(&store, &content[..100_000], true).await.is_ok());
    });
}

/// The directory of a killed process is removed at the next start, and that of a running neighbour is kept.
#[test]
fn directories_of_dead_processes_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let neighbour = SpoolDirectory::open(dir.path()).unwrap();
    let abandoned = dir.path().join("bodies-left");
    std::fs::create_dir(&abandoned).unwrap();
    std::fs::write(abandoned.join("lock"), "").unwrap();
    std::fs::write(abandoned.join(".tmpAbC"), "left by a process killed between creating and unlinking")
        .unwrap();
    std::fs::create_dir(dir.path().join("bodies-half-removed")).unwrap();
    std::fs::write(dir.path().join("bodies-notes.txt"), "the operators' own").unwrap();
    let directory = SpoolDirectory::open(dir.path()).unwrap();
    assert_eq!(directory.removed, 2);
    assert!(!abandoned.exists() && neighbour.path().exists() && dir.path().join("bodies-notes.txt").exists());
    let file = neighbour.create().unwrap();
    file.write_all_at(b"still", 0).unwrap();
    // Its files are unlinked, so only the lock file is listed.
    assert_eq!(std::fs::read_dir(neighbour.path()).unwrap().count(), 1);
    let paths = [directory.path().to_path_buf(), neighbour.path().to_path_buf()];
    drop((directory, neighbour));
    assert!(paths.iter().all(|path| !path.exists()));
}

/// Guards against a start that takes file times, which may be another machine's, for how long ago something
/// was: the directory that a neighbour was just creating was removed, and one that a dead process had left
/// stayed.
#[test]
fn unfinished_directories_are_judged_by_locks_and_not_by_file_times() {
    let dir = tempfile::tempdir().unwrap();
    let hour = std::time::Duration::from_secs(3600);
    let unfinished = |name: &str, modified| {
        let path = dir.path().join(name);
        std::fs::create_dir(&path).unwrap();
        std::fs::File::open(&path).unwrap().set_modified(modified).unwrap();
        path
    };
    let now = std::time::SystemTime::now();
    let old = unfinished("new-bodies-old", now - hour);
    let future = unfinished("new-bodies-future", now + hour);
    // A neighbour is creating one of them.
    let gate = std::fs::File::open(dir.path()).unwrap();
    gate.lock().unwrap();
    let beside = SpoolDirectory::open(dir.path()).unwrap();
    assert!((beside.removed, old.exists(), future.exists()) == (0, true, true));
    drop(gate);
    let alone = SpoolDirectory::open(dir.path()).unwrap();
    assert!((alone.removed, old.exists(), future.exists()) == (2, false, false));
    assert!(beside.path().exists() && alone.path().exists());
}

/// A write beyond RLIMIT_FSIZE fails like one to a full disk, and SIGXFSZ must not end the process. Runs in a
/// child process, because the limit holds for a whole process.
#[test]
fn file_size_limit_is_handled_like_a_full_disk() {
    if let Ok(dir) = std::env::var("BODIES_LIMITED_IN") {
        rustix::process::setrlimit(
            rustix::process::Resource::Fsize,
            rustix::process::Rlimit { current: Some(300_000), maximum: Some(300_000) },
        )
        .unwrap();
        run(async {
            let directory = SpoolDirectory::open(std::path::Path::new(&dir)).unwrap();
            let store =
                BodyStore::new(bounds(), Some(IoThreads::start(Arc::new(directory), 1, false).unwrap()));
            let small = store_body(&store, &make_body(290_000, 1), true).await.unwrap();
            let content = make_body(1_000_000, 2);
            assert_eq!(store_body(&store, &content, true).await.err(), Some(Refusal::NoCapacity));
            let body = store.begin(Some(content.len() as u64), false).unwrap();
            assert!(push_and_read_falling_body(&body, &content).await == content);
            assert!(read_body(&small).await.unwrap() == make_body(290_000, 1));
        });
        return;
    }
    let dir = tempfile::tempdir().unwrap();
    let name = "file_size_limit_is_handled_like_a_full_disk";
    let child = std::process::Command::new(std::env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture"])
        .env("BODIES_LIMITED_IN", dir.path())
        .output()
        .unwrap();
    assert!(child.status.success(), "{}", String::from_utf8_lossy(&child.stderr));
}
