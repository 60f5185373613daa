//! Configuration from the platform, in JSON: parsing, validation and defaults. Every error message names the key.

use crate::discovery::{read_configured_list, EngineSnapshot};
use crate::operators::{self, FleetParameters, OperatorSettings, ORDINARY_BODY_BYTES};
use bramblewharf::interface::Site;
use bramblewharf_site::Names;
use serde_json::Value;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Addresses for the gossip between gateways.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Address on which this gateway receives gossip.
    pub listen: SocketAddr,
    /// Addresses of all gateways including this one, by gateway number.
    pub each: Vec<SocketAddr>,
    /// Address that reaches all gateways with one datagram.
    pub all: Option<SocketAddr>,
}

/// Resource limits of the gateway, derived from `limits`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Statements in progress at a time.
    pub stmts: usize,
    /// Memory of calls that are arriving, beyond what each connection may hold anyway, in bytes.
    pub call_memory: u64,
    /// Bytes of a statement.
    pub statement: usize,
    /// Bytes of a result page.
    pub page: usize,
    /// Bytes of a whole result.
    pub result: usize,
    /// Pages of a result.
    pub pages: usize,
}

impl Bounds {
    /// The memory that is used when all of these limits are reached, in bytes.
    pub fn planned_memory(&self) -> u64 {
        let connections =
            self.clients as f64 * CLIENT_MEMORY_BYTES + self.engines as f64 * IDLE_ENGINE_MEMORY_BYTES;
        let statements = self.stmts as f64 * STATEMENT_MEMORY_BYTES;
        (BASE_MEMORY_BYTES + connections + statements) as u64 + self.call_memory
    }
}

/// Start parameters of a gateway.
pub struct Start {
    /// Name of the gateway in the log.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits.
    pub bounds: Bounds,
    /// Gossip between gateways, if it is on.
    pub peers: Option<Peers>,
    /// Name service that lists the engines, if there is one.
    pub name_service: Option<SocketAddr>,
    /// List of engines to start with.
    pub cached_engines: EngineSnapshot,
    /// Settings of the scheduler.
    pub site: Site,
    /// Names of workloads and customers.
    pub site_names: Names,
    /// Time limit for connecting to an engine.
    pub dial_timeout: Duration,
    /// Idle time after which engines close a connection.
    pub engine_idle: Duration,
    /// The longest time that clients wait, by workload, if the settings limit it.
    pub deadlines: Vec<Option<Duration>>,
    /// How long a shutdown waits for accepted statements to be answered.
    pub shutdown_timeout: Duration,
    /// Settings that a reload can't change.
    pub restart_only: RestartOnlySettings,
    /// Settings from the operators' file.
    pub operators: OperatorSettings,
    /// Fleet of this gateway, if the operators configure one.
    pub fleet: Option<FleetParameters>,
}

/// Keys that take effect only at a restart; a reload applies all others.
const RESTART_ONLY_KEYS: [&str; 6] = ["name", "listen", "seed", "limits", "peer_listen", "settings"];

/// Values of `RESTART_ONLY_KEYS`, in that order.
pub struct RestartOnlySettings(Vec<Value>);

impl RestartOnlySettings {
    fn read(value: &Value) -> RestartOnlySettings {
        RestartOnlySettings(
            RESTART_ONLY_KEYS.iter().map(|key| value.get(key).cloned().unwrap_or(Value::Null)).collect(),
        )
    }

    /// The keys whose values differ in `newer` and need a restart.
    pub fn changed(&self, newer: &RestartOnlySettings) -> Vec<&'static str> {
        let pairs = RESTART_ONLY_KEYS.into_iter().zip(self.0.iter().zip(&newer.0));
        pairs.filter(|(_, (old, new))| old != new).map(|(key, _)| key).collect()
    }
}

