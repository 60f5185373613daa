//! The one place where the configuration is read, checked and given defaults. Each message names the key.

use crate::discovery::{read_configured_list, EngineSnapshot};
use crate::operators::{self, FleetParameters, OperatorSettings, ORDINARY_BODY_BYTES};
use bramblewharf::interface::Site;
use bramblewharf_site::Names;
use serde_json::Value;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where gateways hear one another.
#[derive(Clone, Debug)]
pub struct Peers {
    pub listen: SocketAddr,
    /// One a gateway, in the order of their numbers, our own among them.
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// The most that is held of anything, worked out from `limits`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients, and of ours to engines.
    pub clients: usize,
    pub engines: usize,
    /// Statements held at once.
    pub stmts: usize,
    /// Bytes of a statement, of a page and of a whole result; pages of a result.
    pub statement: usize,
    pub page: usize,
    pub result: usize,
    pub pages: usize,
}

/// All that a gateway is started with.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub bounds: Bounds,
    pub peers: Option<Peers>,
    pub name_service: Option<SocketAddr>,
    pub cached_engines: EngineSnapshot,
    pub site: Site,
    pub site_names: Names,
    /// Connections to engines: not established by then, never; closed by the engine after idling so long.
    pub dial_timeout: Duration,
    pub engine_idle: Duration,
    /// Of each workload, how long its clients wait at most, where the settings say.
    pub deadlines: Vec<Option<Duration>>,
    /// How long statements that were taken may be answered once the gateway is told to close.
    pub shutdown_timeout: Duration,
    pub restart_only: RestartOnlySettings,
    /// What the operators say themselves.
    pub operators: OperatorSettings,
    /// The fleet it is in, where the operators say so.
    pub fleet: Option<FleetParameters>,
}

/// What takes effect at a start only; the rest of the file does so at a reload too.
const RESTART_ONLY_KEYS: [&str; 6] = ["name", "listen", "seed", "limits", "peer_listen", "settings"];

/// What the file says under each of these keys.
pub struct RestartOnlySettings(Vec<Value>);

impl RestartOnlySettings {
    fn read(value: &Value) -> RestartOnlySettings {
        RestartOnlySettings(
            RESTART_ONLY_KEYS.iter().map(|key| value.get(key).cloned().unwrap_or(Value::Null)).collect(),
        )
    }

    /// The keys by which `newer` differs: they wait for a restart.
    pub fn changed(&self, newer: &RestartOnlySettings) -> Vec<&'static str> {
        let both = RESTART_ONLY_KEYS.into_iter().zip(self.0.iter().zip(&newer.0));
        both.filter(|(_, (old, new))| old != new).map(|(key, _)| key).collect()
    }
}

const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
const NAME_VARIABLE: &str = "EDGE_NAME";
const LISTEN_VARIABLE: &str = "EDGE_LISTEN";
/// Descriptors that are neither clients' nor engines': files, timers, names, peers, log.
const RESERVED_DESCRIPTORS: usize = 24;
const MIN_SOCKETS: usize = 128;
const MIN_MEMORY_MB: f64 = 32.0;
/// Of all descriptors, what clients may hold: the usual ones hold a third, and the rest is for such as only take up
/// room until they are closed. What is left is for engines.
const CLIENT_SHARE: f64 = 0.45;
/// A statement at most holds its text, its result as pages, and the answer written from them.
const STATEMENT_BYTES: usize = ORDINARY_BODY_BYTES as usize;
const PAGE_BYTES: usize = 8 * 1024;
const RESULT_BYTES: usize = 64 * 1024;
const MAX_PAGES: usize = 32;
/// Memory that is neither a statement's nor a connection's (the program and its runtime hold 6 MB), and what a
/// connection holds in buffers.
const BASE_MEMORY_BYTES: f64 = 8e6;
const CONNECTION_MEMORY_BYTES: f64 = 24e3;
/// Where the settings do not say.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_ENGINE_IDLE: Duration = Duration::from_secs(15);
/// Where no workload says how long its clients wait.
const DEFAULT_MAX_STATEMENT_TIME: Duration = Duration::from_secs(60);
/// The longest time that a gateway is given to close in.
const MAX_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the file that `path`, or else `EDGE_CONFIG`, names, and the operators' own, if there is one.
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

