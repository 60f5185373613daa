use super::*;

#[test]
fn truncated_or_bit_flipped_files_are_not_read() {
    let revision = Revision { number: 3, text: "a text".into(), ..Revision::read(&first().write()).unwrap() };
    let fallback = vec![first().digest()];
    let stored_state =
        StoredState { voter: Some(DurableState::default()), fallback, revisions: vec![revision, first()] };
    let bytes = stored_state.write(9);
    assert_eq!(StoredState::read(&bytes), Ok((9, stored_state)));
    for at in 0..bytes.len() {
        assert_eq!(StoredState::read(&bytes[..at]), Err(ReadError::Corrupted));
        for bit in 0..8 {
            let mut corrupted = bytes.clone();
            corrupted[at] ^= 1 << bit;
            assert_eq!(StoredState::read(&corrupted), Err(ReadError::Corrupted));
        }
    }
    // An intact file of another version has an error of its own.
    let mut other = bytes[..bytes.len() - 16].to_vec();
    other[8] = 7;
    let checksum = digest(&other);
    other.extend_from_slice(&checksum.0);
    assert_eq!(
        StoredState::read(&other).unwrap_err().to_string(),
        "has format version 7, this build reads 1"
    );
}

fn first() -> Revision {
    let (author, reason, text) = ("a".to_string(), "first".to_string(), "text".to_string());
    Revision { number: 1, parent: Default::default(), author, reason, text }
}
