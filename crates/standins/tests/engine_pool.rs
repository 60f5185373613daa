//! Many engines on one thread: which engine and which gateway a call belongs to, and that what is counted came.

use bramblewharf_standins::{read_message, EnginePool};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn dial(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    BufReader::new(stream)
}

fn post(id: &str) -> String {
    format!("POST /x HTTP/1.1\r\nX-Ticket: {id}\r\nContent-Length: 8\r\n\r\nSELECT 1")
}

fn answer(line: &mut BufReader<TcpStream>) -> (String, String) {
    let (first, _, body) = read_message(line).unwrap();
    (first, String::from_utf8(body).unwrap())
}

#[test]
fn connections_and_statements_are_recorded_by_gateway_and_engine() {
    let crowd = EnginePool::start(3000, 2, MS..=2 * MS, 1).unwrap();
    let mut lines = [(0, 7), (1, 7), (1, 2999)].map(|(gateway, engine)| dial(crowd.address(gateway, engine)));
    for (number, line) in lines.iter_mut().enumerate() {
        line.get_mut().write_all(post(&format!("a{number}")).as_bytes()).unwrap();
        assert_eq!(answer(line), ("HTTP/1.1 200 X".into(), "well\t1\tx\n".into()));
    }
    let records = crowd.records();
    assert_eq!([records.engines_used(0), records.engines_used(1)], [1, 2]);
    assert_eq!([records.opened(0), records.opened(1)], [1, 2]);
    assert_eq!(
        [records.engine_records[0][7], records.engine_records[1][7]]
            .map(|line| (line.max_open, line.statements)),
        [(1, 1); 2]
    );
    assert_eq!((records.started.len(), records.handshakes.len(), records.failed_accepts), (3, 3, 0));
}

#[test]
fn a_call_in_pieces_is_one_and_two_in_one_piece_are_two() {
    let crowd = EnginePool::start(1, 1, MS..=MS, 1).unwrap();
    let mut line = dial(crowd.address(0, 0));
    // Its head ends with a piece, and its text comes behind.
    let call = post("a");
    for piece in [&call[..10], &call[10..call.len() - 8], &call[call.len() - 8..]] {
        line.get_mut().write_all(piece.as_bytes()).unwrap();
    }
    assert_eq!(answer(&mut line).0, "HTTP/1.1 200 X");
    let both = post("b") + "GET /x/nobody/0 HTTP/1.1\r\n\r\n";
    line.get_mut().write_all(both.as_bytes()).unwrap();
    assert_eq!([answer(&mut line).0, answer(&mut line).0], ["HTTP/1.1 200 X", "HTTP/1.1 500 X"]);
    assert_eq!(crowd.records().started.values().copied().collect::<Vec<u32>>(), [1, 1]);
}

#[test]
fn a_long_statement_has_no_news_at_first_and_is_forgotten_once_it_is_deleted() {
    let crowd = EnginePool::start(1, 1, 400 * MS..=400 * MS, 1).unwrap();
    let mut line = dial(crowd.address(0, 0));
    let mut ask = |call: &str| {
        line.get_mut().write_all(call.as_bytes()).unwrap();
        answer(&mut line).0
    };
    let get = "GET /x/a/0 HTTP/1.1\r\n\r\n";
    assert_eq!(ask(&post("a")), "HTTP/1.1 202 X");
    assert_eq!(ask(get), "HTTP/1.1 200 X");
    assert_eq!(ask("DELETE /x/a HTTP/1.1\r\n\r\n"), "HTTP/1.1 204 X");
    assert_eq!(ask(get), "HTTP/1.1 500 X");
}

#[test]
fn an_address_of_no_engine_is_closed_and_counted() {
    let crowd = EnginePool::start(2, 1, MS..=MS, 1).unwrap();
    let mut none = crowd.address(0, 1);
    none.set_ip("127.192.0.3".parse().unwrap());
    assert_eq!(dial(none).read(&mut [0]).unwrap(), 0);
    let records = crowd.records();
    assert_eq!((records.failed_accepts, records.handshakes.len()), (1, 0));
    let address = crowd.address(0, 0);
    drop(records);
    drop(crowd);
    assert!(TcpStream::connect(address).is_err(), "it still listens");
}
