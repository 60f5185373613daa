//! Decodes messages between gateways.

use bramblewharf::interface::{Event, GossipMessage};

/// The event of a message from another gateway; `Event::Nothing` if it cannot be decoded.
pub fn read(from: u32, message: &[u8]) -> Event {
    GossipMessage::decode(message).map_or(Event::Nothing, |said| Event::Told { from, said })
}
