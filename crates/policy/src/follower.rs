//! How a gateway decides by the fleet's policy: by what it has leave for, as long as that lasts, else alone.

use crate::revision::Digest;
use crate::rules::{Asked, Rules};
use crate::say::{Ask, Leave, Say};
use crate::texts::Texts;
use crate::{Phase, Terms};
use bramblewharf_fleet::node::Recipient;
use std::sync::Arc;
use std::time::Duration;

/// By what it decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    By(Arc<Rules>),
    /// What either refuses is refused.
    Both(Arc<Rules>, Arc<Rules>),
    /// By the one that it acted by last, or, where it was told of a change, by both.
    Alone(Arc<Rules>, Option<Arc<Rules>>),
    /// It has only started and knows of nothing yet: it permits nothing.
    Undecided,
}

impl Standing {
    pub fn name(&self) -> &'static str {
        match self {
            Standing::By(_) => "by it",
            Standing::Both(..) => "by both",
            Standing::Alone(..) => "alone",
            Standing::Undecided => "undecided",
        }
    }
}

/// What may be sent, with its end in it: whoever asks must show the time.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    with_leave: Option<(Standing, Duration)>,
    /// Without it.
    alone: Standing,
}

impl Permit {
    pub fn standing(&self, now: Duration) -> &Standing {
        match &self.with_leave {
            Some((standing, until)) if now < *until => standing,
            _ => &self.alone,
        }
    }

    pub fn permits(&self, now: Duration, asked: &Asked) -> bool {
        match self.standing(now) {
            Standing::By(rules) => rules.permits(asked),
            Standing::Both(now, next) => now.permits(asked) && next.permits(asked),
            Standing::Alone(rules, next) => {
                rules.permits_alone(asked) && next.as_ref().is_none_or(|next| next.permits_alone(asked))
            }
            Standing::Undecided => false,
        }
    }
}

struct HasLeave {
    phase: Phase,
    standing: Standing,
    until: Duration,
}

/// How asking has gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub given: u64,
    pub unanswered: u64,
    pub late: u64,
    /// Leave for texts that are not here yet.
    pub lacks: u64,
}

pub struct Follower {
    terms: Terms,
    number: u64,
    seat: u8,
    asked: Option<(u64, Duration)>,
    next: Duration,
    seen: Duration,
    leave: Option<HasLeave>,
    /// It never decides by an earlier phase than this again.
    highest: Option<Phase>,
    /// What it acts by, or did last: one revision, or two at once; that is what it does when it hears nobody.
    acts_by: Vec<(Digest, Arc<Rules>)>,
    /// The same, if it were started again now.
    falls_back: Vec<Digest>,
    /// Before this it waits for the fleet's word, if it has nothing of its own.
    waits_until: Duration,
    verdict: Option<(Digest, Option<String>)>,
    /// Of the last leave and proposal, and no more.
    wants: Vec<Digest>,
    pub counts: Counts,
}

