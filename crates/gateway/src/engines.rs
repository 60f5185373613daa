//! Executions on engines: HTTP by awc. Each one's ending becomes an outcome, with no more proof than the network
//! gives: only a connection refused or never established, or the protocol's own marks, prove that nothing ran.

use crate::closes::{CloseCounts, CloseReason};
use crate::config::Bounds;
use crate::connection::{is_quiet, Connection, Connections, TrackedStream};
use crate::reducer::{
    Cancel, CancelOutcome, EngineRequest, ExecutionResult, StatementText, MIN_CANCEL_WINDOW,
};
use crate::upload::{UploadBody, UploadWatch};
use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as DialError, ConnectInfo, Connection as Dialled};
use awc::http::{StatusCode, Uri};
use awc::{Client, ClientRequest, Connector, SendClientRequest};
use bramblewharf::interface::*;
use bramblewharf_site::Names;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An engine answers within 250 ms, if only that there is no news; by then it has not, or the answer is lost.
const UNANSWERED: Duration = Duration::from_millis(300);
/// An engine that is merely slow would have every answer given up just before it comes, and be asked the more: each call after one that was not
/// answered waits twice as long, so often.
const PATIENCE_DOUBLES: u32 = 2;
/// A statement that has no answer by then is asked for on a second connection too: most are over by then, and where the
/// answer was lost the decisions would take an engine for slow that has done its work. A page is there at once.
const SECOND_ASK: Duration = Duration::from_millis(100);
const PAGE_WITHIN: Duration = Duration::from_millis(100);
/// That is done for so long after any call had to be made again: on good paths a second connection is of no use.
const WARY: Duration = Duration::from_secs(30);
/// Pause before an engine is asked again that could not be reached or broke off twice, or that answers too fast.
const PAUSE: Duration = Duration::from_millis(25);
const TOO_FAST: Duration = Duration::from_millis(5);
/// A connection rests for so long between two executions: what an engine sent behind an answer has come by then, and is
/// not taken for the next one's.
const REST: Duration = Duration::from_millis(250);
/// An engine that answers new calls has read by then whatever had come to it before.
const READS_WITHIN: Duration = Duration::from_millis(500);
/// The longest pause between two calls by which an engine is told to end an execution.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// How often the end of an execution or a page is asked for again where what came was no such thing, or did not come.
const TRIES: usize = 5;

const NOTHING: StatementText = StatementText::Inline(Bytes::new());
const ALWAYS: SendGuards<'static> = SendGuards { may_begin: &|| true, may_complete: &|| true };

pub struct EngineClient {
    connections: Rc<Connections>,
    /// Connections that no execution uses, the longest at rest first; bounded with `lines` by `bounds.engines`, emptied of
    /// what has rested for `idle`.
    resting: RefCell<VecDeque<Resting>>,
    idle: Duration,
    /// Calls that broke off, stayed silent or brought what is no answer, since the start.
    again: Cell<u64>,
    last_again: Cell<Option<Instant>>,
    names: Names,
    bounds: Bounds,
    dial_timeout: Duration,
    /// A statement may have no two executions out, not even for as long as one may yet be on its way.
    one_at_a_time: bool,
}

struct Resting {
    address: SocketAddr,
    since: Instant,
    stream: TcpStream,
}

/// The connections of one execution, one at a time. Until it is over no other execution has them, and then only what showed
/// nothing irregular, after a rest: no answer that comes late, twice or to another call is ever taken for a result.
struct Way {
    address: SocketAddr,
    client: Client,
    /// A connection that is made, for the client to take.
    made: Rc<Cell<Option<TrackedStream>>>,
    connection: Option<Rc<Connection>>,
}

