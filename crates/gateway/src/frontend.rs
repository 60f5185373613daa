//! HTTP frontend for clients, built on actix-http. It translates calls into inputs of the reducer and the
//! reducer's answers into HTTP responses, and makes no decisions of its own.

use crate::client_presence::{ClientPresence, ClientStatus};
use crate::closes::CloseReason;
use crate::config::Bounds;
use crate::connection::{BodyFraming, CallMemoryBook, Connection, Connections, TrackedStream};
use crate::intake::{self, Received};
use crate::reducer::{Answer, EngineRequest, Input, StatementText, SubmittedStatement};
use crate::runtime::Core;
use crate::sessions::{client_closed, Sessions};
use crate::tables;
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{
    ConnectionType, HttpMessage as _, HttpService, Method, Payload, Protocol, Request, Response, StatusCode,
};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use actix_service::{fn_service, IntoServiceFactory as _, Service as _, ServiceFactory as _};
use bramblewharf::call_memory::ORDINARY_ANSWER_BYTES;
use bramblewharf::interface::{Id, NewStatement};
use bytes::Bytes;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Clients close idle connections after 4 s; a connection that is still open after this time is closed here.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for the head of a call, from its first byte, or from the accept for the first call on a
/// connection. Together with `BODY_TIMEOUT` it stays below the 3 s that a client may expect at most.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2000);
/// Longest time for the body of a call, from the first byte of its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long the rest of a body is read after an error response before the connection is shut down.
/// actix-http's clock has a resolution of 500 ms, and a timer that has already expired when it is set never
/// fires.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before a connection is closed on which more calls followed a refused one.
const CONDEMNED_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Interval at which connections are closed while the connection limit is reached.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);
/// Age from which a connection that has carried no call may be closed at the limit.
const UNUSED_MIN_AGE: Duration = Duration::from_millis(20);
/// Idle time from which a connection that has carried calls may be closed at the limit. It is longer than the
/// usual pause of clients; otherwise a flood of silent connections would evict theirs first.
const USED_MIN_IDLE: Duration = Duration::from_millis(250);
/// Longest operation key, in bytes.
const MAX_KEY_LENGTH: usize = 128;
/// Factor over the client wait in a workload's settings up to which a deadline is accepted.
const DEADLINE_TOLERANCE: f64 = 2.0;
/// Longest accepted deadline (one day), whatever the settings are.
const MAX_DEADLINE_MS: f64 = 24.0 * 3600.0 * 1e3;
/// Largest accepted estimate of a statement's work.
const MAX_ESTIMATE_MS: f64 = 1e8;
/// Largest accepted estimate of a statement's memory.
const MAX_MEMORY_MB: f64 = 1e7;
/// Path of the liveness check.
const HEALTH_PATH: &str = "/status/live";
/// Path prefix of statements.
pub const STATEMENTS_PREFIX: &str = "/svc/";
/// Path prefix, below `STATEMENTS_PREFIX`, at which a client polls for the answer of a statement.
const RESULT_PREFIX: &str = "next/";
/// A statement without an answer after this time is answered with a link to poll.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a poll is held open while there is no answer.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections and sessions of clients, shared by the accept loop and the shutdown.
pub struct Frontend {
    /// Connections of clients.
    pub connections: Rc<Connections>,
    open_connections: Cell<usize>,
    /// A connection has closed.
    closed: Notify,
    max_connections: usize,
    /// New connections wait while all are in use: each one is closed after its answer to make room.
    at_limit: Cell<bool>,
    /// Only connections that already wait in the accept queue are still accepted.
    stopping: Cell<bool>,
    stop: Notify,
    /// Statements whose clients poll for the answer.
    pub sessions: Rc<Sessions>,
    /// Number of statements that began to arrive since the start.
    pub statements_begun: Cell<u64>,
}

impl Frontend {
    /// A frontend without connections.
    pub fn new(bounds: &Bounds, call_memory: Rc<CallMemoryBook>) -> Rc<Frontend> {
        let connections =
            Rc::new(Connections::for_clients(bounds.clients / 16, call_memory, HEAD_TIMEOUT, IDLE_TIMEOUT));
        // Twice the statements in progress, since answers are kept for a while after they were given.
        let sessions = Rc::new(Sessions::new(2 * bounds.stmts));
        let (open_connections, statements_begun) = (Cell::new(0), Cell::new(0));
        let (stopping, stop) = (Cell::new(false), Notify::new());
        let (max_connections, closed) = (bounds.clients, Notify::new());
        let at_limit = Cell::new(false);
        Rc::new(Frontend {
            connections,
            open_connections,
            closed,
            max_connections,
            at_limit,
            stopping,
            stop,
            sessions,
            statements_begun,
        })
    }

