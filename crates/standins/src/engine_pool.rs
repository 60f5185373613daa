//! Thousands of engines on one thread, which work for a short time on each statement. One port of all of loopback's addresses
//! serves one gateway: which engine was meant is the connection's own address, and which gateway it is from is the port.

use crate::http::{read_body, read_head};
use nanorand::{Rng, WyRand};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// An engine answers within this, if only that there is no news.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// The engines' addresses begin behind this one: hosts of these tests that listen for themselves are all before it.
const ADDRESS_BASE: u32 = u32::from_be_bytes([127, 192, 0, 0]);
pub const MAX_ENGINES: usize = 1 << 21;
/// No call of a gateway is longer; whoever sends more has its connection closed.
const MAX_CALL_BYTES: usize = 128 * 1024;

/// What one gateway has done at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineRecord {
    pub opened: u64,
    pub open: u64,
    pub max_open: u64,
    pub statements: u64,
}

#[derive(Debug, Default)]
pub struct Records {
    /// By gateway, by engine.
    pub engine_records: Vec<Vec<EngineRecord>>,
    /// Each connection that came: when, and from which gateway.
    pub handshakes: Vec<(Instant, usize)>,
    /// How often each statement was begun.
    pub started: HashMap<String, u32>,
    /// Statements in work, and the most at once, by gateway.
    pub in_flight: Vec<u64>,
    pub max_in_flight: Vec<u64>,
    /// Connections that could not be accepted, or were to none of the engines.
    pub failed_accepts: u64,
    due: HashMap<String, Instant>,
}

impl Records {
    /// Engines that a gateway has opened a connection to.
    pub fn engines_used(&self, gateway: usize) -> usize {
        self.engine_records[gateway].iter().filter(|record| record.opened > 0).count()
    }

    /// The most connections that one engine had from a gateway at once.
    pub fn max_open_per_engine(&self, gateway: usize) -> u64 {
        self.engine_records[gateway].iter().map(|record| record.max_open).max().unwrap_or(0)
    }

    pub fn opened(&self, gateway: usize) -> u64 {
        self.engine_records[gateway].iter().map(|record| record.opened).sum()
    }

    pub fn open(&self, gateway: usize) -> u64 {
        self.engine_records[gateway].iter().map(|record| record.open).sum()
    }
}

struct Shared {
    records: Mutex<Records>,
    durations: Mutex<RangeInclusive<Duration>>,
    rng: Mutex<WyRand>,
    engines: usize,
}

impl Shared {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().expect("records")
    }

    fn draw_duration(&self) -> Duration {
        let durations = self.durations.lock().expect("lasts").clone();
        let (least, most) = (durations.start().as_micros() as u64, durations.end().as_micros() as u64);
        Duration::from_micros(self.rng.lock().expect("rng").generate_range(least..=most.max(least)))
    }
}

/// They end when this is dropped.
pub struct EnginePool {
    shared: Arc<Shared>,
    ports: Vec<u16>,
    over: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl EnginePool {
    /// Every statement takes a time drawn from `lasts`.
    pub fn start(
        engines: usize,
        gateways: usize,
        durations: RangeInclusive<Duration>,
        seed: u64,
    ) -> io::Result<EnginePool> {
        if engines > MAX_ENGINES {
            return Err(io::Error::other(format!("{engines} engines are more than there are addresses for")));
        }
        let sockets: io::Result<Vec<Socket>> = (0..gateways).map(|_| listener()).collect();
        let sockets = sockets?;
        let ports: io::Result<Vec<u16>> = sockets.iter().map(port_of).collect();
        let ports = ports?;
        let records = Records {
            engine_records: vec![vec![EngineRecord::default(); engines]; gateways],
            in_flight: vec![0; gateways],
            max_in_flight: vec![0; gateways],
            ..Records::default()
        };
        let shared = Arc::new(Shared {
            records: Mutex::new(records),
            durations: Mutex::new(durations),
            rng: Mutex::new(WyRand::new_seed(seed)),
            engines,
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (over, ended) = oneshot::channel::<()>();
        let of = shared.clone();
        let thread = std::thread::Builder::new().name("engines".into()).spawn(move || {
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(&runtime, async move {
                for (gateway, socket) in sockets.into_iter().enumerate() {
                    match TcpListener::from_std(socket.into()) {
                        Ok(listener) => drop(tokio::task::spawn_local(accept(listener, of.clone(), gateway))),
                        Err(_) => of.records().failed_accepts += 1,
                    }
                }
                // Dropped is as good as told.
                let _ = ended.await;
            });
        })?;
        Ok(EnginePool { shared, ports, over: Some(over), thread: Some(thread) })
    }

    /// Where a gateway finds an engine.
    pub fn address(&self, gateway: usize, engine: usize) -> SocketAddr {
        SocketAddr::new(host(engine).into(), self.ports[gateway])
    }

    pub fn set_durations(&self, durations: RangeInclusive<Duration>) {
        *self.shared.durations.lock().expect("lasts") = durations;
    }

    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.shared.records()
    }
}

impl Drop for EnginePool {
    fn drop(&mut self) {
        drop(self.over.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn host(engine: usize) -> Ipv4Addr {
    Ipv4Addr::from(ADDRESS_BASE + 1 + engine as u32)
}

fn engine_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(host) => u32::from(host).checked_sub(ADDRESS_BASE + 1).map(|at| at as usize),
        IpAddr::V6(_) => None,
    }
}

/// Of every address of this machine, and bound to its loopback: nothing comes from elsewhere.
fn listener() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.listen(4096)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

fn port_of(socket: &Socket) -> io::Result<u16> {
    let address = socket.local_addr()?.as_socket();
    address.map(|address| address.port()).ok_or_else(|| io::Error::other("a listener without a port"))
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, gateway: usize) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // For want of descriptors: those in use end by themselves.
            shared.records().failed_accepts += 1;
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let engine = stream.local_addr().ok().and_then(engine_of).filter(|at| *at < shared.engines);
        let Some(engine) = engine.filter(|_| from.ip().is_loopback()) else {
            shared.records().failed_accepts += 1;
            continue;
        };
        {
            let mut records = shared.records();
            records.handshakes.push((Instant::now(), gateway));
            let record = &mut records.engine_records[gateway][engine];
            record.opened += 1;
            record.open += 1;
            record.max_open = record.max_open.max(record.open);
        }
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            // Broken off or not: the gateway's side of the connection is what is recorded.
            let _ = serve(&stream, &shared, gateway, engine).await;
            shared.records().engine_records[gateway][engine].open -= 1;
        });
    }
}

