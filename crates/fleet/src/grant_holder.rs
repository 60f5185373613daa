//! Client side of grants: requests a gateway's grant from the leader, renews it in time and counts it from
//! the request.

use crate::wire::{GrantReply, GrantRequest, Message};
use crate::{FleetConfig, InjectedBug};
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// A member's part of the budgets, and when it expires by the member's own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    pub amounts: Vec<u64>,
    pub until: Duration,
    pub members: u32,
    pub rank: u32,
}

/// Counts of requests and replies since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    pub granted: u64,
    pub timeouts: u64,
    /// Replies to requests other than the latest.
    pub late_replies: u64,
    pub table_mismatches: u64,
}

/// The request that waits for a reply.
struct PendingRequest {
    number: u64,
    sent_at: Duration,
    voter: u8,
}

/// Requests the grant of one member.
pub struct GrantHolder {
    config: FleetConfig,
    table_digest: u64,
    rng: WyRand,
    started: Duration,
    /// When the clock was last read, and when the last request was sent.
    last_observed: Duration,
    last_request: Duration,
    number: u64,
    session: u64,
    voter: u8,
    pending: Option<PendingRequest>,
    /// When to send the next request; earlier if more is needed.
    next_request: Duration,
    /// Consecutive requests without a reply.
    timeouts_in_a_row: u32,
    grant: Option<Grant>,
    departed: bool,
    pub counts: Counts,
}

impl GrantHolder {
    /// A holder without a grant, which sends its first request at once.
    pub fn start(config: FleetConfig, table_digest: u64, seed: u64, now: Duration) -> GrantHolder {
        let mut rng = WyRand::new_seed(seed);
        let voter = rng.generate_range(0..config.voters.max(1));
        GrantHolder {
            config,
            table_digest,
            rng,
            started: now,
            last_observed: now,
            last_request: now,
            number: 0,
            session: 0,
            voter,
            pending: None,
            next_request: now,
            timeouts_in_a_row: 0,
            grant: None,
            departed: false,
            counts: Counts::default(),
        }
    }

    /// The grant, unless it has expired.
    pub fn grant(&self, now: Duration) -> Option<&Grant> {
        self.grant.as_ref().filter(|grant| now < grant.until)
    }

    /// When `tick` has something to do next.
    pub fn due(&self) -> Duration {
        match (&self.pending, self.departed) {
            (_, true) => Duration::MAX,
            (Some(pending), _) => pending.sent_at + self.reply_timeout(),
            (None, _) => self.next_request,
        }
    }

    /// Timeout of a request: doubles with each timeout, up to one lease, after which a reply is worthless.
    fn reply_timeout(&self) -> Duration {
        (self.config.lease / 8 * 2u32.saturating_pow(self.timeouts_in_a_row.min(3))).min(self.config.lease)
    }

    /// Brings the next request forward because more is needed, to at most sixteen requests per lease.
    pub fn request_soon(&mut self, now: Duration) {
        let soon = self.last_request + self.config.lease / 16;
        self.next_request = self.next_request.min(soon.max(now));
    }

    /// Reads the clock. Returns whether the grant was dropped because the clock went back.
    pub fn observe_clock(&mut self, now: Duration) -> bool {
        let went_back = now < self.last_observed;
        self.last_observed = now;
        if went_back {
            // The end of the grant is unknown now.
            (self.grant, self.pending, self.last_request, self.next_request) = (None, None, now, now);
        }
        went_back
    }

