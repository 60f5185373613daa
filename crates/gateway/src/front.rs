//! The clients' side: HTTP by actix-http. It turns calls into the reducer's inputs and answers into calls'
//! answers, and decides nothing.

use crate::config::Bounds;
use crate::link::{Line, Lines, Link};
use crate::reducer::{Answer, Input, Parcel, Taken};
use crate::runtime::Core;
use crate::sessions::Sessions;
use crate::tables;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage as _, HttpService, Method, Payload, Protocol, Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::time::{sleep, timeout};
use actix_service::{fn_service, IntoServiceFactory as _, Service as _, ServiceFactory as _};
use bramblewharf::interface::{Id, NewStatement};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Clients close idle connections after 4 s; one that does not is closed after this.
const IDLE: Duration = Duration::from_secs(10);
/// A statement's text comes within this, and within its own time.
const TEXT_WITHIN: Duration = Duration::from_secs(10);
/// What a client may send ahead while it waits, and the head of a call.
const AHEAD: usize = 16 * 1024;
/// How long until room is made again at the bound of connections.
const AT_BOUND: Duration = Duration::from_millis(100);
const LONGEST_NAME: usize = 128;
const LONGEST_WAIT_MS: u64 = 24 * 3600 * 1000;
const HEALTH: &str = "/status/live";
const STATEMENTS: &str = "/svc/";
/// Where a client comes back for the answer of a statement that takes longer than the first time; it is then held for
/// so long as the second, if there is no answer yet.
const NEXT: &str = "next/";
const FIRST_WITHIN: Duration = Duration::from_millis(250);
const NEXT_WITHIN: Duration = Duration::from_secs(2);

/// What the accept loop and the closing gateway know of the connections.
pub struct Front {
    pub lines: Rc<Lines>,
    open: Cell<usize>,
    closed: Notify,
    most: usize,
    pub sessions: Rc<Sessions>,
    /// Statements that began to come since the start.
    pub begun: Cell<u64>,
}

impl Front {
    pub fn new(bounds: &Bounds) -> Rc<Front> {
        let lines = Rc::new(Lines::new(IDLE, None));
        // Answers are kept for a while after they were given.
        let sessions = Rc::new(Sessions::new(2 * bounds.stmts));
        let (open, begun) = (Cell::new(0), Cell::new(0));
        Rc::new(Front { lines, open, closed: Notify::new(), most: bounds.clients, sessions, begun })
    }

