//! Clients of the fleet under test. Each keeps one connection, asks on it for as long as it is open, comes back for answers that take
//! long, and sometimes leaves; what it sent, when, and what came of it is on record.

use super::gateways::{Gateway, Phase};
use bramblewharf_standins::read_message;
use nanorand::{Rng, WyRand};
use serde_json::Value;
use std::io::{BufRead as _, BufReader, ErrorKind, Write as _};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A final answer counts up to so long after the client's time.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A client makes a call again whose connection ended without an answer, so often.
const CALLS_AGAIN: usize = 3;
/// A new connection is made within this of SIGTERM, and not later: the platform sends none then.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(300);

/// A workload of the settings, as clients use it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub deadline: Duration,
    pub effect: &'static str,
    pub repeatable: bool,
}

pub const CLASSES: [Class; 4] = [
    Class { name: "lookup", deadline: Duration::from_millis(800), effect: "read_like", repeatable: true },
    Class { name: "report", deadline: Duration::from_millis(2500), effect: "read_like", repeatable: true },
    Class {
        name: "once",
        deadline: Duration::from_millis(3000),
        effect: "non_idempotent",
        repeatable: false,
    },
    Class {
        name: "load",
        deadline: Duration::from_millis(2000),
        effect: "idempotency_key",
        repeatable: true,
    },
];

#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// All rows of the result, from one engine, in order.
    Served,
    /// A final answer that claims a result which no engine made for it.
    WrongRows(String),
    Refused,
    Failed,
    /// The client closed or cancelled.
    Left,
    /// No connection was made, or none may be made now: nothing was sent.
    NotSent,
    /// The connection ended, or the time did, with no whole answer. With how long after the last byte was sent.
    NoAnswer {
        connection_ended: bool,
        after: Duration,
    },
}

/// One request, from its last byte on.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub gateway: usize,
    pub class: usize,
    pub body: String,
    /// Not the first on its connection.
    pub reused: bool,
    pub sent: Instant,
    /// When the client had closed or cancelled.
    pub left: Option<Instant>,
    pub ended: Instant,
    pub end: End,
}

pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Request>>>,
}

impl Clients {
    /// So many clients of a gateway, each with a request every `every` on average.
    pub fn start(
        gateway: &Gateway,
        many: usize,
        every: Duration,
        seed: u64,
        ids: &Arc<AtomicU64>,
    ) -> Clients {
        let over = Arc::new(AtomicBool::new(false));
        let threads = (0..many as u64).map(|number| {
            let mut client = Client {
                number: gateway.number,
                address: gateway.address,
                phase: gateway.phase.clone(),
                rng: WyRand::new_seed(seed.wrapping_mul(1009).wrapping_add(number)),
                connection: None,
                ids: ids.clone(),
                records: Vec::new(),
            };
            let over = over.clone();
            std::thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let pause = client.rng.generate_range(0..=2 * every.as_micros() as u64);
                    std::thread::sleep(Duration::from_micros(pause));
                    client.request();
                }
                client.records
            })
        });
        let threads = threads.collect();
        Clients { over, threads }
    }

    /// Ends them, each with its last request, and hands over their records.
    pub fn finish(self) -> Vec<Request> {
        self.over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client")).collect()
    }
}

struct Client {
    number: usize,
    address: std::net::SocketAddr,
    phase: Arc<Mutex<Phase>>,
    rng: WyRand,
    connection: Option<BufReader<TcpStream>>,
    ids: Arc<AtomicU64>,
    records: Vec<Request>,
}

/// What one call came to.
enum Call {
    Answer(u16, Value),
    Ended,
    TimeOver,
}

impl Client {
    /// Whether the platform would make new connections to the gateway now.
    fn may_connect(&self) -> bool {
        match *self.phase.lock().expect("phase") {
            Phase::Serves => true,
            Phase::Terminates(since) => since.elapsed() < CONNECTS_AFTER_TERM,
            Phase::Down => false,
        }
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }

