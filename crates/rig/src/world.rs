//! A fleet of processes of the program itself on loopback: engines, gateways, a relay on each way between them, clients; what
//! is done to them, and what must hold of the records that they leave.

use crate::relay::{Link, Streams, TcpRelay, UdpRelay, Way};
use bramblewharf_gateway::boottime_now;
use bramblewharf_standins::{max_concurrent, unused_address, TimedEngine};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Nothing waits longer for a fact unless something is broken.
const LONG: Duration = Duration::from_secs(30);

/// A fleet before it is started.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: usize,
    /// The first so many have a seat each.
    pub seats: usize,
    pub engines: usize,
    pub whole: u64,
    pub floor_percent: u64,
    pub lease: Duration,
    pub engines_keep: Duration,
    /// How long a statement takes, and how long its client waits.
    pub lasts: Duration,
    pub waits: Duration,
    pub seed: u64,
    /// A known mistake that all of them make, by its name.
    pub wrong: Option<&'static str>,
    /// Gateways may tell one another of engines, in a fleet so large that a slice of an engine is less than a statement. One more
    /// address is a gateway's that only the test speaks from.
    pub peers: bool,
    /// The fleet's first policy, where changes of it go through the fleet.
    pub policy: Option<&'static str>,
    /// Gateways keep what they have out in a file, for the process after them.
    pub records: bool,
    /// By gateway, clocks that are wrong: parts in a thousand that they are fast.
    pub clocks: BTreeMap<usize, i64>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            gateways: 4,
            seats: 3,
            engines: 2,
            whole: 24,
            floor_percent: 50,
            lease: Duration::from_secs(1),
            engines_keep: 600 * MS,
            lasts: 120 * MS,
            waits: 900 * MS,
            seed: 1,
            wrong: None,
            peers: false,
            policy: None,
            records: true,
            clocks: BTreeMap::new(),
        }
    }
}

impl Plan {
    /// How long after a holder's last word what it had is free again, for waiting that long.
    pub fn until_free(&self) -> Duration {
        (self.lease * 5 / 4 + self.waits + self.engines_keep).mul_f64(1.03) + 250 * MS
    }
}

/// Of this process's own host, and never given twice: a process that is to listen there finds it free.
pub(crate) fn reserve_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    SocketAddr::new(unused_address().ip(), NEXT.fetch_add(1, Ordering::SeqCst))
}

struct Process {
    child: Option<Child>,
    /// When earlier ones were gone, by the machine's clock: each has its own facts.
    lives: Vec<Life>,
    clients: SocketAddr,
    fleet: SocketAddr,
    peer: SocketAddr,
    engines: Vec<TcpRelay>,
}

struct Life {
    facts: PathBuf,
    ended: Option<Duration>,
}

/// What one client call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Completed,
    Rejected,
    Aborted,
    /// The connection was refused or broke: its gateway is gone.
    NoAnswer,
}

#[derive(Default)]
pub struct Tally {
    pub completed: AtomicU64,
    pub rejected: AtomicU64,
    pub aborted: AtomicU64,
    pub nothing: AtomicU64,
    /// Answers that came later than the client waits.
    pub late: AtomicU64,
}

impl Tally {
    pub fn completed(&self) -> u64 {
        self.completed.load(Ordering::SeqCst)
    }
}

