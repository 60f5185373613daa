//! Executions that have ended here but may still start or run at their engines, while the fleet's budgets
//! count them; and the record of all outstanding executions, which the next process reads.

use bramblewharf::interface::Id;
use bramblewharf_budgets::usage::OrphanId;
use bramblewharf_fleet::node::{Node, Remains};
use bramblewharf_fleet::outstanding::{Outstanding, Slots, Write};
use std::collections::HashMap;
use std::time::Duration;

type Key = (Id, usize);

struct Entry {
    orphan_id: OrphanId,
    /// It was sent by a previous process: how its connection ended is unknown.
    inherited: bool,
}

/// Tracks orphaned executions by statement id and execution number. Its size is bounded by what the budgets
/// count.
#[derive(Default)]
pub struct OrphanTracker {
    entries: HashMap<Key, Entry>,
    slots: Option<Slots>,
}

impl OrphanTracker {
    /// Starts with the slots of the record, if one is kept.
    pub fn with_record(slots: Option<Slots>) -> OrphanTracker {
        OrphanTracker { entries: HashMap::new(), slots }
    }

    /// The writes that create the record: the inherited executions, then the header.
    pub fn initial_writes(&mut self, inherited: &[(Outstanding, OrphanId)]) -> Vec<Write> {
        let Some(slots) = &mut self.slots else { return Vec::new() };
        let used: Vec<Write> = inherited.iter().map(|(outstanding, _)| slots.add(outstanding)).collect();
        used.into_iter().chain([slots.header()]).collect()
    }

    /// Adds an execution that a previous process sent.
    pub fn inherit(&mut self, id: Id, execution: usize, orphan_id: OrphanId) {
        self.entries.insert((id, execution), Entry { orphan_id, inherited: true });
    }

    /// An execution is about to be sent: the write has to be carried out before its first byte goes out.
    pub fn execution_sent(&mut self, outstanding: impl FnOnce() -> Outstanding) -> Option<Write> {
        self.slots.as_mut().map(|slots| slots.add(&outstanding()))
    }

    /// An execution has ended here; `orphan_id` identifies what may remain of it in the budgets.
    pub fn execution_ended(
        &mut self,
        id: &Id,
        execution: usize,
        orphan_id: Option<OrphanId>,
    ) -> Option<Write> {
        match orphan_id {
            Some(orphan_id) => {
                self.entries.insert((id.clone(), execution), Entry { orphan_id, inherited: false });
                None
            }
            None => self.remove_record(id, execution),
        }
    }

    /// Whether an execution still counts.
    pub fn contains(&self, id: &Id, execution: usize) -> bool {
        self.entries.contains_key(&(id.clone(), execution))
    }

    /// Applies what has become known of an orphan. Returns none if it is not tracked, else the write that is
    /// needed, if any.
    pub fn settle(
        &mut self,
        now: Duration,
        node: &mut Node,
        (id, execution): (&Id, usize),
        remains: Remains,
    ) -> Option<Option<Write>> {
        let entry = self.entries.remove(&(id.clone(), execution))?;
        match node.settle(now, entry.orphan_id, remains) {
            Some(orphan_id) => {
                self.entries.insert((id.clone(), execution), Entry { orphan_id, ..entry });
                Some(None)
            }
            None => Some(self.remove_record(id, execution)),
        }
    }

    /// Whether a previous process sent an orphan.
    pub fn is_inherited(&self, id: &Id, execution: usize) -> bool {
        self.entries.get(&(id.clone(), execution)).is_some_and(|entry| entry.inherited)
    }

    /// Removes executions that can't run any more, and marks the record as complete once it holds all
    /// outstanding ones.
    pub fn remove_expired(&mut self, node: &Node) -> Vec<Write> {
        let mut writes = Vec::new();
        if self.entries.len() > node.lingering() {
            let expired = self.entries.iter().filter(|(_, entry)| !node.lingers(entry.orphan_id));
            let expired: Vec<Key> = expired.map(|(key, _)| key.clone()).collect();
            for (id, execution) in expired {
                self.entries.remove(&(id.clone(), execution));
                writes.extend(self.remove_record(&id, execution));
            }
        }
        if node.counts_everything() {
            writes.extend(self.slots.as_mut().and_then(Slots::mark_complete));
        }
        writes
    }

    fn remove_record(&mut self, id: &Id, execution: usize) -> Option<Write> {
        self.slots.as_mut()?.remove(id, execution)
    }
}
