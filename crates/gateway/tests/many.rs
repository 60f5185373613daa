//! Many gateway processes at once, against counting stand-ins.

mod common;
use bramblewharf_standins::{answer, unused_address, Engine};
use common::program::*;
use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The gateways of one fleet, each with its own configuration file, address and number.
struct Fleet {
    addresses: Vec<SocketAddr>,
    files: Vec<PathBuf>,
    programs: Vec<Option<GatewayProcess>>,
}

impl Fleet {
    fn new(name: &str, count: usize, configuration: &Value) -> Fleet {
        // All listeners stay open until each gateway has an address, so that the system assigns none twice.
        let listeners: Vec<_> =
            (0..count).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let file = |at: usize| {
            let mut own = configuration.clone();
            own["listen"] = json!(addresses[at].to_string());
            own["settings"]["balancers"] = json!(count);
            own["settings"]["rank"] = json!(at);
            let file = temporary_path(&format!("{name}-{count}-{at}.json"));
            std::fs::write(&file, own.to_string()).unwrap();
            file
        };
        let files = (0..count).map(file).collect();
        Fleet { addresses, files, programs: (0..count).map(|_| None).collect() }
    }

    /// Starts the gateway as a fresh process, after killing the one under that number.
    fn start(&mut self, at: usize) {
        self.programs[at] = None;
        self.programs[at] = Some(GatewayProcess::start(&self.files[at]));
    }

    /// Starts all gateways at once and returns how long each took to become ready.
    fn start_all(&mut self) -> Vec<Duration> {
        let began = Instant::now();
        (0..self.files.len()).for_each(|at| self.programs[at] = None);
        (0..self.files.len()).for_each(|at| self.start(at));
        self.addresses
            .iter()
            .map(|address| {
                while began.elapsed() < Duration::from_secs(30) {
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        stream.write_all(b"GET /status/live HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
                        assert_eq!(Response::read(&mut BufReader::new(stream)).status, 200);
                        return began.elapsed();
                    }
                    std::thread::yield_now();
                }
                panic!("not ready");
            })
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

fn ask(address: SocketAddr, id: u64) -> Response {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(call("read", id, 60_000, "").as_bytes()).unwrap();
    Response::read_final(&mut BufReader::new(stream))
}

/// Twenty gateways that are killed and started at once, with the name service down and no gossip, are ready
/// within 10 s (nine in ten of them at least), and ready means that they serve.
#[test]
fn restarted_gateways_are_ready_and_serve_without_name_service_and_gossip() {
    let engine = Engine::healthy();
    let mut configuration = configuration(&[engine.address]);
    configuration["names"] = json!(unused_address().to_string());
    // Capacity must not limit this test.
    configuration["settings"]["domain"]["sizeCores"] = json!([10_000]);
    let mut fleet = Fleet::new("ready", 20, &configuration);
    for round in 0..2 {
        let durations = fleet.start_all();
        let ready_in_time = durations.iter().filter(|duration| **duration < Duration::from_secs(10)).count();
        assert!(ready_in_time >= 18, "round {round}: {durations:?}");
        for (at, address) in fleet.addresses.iter().enumerate() {
            assert_eq!(ask(*address, (100 * round + at) as u64).status, 200, "gateway {at}");
        }
    }
}

/// All gateways together send a cold engine no more than its slow-start limit allows (plus twice the square
/// root of that and two more), while gateways are killed and restarted; and the engine is used.
#[test]
fn twenty_and_thirty_gateways_do_not_overload_a_cold_engine() {
    const WORK: f64 = 0.1;
    const COLD: Duration = Duration::from_secs(6);
    for count in [20, 30] {
        let times = Arc::new(Mutex::new(Vec::new()));
        let seen = times.clone();
        let run = |call: &bramblewharf_standins::Call| {
            if call.method == "POST" {
                // The simulated work.
                std::thread::sleep(Duration::from_millis(50));
            }
            answer(200, "Page-Count: 1\r\nWork-Ms: 100\r\nPeak-Mb: 1\r\n", b"done\n")
        };
        let cold = Engine::start(move |call| {
            if call.method == "POST" {
                seen.lock().unwrap().push(Instant::now());
            }
            run(call)
        });
        let warm = Engine::start(run);
        let mut configuration = configuration(&[cold.address, warm.address]);
        let settings = &mut configuration["settings"];
        settings["domain"]["sizeCores"] = json!([16]);
        settings["profiles"][0]["promiseUs"] = json!(200_000);
        settings["rules"] = json!({"coldUs": COLD.as_micros() as u64, "tipAfterUs": 1_000_000, "startCapacity": 0.3,
            "fallMultiple": 2.0});
        let window = Duration::from_secs(1);
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        configuration["known"]["items"][0]["roster"]["members"][0]["up_since_ms"] = json!(started);
        let mut fleet = Fleet::new("cold", count, &configuration);
        fleet.start_all();
        let until = Instant::now() + Duration::from_secs(4);
        // Each gateway has a client that calls again at once; some gateways are killed meanwhile and restart.
        let clients: Vec<_> = fleet
            .addresses
            .clone()
            .into_iter()
            .enumerate()
            .map(|(at, address)| {
                std::thread::spawn(move || {
                    for n in 0.. {
                        if Instant::now() > until {
                            return;
                        }
                        // A gateway that is being killed does not answer.
                        if let Ok(mut stream) = TcpStream::connect(address) {
                            let id = (at * 1_000_000 + n) as u64;
                            let _ = stream.write_all(call("read", id, 60_000, "").as_bytes());
                            let _ = bramblewharf_standins::read_message(&mut BufReader::new(stream));
                        }
                    }
                })
            })
            .collect();
        // Restart one after another, so that each is killed once or twice while the engine is cold.
        let (began, mut at) = (Instant::now(), 0);
        while Instant::now() < until {
            if began.elapsed() > Duration::from_millis(100) * at as u32 {
                fleet.start(at % count);
                at += 1;
            }
            std::thread::yield_now();
        }
        clients.into_iter().for_each(|client| client.join().unwrap());
        let times = times.lock().unwrap();
        let allowed = 16.0 * 0.85 * 0.3 * 2.0 * window.as_secs_f64() / WORK;
        let within = |from: &Instant| times.iter().filter(|at| *at >= from && **at < *from + window).count();
        let most = times.iter().map(within).max().unwrap_or(0);
        println!(
            "{count} processes, {at} restarts: {} sent, {most} in one window of {allowed:.0} allowed",
            times.len()
        );
        assert!(most as f64 <= allowed + 2.0 * allowed.sqrt() + 2.0, "{count}: {most} of {allowed}");
        assert!(times.len() > 10, "{count}: the cold engine was hardly used, {}", times.len());
    }
}
