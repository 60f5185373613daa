//! Executions that have ended here and may yet run or begin at their engines, while the fleet's budgets count them; and the record of
//! all that is out, for the process after this one.

use bramblewharf::interface::Id;
use bramblewharf_budgets::usage::OrphanId;
use bramblewharf_fleet::node::{Node, Remains};
use bramblewharf_fleet::outstanding::{Outstanding, Slots, Write};
use std::collections::HashMap;
use std::time::Duration;

type Key = (Id, usize);

struct Entry {
    orphan_id: OrphanId,
    /// A process before this one sent it: nothing is known of how its connection ended.
    inherited: bool,
}

/// Bounded by what the budgets count.
#[derive(Default)]
pub struct OrphanTracker {
    entries: HashMap<Key, Entry>,
    slots: Option<Slots>,
}

impl OrphanTracker {
    /// With a record of what is out, where one is kept.
    pub fn with_record(slots: Option<Slots>) -> OrphanTracker {
        OrphanTracker { entries: HashMap::new(), slots }
    }

    /// What the record begins with.
    pub fn initial_writes(&mut self, inherited: &[(Outstanding, OrphanId)]) -> Vec<Write> {
        let Some(slots) = &mut self.slots else { return Vec::new() };
        let used: Vec<Write> = inherited.iter().map(|(outstanding, _)| slots.add(outstanding)).collect();
        used.into_iter().chain([slots.header()]).collect()
    }

    /// A process before this one sent it.
    pub fn inherit(&mut self, id: Id, execution: usize, orphan_id: OrphanId) {
        self.entries.insert((id, execution), Entry { orphan_id, inherited: true });
    }

    /// It goes out: to be written before its first byte.
    pub fn execution_sent(&mut self, outstanding: impl FnOnce() -> Outstanding) -> Option<Write> {
        self.slots.as_mut().map(|slots| slots.add(&outstanding()))
    }

    /// It has ended here; `name`: what may remain of it counts by that.
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

    /// Whether it counts yet.
    pub fn contains(&self, id: &Id, execution: usize) -> bool {
        self.entries.contains_key(&(id.clone(), execution))
    }

    /// More is known of what remains of it. Whether that changed what is in use, and what is to be written.
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

    /// Whether a process before this one sent it.
    pub fn is_inherited(&self, id: &Id, execution: usize) -> bool {
        self.entries.get(&(id.clone(), execution)).is_some_and(|entry| entry.inherited)
    }

    /// Drops what can't run any more, and says in the record when that holds all there is.
    pub fn remove_expired(&mut self, node: &Node) -> Vec<Write> {
        let mut writes = Vec::new();
        if self.entries.len() > node.lingering() {
            let over = self.entries.iter().filter(|(_, entry)| !node.lingers(entry.orphan_id));
            let over: Vec<Key> = over.map(|(key, _)| key.clone()).collect();
            for (id, execution) in over {
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
