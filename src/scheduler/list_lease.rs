//! Lease on the list of engines where the list is polled: how long it may be used. Each answer of the name
//! service renews it.
//!
//! An answer confirms the list as of the time its request was sent; later changes are unknown. Since an
//! unconfirmed list may hide a drain, the lease expires before the gateway counts as notified of that drain,
//! whether the notification arrived or not.

use std::time::Duration;

/// Longest time after which a gateway counts as notified of a change to the list, as the protocol defines it.
const NOTIFIED_WITHIN: Duration = Duration::from_millis(1500);
/// Share of the drain grace that the lease uses; the rest covers the time from the last check of the lease to
/// a send's first byte.
const GRACE_USED: f64 = 0.5;
/// An unread answer counts as received when it was sent. The client of the name service reads all the time,
/// so a longer gap shows that the process was paused. Shorter than the shortest grace, and longer than the
/// time between two rounds of polling.
const READ_WITHIN: Duration = Duration::from_millis(220);

/// Why the list may not be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stale {
    /// The process was paused and answers may be unread: they have to be read first.
    Unread,
    /// No answer has confirmed the list for too long.
    Expired,
}

/// Lease on the list of one gateway. Without polling it never expires.
#[derive(Debug)]
pub(crate) struct ListLease {
    grace: Duration,
    /// When the request of the last usable answer was sent, and when answers were last read.
    times: Option<(Duration, Duration)>,
}

impl ListLease {
    /// `grace`: how long sends may continue after the gateway was notified of a drain.
    pub(crate) fn new(grace: Duration) -> ListLease {
        ListLease { grace, times: None }
    }

    /// All answers have just been read; `confirmed` is when the request of the last usable one was sent, if
    /// there is a newer one.
    pub(crate) fn renew(&mut self, now: Duration, confirmed: Option<Duration>) {
        let before = self.times.map_or(now, |(before, _)| before);
        self.times = Some((confirmed.map_or(before, |confirmed| before.max(confirmed)), now));
    }

    /// Polling has ended: the list stays valid as it is.
    pub(crate) fn release(&mut self) {
        self.times = None;
    }

    /// Why the list may not be used now, if it may not.
    pub(crate) fn stale(&self, now: Duration) -> Option<Stale> {
        let (confirmed, last_read) = self.times?;
        let duration = NOTIFIED_WITHIN + self.grace.mul_f64(GRACE_USED);
        if now > last_read + READ_WITHIN {
            return Some(Stale::Unread);
        }
        (now > confirmed + duration).then_some(Stale::Expired)
    }
}
