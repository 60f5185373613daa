//! Races in which an answer or a cancel is still owed: clients that disconnect, cancels that fail, shutdowns,
//! silent name services. Each test forces the bad order of events.

mod common;
use bramblewharf_gateway::config;
use bramblewharf_gateway::discovery::{ListUpdate, NameServiceClient};
use bramblewharf_standins::{answer, Engine, Reply, TEST_TIMEOUT};
use common::name_service::*;
use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Nothing is started for a client later than this after it has disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

/// Only one attempt in flight, and executions time out after 100 ms: the SLO of 10 ms is far below that
/// minimum.
fn one_at_a_time(engines: &[SocketAddr]) -> Value {
    let mut configuration = configuration(engines);
    configuration["settings"]["allowed"]["secondCopies"] = json!(false);
    for at in 0..3 {
        configuration["settings"]["profiles"][at]["promiseUs"] = json!(10_000);
    }
    configuration
}

fn delete_count(engine: &Engine) -> usize {
    engine.calls.0.lock().unwrap().iter().filter(|call| call.method == "DELETE").count()
}

/// A cancel whose connection failed may not have arrived: if only one execution may be in flight, the next
/// waits for a cancel that certainly did.
#[test]
fn a_failed_cancel_is_retried_before_the_next_execution_goes_out() {
    let failing = Engine::start({
        let broken = Mutex::new(0);
        move |call| match call.method.as_str() {
            "DELETE" => {
                let mut broken = broken.lock().unwrap();
                *broken += 1;
                if *broken < 3 {
                    Reply::Reset
                } else {
                    answer(204, "", b"")
                }
            }
            _ => answer(202, "", b""),
        }
    });
    let calls = failing.calls.clone();
    let healthy = Engine::start(move |call| {
        let known = calls.0.lock().unwrap().iter().filter(|call| call.method == "DELETE").count();
        assert!(call.method != "POST" || known == 3, "sent after {known} cancels");
        answer(200, "Page-Count: 1\r\n", format!("{known}\n").as_bytes())
    });
    let served = TestGateway::start(&one_at_a_time(&[healthy.address, failing.address]));
    assert_eq!(served.ask(&call("read", 1, 60_000, "")).body, json!({"values": [["3"]]}));
    assert_eq!((failing.post_count(), healthy.post_count()), (1, 1));
}

/// A statement that was sent on a connection that fell silent may still be in transit when the engine does
/// not know it.
#[test]
fn a_statement_that_may_be_in_transit_is_not_sent_concurrently() {
    let late = Engine::start({
        let asked = Mutex::new(0);
        move |call| match call.method.as_str() {
            "POST" => Reply::Silent,
            "GET" => {
                let mut asked = asked.lock().unwrap();
                *asked += 1;
                if *asked == 1 {
                    answer(500, "", b"")
                } else {
                    answer(200, "Page-Count: 1\r\n", b"late\n")
                }
            }
            _ => answer(204, "", b""),
        }
    });
    let healthy = Engine::healthy();
    let mut configuration = one_at_a_time(&[healthy.address, late.address]);
    configuration["settings"]["profiles"][0]["promiseUs"] = json!(400_000);
    let served = TestGateway::start(&configuration);
    assert_eq!(served.ask(&call("read", 1, 60_000, "")).body, json!({"values": [["late"]]}));
    assert_eq!((late.post_count(), healthy.post_count()), (1, 0));
}

/// The engine answers other calls but has not read the statement, and may do so at any time. The next attempt
/// goes out only once the engine shows that it had the first one and has ended it.
#[test]
fn a_statement_that_its_engine_has_not_read_is_not_sent_concurrently() {
    for reads_after in [Some(4), None] {
        let late = Engine::start({
            let asked = Mutex::new(0);
            move |call| match call.method.as_str() {
                "POST" => Reply::Silent,
                "GET" => {
                    let mut asked = asked.lock().unwrap();
                    *asked += 1;
                    match reads_after {
                        Some(calls) if *asked > calls => answer(202, "", b""),
                        _ => answer(500, "", b""),
                    }
                }
                _ => answer(204, "", b""),
            }
        });
        let calls = late.calls.clone();
        let healthy = Engine::start(move |call| {
            let cancelled = calls.0.lock().unwrap().iter().filter(|call| call.method == "DELETE").count();
            assert!(call.method != "POST" || cancelled > 0, "sent while the other may be read");
            answer(200, "Page-Count: 1\r\n", b"well\n")
        });
        let served = TestGateway::start(&one_at_a_time(&[healthy.address, late.address]));
        let answered = served.ask(&call("read", 1, 3000, ""));
        assert_eq!(
            (late.post_count(), healthy.post_count()),
            (1, usize::from(reads_after.is_some())),
            "{:?}",
            answered.body
        );
        assert_eq!(answered.body["values"].is_array(), reads_after.is_some(), "{:?}", answered.body);
    }
}

