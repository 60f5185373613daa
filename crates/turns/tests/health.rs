//! Health gossip: at one gateway, and in a simulated fleet with false reports and lost messages.

use bramblewharf_turns::health::{Config, HealthGossip, SeededFault};
use bramblewharf_turns::subsets::{RingPosition, CELLS};
use bramblewharf_turns::{EngineHash, GossipMessage, Observation, Participant};
use nanorand::{Rng, WyRand};
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn health_gossip(own: u32, gateways: u32, zone: &str, seeded_fault: Option<SeededFault>) -> HealthGossip {
    let mut gossip = HealthGossip::start(
        Config { seeded_fault, ..Config::new(Participant { index: own, count: gateways }, zone, true) },
        u64::from(own) + 1,
    );
    let ids: Vec<Arc<str>> = (0..8).map(|at| engine_id(at).into()).collect();
    gossip.set_engines(ids.iter().map(|id| (id, RingPosition::new(id, CELLS))));
    gossip
}

fn engine_id(at: usize) -> String {
    format!("engine-{at}")
}

fn engine(at: usize) -> EngineHash {
    EngineHash::of(&engine_id(at))
}

fn zone(of: &str) -> u8 {
    EngineHash::of(of).0 as u8
}

fn healthy() -> GossipMessage {
    GossipMessage {
        zone: zone("a"),
        observations: vec![Observation::Healthy { engine: engine(0), age: Duration::ZERO }],
    }
}

fn unhealthy(of: &str) -> GossipMessage {
    GossipMessage {
        zone: zone(of),
        observations: vec![Observation::Unhealthy { engine: engine(0), age: Duration::ZERO }],
    }
}

#[test]
fn a_healthy_fleet_sends_nothing() {
    let mut gateway = health_gossip(0, 9, "a", None);
    gateway.record_success(1000 * MS, engine(0));
    assert!(gateway.take_outgoing().is_empty() && !gateway.receives(1000 * MS));
    gateway.record_failure(1100 * MS, engine(0));
    assert_eq!(gateway.take_outgoing().len(), 8, "sent to each other gateway");
    // A success is sent if the engine was unhealthy a moment ago, or if another gateway reported it as unhealthy.
    gateway.record_success(1200 * MS, engine(0));
    assert_eq!(gateway.take_outgoing().len(), 8);
    gateway.record_success(4000 * MS, engine(0));
    assert!(gateway.take_outgoing().is_empty());
    gateway.receive(4000 * MS, 3, &unhealthy("a"));
    gateway.record_success(4100 * MS, engine(0));
    assert_eq!(gateway.take_outgoing().len(), 8);
}

#[test]
fn a_false_witness_has_one_vote_however_often_it_sends() {
    let mut gateway = health_gossip(0, 9, "a", None);
    for at in 0..500u32 {
        let now = 1000 * MS + at * 10 * MS;
        gateway.receive(now, 8, &unhealthy("b"));
        gateway.receive(now, 8, &unhealthy("a"));
        assert!(!gateway.is_unhealthy(now, engine(0)));
    }
}

#[test]
fn unhealthy_takes_two_witnesses_not_all_in_one_other_zone() {
    let mut gateway = health_gossip(0, 9, "a", None);
    let now = 1000 * MS;
    gateway.receive(now, 1, &unhealthy("b"));
    assert!(!gateway.is_unhealthy(now, engine(0)));
    gateway.receive(now, 2, &unhealthy("b"));
    gateway.receive(now, 3, &unhealthy("b"));
    assert!(!gateway.is_unhealthy(now, engine(0)), "zone b may be partitioned from the engine");
    gateway.receive(now, 4, &unhealthy("c"));
    assert!(gateway.is_unhealthy(now, engine(0)));
    assert!(!gateway.is_unhealthy(now + 2000 * MS, engine(0)), "the observations expire");
    let mut gateway = health_gossip(0, 9, "a", None);
    gateway.receive(now, 1, &unhealthy("b"));
    gateway.record_failure(now, engine(0));
    assert!(gateway.is_unhealthy(now, engine(0)), "own evidence and a witness");
    // Healthy for most: an engine that fails now and then is not unhealthy.
    (2..6).for_each(|from| gateway.receive(now, from, &healthy()));
    assert!(!gateway.is_unhealthy(now, engine(0)));
    assert!(!gateway.is_reported_healthy(now, engine(0)));
}

