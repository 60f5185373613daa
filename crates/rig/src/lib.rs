//! Fleets under fire. `agreed` plays what a fleet agrees on, at any size; `simulated` plays the machines of a fleet in virtual time, thousands of them, with a network that loses,
//! doubles, delays and cuts; `world` starts the program itself, with a `relay` on each way between processes; `campaign` plays plans against them; `soak` runs a few dozen
//! processes of the program under random faults that overlap and judges what they leave; `scale` measures fleets at the operators' size; `plan` says what breaks when, by a seed, and makes a plan that fails smaller.

pub mod agreement;
pub mod allocations;
pub mod campaign;
pub mod plan;
pub mod relay;
pub mod scale;
pub mod simulated;
pub mod soak;
pub mod world;
