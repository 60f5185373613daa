//! The UDP sockets for queries to the name service. A network path may go silent for one socket and stay so
//! while others work: an unanswered query is followed by one from a new socket, and answers are received on
//! all recently used sockets.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::task::Poll;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// How many sockets stay open for late answers, and how often a new one is opened at most. Together they
/// cover more time than any answer is useful for.
const MAX_OPEN: usize = 16;
const REOPEN_INTERVAL: Duration = Duration::from_millis(100);

/// The sockets for one name service; the last one sends the next query.
#[derive(Default)]
pub struct QuerySockets {
    open: VecDeque<UdpSocket>,
    last_opened: Option<Instant>,
}

/// Opens a socket connected to the name service, so that datagrams of other senders never arrive.
fn open_socket(server: SocketAddr) -> io::Result<UdpSocket> {
    let local: IpAddr = match server {
        SocketAddr::V4(_) => IpAddr::from([0, 0, 0, 0]),
        SocketAddr::V6(_) => IpAddr::from([0; 16]),
    };
    let socket = std::net::UdpSocket::bind((local, 0))?;
    socket.connect(server)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl QuerySockets {
    /// Sends a query from the socket that last received an answer, or from a new one. Where that fails, the
    /// next query follows after the ordinary interval.
    pub async fn send(&mut self, server: SocketAddr, query: &[u8], fresh: bool) {
        let due = self.last_opened.is_none_or(|opened| opened.elapsed() >= REOPEN_INTERVAL);
        if self.open.is_empty() || (fresh && due) {
            if let Ok(socket) = open_socket(server) {
                self.open.push_back(socket);
                self.last_opened = Some(Instant::now());
                if self.open.len() > MAX_OPEN {
                    self.open.pop_front();
                }
            }
        }
        if let Some(socket) = self.open.back() {
            let _ = socket.send(query).await;
        }
    }

    /// Receives the next datagram on any socket; that socket sends the next query.
    pub async fn receive(&mut self, bytes: &mut [u8]) -> usize {
        std::future::poll_fn(|cx| {
            for at in (0..self.open.len()).rev() {
                let mut read = ReadBuf::new(bytes);
                let result = self.open[at].poll_recv(cx, &mut read).map_ok(|()| read.filled().len());
                if let Poll::Ready(result) = result {
                    let socket = self.open.remove(at);
                    // Drop a failed socket, as when nobody listens at the other end.
                    if let Ok(length) = result {
                        self.open.extend(socket);
                        return Poll::Ready(length);
                    }
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Closes all sockets.
    pub fn close(&mut self) {
        self.open.clear();
        self.last_opened = None;
    }
}
