//! What is owed to the store for each operation, and what its client may be told: `(state, input) -> effects`, without I/O or
//! clock. The intent is written before the execution, the revision after it, and completed goes out only behind that.

use crate::store::Digest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An operation's number, this process's own; its key is the client's.
pub type Id = u64;
pub type Key = Arc<str>;

/// How often a record is tried again that is known not to have been written, and a look that told nothing.
const TRIES: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// Its engines drop a repeat, or a repeat does no harm.
    MayRepeat,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    Completed,
    /// Proved by whoever sent it.
    Never,
    Maybe,
}

/// What a store's transaction came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The key is this gateway's now; whatever is written for it must show this fence.
    Intended {
        fence: u64,
    },
    /// There is a revision of this key and digest.
    Recorded,
    /// There is one of this key and another digest.
    Conflict,
    /// Another gateway has the key, and its lease is not over.
    Held,
    /// Whether it ran was never settled.
    IsUnclear,
    /// There is none, and no earlier writer of ours can write it any more.
    Absent {
        fence: u64,
    },
    /// The key is no longer this gateway's.
    Fenced,
    Done,
    /// Nothing was written, for certain.
    Failed,
    /// Nothing is known: it may have been written.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    Ask {
        key: Key,
        digest: Digest,
        class: Class,
    },
    Store(Reply),
    Ran(Ran),
    /// The statement's time is over.
    TimeUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Completed,
    /// Harmless to repeat: nothing ran.
    Rejected,
    Aborted,
    /// The key stands for another content.
    Conflict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// `again`: also where an earlier one is unclear.
    Intend {
        id: Id,
        key: Key,
        digest: Digest,
        again: bool,
    },
    Execute {
        id: Id,
    },
    Record {
        id: Id,
        key: Key,
        digest: Digest,
        fence: u64,
    },
    /// On another connection, and such that what was sent before can't be written afterwards.
    Look {
        id: Id,
        key: Key,
        digest: Digest,
        fence: u64,
    },
    /// The intent of this operation goes, if it is there: nothing ran.
    Withdraw {
        id: Id,
        key: Key,
    },
    MarkUnclear {
        id: Id,
        key: Key,
        fence: u64,
    },
    Answer {
        id: Id,
        answer: Answer,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum At {
    Intending,
    Running,
    Recording,
    Looking,
    /// What is left of it is said to the store; nothing depends on the reply.
    Leaving,
}

/// An input as it stands with the class, and with whether the client has its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Intended,
    IntendedTooLate,
    Recorded,
    Conflict,
    Held,
    UnclearMayRepeat,
    Unclear,
    Absent,
    Fenced,
    Done,
    Failed,
    FailedForGood,
    Lost,
    LostForGood,
    Completed,
    Never,
    Maybe,
    TimeUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Rest,
    IntendAgain,
    Execute,
    Record,
    Look,
    Withdraw,
    MarkUnclear,
}

/// State, event, next state (none: over), what the store or the engines are asked, what the client is told unless it has
/// been told.
pub type Row = (At, Event, Option<At>, Step, Option<Answer>);

