//! An engine as the protocol page describes it. What it runs, how long and with which result is up to the case,
//! and so is what becomes of its answers on their way.

use crate::client::{Message, Reader};
use crate::record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// A query that nobody has asked for in this time is over.
const UNASKED: Duration = Duration::from_secs(2);
/// News that take longer than this are 202 with nothing.
const NEWS: Duration = Duration::from_millis(250);

/// What a statement is to do.
pub struct Plan {
    pub takes: Duration,
    pub pages: Vec<Vec<u8>>,
}

/// One run of a statement.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// When its call had come whole.
    pub begun: Instant,
    /// When it has done its work, if it is let.
    pub done: Instant,
    /// When its end was first written, it was given up, or nobody had asked for it for too long.
    pub over: Option<(Instant, &'static str)>,
}

impl Run {
    /// When it was no longer running: it had done its work, or was ended before.
    pub fn end(&self) -> Instant {
        self.over.map_or(self.done, |(at, _)| at.min(self.done))
    }
}

struct Query {
    run: usize,
    ends: Instant,
    asked: Instant,
    pages: Vec<Vec<u8>>,
}

/// An answer before it is written.
pub struct Answer {
    pub status: &'static str,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    fn plain(status: &'static str) -> Answer {
        Answer { status, fields: Vec::new(), body: Vec::new() }
    }

    /// The bytes, with this content length.
    pub fn bytes(&self, length: usize) -> (Vec<u8>, Vec<u8>) {
        let mut head = format!("HTTP/1.1 {}\r\nContent-Length: {length}\r\n", self.status);
        for (name, value) in &self.fields {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        (head.into_bytes(), self.body.clone())
    }
}

/// What a case decides of an engine.
pub trait Behaviour: Send + Sync + 'static {
    fn plan(&self, call: &Message) -> Plan;

    /// Writes an answer; false if the connection is of no further use.
    fn write(&self, stream: &mut TcpStream, answer: &Answer) -> bool {
        let (mut head, body) = answer.bytes(answer.body.len());
        head.extend(body);
        stream.write_all(&head).is_ok()
    }

    /// Called once a statement has come whole, before anything is answered. True: the network resets the
    /// connection towards the gateway now, which the engine notices when it next writes.
    fn resets(&self, _id: &str) -> bool {
        false
    }
}

struct State {
    runs: Vec<Run>,
    queries: HashMap<String, Query>,
    /// Connections that it holds.
    connections: usize,
}

pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    /// How many connections it accepts; it refuses further ones.
    accepts: usize,
    state: Mutex<State>,
    behaviour: Box<dyn Behaviour>,
}

impl Engine {
    pub fn start(name: &str, accepts: usize, behaviour: impl Behaviour) -> Result<Arc<Engine>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let state = State { runs: Vec::new(), queries: HashMap::new(), connections: 0 };
        let engine = Arc::new(Engine {
            name: name.into(),
            address,
            accepts,
            state: Mutex::new(state),
            behaviour: Box::new(behaviour),
        });
        let (accepting, sweeping) = (engine.clone(), engine.clone());
        thread::spawn(move || accepting.accept(listener));
        thread::spawn(move || loop {
            sleep(Duration::from_millis(10));
            sweeping.sweep();
        });
        Ok(engine)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Accepts connections. While it holds as many as it accepts, it does not listen, so that further ones are
    /// refused.
    fn accept(self: Arc<Engine>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let open = match listener.take() {
                Some(open) => open,
                None => {
                    if self.state().connections >= self.accepts {
                        sleep(Duration::from_millis(1));
                        continue;
                    }
                    match listen_again(self.address) {
                        Some(open) => open,
                        None => {
                            sleep(Duration::from_millis(1));
                            continue;
                        }
                    }
                }
            };
            let Ok((stream, _)) = open.accept() else { continue };
            let full = {
                let mut state = self.state();
                state.connections += 1;
                state.connections >= self.accepts
            };
            if !full {
                listener = Some(open);
            }
            let engine = self.clone();
            thread::spawn(move || {
                engine.serve(stream);
                engine.state().connections -= 1;
            });
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Some(call) = reader.next(Instant::now() + Duration::from_secs(15)) {
            let mut parts = call.start.split(' ');
            let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
            let steps: Vec<&str> = path.split('/').skip(1).collect();
            let answer = match (method, &steps[..]) {
                ("POST", ["x"]) => {
                    let id = call.field("X-Ticket").unwrap_or("").to_string();
                    self.begin(&id, &call);
                    if self.behaviour.resets(&id) {
                        record::line(&format!("the connection of {id} to {} is reset", self.name));
                        let _ = set_reset(&reader.stream);
                        // The engine goes on, and notices when it has news to write.
                        drop(reader);
                        let _ = self.news(&id);
                        return;
                    }
                    self.news(&id)
                }
                ("GET", ["x", id, "0"]) => self.news(id),
                ("GET", ["x", id, page]) => self.page(id, page.parse().unwrap_or(0)),
                ("DELETE", ["x", id]) => {
                    self.give_up(id);
                    Answer::plain("204 No Content")
                }
                ("GET", ["ping" | "load"]) => Answer::plain("200 OK"),
                _ => Answer::plain("500 Internal Server Error"),
            };
            if !self.behaviour.write(&mut reader.stream, &answer) {
                return;
            }
        }
    }