#[test]
fn late_and_unknown_observations_are_ignored() {
    let mut gateway = health_gossip(0, 9, "a", None);
    let message = |age: Duration| GossipMessage {
        zone: 0,
        observations: vec![Observation::Unhealthy { engine: engine(0), age }],
    };
    gateway.receive(50_000 * MS, 1, &message(3000 * MS));
    gateway.receive(50_000 * MS, 2, &message(14_000 * MS));
    let unknown = GossipMessage {
        zone: 0,
        observations: vec![Observation::Unhealthy { engine: EngineHash::of("x"), age: Duration::ZERO }],
    };
    gateway.receive(50_000 * MS, 3, &unknown);
    // From the gateway itself, as if a relay reflected its messages.
    gateway.receive(50_000 * MS, 0, &unhealthy("a"));
    assert!(!gateway.is_unhealthy(50_000 * MS, engine(0)));
    assert_eq!((gateway.counts.received, gateway.counts.ignored), (1, 3));
    // Observations of an engine that is dropped from the list are forgotten.
    gateway.set_engines([].into_iter());
    gateway.receive(50_000 * MS, 4, &healthy());
    assert_eq!(gateway.counts.ignored, 4);
}

/// A simulated fleet whose gateways each use one engine now and then and send what they observe.
struct Simulation {
    rng: WyRand,
    now: Duration,
    all: Vec<HealthGossip>,
    /// The percentage of messages that are lost.
    lost_percent: u32,
    false_witnesses: u32,
    /// Whether engine 0 fails every execution.
    unhealthy: bool,
    executions: u64,
    /// Executions at engine 0 while it was unhealthy.
    failures: u64,
    received: u64,
}

impl Simulation {
    fn new(
        gateways: u32,
        lost_percent: u32,
        false_witnesses: u32,
        seeded_fault: Option<SeededFault>,
    ) -> Simulation {
        let zones = ["a", "b", "c"];
        let all = (0..gateways)
            .map(|own| health_gossip(own, gateways, zones[own as usize % 3], seeded_fault))
            .collect();
        let rng = WyRand::new_seed(5);
        Simulation {
            rng,
            now: 1000 * MS,
            all,
            lost_percent,
            false_witnesses,
            unhealthy: false,
            executions: 0,
            failures: 0,
            received: 0,
        }
    }

    /// Runs for a span, with `rate` executions a second at each gateway.
    fn run(&mut self, span: Duration, rate: u64) {
        let steps = span.as_millis() as u64 / 10;
        for _ in 0..steps {
            self.now += 10 * MS;
            for own in 0..self.all.len() as u32 {
                if self.rng.generate_range(0..100u64) < rate {
                    self.execute(own);
                }
            }
        }
    }