    /// Ends the accept loop once the connections in the accept queue have been accepted.
    pub fn stop_accepting(&self) {
        self.stopping.set(true);
        self.stop.notify_one();
        self.closed.notify_one();
    }

    /// Accepts connections until `stop_accepting` is called.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, core: Rc<Core>) -> io::Result<()> {
        let call_core = core.clone();
        let this = self.clone();
        let admission_core = core.clone();
        let service = HttpService::<TrackedStream, _, _>::build()
            .keep_alive(IDLE_TIMEOUT)
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .h1_allow_half_closed(true)
            .on_connect_ext(|link: &TrackedStream, ext: &mut actix_http::Extensions| {
                ext.insert(link.0.clone());
            })
            .expect(fn_service(move |request: Request| {
                let admission = intake::check_admission(&admission_core, &request);
                std::future::ready(match admission {
                    Ok(()) => Ok(request),
                    Err(response) => Err(response),
                })
            }))
            .finish(
                fn_service(move |request: Request| {
                    let (frontend, core) = (this.clone(), call_core.clone());
                    async move { Ok::<_, Infallible>(frontend.handle_call(core, request).await) }
                })
                .into_factory(),
            );
        let service = service.new_service(()).await.map_err(|()| io::Error::other("no service"))?;
        let service = Rc::new(service);
        let mut accept_failed = false;
        while !self.stopping.get() {
            // At the limit an idle connection is closed to make room; if all are in use, new ones wait until
            // one has its answer.
            while !self.stopping.get()
                && self.open_connections.get() + self.connections.linger.count() >= self.max_connections
            {
                self.at_limit.set(!self.connections.close_one_idle(UNUSED_MIN_AGE, USED_MIN_IDLE));
                let _ = timeout(EVICTION_INTERVAL, self.closed.notified()).await;
            }
            self.at_limit.set(false);
            let accepted = tokio::select! {
                biased;
                () = self.stop.notified() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) => {
                    accept_failed = false;
                    self.clone().serve_connection(&service, stream, from, &core);
                }
                Err(error) => {
                    if !std::mem::replace(&mut accept_failed, true) {
                        slog::warn!(core.log, "connection not accepted"; "error" => %error);
                    }
                    // Most likely the process is out of file descriptors: closing an idle connection frees
                    // one.
                    self.connections.close_one_idle(UNUSED_MIN_AGE, USED_MIN_IDLE);
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
        // The kernel has already accepted these connections: closing the listener would reset them along with
        // their calls.
        let listener = listener.into_std()?;
        while let Ok((stream, from)) = listener.accept() {
            stream.set_nonblocking(true)?;
            self.clone().serve_connection(&service, TcpStream::from_std(stream)?, from, &core);
        }
        Ok(())
    }

    fn serve_connection<S>(
        self: Rc<Self>,
        service: &Rc<S>,
        stream: TcpStream,
        from: SocketAddr,
        core: &Rc<Core>,
    ) where
        S: actix_service::Service<(TrackedStream, Protocol, Option<SocketAddr>), Error = DispatchError>
            + 'static,
    {
        let core = core.clone();
        let call = service.call((self.connections.track(stream), Protocol::Http1, Some(from)));
        self.open_connections.set(self.open_connections.get() + 1);
        actix_rt::spawn(async move {
            if let Err(DispatchError::Parse(_)) = call.await {
                core.count_bad_call("unreadable");
            }
            self.open_connections.set(self.open_connections.get() - 1);
            self.closed.notify_one();
        });
    }

    async fn handle_call(&self, core: Rc<Core>, mut request: Request) -> Response<BoxBody> {
        let connection = request.conn_data::<Rc<Connection>>().cloned();
        if let Some(connection) = connection.as_ref().filter(|connection| connection.is_refused()) {
            // It follows a refused call and may be part of that call's body, so it is not carried out.
            sleep(CONDEMNED_CLOSE_DELAY).await;
            connection.close(CloseReason::Refused);
            return error_response(StatusCode::BAD_REQUEST, "behind a refused call");
        }
        let begun = connection.as_ref().map_or_else(Instant::now, |connection| {
            connection.begin_call(BodyFraming::of(request.headers()))
        });
        let _open_call = connection.clone().map(OpenCall);
        let payload = request.take_payload();
        let path = request.path().strip_prefix(STATEMENTS_PREFIX);
        let mut response = match (request.method(), path) {
            // Bare line feeds in the head, and requests to switch the connection to another protocol.
            _ if connection.as_ref().is_some_and(|connection| connection.has_bare_line_feed()) => {
                error_response(StatusCode::BAD_REQUEST, "a line of the head does not end as it should")
            }
            _ if request.headers().contains_key(header::UPGRADE) => {
                error_response(StatusCode::BAD_REQUEST, "Upgrade: is not done here")
            }
            (&Method::GET, None) if request.path() == HEALTH_PATH => {
                static_json(StatusCode::OK, "{\"status\":\"live\"}")
            }
            (&Method::POST, Some(workload)) => {
                self.statements_begun.set(self.statements_begun.get() + 1);
                let workload = workload.rsplit('/').next().unwrap_or(workload).to_string();
                let body_deadline = begun + BODY_TIMEOUT;
                let (headers, sessions) = (request.headers(), &self.sessions);
                // Boxed, as every connection has room for the state of a call, whether one is open or not.
                let served = Box::pin(serve_statement(
                    &core,
                    sessions,
                    &workload,
                    headers,
                    payload,
                    body_deadline,
                    connection.clone(),
                ));
                match served.await {
                    Ok(response) => response,
                    Err((status, why)) => {
                        core.count_bad_call(why);
                        return close_after(error_response(status, why), connection.as_deref());
                    }
                }
            }
            (&Method::GET, Some(path)) => {
                match self.sessions.get(path.strip_prefix(RESULT_PREFIX).unwrap_or_default()) {
                    Some(session) => {
                        let answer = session.wait_for_answer(&core, POLL_TIMEOUT, connection.as_ref()).await;
                        let answer = with_memory(connection.as_deref(), answer).await;
                        mark_not_kept(statement_response(&session.path, answer), session.not_kept.as_ref())
                    }
                    None => error_response(StatusCode::NOT_FOUND, "no such result"),
                }
            }
            (&Method::DELETE, Some(path)) => {
                match self.sessions.remove(&core, path.strip_prefix(RESULT_PREFIX).unwrap_or_default()) {
                    true => Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(())),
                    false => error_response(StatusCode::NOT_FOUND, "no such result"),
                }
            }
            (_, Some(_)) => error_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
            (_, None) if request.path() == HEALTH_PATH => {
                error_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        };
        if !response.status().is_client_error() {
            if self.at_limit.get() && !response.extensions().contains::<ClientPolls>() {
                close_to_make_room(&mut response, connection.as_deref());
            }
            return response;
        }
        core.count_bad_call(response.status().canonical_reason().unwrap_or("other"));
        close_after(response, connection.as_deref())
    }
}

/// Closes the connection after this response. A client that sends a bad call may have lost its framing, so
/// nothing further on the connection is carried out.
pub fn close_after(mut response: Response<BoxBody>, connection: Option<&Connection>) -> Response<BoxBody> {
    response.head_mut().set_connection_type(ConnectionType::Close);
    connection.into_iter().for_each(Connection::refuse_further_calls);
    response
}

/// Keeps a call open on the connection until it is dropped.
struct OpenCall(Rc<Connection>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.end_call();
    }
}

