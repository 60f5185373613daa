//! Whoever keeps the leave keeps the policy too: it learns what is in force from the seats, gives leave to decide by it, and takes
//! a proposal through its phases.
//!
//! Each step is written to a majority of the seats before anybody acts by it; whoever keeps next finds it there and goes on from
//! it. A step is taken only once no leave for the phase before the one in force can be alive: every place has said that it is
//! past it, or its leave has ended by the patient clock, longer by how clocks may differ.

use crate::register::{Entry, PhaseOf, Stamp};
use crate::revision::Digest;
use crate::say::{Ask, Leave, Say, Stands};
use crate::texts::Texts;
use crate::{Phase, Terms, Wrong};
use bramblewharf_budgets::ActiveClock;
use bramblewharf_fleet::node::To;
use bramblewharf_fleet::seat::Ballot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most revisions that lone gateways may be acting by: one more change waits until somebody is back.
const LOOSE: usize = 24;
/// Places that are named where a proposal waits for them.
const NAMED: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Agrees,
    Refuses(String),
}

#[derive(Default)]
struct Place {
    heard: Duration,
    /// The phase that it last said to decide by, in this term.
    says: Option<Phase>,
    /// What it may go on by alone, beside what is in force.
    falls_back: Vec<Digest>,
    /// Leave that may be alive, by phase, and until when by the patient clock.
    granted: BTreeMap<Phase, Duration>,
}

enum State {
    /// Seats are asked what is in force.
    Reads {
        answers: BTreeMap<u8, (bool, Option<(Stamp, Entry)>)>,
        asked: Option<Duration>,
    },
    /// It is written to a majority; what was in force before goes on meanwhile.
    Writes {
        entry: Entry,
        stamp: Stamp,
        written: BTreeSet<u8>,
        asked: Option<Duration>,
        serves: bool,
    },
    Serves,
    /// Somebody decides by a later phase than what most seats know: they have forgotten.
    Halts,
}

struct Proposal {
    digest: Digest,
    /// Until when it waits for who can't be heard, by the patient clock.
    until: Duration,
    verdicts: BTreeMap<u32, Verdict>,
}

pub struct Steward {
    /// The right that it is there by, and the term it writes under: seats that agree on who keeps forget their rounds when all of
    /// them start anew, registers don't, so that one may have to go beyond.
    right: Ballot,
    term: Ballot,
    own: u8,
    terms: Terms,
    clock: ActiveClock,
    began: Duration,
    entry: Entry,
    number: u64,
    state: State,
    places: BTreeMap<u32, Place>,
    proposal: Option<Proposal>,
    /// Until when a change that has begun waits for who was lost in the middle of it.
    both_until: Duration,
    last: Option<(Digest, Option<String>)>,
}

impl Steward {
    pub fn start(term: Ballot, own: u8, terms: Terms, now: Duration) -> Steward {
        let mut clock = ActiveClock::default();
        let _ = clock.advance(now, false);
        let terms_until = terms.until_over() * 4;
        Steward {
            right: term,
            term,
            own,
            terms,
            clock,
            began: Duration::ZERO,
            entry: Entry::default(),
            number: 0,
            state: State::Reads { answers: BTreeMap::new(), asked: None },
            places: BTreeMap::new(),
            proposal: None,
            both_until: terms_until,
            last: None,
        }
    }

    /// The right that it is there by.
    pub fn right(&self) -> Ballot {
        self.right
    }

    pub fn serves(&self) -> bool {
        matches!(self.state, State::Serves | State::Writes { serves: true, .. })
    }