use Answer::*;
/// A pair that is not listed changes nothing.
#[rustfmt::skip]
pub const TABLE: &[Row] = &[
    (At::Intending, Event::Intended,         Some(At::Running),   Step::Execute,     None),
    (At::Intending, Event::IntendedTooLate,  Some(At::Leaving),   Step::Withdraw,    Some(Rejected)),
    (At::Intending, Event::Recorded,         None,                Step::Rest,        Some(Completed)),
    (At::Intending, Event::Conflict,         None,                Step::Rest,        Some(Conflict)),
    (At::Intending, Event::Held,             None,                Step::Rest,        Some(Rejected)),
    (At::Intending, Event::UnclearMayRepeat, Some(At::Intending), Step::IntendAgain, None),
    (At::Intending, Event::Unclear,          None,                Step::Rest,        Some(Aborted)),
    (At::Intending, Event::Failed,           None,                Step::Rest,        Some(Rejected)),
    (At::Intending, Event::FailedForGood,    None,                Step::Rest,        Some(Rejected)),
    (At::Intending, Event::Lost,             Some(At::Leaving),   Step::Withdraw,    Some(Rejected)),
    (At::Intending, Event::LostForGood,      Some(At::Leaving),   Step::Withdraw,    Some(Rejected)),
    (At::Intending, Event::TimeUp,           Some(At::Intending), Step::Rest,        Some(Rejected)),
    (At::Running,   Event::Completed,        Some(At::Recording), Step::Record,      None),
    (At::Running,   Event::Never,            Some(At::Leaving),   Step::Withdraw,    Some(Rejected)),
    (At::Running,   Event::Maybe,            Some(At::Leaving),   Step::MarkUnclear, Some(Aborted)),
    (At::Running,   Event::TimeUp,           Some(At::Running),   Step::Rest,        Some(Aborted)),
    (At::Recording, Event::Done,             None,                Step::Rest,        Some(Completed)),
    (At::Recording, Event::Recorded,         None,                Step::Rest,        Some(Completed)),
    (At::Recording, Event::Failed,           Some(At::Recording), Step::Record,      None),
    (At::Recording, Event::FailedForGood,    Some(At::Leaving),   Step::MarkUnclear, Some(Aborted)),
    (At::Recording, Event::Lost,             Some(At::Looking),   Step::Look,        None),
    (At::Recording, Event::LostForGood,      Some(At::Leaving),   Step::MarkUnclear, Some(Aborted)),
    (At::Recording, Event::Fenced,           None,                Step::Rest,        Some(Aborted)),
    (At::Recording, Event::Conflict,         None,                Step::Rest,        Some(Aborted)),
    (At::Recording, Event::TimeUp,           Some(At::Recording), Step::Rest,        Some(Aborted)),
    (At::Looking,   Event::Recorded,         None,                Step::Rest,        Some(Completed)),
    (At::Looking,   Event::Absent,           Some(At::Recording), Step::Record,      None),
    (At::Looking,   Event::Failed,           Some(At::Looking),   Step::Look,        None),
    (At::Looking,   Event::FailedForGood,    Some(At::Leaving),   Step::MarkUnclear, Some(Aborted)),
    (At::Looking,   Event::Lost,             Some(At::Looking),   Step::Look,        None),
    (At::Looking,   Event::LostForGood,      Some(At::Leaving),   Step::MarkUnclear, Some(Aborted)),
    (At::Looking,   Event::Fenced,           None,                Step::Rest,        Some(Aborted)),
    (At::Looking,   Event::Conflict,         None,                Step::Rest,        Some(Aborted)),
    (At::Looking,   Event::TimeUp,           Some(At::Looking),   Step::Rest,        Some(Aborted)),
    (At::Leaving,   Event::Done,             None,                Step::Rest,        None),
    (At::Leaving,   Event::Recorded,         None,                Step::Rest,        None),
    (At::Leaving,   Event::Fenced,           None,                Step::Rest,        None),
    (At::Leaving,   Event::Failed,           None,                Step::Rest,        None),
    (At::Leaving,   Event::FailedForGood,    None,                Step::Rest,        None),
    (At::Leaving,   Event::Lost,             None,                Step::Rest,        None),
    (At::Leaving,   Event::LostForGood,      None,                Step::Rest,        None),
];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Op {
    key: Key,
    digest: Digest,
    class: Class,
    at: At,
    fence: Option<u64>,
    answered: bool,
    tries: u8,
}

/// Emptied of an operation once nothing more is asked of the store for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    ops: BTreeMap<Id, Op>,
    table: &'static [Row],
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger::by(TABLE)
    }
}

impl Ledger {
    /// By another table: for showing that a wrong one is noticed.
    pub fn by(table: &'static [Row]) -> Ledger {
        Ledger { ops: BTreeMap::new(), table }
    }

