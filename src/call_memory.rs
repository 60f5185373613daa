//! Memory of calls: how much of a call that is arriving may be taken in at a time, how much memory the calls of
//! all connections may hold together, with the texts and results of statements, and which call gives way when
//! that is used up. No I/O: the connections report what they hold and carry out the effects.
//!
//! What an ordinary call holds is part of the memory of its connection and is not counted here. Anything
//! beyond has to be granted before its bytes are taken in. Without a grant they stay unread; where calls have
//! been arriving for long, the one with the most memory over time is rejected in favour of those that wait.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of the connection on which a call arrives.
pub type ConnectionNumber = u64;

/// Bytes of a body with a declared length that are taken in at a time.
pub const DECLARED_STEP_BYTES: usize = 4 * 1024;
/// Bytes of a chunked body that are taken in at a time. Each chunk, of a byte or more, is an entry of its own
/// until it is copied.
pub const CHUNKED_STEP_BYTES: usize = 1024;
/// Bytes of a head that are taken in at a time.
pub const HEAD_STEP_BYTES: usize = 4 * 1024;
/// Bytes that are read ahead behind a call that has arrived.
pub const READ_AHEAD_BYTES: usize = 4 * 1024;
/// Bytes of text, of a head and lines that a call of any client may have without a grant.
pub const ORDINARY_TEXT_BYTES: usize = 4 * 1024;
pub const ORDINARY_HEAD_BYTES: usize = 4 * 1024;
pub const ORDINARY_LINES: usize = 24;
/// Bytes of an answer that any client may get without a grant, and of a result that a statement may have.
pub const ORDINARY_ANSWER_BYTES: usize = 8 * 1024;
/// Memory for each byte of an answer: the answer, and a copy in a buffer that doubles.
const ANSWER_MEMORY_FACTOR: u64 = 3;
/// Memory of a field of a head: its entry in a map of twice the size, and its name.
const LINE_MEMORY_BYTES: u64 = 600;
/// Memory of a chunk in a queue that doubles.
const CHUNK_MEMORY_BYTES: u64 = 64;
/// Memory for each byte of a head, which is kept in a buffer that doubles.
const HEAD_MEMORY_FACTOR: u64 = 2;
/// How long an answer waits for memory before an error is sent in its place.
pub const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// A call that has been arriving for less than this time does not give way. Ordinary calls have arrived by
/// then.
const UNDISTURBED: Duration = Duration::from_millis(200);

/// What a connection holds of the call that is arriving on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arriving {
    /// Bytes of the longest head so far; their buffer is kept until the connection ends.
    pub head_bytes: usize,
    /// Lines of the head.
    pub head_lines: usize,
    /// Lines among the bytes of a chunked body that were taken in last, as they may be heads of further calls.
    pub body_lines: usize,
    /// The most of these so far: the queue of chunks does not shrink.
    pub peak_body_lines: usize,
    /// Capacity of the buffer for the text.
    pub text_bytes: usize,
    /// Bytes of the longest answer so far; their buffer is kept until the connection ends.
    pub answer_bytes: usize,
}

impl Arriving {
    /// The memory beyond that of an ordinary call, in bytes.
    pub fn extra_memory(&self) -> u64 {
        let head = self.head_bytes.saturating_sub(ORDINARY_HEAD_BYTES) as u64 * HEAD_MEMORY_FACTOR;
        let lines = (self.head_lines + self.body_lines).saturating_sub(ORDINARY_LINES) as u64;
        let queue = self.peak_body_lines.saturating_sub(ORDINARY_LINES) as u64 * CHUNK_MEMORY_BYTES;
        let text = self.text_bytes.saturating_sub(ORDINARY_TEXT_BYTES) as u64;
        let answer = self.answer_bytes.saturating_sub(ORDINARY_ANSWER_BYTES) as u64 * ANSWER_MEMORY_FACTOR;
        head + lines * LINE_MEMORY_BYTES + queue + text + answer
    }
}

/// What the connections have to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The memory that this connection asked for is granted: it goes on.
    Resume(ConnectionNumber),
    /// The call on this connection is rejected, and its memory released.
    Reject(ConnectionNumber),
}

#[derive(Debug)]
struct Holder {
    granted: u64,
    wanted: u64,
    /// When it first held more than an ordinary call, later by the time that it has waited for a grant.
    since: Duration,
    /// Since when it waits for a grant.
    waits_since: Option<Duration>,
    /// The call is complete: it is answered whatever happens.
    is_complete: bool,
    is_rejected: bool,
}

impl Holder {
    /// How long it has held its memory without waiting for more.
    fn own_time(&self, now: Duration) -> Duration {
        self.waits_since.unwrap_or(now).saturating_sub(self.since)
    }

    fn end_wait(&mut self, now: Duration) {
        if let Some(began) = self.waits_since.take() {
            self.since += now.saturating_sub(began);
        }
    }
}

/// The memory of all calls that are arriving.
#[derive(Debug)]
pub struct CallMemory {
    capacity: u64,
    granted: u64,
    holders: BTreeMap<ConnectionNumber, Holder>,
    /// Connections that wait for a grant, in the order in which they asked.
    waiting: VecDeque<ConnectionNumber>,
    rejected: u64,
}

