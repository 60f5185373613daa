//! Relays between processes, which inject network faults into each direction of each link: cuts, loss,
//! duplicates and delay of datagrams; stalls, refusals and resets of streams.
//!
//! A datagram link has a socket on each side, so that each process knows every other by an address of its
//! own. For streams, each process reaches each engine by an address of its own.

use std::collections::BinaryHeap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Largest datagram that is relayed.
const MAX_DATAGRAM: usize = 2048;
/// Interval at which a thread that waits for bytes checks for shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of one direction of a datagram link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathState {
    pub cut: bool,
    pub loss_percent: u8,
    pub duplicate_percent: u8,
    /// Each datagram is delayed by a random time up to this.
    pub max_delay: Duration,
}

/// A datagram link with the state of both directions.
#[derive(Default)]
pub struct Link {
    directions: Mutex<[PathState; 2]>,
    pub forwarded: AtomicU64,
    pub dropped: AtomicU64,
    /// Datagrams that a replay sends again, with their directions.
    recorded: Mutex<Vec<(usize, Vec<u8>)>>,
    replay_requested: AtomicBool,
    shutdown: AtomicBool,
}

impl Link {
    /// Sets the state of a direction; 0 goes from the first side to the second.
    pub fn set(&self, direction: usize, state: PathState) {
        if let Ok(mut directions) = self.directions.lock() {
            directions[direction] = state;
        }
    }

    /// Sets the state of both directions.
    pub fn set_both(&self, state: PathState) {
        self.set(0, state);
        self.set(1, state);
    }

    /// Sends the recorded datagrams from the first side to the second once more.
    pub fn replay(&self) {
        self.replay_requested.store(true, Ordering::SeqCst);
    }
}

/// The relay of a datagram link between two processes.
pub struct UdpRelay {
    /// The address at which the first process reaches the second, and the second the first.
    pub addresses: [SocketAddr; 2],
    pub link: Arc<Link>,
}

struct DelayedDatagram {
    due: Instant,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &DelayedDatagram) -> bool {
        self.due == other.due
    }
}
impl Eq for DelayedDatagram {}
impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for DelayedDatagram {
    fn cmp(&self, other: &DelayedDatagram) -> std::cmp::Ordering {
        other.due.cmp(&self.due)
    }
}

impl UdpRelay {
    /// Binds the sockets of a link, whose addresses are needed before its ends are known.
    pub fn bind() -> io::Result<[UdpSocket; 2]> {
        Ok([UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?, UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?])
    }

    /// Relays between two processes that listen at `ends`. Datagrams to the first socket come from the first
    /// process.
    pub fn start(sockets: [UdpSocket; 2], ends: [SocketAddr; 2], seed: u64) -> io::Result<UdpRelay> {
        let addresses = [sockets[0].local_addr()?, sockets[1].local_addr()?];
        let link = Arc::new(Link::default());
        for socket in &sockets {
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
        }
        for direction in 0..2 {
            let (from, to) = (sockets[direction].try_clone()?, sockets[1 - direction].try_clone()?);
            let (link, end) = (link.clone(), ends[1 - direction]);
            std::thread::spawn(move || {
                forward_datagrams(direction, &from, &to, end, &link, seed + direction as u64)
            });
        }
        Ok(UdpRelay { addresses, link })
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.link.shutdown.store(true, Ordering::SeqCst);
    }
}

