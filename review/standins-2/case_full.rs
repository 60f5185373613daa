//! A connection is reset under a request that has begun, at an engine that holds as many connections as it
//! accepts: does the statement get a second execution while the first one runs, where there may be but one?

use crate::client::{self, Message};
use crate::engine::{Behaviour, Engine, Plan, Run};
use crate::gateway::Gateway;
use crate::names::{known, Listed, NameService};
use crate::{record, Verdict};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Connections that an engine of one core accepts. At one of the two engines other gateways hold all but one.
const ACCEPTS: usize = 410;
const STATEMENTS: usize = 9;
const TAKES: Duration = Duration::from_millis(1000);
/// Each time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);

struct Report {
    /// The next connection on which a statement comes to the engine that is full is reset.
    resets: Arc<AtomicBool>,
    is_full: bool,
}

impl Behaviour for Report {
    fn plan(&self, _: &Message) -> Plan {
        Plan { takes: TAKES, pages: vec![b"a\t1\tx\n".to_vec()] }
    }

    fn resets(&self, _: &str) -> bool {
        let resets = self.is_full && self.resets.swap(false, Ordering::SeqCst);
        if resets {
            sleep(Duration::from_millis(30));
        }
        resets
    }
}

pub fn play(trouble: bool) -> Verdict {
    let resets = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    let mut others = Vec::new();
    for (name, is_full) in [("e-1", true), ("e-2", false)] {
        engines.push(Engine::start(name, ACCEPTS, Report { resets: resets.clone(), is_full })?);
    }
    // The connections of other gateways: they are open, and rest for now.
    for _ in 1..ACCEPTS {
        others.push(TcpStream::connect(engines[0].address).map_err(|e| e.to_string())?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| Listed::new(&e.name, e.address.port())).collect();
    let names = NameService::start(1, &listed)?;
    let config = format!(
        "{{\"name\":\"g-1\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"names\":\"{}\",\"known\":{},\
          \"settings\":{{\"balancers\":2,\"zone\":\"here\",\"tickUs\":5000,\"kinds\":[\"std\"],\
          \"tenants\":[{{\"name\":\"acme\"}}],\"domain\":{{\"sizeCores\":[1],\"kindMemoryMb\":[24576],\"classThreads\":[4]}},\
          \"profiles\":[{{\"name\":\"usage-report\",\"promiseUs\":1500000,\"aimStretch\":2.5,\"deadlineUs\":20000000,\
          \"effect\":\"read_like\",\"gain\":6}}],\
          \"allowed\":{{\"tryLimit\":5,\"mayCancel\":true,\"secondCopies\":false,\"dialTimeoutUs\":250000,\"keepaliveUs\":15000000}},\
          \"rules\":{{\"startCapacity\":0.30,\"coldUs\":14000000,\"fallMultiple\":4,\"tipAfterUs\":2000000,\
          \"stopSendingWithinUs\":500000}}}}}}",
        names.address,
        known(1, &listed)
    );
    let gateway = Gateway::start("g-1", &config, None)?;
    let mut served = 0;
    for number in 0..STATEMENTS {
        // One statement in three loses its connection, or the next one that comes to that engine.
        if trouble && number % 3 == 0 {
            resets.store(true, Ordering::SeqCst);
        }
        let id = client::new_id();
        let end = client::run(gateway.address, "usage-report", &id, 20_000, &[], "SELECT 1 FROM seats_3.use");
        record::line(&format!("client gets {id}: {}", end.word()));
        served += usize::from(matches!(end, client::End::Served(_)));
        sleep(Duration::from_millis(400));
    }
    let runs: Vec<(&str, Run)> =
        engines.iter().flat_map(|e| e.runs().into_iter().map(move |run| (e.name.as_str(), run))).collect();
    let mut twice = 0;
    for (at, (first_at, first)) in runs.iter().enumerate() {
        for (second_at, second) in runs.iter().skip(at + 1).filter(|(_, run)| run.id == first.id) {
            let (begun, over) = (first.begun.max(second.begun), first.end().min(second.end()));
            if over > begun + SLACK {
                twice += 1;
                record::line(&format!(
                    "{} is out at {first_at} and {second_at} at once, for {} ms",
                    first.id,
                    (over - begun).as_millis()
                ));
            }
        }
    }
    println!("{STATEMENTS} statements, {served} served, {twice} with two executions out at once");
    record::line(&format!("{STATEMENTS} statements, {served} served, {twice} with two executions out at once"));
    drop(others);
    if served == 0 || (trouble && resets.load(Ordering::SeqCst) && twice == 0) {
        return Err("nothing was served, or a connection that was to be reset was not".into());
    }
    Ok(twice == 0)
}
