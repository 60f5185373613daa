//! The query gateway: sockets, timers and files around the scheduler in `bramblewharf`. To embed it, read a configuration
//! with `config`, then call `Gateway::start` and `Gateway::shut_down`.

pub mod cli;
mod closes;
pub mod config;
mod connection;
mod engines;
mod exchange;
mod fleet;
mod front;
mod hearing;
mod intake;
pub mod invariants;
pub mod names;
pub mod operators;
mod peers;
pub mod policy;
pub mod policy_cli;
mod record_file;
pub mod reducer;
mod runtime;
mod sessions;
mod standstill;
pub mod tables;
mod trace;
mod unsettled;
mod upload;
mod view;

pub use fleet::{boottime_now, MAX_BYTES_PER_SECOND};
pub use peers::LONGEST as MAX_PEER_DATAGRAM_BYTES;
pub use runtime::{Gateway, Ports, Ticks};
