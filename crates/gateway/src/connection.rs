//! TCP connections that are closed after an idle timeout, whichever task owns them. This guards against
//! silent peers that would hold file descriptors, and against reusing a pooled connection while the peer
//! closes it.

mod call_memory;
mod client_reader;
mod head_scan;
mod linger;
mod unread_time;

use crate::closes::{CloseCounts, CloseReason};
use crate::exchange::{AnswerNumber, Exchange};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use bramblewharf::call_memory::Effect as MemoryEffect;
use bytes::BytesMut;
pub use call_memory::{CallMemoryBook, MemoryClaim};
pub use client_reader::BodyFraming;
use head_scan::HeadScan;
use linger::Linger;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// The longest time from computing a request's headers to writing its first byte. A process that was not
/// paused in between needs far less.
const FIRST_BYTE_DEADLINE: Duration = Duration::from_millis(90);

/// A client or engine connection with the state of the call that is open on it.
pub struct Connection {
    stream: RefCell<Option<TcpStream>>,
    reader_waker: RefCell<Option<Waker>>,
    /// Since when the connection is idle; none while a call is open on it.
    idle_since: Cell<Option<Instant>>,
    /// Client connections only: the calls opened so far, when the head of the next one began to arrive, and
    /// how far that head has been scanned for bare line feeds.
    call_count: Cell<u64>,
    head_begun_at: Cell<Option<Instant>>,
    head_scan: Cell<HeadScan>,
    /// Client connections only: when the bytes of the call that were read last had arrived.
    arrived_at: Cell<Instant>,
    /// Client connections only: the length of that head so far.
    head_length: Cell<usize>,
    /// A call was refused: no further call is read, and the rest of that one is discarded so that the client
    /// can read why.
    refused: Cell<bool>,
    /// Client connections only: bytes that are not handed on yet. They arrived behind the head of a call that
    /// is not open yet, behind a call that is complete, or wait for memory.
    deferred: RefCell<BytesMut>,
    /// The head of a call has arrived and the call is not open yet; nothing more is read meanwhile.
    head_complete: Cell<bool>,
    /// The write side is shut down.
    write_closed: Cell<bool>,
    /// Client connections only: what is still to come of the body of the open call.
    body: Cell<BodyFraming>,
    /// How many bytes of that body may be handed on now; after a refusal, how many may be discarded.
    read_allowance: Cell<usize>,
    /// Client connections only: the memory held for the call that is arriving.
    memory: Option<MemoryClaim>,
    /// The socket does not take what is written at present.
    write_blocked: Cell<bool>,
    /// Engine connections only: validates the answers. Reads and writes then reset the idle time.
    exchange: Option<RefCell<Exchange>>,
    /// The first byte of the current or last call was written.
    first_byte_sent: Cell<bool>,
    /// Engine connections only: when the last call was prepared, and whether its first byte came too late
    /// after that.
    send_prepared_at: Cell<Option<Instant>>,
    late_first_byte: Cell<bool>,
    /// The engine answered before the request was sent completely; the rest of the request is dropped.
    answered_early: Cell<bool>,
    peer_ended: Cell<bool>,
    end_notify: Notify,
    /// Reading is paused as the allowance of the open call is used up; the end of the stream can't be read
    /// either.
    read_paused: Cell<bool>,
    linger: Rc<Linger>,
    close_counts: Rc<CloseCounts>,
}

/// An answer's place among what was received on its engine connection.
pub struct AnswerPosition {
    connection: Rc<Connection>,
    number: AnswerNumber,
}

impl AnswerPosition {
    /// Whether what came behind the answer proves that it is complete.
    pub fn is_proven_complete(&self) -> bool {
        let exchange = self.connection.exchange.as_ref();
        exchange.is_some_and(|exchange| exchange.borrow().is_proven_complete(self.number))
    }
}

