//! The sockets by which the name service is asked. A path may fall silent for one socket and stay so, whatever others hear: a
//! question that was not answered is followed by one from a fresh socket, and answers are heard on all that were used of late.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::task::Poll;
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Sockets that an answer may yet come on, and how often a fresh one is made at the most: together longer than any answer is of use.
const HEARD: usize = 16;
const FRESH_EVERY: Duration = Duration::from_millis(100);

/// Sockets for one name service, the one to ask by last.
#[derive(Default)]
pub struct Sockets {
    open: VecDeque<UdpSocket>,
    made: Option<Instant>,
}

/// A socket for one name service: what others send to it never arrives.
fn dial(server: SocketAddr) -> io::Result<UdpSocket> {
    let local: IpAddr = match server {
        SocketAddr::V4(_) => IpAddr::from([0, 0, 0, 0]),
        SocketAddr::V6(_) => IpAddr::from([0; 16]),
    };
    let socket = std::net::UdpSocket::bind((local, 0))?;
    socket.connect(server)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

impl Sockets {
    /// Sends a question: by the socket that last heard an answer, or by a fresh one. Where it cannot be sent or none can be had, the
    /// next question comes in its time.
    pub async fn ask(&mut self, server: SocketAddr, question: &[u8], fresh: bool) {
        let due = self.made.is_none_or(|made| made.elapsed() >= FRESH_EVERY);
        if self.open.is_empty() || (fresh && due) {
            if let Ok(socket) = dial(server) {
                self.open.push_back(socket);
                self.made = Some(Instant::now());
                if self.open.len() > HEARD {
                    self.open.pop_front();
                }
            }
        }
        if let Some(socket) = self.open.back() {
            let _ = socket.send(question).await;
        }
    }

    /// The next datagram on any of them; that socket is asked by from then on.
    pub async fn hear(&mut self, bytes: &mut [u8]) -> usize {
        std::future::poll_fn(|cx| {
            for at in (0..self.open.len()).rev() {
                let mut read = ReadBuf::new(bytes);
                let came = self.open[at].poll_recv(cx, &mut read).map_ok(|()| read.filled().len());
                if let Poll::Ready(came) = came {
                    let socket = self.open.remove(at);
                    // One that fails, as nobody listened there, is not asked by again.
                    if let Ok(length) = came {
                        self.open.extend(socket);
                        return Poll::Ready(length);
                    }
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Nothing is heard any longer.
    pub fn close(&mut self) {
        self.open.clear();
        self.made = None;
    }
}
