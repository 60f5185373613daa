//! A TCP connection that is closed once it has stood idle for too long, whoever holds it: guards against silent
//! machines that would hold descriptors, and against pooled connections that the other end closes first.

use crate::exchange::Exchange;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

pub struct Line {
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
    /// Nothing more is written on it.
    shut: Cell<bool>,
    /// What may yet be read while a request is open: a client may send ahead, but not without bound.
    allowed: Cell<usize>,
    /// Of a connection to an engine: what it may carry. What is read and written then makes it less idle.
    exchange: Option<RefCell<Exchange>>,
    /// Bytes of the call that is open, or was last, were written.
    sent: Cell<bool>,
    /// An engine has answered before a call had come whole: nothing more of that is written.
    early: Cell<bool>,
    ended: Cell<bool>,
    end: Notify,
}

/// How far the head of a call has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ends {
    /// Within a line, after a carriage return, after a line's end, after a carriage return there.
    Line,
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
            _ => Ends::Line,
        }
    }
}

/// Of a call that was refused, read at most.
const AFTER_REFUSAL: usize = 256 * 1024;

impl Line {
    /// A request is open on it, and so much more may be read. Tells when it began to come.
    pub fn open(&self, allowed: usize) -> Instant {
        let idle = self.idle.take().unwrap_or_else(Instant::now);
        let first = self.calls.replace(self.calls.get() + 1) == 0;
        let begun = self.begun.take().filter(|_| !first).unwrap_or(if first { idle } else { Instant::now() });
        self.allowed.set(allowed);
        self.ahead.set(false);
        begun
    }

    /// So much more of the call that is open may be read.
    pub fn allow(&self, allowed: usize) {
        self.allowed.set(allowed);
    }

    /// The call is here whole: what comes now belongs to the next, and no more than so much of it is read yet.
    pub fn has_come(&self, allowed: usize) {
        self.allowed.set(allowed);
        self.ahead.set(false);
    }

    /// No request is open on it any longer, and its answer is on the way.
    pub fn rest(&self) {
        self.idle.set(Some(Instant::now()));
        if self.ahead.get() {
            self.begun.set(Some(Instant::now()));
            self.ends.set(Ends::Over);
        }
        self.wake();
    }

    /// The call that is open is refused, and the connection with it.
    pub fn condemn(&self) {
        self.condemned.set(true);
        self.allowed.set(AFTER_REFUSAL);
    }

    pub fn is_condemned(&self) -> bool {
        self.condemned.get()
    }

    pub fn is_odd(&self) -> bool {
        self.ends.get() == Ends::Odd
    }

