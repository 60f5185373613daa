//! Store of record: a load that was answered as completed has exactly one revision in the store, whatever
//! failed on the way. `operations` decides what to write and answer, without I/O; `store` defines the
//! transactions of a store, and `sqlite` implements them. `breaker` rejects statements while the store is not
//! available.

pub mod breaker;
pub mod operations;
pub mod sqlite;
pub mod store;

pub use operations::{Answer, Effect, ExecutionOutcome, Input, Operations, RepeatClass, Reply};
pub use store::{Digest, Revision, Store};
