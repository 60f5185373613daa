//! Which tier holds each body, and what it may still be used for: `(state, input) -> effects`, without I/O or clock. The
//! pools count what is really held: from before a byte is kept until it is let go.

use std::collections::BTreeMap;

/// A body's number, this process's own.
pub type Id = u64;

/// What a body of unknown length is given room for at first, and then by steps.
pub const STEP: u64 = 64 * 1024;
/// What is held of a body that only passes through.
pub const WINDOW: u64 = 128 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    Memory,
    File,
    NotKept,
}

/// Sizes in bytes. A statement's and that of all together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The largest text that is taken at all.
    pub largest: u64,
    pub memory_each: u64,
    pub memory_all: u64,
    pub files: Option<Files>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    pub each: u64,
    pub all: u64,
    pub count: usize,
    /// They are in memory, whatever their name: they count there too.
    pub are_memory: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Larger than any text that is taken: asking again is of no use.
    TooLarge,
    /// No room now in any tier that its workload may use.
    NoRoom,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A body begins to come. `length` where it was told; `strict`: it is kept, or not taken.
    Head {
        length: Option<u64>,
        strict: bool,
    },
    /// So many more bytes of it are here and want to be held.
    Part(u64),
    /// All of it is here.
    Whole,
    /// What had come of it before it went into a file is there now.
    Spilled,
    /// What was to go into its file could not be written.
    SpoolFailed,
    /// Its bytes are in a file too; the ones in memory are wanted by nobody, or could not be written.
    Moved,
    MoveFailed,
    /// An execution begins to read it, or has ended that.
    ReadBegan,
    ReadEnded,
    /// What was read back is not what was written.
    ReadFailed,
    /// Nothing of it is wanted any longer.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is held in this tier from its first byte on.
    Keep(Id, Tier),
    /// What has come of it goes from memory into a file, and so does the rest.
    Spill(Id),
    /// It is no longer kept: what is here and what comes goes to one execution, once.
    Pass(Id),
    /// A whole body that nobody reads is copied into a file; `Moved` or `MoveFailed` comes back.
    Move(Id),
    /// Its bytes in memory are let go; the file has them.
    LetGo(Id),
    /// The copy in a file is dropped; memory has them.
    DropCopy(Id),
    Refuse(Id, Refusal),
    /// It can't be sent again: what is kept of it is spoilt.
    Spoilt(Id),
    /// Everything of it is let go.
    Drop(Id),
}

/// Where a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    Memory,
    /// In memory, and being copied into a file.
    Moving,
    File,
    Passing,
    /// Was kept, and its bytes can't be had back.
    Spoilt,
}

/// An input as it stands with the room there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Fits,
    /// No longer in its tier, but in a file, or just in passing.
    FitsFile,
    FitsPassing,
    FitsNowhere,
    SpoolFailed,
    Moved,
    MovedInUse,
    MoveFailed,
    ReadFailed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Rest,
    Spill,
    Pass,
    Refuse,
    LetGo,
    DropCopy,
    Spoilt,
}

/// The whole of it: state, event, next state, effect. A pair that is not listed changes nothing.
#[rustfmt::skip]
const TABLE: &[(At, Event, At, Step)] = &[
    (At::Memory,  Event::Fits,        At::Memory,  Step::Rest),
    (At::Memory,  Event::FitsFile,    At::File,    Step::Spill),
    (At::Memory,  Event::FitsPassing, At::Passing, Step::Pass),
    (At::Memory,  Event::FitsNowhere, At::Spoilt,  Step::Refuse),
    (At::File,    Event::Fits,        At::File,    Step::Rest),
    (At::File,    Event::FitsPassing, At::Passing, Step::Pass),
    (At::File,    Event::FitsNowhere, At::Spoilt,  Step::Refuse),
    (At::File,    Event::SpoolFailed, At::Passing, Step::Pass),
    (At::File,    Event::ReadFailed,  At::Spoilt,  Step::Spoilt),
    (At::Moving,  Event::Moved,       At::File,    Step::LetGo),
    (At::Moving,  Event::MovedInUse,  At::Memory,  Step::DropCopy),
    (At::Moving,  Event::MoveFailed,  At::Memory,  Step::DropCopy),
    (At::Passing, Event::Fits,        At::Passing, Step::Rest),
    (At::Passing, Event::FitsNowhere, At::Spoilt,  Step::Refuse),
    (At::Passing, Event::ReadFailed,  At::Spoilt,  Step::Spoilt),
];

