//! Executions on engines: HTTP by awc. Each one's ending becomes an outcome, with no more proof than the network
//! gives: only a connection refused or never established, or the protocol's own marks, prove that nothing ran.

use crate::config::Bounds;
use crate::link::{Lines, Link};
use crate::reducer::{Ending, Parcel};
use actix_http::error::ParseError;
use actix_rt::net::TcpStream;
use actix_rt::time::{sleep, timeout};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError as DialError, ConnectInfo, Connection};
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::{StatusCode, Uri};
use awc::{Client, ClientRequest, Connector};
use bramblewharf::interface::*;
use bramblewharf_site::Names;
use bytes::Bytes;
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An engine answers within 250 ms, if only that there is no news; by then it has not.
const UNANSWERED: Duration = Duration::from_secs(1);
/// Pause before an engine is asked again that could not be reached, or that answers too fast.
const PAUSE: Duration = Duration::from_millis(25);
const TOO_FAST: Duration = Duration::from_millis(5);
/// How often a page is asked for again after a broken connection, which changes nothing at the engine.
const PAGE_TRIES: usize = 3;

pub struct Engines {
    client: RefCell<Client>,
    pub lines: Rc<Lines>,
    names: Names,
    bounds: Bounds,
    dial_timeout: Duration,
    idle: Duration,
}

