//! Case: clients whose messages never end, in the smallest chunks, before a gateway with a limit on memory.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The most that the pages name for the days that are scored.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
/// Together under a third of the descriptors.
const USUAL_CLIENTS: usize = 12;
const BAD_CLIENTS: usize = 250;
const QUIET: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(6);

/// Bad clients: each sends one message that never ends, a byte a chunk, at full speed, and reads what it is sent.
fn send_without_end(record: &Record, address: SocketAddr, over: &AtomicBool) {
    let chunks = b"1\r\nS\r\n".repeat(4096);
    let mut clients = Vec::new();
    for _ in 0..BAD_CLIENTS {
        let Ok(stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_nonblocking(true);
        let head = format!(
            "POST /svc/lookup HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {}\r\nX-Deadline-Ms: 2000\r\nX-Org: gatepath\r\nTransfer-Encoding: chunked\r\n\r\n",
            new_id()
        );
        clients.push((stream, head.into_bytes(), 0u64, None::<String>));
    }
    record.line(format!("bad clients: {} have connected and begin to send", clients.len()));
    let began = Instant::now();
    let mut answer = [0; 4096];
    while !over.load(Ordering::Relaxed) && clients.iter().any(|client| client.3.is_none()) {
        let mut moved = false;
        for (stream, rest, sent, end) in clients.iter_mut().filter(|client| client.3.is_none()) {
            if rest.is_empty() {
                rest.extend_from_slice(&chunks);
            }
            if let Ok(length) = stream.write(rest) {
                rest.drain(..length);
                *sent += length as u64;
                moved = true;
            }
            match stream.read(&mut answer) {
                Ok(0) => *end = Some("closed".into()),
                Ok(length) => {
                    let text = String::from_utf8_lossy(&answer[..length.min(12)]).into_owned();
                    *end = Some(format!("answered: {text}"));
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => *end = Some(e.to_string()),
            }
            if end.is_some() {
                record.line(format!("bad client: {sent} bytes sent, {} after {:.1} s", end.as_deref().unwrap_or(""), began.elapsed().as_secs_f64()));
            }
        }
        if !moved {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    record.line(format!("bad clients: {} bytes sent in all", clients.iter().map(|client| client.2).sum::<u64>()));
}

fn main() -> ExitCode {
    run(case)
}

fn case() -> ExitCode {
    let (root, folder) = places();
    let record = Record::create(&folder.join("record.txt"));
    let temporary = Folder::new("memory");
    let work: Work = Arc::new(|_| Duration::from_millis(80));
    let nodes: Vec<Node> = (0..6).map(|n| Node::start(&format!("s-{n:08x}"), &record, work.clone())).collect();
    let names = Names::start(nodes.iter().map(|node| Listed::of(node, "std-12")).collect());
    let address: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let text = config("n0", address, MEMORY_MB, SOCKETS, &names, &ntmc_settings(3, 0));
    let mut gateway = Gateway::start(&root, &temporary.0, "n0", address, &text);
    if !gateway.is_ready() {
        record.say("the gateway was not ready in 30 s: the case couldn't run");
        return ExitCode::from(2);
    }
    let over = Arc::new(AtomicBool::new(false));
    // The platform: over `memory_mb` the gateway is killed. Counted in MiB, in its favour.
    let (limit, pid) = (MEMORY_MB << 20, gateway.pid());
    let killed: Arc<Mutex<Option<u64>>> = Arc::default();
    let most = Arc::new(Mutex::new(0));
    let platform = {
        let (over, killed, most, record) = (over.clone(), killed.clone(), most.clone(), record.clone());
        std::thread::spawn(move || {
            let mut told = Instant::now();
            while !over.load(Ordering::Relaxed) {
                let Some(memory) = Gateway::memory(pid) else { return };
                let mut most = most.lock().unwrap();
                *most = memory.max(*most);
                if told.elapsed() > Duration::from_millis(200) {
                    told = Instant::now();
                    record.line(format!("platform: the gateway has {} KB of memory", memory >> 10));
                }
                if memory > limit {
                    signal(pid, SIGKILL);
                    *killed.lock().unwrap() = Some(memory);
                    record.line(format!("platform: the gateway has {} KB of memory, over its limit of {} KB: killed", memory >> 10, limit >> 10));
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let ends: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|_| {
            let (over, ends, record) = (over.clone(), ends.clone(), record.clone());
            std::thread::spawn(move || {
                let mut stream = None;
                while !over.load(Ordering::Relaxed) {
                    let request = Request {
                        id: new_id(),
                        class: "lookup",
                        org: "gatepath",
                        key: None,
                        deadline: Duration::from_secs(2),
                        text: b"SELECT gate FROM maps_17.gates WHERE hall = 'a'",
                    };
                    let end = send(&record, &mut stream, address, &request);
                    ends.lock().unwrap().push(end);
                    std::thread::sleep(Duration::from_millis(60));
                }
                close(&mut stream);
            })
        })
        .collect();
    std::thread::sleep(QUIET);
    let bad = trouble().then(|| {
        let (over, record) = (over.clone(), record.clone());
        std::thread::spawn(move || send_without_end(&record, address, &over))
    });
    let until = Instant::now() + AFTER;
    while Instant::now() < until && killed.lock().unwrap().is_none() {
        std::thread::sleep(Duration::from_millis(20));
    }
    // Statements that are open have time for their answers.
    std::thread::sleep(Duration::from_millis(500));
    let crashed = gateway.child.try_wait().is_ok_and(|ended| ended.is_some());
    over.store(true, Ordering::Relaxed);
    usual.into_iter().chain(bad).chain([platform]).for_each(|thread| drop(thread.join()));
    let ends = ends.lock().unwrap();
    let count = |is: fn(&Outcome) -> bool| ends.iter().filter(|end| is(end)).count();
    let lost = count(|end| matches!(end, Outcome::Lost(_)));
    record.say(format!(
        "usual clients: {} served, {} refused, {} failed, {} without a final answer, {} could not reach it; most memory {} KB of {} KB",
        count(|end| *end == Outcome::Served), count(|end| *end == Outcome::Refused),
        count(|end| matches!(end, Outcome::Failed(_))), lost, count(|end| *end == Outcome::Unreachable),
        *most.lock().unwrap() >> 10, limit >> 10
    ));
    let killed = *killed.lock().unwrap();
    match (killed, crashed, lost) {
        (Some(_), _, _) => record.say("BROKEN: the gateway went over its limit of memory and was killed"),
        (_, true, _) => record.say("BROKEN: the gateway has ended"),
        (_, _, 1..) => record.say("BROKEN: statements were lost"),
        _ => {
            record.say("HELD");
            return ExitCode::SUCCESS;
        }
    }
    ExitCode::from(1)
}
