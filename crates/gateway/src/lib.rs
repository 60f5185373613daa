//! The query gateway: one program on real sockets around the decisions of `bramblewharf`. Others can embed it:
//! read a configuration with `config`, then `Gateway::start` and `Gateway::shut_down`.

pub mod cli;
mod closes;
pub mod config;
mod connection;
pub mod discovery;
mod engines;
mod exchange;
mod fleet;
mod front;
mod hearing;
mod intake;
pub mod invariants;
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

pub use fleet::{machine_time, MOST_A_SECOND};
pub use peers::MAX_GOSSIP_BYTES;
pub use runtime::{Gateway, Ports, Ticks};
