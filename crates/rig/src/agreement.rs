//! Measures the cost of agreement in a fleet in virtual time: of each gateway, only the state machines of its
//! grants and of its policy. The invariants are checked in `simulated` and in the tests of the policy crate.

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
/// Most bytes that one gateway can send per second, as on its link; messages beyond it are dropped.
pub const MAX_BYTES_PER_SECOND: u64 = 1 << 20;
/// Size of the IP and UDP headers of each message.
pub const HEADER_BYTES: u64 = 28;
/// Number of regions; the region of a gateway is its number modulo this.
pub const REGION_COUNT: usize = 5;
/// Port that stands for the operators' tool.
const TOOL_PORT: u16 = 60_000;
/// Interval at which the tool repeats an offer.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);
/// Time until a write of the policy file is on disk.
const DISK_WRITE_TIME: Duration = Duration::from_millis(5);

/// Parameters of the measured fleet.
#[derive(Clone, Debug)]
pub struct AgreementConfig {
    pub gateways: usize,
    pub voters: u8,
    pub lease: Duration,
    /// Size of the initial policy's text in bytes; `None` for a fleet without a policy.
    pub policy: Option<usize>,
    /// Additional latency of messages between regions.
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

/// Messages of one gateway; bytes don't include `HEADER_BYTES`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Messages dropped because `MAX_BYTES_PER_SECOND` was reached.
    pub dropped_messages: u64,
    /// Processor time in the state machines; measured for voters and for the last gateway only.
    pub state_machine_time: Duration,
    /// Processor time for encoding and decoding messages, of the same gateways.
    pub codec_time: Duration,
}

impl Traffic {
    /// The difference to an earlier count.
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
    node: Option<node::Node>,
    policy: Option<Policy>,
    incarnation: u64,
    /// The policy file on its disk.
    stored_policy: Option<(u64, StoredState)>,
    wakes_at: Option<Duration>,
    /// Start of the current second and the bytes sent in it.
    send_window: (Duration, u64),
    traffic: Traffic,
    /// The voter that granted it a lease last, and when.
    last_grant: Option<(u8, Duration)>,
    started_at: Duration,
}

enum Event {
    Wake(usize, u64),
    Arrives { to: usize, from: SocketAddr, envelope: Box<Envelope>, bytes: u64 },
    PolicyStored { at: usize, incarnation: u64, generation: u64, stored: Box<StoredState> },
    Start(usize),
    RestartOne,
    Offer(usize),
}

/// A proposed change, offered again until it is in force or rejected.
struct Proposal {
    revision: Revision,
    wait: Duration,
    finished: bool,
}

/// The simulated fleet.
pub struct World {
    pub now: Duration,
    config: AgreementConfig,
    fleet_config: FleetConfig,
    check: Check,
    key: Key,
    rng: WyRand,
    queue: BTreeMap<(Duration, u64), Event>,
    next_sequence: u64,
    gateways: Vec<Gateway>,
    /// The region that is cut off from the others.
    isolated_region: Option<usize>,
    /// The gateway in whose region the operators' tool runs.
    tool_location: usize,
    /// Restarts per second and the downtime of each.
    restarts: (f64, Duration),
    proposals: Vec<Proposal>,
    /// Cost of reading the thread's clock, which is subtracted from measured times.
    clock_cost: Duration,
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn address(of: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + of as u16))
}

