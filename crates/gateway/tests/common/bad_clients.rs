//! Clients whose calls are meant to use up the gateway's memory: what each kind sends, and a loop that sends it
//! at full speed on many connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest time for which bad clients go on: the gateway answers or closes each of them earlier, unless
/// they do not read.
const LONGEST_ATTACK: Duration = Duration::from_secs(7);

/// What one kind of bad client sends.
pub struct InputShape {
    pub name: &'static str,
    head: fn(u64) -> String,
    /// Sent again and again after the head.
    repeated: Vec<u8>,
    /// Bytes after which the client stalls, head included; none where it never ends.
    stalls_after: Option<usize>,
    reads: bool,
    /// It contains whole statements, which compete with those of usual clients.
    pub has_statements: bool,
}

fn statement_head(id: u64, fields: &str) -> String {
    format!(
        "POST /svc/read HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 60000\r\n\
         X-Org: acme\r\n{fields}\r\n"
    )
}

fn chunked(id: u64) -> String {
    statement_head(id, "Transfer-Encoding: chunked\r\n")
}

fn declared(id: u64) -> String {
    statement_head(id, "Content-Length: 65536\r\n")
}

fn short_fields(count: usize) -> String {
    (0..count)
        .map(|n| format!("{}{}:\r\n", (b'a' + (n / 26) as u8) as char, (b'a' + (n % 26) as u8) as char))
        .collect()
}

fn repeated_field(count: usize) -> String {
    "a:b\r\n".repeat(count)
}

/// A call for the liveness of the gateway with as many fields as a head may have.
fn ping_with_fields() -> String {
    format!("GET /status/live HTTP/1.1\r\nHost: h\r\n{}\r\n", short_fields(90))
}

fn unfinished_head(_: u64) -> String {
    "POST /svc/read HTTP/1.1\r\nHost: h\r\n".into()
}

/// All kinds of bad clients.
pub fn input_shapes() -> Vec<InputShape> {
    let shape = |name, head: fn(u64) -> String, repeated: &[u8], stalls_after| InputShape {
        name,
        head,
        repeated: repeated.to_vec(),
        stalls_after,
        reads: true,
        has_statements: false,
    };
    let byte_chunk = b"1\r\nS\r\n";
    let long_field =
        |id| statement_head(id, &format!("X-Long: {}\r\nContent-Length: 9\r\n", "l".repeat(120_000)));
    let many_fields = |id| statement_head(id, &format!("{}Content-Length: 9\r\n", short_fields(88)));
    let same_field = |id| statement_head(id, &format!("{}Content-Length: 9\r\n", repeated_field(88)));
    let many_calls = ping_with_fields().repeat(40);
    let statement = |id| format!("{}SELECT 1", statement_head(id, "Content-Length: 8\r\n"));
    vec![
        shape("chunks of a byte, endless", chunked, byte_chunk, None),
        shape("chunks of a byte, stalled", chunked, byte_chunk, Some(60 * 1024 * byte_chunk.len())),
        shape(
            "chunks of a byte to a call without a body",
            |_| "GET /status/live HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            byte_chunk,
            None,
        ),
        shape(
            "chunks of 1,000 bytes, stalled",
            chunked,
            format!("3e8\r\n{}\r\n", "S".repeat(1_000)).as_bytes(),
            Some(63_000),
        ),
        shape("chunk extension, endless", |id| chunked(id) + "1;", b"extension", None),
        shape("trailer, endless", |id| chunked(id) + "1\r\nS\r\n0\r\n", b"a: b\r\n", None),
        shape("declared length, stalled", declared, b"SELECT ", Some(65_600)),
        shape("60 MB", |id| statement_head(id, "Content-Length: 60000000\r\n"), b"SELECT ", Some(60_000_000)),
        shape(
            "100-continue, stalled",
            |id| statement_head(id, "Content-Length: 65536\r\nExpect: 100-continue\r\n"),
            b"SELECT ",
            Some(65_600),
        ),
        shape("one field, endless", |id| unfinished_head(id) + "X-Long: ", b"long", None),
        shape("one field, stalled", |id| unfinished_head(id) + "X-Long: ", b"long", Some(125_000)),
        shape("fields, endless", unfinished_head, b"a:b\r\n", None),
        shape("empty lines, endless", |_| String::new(), b"\r\n", None),
        shape("a long field, body stalled", long_field, b"", Some(0)),
        shape("many fields, body stalled", many_fields, b"", Some(0)),
        shape("one field many times, body stalled", same_field, b"", Some(0)),
        shape("many calls at once", |_| String::new(), many_calls.as_bytes(), Some(400_000)),
        InputShape {
            has_statements: true,
            ..shape("many calls behind a statement", statement, many_calls.as_bytes(), Some(400_000))
        },
        InputShape {
            has_statements: true,
            ..shape(
                "many calls behind a chunked body",
                |id| chunked(id) + "1\r\nS\r\n0\r\n\r\n",
                many_calls.as_bytes(),
                Some(400_000),
            )
        },
        InputShape {
            reads: false,
            ..shape("many calls, answers unread", |_| String::new(), many_calls.as_bytes(), None)
        },
    ]
}

