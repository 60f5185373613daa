//! The clients' side: HTTP by actix-http. It turns calls into the reducer's inputs and answers into calls'
//! answers, and decides nothing.

use crate::closes::CloseReason;
use crate::config::Bounds;
use crate::connection::{Connection, Connections, TrackedStream};
use crate::intake::{self, Came};
use crate::reducer::{Answer, Input, Parcel, Taken, Text};
use crate::runtime::Core;
use crate::sessions::Sessions;
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
use bramblewharf::interface::{Id, NewStatement};
use bytes::Bytes;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Clients close idle connections after 4 s; one that does not is closed after this.
const IDLE: Duration = Duration::from_secs(5);
/// A call's head has come whole within this of its first byte, the first one on a connection of the connecting itself, and
/// its text within the second: nobody is owed more patience than 3 s.
const HEAD_WITHIN: Duration = Duration::from_millis(2000);
const TEXT_WITHIN: Duration = Duration::from_millis(2200);
/// How long the rest of a text is read before the connection is shut behind a refusal (actix-http's clock goes by steps of
/// 500 ms, and a timer that is over when it is set never fires), and until one is closed on which more calls came behind.
const UNREAD: Duration = Duration::from_millis(600);
const BEHIND: Duration = Duration::from_millis(50);
/// What a client may send ahead while it waits, and the head of a call.
pub const AHEAD: usize = 16 * 1024;
/// How long until room is made again at the bound of connections; how long one must have asked nothing to make it, and how
/// long one that has asked must rest: longer than usual clients pause, or a flood of silent ones costs theirs first.
const AT_BOUND: Duration = Duration::from_millis(10);
const SETTLED: Duration = Duration::from_millis(20);
const RESTED: Duration = Duration::from_millis(250);
const LONGEST_NAME: usize = 128;
/// Times what the settings say that clients of a workload wait, beyond which no client of it waits.
const LONGER: f64 = 2.0;
/// And whatever they say, nobody waits for more than a day.
const LONGEST_WAIT_MS: f64 = 24.0 * 3600.0 * 1e3;
/// Beyond these an estimate is no estimate, whatever the engines are.
const LONGEST_WORK_MS: f64 = 1e8;
const MOST_MEM_MB: f64 = 1e7;
const HEALTH: &str = "/status/live";
pub const STATEMENTS: &str = "/svc/";
/// Where a client comes back for the answer of a statement that takes longer than the first time; it is then held for
/// so long as the second, if there is no answer yet.
const NEXT: &str = "next/";
const FIRST_WITHIN: Duration = Duration::from_millis(250);
const NEXT_WITHIN: Duration = Duration::from_secs(2);

/// What the accept loop and the closing gateway know of the connections.
pub struct Front {
    pub connections: Rc<Connections>,
    open: Cell<usize>,
    closed: Notify,
    most: usize,
    /// New connections wait while all are in use: each makes room once it has its answer.
    crowded: Cell<bool>,
    /// No new connections are taken but those that wait to be.
    leaving: Cell<bool>,
    leave: Notify,
    pub sessions: Rc<Sessions>,
    /// Statements that began to come since the start.
    pub begun: Cell<u64>,
}

impl Front {
    pub fn new(bounds: &Bounds) -> Rc<Front> {
        let connections = Rc::new(Connections::for_clients(bounds.clients / 16, HEAD_WITHIN, IDLE));
        // Answers are kept for a while after they were given.
        let sessions = Rc::new(Sessions::new(2 * bounds.stmts));
        let (open, begun) = (Cell::new(0), Cell::new(0));
        let (leaving, leave) = (Cell::new(false), Notify::new());
        let (most, closed) = (bounds.clients, Notify::new());
        let crowded = Cell::new(false);
        Rc::new(Front { connections, open, closed, most, crowded, leaving, leave, sessions, begun })
    }

    /// Takes what waits to be accepted, and no more.
    pub fn stop_accepting(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
        self.closed.notify_one();
    }

