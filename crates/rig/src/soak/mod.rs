//! Soak test of the real program: a few dozen gateway processes, engines, a name service and clients on
//! loopback, with overlapping random faults. The records of all of them are checked against the invariants in
//! `judge`.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod faults;
pub mod gateways;
pub mod judge;

use client::{ClientBehavior, Clients, RequestOutcome, USUAL_DISCONNECT_PERCENT};
use discovery::{Discovery, Entry, NameFaults};
use engine::{Engine, Mode};
use faults::{Fault, FaultParameters, Plan};
use gateways::{settings, Gateway, Phase};
use judge::{GatewayRecord, Lateness, Records, Violation};
use rustix::process::Signal;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which a run performs the actions that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Delay between the end of an engine and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);
/// Time that the fleet keeps serving after the last fault began; every fault is undone within it.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;
/// Largest number of log lines in a report.
const MAX_TRACE_LINES: usize = 200;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub engines: usize,
    pub clients_each: usize,
    /// Mean pause of a client between two requests.
    pub request_interval: Duration,
    pub faults: usize,
    /// Additional faults: engines that read statements late or are stopped.
    pub late_reads: usize,
    pub duration: Duration,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    pub seed: u64,
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub attempts: usize,
    /// Statements that reached an engine although no client of this run sent them: they come from another run
    /// on this machine, one of whose engines had the address before.
    pub foreign_attempts: usize,
    pub violations: Vec<Violation>,
    pub worst_lateness: Duration,
    /// Log lines of the gateways about the requests that violations name; with `BRAMBLEWHARF_LOG=debug`,
    /// every step of them.
    pub traces: Vec<String>,
    /// The faults that were injected.
    pub plan: Plan,
}

/// A scheduled action that undoes a fault or follows from one.
enum Action {
    EndEngine(usize),
    ReplaceEngine(usize),
    RestoreEngine(usize),
    RestoreNameService(Option<usize>),
    StartGateway(usize),
    ResumeGateway(usize),
    DisconnectCrowd,
}

/// A running fleet with its engines and name service.
pub struct Fleet {
    pub discovery: Discovery,
    /// The current engine of each slot, if any.
    engine_slots: Vec<Option<Engine>>,
    ended_engines: Vec<Engine>,
    pub gateways: Vec<Gateway>,
    scheduled: Vec<(Instant, Action)>,
    crowds: Vec<Vec<TcpStream>>,
    engines_started: u64,
    seed: u64,
    second_copies: bool,
    engine_ends: HashMap<String, Instant>,
    lateness: Arc<Mutex<Lateness>>,
    shutdown: Arc<AtomicBool>,
    started_at: Instant,
    next_request_id: Arc<AtomicU64>,
    _dir: tempfile::TempDir,
}

impl Fleet {
    /// Starts engines, the name service and gateways, and returns once they serve; `program` is the gateway
    /// executable.
    pub fn start(gateways: usize, engines: usize, seed: u64, program: &Path) -> io::Result<Fleet> {
        let dir = tempfile::tempdir()?;
        let second_copies = seed.is_multiple_of(2);
        let mut fleet = Fleet {
            discovery: Discovery::default(),
            engine_slots: (0..engines).map(|_| None).collect(),
            ended_engines: Vec::new(),
            gateways: Vec::new(),
            scheduled: Vec::new(),
            crowds: Vec::new(),
            engines_started: 0,
            seed,
            second_copies,
            engine_ends: HashMap::new(),
            lateness: Arc::default(),
            shutdown: Arc::default(),
            started_at: Instant::now(),
            next_request_id: Arc::new(AtomicU64::new(first_request_id())),
            _dir: dir,
        };
        for slot in 0..engines {
            fleet.start_engine(slot)?;
        }
        for number in 0..gateways {
            let settings = settings(gateways, second_copies);
            let (dir, seed) = (fleet._dir.path(), seed.wrapping_mul(131).wrapping_add(number as u64));
            let mut gateway = Gateway::new(number, &fleet.discovery, settings, dir, program, seed)?;
            gateway.start()?;
            fleet.gateways.push(gateway);
        }
        fleet.record_timer_lateness();
        Ok(fleet)
    }

    /// Records by how much timers of this process fire late, on a thread of its own.
    fn record_timer_lateness(&self) {
        let (lateness, shutdown) = (self.lateness.clone(), self.shutdown.clone());
        std::thread::spawn(move || {
            while !shutdown.load(Ordering::Relaxed) {
                let due = Instant::now() + POLL_INTERVAL;
                std::thread::sleep(POLL_INTERVAL);
                let now = Instant::now();
                lateness.lock().expect("lateness").record(now, now.saturating_duration_since(due));
            }
        });
    }

    /// Starts `count` clients of a gateway.
    pub fn clients(&self, gateway: usize, count: usize, mean_interval: Duration) -> Clients {
        let disconnect_percent = USUAL_DISCONNECT_PERCENT;
        self.clients_of(gateway, ClientBehavior { count, mean_interval, disconnect_percent })
    }

