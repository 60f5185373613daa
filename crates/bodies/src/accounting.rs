//! Decides which tier holds each body and accounts for its bytes: `(state, input) -> effects`, without I/O or
//! clock. The pools count what is really held: bytes are reserved before they are stored and returned once
//! they are freed.

use std::collections::BTreeMap;

/// Identifies a body within this process.
pub type BodyId = u64;

/// First reservation for a body of unknown length, and the least by which it grows, in bytes.
pub const GROWTH_STEP_BYTES: u64 = 64 * 1024;
/// Bytes buffered of a body that is only passed through.
pub const PASS_THROUGH_WINDOW_BYTES: u64 = 128 * 1024;

/// Where a body is kept for further executions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In memory.
    Memory,
    /// In a spool file.
    File,
    /// Nowhere: it is passed through to one execution.
    NotKept,
}

/// Limits on bodies, per body and for all together. Sizes are in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Size of the largest body that is accepted at all.
    pub max_body: u64,
    /// Size of the largest body that is kept in memory.
    pub memory_per_body: u64,
    /// Memory for all bodies together.
    pub memory_total: u64,
    /// Limits of the file tier; without them there is no such tier.
    pub files: Option<FileBounds>,
}

/// Limits on spool files. Sizes are in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileBounds {
    /// Size of the largest body that is kept in a file.
    pub per_body: u64,
    /// Size of all files together.
    pub total: u64,
    /// Number of files.
    pub max_files: usize,
    /// The file system itself is in memory, as tmpfs is: files count against the memory pool too.
    pub in_memory_fs: bool,
}

/// Why a body is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Larger than any body that is accepted: a retry can't succeed.
    TooLarge,
    /// No free capacity at present in any tier that its workload may use.
    NoCapacity,
}

/// What happened to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The first bytes of a body are about to arrive. `length` is set where the client declared it; a
    /// `strict` body is refused where it can't be kept.
    Begin { length: Option<u64>, strict: bool },
    /// This many more bytes have arrived and are to be held.
    Received(u64),
    /// All of it has arrived.
    Complete,
    /// The bytes that arrived before `Spill` are in the file now.
    Spilled,
    /// A write to its spool file failed.
    SpoolFailed,
    /// The copy asked for by `Move` is in the file.
    Moved,
    /// The copy asked for by `Move` could not be written.
    MoveFailed,
    /// An execution starts to read it.
    ReadStarted,
    /// An execution has stopped reading it.
    ReadEnded,
    /// The data read back from the file is not the data written, or can't be read.
    ReadFailed,
    /// The body is no longer needed.
    Released,
}

/// What the caller must do with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Hold it in this tier from its first byte on.
    Accept(BodyId, Tier),
    /// Write the bytes that arrived to a file, and the rest after them.
    Spill(BodyId),
    /// Keep it no longer: buffered and further bytes go to a single execution, once.
    PassThrough(BodyId),
    /// Copy a complete body that has no reader to a file, then report `Moved` or `MoveFailed`.
    Move(BodyId),
    /// Free its bytes in memory; the file has them.
    FreeMemory(BodyId),
    /// Drop the copy in a file; memory has the bytes.
    DropFileCopy(BodyId),
    /// Do not accept the body, or no more of it.
    Refuse(BodyId, Refusal),
    /// Do not send it again: its stored bytes are corrupted.
    Corrupted(BodyId),
    /// Free everything held for it.
    Release(BodyId),
}

/// Where the bytes of a body are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// In memory.
    Memory,
    /// In memory, and being copied to a file.
    Moving,
    /// In a spool file, or on the way there.
    File,
    /// In the pass-through buffer, on the way to one execution.
    PassThrough,
    /// Refused or corrupted: nothing of it can be sent any more.
    Unusable,
}

/// An input combined with the free capacity of the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Fits,
    /// It outgrew its tier, but fits in a file.
    FitsFile,
    /// It outgrew its tier, but can be passed through.
    FitsPassThrough,
    /// It outgrew its tier and can't be passed through.
    FitsNowhere,
    SpoolFailed,
    Moved,
    MovedInUse,
    MoveFailed,
    ReadFailed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Nothing,
    Spill,
    PassThrough,
    Refuse,
    FreeMemory,
    DropFileCopy,
    ReportCorrupted,
}

