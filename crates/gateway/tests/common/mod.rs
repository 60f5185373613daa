//! A gateway that runs in a thread of its own, and clients that send calls to it.
#![allow(dead_code)]

pub mod bad_clients;
pub mod limited;
pub mod name_service;
pub mod other_clients;
pub mod program;

use bramblewharf_bodies::accounting::Counts;
use bramblewharf_bodies::spool::Disk;
use bramblewharf_gateway::operators::OperatorSettings;
use bramblewharf_gateway::{config, Gateway, Overrides};
use bramblewharf_standins::{read_message, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::Duration;

/// A gateway configuration with these engines on its list.
pub fn configuration(engines: &[SocketAddr]) -> Value {
    let members: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(at, address)| {
            json!({"id": format!("e{at}"), "host_port": address.to_string(), "locality": "z", "flavor": "k",
                "cell": 0, "phase": "up", "size": 4, "up_since_ms": 0})
        })
        .collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"no": 1, "items": [{"no": 1, "roster": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "balancers": 2, "tickUs": 5000, "kinds": ["k"], "tenants": [{"name": "acme"}],
            "domain": {"sizeCores": [8], "classLoad": [false, false, true], "takesGrants": true},
            "profiles": [
                {"name": "read", "promiseUs": 400_000, "deadlineUs": 60_000_000, "effect": "read_like"},
                {"name": "once", "promiseUs": 400_000, "deadlineUs": 60_000_000, "effect": "non_idempotent"},
                {"name": "load", "promiseUs": 400_000, "deadlineUs": 60_000_000, "effect": "idempotency_key",
                    "memorySpanUs": 15_000_000}],
            "allowed": {"tryLimit": 3, "secondCopies": true, "mayCancel": true, "peers": true,
                "retryAfter": true, "maxRetryAfterUs": 2_000_000},
            "rules": {"coldUs": 1000, "tipAfterUs": 1000}}})
}

/// A running gateway, and the channels to its thread.
pub struct TestGateway {
    pub address: SocketAddr,
    pub reloads: tokio::sync::mpsc::UnboundedSender<(Value, OperatorSettings)>,
    pub counts: tokio::sync::mpsc::UnboundedSender<mpsc::Sender<Counts>>,
    pub stop: Option<tokio::sync::oneshot::Sender<()>>,
    pub thread: Option<JoinHandle<()>>,
}

impl TestGateway {
    /// Starts a gateway without operator settings.
    pub fn start(configuration: &Value) -> TestGateway {
        TestGateway::start_with(configuration, OperatorSettings::default(), None)
    }

    /// Starts a gateway with operator settings and, where given, a disk for body files.
    pub fn start_with(
        configuration: &Value,
        operators: OperatorSettings,
        disk: Option<Arc<dyn Disk>>,
    ) -> TestGateway {
        let overrides = || Overrides { disk, ..Overrides::default() };
        TestGateway::start_with_overrides(configuration, operators, overrides)
    }

    /// Starts a gateway whose machine's wall clock shows this Unix time.
    pub fn start_at(configuration: &Value, unix_time: Duration) -> TestGateway {
        let overrides = move || Overrides { unix_time: Some(unix_time), ..Overrides::default() };
        TestGateway::start_with_overrides(configuration, OperatorSettings::default(), overrides)
    }

