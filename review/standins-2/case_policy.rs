//! The gateways that have seats are restarted, one after another, and come back with nothing: does the policy
//! that was in force everywhere stay so?

use crate::client::{self, End, Message};
use crate::engine::{Behaviour, Engine, Plan};
use crate::gateway::{self, Gateway, SIGTERM};
use crate::names::{known, Listed, NameService};
use crate::{record, Verdict};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 5;
const SEATS: usize = 3;
/// A gateway that is restarted is back after this time; one is restarted at a time, three in all.
const DOWN: Duration = Duration::from_secs(3);
/// From one restart's end to the next one's begin. A seat that starts votes after a lease and a little more.
const BETWEEN: Duration = Duration::from_secs(6);
/// What the fleet has to agree after the last restart.
const AT_THE_END: Duration = Duration::from_secs(8);
const FIRST_POLICY: &str = "workload \"lookup\" {\n  executions = 3\n}\n";
const SECOND_POLICY: &str =
    "workload \"lookup\" {\n  executions = 3\n}\ncustomer \"acme\" {\n  forbidden = true\n}\n";

struct Lookup;

impl Behaviour for Lookup {
    fn plan(&self, _: &Message) -> Plan {
        Plan { takes: Duration::from_millis(20), pages: vec![b"a\t1\tx\n".to_vec()] }
    }
}

/// The operators' settings, without a `policy_file`: no disk outlives the process.
fn settings(folder: &Path, seats: &[SocketAddr], number: usize) -> String {
    let shown = folder.display();
    let seats_text: Vec<String> = seats.iter().take(SEATS).map(|seat| format!("\"{seat}\"")).collect();
    let seat = if number < SEATS { format!("  seat = {number}\n") } else { String::new() };
    format!(
        "fleet {{\n  name = \"review\"\n  key_file = \"{shown}/key\"\n  listen = \"{}\"\n  places = {GATEWAYS}\n  \
         place = {number}\n  seats = [{}]\n{seat}  lease = \"2s\"\n  policy = \"{shown}/first.hcl\"\n  \
         status = \"{shown}/status-{number}.json\"\n}}\n",
        seats[number],
        seats_text.join(", ")
    )
}

/// One statement of the customer at each gateway: by how many it was served.
fn served(gateways: &[Gateway], when: &str) -> usize {
    let ends: Vec<End> = gateways
        .iter()
        .map(|gateway| client::run(gateway.address, "lookup", &client::new_id(), 2000, &[], "SELECT 1 FROM sales_17.o"))
        .collect();
    let named = |served: bool| -> Vec<&str> {
        let pairs = gateways.iter().zip(&ends).filter(|(_, end)| matches!(end, End::Served(_)) == served);
        pairs.map(|(gateway, _)| gateway.name.as_str()).collect()
    };
    let line = format!("{when}: a statement of acme is served by {:?}, not by {:?}", named(true), named(false));
    println!("{line}");
    record::line(&line);
    named(true).len()
}

/// The seat that keeps the policy, as the status file of the first gateway shows it.
fn keeper(folder: &Path) -> Option<usize> {
    let text = fs::read_to_string(folder.join("status-0.json")).ok()?;
    let seat = text.split("\"seat\":{").nth(1)?;
    let number = seat.split("\"keeper\":").nth(1)?;
    number.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

fn propose(folder: &Path) -> Result<bool, String> {
    let file = |name: &str| folder.join(name).display().to_string();
    let mut command = Command::new("target/release/bramblewharf");
    command.args(["policy", "propose", &file("second.hcl"), "--settings", &file("g-0.hcl"), "--reason", "review"]);
    let output = gateway::bind_to_case(&mut command).output().map_err(|e| e.to_string())?;
    record::line(&format!("policy propose: {} {}", output.status, String::from_utf8_lossy(&output.stdout).replace('\n', "; ")));
    Ok(output.status.code() == Some(0))
}

pub fn play(trouble: bool) -> Verdict {
    let mut engines = Vec::new();
    for name in ["e-1", "e-2"] {
        engines.push(Engine::start(name, 1000, Lookup)?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| Listed::new(&e.name, e.address.port())).collect();
    let names = NameService::start(1, &listed)?;
    let config = |rank: usize| {
        format!(
            "{{\"name\":\"g\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
              \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"names\":\"{}\",\"known\":{},\
              \"settings\":{{\"balancers\":{GATEWAYS},\"rank\":{rank},\"zone\":\"here\",\"tickUs\":5000,\"kinds\":[\"std\"],\
              \"tenants\":[{{\"name\":\"acme\"}}],\"domain\":{{\"sizeCores\":[24],\"kindMemoryMb\":[24576]}},\
              \"profiles\":[{{\"name\":\"lookup\",\"promiseUs\":400000,\"deadlineUs\":2000000,\"effect\":\"read_like\",\"gain\":1}}],\
              \"allowed\":{{\"tryLimit\":5,\"mayCancel\":true,\"secondCopies\":true,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\
              \"dialTimeoutUs\":250000,\"keepaliveUs\":15000000}},\
              \"rules\":{{\"startCapacity\":0.32,\"coldUs\":15000000,\"fallMultiple\":2,\"tipAfterUs\":2000000,\
              \"stopSendingWithinUs\":250000}}}}}}",
            names.address,
            known(1, &listed)
        )
    };
    let folder = gateway::folder()?;
    for (name, text) in [("key", "a key of a review, 16 bytes or more"), ("first.hcl", FIRST_POLICY), ("second.hcl", SECOND_POLICY)] {
        fs::write(folder.join(name), text).map_err(|e| e.to_string())?;
    }
    let seats = (0..GATEWAYS).map(|_| gateway::free_address()).collect::<Result<Vec<_>, _>>()?;
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        gateways.push(Gateway::start(&format!("g-{number}"), &config(number), Some(&settings(&folder, &seats, number)))?);
    }
    sleep(Duration::from_secs(6));
    if served(&gateways, "under the first policy") == 0 {
        return Err("nothing was served under the first policy".into());
    }
    if !propose(&folder)? {
        return Err("the second policy did not come in force".into());
    }
    // Time for all seats to have it, and for the fleet to forget the first one.
    sleep(Duration::from_secs(6));
    let mut against = served(&gateways, "under the second policy");
    // The gateways that have seats, the keeper last, as is usual with leaders.
    let keeper = keeper(&folder).ok_or("no seat keeps the policy")?;
    let mut order: Vec<usize> = (0..SEATS).filter(|number| *number != keeper).collect();
    order.push(keeper);
    record::line(&format!("seat {keeper} keeps the policy"));
    for number in order {
        if trouble {
            let (name, address) = (gateways[number].name.clone(), gateways[number].address);
            gateways[number].signal(SIGTERM);
            let began = Instant::now();
            while gateways[number].is_running() && began.elapsed() < Duration::from_secs(5) {
                sleep(Duration::from_millis(10));
            }
            if gateways[number].is_running() {
                return Err(format!("{name} did not end"));
            }
            record::line(&format!("{name} has ended"));
            sleep(DOWN);
                let settings = settings(&folder, &seats, number);
            gateways[number] = Gateway::start_at(&name, address, &config(number), Some(&settings))?;
        }
        sleep(if number == keeper { AT_THE_END } else { BETWEEN });
        let when = if trouble { format!("some seconds after the restart of g-{number}") } else { "some seconds later".into() };
        against += served(&gateways, &when);
    }
    let line = format!("{against} statements of acme were served after the policy that forbids them was in force");
    println!("{line}");
    record::line(&line);
    Ok(against == 0)
}