    /// Starts clients of one gateway that behave like this.
    pub fn clients_of(&self, gateway: usize, behavior: ClientBehavior) -> Clients {
        let seed = self.seed.wrapping_mul(7919).wrapping_add(gateway as u64 * 101);
        Clients::start(&self.gateways[gateway], behavior, seed, &self.next_request_id)
    }

    fn start_engine(&mut self, slot: usize) -> io::Result<()> {
        self.engines_started += 1;
        let id = format!("s-{:04}", self.engines_started);
        let engine = Engine::start(&id, self.seed.wrapping_add(self.engines_started))?;
        let entry = Entry { id, address: engine.address, draining: false };
        self.engine_slots[slot] = Some(engine);
        self.discovery.update(|list| list.push(entry));
        Ok(())
    }

    /// Starts to drain an engine and lists it as draining.
    pub fn drain_engine(&mut self, slot: usize) {
        let Some(engine) = &self.engine_slots[slot] else { return };
        engine.drain();
        let id = engine.id.clone();
        self.discovery.update(|list| {
            list.iter_mut().filter(|entry| entry.id == id).for_each(|entry| entry.draining = true);
        });
    }

    /// Ends an engine, removes it from the list and schedules its replacement.
    fn end_engine(&mut self, slot: usize) {
        let Some(engine) = self.engine_slots[slot].take() else { return };
        // Recorded before the end itself: nothing can observe the end earlier than this.
        self.engine_ends.insert(engine.id.clone(), Instant::now());
        engine.shut_down();
        let id = engine.id.clone();
        self.discovery.update(|list| list.retain(|entry| entry.id != id));
        self.ended_engines.push(engine);
        self.schedule(REPLACEMENT_DELAY, Action::ReplaceEngine(slot));
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.scheduled.push((Instant::now() + delay, action));
    }

    /// Sets the faults of one gateway's name server, or of all of them.
    pub fn set_name_faults(&self, gateway: Option<usize>, faults: &NameFaults) {
        let all = self.gateways.iter().filter(|of| gateway.is_none_or(|one| one == of.number));
        all.for_each(|gateway| gateway.name_server().set_faults(faults.clone()));
    }

