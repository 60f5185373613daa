use super::*;

/// What is passed on of these pieces, and whether the connection may carry another call.
fn heard(pieces: &[&[u8]]) -> (Option<Vec<u8>>, bool) {
    let mut exchange = Exchange::new(100);
    exchange.ask();
    let fine = pieces.iter().all(|piece| exchange.hear(piece).is_ok());
    let free = matches!(exchange.state, State::Rest) && exchange.regular;
    (fine.then(|| exchange.good.to_vec()), free)
}

const WELL: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nPage-No: 1\r\n\r\na\tb\n\n";

#[test]
fn a_good_answer_is_passed_on_as_it_came_in_whatever_pieces() {
    for size in 1..WELL.len() {
        let pieces: Vec<&[u8]> = WELL.chunks(size).collect();
        assert_eq!(heard(&pieces), (Some(WELL.to_vec()), true), "pieces of {size}");
    }
    let nothing = b"HTTP/1.1 204 No Content\r\n\r\n";
    assert_eq!(heard(&[nothing]), (Some(nothing.to_vec()), true));
}

#[test]
fn heads_on_the_way_are_passed_over_and_what_follows_ends_the_connection() {
    let on_the_way = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    assert_eq!(heard(&[on_the_way, WELL]), (Some(WELL.to_vec()), true));
    assert_eq!(heard(&[&[&on_the_way[..], WELL].concat()]), (Some(WELL.to_vec()), true));
    // A second copy, whole or begun, in the same piece or a later one.
    assert_eq!(heard(&[&[WELL, WELL].concat()]), (Some(WELL.to_vec()), false));
    assert_eq!(heard(&[&[WELL, b"HTT"].concat()]), (Some(WELL.to_vec()), false));
    assert_eq!(heard(&[WELL, WELL]), (Some(WELL.to_vec()), false));
    let mut later = Exchange::new(100);
    later.ask();
    later.hear(WELL).unwrap();
    assert_eq!(later.pass_on(1000).as_deref(), Some(WELL));
    assert!(later.is_free() && later.hear(WELL).is_err() && !later.is_free());
    // What may be the rest of the same answer makes it none.
    assert_eq!(heard(&[&[WELL, b"c\td\n"].concat()]), (None, false));
    let endless = on_the_way.repeat(200);
    assert_eq!(heard(&[&endless]), (None, false));
}

#[test]
fn what_is_not_plainly_an_answer_is_none() {
    let head = |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
    let long = "x".repeat(HEAD);
    for bad in [
        b"\x00\xffnoise\r\n\r\n".to_vec(),
        b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n".to_vec(),
        b"HTTP/1.1 99 Odd\r\nContent-Length: 5\r\n\r\n".to_vec(),
        b"HTTP/1.1 101 Switching\r\n\r\n".to_vec(),
        head(""),
        head("Content-Length: 5\r\nContent-Length: 5\r\n"),
        head("Content-Length: 5, 5\r\n"),
        head("Content-Length: -5\r\n"),
        head("Content-Length: +5\r\n"),
        head("Content-Length: 3000000000\r\n"),
        head("Content-Length: 99999999999999999999999\r\n"),
        head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        head("Transfer-Encoding: gzip, chunked\r\n"),
        head(&format!("X-Long: {long}")),
        head("No colon\r\n"),
    ] {
        assert_eq!(heard(&[&bad]), (None, false), "{}", String::from_utf8_lossy(&bad[..bad.len().min(99)]));
    }
    let mut early = Exchange::new(100);
    assert!(early.hear(WELL).is_err() && !early.is_free());
}