    /// Accepts for as long as it is polled.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, core: Rc<Core>) -> io::Result<Infallible> {
        let served = core.clone();
        let this = self.clone();
        let service = HttpService::<Link, _, _>::build()
            .keep_alive(IDLE)
            .client_request_timeout(IDLE)
            .client_disconnect_timeout(Duration::from_secs(1))
            .h1_allow_half_closed(true)
            .on_connect_ext(|link: &Link, ext: &mut actix_http::Extensions| {
                ext.insert(link.0.clone());
            })
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
        loop {
            // At the bound an idle connection makes room; where all are in use, new ones wait for one to end.
            while self.open.get() >= self.most {
                self.lines.close_idlest(Duration::ZERO);
                let _ = timeout(AT_BOUND, self.closed.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, from)) => {
                    refused = false;
                    self.clone().connect(&service, stream, from);
                }
                Err(error) => {
                    if !std::mem::replace(&mut refused, true) {
                        slog::warn!(core.log, "connection not accepted"; "error" => %error);
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    fn connect<S>(self: Rc<Self>, service: &Rc<S>, stream: TcpStream, from: SocketAddr)
    where
        S: actix_service::Service<(Link, Protocol, Option<SocketAddr>)> + 'static,
    {
        let call = service.call((self.lines.link(stream), Protocol::Http1, Some(from)));
        self.open.set(self.open.get() + 1);
        actix_rt::spawn(async move {
            let _ = call.await;
            self.open.set(self.open.get() - 1);
            self.closed.notify_one();
        });
    }

    async fn call(&self, core: Rc<Core>, mut request: Request) -> Response<BoxBody> {
        let line = request.conn_data::<Rc<Line>>().cloned();
        let _open = line.as_ref().map(|line| {
            line.open(core.bounds.statement + AHEAD);
            Open(line.clone())
        });
        let payload = request.take_payload();
        let response = match (request.method(), request.path().strip_prefix(STATEMENTS)) {
            (&Method::GET, None) if request.path() == HEALTH => {
                plain(StatusCode::OK, "{\"status\":\"live\"}")
            }
            (&Method::POST, Some(workload)) => {
                self.begun.set(self.begun.get() + 1);
                let workload = workload.rsplit('/').next().unwrap_or(workload).to_string();
                statement(&core, &self.sessions, &workload, request.headers(), payload, line).await
            }
            (&Method::GET, Some(path)) => {
                match self.sessions.get(path.strip_prefix(NEXT).unwrap_or_default()) {
                    Some(session) => {
                        let answer = session.wait(NEXT_WITHIN, ended(line.as_deref())).await;
                        next(&session.id, answer)
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
        if response.status().is_client_error() {
            core.bad_call();
        }
        response
    }
}

/// Returns once the client has closed its side of the connection.
async fn ended(line: Option<&Line>) {
    match line {
        Some(line) => line.ended().await,
        None => std::future::pending().await,
    }
}

/// While it lives, a call is open on the connection.
struct Open(Rc<Line>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.rest();
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
    line: Option<Rc<Line>>,
) -> Response<BoxBody> {
    let mut asked = match read_head(core, workload, headers) {
        Ok(asked) => asked,
        Err((status, why)) => return refusal(status, why),
    };
    let text = match timeout(TEXT_WITHIN, read_text(payload, headers, core.bounds.statement)).await {
        Ok(Ok(text)) => text,
        Ok(Err((status, why))) => return refusal(status, why),
        Err(_) => return refusal(StatusCode::REQUEST_TIMEOUT, "the statement came too slowly"),
    };
    if let Some(line) = &line {
        line.open(AHEAD);
    }
    asked.0.table_group = tables::group(&text);
    asked.1.statement = text;
    let id = asked.0.id.clone();
    let (caller, mut answer) = core.expect();
    let mut waiting = Waiting { core: core.clone(), id: Some(id.clone()), caller };
    core.input(Input::Statement(Taken { caller, said: asked.0, parcel: asked.1 }));
    let left = async {
        ended(line.as_deref()).await;
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
    if answered.is_none() {
        sessions.open(core, id.clone(), answer);
    }
    next(&id, answered)
}

/// The answer, or the path to come back to.
fn next(id: &str, answer: Option<Answer>) -> Response<BoxBody> {
    match answer {
        None => json(
            StatusCode::OK,
            serde_json::json!({ "link": format!("{STATEMENTS}{NEXT}{id}") }).to_string().into(),
        ),
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

type Refused = (StatusCode, &'static str);

/// The fields that the decisions need; all else stays as it came.
fn read_head(core: &Core, workload: &str, headers: &HeaderMap) -> Result<(NewStatement, Parcel), Refused> {
    let bad = |why: &'static str| (StatusCode::BAD_REQUEST, why);
    let field = |name: &str| headers.get(name).map(HeaderValue::as_bytes);
    let text = |name: &str| field(name).and_then(|bytes| std::str::from_utf8(bytes).ok()).map(str::trim);
    let at = core.names.workloads.iter().position(|name| name == workload);
    let at = at.ok_or((StatusCode::NOT_FOUND, "no such workload"))?;
    let id =
        text("X-Correlation-Id").filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
    let id = id.ok_or(bad("X-Correlation-Id: is not 16 hex digits"))?;
    let wait = text("X-Deadline-Ms").and_then(|ms| ms.parse::<f64>().ok());
    let wait = wait.filter(|ms| *ms > 0.0 && *ms <= LONGEST_WAIT_MS as f64);
    let wait = wait.ok_or(bad("X-Deadline-Ms: is not a time in milliseconds"))?;
    let customer = match text("X-Org") {
        None | Some("") => None,
        Some(name) => {
            let at = core.names.customers.iter().position(|known| known == name);
            Some(at.ok_or(bad("X-Org: is no customer of the settings"))?)
        }
    };
    let figure = |name: &str, why: &'static str| match text(name) {
        None => Ok(None),
        Some(text) => match text.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(Some(n).filter(|n| *n > 0.0)),
            _ => Err(bad(why)),
        },
    };
    let est_work = figure("X-Estimate-Ms", "X-Estimate-Ms: is not a time in milliseconds")?;
    let est_mem_mb = figure("X-Memory", "X-Memory: is not a number")?;
    let key = field("X-Operation-Key").filter(|key| !key.is_empty());
    if key.is_some_and(|key| key.len() > LONGEST_NAME) {
        return Err(bad("X-Operation-Key: is too long"));
    }
    let said = NewStatement {
        id: id.into(),
        workload: at,
        customer,
        key: None,
        time_left: Duration::from_secs_f64(wait / 1e3),
        est_work: est_work.map(|ms| Duration::from_secs_f64((ms / 1e3).min(1e6))),
        est_mem_mb,
        table_group: None,
    };
    let parcel = Parcel {
        id: Bytes::copy_from_slice(id.as_bytes()),
        workload: Bytes::copy_from_slice(workload.as_bytes()),
        key: key.map(Bytes::copy_from_slice),
        statement: Bytes::new(),
    };
    Ok((said, parcel))
}

async fn read_text(mut payload: Payload, headers: &HeaderMap, most: usize) -> Result<Bytes, Refused> {
    let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "the statement is too large");
    let told = headers.get(header::CONTENT_LENGTH).and_then(|n| n.to_str().ok()?.parse::<usize>().ok());
    if told.is_some_and(|length| length > most) {
        return Err(too_large);
    }
    let mut parts: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| (StatusCode::BAD_REQUEST, "the statement did not come whole"))?;
        length += part.len();
        if length > most {
            return Err(too_large);
        }
        parts.push(part);
    }
    if parts.len() <= 1 {
        return Ok(parts.pop().unwrap_or_default());
    }
    let mut whole = BytesMut::with_capacity(length);
    parts.iter().for_each(|part| whole.extend_from_slice(part));
    Ok(whole.freeze())
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

fn refusal(status: StatusCode, why: &str) -> Response<BoxBody> {
    json(status, serde_json::json!({ "abort": why }).to_string().into())
}
