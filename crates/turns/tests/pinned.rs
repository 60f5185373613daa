//! Hashes, rotations, subsets and encoded messages as literals: gateways of different builds must agree on them.

use bramblewharf_turns::subsets::{Config, RingPosition};
use bramblewharf_turns::{
    health, mix, EngineHash, GossipMessage, HealthGossip, Observation, Participant, RotationSlot, Subset,
};
use std::sync::Arc;
use std::time::Duration;

const ENGINES: usize = 600;

fn id(at: usize) -> Arc<str> {
    format!("10.0.{}.{}:7000", at / 250, at % 250).into()
}

fn subset(own: u32, gateways: u32) -> Subset {
    let engines: Vec<Arc<str>> = (0..ENGINES).map(id).collect();
    let mut own_subset = Subset::start(Config::default(), Participant { index: own, count: gateways });
    own_subset.rebuild(engines.iter().enumerate().map(|(at, id)| (id, at as u64 % 2, at % 50 != 0)));
    own_subset
}

#[test]
fn hashes_stay() {
    let mixes = [mix(0, ""), mix(0, "e-1"), mix(7, "e-1"), mix(u64::MAX, "10.0.0.1:7000")];
    let expected = [12161962214531383799, 9783651121009326473, 2429816182593245210, 7593594710683514162];
    assert_eq!(mixes, expected);
    assert_eq!(["", "e-1", "10.0.0.1:7000"].map(|id| EngineHash::of(id).0), [5017724, 374109, 12677137]);
}

#[test]
fn rotation_slots_stay() {
    let rotation_slot = RotationSlot { duration: Duration::from_millis(250), concurrent: 2 };
    let holders: Vec<Vec<u32>> = (0..6)
        .map(|slot| {
            let since = slot * rotation_slot.duration + Duration::from_millis(10);
            (0..9)
                .filter(|own| Participant { index: *own, count: 9 }.has_slot(rotation_slot, "e-1", since))
                .collect()
        })
        .collect();
    assert_eq!(holders, [[4, 5], [4, 5], [1, 2], [2, 3], [6, 7], [0, 1]]);
}

#[test]
fn subsets_stay() {
    let digest = |own: u32, gateways: u32| {
        let own_subset = subset(own, gateways);
        (own_subset.width(), own_subset.engines().fold(0, |digest, id| mix(digest, id)))
    };
    let digests = [digest(0, 1), digest(0, 130), digest(7, 130), digest(129, 130), digest(41, 300)];
    let expected = [
        (600, 9011510533522691370),
        (98, 5577287857633617985),
        (66, 14897724887112245383),
        (66, 15855000287425234243),
        (77, 7471407880986751649),
    ];
    assert_eq!(digests, expected);
    let first: Vec<String> = subset(7, 300).engines().take(4).map(|id| id.to_string()).collect();
    assert_eq!(first, ["10.0.0.100:7000", "10.0.0.109:7000", "10.0.0.120:7000", "10.0.0.13:7000"]);
    let own_subset = subset(7, 300);
    let parts: Vec<(bool, u32, u32, f64)> = [100, 109, 1, 3]
        .into_iter()
        .map(|at| own_subset.engine_share(&id(at), at as u64 % 2))
        .map(|part| (part.own, part.participant.index, part.participant.count, part.sharers))
        .collect();
    let expected = [(true, 3, 40, 40.0), (true, 5, 40, 40.0), (false, 40, 40, 300.0), (false, 40, 40, 80.0)];
    assert_eq!(parts, expected);
}

#[test]
fn recipients_stay() {
    let recipients = |arc: u32| {
        let mut gossip =
            HealthGossip::start(health::Config::new(Participant { index: 7, count: 130 }, "a", true), 5);
        gossip.set_engines([(&id(1), RingPosition::new(&id(1), arc))].into_iter());
        gossip.record_failure(Duration::from_secs(1), EngineHash::of(&id(1)));
        gossip.take_outgoing().into_iter().map(|(to, _)| to).collect::<Vec<u32>>()
    };
    let expected = [[21, 68, 53, 76, 68, 5, 116, 116], [88, 90, 16, 77, 88, 10, 59, 116]];
    assert_eq!([recipients(8), recipients(64)], expected);
}

#[test]
fn encoded_messages_stay() {
    let engine = EngineHash::of("e-1");
    let observations = vec![
        Observation::Healthy { engine, age: Duration::from_millis(1250) },
        Observation::Unhealthy { engine: EngineHash(0x01_02_03), age: Duration::ZERO },
        Observation::Loads { engine, group: 0x0102_0304_0506_0708, loads: 3 },
    ];
    let bytes = GossipMessage { zone: 9, observations: observations.clone() }.encode();
    let expected = [177, 9, 1, 93, 181, 5, 20, 2, 3, 2, 1, 0, 3, 93, 181, 5, 8, 7, 6, 5, 4, 3, 2, 1, 3];
    assert_eq!(bytes, expected);
    assert_eq!(GossipMessage::decode(&bytes), Some(GossipMessage { zone: 9, observations }));
}
