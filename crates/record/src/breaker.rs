//! Circuit breaker in front of the store: while the store is slow, full or unreachable, statements that need
//! a record are rejected before an execution is sent. Without I/O; the caller passes the time.

use std::time::Duration;

/// Consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// The first and the longest pause before a probe.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(8));

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Duration,
        pause: Duration,
    },
    /// The request with this id is sent as a probe.
    HalfOpen {
        probe: u64,
        pause: Duration,
    },
}

/// Opens after consecutive failures, then sends a single probe after a pause that doubles each time a probe
/// fails.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CircuitBreaker(State);

impl Default for CircuitBreaker {
    fn default() -> CircuitBreaker {
        CircuitBreaker(State::Closed { failures: 0 })
    }
}

impl CircuitBreaker {
    /// Whether this request may go to the store; otherwise how long to wait before the next one.
    pub fn try_acquire(&mut self, now: Duration, id: u64) -> Result<(), Duration> {
        match self.0 {
            State::Closed { .. } => Ok(()),
            State::Open { until, pause } if now >= until => {
                self.0 = State::HalfOpen { probe: id, pause };
                Ok(())
            }
            State::Open { until, .. } => Err(until - now),
            State::HalfOpen { pause, .. } => Err(pause),
        }
    }

    /// Records whether the store answered this request.
    pub fn record_result(&mut self, now: Duration, id: u64, answered: bool) {
        self.0 = match (self.0, answered) {
            (State::Closed { .. }, true) => State::Closed { failures: 0 },
            (State::Closed { failures }, false) if failures + 1 < FAILURE_THRESHOLD => {
                State::Closed { failures: failures + 1 }
            }
            (State::Closed { .. }, false) => State::Open { until: now + PAUSE_RANGE.0, pause: PAUSE_RANGE.0 },
            (State::HalfOpen { probe, .. }, true) if probe == id => State::Closed { failures: 0 },
            (State::HalfOpen { probe, pause }, false) if probe == id => {
                let pause = (pause * 2).min(PAUSE_RANGE.1);
                State::Open { until: now + pause, pause }
            }
            // The request was sent before the breaker opened.
            (state, _) => state,
        };
    }

    /// Whether it holds back requests, but for a probe.
    pub fn is_open(&self) -> bool {
        !matches!(self.0, State::Closed { .. })
    }
}
