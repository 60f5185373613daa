//! A simulated engine: it runs each statement for a random time, can misbehave, drain and end, and records
//! every statement that arrived and how it ended.

use bramblewharf_standins::read_message;
use nanorand::{Rng, WyRand};
use std::collections::HashMap;
use std::io::{self, BufRead as _, BufReader, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A poll for a result is answered after this time even if the statement still runs.
const LONG_POLL_TIME: Duration = Duration::from_millis(250);
/// A statement that nobody polled for this long ends by itself.
const ORPHAN_RETENTION: Duration = Duration::from_secs(2);
/// A draining engine accepts statements for this long and then rejects them.
const REJECTS_AFTER: Duration = Duration::from_secs(2);
/// Interval at which waiting calls check the state of the engine.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay after a pause of the engine until it reads statements; other calls are read at once.
const STATEMENT_READ_DELAY: Duration = Duration::from_millis(100);

/// How an engine misbehaves; the names are printed in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It works normally.
    Well,
    /// It reads calls and never answers.
    Hangs,
    /// It rejects every statement.
    Full,
    /// Every statement fails.
    Fails,
    /// It resets the connection once it has read a statement; the statement runs all the same.
    Resets,
    /// Each statement takes longer by this.
    Slow(Duration),
    /// It reads statements late by this; other calls are read at once.
    ReadsLate(Duration),
    /// The process is paused: nothing is read until the fault ends, and then statements after all other
    /// calls.
    Stopped,
}

/// How a statement ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Completed,
    TurnedAway,
    Failed,
    GivenUp,
}

/// A statement that arrived at an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub engine: String,
    /// When its first byte arrived.
    pub received_at: Instant,
    /// When the engine read it.
    pub read_at: Instant,
    pub id: String,
    pub max_ms: u64,
    pub body: Vec<u8>,
    pub ended: Option<(Instant, Ended)>,
}

struct RunningStatement {
    arrival_index: usize,
    finishes_at: Instant,
    last_polled: Instant,
    cancelled: bool,
}

struct State {
    mode: Mode,
    draining_since: Option<Instant>,
    arrivals: Vec<Arrival>,
    running: HashMap<String, RunningStatement>,
    connections: Vec<TcpStream>,
    rng: WyRand,
}

/// An engine with a listener on loopback.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    shutdown: Arc<AtomicBool>,
}

struct Response {
    status: u16,
    headers: String,
    body: Vec<u8>,
}

impl Response {
    fn new(status: u16, headers: &str) -> Response {
        Response { status, headers: headers.into(), body: Vec::new() }
    }
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn start(id: &str, seed: u64) -> io::Result<Engine> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Well,
            draining_since: None,
            arrivals: Vec::new(),
            running: HashMap::new(),
            connections: Vec::new(),
            rng: WyRand::new_seed(seed),
        }));
        let shutdown = Arc::new(AtomicBool::new(false));
        let engine = Engine { id: id.into(), address, state, shutdown };
        let (id, state, shutdown) = (engine.id.clone(), engine.state.clone(), engine.shutdown.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shutdown.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    lock(&state).connections.push(stream);
                }
                let (id, state, shutdown) = (id.clone(), state.clone(), shutdown.clone());
                std::thread::spawn(move || serve(&id, &stream, &state, &shutdown));
            }
        });
        Ok(engine)
    }

    /// Sets how the engine behaves from now on.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.state).mode = mode;
    }

    /// Starts to drain the engine.
    pub fn drain(&self) {
        lock(&self.state).draining_since.get_or_insert_with(Instant::now);
    }

    /// Ends the engine: open connections are closed and new ones are refused.
    pub fn shut_down(&self) {
        if self.shutdown.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect(self.address);
        let connections = std::mem::take(&mut lock(&self.state).connections);
        connections.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Every statement that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("state")
}