/// Answers a call that is rejected before it has arrived.
const NO_MEMORY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    content-length: 16\r\ncontent-type: application/json\r\n\r\n{\"abort\":\"Busy\"}";
/// How many bytes of a refused call are read and discarded at most.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

impl Connection {
    /// Marks a call as open, whose body is framed like this. Returns when the call began to arrive.
    pub fn begin_call(&self, body: BodyFraming) -> Instant {
        let idle_since = self.idle_since.take().unwrap_or_else(Instant::now);
        let first = self.call_count.replace(self.call_count.get() + 1) == 0;
        let begun = self.head_begun_at.take().filter(|_| !first).unwrap_or(if first {
            idle_since
        } else {
            Instant::now()
        });
        self.body.set(body);
        self.read_allowance.set(body.step());
        self.memory.iter().for_each(|memory| memory.set_complete(true));
        if self.head_complete.take() {
            self.wake();
        }
        begun
    }

    /// When the part of the open call that was read last had arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at.get()
    }

    /// What was handed on of the body of the open call has been copied: the next part may follow.
    pub fn allow_next_step(&self) {
        if self.read_allowance.get() > 0 || self.body.get() == BodyFraming::Complete {
            return;
        }
        self.read_allowance.set(self.body.get().step());
        if let Some(memory) = &self.memory {
            memory.update(|arriving| arriving.body_lines = 0);
        }
        self.wake();
    }

    /// The open call has been received completely: what follows belongs to the next call, of which a part is
    /// read for now. The text is no longer part of what is arriving.
    pub fn call_received(&self) {
        if let Some(memory) = &self.memory {
            memory.update(|arriving| arriving.text_bytes = 0);
            memory.set_complete(true);
        }
        if self.body.replace(BodyFraming::Complete) != BodyFraming::Complete {
            self.wake();
        }
    }

    /// The memory held for the call that is arriving, on a client connection.
    pub fn memory(&self) -> Option<&MemoryClaim> {
        self.memory.as_ref()
    }

    /// Carries out a decision on the memory of the call that is arriving.
    fn run_memory_effect(&self, effect: &MemoryEffect) {
        let Some(memory) = &self.memory else { return };
        match effect {
            MemoryEffect::Resume(_) => memory.resume(),
            MemoryEffect::Reject(_) if self.idle_since.get().is_none() => memory.reject(),
            MemoryEffect::Reject(_) if self.write_blocked.get() => memory.mark_idle(),
            MemoryEffect::Reject(_) => self.reject_head(),
        }
        self.wake();
    }

    /// Rejects a call whose head has not arrived completely, if one has begun, and closes the connection.
    fn reject_head(&self) {
        if self.head_begun_at.get().is_some() {
            // As much as the socket takes: the connection is closed either way.
            let _ = self.stream.borrow().as_ref().map(|stream| stream.try_write(NO_MEMORY_RESPONSE));
        }
        self.close(CloseReason::NoMemory);
    }

    /// Marks the call as over; its answer is being written.
    pub fn end_call(&self) {
        self.idle_since.set(Some(Instant::now()));
        self.body.set(BodyFraming::Complete);
        self.memory.iter().for_each(MemoryClaim::end_call);
        self.wake();
    }

    /// The open call is refused, and the connection carries no further call.
    pub fn refuse_further_calls(&self) {
        self.refused.set(true);
        self.read_allowance.set(MAX_DISCARDED_BYTES);
    }

    /// Whether a call on this connection was refused.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }

    /// Whether the head of the call has a line feed without a carriage return.
    pub fn has_bare_line_feed(&self) -> bool {
        self.head_scan.get() == HeadScan::BareLineFeed
    }

    /// Whether the peer has closed its side, as the socket tells right now, even with unread bytes before the
    /// end.
    pub fn has_hung_up(&self) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return true };
        let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
        poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }

    /// Resets the idle time of an engine connection.
    fn touch(&self) {
        if self.exchange.is_some() {
            self.idle_since.set(Some(Instant::now()));
        }
    }

    /// Starts the first-byte deadline of a call that is about to be written to an engine.
    pub fn prepare_send(&self) {
        self.first_byte_sent.set(false);
        self.send_prepared_at.set(Some(Instant::now()));
    }

    /// Whether the call was not written as its first byte was due too long after its preparation, because
    /// this process was paused in between.
    pub fn was_late(&self) -> bool {
        self.late_first_byte.get()
    }

    /// Fails if the first byte of a call is late: what was computed for the call, such as its remaining time,
    /// is stale then.
    fn check_first_byte_deadline(&self) -> io::Result<()> {
        let prepared_at = self.send_prepared_at.get().filter(|_| !self.first_byte_sent.get());
        if prepared_at.is_some_and(|prepared_at| prepared_at.elapsed() > FIRST_BYTE_DEADLINE) {
            self.late_first_byte.set(true);
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Whether any byte of the current or last call was written.
    pub fn has_sent(&self) -> bool {
        self.first_byte_sent.get()
    }

    /// Whether the engine has begun to answer before the request was sent completely. If so, the rest of the
    /// request is dropped from then on.
    pub fn check_early_answer(&self) -> bool {
        let early = self.stream.borrow().as_ref().is_some_and(answer_begun);
        if early {
            self.answered_early.set(true);
            self.exchange.iter().for_each(|exchange| exchange.borrow_mut().mark_irregular());
        }
        early
    }

    /// Whether the connection is open, idle and showed nothing irregular, so that it can carry another call.
    pub fn is_reusable(&self) -> bool {
        self.stream.borrow().is_some()
            && self.exchange.as_ref().is_some_and(|exchange| exchange.borrow().is_reusable())
    }

    /// Fails before the first byte of a call if the connection has ended or holds unsolicited bytes. As
    /// nothing of the call was written, it can be sent on another connection.
    fn check_reusable(&self, stream: &TcpStream) -> io::Result<()> {
        let Some(exchange) = self.exchange.as_ref().filter(|_| !self.first_byte_sent.get()) else {
            return Ok(());
        };
        let mut exchange = exchange.borrow_mut();
        if !exchange.is_reusable() || !is_quiet(stream) {
            exchange.mark_irregular();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        exchange.begin_call();
        Ok(())
    }

    /// Reads an engine's answer and hands on the validated part.
    fn poll_answer(
        &self,
        exchange: &mut Exchange,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 4096];
        // An answer is handed on only once the bytes that arrived after it have been checked.
        let ended = loop {
            let mut raw = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut raw) {
                Poll::Ready(Ok(())) if !raw.filled().is_empty() => exchange.receive(raw.filled())?,
                Poll::Pending => break Poll::Pending,
                // awc accepts an answer that is truncated by the end of the connection as complete.
                ended => {
                    let complete = !exchange.awaits_answer();
                    match &ended {
                        Poll::Ready(Ok(())) => exchange.end_of_stream(),
                        _ => exchange.mark_irregular(),
                    }
                    break if complete {
                        ended
                    } else {
                        Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
                    };
                }
            }
            if exchange.validated_len() >= MAX_ANSWER_BUFFER {
                break Poll::Pending;
            }
        };
        match exchange.take_validated(buf.remaining()) {
            Some(validated) => {
                buf.put_slice(&validated);
                Poll::Ready(Ok(()))
            }
            None => ended,
        }
    }

    /// Where the answer that was received last stands on this engine connection.
    pub fn last_answer(self: &Rc<Self>) -> Option<AnswerPosition> {
        let number = self.exchange.as_ref()?.borrow().last_answer();
        Some(AnswerPosition { connection: self.clone(), number })
    }

    /// Whether a call has begun to arrive on the idle connection and is not read yet.
    pub fn has_pending_input(&self) -> bool {
        let is_idle = !self.refused.get() && self.head_begun_at.get().is_none();
        let has_unread = || self.stream.borrow().as_ref().is_some_and(|stream| !is_quiet(stream));
        is_idle && (!self.deferred.borrow().is_empty() || has_unread())
    }

    fn idle_for(&self) -> Option<Duration> {
        self.idle_since.get().map(|since| since.elapsed())
    }

    /// The reason to close the connection, if a timeout has passed.
    fn overdue_reason(&self, head_timeout: Duration, idle_timeout: Duration) -> Option<CloseReason> {
        let idle_for = self.idle_for()?;
        if self.refused.get() {
            return (idle_for > LINGER_TIMEOUT).then_some(CloseReason::Refused);
        }
        // A client that has made no call yet gets the same timeout as one that sends its head slowly.
        match self.head_begun_at.get().filter(|_| self.call_count.get() > 0) {
            Some(begun) => (begun.elapsed() > head_timeout).then_some(CloseReason::SlowHead),
            None if self.call_count.get() == 0 && self.exchange.is_none() => {
                (idle_for > head_timeout).then_some(CloseReason::SlowHead)
            }
            None => (idle_for > idle_timeout).then_some(CloseReason::Idle),
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.reader_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Takes the socket out; remaining owners find the connection closed.
    pub fn take_stream(&self) -> Option<TcpStream> {
        self.stream.borrow_mut().take()
    }

    /// Closes the connection; no further call is read. A client may be sending at this moment, so its socket
    /// lingers.
    pub fn close(&self, reason: CloseReason) {
        if let Some(stream) = self.stream.borrow_mut().take() {
            self.close_counts.count(reason);
            // Runtime invariant: a close by this side must not hit a connection with an open call.
            let open = self.exchange.is_none() && self.idle_since.get().is_none() && !self.peer_ended.get();
            if open && reason != CloseReason::Done && !self.write_closed.get() && !self.refused.get() {
                self.close_counts.count_unanswered();
            }
            match &self.exchange {
                None if !self.peer_ended.get() && !self.write_closed.get() => self.linger.add(stream),
                // Reset: the unanswered request is no longer wanted. After an ordinary close the kernel would
                // keep sending it over a stalled path, and a cancel on another connection would overtake it.
                Some(exchange) if exchange.borrow().awaits_answer() => {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                _ => {}
            }
        }
        self.wake();
    }

    /// Reads and discards what a client still sends after a refusal, up to a bound, so that it can read the
    /// refusal.
    fn poll_discard(&self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.deferred.borrow_mut().clear();
        let mut bytes = [0; 4096];
        while self.read_allowance.get() > 0 {
            let mut read = ReadBuf::new(&mut bytes);
            let result = std::task::ready!(Pin::new(&mut *stream).poll_read(cx, &mut read));
            if result.is_err() || read.filled().is_empty() {
                self.peer_ended.set(true);
                self.end_notify.notify_one();
                return Poll::Ready(result);
            }
            self.read_allowance.set(self.read_allowance.get().saturating_sub(read.filled().len()));
        }
        Poll::Pending
    }
}

/// How often a connection with paused reads is checked for a close by the peer.
const HANG_UP_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Whether neither unread bytes nor the end of the stream wait on the socket.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether a final answer has begun to arrive, other than a 1xx head.
fn answer_begun(stream: &TcpStream) -> bool {
    let mut bytes = [0; 10];
    let peeked = rustix::net::recv(stream, &mut bytes[..], rustix::net::RecvFlags::PEEK);
    peeked.is_ok_and(|(_, length)| length == bytes.len())
        && bytes.starts_with(b"HTTP/1.1 ")
        && bytes[9] != b'1'
}

/// How many validated bytes of an answer are buffered before they are handed on.
const MAX_ANSWER_BUFFER: usize = 16 * 1024;

/// The stream of a connection as the HTTP server and client use it.
pub struct TrackedStream(pub Rc<Connection>);

/// Closes the connection, even if it has further owners.
impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.0.close(CloseReason::Done);
    }
}

impl fmt::Debug for TrackedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Stream")
    }
}

