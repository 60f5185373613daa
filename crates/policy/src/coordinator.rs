//! The leader's coordinator: it reads what is in force from the voters, gives grants for it, and takes a
//! proposal through its phases.
//!
//! Each step is written to a majority of the voters before any gateway enforces it, so that the next leader
//! finds it there and continues from it. A step is taken only once no grant for the phase before the one in
//! force can be valid: every member has reported a later phase, or its grant has expired by the drift-bounded
//! clock, with a margin for clock drift.

use crate::message::{CoordinatorStatus, Grant, GrantRequest, PolicyMessage};
use crate::register::{Entry, EntryPhase, Stamp};
use crate::revision::Digest;
use crate::revision_cache::RevisionCache;
use crate::{InjectedBug, Phase, Terms};
use bramblewharf_budgets::ActiveClock;
use bramblewharf_fleet::node::Recipient;
use bramblewharf_fleet::voter::Ballot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most revisions that isolated gateways may enforce: beyond this, a change waits until members are back.
const MAX_POSSIBLY_ACTIVE: usize = 24;
/// The most members named in a status or a reason.
const MAX_NAMED_MEMBERS: usize = 32;

/// A member's answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Accepts,
    Rejects(String),
}

#[derive(Default)]
struct Member {
    last_heard: Duration,
    /// The phase that it last reported in this term.
    reported_phase: Option<Phase>,
    /// What it may enforce while isolated, besides what is in force.
    durable_fallback: Vec<Digest>,
    /// Grants that may be valid: phase, and expiry by the drift-bounded clock.
    granted: BTreeMap<Phase, Duration>,
}

enum State {
    /// Reads what is in force from the voters.
    Reading { answers: BTreeMap<u8, (bool, Option<(Stamp, Entry)>)>, last_sent: Option<Duration> },
    /// Writes an entry to a majority; the previous one stays in force meanwhile.
    Writing { entry: Entry, stamp: Stamp, written: BTreeSet<u8>, last_sent: Option<Duration>, serving: bool },
    /// Gives grants for the entry in force.
    Serving,
    /// A member reported a later phase than the voters know of: a majority has lost state, so no grants are
    /// given.
    Halted,
}

struct Proposal {
    digest: Digest,
    /// Until when it waits for missing members, by the drift-bounded clock.
    deadline: Duration,
    verdicts: BTreeMap<u32, Verdict>,
}

/// The coordinator of one leadership term.
pub struct Coordinator {
    /// The term of the leadership, and that of its register writes. The election forgets its rounds when all
    /// voters restart, but registers are durable, so that writes may need a later term than the leadership's.
    leadership_term: Ballot,
    term: Ballot,
    own_voter: u8,
    terms: Terms,
    clock: ActiveClock,
    began: Duration,
    entry: Entry,
    number: u64,
    state: State,
    members: BTreeMap<u32, Member>,
    proposal: Option<Proposal>,
    /// Until when a change that has begun waits for members lost during it, before it is rolled back.
    change_deadline: Duration,
    last_outcome: Option<(Digest, Option<String>)>,
}

impl Coordinator {
    /// Starts by reading what is in force from the voters.
    pub fn start(term: Ballot, own_voter: u8, terms: Terms, now: Duration) -> Coordinator {
        let mut clock = ActiveClock::default();
        let _ = clock.advance(now, false);
        let change_deadline = terms.max_grant_lifetime() * 4;
        Coordinator {
            leadership_term: term,
            term,
            own_voter,
            terms,
            clock,
            began: Duration::ZERO,
            entry: Entry::default(),
            number: 0,
            state: State::Reading { answers: BTreeMap::new(), last_sent: None },
            members: BTreeMap::new(),
            proposal: None,
            change_deadline,
            last_outcome: None,
        }
    }

    /// The term of the leadership that it was started for.
    pub fn leadership_term(&self) -> Ballot {
        self.leadership_term
    }