#[derive(Debug)]
struct Entry {
    at: At,
    strict: bool,
    /// Told at the head; without it, it grows by steps.
    length: Option<u64>,
    got: u64,
    /// Counted in the pools.
    in_memory: u64,
    in_files: u64,
    readers: u32,
    whole: bool,
    /// Its move failed: it is not tried again.
    stays: bool,
}

/// What is held now, and what has been since the start, for whoever is on call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub bodies: usize,
    pub in_memory: u64,
    pub in_files: u64,
    pub files: usize,
    pub taken_memory: u64,
    pub taken_file: u64,
    pub taken_not_kept: u64,
    /// From memory to a file as they grew, or because memory became short.
    pub spilled: u64,
    pub moved: u64,
    /// Kept at first, and then no longer.
    pub fell: u64,
    pub refused: u64,
    pub spool_failed: u64,
    pub read_failed: u64,
}

#[derive(Debug)]
pub struct Ledger {
    bounds: Bounds,
    /// Emptied of a body when it is over.
    bodies: BTreeMap<Id, Entry>,
    in_memory: u64,
    in_files: u64,
    files: usize,
    counts: Counts,
}

impl Ledger {
    pub fn new(bounds: Bounds) -> Ledger {
        let bodies = BTreeMap::new();
        Ledger { bounds, bodies, in_memory: 0, in_files: 0, files: 0, counts: Counts::default() }
    }

    pub fn counts(&self) -> Counts {
        Counts {
            bodies: self.bodies.len(),
            in_memory: self.in_memory,
            in_files: self.in_files,
            files: self.files,
            ..self.counts
        }
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// New bounds hold for what comes; what is held already stays where it is, and empties as bodies are over.
    pub fn set_bounds(&mut self, bounds: Bounds) -> Vec<Effect> {
        self.bounds = bounds;
        let are_memory = self.bounds.files.as_ref().is_some_and(|files| files.are_memory);
        let held = |entry: &Entry| entry.in_memory + if are_memory { entry.in_files } else { 0 };
        self.in_memory = self.bodies.values().map(held).sum();
        let mut effects = Vec::new();
        self.relieve(&mut effects);
        effects
    }

    pub fn at(&self, id: Id) -> Option<At> {
        self.bodies.get(&id).map(|entry| entry.at)
    }

    /// Whether a body with this head would be taken now; changes nothing.
    pub fn would_take(&self, length: Option<u64>, strict: bool) -> Result<Tier, Refusal> {
        if length.is_some_and(|length| length > self.bounds.largest) {
            return Err(Refusal::TooLarge);
        }
        let need = length.unwrap_or(STEP.min(self.bounds.largest));
        if self.memory_fits(0, need) {
            return Ok(Tier::Memory);
        }
        if self.file_fits(0, need, 1) {
            return Ok(Tier::File);
        }
        let passes = !strict && self.in_memory + WINDOW.min(need) <= self.bounds.memory_all;
        passes.then_some(Tier::NotKept).ok_or(Refusal::NoRoom)
    }

    pub fn step(&mut self, id: Id, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Head { length, strict } => self.head(id, length, strict, &mut effects),
            Input::Part(more) => self.part(id, more, &mut effects),
            Input::Whole => {
                if let Some(entry) = self.bodies.get_mut(&id) {
                    entry.whole = true;
                    // What was given beyond its end goes back.
                    let got = entry.got;
                    match entry.at {
                        At::Memory => self.hold(id, got, 0),
                        At::File => self.hold(id, 0, got),
                        _ => {}
                    }
                }
            }
            Input::Spilled => {
                if let Some(in_files) = self.bodies.get(&id).filter(|e| e.at == At::File).map(|e| e.in_files)
                {
                    self.hold(id, 0, in_files);
                }
            }
            Input::SpoolFailed => {
                self.counts.spool_failed += 1;
                let passes = self.bodies.get(&id).is_some_and(|entry| self.may_pass(entry));
                self.apply(id, if passes { Event::SpoolFailed } else { Event::FitsNowhere }, &mut effects);
            }
            Input::Moved => {
                let used = self.bodies.get(&id).is_some_and(|entry| entry.readers > 0);
                self.apply(id, if used { Event::MovedInUse } else { Event::Moved }, &mut effects);
            }
            Input::MoveFailed => {
                if let Some(entry) = self.bodies.get_mut(&id) {
                    entry.stays = true;
                }
                self.apply(id, Event::MoveFailed, &mut effects);
            }
            Input::ReadBegan => self.bodies.get_mut(&id).into_iter().for_each(|entry| entry.readers += 1),
            Input::ReadEnded => {
                let entry = self.bodies.get_mut(&id);
                entry.into_iter().for_each(|entry| entry.readers = entry.readers.saturating_sub(1));
            }
            Input::ReadFailed => {
                self.counts.read_failed += 1;
                self.apply(id, Event::ReadFailed, &mut effects);
            }
            Input::Over => {
                if self.bodies.contains_key(&id) {
                    self.hold(id, 0, 0);
                    self.bodies.remove(&id);
                    effects.push(Effect::Drop(id));
                }
            }
        }
        self.relieve(&mut effects);
        effects
    }

