//! One gateway's part in the fleet's policy: always a follower, a register where it is a voter, a coordinator
//! while it leads.

use crate::coordinator::Coordinator;
use crate::follower::{self, Follower, Permit};
use crate::message::{CoordinatorStatus, PolicyMessage};
use crate::register::{DurableState, Register};
use crate::revision::{Digest, Revision};
use crate::revision_cache::RevisionCache;
use crate::rules::Rules;
use crate::store::StoredState;
use crate::{Check, Phase, Terms};
use bramblewharf_fleet::node::Recipient;
use bramblewharf_fleet::voter::LeaderLease;
use std::sync::Arc;
use std::time::Duration;

/// The longest time between two ticks: the drift-bounded clock stands still over longer gaps.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The most replies, and file writes, that wait for the disk.
const MAX_PENDING: usize = 64;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: Recipient,
        message: PolicyMessage,
    },
    /// Replace the stored file atomically, then report the result with `write_finished`.
    Store {
        generation: u64,
        bytes: Vec<u8>,
    },
    /// The rules in force have changed: see `permit`.
    PermitChanged,
}

/// What a node is started with.
#[derive(Clone)]
pub struct Start {
    pub member_id: u32,
    pub voter: Option<u8>,
    pub terms: Terms,
    pub check: Check,
    /// From the local configuration: becomes the first revision of a fleet that has none.
    pub initial: Revision,
    /// Generation and content of the stored file, if it is there and valid.
    pub stored: Option<(u64, StoredState)>,
    /// New with each process start, so that replies to an earlier process are ignored.
    pub incarnation: u64,
    /// How long it waits for a first grant before it enforces the fallback.
    pub wait: Duration,
    /// Whether the local revision is the fallback where no other was ever enforced. A gateway that is cut off
    /// at its first start may then do what is forbidden elsewhere.
    pub fallback_to_initial: bool,
}

/// Node state for operators.
#[derive(Clone, Debug)]
pub struct Status {
    pub phase: Option<Phase>,
    pub enforced: Option<(u64, Digest)>,
    pub mode: &'static str,
    pub counts: follower::Counts,
    pub coordinator: Option<CoordinatorStatus>,
    pub is_halted: bool,
    /// Failed writes of the stored file.
    pub disk_failed: u64,
}

/// The policy state machine of one gateway, driven by ticks, messages and finished writes.
pub struct Node {
    member_id: u32,
    terms: Terms,
    voter: Option<u8>,
    initial: Digest,
    revisions: RevisionCache<Recipient>,
    follower: Follower,
    register: Option<Register>,
    coordinator: Option<Coordinator>,
    /// The file written last, and the replies that wait until it is durable.
    generation: u64,
    stored_state: Option<StoredState>,
    pending_replies: Vec<(u64, Recipient, PolicyMessage)>,
    /// The fallback named by each unfinished write.
    pending_writes: Vec<(u64, Vec<Digest>)>,
    /// Revisions of the last register write that was refused until they are cached: retained for its retry.
    pending_revisions: Vec<Digest>,
    last_tick: Duration,
    disk_failed: u64,
    last_enforced: Vec<Digest>,
}

impl Node {
    /// Fails if the local revision is not valid in this build.
    pub fn start(start: Start, now: Duration) -> Result<Node, String> {
        let Start { member_id, voter, terms, check, initial, stored, incarnation, wait, fallback_to_initial } =
            start;
        let mut revisions = RevisionCache::new(check, voter.map(Recipient::Voter));
        let initial = revisions.add(initial);
        if let Some(Err(why)) = revisions.get(&initial).map(|cached| cached.rules.clone()) {
            return Err(why);
        }
        let generation = stored.as_ref().map_or(0, |(generation, _)| *generation);
        let stored_state = stored.map(|(_, stored_state)| stored_state);
        for revision in stored_state.iter().flat_map(|stored_state| &stored_state.revisions) {
            revisions.add(revision.clone());
        }
        // The revisions enforced last, as stored; the local one only where the operators chose so.
        let mut fallback =
            stored_state.as_ref().map(|stored_state| stored_state.fallback.clone()).unwrap_or_default();
        if fallback.is_empty() && fallback_to_initial {
            fallback.push(initial);
        }
        let fallback =
            fallback.into_iter().filter_map(|digest| Some((digest, revisions.rules(&digest)?))).collect();
        let follower = Follower::start(terms.clone(), fallback, wait, member_id, incarnation, now);
        let durable = stored_state.as_ref().and_then(|stored_state| stored_state.voter.clone());
        let register = voter.map(|_| Register::start(&terms, durable));
        Ok(Node {
            member_id,
            terms,
            voter,
            initial,
            revisions,
            follower,
            register,
            coordinator: None,
            generation,
            stored_state,
            pending_replies: Vec::new(),
            pending_writes: Vec::new(),
            pending_revisions: Vec::new(),
            last_tick: now,
            disk_failed: 0,
            last_enforced: Vec::new(),
        })
    }

