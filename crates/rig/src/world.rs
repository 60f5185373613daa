//! A fleet of real gateway processes on loopback, with engines, clients and a relay on every path between
//! processes: faults that can be injected into it, and the checks of the invariants against its records.

use crate::relay::{Link, PathState, StreamState, TcpRelay, UdpRelay};
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
/// Longest wait for a state that the fleet must reach.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    pub gateways: usize,
    /// The first gateways, as many as this, are voters.
    pub voters: usize,
    pub engines: usize,
    /// Size of the budget, in statements at once.
    pub whole: u64,
    pub floor_percent: u64,
    pub lease: Duration,
    pub orphan_retention: Duration,
    /// How long a statement runs.
    pub statement_time: Duration,
    /// The deadline of each request.
    pub client_timeout: Duration,
    pub seed: u64,
    /// A bug to inject into every gateway, by its value of `--wrong`.
    pub injected_bug: Option<&'static str>,
    /// Gateways exchange gossip about engines, in a fleet so large that a slice of an engine is less than a
    /// statement. One more peer is configured, whose address only the test uses.
    pub peers: bool,
    /// The initial policy, if the policy is agreed on by the fleet.
    pub policy: Option<&'static str>,
    /// Gateways record their executions in flight in a file, for the next process.
    pub keeps_record: bool,
    /// Clock drift by gateway: how many parts in a thousand its clock is fast.
    pub clock_drift: BTreeMap<usize, i64>,
}

impl Default for FleetSpec {
    fn default() -> FleetSpec {
        FleetSpec {
            gateways: 4,
            voters: 3,
            engines: 2,
            whole: 24,
            floor_percent: 50,
            lease: Duration::from_secs(1),
            orphan_retention: 600 * MS,
            statement_time: 120 * MS,
            client_timeout: 900 * MS,
            seed: 1,
            injected_bug: None,
            peers: false,
            policy: None,
            keeps_record: true,
            clock_drift: BTreeMap::new(),
        }
    }
}

impl FleetSpec {
    /// Time after the last message of a grant holder until its grant is free again.
    pub fn reclaim_delay(&self) -> Duration {
        (self.lease * 5 / 4 + self.client_timeout + self.orphan_retention).mul_f64(1.03) + 250 * MS
    }
}

/// An address of this process's own loopback host that is returned only once, so that a process can listen on
/// it.
pub(crate) fn reserve_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    SocketAddr::new(unused_address().ip(), NEXT.fetch_add(1, Ordering::SeqCst))
}

struct Process {
    child: Option<Child>,
    /// The processes so far; each has its own file of facts.
    runs: Vec<ProcessRun>,
    client_address: SocketAddr,
    fleet_address: SocketAddr,
    peer_address: SocketAddr,
    /// One relay for each engine.
    engine_relays: Vec<TcpRelay>,
}

struct ProcessRun {
    facts: PathBuf,
    /// When the process had ended, by the machine's clock.
    ended_at: Option<Duration>,
}

/// The outcome of one statement for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Completed,
    Rejected,
    Aborted,
    /// The connection was refused or closed: the gateway is down.
    NoAnswer,
}

/// Counts of the outcomes of a gateway's clients.
#[derive(Default)]
pub struct CallCounts {
    pub completed: AtomicU64,
    pub rejected: AtomicU64,
    pub aborted: AtomicU64,
    pub unanswered: AtomicU64,
    /// Answers that came after the client's deadline.
    pub late: AtomicU64,
}

impl CallCounts {
    /// Statements completed so far.
    pub fn completed(&self) -> u64 {
        self.completed.load(Ordering::SeqCst)
    }
}

/// Running clients of one gateway; they end when this is dropped.
pub struct Clients {
    shutdown: Arc<AtomicBool>,
    pub counts: Arc<CallCounts>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.shutdown.store(true, Ordering::SeqCst);
    }
}

/// The fleet with its engines, relays and files.
pub struct World {
    pub spec: FleetSpec,
    pub engines: Vec<TimedEngine>,
    gateways: Vec<Process>,
    /// Links between a gateway and a voter; the first side is the gateway's.
    links: BTreeMap<(usize, usize), UdpRelay>,
    /// Address of the configured peer that only the test uses.
    pub test_peer: SocketAddr,
    dir: tempfile::TempDir,
    program: PathBuf,
    ids: Arc<AtomicU64>,
}

