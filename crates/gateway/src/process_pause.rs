//! Finds out when this process stood still, and so how long what it reads just after that may have waited: a client's time counts from
//! when its call came, not from when it was read.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Something happens in a gateway more often than this; a longer gap is a pause of the process or of its machine.
const MAX_ACTIVITY_GAP: Duration = Duration::from_millis(90);
/// What waited during a pause is read within this after it.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// The last pause of this process; pauses with less than the time to read what waited between them are one.
pub struct PauseDetector {
    last_activity: Cell<Instant>,
    pause: Cell<Option<(Instant, Instant)>>,
}

impl PauseDetector {
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector { last_activity: Cell::new(now), pause: Cell::new(None) }
    }

    /// The process is at work; to be called whenever anything happens.
    pub fn record_activity(&self, now: Instant) {
        let seen = self.last_activity.replace(now);
        if now.saturating_duration_since(seen) > MAX_ACTIVITY_GAP {
            // What waited during a pause just before may not have been read yet.
            let before = self.pause.get().filter(|(_, until)| seen <= *until + CATCH_UP_TIME);
            self.pause.set(Some((before.map_or(seen, |(from, _)| from), now)));
        }
    }

    /// How long it takes from now until what waited during a pause has been read; none where there was no pause just before. Nobody is
    /// judged by time before then.
    pub fn catch_up_left(&self, now: Instant) -> Option<Duration> {
        let (_, until) = self.pause.get()?;
        (until + CATCH_UP_TIME).checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// How long what is read now may have waited to be read.
    pub fn queueing_delay(&self, now: Instant) -> Duration {
        match self.pause.get() {
            Some((from, until)) if now <= until + CATCH_UP_TIME => now.saturating_duration_since(from),
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