/// Reports to the reducer that the client disconnected, unless `id` was taken out before the drop.
struct DisconnectGuard {
    core: Rc<Core>,
    id: Option<Id>,
    caller: u64,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.core.forget_caller(self.caller);
            self.core.input(Input::ClientDisconnected(id));
        }
    }
}

/// Receives a statement, hands it to the reducer and waits for its answer, or opens a session where that
/// takes long.
async fn serve_statement(
    core: &Rc<Core>,
    sessions: &Rc<Sessions>,
    workload: &str,
    headers: &HeaderMap,
    payload: Payload,
    body_deadline: Instant,
    connection: Option<Rc<Connection>>,
) -> Result<Response<BoxBody>, BadCall> {
    let (mut statement, mut engine_request) = read_head(core, workload, headers)?;
    let received =
        intake::receive_body(core, payload, headers, statement.workload, body_deadline, connection.as_ref());
    let (text, mut remainder) = match received.await? {
        Received::Whole(text) => (StatementText::Inline(text), None),
        Received::Stored(body) => (StatementText::Stored(body), None),
        Received::Streaming(body, remainder) => (StatementText::Stored(body), Some(remainder)),
        // Nothing was sent to an engine, so the client may safely retry; the rest of the body is not read.
        Received::NoCapacity => {
            let response = statement_response("", Some(Answer::Rejected(core.retry_after)));
            return Ok(close_after(response, connection.as_deref()));
        }
    };
    let mut not_kept = None;
    match &text {
        StatementText::Inline(text) => statement.table_group = tables::group(text),
        StatementText::Stored(body) => {
            statement.replayable = remainder.is_none();
            statement.table_group = tables::group_of_prefix(&body.take_prefix());
            not_kept = Some(body.not_kept());
        }
    }
    engine_request.text = text;
    // The time left counts from the arrival of the call, which may have waited while this process was paused
    // or busy.
    let now = Instant::now();
    let in_socket = connection.as_ref().map_or(now, |connection| connection.arrived_at());
    let arrived_at = in_socket.min(core.earliest_arrival(now));
    statement.time_left = statement.time_left.saturating_sub(now.saturating_duration_since(arrived_at));
    let id = statement.id.clone();
    let client = ClientPresence::new(now);
    let open_call = client.open_call(connection.as_ref());
    let (caller, mut answer) = core.register_caller(client.clone());
    let mut disconnect_guard = DisconnectGuard { core: core.clone(), id: Some(id.clone()), caller };
    core.input(Input::Statement(SubmittedStatement { caller, statement, engine_request }));
    if let Some(remainder) = &mut remainder {
        // The body streams on to the engine. An answer before its end closes the connection, as the rest is
        // still unread on it.
        tokio::select! {
            biased;
            answered = &mut answer => {
                disconnect_guard.id = None;
                let response = statement_response("", Some(answered.unwrap_or(Answer::Aborted)));
                return Ok(close_after(mark_not_kept(response, not_kept.as_ref()), connection.as_deref()));
            }
            streamed = remainder.stream(core) => streamed?,
        }
    }
    let disconnected = async {
        client_closed(connection.as_deref()).await;
        // The client disconnected or closed its sending side; in both cases its statement is given up.
        core.input(Input::ClientDisconnected(id.clone()));
        std::future::pending::<Infallible>().await
    };
    let mut answered = tokio::select! {
        biased;
        answered = &mut answer => Some(answered.unwrap_or(Answer::Aborted)),
        never = disconnected => match never {},
        () = sleep(FIRST_RESPONSE_TIMEOUT), if sessions.has_capacity() => None,
    };
    if answered.is_none() && core.check_client(&id, &client) == ClientStatus::Disconnected {
        // Nobody would poll.
        answered = Some((&mut answer).await.unwrap_or(Answer::Aborted));
    }
    disconnect_guard.id = None;
    drop(open_call);
    let response = match with_memory(connection.as_deref(), answered).await {
        None => statement_response(&sessions.open(core, id, client, answer, not_kept.clone()), None),
        answered => statement_response("", answered),
    };
    Ok(mark_not_kept(response, not_kept.as_ref()))
}