/// How long a client has to read a refusal before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// All connections of one kind (clients or engines) with their timeouts.
pub struct Connections {
    connections: RefCell<Vec<Weak<Connection>>>,
    pub linger: Rc<Linger>,
    pub close_counts: Rc<CloseCounts>,
    /// Client connections only: how long the head of a call may take to arrive.
    head_timeout: Duration,
    idle_timeout: Duration,
    /// Engine connections only: the longest answer, in bytes.
    max_answer: Option<usize>,
    /// Client connections only: the memory of calls that are arriving.
    call_memory: Option<Rc<CallMemoryBook>>,
}

impl Connections {
    /// `max_lingering`: how many connections may be in a lingering close at once. `call_memory`: memory of what
    /// connections hold beyond an ordinary call.
    pub fn for_clients(
        max_lingering: usize,
        call_memory: Rc<CallMemoryBook>,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Connections {
        let linger = Linger::new(max_lingering);
        Connections {
            connections: RefCell::default(),
            linger,
            close_counts: Rc::default(),
            head_timeout,
            idle_timeout,
            max_answer: None,
            call_memory: Some(call_memory),
        }
    }

    /// `max_answer`: the longest answer of an engine, in bytes.
    pub fn for_engines(max_answer: usize, idle_timeout: Duration) -> Connections {
        let linger = Linger::new(0);
        Connections {
            connections: RefCell::default(),
            linger,
            close_counts: Rc::default(),
            head_timeout: idle_timeout,
            idle_timeout,
            max_answer: Some(max_answer),
            call_memory: None,
        }
    }

    /// Adds a connection to the set.
    pub fn track(&self, stream: TcpStream) -> TrackedStream {
        // With Nagle's algorithm an answer of several segments waits for acknowledgements.
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(Connection {
            stream: RefCell::new(Some(stream)),
            reader_waker: RefCell::default(),
            idle_since: Cell::new(Some(Instant::now())),
            call_count: Cell::new(0),
            head_begun_at: Cell::new(None),
            head_scan: Cell::new(HeadScan::Complete),
            arrived_at: Cell::new(Instant::now()),
            head_length: Cell::new(0),
            refused: Cell::new(false),
            write_closed: Cell::new(false),
            body: Cell::new(BodyFraming::Complete),
            read_allowance: Cell::new(0),
            memory: self.call_memory.as_ref().map(CallMemoryBook::claim),
            write_blocked: Cell::new(false),
            exchange: self.max_answer.map(|max_answer| RefCell::new(Exchange::new(max_answer))),
            first_byte_sent: Cell::new(false),
            send_prepared_at: Cell::new(None),
            late_first_byte: Cell::new(false),
            answered_early: Cell::new(false),
            peer_ended: Cell::new(false),
            end_notify: Notify::new(),
            deferred: RefCell::default(),
            head_complete: Cell::new(false),
            read_paused: Cell::new(false),
            linger: self.linger.clone(),
            close_counts: self.close_counts.clone(),
        });
        self.connections.borrow_mut().push(Rc::downgrade(&connection));
        TrackedStream(connection)
    }

    /// Carries out the decisions on the memory of calls, for as long as it is polled.
    pub async fn run_call_memory(&self) {
        let Some(book) = &self.call_memory else { return };
        loop {
            for effect in book.next_effects().await {
                let (MemoryEffect::Resume(number) | MemoryEffect::Reject(number)) = effect;
                let is_meant = |connection: &&Rc<Connection>| {
                    connection.memory.as_ref().is_some_and(|memory| memory.number() == number)
                };
                self.live()
                    .iter()
                    .find(is_meant)
                    .into_iter()
                    .for_each(|connection| connection.run_memory_effect(&effect));
            }
        }
    }

    /// The memory of calls that are arriving, of client connections.
    pub fn call_memory(&self) -> Option<&CallMemoryBook> {
        self.call_memory.as_deref()
    }

    /// Closes connections whose timeout has passed, unless unread bytes wait on them. To be called
    /// periodically.
    pub fn close_idle(&self) {
        for connection in self.live() {
            if let Some(reason) = connection.overdue_reason(self.head_timeout, self.idle_timeout) {
                if !connection.has_pending_input() {
                    connection.close(reason);
                }
            }
        }
        self.connections.borrow_mut().retain(|connection| connection.strong_count() > 0);
    }

    /// Closes one connection without an open call: a refused one, else the one that has been idle longest
    /// without ever making a call (for `unused_for` at least), else the one that has been idle longest since
    /// its last call (for `idle_for` at least). Returns false where there is none.
    pub fn close_one_idle(&self, unused_for: Duration, idle_for: Duration) -> bool {
        let idle =
            self.live().into_iter().filter_map(|connection| Some((connection.idle_for()?, connection)));
        let rank = |connection: &Connection| (connection.refused.get(), connection.call_count.get() == 0);
        let closable = idle.filter(|(idle, connection)| {
            *idle >= if rank(connection) == (false, false) { idle_for } else { unused_for }
        });
        let closable = closable.filter(|(_, connection)| !connection.has_pending_input());
        match closable.max_by_key(|(idle, connection)| (rank(connection), *idle)) {
            Some((_, connection)) => connection.close(CloseReason::AtBound),
            None => return false,
        }
        true
    }

    /// Closes all connections for shutdown.
    pub fn close_all(&self) {
        self.live().iter().for_each(|connection| connection.close(CloseReason::ShutDown));
    }

    /// Closes all connections with an unbounded lingering close: no new ones arrive that would need their
    /// descriptors.
    pub fn close_all_at_shutdown(&self) {
        self.linger.max_streams.set(usize::MAX);
        self.close_all();
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.live().len()
    }

    /// The number of client connections with an open call.
    pub fn open_calls(&self) -> usize {
        self.live().iter().filter(|connection| connection.idle_since.get().is_none()).count()
    }

    fn live(&self) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|connection| connection.stream.borrow().is_some())
            .collect()
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &self.0;
        let mut stream = connection.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            // An answer that this side cut off is incomplete too.
            let cut = || Err(io::ErrorKind::ConnectionAborted.into());
            return Poll::Ready(connection.exchange.as_ref().map_or(Ok(()), |_| cut()));
        };
        let read = match &connection.exchange {
            Some(exchange) => connection.poll_answer(&mut exchange.borrow_mut(), stream, cx, buf),
            None => connection.poll_client(stream, cx, buf),
        };
        if read.is_pending() {
            *connection.reader_waker.borrow_mut() = Some(cx.waker().clone());
        } else if connection.exchange.is_some() {
            connection.touch();
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let connection = &self.0;
        connection.touch();
        let mut stream = connection.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        if connection.answered_early.get() {
            return Poll::Ready(Ok(buf.len()));
        }
        connection.check_first_byte_deadline()?;
        connection.check_reusable(stream)?;
        let mut written = Pin::new(&mut *stream).poll_write(cx, buf);
        connection.write_blocked.set(written.is_pending());
        // An engine that answers and closes resets the rest of the request; its answer can still be read.
        if matches!(written, Poll::Ready(Err(_)))
            && connection.exchange.is_some()
            && connection.first_byte_sent.get()
            && answer_begun(stream)
        {
            connection.answered_early.set(true);
            connection.exchange.iter().for_each(|exchange| exchange.borrow_mut().mark_irregular());
            written = Poll::Ready(Ok(buf.len()));
        }
        connection
            .first_byte_sent
            .set(connection.first_byte_sent.get() || matches!(written, Poll::Ready(Ok(1..))));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_flush(cx),
            None => Poll::Ready(Ok(())),
        }
    }

    /// Closing a connection with unread bytes resets it, and what was written last is lost. So the client
    /// gets some time to read the answer, and what it still sends is read and discarded up to a bound.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let connection = self.0.clone();
        if connection.exchange.is_some() {
            return match connection.stream.borrow_mut().as_mut() {
                Some(stream) => Pin::new(stream).poll_shutdown(cx),
                None => Poll::Ready(Ok(())),
            };
        }
        if !connection.write_closed.replace(true) {
            if let Some(stream) = connection.stream.borrow_mut().as_mut() {
                std::task::ready!(Pin::new(stream).poll_shutdown(cx))?;
            }
            if !connection.refused.replace(true) {
                connection.read_allowance.set(MAX_DISCARDED_BYTES);
            }
            connection.idle_since.set(Some(Instant::now()));
        }
        let mut bytes = [0; 4096];
        let this = self.get_mut();
        loop {
            let mut read = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *this).poll_read(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl ActixStream for TrackedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        match self.0.stream.borrow().as_ref() {
            Some(stream) => ActixStream::poll_read_ready(stream, cx),
            None => Poll::Ready(Ok(Ready::READABLE)),
        }
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        match self.0.stream.borrow().as_ref() {
            Some(stream) => ActixStream::poll_write_ready(stream, cx),
            None => Poll::Ready(Ok(Ready::WRITABLE)),
        }
    }
}

#[cfg(test)]
mod tests;
