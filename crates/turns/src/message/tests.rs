use super::*;
use proptest::prelude::*;

fn observations() -> impl Strategy<Value = Observation> {
    let engine_hash = || (0..=EngineHash::MAX).prop_map(EngineHash);
    let sixteenths = || (0u8..=255).prop_map(|n| f64::from(n) / AGE_STEPS_PER_SECOND);
    prop_oneof![
        (engine_hash(), sixteenths())
            .prop_map(|(engine, age)| Observation::Healthy { engine, age: Duration::from_secs_f64(age) }),
        (engine_hash(), sixteenths())
            .prop_map(|(engine, age)| Observation::Unhealthy { engine, age: Duration::from_secs_f64(age) }),
        (engine_hash(), any::<u64>(), any::<u8>()).prop_map(|(engine, group, loads)| Observation::Loads {
            engine,
            group,
            loads
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    /// Messages survive a round trip, up to what fits; truncated or corrupted bytes are decoded as a whole or not at all, without a panic.
    #[test]
    fn messages_survive_a_round_trip(
        zone in any::<u8>(),
        observations in proptest::collection::vec(observations(), 1..60),
        cut in 0usize..256,
        noise in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let message = GossipMessage { zone, observations };
        let bytes = message.encode();
        prop_assert!(bytes.len() <= MAX_LEN);
        let decoded = GossipMessage::decode(&bytes).unwrap();
        prop_assert_eq!(decoded.zone, zone);
        prop_assert!(!decoded.observations.is_empty());
        prop_assert_eq!(&decoded.observations[..], &message.observations[..decoded.observations.len()]);
        let truncated = GossipMessage::decode(&bytes[..cut.min(bytes.len())]);
        prop_assert!(truncated.is_none_or(|truncated| message.observations.starts_with(&truncated.observations)));
        let _ = GossipMessage::decode(&noise);
        let mut other = bytes.clone();
        other[0] ^= 1;
        prop_assert_eq!(GossipMessage::decode(&other), None);
    }
}
