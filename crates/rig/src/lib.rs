//! Test rig for fleets of gateways: simulations, fault injection into real processes, and measurements.
//!
//! `simulated` runs the state machines of a fleet in virtual time, with a network that loses, duplicates, delays and cuts.
//! `agreement` measures the cost of a fleet's agreement in virtual time. `world` starts the real program, with a `relay` on each
//! path between processes, and `campaign` runs fault plans against it. `soak` runs a few dozen processes under overlapping random
//! faults and checks their records. `scale` measures fleets of production size. `plan` generates fault plans from a seed and
//! minimizes a failing one. `allocations` counts allocations.

pub mod agreement;
pub mod allocations;
pub mod campaign;
pub mod plan;
pub mod relay;
pub mod scale;
pub mod simulated;
pub mod soak;
pub mod world;