    /// The next request, with its voter and number, if one is due. `figures` returns what is held and needed
    /// now.
    pub fn tick(
        &mut self,
        now: Duration,
        figures: impl FnOnce() -> (Vec<u64>, Vec<u64>),
    ) -> Option<(u8, u64, Message)> {
        self.observe_clock(now);
        if self.departed || now < self.due() {
            return None;
        }
        if let Some(pending) = self.pending.take() {
            self.counts.timeouts += 1;
            self.timeouts_in_a_row += 1;
            self.voter = (pending.voter + 1) % self.config.voters.max(1);
            if self.timeouts_in_a_row >= u32::from(self.config.voters) {
                // No voter replies. Jitter keeps gateways from retrying in step.
                let part = f64::from(self.rng.generate::<f32>());
                self.next_request = now + (self.config.lease / 8).mul_f64(part);
                if self.timeouts_in_a_row.is_multiple_of(u32::from(self.config.voters.max(1))) {
                    return None;
                }
            }
        }
        let (holds, needs) = figures();
        self.number += 1;
        self.counts.requests += 1;
        self.last_request = now;
        self.pending = Some(PendingRequest { number: self.number, sent_at: now, voter: self.voter });
        let uptime_ms = now.saturating_sub(self.started).as_millis() as u64;
        let request =
            GrantRequest { session: self.session, table_digest: self.table_digest, uptime_ms, holds, needs };
        Some((self.voter, self.number, Message::GrantRequest(request)))
    }

    /// Handles a voter's reply and returns whether the grant changed. Replies to earlier requests are
    /// ignored, since a later request has reported other holdings.
    pub fn handle_reply(&mut self, now: Duration, from: u8, message: Message) -> bool {
        self.observe_clock(now);
        let number = match &message {
            Message::GrantReply(reply) => reply.number,
            Message::NotLeader { number, .. }
            | Message::Session { number, .. }
            | Message::TableMismatch { number } => *number,
            _ => return false,
        };
        let accepts_any = self.config.has_bug(InjectedBug::AcceptsStaleReplies)
            && matches!(message, Message::GrantReply(_));
        let pending = self.pending.take_if(|pending| pending.number == number && pending.voter == from);
        let Some(pending) =
            pending.or_else(|| accepts_any.then_some(PendingRequest { number, sent_at: now, voter: from }))
        else {
            self.counts.late_replies += 1;
            return false;
        };
        let soon = now + Duration::from_millis(1);
        match message {
            Message::GrantReply(GrantReply { amounts, members, rank, .. }) => {
                self.counts.granted += 1;
                self.timeouts_in_a_row = 0;
                let from = if self.config.has_bug(InjectedBug::CountsGrantFromReply) {
                    now
                } else {
                    pending.sent_at
                };
                self.grant = Some(Grant { amounts, until: from + self.config.lease, members, rank });
                // Jitter, so that gateways started together don't send their requests together.
                let part = 0.8 + 0.2 * f64::from(self.rng.generate::<f32>());
                self.next_request = pending.sent_at + (self.config.lease / 4).mul_f64(part);
                return now < from + self.config.lease;
            }
            Message::Session { session, .. } => (self.session, self.next_request) = (session, soon),
            Message::NotLeader { leader: Some(leader), .. }
                if leader != from && leader < self.config.voters =>
            {
                (self.voter, self.next_request) =
                    (leader, soon.max(pending.sent_at + self.config.lease / 64));
            }
            Message::NotLeader { .. } => {
                self.voter = (from + 1) % self.config.voters.max(1);
                self.next_request = now + self.config.lease / 16;
            }
            Message::TableMismatch { .. } => {
                self.counts.table_mismatches += 1;
                self.next_request = now + self.config.lease / 2;
            }
            _ => {}
        }
        false
    }

    /// Leaves the fleet for good: the message reports what is still in use, and no request follows.
    pub fn depart(&mut self, holds: Vec<u64>) -> Option<(u8, u64, Message)> {
        self.departed = true;
        self.grant = None;
        self.number += 1;
        let message = Message::Leaving { session: self.session, holds };
        (self.session != 0).then_some((self.voter, self.number, message))
    }

    /// Session that the leader issued to this process.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// The voter that the last request went to.
    pub fn voter(&self) -> u8 {
        self.voter
    }
}