/// The transitions: state, event, next state, action. A pair that is not listed changes nothing.
#[rustfmt::skip]
const TRANSITIONS: &[(BodyState, Event, BodyState, Action)] = &[
    (BodyState::Memory,      Event::Fits,            BodyState::Memory,      Action::Nothing),
    (BodyState::Memory,      Event::FitsFile,        BodyState::File,        Action::Spill),
    (BodyState::Memory,      Event::FitsPassThrough, BodyState::PassThrough, Action::PassThrough),
    (BodyState::Memory,      Event::FitsNowhere,     BodyState::Unusable,    Action::Refuse),
    (BodyState::File,        Event::Fits,            BodyState::File,        Action::Nothing),
    (BodyState::File,        Event::FitsPassThrough, BodyState::PassThrough, Action::PassThrough),
    (BodyState::File,        Event::FitsNowhere,     BodyState::Unusable,    Action::Refuse),
    (BodyState::File,        Event::SpoolFailed,     BodyState::PassThrough, Action::PassThrough),
    (BodyState::File,        Event::ReadFailed,      BodyState::Unusable,    Action::ReportCorrupted),
    (BodyState::Moving,      Event::Moved,           BodyState::File,        Action::FreeMemory),
    (BodyState::Moving,      Event::MovedInUse,      BodyState::Memory,      Action::DropFileCopy),
    (BodyState::Moving,      Event::MoveFailed,      BodyState::Memory,      Action::DropFileCopy),
    (BodyState::PassThrough, Event::Fits,            BodyState::PassThrough, Action::Nothing),
    (BodyState::PassThrough, Event::FitsNowhere,     BodyState::Unusable,    Action::Refuse),
    (BodyState::PassThrough, Event::ReadFailed,      BodyState::Unusable,    Action::ReportCorrupted),
];

#[derive(Debug)]
struct Entry {
    state: BodyState,
    strict: bool,
    /// Declared by the client; without it, the reservation grows in steps.
    length: Option<u64>,
    received: u64,
    /// Bytes reserved in the memory pool.
    in_memory: u64,
    /// Bytes reserved in the file pool.
    in_files: u64,
    readers: u32,
    complete: bool,
    /// Its copy to a file failed and is not retried.
    move_failed: bool,
}

/// What is held at present, and totals since the start, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies at present.
    pub bodies: usize,
    /// Bytes reserved in memory at present.
    pub in_memory: u64,
    /// Bytes reserved in files at present.
    pub in_files: u64,
    /// Files at present.
    pub files: usize,
    /// Bodies accepted into memory.
    pub taken_memory: u64,
    /// Bodies accepted into files.
    pub taken_file: u64,
    /// Bodies accepted to be passed through.
    pub taken_not_kept: u64,
    /// Bodies written from memory to a file as they grew.
    pub spilled: u64,
    /// Complete bodies moved from memory to a file because memory was short.
    pub moved: u64,
    /// Bodies that were kept at first, and passed through later.
    pub fell: u64,
    /// Bodies refused, at their start or later.
    pub refused: u64,
    /// Failed writes to spool files.
    pub spool_failed: u64,
    /// Failed reads from spool files.
    pub read_failed: u64,
}

/// The state of all bodies and the use of the pools.
#[derive(Debug)]
pub struct BodyAccounting {
    bounds: Bounds,
    /// Bodies that are still needed.
    bodies: BTreeMap<BodyId, Entry>,
    in_memory: u64,
    in_files: u64,
    files: usize,
    counts: Counts,
}

impl BodyAccounting {
    /// No bodies yet, under these limits.
    pub fn new(bounds: Bounds) -> BodyAccounting {
        let bodies = BTreeMap::new();
        BodyAccounting { bounds, bodies, in_memory: 0, in_files: 0, files: 0, counts: Counts::default() }
    }

    /// The present state and the totals.
    pub fn counts(&self) -> Counts {
        Counts {
            bodies: self.bodies.len(),
            in_memory: self.in_memory,
            in_files: self.in_files,
            files: self.files,
            ..self.counts
        }
    }

