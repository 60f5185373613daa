//! Which engines a gateway goes to, so that all gateways together go to all engines alike.
//!
//! Sixty-four gateways make a ring. Each ring puts each engine into one of 64 cells, by a hash of its id and the ring's number alone; each
//! gateway of the ring stands at a cell of its own and has what lies in the next few, its arc. So of each whole ring just as many gateways
//! have an engine as an arc has cells, whatever their names; a gateway works out its own from its number, their number and the list, and
//! looks at nobody else's. Arcs are powers of two long, each within the next: a list that changes a little changes no arc, or doubles or
//! halves it. Which of its sharers a gateway is follows from the same cells, so that turns among sharers need no word between them.

use crate::{hash, Draw};
use nanorand::{Rng, WyRand};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;

/// Cells of a ring, and gateways that stand in it.
pub const CELLS: u32 = 64;

/// Engines that some workload may use and another may not are divided apart: none is ever left without.
pub type Stratum = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Engines a gateway goes to at the least, of all strata together: by chance the loads of so many differ by an eighth.
    pub width: usize,
    /// The least of each stratum, as far as it has so many.
    pub least: usize,
    /// Times its part of all engines that a gateway can reach at the least: some see several times the mean.
    pub several: usize,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { width: 64, least: 8, several: 8 }
    }
}

impl Terms {
    /// Cells of an arc, for a stratum of so many of all engines: all of them where that is not much more than is wanted.
    pub fn arc(&self, gateways: u32, all: usize, of: usize) -> u32 {
        let cells = |wanted: usize, of: usize| (CELLS as usize * wanted).div_ceil(of.max(1)) as u32;
        // Of a ring that is not full, some stand further apart: what lies between them is still somebody's.
        let apart = CELLS >> gateways.clamp(1, CELLS).ilog2();
        let several = cells(self.several, gateways.max(1) as usize);
        let wanted = cells(self.width, all).max(cells(self.least, of)).max(several).max(apart);
        wanted.next_power_of_two().min(CELLS)
    }
}

/// Where an engine lies in all rings, and how long the arcs are that have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    seed: u64,
    arc: u32,
}

impl Spot {
    pub fn new(id: &str, arc: u32) -> Spot {
        Spot { seed: hash(id.bytes()), arc }
    }

    fn cell(&self, ring: u32) -> u32 {
        // Another round of mixing: ids that differ in their last byte alone must not lie in one cell of all rings.
        let mut mixed = self.seed.wrapping_add(u64::from(ring).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ mixed >> 31) >> 58) as u32
    }

    /// How many cells on from a gateway's own it lies.
    fn offset(&self, gateway: u32) -> u32 {
        (self.cell(gateway / CELLS) + CELLS - position(gateway)) % CELLS
    }

    /// Gateways that have it, where arcs are so long: no more than that.
    fn sharers_of(gateways: u32, arc: u32) -> u32 {
        gateways / CELLS * arc + (gateways % CELLS).min(arc)
    }

    pub fn sharers(&self, gateways: u32) -> u32 {
        Spot::sharers_of(gateways.max(1), self.arc)
    }

    /// A gateway among those that have it; out of range, and so never with a turn, where it is none of them.
    fn draw(&self, draw: Draw) -> Draw {
        if self.arc >= CELLS {
            return draw;
        }
        let (rings, offset) = (draw.gateways.div_ceil(CELLS), self.offset(draw.own));
        let own = if offset < self.arc { draw.own / CELLS * self.arc + offset } else { rings * self.arc };
        Draw { own, gateways: rings * self.arc }
    }

    /// Any gateway of those that have it, drawn anew: none where the place drawn is nobody's.
    pub fn any(&self, gateways: u32, rng: &mut WyRand) -> Option<u32> {
        if self.arc >= CELLS {
            return Some(rng.generate_range(0..gateways.max(1)));
        }
        let drawn: u32 = rng.generate_range(0..gateways.div_ceil(CELLS).max(1) * self.arc);
        let (ring, offset) = (drawn / self.arc, drawn % self.arc);
        let at = (self.cell(ring) + CELLS - offset) % CELLS;
        Some(ring * CELLS + position(at)).filter(|gateway| *gateway < gateways)
    }
}

