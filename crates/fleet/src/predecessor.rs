//! What processes before this one may have out at engines, and what has been heard of it since the start.
//!
//! What is out is counted in use by `Usage`. Here stands whether that is all there is, which decides when this place's floor may be
//! used again and when the keeper may give away what the one before had.

use crate::outstanding::Record;
use crate::Incarnation;

/// What is known of the process before at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// It has ended, and engines have read all that it sent: they only go on for a while.
    #[default]
    Ended,
    /// Nothing: it may have anything out at any engine.
    Unknown,
    /// It kept what it had out.
    Recorded(Record),
}

/// How far what went before this process is known.
pub struct Succession {
    record: Option<Record>,
    /// All that may be out of processes before is counted.
    complete: bool,
    /// The last question to a keeper said that nothing is left, and it was answered.
    asked_nothing: bool,
    told: bool,
    number: u64,
}

impl Succession {
    pub fn start(predecessor: Predecessor) -> Succession {
        let record = match predecessor {
            Predecessor::Recorded(record) => Some(record),
            Predecessor::Ended | Predecessor::Unknown => None,
        };
        Succession { record, complete: false, asked_nothing: false, told: false, number: 0 }
    }

    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// All that was out is counted, or over.
    pub fn completed(&mut self) {
        self.complete = true;
    }

    /// What a keeper knows of those that were here, the latest last. Whether that shows that all is counted.
    pub fn heard(&mut self, former: &[Incarnation]) -> bool {
        let shown = !self.complete && self.record.as_ref().is_some_and(|record| record.is_of_last(former));
        self.complete |= shown;
        shown
    }

    /// Whether a keeper has yet to hear something, or to be heard.
    pub fn has_news(&self) -> bool {
        !self.told
    }

    /// A keeper is asked, and told that so much is left where that is known: the question's number.
    pub fn ask(&mut self, rest: Option<&Vec<u64>>) -> u64 {
        self.asked_nothing = rest.is_some_and(|rest| rest.iter().all(|rest| *rest == 0));
        self.number += 1;
        self.number
    }

    /// Whether an answer is to the last question.
    pub fn is_last(&self, number: u64) -> bool {
        number == self.number
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.told |= self.asked_nothing;
    }
}
