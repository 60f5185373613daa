//! The keeper: who has leave of what, how much, and until when it may be in use.
//!
//! Its book never says less than what holders have: a part grows when it is given, and shrinks only by its holder's own word or
//! once it can't be in use any more. All that ends others' rights is counted by the patient clock. The book is gone with its
//! keeper; the next one first hears out what gateways have, gives nobody more meanwhile, and waits out those it hears nothing of.

use crate::seat::Ballot;
use crate::wire::{Ask, Give, Message};
use crate::{Incarnation, Terms, Wrong};
use bramblewharf_budgets::{allocate, ActiveClock, Budget, Credits, ShareRequest};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Of a place: processes that would come in, and those before the one that is in, whose late words say nothing.
const PENDING: usize = 4;
const FORMER: usize = 8;
/// Up to so many places, parts are worked out anew for every question.
const FEW: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    In,
    /// Not heard of for longer than it should be.
    InDoubt,
    /// Its leave is over; what it had may be in use yet.
    Gone,
    /// It said that it leaves.
    Left,
}

/// A member as the keeper sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub place: u32,
    pub incarnation: Incarnation,
    pub standing: Standing,
    /// Since it was last heard of.
    pub silent: Duration,
    pub given: Vec<u64>,
    pub needs: Vec<u64>,
}

struct Entry {
    incarnation: Incarnation,
    session: u64,
    number: u64,
    /// By the patient clock, when last heard.
    heard: Duration,
    left: bool,
    given: Vec<u64>,
    needs: Vec<u64>,
}

/// What a process that is no more may have in use yet.
struct Ghost {
    place: u32,
    ends: Duration,
    given: Vec<u64>,
}

#[derive(Default)]
struct Place {
    entry: Option<Entry>,
    /// Processes that asked without a session, and the one each was given.
    pending: Vec<(Incarnation, u64)>,
    former: Vec<Incarnation>,
    /// Whether what this place has, and any process before may have, is in the book.
    known: bool,
}

/// What was passed over or wondered at, since this keeper began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub given: u64,
    pub old: u64,
    pub sessions: u64,
    pub differs: u64,
    /// Words of having more than was ever given.
    pub too_much: u64,
    pub out_of_place: u64,
}

pub struct Keeper {
    term: Ballot,
    terms: Terms,
    budgets: Vec<Budget>,
    table: u64,
    rng: WyRand,
    clock: ActiveClock,
    began: Duration,
    places: BTreeMap<u32, Place>,
    /// Emptied of each as what it had can't be in use any more.
    ghosts: Vec<Ghost>,
    /// By budget, the sum of all that entries and ghosts have: changed with each of them.
    out: Vec<u64>,
    /// When places were last looked through for what has ended.
    looked: Duration,
    /// Members that are in, in order, as parts were last worked out.
    ranks: Vec<u32>,
    /// By budget, of the places that are in: what each has missed by rounding, and what each should have.
    credits: Vec<BTreeMap<u32, i64>>,
    targets: Vec<BTreeMap<u32, u64>>,
    /// When these were worked out, and whether anything has changed since.
    worked_out: Duration,
    stale: bool,
    /// When credits last moved.
    went_round: Duration,
    pub counts: Counts,
}

