//! A fleet of hollow gateways in threads of this process, and of a few real processes of the program, on loopback.

use super::gateway::{first_of, serve, Own, Seen, WAITS};
use bramblewharf_fleet::{Incarnation, Key};
use bramblewharf_gateway::config::{self, Start};
use bramblewharf_gateway::operators;
use bramblewharf_standins::unused_address;
use nanorand::{Rng, WyRand};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

const MS: Duration = Duration::from_millis(1);
/// Zones that gateways and engines are spread over.
pub const ZONES: usize = 19;
/// Threads that share the gateways without a seat; each with one has its own, so that a keeper's time is known.
const THREADS: usize = 4;
const KEY: &str = "the key of a fleet of hollow ones";
/// Where a gateway alone may do whatever it may else: changes of how often a statement may run wait for nobody.
fn policy_text(executions: usize) -> String {
    format!(
        "workload \"lookup\" {{\n  executions = {executions}\n}}\nalone {{\n  workload \"lookup\" {{}}\n}}\n"
    )
}
/// What a gateway alone could go on with though it is forbidden.
pub const FORBIDS: &str = "workload \"lookup\" {\n  forbidden = true\n}\n";

/// A fleet before it is started.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All of them, and how many of these are processes of the program.
    pub gateways: usize,
    pub processes: usize,
    pub engines: usize,
    /// Of an engine: gateways speak of engines only where a slice of one is less than a statement.
    pub cores: usize,
    pub seats: usize,
    pub lease: Duration,
    pub seed: u64,
    /// What serves, and has the operators' tool.
    pub program: PathBuf,
}

/// What all threads see.
pub struct Shared {
    pub seen: Vec<Seen>,
    pub seats: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub key: Key,
    pub fleet: u64,
    /// Statements a second offered to each; whether anybody looks; whether all is over.
    pub rate: AtomicU64,
    pub looks: AtomicBool,
    pub over: AtomicBool,
    /// By engine.
    pub ill: Vec<AtomicBool>,
    pub watched: Vec<AtomicBool>,
    /// Executions there so far, of all hollow gateways.
    pub used: Vec<AtomicU64>,
    /// By thread: the processor time that it has had, in microseconds.
    pub took: Vec<AtomicU64>,
}

impl Shared {
    /// Which engine is there: nothing listens at these addresses.
    pub fn engine(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(host) = address.ip() else { return None };
        let [.., high, low] = host.octets();
        Some(usize::from(u16::from_be_bytes([high, low]))).filter(|at| *at < self.ill.len())
    }
}

/// A real process, and where it shows itself.
struct Real {
    place: usize,
    child: Child,
    status: PathBuf,
}

impl Drop for Real {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a proposal ended: the code of the operators' tool, what it said, how long that took.
pub struct Proposal {
    pub code: i32,
    pub said: String,
    pub took: Duration,
}

/// What a real process shows, as far as it has to be the same everywhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    pub place: usize,
    pub keeper: Option<u64>,
    pub members: u64,
    pub policy: u64,
    pub digest: u64,
    pub given: u64,
}

pub struct Fleet {
    pub plan: Plan,
    pub shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    reals: Vec<Real>,
    dir: tempfile::TempDir,
    proposals: usize,
    /// Memory of this process before the gateways were begun.
    before: u64,
    host: IpAddr,
}

/// As many seats as the program takes, of those that are wanted.
pub fn seats_taken(wanted: usize) -> Result<usize, String> {
    let fits = |seats: usize| {
        let list: Vec<String> = (0..seats).map(|at| format!("\"127.0.0.1:{}\"", 7100 + at)).collect();
        let text = format!(
            "fleet {{\n name = \"x\"\n key_file = \"x\"\n listen = \"127.0.0.1:1\"\n places = 10\n seats = [{}]\n}}\n",
            list.join(", ")
        );
        operators::read(&text, None)
    };
    let fault = match fits(wanted) {
        Ok(_) => return Ok(wanted),
        Err(fault) => fault,
    };
    let fewer = (1..wanted).rev().find(|seats| fits(*seats).is_ok());
    fewer.ok_or(fault)
}

/// Resident memory of a process.
fn memory_of(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kib| kib * 1024)
}

fn resident() -> u64 {
    memory_of(std::process::id()).unwrap_or(0)
}