impl World {
    /// Starts engines and relays and writes the common files; `program` is the gateway executable.
    pub fn new(spec: FleetSpec, program: &Path) -> io::Result<World> {
        let dir = tempfile::tempdir()?;
        fs::write(dir.path().join("key"), "the key of a fleet in the rig")?;
        let engines: Vec<TimedEngine> = (0..spec.engines)
            .map(|_| TimedEngine::start(spec.statement_time, spec.orphan_retention))
            .collect();
        let mut gateways = Vec::new();
        for _ in 0..spec.gateways {
            let relays: io::Result<Vec<TcpRelay>> =
                engines.iter().map(|engine| TcpRelay::start(engine.address)).collect();
            let (client_address, fleet_address, peer_address) =
                (reserve_address(), reserve_address(), reserve_address());
            gateways.push(Process {
                child: None,
                runs: Vec::new(),
                client_address,
                fleet_address,
                peer_address,
                engine_relays: relays?,
            });
        }
        let mut links = BTreeMap::new();
        for voter in 0..spec.voters {
            for other in (0..spec.gateways).filter(|other| *other != voter) {
                // Two voters share one link.
                if other < voter && other < spec.voters {
                    continue;
                }
                let ends = [gateways[other].fleet_address, gateways[voter].fleet_address];
                links.insert((other, voter), UdpRelay::start(UdpRelay::bind()?, ends, spec.seed)?);
            }
        }
        let test_peer = reserve_address();
        Ok(World {
            spec,
            engines,
            gateways,
            links,
            test_peer,
            dir,
            program: program.into(),
            ids: Arc::default(),
        })
    }

    /// The address at which `from` reaches the voter `to`.
    fn voter_address(&self, from: usize, to: usize) -> SocketAddr {
        match self.links.get(&(from, to)) {
            _ if from == to => self.gateways[to].fleet_address,
            Some(relay) => relay.addresses[0],
            None => self.links[&(to, from)].addresses[1],
        }
    }

    /// The link between two gateways, and the index of its direction from the first to the second.
    pub fn link(&self, from: usize, to: usize) -> Option<(Arc<Link>, usize)> {
        let forward = self.links.get(&(from, to)).map(|relay| (relay.link.clone(), 0));
        forward.or_else(|| self.links.get(&(to, from)).map(|relay| (relay.link.clone(), 1)))
    }

    /// Sets the state of the path from one gateway to another.
    pub fn set_path(&self, from: usize, to: usize, state: PathState) {
        if let Some((link, direction)) = self.link(from, to) {
            link.set(direction, state);
        }
    }

    /// Sets the state of every path to and from a gateway.
    pub fn set_paths_of(&self, of: usize, incoming: PathState, outgoing: PathState) {
        for other in (0..self.spec.gateways).filter(|other| *other != of) {
            self.set_path(other, of, incoming);
            self.set_path(of, other, outgoing);
        }
    }

    /// Sets the state of every path between gateways.
    pub fn set_all_paths(&self, state: PathState) {
        self.links.values().for_each(|relay| relay.link.set_both(state));
    }

    /// Sends recent datagrams of every link again.
    pub fn replay_all(&self) {
        self.links.values().for_each(|relay| relay.link.replay());
    }

    /// Sets the state of a gateway's connections to all engines.
    pub fn set_streams_of_gateway(&self, of: usize, state: StreamState) {
        self.gateways[of].engine_relays.iter().for_each(|relay| relay.set(state));
    }

    /// Sets the state of a gateway's connections to one engine.
    pub fn set_stream(&self, of: usize, engine: usize, state: StreamState) {
        self.gateways[of].engine_relays[engine].set(state);
    }

