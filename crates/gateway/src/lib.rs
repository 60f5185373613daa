//! The query gateway: sockets, timers and files around the scheduler in `bramblewharf`. To embed it, read a configuration
//! with `config`, then call `Gateway::start` and `Gateway::shut_down`.

pub mod cli;
mod client_presence;
mod closes;
pub mod config;
mod connection;
pub mod discovery;
mod engines;
mod exchange;
mod fleet;
mod frontend;
mod intake;
pub mod invariants;
pub mod operators;
mod orphans;
mod peers;
pub mod policy;
pub mod policy_cli;
mod predecessor_check;
mod process_pause;
mod record_file;
pub mod reducer;
mod runtime;
mod sessions;
pub mod tables;
mod trace;
mod upload;
mod view;

pub use fleet::{boottime_now, MAX_BYTES_PER_SECOND};
pub use peers::MAX_GOSSIP_BYTES;
pub use runtime::{ClockSource, Gateway, Overrides};
