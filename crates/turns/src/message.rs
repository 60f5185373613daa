//! The encoding of gossip messages between gateways: a version, the sender's zone, then observations of a few bytes each.

use crate::EngineHash;
use std::time::Duration;

/// The maximum length of a message in bytes.
pub const MAX_LEN: usize = 256;
/// The version of this encoding. Messages of another version are ignored.
const VERSION: u8 = 0xb1;
/// Ages are encoded in sixteenths of a second, up to 255 of them.
const AGE_STEPS_PER_SECOND: f64 = 16.0;

/// What a gateway has observed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// An execution succeeded there, though others report the engine as unhealthy.
    Healthy { engine: EngineHash, age: Duration },
    /// An execution failed there, or the engine was silent.
    Unhealthy { engine: EngineHash, age: Duration },
    /// The sender has so many loads of a table group running there.
    Loads { engine: EngineHash, group: u64, loads: u8 },
}

/// One gossip message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// The sender's zone: observations that all come from one zone may only reflect its partition.
    pub zone: u8,
    pub observations: Vec<Observation>,
}

impl Observation {
    fn encode(&self, into: &mut Vec<u8>) {
        let steps =
            |age: &Duration| (age.as_secs_f64() * AGE_STEPS_PER_SECOND).round().clamp(0.0, 255.0) as u8;
        let mut head = |tag: u8, engine: &EngineHash| {
            into.push(tag);
            into.extend_from_slice(&engine.0.to_le_bytes()[..3]);
        };
        match self {
            Observation::Healthy { engine, age: elapsed } => {
                head(1, engine);
                into.push(steps(elapsed));
            }
            Observation::Unhealthy { engine, age: elapsed } => {
                head(2, engine);
                into.push(steps(elapsed));
            }
            Observation::Loads { engine, group, loads } => {
                head(3, engine);
                into.extend_from_slice(&group.to_le_bytes());
                into.push(*loads);
            }
        }
    }

    fn decode(bytes: &mut &[u8]) -> Option<Observation> {
        let mut take = |count: usize| {
            let (taken, rest) = bytes.split_at_checked(count)?;
            *bytes = rest;
            Some(taken)
        };
        let head = take(4)?;
        let engine = EngineHash(u32::from_le_bytes([head[1], head[2], head[3], 0]));
        let age = |steps: u8| Duration::from_secs_f64(f64::from(steps) / AGE_STEPS_PER_SECOND);
        match head[0] {
            1 => Some(Observation::Healthy { engine, age: age(take(1)?[0]) }),
            2 => Some(Observation::Unhealthy { engine, age: age(take(1)?[0]) }),
            3 => {
                let rest = take(9)?;
                let group = u64::from_le_bytes(rest[..8].try_into().ok()?);
                Some(Observation::Loads { engine, group, loads: rest[8] })
            }
            _ => None,
        }
    }
}

impl GossipMessage {
    /// Encodes as many observations as fit, in their order.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION, self.zone];
        for observation in &self.observations {
            let before = bytes.len();
            observation.encode(&mut bytes);
            if bytes.len() > MAX_LEN {
                bytes.truncate(before);
                break;
            }
        }
        bytes
    }

    /// None if the message is too long, of another version, or has any observation that can't be decoded: a message that is only
    /// understood in part is ignored as a whole.
    pub fn decode(bytes: &[u8]) -> Option<GossipMessage> {
        let (head, mut rest) = bytes.split_at_checked(2).filter(|_| bytes.len() <= MAX_LEN)?;
        let mut message = GossipMessage { zone: head[1], observations: Vec::new() };
        if head[0] != VERSION || rest.is_empty() {
            return None;
        }
        while !rest.is_empty() {
            message.observations.push(Observation::decode(&mut rest)?);
        }
        Some(message)
    }
}

#[cfg(test)]
mod tests;
