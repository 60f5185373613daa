//! A gateway as a member of its fleet: always a grant holder, a voter if configured, and the leader while it
//! has the lease.

use crate::grant_holder::{self, GrantHolder};
use crate::leader::{self, Leader, Member};
use crate::outstanding::Outstanding;
use crate::predecessor::{Predecessor, Succession};
use crate::voter::{LeaderLease, Outbound, Voter};
use crate::wire::{Envelope, Message, Party};
use crate::{FleetConfig, Incarnation, InjectedBug};
use bramblewharf_budgets::usage::{BudgetStatus, Charges, OrphanId};
use bramblewharf_budgets::{Budget, Demand, Headroom, Usage};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest interval between calls: drift-bounded clocks don't count more of a longer one.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// What may remain at its engine of an execution that has ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remains {
    Nothing,
    /// It has reached the engine, which ends it since nobody polls it.
    Orphaned,
    /// Nothing confirms that it has ended or even been read: it may still start.
    Unconfirmed,
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    Voter(u8),
    /// The address that a request came from.
    Address(SocketAddr),
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: Recipient,
        envelope: Envelope,
    },
    /// The free capacity of the budgets has changed: see `headroom`.
    HeadroomChanged,
}

/// Configuration of a gateway as a member of its fleet.
#[derive(Clone, Debug)]
pub struct Start {
    pub member_id: u32,
    pub voter: Option<u8>,
    pub incarnation: Incarnation,
    pub config: FleetConfig,
    pub budgets: Vec<Budget>,
    /// Digest of the table of budgets as it is written.
    pub table_digest: u64,
    pub seed: u64,
}

/// State of a gateway for monitoring.
#[derive(Clone, Debug)]
pub struct Status {
    pub member_id: u32,
    pub incarnation: Incarnation,
    /// The voter that the last request went to, and whether the grant is valid.
    pub requests_to: u8,
    pub has_grant: bool,
    pub members: Option<u32>,
    pub grant_holder: grant_holder::Counts,
    pub budgets: Vec<BudgetStatus>,
    pub voter: Option<VoterStatus>,
    pub leader: Option<LeaderStatus>,
    pub ignored: u64,
}

/// State of the voter for monitoring.
#[derive(Clone, Debug)]
pub struct VoterStatus {
    pub voter: u8,
    pub can_vote: bool,
    /// The leader that it has accepted.
    pub leader: Option<u8>,
    pub proposals: u64,
}

/// State of the leader for monitoring.
#[derive(Clone, Debug)]
pub struct LeaderStatus {
    pub is_recovering: bool,
    pub members: Vec<Member>,
    /// By budget: granted to members, and possibly still in use by earlier processes.
    pub totals: Vec<(u64, u64)>,
    pub counts: leader::Counts,
}

/// A gateway as a member of its fleet.
pub struct Node {
    start: Start,
    usage: Usage,
    grant_holder: GrantHolder,
    voter: Option<Voter>,
    leader: Option<Leader>,
    succession: Succession,
    sent: u64,
    leaderships: u64,
    /// Messages that were ignored.
    ignored: u64,
    has_left: bool,
    last_tick: Duration,
}

impl Node {
    /// Starts after a process whose engines have read all that it sent.
    pub fn start(start: Start, now: Duration) -> Node {
        Node::start_after(start, Predecessor::Ended, now).0
    }

    /// Starts with what is known of the previous process. Returns the executions that it had in flight, each
    /// with the handle under which it counts as in use until settled.
    pub fn start_after(
        start: Start,
        predecessor: Predecessor,
        now: Duration,
    ) -> (Node, Vec<(Outstanding, OrphanId)>) {
        let config = start.config.clone();
        let assumes_ended = config.has_bug(InjectedBug::AssumesPredecessorEnded)
            || config.has_bug(InjectedBug::FreesKilledProcessGrant);
        let predecessor = if assumes_ended { Predecessor::Ended } else { predecessor };
        let floor_after = match predecessor {
            _ if config.has_bug(InjectedBug::FreesKilledProcessGrant) => Duration::ZERO,
            Predecessor::Ended => config.max_orphan_time(),
            Predecessor::Unknown | Predecessor::Recorded(_) => config.max_unconfirmed_time(),
        };
        let mut usage = Usage::new(start.budgets.clone(), config.max_members, floor_after, now);
        let outstanding = match &predecessor {
            Predecessor::Recorded(record) => record.outstanding.clone(),
            Predecessor::Ended | Predecessor::Unknown => Vec::new(),
        };
        let mut inherit = |outstanding: Outstanding| {
            let name = usage.inherit(now, outstanding.demand.clone(), config.max_unconfirmed_time())?;
            Some((outstanding, name))
        };
        let inherited = outstanding.into_iter().filter_map(&mut inherit).collect();
        let voter =
            start.voter.map(|own| Voter::start(own, start.incarnation, config.clone(), start.seed ^ 1, now));
        let grant_holder = GrantHolder::start(config, start.table_digest, start.seed ^ 2, now);
        let node = Node {
            start,
            usage,
            grant_holder,
            voter,
            leader: None,
            succession: Succession::start(predecessor),
            sent: 0,
            leaderships: 0,
            ignored: 0,
            has_left: false,
            last_tick: now,
        };
        (node, inherited)
    }

