//! What a connection to an engine may carry: after each call one plainly well-formed answer, and nothing else. All that
//! comes is looked at before awc sees it, since awc takes a 1xx head for the answer, reads a head without a length as an
//! empty answer, and keeps a connection on which more has come than it asked for: the next answer on it would be another's.

use bytes::{Bytes, BytesMut};
use std::io;

/// The longest head of an answer, all 1xx heads before it included, and its most fields.
const HEAD: usize = 8 * 1024;
const FIELDS: usize = 32;

enum State {
    /// No call is open: whatever comes now belongs to none.
    Rest,
    Head(BytesMut),
    /// So many bytes of the answer are yet to come.
    Body(usize),
    /// In chunks, whose end is left to awc; the connection carries no further call.
    Chunks,
}

pub struct Exchange {
    state: State,
    /// Good and not yet passed on.
    good: BytesMut,
    /// The longest answer that is taken.
    most: usize,
    /// Of heads passed over.
    passed_over: usize,
    regular: bool,
}

fn irregular(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Exchange {
    pub fn new(most: usize) -> Exchange {
        Exchange { state: State::Rest, good: BytesMut::new(), most, passed_over: 0, regular: true }
    }

    /// May carry another call.
    pub fn is_free(&self) -> bool {
        self.regular && matches!(self.state, State::Rest) && self.good.is_empty()
    }

    /// An answer is yet to come, or its rest.
    pub fn awaits(&self) -> bool {
        !matches!(self.state, State::Rest)
    }

    pub fn spoil(&mut self) {
        self.regular = false;
    }

    /// The first bytes of a call are about to be written.
    pub fn ask(&mut self) {
        if matches!(self.state, State::Rest) {
            self.state = State::Head(BytesMut::new());
            self.passed_over = 0;
        }
    }

    /// How much may be passed on.
    pub fn good(&self) -> usize {
        self.good.len()
    }

    /// What may be passed on, `most` bytes at most.
    pub fn pass_on(&mut self, most: usize) -> Option<Bytes> {
        let length = self.good.len().min(most);
        (length > 0).then(|| self.good.split_to(length).freeze())
    }

    /// Takes in what has come; an error where it is no such answer, or may not be the whole of one.
    pub fn hear(&mut self, bytes: &[u8]) -> io::Result<()> {
        let heard = self.take(bytes);
        self.regular &= heard.is_ok();
        heard
    }

    fn take(&mut self, bytes: &[u8]) -> io::Result<()> {
        match std::mem::replace(&mut self.state, State::Rest) {
            // Behind an answer that is whole and not yet passed on.
            State::Rest if !self.good.is_empty() => self.take_body(0, bytes),
            State::Rest => Err(irregular("bytes that no call asked for")),
            State::Head(mut head) => {
                head.extend_from_slice(bytes);
                self.take_head(head)
            }
            State::Body(left) => self.take_body(left, bytes),
            State::Chunks => {
                self.state = State::Chunks;
                self.good.extend_from_slice(bytes);
                Ok(())
            }
        }
    }

    fn take_head(&mut self, mut head: BytesMut) -> io::Result<()> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS];
            let mut answer = httparse::Response::new(&mut fields);
            let parsed = answer.parse(&head).map_err(|_| irregular("a head that cannot be read"))?;
            let httparse::Status::Complete(length) = parsed else {
                if head.len() + self.passed_over > HEAD {
                    return Err(irregular("a head without end"));
                }
                self.state = State::Head(head);
                return Ok(());
            };
            if answer.version != Some(1) {
                return Err(irregular("a head of another protocol"));
            }
            let body = match answer.code {
                // Told on the way to the answer.
                Some(100 | 102..=199) => None,
                Some(200..=599) => Some(self.length(&answer)?),
                _ => return Err(irregular("a status that no answer has")),
            };
            let rest = head.split_off(length);
            match body {
                None => {
                    self.passed_over += length;
                    head = rest;
                }
                Some(Some(left)) => {
                    self.good.extend_from_slice(&head);
                    return self.take_body(left, &rest);
                }
                Some(None) => {
                    self.good.extend_from_slice(&head);
                    self.good.extend_from_slice(&rest);
                    (self.state, self.regular) = (State::Chunks, false);
                    return Ok(());
                }
            }
        }
    }

    /// The length of an answer's body; none where it comes in chunks.
    fn length(&self, answer: &httparse::Response) -> io::Result<Option<usize>> {
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
                let length = length.filter(|length| *length <= self.most);
                length.map(Some).ok_or(irregular("an answer that is too long"))
            }
            _ => Err(irregular("an answer whose length is not plain")),
        }
    }

    fn take_body(&mut self, left: usize, bytes: &[u8]) -> io::Result<()> {
        let (body, surplus) = bytes.split_at(left.min(bytes.len()));
        self.good.extend_from_slice(body);
        if body.len() < left {
            self.state = State::Body(left - body.len());
            return Ok(());
        }
        self.regular &= surplus.is_empty();
        // A second answer leaves the first one whole; anything else may be the rest of one whose length is wrong.
        let begin = b"HTTP/1.";
        match surplus.iter().zip(begin).all(|(a, b)| a == b) {
            true => Ok(()),
            false => Err(irregular("more than the length of the answer")),
        }
    }
}

#[cfg(test)]
mod tests;
