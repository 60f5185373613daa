//! The follower of each gateway: it enforces the revision that it holds a grant for, and a fallback while it
//! holds none.

use crate::message::{Grant, GrantRequest, PolicyMessage};
use crate::revision::Digest;
use crate::revision_cache::RevisionCache;
use crate::rules::{ExecutionRequest, Rules};
use crate::{Phase, Terms};
use bramblewharf_fleet::node::Recipient;
use std::sync::Arc;
use std::time::Duration;

/// Which rules a gateway enforces now.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    /// One revision, under a grant.
    Single(Arc<Rules>),
    /// Two revisions under a grant, during a change: what either forbids is forbidden.
    Both(Arc<Rules>, Arc<Rules>),
    /// Without a grant: the revision enforced last, or both where a change was under way.
    Alone(Arc<Rules>, Option<Arc<Rules>>),
    /// Just started and without any revision: permits nothing.
    Undecided,
}

impl Mode {
    /// The name shown to operators.
    pub fn name(&self) -> &'static str {
        match self {
            Mode::Single(_) => "by it",
            Mode::Both(..) => "by both",
            Mode::Alone(..) => "alone",
            Mode::Undecided => "undecided",
        }
    }
}

/// Which executions may be sent. The expiry is part of it, so that each check needs the current time.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    granted: Option<(Mode, Duration)>,
    /// Applies without a grant.
    fallback: Mode,
}

impl Permit {
    /// The mode in force.
    pub fn mode(&self, now: Duration) -> &Mode {
        match &self.granted {
            Some((mode, until)) if now < *until => mode,
            _ => &self.fallback,
        }
    }

    /// Whether the execution may be sent.
    pub fn permits(&self, now: Duration, execution: &ExecutionRequest) -> bool {
        match self.mode(now) {
            Mode::Single(rules) => rules.permits(execution),
            Mode::Both(current, next) => current.permits(execution) && next.permits(execution),
            Mode::Alone(rules, next) => {
                rules.permits_alone(execution)
                    && next.as_ref().is_none_or(|next| next.permits_alone(execution))
            }
            Mode::Undecided => false,
        }
    }
}

struct HeldGrant {
    phase: Phase,
    mode: Mode,
    until: Duration,
}

/// Counters of grant requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    pub granted: u64,
    pub unanswered: u64,
    pub late: u64,
    /// Grants for revisions that are not cached yet or that this build can't read.
    pub missing_revisions: u64,
}

/// Requests grants from the leader and decides which rules are in force on this gateway.
pub struct Follower {
    terms: Terms,
    number: u64,
    voter: u8,
    pending_request: Option<(u64, Duration)>,
    next_request: Duration,
    last_seen: Duration,
    grant: Option<HeldGrant>,
    /// Grants for an earlier phase than this are ignored.
    highest_phase: Option<Phase>,
    /// The revisions enforced now or last: one, or two during a change. Also the fallback while no voter
    /// answers.
    enforced: Vec<(Digest, Arc<Rules>)>,
    /// The fallback after a restart: what the stored file has.
    durable_fallback: Vec<Digest>,
    /// Until then it waits for a first grant instead of enforcing the fallback.
    startup_deadline: Duration,
    verdict: Option<(Digest, Option<String>)>,
    /// Revisions named by the last grant and its proposal.
    needed: Vec<Digest>,
    pub counts: Counts,
}

impl Follower {
    /// `fallback`: the revisions enforced last, from the stored file or the configuration; in force after
    /// `wait`.
    pub fn start(
        terms: Terms,
        fallback: Vec<(Digest, Arc<Rules>)>,
        wait: Duration,
        member_id: u32,
        incarnation: u64,
        now: Duration,
    ) -> Follower {
        Follower {
            voter: (member_id % u32::from(terms.fleet.voters.max(1))) as u8,
            terms,
            number: incarnation >> 16,
            pending_request: None,
            next_request: now,
            last_seen: now,
            grant: None,
            highest_phase: None,
            durable_fallback: fallback.iter().map(|(digest, _)| *digest).collect(),
            enforced: fallback,
            startup_deadline: now + wait,
            verdict: None,
            needed: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn observe_clock(&mut self, now: Duration) {
        if now < self.last_seen {
            // The clock went back, so the expiry of the grant is unknown.
            (self.grant, self.pending_request, self.next_request) = (None, None, now);
        }
        self.last_seen = now;
    }

    /// When `tick` is due.
    pub fn due(&self) -> Duration {
        self.pending_request.map_or(self.next_request, |(_, at)| at + self.terms.lease() / 8)
    }

    /// The phase of the current grant, if any.
    pub fn phase(&self, now: Duration) -> Option<Phase> {
        self.grant.as_ref().filter(|grant| now < grant.until).map(|grant| grant.phase)
    }

    /// Called once the stored file names these revisions.
    pub fn set_durable_fallback(&mut self, digests: Vec<Digest>) {
        self.durable_fallback = digests;
    }

    /// Revisions that must stay cached.
    pub fn needed_digests(&self) -> impl Iterator<Item = Digest> + '_ {
        self.needed.iter().copied()
    }

    /// The digests of the revisions enforced now or last.
    pub fn enforced(&self) -> Vec<Digest> {
        self.enforced.iter().map(|(digest, _)| *digest).collect()
    }

    /// What may be sent now.
    pub fn permit(&self, now: Duration) -> Permit {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until);
        let startup_over = now >= self.startup_deadline || self.highest_phase.is_some();
        let fallback = match &self.enforced[..] {
            [(_, rules), rest @ ..] if startup_over => {
                Mode::Alone(rules.clone(), rest.first().map(|(_, next)| next.clone()))
            }
            _ => Mode::Undecided,
        };
        Permit { granted: grant.map(|grant| (grant.mode.clone(), grant.until)), fallback }
    }

