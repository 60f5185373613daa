//! Budgets shared by a whole fleet. `divide` computes each gateway's share, `usage` counts what a gateway has in use of its
//! share and computes its need. Neither does I/O or reads a clock, and neither decides on a statement: the module does, which
//! is given the headroom.

pub mod divide;
pub mod scope;
pub mod time;
pub mod usage;

pub use divide::{allocate, Credits, ShareRequest};
pub use scope::{Budget, Demand, Measure, Scope};
pub use time::{ActiveClock, MAX_GAP};
pub use usage::{AdmissionCheck, Headroom, Usage};

/// Milliunits in one unit. Amounts of budgets are integers, so that rounding never makes shares exceed the total.
pub const UNIT: u64 = 1000;

/// An amount in milliunits, rounded up, so that usage is never counted too low.
pub fn milliunits(amount: f64) -> u64 {
    (amount.max(0.0) * UNIT as f64).ceil().min(u64::MAX as f64 / 4.0) as u64
}
