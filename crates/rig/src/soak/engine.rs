//! An engine of the fleet under test: it works for a time on each statement, can be put to faults, drain and end, and keeps a
//! record of every statement that arrived, with how that ended here.

use bramblewharf_standins::read_message;
use nanorand::{Rng, WyRand};
use std::collections::HashMap;
use std::io::{self, BufRead as _, BufReader, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// An engine answers within this, if only that there is no news.
const NEWS: Duration = Duration::from_millis(250);
/// What nobody has asked for in this time ends by itself.
const FORGOTTEN: Duration = Duration::from_secs(2);
/// An engine that drains still works on what comes for so long, and turns it away after that.
const TURNS_AWAY_AFTER: Duration = Duration::from_secs(2);
/// How often work that runs looks whether it was given up.
const STEP: Duration = Duration::from_millis(5);
/// An engine that was stopped reads statements so long after all other calls.
const STATEMENTS_LAST: Duration = Duration::from_millis(100);

/// What is wrong with an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Well,
    /// It reads and never answers.
    Hangs,
    Full,
    Fails,
    /// The connection is reset when a statement has been read; the statement runs all the same.
    Resets,
    /// Everything takes longer by this.
    Slow(Duration),
    /// A statement waits in its connection for so long before it is read; other calls are read at once.
    ReadsLate(Duration),
    /// The process is stopped: nothing is read until the fault is over, and statements then after all other calls.
    Stopped,
}

/// How a statement ended at an engine, as far as the engine knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Completed,
    TurnedAway,
    Failed,
    GivenUp,
}

/// A statement that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub engine: String,
    /// The first byte of it, as it came and as it was read.
    pub came: Instant,
    pub at: Instant,
    pub id: String,
    pub max_ms: u64,
    pub body: Vec<u8>,
    pub ended: Option<(Instant, Ended)>,
}

struct Work {
    arrival: usize,
    done: Instant,
    asked: Instant,
    given_up: bool,
}

struct State {
    mode: Mode,
    drains_since: Option<Instant>,
    arrivals: Vec<Arrival>,
    works: HashMap<String, Work>,
    connections: Vec<TcpStream>,
    rng: WyRand,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
}

struct Answer {
    status: u16,
    fields: String,
    body: Vec<u8>,
}

impl Answer {
    fn new(status: u16, fields: &str) -> Answer {
        Answer { status, fields: fields.into(), body: Vec::new() }
    }
}

impl Engine {
    pub fn start(id: &str, seed: u64) -> io::Result<Engine> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Well,
            drains_since: None,
            arrivals: Vec::new(),
            works: HashMap::new(),
            connections: Vec::new(),
            rng: WyRand::new_seed(seed),
        }));
        let over = Arc::new(AtomicBool::new(false));
        let engine = Engine { id: id.into(), address, state, over };
        let (id, state, over) = (engine.id.clone(), engine.state.clone(), engine.over.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    lock(&state).connections.push(stream);
                }
                let (id, state, over) = (id.clone(), state.clone(), over.clone());
                std::thread::spawn(move || serve(&id, &stream, &state, &over));
            }
        });
        Ok(engine)
    }

    pub fn set(&self, mode: Mode) {
        lock(&self.state).mode = mode;
    }

    pub fn drain(&self) {
        lock(&self.state).drains_since.get_or_insert_with(Instant::now);
    }

    /// Its process ends: connections break off, and new ones are refused.
    pub fn end(&self) {
        if self.over.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect(self.address);
        let connections = std::mem::take(&mut lock(&self.state).connections);
        connections.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.end();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("state")
}