/// Clients of one gateway; they end when this is dropped.
pub struct Clients {
    over: Arc<AtomicBool>,
    pub tally: Arc<Tally>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

pub struct World {
    pub plan: Plan,
    pub engines: Vec<TimedEngine>,
    gateways: Vec<Process>,
    /// Between a gateway and a seat's gateway: the first side is the gateway's.
    links: BTreeMap<(usize, usize), UdpRelay>,
    /// Where the peer is that only the test speaks for.
    pub stranger: SocketAddr,
    dir: tempfile::TempDir,
    program: PathBuf,
    ids: Arc<AtomicU64>,
}

impl World {
    /// Engines, relays and files; `program` is the one that serves.
    pub fn new(plan: Plan, program: &Path) -> io::Result<World> {
        let dir = tempfile::tempdir()?;
        fs::write(dir.path().join("key"), "the key of a fleet in the rig")?;
        let engines: Vec<TimedEngine> =
            (0..plan.engines).map(|_| TimedEngine::start(plan.lasts, plan.engines_keep)).collect();
        let mut gateways = Vec::new();
        for _ in 0..plan.gateways {
            let relays: io::Result<Vec<TcpRelay>> =
                engines.iter().map(|engine| TcpRelay::start(engine.address)).collect();
            let (clients, fleet, peer) = (reserve_address(), reserve_address(), reserve_address());
            gateways.push(Process { child: None, lives: Vec::new(), clients, fleet, peer, engines: relays? });
        }
        let mut links = BTreeMap::new();
        for seat in 0..plan.seats {
            for other in (0..plan.gateways).filter(|other| *other != seat) {
                // Two seats have one link, whichever asks the other.
                if other < seat && other < plan.seats {
                    continue;
                }
                let ends = [gateways[other].fleet, gateways[seat].fleet];
                links.insert((other, seat), UdpRelay::start(UdpRelay::bind()?, ends, plan.seed)?);
            }
        }
        let stranger = reserve_address();
        Ok(World {
            plan,
            engines,
            gateways,
            links,
            stranger,
            dir,
            program: program.into(),
            ids: Arc::default(),
        })
    }

    /// Where `from` finds the seat of `to`.
    fn way(&self, from: usize, to: usize) -> SocketAddr {
        match self.links.get(&(from, to)) {
            _ if from == to => self.gateways[to].fleet,
            Some(relay) => relay.addresses[0],
            None => self.links[&(to, from)].addresses[1],
        }
    }

    /// The datagrams between two gateways, and which way of the link goes from the first to the second.
    pub fn link(&self, from: usize, to: usize) -> Option<(Arc<Link>, usize)> {
        let there = self.links.get(&(from, to)).map(|relay| (relay.link.clone(), 0));
        there.or_else(|| self.links.get(&(to, from)).map(|relay| (relay.link.clone(), 1)))
    }

    /// What one says no longer reaches the other.
    pub fn set_way(&self, from: usize, to: usize, state: Way) {
        if let Some((link, way)) = self.link(from, to) {
            link.set(way, state);
        }
    }

    /// Every way to and from a gateway.
    pub fn set_around(&self, of: usize, heard: Way, said: Way) {
        for other in (0..self.plan.gateways).filter(|other| *other != of) {
            self.set_way(other, of, heard);
            self.set_way(of, other, said);
        }
    }

    pub fn set_all(&self, state: Way) {
        self.links.values().for_each(|relay| relay.link.set_both(state));
    }

    pub fn replay_all(&self) {
        self.links.values().for_each(|relay| relay.link.replay());
    }

    pub fn set_engines(&self, of: usize, state: Streams) {
        self.gateways[of].engines.iter().for_each(|relay| relay.set(state));
    }

    /// How one gateway reaches one engine.
    pub fn set_engine_of(&self, of: usize, engine: usize, state: Streams) {
        self.gateways[of].engines[engine].set(state);
    }

