//! Texts of statements that are too large for the ordinary path: each is kept for further executions in memory, else in
//! a file, else not at all. `ledger` decides where, without I/O; `spool` does the files on threads beside the core; `keeper`
//! carries out what the ledger asks for, and `Body` is what an execution sends.

pub mod keeper;
pub mod ledger;
pub mod spool;

pub use keeper::{Body, Keeper, Outgoing};
pub use ledger::{Bounds, Files, Ledger, Refusal, Tier};
