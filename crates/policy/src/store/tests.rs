use super::*;

#[test]
fn cut_at_each_byte_and_flipped_at_each_bit_is_not_read() {
    let revision = Revision { number: 3, text: "a text".into(), ..Revision::read(&first().write()).unwrap() };
    let alone = vec![first().digest()];
    let kept = Kept { seat: Some(Lasting::default()), alone, revisions: vec![revision, first()] };
    let bytes = kept.write(9);
    assert_eq!(Kept::read(&bytes), Ok((9, kept)));
    for at in 0..bytes.len() {
        assert_eq!(Kept::read(&bytes[..at]), Err(Fault::NotWhole));
        for bit in 0..8 {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 1 << bit;
            assert_eq!(Kept::read(&spoilt), Err(Fault::NotWhole));
        }
    }
    // Another form, whole: said in words.
    let mut other = bytes[..bytes.len() - 16].to_vec();
    other[8] = 7;
    let check = digest(&other);
    other.extend_from_slice(&check.0);
    assert_eq!(Kept::read(&other).unwrap_err().to_string(), "is of form 7, this build reads 1");
}

fn first() -> Revision {
    let (author, reason, text) = ("a".to_string(), "first".to_string(), "text".to_string());
    Revision { number: 1, before: Default::default(), author, reason, text }
}
