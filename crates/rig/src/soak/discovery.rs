//! Name service of the fleet under test: one list of engines, and a name server for each gateway, so that
//! each gateway can be answered late, wrongly or not at all. Every notification is recorded with its time.

use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use nanorand::{Rng, WyRand};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const SERVICE: &str = "_rpc._tcp.mesh.local.";
const ZONE: &str = "mesh.local.";
/// Interval at which a name server checks for queries and for answers that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// An engine as the name service lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub draining: bool,
}

/// When an engine began to drain or was removed without draining, and the serial of the first list that shows
/// it.
#[derive(Clone, Debug)]
pub struct Departure {
    pub engine: String,
    pub at: Instant,
    pub serial: u32,
}

/// Every version of the engine list.
#[derive(Default)]
struct ListHistory {
    /// Every list so far; the list with serial `n` is at index `n - 1`.
    lists: Vec<Vec<Entry>>,
    departures: Vec<Departure>,
}

impl ListHistory {
    fn serial(&self) -> u32 {
        self.lists.len() as u32
    }

    fn list(&self, serial: u32) -> Vec<Entry> {
        self.lists.get(serial.saturating_sub(1) as usize).cloned().unwrap_or_default()
    }
}

/// The authoritative list of engines.
#[derive(Clone, Default)]
pub struct Discovery(Arc<Mutex<ListHistory>>);

impl Discovery {
    fn history(&self) -> MutexGuard<'_, ListHistory> {
        self.0.lock().expect("list history")
    }

    /// Publishes a changed list and records the engines that drain or were removed by it.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut history = self.history();
        let before = history.list(history.serial());
        let mut now = before.clone();
        change(&mut now);
        let serial = history.serial() + 1;
        for entry in before.iter().filter(|entry| !entry.draining) {
            if !now.iter().any(|other| other.id == entry.id && !other.draining) {
                history.departures.push(Departure { engine: entry.id.clone(), at: Instant::now(), serial });
            }
        }
        history.lists.push(now);
    }

    /// All departures so far.
    pub fn departures(&self) -> Vec<Departure> {
        self.history().departures.clone()
    }

    /// The serial of the current list and its value for `known` of a configuration.
    pub fn configured_list(&self) -> (u32, Value) {
        let history = self.history();
        let serial = history.serial();
        let member = |entry: &Entry| {
            json!({"id": entry.id, "host_port": entry.address.to_string(), "locality": "here", "flavor": "std",
                "cell": 0, "phase": if entry.draining { "draining" } else { "up" }, "size": 4, "up_since_ms": 0})
        };
        let members: Vec<Value> = history.list(serial).iter().map(member).collect();
        let roster = json!({"revision": serial, "complete": true, "members": members});
        (serial, json!({"no": serial, "items": [{"no": serial, "roster": roster}]}))
    }
}

/// Faults of one name server, printed in reports; `lost` to `older` are in percent of its answers.
#[derive(Clone, Debug, Default)]
pub struct NameFaults {
    pub silent: bool,
    pub lost: u32,
    pub failed: u32,
    pub cut: u32,
    pub other_id: u32,
    pub older: u32,
    pub late: Duration,
    /// Answers to sockets that have asked before are dropped; only new sockets receive them.
    pub dead_flows: bool,
    /// Answers carry serials that are lower than the true ones by this.
    pub numbers_back: u32,
}

/// An answer with a complete list that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    pub sent_at: Instant,
    /// The true serial of that list.
    pub serial: u32,
    /// The answer was dropped: only a gateway that asks again from another socket can learn of the list.
    pub on_dead_path: bool,
}

/// The name server that one gateway asks, on a UDP socket.
pub struct NameServer {
    pub address: SocketAddr,
    faults: Arc<Mutex<NameFaults>>,
    notifications: Arc<Mutex<Vec<Notification>>>,
    /// When the faults changed.
    fault_changes: Arc<Mutex<Vec<Instant>>>,
    shutdown: Arc<AtomicBool>,
}

impl NameServer {
    /// Starts a name server on a free port.
    pub fn start(discovery: &Discovery, seed: u64) -> io::Result<NameServer> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let name_server = NameServer {
            address: socket.local_addr()?,
            faults: Arc::default(),
            notifications: Arc::default(),
            fault_changes: Arc::default(),
            shutdown: Arc::default(),
        };
        let worker = Worker {
            socket,
            discovery: discovery.clone(),
            faults: name_server.faults.clone(),
            notifications: name_server.notifications.clone(),
            rng: WyRand::new_seed(seed),
            pending: Vec::new(),
            known_clients: HashSet::new(),
            dead_clients: HashSet::new(),
        };
        let shutdown = name_server.shutdown.clone();
        std::thread::spawn(move || worker.run(&shutdown));
        Ok(name_server)
    }

    /// Sets the faults and records the time.
    pub fn set_faults(&self, faults: NameFaults) {
        *self.faults.lock().expect("faults") = faults;
        self.fault_changes.lock().expect("fault changes").push(Instant::now());
    }

    /// When the faults changed.
    pub fn fault_changes(&self) -> Vec<Instant> {
        self.fault_changes.lock().expect("fault changes").clone()
    }

    /// All notifications sent so far.
    pub fn notifications(&self) -> Vec<Notification> {
        self.notifications.lock().expect("notifications").clone()
    }
}

