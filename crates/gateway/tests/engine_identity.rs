//! What a refused connection and an engine's address prove: an engine may refuse connections and run on, and
//! another one may listen at the address of one that is gone.

mod common;
use bramblewharf_standins::{answer, read_message, Call, Engine, Reply, TEST_TIMEOUT};
use common::name_service::*;
use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ROW: &str = "HTTP/1.1 200 X\r\nPage-Count: 1\r\nContent-Length: 6\r\n\r\nfirst\n";

/// Settings under which a statement may have only one execution out.
fn one_at_a_time(engines: &[SocketAddr]) -> Value {
    let mut configuration = configuration(engines);
    configuration["settings"]["allowed"]["secondCopies"] = json!(false);
    configuration["settings"]["profiles"][0]["promiseUs"] = json!(4_000_000);
    configuration
}

/// The next call on this connection, as its first line.
fn next_call(stream: &TcpStream) -> Option<String> {
    Some(read_message(&mut BufReader::new(stream.try_clone().unwrap()))?.0)
}

fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Listens again at an address that was just given up.
fn listen_at(address: SocketAddr) -> TcpListener {
    let began = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) => assert!(began.elapsed() < TEST_TIMEOUT, "{error}"),
        }
        std::thread::yield_now();
    }
}

/// Answers every call until the listener's thread ends with the test.
fn serve_all(listener: TcpListener, answers: impl Fn(&str) -> String + Send + Sync + 'static) {
    let answers = Arc::new(answers);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answers = answers.clone();
            std::thread::spawn(move || {
                let mut write = stream.try_clone().unwrap();
                while let Some(call) = next_call(&stream) {
                    if write.write_all(answers(&call).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Guards against a refused connection taken for the end of the process: an engine that holds as many
/// connections as it accepts got a statement, its connection was reset, and the statement was sent elsewhere
/// while it ran.
#[test]
fn a_statement_is_not_sent_elsewhere_while_its_engine_only_refuses_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let full = listener.local_addr().unwrap();
    let is_running = Arc::new(AtomicBool::new(false));
    let running = is_running.clone();
    let (told, sent_elsewhere) = mpsc::channel();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        next_call(&stream).unwrap();
        running.store(true, SeqCst);
        // From now on connections are refused.
        drop(listener);
        reset(stream);
        // It accepts again once the gateway has been refused for a while, or has given it up.
        let _ = sent_elsewhere.recv_timeout(Duration::from_millis(400));
        running.store(false, SeqCst);
        serve_all(listen_at(full), |_| ROW.into());
    });
    let beside = Arc::new(AtomicBool::new(false));
    let (running, seen) = (is_running.clone(), beside.clone());
    let other = Engine::start(move |call| {
        seen.fetch_or(call.method == "POST" && running.load(SeqCst), SeqCst);
        let _ = told.send(());
        answer(200, "Page-Count: 1\r\n", b"second\n")
    });
    let gateway = TestGateway::start(&one_at_a_time(&[other.address, full]));
    let response = gateway.ask(&call("read", 1, 20_000, ""));
    assert!(!beside.load(SeqCst), "a second execution while the first one runs");
    assert_eq!((response.body, other.post_count()), (json!({"values": [["first"]]}), 0));
}

/// Guards against a refusal taken for a sign that the engine has read what reached it: it has not read the
/// statement yet, refuses connections for a while, and answers then that it does not know it.
#[test]
fn a_statement_that_was_not_read_before_a_refusal_is_not_sent_elsewhere() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let late = listener.local_addr().unwrap();
    let (told, sent_elsewhere) = mpsc::channel();
    std::thread::spawn(move || {
        let (_unread, _) = listener.accept().unwrap();
        let (asked, _) = listener.accept().unwrap();
        next_call(&asked).unwrap();
        drop(listener);
        reset(asked);
        let _ = sent_elsewhere.recv_timeout(Duration::from_millis(200));
        let began = Instant::now();
        serve_all(listen_at(late), move |_| match began.elapsed() < Duration::from_millis(1200) {
            true => "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into(),
            false => ROW.into(),
        });
        // The connection with the unread statement stays.
        let _ = sent_elsewhere.recv_timeout(TEST_TIMEOUT);
    });
    let other = Engine::start(move |_| {
        let _ = told.send(());
        answer(200, "Page-Count: 1\r\n", b"second\n")
    });
    let gateway = TestGateway::start(&one_at_a_time(&[other.address, late]));
    let response = gateway.ask(&call("read", 1, 10_000, ""));
    assert_eq!((response.body, other.post_count()), (json!({"values": [["first"]]}), 0));
}

/// The process of an engine has died: no connection is ever accepted again. The statement goes elsewhere once
/// that has lasted for as long as an execution runs on unasked.
#[test]
fn a_statement_of_an_engine_that_is_gone_is_sent_elsewhere() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = listener.local_addr().unwrap();
    let died = Arc::new(Mutex::new(None::<Instant>));
    let at = died.clone();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        next_call(&stream).unwrap();
        *at.lock().unwrap() = Some(Instant::now());
        drop(listener);
        reset(stream);
    });
    let waited = Arc::new(Mutex::new(None::<Duration>));
    let (at, found) = (died.clone(), waited.clone());
    let other = Engine::start(move |call| {
        if call.method == "POST" {
            *found.lock().unwrap() = at.lock().unwrap().map(|at| at.elapsed());
        }
        answer(200, "Page-Count: 1\r\n", b"second\n")
    });
    let gateway = TestGateway::start(&one_at_a_time(&[other.address, dead]));
    let response = gateway.ask(&call("read", 1, 20_000, ""));
    assert_eq!(response.body, json!({"values": [["second"]]}));
    let waited = waited.lock().unwrap().expect("died first");
    // Engines end what nobody has asked for in 2 s.
    assert!(waited > Duration::from_secs(2), "{waited:?}");
}

