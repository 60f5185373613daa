//! Stand-ins for the cases of this review, with the standard library alone: clients, warehouse nodes (engines), the name
//! service and the platform, as the protocol and deployment pages describe them. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(descriptor: i32, backlog: i32) -> i32;
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
}

pub fn signal(pid: u32, signal: i32) {
    // Safety: a plain system call; the process is a child of this one.
    unsafe { kill(pid as i32, signal) };
}

/// `record.txt`: what was sent, answered and run, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
    /// A stand-in that is a process of its own tells its events with the Unix time.
    unix: bool,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        Arc::new(Record { file: Mutex::new(File::create(path).expect("record")), start: Instant::now(), unix: false })
    }

    /// Of a stand-in in a process of its own: to its standard output.
    pub fn to_parent() -> Arc<Record> {
        let file = File::options().write(true).open("/dev/stdout").expect("standard output");
        Arc::new(Record { file: Mutex::new(file), start: Instant::now(), unix: true })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        if self.unix {
            let _ = writeln!(self.file.lock().unwrap(), "{} {}", unix_ms(), text.as_ref());
            return;
        }
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1}  {}", text.as_ref());
    }

    /// To the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A free port of 127.0.0.1.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP/1.1, as far as the protocol page needs it

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a request or an answer with `Content-Length` or chunks.
pub fn read_message(read: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if read.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    let cut = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    loop {
        let mut line = String::new();
        if read.read_line(&mut line)? == 0 {
            return Err(cut());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    message.first = message.first.trim_end().to_string();
    if message.field("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            read.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| cut())?;
            let mut chunk = vec![0; size + 2];
            read.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend(&chunk[..size]);
        }
    }
    let length = message.field("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    read.read_exact(&mut message.body)?;
    Ok(Some(message))
}

// ---------------------------------------------------------------------------------------------------------------------
// A warehouse node

/// How long news are waited for, and how long a query lives that is not asked for.
const NEWS_WITHIN: Duration = Duration::from_millis(250);
const UNASKED: Duration = Duration::from_secs(2);

/// `allowed.keepaliveUs` of the settings.
pub static KEEPALIVE_MS: AtomicU64 = AtomicU64::new(15_000);

struct Query {
    ends: Instant,
    asked: Instant,
    pages: Vec<String>,
    ended: bool,
    began: Instant,
    threads: u32,
}

#[derive(Default)]
struct Queries {
    by_id: Mutex<HashMap<String, Query>>,
    changed: Condvar,
}

/// Cores of a node. Half of the work is reading or writing, so that a thread keeps half a core busy.
const CORES: f64 = 12.0;

impl Queries {
    fn utilisation(&self) -> f64 {
        let now = Instant::now();
        let running = |query: &&Query| !query.ended && now < query.ends;
        let threads: u32 = self.by_id.lock().unwrap().values().filter(running).map(|query| query.threads).sum();
        (f64::from(threads) * 0.5 / CORES).min(1.0)
    }
}

/// What a node was sent: id, class, key, text, when it came whole.
#[derive(Clone, Debug)]
pub struct Begun {
    pub node: String,
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub text: Vec<u8>,
    pub at: Instant,
    /// `X-Max-Ms`.
    pub max_wait: Duration,
}

pub type Work = Arc<dyn Fn(&Begun) -> Duration + Send + Sync>;

pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    pub begun: Arc<Mutex<Vec<Begun>>>,
}

impl Node {
    /// A node that runs all that it is sent at once; `work` tells how long a query takes.
    pub fn start(id: &str, record: &Arc<Record>, work: Work) -> Node {
        Node::start_on(TcpListener::bind("127.0.0.1:0").expect("node"), id, record, work)
    }

    pub fn start_on(listener: TcpListener, id: &str, record: &Arc<Record>, work: Work) -> Node {
        let address = listener.local_addr().unwrap();
        let (queries, begun) = (Arc::new(Queries::default()), Arc::new(Mutex::new(Vec::new())));
        let (name, record, all) = (id.to_string(), record.clone(), begun.clone());
        {
            let (name, record, queries) = (name.clone(), record.clone(), queries.clone());
            std::thread::spawn(move || loop {
                std::thread::sleep(Duration::from_millis(20));
                end_unasked(&name, &record, &queries);
            });
        }
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, work) = (name.clone(), record.clone(), work.clone());
                let (queries, all) = (queries.clone(), all.clone());
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    // Idle connections are closed after the time in the settings.
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(KEEPALIVE_MS.load(Ordering::Relaxed))));
                    let Ok(copy) = stream.try_clone() else { return };
                    let mut read = BufReader::new(copy);
                    let mut write = stream;
                    while let Ok(Some(call)) = read_message(&mut read) {
                        let (status, more, body) = answer(&name, &record, &queries, &all, &work, &call);
                        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\nX-Meter: util:{:.2}\r\n{more}\r\n", body.len(), queries.utilisation());
                        if write.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Node { id: id.into(), address, begun }
    }
}

