//! Lists of engines as they arrive: which engines there are, whether a process is another one than before,
//! and which engines this gateway uses.

use super::send_guard::misplaced;
use super::*;

impl Scheduler {
    /// Applies a list of engines, or changes to it.
    pub(super) fn update_list(&mut self, now: Duration, kind: ListKind, entries: Vec<EngineEntry>) {
        if kind == ListKind::Failed {
            (self.list_failed, self.list_subscribed) = (true, false);
            let pause = self.site.list_poll_interval.div_f64(16.0).max(TICK_INTERVAL);
            self.list_due = Some(now + pause.mul_f32(1.0 + self.rng.generate::<f32>()));
            return;
        }
        if kind != ListKind::Cached {
            (self.list_failed, self.list_subscribed) =
                (false, self.site.list_is_polled && self.list_due.is_none());
        }
        self.list_updated_at = now;
        if kind != ListKind::Delta {
            let named: BTreeSet<&Id> = entries.iter().map(|e| &e.id).collect();
            for (_, gone) in self.engines.iter_mut().filter(|(id, _)| !named.contains(id)) {
                gone.entry.state = EngineState::Gone;
            }
        }
        for entry in entries {
            let cores = self.site.kinds.iter().find(|k| k.name == entry.kind).and_then(|k| k.cores);
            let (stratum, part) = (self.stratum(&entry), self.subset.engine_share(&entry.id, 0));
            let departed = &mut self.departed;
            let new = || {
                let cold = departed.take(&entry.id).unwrap_or_default();
                Engine { cold, ..Engine::new(entry.clone(), part, now) }
            };
            let engine = self.engines.entry(entry.id.clone()).or_insert_with(new);
            (engine.stratum, engine.cores) = (stratum, cores.unwrap_or(DEFAULT_CORES));
            if engine.cold.observe(now, entry.started, self.site.slow_start.warm_after) {
                (engine.ejected, engine.fault_level) = (None, 0.0);
            }
            engine.entry = entry;
        }
        self.remove_departed();
        self.update_subset();
    }

    /// Removes the engines that are off the list and run nothing of this gateway.
    fn remove_departed(&mut self) {
        let Scheduler { engines, departed, .. } = self;
        engines.retain(|id, engine| {
            let is_removable = engine.is_removable();
            if is_removable {
                departed.insert(id, engine.cold);
            }
            !is_removable
        });
    }

    /// Renews the lease on the list, so that no list is used that may hide a drain: name service silent, its
    /// answers lost, or this process paused. Statements that waited for the answers are sent now. Costs
    /// availability if the name service is down while nothing drains.
    pub(super) fn list_polled(&mut self, now: Duration, confirmed: Option<Duration>) {
        self.list_lease.renew(now, confirmed);
        if confirmed.is_some() {
            self.conflicting_list = None;
        }
        for id in std::mem::take(&mut self.awaiting_list) {
            self.advance(now, &id, Input::Ready);
        }
    }

    /// Recomputes which engines this gateway uses, its part of each, and whether slices are fractional.
    pub(super) fn update_subset(&mut self) {
        let all = self.engines.iter().map(|(id, e)| (id, e.stratum, e.entry.state == EngineState::In));
        self.subset.rebuild(all);
        self.engines.iter_mut().for_each(|(id, e)| e.part = self.subset.engine_share(id, e.stratum));
        self.signals.set_engines(self.engines.iter().map(|(id, e)| (id, e.part.position)));
        self.fractional_slices = slices_are_fractional(&self.site, f64::from(self.subset.max_sharers()));
    }

    /// Engines that the same workloads may use form a stratum, by zone where crossing is priced: each
    /// gateway's subset has some of each stratum.
    fn stratum(&self, entry: &EngineEntry) -> u64 {
        let zone = if self.site.cross_zone_priced { &*entry.zone } else { "" };
        let misplaced =
            self.workload_stats.iter().map(|stats| if misplaced(stats, entry) { "-" } else { "+" });
        misplaced.fold(mix(0, zone), mix)
    }
}