    /// When the current grant expires.
    pub fn until(&self, now: Duration) -> Option<Duration> {
        self.grant.as_ref().map(|grant| grant.until).filter(|until| now < *until)
    }

    /// When the permit changes without a message.
    pub fn permit_due(&self, now: Duration) -> Option<Duration> {
        let grant = self.grant.as_ref().map(|grant| grant.until);
        grant.into_iter().chain([self.startup_deadline]).filter(|at| *at > now).min()
    }

    /// The next grant request and the voter it goes to, if one is due.
    pub fn tick(&mut self, now: Duration) -> Option<(u8, PolicyMessage)> {
        self.observe_clock(now);
        if now < self.due() {
            return None;
        }
        if self.pending_request.take().is_some() {
            self.counts.unanswered += 1;
            self.voter = (self.voter + 1) % self.terms.fleet.voters.max(1);
        }
        self.number += 1;
        self.counts.requests += 1;
        self.pending_request = Some((self.number, now));
        let (phase, durable_fallback, verdict) =
            (self.phase(now), self.durable_fallback.clone(), self.verdict.clone());
        Some((
            self.voter,
            PolicyMessage::GrantRequest(GrantRequest {
                number: self.number,
                phase,
                durable_fallback,
                verdict,
            }),
        ))
    }

    /// Handles a voter's reply: true if the rules in force have changed.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        from: u8,
        message: PolicyMessage,
        revisions: &mut RevisionCache<Recipient>,
    ) -> bool {
        self.observe_clock(now);
        let number = match &message {
            PolicyMessage::Grant(grant) => grant.number,
            PolicyMessage::NotReady { number, .. } => *number,
            _ => return false,
        };
        let Some((_, at)) = self.pending_request.filter(|(number_sent, _)| *number_sent == number) else {
            self.counts.late += 1;
            return false;
        };
        self.pending_request = None;
        match message {
            PolicyMessage::NotReady { leader, .. } => {
                // Retries soon, at the leader named in the reply or else at the next voter.
                self.next_request = now + self.terms.lease() / 16;
                let other = (from + 1) % self.terms.fleet.voters.max(1);
                self.voter = leader.filter(|leader| *leader < self.terms.fleet.voters).unwrap_or(other);
                false
            }
            PolicyMessage::Grant(grant) => {
                self.voter = from;
                self.next_request = at + self.terms.lease() / 4;
                self.accept_grant(now, at, from, grant, revisions)
            }
            _ => false,
        }
    }

    fn accept_grant(
        &mut self,
        now: Duration,
        at: Duration,
        from: u8,
        grant: Grant,
        revisions: &mut RevisionCache<Recipient>,
    ) -> bool {
        self.needed = grant.check.into_iter().chain(grant.next).chain([grant.current]).collect();
        if let Some(check) =
            grant.check.filter(|check| revisions.ensure_cached(*check, Recipient::Voter(from)))
        {
            if self.verdict.as_ref().is_none_or(|(of, _)| *of != check) {
                let why = revisions.get(&check).and_then(|cached| cached.rules.as_ref().err().cloned());
                self.verdict = Some((check, why.map(|why| why.chars().take(120).collect())));
                self.next_request = now;
            }
        }
        let here = revisions.ensure_cached(grant.current, Recipient::Voter(from));
        let next_here = grant.next.is_none_or(|next| revisions.ensure_cached(next, Recipient::Voter(from)));
        let until = at + self.terms.lease();
        if !here
            || !next_here
            || now >= until
            || self.highest_phase.is_some_and(|highest_phase| grant.phase < highest_phase)
        {
            self.counts.missing_revisions += u64::from(!here || !next_here);
            // Retries soon: the missing revisions are being fetched.
            self.next_request = now + self.terms.lease() / 16;
            return false;
        }
        let mode = match (revisions.rules(&grant.current), grant.next.map(|next| revisions.rules(&next))) {
            (Some(rules), None) => Mode::Single(rules),
            (Some(rules), Some(Some(next))) => Mode::Both(rules, next),
            // This build can't read the revision in force: the fallback stays, and the counter shows it.
            _ => {
                self.counts.missing_revisions += 1;
                return false;
            }
        };
        let digests = [grant.current].into_iter().chain(grant.next);
        self.enforced = digests.filter_map(|digest| Some((digest, revisions.rules(&digest)?))).collect();
        self.counts.granted += 1;
        if self.highest_phase != Some(grant.phase) {
            // Reports the new phase at once, as the leader waits for it.
            self.next_request = now;
        }
        self.highest_phase = Some(grant.phase);
        self.grant = Some(HeldGrant { phase: grant.phase, mode, until });
        true
    }
}
