//! Pins the bytes of datagrams, of the record of outstanding executions and of digests. Gateways of different
//! releases exchange them, so a rename or a reordering that changes the encoding must fail here.

use bramblewharf_fleet::outstanding::{Outstanding, Record, Slots};
use bramblewharf_fleet::voter::Ballot;
use bramblewharf_fleet::wire::{digest, fleet_id, GrantReply, GrantRequest, Message, Party};
use bramblewharf_fleet::{Envelope, Incarnation, Key};
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn datagram(from: Party, message: Message) -> String {
    let key = Key::derive(b"0123456789abcdef").unwrap();
    let envelope = Envelope { fleet: 0x0102_0304, from, incarnation: Incarnation(5), number: 6, message };
    let bytes = envelope.encode(&key).unwrap();
    assert_eq!(Envelope::decode(&bytes, &key, 0x0102_0304), Some(envelope));
    hex(&bytes)
}

#[test]
fn datagrams_keep_their_bytes() {
    let ballot = Ballot { round: 300, voter: 2, incarnation: Incarnation(7) };
    let later = Ballot { round: 301, voter: 1, incarnation: Incarnation(8) };
    let reject = Message::Reject { ballot, promised: later };
    assert_eq!(
        datagram(Party::Voter(1), reject),
        "51d220e6a0cdbc0fb358792cefa63e21848688080001050604ac020207ad020108"
    );
    let request = GrantRequest {
        session: 9,
        table_digest: 10,
        uptime_ms: 11,
        holds: vec![12, 13],
        needs: vec![14, u64::MAX],
    };
    assert_eq!(
        datagram(Party::Member(300), Message::GrantRequest(request)),
        "ff7ff16ab84ca3d0f370cc5ac6715b168486880801ac02050606090a0b020c0d020effffffffffffffffff01"
    );
    let reply = GrantReply { number: 15, amounts: vec![16, 1700], members: 18, rank: 3 };
    assert_eq!(
        datagram(Party::Voter(0), Message::GrantReply(reply)),
        "b1ce7d45b677f581cd32edaeee5f74af8486880800000506080f0210a40d1203"
    );
    let predecessors =
        Message::Predecessors { number: 19, reply_to: Incarnation(20), predecessors: vec![Incarnation(21)] };
    assert_eq!(
        datagram(Party::Voter(2), predecessors),
        "dfff5ecda6ef3fdb0742248e4685682484868808000205060e13140115"
    );
    let take_over = Message::TakeOver { session: 22, remaining: Some(vec![23, 0]) };
    assert_eq!(
        datagram(Party::Member(4), take_over),
        "b76cd3728a53527b6014079aad554a0684868808010405060d1601021700"
    );
    assert_eq!(
        datagram(Party::Tool, Message::Policy(vec![24, 25])),
        "61517e249e2680bff38da5b597146434848688080205060c021819"
    );
}

#[test]
fn a_record_of_outstanding_executions_keeps_its_bytes() {
    let outstanding = Outstanding {
        id: "statement-1".into(),
        execution: 2,
        engine: SocketAddr::from(([10, 0, 0, 7], 7000)),
        demand: vec![(0, 1000), (3, u64::MAX)],
    };
    let mut slots = Slots::start(Incarnation(300), 9, 4, None);
    let slot = slots.add(&outstanding);
    let header = slots.mark_complete().unwrap();
    assert_eq!((slot.offset, header.offset), (256, 0));
    assert_eq!((slot.bytes.len(), header.bytes.len()), (256, 256));
    let without_filler = |bytes: &[u8]| hex(bytes).trim_end_matches("00").to_string();
    assert_eq!(
        without_filler(&slot.bytes),
        "2300c8849514a41c99040b73746174656d656e742d3102000a000007d8360200e80703ffffffffffffffffff01"
    );
    assert_eq!(without_filler(&header.bytes), "0900021449be2eea7f60018010ac0200010904");
    let mut file = vec![0; bramblewharf_fleet::outstanding::FILE_SIZE as usize];
    file[..256].copy_from_slice(&header.bytes);
    file[256..512].copy_from_slice(&slot.bytes);
    assert_eq!(Record::decode(&file, 9, 4).unwrap().outstanding, [outstanding]);
}

#[test]
fn digests_of_fixed_texts_stay() {
    assert_eq!(format!("{:016x}", fleet_id("a fleet")), "df340001e274fa3d");
    assert_eq!(format!("{:016x}", digest("a table of budgets")), "31ab4a3a44c41875");
}
