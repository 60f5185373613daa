//! What gateways of one fleet agree on, without I/O or a clock: `(state, input, now) -> effects`.
//!
//! `seat`: the few that agree on who keeps the leave, by leases of a majority, with nothing on disk. `keeper`: who has leave of
//! which budget, how much and until when; who is a member. `holder`: how a gateway asks for its leave. `outstanding`: what a gateway has out
//! at engines, for the process after it, and `predecessor`: what a process knows of the one before. `node` puts them together, `wire` writes and reads what they say to one another. Why it is so: `docs/design/fleet.md`.

pub mod holder;
pub mod keeper;
pub mod node;
pub mod outstanding;
pub mod predecessor;
pub mod seat;
pub mod wire;

pub use holder::{Holder, Leave};
pub use keeper::{Keeper, Member, Standing};
pub use node::{Effect, Node, Status};
pub use wire::{Envelope, Key, Message};

use bramblewharf_budgets::MAX_GAP;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What all gateways of a fleet must be told alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Of the fleet's name: what another fleet says is passed over.
    pub fleet: u64,
    /// Places, each a right to a floor, numbered from 0; one process at a time has one.
    pub places: u32,
    /// Seats that agree, numbered from 0.
    pub seats: u8,
    /// How long leave lasts, and as long a keeper's own right to give it.
    pub lease: Duration,
    /// By how many percent a clock may run fast or slow.
    pub drift_percent: u32,
    /// The longest that an execution may run after its leave has ended, and engines' time beyond it.
    pub run_out: Duration,
    /// How long an engine goes on with what nobody asks for any more.
    pub engines_keep: Duration,
    /// A known mistake, put in on purpose to see that the checkers find it. No settings lead here.
    pub wrong: Option<Wrong>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// A part is given anew as soon as its holder is in doubt.
    GivesAnewAtOnce,
    /// A holder counts its leave from when the answer came.
    CountsFromAnswer,
    /// A seat votes for a second keeper while the first one's right lasts.
    TwoKeepers,
    /// A new keeper gives from an empty book at once.
    NoWaitingOut,
    /// What a killed gateway had is free when its place is back.
    FreeAtTheKill,
    /// A process takes what the one before it had out for over, though no engine has been heard and no record read.
    SettledUnheard,
    /// A seat that has just started votes at once.
    VotesUnknowing,
    /// An answer to an earlier question counts too.
    AnyAnswerCounts,
    /// Time that the keeper itself has slept through ends other gateways' leave.
    SleepCounts,
}

impl Terms {
    pub fn is_wrong(&self, wrong: Wrong) -> bool {
        self.wrong == Some(wrong)
    }

    /// At least as long by any clock of the fleet as `span` is by any other, one jump that nobody saw included.
    pub fn longer(&self, span: Duration) -> Duration {
        let drift = self.drift_percent.min(50);
        span * (100 + drift) / (100 - drift) + MAX_GAP
    }

    /// How long a send that was decided in time may take to its engine.
    pub fn on_its_way(&self) -> Duration {
        self.lease / 4
    }

    /// How long after the last word of a holder what it had may still be in use.
    pub fn until_free(&self) -> Duration {
        self.longer(self.lease + self.on_its_way() + self.run_out)
    }

    /// How long an execution that was sent and not heard of may yet begin at its engine and run there. An engine may read a call
    /// late: what is not known to be over counts for as long as what a gateway had that fell silent.
    pub fn unheard(&self) -> Duration {
        self.until_free()
    }

    /// How long what a killed process had running may go on.
    pub fn ghost(&self) -> Duration {
        self.longer(self.engines_keep)
    }

    pub fn majority(&self) -> usize {
        usize::from(self.seats) / 2 + 1
    }
}

/// A process: new with every start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
