//! The operators' file, in HCL: the one place where it is read, checked and given defaults. Each message names the key, its
//! line and the rule. What the platform states is in the configuration (`config`), not here.

use crate::policy::{self, Names};
use bramblewharf_bodies as bodies;
use bramblewharf_budgets as budgets;
use bramblewharf_budgets::{milliunits, Measure, Scope, UNIT};
use bramblewharf_fleet::wire::{digest, fleet_id};
use bramblewharf_fleet::{node, FleetConfig, Incarnation, Key};
use bytesize::ByteSize;
use hcl::edit::structure::{Body, Structure};
use hcl::edit::Span as _;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What every statement may have, in bytes: a text up to this goes the ordinary path.
pub const ORDINARY_BODY_BYTES: u64 = 64 * 1024;
/// The largest text that can be allowed, the most files and the most threads for them.
const MAX_BODY_BYTES: u64 = 4 << 30;
const MAX_FILES: usize = 100_000;
const MAX_THREADS: usize = 64;

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    pub bodies: Bodies,
    pub fleet: Option<Fleet>,
    /// Budgets of the whole fleet, by name.
    pub budget: BTreeMap<String, Budget>,
}

/// The fleet that this gateway is in. Spans are texts such as `"2s"`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub name: String,
    /// What every gateway of the fleet has, and nobody else: 16 bytes or more.
    pub key_file: PathBuf,
    /// Where other parts of the fleet find this one, by UDP.
    pub listen: SocketAddr,
    /// How many gateways there can be, and which of them this one is: without it, its number in the configuration.
    pub places: u32,
    pub place: Option<u32>,
    /// Where the seats listen, in the order of their numbers, and which this gateway has, if any.
    pub seats: Vec<SocketAddr>,
    pub seat: Option<u8>,
    #[serde(with = "humantime_serde", default = "default_lease")]
    pub lease: Duration,
    /// By how many percent clocks may run fast or slow.
    #[serde(default = "default_drift")]
    pub drift_percent: u32,
    /// How long engines go on with what nobody asks for.
    #[serde(with = "humantime_serde", default = "default_keep")]
    pub engines_keep: Duration,
    /// What this gateway lends of engines goes by how many gateways are in, not by the configured number.
    #[serde(default)]
    pub engines_by_members: bool,
    /// The fleet's first policy: with it, changes go through the fleet.
    pub policy: Option<PathBuf>,
    /// Where what has to last of it is kept; without one, a seat that starts knows nothing.
    pub policy_file: Option<PathBuf>,
    /// How long a gateway that starts waits for the fleet's word before it goes on by what it acted by last.
    #[serde(with = "humantime_serde", default = "default_wait")]
    pub policy_wait: Duration,
    /// One that never acted by anything then goes by its own file of `policy`.
    #[serde(default)]
    pub policy_alone: bool,
    /// Where what is out at engines is kept for the process after this one; without it, that process asks all engines first.
    pub outstanding_file: Option<PathBuf>,
    /// A file that says how things stand, and one that notes every change of what is had.
    pub status: Option<PathBuf>,
    pub facts: Option<PathBuf>,
}

/// One budget: what it is on, what is counted, how much there is.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub customer: Option<String>,
    pub workload: Option<String>,
    pub kind: Option<String>,
    /// Only executions after a statement's first.
    #[serde(default)]
    pub further: bool,
    pub at_once: Option<BudgetUnit>,
    pub per_second: Option<BudgetUnit>,
    pub whole: f64,
    /// Percent of the whole that is divided evenly for ever.
    #[serde(default = "default_floor")]
    pub floor_percent: u64,
    /// For budgets by the second: how long unused leave is saved up.
    #[serde(with = "humantime_serde", default = "default_burst")]
    pub burst: Duration,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum BudgetUnit {
    Statements,
    Weight,
    Memory,
}

fn default_lease() -> Duration {
    Duration::from_secs(2)
}

fn default_drift() -> u32 {
    1
}

fn default_wait() -> Duration {
    Duration::from_secs(3)
}

fn default_keep() -> Duration {
    Duration::from_secs(2)
}

fn default_floor() -> u64 {
    20
}

fn default_burst() -> Duration {
    Duration::from_secs(1)
}

/// What a gateway in a fleet is started with.
#[derive(Clone)]
pub struct FleetParameters {
    pub start: node::Start,
    pub policy: Option<PolicyParameters>,
    pub key: Key,
    pub listen: SocketAddr,
    pub seats: Vec<SocketAddr>,
    pub outstanding_file: Option<PathBuf>,
    pub status: Option<PathBuf>,
    pub facts: Option<PathBuf>,
}