/// Statements of the largest ordinary size, sent whole.
pub fn large_statements(reads: bool) -> InputShape {
    InputShape {
        name: if reads { "statements of 64 KiB" } else { "statements of 64 KiB, answers unread" },
        head: declared,
        repeated: b"SELECT 1".to_vec(),
        stalls_after: Some(declared(0).len() + 65_536),
        reads,
        has_statements: true,
    }
}

/// Bodies beyond the ordinary size.
pub fn large_bodies() -> [InputShape; 2] {
    let byte_chunk = b"1\r\nS\r\n";
    let shape = |name, stalls_after| InputShape {
        name,
        head: chunked,
        repeated: byte_chunk.to_vec(),
        stalls_after,
        reads: true,
        has_statements: true,
    };
    [
        shape("large bodies in chunks of a byte, endless", None),
        shape("large bodies in chunks of a byte, stalled", Some(400 * 1024 * byte_chunk.len())),
    ]
}

struct BadClient {
    stream: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
    has_ended: bool,
}

impl BadClient {
    fn connect(address: SocketAddr, shape: &InputShape, id: u64) -> Option<BadClient> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(BadClient { stream, unsent: (shape.head)(id).into_bytes(), sent: 0, has_ended: false })
    }

    /// Sends and reads what is possible without waiting. False if nothing was.
    fn step(&mut self, shape: &InputShape) -> bool {
        let stalls = shape.stalls_after.is_some_and(|length| self.sent >= length);
        if self.unsent.is_empty() && !stalls && !shape.repeated.is_empty() {
            self.unsent = shape.repeated.repeat(16 * 1024 / shape.repeated.len() + 1);
        }
        if let Some(length) = shape.stalls_after.filter(|_| self.sent > 0) {
            self.unsent.truncate(length.saturating_sub(self.sent));
        }
        let written = if self.unsent.is_empty() { 0 } else { self.stream.write(&self.unsent).unwrap_or(0) };
        self.unsent.drain(..written);
        self.sent += written;
        let mut answer = [0; 4096];
        let read = if shape.reads { self.stream.read(&mut answer) } else { Ok(1) };
        self.has_ended = match &read {
            Ok(length) => *length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        written > 0 || (shape.reads && read.is_ok())
    }
}

/// Runs `count` bad clients of one kind until the gateway has closed their connections.
pub fn attack(address: SocketAddr, shape: &InputShape, count: usize) {
    const FIRST_ID: u64 = 1 << 40;
    let connect = |at| BadClient::connect(address, shape, FIRST_ID + at as u64);
    let mut clients: Vec<BadClient> = (0..count).filter_map(connect).collect();
    assert!(clients.len() >= count / 2, "{}: {} of {count} connected", shape.name, clients.len());
    let began = Instant::now();
    while clients.iter().any(|client| !client.has_ended) && began.elapsed() < LONGEST_ATTACK {
        let open = clients.iter_mut().filter(|client| !client.has_ended);
        if open.fold(false, |moved, client| client.step(shape) | moved) {
            continue;
        }
        std::thread::yield_now();
    }
}
