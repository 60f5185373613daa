//! The gateways under test: processes of the real program, each with its configuration, name server, log and
//! a record of its process runs.

use super::client::WORKLOADS;
use super::discovery::{Discovery, NameServer, Notification};
use crate::world::reserve_address;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time within which a started gateway must accept connections.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Earliest SIGKILL after SIGTERM: the longest deadline plus 0.7 s.
pub const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);

/// The state of a gateway as the platform sees it.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    Serving,
    Terminating(Instant),
    Down,
}

/// How a process of a gateway ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// SIGKILL without a SIGTERM before it.
    Killed,
    /// It ended by itself after SIGTERM, with this exit code.
    Terminated(Option<i32>),
    /// SIGKILL because it was still running `KILL_AFTER_TERM` after SIGTERM.
    KilledAfterTerm,
    /// It ended by itself without a SIGTERM.
    Crashed,
}

/// One process of a gateway.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    pub started_at: Instant,
    /// Serial of the engine list in its configuration.
    pub list_serial: u32,
    pub terminated_at: Option<Instant>,
    pub ended: Option<(Instant, Exit)>,
}

/// A gateway, which outlives its processes.
pub struct Gateway {
    pub number: usize,
    pub address: SocketAddr,
    pub phase: Arc<Mutex<Phase>>,
    pub runs: Vec<ProcessRun>,
    /// Start and end of each pause of its process.
    pub pauses: Vec<(Instant, Option<Instant>)>,
    name_server: NameServer,
    /// Name servers that earlier configurations named, with the notifications they sent.
    previous_name_servers: Vec<NameServer>,
    child: Option<Child>,
    dir: PathBuf,
    program: PathBuf,
    discovery: Discovery,
    settings: Value,
    seed: u64,
}

/// The settings of all gateways of a fleet.
pub fn settings(gateways: usize, second_copies: bool) -> Value {
    let profile = |workload: &super::client::Workload| {
        json!({"name": workload.name, "promiseUs": 400_000, "deadlineUs": workload.deadline.as_micros() as u64,
            "effect": workload.effect, "gain": 1, "memorySpanUs": 15_000_000})
    };
    let profiles: Vec<Value> = WORKLOADS.iter().map(profile).collect();
    json!({
        "balancers": gateways, "rank": 0, "zone": "here", "tickUs": 5000, "kinds": ["std"],
        "tenants": [{"name": "acme"}], "domain": {"sizeCores": [64]}, "profiles": profiles,
        "allowed": {"tryLimit": 3, "mayCancel": true, "secondCopies": second_copies, "retryAfter": true,
            "maxRetryAfterUs": 200_000, "dialTimeoutUs": 250_000, "keepaliveUs": 3_000_000},
        "rules": {"startCapacity": 0.3, "coldUs": 1000, "fallMultiple": 2, "tipAfterUs": 2_000_000,
            "stopSendingWithinUs": 250_000}})
}

impl Gateway {
    /// A gateway that is not running yet, with a name server of its own.
    pub fn new(
        number: usize,
        discovery: &Discovery,
        settings: Value,
        dir: &Path,
        program: &Path,
        seed: u64,
    ) -> io::Result<Gateway> {
        Ok(Gateway {
            number,
            address: reserve_address(),
            phase: Arc::new(Mutex::new(Phase::Down)),
            runs: Vec::new(),
            pauses: Vec::new(),
            name_server: NameServer::start(discovery, seed)?,
            previous_name_servers: Vec::new(),
            child: None,
            dir: dir.into(),
            program: program.into(),
            discovery: discovery.clone(),
            settings,
            seed,
        })
    }

    pub fn name_server(&self) -> &NameServer {
        &self.name_server
    }

    /// The notifications of all its name servers, past and present.
    pub fn notifications(&self) -> Vec<Notification> {
        self.previous_name_servers
            .iter()
            .chain([&self.name_server])
            .flat_map(NameServer::notifications)
            .collect()
    }

    /// When the faults of its name servers changed.
    pub fn name_fault_changes(&self) -> Vec<Instant> {
        self.previous_name_servers
            .iter()
            .chain([&self.name_server])
            .flat_map(NameServer::fault_changes)
            .collect()
    }