    pub fn open(&self) -> usize {
        self.ops.len()
    }

    /// Whether a client still waits for its answer.
    pub fn owes(&self, id: Id) -> bool {
        self.ops.get(&id).is_some_and(|op| !op.answered)
    }

    pub fn step(&mut self, id: Id, input: Input) -> Vec<Effect> {
        if let Input::Ask { key, digest, class } = input {
            let op = Op {
                key: key.clone(),
                digest,
                class,
                at: At::Intending,
                fence: None,
                answered: false,
                tries: 0,
            };
            self.ops.insert(id, op);
            return vec![Effect::Intend { id, key, digest, again: false }];
        }
        let Some(op) = self.ops.get_mut(&id) else { return Vec::new() };
        let event = op.hear(&input);
        let Some(row) = self.table.iter().find(|row| row.0 == op.at && row.1 == event) else {
            return Vec::new();
        };
        let (key, digest, fence) = (op.key.clone(), op.digest, op.fence);
        let mut effects = Vec::new();
        if let Some(answer) = row.4.filter(|_| !op.answered) {
            op.answered = true;
            effects.push(Effect::Answer { id, answer });
        }
        match (row.3, fence) {
            (Step::Rest, _) => {}
            (Step::IntendAgain, _) => effects.push(Effect::Intend { id, key, digest, again: true }),
            (Step::Execute, _) => effects.push(Effect::Execute { id }),
            (Step::Record, Some(fence)) => effects.push(Effect::Record { id, key, digest, fence }),
            (Step::Look, Some(fence)) => effects.push(Effect::Look { id, key, digest, fence }),
            (Step::MarkUnclear, Some(fence)) => effects.push(Effect::MarkUnclear { id, key, fence }),
            (Step::Withdraw, _) => effects.push(Effect::Withdraw { id, key }),
            // Nothing is recorded of what was never intended: no row leads here.
            (Step::Record | Step::Look | Step::MarkUnclear, None) => {}
        }
        match row.2 {
            Some(at) => op.at = at,
            None => drop(self.ops.remove(&id)),
        }
        effects
    }
}

impl Op {
    fn hear(&mut self, input: &Input) -> Event {
        if let Input::Store(Reply::Intended { fence } | Reply::Absent { fence }) = input {
            self.fence = Some(*fence);
        }
        if let Input::Store(Reply::Failed | Reply::Lost) = input {
            self.tries = self.tries.saturating_add(1);
        }
        let for_good = self.tries > TRIES;
        match input {
            Input::Store(Reply::Intended { .. }) if self.answered => Event::IntendedTooLate,
            Input::Store(Reply::Intended { .. }) => Event::Intended,
            Input::Store(Reply::Recorded) => Event::Recorded,
            Input::Store(Reply::Conflict) => Event::Conflict,
            Input::Store(Reply::Held) => Event::Held,
            Input::Store(Reply::IsUnclear) if self.class == Class::MayRepeat && !self.answered => {
                Event::UnclearMayRepeat
            }
            Input::Store(Reply::IsUnclear) => Event::Unclear,
            Input::Store(Reply::Absent { .. }) => Event::Absent,
            Input::Store(Reply::Fenced) => Event::Fenced,
            Input::Store(Reply::Done) => Event::Done,
            Input::Store(Reply::Failed) if for_good => Event::FailedForGood,
            Input::Store(Reply::Failed) => Event::Failed,
            Input::Store(Reply::Lost) if for_good => Event::LostForGood,
            Input::Store(Reply::Lost) => Event::Lost,
            Input::Ran(Ran::Completed) => Event::Completed,
            Input::Ran(Ran::Never) => Event::Never,
            Input::Ran(Ran::Maybe) => Event::Maybe,
            Input::TimeUp | Input::Ask { .. } => Event::TimeUp,
        }
    }
}
