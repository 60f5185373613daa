//! Texts beyond the ordinary size, on loopback: what each tier means for each class, cell by cell, and the hard cases.

mod common;
use bramblewharf_gateway::operators::{self, OperatorSettings};
use bramblewharf_standins::checker::{check, Class, ClientRecord};
use bramblewharf_standins::disk::FaultyDisk;
use bramblewharf_standins::{answer, unused_address, BodyRead, Call, Engine, Reply};
use common::*;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const KB: usize = 1024;

/// Texts up to `largest` KB; memory and files as told, in KB.
fn operators(
    largest: usize,
    memory: (usize, usize),
    files: Option<(usize, usize)>,
    more: &str,
) -> OperatorSettings {
    let files = files.map_or(String::new(), |(each, pool)| {
        format!("files {{\n dir = \"/nowhere\"\n each = \"{each} KiB\"\n pool = \"{pool} KiB\"\n }}\n")
    });
    let text = format!(
        "bodies {{\n largest = \"{largest} KiB\"\n memory {{\n each = \"{} KiB\"\n pool = \"{} KiB\"\n }}\n{files}{more}\n}}\n",
        memory.0, memory.1
    );
    operators::read(&text, None).unwrap()
}

fn text(length: usize) -> Vec<u8> {
    text_of(17, length)
}

/// Of a table group: an engine gets two loads of one at once.
fn text_of(group: u64, length: usize) -> Vec<u8> {
    let mut text = format!("INSERT INTO sales_{group}.orders VALUES ").into_bytes();
    let mut n = 0u32;
    while text.len() < length {
        text.extend_from_slice(format!("('{:08x}'),", n.wrapping_mul(2_654_435_761)).as_bytes());
        n += 1;
    }
    text.truncate(length);
    text
}

fn head(workload: &str, id: u64, fields: &str) -> String {
    format!(
        "POST /svc/{workload} HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 20000\r\n\
         X-Org: acme\r\n{KEY_HEADER}{fields}\r\n"
    )
}

fn whole(workload: &str, id: u64, text: &[u8]) -> Vec<u8> {
    [head(workload, id, &format!("Content-Length: {}\r\n", text.len())).as_bytes(), text].concat()
}

fn chunked(workload: &str, id: u64, text: &[u8]) -> Vec<u8> {
    let mut call = head(workload, id, "Transfer-Encoding: chunked\r\n").into_bytes();
    for chunk in text.chunks(30_000) {
        call.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        call.extend_from_slice(chunk);
        call.extend_from_slice(b"\r\n");
    }
    call.extend_from_slice(b"0\r\n\r\n");
    call
}

/// Sends beside what else the test does, and comes back until there is a final answer.
fn send(served: &TestGateway, call: Vec<u8>) -> JoinHandle<Response> {
    let stream = served.connect();
    std::thread::spawn(move || {
        let mut write = stream.try_clone().unwrap();
        let sender = std::thread::spawn(move || {
            let _ = write.write_all(&call);
        });
        let answered = Response::read_final(&mut BufReader::new(stream));
        sender.join().unwrap();
        answered
    })
}

fn is_unkept(answered: &Response) -> bool {
    answered.headers.get("x-body").map(String::as_str) == Some("not-kept")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    Memory,
    File,
    Passing,
    /// Its length was not told; it goes through memory into a file while it comes.
    Growing,
}

/// What the first engine does, or whatever else goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goes {
    Refused,
    ShedBefore,
    ShedAfter,
    ResetWithin,
    ResetAfter,
    Silent,
    Fails,
    SpoolReadFails,
}