    /// The limits in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Applies new limits to further bytes. Bytes already held stay where they are until their bodies are
    /// released.
    pub fn set_bounds(&mut self, bounds: Bounds) -> Vec<Effect> {
        self.bounds = bounds;
        let in_memory_fs = self.bounds.files.as_ref().is_some_and(|files| files.in_memory_fs);
        let held = |entry: &Entry| entry.in_memory + if in_memory_fs { entry.in_files } else { 0 };
        self.in_memory = self.bodies.values().map(held).sum();
        let mut effects = Vec::new();
        self.relieve_memory_pressure(&mut effects);
        effects
    }

    /// Where this body is, if it is still needed.
    pub fn state(&self, id: BodyId) -> Option<BodyState> {
        self.bodies.get(&id).map(|entry| entry.state)
    }

    /// The tier that would accept a body of this length at present; changes nothing.
    pub fn check_admission(&self, length: Option<u64>, strict: bool) -> Result<Tier, Refusal> {
        if length.is_some_and(|length| length > self.bounds.max_body) {
            return Err(Refusal::TooLarge);
        }
        let needed = length.unwrap_or(GROWTH_STEP_BYTES.min(self.bounds.max_body));
        if self.memory_fits(0, needed) {
            return Ok(Tier::Memory);
        }
        if self.file_fits(0, needed, 1) {
            return Ok(Tier::File);
        }
        let can_pass_through =
            !strict && self.in_memory + PASS_THROUGH_WINDOW_BYTES.min(needed) <= self.bounds.memory_total;
        can_pass_through.then_some(Tier::NotKept).ok_or(Refusal::NoCapacity)
    }