    /// Every engine that an earlier process may have sent to has read what it sent, or is gone.
    pub fn engines_confirmed(&mut self, now: Duration) {
        self.usage.allow_floors_after(now, self.start.config.max_orphan_time());
    }

    /// Whether all executions that may be in flight under this member id are counted as in use here.
    pub fn counts_everything(&self) -> bool {
        self.succession.is_complete()
    }

    /// When `tick` has to be called next.
    pub fn due(&self, now: Duration) -> Duration {
        if now < self.last_tick {
            return now;
        }
        // Counted from the last tick, not from now, so that frequent calls of this don't postpone the next
        // tick.
        let own = self
            .grant_holder
            .due()
            .max(now + Duration::from_millis(1))
            .min(self.last_tick + MAX_TICK_INTERVAL);
        self.usage.due(now).map_or(own, |due| due.min(own))
    }

    /// Advances time.
    pub fn tick(&mut self, now: Duration) -> Vec<Effect> {
        self.last_tick = now;
        let mut effects = Vec::new();
        if let Some(voter) = &mut self.voter {
            let outbound = voter.tick(now);
            self.send_all(outbound, &mut effects);
        }
        self.update_leader(now);
        self.usage.tick(now);
        if self.usage.has_floors() {
            self.succession.mark_complete();
        }
        if self.grant_holder.observe_clock(now) {
            self.usage.drop_grants(now);
            effects.push(Effect::HeadroomChanged);
        }
        let usage = &mut self.usage;
        if let Some((voter, number, message)) =
            self.grant_holder.tick(now, || (usage.held(now), usage.needs(now)))
        {
            self.send_request(now, voter, number, message, &mut effects);
        }
        effects
    }

    /// Handles a message received from `from`.
    pub fn handle_message(&mut self, now: Duration, envelope: Envelope, from: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        match (envelope.from, envelope.message) {
            (
                Party::Voter(voter),
                message @ (Message::Prepare(_)
                | Message::Promise { .. }
                | Message::Propose(_)
                | Message::Accept(_)
                | Message::Reject { .. }
                | Message::Release(_)),
            ) => match self
                .voter
                .as_mut()
                .filter(|_| Some(voter) != self.start.voter && voter < self.start.config.voters)
            {
                Some(own) => {
                    let outbound = own.handle_message(now, voter, message);
                    self.send_all(outbound, &mut effects);
                    self.update_leader(now);
                }
                None => self.ignored += 1,
            },
            (
                Party::Member(member_id),
                message @ (Message::GrantRequest(_) | Message::Leaving { .. } | Message::TakeOver { .. }),
            ) => {
                let reply =
                    self.handle_request(now, member_id, envelope.incarnation, envelope.number, message);
                if let Some(message) = reply {
                    let envelope = self.envelope(message);
                    effects.push(Effect::Send { to: Recipient::Address(from), envelope });
                }
            }
            (Party::Voter(voter), message) => self.handle_reply(now, voter, message, &mut effects),
            _ => self.ignored += 1,
        }
        effects
    }

    /// Starts the leader with the leader lease, and drops it with that.
    fn update_leader(&mut self, now: Duration) {
        let leader_lease: Option<LeaderLease> = self.voter.as_ref().and_then(|voter| voter.leader_lease(now));
        if self.leader.as_mut().is_some_and(|leader| {
            let same_term = leader_lease.is_some_and(|leader_lease| leader_lease.term == leader.term());
            !same_term || !leader.tick(now)
        }) {
            self.leader = None;
        }
        if let Some(leader_lease) = leader_lease.filter(|_| self.leader.is_none()) {
            self.leaderships += 1;
            let Start { config, budgets, table_digest, seed, .. } = self.start.clone();
            let seed = seed ^ (3 + self.leaderships);
            self.leader = Some(Leader::start(leader_lease.term, config, budgets, table_digest, seed, now));
        }
    }

