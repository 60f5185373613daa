//! The list of engines: the events told at the start, and DNS over UDP from then on.

use crate::reducer::Listed;
use bramblewharf::interface::{EngineEntry, EngineState, Id};
use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, RecordType};
use nanorand::{Rng, WyRand};
use serde_json::Value;
use slog::Logger;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{timeout_at, Instant};

const SERVICE: &str = "_rpc._tcp.mesh.local.";
/// How often the name service is asked, when again after an answer that told nothing, and the longest answer it gives.
const EVERY: Duration = Duration::from_millis(150);
const AGAIN: Duration = Duration::from_millis(40);
const LONGEST: usize = 8_000;
/// Questions that an answer may yet come for: a late one is as good as any other of its number.
const AWAITED: usize = 20;
/// Questions in a row without a usable answer after which they are asked from a new socket: a path may have fallen silent for
/// one, and stay so. Answers to the one before are still heard until the next.
const FRESH_SOCKET: u32 = 8;
/// Answers in a row with an earlier number (half a minute of them) after which the name service itself is taken to have
/// gone back.
const GONE_BACK: u32 = 200;
/// For how long nothing usable may come before that is told: quiet is no good news.
const SILENT: Duration = Duration::from_millis(1200);

/// The list as it stands after an event with this number.
#[derive(Clone, Debug)]
pub struct Known {
    pub no: u64,
    pub list: Vec<Listed>,
}

/// Reads `known` of the configuration: the first event holds the whole list, later ones what has changed.
pub fn known(value: &Value) -> Result<Known, String> {
    let mut engines: BTreeMap<Id, Listed> = BTreeMap::new();
    let items = value.get("items").and_then(Value::as_array).ok_or("known.items: is not a list")?;
    for (at, item) in items.iter().enumerate() {
        let path = format!("known.items[{at}].roster");
        let roster = item.get("roster").ok_or_else(|| format!("{path}: is missing"))?;
        let members = roster.get("members").and_then(Value::as_array);
        let members = members.ok_or_else(|| format!("{path}.members: is not a list"))?;
        if at == 0 || roster.get("complete").and_then(Value::as_bool) == Some(true) {
            engines.clear();
        }
        for (at, row) in members.iter().enumerate() {
            let listed = member(row).map_err(|e| format!("{path}.members[{at}].{e}"))?;
            engines.insert(listed.entry.id.clone(), listed);
        }
    }
    engines.retain(|_, listed| listed.entry.state != EngineState::Gone);
    let no = value.get("no").and_then(Value::as_u64).ok_or("known.no: is not a whole number")?;
    Ok(Known { no, list: engines.into_values().collect() })
}

fn member(row: &Value) -> Result<Listed, String> {
    let text =
        |key: &str| row.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key}: is not a text"));
    let state = match text("phase")? {
        "up" => EngineState::In,
        "draining" => EngineState::Draining,
        "removed" => EngineState::Gone,
        other => return Err(format!("phase: {other} is not known")),
    };
    let address = text("host_port")?;
    let address = address.parse().map_err(|_| format!("host_port: {address} is no address"))?;
    let entry = EngineEntry {
        id: text("id")?.into(),
        zone: text("locality").unwrap_or_default().into(),
        kind: text("flavor").unwrap_or_default().into(),
        cell: row.get("cell").and_then(Value::as_u64).unwrap_or(0),
        state,
        nominal: row.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        started: Duration::from_millis(row.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0)),
    };
    Ok(Listed { entry, address })
}

/// What the name service lets know.
#[derive(Debug)]
pub enum Word {
    /// The list, once it is another one than before, or known again.
    List(Known),
    /// Nothing usable for a while: the list may be old.
    Silent,
}