const HOUR: Duration = Duration::from_secs(3600);

/// The Unix time of this machine.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// An engine that started at this time by the clock of its machine.
fn started(id: &str, address: SocketAddr, at: Duration) -> EngineRecord {
    EngineRecord { started_ms: at.as_millis() as u64, ..EngineRecord::ready(id, address) }
}

/// An engine gets a statement and ends before it has answered, and a new process listens at its address, as
/// these records of the list say. The statement has to run there once, in time.
fn check_replaced_process(
    gateway_clock: Duration,
    engine: impl FnOnce(SocketAddr) -> EngineRecord,
    replacement: impl FnOnce(SocketAddr) -> EngineRecord + Send + 'static,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let record = engine(address);
    let mut configuration = one_at_a_time(&[address]);
    let member = &mut configuration["known"]["items"][0]["roster"]["members"][0];
    member["up_since_ms"] = json!(record.started_ms);
    let listed = ListedEngines::start(vec![record]);
    configuration["names"] = json!(listed.address.to_string());
    let gateway = TestGateway::start_at(&configuration, gateway_clock);
    // By then the engine counts as warm.
    listed.wait_until_read();
    let calls = Arc::new(Mutex::new(Vec::<String>::new()));
    let seen = calls.clone();
    let replacing = std::thread::spawn(move || {
        // The old engine is silent behind the statement, and ends when it is asked for it.
        let (silent, _) = listener.accept().unwrap();
        next_call(&silent).unwrap();
        let (asked, _) = listener.accept().unwrap();
        next_call(&asked).unwrap();
        drop((listener, silent, asked));
        let known = AtomicBool::new(false);
        serve_all(listen_at(address), move |call| {
            known.fetch_or(call.starts_with("POST"), SeqCst);
            seen.lock().unwrap().push(call.split(' ').next().unwrap().into());
            match known.load(SeqCst) {
                true => ROW.into(),
                false => "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into(),
            }
        });
        listed.tell(vec![replacement(address)]);
        listed
    });
    let response = gateway.ask(&call("read", 1, 6000, ""));
    let _listed = replacing.join().unwrap();
    let calls = calls.lock().unwrap();
    assert_eq!(response.body, json!({"values": [["first"]]}), "{calls:?}");
    assert_eq!(calls.iter().filter(|call| *call == "POST").count(), 1, "{calls:?}");
}

/// Guards against a new engine taken for the one whose address it has: as it did not know the statement that
/// the old one might still read, the statement waited until its time was over.
#[test]
fn a_new_engine_at_an_old_address_is_not_asked_for_what_the_old_one_has() {
    check_replaced_process(
        unix_time(),
        |address| EngineRecord::ready("e0", address),
        |address| EngineRecord::ready("e1", address),
    );
}

/// Guards against the same with a process that has started anew under the id of the old one.
#[test]
fn a_new_process_of_an_engine_is_not_asked_for_what_the_old_one_has() {
    check_replaced_process(
        unix_time(),
        |address| EngineRecord::ready("e0", address),
        |address| started("e0", address, unix_time()),
    );
}

/// Guards against a new process that is never taken for one, as the clock of its machine was stepped back.
#[test]
fn a_new_process_with_an_earlier_start_is_not_asked_for_what_the_old_one_has() {
    check_replaced_process(
        unix_time(),
        |address| started("e0", address, unix_time()),
        |address| started("e0", address, unix_time() - HOUR),
    );
}