/// What the fleet's policy begins with here.
#[derive(Clone)]
pub struct PolicyParameters {
    pub start: bramblewharf_policy::Start,
    pub names: std::sync::Arc<Names>,
    pub file: Option<PathBuf>,
    /// What is wrong with the file that was there.
    pub fault: Option<String>,
}

/// What names in budgets stand for, and what else the configuration says.
pub struct PlatformContext<'a> {
    pub workloads: &'a [String],
    pub customers: &'a [String],
    pub kinds: &'a [String],
    /// The same for the fleet's policy, with what the platform binds.
    pub names: Names,
    pub gateway_number: u32,
    /// The longest that a statement may take.
    pub max_statement_time: Duration,
    pub seed: u64,
}

impl OperatorSettings {
    /// The fleet's terms, where there is one. Messages begin with the key.
    pub fn fleet_parameters(&self, known: &PlatformContext) -> Result<Option<FleetParameters>, String> {
        let Some(fleet) = &self.fleet else { return Ok(None) };
        let shown = fleet.key_file.display();
        let key = std::fs::read(&fleet.key_file).map_err(|e| format!("fleet.key_file: {shown}: {e}"))?;
        let key = Key::derive(&key).ok_or_else(|| format!("fleet.key_file: {shown}: is under 16 bytes"))?;
        let place = fleet.place.unwrap_or(known.gateway_number);
        if place >= fleet.places {
            return Err(format!("fleet.place: {place} is none of the {} of fleet.places", fleet.places));
        }
        let named = |key: &str, name: &Option<String>, names: &[String]| match name {
            None => Ok(None),
            Some(name) => match names.iter().position(|other| other == name) {
                Some(at) => Ok(Some(at)),
                None => Err(format!("{key}: {name} is not in the configuration")),
            },
        };
        let mut all = Vec::new();
        for (name, budget) in &self.budget {
            let key = |part: &str| format!("budget.{name}.{part}");
            let scope = Scope {
                workload: named(&key("workload"), &budget.workload, known.workloads)?,
                customer: named(&key("customer"), &budget.customer, known.customers)?,
                kind: named(&key("kind"), &budget.kind, known.kinds)?.map(|at| known.kinds[at].clone()),
                further: budget.further,
            };
            all.push(budget.read(name.clone(), scope));
        }
        if fleet.engines_by_members {
            all.push(budgets::Budget::engines());
        }
        // Alike at all gateways or not: which place or seat this one has is its own.
        let alike = format!("{:?}", (&fleet.name, fleet.places, fleet.seats.len(), fleet.lease, &all));
        let config = FleetConfig {
            fleet: fleet_id(&fleet.name),
            max_members: fleet.places,
            voters: fleet.seats.len() as u8,
            lease: fleet.lease,
            drift_percent: fleet.drift_percent,
            max_execution_time: known.max_statement_time + fleet.engines_keep,
            orphan_retention: fleet.engines_keep,
            injected_bug: None,
        };
        let incarnation = random_u64();
        let policy = fleet.policy_parameters(known, &config, place, incarnation)?;
        let start = node::Start {
            member_id: place,
            voter: fleet.seat,
            // New with every start, also where the seed is not: chance from the system's own hash keys.
            incarnation: Incarnation(incarnation),
            config,
            budgets: all,
            table_digest: digest(&alike),
            seed: known.seed ^ random_u64(),
        };
        Ok(Some(FleetParameters {
            start,
            policy,
            key,
            listen: fleet.listen,
            seats: fleet.seats.clone(),
            outstanding_file: fleet.outstanding_file.clone(),
            status: fleet.status.clone(),
            facts: fleet.facts.clone(),
        }))
    }
}

impl Fleet {
    /// The policy's part, where there is one: its own text must be well before anything is begun.
    fn policy_parameters(
        &self,
        known: &PlatformContext,
        config: &FleetConfig,
        place: u32,
        incarnation: u64,
    ) -> Result<Option<PolicyParameters>, String> {
        let Some(path) = &self.policy else { return Ok(None) };
        let initial = policy::initial_revision(path)?;
        policy::read(&initial.text, Some(&known.names)).map_err(|e| format!("{}:{e}", path.display()))?;
        let (stored, fault) = self.policy_file.as_deref().map(policy::load_stored).unwrap_or_default();
        let start = bramblewharf_policy::Start {
            member_id: place,
            voter: self.seat,
            terms: bramblewharf_policy::Terms { fleet: config.clone(), injected_bug: None },
            check: policy::revision_check(known.names.clone()),
            initial,
            stored,
            incarnation,
            wait: self.policy_wait,
            fallback_to_initial: self.policy_alone,
        };
        let names = std::sync::Arc::new(known.names.clone());
        Ok(Some(PolicyParameters { start, names, file: self.policy_file.clone(), fault }))
    }
}