    /// Accepts until it is told to stop.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, core: Rc<Core>) -> io::Result<()> {
        let served = core.clone();
        let this = self.clone();
        let asked = core.clone();
        let service = HttpService::<TrackedStream, _, _>::build()
            .keep_alive(IDLE)
            .client_request_timeout(HEAD_WITHIN)
            .client_disconnect_timeout(UNREAD)
            .h1_allow_half_closed(true)
            .on_connect_ext(|link: &TrackedStream, ext: &mut actix_http::Extensions| {
                ext.insert(link.0.clone());
            })
            .expect(fn_service(move |request: Request| {
                let room = intake::has_room(&asked, &request);
                std::future::ready(match room {
                    Ok(()) => Ok(request),
                    Err(refused) => Err(refused),
                })
            }))
            .finish(
                fn_service(move |request: Request| {
                    let (front, core) = (this.clone(), served.clone());
                    async move { Ok::<_, Infallible>(front.call(core, request).await) }
                })
                .into_factory(),
            );
        let service = service.new_service(()).await.map_err(|()| io::Error::other("no service"))?;
        let service = Rc::new(service);
        let mut refused = false;
        while !self.leaving.get() {
            // At the bound one that no call is open on makes room; where all are in use, new ones wait for one to have its answer.
            while !self.leaving.get() && self.open.get() + self.connections.linger.count() >= self.most {
                self.crowded.set(!self.connections.close_one_idle(SETTLED, RESTED));
                let _ = timeout(AT_BOUND, self.closed.notified()).await;
            }
            self.crowded.set(false);
            let accepted = tokio::select! {
                biased;
                () = self.leave.notified() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) => {
                    refused = false;
                    self.clone().connect(&service, stream, from, &core);
                }
                Err(error) => {
                    if !std::mem::replace(&mut refused, true) {
                        slog::warn!(core.log, "connection not accepted"; "error" => %error);
                    }
                    // Most likely for want of descriptors, whatever the bound is: idle connections make room.
                    self.connections.close_one_idle(SETTLED, RESTED);
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
        // The machine has taken these already: closing the listener would reset them, with a call on them.
        let listener = listener.into_std()?;
        while let Ok((stream, from)) = listener.accept() {
            stream.set_nonblocking(true)?;
            self.clone().connect(&service, TcpStream::from_std(stream)?, from, &core);
        }
        Ok(())
    }

    fn connect<S>(self: Rc<Self>, service: &Rc<S>, stream: TcpStream, from: SocketAddr, core: &Rc<Core>)
    where
        S: actix_service::Service<(TrackedStream, Protocol, Option<SocketAddr>), Error = DispatchError>
            + 'static,
    {
        let core = core.clone();
        let call = service.call((self.connections.track(stream), Protocol::Http1, Some(from)));
        self.open.set(self.open.get() + 1);
        actix_rt::spawn(async move {
            if let Err(DispatchError::Parse(_)) = call.await {
                core.bad_call("unreadable");
            }
            self.open.set(self.open.get() - 1);
            self.closed.notify_one();
        });
    }

    async fn call(&self, core: Rc<Core>, mut request: Request) -> Response<BoxBody> {
        let connection = request.conn_data::<Rc<Connection>>().cloned();
        if let Some(connection) = connection.as_ref().filter(|connection| connection.is_refused()) {
            // It came behind a call that was refused: it may be a part of that, and is not answered.
            sleep(BEHIND).await;
            connection.close(CloseReason::Refused);
            return refusal(StatusCode::BAD_REQUEST, "behind a refused call");
        }
        let begun = connection
            .as_ref()
            .map_or_else(Instant::now, |connection| connection.begin_call(core.bounds.statement + AHEAD));
        let _open = connection.clone().map(Open);
        let payload = request.take_payload();
        let path = request.path().strip_prefix(STATEMENTS);
        let mut response = match (request.method(), path) {
            // Bare line feeds, and what would turn the connection to another protocol.
            _ if connection.as_ref().is_some_and(|connection| connection.has_bare_line_feed()) => {
                refusal(StatusCode::BAD_REQUEST, "a line of the head does not end as it should")
            }
            _ if request.headers().contains_key(header::UPGRADE) => {
                refusal(StatusCode::BAD_REQUEST, "Upgrade: is not done here")
            }
            (&Method::GET, None) if request.path() == HEALTH => {
                plain(StatusCode::OK, "{\"status\":\"live\"}")
            }
            (&Method::POST, Some(workload)) => {
                self.begun.set(self.begun.get() + 1);
                let workload = workload.rsplit('/').next().unwrap_or(workload).to_string();
                let text_by = begun + TEXT_WITHIN;
                let (headers, sessions) = (request.headers(), &self.sessions);
                match statement(&core, sessions, &workload, headers, payload, text_by, connection.clone())
                    .await
                {
                    Ok(response) => response,
                    Err((status, why)) => {
                        core.bad_call(why);
                        return close_behind(refusal(status, why), connection.as_deref());
                    }
                }
            }
            (&Method::GET, Some(path)) => {
                match self.sessions.get(path.strip_prefix(NEXT).unwrap_or_default()) {
                    Some(session) => {
                        let answer = session.wait(NEXT_WITHIN, ended(connection.as_deref())).await;
                        tell_unkept(next(&session.path, answer), session.unkept.as_ref())
                    }
                    None => refusal(StatusCode::NOT_FOUND, "no such result"),
                }
            }
            (&Method::DELETE, Some(path)) => {
                match self.sessions.remove(&core, path.strip_prefix(NEXT).unwrap_or_default()) {
                    true => Response::with_body(StatusCode::NO_CONTENT, BoxBody::new(())),
                    false => refusal(StatusCode::NOT_FOUND, "no such result"),
                }
            }
            (_, Some(_)) => refusal(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
            (_, None) if request.path() == HEALTH => {
                refusal(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")
            }
            _ => refusal(StatusCode::NOT_FOUND, "no such path"),
        };
        if !response.status().is_client_error() {
            if self.crowded.get() && !response.extensions().contains::<ComesBack>() {
                make_room(&mut response, connection.as_deref());
            }
            return response;
        }
        core.bad_call(response.status().canonical_reason().unwrap_or("other"));
        close_behind(response, connection.as_deref())
    }
}

/// Whoever sends what is refused has lost count of the connection, or never had it: it carries no further call.
pub fn close_behind(mut response: Response<BoxBody>, connection: Option<&Connection>) -> Response<BoxBody> {
    response.head_mut().set_connection_type(ConnectionType::Close);
    connection.into_iter().for_each(Connection::refuse_further_calls);
    response
}

/// Returns once the client has closed its side of the connection.
async fn ended(connection: Option<&Connection>) {
    match connection {
        Some(connection) => connection.wait_for_end().await,
        None => std::future::pending().await,
    }
}

/// While it lives, a call is open on the connection.
struct Open(Rc<Connection>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.end_call();
    }
}

/// Tells the reducer that a client left, unless its answer went out before.
struct Waiting {
    core: Rc<Core>,
    id: Option<Id>,
    caller: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.core.forget(self.caller);
            self.core.input(Input::Left(id));
        }
    }
}

