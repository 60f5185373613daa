//! Messages between gateways: a count of loads, a table group and an engine, as text.

use bramblewharf::interface::Event;

pub fn write(loads: u32, group: u64, engine: &str) -> String {
    format!("{loads} {group} {engine}")
}

/// What another gateway told; a message that cannot be read says nothing.
pub fn read(from: u64, message: &[u8]) -> Event {
    told(from, message).unwrap_or(Event::Nothing)
}

fn told(from: u64, message: &[u8]) -> Option<Event> {
    let mut parts = std::str::from_utf8(message).ok()?.splitn(3, ' ');
    let (loads, group) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some(Event::Told { from, loads, group, engine: parts.next()?.into() })
}