    fn begin(&self, id: &str, call: &Message) {
        let plan = self.behaviour.plan(call);
        let now = Instant::now();
        let max_ms = call.field("X-Max-Ms").unwrap_or("?");
        record::line(&format!("{} runs {id} (X-Max-Ms {max_ms}), for {} ms", self.name, plan.takes.as_millis()));
        let mut state = self.state();
        let run = state.runs.len();
        state.runs.push(Run { id: id.into(), begun: now, done: now + plan.takes, over: None });
        state.queries.insert(id.into(), Query { run, ends: now + plan.takes, asked: now, pages: plan.pages });
    }

    /// The news of a query: its end, or after some time nothing.
    fn news(&self, id: &str) -> Answer {
        let began = Instant::now();
        loop {
            {
                let mut state = self.state();
                let Some(query) = state.queries.get_mut(id) else { return Answer::plain("500 Internal Server Error") };
                query.asked = Instant::now();
                if query.ends <= query.asked {
                    let mut fields = vec![("Page-Count", query.pages.len().to_string())];
                    let (run, body) = (query.run, query.pages[0].clone());
                    let taken = state.runs[run].begun.elapsed().as_millis();
                    fields.extend([("Work-Ms", taken.to_string()), ("Peak-Mb", "10".into())]);
                    self.over(&mut state, run, "ended");
                    return Answer { status: "200 OK", fields, body };
                }
            }
            if began.elapsed() >= NEWS {
                return Answer::plain("202 Accepted");
            }
            sleep(Duration::from_millis(2));
        }
    }

    fn page(&self, id: &str, number: usize) -> Answer {
        let mut state = self.state();
        let Some(query) = state.queries.get_mut(id) else { return Answer::plain("500 Internal Server Error") };
        query.asked = Instant::now();
        match query.pages.get(number) {
            Some(page) => {
                Answer { status: "200 OK", fields: vec![("Page-No", number.to_string())], body: page.clone() }
            }
            None => Answer::plain("500 Internal Server Error"),
        }
    }

    fn give_up(&self, id: &str) {
        let mut state = self.state();
        if let Some(query) = state.queries.remove(id) {
            self.over(&mut state, query.run, "given up");
        }
    }

    fn over(&self, state: &mut State, run: usize, why: &'static str) {
        if state.runs[run].over.is_none() {
            state.runs[run].over = Some((Instant::now(), why));
            record::line(&format!("{}: {} is over ({why})", self.name, state.runs[run].id));
        }
    }

    fn sweep(&self) {
        let mut state = self.state();
        let unasked: Vec<String> = state
            .queries
            .iter()
            .filter(|(_, query)| query.asked.elapsed() > UNASKED)
            .map(|(id, _)| id.clone())
            .collect();
        for id in unasked {
            if let Some(query) = state.queries.remove(&id) {
                self.over(&mut state, query.run, "not asked for");
            }
        }
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }
}

/// The engine's address is its own: nobody else takes it while it does not listen.
fn listen_again(address: SocketAddr) -> Option<TcpListener> {
    TcpListener::bind(address).ok()
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

/// Has the close of this connection reset it.
fn set_reset(stream: &TcpStream) -> bool {
    use std::os::fd::AsRawFd;
    let value = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the descriptor is open, and the value has the length that is told (SOL_SOCKET, SO_LINGER).
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &value, length) == 0 }
}