async fn statement(
    core: &Rc<Core>,
    sessions: &Rc<Sessions>,
    workload: &str,
    headers: &HeaderMap,
    payload: Payload,
    text_by: Instant,
    connection: Option<Rc<Connection>>,
) -> Result<Response<BoxBody>, Refused> {
    let asked = read_head(core, workload, headers)?;
    let came = intake::take(core, payload, headers, asked.0.workload, text_by, connection.as_deref());
    let (text, mut rest) = match came.await? {
        Came::Whole(text) => (Text::Whole(text), None),
        Came::Kept(body) => (Text::Body(body), None),
        Came::Passing(body, rest) => (Text::Body(body), Some(rest)),
        // Nothing was sent: harmless to repeat, and what still comes of it is not read.
        Came::NoRoom => {
            let response = next("", Some(Answer::Rejected(core.stay_away)));
            return Ok(close_behind(response, connection.as_deref()));
        }
    };
    let (mut said, mut parcel) = asked;
    let mut unkept = None;
    match &text {
        Text::Whole(text) => said.table_group = tables::group(text),
        Text::Body(body) => {
            said.replayable = rest.is_none();
            said.table_group = tables::group_of_part(&body.take_prefix());
            unkept = Some(body.not_kept());
        }
    }
    parcel.text = text;
    // Its time counts from when it came; it may have waited while this process stood still.
    let now = Instant::now();
    core.standstill.works(now);
    said.time_left = said.time_left.saturating_sub(core.standstill.waited(now));
    let id = said.id.clone();
    let (caller, mut answer) = core.expect();
    let mut waiting = Waiting { core: core.clone(), id: Some(id.clone()), caller };
    core.input(Input::Statement(Taken { caller, said, parcel }));
    if let Some(rest) = &mut rest {
        // What comes goes on to the engine. An answer before the end of it ends the connection, on which the rest still is.
        tokio::select! {
            biased;
            answered = &mut answer => {
                waiting.id = None;
                let response = next("", Some(answered.unwrap_or(Answer::Aborted)));
                return Ok(close_behind(tell_unkept(response, unkept.as_ref()), connection.as_deref()));
            }
            came = rest.pass_on(core, connection.as_deref()) => came?,
        }
    }
    let left = async {
        ended(connection.as_deref()).await;
        // The client has left, or sends no more: with either, no answer is awaited for long.
        core.input(Input::Left(id.clone()));
        std::future::pending::<Infallible>().await
    };
    let answered = tokio::select! {
        biased;
        answered = &mut answer => Some(answered.unwrap_or(Answer::Aborted)),
        never = left => match never {},
        () = sleep(FIRST_WITHIN), if sessions.have_room() => None,
    };
    waiting.id = None;
    let response = match answered {
        None => next(&sessions.open(core, id, answer, unkept.clone()), None),
        answered => next("", answered),
    };
    Ok(tell_unkept(response, unkept.as_ref()))
}

