//! What happens to each statement, by its id, for whoever follows one through the log: written at the level `debug` only, and not
//! even put together above it.

use crate::reducer::{Answer, ExecutionResult, Input};
use bramblewharf::interface::Id;
use bramblewharf::scheduler::{Refusal, Rule};
use slog::{Drain as _, Logger};
use std::net::SocketAddr;
use std::time::Duration;

/// The lines of single statements, attempts and changes of the list.
pub struct Trace {
    log: Logger,
    on: bool,
}

/// An attempt that goes out.
pub struct Attempt<'a> {
    pub id: &'a Id,
    pub execution: usize,
    pub engine: &'a Id,
    pub address: SocketAddr,
    pub timeout: Duration,
    /// How long ago the list of engines was last confirmed.
    pub list_age: Duration,
}

impl Trace {
    /// Writes where the log takes lines of the level `debug`.
    pub fn new(log: &Logger) -> Trace {
        Trace { log: log.clone(), on: log.is_debug_enabled() }
    }

    /// What came from outside.
    pub fn input(&self, input: &Input) {
        if !self.on {
            return;
        }
        match input {
            Input::Statement(submitted) => {
                slog::debug!(self.log, "statement taken"; "id" => &*submitted.statement.id, "caller" => submitted.caller,
                    "workload" => submitted.statement.workload, "deadline_ms" => submitted.statement.time_left.as_millis() as u64);
            }
            Input::ClientDisconnected(id) => slog::debug!(self.log, "client left"; "id" => &**id),
            Input::ClientAway(id, absent) => {
                slog::debug!(self.log, "client between calls"; "id" => &**id, "absent" => absent);
            }
            Input::ExecutionEnded { id, execution, result } => self.ended(id, *execution, result),
            Input::ExecutionArrived { id, execution } => {
                slog::debug!(self.log, "attempt arrived"; "id" => &**id, "execution" => execution);
            }
            Input::CancelFinished { id, execution, outcome } => {
                slog::debug!(self.log, "attempt given up, engine told"; "id" => &**id, "execution" => execution,
                    "after" => ?outcome);
            }
            _ => {}
        }
    }

    fn ended(&self, id: &Id, execution: usize, result: &ExecutionResult) {
        slog::debug!(self.log, "attempt ended"; "id" => &**id, "execution" => execution,
            "outcome" => ?result.outcome, "pages" => result.pages.len());
    }

    /// An attempt that the decisions have begun; no byte of it has gone out yet.
    pub fn decided(&self, attempt: &Attempt<'_>) {
        if self.on {
            slog::debug!(self.log, "attempt decided"; "id" => &**attempt.id, "execution" => attempt.execution,
                "engine" => &**attempt.engine, "address" => %attempt.address,
                "timeout_ms" => attempt.timeout.as_millis() as u64,
                "list_age_ms" => attempt.list_age.as_millis() as u64);
        }
    }

    /// The guard let an attempt's first byte go out, or held it back by this rule.
    pub fn goes_out(&self, id: &Id, execution: usize, lapsed: Option<Rule>, list_age: Duration) {
        if self.on {
            let (rule, age) = (lapsed.map(|rule| format!("{rule:?}")), list_age.as_millis() as u64);
            slog::debug!(self.log, "attempt goes out"; "id" => &**id, "execution" => execution,
                "held_back_by" => rule, "list_age_ms" => age);
        }
    }

    /// An attempt is given up.
    pub fn stops(&self, id: &Id, execution: usize, engine: &Id) {
        if self.on {
            slog::debug!(self.log, "attempt given up"; "id" => &**id, "execution" => execution, "engine" => &**engine);
        }
    }

    /// The decisions gave a statement up.
    pub fn refused(&self, refused: &[(Id, Refusal)]) {
        for (id, why) in refused.iter().filter(|_| self.on) {
            slog::debug!(self.log, "statement given up"; "id" => &**id, "why" => ?why);
        }
    }

    /// The one final answer.
    pub fn answered(&self, caller: u64, answer: &Answer, awaited: bool) {
        if self.on {
            let answer = match answer {
                Answer::Completed(_) => "completed",
                Answer::Rejected(_) => "rejected",
                Answer::Aborted => "aborted",
                Answer::InUse => "id in use",
            };
            slog::debug!(self.log, "statement answered"; "caller" => caller, "answer" => answer, "awaited" => awaited);
        }
    }

    /// An engine is on the list anew, or in another state.
    pub fn listed(&self, id: &str, state: &str, address: Option<SocketAddr>) {
        if self.on {
            let address = address.map(|address| address.to_string());
            slog::debug!(self.log, "engine on the list"; "engine" => id, "state" => state, "address" => address);
        }
    }
}