fn random_u64() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish()
}

impl Budget {
    fn read(&self, name: String, scope: Scope) -> budgets::Budget {
        let (measure, quantum) = match (self.at_once, self.per_second) {
            (Some(BudgetUnit::Weight), _) => (Measure::WeightAtOnce, UNIT),
            (Some(BudgetUnit::Memory), _) => (Measure::MemoryAtOnce, 16 * UNIT),
            (Some(BudgetUnit::Statements), _) | (None, None) => (Measure::StatementsAtOnce, UNIT),
            (None, Some(BudgetUnit::Weight)) => (Measure::WeightPerSecond, UNIT),
            (None, Some(_)) => (Measure::StatementsPerSecond, UNIT),
        };
        let (whole, floor_percent, burst) = (milliunits(self.whole), self.floor_percent, self.burst);
        budgets::Budget { name, scope, measure, whole, floor_percent, quantum, burst }
    }
}

/// Texts beyond the ordinary 64 KiB. Sizes are texts such as `"16 MiB"`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bodies {
    /// The largest text that is taken.
    pub largest: ByteSize,
    /// Beyond the time that ordinary texts have, one may come as slowly as so many bytes a second.
    pub slowest: ByteSize,
    pub not_kept: NotKeptAction,
    pub memory: Memory,
    pub files: Option<Files>,
    pub workload: BTreeMap<String, WorkloadBodies>,
}

/// What becomes of a text for which no tier that keeps it has room.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum NotKeptAction {
    /// It goes through to one engine as it comes, once.
    #[default]
    Stream,
    /// It is rejected.
    Reject,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Of one text, and of all together.
    pub each: ByteSize,
    pub pool: ByteSize,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Files {
    pub dir: PathBuf,
    pub each: ByteSize,
    pub pool: ByteSize,
    #[serde(default = "default_count")]
    pub count: usize,
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Chunks are compressed where that makes them smaller.
    #[serde(default)]
    pub zstd: bool,
    /// The folder is in memory, whatever its name: its files count there too.
    #[serde(default)]
    pub in_memory: bool,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkloadBodies {
    pub not_kept: NotKeptAction,
}

fn default_count() -> usize {
    64
}

fn default_threads() -> usize {
    2
}

impl Default for Bodies {
    fn default() -> Bodies {
        Bodies {
            largest: ByteSize(ORDINARY_BODY_BYTES),
            slowest: ByteSize::kib(64),
            not_kept: NotKeptAction::Stream,
            memory: Memory::default(),
            files: None,
            workload: BTreeMap::new(),
        }
    }
}

impl Default for Memory {
    fn default() -> Memory {
        Memory { each: ByteSize::mib(1), pool: ByteSize::mib(8) }
    }
}

impl Bodies {
    /// Whether any text beyond the ordinary ones is taken.
    pub fn is_enabled(&self) -> bool {
        self.largest.as_u64() > ORDINARY_BODY_BYTES
    }

    /// Memory (bytes) and descriptors that are set apart.
    pub fn reserved_resources(&self) -> (u64, usize) {
        let files = self.files.as_ref();
        match self.is_enabled() {
            // A file being read or written has a descriptor; the lock has one.
            true => (self.memory.pool.as_u64(), files.map_or(0, |files| files.count + files.threads + 2)),
            false => (0, 0),
        }
    }

    pub fn bounds(&self) -> bodies::Bounds {
        bodies::Bounds {
            max_body: self.largest.as_u64(),
            memory_per_body: self.memory.each.as_u64(),
            memory_total: self.memory.pool.as_u64(),
            files: self.files.as_ref().map(|files| bodies::FileBounds {
                per_body: files.each.as_u64(),
                total: files.pool.as_u64(),
                max_files: files.count,
                in_memory_fs: files.in_memory,
            }),
        }
    }

    /// Differs in nothing that waits for a restart.
    pub fn is_unchanged_until_restart(&self, newer: &Bodies) -> bool {
        let fixed = |bodies: &Bodies| {
            let files = bodies.files.as_ref().filter(|_| bodies.is_enabled());
            let files = files.map(|f| (f.dir.clone(), f.threads, f.zstd));
            (files, bodies.reserved_resources(), bodies.slowest, bodies.not_kept, bodies.workload.clone())
        };
        fixed(self) == fixed(newer)
    }

    /// Of a workload: its texts are kept, or not taken.
    pub fn rejects_not_kept(&self, workload: &str) -> bool {
        self.workload.get(workload).map_or(self.not_kept, |own| own.not_kept) == NotKeptAction::Reject
    }
}

/// Reads the file; without one, all is as if nothing were said.
pub fn load(path: Option<&Path>, workloads: &[String]) -> Result<OperatorSettings, String> {
    let Some(path) = path else { return Ok(OperatorSettings::default()) };
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    read(&text, Some(workloads)).map_err(|e| format!("{shown}:{e}"))
}

/// Without a configuration nothing is known of workloads.
pub fn check_file(path: &Path) -> Result<(), String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    read(&text, None).map(drop).map_err(|e| format!("{shown}:{e}"))
}