    fn head(&mut self, id: Id, length: Option<u64>, strict: bool, effects: &mut Vec<Effect>) {
        let tier = match self.would_take(length, strict) {
            Ok(tier) => tier,
            Err(refusal) => {
                self.counts.refused += 1;
                return effects.push(Effect::Refuse(id, refusal));
            }
        };
        let need = length.unwrap_or(STEP.min(self.bounds.largest));
        let (at, in_memory, in_files) = match tier {
            Tier::Memory => (At::Memory, need, 0),
            Tier::File => (At::File, 0, need),
            Tier::NotKept => (At::Passing, WINDOW.min(need), 0),
        };
        let count = match tier {
            Tier::Memory => &mut self.counts.taken_memory,
            Tier::File => &mut self.counts.taken_file,
            Tier::NotKept => &mut self.counts.taken_not_kept,
        };
        *count += 1;
        #[rustfmt::skip]
        let entry = Entry {
            at, strict, length, got: 0, in_memory: 0, in_files: 0, readers: 0, whole: false, stays: false,
        };
        self.bodies.insert(id, entry);
        self.hold(id, in_memory, in_files);
        effects.push(Effect::Keep(id, tier));
    }

    fn part(&mut self, id: Id, more: u64, effects: &mut Vec<Effect>) {
        let Some(entry) = self.bodies.get_mut(&id) else { return };
        if entry.whole || entry.at == At::Spoilt {
            return;
        }
        entry.got += more;
        let (at, got, in_memory, in_files) = (entry.at, entry.got, entry.in_memory, entry.in_files);
        let length = entry.length;
        if got > length.unwrap_or(u64::MAX).min(self.bounds.largest) {
            self.counts.refused += 1;
            // The table has no row for what is too large whatever room there is.
            self.hold(id, 0, 0);
            self.bodies.get_mut(&id).into_iter().for_each(|entry| entry.at = At::Spoilt);
            return effects.push(Effect::Refuse(id, Refusal::TooLarge));
        }
        let held = if at == At::File { in_files } else { in_memory };
        if at == At::Passing || got <= held {
            return self.apply(id, Event::Fits, effects);
        }
        // By doubling, as buffers grow, and never beyond what a tier may hold of one.
        let want = got.max(held * 2).max(STEP);
        let passes = self.bodies.get(&id).is_some_and(|entry| self.may_pass(entry));
        let event = match at {
            At::Memory => {
                let want = want.min(self.bounds.memory_each).max(got);
                if let Some(fits) = [want, got].into_iter().find(|want| self.memory_fits(in_memory, *want)) {
                    self.hold(id, fits, 0);
                    Event::Fits
                } else if self.file_fits(0, want, 1) {
                    // Both, until it is there.
                    self.hold(id, in_memory, want);
                    Event::FitsFile
                } else if passes {
                    Event::FitsPassing
                } else {
                    Event::FitsNowhere
                }
            }
            _ => {
                let each = self.bounds.files.as_ref().map_or(0, |files| files.each);
                let want = want.min(each).max(got);
                match [want, got].into_iter().find(|want| self.file_fits(in_files, *want, 0)) {
                    Some(fits) => {
                        self.hold(id, 0, fits);
                        Event::Fits
                    }
                    None if passes => Event::FitsPassing,
                    None => Event::FitsNowhere,
                }
            }
        };
        self.apply(id, event, effects);
    }

