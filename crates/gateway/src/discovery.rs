//! Discovery of engines: the list in the configuration at the start, then DNS queries over UDP to the name
//! service.

mod answer;
mod configured_list;
mod sockets;

pub use answer::read_answer;
pub use configured_list::{read_configured_list, EngineSnapshot};

use futures_util::FutureExt as _;
use hickory_proto::op::{Message, MessageType, Query};
use hickory_proto::rr::{Name, RecordType};
use nanorand::{Rng, WyRand};
use slog::Logger;
use sockets::QuerySockets;
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

const SERVICE_NAME: &str = "_rpc._tcp.mesh.local.";
/// The interval between queries, the shortest retry interval after an unusable answer, and the longest
/// answer.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
const MAX_ANSWER_BYTES: usize = 8_000;
/// Queries that may still be answered: a late answer is as good as any other with its serial.
const MAX_PENDING_QUERIES: usize = 32;
/// Datagrams that are read in a row before the event loop has a turn for everything else, and for how long:
/// whatever the name service sends, it takes a small part of the loop.
const DATAGRAMS_PER_TURN: u32 = 64;
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// Consecutive answers with an earlier serial (about six seconds of them) after which the name service is
/// taken to have been reset. Until then the list counts as unconfirmed.
const SERIAL_RESET_ANSWERS: u32 = 40;
/// How long no usable answer may arrive before the silence is reported.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// A round that ends this long after its deadline shows that the process was paused: an answer may wait
/// unread.
const STALL_THRESHOLD: Duration = Duration::from_millis(30);

/// The result of polling the name service.
#[derive(Debug)]
pub enum ListUpdate {
    /// The list, if it has changed or is confirmed again after a silence, and when it was queried.
    List(EngineSnapshot, Instant),
    /// The list was unchanged when this query was sent.
    Unchanged(Instant),
    /// An earlier serial in answer to the newest query: a stale list, or the name service was reset.
    Disputed(EngineSnapshot),
    /// No usable answer to the last query.
    NoAnswer,
    /// No usable answer for a while: the list may be outdated.
    Silent,
}

/// A query that may still be answered.
struct PendingQuery {
    id: u16,
    sent_at: Instant,
    /// A usable answer has come: further ones are copies of it.
    answered: bool,
}

/// A client of the name service; queries it while `next_update` is polled.
pub struct NameServiceClient {
    /// None where there is no name service: the configured list then stays in force.
    server: Option<SocketAddr>,
    sockets: QuerySockets,
    rng: WyRand,
    name: Name,
    serial: u64,
    earlier_serials: u32,
    next_query: Instant,
    /// The last queries, the newest last.
    pending_queries: VecDeque<PendingQuery>,
    /// Queries since the last usable answer, the time of that answer, and whether the silence was reported.
    unanswered: u32,
    last_confirmed: Rc<Cell<Instant>>,
    silent: bool,
    /// Moving average of the response time.
    answer_time: Duration,
    /// Ignored answers since the start.
    pub ignored_answers: Rc<Cell<u64>>,
    log: Logger,
}

impl NameServiceClient {
    /// Creates a client; `serial` is that of the list in force.
    pub fn start(
        server: Option<SocketAddr>,
        serial: u64,
        seed: u64,
        log: Logger,
    ) -> std::io::Result<NameServiceClient> {
        let name = Name::from_str(SERVICE_NAME).map_err(std::io::Error::other)?;
        let now = Instant::now();
        Ok(NameServiceClient {
            server,
            sockets: QuerySockets::default(),
            rng: WyRand::new_seed(seed),
            name,
            serial,
            earlier_serials: 0,
            next_query: now,
            pending_queries: VecDeque::new(),
            unanswered: 0,
            last_confirmed: Rc::new(Cell::new(now)),
            silent: false,
            answer_time: Duration::ZERO,
            ignored_answers: Rc::default(),
            log,
        })
    }