/// The table of docs/design/bodies.md: what the client hears, and how many engines got any of it. 200 completed, 503 rejected,
/// 500 aborted; idempotent, deduplicated, non-idempotent.
#[rustfmt::skip]
const TABLE: &[(Goes, Kept, [u16; 3], [usize; 3])] = &[
    (Goes::Refused,        Kept::Memory,  [200, 200, 200], [1, 1, 1]),
    (Goes::Refused,        Kept::File,    [200, 200, 200], [1, 1, 1]),
    (Goes::Refused,        Kept::Passing, [200, 200, 200], [1, 1, 1]),
    (Goes::Refused,        Kept::Growing, [200, 200, 200], [1, 1, 1]),
    (Goes::ShedBefore,     Kept::Memory,  [200, 200, 200], [2, 2, 2]),
    (Goes::ShedBefore,     Kept::File,    [200, 200, 200], [2, 2, 2]),
    (Goes::ShedBefore,     Kept::Passing, [503, 503, 503], [1, 1, 1]),
    (Goes::ShedBefore,     Kept::Growing, [200, 200, 200], [2, 2, 2]),
    (Goes::ShedAfter,      Kept::Memory,  [200, 200, 200], [2, 2, 2]),
    (Goes::ShedAfter,      Kept::File,    [200, 200, 200], [2, 2, 2]),
    (Goes::ShedAfter,      Kept::Passing, [503, 503, 503], [1, 1, 1]),
    (Goes::ShedAfter,      Kept::Growing, [200, 200, 200], [2, 2, 2]),
    (Goes::ResetWithin,    Kept::Memory,  [200, 200, 500], [2, 2, 1]),
    (Goes::ResetWithin,    Kept::File,    [200, 200, 500], [2, 2, 1]),
    (Goes::ResetWithin,    Kept::Passing, [503, 503, 500], [1, 1, 1]),
    (Goes::ResetWithin,    Kept::Growing, [200, 200, 500], [2, 2, 1]),
    (Goes::ResetAfter,     Kept::Memory,  [200, 200, 500], [2, 2, 1]),
    (Goes::ResetAfter,     Kept::File,    [200, 200, 500], [2, 2, 1]),
    (Goes::ResetAfter,     Kept::Passing, [503, 503, 500], [1, 1, 1]),
    (Goes::ResetAfter,     Kept::Growing, [200, 200, 500], [2, 2, 1]),
    (Goes::Silent,         Kept::Memory,  [200, 200, 500], [2, 2, 1]),
    (Goes::Silent,         Kept::File,    [200, 200, 500], [2, 2, 1]),
    (Goes::Silent,         Kept::Passing, [503, 503, 500], [1, 1, 1]),
    (Goes::Fails,          Kept::Memory,  [200, 200, 500], [2, 2, 1]),
    (Goes::Fails,          Kept::File,    [200, 200, 500], [2, 2, 1]),
    (Goes::Fails,          Kept::Passing, [503, 503, 500], [1, 1, 1]),
    (Goes::Fails,          Kept::Growing, [200, 200, 500], [2, 2, 1]),
    (Goes::SpoolReadFails, Kept::File,    [503, 503, 500], [1, 1, 1]),
    (Goes::SpoolReadFails, Kept::Growing, [503, 503, 500], [1, 1, 1]),
];

const CLASSES: [(&str, Class); 3] =
    [("read", Class::Idempotent), ("load", Class::Deduplicated), ("once", Class::NonIdempotent)];

#[test]
fn what_each_tier_means_cell_by_cell() {
    let cells: Vec<_> = TABLE
        .iter()
        .flat_map(|&(goes, kept, status, engines)| {
            (0..3).map(move |class| (goes, kept, class, status[class], engines[class]))
        })
        .collect();
    // Cells know nothing of each other: some at a time, since a silent one takes its time.
    let next = Mutex::new(cells.into_iter());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let Some(cell) = next.lock().unwrap().next() else { return };
                play(cell);
            });
        }
    });
}