fn forward_datagrams(
    direction: usize,
    from: &UdpSocket,
    to: &UdpSocket,
    end: SocketAddr,
    link: &Link,
    seed: u64,
) {
    use nanorand::Rng;
    let mut rng = nanorand::WyRand::new_seed(seed);
    let mut bytes = [0; MAX_DATAGRAM];
    let mut delayed = BinaryHeap::new();
    while !link.shutdown.load(Ordering::SeqCst) {
        let state = link.directions.lock().map(|directions| directions[direction]).unwrap_or_default();
        let wait = delayed.peek().map_or(POLL_INTERVAL, |first: &DelayedDatagram| {
            first.due.saturating_duration_since(Instant::now())
        });
        let _ = from.set_read_timeout(Some(wait.clamp(Duration::from_millis(1), POLL_INTERVAL)));
        if let Ok((length, _)) = from.recv_from(&mut bytes) {
            let bytes = bytes[..length].to_vec();
            if let Ok(mut recorded) = link.recorded.lock() {
                if recorded.len() < 256 {
                    recorded.push((direction, bytes.clone()));
                }
            }
            let percent = |rng: &mut nanorand::WyRand, of: u8| rng.generate_range(0..100u8) < of;
            if state.cut || percent(&mut rng, state.loss_percent) {
                link.dropped.fetch_add(1, Ordering::Relaxed);
            } else {
                link.forwarded.fetch_add(1, Ordering::Relaxed);
                let copies = 1 + usize::from(percent(&mut rng, state.duplicate_percent));
                for _ in 0..copies {
                    let max_delay = state.max_delay.as_micros() as u64;
                    let wait = if max_delay == 0 { 0 } else { rng.generate_range(0..max_delay) };
                    let due = Instant::now() + Duration::from_micros(wait);
                    delayed.push(DelayedDatagram { due, bytes: bytes.clone() });
                }
            }
        }
        if direction == 0 && link.replay_requested.swap(false, Ordering::SeqCst) {
            let recorded = link.recorded.lock().map(|recorded| recorded.clone()).unwrap_or_default();
            for (_, bytes) in recorded.into_iter().filter(|(of, _)| *of == direction) {
                delayed.push(DelayedDatagram { due: Instant::now(), bytes });
            }
        }
        while delayed.peek().is_some_and(|first| first.due <= Instant::now()) {
            let Some(DelayedDatagram { bytes, .. }) = delayed.pop() else { break };
            let _ = to.send_to(&bytes, end);
        }
    }
}

/// The state of the connections through a stream relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamState {
    #[default]
    Open,
    /// Connections stay open, but nothing is forwarded.
    Stalled,
    /// Nothing is forwarded on connections that were open when this state was set; new ones work.
    ExistingStalled,
    /// New connections are refused and open ones are reset.
    Refused,
}

/// The relay of one process's connections to an engine.
pub struct TcpRelay {
    pub address: SocketAddr,
    /// Number of connections accepted so far.
    pub connections: Arc<AtomicU64>,
    state: Arc<Mutex<StreamState>>,
    /// How often the state was set.
    changes: Arc<AtomicU64>,
    shutdown: Arc<AtomicBool>,
}

impl TcpRelay {
    /// Starts a relay to an engine on a free port.
    pub fn start(to: SocketAddr) -> io::Result<TcpRelay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let (state, shutdown) = (Arc::new(Mutex::new(StreamState::Open)), Arc::new(AtomicBool::new(false)));
        let (shared_state, shared_shutdown) = (state.clone(), shutdown.clone());
        let connections = Arc::new(AtomicU64::new(0));
        let accepted = connections.clone();
        let changes = Arc::new(AtomicU64::new(0));
        let changed = changes.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if shared_shutdown.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                accepted.fetch_add(1, Ordering::Relaxed);
                let (state, shutdown) = (shared_state.clone(), shared_shutdown.clone());
                if current(&state) == StreamState::Refused {
                    reset_connection(&stream);
                    continue;
                }
                let Ok(other) = TcpStream::connect(to) else {
                    reset_connection(&stream);
                    continue;
                };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                for (from, into) in [(&stream, &other), (&other, &stream)] {
                    let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else { continue };
                    let (state, shutdown) = (state.clone(), shutdown.clone());
                    let (opened, changed) = (changed.load(Ordering::SeqCst), changed.clone());
                    let was_open = move || opened < changed.load(Ordering::SeqCst);
                    std::thread::spawn(move || forward_stream(from, into, &state, &was_open, &shutdown));
                }
            }
        });
        Ok(TcpRelay { address, connections, state, changes, shutdown })
    }

    /// Sets the state of the relay.
    pub fn set(&self, state: StreamState) {
        if let Ok(mut current) = self.state.lock() {
            *current = state;
            self.changes.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shutdown.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn current(state: &Mutex<StreamState>) -> StreamState {
    state.lock().map(|state| *state).unwrap_or_default()
}

/// Closes a connection by a TCP reset.
pub fn reset_connection(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Forwards one direction of a connection; `was_open` says whether it was open when the state was set last.
fn forward_stream(
    mut from: TcpStream,
    mut into: TcpStream,
    state: &Mutex<StreamState>,
    was_open: &dyn Fn() -> bool,
    shutdown: &AtomicBool,
) {
    let mut bytes = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    while !shutdown.load(Ordering::SeqCst) {
        match current(state) {
            StreamState::Refused => {
                reset_connection(&from);
                reset_connection(&into);
                return;
            }
            StreamState::Stalled => std::thread::sleep(POLL_INTERVAL),
            StreamState::ExistingStalled if was_open() => std::thread::sleep(POLL_INTERVAL),
            StreamState::Open | StreamState::ExistingStalled => match from.read(&mut bytes) {
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
