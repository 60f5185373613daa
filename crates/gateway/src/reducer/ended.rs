//! Statements that have ended a short while ago: another one under the same id has come too late to be refused for an id in use, and is
//! none of a client that counts its calls.

use super::io::{EngineRequest, StatementText};
use bramblewharf::interface::Id;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::Duration;

/// A call that was on its way while the statement of its id was still held has come by then.
const RETENTION: Duration = Duration::from_secs(3);

/// What a statement asks for; none where its text is not here as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(Option<u64>);

impl Fingerprint {
    pub fn of(engine_request: &EngineRequest) -> Fingerprint {
        let StatementText::Inline(text) = &engine_request.text else { return Fingerprint(None) };
        let mut hasher = DefaultHasher::new();
        (&engine_request.workload, &engine_request.key, text).hash(&mut hasher);
        Fingerprint(Some(hasher.finish()))
    }
}

/// Bounded in number and time.
pub struct RecentlyEnded {
    capacity: usize,
    by_id: HashMap<Id, (Duration, Fingerprint)>,
    order: VecDeque<(Duration, Id)>,
}

impl RecentlyEnded {
    pub fn new(capacity: usize) -> RecentlyEnded {
        RecentlyEnded { capacity, by_id: HashMap::new(), order: VecDeque::new() }
    }

    pub fn add(&mut self, now: Duration, id: Id, fingerprint: Fingerprint) {
        self.evict_expired(now);
        self.by_id.insert(id.clone(), (now, fingerprint));
        self.order.push_back((now, id));
    }

    /// Whether it shows that another statement had that id a moment ago.
    pub fn conflicts(&mut self, now: Duration, id: &Id, fingerprint: Fingerprint) -> bool {
        self.evict_expired(now);
        let before = self.by_id.get(id).and_then(|(_, before)| before.0);
        before.zip(fingerprint.0).is_some_and(|(before, now)| before != now)
    }

    fn evict_expired(&mut self, now: Duration) {
        while let Some((at, id)) = self.order.front() {
            if self.order.len() < self.capacity.max(1) && now < *at + RETENTION {
                return;
            }
            // It may have come and ended again since.
            if self.by_id.get(id).is_some_and(|(last, _)| last == at) {
                self.by_id.remove(id);
            }
            self.order.pop_front();
        }
    }
}