fn play((goes, kept, class, status, engines): (Goes, Kept, usize, u16, usize)) {
    let case = format!("{goes:?} {kept:?} {class}");
    let (workload, class) = CLASSES[class];
    let ill = {
        let take = move |call: &Call| match goes {
            _ if call.method != "POST" => BodyRead::All,
            Goes::ShedBefore => BodyRead::Only(0),
            Goes::ResetWithin => BodyRead::Only(70_000),
            _ => BodyRead::All,
        };
        let script = move |call: &Call| match (goes, call.method.as_str()) {
            (Goes::ShedBefore | Goes::ShedAfter, "POST") => answer(503, "X-Shed: 1\r\n", b""),
            (Goes::ResetWithin | Goes::ResetAfter, "POST") => Reply::Reset,
            (Goes::Silent, "POST" | "GET") => Reply::Silent,
            _ => answer(500, "", b""),
        };
        Engine::start_with_body_read(take, script)
    };
    let well = Engine::healthy();
    let first = if goes == Goes::Refused { unused_address() } else { ill.address };
    let disk = FaultyDisk::default();
    let memory = if kept == Kept::Memory { (1024, 4096) } else { (100, 256) };
    let files = matches!(kept, Kept::File | Kept::Growing).then_some((4096, 8192));
    let mut configuration = patient(&[well.address, first]);
    if goes == Goes::Silent {
        // Such an engine is found by the time that executions usually take.
        for row in configuration["settings"]["profiles"].as_array_mut().unwrap() {
            row["promiseUs"] = json!(500_000);
            row["deadlineUs"] = json!(20_000_000);
        }
    }
    let served = TestGateway::start_with(
        &configuration,
        operators(2048, memory, files, ""),
        Some(Arc::new(disk.clone())),
    );
    // The walk begins one past the first engine: that one fails.
    let text = text(600 * KB);
    if goes == Goes::SpoolReadFails {
        disk.0.corrupted_byte.store(300_000, SeqCst);
    }
    let call = if kept == Kept::Growing { chunked(workload, 1, &text) } else { whole(workload, 1, &text) };
    let call = if goes == Goes::Silent && class == Class::NonIdempotent {
        // Nothing but its own time ends that one.
        String::from_utf8(call).unwrap().replace("X-Deadline-Ms: 20000", "X-Deadline-Ms: 2000").into_bytes()
    } else {
        call
    };
    let call = if goes == Goes::Silent && kept == Kept::Passing {
        String::from_utf8(call).unwrap().replace("X-Deadline-Ms: 20000", "X-Deadline-Ms: 2000").into_bytes()
    } else {
        call
    };
    let answered = send(&served, call).join().unwrap();
    assert_eq!(answered.status, status, "{case}: {}", answered.body);
    // An answer without a result says whether the text was kept.
    let unkept = status != 200 && (kept == Kept::Passing || goes == Goes::SpoolReadFails);
    assert_eq!(is_unkept(&answered), unkept, "{case}");
    // What an engine has of a text that was cut it records when it sees the end of it.
    ill.wait_for_posts(engines.saturating_sub(well.post_count()));
    let calls: Vec<Call> = [ill.post_calls(), well.post_calls()].concat();
    assert_eq!(calls.len(), engines, "{case}");
    let asked =
        ClientRecord { class, text, sent_completely: true, answers: vec![answered.status], not_kept: unkept };
    let asked = HashMap::from([(format!("{:016x}", 1), asked)]);
    let shed = |call: &Call| {
        matches!(goes, Goes::ShedBefore | Goes::ShedAfter)
            && ill.post_calls().iter().any(|c| c.body == call.body)
    };
    let wrong = check(&asked, &calls, shed);
    assert!(wrong.is_empty(), "{case}: {wrong:?}");
    drop(calls);
    served.wait_for_body_counts(&case, |counts| {
        counts.bodies == 0 && counts.in_memory == 0 && counts.files == 0
    });
}

#[test]
fn a_client_that_leaves_in_mid_body_starts_nothing_that_ends() {
    for kept in [Kept::Memory, Kept::File, Kept::Passing, Kept::Growing] {
        for (workload, _) in CLASSES {
            let well = Engine::healthy();
            let memory = if kept == Kept::Memory { (1024, 4096) } else { (100, 256) };
            let files = matches!(kept, Kept::File | Kept::Growing).then_some((4096, 8192));
            let served = TestGateway::start_with(
                &configuration(&[well.address]),
                operators(2048, memory, files, ""),
                Some(Arc::new(FaultyDisk::default())),
            );
            let text = text(600 * KB);
            let call =
                if kept == Kept::Growing { chunked(workload, 1, &text) } else { whole(workload, 1, &text) };
            let mut stream = served.connect();
            stream.write_all(&call[..400 * KB]).unwrap();
            served.wait_for_body_counts("it comes", |counts| counts.bodies == 1);
            if kept == Kept::Passing {
                // The engine has begun to read it: only the end of the connection tells it that the rest never comes.
                served.wait_for_body_counts("it passes", |counts| counts.taken_not_kept == 1);
            }
            drop(stream);
            served
                .wait_for_body_counts("all is let go", |counts| counts.bodies == 0 && counts.in_memory == 0);
            assert!(well.post_calls().iter().all(|call| !call.whole), "{kept:?}");
            // It is no word against the engine.
            assert_eq!(served.ask(&call_small(2)).status, 200);
        }
    }
}

fn call_small(id: u64) -> String {
    call("read", id, 20_000, KEY_HEADER)
}