    /// Whether it gives grants.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, State::Serving | State::Writing { serving: true, .. })
    }

    /// Revisions that must stay cached.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        let entry_being_written = match &self.state {
            State::Writing { entry, .. } => Some(entry),
            _ => None,
        };
        let entries_read = match &self.state {
            State::Reading { answers, .. } => {
                Some(answers.values().flat_map(|(_, stored)| stored).flat_map(|(_, entry)| entry.digests()))
            }
            _ => None,
        };
        let proposal = self.proposal.iter().map(|proposal| proposal.digest);
        self.entry
            .digests()
            .chain(entry_being_written.into_iter().flat_map(Entry::digests))
            .chain(proposal)
            .chain(entries_read.into_iter().flatten())
    }

    /// The messages due to voters. None if the clock went back: the coordinator must then be dropped.
    pub fn tick(
        &mut self,
        now: Duration,
        revisions: &mut RevisionCache<Recipient>,
        first: Digest,
    ) -> Option<Vec<(u8, PolicyMessage)>> {
        self.clock.advance(now, false).ok()?;
        let now = self.clock.now();
        let mut messages = Vec::new();
        self.write_latest_entry(revisions, first);
        self.advance_proposal(revisions);
        self.advance_phase(revisions);
        let retry_interval = self.terms.lease() / 16;
        let due = |last_sent: &mut Option<Duration>| {
            let due = last_sent.is_none_or(|at| now >= at + retry_interval);
            if due {
                *last_sent = Some(now);
            }
            due
        };
        let voters = 0..self.terms.fleet.voters;
        match &mut self.state {
            State::Reading { answers, last_sent } => {
                if due(last_sent) {
                    let remaining = voters.filter(|voter| !answers.contains_key(voter));
                    messages.extend(remaining.map(|voter| (voter, PolicyMessage::Read(self.term))));
                }
            }
            State::Writing { entry, stamp, written, last_sent, .. } => {
                if due(last_sent) {
                    let remaining = voters.filter(|voter| !written.contains(voter));
                    messages
                        .extend(remaining.map(|voter| (voter, PolicyMessage::Write(*stamp, entry.clone()))));
                }
            }
            State::Serving | State::Halted => {}
        }
        Some(messages)
    }

    /// Handles a voter's reply.
    pub fn handle_reply(&mut self, from: u8, message: PolicyMessage) {
        match (message, &mut self.state) {
            (PolicyMessage::StaleTerm { later }, _) if later > self.term => {
                self.term.round = later.round.saturating_add(1);
                self.number = 0;
                self.state = State::Reading { answers: BTreeMap::new(), last_sent: None };
            }
            (PolicyMessage::ReadReply { term, state_intact, stored }, State::Reading { answers, .. })
                if term == self.term =>
            {
                answers.insert(from, (state_intact, stored));
            }
            (PolicyMessage::Written(stamp), State::Writing { entry, stamp: own_stamp, written, .. })
                if stamp == *own_stamp =>
            {
                written.insert(from);
                if written.len() >= self.terms.fleet.majority() {
                    self.entry = std::mem::take(entry);
                    self.state = State::Serving;
                }
            }
            _ => {}
        }
    }

    /// Once enough voters have replied, writes the latest entry again under this term.
    fn write_latest_entry(&mut self, revisions: &mut RevisionCache<Recipient>, first: Digest) {
        let State::Reading { answers, .. } = &self.state else { return };
        let sufficient = match self.terms.has_bug(InjectedBug::ReadsOwnVoterOnly) {
            true => answers.contains_key(&self.own_voter),
            false => {
                let intact = answers.values().filter(|(state_intact, _)| *state_intact).count();
                let all_empty = answers.values().all(|(_, stored)| stored.is_none());
                // The first start of a fleet: all voters have replied and none has an entry.
                let fresh = all_empty && answers.len() == usize::from(self.terms.fleet.voters);
                intact >= self.terms.fleet.majority() || fresh
            }
        };
        if !sufficient {
            return;
        }
        let latest = answers.iter().filter_map(|(voter, (_, stored))| Some((*voter, stored.as_ref()?)));
        let latest =
            latest.max_by_key(|(_, (stamp, _))| *stamp).map(|(voter, (_, entry))| (voter, entry.clone()));
        let (from, entry) = match latest {
            Some((voter, entry)) => (Recipient::Voter(voter), entry),
            None => (Recipient::Voter(self.own_voter), Entry { current: first, ..Entry::default() }),
        };
        let missing: Vec<Digest> =
            entry.digests().filter(|digest| !revisions.ensure_cached(*digest, from)).collect();
        if missing.is_empty() {
            self.write(entry, false);
        }
    }

    fn write(&mut self, entry: Entry, serving: bool) {
        let stamp = Stamp { term: self.term, number: self.number };
        self.number += 1;
        self.state = State::Writing { entry, stamp, written: BTreeSet::new(), last_sent: None, serving };
    }

    /// Handles a member's request for a grant.
    pub fn handle_grant_request(&mut self, member_id: u32, request: &GrantRequest) -> Option<PolicyMessage> {
        if member_id >= self.terms.fleet.max_members {
            return None;
        }
        if !self.is_serving() {
            return Some(PolicyMessage::NotReady { number: request.number, leader: Some(self.own_voter) });
        }
        let phase = self.entry.phase.0;
        // A later phase than the one in force or being written shows that the voters have lost state.
        let writing = match &self.state {
            State::Writing { entry, .. } => entry.phase.0,
            _ => phase,
        };
        if request.phase.is_some_and(|phase| phase > writing) {
            self.state = State::Halted;
            return Some(PolicyMessage::NotReady { number: request.number, leader: Some(self.own_voter) });
        }
        let now = self.clock.now();
        let until = now + self.terms.max_grant_lifetime();
        let member = self.members.entry(member_id).or_default();
        member.last_heard = now;
        member.reported_phase = request.phase;
        member.durable_fallback = request.durable_fallback.clone();
        if let Some(reported_phase) = request.phase {
            member.granted.retain(|phase, _| *phase >= reported_phase);
        }
        member.granted.insert(phase, until);
        let check = self.proposal.as_ref().map(|proposal| proposal.digest);
        if let (Some(proposal), Some((digest, why))) = (&mut self.proposal, &request.verdict) {
            if proposal.digest == *digest {
                let verdict = why.clone().map_or(Verdict::Accepts, Verdict::Rejects);
                proposal.verdicts.insert(member_id, verdict);
            }
        }
        let Entry { current, next, .. } = self.entry;
        Some(PolicyMessage::Grant(Grant { number: request.number, phase, current, next, check }))
    }

    /// Whether a grant for an earlier phase may still be valid.
    fn grant_may_be_valid_before(&self, phase: Phase) -> bool {
        if self.terms.has_bug(InjectedBug::GrantsTooEarly) {
            return false;
        }
        let now = self.clock.now();
        // Grants of earlier leaders: a member's are known once it has reported its phase.
        let unknown = now < self.began + self.terms.max_grant_lifetime() && {
            let reported = self
                .members
                .values()
                .filter(|member| member.reported_phase.is_some_and(|reported_phase| reported_phase >= phase));
            (reported.count() as u64) < u64::from(self.terms.fleet.max_members)
        };
        let may_hold_earlier =
            |member: &Member| member.granted.iter().any(|(of, until)| *of < phase && now < *until);
        unknown || self.members.values().any(may_hold_earlier)
    }

    /// Accepts a proposal for consideration, or records at once why it can't be made.
    pub fn offer(&mut self, digest: Digest, wait: Duration) {
        let written = match &self.state {
            State::Writing { entry, .. } => Some(entry),
            _ => None,
        };
        let known = [&self.entry]
            .into_iter()
            .chain(written)
            .any(|entry| entry.current == digest || entry.next == Some(digest));
        // A retry of a proposal that is under way changes nothing.
        if known || self.proposal.as_ref().is_some_and(|current| current.digest == digest) {
            return;
        }
        let changing = self.entry.phase.0.is_transition();
        let is_busy = self.proposal.is_some() || changing || !matches!(self.state, State::Serving);
        if is_busy {
            self.last_outcome = Some((digest, Some("another change is under way".into())));
            return;
        }
        let deadline = self.clock.now() + wait;
        self.proposal = Some(Proposal { digest, deadline, verdicts: BTreeMap::new() });
    }

    /// Withdraws the proposal that is under way, if it is this one.
    pub fn withdraw(&mut self, digest: Digest) {
        if self.proposal.as_ref().is_some_and(|proposal| proposal.digest == digest) {
            self.end_proposal(Some("withdrawn by whoever proposed it".into()));
        }
    }

    fn end_proposal(&mut self, why: Option<String>) {
        if let Some(proposal) = self.proposal.take() {
            self.last_outcome = Some((proposal.digest, why));
        }
    }

    /// Members that a proposal waits for: connected ones without a verdict and, if `wait_for_missing`, those
    /// not connected.
    fn awaited_members(&self, proposal: &Proposal, wait_for_missing: bool) -> Vec<u32> {
        let now = self.clock.now();
        let is_awaited = |member_id: &u32| {
            if proposal.verdicts.contains_key(member_id) {
                return false;
            }
            match self.members.get(member_id).filter(|known| now < known.last_heard + self.terms.lease()) {
                Some(_) => !self.terms.has_bug(InjectedBug::SilenceCountsAsAcceptance),
                None => wait_for_missing,
            }
        };
        (0..self.terms.fleet.max_members).filter(is_awaited).take(MAX_NAMED_MEMBERS).collect()
    }

    /// Revisions that an isolated gateway may enforce: those reported by members and those in the register.
    fn possibly_active(&self) -> Vec<Digest> {
        let mut possibly_active = self.entry.possibly_active.clone();
        possibly_active.push(self.entry.current);
        possibly_active.extend(self.members.values().flat_map(|member| &member.durable_fallback));
        possibly_active.sort_unstable();
        possibly_active.dedup();
        possibly_active
    }

    /// Begins a proposal once all conditions hold, or withdraws it.
    fn advance_proposal(&mut self, revisions: &mut RevisionCache<Recipient>) {
        let Some(proposal) = self.proposal.as_ref().filter(|_| matches!(self.state, State::Serving)) else {
            return;
        };
        let (now, digest) = (self.clock.now(), proposal.digest);
        let expired = now >= proposal.deadline;
        let Some(cached) = revisions.get(&digest) else {
            if expired {
                self.end_proposal(Some("its text did not come".into()));
            }
            return;
        };
        let refusal = proposal.verdicts.iter().find_map(|(member_id, verdict)| match verdict {
            Verdict::Rejects(why) => Some(format!("place {member_id}: {why}")),
            Verdict::Accepts => None,
        });
        let own_reason = match &cached.rules {
            Err(why) => Some(why.clone()),
            Ok(_)
                if revisions
                    .get(&self.entry.current)
                    .is_none_or(|current| cached.revision.number != current.revision.number + 1) =>
            {
                Some("is not the next number".into())
            }
            Ok(_) if cached.revision.parent != self.entry.current => {
                Some("does not follow what is in force".into())
            }
            Ok(_) => None,
        };
        if let Some(why) = own_reason.or(refusal) {
            return self.end_proposal(Some(why));
        }
        let possibly_active = self.possibly_active();
        let forbidden =
            possibly_active.iter().try_for_each(|earlier| self.covers(revisions, &digest, earlier));
        let awaited = self.awaited_members(proposal, forbidden.is_err());
        // No grant for an earlier phase is valid, and all connected members have had time to report to this
        // leader.
        let settled =
            now >= self.began + self.terms.lease() && !self.grant_may_be_valid_before(self.entry.phase.0);
        if awaited.is_empty() && settled && possibly_active.len() <= MAX_POSSIBLY_ACTIVE {
            let transition = self.entry.phase.0.next();
            let mut entry = Entry { next: Some(digest), phase: EntryPhase(transition), ..self.entry.clone() };
            if self.terms.has_bug(InjectedBug::SkipsTransition) {
                entry = Entry {
                    phase: EntryPhase(transition.next()),
                    current: digest,
                    next: None,
                    possibly_active,
                };
            }
            self.change_deadline = now + self.terms.max_grant_lifetime() * 4;
            self.end_proposal(None);
            return self.write(entry, true);
        }
        if expired {
            let why = match forbidden {
                Err(why) => format!("places {awaited:?} were not heard: {why}"),
                Ok(()) if possibly_active.len() > MAX_POSSIBLY_ACTIVE => {
                    "too many changes while places are away".into()
                }
                Ok(()) => format!("places {awaited:?} said nothing of it"),
            };
            self.end_proposal(Some(why));
        }
    }

    /// Checks that a revision permits all that an isolated gateway may do under an earlier one.
    fn covers(
        &self,
        revisions: &RevisionCache<Recipient>,
        later: &Digest,
        earlier: &Digest,
    ) -> Result<(), String> {
        if self.terms.has_bug(InjectedBug::IgnoresIsolatedGateways) {
            return Ok(());
        }
        match (revisions.rules(later), revisions.rules(earlier)) {
            (Some(later), Some(earlier)) => later.covers_alone(&earlier),
            _ => Err("an earlier revision's text is missing".into()),
        }
    }

    /// Members that may still do in isolation what the next revision forbids: they don't know of it or have
    /// not stored it.
    fn members_behind(&self, revisions: &RevisionCache<Recipient>, next: Digest) -> Vec<u32> {
        let possibly_active = self.entry.possibly_active.iter().chain([&self.entry.current]);
        let all_covered = possibly_active
            .map(|earlier| self.covers(revisions, &next, earlier))
            .all(|covers| covers.is_ok());
        let is_behind = |member_id: &u32| match self.members.get(member_id) {
            // One that enforces two revisions does nothing that either of them forbids.
            Some(known) if !known.durable_fallback.is_empty() => {
                !known.durable_fallback.iter().any(|earlier| self.covers(revisions, &next, earlier).is_ok())
            }
            _ => !all_covered,
        };
        (0..self.terms.fleet.max_members).filter(is_behind).take(MAX_NAMED_MEMBERS).collect()
    }

    /// Goes from both revisions to the later one, once no member can enforce the earlier one alone.
    fn advance_phase(&mut self, revisions: &RevisionCache<Recipient>) {
        if !matches!(self.state, State::Serving) {
            return;
        }
        let phase = self.entry.phase.0;
        if let Some(next) =
            self.entry.next.filter(|_| phase.is_transition() && !self.grant_may_be_valid_before(phase))
        {
            let behind = self.members_behind(revisions, next);
            if !behind.is_empty() {
                // Rolls back to the earlier revision: no member has enforced the later one alone yet.
                if self.clock.now() >= self.change_deadline {
                    let why = format!("places {behind:?} were lost while it was made");
                    self.last_outcome = Some((next, Some(why)));
                    let possibly_active = self.entry.possibly_active.clone();
                    let entry = Entry {
                        phase: EntryPhase(phase.next()),
                        current: self.entry.current,
                        next: None,
                        possibly_active,
                    };
                    self.write(entry, true);
                }
                return;
            }
            let mut possibly_active = self.possibly_active();
            possibly_active.retain(|digest| *digest != next && revisions.get(digest).is_some());
            let entry = Entry { phase: EntryPhase(phase.next()), current: next, next: None, possibly_active };
            return self.write(entry, true);
        }
        // All members have stored and enforce the current revision: no earlier one is enforced anywhere.
        let all_known = self.members.len() as u64 == u64::from(self.terms.fleet.max_members);
        let up_to_date = |member: &Member| {
            member.reported_phase == Some(phase) && member.durable_fallback == [self.entry.current]
        };
        if !phase.is_transition()
            && !self.entry.possibly_active.is_empty()
            && all_known
            && self.members.values().all(up_to_date)
        {
            let entry = Entry { possibly_active: Vec::new(), ..self.entry.clone() };
            self.write(entry, true);
        }
    }

    /// The policy in force and the proposal under way.
    pub fn status(&self, revisions: &RevisionCache<Recipient>) -> CoordinatorStatus {
        let proposal = self.proposal.as_ref();
        CoordinatorStatus {
            leader: Some(self.own_voter),
            phase: self.entry.phase.0,
            number: revisions.get(&self.entry.current).map_or(0, |cached| cached.revision.number),
            current: self.entry.current,
            next: self.entry.next,
            proposal: proposal.map(|proposal| proposal.digest),
            awaited_members: proposal
                .map(|proposal| self.awaited_members(proposal, true))
                .unwrap_or_default(),
            last_outcome: self.last_outcome.clone(),
        }
    }

    /// Whether it gives no more grants because the voters have lost state.
    pub fn is_halted(&self) -> bool {
        matches!(self.state, State::Halted)
    }
}
