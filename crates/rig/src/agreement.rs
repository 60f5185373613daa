//! What a fleet agrees on, in virtual time: of each gateway the machine of its leave and the one of its policy, with nothing else
//! around them. Sizes and costs are looked at here; what must hold is checked by `simulated` and in the policy's own tests.

use bramblewharf_budgets::{Budget, Demand, Measure, Scope, UNIT};
use bramblewharf_fleet::node::{self, Recipient};
use bramblewharf_fleet::wire::{Message, Party};
use bramblewharf_fleet::{Envelope, FleetConfig, Incarnation, Key};
use bramblewharf_policy::message::CHUNK_BYTES;
use bramblewharf_policy::{
    Check, Digest, Limits, Node as Policy, PolicyMessage, Revision, Rules, StoredState,
};
use nanorand::{Rng, WyRand};
use rustix::time::{clock_gettime, ClockId};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Bytes that one gateway sends to the fleet in a second at the most, as its link has it: what is beyond is lost.
pub const MAX_BYTES_PER_SECOND: u64 = 1 << 20;
/// What IP and UDP put before each message.
pub const HEADER_BYTES: u64 = 28;
/// Of how many regions a gateway's and a seat's number says which is its own.
pub const REGION_COUNT: usize = 5;
const TOOL: u16 = 60_000;
/// How often whoever proposes offers it again.
const OFFERED_AGAIN: Duration = Duration::from_millis(200);
/// From the write of a policy's file until it is on the disk.
const DISK: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
pub struct AgreementConfig {
    pub gateways: usize,
    pub voters: u8,
    pub lease: Duration,
    /// With a policy, whose first text has so many bytes; none: leave alone.
    pub policy: Option<usize>,
    /// What a message takes from one region to another, beyond what it takes within one.
    pub between_regions: Duration,
    pub seed: u64,
}

impl Default for AgreementConfig {
    fn default() -> AgreementConfig {
        AgreementConfig {
            gateways: 30,
            voters: 3,
            lease: 2000 * MS,
            policy: None,
            between_regions: Duration::ZERO,
            seed: 1,
        }
    }
}

/// Said and heard by one gateway: bytes without `HEADER_BYTES`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Lost because more than `MAX_BYTES_PER_SECOND` was to be sent.
    pub dropped_messages: u64,
    /// Processor time of this thread in its machines, and in writing and reading what they say; of seats and of the last gateway.
    pub state_machine_time: Duration,
    pub codec_time: Duration,
}

impl Traffic {
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            sent: self.sent - before.sent,
            sent_bytes: self.sent_bytes - before.sent_bytes,
            received: self.received - before.received,
            received_bytes: self.received_bytes - before.received_bytes,
            dropped_messages: self.dropped_messages - before.dropped_messages,
            state_machine_time: self.state_machine_time - before.state_machine_time,
            codec_time: self.codec_time - before.codec_time,
        }
    }
}

struct Gateway {
    leave: Option<node::Node>,
    policy: Option<Policy>,
    incarnation: u64,
    /// What its disk has of the policy.
    file: Option<(u64, StoredState)>,
    wakes: Option<Duration>,
    /// Bytes sent since the second began.
    second: (Duration, u64),
    traffic: Traffic,
    /// The seat that gave it leave last, and when.
    given_by: Option<(u8, Duration)>,
    started: Duration,
}

enum Event {
    Wake(usize, u64),
    Arrives { to: usize, from: SocketAddr, envelope: Box<Envelope>, bytes: u64 },
    Kept { at: usize, incarnation: u64, generation: u64, kept: Box<StoredState> },
    Start(usize),
    Restart,
    Offer(usize),
}

/// A change that is proposed: offered again until it is in force or refused.
struct Offered {
    text: Revision,
    wait: Duration,
    over: bool,
}