fn serve(engine: &str, stream: &TcpStream, state: &Mutex<State>, shutdown: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut read = BufReader::new(read);
    loop {
        let is_statement = match read.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => bytes.starts_with(b"POST"),
            _ => return,
        };
        let received_at = Instant::now();
        wait_to_read(is_statement, received_at, state);
        // An engine that has ended reads nothing.
        if shutdown.load(Ordering::SeqCst) {
            return;
        }
        let read_at = Instant::now();
        let Some((first, headers, body)) = read_message(&mut read) else { return };
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let response = if method == "POST" {
            let id = headers.get("x-ticket").cloned().unwrap_or_default();
            let max_ms = headers.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
            let arrival =
                Arrival { engine: engine.into(), received_at, read_at, id, max_ms, body, ended: None };
            match start_statement(state, arrival) {
                StartResult::Respond(response) => Some(response),
                StartResult::Running(id) => poll_result(engine, &id, 0, state),
                StartResult::Reset => {
                    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        } else {
            let mut parts = path.split('/').skip(2);
            let id = parts.next().unwrap_or_default().to_string();
            let page = parts.next().and_then(|page| page.parse().ok()).unwrap_or(0);
            match method {
                "DELETE" => cancel(&id, state),
                _ => poll_result(engine, &id, page, state),
            }
        };
        let Some(response) = response else {
            // The engine hangs: it keeps the connection until the gateway closes it.
            let _ = read.read_until(0, &mut Vec::new());
            return;
        };
        let Response { status, headers, body } = response;
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
        let mut write = stream;
        if write.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

/// Waits until the engine reads a call that has arrived.
fn wait_to_read(is_statement: bool, received_at: Instant, state: &Mutex<State>) {
    let mut was_paused = false;
    loop {
        let mode = lock(state).mode;
        match mode {
            Mode::Stopped => was_paused = true,
            Mode::ReadsLate(by) if is_statement && received_at.elapsed() < by => {}
            _ => break,
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    if was_paused && is_statement {
        std::thread::sleep(STATEMENT_READ_DELAY);
    }
}

/// What the engine does with a new statement.
enum StartResult {
    Respond(Response),
    Running(String),
    Reset,
}

fn start_statement(state: &Mutex<State>, mut arrival: Arrival) -> StartResult {
    let mut state = lock(state);
    let rejects = state.draining_since.is_some_and(|since| since.elapsed() >= REJECTS_AFTER);
    let now = Instant::now();
    if rejects || state.mode == Mode::Full {
        arrival.ended = Some((now, Ended::TurnedAway));
        state.arrivals.push(arrival);
        return StartResult::Respond(Response::new(503, "X-Shed: 1\r\n"));
    }
    if state.mode == Mode::Fails {
        arrival.ended = Some((now, Ended::Failed));
        state.arrivals.push(arrival);
        return StartResult::Respond(Response::new(500, ""));
    }
    let mut duration = match state.rng.generate_range(0..20u32) {
        0 => Duration::from_millis(state.rng.generate_range(300..1200)),
        _ => Duration::from_millis(state.rng.generate_range(1..40)),
    };
    if let Mode::Slow(by) = state.mode {
        duration += by;
    }
    let (id, index) = (arrival.id.clone(), state.arrivals.len());
    state.arrivals.push(arrival);
    let statement = RunningStatement {
        arrival_index: index,
        finishes_at: now + duration,
        last_polled: now,
        cancelled: false,
    };
    state.running.insert(id.clone(), statement);
    match state.mode {
        Mode::Resets => StartResult::Reset,
        _ => StartResult::Running(id),
    }
}

fn cancel(id: &str, state: &Mutex<State>) -> Option<Response> {
    let mut state = lock(state);
    if state.mode == Mode::Hangs {
        return None;
    }
    let State { running, arrivals, .. } = &mut *state;
    if let Some(statement) = running.get_mut(id) {
        statement.cancelled = true;
        let ended = &mut arrivals[statement.arrival_index].ended;
        *ended = ended.or(Some((Instant::now().min(statement.finishes_at), Ended::GivenUp)));
    }
    Some(Response::new(204, ""))
}

/// The result of a statement, or `202` if it still runs after the poll time; `None` while the engine hangs.
fn poll_result(engine: &str, id: &str, page: usize, state: &Mutex<State>) -> Option<Response> {
    let poll_until = Instant::now() + LONG_POLL_TIME;
    loop {
        let now = Instant::now();
        {
            let mut state = lock(state);
            if state.mode == Mode::Hangs {
                return None;
            }
            let State { running, arrivals, .. } = &mut *state;
            let Some(statement) = running.get_mut(id) else { return Some(Response::new(500, "")) };
            let ended = &mut arrivals[statement.arrival_index].ended;
            if statement.cancelled
                || (now > statement.last_polled + ORPHAN_RETENTION && now < statement.finishes_at)
            {
                *ended = ended.or(Some((statement.last_polled + ORPHAN_RETENTION, Ended::GivenUp)));
                return Some(Response::new(500, ""));
            }
            statement.last_polled = now;
            if now >= statement.finishes_at {
                *ended = ended.or(Some((statement.finishes_at, Ended::Completed)));
                let headers =
                    if page == 0 { "Page-Count: 2\r\n".into() } else { format!("Page-No: {page}\r\n") };
                let body = format!("{id}\t{engine}\t{page}\n").into_bytes();
                return Some(Response { status: 200, headers, body });
            }
        }
        if now >= poll_until {
            return Some(Response::new(202, ""));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
