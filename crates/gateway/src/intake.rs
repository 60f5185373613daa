//! Texts as they come from clients: ordinary ones whole into memory, larger ones to where they are kept, or through to an
//! engine. It reads, and decides nothing: where a text goes is the ledger's to say.

use crate::connection::Connection;
use crate::front::{close_behind, next, refusal, Refused, AHEAD, STATEMENTS};
use crate::reducer::Answer;
use crate::runtime::Core;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage as _, Payload, Request, Response, StatusCode};
use bramblewharf_bodies::{Body, Refusal, Tier};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

const TOO_LARGE: Refused = (StatusCode::PAYLOAD_TOO_LARGE, "the statement is too large");
const NOT_WHOLE: Refused = (StatusCode::BAD_REQUEST, "the statement did not come whole");
const TOO_SLOW: Refused = (StatusCode::REQUEST_TIMEOUT, "the statement came too slowly");
const NO_TEXT: Refused = (StatusCode::BAD_REQUEST, "the statement is no text");
/// Of a text that is passed on as it comes, what is here before an engine is chosen: its tables are named there.
const FIRST: u64 = 16 * 1024;

/// How a text came.
pub enum Came {
    Whole(Bytes),
    /// Whole, and can be sent again.
    Kept(Rc<Body>),
    /// Its first part, to be sent once, and what has yet to come.
    Passing(Rc<Body>, Box<Rest>),
    NoRoom,
}

/// What has yet to come of a text.
pub struct Rest {
    payload: Payload,
    body: Rc<Body>,
    look: Look,
    by: Instant,
}

/// Whether what comes is text: UTF-8, no NUL, not blank. A character may be cut between two pieces.
#[derive(Default)]
struct Look {
    cut: Vec<u8>,
    seen: bool,
}

impl Look {
    fn at(&mut self, bytes: &[u8]) -> bool {
        let joined;
        let mut rest = bytes;
        if !self.cut.is_empty() {
            joined = [&self.cut[..], bytes].concat();
            rest = &joined;
        }
        let (good, cut) = match std::str::from_utf8(rest) {
            Ok(text) => (text, &[][..]),
            Err(error) if error.error_len().is_none() => {
                let (good, cut) = rest.split_at(error.valid_up_to());
                (std::str::from_utf8(good).unwrap_or_default(), cut)
            }
            Err(_) => return false,
        };
        self.seen |= !good.trim_start().is_empty();
        let clean = !good.contains('\0');
        self.cut = cut.to_vec();
        clean
    }

    fn is_text(&self) -> bool {
        self.seen && self.cut.is_empty()
    }
}

fn told_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH).and_then(|n| n.to_str().ok()?.parse().ok())
}

/// Before a client that asks first is told to go on: whether there is room for what it wants to send.
pub fn has_room(core: &Core, request: &Request) -> Result<(), Response<BoxBody>> {
    let workload = request.path().strip_prefix(STATEMENTS).and_then(|path| path.rsplit('/').next());
    let at = workload.and_then(|name| core.names.workloads.iter().position(|known| known == name));
    let length = told_length(request.headers());
    if length.is_some_and(|length| length <= core.bounds.statement as u64) {
        return Ok(());
    }
    let strict = at.is_some_and(|at| core.strict[at]);
    let refused = match core.bodies.check_admission(length, strict) {
        Ok(_) => return Ok(()),
        Err(Refusal::TooLarge) => refusal(TOO_LARGE.0, TOO_LARGE.1),
        Err(Refusal::NoCapacity) => next("", Some(Answer::Rejected(core.stay_away))),
    };
    Err(close_behind(refused, None))
}

