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

    fn idle_for(&self) -> Option<Duration> {
        self.idle.get().map(|since| since.elapsed())
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

/// One of a pool's or a client's that is closed early for another must have been idle for so long.
const IDLE_ENOUGH: Duration = Duration::from_millis(100);

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
        for line in self.live() {
            if line.idle_for().is_some_and(|idle| idle > self.idle) {
                line.close();
            }
        }
        self.lines.borrow_mut().retain(|line| line.strong_count() > 0);
    }

    /// Closes the one that has been idle longest, if for at least `least`; false where there is none.
    pub fn close_idlest(&self, least: Duration) -> bool {
        let idle = self.live().into_iter().filter_map(|line| Some((line.idle_for()?, line)));
        match idle.max_by_key(|(idle, _)| *idle).filter(|(idle, _)| *idle >= least.max(IDLE_ENOUGH)) {
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

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncReadExt as _;
    use tokio::net::TcpListener;

    /// The other end of a new link, and the link.
    async fn pair(lines: &Lines) -> (TcpStream, Link) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let there = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        (there, lines.link(listener.accept().await.unwrap().0))
    }

    #[actix_rt::test]
    async fn what_is_idle_is_closed_and_its_reader_woken_and_what_is_open_is_not() {
        let lines = Lines::new(Duration::ZERO, false);
        let (mut there, mut idle) = pair(&lines).await;
        let (_busy_there, busy) = pair(&lines).await;
        busy.0.open(10);
        let reader = actix_rt::spawn(async move { idle.read(&mut [0; 8]).await });
        tokio::task::yield_now().await;
        lines.sweep();
        assert_eq!(reader.await.unwrap().unwrap(), 0);
        assert_eq!(there.read(&mut [0; 8]).await.unwrap(), 0);
        assert_eq!(lines.count(), 1);
        assert!(!lines.close_idlest(Duration::ZERO));
        busy.0.rest();
        lines.sweep();
        assert_eq!(lines.count(), 0);
    }

    #[actix_rt::test]
    async fn no_more_is_read_ahead_than_allowed_while_a_call_is_open() {
        let lines = Lines::new(Duration::from_secs(60), false);
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
}
