//! An engine that works for a time on each statement, ends what nobody asks for, and keeps a record of what ran when, by the
//! machine's own clock: what was in use of a fleet at a moment is read from the records of all its engines.

use crate::http::read_message;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An engine answers within this, if only that there is no news.
const NEWS: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
pub struct Ran {
    pub id: String,
    pub began: Instant,
    /// How long it takes on the engine, if nothing ends it before.
    pub lasts: Duration,
    pub deleted: Option<Instant>,
    /// When it was last asked for, its beginning included.
    pub asked: Instant,
}

impl Ran {
    /// When it was over, on an engine that goes on for `keep` with what nobody asks for.
    pub fn ended(&self, keep: Duration) -> Instant {
        let done = self.began + self.lasts;
        self.deleted.unwrap_or(done).min(done).min(self.asked + keep)
    }
}

#[derive(Default)]
struct State {
    ran: Vec<Ran>,
    /// Of each id, the execution that runs or ran last.
    last: HashMap<String, usize>,
    lasts: Duration,
}

pub struct Works {
    pub address: SocketAddr,
    pub keep: Duration,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Works {
    /// Every statement takes `lasts`.
    pub fn start(lasts: Duration, keep: Duration) -> Works {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new((Mutex::new(State { lasts, ..State::default() }), Condvar::new()));
        let of = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = of.clone();
                std::thread::spawn(move || serve(&stream, &state, keep));
            }
        });
        Works { address, keep, state }
    }

    pub fn set_lasts(&self, lasts: Duration) {
        self.state.0.lock().expect("state").lasts = lasts;
    }

    /// All that ran so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.state.0.lock().expect("state").ran.clone()
    }

    pub fn begun(&self) -> usize {
        self.state.0.lock().expect("state").ran.len()
    }
}

/// The most that ran at once, over all engines, and when.
pub fn most_at_once<'a>(engines: impl Iterator<Item = &'a Works>) -> (usize, Option<Instant>) {
    let mut edges = Vec::new();
    for engine in engines {
        for ran in engine.ran() {
            edges.push((ran.began, 1));
            edges.push((ran.ended(engine.keep), -1));
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

fn serve(stream: &TcpStream, state: &(Mutex<State>, Condvar), keep: Duration) {
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
                let (began, lasts, at) = (Instant::now(), now.lasts, now.ran.len());
                now.ran.push(Ran { id: id.clone(), began, lasts, deleted: None, asked: began });
                now.last.insert(id.clone(), at);
                drop(now);
                news(&id, state, keep)
            }
            "DELETE" => {
                let mut now = state.0.lock().expect("state");
                if let Some(at) = now.last.get(&id).copied() {
                    let ran = &mut now.ran[at];
                    ran.deleted = ran.deleted.or(Some(Instant::now()));
                }
                (204, "", b"")
            }
            _ => news(&id, state, keep),
        };
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        if write.write_all(&[head.as_bytes(), body].concat()).is_err() {
            return;
        }
    }
}

/// Its end, or after a while that there is no news.
fn news(id: &str, state: &(Mutex<State>, Condvar), keep: Duration) -> (u16, &'static str, &'static [u8]) {
    let gives_up = Instant::now() + NEWS;
    let mut now = state.0.lock().expect("state");
    loop {
        let Some(at) = now.last.get(id).copied() else { return (500, "", b"") };
        let ran = &mut now.ran[at];
        let moment = Instant::now();
        if ran.deleted.is_some() || moment > ran.asked + keep {
            return (500, "", b"");
        }
        // Whoever waits here asks for it all the time.
        ran.asked = moment;
        let done = ran.began + ran.lasts;
        if moment >= done {
            return (200, "Page-Count: 1\r\n", b"well\t1\tx\n");
        }
        if moment >= gives_up {
            return (202, "", b"");
        }
        let wait = done.min(gives_up).saturating_duration_since(moment);
        now = state.1.wait_timeout(now, wait).expect("state").0;
    }
}
