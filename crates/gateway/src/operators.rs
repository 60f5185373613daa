//! Operator settings in HCL: parsing, validation and defaults. Every error message names the line, the key and the violated
//! rule. The settings that the platform provides are read in `config`.

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

/// Body size that every statement may have; bodies up to this size bypass the body store.
pub const ORDINARY_BODY_BYTES: u64 = 64 * 1024;
/// Upper limits of what the settings may allow for large bodies.
const MAX_BODY_BYTES: u64 = 4 << 30;
const MAX_FILES: usize = 100_000;
const MAX_THREADS: usize = 64;

/// The operators' settings file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Bodies beyond the ordinary size.
    pub bodies: Bodies,
    /// The fleet of this gateway, if it is in one.
    pub fleet: Option<Fleet>,
    /// Fleet-wide budgets by name.
    pub budget: BTreeMap<String, Budget>,
}

/// The fleet that this gateway belongs to. Durations are strings such as `"2s"`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the fleet; its digest separates the datagrams of different fleets.
    pub name: String,
    /// File with the shared key of the fleet, at least 16 bytes.
    pub key_file: PathBuf,
    /// UDP address on which this gateway receives fleet messages.
    pub listen: SocketAddr,
    /// The most members that the fleet can have.
    pub places: u32,
    /// Member id of this gateway; by default its number in the configuration.
    pub place: Option<u32>,
    /// Addresses of the voters, in the order of their numbers.
    pub seats: Vec<SocketAddr>,
    /// Voter number of this gateway, if it is a voter.
    pub seat: Option<u8>,
    /// Lease of grants.
    #[serde(with = "humantime_serde", default = "default_lease")]
    pub lease: Duration,
    /// By how many percent a clock may run fast or slow.
    #[serde(default = "default_drift")]
    pub drift_percent: u32,
    /// How long an engine continues an execution that is no longer polled.
    #[serde(with = "humantime_serde", default = "default_keep")]
    pub engines_keep: Duration,
    /// Divides engine capacity by the number of active members instead of the configured number of gateways.
    #[serde(default)]
    pub engines_by_members: bool,
    /// File with the initial policy; if set, policy changes go through the fleet.
    pub policy: Option<PathBuf>,
    /// File for the durable policy state; without it, a voter starts without any state.
    pub policy_file: Option<PathBuf>,
    /// How long a starting gateway waits for the fleet before it enforces the last policy that it stored.
    #[serde(with = "humantime_serde", default = "default_wait")]
    pub policy_wait: Duration,
    /// A gateway without a stored policy then enforces the file in `policy`.
    #[serde(default)]
    pub policy_alone: bool,
    /// File that records executions in flight for the next process; without it, that process queries all engines first.
    pub outstanding_file: Option<PathBuf>,
    /// File to which the fleet status is written.
    pub status: Option<PathBuf>,
    /// File to which every change of the grants and the policy is appended.
    pub facts: Option<PathBuf>,
}

/// One fleet-wide budget: its scope, what it counts and its total.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Applies to one customer only.
    pub customer: Option<String>,
    /// Applies to one workload only.
    pub workload: Option<String>,
    /// Applies to one kind of engine only.
    pub kind: Option<String>,
    /// Applies only to executions after a statement's first.
    #[serde(default)]
    pub further: bool,
    /// Limits concurrent use of this unit.
    pub at_once: Option<BudgetUnit>,
    /// Limits the rate of this unit.
    pub per_second: Option<BudgetUnit>,
    /// Total of the budget across the fleet.
    pub whole: f64,
    /// Percent of the total that is permanently divided evenly between the members.
    #[serde(default = "default_floor")]
    pub floor_percent: u64,
    /// Rate budgets: for how long an unused grant accumulates.
    #[serde(with = "humantime_serde", default = "default_burst")]
    pub burst: Duration,
}

/// Unit in which a budget is counted.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum BudgetUnit {
    /// Number of statements.
    Statements,
    /// Sum of the statements' weights.
    Weight,
    /// Memory of the statements.
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