/// The answer, once there is memory for its result as it is written to the client. Where there is none in time,
/// the result cannot be passed on.
async fn with_memory(connection: Option<&Connection>, answer: Option<Answer>) -> Option<Answer> {
    let (Some(memory), Some(Answer::Completed(pages))) = (connection.and_then(Connection::memory), &answer)
    else {
        return answer;
    };
    let length = max_result_length(pages);
    if length <= ORDINARY_ANSWER_BYTES || memory.acquire_answer(length).await {
        return answer;
    }
    Some(Answer::Aborted)
}

/// Marks a final answer without a result if the body was not kept, which explains why it was not retried.
fn mark_not_kept(mut response: Response<BoxBody>, not_kept: Option<&Rc<Cell<bool>>>) -> Response<BoxBody> {
    if not_kept.is_some_and(|not_kept| not_kept.get()) && !response.status().is_success() {
        let name = header::HeaderName::from_static("x-body");
        response.headers_mut().insert(name, HeaderValue::from_static("not-kept"));
    }
    response
}

/// Extension of a response after which the client polls again at once; if it cannot, it counts as
/// disconnected.
struct ClientPolls;

/// Closes the connection after this response so that a new one can be accepted, unless the next call has
/// begun on it.
fn close_to_make_room(response: &mut Response<BoxBody>, connection: Option<&Connection>) {
    if connection.is_some_and(|connection| !connection.has_pending_input()) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
}