    /// The loop that reads `TABLE`.
    fn apply(&mut self, id: Id, event: Event, effects: &mut Vec<Effect>) {
        let Some(entry) = self.bodies.get_mut(&id) else { return };
        let Some(row) = TABLE.iter().find(|row| row.0 == entry.at && row.1 == event) else { return };
        entry.at = row.2;
        let (got, in_memory, in_files) = (entry.got, entry.in_memory, entry.in_files);
        match row.3 {
            Step::Rest => {}
            Step::Spill => {
                self.counts.spilled += 1;
                effects.push(Effect::Spill(id));
            }
            Step::Pass => {
                self.counts.fell += 1;
                // What was kept of it is held until it has gone out.
                self.hold(id, in_memory.max(WINDOW), in_files);
                effects.push(Effect::Pass(id));
            }
            Step::Refuse => {
                self.counts.refused += 1;
                self.hold(id, 0, 0);
                effects.push(Effect::Refuse(id, Refusal::NoRoom));
            }
            Step::LetGo => {
                self.counts.moved += 1;
                self.hold(id, 0, got);
                effects.push(Effect::LetGo(id));
            }
            Step::DropCopy => {
                self.hold(id, in_memory, 0);
                effects.push(Effect::DropCopy(id));
            }
            Step::Spoilt => {
                self.hold(id, 0, 0);
                effects.push(Effect::Spoilt(id));
            }
        }
    }

    /// The only place that changes what the pools count.
    fn hold(&mut self, id: Id, in_memory: u64, in_files: u64) {
        let Some(entry) = self.bodies.get_mut(&id) else { return };
        let files_are_memory = self.bounds.files.as_ref().is_some_and(|files| files.are_memory);
        let counted = |memory: u64, files: u64| memory + if files_are_memory { files } else { 0 };
        self.in_memory -= counted(entry.in_memory, entry.in_files).min(self.in_memory);
        self.in_memory += counted(in_memory, in_files);
        self.in_files = self.in_files - entry.in_files + in_files;
        self.files = self.files - usize::from(entry.in_files > 0) + usize::from(in_files > 0);
        (entry.in_memory, entry.in_files) = (in_memory, in_files);
    }

    /// Whether it may go on without being kept: its window must have room.
    fn may_pass(&self, entry: &Entry) -> bool {
        let needs = WINDOW.saturating_sub(entry.in_memory);
        !entry.strict && (needs == 0 || self.in_memory + needs <= self.bounds.memory_all)
    }

    /// Whether one that holds `has` there may hold `want`.
    fn memory_fits(&self, has: u64, want: u64) -> bool {
        want <= self.bounds.memory_each && self.in_memory - has + want <= self.bounds.memory_all
    }

    fn file_fits(&self, has: u64, want: u64, files: usize) -> bool {
        self.bounds.files.as_ref().is_some_and(|bounds| {
            want <= bounds.each
                && self.files + files <= bounds.count
                && self.in_files - has + want <= bounds.all
                && (!bounds.are_memory || self.in_memory - has + want <= self.bounds.memory_all)
        })
    }

    /// Above three quarters of the pool the largest that nobody reads go into files, before anything is turned away. Files
    /// that are memory relieve nothing.
    fn relieve(&mut self, effects: &mut Vec<Effect>) {
        let moving = self.bodies.values().filter(|entry| entry.at == At::Moving);
        let leaving: u64 = moving.map(|entry| entry.in_memory).sum();
        let mut over =
            (self.in_memory - leaving.min(self.in_memory)).saturating_sub(self.bounds.memory_all / 4 * 3);
        if over == 0 || self.bounds.files.as_ref().is_none_or(|files| files.are_memory) {
            return;
        }
        let idle =
            |entry: &Entry| entry.at == At::Memory && entry.whole && entry.readers == 0 && !entry.stays;
        let mut idle: Vec<(u64, Id)> =
            self.bodies.iter().filter(|(_, e)| idle(e)).map(|(id, entry)| (entry.in_memory, *id)).collect();
        idle.sort_unstable_by(|a, b| b.cmp(a));
        for (size, id) in idle {
            if over == 0 {
                break;
            }
            if self.file_fits(0, size, 1) {
                self.hold(id, size, size);
                self.bodies.get_mut(&id).into_iter().for_each(|entry| entry.at = At::Moving);
                effects.push(Effect::Move(id));
                over = over.saturating_sub(size);
            }
        }
    }
}
