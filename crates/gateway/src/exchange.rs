//! Validates what arrives on a connection to an engine: exactly one well-formed answer per call. All bytes
//! are checked before awc sees them, since awc takes a 1xx head for the answer, reads a head without a length
//! as an empty answer, and keeps a connection with surplus bytes, on which the next call would get the answer
//! to another one.

use bytes::{Bytes, BytesMut};
use std::io;

/// The longest head of an answer, including all 1xx heads before it, and its largest number of fields.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEAD_FIELDS: usize = 32;
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

enum State {
    /// No call is open: any bytes are unsolicited.
    Idle,
    /// Receiving the head of the answer.
    Head(BytesMut),
    /// Receiving the body, with the number of remaining bytes.
    Body(usize),
    /// A chunked body, whose end awc detects; the connection carries no further call.
    Chunked,
}

/// The state of one connection between calls and their answers.
pub struct Exchange {
    state: State,
    /// Validated and not yet handed on.
    validated: BytesMut,
    /// The longest accepted body, in bytes.
    max_body: usize,
    /// Bytes of the 1xx heads skipped before this answer.
    interim_bytes: usize,
    regular: bool,
    /// Well-formed heads received so far, each directly behind what came before it.
    heads: u32,
    /// The number of the head of the answer that was received last.
    answer_head: u32,
    /// That answer is chunked, which marks its end.
    is_chunked: bool,
    /// What came behind the last complete answer while no call was open.
    surplus: BytesMut,
    /// The peer closed the connection in an orderly way directly behind a complete answer.
    ended: bool,
}

/// The number of an answer among the heads on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerNumber(u32);

/// A well-formed head at the start of some bytes.
struct ParsedHead {
    length: usize,
    /// The length of the body; none for an interim head.
    body: Option<BodyLength>,
}

enum BodyLength {
    Declared(usize),
    Chunked,
}