impl CallMemory {
    /// `capacity`: bytes for all calls together.
    pub fn new(capacity: u64) -> CallMemory {
        CallMemory { capacity, granted: 0, holders: BTreeMap::new(), waiting: VecDeque::new(), rejected: 0 }
    }

    /// Bytes granted at present.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Connections that wait for a grant.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls rejected since the start.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The call on this connection is about to hold this many bytes. True if they are granted; otherwise the
    /// connection takes in nothing more until it is resumed.
    pub fn hold(&mut self, now: Duration, connection: ConnectionNumber, bytes: u64) -> bool {
        let holder = self.holders.entry(connection).or_insert(Holder {
            granted: 0,
            wanted: 0,
            since: now,
            waits_since: None,
            is_complete: false,
            is_rejected: false,
        });
        holder.wanted = bytes;
        let fits = bytes <= holder.granted || self.granted - holder.granted + bytes <= self.capacity;
        let is_first = self.waiting.iter().all(|waiting| *waiting == connection);
        if fits && (is_first || bytes <= holder.granted) {
            self.granted = self.granted - holder.granted + bytes;
            holder.granted = bytes;
            holder.end_wait(now);
            self.waiting.retain(|waiting| *waiting != connection);
            return true;
        }
        holder.waits_since.get_or_insert(now);
        if !self.waiting.contains(&connection) {
            self.waiting.push_back(connection);
        }
        false
    }

    /// This much of what the connection holds now belongs to a statement, until it is given back.
    pub fn detach(&mut self, connection: ConnectionNumber, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&connection) {
            holder.granted -= bytes.min(holder.granted);
            holder.wanted = holder.granted;
            if holder.granted == 0 {
                self.holders.remove(&connection);
            }
        }
    }

    /// Gives back what was detached.
    pub fn give_back(&mut self, bytes: u64) {
        self.granted -= bytes.min(self.granted);
    }

    /// Whether the call on this connection is complete. Only one that is still arriving is rejected.
    pub fn set_complete(&mut self, connection: ConnectionNumber, is_complete: bool) {
        if let Some(holder) = self.holders.get_mut(&connection) {
            holder.is_complete = is_complete;
        }
    }

    /// The call on this connection is over, or its answer still being written. What the connection still holds
    /// may be taken back as if a call had begun now.
    pub fn mark_idle(&mut self, now: Duration, connection: ConnectionNumber) {
        if let Some(holder) = self.holders.get_mut(&connection) {
            (holder.is_complete, holder.is_rejected, holder.since) = (false, false, now);
        }
    }

    /// The call on this connection holds no more than this many bytes any longer, and waits for no more.
    pub fn release(&mut self, connection: ConnectionNumber, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&connection) else { return };
        let kept = bytes.min(holder.granted);
        self.granted -= holder.granted - kept;
        (holder.granted, holder.wanted, holder.waits_since) = (kept, kept, None);
        self.waiting.retain(|waiting| *waiting != connection);
        if kept == 0 {
            self.holders.remove(&connection);
        }
    }

    /// Grants what has become free, and rejects calls where others still wait. To be called after a change,
    /// and periodically while connections wait.
    pub fn review(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut first_missing = None;
        for connection in std::mem::take(&mut self.waiting) {
            let Some(holder) = self.holders.get_mut(&connection) else { continue };
            let needed = self.granted - holder.granted + holder.wanted;
            if needed <= self.capacity {
                self.granted = needed;
                holder.granted = holder.wanted;
                holder.end_wait(now);
                effects.push(Effect::Resume(connection));
            } else {
                first_missing.get_or_insert(needed - self.capacity);
                self.waiting.push_back(connection);
            }
        }
        if let Some(missing) = first_missing {
            self.reject_for(now, missing, &mut effects);
        }
        effects
    }

    /// Rejects calls until the memory that they will release covers `missing`.
    fn reject_for(&mut self, now: Duration, missing: u64, effects: &mut Vec<Effect>) {
        let rejected = self.holders.values().filter(|holder| holder.is_rejected);
        let mut coming: u64 = rejected.map(|holder| holder.granted).sum();
        while coming < missing {
            let may_be_rejected = |holder: &Holder| {
                !holder.is_rejected
                    && !holder.is_complete
                    && holder.granted > 0
                    && now.saturating_sub(holder.since) >= UNDISTURBED
            };
            let candidates = self.holders.iter_mut().filter(|(_, holder)| may_be_rejected(holder));
            let most = candidates.max_by_key(|(_, holder)| {
                // Those that do not go on by themselves come before those that only wait for memory.
                let own_time = holder.own_time(now);
                (own_time >= UNDISTURBED, u128::from(holder.granted) * own_time.as_micros())
            });
            let Some((connection, holder)) = most else { return };
            holder.is_rejected = true;
            coming += holder.granted;
            self.rejected += 1;
            effects.push(Effect::Reject(*connection));
        }
    }
}
