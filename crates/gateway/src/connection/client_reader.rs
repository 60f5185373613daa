//! Reading from a client's connection. The HTTP server is handed one call at a time, and of its body only as
//! much as is copied before more is read: whatever it decodes is kept in entries that are larger than the bytes
//! they stand for, and what it is not given yet stays in the socket, or is deferred up to a bound.

use super::head_scan::HeadScan;
use super::unread_time::unread_time;
use super::{Connection, HANG_UP_CHECK_INTERVAL};
use actix_http::header::{self, HeaderMap};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bramblewharf::call_memory::{CHUNKED_STEP_BYTES, DECLARED_STEP_BYTES, HEAD_STEP_BYTES, READ_AHEAD_BYTES};
use bytes::{Buf as _, BytesMut};
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, ReadBuf};

/// What is still to come of the body of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// Nothing: what follows belongs to the next call.
    Complete,
    /// So many bytes.
    Declared(u64),
    /// Chunks. Their end is detected by the HTTP server.
    Chunked,
}

impl BodyFraming {
    /// The framing of the body that follows a head with these fields.
    pub fn of(headers: &HeaderMap) -> BodyFraming {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return BodyFraming::Chunked;
        }
        let length =
            headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
        BodyFraming::Declared(length.unwrap_or(0)).after(0)
    }

    /// How many bytes are handed on at a time.
    pub(super) fn step(self) -> usize {
        match self {
            BodyFraming::Complete => 0,
            BodyFraming::Declared(left) => {
                DECLARED_STEP_BYTES.min(usize::try_from(left).unwrap_or(usize::MAX))
            }
            BodyFraming::Chunked => CHUNKED_STEP_BYTES,
        }
    }

    /// What is still to come once these bytes have been handed on.
    fn after(self, bytes: usize) -> BodyFraming {
        match self {
            BodyFraming::Declared(left) if left <= bytes as u64 => BodyFraming::Complete,
            BodyFraming::Declared(left) => BodyFraming::Declared(left - bytes as u64),
            other => other,
        }
    }
}

/// How far the head of a call reaches into bytes that have arrived.
struct ScannedHead {
    length: usize,
    lines: usize,
    scan: HeadScan,
}

fn scan_head(mut scan: HeadScan, bytes: &[u8]) -> ScannedHead {
    let mut lines = 0;
    for (at, byte) in bytes.iter().enumerate() {
        lines += usize::from(*byte == b'\n');
        let before = scan;
        scan = scan.after(*byte);
        if before != HeadScan::Complete && scan == HeadScan::Complete {
            return ScannedHead { length: at + 1, lines, scan };
        }
    }
    ScannedHead { length: bytes.len(), lines, scan }
}

impl Connection {
    /// Reads a client's next bytes for the HTTP server.
    pub(super) fn poll_client(
        &self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_open = self.idle_since.get().is_none();
        let waits_for_memory = self.memory.as_ref().is_some_and(|memory| memory.waits());
        let read = if self.refused.get() {
            self.poll_discard(stream, cx)
        } else if self.head_complete.get() || waits_for_memory {
            Poll::Pending
        } else if !is_open {
            self.poll_head(stream, cx, buf)
        } else if self.body.get() == BodyFraming::Complete {
            self.poll_read_ahead(stream, cx)
        } else {
            self.poll_body(stream, cx, buf)
        };
        if matches!(read, Poll::Ready(Err(_))) {
            self.peer_ended.set(true);
        }
        let paused = is_open && read.is_pending() && self.reading_is_paused();
        // Notify only when the pause begins: `wait_for_end` may run in the task that polls this, and would
        // wake it for ever.
        let newly_paused = paused && !self.read_paused.replace(paused);
        self.read_paused.set(paused);
        if self.peer_ended.get() || newly_paused {
            self.end_notify.notify_one();
        }
        read
    }

    /// Whether the socket is not read although a call is open on it.
    fn reading_is_paused(&self) -> bool {
        match self.body.get() {
            _ if self.memory.as_ref().is_some_and(|memory| memory.waits()) => true,
            _ if self.refused.get() => self.read_allowance.get() == 0,
            BodyFraming::Complete => self.deferred.borrow().len() >= READ_AHEAD_BYTES,
            _ => self.read_allowance.get() == 0,
        }
    }

