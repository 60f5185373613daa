//! Checks that engines have read everything a previous process of this gateway may have sent them, by probing
//! each engine, a bounded number at a time.

use crate::reducer::ListedEngine;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Engines that are probed at the same time.
const MAX_PROBES: usize = 64;

/// Progress of the probes after a restart.
pub struct PredecessorCheck {
    /// No probe starts before this time: a message from the leader may make the check needless.
    not_before: Duration,
    /// All engines that were listed, and those of them that have yet to be probed.
    seen: HashSet<SocketAddr>,
    queued: VecDeque<SocketAddr>,
    probes_in_flight: usize,
    /// An engine did not answer its probe.
    failed: bool,
}

impl PredecessorCheck {
    /// A check without engines, whose probes begin at `not_before`.
    pub fn start(not_before: Duration) -> PredecessorCheck {
        PredecessorCheck {
            not_before,
            seen: HashSet::new(),
            queued: VecDeque::new(),
            probes_in_flight: 0,
            failed: false,
        }
    }

    /// Queues the engines that have not been seen before: a previous process may have sent to each of them.
    pub fn add_engines<'a>(&mut self, engines: impl Iterator<Item = &'a ListedEngine>) {
        for listed in engines {
            if self.seen.insert(listed.address) {
                self.queued.push_back(listed.address);
            }
        }
    }

    /// Engines to probe now.
    pub fn next_probes(&mut self, now: Duration) -> Vec<SocketAddr> {
        if now < self.not_before {
            return Vec::new();
        }
        let free = MAX_PROBES.saturating_sub(self.probes_in_flight);
        let next: Vec<SocketAddr> = self.queued.drain(..free.min(self.queued.len())).collect();
        self.probes_in_flight += next.len();
        next
    }

    /// A probe ended: the engine has read all that was sent to it before or its process is gone (`has_read`),
    /// or it did not answer.
    pub fn probe_ended(&mut self, has_read: bool) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        self.failed |= !has_read;
    }

    /// Whether every listed engine has answered its probe.
    pub fn is_complete(&self) -> bool {
        self.probes_in_flight == 0 && !self.failed && self.queued.is_empty() && !self.seen.is_empty()
    }
}
