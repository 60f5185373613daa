//! Whether record-bound statements are taken at all: a store that is slow, full or gone rejects them before an execution is
//! sent. Without I/O; times are those it is given.

use std::time::Duration;

/// Failures in a row that open it, and the first and longest pause before one trial.
const FAILURES: u32 = 3;
const PAUSE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(8));

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Duration,
        pause: Duration,
    },
    /// One is on trial, by its number.
    HalfOpen {
        trial: u64,
        pause: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Breaker(State);

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker(State::Closed { failures: 0 })
    }
}

impl Breaker {
    /// Whether this one may go to the store; else how long until the next may.
    pub fn take(&mut self, now: Duration, id: u64) -> Result<(), Duration> {
        match self.0 {
            State::Closed { .. } => Ok(()),
            State::Open { until, pause } if now >= until => {
                self.0 = State::HalfOpen { trial: id, pause };
                Ok(())
            }
            State::Open { until, .. } => Err(until - now),
            State::HalfOpen { pause, .. } => Err(pause),
        }
    }

    /// What became of one that went: whether the store answered.
    pub fn hear(&mut self, now: Duration, id: u64, answered: bool) {
        self.0 = match (self.0, answered) {
            (State::Closed { .. }, true) => State::Closed { failures: 0 },
            (State::Closed { failures }, false) if failures + 1 < FAILURES => {
                State::Closed { failures: failures + 1 }
            }
            (State::Closed { .. }, false) => State::Open { until: now + PAUSE.0, pause: PAUSE.0 },
            (State::HalfOpen { trial, .. }, true) if trial == id => State::Closed { failures: 0 },
            (State::HalfOpen { trial, pause }, false) if trial == id => {
                let pause = (pause * 2).min(PAUSE.1);
                State::Open { until: now + pause, pause }
            }
            // Of one that went before it opened.
            (state, _) => state,
        };
    }

    pub fn is_open(&self) -> bool {
        !matches!(self.0, State::Closed { .. })
    }
}
