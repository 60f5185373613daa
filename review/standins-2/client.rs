//! A client as the protocol page describes it, and the reading of HTTP messages.

use crate::record;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A message of HTTP/1.1 with a plain length.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
    /// The cells of all answers of a request, in order, in its last answer.
    pub rows: Vec<String>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The path in `link`, if the answer has one.
    pub fn link(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let rest = text.split("\"link\":\"").nth(1)?;
        Some(rest.split('"').next()?.to_string())
    }
}

/// A connection that reads one message after another.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// The next whole message; none at the end of the connection or when `until` has come.
    pub fn next(&mut self, until: Instant) -> Option<Message> {
        loop {
            if let Some(message) = self.take() {
                return Some(message);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
            let mut bytes = [0; 16384];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(length) => self.buffer.extend_from_slice(&bytes[..length]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
    }

    fn take(&mut self) -> Option<Message> {
        let head = self.buffer.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next()?.to_string();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
            .collect();
        let length = |name: &str| fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        let chunked = length("transfer-encoding").is_some();
        let length: usize = length("content-length").and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let (body, end) = if chunked {
            chunks(&self.buffer[head..]).map(|(body, length)| (body, head + length))?
        } else if self.buffer.len() >= head + length {
            (self.buffer[head..head + length].to_vec(), head + length)
        } else {
            return None;
        };
        self.buffer.drain(..end);
        let status = start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        Some(Message { start, fields, body, status, rows: Vec::new() })
    }
}

/// A body in chunks, if it is whole, and how many bytes it takes.
fn chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let line = bytes[at..].windows(2).position(|two| two == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[at..at + line]).ok()?.trim(), 16).ok()?;
        at += line + 2;
        if bytes.len() < at + size + 2 {
            return None;
        }
        body.extend_from_slice(&bytes[at..at + size]);
        at += size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

/// A new id of a request.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", std::process::id().wrapping_mul(2_654_435_761), number)
}

/// A statement as a call.
pub fn statement(class: &str, id: &str, deadline_ms: u64, more: &[(&str, &str)], text: &str) -> Vec<u8> {
    let more: String = more.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!(
        "POST /svc/{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         X-Org: acme\r\n{more}Content-Length: {}\r\n\r\n{text}",
        text.len()
    )
    .into_bytes()
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()
}

/// One call on a new connection.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = connect(address)?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n").as_bytes()).ok()?;
    Reader::new(stream).next(Instant::now() + Duration::from_millis(500))
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    /// A last answer with no `abort`.
    Served(Message),
    /// 429, 503 or `Busy`.
    Refused(Message),
    /// Anything else.
    Failed(Message),
    /// No whole answer while the client waited, and half a second more.
    Nothing,
}

impl End {
    pub fn of(answer: Message) -> End {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status == 200 && !text.contains("\"abort\"") {
            End::Served(answer)
        } else if matches!(answer.status, 429 | 503) || text.contains("\"abort\":\"Busy\"") {
            End::Refused(answer)
        } else {
            End::Failed(answer)
        }
    }

    pub fn word(&self) -> String {
        match self {
            End::Served(answer) => format!("served, {} bytes", answer.body.len()),
            End::Refused(answer) => format!("refused ({})", answer.status),
            End::Failed(answer) => format!("failed ({})", answer.status),
            End::Nothing => "no final answer".into(),
        }
    }
}

/// Sends a statement on a connection of its own and follows its links, until it has its final answer or the
/// client has stopped waiting. A call whose connection ends with no answer is made again, three times at most.
pub fn run(address: SocketAddr, class: &str, id: &str, deadline_ms: u64, more: &[(&str, &str)], text: &str) -> End {
    let call = statement(class, id, deadline_ms, more, text);
    let Some(mut stream) = connect(address) else { return End::Nothing };
    if stream.write_all(&call).is_err() {
        return End::Nothing;
    }
    record::line(&format!("client sends {id} ({class}, waits {deadline_ms} ms)"));
    let until = Instant::now() + Duration::from_millis(deadline_ms + 500);
    let mut reader = Reader::new(stream);
    let Some(mut answer) = reader.next(until) else { return End::Nothing };
    let (mut again, mut rows) = (0, cells(&answer));
    while let Some(path) = answer.link() {
        let call = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        let sent = reader.stream.write_all(call.as_bytes());
        match sent.ok().and_then(|()| reader.next(until)) {
            Some(next) => {
                answer = next;
                rows.extend(cells(&answer));
            }
            None if again < 3 && Instant::now() < until => {
                again += 1;
                let Some(stream) = connect(address) else { return End::Nothing };
                reader = Reader::new(stream);
            }
            None => {
                leave(address, &path);
                return End::Nothing;
            }
        }
    }
    answer.rows = rows;
    End::of(answer)
}

/// A client that stops waiting calls the last path with DELETE on a new connection.
fn leave(address: SocketAddr, path: &str) {
    if let Some(mut stream) = connect(address) {
        let _ = stream.write_all(format!("DELETE {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n").as_bytes());
        let _ = Reader::new(stream).next(Instant::now() + Duration::from_millis(200));
    }
}

/// The cells of `values` in an answer, in order.
fn cells(answer: &Message) -> Vec<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let Some(rest) = text.split_once("\"values\":").map(|(_, rest)| rest.to_string()) else { return Vec::new() };
    let (mut cells, mut cell, mut inside, mut escaped) = (Vec::new(), String::new(), false, false);
    for c in rest.chars() {
        match (inside, escaped, c) {
            (true, true, c) => {
                cell.push(c);
                escaped = false;
            }
            (true, false, '\\') => escaped = true,
            (true, false, '"') => {
                cells.push(std::mem::take(&mut cell));
                inside = false;
            }
            (true, false, c) => cell.push(c),
            (false, _, '"') => inside = true,
            _ => {}
        }
    }
    cells
}
