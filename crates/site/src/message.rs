//! Decodes messages between gateways.

use bramblewharf::interface::{Event, GossipMessage};

/// Parses a message of another gateway; one that cannot be parsed becomes `Event::Unreadable`.
pub fn read(from: u32, bytes: &[u8]) -> Event {
    GossipMessage::decode(bytes).map_or(Event::Unreadable, |message| Event::PeerMessage { from, message })
}