    /// Handles a member's request under the current leader lease.
    fn handle_request(
        &mut self,
        now: Duration,
        member_id: u32,
        from: Incarnation,
        number: u64,
        message: Message,
    ) -> Option<Message> {
        self.update_leader(now);
        let Some(voter) = &self.voter else {
            self.ignored += 1;
            return None;
        };
        match (&mut self.leader, message) {
            (Some(leader), Message::GrantRequest(request)) => {
                leader.handle_request(member_id, from, number, request)
            }
            (Some(leader), Message::TakeOver { session, remaining }) => {
                leader.handle_take_over(member_id, from, number, session, remaining)
            }
            (Some(leader), Message::Leaving { session, holds }) => {
                leader.handle_leaving(member_id, from, number, session, &holds);
                None
            }
            (None, Message::GrantRequest(_)) => {
                let leader = voter.known_leader().filter(|leader| Some(*leader) != self.start.voter);
                Some(Message::NotLeader { number, leader })
            }
            _ => None,
        }
    }

    fn handle_reply(&mut self, now: Duration, voter: u8, message: Message, effects: &mut Vec<Effect>) {
        if let Message::Predecessors { number, reply_to, predecessors } = message {
            return self.handle_predecessors(now, number, reply_to, &predecessors, effects);
        }
        if self.grant_holder.handle_reply(now, voter, message) {
            if let Some(grant) = self.grant_holder.grant(now) {
                let (amounts, until) = (grant.amounts.clone(), grant.until);
                self.usage.set_grants(now, &amounts, until);
                effects.push(Effect::HeadroomChanged);
                self.report_succession(now, voter, effects);
            }
        }
    }

    /// Reports to the leader what earlier processes still have in use, until that is nothing.
    fn report_succession(&mut self, now: Duration, voter: u8, effects: &mut Vec<Effect>) {
        if !self.succession.has_report() {
            return;
        }
        let remaining = self.succession.is_complete().then(|| self.usage.inherited_beyond_floors(now));
        let number = self.succession.next_request(remaining.as_ref());
        let session = self.grant_holder.session();
        self.send_request(now, voter, number, Message::TakeOver { session, remaining }, effects);
    }

    fn handle_predecessors(
        &mut self,
        now: Duration,
        number: u64,
        reply_to: Incarnation,
        predecessors: &[Incarnation],
        effects: &mut Vec<Effect>,
    ) {
        if reply_to != self.start.incarnation || !self.succession.is_latest(number) {
            self.ignored += 1;
            return;
        }
        self.succession.acknowledge();
        if self.succession.check_predecessors(predecessors) {
            // Everything in flight is counted, so the rest of the floors may be used.
            self.usage.allow_floors_after(now, Duration::ZERO);
            effects.push(Effect::HeadroomChanged);
            let voter = self.grant_holder.voter();
            self.report_succession(now, voter, effects);
        }
    }

    fn send_request(
        &mut self,
        now: Duration,
        voter: u8,
        number: u64,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if Some(voter) != self.start.voter {
            let from = Party::Member(self.start.member_id);
            let Start { incarnation, config, .. } = &self.start;
            let envelope = Envelope { fleet: config.fleet, from, incarnation: *incarnation, number, message };
            return effects.push(Effect::Send { to: Recipient::Voter(voter), envelope });
        }
        // The own voter is called directly.
        let (member_id, incarnation) = (self.start.member_id, self.start.incarnation);
        if let Some(reply) = self.handle_request(now, member_id, incarnation, number, message) {
            self.handle_reply(now, voter, reply, effects);
        }
    }

    fn envelope(&mut self, message: Message) -> Envelope {
        self.sent += 1;
        let from = match self.start.voter {
            Some(voter) => Party::Voter(voter),
            None => Party::Member(self.start.member_id),
        };
        let Start { incarnation, config, .. } = &self.start;
        Envelope { fleet: config.fleet, from, incarnation: *incarnation, number: self.sent, message }
    }

    fn send_all(&mut self, outbound: Vec<Outbound>, effects: &mut Vec<Effect>) {
        for Outbound { to, message } in outbound {
            let all = 0..self.start.config.voters;
            let to: Vec<u8> = all.filter(|voter| to.is_none_or(|to| to == *voter)).collect();
            for voter in to {
                if Some(voter) == self.start.voter {
                    continue;
                }
                let envelope = self.envelope(message.clone());
                effects.push(Effect::Send { to: Recipient::Voter(voter), envelope });
            }
        }
    }

    /// Free capacity of this gateway's parts of the budgets.
    pub fn headroom(&mut self, now: Duration) -> Headroom {
        self.usage.headroom(now)
    }

    /// When the free capacity changes without an event.
    pub fn headroom_due(&self, now: Duration) -> Option<Duration> {
        self.usage.due(now)
    }

    /// An execution starts with this demand.
    pub fn execution_started(&mut self, now: Duration, took: &Charges) {
        self.usage.record_charges(now, took);
    }