/// The cell at which a gateway stands: its number's last bits turned round, so that any first few of a ring stand far apart. The same
/// function leads back.
fn position(gateway: u32) -> u32 {
    (gateway % CELLS).reverse_bits() >> (32 - CELLS.ilog2())
}

/// What one gateway has of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    pub spot: Spot,
    /// Whether it lies in the gateway's own arc; beyond it nobody has a turn.
    pub own: bool,
    /// The gateway among the engine's sharers.
    pub draw: Draw,
    /// Gateways that may reach it as this one does: those of whom it is their own, and beyond that all whose arcs would have it, had they
    /// grown as far. Where each takes one over this, those that own it take no more than the whole, and those beyond no more than
    /// half of it again for each doubling.
    pub sharers: f64,
}

impl Part {
    /// Places among its owners, where not all gateways are.
    pub fn owners(&self) -> Option<u64> {
        (self.spot.arc < CELLS).then(|| u64::from(self.draw.gateways.max(1)))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    engines: usize,
    arc: u32,
    /// How often the arc has doubled, while too few of its own are of use.
    grown: u32,
    /// Looks in a row at which less would have done.
    enough: u32,
    /// Of the last look: its own, and those of use by how often the arc had to double for them.
    own: u32,
    of_use: [u32; LEVELS],
}

/// How often an arc of one cell may double, and none.
const LEVELS: usize = CELLS.ilog2() as usize + 1;

impl Share {
    fn reaches(&self) -> u32 {
        (self.arc << self.grown).min(CELLS)
    }
}

/// How many looks in a row have to show that less is enough before an arc is halved.
const SLOWLY: u32 = 20;

/// One gateway's subset: its arcs, grown at once where too few engines of them are of use, and narrowed again slowly.
pub struct Reach {
    terms: Terms,
    draw: Draw,
    strata: BTreeMap<Stratum, Share>,
    /// Those it goes to now, each with how often its arc had to double for it. Emptied and filled as the list changes.
    now: BTreeMap<Arc<str>, (Stratum, u32)>,
    /// Engines looked at since the start, for whoever measures.
    pub looked: Cell<u64>,
}

impl Reach {
    pub fn start(terms: Terms, draw: Draw) -> Reach {
        Reach { terms, draw, strata: BTreeMap::new(), now: BTreeMap::new(), looked: Cell::default() }
    }

