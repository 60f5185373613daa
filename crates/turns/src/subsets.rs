//! Subsets of engines for the gateways, such that all gateways together use all engines evenly.
//!
//! Sixty-four gateways make a ring. Each ring puts each engine into one of 64 cells, by a hash of its id and the ring's number
//! alone; each gateway of the ring has a cell of its own and gets the engines of the next few cells, its arc. So in each full
//! ring as many gateways have an engine as an arc has cells, whatever the ids; a gateway computes its subset from its number,
//! the number of gateways and the list, without knowing any other subset. Arcs are powers of two long, each within the next
//! larger one: a small change of the list changes no arc, or doubles or halves it. The index of a gateway among an engine's
//! sharers follows from the same cells, so that rotations among sharers need no messages.

use crate::{hash, Participant};
use nanorand::{Rng, WyRand};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;

/// Cells of a ring, and gateways in it.
pub const CELLS: u32 = 64;

/// Engines of different strata may be used by different workloads. They are divided separately, so that no workload is left
/// without engines.
pub type Stratum = u64;

/// The sizes of subsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The fewest engines of a gateway over all strata: with so many, the load per engine varies by about an eighth.
    pub min_engines: usize,
    /// The fewest engines of each stratum, as far as it has so many.
    pub min_per_stratum: usize,
    /// A gateway can use at least this multiple of its even share of all engines: the load of some is several times the mean.
    pub share_multiple: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config { min_engines: 64, min_per_stratum: 8, share_multiple: 8 }
    }
}

impl Config {
    /// Cells of an arc, for a stratum with `of` of `all` engines: all cells if not much fewer are wanted.
    pub fn arc(&self, gateways: u32, all: usize, of: usize) -> u32 {
        let cells = |wanted: usize, of: usize| (CELLS as usize * wanted).div_ceil(of.max(1)) as u32;
        // In a ring that is not full, some gateways are further apart: their arcs have to cover the gaps.
        let gap = CELLS >> gateways.clamp(1, CELLS).ilog2();
        let share = cells(self.share_multiple, gateways.max(1) as usize);
        let wanted = cells(self.min_engines, all).max(cells(self.min_per_stratum, of)).max(share).max(gap);
        wanted.next_power_of_two().min(CELLS)
    }
}

/// The cells of an engine in all rings, with the length of the arcs that determine its sharers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    seed: u64,
    arc: u32,
}

impl RingPosition {
    /// The position of an engine, for arcs of this length.
    pub fn new(id: &str, arc: u32) -> RingPosition {
        RingPosition { seed: hash(id.bytes()), arc }
    }

    fn cell(&self, ring: u32) -> u32 {
        // Another round of mixing: ids that differ only in their last byte must not share a cell in all rings.
        let mut mixed = self.seed.wrapping_add(u64::from(ring).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ mixed >> 31) >> 58) as u32
    }

    /// The distance in cells from the gateway's own cell.
    fn offset(&self, gateway: u32) -> u32 {
        (self.cell(gateway / CELLS) + CELLS - gateway_cell(gateway)) % CELLS
    }

    /// The most gateways that share an engine, with arcs of this length.
    fn max_sharers_of(gateways: u32, arc: u32) -> u32 {
        gateways / CELLS * arc + (gateways % CELLS).min(arc)
    }

    /// The most gateways that share the engine.
    pub fn sharers(&self, gateways: u32) -> u32 {
        RingPosition::max_sharers_of(gateways.max(1), self.arc)
    }

    /// The gateway as a participant among the sharers. If it is none of them, its index is out of range, and so it never has a slot.
    fn participant(&self, participant: Participant) -> Participant {
        if self.arc >= CELLS {
            return participant;
        }
        let (rings, offset) = (participant.count.div_ceil(CELLS), self.offset(participant.index));
        let index =
            if offset < self.arc { participant.index / CELLS * self.arc + offset } else { rings * self.arc };
        Participant { index, count: rings * self.arc }
    }

    /// A random sharer; none if the number drawn is not used by any gateway.
    pub fn random_sharer(&self, gateways: u32, rng: &mut WyRand) -> Option<u32> {
        if self.arc >= CELLS {
            return Some(rng.generate_range(0..gateways.max(1)));
        }
        let drawn: u32 = rng.generate_range(0..gateways.div_ceil(CELLS).max(1) * self.arc);
        let (ring, offset) = (drawn / self.arc, drawn % self.arc);
        let at = (self.cell(ring) + CELLS - offset) % CELLS;
        Some(ring * CELLS + gateway_cell(at)).filter(|gateway| *gateway < gateways)
    }
}