/// Guards against giving up every call after 300 ms, however often in a row: an engine that takes 450 ms had
/// each answer dropped just before it arrived, those to cancels too, and was called all the more. Under load
/// a gateway then made 70 executions in 30 s, of which 24 completed, and rejected 4,170 statements for lack
/// of budget while none was open (`open: 0, refusals: {Forbidden(Leave): 4170}, timed_out: 41, asked_again:
/// 93`).
#[test]
fn late_answers_of_a_slow_engine_are_read() {
    const LATE: Duration = Duration::from_millis(450);
    let slow = Engine::start(|call| {
        std::thread::sleep(LATE);
        match call.method.as_str() {
            "POST" => answer(202, "", b""),
            "GET" => answer(200, "Page-Count: 1\r\n", b"late\n"),
            _ => answer(204, "", b""),
        }
    });
    let mut configuration = configuration(&[slow.address]);
    configuration["settings"]["profiles"][0]["promiseUs"] = json!(6_000_000);
    let served = TestGateway::start(&configuration);
    assert_eq!(served.ask(&call("read", 1, 6000, "")).body, json!({"values": [["late"]]}));
}

/// An engine that reports statements as running until a while after the client has disconnected, and then
/// fails them: a statement that may be repeated would be sent to another engine.
struct FailsAfterDisconnect {
    disconnected: Arc<Mutex<Option<Instant>>>,
    engine: Engine,
}

impl FailsAfterDisconnect {
    fn start() -> FailsAfterDisconnect {
        let disconnected = Arc::new(Mutex::new(None::<Instant>));
        let since = disconnected.clone();
        let engine = Engine::start(move |call| match (call.method.as_str(), *since.lock().unwrap()) {
            ("DELETE", _) => answer(204, "", b""),
            (_, Some(disconnected)) if disconnected.elapsed() > DISCONNECT_GRACE => answer(500, "", b""),
            _ => answer(202, "", b""),
        });
        FailsAfterDisconnect { disconnected, engine }
    }

    fn client_disconnects(&self) {
        self.disconnected.lock().unwrap().get_or_insert_with(Instant::now);
    }
}

fn close_with_reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// However clients disconnect, one or many at once, nothing is started for them more than 0.1 s later.
#[test]
fn nothing_starts_for_a_disconnected_client() {
    type Disconnect = fn(TcpStream);
    let ways: [(&str, Disconnect); 4] = [
        ("closes", drop),
        ("resets", close_with_reset),
        ("closes its sending side", |stream| stream.shutdown(Shutdown::Write).unwrap()),
        ("closes behind more than is read", |mut stream| {
            // Only a little is read behind an open call; the rest hides the close.
            let _ = stream.write_all(&[b'x'; 40_000]);
        }),
    ];
    for (what, disconnect) in ways {
        let (healthy, fails) = (Engine::healthy(), FailsAfterDisconnect::start());
        let served = TestGateway::in_front_of(&[healthy.address, fails.engine.address]);
        let streams: Vec<TcpStream> = (0..if what == "closes" { 12 } else { 1 })
            .map(|id| {
                let mut stream = served.connect();
                stream.write_all(call("read", 2 * id + 1, 60_000, "").as_bytes()).unwrap();
                stream
            })
            .collect();
        fails.engine.wait_for_call(|call| call.method == "POST");
        let began = healthy.post_count();
        streams.into_iter().for_each(disconnect);
        fails.client_disconnects();
        fails.engine.wait_for_call(|call| call.method == "DELETE");
        let over = Instant::now();
        while over.elapsed() < 2 * DISCONNECT_GRACE {
            assert!(healthy.post_count() <= began + 6, "{what}");
            std::thread::yield_now();
        }
        let tickets: Vec<String> = [&healthy, &fails.engine]
            .iter()
            .flat_map(|e| e.post_calls())
            .map(|p| p.headers["x-ticket"].clone())
            .collect();
        let mut once = tickets.clone();
        once.sort();
        once.dedup();
        assert_eq!(tickets.len(), once.len(), "{what}: one went out again");
    }
}

