//! Stand-ins of what the gateway talks to, for its tests: scripted, on loopback, each with a record of what it got. None
//! of them decides what is right; the checkers that read their records do.

pub mod checker;
pub mod disk;
pub mod engine;
pub mod engine_pool;
pub mod http;
pub mod timed_engine;

pub use engine::{answer, BodyRead, Call, Engine, Reply, Rest};
pub use engine_pool::EnginePool;
pub use http::read_message;
pub use timed_engine::{max_concurrent, TimedEngine};

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

/// Nothing in a test takes so long unless it is broken.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An address at which nothing listens, and which nobody else gets meanwhile: connections that go out are at 127.0.0.1, and
/// other processes of these tests have hosts of their own. (A port of 127.0.0.1 was taken by somebody's outgoing
/// connection now and then, and the program that was to listen there could not start.)
pub fn unused_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 | (std::process::id() >> 16) as u8 & 0x3f, high, low);
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}
