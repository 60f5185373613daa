use super::*;

/// Guards against an answer that is longer than the memory it was granted.
#[test]
fn no_result_is_longer_as_json_than_its_bound() {
    let every_byte: Vec<u8> = (0..0x80).collect();
    let every_character: String = (0..0x300).filter_map(char::from_u32).collect();
    let cases: [&[&[u8]]; 8] = [
        &[],
        &[b""],
        &[b"\n"],
        &[b"\n\n\n", b"\t\t\n"],
        &[b"a\tb\tc\n", b"d\te\tf"],
        &[&every_byte],
        &[every_character.as_bytes(), b"\n"],
        &[&[1; 500]],
    ];
    for case in cases {
        let pages: Vec<Bytes> = case.iter().map(|page| Bytes::copy_from_slice(page)).collect();
        let mut out = Vec::new();
        write_result(&pages, &mut out).unwrap();
        let bound = max_result_length(&pages);
        assert!(out.len() <= bound, "{case:?}: {} bytes, bound {bound}", out.len());
        serde_json::from_slice::<serde_json::Value>(&out).unwrap();
    }
}
