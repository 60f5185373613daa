//! The fleet's policy in this gateway: parsing and checking its HCL text, the admission check for the scheduler, and the file for
//! the durable state. These are adapters; decisions are made in the policy crate.

use crate::operators::parse;
use bramblewharf::interface::{Effect as SiteEffect, Site};
use bramblewharf_budgets::{AdmissionCheck, Demand};
use bramblewharf_policy::{Check, ExecutionRequest, Limits, Permit, Revision, Rules, StoredState};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver};

/// Pending writes; a write beyond that fails at once and is retried by the caller.
const WRITE_QUEUE_LENGTH: usize = 16;

/// HCL text of a revision: rules for the whole fleet, no settings of a single gateway.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PolicyText {
    workload: BTreeMap<String, LimitsText>,
    customer: BTreeMap<String, LimitsText>,
    alone: Option<FallbackText>,
}

/// Rules for a gateway that has no permit from the fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FallbackText {
    workload: BTreeMap<String, LimitsText>,
}

/// Limits of one workload or customer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LimitsText {
    forbidden: bool,
    executions: Option<u32>,
    kinds: Option<BTreeSet<String>>,
}

impl From<LimitsText> for Limits {
    fn from(text: LimitsText) -> Limits {
        Limits { forbidden: text.forbidden, executions: text.executions, kinds: text.kinds }
    }
}

/// Names and constraints from this gateway's configuration, against which a policy is checked.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Workloads, in configuration order.
    pub workloads: Vec<String>,
    /// Customers, in configuration order.
    pub customers: Vec<String>,
    /// Kinds of engines.
    pub kinds: Vec<String>,
    /// By workload: whether it must run at most once, and the kinds to which the platform restricts it.
    workload_constraints: Vec<(bool, Option<Vec<String>>)>,
}

impl Names {
    /// Names and constraints of a configuration.
    pub fn new(site: &Site, workloads: &[String], customers: &[String]) -> Names {
        let constraints = site.workloads.iter().map(|config| {
            let kinds =
                config.kinds.as_ref().map(|kinds| kinds.iter().map(|kind| kind.to_string()).collect());
            (config.effect == SiteEffect::NonIdempotent, kinds)
        });
        Names {
            workloads: workloads.to_vec(),
            customers: customers.to_vec(),
            kinds: site.kinds.iter().map(|kind| kind.name.to_string()).collect(),
            workload_constraints: constraints.collect(),
        }
    }
}

/// Parses a policy and checks it against `names`, if given. Error messages are `LINE: KEY: RULE`.
pub fn read(text: &str, names: Option<&Names>) -> Result<Rules, String> {
    let (policy, line): (PolicyText, _) = parse(text)?;
    let error = |key: String, why: &str| Err(format!("{}: {key}: {why}", line(&key)));
    if let Some(names) = names {
        let fallback = policy.alone.iter().flat_map(|alone| &alone.workload);
        let fallback = fallback.map(|(name, limits)| (format!("alone.workload.{name}"), name, limits));
        let workloads =
            policy.workload.iter().map(|(name, limits)| (format!("workload.{name}"), name, limits));
        for (key, name, limits) in workloads.chain(fallback) {
            let Some(at) = names.workloads.iter().position(|other| other == name) else {
                return error(key, "is no workload of this gateway's configuration");
            };
            let (at_most_once, platform_kinds) =
                names.workload_constraints.get(at).cloned().unwrap_or_default();
            if at_most_once && limits.executions.is_some_and(|limit| limit > 1) {
                return error(format!("{key}.executions"), "this workload must never run twice");
            }
            for kind in limits.kinds.iter().flatten() {
                if !names.kinds.contains(kind) {
                    return error(format!("{key}.kinds"), &format!("{kind} is no kind of engine here"));
                }
                if platform_kinds.as_ref().is_some_and(|kinds| !kinds.contains(kind)) {
                    let why = format!("{kind} is none that the platform binds this workload to");
                    return error(format!("{key}.kinds"), &why);
                }
            }
        }
        for (name, limits) in &policy.customer {
            let key = format!("customer.{name}");
            if !names.customers.contains(name) {
                return error(key, "is no customer of this gateway's configuration");
            }
            if let Some(kind) = limits.kinds.iter().flatten().find(|kind| !names.kinds.contains(kind)) {
                return error(format!("{key}.kinds"), &format!("{kind} is no kind of engine here"));
            }
        }
    }
    let to_limits = |texts: BTreeMap<String, LimitsText>| {
        texts.into_iter().map(|(name, text)| (name, text.into())).collect()
    };
    Ok(Rules {
        workloads: to_limits(policy.workload),
        customers: to_limits(policy.customer),
        alone: policy.alone.map(|alone| to_limits(alone.workload)),
    })
}