    /// Anew, as the list or an arc has changed: each engine with its stratum, and whether it counts among those in service.
    pub fn set<'a>(&mut self, engines: impl Iterator<Item = (&'a Arc<str>, Stratum, bool)> + Clone) {
        self.strata.values_mut().for_each(|share| share.engines = 0);
        for (_, stratum, counts) in engines.clone() {
            self.strata.entry(stratum).or_default().engines += usize::from(counts);
        }
        self.strata.retain(|_, share| share.engines > 0);
        let all = self.strata.values().map(|share| share.engines).sum();
        for share in self.strata.values_mut() {
            share.arc = self.terms.arc(self.draw.gateways, all, share.engines);
            share.grown = share.grown.min((CELLS / share.arc).ilog2());
        }
        self.now.clear();
        // By stratum, what lies beyond, for whoever has too few: the nearest first.
        let mut beyond: BTreeMap<Stratum, Vec<(u32, &Arc<str>)>> = BTreeMap::new();
        let mut own: BTreeMap<Stratum, usize> = BTreeMap::new();
        for (id, stratum, counts) in engines {
            let share =
                self.strata.get(&stratum).copied().unwrap_or(Share { arc: CELLS, ..Share::default() });
            let offset = Spot::new(id, share.arc).offset(self.draw.own);
            if offset < share.arc {
                *own.entry(stratum).or_default() += usize::from(counts);
            }
            if offset < share.reaches() {
                let level = (offset / share.arc + 1).next_power_of_two().ilog2();
                self.now.insert(id.clone(), (stratum, level));
            }
            if counts && offset >= share.arc {
                beyond.entry(stratum).or_default().push((offset, id));
            }
        }
        for (stratum, mut beyond) in beyond {
            let lacks = self.terms.least.saturating_sub(own.get(&stratum).copied().unwrap_or(0));
            beyond.sort_unstable();
            for (_, id) in beyond.into_iter().take(lacks) {
                self.now.insert(id.clone(), (stratum, 0));
            }
        }
    }

    /// Whether arcs have to be set anew, as too few of its own engines are of use now: in each stratum at least half as many as are
    /// its own have to be.
    pub fn look(&mut self, of_use: impl Fn(&str) -> bool) -> bool {
        if self.strata.values().all(|share| share.arc >= CELLS) {
            return false;
        }
        self.strata.values_mut().for_each(|share| (share.own, share.of_use) = (0, [0; LEVELS]));
        for (id, (stratum, level)) in &self.now {
            self.looks();
            if let Some(share) = self.strata.get_mut(stratum).filter(|share| share.arc < CELLS) {
                share.own += u32::from(*level == 0);
                share.of_use[*level as usize] += u32::from(of_use(id));
            }
        }
        let mut changed = false;
        for share in self.strata.values_mut().filter(|share| share.arc < CELLS) {
            let wanted = share.own.div_ceil(2).max(1);
            let enough = |grown: u32| share.of_use[..=grown as usize].iter().sum::<u32>() >= wanted;
            let before = share.grown;
            if !enough(share.grown) {
                (share.grown, share.enough) = ((share.grown + 1).min((CELLS / share.arc).ilog2()), 0);
            } else if share.grown > 0 && enough(share.grown - 1) {
                share.enough += 1;
                if share.enough >= SLOWLY {
                    (share.grown, share.enough) = (share.grown - 1, 0);
                }
            } else {
                share.enough = 0;
            }
            changed |= share.grown != before;
        }
        changed
    }

    /// What this gateway has of an engine.
    pub fn part(&self, id: &str, stratum: Stratum) -> Part {
        let share = self.strata.get(&stratum).copied().unwrap_or(Share { arc: CELLS, ..Share::default() });
        let spot = Spot::new(id, share.arc);
        let offset = spot.offset(self.draw.own);
        let own = offset < share.arc;
        let arc = if own { share.arc } else { share.reaches().max((offset + 1).next_power_of_two()) };
        let sharers = f64::from(Spot::sharers_of(self.draw.gateways.max(1), arc));
        Part { spot, own, draw: spot.draw(self.draw), sharers }
    }

    /// The most gateways that share an engine.
    pub fn most_sharers(&self) -> u32 {
        let arc = self.strata.values().map(|share| share.arc).max().unwrap_or(CELLS);
        Spot::sharers_of(self.draw.gateways.max(1), arc)
    }

    fn looks(&self) {
        self.looked.set(self.looked.get() + 1);
    }

    /// How many it goes to now.
    pub fn width(&self) -> usize {
        self.now.len()
    }

    /// Those it goes to now.
    pub fn now(&self) -> impl Iterator<Item = &Arc<str>> {
        self.now.keys().inspect(|_| self.looks())
    }

    /// The same, from one past another on and round to it.
    pub fn after<'a>(&'a self, last: &'a Arc<str>) -> impl Iterator<Item = &'a Arc<str>> {
        let on = self.now.range::<Arc<str>, _>((Excluded(last), Unbounded));
        on.chain(self.now.range::<Arc<str>, _>(..=last)).map(|(id, _)| id).inspect(|_| self.looks())
    }
}
