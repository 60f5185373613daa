//! Receives statement bodies from clients. Ordinary bodies are read whole into memory; larger ones go to the
//! body store or are streamed to an engine. The accounting of the body store decides which.

use crate::connection::Connection;
use crate::frontend::{close_after, error_response, statement_response, BadCall, STATEMENTS_PREFIX};
use crate::reducer::Answer;
use crate::runtime::Core;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage as _, Payload, Request, Response, StatusCode};
use bramblewharf::call_memory::DECLARED_STEP_BYTES;
use bramblewharf_bodies::{Body, Refusal, Tier};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

const TOO_LARGE: BadCall = (StatusCode::PAYLOAD_TOO_LARGE, "the statement is too large");
const INCOMPLETE: BadCall = (StatusCode::BAD_REQUEST, "the statement did not come whole");
const TOO_SLOW: BadCall = (StatusCode::REQUEST_TIMEOUT, "the statement came too slowly");
const NOT_TEXT: BadCall = (StatusCode::BAD_REQUEST, "the statement is no text");
/// Bytes of a streamed body that are received before an engine is chosen, as the tables are usually named
/// among them.
const STREAM_PREFIX_BYTES: u64 = 16 * 1024;
/// Bytes of a larger body that are gathered before they go to the body store.
const GATHERED_BYTES: usize = 2 * DECLARED_STEP_BYTES;

/// Result of receiving a body.
pub enum Received {
    /// An ordinary body, in memory.
    Whole(Bytes),
    /// A complete body in the body store; it can be sent again.
    Stored(Rc<Body>),
    /// The first part of a body that can be sent only once, and the part still to be received.
    Streaming(Rc<Body>, Box<Remainder>),
    /// There is no capacity for the body or its statement.
    NoCapacity,
}

/// The part of a body that has yet to be received.
pub struct Remainder {
    payload: Payload,
    body: Rc<Body>,
    connection: Option<Rc<Connection>>,
    /// Received, and not in the body store yet: chunks may be much smaller than their entries there.
    gathered: BytesMut,
    received: u64,
    validator: TextValidator,
    deadline: Instant,
}

/// Incremental check that a body is text: UTF-8, no NUL, not blank. A character may be split between two
/// chunks.
#[derive(Default)]
struct TextValidator {
    /// The first bytes of a character whose rest is in the next chunk.
    partial: Vec<u8>,
    has_content: bool,
}

impl TextValidator {
    /// Checks the next chunk; false if it is not text.
    fn accept(&mut self, bytes: &[u8]) -> bool {
        let joined;
        let mut rest = bytes;
        if !self.partial.is_empty() {
            joined = [&self.partial[..], bytes].concat();
            rest = &joined;
        }
        let (valid, partial) = match std::str::from_utf8(rest) {
            Ok(text) => (text, &[][..]),
            Err(error) if error.error_len().is_none() => {
                let (valid, partial) = rest.split_at(error.valid_up_to());
                (std::str::from_utf8(valid).unwrap_or_default(), partial)
            }
            Err(_) => return false,
        };
        self.has_content |= !valid.trim_start().is_empty();
        let has_no_nul = !valid.contains('\0');
        self.partial = partial.to_vec();
        has_no_nul
    }

    fn is_text(&self) -> bool {
        self.has_content && self.partial.is_empty()
    }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH).and_then(|n| n.to_str().ok()?.parse().ok())
}

/// Decides on a call with `Expect: 100-continue`: whether there is capacity for the body that the client
/// wants to send.
pub fn check_admission(core: &Core, request: &Request) -> Result<(), Response<BoxBody>> {
    let workload = request.path().strip_prefix(STATEMENTS_PREFIX).and_then(|path| path.rsplit('/').next());
    let at = workload.and_then(|name| core.names.workloads.iter().position(|known| known == name));
    let length = declared_length(request.headers());
    if length.is_some_and(|length| length <= core.bounds.statement as u64) {
        return Ok(());
    }
    let strict = at.is_some_and(|at| core.strict[at]);
    let response = match core.bodies.check_admission(length, strict) {
        Ok(_) => return Ok(()),
        Err(Refusal::TooLarge) => error_response(TOO_LARGE.0, TOO_LARGE.1),
        Err(Refusal::NoCapacity) => statement_response("", Some(Answer::Rejected(core.retry_after))),
    };
    Err(close_after(response, None))
}

/// The next chunk of a body, or none at its end. The connection hands on the next part of the body once all
/// chunks before it have been taken.
async fn next_chunk(
    payload: &mut Payload,
    connection: Option<&Connection>,
    deadline: Instant,
) -> Result<Option<Bytes>, BadCall> {
    let next = poll_fn(|cx| {
        let next = payload.poll_next_unpin(cx);
        if let (Poll::Pending, Some(connection)) = (&next, connection) {
            connection.allow_next_step();
        }
        next
    });
    let chunk = timeout_at(deadline.into(), next).await.map_err(|_| TOO_SLOW)?;
    chunk.transpose().map_err(|_| INCOMPLETE)
}

