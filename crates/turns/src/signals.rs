//! What gateways tell one another of engines, and what is believed of it.
//!
//! Only what a gateway has seen itself is told, at once, to a few others drawn anew each time; nothing that was heard is told
//! on, so no word outlives its age and none comes back as another's. That an engine is well is said only where somebody said
//! that it is ill: a fleet in which all is well is silent. Of each engine the last words of a few witnesses are kept, one each.
//! One witness alone changes nothing: what has a gateway shun an engine takes two, its own evidence being one, and not all of
//! one other zone, which may be cut off.

use crate::subsets::Spot;
use crate::words::{Said, Word};
use crate::{Draw, Mark};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Witnesses of an engine that are kept, the latest: one word each.
const WITNESSES: usize = 16;
/// How long a word counts.
const COUNTS: Duration = Duration::from_secs(2);
/// An older word is no news, and one that claims to be is passed over.
const OLDEST: Duration = Duration::from_secs(10);
/// Of so many words, how many have to say that an engine is ill: one that fails now and then still does work.
const ILL_OF: (usize, usize) = (3, 4);
/// Gateways that are told each word: so many words of others reach each gateway for one of its own.
const TOLD: usize = 8;

/// Where this gateway stands.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Its number, and how many there are.
    pub draw: Draw,
    /// Its zone, as all gateways of it name it.
    pub zone: String,
    /// Whether gateways may speak to one another.
    pub may_tell: bool,
    /// A known mistake, put in on purpose to see that it is found. No settings lead here.
    pub wrong: Option<Wrong>,
}

impl Terms {
    pub fn new(draw: Draw, zone: &str, may_tell: bool) -> Terms {
        Terms { draw, zone: zone.to_string(), may_tell, wrong: None }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// What was heard is told on as seen.
    Echoes,
    /// One witness is enough.
    OneWitness,
    /// Whether an engine is ill is never forgotten.
    NeverOver,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    from: u32,
    zone: u8,
    at: Duration,
    ill: bool,
}

struct Known {
    id: Arc<str>,
    /// Who shares it: nobody else has to know.
    spot: Spot,
    /// The last end of an execution of ours, and whether it was ill.
    own: Option<(Duration, bool)>,
    others: Vec<Heard>,
}

/// What was passed over, for whoever looks on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub told: u64,
    pub heard: u64,
    /// Of engines that are not in the list, or too old.
    pub passed_over: u64,
}

pub struct Signals {
    terms: Terms,
    zone: u8,
    rng: WyRand,
    /// Engines of the list; emptied of those that the list drops.
    engines: BTreeMap<Mark, Known>,
    heard_at: Option<Duration>,
    said: Vec<(u32, Said)>,
    pub counts: Counts,
}

impl Signals {
    pub fn start(terms: Terms, seed: u64) -> Signals {
        let zone = Mark::of(&terms.zone).0 as u8;
        Signals {
            terms,
            zone,
            rng: WyRand::new_seed(seed),
            engines: BTreeMap::new(),
            heard_at: None,
            said: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// The engines that there are: of others nothing is kept.
    pub fn list<'a>(&mut self, engines: impl Iterator<Item = (&'a Arc<str>, Spot)>) {
        let mut listed: Vec<(Mark, &Arc<str>, Spot)> =
            engines.map(|(id, spot)| (Mark::of(id), id, spot)).collect();
        listed.sort_unstable_by_key(|(mark, id, _)| (*mark, *id));
        // Two of one mark can't be told apart: what is said of them is said of neither.
        let alone = listed.chunk_by(|a, b| a.0 == b.0).filter(|same| same.len() == 1).map(|same| &same[0]);
        let known = alone.map(|(mark, id, spot)| {
            let before = self.engines.remove(mark);
            let (own, others) = before.map_or((None, Vec::new()), |known| (known.own, known.others));
            (*mark, Known { id: (*id).clone(), spot: *spot, own, others })
        });
        self.engines = known.collect();
    }

    /// The engine that gateways speak of so.
    pub fn id(&self, engine: Mark) -> Option<&Arc<str>> {
        self.engines.get(&engine).map(|known| &known.id)
    }

    /// An execution of ours ended well there. Said only against who says otherwise.
    pub fn saw_well(&mut self, now: Duration, engine: Mark) {
        let Some(known) = self.engines.get_mut(&engine) else { return };
        let own = known.own.replace((now, false));
        let disputed = own.is_some_and(|(at, ill)| ill && now < at + COUNTS)
            || known.others.iter().any(|heard| heard.ill && now < heard.at + COUNTS);
        if disputed {
            self.tell(Word::Well { engine, age: Duration::ZERO });
        }
    }