    fn write_files(&self, at: usize, life: usize) -> io::Result<(PathBuf, PathBuf, PathBuf)> {
        let (plan, process) = (&self.plan, &self.gateways[at]);
        let members: Vec<Value> = process
            .engines
            .iter()
            .enumerate()
            .map(|(number, relay)| {
                json!({"id": format!("e-{number}"), "host_port": relay.address.to_string(), "locality": "here",
                    "flavor": "std", "cell": 0, "phase": "up", "size": 1, "up_since_ms": 0})
            })
            .collect();
        let peers: Vec<String> = self.gateways.iter().map(|of| of.peer.to_string()).collect();
        let peers: Vec<String> = peers.into_iter().chain([self.stranger.to_string()]).collect();
        let mut config = json!({
            "name": format!("g-{at}"), "listen": process.clients.to_string(), "seed": format!("{:x}", plan.seed),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"no": 1, "items": [{"no": 1, "roster": {"revision": 1, "complete": true, "members": members}}]},
            "settings": {
                "balancers": 1, "rank": 0, "zone": "here", "tickUs": 5000, "kinds": ["std"],
                "tenants": [{"name": "acme"}], "domain": {"sizeCores": [64]},
                "profiles": [{"name": "lookup", "promiseUs": 400_000, "deadlineUs": plan.waits.as_micros() as u64,
                    "effect": "read_like", "gain": 1}],
                "allowed": {"tryLimit": 2, "mayCancel": true, "secondCopies": true, "retryAfter": true,
                    "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 250_000, "keepaliveUs": 15_000_000},
                "rules": {"startCapacity": 0.3, "coldUs": 1000, "fallMultiple": 2, "tipAfterUs": 2_000_000}}});
        if plan.peers {
            (config["peer_listen"], config["peers"]) = (json!(process.peer.to_string()), json!(peers));
            let settings = &mut config["settings"];
            (settings["balancers"], settings["rank"]) = (json!(peers.len()), json!(at));
            (settings["allowed"]["peers"], settings["domain"]["sizeCores"]) = (json!(true), json!([2]));
        }
        let dir = self.dir.path();
        let (config_path, settings, facts) = (
            dir.join(format!("config-{at}.json")),
            dir.join(format!("settings-{at}.hcl")),
            dir.join(format!("facts-{at}-{life}.jsonl")),
        );
        fs::write(&config_path, config.to_string())?;
        let seats: Vec<String> =
            (0..plan.seats).map(|seat| format!("{:?}", self.way(at, seat).to_string())).collect();
        let own = if at < plan.seats { format!("seat = {at}") } else { String::new() };
        let text = format!(
            r#"fleet {{
  name = "rig"
  key_file = {key:?}
  listen = "{listen}"
  places = {places}
  place = {at}
  seats = [{seats}]
  {own}
  lease = "{lease}ms"
  engines_keep = "{keep}ms"
  facts = {facts:?}
  status = {status:?}
}}
budget "all" {{
  at_once = "statements"
  whole = {whole}
  floor_percent = {floor}
}}
"#,
            key = dir.join("key"),
            listen = process.fleet,
            places = plan.gateways,
            seats = seats.join(", "),
            lease = plan.lease.as_millis(),
            keep = plan.engines_keep.as_millis(),
            status = dir.join(format!("status-{at}.json")),
            whole = plan.whole,
            floor = plan.floor_percent,
        );
        let text = match plan.records {
            true => {
                text.replacen("  status", &format!("  outstanding_file = {:?}\n  status", self.record(at)), 1)
            }
            false => text,
        };
        let policy = plan.policy.map(|text| {
            let first = dir.join("policy.hcl");
            let kept = dir.join(format!("policy-{at}"));
            fs::write(&first, text).map(|()| format!("policy = {first:?}\n  policy_file = {kept:?}\n  lease"))
        });
        let text = match policy.transpose()? {
            Some(policy) => text.replacen("  lease", &format!("  {policy}"), 1),
            None => text,
        };
        fs::write(&settings, text)?;
        Ok((config_path, settings, facts))
    }

    /// Where a gateway keeps what it has out.
    pub fn record(&self, at: usize) -> PathBuf {
        self.dir.path().join(format!("outstanding-{at}"))
    }

    /// The machine has lost it.
    pub fn lose_record(&self, at: usize) {
        let _ = fs::remove_file(self.record(at));
    }

    /// The fleet's settings for an operator's tool, which asks the seats without anything between.
    fn tool(&self) -> io::Result<PathBuf> {
        let dir = self.dir.path();
        let seats: Vec<String> =
            (0..self.plan.seats).map(|at| format!("{:?}", self.gateways[at].fleet.to_string())).collect();
        let (key, path) = (dir.join("key"), dir.join("tool.hcl"));
        let seats = seats.join(", ");
        let text = format!(
            "fleet {{\n name = \"rig\"\n key_file = {key:?}\n listen = \"127.0.0.1:1\"\n places = {}\n seats = [{seats}]\n}}\n",
            self.plan.gateways
        );
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Proposes a text to the fleet; what comes back ends by itself.
    pub fn propose(&self, text: &str, wait: Duration) -> io::Result<Child> {
        let file = self.dir.path().join(format!("proposal-{}", self.ids.fetch_add(1, Ordering::SeqCst)));
        fs::write(&file, text)?;
        let mut command = Command::new(&self.program);
        command
            .args(["policy", "propose", "--reason", "a test", "--wait"])
            .arg(format!("{}ms", wait.as_millis()));
        command.arg("--settings").arg(self.tool()?).arg(file);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()
    }

    /// How a gateway decides by the fleet's policy, by its last fact, and by what.
    pub fn decides(&self, at: usize) -> Option<(String, Vec<String>)> {
        let life = self.gateways[at].lives.last().filter(|life| life.ended.is_none())?;
        let facts = read(&life.facts);
        let last = facts.iter().rev().find(|fact| fact["decides"].is_string())?;
        Some((last["decides"].as_str()?.to_string(), texts(&last["by"])))
    }

    /// P1: at no moment did one gateway decide by one revision alone while another did by another alone.
    pub fn one_policy(&self) -> Result<(), String> {
        // From when until when, by which, at whom.
        let mut spans: Vec<(u64, u64, String, usize)> = Vec::new();
        for (at, gateway) in self.gateways.iter().enumerate() {
            for life in &gateway.lives {
                let ended = life.ended.map_or(u64::MAX, |ended| ended.as_micros() as u64);
                let facts = read(&life.facts);
                let facts: Vec<&Value> = facts.iter().filter(|fact| fact["decides"].is_string()).collect();
                for (number, fact) in facts.iter().enumerate().filter(|(_, fact)| fact["decides"] == "by it")
                {
                    let figure = |key: &str| fact[key].as_u64();
                    let next =
                        facts.get(number + 1).and_then(|next| next["at_us"].as_u64()).unwrap_or(u64::MAX);
                    let (Some(from), Some(until)) = (figure("at_us"), figure("until_us")) else { continue };
                    let by = texts(&fact["by"]).concat();
                    spans.push((from, until.min(next).min(ended), by, at));
                }
            }
        }
        spans.sort();
        for (number, (_, until, by, at)) in spans.iter().enumerate() {
            let mut after = spans[number + 1..].iter().take_while(|(from, ..)| from < until);
            if let Some((from, _, other, who)) = after.find(|(.., other, _)| other != by) {
                return Err(format!("{who} decides by {other} from {from} on, {at} by {by} until {until}"));
            }
        }
        Ok(())
    }

    /// Of all gateways, how one engine is to be reached.
    pub fn set_engine(&self, engine: usize, state: Streams) {
        self.gateways.iter().for_each(|gateway| gateway.engines[engine].set(state));
    }

    /// Connections that gateways have made to an engine so far.
    pub fn tried(&self, engine: usize) -> u64 {
        self.gateways.iter().map(|gateway| gateway.engines[engine].came.load(Ordering::Relaxed)).sum()
    }

    /// Where gateways hear one another of engines.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.gateways.iter().map(|gateway| gateway.peer)
    }

    /// Executions that have begun at engines so far.
    pub fn begun(&self) -> usize {
        self.engines.iter().map(|engine| engine.executions().len()).sum()
    }

    /// Starts a gateway, if it is not there, and waits until it serves.
    pub fn start(&mut self, at: usize) -> io::Result<()> {
        if self.gateways[at].child.is_some() {
            return Ok(());
        }
        let life = self.gateways[at].lives.len();
        let (config, settings, facts) = self.write_files(at, life)?;
        let log =
            File::options().create(true).append(true).open(self.dir.path().join(format!("log-{at}")))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(config).arg("--settings").arg(settings);
        if let Some(fast) = self.plan.clocks.get(&at) {
            command.arg(format!("--clock-fast={fast}"));
        }
        if let Some(wrong) = self.plan.wrong {
            command.arg("--wrong").arg(wrong);
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        self.gateways[at].child = Some(child);
        self.gateways[at].lives.push(Life { facts, ended: None });
        let began = Instant::now();
        while TcpStream::connect(self.gateways[at].clients).is_err() {
            let child = self.gateways[at].child.as_mut().expect("just started");
            if child.try_wait()?.is_some() || began.elapsed() > LONG {
                return Err(io::Error::other(format!("gateway {at} did not start: {}", self.log(at))));
            }
            std::thread::sleep(5 * MS);
        }
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.plan.gateways).try_for_each(|at| self.start(at))
    }

    /// What a gateway has logged.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(self.dir.path().join(format!("log-{at}"))).unwrap_or_default()
    }

    pub fn signal(&self, at: usize, signal: rustix::process::Signal) {
        if let Some(child) = &self.gateways[at].child {
            if let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32) {
                let _ = rustix::process::kill_process(pid, signal);
            }
        }
    }

    pub fn pause(&self, at: usize) {
        self.signal(at, rustix::process::Signal::STOP);
    }

    pub fn go_on(&self, at: usize) {
        self.signal(at, rustix::process::Signal::CONT);
    }

    /// SIGKILL, and gone when this returns.
    pub fn kill(&mut self, at: usize) {
        self.end(at, rustix::process::Signal::KILL);
    }

    /// SIGTERM, and gone when this returns.
    pub fn leave(&mut self, at: usize) {
        self.end(at, rustix::process::Signal::TERM);
    }

    fn end(&mut self, at: usize, signal: rustix::process::Signal) {
        self.signal(at, signal);
        if let Some(mut child) = self.gateways[at].child.take() {
            let _ = child.wait();
        }
        if let Some(life) = self.gateways[at].lives.last_mut() {
            life.ended = Some(boottime_now());
        }
    }

    /// So many clients of one gateway, each with a statement every `every`, whatever becomes of it.
    pub fn clients(&self, at: usize, many: usize, every: Duration) -> Clients {
        let (over, tally) = (Arc::new(AtomicBool::new(false)), Arc::new(Tally::default()));
        for number in 0..many {
            let (over, tally, ids) = (over.clone(), tally.clone(), self.ids.clone());
            let (address, waits) = (self.gateways[at].clients, self.plan.waits);
            // Not all at once.
            let mut next = Instant::now() + every * number as u32 / many as u32;
            std::thread::spawn(move || {
                let mut line = None;
                while !over.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + every).max(Instant::now());
                    let began = Instant::now();
                    let came = call(&mut line, address, ids.fetch_add(1, Ordering::SeqCst), waits);
                    let count = match came {
                        CallOutcome::Completed => &tally.completed,
                        CallOutcome::Rejected => &tally.rejected,
                        CallOutcome::Aborted => &tally.aborted,
                        CallOutcome::NoAnswer => &tally.nothing,
                    };
                    if came != CallOutcome::NoAnswer && began.elapsed() > waits + 250 * MS {
                        tally.late.fetch_add(1, Ordering::SeqCst);
                    }
                    count.fetch_add(1, Ordering::SeqCst);
                    if came == CallOutcome::NoAnswer {
                        line = None;
                        std::thread::sleep(10 * MS);
                    }
                }
            });
        }
        Clients { over, tally }
    }

    /// What a gateway shows of itself, once it shows anything.
    pub fn status(&self, at: usize) -> Value {
        let path = self.dir.path().join(format!("status-{at}.json"));
        fs::read(path).ok().and_then(|text| serde_json::from_slice(&text).ok()).unwrap_or(Value::Null)
    }

    /// Waits until something holds of all facts so far.
    pub fn wait(&self, what: &str, holds: impl Fn(&World) -> bool) {
        assert!(self.becomes(LONG, holds), "never: {what}: {}", self.shown());
    }

    /// Whether it holds of all facts so far, at some moment before that time is over.
    pub fn becomes(&self, within: Duration, holds: impl Fn(&World) -> bool) -> bool {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() >= within {
                return false;
            }
            std::thread::sleep(10 * MS);
        }
        true
    }

    /// Each gateway as it shows itself.
    pub fn shown(&self) -> String {
        let shown = (0..self.plan.gateways).map(|at| {
            let status = self.status(at);
            let there = self.gateways[at].child.is_some();
            let log = self.log(at);
            // What its statements came to, as it counts that itself every ten seconds.
            let figures = log.lines().rev().find(|line| line.contains("figures")).unwrap_or("no figures yet");
            format!(
                "\n{at}: there {there}, has {}, seat {}, asks {}\n   {figures}",
                self.has(at),
                status["seat"],
                status["asks_seat"]
            )
        });
        shown.collect()
    }

    /// The gateway that keeps the leave, by the last facts of those that are there.
    pub fn keeper(&self) -> Option<usize> {
        (0..self.plan.seats).filter(|at| self.gateways[*at].child.is_some()).find(|at| {
            let facts = self.gateways[*at].lives.last().map(|life| read(&life.facts)).unwrap_or_default();
            facts.iter().rev().find_map(|fact| fact["keeps"].as_bool()) == Some(true)
        })
    }

    /// What a gateway has now: floor and leave, by its last fact.
    pub fn has(&self, at: usize) -> u64 {
        let Some(life) = self.gateways[at].lives.last().filter(|life| life.ended.is_none()) else { return 0 };
        let facts = read(&life.facts);
        let Some(last) = facts.iter().rev().find(|fact| fact["budget"].is_string()) else { return 0 };
        let leave = if last["until_us"].as_u64() > Some(boottime_now().as_micros() as u64) {
            &last["leave"]
        } else {
            &Value::Null
        };
        (last["floor"].as_u64().unwrap_or(0) + leave.as_u64().unwrap_or(0)) / 1000
    }

    /// The most that all processes together had leave for at any moment, in statements, and each one's part then.
    pub fn most_leave(&self) -> (u64, Vec<(usize, usize, u64)>) {
        // Time, gateway, life, what it has from then on.
        let mut changes: Vec<(u64, usize, usize, u64)> = Vec::new();
        for (at, gateway) in self.gateways.iter().enumerate() {
            for (life, of) in gateway.lives.iter().enumerate() {
                let mut ends = None;
                for fact in read(&of.facts).iter().filter(|fact| fact["budget"].is_string()) {
                    let figure = |key: &str| fact[key].as_u64().unwrap_or(0);
                    let (when, until) = (figure("at_us"), figure("until_us"));
                    // Leave that has ended before this was noted is no change of now.
                    changes.extend(
                        ends.take().filter(|(end, _)| *end < when).map(|(end, floor)| (end, at, life, floor)),
                    );
                    changes.push((when, at, life, figure("floor") + figure("leave")));
                    ends = (figure("leave") > 0).then_some((until, figure("floor")));
                }
                changes.extend(ends.map(|(end, floor)| (end, at, life, floor)));
                let ended = of.ended.map(|ended| (ended.as_micros() as u64, at, life, 0));
                changes.retain(|(when, other, of, _)| {
                    (*other, *of) != (at, life) || ended.is_none_or(|(end, ..)| *when <= end)
                });
                changes.extend(ended);
            }
        }
        // What shrinks at a moment has shrunk before another grows.
        changes.sort_by_key(|(when, at, life, has)| (*when, *has, *at, *life));
        let mut now: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        let (mut most, mut then) = (0, Vec::new());
        for (_, at, life, has) in changes {
            now.insert((at, life), has);
            let sum = now.values().sum();
            if sum > most {
                most = sum;
                then = now.iter().map(|((at, life), has)| (*at, *life, has / 1000)).collect();
            }
        }
        (most / 1000, then)
    }

    /// B1 and B2: at no moment had all together leave for more than the whole, nor was more in use at the engines.
    pub fn verdict(&self) -> Result<(), String> {
        let whole = self.plan.whole;
        self.one_policy()?;
        let (most, then) = self.most_leave();
        if most > whole {
            return Err(format!("leave for {most} of {whole}: (gateway, life, part) {then:?}"));
        }
        match max_concurrent(self.engines.iter()) {
            (most, at) if most as u64 > whole => Err(format!("{most} of {whole} in use at {at:?}")),
            _ => Ok(()),
        }
    }

    pub fn check(&self) {
        self.verdict().unwrap_or_else(|broken| panic!("{broken}"));
    }

    /// The share of the whole that is in use at the engines over the next while.
    pub fn used_during(&self, span: Duration) -> f64 {
        let from = Instant::now();
        std::thread::sleep(span);
        let to = Instant::now();
        let ran = self.engines.iter().flat_map(|engine| {
            let keep = engine.orphan_retention;
            engine.executions().into_iter().map(move |ran| (ran.began, ran.ended(keep)))
        });
        let busy: Duration =
            ran.map(|(began, ended)| ended.min(to).saturating_duration_since(began.max(from))).sum();
        busy.as_secs_f64() / span.as_secs_f64() / self.plan.whole as f64
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for at in 0..self.plan.gateways {
            self.go_on(at);
            self.kill(at);
        }
    }
}