    /// Injects a fault and schedules what undoes it.
    pub fn inject(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Drain { engine, ends_after } => {
                self.drain_engine(engine);
                self.schedule(ends_after, Action::EndEngine(engine));
            }
            Fault::Crash { engine } => self.end_engine(engine),
            Fault::Engine { engine, mode, lasts } => {
                self.engine_slots[engine].iter().for_each(|engine| engine.set_mode(mode));
                self.schedule(lasts, Action::RestoreEngine(engine));
            }
            Fault::Names { gateway, faults, lasts } => {
                self.set_name_faults(gateway, &faults);
                self.schedule(lasts, Action::RestoreNameService(gateway));
            }
            Fault::MoveNames { gateway, times } => {
                for _ in 0..times {
                    self.gateways[gateway].move_name_server()?;
                }
            }
            Fault::Kill { gateway, back_after } => {
                self.gateways[gateway].kill();
                self.schedule(back_after, Action::StartGateway(gateway));
            }
            Fault::Terminate { gateway } => self.gateways[gateway].terminate(),
            Fault::Signals { gateway } => {
                let gateway = &mut self.gateways[gateway];
                gateway.signal(Signal::HUP);
                gateway.signal(Signal::HUP);
                gateway.terminate();
                gateway.signal(Signal::HUP);
                gateway.terminate();
            }
            Fault::Stop { gateway, lasts } => {
                // A process that shuts down is not paused: its time until SIGKILL would pass unused.
                if matches!(*self.gateways[gateway].phase.lock().expect("phase"), Phase::Serving) {
                    self.gateways[gateway].pause();
                    self.schedule(lasts, Action::ResumeGateway(gateway));
                }
            }
            Fault::Crowd { gateway, many, lasts } => {
                let address = self.gateways[gateway].address;
                let wait = Duration::from_millis(20);
                let crowd = (0..many).map_while(|_| TcpStream::connect_timeout(&address, wait).ok());
                self.crowds.push(crowd.collect());
                self.schedule(lasts, Action::DisconnectCrowd);
            }
        }
        Ok(())
    }

    /// Performs the actions that are due, and restarts gateways that have ended after SIGTERM.
    pub fn poll(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let (due, pending) = self.scheduled.drain(..).partition(|(at, _)| *at <= now);
        self.scheduled = pending;
        for (_, action) in due {
            self.perform(action)?;
        }
        for number in 0..self.gateways.len() {
            let start_scheduled = self
                .scheduled
                .iter()
                .any(|(_, action)| matches!(action, Action::StartGateway(of) if *of == number));
            if self.gateways[number].poll() && !start_scheduled {
                self.gateways[number].start()?;
            }
        }
        Ok(())
    }

    fn perform(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::EndEngine(slot) => self.end_engine(slot),
            Action::ReplaceEngine(slot) if self.engine_slots[slot].is_none() => self.start_engine(slot)?,
            Action::ReplaceEngine(_) => {}
            Action::RestoreEngine(slot) => {
                self.engine_slots[slot].iter().for_each(|engine| engine.set_mode(Mode::Well))
            }
            Action::RestoreNameService(gateway) => self.set_name_faults(gateway, &NameFaults::default()),
            Action::StartGateway(gateway) => self.gateways[gateway].start()?,
            Action::ResumeGateway(gateway) => self.gateways[gateway].resume(),
            Action::DisconnectCrowd => drop(self.crowds.pop()),
        }
        Ok(())
    }

    /// Keeps the fleet running for this long.
    pub fn run(&mut self, duration: Duration) -> io::Result<()> {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.poll()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Injects the faults of a plan at their times, then lets the fleet recover.
    pub fn run_plan(&mut self, plan: Plan) -> io::Result<()> {
        let started_at = Instant::now();
        for (at, fault) in plan {
            self.run((started_at + at).saturating_duration_since(Instant::now()))?;
            self.inject(fault)?;
        }
        self.run(RECOVERY_TIME)
    }

    /// Ends the clients, terminates the gateways by SIGTERM, and returns all records.
    pub fn finish(mut self, clients: Vec<Clients>) -> io::Result<Records> {
        let requests = clients.into_iter().flat_map(Clients::finish).collect();
        self.scheduled.retain(|(_, action)| !matches!(action, Action::StartGateway(_)));
        self.gateways.iter_mut().for_each(Gateway::resume);
        self.gateways.iter_mut().for_each(Gateway::terminate);
        loop {
            let running =
                self.gateways.iter_mut().filter_map(|gateway| (!gateway.poll()).then_some(())).count();
            if running == 0 {
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.shutdown.store(true, Ordering::Relaxed);
        let engines = self.engine_slots.iter().flatten().chain(&self.ended_engines);
        let arrivals = engines.flat_map(Engine::arrivals).collect();
        let gateways = self.gateways.iter().map(|gateway| GatewayRecord {
            number: gateway.number,
            runs: gateway.runs.clone(),
            notifications: gateway.notifications(),
            name_fault_changes: gateway.name_fault_changes(),
            pauses: gateway.pauses.clone(),
            log: gateway.log(),
        });
        Ok(Records {
            requests,
            arrivals,
            departures: self.discovery.departures(),
            engine_ends: self.engine_ends.clone(),
            gateways: gateways.collect(),
            second_copies: self.second_copies,
            lateness: self.lateness.lock().expect("lateness").clone(),
            started_at: self.started_at,
        })
    }
}

/// Runs one seed.
pub fn run(seed: u64, size: Size, program: &Path) -> io::Result<Report> {
    let Size { gateways, engines, clients_each, request_interval, faults, late_reads, duration } = size;
    let mut fleet = Fleet::start(gateways, engines, seed, program)?;
    let clients = (0..gateways).map(|number| fleet.clients(number, clients_each, request_interval)).collect();
    let crowd = seed.is_multiple_of(3);
    let plan =
        faults::generate(FaultParameters { seed, gateways, engines, faults, duration, crowd, late_reads });
    fleet.run_plan(plan.clone())?;
    Ok(report(seed, &fleet.finish(clients)?, plan))
}

fn report(seed: u64, records: &Records, plan: Plan) -> Report {
    let violations = records.judge();
    let count =
        |wanted: RequestOutcome| records.requests.iter().filter(|request| request.outcome == wanted).count();
    Report {
        seed,
        requests: records.requests.len(),
        served: count(RequestOutcome::Served),
        refused: count(RequestOutcome::Refused),
        attempts: records.arrivals.len(),
        foreign_attempts: records.foreign_attempts(),
        traces: traces(records, &violations),
        violations,
        worst_lateness: records.lateness.max(),
        plan,
    }
}

/// The first request id; concurrent runs use different ids.
fn first_request_id() -> u64 {
    (u64::from(std::process::id()) << 32) + 1
}

/// The log lines that contain the id of a request of a violation.
fn traces(records: &Records, violations: &[Violation]) -> Vec<String> {
    let ids: Vec<&str> =
        violations.iter().filter_map(|violation| violation.description.split(' ').next()).collect();
    let logs = records.gateways.iter().flat_map(|gateway| gateway.log.lines());
    let names_request = |line: &&str| ids.iter().any(|id| id.len() == REQUEST_ID_DIGITS && line.contains(id));
    logs.filter(names_request).take(MAX_TRACE_LINES).map(str::to_string).collect()
}

impl Report {
    /// Number of violations of each invariant.
    pub fn violations_by_invariant(&self) -> BTreeMap<judge::Invariant, usize> {
        let mut broken = BTreeMap::new();
        self.violations.iter().for_each(|violation| *broken.entry(violation.invariant).or_default() += 1);
        broken
    }
}
