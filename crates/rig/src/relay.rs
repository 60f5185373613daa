//! Stands between processes: each way of each link can be cut, held, lost, doubled, delayed or broken alone.
//!
//! For datagrams a link has a socket on each side, so that each process has an address of its own for each other; for streams
//! each process has its own address for each engine, and a connection through it can be cut, held silent or reset.

use std::collections::BinaryHeap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LONGEST: usize = 2048;
/// How often a thread that waits for bytes looks whether it is still wanted.
const LOOK: Duration = Duration::from_millis(20);

/// One way of a link, as it is now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    /// In percent.
    pub lost: u8,
    pub doubled: u8,
    /// Up to so late, each by chance.
    pub late: Duration,
}

/// What a link does to datagrams, and what it did.
#[derive(Default)]
pub struct Link {
    ways: Mutex<[Way; 2]>,
    pub passed: AtomicU64,
    pub dropped: AtomicU64,
    /// Datagrams that passed of late, to come again.
    kept: Mutex<Vec<(usize, Vec<u8>)>>,
    again: AtomicBool,
    over: AtomicBool,
}

impl Link {
    /// `way` 0 goes from the first side to the second.
    pub fn set(&self, way: usize, state: Way) {
        if let Ok(mut ways) = self.ways.lock() {
            ways[way] = state;
        }
    }

    pub fn set_both(&self, state: Way) {
        self.set(0, state);
        self.set(1, state);
    }

    /// All that was kept comes once more.
    pub fn replay(&self) {
        self.again.store(true, Ordering::SeqCst);
    }
}

/// A link between two processes: where each sends what is for the other.
pub struct UdpRelay {
    /// Where the first finds the second, and the second the first.
    pub addresses: [SocketAddr; 2],
    pub link: Arc<Link>,
}

struct Late {
    at: Instant,
    bytes: Vec<u8>,
}

