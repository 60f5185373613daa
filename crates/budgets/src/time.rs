//! A clock for the expiry of others' grants. A gateway's own grants end by the clock as it is. Those of others must not be
//! ended too early: they end by a clock that leaves out the time in which this process was suspended or its clock jumped,
//! since it can't have received their messages then.

use std::time::Duration;

/// A longer gap between two readings is not counted. A shorter jump can't be told from time that passed, so whatever has to
/// last is extended by as much.
pub const MAX_GAP: Duration = Duration::from_millis(200);

/// A clock that counts only the time in which this process has read it regularly.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveClock {
    last: Option<Duration>,
    active: Duration,
}

/// The clock went backwards: nothing that this process holds can be trusted to end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockRegression;

impl ActiveClock {
    /// Advances to a reading of the clock. `count_gaps` also counts long gaps, which only a seeded fault does.
    pub fn advance(&mut self, now: Duration, count_gaps: bool) -> Result<(), ClockRegression> {
        let last = self.last.replace(now).unwrap_or(now);
        let Some(passed) = now.checked_sub(last) else { return Err(ClockRegression) };
        if count_gaps || passed <= MAX_GAP {
            self.active += passed;
        }
        Ok(())
    }

    /// The active time so far, by which the expiry of others' grants is counted.
    pub fn now(&self) -> Duration {
        self.active
    }
}

#[cfg(test)]
mod tests;
