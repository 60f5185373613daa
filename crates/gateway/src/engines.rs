//! Runs executions on engines over HTTP (awc) and maps how each one ends to an outcome. Only a connection
//! that was refused or never established, or the protocol's own marks, prove that nothing ran.

mod cancel;
mod execution;
mod fetch;
mod result_pages;

use crate::closes::{CloseCounts, CloseReason};
use crate::config::Bounds;
use crate::connection::{is_quiet, AnswerPosition, CallMemoryBook, Connection, Connections, TrackedStream};
use crate::reducer::{
    Cancel, CancelOutcome, Destination, EngineRequest, ExecutionResult, StatementText, MIN_CANCEL_WINDOW,
};
use crate::upload::{SlicedText, UploadBody, UploadWatch};
use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as DialError, ConnectInfo, Connection as Dialled};
use awc::http::{StatusCode, Uri};
use awc::{Client, ClientRequest, Connector, SendClientRequest};
use bramblewharf::call_memory::ORDINARY_ANSWER_BYTES;
use bramblewharf::engine_contact::{Contact, ContactHistory, EngineListing, READ_BOUND};
use bramblewharf::interface::*;
use bramblewharf_site::Names;
use bytes::Bytes;
use result_pages::{FetchError, ResultPages};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An engine answers within 250 ms, if only that the execution is still running; after this time the answer
/// counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the response timeout doubles, once per call without an answer: with a fixed timeout the answers
/// of a slow engine would always be given up just before they arrive, and it would get even more calls.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// A statement without an answer after this time is also polled on a second connection: most are complete by
/// then, and after a lost answer the scheduler would take the engine for slow. A page is available at once,
/// hence its shorter timeout.
const SECOND_POLL_DELAY: Duration = Duration::from_millis(100);
const PAGE_TIMEOUT: Duration = Duration::from_millis(100);
/// Second connections are used for this long after any call had to be retried: on reliable paths they are of
/// no use.
const SECOND_POLL_PERIOD: Duration = Duration::from_secs(30);
/// Pause before an engine is called again that could not be reached, failed twice in a row, or answered a
/// poll within `MIN_POLL_DURATION`.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
const MIN_POLL_DURATION: Duration = Duration::from_millis(5);
/// How long a connection stays idle between two executions: surplus bytes after an answer have arrived by
/// then, and are not taken for the answer to the next call.
const REUSE_DELAY: Duration = Duration::from_millis(250);
/// The longest pause between two attempts to cancel an execution.
const MAX_CANCEL_PAUSE: Duration = Duration::from_millis(400);
/// How often the result of an execution or a page is requested again after a malformed or missing answer.
const MAX_TRIES: usize = 5;

const EMPTY_BODY: StatementText = StatementText::Inline(Bytes::new());
const UNGUARDED: SendGuards<'static> = SendGuards { may_begin: &|| true, may_complete: &|| true };

/// The HTTP client for all engines, with its connection pool.
pub struct EngineClient {
    connections: Rc<Connections>,
    /// Pooled connections without an execution, the longest idle first. Together with the connections in use
    /// bounded by `bounds.engines`; closed after `idle_timeout`.
    idle_connections: RefCell<VecDeque<IdleConnection>>,
    idle_timeout: Duration,
    /// Calls that failed, timed out or got a malformed answer, since the start.
    retried: Cell<u64>,
    last_retry: Cell<Option<Instant>>,
    names: Names,
    bounds: Bounds,
    call_memory: Rc<CallMemoryBook>,
    dial_timeout: Duration,
    /// A statement must never have two executions in flight, not even while the request of one may still be
    /// on its way.
    one_at_a_time: bool,
}

/// The process that calls are meant for.
#[derive(Clone, Copy)]
pub struct EngineTarget<'a> {
    pub destination: &'a Destination,
    /// What the current engine list says of it.
    pub listing: &'a dyn Fn() -> EngineListing,
}

struct IdleConnection {
    destination: Destination,
    since: Instant,
    stream: TcpStream,
}

/// The connections of one execution, one at a time. Other executions reuse a connection only after this one
/// has ended, if nothing irregular was seen on it, and after `REUSE_DELAY`: so no late, duplicate or
/// misdirected answer is taken for a result.
struct EngineChannel<'a> {
    target: EngineTarget<'a>,
    client: Client,
    /// An established connection for the client to take.
    pending: Rc<Cell<Option<TrackedStream>>>,
    connection: Option<Rc<Connection>>,
}

