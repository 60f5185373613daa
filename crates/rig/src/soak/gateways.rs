//! The gateways under test: processes of the program itself, each with its configuration, its outlet of the name service, its log
//! and a record of its lives.

use super::client::CLASSES;
use super::discovery::{Discovery, Outlet, Told};
use crate::world::own_address;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A gateway is ready within this, or something is broken.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// SIGKILL comes as early as this after SIGTERM: the longest deadline, and 0.7 s.
pub const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);

/// What the platform knows of a gateway.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    Serves,
    Terminates(Instant),
    Down,
}

/// How a process of a gateway ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// SIGKILL, out of the blue.
    Killed,
    /// By itself after SIGTERM, with this code.
    Terminated(Option<i32>),
    /// SIGKILL when its time after SIGTERM was over.
    KilledAfterTerm,
    Crashed,
}

/// One process, from its start to its end.
#[derive(Clone, Debug)]
pub struct Life {
    pub started: Instant,
    /// The number of the list that it was started with.
    pub known: u32,
    pub terminated: Option<Instant>,
    pub ended: Option<(Instant, Exit)>,
}

pub struct Gateway {
    pub number: usize,
    pub address: SocketAddr,
    pub phase: Arc<Mutex<Phase>>,
    pub lives: Vec<Life>,
    /// From when until when its process stood still.
    pub stops: Vec<(Instant, Option<Instant>)>,
    outlet: Outlet,
    /// Outlets that the configuration named before, and what they told.
    earlier: Vec<Outlet>,
    child: Option<Child>,
    dir: PathBuf,
    program: PathBuf,
    discovery: Discovery,
    settings: Value,
    seed: u64,
}

/// The settings that all gateways of a fleet are started with.
pub fn settings(gateways: usize, second_copies: bool) -> Value {
    let profile = |class: &super::client::Class| {
        json!({"name": class.name, "promiseUs": 400_000, "deadlineUs": class.deadline.as_micros() as u64,
            "effect": class.effect, "gain": 1, "memorySpanUs": 15_000_000})
    };
    let profiles: Vec<Value> = CLASSES.iter().map(profile).collect();
    json!({
        "balancers": gateways, "rank": 0, "zone": "here", "tickUs": 5000, "kinds": ["std"],
        "tenants": [{"name": "acme"}], "domain": {"sizeCores": [64]}, "profiles": profiles,
        "allowed": {"tryLimit": 3, "mayCancel": true, "secondCopies": second_copies, "retryAfter": true,
            "maxRetryAfterUs": 200_000, "dialTimeoutUs": 250_000, "keepaliveUs": 3_000_000},
        "rules": {"startCapacity": 0.3, "coldUs": 1000, "fallMultiple": 2, "tipAfterUs": 2_000_000,
            "stopSendingWithinUs": 250_000}})
}

impl Gateway {
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
            address: own_address(),
            phase: Arc::new(Mutex::new(Phase::Down)),
            lives: Vec::new(),
            stops: Vec::new(),
            outlet: Outlet::open(discovery, seed)?,
            earlier: Vec::new(),
            child: None,
            dir: dir.into(),
            program: program.into(),
            discovery: discovery.clone(),
            settings,
            seed,
        })
    }

    pub fn outlet(&self) -> &Outlet {
        &self.outlet
    }

    /// All that its outlets have told.
    pub fn told(&self) -> Vec<Told> {
        self.earlier.iter().chain([&self.outlet]).flat_map(Outlet::told).collect()
    }

    /// When the faults of its outlets changed.
    pub fn name_changes(&self) -> Vec<Instant> {
        self.earlier.iter().chain([&self.outlet]).flat_map(Outlet::changes).collect()
    }

    pub fn set_phase(&self, phase: Phase) {
        *self.phase.lock().expect("phase") = phase;
    }

    fn log_path(&self) -> PathBuf {
        self.dir.join(format!("log-{}", self.number))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    fn write_configuration(&self) -> io::Result<(PathBuf, u32)> {
        let (serial, known) = self.discovery.known();
        let configuration = json!({
            "name": format!("g-{}", self.number), "listen": self.address.to_string(), "seed": format!("{:x}", self.seed),
            "limits": {"memory_mb": 64, "sockets": 512}, "names": self.outlet.address.to_string(),
            "known": known, "settings": self.settings});
        let path = self.dir.join(format!("config-{}.json", self.number));
        // Never half a file: a reload may read it at any time.
        let next = path.with_extension("next");
        fs::write(&next, configuration.to_string())?;
        fs::rename(&next, &path)?;
        Ok((path, serial))
    }

    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let (path, known) = self.write_configuration()?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.program);
        command.args(["serve", "--config"]).arg(path).arg("--ends-with-its-parent");
        command.env_remove("EDGE_LISTEN").env_remove("EDGE_NAME");
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        self.child = Some(child);
        let started = Instant::now();
        self.lives.push(Life { started, known, terminated: None, ended: None });
        while TcpStream::connect(self.address).is_err() {
            if self.look() || started.elapsed() > READY_WITHIN {
                return Err(io::Error::other(format!("gateway {}: {}", self.number, self.log())));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.set_phase(Phase::Serves);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Its process stands still until it is told to go on.
    pub fn stop(&mut self) {
        if self.stops.last().is_none_or(|(_, until)| until.is_some()) {
            self.stops.push((Instant::now(), None));
        }
        self.signal(Signal::STOP);
    }

    pub fn go_on(&mut self) {
        self.signal(Signal::CONT);
        self.stops.iter_mut().for_each(|(_, until)| *until = until.or(Some(Instant::now())));
    }

    /// SIGKILL out of the blue.
    pub fn kill(&mut self) {
        self.set_phase(Phase::Down);
        self.end(Exit::Killed);
    }

    /// SIGTERM; `look` sees to the rest.
    pub fn terminate(&mut self) {
        let Some(life) = self.lives.last_mut().filter(|life| life.ended.is_none()) else { return };
        let now = Instant::now();
        life.terminated.get_or_insert(now);
        self.set_phase(Phase::Terminates(now));
        self.signal(Signal::TERM);
    }

    /// Whether its process has ended, which is put on record; one whose time after SIGTERM is over is killed.
    pub fn look(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let terminated = self.lives.last().and_then(|life| life.terminated);
        if let Ok(Some(status)) = child.try_wait() {
            let exit = if terminated.is_some() { Exit::Terminated(status.code()) } else { Exit::Crashed };
            self.ended(exit);
            return true;
        }
        if terminated.is_some_and(|at| at.elapsed() >= KILL_AFTER_TERM) {
            self.end(Exit::KilledAfterTerm);
            return true;
        }
        false
    }

    fn end(&mut self, exit: Exit) {
        if self.child.is_some() {
            self.signal(Signal::KILL);
            self.ended(exit);
        }
    }

    fn ended(&mut self, exit: Exit) {
        self.set_phase(Phase::Down);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        if let Some(life) = self.lives.last_mut() {
            life.ended = Some((Instant::now(), exit));
        }
    }

    /// A new configuration that names another outlet, and SIGHUP. The earlier outlet no longer answers.
    pub fn move_names(&mut self) -> io::Result<()> {
        let next = Outlet::open(&self.discovery, self.seed + 1 + self.earlier.len() as u64)?;
        let before = std::mem::replace(&mut self.outlet, next);
        before.set(super::discovery::NameFaults { silent: true, ..Default::default() });
        self.earlier.push(before);
        self.write_configuration()?;
        self.signal(Signal::HUP);
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end(Exit::Killed);
    }
}
