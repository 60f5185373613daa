//! What gateways say to one another of engines, as bytes: a version, the zone of whoever speaks, then words of a few bytes each.

use crate::Mark;
use std::time::Duration;

/// The most that one message may have.
pub const LONGEST: usize = 256;
/// Of this form. A message of another says nothing to this build.
const VERSION: u8 = 0xb1;
/// An age is told in sixteenths of a second, up to 255.
const STEPS: f64 = 16.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// An execution of ours ended well there, though others say that it is ill.
    Well { engine: Mark, age: Duration },
    /// An execution of ours failed there, or it was silent.
    Ill { engine: Mark, age: Duration },
    /// So many loads of a table group are there that are ours.
    Holds { engine: Mark, group: u64, loads: u8 },
}

/// All that one message says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Said {
    /// Of the speaker's zone: words that are all of one zone may be of what cut that zone off.
    pub zone: u8,
    pub words: Vec<Word>,
}

impl Word {
    fn write(&self, into: &mut Vec<u8>) {
        let age = |age: &Duration| (age.as_secs_f64() * STEPS).round().clamp(0.0, 255.0) as u8;
        let mut head = |tag: u8, engine: &Mark| {
            into.push(tag);
            into.extend_from_slice(&engine.0.to_le_bytes()[..3]);
        };
        match self {
            Word::Well { engine, age: old } => {
                head(1, engine);
                into.push(age(old));
            }
            Word::Ill { engine, age: old } => {
                head(2, engine);
                into.push(age(old));
            }
            Word::Holds { engine, group, loads } => {
                head(3, engine);
                into.extend_from_slice(&group.to_le_bytes());
                into.push(*loads);
            }
        }
    }

    fn read(bytes: &mut &[u8]) -> Option<Word> {
        let mut take = |many: usize| {
            let (taken, rest) = bytes.split_at_checked(many)?;
            *bytes = rest;
            Some(taken)
        };
        let head = take(4)?;
        let engine = Mark(u32::from_le_bytes([head[1], head[2], head[3], 0]));
        let age = |byte: u8| Duration::from_secs_f64(f64::from(byte) / STEPS);
        match head[0] {
            1 => Some(Word::Well { engine, age: age(take(1)?[0]) }),
            2 => Some(Word::Ill { engine, age: age(take(1)?[0]) }),
            3 => {
                let rest = take(9)?;
                let group = u64::from_le_bytes(rest[..8].try_into().ok()?);
                Some(Word::Holds { engine, group, loads: rest[8] })
            }
            _ => None,
        }
    }
}

impl Said {
    /// The first words that fit.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION, self.zone];
        for word in &self.words {
            let before = bytes.len();
            word.write(&mut bytes);
            if bytes.len() > LONGEST {
                bytes.truncate(before);
                break;
            }
        }
        bytes
    }

    /// None where it is too long, of another version, or has any word that can't be read: what is half understood is not
    /// believed by halves.
    pub fn read(bytes: &[u8]) -> Option<Said> {
        let (head, mut rest) = bytes.split_at_checked(2).filter(|_| bytes.len() <= LONGEST)?;
        let mut said = Said { zone: head[1], words: Vec::new() };
        if head[0] != VERSION || rest.is_empty() {
            return None;
        }
        while !rest.is_empty() {
            said.words.push(Word::read(&mut rest)?);
        }
        Some(said)
    }
}

#[cfg(test)]
mod tests;