/// Start parameters of a gateway in a fleet.
#[derive(Clone)]
pub struct FleetParameters {
    /// Start parameters of the fleet node.
    pub start: node::Start,
    /// Start parameters of the policy, if the fleet manages one.
    pub policy: Option<PolicyParameters>,
    /// Key that authenticates the fleet's datagrams.
    pub key: Key,
    /// UDP address of this gateway.
    pub listen: SocketAddr,
    /// Addresses of the voters.
    pub seats: Vec<SocketAddr>,
    /// File that records executions in flight.
    pub outstanding_file: Option<PathBuf>,
    /// File for the status.
    pub status: Option<PathBuf>,
    /// File for the log of facts.
    pub facts: Option<PathBuf>,
}

/// Start parameters of the fleet's policy in this gateway.
#[derive(Clone)]
pub struct PolicyParameters {
    /// Start parameters of the policy replica.
    pub start: bramblewharf_policy::Start,
    /// Names that a policy may refer to.
    pub names: std::sync::Arc<Names>,
    /// File for the durable policy state.
    pub file: Option<PathBuf>,
    /// Why the existing file could not be read.
    pub fault: Option<String>,
}

/// What the platform's configuration contributes to the fleet parameters.
pub struct PlatformContext<'a> {
    /// Workloads, in configuration order.
    pub workloads: &'a [String],
    /// Customers, in configuration order.
    pub customers: &'a [String],
    /// Kinds of engines.
    pub kinds: &'a [String],
    /// The same names for the policy, with the constraints that the platform sets on workloads.
    pub names: Names,
    /// Number of this gateway, the default of its member id.
    pub gateway_number: u32,
    /// The longest time that a statement may take.
    pub max_statement_time: Duration,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl OperatorSettings {
    /// Start parameters of the fleet, if there is one. Error messages begin with the key.
    pub fn fleet_parameters(&self, platform: &PlatformContext) -> Result<Option<FleetParameters>, String> {
        let Some(fleet) = &self.fleet else { return Ok(None) };
        let shown = fleet.key_file.display();
        let key = std::fs::read(&fleet.key_file).map_err(|e| format!("fleet.key_file: {shown}: {e}"))?;
        let key = Key::derive(&key).ok_or_else(|| format!("fleet.key_file: {shown}: is under 16 bytes"))?;
        let member_id = fleet.place.unwrap_or(platform.gateway_number);
        if member_id >= fleet.places {
            return Err(format!("fleet.place: {member_id} is not below fleet.places ({})", fleet.places));
        }
        let index_of = |key: &str, name: &Option<String>, names: &[String]| match name {
            None => Ok(None),
            Some(name) => match names.iter().position(|other| other == name) {
                Some(at) => Ok(Some(at)),
                None => Err(format!("{key}: {name} is not in the configuration")),
            },
        };
        let mut budgets = Vec::new();
        for (name, budget) in &self.budget {
            let key = |part: &str| format!("budget.{name}.{part}");
            let scope = Scope {
                workload: index_of(&key("workload"), &budget.workload, platform.workloads)?,
                customer: index_of(&key("customer"), &budget.customer, platform.customers)?,
                kind: index_of(&key("kind"), &budget.kind, platform.kinds)?
                    .map(|at| platform.kinds[at].clone()),
                further: budget.further,
            };
            budgets.push(budget.resolve(name.clone(), scope));
        }
        if fleet.engines_by_members {
            budgets.push(budgets::Budget::engines());
        }
        // Covers only what all gateways must agree on, so not the member id and voter number of this one.
        let shared_settings =
            format!("{:?}", (&fleet.name, fleet.places, fleet.seats.len(), fleet.lease, &budgets));
        let config = FleetConfig {
            fleet: fleet_id(&fleet.name),
            max_members: fleet.places,
            voters: fleet.seats.len() as u8,
            lease: fleet.lease,
            drift_percent: fleet.drift_percent,
            max_execution_time: platform.max_statement_time + fleet.engines_keep,
            orphan_retention: fleet.engines_keep,
            injected_bug: None,
        };
        let incarnation = random_u64();
        let policy = fleet.policy_parameters(platform, &config, member_id, incarnation)?;
        let start = node::Start {
            member_id,
            voter: fleet.seat,
            // Must be new with every start even if the seed is not, so it comes from the standard library's random hash keys.
            incarnation: Incarnation(incarnation),
            config,
            budgets,
            table_digest: digest(&shared_settings),
            seed: platform.seed ^ random_u64(),
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
    /// Start parameters of the policy, if there is one; an invalid policy file fails the start.
    fn policy_parameters(
        &self,
        platform: &PlatformContext,
        config: &FleetConfig,
        member_id: u32,
        incarnation: u64,
    ) -> Result<Option<PolicyParameters>, String> {
        let Some(path) = &self.policy else { return Ok(None) };
        let initial = policy::initial_revision(path)?;
        policy::read(&initial.text, Some(&platform.names)).map_err(|e| format!("{}:{e}", path.display()))?;
        let (stored, fault) = self.policy_file.as_deref().map(policy::load_stored).unwrap_or_default();
        let start = bramblewharf_policy::Start {
            member_id,
            voter: self.seat,
            terms: bramblewharf_policy::Terms { fleet: config.clone(), injected_bug: None },
            check: policy::revision_check(platform.names.clone()),
            initial,
            stored,
            incarnation,
            wait: self.policy_wait,
            fallback_to_initial: self.policy_alone,
        };
        let names = std::sync::Arc::new(platform.names.clone());
        Ok(Some(PolicyParameters { start, names, file: self.policy_file.clone(), fault }))
    }
}

/// A random number from the keys of the standard library's hasher.
fn random_u64() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish()
}

impl Budget {
    /// The budget in milliunits, with its scope resolved to indices.
    fn resolve(&self, name: String, scope: Scope) -> budgets::Budget {
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

/// Bodies beyond the ordinary 64 KiB. Sizes are strings such as `"16 MiB"`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bodies {
    /// The largest body that is accepted.
    pub largest: ByteSize,
    /// Lowest receive rate (bytes a second) once the receive time of an ordinary body has passed.
    pub slowest: ByteSize,
    /// What happens to a body that no tier can store.
    pub not_kept: NotKeptAction,
    /// The memory tier.
    pub memory: Memory,
    /// The file tier, if there is one.
    pub files: Option<Files>,
    /// Settings of single workloads.
    pub workload: BTreeMap<String, WorkloadBodies>,
}

/// What happens to a body if no tier has free capacity to store it.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum NotKeptAction {
    /// It is streamed to one engine as it arrives, without a retry.
    #[default]
    Stream,
    /// The statement is rejected.
    Reject,
}

/// Limits of bodies in memory.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Limit for one body.
    pub each: ByteSize,
    /// Limit for all bodies together.
    pub pool: ByteSize,
}

