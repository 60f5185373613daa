//! An engine of the platform's protocol, by a script: what it takes of a call, and how it answers. It records every call with
//! every byte of its body, and what of it came.

use crate::http::{read_body, read_head};
use crate::TEST_TIMEOUT;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The body came whole.
    pub whole: bool,
}

pub enum Reply {
    Answer(u16, String, Vec<u8>),
    /// These bytes, and the end of the connection, or nothing more.
    Cut(Vec<u8>),
    /// These bytes, and then whatever the next call brings.
    Raw(Vec<u8>),
    /// These bytes, and the others once the next call has come on this connection.
    Split(Vec<u8>, Rest),
    /// These bytes, and zeros for as long as they are taken.
    Endless(Vec<u8>),
    Frozen(&'static [u8]),
    Reset,
    Silent,
}

/// What comes behind the first bytes of an answer once the next call has come.
pub enum Rest {
    /// These bytes, and then the answer to that call.
    ThenAnswer(Vec<u8>),
    /// These bytes, and the end of the connection.
    ThenEnd(Vec<u8>),
}

/// What is taken of a call's body before it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRead {
    All,
    /// So many bytes; what follows is never read.
    Only(u64),
    /// All, a byte each time.
    Slowly(Duration),
}

pub fn answer(status: u16, headers: &str, body: &[u8]) -> Reply {
    Reply::Answer(status, headers.into(), body.into())
}

pub type Calls = Arc<(Mutex<Vec<Call>>, Condvar)>;

pub struct Engine {
    pub address: SocketAddr,
    pub calls: Calls,
}

impl Engine {
    pub fn start(script: impl Fn(&Call) -> Reply + Send + Sync + 'static) -> Engine {
        Engine::start_with_body_read(|_| BodyRead::All, script)
    }

    /// `take` sees a call without its body.
    pub fn start_with_body_read(
        take: impl Fn(&Call) -> BodyRead + Send + Sync + 'static,
        script: impl Fn(&Call) -> Reply + Send + Sync + 'static,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let (seen, script) = (calls.clone(), Arc::new((take, script)));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, script) = (seen.clone(), script.clone());
                std::thread::spawn(move || Engine::serve(stream, &seen, &script.0, &script.1));
            }
        });
        Engine { address, calls }
    }

    fn serve(
        stream: TcpStream,
        seen: &(Mutex<Vec<Call>>, Condvar),
        take: &dyn Fn(&Call) -> BodyRead,
        script: &dyn Fn(&Call) -> Reply,
    ) {
        let mut read = BufReader::new(stream.try_clone().unwrap());
        let mut write = &stream;
        let tell = |call: Call| {
            seen.0.lock().unwrap().push(call);
            seen.1.notify_all();
        };
        let mut rest = None;
        while let Some((first, headers)) = read_head(&mut read) {
            match rest.take() {
                Some(Rest::ThenAnswer(bytes)) => drop(write.write_all(&bytes)),
                Some(Rest::ThenEnd(bytes)) => {
                    let _ = write.write_all(&bytes);
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                None => {}
            }
            let mut words = first.split(' ').map(String::from);
            let (method, path) = (words.next().unwrap(), words.next().unwrap());
            let mut call = Call { method, path, headers, ..Call::default() };
            let taken = take(&call);
            let mut body = Vec::new();
            let came = match taken {
                BodyRead::All => read_body(&mut read, &call.headers, &mut body, u64::MAX),
                BodyRead::Only(most) => read_body(&mut read, &call.headers, &mut body, most),
                BodyRead::Slowly(pause) => {
                    let length = call.headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
                    let mut byte = [0];
                    while body.len() < length && read.read_exact(&mut byte).is_ok() {
                        body.push(byte[0]);
                        std::thread::sleep(pause);
                    }
                    (body.len() == length).then_some(())
                }
            };
            call.whole = came.is_some() && !matches!(taken, BodyRead::Only(_));
            call.body = body;
            tell(call.clone());
            if came.is_none() {
                return;
            }
            match script(&call) {
                Reply::Answer(status, headers, body) => {
                    let head =
                        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
                    let _ = write.write_all(&[head.as_bytes(), &body].concat());
                    if matches!(taken, BodyRead::Only(_)) {
                        // It reads no further, and the connection with what is unread on it stays for a while.
                        let _ = stream.shutdown(Shutdown::Write);
                        std::thread::sleep(Duration::from_millis(300));
                        return;
                    }
                }
                Reply::Cut(bytes) => {
                    let _ = write.write_all(&bytes);
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                Reply::Raw(bytes) => {
                    let _ = write.write_all(&bytes);
                }
                Reply::Split(bytes, behind) => {
                    let _ = write.write_all(&bytes);
                    rest = Some(behind);
                }
                Reply::Endless(bytes) => {
                    let _ = write.write_all(&bytes);
                    while write.write_all(&[0; 4096]).is_ok() {}
                    return;
                }
                Reply::Reset => {
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                Reply::Frozen(bytes) => {
                    let _ = write.write_all(bytes);
                    let _ = read.read_to_end(&mut Vec::new());
                    return;
                }
                Reply::Silent => {
                    if matches!(taken, BodyRead::Only(_)) {
                        std::thread::sleep(TEST_TIMEOUT);
                        return;
                    }
                    let _ = read.read_to_end(&mut Vec::new());
                    tell(Call { method: "CLOSED".into(), ..call });
                    return;
                }
            }
        }
    }

    /// One that completes whatever came whole, with one row.
    pub fn healthy() -> Engine {
        let known = Mutex::new(HashSet::new());
        Engine::start(move |call| {
            let mut known = known.lock().unwrap();
            let id = match call.headers.get("x-ticket") {
                Some(id) => {
                    known.insert(id.clone());
                    id.as_str()
                }
                None => call.path.split('/').nth(2).unwrap_or_default(),
            };
            // A statement that never came whole is not known.
            match known.contains(id) {
                true => answer(200, "Page-Count: 1\r\n", b"well\t1\tx\n"),
                false => answer(500, "", b""),
            }
        })
    }

    /// The first call for which `wanted` holds, once it has come.
    pub fn wait_for_call(&self, wanted: impl Fn(&Call) -> bool) -> Call {
        let calls = self.calls.0.lock().unwrap();
        let none = |calls: &mut Vec<Call>| !calls.iter().any(&wanted);
        let (calls, waited) = self.calls.1.wait_timeout_while(calls, TEST_TIMEOUT, none).unwrap();
        let shown = |calls: &[Call]| -> Vec<String> {
            calls.iter().map(|call| format!("{} {} {}", call.method, call.path, call.body.len())).collect()
        };
        assert!(!waited.timed_out(), "no such call among {:?}", shown(&calls));
        calls.iter().find(|call| wanted(call)).unwrap().clone()
    }

    pub fn post_count(&self) -> usize {
        self.calls.0.lock().unwrap().iter().filter(|call| call.method == "POST").count()
    }

    /// Waits until so many executions were begun here and recorded.
    pub fn wait_for_posts(&self, count: usize) {
        let calls = self.calls.0.lock().unwrap();
        let fewer = |calls: &mut Vec<Call>| calls.iter().filter(|call| call.method == "POST").count() < count;
        let (_calls, waited) = self.calls.1.wait_timeout_while(calls, TEST_TIMEOUT, fewer).unwrap();
        assert!(!waited.timed_out(), "not {count} executions");
    }

    /// Executions that were begun here, with what came of them.
    pub fn post_calls(&self) -> Vec<Call> {
        self.calls.0.lock().unwrap().iter().filter(|call| call.method == "POST").cloned().collect()
    }
}