const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
const NAME_VARIABLE: &str = "EDGE_NAME";
const LISTEN_VARIABLE: &str = "EDGE_LISTEN";
/// Descriptors for files, timers, the name service, peers and the log.
const RESERVED_DESCRIPTORS: usize = 24;
const MIN_SOCKETS: usize = 128;
const MIN_MEMORY_MB: f64 = 32.0;
/// Share of all descriptors for clients; engines get the rest. Regular clients need a third, and the remainder serves
/// connections that stay idle until they are closed.
const CLIENT_SHARE: f64 = 0.45;
/// Upper bounds for a statement in progress: its body, its result as pages, and the response that is written from them.
const STATEMENT_BYTES: usize = ORDINARY_BODY_BYTES as usize;
const PAGE_BYTES: usize = 8 * 1024;
const RESULT_BYTES: usize = 64 * 1024;
const MAX_PAGES: usize = 32;
/// Memory beside statements and connections: the program, its runtime and its log.
const BASE_MEMORY_BYTES: f64 = 10e6;
/// Memory of a client's connection with an ordinary call that is arriving on it.
const CLIENT_MEMORY_BYTES: f64 = 50e3;
/// Memory of a pooled connection to an engine that carries no call.
const IDLE_ENGINE_MEMORY_BYTES: f64 = 1e3;
/// Memory of a statement in progress whose text and result are of ordinary size, with its connections to engines.
const STATEMENT_MEMORY_BYTES: f64 = 100e3;
/// Share of the memory for statements that texts, results and heads of more than ordinary size use.
const LARGE_CALL_SHARE: f64 = 0.5;
/// Least memory of these: one call at all its limits.
const MIN_CALL_MEMORY_BYTES: f64 = 2e6;
/// The least number of connections from clients: a third of the least descriptors.
const MIN_CLIENTS: f64 = 43.0;
/// The least number of statements in progress.
const MIN_STATEMENTS: usize = 16;
/// Defaults for connections to engines.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_ENGINE_IDLE: Duration = Duration::from_secs(15);
/// Used if no workload has a deadline.
const DEFAULT_MAX_STATEMENT_TIME: Duration = Duration::from_secs(60);
/// The longest time that a shutdown may take.
const MAX_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the configuration from `path`, or else from the file in `EDGE_CONFIG`, and the operators' settings, if any.
pub fn load(path: Option<PathBuf>, settings: Option<&Path>) -> Result<Start, String> {
    let path = path.or_else(|| env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    let path = path.ok_or_else(|| format!("no configuration: name a file, or set {CONFIG_VARIABLE}"))?;
    let shown = path.display();
    let text = std::fs::read(&path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    let value: Value = serde_json::from_slice(&text).map_err(|e| format!("{shown}: is not JSON: {e}"))?;
    let from_env = |name: &str| env::var(name).ok().filter(|text| !text.is_empty());
    let workloads = bramblewharf_site::read(value.get("settings").unwrap_or(&Value::Null));
    let workloads = workloads.map_or(Vec::new(), |(_, site_names)| site_names.workloads);
    let operators = operators::load(settings, &workloads)?;
    read_with(&value, from_env(NAME_VARIABLE), from_env(LISTEN_VARIABLE), operators)
        .map_err(|e| format!("{shown}: {e}"))
}

type ConfigResult<T> = Result<T, String>;

fn string<'a>(value: &'a Value, key: &str) -> ConfigResult<Option<&'a str>> {
    match value.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(string)) => Ok(Some(string)),
        Some(other) => Err(format!("{key}: {other} is not a string")),
    }
}

fn parse_address(key: &str, text: &str) -> ConfigResult<SocketAddr> {
    text.parse().map_err(|_| format!("{key}: {text} is not an address and port"))
}

fn optional_address(value: &Value, key: &str) -> ConfigResult<Option<SocketAddr>> {
    string(value, key)?.map(|text| parse_address(key, text)).transpose()
}

