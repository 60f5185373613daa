//! What goes into the reducer and what comes out of it.

use bramblewharf::interface::*;
use bramblewharf_bodies::Body;
use bramblewharf_fleet::{node, outstanding, Envelope};
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What goes on unchanged to an engine.
#[derive(Debug)]
pub struct Parcel {
    pub id: Bytes,
    pub workload: Bytes,
    pub key: Option<Bytes>,
    pub text: Text,
}

/// A statement's text: as it came, or, beyond the ordinary size, where it is kept.
#[derive(Clone, Debug)]
pub enum Text {
    Whole(Bytes),
    Body(Rc<Body>),
}

#[derive(Debug)]
pub struct Taken {
    /// Whom the answer goes to: a number of the front's own.
    pub caller: u64,
    pub said: NewStatement,
    pub parcel: Parcel,
}

#[derive(Debug)]
pub enum Input {
    Statement(Taken),
    /// The client has left, or its connection has.
    Left(Id),
    /// No call of its client is open, or one is again.
    Absent(Id, bool),
    /// Its text can't be sent again any more.
    Unkept(Id),
    Noted {
        id: Id,
        execution: usize,
        note: Note,
    },
    Ended {
        id: Id,
        execution: usize,
        ending: Ending,
    },
    /// Its engine has shown that it has it.
    Arrived {
        id: Id,
        execution: usize,
    },
    /// The engine of a stopped execution has been told to end it, or could not be.
    Stopped {
        id: Id,
        execution: usize,
        after: AfterCancel,
    },
    /// An engine that was to be heard has read all that had been sent to it before, or did not answer.
    EngineHeard {
        has_read: bool,
    },
    Engines(ListKind, Vec<Listed>),
    /// The name service was listened to just now; its last usable answer is to a question of then, where there is a new one.
    ListAsked(Option<Duration>),
    /// The name service told a list of an earlier number.
    ListDisputed(Vec<Listed>),
    /// There is no name service to ask any longer.
    ListStays,
    /// What another gateway told.
    Told(Event),
    /// What another part of the fleet said, and from where.
    Fleet(Envelope, SocketAddr),
    /// How a write of what has to last of the fleet's policy went.
    Kept {
        generation: u64,
        well: bool,
    },
    /// The gateway leaves the fleet: nothing more of it comes.
    Depart,
    /// Something may be due.
    Wake,
    /// The gateway will close: what it begins from now on has to be over by then.
    Closing(Duration),
    /// The gateway closes: what is still unanswered is aborted, and what yet comes is turned away.
    Close,
}

/// What is known of an execution once its engine was told to end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterCancel {
    /// The engine had it, and has ended it.
    Over,
    /// The engine answers, but nothing shows that it had it: what was sent may wait in a connection that it has not read.
    Unread,
    /// The engine refused the connection: its process is gone.
    Gone,
    /// No connection came up to the engine's machine, for as long as an engine goes on with what nobody asks for, or until it answered
    /// again and did not have it: it was cut off, and what it had not received by then it does not receive any more.
    CutOff,
    /// The engine did not answer.
    Unknown,
}

/// An engine of the list, and where it listens.
#[derive(Clone, Debug)]
pub struct Listed {
    pub entry: EngineEntry,
    pub address: SocketAddr,
}

/// How an execution ended, as the engine or the network told.
#[derive(Debug)]
pub struct Ending {
    pub outcome: Outcome,
    /// Of a completed one, all pages in order.
    pub pages: Vec<Bytes>,
    pub consumed: Option<(Duration, f64)>,
    pub report: Option<LoadReport>,
    /// It was sent on a connection that fell silent, and nothing shows that the engine has read it: it may do so yet.
    pub unread: bool,
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Ending {
        Ending { outcome, pages: Vec::new(), consumed: None, report: None, unread: false }
    }
}

/// The one final answer of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Completed(Vec<Bytes>),
    Rejected(Option<Duration>),
    Aborted,
    /// The id is that of a statement that is still held.
    InUse,
}

#[derive(Debug)]
pub enum Effect {
    Answer {
        caller: u64,
        answer: Answer,
    },
    Start {
        id: Id,
        execution: usize,
        engine: Id,
        address: SocketAddr,
        parcel: Rc<Parcel>,
        mem_mb: f64,
        timeout: Duration,
        /// After this, as the clock shows it where it is sent, the leave for it is over.
        not_after: Option<Duration>,
    },
    /// Nothing more is wanted of an execution: the engine is told, and no one listens any longer.
    Stop {
        id: Id,
        execution: usize,
        engine: Id,
        address: SocketAddr,
        cancel: Cancel,
    },
    Tell {
        to: Option<u32>,
        message: GossipMessage,
    },
    /// To be written to the record of what is out before whatever follows.
    Record(outstanding::Write),
    /// An engine is to be heard: whether it has read all that was sent to it before.
    Hear {
        address: SocketAddr,
        /// Of no statement.
        name: Id,
        within: Duration,
    },
    /// To be kept before anything that rests on it is said.
    Keep {
        generation: u64,
        bytes: Vec<u8>,
    },
    /// To another part of the fleet.
    Say {
        to: node::Recipient,
        envelope: Envelope,
    },
}

/// How an engine is told to end an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// The engine has shown that it had it.
    pub arrived: bool,
    /// For how long an engine is told that does not answer.
    pub within: Duration,
    /// Something waits for the execution to be over. Until it has arrived it is asked for, not cancelled: a cancel that is read first
    /// would hide it.
    pub awaited: bool,
}