/// A final answer without a result says that its text was not kept, so that nobody wonders why it was tried but once.
fn tell_unkept(mut response: Response<BoxBody>, unkept: Option<&Rc<Cell<bool>>>) -> Response<BoxBody> {
    if unkept.is_some_and(|unkept| unkept.get()) && !response.status().is_success() {
        let name = header::HeaderName::from_static("x-body");
        response.headers_mut().insert(name, HeaderValue::from_static("not-kept"));
    }
    response
}

/// Marks an answer after which its client calls again at once, and has left if it can't.
struct ComesBack;

/// The connection of an answered call makes room for one that waits to be accepted, unless more has come on it.
fn make_room(response: &mut Response<BoxBody>, connection: Option<&Connection>) {
    if connection.is_some_and(|connection| !connection.has_pending_input()) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
}

/// The answer, or the path to come back to.
pub fn next(path: &str, answer: Option<Answer>) -> Response<BoxBody> {
    match answer {
        None => {
            let link = serde_json::json!({ "link": format!("{STATEMENTS}{NEXT}{path}") });
            let mut response = json(StatusCode::OK, link.to_string().into());
            response.extensions_mut().insert(ComesBack);
            response
        }
        Some(Answer::Completed(pages)) => completed(&pages),
        Some(Answer::Rejected(retry_in)) => {
            let mut response = refusal(StatusCode::SERVICE_UNAVAILABLE, "Busy");
            if let Some(retry_in) = retry_in {
                let wait = HeaderValue::from(retry_in.as_millis() as u64);
                response.headers_mut().insert(header::HeaderName::from_static("x-pushback-ms"), wait);
            }
            response
        }
        Some(Answer::InUse) => {
            refusal(StatusCode::CONFLICT, "X-Correlation-Id: is that of a statement still held")
        }
        Some(Answer::Aborted) => refusal(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

pub type Refused = (StatusCode, &'static str);

/// The fields that the decisions need; all else stays as it came. What a client of this protocol does not send is refused:
/// engines would have to make of it what they can.
fn read_head(core: &Core, workload: &str, headers: &HeaderMap) -> Result<(NewStatement, Parcel), Refused> {
    let bad = |why: &'static str| (StatusCode::BAD_REQUEST, why);
    let names = &core.names;
    let at = names.workloads.iter().position(|name| name == workload);
    let at = at.ok_or((StatusCode::NOT_FOUND, "no such workload"))?;
    // A field that comes twice says two things.
    let field = |name: &str, twice: &'static str| {
        let mut all = headers.get_all(name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(bad(twice)),
            (value, None) => {
                Ok(value.and_then(|value| value.to_str().ok()).map(str::trim).or(value.map(|_| "")))
            }
        }
    };
    let id = field("X-Correlation-Id", "X-Correlation-Id: comes twice")?;
    let id = id.filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
    let id = id.ok_or(bad("X-Correlation-Id: is not 16 hex digits"))?;
    let wait = field("X-Deadline-Ms", "X-Deadline-Ms: comes twice")?
        .and_then(|ms| plain_number(ms, LONGEST_WAIT_MS));
    let wait = wait.ok_or(bad("X-Deadline-Ms: is not a time in milliseconds"))?;
    // Clients wait for as long as the settings say, and those that are late with sending some milliseconds longer.
    let longest = core.longest.get(at).copied().flatten();
    if longest.is_some_and(|longest| wait > longest.as_secs_f64() * 1e3 * LONGER) {
        return Err(bad("X-Deadline-Ms: is longer than clients of the workload wait"));
    }
    let customer = match field("X-Org", "X-Org: comes twice")? {
        None if names.customers.is_empty() => None,
        name => {
            let at = names.customers.iter().position(|known| Some(known.as_str()) == name);
            Some(at.ok_or(bad("X-Org: is no customer of the settings"))?)
        }
    };
    let figure = |name: &str, twice: &'static str, most: f64, why: &'static str| match field(name, twice)? {
        None => Ok(None),
        Some(text) => match plain_number(text, most) {
            None if text.bytes().all(|b| matches!(b, b'0' | b'.')) && text.starts_with('0') => Ok(None),
            None => Err(bad(why)),
            some => Ok(some),
        },
    };
    let est_work = figure(
        "X-Estimate-Ms",
        "X-Estimate-Ms: comes twice",
        LONGEST_WORK_MS,
        "X-Estimate-Ms: is not a time in milliseconds",
    )?;
    let est_mem_mb =
        figure("X-Memory", "X-Memory: comes twice", MOST_MEM_MB, "X-Memory: is not a number of megabytes")?;
    let key = field("X-Operation-Key", "X-Operation-Key: comes twice")?;
    let sound =
        |key: &&str| (1..=LONGEST_NAME).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
    if !key.iter().all(sound) || (key.is_none() && core.keyed.get(at).copied().unwrap_or(false)) {
        return Err(bad("X-Operation-Key: is no key"));
    }
    let said = NewStatement {
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
    let parcel = Parcel {
        id: Bytes::copy_from_slice(id.as_bytes()),
        workload: Bytes::copy_from_slice(workload.as_bytes()),
        key: key.map(|key| Bytes::copy_from_slice(key.as_bytes())),
        text: Text::Whole(Bytes::new()),
    };
    Ok((said, parcel))
}

/// Digits, and perhaps a point and digits, above 0: no signs, exponents or words, which only look like numbers.
fn plain_number(text: &str, most: f64) -> Option<f64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |text: &str| (1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    let number = (digits(whole) && digits(part)).then(|| text.parse::<f64>().ok()).flatten()?;
    (number > 0.0 && number <= most).then_some(number)
}

/// All rows, in order and unchanged: each text as JSON has it.
fn completed(pages: &[Bytes]) -> Response<BoxBody> {
    let size: usize = pages.iter().map(Bytes::len).sum();
    let mut out = Vec::with_capacity(size * 5 / 4 + 64);
    out.extend_from_slice(b"{\"values\":[");
    let mut first = true;
    let rows = pages.iter().flat_map(|page| {
        let text = std::str::from_utf8(page).unwrap_or_default();
        text.split_terminator('\n')
    });
    for row in rows {
        out.extend_from_slice(if first { b"[" } else { b",[" });
        first = false;
        for (at, cell) in row.split('\t').enumerate() {
            if at > 0 {
                out.push(b',');
            }
            // Writing to memory does not fail.
            let _ = serde_json::to_writer(&mut out, cell);
        }
        out.push(b']');
    }
    out.extend_from_slice(b"]}");
    json(StatusCode::OK, out.into())
}

fn json(status: StatusCode, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    json(status, Bytes::from_static(text.as_bytes()))
}

pub fn refusal(status: StatusCode, why: &str) -> Response<BoxBody> {
    json(status, serde_json::json!({ "abort": why }).to_string().into())
}