/// Asks the name service for as long as it is polled.
pub struct Asker {
    /// None where there is no name service: the list then stays as it was told.
    server: Option<SocketAddr>,
    /// None for as long as none can be had; and the one before it.
    socket: Option<UdpSocket>,
    earlier_socket: Option<UdpSocket>,
    since_dialled: u32,
    rng: WyRand,
    name: Name,
    no: u64,
    earlier: u32,
    next: Instant,
    /// The ids of the last questions, the newest last.
    awaited: VecDeque<u16>,
    /// Questions without a usable answer since the last one, when that was, and whether silence was told.
    unanswered: u32,
    heard: Rc<Cell<Instant>>,
    silent: bool,
    /// Answers that were of no use, since the start.
    pub passed_over: Rc<Cell<u64>>,
    log: Logger,
}

/// A socket for one name service: what others send to it never arrives.
fn dial(server: SocketAddr) -> std::io::Result<UdpSocket> {
    let local: IpAddr = match server {
        SocketAddr::V4(_) => IpAddr::from([0, 0, 0, 0]),
        SocketAddr::V6(_) => IpAddr::from([0; 16]),
    };
    let socket = std::net::UdpSocket::bind((local, 0))?;
    socket.connect(server)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl Asker {
    pub fn start(server: Option<SocketAddr>, no: u64, seed: u64, log: Logger) -> std::io::Result<Asker> {
        let name = Name::from_str(SERVICE).map_err(std::io::Error::other)?;
        let now = Instant::now();
        Ok(Asker {
            server,
            socket: None,
            earlier_socket: None,
            since_dialled: 0,
            rng: WyRand::new_seed(seed),
            name,
            no,
            earlier: 0,
            next: now,
            awaited: VecDeque::new(),
            unanswered: 0,
            heard: Rc::new(Cell::new(now)),
            silent: false,
            passed_over: Rc::default(),
            log,
        })
    }

    /// Asks there from now on, at once; the numbers go on.
    pub fn turn_to(&mut self, server: Option<SocketAddr>) {
        self.server = server;
        (self.socket, self.earlier_socket) = (None, None);
        self.awaited.clear();
        self.next = Instant::now();
    }

    /// When the list was last confirmed, for whoever shows its age.
    pub fn heard(&self) -> Rc<Cell<Instant>> {
        self.heard.clone()
    }

    /// A list from elsewhere is in force unless a later one is.
    pub fn told(&mut self, no: u64) -> bool {
        let later = no > self.no;
        self.no = self.no.max(no);
        later
    }

    /// May be dropped and called again at any time: no more than a question is lost.
    pub async fn change(&mut self) -> Word {
        loop {
            tokio::time::sleep_until(self.next).await;
            self.next = Instant::now() + EVERY;
            if let Some(known) = self.ask().await {
                return Word::List(known);
            }
            self.unanswered = self.unanswered.saturating_add(1);
            if !self.silent && self.heard.get().elapsed() > SILENT {
                self.silent = true;
                slog::warn!(self.log, "name service silent: the list may be old"; "no" => self.no);
                return Word::Silent;
            }
        }
    }

    async fn ask(&mut self) -> Option<Known> {
        let Some(server) = self.server else { return std::future::pending().await };
        if self.socket.is_none() || self.since_dialled >= FRESH_SOCKET {
            // Where none can be had now, the old one serves on, and it is tried again in time.
            if let Ok(fresh) = dial(server) {
                self.earlier_socket = self.socket.replace(fresh);
            }
            self.since_dialled = 0;
        }
        self.since_dialled += 1;
        let mut question = Message::query();
        question.metadata.id = self.rng.generate();
        question.add_query(Query::query(self.name.clone(), RecordType::SRV));
        self.awaited.push_back(question.metadata.id);
        if self.awaited.len() > AWAITED {
            self.awaited.pop_front();
        }
        // Where it cannot be sent or nobody listens, the next question comes in its time.
        if let Some(socket) = &self.socket {
            let _ = socket.send(&question.to_vec().ok()?).await;
        }
        let (mut bytes, mut late) = ([0; LONGEST], [0; LONGEST]);
        loop {
            let read = async {
                tokio::select! {
                    read = receive(&self.socket, &mut bytes) => read,
                    read = receive(&self.earlier_socket, &mut late) => {
                        let length = read?;
                        bytes[..length].copy_from_slice(&late[..length]);
                        Ok(length)
                    }
                }
            };
            let Ok(read) = timeout_at(self.next, read).await else { return None };
            let Ok(length) = read else { continue };
            let word = Message::from_vec(&bytes[..length]).ok().filter(|answer| {
                let ours = answer.queries.first().is_none_or(|q| q.name() == &self.name);
                let response = answer.metadata.message_type == MessageType::Response;
                ours && response && self.awaited.contains(&answer.metadata.id)
            });
            let list = word.as_ref().and_then(|answer| read_answer(answer, &self.name));
            if list.as_ref().is_none_or(|known| known.no < self.no) {
                self.passed_over.set(self.passed_over.get() + 1);
                let why = match (&word, &list) {
                    (None, _) => "no answer to a question of ours",
                    (Some(_), None) => "a failure, or no whole list",
                    (Some(_), Some(_)) => "an earlier number",
                };
                slog::debug!(self.log, "answer of the name service passed over"; "why" => why, "no" => self.no,
                    "its_no" => list.as_ref().map(|known| known.no));
            }
            let newest = word.is_some_and(|answer| answer.metadata.id == question.metadata.id);
            match list {
                Some(known) if known.no >= self.no || newest => return self.news(known),
                None if newest => self.next = self.next.min(Instant::now() + AGAIN),
                _ => {}
            }
        }
    }

    /// A list of the same number is no news, one of an earlier number a late word or another server's.
    fn news(&mut self, known: Known) -> Option<Known> {
        self.earlier = if known.no < self.no { self.earlier + 1 } else { 0 };
        if known.no < self.no && self.earlier < GONE_BACK {
            return None;
        }
        let news = known.no != self.no || self.silent;
        if self.silent {
            slog::info!(self.log, "name service answers again"; "unanswered" => self.unanswered);
        }
        (self.no, self.earlier, self.unanswered, self.silent) = (known.no, 0, 0, false);
        self.since_dialled = 0;
        self.heard.set(Instant::now());
        news.then_some(known)
    }
}

async fn receive(socket: &Option<UdpSocket>, bytes: &mut [u8]) -> std::io::Result<usize> {
    match socket {
        Some(socket) => socket.recv(bytes).await,
        None => std::future::pending().await,
    }
}

/// None where the answer holds no whole list.
pub fn read_answer(answer: &Message, service: &Name) -> Option<Known> {
    if answer.metadata.response_code != ResponseCode::NoError || answer.metadata.truncation {
        return None;
    }
    let serial = answer.authorities.iter().find_map(|record| match &record.data {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    })?;
    let others = || answer.answers.iter().chain(&answer.additionals);
    let mut list = Vec::new();
    for record in answer.answers.iter().filter(|record| record.name == *service) {
        let RData::SRV(srv) = &record.data else { continue };
        let mut labels = srv.target.iter().map(|label| String::from_utf8_lossy(label).into_owned());
        let (id, zone) = (labels.next()?, labels.next()?);
        let of_target = || others().filter(|record| record.name == srv.target);
        let ip = of_target().find_map(|record| record.data.ip_addr())?;
        let mut texts = BTreeMap::new();
        for record in of_target() {
            let RData::TXT(txt) = &record.data else { continue };
            for text in txt.txt_data.iter() {
                if let Some((key, value)) = String::from_utf8_lossy(text).split_once('=') {
                    texts.insert(key.to_string(), value.to_string());
                }
            }
        }
        // Without them placement and the care for cold engines would go by what was never told.
        let told = |key: &str| texts.get(key).map(String::as_str);
        let entry = EngineEntry {
            id: id.into(),
            zone: zone.into(),
            kind: told("kind")?.into(),
            cell: told("cell")?.parse().ok()?,
            state: if srv.priority == 0 { EngineState::In } else { EngineState::Draining },
            nominal: f64::from(srv.weight) / 10.0,
            started: Duration::from_millis(told("started")?.parse().ok()?),
        };
        list.push(Listed { entry, address: SocketAddr::new(ip, srv.port) });
    }
    Some(Known { no: u64::from(serial), list })
}

#[cfg(test)]
mod tests;