/// 16 MB through a gateway of 32 MB, its first engine reset in mid-statement; then endless, announced as 3 GB, and stuck at 99%.
#[test]
fn the_largest_pass_and_what_has_no_end_does_not() {
    let (well, ill) = (
        Engine::healthy(),
        Engine::start(|call| match call.method.as_str() {
            "POST" => Reply::Reset,
            _ => answer(500, "", b""),
        }),
    );
    let mut configuration = patient(&[well.address, ill.address]);
    configuration["limits"]["memory_mb"] = json!(32);
    let disk = FaultyDisk::default();
    let files = Some((32 * KB, 64 * KB));
    let served = TestGateway::start_with(
        &configuration,
        operators(20 * KB, (512, 2048), files, ""),
        Some(Arc::new(disk)),
    );
    let text = text(16 * KB * KB);
    assert_eq!(send(&served, whole("load", 1, &text)).join().unwrap().status, 200);
    assert!(well.post_calls()[0].body == text && ill.post_calls()[0].body == text);
    // Announced beyond all bounds: refused before any of it is read, also where the client asks first.
    for fields in ["Content-Length: 3000000000\r\n", "Content-Length: 3000000000\r\nExpect: 100-continue\r\n"]
    {
        let answered = served.ask(&head("load", 2, fields));
        assert_eq!(answered.status, 413);
        assert_eq!(answered.headers["connection"], "close");
    }
    // Without end: taken as far as the largest may come, and let go.
    let mut stream = served.connect();
    stream.write_all(head("load", 3, "Transfer-Encoding: chunked\r\n").as_bytes()).unwrap();
    let mut read = BufReader::new(stream.try_clone().unwrap());
    let endless = std::thread::spawn(move || {
        let chunk = [b"8000\r\n".as_slice(), &[b'x'; 0x8000], b"\r\n"].concat();
        (0..2000).take_while(|_| stream.write_all(&chunk).is_ok()).count()
    });
    assert_eq!(Response::read(&mut read).status, 413);
    drop(read);
    assert!(endless.join().unwrap() < 2000);
    // All but the last of it, and then nothing: its place is taken back by the time that the settings give it.
    let mut stream = served.connect();
    let call = whole("load", 4, &text[..200 * KB]);
    stream.write_all(&call[..call.len() * 99 / 100]).unwrap();
    assert_eq!(Response::read(&mut BufReader::new(stream)).status, 408);
    served.wait_for_body_counts("all is let go", |counts| {
        counts.bodies == 0 && counts.in_memory + counts.in_files == 0
    });
    assert!(served.body_counts().refused >= 1);
}

#[test]
fn who_asks_first_is_told_to_go_on_once_there_is_room() {
    let well = Engine::healthy();
    let served = TestGateway::start_with(
        &configuration(&[well.address]),
        operators(2048, (512, 512), None, "not_kept = \"reject\"\n"),
        None,
    );
    let text = text(400 * KB);
    let ask = |id| {
        let mut stream = served.connect();
        let fields = format!("Content-Length: {}\r\nExpect: 100-continue\r\n", text.len());
        stream.write_all(head("load", id, &fields).as_bytes()).unwrap();
        let mut first = [0; 12];
        stream.read_exact(&mut first).unwrap();
        (stream, String::from_utf8_lossy(&first).into_owned())
    };
    let (mut stream, told) = ask(1);
    assert_eq!(told, "HTTP/1.1 100");
    served.wait_for_body_counts("it has its place", |counts| counts.bodies == 1);
    let (_, full) = ask(2);
    assert_eq!(full, "HTTP/1.1 503", "no room for a second one");
    stream.write_all(&text).unwrap();
    let mut read = BufReader::new(stream);
    // What is left of the word to go on.
    for _ in 0..2 {
        std::io::BufRead::read_line(&mut read, &mut String::new()).unwrap();
    }
    assert_eq!(Response::read_final(&mut read).status, 200);
    assert!(well.post_calls()[0].body == text);
}

/// An engine that answers, or takes a byte now and then, or drains, while the text still comes.
#[test]
fn engines_that_do_not_wait_for_the_end() {
    let text = text(900 * KB);
    for kept in [Kept::File, Kept::Passing] {
        let files = (kept == Kept::File).then_some((4096, 8192));
        let start = |engines: &[SocketAddr]| {
            let operators = operators(2048, (100, 512), files, "");
            TestGateway::start_with(&patient(engines), operators, Some(Arc::new(FaultyDisk::default())))
        };
        // Completed though it read only the beginning: what the engine says stands.
        let early = Engine::start_with_body_read(
            |call| if call.method == "POST" { BodyRead::Only(1000) } else { BodyRead::All },
            |_| answer(200, "Page-Count: 1\r\n", b"early\t1\tx\n"),
        );
        let served = start(&[early.address]);
        let answered = send(&served, whole("once", 1, &text)).join().unwrap();
        assert_eq!((answered.status, early.post_count()), (200, 1), "{kept:?}");
        // One byte a second: it is given up, and where the text is kept another engine has it.
        let slow = Engine::start_with_body_read(
            |call| {
                if call.method == "POST" {
                    BodyRead::Slowly(Duration::from_secs(1))
                } else {
                    BodyRead::All
                }
            },
            |_| answer(500, "", b""),
        );
        let well = Engine::healthy();
        let served = start(&[well.address, slow.address]);
        let answered = send(&served, whole("read", 1, &text)).join().unwrap();
        let want = if kept == Kept::File { 200 } else { 503 };
        assert_eq!((answered.status, well.post_count()), (want, usize::from(want == 200)), "{kept:?}");
    }
}