impl Way {
    fn to(address: SocketAddr) -> Way {
        let made = Rc::new(Cell::new(None));
        let slot = made.clone();
        // Connections are made before the client is asked to send, and what became of that is known apart.
        let dial = fn_service(move |info: ConnectInfo<Uri>| {
            let link: Option<TrackedStream> = slot.take();
            std::future::ready(match link {
                Some(link) => Ok(Dialled::new(info.request().clone(), link)),
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
        Way { address, client, made, connection: None }
    }

    /// The connection in use is not used again.
    fn leave(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close(CloseReason::Irregular);
        }
    }
}

/// What came of one call.
enum Call {
    /// No connection was established, or it had ended before a byte of the call was written. With whether it was refused.
    NotMade(bool),
    /// Our own bound or the system's kept it from being made.
    NoRoom,
    /// The text was not sent whole, through no fault of the engine or the path to it.
    Broken,
    /// The connection broke or carried what is no answer: whatever was sent may have been read, and is not read any more if it was not.
    Lost,
    /// Nothing came: whatever was sent may have been read, or may wait unread at the engine or on its way, and be read at any time.
    Silent,
    Answered(Reply),
}

/// What is heard of an execution before its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExecutionUpdate {
    /// The engine has it.
    Arrived,
    Note(Note),
}

struct Reply {
    status: StatusCode,
    headers: awc::http::header::HeaderMap,
    body: Bytes,
}

impl Reply {
    fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok().map(str::trim)
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.parse().ok()
    }

    fn never_ran(&self) -> bool {
        self.text("X-Shed") == Some("1")
    }
}

/// What one execution is sent with.
pub struct Dispatch<'a> {
    pub address: SocketAddr,
    pub engine_request: &'a EngineRequest,
    pub mem_mb: f64,
    /// Until when its end is waited for.
    pub deadline: Instant,
    pub guards: SendGuards<'a>,
}

/// Whether a call may still go out, right before its first byte does: nothing may have come since that takes it back. And whether
/// one that takes long may still come whole.
#[derive(Clone, Copy)]
pub struct SendGuards<'a> {
    pub may_begin: &'a dyn Fn() -> bool,
    pub may_complete: &'a dyn Fn() -> bool,
}

impl EngineClient {
    pub fn new(
        bounds: Bounds,
        names: Names,
        dial_timeout: Duration,
        engine_idle: Duration,
        one_at_a_time: bool,
    ) -> EngineClient {
        // Closed well before engines close them: a call must not cross such a close.
        let idle = engine_idle / 3;
        let connections = Rc::new(Connections::for_engines(bounds.page, idle));
        EngineClient {
            connections,
            resting: RefCell::default(),
            idle,
            again: Cell::new(0),
            last_again: Cell::new(None),
            names,
            bounds,
            dial_timeout,
            one_at_a_time,
        }
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.count() + self.resting.borrow().len()
    }

    /// Why connections to engines were closed.
    pub fn close_counts(&self) -> &CloseCounts {
        &self.connections.close_counts
    }

    pub fn retried_calls(&self) -> u64 {
        self.again.get()
    }

    fn count_again(&self) {
        self.again.set(self.again.get() + 1);
        self.last_again.set(Some(Instant::now()));
    }

    /// Closes what has been idle for too long; to be called now and then.
    pub fn close_idle(&self) {
        self.connections.close_idle();
        self.resting.borrow_mut().retain(|resting| resting.since.elapsed() < self.idle);
    }

    pub fn close_all(&self) {
        self.connections.close_all();
        self.resting.borrow_mut().clear();
    }

    /// One that has rested long enough, if it is still good: nothing has come on it, not even its end.
    fn rested(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut resting = self.resting.borrow_mut();
        loop {
            // One that was not swept away in time, as this process stood still, may be closed there without a word.
            let rested = REST..self.idle.max(REST * 2);
            let enough =
                |resting: &Resting| resting.address == address && rested.contains(&resting.since.elapsed());
            let at = resting.iter().position(enough)?;
            let stream = resting.remove(at)?.stream;
            if is_quiet(&stream) {
                return Some(stream);
            }
        }
    }

    /// Runs one execution to its end; `heard` is told that it arrived, and the engine's notes.
    pub async fn run(&self, dispatch: Dispatch<'_>, heard: impl Fn(ExecutionUpdate)) -> ExecutionResult {
        let mut way = Way::to(dispatch.address);
        let result = self.run_by(&mut way, &dispatch, heard).await;
        if let Some(stream) = way
            .connection
            .take()
            .filter(|connection| connection.is_reusable())
            .and_then(|connection| connection.take_stream())
        {
            let since = Instant::now();
            self.resting.borrow_mut().push_back(Resting { address: dispatch.address, since, stream });
        }
        result
    }

