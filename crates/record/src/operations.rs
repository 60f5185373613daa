//! State machine of each recorded operation: what must be written to the store, and what the client may be
//! answered. `(state, input) -> effects`, without I/O or clock. The intent is written before the execution
//! and the revision after it; the client is answered with `Completed` only once the revision is durable.

use crate::store::Digest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Identifies an operation within this process.
pub type OperationId = u64;
/// Identifies an operation for its client, over all gateways.
pub type Key = Arc<str>;

/// How often a failed write, or a check without a result, is retried.
const MAX_RETRIES: u8 = 3;

/// Whether an operation may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RepeatClass {
    /// Engines discard a repeated execution, or it does no harm.
    Repeatable,
    /// A repeated execution may take effect twice.
    NonIdempotent,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionOutcome {
    /// It ran and completed.
    Completed,
    /// It certainly did not run, as the sender has proved.
    NotRun,
    /// It may have run.
    MaybeRan,
}

/// Outcome of a transaction of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The key belongs to this gateway now; writes for it must carry this fencing token.
    Intended { fence: u64 },
    /// A revision with this key and digest exists.
    Recorded,
    /// A revision or an intent with this key and another digest exists.
    Conflict,
    /// Another owner holds the key under a valid lease.
    HeldByOther,
    /// An earlier execution under this key may have run; that was never resolved.
    InDoubt,
    /// No revision exists, and earlier writes of this operation are fenced off.
    NotRecorded { fence: u64 },
    /// The key no longer belongs to this owner and fencing token.
    Fenced,
    /// The transaction is committed.
    Done,
    /// Nothing was written, for certain.
    Failed,
    /// It may or may not have been written.
    Unknown,
}

/// What happened to an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A client asks for it.
    Begin { key: Key, digest: Digest, class: RepeatClass },
    /// The store has replied to the latest effect.
    StoreReplied(Reply),
    /// The execution has ended.
    ExecutionEnded(ExecutionOutcome),
    /// The deadline of the statement has passed.
    DeadlinePassed,
}

/// What the client is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It ran, and its revision is durable.
    Completed,
    /// Nothing ran: the client may repeat it.
    Rejected,
    /// It may have run.
    Aborted,
    /// The key is in use for other content.
    Conflict,
}

/// What the caller must do for an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write the intent. `replace_in_doubt`: replace an earlier one that is in doubt.
    Intend { id: OperationId, key: Key, digest: Digest, replace_in_doubt: bool },
    /// Send the execution.
    Execute { id: OperationId },
    /// Write the revision.
    Record { id: OperationId, key: Key, digest: Digest, fence: u64 },
    /// Check for the revision on another connection, and fence off earlier writes of this operation.
    CheckRecorded { id: OperationId, key: Key, digest: Digest, fence: u64 },
    /// Delete the intent of this operation, if there is one: nothing ran.
    Withdraw { id: OperationId, key: Key },
    /// Mark the intent as in doubt: it may have run.
    MarkInDoubt { id: OperationId, key: Key, fence: u64 },
    /// Answer the client.
    Answer { id: OperationId, answer: Answer },
}

/// Progress of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Its intent is being written.
    Intending,
    /// Its execution is in flight.
    Running,
    /// Its revision is being written.
    Recording,
    /// The store is checked for its revision.
    Checking,
    /// Its intent is being deleted or marked; nothing depends on the reply.
    Cleanup,
}

/// An input combined with the class, the retries so far, and whether the client has its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Intended,
    /// The client has its answer already, as the deadline has passed.
    IntendedTooLate,
    Recorded,
    Conflict,
    HeldByOther,
    InDoubtRepeatable,
    InDoubt,
    NotRecorded,
    Fenced,
    Done,
    Failed,
    /// Failed, with no retries left.
    FailedTooOften,
    Unknown,
    /// Unknown, with no retries left.
    UnknownTooOften,
    Completed,
    NotRun,
    MaybeRan,
    DeadlinePassed,
}

/// What a transition asks of the store or the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Nothing,
    ReplaceIntent,
    Execute,
    Record,
    CheckRecorded,
    Withdraw,
    MarkInDoubt,
}

/// State, event, next state (none: finished), action, and the answer to the client unless it has one already.
pub type Transition = (State, Event, Option<State>, Action, Option<Answer>);

