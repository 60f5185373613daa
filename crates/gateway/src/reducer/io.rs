//! The inputs and effects of the reducer.

use bramblewharf::interface::*;
use bramblewharf_bodies::Body;
use bramblewharf_fleet::{node, outstanding, Envelope};
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The parts of a client's call that are forwarded to an engine unchanged.
#[derive(Debug)]
pub struct EngineRequest {
    pub id: Bytes,
    pub workload: Bytes,
    pub key: Option<Bytes>,
    pub text: StatementText,
}

/// A statement's text: inline, or in the body store if it exceeds the ordinary size.
#[derive(Clone, Debug)]
pub enum StatementText {
    Inline(Bytes),
    Stored(Rc<Body>),
}

/// A statement as the front end hands it over.
#[derive(Debug)]
pub struct SubmittedStatement {
    /// Identifies the waiting call in the front end; the answer is addressed to it.
    pub caller: u64,
    pub statement: NewStatement,
    pub engine_request: EngineRequest,
}

/// Everything that can change the reducer's state, apart from time.
#[derive(Debug)]
pub enum Input {
    Statement(SubmittedStatement),
    /// The client cancelled its statement or closed the connection.
    ClientDisconnected(Id),
    /// Whether the client is away, that is, has no call open to wait for the answer.
    ClientAway(Id, bool),
    /// The statement's body is no longer available, so the statement can't be sent again.
    BodyLost(Id),
    /// An interim report of the engine on an execution.
    ExecutionNoted {
        id: Id,
        execution: usize,
        note: Note,
    },
    /// The engine's response to an execution, or the failure of its connection.
    ExecutionEnded {
        id: Id,
        execution: usize,
        result: ExecutionResult,
    },
    /// The engine has shown that it has received the execution.
    ExecutionArrived {
        id: Id,
        execution: usize,
    },
    /// The cancel of a stopped execution has been delivered, or given up.
    CancelFinished {
        id: Id,
        execution: usize,
        outcome: CancelOutcome,
    },
    /// Response to `Effect::ProbeEngine`: whether the engine has read everything that was sent to it before.
    EngineProbed {
        has_read: bool,
    },
    EngineList(ListKind, Vec<ListedEngine>),
    /// The name service was polled just now. If it confirmed the list: the time of the question that it
    /// answered.
    ListPolled(Option<Duration>),
    /// The name service returned a list with a lower number than the current one.
    ListConflict(Vec<ListedEngine>),
    /// No name service is configured any longer.
    ListPollingStopped,
    /// A message of another gateway about engines.
    PeerEvent(Event),
    /// A message of the fleet's protocol, and its sender.
    FleetMessage(Envelope, SocketAddr),
    /// Response to `Effect::StorePolicy`.
    PolicyStored {
        generation: u64,
        succeeded: bool,
    },
    /// The gateway leaves the fleet and sends nothing more.
    LeaveFleet,
    /// A timer may have expired.
    Wake,
    /// The gateway will close: executions that start from now on have to end by this time.
    Closing(Duration),
    /// The gateway closes: open statements are aborted and new ones rejected.
    Close,
}

/// What is known of an execution after its cancel. The variants are printed in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The engine had received the execution and has ended it.
    Over,
    /// The engine answers, but nothing shows that it received the execution, which may wait unread in a
    /// connection.
    Unread,
    /// The engine refuses connections, and the execution can't run any more: the list has dropped the engine,
    /// or nobody could ask for the execution for longer than it runs unasked.
    Gone,
    /// No connection to the engine's machine could be made for the whole orphan retention, until the list
    /// dropped the engine, or until the engine answered again without knowing the execution. The connection
    /// was reset: what the engine had not received by then never arrives.
    CutOff,
    /// The engine did not answer.
    Unknown,
}

/// An engine on the list, and the address where it listens.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    pub entry: EngineEntry,
    pub address: SocketAddr,
}

/// Where an execution was sent: to one process of an engine. Its address does not identify it, as a new engine
/// may have the address of one that is gone; nor does the engine's id, as an engine may start anew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// None where only the address is known: an execution of the previous process of this gateway.
    pub engine: Option<Id>,
    pub address: SocketAddr,
    /// By the list as it was when the execution was sent.
    pub started: ProcessStart,
    pub sent_at: Duration,
}

impl Destination {
    /// What listens at an address, whichever engine that is.
    pub fn at(address: SocketAddr) -> Destination {
        Destination { engine: None, address, started: ProcessStart::LongAgo, sent_at: Duration::ZERO }
    }

    /// Whether both were sent to the same process, by what the list said.
    pub fn is_same_process(&self, other: &Destination) -> bool {
        self.address == other.address && self.engine == other.engine && self.started == other.started
    }

    /// The name of the engine for the log.
    pub fn name(&self) -> String {
        self.engine.as_ref().map_or_else(|| self.address.to_string(), Id::to_string)
    }
}

/// How an execution ended, according to the engine or the network.
#[derive(Debug)]
pub struct ExecutionResult {
    pub outcome: Outcome,
    /// All pages in order, if the execution completed.
    pub pages: Vec<Bytes>,
    pub consumed: Option<(Duration, f64)>,
    pub report: Option<LoadReport>,
    /// The connection fell silent and nothing shows that the engine has read the execution: it may still
    /// start it.
    pub unread: bool,
}

impl From<Outcome> for ExecutionResult {
    fn from(outcome: Outcome) -> ExecutionResult {
        ExecutionResult { outcome, pages: Vec::new(), consumed: None, report: None, unread: false }
    }
}

/// The single final answer to a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Completed(Vec<Bytes>),
    /// With the delay after which the client may retry.
    Rejected(Option<Duration>),
    Aborted,
    /// The id belongs to a statement that is still held.
    InUse,
}

/// What the runtime has to carry out after a step, in this order.
#[derive(Debug)]
pub enum Effect {
    Answer {
        caller: u64,
        answer: Answer,
    },
    /// Send an execution to its engine.
    Start {
        id: Id,
        execution: usize,
        destination: Destination,
        engine_request: Rc<EngineRequest>,
        mem_mb: f64,
        timeout: Duration,
        /// End of the budget grant that covers the execution: its first byte must not be sent after this.
        not_after: Option<Duration>,
    },
    /// Drop an execution: stop reading its response and cancel it at the engine.
    Stop {
        id: Id,
        execution: usize,
        destination: Destination,
        cancel: Cancel,
    },
    /// Send a message about engines to one gateway, or to all.
    Gossip {
        to: Option<u32>,
        message: GossipMessage,
    },
    /// Write to the record of outstanding executions, before the effects that follow are carried out.
    RecordOutstanding(outstanding::Write),
    /// Find out whether an engine has read everything that was sent to it before.
    ProbeEngine {
        address: SocketAddr,
        /// An id that belongs to no statement.
        probe_id: Id,
        within: Duration,
    },
    /// Store the policy's state durably; messages that depend on it wait for `Input::PolicyStored`.
    StorePolicy {
        generation: u64,
        bytes: Vec<u8>,
    },
    /// Send a message of the fleet's protocol.
    SendToFleet {
        to: node::Recipient,
        envelope: Envelope,
    },
}

/// How an execution is cancelled at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// The engine has shown that it received the execution.
    pub arrived: bool,
    /// How long the cancel is retried while the engine does not answer.
    pub within: Duration,
    /// Something waits for the end of the execution. Until it has arrived, the engine is asked for it
    /// instead: a cancel that is read first would hide whether the execution is still to come.
    pub awaited: bool,
}