/// Ends what has not been asked for in 2 s.
fn end_unasked(name: &str, record: &Record, queries: &Queries) {
    let now = Instant::now();
    queries.by_id.lock().unwrap().retain(|id, query| {
        let unasked = !query.ended && now.duration_since(query.asked) > UNASKED;
        if unasked && now < query.ends {
            record.line(format!("node {name}: {id} has not been asked for and ends"));
        }
        // Results are kept for a while.
        !unasked && now.duration_since(query.asked) < Duration::from_secs(10)
    });
}

type NodeAnswer = (&'static str, String, String);

fn answer(
    name: &str,
    record: &Record,
    queries: &Queries,
    all: &Mutex<Vec<Begun>>,
    work: &Work,
    call: &Message,
) -> NodeAnswer {
    let plain = |status| (status, String::new(), String::new());
    let mut words = call.first.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or("").to_string());
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (method, &parts[..]) {
        ("POST", ["x"]) => {
            let Some(id) = call.field("x-ticket") else { return plain("500 No Ticket") };
            let now = Instant::now();
            let begun = Begun {
                node: name.into(),
                id: id.into(),
                class: call.field("x-queue").unwrap_or("").into(),
                key: call.field("x-nonce").map(String::from),
                text: call.body.clone(),
                at: now,
                max_wait: Duration::from_millis(call.field("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0)),
            };
            let takes = work(&begun);
            record.line(format!(
                "node {name}: begins {id} of {} ({} bytes, key {:?}), takes {} ms",
                begun.class, begun.text.len(), begun.key, takes.as_millis()
            ));
            all.lock().unwrap().push(begun);
            let rows = |page: usize| (0..40).map(|row| format!("{row}\t{id}\tpage {page}\n")).collect::<String>();
            // The work on one core: the threads of the class in the settings below, times what it takes.
            let threads = match call.field("x-queue") {
                Some("usage-report") => 4,
                Some("report") => 3,
                Some("load" | "log-load") => 2,
                _ => 1,
            };
            let pages = vec![rows(0), rows(1)];
            let query = Query { ends: now + takes, asked: now, pages, ended: false, began: now, threads };
            queries.by_id.lock().unwrap().insert(id.into(), query);
            news(name, record, queries, id)
        }
        ("GET", ["x", id, "0"]) => news(name, record, queries, id),
        ("GET", ["x", id, number]) => {
            let mut by_id = queries.by_id.lock().unwrap();
            let Some(query) = by_id.get_mut(*id) else { return plain("500 Not Known") };
            query.asked = Instant::now();
            match number.parse().ok().and_then(|at: usize| query.pages.get(at)) {
                Some(page) => ("200 OK", format!("Page-No: {number}\r\n"), page.clone()),
                None => plain("500 No Such Page"),
            }
        }
        ("DELETE", ["x", id]) => {
            if queries.by_id.lock().unwrap().remove(*id).is_some_and(|query| !query.ended) {
                record.line(format!("node {name}: {id} is given up"));
            }
            queries.changed.notify_all();
            plain("204 No Content")
        }
        ("GET", ["ping" | "load"]) => plain("200 OK"),
        _ => plain("500 Not Understood"),
    }
}

/// The end of a query, or after a while that there is none yet.
fn news(name: &str, record: &Record, queries: &Queries, id: &str) -> NodeAnswer {
    let until = Instant::now() + NEWS_WITHIN;
    let mut by_id = queries.by_id.lock().unwrap();
    loop {
        let now = Instant::now();
        let gone = ("500 Not Known", String::new(), String::new());
        let Some(query) = by_id.get_mut(id) else { return gone };
        query.asked = now;
        if now >= query.ends {
            if !std::mem::replace(&mut query.ended, true) {
                record.line(format!("node {name}: {id} has run"));
            }
            let work_ms = (query.ends - query.began).as_millis() * u128::from(query.threads);
            let more = format!("Page-Count: {}\r\nWork-Ms: {work_ms}\r\nPeak-Mb: 32\r\n", query.pages.len());
            return ("200 OK", more, query.pages[0].clone());
        }
        if now >= until {
            let share = (now - query.began).as_secs_f64() / (query.ends - query.began).as_secs_f64();
            return ("202 Accepted", format!("X-Remark: so_far\r\nFigure: {share:.2}\r\n"), String::new());
        }
        let wait = query.ends.min(until) - now;
        by_id = queries.changed.wait_timeout(by_id, wait).unwrap().0;
    }
}

/// Sets how many connections wait to be accepted by a listener.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    use std::os::fd::AsRawFd;
    // Safety: a plain system call on an open descriptor.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

// ---------------------------------------------------------------------------------------------------------------------
// The name service

#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub draining: bool,
    pub started_ms: u64,
}

impl Listed {
    pub fn of(node: &Node, kind: &str) -> Listed {
        Listed {
            id: node.id.clone(),
            zone: "hall-a".into(),
            kind: kind.into(),
            cell: 0,
            address: node.address,
            draining: false,
            started_ms: 0,
        }
    }

    /// As `known` of the configuration has it.
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":{},"phase":"{}","size":1,"up_since_ms":{}}}"#,
            self.id, self.address, self.zone, self.kind, self.cell,
            if self.draining { "draining" } else { "up" }, self.started_ms
        )
    }
}