impl Drop for NameServer {
    fn drop(&mut self) {
        self.shutdown.store(true, Ordering::Relaxed);
    }
}

/// An answer that is due later.
struct PendingAnswer {
    due: Instant,
    to: SocketAddr,
    bytes: Vec<u8>,
    /// The true serial of the list, if the answer holds it completely.
    serial: Option<u32>,
}

struct Worker {
    socket: UdpSocket,
    discovery: Discovery,
    faults: Arc<Mutex<NameFaults>>,
    notifications: Arc<Mutex<Vec<Notification>>>,
    rng: WyRand,
    pending: Vec<PendingAnswer>,
    /// Sockets that have asked.
    known_clients: HashSet<SocketAddr>,
    /// Of these, the sockets whose answers are dropped.
    dead_clients: HashSet<SocketAddr>,
}

impl Worker {
    fn run(mut self, shutdown: &AtomicBool) {
        let mut bytes = [0; 512];
        while !shutdown.load(Ordering::Relaxed) {
            if let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
                if let Ok(query) = Message::from_vec(&bytes[..length]) {
                    self.handle_query(query.metadata.id, from);
                }
            }
            self.send_due();
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.generate_range(0..100u32) < percent
    }

    fn handle_query(&mut self, id: u16, to: SocketAddr) {
        let faults = self.faults.lock().expect("faults").clone();
        match faults.dead_flows {
            true if self.dead_clients.is_empty() => {
                self.dead_clients = std::mem::take(&mut self.known_clients)
            }
            true => {}
            false => self.dead_clients.clear(),
        }
        self.known_clients.insert(to);
        if faults.silent || self.chance(faults.lost) {
            return;
        }
        let (now, list) = {
            let history = self.discovery.history();
            (history.serial(), history.list(history.serial()))
        };
        let (serial, list) = match self.chance(faults.older) && now > 1 {
            true => (now - 1, self.discovery.history().list(now - 1)),
            false => (now, list),
        };
        let other_id = self.chance(faults.other_id);
        let id = if other_id { id.wrapping_add(1) } else { id };
        let mut message = list_response(id, serial.saturating_sub(faults.numbers_back).max(1), &list);
        // The gateway ignores an answer with another id: it notifies nobody.
        let mut complete = !other_id;
        if self.chance(faults.failed) {
            message.metadata.response_code = ResponseCode::ServFail;
            complete = false;
        }
        let Ok(mut bytes) = message.to_vec() else { return };
        if self.chance(faults.cut) {
            bytes.truncate(bytes.len() / 2);
            complete = false;
        }
        let due = Instant::now() + faults.late;
        self.pending.push(PendingAnswer { due, to, bytes, serial: Some(serial).filter(|_| complete) });
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let silent = self.faults.lock().expect("faults").silent;
        let (due, pending) = self.pending.drain(..).partition(|pending| pending.due <= now);
        self.pending = pending;
        for PendingAnswer { to, bytes, serial, .. } in due {
            // Answers that were in flight when the server fell silent don't arrive either.
            if silent {
                continue;
            }
            // An answer on a dead path is recorded as sent, but is dropped.
            if !self.dead_clients.contains(&to) && self.socket.send_to(&bytes, to).is_err() {
                continue;
            }
            if let Some(serial) = serial {
                let on_dead_path = self.dead_clients.contains(&to);
                self.notifications.lock().expect("notifications").push(Notification {
                    sent_at: Instant::now(),
                    serial,
                    on_dead_path,
                });
            }
        }
    }
}

fn list_response(id: u16, serial: u32, list: &[Entry]) -> Message {
    let name = |text: &str| Name::from_ascii(text).expect("a name");
    let record = |owner: &str, data| Record::from_rdata(name(owner), 0, data);
    let mut message = Message::query();
    (message.metadata.id, message.metadata.message_type) = (id, MessageType::Response);
    for entry in list {
        let target = format!("{}.here.hosts.", entry.id);
        let IpAddr::V4(ip) = entry.address.ip() else { continue };
        let srv = SRV::new(u16::from(entry.draining), 40, entry.address.port(), name(&target));
        message.add_answer(record(SERVICE, RData::SRV(srv)));
        message.add_additional(record(&target, RData::A(A(ip))));
        let texts = vec!["kind=std".into(), "cell=0".into(), "started=0".into()];
        message.add_additional(record(&target, RData::TXT(TXT::new(texts))));
    }
    let soa = SOA::new(name(ZONE), name(ZONE), serial, 1, 1, 1, 1);
    message.add_authority(record(ZONE, RData::SOA(soa)));
    message
}
