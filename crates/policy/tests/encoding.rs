//! The encoded form of messages, of the stored file and of a revision's digest, byte for byte. Gateways of
//! different builds exchange these bytes and read each other's files, so that no change of names or of field
//! order may change them.

use bramblewharf_fleet::voter::Ballot;
use bramblewharf_fleet::Incarnation;
use bramblewharf_policy::message::{CoordinatorStatus, Grant, GrantRequest};
use bramblewharf_policy::register::{DurableState, EntryPhase};
use bramblewharf_policy::{Digest, Entry, Phase, PolicyMessage, Revision, Stamp, StoredState};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn digest(byte: u8) -> Digest {
    Digest([byte; 16])
}

fn ballot() -> Ballot {
    Ballot { round: 300, voter: 2, incarnation: Incarnation(70_000) }
}

fn stamp() -> Stamp {
    Stamp { term: ballot(), number: 5 }
}

fn entry() -> Entry {
    Entry {
        phase: EntryPhase(Phase(7)),
        current: digest(0x11),
        next: Some(digest(0x22)),
        possibly_active: vec![digest(0x33), digest(0x44)],
    }
}

fn revision() -> Revision {
    Revision {
        number: 9,
        parent: digest(0x55),
        author: "ops".into(),
        reason: "why".into(),
        text: "x=2".into(),
    }
}

#[track_caller]
fn assert_message(message: PolicyMessage, bytes: &str) {
    assert_eq!(hex(&message.write()), bytes);
    assert_eq!(PolicyMessage::read(&message.write()), Some(message));
}

#[test]
fn messages_between_voters_keep_their_bytes() {
    assert_message(PolicyMessage::Read(ballot()), "00ac0202f0a204");
    assert_message(
        PolicyMessage::ReadReply { term: ballot(), state_intact: true, stored: Some((stamp(), entry())) },
        "01ac0202f0a2040101ac0202f0a204050711111111111111111111111111111111012222222222222222222222222222\
         2222023333333333333333333333333333333344444444444444444444444444444444",
    );
    assert_message(
        PolicyMessage::Write(stamp(), entry()),
        "02ac0202f0a2040507111111111111111111111111111111110122222222222222222222222222222222023333333333\
         333333333333333333333344444444444444444444444444444444",
    );
    assert_message(PolicyMessage::Written(stamp()), "03ac0202f0a20405");
    assert_message(PolicyMessage::StaleTerm { later: ballot() }, "04ac0202f0a204");
}

#[test]
fn messages_that_carry_revisions_keep_their_bytes() {
    assert_message(
        PolicyMessage::GetChunk { digest: digest(0x66), offset: 900 },
        "05666666666666666666666666666666668407",
    );
    assert_message(
        PolicyMessage::Chunk { digest: digest(0x66), offset: 900, total_bytes: 1200, bytes: vec![1, 2, 3] },
        "06666666666666666666666666666666668407b00903010203",
    );
}

#[test]
fn messages_of_gateways_keep_their_bytes() {
    let request = GrantRequest {
        number: 400,
        phase: Some(Phase(6)),
        durable_fallback: vec![digest(0x77)],
        verdict: Some((digest(0x88), Some("no".into()))),
    };
    assert_message(
        PolicyMessage::GrantRequest(request),
        "07900301060177777777777777777777777777777777018888888888888888888888888888888801026e6f",
    );
    let grant = Grant {
        number: 400,
        phase: Phase(7),
        current: digest(0x11),
        next: Some(digest(0x22)),
        check: Some(digest(0x88)),
    };
    assert_message(
        PolicyMessage::Grant(grant),
        "089003071111111111111111111111111111111101222222222222222222222222222222220188888888888888888888\
         888888888888",
    );
    assert_message(PolicyMessage::NotReady { number: 400, leader: Some(1) }, "0990030101");
}

#[test]
fn messages_of_operators_keep_their_bytes() {
    assert_message(
        PolicyMessage::Offer { digest: digest(0x88), wait_ms: 2500 },
        "0a88888888888888888888888888888888c413",
    );
    assert_message(PolicyMessage::Withdraw(digest(0x88)), "0b88888888888888888888888888888888");
    assert_message(PolicyMessage::StatusQuery, "0c");
    let status = CoordinatorStatus {
        leader: Some(1),
        phase: Phase(7),
        number: 9,
        current: digest(0x11),
        next: Some(digest(0x22)),
        proposal: Some(digest(0x88)),
        awaited_members: vec![3, 200],
        last_outcome: Some((digest(0x99), Some("late".into()))),
    };
    assert_message(
        PolicyMessage::CoordinatorStatus(status),
        "0d0101070911111111111111111111111111111111012222222222222222222222222222222201888888888888888888\
         888888888888880203c801019999999999999999999999999999999901046c617465",
    );
}

#[test]
fn a_stored_file_keeps_its_bytes() {
    let register = DurableState { promised: Some(ballot()), stored: Some((stamp(), entry())) };
    let state =
        StoredState { voter: Some(register), fallback: vec![digest(0x11)], revisions: vec![revision()] };
    let bytes = state.write(300);
    assert_eq!(
        hex(&bytes),
        "6277706f6c69637901002c01000000000000820000000101ac0202f0a20401ac0202f0a2040507111111111111111111\
         111111111111110122222222222222222222222222222222023333333333333333333333333333333344444444444444\
         4444444444444444440111111111111111111111111111111111010955555555555555555555555555555555036f7073\
         0377687903783d3261185ba8bf1f027a43910e75c192b248"
    );
    assert_eq!(StoredState::read(&bytes), Ok((300, state)));
}

#[test]
fn a_revision_keeps_its_digest() {
    assert_eq!(hex(&revision().write()), "0955555555555555555555555555555555036f70730377687903783d32");
    assert_eq!(revision().digest().to_string(), "425e0e34c61eab26f5dc630d6e1de458");
}
