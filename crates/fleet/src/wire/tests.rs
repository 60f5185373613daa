use super::*;
use proptest::prelude::*;

fn ask() -> Envelope {
    let ask = Ask { session: 7, table: 9, up_ms: 1, holds: vec![1000; 16], needs: vec![u64::MAX; 16] };
    let message = Message::Ask(ask);
    Envelope { fleet: fleet_of("a"), from: Party::Place(3), incarnation: Incarnation(5), number: 1, message }
}

#[test]
fn strangers_other_fleets_and_long_ones_say_nothing() {
    let key = Key::read(b"0123456789abcdef\n").unwrap();
    assert!(Key::read(b"0123456789abcde\n").is_none());
    let bytes = ask().write(&key).unwrap();
    assert_eq!(Envelope::read(&bytes, &key, fleet_of("a")), Some(ask()));
    assert_eq!(Envelope::read(&bytes, &key, fleet_of("b")), None);
    assert_eq!(Envelope::read(&bytes, &Key::read(b"0123456789abcdeg").unwrap(), fleet_of("a")), None);
    let mut long = ask();
    long.message = Message::Leaving { session: 0, holds: vec![u64::MAX; 200] };
    assert_eq!(long.write(&key), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Spoilt, cut or longer: nothing, and no fault.
    #[test]
    fn what_was_spoilt_says_nothing(at in 0usize..200, flip in 1u8..255, cut in 0usize..200) {
        let key = Key::read(b"0123456789abcdef").unwrap();
        let whole = ask().write(&key).unwrap();
        let mut spoilt = whole.clone();
        let at = at % spoilt.len();
        spoilt[at] ^= flip;
        prop_assert_eq!(Envelope::read(&spoilt, &key, fleet_of("a")), None);
        prop_assert_eq!(Envelope::read(&whole[..cut % whole.len()], &key, fleet_of("a")), None);
    }
}
