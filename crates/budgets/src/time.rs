//! Two ways to count time. One's own rights end by the clock as it is. Others' rights, which one must not end too early, end by
//! a patient clock: it passes over what this process slept through or its clock jumped, for then it can't have heard them.

use std::time::Duration;

/// More than this between two looks counts as nothing; a jump by less can't be told from time that passed, so whatever has to
/// last is made longer by as much.
pub const UNSEEN: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    last: Option<Duration>,
    patient: Duration,
}

/// A clock that went back: nothing one holds can be trusted to end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WentBack;

impl Patience {
    /// Takes the clock as it is now; `any`: long gaps count too, as they must not.
    pub fn look(&mut self, now: Duration, any: bool) -> Result<(), WentBack> {
        let last = self.last.replace(now).unwrap_or(now);
        let Some(passed) = now.checked_sub(last) else { return Err(WentBack) };
        if any || passed <= UNSEEN {
            self.patient += passed;
        }
        Ok(())
    }

    /// What others' rights are counted by.
    pub fn now(&self) -> Duration {
        self.patient
    }
}

#[cfg(test)]
mod tests;
