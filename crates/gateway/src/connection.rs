//! A TCP connection that is closed once it has stood idle for too long, whoever holds it: guards against silent
//! machines that would hold descriptors, and against pooled connections that the other end closes first.

use crate::closes::{CloseCounts, CloseReason};
use crate::exchange::Exchange;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_rt::time::{sleep, timeout};
use bytes::{Buf as _, BytesMut};
use futures_util::FutureExt as _;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::sync::Notify;

/// A process that is at work writes a call's first byte much sooner after it has worked out what goes with it.
const FIRST_BYTE_WITHIN: Duration = Duration::from_millis(90);

pub struct Connection {
    stream: RefCell<Option<TcpStream>>,
    readers: RefCell<Option<Waker>>,
    /// Idle since; none while a request is open on it.
    idle: Cell<Option<Instant>>,
    /// Of a client's: calls that have come whole, since when the next one comes, and whether the line ends of its head are
    /// what they should be.
    calls: Cell<u64>,
    begun: Cell<Option<Instant>>,
    ends: Cell<Ends>,
    /// Bytes have come since the call that is open was whole: how their lines end is not looked at.
    ahead: Cell<bool>,
    /// No further call is read on it, only so much of the one that was refused as lets the client read why.
    condemned: Cell<bool>,
    /// Of a client's: what came behind the head of a call, kept back until that call is open, as it may be no part of it.
    behind: RefCell<BytesMut>,
    holds: Cell<bool>,
    /// Nothing more is written on it.
    shut: Cell<bool>,
    /// What may yet be read while a request is open: a client may send ahead, but not without bound.
    allowed: Cell<usize>,
    /// Of a connection to an engine: what it may carry. What is read and written then makes it less idle.
    exchange: Option<RefCell<Exchange>>,
    /// Bytes of the call that is open, or was last, were written.
    sent: Cell<bool>,
    /// Of a connection to an engine: when it was last settled that a call may go out, and whether that was too long before its first byte.
    asked: Cell<Option<Instant>>,
    late: Cell<bool>,
    /// An engine has answered before a call had come whole: nothing more of that is written.
    early: Cell<bool>,
    ended: Cell<bool>,
    end: Notify,
    /// More waits to be read than may be while a call is open: its end can't be read either.
    held_back: Cell<bool>,
    linger: Rc<Linger>,
    close_counts: Rc<CloseCounts>,
}

/// How far the head of a call has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ends {
    /// Within a line, after a carriage return, after a line's end, after a carriage return there.
    Within,
    Return,
    Begin,
    BeginReturn,
    /// The head is over, or none has begun.
    Over,
    /// A line feed without a carriage return.
    Odd,
}

impl Ends {
    fn after(self, byte: u8) -> Ends {
        match (self, byte) {
            (Ends::Over | Ends::Odd, _) => self,
            (Ends::BeginReturn, b'\n') => Ends::Over,
            (Ends::Return, b'\n') => Ends::Begin,
            (_, b'\n') => Ends::Odd,
            (Ends::Begin, b'\r') => Ends::BeginReturn,
            (_, b'\r') => Ends::Return,
            _ => Ends::Within,
        }
    }
}

/// Of a call that was refused, read at most.
const AFTER_REFUSAL: usize = 256 * 1024;

impl Connection {
    /// A request is open on it, and so much more may be read. Tells when it began to come.
    pub fn begin_call(&self, allowed: usize) -> Instant {
        let idle = self.idle.take().unwrap_or_else(Instant::now);
        let first = self.calls.replace(self.calls.get() + 1) == 0;
        let begun = self.begun.take().filter(|_| !first).unwrap_or(if first { idle } else { Instant::now() });
        self.allowed.set(allowed);
        self.ahead.set(false);
        if self.holds.take() {
            self.wake();
        }
        begun
    }

    /// So much more of the call that is open may be read.
    pub fn set_read_allowance(&self, allowed: usize) {
        self.allowed.set(allowed);
    }

    /// The call is here whole: what comes now belongs to the next, and no more than so much of it is read yet.
    pub fn call_received(&self, allowed: usize) {
        self.allowed.set(allowed);
        self.ahead.set(false);
    }

    /// No request is open on it any longer, and its answer is on the way.
    pub fn end_call(&self) {
        self.idle.set(Some(Instant::now()));
        if self.ahead.get() {
            self.begun.set(Some(Instant::now()));
            self.ends.set(Ends::Over);
        }
        self.wake();
    }

    /// The call that is open is refused, and the connection with it.
    pub fn refuse_further_calls(&self) {
        self.condemned.set(true);
        self.allowed.set(AFTER_REFUSAL);
    }

