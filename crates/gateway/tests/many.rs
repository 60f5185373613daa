//! Many processes of the program at once, against stand-ins that count.

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

/// Gateways of one fleet: each with its own file, address and number.
struct Fleet {
    addresses: Vec<SocketAddr>,
    files: Vec<PathBuf>,
    programs: Vec<Option<GatewayProcess>>,
}

impl Fleet {
    fn new(name: &str, count: usize, configuration: &Value) -> Fleet {
        // All are held until each has its own: the machine gives none twice.
        let held: Vec<_> = (0..count).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<SocketAddr> = held.iter().map(|held| held.local_addr().unwrap()).collect();
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

    /// From nothing, whatever ran under that number before.
    fn start(&mut self, at: usize) {
        self.programs[at] = None;
        self.programs[at] = Some(GatewayProcess::start(&self.files[at]));
    }

    /// How long each took until it said that it is ready, all of them started at once.
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

/// Twenty gateways killed and started at once, with a name service that is down and no word from one another, are ready within 10 s,
/// nine in ten of them at least, and ready means that they serve.
#[test]
fn restarted_gateways_are_ready_and_serve_though_nobody_answers_them() {
    let engine = Engine::healthy();
    let mut configuration = configuration(&[engine.address]);
    configuration["names"] = json!(unused_address().to_string());
    // Capacity is no matter here.
    configuration["settings"]["domain"]["sizeCores"] = json!([10_000]);
    let mut fleet = Fleet::new("ready", 20, &configuration);
    for round in 0..2 {
        let took = fleet.start_all();
        let in_time = took.iter().filter(|took| **took < Duration::from_secs(10)).count();
        assert!(in_time >= 18, "round {round}: {took:?}");
        for (at, address) in fleet.addresses.iter().enumerate() {
            assert_eq!(ask(*address, (100 * round + at) as u64).status, 200, "gateway {at}");
        }
    }
}

/// What all gateways together send an engine that has just started stays within what it stands, twice its root and two more, with
/// gateways that are killed and start again meanwhile; and the engine is used.
#[test]
fn twenty_and_thirty_gateways_keep_to_what_a_cold_engine_stands() {
    const WORK: f64 = 0.1;
    const COLD: Duration = Duration::from_secs(6);
    for count in [20, 30] {
        let times = Arc::new(Mutex::new(Vec::new()));
        let seen = times.clone();
        let run = |call: &bramblewharf_standins::Call| {
            if call.method == "POST" {
                // What the work takes.
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
        // Each gateway has a client that asks again at once; some are killed meanwhile and start from nothing.
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
                        // A gateway that is being killed answers nothing.
                        if let Ok(mut stream) = TcpStream::connect(address) {
                            let id = (at * 1_000_000 + n) as u64;
                            let _ = stream.write_all(call("read", id, 60_000, "").as_bytes());
                            let _ = bramblewharf_standins::read_message(&mut BufReader::new(stream));
                        }
                    }
                })
            })
            .collect();
        // One after another, so that each is killed once or twice while the engine is cold.
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
            "{count} processes, {at} restarts: {} sent, {most} in a window of {allowed:.0}",
            times.len()
        );
        assert!(most as f64 <= allowed + 2.0 * allowed.sqrt() + 2.0, "{count}: {most} of {allowed}");
        assert!(times.len() > 10, "{count}: a cold engine left empty is a loss too, {}", times.len());
    }
}