async fn serve(stream: &TcpStream, shared: &Shared, gateway: usize, engine: usize) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        let Some((call, used)) = parse_call(&bytes) else {
            stream.readable().await?;
            let mut piece = [0; 4096];
            match stream.try_read(&mut piece) {
                Ok(0) => return Ok(()),
                Ok(_) if bytes.len() > MAX_CALL_BYTES => return Ok(()),
                Ok(count) => bytes.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            continue;
        };
        bytes.drain(..used);
        let (status, fields, body) = answer(shared, &call, gateway, engine).await;
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        let mut left = &[head.as_bytes(), body].concat()[..];
        while !left.is_empty() {
            stream.writable().await?;
            match stream.try_write(left) {
                Ok(count) => left = &left[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}

struct Call {
    method: String,
    id: String,
}

/// The first call, once all of it is here, and its length.
fn parse_call(bytes: &[u8]) -> Option<(Call, usize)> {
    // What is read of a head that has not ended would pass for all of it.
    bytes.windows(4).any(|end| end == b"\r\n\r\n").then_some(())?;
    let mut rest = bytes;
    let (first, headers) = read_head(&mut rest)?;
    read_body(&mut rest, &headers, &mut Vec::new(), u64::MAX)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let id = match headers.get("x-ticket") {
        Some(id) => id.clone(),
        None => path.split('/').nth(2).unwrap_or_default().to_string(),
    };
    Some((Call { method: method.to_string(), id }, bytes.len() - rest.len()))
}

/// While it lives, a gateway has one statement more in work.
struct InFlight<'a>(&'a Shared, usize);

impl<'a> InFlight<'a> {
    fn new(shared: &'a Shared, gateway: usize) -> InFlight<'a> {
        let records = &mut *shared.records();
        records.in_flight[gateway] += 1;
        records.max_in_flight[gateway] = records.max_in_flight[gateway].max(records.in_flight[gateway]);
        InFlight(shared, gateway)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.records().in_flight[self.1] -= 1;
    }
}

async fn answer(
    shared: &Shared,
    call: &Call,
    gateway: usize,
    engine: usize,
) -> (u16, &'static str, &'static [u8]) {
    let began = Instant::now();
    let _in_work = (call.method == "POST").then(|| InFlight::new(shared, gateway));
    match call.method.as_str() {
        "POST" => {
            let due = began + shared.draw_duration();
            let mut records = shared.records();
            records.engine_records[gateway][engine].statements += 1;
            *records.started.entry(call.id.clone()).or_default() += 1;
            records.due.insert(call.id.clone(), due);
        }
        "DELETE" => {
            shared.records().due.remove(&call.id);
            return (204, "", b"");
        }
        _ => {}
    }
    let Some(due) = shared.records().due.get(&call.id).copied() else { return (500, "", b"") };
    tokio::time::sleep_until(due.min(began + POLL_TIMEOUT).into()).await;
    if Instant::now() >= due {
        return (200, "Page-Count: 1\r\n", b"well\t1\tx\n");
    }
    (202, "", b"")
}
