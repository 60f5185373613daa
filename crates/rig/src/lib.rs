//! Fleets under fire. `simulated` plays the machines of a fleet in virtual time, thousands of them, with a network that loses,
//! doubles, delays and cuts; `plan` says what breaks when, by a seed, and makes a plan that fails smaller.

pub mod plan;
pub mod simulated;