/// A client that counts and watches its connections, and gives no call a time of its own.
fn client(lines: &Rc<Lines>, idle: Duration, dial_timeout: Duration, most: usize) -> Client {
    let lines = lines.clone();
    let dial = fn_service(move |info: ConnectInfo<Uri>| {
        let lines = lines.clone();
        async move {
            // A pool keeps what it has: at the bound, what no call can be open on makes room.
            if lines.count() >= most && !lines.close_idlest(dial_timeout + UNANSWERED) {
                return Err(DialError::Io(io::Error::other("too many connections to engines")));
            }
            let host = info.hostname().trim_matches(['[', ']']);
            let ip: IpAddr = host.parse().map_err(|_| DialError::Unresolved)?;
            let stream = TcpStream::connect((ip, info.port())).await.map_err(DialError::Io)?;
            Ok(Connection::new(info.request().clone(), lines.link(stream)))
        }
    });
    let connector = Connector::new()
        .connector::<_, Link>(dial)
        .timeout(dial_timeout)
        .limit(most)
        .conn_keep_alive(idle)
        .conn_lifetime(Duration::from_secs(3600));
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// What came of one call.
enum Call {
    /// No connection was established: nothing reached the engine. With whether it was refused.
    NotMade(bool),
    /// The connection broke or stayed silent: whatever was sent may have arrived.
    Lost,
    /// An answer that is no such answer as engines give.
    Unreadable,
    Answered(Reply),
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
pub struct Job<'a> {
    pub address: SocketAddr,
    pub parcel: &'a Parcel,
    pub mem_mb: f64,
    pub timeout: Duration,
}

impl Engines {
    pub fn new(bounds: Bounds, names: Names, dial_timeout: Duration, engine_idle: Duration) -> Engines {
        // Closed well before engines close them: a statement must not cross such a close.
        let idle = engine_idle / 3;
        let lines = Rc::new(Lines::new(idle, true));
        let client = RefCell::new(client(&lines, idle, dial_timeout, bounds.engines));
        Engines { client, lines, names, bounds, dial_timeout, idle }
    }

    /// Begins with an empty pool, once engines are gone from the list: theirs would be kept for ever.
    pub fn renew(&self) {
        let client = client(&self.lines, self.idle, self.dial_timeout, self.bounds.engines);
        self.client.replace(client);
    }

    /// Runs one execution to its end; `noted` is told the engine's notes.
    pub async fn run(&self, job: Job<'_>, noted: impl Fn(Note)) -> Ending {
        let id = String::from_utf8_lossy(&job.parcel.id);
        let base = format!("http://{}/x", job.address);
        let news = format!("{base}/{id}/0");
        let mut call = self.post(&job, &base).await;
        let mut started = false;
        loop {
            let asked = Instant::now();
            match call {
                // The engine's process is gone, and the execution with it.
                Call::NotMade(refused) if !started || refused => {
                    return if started { Outcome::Reset } else { Outcome::Refused }.into();
                }
                Call::NotMade(_) | Call::Lost => sleep(PAUSE).await,
                Call::Unreadable => return Outcome::Error.into(),
                Call::Answered(reply) => match self.read(&reply) {
                    News::None(note) => note.into_iter().for_each(&noted),
                    News::Failed(outcome) => {
                        return Ending { report: self.report(&reply), ..outcome.into() };
                    }
                    News::Completed(pages) => return self.fetch(&base, &id, reply, pages).await,
                },
            }
            started = true;
            call = self.call(self.get(&news), Bytes::new(), self.bounds.page).await;
            let at_once = matches!(&call, Call::Answered(r) if r.status == StatusCode::ACCEPTED);
            if at_once && asked.elapsed() < TOO_FAST {
                sleep(PAUSE).await;
            }
        }
    }

    /// Gives an execution up. The engine that cannot be told ends it by itself, as no one asks for it.
    pub async fn stop(&self, address: SocketAddr, id: &str) {
        let uri = format!("http://{address}/x/{id}");
        let call = self.client.borrow().delete(uri);
        self.call(call, Bytes::new(), self.bounds.page).await;
    }

    async fn post(&self, job: &Job<'_>, base: &str) -> Call {
        let Job { parcel, mem_mb, timeout, .. } = job;
        let mut request = self
            .client
            .borrow()
            .post(base)
            .insert_header(("X-Ticket", &parcel.id[..]))
            .insert_header(("X-Queue", &parcel.workload[..]))
            .insert_header(("X-Max-Ms", timeout.as_micros().div_ceil(1000).max(1) as u64));
        if let Some(key) = &parcel.key {
            request = request.insert_header(("X-Nonce", &key[..]));
        }
        if *mem_mb > 0.0 {
            request = request.insert_header(("Grant-Mb", format!("{:.0}", mem_mb.ceil())));
        }
        self.call(request, parcel.statement.clone(), self.bounds.page).await
    }

    fn get(&self, uri: &str) -> ClientRequest {
        self.client.borrow().get(uri)
    }

    async fn call(&self, request: ClientRequest, body: Bytes, most: usize) -> Call {
        let answered = async {
            let mut response = match request.no_decompress().send_body(body).await {
                Ok(response) => response,
                Err(error) => return not_answered(&error),
            };
            match response.body().limit(most).await {
                Ok(body) => {
                    let headers = response.headers().clone();
                    Call::Answered(Reply { status: response.status(), headers, body })
                }
                Err(PayloadError::Incomplete(_) | PayloadError::Io(_)) => Call::Lost,
                Err(_) => Call::Unreadable,
            }
        };
        timeout(self.dial_timeout + UNANSWERED, answered).await.unwrap_or(Call::Lost)
    }

    fn read(&self, reply: &Reply) -> News {
        match reply.status {
            StatusCode::ACCEPTED => News::None(note(reply)),
            StatusCode::OK => match reply.number("Page-Count") {
                Some(pages) if (1..=self.bounds.pages).contains(&pages) => News::Completed(pages),
                _ => News::Failed(Outcome::Error),
            },
            StatusCode::SERVICE_UNAVAILABLE if reply.never_ran() => News::Failed(Outcome::Full),
            StatusCode::GATEWAY_TIMEOUT if reply.never_ran() => News::Failed(Outcome::Skipped),
            _ => News::Failed(Outcome::Error),
        }
    }

    /// Completed is what is here whole: a page that is missing or cannot be read may not pass for a result.
    async fn fetch(&self, base: &str, id: &str, first: Reply, count: usize) -> Ending {
        let report = self.report(&first);
        let work = first.number::<f64>("Work-Ms").filter(|ms| *ms >= 0.0 && ms.is_finite());
        let took = work
            .map(|ms| (Duration::from_secs_f64((ms / 1e3).min(1e6)), first.number("Peak-Mb").unwrap_or(0.0)));
        let failed = || Ending { report, ..Outcome::Error.into() };
        let mut columns = None;
        let mut bytes = first.body.len();
        if !is_whole(&first.body, &mut columns) {
            return failed();
        }
        let mut pages = vec![first.body];
        for number in 1..count {
            let Some(page) = self.page(&format!("{base}/{id}/{number}"), number).await else {
                return failed();
            };
            bytes += page.len();
            if bytes > self.bounds.result || !is_whole(&page, &mut columns) {
                return failed();
            }
            pages.push(page);
        }
        Ending { outcome: Outcome::Completed, pages, took, report }
    }

    async fn page(&self, uri: &str, number: usize) -> Option<Bytes> {
        for _ in 0..PAGE_TRIES {
            match self.call(self.get(uri), Bytes::new(), self.bounds.page).await {
                Call::NotMade(true) | Call::Unreadable => return None,
                Call::NotMade(false) | Call::Lost => sleep(PAUSE).await,
                Call::Answered(reply) => {
                    let right = reply.status == StatusCode::OK && reply.number("Page-No") == Some(number);
                    return right.then_some(reply.body);
                }
            }
        }
        None
    }

    fn report(&self, reply: &Reply) -> Option<Report> {
        reply.text("X-Meter").map(|text| read_report(text, &self.names))
    }
}

/// A load report, as in `inflight:7;util:0.61`; what cannot be read is not told.
fn read_report(text: &str, names: &Names) -> Report {
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

enum News {
    /// Not yet over.
    None(Option<Note>),
    Failed(Outcome),
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

fn not_answered(error: &SendRequestError) -> Call {
    match error {
        SendRequestError::Connect(ConnectError::Timeout) => Call::NotMade(false),
        SendRequestError::Connect(ConnectError::Io(error)) => {
            Call::NotMade(error.kind() == io::ErrorKind::ConnectionRefused)
        }
        SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete) => Call::Lost,
        SendRequestError::Response(_) => Call::Unreadable,
        // `Disconnected` among them: the connection ended where an answer was awaited.
        _ => Call::Lost,
    }
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
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_by_either_name_and_bad_figures_are_not_told() {
        let names =
            Names { workloads: Vec::new(), customers: Vec::new(), x0_is_memory: true, x1_is_disks: false };
        let read = |text: &str| {
            let report = read_report(text, &names);
            [report.utilisation, report.held, report.mem_waiting, report.mem_granted, report.disks_busy]
        };
        let (some, none) = (Some, None);
        assert_eq!(read("inflight:7;util:0.61"), [some(0.61), some(7.0), none, none, none]);
        assert_eq!(read("cpu_share: 0.5 ; x0:0.25; x1:0.75"), [some(0.5), none, none, some(0.25), none]);
        assert_eq!(read("queue:3;utility:9;busy_reqs:2"), [none, some(2.0), some(3.0), none, none]);
        assert_eq!(read("util:NaN;inflight:many;;:"), [none; 5]);
    }

    #[test]
    fn notes_are_read_and_others_passed_over() {
        let read = |remark: &str, figure: &str| {
            let mut headers = awc::http::header::HeaderMap::new();
            for (name, value) in [("x-remark", remark), ("figure", figure)] {
                let name = awc::http::header::HeaderName::from_static(name);
                headers.insert(name, awc::http::header::HeaderValue::from_str(value).unwrap());
            }
            note(&Reply { status: StatusCode::ACCEPTED, headers, body: Bytes::new() })
        };
        assert_eq!(read("so_far", "0.25"), Some(Note::Progress(0.25)));
        assert_eq!(read("lacking", "30"), Some(Note::Spills(30.0)));
        assert_eq!(read("waiting", "1"), Some(Note::WaitsForMemory));
        assert_eq!(read("waiting", "2"), Some(Note::WaitsForLoad));
        assert_eq!(read("so_far", "much"), None);
        assert_eq!(read("waiting", ""), None);
        assert_eq!(read("humming", "1"), None);
    }
}