use Answer::*;
/// The transitions. A pair of state and event that is not listed changes nothing.
#[rustfmt::skip]
pub const TRANSITIONS: &[Transition] = &[
    (State::Intending, Event::Intended,          Some(State::Running),   Action::Execute,       None),
    (State::Intending, Event::IntendedTooLate,   Some(State::Cleanup),   Action::Withdraw,      Some(Rejected)),
    (State::Intending, Event::Recorded,          None,                   Action::Nothing,       Some(Completed)),
    (State::Intending, Event::Conflict,          None,                   Action::Nothing,       Some(Conflict)),
    (State::Intending, Event::HeldByOther,       None,                   Action::Nothing,       Some(Rejected)),
    (State::Intending, Event::InDoubtRepeatable, Some(State::Intending), Action::ReplaceIntent, None),
    (State::Intending, Event::InDoubt,           None,                   Action::Nothing,       Some(Aborted)),
    (State::Intending, Event::Failed,            None,                   Action::Nothing,       Some(Rejected)),
    (State::Intending, Event::FailedTooOften,    None,                   Action::Nothing,       Some(Rejected)),
    (State::Intending, Event::Unknown,           Some(State::Cleanup),   Action::Withdraw,      Some(Rejected)),
    (State::Intending, Event::UnknownTooOften,   Some(State::Cleanup),   Action::Withdraw,      Some(Rejected)),
    (State::Intending, Event::DeadlinePassed,    Some(State::Intending), Action::Nothing,       Some(Rejected)),
    (State::Running,   Event::Completed,         Some(State::Recording), Action::Record,        None),
    (State::Running,   Event::NotRun,            Some(State::Cleanup),   Action::Withdraw,      Some(Rejected)),
    (State::Running,   Event::MaybeRan,          Some(State::Cleanup),   Action::MarkInDoubt,   Some(Aborted)),
    (State::Running,   Event::DeadlinePassed,    Some(State::Running),   Action::Nothing,       Some(Aborted)),
    (State::Recording, Event::Done,              None,                   Action::Nothing,       Some(Completed)),
    (State::Recording, Event::Recorded,          None,                   Action::Nothing,       Some(Completed)),
    (State::Recording, Event::Failed,            Some(State::Recording), Action::Record,        None),
    (State::Recording, Event::FailedTooOften,    Some(State::Cleanup),   Action::MarkInDoubt,   Some(Aborted)),
    (State::Recording, Event::Unknown,           Some(State::Checking),  Action::CheckRecorded, None),
    (State::Recording, Event::UnknownTooOften,   Some(State::Cleanup),   Action::MarkInDoubt,   Some(Aborted)),
    (State::Recording, Event::Fenced,            None,                   Action::Nothing,       Some(Aborted)),
    (State::Recording, Event::Conflict,          None,                   Action::Nothing,       Some(Aborted)),
    (State::Recording, Event::DeadlinePassed,    Some(State::Recording), Action::Nothing,       Some(Aborted)),
    (State::Checking,  Event::Recorded,          None,                   Action::Nothing,       Some(Completed)),
    (State::Checking,  Event::NotRecorded,       Some(State::Recording), Action::Record,        None),
    (State::Checking,  Event::Failed,            Some(State::Checking),  Action::CheckRecorded, None),
    (State::Checking,  Event::FailedTooOften,    Some(State::Cleanup),   Action::MarkInDoubt,   Some(Aborted)),
    (State::Checking,  Event::Unknown,           Some(State::Checking),  Action::CheckRecorded, None),
    (State::Checking,  Event::UnknownTooOften,   Some(State::Cleanup),   Action::MarkInDoubt,   Some(Aborted)),
    (State::Checking,  Event::Fenced,            None,                   Action::Nothing,       Some(Aborted)),
    (State::Checking,  Event::Conflict,          None,                   Action::Nothing,       Some(Aborted)),
    (State::Checking,  Event::DeadlinePassed,    Some(State::Checking),  Action::Nothing,       Some(Aborted)),
    (State::Cleanup,   Event::Done,              None,                   Action::Nothing,       None),
    (State::Cleanup,   Event::Recorded,          None,                   Action::Nothing,       None),
    (State::Cleanup,   Event::Fenced,            None,                   Action::Nothing,       None),
    (State::Cleanup,   Event::Failed,            None,                   Action::Nothing,       None),
    (State::Cleanup,   Event::FailedTooOften,    None,                   Action::Nothing,       None),
    (State::Cleanup,   Event::Unknown,           None,                   Action::Nothing,       None),
    (State::Cleanup,   Event::UnknownTooOften,   None,                   Action::Nothing,       None),
];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operation {
    key: Key,
    digest: Digest,
    class: RepeatClass,
    state: State,
    fence: Option<u64>,
    answered: bool,
    failures: u8,
}

/// All operations for which the store or the client still waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operations {
    operations: BTreeMap<OperationId, Operation>,
    transitions: &'static [Transition],
}

impl Default for Operations {
    fn default() -> Operations {
        Operations::with_table(TRANSITIONS)
    }
}