pub struct Names {
    pub address: SocketAddr,
    list: Arc<Mutex<(u32, Vec<Listed>)>>,
    pub silent: Arc<AtomicBool>,
    pub asked: Arc<AtomicU64>,
}

fn dns_name(out: &mut Vec<u8>, name: &str) {
    for label in name.split('.').filter(|label| !label.is_empty()) {
        out.push(label.len() as u8);
        out.extend(label.as_bytes());
    }
    out.push(0);
}

fn dns_record(out: &mut Vec<u8>, name: &str, kind: u16, data: &[u8]) {
    dns_name(out, name);
    out.extend(kind.to_be_bytes());
    out.extend(1u16.to_be_bytes());
    out.extend(1u32.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

impl Names {
    pub fn start(list: Vec<Listed>) -> Names {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("name service");
        let names = Names {
            address: socket.local_addr().unwrap(),
            list: Arc::new(Mutex::new((1, list))),
            silent: Arc::default(),
            asked: Arc::default(),
        };
        let (list, silent, asked) = (names.list.clone(), names.silent.clone(), names.asked.clone());
        std::thread::spawn(move || {
            let mut bytes = [0; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                asked.fetch_add(1, Ordering::Relaxed);
                if silent.load(Ordering::Relaxed) || length < 12 {
                    continue;
                }
                let (serial, listed) = list.lock().unwrap().clone();
                // The question as it came, without additional records.
                let mut end = 12;
                while end < length && bytes[end] != 0 {
                    end += 1 + bytes[end] as usize;
                }
                let question = &bytes[12..(end + 5).min(length)];
                let service = "_rpc._tcp.mesh.local";
                let mut out = bytes[..2].to_vec();
                out.extend([0x84, 0, 0, 1]);
                out.extend((listed.len() as u16).to_be_bytes());
                out.extend(1u16.to_be_bytes());
                out.extend((2 * listed.len() as u16).to_be_bytes());
                out.extend(question);
                let target = |entry: &Listed| format!("{}.{}.hosts", entry.id, entry.zone);
                for entry in &listed {
                    let mut data = u16::from(entry.draining).to_be_bytes().to_vec();
                    data.extend(10u16.to_be_bytes());
                    data.extend(entry.address.port().to_be_bytes());
                    dns_name(&mut data, &target(entry));
                    dns_record(&mut out, service, 33, &data);
                }
                let mut soa = Vec::new();
                dns_name(&mut soa, "ns.mesh.local");
                dns_name(&mut soa, "admin.mesh.local");
                soa.extend(serial.to_be_bytes());
                [1u32, 1, 1, 1].iter().for_each(|n| soa.extend(n.to_be_bytes()));
                dns_record(&mut out, "mesh.local", 6, &soa);
                for entry in &listed {
                    let std::net::IpAddr::V4(ip) = entry.address.ip() else { continue };
                    dns_record(&mut out, &target(entry), 1, &ip.octets());
                    let mut data = Vec::new();
                    for text in [
                        format!("kind={}", entry.kind),
                        format!("cell={}", entry.cell),
                        format!("started={}", entry.started_ms),
                    ] {
                        data.push(text.len() as u8);
                        data.extend(text.as_bytes());
                    }
                    dns_record(&mut out, &target(entry), 16, &data);
                }
                let _ = socket.send_to(&out, from);
            }
        });
        names
    }

    /// The next event.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        change(&mut list.1);
    }

    /// `known` of the configuration.
    pub fn known(&self) -> String {
        let (serial, list) = self.list.lock().unwrap().clone();
        let members: Vec<String> = list.iter().map(Listed::json).collect();
        format!(
            r#"{{"no":{serial},"items":[{{"no":{serial},"roster":{{"revision":{serial},"complete":true,"members":[{}]}}}}]}}"#,
            members.join(",")
        )
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform

/// The value of a key of the deploy file.
pub fn deploy(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.trim_start().starts_with(&format!("{key} ="))).expect("key of the deploy file");
    line.splitn(2, '"').nth(1).and_then(|rest| rest.rsplit_once('"')).expect("a string").0.to_string()
}

pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, from the root. The shell gives way to the program (`exec`).
    pub fn start(root: &Path, folder: &Path, name: &str, address: SocketAddr, config: &str) -> Gateway {
        Gateway::start_with(root, folder, name, address, config, "")
    }

    /// `more`: further words for the command.
    pub fn start_with(root: &Path, folder: &Path, name: &str, address: SocketAddr, config: &str, more: &str) -> Gateway {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("configuration");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log"))).expect("log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {more}", deploy(root, "run"))).current_dir(root);
        command.env("EDGE_NAME", name).env("EDGE_LISTEN", address.to_string()).env("EDGE_CONFIG", &path);
        command.env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("log")).stderr(log);
        // Safety: one system call; the gateway ends with this process, however that ends (PR_SET_PDEATHSIG).
        unsafe { command.pre_exec(|| { prctl(1, SIGKILL as u64, 0, 0, 0); Ok(()) }) };
        Gateway { child: command.spawn().expect("gateway"), address }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether `GET /status/live` is answered 200 within 30 s.
    pub fn is_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until && self.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            if let Ok(mut stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /status/live HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                if read_message(&mut BufReader::new(&stream)).is_ok_and(|m| m.is_some_and(|m| m.status() == 200)) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, number: i32) {
        signal(self.pid(), number);
    }

    /// Resident memory in bytes, and none once the process has ended.
    pub fn memory(pid: u32) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
        (pages > 0).then_some(pages * 4096)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// A usual client

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Served,
    Refused,
    Failed(u16),
    /// The gateway could not be reached: nothing was taken.
    Unreachable,
    /// The request was written whole, and there was no final answer.
    Lost(String),
}

pub struct Request<'a> {
    pub id: String,
    pub class: &'a str,
    pub org: &'a str,
    pub key: Option<&'a str>,
    pub deadline: Duration,
    pub text: &'a [u8],
}