/// Reads a text until it is whole, or as far as it must be before an engine is chosen.
pub async fn take(
    core: &Rc<Core>,
    mut payload: Payload,
    headers: &HeaderMap,
    workload: usize,
    text_by: Instant,
    connection: Option<&Connection>,
) -> Result<Came, Refused> {
    let (ordinary, largest) = (core.bounds.statement as u64, core.bodies.max_body());
    let told = told_length(headers);
    if told.is_some_and(|length| length > largest) {
        return Err(TOO_LARGE);
    }
    let mut parts: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while told.is_none_or(|told| told <= ordinary) {
        let part = timeout_at(text_by.into(), payload.next()).await.map_err(|_| TOO_SLOW)?;
        let Some(part) = part else {
            if let Some(connection) = connection {
                connection.call_received(AHEAD);
            }
            return whole(parts, length as usize).map(Came::Whole);
        };
        let part = part.map_err(|_| NOT_WHOLE)?;
        length += part.len() as u64;
        parts.push(part);
        if length > ordinary {
            break;
        }
    }
    if length > largest {
        return Err(TOO_LARGE);
    }
    // From here on what may be read ahead is bounded by what is taken from actix-http.
    connection.into_iter().for_each(|connection| connection.set_read_allowance(usize::MAX));
    if core.turns_away() {
        return Ok(Came::NoRoom);
    }
    let body = match core.bodies.begin(told, core.strict[workload]) {
        Ok(body) => body,
        Err(Refusal::TooLarge) => return Err(TOO_LARGE),
        Err(Refusal::NoCapacity) => return Ok(Came::NoRoom),
    };
    let mut rest = Rest { payload, body: body.clone(), look: Look::default(), by: text_by };
    for part in parts {
        if let Some(came) = rest.put(part).await? {
            return Ok(came);
        }
    }
    loop {
        if body.tier() == Tier::NotKept && body.received() >= FIRST {
            return Ok(Came::Passing(body, Box::new(rest)));
        }
        match rest.next(core).await? {
            Some(part) => {
                if let Some(came) = rest.put(part).await? {
                    return Ok(came);
                }
            }
            None => {
                if let Some(came) = rest.end(connection).await? {
                    return Ok(came);
                }
                return Ok(match body.tier() {
                    Tier::NotKept => Came::Passing(body, Box::new(rest)),
                    _ => Came::Kept(body),
                });
            }
        }
    }
}

fn whole(mut parts: Vec<Bytes>, length: usize) -> Result<Bytes, Refused> {
    let text = if parts.len() <= 1 {
        parts.pop().unwrap_or_default()
    } else {
        let mut whole = BytesMut::with_capacity(length);
        parts.iter().for_each(|part| whole.extend_from_slice(part));
        whole.freeze()
    };
    let is_text =
        std::str::from_utf8(&text).is_ok_and(|text| !text.trim().is_empty() && !text.contains('\0'));
    is_text.then_some(text).ok_or(NO_TEXT)
}

impl Rest {
    /// The next piece; none at the end. A text has the ordinary time, and more as it grows.
    async fn next(&mut self, core: &Core) -> Result<Option<Bytes>, Refused> {
        let by = self.by + Duration::from_secs_f64(self.body.received() as f64 / core.slowest.max(1) as f64);
        let part = timeout_at(by.into(), self.payload.next()).await.map_err(|_| TOO_SLOW)?;
        part.transpose().map_err(|_| NOT_WHOLE)
    }

    async fn put(&mut self, part: Bytes) -> Result<Option<Came>, Refused> {
        if !self.look.at(&part) {
            return Err(NO_TEXT);
        }
        // What a disk makes a client wait for is not counted against it.
        let began = Instant::now();
        let put = self.body.push(part).await;
        self.by += began.elapsed();
        self.refused(put)
    }

    async fn end(&mut self, connection: Option<&Connection>) -> Result<Option<Came>, Refused> {
        if !self.look.is_text() {
            return Err(NO_TEXT);
        }
        connection.into_iter().for_each(|connection| connection.call_received(AHEAD));
        let ended = self.body.finish().await;
        self.refused(ended)
    }

    fn refused(&self, put: Result<(), Refusal>) -> Result<Option<Came>, Refused> {
        match put {
            Ok(()) => Ok(None),
            Err(Refusal::TooLarge) => Err(TOO_LARGE),
            Err(Refusal::NoCapacity) => Ok(Some(Came::NoRoom)),
        }
    }

    /// The rest of a text that is not kept, to the engine that has it.
    pub async fn pass_on(&mut self, core: &Core, connection: Option<&Connection>) -> Result<(), Refused> {
        while !self.body.is_complete() {
            match self.next(core).await? {
                Some(part) => self.put(part).await.map(drop)?,
                None => self.end(connection).await.map(drop)?,
            }
        }
        Ok(())
    }
}

/// Whatever ended it, a text that did not come whole will never be.
impl Drop for Rest {
    fn drop(&mut self) {
        if !self.body.is_complete() {
            self.body.abort();
        }
    }
}