/// The cell of a gateway: the low bits of its number reversed, so that the first gateways of a ring are far apart. The function
/// is its own inverse.
fn gateway_cell(gateway: u32) -> u32 {
    (gateway % CELLS).reverse_bits() >> (32 - CELLS.ilog2())
}

/// What one gateway has of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineShare {
    pub position: RingPosition,
    /// Whether the engine lies in the gateway's own arc. Beyond it no gateway has a rotation slot.
    pub own: bool,
    /// The gateway among the engine's sharers.
    pub participant: Participant,
    /// Gateways that may use the engine in the same way: if it is in the own arc, its sharers; beyond it, all whose arcs would
    /// contain it if they had expanded as far. If each uses one part in so many, the sharers use at most the whole of the
    /// engine, and the gateways beyond at most another half for each doubling.
    pub sharers: f64,
}

impl EngineShare {
    /// The number of participants among the sharers; none if all gateways share the engine.
    pub fn owners(&self) -> Option<u64> {
        (self.position.arc < CELLS).then(|| u64::from(self.participant.count.max(1)))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct StratumState {
    engines: usize,
    arc: u32,
    /// How often the arc has been doubled, while too few engines of the own arc are usable.
    doublings: u32,
    /// Consecutive checks in which a smaller arc would have been enough.
    enough: u32,
    /// In the last check: engines of the own arc, and usable engines by how often the arc had to be doubled for them.
    own: u32,
    usable: [u32; LEVELS],
}

/// The possible counts of doublings of an arc of one cell, including none.
const LEVELS: usize = CELLS.ilog2() as usize + 1;

impl StratumState {
    fn expanded_arc(&self) -> u32 {
        (self.arc << self.doublings).min(CELLS)
    }
}

/// Consecutive checks that must find a smaller arc to be enough before the arc is halved.
const CHECKS_BEFORE_HALVING: u32 = 20;

/// The subset of one gateway: its arcs, expanded at once if too few of their engines are usable, and narrowed slowly.
pub struct Subset {
    config: Config,
    participant: Participant,
    strata: BTreeMap<Stratum, StratumState>,
    /// The engines of the subset, each with how often its arc had to be doubled for it. Rebuilt as the list changes.
    engines: BTreeMap<Arc<str>, (Stratum, u32)>,
    /// Engines visited since the start, for measurements.
    pub visited: Cell<u64>,
}

impl Subset {
    /// An empty subset.
    pub fn start(config: Config, participant: Participant) -> Subset {
        Subset {
            config,
            participant,
            strata: BTreeMap::new(),
            engines: BTreeMap::new(),
            visited: Cell::default(),
        }
    }

    /// Rebuilds the subset after the list or an arc has changed. Each engine comes with its stratum, and whether it counts as in
    /// service.
    pub fn rebuild<'a>(&mut self, engines: impl Iterator<Item = (&'a Arc<str>, Stratum, bool)> + Clone) {
        self.strata.values_mut().for_each(|state| state.engines = 0);
        for (_, stratum, counts) in engines.clone() {
            self.strata.entry(stratum).or_default().engines += usize::from(counts);
        }
        self.strata.retain(|_, state| state.engines > 0);
        let all = self.strata.values().map(|state| state.engines).sum();
        for state in self.strata.values_mut() {
            state.arc = self.config.arc(self.participant.count, all, state.engines);
            state.doublings = state.doublings.min((CELLS / state.arc).ilog2());
        }
        self.engines.clear();
        // By stratum, the engines beyond the arc, for strata with too few engines: the nearest first.
        let mut beyond: BTreeMap<Stratum, Vec<(u32, &Arc<str>)>> = BTreeMap::new();
        let mut own: BTreeMap<Stratum, usize> = BTreeMap::new();
        for (id, stratum, counts) in engines {
            let state = self
                .strata
                .get(&stratum)
                .copied()
                .unwrap_or(StratumState { arc: CELLS, ..StratumState::default() });
            let offset = RingPosition::new(id, state.arc).offset(self.participant.index);
            if offset < state.arc {
                *own.entry(stratum).or_default() += usize::from(counts);
            }
            if offset < state.expanded_arc() {
                let level = (offset / state.arc + 1).next_power_of_two().ilog2();
                self.engines.insert(id.clone(), (stratum, level));
            }
            if counts && offset >= state.arc {
                beyond.entry(stratum).or_default().push((offset, id));
            }
        }
        for (stratum, mut beyond) in beyond {
            let missing = self.config.min_per_stratum.saturating_sub(own.get(&stratum).copied().unwrap_or(0));
            beyond.sort_unstable();
            for (_, id) in beyond.into_iter().take(missing) {
                self.engines.insert(id.clone(), (stratum, 0));
            }
        }
    }