impl Keeper {
    pub fn start(
        term: Ballot,
        terms: Terms,
        budgets: Vec<Budget>,
        table: u64,
        seed: u64,
        now: Duration,
    ) -> Keeper {
        let mut clock = ActiveClock::default();
        let _ = clock.advance(now, false);
        Keeper {
            term,
            terms,
            out: vec![0; budgets.len()],
            looked: Duration::ZERO,
            ranks: Vec::new(),
            credits: vec![BTreeMap::new(); budgets.len()],
            targets: vec![BTreeMap::new(); budgets.len()],
            worked_out: Duration::ZERO,
            stale: true,
            went_round: Duration::ZERO,
            budgets,
            table,
            rng: WyRand::new_seed(seed),
            clock,
            began: Duration::ZERO,
            places: BTreeMap::new(),
            ghosts: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub fn term(&self) -> Ballot {
        self.term
    }

    /// Whether what was given before this keeper may yet be in use without its knowing.
    pub fn waits_out(&self) -> bool {
        if self.terms.is_wrong(Wrong::NoWaitingOut) {
            return false;
        }
        let early = self.clock.now() < self.began + self.terms.until_free();
        let all = || {
            let places = self.places.len() as u64 >= u64::from(self.terms.places);
            places && self.places.values().all(|place| place.known)
        };
        early && !all()
    }

    /// Ends what has to end by now. A clock that went back costs the keeper its book: false.
    pub fn tick(&mut self, now: Duration) -> bool {
        if self.clock.advance(now, self.terms.is_wrong(Wrong::SleepCounts)).is_err() {
            return false;
        }
        let now = self.clock.now();
        // In a large fleet not for every word anew: what ends a little later does no harm.
        if now < self.looked + self.terms.lease / 64 {
            return true;
        }
        self.looked = now;
        let out = &mut self.out;
        self.ghosts.retain(|ghost| {
            let lasts = now < ghost.ends;
            if !lasts {
                out.iter_mut().zip(&ghost.given).for_each(|(out, given)| *out -= given);
            }
            lasts
        });
        let span = match self.terms.is_wrong(Wrong::GivesAnewAtOnce) {
            true => self.terms.lease / 2,
            false => self.terms.until_free(),
        };
        for place in self.places.values_mut() {
            // Its standing stays to be told until another process has the place.
            if let Some(entry) = place.entry.as_mut().filter(|entry| now >= entry.heard + span) {
                out.iter_mut().zip(&entry.given).for_each(|(out, given)| *out -= given);
                entry.given.iter_mut().for_each(|given| *given = 0);
                entry.needs.iter_mut().for_each(|need| *need = 0);
                self.stale = true;
            }
        }
        true
    }

    /// A question of a gateway, which may be late, doubled or of a former start. The caller has made sure that the right to
    /// give lasts.
    pub fn ask(&mut self, place: u32, from: Incarnation, number: u64, ask: Ask) -> Option<Message> {
        if place >= self.terms.places
            || ask.holds.len() != self.budgets.len()
            || ask.needs.len() != self.budgets.len()
        {
            // Another table reads as another number of budgets, too.
            if place < self.terms.places && ask.table != self.table {
                self.counts.differs += 1;
                return Some(Message::Differs { number });
            }
            self.counts.out_of_place += 1;
            return None;
        }
        if ask.table != self.table {
            self.counts.differs += 1;
            return Some(Message::Differs { number });
        }
        let seat = self.places.entry(place).or_default();
        if seat.former.contains(&from) {
            self.counts.old += 1;
            return None;
        }
        match &mut seat.entry {
            Some(entry) if entry.incarnation == from && entry.session == ask.session => {
                if number <= entry.number || entry.left {
                    self.counts.old += 1;
                    return None;
                }
                entry.number = number;
            }
            _ => match seat
                .pending
                .iter()
                .position(|(pending, session)| *pending == from && *session == ask.session)
            {
                Some(at) => {
                    seat.pending.remove(at);
                    self.come_in(place, from, number, &ask);
                }
                None => return Some(self.offer(place, from, number)),
            },
        }
        Some(self.give(place, number, &ask))
    }

    /// A session is new with each offer: only a process that is there now can have it.
    fn offer(&mut self, place: u32, from: Incarnation, number: u64) -> Message {
        self.counts.sessions += 1;
        let session = self.rng.generate::<u64>().max(1);
        let seat = self.places.entry(place).or_default();
        seat.pending.retain(|(pending, _)| *pending != from);
        if seat.pending.len() >= PENDING {
            seat.pending.remove(0);
        }
        seat.pending.push((from, session));
        Message::Session { number, session }
    }

    fn come_in(&mut self, place: u32, from: Incarnation, number: u64, ask: &Ask) {
        let now = self.clock.now();
        let Some(seat) = self.places.get_mut(&place) else { return };
        if let Some(same) = seat.entry.as_mut().filter(|entry| entry.incarnation == from) {
            // What it has stays what it was, however often it comes in.
            (same.session, same.number) = (ask.session, number.max(same.number));
            return;
        }
        if let Some(before) = seat.entry.take() {
            // One process at a time has a place, so that one is no more; what it had running at engines may go on, and what they have
            // not read may begin. The process after it says when that is over (`succeeds`).
            let ends = match self.terms.is_wrong(Wrong::FreeAtTheKill) {
                true => now,
                false => before.heard + self.terms.until_free(),
            };
            self.ghosts.push(Ghost { place, ends, given: before.given });
            seat.former.push(before.incarnation);
            if seat.former.len() > FORMER {
                seat.former.remove(0);
            }
        }
        let up = Duration::from_millis(ask.up_ms);
        seat.known |= up >= self.terms.until_free();
        let mut entry = Entry {
            incarnation: from,
            session: ask.session,
            number,
            heard: now,
            left: false,
            given: vec![0; self.budgets.len()],
            needs: ask.needs.clone(),
        };
        // Heard out: what it has of a keeper before us is in use, whether we would have given it or not.
        if self.clock.now() < self.began + self.terms.until_free() {
            let free = (0..self.budgets.len()).map(|at| self.free(at));
            entry.given = ask.holds.iter().zip(free).map(|(holds, free)| (*holds).min(free)).collect();
            self.out.iter_mut().zip(&entry.given).for_each(|(out, given)| *out += given);
        }
        self.stale = true;
        if let Some(seat) = self.places.get_mut(&place) {
            seat.entry = Some(entry);
        }
    }

    /// A process says how much of what those before it at its place had is in use yet. The answer: who they were.
    pub fn succeeds(
        &mut self,
        place: u32,
        from: Incarnation,
        number: u64,
        session: u64,
        rest: Option<Vec<u64>>,
    ) -> Option<Message> {
        let seat = self.places.get(&place)?;
        let entry = seat.entry.as_ref()?;
        if entry.incarnation != from || entry.session != session {
            self.counts.old += 1;
            return None;
        }
        let former = seat.former.clone();
        if let Some(rest) = rest.filter(|rest| rest.len() == self.budgets.len()) {
            self.shrink_ghosts(place, rest);
        }
        Some(Message::Former { number, of: from, former })
    }

    /// What processes that are no more have in use at a place is no more than that together.
    fn shrink_ghosts(&mut self, place: u32, mut rest: Vec<u64>) {
        for ghost in self.ghosts.iter_mut().filter(|ghost| ghost.place == place) {
            for (at, given) in ghost.given.iter_mut().enumerate() {
                let kept = (*given).min(rest[at]);
                rest[at] -= kept;
                self.out[at] -= *given - kept;
                *given = kept;
            }
        }
        self.ghosts.retain(|ghost| ghost.given.iter().any(|given| *given > 0));
        self.stale = true;
    }

    /// What is free of a budget's pool.
    fn free(&self, at: usize) -> u64 {
        debug_assert_eq!(
            self.out[at],
            self.totals()[at].0 + self.totals()[at].1,
            "the sum is that of its parts"
        );
        self.budgets[at].pool(self.terms.places).saturating_sub(self.out[at])
    }

    fn give(&mut self, place: u32, number: u64, ask: &Ask) -> Message {
        let (waits_out, now) = (self.waits_out(), self.clock.now());
        let wholes: Vec<u64> = self.budgets.iter().map(|budget| budget.whole).collect();
        let Some(entry) = self.places.get_mut(&place).and_then(|seat| seat.entry.as_mut()) else {
            return Message::Differs { number };
        };
        entry.heard = now;
        for (at, whole) in wholes.iter().enumerate() {
            let need = ask.needs[at].min(*whole);
            self.stale |= entry.needs[at] != need;
            entry.needs[at] = need;
            self.counts.too_much += u64::from(ask.holds[at] > entry.given[at]);
            // By its own word it may have less than was given, never more.
            let less = entry.given[at].saturating_sub(ask.holds[at]);
            entry.given[at] -= less;
            self.out[at] -= less;
        }
        self.work_out(place);
        let amounts = (0..self.budgets.len()).map(|at| {
            let free = self.free(at);
            let Some(entry) = self.places.get_mut(&place).and_then(|seat| seat.entry.as_mut()) else {
                return 0;
            };
            let target = self.targets[at].get(&place).copied().unwrap_or(0);
            let amount = if waits_out { entry.given[at] } else { target.min(free + entry.given[at]) };
            let more = amount.saturating_sub(entry.given[at]);
            entry.given[at] += more;
            self.out[at] += more;
            amount
        });
        let amounts = amounts.collect();
        self.counts.given += 1;
        let (members, rank) = self.rank(place);
        Message::Give(Give { number, amounts, members, rank })
    }

    /// What each place that is in should have, all needs considered. In a large fleet not for every question anew.
    fn work_out(&mut self, place: u32) {
        let now = self.clock.now();
        let known = self.targets.iter().all(|targets| targets.contains_key(&place));
        let soon = self.places.len() > FEW && now < self.worked_out + self.terms.lease / 64;
        // What is too little for all goes round by time, not by questions: slower than whoever has it asks.
        let goes_round = now >= self.went_round + self.terms.lease / 2;
        if known && !goes_round && (soon || !self.stale) {
            return;
        }
        if goes_round {
            self.went_round = now;
        }
        (self.worked_out, self.stale) = (now, false);
        let terms = &self.terms;
        let entries = self.places.iter().filter_map(|(place, seat)| Some((*place, seat.entry.as_ref()?)));
        let there: Vec<(u32, &Entry)> =
            entries.filter(|(_, e)| !e.left && now < e.heard + terms.lease).collect();
        self.ranks = there.iter().map(|(place, _)| *place).collect();
        for (at, budget) in self.budgets.iter().enumerate() {
            let asks = there.iter().map(|(_, e)| ShareRequest {
                need: e.needs[at],
                importance: 1,
                held: e.given[at],
            });
            let asks: Vec<ShareRequest> = asks.collect();
            let credits = &self.credits[at];
            let mut owed: Credits =
                there.iter().map(|(place, _)| credits.get(place).copied().unwrap_or(0)).collect();
            let parts = allocate(budget.pool(terms.places), budget.quantum, &asks, &mut owed);
            let places = || there.iter().map(|(place, _)| *place);
            if goes_round {
                self.credits[at] = places().zip(owed).collect();
            }
            self.targets[at] = places().zip(parts).collect();
        }
    }

    /// A gateway that leaves for good: what it does not use is free at once.
    pub fn leaving(&mut self, place: u32, from: Incarnation, number: u64, session: u64, holds: &[u64]) {
        let now = self.clock.now();
        let Some(seat) = self.places.get_mut(&place) else { return };
        let Some(entry) = seat.entry.as_mut() else { return };
        let stale = entry.incarnation != from || entry.session != session || number <= entry.number;
        if stale || holds.len() != self.budgets.len() {
            self.counts.old += 1;
            return;
        }
        entry.number = number;
        entry.left = true;
        self.stale = true;
        entry.needs.iter_mut().for_each(|need| *need = 0);
        let rest: Vec<u64> =
            entry.given.iter().zip(holds).map(|(given, holds)| (*given).min(*holds)).collect();
        let free = entry.given.iter().zip(&rest).map(|(given, rest)| given - rest);
        self.out.iter_mut().zip(free).for_each(|(out, free)| *out -= free);
        entry.given.iter_mut().for_each(|given| *given = 0);
        if rest.iter().any(|rest| *rest > 0) {
            // Of that some may not have been read yet, and began no later than what a silent gateway has.
            let ends = now + self.terms.until_free();
            self.ghosts.push(Ghost { place, ends, given: rest });
        }
    }

    /// Members that are in, and one's rank among them, as last worked out.
    fn rank(&self, place: u32) -> (u32, u32) {
        (self.ranks.len() as u32, self.ranks.partition_point(|other| *other < place) as u32)
    }

    pub fn members(&self) -> Vec<Member> {
        let now = self.clock.now();
        let standing = |entry: &Entry| match now.saturating_sub(entry.heard) {
            _ if entry.left => Standing::Left,
            silent if silent < self.terms.lease / 2 => Standing::In,
            silent if silent < self.terms.longer(self.terms.lease) => Standing::InDoubt,
            _ => Standing::Gone,
        };
        let entries = self.places.iter().filter_map(|(place, seat)| Some((place, seat.entry.as_ref()?)));
        let members = entries.map(|(place, entry)| Member {
            place: *place,
            incarnation: entry.incarnation,
            standing: standing(entry),
            silent: now.saturating_sub(entry.heard),
            given: entry.given.clone(),
            needs: entry.needs.clone(),
        });
        members.collect()
    }

    /// By budget: of the pool, what is with members, and what processes that are no more may have in use yet.
    pub fn totals(&self) -> Vec<(u64, u64)> {
        let of = |at: usize| {
            let entries = self.places.values().filter_map(|seat| seat.entry.as_ref());
            let ghosts = self.ghosts.iter().map(|ghost| ghost.given[at]).sum();
            (entries.map(|entry| entry.given[at]).sum(), ghosts)
        };
        (0..self.budgets.len()).map(of).collect()
    }

    /// Places with something in use of processes that are no more.
    pub fn ghosts(&self) -> impl Iterator<Item = u32> + '_ {
        self.ghosts.iter().map(|ghost| ghost.place)
    }
}