    /// Sends queries to this server from now on, immediately; the serial is kept.
    pub fn set_server(&mut self, server: Option<SocketAddr>) {
        self.server = server;
        self.sockets.close();
        self.pending_queries.clear();
        self.next_query = Instant::now();
    }

    /// When the list was last confirmed, for reporting its age.
    pub fn last_confirmed(&self) -> Rc<Cell<Instant>> {
        self.last_confirmed.clone()
    }

    /// Takes over the serial of a list from another source. Returns whether it is later than the current one.
    pub fn advance_to(&mut self, serial: u64) -> bool {
        let later = serial > self.serial;
        self.serial = self.serial.max(serial);
        later
    }

    /// The last list was not accepted: the next answer counts as a change whatever its serial.
    pub fn forget_serial(&mut self) {
        (self.serial, self.earlier_serials) = (0, 0);
    }

    /// Waits for the next update. Cancel safe: dropping it loses at most one query.
    pub async fn next_update(&mut self) -> ListUpdate {
        loop {
            tokio::time::sleep_until(self.next_query).await;
            let began = Instant::now();
            self.next_query = began + self.retry_interval();
            let update = self.query().await;
            if let Some(ListUpdate::List(..) | ListUpdate::Unchanged(_)) = update {
                return update.unwrap_or(ListUpdate::NoAnswer);
            }
            self.unanswered = self.unanswered.saturating_add(1);
            if !self.silent && self.last_confirmed.get().elapsed() > SILENCE_TIMEOUT {
                self.silent = true;
                slog::warn!(self.log, "name service silent: the list may be old"; "no" => self.serial);
                return ListUpdate::Silent;
            }
            if let Some(disputed) = update {
                return disputed;
            }
            if self.next_query.elapsed() < STALL_THRESHOLD {
                return ListUpdate::NoAnswer;
            }
        }
    }

    /// How long to wait before a query is repeated from another socket: briefly at first, as the answer may
    /// have been lost, then up to the ordinary interval.
    fn retry_interval(&self) -> Duration {
        let initial = RETRY_INTERVAL.max(self.answer_time * 2);
        (initial * (self.unanswered + 1)).min(QUERY_INTERVAL)
    }

    /// Sends a query and waits for a usable answer.
    async fn query(&mut self) -> Option<ListUpdate> {
        let Some(server) = self.server else { return std::future::pending().await };
        let mut query = Message::query();
        query.metadata.id = self.rng.generate();
        query.add_query(Query::query(self.name.clone(), RecordType::SRV));
        let (id, sent_at) = (query.metadata.id, Instant::now());
        self.pending_queries.push_back(PendingQuery { id, sent_at, answered: false });
        if self.pending_queries.len() > MAX_PENDING_QUERIES {
            self.pending_queries.pop_front();
        }
        let newest = query.metadata.id;
        self.sockets.send(server, &query.to_vec().ok()?, self.unanswered > 0).await;
        let mut bytes = [0; MAX_ANSWER_BYTES];
        let mut best: Option<(EngineSnapshot, Instant)> = None;
        for count in 1.. {
            // The time-out does not fire while datagrams keep coming.
            if best.is_none() && Instant::now() >= self.next_query {
                break;
            }
            let received = match best {
                None => timeout_at(self.next_query, self.sockets.receive(&mut bytes)).await.ok(),
                // Read what has arrived before deciding.
                Some(_) => self.sockets.receive(&mut bytes).now_or_never(),
            };
            let Some(length) = received else { break };
            if count % DATAGRAMS_PER_TURN == 0 {
                if best.is_some() {
                    break;
                }
                sleep(TURN_PAUSE).await;
            }
            if !self.is_awaited(&bytes[..length]) {
                self.ignore(false, None);
                continue;
            }
            let usable = self.parse(&bytes[..length], newest);
            best = usable.into_iter().chain(best).max_by_key(|(snapshot, asked)| (snapshot.serial, *asked));
        }
        let (snapshot, asked) = best?;
        Some(self.accept(snapshot, asked))
    }

