//! Gossip about the health of engines, and what a gateway concludes from it.
//!
//! A gateway sends only its own observations, at once, to a few others drawn at random each time. Received observations are
//! not forwarded, so none outlives its age and none returns under another sender. That an engine is healthy is only sent if
//! somebody reported it as unhealthy: a healthy fleet sends nothing. For each engine the latest observation of each of a few
//! witnesses is kept. One witness alone changes nothing: a gateway avoids an engine only on the evidence of two, which may
//! include its own, and which must not all be in one other zone, since that zone may be partitioned.

use crate::message::{GossipMessage, Observation};
use crate::subsets::RingPosition;
use crate::{EngineHash, Participant};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The latest witnesses kept per engine, with one observation each.
const MAX_WITNESSES: usize = 16;
/// How long an observation counts.
const OBSERVATION_TTL: Duration = Duration::from_secs(2);
/// Older observations are ignored.
const MAX_AGE: Duration = Duration::from_secs(10);
/// The fraction of observations that have to report an engine as unhealthy: one that fails now and then still does work.
const UNHEALTHY_QUORUM: (usize, usize) = (3, 4);
/// The number of gateways that an observation is sent to; on average a gateway receives so many for each that it sends.
const FANOUT: usize = 8;

/// The place of this gateway in the fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its number, and the number of gateways.
    pub participant: Participant,
    /// Its zone, named alike by all gateways of the zone.
    pub zone: String,
    /// Whether gateways may send messages to one another.
    pub may_send: bool,
    /// A deliberate fault, to test that the tests find it. No settings lead here.
    pub seeded_fault: Option<SeededFault>,
}

impl Config {
    /// Without a deliberate fault.
    pub fn new(participant: Participant, zone: &str, may_send: bool) -> Config {
        Config { participant, zone: zone.to_string(), may_send, seeded_fault: None }
    }
}

/// A deliberate fault that the tests have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    /// Received observations are forwarded as the gateway's own.
    Forwards,
    /// One witness is enough.
    OneWitness,
    /// Observations never expire.
    NeverExpires,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    from: u32,
    zone: u8,
    at: Duration,
    unhealthy: bool,
}

struct EngineRecord {
    id: Arc<str>,
    /// It determines the gateways that share the engine: no others have to be sent observations.
    position: RingPosition,
    /// The last end of an execution of this gateway, and whether it was a failure.
    own: Option<(Duration, bool)>,
    others: Vec<Received>,
}

/// Counters of observations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub received: u64,
    /// Received of engines that are not in the list, or too old.
    pub ignored: u64,
}

/// The health of engines as observed by this gateway and others.
pub struct HealthGossip {
    config: Config,
    zone: u8,
    rng: WyRand,
    /// The engines of the list.
    engines: BTreeMap<EngineHash, EngineRecord>,
    received_at: Option<Duration>,
    outgoing: Vec<(u32, GossipMessage)>,
    pub counts: Counts,
}

impl HealthGossip {
    /// Without any engines; `seed` determines the recipients that are drawn.
    pub fn start(config: Config, seed: u64) -> HealthGossip {
        let zone = EngineHash::of(&config.zone).0 as u8;
        HealthGossip {
            config,
            zone,
            rng: WyRand::new_seed(seed),
            engines: BTreeMap::new(),
            received_at: None,
            outgoing: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Sets the list of engines; observations of all others are dropped.
    pub fn set_engines<'a>(&mut self, engines: impl Iterator<Item = (&'a Arc<str>, RingPosition)>) {
        let mut listed: Vec<(EngineHash, &Arc<str>, RingPosition)> =
            engines.map(|(id, position)| (EngineHash::of(id), id, position)).collect();
        listed.sort_unstable_by_key(|(engine, id, _)| (*engine, *id));
        // Engines with the same hash can't be told apart: observations count for neither.
        let unique = listed.chunk_by(|a, b| a.0 == b.0).filter(|same| same.len() == 1).map(|same| &same[0]);
        let records = unique.map(|(engine, id, position)| {
            let before = self.engines.remove(engine);
            let (own, others) = before.map_or((None, Vec::new()), |record| (record.own, record.others));
            (*engine, EngineRecord { id: (*id).clone(), position: *position, own, others })
        });
        self.engines = records.collect();
    }

    /// The id of the engine with this hash.
    pub fn id(&self, engine: EngineHash) -> Option<&Arc<str>> {
        self.engines.get(&engine).map(|record| &record.id)
    }