/// Messages are `LINE: KEY: RULE`.
pub fn read(text: &str, workloads: Option<&[String]>) -> Result<OperatorSettings, String> {
    let (operators, line): (OperatorSettings, _) = parse(text)?;
    check(&operators, workloads).map_err(|(key, why)| format!("{}: {key}: {why}", line(&key)))?;
    Ok(operators)
}

/// What a text in HCL says, and the line on which a key of it stands.
pub fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<(T, impl Fn(&str) -> usize + '_), String> {
    let parsed: Body = text
        .parse()
        .map_err(|e: hcl::edit::parser::Error| format!("{}: {}", e.location().line(), e.message()))?;
    let body = hcl::from_str::<hcl::Body>(text).map_err(|e| format!("1: {e}"))?;
    let read: Result<T, _> = serde_path_to_error::deserialize(hcl::de::Deserializer::from_body(body));
    let read = read.map_err(|e| {
        let path = e.path().to_string();
        let why = e.inner().to_string();
        // Of a key that is not known, the path is that of what it stands in.
        let unknown = why.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        let key = match unknown {
            Some(key) if path == "." => key.to_string(),
            Some(key) if !path.ends_with(key) => format!("{path}.{key}"),
            _ => path,
        };
        format!("{}: {key}: {why}", line_of_key(&parsed, text, &key))
    })?;
    Ok((read, move |key: &str| line_of_key(&parsed, text, key)))
}

type RuleViolation = (String, String);

/// What must hold between what is said. What the folder is like is looked at where files are first made.
fn check(operators: &OperatorSettings, workloads: Option<&[String]>) -> Result<(), RuleViolation> {
    let bodies = &operators.bodies;
    let must = |holds: bool, key: &str, why: &str| match holds {
        true => Ok(()),
        false => Err((format!("bodies.{key}"), why.to_string())),
    };
    let (largest, memory) = (bodies.largest.as_u64(), &bodies.memory);
    must(largest >= ORDINARY_BODY_BYTES, "largest", "is under the 64 KiB that every statement may have")?;
    must(largest <= MAX_BODY_BYTES, "largest", "is over 4 GiB")?;
    must(
        bodies.slowest.as_u64() >= 1024,
        "slowest",
        "is under 1 KiB a second: a slow sender would hold its place",
    )?;
    must(memory.each <= memory.pool, "memory.each", "is more than bodies.memory.pool")?;
    let window = bodies::accounting::PASS_THROUGH_WINDOW_BYTES;
    must(
        memory.pool.as_u64() >= window,
        "memory.pool",
        "is under the 128 KiB that one text takes in passing",
    )?;
    if let Some(files) = &bodies.files {
        must(files.each <= files.pool, "files.each", "is more than bodies.files.pool")?;
        must(
            files.each.as_u64() >= ORDINARY_BODY_BYTES,
            "files.each",
            "is under 64 KiB: no text would go there",
        )?;
        must((1..=MAX_FILES).contains(&files.count), "files.count", "is not a number from 1 to 100000")?;
        must((1..=MAX_THREADS).contains(&files.threads), "files.threads", "is not a number from 1 to 64")?;
        must(files.dir.is_absolute(), "files.dir", "is not an absolute path")?;
        let fits = !files.in_memory || files.pool <= memory.pool;
        must(fits, "files.pool", "is more than bodies.memory.pool, and these files are in memory")?;
    }
    check_fleet(operators)?;
    for name in bodies.workload.keys() {
        let known = workloads.is_none_or(|workloads| workloads.contains(name));
        must(known, &format!("workload.{name}"), "is no workload of the configuration")?;
    }
    Ok(())
}