fn serve(engine: &str, stream: &TcpStream, state: &Mutex<State>, over: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut read = BufReader::new(read);
    loop {
        let is_statement = match read.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => bytes.starts_with(b"POST"),
            _ => return,
        };
        let came = Instant::now();
        wait_to_read(is_statement, came, state);
        // A process that has ended reads nothing any more.
        if over.load(Ordering::SeqCst) {
            return;
        }
        let at = Instant::now();
        let Some((first, fields, body)) = read_message(&mut read) else { return };
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let answer = if method == "POST" {
            let id = fields.get("x-ticket").cloned().unwrap_or_default();
            let max_ms = fields.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
            let arrival = Arrival { engine: engine.into(), came, at, id, max_ms, body, ended: None };
            match begin(state, arrival) {
                Began::Answer(answer) => Some(answer),
                Began::Works(id) => news(engine, &id, 0, state),
                Began::Resets => {
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
                "DELETE" => give_up(&id, state),
                _ => news(engine, &id, page, state),
            }
        };
        let Some(answer) = answer else {
            // It hangs: nothing comes until the other end has had enough.
            let _ = read.read_until(0, &mut Vec::new());
            return;
        };
        let Answer { status, fields, body } = answer;
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        let mut write = stream;
        if write.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

/// Returns when the engine reads what has come on a connection.
fn wait_to_read(is_statement: bool, came: Instant, state: &Mutex<State>) {
    let mut was_stopped = false;
    loop {
        let mode = lock(state).mode;
        match mode {
            Mode::Stopped => was_stopped = true,
            Mode::ReadsLate(by) if is_statement && came.elapsed() < by => {}
            _ => break,
        }
        std::thread::sleep(STEP);
    }
    if was_stopped && is_statement {
        std::thread::sleep(STATEMENTS_LAST);
    }
}

enum Began {
    Answer(Answer),
    Works(String),
    Resets,
}

fn begin(state: &Mutex<State>, mut arrival: Arrival) -> Began {
    let mut state = lock(state);
    let turns_away = state.drains_since.is_some_and(|since| since.elapsed() >= TURNS_AWAY_AFTER);
    let now = Instant::now();
    if turns_away || state.mode == Mode::Full {
        arrival.ended = Some((now, Ended::TurnedAway));
        state.arrivals.push(arrival);
        return Began::Answer(Answer::new(503, "X-Shed: 1\r\n"));
    }
    if state.mode == Mode::Fails {
        arrival.ended = Some((now, Ended::Failed));
        state.arrivals.push(arrival);
        return Began::Answer(Answer::new(500, ""));
    }
    let mut lasts = match state.rng.generate_range(0..20u32) {
        0 => Duration::from_millis(state.rng.generate_range(300..1200)),
        _ => Duration::from_millis(state.rng.generate_range(1..40)),
    };
    if let Mode::Slow(by) = state.mode {
        lasts += by;
    }
    let (id, number) = (arrival.id.clone(), state.arrivals.len());
    state.arrivals.push(arrival);
    let work = Work { arrival: number, done: now + lasts, asked: now, given_up: false };
    state.works.insert(id.clone(), work);
    match state.mode {
        Mode::Resets => Began::Resets,
        _ => Began::Works(id),
    }
}

fn give_up(id: &str, state: &Mutex<State>) -> Option<Answer> {
    let mut state = lock(state);
    if state.mode == Mode::Hangs {
        return None;
    }
    let State { works, arrivals, .. } = &mut *state;
    if let Some(work) = works.get_mut(id) {
        work.given_up = true;
        let ended = &mut arrivals[work.arrival].ended;
        *ended = ended.or(Some((Instant::now().min(work.done), Ended::GivenUp)));
    }
    Some(Answer::new(204, ""))
}

/// Its end, or after a while that there is no news; none while the engine hangs.
fn news(engine: &str, id: &str, page: usize, state: &Mutex<State>) -> Option<Answer> {
    let gives_up = Instant::now() + NEWS;
    loop {
        let now = Instant::now();
        {
            let mut state = lock(state);
            if state.mode == Mode::Hangs {
                return None;
            }
            let State { works, arrivals, .. } = &mut *state;
            let Some(work) = works.get_mut(id) else { return Some(Answer::new(500, "")) };
            let ended = &mut arrivals[work.arrival].ended;
            if work.given_up || (now > work.asked + FORGOTTEN && now < work.done) {
                *ended = ended.or(Some((work.asked + FORGOTTEN, Ended::GivenUp)));
                return Some(Answer::new(500, ""));
            }
            work.asked = now;
            if now >= work.done {
                *ended = ended.or(Some((work.done, Ended::Completed)));
                let fields =
                    if page == 0 { "Page-Count: 2\r\n".into() } else { format!("Page-No: {page}\r\n") };
                let body = format!("{id}\t{engine}\t{page}\n").into_bytes();
                return Some(Answer { status: 200, fields, body });
            }
        }
        if now >= gives_up {
            return Some(Answer::new(202, ""));
        }
        std::thread::sleep(STEP);
    }
}