fn irregular(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Whether these bytes begin with a status line, as far as they go.
fn begins_like_head(bytes: &[u8]) -> bool {
    bytes.iter().zip(STATUS_LINE_START).all(|(byte, expected)| byte == expected)
}

impl Exchange {
    /// `max_body`: the longest accepted body, in bytes.
    pub fn new(max_body: usize) -> Exchange {
        Exchange {
            state: State::Idle,
            validated: BytesMut::new(),
            max_body,
            interim_bytes: 0,
            regular: true,
            heads: 0,
            answer_head: 0,
            is_chunked: false,
            surplus: BytesMut::new(),
            ended: false,
        }
    }

    /// The number of the answer that was received last.
    pub fn last_answer(&self) -> AnswerNumber {
        AnswerNumber(self.answer_head)
    }

    /// Whether what came behind an answer proves that it is complete. A declared length that is too short
    /// leaves the rest of the body behind the answer, where only another head or the end of the connection
    /// may follow. The rows of a page can't be mistaken for a head, as a head ends with an empty line.
    pub fn is_proven_complete(&self, answer: AnswerNumber) -> bool {
        let is_last = answer.0 == self.heads;
        self.heads > answer.0 || (is_last && (self.ended || self.is_chunked))
    }

    /// The peer has closed its side of the connection, without an error.
    pub fn end_of_stream(&mut self) {
        self.ended |= match &self.state {
            State::Idle => self.surplus.is_empty(),
            State::Head(head) => head.is_empty(),
            State::Body(_) | State::Chunked => false,
        };
        self.regular = false;
    }

    /// Whether the connection may carry another call.
    pub fn is_reusable(&self) -> bool {
        self.regular && matches!(self.state, State::Idle) && self.validated.is_empty()
    }

    /// Whether an answer, or the rest of one, is outstanding.
    pub fn awaits_answer(&self) -> bool {
        !matches!(self.state, State::Idle)
    }

    /// The connection must not carry another call.
    pub fn mark_irregular(&mut self) {
        self.regular = false;
    }

    /// The first bytes of a call are about to be written.
    pub fn begin_call(&mut self) {
        if matches!(self.state, State::Idle) {
            self.state = State::Head(BytesMut::new());
            self.interim_bytes = 0;
        }
    }

    /// The number of bytes that can be handed on.
    pub fn validated_len(&self) -> usize {
        self.validated.len()
    }

    /// Takes up to `max_length` validated bytes.
    pub fn take_validated(&mut self, max_length: usize) -> Option<Bytes> {
        let length = self.validated.len().min(max_length);
        (length > 0).then(|| self.validated.split_to(length).freeze())
    }

    /// Validates received bytes. Fails where they are not a well-formed answer, or may not be a complete one.
    pub fn receive(&mut self, bytes: &[u8]) -> io::Result<()> {
        let result = self.process(bytes);
        self.regular &= result.is_ok();
        result
    }

    fn process(&mut self, bytes: &[u8]) -> io::Result<()> {
        match std::mem::replace(&mut self.state, State::Idle) {
            // After an answer that is complete and not yet handed on.
            State::Idle if !self.validated.is_empty() => self.process_surplus(bytes),
            State::Idle => {
                self.process_surplus(bytes)?;
                Err(irregular("unsolicited bytes on an idle connection"))
            }
            State::Head(mut head) => {
                head.extend_from_slice(bytes);
                self.process_head(head)
            }
            State::Body(remaining) => self.process_body(remaining, bytes),
            State::Chunked => {
                self.state = State::Chunked;
                self.validated.extend_from_slice(bytes);
                Ok(())
            }
        }
    }

    fn process_head(&mut self, mut head: BytesMut) -> io::Result<()> {
        loop {
            let Some(parsed) = self.parse_head(&head)? else {
                if head.len() + self.interim_bytes > MAX_HEAD_BYTES {
                    return Err(irregular("response head is too long"));
                }
                self.state = State::Head(head);
                return Ok(());
            };
            self.heads += 1;
            let rest = head.split_off(parsed.length);
            let Some(body) = parsed.body else {
                self.interim_bytes += parsed.length;
                head = rest;
                continue;
            };
            self.answer_head = self.heads;
            self.validated.extend_from_slice(&head);
            match body {
                BodyLength::Declared(remaining) => return self.process_body(remaining, &rest),
                BodyLength::Chunked => {
                    self.validated.extend_from_slice(&rest);
                    (self.state, self.regular, self.is_chunked) = (State::Chunked, false, true);
                    return Ok(());
                }
            }
        }
    }

    /// The head at the start of these bytes; none if it is not complete.
    fn parse_head(&self, bytes: &[u8]) -> io::Result<Option<ParsedHead>> {
        // The parser would skip line feeds before the status line, which may be the rest of a body.
        if !begins_like_head(bytes) {
            return Err(irregular("response does not begin with a status line"));
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
        let mut answer = httparse::Response::new(&mut fields);
        let parsed = answer.parse(bytes).map_err(|_| irregular("malformed response head"))?;
        let httparse::Status::Complete(length) = parsed else { return Ok(None) };
        if answer.version != Some(1) {
            return Err(irregular("response is not HTTP/1.1"));
        }
        let body = match answer.code {
            // Interim responses; 101 would switch protocols.
            Some(100 | 102..=199) => None,
            Some(200..=599) => Some(self.body_length(&answer)?),
            _ => return Err(irregular("unexpected response status")),
        };
        Ok(Some(ParsedHead { length, body }))
    }

    /// The length of an answer's body.
    fn body_length(&self, answer: &httparse::Response) -> io::Result<BodyLength> {
        let mut lengths = Vec::new();
        let mut codings = Vec::new();
        for field in answer.headers.iter() {
            if field.name.eq_ignore_ascii_case("content-length") {
                lengths.push(field.value);
            } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
                codings.push(field.value);
            }
        }
        match (&lengths[..], &codings[..]) {
            ([], []) if answer.code == Some(204) => Ok(BodyLength::Declared(0)),
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(BodyLength::Chunked),
            ([digits], []) if !digits.is_empty() && digits.iter().all(u8::is_ascii_digit) => {
                let length = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse::<usize>().ok());
                let length = length.filter(|length| *length <= self.max_body);
                length.map(BodyLength::Declared).ok_or(irregular("response body is too long"))
            }
            _ => Err(irregular("response body length is ambiguous")),
        }
    }

    fn process_body(&mut self, remaining: usize, bytes: &[u8]) -> io::Result<()> {
        let (body, surplus) = bytes.split_at(remaining.min(bytes.len()));
        self.validated.extend_from_slice(body);
        if body.len() < remaining {
            self.state = State::Body(remaining - body.len());
            return Ok(());
        }
        self.process_surplus(surplus)
    }

    /// Processes bytes behind a complete answer. Another answer leaves the first one intact; anything else may
    /// be the rest of a body whose declared length is too short.
    fn process_surplus(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() || self.heads > self.answer_head {
            self.regular &= bytes.is_empty();
            return Ok(());
        }
        self.regular = false;
        let room = MAX_HEAD_BYTES.saturating_sub(self.surplus.len());
        self.surplus.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if !begins_like_head(&self.surplus) {
            return Err(irregular("bytes after the end of the response body"));
        }
        if let Ok(Some(_)) = self.parse_head(&self.surplus) {
            self.heads += 1;
            self.surplus.clear();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
