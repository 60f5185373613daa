//! Clients of the fleet under test. Each keeps one connection, sends requests on it while it is open, polls
//! for results that take long, and sometimes disconnects early; every request is recorded with its times and
//! outcome.

use super::gateways::{Gateway, Phase};
use bramblewharf_standins::read_message;
use nanorand::{Rng, WyRand};
use serde_json::Value;
use std::io::{BufRead as _, BufReader, ErrorKind, Write as _};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A final answer counts as in time until this long after the client's deadline.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How often a client repeats a poll whose connection closed without an answer.
const MAX_RETRIES: usize = 3;
/// Clients make new connections to a gateway for this long after SIGTERM; the platform routes none to it
/// later.
const CONNECT_WINDOW_AFTER_TERM: Duration = Duration::from_millis(300);

/// A workload of the settings, as clients use it.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub deadline: Duration,
    pub effect: &'static str,
    pub repeatable: bool,
}

/// The workloads of the settings.
pub const WORKLOADS: [Workload; 4] = [
    Workload { name: "lookup", deadline: Duration::from_millis(800), effect: "read_like", repeatable: true },
    Workload { name: "report", deadline: Duration::from_millis(2500), effect: "read_like", repeatable: true },
    Workload {
        name: "once",
        deadline: Duration::from_millis(3000),
        effect: "non_idempotent",
        repeatable: false,
    },
    Workload {
        name: "load",
        deadline: Duration::from_millis(2000),
        effect: "idempotency_key",
        repeatable: true,
    },
];

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The client received all rows of the result, from one engine, in order.
    Served,
    /// The final answer holds a result that no engine produced for the request.
    WrongRows(String),
    Refused,
    Failed,
    /// The client closed its connection or cancelled.
    Disconnected,
    /// Nothing was sent: the write to a new connection failed.
    NotSent,
    /// The connection closed or the time ran out before a complete answer, `after` this time since the last
    /// byte was sent.
    NoAnswer {
        connection_ended: bool,
        after: Duration,
    },
}

/// The record of one request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub gateway: usize,
    pub workload: usize,
    pub body: String,
    /// It was not the first request on its connection.
    pub reused_connection: bool,
    /// When its last byte was sent.
    pub sent_at: Instant,
    /// When the client had closed its connection or cancelled.
    pub disconnected_at: Option<Instant>,
    pub ended_at: Instant,
    pub outcome: RequestOutcome,
}

/// Running clients of one gateway.
pub struct Clients {
    shutdown: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Request>>>,
}

/// The share of requests, in percent, whose clients usually disconnect before the answer.
pub const USUAL_DISCONNECT_PERCENT: u32 = 5;

/// How the clients of a gateway behave.
#[derive(Clone, Copy, Debug)]
pub struct ClientBehavior {
    pub count: usize,
    /// The average time between two requests of a client.
    pub mean_interval: Duration,
    /// The share of requests, in percent, whose clients disconnect before the answer.
    pub disconnect_percent: u32,
}

impl Clients {
    /// Starts clients of a gateway.
    pub fn start(
        gateway: &Gateway,
        behavior: ClientBehavior,
        seed: u64,
        next_request_id: &Arc<AtomicU64>,
    ) -> Clients {
        let ClientBehavior { count, mean_interval, disconnect_percent } = behavior;
        let shutdown = Arc::new(AtomicBool::new(false));
        let threads = (0..count as u64).map(|number| {
            let mut client = Client {
                number: gateway.number,
                address: gateway.address,
                phase: gateway.phase.clone(),
                disconnect_percent,
                rng: WyRand::new_seed(seed.wrapping_mul(1009).wrapping_add(number)),
                connection: None,
                next_request_id: next_request_id.clone(),
                records: Vec::new(),
            };
            let shutdown = shutdown.clone();
            std::thread::spawn(move || {
                while !shutdown.load(Ordering::Relaxed) {
                    let pause = client.rng.generate_range(0..=2 * mean_interval.as_micros() as u64);
                    std::thread::sleep(Duration::from_micros(pause));
                    client.send_next_request();
                }
                client.records
            })
        });
        let threads = threads.collect();
        Clients { shutdown, threads }
    }

    /// Lets each client finish its current request, ends them and returns their records.
    pub fn finish(self) -> Vec<Request> {
        self.shutdown.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client")).collect()
    }
}

struct Client {
    number: usize,
    address: std::net::SocketAddr,
    phase: Arc<Mutex<Phase>>,
    disconnect_percent: u32,
    rng: WyRand,
    connection: Option<BufReader<TcpStream>>,
    next_request_id: Arc<AtomicU64>,
    records: Vec<Request>,
}

/// What a client received for one call.
enum Reply {
    Answer(u16, Value),
    ConnectionClosed,
    TimedOut,
}

impl Client {
    /// Whether the platform would route new connections to the gateway now.
    fn may_connect(&self) -> bool {
        match *self.phase.lock().expect("phase") {
            Phase::Serving => true,
            Phase::Terminating(since) => since.elapsed() < CONNECT_WINDOW_AFTER_TERM,
            Phase::Down => false,
        }
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(BufReader::new(stream))
    }

