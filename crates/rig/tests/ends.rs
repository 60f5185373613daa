//! After SIGTERM a process ends before the earliest documented SIGKILL, whatever its engines do.

use bramblewharf_rig::soak::engine::Mode;
use bramblewharf_rig::soak::faults::Fault;
use bramblewharf_rig::soak::gateways::{Exit, KILL_AFTER_TERM};
use bramblewharf_rig::soak::Fleet;
use bramblewharf_standins::read_message;
use serde_json::Value;
use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Guards against a gateway that still runs at SIGKILL, 3.7 s after SIGTERM (soak seed 426 with engines that
/// read late, machine late by 7 ms at most). Its budgets of 3.3 s for statements, 0.25 s for answers that
/// nobody polls and 0.1 s for connections that nobody closes left 0.05 s for the rest. Here an answer is
/// never polled, and a process that still runs at 3.61 s is paused for 95 ms, so that a shutdown that needs
/// the last 90 ms fails.
#[test]
fn a_process_with_an_answer_that_nobody_polls_ends_in_time() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 1, 2, program).unwrap();
    fleet.inject(Fault::Engine { engine: 0, mode: Mode::Slow(400 * MS), lasts: 60_000 * MS }).unwrap();
    // These clients send requests on their open connections until the process ends.
    let clients = vec![fleet.clients(0, 8, 20 * MS)];
    fleet.run(500 * MS).unwrap();
    let text = "SELECT note FROM sales_1.orders";
    let call = format!(
        "POST /svc/once HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 00000000000000ab\r\nX-Deadline-Ms: 1200\r\n\
         X-Org: acme\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    fleet.gateways[0].terminate();
    fleet.run(2000 * MS).unwrap();
    let idle = TcpStream::connect(fleet.gateways[0].address).unwrap();
    let mut client = TcpStream::connect(fleet.gateways[0].address).unwrap();
    client.write_all(call.as_bytes()).unwrap();
    // The client receives a poll path and does not use it.
    let mut reader = BufReader::new(client);
    let (_, _, body) = read_message(&mut reader).expect("an answer");
    let answer: Value = serde_json::from_slice(&body).unwrap();
    assert!(answer["link"].is_string(), "{answer}");
    let terminated = fleet.gateways[0].runs[0].terminated_at.unwrap();
    fleet.run((terminated + 3610 * MS).saturating_duration_since(Instant::now())).unwrap();
    fleet.gateways[0].pause();
    std::thread::sleep(95 * MS);
    fleet.gateways[0].resume();
    fleet.run(KILL_AFTER_TERM - 3200 * MS).unwrap();
    drop((reader, idle));
    let records = fleet.finish(clients).unwrap();
    let ended = records.gateways[0].runs[0].ended.map(|(at, exit)| (at - terminated, exit));
    println!("{ended:?}");
    assert!(matches!(ended, Some((_, Exit::Terminated(Some(0))))), "{ended:?}");
}

#[test]
fn a_process_whose_engines_are_stopped_ends_in_time() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    for wait in [0, 300, 900, 1400] {
        let mut fleet = Fleet::start(1, 2, 2, program).unwrap();
        let clients = vec![fleet.clients(0, 12, 20 * MS)];
        fleet.run(400 * MS).unwrap();
        fleet.gateways[0].terminate();
        fleet.run(MS * wait).unwrap();
        for engine in 0..2 {
            fleet.inject(Fault::Engine { engine, mode: Mode::Stopped, lasts: 60_000 * MS }).unwrap();
        }
        fleet.run(KILL_AFTER_TERM + 100 * MS).unwrap();
        let records = fleet.finish(clients).unwrap();
        let life = &records.gateways[0].runs[0];
        let ended = life.ended.map(|(at, exit)| (at - life.terminated_at.unwrap(), exit));
        println!("{wait}: {ended:?}");
        assert!(
            matches!(ended, Some((_, Exit::Terminated(Some(0))))),
            "engines stopped {wait} ms after: {ended:?}"
        );
    }
}
