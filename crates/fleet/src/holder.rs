//! How a gateway gets its leave: it asks whoever keeps it, in time, and counts what it is given from when it asked.

use crate::wire::{Ask, Give, Message};
use crate::{Terms, Wrong};
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// What was given, and when it ends by the clock of whoever has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leave {
    pub amounts: Vec<u64>,
    pub until: Duration,
    pub members: u32,
    pub rank: u32,
}

/// How asking has gone since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub given: u64,
    pub unanswered: u64,
    /// Answers to questions that were not the last.
    pub late: u64,
    pub differs: u64,
}

struct Asked {
    number: u64,
    at: Duration,
    seat: u8,
}

pub struct Holder {
    terms: Terms,
    table: u64,
    rng: WyRand,
    started: Duration,
    /// When it last looked at the clock, and when it last asked.
    seen: Duration,
    last: Duration,
    number: u64,
    session: u64,
    seat: u8,
    asked: Option<Asked>,
    /// When to ask next; sooner where more is needed.
    next: Duration,
    /// Questions in a row without an answer.
    in_vain: u32,
    leave: Option<Leave>,
    left: bool,
    pub counts: Counts,
}

impl Holder {
    pub fn start(terms: Terms, table: u64, seed: u64, now: Duration) -> Holder {
        let mut rng = WyRand::new_seed(seed);
        let seat = rng.generate_range(0..terms.seats.max(1));
        Holder {
            terms,
            table,
            rng,
            started: now,
            seen: now,
            last: now,
            number: 0,
            session: 0,
            seat,
            asked: None,
            next: now,
            in_vain: 0,
            leave: None,
            left: false,
            counts: Counts::default(),
        }
    }

    /// Leave that has not ended.
    pub fn leave(&self, now: Duration) -> Option<&Leave> {
        self.leave.as_ref().filter(|leave| now < leave.until)
    }

    pub fn due(&self) -> Duration {
        match (&self.asked, self.left) {
            (_, true) => Duration::MAX,
            (Some(asked), _) => asked.at + self.patience(),
            (None, _) => self.next,
        }
    }

    /// How long an answer is waited for: longer the more often it did not come, up to a lease, after which it is worth nothing.
    fn patience(&self) -> Duration {
        (self.terms.lease / 8 * 2u32.saturating_pow(self.in_vain.min(3))).min(self.terms.lease)
    }

    /// More is needed than is there: ask soon, but no more often than sixteen times a lease.
    pub fn hasten(&mut self, now: Duration) {
        let soon = self.last + self.terms.lease / 16;
        self.next = self.next.min(soon.max(now));
    }

    /// Whether leave was lost because the clock went back.
    pub fn look(&mut self, now: Duration) -> bool {
        let back = now < self.seen;
        self.seen = now;
        if back {
            // When what was given ends can't be told any more.
            (self.leave, self.asked, self.last, self.next) = (None, None, now, now);
        }
        back
    }

    /// The next question and whom it goes to, where it is time. `holds` and `needs` are as they are now.
    pub fn tick(
        &mut self,
        now: Duration,
        figures: impl FnOnce() -> (Vec<u64>, Vec<u64>),
    ) -> Option<(u8, u64, Message)> {
        self.look(now);
        if self.left || now < self.due() {
            return None;
        }
        if let Some(asked) = self.asked.take() {
            self.counts.unanswered += 1;
            self.in_vain += 1;
            self.seat = (asked.seat + 1) % self.terms.seats.max(1);
            if self.in_vain >= u32::from(self.terms.seats) {
                // Nobody is there: not all gateways ask in step for ever.
                let part = f64::from(self.rng.generate::<f32>());
                self.next = now + (self.terms.lease / 8).mul_f64(part);
                if self.in_vain.is_multiple_of(u32::from(self.terms.seats.max(1))) {
                    return None;
                }
            }
        }
        let (holds, needs) = figures();
        self.number += 1;
        self.counts.asked += 1;
        self.last = now;
        self.asked = Some(Asked { number: self.number, at: now, seat: self.seat });
        let up_ms = now.saturating_sub(self.started).as_millis() as u64;
        let ask = Ask { session: self.session, table: self.table, up_ms, holds, needs };
        Some((self.seat, self.number, Message::Ask(ask)))
    }

    /// What a seat answered. An answer to any question but the last says nothing: what was held has been told anew since.
    pub fn heard(&mut self, now: Duration, from: u8, message: Message) -> bool {
        self.look(now);
        let number = match &message {
            Message::Give(give) => give.number,
            Message::Elsewhere { number, .. }
            | Message::Session { number, .. }
            | Message::Differs { number } => *number,
            _ => return false,
        };
        let any = self.terms.is_wrong(Wrong::AnyAnswerCounts) && matches!(message, Message::Give(_));
        let asked = self.asked.take_if(|asked| asked.number == number && asked.seat == from);
        let Some(asked) = asked.or_else(|| any.then_some(Asked { number, at: now, seat: from })) else {
            self.counts.late += 1;
            return false;
        };
        let soon = now + Duration::from_millis(1);
        match message {
            Message::Give(Give { amounts, members, rank, .. }) => {
                self.counts.given += 1;
                self.in_vain = 0;
                let from = if self.terms.is_wrong(Wrong::CountsFromAnswer) { now } else { asked.at };
                self.leave = Some(Leave { amounts, until: from + self.terms.lease, members, rank });
                // Spread a little, so that a fleet that started at once does not ask at once.
                let part = 0.8 + 0.2 * f64::from(self.rng.generate::<f32>());
                self.next = asked.at + (self.terms.lease / 4).mul_f64(part);
                return now < from + self.terms.lease;
            }
            Message::Session { session, .. } => (self.session, self.next) = (session, soon),
            Message::Elsewhere { keeper: Some(keeper), .. }
                if keeper != from && keeper < self.terms.seats =>
            {
                (self.seat, self.next) = (keeper, soon.max(asked.at + self.terms.lease / 64));
            }
            Message::Elsewhere { .. } => {
                self.seat = (from + 1) % self.terms.seats.max(1);
                self.next = now + self.terms.lease / 16;
            }
            Message::Differs { .. } => {
                self.counts.differs += 1;
                self.next = now + self.terms.lease / 2;
            }
            _ => {}
        }
        false
    }

    /// Leaves for good: tells the keeper what is in use yet, and asks for nothing any more.
    pub fn go(&mut self, holds: Vec<u64>) -> Option<(u8, u64, Message)> {
        self.left = true;
        self.leave = None;
        self.number += 1;
        let message = Message::Leaving { session: self.session, holds };
        (self.session != 0).then_some((self.seat, self.number, message))
    }

    /// What the keeper gave this process to show that it is there.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// The seat that was asked last.
    pub fn seat(&self) -> u8 {
        self.seat
    }
}