pub struct World {
    pub now: Duration,
    of: AgreementConfig,
    terms: FleetConfig,
    check: Check,
    key: Key,
    rng: WyRand,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    gateways: Vec<Gateway>,
    /// The region that hears no other.
    cut: Option<usize>,
    /// Where the operators' tool stands.
    tool: usize,
    /// Starts anew: so many a second, each away for so long.
    restarts: (f64, Duration),
    offers: Vec<Offered>,
    /// What two looks at the thread's clock take by themselves.
    look: Duration,
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn address(of: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + of as u16))
}

/// A text of words by commas: `NAME=most executions`; `alone`: a gateway alone may do nothing; `#...` says nothing.
fn check() -> Check {
    Arc::new(|revision: &Revision| {
        let mut rules = Rules::default();
        for word in revision.text.split(',').filter(|word| !word.is_empty() && !word.starts_with('#')) {
            if word == "alone" {
                rules.alone = Some(Default::default());
                continue;
            }
            let (name, most) = word.split_once('=').ok_or("no such key")?;
            let executions = Some(most.parse().map_err(|_| "no number")?);
            rules.workloads.insert(name.into(), Limits { executions, ..Limits::default() });
        }
        Ok(rules)
    })
}

/// A revision whose text has so many bytes.
pub fn revision(number: u64, parent: Digest, words: &str, bytes: usize) -> Revision {
    let text = format!("{words},#{}", "x".repeat(bytes.saturating_sub(words.len() + 2)));
    Revision { number, parent, author: "ops".into(), reason: "a measurement".into(), text }
}

/// What the first text permits, which later ones widen or narrow.
pub const INITIAL_POLICY: &str = "load=3,report=3";
/// The same, and a gateway alone may do nothing.
pub const INITIAL_POLICY_CLOSED: &str = "load=3,report=3,alone";

impl World {
    pub fn new(of: AgreementConfig, first: &str) -> World {
        let terms = FleetConfig {
            fleet: 1,
            max_members: of.gateways as u32,
            voters: of.voters,
            lease: of.lease,
            drift_percent: 1,
            max_execution_time: 1300 * MS,
            orphan_retention: 500 * MS,
            injected_bug: None,
        };
        let gateway = || Gateway {
            leave: None,
            policy: None,
            incarnation: 0,
            file: None,
            wakes: None,
            second: (Duration::ZERO, 0),
            traffic: Traffic::default(),
            given_by: None,
            started: Duration::ZERO,
        };
        let looks = 2000;
        let began = thread_time();
        (0..looks).for_each(|_| {
            std::hint::black_box(thread_time());
        });
        let look = (thread_time() - began) / looks;
        let mut world = World {
            now: 1000 * Duration::from_secs(1),
            check: check(),
            key: Key::derive(b"a key of sixteen bytes").expect("long enough"),
            rng: WyRand::new_seed(of.seed),
            queue: BTreeMap::new(),
            order: 0,
            gateways: (0..of.gateways).map(|_| gateway()).collect(),
            cut: None,
            tool: 0,
            restarts: (0.0, Duration::ZERO),
            offers: Vec::new(),
            look,
            terms,
            of,
        };
        world.offers.extend(world.of.policy.map(|bytes| Offered {
            text: revision(1, Digest::default(), first, bytes),
            wait: Duration::ZERO,
            over: true,
        }));
        (0..world.gateways.len()).for_each(|at| world.start(at));
        world
    }

    fn queue(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((at.max(self.now), self.order), event);
    }