/// Processor time of a process, in microseconds. The system counts it in hundredths of a second.
fn of_process(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(ticks * 10_000)
}

impl Fleet {
    /// How many of all are hollow.
    pub fn hollow(&self) -> usize {
        self.plan.gateways - self.plan.processes
    }

    /// Binds all addresses, starts the threads and the processes.
    pub fn start(plan: Plan) -> Result<Fleet, String> {
        let io = |what: &str| {
            let what = what.to_string();
            move |e: io::Error| format!("{what}: {e}")
        };
        let hollow = plan.gateways - plan.processes;
        let host = unused_address().ip();
        // Below those that the system gives out, and none of them twice: fleets of one process may be there at once.
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let ports = NEXT.fetch_add(plan.processes as u16, Relaxed);
        let bind = || -> Result<Vec<UdpSocket>, String> {
            let bound = (0..hollow).map(|_| {
                let socket = UdpSocket::bind((host, 0))?;
                socket.set_nonblocking(true).map(|()| socket)
            });
            bound.collect::<io::Result<_>>().map_err(io("sockets of hollow gateways"))
        };
        let (of_fleet, of_peers) = (bind()?, bind()?);
        let addresses = |sockets: &[UdpSocket], first: u16| -> Result<Vec<SocketAddr>, String> {
            let own = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>();
            let mut own = own.map_err(io("sockets of hollow gateways"))?;
            own.extend((0..plan.processes).map(|at| SocketAddr::new(host, first + ports + at as u16)));
            Ok(own)
        };
        let (fleet, peers) = (addresses(&of_fleet, 21_000)?, addresses(&of_peers, 22_000)?);
        let dir = tempfile::tempdir().map_err(io("folder"))?;
        let files = Files { plan: &plan, dir: dir.path(), fleet: &fleet, peers: &peers, host, ports };
        files.write_shared().map_err(io("files"))?;
        let (config, settings) = files.write(0).map_err(io("files"))?;
        let template = config::load(Some(config), Some(&settings))?;
        let terms = template.fleet.clone().ok_or("no fleet")?;
        let threads = plan.seats + THREADS;
        let several = |many: usize| (0..many).map(|_| AtomicBool::new(false)).collect();
        let shared = Arc::new(Shared {
            seen: (0..hollow).map(|_| Seen::default()).collect(),
            seats: fleet[..plan.seats].to_vec(),
            peers: peers.clone(),
            key: terms.key.clone(),
            fleet: terms.start.config.fleet,
            rate: AtomicU64::new(0),
            looks: AtomicBool::new(true),
            over: AtomicBool::new(false),
            ill: several(plan.engines),
            watched: several(plan.engines),
            used: (0..plan.engines).map(|_| AtomicU64::new(0)).collect(),
            took: (0..threads).map(|_| AtomicU64::new(0)).collect(),
        });
        let before = resident();
        let mut owns: Vec<Vec<Own>> = (0..threads).map(|_| Vec::new()).collect();
        let mut rng = WyRand::new_seed(plan.seed);
        for (at, (fleet, peers)) in of_fleet.into_iter().zip(of_peers).enumerate() {
            let thread = if at < plan.seats { at } else { plan.seats + at % THREADS };
            owns[thread].push(own(&template, &plan, at, fleet, peers, &mut rng)?);
        }
        drop(template);
        let mut running = Vec::new();
        for (at, owns) in owns.into_iter().enumerate() {
            let shared = shared.clone();
            let thread = std::thread::Builder::new().name(format!("hollow-{at}"));
            running.push(thread.spawn(move || serve_all(at, owns, shared)).map_err(io("threads"))?);
        }
        let mut fleet =
            Fleet { plan, shared, threads: running, reals: Vec::new(), dir, proposals: 0, before, host };
        for place in hollow..fleet.plan.gateways {
            let (dir, seats, peers) = (fleet.dir.path(), &fleet.shared.seats, &fleet.shared.peers);
            let files = Files { plan: &fleet.plan, dir, fleet: seats, peers, host, ports };
            let real = files.start(place).map_err(io("a real process"))?;
            fleet.reals.push(real);
        }
        Ok(fleet)
    }