/// Limits of bodies that are spooled to files.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Files {
    /// Directory for the spool files.
    pub dir: PathBuf,
    /// Limit for one body.
    pub each: ByteSize,
    /// Limit for all bodies together.
    pub pool: ByteSize,
    /// The most files at a time.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Number of I/O threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Compresses chunks if that makes them smaller.
    #[serde(default)]
    pub zstd: bool,
    /// The directory is on an in-memory file system such as tmpfs, so its files also count as memory.
    #[serde(default)]
    pub in_memory: bool,
}

/// Body settings of one workload.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkloadBodies {
    /// Overrides `not_kept` of all bodies.
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
    /// Whether bodies beyond the ordinary size are accepted.
    pub fn is_enabled(&self) -> bool {
        self.largest.as_u64() > ORDINARY_BODY_BYTES
    }

    /// Memory (bytes) and file descriptors that are reserved.
    pub fn reserved_resources(&self) -> (u64, usize) {
        let files = self.files.as_ref();
        match self.is_enabled() {
            // Each file in use has a descriptor, and so does the lock.
            true => (self.memory.pool.as_u64(), files.map_or(0, |files| files.count + files.threads + 2)),
            false => (0, 0),
        }
    }

    /// Limits of the body store.
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

    /// Whether the settings that take effect only at a restart are unchanged.
    pub fn is_unchanged_until_restart(&self, newer: &Bodies) -> bool {
        let restart_only = |bodies: &Bodies| {
            let files = bodies.files.as_ref().filter(|_| bodies.is_enabled());
            let files = files.map(|f| (f.dir.clone(), f.threads, f.zstd));
            (files, bodies.reserved_resources(), bodies.slowest, bodies.not_kept, bodies.workload.clone())
        };
        restart_only(self) == restart_only(newer)
    }

    /// Whether a workload's bodies are rejected if they can't be stored.
    pub fn rejects_not_kept(&self, workload: &str) -> bool {
        self.workload.get(workload).map_or(self.not_kept, |overrides| overrides.not_kept)
            == NotKeptAction::Reject
    }
}

