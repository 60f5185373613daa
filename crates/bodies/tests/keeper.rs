//! Bodies on disks that fail on purpose: what is kept stays good, what can't be goes on unkept, and nothing wrong is ever read.

use bramblewharf_bodies::ledger::Counts;
use bramblewharf_bodies::spool::{Disk, Folder, Threads, CHUNK};
use bramblewharf_bodies::{Body, Bounds, Files, Keeper, Refusal, Tier};
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
    let files = Files { each: 4096 * KB, all: 64 * 1024 * KB, count: 64, are_memory: false };
    Bounds { largest: 8192 * KB, memory_each: 256 * KB, memory_all: 2048 * KB, files: Some(files) }
}

fn keeper(disk: &FaultyDisk) -> Rc<Keeper> {
    Keeper::new(bounds(), Some(Threads::start(Arc::new(disk.clone()), 2, false).unwrap()))
}

/// A text that is nowhere the same.
fn text(length: usize, seed: u32) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761).wrapping_add(seed) >> 13) as u8).collect()
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// All of it, in pieces of an odd size.
async fn put(keeper: &Rc<Keeper>, text: &[u8], strict: bool) -> Result<Rc<Body>, Refusal> {
    let body = keeper.begin(Some(text.len() as u64), strict)?;
    for piece in text.chunks(10_001) {
        body.push(Bytes::copy_from_slice(piece)).await?;
    }
    body.end().await?;
    Ok(body)
}

/// All of it through a body that is not kept to its end, read by one execution from when it falls.
async fn put_and_get_as_it_falls(body: &Rc<Body>, text: &[u8]) -> Vec<u8> {
    let send = async {
        for piece in text.chunks(10_001) {
            body.push(Bytes::copy_from_slice(piece)).await.unwrap();
        }
        body.end().await.unwrap();
    };
    let read = async {
        while body.tier() != Tier::NotKept {
            tokio::task::yield_now().await;
        }
        get(body).await.unwrap()
    };
    tokio::join!(read, send).0
}

async fn get(body: &Rc<Body>) -> io::Result<Vec<u8>> {
    let mut outgoing = body.send().ok_or(io::ErrorKind::NotFound)?;
    let mut all = Vec::new();
    while let Some(piece) = poll_fn(|cx| {
        let outgoing = Pin::new(&mut outgoing);
        futures_core::Stream::poll_next(outgoing, cx)
    })
    .await
    {
        all.extend_from_slice(&piece?);
    }
    Ok(all)
}

fn empty(counts: Counts) -> bool {
    (counts.bodies, counts.in_memory, counts.in_files, counts.files) == (0, 0, 0, 0)
}

#[test]
fn each_tier_gives_back_what_came_as_often_as_it_may() {
    run(async {
        let disk = FaultyDisk::default();
        let keeper = keeper(&disk);
        for (length, tier) in [(100_000, Tier::Memory), (1_000_003, Tier::File)] {
            let text = text(length, 3);
            let body = put(&keeper, &text, false).await.unwrap();
            assert_eq!((body.tier(), body.is_kept()), (tier, true));
            for _ in 0..3 {
                assert!(get(&body).await.unwrap() == text);
            }
            // Two at once out of one.
            let (one, two) = tokio::join!(get(&body), get(&body));
            assert!(one.unwrap() == text && two.unwrap() == text);
            assert_eq!(disk.0.made.load(SeqCst), usize::from(tier == Tier::File));
        }
        assert!(empty(keeper.counts()));
        // Closed by a thread.
        while disk.0.open.load(SeqCst) > 0 {
            tokio::task::yield_now().await;
        }
    });
}