    /// When `tick` is due.
    pub fn due(&self, now: Duration) -> Duration {
        if now < self.last_tick {
            return now;
        }
        let follower_due = self.follower.due().max(now + Duration::from_millis(1));
        follower_due.min(self.last_tick + MAX_TICK_INTERVAL)
    }

    /// `leadership`: this gateway's right to lead, while the voters grant it.
    pub fn tick(&mut self, now: Duration, leadership: Option<LeaderLease>) -> Vec<Effect> {
        self.last_tick = now;
        let mut effects = Vec::new();
        self.run_coordinator(now, leadership, &mut effects);
        if let Some((voter, message)) = self.follower.tick(now) {
            self.send_to_voter(now, voter, message, &mut effects);
        }
        let retry_interval = self.terms.lease() / 16;
        let requests = self.revisions.due_requests(now, retry_interval);
        effects.extend(requests.into_iter().map(|(to, message)| Effect::Send { to, message }));
        self.evict_revisions();
        effects
    }

    fn run_coordinator(&mut self, now: Duration, leadership: Option<LeaderLease>, effects: &mut Vec<Effect>) {
        let leadership = leadership.filter(|leadership| now < leadership.until);
        if self.coordinator.as_ref().is_some_and(|coordinator| {
            leadership.is_none_or(|leadership| leadership.term != coordinator.leadership_term())
        }) {
            self.coordinator = None;
        }
        let (Some(leadership), Some(own_voter)) = (leadership, self.voter) else { return };
        let terms = &self.terms;
        let coordinator = self
            .coordinator
            .get_or_insert_with(|| Coordinator::start(leadership.term, own_voter, terms.clone(), now));
        let Some(messages) = coordinator.tick(now, &mut self.revisions, self.initial) else {
            self.coordinator = None;
            return;
        };
        for (voter, message) in messages {
            self.send_to_voter(now, voter, message, effects);
        }
    }

    /// The own voter gets the same messages as others, but without the network.
    fn send_to_voter(&mut self, now: Duration, voter: u8, message: PolicyMessage, effects: &mut Vec<Effect>) {
        match self.voter == Some(voter) {
            true => self.dispatch(now, Recipient::Voter(voter), None, message, effects),
            false => effects.push(Effect::Send { to: Recipient::Voter(voter), message }),
        }
    }

