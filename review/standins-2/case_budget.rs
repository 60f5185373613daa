//! A zone is cut off from the other while long statements run there: is what its gateway has in use given away?

use crate::client::{self, Message};
use crate::engine::{Behaviour, Engine, Plan, Run};
use crate::gateway::{self, Gateway};
use crate::names::{known, Listed, NameService};
use crate::{record, Verdict};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Each has an engine and a gateway, whose statements stay there.
const ZONES: [&str; 2] = ["hall-a", "hall-b"];
/// Statements at once, of the whole fleet.
const WHOLE: usize = 10;
/// What the settings say of the workload, and what the clients of the long statements tell: a figure out of range,
/// which the gateway takes.
const DEADLINE_MS: u64 = 12_000;
const TELLS_MS: u64 = 23_900;
const LONG: Duration = Duration::from_millis(23_000);
const SHORT: Duration = Duration::from_millis(400);
/// How long the zones do not hear each other.
const CUT: Duration = Duration::from_secs(18);
const SLACK: Duration = Duration::from_millis(50);

struct Work;

impl Behaviour for Work {
    fn plan(&self, call: &Message) -> Plan {
        let long = call.body.starts_with(b"SELECT long");
        Plan { takes: if long { LONG } else { SHORT }, pages: vec![b"a\t1\tx\n".to_vec()] }
    }
}

/// Passes datagrams on between one gateway and a seat, until the way is cut.
fn proxy(seat: SocketAddr, cut: Arc<AtomicBool>) -> Result<SocketAddr, String> {
    let inside = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let outside = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = inside.local_addr().map_err(|e| e.to_string())?;
    let inside2 = inside.try_clone().map_err(|e| e.to_string())?;
    let outside2 = outside.try_clone().map_err(|e| e.to_string())?;
    let from: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let (from2, cut2) = (from.clone(), cut.clone());
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok((length, sender)) = inside.recv_from(&mut bytes) {
            if let Ok(mut from) = from.lock() {
                *from = Some(sender);
            }
            if !cut.load(Ordering::SeqCst) {
                let _ = outside.send_to(&bytes[..length], seat);
            }
        }
    });
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok((length, _)) = outside2.recv_from(&mut bytes) {
            let to = from2.lock().ok().and_then(|from| *from);
            if let (Some(to), false) = (to, cut2.load(Ordering::SeqCst)) {
                let _ = inside2.send_to(&bytes[..length], to);
            }
        }
    });
    Ok(address)
}

/// The most statements that ran at once, each shorter by the slack of sockets.
fn most(engines: &[Arc<Engine>]) -> usize {
    let runs: Vec<Run> = engines.iter().flat_map(|e| e.runs()).collect();
    let mut changes: Vec<(Instant, i64)> = runs
        .iter()
        .filter(|run| run.end() > run.begun + SLACK)
        .flat_map(|run| [(run.begun + SLACK, 1), (run.end(), -1)])
        .collect();
    changes.sort();
    let (mut now, mut most) = (0i64, 0);
    for (_, change) in changes {
        now += change;
        most = most.max(now);
    }
    most as usize
}

pub fn play(trouble: bool) -> Verdict {
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        engines.push(Engine::start(name, 1000, Work)?);
    }
    let mut listed: Vec<Listed> = engines.iter().map(|e| Listed::new(&e.name, e.address.port())).collect();
    listed.iter_mut().zip(ZONES).for_each(|(engine, zone)| engine.zone = zone.into());
    let names = NameService::start(1, &listed)?;
    let config = |rank: usize| {
        format!(
            "{{\"name\":\"g\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
              \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"names\":\"{1}\",\"known\":{2},\
              \"settings\":{{\"balancers\":2,\"rank\":{rank},\"zone\":\"{0}\",\"tickUs\":5000,\"kinds\":[\"std\"],\
              \"tenants\":[{{\"name\":\"acme\"}}],\"domain\":{{\"sizeCores\":[24],\"kindMemoryMb\":[24576]}},\
              \"profiles\":[{{\"name\":\"load\",\"promiseUs\":4000000,\"deadlineUs\":{3},\"effect\":\"non_idempotent\",\"gain\":1,\"zonesOnly\":[\"{0}\"]}}],\
              \"allowed\":{{\"tryLimit\":5,\"mayCancel\":true,\"secondCopies\":true,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\
              \"dialTimeoutUs\":250000,\"keepaliveUs\":15000000}},\
              \"rules\":{{\"startCapacity\":0.32,\"coldUs\":15000000,\"fallMultiple\":2,\"tipAfterUs\":2000000,\
              \"stopSendingWithinUs\":250000}}}}}}",
            ZONES[rank],
            names.address,
            known(1, &listed),
            DEADLINE_MS * 1000
        )
    };
    let folder = gateway::folder()?;
    std::fs::write(folder.join("key"), "a key of a review, 16 bytes or more").map_err(|e| e.to_string())?;
    let cut = Arc::new(AtomicBool::new(false));
    let seat = gateway::free_address()?;
    let second = gateway::free_address()?;
    let way = proxy(seat, cut.clone())?;
    let settings = |number: usize| {
        let (listen, seats, own) = if number == 0 { (seat, seat, "  seat = 0\n") } else { (second, way, "") };
        format!(
            "fleet {{\n  name = \"review\"\n  key_file = \"{}/key\"\n  listen = \"{listen}\"\n  places = 2\n  place = {number}\n  \
             seats = [\"{seats}\"]\n{own}  lease = \"1s\"\n  status = \"{0}/status-{number}.json\"\n}}\n\
             budget \"all\" {{\n  at_once = \"statements\"\n  whole = {WHOLE}\n  floor_percent = 20\n}}\n",
            folder.display()
        )
    };
    let first = Gateway::start("g-0", &config(0), Some(&settings(0)))?;
    let other = Gateway::start("g-1", &config(1), Some(&settings(1)))?;
    // A keeper that is new waits until all earlier leave is over.
    sleep(Duration::from_secs(20));
    let began = Instant::now();
    let long: Vec<_> = (0..30)
        .map(|number| {
            let address = other.address;
            thread::spawn(move || {
                sleep(Duration::from_millis(number * 100));
                for _ in 0..12 {
                    let id = client::new_id();
                    let end = client::run(address, "load", &id, TELLS_MS, &[], "SELECT long");
                    record::line(&format!("client gets {id}: {}", end.word()));
                    if !matches!(end, client::End::Refused(_)) || began.elapsed() > Duration::from_secs(4) {
                        return;
                    }
                    sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(5));
    let running = engines.iter().flat_map(|e| e.runs()).count();
    record::line(&format!("{running} long statements run; the zones are cut: {trouble}"));
    cut.store(trouble, Ordering::SeqCst);
    let cut_at = Instant::now();
    while cut_at.elapsed() < CUT + Duration::from_secs(2) {
        if cut_at.elapsed() >= CUT {
            cut.store(false, Ordering::SeqCst);
        }
        let address = first.address;
        thread::spawn(move || {
            let id = client::new_id();
            let end = client::run(address, "load", &id, 3000, &[], "SELECT short");
            record::line(&format!("client gets {id}: {}", end.word()));
        });
        sleep(Duration::from_millis(25));
    }
    long.into_iter().for_each(|call| drop(call.join()));
    let most = most(&engines);
    let line = format!("at most {most} statements were out at once, the whole is {WHOLE}");
    println!("{line}");
    record::line(&line);
    if running < 2 {
        return Err("no statements ran".into());
    }
    Ok(most <= WHOLE)
}
