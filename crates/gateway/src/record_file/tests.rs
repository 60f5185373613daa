use super::*;
use bramblewharf_fleet::outstanding::Outstanding;
use bramblewharf_fleet::{FleetConfig, Incarnation};
use std::time::Duration;

fn log() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

fn start(incarnation: u64) -> node::Start {
    let second = Duration::from_secs(1);
    let config = FleetConfig {
        fleet: 1,
        max_members: 1,
        voters: 1,
        lease: second,
        drift_percent: 1,
        max_execution_time: second,
        orphan_retention: second,
        injected_bug: None,
    };
    let incarnation = Incarnation(incarnation);
    node::Start {
        member_id: 0,
        voter: None,
        incarnation,
        config,
        budgets: Vec::new(),
        table_digest: 7,
        seed: 1,
    }
}

fn outstanding() -> Outstanding {
    let engine = std::net::SocketAddr::from(([127, 0, 0, 1], 80));
    Outstanding { id: "5e0c61f2a94d7b38".into(), execution: 0, engine, demand: vec![(0, 1000)] }
}

#[test]
fn the_next_process_reads_the_executions_in_flight() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("outstanding");
    let (predecessor, mut slots) = read(&path, &start(1), &log());
    assert_eq!(predecessor, Predecessor::Unknown);
    let file = RecordFile::replace(&path, &[slots.header()]).unwrap();
    file.write(&slots.add(&outstanding()), &log());
    let Predecessor::Recorded(record) = read(&path, &start(2), &log()).0 else { panic!("no record") };
    assert_eq!((record.run.incarnation, record.outstanding), (Incarnation(1), vec![outstanding()]));
    // A truncated file counts as missing.
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    assert_eq!(read(&path, &start(3), &log()).0, Predecessor::Unknown);
}

/// Guards against an incomplete record that the next process takes for complete.
#[test]
fn a_file_is_removed_after_a_failed_write() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("outstanding");
    let mut slots = read(&path, &start(1), &log()).1;
    drop(RecordFile::replace(&path, &[slots.header()]).unwrap());
    // The file is open for reading only, so each write fails as on a disk that has become read-only.
    let file = RecordFile { path: path.clone(), file: RefCell::new(Some(File::open(&path).unwrap())) };
    file.write(&slots.add(&outstanding()), &log());
    assert!(!path.exists());
    file.write(&slots.header(), &log());
    assert!(!path.exists(), "a later write does not restore the file");
    assert!(RecordFile::replace(&dir.path().join("no/folder"), &[]).is_err());
}