    async fn run_by(
        &self,
        way: &mut Way,
        dispatch: &Dispatch<'_>,
        heard: impl Fn(ExecutionUpdate),
    ) -> ExecutionResult {
        let id = String::from_utf8_lossy(&dispatch.engine_request.id);
        let mut other = Way::to(dispatch.address);
        let first = tokio::select! {
            biased;
            call = self.post(way, dispatch) => Ok(call),
            reply = self.ask_beside(&mut other, &id) => Err(reply),
        };
        let mut call = first.unwrap_or_else(|reply| {
            std::mem::swap(way, &mut other);
            Call::Answered(reply)
        });
        drop(other);
        let (mut started, mut in_a_row, mut odd, mut lost, mut unknown) = (false, 0, 0, false, false);
        let (mut arrived, mut unread) = (false, false);
        loop {
            match call {
                Call::NoRoom if !started => return Outcome::Skipped.into(),
                // No word against the engine; what it had of the text it can't have run, but nothing proves that.
                Call::Broken => {
                    self.end_what_is_of_no_use(dispatch, &id).await;
                    return Outcome::Cancelled.into();
                }
                // The engine's process is gone, and the execution with it.
                Call::NotMade(refused) if !started || refused => {
                    return if started { Outcome::Reset } else { Outcome::Refused }.into();
                }
                Call::NotMade(_) | Call::NoRoom | Call::Lost | Call::Silent => {
                    self.count_again();
                    lost |= !started;
                    unread |= !started && matches!(call, Call::Silent);
                    // No connection comes up to a machine that is cut off: what it had not received is not delivered any more, as its
                    // connection was reset, and what it had received it has read.
                    unread &= !matches!(call, Call::NotMade(_));
                    in_a_row += 1;
                    if in_a_row > 1 {
                        sleep(PAUSE).await;
                    }
                }
                Call::Answered(reply) => {
                    in_a_row = 0;
                    match self.read(&reply) {
                        News::None(note) => {
                            if !std::mem::replace(&mut arrived, true) {
                                heard(ExecutionUpdate::Arrived);
                            }
                            unread = false;
                            note.into_iter().for_each(|note| heard(ExecutionUpdate::Note(note)));
                        }
                        // It waits where the engine has not read it, for nobody knows how long: the next would be out beside it.
                        News::Failed(Outcome::Error) if unread && self.one_at_a_time => sleep(REST).await,
                        // What was sent may yet be on its way, and would be out beside the next.
                        News::Failed(Outcome::Error) if lost && self.one_at_a_time && !unknown => {
                            unknown = true;
                            sleep(REST).await;
                        }
                        // An engine that does not know it may never have had it whole; the path is at fault.
                        News::Failed(Outcome::Error) if lost => {
                            let report = self.report(&reply);
                            return ExecutionResult { report, unread, ..Outcome::Reset.into() };
                        }
                        News::Failed(outcome) => {
                            return ExecutionResult { report: self.report(&reply), ..outcome.into() };
                        }
                        News::Completed(pages) => match self.fetch(way, &id, &reply, pages).await {
                            Ok(result) => return result,
                            Err(Unfetched::Gone) => {
                                return ExecutionResult {
                                    report: self.report(&reply),
                                    ..Outcome::Error.into()
                                };
                            }
                            Err(Unfetched::Odd) => odd += 1,
                        },
                        News::Odd => odd += 1,
                    }
                    if odd > 0 {
                        self.count_again();
                        way.leave();
                    }
                    if odd >= TRIES {
                        self.end_what_is_of_no_use(dispatch, &id).await;
                        return Outcome::Error.into();
                    }
                }
            }
            started = true;
            let asked = Instant::now();
            call = self.get(way, &id, 0, patience(in_a_row)).await;
            let at_once = matches!(&call, Call::Answered(r) if r.status == StatusCode::ACCEPTED);
            if at_once && asked.elapsed() < TOO_FAST {
                sleep(PAUSE).await;
            }
        }
    }

