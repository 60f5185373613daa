//! The seats: a majority of them agrees, for a time, on the one that may give leave.
//!
//! This is an agreement on a lease, not on a log: a seat promises ballots and accepts one bidder for the length of a lease. A
//! bidder counts its right from before it asked for it, a seat from after it agreed, longer by how clocks may differ, so that at
//! no moment two have it. Nothing is on disk, so no disk can lie: a seat that starts votes only once whatever it may have agreed
//! to before is over.

use crate::wire::Message;
use crate::{Incarnation, Terms, Wrong};
use bramblewharf_budgets::ActiveClock;
use nanorand::{Rng, WyRand};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Ordered by round first; a process's own are never another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub seat: u8,
    pub incarnation: Incarnation,
}

impl Ballot {
    fn is_of_same(&self, other: &Ballot) -> bool {
        (self.seat, self.incarnation) == (other.seat, other.incarnation)
    }
}

/// To one seat, or to all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Say {
    pub to: Option<u8>,
    pub message: Message,
}

struct Bid {
    ballot: Ballot,
    promised: Vec<u8>,
    /// Set once proposed: who accepted, and the right's end by our own clock.
    accepted: Option<(Vec<u8>, Duration)>,
    gives_up: Duration,
}

/// The right to give leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// Of when it was first had; the same while it goes on without a gap.
    pub term: Ballot,
    pub until: Duration,
}

pub struct Seat {
    own: u8,
    incarnation: Incarnation,
    terms: Terms,
    rng: WyRand,
    clock: ActiveClock,
    /// By the patient clock: before this it knows too little to vote.
    votes_from: Duration,
    promised: Option<Ballot>,
    /// Whose right it agreed to, until when by the patient clock.
    accepted: Option<(Ballot, Duration)>,
    bid: Option<Bid>,
    right: Option<Right>,
    next_bid: Duration,
    /// A seat that shuts down bids no more.
    leaving: bool,
    pub bids: u64,
}

impl Seat {
    pub fn start(own: u8, incarnation: Incarnation, terms: Terms, seed: u64, now: Duration) -> Seat {
        let mut seat = Seat {
            own,
            incarnation,
            rng: WyRand::new_seed(seed),
            clock: ActiveClock::default(),
            votes_from: if terms.is_wrong(Wrong::VotesUnknowing) {
                Duration::ZERO
            } else {
                terms.longer(terms.lease)
            },
            terms,
            promised: None,
            accepted: None,
            bid: None,
            right: None,
            next_bid: now,
            leaving: false,
            bids: 0,
        };
        let _ = seat.clock.advance(now, false);
        seat
    }

    /// The right to give leave, while it is had.
    pub fn right(&self, now: Duration) -> Option<Right> {
        self.right.filter(|right| now < right.until)
    }

    /// Whose right this seat knows of.
    pub fn keeper(&self) -> Option<u8> {
        self.accepted().map(|ballot| ballot.seat)
    }

    /// Whether it knows enough to vote.
    pub fn votes(&self) -> bool {
        self.clock.now() >= self.votes_from
    }

    fn accepted(&self) -> Option<Ballot> {
        self.accepted.filter(|(_, until)| self.clock.now() < *until).map(|(ballot, _)| ballot)
    }

    /// To be called often: at the latest after a sixteenth of a lease.
    pub fn tick(&mut self, now: Duration) -> Vec<Say> {
        let mut say = Vec::new();
        self.look(now);
        if self.bid.as_ref().is_some_and(|bid| now >= bid.gives_up) {
            self.bid = None;
            self.wait_a_little(now);
        }
        if self.right.is_some_and(|right| now >= right.until) {
            self.right = None;
        }
        let third = self.terms.lease / 3;
        let wanted = match self.right {
            Some(right) => now + 2 * third >= right.until,
            None => {
                self.accepted().is_none_or(|by| by.seat == self.own && by.incarnation == self.incarnation)
            }
        };
        if wanted && !self.leaving && self.bid.is_none() && now >= self.next_bid && self.votes() {
            self.bid_now(now, &mut say);
        }
        say
    }

    /// Gives the right up, and bids no more.
    pub fn leave(&mut self) -> Vec<Say> {
        self.leaving = true;
        self.bid = None;
        let Some(_) = self.right.take() else { return Vec::new() };
        let Some((ballot, _)) = self.accepted.take() else { return Vec::new() };
        vec![Say { to: None, message: Message::Release(ballot) }]
    }

