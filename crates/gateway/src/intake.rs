//! Receives statement bodies from clients. Ordinary bodies are read whole into memory; larger ones go to the
//! body store or are streamed to an engine. The accounting of the body store decides which.

use crate::connection::Connection;
use crate::frontend::{
    close_after, error_response, statement_response, BadCall, READ_AHEAD_BYTES, STATEMENTS_PREFIX,
};
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

const TOO_LARGE: BadCall = (StatusCode::PAYLOAD_TOO_LARGE, "the statement is too large");
const INCOMPLETE: BadCall = (StatusCode::BAD_REQUEST, "the statement did not come whole");
const TOO_SLOW: BadCall = (StatusCode::REQUEST_TIMEOUT, "the statement came too slowly");
const NOT_TEXT: BadCall = (StatusCode::BAD_REQUEST, "the statement is no text");
/// Bytes of a streamed body that are received before an engine is chosen, as the tables are usually named
/// among them.
const STREAM_PREFIX_BYTES: u64 = 16 * 1024;

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

/// Receives a body until it is complete, or up to the part needed before an engine is chosen.
pub async fn receive_body(
    core: &Rc<Core>,
    mut payload: Payload,
    headers: &HeaderMap,
    workload: usize,
    deadline: Instant,
    connection: Option<&Connection>,
) -> Result<Received, BadCall> {
    let (ordinary, largest) = (core.bounds.statement as u64, core.bodies.max_body());
    let declared = declared_length(headers);
    if declared.is_some_and(|length| length > largest) {
        return Err(TOO_LARGE);
    }
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while declared.is_none_or(|declared| declared <= ordinary) {
        let chunk = timeout_at(deadline.into(), payload.next()).await.map_err(|_| TOO_SLOW)?;
        let Some(chunk) = chunk else {
            if let Some(connection) = connection {
                connection.call_received(READ_AHEAD_BYTES);
            }
            return join_chunks(chunks, length as usize).map(Received::Whole);
        };
        let chunk = chunk.map_err(|_| INCOMPLETE)?;
        length += chunk.len() as u64;
        chunks.push(chunk);
        if length > ordinary {
            break;
        }
    }
    if length > largest {
        return Err(TOO_LARGE);
    }
    // From here on reading ahead is bounded by the flow control of actix-http's payload.
    connection.into_iter().for_each(|connection| connection.set_read_allowance(usize::MAX));
    if core.rejects_new_statements() {
        return Ok(Received::NoCapacity);
    }
    let body = match core.bodies.begin(declared, core.strict[workload]) {
        Ok(body) => body,
        Err(Refusal::TooLarge) => return Err(TOO_LARGE),
        Err(Refusal::NoCapacity) => return Ok(Received::NoCapacity),
    };
    let mut remainder =
        Remainder { payload, body: body.clone(), validator: TextValidator::default(), deadline };
    for chunk in chunks {
        if let Some(received) = remainder.push(chunk).await? {
            return Ok(received);
        }
    }
    loop {
        if body.tier() == Tier::NotKept && body.received() >= STREAM_PREFIX_BYTES {
            return Ok(Received::Streaming(body, Box::new(remainder)));
        }
        match remainder.next_chunk(core).await? {
            Some(chunk) => {
                if let Some(received) = remainder.push(chunk).await? {
                    return Ok(received);
                }
            }
            None => {
                if let Some(received) = remainder.finish(connection).await? {
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

/// Joins the chunks of an ordinary body and checks that it is text.
fn join_chunks(mut chunks: Vec<Bytes>, length: usize) -> Result<Bytes, BadCall> {
    let text = if chunks.len() <= 1 {
        chunks.pop().unwrap_or_default()
    } else {
        let mut joined = BytesMut::with_capacity(length);
        chunks.iter().for_each(|chunk| joined.extend_from_slice(chunk));
        joined.freeze()
    };
    let is_text =
        std::str::from_utf8(&text).is_ok_and(|text| !text.trim().is_empty() && !text.contains('\0'));
    is_text.then_some(text).ok_or(NOT_TEXT)
}

impl Remainder {
    /// The next chunk, or none at the end of the body. The deadline moves out with the bytes received, at the
    /// minimum rate.
    async fn next_chunk(&mut self, core: &Core) -> Result<Option<Bytes>, BadCall> {
        let deadline = self.deadline
            + Duration::from_secs_f64(self.body.received() as f64 / core.min_bytes_per_second.max(1) as f64);
        let chunk = timeout_at(deadline.into(), self.payload.next()).await.map_err(|_| TOO_SLOW)?;
        chunk.transpose().map_err(|_| INCOMPLETE)
    }

    /// Adds a chunk to the body. A result means that receiving ends here.
    async fn push(&mut self, chunk: Bytes) -> Result<Option<Received>, BadCall> {
        if !self.validator.accept(&chunk) {
            return Err(NOT_TEXT);
        }
        // Time spent waiting for the disk does not count against the client.
        let began = Instant::now();
        let pushed = self.body.push(chunk).await;
        self.deadline += began.elapsed();
        self.map_refusal(pushed)
    }

    /// Ends the body. A result means that it could not be stored whole.
    async fn finish(&mut self, connection: Option<&Connection>) -> Result<Option<Received>, BadCall> {
        if !self.validator.is_text() {
            return Err(NOT_TEXT);
        }
        connection.into_iter().for_each(|connection| connection.call_received(READ_AHEAD_BYTES));
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
    pub async fn stream(&mut self, core: &Core, connection: Option<&Connection>) -> Result<(), BadCall> {
        while !self.body.is_complete() {
            match self.next_chunk(core).await? {
                Some(chunk) => self.push(chunk).await.map(drop)?,
                None => self.finish(connection).await.map(drop)?,
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