    fn write_files(&self, at: usize, run: usize) -> io::Result<(PathBuf, PathBuf, PathBuf)> {
        let (spec, process) = (&self.spec, &self.gateways[at]);
        let members: Vec<Value> = process
            .engine_relays
            .iter()
            .enumerate()
            .map(|(number, relay)| {
                json!({"id": format!("e-{number}"), "host_port": relay.address.to_string(), "locality": "here",
                    "flavor": "std", "cell": 0, "phase": "up", "size": 1, "up_since_ms": 0})
            })
            .collect();
        let peers: Vec<String> = self.gateways.iter().map(|of| of.peer_address.to_string()).collect();
        let peers: Vec<String> = peers.into_iter().chain([self.test_peer.to_string()]).collect();
        let mut config = json!({
            "name": format!("g-{at}"), "listen": process.client_address.to_string(), "seed": format!("{:x}", spec.seed),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"no": 1, "items": [{"no": 1, "roster": {"revision": 1, "complete": true, "members": members}}]},
            "settings": {
                "balancers": 1, "rank": 0, "zone": "here", "tickUs": 5000, "kinds": ["std"],
                "tenants": [{"name": "acme"}], "domain": {"sizeCores": [64]},
                "profiles": [{"name": "lookup", "promiseUs": 400_000, "deadlineUs": spec.client_timeout.as_micros() as u64,
                    "effect": "read_like", "gain": 1}],
                "allowed": {"tryLimit": 2, "mayCancel": true, "secondCopies": true, "retryAfter": true,
                    "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 250_000, "keepaliveUs": 15_000_000},
                "rules": {"startCapacity": 0.3, "coldUs": 1000, "fallMultiple": 2, "tipAfterUs": 2_000_000}}});
        if spec.peers {
            (config["peer_listen"], config["peers"]) =
                (json!(process.peer_address.to_string()), json!(peers));
            let settings = &mut config["settings"];
            (settings["balancers"], settings["rank"]) = (json!(peers.len()), json!(at));
            (settings["allowed"]["peers"], settings["domain"]["sizeCores"]) = (json!(true), json!([2]));
        }
        let dir = self.dir.path();
        let (config_path, settings, facts) = (
            dir.join(format!("config-{at}.json")),
            dir.join(format!("settings-{at}.hcl")),
            dir.join(format!("facts-{at}-{run}.jsonl")),
        );
        fs::write(&config_path, config.to_string())?;
        let voters: Vec<String> = (0..spec.voters)
            .map(|voter| format!("{:?}", self.voter_address(at, voter).to_string()))
            .collect();
        let own = if at < spec.voters { format!("seat = {at}") } else { String::new() };
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
            listen = process.fleet_address,
            places = spec.gateways,
            seats = voters.join(", "),
            lease = spec.lease.as_millis(),
            keep = spec.orphan_retention.as_millis(),
            status = dir.join(format!("status-{at}.json")),
            whole = spec.whole,
            floor = spec.floor_percent,
        );
        let text = match spec.keeps_record {
            true => text.replacen(
                "  status",
                &format!("  outstanding_file = {:?}\n  status", self.record_path(at)),
                1,
            ),
            false => text,
        };
        let policy = spec.policy.map(|text| {
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

    /// The file in which a gateway records its executions in flight.
    pub fn record_path(&self, at: usize) -> PathBuf {
        self.dir.path().join(format!("outstanding-{at}"))
    }

    /// Deletes the record of a gateway.
    pub fn delete_record(&self, at: usize) {
        let _ = fs::remove_file(self.record_path(at));
    }

    /// Writes the settings for the operators' tool, which reaches the voters without relays.
    fn write_tool_settings(&self) -> io::Result<PathBuf> {
        let dir = self.dir.path();
        let voters: Vec<String> = (0..self.spec.voters)
            .map(|at| format!("{:?}", self.gateways[at].fleet_address.to_string()))
            .collect();
        let (key, path) = (dir.join("key"), dir.join("tool.hcl"));
        let seats = voters.join(", ");
        let text = format!(
            "fleet {{\n name = \"rig\"\n key_file = {key:?}\n listen = \"127.0.0.1:1\"\n places = {}\n seats = [{seats}]\n}}\n",
            self.spec.gateways
        );
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts the tool that proposes a policy text to the fleet.
    pub fn propose(&self, text: &str, wait: Duration) -> io::Result<Child> {
        let file = self.dir.path().join(format!("proposal-{}", self.ids.fetch_add(1, Ordering::SeqCst)));
        fs::write(&file, text)?;
        let mut command = Command::new(&self.program);
        command
            .args(["policy", "propose", "--reason", "a test", "--wait"])
            .arg(format!("{}ms", wait.as_millis()));
        command.arg("--settings").arg(self.write_tool_settings()?).arg(file);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()
    }

    /// By its last fact, in which phase of the policy a gateway is, and by which revisions it decides.
    pub fn policy_state(&self, at: usize) -> Option<(String, Vec<String>)> {
        let run = self.gateways[at].runs.last().filter(|run| run.ended_at.is_none())?;
        let facts = read_facts(&run.facts);
        let last = facts.iter().rev().find(|fact| fact["decides"].is_string())?;
        Some((last["decides"].as_str()?.to_string(), strings(&last["by"])))
    }

    /// Checks P1: at no moment did two gateways decide by different revisions alone.
    pub fn check_policy(&self) -> Result<(), String> {
        // Start, end, revision, gateway.
        let mut spans: Vec<(u64, u64, String, usize)> = Vec::new();
        for (at, gateway) in self.gateways.iter().enumerate() {
            for run in &gateway.runs {
                let ended = run.ended_at.map_or(u64::MAX, |ended| ended.as_micros() as u64);
                let facts = read_facts(&run.facts);
                let facts: Vec<&Value> = facts.iter().filter(|fact| fact["decides"].is_string()).collect();
                for (number, fact) in facts.iter().enumerate().filter(|(_, fact)| fact["decides"] == "by it")
                {
                    let figure = |key: &str| fact[key].as_u64();
                    let next =
                        facts.get(number + 1).and_then(|next| next["at_us"].as_u64()).unwrap_or(u64::MAX);
                    let (Some(from), Some(until)) = (figure("at_us"), figure("until_us")) else { continue };
                    let by = strings(&fact["by"]).concat();
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

    /// Sets the state of the connections of all gateways to one engine.
    pub fn set_streams_to_engine(&self, engine: usize, state: StreamState) {
        self.gateways.iter().for_each(|gateway| gateway.engine_relays[engine].set(state));
    }

    /// Number of connections that gateways have made to an engine so far.
    pub fn connections_to(&self, engine: usize) -> u64 {
        self.gateways
            .iter()
            .map(|gateway| gateway.engine_relays[engine].connections.load(Ordering::Relaxed))
            .sum()
    }

    /// The addresses at which gateways listen for gossip.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.gateways.iter().map(|gateway| gateway.peer_address)
    }

    /// Number of executions that engines have started so far.
    pub fn started_executions(&self) -> usize {
        self.engines.iter().map(|engine| engine.executions().len()).sum()
    }

    /// Starts a gateway unless it runs, and returns once it accepts connections.
    pub fn start(&mut self, at: usize) -> io::Result<()> {
        if self.gateways[at].child.is_some() {
            return Ok(());
        }
        let run = self.gateways[at].runs.len();
        let (config, settings, facts) = self.write_files(at, run)?;
        let log =
            File::options().create(true).append(true).open(self.dir.path().join(format!("log-{at}")))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(config).arg("--settings").arg(settings);
        if let Some(fast) = self.spec.clock_drift.get(&at) {
            command.arg(format!("--clock-fast={fast}"));
        }
        if let Some(bug) = self.spec.injected_bug {
            command.arg("--wrong").arg(bug);
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        self.gateways[at].child = Some(child);
        self.gateways[at].runs.push(ProcessRun { facts, ended_at: None });
        let began = Instant::now();
        while TcpStream::connect(self.gateways[at].client_address).is_err() {
            let child = self.gateways[at].child.as_mut().expect("just started");
            if child.try_wait()?.is_some() || began.elapsed() > MAX_WAIT {
                return Err(io::Error::other(format!("gateway {at} did not start: {}", self.log(at))));
            }
            std::thread::sleep(5 * MS);
        }
        Ok(())
    }

    /// Starts every gateway that does not run.
    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.spec.gateways).try_for_each(|at| self.start(at))
    }

    /// The log of all processes of a gateway.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(self.dir.path().join(format!("log-{at}"))).unwrap_or_default()
    }

    /// Sends a signal to a gateway's process, if it runs.
    pub fn signal(&self, at: usize, signal: rustix::process::Signal) {
        if let Some(child) = &self.gateways[at].child {
            if let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32) {
                let _ = rustix::process::kill_process(pid, signal);
            }
        }
    }

    /// Pauses a gateway by SIGSTOP.
    pub fn pause(&self, at: usize) {
        self.signal(at, rustix::process::Signal::STOP);
    }

    /// Resumes a gateway by SIGCONT.
    pub fn resume(&self, at: usize) {
        self.signal(at, rustix::process::Signal::CONT);
    }

    /// Ends a gateway by SIGKILL and waits for its end.
    pub fn kill(&mut self, at: usize) {
        self.end(at, rustix::process::Signal::KILL);
    }

    /// Ends a gateway by SIGTERM and waits for its end.
    pub fn terminate(&mut self, at: usize) {
        self.end(at, rustix::process::Signal::TERM);
    }

    fn end(&mut self, at: usize, signal: rustix::process::Signal) {
        self.signal(at, signal);
        if let Some(mut child) = self.gateways[at].child.take() {
            let _ = child.wait();
        }
        if let Some(run) = self.gateways[at].runs.last_mut() {
            run.ended_at = Some(boottime_now());
        }
    }

    /// Starts `count` clients of a gateway, each with a statement every `interval`, whatever its outcome.
    pub fn clients(&self, at: usize, count: usize, interval: Duration) -> Clients {
        let (shutdown, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(CallCounts::default()));
        for number in 0..count {
            let (shutdown, counts, ids) = (shutdown.clone(), counts.clone(), self.ids.clone());
            let (address, timeout) = (self.gateways[at].client_address, self.spec.client_timeout);
            // The first statements are spread over one interval.
            let mut next = Instant::now() + interval * number as u32 / count as u32;
            std::thread::spawn(move || {
                let mut connection = None;
                while !shutdown.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + interval).max(Instant::now());
                    let started = Instant::now();
                    let outcome = call(&mut connection, address, ids.fetch_add(1, Ordering::SeqCst), timeout);
                    let count = match outcome {
                        CallOutcome::Completed => &counts.completed,
                        CallOutcome::Rejected => &counts.rejected,
                        CallOutcome::Aborted => &counts.aborted,
                        CallOutcome::NoAnswer => &counts.unanswered,
                    };
                    if outcome != CallOutcome::NoAnswer && started.elapsed() > timeout + 250 * MS {
                        counts.late.fetch_add(1, Ordering::SeqCst);
                    }
                    count.fetch_add(1, Ordering::SeqCst);
                    if outcome == CallOutcome::NoAnswer {
                        connection = None;
                        std::thread::sleep(10 * MS);
                    }
                }
            });
        }
        Clients { shutdown, counts }
    }

    /// The status file of a gateway; `null` until it has written one.
    pub fn status(&self, at: usize) -> Value {
        let path = self.dir.path().join(format!("status-{at}.json"));
        fs::read(path).ok().and_then(|text| serde_json::from_slice(&text).ok()).unwrap_or(Value::Null)
    }

    /// Waits until the condition holds, and panics if it never does.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&World) -> bool) {
        assert!(self.holds_within(MAX_WAIT, holds), "never: {what}: {}", self.describe());
    }