    /// Gives an execution up, and returns what is known of it then. A call that broke off may never have come whole, and is made
    /// again.
    pub async fn stop(&self, address: SocketAddr, id: &str, cancel: Cancel) -> CancelOutcome {
        let uri = format!("http://{address}/x/{id}");
        let delete = |client: &Client| client.delete(&uri);
        let (began, mut pause, mut arrived) = (Instant::now(), PAUSE, cancel.arrived);
        let (mut answered, mut unanswered): (Option<Instant>, u32) = (None, 0);
        let (mut cut, mut came_up) = (false, false);
        // An engine may read a cancel before the statement that it is for, which then begins.
        let looks_first = cancel.awaited;
        while began.elapsed() < cancel.within {
            let looks = looks_first && !arrived;
            let asked = Instant::now();
            let call = match looks {
                true => self.get(&mut Way::to(address), id, 0, patience(unanswered)).await,
                false => {
                    self.call(&mut Way::to(address), delete, &NOTHING, patience(unanswered), ALWAYS).await
                }
            };
            unanswered += u32::from(!matches!(call, Call::Answered(_)));
            cut |= matches!(call, Call::NotMade(false));
            came_up |= !matches!(call, Call::NotMade(_) | Call::NoRoom);
            let reads = matches!(call, Call::Answered(_))
                && answered.is_some_and(|first| asked >= first + READS_WITHIN);
            match call {
                Call::Answered(reply) if looks => {
                    arrived = matches!(self.read(&reply), News::None(_) | News::Completed(_));
                    answered.get_or_insert(asked);
                    if arrived {
                        continue;
                    }
                    if cut && reads {
                        return CancelOutcome::CutOff;
                    }
                }
                Call::Answered(_) if arrived => return CancelOutcome::Over,
                // Nothing waits for it: told once is enough.
                Call::Answered(_) => return CancelOutcome::Unread,
                Call::NotMade(true) => return CancelOutcome::Gone,
                // Where second copies are allowed nothing waits for it, and it must not crowd out what does.
                _ if !self.one_at_a_time && self.connections() >= self.bounds.engines * 3 / 4 => break,
                _ if looks_first && cut && !came_up && began.elapsed() >= MIN_CANCEL_WINDOW => {
                    return CancelOutcome::CutOff;
                }
                _ => {}
            }
            sleep(if answered.is_some() { READS_WITHIN } else { pause }).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        answered.map_or(CancelOutcome::Unknown, |_| CancelOutcome::Unread)
    }

    /// Whether an engine has read all that was sent to it before, as it answers calls that far apart, or its process is gone. `name`: of
    /// no statement.
    pub async fn confirm_reads(&self, address: SocketAddr, name: &str, within: Duration) -> bool {
        let (began, mut unanswered) = (Instant::now(), 0);
        let mut answered: Option<Instant> = None;
        while began.elapsed() < within {
            let asked = Instant::now();
            match self.get(&mut Way::to(address), name, 0, patience(unanswered)).await {
                Call::Answered(_) if answered.is_some_and(|first| asked >= first + READS_WITHIN) => {
                    return true
                }
                Call::Answered(_) => drop(answered.get_or_insert_with(Instant::now)),
                Call::NotMade(true) => return true,
                _ => unanswered += 1,
            }
            sleep(if answered.is_some() { READS_WITHIN } else { PAUSE }).await;
        }
        false
    }

    /// An execution whose text broke off, or whose answers are none.
    async fn end_what_is_of_no_use(&self, dispatch: &Dispatch<'_>, id: &str) {
        let cancel = Cancel { arrived: true, within: MIN_CANCEL_WINDOW, awaited: self.one_at_a_time };
        self.stop(dispatch.address, id, cancel).await;
    }

    async fn post(&self, way: &mut Way, dispatch: &Dispatch<'_>) -> Call {
        let Dispatch { engine_request, mem_mb, deadline, .. } = dispatch;
        let uri = format!("http://{}/x", way.address);
        let request = |client: &Client| {
            // What is left right before it goes out: a connection may have been made in between.
            let left = deadline.saturating_duration_since(Instant::now());
            let mut request = client
                .post(&uri)
                .insert_header(("X-Ticket", &engine_request.id[..]))
                .insert_header(("X-Queue", &engine_request.workload[..]))
                .insert_header(("X-Max-Ms", left.as_micros().div_ceil(1000).max(1) as u64));
            if let Some(key) = &engine_request.key {
                request = request.insert_header(("X-Nonce", &key[..]));
            }
            if *mem_mb > 0.0 {
                request = request.insert_header(("Grant-Mb", format!("{:.0}", mem_mb.ceil())));
            }
            request
        };
        self.call(way, request, &engine_request.text, UNANSWERED, dispatch.guards).await
    }

    /// The news of an execution, or a further page of its result.
    async fn get(&self, way: &mut Way, id: &str, page: usize, within: Duration) -> Call {
        let uri = format!("http://{}/x/{id}/{page}", way.address);
        self.call(way, |client| client.get(&uri), &NOTHING, within, ALWAYS).await
    }

    /// Asks for the end of a statement whose own answer takes long, and returns with that alone: as long as the statement may
    /// yet be on its way, whatever else an engine says of it means nothing. Leaves room for those that have not asked at all.
    async fn ask_beside(&self, way: &mut Way, id: &str) -> Reply {
        sleep(SECOND_ASK).await;
        let wary = self.last_again.get().is_some_and(|at| at.elapsed() < WARY);
        for _ in 0..TRIES {
            if !wary || self.connections() >= self.bounds.engines * 3 / 4 {
                break;
            }
            match self.get(way, id, 0, UNANSWERED).await {
                Call::Answered(reply) if matches!(self.read(&reply), News::Completed(_)) => return reply,
                Call::Lost | Call::Silent => {}
                _ => break,
            }
        }
        std::future::pending().await
    }

    async fn connect(&self, way: &mut Way) -> Result<Rc<Connection>, Call> {
        if let Some(connection) = way.connection.as_ref().filter(|connection| connection.is_reusable()) {
            return Ok(connection.clone());
        }
        let stream = match self.rested(way.address) {
            Some(stream) => stream,
            None => self.dial(way.address).await?,
        };
        let link = self.connections.track(stream);
        let connection = link.0.clone();
        way.made.set(Some(link));
        way.connection = Some(connection.clone());
        Ok(connection)
    }

    async fn dial(&self, address: SocketAddr) -> Result<TcpStream, Call> {
        // At the bound a connection that no execution uses makes room.
        if self.connections() >= self.bounds.engines && self.resting.borrow_mut().pop_front().is_none() {
            return Err(Call::NoRoom);
        }
        match timeout(self.dial_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(match error.kind() {
                io::ErrorKind::ConnectionRefused => Call::NotMade(true),
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable => Call::NotMade(false),
                // Descriptors, ports, memory: ours, whatever the engine does.
                _ => Call::NoRoom,
            }),
            Err(_) => Err(Call::NotMade(false)),
        }
    }

    /// One call, once. Only where not a byte of it was written does it go out on a second connection, by what holds then.
    async fn call(
        &self,
        way: &mut Way,
        request: impl Fn(&Client) -> ClientRequest,
        text: &StatementText,
        within: Duration,
        guards: SendGuards<'_>,
    ) -> Call {
        let mut was_late = false;
        for _ in 0..2 {
            let connection = match self.connect(way).await {
                Ok(connection) => connection,
                Err(call) => return call,
            };
            // Guards against what came between the decision and the socket: a pause of this process, a client that left
            // while the connection was made, a drain.
            if !(guards.may_begin)() {
                return Call::NoRoom;
            }
            connection.prepare_send();
            let request = request(&way.client).no_decompress();
            let reply = match text {
                StatementText::Inline(text) => {
                    let sent = request.send_body(text.clone());
                    timeout(within, self.reply(sent)).await.ok()
                }
                StatementText::Stored(body) => {
                    let Some(outgoing) = body.start_sending() else { return Call::NoRoom };
                    let upload = UploadWatch::new(&outgoing, connection.clone());
                    let sent = request.send_body(UploadBody::new(outgoing, upload.stop_signal()));
                    upload.watch(within, guards.may_complete, self.reply(sent)).await
                }
            };
            if let Some(Some(reply)) = reply {
                return Call::Answered(reply);
            }
            let is_silent = reply.is_none();
            was_late = connection.was_late();
            way.leave();
            if connection.has_sent() {
                return match text {
                    StatementText::Stored(body) if body.is_aborted() || body.is_corrupted() => Call::Broken,
                    _ if is_silent => Call::Silent,
                    _ => Call::Lost,
                };
            }
            if let StatementText::Stored(body) = text {
                body.return_unsent();
            }
        }
        // The engine has no part in a pause of this process.
        if was_late {
            return Call::NoRoom;
        }
        Call::NotMade(false)
    }

    async fn reply(&self, sent: SendClientRequest) -> Option<Reply> {
        let mut response = sent.await.ok()?;
        let body = response.body().limit(self.bounds.page).await.ok()?;
        Some(Reply { status: response.status(), headers: response.headers().clone(), body })
    }

    fn read(&self, reply: &Reply) -> News {
        match reply.status {
            StatusCode::ACCEPTED => News::None(note(reply)),
            StatusCode::OK => match reply.number("Page-Count") {
                Some(pages) if (1..=self.bounds.pages).contains(&pages) => News::Completed(pages),
                _ => News::Odd,
            },
            StatusCode::SERVICE_UNAVAILABLE if reply.never_ran() => News::Failed(Outcome::Full),
            StatusCode::GATEWAY_TIMEOUT if reply.never_ran() => News::Failed(Outcome::Skipped),
            _ => News::Failed(Outcome::Error),
        }
    }

    /// Completed is what is here whole: a page that is missing or cannot be read may not pass for a result.
    async fn fetch(
        &self,
        way: &mut Way,
        id: &str,
        first: &Reply,
        count: usize,
    ) -> Result<ExecutionResult, Unfetched> {
        let work = first.number::<f64>("Work-Ms").filter(|ms| *ms >= 0.0 && ms.is_finite());
        let mem = first.number::<f64>("Peak-Mb").filter(|mb| *mb >= 0.0 && mb.is_finite()).unwrap_or(0.0);
        let consumed = work.map(|ms| (Duration::from_secs_f64((ms / 1e3).min(1e6)), mem));
        let mut columns = None;
        let mut bytes = first.body.len();
        if !is_whole(&first.body, &mut columns) {
            return Err(Unfetched::Odd);
        }
        let mut pages = vec![first.body.clone()];
        for number in 1..count {
            let page = self.page(way, id, number, &mut columns).await?;
            bytes += page.len();
            if bytes > self.bounds.result {
                return Err(Unfetched::Gone);
            }
            pages.push(page);
        }
        Ok(ExecutionResult {
            outcome: Outcome::Completed,
            pages,
            consumed,
            report: self.report(first),
            unread: false,
        })
    }

    async fn page(
        &self,
        way: &mut Way,
        id: &str,
        number: usize,
        columns: &mut Option<usize>,
    ) -> Result<Bytes, Unfetched> {
        for again in 0..TRIES {
            if again > 0 {
                self.count_again();
            }
            if again > 1 {
                sleep(PAUSE).await;
            }
            let within = if again == 0 { PAGE_WITHIN } else { UNANSWERED };
            match self.get(way, id, number, within).await {
                Call::NotMade(true) => return Err(Unfetched::Gone),
                Call::NotMade(false) | Call::NoRoom | Call::Lost | Call::Silent | Call::Broken => {}
                Call::Answered(reply) if reply.status != StatusCode::OK => return Err(Unfetched::Gone),
                Call::Answered(reply) => {
                    if reply.number("Page-No") == Some(number) && is_whole(&reply.body, columns) {
                        return Ok(reply.body);
                    }
                    // Of another call, or spoilt on its way: the next answer here could be as wrong.
                    way.leave();
                }
            }
        }
        Err(Unfetched::Gone)
    }

    fn report(&self, reply: &Reply) -> Option<LoadReport> {
        reply.text("X-Meter").map(|text| read_report(text, &self.names))
    }
}

/// How long an answer is waited for after so many calls that had none.
fn patience(unanswered: u32) -> Duration {
    UNANSWERED * 2u32.pow(unanswered.min(PATIENCE_DOUBLES))
}

/// A load report, as in `inflight:7;util:0.61`; what cannot be read is not told.
fn read_report(text: &str, names: &Names) -> LoadReport {
    let told = |name: &str| {
        let field = text.split(';').find_map(|f| f.trim().strip_prefix(name)?.strip_prefix(':'));
        field.and_then(|value| value.trim().parse::<f64>().ok()).filter(|value| value.is_finite())
    };
    names.report(|name| told(name).or_else(|| told(on_sockets(name)?)))
}

/// The fields of a load report have names of their own on sockets.
fn on_sockets(name: &str) -> Option<&'static str> {
    Some(match name {
        "cpu_share" => "util",
        "busy_reqs" => "inflight",
        "pending" => "queue",
        _ => return None,
    })
}

