//! A soak of the program itself: a few dozen gateways as processes, engines, a name service and clients on loopback, random faults that
//! overlap, and a judge of the records that all of them leave.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod faults;
pub mod gateways;
pub mod judge;

use client::{Clients, End};
use discovery::{Discovery, Entry, NameFaults};
use engine::{Engine, Mode};
use faults::{Draw, Fault, Plan};
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

/// How often the run looks what is due.
const STEP: Duration = Duration::from_millis(2);
/// A new engine takes the place of one that left after this.
const REPLACED_AFTER: Duration = Duration::from_millis(300);
/// Faults heal within this after the last one began, and the fleet serves for so long afterwards.
const HEALS_WITHIN: Duration = Duration::from_secs(5);

/// Digits of a request's id, and the most lines of logs that a report holds.
const ID_LENGTH: usize = 16;
const MOST_TRACED: usize = 200;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub engines: usize,
    pub clients_each: usize,
    /// A client's mean pause between two requests.
    pub every: Duration,
    pub faults: usize,
    /// Faults beyond those: engines that read late.
    pub late_reads: usize,
    pub span: Duration,
}

/// What a run came to.
#[derive(Debug)]
pub struct Report {
    pub seed: u64,
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub attempts: usize,
    /// Statements that came to an engine and that no client of this run sent: from another run beside it, whose engine had had the
    /// address before.
    pub strangers: usize,
    pub violations: Vec<Violation>,
    pub worst_lateness: Duration,
    /// What gateways logged of the requests that violations name; with `BRAMBLEWHARF_LOG=debug` each step of them.
    pub traces: Vec<String>,
    /// What was done to the fleet.
    pub plan: Plan,
}

/// Something that is to be undone or to follow.
enum Later {
    End(usize),
    Replace(usize),
    Engine(usize),
    Names(Option<usize>),
    Start(usize),
    Continue(usize),
    Disperse,
}

/// A fleet that serves.
pub struct Fleet {
    pub discovery: Discovery,
    /// In each place the engine that is there now, if any.
    places: Vec<Option<Engine>>,
    left: Vec<Engine>,
    pub gateways: Vec<Gateway>,
    later: Vec<(Instant, Later)>,
    crowds: Vec<Vec<TcpStream>>,
    made: u64,
    seed: u64,
    second_copies: bool,
    ends: HashMap<String, Instant>,
    lateness: Arc<Mutex<Lateness>>,
    over: Arc<AtomicBool>,
    began: Instant,
    ids: Arc<AtomicU64>,
    _dir: tempfile::TempDir,
}

impl Fleet {
    /// Engines, the name service and gateways, ready to serve; `program` is the one that serves.
    pub fn start(gateways: usize, engines: usize, seed: u64, program: &Path) -> io::Result<Fleet> {
        let dir = tempfile::tempdir()?;
        let second_copies = seed.is_multiple_of(2);
        let mut fleet = Fleet {
            discovery: Discovery::default(),
            places: (0..engines).map(|_| None).collect(),
            left: Vec::new(),
            gateways: Vec::new(),
            later: Vec::new(),
            crowds: Vec::new(),
            made: 0,
            seed,
            second_copies,
            ends: HashMap::new(),
            lateness: Arc::default(),
            over: Arc::default(),
            began: Instant::now(),
            ids: Arc::new(AtomicU64::new(first_id())),
            _dir: dir,
        };
        for place in 0..engines {
            fleet.replace(place)?;
        }
        for number in 0..gateways {
            let settings = settings(gateways, second_copies);
            let (dir, seed) = (fleet._dir.path(), seed.wrapping_mul(131).wrapping_add(number as u64));
            let mut gateway = Gateway::new(number, &fleet.discovery, settings, dir, program, seed)?;
            gateway.start()?;
            fleet.gateways.push(gateway);
        }
        fleet.watch_lateness();
        Ok(fleet)
    }

