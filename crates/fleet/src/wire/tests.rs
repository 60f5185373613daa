use super::*;
use proptest::prelude::*;

fn request() -> Envelope {
    let request = GrantRequest {
        session: 7,
        table_digest: 9,
        uptime_ms: 1,
        holds: vec![1000; 16],
        needs: vec![u64::MAX; 16],
    };
    let message = Message::GrantRequest(request);
    Envelope { fleet: fleet_id("a"), from: Party::Member(3), incarnation: Incarnation(5), number: 1, message }
}

#[test]
fn ignores_other_keys_other_fleets_and_long_datagrams() {
    let key = Key::derive(b"0123456789abcdef\n").unwrap();
    assert!(Key::derive(b"0123456789abcde\n").is_none());
    let bytes = request().encode(&key).unwrap();
    assert_eq!(Envelope::decode(&bytes, &key, fleet_id("a")), Some(request()));
    assert_eq!(Envelope::decode(&bytes, &key, fleet_id("b")), None);
    assert_eq!(Envelope::decode(&bytes, &Key::derive(b"0123456789abcdeg").unwrap(), fleet_id("a")), None);
    let mut long = request();
    long.message = Message::Leaving { session: 0, holds: vec![u64::MAX; 200] };
    assert_eq!(long.encode(&key), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// Corrupted or truncated datagrams are ignored without a panic.
    #[test]
    fn ignores_corrupted_and_truncated_datagrams(at in 0usize..200, flip in 1u8..255, cut in 0usize..200) {
        let key = Key::derive(b"0123456789abcdef").unwrap();
        let intact = request().encode(&key).unwrap();
        let mut corrupted = intact.clone();
        let at = at % corrupted.len();
        corrupted[at] ^= flip;
        prop_assert_eq!(Envelope::decode(&corrupted, &key, fleet_id("a")), None);
        prop_assert_eq!(Envelope::decode(&intact[..cut % intact.len()], &key, fleet_id("a")), None);
    }
}
