//! Scheduling of statements onto analytic engines. No I/O: events go in, actions come out.

pub mod call_memory;
pub mod engine_contact;
pub mod interface;
pub mod scheduler;
mod state;
