use super::*;
use proptest::prelude::*;

fn words() -> impl Strategy<Value = Word> {
    let mark = || (0..=Mark::MOST).prop_map(Mark);
    let sixteenths = || (0u8..=255).prop_map(|n| f64::from(n) / STEPS);
    prop_oneof![
        (mark(), sixteenths())
            .prop_map(|(engine, age)| Word::Well { engine, age: Duration::from_secs_f64(age) }),
        (mark(), sixteenths())
            .prop_map(|(engine, age)| Word::Ill { engine, age: Duration::from_secs_f64(age) }),
        (mark(), any::<u64>(), any::<u8>()).prop_map(|(engine, group, loads)| Word::Holds {
            engine,
            group,
            loads
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    /// What is written is read again, up to what fits; cut or spoilt bytes are read whole or not at all, and no fault.
    #[test]
    fn words_come_as_they_went(
        zone in any::<u8>(),
        words in proptest::collection::vec(words(), 1..60),
        cut in 0usize..256,
        noise in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let said = Said { zone, words };
        let bytes = said.write();
        prop_assert!(bytes.len() <= LONGEST);
        let read = Said::read(&bytes).unwrap();
        prop_assert_eq!(read.zone, zone);
        prop_assert!(!read.words.is_empty());
        prop_assert_eq!(&read.words[..], &said.words[..read.words.len()]);
        let again = Said::read(&bytes[..cut.min(bytes.len())]);
        prop_assert!(again.is_none_or(|again| said.words.starts_with(&again.words)));
        let _ = Said::read(&noise);
        let mut other = bytes.clone();
        other[0] ^= 1;
        prop_assert_eq!(Said::read(&other), None);
    }
}