/// An ordinary body as it arrives: its bytes are copied, so that no buffer of the HTTP server is kept.
struct OrdinaryText<'a> {
    text: Vec<u8>,
    declared: Option<u64>,
    connection: Option<&'a Connection>,
    deadline: Instant,
}

impl OrdinaryText<'_> {
    /// Makes room for the part of the body that the connection hands on next. False if there is no memory
    /// for it.
    async fn make_room(&mut self, limit: usize) -> bool {
        let length = (self.text.len() + DECLARED_STEP_BYTES).min(limit);
        let length = self.declared.map_or(length, |declared| length.min(declared as usize));
        if length <= self.text.capacity() {
            return true;
        }
        let capacity = self.capacity_for(length).min(limit);
        if !self.acquire(capacity).await {
            return false;
        }
        // Exactly what was granted, in place where that is possible: a copy would leave gaps of every size.
        self.text.reserve_exact(capacity - self.text.len());
        true
    }

    /// The capacity for a text of at least this length: a declared length is not exceeded, and the buffer is
    /// not copied for each part.
    fn capacity_for(&self, length: usize) -> usize {
        let grown = length.max(2 * self.text.capacity());
        self.declared.map_or(grown, |declared| grown.min(declared as usize))
    }

    async fn acquire(&self, capacity: usize) -> bool {
        match self.connection.and_then(Connection::memory) {
            Some(memory) => {
                let granted = memory.acquire(|arriving| arriving.text_bytes = capacity);
                timeout_at(self.deadline.into(), granted).await.unwrap_or(false)
            }
            None => true,
        }
    }

    /// The whole text, in a buffer of its length, if it is text.
    fn finish(self) -> Result<Bytes, BadCall> {
        let is_text =
            std::str::from_utf8(&self.text).is_ok_and(|text| !text.trim().is_empty() && !text.contains('\0'));
        let is_tight = self.text.capacity() <= self.text.len() + self.text.len() / 4;
        let text = if is_tight { Bytes::from(self.text) } else { Bytes::copy_from_slice(&self.text) };
        is_text.then_some(text).ok_or(NOT_TEXT)
    }
}

/// Returns once the call is rejected because others need its memory.
async fn memory_withdrawn(connection: Option<&Connection>) {
    match connection.and_then(Connection::memory) {
        Some(memory) => memory.wait_for_rejection().await,
        None => std::future::pending().await,
    }
}

/// Receives a body until it is complete, or up to the part needed before an engine is chosen.
pub async fn receive_body(
    core: &Rc<Core>,
    payload: Payload,
    headers: &HeaderMap,
    workload: usize,
    deadline: Instant,
    connection: Option<&Rc<Connection>>,
) -> Result<Received, BadCall> {
    // The call may be rejected in favour of others while it is received here, and only then.
    let set_complete = |is_complete| {
        let memory = connection.and_then(|connection| connection.memory());
        memory.into_iter().for_each(|memory| memory.set_complete(is_complete));
    };
    set_complete(false);
    let received = receive(core, payload, headers, workload, deadline, connection);
    let received = tokio::select! {
        biased;
        received = received => received,
        () = memory_withdrawn(connection.map(Rc::as_ref)) => Ok(Received::NoCapacity),
    };
    set_complete(true);
    received
}