    /// Records that an execution of this gateway succeeded there. It is only sent if it contradicts an earlier observation.
    pub fn record_success(&mut self, now: Duration, engine: EngineHash) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        let own = record.own.replace((now, false));
        let disputed = own.is_some_and(|(at, unhealthy)| unhealthy && now < at + OBSERVATION_TTL)
            || record.others.iter().any(|received| received.unhealthy && now < received.at + OBSERVATION_TTL);
        if disputed {
            self.send(Observation::Healthy { engine, age: Duration::ZERO });
        }
    }

    /// Records that an execution of this gateway failed there, or that the engine was silent.
    pub fn record_failure(&mut self, now: Duration, engine: EngineHash) {
        if let Some(record) = self.engines.get_mut(&engine) {
            record.own = Some((now, true));
            self.send(Observation::Unhealthy { engine, age: Duration::ZERO });
        }
    }

    /// Sends an observation to others, in a message of its own, since waiting for more would delay it.
    pub fn send(&mut self, observation: Observation) {
        let others = self.config.participant.count.saturating_sub(1);
        if !self.config.may_send || others == 0 {
            return;
        }
        let message = GossipMessage { zone: self.zone, observations: vec![observation] };
        let (Observation::Healthy { engine, .. }
        | Observation::Unhealthy { engine, .. }
        | Observation::Loads { engine, .. }) = observation;
        let (own, gateways) = (self.config.participant.index, self.config.participant.count);
        let position = self.engines.get(&engine).map(|record| record.position);
        let shared = position.filter(|position| position.sharers(gateways) < gateways);
        for at in 0..FANOUT.min(others as usize) as u32 {
            // Only gateways that share the engine have to know. A draw of an unused number or of this gateway is repeated.
            let sharer = |rng: &mut WyRand| {
                (0..FANOUT).find_map(|_| shared?.random_sharer(gateways, rng).filter(|to| *to != own))
            };
            let to = if shared.is_some() {
                sharer(&mut self.rng)
            } else {
                // All others if they are few; else a new draw each time, so that nobody is left out for long.
                let drawn = if others as usize <= FANOUT { at } else { self.rng.generate_range(0..others) };
                Some(if drawn >= own { drawn + 1 } else { drawn })
            };
            if let Some(to) = to {
                self.outgoing.push((to, message.clone()));
                self.counts.sent += 1;
            }
        }
    }

    /// Takes the messages to be sent now, with their recipients.
    pub fn take_outgoing(&mut self) -> Vec<(u32, GossipMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Records another gateway's observations. Those of loads of table groups are for the caller.
    pub fn receive(&mut self, now: Duration, from: u32, message: &GossipMessage) {
        for observation in &message.observations {
            let (engine, age, unhealthy) = match observation {
                Observation::Healthy { engine, age } => (engine, age, false),
                Observation::Unhealthy { engine, age } => (engine, age, true),
                Observation::Loads { .. } => continue,
            };
            let Some(record) = self
                .engines
                .get_mut(engine)
                .filter(|_| *age < MAX_AGE && from != self.config.participant.index)
            else {
                self.counts.ignored += 1;
                continue;
            };
            let at = now.saturating_sub(*age);
            self.received_at = Some(now);
            self.counts.received += 1;
            let received = Received { from, zone: message.zone, at, unhealthy };
            let same = record.others.iter().position(|other| other.from == from);
            let oldest = || (0..record.others.len()).min_by_key(|at| record.others[*at].at);
            match same.or_else(|| oldest().filter(|_| record.others.len() >= MAX_WITNESSES)) {
                None => record.others.push(received),
                Some(slot) if record.others[slot].at <= at => record.others[slot] = received,
                Some(_) => continue,
            }
            if self.config.seeded_fault == Some(SeededFault::Forwards) && self.outgoing.len() < 64 {
                self.send(*observation);
            }
        }
    }

    /// Whether an engine is unhealthy by more than this gateway's own observations: two or more witnesses report it, this
    /// gateway among them, not all in one other zone, and three of four observations, counting those of a healthy engine.
    pub fn is_unhealthy(&self, now: Duration, engine: EngineHash) -> bool {
        // The common case: nothing was received recently, and this gateway's own evidence alone is not enough.
        if !self.receives(now) && self.config.seeded_fault.is_none() {
            return false;
        }
        let Some(record) = self.engines.get(&engine) else { return false };
        let counts = |at: Duration| {
            now < at + OBSERVATION_TTL || self.config.seeded_fault == Some(SeededFault::NeverExpires)
        };
        let recent = || record.others.iter().filter(|received| counts(received.at));
        let unhealthy = || recent().filter(|received| received.unhealthy);
        let own = record.own.filter(|(at, _)| counts(*at));
        let own_unhealthy = usize::from(own.is_some_and(|(_, unhealthy)| unhealthy));
        let votes = unhealthy().count() + own_unhealthy;
        let total = recent().count() + usize::from(own.is_some());
        if self.config.seeded_fault == Some(SeededFault::OneWitness) {
            return votes > 0;
        }
        let not_one_other_zone = own_unhealthy > 0
            || unhealthy().any(|received| received.zone == self.zone)
            || unhealthy().any(|one| unhealthy().any(|other| other.zone != one.zone));
        votes >= 2 && not_one_other_zone && UNHEALTHY_QUORUM.1 * votes >= UNHEALTHY_QUORUM.0 * total
    }

    /// Whether anything was received recently: otherwise a gateway relies on its own observations.
    pub fn receives(&self, now: Duration) -> bool {
        self.received_at.is_some_and(|at| now < at + OBSERVATION_TTL)
    }

    /// Whether two or more other witnesses report the engine as healthy and none as unhealthy: a reason to probe it soon.
    pub fn is_reported_healthy(&self, now: Duration, engine: EngineHash) -> bool {
        let Some(record) = self.engines.get(&engine) else { return false };
        let recent = || record.others.iter().filter(|received| now < received.at + OBSERVATION_TTL);
        recent().count() >= 2 && recent().all(|received| !received.unhealthy)
    }
}