fn call(
    stream: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    bytes: &[u8],
    until: Instant,
) -> Result<Message, (bool, String)> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err((true, "no answer in time".into()));
    }
    if stream.is_none() {
        let new = TcpStream::connect_timeout(&address, left).map_err(|e| (false, format!("connect: {e}")))?;
        let _ = new.set_nodelay(true);
        *stream = Some(BufReader::new(new));
    }
    let Some(read) = stream.as_mut() else { return Err((false, String::new())) };
    let result = (|| {
        let _ = read.get_ref().set_read_timeout(Some(left));
        read.get_ref().write_all(bytes).map_err(|e| (false, format!("write: {e}")))?;
        match read_message(read) {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err((true, "the connection was closed with no answer".to_string())),
            Err(e) => Err((true, format!("no answer: {e}"))),
        }
    })();
    if result.as_ref().map_or(true, |answer| answer.field("connection") == Some("close")) {
        *stream = None;
    }
    result
}

/// Sends a statement and follows its links, as the protocol page has clients do.
pub fn send(record: &Record, stream: &mut Option<BufReader<TcpStream>>, address: SocketAddr, request: &Request) -> Outcome {
    let Request { id, class, org, key, deadline, text } = request;
    // Half a second after its time an answer only earns nothing.
    let until = Instant::now() + *deadline + Duration::from_millis(500);
    let key = key.map(|key| format!("X-Operation-Key: {key}\r\n")).unwrap_or_default();
    let head = format!(
        "POST /svc/{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Org: {org}\r\n{key}Content-Length: {}\r\n\r\n",
        deadline.as_millis(), text.len()
    );
    record.line(format!("client: sends {id} of {class}"));
    let (reused, sent) = (stream.is_some(), Instant::now());
    let mut answer = call(stream, address, &[head.as_bytes(), text].concat(), until);
    // A request that crosses the close of a resting connection within 50 ms is sent again on a new one, once.
    if reused && answer.is_err() && sent.elapsed() < Duration::from_millis(50) {
        record.line(format!("client: sends {id} again, its connection was closed"));
        *stream = None;
        answer = call(stream, address, &[head.as_bytes(), text].concat(), until);
    }
    let mut pushback = 0;
    let mut rows = false;
    let outcome = loop {
        let message = match answer {
            Ok(message) => message,
            Err((true, why)) => break Outcome::Lost(why),
            Err((false, _)) => break Outcome::Unreachable,
        };
        let body = String::from_utf8_lossy(&message.body).into_owned();
        rows |= body.contains("\"values\"");
        if message.status() != 200 || body.contains("\"abort\"") {
            pushback = message.field("x-pushback-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            let busy = matches!(message.status(), 429 | 503) || body.contains("\"abort\":\"Busy\"");
            break if busy && !rows { Outcome::Refused } else { Outcome::Failed(message.status()) };
        }
        let Some(link) = body.split("\"link\":\"").nth(1).and_then(|rest| rest.split('"').next()) else { break Outcome::Served };
        let get = format!("GET {link} HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        answer = call(stream, address, get.as_bytes(), until);
        for _ in 0..3 {
            if answer.is_ok() || Instant::now() >= until {
                break;
            }
            *stream = None;
            answer = call(stream, address, get.as_bytes(), until);
        }
        if let Err((_, why)) = answer {
            answer = Err((true, why));
        }
    };
    record.line(format!("client: {id} ends: {outcome:?}"));
    // It stays away for as long as a refusal tells it to.
    if outcome == Outcome::Refused {
        std::thread::sleep(Duration::from_millis(pushback.min(2000)));
    }
    outcome
}

/// Closes a connection in the ordinary way.
pub fn close(stream: &mut Option<BufReader<TcpStream>>) {
    if let Some(stream) = stream.take() {
        let _ = stream.get_ref().shutdown(Shutdown::Both);
    }
}

/// 16 hex digits, new with each call.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (unix_ms() << 20).wrapping_add(n))
}