    /// A client's call comes: its head is looked at up to the empty line.
    fn comes(&self, bytes: &[u8]) {
        if self.idle.get().is_none() || self.condemned.get() {
            self.ahead.set(true);
            return;
        }
        if self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
            self.ends.set(Ends::Begin);
        }
        self.ends.set(bytes.iter().fold(self.ends.get(), |ends, byte| ends.after(*byte)));
    }

    /// Returns once the other end sends no more.
    pub async fn ended(&self) {
        while !self.ended.get() {
            self.end.notified().await;
        }
    }

    fn hear(&self) {
        if self.exchange.is_some() {
            self.idle.set(Some(Instant::now()));
        }
    }

    /// A call is about to be written to an engine.
    pub fn ask(&self) {
        self.sent.set(false);
    }

    pub fn sent(&self) -> bool {
        self.sent.get()
    }

    /// Whether the engine's answer is here though the call has not come whole; from then on nothing more of that is written.
    pub fn answers_early(&self) -> bool {
        let early = self.stream.borrow().as_ref().is_some_and(has_answer);
        if early {
            self.early.set(true);
            self.exchange.iter().for_each(|exchange| exchange.borrow_mut().spoil());
        }
        early
    }

    /// Is here still, and showed nothing irregular: it may carry another call.
    pub fn is_free(&self) -> bool {
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

    fn idle_for(&self) -> Option<Duration> {
        self.idle.get().map(|since| since.elapsed())
    }

    /// How long it has been of no use, if that is too long.
    fn is_overdue(&self, head_within: Duration, idle: Duration) -> bool {
        let Some(rested) = self.idle_for() else { return false };
        if self.condemned.get() {
            return rested > LINGER;
        }
        // Who has asked nothing yet is owed no more patience than who asks slowly.
        match self.begun.get().filter(|_| self.calls.get() > 0) {
            Some(begun) => begun.elapsed() > head_within,
            None if self.calls.get() == 0 && self.exchange.is_none() => rested > head_within,
            None => rested > idle,
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.readers.borrow_mut().take() {
            waker.wake();
        }
    }

    /// The connection itself; whoever still holds the line finds it closed.
    pub fn take(&self) -> Option<TcpStream> {
        self.stream.borrow_mut().take()
    }

    pub fn close(&self) {
        let stream = self.stream.borrow_mut().take();
        drop(stream);
        self.wake();
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

pub struct Link(pub Rc<Line>);

/// Whoever else still knows of the connection, it is closed with this.
impl Drop for Link {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Link")
    }
}

/// How long a client may read a refusal before its connection is closed.
const LINGER: Duration = Duration::from_secs(1);

/// The connections of one side, and how long one may stand idle.
pub struct Lines {
    lines: RefCell<Vec<Weak<Line>>>,
    /// Of clients: how long the head of a call may take to come.
    head_within: Duration,
    idle: Duration,
    /// Of connections to engines: the longest answer.
    answer: Option<usize>,
}

impl Lines {
    pub fn of_clients(head_within: Duration, idle: Duration) -> Lines {
        Lines { lines: RefCell::default(), head_within, idle, answer: None }
    }

    pub fn of_engines(answer: usize, idle: Duration) -> Lines {
        Lines { lines: RefCell::default(), head_within: idle, idle, answer: Some(answer) }
    }

    pub fn link(&self, stream: TcpStream) -> Link {
        // Without it an answer of several segments waits for acknowledgements.
        let _ = stream.set_nodelay(true);
        let line = Rc::new(Line {
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
            early: Cell::new(false),
            ended: Cell::new(false),
            end: Notify::new(),
        });
        self.lines.borrow_mut().push(Rc::downgrade(&line));
        Link(line)
    }

    /// Closes what has been idle for too long; to be called now and then.
    pub fn sweep(&self) {
        for line in self.live() {
            if line.is_overdue(self.head_within, self.idle) {
                line.close();
            }
        }
        self.lines.borrow_mut().retain(|line| line.strong_count() > 0);
    }

    /// Closes one that no call is open on: one that was refused, or else the oldest that has asked nothing, if for
    /// `settled`; or else the one that has asked and rested longest, if for `rested`. False where there is none such.
    pub fn close_least_used(&self, settled: Duration, rested: Duration) -> bool {
        let idle = self.live().into_iter().filter_map(|line| Some((line.idle_for()?, line)));
        let rank = |line: &Line| (line.condemned.get(), line.calls.get() == 0);
        let old =
            idle.filter(|(idle, line)| *idle >= if rank(line) == (false, false) { rested } else { settled });
        match old.max_by_key(|(idle, line)| (rank(line), *idle)) {
            Some((_, line)) => line.close(),
            None => return false,
        }
        true
    }

    pub fn close_all(&self) {
        self.live().iter().for_each(|line| line.close());
    }

    pub fn count(&self) -> usize {
        self.live().len()
    }

    fn live(&self) -> Vec<Rc<Line>> {
        let lines = self.lines.borrow();
        lines.iter().filter_map(Weak::upgrade).filter(|line| line.stream.borrow().is_some()).collect()
    }
}

impl AsyncRead for Link {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let line = &self.0;
        let bounded = line.idle.get().is_none() || line.condemned.get();
        let held_back = bounded && line.allowed.get() == 0;
        let mut stream = line.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            // An answer that we cut ourselves is no whole one either.
            let cut = || Err(io::ErrorKind::ConnectionAborted.into());
            return Poll::Ready(line.exchange.as_ref().map_or(Ok(()), |_| cut()));
        };
        if let Some(exchange) = &line.exchange {
            let read = line.read_answer(&mut exchange.borrow_mut(), stream, cx, buf);
            match &read {
                Poll::Pending => *line.readers.borrow_mut() = Some(cx.waker().clone()),
                Poll::Ready(_) => line.hear(),
            }
            return read;
        }
        let before = buf.filled().len();
        let read = if held_back { Poll::Pending } else { Pin::new(stream).poll_read(cx, buf) };
        match &read {
            Poll::Pending => *line.readers.borrow_mut() = Some(cx.waker().clone()),
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                line.allowed.set(line.allowed.get().saturating_sub(buf.filled().len() - before));
                line.comes(&buf.filled()[before..]);
            }
            Poll::Ready(_) => {
                line.ended.set(true);
                line.end.notify_one();
            }
        }
        read
    }
}

