//! The store of record: a load that was answered as completed is found there afterwards, once, whatever failed on the way.
//! `ledger` decides, without I/O; `store` says what a store must do in one transaction each, and `sqlite` does it.

pub mod breaker;
pub mod ledger;
pub mod sqlite;
pub mod store;

pub use ledger::{Answer, Class, Effect, Input, Ledger, Ran, Reply};
pub use store::{Digest, Revision, Store};
