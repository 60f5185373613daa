//! After a pause of its process, a gateway reads what arrived meanwhile before it applies any timeout.

use bramblewharf_rig::soak::client::{ClientBehavior, USUAL_DISCONNECT_PERCENT};
use bramblewharf_rig::soak::engine::Mode;
use bramblewharf_rig::soak::faults::Fault;
use bramblewharf_rig::soak::gateways::{Exit, Gateway};
use bramblewharf_rig::soak::Fleet;
use bramblewharf_standins::read_message;
use serde_json::Value;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn send_request(address: SocketAddr, call: &str) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(10_000 * MS)).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    BufReader::new(stream)
}

fn answer(from: &mut BufReader<TcpStream>) -> (String, Value) {
    let (first, _, body) = read_message(from).expect("an answer");
    (first, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// A client whose connection closed polls again in time, during a pause of the process; when the process
/// resumes, more time has passed than a client may take between two polls.
#[test]
fn a_client_that_polls_during_a_pause_gets_its_answer() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 1, 2, program).unwrap();
    fleet.inject(Fault::Engine { engine: 0, mode: Mode::Slow(2800 * MS), lasts: 60_000 * MS }).unwrap();
    let address = fleet.gateways[0].address;
    let text = "SELECT note FROM sales_1.orders";
    let call = format!(
        "POST /svc/once HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 00000000000000ab\r\nX-Deadline-Ms: 6000\r\n\
         X-Org: acme\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    let mut first = send_request(address, &call);
    let (_, body) = answer(&mut first);
    let path = body["link"].as_str().expect("a poll path").to_string();
    drop(first);
    // Engines end statements that nobody polls for 2 s; the pause alone is shorter.
    fleet.run(900 * MS).unwrap();
    fleet.gateways.iter_mut().for_each(Gateway::pause);
    fleet.run(100 * MS).unwrap();
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut again = send_request(address, &get(&path));
    fleet.run(1250 * MS).unwrap();
    fleet.gateways.iter_mut().for_each(Gateway::resume);
    let last = loop {
        let (status, body) = answer(&mut again);
        match body["link"].as_str() {
            Some(path) => again.get_mut().write_all(get(path).as_bytes()).unwrap(),
            None => break (status, body),
        }
    };
    assert!(last.0.contains(" 200 ") && last.1["values"].is_array(), "{last:?}");
}

/// SIGTERM arrives during a pause, which does not delay the SIGKILL.
#[test]
fn a_process_terminated_during_a_pause_ends_in_time() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 2, 2, program).unwrap();
    let clients = vec![fleet.clients(0, 8, 20 * MS)];
    fleet.run(500 * MS).unwrap();
    fleet.gateways[0].pause();
    fleet.run(100 * MS).unwrap();
    fleet.gateways[0].terminate();
    fleet.run(1500 * MS).unwrap();
    fleet.gateways[0].resume();
    fleet.run(3000 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    let first = records.gateways[0].runs[0].ended.map(|(_, exit)| exit);
    assert_eq!(first, Some(Exit::Terminated(Some(0))));
    let found: Vec<String> = records.judge().iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against a request that waited through two pauses, of which only the second is excluded from its
/// timeout.
#[test]
fn both_of_two_pauses_in_a_row_are_excluded_from_timeouts() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    let mut fleet = Fleet::start(1, 1, 4, program).unwrap();
    let clients = vec![fleet.clients(0, 60, 20 * MS)];
    fleet.run(1000 * MS).unwrap();
    for _ in 0..4 {
        for _ in 0..2 {
            fleet.gateways[0].pause();
            fleet.run(400 * MS).unwrap();
            fleet.gateways[0].resume();
            // Long enough to resume, too short to read everything that arrived.
            fleet.run(4 * MS).unwrap();
        }
        fleet.run(600 * MS).unwrap();
    }
    let records = fleet.finish(clients).unwrap();
    let found: Vec<String> = records.judge().iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against actions that are decided before a pause and performed after it: with many short pauses,
/// every rule holds while engines drain and clients disconnect.
#[test]
fn a_process_with_many_short_pauses_keeps_the_rules() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    // With second copies allowed, and forbidden.
    for seed in [4, 5] {
        with_short_pauses(seed, 60, USUAL_DISCONNECT_PERCENT, program);
    }
}

/// Guards against executions for clients whose disconnect arrived during a pause and has not been read yet, and
/// against deadlines that count from after a pause.
#[test]
fn nothing_is_sent_for_clients_that_disconnect_during_many_short_pauses() {
    let program = Path::new(env!("CARGO_BIN_EXE_bramblewharf-rig"));
    for seed in [8, 9] {
        with_short_pauses(seed, 20, 50, program);
    }
}

fn with_short_pauses(seed: u64, count: usize, disconnect_percent: u32, program: &Path) {
    let mut fleet = Fleet::start(1, 4, seed, program).unwrap();
    let behavior = ClientBehavior { count, mean_interval: 20 * MS, disconnect_percent };
    let clients = vec![fleet.clients_of(0, behavior)];
    fleet.run(800 * MS).unwrap();
    for round in 0..24u32 {
        if round % 6 == 2 {
            let engine = (round / 6) as usize;
            fleet.inject(Fault::Drain { engine, ends_after: 2000 * MS }).unwrap();
        }
        fleet.gateways[0].pause();
        fleet.run((100 + round % 5 * 40) * MS).unwrap();
        fleet.gateways[0].resume();
        fleet.run((2 + round % 7 * 12) * MS).unwrap();
    }
    fleet.run(800 * MS).unwrap();
    let records = fleet.finish(clients).unwrap();
    let found: Vec<String> = records.judge().iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "seed {seed}: {found:#?}");
}
