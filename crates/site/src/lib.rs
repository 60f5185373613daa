//! The settings of a site and the bytes of the messages between gateways, converted to the types of the decisions. Shared by
//! the gateway and the wire host.

pub mod message;
pub mod settings;

pub use settings::{read, Names};