impl AsyncWrite for Link {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let line = &self.0;
        line.hear();
        let mut stream = line.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        if line.early.get() {
            return Poll::Ready(Ok(buf.len()));
        }
        line.check_free(stream)?;
        let mut written = Pin::new(&mut *stream).poll_write(cx, buf);
        // An engine that answers and closes resets what still comes: its answer waits here all the same.
        if matches!(written, Poll::Ready(Err(_)))
            && line.exchange.is_some()
            && line.sent.get()
            && has_answer(stream)
        {
            line.early.set(true);
            line.exchange.iter().for_each(|exchange| exchange.borrow_mut().spoil());
            written = Poll::Ready(Ok(buf.len()));
        }
        line.sent.set(line.sent.get() || matches!(written, Poll::Ready(Ok(1..))));
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
        let line = self.0.clone();
        if line.exchange.is_some() {
            return match line.stream.borrow_mut().as_mut() {
                Some(stream) => Pin::new(stream).poll_shutdown(cx),
                None => Poll::Ready(Ok(())),
            };
        }
        if !line.shut.replace(true) {
            if let Some(stream) = line.stream.borrow_mut().as_mut() {
                std::task::ready!(Pin::new(stream).poll_shutdown(cx))?;
            }
            if !line.condemned.replace(true) {
                line.allowed.set(AFTER_REFUSAL);
            }
            line.idle.set(Some(Instant::now()));
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

impl ActixStream for Link {
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
mod tests {
    use super::*;
    use tokio::io::AsyncReadExt as _;
    use tokio::net::TcpListener;

    const LONG: Duration = Duration::from_secs(60);

    /// The other end of a new link, and the link.
    async fn pair(lines: &Lines) -> (TcpStream, Link) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let there = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        (there, lines.link(listener.accept().await.unwrap().0))
    }

    #[actix_rt::test]
    async fn what_is_idle_is_closed_and_its_reader_woken_and_what_is_open_is_not() {
        let lines = Lines::of_clients(Duration::ZERO, Duration::ZERO);
        let (mut there, mut idle) = pair(&lines).await;
        let (_busy_there, busy) = pair(&lines).await;
        busy.0.open(10);
        let reader = actix_rt::spawn(async move { idle.read(&mut [0; 8]).await });
        tokio::task::yield_now().await;
        lines.sweep();
        assert_eq!(reader.await.unwrap().unwrap(), 0);
        assert_eq!(there.read(&mut [0; 8]).await.unwrap(), 0);
        assert_eq!(lines.count(), 1);
        assert!(!lines.close_least_used(Duration::ZERO, Duration::ZERO));
        busy.0.rest();
        lines.sweep();
        assert_eq!(lines.count(), 0);
    }

    #[actix_rt::test]
    async fn no_more_is_read_ahead_than_allowed_while_a_call_is_open() {
        let lines = Lines::of_clients(LONG, LONG);
        let (there, mut link) = pair(&lines).await;
        link.0.open(4);
        there.writable().await.unwrap();
        assert_eq!(there.try_write(b"12345678").unwrap(), 8);
        let line = link.0.clone();
        let reader = actix_rt::spawn(async move {
            let mut bytes = [0; 4];
            link.read_exact(&mut bytes).await.unwrap();
            link.read_exact(&mut bytes).await.unwrap();
            bytes
        });
        while line.allowed.get() > 0 {
            tokio::task::yield_now().await;
        }
        tokio::task::yield_now().await;
        assert!(!reader.is_finished());
        line.rest();
        assert_eq!(&reader.await.unwrap(), b"5678");
    }

    /// A call must not go out on a connection that has ended or holds what no call asked for; nothing of it is written then.
    #[actix_rt::test]
    async fn a_call_goes_out_on_a_quiet_connection_only() {
        use tokio::io::AsyncWriteExt as _;
        let lines = Lines::of_engines(100, LONG);
        let (mut there, mut quiet) = pair(&lines).await;
        quiet.write_all(b"call").await.unwrap();
        let mut bytes = [0; 4];
        there.read_exact(&mut bytes).await.unwrap();
        assert!(&bytes == b"call" && quiet.0.sent() && !quiet.0.is_free());
        quiet.0.close();
        assert!(quiet.read(&mut bytes).await.is_err());
        for ended in [true, false] {
            let (mut there, mut link) = pair(&lines).await;
            there.write_all(b"HTTP/1.1 200 X\r\n").await.unwrap();
            if ended {
                drop(there);
            }
            while is_quiet(link.0.stream.borrow().as_ref().unwrap()) {
                tokio::task::yield_now().await;
            }
            assert!(link.write_all(b"call").await.is_err() && !link.0.sent() && !link.0.is_free());
        }
    }
}