    /// Sets the state that clients see.
    pub fn set_phase(&self, phase: Phase) {
        *self.phase.lock().expect("phase") = phase;
    }

    fn log_path(&self) -> PathBuf {
        self.dir.join(format!("log-{}", self.number))
    }

    /// The log of all its processes.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    fn write_configuration(&self) -> io::Result<(PathBuf, u32)> {
        let (serial, known) = self.discovery.configured_list();
        let configuration = json!({
            "name": format!("g-{}", self.number), "listen": self.address.to_string(), "seed": format!("{:x}", self.seed),
            "limits": {"memory_mb": 64, "sockets": 512}, "names": self.name_server.address.to_string(),
            "known": known, "settings": self.settings});
        let path = self.dir.join(format!("config-{}.json", self.number));
        // Replaced by a rename, as a reload may read the file at any time.
        let next = path.with_extension("next");
        fs::write(&next, configuration.to_string())?;
        fs::rename(&next, &path)?;
        Ok((path, serial))
    }

    /// Starts the process unless it runs, and returns once it accepts connections.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let (path, list_serial) = self.write_configuration()?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(path).arg("--ends-with-its-parent");
        command.env_remove("EDGE_LISTEN").env_remove("EDGE_NAME");
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        self.child = Some(child);
        let started_at = Instant::now();
        self.runs.push(ProcessRun { started_at, list_serial, terminated_at: None, ended: None });
        while TcpStream::connect(self.address).is_err() {
            if self.poll() || started_at.elapsed() > STARTUP_TIMEOUT {
                return Err(io::Error::other(format!("gateway {}: {}", self.number, self.log())));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.set_phase(Phase::Serving);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses the process by SIGSTOP.
    pub fn pause(&mut self) {
        if self.pauses.last().is_none_or(|(_, until)| until.is_some()) {
            self.pauses.push((Instant::now(), None));
        }
        self.signal(Signal::STOP);
    }

    /// Resumes the process by SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.pauses.iter_mut().for_each(|(_, until)| *until = until.or(Some(Instant::now())));
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        self.set_phase(Phase::Down);
        self.kill_with(Exit::Killed);
    }

    /// Sends SIGTERM; `poll` records the end of the process.
    pub fn terminate(&mut self) {
        let Some(run) = self.runs.last_mut().filter(|run| run.ended.is_none()) else { return };
        let now = Instant::now();
        run.terminated_at.get_or_insert(now);
        self.set_phase(Phase::Terminating(now));
        self.signal(Signal::TERM);
    }

    /// Whether the process has ended, which is recorded; one that outlasts its time after SIGTERM is killed.
    pub fn poll(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let terminated_at = self.runs.last().and_then(|run| run.terminated_at);
        if let Ok(Some(status)) = child.try_wait() {
            let exit = if terminated_at.is_some() { Exit::Terminated(status.code()) } else { Exit::Crashed };
            self.record_exit(exit);
            return true;
        }
        if terminated_at.is_some_and(|at| at.elapsed() >= KILL_AFTER_TERM) {
            self.kill_with(Exit::KilledAfterTerm);
            return true;
        }
        false
    }

    fn kill_with(&mut self, exit: Exit) {
        if self.child.is_some() {
            self.signal(Signal::KILL);
            self.record_exit(exit);
        }
    }

    fn record_exit(&mut self, exit: Exit) {
        self.set_phase(Phase::Down);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        if let Some(run) = self.runs.last_mut() {
            run.ended = Some((Instant::now(), exit));
        }
    }

    /// Writes a configuration that names a new name server and sends SIGHUP. The previous name server no
    /// longer answers.
    pub fn move_name_server(&mut self) -> io::Result<()> {
        let next =
            NameServer::start(&self.discovery, self.seed + 1 + self.previous_name_servers.len() as u64)?;
        let previous = std::mem::replace(&mut self.name_server, next);
        previous.set_faults(super::discovery::NameFaults { silent: true, ..Default::default() });
        self.previous_name_servers.push(previous);
        self.write_configuration()?;
        self.signal(Signal::HUP);
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill_with(Exit::Killed);
    }
}