/// A positive integer, if present; `path` is the path of the object.
fn positive_integer(object: &Value, key: &str, path: &str) -> ConfigResult<Option<u64>> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|n| *n > 0) {
            Some(n) => Ok(Some(n)),
            None => Err(format!("{path}.{key}: {value} is not a whole number above 0")),
        },
    }
}

/// A duration in microseconds, if present.
fn duration_us(object: &Value, key: &str, path: &str) -> ConfigResult<Option<Duration>> {
    Ok(positive_integer(object, key, path)?.map(Duration::from_micros))
}

/// A number of `limits` with a default and a minimum.
fn limit(limits: &Value, key: &str, default: f64, min: f64) -> ConfigResult<f64> {
    let error = |value: &Value| format!("limits.{key}: {value} is not a number from {min}");
    match limits.get(key) {
        None | Some(Value::Null) => Ok(default),
        Some(value) => value.as_f64().filter(|n| *n >= min).ok_or_else(|| error(value)),
    }
}

/// Reads a configuration without operator settings. `name` and `listen` come from the environment and override the file.
pub fn read(value: &Value, name: Option<String>, listen: Option<String>) -> ConfigResult<Start> {
    read_with(value, name, listen, OperatorSettings::default())
}

/// Like `read`, with operator settings.
pub fn read_with(
    value: &Value,
    name: Option<String>,
    listen: Option<String>,
    operators: OperatorSettings,
) -> ConfigResult<Start> {
    if !value.is_object() {
        return Err("is not an object".into());
    }
    let name = match name {
        Some(name) => name,
        None => string(value, "name")?.unwrap_or("bramblewharf").to_string(),
    };
    let listen = match listen {
        Some(listen) => parse_address(LISTEN_VARIABLE, &listen)?,
        None => optional_address(value, "listen")?.ok_or("listen: is missing")?,
    };
    let seed = match value.get("seed") {
        None | Some(Value::Null) => return Err("seed: is missing".into()),
        Some(Value::String(hex)) => {
            u64::from_str_radix(hex, 16).map_err(|_| format!("seed: {hex} is not 16 hex digits"))?
        }
        Some(other) => other.as_u64().ok_or_else(|| format!("seed: {other} is not a whole number"))?,
    };
    let settings = value.get("settings").ok_or("settings: is missing")?;
    let (site, site_names) =
        bramblewharf_site::read(settings).map_err(|e| e.replace("member conf", "settings"))?;
    let allowed = settings.get("allowed").unwrap_or(&Value::Null);
    let mut deadlines = Vec::new();
    for (at, profile) in settings.get("profiles").and_then(Value::as_array).into_iter().flatten().enumerate()
    {
        deadlines.push(duration_us(profile, "deadlineUs", &format!("settings.profiles[{at}]"))?);
    }
    let kinds: Vec<String> = site.kinds.iter().map(|kind| kind.name.to_string()).collect();
    let fleet = operators.fleet_parameters(&operators::PlatformContext {
        workloads: &site_names.workloads,
        customers: &site_names.customers,
        kinds: &kinds,
        names: crate::policy::Names::new(&site, &site_names.workloads, &site_names.customers),
        gateway_number: site.gateway,
        max_statement_time: deadlines.iter().flatten().max().copied().unwrap_or(DEFAULT_MAX_STATEMENT_TIME),
        seed,
    })?;
    let cached_engines = match value.get("known") {
        None | Some(Value::Null) => EngineSnapshot { serial: 0, engines: Vec::new() },
        Some(value) => read_configured_list(value)?,
    };
    Ok(Start {
        name,
        listen,
        seed,
        bounds: bounds(
            value.get("limits").unwrap_or(&Value::Null),
            positive_integer(allowed, "maxOpen", "settings.allowed")?,
            operators.bodies.reserved_resources(),
        )?,
        peers: peers(value, &site)?,
        name_service: optional_address(value, "names")?,
        cached_engines,
        dial_timeout: duration_us(allowed, "dialTimeoutUs", "settings.allowed")?
            .unwrap_or(DEFAULT_DIAL_TIMEOUT),
        engine_idle: duration_us(allowed, "keepaliveUs", "settings.allowed")?.unwrap_or(DEFAULT_ENGINE_IDLE),
        shutdown_timeout: deadlines
            .iter()
            .flatten()
            .max()
            .copied()
            .unwrap_or(MAX_SHUTDOWN_TIMEOUT)
            .min(MAX_SHUTDOWN_TIMEOUT),
        deadlines,
        restart_only: RestartOnlySettings::read(value),
        site,
        site_names,
        operators,
        fleet,
    })
}

