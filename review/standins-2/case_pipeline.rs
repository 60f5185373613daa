//! A client sends many commands at once on one connection: does each get its final answer in its time?

use crate::client::{self, End, Message, Reader};
use crate::engine::{Behaviour, Engine, Plan};
use crate::gateway::Gateway;
use crate::names::{known, Listed, NameService};
use crate::{record, Verdict};
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const COMMANDS: usize = 14;
const TAKES: Duration = Duration::from_millis(200);
/// How long the client waits for each answer.
const WAITS_MS: u64 = 1500;
/// An answer up to so much later earns nothing; a later one is lost.
const LATE: Duration = Duration::from_millis(500);
/// Each time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);

struct Lookup;

impl Behaviour for Lookup {
    fn plan(&self, _: &Message) -> Plan {
        Plan { takes: TAKES, pages: vec![b"a\t1\tx\n".to_vec()] }
    }
}

/// Sends all commands at once on one connection and follows their links there. Returns when each had its final
/// answer.
fn send_at_once(address: SocketAddr, ids: &[String]) -> Result<(Instant, Vec<Option<(Instant, End)>>), String> {
    let mut stream = client::connect(address).ok_or("no connection")?;
    let calls: Vec<u8> = ids
        .iter()
        .flat_map(|id| client::statement("lookup", id, WAITS_MS, &[], "SELECT day FROM sales_17.orders"))
        .collect();
    stream.write_all(&calls).map_err(|e| e.to_string())?;
    let sent = Instant::now();
    record::line(&format!("client sends {} commands at once, {} bytes", ids.len(), calls.len()));
    let mut ends: Vec<Option<(Instant, End)>> = ids.iter().map(|_| None).collect();
    // The commands that wait for an answer, in the order of the calls.
    let mut open: VecDeque<usize> = (0..ids.len()).collect();
    let mut reader = Reader::new(stream);
    while let Some(command) = open.pop_front() {
        let Some(answer) = reader.next(sent + Duration::from_secs(30)) else { break };
        match answer.link() {
            Some(path) => {
                let call = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                reader.stream.write_all(call.as_bytes()).map_err(|e| e.to_string())?;
                open.push_back(command);
            }
            None => ends[command] = Some((Instant::now(), End::of(answer))),
        }
    }
    Ok((sent, ends))
}

/// The same commands, each on a connection of its own.
fn send_apart(address: SocketAddr, ids: &[String]) -> (Instant, Vec<Option<(Instant, End)>>) {
    let sent = Instant::now();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| {
            let id = id.clone();
            thread::spawn(move || {
                let end = client::run(address, "lookup", &id, WAITS_MS, &[], "SELECT day FROM sales_17.orders");
                (!matches!(end, End::Nothing)).then(|| (Instant::now(), end))
            })
        })
        .collect();
    (sent, calls.into_iter().map(|call| call.join().unwrap_or(None)).collect())
}

pub fn play(trouble: bool) -> Verdict {
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        engines.push(Engine::start(name, 1000, Lookup)?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| Listed::new(&e.name, e.address.port())).collect();
    let names = NameService::start(1, &listed)?;
    let config = format!(
        "{{\"name\":\"g-1\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"names\":\"{}\",\"known\":{},\
          \"settings\":{{\"balancers\":1,\"zone\":\"here\",\"tickUs\":5000,\"kinds\":[\"std\"],\
          \"tenants\":[{{\"name\":\"acme\"}}],\"domain\":{{\"sizeCores\":[12],\"kindMemoryMb\":[24576]}},\
          \"profiles\":[{{\"name\":\"lookup\",\"promiseUs\":400000,\"deadlineUs\":2000000,\"effect\":\"read_like\",\"gain\":1}}],\
          \"allowed\":{{\"tryLimit\":5,\"mayCancel\":true,\"secondCopies\":true,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\
          \"dialTimeoutUs\":250000,\"keepaliveUs\":15000000}},\
          \"rules\":{{\"startCapacity\":0.32,\"coldUs\":15000000,\"fallMultiple\":2,\"tipAfterUs\":2000000,\
          \"stopSendingWithinUs\":250000}}}}}}",
        names.address,
        known(1, &listed)
    );
    let gateway = Gateway::start("g-1", &config, None)?;
    let (mut served, mut lost, mut told_too_long) = (0, 0, 0);
    for _ in 0..3 {
        let ids: Vec<String> = (0..COMMANDS).map(|_| client::new_id()).collect();
        let (sent, ends) = match trouble {
            true => send_at_once(gateway.address, &ids)?,
            false => send_apart(gateway.address, &ids),
        };
        for (id, end) in ids.iter().zip(&ends) {
            let limit = Duration::from_millis(WAITS_MS) + LATE + SLACK;
            match end {
                Some((at, end)) => {
                    let after = *at - sent;
                    let late = if after > limit { ": lost, it came too late" } else { "" };
                    record::line(&format!("client gets {id} after {} ms: {}{late}", after.as_millis(), end.word()));
                    served += usize::from(matches!(end, End::Served(_)));
                    lost += usize::from(after > limit);
                }
                None => {
                    record::line(&format!("client never gets {id}: lost"));
                    lost += 1;
                }
            }
        }
        for run in engines.iter().flat_map(|e| e.runs()).filter(|run| ids.contains(&run.id)) {
            let left = (sent + Duration::from_millis(WAITS_MS)).saturating_duration_since(run.begun).as_millis() as u64;
            if run.max_ms > left + 150 {
                told_too_long += 1;
                record::line(&format!("{}: an engine is told {} ms, the client has {left} left", run.id, run.max_ms));
            }
        }
    }
    let all = 3 * COMMANDS;
    let line = format!("{all} commands, {served} served, {lost} lost; engines were told too long a time {told_too_long} times");
    println!("{line}");
    record::line(&line);
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(lost == 0)
}