    fn request(&mut self) {
        let class = self.rng.generate_range(0..10usize);
        let class = [0, 0, 0, 0, 0, 0, 1, 1, 2, 3][class];
        let reused = self.connection.is_some();
        let connection = match self.connection.take() {
            Some(connection) => Some(connection),
            None if self.may_connect() => self.connect(),
            None => None,
        };
        let Some(mut connection) = connection else { return };
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let body = format!("SELECT note FROM sales_{}.orders WHERE id = '{id}'", number % 7);
        let Class { name, deadline, .. } = CLASSES[class];
        let call = format!(
            "POST /svc/{name} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Org: acme\r\n\
             X-Operation-Key: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len()
        );
        let written = connection.get_mut().write_all(call.as_bytes());
        let sent = Instant::now();
        let mut record = Request {
            id,
            gateway: self.number,
            class,
            body,
            reused,
            sent,
            left: None,
            ended: sent,
            end: End::NotSent,
        };
        if written.is_ok() {
            record.end = self.follow(&mut record, connection);
        } else if reused {
            record.end = End::NoAnswer { connection_ended: true, after: Duration::ZERO };
        }
        record.ended = Instant::now();
        self.records.push(record);
    }

    /// Reads answers and comes back for more until the last one, or leaves.
    fn follow(&mut self, record: &mut Request, mut connection: BufReader<TcpStream>) -> End {
        let deadline = record.sent + CLASSES[record.class].deadline;
        let leaves = (self.rng.generate_range(0..100u32) < 5)
            .then(|| record.sent + Duration::from_millis(self.rng.generate_range(0..400)));
        let until = leaves.unwrap_or(deadline + ANSWER_SLACK).min(deadline + ANSWER_SLACK);
        let (mut link, mut again): (Option<String>, usize) = (None, 0);
        loop {
            match read(&mut connection, until) {
                Call::Answer(status, answer) => {
                    if let Some(next) = answer["link"].as_str() {
                        link = Some(next.to_string());
                        if ask(&mut connection, "GET", next) {
                            continue;
                        }
                    } else {
                        self.connection = Some(connection);
                        return judged(status, &answer, &record.id);
                    }
                }
                Call::TimeOver if leaves.is_some() => {
                    self.leave(connection, link.as_deref());
                    record.left = Some(Instant::now());
                    return End::Left;
                }
                Call::TimeOver => {
                    return End::NoAnswer { connection_ended: false, after: record.sent.elapsed() };
                }
                Call::Ended => {}
            }
            // The connection has ended: with a path the call is made again on a new one, at once.
            let ended = End::NoAnswer { connection_ended: true, after: record.sent.elapsed() };
            let Some(path) = link.as_deref() else { return ended };
            let made = loop {
                if again == CALLS_AGAIN || Instant::now() > until {
                    return ended;
                }
                again += 1;
                if let Some(mut made) = self.connect() {
                    if ask(&mut made, "GET", path) {
                        break made;
                    }
                }
            };
            connection = made;
        }
    }

    /// Cancels by the last path on a new connection, or closes the connection.
    fn leave(&self, connection: BufReader<TcpStream>, link: Option<&str>) {
        let cancelled = link.is_some_and(|path| {
            let Some(mut other) = self.connect() else { return false };
            let soon = Instant::now() + Duration::from_millis(500);
            ask(&mut other, "DELETE", path) && matches!(read(&mut other, soon), Call::Answer(..))
        });
        if !cancelled {
            let _ = connection.get_ref().shutdown(Shutdown::Both);
        }
    }
}

fn ask(connection: &mut BufReader<TcpStream>, method: &str, path: &str) -> bool {
    let call = format!("{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    connection.get_mut().write_all(call.as_bytes()).is_ok()
}

fn read(connection: &mut BufReader<TcpStream>, until: Instant) -> Call {
    // A read may time out some milliseconds early: that is no end of the connection.
    loop {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        if connection.get_ref().set_read_timeout(Some(left)).is_err() {
            return Call::Ended;
        }
        match connection.fill_buf() {
            Ok([]) => return Call::Ended,
            Ok(_) => break,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Call::Ended,
            Err(_) if Instant::now() >= until => return Call::TimeOver,
            Err(_) => {}
        }
    }
    let Some((first, _, body)) = read_message(connection) else {
        return if Instant::now() >= until { Call::TimeOver } else { Call::Ended };
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Call::Answer(status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn judged(status: u16, answer: &Value, id: &str) -> End {
    if status == 429 || status == 503 || answer["abort"] == "Busy" {
        return End::Refused;
    }
    let Some(rows) = answer["values"].as_array().filter(|_| status == 200) else { return End::Failed };
    let engine = &rows.first().map_or(Value::Null, |row| row[1].clone());
    let is_page = |row: &Value, page: usize| row[2].as_str().and_then(|text| text.parse().ok()) == Some(page);
    let whole = rows.len() == 2
        && rows.iter().enumerate().all(|(page, row)| row[0] == id && row[1] == *engine && is_page(row, page));
    if whole {
        End::Served
    } else {
        End::WrongRows(answer.to_string())
    }
}