    fn start_with_overrides(
        configuration: &Value,
        operators: OperatorSettings,
        overrides: impl FnOnce() -> Overrides + Send + 'static,
    ) -> TestGateway {
        let configuration = configuration.clone();
        let (address_sender, address) = mpsc::channel();
        let (stop, mut stopped) = tokio::sync::oneshot::channel::<()>();
        let (reloads, mut reloaded) = tokio::sync::mpsc::unbounded_channel::<(Value, OperatorSettings)>();
        let (counts, mut count_requests) = tokio::sync::mpsc::unbounded_channel::<mpsc::Sender<Counts>>();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let start = config::read_with(&configuration, None, None, operators).unwrap();
                let log = slog::Logger::root(slog::Discard, slog::o!());
                let gateway = Gateway::start_with_overrides(start, log, overrides()).await.unwrap();
                address_sender.send(gateway.address()).unwrap();
                loop {
                    tokio::select! {
                        _ = &mut stopped => break,
                        Some(reply) = count_requests.recv() => drop(reply.send(gateway.body_counts())),
                        Some((newer, operators)) = reloaded.recv() => {
                            gateway.reload(config::read_with(&newer, None, None, operators).unwrap());
                        }
                    }
                }
                gateway.shut_down().await;
            });
        });
        let address = address.recv().unwrap();
        TestGateway { address, reloads, counts, stop: Some(stop), thread: Some(thread) }
    }

    /// Reloads the gateway with another configuration.
    pub fn reload(&self, configuration: Value) -> Result<(), ()> {
        self.reloads.send((configuration, OperatorSettings::default())).map_err(drop)
    }

    /// Counters of bodies beyond the ordinary size.
    pub fn body_counts(&self) -> Counts {
        let (reply, counts) = mpsc::channel();
        self.counts.send(reply).unwrap();
        counts.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Waits until the condition holds for the counters.
    pub fn wait_for_body_counts(&self, what: &str, condition: impl Fn(&Counts) -> bool) -> Counts {
        let began = std::time::Instant::now();
        loop {
            let counts = self.body_counts();
            if condition(&counts) {
                return counts;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{what}: {counts:?}");
            std::thread::yield_now();
        }
    }

    /// Shuts down as SIGTERM does.
    pub fn shut_down(&mut self) -> JoinHandle<()> {
        self.stop.take().unwrap().send(()).unwrap();
        self.thread.take().unwrap()
    }

    /// Starts a gateway with these engines and without operator settings.
    pub fn in_front_of(engines: &[SocketAddr]) -> TestGateway {
        TestGateway::start(&configuration(engines))
    }

    /// A new client connection.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Sends a call on a new connection and waits for its final response.
    pub fn ask(&self, call: &str) -> Response {
        let mut stream = self.connect();
        stream.write_all(call.as_bytes()).unwrap();
        Response::read_final(&mut BufReader::new(stream))
    }

    /// Sends a call while the test continues; the thread returns its final response.
    pub fn ask_in_background(&self, call: String) -> JoinHandle<Response> {
        ask_in_background(self.connect(), call)
    }

    /// Sends a call without a body and returns its first response.
    pub fn get(&self, method: &str, path: &str) -> Response {
        let mut stream = self.connect();
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).unwrap();
        Response::read(&mut BufReader::new(stream))
    }
}

/// Sends a call on this connection; the thread returns its final response.
pub fn ask_in_background(mut stream: TcpStream, call: String) -> JoinHandle<Response> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    std::thread::spawn(move || Response::read_final(&mut BufReader::new(stream)))
}

/// A response of the gateway.
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Value,
}

impl Response {
    /// Reads the next response.
    pub fn read(from: &mut impl BufRead) -> Response {
        let (first, headers, body) = read_message(from).expect("an answer");
        let status = first.split(' ').nth(1).unwrap().parse().unwrap();
        Response { status, headers, body: serde_json::from_slice(&body).unwrap_or(Value::Null) }
    }

    /// Reads the final response, polling on the same connection while the gateway answers with a link.
    pub fn read_final(from: &mut BufReader<TcpStream>) -> Response {
        loop {
            let response = Response::read(from);
            let Some(link) = response.body["link"].as_str() else { return response };
            let call = format!("GET {link} HTTP/1.1\r\nHost: h\r\n\r\n");
            from.get_mut().write_all(call.as_bytes()).unwrap();
        }
    }
}

/// An operation key, as a header line.
pub const KEY_HEADER: &str = "X-Operation-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";

/// A call with a small statement and `more` header lines.
pub fn call(workload: &str, id: u64, deadline_ms: u64, more: &str) -> String {
    call_with_text(workload, id, deadline_ms, more, "SELECT note FROM sales_17.orders")
}

/// The same with another text.
pub fn call_with_text(workload: &str, id: u64, deadline_ms: u64, more: &str, text: &str) -> String {
    format!(
        "POST /svc/{workload} HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         X-Org: acme\r\n{more}Content-Length: {}\r\n\r\n{text}",
        text.len()
    )
}