/// Reads the settings file; without a path, every setting has its default.
pub fn load(path: Option<&Path>, workloads: &[String]) -> Result<OperatorSettings, String> {
    let Some(path) = path else { return Ok(OperatorSettings::default()) };
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    read(&text, Some(workloads)).map_err(|e| format!("{shown}:{e}"))
}

/// Checks the settings file without a configuration, so the names of workloads are not checked.
pub fn check_file(path: &Path) -> Result<(), String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    read(&text, None).map(drop).map_err(|e| format!("{shown}:{e}"))
}

/// Parses and checks settings. Error messages are `LINE: KEY: RULE`.
pub fn read(text: &str, workloads: Option<&[String]>) -> Result<OperatorSettings, String> {
    let (settings, line): (OperatorSettings, _) = parse(text)?;
    check(&settings, workloads).map_err(|(key, why)| format!("{}: {key}: {why}", line(&key)))?;
    Ok(settings)
}

/// Deserializes HCL; also returns a function that finds the line of a key.
pub fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<(T, impl Fn(&str) -> usize + '_), String> {
    let document: Body = text
        .parse()
        .map_err(|e: hcl::edit::parser::Error| format!("{}: {}", e.location().line(), e.message()))?;
    let body = hcl::from_str::<hcl::Body>(text).map_err(|e| format!("1: {e}"))?;
    let value: Result<T, _> = serde_path_to_error::deserialize(hcl::de::Deserializer::from_body(body));
    let value = value.map_err(|e| {
        let path = e.path().to_string();
        let why = e.inner().to_string();
        // For an unknown key, the path is that of the enclosing block.
        let unknown = why.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        let key = match unknown {
            Some(key) if path == "." => key.to_string(),
            Some(key) if !path.ends_with(key) => format!("{path}.{key}"),
            _ => path,
        };
        format!("{}: {key}: {why}", line_of_key(&document, text, &key))
    })?;
    Ok((value, move |key: &str| line_of_key(&document, text, key)))
}

/// A key and the rule that its value violates.
type RuleViolation = (String, String);

/// Checks the rules between settings. The spool directory itself is checked when the first file is created.
fn check(settings: &OperatorSettings, workloads: Option<&[String]>) -> Result<(), RuleViolation> {
    let bodies = &settings.bodies;
    let require = |holds: bool, key: &str, why: &str| match holds {
        true => Ok(()),
        false => Err((format!("bodies.{key}"), why.to_string())),
    };
    let (largest, memory) = (bodies.largest.as_u64(), &bodies.memory);
    require(largest >= ORDINARY_BODY_BYTES, "largest", "is under the 64 KiB that every statement may have")?;
    require(largest <= MAX_BODY_BYTES, "largest", "is over 4 GiB")?;
    require(
        bodies.slowest.as_u64() >= 1024,
        "slowest",
        "is under 1 KiB a second: a slow sender would hold its slot for too long",
    )?;
    require(memory.each <= memory.pool, "memory.each", "is more than bodies.memory.pool")?;
    let window = bodies::accounting::PASS_THROUGH_WINDOW_BYTES;
    require(
        memory.pool.as_u64() >= window,
        "memory.pool",
        "is under the 128 KiB window of one pass-through body",
    )?;
    if let Some(files) = &bodies.files {
        require(files.each <= files.pool, "files.each", "is more than bodies.files.pool")?;
        require(
            files.each.as_u64() >= ORDINARY_BODY_BYTES,
            "files.each",
            "is under 64 KiB: no body would be stored there",
        )?;
        require((1..=MAX_FILES).contains(&files.count), "files.count", "is not a number from 1 to 100000")?;
        require((1..=MAX_THREADS).contains(&files.threads), "files.threads", "is not a number from 1 to 64")?;
        require(files.dir.is_absolute(), "files.dir", "is not an absolute path")?;
        let fits = !files.in_memory || files.pool <= memory.pool;
        require(fits, "files.pool", "is more than bodies.memory.pool, and these files are in memory")?;
    }
    check_fleet(settings)?;
    for name in bodies.workload.keys() {
        let known = workloads.is_none_or(|workloads| workloads.contains(name));
        require(known, &format!("workload.{name}"), "is no workload of the configuration")?;
    }
    Ok(())
}

