//! Detects pauses of this process, and so how long data that it reads just afterwards may have waited: a
//! client's deadline counts from when its call arrived, not from when it was read.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A gateway is active more often than this; a longer gap is a pause of the process or of its machine.
const MAX_ACTIVITY_GAP: Duration = Duration::from_millis(90);
/// Data that arrived during a pause is read within this time after it.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// The last pause of this process. Pauses with less than `CATCH_UP_TIME` between them count as one.
pub struct PauseDetector {
    last_activity: Cell<Instant>,
    pause: Cell<Option<(Instant, Instant)>>,
}

impl PauseDetector {
    /// Starts with no pause.
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector { last_activity: Cell::new(now), pause: Cell::new(None) }
    }

    /// Has to be called on every activity of the process.
    pub fn record_activity(&self, now: Instant) {
        let previous = self.last_activity.replace(now);
        if now.saturating_duration_since(previous) > MAX_ACTIVITY_GAP {
            // Data from a pause just before may not have been read yet.
            let merged = self.pause.get().filter(|(_, until)| previous <= *until + CATCH_UP_TIME);
            self.pause.set(Some((merged.map_or(previous, |(from, _)| from), now)));
        }
    }

    /// How long it takes until the data of a recent pause has been read; none if there was none. No time-out
    /// may be judged before then.
    pub fn catch_up_left(&self, now: Instant) -> Option<Duration> {
        let (_, until) = self.pause.get()?;
        (until + CATCH_UP_TIME).checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// How long data that is read now may have waited.
    pub fn queueing_delay(&self, now: Instant) -> Duration {
        match self.pause.get() {
            Some((from, until)) if now <= until + CATCH_UP_TIME => now.saturating_duration_since(from),
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