/// The settings of a small deployment after the operators' page on `ntmc-main`.
pub fn ntmc_settings(gateways: usize, rank: usize) -> String {
    format!(
        r#"{{"allowed":{{"cpuUsPerRequest":0.0,"cpuUsPerS":106666,"dialTimeoutUs":250000,"keepaliveUs":15000000,"maxOpen":26666,"maxRetryAfterUs":2000000,"maxStreams":100,"mayCancel":true,"mayProbe":true,"peers":false,"retryAfter":true,"secondCopies":true,"tryLimit":5}},
"balancers":{gateways},"callers":{{"marksRetry":false}},"discovery":"pushed",
"domain":{{"blockedByLoads":[true,true,false],"classLoad":[false,false,true],"classThreads":[1,3,2],"kindMemoryMb":[24576.0,16384.0],"lanesCount":false,"maxGrantShare":0.4,"notePeriodUs":500000,"outOfMemory":"cut","reportX0":"share of memory granted","reportX1":"share of disks busy","sizeCores":[12,8],"takesGrants":true,"tellsCost":true}},
"kinds":["std-12","std-8"],"overShareWorth":0.2,"prices":{{"crossZone":0.054,"probe":0.012,"waste":0.03}},
"profiles":[{{"aimStretch":2.0,"deadlineUs":2000000,"effect":"read_like","gain":1.0,"group":"all","lateValue":0.1,"memorySpanUs":5000000,"name":"lookup","promiseUs":400000,"streamed":false}},
{{"aimStretch":2.5,"deadlineUs":25000000,"effect":"read_like","gain":15.0,"group":"all","lateValue":0.4,"memorySpanUs":5000000,"name":"report","promiseUs":2000000,"servedOn":["std-12"],"streamed":false}},
{{"aimStretch":3.0,"deadlineUs":25000000,"effect":"idempotency_key","gain":15.0,"group":"all","lateValue":0.5,"memorySpanUs":15000000,"name":"load","promiseUs":4000000,"streamed":false}}],
"rank":{rank},"report":{{"names":["cpu_share"],"via":"inline"}},
"rules":{{"answerSlackUs":20000,"askEveryUs":10000000,"coldUs":15000000,"fallMultiple":2.0,"startCapacity":0.32,"stopSendingWithinUs":250000,"tipAfterUs":2000000}},
"serviceType":"queries",
"tenants":[{{"allowancePerS":77.0,"name":"gatepath","portion":0.6}},{{"allowancePerS":29.0,"name":"skyhall-maps","portion":0.23}},{{"allowancePerS":22.0,"name":"concourse-ng","portion":0.17}}],
"tickUs":5000,"tier":0,"tiers":["query-fleet"],"weights":"rough","worthBy":"request","zone":"hall-a","zones":["hall-a"]}}"#
    )
}

/// The configuration that the platform gives a gateway.
pub fn config(name: &str, address: SocketAddr, memory_mb: u64, sockets: u64, names: &Names, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{address}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"names":"{}","known":{},"settings":{settings}}}"#,
        unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15), names.address, names.known()
    )
}

/// The root of the repository and the folder of a case: the first two words of the command line.
pub fn places() -> (PathBuf, PathBuf) {
    let mut words = std::env::args_os().skip(1);
    (words.next().expect("root").into(), words.next().expect("folder of the case").into())
}

/// Runs a case: exit code 2 where it fails itself, or lasts too long. What it started ends with it (PR_SET_PDEATHSIG).
pub fn run(case: fn() -> std::process::ExitCode) -> std::process::ExitCode {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        eprintln!("the case lasts too long: it couldn't run");
        std::process::exit(2);
    });
    std::panic::catch_unwind(case).unwrap_or(std::process::ExitCode::from(2))
}