/// The most budgets that one datagram has room for, and the most places and seats.
const MAX_BUDGETS: usize = 16;
const MAX_MEMBERS: u32 = 10_000;
const MAX_VOTERS: usize = 7;

fn check_fleet(operators: &OperatorSettings) -> Result<(), RuleViolation> {
    let must = |holds: bool, key: String, why: &str| if holds { Ok(()) } else { Err((key, why.to_string())) };
    let Some(fleet) = &operators.fleet else {
        let name = operators.budget.keys().next();
        return name.map_or(Ok(()), |name| must(false, format!("budget.{name}"), "needs a fleet block"));
    };
    let of = |key: &str| format!("fleet.{key}");
    must((1..=MAX_MEMBERS).contains(&fleet.places), of("places"), "is not a number from 1 to 10000")?;
    must(fleet.place.is_none_or(|place| place < fleet.places), of("place"), "is none of fleet.places")?;
    let seats = fleet.seats.len();
    must(seats % 2 == 1 && seats <= MAX_VOTERS, of("seats"), "are not 1, 3, 5 or 7 addresses")?;
    let apart = fleet.seats.iter().enumerate().all(|(at, seat)| !fleet.seats[..at].contains(seat));
    must(apart, of("seats"), "names an address twice")?;
    must(fleet.seat.is_none_or(|seat| usize::from(seat) < seats), of("seat"), "is none of fleet.seats")?;
    let lease = fleet.lease;
    let span = (Duration::from_secs(1)..=Duration::from_secs(60)).contains(&lease);
    must(span, of("lease"), "is not a span from 1s to 60s")?;
    must((1..=10).contains(&fleet.drift_percent), of("drift_percent"), "is not a number from 1 to 10")?;
    let keep = fleet.engines_keep <= Duration::from_secs(600);
    must(keep, of("engines_keep"), "is over 600s")?;
    must(
        !operators.budget.contains_key("engines"),
        "budget.engines".into(),
        "is a name of fleet.engines_by_members",
    )?;
    must(operators.budget.len() < MAX_BUDGETS, "budget".into(), "is there more than 15 times")?;
    for (name, budget) in &operators.budget {
        let of = |key: &str| format!("budget.{name}.{key}");
        let one = budget.at_once.is_some() != budget.per_second.is_some();
        must(one, of("at_once"), "and per_second: exactly one of them says what is counted")?;
        let held = budget.per_second != Some(BudgetUnit::Memory);
        must(held, of("per_second"), "memory is held, not spent: it is counted at_once")?;
        let whole = budget.whole.is_finite() && (0.0..=1e9).contains(&budget.whole);
        must(whole, of("whole"), "is not a number from 0 to 1000000000")?;
        must(budget.floor_percent <= 100, of("floor_percent"), "is over 100")?;
        let burst = (Duration::from_secs(1)..=Duration::from_secs(60)).contains(&budget.burst);
        must(burst, of("burst"), "is not a span from 1s to 60s")?;
    }
    Ok(())
}

/// The line on which a key stands, or what it would stand in; 1 where neither is there.
fn line_of_key(body: &Body, text: &str, key: &str) -> usize {
    let mut found = 0;
    let mut bodies = vec![body];
    let mut words = key.split('.').peekable();
    while let Some(word) = words.next() {
        let mut next = Vec::new();
        for structure in bodies.iter().flat_map(|body| body.iter()) {
            match structure {
                Structure::Attribute(attribute) if attribute.key.as_str() == word => {
                    found = attribute.span().map_or(found, |span| span.start);
                }
                Structure::Block(block) if block.ident.as_str() == word => {
                    let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
                    if labels.iter().all(|label| words.clone().any(|word| word == *label))
                        || labels.is_empty()
                    {
                        found = block.span().map_or(found, |span| span.start);
                        next.push(&block.body);
                    }
                }
                _ => {}
            }
        }
        if !next.is_empty() {
            // A label is a word of the path too.
            let labelled = bodies.iter().flat_map(|body| body.iter()).any(|structure| {
                structure
                    .as_block()
                    .is_some_and(|block| block.ident.as_str() == word && !block.labels.is_empty())
            });
            if labelled {
                words.next();
            }
        }
        bodies = next;
    }
    1 + text.as_bytes()[..found.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}