    /// Whether a datagram is for a query that has no usable answer yet, by the id at its start.
    fn is_awaited(&self, bytes: &[u8]) -> bool {
        let Some(id) = bytes.first_chunk().map(|id| u16::from_be_bytes(*id)) else { return false };
        self.pending_queries.iter().any(|query| query.id == id && !query.answered)
    }

    /// Parses an answer to one of the pending queries. Returns its list and when the query was sent.
    fn parse(&mut self, bytes: &[u8], newest: u16) -> Option<(EngineSnapshot, Instant)> {
        let matched = Message::from_vec(bytes).ok().and_then(|answer| {
            let ours = answer.queries.first().is_none_or(|q| q.name() == &self.name);
            let response = answer.metadata.message_type == MessageType::Response;
            let asked = self.pending_queries.iter().find(|query| query.id == answer.metadata.id);
            asked.filter(|_| ours && response).map(|query| (answer, query.sent_at))
        });
        let list = matched.as_ref().and_then(|(answer, _)| read_answer(answer, &self.name));
        if list.as_ref().is_none_or(|snapshot| snapshot.serial < self.serial) {
            self.ignore(matched.is_some(), list.as_ref());
        }
        let (answer, asked) = matched?;
        let is_newest = answer.metadata.id == newest;
        if list.is_none() && is_newest {
            self.next_query = self.next_query.min(Instant::now() + RETRY_INTERVAL);
        }
        let list = list.filter(|snapshot| snapshot.serial >= self.serial || is_newest)?;
        if list.serial >= self.serial {
            let query = self.pending_queries.iter_mut().find(|query| query.id == answer.metadata.id);
            query.into_iter().for_each(|query| query.answered = true);
        }
        Some((list, asked))
    }

    fn last_queried(&self) -> Instant {
        self.pending_queries.back().map_or_else(Instant::now, |query| query.sent_at)
    }

    fn ignore(&self, ours: bool, list: Option<&EngineSnapshot>) {
        self.ignored_answers.set(self.ignored_answers.get() + 1);
        let why = match (ours, list) {
            (false, _) => "no answer to a pending query",
            (true, None) => "failure, or incomplete list",
            (true, Some(_)) => "earlier serial",
        };
        slog::debug!(self.log, "ignored an answer of the name service"; "why" => why, "no" => self.serial,
            "its_no" => list.map(|snapshot| snapshot.serial));
    }

    /// Classifies a list by its serial: the same serial is unchanged, an earlier one is a late answer or
    /// comes from another server.
    fn accept(&mut self, snapshot: EngineSnapshot, asked: Instant) -> ListUpdate {
        self.earlier_serials = if snapshot.serial < self.serial { self.earlier_serials + 1 } else { 0 };
        if snapshot.serial < self.serial && self.earlier_serials < SERIAL_RESET_ANSWERS {
            // An answer arrived: the next query follows after the ordinary interval.
            self.next_query = self.next_query.max(self.last_queried() + QUERY_INTERVAL);
            return ListUpdate::Disputed(snapshot);
        }
        let changed = snapshot.serial != self.serial || self.silent;
        if self.silent {
            slog::info!(self.log, "name service answers again"; "unanswered" => self.unanswered);
        }
        (self.serial, self.earlier_serials, self.unanswered, self.silent) = (snapshot.serial, 0, 0, false);
        self.answer_time = (self.answer_time * 3 + asked.elapsed()) / 4;
        self.next_query = self.last_queried() + QUERY_INTERVAL;
        self.last_confirmed.set(Instant::now());
        if changed {
            ListUpdate::List(snapshot, asked)
        } else {
            ListUpdate::Unchanged(asked)
        }
    }
}

#[cfg(test)]
mod tests;