/// A repeat of a long text that is still on its way when engines may have forgotten the first never comes whole.
#[test]
fn a_long_text_whose_window_of_repeats_ends_on_its_way_never_comes_whole() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // So little is taken before it is read that the rest stays with the gateway's machine.
    socket.set_recv_buffer_size(2048).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(8).unwrap();
    let slow: std::net::TcpListener = socket.into();
    let resets =
        Engine::start(|call| if call.method == "POST" { Reply::Reset } else { answer(500, "", b"") });
    let mut configuration = configuration(&[slow.local_addr().unwrap(), resets.address]);
    configuration["settings"]["profiles"][2]["memorySpanUs"] = json!(1_000_000);
    let served = TestGateway::start_with(&configuration, operators(2048, (1024, 4096), None, ""), None);
    let text = text(100 * KB);
    let call = String::from_utf8(whole("load", 1, &text))
        .unwrap()
        .replace("X-Deadline-Ms: 20000", "X-Deadline-Ms: 4000");
    let answered = send(&served, call.into_bytes());
    let (mut engine, _) = slow.accept().unwrap();
    let came = std::time::Instant::now();
    while came.elapsed() < Duration::from_millis(1100) {
        std::thread::yield_now();
    }
    let mut read = Vec::new();
    let end = engine.read_to_end(&mut read);
    assert!(read.len() < text.len(), "{end:?}, {} came", read.len());
    assert_ne!(answered.join().unwrap().status, 200);
}

#[test]
fn a_drain_told_while_half_of_a_text_has_come_is_kept() {
    let (well, drained) = (Engine::healthy(), Engine::healthy());
    let mut at_first = configuration(&[well.address, drained.address]);
    let operators = operators(2048, (1024, 4096), None, "");
    let served = TestGateway::start_with(&at_first, operators.clone(), None);
    let text = text(600 * KB);
    let call = whole("once", 1, &text);
    let mut stream = served.connect();
    stream.write_all(&call[..call.len() / 2]).unwrap();
    served.wait_for_body_counts("half has come", |counts| counts.bodies == 1);
    // The same list without the second one.
    at_first["known"] = configuration(&[well.address])["known"].clone();
    at_first["known"]["no"] = json!(2);
    at_first["known"]["items"][0]["no"] = json!(2);
    served.reloads.send((at_first, operators)).unwrap();
    // Statements that come meanwhile tell when it is in force.
    for id in 100.. {
        let before = drained.post_count();
        (0..2).for_each(|n| assert_eq!(served.ask(&call_small(id * 2 + n)).status, 200));
        if drained.post_count() == before {
            break;
        }
    }
    let before = drained.post_count();
    stream.write_all(&call[call.len() / 2..]).unwrap();
    assert_eq!(Response::read_final(&mut BufReader::new(stream)).status, 200);
    assert_eq!(drained.post_count(), before);
    assert!(well.post_calls().iter().any(|post| post.body == text));
}

/// Whether a gate is open; waits a little for it, as engines do with their news.
fn opens(gate: &(Mutex<bool>, Condvar)) -> bool {
    let held = gate.0.lock().unwrap();
    *gate.1.wait_timeout_while(held, Duration::from_millis(100), |open| !*open).unwrap().0
}

/// Statements that may take long, and engines with room for all.
fn patient(engines: &[SocketAddr]) -> Value {
    let mut configuration = configuration(engines);
    configuration["settings"]["domain"]["sizeCores"] = json!([1000]);
    for row in configuration["settings"]["profiles"].as_array_mut().unwrap() {
        row["promiseUs"] = json!(20_000_000);
    }
    configuration
}