/// Whatever takes it as fast as it is given: all else on the thread has its turn every 64 KiB.
#[test]
fn a_large_text_does_not_keep_the_thread_to_itself() {
    run(async {
        let keeper = Keeper::new(Bounds { memory_each: 2048 * KB, ..bounds() }, None);
        let body = put(&keeper, &text(1_000_000, 1), true).await.unwrap();
        let turns = std::cell::Cell::new(0);
        let others = async {
            loop {
                turns.set(turns.get() + 1);
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            biased;
            got = get(&body) => assert_eq!(got.unwrap().len(), 1_000_000),
            () = others => {}
        }
        assert!(turns.get() >= 1_000_000 / (75 * 1024), "{} turns", turns.get());
    });
}

#[test]
fn what_passes_goes_to_one_reader_as_it_comes_and_the_sender_waits_for_it() {
    run(async {
        let keeper = Keeper::new(bounds(), None);
        let all = text(3_000_000, 5);
        let body = keeper.begin(Some(all.len() as u64), false).unwrap();
        assert!(body.tier() == Tier::NotKept && !body.is_kept() && body.may_be_sent());
        let most = std::cell::Cell::new(0);
        let send = async {
            for piece in all.chunks(10_001) {
                body.push(Bytes::copy_from_slice(piece)).await.unwrap();
                most.set(most.get().max(keeper.counts().in_memory));
            }
            body.end().await.unwrap();
        };
        let (got, ()) = tokio::join!(get(&body), send);
        assert!(got.unwrap() == all && most.get() <= 128 * KB, "{most:?}");
        assert!(!body.may_be_sent() && body.send().is_none(), "nobody gets it twice");
        drop(body);
        // One that nothing was written of is given back.
        let body = keeper.begin(Some(1_000_000), false).unwrap();
        body.push(Bytes::from_static(b"first")).await.unwrap();
        let mut outgoing = body.send().unwrap();
        let mut next =
            async || poll_fn(|cx| futures_core::Stream::poll_next(Pin::new(&mut outgoing), cx)).await;
        assert_eq!(next().await.unwrap().unwrap(), "first");
        drop(outgoing);
        body.take_back();
        let mut outgoing = body.send().unwrap();
        let next = poll_fn(|cx| futures_core::Stream::poll_next(Pin::new(&mut outgoing), cx)).await;
        assert_eq!(next.unwrap().unwrap(), "first");
        // Whoever reads has gone: the sender is not held up for ever.
        drop(outgoing);
        body.abandon();
        for _ in 0..100 {
            body.push(Bytes::from_static(&[7; 10_000])).await.unwrap();
        }
        assert_eq!(keeper.counts().in_memory, 128 * KB);
        drop(body);
        assert!(empty(keeper.counts()));
    });
}

/// The disk is full at each of these bytes, with other bodies in files: at the first byte, within a chunk, between two.
#[test]
fn a_full_disk_costs_the_body_that_meets_it_its_tier_and_no_other_anything() {
    run(async {
        for room in [0, 1, 1000, CHUNK - 1, CHUNK, CHUNK + 1, 5 * CHUNK, 999_999] {
            let disk = FaultyDisk::default();
            let keeper = keeper(&disk);
            let others: Vec<Vec<u8>> = (0..50).map(|n| text(400_000, n)).collect();
            let mut kept = Vec::new();
            for other in &others {
                kept.push(put(&keeper, other, false).await.unwrap());
            }
            disk.0.room.store(room as i64, SeqCst);
            let all = text(1_000_000, 99);
            let body = keeper.begin(Some(all.len() as u64), false).unwrap();
            let got = put_and_get_as_it_falls(&body, &all).await;
            assert!(got == all, "room {room}");
            assert!(!body.is_kept() && body.send().is_none() && body.unkept().get());
            assert!(keeper.take_fault().is_some());
            // Where it must be kept it is refused, and nothing of it stays.
            disk.0.room.store(room as i64, SeqCst);
            assert_eq!(put(&keeper, &all, true).await.err(), Some(Refusal::NoRoom), "room {room}");
            drop(body);
            assert_eq!((keeper.counts().bodies, keeper.counts().files), (50, 50));
            // And when there is room again, all is as before.
            disk.0.room.store(-1, SeqCst);
            let again = put(&keeper, &all, true).await.unwrap();
            assert!(get(&again).await.unwrap() == all);
            for (body, other) in kept.iter().zip(&others) {
                assert!(get(body).await.unwrap() == *other);
            }
        }
    });
}

#[test]
fn a_file_that_cannot_be_made_or_written_is_as_a_full_disk() {
    run(async {
        type Break = fn(&FaultyDisk);
        let breaks: [Break; 2] =
            [|disk| disk.0.files.store(0, SeqCst), |disk| disk.0.failing.store(1, SeqCst)];
        for spoil in breaks {
            let disk = FaultyDisk::default();
            let keeper = keeper(&disk);
            spoil(&disk);
            let all = text(300_000, 1);
            let body = keeper.begin(Some(all.len() as u64), false).unwrap();
            assert!(put_and_get_as_it_falls(&body, &all).await == all);
        }
    });
}

/// A wrong byte, a file that was cut, a disk that does not read: no reader gets a byte of the chunk, and it counts as not kept.
#[test]
fn what_is_not_what_was_written_is_never_read() {
    run(async {
        for packs in [false, true] {
            for (wrong_byte, cut_at, failing) in
                [(1, 0, 0), (9_000, 0, 0), (0, 8_999, 0), (0, 1, 0), (0, 0, 1)]
            {
                let disk = FaultyDisk::default();
                let threads = Threads::start(Arc::new(disk.clone()), 1, packs).unwrap();
                let keeper = Keeper::new(bounds(), Some(threads));
                let all = text(700_000, 4);
                let (body, other) =
                    (put(&keeper, &all, true).await.unwrap(), put(&keeper, &all[1..], true).await.unwrap());
                disk.0.wrong_byte.store(wrong_byte, SeqCst);
                disk.0.cut_at.store(cut_at, SeqCst);
                disk.0.failing.store(failing, SeqCst);
                let unkept = body.unkept();
                assert!(!unkept.get());
                assert!(get(&body).await.is_err());
                assert!(unkept.get() && !body.is_kept() && body.send().is_none());
                for fault in [&disk.0.wrong_byte, &disk.0.cut_at] {
                    fault.store(0, SeqCst);
                }
                assert!(get(&other).await.unwrap() == all[1..], "another body has lost nothing by it");
                assert_eq!((keeper.counts().read_failed, keeper.counts().files), (1, 1));
            }
        }
    });
}

#[test]
fn what_rests_goes_to_files_under_pressure_and_is_the_same_there() {
    run(async {
        let disk = FaultyDisk::default();
        let keeper = keeper(&disk);
        let texts: Vec<Vec<u8>> = (0..30).map(|n| text(200_000, n)).collect();
        let mut bodies = Vec::new();
        for text in &texts {
            bodies.push(put(&keeper, text, true).await.unwrap());
            tokio::task::yield_now().await;
        }
        while keeper.counts().moved < 10 {
            tokio::task::yield_now().await;
        }
        let tiers = |tier| bodies.iter().filter(|body| body.tier() == tier).count();
        assert!(tiers(Tier::Memory) > 0 && tiers(Tier::File) >= 10);
        for (body, text) in bodies.iter().zip(&texts) {
            assert!(get(body).await.unwrap() == *text);
        }
        // Dropped while it is on its way, it leaves nothing.
        disk.hold(true);
        let more: Vec<_> = [put(&keeper, &texts[0], true).await, put(&keeper, &texts[1], true).await].into();
        drop((more, bodies));
        disk.hold(false);
        while disk.0.open.load(SeqCst) > 0 {
            tokio::task::yield_now().await;
        }
        assert!(empty(keeper.counts()));
    });
}

#[test]
fn smaller_bounds_hold_for_what_comes_and_touch_nothing_that_is_held() {
    run(async {
        let keeper = keeper(&FaultyDisk::default());
        let text = text(250_000, 1);
        let mut held = Vec::new();
        for _ in 0..5 {
            held.push(put(&keeper, &text, true).await.unwrap());
        }
        keeper.set_bounds(Bounds {
            largest: 256 * KB,
            memory_each: 128 * KB,
            memory_all: 256 * KB,
            files: None,
        });
        assert_eq!(put(&keeper, &text, true).await.err(), Some(Refusal::NoRoom));
        for body in &held {
            assert!(get(body).await.unwrap() == text);
        }
        held.clear();
        assert!(put(&keeper, &text[..100_000], true).await.is_ok());
    });
}

/// What a killed process left behind goes at the next start, and a living neighbour's folder stays.
#[test]
fn residue_is_removed_and_a_neighbour_is_not_touched() {
    let dir = tempfile::tempdir().unwrap();
    let neighbour = Folder::open(dir.path()).unwrap();
    let left = dir.path().join("bodies-left");
    std::fs::create_dir(&left).unwrap();
    std::fs::write(left.join("lock"), "").unwrap();
    std::fs::write(left.join(".tmpAbC"), "what a kill left between making and unlinking").unwrap();
    std::fs::create_dir(dir.path().join("bodies-half-removed")).unwrap();
    std::fs::write(dir.path().join("bodies-notes.txt"), "the operators' own").unwrap();
    let folder = Folder::open(dir.path()).unwrap();
    assert_eq!(folder.removed, 2);
    assert!(!left.exists() && neighbour.path().exists() && dir.path().join("bodies-notes.txt").exists());
    let file = neighbour.create().unwrap();
    file.write_all_at(b"still", 0).unwrap();
    // Its files have no names: nothing to leave behind.
    assert_eq!(std::fs::read_dir(neighbour.path()).unwrap().count(), 1);
    let paths = [folder.path().to_path_buf(), neighbour.path().to_path_buf()];
    drop((folder, neighbour));
    assert!(paths.iter().all(|path| !path.exists()));
}

/// The system's own limit on the size of a file, in a process of its own: its signal ends nothing, and the body goes on unkept.
#[test]
fn a_real_limit_on_files_is_a_full_disk() {
    if let Ok(dir) = std::env::var("BODIES_LIMITED_IN") {
        rustix::process::setrlimit(
            rustix::process::Resource::Fsize,
            rustix::process::Rlimit { current: Some(300_000), maximum: Some(300_000) },
        )
        .unwrap();
        run(async {
            let folder = Folder::open(std::path::Path::new(&dir)).unwrap();
            let keeper = Keeper::new(bounds(), Some(Threads::start(Arc::new(folder), 1, false).unwrap()));
            let small = put(&keeper, &text(290_000, 1), true).await.unwrap();
            let all = text(1_000_000, 2);
            assert_eq!(put(&keeper, &all, true).await.err(), Some(Refusal::NoRoom));
            let body = keeper.begin(Some(all.len() as u64), false).unwrap();
            assert!(put_and_get_as_it_falls(&body, &all).await == all);
            assert!(get(&small).await.unwrap() == text(290_000, 1));
        });
        return;
    }
    let dir = tempfile::tempdir().unwrap();
    let name = "a_real_limit_on_files_is_a_full_disk";
    let child = std::process::Command::new(std::env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture"])
        .env("BODIES_LIMITED_IN", dir.path())
        .output()
        .unwrap();
    assert!(child.status.success(), "{}", String::from_utf8_lossy(&child.stderr));
}