    /// Records how late this machine runs a timer of its own.
    fn watch_lateness(&self) {
        let (lateness, over) = (self.lateness.clone(), self.over.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let due = Instant::now() + STEP;
                std::thread::sleep(STEP);
                let now = Instant::now();
                lateness.lock().expect("lateness").note(now, now.saturating_duration_since(due));
            }
        });
    }

    pub fn clients(&self, gateway: usize, many: usize, every: Duration) -> Clients {
        let seed = self.seed.wrapping_mul(7919).wrapping_add(gateway as u64 * 101);
        Clients::start(&self.gateways[gateway], many, every, seed, &self.ids)
    }

    fn replace(&mut self, place: usize) -> io::Result<()> {
        self.made += 1;
        let id = format!("s-{:04}", self.made);
        let engine = Engine::start(&id, self.seed.wrapping_add(self.made))?;
        let entry = Entry { id, address: engine.address, draining: false };
        self.places[place] = Some(engine);
        self.discovery.change(|list| list.push(entry));
        Ok(())
    }

    pub fn drain(&mut self, place: usize) {
        let Some(engine) = &self.places[place] else { return };
        engine.drain();
        let id = engine.id.clone();
        self.discovery.change(|list| {
            list.iter_mut().filter(|entry| entry.id == id).for_each(|entry| entry.draining = true);
        });
    }

    /// Its process ends, and the list no longer names it.
    fn end(&mut self, place: usize) {
        let Some(engine) = self.places[place].take() else { return };
        // Whoever sees its end sees it later than this.
        self.ends.insert(engine.id.clone(), Instant::now());
        engine.end();
        let id = engine.id.clone();
        self.discovery.change(|list| list.retain(|entry| entry.id != id));
        self.left.push(engine);
        self.after(REPLACED_AFTER, Later::Replace(place));
    }

    fn after(&mut self, wait: Duration, what: Later) {
        self.later.push((Instant::now() + wait, what));
    }

    pub fn names(&self, gateway: Option<usize>, faults: &NameFaults) {
        let all = self.gateways.iter().filter(|of| gateway.is_none_or(|one| one == of.number));
        all.for_each(|gateway| gateway.outlet().set(faults.clone()));
    }

    pub fn cause(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Drain { engine, ends_after } => {
                self.drain(engine);
                self.after(ends_after, Later::End(engine));
            }
            Fault::Crash { engine } => self.end(engine),
            Fault::Engine { engine, mode, lasts } => {
                self.places[engine].iter().for_each(|engine| engine.set(mode));
                self.after(lasts, Later::Engine(engine));
            }
            Fault::Names { gateway, faults, lasts } => {
                self.names(gateway, &faults);
                self.after(lasts, Later::Names(gateway));
            }
            Fault::MoveNames { gateway, times } => {
                for _ in 0..times {
                    self.gateways[gateway].move_names()?;
                }
            }
            Fault::Kill { gateway, back_after } => {
                self.gateways[gateway].kill();
                self.after(back_after, Later::Start(gateway));
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
                // Whoever is told to end is not stopped as well: its time would pass while it can't use it.
                if matches!(*self.gateways[gateway].phase.lock().expect("phase"), Phase::Serves) {
                    self.gateways[gateway].stop();
                    self.after(lasts, Later::Continue(gateway));
                }
            }
            Fault::Crowd { gateway, many, lasts } => {
                let address = self.gateways[gateway].address;
                let wait = Duration::from_millis(20);
                let crowd = (0..many).map_while(|_| TcpStream::connect_timeout(&address, wait).ok());
                self.crowds.push(crowd.collect());
                self.after(lasts, Later::Disperse);
            }
        }
        Ok(())
    }

    /// Does what is due, and starts anew what has ended after SIGTERM.
    pub fn look(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let (due, later) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, what) in due {
            self.follow(what)?;
        }
        for number in 0..self.gateways.len() {
            let waits =
                self.later.iter().any(|(_, later)| matches!(later, Later::Start(of) if *of == number));
            if self.gateways[number].look() && !waits {
                self.gateways[number].start()?;
            }
        }
        Ok(())
    }

    fn follow(&mut self, what: Later) -> io::Result<()> {
        match what {
            Later::End(place) => self.end(place),
            Later::Replace(place) if self.places[place].is_none() => self.replace(place)?,
            Later::Replace(_) => {}
            Later::Engine(place) => self.places[place].iter().for_each(|engine| engine.set(Mode::Well)),
            Later::Names(gateway) => self.names(gateway, &NameFaults::default()),
            Later::Start(gateway) => self.gateways[gateway].start()?,
            Later::Continue(gateway) => self.gateways[gateway].go_on(),
            Later::Disperse => drop(self.crowds.pop()),
        }
        Ok(())
    }

    /// Serves on for so long.
    pub fn run(&mut self, lasts: Duration) -> io::Result<()> {
        let until = Instant::now() + lasts;
        while Instant::now() < until {
            self.look()?;
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    /// Plays a plan and lets the fleet heal.
    pub fn play(&mut self, plan: Plan) -> io::Result<()> {
        let began = Instant::now();
        for (at, fault) in plan {
            self.run((began + at).saturating_duration_since(Instant::now()))?;
            self.cause(fault)?;
        }
        self.run(HEALS_WITHIN)
    }

    /// Ends the clients, then the gateways by SIGTERM, and hands over all records.
    pub fn finish(mut self, clients: Vec<Clients>) -> io::Result<Records> {
        let requests = clients.into_iter().flat_map(Clients::finish).collect();
        self.later.retain(|(_, later)| !matches!(later, Later::Start(_)));
        self.gateways.iter_mut().for_each(Gateway::go_on);
        self.gateways.iter_mut().for_each(Gateway::terminate);
        loop {
            let there =
                self.gateways.iter_mut().filter_map(|gateway| (!gateway.look()).then_some(())).count();
            if there == 0 {
                break;
            }
            std::thread::sleep(STEP);
        }
        self.over.store(true, Ordering::Relaxed);
        let engines = self.places.iter().flatten().chain(&self.left);
        let arrivals = engines.flat_map(Engine::arrivals).collect();
        let gateways = self.gateways.iter().map(|gateway| GatewayRecord {
            number: gateway.number,
            lives: gateway.lives.clone(),
            told: gateway.told(),
            name_changes: gateway.name_changes(),
            stops: gateway.stops.clone(),
            log: gateway.log(),
        });
        Ok(Records {
            requests,
            arrivals,
            departures: self.discovery.departures(),
            ends: self.ends.clone(),
            gateways: gateways.collect(),
            second_copies: self.second_copies,
            lateness: self.lateness.lock().expect("lateness").clone(),
            began: self.began,
        })
    }
}

/// One run of a seed.
pub fn run(seed: u64, size: Size, program: &Path) -> io::Result<Report> {
    let Size { gateways, engines, clients_each, every, faults, late_reads, span } = size;
    let mut fleet = Fleet::start(gateways, engines, seed, program)?;
    let clients = (0..gateways).map(|number| fleet.clients(number, clients_each, every)).collect();
    let crowd = seed.is_multiple_of(3);
    let plan = faults::draw(Draw { seed, gateways, engines, faults, span, crowd, late_reads });
    fleet.play(plan.clone())?;
    Ok(report(seed, &fleet.finish(clients)?, plan))
}

fn report(seed: u64, records: &Records, plan: Plan) -> Report {
    let violations = records.judge();
    let ended = |wanted: End| records.requests.iter().filter(|request| request.end == wanted).count();
    Report {
        seed,
        requests: records.requests.len(),
        served: ended(End::Served),
        refused: ended(End::Refused),
        attempts: records.arrivals.len(),
        strangers: records.strangers(),
        traces: traces(records, &violations),
        violations,
        worst_lateness: records.lateness.worst(),
        plan,
    }
}

/// Requests of runs side by side have different ids.
fn first_id() -> u64 {
    (u64::from(std::process::id()) << 32) + 1
}

/// The lines of the gateways' logs that name a request of a violation.
fn traces(records: &Records, violations: &[Violation]) -> Vec<String> {
    let ids: Vec<&str> = violations.iter().filter_map(|violation| violation.what.split(' ').next()).collect();
    let logs = records.gateways.iter().flat_map(|gateway| gateway.log.lines());
    let names_one = |line: &&str| ids.iter().any(|id| id.len() == ID_LENGTH && line.contains(id));
    logs.filter(names_one).take(MOST_TRACED).map(str::to_string).collect()
}

impl Report {
    /// How often each invariant was broken.
    pub fn broken(&self) -> BTreeMap<judge::Invariant, usize> {
        let mut broken = BTreeMap::new();
        self.violations.iter().for_each(|violation| *broken.entry(violation.invariant).or_default() += 1);
        broken
    }
}