    /// Waits for a fact of all gateways; how long it took, if it came in time.
    pub fn wait(&self, most: Duration, holds: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let began = Instant::now();
        self.shared.looks.store(true, Relaxed);
        while !holds(self) {
            if began.elapsed() >= most {
                return None;
            }
            std::thread::sleep(20 * MS);
        }
        Some(began.elapsed())
    }

    /// Those that are there and not cut off.
    pub fn there(&self) -> impl Iterator<Item = &Seen> + '_ {
        let there = |seen: &&Seen| !seen.cut.load(Relaxed) && !seen.ended.load(Relaxed);
        self.shared.seen.iter().filter(there)
    }

    /// The seat that keeps, by itself, of those that are there.
    pub fn keeper(&self) -> Option<usize> {
        let seats = self.shared.seen.iter().take(self.plan.seats).enumerate();
        seats
            .filter(|(_, seen)| !seen.ended.load(Relaxed))
            .find(|(_, s)| s.keeps.load(Relaxed))
            .map(|(at, _)| at)
    }

    /// What the real processes show.
    pub fn shown(&self) -> Vec<Shown> {
        let shown = self.reals.iter().map(|real| {
            let value = fs::read(&real.status).ok().and_then(|text| serde_json::from_slice(&text).ok());
            let value: Value = value.unwrap_or(Value::Null);
            let policy = &value["policy"];
            let by_it = policy["decides"] == "by it";
            Shown {
                place: real.place,
                keeper: value["asks_seat"].as_u64().filter(|_| value["has_leave"] == true),
                members: value["members"].as_u64().unwrap_or(0),
                policy: policy["number"].as_u64().filter(|_| by_it).unwrap_or(0),
                digest: policy["digest"].as_str().filter(|_| by_it).map_or(0, first_of),
                given: value["given"].as_u64().unwrap_or(0),
            }
        });
        shown.collect()
    }

    /// How often each has been given leave, hollow ones first.
    pub fn given(&self) -> Vec<u64> {
        let hollow = self.shared.seen.iter().map(|seen| seen.given.load(Relaxed));
        hollow.chain(self.shown().iter().map(|shown| shown.given)).collect()
    }

    /// Those that are there, have leave, and were given it so many times since.
    pub fn given_since(&self, before: &[u64], times: u64) -> usize {
        let hollow = self.shared.seen.iter().zip(before).filter(|(seen, before)| {
            let has = !seen.ended.load(Relaxed) && seen.leave_of.load(Relaxed) != 0;
            has && seen.given.load(Relaxed) >= **before + times
        });
        let real = self.shown().into_iter().zip(&before[self.hollow()..]);
        let real = real.filter(|(shown, before)| shown.keeper.is_some() && shown.given >= **before + times);
        hollow.count() + real.count()
    }

    /// All that are there have leave of one keeper.
    pub fn all_have_leave(&self) -> bool {
        let Some(keeper) = self.keeper() else { return false };
        self.there().all(|seen| seen.leave_of.load(Relaxed) == keeper as u64 + 1)
            && self.shown().iter().all(|shown| shown.keeper == Some(keeper as u64))
    }

    /// All that are there decide by one and the same revision, alone, by leave.
    pub fn all_decide_by(&self, number: u64) -> bool {
        let digest = self.there().next().map_or(0, |seen| seen.digest.load(Relaxed));
        self.there().all(|s| s.policy.load(Relaxed) == number && s.digest.load(Relaxed) == digest)
            && self.shown().iter().all(|shown| (shown.policy, shown.digest) == (number, digest))
    }

    /// How many of those that are there, hollow and real, decide by a revision.
    pub fn decide_by(&self, number: u64) -> (usize, usize) {
        let hollow = self.there().filter(|seen| seen.policy.load(Relaxed) == number).count();
        (hollow, self.shown().iter().filter(|shown| shown.policy == number).count())
    }

    /// Proposes a text by the operators' tool. The wait ends by itself.
    pub fn propose(&mut self, text: &str, wait: Duration) -> io::Result<std::thread::JoinHandle<Proposal>> {
        self.proposals += 1;
        let file = self.dir.path().join(format!("proposal-{}", self.proposals));
        fs::write(&file, text)?;
        let mut command = Command::new(&self.plan.program);
        command.args(["policy", "propose", "--reason", "measured", "--wait"]);
        command.arg(format!("{}ms", wait.as_millis()));
        command.arg("--settings").arg(self.dir.path().join("tool.hcl")).arg(file);
        let began = Instant::now();
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        Ok(std::thread::spawn(move || match child.wait_with_output() {
            Ok(output) => {
                let said = [output.stdout, output.stderr].concat();
                let said = String::from_utf8_lossy(&said).trim().replace('\n', "; ");
                Proposal { code: output.status.code().unwrap_or(-1), said, took: began.elapsed() }
            }
            Err(error) => Proposal { code: -1, said: error.to_string(), took: began.elapsed() },
        }))
    }

    /// The next text, which permits more than all before it.
    pub fn wider(&self) -> String {
        policy_text(3 + self.proposals)
    }

    /// A share of the gateways without a seat, in equal steps, is cut off or is there again.
    pub fn cut(&self, percent: usize, cut: bool) -> usize {
        let without = &self.shared.seen[self.plan.seats..];
        let many = (self.plan.gateways * percent).div_ceil(100).min(without.len());
        let chosen = (0..many).map(|at| &without[at * without.len() / many]);
        chosen.map(|seen| seen.cut.store(cut, Relaxed)).count()
    }

    /// Processor time so far, in microseconds: of each thread, and of each real process.
    pub fn took(&self) -> (Vec<u64>, Vec<u64>) {
        let threads = self.shared.took.iter().map(|took| took.load(Relaxed)).collect();
        (threads, self.reals.iter().filter_map(|real| of_process(real.child.id())).collect())
    }

    /// Bytes of memory by hollow gateway, and of a real process.
    pub fn memory(&self) -> (u64, Option<u64>) {
        let own = resident().saturating_sub(self.before) / self.hollow() as u64;
        let real: Vec<u64> = self.reals.iter().filter_map(|real| memory_of(real.child.id())).collect();
        (own, real.iter().max().copied())
    }

    /// Datagrams that full buffers of this fleet's sockets have lost, as the system counts them.
    pub fn lost(&self) -> u64 {
        let IpAddr::V4(host) = self.host else { return 0 };
        let host = format!("{:08X}:", u32::from_ne_bytes(host.octets()));
        let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
        let rows = text.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let own = rows.filter(|row| row.get(1).is_some_and(|local| local.starts_with(&host)));
        own.filter_map(|row| row.last()?.parse::<u64>().ok()).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.over.store(true, Relaxed);
        self.reals.clear();
        // Each looks ten times a second.
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn own(
    template: &Start,
    plan: &Plan,
    at: usize,
    fleet: UdpSocket,
    peers: UdpSocket,
    rng: &mut WyRand,
) -> Result<Own, String> {
    let terms = template.fleet.clone().ok_or("no fleet")?;
    let seat = (at < plan.seats).then_some(at as u8);
    let incarnation: u64 = rng.generate();
    let part = bramblewharf_fleet::node::Start {
        member_id: at as u32,
        voter: seat,
        incarnation: Incarnation(incarnation),
        seed: rng.generate(),
        ..terms.start
    };
    let policy = terms.policy.ok_or("no policy")?;
    let start = bramblewharf_policy::Start { member_id: at as u32, voter: seat, incarnation, ..policy.start };
    let mut site = template.site.clone();
    (site.gateway, site.zone) = (at as u32, zone(at).into());
    let policy = Some((start, policy.names));
    Ok(Own {
        at,
        part,
        policy,
        site,
        list: template.cached_engines.engines.clone(),
        seed: rng.generate(),
        fleet,
        peers,
    })
}

fn zone(at: usize) -> String {
    format!("z-{}", at % ZONES)
}

fn serve_all(at: usize, owns: Vec<Own>, shared: Arc<Shared>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return eprintln!("hollow: {error}"),
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        for own in owns {
            tokio::task::spawn_local(serve(own, shared.clone()));
        }
        while !shared.over.load(Relaxed) {
            tokio::time::sleep(50 * MS).await;
            let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
            let took = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000;
            shared.took[at].store(took, Relaxed);
        }
    });
}