/// Limited by what fits into one datagram, the budget of engines included.
const MAX_BUDGETS: usize = 16;
const MAX_MEMBERS: u32 = 10_000;
const MAX_VOTERS: usize = 7;

fn check_fleet(settings: &OperatorSettings) -> Result<(), RuleViolation> {
    let require =
        |holds: bool, key: String, why: &str| if holds { Ok(()) } else { Err((key, why.to_string())) };
    let Some(fleet) = &settings.fleet else {
        let name = settings.budget.keys().next();
        return name.map_or(Ok(()), |name| require(false, format!("budget.{name}"), "needs a fleet block"));
    };
    let of = |key: &str| format!("fleet.{key}");
    require((1..=MAX_MEMBERS).contains(&fleet.places), of("places"), "is not a number from 1 to 10000")?;
    require(fleet.place.is_none_or(|place| place < fleet.places), of("place"), "is none of fleet.places")?;
    let voters = fleet.seats.len();
    require(voters % 2 == 1 && voters <= MAX_VOTERS, of("seats"), "are not 1, 3, 5 or 7 addresses")?;
    let distinct = fleet.seats.iter().enumerate().all(|(at, seat)| !fleet.seats[..at].contains(seat));
    require(distinct, of("seats"), "names an address twice")?;
    require(fleet.seat.is_none_or(|seat| usize::from(seat) < voters), of("seat"), "is none of fleet.seats")?;
    let lease = fleet.lease;
    let in_range = (Duration::from_secs(1)..=Duration::from_secs(60)).contains(&lease);
    require(in_range, of("lease"), "is not a span from 1s to 60s")?;
    require((1..=10).contains(&fleet.drift_percent), of("drift_percent"), "is not a number from 1 to 10")?;
    let retention_ok = fleet.engines_keep <= Duration::from_secs(600);
    require(retention_ok, of("engines_keep"), "is over 600s")?;
    require(
        !settings.budget.contains_key("engines"),
        "budget.engines".into(),
        "is a name of fleet.engines_by_members",
    )?;
    require(settings.budget.len() < MAX_BUDGETS, "budget".into(), "has more than 15 blocks")?;
    for (name, budget) in &settings.budget {
        let of = |key: &str| format!("budget.{name}.{key}");
        let one_unit = budget.at_once.is_some() != budget.per_second.is_some();
        require(one_unit, of("at_once"), "and per_second: exactly one of them says what is counted")?;
        let is_rate = budget.per_second != Some(BudgetUnit::Memory);
        require(is_rate, of("per_second"), "memory is held, not spent: it is counted at_once")?;
        let whole_ok = budget.whole.is_finite() && (0.0..=1e9).contains(&budget.whole);
        require(whole_ok, of("whole"), "is not a number from 0 to 1000000000")?;
        require(budget.floor_percent <= 100, of("floor_percent"), "is over 100")?;
        let burst_ok = (Duration::from_secs(1)..=Duration::from_secs(60)).contains(&budget.burst);
        require(burst_ok, of("burst"), "is not a span from 1s to 60s")?;
    }
    Ok(())
}

/// The line of a key, or of the innermost enclosing block that exists; 1 if there is none.
fn line_of_key(body: &Body, text: &str, key: &str) -> usize {
    let mut found = 0;
    let mut bodies = vec![body];
    let mut segments = key.split('.').peekable();
    while let Some(segment) = segments.next() {
        let mut next = Vec::new();
        for structure in bodies.iter().flat_map(|body| body.iter()) {
            match structure {
                Structure::Attribute(attribute) if attribute.key.as_str() == segment => {
                    found = attribute.span().map_or(found, |span| span.start);
                }
                Structure::Block(block) if block.ident.as_str() == segment => {
                    let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
                    if labels.iter().all(|label| segments.clone().any(|segment| segment == *label))
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
            // A label is a segment of the path too.
            let labelled = bodies.iter().flat_map(|body| body.iter()).any(|structure| {
                structure
                    .as_block()
                    .is_some_and(|block| block.ident.as_str() == segment && !block.labels.is_empty())
            });
            if labelled {
                segments.next();
            }
        }
        bodies = next;
    }
    1 + text.as_bytes()[..found.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}