    /// An execution of ours failed there, or it was silent.
    pub fn saw_ill(&mut self, now: Duration, engine: Mark) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.own = Some((now, true));
            self.tell(Word::Ill { engine, age: Duration::ZERO });
        }
    }

    /// A word to others: what is said of one engine goes out by itself, since waiting for more would make it old.
    pub fn tell(&mut self, word: Word) {
        let others = self.terms.draw.gateways.saturating_sub(1);
        if !self.terms.may_tell || others == 0 {
            return;
        }
        let said = Said { zone: self.zone, words: vec![word] };
        let (Word::Well { engine, .. } | Word::Ill { engine, .. } | Word::Holds { engine, .. }) = word;
        let (own, gateways) = (self.terms.draw.own, self.terms.draw.gateways);
        let spot = self.engines.get(&engine).map(|known| known.spot);
        let few = spot.filter(|spot| spot.sharers(gateways) < gateways);
        for at in 0..TOLD.min(others as usize) as u32 {
            // Only who shares the engine has to know; a place that is nobody's, or one's own, is drawn again.
            let sharer =
                |rng: &mut WyRand| (0..TOLD).find_map(|_| few?.any(gateways, rng).filter(|to| *to != own));
            let to = if few.is_some() {
                sharer(&mut self.rng)
            } else {
                // Few others: each; many: drawn anew, so that who is told nothing today is told tomorrow.
                let drawn = if others as usize <= TOLD { at } else { self.rng.generate_range(0..others) };
                Some(if drawn >= own { drawn + 1 } else { drawn })
            };
            if let Some(to) = to {
                self.said.push((to, said.clone()));
                self.counts.told += 1;
            }
        }
    }

    /// What is to be sent now, to whom.
    pub fn take_said(&mut self) -> Vec<(u32, Said)> {
        std::mem::take(&mut self.said)
    }

    /// What another gateway says it has seen; words of loads that hold a table group are left to whoever asks.
    pub fn heard(&mut self, now: Duration, from: u32, said: &Said) {
        for word in &said.words {
            let (engine, age, ill) = match word {
                Word::Well { engine, age } => (engine, age, false),
                Word::Ill { engine, age } => (engine, age, true),
                Word::Holds { .. } => continue,
            };
            let Some(known) =
                self.engines.get_mut(engine).filter(|_| *age < OLDEST && from != self.terms.draw.own)
            else {
                self.counts.passed_over += 1;
                continue;
            };
            let at = now.saturating_sub(*age);
            self.heard_at = Some(now);
            self.counts.heard += 1;
            let heard = Heard { from, zone: said.zone, at, ill };
            let same = known.others.iter().position(|other| other.from == from);
            let oldest = || (0..known.others.len()).min_by_key(|at| known.others[*at].at);
            match same.or_else(|| oldest().filter(|_| known.others.len() >= WITNESSES)) {
                None => known.others.push(heard),
                Some(place) if known.others[place].at <= at => known.others[place] = heard,
                Some(_) => continue,
            }
            if self.terms.wrong == Some(Wrong::Echoes) && self.said.len() < 64 {
                self.tell(*word);
            }
        }
    }

    /// Whether an engine is ill by more than what was seen here: two witnesses or more say so, oneself among them, not all of one
    /// other zone, and three of four words, those that say that it is well among them.
    pub fn is_ill(&self, now: Duration, engine: Mark) -> bool {
        // The ordinary case: nobody has said anything of late, and one's own evidence alone is not enough.
        if !self.hears(now) && self.terms.wrong.is_none() {
            return false;
        }
        let Some(known) = self.engines.get(&engine) else { return false };
        let counts = |at: Duration| now < at + COUNTS || self.terms.wrong == Some(Wrong::NeverOver);
        let lately = || known.others.iter().filter(|heard| counts(heard.at));
        let ill = || lately().filter(|heard| heard.ill);
        let own = known.own.filter(|(at, _)| counts(*at));
        let own_ill = usize::from(own.is_some_and(|(_, ill)| ill));
        let many = ill().count() + own_ill;
        let all = lately().count() + usize::from(own.is_some());
        if self.terms.wrong == Some(Wrong::OneWitness) {
            return many > 0;
        }
        let near = own_ill > 0
            || ill().any(|heard| heard.zone == self.zone)
            || ill().any(|one| ill().any(|other| other.zone != one.zone));
        many >= 2 && near && ILL_OF.1 * many >= ILL_OF.0 * all
    }

    /// Whether anybody has said anything of late: without that a gateway goes by what it sees itself.
    pub fn hears(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|at| now < at + COUNTS)
    }

    /// Whether two witnesses or more say that it is well and none says that it is not: a reason to look again soon.
    pub fn is_well(&self, now: Duration, engine: Mark) -> bool {
        let Some(known) = self.engines.get(&engine) else { return false };
        let lately = || known.others.iter().filter(|heard| now < heard.at + COUNTS);
        lately().count() >= 2 && lately().all(|heard| !heard.ill)
    }
}
