//! The list of engines: the events told at the start, and DNS over UDP from then on.

use crate::reducer::Listed;
use bramblewharf::interface::{EngineEntry, EngineState, Id};
use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, RecordType};
use nanorand::{Rng, WyRand};
use serde_json::Value;
use slog::Logger;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{timeout_at, Instant};

const SERVICE: &str = "_rpc._tcp.mesh.local.";
/// How often the name service is asked, and the longest answer it gives.
const EVERY: Duration = Duration::from_millis(150);
const LONGEST: usize = 8_000;
/// Answers in a row with an earlier number after which the name service itself is taken to have gone back.
const GONE_BACK: u32 = 20;
/// Questions in a row without an answer after which that is worth a line in the log.
const SILENT: u32 = 20;

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
    socket: UdpSocket,
    rng: WyRand,
    name: Name,
    no: u64,
    earlier: u32,
    next: Instant,
    /// Questions in a row without a usable answer, and whether that was told.
    unanswered: u32,
    silent: bool,
    log: Logger,
}

impl Asker {
    pub async fn start(server: SocketAddr, no: u64, seed: u64, log: Logger) -> std::io::Result<Asker> {
        let local: IpAddr = match server {
            SocketAddr::V4(_) => IpAddr::from([0, 0, 0, 0]),
            SocketAddr::V6(_) => IpAddr::from([0; 16]),
        };
        let socket = UdpSocket::bind((local, 0)).await?;
        // What others send to this socket never arrives.
        socket.connect(server).await?;
        let name = Name::from_str(SERVICE).map_err(std::io::Error::other)?;
        let next = Instant::now();
        Ok(Asker {
            socket,
            rng: WyRand::new_seed(seed),
            name,
            no,
            earlier: 0,
            next,
            unanswered: 0,
            silent: false,
            log,
        })
    }

    pub async fn change(&mut self) -> Word {
        loop {
            tokio::time::sleep_until(self.next).await;
            self.next = Instant::now() + EVERY;
            if let Some(known) = self.ask().await {
                return Word::List(known);
            }
            self.unanswered = self.unanswered.saturating_add(1);
            if self.unanswered > SILENT && !self.silent {
                self.silent = true;
                slog::warn!(self.log, "name service silent: the list may be old"; "no" => self.no);
                return Word::Silent;
            }
        }
    }

    async fn ask(&mut self) -> Option<Known> {
        let mut question = Message::query();
        question.metadata.id = self.rng.generate();
        question.add_query(Query::query(self.name.clone(), RecordType::SRV));
        let id = question.metadata.id;
        self.socket.send(&question.to_vec().ok()?).await.ok()?;
        let mut bytes = [0; LONGEST];
        loop {
            let read = timeout_at(self.next, self.socket.recv(&mut bytes)).await.ok()?;
            let Ok(length) = read else {
                // Nobody listens there now; the next question comes in its time.
                tokio::time::sleep_until(self.next).await;
                return None;
            };
            let Ok(answer) = Message::from_vec(&bytes[..length]) else { continue };
            let ours = answer.queries.first().is_none_or(|q| q.name() == &self.name);
            if answer.metadata.id != id || answer.metadata.message_type != MessageType::Response || !ours {
                continue;
            }
            let Some(known) = read_answer(&answer, &self.name) else { continue };
            return self.news(known);
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
        news.then_some(known)
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
        let told = |key: &str| texts.get(key).map(String::as_str);
        let entry = EngineEntry {
            id: id.into(),
            zone: zone.into(),
            kind: told("kind").unwrap_or_default().into(),
            cell: told("cell").and_then(|cell| cell.parse().ok()).unwrap_or(0),
            state: if srv.priority == 0 { EngineState::In } else { EngineState::Draining },
            nominal: f64::from(srv.weight) / 10.0,
            started: Duration::from_millis(told("started").and_then(|at| at.parse().ok()).unwrap_or(0)),
        };
        list.push(Listed { entry, address: SocketAddr::new(ip, srv.port) });
    }
    Some(Known { no: u64::from(serial), list })
}
