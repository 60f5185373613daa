//! What keeping texts costs, by tier: the program itself, stand-in engines, clients in this process. Ratios count, as all of it
//! is one run: `cargo bench -p bramblewharf-gateway --bench bodies`.

use bramblewharf_standins::{answer, read_message, unused_address, Call, Engine, Reply};
use serde_json::json;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MB: usize = 1 << 20;

struct Program {
    child: Child,
    listen: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Program {
    fn start(engines: &[SocketAddr], bodies: &str) -> Program {
        let dir = tempfile::tempdir().unwrap();
        let listen = unused_address();
        let members: Vec<_> = engines
            .iter()
            .enumerate()
            .map(|(at, address)| {
                json!({"id": format!("e{at}"), "host_port": address.to_string(), "locality": "z", "flavor": "k",
                    "cell": 0, "phase": "up", "size": 4, "up_since_ms": 0})
            })
            .collect();
        let configuration = json!({
            "name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"no": 1, "items": [{"no": 1, "roster": {"revision": 1, "complete": true, "members": members}}]},
            "settings": {"balancers": 1, "tickUs": 5000, "kinds": ["k"], "domain": {"sizeCores": [10_000]},
                "profiles": [
                    {"name": "lookup", "promiseUs": 400_000, "effect": "read_like"},
                    {"name": "load", "promiseUs": 4_000_000, "effect": "idempotency_key", "memorySpanUs": 60_000_000}],
                "allowed": {"tryLimit": 3, "mayCancel": true, "secondCopies": true},
                "rules": {"coldUs": 1000, "tipAfterUs": 1000}}});
        let file = dir.path().join("gateway.json");
        std::fs::write(&file, configuration.to_string()).unwrap();
        let settings = dir.path().join("gateway.hcl");
        std::fs::write(&settings, bodies.replace("DIR", dir.path().to_str().unwrap())).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bramblewharf"));
        let command = command.env_remove("EDGE_LISTEN").env_remove("EDGE_NAME");
        let command = command.arg("serve").arg("--config").arg(&file).arg("--settings").arg(&settings);
        let child = command.stderr(Stdio::null()).spawn().unwrap();
        while TcpStream::connect(listen).is_err() {
            std::thread::sleep(Duration::from_millis(5));
        }
        Program { child, listen, _dir: dir }
    }

    /// Resident memory (MB): now and at most; descriptors now.
    fn holds(&self) -> (f64, f64, usize) {
        let proc = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{proc}/status")).unwrap();
        let field = |name: &str| -> f64 {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
            line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() / 1024.0
        };
        (field("VmRSS:"), field("VmHWM:"), std::fs::read_dir(format!("{proc}/fd")).unwrap().count())
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nodelay(true).unwrap();
        Client { read: BufReader::new(stream) }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Client {
    read: BufReader<TcpStream>,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Client {
    /// The status of the last answer; none where the connection ended.
    fn ask(&mut self, workload: &str, text: &[u8]) -> Option<u16> {
        let id = IDS.fetch_add(1, SeqCst);
        let head = format!(
            "POST /svc/{workload} HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 20000\r\n\
             X-Operation-Key: k{id}\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        self.read.get_mut().write_all(head.as_bytes()).ok()?;
        self.read.get_mut().write_all(text).ok()?;
        loop {
            let (first, _, body) = read_message(&mut self.read)?;
            let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let Some(link) = body["link"].as_str() else { return first.split(' ').nth(1)?.parse().ok() };
            let call = format!("GET {link} HTTP/1.1\r\nHost: h\r\n\r\n");
            self.read.get_mut().write_all(call.as_bytes()).ok()?;
        }
    }
}

/// A text like a floor plan's: rows that are alike but for their figures.
fn text(length: usize) -> Vec<u8> {
    let mut text = b"INSERT INTO plans_17.rooms VALUES ".to_vec();
    for n in 0u32.. {
        if text.len() >= length {
            break;
        }
        let x = n.wrapping_mul(2_654_435_761);
        text.extend_from_slice(format!("({n},'room',{},{}),\n", x >> 20, x & 0xfff).as_bytes());
    }
    text.truncate(length);
    text
}

const MEMORY: &str =
    "bodies {\n largest = \"64 MiB\"\n memory {\n each = \"32 MiB\"\n pool = \"64 MiB\"\n }\n}\n";
const FILES: &str = "bodies {\n largest = \"64 MiB\"\n memory {\n each = \"64 KiB\"\n pool = \"8 MiB\"\n }\n files {\n dir = \"DIR\"\n \
                     each = \"64 MiB\"\n pool = \"1 GiB\"\n }\n}\n";
const PASSING: &str =
    "bodies {\n largest = \"64 MiB\"\n memory {\n each = \"64 KiB\"\n pool = \"16 MiB\"\n }\n}\n";

fn tiers() -> Vec<(&'static str, String)> {
    vec![
        ("memory", MEMORY.to_string()),
        ("file", FILES.to_string()),
        ("file, zstd", FILES.replace("each = \"64 MiB\"\n pool", "zstd = true\n each = \"64 MiB\"\n pool")),
        ("not kept", PASSING.to_string()),
    ]
}

fn main() {
    throughput();
    storm();
    survive();
}

/// One client in a row; each tier's share of what memory does.
fn throughput() {
    for size in [64 * 1024, MB, 16 * MB] {
        let text = text(size);
        let rounds = (64 * MB / size).clamp(8, 200);
        let mut rates = Vec::new();
        for (name, bodies) in tiers() {
            let engine = Engine::start(|_| answer(200, "Page-Count: 1\r\n", b"well\t1\tx\n"));
            let program = Program::start(&[engine.address], &bodies);
            let mut client = program.client();
            client.ask("load", &text);
            let began = Instant::now();
            let done = (0..rounds).filter(|_| {
                // Stand-ins keep every byte; that is not what is measured.
                engine.calls.0.lock().unwrap().clear();
                client.ask("load", &text) == Some(200)
            });
            assert_eq!(done.count(), rounds);
            rates.push((
                name,
                (rounds * size) as f64 / began.elapsed().as_secs_f64() / 1e6,
                program.holds().1,
            ));
        }
        for (name, rate, most) in &rates {
            println!(
                "{:5} KB {name:10} {rate:7.1} MB/s, {:.2} of memory's, {most:.1} MB resident at most",
                size / 1024,
                rate / rates[0].1
            );
        }
    }
}

/// Lookups, one client in a row, beside 16 clients that load 1 MB each all the time.
fn storm() {
    let all =
        [("no loads", FILES.to_string()), ("ordinary loads", FILES.to_string())].into_iter().chain(tiers());
    for (name, bodies) in all {
        let engine = Engine::start(|_| answer(200, "Page-Count: 1\r\n", b"well\t1\tx\n"));
        let program = Program::start(&[engine.address], &bodies);
        let over = Arc::new(AtomicBool::new(false));
        let text = Arc::new(text(if name == "ordinary loads" { 60 * 1024 } else { MB }));
        let clients = if name == "no loads" { 0 } else { 16 };
        let loads: Vec<_> = (0..clients)
            .map(|_| {
                let (over, text, mut client) = (over.clone(), text.clone(), program.client());
                let calls = engine.calls.clone();
                let listen = program.listen;
                std::thread::spawn(move || {
                    let mut answers = (0, 0);
                    while !over.load(SeqCst) {
                        match client.ask("load", &text) {
                            Some(200) => answers.0 += 1,
                            other => {
                                answers.1 += 1;
                                if other.is_none() || other == Some(503) {
                                    client =
                                        Client { read: BufReader::new(TcpStream::connect(listen).unwrap()) };
                                }
                            }
                        }
                        calls.0.lock().unwrap().clear();
                    }
                    answers
                })
            })
            .collect();
        let mut client = program.client();
        let mut times: Vec<Duration> = Vec::new();
        let (mut most, began) = (0, Instant::now());
        while began.elapsed() < Duration::from_secs(4) {
            let asked = Instant::now();
            assert_eq!(client.ask("lookup", b"SELECT gate FROM plans_3.gates"), Some(200));
            times.push(asked.elapsed());
            if times.len().is_multiple_of(50) {
                most = most.max(program.holds().2);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        over.store(true, SeqCst);
        let answers: Vec<(u64, u64)> = loads.into_iter().map(|load| load.join().unwrap()).collect();
        times.sort_unstable();
        let at = |share: f64| times[(times.len() as f64 * share) as usize].as_secs_f64() * 1e3;
        println!(
            "lookups beside {name:14} p50 {:5.2} ms, p99 {:6.2} ms; {} loads completed, {} not; {:.1} MB resident at most, {most} descriptors",
            at(0.5), at(0.99), answers.iter().map(|a| a.0).sum::<u64>(), answers.iter().map(|a| a.1).sum::<u64>(), program.holds().1
        );
    }
}

/// Of loads whose first engine resets the connection with all of the text here, the share that is completed.
fn survive() {
    for (name, bodies) in tiers() {
        let ill = Engine::start(
            |call: &Call| if call.method == "POST" { Reply::Reset } else { answer(500, "", b"") },
        );
        let well = Engine::healthy();
        let program = Program::start(&[ill.address, well.address], &bodies);
        let text = text(MB);
        let mut completed = 0;
        for _ in 0..40 {
            completed += u32::from(program.client().ask("load", &text) == Some(200));
            std::thread::sleep(Duration::from_millis(100));
        }
        println!(
            "an engine of two lost, {name:10} {completed} of 40 loads completed, {} of them met it",
            ill.post_count()
        );
    }
}
