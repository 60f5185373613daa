//! How long the list of engines may be acted on where it is asked for by polling: a lease, renewed by each answer of the name service.
//! What happens after the question that an answer belongs to is not known. Without an answer the list may hide a drain, so the lease
//! ends before one counts as told to this gateway whether it heard of it or not.

use std::time::Duration;

/// An event of the list counts as told to a gateway so long after it happened at the latest (the protocol's page).
const TOLD_WITHIN: Duration = Duration::from_millis(1500);
/// Of the grace in which sends to an engine may go on once its drain is told, the share that the lease makes use of; the rest is for
/// what a send takes from the last look at the lease to its first byte.
const GRACE_USED: f64 = 0.5;
/// An answer that waits unread counts as told when it was sent. Whoever asks listens all the time, so this long without a look shows
/// that the process stood still; it is shorter than the shortest grace, and longer than two rounds of asking are apart.
const LISTENED_WITHIN: Duration = Duration::from_millis(220);

/// Why the list may not be acted on now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stale {
    /// An answer may wait unread, as the process stood still: whoever asks has to listen first.
    Unread,
    /// No answer has confirmed the list for too long.
    Expired,
}

/// The lease on the list of one gateway; without a name service to ask it never ends.
#[derive(Debug)]
pub(crate) struct ListLease {
    grace: Duration,
    /// When the question of the last usable answer was asked, and when whoever asks last listened.
    times: Option<(Duration, Duration)>,
}

impl ListLease {
    /// `grace`: how long sends may go on after a drain was told.
    pub(crate) fn new(grace: Duration) -> ListLease {
        ListLease { grace, times: None }
    }

    /// Whoever asks has listened just now; the last usable answer is to a question of `confirmed`, where there is a newer one.
    pub(crate) fn listened(&mut self, now: Duration, confirmed: Option<Duration>) {
        let before = self.times.map_or(now, |(before, _)| before);
        self.times = Some((confirmed.map_or(before, |confirmed| before.max(confirmed)), now));
    }

    /// Nobody is asked: the list stays as it is.
    pub(crate) fn release(&mut self) {
        self.times = None;
    }

    pub(crate) fn stale(&self, now: Duration) -> Option<Stale> {
        let (confirmed, listened) = self.times?;
        let lasts = TOLD_WITHIN + self.grace.mul_f64(GRACE_USED);
        if now > listened + LISTENED_WITHIN {
            return Some(Stale::Unread);
        }
        (now > confirmed + lasts).then_some(Stale::Expired)
    }
}
