//! The list of engines: the events told at the start, and DNS over UDP from then on.

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
use sockets::Sockets;
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

const SERVICE: &str = "_rpc._tcp.mesh.local.";
/// How often the name service is asked, when again after an answer that told nothing, and the longest answer it gives.
const EVERY: Duration = Duration::from_millis(150);
const AGAIN: Duration = Duration::from_millis(40);
const LONGEST: usize = 8_000;
/// Questions that an answer may yet come for: a late one is as good as any other of its number.
const AWAITED: usize = 32;
/// Answers in a row with an earlier number (some six seconds of them) after which the name service itself is taken to have
/// gone back. Until then the list counts as unconfirmed.
const GONE_BACK: u32 = 40;
/// For how long nothing usable may come before that is told: quiet is no good news.
const SILENT: Duration = Duration::from_millis(1200);
/// A round that ends later than this after its time shows that the process stood still: an answer may wait unread.
const STOOD_STILL: Duration = Duration::from_millis(30);

/// What came of listening to the name service.
#[derive(Debug)]
pub enum ListUpdate {
    /// The list, once it is another one than before, or known again; and when it was asked for.
    List(EngineSnapshot, Instant),
    /// The list still is what it was when this question was asked.
    Unchanged(Instant),
    /// A list of an earlier number in answer to the newest question: an old one, or the service counts anew.
    Disputed(EngineSnapshot),
    /// Nothing usable was there to be heard.
    NoAnswer,
    /// Nothing usable for a while: the list may be old.
    Silent,
}

/// Asks the name service for as long as it is polled.
pub struct NameServiceClient {
    /// None where there is no name service: the list then stays as it was told.
    server: Option<SocketAddr>,
    sockets: Sockets,
    rng: WyRand,
    name: Name,
    no: u64,
    earlier: u32,
    next: Instant,
    /// The ids of the last questions and when they were asked, the newest last.
    awaited: VecDeque<(u16, Instant)>,
    /// Questions without a usable answer since the last one, when that was, and whether silence was told.
    unanswered: u32,
    last_confirmed: Rc<Cell<Instant>>,
    silent: bool,
    /// How long answers take of late.
    answers_take: Duration,
    /// Answers that were of no use, since the start.
    pub ignored_answers: Rc<Cell<u64>>,
    log: Logger,
}

impl NameServiceClient {
    pub fn start(
        server: Option<SocketAddr>,
        no: u64,
        seed: u64,
        log: Logger,
    ) -> std::io::Result<NameServiceClient> {
        let name = Name::from_str(SERVICE).map_err(std::io::Error::other)?;
        let now = Instant::now();
        Ok(NameServiceClient {
            server,
            sockets: Sockets::default(),
            rng: WyRand::new_seed(seed),
            name,
            no,
            earlier: 0,
            next: now,
            awaited: VecDeque::new(),
            unanswered: 0,
            last_confirmed: Rc::new(Cell::new(now)),
            silent: false,
            answers_take: Duration::ZERO,
            ignored_answers: Rc::default(),
            log,
        })
    }

    /// Asks there from now on, at once; the numbers go on.
    pub fn set_server(&mut self, server: Option<SocketAddr>) {
        self.server = server;
        self.sockets.close();
        self.awaited.clear();
        self.next = Instant::now();
    }

    /// When the list was last confirmed, for whoever shows its age.
    pub fn last_confirmed(&self) -> Rc<Cell<Instant>> {
        self.last_confirmed.clone()
    }

    /// A list from elsewhere is in force unless a later one is.
    pub fn advance_to(&mut self, no: u64) -> bool {
        let later = no > self.no;
        self.no = self.no.max(no);
        later
    }

    /// The list that was handed over last was not taken in: the next answer counts as news whatever its number.
    pub fn forget_serial(&mut self) {
        (self.no, self.earlier) = (0, 0);
    }

    /// May be dropped and called again at any time: no more than a question is lost.
    pub async fn next_update(&mut self) -> ListUpdate {
        loop {
            tokio::time::sleep_until(self.next).await;
            let began = Instant::now();
            self.next = began + self.patience();
            let word = self.ask().await;
            if let Some(ListUpdate::List(..) | ListUpdate::Unchanged(_)) = word {
                return word.unwrap_or(ListUpdate::NoAnswer);
            }
            self.unanswered = self.unanswered.saturating_add(1);
            if !self.silent && self.last_confirmed.get().elapsed() > SILENT {
                self.silent = true;
                slog::warn!(self.log, "name service silent: the list may be old"; "no" => self.no);
                return ListUpdate::Silent;
            }
            if let Some(disputed) = word {
                return disputed;
            }
            if self.next.elapsed() < STOOD_STILL {
                return ListUpdate::NoAnswer;
            }
        }
    }

