//! One hollow gateway: the real machines, a real clock, real datagrams, and nothing of clients or engines but timers.

use super::fleet::Shared;
use bramblewharf::interface::{Id, ListKind, NewStatement, Outcome};
use bramblewharf_fleet::node::Recipient;
use bramblewharf_fleet::wire::{Message, MAX_DATAGRAM_BYTES};
use bramblewharf_fleet::{node, Envelope};
use bramblewharf_gateway::reducer::{
    Answer, CancelOutcome, Effect, EngineRequest, ExecutionResult, Input, ListedEngine, Reducer,
    StatementText, SubmittedStatement,
};
use bramblewharf_gateway::{boottime_now, policy, MAX_BYTES_PER_SECOND, MAX_GOSSIP_BYTES};
use bramblewharf_policy::PolicyMessage;
use bytes::Bytes;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{SocketAddr, UdpSocket as Bound};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

const MS: Duration = Duration::from_millis(1);
/// How often a gateway shows how it stands, where somebody looks.
const SHOWN: Duration = Duration::from_millis(50);
/// Statements that one may hold: as many as a real one of 1,024 descriptors would.
const HELD: usize = 345;
/// What a client waits, what its statement takes where its engine is well, and when an engine's machine refuses.
pub const WAITS: Duration = Duration::from_millis(900);
const TAKES: Duration = Duration::from_millis(25);
const REFUSES: Duration = Duration::from_millis(1);

/// What datagrams are about.
pub const KINDS: [&str; 6] = ["questions", "answers", "seats", "policy", "words", "to the tool"];
const POLICY: usize = 3;
pub const WORDS: usize = 4;
/// How things stand, told to whoever asks: gateways don't.
pub const TO_TOOL: usize = 5;

fn kind(message: &Message) -> usize {
    match message {
        Message::GrantRequest(_) | Message::Leaving { .. } => 0,
        Message::GrantReply(_)
        | Message::NotLeader { .. }
        | Message::Session { .. }
        | Message::TableMismatch { .. } => 1,
        Message::Policy(bytes)
            if matches!(PolicyMessage::read(bytes), Some(PolicyMessage::CoordinatorStatus(_))) =>
        {
            TO_TOOL
        }
        Message::Policy(_) => POLICY,
        _ => 2,
    }
}

/// What one gateway shows to whoever measures: it alone writes all but `cut` and `ended`.
#[derive(Default)]
pub struct Seen {
    pub sent: [AtomicU64; KINDS.len()],
    pub sent_bytes: [AtomicU64; KINDS.len()],
    pub heard: AtomicU64,
    pub heard_bytes: AtomicU64,
    /// Datagrams that the system did not take, that were beyond the program's own bound of a second, or that say nothing.
    pub not_sent: AtomicU64,
    pub held_back: AtomicU64,
    pub passed_over: AtomicU64,
    /// How late it was woken at the worst, in microseconds.
    pub latest: AtomicU64,
    /// One more than the seat whose leave it has; zero: none.
    pub leave_of: AtomicU64,
    pub given: AtomicU64,
    pub members: AtomicU64,
    pub keeps: AtomicBool,
    pub votes: AtomicBool,
    /// The number of the revision that it decides by alone, by leave; zero: none.
    pub policy: AtomicU64,
    pub digest: AtomicU64,
    pub completed: AtomicU64,
    pub rejected: AtomicU64,
    pub aborted: AtomicU64,
    pub executions: AtomicU64,
    /// Executions at engines that are looked at.
    pub watched: AtomicU64,
    /// Nothing of it arrives, and nothing arrives at it; its clock goes on.
    pub cut: AtomicBool,
    /// It ends, without a word.
    pub ended: AtomicBool,
}

fn add(count: &AtomicU64, by: u64) {
    // One writer: no need to keep others out.
    count.store(count.load(Relaxed) + by, Relaxed);
}

/// All that one is started with.
pub struct Own {
    pub at: usize,
    pub part: node::Start,
    pub policy: Option<(bramblewharf_policy::Start, Arc<policy::Names>)>,
    pub site: bramblewharf::interface::Site,
    pub list: Vec<ListedEngine>,
    pub seed: u64,
    pub fleet: Bound,
    pub peers: Bound,
}

type EndsAt = Reverse<(Duration, Id, usize, bool)>;

struct Hollow {
    at: usize,
    shared: Arc<Shared>,
    reducer: Reducer,
    fleet: UdpSocket,
    peers: UdpSocket,
    /// Bytes sent since then, as the program bounds them.
    since: (Duration, u64),
    inputs: VecDeque<Input>,
    /// Executions that engines will end: when, of which statement, which one, whether well.
    running: BinaryHeap<EndsAt>,
    next: u64,
    offered: Option<Duration>,
    shown: Duration,
    rng: WyRand,
}

impl Hollow {
    fn seen(&self) -> &Seen {
        &self.shared.seen[self.at]
    }