    fn look(&mut self, now: Duration) {
        if self.clock.advance(now, self.terms.is_wrong(Wrong::SleepCounts)).is_err() {
            // A clock that went back: when what it was given ends can't be told any more. What it gave only lasts longer.
            self.right = None;
            self.bid = None;
            self.next_bid = now;
        }
    }

    fn bid_now(&mut self, now: Duration, say: &mut Vec<Say>) {
        let round = self.promised.map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, seat: self.own, incarnation: self.incarnation };
        let gives_up = now + self.terms.lease / 4;
        self.bids += 1;
        self.bid = Some(Bid { ballot, promised: Vec::new(), accepted: None, gives_up });
        say.push(Say { to: None, message: Message::Prepare(ballot) });
        let own = self.prepared(ballot);
        self.heard_in_bid(now, self.own, own, say);
    }

    fn wait_a_little(&mut self, now: Duration) {
        let part = 0.05 + 0.35 * f64::from(self.rng.generate::<f32>());
        self.next_bid = now + self.terms.lease.mul_f64(part);
    }

    /// What another seat said. Whether it is that seat, and said it now, the caller has made sure of as far as it can; a
    /// message of before is harmless, since a ballot is one process's own and its answers are asked for.
    pub fn heard(&mut self, now: Duration, from: u8, message: Message) -> Vec<Say> {
        self.look(now);
        let mut say = Vec::new();
        let answer = match message {
            // One that knows too little says nothing: neither for nor against.
            Message::Prepare(_) | Message::Propose(_) if !self.votes() => None,
            Message::Prepare(ballot) if ballot.seat == from => Some(self.prepared(ballot)),
            Message::Propose(ballot) if ballot.seat == from => Some(self.proposed(ballot)),
            Message::Release(ballot) => {
                self.accepted.take_if(|(of, _)| of.is_of_same(&ballot));
                None
            }
            Message::Promise { .. } | Message::Accept(_) | Message::Refuse { .. } => {
                self.heard_in_bid(now, from, message, &mut say);
                None
            }
            _ => None,
        };
        say.extend(answer.map(|message| Say { to: Some(from), message }));
        say
    }

    fn prepared(&mut self, ballot: Ballot) -> Message {
        match self.promised.filter(|promised| *promised > ballot) {
            Some(promised) => Message::Refuse { ballot, promised },
            None => {
                self.promised = Some(ballot);
                Message::Promise { ballot, accepted: self.accepted() }
            }
        }
    }

    fn proposed(&mut self, ballot: Ballot) -> Message {
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Message::Refuse { ballot, promised };
        }
        self.promised = Some(ballot);
        self.accepted = Some((ballot, self.clock.now() + self.terms.longer(self.terms.lease)));
        Message::Accept(ballot)
    }

    fn heard_in_bid(&mut self, now: Duration, from: u8, message: Message, say: &mut Vec<Say>) {
        let Some(bid) = &mut self.bid else { return };
        match message {
            Message::Promise { ballot, accepted } if ballot == bid.ballot && bid.accepted.is_none() => {
                let free = accepted.is_none_or(|other| other.is_of_same(&ballot));
                if (free || self.terms.is_wrong(Wrong::TwoKeepers)) && !bid.promised.contains(&from) {
                    bid.promised.push(from);
                }
                if bid.promised.len() < self.terms.majority() {
                    return;
                }
                // From before it is asked for: whoever agrees counts from later.
                bid.accepted = Some((Vec::new(), now + self.terms.lease));
                say.push(Say { to: None, message: Message::Propose(ballot) });
                let own = self.proposed(ballot);
                self.heard_in_bid(now, self.own, own, say);
            }
            Message::Accept(ballot) if ballot == bid.ballot => {
                let Some((by, until)) = &mut bid.accepted else { return };
                if !by.contains(&from) {
                    by.push(from);
                }
                let until = *until;
                if by.len() >= self.terms.majority() && now < until {
                    let term =
                        self.right.filter(|right| now < right.until).map_or(ballot, |right| right.term);
                    self.right = Some(Right { term, until });
                    self.bid = None;
                    self.next_bid = now;
                }
            }
            Message::Refuse { ballot, promised } if ballot == bid.ballot => {
                // The next bid is above what it met; a round that nobody can have reached by bidding is no word.
                let own = self.promised.map_or(0, |ballot| ballot.round);
                if promised.round > own && promised.round - own < 1 << 32 {
                    self.promised = Some(promised);
                }
                self.bid = None;
                self.wait_a_little(now);
            }
            _ => {}
        }
    }
}
