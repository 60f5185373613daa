//! The leader: issues grants and accounts for how much of each budget may be in use, by whom and until when.
//!
//! The accounting never shows less than what holders have: a grant grows when it is issued, and shrinks only
//! when its holder reports so or once it cannot be in use any more. Expiry of others' grants is measured by
//! the drift-bounded clock. The accounting is lost with its leader: the next one collects what members
//! report, raises no grant meanwhile, and waits until the grants of members that it doesn't hear from have
//! expired.

use crate::voter::Ballot;
use crate::wire::{GrantReply, GrantRequest, Message};
use crate::{FleetConfig, Incarnation, InjectedBug};
use bramblewharf_budgets::{allocate, ActiveClock, Budget, Credits, ShareRequest};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Most processes of one member id that wait to be admitted.
const MAX_PENDING: usize = 4;
/// Most earlier processes of one member id that are remembered, so that their delayed messages are ignored.
const MAX_PREDECESSORS: usize = 8;
/// Up to this many members, targets are computed anew for every request.
const SMALL_FLEET: usize = 64;

/// Status of a member, by its last message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    Active,
    /// Silent for half a lease or longer.
    Suspect,
    /// Its grant has expired, though executions under it may still run.
    Expired,
    /// It has announced its departure.
    Left,
}

/// A member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub member_id: u32,
    pub incarnation: Incarnation,
    pub status: MemberStatus,
    /// Time since its last message.
    pub silent_for: Duration,
    pub granted: Vec<u64>,
    pub needs: Vec<u64>,
}

/// The current process of a member id.
struct Entry {
    incarnation: Incarnation,
    session: u64,
    number: u64,
    /// When its last request arrived, by the drift-bounded clock.
    last_heard: Duration,
    left: bool,
    granted: Vec<u64>,
    needs: Vec<u64>,
}

/// What an earlier process may still have in use.
struct OrphanedGrant {
    member_id: u32,
    expires: Duration,
    granted: Vec<u64>,
}

/// State of one member id.
#[derive(Default)]
struct MemberSlot {
    entry: Option<Entry>,
    /// Processes that sent a request without a session, with the session offered to each.
    pending: Vec<(Incarnation, u64)>,
    predecessors: Vec<Incarnation>,
    /// Whether everything that its processes may have in use is accounted for.
    accounted_for: bool,
}

/// Counts of grants and of ignored or implausible requests since this leader was elected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub granted: u64,
    pub stale: u64,
    pub sessions: u64,
    pub table_mismatches: u64,
    /// Reports of holding more than was granted.
    pub over_reported: u64,
    pub malformed: u64,
}

/// The elected leader's accounting of grants.
pub struct Leader {
    term: Ballot,
    config: FleetConfig,
    budgets: Vec<Budget>,
    table_digest: u64,
    rng: WyRand,
    clock: ActiveClock,
    started: Duration,
    members: BTreeMap<u32, MemberSlot>,
    /// Grants of earlier processes, until they cannot be in use any more.
    orphans: Vec<OrphanedGrant>,
    /// By budget, the sum of the grants of current processes and orphans, kept up to date with each change.
    total_granted: Vec<u64>,
    /// When members were last swept for expired grants.
    last_sweep: Duration,
    /// Active members in order, as of the last computation of targets.
    ranks: Vec<u32>,
    /// By budget and active member: what rounding has withheld so far, and the target of the grant.
    credits: Vec<BTreeMap<u32, i64>>,
    targets: Vec<BTreeMap<u32, u64>>,
    /// When the targets were computed, and whether anything has changed since.
    targets_at: Duration,
    targets_stale: bool,
    /// When credits were last updated.
    credits_at: Duration,
    pub counts: Counts,
}