/// The disk fills up in mid-body, with others in files: those stay good, that one goes on unkept or is rejected, and lookups
/// go on beside it while the disk is stuck.
#[test]
fn a_disk_that_fills_up_or_stands_still_hangs_nobody() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let open = gate.clone();
    let engine = Engine::start(move |call| {
        // Ids of the held ones begin at 1000.
        let held = call.path.contains("/x/00000000000003") || call.path.contains("/x/00000000000004");
        let load = call.headers.get("x-queue").is_some_and(|workload| workload == "load");
        if (held || load) && !opens(&open) {
            return answer(202, "", b"");
        }
        answer(200, "Page-Count: 1\r\n", b"well\t1\tx\n")
    });
    let configuration = patient(&[engine.address]);
    let disk = FaultyDisk::default();
    let more = "workload \"once\" {\n not_kept = \"reject\"\n }\n";
    let served = TestGateway::start_with(
        &configuration,
        operators(2048, (100, 1024), Some((2048, 40_000)), more),
        Some(Arc::new(disk.clone())),
    );
    let text = text(300 * KB);
    let held: Vec<_> =
        (0..20).map(|id| send(&served, whole("load", 1000 + id, &text_of(id, 300 * KB)))).collect();
    served.wait_for_body_counts("all are in files", |counts| {
        counts.files == 20 && counts.in_files == 20 * 300 * KB as u64
    });
    while engine.post_count() < 20 {
        std::thread::yield_now();
    }
    disk.0.free_bytes.store(100_000, SeqCst);
    let falls = send(&served, whole("read", 1, &text)).join().unwrap();
    assert_eq!(falls.status, 200);
    disk.0.free_bytes.store(100_000, SeqCst);
    let strict = send(&served, whole("once", 2, &text)).join().unwrap();
    assert_eq!(strict.status, 503);
    assert_eq!(strict.headers["x-pushback-ms"], "2000");
    // The disk stands still: what goes to it waits, all else goes on.
    disk.0.free_bytes.store(-1, SeqCst);
    disk.block_writes(true);
    let stuck = send(&served, whole("read", 3, &text));
    served.wait_for_body_counts("it waits for the disk", |counts| counts.files == 21);
    for id in 10..60 {
        assert_eq!(served.ask(&call_small(id)).status, 200);
    }
    disk.block_writes(false);
    assert_eq!(stuck.join().unwrap().status, 200);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    for held in held {
        assert_eq!(held.join().unwrap().status, 200);
    }
    let counts = served.wait_for_body_counts("all is let go", |counts| counts.bodies == 0);
    assert_eq!((counts.spool_failed, counts.fell, counts.read_failed), (2, 1, 0));
}

/// 200 loads of 1 MB at once against a gateway of 32 MB: what is held stays within its bounds, each has one answer, and
/// lookups are served throughout.
#[test]
fn a_storm_of_loads_stays_within_bounds() {
    let engine = Engine::healthy();
    let mut configuration = patient(&[engine.address]);
    configuration["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 600});
    configuration["settings"]["domain"]["sizeCores"] = json!([1000]);
    let operators = operators(2048, (512, 4096), Some((2048, 30 * 1024)), "");
    let served = TestGateway::start_with(&configuration, operators, Some(Arc::new(FaultyDisk::default())));
    let over = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> =
        (0..200).map(|id| send(&served, whole("load", 5000 + id, &text_of(id, KB * KB)))).collect();
    let done = over.clone();
    let ended = std::thread::spawn(move || {
        let statuses: Vec<u16> = loads.into_iter().map(|load| load.join().unwrap().status).collect();
        done.store(true, SeqCst);
        statuses
    });
    let (mut most, mut lookups) = ((0, 0, 0), 0);
    while !over.load(SeqCst) {
        let counts = served.body_counts();
        most = (most.0.max(counts.in_memory), most.1.max(counts.in_files), most.2.max(counts.files));
        assert_eq!(served.ask(&call_small(lookups)).status, 200);
        lookups += 1;
    }
    let statuses = ended.join().unwrap();
    let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
    assert_eq!(count(200) + count(503), 200, "{statuses:?}");
    assert!(count(200) >= 20 && lookups > 0, "{} completed, {lookups} lookups", count(200));
    assert!(most.0 <= 4096 * KB as u64 && most.1 <= 30 * (KB * KB) as u64 && most.2 <= 64, "{most:?}");
    for post in engine.post_calls().iter().filter(|post| post.headers["x-queue"] == "load") {
        let id = u64::from_str_radix(&post.headers["x-ticket"], 16).unwrap();
        assert!(!post.whole || post.body == text_of(id - 5000, KB * KB));
    }
    served.wait_for_body_counts("all is let go", |counts| counts.bodies == 0 && counts.in_memory == 0);
}

/// Smaller pools at a reload, then SIGTERM's way out with a statement in each tier: each has its answer.
#[test]
fn a_reload_that_shrinks_and_an_end_lose_nothing() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let open = gate.clone();
    let engine = Engine::start(move |_| match opens(&open) {
        true => answer(200, "Page-Count: 1\r\n", b"well\t1\tx\n"),
        false => answer(202, "", b""),
    });
    let configuration = patient(&[engine.address]);
    let disk = Arc::new(FaultyDisk::default());
    let at_first = operators(4096, (512, 1024), Some((1024, 2048)), "");
    let mut served = TestGateway::start_with(&configuration, at_first, Some(disk));
    let sizes = [400 * KB, 800 * KB, 1500 * KB];
    let asked: Vec<_> =
        (0..3).map(|n| send(&served, whole("load", n as u64, &text_of(n as u64, sizes[n])))).collect();
    served.wait_for_body_counts("one in each tier", |c| {
        (c.taken_memory, c.taken_file, c.taken_not_kept) == (1, 1, 1)
    });
    while engine.post_count() < 3 {
        std::thread::yield_now();
    }
    let smaller = operators(128, (64, 128), Some((64, 64)), "");
    served.reloads.send((configuration, smaller)).unwrap();
    // In force once a text that was fine before is too large.
    let probe = String::from_utf8(whole("load", 9, &text(200 * KB))).unwrap();
    let probe = probe.replace("X-Deadline-Ms: 20000", "X-Deadline-Ms: 50").into_bytes();
    while send(&served, probe.clone()).join().unwrap().status != 413 {}
    assert_eq!(served.body_counts().bodies, 3);
    let ended = served.shut_down();
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    for asked in asked {
        assert_eq!(asked.join().unwrap().status, 200);
    }
    ended.join().unwrap();
}

