//! Starts of engines that the name service tells by the clocks of their machines, while those clocks and the
//! gateway's may have been stepped: an engine that starts is cold for as long as the settings say, no shorter
//! and no longer.

mod common;
use bramblewharf_standins::{answer, Engine};
use common::name_service::*;
use common::*;
use serde_json::json;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
const COLD: Duration = Duration::from_millis(1500);
const WINDOW: Duration = Duration::from_millis(500);
/// A window is so much longer on sockets.
const WINDOW_SLACK: Duration = Duration::from_millis(50);
/// A change of the list is told this long after it happened at the latest.
const TOLD_WITHIN: Duration = Duration::from_millis(1500);
const CORES: f64 = 8.0;
const START_CAPACITY: f64 = 0.3;
const FALL_MULTIPLE: f64 = 2.0;
/// Seconds of work of a statement, as the engines tell it.
const WORK: f64 = 0.1;
/// Clients that send one statement after another.
const CLIENTS: u64 = 24;

/// Whose wall clock is ahead, by how many milliseconds.
#[derive(Clone, Copy, Debug)]
struct Steps {
    engine: i64,
    gateway: i64,
}

/// The Unix time by a clock that is ahead.
fn unix_time(ahead_ms: i64) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let step = Duration::from_millis(ahead_ms.unsigned_abs());
    if ahead_ms < 0 {
        now - step
    } else {
        now + step
    }
}

/// When an engine got its statements.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn engine() -> (Engine, Arrivals) {
    let arrivals = Arrivals::default();
    let seen = arrivals.clone();
    let engine = Engine::start(move |call| {
        if call.method == "POST" {
            seen.lock().unwrap().push(Instant::now());
            // The simulated work, on two threads.
            std::thread::sleep(Duration::from_secs_f64(WORK / 2.0));
        }
        answer(200, "Page-Count: 1\r\nWork-Ms: 100\r\nPeak-Mb: 1\r\n", b"done\n")
    });
    (engine, arrivals)
}

/// What a cold engine withstands within a window, with what chance may add.
fn limit() -> f64 {
    let n = FALL_MULTIPLE * START_CAPACITY * CORES * WINDOW.as_secs_f64() / WORK;
    n + if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 }
}

fn fullest_window(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        arrivals.iter().filter(|at| *at >= from && **at < *from + WINDOW - WINDOW_SLACK).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Clients that send one statement after another until this time.
fn send_statements(gateway: &TestGateway, until: Instant) {
    let streams: Vec<TcpStream> = (0..CLIENTS).map(|_| gateway.connect()).collect();
    std::thread::scope(|scope| {
        for (client, stream) in streams.into_iter().enumerate() {
            scope.spawn(move || {
                let mut read = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut write = stream;
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let call = call("read", client as u64 * 1_000_000 + number, 10_000, "");
                    std::io::Write::write_all(&mut write, call.as_bytes()).unwrap();
                    Response::read_final(&mut read);
                }
            });
        }
    });
}

/// An engine joins another one that has been up for long. It must get no more than a cold one withstands while
/// it is cold, and is used like the other one afterwards.
fn check_engine_that_joins(steps: Steps) {
    let ((old, of_old), (new, of_new)) = (engine(), engine());
    let old_record = EngineRecord::ready("e0", old.address);
    let listed = ListedEngines::start(vec![old_record.clone()]);
    let mut configuration = configuration(&[old.address]);
    configuration["names"] = json!(listed.address.to_string());
    let settings = &mut configuration["settings"];
    settings["balancers"] = json!(1);
    settings["profiles"][0]["promiseUs"] = json!(200_000);
    settings["rules"] = json!({"coldUs": COLD.as_micros() as u64, "tipAfterUs": WINDOW.as_micros() as u64,
        "startCapacity": START_CAPACITY, "fallMultiple": FALL_MULTIPLE});
    let gateway = TestGateway::start_at(&configuration, unix_time(steps.gateway));
    // A gateway sends nothing to an engine that may be cold before what an earlier process sent has left the
    // window.
    send_statements(&gateway, Instant::now() + WINDOW);
    let started_at = Instant::now();
    let started_ms = unix_time(steps.engine).as_millis() as u64;
    let new_record = EngineRecord { started_ms, ..EngineRecord::ready("e1", new.address) };
    listed.tell(vec![old_record, new_record]);
    let warm_from = started_at + TOLD_WITHIN + COLD;
    send_statements(&gateway, warm_from + WINDOW);
    let arrivals = of_new.lock().unwrap().clone();
    let cold: Vec<Instant> = arrivals.iter().copied().filter(|at| *at < started_at + COLD).collect();
    let most = fullest_window(&cold);
    assert!(most as f64 <= limit(), "{steps:?}: {most} within {WINDOW:?}, it withstands {:.0}", limit());
    assert!(most > 4, "{steps:?}: it gets {most} while it is cold");
    let after = |arrivals: &[Instant]| arrivals.iter().filter(|at| **at >= warm_from).count();
    let (to_new, to_old) = (after(&arrivals), after(&of_old.lock().unwrap()));
    assert!(to_new * 3 > to_old, "{steps:?}: {to_new} and {to_old} statements once it is warm");
}

/// Guards against a cold time that ends at a time of another machine's clock: the engine was pushed over, as
/// it counted as warm at once.
#[test]
fn an_engine_whose_clock_was_stepped_back_is_not_overloaded_while_it_is_cold() {
    check_engine_that_joins(Steps { engine: -HOUR_MS, gateway: 0 });
    check_engine_that_joins(Steps { engine: -3_000, gateway: 0 });
}

/// Guards against the same on the other side: the engine stayed cold for as long as its clock was ahead.
#[test]
fn an_engine_whose_clock_is_ahead_is_in_use_once_its_cold_time_is_over() {
    check_engine_that_joins(Steps { engine: HOUR_MS, gateway: 0 });
}

/// Guards against the same by the step of the gateway's clock before its start: each engine that starts counted
/// as warm at once, or stayed cold.
#[test]
fn a_gateway_whose_clock_is_wrong_treats_engines_that_start_as_others_do() {
    check_engine_that_joins(Steps { engine: 0, gateway: HOUR_MS });
    check_engine_that_joins(Steps { engine: 0, gateway: -HOUR_MS });
}