impl<'a> EngineChannel<'a> {
    fn new(target: EngineTarget<'a>) -> EngineChannel<'a> {
        let pending = Rc::new(Cell::new(None));
        let slot = pending.clone();
        // Connections are established before the client sends, so that a failure to connect is known as such.
        let dial = fn_service(move |info: ConnectInfo<Uri>| {
            let stream: Option<TrackedStream> = slot.take();
            std::future::ready(match stream {
                Some(stream) => Ok(Dialled::new(info.request().clone(), stream)),
                None => Err(DialError::Io(io::ErrorKind::NotConnected.into())),
            })
        });
        let connector = Connector::new().connector::<_, TrackedStream>(dial).limit(1);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        EngineChannel { target, client, pending, connection: None }
    }

    /// Where the answer that was received last stands on its connection.
    fn last_answer(&self) -> Option<AnswerPosition> {
        self.connection.as_ref()?.last_answer()
    }

    /// Closes the connection in use; it is not reused.
    fn discard_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close(CloseReason::Irregular);
        }
    }
}

/// The result of one call.
enum CallResult {
    /// No connection was established, or it had ended before a byte of the call was written. True if the
    /// connection was refused.
    NotSent(bool),
    /// Another engine has the address: nothing was sent, and the engine is gone.
    Replaced,
    /// A limit of this process or of the operating system prevented the call.
    NoCapacity,
    /// The body was not sent completely, through no fault of the engine or the path to it.
    BodyFailed,
    /// The connection failed or carried a malformed answer: the engine may have read the request; if it has
    /// not, it never will.
    ConnectionLost,
    /// No answer in time: the engine may have read the request, or may still read it at any time.
    TimedOut,
    Answered(Reply),
}

impl CallResult {
    /// What the call shows of the engine; none if it was not even attempted.
    fn contact(&self) -> Option<Contact> {
        match self {
            CallResult::NotSent(true) => Some(Contact::Refused),
            CallResult::NotSent(false) => Some(Contact::Unreachable),
            CallResult::NoCapacity | CallResult::BodyFailed | CallResult::Replaced => None,
            CallResult::ConnectionLost | CallResult::TimedOut | CallResult::Answered(_) => {
                Some(Contact::Established)
            }
        }
    }

    /// Whether this call, made at `asked`, and those before it prove that what was sent to the engine earlier
    /// can't run any more.
    fn proves_end(&self, history: &mut ContactHistory, asked: Instant, target: EngineTarget<'_>) -> bool {
        self.contact().is_some_and(|contact| history.proves_end(asked, contact, (target.listing)()))
    }
}

/// What is known of an execution before its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExecutionUpdate {
    /// The engine has received it.
    Arrived,
    Note(Note),
}

struct Reply {
    status: StatusCode,
    headers: awc::http::header::HeaderMap,
    body: Bytes,
}

impl Reply {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok().map(str::trim)
    }

    fn parsed_header<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }

    fn never_ran(&self) -> bool {
        self.header("X-Shed") == Some("1")
    }
}

/// The parameters of one execution.
pub struct Dispatch<'a> {
    pub target: EngineTarget<'a>,
    pub engine_request: &'a EngineRequest,
    pub mem_mb: f64,
    /// How long to wait for its end.
    pub deadline: Instant,
    pub guards: SendGuards<'a>,
}

/// Send guards: whether a call may still be sent, checked right before its first byte as the decision may
/// have been revoked since, and whether a long upload may still complete.
#[derive(Clone, Copy)]
pub struct SendGuards<'a> {
    pub may_begin: &'a dyn Fn() -> bool,
    pub may_complete: &'a dyn Fn() -> bool,
}

impl EngineClient {
    /// Creates a client without connections.
    pub fn new(
        bounds: Bounds,
        call_memory: Rc<CallMemoryBook>,
        names: Names,
        dial_timeout: Duration,
        engine_idle: Duration,
        one_at_a_time: bool,
    ) -> EngineClient {
        // Closed well before engines close them: a call must not cross such a close.
        let idle_timeout = engine_idle / 3;
        let connections = Rc::new(Connections::for_engines(bounds.page, idle_timeout));
        EngineClient {
            connections,
            idle_connections: RefCell::default(),
            idle_timeout,
            retried: Cell::new(0),
            last_retry: Cell::new(None),
            names,
            bounds,
            call_memory,
            dial_timeout,
            one_at_a_time,
        }
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count() + self.idle_connections.borrow().len()
    }

    /// Why connections to engines were closed.
    pub fn close_counts(&self) -> &CloseCounts {
        &self.connections.close_counts
    }

    /// The number of calls that had to be retried, since the start.
    pub fn retried_calls(&self) -> u64 {
        self.retried.get()
    }

    fn count_retry(&self) {
        self.retried.set(self.retried.get() + 1);
        self.last_retry.set(Some(Instant::now()));
    }