    pub fn is_refused(&self) -> bool {
        self.condemned.get()
    }

    pub fn has_bare_line_feed(&self) -> bool {
        self.ends.get() == Ends::Odd
    }

    /// A client's call comes: its head is looked at up to the empty line. Tells how many of the bytes belong to what may be
    /// read now: behind the head nothing is, until its call is open.
    fn comes(&self, bytes: &[u8]) -> usize {
        if self.idle.get().is_none() {
            self.ahead.set(true);
            return bytes.len();
        }
        if self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
            self.ends.set(Ends::Begin);
        }
        for (at, byte) in bytes.iter().enumerate() {
            let before = self.ends.replace(self.ends.get().after(*byte));
            if before != Ends::Over && self.ends.get() == Ends::Over {
                self.holds.set(true);
                return at + 1;
            }
        }
        bytes.len()
    }

    /// Returns once the other end sends no more.
    pub async fn wait_for_end(&self) {
        while !self.ended.get() {
            if !self.held_back.get() {
                self.end.notified().await;
            } else if self.is_hung_up() {
                return;
            } else {
                let _ = timeout(HUNG_UP, self.end.notified()).await;
            }
        }
    }

    /// The other end has closed, whatever is still unread before that.
    fn is_hung_up(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.as_ref().map(|stream| stream.ready(Interest::READABLE).now_or_never());
        ready.is_none_or(|ready| ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed())))
    }

    fn hear(&self) {
        if self.exchange.is_some() {
            self.idle.set(Some(Instant::now()));
        }
    }

    /// A call is about to be written to an engine.
    pub fn prepare_send(&self) {
        self.sent.set(false);
        self.asked.set(Some(Instant::now()));
    }

    /// Whether the call was not written as its first byte came too long after it was asked for: this process stood still in between.
    pub fn was_late(&self) -> bool {
        self.late.get()
    }

    /// What was worked out for a call, such as the time it has left, holds for its first byte.
    fn check_in_time(&self) -> io::Result<()> {
        let asked = self.asked.get().filter(|_| !self.sent.get());
        if asked.is_some_and(|asked| asked.elapsed() > FIRST_BYTE_WITHIN) {
            self.late.set(true);
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    pub fn has_sent(&self) -> bool {
        self.sent.get()
    }

    /// Whether the engine's answer is here though the call has not come whole; from then on nothing more of that is written.
    pub fn check_early_answer(&self) -> bool {
        let early = self.stream.borrow().as_ref().is_some_and(has_answer);
        if early {
            self.early.set(true);
            self.exchange.iter().for_each(|exchange| exchange.borrow_mut().spoil());
        }
        early
    }

    /// Is here still, and showed nothing irregular: it may carry another call.
    pub fn is_reusable(&self) -> bool {
        self.stream.borrow().is_some() && self.exchange.as_ref().is_some_and(|x| x.borrow().is_free())
    }

    /// Before the first byte of a call: a connection that has ended by then, or on which something waits that no call
    /// asked for, must not carry it. As nothing of the call was written, it may go out on another one.
    fn check_free(&self, stream: &TcpStream) -> io::Result<()> {
        let Some(exchange) = self.exchange.as_ref().filter(|_| !self.sent.get()) else { return Ok(()) };
        let mut exchange = exchange.borrow_mut();
        if !exchange.is_free() || !is_quiet(stream) {
            exchange.spoil();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        exchange.ask();
        Ok(())
    }

    /// Hands on what an engine sent as far as it is good.
    fn read_answer(
        &self,
        exchange: &mut Exchange,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 4096];
        // An answer is not handed on before what has come behind it was seen.
        let ended = loop {
            let mut raw = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut raw) {
                Poll::Ready(Ok(())) if !raw.filled().is_empty() => exchange.hear(raw.filled())?,
                Poll::Pending => break Poll::Pending,
                // awc takes an answer that is cut by its connection's end for a whole one.
                ended => {
                    let whole = !exchange.awaits();
                    exchange.spoil();
                    break if whole { ended } else { Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())) };
                }
            }
            if exchange.good() >= HELD {
                break Poll::Pending;
            }
        };
        match exchange.pass_on(buf.remaining()) {
            Some(good) => {
                buf.put_slice(&good);
                Poll::Ready(Ok(()))
            }
            None => ended,
        }
    }

    /// A call has begun to come on it in this moment, and is not read yet.
    pub fn has_pending_input(&self) -> bool {
        let rests = !self.condemned.get() && self.begun.get().is_none();
        rests && self.stream.borrow().as_ref().is_some_and(|stream| !is_quiet(stream))
    }

    fn idle_for(&self) -> Option<Duration> {
        self.idle.get().map(|since| since.elapsed())
    }

    /// Why it is to be closed, if it has been of no use for too long.
    fn is_overdue(&self, head_within: Duration, idle: Duration) -> Option<CloseReason> {
        let rested = self.idle_for()?;
        if self.condemned.get() {
            return (rested > LINGER).then_some(CloseReason::Refused);
        }
        // Who has asked nothing yet is owed no more patience than who asks slowly.
        match self.begun.get().filter(|_| self.calls.get() > 0) {
            Some(begun) => (begun.elapsed() > head_within).then_some(CloseReason::SlowHead),
            None if self.calls.get() == 0 && self.exchange.is_none() => {
                (rested > head_within).then_some(CloseReason::SlowHead)
            }
            None => (rested > idle).then_some(CloseReason::Idle),
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.readers.borrow_mut().take() {
            waker.wake();
        }
    }

    /// The connection itself; whoever still holds the line finds it closed.
    pub fn take_stream(&self) -> Option<TcpStream> {
        self.stream.borrow_mut().take()
    }

    /// Nothing more is read that could be carried out. A client's may have sent something in this very moment.
    pub fn close(&self, reason: CloseReason) {
        if let Some(stream) = self.stream.borrow_mut().take() {
            self.close_counts.count(reason);
            // The run-time check on closing: whoever closes for a reason of this side's must leave an open call alone.
            let open = self.exchange.is_none() && self.idle.get().is_none() && !self.ended.get();
            if open && reason != CloseReason::Done && !self.shut.get() && !self.condemned.get() {
                self.close_counts.count_unanswered();
            }
            match &self.exchange {
                None if !self.ended.get() && !self.shut.get() => self.linger.take(stream),
                // What was sent and has no answer is wanted no longer: after an ordinary close the system would go on sending
                // it over a path that stands still, and a cancel on another connection would overtake it.
                Some(exchange) if exchange.borrow().awaits() => {
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                _ => {}
            }
        }
        self.wake();
    }

    /// A client's next bytes, from what was kept back or from the connection.
    fn read_call(
        &self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let behind = &mut *self.behind.borrow_mut();
        if behind.is_empty() {
            std::task::ready!(Pin::new(stream).poll_read(cx, buf))?;
        } else {
            let length = behind.len().min(buf.remaining());
            buf.put_slice(&behind[..length]);
            behind.advance(length);
        }
        let length = buf.filled().len() - before;
        if length == 0 {
            self.ended.set(true);
            self.end.notify_one();
            return Poll::Ready(Ok(()));
        }
        self.allowed.set(self.allowed.get().saturating_sub(length));
        let now = self.comes(&buf.filled()[before..]);
        if now < length {
            let rest = BytesMut::from(&buf.filled()[before + now..]);
            let later = std::mem::replace(behind, rest);
            behind.extend_from_slice(&later);
            buf.set_filled(before + now);
        }
        Poll::Ready(Ok(()))
    }

    /// What still comes behind a refusal is read and dropped, up to a bound, so that the refusal can be read.
    fn read_out(&self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.behind.borrow_mut().clear();
        let mut bytes = [0; 4096];
        while self.allowed.get() > 0 {
            let mut read = ReadBuf::new(&mut bytes);
            let came = std::task::ready!(Pin::new(&mut *stream).poll_read(cx, &mut read));
            if came.is_err() || read.filled().is_empty() {
                self.ended.set(true);
                self.end.notify_one();
                return Poll::Ready(came);
            }
            self.allowed.set(self.allowed.get().saturating_sub(read.filled().len()));
        }
        Poll::Pending
    }
}

/// How often it is looked whether the other end has closed behind more than is read.
const HUNG_UP: Duration = Duration::from_millis(30);
/// How often connections that were let go are read out.
const READ_OUT: Duration = Duration::from_millis(10);

/// Connections that were let go: shut for writing at once, and read out before they are closed, as a close over unread bytes is
/// a reset, which takes an answer with it that is still on its way. Nothing that is read here is carried out. Bounded by
/// `most`, the oldest goes first; emptied of each as its other end closes, and after `LINGER`.
pub struct Linger {
    streams: RefCell<VecDeque<Lingering>>,
    most: Cell<usize>,
    some: Notify,
}

struct Lingering {
    stream: TcpStream,
    since: Instant,
    read: usize,
}

impl Lingering {
    fn is_over(&mut self) -> bool {
        let mut bytes = [0; 4096];
        while self.since.elapsed() < LINGER && self.read < AFTER_REFUSAL {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return true,
                Ok(read) => self.read += read,
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        true
    }
}

impl Linger {
    fn new(most: usize) -> Rc<Linger> {
        Rc::new(Linger { streams: RefCell::default(), most: Cell::new(most), some: Notify::new() })
    }

    fn take(&self, stream: TcpStream) {
        if socket2::SockRef::from(&stream).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut streams = self.streams.borrow_mut();
        if streams.len() >= self.most.get() {
            streams.pop_front();
        }
        streams.push_back(Lingering { stream, since: Instant::now(), read: 0 });
        self.some.notify_one();
    }

    pub fn count(&self) -> usize {
        self.streams.borrow().len()
    }

    /// Reads them out for as long as it is polled.
    pub async fn run(&self) {
        loop {
            self.some.notified().await;
            while self.count() > 0 {
                self.streams.borrow_mut().retain_mut(|lingering| !lingering.is_over());
                sleep(READ_OUT).await;
            }
        }
    }
}

/// Nothing has come on it that was not read, and neither has its end.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let waits = socket2::SockRef::from(stream).peek(&mut byte);
    waits.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// An answer has begun to come, and not only a head on the way to one.
fn has_answer(stream: &TcpStream) -> bool {
    let mut bytes = [0; 10];
    let came = rustix::net::recv(stream, &mut bytes[..], rustix::net::RecvFlags::PEEK);
    came.is_ok_and(|(_, came)| came == bytes.len()) && bytes.starts_with(b"HTTP/1.1 ") && bytes[9] != b'1'
}

/// Of what an engine sent, held at most before it is handed on.
const HELD: usize = 16 * 1024;

pub struct TrackedStream(pub Rc<Connection>);

/// Whoever else still knows of the connection, it is closed with this.
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

/// How long a client may read a refusal before its connection is closed.
const LINGER: Duration = Duration::from_secs(1);

/// The connections of one side, and how long one may stand idle.
pub struct Connections {
    connections: RefCell<Vec<Weak<Connection>>>,
    pub linger: Rc<Linger>,
    pub close_counts: Rc<CloseCounts>,
    /// Of clients: how long the head of a call may take to come.
    head_within: Duration,
    idle: Duration,
    /// Of connections to engines: the longest answer.
    answer: Option<usize>,
}

impl Connections {
    /// `most`: those that are let go at once.
    pub fn for_clients(most: usize, head_within: Duration, idle: Duration) -> Connections {
        let linger = Linger::new(most);
        Connections {
            connections: RefCell::default(),
            linger,
            close_counts: Rc::default(),
            head_within,
            idle,
            answer: None,
        }
    }

    pub fn for_engines(answer: usize, idle: Duration) -> Connections {
        let linger = Linger::new(0);
        Connections {
            connections: RefCell::default(),
            linger,
            close_counts: Rc::default(),
            head_within: idle,
            idle,
            answer: Some(answer),
        }
    }

    pub fn track(&self, stream: TcpStream) -> TrackedStream {
        // Without it an answer of several segments waits for acknowledgements.
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(Connection {
            stream: RefCell::new(Some(stream)),
            readers: RefCell::default(),
            idle: Cell::new(Some(Instant::now())),
            calls: Cell::new(0),
            begun: Cell::new(None),
            ends: Cell::new(Ends::Over),
            ahead: Cell::new(false),
            condemned: Cell::new(false),
            shut: Cell::new(false),
            allowed: Cell::new(0),
            exchange: self.answer.map(|most| RefCell::new(Exchange::new(most))),
            sent: Cell::new(false),
            asked: Cell::new(None),
            late: Cell::new(false),
            early: Cell::new(false),
            ended: Cell::new(false),
            end: Notify::new(),
            behind: RefCell::default(),
            holds: Cell::new(false),
            held_back: Cell::new(false),
            linger: self.linger.clone(),
            close_counts: self.close_counts.clone(),
        });
        self.connections.borrow_mut().push(Rc::downgrade(&connection));
        TrackedStream(connection)
    }

    /// Closes what has been idle for too long; to be called now and then. What has just come is read first.
    pub fn close_idle(&self) {
        for connection in self.live() {
            if let Some(reason) = connection.is_overdue(self.head_within, self.idle) {
                if !connection.has_pending_input() {
                    connection.close(reason);
                }
            }
        }
        self.connections.borrow_mut().retain(|connection| connection.strong_count() > 0);
    }

    /// Closes one that no call is open on: one that was refused, or else the oldest that has asked nothing, if for
    /// `settled`; or else the one that has asked and rested longest, if for `rested`. False where there is none such.
    pub fn close_one_idle(&self, settled: Duration, rested: Duration) -> bool {
        let idle =
            self.live().into_iter().filter_map(|connection| Some((connection.idle_for()?, connection)));
        let rank = |connection: &Connection| (connection.condemned.get(), connection.calls.get() == 0);
        let old = idle.filter(|(idle, connection)| {
            *idle >= if rank(connection) == (false, false) { rested } else { settled }
        });
        let old = old.filter(|(_, connection)| !connection.has_pending_input());
        match old.max_by_key(|(idle, connection)| (rank(connection), *idle)) {
            Some((_, connection)) => connection.close(CloseReason::AtBound),
            None => return false,
        }
        true
    }

    pub fn close_all(&self) {
        self.live().iter().for_each(|connection| connection.close(CloseReason::ShutDown));
    }

    /// Lets all go at once: no new ones come that would need their descriptors.
    pub fn close_all_at_shutdown(&self) {
        self.linger.most.set(usize::MAX);
        self.close_all();
    }

    pub fn count(&self) -> usize {
        self.live().len()
    }

    /// Of clients' connections, those that a call is open on.
    pub fn open_calls(&self) -> usize {
        self.live().iter().filter(|connection| connection.idle.get().is_none()).count()
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
        let bounded = connection.idle.get().is_none() || connection.condemned.get();
        let held_back = bounded && connection.allowed.get() == 0;
        let mut stream = connection.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            // An answer that we cut ourselves is no whole one either.
            let cut = || Err(io::ErrorKind::ConnectionAborted.into());
            return Poll::Ready(connection.exchange.as_ref().map_or(Ok(()), |_| cut()));
        };
        if let Some(exchange) = &connection.exchange {
            let read = connection.read_answer(&mut exchange.borrow_mut(), stream, cx, buf);
            match &read {
                Poll::Pending => *connection.readers.borrow_mut() = Some(cx.waker().clone()),
                Poll::Ready(_) => connection.hear(),
            }
            return read;
        }
        let held = held_back && connection.idle.get().is_none();
        // Once as it begins: whoever waits for the end may be polled by what polls this, and would wake it for ever.
        let newly_held = held && !connection.held_back.replace(held);
        connection.held_back.set(held);
        let read = if connection.condemned.get() {
            connection.read_out(stream, cx)
        } else if held_back || connection.holds.get() {
            Poll::Pending
        } else {
            connection.read_call(stream, cx, buf)
        };
        match &read {
            Poll::Pending => *connection.readers.borrow_mut() = Some(cx.waker().clone()),
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(_)) => connection.ended.set(true),
        }
        if connection.ended.get() || newly_held {
            connection.end.notify_one();
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let connection = &self.0;
        connection.hear();
        let mut stream = connection.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        if connection.early.get() {
            return Poll::Ready(Ok(buf.len()));
        }
        connection.check_in_time()?;
        connection.check_free(stream)?;
        let mut written = Pin::new(&mut *stream).poll_write(cx, buf);
        // An engine that answers and closes resets what still comes: its answer waits here all the same.
        if matches!(written, Poll::Ready(Err(_)))
            && connection.exchange.is_some()
            && connection.sent.get()
            && has_answer(stream)
        {
            connection.early.set(true);
            connection.exchange.iter().for_each(|exchange| exchange.borrow_mut().spoil());
            written = Poll::Ready(Ok(buf.len()));
        }
        connection.sent.set(connection.sent.get() || matches!(written, Poll::Ready(Ok(1..))));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_flush(cx),
            None => Poll::Ready(Ok(())),
        }
    }

    /// A connection that is closed while something on it is unread is reset, and what was written last is lost with it: so
    /// the client gets some time to read, and what it still sends is read up to a bound.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let connection = self.0.clone();
        if connection.exchange.is_some() {
            return match connection.stream.borrow_mut().as_mut() {
                Some(stream) => Pin::new(stream).poll_shutdown(cx),
                None => Poll::Ready(Ok(())),
            };
        }
        if !connection.shut.replace(true) {
            if let Some(stream) = connection.stream.borrow_mut().as_mut() {
                std::task::ready!(Pin::new(stream).poll_shutdown(cx))?;
            }
            if !connection.condemned.replace(true) {
                connection.allowed.set(AFTER_REFUSAL);
            }
            connection.idle.set(Some(Instant::now()));
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
