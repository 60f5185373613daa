//! Messages between gateways, as bytes.

use bramblewharf::interface::{Event, Said};

/// Parses a message of another gateway; one that cannot be parsed becomes `Event::Unreadable`.
pub fn read(from: u32, bytes: &[u8]) -> Event {
    Said::read(bytes).map_or(Event::Unreadable, |message| Event::PeerMessage { from, message })
}