/// The response with the answer, or with the link to poll where there is none yet.
pub fn statement_response(path: &str, answer: Option<Answer>) -> Response<BoxBody> {
    match answer {
        None => {
            let link = serde_json::json!({ "link": format!("{STATEMENTS_PREFIX}{RESULT_PREFIX}{path}") });
            let mut response = json_response(StatusCode::OK, link.to_string().into());
            response.extensions_mut().insert(ClientPolls);
            response
        }
        Some(Answer::Completed(pages)) => result_response(&pages),
        Some(Answer::Rejected(retry_in)) => {
            let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "Busy");
            if let Some(retry_in) = retry_in {
                let wait = HeaderValue::from(retry_in.as_millis() as u64);
                response.headers_mut().insert(header::HeaderName::from_static("x-pushback-ms"), wait);
            }
            response
        }
        Some(Answer::InUse) => {
            error_response(StatusCode::CONFLICT, "X-Correlation-Id: is that of a statement still held")
        }
        Some(Answer::Aborted) => error_response(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

/// Status and reason with which a bad call is answered.
pub type BadCall = (StatusCode, &'static str);

/// Parses the headers that the scheduler needs; everything else is passed on unchanged. What a client of this
/// protocol does not send is rejected here, as engines would have to guess its meaning.
fn read_head(
    core: &Core,
    workload: &str,
    headers: &HeaderMap,
) -> Result<(NewStatement, EngineRequest), BadCall> {
    let bad = |why: &'static str| (StatusCode::BAD_REQUEST, why);
    let names = &core.names;
    let at = names.workloads.iter().position(|name| name == workload);
    let at = at.ok_or((StatusCode::NOT_FOUND, "no such workload"))?;
    // A repeated header is ambiguous and rejected.
    let field = |name: &str, repeated: &'static str| {
        let mut all = headers.get_all(name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(bad(repeated)),
            (value, None) => {
                Ok(value.and_then(|value| value.to_str().ok()).map(str::trim).or(value.map(|_| "")))
            }
        }
    };
    let id = field("X-Correlation-Id", "X-Correlation-Id: comes twice")?;
    let id = id.filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
    let id = id.ok_or(bad("X-Correlation-Id: is not 16 hex digits"))?;
    let wait = field("X-Deadline-Ms", "X-Deadline-Ms: comes twice")?
        .and_then(|ms| parse_decimal(ms, MAX_DEADLINE_MS));
    let wait = wait.ok_or(bad("X-Deadline-Ms: is not a time in milliseconds"))?;
    // Clients wait for the time in the settings, or some milliseconds longer if they were late in sending the
    // call.
    let max_wait = core.max_client_waits.get(at).copied().flatten();
    if max_wait.is_some_and(|max_wait| wait > max_wait.as_secs_f64() * 1e3 * DEADLINE_TOLERANCE) {
        return Err(bad("X-Deadline-Ms: is longer than clients of the workload wait"));
    }
    let customer = match field("X-Org", "X-Org: comes twice")? {
        None if names.customers.is_empty() => None,
        name => {
            let at = names.customers.iter().position(|known| Some(known.as_str()) == name);
            Some(at.ok_or(bad("X-Org: is no customer of the settings"))?)
        }
    };
    let estimate =
        |name: &str, repeated: &'static str, max: f64, why: &'static str| match field(name, repeated)? {
            None => Ok(None),
            Some(text) => match parse_decimal(text, max) {
                None if text.bytes().all(|b| matches!(b, b'0' | b'.')) && text.starts_with('0') => Ok(None),
                None => Err(bad(why)),
                some => Ok(some),
            },
        };
    let est_work = estimate(
        "X-Estimate-Ms",
        "X-Estimate-Ms: comes twice",
        MAX_ESTIMATE_MS,
        "X-Estimate-Ms: is not a time in milliseconds",
    )?;
    let est_mem_mb = estimate(
        "X-Memory",
        "X-Memory: comes twice",
        MAX_MEMORY_MB,
        "X-Memory: is not a number of megabytes",
    )?;
    let key = field("X-Operation-Key", "X-Operation-Key: comes twice")?;
    let is_valid =
        |key: &&str| (1..=MAX_KEY_LENGTH).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if !key.iter().all(is_valid) || (key.is_none() && core.requires_key.get(at).copied().unwrap_or(false)) {
        return Err(bad("X-Operation-Key: is no key"));
    }
    let statement = NewStatement {
        id: id.into(),
        workload: at,
        customer,
        key: None,
        time_left: Duration::from_secs_f64(wait / 1e3),
        est_work: est_work.map(|ms| Duration::from_secs_f64(ms / 1e3)),
        est_mem_mb,
        table_group: None,
        replayable: true,
    };
    let engine_request = EngineRequest {
        id: Bytes::copy_from_slice(id.as_bytes()),
        workload: Bytes::copy_from_slice(workload.as_bytes()),
        key: key.map(|key| Bytes::copy_from_slice(key.as_bytes())),
        text: StatementText::Inline(Bytes::new()),
    };
    Ok((statement, engine_request))
}

/// Parses a decimal number above 0 and up to `max`: digits and optionally a point and digits. Signs,
/// exponents and words such as `inf` are rejected, although `f64` would parse them.
fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |text: &str| (1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    let number = (digits(whole) && digits(fraction)).then(|| text.parse::<f64>().ok()).flatten()?;
    (number > 0.0 && number <= max).then_some(number)
}

/// Writes the result as JSON: all rows in order, with each cell as a string.
fn write_result(pages: &[Bytes], out: &mut impl io::Write) -> io::Result<()> {
    out.write_all(b"{\"values\":[")?;
    let mut first = true;
    let rows = pages.iter().flat_map(|page| {
        let text = std::str::from_utf8(page).unwrap_or_default();
        text.split_terminator('\n')
    });
    for row in rows {
        out.write_all(if first { b"[" } else { b",[" })?;
        first = false;
        for (at, cell) in row.split('\t').enumerate() {
            if at > 0 {
                out.write_all(b",")?;
            }
            serde_json::to_writer(&mut *out, cell)?;
        }
        out.write_all(b"]")?;
    }
    out.write_all(b"]}")
}

/// How many bytes of JSON a byte of a page becomes at most, by its value. A tab ends a cell and begins the next, a
/// line feed does so with a row.
const JSON_LENGTH: [u8; 256] = {
    let mut length = [1; 256];
    let mut control = 0;
    while control < 0x20 {
        length[control] = "\\u0000".len() as u8;
        control += 1;
    }
    length[b'\t' as usize] = "\",\"".len() as u8;
    length[b'\n' as usize] = "\"],[\"".len() as u8;
    length[b'"' as usize] = "\\\"".len() as u8;
    length[b'\\' as usize] = "\\\\".len() as u8;
    length
};

/// The most bytes that the result takes as JSON.
fn max_result_length(pages: &[Bytes]) -> usize {
    let rows: usize =
        pages.iter().flat_map(|page| page.iter()).map(|byte| JSON_LENGTH[*byte as usize] as usize).sum();
    // A page whose last row has no line feed has one that is not counted above.
    rows + pages.len() * "\"],[\"".len() + "{\"values\":[[\"\"]]}".len()
}

fn result_response(pages: &[Bytes]) -> Response<BoxBody> {
    let mut out = Vec::with_capacity(max_result_length(pages));
    // Writing to memory cannot fail.
    let _ = write_result(pages, &mut out);
    json_response(StatusCode::OK, out.into())
}

fn json_response(status: StatusCode, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn static_json(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    json_response(status, Bytes::from_static(text.as_bytes()))
}

/// An error response with this reason.
pub fn error_response(status: StatusCode, why: &str) -> Response<BoxBody> {
    json_response(status, serde_json::json!({ "abort": why }).to_string().into())
}

#[cfg(test)]
mod tests;
