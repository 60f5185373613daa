//! Traces single statements through the log by their ids. Lines are written at the level `debug` only, and
//! not even formatted at higher levels.

use crate::reducer::{Answer, Destination, ExecutionResult, Input};
use bramblewharf::interface::Id;
use bramblewharf::scheduler::{Refusal, Rule};
use slog::{Drain as _, Logger};
use std::net::SocketAddr;
use std::time::Duration;

/// Writes the lines about single statements, attempts and changes of the engine list.
pub struct Trace {
    log: Logger,
    enabled: bool,
}

/// An attempt to be sent to an engine.
pub struct Attempt<'a> {
    /// The statement.
    pub id: &'a Id,
    /// Number of the execution within the statement.
    pub execution: usize,
    pub destination: &'a Destination,
    pub timeout: Duration,
    /// How long ago the list of engines was last confirmed.
    pub list_age: Duration,
}

impl Trace {
    /// A trace that is enabled if the log accepts lines of the level `debug`.
    pub fn new(log: &Logger) -> Trace {
        Trace { log: log.clone(), enabled: log.is_debug_enabled() }
    }

    /// Logs an input of the reducer, if it concerns a single statement.
    pub fn input(&self, input: &Input) {
        if !self.enabled {
            return;
        }
        match input {
            Input::Statement(submitted) => {
                slog::debug!(self.log, "statement taken"; "id" => &*submitted.statement.id, "caller" => submitted.caller,
                    "workload" => submitted.statement.workload, "deadline_ms" => submitted.statement.time_left.as_millis() as u64);
            }
            Input::ClientDisconnected(id) => slog::debug!(self.log, "client left"; "id" => &**id),
            Input::ClientAway(id, absent) => {
                slog::debug!(self.log, "client started or stopped polling"; "id" => &**id, "absent" => absent);
            }
            Input::ExecutionEnded { id, execution, result } => self.ended(id, *execution, result),
            Input::ExecutionArrived { id, execution } => {
                slog::debug!(self.log, "attempt arrived"; "id" => &**id, "execution" => execution);
            }
            Input::CancelFinished { id, execution, outcome } => {
                slog::debug!(self.log, "attempt given up, engine notified"; "id" => &**id, "execution" => execution,
                    "after" => ?outcome);
            }
            _ => {}
        }
    }

    fn ended(&self, id: &Id, execution: usize, result: &ExecutionResult) {
        slog::debug!(self.log, "attempt ended"; "id" => &**id, "execution" => execution,
            "outcome" => ?result.outcome, "pages" => result.pages.len());
    }

    /// Logs an attempt that the scheduler has decided on; no byte of it has been sent yet.
    pub fn decided(&self, attempt: &Attempt<'_>) {
        if self.enabled {
            slog::debug!(self.log, "attempt decided"; "id" => &**attempt.id, "execution" => attempt.execution,
                "engine" => attempt.destination.name(), "address" => %attempt.destination.address,
                "timeout_ms" => attempt.timeout.as_millis() as u64,
                "list_age_ms" => attempt.list_age.as_millis() as u64);
        }
    }

    /// Logs that the send guard let an attempt's first byte go out, or held it back by this rule.
    pub fn send_guard(&self, id: &Id, execution: usize, held_back_by: Option<Rule>, list_age: Duration) {
        if self.enabled {
            let (rule, age) = (held_back_by.map(|rule| format!("{rule:?}")), list_age.as_millis() as u64);
            slog::debug!(self.log, "attempt goes out"; "id" => &**id, "execution" => execution,
                "held_back_by" => rule, "list_age_ms" => age);
        }
    }

    /// Logs that an attempt is given up.
    pub fn stopped(&self, id: &Id, execution: usize, destination: &Destination) {
        if self.enabled {
            slog::debug!(self.log, "attempt given up"; "id" => &**id, "execution" => execution, "engine" => destination.name());
        }
    }

    /// Logs the statements that the scheduler gave up, each with its reason.
    pub fn refused(&self, refused: &[(Id, Refusal)]) {
        for (id, why) in refused.iter().filter(|_| self.enabled) {
            slog::debug!(self.log, "statement given up"; "id" => &**id, "why" => ?why);
        }
    }

    /// Logs the one final answer of a statement.
    pub fn answered(&self, caller: u64, answer: &Answer, awaited: bool) {
        if self.enabled {
            let answer = match answer {
                Answer::Completed(_) => "completed",
                Answer::Rejected(_) => "rejected",
                Answer::Aborted => "aborted",
                Answer::InUse => "id in use",
            };
            slog::debug!(self.log, "statement answered"; "caller" => caller, "answer" => answer, "awaited" => awaited);
        }
    }

    /// Logs an engine that is new on the list or has changed its state.
    pub fn listed(&self, id: &str, state: &str, address: Option<SocketAddr>) {
        if self.enabled {
            let address = address.map(|address| address.to_string());
            slog::debug!(self.log, "engine on the list"; "engine" => id, "state" => state, "address" => address);
        }
    }
}