/// Parses a comma-separated policy text: `NAME=LIMIT` limits the executions of a workload, `alone` forbids
/// everything to a gateway without a grant, and `#...` is a comment.
fn policy_check() -> Check {
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

/// A revision whose text is padded to this many bytes.
pub fn revision(number: u64, parent: Digest, rules: &str, bytes: usize) -> Revision {
    let text = format!("{rules},#{}", "x".repeat(bytes.saturating_sub(rules.len() + 2)));
    Revision { number, parent, author: "ops".into(), reason: "a measurement".into(), text }
}

/// The initial policy, which later revisions widen or narrow.
pub const INITIAL_POLICY: &str = "load=3,report=3";
/// The same, with everything forbidden to a gateway without a grant.
pub const INITIAL_POLICY_CLOSED: &str = "load=3,report=3,alone";

impl World {
    /// A fleet whose gateways have just started; `initial_rules` is the initial policy.
    pub fn new(config: AgreementConfig, initial_rules: &str) -> World {
        let fleet_config = FleetConfig {
            fleet: 1,
            max_members: config.gateways as u32,
            voters: config.voters,
            lease: config.lease,
            drift_percent: 1,
            max_execution_time: 1300 * MS,
            orphan_retention: 500 * MS,
            injected_bug: None,
        };
        let gateway = || Gateway {
            node: None,
            policy: None,
            incarnation: 0,
            stored_policy: None,
            wakes_at: None,
            send_window: (Duration::ZERO, 0),
            traffic: Traffic::default(),
            last_grant: None,
            started_at: Duration::ZERO,
        };
        let clock_reads = 2000;
        let began = thread_time();
        (0..clock_reads).for_each(|_| {
            std::hint::black_box(thread_time());
        });
        let clock_cost = (thread_time() - began) / clock_reads;
        let mut world = World {
            now: 1000 * Duration::from_secs(1),
            check: policy_check(),
            key: Key::derive(b"a key of sixteen bytes").expect("long enough"),
            rng: WyRand::new_seed(config.seed),
            queue: BTreeMap::new(),
            next_sequence: 0,
            gateways: (0..config.gateways).map(|_| gateway()).collect(),
            isolated_region: None,
            tool_location: 0,
            restarts: (0.0, Duration::ZERO),
            proposals: Vec::new(),
            clock_cost,
            fleet_config,
            config,
        };
        world.proposals.extend(world.config.policy.map(|bytes| Proposal {
            revision: revision(1, Digest::default(), initial_rules, bytes),
            wait: Duration::ZERO,
            finished: true,
        }));
        (0..world.gateways.len()).for_each(|at| world.start(at));
        world
    }

    fn queue(&mut self, at: Duration, event: Event) {
        self.next_sequence += 1;
        self.queue.insert((at.max(self.now), self.next_sequence), event);
    }

    /// Simulates this much time.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= until) {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Simulates until the condition holds, checked every 20 ms, and returns the time that it took; `None` on
    /// a timeout.
    pub fn run_until(&mut self, timeout: Duration, holds: impl Fn(&mut World) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now < began + timeout {
            if holds(self) {
                return Some(self.now - began);
            }
            self.run(20 * MS);
        }
        holds(self).then(|| self.now - began)
    }

    /// Ends the process of a gateway.
    pub fn kill(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        (gateway.node, gateway.policy, gateway.last_grant) = (None, None, None);
    }

    /// Starts a process of a gateway, unless one runs, with the policy file on its disk.
    pub fn start(&mut self, at: usize) {
        if self.gateways[at].node.is_some() {
            return;
        }
        let (seed, now) = (self.rng.generate(), self.now);
        let budget = Budget {
            name: "whole".into(),
            scope: Scope::default(),
            measure: Measure::StatementsAtOnce,
            whole: 20 * self.config.gateways as u64 * UNIT,
            floor_percent: 25,
            quantum: UNIT,
            burst: Duration::ZERO,
        };
        let gateway = &mut self.gateways[at];
        gateway.incarnation += 1;
        gateway.started_at = now;
        let incarnation = (now.as_nanos() as u64) << 8 | gateway.incarnation & 0xff;
        let voter = u8::try_from(at).ok().filter(|voter| *voter < self.config.voters);
        let mut node = node::Node::start(
            node::Start {
                member_id: at as u32,
                voter,
                incarnation: Incarnation(incarnation),
                config: self.fleet_config.clone(),
                budgets: vec![budget],
                table_digest: 1,
                seed,
            },
            now,
        );
        // One execution in use for as long as the process runs, so that it needs a grant.
        let demand = Demand {
            workload: 0,
            customer: None,
            kind: "",
            weight: 1.0,
            mem_mb: 0.0,
            previous_executions: 0,
        };
        let charges = node.headroom(now).charge(&demand);
        node.execution_started(now, &charges);
        gateway.node = Some(node);
        gateway.policy = self.proposals.first().and_then(|initial| {
            let start = bramblewharf_policy::Start {
                member_id: at as u32,
                voter,
                terms: bramblewharf_policy::Terms { fleet: self.fleet_config.clone(), injected_bug: None },
                check: self.check.clone(),
                initial: initial.revision.clone(),
                stored: gateway.stored_policy.clone(),
                incarnation,
                wait: 3000 * MS,
                fallback_to_initial: false,
            };
            Policy::start(start, now).ok()
        });
        // Each process begins to work after a short random delay.
        let soon = now + Duration::from_micros(self.rng.generate_range(0..20_000));
        gateway.wakes_at = Some(soon);
        let incarnation = gateway.incarnation;
        self.queue(soon, Event::Wake(at, incarnation));
    }

    /// Schedules the start of a gateway.
    pub fn start_later(&mut self, at: usize, after: Duration) {
        self.queue(self.now + after, Event::Start(at));
    }

    /// From now on, restarts random gateways at this rate, except voters and the first gateway that is not a
    /// voter.
    pub fn restart_continuously(&mut self, per_second: f64, downtime: Duration) {
        self.restarts = (per_second, downtime);
        self.queue(self.now, Event::RestartOne);
    }

    /// Cuts a region off from the others; `None` ends that.
    pub fn isolate_region(&mut self, region: Option<usize>) {
        self.isolated_region = region;
    }

    /// Proposes a revision from the region of the leader, as operators who can't reach it go elsewhere.
    pub fn propose(&mut self, revision: Revision, wait: Duration) {
        self.tool_location = self.leader().unwrap_or(0);
        self.proposals.push(Proposal { revision, wait, finished: false });
        self.queue(self.now, Event::Offer(self.proposals.len() - 1));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(at, incarnation) => {
                if self.gateways[at].incarnation == incarnation && self.gateways[at].node.is_some() {
                    self.gateways[at].wakes_at = None;
                    self.step(at, None);
                }
            }
            Event::Arrives { to, from, envelope, bytes } => {
                let gateway = &mut self.gateways[to];
                if gateway.node.is_none() {
                    return;
                }
                gateway.traffic.received += 1;
                gateway.traffic.received_bytes += bytes;
                if let (Message::GrantReply(_), Party::Voter(voter)) = (&envelope.message, envelope.from) {
                    gateway.last_grant = Some((voter, self.now));
                }
                self.step(to, Some((*envelope, from)));
            }
            Event::PolicyStored { at, incarnation, generation, stored } => {
                let gateway = &mut self.gateways[at];
                if gateway.incarnation != incarnation || gateway.node.is_none() {
                    return;
                }
                gateway.stored_policy = Some((generation, *stored));
                let effects = gateway.policy.as_mut().map(|policy| policy.write_finished(generation, true));
                self.perform_policy_effects(at, effects.unwrap_or_default());
            }
            Event::Start(at) => self.start(at),
            Event::RestartOne => {
                let (per_second, downtime) = self.restarts;
                if per_second <= 0.0 {
                    return;
                }
                let first = usize::from(self.config.voters) + 1;
                if first < self.gateways.len() {
                    let at = self.rng.generate_range(first..self.gateways.len());
                    if self.gateways[at].node.is_some() {
                        self.kill(at);
                        self.start_later(at, downtime);
                    }
                }
                let pause = -(1.0 - self.rng.generate::<f64>()).ln() / per_second;
                self.queue(self.now + Duration::from_secs_f64(pause), Event::RestartOne);
            }
            Event::Offer(at) => {
                if self.proposals[at].finished {
                    return;
                }
                let (digest, wait) = (self.proposals[at].revision.digest(), self.proposals[at].wait);
                let offer = PolicyMessage::Offer { digest, wait_ms: wait.as_millis() as u64 };
                for voter in 0..usize::from(self.config.voters) {
                    self.send_from_tool(voter, &offer);
                }
                self.queue(self.now + OFFER_INTERVAL, Event::Offer(at));
            }
        }
    }

    fn send_from_tool(&mut self, to: usize, message: &PolicyMessage) {
        let message = Message::Policy(message.write());
        let incarnation = Incarnation(1);
        let envelope =
            Envelope { fleet: self.fleet_config.fleet, from: Party::Tool, incarnation, number: 1, message };
        let from = SocketAddr::from((Ipv4Addr::LOCALHOST, TOOL_PORT));
        let Some(bytes) = envelope.encode(&self.key) else { return };
        self.deliver(self.tool_location, to, from, envelope, bytes.len() as u64);
    }

    fn receive_at_tool(&mut self, from: usize, envelope: &Envelope) {
        let Message::Policy(bytes) = &envelope.message else { return };
        match PolicyMessage::read(bytes) {
            Some(PolicyMessage::GetChunk { digest, offset }) => {
                let Some(proposal) =
                    self.proposals.iter().find(|proposal| proposal.revision.digest() == digest)
                else {
                    return;
                };
                let text = proposal.revision.write();
                let at = (offset as usize).min(text.len());
                let chunk = text[at..(at + CHUNK_BYTES).min(text.len())].to_vec();
                let reply =
                    PolicyMessage::Chunk { digest, offset, total_bytes: text.len() as u32, bytes: chunk };
                self.send_from_tool(from, &reply);
            }
            Some(PolicyMessage::CoordinatorStatus(status)) => {
                for proposal in &mut self.proposals {
                    let digest = proposal.revision.digest();
                    let rejected = status.last_outcome.as_ref().is_some_and(|(last, why)| {
                        *last == digest && why.as_ref().is_some_and(|why| !why.contains("under way"))
                    });
                    proposal.finished |= status.current == digest || rejected;
                }
            }
            _ => {}
        }
    }

    /// Whether processor time is measured for this gateway.
    fn is_timed(&self, at: usize) -> bool {
        at < usize::from(self.config.voters) || at + 1 == self.gateways.len()
    }

    /// Handles a message, or the timers if there is none, in the order of the gateway's reducer.
    fn step(&mut self, at: usize, received: Option<(Envelope, SocketAddr)>) {
        let (now, timed) = (self.now, self.is_timed(at));
        let began = timed.then(thread_time);
        let gateway = &mut self.gateways[at];
        let Some(node) = &mut gateway.node else { return };
        let (mut effects, mut policy_effects) = (Vec::new(), Vec::new());
        match received {
            Some((Envelope { from: party, message: Message::Policy(bytes), .. }, from)) => {
                let (to, member_id) = match party {
                    Party::Voter(voter) => (Recipient::Voter(voter), None),
                    Party::Member(member_id) => (Recipient::Address(from), Some(member_id)),
                    Party::Tool => (Recipient::Address(from), None),
                };
                if let (Some(policy), Some(message)) = (&mut gateway.policy, PolicyMessage::read(&bytes)) {
                    policy_effects =
                        policy.handle_message(now, to, member_id, message, node.leader_lease(now));
                }
            }
            Some((envelope, from)) => effects = node.handle_message(now, envelope, from),
            None => {
                effects = node.tick(now);
                if let Some(policy) = gateway.policy.as_mut().filter(|policy| now >= policy.due(now)) {
                    policy_effects = policy.tick(now, node.leader_lease(now));
                }
            }
        }
        if let Some(began) = began {
            gateway.traffic.state_machine_time += (thread_time() - began).saturating_sub(self.clock_cost);
        }
        for effect in effects {
            if let node::Effect::Send { to, envelope } = effect {
                self.send(at, to, envelope);
            }
        }
        self.perform_policy_effects(at, policy_effects);
        self.schedule_wake(at);
    }

    fn perform_policy_effects(&mut self, at: usize, effects: Vec<bramblewharf_policy::Effect>) {
        for effect in effects {
            match effect {
                bramblewharf_policy::Effect::Send { to, message } => {
                    let as_member = matches!(message, PolicyMessage::GrantRequest(_));
                    let message = Message::Policy(message.write());
                    let envelope =
                        self.gateways[at].node.as_mut().map(|node| node.wrap_message(message, as_member));
                    if let Some(envelope) = envelope {
                        self.send(at, to, envelope);
                    }
                }
                bramblewharf_policy::Effect::Store { generation, bytes } => {
                    let Ok((_, stored)) = StoredState::read(&bytes) else { continue };
                    let incarnation = self.gateways[at].incarnation;
                    let stored = Box::new(stored);
                    self.queue(
                        self.now + DISK_WRITE_TIME,
                        Event::PolicyStored { at, incarnation, generation, stored },
                    );
                }
                bramblewharf_policy::Effect::PermitChanged => {}
            }
        }
    }

    /// Schedules the next wake-up of a gateway.
    fn schedule_wake(&mut self, at: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[at];
        let Some(node) = &gateway.node else { return };
        let policy = gateway.policy.as_ref().map(|policy| policy.due(now));
        let due = policy.into_iter().chain([node.due(now)]).min().unwrap_or(now).max(now + MS / 10);
        if gateway.wakes_at.is_none_or(|other| due < other || other <= now) {
            gateway.wakes_at = Some(due);
            let incarnation = gateway.incarnation;
            self.queue(due, Event::Wake(at, incarnation));
        }
    }

    fn send(&mut self, from: usize, to: Recipient, envelope: Envelope) {
        let timed = self.is_timed(from);
        let began = timed.then(thread_time);
        let Some(bytes) = envelope.encode(&self.key) else { return };
        let took = began.map(|began| (thread_time() - began).saturating_sub(self.clock_cost));
        let length = bytes.len() as u64;
        let now = self.now;
        let gateway = &mut self.gateways[from];
        gateway.traffic.codec_time += took.unwrap_or_default();
        if now >= gateway.send_window.0 + Duration::from_secs(1) {
            gateway.send_window = (now, 0);
        }
        if gateway.send_window.1 + length > MAX_BYTES_PER_SECOND {
            gateway.traffic.dropped_messages += 1;
            return;
        }
        gateway.send_window.1 += length;
        gateway.traffic.sent += 1;
        gateway.traffic.sent_bytes += length;
        let to = match to {
            Recipient::Voter(voter) => usize::from(voter),
            Recipient::Address(address) if address.port() == TOOL_PORT => {
                return self.receive_at_tool(from, &envelope)
            }
            Recipient::Address(address) => usize::from(address.port()) - 1,
        };
        if self.is_timed(to) {
            let began = thread_time();
            std::hint::black_box(Envelope::decode(&bytes, &self.key, self.fleet_config.fleet));
            self.gateways[to].traffic.codec_time += (thread_time() - began).saturating_sub(self.clock_cost);
        }
        self.deliver(from, to, address(from), envelope, length);
    }

    /// Delivers a message unless the regions can't reach each other.
    fn deliver(&mut self, from: usize, to: usize, sender: SocketAddr, envelope: Envelope, bytes: u64) {
        let (one, other) = (from % REGION_COUNT, to % REGION_COUNT);
        if to >= self.gateways.len()
            || one != other && (self.isolated_region == Some(one) || self.isolated_region == Some(other))
        {
            return;
        }
        let mut delay = Duration::from_micros(self.rng.generate_range(50..1500));
        if one != other {
            delay += self.config.between_regions;
        }
        let envelope = Box::new(envelope);
        self.queue(self.now + delay, Event::Arrives { to, from: sender, envelope, bytes });
    }

    /// The gateways that run and are not cut off.
    fn reachable(&self) -> impl Iterator<Item = usize> + '_ {
        let is_reachable =
            |at: &usize| self.gateways[*at].node.is_some() && self.isolated_region != Some(at % REGION_COUNT);
        (0..self.gateways.len()).filter(is_reachable)
    }

    /// The leader, if it can be reached.
    pub fn leader(&self) -> Option<usize> {
        let voters = self.reachable().take_while(|at| *at < usize::from(self.config.voters));
        voters
            .into_iter()
            .find(|at| self.gateways[*at].node.as_ref().is_some_and(|node| node.is_leader(self.now)))
    }

    /// Whether a gateway's process runs.
    pub fn is_running(&self, at: usize) -> bool {
        self.gateways[at].node.is_some()
    }

    /// Number of reachable gateways without a grant of budgets, and without one of the policy.
    pub fn count_without_grant(&mut self) -> (usize, usize) {
        let (now, reached) = (self.now, self.reachable().collect::<Vec<_>>());
        let (mut without_budgets, mut without_policy) = (0, 0);
        for at in reached {
            let gateway = &mut self.gateways[at];
            let Some(node) = &mut gateway.node else { continue };
            without_budgets += usize::from(!node.status(now).has_grant);
            without_policy +=
                usize::from(gateway.policy.as_ref().is_some_and(|policy| policy.phase(now).is_none()));
        }
        (without_budgets, without_policy)
    }

    /// Whether any, or every, reachable gateway has received a grant from another voter than `except` since
    /// then. The leader's own gateway requests its grants without a message.
    pub fn granted_since(&self, since: Duration, except: usize, all: bool) -> bool {
        let leader = self.leader();
        let granted = |at: usize| {
            self.gateways[at]
                .last_grant
                .is_some_and(|(voter, when)| when > since && usize::from(voter) != except)
        };
        match all {
            true => leader.is_some() && self.reachable().all(|at| granted(at) || Some(at) == leader),
            false => self.reachable().any(granted),
        }
    }

    /// Whether a new leader still waits for the grants of its predecessor to expire, or there is no leader.
    pub fn is_recovering(&mut self) -> bool {
        let now = self.now;
        let leader = self.leader();
        let node = leader.and_then(|at| self.gateways[at].node.as_mut());
        node.is_none_or(|node| node.status(now).leader.is_none_or(|leader| leader.is_recovering))
    }

    /// The leader's status of the policy: the phase, the revision in force, the last outcome, and whom a
    /// change waits for.
    pub fn coordinator_status(&self) -> Option<bramblewharf_policy::message::CoordinatorStatus> {
        let at = self.leader()?;
        self.gateways[at].policy.as_ref()?.status(self.now).coordinator
    }

    /// Whether all reachable gateways decide by this revision alone; one that has just started may not have a
    /// grant yet.
    pub fn is_enforced_everywhere(&self, digest: Digest) -> bool {
        self.reachable().all(|at| {
            let gateway = &self.gateways[at];
            gateway.policy.as_ref().is_some_and(|policy| match policy.phase(self.now) {
                None => self.now < gateway.started_at + 3000 * MS,
                Some(phase) => {
                    let enforced = policy.status(self.now).enforced;
                    !phase.is_transition() && enforced.is_some_and(|(_, enforced)| enforced == digest)
                }
            })
        })
    }

    /// Why a proposal was rejected, if it was.
    pub fn rejection_reason(&self, digest: Digest) -> Option<String> {
        let (last, why) = self.coordinator_status()?.last_outcome?;
        why.filter(|why| last == digest && !why.contains("under way"))
    }

    /// The traffic of one gateway so far.
    pub fn traffic(&self, at: usize) -> Traffic {
        self.gateways[at].traffic
    }

    /// Number of gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether there are no gateways.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// The traffic of every gateway so far.
    pub fn traffic_of_all(&self) -> Vec<Traffic> {
        self.gateways.iter().map(|gateway| gateway.traffic).collect()
    }
}
