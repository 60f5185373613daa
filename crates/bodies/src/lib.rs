//! Bodies of statements that are too large for the ordinary path: each is kept for further executions in
//! memory, else in a file, else not at all. `accounting` decides where, without I/O; `spool` reads and writes
//! the files on I/O threads; `store` carries out what `accounting` decides, and its `Body` is what an
//! execution sends.

pub mod accounting;
pub mod spool;
pub mod store;

pub use accounting::{BodyAccounting, Bounds, FileBounds, Refusal, Tier};
pub use store::{Body, BodyStore, Outgoing};