    /// Applies an input to a body. Returns what the caller must do, also with other bodies.
    pub fn step(&mut self, id: BodyId, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Begin { length, strict } => self.begin(id, length, strict, &mut effects),
            Input::Received(bytes) => self.receive(id, bytes, &mut effects),
            Input::Complete => {
                if let Some(entry) = self.bodies.get_mut(&id) {
                    entry.complete = true;
                    // What was reserved beyond its end is returned.
                    let received = entry.received;
                    match entry.state {
                        BodyState::Memory => self.reserve(id, received, 0),
                        BodyState::File => self.reserve(id, 0, received),
                        _ => {}
                    }
                }
            }
            Input::Spilled => {
                if let Some(in_files) =
                    self.bodies.get(&id).filter(|e| e.state == BodyState::File).map(|e| e.in_files)
                {
                    self.reserve(id, 0, in_files);
                }
            }
            Input::SpoolFailed => {
                self.counts.spool_failed += 1;
                let can_pass_through = self.bodies.get(&id).is_some_and(|entry| self.may_pass_through(entry));
                self.apply(
                    id,
                    if can_pass_through { Event::SpoolFailed } else { Event::FitsNowhere },
                    &mut effects,
                );
            }
            Input::Moved => {
                let used = self.bodies.get(&id).is_some_and(|entry| entry.readers > 0);
                self.apply(id, if used { Event::MovedInUse } else { Event::Moved }, &mut effects);
            }
            Input::MoveFailed => {
                if let Some(entry) = self.bodies.get_mut(&id) {
                    entry.move_failed = true;
                }
                self.apply(id, Event::MoveFailed, &mut effects);
            }
            Input::ReadStarted => self.bodies.get_mut(&id).into_iter().for_each(|entry| entry.readers += 1),
            Input::ReadEnded => {
                let entry = self.bodies.get_mut(&id);
                entry.into_iter().for_each(|entry| entry.readers = entry.readers.saturating_sub(1));
            }
            Input::ReadFailed => {
                self.counts.read_failed += 1;
                self.apply(id, Event::ReadFailed, &mut effects);
            }
            Input::Released => {
                if self.bodies.contains_key(&id) {
                    self.reserve(id, 0, 0);
                    self.bodies.remove(&id);
                    effects.push(Effect::Release(id));
                }
            }
        }
        self.relieve_memory_pressure(&mut effects);
        effects
    }

    fn begin(&mut self, id: BodyId, length: Option<u64>, strict: bool, effects: &mut Vec<Effect>) {
        let tier = match self.check_admission(length, strict) {
            Ok(tier) => tier,
            Err(refusal) => {
                self.counts.refused += 1;
                return effects.push(Effect::Refuse(id, refusal));
            }
        };
        let needed = length.unwrap_or(GROWTH_STEP_BYTES.min(self.bounds.max_body));
        let (state, in_memory, in_files) = match tier {
            Tier::Memory => (BodyState::Memory, needed, 0),
            Tier::File => (BodyState::File, 0, needed),
            Tier::NotKept => (BodyState::PassThrough, PASS_THROUGH_WINDOW_BYTES.min(needed), 0),
        };
        let count = match tier {
            Tier::Memory => &mut self.counts.taken_memory,
            Tier::File => &mut self.counts.taken_file,
            Tier::NotKept => &mut self.counts.taken_not_kept,
        };
        *count += 1;
        #[rustfmt::skip]
        let entry = Entry {
            state, strict, length, received: 0, in_memory: 0, in_files: 0, readers: 0, complete: false,
            move_failed: false,
        };
        self.bodies.insert(id, entry);
        self.reserve(id, in_memory, in_files);
        effects.push(Effect::Accept(id, tier));
    }

    fn receive(&mut self, id: BodyId, bytes: u64, effects: &mut Vec<Effect>) {
        let Some(entry) = self.bodies.get_mut(&id) else { return };
        if entry.complete || entry.state == BodyState::Unusable {
            return;
        }
        entry.received += bytes;
        let (state, received, in_memory, in_files) =
            (entry.state, entry.received, entry.in_memory, entry.in_files);
        let length = entry.length;
        if received > length.unwrap_or(u64::MAX).min(self.bounds.max_body) {
            self.counts.refused += 1;
            // `TRANSITIONS` has no transition for this: the refusal does not depend on free capacity.
            self.reserve(id, 0, 0);
            self.bodies.get_mut(&id).into_iter().for_each(|entry| entry.state = BodyState::Unusable);
            return effects.push(Effect::Refuse(id, Refusal::TooLarge));
        }
        let held = if state == BodyState::File { in_files } else { in_memory };
        if state == BodyState::PassThrough || received <= held {
            return self.apply(id, Event::Fits, effects);
        }
        // Doubles the reservation, as buffers grow, up to the tier's limit per body.
        let wanted = received.max(held * 2).max(GROWTH_STEP_BYTES);
        let can_pass_through = self.bodies.get(&id).is_some_and(|entry| self.may_pass_through(entry));
        let event = match state {
            BodyState::Memory => {
                let wanted = wanted.min(self.bounds.memory_per_body).max(received);
                if let Some(fits) =
                    [wanted, received].into_iter().find(|wanted| self.memory_fits(in_memory, *wanted))
                {
                    self.reserve(id, fits, 0);
                    Event::Fits
                } else if self.file_fits(0, wanted, 1) {
                    // Reserves both until the file has the bytes.
                    self.reserve(id, in_memory, wanted);
                    Event::FitsFile
                } else if can_pass_through {
                    Event::FitsPassThrough
                } else {
                    Event::FitsNowhere
                }
            }
            _ => {
                let per_body = self.bounds.files.as_ref().map_or(0, |files| files.per_body);
                let wanted = wanted.min(per_body).max(received);
                match [wanted, received].into_iter().find(|wanted| self.file_fits(in_files, *wanted, 0)) {
                    Some(fits) => {
                        self.reserve(id, 0, fits);
                        Event::Fits
                    }
                    None if can_pass_through => Event::FitsPassThrough,
                    None => Event::FitsNowhere,
                }
            }
        };
        self.apply(id, event, effects);
    }

    /// Applies the transition that `TRANSITIONS` lists for this event.
    fn apply(&mut self, id: BodyId, event: Event, effects: &mut Vec<Effect>) {
        let Some(entry) = self.bodies.get_mut(&id) else { return };
        let Some(transition) =
            TRANSITIONS.iter().find(|transition| transition.0 == entry.state && transition.1 == event)
        else {
            return;
        };
        entry.state = transition.2;
        let (received, in_memory, in_files) = (entry.received, entry.in_memory, entry.in_files);
        match transition.3 {
            Action::Nothing => {}
            Action::Spill => {
                self.counts.spilled += 1;
                effects.push(Effect::Spill(id));
            }
            Action::PassThrough => {
                self.counts.fell += 1;
                // Stored bytes stay reserved until they have been sent.
                self.reserve(id, in_memory.max(PASS_THROUGH_WINDOW_BYTES), in_files);
                effects.push(Effect::PassThrough(id));
            }
            Action::Refuse => {
                self.counts.refused += 1;
                self.reserve(id, 0, 0);
                effects.push(Effect::Refuse(id, Refusal::NoCapacity));
            }
            Action::FreeMemory => {
                self.counts.moved += 1;
                self.reserve(id, 0, received);
                effects.push(Effect::FreeMemory(id));
            }
            Action::DropFileCopy => {
                self.reserve(id, in_memory, 0);
                effects.push(Effect::DropFileCopy(id));
            }
            Action::ReportCorrupted => {
                self.reserve(id, 0, 0);
                effects.push(Effect::Corrupted(id));
            }
        }
    }

    /// Sets what a body has reserved. Nothing else changes the use of the pools.
    fn reserve(&mut self, id: BodyId, in_memory: u64, in_files: u64) {
        let Some(entry) = self.bodies.get_mut(&id) else { return };
        let files_in_memory = self.bounds.files.as_ref().is_some_and(|files| files.in_memory_fs);
        let counted = |memory: u64, files: u64| memory + if files_in_memory { files } else { 0 };
        self.in_memory -= counted(entry.in_memory, entry.in_files).min(self.in_memory);
        self.in_memory += counted(in_memory, in_files);
        self.in_files = self.in_files - entry.in_files + in_files;
        self.files = self.files - usize::from(entry.in_files > 0) + usize::from(in_files > 0);
        (entry.in_memory, entry.in_files) = (in_memory, in_files);
    }

    /// Whether a body may be passed through from here on, which needs free memory for its window.
    fn may_pass_through(&self, entry: &Entry) -> bool {
        let missing = PASS_THROUGH_WINDOW_BYTES.saturating_sub(entry.in_memory);
        !entry.strict && (missing == 0 || self.in_memory + missing <= self.bounds.memory_total)
    }

    /// Whether a body that has reserved `reserved` bytes in memory may hold `wanted` instead.
    fn memory_fits(&self, reserved: u64, wanted: u64) -> bool {
        wanted <= self.bounds.memory_per_body
            && self.in_memory - reserved + wanted <= self.bounds.memory_total
    }

    /// The same for files, of which `files` are new.
    fn file_fits(&self, reserved: u64, wanted: u64, files: usize) -> bool {
        self.bounds.files.as_ref().is_some_and(|bounds| {
            wanted <= bounds.per_body
                && self.files + files <= bounds.max_files
                && self.in_files - reserved + wanted <= bounds.total
                && (!bounds.in_memory_fs || self.in_memory - reserved + wanted <= self.bounds.memory_total)
        })
    }

    /// Above three quarters of the memory pool, moves the largest bodies without readers to files, so that
    /// memory becomes free before new bodies must be refused. Files on a file system in memory would free
    /// nothing.
    fn relieve_memory_pressure(&mut self, effects: &mut Vec<Effect>) {
        let moving = self.bodies.values().filter(|entry| entry.state == BodyState::Moving);
        let moving_bytes: u64 = moving.map(|entry| entry.in_memory).sum();
        let mut excess = (self.in_memory - moving_bytes.min(self.in_memory))
            .saturating_sub(self.bounds.memory_total / 4 * 3);
        if excess == 0 || self.bounds.files.as_ref().is_none_or(|files| files.in_memory_fs) {
            return;
        }
        let idle = |entry: &Entry| {
            entry.state == BodyState::Memory && entry.complete && entry.readers == 0 && !entry.move_failed
        };
        let mut idle: Vec<(u64, BodyId)> =
            self.bodies.iter().filter(|(_, e)| idle(e)).map(|(id, entry)| (entry.in_memory, *id)).collect();
        idle.sort_unstable_by(|a, b| b.cmp(a));
        for (size, id) in idle {
            if excess == 0 {
                break;
            }
            if self.file_fits(0, size, 1) {
                self.reserve(id, size, size);
                self.bodies.get_mut(&id).into_iter().for_each(|entry| entry.state = BodyState::Moving);
                effects.push(Effect::Move(id));
                excess = excess.saturating_sub(size);
            }
        }
    }
}