/// At the bound of statements a large text is turned away before it has come.
#[test]
fn at_the_bound_of_statements_no_text_comes_for_nothing() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let open = gate.clone();
    let engine = Engine::start(move |_| match opens(&open) {
        true => answer(200, "Page-Count: 1\r\n", b"well\t1\tx\n"),
        false => answer(202, "", b""),
    });
    let mut configuration = patient(&[engine.address]);
    configuration["settings"]["allowed"]["maxOpen"] = json!(1);
    let served = TestGateway::start_with(&configuration, operators(2048, (1024, 4096), None, ""), None);
    let text = text(400 * KB);
    let held = send(&served, whole("once", 1, &text));
    engine.wait_for_call(|call| call.method == "POST");
    let call = whole("once", 2, &text);
    let mut stream = served.connect();
    stream.write_all(&call[..100 * KB]).unwrap();
    let answered = Response::read(&mut BufReader::new(stream));
    assert_eq!((answered.status, answered.headers["x-pushback-ms"].as_str()), (503, "2000"));
    assert_eq!(served.body_counts().bodies, 1);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    assert_eq!(held.join().unwrap().status, 200);
}

/// Of a text that passes, the tables are taken from its beginning, and none rather than wrong ones.
#[test]
fn not_plainly_text_is_refused_wherever_that_shows() {
    let engine = Engine::healthy();
    for files in [Some((4096, 8192)), None] {
        let operators = operators(2048, (100, 512), files, "");
        let served = TestGateway::start_with(
            &configuration(&[engine.address]),
            operators,
            Some(Arc::new(FaultyDisk::default())),
        );
        for (at, byte) in [(10, 0), (300_000, 0), (300_000, 0xff), (599_999, 0xc3)] {
            let mut text = text(600_000);
            text[at] = byte;
            let answered = send(&served, whole("once", at as u64, &text)).join().unwrap();
            assert_eq!(answered.status, 400, "{at} {files:?}");
        }
        let blank = vec![b' '; 200_000];
        assert_eq!(send(&served, whole("once", 7, &blank)).join().unwrap().status, 400);
        served.wait_for_body_counts("all is let go", |counts| counts.bodies == 0);
    }
    assert!(engine.post_calls().iter().all(|post| !post.whole));
}