/// Guards against the same where the clock of the gateway is ahead.
#[test]
fn a_gateway_whose_clock_is_ahead_asks_no_new_process_for_what_the_old_one_has() {
    check_replaced_process(
        unix_time() + HOUR,
        |address| started("e0", address, unix_time()),
        |address| started("e0", address, unix_time()),
    );
}

/// Guards against a second execution beside the first: the list states another start for a process that goes
/// on, later than the gateway's clock, as the clock of the engine's machine is ahead or the gateway's behind.
#[test]
fn a_process_that_the_list_states_differently_keeps_its_statement() {
    for (gateway_clock, stated) in [(unix_time(), unix_time() + HOUR), (unix_time() - HOUR, unix_time())] {
        let (told, posted) = mpsc::channel();
        let began = Mutex::new(None::<Instant>);
        let slow = Engine::start(move |call| {
            if call.method == "POST" {
                *began.lock().unwrap() = Some(Instant::now());
                told.send(()).unwrap();
            }
            let is_running =
                began.lock().unwrap().is_some_and(|began| began.elapsed() < Duration::from_millis(1500));
            match is_running {
                true => answer(202, "", b""),
                false => answer(200, "Page-Count: 1\r\n", b"first\n"),
            }
        });
        let other = Engine::start(|_| answer(200, "Page-Count: 1\r\n", b"second\n"));
        let list = vec![EngineRecord::ready("e0", other.address), EngineRecord::ready("e1", slow.address)];
        let listed = ListedEngines::start(list.clone());
        let mut configuration = one_at_a_time(&[other.address, slow.address]);
        configuration["names"] = json!(listed.address.to_string());
        let gateway = TestGateway::start_at(&configuration, gateway_clock);
        let asked = ask_in_background(gateway.connect(), call("read", 1, 10_000, ""));
        posted.recv_timeout(TEST_TIMEOUT).unwrap();
        listed.tell(vec![list[0].clone(), started("e1", slow.address, stated)]);
        let response = asked.join().unwrap();
        assert_eq!((response.body, other.post_count()), (json!({"values": [["first"]]}), 0));
        assert_eq!(slow.post_count(), 1);
    }
}

/// With the list as it was, a new process at an engine's address is taken for that engine: it knows nothing of
/// the old one's executions, and what was sent to the old one counts as one that may have run.
#[test]
fn a_new_process_told_of_late_runs_nothing_twice() {
    for workload in ["once", "read"] {
        let posts = Arc::new(Mutex::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let counted = posts.clone();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().unwrap();
            next_call(&stream).unwrap();
            drop(listener);
            reset(stream);
            let known = AtomicBool::new(false);
            serve_all(listen_at(address), move |call| {
                if call.starts_with("POST") {
                    *counted.lock().unwrap() += 1;
                    known.store(true, SeqCst);
                }
                match known.load(SeqCst) {
                    true => ROW.into(),
                    false => "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into(),
                }
            });
        });
        let gateway = TestGateway::start(&one_at_a_time(&[address]));
        let response = gateway.ask(&call(workload, 1, 10_000, ""));
        match workload {
            "once" => assert_eq!((response.status, *posts.lock().unwrap()), (500, 0)),
            _ => assert_eq!((response.body, *posts.lock().unwrap()), (json!({"values": [["first"]]}), 1)),
        }
    }
}

/// An engine that was dropped from the list and refuses is not waited for.
#[test]
fn an_engine_that_the_list_drops_is_not_waited_for() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = listener.local_addr().unwrap();
    let other = Engine::start(|call: &Call| -> Reply {
        assert!(call.method != "CLOSED");
        answer(200, "Page-Count: 1\r\n", b"second\n")
    });
    let both = vec![EngineRecord::ready("e0", other.address), EngineRecord::ready("e1", dead)];
    let listed = ListedEngines::start(both);
    let mut configuration = one_at_a_time(&[other.address, dead]);
    configuration["names"] = json!(listed.address.to_string());
    let other_address = other.address;
    let died = Arc::new(Mutex::new(None::<Instant>));
    let at = died.clone();
    let dropping = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        next_call(&stream).unwrap();
        *at.lock().unwrap() = Some(Instant::now());
        drop(listener);
        reset(stream);
        listed.tell(vec![EngineRecord::ready("e0", other_address)]);
        listed
    });
    let gateway = TestGateway::start(&configuration);
    let response = gateway.ask(&call("read", 1, 20_000, ""));
    let waited = died.lock().unwrap().map(|at| at.elapsed());
    let _listed = dropping.join().unwrap();
    assert_eq!(response.body, json!({"values": [["second"]]}));
    // The list is asked for once a second at the latest.
    assert!(waited.is_some_and(|waited| waited < Duration::from_secs(2)), "{waited:?}");
}