/// The check that the policy replica applies to a revision.
pub fn revision_check(names: Names) -> Check {
    Arc::new(move |revision: &Revision| read(&revision.text, Some(&names)))
}

/// The initial revision from a gateway's own file; gateways with the same text get the same revision.
pub fn initial_revision(path: &Path) -> Result<Revision, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("fleet.policy: {}: {e}", path.display()))?;
    let (author, reason) = ("file".to_string(), "the first one".to_string());
    let revision = Revision { number: 1, parent: Default::default(), author, reason, text };
    match revision.is_bounded() {
        true => Ok(revision),
        false => Err(format!("fleet.policy: {}: is over 32 KiB", path.display())),
    }
}

/// The stored state, or why it could not be read. An unreadable file counts as missing, and a voter reports that state.
pub fn load_stored(path: &Path) -> (Option<(u64, StoredState)>, Option<String>) {
    match std::fs::read(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => (None, None),
        Err(e) => (None, Some(e.to_string())),
        Ok(bytes) => match StoredState::read(&bytes) {
            Ok(state) => (Some(state), None),
            Err(fault) => (None, Some(fault.to_string())),
        },
    }
}

/// Admission check by the policy; maps the scheduler's workload and customer indices to names.
#[derive(Debug)]
pub struct PolicyAdmissionCheck {
    /// The permit in force.
    pub permit: Permit,
    /// Names by index.
    pub names: Arc<Names>,
}

impl AdmissionCheck for PolicyAdmissionCheck {
    fn permits(&self, now: Duration, demand: &Demand) -> bool {
        let names = &*self.names;
        let workload = names.workloads.get(demand.workload).map_or("", String::as_str);
        let customer = demand.customer.and_then(|at| names.customers.get(at)).map(String::as_str);
        let request = ExecutionRequest {
            workload,
            customer,
            kind: demand.kind,
            prior_executions: demand.previous_executions,
        };
        self.permit.permits(now, &request)
    }
}

/// A thread that replaces the state file atomically; it ends when this is dropped.
pub struct PolicyFileWriter {
    writes: Option<SyncSender<(u64, Vec<u8>)>>,
}

impl PolicyFileWriter {
    /// Starts the thread; the receiver yields each generation and whether it was written. Without a path nothing is stored and
    /// every write succeeds at once, so such a voter starts without any state.
    pub fn start(path: Option<PathBuf>) -> io::Result<(PolicyFileWriter, Receiver<(u64, bool)>)> {
        let (completed, completions) = channel(WRITE_QUEUE_LENGTH * 2);
        let Some(path) = path else { return Ok((PolicyFileWriter { writes: None }, completions)) };
        let (writes, queue) = sync_channel::<(u64, Vec<u8>)>(WRITE_QUEUE_LENGTH);
        std::thread::Builder::new().name("policy".into()).spawn(move || {
            while let Ok((generation, bytes)) = queue.recv() {
                if completed.blocking_send((generation, write(&path, &bytes).is_ok())).is_err() {
                    return;
                }
            }
        })?;
        Ok((PolicyFileWriter { writes: Some(writes) }, completions))
    }

    /// Queues a write; returns the result if it is already known.
    pub fn write_state(&self, generation: u64, bytes: Vec<u8>) -> Option<bool> {
        match &self.writes {
            None => Some(true),
            Some(writes) => writes.try_send((generation, bytes)).is_err().then_some(false),
        }
    }
}

/// Replaces the file atomically and syncs both the file and its directory.
fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let directory =
        path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(directory)?;
    file.write_all(bytes)?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    std::fs::File::open(directory)?.sync_all()
}

#[cfg(test)]
mod tests;