impl Leader {
    /// A leader elected at `now`, which knows of no grants yet.
    pub fn start(
        term: Ballot,
        config: FleetConfig,
        budgets: Vec<Budget>,
        table_digest: u64,
        seed: u64,
        now: Duration,
    ) -> Leader {
        let mut clock = ActiveClock::default();
        let _ = clock.advance(now, false);
        Leader {
            term,
            config,
            total_granted: vec![0; budgets.len()],
            last_sweep: Duration::ZERO,
            ranks: Vec::new(),
            credits: vec![BTreeMap::new(); budgets.len()],
            targets: vec![BTreeMap::new(); budgets.len()],
            targets_at: Duration::ZERO,
            targets_stale: true,
            credits_at: Duration::ZERO,
            budgets,
            table_digest,
            rng: WyRand::new_seed(seed),
            clock,
            started: Duration::ZERO,
            members: BTreeMap::new(),
            orphans: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// The ballot of its election.
    pub fn term(&self) -> Ballot {
        self.term
    }

    /// Whether grants of an earlier leader that this one doesn't know of may still be in use.
    pub fn is_recovering(&self) -> bool {
        if self.config.has_bug(InjectedBug::NoRecoveryPeriod) {
            return false;
        }
        let in_reclaim_period = self.clock.now() < self.started + self.config.reclaim_delay();
        let all_accounted_for = || {
            let all_seen = self.members.len() as u64 >= u64::from(self.config.max_members);
            all_seen && self.members.values().all(|slot| slot.accounted_for)
        };
        in_reclaim_period && !all_accounted_for()
    }

    /// Expires what has to end by now. Returns false if the clock went back: the accounting is no longer
    /// valid.
    pub fn tick(&mut self, now: Duration) -> bool {
        if self.clock.advance(now, self.config.has_bug(InjectedBug::CountsSuspendedTime)).is_err() {
            return false;
        }
        let now = self.clock.now();
        // Limits the work in a large fleet; expiring a grant a little late is harmless.
        if now < self.last_sweep + self.config.lease / 64 {
            return true;
        }
        self.last_sweep = now;
        let total_granted = &mut self.total_granted;
        self.orphans.retain(|orphan| {
            let is_valid = now < orphan.expires;
            if !is_valid {
                total_granted.iter_mut().zip(&orphan.granted).for_each(|(total, granted)| *total -= granted);
            }
            is_valid
        });
        let span = match self.config.has_bug(InjectedBug::ReassignsSuspectGrants) {
            true => self.config.lease / 2,
            false => self.config.reclaim_delay(),
        };
        for slot in self.members.values_mut() {
            // Its status is kept until another process takes the member id.
            if let Some(entry) = slot.entry.as_mut().filter(|entry| now >= entry.last_heard + span) {
                total_granted.iter_mut().zip(&entry.granted).for_each(|(total, granted)| *total -= granted);
                entry.granted.iter_mut().for_each(|granted| *granted = 0);
                entry.needs.iter_mut().for_each(|need| *need = 0);
                self.targets_stale = true;
            }
        }
        true
    }

    /// Handles a member's request, which may be delayed, repeated or of an earlier process. The caller has
    /// checked that the leader lease is valid.
    pub fn handle_request(
        &mut self,
        member_id: u32,
        from: Incarnation,
        number: u64,
        request: GrantRequest,
    ) -> Option<Message> {
        if member_id >= self.config.max_members
            || request.holds.len() != self.budgets.len()
            || request.needs.len() != self.budgets.len()
        {
            // A different table may also have a different number of budgets.
            if member_id < self.config.max_members && request.table_digest != self.table_digest {
                self.counts.table_mismatches += 1;
                return Some(Message::TableMismatch { number });
            }
            self.counts.malformed += 1;
            return None;
        }
        if request.table_digest != self.table_digest {
            self.counts.table_mismatches += 1;
            return Some(Message::TableMismatch { number });
        }
        let slot = self.members.entry(member_id).or_default();
        if slot.predecessors.contains(&from) {
            self.counts.stale += 1;
            return None;
        }
        match &mut slot.entry {
            Some(entry) if entry.incarnation == from && entry.session == request.session => {
                if number <= entry.number || entry.left {
                    self.counts.stale += 1;
                    return None;
                }
                entry.number = number;
            }
            _ => match slot
                .pending
                .iter()
                .position(|(pending, session)| *pending == from && *session == request.session)
            {
                Some(at) => {
                    slot.pending.remove(at);
                    self.admit(member_id, from, number, &request);
                }
                None => return Some(self.offer_session(member_id, from, number)),
            },
        }
        Some(self.grant(member_id, number, &request))
    }

    /// Offers a new session, which only a process that is running now can return.
    fn offer_session(&mut self, member_id: u32, from: Incarnation, number: u64) -> Message {
        self.counts.sessions += 1;
        let session = self.rng.generate::<u64>().max(1);
        let slot = self.members.entry(member_id).or_default();
        slot.pending.retain(|(pending, _)| *pending != from);
        if slot.pending.len() >= MAX_PENDING {
            slot.pending.remove(0);
        }
        slot.pending.push((from, session));
        Message::Session { number, session }
    }

    fn admit(&mut self, member_id: u32, from: Incarnation, number: u64, request: &GrantRequest) {
        let now = self.clock.now();
        let Some(slot) = self.members.get_mut(&member_id) else { return };
        if let Some(current) = slot.entry.as_mut().filter(|entry| entry.incarnation == from) {
            // Its grant stays the same, however often it is admitted.
            (current.session, current.number) = (request.session, number.max(current.number));
            return;
        }
        if let Some(previous) = slot.entry.take() {
            // A member id belongs to one process at a time, so the one before has ended. Its executions may
            // keep running, and those its engines have not read may still start. The new process reports when
            // that is over (`handle_take_over`).
            let expires = match self.config.has_bug(InjectedBug::FreesKilledProcessGrant) {
                true => now,
                false => previous.last_heard + self.config.reclaim_delay(),
            };
            self.orphans.push(OrphanedGrant { member_id, expires, granted: previous.granted });
            slot.predecessors.push(previous.incarnation);
            if slot.predecessors.len() > MAX_PREDECESSORS {
                slot.predecessors.remove(0);
            }
        }
        let uptime = Duration::from_millis(request.uptime_ms);
        slot.accounted_for |= uptime >= self.config.reclaim_delay();
        let mut entry = Entry {
            incarnation: from,
            session: request.session,
            number,
            last_heard: now,
            left: false,
            granted: vec![0; self.budgets.len()],
            needs: request.needs.clone(),
        };
        // What it holds of an earlier leader's grant is in use, whether this leader would have granted it or
        // not.
        if self.clock.now() < self.started + self.config.reclaim_delay() {
            let available = (0..self.budgets.len()).map(|at| self.available(at));
            entry.granted = request
                .holds
                .iter()
                .zip(available)
                .map(|(holds, available)| (*holds).min(available))
                .collect();
            self.total_granted.iter_mut().zip(&entry.granted).for_each(|(total, granted)| *total += granted);
        }
        self.targets_stale = true;
        if let Some(slot) = self.members.get_mut(&member_id) {
            slot.entry = Some(entry);
        }
    }

    /// Handles a process's report of how much of its predecessors' grants is still in use. The reply names
    /// them.
    pub fn handle_take_over(
        &mut self,
        member_id: u32,
        from: Incarnation,
        number: u64,
        session: u64,
        remaining: Option<Vec<u64>>,
    ) -> Option<Message> {
        let slot = self.members.get(&member_id)?;
        let entry = slot.entry.as_ref()?;
        if entry.incarnation != from || entry.session != session {
            self.counts.stale += 1;
            return None;
        }
        let predecessors = slot.predecessors.clone();
        if let Some(remaining) = remaining.filter(|remaining| remaining.len() == self.budgets.len()) {
            self.shrink_orphans(member_id, remaining);
        }
        Some(Message::Predecessors { number, reply_to: from, predecessors })
    }

    /// Reduces the orphaned grants of a member id to a total of `remaining`.
    fn shrink_orphans(&mut self, member_id: u32, mut remaining: Vec<u64>) {
        for orphan in self.orphans.iter_mut().filter(|orphan| orphan.member_id == member_id) {
            for (at, granted) in orphan.granted.iter_mut().enumerate() {
                let kept = (*granted).min(remaining[at]);
                remaining[at] -= kept;
                self.total_granted[at] -= *granted - kept;
                *granted = kept;
            }
        }
        self.orphans.retain(|orphan| orphan.granted.iter().any(|granted| *granted > 0));
        self.targets_stale = true;
    }

    /// What is not granted of a budget's pool.
    fn available(&self, at: usize) -> u64 {
        debug_assert_eq!(
            self.total_granted[at],
            self.totals()[at].0 + self.totals()[at].1,
            "the running sum must equal the sum of all grants"
        );
        self.budgets[at].pool(self.config.max_members).saturating_sub(self.total_granted[at])
    }

    /// Sets the member's grant from its target, and replies with it.
    fn grant(&mut self, member_id: u32, number: u64, request: &GrantRequest) -> Message {
        let (is_recovering, now) = (self.is_recovering(), self.clock.now());
        let wholes: Vec<u64> = self.budgets.iter().map(|budget| budget.whole).collect();
        let Some(entry) = self.members.get_mut(&member_id).and_then(|slot| slot.entry.as_mut()) else {
            return Message::TableMismatch { number };
        };
        entry.last_heard = now;
        for (at, whole) in wholes.iter().enumerate() {
            let need = request.needs[at].min(*whole);
            self.targets_stale |= entry.needs[at] != need;
            entry.needs[at] = need;
            self.counts.over_reported += u64::from(request.holds[at] > entry.granted[at]);
            // Its own report may lower what counts as granted, never raise it.
            let less = entry.granted[at].saturating_sub(request.holds[at]);
            entry.granted[at] -= less;
            self.total_granted[at] -= less;
        }
        self.update_targets(member_id);
        let amounts = (0..self.budgets.len()).map(|at| {
            let available = self.available(at);
            let Some(entry) = self.members.get_mut(&member_id).and_then(|slot| slot.entry.as_mut()) else {
                return 0;
            };
            let target = self.targets[at].get(&member_id).copied().unwrap_or(0);
            let amount =
                if is_recovering { entry.granted[at] } else { target.min(available + entry.granted[at]) };
            let more = amount.saturating_sub(entry.granted[at]);
            entry.granted[at] += more;
            self.total_granted[at] += more;
            amount
        });
        let amounts = amounts.collect();
        self.counts.granted += 1;
        let (members, rank) = self.rank(member_id);
        Message::GrantReply(GrantReply { number, amounts, members, rank })
    }

    /// Computes the target of each active member from all needs; in a large fleet not for every request anew.
    fn update_targets(&mut self, member_id: u32) {
        let now = self.clock.now();
        let has_target = self.targets.iter().all(|targets| targets.contains_key(&member_id));
        let computed_lately =
            self.members.len() > SMALL_FLEET && now < self.targets_at + self.config.lease / 64;
        // A remainder too small for all rotates by time, not by requests, and more slowly than its holder
        // renews.
        let rotates = now >= self.credits_at + self.config.lease / 2;
        if has_target && !rotates && (computed_lately || !self.targets_stale) {
            return;
        }
        if rotates {
            self.credits_at = now;
        }
        (self.targets_at, self.targets_stale) = (now, false);
        let config = &self.config;
        let entries =
            self.members.iter().filter_map(|(member_id, slot)| Some((*member_id, slot.entry.as_ref()?)));
        let active: Vec<(u32, &Entry)> =
            entries.filter(|(_, entry)| !entry.left && now < entry.last_heard + config.lease).collect();
        self.ranks = active.iter().map(|(member_id, _)| *member_id).collect();
        for (at, budget) in self.budgets.iter().enumerate() {
            let demands = active.iter().map(|(_, entry)| ShareRequest {
                need: entry.needs[at],
                importance: 1,
                held: entry.granted[at],
            });
            let demands: Vec<ShareRequest> = demands.collect();
            let credits = &self.credits[at];
            let mut owed: Credits =
                active.iter().map(|(member_id, _)| credits.get(member_id).copied().unwrap_or(0)).collect();
            let parts = allocate(budget.pool(config.max_members), budget.quantum, &demands, &mut owed);
            let members = || active.iter().map(|(member_id, _)| *member_id);
            if rotates {
                self.credits[at] = members().zip(owed).collect();
            }
            self.targets[at] = members().zip(parts).collect();
        }
    }

    /// A member leaves the fleet for good: what it does not use is free at once.
    pub fn handle_leaving(
        &mut self,
        member_id: u32,
        from: Incarnation,
        number: u64,
        session: u64,
        holds: &[u64],
    ) {
        let now = self.clock.now();
        let Some(slot) = self.members.get_mut(&member_id) else { return };
        let Some(entry) = slot.entry.as_mut() else { return };
        let is_stale = entry.incarnation != from || entry.session != session || number <= entry.number;
        if is_stale || holds.len() != self.budgets.len() {
            self.counts.stale += 1;
            return;
        }
        entry.number = number;
        entry.left = true;
        self.targets_stale = true;
        entry.needs.iter_mut().for_each(|need| *need = 0);
        let remaining: Vec<u64> =
            entry.granted.iter().zip(holds).map(|(granted, holds)| (*granted).min(*holds)).collect();
        let freed = entry.granted.iter().zip(&remaining).map(|(granted, remaining)| granted - remaining);
        self.total_granted.iter_mut().zip(freed).for_each(|(total, freed)| *total -= freed);
        entry.granted.iter_mut().for_each(|granted| *granted = 0);
        if remaining.iter().any(|remaining| *remaining > 0) {
            // Engines may not have read all of that yet, so it is held as long as the grant of a silent
            // member.
            let expires = now + self.config.reclaim_delay();
            self.orphans.push(OrphanedGrant { member_id, expires, granted: remaining });
        }
    }

    /// Number of active members and a member's rank among them, as of the last computation of targets.
    fn rank(&self, member_id: u32) -> (u32, u32) {
        (self.ranks.len() as u32, self.ranks.partition_point(|other| *other < member_id) as u32)
    }

    /// All members with their status.
    pub fn members(&self) -> Vec<Member> {
        let now = self.clock.now();
        let status = |entry: &Entry| match now.saturating_sub(entry.last_heard) {
            _ if entry.left => MemberStatus::Left,
            silent_for if silent_for < self.config.lease / 2 => MemberStatus::Active,
            silent_for if silent_for < self.config.with_clock_drift(self.config.lease) => {
                MemberStatus::Suspect
            }
            _ => MemberStatus::Expired,
        };
        let entries =
            self.members.iter().filter_map(|(member_id, slot)| Some((member_id, slot.entry.as_ref()?)));
        let members = entries.map(|(member_id, entry)| Member {
            member_id: *member_id,
            incarnation: entry.incarnation,
            status: status(entry),
            silent_for: now.saturating_sub(entry.last_heard),
            granted: entry.granted.clone(),
            needs: entry.needs.clone(),
        });
        members.collect()
    }

    /// By budget: the sum of members' grants, and what earlier processes may still have in use.
    pub fn totals(&self) -> Vec<(u64, u64)> {
        let sums = |at: usize| {
            let entries = self.members.values().filter_map(|slot| slot.entry.as_ref());
            let orphans = self.orphans.iter().map(|orphan| orphan.granted[at]).sum();
            (entries.map(|entry| entry.granted[at]).sum(), orphans)
        };
        (0..self.budgets.len()).map(sums).collect()
    }

    /// Member ids with something in use by earlier processes.
    pub fn orphans(&self) -> impl Iterator<Item = u32> + '_ {
        self.orphans.iter().map(|orphan| orphan.member_id)
    }
}
