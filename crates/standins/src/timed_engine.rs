//! An engine that works for a time on each statement, ends what nobody asks for, and keeps a record of what ran when, by the
//! machine's own clock: what was in use of a fleet at a moment is read from the records of all its engines.

use crate::http::read_message;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An engine answers within this, if only that there is no news.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
pub struct RecordedExecution {
    pub id: String,
    pub began: Instant,
    /// How long it takes on the engine, if nothing ends it before.
    pub duration: Duration,
    pub deleted: Option<Instant>,
    /// When it was last asked for, its beginning included.
    pub last_polled: Instant,
}

impl RecordedExecution {
    /// When it was over, on an engine that goes on for `keep` with what nobody asks for.
    pub fn ended(&self, orphan_retention: Duration) -> Instant {
        let done = self.began + self.duration;
        self.deleted.unwrap_or(done).min(done).min(self.last_polled + orphan_retention)
    }
}

#[derive(Default)]
struct State {
    executions: Vec<RecordedExecution>,
    /// Of each id, the execution that runs or ran last.
    last: HashMap<String, usize>,
    duration: Duration,
}

pub struct TimedEngine {
    pub address: SocketAddr,
    pub orphan_retention: Duration,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl TimedEngine {
    /// Every statement takes `lasts`.
    pub fn start(duration: Duration, orphan_retention: Duration) -> TimedEngine {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new((Mutex::new(State { duration, ..State::default() }), Condvar::new()));
        let of = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = of.clone();
                std::thread::spawn(move || serve(&stream, &state, orphan_retention));
            }
        });
        TimedEngine { address, orphan_retention, state }
    }

    pub fn set_duration(&self, duration: Duration) {
        self.state.0.lock().expect("state").duration = duration;
    }

    /// All that ran so far.
    pub fn executions(&self) -> Vec<RecordedExecution> {
        self.state.0.lock().expect("state").executions.clone()
    }

    pub fn started_count(&self) -> usize {
        self.state.0.lock().expect("state").executions.len()
    }
}

/// The most that ran at once, over all engines, and when.
pub fn max_concurrent<'a>(engines: impl Iterator<Item = &'a TimedEngine>) -> (usize, Option<Instant>) {
    let mut edges = Vec::new();
    for engine in engines {
        for executions in engine.executions() {
            edges.push((executions.began, 1));
            edges.push((executions.ended(engine.orphan_retention), -1));
        }
    }
    // What ends as another begins is over before.
    edges.sort();
    let (mut now, mut most, mut at) = (0i64, 0, None);
    for (when, change) in edges {
        now += change;
        if now > most {
            (most, at) = (now, Some(when));
        }
    }
    (most as usize, at)
}

fn serve(stream: &TcpStream, state: &(Mutex<State>, Condvar), orphan_retention: Duration) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let (mut read, mut write) = (BufReader::new(read), stream);
    while let Some((first, headers, _)) = read_message(&mut read) {
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let id = match headers.get("x-ticket") {
            Some(id) => id.clone(),
            None => path.split('/').nth(2).unwrap_or_default().to_string(),
        };
        let (status, fields, body): (u16, &str, &[u8]) = match method {
            "POST" => {
                let mut now = state.0.lock().expect("state");
                let (began, duration, at) = (Instant::now(), now.duration, now.executions.len());
                now.executions.push(RecordedExecution {
                    id: id.clone(),
                    began,
                    duration,
                    deleted: None,
                    last_polled: began,
                });
                now.last.insert(id.clone(), at);
                drop(now);
                poll(&id, state, orphan_retention)
            }
            "DELETE" => {
                let mut now = state.0.lock().expect("state");
                if let Some(at) = now.last.get(&id).copied() {
                    let executions = &mut now.executions[at];
                    executions.deleted = executions.deleted.or(Some(Instant::now()));
                }
                (204, "", b"")
            }
            _ => poll(&id, state, orphan_retention),
        };
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        if write.write_all(&[head.as_bytes(), body].concat()).is_err() {
            return;
        }
    }
}

/// Its end, or after a while that there is no news.
fn poll(
    id: &str,
    state: &(Mutex<State>, Condvar),
    orphan_retention: Duration,
) -> (u16, &'static str, &'static [u8]) {
    let poll_deadline = Instant::now() + POLL_TIMEOUT;
    let mut now = state.0.lock().expect("state");
    loop {
        let Some(at) = now.last.get(id).copied() else { return (500, "", b"") };
        let executions = &mut now.executions[at];
        let moment = Instant::now();
        if executions.deleted.is_some() || moment > executions.last_polled + orphan_retention {
            return (500, "", b"");
        }
        // Whoever waits here asks for it all the time.
        executions.last_polled = moment;
        let done = executions.began + executions.duration;
        if moment >= done {
            return (200, "Page-Count: 1\r\n", b"well\t1\tx\n");
        }
        if moment >= poll_deadline {
            return (202, "", b"");
        }
        let wait = done.min(poll_deadline).saturating_duration_since(moment);
        now = state.1.wait_timeout(now, wait).expect("state").0;
    }
}