    pub fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= until) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    /// Looks every 20 ms: how long it took, or none where it did not come about within so long.
    pub fn run_until(&mut self, within: Duration, so: impl Fn(&mut World) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now < began + within {
            if so(self) {
                return Some(self.now - began);
            }
            self.run(20 * MS);
        }
        so(self).then(|| self.now - began)
    }

    pub fn kill(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        (gateway.leave, gateway.policy, gateway.given_by) = (None, None, None);
    }

    /// A new process at that place, with what its disk has.
    pub fn start(&mut self, at: usize) {
        if self.gateways[at].leave.is_some() {
            return;
        }
        let (seed, now) = (self.rng.generate(), self.now);
        let budget = Budget {
            name: "whole".into(),
            scope: Scope::default(),
            measure: Measure::StatementsAtOnce,
            whole: 20 * self.of.gateways as u64 * UNIT,
            floor_percent: 25,
            quantum: UNIT,
            burst: Duration::ZERO,
        };
        let gateway = &mut self.gateways[at];
        gateway.incarnation += 1;
        gateway.started = now;
        let incarnation = (now.as_nanos() as u64) << 8 | gateway.incarnation & 0xff;
        let seat = u8::try_from(at).ok().filter(|seat| *seat < self.of.voters);
        let mut leave = node::Node::start(
            node::Start {
                member_id: at as u32,
                voter: seat,
                incarnation: Incarnation(incarnation),
                config: self.terms.clone(),
                budgets: vec![budget],
                table_digest: 1,
                seed,
            },
            now,
        );
        // What it has in use for as long as it runs, so that it needs some.
        let demand = Demand {
            workload: 0,
            customer: None,
            kind: "",
            weight: 1.0,
            mem_mb: 0.0,
            previous_executions: 0,
        };
        let took = leave.headroom(now).charge(&demand);
        leave.execution_started(now, &took);
        gateway.leave = Some(leave);
        gateway.policy = self.offers.first().and_then(|first| {
            let start = bramblewharf_policy::Start {
                member_id: at as u32,
                voter: seat,
                terms: bramblewharf_policy::Terms { fleet: self.terms.clone(), injected_bug: None },
                check: self.check.clone(),
                initial: first.text.clone(),
                stored: gateway.file.clone(),
                incarnation,
                wait: 3000 * MS,
                fallback_to_initial: false,
            };
            Policy::start(start, now).ok()
        });
        // A fleet is not started in one moment.
        let soon = now + Duration::from_micros(self.rng.generate_range(0..20_000));
        gateway.wakes = Some(soon);
        let incarnation = gateway.incarnation;
        self.queue(soon, Event::Wake(at, incarnation));
    }

    pub fn start_later(&mut self, at: usize, after: Duration) {
        self.queue(self.now + after, Event::Start(at));
    }

    /// From now on so many start anew a second, anywhere but at the seats and the first that is not one.
    pub fn restart_continuously(&mut self, a_second: f64, away: Duration) {
        self.restarts = (a_second, away);
        self.queue(self.now, Event::Restart);
    }

    /// Cuts a region off, or none any more.
    pub fn isolate_region(&mut self, region: Option<usize>) {
        self.cut = region;
    }

    /// Whoever proposes stands in the region of whoever keeps, as operators who can't reach it go elsewhere.
    pub fn propose(&mut self, text: Revision, wait: Duration) {
        self.tool = self.leader().unwrap_or(0);
        self.offers.push(Offered { text, wait, over: false });
        self.queue(self.now, Event::Offer(self.offers.len() - 1));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake(at, incarnation) => {
                if self.gateways[at].incarnation == incarnation && self.gateways[at].leave.is_some() {
                    self.gateways[at].wakes = None;
                    self.step(at, None);
                }
            }
            Event::Arrives { to, from, envelope, bytes } => {
                let gateway = &mut self.gateways[to];
                if gateway.leave.is_none() {
                    return;
                }
                gateway.traffic.received += 1;
                gateway.traffic.received_bytes += bytes;
                if let (Message::GrantReply(_), Party::Voter(seat)) = (&envelope.message, envelope.from) {
                    gateway.given_by = Some((seat, self.now));
                }
                self.step(to, Some((*envelope, from)));
            }
            Event::Kept { at, incarnation, generation, kept } => {
                let gateway = &mut self.gateways[at];
                if gateway.incarnation != incarnation || gateway.leave.is_none() {
                    return;
                }
                gateway.file = Some((generation, *kept));
                let more = gateway.policy.as_mut().map(|policy| policy.write_finished(generation, true));
                self.carry_policy(at, more.unwrap_or_default());
            }
            Event::Start(at) => self.start(at),
            Event::Restart => {
                let (a_second, away) = self.restarts;
                if a_second <= 0.0 {
                    return;
                }
                let first = usize::from(self.of.voters) + 1;
                if first < self.gateways.len() {
                    let at = self.rng.generate_range(first..self.gateways.len());
                    if self.gateways[at].leave.is_some() {
                        self.kill(at);
                        self.start_later(at, away);
                    }
                }
                let pause = -(1.0 - self.rng.generate::<f64>()).ln() / a_second;
                self.queue(self.now + Duration::from_secs_f64(pause), Event::Restart);
            }
            Event::Offer(at) => {
                if self.offers[at].over {
                    return;
                }
                let (digest, wait) = (self.offers[at].text.digest(), self.offers[at].wait);
                let say = PolicyMessage::Offer { digest, wait_ms: wait.as_millis() as u64 };
                for seat in 0..usize::from(self.of.voters) {
                    self.tool_says(seat, &say);
                }
                self.queue(self.now + OFFERED_AGAIN, Event::Offer(at));
            }
        }
    }

    fn tool_says(&mut self, to: usize, say: &PolicyMessage) {
        let message = Message::Policy(say.write());
        let incarnation = Incarnation(1);
        let envelope =
            Envelope { fleet: self.terms.fleet, from: Party::Tool, incarnation, number: 1, message };
        let from = SocketAddr::from((Ipv4Addr::LOCALHOST, TOOL));
        let Some(bytes) = envelope.encode(&self.key) else { return };
        self.carry(self.tool, to, from, envelope, bytes.len() as u64);
    }

    fn heard_by_tool(&mut self, of: usize, envelope: &Envelope) {
        let Message::Policy(bytes) = &envelope.message else { return };
        match PolicyMessage::read(bytes) {
            Some(PolicyMessage::GetChunk { digest, offset }) => {
                let Some(offer) = self.offers.iter().find(|offer| offer.text.digest() == digest) else {
                    return;
                };
                let text = offer.text.write();
                let at = (offset as usize).min(text.len());
                let chunk = text[at..(at + CHUNK_BYTES).min(text.len())].to_vec();
                let say =
                    PolicyMessage::Chunk { digest, offset, total_bytes: text.len() as u32, bytes: chunk };
                self.tool_says(of, &say);
            }
            Some(PolicyMessage::CoordinatorStatus(stands)) => {
                for offer in &mut self.offers {
                    let digest = offer.text.digest();
                    let refused = stands.last_outcome.as_ref().is_some_and(|(last, why)| {
                        *last == digest && why.as_ref().is_some_and(|why| !why.contains("under way"))
                    });
                    offer.over |= stands.current == digest || refused;
                }
            }
            _ => {}
        }
    }

    fn timed(&self, at: usize) -> bool {
        at < usize::from(self.of.voters) || at + 1 == self.gateways.len()
    }

    /// As the reducer does: what came, then the machines' own time.
    fn step(&mut self, at: usize, heard: Option<(Envelope, SocketAddr)>) {
        let (now, timed) = (self.now, self.timed(at));
        let began = timed.then(thread_time);
        let gateway = &mut self.gateways[at];
        let Some(leave) = &mut gateway.leave else { return };
        let (mut effects, mut of_policy) = (Vec::new(), Vec::new());
        match heard {
            Some((Envelope { from: party, message: Message::Policy(bytes), .. }, from)) => {
                let (to, place) = match party {
                    Party::Voter(seat) => (Recipient::Voter(seat), None),
                    Party::Member(place) => (Recipient::Address(from), Some(place)),
                    Party::Tool => (Recipient::Address(from), None),
                };
                if let (Some(policy), Some(say)) = (&mut gateway.policy, PolicyMessage::read(&bytes)) {
                    of_policy = policy.handle_message(now, to, place, say, leave.leader_lease(now));
                }
            }
            Some((envelope, from)) => effects = leave.handle_message(now, envelope, from),
            None => {
                effects = leave.tick(now);
                if let Some(policy) = gateway.policy.as_mut().filter(|policy| now >= policy.due(now)) {
                    of_policy = policy.tick(now, leave.leader_lease(now));
                }
            }
        }
        if let Some(began) = began {
            gateway.traffic.state_machine_time += (thread_time() - began).saturating_sub(self.look);
        }
        for effect in effects {
            if let node::Effect::Send { to, envelope } = effect {
                self.say(at, to, envelope);
            }
        }
        self.carry_policy(at, of_policy);
        self.wake(at);
    }

    fn carry_policy(&mut self, at: usize, effects: Vec<bramblewharf_policy::Effect>) {
        for effect in effects {
            match effect {
                bramblewharf_policy::Effect::Send { to, message: say } => {
                    let as_place = matches!(say, PolicyMessage::GrantRequest(_));
                    let message = Message::Policy(say.write());
                    let envelope =
                        self.gateways[at].leave.as_mut().map(|leave| leave.wrap_message(message, as_place));
                    if let Some(envelope) = envelope {
                        self.say(at, to, envelope);
                    }
                }
                bramblewharf_policy::Effect::Store { generation, bytes } => {
                    let Ok((_, kept)) = StoredState::read(&bytes) else { continue };
                    let incarnation = self.gateways[at].incarnation;
                    let kept = Box::new(kept);
                    self.queue(self.now + DISK, Event::Kept { at, incarnation, generation, kept });
                }
                bramblewharf_policy::Effect::PermitChanged => {}
            }
        }
    }

    fn wake(&mut self, at: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[at];
        let Some(leave) = &gateway.leave else { return };
        let policy = gateway.policy.as_ref().map(|policy| policy.due(now));
        let due = policy.into_iter().chain([leave.due(now)]).min().unwrap_or(now).max(now + MS / 10);
        if gateway.wakes.is_none_or(|other| due < other || other <= now) {
            gateway.wakes = Some(due);
            let incarnation = gateway.incarnation;
            self.queue(due, Event::Wake(at, incarnation));
        }
    }

    fn say(&mut self, from: usize, to: Recipient, envelope: Envelope) {
        let timed = self.timed(from);
        let began = timed.then(thread_time);
        let Some(bytes) = envelope.encode(&self.key) else { return };
        let took = began.map(|began| (thread_time() - began).saturating_sub(self.look));
        let length = bytes.len() as u64;
        let now = self.now;
        let gateway = &mut self.gateways[from];
        gateway.traffic.codec_time += took.unwrap_or_default();
        if now >= gateway.second.0 + Duration::from_secs(1) {
            gateway.second = (now, 0);
        }
        if gateway.second.1 + length > MAX_BYTES_PER_SECOND {
            gateway.traffic.dropped_messages += 1;
            return;
        }
        gateway.second.1 += length;
        gateway.traffic.sent += 1;
        gateway.traffic.sent_bytes += length;
        let to = match to {
            Recipient::Voter(seat) => usize::from(seat),
            Recipient::Address(address) if address.port() == TOOL => {
                return self.heard_by_tool(from, &envelope)
            }
            Recipient::Address(address) => usize::from(address.port()) - 1,
        };
        if self.timed(to) {
            let began = thread_time();
            std::hint::black_box(Envelope::decode(&bytes, &self.key, self.terms.fleet));
            self.gateways[to].traffic.codec_time += (thread_time() - began).saturating_sub(self.look);
        }
        self.carry(from, to, address(from), envelope, length);
    }

    fn carry(&mut self, from: usize, to: usize, by: SocketAddr, envelope: Envelope, bytes: u64) {
        let (one, other) = (from % REGION_COUNT, to % REGION_COUNT);
        if to >= self.gateways.len() || one != other && (self.cut == Some(one) || self.cut == Some(other)) {
            return;
        }
        let mut delay = Duration::from_micros(self.rng.generate_range(50..1500));
        if one != other {
            delay += self.of.between_regions;
        }
        let envelope = Box::new(envelope);
        self.queue(self.now + delay, Event::Arrives { to, from: by, envelope, bytes });
    }

    /// Of all that are there and not cut off.
    fn reached(&self) -> impl Iterator<Item = usize> + '_ {
        let there = |at: &usize| self.gateways[*at].leave.is_some() && self.cut != Some(at % REGION_COUNT);
        (0..self.gateways.len()).filter(there)
    }

    pub fn leader(&self) -> Option<usize> {
        let seats = self.reached().take_while(|at| *at < usize::from(self.of.voters));
        seats
            .into_iter()
            .find(|at| self.gateways[*at].leave.as_ref().is_some_and(|node| node.is_leader(self.now)))
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.gateways[at].leave.is_some()
    }

    /// Gateways that are there, can be reached, and have no leave: of budgets, and of the policy where there is one.
    pub fn count_without_grant(&mut self) -> (usize, usize) {
        let (now, reached) = (self.now, self.reached().collect::<Vec<_>>());
        let (mut leave, mut policy) = (0, 0);
        for at in reached {
            let gateway = &mut self.gateways[at];
            let Some(node) = &mut gateway.leave else { continue };
            leave += usize::from(!node.status(now).has_grant);
            policy += usize::from(gateway.policy.as_ref().is_some_and(|policy| policy.phase(now).is_none()));
        }
        (leave, policy)
    }

    /// Whether somebody, or everybody that can be reached, was given leave by another seat than this since then. The keeper's own
    /// gateway asks without a message.
    pub fn granted_since(&self, since: Duration, but: usize, all: bool) -> bool {
        let keeper = self.leader();
        let given = |at: usize| {
            self.gateways[at].given_by.is_some_and(|(seat, when)| when > since && usize::from(seat) != but)
        };
        match all {
            true => keeper.is_some() && self.reached().all(|at| given(at) || Some(at) == keeper),
            false => self.reached().any(given),
        }
    }

    /// Whether a new keeper still waits for what was given before it.
    pub fn is_recovering(&mut self) -> bool {
        let now = self.now;
        let keeper = self.leader();
        let leave = keeper.and_then(|at| self.gateways[at].leave.as_mut());
        leave.is_none_or(|leave| leave.status(now).leader.is_none_or(|keeper| keeper.is_recovering))
    }

    /// What whoever keeps says of the policy: the phase, what is in force, how the last proposal ended, whom one waits for.
    pub fn coordinator_status(&self) -> Option<bramblewharf_policy::message::CoordinatorStatus> {
        let at = self.leader()?;
        self.gateways[at].policy.as_ref()?.status(self.now).coordinator
    }

    /// Whether all that are there and can be reached decide by that one alone. One that has only started may have no leave yet.
    pub fn is_enforced_everywhere(&self, digest: Digest) -> bool {
        self.reached().all(|at| {
            let gateway = &self.gateways[at];
            gateway.policy.as_ref().is_some_and(|policy| match policy.phase(self.now) {
                None => self.now < gateway.started + 3000 * MS,
                Some(phase) => {
                    let by = policy.status(self.now).enforced;
                    !phase.is_transition() && by.is_some_and(|(_, by)| by == digest)
                }
            })
        })
    }

    /// How a proposal ended, where it is over: why it was refused, if it was.
    pub fn rejection_reason(&self, digest: Digest) -> Option<String> {
        let (last, why) = self.coordinator_status()?.last_outcome?;
        why.filter(|why| last == digest && !why.contains("under way"))
    }

    pub fn traffic(&self, at: usize) -> Traffic {
        self.gateways[at].traffic
    }

    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    pub fn traffic_of_all(&self) -> Vec<Traffic> {
        self.gateways.iter().map(|gateway| gateway.traffic).collect()
    }
}