    /// Closes connections after their idle timeout; to be called periodically.
    pub fn close_idle(&self) {
        self.connections.close_idle();
        self.idle_connections
            .borrow_mut()
            .retain(|connection| connection.since.elapsed() < self.idle_timeout);
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.connections.close_all();
        self.idle_connections.borrow_mut().clear();
    }

    /// Takes a pooled connection that has been idle for long enough and is still quiet and open.
    fn take_idle(&self, target: EngineTarget<'_>) -> Option<TcpStream> {
        let mut idle = self.idle_connections.borrow_mut();
        loop {
            // A connection past its idle timeout, kept as this process was paused, may have been closed by
            // the engine.
            let reusable_ages = REUSE_DELAY..self.idle_timeout.max(REUSE_DELAY * 2);
            let is_reusable = |connection: &IdleConnection| {
                connection.destination.is_same_process(target.destination)
                    && reusable_ages.contains(&connection.since.elapsed())
            };
            let at = idle.iter().position(is_reusable)?;
            let stream = idle.remove(at)?.stream;
            if is_quiet(&stream) {
                return Some(stream);
            }
        }
    }

    async fn post(&self, channel: &mut EngineChannel<'_>, dispatch: &Dispatch<'_>) -> CallResult {
        let Dispatch { engine_request, mem_mb, deadline, .. } = dispatch;
        let uri = format!("http://{}/x", channel.target.destination.address);
        let request = |client: &Client| {
            // The remaining time right before sending, as a connection may have been established in between.
            let remaining = deadline.saturating_duration_since(Instant::now());
            let mut request = client
                .post(&uri)
                .insert_header(("X-Ticket", &engine_request.id[..]))
                .insert_header(("X-Queue", &engine_request.workload[..]))
                .insert_header(("X-Max-Ms", remaining.as_micros().div_ceil(1000).max(1) as u64));
            if let Some(key) = &engine_request.key {
                request = request.insert_header(("X-Nonce", &key[..]));
            }
            if *mem_mb > 0.0 {
                request = request.insert_header(("Grant-Mb", format!("{:.0}", mem_mb.ceil())));
            }
            request
        };
        self.call(channel, request, &engine_request.text, RESPONSE_TIMEOUT, dispatch.guards).await
    }

    /// Polls an execution, or fetches a further page of its result.
    async fn get(
        &self,
        channel: &mut EngineChannel<'_>,
        id: &str,
        page: usize,
        within: Duration,
    ) -> CallResult {
        let uri = format!("http://{}/x/{id}/{page}", channel.target.destination.address);
        self.call(channel, |client| client.get(&uri), &EMPTY_BODY, within, UNGUARDED).await
    }

    async fn connect(&self, channel: &mut EngineChannel<'_>) -> Result<Rc<Connection>, CallResult> {
        if let Some(connection) = channel.connection.as_ref().filter(|connection| connection.is_reusable()) {
            return Ok(connection.clone());
        }
        // The client would go on using it while it is open.
        channel.discard_connection();
        let stream = match self.take_idle(channel.target) {
            Some(stream) => stream,
            None => self.dial(channel.target.destination.address).await?,
        };
        let stream = self.connections.track(stream);
        let connection = stream.0.clone();
        channel.pending.set(Some(stream));
        channel.connection = Some(connection.clone());
        Ok(connection)
    }

    async fn dial(&self, address: SocketAddr) -> Result<TcpStream, CallResult> {
        // At the bound, drop a pooled connection.
        if self.connections() >= self.bounds.engines
            && self.idle_connections.borrow_mut().pop_front().is_none()
        {
            return Err(CallResult::NoCapacity);
        }
        match timeout(self.dial_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(match error.kind() {
                io::ErrorKind::ConnectionRefused => CallResult::NotSent(true),
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable => CallResult::NotSent(false),
                // Descriptors, ports, memory: local limits, whatever the engine does.
                _ => CallResult::NoCapacity,
            }),
            Err(_) => Err(CallResult::NotSent(false)),
        }
    }

