//! Statements that ended recently. One that comes under the same id is too late to be refused as a duplicate of a
//! held one, but must not run beside or after an execution of the first where settings forbid that; and a
//! different one shows that its client doesn't generate unique ids.

use super::io::{EngineRequest, StatementText};
use bramblewharf::interface::Id;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::Duration;

/// Long enough for a call that was already in transit while the statement with its id was still held.
const RETENTION: Duration = Duration::from_secs(3);

/// A hash of what a statement asks for; none if its text is not in memory as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(Option<u64>);

impl Fingerprint {
    /// Of a request's workload, key and text.
    pub fn of(engine_request: &EngineRequest) -> Fingerprint {
        let StatementText::Inline(text) = &engine_request.text else { return Fingerprint(None) };
        let mut hasher = DefaultHasher::new();
        (&engine_request.workload, &engine_request.key, text).hash(&mut hasher);
        Fingerprint(Some(hasher.finish()))
    }
}

/// A statement that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedStatement {
    pub fingerprint: Fingerprint,
    /// Whether the same statement may be executed again.
    pub may_repeat: bool,
}

/// The ids of recently ended statements, bounded in number and age.
pub struct RecentlyEnded {
    capacity: usize,
    by_id: HashMap<Id, (Duration, EndedStatement)>,
    order: VecDeque<(Duration, Id)>,
}

impl RecentlyEnded {
    /// Holds at most `capacity` statements.
    pub fn new(capacity: usize) -> RecentlyEnded {
        RecentlyEnded { capacity, by_id: HashMap::new(), order: VecDeque::new() }
    }

    /// Remembers a statement that has ended.
    pub fn add(&mut self, now: Duration, id: Id, statement: EndedStatement) {
        self.evict_expired(now);
        self.by_id.insert(id.clone(), (now, statement));
        self.order.push_back((now, id));
    }

    /// Whether a statement with the same id ended recently that may not be repeated, or had another
    /// fingerprint.
    pub fn conflicts(&mut self, now: Duration, id: &Id, fingerprint: Fingerprint) -> bool {
        self.evict_expired(now);
        let Some((_, previous)) = self.by_id.get(id) else { return false };
        let fingerprints = previous.fingerprint.0.zip(fingerprint.0);
        let differs = fingerprints.is_some_and(|(previous, current)| previous != current);
        differs || !previous.may_repeat
    }

    fn evict_expired(&mut self, now: Duration) {
        while let Some((at, id)) = self.order.front() {
            if self.order.len() < self.capacity.max(1) && now < *at + RETENTION {
                return;
            }
            // A later statement with the same id may have ended since: its entry stays.
            if self.by_id.get(id).is_some_and(|(last, _)| last == at) {
                self.by_id.remove(id);
            }
            self.order.pop_front();
        }
    }
}