    /// Whether the condition holds at some moment within this time.
    pub fn holds_within(&self, within: Duration, holds: impl Fn(&World) -> bool) -> bool {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() >= within {
                return false;
            }
            std::thread::sleep(10 * MS);
        }
        true
    }

    /// A description of every gateway for failure messages.
    pub fn describe(&self) -> String {
        let gateways = (0..self.spec.gateways).map(|at| {
            let status = self.status(at);
            let running = self.gateways[at].child.is_some();
            let log = self.log(at);
            // The counts of its statements, which it logs every ten seconds.
            let figures = log.lines().rev().find(|line| line.contains("figures")).unwrap_or("no figures yet");
            format!(
                "\n{at}: running {running}, granted {}, seat {}, asks {}\n   {figures}",
                self.granted(at),
                status["seat"],
                status["asks_seat"]
            )
        });
        gateways.collect()
    }

    /// The leader, by the last facts of the voters that run.
    pub fn leader(&self) -> Option<usize> {
        (0..self.spec.voters).filter(|at| self.gateways[*at].child.is_some()).find(|at| {
            let facts = self.gateways[*at].runs.last().map(|run| read_facts(&run.facts)).unwrap_or_default();
            facts.iter().rev().find_map(|fact| fact["keeps"].as_bool()) == Some(true)
        })
    }

    /// What a gateway may use now, in statements: floor and grant, by its last fact.
    pub fn granted(&self, at: usize) -> u64 {
        let Some(run) = self.gateways[at].runs.last().filter(|run| run.ended_at.is_none()) else { return 0 };
        let facts = read_facts(&run.facts);
        let Some(last) = facts.iter().rev().find(|fact| fact["budget"].is_string()) else { return 0 };
        let grant = if last["until_us"].as_u64() > Some(boottime_now().as_micros() as u64) {
            &last["leave"]
        } else {
            &Value::Null
        };
        (last["floor"].as_u64().unwrap_or(0) + grant.as_u64().unwrap_or(0)) / 1000
    }

    /// The most that all processes together were granted at any moment, in statements, and the share of each
    /// process then.
    pub fn max_granted(&self) -> (u64, Vec<(usize, usize, u64)>) {
        // Time, gateway, process run, what it is granted from then on.
        let mut changes: Vec<(u64, usize, usize, u64)> = Vec::new();
        for (at, gateway) in self.gateways.iter().enumerate() {
            for (run, of) in gateway.runs.iter().enumerate() {
                let mut ends = None;
                for fact in read_facts(&of.facts).iter().filter(|fact| fact["budget"].is_string()) {
                    let figure = |key: &str| fact[key].as_u64().unwrap_or(0);
                    let (when, until) = (figure("at_us"), figure("until_us"));
                    // A grant that had expired before this fact ended at its expiry.
                    changes.extend(
                        ends.take().filter(|(end, _)| *end < when).map(|(end, floor)| (end, at, run, floor)),
                    );
                    changes.push((when, at, run, figure("floor") + figure("leave")));
                    ends = (figure("leave") > 0).then_some((until, figure("floor")));
                }
                changes.extend(ends.map(|(end, floor)| (end, at, run, floor)));
                let ended = of.ended_at.map(|ended| (ended.as_micros() as u64, at, run, 0));
                changes.retain(|(when, other, of, _)| {
                    (*other, *of) != (at, run) || ended.is_none_or(|(end, ..)| *when <= end)
                });
                changes.extend(ended);
            }
        }
        // At equal times, decreases apply before increases.
        changes.sort_by_key(|(when, at, run, has)| (*when, *has, *at, *run));
        let mut now: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        let (mut most, mut then) = (0, Vec::new());
        for (_, at, run, has) in changes {
            now.insert((at, run), has);
            let sum = now.values().sum();
            if sum > most {
                most = sum;
                then = now.iter().map(|((at, run), has)| (*at, *run, has / 1000)).collect();
            }
        }
        (most / 1000, then)
    }

    /// Checks B1 and B2: at no moment were the grants of all processes, or the statements running at engines,
    /// more than the whole.
    pub fn check_invariants(&self) -> Result<(), String> {
        let whole = self.spec.whole;
        self.check_policy()?;
        let (most, then) = self.max_granted();
        if most > whole {
            return Err(format!("granted {most} of {whole}: (gateway, process run, share) {then:?}"));
        }
        match max_concurrent(self.engines.iter()) {
            (most, at) if most as u64 > whole => Err(format!("{most} of {whole} in use at {at:?}")),
            _ => Ok(()),
        }
    }

    /// Panics if an invariant is broken.
    pub fn assert_invariants(&self) {
        self.check_invariants().unwrap_or_else(|broken| panic!("{broken}"));
    }

    /// Observes the engines for a while and returns the mean share of the whole in use.
    pub fn utilization(&self, span: Duration) -> f64 {
        let from = Instant::now();
        std::thread::sleep(span);
        let to = Instant::now();
        let ran = self.engines.iter().flat_map(|engine| {
            let keep = engine.orphan_retention;
            engine.executions().into_iter().map(move |ran| (ran.began, ran.ended(keep)))
        });
        let busy: Duration =
            ran.map(|(began, ended)| ended.min(to).saturating_duration_since(began.max(from))).sum();
        busy.as_secs_f64() / span.as_secs_f64() / self.spec.whole as f64
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for at in 0..self.spec.gateways {
            self.resume(at);
            self.kill(at);
        }
    }
}

