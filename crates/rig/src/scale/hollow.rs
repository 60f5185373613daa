//! Hollow gateways: the machines of the program with a real clock and real datagrams on loopback, without clients' and engines'
//! sockets, many to a process, and a few real processes of the program in the same fleet that have to see the same.

pub mod fleet;
pub mod gateway;
mod measure;

use super::report::Table;
use super::room;
use fleet::{seats_taken, Plan};
use serde_json::Value;
use std::io::Read;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Sizes measured where none is asked for: gateways, engines.
const SIZES: [(usize, usize); 5] = [(30, 36), (100, 330), (300, 330), (1000, 330), (1900, 330)];
/// What a hollow gateway takes at the most, measured here, and what each engine of its list adds; what a real process takes.
const EACH: u64 = 260_000;
const EACH_ENGINE: u64 = 1_300;
const PROCESS: u64 = 24_000_000;

#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// All of the fleet, the real processes among them; without it, 30, 100, 300, 1000 and 1900.
    #[arg(long)]
    pub gateways: Option<usize>,
    /// In the list that each is told at its start; without it, 36 at 30 gateways and 330 at more.
    #[arg(long)]
    pub engines: Option<usize>,
    /// Of an engine.
    #[arg(long, default_value_t = 12)]
    pub cores: usize,
    /// Real processes of the program.
    #[arg(long, default_value_t = 3)]
    pub processes: usize,
    /// As many as the program takes, of these.
    #[arg(long, default_value_t = 9)]
    pub seats: usize,
    /// How long leave lasts, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub lease: u64,
    /// Offered to each hollow gateway while engines are ill.
    #[arg(long, default_value_t = 5)]
    pub statements_a_second: u64,
    /// How long it is measured at rest.
    #[arg(long, default_value_t = 6)]
    pub seconds: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// As JSON.
    #[arg(long)]
    pub json: bool,
    /// Killed with whoever started it: no size goes on alone.
    #[arg(long, hide = true)]
    pub ends_with_its_parent: bool,
}

impl Args {
    fn sizes(&self) -> Vec<(usize, usize)> {
        match (self.gateways, self.engines) {
            (Some(gateways), engines) => {
                vec![(gateways, engines.unwrap_or(if gateways <= 30 { 36 } else { 330 }))]
            }
            (None, Some(engines)) => SIZES.iter().map(|(gateways, _)| (*gateways, engines)).collect(),
            (None, None) => SIZES.to_vec(),
        }
    }
}

/// Refuses what makes no sense or has no room, before anything is started.
pub fn plans(args: &Args, memory: (u64, u64), program: &Path) -> Result<Vec<Plan>, String> {
    room::sized("processes", args.processes, 0, 20)?;
    room::sized("cores", args.cores, 1, 1024)?;
    room::sized("seats", args.seats, 1, 9)?;
    room::sized("lease", args.lease as usize, 1000, 60_000)?;
    room::sized("statements-a-second", args.statements_a_second as usize, 1, 200)?;
    room::sized("seconds", args.seconds as usize, 1, 60)?;
    let seats = seats_taken(args.seats)?;
    if seats != args.seats {
        eprintln!("hollow: the program takes no {} seats: measured with {seats}", args.seats);
    }
    let of = |(gateways, engines)| {
        room::sized("gateways", gateways, seats + args.processes + 2, 3000)?;
        room::sized("engines", engines, 2, 3300)?;
        let hollow = (gateways - args.processes) as u64;
        let bytes = hollow * (EACH + EACH_ENGINE * engines as u64) + PROCESS * args.processes as u64;
        room::check(memory, bytes, args.processes)?;
        let Args { processes, cores, seed, .. } = *args;
        let lease = Duration::from_millis(args.lease);
        Ok(Plan { gateways, processes, engines, cores, seats, lease, seed, program: program.into() })
    };
    args.sizes().into_iter().map(of).collect()
}

pub fn run(args: &Args) -> Result<Vec<Table>, String> {
    if args.ends_with_its_parent {
        let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    }
    let program = std::env::current_exe().map_err(|e| format!("program: {e}"))?;
    let plans = plans(args, room::memory()?, &program)?;
    if let [plan] = &plans[..] {
        return measure::all(plan.clone(), args);
    }
    let mut tables: Vec<Table> = Vec::new();
    for plan in &plans {
        for (at, table) in apart(args, plan)?.into_iter().enumerate() {
            match tables.get_mut(at) {
                Some(before) => before.rows.extend(table.rows),
                None => tables.push(table),
            }
        }
    }
    Ok(tables)
}

/// Ends what it started, whatever comes.
struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One size in a process of its own: memory that an earlier size had would hide what the next one takes.
fn apart(args: &Args, plan: &Plan) -> Result<Vec<Table>, String> {
    let Plan { gateways, engines, seats, .. } = *plan;
    let mut command = Command::new(&plan.program);
    command.args(["scale", "hollow", "--json", "--ends-with-its-parent"]);
    let numbers = [
        ("gateways", gateways as u64),
        ("engines", engines as u64),
        ("cores", args.cores as u64),
        ("processes", args.processes as u64),
        ("seats", seats as u64),
        ("lease", args.lease),
        ("statements-a-second", args.statements_a_second),
        ("seconds", args.seconds),
        ("seed", args.seed),
    ];
    command.args(numbers.map(|(name, number)| format!("--{name}={number}")));
    let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
    let mut child = Ended(child.map_err(|e| format!("program: {e}"))?);
    let mut text = String::new();
    let mut from = child.0.stdout.take().ok_or("program: says nothing")?;
    from.read_to_string(&mut text).map_err(|e| format!("program: {e}"))?;
    let status = child.0.wait().map_err(|e| format!("program: {e}"))?;
    if !status.success() {
        return Err(format!("{gateways} gateways: the measurement ended with {status}"));
    }
    let read: Vec<Value> = serde_json::from_str(&text).map_err(|e| format!("{gateways} gateways: {e}"))?;
    let texts = |list: &Value| list.as_array().cloned().unwrap_or_default();
    let of = |table: &Value| Table {
        title: table["title"].as_str().unwrap_or_default().to_string(),
        columns: texts(&table["columns"]).iter().filter_map(|c| c.as_str().map(str::to_string)).collect(),
        rows: texts(&table["rows"]).iter().map(texts).collect(),
    };
    Ok(read.iter().map(of).collect())
}