    fn start(own: Own, shared: Arc<Shared>) -> Result<Hollow, String> {
        let now = boottime_now();
        let socket = |bound: Bound| UdpSocket::from_std(bound).map_err(|e| format!("socket: {e}"));
        let (fleet, peers) = (socket(own.fleet)?, socket(own.peers)?);
        let (reducer, first) =
            Reducer::start_in_fleet(Some(own.part), own.policy, own.site, own.seed, HELD, now);
        let mut hollow = Hollow {
            at: own.at,
            shared,
            reducer,
            fleet,
            peers,
            since: (now, 0),
            inputs: VecDeque::new(),
            running: BinaryHeap::new(),
            next: 0,
            offered: None,
            shown: Duration::ZERO,
            rng: WyRand::new_seed(own.seed),
        };
        first.into_iter().for_each(|effect| hollow.carry_out(effect));
        hollow.input(Input::EngineList(ListKind::Cached, own.list));
        Ok(hollow)
    }

    fn input(&mut self, input: Input) {
        self.inputs.push_back(input);
        // What an effect brings comes after all effects of the step that had it, as in the program.
        while let Some(input) = self.inputs.pop_front() {
            let effects = self.reducer.step(boottime_now(), input);
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { answer, .. } => {
                let seen = self.seen();
                add(
                    match answer {
                        Answer::Completed(_) => &seen.completed,
                        Answer::Rejected(_) => &seen.rejected,
                        Answer::Aborted | Answer::InUse => &seen.aborted,
                    },
                    1,
                );
            }
            Effect::Start { id, execution, destination, .. } => {
                add(&self.seen().executions, 1);
                let engine = self.shared.engine(destination.address);
                if let Some(at) = engine {
                    self.shared.used[at].fetch_add(1, Relaxed);
                }
                let ill = engine.is_some_and(|at| self.shared.ill[at].load(Relaxed));
                if engine.is_some_and(|at| self.shared.watched[at].load(Relaxed)) {
                    add(&self.seen().watched, 1);
                }
                let wait = match ill {
                    true => REFUSES,
                    false => TAKES.mul_f64(0.5 - (1.0 - self.rng.generate::<f64>()).ln() / 2.0),
                };
                self.running.push(Reverse((boottime_now() + wait, id, execution, !ill)));
            }
            Effect::Stop { id, execution, .. } => {
                self.inputs.push_back(Input::CancelFinished { id, execution, outcome: CancelOutcome::Over })
            }
            Effect::RecordOutstanding(_) => {}
            Effect::ProbeEngine { .. } => self.inputs.push_back(Input::EngineProbed { has_read: true }),
            // Without a disk, and so said to be well at once.
            Effect::StorePolicy { generation, .. } => {
                self.inputs.push_back(Input::PolicyStored { generation, succeeded: true })
            }
            Effect::SendToFleet { to, envelope } => self.say(&to, &envelope),
            Effect::Gossip { to, message } => {
                let address = to.filter(|peer| *peer as usize != self.at);
                let address = address.and_then(|peer| self.shared.peers.get(peer as usize).copied());
                if let Some(address) = address {
                    self.send(WORDS, &message.encode(), address);
                }
            }
        }
    }

    fn say(&mut self, to: &Recipient, envelope: &Envelope) {
        let address = match to {
            Recipient::Voter(seat) => self.shared.seats.get(usize::from(*seat)).copied(),
            Recipient::Address(address) => Some(*address),
        };
        let (Some(address), Some(bytes)) = (address, envelope.encode(&self.shared.key)) else { return };
        let now = boottime_now();
        if now >= self.since.0 + Duration::from_secs(1) {
            self.since = (now, 0);
        }
        if self.since.1 + bytes.len() as u64 > MAX_BYTES_PER_SECOND {
            return add(&self.seen().held_back, 1);
        }
        self.since.1 += bytes.len() as u64;
        self.send(kind(&envelope.message), &bytes, address);
    }

    fn send(&mut self, kind: usize, bytes: &[u8], to: SocketAddr) {
        let seen = self.seen();
        add(&seen.sent[kind], 1);
        add(&seen.sent_bytes[kind], bytes.len() as u64);
        let socket = if kind == WORDS { &self.peers } else { &self.fleet };
        if !seen.cut.load(Relaxed) && socket.try_send_to(bytes, to).is_err() {
            add(&seen.not_sent, 1);
        }
    }

    fn heard(&mut self, bytes: &[u8], from: SocketAddr) {
        if self.arrives(bytes) {
            match Envelope::decode(bytes, &self.shared.key, self.shared.fleet) {
                Some(envelope) => self.input(Input::FleetMessage(envelope, from)),
                None => add(&self.seen().passed_over, 1),
            }
        }
    }

    fn heard_of_engines(&mut self, bytes: &[u8], from: SocketAddr) {
        if self.arrives(bytes) {
            // As the program looks it up.
            let number = self.shared.peers.iter().position(|address| *address == from);
            let number = number.filter(|at| *at != self.at && bytes.len() <= MAX_GOSSIP_BYTES);
            match number.map(|number| bramblewharf_site::message::read(number as u32, bytes)) {
                None | Some(bramblewharf::interface::Event::Unreadable) => add(&self.seen().passed_over, 1),
                Some(event) => self.input(Input::PeerEvent(event)),
            }
        }
    }