    /// Adjusts the arcs: in each stratum at least half as many engines must be usable as lie in the own arc. Returns whether an
    /// arc has changed and the subset has to be rebuilt.
    pub fn adjust(&mut self, is_usable: impl Fn(&str) -> bool) -> bool {
        if self.strata.values().all(|state| state.arc >= CELLS) {
            return false;
        }
        self.strata.values_mut().for_each(|state| (state.own, state.usable) = (0, [0; LEVELS]));
        for (id, (stratum, level)) in &self.engines {
            self.count_visit();
            if let Some(state) = self.strata.get_mut(stratum).filter(|state| state.arc < CELLS) {
                state.own += u32::from(*level == 0);
                state.usable[*level as usize] += u32::from(is_usable(id));
            }
        }
        let mut changed = false;
        for state in self.strata.values_mut().filter(|state| state.arc < CELLS) {
            let wanted = state.own.div_ceil(2).max(1);
            let enough = |doublings: u32| state.usable[..=doublings as usize].iter().sum::<u32>() >= wanted;
            let before = state.doublings;
            if !enough(state.doublings) {
                (state.doublings, state.enough) = ((state.doublings + 1).min((CELLS / state.arc).ilog2()), 0);
            } else if state.doublings > 0 && enough(state.doublings - 1) {
                state.enough += 1;
                if state.enough >= CHECKS_BEFORE_HALVING {
                    (state.doublings, state.enough) = (state.doublings - 1, 0);
                }
            } else {
                state.enough = 0;
            }
            changed |= state.doublings != before;
        }
        changed
    }

    /// What this gateway has of an engine.
    pub fn engine_share(&self, id: &str, stratum: Stratum) -> EngineShare {
        let state = self
            .strata
            .get(&stratum)
            .copied()
            .unwrap_or(StratumState { arc: CELLS, ..StratumState::default() });
        let position = RingPosition::new(id, state.arc);
        let offset = position.offset(self.participant.index);
        let own = offset < state.arc;
        let arc = if own { state.arc } else { state.expanded_arc().max((offset + 1).next_power_of_two()) };
        let sharers = f64::from(RingPosition::max_sharers_of(self.participant.count.max(1), arc));
        EngineShare { position, own, participant: position.participant(self.participant), sharers }
    }

    /// The most gateways that share an engine.
    pub fn max_sharers(&self) -> u32 {
        let arc = self.strata.values().map(|state| state.arc).max().unwrap_or(CELLS);
        RingPosition::max_sharers_of(self.participant.count.max(1), arc)
    }

    fn count_visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// The number of engines.
    pub fn width(&self) -> usize {
        self.engines.len()
    }

    /// The engines, in the order of their ids.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.engines.keys().inspect(|_| self.count_visit())
    }

    /// The engines from the one after `last`, wrapping around to `last`.
    pub fn engines_after<'a>(&'a self, last: &'a Arc<str>) -> impl Iterator<Item = &'a Arc<str>> {
        let after = self.engines.range::<Arc<str>, _>((Excluded(last), Unbounded));
        after
            .chain(self.engines.range::<Arc<str>, _>(..=last))
            .map(|(id, _)| id)
            .inspect(|_| self.count_visit())
    }
}
