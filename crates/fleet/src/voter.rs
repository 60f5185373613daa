//! The voters: a majority of them elects a leader for the duration of a lease.
//!
//! The agreement is on a lease, not on a log: a voter promises ballots and accepts one proposer for the
//! duration of a lease. The proposer counts its lease from before it proposed, a voter from after it accepted
//! and longer by the clock drift, so no two leases overlap. Nothing is stored on disk: a voter that starts
//! votes only once every lease that it may have accepted before has expired.

use crate::wire::Message;
use crate::{FleetConfig, Incarnation, InjectedBug};
use bramblewharf_budgets::ActiveClock;
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a proposal, ordered by round first and unique to the proposing process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub voter: u8,
    pub incarnation: Incarnation,
}

impl Ballot {
    fn same_proposer(&self, other: &Ballot) -> bool {
        (self.voter, self.incarnation) == (other.voter, other.incarnation)
    }
}

/// A message to one voter, or to all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound {
    pub to: Option<u8>,
    pub message: Message,
}

/// An attempt to get or renew the leader lease.
struct Proposal {
    ballot: Ballot,
    promised: Vec<u8>,
    /// Set once proposed: who accepted, and the end of the lease by our own clock.
    accepted: Option<(Vec<u8>, Duration)>,
    deadline: Duration,
}

/// The lease of the elected leader, which alone may issue grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// Ballot of the election; stays the same while the lease is renewed without a gap.
    pub term: Ballot,
    pub until: Duration,
}

/// One voter of the fleet.
pub struct Voter {
    id: u8,
    incarnation: Incarnation,
    config: FleetConfig,
    rng: WyRand,
    clock: ActiveClock,
    /// By the drift-bounded clock: before this it may have accepted a lease that it doesn't know of, and
    /// doesn't vote.
    votes_from: Duration,
    promised: Option<Ballot>,
    /// The ballot whose lease it accepted, and its end by the drift-bounded clock.
    accepted: Option<(Ballot, Duration)>,
    proposal: Option<Proposal>,
    leader_lease: Option<LeaderLease>,
    next_proposal: Duration,
    /// Set at shutdown: it proposes no more.
    resigned: bool,
    /// Proposals made since the start.
    pub proposals: u64,
}

impl Voter {
    /// A voter that starts at `now`.
    pub fn start(id: u8, incarnation: Incarnation, config: FleetConfig, seed: u64, now: Duration) -> Voter {
        let mut voter = Voter {
            id,
            incarnation,
            rng: WyRand::new_seed(seed),
            clock: ActiveClock::default(),
            votes_from: if config.has_bug(InjectedBug::VotesAtStart) {
                Duration::ZERO
            } else {
                config.with_clock_drift(config.lease)
            },
            config,
            promised: None,
            accepted: None,
            proposal: None,
            leader_lease: None,
            next_proposal: now,
            resigned: false,
            proposals: 0,
        };
        let _ = voter.clock.advance(now, false);
        voter
    }

    /// The leader lease, while this voter has it.
    pub fn leader_lease(&self, now: Duration) -> Option<LeaderLease> {
        self.leader_lease.filter(|leader_lease| now < leader_lease.until)
    }

    /// The voter whose leader lease this one has accepted.
    pub fn known_leader(&self) -> Option<u8> {
        self.accepted().map(|ballot| ballot.voter)
    }

    /// Whether every lease that it may have accepted before its start has expired.
    pub fn can_vote(&self) -> bool {
        self.clock.now() >= self.votes_from
    }

    fn accepted(&self) -> Option<Ballot> {
        self.accepted.filter(|(_, until)| self.clock.now() < *until).map(|(ballot, _)| ballot)
    }

