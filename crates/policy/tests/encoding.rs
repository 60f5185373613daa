//! The encoded form of messages, of the stored file and of a revision's digest, byte for byte. Gateways of
//! different builds exchange these bytes and read each other's files, so that no change of names or of field
//! order may change them.

use bramblewharf_fleet::seat::Ballot;
use bramblewharf_fleet::Incarnation;
use bramblewharf_policy::register::{Lasting, PhaseOf};
use bramblewharf_policy::say::{Ask, Leave, Stands};
use bramblewharf_policy::{Digest, Entry, Kept, Phase, Revision, Say, Stamp};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn digest(byte: u8) -> Digest {
    Digest([byte; 16])
}

fn ballot() -> Ballot {
    Ballot { round: 300, seat: 2, incarnation: Incarnation(70_000) }
}

fn stamp() -> Stamp {
    Stamp { term: ballot(), number: 5 }
}

fn entry() -> Entry {
    Entry {
        phase: PhaseOf(Phase(7)),
        now: digest(0x11),
        next: Some(digest(0x22)),
        loose: vec![digest(0x33), digest(0x44)],
    }
}

fn revision() -> Revision {
    Revision {
        number: 9,
        before: digest(0x55),
        author: "ops".into(),
        reason: "why".into(),
        text: "x=2".into(),
    }
}

#[track_caller]
fn assert_message(message: Say, bytes: &str) {
    assert_eq!(hex(&message.write()), bytes);
    assert_eq!(Say::read(&message.write()), Some(message));
}

#[test]
fn messages_between_seats_keep_their_bytes() {
    assert_message(Say::Read(ballot()), "00ac0202f0a204");
    assert_message(
        Say::Has { term: ballot(), knows: true, stored: Some((stamp(), entry())) },
        "01ac0202f0a2040101ac0202f0a204050711111111111111111111111111111111012222222222222222222222222222\
         2222023333333333333333333333333333333344444444444444444444444444444444",
    );
    assert_message(
        Say::Write(stamp(), entry()),
        "02ac0202f0a2040507111111111111111111111111111111110122222222222222222222222222222222023333333333\
         333333333333333333333344444444444444444444444444444444",
    );
    assert_message(Say::Written(stamp()), "03ac0202f0a20405");
    assert_message(Say::Old { later: ballot() }, "04ac0202f0a204");
}

#[test]
fn messages_that_carry_revisions_keep_their_bytes() {
    assert_message(Say::Get { digest: digest(0x66), from: 900 }, "05666666666666666666666666666666668407");
    assert_message(
        Say::Piece { digest: digest(0x66), from: 900, whole: 1200, bytes: vec![1, 2, 3] },
        "06666666666666666666666666666666668407b00903010203",
    );
}

#[test]
fn messages_of_gateways_keep_their_bytes() {
    let ask = Ask {
        number: 400,
        phase: Some(Phase(6)),
        falls_back: vec![digest(0x77)],
        verdict: Some((digest(0x88), Some("no".into()))),
    };
    assert_message(
        Say::Ask(ask),
        "07900301060177777777777777777777777777777777018888888888888888888888888888888801026e6f",
    );
    let leave = Leave {
        number: 400,
        phase: Phase(7),
        now: digest(0x11),
        next: Some(digest(0x22)),
        check: Some(digest(0x88)),
    };
    assert_message(
        Say::Leave(leave),
        "089003071111111111111111111111111111111101222222222222222222222222222222220188888888888888888888\
         888888888888",
    );
    assert_message(Say::NotNow { number: 400, keeper: Some(1) }, "0990030101");
}

#[test]
fn messages_of_operators_keep_their_bytes() {
    assert_message(
        Say::Offer { digest: digest(0x88), wait_ms: 2500 },
        "0a88888888888888888888888888888888c413",
    );
    assert_message(Say::Withdraw(digest(0x88)), "0b88888888888888888888888888888888");
    assert_message(Say::Asks, "0c");
    let stands = Stands {
        keeper: Some(1),
        phase: Phase(7),
        number: 9,
        now: digest(0x11),
        next: Some(digest(0x22)),
        proposal: Some(digest(0x88)),
        waits_for: vec![3, 200],
        last: Some((digest(0x99), Some("late".into()))),
    };
    assert_message(
        Say::Stands(stands),
        "0d0101070911111111111111111111111111111111012222222222222222222222222222222201888888888888888888\
         888888888888880203c801019999999999999999999999999999999901046c617465",
    );
}

#[test]
fn a_stored_file_keeps_its_bytes() {
    let seat = Lasting { promised: Some(ballot()), stored: Some((stamp(), entry())) };
    let kept = Kept { seat: Some(seat), alone: vec![digest(0x11)], revisions: vec![revision()] };
    let bytes = kept.write(300);
    assert_eq!(
        hex(&bytes),
        "6277706f6c69637901002c01000000000000820000000101ac0202f0a20401ac0202f0a2040507111111111111111111\
         111111111111110122222222222222222222222222222222023333333333333333333333333333333344444444444444\
         4444444444444444440111111111111111111111111111111111010955555555555555555555555555555555036f7073\
         0377687903783d3261185ba8bf1f027a43910e75c192b248"
    );
    assert_eq!(Kept::read(&bytes), Ok((300, kept)));
}

#[test]
fn a_revision_keeps_its_digest() {
    assert_eq!(hex(&revision().write()), "0955555555555555555555555555555555036f70730377687903783d32");
    assert_eq!(revision().digest().to_string(), "425e0e34c61eab26f5dc630d6e1de458");
}