fn texts(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().filter_map(Value::as_str).map(str::to_string).collect()
}

/// The facts so far; a line that is being written is none yet.
fn read(path: &Path) -> Vec<Value> {
    let Ok(text) = fs::read_to_string(path) else { return Vec::new() };
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// One statement to its last answer.
pub(crate) fn call(
    line: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    id: u64,
    waits: Duration,
) -> CallOutcome {
    let head = format!(
        "POST /svc/lookup HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {id:016x}\r\nX-Org: acme\r\nX-Deadline-Ms: {}\r\n\
         Content-Length: 8\r\n\r\nSELECT 1",
        waits.as_millis()
    );
    let mut ask = head;
    // A path to come back to is called until there is an answer.
    for _ in 0..20 {
        let Some((status, body)) = exchange(line, address, &ask, waits * 3) else {
            return CallOutcome::NoAnswer;
        };
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if let Some(link) = body["link"].as_str() {
            ask = format!("GET {link} HTTP/1.1\r\nHost: rig\r\n\r\n");
            continue;
        }
        let rejected = matches!(status, 429 | 503) || body["abort"] == "Busy";
        return match (rejected, status == 200 && body["abort"].is_null()) {
            (true, _) => CallOutcome::Rejected,
            (_, true) => CallOutcome::Completed,
            _ => CallOutcome::Aborted,
        };
    }
    CallOutcome::Aborted
}

fn exchange(
    line: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    ask: &str,
    within: Duration,
) -> Option<(u16, Vec<u8>)> {
    for fresh in [false, true] {
        if fresh || line.is_none() {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
            let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(within)));
            *line = Some(BufReader::new(stream));
        }
        let reader = line.as_mut()?;
        if reader.get_mut().write_all(ask.as_bytes()).is_err() {
            continue;
        }
        // One that was closed while idle is tried again on a new connection.
        if matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
            let (first, _, body) = bramblewharf_standins::read_message(reader)?;
            return Some((first.split(' ').nth(1)?.parse().ok()?, body));
        }
        if fresh {
            return None;
        }
    }
    None
}
