//! Whether engines have read what a process before this one may have sent them: each is asked, a few at a time.

use crate::reducer::ListedEngine;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Engines that are asked at the same time.
const AT_ONCE: usize = 64;

pub struct Hearing {
    /// Not before this: the keeper's word may make it needless.
    from: Duration,
    /// All that were listed, and those of them that have not been asked yet.
    seen: HashSet<SocketAddr>,
    waiting: VecDeque<SocketAddr>,
    asked: usize,
    /// An engine stayed silent.
    failed: bool,
}

impl Hearing {
    pub fn start(from: Duration) -> Hearing {
        Hearing { from, seen: HashSet::new(), waiting: VecDeque::new(), asked: 0, failed: false }
    }

    /// Engines that a process before this one may have sent to.
    pub fn listed<'a>(&mut self, engines: impl Iterator<Item = &'a ListedEngine>) {
        for listed in engines {
            if self.seen.insert(listed.address) {
                self.waiting.push_back(listed.address);
            }
        }
    }

    /// Engines to ask now.
    pub fn next(&mut self, now: Duration) -> Vec<SocketAddr> {
        if now < self.from {
            return Vec::new();
        }
        let room = AT_ONCE.saturating_sub(self.asked);
        let next: Vec<SocketAddr> = self.waiting.drain(..room.min(self.waiting.len())).collect();
        self.asked += next.len();
        next
    }

    /// An engine has answered so that it must have read all that came before, or is gone; or it stayed silent.
    pub fn heard(&mut self, has_read: bool) {
        self.asked = self.asked.saturating_sub(1);
        self.failed |= !has_read;
    }

    /// Whether all have been heard.
    pub fn is_over(&self) -> bool {
        self.asked == 0 && !self.failed && self.waiting.is_empty() && !self.seen.is_empty()
    }
}
