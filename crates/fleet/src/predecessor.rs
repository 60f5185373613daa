//! What is known of the executions that earlier processes of this member id may have in flight.
//!
//! `Usage` counts those executions as in use. This module tracks whether that count is complete, which
//! decides when this member may use its floor again and when the leader may reassign the predecessor's grant.

use crate::outstanding::Record;
use crate::Incarnation;

/// What is known at the start of the previous process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// It has ended, and engines have read all that it sent: executions may only keep running for a while.
    #[default]
    Ended,
    /// Nothing: it may have anything in flight at any engine.
    Unknown,
    /// It left a record of its executions in flight.
    Recorded(Record),
}

/// Progress of accounting for the executions of earlier processes, and of reporting it to the leader.
pub struct Succession {
    record: Option<Record>,
    /// All executions that earlier processes may have in flight are counted.
    complete: bool,
    /// The last request to a leader reported that nothing is left.
    reported_nothing_left: bool,
    /// A leader has replied to such a request.
    reported: bool,
    number: u64,
}

impl Succession {
    /// Starts with what the previous process left.
    pub fn start(predecessor: Predecessor) -> Succession {
        let record = match predecessor {
            Predecessor::Recorded(record) => Some(record),
            Predecessor::Ended | Predecessor::Unknown => None,
        };
        Succession { record, complete: false, reported_nothing_left: false, reported: false, number: 0 }
    }

    /// Whether everything in flight is counted.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Everything that was in flight is counted, or has ended.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Compares the record with the predecessors that a leader knows, the latest last. Returns whether that
    /// has just shown the count to be complete.
    pub fn check_predecessors(&mut self, predecessors: &[Incarnation]) -> bool {
        let now_complete =
            !self.complete && self.record.as_ref().is_some_and(|record| record.is_of_latest(predecessors));
        self.complete |= now_complete;
        now_complete
    }

    /// Whether a leader has yet to be informed or to reply.
    pub fn has_report(&self) -> bool {
        !self.reported
    }

    /// Notes a request that reports how much is left, if that is known. Returns the request's number.
    pub fn next_request(&mut self, remaining: Option<&Vec<u64>>) -> u64 {
        self.reported_nothing_left =
            remaining.is_some_and(|remaining| remaining.iter().all(|remaining| *remaining == 0));
        self.number += 1;
        self.number
    }

    /// Whether a reply belongs to the latest request.
    pub fn is_latest(&self, number: u64) -> bool {
        number == self.number
    }

    /// The latest request was answered.
    pub fn acknowledge(&mut self) {
        self.reported |= self.reported_nothing_left;
    }
}