    fn execute(&mut self, own: u32) {
        let at = self.rng.generate_range(0..8usize);
        let now = self.now;
        if own < self.false_witnesses {
            // It reports the opposite of the truth: of one engine, or of all at once if it is the only one.
            for at in if self.false_witnesses > 1 { at..at + 1 } else { 0..8 } {
                let observation = match at {
                    0 if self.unhealthy => Observation::Healthy { engine: engine(at), age: Duration::ZERO },
                    _ => Observation::Unhealthy { engine: engine(at), age: Duration::ZERO },
                };
                self.all[own as usize].send(observation);
            }
        } else if !self.all[own as usize].is_unhealthy(now, engine(at))
            || self.rng.generate_range(0..100u32) == 0
        {
            self.executions += 1;
            let gateway = &mut self.all[own as usize];
            if at == 0 && self.unhealthy {
                self.failures += 1;
                gateway.record_failure(now, engine(at));
            } else {
                gateway.record_success(now, engine(at));
            }
        }
        for (to, message) in self.all[own as usize].take_outgoing() {
            if self.rng.generate_range(0..100u32) >= self.lost_percent {
                self.received += 1;
                let message = GossipMessage::decode(&message.encode()).unwrap();
                self.all[to as usize].receive(now, own, &message);
                // What a gateway with the forwarding fault sends on at once.
                for (to, message) in self.all[to as usize].take_outgoing() {
                    self.received += 1;
                    self.all[to as usize].receive(now, own, &message);
                }
            }
        }
    }

    /// The number of gateways that avoid an engine.
    fn avoiding(&self, at: usize) -> usize {
        self.all.iter().filter(|gateway| gateway.is_unhealthy(self.now, engine(at))).count()
    }
}

#[test]
fn a_fleet_avoids_an_unhealthy_engine_soon_and_uses_it_again_once_healthy() {
    for (lost_percent, false_witnesses) in [(0, 0), (50, 0), (10, 10)] {
        let mut simulation = Simulation::new(300, lost_percent, false_witnesses, None);
        simulation.run(4000 * MS, 2);
        assert_eq!(simulation.avoiding(0), 0);
        simulation.unhealthy = true;
        simulation.run(2000 * MS, 2);
        let found = simulation.avoiding(0);
        assert!(found > 150, "{lost_percent}% lost, {false_witnesses} false witnesses: {found} of 300 avoid it after two seconds");
        // Alone, each gateway would notice only after several failures of its own.
        assert!(simulation.failures < 300, "{} executions lost", simulation.failures);
        simulation.unhealthy = false;
        simulation.run(4000 * MS, 2);
        assert!(simulation.avoiding(0) < 15, "{}", simulation.avoiding(0));
    }
}

/// C2: neither one false witness alone nor a few among many make the other gateways avoid an engine.
#[test]
fn false_witnesses_make_no_others_avoid_an_engine() {
    for (gateways, false_witnesses) in [(12, 1), (300, 15)] {
        let mut simulation = Simulation::new(gateways, 0, false_witnesses, None);
        let mut most = 0;
        for _ in 0..40 {
            simulation.run(200 * MS, 5);
            most = most.max((0..8).map(|at| simulation.avoiding(at)).max().unwrap());
        }
        assert!(
            most * 10 <= gateways as usize,
            "{most} of {gateways} avoid an engine due to the {false_witnesses}"
        );
    }
}

/// The tests above find the faults that they are for.
#[test]
fn seeded_faults_are_found() {
    let mut forwards = Simulation::new(60, 0, 0, Some(SeededFault::Forwards));
    let mut faultless = Simulation::new(60, 0, 0, None);
    (forwards.unhealthy, faultless.unhealthy) = (true, true);
    forwards.run(2000 * MS, 5);
    faultless.run(2000 * MS, 5);
    assert!(
        forwards.received > 2 * faultless.received,
        "forwarded messages: {} compared with {}",
        forwards.received,
        faultless.received
    );
    let mut simulation = Simulation::new(12, 0, 1, Some(SeededFault::OneWitness));
    simulation.run(3000 * MS, 5);
    assert!((0..8).any(|at| simulation.avoiding(at) > 5), "one false witness makes all avoid engines");
    let mut simulation = Simulation::new(60, 0, 0, Some(SeededFault::NeverExpires));
    simulation.unhealthy = true;
    simulation.run(2000 * MS, 5);
    simulation.unhealthy = false;
    simulation.run(4000 * MS, 5);
    assert!(simulation.avoiding(0) > 15, "an engine that was once unhealthy stays avoided");
}