fn strings(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().filter_map(Value::as_str).map(str::to_string).collect()
}

/// The facts so far, without a line that is still being written.
fn read_facts(path: &Path) -> Vec<Value> {
    let Ok(text) = fs::read_to_string(path) else { return Vec::new() };
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Sends one statement and polls until its final answer.
pub(crate) fn call(
    connection: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    id: u64,
    timeout: Duration,
) -> CallOutcome {
    let head = format!(
        "POST /svc/lookup HTTP/1.1\r\nHost: rig\r\nX-Correlation-Id: {id:016x}\r\nX-Org: acme\r\nX-Deadline-Ms: {}\r\n\
         Content-Length: 8\r\n\r\nSELECT 1",
        timeout.as_millis()
    );
    let mut request = head;
    // A poll path is called until there is a final answer.
    for _ in 0..20 {
        let Some((status, body)) = exchange(connection, address, &request, timeout * 3) else {
            return CallOutcome::NoAnswer;
        };
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if let Some(link) = body["link"].as_str() {
            request = format!("GET {link} HTTP/1.1\r\nHost: rig\r\n\r\n");
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

/// Sends a request and reads its answer.
fn exchange(
    connection: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    request: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    for fresh in [false, true] {
        if fresh || connection.is_none() {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
            let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(timeout)));
            *connection = Some(BufReader::new(stream));
        }
        let reader = connection.as_mut()?;
        if reader.get_mut().write_all(request.as_bytes()).is_err() {
            continue;
        }
        // An idle connection may have been closed: the request is repeated on a new one.
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
