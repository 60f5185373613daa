//! Validates what arrives on a connection to an engine: exactly one well-formed answer per call. All bytes
//! are checked before awc sees them, since awc takes a 1xx head for the answer, reads a head without a length
//! as an empty answer, and keeps a connection with surplus bytes, on which the next call would get the answer
//! to another one.

use bytes::{Bytes, BytesMut};
use std::io;

/// The longest head of an answer, including all 1xx heads before it, and its largest number of fields.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEAD_FIELDS: usize = 32;

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
}

fn irregular(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Exchange {
    /// `max_body`: the longest accepted body, in bytes.
    pub fn new(max_body: usize) -> Exchange {
        Exchange { state: State::Idle, validated: BytesMut::new(), max_body, interim_bytes: 0, regular: true }
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
            State::Idle if !self.validated.is_empty() => self.process_body(0, bytes),
            State::Idle => Err(irregular("unsolicited bytes on an idle connection")),
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
            let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
            let mut answer = httparse::Response::new(&mut fields);
            let parsed = answer.parse(&head).map_err(|_| irregular("malformed response head"))?;
            let httparse::Status::Complete(length) = parsed else {
                if head.len() + self.interim_bytes > MAX_HEAD_BYTES {
                    return Err(irregular("response head is too long"));
                }
                self.state = State::Head(head);
                return Ok(());
            };
            if answer.version != Some(1) {
                return Err(irregular("response is not HTTP/1.1"));
            }
            let body = match answer.code {
                // Interim responses; 101 would switch protocols.
                Some(100 | 102..=199) => None,
                Some(200..=599) => Some(self.body_length(&answer)?),
                _ => return Err(irregular("unexpected response status")),
            };
            let rest = head.split_off(length);
            match body {
                None => {
                    self.interim_bytes += length;
                    head = rest;
                }
                Some(Some(remaining)) => {
                    self.validated.extend_from_slice(&head);
                    return self.process_body(remaining, &rest);
                }
                Some(None) => {
                    self.validated.extend_from_slice(&head);
                    self.validated.extend_from_slice(&rest);
                    (self.state, self.regular) = (State::Chunked, false);
                    return Ok(());
                }
            }
        }
    }

    /// The length of an answer's body; none where it is chunked.
    fn body_length(&self, answer: &httparse::Response) -> io::Result<Option<usize>> {
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
            ([], []) if answer.code == Some(204) => Ok(Some(0)),
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(None),
            ([digits], []) if !digits.is_empty() && digits.iter().all(u8::is_ascii_digit) => {
                let length = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse::<usize>().ok());
                let length = length.filter(|length| *length <= self.max_body);
                length.map(Some).ok_or(irregular("response body is too long"))
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
        self.regular &= surplus.is_empty();
        // A second answer leaves the first one intact; anything else may be the rest of one with a wrong
        // length.
        let status_line_start = b"HTTP/1.";
        match surplus.iter().zip(status_line_start).all(|(a, b)| a == b) {
            true => Ok(()),
            false => Err(irregular("bytes after the end of the response body")),
        }
    }
}

#[cfg(test)]
mod tests;