/// What the program and its tool are told by files.
struct Files<'a> {
    plan: &'a Plan,
    dir: &'a Path,
    fleet: &'a [SocketAddr],
    peers: &'a [SocketAddr],
    host: IpAddr,
    /// The first of the real processes' ports, beyond what each kind begins with.
    ports: u16,
}

impl Files<'_> {
    fn seats(&self) -> String {
        let seats = self.fleet[..self.plan.seats].iter().map(|seat| format!("{:?}", seat.to_string()));
        seats.collect::<Vec<_>>().join(", ")
    }

    fn write_shared(&self) -> io::Result<()> {
        fs::write(self.dir.join("key"), KEY)?;
        fs::write(self.dir.join("policy.hcl"), policy_text(2))?;
        let text = format!(
            "fleet {{\n name = \"hollow\"\n key_file = {:?}\n listen = \"127.0.0.1:1\"\n places = {}\n seats = [{}]\n}}\n",
            self.dir.join("key"),
            self.plan.gateways,
            self.seats()
        );
        fs::write(self.dir.join("tool.hcl"), text)
    }

    /// The configuration and the settings of one place.
    fn write(&self, at: usize) -> io::Result<(PathBuf, PathBuf)> {
        let Plan { gateways, engines, cores, lease, seed, processes, .. } = self.plan;
        let members: Vec<Value> = (0..*engines)
            .map(|engine| {
                let [high, low] = (engine as u16).to_be_bytes();
                let address = SocketAddr::new(Ipv4Addr::new(127, 63, high, low).into(), 9);
                json!({"id": format!("e-{engine}"), "host_port": address.to_string(), "locality": zone(engine),
                    "flavor": "std", "cell": 0, "phase": "up", "size": 1, "up_since_ms": 0})
            })
            .collect();
        let peers: Vec<String> = self.peers.iter().map(SocketAddr::to_string).collect();
        let real = self.ports + at.saturating_sub(gateways - processes) as u16;
        let port = |first: u16| SocketAddr::new(self.host, first + real).to_string();
        let config = json!({
            "name": format!("g-{at}"), "listen": port(20_000), "seed": format!("{seed:x}"),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "peer_listen": port(22_000), "peers": peers,
            "known": {"no": 1, "items": [{"no": 1, "roster": {"revision": 1, "complete": true, "members": members}}]},
            "settings": {
                "balancers": gateways, "rank": at, "zone": zone(at), "tickUs": 5000, "kinds": ["std"],
                "tenants": [{"name": "acme"}], "domain": {"sizeCores": [cores]},
                "profiles": [{"name": "lookup", "promiseUs": 400_000, "deadlineUs": WAITS.as_micros() as u64,
                    "effect": "read_like", "gain": 1}],
                "allowed": {"tryLimit": 2, "mayCancel": true, "secondCopies": true, "retryAfter": true, "peers": true,
                    "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 250_000, "keepaliveUs": 15_000_000},
                "rules": {"startCapacity": 0.3, "coldUs": 1000, "fallMultiple": 2, "tipAfterUs": 2_000_000}}});
        let (path, settings) =
            (self.dir.join(format!("config-{at}.json")), self.dir.join(format!("settings-{at}.hcl")));
        fs::write(&path, config.to_string())?;
        let text = format!(
            r#"fleet {{
  name = "hollow"
  key_file = {key:?}
  listen = "{listen}"
  places = {gateways}
  place = {at}
  seats = [{seats}]
  lease = "{lease}ms"
  engines_keep = "600ms"
  policy = {policy:?}
  policy_file = {kept:?}
  status = {status:?}
}}
budget "all" {{
  at_once = "statements"
  whole = {whole}
  floor_percent = 50
}}
"#,
            key = self.dir.join("key"),
            listen = port(21_000),
            seats = self.seats(),
            lease = lease.as_millis(),
            policy = self.dir.join("policy.hcl"),
            kept = self.dir.join(format!("policy-{at}")),
            status = self.dir.join(format!("status-{at}.json")),
            whole = 40 * gateways,
        );
        fs::write(&settings, text)?;
        Ok((path, settings))
    }

    fn start(&self, place: usize) -> io::Result<Real> {
        let (config, settings) = self.write(place)?;
        let log = File::create(self.dir.join(format!("log-{place}")))?;
        let mut command = Command::new(&self.plan.program);
        command.args(["serve", "--ends-with-its-parent", "--config"]).arg(config);
        command.arg("--settings").arg(settings);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(Real { place, child, status: self.dir.join(format!("status-{place}.json")) })
    }
}