    /// Advances time; to be called at least every sixteenth of a lease.
    pub fn tick(&mut self, now: Duration) -> Vec<Outbound> {
        let mut outbound = Vec::new();
        self.observe_clock(now);
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.deadline) {
            self.proposal = None;
            self.back_off(now);
        }
        if self.leader_lease.is_some_and(|leader_lease| now >= leader_lease.until) {
            self.leader_lease = None;
        }
        let third = self.config.lease / 3;
        let should_propose = match self.leader_lease {
            Some(leader_lease) => now + 2 * third >= leader_lease.until,
            None => self
                .accepted()
                .is_none_or(|ballot| ballot.voter == self.id && ballot.incarnation == self.incarnation),
        };
        if should_propose
            && !self.resigned
            && self.proposal.is_none()
            && now >= self.next_proposal
            && self.can_vote()
        {
            self.start_proposal(now, &mut outbound);
        }
        outbound
    }

    /// Gives up the lease and proposes no more.
    pub fn resign(&mut self) -> Vec<Outbound> {
        self.resigned = true;
        self.proposal = None;
        let Some(_) = self.leader_lease.take() else { return Vec::new() };
        let Some((ballot, _)) = self.accepted.take() else { return Vec::new() };
        vec![Outbound { to: None, message: Message::Release(ballot) }]
    }

    fn observe_clock(&mut self, now: Duration) {
        if self.clock.advance(now, self.config.has_bug(InjectedBug::CountsSuspendedTime)).is_err() {
            // The clock went back, so the end of its own lease is unknown. Leases that it accepted only last
            // longer.
            self.leader_lease = None;
            self.proposal = None;
            self.next_proposal = now;
        }
    }

    fn start_proposal(&mut self, now: Duration, outbound: &mut Vec<Outbound>) {
        let round = self.promised.map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, voter: self.id, incarnation: self.incarnation };
        let deadline = now + self.config.lease / 4;
        self.proposals += 1;
        self.proposal = Some(Proposal { ballot, promised: Vec::new(), accepted: None, deadline });
        outbound.push(Outbound { to: None, message: Message::Prepare(ballot) });
        let own_reply = self.handle_prepare(ballot);
        self.handle_reply(now, self.id, own_reply, outbound);
    }

    fn back_off(&mut self, now: Duration) {
        let part = 0.05 + 0.35 * f64::from(self.rng.generate::<f32>());
        self.next_proposal = now + self.config.lease.mul_f64(part);
    }

    /// Handles a message of another voter, whose identity the caller has verified. A delayed or repeated
    /// message is harmless, since a ballot belongs to one process and counts only replies to the current
    /// proposal.
    pub fn handle_message(&mut self, now: Duration, from: u8, message: Message) -> Vec<Outbound> {
        self.observe_clock(now);
        let mut outbound = Vec::new();
        let reply = match message {
            // Before it can vote it doesn't answer: neither for nor against.
            Message::Prepare(_) | Message::Propose(_) if !self.can_vote() => None,
            Message::Prepare(ballot) if ballot.voter == from => Some(self.handle_prepare(ballot)),
            Message::Propose(ballot) if ballot.voter == from => Some(self.handle_propose(ballot)),
            Message::Release(ballot) => {
                self.accepted.take_if(|(accepted, _)| accepted.same_proposer(&ballot));
                None
            }
            Message::Promise { .. } | Message::Accept(_) | Message::Reject { .. } => {
                self.handle_reply(now, from, message, &mut outbound);
                None
            }
            _ => None,
        };
        outbound.extend(reply.map(|message| Outbound { to: Some(from), message }));
        outbound
    }

    fn handle_prepare(&mut self, ballot: Ballot) -> Message {
        match self.promised.filter(|promised| *promised > ballot) {
            Some(promised) => Message::Reject { ballot, promised },
            None => {
                self.promised = Some(ballot);
                Message::Promise { ballot, accepted: self.accepted() }
            }
        }
    }

    fn handle_propose(&mut self, ballot: Ballot) -> Message {
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Message::Reject { ballot, promised };
        }
        self.promised = Some(ballot);
        self.accepted = Some((ballot, self.clock.now() + self.config.with_clock_drift(self.config.lease)));
        Message::Accept(ballot)
    }

    fn handle_reply(&mut self, now: Duration, from: u8, message: Message, outbound: &mut Vec<Outbound>) {
        let Some(proposal) = &mut self.proposal else { return };
        match message {
            Message::Promise { ballot, accepted }
                if ballot == proposal.ballot && proposal.accepted.is_none() =>
            {
                let free = accepted.is_none_or(|other| other.same_proposer(&ballot));
                if (free || self.config.has_bug(InjectedBug::TwoLeaders))
                    && !proposal.promised.contains(&from)
                {
                    proposal.promised.push(from);
                }
                if proposal.promised.len() < self.config.majority() {
                    return;
                }
                // Counted from before the proposal is sent; voters count from when they accept, which is
                // later.
                proposal.accepted = Some((Vec::new(), now + self.config.lease));
                outbound.push(Outbound { to: None, message: Message::Propose(ballot) });
                let own_reply = self.handle_propose(ballot);
                self.handle_reply(now, self.id, own_reply, outbound);
            }
            Message::Accept(ballot) if ballot == proposal.ballot => {
                let Some((acceptors, until)) = &mut proposal.accepted else { return };
                if !acceptors.contains(&from) {
                    acceptors.push(from);
                }
                let until = *until;
                if acceptors.len() >= self.config.majority() && now < until {
                    let term = self
                        .leader_lease
                        .filter(|leader_lease| now < leader_lease.until)
                        .map_or(ballot, |leader_lease| leader_lease.term);
                    self.leader_lease = Some(LeaderLease { term, until });
                    self.proposal = None;
                    self.next_proposal = now;
                }
            }
            Message::Reject { ballot, promised } if ballot == proposal.ballot => {
                // The next proposal goes above the promised round, unless no number of elections can have
                // reached that.
                let own_round = self.promised.map_or(0, |ballot| ballot.round);
                if promised.round > own_round && promised.round - own_round < 1 << 32 {
                    self.promised = Some(promised);
                }
                self.proposal = None;
                self.back_off(now);
            }
            _ => {}
        }
    }
}