    /// Latest time to send what is decided now, even if the process is suspended in between: others count
    /// what it has in use for longer than that beyond the end of its grant.
    pub fn send_deadline(&self, now: Duration) -> Option<Duration> {
        (!self.start.budgets.is_empty()).then(|| now + self.start.config.max_send_delay())
    }

    /// Its number in the fleet.
    pub fn member_id(&self) -> u32 {
        self.start.member_id
    }

    /// This run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.start.incarnation
    }

    /// An execution has ended here. What may remain of it stays counted and can be settled by the returned
    /// handle.
    pub fn execution_ended(&mut self, now: Duration, took: Charges, remains: Remains) -> Option<OrphanId> {
        let retention = self.retention(remains);
        self.usage.end(now, took, retention)
    }

    /// More is known of what remains of an execution. Returns its new handle while it stays counted.
    pub fn settle(&mut self, now: Duration, name: OrphanId, remains: Remains) -> Option<OrphanId> {
        let retention = self.retention(remains);
        self.usage.settle(now, name, retention)
    }

    /// How long what remains of an execution stays counted.
    fn retention(&self, remains: Remains) -> Option<Duration> {
        match remains {
            Remains::Nothing => None,
            Remains::Orphaned => Some(self.start.config.max_orphan_time()),
            Remains::Unconfirmed => Some(self.start.config.max_unconfirmed_time()),
        }
    }

    /// How long to keep asking the engine about an execution without confirmation.
    pub fn max_unconfirmed_time(&self) -> Duration {
        self.start.config.max_unconfirmed_time()
    }

    /// Whether an execution that has ended here is still counted.
    pub fn lingers(&self, name: OrphanId) -> bool {
        self.usage.counts_orphan(name)
    }

    /// How many executions that have ended here are still counted.
    pub fn lingering(&self) -> usize {
        self.usage.orphans()
    }

    /// A statement was refused for want of a budget: requests a larger grant soon.
    pub fn statement_refused(&mut self, now: Duration, demand: &Demand) {
        if self.usage.record_refusal(now, demand) {
            self.grant_holder.request_soon(now);
        }
    }

    /// Leaves the fleet for good, so that what is not in use is free for others at once. May be called
    /// repeatedly.
    pub fn leave(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.usage.drop_grants(now);
        let holds = self.usage.held(now);
        if let Some((voter, number, message)) = self.grant_holder.depart(holds) {
            self.send_request(now, voter, number, message, &mut effects);
        }
        if !std::mem::replace(&mut self.has_left, true) {
            let outbound = self.voter.as_mut().map(Voter::resign).unwrap_or_default();
            self.leader = None;
            self.send_all(outbound, &mut effects);
        }
        effects
    }

    /// Floors, grants and use by budget.
    pub fn figures(&mut self, now: Duration) -> Vec<BudgetStatus> {
        self.usage.status(now)
    }

    /// The leader lease, while this gateway has it.
    pub fn leader_lease(&self, now: Duration) -> Option<LeaderLease> {
        self.voter.as_ref().and_then(|voter| voter.leader_lease(now))
    }

    /// Wraps a message of another component, sent as the voter if this gateway is one, or as the member on
    /// request.
    pub fn wrap_message(&mut self, message: Message, as_member: bool) -> Envelope {
        let member_id = Party::Member(self.start.member_id);
        let envelope = self.envelope(message);
        Envelope { from: if as_member { member_id } else { envelope.from }, ..envelope }
    }

    /// Whether this gateway is the leader now.
    pub fn is_leader(&self, now: Duration) -> bool {
        self.leader.is_some() && self.voter.as_ref().is_some_and(|voter| voter.leader_lease(now).is_some())
    }

    /// State for monitoring.
    pub fn status(&mut self, now: Duration) -> Status {
        let voter = self.voter.as_ref().zip(self.start.voter);
        let grant = self.grant_holder.grant(now);
        Status {
            member_id: self.start.member_id,
            incarnation: self.start.incarnation,
            requests_to: self.grant_holder.voter(),
            has_grant: grant.is_some(),
            members: grant.map(|grant| grant.members),
            grant_holder: self.grant_holder.counts,
            voter: voter.map(|(voter, own)| VoterStatus {
                voter: own,
                can_vote: voter.can_vote(),
                leader: if voter.leader_lease(now).is_some() { Some(own) } else { voter.known_leader() },
                proposals: voter.proposals,
            }),
            leader: self
                .leader
                .as_ref()
                .filter(|_| voter.is_some_and(|(voter, _)| voter.leader_lease(now).is_some()))
                .map(|leader| LeaderStatus {
                    is_recovering: leader.is_recovering(),
                    members: leader.members(),
                    totals: leader.totals(),
                    counts: leader.counts,
                }),
            budgets: self.usage.status(now),
            ignored: self.ignored,
        }
    }
}