fn text<'a>(value: &'a Value, key: &str) -> ConfigResult<Option<&'a str>> {
    match value.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(other) => Err(format!("{key}: {other} is not a text")),
    }
}

fn address(key: &str, text: &str) -> ConfigResult<SocketAddr> {
    text.parse().map_err(|_| format!("{key}: {text} is not an address and port"))
}

fn maybe_address(value: &Value, key: &str) -> ConfigResult<Option<SocketAddr>> {
    text(value, key)?.map(|text| address(key, text)).transpose()
}

/// A whole number above 0, where there is one; `path` is where the object stands.
fn whole(object: &Value, key: &str, path: &str) -> ConfigResult<Option<u64>> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().filter(|n| *n > 0) {
            Some(n) => Ok(Some(n)),
            None => Err(format!("{path}.{key}: {value} is not a whole number above 0")),
        },
    }
}

fn span(object: &Value, key: &str, path: &str) -> ConfigResult<Option<Duration>> {
    Ok(whole(object, key, path)?.map(Duration::from_micros))
}

fn limit(limits: &Value, key: &str, absent: f64, least: f64) -> ConfigResult<f64> {
    let wrong = |value: &Value| format!("limits.{key}: {value} is not a number from {least}");
    match limits.get(key) {
        None | Some(Value::Null) => Ok(absent),
        Some(value) => value.as_f64().filter(|n| *n >= least).ok_or_else(|| wrong(value)),
    }
}

/// `name` and `listen`: what the environment says, which goes before the file.
pub fn read(value: &Value, name: Option<String>, listen: Option<String>) -> ConfigResult<Start> {
    read_with(value, name, listen, OperatorSettings::default())
}

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
        None => text(value, "name")?.unwrap_or("bramblewharf").to_string(),
    };
    let listen = match listen {
        Some(listen) => address(LISTEN_VARIABLE, &listen)?,
        None => maybe_address(value, "listen")?.ok_or("listen: is missing")?,
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
    for (at, row) in settings.get("profiles").and_then(Value::as_array).into_iter().flatten().enumerate() {
        deadlines.push(span(row, "deadlineUs", &format!("settings.profiles[{at}]"))?);
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
            whole(allowed, "maxOpen", "settings.allowed")?,
            operators.bodies.reserved_resources(),
        )?,
        peers: peers(value, &site)?,
        name_service: maybe_address(value, "names")?,
        cached_engines,
        dial_timeout: span(allowed, "dialTimeoutUs", "settings.allowed")?.unwrap_or(DEFAULT_DIAL_TIMEOUT),
        engine_idle: span(allowed, "keepaliveUs", "settings.allowed")?.unwrap_or(DEFAULT_ENGINE_IDLE),
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
    let Some(listen) = maybe_address(value, "peer_listen")?.filter(|_| site.can_gossip) else {
        return Ok(None);
    };
    let mut each = Vec::new();
    let peers = value.get("peers").unwrap_or(&Value::Null);
    let wrong = || format!("peers: {peers} is not a list");
    for (at, peer) in peers.as_array().ok_or_else(wrong)?.iter().enumerate() {
        let key = format!("peers[{at}]");
        each.push(address(&key, peer.as_str().ok_or_else(|| format!("{key}: {peer} is not a text"))?)?);
    }
    Ok(Some(Peers { listen, each, all: maybe_address(value, "peers_all")? }))
}

/// `bodies`: the memory and the descriptors that texts beyond the ordinary ones take.
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
    let clients = (sockets as f64 * CLIENT_SHARE) as usize;
    let engines = sockets - RESERVED_DESCRIPTORS - clients;
    let held = (memory - BASE_MEMORY_BYTES - (clients + engines) as f64 * CONNECTION_MEMORY_BYTES).max(4e6);
    let by_memory = (held / (STATEMENT_BYTES + 3 * RESULT_BYTES) as f64) as usize;
    // An execution holds one connection at a time, and its cancel another. Of clients' connections some are
    // left over for those that are rejected.
    let stmts = (engines * 4 / 5).min(clients * 3 / 4).min(by_memory.max(16));
    Ok(Bounds {
        clients,
        engines,
        stmts: max_open.map_or(stmts, |most| stmts.min(most as usize)),
        statement: STATEMENT_BYTES,
        page: PAGE_BYTES,
        result: RESULT_BYTES,
        pages: MAX_PAGES,
    })
}