/// Why there is no whole result of what completed.
enum Unfetched {
    /// It is not to be had any longer.
    Gone,
    /// What came is none; it may be asked for again.
    Odd,
}

enum News {
    /// Not yet over.
    None(Option<Note>),
    Failed(Outcome),
    /// No such answer as engines give: spoilt on its way, or of another call.
    Odd,
    /// Over, with so many pages.
    Completed(usize),
}

fn note(reply: &Reply) -> Option<Note> {
    let figure = || reply.number::<f64>("Figure").filter(|x| x.is_finite());
    Some(match reply.text("X-Remark")? {
        "so_far" => Note::Progress(figure()?),
        "lacking" => Note::Spills(figure()?),
        "waiting" if figure()? as i64 == 2 => Note::WaitsForLoad,
        "waiting" => Note::WaitsForMemory,
        _ => return None,
    })
}

/// Whole rows of text, all with the same number of columns.
fn is_whole(page: &[u8], columns: &mut Option<usize>) -> bool {
    let Ok(text) = std::str::from_utf8(page) else { return false };
    if !text.is_empty() && !text.ends_with('\n') {
        return false;
    }
    text.split_terminator('\n').all(|row| {
        let count = row.split('\t').count();
        *columns.get_or_insert(count) == count
    })
}

#[cfg(test)]
mod tests;
