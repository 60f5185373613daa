//! A TCP connection that is closed once it has stood idle for too long, whoever holds it: guards against silent
//! machines that would hold descriptors, and against pooled connections that the other end closes first.

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
    /// What may yet be read while a request is open: a client may send ahead, but not without bound.
    allowed: Cell<usize>,
    /// Whether what is read and written makes it less idle.
    traffic_counts: bool,
    ended: Cell<bool>,
    end: Notify,
}

impl Line {
    /// A request is open on it, and so much more may be read.
    pub fn open(&self, allowed: usize) {
        self.idle.set(None);
        self.allowed.set(allowed);
    }

    pub fn rest(&self) {
        self.idle.set(Some(Instant::now()));
        self.wake();
    }

    /// Returns once the other end sends no more.
    pub async fn ended(&self) {
        while !self.ended.get() {
            self.end.notified().await;
        }
    }

    fn hear(&self) {
        if self.traffic_counts {
            self.idle.set(Some(Instant::now()));
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.readers.borrow_mut().take() {
            waker.wake();
        }
    }

    fn close(&self) {
        let stream = self.stream.borrow_mut().take();
        drop(stream);
        self.wake();
    }
}

pub struct Link(pub Rc<Line>);

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Link")
    }
}

/// The connections of one side, and how long one may stand idle.
pub struct Lines {
    lines: RefCell<Vec<Weak<Line>>>,
    idle: Duration,
    traffic_counts: bool,
}

impl Lines {
    pub fn new(idle: Duration, traffic_counts: bool) -> Lines {
        Lines { lines: RefCell::default(), idle, traffic_counts }
    }

    pub fn link(&self, stream: TcpStream) -> Link {
        // Without it an answer of several segments waits for acknowledgements.
        let _ = stream.set_nodelay(true);
        let line = Rc::new(Line {
            stream: RefCell::new(Some(stream)),
            readers: RefCell::default(),
            idle: Cell::new(Some(Instant::now())),
            allowed: Cell::new(0),
            traffic_counts: self.traffic_counts,
            ended: Cell::new(false),
            end: Notify::new(),
        });
        self.lines.borrow_mut().push(Rc::downgrade(&line));
        Link(line)
    }

    /// Closes what has been idle for too long; to be called now and then.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut lines = std::mem::take(&mut *self.lines.borrow_mut());
        lines.retain(|line| {
            let Some(line) = line.upgrade() else { return false };
            let stale = line.idle.get().is_some_and(|since| now - since > self.idle);
            if stale {
                line.close();
            }
            !stale
        });
        self.lines.borrow_mut().append(&mut lines);
    }
}

impl AsyncRead for Link {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let line = &self.0;
        let held_back = line.idle.get().is_none() && line.allowed.get() == 0;
        let mut stream = line.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else { return Poll::Ready(Ok(())) };
        let before = buf.filled().len();
        let read = if held_back { Poll::Pending } else { Pin::new(stream).poll_read(cx, buf) };
        match &read {
            Poll::Pending => *line.readers.borrow_mut() = Some(cx.waker().clone()),
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                line.allowed.set(line.allowed.get().saturating_sub(buf.filled().len() - before));
                line.hear();
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
        self.0.hear();
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_write(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_flush(cx),
            None => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_shutdown(cx),
            None => Poll::Ready(Ok(())),
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