#[test]
fn the_operators_file_is_read_and_what_is_wrong_is_named() {
    let known = ["load".to_string()];
    let read = |text: &str| operators::read(text, Some(&known));
    assert_eq!(read("").unwrap(), OperatorSettings::default());
    assert!(!read("bodies {\n}\n").unwrap().bodies.is_enabled());
    let file = "bodies {\n  largest = \"16 MiB\"\n  files {\n    dir = \"/tmp\"\n    each = \"16 MiB\"\n    pool = \"1 GiB\"\n  }\n  \
                workload \"load\" {\n    not_kept = \"reject\"\n  }\n}\n";
    let bodies = read(file).unwrap().bodies;
    assert!(bodies.is_enabled() && bodies.rejects_not_kept("load") && !bodies.rejects_not_kept("read"));
    assert_eq!((bodies.bounds().max_body, bodies.files.as_ref().unwrap().count), (16 << 20, 64));
    for (from, to, said) in [
        ("16 MiB\"\n  files", "10 KiB\"\n  files", "2: bodies.largest: is under the 64 KiB"),
        ("16 MiB\"\n  files", "5 GiB\"\n  files", "2: bodies.largest: is over 4 GiB"),
        ("16 MiB\"\n  files", "16 apples\"\n  files", "2: bodies.largest: "),
        ("largest", "larges", "2: bodies.larges: unknown field"),
        ("pool = \"1 GiB\"", "pool = \"1 MiB\"", "5: bodies.files.each: is more than bodies.files.pool"),
        ("dir = \"/tmp\"", "dir = \"tmp\"", "4: bodies.files.dir: is not an absolute path"),
        ("dir = \"/tmp\"", "count = 0\n    dir = \"/tmp\"", "4: bodies.files.count: is not a number"),
        ("dir = \"/tmp\"", "threads = 65\n    dir = \"/tmp\"", "4: bodies.files.threads: is not a number"),
        ("dir = \"/tmp\"\n", "\n", "3: bodies.files: missing field `dir`"),
        (
            "dir = \"/tmp\"",
            "in_memory = true\n    dir = \"/tmp\"",
            "7: bodies.files.pool: is more than bodies.memory.pool",
        ),
        ("\"load\"", "\"lode\"", "8: bodies.workload.lode: is no workload"),
        ("\"reject\"", "\"refuse\"", "9: bodies.workload.load.not_kept: unknown variant `refuse`"),
        (
            "  files {",
            "  memory {\n    pool = \"1 KiB\"\n    each = \"1 KiB\"\n  }\n  files {",
            "4: bodies.memory.pool: is under",
        ),
        (
            "  files {",
            "  memory {\n    each = \"1 GiB\"\n  }\n  files {",
            "4: bodies.memory.each: is more than",
        ),
        ("  files {", "  slowest = \"10 B\"\n  files {", "3: bodies.slowest: is under 1 KiB a second"),
        ("  files {", "  files [", "3: "),
    ] {
        assert!(file.contains(from));
        let wrong = read(&file.replace(from, to)).unwrap_err();
        assert!(wrong.starts_with(said), "{wrong} is not {said}");
    }
    // What they take together is checked against the platform's limits.
    let start = |memory_mb: u64, sockets: u64| {
        let mut configuration: Value = configuration(&[]);
        configuration["limits"] = json!({ "memory_mb": memory_mb, "sockets": sockets });
        bramblewharf_gateway::config::read_with(&configuration, None, None, read(file).unwrap())
            .map(|start| start.bounds)
    };
    assert!(start(40, 1024).unwrap().stmts < start(192, 1024).unwrap().stmts);
    let wide = file.replace("dir", "count = 400\n    dir");
    let mut limited: Value = configuration(&[]);
    limited["limits"] = json!({ "memory_mb": 192, "sockets": 512 });
    let wrong =
        bramblewharf_gateway::config::read_with(&limited, None, None, read(&wide).unwrap()).err().unwrap();
    assert!(wrong.starts_with("limits.sockets: bodies.files takes 404"), "{wrong}");
}

/// Beside ordinary statements nothing is on the way: no body, no file.
#[test]
fn ordinary_texts_take_the_ordinary_path() {
    let engine = Engine::healthy();
    let disk = FaultyDisk::default();
    let operators = operators(2048, (512, 1024), Some((2048, 8192)), "");
    let served =
        TestGateway::start_with(&configuration(&[engine.address]), operators, Some(Arc::new(disk.clone())));
    for (id, size) in [(1, 100), (2, 64 * KB - 1), (3, 64 * KB)] {
        let text = text(size);
        for call in [whole("once", id, &text), chunked("once", id + 10, &text)] {
            assert_eq!(send(&served, call).join().unwrap().status, 200);
        }
        assert!(engine.post_calls().iter().rev().take(2).all(|post| post.body == text));
    }
    let counts = served.body_counts();
    assert_eq!((counts.taken_memory, counts.taken_file, counts.taken_not_kept), (0, 0, 0));
    assert_eq!(disk.0.created.load(SeqCst), 0);
    // Without settings nothing beyond them is taken, as before.
    let plain = TestGateway::in_front_of(&[engine.address]);
    assert_eq!(send(&plain, whole("once", 30, &text(64 * KB + 1))).join().unwrap().status, 413);
    drop(TcpStream::connect(plain.address));
}