impl Follower {
    /// `alone`: the last revision it acted by, from its own disk or file; after `wait` it goes by that.
    pub fn start(
        terms: Terms,
        alone: Vec<(Digest, Arc<Rules>)>,
        wait: Duration,
        place: u32,
        incarnation: u64,
        now: Duration,
    ) -> Follower {
        Follower {
            seat: (place % u32::from(terms.fleet.voters.max(1))) as u8,
            terms,
            number: incarnation >> 16,
            asked: None,
            next: now,
            seen: now,
            leave: None,
            highest: None,
            falls_back: alone.iter().map(|(digest, _)| *digest).collect(),
            acts_by: alone,
            waits_until: now + wait,
            verdict: None,
            wants: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn look(&mut self, now: Duration) {
        if now < self.seen {
            // When leave ends can't be told any more.
            (self.leave, self.asked, self.next) = (None, None, now);
        }
        self.seen = now;
    }

    pub fn due(&self) -> Duration {
        self.asked.map_or(self.next, |(_, at)| at + self.terms.lease() / 8)
    }

    /// The phase it decides by, if any.
    pub fn phase(&self, now: Duration) -> Option<Phase> {
        self.leave.as_ref().filter(|leave| now < leave.until).map(|leave| leave.phase)
    }

    /// Its file has that now.
    pub fn falls_back_to(&mut self, digests: Vec<Digest>) {
        self.falls_back = digests;
    }

    /// Texts that it waits for.
    pub fn needs(&self) -> impl Iterator<Item = Digest> + '_ {
        self.wants.iter().copied()
    }

    pub fn acts_by(&self) -> Vec<Digest> {
        self.acts_by.iter().map(|(digest, _)| *digest).collect()
    }

    pub fn permit(&self, now: Duration) -> Permit {
        let leave = self.leave.as_ref().filter(|leave| now < leave.until);
        let waited = now >= self.waits_until || self.highest.is_some();
        let alone = match &self.acts_by[..] {
            [(_, rules), rest @ ..] if waited => {
                Standing::Alone(rules.clone(), rest.first().map(|(_, next)| next.clone()))
            }
            _ => Standing::Undecided,
        };
        Permit { with_leave: leave.map(|leave| (leave.standing.clone(), leave.until)), alone }
    }

    /// When its leave ends, while it has any.
    pub fn until(&self, now: Duration) -> Option<Duration> {
        self.leave.as_ref().map(|leave| leave.until).filter(|until| now < *until)
    }

    /// When what it decides by changes by itself.
    pub fn permit_due(&self, now: Duration) -> Option<Duration> {
        let leave = self.leave.as_ref().map(|leave| leave.until);
        leave.into_iter().chain([self.waits_until]).filter(|at| *at > now).min()
    }

    /// The next question and whom it goes to, where it is time.
    pub fn tick(&mut self, now: Duration) -> Option<(u8, Say)> {
        self.look(now);
        if now < self.due() {
            return None;
        }
        if self.asked.take().is_some() {
            self.counts.unanswered += 1;
            self.seat = (self.seat + 1) % self.terms.fleet.voters.max(1);
        }
        self.number += 1;
        self.counts.asked += 1;
        self.asked = Some((self.number, now));
        let (phase, falls_back, verdict) = (self.phase(now), self.falls_back.clone(), self.verdict.clone());
        Some((self.seat, Say::Ask(Ask { number: self.number, phase, falls_back, verdict })))
    }

    /// What a seat answered: true where what it decides by has changed.
    pub fn heard(&mut self, now: Duration, from: u8, say: Say, texts: &mut Texts<Recipient>) -> bool {
        self.look(now);
        let number = match &say {
            Say::Leave(leave) => leave.number,
            Say::NotNow { number, .. } => *number,
            _ => return false,
        };
        let Some((_, at)) = self.asked.filter(|(asked, _)| *asked == number) else {
            self.counts.late += 1;
            return false;
        };
        self.asked = None;
        match say {
            Say::NotNow { keeper, .. } => {
                // Soon, at whoever is said to keep it.
                self.next = now + self.terms.lease() / 16;
                let other = (from + 1) % self.terms.fleet.voters.max(1);
                self.seat = keeper.filter(|keeper| *keeper < self.terms.fleet.voters).unwrap_or(other);
                false
            }
            Say::Leave(leave) => {
                self.seat = from;
                self.next = at + self.terms.lease() / 4;
                self.given(now, at, from, leave, texts)
            }
            _ => false,
        }
    }

    fn given(
        &mut self,
        now: Duration,
        at: Duration,
        from: u8,
        leave: Leave,
        texts: &mut Texts<Recipient>,
    ) -> bool {
        self.wants = leave.check.into_iter().chain(leave.next).chain([leave.now]).collect();
        if let Some(check) = leave.check.filter(|check| texts.want(*check, Recipient::Voter(from))) {
            if self.verdict.as_ref().is_none_or(|(of, _)| *of != check) {
                let why = texts.get(&check).and_then(|text| text.rules.as_ref().err().cloned());
                self.verdict = Some((check, why.map(|why| why.chars().take(120).collect())));
                self.next = now;
            }
        }
        let here = texts.want(leave.now, Recipient::Voter(from));
        let next_here = leave.next.is_none_or(|next| texts.want(next, Recipient::Voter(from)));
        let until = at + self.terms.lease();
        if !here || !next_here || now >= until || self.highest.is_some_and(|highest| leave.phase < highest) {
            self.counts.lacks += u64::from(!here || !next_here);
            // As soon as the texts are here.
            self.next = now + self.terms.lease() / 16;
            return false;
        }
        let standing = match (texts.rules(&leave.now), leave.next.map(|next| texts.rules(&next))) {
            (Some(rules), None) => Standing::By(rules),
            (Some(rules), Some(Some(next))) => Standing::Both(rules, next),
            // This build can't read what is in force: it goes on alone, and says so (`lacks`).
            _ => {
                self.counts.lacks += 1;
                return false;
            }
        };
        let digests = [leave.now].into_iter().chain(leave.next);
        self.acts_by = digests.filter_map(|digest| Some((digest, texts.rules(&digest)?))).collect();
        self.counts.given += 1;
        if self.highest != Some(leave.phase) {
            // Said at once: whoever keeps waits for it.
            self.next = now;
        }
        self.highest = Some(leave.phase);
        self.leave = Some(HasLeave { phase: leave.phase, standing, until });
        true
    }
}