/// A client that was given a path and has no call open is not polling: its execution continues, but no new
/// one is started; the client gets an abort when it polls again. A client that polls again in time gets its
/// retry.
#[test]
fn nothing_starts_for_a_client_that_is_not_polling() {
    for comes_back in [false, true] {
        let (healthy, fails) = (Engine::healthy(), FailsAfterDisconnect::start());
        let served = TestGateway::in_front_of(&[healthy.address, fails.engine.address]);
        let mut stream = BufReader::new(served.connect());
        stream.get_mut().write_all(call("read", 1, 60_000, "").as_bytes()).unwrap();
        let path = Response::read(&mut stream).body["link"].as_str().unwrap().to_string();
        drop(stream);
        let again =
            comes_back.then(|| served.ask_in_background(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")));
        fails.client_disconnects();
        let last = match again {
            Some(again) => again.join().unwrap(),
            None => {
                fails.engine.wait_for_call(|call| call.method == "GET" && call.path.ends_with("/0"));
                let before = Instant::now();
                while before.elapsed() < 2 * DISCONNECT_GRACE {
                    std::thread::yield_now();
                }
                let mut answered = served.get("GET", &path);
                while answered.body["link"].is_string() {
                    answered = served.get("GET", &path);
                }
                answered
            }
        };
        assert_eq!((last.status, healthy.post_count()), if comes_back { (200, 1) } else { (503, 0) });
    }
}

/// An engine whose connections are not established until it is told to accept them.
struct LateListener {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl LateListener {
    fn start() -> LateListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        // The system accepts one connection more than the backlog; later ones are retried after a second.
        let within = Duration::from_millis(50);
        let fillers = (0..4).map_while(|_| TcpStream::connect_timeout(&address, within).ok()).collect();
        LateListener { listener, fillers }
    }

    /// Accepts the late connection and returns everything that it carries until its end.
    fn accept_late(self) -> Vec<u8> {
        for _ in 0..self.fillers.len() {
            self.listener.accept().unwrap();
        }
        // It is established a second after the dial began, or not at all.
        self.listener.set_nonblocking(true).unwrap();
        let before = Instant::now();
        let (mut stream, _) = loop {
            match self.listener.accept() {
                Ok(accepted) => break accepted,
                Err(error) => assert!(before.elapsed() < TEST_TIMEOUT, "nobody dials: {error}"),
            }
            std::thread::yield_now();
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        received
    }
}

/// A connection that is established after its client has disconnected carries nothing, even if executions may
/// not be cancelled.
#[test]
fn a_client_that_disconnects_during_the_dial_costs_no_execution() {
    let late = LateListener::start();
    let mut configuration = configuration(&[late.listener.local_addr().unwrap()]);
    configuration["settings"]["allowed"]["mayCancel"] = json!(false);
    configuration["settings"]["allowed"]["dialTimeoutUs"] = json!(20_000_000);
    let served = TestGateway::start(&configuration);
    let mut stream = BufReader::new(served.connect());
    stream.get_mut().write_all(call("once", 1, 60_000, "").as_bytes()).unwrap();
    let path = Response::read(&mut stream).body["link"].as_str().unwrap().to_string();
    assert_eq!(served.get("DELETE", &path).status, 204);
    assert_eq!(String::from_utf8_lossy(&late.accept_late()), "");
}

/// The same for a drain that is announced during the dial: the statement goes elsewhere, as nothing of it was
/// sent.
#[test]
fn a_drain_during_the_dial_sends_the_statement_elsewhere() {
    let (late, healthy) = (LateListener::start(), Engine::healthy());
    let address = late.listener.local_addr().unwrap();
    let mut configuration = configuration(&[healthy.address, address]);
    configuration["settings"]["allowed"]["dialTimeoutUs"] = json!(20_000_000);
    let served = TestGateway::start(&configuration);
    let mut stream = BufReader::new(served.connect());
    stream.get_mut().write_all(call("once", 1, 60_000, "").as_bytes()).unwrap();
    // A path shows that the dial is under way. It is retried a second after it began.
    let path = Response::read(&mut stream).body["link"].as_str().unwrap().to_string();
    let asked = ask_in_background(stream.into_inner(), format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"));
    let mut drained = configuration.clone();
    drained["known"]["no"] = json!(2);
    drained["known"]["items"][0]["roster"]["members"][1]["phase"] = json!("draining");
    served.reload(drained).unwrap();
    assert_eq!(String::from_utf8_lossy(&late.accept_late()), "");
    assert_eq!(asked.join().unwrap().body, json!({"values": [["well", "1", "x"]]}));
}

/// Data in transit to an engine when its client disconnects is not delivered later: the cancel would overtake
/// it.
#[test]
fn data_in_transit_is_not_delivered_after_the_cancel() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // The receive buffer is so small that most of the data stays in the gateway's send buffer.
    socket.set_recv_buffer_size(2048).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(8).unwrap();
    let listener: TcpListener = socket.into();
    let served = TestGateway::in_front_of(&[listener.local_addr().unwrap()]);
    let text = "SELECT note FROM sales_17.orders";
    let long = format!("{text}{}", " ".repeat(60_000));
    let call = call("read", 1, 60_000, "")
        .replace(text, &long)
        .replace("Content-Length: 32", "Content-Length: 60032");
    let mut client = served.connect();
    client.write_all(call.as_bytes()).unwrap();
    let (mut engine, _) = listener.accept().unwrap();
    engine.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut received = vec![0; 1];
    engine.read_exact(&mut received).unwrap();
    drop(client);
    // The cancel shows that the execution has been dropped.
    let (mut cancel, _) = listener.accept().unwrap();
    let mut head = [0; 6];
    cancel.read_exact(&mut head).unwrap();
    assert_eq!(&head, b"DELETE");
    let end = engine.read_to_end(&mut received);
    assert!(end.is_err() && received.len() < 60_000, "{end:?}, {} received", received.len());
}

/// A refused call is answered once, even if the data behind its head can't be parsed as a call.
#[test]
fn a_bad_call_is_answered_once() {
    let engine = Engine::healthy();
    let served = TestGateway::in_front_of(&[engine.address]);
    let good = call("read", 1, 60_000, "");
    for bad in [
        good.replace("Content-Length: 32\r\n", ""),
        good.replace("Content-Length: 32\r\n", "") + &"more and more\r\n\r\n".repeat(20),
        good.replace("X-Org: acme", "X-Org: nobody") + "\x00\x01 nothing\r\n\r\n",
    ] {
        let mut stream = served.connect();
        stream.write_all(bad.as_bytes()).unwrap();
        let mut read = String::new();
        stream.read_to_string(&mut read).unwrap();
        assert_eq!(read.matches("HTTP/1.1 ").count(), 1, "{read}");
        assert!(read.starts_with("HTTP/1.1 400"), "{read}");
    }
    assert_eq!(engine.post_count(), 0);
}

/// A connection in the listen backlog, not accepted yet, is still answered when the gateway shuts down.
#[test]
fn connections_in_the_backlog_are_answered_at_shutdown() {
    let engine = Engine::start(|_| answer(202, "", b""));
    let mut configuration = configuration(&[engine.address]);
    configuration["limits"]["sockets"] = json!(128);
    let clients = config::read(&configuration, None, None).unwrap().bounds.clients;
    let mut served = TestGateway::start(&configuration);
    let mut first = BufReader::new(served.connect());
    first.get_mut().write_all(call("read", 1, 60_000, "").as_bytes()).unwrap();
    let path = Response::read(&mut first).body["link"].as_str().unwrap().to_string();
    let poll = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut held = vec![ask_in_background(first.into_inner(), poll.clone())];
    held.extend((1..clients).map(|_| served.ask_in_background(poll.clone())));
    // With a call open on each connection the bound is reached: this one waits.
    let mut backlogged = served.connect();
    backlogged.write_all(call("read", 2, 60_000, "").as_bytes()).unwrap();
    let closed = served.shut_down();
    let mut read = String::new();
    backlogged.read_to_string(&mut read).unwrap();
    assert!(read.starts_with("HTTP/1.1 503") && read.matches("HTTP/1.1").count() == 1, "{read}");
    for held in held {
        assert_eq!(held.join().unwrap().status, 500);
    }
    closed.join().unwrap();
}

/// An idle client, or one that has sent half a call, sees an orderly end within the bound; what it sends then
/// is not forwarded.
#[test]
fn idle_clients_neither_delay_the_shutdown_nor_see_a_reset() {
    let engine = Engine::healthy();
    let mut configuration = configuration(&[engine.address]);
    for at in 0..3 {
        configuration["settings"]["profiles"][at]["deadlineUs"] = json!(1_000_000);
    }
    let mut served = TestGateway::start(&configuration);
    let mut idle: Vec<BufReader<TcpStream>> = (1..4)
        .map(|id| {
            let mut stream = BufReader::new(served.connect());
            stream.get_mut().write_all(call("read", id, 1000, "").as_bytes()).unwrap();
            assert_eq!(Response::read(&mut stream).status, 200);
            stream
        })
        .collect();
    idle[1].get_mut().write_all(b"POST /svc/read HTTP/1.1\r\nHo").unwrap();
    let began = Instant::now();
    let closed = served.shut_down();
    for stream in &mut idle {
        assert_eq!(stream.read_to_end(&mut Vec::new()).unwrap(), 0);
        let _ = stream.get_mut().write_all(call("read", 9, 1000, "").as_bytes());
    }
    closed.join().unwrap();
    assert!(began.elapsed() < Duration::from_millis(1900), "{:?}", began.elapsed());
    assert_eq!(engine.post_count(), 3);
}

/// A name service that falls silent on one socket is polled from another; one that does not answer at the
/// start is found later.
#[test]
fn a_name_service_silent_on_one_socket_is_polled_from_another() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let names = socket.local_addr().unwrap();
    let engine = Engine::healthy();
    let address = engine.address;
    std::thread::spawn(move || {
        let (mut bytes, mut silent) = ([0; 512], None);
        loop {
            let (length, from) = socket.recv_from(&mut bytes).unwrap();
            if *silent.get_or_insert(from) != from {
                let answer = list_answer(query_id(&bytes[..length]), 5, &[("x", address, 0)]);
                socket.send_to(&answer.to_vec().unwrap(), from).unwrap();
            }
        }
    });
    actix_rt::System::new().block_on(async {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut client = NameServiceClient::start(Some(names), 1, 7, log).unwrap();
        let heard = client.last_confirmed();
        let before = heard.get();
        let update = loop {
            if let ListUpdate::List(known, _) =
                tokio::time::timeout(TEST_TIMEOUT, client.next_update()).await.unwrap()
            {
                break known;
            }
        };
        assert!(update.serial == 5 && heard.get() > before);
    });
}

/// Idle clients may hold all client connections while the name service is silent: once it answers again, the
/// list is read and used.
#[test]
fn idle_clients_affect_neither_the_list_nor_the_service() {
    let healthy = Engine::healthy();
    let address = healthy.address;
    let (names, asked) = name_service(move |number, id| match number {
        0..12 => Vec::new(),
        _ => vec![list_answer(id, 9, &[("x", address, 0)])],
    });
    let mut configuration = configuration(&[]);
    configuration["limits"]["sockets"] = json!(128);
    configuration["names"] = json!(names.to_string());
    let served = TestGateway::start(&configuration);
    let idle: Vec<TcpStream> = (0..300).map(|_| served.connect()).collect();
    while asked.recv_timeout(TEST_TIMEOUT).unwrap() < 14 {}
    assert_eq!(served.ask(&call("read", 1, 60_000, "")).status, 200);
    drop(idle);
}

/// Gateways of different customers in one process share no state: names and positions are those of each one's
/// own settings.
#[test]
fn gateways_of_different_customers_are_isolated() {
    let (ours, theirs) = (Engine::healthy(), Engine::healthy());
    let first = TestGateway::in_front_of(&[ours.address]);
    let mut other = configuration(&[theirs.address]);
    let profiles = other["settings"]["profiles"].as_array_mut().unwrap();
    profiles.reverse();
    profiles[1]["name"] = json!("survey");
    profiles[1]["effect"] = json!("read_like");
    other["settings"]["tenants"] = json!([{"name": "umbra"}, {"name": "acme"}]);
    let second = TestGateway::start(&other);
    let as_umbra = |id| call("survey", id, 60_000, "").replace("X-Org: acme", "X-Org: umbra");
    for id in 0..4 {
        assert_eq!(first.ask(&call("once", id, 60_000, "")).status, 200);
        assert_eq!(second.ask(&as_umbra(id)).status, 200);
        assert_eq!(first.ask(&as_umbra(10 + id)).status, 404);
        assert_eq!(second.ask(&call("once", 20 + id, 60_000, "")).status, 404);
    }
    // Settings that need a restart don't take effect in part, in whatever order they come.
    let mut mixed = other.clone();
    mixed["known"] = configuration(&[ours.address, theirs.address])["known"].clone();
    mixed["known"]["no"] = json!(2);
    first.reload(mixed).unwrap();
    assert_eq!(first.ask(&as_umbra(30)).status, 404);
    assert_eq!(first.ask(&call("load", 31, 60_000, KEY_HEADER)).status, 200);
    assert_eq!(first.ask(&call("load", 32, 60_000, "")).status, 400);
    let queues = |engine: &Engine| -> Vec<String> {
        engine.post_calls().iter().map(|post| post.headers["x-queue"].clone()).collect()
    };
    assert!(queues(&theirs).iter().all(|queue| ["survey", "load"].contains(&queue.as_str())));
    assert!(queues(&ours).iter().all(|queue| ["once", "load"].contains(&queue.as_str())));
    assert_eq!(delete_count(&ours) + delete_count(&theirs), 0);
}