    /// Texts that it needs.
    pub fn digests(&self) -> impl Iterator<Item = Digest> + '_ {
        let writes = match &self.state {
            State::Writes { entry, .. } => Some(entry),
            _ => None,
        };
        let reads = match &self.state {
            State::Reads { answers, .. } => {
                Some(answers.values().flat_map(|(_, s)| s).flat_map(|(_, e)| e.digests()))
            }
            _ => None,
        };
        let proposal = self.proposal.iter().map(|proposal| proposal.digest);
        self.entry
            .digests()
            .chain(writes.into_iter().flat_map(Entry::digests))
            .chain(proposal)
            .chain(reads.into_iter().flatten())
    }

    /// What is to be said to seats now. A clock that went back costs it everything: false.
    pub fn tick(&mut self, now: Duration, texts: &mut Texts<To>, first: Digest) -> Option<Vec<(u8, Say)>> {
        self.clock.advance(now, false).ok()?;
        let now = self.clock.now();
        let mut say = Vec::new();
        self.find_out(texts, first);
        self.weigh(texts);
        self.step(texts);
        let again = self.terms.lease() / 16;
        let due = |asked: &mut Option<Duration>| {
            let due = asked.is_none_or(|at| now >= at + again);
            if due {
                *asked = Some(now);
            }
            due
        };
        let seats = 0..self.terms.fleet.seats;
        match &mut self.state {
            State::Reads { answers, asked } => {
                if due(asked) {
                    let unheard = seats.filter(|seat| !answers.contains_key(seat));
                    say.extend(unheard.map(|seat| (seat, Say::Read(self.term))));
                }
            }
            State::Writes { entry, stamp, written, asked, .. } => {
                if due(asked) {
                    let unheard = seats.filter(|seat| !written.contains(seat));
                    say.extend(unheard.map(|seat| (seat, Say::Write(*stamp, entry.clone()))));
                }
            }
            State::Serves | State::Halts => {}
        }
        Some(say)
    }

    /// What a seat answered.
    pub fn answered(&mut self, from: u8, say: Say) {
        match (say, &mut self.state) {
            (Say::Old { later }, _) if later > self.term => {
                self.term.round = later.round.saturating_add(1);
                self.number = 0;
                self.state = State::Reads { answers: BTreeMap::new(), asked: None };
            }
            (Say::Has { term, knows, stored }, State::Reads { answers, .. }) if term == self.term => {
                answers.insert(from, (knows, stored));
            }
            (Say::Written(stamp), State::Writes { entry, stamp: own, written, .. }) if stamp == *own => {
                written.insert(from);
                if written.len() >= self.terms.fleet.majority() {
                    self.entry = std::mem::take(entry);
                    self.state = State::Serves;
                }
            }
            _ => {}
        }
    }

    /// Enough seats have said what they know: the latest of it is in force, and is written again under this term.
    fn find_out(&mut self, texts: &mut Texts<To>, first: Digest) {
        let State::Reads { answers, .. } = &self.state else { return };
        let enough = match self.terms.is_wrong(Wrong::OwnWordOnly) {
            true => answers.contains_key(&self.own),
            false => {
                let knowing = answers.values().filter(|(knows, _)| *knows).count();
                let nothing = answers.values().all(|(_, stored)| stored.is_none());
                // A fleet's very first start: nobody has anything, and all are there to say so.
                let fresh = nothing && answers.len() == usize::from(self.terms.fleet.seats);
                knowing >= self.terms.fleet.majority() || fresh
            }
        };
        if !enough {
            return;
        }
        let latest = answers.iter().filter_map(|(seat, (_, stored))| Some((*seat, stored.as_ref()?)));
        let latest =
            latest.max_by_key(|(_, (stamp, _))| *stamp).map(|(seat, (_, entry))| (seat, entry.clone()));
        let (from, entry) = match latest {
            Some((seat, entry)) => (To::Seat(seat), entry),
            None => (To::Seat(self.own), Entry { now: first, ..Entry::default() }),
        };
        let missing: Vec<Digest> = entry.digests().filter(|digest| !texts.want(*digest, from)).collect();
        if missing.is_empty() {
            self.write(entry, false);
        }
    }

    fn write(&mut self, entry: Entry, serves: bool) {
        let stamp = Stamp { term: self.term, number: self.number };
        self.number += 1;
        self.state = State::Writes { entry, stamp, written: BTreeSet::new(), asked: None, serves };
    }

    /// A gateway asks for leave to decide.
    pub fn ask(&mut self, place: u32, ask: &Ask) -> Option<Say> {
        if place >= self.terms.fleet.places {
            return None;
        }
        if !self.serves() {
            return Some(Say::NotNow { number: ask.number, keeper: Some(self.own) });
        }
        let phase = self.entry.phase.0;
        // One that decides by something later than is in force here, or written now: the seats have lost it.
        let writing = match &self.state {
            State::Writes { entry, .. } => entry.phase.0,
            _ => phase,
        };
        if ask.phase.is_some_and(|says| says > writing) {
            self.state = State::Halts;
            return Some(Say::NotNow { number: ask.number, keeper: Some(self.own) });
        }
        let now = self.clock.now();
        let until = now + self.terms.until_over();
        let entry = self.places.entry(place).or_default();
        entry.heard = now;
        entry.says = ask.phase;
        entry.falls_back = ask.falls_back.clone();
        if let Some(says) = ask.phase {
            entry.granted.retain(|phase, _| *phase >= says);
        }
        entry.granted.insert(phase, until);
        let check = self.proposal.as_ref().map(|proposal| proposal.digest);
        if let (Some(proposal), Some((digest, why))) = (&mut self.proposal, &ask.verdict) {
            if proposal.digest == *digest {
                let verdict = why.clone().map_or(Verdict::Agrees, Verdict::Refuses);
                proposal.verdicts.insert(place, verdict);
            }
        }
        let Entry { now, next, .. } = self.entry;
        Some(Say::Leave(Leave { number: ask.number, phase, now, next, check }))
    }

    /// Whether leave for a phase before that may be alive.
    fn is_alive_before(&self, phase: Phase) -> bool {
        if self.terms.is_wrong(Wrong::GivesAtOnce) {
            return false;
        }
        let now = self.clock.now();
        // What a keeper before this one gave is known of a place once it has said what it decides by.
        let unknown = now < self.began + self.terms.until_over() && {
            let past = self.places.values().filter(|place| place.says.is_some_and(|says| says >= phase));
            (past.count() as u64) < u64::from(self.terms.fleet.places)
        };
        let granted = |place: &Place| place.granted.iter().any(|(of, until)| *of < phase && now < *until);
        unknown || self.places.values().any(granted)
    }

    /// Whoever proposes: said at once where it can't be, else it is weighed.
    pub fn offer(&mut self, digest: Digest, wait: Duration) {
        let written = match &self.state {
            State::Writes { entry, .. } => Some(entry),
            _ => None,
        };
        let known =
            [&self.entry].into_iter().chain(written).any(|e| e.now == digest || e.next == Some(digest));
        // Offered again while it is under way: nothing new.
        if known || self.proposal.as_ref().is_some_and(|own| own.digest == digest) {
            return;
        }
        let both = self.entry.phase.0.is_both();
        let busy = self.proposal.is_some() || both || !matches!(self.state, State::Serves);
        if busy {
            self.last = Some((digest, Some("another change is under way".into())));
            return;
        }
        let until = self.clock.now() + wait;
        self.proposal = Some(Proposal { digest, until, verdicts: BTreeMap::new() });
    }

    pub fn withdraw(&mut self, digest: Digest) {
        if self.proposal.as_ref().is_some_and(|proposal| proposal.digest == digest) {
            self.end_proposal(Some("withdrawn by whoever proposed it".into()));
        }
    }

    fn end_proposal(&mut self, why: Option<String>) {
        if let Some(proposal) = self.proposal.take() {
            self.last = Some((proposal.digest, why));
        }
    }

    /// Places that a proposal waits for: in, and without a word; or not in, where that matters.
    fn waits_for(&self, proposal: &Proposal, loners: bool) -> Vec<u32> {
        let now = self.clock.now();
        let waits = |place: &u32| {
            if proposal.verdicts.contains_key(place) {
                return false;
            }
            match self.places.get(place).filter(|known| now < known.heard + self.terms.lease()) {
                Some(_) => !self.terms.is_wrong(Wrong::SilenceAgrees),
                None => loners,
            }
        };
        (0..self.terms.fleet.places).filter(waits).take(NAMED).collect()
    }

    /// Revisions that a gateway may be acting by alone: those of places that are not in, and what the register says.
    fn loose(&self) -> Vec<Digest> {
        let mut loose = self.entry.loose.clone();
        loose.push(self.entry.now);
        loose.extend(self.places.values().flat_map(|place| &place.falls_back));
        loose.sort_unstable();
        loose.dedup();
        loose
    }

    /// Takes a proposal on to its first step, or withdraws it.
    fn weigh(&mut self, texts: &mut Texts<To>) {
        let Some(proposal) = self.proposal.as_ref().filter(|_| matches!(self.state, State::Serves)) else {
            return;
        };
        let (now, digest) = (self.clock.now(), proposal.digest);
        let late = now >= proposal.until;
        let Some(text) = texts.get(&digest) else {
            if late {
                self.end_proposal(Some("its text did not come".into()));
            }
            return;
        };
        let refusal = proposal.verdicts.iter().find_map(|(place, verdict)| match verdict {
            Verdict::Refuses(why) => Some(format!("place {place}: {why}")),
            Verdict::Agrees => None,
        });
        let own = match &text.rules {
            Err(why) => Some(why.clone()),
            Ok(_)
                if texts
                    .get(&self.entry.now)
                    .is_none_or(|now| text.revision.number != now.revision.number + 1) =>
            {
                Some("is not the next number".into())
            }
            Ok(_) if text.revision.before != self.entry.now => {
                Some("does not follow what is in force".into())
            }
            Ok(_) => None,
        };
        if let Some(why) = own.or(refusal) {
            return self.end_proposal(Some(why));
        }
        let loose = self.loose();
        let forbidden = loose.iter().try_for_each(|earlier| self.covers(texts, &digest, earlier));
        let waits_for = self.waits_for(proposal, forbidden.is_err());
        // One that was heard a moment ago must be past the phase before, and all that are in must have been asked.
        let settled = now >= self.began + self.terms.lease() && !self.is_alive_before(self.entry.phase.0);
        if waits_for.is_empty() && settled && loose.len() <= LOOSE {
            let both = self.entry.phase.0.next();
            let mut entry = Entry { next: Some(digest), phase: PhaseOf(both), ..self.entry.clone() };
            if self.terms.is_wrong(Wrong::SkipsBoth) {
                entry = Entry { phase: PhaseOf(both.next()), now: digest, next: None, loose };
            }
            self.both_until = now + self.terms.until_over() * 4;
            self.end_proposal(None);
            return self.write(entry, true);
        }
        if late {
            let why = match forbidden {
                Err(why) => format!("places {waits_for:?} were not heard: {why}"),
                Ok(()) if loose.len() > LOOSE => "too many changes while places are away".into(),
                Ok(()) => format!("places {waits_for:?} said nothing of it"),
            };
            self.end_proposal(Some(why));
        }
    }

    /// Whether a revision permits all that a gateway may do alone by an earlier one.
    fn covers(&self, texts: &Texts<To>, later: &Digest, earlier: &Digest) -> Result<(), String> {
        if self.terms.is_wrong(Wrong::LonersUncounted) {
            return Ok(());
        }
        match (texts.rules(later), texts.rules(earlier)) {
            (Some(later), Some(earlier)) => later.covers_alone(&earlier),
            _ => Err("an earlier revision's text is missing".into()),
        }
    }

    /// Places that may yet do alone what the later one forbids: they were not told of it, or have not kept it.
    fn left_behind(&self, texts: &Texts<To>, next: Digest) -> Vec<u32> {
        let unheard = self.entry.loose.iter().chain([&self.entry.now]);
        let unheard = unheard.map(|earlier| self.covers(texts, &next, earlier)).all(|covers| covers.is_ok());
        let behind = |place: &u32| match self.places.get(place) {
            // By two at once: what either forbids it does not do.
            Some(known) if !known.falls_back.is_empty() => {
                !known.falls_back.iter().any(|earlier| self.covers(texts, &next, earlier).is_ok())
            }
            _ => !unheard,
        };
        (0..self.terms.fleet.places).filter(behind).take(NAMED).collect()
    }

    /// From both to the later one alone, once nobody can decide by the earlier one alone.
    fn step(&mut self, texts: &Texts<To>) {
        if !matches!(self.state, State::Serves) {
            return;
        }
        let phase = self.entry.phase.0;
        if let Some(next) = self.entry.next.filter(|_| phase.is_both() && !self.is_alive_before(phase)) {
            let behind = self.left_behind(texts, next);
            if !behind.is_empty() {
                // Back to the earlier one alone: nobody has decided by the later one yet.
                if self.clock.now() >= self.both_until {
                    let why = format!("places {behind:?} were lost while it was made");
                    self.last = Some((next, Some(why)));
                    let loose = self.entry.loose.clone();
                    let entry =
                        Entry { phase: PhaseOf(phase.next()), now: self.entry.now, next: None, loose };
                    self.write(entry, true);
                }
                return;
            }
            let mut loose = self.loose();
            loose.retain(|digest| *digest != next && texts.get(digest).is_some());
            let entry = Entry { phase: PhaseOf(phase.next()), now: next, next: None, loose };
            return self.write(entry, true);
        }
        // Everybody acts by what is in force: nobody is left behind.
        let all = self.places.len() as u64 == u64::from(self.terms.fleet.places);
        let here = |place: &Place| place.says == Some(phase) && place.falls_back == [self.entry.now];
        if !phase.is_both() && !self.entry.loose.is_empty() && all && self.places.values().all(here) {
            let entry = Entry { loose: Vec::new(), ..self.entry.clone() };
            self.write(entry, true);
        }
    }

    pub fn stands(&self, texts: &Texts<To>) -> Stands {
        let proposal = self.proposal.as_ref();
        Stands {
            keeper: Some(self.own),
            phase: self.entry.phase.0,
            number: texts.get(&self.entry.now).map_or(0, |text| text.revision.number),
            now: self.entry.now,
            next: self.entry.next,
            proposal: proposal.map(|proposal| proposal.digest),
            waits_for: proposal.map(|proposal| self.waits_for(proposal, true)).unwrap_or_default(),
            last: self.last.clone(),
        }
    }

    pub fn halts(&self) -> bool {
        matches!(self.state, State::Halts)
    }
}
