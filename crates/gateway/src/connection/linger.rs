//! Closing a client's connection so that it can read what was written last.

use super::{LINGER_TIMEOUT, MAX_DISCARDED_BYTES};
use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How often lingering connections are read.
const LINGER_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Connections in a lingering close: shut down for writing at once, then read until the peer closes, as
/// closing with unread bytes sends a reset, which destroys an answer that is still on its way. What is read
/// is discarded. A connection is dropped once its peer has closed, after `LINGER_TIMEOUT`, or as the oldest
/// when there are more than `max_streams`.
pub struct Linger {
    streams: RefCell<VecDeque<Lingering>>,
    pub(super) max_streams: Cell<usize>,
    stream_added: Notify,
}

struct Lingering {
    stream: TcpStream,
    released_at: Instant,
    bytes_read: usize,
}

impl Lingering {
    fn is_finished(&mut self) -> bool {
        let mut bytes = [0; 4096];
        while self.released_at.elapsed() < LINGER_TIMEOUT && self.bytes_read < MAX_DISCARDED_BYTES {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return true,
                Ok(read) => self.bytes_read += read,
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        true
    }
}

impl Linger {
    pub(super) fn new(max_streams: usize) -> Rc<Linger> {
        Rc::new(Linger {
            streams: RefCell::default(),
            max_streams: Cell::new(max_streams),
            stream_added: Notify::new(),
        })
    }

    pub(super) fn add(&self, stream: TcpStream) {
        if socket2::SockRef::from(&stream).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut streams = self.streams.borrow_mut();
        if streams.len() >= self.max_streams.get() {
            streams.pop_front();
        }
        streams.push_back(Lingering { stream, released_at: Instant::now(), bytes_read: 0 });
        self.stream_added.notify_one();
    }

    /// The number of lingering connections.
    pub fn count(&self) -> usize {
        self.streams.borrow().len()
    }

    /// Reads the lingering connections for as long as it is polled.
    pub async fn run(&self) {
        loop {
            self.stream_added.notified().await;
            while self.count() > 0 {
                self.streams.borrow_mut().retain_mut(|lingering| !lingering.is_finished());
                sleep(LINGER_READ_INTERVAL).await;
            }
        }
    }
}