fn peers(value: &Value, site: &Site) -> ConfigResult<Option<Peers>> {
    let Some(listen) = optional_address(value, "peer_listen")?.filter(|_| site.can_gossip) else {
        return Ok(None);
    };
    let mut each = Vec::new();
    let peers = value.get("peers").unwrap_or(&Value::Null);
    let error = || format!("peers: {peers} is not a list");
    for (at, peer) in peers.as_array().ok_or_else(error)?.iter().enumerate() {
        let key = format!("peers[{at}]");
        each.push(parse_address(
            &key,
            peer.as_str().ok_or_else(|| format!("{key}: {peer} is not a string"))?,
        )?);
    }
    Ok(Some(Peers { listen, each, all: optional_address(value, "peers_all")? }))
}

/// Derives the limits. `bodies` is the memory and the number of descriptors reserved for bodies beyond the ordinary size.
fn bounds(limits: &Value, max_open: Option<u64>, bodies: (u64, usize)) -> ConfigResult<Bounds> {
    let sockets = limit(limits, "sockets", 1024.0, MIN_SOCKETS as f64)? as usize;
    let memory = limit(limits, "memory_mb", 192.0, MIN_MEMORY_MB)? * 1e6;
    let (pool, descriptors) = bodies;
    if pool as f64 > memory / 2.0 {
        return Err(format!("limits.memory_mb: bodies.memory.pool of {pool} bytes is more than half of it"));
    }
    if descriptors > sockets / 2 {
        return Err(format!("limits.sockets: bodies.files takes {descriptors}, more than half of them"));
    }
    let (memory, sockets) = (memory - pool as f64, sockets - descriptors);
    let available = memory - BASE_MEMORY_BYTES;
    let reserved = MIN_STATEMENTS as f64 * STATEMENT_MEMORY_BYTES
        + MIN_CALL_MEMORY_BYTES
        + sockets as f64 * IDLE_ENGINE_MEMORY_BYTES;
    let clients = (sockets as f64 * CLIENT_SHARE)
        .min((available - reserved) / CLIENT_MEMORY_BYTES)
        .max(MIN_CLIENTS) as usize;
    let engines = sockets - RESERVED_DESCRIPTORS - clients;
    let available =
        available - clients as f64 * CLIENT_MEMORY_BYTES - engines as f64 * IDLE_ENGINE_MEMORY_BYTES;
    let by_memory = (available * (1.0 - LARGE_CALL_SHARE) / STATEMENT_MEMORY_BYTES).max(0.0) as usize;
    // An execution uses one connection and its cancellation another. A share of the client connections stays free for
    // statements that are rejected.
    let stmts = (engines * 4 / 5).min(clients * 3 / 4).min(by_memory.max(MIN_STATEMENTS));
    let call_memory = (available - stmts as f64 * STATEMENT_MEMORY_BYTES).max(MIN_CALL_MEMORY_BYTES);
    Ok(Bounds {
        clients,
        engines,
        stmts: max_open.map_or(stmts, |most| stmts.min(most as usize)),
        call_memory: call_memory as u64,
        statement: STATEMENT_BYTES,
        page: PAGE_BYTES,
        result: RESULT_BYTES,
        pages: MAX_PAGES,
    })
}