    fn arrives(&self, bytes: &[u8]) -> bool {
        let seen = self.seen();
        add(&seen.heard, 1);
        add(&seen.heard_bytes, bytes.len() as u64);
        !seen.cut.load(Relaxed)
    }

    /// When it has to look at the clock again.
    fn due(&mut self, now: Duration) -> Duration {
        let rate = self.shared.rate.load(Relaxed);
        match (rate, self.offered) {
            (0, _) => self.offered = None,
            (_, None) => self.offered = Some(now + self.pause(rate)),
            _ => {}
        }
        let own = self.reducer.next_wake().unwrap_or(now + 100 * MS).min(now + 100 * MS);
        let ends = self.running.peek().map(|Reverse((at, ..))| *at);
        ends.into_iter().chain(self.offered).fold(own, Duration::min)
    }

    fn pause(&mut self, rate: u64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.generate::<f64>()).ln() / rate as f64)
    }

    fn wake(&mut self, due: Duration) {
        let now = boottime_now();
        let late = now.saturating_sub(due).as_micros() as u64;
        if late > self.seen().latest.load(Relaxed) {
            self.seen().latest.store(late, Relaxed);
        }
        while self.running.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, id, execution, well))) = self.running.pop() else { break };
            let result = match well {
                true => ExecutionResult { consumed: Some((TAKES, 1.0)), ..Outcome::Completed.into() },
                false => Outcome::Refused.into(),
            };
            self.input(Input::ExecutionEnded { id, execution, result });
        }
        if self.offered.is_some_and(|at| at <= now) {
            let rate = self.shared.rate.load(Relaxed).max(1);
            self.offered = Some(now + self.pause(rate));
            self.offer();
        }
        if self.reducer.next_wake().is_some_and(|at| at <= now) {
            self.input(Input::Wake);
        }
        if self.shared.looks.load(Relaxed) && now >= self.shown + SHOWN {
            self.shown = now;
            self.show(now);
        }
    }

    fn offer(&mut self) {
        let number = ((self.at as u64) << 40) + self.next;
        self.next += 1;
        let id: Id = format!("{number:x}").into();
        let engine_request = EngineRequest {
            id: Bytes::copy_from_slice(id.as_bytes()),
            workload: Bytes::from_static(b"lookup"),
            key: None,
            text: StatementText::Inline(Bytes::from_static(b"SELECT 1")),
        };
        let statement = NewStatement {
            id,
            workload: 0,
            customer: Some(0),
            key: None,
            time_left: WAITS,
            est_work: Some(TAKES),
            est_mem_mb: None,
            table_group: None,
            replayable: true,
        };
        self.input(Input::Statement(SubmittedStatement { caller: number, statement, engine_request }));
    }

    fn show(&mut self, now: Duration) {
        let policy = self.reducer.policy().map(|policy| policy.status(now));
        let Some(status) = self.reducer.fleet().map(|node| node.status(now)) else { return };
        let seen = self.seen();
        let keeps = status.leader.is_some();
        seen.keeps.store(keeps, Relaxed);
        seen.votes.store(status.voter.is_some_and(|seat| seat.can_vote), Relaxed);
        seen.leave_of.store(if status.has_grant { u64::from(status.requests_to) + 1 } else { 0 }, Relaxed);
        seen.given.store(status.grant_holder.granted, Relaxed);
        seen.members.store(u64::from(status.members.unwrap_or(0)), Relaxed);
        let by = policy.filter(|policy| policy.mode == "by it").and_then(|policy| policy.enforced);
        let (number, digest) = by.map_or((0, 0), |(number, digest)| (number, first_of(&digest.to_string())));
        seen.policy.store(number, Relaxed);
        seen.digest.store(digest, Relaxed);
    }
}

/// The first half of a digest as it is shown.
pub fn first_of(digest: &str) -> u64 {
    digest.get(..16).and_then(|hex| u64::from_str_radix(hex, 16).ok()).unwrap_or(0)
}

/// Serves until it is ended or all are.
pub async fn serve(own: Own, shared: Arc<Shared>) {
    let mut hollow = match Hollow::start(own, shared) {
        Ok(hollow) => hollow,
        Err(error) => return eprintln!("hollow: {error}"),
    };
    let (mut of_fleet, mut of_peers) = ([0; MAX_DATAGRAM_BYTES + 1], [0; MAX_GOSSIP_BYTES + 1]);
    while !hollow.shared.over.load(Relaxed) && !hollow.seen().ended.load(Relaxed) {
        let now = boottime_now();
        let due = hollow.due(now);
        let at = Instant::now() + due.saturating_sub(now);
        tokio::select! {
            heard = hollow.fleet.recv_from(&mut of_fleet) => {
                if let Ok((length, from)) = heard {
                    hollow.heard(&of_fleet[..length], from);
                }
            }
            heard = hollow.peers.recv_from(&mut of_peers) => {
                if let Ok((length, from)) = heard {
                    hollow.heard_of_engines(&of_peers[..length], from);
                }
            }
            () = sleep_until(at) => hollow.wake(due),
        }
    }
    hollow.seen().keeps.store(false, Relaxed);
}