impl Operations {
    /// With another transition table, for tests that must detect a wrong one.
    pub fn with_table(transitions: &'static [Transition]) -> Operations {
        Operations { operations: BTreeMap::new(), transitions }
    }

    /// How many operations are unfinished.
    pub fn unfinished(&self) -> usize {
        self.operations.len()
    }

    /// Whether the client of this operation still waits for its answer.
    pub fn awaits_answer(&self, id: OperationId) -> bool {
        self.operations.get(&id).is_some_and(|operation| !operation.answered)
    }

    /// Applies an input to an operation and returns what the caller must do.
    pub fn step(&mut self, id: OperationId, input: Input) -> Vec<Effect> {
        if let Input::Begin { key, digest, class } = input {
            let operation = Operation {
                key: key.clone(),
                digest,
                class,
                state: State::Intending,
                fence: None,
                answered: false,
                failures: 0,
            };
            self.operations.insert(id, operation);
            return vec![Effect::Intend { id, key, digest, replace_in_doubt: false }];
        }
        let Some(operation) = self.operations.get_mut(&id) else { return Vec::new() };
        let event = operation.classify(&input);
        let Some(transition) = self
            .transitions
            .iter()
            .find(|transition| transition.0 == operation.state && transition.1 == event)
        else {
            return Vec::new();
        };
        let (key, digest, fence) = (operation.key.clone(), operation.digest, operation.fence);
        let mut effects = Vec::new();
        if let Some(answer) = transition.4.filter(|_| !operation.answered) {
            operation.answered = true;
            effects.push(Effect::Answer { id, answer });
        }
        match (transition.3, fence) {
            (Action::Nothing, _) => {}
            (Action::ReplaceIntent, _) => {
                effects.push(Effect::Intend { id, key, digest, replace_in_doubt: true })
            }
            (Action::Execute, _) => effects.push(Effect::Execute { id }),
            (Action::Record, Some(fence)) => effects.push(Effect::Record { id, key, digest, fence }),
            (Action::CheckRecorded, Some(fence)) => {
                effects.push(Effect::CheckRecorded { id, key, digest, fence })
            }
            (Action::MarkInDoubt, Some(fence)) => effects.push(Effect::MarkInDoubt { id, key, fence }),
            (Action::Withdraw, _) => effects.push(Effect::Withdraw { id, key }),
            // Unreachable: no transition leads here without an intent.
            (Action::Record | Action::CheckRecorded | Action::MarkInDoubt, None) => {}
        }
        match transition.2 {
            Some(state) => operation.state = state,
            None => drop(self.operations.remove(&id)),
        }
        effects
    }
}

impl Operation {
    fn classify(&mut self, input: &Input) -> Event {
        if let Input::StoreReplied(Reply::Intended { fence } | Reply::NotRecorded { fence }) = input {
            self.fence = Some(*fence);
        }
        if let Input::StoreReplied(Reply::Failed | Reply::Unknown) = input {
            self.failures = self.failures.saturating_add(1);
        }
        let retries_exhausted = self.failures > MAX_RETRIES;
        match input {
            Input::StoreReplied(Reply::Intended { .. }) if self.answered => Event::IntendedTooLate,
            Input::StoreReplied(Reply::Intended { .. }) => Event::Intended,
            Input::StoreReplied(Reply::Recorded) => Event::Recorded,
            Input::StoreReplied(Reply::Conflict) => Event::Conflict,
            Input::StoreReplied(Reply::HeldByOther) => Event::HeldByOther,
            Input::StoreReplied(Reply::InDoubt)
                if self.class == RepeatClass::Repeatable && !self.answered =>
            {
                Event::InDoubtRepeatable
            }
            Input::StoreReplied(Reply::InDoubt) => Event::InDoubt,
            Input::StoreReplied(Reply::NotRecorded { .. }) => Event::NotRecorded,
            Input::StoreReplied(Reply::Fenced) => Event::Fenced,
            Input::StoreReplied(Reply::Done) => Event::Done,
            Input::StoreReplied(Reply::Failed) if retries_exhausted => Event::FailedTooOften,
            Input::StoreReplied(Reply::Failed) => Event::Failed,
            Input::StoreReplied(Reply::Unknown) if retries_exhausted => Event::UnknownTooOften,
            Input::StoreReplied(Reply::Unknown) => Event::Unknown,
            Input::ExecutionEnded(ExecutionOutcome::Completed) => Event::Completed,
            Input::ExecutionEnded(ExecutionOutcome::NotRun) => Event::NotRun,
            Input::ExecutionEnded(ExecutionOutcome::MaybeRan) => Event::MaybeRan,
            Input::DeadlinePassed | Input::Begin { .. } => Event::DeadlinePassed,
        }
    }
}