    /// Makes one call. It is sent on a second connection only where not a byte of it was written, after the
    /// send guards are checked again.
    async fn call(
        &self,
        channel: &mut EngineChannel<'_>,
        request: impl Fn(&Client) -> ClientRequest,
        text: &StatementText,
        within: Duration,
        guards: SendGuards<'_>,
    ) -> CallResult {
        let mut was_late = false;
        for _ in 0..2 {
            let connection = match self.connect(channel).await {
                Ok(connection) => connection,
                Err(call) => return call,
            };
            // Recheck before the first byte: since the decision this process may have been paused, the client
            // may have disconnected while the connection was established, or the engine may have begun to
            // drain.
            if (channel.target.listing)() == EngineListing::Replaced {
                return CallResult::Replaced;
            }
            if !(guards.may_begin)() {
                return CallResult::NoCapacity;
            }
            connection.prepare_send();
            let request = request(&channel.client).no_decompress();
            let reply = match text {
                StatementText::Inline(text) => {
                    let sent = match text.len() <= ORDINARY_ANSWER_BYTES {
                        true => request.send_body(text.clone()),
                        false => request.send_body(SlicedText::new(text.clone())),
                    };
                    timeout(within, self.reply(sent)).await.ok()
                }
                StatementText::Stored(body) => {
                    let Some(outgoing) = body.start_sending() else { return CallResult::NoCapacity };
                    let upload = UploadWatch::new(&outgoing, connection.clone());
                    let sent = request.send_body(UploadBody::new(outgoing, upload.stop_signal()));
                    upload.watch(within, guards.may_complete, self.reply(sent)).await
                }
            };
            if let Some(Some(reply)) = reply {
                return CallResult::Answered(reply);
            }
            let is_silent = reply.is_none();
            was_late = connection.was_late();
            channel.discard_connection();
            if connection.has_sent() {
                return match text {
                    StatementText::Stored(body) if body.is_aborted() || body.is_corrupted() => {
                        CallResult::BodyFailed
                    }
                    _ if is_silent => CallResult::TimedOut,
                    _ => CallResult::ConnectionLost,
                };
            }
            if let StatementText::Stored(body) = text {
                body.return_unsent();
            }
        }
        // The engine is not at fault for a pause of this process.
        if was_late {
            return CallResult::NoCapacity;
        }
        CallResult::NotSent(false)
    }

    async fn reply(&self, sent: SendClientRequest) -> Option<Reply> {
        let mut response = sent.await.ok()?;
        let body = response.body().limit(self.bounds.page).await.ok()?;
        Some(Reply { status: response.status(), headers: response.headers().clone(), body })
    }

    fn classify(&self, reply: &Reply) -> ExecutionState {
        match reply.status {
            StatusCode::ACCEPTED => ExecutionState::Running(read_note(reply)),
            StatusCode::OK => match reply.parsed_header("Page-Count") {
                Some(pages) if (1..=self.bounds.pages).contains(&pages) => ExecutionState::Completed(pages),
                _ => ExecutionState::Malformed,
            },
            StatusCode::SERVICE_UNAVAILABLE if reply.never_ran() => ExecutionState::Failed(Outcome::Full),
            StatusCode::GATEWAY_TIMEOUT if reply.never_ran() => ExecutionState::Failed(Outcome::Skipped),
            _ => ExecutionState::Failed(Outcome::Error),
        }
    }

    fn report(&self, reply: &Reply) -> Option<LoadReport> {
        reply.header("X-Meter").map(|text| read_report(text, &self.names))
    }
}

/// The response timeout after this many calls without an answer.
fn response_timeout(unanswered: u32) -> Duration {
    RESPONSE_TIMEOUT * 2u32.pow(unanswered.min(MAX_TIMEOUT_DOUBLINGS))
}

/// Reads a load report such as `inflight:7;util:0.61`; unreadable fields are omitted.
fn read_report(text: &str, names: &Names) -> LoadReport {
    let field_value = |name: &str| {
        let field = text.split(';').find_map(|f| f.trim().strip_prefix(name)?.strip_prefix(':'));
        field.and_then(|value| value.trim().parse::<f64>().ok()).filter(|value| value.is_finite())
    };
    names.report(|name| field_value(name).or_else(|| field_value(wire_name(name)?)))
}

/// The field names of a load report on the wire, where they differ.
fn wire_name(name: &str) -> Option<&'static str> {
    Some(match name {
        "cpu_share" => "util",
        "busy_reqs" => "inflight",
        "pending" => "queue",
        _ => return None,
    })
}

/// The state of an execution according to one answer.
enum ExecutionState {
    /// Not complete yet.
    Running(Option<Note>),
    Failed(Outcome),
    /// A malformed answer: corrupted on its way, or for another call.
    Malformed,
    /// Completed, with the number of pages.
    Completed(usize),
}

fn read_note(reply: &Reply) -> Option<Note> {
    let figure = || reply.parsed_header::<f64>("Figure").filter(|x| x.is_finite());
    Some(match reply.header("X-Remark")? {
        "so_far" => Note::Progress(figure()?),
        "lacking" => Note::Spills(figure()?),
        "waiting" if figure()? as i64 == 2 => Note::WaitsForLoad,
        "waiting" => Note::WaitsForMemory,
        _ => return None,
    })
}

#[cfg(test)]
mod tests;