    /// Handles a message. `from` is a voter or a reply address, `member_id` the gateway that sent it, where
    /// known.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: Recipient,
        member_id: Option<u32>,
        message: PolicyMessage,
        leadership: Option<LeaderLease>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        // The leadership may have changed since the last tick.
        self.run_coordinator(now, leadership, &mut effects);
        self.dispatch(now, from, member_id, message, &mut effects);
        self.evict_revisions();
        effects
    }

    fn dispatch(
        &mut self,
        now: Duration,
        from: Recipient,
        member_id: Option<u32>,
        message: PolicyMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PolicyMessage::GetChunk { digest, offset: at } => {
                if let Some(message) = self.revisions.chunk(digest, at) {
                    effects.push(Effect::Send { to: from, message });
                }
            }
            PolicyMessage::Chunk { digest, offset: at, total_bytes, bytes } => {
                self.revisions.receive_chunk(digest, at, total_bytes, &bytes);
            }
            PolicyMessage::Read(term) => {
                if let Some(register) = &mut self.register {
                    let answer = register.read(term);
                    self.reply_when_durable(from, answer, effects);
                }
            }
            PolicyMessage::Write(stamp, entry) => {
                let Some(register) = &mut self.register else { return };
                // Fetches the revisions first: others will request them from this voter.
                let missing =
                    entry.digests().filter(|digest| !self.revisions.ensure_cached(*digest, from)).count();
                if missing > 0 {
                    self.pending_revisions = entry.digests().collect();
                    return;
                }
                let answer = register.write(stamp, entry);
                self.reply_when_durable(from, answer, effects);
            }
            PolicyMessage::ReadReply { .. } | PolicyMessage::Written(_) | PolicyMessage::StaleTerm { .. } => {
                self.deliver_to_coordinator(from, message)
            }
            PolicyMessage::GrantRequest(request) => {
                let member_id =
                    member_id.or((Some(from) == self.voter.map(Recipient::Voter)).then_some(self.member_id));
                let Some(member_id) = member_id.filter(|_| self.voter.is_some()) else { return };
                let answer = match &mut self.coordinator {
                    Some(coordinator) => coordinator.handle_grant_request(member_id, &request),
                    None => Some(PolicyMessage::NotReady { number: request.number, leader: None }),
                };
                if let Some(message) = answer {
                    match Some(from) == self.voter.map(Recipient::Voter) {
                        true => self.deliver_to_follower(now, self.voter.unwrap_or(0), message, effects),
                        false => effects.push(Effect::Send { to: from, message }),
                    }
                }
            }
            PolicyMessage::Grant(_) | PolicyMessage::NotReady { .. } => {
                let Recipient::Voter(voter) = from else { return };
                self.deliver_to_follower(now, voter, message, effects);
            }
            PolicyMessage::Offer { digest, wait_ms } => {
                self.revisions.ensure_cached(digest, from);
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.offer(digest, Duration::from_millis(wait_ms));
                }
                self.send_status(from, effects);
            }
            PolicyMessage::Withdraw(digest) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.withdraw(digest);
                }
                self.send_status(from, effects);
            }
            PolicyMessage::StatusQuery => self.send_status(from, effects),
            PolicyMessage::CoordinatorStatus(_) => {}
        }
    }

    fn send_status(&self, to: Recipient, effects: &mut Vec<Effect>) {
        if let Some(coordinator) = self.coordinator.as_ref().filter(|coordinator| coordinator.is_serving()) {
            effects.push(Effect::Send {
                to,
                message: PolicyMessage::CoordinatorStatus(coordinator.status(&self.revisions)),
            });
        }
    }

    fn deliver_to_coordinator(&mut self, from: Recipient, message: PolicyMessage) {
        let Recipient::Voter(voter) = from else { return };
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.handle_reply(voter, message);
        }
    }

    fn deliver_to_follower(
        &mut self,
        now: Duration,
        voter: u8,
        message: PolicyMessage,
        effects: &mut Vec<Effect>,
    ) {
        if self.follower.handle_reply(now, voter, message, &mut self.revisions) {
            effects.push(Effect::PermitChanged);
            if self.last_enforced != self.follower.enforced() {
                self.last_enforced = self.follower.enforced();
                self.write_state(effects);
            }
        }
    }

    /// Replies once the state that the reply relies on is durable.
    fn reply_when_durable(&mut self, to: Recipient, message: PolicyMessage, effects: &mut Vec<Effect>) {
        if let PolicyMessage::StaleTerm { .. } = message {
            return self.reply_now(to, message, effects);
        }
        self.write_state(effects);
        if self.pending_replies.len() >= MAX_PENDING {
            self.pending_replies.remove(0);
        }
        self.pending_replies.push((self.generation, to, message));
    }

    fn reply_now(&mut self, to: Recipient, message: PolicyMessage, effects: &mut Vec<Effect>) {
        match Some(to) == self.voter.map(Recipient::Voter) {
            true => self.deliver_to_coordinator(to, message),
            false => effects.push(Effect::Send { to, message }),
        }
    }

    fn write_state(&mut self, effects: &mut Vec<Effect>) {
        let enforced = self.follower.enforced();
        let entry = self
            .register
            .iter()
            .filter_map(|register| register.stored())
            .flat_map(|(_, entry)| entry.digests());
        let mut digests: Vec<Digest> = enforced.iter().copied().chain(entry).collect();
        // Also stores the previous revision, for gateways without a voter.
        let previous = self
            .stored_state
            .iter()
            .flat_map(|stored_state| &stored_state.revisions)
            .map(Revision::digest)
            .take(1);
        digests.extend(previous);
        let mut revisions = Vec::new();
        for digest in digests {
            if let Some(cached) = self.revisions.get(&digest) {
                if !revisions.contains(&*cached.revision) {
                    revisions.push((*cached.revision).clone());
                }
            }
        }
        let voter: Option<DurableState> = self.register.as_ref().map(|register| register.durable().clone());
        let stored_state = StoredState { voter, fallback: enforced.clone(), revisions };
        self.generation += 1;
        effects
            .push(Effect::Store { generation: self.generation, bytes: stored_state.write(self.generation) });
        self.pending_writes.push((self.generation, enforced));
        if self.pending_writes.len() > MAX_PENDING {
            self.pending_writes.remove(0);
        }
        self.stored_state = Some(stored_state);
    }

    /// Handles the result of a write. After a failure its replies are dropped; the requester's retry causes
    /// another write.
    pub fn write_finished(&mut self, generation: u64, succeeded: bool) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !succeeded {
            self.disk_failed += 1;
            self.pending_replies.retain(|(of, ..)| *of != generation);
            return effects;
        }
        // A restart would now begin with these revisions.
        if let Some((_, digest)) = self.pending_writes.iter().rev().find(|(of, _)| *of <= generation) {
            self.follower.set_durable_fallback(digest.clone());
        }
        self.pending_writes.retain(|(of, _)| *of > generation);
        let (ready, pending_replies) =
            std::mem::take(&mut self.pending_replies).into_iter().partition(|(of, ..)| *of <= generation);
        self.pending_replies = pending_replies;
        for (_, to, message) in ready {
            self.reply_now(to, message, &mut effects);
        }
        effects
    }

    /// Drops cached revisions that are no longer needed.
    fn evict_revisions(&mut self) {
        let mut needed: Vec<Digest> = vec![self.initial];
        needed.extend(self.follower.enforced());
        needed.extend(self.follower.needed_digests());
        needed
            .extend(self.register.iter().filter_map(Register::stored).flat_map(|(_, entry)| entry.digests()));
        needed.extend(
            self.coordinator.iter().flat_map(|coordinator| coordinator.digests().collect::<Vec<_>>()),
        );
        needed.extend(
            self.stored_state.iter().flat_map(|stored_state| &stored_state.revisions).map(Revision::digest),
        );
        needed.extend(&self.pending_revisions);
        self.revisions.retain_needed(|digest| needed.contains(digest));
    }

    /// What may be sent now.
    pub fn permit(&self, now: Duration) -> Permit {
        self.follower.permit(now)
    }

    /// The mode, the enforced revisions and the expiry of the grant, for external checks.
    pub fn fact(&self, now: Duration) -> (&'static str, Vec<Digest>, Option<Duration>) {
        (self.permit(now).mode(now).name(), self.follower.enforced(), self.follower.until(now))
    }

    /// When the permit changes without a message.
    pub fn permit_due(&self, now: Duration) -> Option<Duration> {
        self.follower.permit_due(now)
    }

    /// The phase of the current grant, if any.
    pub fn phase(&self, now: Duration) -> Option<Phase> {
        self.follower.phase(now)
    }

    /// A revision, if it is cached.
    pub fn revision(&self, digest: &Digest) -> Option<&Revision> {
        self.revisions.get(digest).map(|cached| &*cached.revision)
    }

    /// The rules of a revision, if it is cached and valid.
    pub fn rules(&self, digest: &Digest) -> Option<Arc<Rules>> {
        self.revisions.rules(digest)
    }

    /// The node's state for operators.
    pub fn status(&self, now: Duration) -> Status {
        let enforced = self.follower.enforced();
        let numbered =
            |digest: &Digest| (self.revision(digest).map_or(0, |revision| revision.number), *digest);
        Status {
            phase: self.follower.phase(now),
            enforced: enforced.first().map(numbered),
            mode: self.permit(now).mode(now).name(),
            counts: self.follower.counts,
            coordinator: self
                .coordinator
                .as_ref()
                .filter(|coordinator| coordinator.is_serving())
                .map(|coordinator| coordinator.status(&self.revisions)),
            is_halted: self.coordinator.as_ref().is_some_and(Coordinator::is_halted),
            disk_failed: self.disk_failed,
        }
    }
}