    /// Reads up to `limit` bytes, from the deferred ones or from the socket; none at the end of the stream.
    fn poll_next_bytes(
        &self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<usize>> {
        let limit = limit.min(buf.remaining());
        let mut deferred = self.deferred.borrow_mut();
        let length = if deferred.is_empty() {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut part))?;
            let length = part.filled().len();
            self.record_arrival(unread_time(stream));
            buf.advance(length);
            length
        } else {
            if self.idle_since.get().is_some() && self.head_begun_at.get().is_none() {
                // Read ahead, behind the call before.
                self.record_arrival(Duration::ZERO);
            }
            let length = deferred.len().min(limit);
            buf.put_slice(&deferred[..length]);
            deferred.advance(length);
            length
        };
        if deferred.is_empty() && deferred.capacity() > 0 {
            *deferred = BytesMut::new();
        }
        if length == 0 {
            self.mark_ended();
        }
        Poll::Ready(Ok(length))
    }

    fn record_arrival(&self, unread_time: Duration) {
        let now = Instant::now();
        self.arrived_at.set(now.checked_sub(unread_time).unwrap_or(now));
    }

    fn mark_ended(&self) {
        self.peer_ended.set(true);
        self.end_notify.notify_one();
    }

    /// Puts bytes back that are not handed on yet.
    fn defer(&self, bytes: &[u8]) {
        let mut deferred = self.deferred.borrow_mut();
        let following = std::mem::replace(&mut *deferred, BytesMut::from(bytes));
        deferred.extend_from_slice(&following);
    }

    /// Reads the head of the next call, up to the empty line.
    fn poll_head(
        &self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let length = ready!(self.poll_next_bytes(stream, cx, buf, HEAD_STEP_BYTES))?;
        if length == 0 {
            return Poll::Ready(Ok(()));
        }
        if self.head_begun_at.get().is_none() {
            self.head_begun_at.set(Some(Instant::now()));
            self.head_scan.set(HeadScan::LineStart);
            self.head_length.set(0);
        }
        let arrived = &buf.filled()[before..];
        let head = scan_head(self.head_scan.get(), arrived);
        let head_length = self.head_length.get() + head.length;
        let has_memory = self.memory.as_ref().is_none_or(|memory| {
            memory.update(|arriving| {
                arriving.head_bytes = arriving.head_bytes.max(head_length);
                arriving.head_lines += head.lines;
            })
        });
        if !has_memory {
            self.memory.iter().for_each(|memory| memory.put_lines_back(head.lines, 0));
            self.defer(arrived);
            buf.set_filled(before);
            return Poll::Pending;
        }
        self.head_length.set(head_length);
        self.head_scan.set(head.scan);
        self.head_complete.set(head.scan == HeadScan::Complete);
        if head.length < length {
            self.defer(&arrived[head.length..]);
            buf.set_filled(before + head.length);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads the next part of the body of the open call.
    fn poll_body(
        &self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = self.read_allowance.get();
        if allowance == 0 {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let length = ready!(self.poll_next_bytes(stream, cx, buf, allowance))?;
        let arrived = &buf.filled()[before..];
        if self.body.get() == BodyFraming::Chunked && length > 0 {
            let lines = arrived.iter().filter(|byte| **byte == b'\n').count();
            let has_memory = |memory: &super::MemoryClaim| {
                memory.update(|arriving| {
                    arriving.body_lines += lines;
                    arriving.peak_body_lines = arriving.peak_body_lines.max(arriving.body_lines);
                })
            };
            if !self.memory.as_ref().is_none_or(has_memory) {
                self.memory.iter().for_each(|memory| memory.put_lines_back(0, lines));
                self.defer(arrived);
                buf.set_filled(before);
                return Poll::Pending;
            }
        }
        self.read_allowance.set(allowance - length);
        self.body.set(self.body.get().after(length));
        Poll::Ready(Ok(()))
    }

    /// Reads ahead behind a call that has arrived, so that the end of the stream is noticed.
    fn poll_read_ahead(&self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_AHEAD_BYTES];
        loop {
            let room = READ_AHEAD_BYTES.saturating_sub(self.deferred.borrow().len());
            if room == 0 {
                return Poll::Pending;
            }
            let mut read = ReadBuf::new(&mut bytes[..room]);
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                self.mark_ended();
                // The HTTP server reads no further call once it has seen the end.
                let has_unread = !self.deferred.borrow().is_empty();
                return if has_unread { Poll::Pending } else { Poll::Ready(Ok(())) };
            }
            self.deferred.borrow_mut().extend_from_slice(read.filled());
        }
    }

    /// Returns once the peer has closed its side.
    pub async fn wait_for_end(&self) {
        while !self.peer_ended.get() {
            if !self.read_paused.get() {
                self.end_notify.notified().await;
            } else if self.has_hung_up() {
                return;
            } else {
                let _ = timeout(HANG_UP_CHECK_INTERVAL, self.end_notify.notified()).await;
            }
        }
    }
}