    fn send_next_request(&mut self) {
        let workload = self.rng.generate_range(0..10usize);
        let workload = [0, 0, 0, 0, 0, 0, 1, 1, 2, 3][workload];
        let reused = self.connection.is_some();
        let connection = match self.connection.take() {
            Some(connection) => Some(connection),
            None if self.may_connect() => self.connect(),
            None => None,
        };
        let Some(mut connection) = connection else { return };
        let number = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let body = format!("SELECT note FROM sales_{}.orders WHERE id = '{id}'", number % 7);
        let Workload { name, deadline, .. } = WORKLOADS[workload];
        let call = format!(
            "POST /svc/{name} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Org: acme\r\n\
             X-Operation-Key: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len()
        );
        let written = connection.get_mut().write_all(call.as_bytes());
        let sent_at = Instant::now();
        let mut record = Request {
            id,
            gateway: self.number,
            workload,
            body,
            reused_connection: reused,
            sent_at,
            disconnected_at: None,
            ended_at: sent_at,
            outcome: RequestOutcome::NotSent,
        };
        if written.is_ok() {
            record.outcome = self.await_result(&mut record, connection);
        } else if reused {
            record.outcome = RequestOutcome::NoAnswer { connection_ended: true, after: Duration::ZERO };
        }
        record.ended_at = Instant::now();
        self.records.push(record);
    }

    /// Reads answers and polls until the final one, or disconnects early.
    fn await_result(&mut self, record: &mut Request, mut connection: BufReader<TcpStream>) -> RequestOutcome {
        let deadline = record.sent_at + WORKLOADS[record.workload].deadline;
        let disconnects_at = (self.rng.generate_range(0..100u32) < self.disconnect_percent)
            .then(|| record.sent_at + Duration::from_millis(self.rng.generate_range(0..400)));
        let until = disconnects_at.unwrap_or(deadline + ANSWER_SLACK).min(deadline + ANSWER_SLACK);
        let (mut poll_path, mut retries): (Option<String>, usize) = (None, 0);
        loop {
            match read_reply(&mut connection, until) {
                Reply::Answer(status, answer) => {
                    if let Some(next) = answer["link"].as_str() {
                        poll_path = Some(next.to_string());
                        if send_request(&mut connection, "GET", next) {
                            continue;
                        }
                    } else {
                        self.connection = Some(connection);
                        return classify(status, &answer, &record.id);
                    }
                }
                Reply::TimedOut if disconnects_at.is_some() => {
                    self.disconnect(connection, poll_path.as_deref());
                    record.disconnected_at = Some(Instant::now());
                    return RequestOutcome::Disconnected;
                }
                Reply::TimedOut => {
                    return RequestOutcome::NoAnswer {
                        connection_ended: false,
                        after: record.sent_at.elapsed(),
                    };
                }
                Reply::ConnectionClosed => {}
            }
            // The connection closed: if there is a path to poll, the client polls at once on a new
            // connection.
            let ended = RequestOutcome::NoAnswer { connection_ended: true, after: record.sent_at.elapsed() };
            let Some(path) = poll_path.as_deref() else { return ended };
            let reconnected = loop {
                if retries == MAX_RETRIES || Instant::now() > until {
                    return ended;
                }
                retries += 1;
                if let Some(mut reconnected) = self.connect() {
                    if send_request(&mut reconnected, "GET", path) {
                        break reconnected;
                    }
                }
            };
            connection = reconnected;
        }
    }

    /// Cancels by the last poll path on a new connection, or closes the connection.
    fn disconnect(&self, connection: BufReader<TcpStream>, poll_path: Option<&str>) {
        let cancelled = poll_path.is_some_and(|path| {
            let Some(mut other) = self.connect() else { return false };
            let soon = Instant::now() + Duration::from_millis(500);
            send_request(&mut other, "DELETE", path)
                && matches!(read_reply(&mut other, soon), Reply::Answer(..))
        });
        if !cancelled {
            let _ = connection.get_ref().shutdown(Shutdown::Both);
        }
    }
}

fn send_request(connection: &mut BufReader<TcpStream>, method: &str, path: &str) -> bool {
    let call = format!("{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    connection.get_mut().write_all(call.as_bytes()).is_ok()
}

fn read_reply(connection: &mut BufReader<TcpStream>, until: Instant) -> Reply {
    // A read may time out a few milliseconds early; the connection is still open then.
    loop {
        let remaining = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        if connection.get_ref().set_read_timeout(Some(remaining)).is_err() {
            return Reply::ConnectionClosed;
        }
        match connection.fill_buf() {
            Ok([]) => return Reply::ConnectionClosed,
            Ok(_) => break,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Reply::ConnectionClosed
            }
            Err(_) if Instant::now() >= until => return Reply::TimedOut,
            Err(_) => {}
        }
    }
    let Some((first, _, body)) = read_message(connection) else {
        return if Instant::now() >= until { Reply::TimedOut } else { Reply::ConnectionClosed };
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Reply::Answer(status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn classify(status: u16, answer: &Value, id: &str) -> RequestOutcome {
    if status == 429 || status == 503 || answer["abort"] == "Busy" {
        return RequestOutcome::Refused;
    }
    let Some(rows) = answer["values"].as_array().filter(|_| status == 200) else {
        return RequestOutcome::Failed;
    };
    let engine = &rows.first().map_or(Value::Null, |row| row[1].clone());
    let is_page = |row: &Value, page: usize| row[2].as_str().and_then(|text| text.parse().ok()) == Some(page);
    let complete = rows.len() == 2
        && rows.iter().enumerate().all(|(page, row)| row[0] == id && row[1] == *engine && is_page(row, page));
    if complete {
        RequestOutcome::Served
    } else {
        RequestOutcome::WrongRows(answer.to_string())
    }
}