    /// How long an answer is waited for before the question is asked again, from another socket: briefly at first, as the answer
    /// may have been lost; then as long as between any two questions.
    fn patience(&self) -> Duration {
        let first = AGAIN.max(self.answers_take * 2);
        (first * (self.unanswered + 1)).min(EVERY)
    }

    /// What a usable answer says, if one comes.
    async fn ask(&mut self) -> Option<ListUpdate> {
        let Some(server) = self.server else { return std::future::pending().await };
        let mut question = Message::query();
        question.metadata.id = self.rng.generate();
        question.add_query(Query::query(self.name.clone(), RecordType::SRV));
        self.awaited.push_back((question.metadata.id, Instant::now()));
        if self.awaited.len() > AWAITED {
            self.awaited.pop_front();
        }
        let newest = question.metadata.id;
        self.sockets.ask(server, &question.to_vec().ok()?, self.unanswered > 0).await;
        let mut bytes = [0; LONGEST];
        let mut best: Option<(EngineSnapshot, Instant)> = None;
        loop {
            let heard = match best {
                None => timeout_at(self.next, self.sockets.hear(&mut bytes)).await.ok(),
                // Whatever else has come is read before anything is made of it.
                Some(_) => self.sockets.hear(&mut bytes).now_or_never(),
            };
            let Some(length) = heard else { break };
            let usable = self.read(&bytes[..length], newest);
            best = usable.into_iter().chain(best).max_by_key(|(known, asked)| (known.serial, *asked));
        }
        let (known, asked) = best?;
        Some(self.news(known, asked))
    }

    /// The list of an answer that may be believed, and when its question was asked.
    fn read(&mut self, bytes: &[u8], newest: u16) -> Option<(EngineSnapshot, Instant)> {
        let word = Message::from_vec(bytes).ok().and_then(|answer| {
            let ours = answer.queries.first().is_none_or(|q| q.name() == &self.name);
            let response = answer.metadata.message_type == MessageType::Response;
            let asked = self.awaited.iter().find(|(id, _)| *id == answer.metadata.id).map(|(_, at)| *at);
            asked.filter(|_| ours && response).map(|asked| (answer, asked))
        });
        let list = word.as_ref().and_then(|(answer, _)| read_answer(answer, &self.name));
        if list.as_ref().is_none_or(|known| known.serial < self.no) {
            self.pass_over(word.is_some(), list.as_ref());
        }
        let (answer, asked) = word?;
        let is_newest = answer.metadata.id == newest;
        if list.is_none() && is_newest {
            self.next = self.next.min(Instant::now() + AGAIN);
        }
        list.filter(|known| known.serial >= self.no || is_newest).map(|known| (known, asked))
    }

    fn last_asked(&self) -> Instant {
        self.awaited.back().map_or_else(Instant::now, |(_, at)| *at)
    }

    fn pass_over(&self, ours: bool, list: Option<&EngineSnapshot>) {
        self.ignored_answers.set(self.ignored_answers.get() + 1);
        let why = match (ours, list) {
            (false, _) => "no answer to a question of ours",
            (true, None) => "a failure, or no whole list",
            (true, Some(_)) => "an earlier number",
        };
        slog::debug!(self.log, "answer of the name service passed over"; "why" => why, "no" => self.no,
            "its_no" => list.map(|known| known.serial));
    }

    /// A list of the same number is no news, one of an earlier number a late word or another server's.
    fn news(&mut self, known: EngineSnapshot, asked: Instant) -> ListUpdate {
        self.earlier = if known.serial < self.no { self.earlier + 1 } else { 0 };
        if known.serial < self.no && self.earlier < GONE_BACK {
            // It was heard: the next question waits its ordinary time.
            self.next = self.next.max(self.last_asked() + EVERY);
            return ListUpdate::Disputed(known);
        }
        let news = known.serial != self.no || self.silent;
        if self.silent {
            slog::info!(self.log, "name service answers again"; "unanswered" => self.unanswered);
        }
        (self.no, self.earlier, self.unanswered, self.silent) = (known.serial, 0, 0, false);
        self.answers_take = (self.answers_take * 3 + asked.elapsed()) / 4;
        self.next = self.last_asked() + EVERY;
        self.last_confirmed.set(Instant::now());
        if news {
            ListUpdate::List(known, asked)
        } else {
            ListUpdate::Unchanged(asked)
        }
    }
}

#[cfg(test)]
mod tests;