impl PartialEq for Late {
    fn eq(&self, other: &Late) -> bool {
        self.at == other.at
    }
}
impl Eq for Late {}
impl PartialOrd for Late {
    fn partial_cmp(&self, other: &Late) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Late {
    fn cmp(&self, other: &Late) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

impl UdpRelay {
    /// Sockets of a link whose ends are not known yet.
    pub fn bind() -> io::Result<[UdpSocket; 2]> {
        Ok([UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?, UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?])
    }

    /// Between two processes that listen at `ends`. What comes to the socket on the first's side is from the first.
    pub fn start(sockets: [UdpSocket; 2], ends: [SocketAddr; 2], seed: u64) -> io::Result<UdpRelay> {
        let addresses = [sockets[0].local_addr()?, sockets[1].local_addr()?];
        let link = Arc::new(Link::default());
        for socket in &sockets {
            socket.set_read_timeout(Some(LOOK))?;
        }
        for way in 0..2 {
            let (from, to) = (sockets[way].try_clone()?, sockets[1 - way].try_clone()?);
            let (link, end) = (link.clone(), ends[1 - way]);
            std::thread::spawn(move || carry(way, &from, &to, end, &link, seed + way as u64));
        }
        Ok(UdpRelay { addresses, link })
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.link.over.store(true, Ordering::SeqCst);
    }
}

fn carry(way: usize, from: &UdpSocket, to: &UdpSocket, end: SocketAddr, link: &Link, seed: u64) {
    use nanorand::Rng;
    let mut rng = nanorand::WyRand::new_seed(seed);
    let mut bytes = [0; LONGEST];
    let mut late = BinaryHeap::new();
    while !link.over.load(Ordering::SeqCst) {
        let state = link.ways.lock().map(|ways| ways[way]).unwrap_or_default();
        let wait =
            late.peek().map_or(LOOK, |first: &Late| first.at.saturating_duration_since(Instant::now()));
        let _ = from.set_read_timeout(Some(wait.clamp(Duration::from_millis(1), LOOK)));
        if let Ok((length, _)) = from.recv_from(&mut bytes) {
            let bytes = bytes[..length].to_vec();
            if let Ok(mut kept) = link.kept.lock() {
                if kept.len() < 256 {
                    kept.push((way, bytes.clone()));
                }
            }
            let percent = |rng: &mut nanorand::WyRand, of: u8| rng.generate_range(0..100u8) < of;
            if state.cut || percent(&mut rng, state.lost) {
                link.dropped.fetch_add(1, Ordering::Relaxed);
            } else {
                link.passed.fetch_add(1, Ordering::Relaxed);
                let copies = 1 + usize::from(percent(&mut rng, state.doubled));
                for _ in 0..copies {
                    let most = state.late.as_micros() as u64;
                    let wait = if most == 0 { 0 } else { rng.generate_range(0..most) };
                    let at = Instant::now() + Duration::from_micros(wait);
                    late.push(Late { at, bytes: bytes.clone() });
                }
            }
        }
        if way == 0 && link.again.swap(false, Ordering::SeqCst) {
            let kept = link.kept.lock().map(|kept| kept.clone()).unwrap_or_default();
            for (_, bytes) in kept.into_iter().filter(|(of, _)| *of == way) {
                late.push(Late { at: Instant::now(), bytes });
            }
        }
        while late.peek().is_some_and(|first| first.at <= Instant::now()) {
            let Some(Late { bytes, .. }) = late.pop() else { break };
            let _ = to.send_to(&bytes, end);
        }
    }
}

/// What a link of streams does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Streams {
    #[default]
    Well,
    /// Open, and silent.
    Silent,
    /// Connections that were open by then are silent, new ones are well.
    Held,
    /// New connections are refused, and those that are open reset.
    Gone,
}

/// Carries connections to an engine.
pub struct TcpRelay {
    pub address: SocketAddr,
    /// Connections that came, whatever became of them.
    pub came: Arc<AtomicU64>,
    state: Arc<Mutex<Streams>>,
    /// How often the state has changed.
    changes: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
}

impl TcpRelay {
    pub fn start(to: SocketAddr) -> io::Result<TcpRelay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let (state, over) = (Arc::new(Mutex::new(Streams::Well)), Arc::new(AtomicBool::new(false)));
        let (of, ends) = (state.clone(), over.clone());
        let came = Arc::new(AtomicU64::new(0));
        let counts = came.clone();
        let changes = Arc::new(AtomicU64::new(0));
        let changed = changes.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                counts.fetch_add(1, Ordering::Relaxed);
                let (state, over) = (of.clone(), ends.clone());
                if now(&state) == Streams::Gone {
                    reset(&stream);
                    continue;
                }
                let Ok(other) = TcpStream::connect(to) else {
                    reset(&stream);
                    continue;
                };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                for (from, into) in [(&stream, &other), (&other, &stream)] {
                    let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else { continue };
                    let (state, over) = (state.clone(), over.clone());
                    let (opened, changed) = (changed.load(Ordering::SeqCst), changed.clone());
                    let was_open = move || opened < changed.load(Ordering::SeqCst);
                    std::thread::spawn(move || pass(from, into, &state, &was_open, &over));
                }
            }
        });
        Ok(TcpRelay { address, came, state, changes, over })
    }

    pub fn set(&self, state: Streams) {
        if let Ok(mut now) = self.state.lock() {
            *now = state;
            self.changes.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn now(state: &Mutex<Streams>) -> Streams {
    state.lock().map(|state| *state).unwrap_or_default()
}

/// Its end, with nothing said.
pub fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// `was_open`: whether this connection was open when the state changed last.
fn pass(
    mut from: TcpStream,
    mut into: TcpStream,
    state: &Mutex<Streams>,
    was_open: &dyn Fn() -> bool,
    over: &AtomicBool,
) {
    let mut bytes = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(LOOK));
    while !over.load(Ordering::SeqCst) {
        match now(state) {
            Streams::Gone => {
                reset(&from);
                reset(&into);
                return;
            }
            Streams::Silent => std::thread::sleep(LOOK),
            Streams::Held if was_open() => std::thread::sleep(LOOK),
            Streams::Well | Streams::Held => match from.read(&mut bytes) {
                Ok(0) => {
                    let _ = into.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) => {
                    if into.write_all(&bytes[..length]).is_err() {
                        return;
                    }
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) => return,
            },
        }
    }
}