async fn receive(
    core: &Rc<Core>,
    mut payload: Payload,
    headers: &HeaderMap,
    workload: usize,
    deadline: Instant,
    connection: Option<&Rc<Connection>>,
) -> Result<Received, BadCall> {
    let (ordinary, largest) = (core.bounds.statement as u64, core.bodies.max_body());
    let declared = declared_length(headers);
    if declared.is_some_and(|length| length > largest) {
        return Err(TOO_LARGE);
    }
    let reader = connection.map(Rc::as_ref);
    let mut text = OrdinaryText { text: Vec::new(), declared, connection: reader, deadline };
    let mut first_beyond = Bytes::new();
    while declared.is_none_or(|declared| declared <= ordinary) {
        if !text.make_room(ordinary as usize).await {
            return Ok(Received::NoCapacity);
        }
        let Some(chunk) = next_chunk(&mut payload, reader, deadline).await? else {
            let text = text.finish()?;
            let text =
                reader.and_then(Connection::memory).map_or(text.clone(), |memory| memory.detach_text(text));
            reader.into_iter().for_each(Connection::call_received);
            return Ok(Received::Whole(text));
        };
        if (text.text.len() + chunk.len()) as u64 > ordinary {
            first_beyond = chunk;
            break;
        }
        text.text.extend_from_slice(&chunk);
    }
    if (text.text.len() + first_beyond.len()) as u64 > largest {
        return Err(TOO_LARGE);
    }
    if core.rejects_new_statements() {
        return Ok(Received::NoCapacity);
    }
    let body = match core.bodies.begin(declared, core.strict[workload]) {
        Ok(body) => body,
        Err(Refusal::TooLarge) => return Err(TOO_LARGE),
        Err(Refusal::NoCapacity) => return Ok(Received::NoCapacity),
    };
    let received = Bytes::from(text.text);
    let mut remainder = Remainder {
        payload,
        body: body.clone(),
        connection: connection.cloned(),
        gathered: BytesMut::new(),
        received: 0,
        validator: TextValidator::default(),
        deadline,
    };
    for chunk in [received, first_beyond] {
        if let Some(received) = remainder.push(&chunk).await? {
            return Ok(received);
        }
    }
    // From here on the text is in the memory of the body store.
    reader.and_then(Connection::memory).into_iter().for_each(|memory| {
        memory.update(|arriving| arriving.text_bytes = 0);
    });
    loop {
        if body.tier() == Tier::NotKept && body.received() >= STREAM_PREFIX_BYTES {
            return Ok(Received::Streaming(body, Box::new(remainder)));
        }
        match remainder.next_chunk(core).await? {
            Some(chunk) => {
                if let Some(received) = remainder.push(&chunk).await? {
                    return Ok(received);
                }
            }
            None => {
                if let Some(received) = remainder.finish().await? {
                    return Ok(received);
                }
                return Ok(match body.tier() {
                    Tier::NotKept => Received::Streaming(body, Box::new(remainder)),
                    _ => Received::Stored(body),
                });
            }
        }
    }
}

impl Remainder {
    /// The next chunk, or none at the end of the body. The deadline moves out with the bytes received, at the
    /// minimum rate.
    async fn next_chunk(&mut self, core: &Core) -> Result<Option<Bytes>, BadCall> {
        let deadline = self.deadline
            + Duration::from_secs_f64(self.received as f64 / core.min_bytes_per_second.max(1) as f64);
        next_chunk(&mut self.payload, self.connection.as_deref(), deadline).await
    }

    /// Adds a chunk to the body. A result means that receiving ends here.
    async fn push(&mut self, chunk: &[u8]) -> Result<Option<Received>, BadCall> {
        if !self.validator.accept(chunk) {
            return Err(NOT_TEXT);
        }
        self.received += chunk.len() as u64;
        if self.gathered.capacity() == 0 {
            self.gathered.reserve(GATHERED_BYTES);
        }
        self.gathered.extend_from_slice(chunk);
        if self.gathered.len() < GATHERED_BYTES {
            return Ok(None);
        }
        self.push_gathered().await
    }

    /// Passes on what is gathered to the body store.
    async fn push_gathered(&mut self) -> Result<Option<Received>, BadCall> {
        let gathered = std::mem::take(&mut self.gathered).freeze();
        // Time spent waiting for the disk does not count against the client.
        let began = Instant::now();
        let pushed = self.body.push(gathered).await;
        self.deadline += began.elapsed();
        self.map_refusal(pushed)
    }

    /// Ends the body. A result means that it could not be stored whole.
    async fn finish(&mut self) -> Result<Option<Received>, BadCall> {
        if !self.validator.is_text() {
            return Err(NOT_TEXT);
        }
        if !self.gathered.is_empty() {
            if let Some(received) = self.push_gathered().await? {
                return Ok(Some(received));
            }
        }
        self.connection.iter().for_each(|connection| connection.call_received());
        let finished = self.body.finish().await;
        self.map_refusal(finished)
    }

    fn map_refusal(&self, stored: Result<(), Refusal>) -> Result<Option<Received>, BadCall> {
        match stored {
            Ok(()) => Ok(None),
            Err(Refusal::TooLarge) => Err(TOO_LARGE),
            Err(Refusal::NoCapacity) => Ok(Some(Received::NoCapacity)),
        }
    }

    /// Streams the rest of a body that is not kept to the engine that already has its first part.
    pub async fn stream(&mut self, core: &Core) -> Result<(), BadCall> {
        while !self.body.is_complete() {
            match self.next_chunk(core).await? {
                Some(chunk) => self.push(&chunk).await.map(drop)?,
                None => self.finish().await.map(drop)?,
            }
        }
        Ok(())
    }
}

/// Aborts a body that was not received completely, for whatever reason.
impl Drop for Remainder {
    fn drop(&mut self) {
        if !self.body.is_complete() {
            self.body.abort();
        }
    }
}
