//! A new engine's machine has its wall clock stepped back: is the engine, cold as it is, sent more than it can
//! stand?

use crate::client::{self, End, Message};
use crate::engine::{Behaviour, Engine, Plan, Run};
use crate::gateway::Gateway;
use crate::names::{known, Listed, NameService};
use crate::{record, Verdict};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The work of a statement, on one thread.
const WORK: Duration = Duration::from_millis(100);
const CORES: f64 = 8.0;
const START_CAPACITY: f64 = 0.32;
const FALL_MULTIPLE: f64 = 2.0;
const WINDOW: Duration = Duration::from_secs(2);
/// A window is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
const COLD: Duration = Duration::from_secs(15);
const PER_SECOND: u64 = 500;
/// Of the engines that are there at first, so many are replaced by new ones.
const OLD: usize = 5;
const REPLACED: usize = 3;
/// When that happens, and when the clients stop.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
const ENDS_AFTER: Duration = Duration::from_secs(8);
/// By how much the clock was stepped.
const STEP: Duration = Duration::from_secs(3600);

struct Lookup;

impl Behaviour for Lookup {
    fn plan(&self, _: &Message) -> Plan {
        Plan { takes: WORK, pages: vec![b"a\t1\tx\n".to_vec()] }
    }
}

/// The most statements of that work that an engine stands in a window that ends so long after its start. N is what
/// the settings allow it then; the engine is taken to warm up evenly, and to be at the window's end all through it.
fn bound(after: Duration) -> f64 {
    let warm = (after.as_secs_f64() / COLD.as_secs_f64()).min(1.0);
    let capacity = START_CAPACITY + (1.0 - START_CAPACITY) * warm;
    let n = FALL_MULTIPLE * capacity * CORES * WINDOW.as_secs_f64() / WORK.as_secs_f64();
    n + if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 }
}

/// Of all windows, the one that is furthest over its bound or next to it: what came in it, and its bound.
fn worst(runs: &[Run], started: Instant) -> (usize, f64) {
    let begun: Vec<Instant> = runs.iter().map(|run| run.begun).collect();
    let windows = begun.iter().map(|from| {
        let came = begun.iter().filter(|at| *at >= from && **at < *from + WINDOW - SLACK).count();
        (came, bound(*from + WINDOW - started))
    });
    windows.max_by(|a, b| (a.0 as f64 - a.1).total_cmp(&(b.0 as f64 - b.1))).unwrap_or((0, bound(WINDOW)))
}

pub fn play(trouble: bool) -> Verdict {
    let mut engines = Vec::new();
    for number in 1..=OLD + REPLACED {
        engines.push(Engine::start(&format!("e-{number}"), 1000, Lookup)?);
    }
    let mut listed: Vec<Listed> = engines.iter().take(OLD).map(|e| Listed::new(&e.name, e.address.port())).collect();
    let names = NameService::start(1, &listed)?;
    let config = format!(
        "{{\"name\":\"g-1\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"names\":\"{}\",\"known\":{},\
          \"settings\":{{\"balancers\":1,\"zone\":\"here\",\"tickUs\":5000,\"kinds\":[\"std\"],\
          \"tenants\":[{{\"name\":\"acme\"}}],\"domain\":{{\"sizeCores\":[{CORES}],\"kindMemoryMb\":[24576]}},\
          \"profiles\":[{{\"name\":\"lookup\",\"promiseUs\":400000,\"deadlineUs\":2000000,\"effect\":\"read_like\",\"gain\":1}}],\
          \"allowed\":{{\"tryLimit\":5,\"mayCancel\":true,\"secondCopies\":true,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\
          \"dialTimeoutUs\":250000,\"keepaliveUs\":15000000}},\
          \"rules\":{{\"startCapacity\":{START_CAPACITY},\"coldUs\":{},\"fallMultiple\":{FALL_MULTIPLE},\"tipAfterUs\":{},\
          \"stopSendingWithinUs\":250000}}}}}}",
        names.address,
        known(1, &listed),
        COLD.as_micros(),
        WINDOW.as_micros(),
    );
    let gateway = Gateway::start("g-1", &config, None)?;
    let began = Instant::now();
    let counts = Arc::new(Mutex::new((0, 0)));
    let (mut replaced, mut calls, mut sent, mut started_at) = (false, Vec::new(), 0, began);
    while began.elapsed() < ENDS_AFTER {
        if !replaced && began.elapsed() >= REPLACED_AFTER {
            (replaced, started_at) = (true, Instant::now());
            let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
            listed.iter_mut().take(REPLACED).for_each(|engine| engine.draining = true);
            for (number, engine) in engines.iter().skip(OLD).enumerate() {
                let mut started = Listed::new(&engine.name, engine.address.port());
                // The time of its start by the clock of its machine; that of the first one was stepped.
                let by_its_clock = if trouble && number == 0 { now - STEP } else { now };
                started.started = by_its_clock.as_millis() as u64;
                record::line(&format!("{} is up since {} and replaces another one", engine.name, started.started));
                listed.push(started);
            }
            names.set(2, &listed);
        }
        let (address, counts) = (gateway.address, counts.clone());
        calls.push(thread::spawn(move || {
            let id = client::new_id();
            let end = client::run(address, "lookup", &id, 2000, &[], "SELECT day FROM sales_17.orders");
            if let Ok(mut counts) = counts.lock() {
                counts.0 += usize::from(matches!(end, End::Served(_)));
                counts.1 += 1;
            }
        }));
        sent += 1;
        sleep((began + Duration::from_micros(sent * 1_000_000 / PER_SECOND)).saturating_duration_since(Instant::now()));
    }
    calls.into_iter().for_each(|call| drop(call.join()));
    let (served, all) = *counts.lock().map_err(|e| e.to_string())?;
    // All of this comes while the engine is cold.
    let got: Vec<(usize, f64)> =
        engines.iter().skip(OLD).map(|engine| worst(&engine.runs(), started_at)).collect();
    let words: Vec<String> =
        got.iter().map(|(came, bound)| format!("{came} where it stands {bound:.0}")).collect();
    let line = format!("{all} statements, {served} served; the cold engines got within 2 s: {}", words.join(", "));
    println!("{line}");
    record::line(&line);
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(got.iter().all(|(came, bound)| *came as f64 <= *bound))
}
