//! What a site states, read from its settings, and the bytes of the messages between gateways. Shared by
//! everything that carries the decisions: translation only.

pub mod message;
pub mod settings;

pub use settings::{read, Names};
