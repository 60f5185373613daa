//! How long the bytes that are read from a connection have waited in its socket: while this process was paused,
//! was busy, or had not accepted the connection yet.

use actix_rt::net::TcpStream;
use std::mem::{size_of, zeroed};
use std::os::fd::AsRawFd as _;
use std::time::Duration;

/// Shorter waits are not told apart from the ticks of the system's clock.
const MIN_UNREAD_TIME: Duration = Duration::from_millis(20);

/// How long ago the peer's last bytes arrived; zero if that was just now, or the system does not tell.
pub fn unread_time(stream: &TcpStream) -> Duration {
    let waited = tcp_info(stream).map_or(0, |info| info.tcpi_last_data_recv);
    Some(Duration::from_millis(waited.into())).filter(|waited| *waited >= MIN_UNREAD_TIME).unwrap_or_default()
}

/// What the system knows about a TCP connection; fields that an older system does not know are zero.
fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    // SAFETY: the structure consists of integers.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open, and `info` has room for `length` bytes.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    (result == 0).then_some(info)
}
